/* HTTP pages rendered without waiting, on an address of their own. */
#include <stdlib.h>
#include <string.h>

#include "http/http_int.h"

#define PAGE_CONNECTIONS 256
#define PAGE_IDLE_S 15

struct CpPageQuery {
    struct MHD_Connection *conn;
};

struct CpPages {
    const CpPage *pages;
    void *ctx;
    struct MHD_Daemon *daemon;
};

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);

CpStatus
CpPages_New(const char *listen, const CpPage *pages, void *ctx, CpPages **out)
{
    struct sockaddr_storage sa;
    CpPages *p = CpMem_Alloc(sizeof(*p));
    p->pages = pages;
    p->ctx = ctx;
    if (CpAddress_Parse(listen, &sa) != 0) {
        p->daemon = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_request, p,
            MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_CONNECTION_LIMIT,
            (unsigned int)PAGE_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
            (unsigned int)PAGE_IDLE_S, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
            MHD_OPTION_END);
    }
    if (p->daemon == NULL) {
        free(p);
        return CpError_Set(CP_ERR_IO, "%s: cannot listen", listen);
    }
    *out = p;
    return CP_OK;
}

const char *
CpPageQuery_Get(const CpPageQuery *q, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(q->conn, MHD_GET_ARGUMENT_KIND, name);
    return value != NULL ? value : "";
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    static int started;
    const CpPages *p = ctx;
    CpPageQuery q = {.conn = conn};
    (void)method, (void)version, (void)data;
    if (*state == NULL) { /* a response now would end keep-alive */
        *state = &started;
        return MHD_YES;
    }
    *data_bytes = 0;
    for (const CpPage *page = p->pages; page->path != NULL; page++) {
        if (strcmp(page->path, url) == 0) {
            char *text = NULL;
            uint32_t status = page->render(p->ctx, &q, &text);
            return CpResponse_QueueText(conn, status, page->content_type,
                                        text != NULL ? text : CpStr_Dup(""));
        }
    }
    return CpResponse_QueueText(conn, 404, "text/plain",
                                CpStr_Dup("not found\n"));
}
