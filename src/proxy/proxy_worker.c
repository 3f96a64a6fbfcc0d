/* The workers and their event loops. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/proxy_int.h"

#define LISTEN_BACKLOG 1024
#define MAX_EVENTS 64
#define MAX_WAIT_MS 1000         /* longest delay after a missed wake-up */
#define MAX_IDLE_CONNECTIONS 256 /* to servers, kept by each worker */
#define DEFAULT_KEEP_ALIVE_S 10  /* until a server announces less */

/* The source of an epoll event, in the upper half of its data. The file
 * descriptor is in the lower half. */
typedef enum {
    EVENT_WAKE = 1,
    EVENT_DAEMON,
    EVENT_SERVER,
    EVENT_IDLE, /* a connection to a server that no attempt uses */
    EVENT_CALLER
} EventType;

static CpStatus open_worker(CpProxy *p, uint32_t index);
static void watch_fd(CpProxyWorker *w, int32_t fd, EventType type,
                     uint32_t events);
static void handle_event(CpProxyWorker *w, const struct epoll_event *e);
static void end_idle(CpProxyWorker *w, int32_t fd);
static void run_timers(CpProxyWorker *w, int64_t now_ns);
static void run_woken(CpProxyWorker *w);
static int next_wait_ms(CpProxyWorker *w, int64_t now_ns);

CpStatus
CpProxy_New(const CpProxyOptions *options, CpProxy **out)
{
    CpProxy *p = CpMem_Alloc(sizeof(*p));
    p->options = *options;
    p->server_keep_alive_s = DEFAULT_KEEP_ALIVE_S;
    p->workers = CpMem_Alloc(options->threads * sizeof(*p->workers));
    CpStr_Copy(p->interface, sizeof(p->interface), "host!");
    g_strlcat(p->interface, options->source_ip, sizeof(p->interface));
    const char *const single[CP_SINGLE_HEADERS] = {
        options->headers->request_id,  options->headers->seal,
        options->headers->not_run,     options->headers->server_load,
        options->headers->warmup_left, options->headers->leaving};
    memcpy(p->single_headers, single, sizeof(single));
    *out = p;
    p->listen_fd = CpSocket_Bind(options->listen);
    if (p->listen_fd < 0) {
        return CP_ERR_IO;
    }
    CpProxyCaller_BoundBuffers(p, p->listen_fd); /* accepted ones inherit it */
    if (listen(p->listen_fd, LISTEN_BACKLOG) != 0) {
        return CpError_Set(CP_ERR_IO, "%s: %s", options->listen,
                           strerror(errno));
    }
    for (uint32_t i = 0; i < options->threads; i++) {
        CpStatus st = open_worker(p, i);
        if (st != CP_OK) {
            return st;
        }
    }
    return CP_OK;
}

CpStatus
CpProxy_Start(CpProxy *p)
{
    for (uint32_t i = 0; i < p->options.threads; i++) {
        CpProxyWorker *w = &p->workers[i];
        if (pthread_create(&w->thread, NULL, CpProxyWorker_Run, w) != 0) {
            return CpError_Set(CP_ERR_IO, "proxy: cannot start a thread");
        }
    }
    return CP_OK;
}

uint32_t
CpProxy_CountActive(CpProxy *p)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < p->options.threads; i++) {
        pthread_mutex_lock(&p->workers[i].lock);
        n += p->workers[i].active;
        pthread_mutex_unlock(&p->workers[i].lock);
    }
    return n;
}

void
CpProxy_CloseAfterResponses(CpProxy *p)
{
    CpAtomic_Store(&p->closing, 1);
}

void
CpProxy_RefuseRequests(CpProxy *p)
{
    CpAtomic_Store(&p->refusing, 1);
    for (uint32_t i = 0; i < p->options.threads; i++) {
        CpProxyWorker_Wake(&p->workers[i]);
    }
}

void *
CpProxyWorker_Run(void *worker)
{
    CpProxyWorker *w = worker;
    struct epoll_event events[MAX_EVENTS];
    bool quiesced = false;
    for (;;) {
        int n = epoll_wait(w->epoll_fd, events, MAX_EVENTS,
                           next_wait_ms(w, CpClock_Now_ns()));
        for (int i = 0; i < n; i++) {
            handle_event(w, &events[i]);
        }
        run_timers(w, CpClock_Now_ns());
        run_woken(w);
        CpProxyAttempt_CollectEnded(w);
        do { /* send the responses that are ready before the next wait */
            w->has_resumed = false;
            MHD_run(w->daemon);
            CpProxyAttempt_CollectEnded(w);
        } while (w->has_resumed);
        if (!quiesced && CpAtomic_Load(&w->proxy->refusing)) {
            quiesced = true;
            MHD_quiesce_daemon(w->daemon);
        }
    }
    return NULL;
}

void
CpProxyWorker_Wake(CpProxyWorker *w)
{
    uint64_t one = 1;
    if (write(w->wake_fd, &one, sizeof(one)) < 0) {
        CpLog(CP_LOG_WARNING, "proxy: cannot wake a worker: %s",
              strerror(errno));
    }
}

void
CpProxy_WakeRequest(CpRequest *rq)
{
    CpProxyExchange *ex = (CpProxyExchange *)(void *)rq; /* its first field */
    CpAtomic_Store(&ex->woken, 1);
    CpAtomic_Store(&ex->worker->has_woken, 1);
    CpProxyWorker_Wake(ex->worker);
}

void
CpProxyWorker_Watch(CpProxyWorker *w, CpProxyExchange *ex)
{
    if (!ex->watched) {
        ex->watched = true;
        g_hash_table_insert(w->exchanges_by_fd, GINT_TO_POINTER(ex->fd), ex);
        watch_fd(w, ex->fd, EVENT_CALLER, EPOLLRDHUP | EPOLLONESHOT);
    }
}

void
CpProxyWorker_WatchIdle(CpProxyWorker *w, int32_t fd)
{
    watch_fd(w, fd, EVENT_IDLE, EPOLLIN | EPOLLRDHUP);
}

/* The library registers its own interest only if it waits for the socket: a
 * request may be sent, and a part of its response received, in one step. */
void
CpProxyWorker_UnwatchIdle(CpProxyWorker *w, int32_t fd)
{
    epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}

void
CpProxyWorker_Unwatch(CpProxyWorker *w, CpProxyExchange *ex)
{
    if (ex->watched) {
        ex->watched = false;
        g_hash_table_remove(w->exchanges_by_fd, GINT_TO_POINTER(ex->fd));
        epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, ex->fd, NULL);
    }
}

void
CpProxyWorker_ScheduleDeadline(CpProxyWorker *w, const CpProxyExchange *ex)
{
    int64_t attempt_ns = ex->action.attempt_deadline_ns;
    int64_t due_ns = ex->waiting ? ex->action.wait_until_ns
                     : attempt_ns > 0 && attempt_ns < ex->deadline_ns
                         ? attempt_ns
                         : ex->deadline_ns;
    if (!ex->decided && due_ns < w->next_deadline_ns) {
        w->next_deadline_ns = due_ns;
    }
}

int
CpProxyWorker_OnSocket(CURL *easy, curl_socket_t fd, int what, void *ctx,
                       void *socket_ctx)
{
    CpProxyWorker *w = ctx;
    (void)easy, (void)socket_ctx;
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
        return 0;
    }
    watch_fd(w, fd, EVENT_SERVER,
             ((what & CURL_POLL_IN) ? EPOLLIN : 0u) |
                 ((what & CURL_POLL_OUT) ? EPOLLOUT : 0u));
    return 0;
}

int
CpProxyWorker_OnTimer(CURLM *multi, long timeout_ms, void *ctx)
{
    CpProxyWorker *w = ctx;
    (void)multi;
    w->curl_due_ns = timeout_ms < 0
                         ? INT64_MAX
                         : CpClock_Now_ns() + timeout_ms * CP_NS_PER_MS;
    return 0;
}

static CpStatus
open_worker(CpProxy *p, uint32_t index)
{
    CpProxyWorker *w = &p->workers[index];
    w->proxy = p;
    w->index = index;
    w->curl_due_ns = w->next_deadline_ns = INT64_MAX;
    w->exchanges_by_fd = g_hash_table_new(g_direct_hash, g_direct_equal);
    pthread_mutex_init(&w->lock, NULL);
    w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    w->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (w->epoll_fd < 0 || w->wake_fd < 0) {
        return CpError_Set(CP_ERR_IO, "proxy: %s", strerror(errno));
    }
    w->multi = curl_multi_init();
    w->connections = CpConnections_New();
    curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION,
                      CpProxyWorker_OnSocket);
    curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
    curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, CpProxyWorker_OnTimer);
    curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
    curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS,
                      (long)MAX_IDLE_CONNECTIONS);
    w->callers = CpBudgetGroup_New(p->options.budget);
    CpStatus st = CpProxyFront_Open(w);
    if (st == CP_OK) {
        watch_fd(w, w->wake_fd, EVENT_WAKE, EPOLLIN);
        watch_fd(w, w->daemon_fd, EVENT_DAEMON, EPOLLIN);
    }
    return st;
}

static void
watch_fd(CpProxyWorker *w, int32_t fd, EventType type, uint32_t events)
{
    struct epoll_event e = {.events = events,
                            .data.u64 = (uint64_t)type << 32 | (uint32_t)fd};
    if (epoll_ctl(w->epoll_fd, EPOLL_CTL_MOD, fd, &e) != 0 &&
        epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, fd, &e) != 0) {
        CpLog(CP_LOG_WARNING, "proxy: cannot watch a socket: %s",
              strerror(errno));
    }
}

static void
handle_event(CpProxyWorker *w, const struct epoll_event *e)
{
    int32_t fd = (int32_t)(uint32_t)e->data.u64;
    int running, flags = 0;
    uint64_t count;
    CpProxyExchange *ex;
    switch ((EventType)(e->data.u64 >> 32)) {
    case EVENT_WAKE:
        while (read(fd, &count, sizeof(count)) > 0) {
        }
        break;
    case EVENT_DAEMON: /* the loop runs the daemon each time */
        break;
    case EVENT_SERVER:
        flags |= (e->events & EPOLLIN) ? CURL_CSELECT_IN : 0;
        flags |= (e->events & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
        flags |= (e->events & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(w->multi, fd, flags, &running);
        break;
    case EVENT_IDLE:
        end_idle(w, fd);
        break;
    case EVENT_CALLER:
        ex = g_hash_table_lookup(w->exchanges_by_fd, GINT_TO_POINTER(fd));
        if (ex != NULL) {
            CpProxyFront_OnDisconnect(ex);
        }
        break;
    }
}

/* Ends an idle connection on which bytes came or which its server closed; the
 * library would use it again. */
static void
end_idle(CpProxyWorker *w, int32_t fd)
{
    char byte;
    if (!CpConnections_IsIdle(w->connections, fd)) {
        return; /* a request was sent since the event, or it was closed */
    }
    ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
        return; /* nothing came, or it is not connected any more */
    }
    if (n > 0) {
        CpCounter_Add(CP_COUNT_CONNECTIONS_SPENT, 1);
    }
    CpEasy_EndConnection(fd);
    epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}

static void
run_timers(CpProxyWorker *w, int64_t now_ns)
{
    int running;
    if (w->curl_due_ns <= now_ns) {
        w->curl_due_ns = INT64_MAX;
        curl_multi_socket_action(w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    CpProxyCaller_Sweep(w, now_ns);
    if (w->next_deadline_ns > now_ns) {
        return;
    }
    w->next_deadline_ns = INT64_MAX;
    for (CpProxyExchange *ex = w->exchanges, *next; ex != NULL; ex = next) {
        next = ex->next;
        CpProxyUpload_Check(ex, now_ns);
        if (ex->waiting) {
            if (ex->action.wait_until_ns <= now_ns) {
                CpProxyFront_OnWoken(ex);
            }
            else {
                CpProxyWorker_ScheduleDeadline(w, ex);
            }
            continue;
        }
        if (ex->decided || ex->deadline_ns == 0) {
            continue;
        }
        int64_t attempt_ns = ex->action.attempt_deadline_ns;
        if (ex->deadline_ns <= now_ns) {
            CpProxyFront_OnDeadline(ex);
            continue;
        }
        if (attempt_ns > 0 && attempt_ns <= now_ns) {
            CpProxyAttempt_OnDeadline(ex); /* may start the next attempt */
        }
        CpProxyWorker_ScheduleDeadline(w, ex);
    }
}

/* Wakes the requests whose wait other threads have ended. */
static void
run_woken(CpProxyWorker *w)
{
    /* reset before the requests are looked at */
    if (CpAtomic_Load(&w->has_woken) == 0 ||
        __atomic_exchange_n(&w->has_woken, 0, __ATOMIC_SEQ_CST) == 0) {
        return;
    }
    for (CpProxyExchange *ex = w->exchanges, *next; ex != NULL; ex = next) {
        next = ex->next;
        if (ex->waiting && CpAtomic_Load(&ex->woken) != 0) {
            CpProxyFront_OnWoken(ex);
        }
    }
}

static int
next_wait_ms(CpProxyWorker *w, int64_t now_ns)
{
    unsigned MHD_LONG_LONG daemon_ms;
    int64_t ms = MAX_WAIT_MS;
    int64_t due_ns = w->curl_due_ns < w->next_deadline_ns
                         ? w->curl_due_ns
                         : w->next_deadline_ns;
    due_ns = due_ns < w->next_sweep_ns ? due_ns : w->next_sweep_ns;
    if (MHD_get_timeout(w->daemon, &daemon_ms) == MHD_YES &&
        daemon_ms < MAX_WAIT_MS) {
        ms = (int64_t)daemon_ms;
    }
    if (due_ns <= now_ns) {
        return 0;
    }
    int64_t due_ms = (due_ns - now_ns + CP_NS_PER_MS - 1) / CP_NS_PER_MS;
    return (int)(due_ms < ms ? due_ms : ms);
}
