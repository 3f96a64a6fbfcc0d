/*
 * Stand-in of backend servers: one process, many listeners, each with slots
 * and a service time. A request names its body by ?tag=N&size=N and its work
 * by ?ms=N; ?key=K is counted as one effect. What the servers saw is at
 * /stats, and /control?mode=M on a server's address makes it misbehave.
 */
#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "http/http.h"
#include "standin.h"

#define SLICE_MS 5
#define BLOCK_BYTES (32 * 1024)
#define MAX_SERVERS 256
#define SECONDS 4096

typedef enum {
    MODE_OK = 0,
    MODE_REFUSE,     /* 503 "not run" before any effect */
    MODE_LOSE,       /* the effect, then no answer */
    MODE_CROSS,      /* the answer of another request */
    MODE_SHORT,      /* a body that ends early */
    MODE_SHORT_LAST, /* a body without its last byte */
    MODE_UNFRAMED,   /* no length, no chunks */
    MODE_COUNT
} Mode;

typedef struct {
    pthread_mutex_t lock;
    char address[CP_ADDR_BYTES];
    char domain[CP_NAME_BYTES];
    uint64_t slots;
    uint64_t service_ms;
    uint64_t factor_percent; /* of the service time */
    bool leaving;            /* what /health says */
    Mode mode;
    uint64_t inflight;
    uint64_t peak;
    uint64_t over; /* requests beyond the slots */
    uint64_t runs;
    uint64_t cancelled; /* the host closed the connection */
    uint64_t expired;   /* the deadline passed */
    uint64_t last_run_ms;
    pthread_cond_t freed;
    uint64_t arrived;          /* requests in order of arrival */
    uint64_t left;             /* of them; slots + left may run */
    uint64_t foreign[SECONDS]; /* runs a second for other domains */
    uint64_t all[SECONDS];
} Server;

/* One request: its body is generated while it is sent. */
typedef struct {
    Server *server;
    uint64_t tag;
    uint64_t size;
    uint64_t cut_at; /* sends an error from this byte on */
    uint64_t upload_bytes;
    bool held; /* has a slot, or waits for one */
    bool started;
} Request;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_OK] = "ok",
    [MODE_REFUSE] = "refuse",
    [MODE_LOSE] = "lose",
    [MODE_CROSS] = "cross",
    [MODE_SHORT] = "short",
    [MODE_SHORT_LAST] = "short-last",
    [MODE_UNFRAMED] = "unframed",
};

static Server servers[MAX_SERVERS];
static uint32_t server_count;
static pthread_mutex_t keys_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *keys; /* key -> number of effects */
static int64_t start_ns;

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static void release_slot(Request *q);
static enum MHD_Result run(struct MHD_Connection *conn, Request *q);
static enum MHD_Result refuse(struct MHD_Connection *conn);
static bool wait_turn(struct MHD_Connection *conn, Request *q);
static bool work(struct MHD_Connection *conn, Request *q, uint64_t ms);
static enum MHD_Result answer(struct MHD_Connection *conn, Request *q,
                              Mode mode);
static ssize_t on_block(void *ctx, uint64_t pos, char *out, size_t room);
static void count_effect(struct MHD_Connection *conn, Server *s);
static enum MHD_Result control(struct MHD_Connection *conn, Server *s);
static enum MHD_Result stats(struct MHD_Connection *conn, Server *only);
static json_t *server_json(Server *s);
static enum MHD_Result key_count(struct MHD_Connection *conn);
static enum MHD_Result doubled(struct MHD_Connection *conn);
static void add_server(const char *spec);

int
main(int argc, char **argv)
{
    struct MHD_Daemon *daemons[MAX_SERVERS];
    CpStandin_BlockSignals();
    start_ns = CpClock_Now_ns();
    keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 1; i < argc && server_count < MAX_SERVERS; i++) {
        add_server(argv[i]);
    }
    if (server_count == 0) {
        fprintf(stderr, "usage: standin-server "
                        "IP:port,domain,slots,service_ms ...\n");
        return 2;
    }
    for (uint32_t i = 0; i < server_count; i++) {
        daemons[i] = CpStandin_Listen(servers[i].address, on_request,
                                      &servers[i], on_completed);
    }
    CpStandin_WaitForStop();
    for (uint32_t i = 0; i < server_count; i++) {
        MHD_stop_daemon(daemons[i]);
    }
    return 0;
}

static void
add_server(const char *spec)
{
    Server *s = &servers[server_count++];
    char **part = g_strsplit(spec, ",", 4);
    if (g_strv_length(part) != 4) {
        fprintf(stderr, "standin-server: bad server %s\n", spec);
        exit(2);
    }
    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->freed, NULL);
    CpStr_Copy(s->address, sizeof(s->address), part[0]);
    CpStr_Copy(s->domain, sizeof(s->domain), part[1]);
    s->slots = strtoull(part[2], NULL, 10);
    s->service_ms = strtoull(part[3], NULL, 10);
    s->factor_percent = 100;
    g_strfreev(part);
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    Server *s = ctx;
    Request *q = *state;
    (void)version, (void)data, (void)method;
    if (q == NULL) {
        q = CpMem_Alloc(sizeof(*q));
        q->server = s;
        q->cut_at = UINT64_MAX;
        *state = q;
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        q->upload_bytes += *data_bytes;
        *data_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/control") == 0) {
        return control(conn, s);
    }
    if (strcmp(url, "/stats") == 0) {
        return stats(conn, NULL);
    }
    if (strcmp(url, "/key") == 0) {
        return key_count(conn);
    }
    if (strcmp(url, "/doubled") == 0) {
        return doubled(conn);
    }
    if (strcmp(url, "/health") == 0) {
        return CpStandin_Respond(conn, 200,
                                 g_strdup(s->leaving
                                              ? "{\"state\":\"leaving\"}\n"
                                              : "{\"state\":\"serving\"}\n"));
    }
    return run(conn, q);
}

static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    Request *q = *state;
    (void)ctx, (void)conn, (void)code;
    if (q != NULL) {
        release_slot(q);
        free(q);
        *state = NULL;
    }
}

static void
release_slot(Request *q)
{
    if (q->held) {
        pthread_mutex_lock(&q->server->lock);
        q->server->inflight--;
        q->server->left++;
        pthread_cond_broadcast(&q->server->freed);
        pthread_mutex_unlock(&q->server->lock);
        q->held = false;
    }
}

static enum MHD_Result
run(struct MHD_Connection *conn, Request *q)
{
    Server *s = q->server;
    if (q->started) {
        return MHD_NO;
    }
    q->started = true;
    q->tag = CpStandin_GetQueryNumber(conn, "tag", 0);
    q->size = CpStandin_GetQueryNumber(conn, "size", 64);
    pthread_mutex_lock(&s->lock);
    Mode mode = s->mode;
    bool full = s->inflight >= s->slots;
    if (mode != MODE_REFUSE) {
        s->inflight++;
        q->held = true;
        s->over += full;
        if (s->inflight > s->peak) {
            s->peak = s->inflight;
        }
    }
    uint64_t ms = CpStandin_GetQueryNumber(conn, "ms", s->service_ms) *
                  s->factor_percent / 100;
    pthread_mutex_unlock(&s->lock);
    if (mode == MODE_REFUSE) {
        return refuse(conn);
    }
    if (!wait_turn(conn, q)) {
        return MHD_NO;
    }
    count_effect(conn, s);
    if (!work(conn, q, ms) || mode == MODE_LOSE) {
        return MHD_NO;
    }
    return answer(conn, q, mode);
}

static enum MHD_Result
refuse(struct MHD_Connection *conn)
{
    struct MHD_Response *r =
        MHD_create_response_from_buffer(5, "busy\n", MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(r, CP_HEADER_VERDICT, "not-run");
    enum MHD_Result ok = MHD_queue_response(conn, 503, r);
    MHD_destroy_response(r);
    return ok;
}

/* Requests beyond the slots wait in order; false when the caller left. */
static bool
wait_turn(struct MHD_Connection *conn, Request *q)
{
    Server *s = q->server;
    int32_t fd =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    pthread_mutex_lock(&s->lock);
    uint64_t mine = s->arrived++;
    while (mine >= s->slots + s->left) {
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += SLICE_MS * CP_NS_PER_MS;
        until.tv_sec += until.tv_nsec / CP_NS_PER_S;
        until.tv_nsec %= CP_NS_PER_S;
        if (poll(&p, 1, 0) > 0) {
            s->cancelled++;
            pthread_mutex_unlock(&s->lock);
            return false;
        }
        pthread_cond_timedwait(&s->freed, &s->lock, &until);
    }
    pthread_mutex_unlock(&s->lock);
    return true;
}

/* Works in slices; false when cancelled or past the deadline. */
static bool
work(struct MHD_Connection *conn, Request *q, uint64_t ms)
{
    const char *deadline = CpStandin_GetHeader(conn, CP_HEADER_DEADLINE);
    uint64_t limit = deadline ? strtoull(deadline, NULL, 10) : UINT64_MAX;
    int32_t fd =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    int64_t from_ns = CpClock_Now_ns();
    for (;;) {
        uint64_t done =
            (uint64_t)((CpClock_Now_ns() - from_ns) / CP_NS_PER_MS);
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        if (done >= ms) {
            return true;
        }
        uint64_t left = ms - done;
        int gone = poll(&p, 1, (int)(left < SLICE_MS ? left : SLICE_MS));
        if (gone > 0 || done >= limit) {
            pthread_mutex_lock(&q->server->lock);
            q->server->cancelled += gone > 0;
            q->server->expired += gone <= 0;
            pthread_mutex_unlock(&q->server->lock);
            return false;
        }
    }
}

static enum MHD_Result
answer(struct MHD_Connection *conn, Request *q, Mode mode)
{
    const char *id = CpStandin_GetHeader(conn, CP_HEADER_REQUEST_ID);
    uint64_t size = q->size;
    if (mode == MODE_SHORT) {
        q->cut_at = size / 2;
    }
    if (mode == MODE_SHORT_LAST) {
        q->cut_at = size - 1;
    }
    if (mode == MODE_CROSS) {
        q->tag++;
        id = "0000000000000000";
    }
    if (mode == MODE_UNFRAMED) {
        size = MHD_SIZE_UNKNOWN;
    }
    struct MHD_Response *r = MHD_create_response_from_callback(
        size, BLOCK_BYTES, on_block, q, NULL);
    if (mode == MODE_UNFRAMED) {
        MHD_set_response_options(r, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                                 MHD_RO_END);
    }
    MHD_add_response_header(r, "Content-Type", "application/octet-stream");
    if (id != NULL) {
        MHD_add_response_header(r, CP_HEADER_REQUEST_ID, id);
    }
    enum MHD_Result ok = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    return ok;
}

static ssize_t
on_block(void *ctx, uint64_t pos, char *out, size_t room)
{
    Request *q = ctx;
    uint64_t left = q->size - pos;
    if (pos >= q->cut_at) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (left == 0) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_t n = left < room ? (size_t)left : room;
    if (q->cut_at - pos < n) {
        n = (size_t)(q->cut_at - pos);
    }
    CpStandin_FillBody(q->tag, pos, out, n);
    if (pos + n == q->size) {
        release_slot(q); /* before anybody can know that it is free */
    }
    return (ssize_t)n;
}

static void
count_effect(struct MHD_Connection *conn, Server *s)
{
    const char *key = CpStandin_GetQueryText(conn, "key", NULL);
    const char *origin = CpStandin_GetHeader(conn, CP_HEADER_ORIGIN);
    int64_t now_ms = (CpClock_Now_ns() - start_ns) / CP_NS_PER_MS;
    pthread_mutex_lock(&s->lock);
    s->runs++;
    s->last_run_ms = (uint64_t)now_ms;
    if (now_ms / 1000 < SECONDS) {
        s->all[now_ms / 1000]++;
        s->foreign[now_ms / 1000] +=
            origin != NULL && strcmp(origin, s->domain) != 0;
    }
    pthread_mutex_unlock(&s->lock);
    if (key != NULL) {
        pthread_mutex_lock(&keys_lock);
        uintptr_t n = (uintptr_t)g_hash_table_lookup(keys, key);
        g_hash_table_replace(keys, g_strdup(key), (void *)(n + 1));
        pthread_mutex_unlock(&keys_lock);
    }
}

static enum MHD_Result
control(struct MHD_Connection *conn, Server *s)
{
    const char *name = CpStandin_GetQueryText(conn, "mode", "");
    const char *health = CpStandin_GetQueryText(conn, "health", NULL);
    bool every = CpStandin_GetQueryNumber(conn, "every", 0) != 0;
    for (uint32_t k = 0; k < server_count; k++) {
        Server *at = &servers[k];
        if (at != s && !every) {
            continue;
        }
        pthread_mutex_lock(&at->lock);
        for (uint32_t i = 0; i < MODE_COUNT; i++) {
            if (strcmp(name, mode_names[i]) == 0) {
                at->mode = i;
            }
        }
        at->factor_percent =
            CpStandin_GetQueryNumber(conn, "factor", at->factor_percent);
        at->service_ms = CpStandin_GetQueryNumber(conn, "ms", at->service_ms);
        if (health != NULL) {
            at->leaving = strcmp(health, "leaving") == 0;
        }
        if (CpStandin_GetQueryNumber(conn, "reset", 0) != 0) {
            at->peak = at->inflight;
            at->over = at->runs = at->cancelled = at->expired = 0;
        }
        pthread_mutex_unlock(&at->lock);
    }
    return stats(conn, s);
}

static enum MHD_Result
stats(struct MHD_Connection *conn, Server *only)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < server_count; i++) {
        if (only == NULL || only == &servers[i]) {
            json_array_append_new(list, server_json(&servers[i]));
        }
    }
    int64_t now_ms = (CpClock_Now_ns() - start_ns) / CP_NS_PER_MS;
    json_t *root =
        json_pack("{s:I,s:o}", "now_ms", (json_int_t)now_ms, "servers", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return CpStandin_Respond(conn, 200, text);
}

static json_t *
server_json(Server *s)
{
    json_t *foreign = json_array(), *all = json_array();
    int64_t now_s = (CpClock_Now_ns() - start_ns) / CP_NS_PER_S;
    pthread_mutex_lock(&s->lock);
    for (int64_t i = 0; i <= now_s && i < SECONDS; i++) {
        json_array_append_new(foreign,
                              json_integer((json_int_t)s->foreign[i]));
        json_array_append_new(all, json_integer((json_int_t)s->all[i]));
    }
    json_t *o = json_pack(
        "{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "address",
        s->address, "domain", s->domain, "slots", (json_int_t)s->slots,
        "inflight", (json_int_t)s->inflight, "peak", (json_int_t)s->peak,
        "over", (json_int_t)s->over, "runs", (json_int_t)s->runs, "cancelled",
        (json_int_t)s->cancelled, "expired", (json_int_t)s->expired,
        "last_run_ms", (json_int_t)s->last_run_ms, "foreign", foreign, "all",
        all);
    pthread_mutex_unlock(&s->lock);
    return o;
}

static enum MHD_Result
key_count(struct MHD_Connection *conn)
{
    const char *key = CpStandin_GetQueryText(conn, "key", "");
    pthread_mutex_lock(&keys_lock);
    uintptr_t n = (uintptr_t)g_hash_table_lookup(keys, key);
    pthread_mutex_unlock(&keys_lock);
    return CpStandin_Respond(conn, 200, g_strdup_printf("%u\n", (uint32_t)n));
}

/* Keys with more than one effect, a line each, then the number of keys; with
 * ?all=1 every key and its count. */
static enum MHD_Result
doubled(struct MHD_Connection *conn)
{
    GString *s = g_string_new(NULL);
    GHashTableIter it;
    void *key, *value;
    bool every = CpStandin_GetQueryNumber(conn, "all", 0) != 0;
    pthread_mutex_lock(&keys_lock);
    g_hash_table_iter_init(&it, keys);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        if (every) {
            g_string_append_printf(s, "%s %u\n", (char *)key,
                                   (uint32_t)(uintptr_t)value);
        }
        else if ((uintptr_t)value > 1) {
            g_string_append_printf(s, "doubled %s %u\n", (char *)key,
                                   (uint32_t)(uintptr_t)value);
        }
    }
    if (!every) {
        g_string_append_printf(s, "keys %u\n", g_hash_table_size(keys));
    }
    pthread_mutex_unlock(&keys_lock);
    return CpStandin_Respond(conn, 200, g_string_free(s, FALSE));
}
