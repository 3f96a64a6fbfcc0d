/*
 * Client of backend servers: one curl multi handle per thread, each for the
 * servers that hash to it. A request that is not idempotent gets a new
 * connection, since curl resends a request that a reused connection lost.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "http/easy.h"
#include "http/http.h"

#define MAX_IDLE_CONNECTIONS 512
#define CONNECT_TIMEOUT_MS 1000
#define POLL_MS 1000
#define DEADLINE_MARGIN_MS 2 /* leaves time to respond to the caller */
#define REQUEST_ID_BYTES 17

typedef struct Worker Worker;

/* One dispatch to a server; lives as long as the exchange. */
typedef struct Dispatch {
    struct Dispatch *next; /* in the inbox */
    Worker *worker;
    CpExchange *ex;
    CURL *easy;
    struct curl_slist *headers;
    char address[CP_ADDR_BYTES];
    char url[CP_ADDR_BYTES + 16];
    bool queued; /* in the inbox; worker->lock guards this and the next 3 */
    bool wants_start;
    bool wants_cancel;
    bool finished;
    bool sent;     /* request bytes may have been sent */
    bool expired;  /* the slot or deadline expired before sending */
    bool spent;    /* the library chose a spent connection; nothing sent */
    bool accepted; /* the head is complete and this request's */
    bool head_delivered;
    bool is_first;   /* the connection's first request */
    bool has_id;     /* the response is for this request */
    bool mismatched; /* the response is for another request */
    bool not_run;    /* the server reports that it did not run the request */
    bool cancelled;
    int64_t started_ns;
    char request_id[REQUEST_ID_BYTES];
    CpResponseCheck check;
    CpResponseHead head;
} Dispatch;

struct Worker {
    CpBackend *backend;
    pthread_t thread;
    pthread_mutex_t lock; /* guards inbox and stopping */
    Dispatch *inbox;
    bool stopping;
    CURLM *multi;
    CpEasyPool easy_pool;
    CpConnections *connections;
};

struct CpBackend {
    CpBackendOptions options;
    /* "host!IP": curl then takes the IP as an address, not an interface */
    char interface[CP_ADDR_BYTES + 8];
    uint32_t count;
    Worker *workers;
};

static void *worker_thread(void *ctx);
static bool drain_inbox(Worker *w);
static void start_dispatch(Worker *w, Dispatch *d);
static void restart_dispatch(Worker *w, Dispatch *d);
static void set_options(Worker *w, Dispatch *d);
static void set_body(Dispatch *d);
static void add_header(Dispatch *d, const char *name, const char *value);
static void finish_dispatch(Worker *w, Dispatch *d, CURLcode code);
static void classify_result(Dispatch *d, CURLcode code, CpBackendResult *r);
static void post_dispatch(Dispatch *d, bool start, bool cancel);
static void on_pipe_ready(void *ctx);
static void on_cancel(void *ctx, CpExchange *ex);
static int on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose);
static int on_prereq(void *ctx, char *remote, char *local, int remote_port,
                     int local_port);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static size_t on_read(char *out, size_t size, size_t n, void *ctx);
static bool accept_head(Dispatch *d);
static void deliver_head(Dispatch *d);

/* Headers of responses that are read, besides those of the check. */
static const char *const single_headers[] = {
    CP_HEADER_REQUEST_ID, CP_HEADER_VERDICT, "Content-Type", NULL};

CpStatus
CpBackend_New(const CpBackendOptions *options, CpBackend **out)
{
    CpBackend *b = CpMem_Alloc(sizeof(*b));
    b->options = *options;
    const char *colon = strrchr(options->source_address, ':');
    snprintf(b->interface, sizeof(b->interface), "host!%.*s",
             (int)(colon - options->source_address), options->source_address);
    b->count = options->threads;
    b->workers = CpMem_Alloc(b->count * sizeof(*b->workers));
    for (uint32_t i = 0; i < b->count; i++) {
        Worker *w = &b->workers[i];
        w->backend = b;
        pthread_mutex_init(&w->lock, NULL);
        w->multi = curl_multi_init();
        curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS,
                          (long)MAX_IDLE_CONNECTIONS);
        w->connections = CpConnections_New();
    }
    *out = b;
    return CP_OK;
}

CpStatus
CpBackend_Start(CpBackend *b)
{
    for (uint32_t i = 0; i < b->count; i++) {
        if (pthread_create(&b->workers[i].thread, NULL, worker_thread,
                           &b->workers[i]) != 0) {
            return CpError_Set(CP_ERR_IO, "backend: cannot start a thread");
        }
    }
    return CP_OK;
}

void
CpBackend_Free(CpBackend *b)
{
    for (uint32_t i = 0; i < b->count; i++) {
        Worker *w = &b->workers[i];
        pthread_mutex_lock(&w->lock);
        w->stopping = true;
        pthread_mutex_unlock(&w->lock);
        curl_multi_wakeup(w->multi);
        pthread_join(w->thread, NULL);
        CpEasyPool_Clear(&w->easy_pool);
        curl_multi_cleanup(w->multi); /* closes connections */
        CpConnections_Free(w->connections);
        pthread_mutex_destroy(&w->lock);
    }
    free(b->workers);
    free(b);
}

void
CpBackend_Send(CpBackend *b, CpExchange *ex, const char *address)
{
    Dispatch *d = CpMem_Alloc(sizeof(*d));
    d->worker = &b->workers[CpHash_Str(address, 0) % b->count];
    d->ex = CpExchange_Retain(ex);
    d->started_ns = CpClock_Now_ns();
    CpStr_Copy(d->address, sizeof(d->address), address);
    CpExchange_Attach(ex, d, free);
    CpPipe_SetOnWritable(ex->response_body, on_pipe_ready, d);
    if (ex->request_body != NULL) {
        CpPipe_SetOnReadable(ex->request_body, on_pipe_ready, d);
    }
    bool not_cancelled = CpExchange_SetOnCancel(ex, on_cancel, d);
    post_dispatch(d, true, !not_cancelled);
}

static void *
worker_thread(void *ctx)
{
    Worker *w = ctx;
    int running, left;
    while (drain_inbox(w)) {
        CURLMsg *msg;
        curl_multi_perform(w->multi, &running);
        while ((msg = curl_multi_info_read(w->multi, &left)) != NULL) {
            Dispatch *d;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &d);
            if (d->spent) {
                restart_dispatch(w, d);
            }
            else {
                finish_dispatch(w, d, msg->data.result);
            }
        }
        curl_multi_poll(w->multi, NULL, 0, POLL_MS, NULL);
    }
    return NULL;
}

/* Handles the dispatches that other threads posted; returns false if the
 * worker has to stop. */
static bool
drain_inbox(Worker *w)
{
    for (;;) {
        pthread_mutex_lock(&w->lock);
        Dispatch *d = w->inbox;
        bool stopping = w->stopping;
        if (d == NULL) {
            pthread_mutex_unlock(&w->lock);
            return !stopping;
        }
        w->inbox = d->next;
        bool start = d->wants_start, cancel = d->wants_cancel;
        d->queued = d->wants_start = false;
        pthread_mutex_unlock(&w->lock);
        if (cancel) {
            d->cancelled = true;
            finish_dispatch(w, d, CURLE_ABORTED_BY_CALLBACK);
        }
        else if (start) {
            start_dispatch(w, d);
        }
        else if (d->easy != NULL) {
            curl_easy_pause(d->easy, CURLPAUSE_CONT);
        }
    }
}

static void
start_dispatch(Worker *w, Dispatch *d)
{
    d->easy = CpEasyPool_Acquire(&w->easy_pool);
    set_options(w, d);
    curl_multi_add_handle(w->multi, d->easy);
}

/* Sends the request on a connection of its own. */
static void
restart_dispatch(Worker *w, Dispatch *d)
{
    CpCounter_Add(CP_COUNT_CONNECTIONS_SPENT, 1);
    curl_multi_remove_handle(w->multi, d->easy);
    d->spent = false;
    curl_easy_setopt(d->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(w->multi, d->easy);
}

static void
set_options(Worker *w, Dispatch *d)
{
    CURL *e = d->easy;
    CpExchange *ex = d->ex;
    char text[32];
    int64_t left_ms = (ex->deadline_ns - CpClock_Now_ns()) / CP_NS_PER_MS -
                      DEADLINE_MARGIN_MS;
    snprintf(d->url, sizeof(d->url), "http://%s/", d->address);
    CpEasy_SetDefaults(e, d->url, left_ms > 0 ? left_ms : 1);
    curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, ex->target);
    curl_easy_setopt(e, CURLOPT_PRIVATE, d);
    curl_easy_setopt(e, CURLOPT_INTERFACE, w->backend->interface);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, d);
    CpConnections_Follow(w->connections, e);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, d);
    CpEasy_SetReceivers(e, on_header, on_body, d);
    if (!ex->idempotent) {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
    }
    snprintf(d->request_id, sizeof(d->request_id), "%016llx",
             (unsigned long long)CpHash(&ex->id, sizeof(ex->id),
                                        (uint64_t)ex->started_ns));
    const CpResponseOptions expected = {.connections = w->connections,
                                        .server = d->address,
                                        .single_headers = single_headers,
                                        .id_header = CP_HEADER_REQUEST_ID,
                                        .id = d->request_id,
                                        .is_head =
                                            strcmp(ex->method, "HEAD") == 0};
    CpResponseCheck_Begin(&d->check, &expected, e);
    add_header(d, "Expect", "");
    add_header(d, "Content-Type", ex->content_type);
    add_header(d, CP_HEADER_REQUEST_ID, d->request_id);
    snprintf(text, sizeof(text), "%lld",
             (long long)(left_ms > 0 ? left_ms : 1));
    add_header(d, CP_HEADER_DEADLINE, text);
    add_header(d, CP_HEADER_ORIGIN, ex->origin);
    set_body(d);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, d->headers);
}

static void
set_body(Dispatch *d)
{
    CpExchange *ex = d->ex;
    if (ex->request_body != NULL) {
        curl_easy_setopt(d->easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(d->easy, CURLOPT_READFUNCTION, on_read);
        curl_easy_setopt(d->easy, CURLOPT_READDATA, d);
        add_header(d, "Transfer-Encoding", "chunked");
    }
    else if (ex->inline_body_bytes > 0 || strcmp(ex->method, "POST") == 0) {
        curl_easy_setopt(d->easy, CURLOPT_POSTFIELDSIZE,
                         (long)ex->inline_body_bytes);
        curl_easy_setopt(d->easy, CURLOPT_POSTFIELDS,
                         ex->inline_body_bytes > 0 ? (char *)ex->inline_body
                                                   : "");
    }
    if (d->check.options.is_head) {
        curl_easy_setopt(d->easy, CURLOPT_NOBODY, 1L);
    }
    else {
        curl_easy_setopt(d->easy, CURLOPT_CUSTOMREQUEST, ex->method);
    }
}

static void
add_header(Dispatch *d, const char *name, const char *value)
{
    char line[CP_CONTENT_TYPE_BYTES + 64];
    snprintf(line, sizeof(line), "%s:%s%s", name, *value ? " " : "", value);
    d->headers = curl_slist_append(d->headers, line);
}

static void
finish_dispatch(Worker *w, Dispatch *d, CURLcode code)
{
    CpBackendResult r;
    pthread_mutex_lock(&w->lock);
    bool already_finished = d->finished;
    d->finished = true;
    if (d->queued) { /* a wake-up was posted as the dispatch ended */
        Dispatch **link = &w->inbox;
        while (*link != d) {
            link = &(*link)->next;
        }
        *link = d->next;
        d->queued = false;
    }
    pthread_mutex_unlock(&w->lock);
    if (already_finished) {
        return;
    }
    if (d->easy != NULL) {
        code = CpResponseCheck_End(&d->check, code);
        CpResponseCheck_Count(&d->check);
        if (!d->has_id) {
            d->check.idle_fd = CURL_SOCKET_BAD;
        }
    }
    classify_result(d, code, &r);
    if (d->easy != NULL) {
        curl_multi_remove_handle(w->multi, d->easy);
        CpConnections_Release(&d->check);
        CpEasyPool_Release(&w->easy_pool, d->easy);
        d->easy = NULL;
    }
    curl_slist_free_all(d->headers);
    d->headers = NULL;
    CpExchange *ex = d->ex;
    CpPipe_SetOnWritable(ex->response_body, NULL, NULL);
    if (ex->request_body != NULL) {
        CpPipe_SetOnReadable(ex->request_body, NULL, NULL);
    }
    CpExchange_SetOnCancel(ex, NULL, NULL);
    if (r.outcome == CP_OUTCOME_OK && r.head_delivered) {
        CpPipe_End(ex->response_body, CP_PIPE_COMPLETE);
    }
    w->backend->options.on_done(w->backend->options.ctx, ex, &r);
    CpExchange_Release(ex);
}

/* Sets whether the request may have run, and why there is no response. */
static void
classify_result(Dispatch *d, CURLcode code, CpBackendResult *r)
{
    *r = (CpBackendResult){.head_delivered = d->head_delivered,
                           .latency_ns = CpClock_Now_ns() - d->started_ns,
                           .verdict = d->sent ? CP_MAY_HAVE_RUN : CP_NOT_RUN,
                           .outcome = CP_OUTCOME_FAILED,
                           .reason = CP_REASON_SERVER_FAILED};
    if (d->head_delivered) {
        r->verdict = CP_RAN;
    }
    if (d->not_run && d->accepted && d->check.flaw == CP_FLAW_NONE) {
        r->verdict = CP_NOT_RUN;
        r->outcome = CP_OUTCOME_REFUSED;
        r->reason = CP_REASON_SERVER_REFUSED;
    }
    else if (d->mismatched || d->check.flaw == CP_FLAW_HEAD_MIXED ||
             d->check.flaw == CP_FLAW_BODY_MIXED) {
        r->reason = CP_REASON_ANSWER_CROSSED;
    }
    else if (d->cancelled) {
        r->outcome = d->sent ? CP_OUTCOME_CANCELLED : CP_OUTCOME_UNSENT;
        r->reason = CpClock_Now_ns() >= d->ex->deadline_ns
                        ? CP_REASON_DEADLINE_PASSED
                        : CP_REASON_CALLER_GONE;
    }
    else if (d->expired) {
        r->outcome = CP_OUTCOME_UNSENT;
        r->reason = CP_REASON_NO_SERVER;
    }
    else if (code == CURLE_OK) {
        r->outcome = CP_OUTCOME_OK;
        r->reason = CP_REASON_NONE;
    }
    else if (!d->sent) {
        r->outcome = CP_OUTCOME_UNREACHABLE;
        r->reason = CP_REASON_CONNECT_FAILED;
    }
    else if (code == CURLE_PARTIAL_FILE || d->head_delivered) {
        r->reason = CP_REASON_ANSWER_TRUNCATED;
    }
    else if (code == CURLE_OPERATION_TIMEDOUT) {
        r->reason = CP_REASON_DEADLINE_PASSED;
    }
}

static void
post_dispatch(Dispatch *d, bool start, bool cancel)
{
    Worker *w = d->worker;
    pthread_mutex_lock(&w->lock);
    bool accepted = !d->finished;
    if (accepted) {
        d->wants_start |= start;
        d->wants_cancel |= cancel;
        if (!d->queued) {
            Dispatch **link = &w->inbox;
            while (*link != NULL) {
                link = &(*link)->next;
            }
            d->next = NULL;
            *link = d;
            d->queued = true;
        }
    }
    pthread_mutex_unlock(&w->lock);
    if (accepted) {
        curl_multi_wakeup(w->multi);
    }
}

static void
on_pipe_ready(void *ctx)
{
    post_dispatch(ctx, false, false);
}

static void
on_cancel(void *ctx, CpExchange *ex)
{
    (void)ex;
    post_dispatch(ctx, false, true);
}

static int
on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
    Dispatch *d = ctx;
    (void)purpose;
    CpConnections_OnOpened(&d->check, fd);
    return CURL_SOCKOPT_OK;
}

/* Called after the connect and right before the first byte is sent, the last
 * point at which the request is known not to have run. */
static int
on_prereq(void *ctx, char *remote, char *local, int remote_port,
          int local_port)
{
    Dispatch *d = ctx;
    int64_t now_ns = CpClock_Now_ns();
    (void)remote, (void)local, (void)remote_port;
    if (now_ns >= d->ex->item.slot_expires_ns ||
        now_ns >= d->ex->deadline_ns) {
        CpCounter_Add(CP_COUNT_LOANS_LAPSED, 1);
        d->expired = true;
        return CURL_PREREQFUNC_ABORT;
    }
    CpConnectionState state = CpConnections_Take(&d->check, local_port);
    d->is_first = state == CP_CONNECTION_OPENED;
    d->spent = state == CP_CONNECTION_SPENT;
    if (d->spent) {
        return CURL_PREREQFUNC_ABORT;
    }
    d->sent = true;
    return CURL_PREREQFUNC_OK;
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    Dispatch *d = ctx;
    CpResponseCheck *c = &d->check;
    char value[CP_CONTENT_TYPE_BYTES];
    n *= size;
    CpHeadLine line = CpResponseCheck_OnHeadLine(c, data, n);
    if (c->flaw != CP_FLAW_NONE) {
        return 0;
    }
    if (d->accepted) { /* a trailer, which is dropped */
        return n;
    }
    if (line == CP_HEAD_STATUS) {
        d->has_id = d->not_run = false;
        d->head.content_type[0] = '\0';
    }
    else if (line == CP_HEAD_END) {
        if (c->head_received && !accept_head(d)) {
            return 0;
        }
    }
    else if (CpEasy_MatchHeader(data, n, "Content-Type", value,
                                sizeof(value))) {
        CpStr_Copy(d->head.content_type, sizeof(d->head.content_type), value);
    }
    else if (CpEasy_MatchHeader(data, n, CP_HEADER_VERDICT, value,
                                sizeof(value))) {
        d->not_run = c->status == 503 && CpVerdict_Parse(value) == CP_NOT_RUN;
    }
    else if (CpEasy_MatchHeader(data, n, CP_HEADER_REQUEST_ID, value,
                                sizeof(value))) {
        d->has_id = strcmp(value, d->request_id) == 0;
        d->mismatched |= !d->has_id;
    }
    return n;
}

/* Accepts a complete head if the response is this request's and its end will
 * show. It may lack the id on a connection that no other request has had or
 * gets, and in a refusal. */
static bool
accept_head(Dispatch *d)
{
    const CpResponseCheck *c = &d->check;
    bool is_framed = c->framing != CP_FRAMING_CLOSE;
    d->mismatched |= !d->has_id && !d->not_run && !d->is_first;
    d->accepted = !d->mismatched && is_framed;
    d->head.status = c->status;
    d->head.length_bytes = c->has_length ? c->length_bytes : CP_LENGTH_UNKNOWN;
    if (d->accepted && !d->not_run) {
        deliver_head(d);
    }
    return d->accepted;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    Dispatch *d = ctx;
    n *= size;
    if (!d->not_run && !CpPipe_CanWrite(d->ex->response_body, (uint32_t)n)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    CpResponseCheck_OnBody(&d->check, data, n);
    if (d->check.flaw != CP_FLAW_NONE) {
        return 0;
    }
    if (!d->not_run) {
        CpPipe_Write(d->ex->response_body, data, (uint32_t)n);
    }
    return n;
}

static size_t
on_read(char *out, size_t size, size_t n, void *ctx)
{
    Dispatch *d = ctx;
    CpPipeState state;
    uint32_t read_bytes =
        CpPipe_Read(d->ex->request_body, out, (uint32_t)(size * n), &state);
    if (read_bytes == 0 && state == CP_PIPE_OPEN) {
        return CURL_READFUNC_PAUSE;
    }
    return state == CP_PIPE_BROKEN ? CURL_READFUNC_ABORT : read_bytes;
}

static void
deliver_head(Dispatch *d)
{
    CpResponseHead head = d->head;
    head.verdict = CP_RAN;
    CpStr_Copy(head.server, sizeof(head.server), d->address);
    d->head_delivered = CpExchange_DeliverHead(d->ex, &head);
}
