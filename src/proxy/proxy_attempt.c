/*
 * Attempts at backend servers. A response is accepted only if it has the id of
 * its request, is sealed by the server unless it is 5xx, and is complete. A
 * small response is buffered before any of it is forwarded, so that the
 * request can be retried if the response breaks off. A large one is streamed,
 * because its caller would otherwise wait for it twice; if it breaks off, the
 * caller's connection is closed early. Both parts of a response are bounded,
 * and so is what a host holds of all bodies: a server in trouble may send
 * bytes without end.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "proxy/proxy_int.h"

#define CONNECT_TIMEOUT_MS 400  /* several round trips between regions */
#define UNACKED_TIMEOUT_MS 1500 /* a host without power sends no ACK */
#define KEEPALIVE_IDLE_S 1      /* idle seconds before a probe */
#define KEEPALIVE_PROBES 2
#define IDLE_MARGIN_S 2 /* a server may be closing an idle connection */
#define MAX_HEAD_BYTES (64u * 1024)       /* of all heads of one response */
#define MAX_BUFFERED_BYTES (1024u * 1024) /* if not streamed */
#define STREAM_MIN_BYTES (16u * 1024)     /* less arrives in one TCP window */
#define STREAM_BUFFER_BYTES (256u * 1024) /* buffered for one slow caller */
/* Of all responses of this host, divided among its workers; beyond it, each
 * response may still hold a little. */
#define MAX_HELD_BYTES (24u * 1024 * 1024)
#define MIN_BUFFERED_BYTES (64u * 1024)
#define MIN_RESERVED_BYTES (32u * 1024) /* whatever the host's budget */

static void set_request(CpProxyExchange *ex, const CpProxyAction *action,
                        int64_t left_ms);
static void set_connection(CpProxyExchange *ex, const CpProxyAction *action,
                           int64_t left_ms);
static void set_headers(CpProxyExchange *ex, const CpProxyAction *action,
                        int64_t left_ms);
static void add_header(CpProxyAttempt *a, const char *name, const char *value);
static void end_attempt(CpProxyExchange *ex, CURLcode code);
static void classify_end(const CpProxyExchange *ex, CURLcode code,
                         CpAttemptResult *out);
static void stream_if_allowed(CpProxyExchange *ex, bool received_much);
static void restart(CpProxyExchange *ex);
static int on_prereq(void *ctx, char *remote, char *local, int remote_port,
                     int local_port);
static int on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static bool read_header(CpProxyExchange *ex, const char *name,
                        const char *value);
static bool is_valid_head(const CpProxyAttempt *a);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static bool reserve_body(CpProxyExchange *ex, size_t bytes);
static void check_early_end(CpProxyExchange *ex);
static void hold(CpProxyExchange *ex, int64_t bytes);

void
CpProxyAttempt_Start(CpProxyExchange *ex, const CpProxyAction *action)
{
    CpProxyWorker *w = ex->worker;
    CpProxyAttempt *a = &ex->attempt;
    CpProxyAttempt_Clear(ex);
    ex->attempts++;
    a->easy = CpEasyPool_Acquire(&w->easy_pool);
    a->response_headers = CpHeaderLine_NewList();
    a->body = g_byte_array_new();
    a->started_ns = CpClock_Now_ns();
    int64_t left_ms = (action->deadline_ns - a->started_ns) / CP_NS_PER_MS;
    set_request(ex, action, left_ms > 0 ? left_ms : 1);
    curl_multi_add_handle(w->multi, a->easy);
}

void
CpProxyAttempt_CollectEnded(CpProxyWorker *w)
{
    CURLMsg *msg;
    int left;
    while ((msg = curl_multi_info_read(w->multi, &left)) != NULL) {
        CpProxyExchange *ex;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &ex);
        if (ex->attempt.spent) {
            restart(ex);
        }
        else {
            end_attempt(ex, code);
        }
    }
}

bool
CpProxyAttempt_HasWholeResponse(const CpProxyExchange *ex)
{
    const CpResponseCheck *c = &ex->attempt.check;
    return ex->attempt.head_ns > 0 && c->flaw == CP_FLAW_NONE &&
           !ex->attempt.mismatched && !ex->attempt.oversized &&
           (c->framing == CP_FRAMING_EMPTY ||
            (c->framing == CP_FRAMING_LENGTH &&
             c->body_bytes == c->length_bytes));
}

void
CpProxyAttempt_EndEarly(CpProxyExchange *ex)
{
    end_attempt(ex, CURLE_OK);
}

void
CpProxyAttempt_OnDeadline(CpProxyExchange *ex)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    CpAttemptResult result;
    CpProxyAction action = {0};
    int64_t next_ns = 0;
    bool abandoned = CpProxyUpload_CanResend(ex) &&
                     p->should_abandon(p->ctx, &ex->request, &next_ns);
    ex->action.attempt_deadline_ns = abandoned ? 0 : next_ns;
    if (!abandoned) {
        return;
    }
    classify_end(ex, CURLE_OPERATION_TIMEDOUT, &result);
    if (ex->attempt.sent) {
        result.outcome = CP_ATTEMPT_TIMED_OUT;
    }
    CpProxyAttempt_Abort(ex);
    p->on_attempt_ended(p->ctx, &ex->request, &result, &action);
    CpProxyFront_Execute(ex, &action);
}

void
CpProxyAttempt_Clear(CpProxyExchange *ex)
{
    CpProxyAttempt *a = &ex->attempt;
    CpProxyAttempt_Abort(ex);
    if (a->response_headers != NULL) {
        g_ptr_array_unref(a->response_headers);
    }
    if (a->body != NULL) {
        g_byte_array_unref(a->body);
    }
    hold(ex, -(int64_t)a->held_bytes);
    CpBudgetAccount_Release(&ex->caller->account, a->reserved_bytes);
    memset(a, 0, sizeof(*a));
}

static void
set_request(CpProxyExchange *ex, const CpProxyAction *action, int64_t left_ms)
{
    CURL *e = ex->attempt.easy;
    snprintf(ex->attempt.url, sizeof(ex->attempt.url), "http://%s/",
             action->address);
    CpEasy_SetDefaults(e, ex->attempt.url, left_ms);
    curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, ex->request.target);
    curl_easy_setopt(e, CURLOPT_PRIVATE, ex);
    curl_easy_setopt(e, CURLOPT_ERRORBUFFER, ex->attempt.error);
    /* retries are decided by the policy */
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, ex);
    const CpResponseOptions expected = {
        .connections = ex->worker->connections,
        .server = ex->attempt.url,
        .single_headers = ex->worker->proxy->single_headers,
        .id_header = ex->worker->proxy->options.headers->request_id,
        .id = ex->request.id,
        .is_head = strcmp(ex->request.method, "HEAD") == 0};
    CpResponseCheck_Begin(&ex->attempt.check, &expected, e);
    CpEasy_SetReceivers(e, on_header, on_body, ex);
    set_connection(ex, action, left_ms);
    set_headers(ex, action, left_ms);
    CpProxyUpload_SetBody(ex);
}

static void
set_connection(CpProxyExchange *ex, const CpProxyAction *action,
               int64_t left_ms)
{
    const CpProxy *p = ex->worker->proxy;
    CURL *e = ex->attempt.easy;
    uint32_t keep_alive_s = CpAtomic_Load(&p->server_keep_alive_s);
    curl_easy_setopt(e, CURLOPT_INTERFACE, p->interface);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(
        e, CURLOPT_CONNECTTIMEOUT_MS,
        (long)(left_ms < CONNECT_TIMEOUT_MS ? left_ms : CONNECT_TIMEOUT_MS));
    curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, ex);
    CpConnections_Follow(ex->worker->connections, e);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN,
                     (long)(keep_alive_s > IDLE_MARGIN_S
                                ? keep_alive_s - IDLE_MARGIN_S
                                : 1));
    /* A reused connection may close without a response, or have a late one of
     * another request; a retry shall not be lost to it, too. */
    if (!action->idempotent || ex->attempts > 1) {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
    }
}

/* Sets the caller's headers and suppresses those that libcurl would add. */
static void
set_headers(CpProxyExchange *ex, const CpProxyAction *action, int64_t left_ms)
{
    const CpHeaderNames *names = ex->worker->proxy->options.headers;
    CpProxyAttempt *a = &ex->attempt;
    char number[24];
    bool has_content_type = false, has_accept = false;
    for (guint i = 0; i < ex->headers->len; i++) {
        const CpHeaderLine *h = g_ptr_array_index(ex->headers, i);
        if (action->org != NULL && (strcasecmp(h->name, names->key) == 0 ||
                                    strcasecmp(h->name, names->org) == 0)) {
            continue;
        }
        has_content_type |= strcasecmp(h->name, "Content-Type") == 0;
        has_accept |= strcasecmp(h->name, "Accept") == 0;
        add_header(a, h->name, h->value);
    }
    if (!has_content_type) {
        a->request_headers =
            curl_slist_append(a->request_headers, "Content-Type:");
    }
    if (!has_accept) {
        a->request_headers = curl_slist_append(a->request_headers, "Accept:");
    }
    a->request_headers = curl_slist_append(a->request_headers, "Expect:");
    add_header(a, "Host", ex->request.host);
    add_header(a, names->target_instance, action->instance);
    if (action->org != NULL && action->org[0] != '\0') {
        add_header(a, names->org, action->org);
    }
    snprintf(number, sizeof(number), "%lld", (long long)left_ms);
    add_header(a, names->timeout_ms, number);
    curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->request_headers);
}

/* curl wants an empty value as "Name;". */
static void
add_header(CpProxyAttempt *a, const char *name, const char *value)
{
    char *line = *value != '\0' ? g_strdup_printf("%s: %s", name, value)
                                : g_strdup_printf("%s;", name);
    a->request_headers = curl_slist_append(a->request_headers, line);
    g_free(line);
}

static void
end_attempt(CpProxyExchange *ex, CURLcode code)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    CpAttemptResult result;
    CpProxyAction action = {0};
    bool has_unsent = ex->streams_body && !ex->attempt.upload_done;
    if (has_unsent && CpProxyAttempt_HasWholeResponse(ex)) {
        code = CURLE_OK; /* the server reads no more of the request */
    }
    code = CpResponseCheck_End(&ex->attempt.check, code);
    classify_end(ex, code, &result);
    CpResponseCheck_Count(&ex->attempt.check);
    if (has_unsent) {
        ex->attempt.check.idle_fd = CURL_SOCKET_BAD;
    }
    CpProxyAttempt_Abort(ex);
    if (ex->attempt.streamed) {
        ex->attempt.complete = code == CURLE_OK;
        ex->action.reason = code == CURLE_OPERATION_TIMEDOUT
                                ? CP_REASON_DEADLINE_PASSED
                                : CP_REASON_ANSWER_TRUNCATED;
        p->on_stream_ended(p->ctx, &ex->request, &result);
        CpProxyUpload_BeginDrop(ex);
        CpProxyFront_Resume(ex);
        return;
    }
    p->on_attempt_ended(p->ctx, &ex->request, &result, &action);
    CpProxyFront_Execute(ex, &action);
}

/* Determines how the attempt ended and whether the request may have run. */
static void
classify_end(const CpProxyExchange *ex, CURLcode code, CpAttemptResult *out)
{
    const CpProxyAttempt *a = &ex->attempt;
    long opened = 0;
    curl_easy_getinfo(a->easy, CURLINFO_NUM_CONNECTS, &opened);
    *out = (CpAttemptResult){
        .withheld = a->withheld,
        .latency_ns = CpClock_Now_ns() - a->started_ns,
        .status = a->status,
        .has_load = a->has_load,
        .load = a->load,
        .head_latency_ns = a->head_ns > 0 ? a->head_ns - a->started_ns : 0,
        .warmup_left_ms = a->warmup_left_ms,
        .leaving = a->leaving,
        .pause_ms = a->status == 503 ? a->retry_after_ms : 0,
        .response_bytes = a->body_bytes,
        .can_resend = CpProxyUpload_CanResend(ex),
        .flaw = a->check.flaw,
        .reused = a->sent && opened == 0,
        .following_bytes = a->check.following_bytes,
        .verdict = CP_MAY_HAVE_RUN,
        .outcome = CP_ATTEMPT_BROKEN,
        .reason = CP_REASON_SERVER_FAILED};
    if (a->check.flaw == CP_FLAW_HEAD_MIXED) { /* not known whose they are */
        out->has_load = out->leaving = false;
        out->status = out->warmup_left_ms = out->pause_ms = 0;
    }
    if (!a->sent) {
        out->verdict = CP_NOT_RUN;
        out->outcome = CP_ATTEMPT_UNREACHABLE;
        out->reason = CP_REASON_CONNECT_FAILED;
    }
    else if (a->mismatched || a->check.flaw == CP_FLAW_HEAD_MIXED ||
             a->check.flaw == CP_FLAW_BODY_MIXED) {
        out->reason = CP_REASON_ANSWER_CROSSED;
    }
    else if (a->oversized) {
        out->reason = CP_REASON_ANSWER_TOO_LARGE;
    }
    else if (code != CURLE_OK) {
        out->reason = a->status != 0 ? CP_REASON_ANSWER_TRUNCATED
                                     : CP_REASON_SERVER_FAILED;
    }
    else if (a->status == 421) {
        out->verdict = CP_NOT_RUN;
        out->outcome = CP_ATTEMPT_WRONG_SERVER;
        out->reason = CP_REASON_WRONG_SERVER;
    }
    else if (a->not_run) {
        out->verdict = CP_NOT_RUN;
        out->outcome = CP_ATTEMPT_REFUSED;
        out->reason = CP_REASON_SERVER_REFUSED;
    }
    else if (a->status >= 500) {
        out->verdict = CP_RAN;
        out->outcome = CP_ATTEMPT_SERVER_ERROR;
    }
    else {
        out->verdict = CP_RAN;
        out->outcome = CP_ATTEMPT_ANSWERED;
        if (a->status < 300) {
            out->reason = CP_REASON_NONE;
        }
    }
}

void
CpProxyAttempt_Consume(CpProxyExchange *ex, uint32_t n)
{
    CpProxyAttempt *a = &ex->attempt;
    g_byte_array_remove_range(a->body, 0, n);
    hold(ex, -(int64_t)n);
    if (a->paused && a->body->len < STREAM_BUFFER_BYTES / 2 &&
        a->easy != NULL) {
        a->paused = false;
        curl_easy_pause(a->easy, CURLPAUSE_CONT);
    }
}

void
CpProxyAttempt_Cancel(CpProxyExchange *ex)
{
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    if (ex->attempt.easy != NULL) {
        ex->disconnected = true;
        p->on_cancelled(p->ctx, &ex->request,
                        CpClock_Now_ns() - ex->attempt.started_ns);
        CpProxyAttempt_Abort(ex);
    }
}

/* Removing the handle aborts a transfer that has not ended. */
void
CpProxyAttempt_Abort(CpProxyExchange *ex)
{
    CpProxyWorker *w = ex->worker;
    CpProxyAttempt *a = &ex->attempt;
    if (a->easy == NULL) {
        return;
    }
    curl_multi_remove_handle(w->multi, a->easy);
    curl_socket_t idle_fd = CpConnections_Release(&a->check);
    if (idle_fd != CURL_SOCKET_BAD) {
        CpProxyWorker_WatchIdle(w, idle_fd);
    }
    CpEasyPool_Release(&w->easy_pool, a->easy);
    a->easy = NULL;
    curl_slist_free_all(a->request_headers);
    a->request_headers = NULL;
}

/* Sends the request on a connection of its own. */
static void
restart(CpProxyExchange *ex)
{
    CpProxyAttempt *a = &ex->attempt;
    CpCounter_Add(CP_COUNT_CONNECTIONS_SPENT, 1);
    curl_multi_remove_handle(ex->worker->multi, a->easy);
    a->spent = false;
    curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(ex->worker->multi, a->easy);
}

/* Called right before the first byte is sent; until then the request has not
 * run. Makes the attempt fail rather than send its request a second time, as
 * the library does when a reused connection breaks. */
static int
on_prereq(void *ctx, char *remote, char *local, int remote_port,
          int local_port)
{
    CpProxyExchange *ex = ctx;
    CpProxyAttempt *a = &ex->attempt;
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    (void)remote, (void)local, (void)remote_port;
    if (a->sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    CpConnectionState state = CpConnections_Take(&a->check, local_port);
    a->spent = state == CP_CONNECTION_SPENT;
    if (a->spent) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (state == CP_CONNECTION_REUSED) {
        CpProxyWorker_UnwatchIdle(ex->worker, a->check.fd);
    }
    a->withheld = !p->may_send(p->ctx, &ex->request);
    a->sent = !a->withheld;
    return a->sent ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static int
on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
    CpProxyExchange *ex = ctx;
    unsigned int unacked_ms = UNACKED_TIMEOUT_MS;
    (void)purpose;
    CpConnections_OnOpened(&ex->attempt.check, fd);
    CpProxyCaller_BoundBuffers(ex->worker->proxy, fd);
    if (CpSocket_SetKeepalive(fd, KEEPALIVE_IDLE_S, KEEPALIVE_PROBES) !=
            CP_OK ||
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
                   sizeof(unacked_ms)) != 0) {
        return CURL_SOCKOPT_ERROR;
    }
    return CURL_SOCKOPT_OK;
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    CpProxyExchange *ex = ctx;
    CpProxyAttempt *a = &ex->attempt;
    n *= size;
    CpHeadLine line = CpResponseCheck_OnHeadLine(&a->check, data, n);
    size_t end = n;
    a->head_bytes += n;
    if (a->head_bytes > MAX_HEAD_BYTES) {
        a->oversized = true;
        return 0;
    }
    if (a->head_ns > 0) { /* a trailer, which is dropped */
        return n;
    }
    while (end > 0 && (data[end - 1] == '\r' || data[end - 1] == '\n')) {
        end--;
    }
    if (a->check.flaw != CP_FLAW_NONE) {
        return 0;
    }
    if (line == CP_HEAD_STATUS) {
        a->status = a->check.status;
        a->id_matches = a->mismatched = a->sealed = a->not_run = false;
        g_ptr_array_set_size(a->response_headers, 0);
        return n;
    }
    if (line == CP_HEAD_END) {
        bool final = a->status >= 200;
        if (final && !is_valid_head(a)) {
            a->mismatched = true;
            return 0;
        }
        if (final) {
            a->head_ns = CpClock_Now_ns();
            stream_if_allowed(ex, false);
            check_early_end(ex);
        }
        return n;
    }
    const char *colon = memchr(data, ':', end);
    if (colon == NULL) {
        return n;
    }
    const char *value = colon + 1;
    while (value < data + end && (*value == ' ' || *value == '\t')) {
        value++;
    }
    size_t before = a->response_headers->len;
    CpHeaderLine_Add(a->response_headers, data, (size_t)(colon - data), value,
                     (size_t)(data + end - value));
    const CpHeaderLine *h = g_ptr_array_index(a->response_headers, before);
    if (!read_header(ex, h->name, h->value)) {
        g_ptr_array_remove_index(a->response_headers, (guint)before);
    }
    return n;
}

/* Streams the body if it is large and the policy accepts the response.
 * Without a length, that it is large shows when so much has been received; its
 * end is then marked by chunks, which older callers do not know. */
static void
stream_if_allowed(CpProxyExchange *ex, bool received_much)
{
    const CpProxyAction respond = {.type = CP_ACTION_RESPOND};
    const CpProxyPolicy *p = &ex->worker->proxy->options.policy;
    curl_off_t length = -1;
    CpAttemptResult head;
    curl_easy_getinfo(ex->attempt.easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                      &length);
    bool large = length >= STREAM_MIN_BYTES ||
                 (length < 0 && received_much && ex->knows_chunks);
    if (!large || strcmp(ex->request.method, "HEAD") == 0 ||
        CpProxyDirect_IsNeeded(ex, CP_ACTION_RESPOND)) {
        return;
    }
    classify_end(ex, CURLE_OK, &head);
    if (p->may_stream(p->ctx, &ex->request, &head)) {
        ex->attempt.streamed = true;
        ex->attempt.content_length_bytes =
            length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length;
        CpProxyFront_Execute(ex, &respond);
    }
}

/* Reads the headers meant for this host; returns false for headers that are
 * not forwarded. */
static bool
read_header(CpProxyExchange *ex, const char *name, const char *value)
{
    CpProxy *p = ex->worker->proxy;
    const CpHeaderNames *names = p->options.headers;
    CpProxyAttempt *a = &ex->attempt;
    if (strcasecmp(name, names->request_id) == 0) {
        a->id_matches = strcmp(value, ex->request.id) == 0;
        a->mismatched = !a->id_matches;
    }
    else if (strcasecmp(name, names->seal) == 0) {
        a->sealed = value[0] != '\0';
    }
    else if (strcasecmp(name, names->not_run) == 0) {
        a->not_run = true;
    }
    else if (strcasecmp(name, names->server_load) == 0) {
        a->has_load = names->decode_load(value, &a->load);
    }
    else if (strcasecmp(name, names->warmup_left) == 0) {
        a->warmup_left_ms = (uint32_t)strtoul(value, NULL, 10);
    }
    else if (strcasecmp(name, names->leaving) == 0) {
        a->leaving = strcmp(value, "1") == 0;
    }
    else if (strcasecmp(name, "Retry-After") == 0) {
        a->retry_after_ms = CpEasy_ParseRetryAfter_ms(value);
    }
    else if (strcasecmp(name, "Keep-Alive") == 0) {
        const char *at = strstr(value, "timeout=");
        uint32_t timeout_s =
            at != NULL ? (uint32_t)strtoul(at + 8, NULL, 10) : 0;
        if (timeout_s > 0 &&
            timeout_s < CpAtomic_Load(&p->server_keep_alive_s)) {
            CpAtomic_Store(&p->server_keep_alive_s, timeout_s);
        }
    }
    return !CpHeader_IsUnforwarded(name);
}

/* Returns true if the head is a response to this request. A refusal may lack
 * the request's id: the server may not have read it. Without a seal only 5xx
 * is passed on: to the caller, 3xx and 4xx are final. */
static bool
is_valid_head(const CpProxyAttempt *a)
{
    if (a->mismatched) {
        return false;
    }
    if (a->status == 421 || a->not_run) {
        return true;
    }
    return a->id_matches && (a->sealed || a->status >= 500);
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    CpProxyExchange *ex = ctx;
    CpProxyAttempt *a = &ex->attempt;
    n *= size;
    const CpProxyWorker *w = ex->worker;
    size_t max_bytes = a->streamed ? STREAM_BUFFER_BYTES : MAX_BUFFERED_BYTES;
    bool is_full =
        a->body->len + n > max_bytes ||
        (w->held_bytes + n > MAX_HELD_BYTES / w->proxy->options.threads &&
         a->body->len + n > MIN_BUFFERED_BYTES) ||
        !reserve_body(ex, a->body->len + n);
    if (a->streamed && is_full) {
        a->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    if (is_full) {
        a->oversized = true;
        return 0;
    }
    CpResponseCheck_OnBody(&a->check, data, n);
    if (a->check.flaw != CP_FLAW_NONE) {
        return 0;
    }
    uint64_t before = a->body_bytes;
    g_byte_array_append(a->body, (const guint8 *)data, (guint)n);
    a->body_bytes += n;
    hold(ex, (int64_t)n);
    check_early_end(ex);
    if (a->streamed) {
        CpProxyFront_Resume(ex);
    }
    else if (before < STREAM_MIN_BYTES && a->body_bytes >= STREAM_MIN_BYTES) {
        stream_if_allowed(ex, true);
    }
    return n;
}

/* Reserves memory for a response's body of that size; the array that holds it
 * grows by doubling. A little may be held whatever the budget, so that every
 * response that was begun goes on. */
static bool
reserve_body(CpProxyExchange *ex, size_t bytes)
{
    CpProxyAttempt *a = &ex->attempt;
    CpBudgetAccount *account = &ex->caller->account;
    uint64_t wanted = 1024;
    while (wanted < bytes) {
        wanted *= 2;
    }
    if (wanted <= a->reserved_bytes) {
        return true;
    }
    CpBudgetUse use = bytes <= MIN_RESERVED_BYTES   ? CP_BUDGET_FORCED
                      : bytes <= MIN_BUFFERED_BYTES ? CP_BUDGET_SMALL
                                                    : CP_BUDGET_LARGE;
    if (!CpBudgetAccount_Reserve(account, wanted - a->reserved_bytes, use)) {
        return false;
    }
    a->reserved_bytes = wanted;
    return true;
}

/* A response that is complete before its request ends the upload if that makes
 * no progress. */
static void
check_early_end(CpProxyExchange *ex)
{
    if (ex->streams_body && !ex->attempt.upload_done &&
        CpProxyAttempt_HasWholeResponse(ex)) {
        ex->worker->next_deadline_ns = 0;
    }
}

/* Counts bytes of responses that are held, or released if negative. */
static void
hold(CpProxyExchange *ex, int64_t bytes)
{
    ex->attempt.held_bytes += (uint64_t)bytes;
    ex->worker->held_bytes += (uint64_t)bytes;
}
