/*
 * Driver for the scripts of proxy: a proxy with one caller and one server in
 * this process. A script forces the order of events by holding the proxy's
 * thread between two system calls, or in a callback of the policy.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/proxy_int.h"
#include "regress.h"
#include "server.h"

#define ID "Id"
#define SEAL "Seal"

typedef struct {
    FILE *out;
    CpProxy *proxy;
    struct sockaddr_in caller_address;
    CpTestServer *server;
    int32_t caller_fds[2];
    pthread_mutex_t lock; /* guards the rest */
    pthread_cond_t changed;
    char joined[2][16]; /* ids; the proxy begins to send both at once */
    CpRequest *waits;   /* the second of them, which comes first */
} Script;

typedef struct {
    uint32_t status;
    uint64_t body_bytes;
    bool is_complete;
    bool is_right;
    bool is_closing; /* the connection ends with it */
} Received;

static void run_line(void *ctx, char *line);
static void start_proxy(Script *s);
static void connect_caller(Script *s, uint32_t caller);
static void send_request(Script *s, uint32_t caller, const CpTestAnswer *a,
                         const char *more);
static void print_received(Script *s, uint32_t caller, const CpTestAnswer *a);
static GString *make_large(CpTestAnswer *a, const char *kind, uint32_t n);
static void get_large(Script *s, const char *id, const char *kind, uint32_t n);
static void sweep(Script *s, const char *kind, uint32_t from, uint32_t to,
                  uint32_t upload_bytes);
static void get(Script *s, const char *id, const char *framing,
                uint32_t body_bytes, bool is_held);
static void join(Script *s, const char *first, const char *second,
                 const char *framing, uint32_t body_bytes);
static bool receive(int32_t fd, Received *out);

static bool on_head(void *ctx, CpRequest *rq, CpProxyAction *out);
static void on_request(void *ctx, CpRequest *rq, CpProxyAction *out);
static void on_woken(void *ctx, CpRequest *rq, CpProxyAction *out);
static void on_attempt_ended(void *ctx, CpRequest *rq,
                             const CpAttemptResult *a, CpProxyAction *out);
static bool may_send(void *ctx, const CpRequest *rq);
static bool may_stream(void *ctx, const CpRequest *rq,
                       const CpAttemptResult *head);
static void on_stream_ended(void *ctx, CpRequest *rq,
                            const CpAttemptResult *a);
static bool should_abandon(void *ctx, CpRequest *rq, int64_t *next_ns);
static void on_deadline(void *ctx, CpRequest *rq, bool sent,
                        int64_t latency_ns, CpProxyAction *out);
static void on_cancelled(void *ctx, CpRequest *rq, int64_t latency_ns);
static void on_request_ended(void *ctx, CpRequest *rq,
                             const CpRequestResult *result);
static void get_limits(void *ctx, CpRouteLimits *out);
static const char *find_key(const char *text);
static bool decode_load(const char *text, CpServerLoad *out);

static const CpHeaderNames headers = {
    .request_id = ID,
    .timeout_ms = "Timeout-Ms",
    .target_instance = "Target",
    .not_run = "Not-Run",
    .seal = SEAL,
    .server_load = "Load",
    .warmup_left = "Warmup-Left",
    .leaving = "Leaving",
    .object_cookie = "object",
    .key = "Key",
    .challenge = "Key",
    .org = "Org",
    .find_key = find_key,
    .decode_load = decode_load,
};

void
CpDrive_Proxy(FILE *in, FILE *out)
{
    Script *s = CpMem_Alloc(sizeof(*s));
    s->out = out;
    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->changed, NULL);
    signal(SIGPIPE, SIG_IGN);
    start_proxy(s);
    CpScript_Run(in, run_line, s);
    /* the proxy's threads run until the process ends */
}

/* get ID FRAMING BYTES: a request and its response. held ID FRAMING BYTES: the
 * same, while the proxy's thread is held between the calls that send the
 * request and receive the response, so that it finds much of this at once.
 * join ID1 ID2 FRAMING BYTES: two held requests that the proxy starts to send
 * in one step; the whole response to the first comes within this step. KIND ID
 * N: a request with a large head, or whose response has one (see
 * make_large()). sweep KIND FROM TO BYTES: the same for each N, with a body of
 * so many bytes; counts requests that run and whose connection ends without a
 * response. */
static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    char id[16], second[16], framing[16];
    uint32_t n, to, upload_bytes;
    if (sscanf(line, "get %15s %15s %u", id, framing, &n) == 3) {
        get(s, id, framing, n, false);
    }
    else if (sscanf(line, "held %15s %15s %u", id, framing, &n) == 3) {
        get(s, id, framing, n, true);
    }
    else if (sscanf(line, "join %15s %15s %15s %u", id, second, framing, &n) ==
             4) {
        join(s, id, second, framing, n);
    }
    else if (sscanf(line, "sweep %15s %u %u %u", framing, &n, &to,
                    &upload_bytes) == 4) {
        sweep(s, framing, n, to, upload_bytes);
    }
    else if (sscanf(line, "%15s %15s %u", framing, id, &n) == 3) {
        get_large(s, id, framing, n);
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

static void
start_proxy(Script *s)
{
    const CpTestServerOptions server_options = {.id_header = ID,
                                                .lines = SEAL ": s\r\n"};
    socklen_t n = sizeof(s->caller_address);
    char ip[INET_ADDRSTRLEN], listen_address[CP_ADDR_BYTES];
    /* of this process alone */
    snprintf(ip, sizeof(ip), "127.96.%u.%u", (uint32_t)getpid() >> 8 & 0xff,
             (uint32_t)getpid() & 0xff);
    snprintf(listen_address, sizeof(listen_address), "%s:7000", ip);
    const CpProxyOptions options = {
        .listen = listen_address,
        .source_ip = ip,
        .threads = 1,
        .max_connections = 16,
        .request_buffer_bytes = 1024 * 1024,
        .body_timeout_ms = CP_TEST_WAIT_MS,
        .budget = CpBudget_New(0, 16),
        .headers = &headers,
        .policy = {.on_head = on_head,
                   .on_request = on_request,
                   .on_woken = on_woken,
                   .on_attempt_ended = on_attempt_ended,
                   .may_send = may_send,
                   .may_stream = may_stream,
                   .on_stream_ended = on_stream_ended,
                   .should_abandon = should_abandon,
                   .on_deadline = on_deadline,
                   .on_cancelled = on_cancelled,
                   .on_request_ended = on_request_ended,
                   .get_limits = get_limits,
                   .ctx = s}};
    s->server = CpTestServer_Start(&server_options);
    if (CpProxy_New(&options, &s->proxy) != CP_OK ||
        CpProxy_Start(s->proxy) != CP_OK) {
        fprintf(stderr, "cannot start: %s\n", CpError_Message());
        exit(EXIT_FAILURE);
    }
    getsockname(s->proxy->listen_fd, (struct sockaddr *)&s->caller_address,
                &n);
    connect_caller(s, 0);
    connect_caller(s, 1);
}

static void
connect_caller(Script *s, uint32_t caller)
{
    int32_t fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&s->caller_address,
                sizeof(s->caller_address)) != 0) {
        fprintf(s->out, "cannot connect\n");
    }
    s->caller_fds[caller] = fd;
}

static void
send_request(Script *s, uint32_t caller, const CpTestAnswer *a,
             const char *more)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "%s %s HTTP/1.1\r\nHost: a\r\n" ID ": %s\r\n%s\r\n",
                    a->upload_bytes > 0 ? "POST" : "GET", a->target, a->name,
                    more);
    for (uint32_t i = 0; i < a->upload_bytes; i++) {
        g_string_append_c(text, 'u');
    }
    CpTestSocket_Write(s->caller_fds[caller], text->str, text->len);
    g_string_free(text, TRUE);
}

static void
get(Script *s, const char *id, const char *framing, uint32_t body_bytes,
    bool is_held)
{
    CpTestAnswer *a = CpTestServer_Add(s->server, id, framing, body_bytes);
    CpTestServer_Hold(s->server, is_held);
    send_request(s, 0, a, "");
    print_received(s, 0, a);
    CpTestServer_Hold(s->server, false);
}

static void
join(Script *s, const char *first, const char *second, const char *framing,
     uint32_t body_bytes)
{
    const CpTestAnswer *a = CpTestServer_Add(s->server, first, "length", 100);
    const CpTestAnswer *b =
        CpTestServer_Add(s->server, second, framing, body_bytes);
    CpTestServer_Hold(s->server, true);
    pthread_mutex_lock(&s->lock);
    CpStr_Copy(s->joined[0], sizeof(s->joined[0]), first);
    CpStr_Copy(s->joined[1], sizeof(s->joined[1]), second);
    s->waits = NULL;
    send_request(s, 1, b, "");
    while (s->waits == NULL) {
        pthread_cond_wait(&s->changed, &s->lock);
    }
    pthread_mutex_unlock(&s->lock);
    send_request(s, 0, a, "");
    print_received(s, 0, a);
    print_received(s, 1, b);
    CpTestServer_Hold(s->server, false);
}

/* KIND is query (N parameters), lines or cookies, or head: a header of N bytes
 * in the response. Returns header lines of the request. */
static GString *
make_large(CpTestAnswer *a, const char *kind, uint32_t n)
{
    bool is_query = strcmp(kind, "query") == 0;
    bool is_cookies = strcmp(kind, "cookies") == 0;
    GString *text = g_string_new(is_query     ? "/?"
                                 : is_cookies ? "Cookie: "
                                              : "");
    if (strcmp(kind, "head") == 0) {
        a->head_bytes = n;
        return text;
    }
    for (uint32_t i = 0; i < n; i++) {
        g_string_append_printf(text,
                               is_query     ? "&p=%u"
                               : is_cookies ? "; c=%u"
                                            : "l: %u\r\n",
                               i % 10);
    }
    if (is_query) {
        free(a->target);
        a->target = CpStr_Dup(text->str);
        g_string_truncate(text, 0);
    }
    if (is_cookies) {
        g_string_append(text, "\r\n");
    }
    return text;
}

static void
get_large(Script *s, const char *id, const char *kind, uint32_t n)
{
    CpTestAnswer *a = CpTestServer_Add(s->server, id, "length", 100);
    pthread_mutex_lock(&s->server->lock);
    GString *more = make_large(a, kind, n);
    pthread_mutex_unlock(&s->server->lock);
    send_request(s, 0, a, more->str);
    print_received(s, 0, a);
    g_string_free(more, TRUE);
}

static void
sweep(Script *s, const char *kind, uint32_t from, uint32_t to,
      uint32_t upload_bytes)
{
    uint32_t lost = 0, changed = 0, wrong = 0;
    for (uint32_t n = from; n <= to; n++) {
        char id[16];
        Received r = {0};
        snprintf(id, sizeof(id), "s%u", n);
        CpTestAnswer *a = CpTestServer_Add(s->server, id, "length", 100);
        pthread_mutex_lock(&s->server->lock);
        GString *more = make_large(a, kind, n);
        a->upload_bytes = upload_bytes;
        if (upload_bytes > 0) {
            g_string_append_printf(more, "Content-Length: %u\r\n",
                                   upload_bytes);
        }
        pthread_mutex_unlock(&s->server->lock);
        send_request(s, 0, a, more->str);
        bool has_answer = receive(s->caller_fds[0], &r);
        pthread_mutex_lock(&s->server->lock);
        lost += !has_answer && a->runs > 0;
        wrong += has_answer && (r.status == 200) != (a->runs > 0);
        changed += a->is_changed;
        pthread_mutex_unlock(&s->server->lock);
        g_string_free(more, TRUE);
        close(s->caller_fds[0]);
        connect_caller(s, 0);
    }
    fprintf(s->out,
            "sweep %s %u to %u, %u bytes: lost %u, changed %u, other status "
            "than the server's %u\n",
            kind, from, to, upload_bytes, lost, changed, wrong);
}

static void
print_received(Script *s, uint32_t caller, const CpTestAnswer *a)
{
    Received r = {0};
    bool has_answer = receive(s->caller_fds[caller], &r);
    pthread_mutex_lock(&s->server->lock);
    fprintf(s->out, "%s: ", a->name);
    if (!has_answer) {
        fprintf(s->out, "no answer");
    }
    else {
        fprintf(s->out, "%u", r.status);
        if (r.status == 200) {
            fprintf(s->out, ", %llu bytes%s, %s",
                    (unsigned long long)r.body_bytes,
                    r.is_right ? "" : " (others)",
                    !r.is_complete                  ? "breaks off"
                    : r.body_bytes == a->body_bytes ? "whole"
                                                    : "LOOKS COMPLETE");
        }
    }
    fprintf(s->out, "; server: %u run%s, connection %u, request %u\n", a->runs,
            a->is_changed ? " (changed)" : "", a->connection, a->request);
    pthread_mutex_unlock(&s->server->lock);
    if (!r.is_complete || r.is_closing) {
        close(s->caller_fds[caller]);
        connect_caller(s, caller);
    }
}

static bool
receive(int32_t fd, Received *out)
{
    static char line[CP_TEST_HEAD_BYTES];
    uint64_t length_bytes = 0;
    bool is_chunked = false;
    if (!CpTestSocket_ReadLine(fd, line, sizeof(line))) {
        return false;
    }
    out->status = (uint32_t)atoi(line + 9);
    out->is_right = true;
    while (CpTestSocket_ReadLine(fd, line, sizeof(line)) && line[0] != '\0') {
        if (strncasecmp(line, "Content-Length:", 15) == 0) {
            length_bytes = strtoull(line + 15, NULL, 10);
        }
        is_chunked |= strcasecmp(line, "Transfer-Encoding: chunked") == 0;
        out->is_closing |= strcasecmp(line, "Connection: close") == 0;
    }
    do {
        if (is_chunked) {
            if (!CpTestSocket_ReadLine(fd, line, sizeof(line))) {
                return true;
            }
            length_bytes = strtoull(line, NULL, 16);
        }
        while (length_bytes > 0) {
            size_t n = length_bytes < 4096 ? (size_t)length_bytes : 4096;
            if (!CpTestSocket_Read(fd, line, n)) {
                return true;
            }
            out->is_right &= out->status != 200 ||
                             CpTestServer_IsBody(line, n, out->body_bytes);
            out->body_bytes += n;
            length_bytes -= n;
            if (length_bytes == 0 && is_chunked) {
                length_bytes = UINT64_MAX; /* the chunk was not the last */
                break;
            }
        }
        if (is_chunked && !CpTestSocket_ReadLine(fd, line, sizeof(line))) {
            return true;
        }
    } while (is_chunked && length_bytes > 0);
    out->is_complete = true;
    return true;
}

static bool
on_head(void *ctx, CpRequest *rq, CpProxyAction *out)
{
    (void)ctx, (void)rq, (void)out;
    return true;
}

static void
on_request(void *ctx, CpRequest *rq, CpProxyAction *out)
{
    Script *s = ctx;
    on_woken(ctx, rq, out);
    pthread_mutex_lock(&s->lock);
    if (strcmp(rq->id, s->joined[1]) == 0) {
        s->waits = rq;
        pthread_cond_broadcast(&s->changed);
    }
    if (strcmp(rq->id, s->joined[0]) == 0) {
        CpProxy_WakeRequest(rq);
        CpProxy_WakeRequest(s->waits);
    }
    if (strcmp(rq->id, s->joined[0]) == 0 ||
        strcmp(rq->id, s->joined[1]) == 0) {
        out->type = CP_ACTION_WAIT;
        out->wait_until_ns = out->deadline_ns;
    }
    pthread_mutex_unlock(&s->lock);
}

static void
on_woken(void *ctx, CpRequest *rq, CpProxyAction *out)
{
    const Script *s = ctx;
    *out = (CpProxyAction){.type = CP_ACTION_SEND,
                           .instance = "i-1",
                           .idempotent = true,
                           .deadline_ns = rq->started_ns +
                                          CP_TEST_WAIT_MS * CP_NS_PER_MS};
    CpStr_Copy(out->address, sizeof(out->address), s->server->address);
}

static void
on_attempt_ended(void *ctx, CpRequest *rq, const CpAttemptResult *a,
                 CpProxyAction *out)
{
    (void)ctx, (void)rq;
    *out = (CpProxyAction){.type = a->outcome == CP_ATTEMPT_ANSWERED
                                       ? CP_ACTION_RESPOND
                                       : CP_ACTION_FAIL,
                           .reason = a->reason};
}

static bool
may_send(void *ctx, const CpRequest *rq)
{
    (void)ctx, (void)rq;
    return true;
}

static bool
may_stream(void *ctx, const CpRequest *rq, const CpAttemptResult *head)
{
    (void)ctx, (void)rq, (void)head;
    return true;
}

static void
on_stream_ended(void *ctx, CpRequest *rq, const CpAttemptResult *a)
{
    (void)ctx, (void)rq, (void)a;
}

static bool
should_abandon(void *ctx, CpRequest *rq, int64_t *next_ns)
{
    (void)ctx, (void)rq, (void)next_ns;
    return false;
}

static void
on_deadline(void *ctx, CpRequest *rq, bool sent, int64_t latency_ns,
            CpProxyAction *out)
{
    (void)ctx, (void)rq, (void)sent, (void)latency_ns;
    *out = (CpProxyAction){.type = CP_ACTION_FAIL,
                           .reason = CP_REASON_DEADLINE_PASSED};
}

static void
on_cancelled(void *ctx, CpRequest *rq, int64_t latency_ns)
{
    (void)ctx, (void)rq, (void)latency_ns;
}

static void
on_request_ended(void *ctx, CpRequest *rq, const CpRequestResult *result)
{
    (void)ctx, (void)rq, (void)result;
}

static void
get_limits(void *ctx, CpRouteLimits *out)
{
    (void)ctx;
    *out = (CpRouteLimits){.max_header_bytes = 16384,
                           .max_body_bytes = 1024 * 1024,
                           .header_timeout_ms = CP_TEST_WAIT_MS,
                           .idle_timeout_ms = CP_TEST_WAIT_MS};
}

static const char *
find_key(const char *text)
{
    (void)text;
    return NULL;
}

static bool
decode_load(const char *text, CpServerLoad *out)
{
    (void)text, (void)out;
    return false;
}
