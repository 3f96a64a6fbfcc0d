/* The operator API: a table of routes, protected by a token. */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "http/http_int.h"

#define TOKEN_BYTES 256

struct CpOperator {
    CpOperatorOptions options;
    char token[TOKEN_BYTES];
    struct MHD_Daemon *daemon;
};

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static bool has_token(const CpOperator *o, struct MHD_Connection *conn);

CpStatus
CpOperator_New(const CpOperatorOptions *options, CpOperator **out)
{
    struct sockaddr_storage sa;
    CpOperator *o = CpMem_Alloc(sizeof(*o));
    o->options = *options;
    CpStr_Copy(o->token, sizeof(o->token), options->token);
    if (CpAddress_Parse(options->listen, &sa) == 0) {
        free(o);
        return CpError_Set(CP_ERR_ARG, "%s: bad address", options->listen);
    }
    o->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD |
            (sa.ss_family == AF_INET6 ? MHD_USE_IPv6 : MHD_NO_FLAG),
        0, NULL, NULL, on_request, o, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_CONNECTION_LIMIT, 64u, MHD_OPTION_CONNECTION_TIMEOUT, 10u,
        MHD_OPTION_END);
    if (o->daemon == NULL) {
        free(o);
        return CpError_Set(CP_ERR_IO, "%s: cannot listen", options->listen);
    }
    *out = o;
    return CP_OK;
}

void
CpOperator_Free(CpOperator *o)
{
    MHD_stop_daemon(o->daemon);
    free(o);
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    CpOperator *o = ctx;
    static char started;
    (void)version, (void)data;
    if (*state == NULL) {
        *state = &started;
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        *data_bytes = 0;
        return MHD_YES;
    }
    if (!has_token(o, conn)) {
        return CpResponse_QueueText(conn, 401, "text/plain",
                                    CpStr_Dup("a token is needed\n"));
    }
    for (const CpOperatorRoute *r = o->options.routes; r->path; r++) {
        if (strcmp(r->path, url) == 0 && strcmp(r->method, method) == 0) {
            char *text = NULL;
            const char *argument = MHD_lookup_connection_value(
                conn, MHD_GET_ARGUMENT_KIND, "name");
            uint32_t status =
                r->render(o->options.ctx, argument ? argument : "", &text);
            return CpResponse_QueueText(conn, status, r->content_type, text);
        }
    }
    return CpResponse_QueueText(conn, 404, "text/plain",
                                CpStr_Dup("no such page\n"));
}

/* "Authorization: Bearer TOKEN", compared in constant time. */
static bool
has_token(const CpOperator *o, struct MHD_Connection *conn)
{
    char given[TOKEN_BYTES] = {0}, expected[TOKEN_BYTES] = {0};
    const char *header =
        MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Authorization");
    if (header == NULL || strncmp(header, "Bearer ", 7) != 0) {
        return false;
    }
    CpStr_Copy(given, sizeof(given), header + 7);
    CpStr_Copy(expected, sizeof(expected), o->token);
    return sodium_memcmp(given, expected, sizeof(expected)) == 0;
}
