/*
 * Stand-in of backend servers: one process with a listener per server. Each
 * argument is IP:port,domain,slots,service_ms. A request chooses its response
 * body by ?tag=N&size=N and its service time by ?ms=N; ?key=K counts one
 * effect of K. Requests beyond the slots wait.
 *
 * /control?mode=M sets the failure mode of the server addressed, or with
 * every=1 of all servers; further arguments are ms=N (service time), factor=N
 * (percent of the service time), health=leaving|serving, probe=M (failure mode
 * of /health: ok, cut-head, joined, longer or error) and reset=1 (of the
 * counters). /stats has the counters of each server, /key?key=K the effects of
 * one key, /doubled the keys with more than one effect.
 */
#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "http/http.h"
#include "standin.h"

#define POLL_INTERVAL_MS 5 /* checks whether the host has disconnected */
#define BLOCK_BYTES (32 * 1024)
#define MAX_SERVERS 256
#define MAX_SECONDS 4096 /* with counters per second; later runs have none */
#define JOINED_WAIT_MS 1000 /* for the host to close the connection */
#define SECOND_DELAY_MS 30

typedef enum {
    MODE_OK = 0,
    MODE_REFUSE,     /* 503 with verdict not-run, before any effect */
    MODE_LOSE,       /* has its effect, then closes the connection */
    MODE_CROSS,      /* the response of another request */
    MODE_NO_ID,      /* in order, without the request's id */
    MODE_SHORT,      /* truncates the body at half its length */
    MODE_SHORT_LAST, /* truncates the last byte of the body */
    MODE_UNFRAMED,   /* neither Content-Length nor chunked encoding */
    /* The next ones send a text and close the connection. */
    MODE_CUT_STATUS,  /* the head up to the status line */
    MODE_CUT_LENGTH,  /* the head up to the length */
    MODE_CUT_REFUSAL, /* the head of a refusal, without its end */
    MODE_TRAILER,     /* a response of another server's id in its trailer */
    MODE_STATUS_000,  /* whole, with a status that is none */
    MODE_STATUS_600,
    MODE_STATUS_999,
    /* The rest send a part of a response and a whole one on one connection. */
    MODE_JOIN_VALUE,    /* cut inside a value of the head */
    MODE_JOIN_ID,       /* the same, of another request's response */
    MODE_JOIN_DIGITS,   /* cut inside the length */
    MODE_JOIN_REFUSAL,  /* the head of a refusal, cut inside a value */
    MODE_JOIN_BODY,     /* cut inside the body */
    MODE_JOIN_LAST,     /* cut before the last byte of the body */
    MODE_JOIN_CHUNKS,   /* cut inside a chunk */
    MODE_JOIN_SIZE,     /* cut inside the size of the first chunk */
    MODE_TWO_LENGTHS,   /* no part; a second, short length in the head */
    MODE_SECOND,        /* a whole response, and a whole one */
    MODE_SECOND_CHUNKS, /* the same, in chunks */
    MODE_SECOND_LATE,   /* the same, the second one later */
    MODE_COUNT
} Mode;

typedef enum {
    PROBE_OK = 0,
    PROBE_CUT_HEAD, /* the head without its end */
    PROBE_JOINED,   /* cut inside the body, and a whole response */
    PROBE_LONGER,   /* bytes after the announced length */
    PROBE_ERROR,    /* status 500 */
    PROBE_UNTIL,    /* whole, without a length, until the connection ends */
    PROBE_COUNT
} ProbeMode;

typedef struct {
    pthread_mutex_t lock; /* guards the fields that change after the start */
    char address[CP_ADDR_BYTES];
    char domain[CP_NAME_BYTES];
    uint64_t slots;
    uint64_t service_ms;
    uint64_t factor_percent; /* of the service time */
    bool leaving;            /* reported by /health */
    ProbeMode probe_mode;    /* of /health */
    Mode mode;
    uint64_t inflight;
    uint64_t peak_inflight;
    uint64_t over_slots; /* requests that arrived with all slots in use */
    uint64_t runs;
    uint64_t cancelled;   /* the host closed the connection */
    uint64_t expired;     /* the deadline passed */
    uint64_t reused;      /* connections used again after a second response */
    uint64_t connections; /* on which requests to run came */
    uint64_t last_run_ms; /* since the start of the process */
    pthread_cond_t slot_released;
    uint64_t arrivals;                  /* sequence of the next request */
    uint64_t releases;                  /* requests that have ended */
    uint64_t foreign_runs[MAX_SECONDS]; /* for other domains, per second */
    uint64_t all_runs[MAX_SECONDS];     /* per second */
} Server;

/* A request; its response body is generated while it is sent. */
typedef struct {
    Server *server;
    uint64_t tag;
    uint64_t size_bytes;        /* of the response body */
    uint64_t truncate_at_bytes; /* the body fails at this offset */
    uint64_t received_bytes;
    bool is_inflight; /* has a slot or waits for one */
    bool started;
} Request;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_OK] = "ok",
    [MODE_REFUSE] = "refuse",
    [MODE_LOSE] = "lose",
    [MODE_CROSS] = "cross",
    [MODE_NO_ID] = "no-id",
    [MODE_SHORT] = "short",
    [MODE_SHORT_LAST] = "short-last",
    [MODE_UNFRAMED] = "unframed",
    [MODE_CUT_STATUS] = "cut-status",
    [MODE_CUT_LENGTH] = "cut-length",
    [MODE_CUT_REFUSAL] = "cut-refusal",
    [MODE_TRAILER] = "trailer",
    [MODE_STATUS_000] = "status-000",
    [MODE_STATUS_600] = "status-600",
    [MODE_STATUS_999] = "status-999",
    [MODE_JOIN_VALUE] = "join-value",
    [MODE_JOIN_ID] = "join-id",
    [MODE_JOIN_DIGITS] = "join-digits",
    [MODE_JOIN_REFUSAL] = "join-refusal",
    [MODE_JOIN_BODY] = "join-body",
    [MODE_JOIN_LAST] = "join-last",
    [MODE_JOIN_CHUNKS] = "join-chunks",
    [MODE_JOIN_SIZE] = "join-size",
    [MODE_TWO_LENGTHS] = "two-lengths",
    [MODE_SECOND] = "second",
    [MODE_SECOND_CHUNKS] = "second-chunks",
    [MODE_SECOND_LATE] = "second-late",
};

static const char *const probe_mode_names[PROBE_COUNT] = {
    [PROBE_OK] = "ok",         [PROBE_CUT_HEAD] = "cut-head",
    [PROBE_JOINED] = "joined", [PROBE_LONGER] = "longer",
    [PROBE_ERROR] = "error",   [PROBE_UNTIL] = "until",
};

#define WITH_STATUS(status)                                                   \
    "HTTP/1.1 " status " Odd\r\n" CP_HEADER_REQUEST_ID                        \
    ": %s\r\nContent-Length: 5\r\n\r\nwhole"
#define HEAD_WITH_ID "HTTP/1.1 200 OK\r\n" CP_HEADER_REQUEST_ID ": %s\r\n"
/* What is sent in the modes that send a text: formats for the request's id. */
static const char *const raw_responses[MODE_COUNT] = {
    [MODE_CUT_STATUS] = "HTTP/1.1 200 OK\r\n",
    [MODE_CUT_LENGTH] = HEAD_WITH_ID "Content-Length: 0\r\n",
    [MODE_CUT_REFUSAL] =
        "HTTP/1.1 503 Service Unavailable\r\n" CP_HEADER_REQUEST_ID
        ": %s\r\n" CP_HEADER_VERDICT ": not-run\r\n",
    [MODE_TRAILER] = HEAD_WITH_ID "Transfer-Encoding: chunked\r\n\r\n"
                                  "5\r\nwhole\r\n0\r\n" CP_HEADER_REQUEST_ID
                                  ": another\r\n\r\n",
    [MODE_STATUS_000] = WITH_STATUS("000"),
    [MODE_STATUS_600] = WITH_STATUS("600"),
    [MODE_STATUS_999] = WITH_STATUS("999"),
};

/* Responses of /health that are sent as a text: formats for the state. */
static const char *const probe_texts[PROBE_COUNT] = {
    [PROBE_CUT_HEAD] = "HTTP/1.1 200 OK\r\n",
    [PROBE_JOINED] = "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n"
                     "{\"sta"
                     "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n%s",
    [PROBE_LONGER] = "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n%s",
    [PROBE_UNTIL] = "HTTP/1.0 200 OK\r\n\r\n%s",
};

static Server servers[MAX_SERVERS];
static uint32_t server_count;
static pthread_mutex_t effects_lock =
    PTHREAD_MUTEX_INITIALIZER; /* guards effects */
static GHashTable *effects;    /* key -> number of effects */
static int64_t process_start_ns;

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static void release_slot(Request *q);
static enum MHD_Result run_request(struct MHD_Connection *conn, Request *q);
static enum MHD_Result refuse(struct MHD_Connection *conn);
static bool wait_for_slot(struct MHD_Connection *conn, Request *q);
static bool simulate_work(struct MHD_Connection *conn, Request *q,
                          uint64_t work_ms);
static enum MHD_Result respond(struct MHD_Connection *conn, Request *q,
                               Mode mode);
static void send_raw(struct MHD_Connection *conn, Mode mode);
static void send_joined(struct MHD_Connection *conn, Request *q, Mode mode);
static size_t find_cut(const Request *q, const GString *text, Mode mode);
static GString *format_response(const Request *q, const char *id, Mode mode,
                                bool closes);
static bool is_used_again(int32_t fd);
static enum MHD_Result respond_health(struct MHD_Connection *conn,
                                      const Server *s);
static ssize_t read_block(void *ctx, uint64_t pos, char *out, size_t capacity);
static void count_effect(struct MHD_Connection *conn, Server *s);
static enum MHD_Result handle_control(struct MHD_Connection *conn, Server *s);
static enum MHD_Result respond_stats(struct MHD_Connection *conn,
                                     Server *only);
static json_t *server_to_json(Server *s);
static enum MHD_Result respond_key(struct MHD_Connection *conn);
static enum MHD_Result respond_doubled(struct MHD_Connection *conn);
static void add_server(const char *spec);

int
main(int argc, char **argv)
{
    struct MHD_Daemon *daemons[MAX_SERVERS];
    CpStandin_BlockSignals();
    process_start_ns = CpClock_Now_ns();
    effects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
    char **fields = g_strsplit(spec, ",", 4);
    if (g_strv_length(fields) != 4) {
        fprintf(stderr,
                "standin-server: invalid server %s, expected "
                "IP:port,domain,slots,service_ms\n",
                spec);
        exit(2);
    }
    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->slot_released, NULL);
    CpStr_Copy(s->address, sizeof(s->address), fields[0]);
    CpStr_Copy(s->domain, sizeof(s->domain), fields[1]);
    s->slots = strtoull(fields[2], NULL, 10);
    s->service_ms = strtoull(fields[3], NULL, 10);
    s->factor_percent = 100;
    g_strfreev(fields);
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
        q->truncate_at_bytes = UINT64_MAX;
        *state = q;
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        q->received_bytes += *data_bytes;
        *data_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/control") == 0) {
        return handle_control(conn, s);
    }
    if (strcmp(url, "/stats") == 0) {
        return respond_stats(conn, NULL);
    }
    if (strcmp(url, "/key") == 0) {
        return respond_key(conn);
    }
    if (strcmp(url, "/doubled") == 0) {
        return respond_doubled(conn);
    }
    if (strcmp(url, "/health") == 0) {
        return respond_health(conn, s);
    }
    return run_request(conn, q);
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
    if (q->is_inflight) {
        pthread_mutex_lock(&q->server->lock);
        q->server->inflight--;
        q->server->releases++;
        pthread_cond_broadcast(&q->server->slot_released);
        pthread_mutex_unlock(&q->server->lock);
        q->is_inflight = false;
    }
}

static enum MHD_Result
run_request(struct MHD_Connection *conn, Request *q)
{
    Server *s = q->server;
    if (q->started) {
        return MHD_NO;
    }
    q->started = true;
    q->tag = CpStandin_GetQueryNumber(conn, "tag", 0);
    q->size_bytes = CpStandin_GetQueryNumber(conn, "size", 64);
    bool is_new = CpStandin_CountUse(conn) == 1;
    pthread_mutex_lock(&s->lock);
    Mode mode = s->mode;
    s->connections += is_new;
    bool is_full = s->inflight >= s->slots;
    if (mode != MODE_REFUSE) {
        s->inflight++;
        q->is_inflight = true;
        s->over_slots += is_full;
        if (s->inflight > s->peak_inflight) {
            s->peak_inflight = s->inflight;
        }
    }
    uint64_t work_ms = CpStandin_GetQueryNumber(conn, "ms", s->service_ms) *
                       s->factor_percent / 100;
    pthread_mutex_unlock(&s->lock);
    if (mode == MODE_REFUSE) {
        return refuse(conn);
    }
    if (!wait_for_slot(conn, q)) {
        return MHD_NO;
    }
    count_effect(conn, s);
    if (!simulate_work(conn, q, work_ms) || mode == MODE_LOSE) {
        return MHD_NO;
    }
    if (raw_responses[mode] != NULL) {
        send_raw(conn, mode);
        return MHD_NO;
    }
    if (mode >= MODE_JOIN_VALUE) {
        send_joined(conn, q, mode);
        return MHD_NO;
    }
    return respond(conn, q, mode);
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

/* Waits in order of arrival until a slot is free: a request may run once its
 * sequence is less than slots + releases. Returns false if the host
 * disconnects. */
static bool
wait_for_slot(struct MHD_Connection *conn, Request *q)
{
    Server *s = q->server;
    int32_t fd = CpStandin_Socket(conn);
    pthread_mutex_lock(&s->lock);
    uint64_t sequence = s->arrivals++;
    while (sequence >= s->slots + s->releases) {
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        struct timespec wake_at;
        clock_gettime(CLOCK_REALTIME, &wake_at);
        wake_at.tv_nsec += POLL_INTERVAL_MS * CP_NS_PER_MS;
        wake_at.tv_sec += wake_at.tv_nsec / CP_NS_PER_S;
        wake_at.tv_nsec %= CP_NS_PER_S;
        if (poll(&p, 1, 0) > 0) {
            s->cancelled++;
            pthread_mutex_unlock(&s->lock);
            return false;
        }
        pthread_cond_timedwait(&s->slot_released, &s->lock, &wake_at);
    }
    pthread_mutex_unlock(&s->lock);
    return true;
}

/* Waits for work_ms; returns false if the host disconnects or the deadline in
 * the request's header passes. */
static bool
simulate_work(struct MHD_Connection *conn, Request *q, uint64_t work_ms)
{
    const char *deadline = CpStandin_GetHeader(conn, CP_HEADER_DEADLINE);
    uint64_t deadline_ms =
        deadline ? strtoull(deadline, NULL, 10) : UINT64_MAX;
    int32_t fd = CpStandin_Socket(conn);
    int64_t start_ns = CpClock_Now_ns();
    for (;;) {
        uint64_t elapsed_ms =
            (uint64_t)((CpClock_Now_ns() - start_ns) / CP_NS_PER_MS);
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        if (elapsed_ms >= work_ms) {
            return true;
        }
        uint64_t left_ms = work_ms - elapsed_ms;
        int disconnected = poll(
            &p, 1,
            (int)(left_ms < POLL_INTERVAL_MS ? left_ms : POLL_INTERVAL_MS));
        if (disconnected > 0 || elapsed_ms >= deadline_ms) {
            pthread_mutex_lock(&q->server->lock);
            q->server->cancelled += disconnected > 0;
            q->server->expired += disconnected <= 0;
            pthread_mutex_unlock(&q->server->lock);
            return false;
        }
    }
}

static enum MHD_Result
respond(struct MHD_Connection *conn, Request *q, Mode mode)
{
    const char *id = CpStandin_GetHeader(conn, CP_HEADER_REQUEST_ID);
    uint64_t content_length = q->size_bytes;
    if (mode == MODE_SHORT) {
        q->truncate_at_bytes = content_length / 2;
    }
    if (mode == MODE_SHORT_LAST) {
        q->truncate_at_bytes = content_length - 1;
    }
    if (mode == MODE_CROSS) {
        q->tag++;
        id = "0000000000000000";
    }
    if (mode == MODE_UNFRAMED) {
        content_length = MHD_SIZE_UNKNOWN;
    }
    struct MHD_Response *r = MHD_create_response_from_callback(
        content_length, BLOCK_BYTES, read_block, q, NULL);
    if (mode == MODE_UNFRAMED) {
        MHD_set_response_options(r, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                                 MHD_RO_END);
    }
    MHD_add_response_header(r, "Content-Type", "application/octet-stream");
    if (id != NULL && mode != MODE_NO_ID) {
        MHD_add_response_header(r, CP_HEADER_REQUEST_ID, id);
    }
    enum MHD_Result ok = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    return ok;
}

static void
send_raw(struct MHD_Connection *conn, Mode mode)
{
    int32_t fd = CpStandin_Socket(conn);
    const char *id = CpStandin_GetHeader(conn, CP_HEADER_REQUEST_ID);
    char *text = g_strdup_printf(raw_responses[mode], id != NULL ? id : "");
    CpStandin_Send(fd, text, strlen(text));
    g_free(text);
}

/* Sends the responses and waits until the host closes the connection or uses
 * it again. */
static void
send_joined(struct MHD_Connection *conn, Request *q, Mode mode)
{
    int32_t fd = CpStandin_Socket(conn);
    const char *given = CpStandin_GetHeader(conn, CP_HEADER_REQUEST_ID);
    const char *id = given != NULL ? given : "";
    const char *other = "0000000000000000";
    bool is_second = mode >= MODE_SECOND;
    bool closes = CpStandin_GetQueryNumber(conn, "close", 0) != 0;
    GString *text =
        format_response(q, mode == MODE_JOIN_ID ? other : id, mode, closes);
    GString *second = format_response(q, is_second ? other : id, mode, closes);
    if (mode == MODE_JOIN_REFUSAL) {
        g_string_printf(text, raw_responses[MODE_CUT_REFUSAL], id);
        g_string_append(text, "Content-Type: text");
    }
    else {
        g_string_truncate(text, find_cut(q, text, mode));
    }
    release_slot(q);
    if (mode == MODE_SECOND_LATE) {
        CpStandin_Send(fd, text->str, text->len);
        CpStandin_Sleep_ms(SECOND_DELAY_MS);
        g_string_truncate(text, 0);
    }
    if (mode != MODE_TWO_LENGTHS) {
        g_string_append_len(text, second->str, (gssize)second->len);
    }
    CpStandin_Send(fd, text->str, text->len);
    g_string_free(text, TRUE);
    g_string_free(second, TRUE);
    bool used_again = is_used_again(fd);
    pthread_mutex_lock(&q->server->lock);
    q->server->reused += is_second && used_again;
    pthread_mutex_unlock(&q->server->lock);
}

/* Returns where the first response breaks off. */
static size_t
find_cut(const Request *q, const GString *text, Mode mode)
{
    size_t body_at = (size_t)(strstr(text->str, "\r\n\r\n") - text->str) + 4;
    const char *line;
    switch (mode) {
    case MODE_JOIN_VALUE:
    case MODE_JOIN_ID:
        return (size_t)(strstr(text->str, "octet") - text->str);
    case MODE_JOIN_DIGITS:
        line = strstr(text->str, "Content-Length: ");
        return (size_t)(line - text->str) + strlen("Content-Length: ") + 1;
    case MODE_JOIN_BODY:
    case MODE_JOIN_CHUNKS:
        return body_at + (size_t)q->size_bytes / 2;
    case MODE_JOIN_SIZE:
        return body_at + 2;
    case MODE_JOIN_LAST:
        return text->len - 1;
    default:
        return text->len;
    }
}

static GString *
format_response(const Request *q, const char *id, Mode mode, bool closes)
{
    size_t n = (size_t)q->size_bytes;
    bool chunked = mode == MODE_JOIN_CHUNKS || mode == MODE_JOIN_SIZE ||
                   mode == MODE_SECOND_CHUNKS;
    char *body = CpMem_Alloc(n + 1);
    CpStandin_FillBody(q->tag, 0, body, n);
    GString *text = g_string_new("HTTP/1.1 200 OK\r\n");
    g_string_append_printf(text, CP_HEADER_REQUEST_ID ": %s\r\n", id);
    g_string_append(text, "Content-Type: application/octet-stream\r\n");
    if (closes) {
        g_string_append(text, "Connection: close\r\n");
    }
    if (chunked) {
        g_string_append_printf(
            text, "Transfer-Encoding: chunked\r\n\r\n%08zx\r\n", n);
    }
    else {
        g_string_append_printf(text, "Content-Length: %zu\r\n", n);
        if (mode == MODE_TWO_LENGTHS) {
            g_string_append_printf(text, "Content-Length: %zu\r\n", n / 2);
        }
        g_string_append(text, "\r\n");
    }
    g_string_append_len(text, body, (gssize)n);
    g_string_append(text, chunked ? "\r\n0\r\n\r\n" : "");
    free(body);
    return text;
}

/* Waits for the next request on the connection, or its end. */
static bool
is_used_again(int32_t fd)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};
    char byte;
    return poll(&p, 1, JOINED_WAIT_MS) > 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static enum MHD_Result
respond_health(struct MHD_Connection *conn, const Server *s)
{
    const char *state =
        s->leaving ? "{\"state\":\"leaving\"}\n" : "{\"state\":\"serving\"}\n";
    if (s->probe_mode == PROBE_OK || s->probe_mode == PROBE_ERROR) {
        return CpStandin_Respond(conn, s->probe_mode == PROBE_OK ? 200 : 500,
                                 g_strdup(state));
    }
    char *text = g_strdup_printf(probe_texts[s->probe_mode], state);
    CpStandin_Send(CpStandin_Socket(conn), text, strlen(text));
    g_free(text);
    return MHD_NO;
}

/* Body callback. Releases the slot with the last block, before the host can
 * receive it and send the next request. */
static ssize_t
read_block(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    Request *q = ctx;
    uint64_t left_bytes = q->size_bytes - pos;
    if (pos >= q->truncate_at_bytes) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (left_bytes == 0) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_t n = left_bytes < capacity ? (size_t)left_bytes : capacity;
    if (q->truncate_at_bytes - pos < n) {
        n = (size_t)(q->truncate_at_bytes - pos);
    }
    CpStandin_FillBody(q->tag, pos, out, n);
    if (pos + n == q->size_bytes) {
        release_slot(q);
    }
    return (ssize_t)n;
}

/* Counts the run, and the effect if the request has a key. */
static void
count_effect(struct MHD_Connection *conn, Server *s)
{
    const char *key = CpStandin_GetQueryText(conn, "key", NULL);
    const char *origin = CpStandin_GetHeader(conn, CP_HEADER_ORIGIN);
    int64_t now_ms = (CpClock_Now_ns() - process_start_ns) / CP_NS_PER_MS;
    pthread_mutex_lock(&s->lock);
    s->runs++;
    s->last_run_ms = (uint64_t)now_ms;
    if (now_ms / 1000 < MAX_SECONDS) {
        s->all_runs[now_ms / 1000]++;
        s->foreign_runs[now_ms / 1000] +=
            origin != NULL && strcmp(origin, s->domain) != 0;
    }
    pthread_mutex_unlock(&s->lock);
    if (key != NULL) {
        pthread_mutex_lock(&effects_lock);
        uintptr_t count = (uintptr_t)g_hash_table_lookup(effects, key);
        g_hash_table_replace(effects, g_strdup(key), (void *)(count + 1));
        pthread_mutex_unlock(&effects_lock);
    }
}

static enum MHD_Result
handle_control(struct MHD_Connection *conn, Server *s)
{
    const char *mode_name = CpStandin_GetQueryText(conn, "mode", "");
    const char *health_state = CpStandin_GetQueryText(conn, "health", NULL);
    const char *probe_mode = CpStandin_GetQueryText(conn, "probe", "");
    bool all_servers = CpStandin_GetQueryNumber(conn, "every", 0) != 0;
    for (uint32_t k = 0; k < server_count; k++) {
        Server *server = &servers[k];
        if (server != s && !all_servers) {
            continue;
        }
        pthread_mutex_lock(&server->lock);
        for (uint32_t i = 0; i < MODE_COUNT; i++) {
            if (strcmp(mode_name, mode_names[i]) == 0) {
                server->mode = i;
            }
        }
        server->factor_percent =
            CpStandin_GetQueryNumber(conn, "factor", server->factor_percent);
        server->service_ms =
            CpStandin_GetQueryNumber(conn, "ms", server->service_ms);
        for (uint32_t i = 0; i < PROBE_COUNT; i++) {
            if (strcmp(probe_mode, probe_mode_names[i]) == 0) {
                server->probe_mode = i;
            }
        }
        if (health_state != NULL) {
            server->leaving = strcmp(health_state, "leaving") == 0;
        }
        if (CpStandin_GetQueryNumber(conn, "reset", 0) != 0) {
            server->peak_inflight = server->inflight;
            server->over_slots = server->runs = server->cancelled =
                server->expired = server->reused = server->connections = 0;
        }
        pthread_mutex_unlock(&server->lock);
    }
    return respond_stats(conn, s);
}

/* Responds with the counters of one server, or of all if `only` is NULL. */
static enum MHD_Result
respond_stats(struct MHD_Connection *conn, Server *only)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < server_count; i++) {
        if (only == NULL || only == &servers[i]) {
            json_array_append_new(list, server_to_json(&servers[i]));
        }
    }
    int64_t now_ms = (CpClock_Now_ns() - process_start_ns) / CP_NS_PER_MS;
    json_t *root =
        json_pack("{s:I,s:o}", "now_ms", (json_int_t)now_ms, "servers", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return CpStandin_Respond(conn, 200, text);
}

static json_t *
server_to_json(Server *s)
{
    json_t *foreign = json_array(), *all = json_array();
    int64_t now_s = (CpClock_Now_ns() - process_start_ns) / CP_NS_PER_S;
    pthread_mutex_lock(&s->lock);
    for (int64_t i = 0; i <= now_s && i < MAX_SECONDS; i++) {
        json_array_append_new(foreign,
                              json_integer((json_int_t)s->foreign_runs[i]));
        json_array_append_new(all, json_integer((json_int_t)s->all_runs[i]));
    }
    json_t *o = json_pack(
        "{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "address",
        s->address, "domain", s->domain, "slots", (json_int_t)s->slots,
        "inflight", (json_int_t)s->inflight, "peak",
        (json_int_t)s->peak_inflight, "over", (json_int_t)s->over_slots,
        "runs", (json_int_t)s->runs, "cancelled", (json_int_t)s->cancelled,
        "expired", (json_int_t)s->expired, "reused", (json_int_t)s->reused,
        "connections", (json_int_t)s->connections, "last_run_ms",
        (json_int_t)s->last_run_ms, "foreign", foreign, "all", all);
    pthread_mutex_unlock(&s->lock);
    return o;
}

static enum MHD_Result
respond_key(struct MHD_Connection *conn)
{
    const char *key = CpStandin_GetQueryText(conn, "key", "");
    pthread_mutex_lock(&effects_lock);
    uintptr_t count = (uintptr_t)g_hash_table_lookup(effects, key);
    pthread_mutex_unlock(&effects_lock);
    return CpStandin_Respond(conn, 200,
                             g_strdup_printf("%u\n", (uint32_t)count));
}

/* Lists the keys with more than one effect, one per line, then the number of
 * keys; with ?all=1 every key and its count instead. */
static enum MHD_Result
respond_doubled(struct MHD_Connection *conn)
{
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    void *key, *count;
    bool all_keys = CpStandin_GetQueryNumber(conn, "all", 0) != 0;
    pthread_mutex_lock(&effects_lock);
    g_hash_table_iter_init(&iter, effects);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        if (all_keys) {
            g_string_append_printf(text, "%s %u\n", (char *)key,
                                   (uint32_t)(uintptr_t)count);
        }
        else if ((uintptr_t)count > 1) {
            g_string_append_printf(text, "doubled %s %u\n", (char *)key,
                                   (uint32_t)(uintptr_t)count);
        }
    }
    if (!all_keys) {
        g_string_append_printf(text, "keys %u\n", g_hash_table_size(effects));
    }
    pthread_mutex_unlock(&effects_lock);
    return CpStandin_Respond(conn, 200, g_string_free(text, FALSE));
}
