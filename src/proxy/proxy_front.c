/*
 * Connections of callers. While its request is in flight, a connection is
 * suspended in the daemon and watched for a disconnect of the caller; the
 * response resumes it.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/event.h"
#include "http/http.h"
#include "proxy/proxy_int.h"

/* For the head of a request and the daemon's buffers. */
#define CONNECTION_MEMORY_BYTES (64 * 1024)
#define DEFAULT_IDLE_S 30              /* until limits are in force */
#define STREAM_BLOCK_BYTES (16 * 1024) /* of a streamed response, per read */
/* Accepted over the limit while those without progress are closed for them. */
#define SPARE_CONNECTIONS 16
/* Of a request besides bodies: head, exchange, and the attempt's handle and
 * connection. */
#define REQUEST_BYTES (64u * 1024)
#define MEMORY_RETRY_AFTER_MS 500 /* at least; spread by as much */
#define DEADLINE_MARGIN_MS 5      /* to respond before the caller's timeout */
#define LIBRARY_LINE_BYTES 512

static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *conn);
static void drop_query(const char *uri);
static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static bool read_head(CpProxyExchange *ex, const char *method);
static bool decide_body(CpProxyExchange *ex, uint64_t body_bytes,
                        CpDenial denial, CpProxyAction *out);
static uint32_t head_room_bytes(struct MHD_Connection *conn);
static bool reserve_request(CpProxyExchange *ex);
static enum MHD_Result on_header(void *ctx, enum MHD_ValueKind kind,
                                 const char *name, const char *value);
static bool is_hop_header(const char *name, char **named,
                          const CpHeaderNames *names);
static void on_library_line(void *ctx, const char *fmt, va_list ap);
static void set_denial(CpProxyExchange *ex, CpReason reason, CpDenial denial);
static void note_denial(const CpProxyExchange *ex, CpReason reason,
                        CpDenial denial);
static void stop_work(CpProxyExchange *ex);
static void respond_early(CpProxyExchange *ex);
static void set_failure(CpProxyExchange *ex, CpReason reason, uint32_t status);
static enum MHD_Result queue_response(CpProxyExchange *ex);
static struct MHD_Response *server_response(CpProxyExchange *ex);
static struct MHD_Response *streamed_response(CpProxyExchange *ex,
                                              uint64_t content_length_bytes);
static ssize_t read_stream(void *ctx, uint64_t pos, char *out,
                           size_t capacity);
static struct MHD_Response *failure_response(CpProxyExchange *ex);
static void finish_request(CpProxyExchange *ex, bool sent);

/* Besides Connection and those that it names. */
static const char *const unforwarded_headers[] = {
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Host",
    "Date",
    NULL,
};

CpStatus
CpProxyFront_Open(CpProxyWorker *w)
{
    const CpProxyOptions *o = &w->proxy->options;
    w->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
        NULL, on_request, w, MHD_OPTION_EXTERNAL_LOGGER, on_library_line, NULL,
        MHD_OPTION_LISTEN_SOCKET, w->proxy->listen_fd,
        MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)(o->max_connections + SPARE_CONNECTIONS),
        MHD_OPTION_NOTIFY_CONNECTION, CpProxyCaller_OnConnection, w,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)DEFAULT_IDLE_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_URI_LOG_CALLBACK, on_uri, w, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, w, MHD_OPTION_END);
    const union MHD_DaemonInfo *info =
        w->daemon != NULL
            ? MHD_get_daemon_info(w->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            : NULL;
    if (info == NULL) {
        return CpError_Set(CP_ERR_IO, "%s: cannot start the HTTP daemon",
                           o->listen);
    }
    w->daemon_fd = info->epoll_fd;
    return CP_OK;
}

void
CpProxyFront_Execute(CpProxyExchange *ex, const CpProxyAction *action)
{
    CpProxyWorker *w = ex->worker;
    ex->action = *action;
    if (action->type == CP_ACTION_WAIT) {
        ex->waiting = true;
        CpProxyWorker_ScheduleDeadline(w, ex);
        return;
    }
    if (action->type == CP_ACTION_SEND) {
        ex->deadline_ns =
            action->deadline_ns - DEADLINE_MARGIN_MS * CP_NS_PER_MS;
        CpProxyWorker_ScheduleDeadline(w, ex);
        CpProxyAttempt_Start(ex, action);
        return;
    }
    ex->decided = true;
    CpProxyUpload_BeginDrop(ex);
    CpProxyFront_Resume(ex);
}

void
CpProxyFront_Resume(CpProxyExchange *ex)
{
    CpProxyWorker_Unwatch(ex->worker, ex);
    if (ex->suspended) {
        ex->suspended = false;
        ex->worker->has_resumed = true;
        MHD_resume_connection(ex->conn);
    }
}

void
CpProxyFront_OnWoken(CpProxyExchange *ex)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    CpProxyAction action = {0};
    ex->waiting = false;
    /* before the policy looks: a later wake-up counts for its next wait */
    __atomic_exchange_n(&ex->woken, 0, __ATOMIC_SEQ_CST);
    p->on_woken(p->ctx, &ex->request, &action);
    CpProxyFront_Execute(ex, &action);
}

void
CpProxyFront_OnDisconnect(CpProxyExchange *ex)
{
    if (ex->decided && !ex->attempt.streamed) {
        return;
    }
    ex->disconnected = ex->decided = true;
    ex->waiting = false;
    CpProxyAttempt_Cancel(ex);
    CpProxyFront_Resume(ex);
}

void
CpProxyFront_OnDeadline(CpProxyExchange *ex)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    CpProxyAction action = {0};
    if (ex->streams_body && CpProxyAttempt_HasWholeResponse(ex)) {
        CpProxyAttempt_EndEarly(ex);
        return;
    }
    if (CpProxyUpload_WaitsForCaller(ex)) { /* no fault of the server */
        CpProxyFront_Refuse(ex, CP_REASON_DEADLINE_PASSED);
        return;
    }
    p->on_deadline(p->ctx, &ex->request, ex->attempt.sent,
                   CpClock_Now_ns() - ex->attempt.started_ns, &action);
    CpProxyAttempt_Abort(ex);
    CpProxyFront_Execute(ex, &action);
}

void
CpHeaderLine_Free(void *line)
{
    CpHeaderLine *h = line;
    free(h->name);
    free(h->value);
    free(h);
}

GPtrArray *
CpHeaderLine_NewList(void)
{
    return g_ptr_array_new_with_free_func(CpHeaderLine_Free);
}

void
CpHeaderLine_Add(GPtrArray *list, const char *name, size_t name_bytes,
                 const char *value, size_t value_bytes)
{
    CpHeaderLine *h = CpMem_Alloc(sizeof(*h));
    h->name = g_strndup(name, name_bytes);
    h->value = g_strndup(value, value_bytes);
    g_ptr_array_add(list, h);
}

bool
CpHeader_IsUnforwarded(const char *name)
{
    for (const char *const *at = unforwarded_headers; *at != NULL; at++) {
        if (strcasecmp(name, *at) == 0) {
            return true;
        }
    }
    return false;
}

/* libmicrohttpd decodes the path; only this callback gets it as received. */
static void *
on_uri(void *ctx, const char *uri, struct MHD_Connection *conn)
{
    CpProxyWorker *w = ctx;
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
    CpProxyExchange *ex = CpMem_Alloc(sizeof(*ex));
    ex->worker = w;
    ex->conn = conn;
    ex->fd = info->connect_fd;
    info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    ex->caller = info->socket_context;
    CpProxyCaller_Begin(ex->caller, ex);
    ex->headers = CpHeaderLine_NewList();
    ex->request.target = CpStr_Dup(uri);
    drop_query(uri);
    return ex;
}

/* Empties the query in the daemon's own buffer before the daemon parses it:
 * each parameter would take memory of the connection that the head of the
 * response may need, and none is read here. */
static void
drop_query(const char *uri)
{
    char *query = strchr(uri, '?');
    if (query != NULL) {
        query[1] = '\0';
    }
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    CpProxyExchange *ex = *state;
    (void)ctx, (void)conn, (void)url;
    if (!ex->head_received) {
        ex->head_received = true;
        ex->knows_chunks = strcmp(version, "HTTP/1.1") == 0;
        return read_head(ex, method) ? MHD_YES : queue_response(ex);
    }
    if (*data_bytes > 0) {
        CpProxyUpload_OnData(ex, data, data_bytes);
        return MHD_YES;
    }
    CpProxyUpload_OnEnd(ex);
    if (ex->disconnected) {
        return MHD_NO;
    }
    return ex->decided ? queue_response(ex) : MHD_YES;
}

static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    CpProxyWorker *w = ctx;
    CpProxyExchange *ex = *state;
    (void)conn;
    if (ex == NULL) {
        return;
    }
    *state = NULL;
    CpProxyWorker_Unwatch(w, ex);
    CpProxyAttempt_Cancel(ex);
    if (ex->started) {
        pthread_mutex_lock(&w->lock);
        if (ex->prev != NULL) {
            ex->prev->next = ex->next;
        }
        else {
            w->exchanges = ex->next;
        }
        if (ex->next != NULL) {
            ex->next->prev = ex->prev;
        }
        w->active--;
        pthread_mutex_unlock(&w->lock);
        finish_request(ex, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
    CpProxyAttempt_Clear(ex);
    g_ptr_array_unref(ex->headers);
    CpProxyBody_Clear(&ex->body, ex->caller);
    CpBudgetAccount_Release(&ex->caller->account, ex->reserved_bytes);
    CpProxyCaller_End(ex->caller);
    free(ex->request.target);
    free(ex->request.key);
    free(ex->request.policy_data);
    free(ex);
}

/* Returns false if the request is refused without reading its body. */
static bool
read_head(CpProxyExchange *ex, const char *method)
{
    const CpProxyOptions *o = &ex->worker->proxy->options;
    CpRequest *rq = &ex->request;
    CpRouteLimits limits = {0};
    const char *host =
        MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND, "Host");
    const char *id = MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND,
                                                 o->headers->request_id);
    const char *timeout = MHD_lookup_connection_value(
        ex->conn, MHD_HEADER_KIND, o->headers->timeout_ms);
    const char *object = MHD_lookup_connection_value(
        ex->conn, MHD_COOKIE_KIND, o->headers->object_cookie);
    const char *length = MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND,
                                                     "Content-Length");
    rq->started_ns = CpClock_Now_ns();
    CpProxyCaller_OnHead(ex->caller);
    ex->head_room_bytes = head_room_bytes(ex->conn);
    o->policy.get_limits(o->policy.ctx, &limits);
    ex->max_body_bytes = limits.max_body_bytes;
    if (limits.idle_timeout_ms > 0) {
        MHD_set_connection_option(
            ex->conn, MHD_CONNECTION_OPTION_TIMEOUT,
            (unsigned int)((limits.idle_timeout_ms + 999) / 1000));
    }
    if (host == NULL || id == NULL || strlen(id) >= sizeof(rq->id) ||
        strlen(host) >= sizeof(rq->host) ||
        strlen(method) >= sizeof(rq->method)) {
        set_denial(ex, CP_REASON_BAD_REQUEST, CP_DENIAL_FIELDS);
        return false;
    }
    CpStr_Copy(rq->id, sizeof(rq->id), id);
    CpStr_Copy(rq->host, sizeof(rq->host), host);
    CpStr_Copy(rq->method, sizeof(rq->method), method);
    CpStr_Copy(rq->object, sizeof(rq->object), object != NULL ? object : "");
    rq->timeout_ms =
        timeout != NULL ? (uint32_t)strtoul(timeout, NULL, 10) : 0;
    MHD_get_connection_values(ex->conn, MHD_HEADER_KIND, on_header, ex);
    CpHeader_RemoveHop(ex->headers, o->headers);
    const char *const single[] = {"Host", o->headers->request_id,
                                  o->headers->timeout_ms, NULL};
    if (!CpRequestHead_IsOne(ex->conn, method, rq->target, single)) {
        set_denial(ex, CP_REASON_BAD_REQUEST, CP_DENIAL_HEAD);
        return false;
    }
    if (ex->key_headers != 1) {
        free(rq->key);
        rq->key = NULL;
    }
    /* libmicrohttpd closes the connection after a response that is queued
     * here, which a request without a body does not need. */
    bool has_body = (length != NULL && strcmp(length, "0") != 0) ||
                    MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND,
                                                "Transfer-Encoding") != NULL;
    if (has_body && !o->policy.on_head(o->policy.ctx, rq, &ex->action)) {
        ex->decided = true;
        return false;
    }
    if (length != NULL && !decide_body(ex, strtoull(length, NULL, 10),
                                       CP_DENIAL_LENGTH, &ex->action)) {
        CpCounter_AddReason(ex->action.reason, 0);
        ex->decided = true;
        return false;
    }
    ex->announced_bytes =
        length != NULL ? strtoull(length, NULL, 10)
        : MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND,
                                      "Transfer-Encoding") != NULL
            ? CP_UNKNOWN_BYTES
            : 0;
    return reserve_request(ex);
}

/* Decides whether a body of so many bytes is accepted; else sets the failure.
 * The limit is that of the head, until a body exceeds it. */
static bool
decide_body(CpProxyExchange *ex, uint64_t body_bytes, CpDenial denial,
            CpProxyAction *out)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    CpRouteLimits limits = {0};
    if (body_bytes <= ex->max_body_bytes) {
        return true;
    }
    if (p->on_large_body(p->ctx, &ex->request, body_bytes, out)) {
        p->get_limits(p->ctx, &limits);
        ex->max_body_bytes = limits.max_body_bytes;
        return true;
    }
    if (out->reason == CP_REASON_BODY_TOO_LARGE) {
        note_denial(ex, out->reason, denial);
    }
    return false;
}

/* Returns how much of the connection's buffer is left for the head of a
 * response. The daemon reads into half of it, or more for a longer head; other
 * bytes than the head's may wait there. */
static uint32_t
head_room_bytes(struct MHD_Connection *conn)
{
    uint32_t head_bytes = (uint32_t)MHD_get_connection_info(
                              conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                              ->header_size;
    uint32_t read_bytes = head_bytes > CONNECTION_MEMORY_BYTES / 2
                              ? head_bytes
                              : CONNECTION_MEMORY_BYTES / 2;
    uint32_t used_bytes = read_bytes + CpRequestHead_Records_bytes(conn);
    return used_bytes < CONNECTION_MEMORY_BYTES
               ? CONNECTION_MEMORY_BYTES - used_bytes
               : 0;
}

/* Reserves memory for a request; returns false if it is refused, as there is
 * none for it or for the part of its body that has to be held. */
static bool
reserve_request(CpProxyExchange *ex)
{
    uint64_t buffer_bytes = ex->worker->proxy->options.request_buffer_bytes;
    uint64_t body_bytes =
        ex->announced_bytes < buffer_bytes        ? ex->announced_bytes
        : ex->announced_bytes == CP_UNKNOWN_BYTES ? 0
                                                  : buffer_bytes;
    if (!CpProxyCaller_Reserve(ex->caller, REQUEST_BYTES, CP_BUDGET_SMALL)) {
        set_failure(ex, CP_REASON_MEMORY_SHORT, 0);
        return false;
    }
    ex->reserved_bytes = REQUEST_BYTES;
    if (!CpProxyCaller_MakeRoom(ex->caller, body_bytes,
                                body_bytes > CP_SMALL_BODY_BYTES
                                    ? CP_BUDGET_LARGE
                                    : CP_BUDGET_SMALL)) {
        set_failure(ex, CP_REASON_MEMORY_SHORT, 0);
        return false;
    }
    return true;
}

static enum MHD_Result
on_header(void *ctx, enum MHD_ValueKind kind, const char *name,
          const char *value)
{
    CpProxyExchange *ex = ctx;
    const CpHeaderNames *h = ex->worker->proxy->options.headers;
    (void)kind;
    if (strcasecmp(name, h->key) == 0) {
        const char *key = h->find_key(value);
        ex->key_headers++;
        if (key != NULL && ex->request.key == NULL) {
            ex->request.key = CpStr_Dup(key);
        }
    }
    if (!CpHeader_IsUnforwarded(name) &&
        strcasecmp(name, h->timeout_ms) != 0 &&
        strcasecmp(name, h->target_instance) != 0) {
        CpHeaderLine_Add(ex->headers, name, strlen(name), value,
                         strlen(value));
    }
    return MHD_YES;
}

void
CpHeader_RemoveHop(GPtrArray *lines, const CpHeaderNames *names)
{
    GString *options = g_string_new(NULL);
    for (guint i = lines->len; i-- > 0;) {
        const CpHeaderLine *h = g_ptr_array_index(lines, i);
        if (strcasecmp(h->name, "Connection") == 0) {
            g_string_append_printf(options, "%s,", h->value);
            g_ptr_array_remove_index(lines, i);
        }
    }
    char **named = g_strsplit_set(options->str, ", \t", -1);
    for (guint i = lines->len; i-- > 0 && options->len > 0;) {
        const CpHeaderLine *h = g_ptr_array_index(lines, i);
        if (is_hop_header(h->name, named, names)) {
            g_ptr_array_remove_index(lines, i);
        }
    }
    g_strfreev(named);
    g_string_free(options, TRUE);
}

/* An id or a seal never is one, whatever names it. */
static bool
is_hop_header(const char *name, char **named, const CpHeaderNames *names)
{
    if (strcasecmp(name, names->request_id) == 0 ||
        strcasecmp(name, names->seal) == 0) {
        return false;
    }
    for (char **at = named; *at != NULL; at++) {
        if (strcasecmp(name, *at) == 0) {
            return true;
        }
    }
    return false;
}

void
CpProxyFront_Refuse(CpProxyExchange *ex, CpReason reason)
{
    stop_work(ex);
    set_failure(ex, reason, 0);
    respond_early(ex);
}

bool
CpProxyFront_AcceptBody(CpProxyExchange *ex, uint64_t body_bytes)
{
    CpProxyAction failure = {0};
    if (decide_body(ex, body_bytes, CP_DENIAL_BODY, &failure)) {
        return true;
    }
    stop_work(ex);
    ex->decided = true;
    ex->action = failure;
    respond_early(ex);
    return false;
}

static void
stop_work(CpProxyExchange *ex)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    if (ex->attempt.easy != NULL) {
        p->on_cancelled(p->ctx, &ex->request,
                        CpClock_Now_ns() - ex->attempt.started_ns);
        CpProxyAttempt_Abort(ex);
    }
    CpProxyBody_Clear(&ex->body, ex->caller);
    ex->waiting = false;
}

/* Responds with the failure before the body was received. 503 promises that
 * the request was not run, so it is sent only if no attempt was begun. */
static void
respond_early(CpProxyExchange *ex)
{
    if (ex->attempts > 0 && CpReason_HttpStatus(ex->action.reason) == 503) {
        ex->action.status = 502;
    }
    if (!ex->started) {
        CpProxyFront_Begin(ex);
    }
    CpProxyUpload_BeginDrop(ex);
    CpProxyFront_Resume(ex);
}

void
CpProxyFront_Deny(CpProxyExchange *ex, CpReason reason, CpDenial denial)
{
    note_denial(ex, reason, denial);
    CpProxyFront_Refuse(ex, reason);
}

void
CpProxyFront_Begin(CpProxyExchange *ex)
{
    CpProxyWorker *w = ex->worker;
    const CpProxyPolicy *p = &w->proxy->options.policy;
    ex->started = true;
    pthread_mutex_lock(&w->lock);
    ex->next = w->exchanges;
    if (ex->next != NULL) {
        ex->next->prev = ex;
    }
    w->exchanges = ex;
    w->active++;
    pthread_mutex_unlock(&w->lock);
    CpCounter_Add(CP_COUNT_REQUESTS, 1);
    if (ex->decided) { /* refused while the body was received */
        return;
    }
    if (CpAtomic_Load(&w->proxy->refusing)) {
        set_failure(ex, CP_REASON_HOST_LEAVING, 0);
        ex->action.retry_after_ms = 1;
        CpProxyUpload_BeginDrop(ex);
        return;
    }
    CpProxyAction action = {0};
    p->on_request(p->ctx, &ex->request, &action);
    bool waits =
        action.type == CP_ACTION_SEND || action.type == CP_ACTION_WAIT;
    if (waits && ex->body_received) {
        CpBudgetAccount_SetWaits(&ex->caller->account, false,
                                 CpClock_Now_ns());
        ex->suspended = true;
        MHD_suspend_connection(ex->conn);
        CpProxyWorker_Watch(w, ex);
    }
    CpProxyFront_Execute(ex, &action);
}

/* The library tells only here that it has refused a request itself. */
static void
on_library_line(void *ctx, const char *fmt, va_list ap)
{
    char line[LIBRARY_LINE_BYTES];
    unsigned int status = 0;
    (void)ctx;
    vsnprintf(line, sizeof(line), fmt, ap);
    const char *at = strstr(line, "HTTP response code is ");
    if (at != NULL && sscanf(at, "HTTP response code is %u", &status) == 1 &&
        status < 500) {
        CpCounter_AddDenial(CP_DENIAL_LIBRARY);
        CpEvent(CP_EVENT_DENIED, CpDenial_Name(CP_DENIAL_LIBRARY), "s:i",
                "status", (int)status);
    }
}

static void
set_denial(CpProxyExchange *ex, CpReason reason, CpDenial denial)
{
    set_failure(ex, reason, 0);
    note_denial(ex, reason, denial);
}

static void
note_denial(const CpProxyExchange *ex, CpReason reason, CpDenial denial)
{
    const CpRequest *rq = &ex->request;
    CpCounter_AddDenial(denial);
    CpEvent(CP_EVENT_DENIED, CpDenial_Name(denial), "s:s,s:s,s:s,s:i",
            "request", rq->id, "method", rq->method, "hostname", rq->host,
            "status", (int)CpReason_HttpStatus(reason));
}

static void
set_failure(CpProxyExchange *ex, CpReason reason, uint32_t status)
{
    ex->decided = true;
    ex->action = (CpProxyAction){
        .type = CP_ACTION_FAIL, .reason = reason, .status = status};
    if (reason == CP_REASON_MEMORY_SHORT) {
        CpCounter_Add(CP_COUNT_MEMORY_REFUSED, 1);
        ex->action.retry_after_ms =
            MEMORY_RETRY_AFTER_MS +
            (uint32_t)(CpRandom() % MEMORY_RETRY_AFTER_MS);
    }
}

static enum MHD_Result
queue_response(CpProxyExchange *ex)
{
    if (!ex->attempt.streamed && CpProxyDirect_IsNeeded(ex, ex->action.type)) {
        CpProxyDirect_Respond(ex);
        return MHD_NO;
    }
    struct MHD_Response *r = ex->action.type == CP_ACTION_RESPOND
                                 ? server_response(ex)
                                 : failure_response(ex);
    if (CpAtomic_Load(&ex->worker->proxy->closing)) {
        MHD_add_response_header(r, "Connection", "close");
    }
    uint32_t status = ex->action.type == CP_ACTION_RESPOND ? ex->attempt.status
                                                           : ex->action.status;
    ex->response_queued = true;
    CpBudgetAccount_SetWaits(&ex->caller->account, true, CpClock_Now_ns());
    enum MHD_Result ok = MHD_queue_response(ex->conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

static struct MHD_Response *
server_response(CpProxyExchange *ex)
{
    CpProxyAttempt *a = &ex->attempt;
    struct MHD_Response *r;
    if (a->streamed) {
        r = streamed_response(ex, a->content_length_bytes);
    }
    else if (a->check.options.is_head && a->status != 204 &&
             a->status != 304) {
        r = streamed_response(ex, a->check.has_length ? a->check.length_bytes
                                                      : MHD_SIZE_UNKNOWN);
    }
    else {
        guint n = a->body->len;
        guint8 *body = g_byte_array_free(a->body, FALSE);
        a->body = NULL;
        r = MHD_create_response_from_buffer(
            n, body,
            body != NULL ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
    }
    CpHeader_RemoveHop(a->response_headers,
                       ex->worker->proxy->options.headers);
    for (guint i = 0; i < a->response_headers->len; i++) {
        const CpHeaderLine *h = g_ptr_array_index(a->response_headers, i);
        MHD_add_response_header(r, h->name, h->value);
    }
    return r;
}

/* The body of an answer to HEAD is never read. */
static struct MHD_Response *
streamed_response(CpProxyExchange *ex, uint64_t content_length_bytes)
{
    return MHD_create_response_from_callback(
        content_length_bytes, STREAM_BLOCK_BYTES, read_stream, ex, NULL);
}

/* Copies the next bytes of a streamed response. If there are none yet, the
 * connection is suspended until more arrive or the caller disconnects. */
static ssize_t
read_stream(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    CpProxyExchange *ex = ctx;
    CpProxyAttempt *a = &ex->attempt;
    (void)pos;
    guint n = a->body->len < capacity ? a->body->len : (guint)capacity;
    if (n > 0) {
        memcpy(out, a->body->data, n);
        CpProxyAttempt_Consume(ex, n);
        CpBudgetAccount_SetWaits(&ex->caller->account, true, CpClock_Now_ns());
        CpBudgetAccount_OnMoved(&ex->caller->account, n, CpClock_Now_ns());
        return (ssize_t)n;
    }
    if (a->easy == NULL) { /* the attempt has ended */
        return a->complete ? MHD_CONTENT_READER_END_OF_STREAM
                           : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    ex->suspended = true;
    CpBudgetAccount_SetWaits(&ex->caller->account, false, CpClock_Now_ns());
    MHD_suspend_connection(ex->conn);
    CpProxyWorker_Watch(ex->worker, ex);
    return 0;
}

static struct MHD_Response *
failure_response(CpProxyExchange *ex)
{
    char retry_after[24];
    char *text = CpProxyFront_FailureText(ex);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_COPY);
    g_free(text);
    MHD_add_response_header(r, "Content-Type", "application/json");
    if (ex->request.id[0] != '\0') {
        MHD_add_response_header(
            r, ex->worker->proxy->options.headers->request_id, ex->request.id);
    }
    if (ex->action.status == 401) {
        MHD_add_response_header(r, "WWW-Authenticate",
                                ex->worker->proxy->options.headers->challenge);
    }
    if (CpProxyFront_RetryAfter(ex, retry_after)) {
        MHD_add_response_header(r, "Retry-After", retry_after);
    }
    return r;
}

char *
CpProxyFront_FailureText(CpProxyExchange *ex)
{
    CpProxyAction *action = &ex->action;
    if (action->status == 0) {
        action->status = CpReason_HttpStatus(action->reason);
    }
    return g_strdup_printf("{\"reason\":\"%s\",\"text\":\"%s\"}\n",
                           CpReason_Name(action->reason),
                           CpReason_Text(action->reason));
}

bool
CpProxyFront_RetryAfter(const CpProxyExchange *ex, char out[24])
{
    const CpProxyAction *action = &ex->action;
    if (action->retry_after_ms == 0 ||
        (action->status != 503 && action->status != 429)) {
        return false;
    }
    snprintf(out, 24, "%u.%03u", action->retry_after_ms / 1000,
             action->retry_after_ms % 1000);
    return true;
}

static void
finish_request(CpProxyExchange *ex, bool sent)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    const CpProxyAction *action = &ex->action;
    CpRequestResult result = {.latency_ns =
                                  CpClock_Now_ns() - ex->request.started_ns,
                              .retry_after_ms = action->retry_after_ms};
    if (ex->attempt.streamed && !ex->attempt.complete && !ex->disconnected) {
        result.reason = action->reason; /* the caller received a part of it */
        result.status = ex->attempt.status;
    }
    else if (!ex->response_sent &&
             (ex->disconnected || !ex->response_queued || !sent)) {
        result.reason = CP_REASON_CALLER_GONE;
    }
    else if (action->type == CP_ACTION_RESPOND) {
        result.completed = true;
        result.status = ex->attempt.status;
    }
    else {
        result.reason = action->reason;
        result.status = action->status;
    }
    p->on_request_ended(p->ctx, &ex->request, &result);
}
