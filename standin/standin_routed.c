/*
 * Stand-in of backend servers that use the platform's protocol: one process
 * with a listener per server. Each argument is IP:port,INSTANCE,SLOTS,MS, the
 * last being the service time. A request with the query bytes=N&over_ms=M gets
 * a response of N bytes, its id repeated, spread over M ms. framing=chunked
 * and framing=close mark the end of a response by chunks, or by closing the
 * connection. With early=N a response of N bytes is sent before the body of
 * the request is read, which is then read on; early_status=503 makes it a
 * refusal. With read_ms=M each block of
 * that body takes M ms, and with close_at=N the connection is closed after N
 * bytes of it.
 *
 * /control?mode=M&ms=N&times=K sets the failure mode of the server addressed,
 * for its next K requests if K is given, and its service time; status=N is the
 * status of its responses in the modes "status" and "unsealed"; instance=I
 * changes its instance name; leaving=1 makes its responses announce that it
 * leaves, and work=N makes its service time N percent and tells so in its
 * load; retry_after=TEXT adds that to its refusals; deaf=1 makes connections
 * to the server hang until the process ends.
 *
 * /health responds with the server's load.
 *
 * Counted for all servers together and served by each: /stats has the totals,
 * /ran?id=ID how often a request ran, /told?id=ID the last timeout sent with
 * it in ms, /head?id=ID the headers of its last attempt if it had the header
 * X-Record, and /runs the run count of every id. /arrived counts the requests
 * received by the server addressed.
 */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "standin.h"

#define EXTRA_IDLE_MS 20   /* before the second response in MODE_EXTRA_IDLE */
#define POLL_INTERVAL_MS 5 /* checks whether the client has disconnected */
#define MAX_SERVERS 64
#define DEAF_CONNECTIONS 4 /* more than a queue of length 0 takes */
#define BODY_PREFIX "answer to "
#define LARGE_BLOCK_BYTES (8 * 1024)
#define HOARD_BYTES (900 * 1024)       /* in MODE_HOARD */
#define UNTIL_CLOSE_BYTES (100 * 1024) /* in MODE_UNTIL */

typedef enum {
    MODE_OK = 0,
    MODE_REFUSE,   /* responds that the request was not executed */
    MODE_ERROR,    /* runs it and responds 500 */
    MODE_LOSE,     /* runs it and closes the connection */
    MODE_CROSS,    /* runs it and responds with another request's id */
    MODE_SHORT,    /* runs it and truncates the body */
    MODE_UNSEALED, /* runs it and omits the seal */
    MODE_SILENT,   /* runs it and never responds */
    MODE_EXTRA,    /* runs it and sends a second response after the first */
    MODE_EXTRA_REFUSAL, /* as MODE_EXTRA, a refusal without an id */
    MODE_EXTRA_IDLE,    /* as MODE_EXTRA, when the client has read the first */
    MODE_JUNK, /* runs it and sends bytes that are no response, without end */
    MODE_HEAD, /* runs it and sends a head without end */
    MODE_INTERIM, /* runs it and sends interim responses without end */
    MODE_BODY,    /* runs it and sends a body without end */
    MODE_BREAK,   /* as MODE_BODY, but closes the connection after 300 KB */
    MODE_LATE,    /* before the response, repeats one of an earlier request */
    MODE_LATE_REFUSAL, /* as MODE_LATE, a refusal without an id */
    MODE_UNTIL,  /* runs it and marks the end by closing the connection */
    MODE_HOARD,  /* runs it, sends 900 KB of a failure and no more */
    MODE_STATUS, /* runs it and responds with a status of its own */
    /* The rest run it, send a text and close the connection: after a part of
     * the response, and in order, unless said otherwise. */
    MODE_CUT_STATUS,   /* after the status line */
    MODE_CUT_ID,       /* in the head, after the id */
    MODE_CUT_SEAL,     /* in the head, after the seal */
    MODE_CUT_LENGTH,   /* in the head, after the length */
    MODE_CUT_REFUSAL,  /* in the head of a refusal */
    MODE_CUT_INTERIM,  /* after an interim response */
    MODE_CUT_CHUNK,    /* before the last chunk */
    MODE_CUT_RESET,    /* as MODE_CUT_SEAL, by a reset */
    MODE_TRAILER,      /* after the response, with a refusal in its trailer */
    MODE_UPGRADE,      /* after a status 101 that was not asked for */
    MODE_JOIN_STATUS,  /* a success cut in its head, then a failure */
    MODE_JOIN_LENGTH,  /* cut in its head, then a shorter response */
    MODE_JOIN_ID,      /* of another request and cut, then the response */
    MODE_JOIN_LEAVING, /* a part that announces that the server leaves */
    MODE_JOIN_BODY,    /* cut in its body, then the whole response */
    MODE_JOIN_END,     /* cut in a body without a length, then a response */
    MODE_SHORT_LENGTH, /* whole, of a body longer than its length */
    MODE_UNFRAMED,   /* without a length, on a connection that is to be kept */
    MODE_COPY,       /* whole, and once more */
    MODE_HOP,        /* after the response, with headers of its connection */
    MODE_STATUS_000, /* whole, with a status that is none */
    MODE_STATUS_600,
    MODE_STATUS_999,
    MODE_COUNT
} Mode;

typedef struct {
    char address[CP_ADDR_BYTES];
    char instance[CP_NAME_BYTES];
    uint64_t slots;
    uint64_t service_ms;
    Mode mode;
    uint64_t mode_requests_left; /* before the mode ends; 0: no limit */
    uint32_t status;             /* in MODE_STATUS */
    uint64_t inflight;
    uint64_t arrived;
    uint64_t work_percent; /* of service_ms, and in the load; 0: not told */
    bool leaving;
    char retry_after[32]; /* "": none */
    struct MHD_Daemon *daemon;
} Server;

typedef struct {
    GString *body;
    int32_t fd;        /* the connection's socket */
    const char *extra; /* sent after the response; NULL: nothing */
    uint64_t extra_delay_ms;
    uint64_t read_ms;  /* for each block of the body */
    uint64_t close_at; /* bytes of the body; 0: none */
    bool responded;    /* before the body was read */
} Request;

/* A large response while it is sent. */
typedef struct {
    char id[CP_NAME_BYTES];
    uint64_t size_bytes;        /* as announced in Content-Length */
    uint64_t truncate_at_bytes; /* size_bytes, or less in MODE_SHORT */
    uint64_t duration_ms;
    uint64_t sent_bytes;
} LargeResponse;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_OK] = "ok",
    [MODE_REFUSE] = "refuse",
    [MODE_ERROR] = "error",
    [MODE_LOSE] = "lose",
    [MODE_CROSS] = "cross",
    [MODE_SHORT] = "short",
    [MODE_UNSEALED] = "unsealed",
    [MODE_SILENT] = "silent",
    [MODE_EXTRA] = "extra",
    [MODE_EXTRA_REFUSAL] = "extra-refusal",
    [MODE_EXTRA_IDLE] = "extra-idle",
    [MODE_JUNK] = "junk",
    [MODE_HEAD] = "head",
    [MODE_INTERIM] = "interim",
    [MODE_BODY] = "body",
    [MODE_BREAK] = "break",
    [MODE_LATE] = "late",
    [MODE_LATE_REFUSAL] = "late-refusal",
    [MODE_UNTIL] = "until",
    [MODE_HOARD] = "hoard",
    [MODE_STATUS] = "status",
    [MODE_CUT_STATUS] = "cut-status",
    [MODE_CUT_ID] = "cut-id",
    [MODE_CUT_SEAL] = "cut-seal",
    [MODE_CUT_LENGTH] = "cut-length",
    [MODE_CUT_REFUSAL] = "cut-refusal",
    [MODE_CUT_INTERIM] = "cut-interim",
    [MODE_CUT_CHUNK] = "cut-chunk",
    [MODE_CUT_RESET] = "cut-reset",
    [MODE_TRAILER] = "trailer",
    [MODE_UPGRADE] = "upgrade",
    [MODE_HOP] = "hop",
    [MODE_JOIN_STATUS] = "join-status",
    [MODE_JOIN_LENGTH] = "join-length",
    [MODE_JOIN_ID] = "join-id",
    [MODE_JOIN_LEAVING] = "join-leaving",
    [MODE_JOIN_BODY] = "join-body",
    [MODE_JOIN_END] = "join-end",
    [MODE_SHORT_LENGTH] = "short-length",
    [MODE_UNFRAMED] = "unframed",
    [MODE_COPY] = "copy",
    [MODE_STATUS_000] = "status-000",
    [MODE_STATUS_600] = "status-600",
    [MODE_STATUS_999] = "status-999",
};

#define CUT_HEAD "HTTP/1.1 200 OK\r\n"
#define CUT_ID CUT_HEAD "Chestnutpaddle-Attempt-Id: %1$s\r\n"
#define CUT_SEAL CUT_ID "Chestnutpaddle-Response-Seal: %2$s\r\n"
#define WITH_STATUS(status)                                                   \
    "HTTP/1.1 " status " Odd\r\nChestnutpaddle-Attempt-Id: %1$s\r\n"          \
    "Chestnutpaddle-Response-Seal: %2$s\r\nContent-Length: 5\r\n\r\nwhole"
/* What is sent in the modes that send a text: formats for the response's id
 * and its seal. */
static const char *const raw_responses[MODE_COUNT] = {
    [MODE_CUT_STATUS] = CUT_HEAD,
    [MODE_CUT_ID] = CUT_ID,
    [MODE_CUT_SEAL] = CUT_SEAL,
    [MODE_CUT_LENGTH] = CUT_SEAL "Content-Length: 5\r\n",
    [MODE_CUT_REFUSAL] = "HTTP/1.1 503 Service Unavailable\r\n"
                         "Chestnutpaddle-Attempt-Id: %1$s\r\n"
                         "Chestnutpaddle-Not-Executed: 1\r\n",
    [MODE_CUT_INTERIM] = "HTTP/1.1 102 Processing\r\n\r\n",
    [MODE_CUT_CHUNK] =
        CUT_SEAL "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n",
    [MODE_CUT_RESET] = CUT_SEAL,
    [MODE_UPGRADE] =
        "HTTP/1.1 101 Switching Protocols\r\n"
        "Chestnutpaddle-Attempt-Id: %1$s\r\n"
        "Chestnutpaddle-Response-Seal: %2$s\r\nContent-Length: 5\r\n\r\nwrong",
    [MODE_HOP] = CUT_SEAL
    "Connection: X-Hop, close\r\nX-Hop: 1\r\nX-End: 2\r\nX-Empty:\r\n"
    "Connection: Chestnutpaddle-Response-Seal\r\nKeep-Alive: timeout=9\r\n"
    "Date: Mon, 01 Jan 2001 00:00:00 GMT\r\nTrailer: X-Sum\r\n"
    "Content-Length: 5\r\n\r\nwhole",
    [MODE_TRAILER] = CUT_SEAL "Transfer-Encoding: chunked\r\n\r\n"
                              "5\r\nwhole\r\n0\r\n"
                              "Chestnutpaddle-Not-Executed: 1\r\n"
                              "\r\n",
    [MODE_JOIN_STATUS] = CUT_SEAL "Keep-Alive: timeout=1"
                                  "HTTP/1.1 500 Internal Server Error\r\n"
                                  "Chestnutpaddle-Attempt-Id: %1$s\r\n"
                                  "Chestnutpaddle-Response-Seal: %2$s\r\n"
                                  "Content-Length: 5\r\n\r\nwrong",
    [MODE_JOIN_LENGTH] = CUT_SEAL "Content-Length: 20" CUT_HEAD
                                  "Chestnutpaddle-Response-Seal: other\r\n"
                                  "Content-Length: 2\r\n\r\nok",
    [MODE_JOIN_ID] = CUT_HEAD "Chestnutpaddle-Attempt-Id: another\r\n"
                              "X-Of: another\r\nKeep-Alive: 1" CUT_SEAL
                              "Content-Length: 5\r\n\r\nwhole",
    [MODE_JOIN_LEAVING] =
        CUT_HEAD "Server-Leaving: 1\r\nKeep-Alive: timeout=1" CUT_SEAL
                 "Content-Length: 5\r\n\r\nwhole",
    [MODE_JOIN_BODY] = CUT_SEAL
    "Content-Length: 99\r\n\r\npart" CUT_SEAL "Content-Length: 99\r\n\r\n"
    "a body of some length, so that a part of it is needed to "
    "fill up the length of the one that was cut",
    [MODE_JOIN_END] = CUT_SEAL
    "\r\npart of a body that has no length" CUT_HEAD
    "Chestnutpaddle-Response-Seal: other\r\nContent-Length: 2\r\n\r\nok",
    [MODE_SHORT_LENGTH] =
        CUT_SEAL "Content-Length: 5\r\n\r\nwhole body of a server",
    [MODE_UNFRAMED] = CUT_SEAL "Keep-Alive: timeout=10\r\n\r\nwhole",
    [MODE_COPY] = CUT_SEAL "Content-Length: 5\r\n\r\nwhole" CUT_SEAL
                           "Content-Length: 5\r\n\r\nwhole",
    [MODE_STATUS_000] = WITH_STATUS("000"),
    [MODE_STATUS_600] = WITH_STATUS("600"),
    [MODE_STATUS_999] = WITH_STATUS("999"),
};

static const char stale_response[] =
    "HTTP/1.1 200 OK\r\nChestnutpaddle-Attempt-Id: stale\r\n"
    "Chestnutpaddle-Response-Seal: stale\r\nContent-Length: 5\r\n\r\nstale";
static const char stale_refusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nChestnutpaddle-Not-Executed: 1\r\n"
    "Content-Length: 3\r\n\r\n{}\n";
static uint64_t break_at_bytes = 300 * 1024; /* in MODE_BREAK */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* guards all below */
static Server servers[MAX_SERVERS];
static GHashTable *run_counts;       /* request id -> runs */
static GHashTable *last_timeouts_ms; /* request id -> timeout */
static GHashTable *recorded_heads;   /* request id -> lines of headers */
/* Totals of all servers, for /stats. */
static uint64_t arrived, run_total, refused, wrong_instance, cancelled, hops,
    longest_timeout_ms, over_slots;
static uint64_t read_after_response; /* bytes of bodies, with early=N */
static uint64_t large_aborted; /* the client disconnected during the body */

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static enum MHD_Result handle_control(struct MHD_Connection *conn, Server *s);
static void stop_accepting(Server *s);
static enum MHD_Result respond_stats(struct MHD_Connection *conn);
static enum MHD_Result respond_runs(struct MHD_Connection *conn);
static enum MHD_Result respond_head(struct MHD_Connection *conn);
static void record_head(struct MHD_Connection *conn, const char *id);
static enum MHD_Result append_header(void *ctx, enum MHD_ValueKind kind,
                                     const char *name, const char *value);
static enum MHD_Result respond_health(struct MHD_Connection *conn,
                                      const Server *s);
static void describe_load(const Server *s, char *out, size_t out_bytes);
static enum MHD_Result run_request(struct MHD_Connection *conn, Server *s,
                                   Request *q, const char *url,
                                   const char *method);
static enum MHD_Result refuse(struct MHD_Connection *conn, const Server *s,
                              uint32_t status);
static struct MHD_Response *create_large_response(struct MHD_Connection *conn,
                                                  const char *id,
                                                  uint64_t bytes, Mode mode);
static ssize_t read_large(void *ctx, uint64_t pos, char *out, size_t capacity);
static void end_large(void *ctx);
static ssize_t read_endless(void *ctx, uint64_t pos, char *out,
                            size_t capacity);
static void send_endless(int32_t fd, Mode mode);
static GString *create_body(const char *id, const char *text, uint64_t bytes);
static ssize_t read_body(void *ctx, uint64_t pos, char *out, size_t capacity);
static void free_body(void *ctx);
static void send_early(struct MHD_Connection *conn, Request *q);
static void send_until_close(int32_t fd, const char *id, const char *seal,
                             const char *more_head, const GString *body);
static void send_hoard(int32_t fd, const char *id, const char *seal);
static void send_raw(int32_t fd, Mode mode, const char *id, const char *seal);
static bool simulate_work(Server *s, int32_t fd, uint64_t timeout_ms);
static ssize_t read_short(void *ctx, uint64_t pos, char *out, size_t capacity);

int
main(int argc, char **argv)
{
    CpStandin_BlockSignals();
    run_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    last_timeouts_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    recorded_heads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 1; i < argc && i < MAX_SERVERS; i++) {
        char **fields = g_strsplit(argv[i], ",", 4);
        Server *s = &servers[i];
        CpStr_Copy(s->address, sizeof(s->address), fields[0]);
        CpStr_Copy(s->instance, sizeof(s->instance), fields[1]);
        s->slots = strtoull(fields[2], NULL, 10);
        s->service_ms = strtoull(fields[3], NULL, 10);
        g_strfreev(fields);
        s->daemon = CpStandin_Listen(s->address, on_request, s, on_completed);
    }
    CpStandin_WaitForStop();
    for (int i = 1; i < argc && i < MAX_SERVERS; i++) {
        MHD_stop_daemon(servers[i].daemon);
    }
    return 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    Request *q = *state;
    (void)version;
    if (q == NULL) {
        q = CpMem_Alloc(sizeof(*q));
        q->body = g_string_new(NULL);
        q->fd = CpStandin_Socket(conn);
        q->read_ms = CpStandin_GetQueryNumber(conn, "read_ms", 0);
        q->close_at = CpStandin_GetQueryNumber(conn, "close_at", 0);
        *state = q;
        send_early(conn, q);
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        if (q->read_ms > 0) {
            CpStandin_Sleep_ms(q->read_ms);
        }
        if (q->close_at > 0 && q->body->len + *data_bytes >= q->close_at) {
            return MHD_NO;
        }
        g_string_append_len(q->body, data, (gssize)*data_bytes);
        *data_bytes = 0;
        return MHD_YES;
    }
    if (q->responded) {
        pthread_mutex_lock(&lock);
        read_after_response += q->body->len;
        pthread_mutex_unlock(&lock);
        return MHD_NO;
    }
    if (strcmp(url, "/control") == 0) {
        return handle_control(conn, ctx);
    }
    if (strcmp(url, "/stats") == 0) {
        return respond_stats(conn);
    }
    if (strcmp(url, "/runs") == 0) {
        return respond_runs(conn);
    }
    if (strcmp(url, "/head") == 0) {
        return respond_head(conn);
    }
    if (strcmp(url, "/arrived") == 0) {
        pthread_mutex_lock(&lock);
        uint64_t count = ((const Server *)ctx)->arrived;
        pthread_mutex_unlock(&lock);
        return CpStandin_Respond(
            conn, 200, g_strdup_printf("%llu\n", (unsigned long long)count));
    }
    if (strcmp(url, "/health") == 0) {
        return respond_health(conn, ctx);
    }
    bool wants_timeout = strcmp(url, "/told") == 0;
    if (wants_timeout || strcmp(url, "/ran") == 0) {
        pthread_mutex_lock(&lock);
        uint32_t count = GPOINTER_TO_UINT(
            g_hash_table_lookup(wants_timeout ? last_timeouts_ms : run_counts,
                                CpStandin_GetQueryText(conn, "id", "")));
        pthread_mutex_unlock(&lock);
        return CpStandin_Respond(conn, 200, g_strdup_printf("%u\n", count));
    }
    return run_request(conn, ctx, q, url, method);
}

/* Frees the request. In the modes for it, first sends a second response, which
 * the client may take for the response to its next request. */
static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    Request *q = *state;
    (void)ctx, (void)conn, (void)code;
    if (q != NULL) {
        if (q->extra != NULL) {
            CpStandin_Sleep_ms(q->extra_delay_ms);
            CpStandin_Send(q->fd, q->extra, strlen(q->extra));
        }
        g_string_free(q->body, TRUE);
        free(q);
        *state = NULL;
    }
}

static enum MHD_Result
handle_control(struct MHD_Connection *conn, Server *s)
{
    const char *mode_name = CpStandin_GetQueryText(conn, "mode", "");
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(mode_name, mode_names[i]) == 0) {
            s->mode = i;
        }
    }
    s->service_ms = CpStandin_GetQueryNumber(conn, "ms", s->service_ms);
    s->mode_requests_left = CpStandin_GetQueryNumber(conn, "times", 0);
    s->status = (uint32_t)CpStandin_GetQueryNumber(
        conn, "status", s->mode == MODE_UNSEALED ? 200 : 500);
    const char *instance =
        CpStandin_GetQueryText(conn, "instance", s->instance);
    CpStr_Copy(s->instance, sizeof(s->instance), instance);
    s->leaving = CpStandin_GetQueryNumber(conn, "leaving", s->leaving) != 0;
    s->work_percent = CpStandin_GetQueryNumber(conn, "work", s->work_percent);
    CpStr_Copy(s->retry_after, sizeof(s->retry_after),
               CpStandin_GetQueryText(conn, "retry_after", ""));
    pthread_mutex_unlock(&lock);
    if (CpStandin_GetQueryNumber(conn, "deaf", 0) != 0) {
        stop_accepting(s);
    }
    return CpStandin_Respond(conn, 200, g_strdup("{}\n"));
}

/* Fills the queue of connections that are not accepted, so that the kernel
 * ignores further ones. The sockets stay open. */
static void
stop_accepting(Server *s)
{
    struct sockaddr_storage sa;
    uint32_t n = CpAddress_Parse(s->address, &sa);
    int32_t listen_fd = MHD_quiesce_daemon(s->daemon);
    if (listen_fd < 0 || listen(listen_fd, 0) != 0) {
        fprintf(stderr, "standin-routed: cannot stop accepting\n");
        return;
    }
    for (uint32_t i = 0; i < DEAF_CONNECTIONS; i++) {
        int32_t fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
        if (connect(fd, (struct sockaddr *)&sa, n) != 0 &&
            errno != EINPROGRESS) {
            fprintf(stderr, "standin-routed: cannot fill the queue\n");
        }
    }
}

static enum MHD_Result
respond_stats(struct MHD_Connection *conn)
{
    GHashTableIter iter;
    void *run_count;
    uint32_t repeated = 0;
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&iter, run_counts);
    while (g_hash_table_iter_next(&iter, NULL, &run_count)) {
        repeated += GPOINTER_TO_UINT(run_count) > 1;
    }
    char *text = g_strdup_printf(
        "{\"arrived\":%llu,\"runs\":%llu,\"refused\":%llu,\"wrong\":%llu,"
        "\"cancelled\":%llu,\"hops\":%llu,\"longest_ms\":%llu,\"over\":%llu,"
        "\"large_left\":%llu,\"read_after\":%llu,"
        "\"doubled\":%u}\n",
        (unsigned long long)arrived, (unsigned long long)run_total,
        (unsigned long long)refused, (unsigned long long)wrong_instance,
        (unsigned long long)cancelled, (unsigned long long)hops,
        (unsigned long long)longest_timeout_ms, (unsigned long long)over_slots,
        (unsigned long long)large_aborted,
        (unsigned long long)read_after_response, repeated);
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, text);
}

static enum MHD_Result
respond_health(struct MHD_Connection *conn, const Server *s)
{
    static char text[] = "{}\n";
    char load[64];
    pthread_mutex_lock(&lock);
    describe_load(s, load, sizeof(load));
    pthread_mutex_unlock(&lock);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        sizeof(text) - 1, text, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(r, "Chestnutpaddle-Server-Load", load);
    enum MHD_Result ok = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    return ok;
}

/* Describes the load of a server as its load header does. */
static void
describe_load(const Server *s, char *out, size_t out_bytes)
{
    int n = snprintf(out, out_bytes, "%llu,0,%llu",
                     (unsigned long long)s->inflight,
                     (unsigned long long)s->slots);
    if (s->work_percent > 0) {
        snprintf(out + n, out_bytes - (size_t)n, ",%llu",
                 (unsigned long long)s->work_percent);
    }
}

static enum MHD_Result
respond_runs(struct MHD_Connection *conn)
{
    GHashTableIter iter;
    void *id, *run_count;
    GString *text = g_string_new(NULL);
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&iter, run_counts);
    while (g_hash_table_iter_next(&iter, &id, &run_count)) {
        g_string_append_printf(text, "%s %u\n", (const char *)id,
                               GPOINTER_TO_UINT(run_count));
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_string_free(text, FALSE));
}

static enum MHD_Result
respond_head(struct MHD_Connection *conn)
{
    pthread_mutex_lock(&lock);
    const char *lines = g_hash_table_lookup(
        recorded_heads, CpStandin_GetQueryText(conn, "id", ""));
    char *text = g_strdup(lines != NULL ? lines : "");
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, text);
}

/* Called under the lock. */
static void
record_head(struct MHD_Connection *conn, const char *id)
{
    GString *lines = g_string_new(NULL);
    MHD_get_connection_values(conn, MHD_HEADER_KIND, append_header, lines);
    g_hash_table_replace(recorded_heads, g_strdup(id),
                         g_string_free(lines, FALSE));
}

static enum MHD_Result
append_header(void *ctx, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
    (void)kind;
    g_string_append_printf(ctx, "%s: %s\n", name, value);
    return MHD_YES;
}

/* Admits a request if its instance and the slots allow, simulates its run and
 * responds as the mode at its arrival demands. */
static enum MHD_Result
run_request(struct MHD_Connection *conn, Server *s, Request *q,
            const char *url, const char *method)
{
    const char *id = CpStandin_GetHeader(conn, "Chestnutpaddle-Attempt-Id");
    const char *target_instance =
        CpStandin_GetHeader(conn, "Chestnutpaddle-Target-Instance");
    const char *timeout =
        CpStandin_GetHeader(conn, "Chestnutpaddle-Timeout-Ms");
    uint64_t timeout_ms = timeout != NULL ? strtoull(timeout, NULL, 10) : 0;
    char load[64], seal[CP_NAME_BYTES + 8];
    if (id == NULL) {
        return refuse(conn, s, 400);
    }
    bool is_reused = CpStandin_CountUse(conn) > 1;
    pthread_mutex_lock(&lock);
    arrived++;
    s->arrived++;
    hops += CpStandin_GetHeader(conn, "X-Hop") != NULL;
    longest_timeout_ms =
        timeout_ms > longest_timeout_ms ? timeout_ms : longest_timeout_ms;
    g_hash_table_replace(last_timeouts_ms, g_strdup(id),
                         GUINT_TO_POINTER(timeout_ms));
    if (CpStandin_GetHeader(conn, "X-Record") != NULL) {
        record_head(conn, id);
    }
    Mode mode = s->mode;
    uint32_t status = mode == MODE_STATUS || mode == MODE_UNSEALED ? s->status
                      : mode == MODE_ERROR                         ? 500
                                                                   : 200;
    if (s->mode_requests_left > 0 && --s->mode_requests_left == 0) {
        s->mode = MODE_OK;
    }
    bool is_other_instance =
        target_instance != NULL && strcmp(target_instance, s->instance) != 0;
    bool is_full = s->inflight >= s->slots;
    wrong_instance += is_other_instance;
    refused += !is_other_instance && (is_full || mode == MODE_REFUSE);
    over_slots += is_full;
    if (!is_other_instance && !is_full && mode != MODE_REFUSE) {
        s->inflight++;
        run_total++;
        uint32_t previous_runs =
            GPOINTER_TO_UINT(g_hash_table_lookup(run_counts, id));
        g_hash_table_replace(run_counts, g_strdup(id),
                             GUINT_TO_POINTER(previous_runs + 1));
    }
    pthread_mutex_unlock(&lock);
    if (is_other_instance) {
        return refuse(conn, s, 421);
    }
    if (is_full || mode == MODE_REFUSE) {
        return refuse(conn, s, 503);
    }
    bool connected = simulate_work(s, q->fd, timeout_ms);
    while (connected && mode == MODE_SILENT) {
        struct pollfd p = {.fd = q->fd, .events = POLLRDHUP};
        connected = poll(&p, 1, POLL_INTERVAL_MS) == 0;
    }
    pthread_mutex_lock(&lock);
    s->inflight--;
    cancelled += !connected;
    describe_load(s, load, sizeof(load));
    snprintf(seal, sizeof(seal), "seal-%s", s->instance);
    pthread_mutex_unlock(&lock);
    if (!connected || mode == MODE_LOSE) {
        return MHD_NO;
    }
    if (mode == MODE_JUNK || mode == MODE_HEAD || mode == MODE_INTERIM) {
        send_endless(q->fd, mode);
        return MHD_NO;
    }
    if ((mode == MODE_LATE || mode == MODE_LATE_REFUSAL) && is_reused) {
        const char *stale = mode == MODE_LATE ? stale_response : stale_refusal;
        CpStandin_Send(q->fd, stale, strlen(stale));
    }
    if (mode == MODE_UNTIL) {
        GString *body = create_body("u", "", UNTIL_CLOSE_BYTES);
        send_until_close(q->fd, id, seal, "", body);
        free_body(body);
        return MHD_NO;
    }
    if (mode == MODE_HOARD) {
        send_hoard(q->fd, id, seal);
        return MHD_NO;
    }
    if (raw_responses[mode] != NULL) {
        send_raw(q->fd, mode, id, seal);
        return MHD_NO;
    }
    uint64_t large_bytes = CpStandin_GetQueryNumber(conn, "bytes", 0);
    char *text =
        g_strdup_printf(BODY_PREFIX "%s %s %s\n", method, url, q->body->str);
    size_t text_bytes = strlen(text);
    const char *framing = CpStandin_GetQueryText(conn, "framing", "");
    if (strcmp(framing, "close") == 0) {
        GString *body = create_body(id, text, large_bytes);
        send_until_close(q->fd, id, seal, "Connection: close\r\n", body);
        free_body(body);
        g_free(text);
        return MHD_NO;
    }
    bool is_chunked = strcmp(framing, "chunked") == 0;
    struct MHD_Response *r =
        mode == MODE_BODY || mode == MODE_BREAK
            ? MHD_create_response_from_callback(
                  MHD_SIZE_UNKNOWN, LARGE_BLOCK_BYTES, read_endless,
                  mode == MODE_BREAK ? &break_at_bytes : NULL, NULL)
        : is_chunked ? MHD_create_response_from_callback(
                           MHD_SIZE_UNKNOWN, LARGE_BLOCK_BYTES, read_body,
                           create_body(id, text, large_bytes), free_body)
        : large_bytes > 0 ? create_large_response(conn, id, large_bytes, mode)
        : mode == MODE_SHORT
            ? MHD_create_response_from_callback(text_bytes + 100, 256,
                                                read_short, text, g_free)
            : MHD_create_response_from_buffer(text_bytes, text,
                                              MHD_RESPMEM_MUST_FREE);
    if (large_bytes > 0 || is_chunked || mode == MODE_BODY ||
        mode == MODE_BREAK) {
        g_free(text);
    }
    if (s->leaving) {
        MHD_add_response_header(r, "Server-Leaving", "1");
    }
    MHD_add_response_header(r, "Chestnutpaddle-Attempt-Id",
                            mode == MODE_CROSS ? "another" : id);
    MHD_add_response_header(r, "Chestnutpaddle-Server-Load", load);
    if (mode != MODE_UNSEALED) {
        MHD_add_response_header(r, "Chestnutpaddle-Response-Seal", seal);
    }
    q->extra_delay_ms = mode == MODE_EXTRA_IDLE ? EXTRA_IDLE_MS : 0;
    q->extra = mode == MODE_EXTRA || mode == MODE_EXTRA_IDLE ? stale_response
               : mode == MODE_EXTRA_REFUSAL                  ? stale_refusal
                                                             : NULL;
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

static struct MHD_Response *
create_large_response(struct MHD_Connection *conn, const char *id,
                      uint64_t bytes, Mode mode)
{
    LargeResponse *large = CpMem_Alloc(sizeof(*large));
    CpStr_Copy(large->id, sizeof(large->id), id);
    large->size_bytes = bytes;
    large->truncate_at_bytes = mode == MODE_SHORT ? bytes / 2 : bytes;
    large->duration_ms = CpStandin_GetQueryNumber(conn, "over_ms", 0);
    return MHD_create_response_from_callback(bytes, LARGE_BLOCK_BYTES,
                                             read_large, large, end_large);
}

/* Body callback: repeats the id and spreads the bytes over duration_ms. */
static ssize_t
read_large(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    LargeResponse *large = ctx;
    size_t width = strlen(large->id);
    if (pos >= large->truncate_at_bytes) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    uint64_t n = large->truncate_at_bytes - pos < capacity
                     ? large->truncate_at_bytes - pos
                     : capacity;
    for (uint64_t i = 0; i < n; i++) {
        out[i] = large->id[(pos + i) % width];
    }
    CpStandin_Sleep_ms(large->duration_ms * n / large->size_bytes);
    large->sent_bytes = pos + n;
    return (ssize_t)n;
}

/* Counts an aborted response and frees it. */
static void
end_large(void *ctx)
{
    LargeResponse *large = ctx;
    pthread_mutex_lock(&lock);
    large_aborted += large->sent_bytes < large->truncate_at_bytes;
    pthread_mutex_unlock(&lock);
    free(large);
}

/* Responds without running the request: with status 421 the response names the
 * instance, otherwise it has the header for requests not executed. */
static enum MHD_Result
refuse(struct MHD_Connection *conn, const Server *s, uint32_t status)
{
    static char text[] = "{}\n";
    struct MHD_Response *r = MHD_create_response_from_buffer(
        sizeof(text) - 1, text, MHD_RESPMEM_PERSISTENT);
    if (status == 421) {
        MHD_add_response_header(r, "Chestnutpaddle-Instance-Id", s->instance);
    }
    else {
        MHD_add_response_header(r, "Chestnutpaddle-Not-Executed", "1");
    }
    if (s->leaving) {
        MHD_add_response_header(r, "Server-Leaving", "1");
    }
    if (status == 503 && s->retry_after[0] != '\0') {
        MHD_add_response_header(r, "Retry-After", s->retry_after);
    }
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

/* Body callback: sends bytes until the client disconnects, or breaks off. */
static ssize_t
read_endless(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    const uint64_t *break_at = ctx;
    if (break_at != NULL && pos >= *break_at) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    memset(out, 'x', capacity);
    return (ssize_t)capacity;
}

/* Sends until the client disconnects. */
static void
send_endless(int32_t fd, Mode mode)
{
    static const char line[] = "X-Filler: more and more and more of it\r\n";
    static const char interim[] = "HTTP/1.1 102 Processing\r\n\r\n";
    const char *text = mode == MODE_JUNK      ? "no such thing "
                       : mode == MODE_INTERIM ? interim
                                              : line;
    bool ok =
        mode != MODE_HEAD || CpStandin_Send(fd, CUT_HEAD, strlen(CUT_HEAD));
    while (ok) {
        ok = CpStandin_Send(fd, text, strlen(text));
    }
}

/* Returns the text, or the id repeated if a number of bytes is asked for. */
static GString *
create_body(const char *id, const char *text, uint64_t bytes)
{
    GString *body = g_string_new(bytes > 0 ? "" : text);
    size_t width = strlen(id);
    for (uint64_t i = 0; i < bytes; i++) {
        g_string_append_c(body, id[i % width]);
    }
    return body;
}

/* Body callback: supplies a body and marks its end. */
static ssize_t
read_body(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    const GString *body = ctx;
    if (pos >= body->len) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_t n = body->len - pos < capacity ? body->len - pos : capacity;
    memcpy(out, body->str + pos, n);
    return (ssize_t)n;
}

static void
free_body(void *ctx)
{
    g_string_free(ctx, TRUE);
}

/* Sends a response without a length. */
static void
send_until_close(int32_t fd, const char *id, const char *seal,
                 const char *more_head, const GString *body)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "HTTP/1.1 200 OK\r\nChestnutpaddle-Attempt-Id: %s\r\n"
                    "Chestnutpaddle-Response-Seal: %s\r\n%s\r\n",
                    id, seal, more_head);
    g_string_append_len(text, body->str, (gssize)body->len);
    CpStandin_Send(fd, text->str, text->len);
    g_string_free(text, TRUE);
}

/* Sends a response beside the library, before the body is read. */
static void
send_early(struct MHD_Connection *conn, Request *q)
{
    uint64_t n = CpStandin_GetQueryNumber(conn, "early", 0);
    uint64_t status = CpStandin_GetQueryNumber(conn, "early_status", 200);
    const char *id = CpStandin_GetHeader(conn, "Chestnutpaddle-Attempt-Id");
    if (n == 0 || id == NULL) {
        return;
    }
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "HTTP/1.1 %llu Early\r\nChestnutpaddle-Attempt-Id: %s\r\n"
                    "Chestnutpaddle-Response-Seal: early\r\n%s"
                    "Content-Length: %llu\r\n\r\n",
                    (unsigned long long)status, id,
                    status == 503 ? "Chestnutpaddle-Not-Executed: 1\r\n" : "",
                    (unsigned long long)n);
    for (uint64_t i = 0; i < n; i++) {
        g_string_append_c(text, 'e');
    }
    CpStandin_Send(q->fd, text->str, text->len);
    g_string_free(text, TRUE);
    q->responded = true;
}

/* Sends a part of a chunk and waits until the client disconnects. */
static void
send_hoard(int32_t fd, const char *id, const char *seal)
{
    struct pollfd p = {.fd = fd, .events = POLLRDHUP};
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "HTTP/1.1 500 Internal Server Error\r\n"
                    "Chestnutpaddle-Attempt-Id: %s\r\n"
                    "Chestnutpaddle-Response-Seal: %s\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n%x\r\n",
                    id, seal, 2 * HOARD_BYTES);
    for (uint32_t i = 0; i < HOARD_BYTES; i++) {
        g_string_append_c(text, 'h');
    }
    if (CpStandin_Send(fd, text->str, text->len)) {
        poll(&p, 1, -1);
    }
    g_string_free(text, TRUE);
}

static void
send_raw(int32_t fd, Mode mode, const char *id, const char *seal)
{
    char *text = g_strdup_printf(raw_responses[mode], id, seal);
    CpStandin_Send(fd, text, strlen(text));
    const struct sockaddr nowhere = {.sa_family = AF_UNSPEC};
    if (mode == MODE_CUT_RESET &&
        connect(fd, &nowhere, sizeof(nowhere)) != 0) {
        fprintf(stderr, "standin-routed: cannot reset a connection\n");
    }
    g_free(text);
}

/* Waits for the service time or the request's timeout (0: none), whichever is
 * shorter; returns false if the client disconnects meanwhile. */
static bool
simulate_work(Server *s, int32_t fd, uint64_t timeout_ms)
{
    pthread_mutex_lock(&lock);
    uint64_t work_ms = s->service_ms;
    if (s->work_percent > 0) {
        work_ms = work_ms * s->work_percent / 100;
    }
    pthread_mutex_unlock(&lock);
    work_ms = timeout_ms > 0 && timeout_ms < work_ms ? timeout_ms : work_ms;
    for (uint64_t elapsed_ms = 0; elapsed_ms < work_ms;
         elapsed_ms += POLL_INTERVAL_MS) {
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        if (poll(&p, 1, 0) > 0) {
            return false;
        }
        CpStandin_Sleep_ms(POLL_INTERVAL_MS);
    }
    return true;
}

/* Body callback: supplies the text, then fails before the announced length. */
static ssize_t
read_short(void *ctx, uint64_t pos, char *out, size_t capacity)
{
    const char *text = ctx;
    size_t n = strlen(text);
    if (pos >= n) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    n -= pos;
    n = n < capacity ? n : capacity;
    memcpy(out, text + pos, n);
    return (ssize_t)n;
}
