/* Sessions: connecting, accepting, reading, ending; one thread per shard. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "wire/wire_int.h"

#define MAX_EVENTS 64
#define LISTEN_BACKLOG 512
#define HANDSHAKE_TIMEOUT_MS 2000
#define HANDSHAKE_MAX_BYTES 1024
#define LINK_RETRY_MS 5 /* for sessions that wait for link budget */
#define HANDSHAKE_CHECK_MS 250
#define INPUT_INITIAL_BYTES 4096
#define USER_TIMEOUT_MS 3000 /* TCP_USER_TIMEOUT */

static void *shard_thread(void *ctx);
static void handle_event(CpWireShard *shard, struct epoll_event *ev);
static void accept_all(CpWire *w);
static bool read_input(CpSession *s);
static bool handle_input(CpSession *s);
static bool handle_frame(CpSession *s, const uint8_t *data,
                         uint32_t size_bytes);
static bool finish_connect(CpSession *s);
static void end_session(CpSession *s);
static CpSession *new_session(CpWire *w, CpWireShard *shard, int32_t fd,
                              bool outbound);
static int32_t dial_socket(CpWire *w, const char *address);
static void register_session(CpSession *s, uint32_t events);
static void on_tick(void *ctx, int64_t now_ns);
static void set_socket_options(int32_t fd);

CpStatus
CpWire_New(const CpWireOptions *options, CpWire **out)
{
    CpWire *w = CpMem_Alloc(sizeof(*w));
    w->options = *options;
    CpStr_Copy(w->host, sizeof(w->host), options->host);
    CpStr_Copy(w->domain, sizeof(w->domain), options->domain);
    CpStr_Copy(w->listen, sizeof(w->listen), options->listen);
    w->listen_fd = CpSocket_Bind(w->listen);
    if (w->listen_fd < 0) {
        free(w);
        return CP_ERR_IO;
    }
    if (listen(w->listen_fd, LISTEN_BACKLOG) != 0) {
        CpError_Set(CP_ERR_IO, "%s: %s", w->listen, strerror(errno));
        close(w->listen_fd);
        free(w);
        return CP_ERR_IO;
    }
    w->shard_count = options->threads;
    w->shards = CpMem_Alloc(w->shard_count * sizeof(*w->shards));
    for (uint32_t i = 0; i < w->shard_count; i++) {
        CpWireShard *shard = &w->shards[i];
        struct epoll_event ev = {.events = EPOLLIN, .data.ptr = NULL};
        shard->wire = w;
        pthread_mutex_init(&shard->lock, NULL);
        shard->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
        shard->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        epoll_ctl(shard->epoll_fd, EPOLL_CTL_ADD, shard->wake_fd, &ev);
    }
    *out = w;
    return CP_OK;
}

void
CpWire_Subscribe(CpWire *w, CpTimer *t)
{
    CpTimer_Subscribe(t, LINK_RETRY_MS, on_tick, w);
}

CpStatus
CpWire_Start(CpWire *w)
{
    struct epoll_event ev = {.events = EPOLLIN, .data.ptr = w};
    epoll_ctl(w->shards[0].epoll_fd, EPOLL_CTL_ADD, w->listen_fd, &ev);
    for (uint32_t i = 0; i < w->shard_count; i++) {
        if (pthread_create(&w->shards[i].thread, NULL, shard_thread,
                           &w->shards[i]) != 0) {
            return CpError_Set(CP_ERR_IO, "wire: cannot start a thread");
        }
    }
    return CP_OK;
}

void
CpWire_Stop(CpWire *w)
{
    CpAtomic_Store(&w->stopping, 1);
    for (uint32_t i = 0; i < w->shard_count; i++) {
        uint64_t one = 1;
        if (write(w->shards[i].wake_fd, &one, sizeof(one)) < 0) {
            CpLog(CP_LOG_ERR, "wire: cannot wake a thread");
        }
        pthread_join(w->shards[i].thread, NULL);
    }
}

void
CpWire_Free(CpWire *w)
{
    for (uint32_t i = 0; i < w->shard_count; i++) {
        CpWireShard *shard = &w->shards[i];
        while (shard->sessions != NULL) {
            end_session(shard->sessions);
        }
        close(shard->epoll_fd);
        close(shard->wake_fd);
        pthread_mutex_destroy(&shard->lock);
    }
    close(w->listen_fd);
    free(w->shards);
    free(w);
}

CpSession *
CpWire_Dial(CpWire *w, const char *peer, const char *address)
{
    CpWireShard *shard = &w->shards[CpHash_Str(address, 0) % w->shard_count];
    pthread_mutex_lock(&shard->lock);
    for (CpSession *s = shard->sessions; s != NULL; s = s->next) {
        if (s->outbound && CpAtomic_Load(&s->state) != CP_SESSION_ENDED &&
            strcmp(s->address, address) == 0) {
            CpSession_Retain(s);
            pthread_mutex_unlock(&shard->lock);
            return s;
        }
    }
    CpSession *s = new_session(w, shard, dial_socket(w, address), true);
    CpStr_Copy(s->peer, sizeof(s->peer), peer);
    CpStr_Copy(s->address, sizeof(s->address), address);
    s->next = shard->sessions;
    shard->sessions = s;
    CpSession_Retain(s);
    pthread_mutex_unlock(&shard->lock);
    register_session(s, EPOLLIN | EPOLLOUT);
    return s;
}

CpSession *
CpSession_Retain(CpSession *s)
{
    CpRef_Retain(&s->refs);
    return s;
}

void
CpSession_Release(CpSession *s)
{
    if (CpRef_Release(&s->refs)) {
        pthread_mutex_destroy(&s->lock);
        free(s->input);
        free(s);
    }
}

CpStatus
CpSession_Send(CpSession *s, const CpFrame *frame, uint32_t class_index)
{
    CpStatus st;
    pthread_mutex_lock(&s->lock);
    if (s->state == CP_SESSION_ENDED) {
        st = CpError_Set(CP_ERR_UNAVAILABLE, "session with %s ended", s->peer);
    }
    else {
        st = CpOut_Enqueue(s, frame, class_index);
    }
    pthread_mutex_unlock(&s->lock);
    return st;
}

void
CpSession_Close(CpSession *s)
{
    pthread_mutex_lock(&s->lock);
    if (s->state != CP_SESSION_ENDED && s->fd >= 0) {
        shutdown(s->fd, SHUT_RDWR);
    }
    pthread_mutex_unlock(&s->lock);
}

const char *
CpSession_Peer(const CpSession *s)
{
    return s->peer;
}

uint64_t
CpSession_PeerIncarnation(const CpSession *s)
{
    return s->peer_incarnation;
}

bool
CpSession_IsOutbound(const CpSession *s)
{
    return s->outbound;
}

static void *
shard_thread(void *ctx)
{
    CpWireShard *shard = ctx;
    struct epoll_event events[MAX_EVENTS];
    while (!CpAtomic_Load(&shard->wire->stopping)) {
        int32_t n = epoll_wait(shard->epoll_fd, events, MAX_EVENTS, -1);
        for (int32_t i = 0; i < n; i++) {
            handle_event(shard, &events[i]);
        }
    }
    return NULL;
}

static void
handle_event(CpWireShard *shard, struct epoll_event *ev)
{
    if (ev->data.ptr == NULL) {
        uint64_t n;
        if (read(shard->wake_fd, &n, sizeof(n)) < 0) {
            return;
        }
        return;
    }
    if (ev->data.ptr == shard->wire) {
        accept_all(shard->wire);
        return;
    }
    CpSession *s = ev->data.ptr;
    bool ok = true;
    if (CpAtomic_Load(&s->state) == CP_SESSION_CONNECTING) {
        ok = finish_connect(s);
    }
    else {
        if (ev->events & EPOLLOUT) {
            pthread_mutex_lock(&s->lock);
            ok = CpOut_Flush(s);
            pthread_mutex_unlock(&s->lock);
        }
        if (ok && (ev->events & (EPOLLIN | EPOLLHUP | EPOLLERR))) {
            ok = read_input(s);
        }
    }
    if (!ok) {
        end_session(s);
    }
}

static void
accept_all(CpWire *w)
{
    for (;;) {
        int32_t fd =
            accept4(w->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        CpWireShard *shard = &w->shards[CpRandom() % w->shard_count];
        CpSession *s = new_session(w, shard, fd, false);
        CpAtomic_Store(&s->state, CP_SESSION_HELLO);
        set_socket_options(fd);
        pthread_mutex_lock(&shard->lock);
        s->next = shard->sessions;
        shard->sessions = s;
        pthread_mutex_unlock(&shard->lock);
        register_session(s, EPOLLIN);
    }
}

static bool
read_input(CpSession *s)
{
    for (;;) {
        if (s->input_capacity_bytes == s->input_bytes) {
            s->input_capacity_bytes = s->input_capacity_bytes
                                          ? 2 * s->input_capacity_bytes
                                          : INPUT_INITIAL_BYTES;
            s->input = CpMem_Realloc(s->input, s->input_capacity_bytes);
        }
        uint32_t free_bytes = s->input_capacity_bytes - s->input_bytes;
        ssize_t n = recv(s->fd, s->input + s->input_bytes, free_bytes, 0);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return true;
        }
        if (n <= 0) {
            return false;
        }
        s->input_bytes += (uint32_t)n;
        if (!handle_input(s)) {
            return false;
        }
        if ((uint32_t)n < free_bytes) {
            return true;
        }
    }
}

/* Handles every complete frame in the input buffer. */
static bool
handle_input(CpSession *s)
{
    uint32_t pos = 0;
    while (s->input_bytes - pos >= CP_FRAME_PREFIX_BYTES) {
        uint32_t prefix[2];
        memcpy(prefix, s->input + pos, CP_FRAME_PREFIX_BYTES);
        uint32_t n = ntohl(prefix[0]);
        uint32_t limit = CpAtomic_Load(&s->state) == CP_SESSION_READY
                             ? CP_FRAME_MAX_BYTES
                             : HANDSHAKE_MAX_BYTES;
        if (n > limit || ntohl(prefix[1]) != s->received_frames) {
            CpCounter_Add(CP_COUNT_BAD_FRAMES, 1);
            CpLog(CP_LOG_WARNING,
                  "session with %s: invalid prefix: sequence number %u, %u "
                  "bytes",
                  s->peer, ntohl(prefix[1]), n);
            return false;
        }
        if (s->input_bytes - pos - CP_FRAME_PREFIX_BYTES < n) {
            break;
        }
        s->received_frames++;
        if (!handle_frame(s, s->input + pos + CP_FRAME_PREFIX_BYTES, n)) {
            return false;
        }
        pos += CP_FRAME_PREFIX_BYTES + n;
    }
    memmove(s->input, s->input + pos, s->input_bytes - pos);
    s->input_bytes -= pos;
    return true;
}

static bool
handle_frame(CpSession *s, const uint8_t *data, uint32_t size_bytes)
{
    const CpWireCallbacks *cb = &s->wire->options.callbacks;
    CpDecodedFrame d;
    bool ok = true;
    if (CpFrame_Decode(data, size_bytes, &d) != CP_OK) {
        CpCounter_Add(CP_COUNT_BAD_FRAMES, 1);
        CpLog(CP_LOG_WARNING, "session with %s: %s", s->peer,
              CpError_Message());
        return false;
    }
    if (CpAtomic_Load(&s->state) == CP_SESSION_READY) {
        if (d.frame.type <= CP_FRAME_PROOF) {
            ok = false;
        }
        else {
            cb->on_frame(cb->ctx, s, &d.frame);
        }
    }
    else {
        ok = CpAuth_OnFrame(s, &d.frame);
    }
    CpFrame_Clear(&d);
    return ok;
}

static bool
finish_connect(CpSession *s)
{
    int32_t err = 0;
    socklen_t n = sizeof(err);
    getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &err, &n);
    if (err != 0) {
        s->refused = err == ECONNREFUSED;
        return false;
    }
    pthread_mutex_lock(&s->lock);
    CpAtomic_Store(&s->state, CP_SESSION_HELLO);
    s->wants_write = true;
    CpAuth_SendHello(s);
    pthread_mutex_unlock(&s->lock);
    return true;
}

/* Removes the session from its shard and reports its end through the
 * callbacks; runs once per session. */
static void
end_session(CpSession *s)
{
    const CpWireCallbacks *cb = &s->wire->options.callbacks;
    pthread_mutex_lock(&s->shard->lock);
    CpSession **link = &s->shard->sessions;
    while (*link != NULL && *link != s) {
        link = &(*link)->next;
    }
    if (*link == s) {
        *link = s->next;
    }
    pthread_mutex_unlock(&s->shard->lock);
    pthread_mutex_lock(&s->lock);
    bool was_ready = s->state == CP_SESSION_READY;
    CpAtomic_Store(&s->state, CP_SESSION_ENDED);
    CpOutFrame *all = CpOut_DetachAll(s);
    if (s->fd >= 0) {
        close(s->fd);
        s->fd = -1;
    }
    pthread_mutex_unlock(&s->lock);
    if (was_ready) {
        CpCounter_Add(CP_COUNT_SESSIONS_LOST, 1);
    }
    while (all != NULL) {
        CpOutFrame *o = all;
        all = o->next;
        if (o->request_id != 0 && o->sent_bytes == 0) {
            cb->on_request_unsent(cb->ctx, s, o->request_id);
        }
        free(o->data);
        free(o);
    }
    cb->on_closed(cb->ctx, s, s->refused);
    CpSession_Release(s);
}

static CpSession *
new_session(CpWire *w, CpWireShard *shard, int32_t fd, bool outbound)
{
    CpSession *s = CpMem_Alloc(sizeof(*s));
    s->wire = w;
    s->shard = shard;
    s->fd = fd;
    s->outbound = outbound;
    s->refs = 1;
    s->opened_ns = CpClock_Now_ns();
    randombytes_buf(s->nonce, sizeof(s->nonce));
    pthread_mutex_init(&s->lock, NULL);
    return s;
}

/* Starts a connection from this host's own IP. Returns -1 if the address is
 * invalid or of another address family. */
static int32_t
dial_socket(CpWire *w, const char *address)
{
    struct sockaddr_storage to, from;
    uint32_t to_bytes = CpAddress_Parse(address, &to);
    uint32_t from_bytes = CpAddress_Parse(w->listen, &from);
    if (to_bytes == 0 || to.ss_family != from.ss_family) {
        return -1;
    }
    ((struct sockaddr_in *)&from)->sin_port = 0;
    int32_t fd =
        socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_socket_options(fd);
    if (bind(fd, (struct sockaddr *)&from, from_bytes) != 0) {
        CpLog(CP_LOG_WARNING, "wire: bind: %s", strerror(errno));
    }
    if (connect(fd, (struct sockaddr *)&to, to_bytes) != 0 &&
        errno != EINPROGRESS) {
        CpLog(CP_LOG_WARNING, "wire: %s: %s", address, strerror(errno));
    }
    return fd;
}

static void
register_session(CpSession *s, uint32_t events)
{
    struct epoll_event ev = {.events = events, .data.ptr = s};
    if (s->fd < 0 ||
        epoll_ctl(s->shard->epoll_fd, EPOLL_CTL_ADD, s->fd, &ev) != 0) {
        end_session(s);
    }
}

/* Resumes sessions that wait for link budget and ends handshakes that take
 * too long. */
static void
on_tick(void *ctx, int64_t now_ns)
{
    CpWire *w = ctx;
    bool check = now_ns - w->last_check_ns > HANDSHAKE_CHECK_MS * CP_NS_PER_MS;
    if (__atomic_exchange_n(&w->link_blocked, 0, __ATOMIC_ACQ_REL) == 0 &&
        !check) {
        return;
    }
    w->last_check_ns = now_ns;
    for (uint32_t i = 0; i < w->shard_count; i++) {
        CpWireShard *shard = &w->shards[i];
        pthread_mutex_lock(&shard->lock);
        for (CpSession *s = shard->sessions; s != NULL; s = s->next) {
            pthread_mutex_lock(&s->lock);
            if (s->link_blocked && s->state == CP_SESSION_READY) {
                CpOut_Flush(s);
            }
            if (s->state < CP_SESSION_READY && s->fd >= 0 &&
                now_ns - s->opened_ns > HANDSHAKE_TIMEOUT_MS * CP_NS_PER_MS) {
                shutdown(s->fd, SHUT_RDWR);
            }
            pthread_mutex_unlock(&s->lock);
        }
        pthread_mutex_unlock(&shard->lock);
    }
}

static void
set_socket_options(int32_t fd)
{
    int32_t one = 1;
    uint32_t timeout_ms = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}
