/*
 * Responses that are written to a caller's socket beside the daemon, which
 * takes a response only after the whole request, and only one whose head fits
 * in what the request has left of the connection's buffer. The connection is
 * closed.
 */
#include <string.h>
#include <sys/socket.h>

#include "proxy/proxy_int.h"

/* Of the response besides its header lines: the status line, the lines that
 * the daemon adds, and a part of the body in chunks. */
#define RESPONSE_BYTES (4u * 1024)
#define LINE_BYTES 4 /* ": " and the end of a line */

static GString *create_response(CpProxyExchange *ex);
static void append_servers_head(GString *text, CpProxyExchange *ex);
static void append_failure_head(GString *text, const CpProxyExchange *ex);
static void append_length(GString *text, const CpProxyExchange *ex, size_t n);

bool
CpProxyDirect_IsNeeded(const CpProxyExchange *ex, CpProxyActionType type)
{
    const GPtrArray *lines = ex->attempt.response_headers;
    size_t bytes = RESPONSE_BYTES;
    for (guint i = 0; type == CP_ACTION_RESPOND && i < lines->len; i++) {
        const CpHeaderLine *h = g_ptr_array_index(lines, i);
        bytes += strlen(h->name) + strlen(h->value) + LINE_BYTES;
    }
    return bytes > ex->head_room_bytes;
}

/* Sends as much as the socket takes. */
void
CpProxyDirect_Respond(CpProxyExchange *ex)
{
    GString *text = create_response(ex);
    int bytes = (int)text->len;
    setsockopt(ex->fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    ssize_t sent =
        send(ex->fd, text->str, text->len, MSG_DONTWAIT | MSG_NOSIGNAL);
    ex->response_sent = sent == (ssize_t)text->len;
    g_string_free(text, TRUE);
    CpCounter_Add(CP_COUNT_RESPONSES_DIRECT, 1);
    CpProxyCaller_Close(ex->caller);
}

static GString *
create_response(CpProxyExchange *ex)
{
    const CpProxyAttempt *a = &ex->attempt;
    bool is_servers = ex->action.type == CP_ACTION_RESPOND;
    char *failure = is_servers ? NULL : CpProxyFront_FailureText(ex);
    uint32_t status = is_servers ? a->status : ex->action.status;
    const char *body = failure;
    size_t n = failure != NULL ? strlen(failure) : 0;
    GString *text = g_string_new(NULL);
    if (is_servers && a->body != NULL) {
        body = (const char *)a->body->data;
        n = a->body->len;
    }
    g_string_printf(text, "HTTP/1.1 %u %s\r\n", status,
                    MHD_get_reason_phrase_for(status));
    if (is_servers) {
        append_servers_head(text, ex);
    }
    else {
        append_failure_head(text, ex);
    }
    append_length(text, ex, n);
    g_string_append(text, "Connection: close\r\n\r\n");
    if (strcmp(ex->request.method, "HEAD") != 0) {
        g_string_append_len(text, body, (gssize)n);
    }
    g_free(failure);
    return text;
}

static void
append_servers_head(GString *text, CpProxyExchange *ex)
{
    GPtrArray *lines = ex->attempt.response_headers;
    CpHeader_RemoveHop(lines, ex->worker->proxy->options.headers);
    for (guint i = 0; i < lines->len; i++) {
        const CpHeaderLine *h = g_ptr_array_index(lines, i);
        g_string_append_printf(text, "%s: %s\r\n", h->name, h->value);
    }
}

static void
append_failure_head(GString *text, const CpProxyExchange *ex)
{
    const CpHeaderNames *names = ex->worker->proxy->options.headers;
    char retry_after[24];
    g_string_append(text, "Content-Type: application/json\r\n");
    if (ex->request.id[0] != '\0') {
        g_string_append_printf(text, "%s: %s\r\n", names->request_id,
                               ex->request.id);
    }
    if (ex->action.status == 401) {
        g_string_append_printf(text, "WWW-Authenticate: %s\r\n",
                               names->challenge);
    }
    if (CpProxyFront_RetryAfter(ex, retry_after)) {
        g_string_append_printf(text, "Retry-After: %s\r\n", retry_after);
    }
}

/* The response to HEAD has the length that the server announced, if any. */
static void
append_length(GString *text, const CpProxyExchange *ex, size_t n)
{
    const CpResponseCheck *c = &ex->attempt.check;
    bool is_servers = ex->action.type == CP_ACTION_RESPOND;
    if (!is_servers || c->framing != CP_FRAMING_EMPTY) {
        g_string_append_printf(text, "Content-Length: %zu\r\n", n);
    }
    else if (c->options.is_head && c->has_length) {
        g_string_append_printf(text, "Content-Length: %llu\r\n",
                               (unsigned long long)c->length_bytes);
    }
}
