/* Outgoing HTTP calls: common options and the pool of handles. */
#include <math.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "http/easy.h"

/* Headers that a response has at most once. */
static const char *const single_headers[] = {"Content-Type", "Date", "Server",
                                             NULL};

static void drop_unless_quiet(CURL *e);
static int on_prereq(void *ctx, char *local, char *remote, int local_port,
                     int remote_port);
static size_t on_head_line(char *data, size_t size, size_t n, void *ctx);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);

CURL *
CpEasyPool_Acquire(CpEasyPool *p)
{
    return p->idle_count > 0 ? p->idle[--p->idle_count] : curl_easy_init();
}

void
CpEasyPool_Release(CpEasyPool *p, CURL *e)
{
    curl_easy_reset(e);
    if (p->idle_count < CP_EASY_MAX_IDLE) {
        p->idle[p->idle_count++] = e;
    }
    else {
        curl_easy_cleanup(e);
    }
}

void
CpEasyPool_Clear(CpEasyPool *p)
{
    while (p->idle_count > 0) {
        curl_easy_cleanup(p->idle[--p->idle_count]);
    }
}

void
CpEasy_SetDefaults(CURL *e, const char *url, int64_t timeout_ms)
{
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
}

void
CpEasy_SendOnce(CURL *e, bool *sent)
{
    *sent = false;
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, sent);
}

void
CpEasy_SetReceivers(CURL *e, CpReceiveFn on_head, CpReceiveFn on_body,
                    void *ctx)
{
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_head);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, ctx);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, ctx);
}

void
CpEasyText_Begin(CpEasyText *t, GString *body, size_t max_bytes, CURL *e)
{
    const CpResponseOptions options = {.single_headers = single_headers,
                                       .has_text_body = true};
    t->body = body;
    t->max_bytes = max_bytes;
    CpResponseCheck_Begin(&t->check, &options, e);
    CpEasy_SetReceivers(e, on_head_line, on_data, t);
}

CURLcode
CpEasy_Perform(CURL *e, GString *body, size_t max_bytes, long *status)
{
    CpEasyText t;
    drop_unless_quiet(e);
    CpEasyText_Begin(&t, body, max_bytes, e);
    CURLcode code = CpResponseCheck_End(&t.check, curl_easy_perform(e));
    curl_easy_setopt(e, CURLOPT_VERBOSE, 0L);
    curl_easy_setopt(e, CURLOPT_DEBUGDATA, NULL);
    curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, status);
    if (t.check.flaw == CP_FLAW_NONE) {
        return code;
    }
    CpCounter_Add(CP_COUNT_RESPONSES_FLAWED, 1);
    CpEasy_Disconnect(e);
    return CURLE_PARTIAL_FILE;
}

void
CpEasy_Disconnect(CURL *e)
{
    curl_socket_t fd = CURL_SOCKET_BAD;
    curl_easy_getinfo(e, CURLINFO_ACTIVESOCKET, &fd);
    if (fd != CURL_SOCKET_BAD) {
        CpEasy_EndConnection(fd);
    }
}

/* The library takes a connection for usable while it holds bytes to read. */
void
CpEasy_EndConnection(curl_socket_t fd)
{
    char dropped[4096];
    shutdown(fd, SHUT_RDWR);
    while (recv(fd, dropped, sizeof(dropped), MSG_DONTWAIT) > 0) {
    }
}

/* Ends the connection of the last call if anything waits on it: the library
 * would take it for the response to the next call. */
static void
drop_unless_quiet(CURL *e)
{
    curl_socket_t fd = CURL_SOCKET_BAD;
    char byte;
    curl_easy_getinfo(e, CURLINFO_ACTIVESOCKET, &fd);
    if (fd != CURL_SOCKET_BAD &&
        recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0) {
        CpEasy_Disconnect(e);
    }
}

bool
CpEasy_MatchHeader(const char *line, size_t n, const char *name, char *value,
                   size_t value_bytes)
{
    size_t name_bytes = strlen(name);
    if (n <= name_bytes || strncasecmp(line, name, name_bytes) != 0 ||
        line[name_bytes] != ':') {
        return false;
    }
    const char *start = line + name_bytes + 1, *end = line + n;
    while (start < end && *start == ' ') {
        start++;
    }
    while (end > start && (end[-1] == '\r' || end[-1] == '\n')) {
        end--;
    }
    size_t size = (size_t)(end - start) + 1;
    CpStr_Copy(value, size < value_bytes ? size : value_bytes, start);
    return true;
}

uint32_t
CpEasy_ParseRetryAfter_ms(const char *value)
{
    char *end;
    double seconds = g_ascii_strtod(value, &end);
    end += strspn(end, " \t");
    if (end == value || *end != '\0' || !isfinite(seconds) || seconds <= 0) {
        return 0;
    }
    return seconds * 1000 < CP_EASY_MAX_RETRY_AFTER_MS
               ? (uint32_t)ceil(seconds * 1000)
               : CP_EASY_MAX_RETRY_AFTER_MS;
}

/* Called right before the first byte is sent. */
static int
on_prereq(void *ctx, char *local, char *remote, int local_port,
          int remote_port)
{
    bool *sent = ctx;
    (void)local, (void)remote, (void)local_port, (void)remote_port;
    if (*sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    *sent = true;
    return CURL_PREREQFUNC_OK;
}

static size_t
on_head_line(char *data, size_t size, size_t n, void *ctx)
{
    CpEasyText *t = ctx;
    n *= size;
    CpResponseCheck_OnHeadLine(&t->check, data, n);
    return t->check.flaw == CP_FLAW_NONE ? n : 0;
}

static size_t
on_data(char *data, size_t size, size_t n, void *ctx)
{
    CpEasyText *t = ctx;
    n *= size;
    CpResponseCheck_OnBody(&t->check, data, n);
    if (t->check.flaw != CP_FLAW_NONE || n > t->max_bytes - t->body->len) {
        return 0;
    }
    g_string_append_len(t->body, data, (gssize)n);
    return n;
}
