/*
 * Fault-injecting TCP proxy. Arguments: CONTROL ROUTE... where a route is
 * LISTEN=TARGET. POST /fault?route=LISTEN&from=IP&mode=M&arg=N on the control
 * address sets a rule; without "from" it is for all sources, without "route"
 * for all routes. Modes: pass, cut (bytes vanish), hold (bytes wait), reset,
 * delay (each chunk arrives arg ms later), lose (reset when the answer
 * begins), truncate (reset after arg bytes of answer), repeat (each frame is
 * sent twice).
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define CHUNK_BYTES (64 * 1024)
#define SLICE_MS 5
#define MAX_RULES 256
#define FRAME_PREFIX_BYTES 8
#define SLICES_A_SECOND 10
#define OCTETS 16
#define QUEUE_MAX_BYTES (16 * 1024 * 1024)

typedef enum {
    MODE_PASS = 0,
    MODE_CUT,
    MODE_HOLD,
    MODE_RESET,
    MODE_DELAY,
    MODE_LOSE,
    MODE_TRUNCATE,
    MODE_REPEAT,
    MODE_COUNT
} Mode;

typedef struct {
    char listen[CP_ADDR_BYTES];
    char target[CP_ADDR_BYTES];
    int32_t fd;
} Route;

typedef struct {
    char route[CP_ADDR_BYTES]; /* "" for all */
    char from[CP_ADDR_BYTES];
    Mode mode;
    uint64_t arg;
} Rule;

/* A chunk on its way. */
typedef struct Chunk {
    struct Chunk *next;
    int64_t due_ns;
    size_t size_bytes;
    char data[];
} Chunk;

typedef struct {
    Chunk *first;
    Chunk *last;
    size_t size_bytes;
} ChunkQueue;

typedef struct {
    const Route *route;
    char from[CP_ADDR_BYTES];
    int32_t in;  /* to the side that connected */
    int32_t out; /* to the target */
    uint64_t answered_bytes;
    uint64_t frames;
    ChunkQueue queues[2]; /* to the target; back */
} Link;

/* Bytes from one third octet of addresses to another, in slices of time. */
typedef struct {
    uint64_t slices[SLICES_A_SECOND];
    int64_t slice;
    uint64_t window; /* sum of the slices */
    uint64_t most;
    uint64_t all;
} Meter;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_PASS] = "pass",         [MODE_CUT] = "cut",
    [MODE_HOLD] = "hold",         [MODE_RESET] = "reset",
    [MODE_DELAY] = "delay",       [MODE_LOSE] = "lose",
    [MODE_TRUNCATE] = "truncate", [MODE_REPEAT] = "repeat",
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Rule rules[MAX_RULES];
static uint32_t rule_count;
static Meter meters[OCTETS][OCTETS];          /* of routes between hosts */
static uint64_t latencies_us[OCTETS][OCTETS]; /* set before the load */

static void *accept_thread(void *ctx);
static void *link_thread(void *ctx);
static bool carry(Link *l, bool answer);
static void enqueue(Link *l, bool answer, const char *data, size_t n,
                    uint64_t delay_us);
static bool send_due(Link *l, int64_t now_ns, int64_t *wait_ns);
static uint64_t latency_us(const Link *l);
static bool put(int32_t fd, const char *data, size_t n);
static bool repeat_frame(Link *l, const char *data, size_t n);
static Rule rule_for(const Link *l);
static void close_hard(int32_t fd);
static void measure(const Link *l, bool answer, size_t n);
static uint32_t third_octet(const char *address);
static enum MHD_Result answer_meters(struct MHD_Connection *conn);
static void open_route(Route *r, const char *spec);
static enum MHD_Result on_control(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);

int
main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: standin-fault CONTROL LISTEN=TARGET ...\n");
        return 2;
    }
    CpStandin_BlockSignals();
    struct MHD_Daemon *d = CpStandin_Listen(argv[1], on_control, NULL, NULL);
    Route *routes = CpMem_Alloc((size_t)argc * sizeof(*routes));
    for (int i = 2; i < argc; i++) {
        pthread_t t;
        open_route(&routes[i], argv[i]);
        pthread_create(&t, NULL, accept_thread, &routes[i]);
        pthread_detach(t);
    }
    CpStandin_WaitForStop();
    MHD_stop_daemon(d);
    return 0;
}

static void
open_route(Route *r, const char *spec)
{
    struct sockaddr_storage sa;
    int32_t one = 1;
    char **part = g_strsplit(spec, "=", 2);
    CpStr_Copy(r->listen, sizeof(r->listen), part[0]);
    CpStr_Copy(r->target, sizeof(r->target), part[1] ? part[1] : "");
    g_strfreev(part);
    uint32_t n = CpAddress_Parse(r->listen, &sa);
    r->fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(r->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (n == 0 || bind(r->fd, (struct sockaddr *)&sa, n) != 0 ||
        listen(r->fd, 512) != 0) {
        fprintf(stderr, "standin-fault: %s: %s\n", spec, strerror(errno));
        exit(2);
    }
}

static void *
accept_thread(void *ctx)
{
    const Route *r = ctx;
    for (;;) {
        struct sockaddr_in peer;
        socklen_t n = sizeof(peer);
        pthread_t t;
        int32_t fd = accept(r->fd, (struct sockaddr *)&peer, &n);
        if (fd < 0) {
            return NULL;
        }
        Link *l = CpMem_Alloc(sizeof(*l));
        l->route = r;
        l->in = fd;
        inet_ntop(AF_INET, &peer.sin_addr, l->from, sizeof(l->from));
        if (pthread_create(&t, NULL, link_thread, l) != 0) {
            close(fd);
            free(l);
            continue;
        }
        pthread_detach(t);
    }
}

static void *
link_thread(void *ctx)
{
    Link *l = ctx;
    struct sockaddr_storage sa;
    struct sockaddr_in from = {.sin_family = AF_INET};
    int32_t one = 1;
    bool ok = true;
    while (rule_for(l).mode == MODE_CUT || rule_for(l).mode == MODE_HOLD) {
        CpStandin_Sleep_ms(SLICE_MS);
    }
    uint32_t n = CpAddress_Parse(l->route->target, &sa);
    l->out = socket(AF_INET, SOCK_STREAM, 0);
    inet_pton(AF_INET, l->from, &from.sin_addr);
    bind(l->out, (struct sockaddr *)&from, sizeof(from));
    if (rule_for(l).mode == MODE_RESET ||
        connect(l->out, (struct sockaddr *)&sa, n) != 0) {
        ok = false;
    }
    setsockopt(l->in, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(l->out, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    while (ok) {
        struct pollfd p[2] = {{.fd = l->in, .events = POLLIN},
                              {.fd = l->out, .events = POLLIN}};
        Mode mode = rule_for(l).mode;
        if (mode == MODE_RESET) {
            break;
        }
        if (mode == MODE_HOLD) {
            CpStandin_Sleep_ms(SLICE_MS);
            continue;
        }
        int64_t wait_ns = 100 * CP_NS_PER_MS;
        ok = send_due(l, CpClock_Now_ns(), &wait_ns);
        for (uint32_t i = 0; i < 2; i++) {
            if (l->queues[i].size_bytes > QUEUE_MAX_BYTES) {
                p[i].events = 0;
            }
        }
        struct timespec ts = {.tv_nsec = wait_ns};
        if (!ok || ppoll(p, 2, &ts, NULL) <= 0) {
            continue;
        }
        if (p[0].revents != 0) {
            ok = carry(l, false);
        }
        if (ok && p[1].revents != 0) {
            ok = carry(l, true);
        }
    }
    close_hard(l->in);
    close_hard(l->out);
    for (uint32_t i = 0; i < 2; i++) {
        while (l->queues[i].first != NULL) {
            Chunk *c = l->queues[i].first;
            l->queues[i].first = c->next;
            free(c);
        }
    }
    free(l);
    return NULL;
}

static void
enqueue(Link *l, bool answer, const char *data, size_t n, uint64_t delay_us)
{
    ChunkQueue *q = &l->queues[answer];
    Chunk *c = CpMem_Alloc(sizeof(*c) + n);
    c->due_ns = CpClock_Now_ns() + (int64_t)delay_us * 1000;
    c->size_bytes = n;
    memcpy(c->data, data, n);
    if (q->last != NULL && q->first != NULL) {
        q->last->next = c;
    }
    else {
        q->first = c;
    }
    q->last = c;
    q->size_bytes += n;
}

/* Sends what is due; *wait_ns is lowered to when the next is. */
static bool
send_due(Link *l, int64_t now_ns, int64_t *wait_ns)
{
    for (uint32_t i = 0; i < 2; i++) {
        ChunkQueue *q = &l->queues[i];
        while (q->first != NULL && q->first->due_ns <= now_ns) {
            Chunk *c = q->first;
            bool ok = put(i ? l->in : l->out, c->data, c->size_bytes);
            q->first = c->next;
            q->size_bytes -= c->size_bytes;
            free(c);
            if (!ok) {
                return false;
            }
        }
        if (q->first != NULL && q->first->due_ns - now_ns < *wait_ns) {
            *wait_ns = q->first->due_ns - now_ns;
        }
    }
    return true;
}

/* One-way latency between the domains of both ends. */
static uint64_t
latency_us(const Link *l)
{
    uint32_t from = third_octet(l->from), to = third_octet(l->route->listen);
    return from < OCTETS && to < OCTETS ? latencies_us[from][to] : 0;
}

/* Carries one chunk; false when the link has to end. */
static bool
carry(Link *l, bool answer)
{
    char data[CHUNK_BYTES];
    ssize_t got = recv(answer ? l->out : l->in, data, sizeof(data), 0);
    int32_t to = answer ? l->in : l->out;
    if (got <= 0) {
        return false;
    }
    Rule r = rule_for(l);
    size_t n = (size_t)got;
    switch (r.mode) {
    case MODE_CUT:
        return true;
    case MODE_DELAY:
        enqueue(l, answer, data, n, r.arg * 1000);
        return true;
    case MODE_LOSE:
        if (answer) {
            return false;
        }
        break;
    case MODE_TRUNCATE:
        if (answer && l->answered_bytes + n > r.arg) {
            n = l->answered_bytes < r.arg ? r.arg - l->answered_bytes : 0;
            put(to, data, n);
            return false;
        }
        break;
    case MODE_REPEAT:
        if (!answer) {
            return repeat_frame(l, data, n);
        }
        break;
    default:
        break;
    }
    if (answer) {
        l->answered_bytes += n;
    }
    measure(l, answer, n);
    if (latency_us(l) > 0 || l->queues[answer].first != NULL) {
        enqueue(l, answer, data, n, latency_us(l));
        return true;
    }
    return put(to, data, n);
}

static bool
put(int32_t fd, const char *data, size_t n)
{
    while (n > 0) {
        ssize_t m = send(fd, data, n, MSG_NOSIGNAL);
        if (m <= 0) {
            return false;
        }
        data += m;
        n -= (size_t)m;
    }
    return true;
}

/* Sends a chunk that is exactly one frame twice, after the handshake. */
static bool
repeat_frame(Link *l, const char *data, size_t n)
{
    uint32_t length = 0;
    bool whole = false;
    if (n > FRAME_PREFIX_BYTES) {
        memcpy(&length, data, sizeof(length));
        whole = ntohl(length) + FRAME_PREFIX_BYTES == n;
    }
    if (!put(l->out, data, n)) {
        return false;
    }
    return !whole || l->frames++ < 2 || put(l->out, data, n);
}

/* The last rule that fits counts. */
static Rule
rule_for(const Link *l)
{
    Rule found = {0};
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < rule_count; i++) {
        const Rule *r = &rules[i];
        if ((r->route[0] == '\0' || strcmp(r->route, l->route->listen) == 0) &&
            (r->from[0] == '\0' || strcmp(r->from, l->from) == 0)) {
            found = *r;
        }
    }
    pthread_mutex_unlock(&lock);
    return found;
}

static void
close_hard(int32_t fd)
{
    struct linger hard = {.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close(fd);
}

static enum MHD_Result
on_control(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    static char started;
    const char *name = CpStandin_GetQueryText(conn, "mode", "pass");
    (void)ctx, (void)method, (void)version, (void)data;
    if (*state == NULL || *data_bytes > 0) {
        *data_bytes = 0;
        *state = &started;
        return MHD_YES;
    }
    if (strcmp(url, "/meters") == 0) {
        return answer_meters(conn);
    }
    if (strcmp(url, "/latency") == 0) {
        uint32_t from =
            (uint32_t)CpStandin_GetQueryNumber(conn, "from", 0) % OCTETS;
        uint32_t to =
            (uint32_t)CpStandin_GetQueryNumber(conn, "to", 0) % OCTETS;
        latencies_us[from][to] = CpStandin_GetQueryNumber(conn, "us", 0);
        return CpStandin_Respond(conn, 200, g_strdup("{}\n"));
    }
    pthread_mutex_lock(&lock);
    if (strcmp(name, "clear") == 0) {
        rule_count = 0;
    }
    if (strcmp(name, "zero") == 0) {
        memset(meters, 0, sizeof(meters));
    }
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(name, mode_names[i]) == 0 && rule_count < MAX_RULES) {
            Rule *r = &rules[rule_count++];
            *r = (Rule){.mode = i,
                        .arg = CpStandin_GetQueryNumber(conn, "arg", 0)};
            CpStr_Copy(r->route, sizeof(r->route),
                       CpStandin_GetQueryText(conn, "route", ""));
            CpStr_Copy(r->from, sizeof(r->from),
                       CpStandin_GetQueryText(conn, "from", ""));
        }
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_strdup("{}\n"));
}

/* Counts what hosts send each other; inner listeners have port 7100. */
static void
measure(const Link *l, bool answer, size_t n)
{
    const char *port = strrchr(l->route->listen, ':');
    uint32_t from = third_octet(l->from), to = third_octet(l->route->listen);
    int64_t slice = CpClock_Now_ns() / (CP_NS_PER_S / SLICES_A_SECOND);
    if (strcmp(port, ":7100") != 0 || from >= OCTETS || to >= OCTETS) {
        return;
    }
    pthread_mutex_lock(&lock);
    Meter *m = answer ? &meters[to][from] : &meters[from][to];
    if (slice - m->slice >= SLICES_A_SECOND) {
        memset(m->slices, 0, sizeof(m->slices));
        m->window = 0;
        m->slice = slice;
    }
    while (m->slice < slice) {
        uint64_t *oldest = &m->slices[++m->slice % SLICES_A_SECOND];
        m->window -= *oldest;
        *oldest = 0;
    }
    m->slices[slice % SLICES_A_SECOND] += n;
    m->window += n;
    m->all += n;
    m->most = m->window > m->most ? m->window : m->most;
    pthread_mutex_unlock(&lock);
}

static uint32_t
third_octet(const char *address)
{
    uint32_t a, b, c;
    return sscanf(address, "%u.%u.%u", &a, &b, &c) == 3 ? c : OCTETS;
}

/* A line a pair: from, to, most bytes in a window of 1 s, all bytes. */
static enum MHD_Result
answer_meters(struct MHD_Connection *conn)
{
    GString *s = g_string_new(NULL);
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < OCTETS; i++) {
        for (uint32_t k = 0; k < OCTETS; k++) {
            if (meters[i][k].all > 0) {
                g_string_append_printf(s, "%u %u %llu %llu\n", i, k,
                                       (unsigned long long)meters[i][k].most,
                                       (unsigned long long)meters[i][k].all);
            }
        }
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_string_free(s, FALSE));
}
