/*
 * Stand-in of backend servers that speak the platform's messages: one
 * process, many listeners. Each argument is IP:port,INSTANCE,SLOTS,MS. What
 * all of them saw is at /stats on any of them; /control?mode=M&ms=N&times=K
 * changes how one answers, for its next K requests where K is given, and
 * /ran?id=ID tells how often a request ran, /told?id=ID the time, in ms, that
 * it was last given. /runs lists all ids with how often they ran, and
 * /arrived tells how many requests this one has got. A request with the query
 * bytes=N&over_ms=M is answered with N bytes of its id, over M ms.
 */
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "standin.h"

#define SLICE_MS 5
#define MAX_SERVERS 64
#define BODY_TEXT "answer to "
#define LARGE_BLOCK_BYTES (8 * 1024)

typedef enum {
    MODE_OK = 0,
    MODE_REFUSE,   /* says that it did not run */
    MODE_ERROR,    /* runs and fails */
    MODE_LOSE,     /* runs and closes the connection */
    MODE_CROSS,    /* runs and answers with another request's id */
    MODE_SHORT,    /* runs and breaks the body off */
    MODE_UNSEALED, /* runs and leaves the seal out */
    MODE_SILENT,   /* runs and never answers */
    MODE_EXTRA,    /* sends a second answer behind the first */
    MODE_COUNT
} Mode;

typedef struct {
    char address[CP_ADDR_BYTES];
    char instance[CP_NAME_BYTES];
    uint64_t slots;
    uint64_t service_ms;
    Mode mode;
    uint64_t mode_left; /* requests in this mode; 0: all */
    uint64_t running;
    uint64_t arrived;
} Server;

typedef struct {
    GString *body;
    int32_t fd;
    bool extra;
} Upload;

/* A large answer on its way. */
typedef struct {
    char id[CP_NAME_BYTES];
    uint64_t size_bytes;
    uint64_t end_bytes; /* where it breaks off */
    uint64_t over_ms;
    uint64_t sent_bytes;
} Large;

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
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of all below */
static Server servers[MAX_SERVERS];
static GHashTable *ran;  /* request id -> times */
static GHashTable *told; /* request id -> the last time-out, ms */
static uint64_t arrived, runs, refused, wrong, cancelled, longest_ms, over;
static uint64_t large_left; /* large answers that their caller left */

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static enum MHD_Result control(struct MHD_Connection *conn, Server *s);
static enum MHD_Result stats(struct MHD_Connection *conn);
static enum MHD_Result list_runs(struct MHD_Connection *conn);
static enum MHD_Result run(struct MHD_Connection *conn, Server *s, Upload *u,
                           const char *url, const char *method);
static enum MHD_Result refuse(struct MHD_Connection *conn, const Server *s,
                              uint32_t status);
static struct MHD_Response *large_answer(struct MHD_Connection *conn,
                                         const char *id, uint64_t bytes,
                                         Mode mode);
static ssize_t on_large(void *ctx, uint64_t pos, char *out, size_t room);
static void end_large(void *ctx);
static bool work(Server *s, int32_t fd, uint64_t limit_ms);
static ssize_t on_short(void *ctx, uint64_t pos, char *out, size_t room);

int
main(int argc, char **argv)
{
    struct MHD_Daemon *daemons[MAX_SERVERS];
    CpStandin_BlockSignals();
    ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 1; i < argc && i < MAX_SERVERS; i++) {
        char **part = g_strsplit(argv[i], ",", 4);
        Server *s = &servers[i];
        CpStr_Copy(s->address, sizeof(s->address), part[0]);
        CpStr_Copy(s->instance, sizeof(s->instance), part[1]);
        s->slots = strtoull(part[2], NULL, 10);
        s->service_ms = strtoull(part[3], NULL, 10);
        g_strfreev(part);
        daemons[i] = CpStandin_Listen(s->address, on_request, s, on_completed);
    }
    CpStandin_WaitForStop();
    for (int i = 1; i < argc && i < MAX_SERVERS; i++) {
        MHD_stop_daemon(daemons[i]);
    }
    return 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    Upload *u = *state;
    (void)version;
    if (u == NULL) {
        u = CpMem_Alloc(sizeof(*u));
        u->body = g_string_new(NULL);
        u->fd =
            MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
        *state = u;
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        g_string_append_len(u->body, data, (gssize)*data_bytes);
        *data_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/control") == 0) {
        return control(conn, ctx);
    }
    if (strcmp(url, "/stats") == 0) {
        return stats(conn);
    }
    if (strcmp(url, "/runs") == 0) {
        return list_runs(conn);
    }
    if (strcmp(url, "/arrived") == 0) {
        pthread_mutex_lock(&lock);
        uint64_t n = ((const Server *)ctx)->arrived;
        pthread_mutex_unlock(&lock);
        return CpStandin_Respond(
            conn, 200, g_strdup_printf("%llu\n", (unsigned long long)n));
    }
    bool is_told = strcmp(url, "/told") == 0;
    if (is_told || strcmp(url, "/ran") == 0) {
        pthread_mutex_lock(&lock);
        uint32_t n = GPOINTER_TO_UINT(g_hash_table_lookup(
            is_told ? told : ran, CpStandin_GetQueryText(conn, "id", "")));
        pthread_mutex_unlock(&lock);
        return CpStandin_Respond(conn, 200, g_strdup_printf("%u\n", n));
    }
    return run(conn, ctx, u, url, method);
}

/* Bytes behind a whole answer, where the next one is expected. */
static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    static const char extra[] =
        "HTTP/1.1 200 OK\r\nChestnutpaddle-Attempt-Id: stale\r\n"
        "Chestnutpaddle-Response-Seal: stale\r\nContent-Length: "
        "5\r\n\r\nstale";
    Upload *u = *state;
    (void)ctx, (void)conn, (void)code;
    if (u != NULL) {
        if (u->extra &&
            send(u->fd, extra, sizeof(extra) - 1, MSG_NOSIGNAL) < 0) {
            fprintf(stderr, "standin: no extra bytes\n");
        }
        g_string_free(u->body, TRUE);
        free(u);
        *state = NULL;
    }
}

static enum MHD_Result
control(struct MHD_Connection *conn, Server *s)
{
    const char *name = CpStandin_GetQueryText(conn, "mode", "");
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            s->mode = i;
        }
    }
    s->service_ms = CpStandin_GetQueryNumber(conn, "ms", s->service_ms);
    s->mode_left = CpStandin_GetQueryNumber(conn, "times", 0);
    const char *instance =
        CpStandin_GetQueryText(conn, "instance", s->instance);
    CpStr_Copy(s->instance, sizeof(s->instance), instance);
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_strdup("{}\n"));
}

static enum MHD_Result
stats(struct MHD_Connection *conn)
{
    GHashTableIter it;
    void *times;
    uint32_t doubled = 0;
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&it, ran);
    while (g_hash_table_iter_next(&it, NULL, &times)) {
        doubled += GPOINTER_TO_UINT(times) > 1;
    }
    char *text = g_strdup_printf(
        "{\"arrived\":%llu,\"runs\":%llu,\"refused\":%llu,\"wrong\":%llu,"
        "\"cancelled\":%llu,\"longest_ms\":%llu,\"over\":%llu,"
        "\"large_left\":%llu,"
        "\"doubled\":%u}\n",
        (unsigned long long)arrived, (unsigned long long)runs,
        (unsigned long long)refused, (unsigned long long)wrong,
        (unsigned long long)cancelled, (unsigned long long)longest_ms,
        (unsigned long long)over, (unsigned long long)large_left, doubled);
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, text);
}

static enum MHD_Result
list_runs(struct MHD_Connection *conn)
{
    GHashTableIter it;
    void *id, *times;
    GString *text = g_string_new(NULL);
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&it, ran);
    while (g_hash_table_iter_next(&it, &id, &times)) {
        g_string_append_printf(text, "%s %u\n", (const char *)id,
                               GPOINTER_TO_UINT(times));
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_string_free(text, FALSE));
}

static enum MHD_Result
run(struct MHD_Connection *conn, Server *s, Upload *u, const char *url,
    const char *method)
{
    const char *id = CpStandin_GetHeader(conn, "Chestnutpaddle-Attempt-Id");
    const char *want =
        CpStandin_GetHeader(conn, "Chestnutpaddle-Target-Instance");
    const char *limit = CpStandin_GetHeader(conn, "Chestnutpaddle-Timeout-Ms");
    uint64_t limit_ms = limit != NULL ? strtoull(limit, NULL, 10) : 0;
    char load[64], seal[CP_NAME_BYTES + 8];
    if (id == NULL) {
        return refuse(conn, s, 400);
    }
    pthread_mutex_lock(&lock);
    arrived++;
    s->arrived++;
    longest_ms = limit_ms > longest_ms ? limit_ms : longest_ms;
    g_hash_table_replace(told, g_strdup(id), GUINT_TO_POINTER(limit_ms));
    Mode mode = s->mode;
    if (s->mode_left > 0 && --s->mode_left == 0) {
        s->mode = MODE_OK;
    }
    bool other = want != NULL && strcmp(want, s->instance) != 0;
    bool full = s->running >= s->slots;
    wrong += other;
    refused += !other && (full || mode == MODE_REFUSE);
    over += full;
    if (!other && !full && mode != MODE_REFUSE) {
        s->running++;
        runs++;
        uint32_t n = GPOINTER_TO_UINT(g_hash_table_lookup(ran, id));
        g_hash_table_replace(ran, g_strdup(id), GUINT_TO_POINTER(n + 1));
    }
    pthread_mutex_unlock(&lock);
    if (other) {
        return refuse(conn, s, 421);
    }
    if (full || mode == MODE_REFUSE) {
        return refuse(conn, s, 503);
    }
    bool stayed = work(s, u->fd, limit_ms);
    while (stayed && mode == MODE_SILENT) {
        struct pollfd p = {.fd = u->fd, .events = POLLRDHUP};
        stayed = poll(&p, 1, SLICE_MS) == 0;
    }
    pthread_mutex_lock(&lock);
    s->running--;
    cancelled += !stayed;
    snprintf(load, sizeof(load), "%llu,0,%llu", (unsigned long long)s->running,
             (unsigned long long)s->slots);
    snprintf(seal, sizeof(seal), "seal-%s", s->instance);
    pthread_mutex_unlock(&lock);
    if (!stayed || mode == MODE_LOSE) {
        return MHD_NO;
    }
    uint64_t bytes = CpStandin_GetQueryNumber(conn, "bytes", 0);
    char *text =
        g_strdup_printf(BODY_TEXT "%s %s %s\n", method, url, u->body->str);
    size_t n = strlen(text);
    struct MHD_Response *r =
        bytes > 0 ? large_answer(conn, id, bytes, mode)
        : mode == MODE_SHORT
            ? MHD_create_response_from_callback(n + 100, 256, on_short, text,
                                                g_free)
            : MHD_create_response_from_buffer(n, text, MHD_RESPMEM_MUST_FREE);
    if (bytes > 0) {
        g_free(text);
    }
    MHD_add_response_header(r, "Chestnutpaddle-Attempt-Id",
                            mode == MODE_CROSS ? "another" : id);
    MHD_add_response_header(r, "Chestnutpaddle-Server-Load", load);
    if (mode != MODE_UNSEALED) {
        MHD_add_response_header(r, "Chestnutpaddle-Response-Seal", seal);
    }
    u->extra = mode == MODE_EXTRA;
    enum MHD_Result ok =
        MHD_queue_response(conn, mode == MODE_ERROR ? 500 : 200, r);
    MHD_destroy_response(r);
    return ok;
}

static struct MHD_Response *
large_answer(struct MHD_Connection *conn, const char *id, uint64_t bytes,
             Mode mode)
{
    Large *l = CpMem_Alloc(sizeof(*l));
    CpStr_Copy(l->id, sizeof(l->id), id);
    l->size_bytes = bytes;
    l->end_bytes = mode == MODE_SHORT ? bytes / 2 : bytes;
    l->over_ms = CpStandin_GetQueryNumber(conn, "over_ms", 0);
    return MHD_create_response_from_callback(bytes, LARGE_BLOCK_BYTES,
                                             on_large, l, end_large);
}

/* The id again and again, in step with the time. */
static ssize_t
on_large(void *ctx, uint64_t pos, char *out, size_t room)
{
    Large *l = ctx;
    size_t width = strlen(l->id);
    if (pos >= l->end_bytes) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    uint64_t n = l->end_bytes - pos < room ? l->end_bytes - pos : room;
    for (uint64_t i = 0; i < n; i++) {
        out[i] = l->id[(pos + i) % width];
    }
    CpStandin_Sleep_ms(l->over_ms * n / l->size_bytes);
    l->sent_bytes = pos + n;
    return (ssize_t)n;
}

static void
end_large(void *ctx)
{
    Large *l = ctx;
    pthread_mutex_lock(&lock);
    large_left += l->sent_bytes < l->end_bytes;
    pthread_mutex_unlock(&lock);
    free(l);
}

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
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

/* False when the caller went away meanwhile. */
static bool
work(Server *s, int32_t fd, uint64_t limit_ms)
{
    pthread_mutex_lock(&lock);
    uint64_t ms = s->service_ms;
    pthread_mutex_unlock(&lock);
    ms = limit_ms > 0 && limit_ms < ms ? limit_ms : ms;
    for (uint64_t past = 0; past < ms; past += SLICE_MS) {
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        if (poll(&p, 1, 0) > 0) {
            return false;
        }
        CpStandin_Sleep_ms(SLICE_MS);
    }
    return true;
}

/* The text, and then an end that is too early. */
static ssize_t
on_short(void *ctx, uint64_t pos, char *out, size_t room)
{
    const char *text = ctx;
    size_t n = strlen(text);
    if (pos >= n) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    n -= pos;
    n = n < room ? n : room;
    memcpy(out, text + pos, n);
    return (ssize_t)n;
}
