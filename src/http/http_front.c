/*
 * The callers' front end. A connection that waits is suspended, and resumed by
 * the thread that delivers the head or the next bytes; no thread waits for it.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_int.h"

#define BLOCK_BYTES (32 * 1024)
#define SWEEP_MS 20
/* After the deadline, for a verdict of the back end to arrive. */
#define VERDICT_GRACE_NS (100 * CP_NS_PER_MS)
#define IDLE_TIMEOUT_S 30
#define SHARDS 8
#define LISTEN_BACKLOG 1024
/* Of a body, that are passed on together; fewer wait for the next sweep. A
 * chunk of one byte would else become a frame. */
#define WAKE_BYTES 4096
#define RUN_PREFIX "/run/"
#define TICKET_PARAMETER "cp_ticket="
/* Accepted over the limit while those without progress are closed for them; in
 * each thread. */
#define SPARE_CONNECTIONS 16
/* The library's buffer of a connection for heads. */
#define HEAD_BUFFER_BYTES (32u * 1024)
/* Of it, for the head of a response. */
#define RESPONSE_HEAD_BYTES (2u * 1024)
/* Of a connection: the library's state and that buffer. */
#define CONNECTION_BYTES HEAD_BUFFER_BYTES
/* Of a request besides bodies: the exchange, and the handle and connection of
 * its dispatch. */
#define REQUEST_BYTES (48u * 1024)
/* Of a socket's queues, which the kernel doubles. Large ones would count
 * against the host's memory unseen. */
#define SOCKET_BUFFER_BYTES (64 * 1024)
/* Less would close connections whose callers are about to send. */
#define CLOSE_IDLE_NS (500 * CP_NS_PER_MS)
#define CLOSE_SWEEP_NS (500 * CP_NS_PER_MS)
/* How long the rest of a body is dropped whose request has ended: without
 * progress, and at all. */
#define DROP_STALL_NS (1 * CP_NS_PER_S)
#define MAX_DROP_NS (5 * CP_NS_PER_S)

typedef struct Call Call;

typedef struct {
    pthread_mutex_t lock; /* guards the other fields, and callers */
    Call *calls;
    uint32_t count;
    CpBudgetGroup *callers;
} Shard;

/* A connection of a caller; guarded by its shard's lock. */
typedef struct {
    CpBudgetAccount account;
    Shard *shard;
    Call *call; /* NULL: none has begun */
    int32_t fd;
} Caller;

/* One request of a caller; lives as long as its exchange, which begins when
 * its head was received. */
struct Call {
    Call *next; /* in its shard */
    Call *prev;
    CpFront *front;
    Shard *shard;
    Caller *caller;         /* as long as its connection is open */
    CpExchange *ex;         /* NULL: not begun */
    char *target;           /* path and query, as received */
    CpReason early_refusal; /* reason to refuse before the submission */
    uint32_t submitted;     /* flag; atomic, as the sweep reads it */
    uint32_t max_body_bytes;
    uint64_t config_version;       /* that limits the body; 0: none does */
    uint64_t content_length_bytes; /* 0: unknown */
    uint64_t received_bytes;       /* of the body, from the caller */
    uint64_t moved_bytes;          /* of the body, since progress was noted */
    bool waits_for_server;
    uint64_t reserved_bytes; /* of the budget; the shard's lock guards
                              * this and the next 3 */
    bool body_received;      /* completely */
    int64_t drop_since_ns; /* the rest of the body is dropped; 0: it is not */
    int64_t dropped_ns;    /* the last time that bytes came */
    pthread_mutex_t lock;  /* guards the next 4 */
    struct MHD_Connection *conn;
    bool suspended;
    bool resume_missed; /* it was resumed while not suspended */
    int32_t fd;
};

struct CpFront {
    CpFrontOptions options;
    int32_t listen_fd;
    uint32_t open; /* flag; atomic */
    struct MHD_Daemon *daemon;
    Shard shards[SHARDS];
    uint32_t next_shard;   /* atomic */
    int64_t next_close_ns; /* used by the sweep alone */
};

static const char *const single_headers[] = {
    "Host", "Content-Type", CP_HEADER_DEADLINE, CP_HEADER_TICKET, NULL,
};

/* Connection state of a lookup, which needs no Call. */
static Call lookup_state;

static void on_connection(void *ctx, struct MHD_Connection *conn,
                          void **socket_ctx,
                          enum MHD_ConnectionNotificationCode code);
static bool reserve(CpFront *f, Caller *caller, uint64_t bytes);
static bool reserve_call(Call *c);
static bool close_idlest(CpFront *f, const Caller *except,
                         uint64_t held_bytes);
static void close_caller(Caller *caller);
static void close_stalled(CpFront *f, int64_t now_ns);
static void note_moved(Call *c, uint64_t bytes, bool waits_for_caller);
static void set_waits(Call *c, bool for_caller);
static bool drop_body(Call *c);
static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *conn);
static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static enum MHD_Result respond_lookup(CpFront *f, struct MHD_Connection *conn);
static enum MHD_Result respond_ticket(CpFront *f, struct MHD_Connection *conn);
static enum MHD_Result refuse_early(Call *c);
static enum MHD_Result respond_head(Call *c);
static void begin_call(Call *c, const char *url, const char *method);
static CpReason init_exchange(CpFront *f, Call *c, const char *url,
                              const char *method);
static bool leaves_room(struct MHD_Connection *conn);
static CpReason refuse_body(const Call *c);
static void free_call(void *data);
static void receive_body(Call *c, const char *data, size_t *data_bytes);
static void write_body(Call *c, const char *data, size_t *data_bytes);
static void submit(Call *c);
static void set_target(Call *c);
static ssize_t read_response(void *ctx, uint64_t pos, char *out,
                             size_t capacity);
static void on_head(void *ctx, CpExchange *ex);
static void resume_call(void *ctx);
static void on_sweep(void *ctx, int64_t now_ns);
static void fail_pending(CpFront *f);
static bool is_disconnected(Call *c);
static void client_ip(struct MHD_Connection *conn, char *out, size_t n);
static void record_result(Call *c);

CpStatus
CpFront_New(const CpFrontOptions *options, CpFront **out)
{
    CpFront *f = CpMem_Alloc(sizeof(*f));
    f->options = *options;
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_init(&f->shards[i].lock, NULL);
        f->shards[i].callers = CpBudgetGroup_New(options->budget);
    }
    f->listen_fd = CpSocket_Bind(options->listen);
    if (f->listen_fd < 0) {
        free(f);
        return CP_ERR_IO;
    }
    *out = f;
    return CP_OK;
}

CpStatus
CpFront_Open(CpFront *f)
{
    const int queue_bytes = SOCKET_BUFFER_BYTES;
    if (CpBudget_IsLimited(f->options.budget) &&
        (setsockopt(f->listen_fd, SOL_SOCKET, SO_RCVBUF, &queue_bytes,
                    sizeof(queue_bytes)) != 0 ||
         setsockopt(f->listen_fd, SOL_SOCKET, SO_SNDBUF, &queue_bytes,
                    sizeof(queue_bytes)) != 0)) { /* accepted ones inherit */
        CpLog(CP_LOG_WARNING, "front: cannot bound the buffers of sockets");
    }
    if (listen(f->listen_fd, LISTEN_BACKLOG) != 0) {
        return CpError_Set(CP_ERR_IO, "%s: %s", f->options.listen,
                           strerror(errno));
    }
    f->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, on_request, f, MHD_OPTION_LISTEN_SOCKET, f->listen_fd,
        MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)f->options.threads,
        MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)(f->options.max_connections +
                       SPARE_CONNECTIONS * f->options.threads),
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, f,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEAD_BUFFER_BYTES,
        MHD_OPTION_URI_LOG_CALLBACK, on_uri, f, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, f, MHD_OPTION_END);
    if (f->daemon == NULL) {
        return CpError_Set(CP_ERR_IO, "%s: cannot listen", f->options.listen);
    }
    CpAtomic_Store(&f->open, 1);
    return CP_OK;
}

bool
CpFront_IsOpen(CpFront *f)
{
    return CpAtomic_Load(&f->open) != 0;
}

void
CpFront_Subscribe(CpFront *f, CpTimer *t)
{
    CpTimer_Subscribe(t, SWEEP_MS, on_sweep, f);
}

uint32_t
CpFront_CountActive(CpFront *f)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_lock(&f->shards[i].lock);
        n += f->shards[i].count;
        pthread_mutex_unlock(&f->shards[i].lock);
    }
    return n;
}

void
CpFront_Quiesce(CpFront *f)
{
    if (CpFront_IsOpen(f)) {
        MHD_quiesce_daemon(f->daemon);
    }
    close(f->listen_fd);
    f->listen_fd = -1;
}

void
CpFront_Free(CpFront *f)
{
    fail_pending(f);
    if (CpFront_IsOpen(f)) {
        MHD_stop_daemon(f->daemon);
    }
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_destroy(&f->shards[i].lock);
        CpBudgetGroup_Free(f->shards[i].callers);
    }
    free(f);
}

static void
on_connection(void *ctx, struct MHD_Connection *conn, void **socket_ctx,
              enum MHD_ConnectionNotificationCode code)
{
    CpFront *f = ctx;
    Caller *caller = *socket_ctx;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        pthread_mutex_lock(&caller->shard->lock);
        CpBudgetAccount_Close(&caller->account);
        pthread_mutex_unlock(&caller->shard->lock);
        free(caller);
        *socket_ctx = NULL;
        return;
    }
    caller = CpMem_Alloc(sizeof(*caller));
    *socket_ctx = caller;
    uint32_t sequence =
        __atomic_add_fetch(&f->next_shard, 1, __ATOMIC_RELAXED);
    caller->shard = &f->shards[sequence % SHARDS];
    caller->fd =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    pthread_mutex_lock(&caller->shard->lock);
    CpBudgetAccount_Open(&caller->account, caller->shard->callers, caller,
                         CpClock_Now_ns());
    pthread_mutex_unlock(&caller->shard->lock);
    if ((CpBudget_IsCrowded(f->options.budget) &&
         !close_idlest(f, caller, 0)) ||
        !reserve(f, caller, CONNECTION_BYTES)) {
        CpCounter_Add(CP_COUNT_MEMORY_REFUSED, 1);
        pthread_mutex_lock(&caller->shard->lock);
        close_caller(caller);
        pthread_mutex_unlock(&caller->shard->lock);
    }
}

/* Reserves memory for a connection. What another one holds, that is closed for
 * it, is released only later, so that a single one is closed. */
static bool
reserve(CpFront *f, Caller *caller, uint64_t bytes)
{
    bool reserved = false;
    for (uint32_t i = 0; i < 2 && !reserved; i++) {
        if (i == 1 && !close_idlest(f, caller, 0)) {
            return false;
        }
        pthread_mutex_lock(&caller->shard->lock);
        reserved =
            CpBudgetAccount_Reserve(&caller->account, bytes, CP_BUDGET_SMALL);
        pthread_mutex_unlock(&caller->shard->lock);
    }
    return reserved;
}

/* Reserves memory for a request and the part of its body that is held. */
static bool
reserve_call(Call *c)
{
    CpFront *f = c->front;
    uint64_t bytes = REQUEST_BYTES;
    if (c->ex->request_body != NULL) {
        if (!CpPipe_Reserve(c->ex->request_body, f->options.budget) &&
            !(close_idlest(f, c->caller, CONNECTION_BYTES + 1) &&
              CpPipe_Reserve(c->ex->request_body, f->options.budget))) {
            return false;
        }
    }
    else {
        bytes += c->content_length_bytes;
    }
    if (!reserve(f, c->caller, bytes)) {
        return false;
    }
    c->reserved_bytes = bytes;
    return true;
}

/* Closes the connection that has made no progress for the longest time, of
 * those that hold at least so much. */
static bool
close_idlest(CpFront *f, const Caller *except, uint64_t held_bytes)
{
    const CpBudgetWanted wanted = {.except = except != NULL ? &except->account
                                                            : NULL,
                                   .idle_ns = CLOSE_IDLE_NS,
                                   .held_bytes = held_bytes};
    int64_t now_ns = CpClock_Now_ns(), since_ns = INT64_MAX;
    Shard *found = NULL;
    for (uint32_t i = 0; i < SHARDS; i++) {
        Shard *shard = &f->shards[i];
        pthread_mutex_lock(&shard->lock);
        const CpBudgetAccount *a =
            CpBudgetGroup_FindIdlest(shard->callers, &wanted, now_ns);
        if (a != NULL && a->progress_ns < since_ns) {
            since_ns = a->progress_ns;
            found = shard;
        }
        pthread_mutex_unlock(&shard->lock);
    }
    if (found == NULL) {
        return false;
    }
    pthread_mutex_lock(&found->lock);
    CpBudgetAccount *a =
        CpBudgetGroup_FindIdlest(found->callers, &wanted, now_ns);
    if (a != NULL) {
        CpCounter_Add(CP_COUNT_CALLERS_CLOSED, 1);
        close_caller(a->ctx);
    }
    pthread_mutex_unlock(&found->lock);
    return a != NULL;
}

/* Ends a connection, under its shard's lock. The library sees the end and
 * completes its request. */
static void
close_caller(Caller *caller)
{
    CpBudgetAccount_SetWaits(&caller->account, false, CpClock_Now_ns());
    shutdown(caller->fd, SHUT_RDWR);
    if (caller->call != NULL) {
        if (caller->call->ex->request_body != NULL) {
            CpPipe_End(caller->call->ex->request_body, CP_PIPE_BROKEN);
        }
        resume_call(caller->call);
    }
}

/* Closes connections with an unfinished body that has made no progress for too
 * long or is dropped for too long, and others while little memory is left. The
 * library may miss the end of a connection that comes with the last bytes that
 * it reads, as the kernel tells of both only once. */
static void
close_stalled(CpFront *f, int64_t now_ns)
{
    const CpBudgetWanted stalled = {.idle_ns = CLOSE_IDLE_NS};
    int64_t timeout_ns = f->options.body_timeout_ms * CP_NS_PER_MS;
    if (now_ns < f->next_close_ns) {
        return;
    }
    f->next_close_ns = now_ns + CLOSE_SWEEP_NS;
    for (uint32_t i = 0; i < SHARDS; i++) {
        Shard *shard = &f->shards[i];
        CpBudgetAccount *next;
        pthread_mutex_lock(&shard->lock);
        for (CpBudgetAccount *a =
                 CpBudgetGroup_FindIdlest(shard->callers, &stalled, now_ns);
             a != NULL && now_ns - a->progress_ns >= stalled.idle_ns;
             a = next) {
            Caller *caller = a->ctx;
            next = a->next;
            if (caller->call != NULL && !caller->call->body_received &&
                (now_ns - a->progress_ns >= timeout_ns ||
                 CpSocket_HasEnded(caller->fd))) {
                CpCounter_Add(CP_COUNT_CALLERS_CLOSED, 1);
                close_caller(caller);
            }
        }
        for (const Call *c = shard->calls; c != NULL; c = c->next) {
            if (c->drop_since_ns > 0 && !c->body_received &&
                (now_ns - c->dropped_ns > DROP_STALL_NS ||
                 now_ns - c->drop_since_ns > MAX_DROP_NS)) {
                close_caller(c->caller);
            }
        }
        pthread_mutex_unlock(&shard->lock);
    }
    while (CpBudget_IsShort(f->options.budget) &&
           close_idlest(f, NULL, CONNECTION_BYTES + 1)) {
    }
}

static void
note_moved(Call *c, uint64_t bytes, bool waits_for_caller)
{
    int64_t now_ns = CpClock_Now_ns();
    pthread_mutex_lock(&c->shard->lock);
    CpBudgetAccount_SetWaits(&c->caller->account, waits_for_caller, now_ns);
    CpBudgetAccount_OnMoved(&c->caller->account, bytes, now_ns);
    pthread_mutex_unlock(&c->shard->lock);
}

static void
set_waits(Call *c, bool for_caller)
{
    pthread_mutex_lock(&c->shard->lock);
    CpBudgetAccount_SetWaits(&c->caller->account, for_caller,
                             CpClock_Now_ns());
    pthread_mutex_unlock(&c->shard->lock);
}

/* Returns true if the request has ended, so that the rest of its body is
 * dropped. The library takes a response only after it. */
static bool
drop_body(Call *c)
{
    CpExchange *ex = c->ex;
    if (c->early_refusal == CP_REASON_NONE &&
        (ex->request_body == NULL || !CpPipe_IsBroken(ex->request_body))) {
        return false;
    }
    pthread_mutex_lock(&ex->lock);
    bool has_response =
        ex->head_delivered && ex->head.reason == CP_REASON_NONE;
    pthread_mutex_unlock(&ex->lock);
    if (has_response) {
        return true; /* of the server, which the caller gets after its body */
    }
    int64_t now_ns = CpClock_Now_ns();
    pthread_mutex_lock(&c->shard->lock);
    c->dropped_ns = now_ns;
    c->drop_since_ns = c->drop_since_ns > 0 ? c->drop_since_ns : now_ns;
    pthread_mutex_unlock(&c->shard->lock);
    return true;
}

/* libmicrohttpd decodes the path and the query; only this callback gets them
 * as received. */
static void *
on_uri(void *ctx, const char *uri, struct MHD_Connection *conn)
{
    Call *c = CpMem_Alloc(sizeof(*c));
    c->front = ctx;
    c->conn = conn;
    c->caller =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
    c->shard = c->caller->shard;
    c->target = CpStr_Dup(uri);
    pthread_mutex_init(&c->lock, NULL);
    return c;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    CpFront *f = ctx;
    Call *c = *state;
    (void)version;
    if (c == &lookup_state) {
        *data_bytes = 0;
        return respond_lookup(f, conn);
    }
    if (c->ex == NULL) {
        if (strcmp(url, "/lookup") == 0) {
            free_call(c);
            *state = &lookup_state; /* a response now would end keep-alive */
            return MHD_YES;
        }
        begin_call(c, url, method);
        return c->early_refusal == CP_REASON_NONE ? MHD_YES : refuse_early(c);
    }
    if (*data_bytes > 0) {
        receive_body(c, data, data_bytes);
        return MHD_YES;
    }
    pthread_mutex_lock(&c->shard->lock);
    c->body_received = true;
    pthread_mutex_unlock(&c->shard->lock);
    if (strcmp(url, "/ticket") == 0 && strcmp(method, "POST") == 0) {
        return respond_ticket(f, conn);
    }
    if (c->early_refusal != CP_REASON_NONE) {
        return refuse_early(c);
    }
    if (!c->submitted) {
        submit(c);
    }
    else if (c->ex->request_body != NULL) {
        CpPipe_End(c->ex->request_body, CP_PIPE_COMPLETE);
    }
    pthread_mutex_lock(&c->lock);
    bool has_head = CpExchange_HasHead(c->ex);
    if (!has_head) {
        c->suspended = true;
        MHD_suspend_connection(conn);
    }
    pthread_mutex_unlock(&c->lock);
    set_waits(c, has_head);
    return has_head ? respond_head(c) : MHD_YES;
}

static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    Call *c = *state;
    (void)ctx, (void)conn;
    if (c == NULL || c == &lookup_state) {
        return;
    }
    *state = NULL;
    if (c->ex == NULL) {
        free_call(c);
        return;
    }
    pthread_mutex_lock(&c->lock);
    c->conn = NULL;
    c->suspended = false;
    pthread_mutex_unlock(&c->lock);
    pthread_mutex_lock(&c->shard->lock);
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        c->shard->calls = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    c->shard->count--;
    CpBudgetAccount_Release(&c->caller->account, c->reserved_bytes);
    CpBudgetAccount_SetWaits(&c->caller->account, true, CpClock_Now_ns());
    c->caller->call = NULL;
    pthread_mutex_unlock(&c->shard->lock);
    CpExchange *ex = c->ex;
    CpExchange_SetOnHead(ex, NULL, NULL);
    if (c->submitted && code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        CpCounter_Add(CP_COUNT_CANCELLED, 1);
        CpExchange_Cancel(ex);
    }
    if (ex->request_body != NULL) {
        CpPipe_End(ex->request_body, CP_PIPE_BROKEN);
    }
    CpPipe_End(ex->response_body, CP_PIPE_BROKEN);
    CpExchange_Release(ex);
}

static enum MHD_Result
respond_lookup(CpFront *f, struct MHD_Connection *conn)
{
    char ip[INET6_ADDRSTRLEN], cache_control[32];
    uint32_t ttl_s = 0;
    const char *kind =
        MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "kind");
    const char *client =
        MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "client");
    if (client == NULL) {
        client_ip(conn, ip, sizeof(ip));
        client = ip;
    }
    char *text = f->options.render_lookup(f->options.ctx, kind ? kind : "",
                                          client, &ttl_s);
    if (text == NULL) {
        CpResponseHead head = {.status = 503,
                               .verdict = CP_NOT_RUN,
                               .reason = CP_REASON_NOT_CONFIGURED};
        return CpResponse_QueueRefusal(conn, &head);
    }
    CpCounter_Add(CP_COUNT_LOOKUPS, 1);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    snprintf(cache_control, sizeof(cache_control), "max-age=%u", ttl_s);
    MHD_add_response_header(r, "Content-Type", "application/json");
    MHD_add_response_header(r, "Cache-Control", cache_control);
    enum MHD_Result ok = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    return ok;
}

static enum MHD_Result
respond_ticket(CpFront *f, struct MHD_Connection *conn)
{
    return CpResponse_QueueText(conn, 200, "application/json",
                                f->options.render_ticket(f->options.ctx));
}

/* Refuses a request without reading the rest of its body. 503 promises that it
 * was not run. */
static enum MHD_Result
refuse_early(Call *c)
{
    CpResponseHead head = {.status = CpReason_HttpStatus(c->early_refusal),
                           .verdict =
                               c->submitted ? CP_MAY_HAVE_RUN : CP_NOT_RUN,
                           .reason = c->early_refusal};
    if (c->submitted && head.status == 503) {
        head.status = 502;
    }
    CpCounter_AddReason(c->early_refusal, c->ex->rank);
    return CpResponse_QueueRefusal(c->conn, &head);
}

static enum MHD_Result
respond_head(Call *c)
{
    CpExchange *ex = c->ex;
    pthread_mutex_lock(&ex->lock);
    CpResponseHead head = ex->head;
    pthread_mutex_unlock(&ex->lock);
    record_result(c);
    if (head.reason != CP_REASON_NONE) {
        return CpResponse_QueueRefusal(c->conn, &head);
    }
    uint64_t size = head.length_bytes == CP_LENGTH_UNKNOWN ? MHD_SIZE_UNKNOWN
                                                           : head.length_bytes;
    size_t block = size < BLOCK_BYTES ? (size_t)size + 1 : BLOCK_BYTES;
    CpPipe_SetOnReadable(ex->response_body, resume_call, c);
    struct MHD_Response *r =
        MHD_create_response_from_callback(size, block, read_response, c, NULL);
    MHD_add_response_header(r, CP_HEADER_VERDICT,
                            CpVerdict_Name(head.verdict));
    MHD_add_response_header(r, CP_HEADER_SERVER, head.server);
    if (head.content_type[0] != '\0') {
        MHD_add_response_header(r, "Content-Type", head.content_type);
    }
    enum MHD_Result ok = MHD_queue_response(c->conn, head.status, r);
    MHD_destroy_response(r);
    return ok;
}

static void
begin_call(Call *c, const char *url, const char *method)
{
    CpFront *f = c->front;
    c->fd = MHD_get_connection_info(c->conn, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
    c->ex = CpExchange_New();
    CpExchange_Attach(c->ex, c, free_call);
    c->early_refusal = init_exchange(f, c, url, method);
    CpPipe_SetBudget(c->ex->response_body, f->options.budget);
    if (c->early_refusal == CP_REASON_NONE && !reserve_call(c)) {
        CpCounter_Add(CP_COUNT_MEMORY_REFUSED, 1);
        c->early_refusal = CP_REASON_MEMORY_SHORT;
    }
    pthread_mutex_lock(&c->shard->lock);
    c->caller->call = c;
    CpBudgetAccount_OnMoved(&c->caller->account, CP_BUDGET_PROGRESS_BYTES,
                            CpClock_Now_ns());
    c->next = c->shard->calls;
    if (c->next != NULL) {
        c->next->prev = c;
    }
    c->shard->calls = c;
    c->shard->count++;
    pthread_mutex_unlock(&c->shard->lock);
}

static CpReason
init_exchange(CpFront *f, Call *c, const char *url, const char *method)
{
    CpExchange *ex = c->ex;
    CpKindInfo info;
    char ip[INET6_ADDRSTRLEN];
    const char *content_length = MHD_lookup_connection_value(
        c->conn, MHD_HEADER_KIND, "Content-Length");
    const char *transfer_encoding = MHD_lookup_connection_value(
        c->conn, MHD_HEADER_KIND, "Transfer-Encoding");
    const char *deadline_text = MHD_lookup_connection_value(
        c->conn, MHD_HEADER_KIND, CP_HEADER_DEADLINE);
    const char *ticket = MHD_lookup_connection_value(
        c->conn, MHD_GET_ARGUMENT_KIND, "cp_ticket");
    const char *content_type =
        MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, "Content-Type");
    size_t prefix_bytes = strlen(RUN_PREFIX);
    c->content_length_bytes =
        content_length != NULL ? strtoull(content_length, NULL, 10) : 0;
    if (!CpRequestHead_IsOne(c->conn, method, c->target, single_headers)) {
        return CP_REASON_BAD_REQUEST;
    }
    if (!leaves_room(c->conn)) {
        return CP_REASON_HEAD_TOO_LARGE;
    }
    if (strcmp(url, "/ticket") == 0) {
        return CP_REASON_NONE;
    }
    if (strncmp(url, RUN_PREFIX, prefix_bytes) != 0) {
        return CP_REASON_UNKNOWN_KIND;
    }
    size_t kind_bytes = strcspn(url + prefix_bytes, "/");
    CpStr_Copy(ex->kind,
               kind_bytes + 1 < sizeof(ex->kind) ? kind_bytes + 1
                                                 : sizeof(ex->kind),
               url + prefix_bytes);
    CpReason reason = f->options.find_kind(f->options.ctx, ex->kind, &info);
    if (reason != CP_REASON_NONE) {
        return reason;
    }
    if (ticket == NULL) {
        ticket = MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND,
                                             CP_HEADER_TICKET);
    }
    ex->kind_index = info.kind_index;
    ex->pool_index = info.pool_index;
    ex->rank = info.rank;
    ex->idempotent = info.idempotent;
    uint32_t limit_ms = info.deadline_ms;
    if (deadline_text != NULL && strtoul(deadline_text, NULL, 10) < limit_ms) {
        limit_ms = (uint32_t)strtoul(deadline_text, NULL, 10);
    }
    ex->deadline_ns = ex->started_ns + limit_ms * CP_NS_PER_MS;
    if (strlen(method) >= sizeof(ex->method) ||
        strncmp(c->target, RUN_PREFIX, prefix_bytes) != 0 ||
        strlen(c->target) >= sizeof(ex->target) ||
        (ticket != NULL && strlen(ticket) >= sizeof(ex->ticket))) {
        return CP_REASON_BAD_REQUEST;
    }
    CpStr_Copy(ex->method, sizeof(ex->method), method);
    CpStr_Copy(ex->ticket, sizeof(ex->ticket), ticket ? ticket : "");
    CpStr_Copy(ex->content_type, sizeof(ex->content_type),
               content_type ? content_type : "");
    set_target(c);
    client_ip(c->conn, ip, sizeof(ip));
    f->options.find_origin(f->options.ctx, ip, ex->origin);
    c->max_body_bytes = info.max_body_kb * 1024;
    c->config_version = info.version;
    if (c->content_length_bytes > c->max_body_bytes) {
        return refuse_body(c);
    }
    if (transfer_encoding != NULL ||
        c->content_length_bytes > CP_BODY_MAX_BYTES) {
        if (!ex->idempotent) {
            return refuse_body(c);
        }
        ex->request_body = CpPipe_New(CP_PIPE_CAPACITY_BYTES);
        CpPipe_SetOnWritable(ex->request_body, resume_call, c);
        CpPipe_SetWakeBytes(ex->request_body, WAKE_BYTES);
    }
    return CP_REASON_NONE;
}

/* Returns true if the head of a request leaves enough of the connection's
 * buffer for that of the response; the library closes the connection without a
 * response otherwise. */
static bool
leaves_room(struct MHD_Connection *conn)
{
    size_t head_bytes =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
            ->header_size;
    return head_bytes + CpRequestHead_Records_bytes(conn) +
               RESPONSE_HEAD_BYTES <=
           HEAD_BUFFER_BYTES;
}

/* The latest configuration may allow a body that an outdated one does not. */
static CpReason
refuse_body(const Call *c)
{
    const CpFrontOptions *o = &c->front->options;
    return c->config_version == 0 || o->is_current(o->ctx, c->config_version)
               ? CP_REASON_BODY_TOO_LARGE
               : CP_REASON_NOT_CURRENT;
}

static void
free_call(void *data)
{
    Call *c = data;
    free(c->target);
    pthread_mutex_destroy(&c->lock);
    free(c);
}

static void
receive_body(Call *c, const char *data, size_t *data_bytes)
{
    CpExchange *ex = c->ex;
    size_t n = *data_bytes;
    c->moved_bytes += n;
    if (c->moved_bytes >= CP_BUDGET_PROGRESS_BYTES || c->waits_for_server) {
        note_moved(c, c->moved_bytes, true);
        c->moved_bytes = 0;
        c->waits_for_server = false;
    }
    if (drop_body(c)) {
        *data_bytes = 0;
        return;
    }
    c->received_bytes += n;
    if (c->received_bytes > c->max_body_bytes) {
        c->early_refusal = refuse_body(c);
        *data_bytes = 0;
        if (c->submitted) {
            CpExchange_Cancel(ex);
            CpPipe_End(ex->request_body, CP_PIPE_BROKEN);
        }
        return;
    }
    if (ex->request_body == NULL) {
        if (ex->inline_body == NULL) {
            ex->inline_body = CpMem_Realloc(NULL, c->content_length_bytes);
        }
        memcpy(ex->inline_body + ex->inline_body_bytes, data, n);
        ex->inline_body_bytes += (uint32_t)n;
        *data_bytes = 0;
        return;
    }
    if (!c->submitted) {
        submit(c);
    }
    write_body(c, data, data_bytes);
}

/* Writes to the pipe what fits; if that is not all, suspends the connection
 * until there is room. The pipe's callbacks take locks under which others
 * resume the call, so its own lock is not held meanwhile. */
static void
write_body(Call *c, const char *data, size_t *data_bytes)
{
    size_t n = *data_bytes, written = 0;
    bool suspended = false;
    while (written < n && !suspended) {
        pthread_mutex_lock(&c->lock);
        c->resume_missed = false;
        pthread_mutex_unlock(&c->lock);
        written += CpPipe_Write(c->ex->request_body, data + written,
                                (uint32_t)(n - written));
        if (written < n) {
            pthread_mutex_lock(&c->lock);
            suspended = !c->resume_missed;
            if (suspended) {
                c->suspended = true;
                MHD_suspend_connection(c->conn);
            }
            pthread_mutex_unlock(&c->lock);
        }
    }
    *data_bytes = n - written;
    c->received_bytes -= n - written;
    if (suspended) {
        c->waits_for_server = true;
        set_waits(c, false);
    }
}

static void
submit(Call *c)
{
    CpFront *f = c->front;
    CpCounter_Add(CP_COUNT_REQUESTS, 1);
    CpExchange_SetOnHead(c->ex, on_head, c);
    CpAtomic_Store(&c->submitted, 1);
    f->options.submit(f->options.ctx, CpExchange_Retain(c->ex));
}

/* Sets the path and query for the backend server, without the ticket. */
static void
set_target(Call *c)
{
    CpExchange *ex = c->ex;
    const char *path = c->target + strlen(RUN_PREFIX) - 1;
    size_t n = strcspn(path, "?");
    char separator = '?';
    CpStr_Copy(ex->target, n + 1, path);
    for (const char *at = path + n; *at != '\0'; at += strcspn(at, "&")) {
        at++;
        size_t parameter_bytes = strcspn(at, "&");
        if (strncmp(at, TICKET_PARAMETER, strlen(TICKET_PARAMETER)) != 0) {
            n += (size_t)snprintf(ex->target + n, sizeof(ex->target) - n,
                                  "%c%.*s", separator, (int)parameter_bytes,
                                  at);
            separator = '&';
        }
    }
}

static ssize_t
read_response(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    Call *c = ctx;
    CpPipeState state;
    (void)pos;
    pthread_mutex_lock(&c->lock);
    uint32_t n =
        CpPipe_Read(c->ex->response_body, out, (uint32_t)capacity, &state);
    if (n == 0 && state == CP_PIPE_OPEN) {
        c->suspended = true;
        MHD_suspend_connection(c->conn);
    }
    pthread_mutex_unlock(&c->lock);
    note_moved(c, n, n > 0);
    if (n > 0 || state == CP_PIPE_OPEN) {
        return n;
    }
    return state == CP_PIPE_COMPLETE ? MHD_CONTENT_READER_END_OF_STREAM
                                     : MHD_CONTENT_READER_END_WITH_ERROR;
}

static void
on_head(void *ctx, CpExchange *ex)
{
    (void)ex;
    resume_call(ctx);
}

static void
resume_call(void *ctx)
{
    Call *c = ctx;
    pthread_mutex_lock(&c->lock);
    if (c->suspended && c->conn != NULL) {
        c->suspended = false;
        MHD_resume_connection(c->conn);
    }
    else {
        c->resume_missed = true;
    }
    pthread_mutex_unlock(&c->lock);
}

/* Cancels the calls whose deadline has passed or whose caller disconnected,
 * and fails those without a head after the grace time. */
static void
on_sweep(void *ctx, int64_t now_ns)
{
    CpFront *f = ctx;
    close_stalled(f, now_ns);
    for (uint32_t i = 0; i < SHARDS; i++) {
        Shard *shard = &f->shards[i];
        pthread_mutex_lock(&shard->lock);
        for (Call *c = shard->calls; c != NULL; c = c->next) {
            CpExchange *ex = c->ex;
            if (!CpAtomic_Load(&c->submitted)) {
                continue;
            }
            if (ex->request_body != NULL) {
                CpPipe_Flush(ex->request_body);
            }
            if (is_disconnected(c) || now_ns > ex->deadline_ns) {
                CpExchange_Cancel(ex);
            }
            if (now_ns > ex->deadline_ns + VERDICT_GRACE_NS) {
                CpExchange_Fail(ex, CP_MAY_HAVE_RUN,
                                CP_REASON_DEADLINE_PASSED);
            }
        }
        pthread_mutex_unlock(&shard->lock);
    }
}

/* Fails the calls that are left and resumes their connections: MHD must not be
 * stopped while connections are suspended. */
static void
fail_pending(CpFront *f)
{
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_lock(&f->shards[i].lock);
        for (Call *c = f->shards[i].calls; c != NULL; c = c->next) {
            CpExchange_Cancel(c->ex);
            CpExchange_Fail(c->ex, CP_MAY_HAVE_RUN, CP_REASON_HOST_LEAVING);
            resume_call(c);
        }
        pthread_mutex_unlock(&f->shards[i].lock);
    }
}

/* Returns true if the caller disconnected. MHD does not check suspended
 * connections. */
static bool
is_disconnected(Call *c)
{
    bool disconnected = false;
    pthread_mutex_lock(&c->lock);
    if (c->suspended && c->conn != NULL) {
        struct pollfd p = {.fd = c->fd, .events = POLLRDHUP};
        disconnected = poll(&p, 1, 0) > 0 &&
                       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
    }
    pthread_mutex_unlock(&c->lock);
    return disconnected;
}

static void
client_ip(struct MHD_Connection *conn, char *out, size_t n)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const struct sockaddr *sa = info->client_addr;
    const void *addr =
        sa->sa_family == AF_INET6
            ? (const void *)&((const struct sockaddr_in6 *)(const void *)sa)
                  ->sin6_addr
            : (const void *)&((const struct sockaddr_in *)(const void *)sa)
                  ->sin_addr;
    if (inet_ntop(sa->sa_family, addr, out, (socklen_t)n) == NULL) {
        out[0] = '\0';
    }
}

static void
record_result(Call *c)
{
    const CpExchange *ex = c->ex;
    if (ex->head.reason == CP_REASON_NONE) {
        CpCounter_Add(CP_COUNT_ANSWERED, 1);
        CpCounter_RecordLatency(ex->rank, CpClock_Now_ns() - ex->started_ns);
    }
    else {
        CpCounter_AddReason(ex->head.reason, ex->rank);
    }
}
