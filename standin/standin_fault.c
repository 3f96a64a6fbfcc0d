/*
 * Fault-injecting TCP proxy. Arguments: CONTROL ROUTE... where a route is
 * LISTEN=TARGET. It connects to the target from the client's IP address.
 *
 * POST /fault?route=LISTEN&from=IP&mode=M&arg=N on the control address adds a
 * rule; without "from" it applies to all sources, without "route" to all
 * routes. Modes: pass, cut (discards bytes), hold (forwards nothing until the
 * rule changes), reset, delay (forwards each chunk arg ms later), lose (resets
 * when the response begins), truncate (resets after arg bytes of response),
 * repeat (sends each frame to the target twice). mode=clear removes all rules,
 * mode=zero clears the meters.
 *
 * /latency?from=A&to=B&us=N sets the one-way latency of connections from
 * domain A to domain B, each given by the third octet of its addresses.
 * /meters lists the traffic between the hosts of each pair of domains.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define CHUNK_BYTES (64 * 1024)
#define POLL_INTERVAL_MS 5 /* rule checks of a held connection */
#define MAX_RULES 256
#define FRAME_PREFIX_BYTES 8 /* of the inner protocol; the length is first */
#define SLICES_PER_S 10
#define OCTET_COUNT 16                     /* third octets 0 to 15 */
#define MAX_QUEUE_BYTES (16 * 1024 * 1024) /* beyond it, reading stops */

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
    char route[CP_ADDR_BYTES];     /* listen address; "" for all */
    char source_ip[CP_ADDR_BYTES]; /* "" for all */
    Mode mode;
    uint64_t arg; /* ms or bytes, by mode */
} Rule;

/* A delayed chunk of a connection's data. */
typedef struct Chunk {
    struct Chunk *next;
    int64_t due_ns; /* when it is sent on */
    size_t size_bytes;
    char data[];
} Chunk;

typedef struct {
    Chunk *first;
    Chunk *last;
    size_t size_bytes;
} ChunkQueue;

/* A proxied connection; its thread alone uses it. */
typedef struct {
    const CpStandinRoute *route;
    char source_ip[CP_ADDR_BYTES];
    int32_t client_fd;
    int32_t target_fd;
    uint64_t response_bytes; /* forwarded to the client */
    uint64_t frame_count;    /* frames to the target in MODE_REPEAT */
    ChunkQueue queues[2];    /* to the target, to the client */
} Connection;

/* Traffic from one domain to another, in a sliding window of 1 s. */
typedef struct {
    uint64_t slice_bytes[SLICES_PER_S]; /* ring of time slices */
    int64_t last_slice;                 /* number of the newest slice */
    uint64_t window_bytes;              /* sum of the slices */
    uint64_t max_window_bytes;
    uint64_t total_bytes;
} Meter;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_PASS] = "pass",         [MODE_CUT] = "cut",
    [MODE_HOLD] = "hold",         [MODE_RESET] = "reset",
    [MODE_DELAY] = "delay",       [MODE_LOSE] = "lose",
    [MODE_TRUNCATE] = "truncate", [MODE_REPEAT] = "repeat",
};

/* Guards the rules and the meters. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Rule rules[MAX_RULES];
static uint32_t rule_count;
static Meter meters[OCTET_COUNT][OCTET_COUNT]; /* of hosts, [from][to] */
/* One-way latencies [from][to]. Not locked: set before the load starts. */
static uint64_t latencies_us[OCTET_COUNT][OCTET_COUNT];

static void relay(const CpStandinRoute *route, int32_t client_fd,
                  const struct sockaddr_in *client);
static bool forward_chunk(Connection *c, bool is_response);
static void enqueue(Connection *c, bool is_response, const char *data,
                    size_t n, uint64_t delay_us);
static bool send_due(Connection *c, int64_t now_ns, int64_t *wait_ns);
static uint64_t latency_us(const Connection *c);
static bool send_all(int32_t fd, const char *data, size_t n);
static bool repeat_frame(Connection *c, const char *data, size_t n);
static Rule find_rule(const Connection *c);
static void record_traffic(const Connection *c, bool is_response, size_t n);
static uint32_t third_octet(const char *address);
static enum MHD_Result respond_meters(struct MHD_Connection *conn);
static enum MHD_Result on_control(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);

int
main(int argc, char **argv)
{
    return CpStandin_RunRelay(argc, argv, on_control, relay);
}

/* Forwards a connection until either side closes it or a rule ends it; then
 * resets both sides. */
static void
relay(const CpStandinRoute *route, int32_t client_fd,
      const struct sockaddr_in *client)
{
    Connection *c = CpMem_Alloc(sizeof(*c));
    bool ok = false;
    c->route = route;
    c->client_fd = client_fd;
    inet_ntop(AF_INET, &client->sin_addr, c->source_ip, sizeof(c->source_ip));
    while (find_rule(c).mode == MODE_CUT || find_rule(c).mode == MODE_HOLD) {
        CpStandin_Sleep_ms(POLL_INTERVAL_MS);
    }
    c->target_fd = -1;
    if (find_rule(c).mode != MODE_RESET) {
        c->target_fd = CpStandin_ConnectTarget(route, client_fd, client, &ok);
    }
    while (ok) {
        struct pollfd p[2] = {{.fd = c->client_fd, .events = POLLIN},
                              {.fd = c->target_fd, .events = POLLIN}};
        Mode mode = find_rule(c).mode;
        if (mode == MODE_RESET) {
            break;
        }
        if (mode == MODE_HOLD) {
            CpStandin_Sleep_ms(POLL_INTERVAL_MS);
            continue;
        }
        int64_t wait_ns = 100 * CP_NS_PER_MS;
        ok = send_due(c, CpClock_Now_ns(), &wait_ns);
        for (uint32_t i = 0; i < 2; i++) {
            if (c->queues[i].size_bytes > MAX_QUEUE_BYTES) {
                p[i].events = 0;
            }
        }
        struct timespec ts = {.tv_nsec = wait_ns};
        if (!ok || ppoll(p, 2, &ts, NULL) <= 0) {
            continue;
        }
        if (p[0].revents != 0) {
            ok = forward_chunk(c, false);
        }
        if (ok && p[1].revents != 0) {
            ok = forward_chunk(c, true);
        }
    }
    CpStandin_CloseWithReset(c->client_fd);
    if (c->target_fd >= 0) {
        CpStandin_CloseWithReset(c->target_fd);
    }
    for (uint32_t i = 0; i < 2; i++) {
        while (c->queues[i].first != NULL) {
            Chunk *chunk = c->queues[i].first;
            c->queues[i].first = chunk->next;
            free(chunk);
        }
    }
    free(c);
}

static void
enqueue(Connection *c, bool is_response, const char *data, size_t n,
        uint64_t delay_us)
{
    ChunkQueue *q = &c->queues[is_response];
    Chunk *chunk = CpMem_Alloc(sizeof(*chunk) + n);
    chunk->due_ns = CpClock_Now_ns() + (int64_t)delay_us * 1000;
    chunk->size_bytes = n;
    memcpy(chunk->data, data, n);
    if (q->last != NULL && q->first != NULL) {
        q->last->next = chunk;
    }
    else {
        q->first = chunk;
    }
    q->last = chunk;
    q->size_bytes += n;
}

/* Sends the chunks that are due and lowers *wait_ns to the time until the next
 * one is; returns false if the connection has failed. */
static bool
send_due(Connection *c, int64_t now_ns, int64_t *wait_ns)
{
    for (uint32_t i = 0; i < 2; i++) {
        ChunkQueue *q = &c->queues[i];
        while (q->first != NULL && q->first->due_ns <= now_ns) {
            Chunk *chunk = q->first;
            bool ok = send_all(i ? c->client_fd : c->target_fd, chunk->data,
                               chunk->size_bytes);
            q->first = chunk->next;
            q->size_bytes -= chunk->size_bytes;
            free(chunk);
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

/* Returns the one-way latency from the client's domain to the target's, which
 * applies to both directions. */
static uint64_t
latency_us(const Connection *c)
{
    uint32_t from = third_octet(c->source_ip),
             to = third_octet(c->route->listen);
    return from < OCTET_COUNT && to < OCTET_COUNT ? latencies_us[from][to] : 0;
}

/* Receives and forwards one chunk; returns false if the connection has to
 * end. */
static bool
forward_chunk(Connection *c, bool is_response)
{
    char data[CHUNK_BYTES];
    ssize_t received =
        recv(is_response ? c->target_fd : c->client_fd, data, sizeof(data), 0);
    int32_t destination_fd = is_response ? c->client_fd : c->target_fd;
    if (received <= 0) {
        return false;
    }
    Rule r = find_rule(c);
    size_t n = (size_t)received;
    switch (r.mode) {
    case MODE_CUT:
        return true;
    case MODE_DELAY:
        enqueue(c, is_response, data, n, r.arg * 1000);
        return true;
    case MODE_LOSE:
        if (is_response) {
            return false;
        }
        break;
    case MODE_TRUNCATE:
        if (is_response && c->response_bytes + n > r.arg) {
            n = c->response_bytes < r.arg ? r.arg - c->response_bytes : 0;
            send_all(destination_fd, data, n);
            return false;
        }
        break;
    case MODE_REPEAT:
        if (!is_response) {
            return repeat_frame(c, data, n);
        }
        break;
    default:
        break;
    }
    if (is_response) {
        c->response_bytes += n;
    }
    record_traffic(c, is_response, n);
    if (latency_us(c) > 0 || c->queues[is_response].first != NULL) {
        enqueue(c, is_response, data, n, latency_us(c));
        return true;
    }
    return send_all(destination_fd, data, n);
}

/* Returns false if the connection has failed. */
static bool
send_all(int32_t fd, const char *data, size_t n)
{
    while (n > 0) {
        ssize_t sent = send(fd, data, n, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        n -= (size_t)sent;
    }
    return true;
}

/* Sends a chunk to the target, twice if it is exactly one frame. The first two
 * frames are sent once, as they are the handshake of a new connection. */
static bool
repeat_frame(Connection *c, const char *data, size_t n)
{
    uint32_t payload_bytes = 0;
    bool is_frame = false;
    if (n > FRAME_PREFIX_BYTES) {
        memcpy(&payload_bytes, data, sizeof(payload_bytes));
        is_frame = ntohl(payload_bytes) + FRAME_PREFIX_BYTES == n;
    }
    if (!send_all(c->target_fd, data, n)) {
        return false;
    }
    return !is_frame || c->frame_count++ < 2 ||
           send_all(c->target_fd, data, n);
}

/* Returns the rule that was added last of those that match, or MODE_PASS. */
static Rule
find_rule(const Connection *c)
{
    Rule found = {0};
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < rule_count; i++) {
        const Rule *r = &rules[i];
        if ((r->route[0] == '\0' || strcmp(r->route, c->route->listen) == 0) &&
            (r->source_ip[0] == '\0' ||
             strcmp(r->source_ip, c->source_ip) == 0)) {
            found = *r;
        }
    }
    pthread_mutex_unlock(&lock);
    return found;
}

static enum MHD_Result
on_control(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    static char head_received;
    const char *mode_name = CpStandin_GetQueryText(conn, "mode", "pass");
    (void)ctx, (void)method, (void)version, (void)data;
    if (*state == NULL || *data_bytes > 0) {
        *data_bytes = 0;
        *state = &head_received;
        return MHD_YES;
    }
    if (strcmp(url, "/meters") == 0) {
        return respond_meters(conn);
    }
    if (strcmp(url, "/latency") == 0) {
        uint32_t from =
            (uint32_t)CpStandin_GetQueryNumber(conn, "from", 0) % OCTET_COUNT;
        uint32_t to =
            (uint32_t)CpStandin_GetQueryNumber(conn, "to", 0) % OCTET_COUNT;
        latencies_us[from][to] = CpStandin_GetQueryNumber(conn, "us", 0);
        return CpStandin_Respond(conn, 200, g_strdup("{}\n"));
    }
    pthread_mutex_lock(&lock);
    if (strcmp(mode_name, "clear") == 0) {
        rule_count = 0;
    }
    if (strcmp(mode_name, "zero") == 0) {
        memset(meters, 0, sizeof(meters));
    }
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(mode_name, mode_names[i]) == 0 && rule_count < MAX_RULES) {
            Rule *r = &rules[rule_count++];
            *r = (Rule){.mode = i,
                        .arg = CpStandin_GetQueryNumber(conn, "arg", 0)};
            CpStr_Copy(r->route, sizeof(r->route),
                       CpStandin_GetQueryText(conn, "route", ""));
            CpStr_Copy(r->source_ip, sizeof(r->source_ip),
                       CpStandin_GetQueryText(conn, "from", ""));
        }
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_strdup("{}\n"));
}

/* Adds to the meters if the route leads to a host's inner listener, which has
 * port 7100. */
static void
record_traffic(const Connection *c, bool is_response, size_t n)
{
    const char *port = strrchr(c->route->listen, ':');
    uint32_t from = third_octet(c->source_ip),
             to = third_octet(c->route->listen);
    int64_t slice = CpClock_Now_ns() / (CP_NS_PER_S / SLICES_PER_S);
    if (strcmp(port, ":7100") != 0 || from >= OCTET_COUNT ||
        to >= OCTET_COUNT) {
        return;
    }
    pthread_mutex_lock(&lock);
    Meter *m = is_response ? &meters[to][from] : &meters[from][to];
    if (slice - m->last_slice >= SLICES_PER_S) {
        memset(m->slice_bytes, 0, sizeof(m->slice_bytes));
        m->window_bytes = 0;
        m->last_slice = slice;
    }
    while (m->last_slice < slice) {
        uint64_t *oldest = &m->slice_bytes[++m->last_slice % SLICES_PER_S];
        m->window_bytes -= *oldest;
        *oldest = 0;
    }
    m->slice_bytes[slice % SLICES_PER_S] += n;
    m->window_bytes += n;
    m->total_bytes += n;
    m->max_window_bytes = m->window_bytes > m->max_window_bytes
                              ? m->window_bytes
                              : m->max_window_bytes;
    pthread_mutex_unlock(&lock);
}

/* Returns OCTET_COUNT if the text is not an IPv4 address. */
static uint32_t
third_octet(const char *address)
{
    uint32_t a, b, c;
    return sscanf(address, "%u.%u.%u", &a, &b, &c) == 3 ? c : OCTET_COUNT;
}

/* One line per pair of domains with traffic: from, to, most bytes in a window
 * of 1 s, total bytes. */
static enum MHD_Result
respond_meters(struct MHD_Connection *conn)
{
    GString *s = g_string_new(NULL);
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < OCTET_COUNT; i++) {
        for (uint32_t k = 0; k < OCTET_COUNT; k++) {
            if (meters[i][k].total_bytes > 0) {
                g_string_append_printf(
                    s, "%u %u %llu %llu\n", i, k,
                    (unsigned long long)meters[i][k].max_window_bytes,
                    (unsigned long long)meters[i][k].total_bytes);
            }
        }
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_string_free(s, FALSE));
}
