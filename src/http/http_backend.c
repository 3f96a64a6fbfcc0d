/*
 * Client of backend servers: one curl multi handle per thread, each for the
 * servers that hash to it. A request that is not idempotent gets a new
 * connection, since curl resends a request that a reused connection lost.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/easy.h"
#include "http/http.h"

#define IDLE_CONNECTIONS 512
#define CONNECT_TIMEOUT_MS 1000
#define POLL_MS 1000
#define DEADLINE_MARGIN_MS 2 /* leaves time to respond to the caller */
#define URL_BYTES (CP_TARGET_BYTES + 128)

typedef struct Worker Worker;

/* One dispatch to a server; lives as long as the exchange. */
typedef struct Job {
    struct Job *next; /* in the inbox */
    Worker *worker;
    CpExchange *ex;
    CURL *easy;
    struct curl_slist *headers;
    char address[CP_ADDR_BYTES];
    char url[URL_BYTES];
    bool posted; /* in the inbox; this and the next 3: under worker->lock */
    bool wants_start;
    bool wants_cancel;
    bool finished;
    bool sent;   /* request bytes may have been sent */
    bool lapsed; /* the slot or deadline expired before sending */
    bool headed;
    bool chunked;
    bool has_length;
    bool refused; /* the server reports that it did not run */
    bool crossed; /* the response is for another request */
    bool cancelled;
    int64_t started_ns;
    CpHead head;
} Job;

struct Worker {
    CpBackend *backend;
    pthread_t thread;
    pthread_mutex_t lock;
    Job *inbox;
    bool stopping;
    CURLM *multi;
    CpEasyPool handles;
};

struct CpBackend {
    CpBackendOptions options;
    char source[CP_ADDR_BYTES + 8];
    uint32_t count;
    Worker *workers;
};

static void *worker_thread(void *ctx);
static bool take_inbox(Worker *w);
static void start_job(Worker *w, Job *j);
static void set_options(Worker *w, Job *j);
static void set_body(Job *j);
static void add_header(Job *j, const char *name, const char *value);
static void finish_job(Worker *w, Job *j, CURLcode code);
static void judge(Job *j, CURLcode code, CpBackendResult *r);
static void post(Job *j, bool start, bool cancel);
static void on_wake(void *ctx);
static void on_cancel(void *ctx, CpExchange *ex);
static int on_prereq(void *ctx, char *a, char *b, int c, int d);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static size_t on_read(char *out, size_t size, size_t n, void *ctx);
static void deliver_head(Job *j);

CpStatus
CpBackend_New(const CpBackendOptions *options, CpBackend **out)
{
    CpBackend *b = CpMem_Alloc(sizeof(*b));
    b->options = *options;
    const char *colon = strrchr(options->source, ':');
    snprintf(b->source, sizeof(b->source), "host!%.*s",
             (int)(colon - options->source), options->source);
    b->count = options->threads;
    b->workers = CpMem_Alloc(b->count * sizeof(*b->workers));
    for (uint32_t i = 0; i < b->count; i++) {
        Worker *w = &b->workers[i];
        w->backend = b;
        pthread_mutex_init(&w->lock, NULL);
        w->multi = curl_multi_init();
        curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS,
                          (long)IDLE_CONNECTIONS);
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
        CpEasyPool_Clear(&w->handles);
        curl_multi_cleanup(w->multi);
        pthread_mutex_destroy(&w->lock);
    }
    free(b->workers);
    free(b);
}

void
CpBackend_Send(CpBackend *b, CpExchange *ex, const char *address)
{
    Job *j = CpMem_Alloc(sizeof(*j));
    j->worker = &b->workers[CpHash_Str(address, 0) % b->count];
    j->ex = CpExchange_Retain(ex);
    j->started_ns = CpClock_Now_ns();
    CpStr_Copy(j->address, sizeof(j->address), address);
    CpExchange_Keep(ex, j, free);
    CpPipe_SetWriter(ex->down, on_wake, j);
    if (ex->up != NULL) {
        CpPipe_SetReader(ex->up, on_wake, j);
    }
    bool live = CpExchange_SetBack(ex, on_cancel, j);
    post(j, true, !live);
}

static void *
worker_thread(void *ctx)
{
    Worker *w = ctx;
    int running, left;
    while (take_inbox(w)) {
        CURLMsg *msg;
        curl_multi_perform(w->multi, &running);
        while ((msg = curl_multi_info_read(w->multi, &left)) != NULL) {
            Job *j;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &j);
            finish_job(w, j, msg->data.result);
        }
        curl_multi_poll(w->multi, NULL, 0, POLL_MS, NULL);
    }
    return NULL;
}

/* Handles the jobs that other threads posted; false if the worker has to
 * stop. */
static bool
take_inbox(Worker *w)
{
    for (;;) {
        pthread_mutex_lock(&w->lock);
        Job *j = w->inbox;
        bool stopping = w->stopping;
        if (j == NULL) {
            pthread_mutex_unlock(&w->lock);
            return !stopping;
        }
        w->inbox = j->next;
        bool start = j->wants_start, cancel = j->wants_cancel;
        j->posted = j->wants_start = false;
        pthread_mutex_unlock(&w->lock);
        if (cancel) {
            j->cancelled = true;
            finish_job(w, j, CURLE_ABORTED_BY_CALLBACK);
        }
        else if (start) {
            start_job(w, j);
        }
        else if (j->easy != NULL) {
            curl_easy_pause(j->easy, CURLPAUSE_CONT);
        }
    }
}

static void
start_job(Worker *w, Job *j)
{
    j->easy = CpEasyPool_Take(&w->handles);
    set_options(w, j);
    curl_multi_add_handle(w->multi, j->easy);
}

static void
set_options(Worker *w, Job *j)
{
    CURL *e = j->easy;
    CpExchange *ex = j->ex;
    char number[32];
    int64_t left_ms = (ex->deadline_ns - CpClock_Now_ns()) / CP_NS_PER_MS -
                      DEADLINE_MARGIN_MS;
    snprintf(j->url, sizeof(j->url), "http://%s%s", j->address, ex->target);
    CpEasy_Set(e, j->url, left_ms > 0 ? left_ms : 1);
    curl_easy_setopt(e, CURLOPT_PRIVATE, j);
    curl_easy_setopt(e, CURLOPT_INTERFACE, w->backend->source);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, j);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, j);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, j);
    if (!ex->idempotent) {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
    }
    add_header(j, "Expect", "");
    add_header(j, "Content-Type", ex->content_type);
    snprintf(number, sizeof(number), "%016llx",
             (unsigned long long)CpHash(&ex->id, sizeof(ex->id),
                                        (uint64_t)ex->started_ns));
    add_header(j, CP_HEADER_REQUEST_ID, number);
    CpStr_Copy(j->head.location, sizeof(j->head.location), number);
    snprintf(number, sizeof(number), "%lld",
             (long long)(left_ms > 0 ? left_ms : 1));
    add_header(j, CP_HEADER_DEADLINE, number);
    add_header(j, CP_HEADER_ORIGIN, ex->origin);
    set_body(j);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, j->headers);
}

static void
set_body(Job *j)
{
    CpExchange *ex = j->ex;
    if (ex->up != NULL) {
        curl_easy_setopt(j->easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(j->easy, CURLOPT_READFUNCTION, on_read);
        curl_easy_setopt(j->easy, CURLOPT_READDATA, j);
        add_header(j, "Transfer-Encoding", "chunked");
    }
    else if (ex->body_bytes > 0 || strcmp(ex->method, "POST") == 0) {
        curl_easy_setopt(j->easy, CURLOPT_POSTFIELDSIZE, (long)ex->body_bytes);
        curl_easy_setopt(j->easy, CURLOPT_POSTFIELDS,
                         ex->body_bytes > 0 ? (char *)ex->body : "");
    }
    if (strcmp(ex->method, "HEAD") == 0) {
        curl_easy_setopt(j->easy, CURLOPT_NOBODY, 1L);
    }
    else {
        curl_easy_setopt(j->easy, CURLOPT_CUSTOMREQUEST, ex->method);
    }
}

static void
add_header(Job *j, const char *name, const char *value)
{
    char line[CP_TYPE_BYTES + 64];
    snprintf(line, sizeof(line), "%s:%s%s", name, *value ? " " : "", value);
    j->headers = curl_slist_append(j->headers, line);
}

static void
finish_job(Worker *w, Job *j, CURLcode code)
{
    CpBackendResult r;
    pthread_mutex_lock(&w->lock);
    bool again = j->finished;
    j->finished = true;
    if (j->posted) { /* a wake-up was posted as the job ended */
        Job **at = &w->inbox;
        while (*at != j) {
            at = &(*at)->next;
        }
        *at = j->next;
        j->posted = false;
    }
    pthread_mutex_unlock(&w->lock);
    if (again) {
        return;
    }
    if (code == CURLE_OK && !j->headed && !j->refused) {
        deliver_head(j);
    }
    judge(j, code, &r);
    if (j->easy != NULL) {
        curl_multi_remove_handle(w->multi, j->easy);
        CpEasyPool_Give(&w->handles, j->easy);
        j->easy = NULL;
    }
    curl_slist_free_all(j->headers);
    j->headers = NULL;
    CpExchange *ex = j->ex;
    CpPipe_SetWriter(ex->down, NULL, NULL);
    if (ex->up != NULL) {
        CpPipe_SetReader(ex->up, NULL, NULL);
    }
    CpExchange_SetBack(ex, NULL, NULL);
    if (r.outcome == CP_OUTCOME_OK && r.headed) {
        CpPipe_End(ex->down, CP_PIPE_WHOLE);
    }
    w->backend->options.done(w->backend->options.ctx, ex, &r);
    CpExchange_Release(ex);
}

/* Sets whether the request may have run, and why there is no response. */
static void
judge(Job *j, CURLcode code, CpBackendResult *r)
{
    *r = (CpBackendResult){.headed = j->headed,
                           .latency_ns = CpClock_Now_ns() - j->started_ns,
                           .verdict = j->sent ? CP_MAY_HAVE_RUN : CP_NOT_RUN,
                           .outcome = CP_OUTCOME_FAILED,
                           .reason = CP_REASON_SERVER_FAILED};
    if (j->headed) {
        r->verdict = CP_RAN;
    }
    if (j->refused) {
        r->verdict = CP_NOT_RUN;
        r->outcome = CP_OUTCOME_REFUSED;
        r->reason = CP_REASON_SERVER_REFUSED;
    }
    else if (j->crossed) {
        r->reason = CP_REASON_ANSWER_CROSSED;
    }
    else if (j->cancelled) {
        r->outcome = j->sent ? CP_OUTCOME_CANCELLED : CP_OUTCOME_UNSENT;
        r->reason = CpClock_Now_ns() >= j->ex->deadline_ns
                        ? CP_REASON_DEADLINE_PASSED
                        : CP_REASON_CALLER_GONE;
    }
    else if (j->lapsed) {
        r->outcome = CP_OUTCOME_UNSENT;
        r->reason = CP_REASON_NO_SERVER;
    }
    else if (code == CURLE_OK) {
        r->outcome = CP_OUTCOME_OK;
        r->reason = CP_REASON_NONE;
    }
    else if (!j->sent) {
        r->outcome = CP_OUTCOME_UNREACHABLE;
        r->reason = CP_REASON_CONNECT_FAILED;
    }
    else if (code == CURLE_PARTIAL_FILE || j->headed) {
        r->reason = CP_REASON_ANSWER_TRUNCATED;
    }
    else if (code == CURLE_OPERATION_TIMEDOUT) {
        r->reason = CP_REASON_DEADLINE_PASSED;
    }
}

static void
post(Job *j, bool start, bool cancel)
{
    Worker *w = j->worker;
    pthread_mutex_lock(&w->lock);
    bool open = !j->finished;
    if (open) {
        j->wants_start |= start;
        j->wants_cancel |= cancel;
        if (!j->posted) {
            Job **at = &w->inbox;
            while (*at != NULL) {
                at = &(*at)->next;
            }
            j->next = NULL;
            *at = j;
            j->posted = true;
        }
    }
    pthread_mutex_unlock(&w->lock);
    if (open) {
        curl_multi_wakeup(w->multi);
    }
}

static void
on_wake(void *ctx)
{
    post(ctx, false, false);
}

static void
on_cancel(void *ctx, CpExchange *ex)
{
    (void)ex;
    post(ctx, false, true);
}

/* Called after the connect and right before the first byte is sent, the last
 * point at which the request is known not to have run. */
static int
on_prereq(void *ctx, char *a, char *b, int c, int d)
{
    Job *j = ctx;
    int64_t now_ns = CpClock_Now_ns();
    (void)a, (void)b, (void)c, (void)d;
    if (now_ns >= j->ex->item.slot_until_ns || now_ns >= j->ex->deadline_ns) {
        CpCounter_Add(CP_COUNT_LOANS_LAPSED, 1);
        j->lapsed = true;
        return CURL_PREREQFUNC_ABORT;
    }
    j->sent = true;
    return CURL_PREREQFUNC_OK;
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    Job *j = ctx;
    char value[CP_TYPE_BYTES];
    long status = 0;
    n *= size;
    if (n > 5 && strncmp(data, "HTTP/", 5) == 0) {
        j->head.length_bytes = CP_LENGTH_UNKNOWN;
        j->has_length = j->chunked = false;
        return n;
    }
    curl_easy_getinfo(j->easy, CURLINFO_RESPONSE_CODE, &status);
    if (CpEasy_HeaderIs(data, n, "Content-Length", value, sizeof(value))) {
        j->head.length_bytes = strtoull(value, NULL, 10);
        j->has_length = true;
    }
    else if (CpEasy_HeaderIs(data, n, "Content-Type", value, sizeof(value))) {
        CpStr_Copy(j->head.content_type, sizeof(j->head.content_type), value);
    }
    else if (CpEasy_HeaderIs(data, n, "Transfer-Encoding", value,
                             sizeof(value))) {
        j->chunked = strcasecmp(value, "chunked") == 0;
    }
    else if (CpEasy_HeaderIs(data, n, CP_HEADER_VERDICT, value,
                             sizeof(value))) {
        j->refused = status == 503 && CpVerdict_Parse(value) == CP_NOT_RUN;
    }
    else if (CpEasy_HeaderIs(data, n, CP_HEADER_REQUEST_ID, value,
                             sizeof(value))) {
        j->crossed = strcmp(value, j->head.location) != 0;
    }
    else if (n <= 2 && status >= 200) { /* the blank line */
        j->head.status = (uint32_t)status;
        bool framed =
            j->has_length || j->chunked || status == 204 || status == 304;
        if (j->crossed || !framed) {
            return 0;
        }
        if (!j->refused) {
            deliver_head(j);
        }
    }
    return n;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    Job *j = ctx;
    n *= size;
    if (j->refused) {
        return n;
    }
    if (!CpPipe_CanWrite(j->ex->down, (uint32_t)n)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    CpPipe_Write(j->ex->down, data, (uint32_t)n);
    return n;
}

static size_t
on_read(char *out, size_t size, size_t n, void *ctx)
{
    Job *j = ctx;
    CpPipeState state;
    uint32_t got = CpPipe_Read(j->ex->up, out, (uint32_t)(size * n), &state);
    if (got == 0 && state == CP_PIPE_OPEN) {
        return CURL_READFUNC_PAUSE;
    }
    return state == CP_PIPE_BROKEN ? CURL_READFUNC_ABORT : got;
}

static void
deliver_head(Job *j)
{
    CpHead head = j->head;
    head.location[0] = '\0'; /* held the request id */
    head.verdict = CP_RAN;
    CpStr_Copy(head.server, sizeof(head.server), j->address);
    j->headed = CpExchange_Head(j->ex, &head);
}
