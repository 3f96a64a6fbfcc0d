/*
 * Bodies of requests. A body that fits in the request buffer is held whole, so
 * that its request can be sent again. A larger one is streamed: the attempt
 * begins when the buffer is full, and the rest passes through a window, for
 * which the caller's connection and the upload wait for each other.
 *
 * The daemon takes a response only after the whole body. When a request ends
 * before, the rest of its body is dropped for a bounded time; then the
 * response is written beside the daemon and the connection closed.
 */
#include <string.h>

#include "proxy/proxy_int.h"

#define WINDOW_BYTES (256u * 1024) /* of a streamed body, after its start */
/* Of a streamed body besides the window: the library's buffer, and the queues
 * of both sockets. */
#define STREAM_BYTES (256u * 1024)
/* A caller or a server that takes part makes progress within this time. */
#define STALL_NS (1 * CP_NS_PER_S)
#define MAX_DROP_NS (5 * CP_NS_PER_S)

static void hold_data(CpProxyExchange *ex, const char **data, size_t *n);
static bool begin_stream(CpProxyExchange *ex);
static void pass_on(CpProxyExchange *ex, const char *data, size_t *n);
static void wake_upload(CpProxyExchange *ex);
static void suspend(CpProxyExchange *ex);
static size_t on_read(char *out, size_t size, size_t n, void *ctx);
static void end_upload(CpProxyExchange *ex, int64_t now_ns);
static void schedule(CpProxyExchange *ex, int64_t due_ns);

void
CpProxyUpload_OnData(CpProxyExchange *ex, const char *data, size_t *n)
{
    int64_t now_ns = CpClock_Now_ns();
    CpBudgetAccount_OnMoved(&ex->caller->account, *n, now_ns);
    if (ex->decided && ex->attempt.easy == NULL) {
        ex->dropped_ns = now_ns;
        *n = 0;
        return;
    }
    if (!CpProxyFront_AcceptBody(ex, ex->received_bytes + *n)) {
        *n = 0;
        return;
    }
    if (!ex->streams_body) {
        hold_data(ex, &data, n);
    }
    if (*n > 0 && ex->streams_body) {
        pass_on(ex, data, n);
    }
}

void
CpProxyUpload_OnEnd(CpProxyExchange *ex)
{
    if (ex->body_received) {
        return;
    }
    ex->body_received = true;
    ex->drop_since_ns = 0;
    if (!ex->started) {
        CpProxyFront_Begin(ex);
        return;
    }
    wake_upload(ex);
    if (!ex->decided) {
        suspend(ex);
    }
}

void
CpProxyUpload_SetBody(CpProxyExchange *ex)
{
    const CpRequest *rq = &ex->request;
    CpProxyAttempt *a = &ex->attempt;
    CURL *e = a->easy;
    bool has_body = ex->body.held_bytes > 0;
    if (ex->streams_body) {
        a->upload_ns = a->started_ns;
        curl_easy_setopt(e, CURLOPT_POST, 1L);
        curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
        curl_easy_setopt(e, CURLOPT_READDATA, ex);
        if (ex->announced_bytes == CP_UNKNOWN_BYTES) {
            a->request_headers = curl_slist_append(
                a->request_headers, "Transfer-Encoding: chunked");
            curl_easy_setopt(e, CURLOPT_HTTPHEADER, a->request_headers);
        }
        else {
            curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                             (curl_off_t)ex->announced_bytes);
        }
        /* bytes of this body must not be taken for another request */
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
    }
    else if (has_body || strcmp(rq->method, "POST") == 0 ||
             strcmp(rq->method, "PUT") == 0) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)ex->body.held_bytes);
        curl_easy_setopt(e, CURLOPT_POSTFIELDS,
                         has_body ? (const char *)ex->body.data : "");
    }
    if (strcmp(rq->method, "HEAD") == 0) {
        curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
    }
    else {
        curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, rq->method);
    }
}

void
CpProxyUpload_BeginDrop(CpProxyExchange *ex)
{
    if (ex->body_received || ex->drop_since_ns > 0 ||
        ex->attempt.easy != NULL) {
        return;
    }
    ex->drop_since_ns = ex->dropped_ns = CpClock_Now_ns();
    CpProxyBody_Clear(&ex->body, ex->caller);
    CpBudgetAccount_SetWaits(&ex->caller->account, true, ex->drop_since_ns);
    schedule(ex, ex->dropped_ns + STALL_NS);
}

void
CpProxyUpload_Check(CpProxyExchange *ex, int64_t now_ns)
{
    const CpProxyAttempt *a = &ex->attempt;
    if (ex->streams_body && a->easy != NULL && !a->upload_done &&
        CpProxyAttempt_HasWholeResponse(ex)) {
        if (now_ns - a->upload_ns >= STALL_NS) {
            CpProxyAttempt_EndEarly(ex);
        }
        else {
            schedule(ex, a->upload_ns + STALL_NS);
        }
    }
    if (ex->drop_since_ns > 0 && !ex->response_sent && !ex->disconnected) {
        int64_t due_ns = ex->dropped_ns + STALL_NS;
        if (due_ns > ex->drop_since_ns + MAX_DROP_NS) {
            due_ns = ex->drop_since_ns + MAX_DROP_NS;
        }
        if (now_ns >= due_ns) {
            CpProxyDirect_Respond(ex);
        }
        else {
            schedule(ex, due_ns);
        }
    }
}

/* The caller's connection is suspended when the window is full. */
bool
CpProxyUpload_WaitsForCaller(const CpProxyExchange *ex)
{
    return ex->streams_body && !ex->body_received && !ex->suspended &&
           ex->attempt.easy != NULL;
}

bool
CpProxyUpload_CanResend(const CpProxyExchange *ex)
{
    return ex->body.discarded_bytes == 0;
}

/* Holds what fits in the request buffer; if there is more, starts to stream.
 */
static void
hold_data(CpProxyExchange *ex, const char **data, size_t *n)
{
    uint32_t max_bytes = ex->worker->proxy->options.request_buffer_bytes;
    uint32_t room = max_bytes - ex->body.held_bytes;
    uint32_t taken = *n < room ? (uint32_t)*n : room;
    if (taken > 0) {
        if (!CpProxyBody_Reserve(&ex->body, taken, max_bytes, ex->caller)) {
            CpProxyFront_Refuse(ex, CP_REASON_MEMORY_SHORT);
            *n = 0;
            return;
        }
        CpProxyBody_Append(&ex->body, *data, taken);
        ex->received_bytes += taken;
        *data += taken;
        *n -= taken;
    }
    if (*n > 0 && !begin_stream(ex)) {
        *n = 0;
    }
}

/* Returns false if the request has ended. */
static bool
begin_stream(CpProxyExchange *ex)
{
    if (strcmp(ex->request.method, "HEAD") == 0) {
        CpProxyFront_Deny(ex, CP_REASON_BAD_REQUEST, CP_DENIAL_METHOD);
        return false;
    }
    if (!CpProxyCaller_Reserve(ex->caller, STREAM_BYTES, CP_BUDGET_LARGE)) {
        CpProxyFront_Refuse(ex, CP_REASON_MEMORY_SHORT);
        return false;
    }
    ex->reserved_bytes += STREAM_BYTES;
    ex->streams_body = true;
    CpCounter_Add(CP_COUNT_UPLOADS_STREAMED, 1);
    CpProxyFront_Begin(ex);
    return !ex->decided || ex->attempt.easy != NULL;
}

/* Passes data on through the window; what does not fit waits. */
static void
pass_on(CpProxyExchange *ex, const char *data, size_t *n)
{
    uint32_t room = ex->body.capacity_bytes - ex->body.held_bytes;
    uint32_t taken = *n < room ? (uint32_t)*n : room;
    if (taken > 0) {
        CpProxyBody_Append(&ex->body, data, taken);
        ex->received_bytes += taken;
        *n -= taken;
        wake_upload(ex);
    }
    if (*n > 0) {
        suspend(ex);
    }
}

static void
wake_upload(CpProxyExchange *ex)
{
    CpProxyAttempt *a = &ex->attempt;
    if (a->easy != NULL && a->upload_paused) {
        a->upload_paused = a->paused = false;
        curl_easy_pause(a->easy, CURLPAUSE_CONT);
    }
}

/* Suspends the connection until the server has read more, or has responded. */
static void
suspend(CpProxyExchange *ex)
{
    CpBudgetAccount_SetWaits(&ex->caller->account, false, CpClock_Now_ns());
    if (!ex->suspended) {
        ex->suspended = true;
        MHD_suspend_connection(ex->conn);
    }
    CpProxyWorker_Watch(ex->worker, ex);
}

/* Supplies the next bytes of a streamed body; the library calls it right
 * before it sends them. */
static size_t
on_read(char *out, size_t size, size_t n, void *ctx)
{
    CpProxyExchange *ex = ctx;
    CpProxyAttempt *a = &ex->attempt;
    int64_t now_ns = CpClock_Now_ns();
    uint32_t taken = CpProxyBody_Read(&ex->body, a->upload_bytes, out,
                                      (uint32_t)(size * n));
    if (taken == 0) {
        if (ex->body_received) {
            end_upload(ex, now_ns);
            return 0;
        }
        a->upload_paused = true;
        CpBudgetAccount_SetWaits(&ex->caller->account, true, now_ns);
        return CURL_READFUNC_PAUSE;
    }
    a->upload_bytes += taken;
    a->upload_ns = now_ns;
    CpProxyBody_Discard(&ex->body, a->upload_bytes, WINDOW_BYTES, ex->caller);
    if (a->upload_bytes == ex->announced_bytes) {
        end_upload(ex, now_ns);
    }
    if (ex->suspended && !ex->body_received &&
        ex->body.held_bytes <= WINDOW_BYTES / 2) {
        CpBudgetAccount_SetWaits(&ex->caller->account, true, now_ns);
        CpProxyFront_Resume(ex);
    }
    return taken;
}

/* The server's time counts from the end of the upload on, not the caller's. */
static void
end_upload(CpProxyExchange *ex, int64_t now_ns)
{
    ex->attempt.upload_done = true;
    if (ex->attempt.head_ns == 0) {
        ex->attempt.started_ns = now_ns;
    }
}

static void
schedule(CpProxyExchange *ex, int64_t due_ns)
{
    if (due_ns < ex->worker->next_deadline_ns) {
        ex->worker->next_deadline_ns = due_ns;
    }
}
