/*
 * Connections of callers, and what each holds of the host's budget. When the
 * budget or the number of connections is used up, those that wait for their
 * callers are closed, the longest without progress first. The daemon does not
 * tell of a head before it is complete, so a sweep asks the kernel how much of
 * one was received.
 */
#include <netinet/in.h>
#include <linux/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "proxy/proxy_int.h"

/* Of an idle connection: the daemon's state, the first pages of its buffer and
 * the socket. */
#define CONNECTION_BYTES (16u * 1024)
#define HEAD_STEP_BYTES (4u * 1024)
#define HEAD_MAX_BYTES (64u * 1024) /* the daemon's buffer */
/* Less would close connections whose callers are about to send. */
#define CLOSE_IDLE_NS (500 * CP_NS_PER_MS)
#define SWEEP_NS (500 * CP_NS_PER_MS)
/* Of a socket's queues, which the kernel doubles. Large ones would count
 * against the host's memory unseen. */
#define SOCKET_BUFFER_BYTES (64 * 1024)

static bool close_idlest(CpProxyWorker *w, const CpBudgetAccount *except,
                         uint64_t held_bytes);
static void close_idle_callers(CpProxyWorker *w, int64_t now_ns);
static void check_head(CpProxyCaller *c, int64_t now_ns,
                       int64_t head_timeout_ns);
static uint64_t received_bytes(const CpProxyCaller *c);

void
CpProxyCaller_OnConnection(void *ctx, struct MHD_Connection *conn,
                           void **socket_ctx,
                           enum MHD_ConnectionNotificationCode code)
{
    CpProxyWorker *w = ctx;
    CpProxyCaller *c = *socket_ctx;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        CpBudgetAccount_Close(&c->account);
        free(c);
        *socket_ctx = NULL;
        return;
    }
    c = CpMem_Alloc(sizeof(*c));
    *socket_ctx = c;
    c->worker = w;
    c->conn = conn;
    c->fd = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
    c->has_base = true;
    CpBudgetAccount_Open(&c->account, w->callers, c, CpClock_Now_ns());
    bool has_place = !CpBudget_IsCrowded(w->proxy->options.budget) ||
                     close_idlest(w, &c->account, 0);
    if (!has_place ||
        !CpProxyCaller_Reserve(c, CONNECTION_BYTES, CP_BUDGET_SMALL)) {
        CpCounter_Add(CP_COUNT_MEMORY_REFUSED, 1);
        CpProxyCaller_Close(c);
    }
}

bool
CpProxyCaller_Reserve(CpProxyCaller *c, uint64_t bytes, CpBudgetUse use)
{
    return CpProxyCaller_MakeRoom(c, bytes, use) &&
           CpBudgetAccount_Reserve(&c->account, bytes, use);
}

bool
CpProxyCaller_MakeRoom(CpProxyCaller *c, uint64_t bytes, CpBudgetUse use)
{
    const CpBudget *b = c->worker->proxy->options.budget;
    /* idle connections are worth less than what they would be closed for */
    uint64_t needed = use == CP_BUDGET_SMALL ? 0 : CONNECTION_BYTES + 1;
    while (!CpBudget_HasRoom(b, bytes, use)) {
        if (!close_idlest(c->worker, &c->account, needed)) {
            return false;
        }
    }
    return true;
}

/* Ends the request of the connection, and releases at once what it holds. The
 * daemon sees the end of the connection and completes the request. */
void
CpProxyCaller_Close(CpProxyCaller *c)
{
    CpProxyExchange *ex = c->exchange;
    c->closing = true;
    CpBudgetAccount_SetWaits(&c->account, false, CpClock_Now_ns());
    if (ex != NULL) {
        ex->disconnected = ex->decided = true;
        CpProxyAttempt_Cancel(ex);
        CpProxyBody_Clear(&ex->body, c);
        CpBudgetAccount_Release(&c->account, ex->reserved_bytes);
        ex->reserved_bytes = 0;
        CpProxyFront_Resume(ex);
    }
    shutdown(c->fd, SHUT_RDWR);
    c->worker->has_resumed = true;
}

void
CpProxyCaller_Begin(CpProxyCaller *c, CpProxyExchange *ex)
{
    c->exchange = ex;
}

void
CpProxyCaller_OnHead(CpProxyCaller *c)
{
    CpBudgetAccount_Release(&c->account, c->head_bytes);
    c->head_bytes = 0;
    CpBudgetAccount_OnMoved(&c->account, CP_BUDGET_PROGRESS_BYTES,
                            CpClock_Now_ns());
}

void
CpProxyCaller_End(CpProxyCaller *c)
{
    c->exchange = NULL;
    c->has_base = false;
    c->head_since_ns = 0;
    if (!c->closing) {
        CpBudgetAccount_SetWaits(&c->account, true, CpClock_Now_ns());
    }
}

/* The daemon may miss the end of a connection that comes with the last bytes
 * that it reads, as the kernel tells of both only once. */
void
CpProxyCaller_Sweep(CpProxyWorker *w, int64_t now_ns)
{
    const CpProxyOptions *o = &w->proxy->options;
    int64_t body_timeout_ns = o->body_timeout_ms * CP_NS_PER_MS;
    const CpBudgetWanted stalled = {.idle_ns = CLOSE_IDLE_NS};
    CpBudgetAccount *next;
    if (now_ns < w->next_sweep_ns) {
        return;
    }
    w->next_sweep_ns = now_ns + SWEEP_NS;
    for (CpBudgetAccount *a =
             CpBudgetGroup_FindIdlest(w->callers, &stalled, now_ns);
         a != NULL && now_ns - a->progress_ns >= CLOSE_IDLE_NS; a = next) {
        CpProxyCaller *c = a->ctx;
        next = a->next;
        if (c->exchange != NULL && !c->exchange->body_received &&
            (now_ns - a->progress_ns >= body_timeout_ns ||
             CpSocket_HasEnded(c->fd))) {
            CpCounter_Add(CP_COUNT_CALLERS_CLOSED, 1);
            CpProxyCaller_Close(c);
        }
    }
    if (CpBudget_IsLimited(o->budget)) {
        close_idle_callers(w, now_ns);
    }
}

void
CpProxyCaller_BoundBuffers(const CpProxy *p, int32_t fd)
{
    const int bytes = SOCKET_BUFFER_BYTES;
    if (CpBudget_IsLimited(p->options.budget) &&
        (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)) != 0 ||
         setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)) != 0)) {
        CpLog(CP_LOG_WARNING, "proxy: cannot bound the buffers of a socket");
    }
}

/* Closes the connection that has made no progress for the longest time, of
 * those that hold at least so much. */
static bool
close_idlest(CpProxyWorker *w, const CpBudgetAccount *except,
             uint64_t held_bytes)
{
    const CpBudgetWanted wanted = {
        .except = except, .idle_ns = CLOSE_IDLE_NS, .held_bytes = held_bytes};
    CpBudgetAccount *a =
        CpBudgetGroup_FindIdlest(w->callers, &wanted, CpClock_Now_ns());
    if (a == NULL) {
        return false;
    }
    CpCounter_Add(CP_COUNT_CALLERS_CLOSED, 1);
    CpProxyCaller_Close(a->ctx);
    return true;
}

/* Updates what heads hold, ends those that take too long, and closes
 * connections while little memory is left. */
static void
close_idle_callers(CpProxyWorker *w, int64_t now_ns)
{
    const CpProxyOptions *o = &w->proxy->options;
    const CpBudgetWanted any = {0};
    CpRouteLimits limits = {0};
    CpBudgetAccount *next;
    o->policy.get_limits(o->policy.ctx, &limits);
    CpBudgetAccount *a = CpBudgetGroup_FindIdlest(w->callers, &any, now_ns);
    for (; a != NULL && a->progress_ns < now_ns; a = next) {
        CpProxyCaller *c = a->ctx;
        next = a->next;
        if (c->exchange == NULL || !c->exchange->head_received) {
            check_head(c, now_ns, limits.header_timeout_ms * CP_NS_PER_MS);
        }
    }
    while (CpBudget_IsShort(o->budget) &&
           close_idlest(w, NULL, CONNECTION_BYTES + 1)) {
    }
}

static void
check_head(CpProxyCaller *c, int64_t now_ns, int64_t head_timeout_ns)
{
    uint64_t total = received_bytes(c);
    if (!c->has_base) {
        c->has_base = true;
        c->base_bytes = total;
        return;
    }
    uint64_t head = total - c->base_bytes;
    uint64_t held =
        (head + HEAD_STEP_BYTES - 1) / HEAD_STEP_BYTES * HEAD_STEP_BYTES;
    held = held < HEAD_MAX_BYTES ? held : HEAD_MAX_BYTES;
    if (head > 0 && c->head_since_ns == 0) {
        c->head_since_ns = now_ns;
    }
    if (held > c->head_bytes) {
        CpBudgetAccount_Reserve(&c->account, held - c->head_bytes,
                                CP_BUDGET_FORCED);
        c->head_bytes = held;
        CpBudgetAccount_OnMoved(&c->account, HEAD_STEP_BYTES, now_ns);
    }
    if (head > 0 && head_timeout_ns > 0 &&
        now_ns - c->head_since_ns > head_timeout_ns) {
        CpCounter_Add(CP_COUNT_CALLERS_CLOSED, 1);
        CpProxyCaller_Close(c);
    }
}

static uint64_t
received_bytes(const CpProxyCaller *c)
{
    struct tcp_info info = {0};
    socklen_t n = sizeof(info);
    return getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &n) == 0
               ? info.tcpi_bytes_received
               : 0;
}
