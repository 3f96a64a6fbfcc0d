/*
 * Driver for the scripts of proxy: a proxy with one caller and one server in
 * this process. A script forces the order of events by holding the proxy's
 * thread between two system calls, or in a callback of the policy.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "proxy/proxy_int.h"
#include "regress.h"

#define MAX_CONNECTIONS 8 /* to the server */
#define MAX_ANSWERS 64
#define HEAD_BYTES (128 * 1024)
#define WAIT_MS 10000 /* longest wait for an event, and deadline */
/* The proxy's thread is held until so much of a response was read: more than
 * the proxy buffers for one caller. */
#define HELD_BYTES (384u * 1024)
#define ID "Id"
#define SEAL "Seal"

/* What the server answers to the request with this id. */
typedef struct {
    char id[16];
    char framing[16];
    uint32_t body_bytes;
    uint32_t head_bytes;   /* of a header besides the usual ones */
    uint32_t upload_bytes; /* body of the request */
    uint32_t connection;   /* on which the request came, from 1 on */
    uint32_t request;      /* its number there */
    uint32_t runs;
    bool is_changed; /* the request came with another target */
    char *target;    /* of the request */
    bool is_held;    /* hold the proxy's thread from the request on */
} Answer;

typedef struct {
    FILE *out;
    CpProxy *proxy;
    struct sockaddr_in caller_address;
    char server_address[CP_ADDR_BYTES];
    int32_t caller_fds[2];
    pthread_mutex_t lock; /* guards the rest */
    pthread_cond_t changed;
    Answer answers[MAX_ANSWERS];
    uint32_t answer_count;
    char joined[2][16]; /* ids; the proxy begins to send both at once */
    CpRequest *waits;   /* the second of them, which comes first */
} Script;

typedef struct {
    Script *script;
    int32_t fd;
    uint32_t number;
} Connection;

typedef struct {
    uint32_t status;
    uint64_t body_bytes;
    bool is_complete;
    bool is_right;
    bool is_closing; /* the connection ends with it */
} Received;

/* The hold of the proxy's thread: while it is armed, calls on the connection
 * with this port at its other end return late. */
static struct {
    uint32_t armed; /* flag; atomic */
    uint32_t done;  /* flag: the server has sent all; atomic */
    uint16_t server_port;
    uint64_t read_bytes;
} hold;

static void run_line(void *ctx, char *line);
static void start_proxy(Script *s);
static void connect_caller(Script *s, uint32_t caller);
static int32_t listen_any(struct sockaddr_in *address);
static Answer *add_answer(Script *s, const char *id, const char *framing,
                          uint32_t body_bytes, bool is_held);
static void send_request(Script *s, uint32_t caller, const Answer *a,
                         const char *more);
static void print_received(Script *s, uint32_t caller, const Answer *a);
static GString *make_large(Answer *a, const char *kind, uint32_t n);
static void get_large(Script *s, const char *id, const char *kind, uint32_t n);
static void sweep(Script *s, const char *kind, uint32_t from, uint32_t to,
                  uint32_t upload_bytes);
static void get(Script *s, const char *id, const char *framing,
                uint32_t body_bytes, bool is_held);
static void join(Script *s, const char *first, const char *second,
                 const char *framing, uint32_t body_bytes);
static bool receive(int32_t fd, Received *out);
static bool read_all(int32_t fd, void *out, size_t n);
static bool read_line(int32_t fd, char *out, size_t n);
static uint64_t check_body(const char *body, uint64_t n, uint64_t offset);
static void *server_thread(void *ctx);
static void *connection_thread(void *ctx);
static bool has_target(const char *line, const char *target);
static void answer_request(Connection *c, const Answer *a);
static bool send_all(int32_t fd, const void *data, size_t n);
static void wait_for_bytes(int fd);
static bool holds_fd(int fd);

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
    struct sockaddr_in address;
    socklen_t n = sizeof(s->caller_address);
    pthread_t thread;
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
        .body_timeout_ms = WAIT_MS,
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
    Connection *listener = CpMem_Alloc(sizeof(*listener));
    *listener = (Connection){.script = s, .fd = listen_any(&address)};
    snprintf(s->server_address, sizeof(s->server_address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    hold.server_port = address.sin_port;
    pthread_create(&thread, NULL, server_thread, listener);
    pthread_detach(thread);
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

static int32_t
listen_any(struct sockaddr_in *address)
{
    socklen_t n = sizeof(*address);
    int32_t fd = socket(AF_INET, SOCK_STREAM, 0);
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (bind(fd, (struct sockaddr *)address, n) != 0 ||
        listen(fd, MAX_CONNECTIONS) != 0 ||
        getsockname(fd, (struct sockaddr *)address, &n) != 0) {
        abort();
    }
    return fd;
}

static Answer *
add_answer(Script *s, const char *id, const char *framing, uint32_t body_bytes,
           bool is_held)
{
    Answer *a = &s->answers[s->answer_count++ % MAX_ANSWERS];
    free(a->target);
    *a = (Answer){.body_bytes = body_bytes,
                  .target = CpStr_Dup("/"),
                  .is_held = is_held};
    CpStr_Copy(a->id, sizeof(a->id), id);
    CpStr_Copy(a->framing, sizeof(a->framing), framing);
    return a;
}

static void
send_request(Script *s, uint32_t caller, const Answer *a, const char *more)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "%s %s HTTP/1.1\r\nHost: a\r\n" ID ": %s\r\n%s\r\n",
                    a->upload_bytes > 0 ? "POST" : "GET", a->target, a->id,
                    more);
    for (uint32_t i = 0; i < a->upload_bytes; i++) {
        g_string_append_c(text, 'u');
    }
    send_all(s->caller_fds[caller], text->str, text->len);
    g_string_free(text, TRUE);
}

static void
get(Script *s, const char *id, const char *framing, uint32_t body_bytes,
    bool is_held)
{
    pthread_mutex_lock(&s->lock);
    Answer *a = add_answer(s, id, framing, body_bytes, is_held);
    pthread_mutex_unlock(&s->lock);
    send_request(s, 0, a, "");
    print_received(s, 0, a);
    CpAtomic_Store(&hold.armed, 0);
}

static void
join(Script *s, const char *first, const char *second, const char *framing,
     uint32_t body_bytes)
{
    pthread_mutex_lock(&s->lock);
    Answer *a = add_answer(s, first, "length", 100, true);
    Answer *b = add_answer(s, second, framing, body_bytes, true);
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
    CpAtomic_Store(&hold.armed, 0);
}

/* KIND is query (N parameters), lines or cookies, or head: a header of N bytes
 * in the response. Returns header lines of the request. */
static GString *
make_large(Answer *a, const char *kind, uint32_t n)
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
    pthread_mutex_lock(&s->lock);
    Answer *a = add_answer(s, id, "length", 100, false);
    GString *more = make_large(a, kind, n);
    pthread_mutex_unlock(&s->lock);
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
        pthread_mutex_lock(&s->lock);
        Answer *a = add_answer(s, id, "length", 100, false);
        GString *more = make_large(a, kind, n);
        a->upload_bytes = upload_bytes;
        if (upload_bytes > 0) {
            g_string_append_printf(more, "Content-Length: %u\r\n",
                                   upload_bytes);
        }
        pthread_mutex_unlock(&s->lock);
        send_request(s, 0, a, more->str);
        bool has_answer = receive(s->caller_fds[0], &r);
        pthread_mutex_lock(&s->lock);
        lost += !has_answer && a->runs > 0;
        wrong += has_answer && (r.status == 200) != (a->runs > 0);
        changed += a->is_changed;
        pthread_mutex_unlock(&s->lock);
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
print_received(Script *s, uint32_t caller, const Answer *a)
{
    Received r = {0};
    bool has_answer = receive(s->caller_fds[caller], &r);
    pthread_mutex_lock(&s->lock);
    fprintf(s->out, "%s: ", a->id);
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
    pthread_mutex_unlock(&s->lock);
    if (!r.is_complete || r.is_closing) {
        close(s->caller_fds[caller]);
        connect_caller(s, caller);
    }
}

static bool
receive(int32_t fd, Received *out)
{
    static char line[HEAD_BYTES];
    uint64_t length_bytes = 0;
    bool is_chunked = false;
    if (!read_line(fd, line, sizeof(line))) {
        return false;
    }
    out->status = (uint32_t)atoi(line + 9);
    out->is_right = true;
    while (read_line(fd, line, sizeof(line)) && line[0] != '\0') {
        if (strncasecmp(line, "Content-Length:", 15) == 0) {
            length_bytes = strtoull(line + 15, NULL, 10);
        }
        is_chunked |= strcasecmp(line, "Transfer-Encoding: chunked") == 0;
        out->is_closing |= strcasecmp(line, "Connection: close") == 0;
    }
    do {
        if (is_chunked) {
            if (!read_line(fd, line, sizeof(line))) {
                return true;
            }
            length_bytes = strtoull(line, NULL, 16);
        }
        while (length_bytes > 0) {
            size_t n = length_bytes < 4096 ? (size_t)length_bytes : 4096;
            if (!read_all(fd, line, n)) {
                return true;
            }
            out->is_right &=
                out->status != 200 || check_body(line, n, out->body_bytes);
            out->body_bytes += n;
            length_bytes -= n;
            if (length_bytes == 0 && is_chunked) {
                length_bytes = UINT64_MAX; /* the chunk was not the last */
                break;
            }
        }
        if (is_chunked && !read_line(fd, line, sizeof(line))) {
            return true;
        }
    } while (is_chunked && length_bytes > 0);
    out->is_complete = true;
    return true;
}

static bool
read_all(int32_t fd, void *out, size_t n)
{
    char *at = out;
    while (n > 0) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        ssize_t k = poll(&p, 1, 2 * WAIT_MS) > 0 ? read(fd, at, n) : -1;
        if (k <= 0) {
            return false;
        }
        at += k;
        n -= (size_t)k;
    }
    return true;
}

/* Reads a line and removes its end. */
static bool
read_line(int32_t fd, char *out, size_t n)
{
    size_t k = 0;
    while (k + 1 < n && read_all(fd, out + k, 1)) {
        if (out[k] == '\n') {
            out[k > 0 && out[k - 1] == '\r' ? k - 1 : k] = '\0';
            return true;
        }
        k++;
    }
    return false;
}

/* A body consists of letters in turn. */
static uint64_t
check_body(const char *body, uint64_t n, uint64_t offset)
{
    for (uint64_t i = 0; i < n; i++) {
        if (body[i] != (char)('a' + (offset + i) % 26)) {
            return false;
        }
    }
    return true;
}

static void *
server_thread(void *ctx)
{
    Connection *listener = ctx;
    for (uint32_t i = 1;; i++) {
        pthread_t thread;
        Connection *c = CpMem_Alloc(sizeof(*c));
        *c = (Connection){.script = listener->script, .number = i};
        c->fd = accept(listener->fd, NULL, NULL);
        pthread_create(&thread, NULL, connection_thread, c);
        pthread_detach(thread);
    }
    return NULL;
}

static void *
connection_thread(void *ctx)
{
    Connection *c = ctx;
    Script *s = c->script;
    char *line = CpMem_Alloc(HEAD_BYTES), *target = CpMem_Alloc(HEAD_BYTES);
    uint32_t requests = 0;
    Answer *a;
    do {
        char id[16] = "";
        uint32_t upload_bytes = 0;
        a = NULL;
        read_line(c->fd, target, HEAD_BYTES);
        while (read_line(c->fd, line, HEAD_BYTES) && line[0] != '\0') {
            sscanf(line, ID ": %15s", id);
            sscanf(line, "Content-Length: %u", &upload_bytes);
        }
        while (upload_bytes > 0 &&
               read_all(c->fd, line, MIN(upload_bytes, HEAD_BYTES))) {
            upload_bytes -= MIN(upload_bytes, HEAD_BYTES);
        }
        pthread_mutex_lock(&s->lock);
        for (uint32_t i = 0; i < MAX_ANSWERS; i++) {
            if (id[0] != '\0' && strcmp(s->answers[i].id, id) == 0) {
                a = &s->answers[i];
                a->connection = c->number;
                a->request = ++requests;
                a->runs++;
                a->is_changed = !has_target(target, a->target);
            }
        }
        pthread_mutex_unlock(&s->lock);
        if (a != NULL) {
            answer_request(c, a);
        }
    } while (a != NULL && strcmp(a->framing, "close") != 0);
    close(c->fd);
    free(target);
    free(line);
    free(c);
    return NULL;
}

/* Returns true if a request line has this target. */
static bool
has_target(const char *line, const char *target)
{
    const char *at = strchr(line, ' ');
    size_t n = strlen(target);
    return at != NULL && strncmp(at + 1, target, n) == 0 && at[n + 1] == ' ';
}

static void
answer_request(Connection *c, const Answer *a)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 200 OK\r\n" ID ": %s\r\n" SEAL ": s\r\n",
                    a->id);
    if (a->head_bytes > 0) {
        g_string_append(text, "Filler: ");
        for (uint32_t i = 0; i < a->head_bytes; i++) {
            g_string_append_c(text, 'f');
        }
        g_string_append(text, "\r\n");
    }
    if (strcmp(a->framing, "length") == 0) {
        g_string_append_printf(text, "Content-Length: %u\r\n\r\n",
                               a->body_bytes);
    }
    else {
        g_string_append(text, "Connection: close\r\n\r\n");
    }
    for (uint32_t i = 0; i < a->body_bytes; i++) {
        g_string_append_c(text, (char)('a' + i % 26));
    }
    send_all(c->fd, text->str, text->len);
    g_string_free(text, TRUE);
    CpAtomic_Store(&hold.done, 1);
}

static bool
send_all(int32_t fd, const void *data, size_t n)
{
    const char *at = data;
    while (n > 0) {
        ssize_t k = write(fd, at, n);
        if (k <= 0) {
            return false;
        }
        at += k;
        n -= (size_t)k;
    }
    return true;
}

/* These two stand in for the functions of the C library, in the libraries,
 * too. A call on a held connection returns when there is more to read. */
ssize_t
send(int fd, const void *data, size_t n, int flags)
{
    ssize_t k = syscall(SYS_sendto, fd, data, n, flags, NULL, 0);
    if (k > 0 && holds_fd(fd)) {
        wait_for_bytes(fd);
    }
    return k;
}

ssize_t
recv(int fd, void *out, size_t n, int flags)
{
    ssize_t k = syscall(SYS_recvfrom, fd, out, n, flags, NULL, NULL);
    if (k > 0 && flags == 0 && holds_fd(fd)) {
        hold.read_bytes += (uint64_t)k;
        wait_for_bytes(fd);
    }
    return k;
}

static void
wait_for_bytes(int fd)
{
    int queued = 0;
    for (uint32_t ms = 0; ms < WAIT_MS; ms++) {
        /* `done` is read first: what was sent before it is queued then */
        uint32_t done = CpAtomic_Load(&hold.done);
        if (ioctl(fd, FIONREAD, &queued) != 0 || queued > 0 || done) {
            return;
        }
        usleep(1000);
    }
}

static bool
holds_fd(int fd)
{
    struct sockaddr_in peer;
    socklen_t n = sizeof(peer);
    return CpAtomic_Load(&hold.armed) && hold.read_bytes < HELD_BYTES &&
           getpeername(fd, (struct sockaddr *)&peer, &n) == 0 &&
           peer.sin_port == hold.server_port;
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
                           .deadline_ns =
                               rq->started_ns + WAIT_MS * CP_NS_PER_MS};
    CpStr_Copy(out->address, sizeof(out->address), s->server_address);
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
    Script *s = ctx;
    pthread_mutex_lock(&s->lock);
    for (uint32_t i = 0; i < MAX_ANSWERS; i++) {
        if (s->answers[i].is_held && strcmp(rq->id, s->answers[i].id) == 0) {
            hold.read_bytes = 0;
            CpAtomic_Store(&hold.done, 0);
            CpAtomic_Store(&hold.armed, 1);
        }
    }
    pthread_mutex_unlock(&s->lock);
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
                           .header_timeout_ms = WAIT_MS,
                           .idle_timeout_ms = WAIT_MS};
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
