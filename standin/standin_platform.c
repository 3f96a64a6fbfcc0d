/*
 * In-memory stand-in of the platform's store: rows in tables and parts with
 * transactions, range reads and change feeds, and objects.
 * POST /control?mode=M&ms=N sets a failure mode: "up" (none), "down" closes
 * connections, "slow" delays each response by N ms, "stale" serves range reads
 * from a copy of the rows made at the time of the call, "lose" commits
 * transactions but closes the connection without a response, "cut" does no
 * write and closes the connection after the status line of a success, "busy"
 * responds 503, "silent" closes the connection after N ms. busy_table=T
 * responds 503 to reads of table T, whatever the mode; "none" ends that. POST
 * /control?compact=1 discards the change history; with drop_table=T&drop_key=K
 * also a row or its deletion mark, so that followers see neither the row nor
 * its removal.
 * POST /control?copy=1 keeps a copy of the rows, their versions and the last
 * version; restore=1 puts the rows and versions back to that copy and raises
 * the era, which all responses then have in the header Store-Era. A call for
 * changes after a version that the store does not have gets 410.
 * mix=X&mix_path=P sets a second fault, of the calls whose path begins with P:
 * responses that are joined on one connection. "head" sends a head with the
 * status mix_status that breaks off in a line, before the response; "body" one
 * that breaks off in its body; "copy" sends the response twice; "late" sends
 * the last success of the connection once more as soon as a call arrives,
 * "first" the first one; "drop" performs the call and closes a connection that
 * was used before; "gone" responds 410; "none" ends that. mix_count=N: for N
 * calls only.
 */
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin.h"

#define PATH_SEPARATOR "\x01" /* between table, part and key */
#define DEFAULT_PAGE_ROWS 500
#define MAX_LONG_POLL_MS 30000 /* upper bound of waitMs */
#define MIX_DELAY_MS 20        /* from a late response to that of the call */
#define BROKEN_BODY_BYTES 120  /* announced, in MIX_BODY */

typedef enum {
    MODE_UP = 0,
    MODE_DOWN,
    MODE_SLOW,
    MODE_STALE,
    MODE_LOSE,
    MODE_CUT,
    MODE_BUSY,
    MODE_SILENT,
    MODE_COUNT
} Mode;

typedef enum {
    MIX_NONE = 0,
    MIX_HEAD,
    MIX_BODY,
    MIX_COPY,
    MIX_LATE,
    MIX_FIRST,
    MIX_DROP,
    MIX_GONE,
    MIX_COUNT
} Mix;

/* Bodies of successful responses that a connection has carried. */
typedef struct {
    char *first;
    char *last;
} SentBodies;

/* A row, or the deletion mark of a removed row. */
typedef struct {
    char *table;
    char *part;
    char *key;
    char *value;      /* base64; NULL: removed */
    uint64_t version; /* of the transaction that wrote it */
} Row;

/* A request while its body is received. */
typedef struct {
    GString *body;
} Request;

typedef struct {
    const char *url_prefix;
    const char *method;
    bool is_write; /* counted as a write, otherwise as a read */
    /* Returns the HTTP status and may set *out to the response body. Runs
     * under the lock; `suffix` is the URL after the prefix. */
    uint32_t (*handle)(struct MHD_Connection *conn, const char *suffix,
                       const GString *body, char **out);
} Endpoint;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_UP] = "up",       [MODE_DOWN] = "down",     [MODE_SLOW] = "slow",
    [MODE_STALE] = "stale", [MODE_LOSE] = "lose",     [MODE_CUT] = "cut",
    [MODE_BUSY] = "busy",   [MODE_SILENT] = "silent",
};

static const char *const mix_names[MIX_COUNT] = {
    [MIX_NONE] = "none", [MIX_HEAD] = "head", [MIX_BODY] = "body",
    [MIX_COPY] = "copy", [MIX_LATE] = "late", [MIX_FIRST] = "first",
    [MIX_DROP] = "drop", [MIX_GONE] = "gone",
};

static void free_sent_bodies(gpointer p);
/* Each connection has a thread of its own. */
static GPrivate sent_bodies = G_PRIVATE_INIT(free_sent_bodies);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* guards all below */
static pthread_cond_t changed; /* signalled on changes of rows or mode */
static GTree *rows;            /* path -> Row */
static GTree *stale_rows;      /* read in MODE_STALE */
static GHashTable *objects;
static Mode mode;
static uint64_t delay_ms; /* in MODE_SLOW and MODE_SILENT */
static char busy_table[CP_NAME_BYTES];
static Mix mix;
static char mix_path[CP_NAME_BYTES];
static uint64_t mix_status = 200;
static uint64_t mix_left; /* calls that the fault still meets */
static uint64_t read_count, write_count, connection_count;
static uint64_t list_count;   /* reads of a table from its first row */
static uint64_t last_version; /* of the last transaction */
static uint64_t history_start_version; /* older changes are discarded */
static GTree *copied_rows;             /* NULL: no copy was taken */
static uint64_t copied_version, copied_history_start_version;
static uint64_t era; /* number of restores; 0: no header */

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static enum MHD_Result handle_control(struct MHD_Connection *conn);
static enum MHD_Result dispatch(struct MHD_Connection *conn, const char *url,
                                const char *method, const GString *body,
                                bool is_kept);
static enum MHD_Result respond(struct MHD_Connection *conn, Mix m,
                               uint32_t status, char *text);
static Mix mix_of(const char *url);
static SentBodies *get_sent_bodies(void);
static void send_whole(struct MHD_Connection *conn, uint32_t status,
                       const char *text);
static bool cut_response(struct MHD_Connection *conn);
static uint32_t transact(struct MHD_Connection *conn, const char *suffix,
                         const GString *body, char **out);
static uint32_t get_rows(struct MHD_Connection *conn, const char *suffix,
                         const GString *body, char **out);
static uint32_t get_changes(struct MHD_Connection *conn, const char *suffix,
                            const GString *body, char **out);
static uint32_t put_object(struct MHD_Connection *conn, const char *suffix,
                           const GString *body, char **out);
static uint32_t get_object(struct MHD_Connection *conn, const char *suffix,
                           const GString *body, char **out);
static uint32_t remove_object(struct MHD_Connection *conn, const char *suffix,
                              const GString *body, char **out);
static char *row_path(const char *table, const char *part, const char *key);
static char *entry_path(const json_t *entry);
static void write_row(const json_t *entry, const char *value);
static json_t *row_to_json(const Row *r);
static uint32_t render_json(json_t *root, char **out);
static int compare_paths(const void *a, const void *b, void *ctx);
static void free_row(void *p);
static GTree *copy_rows(GTree *from);
static void take_copy(void);
static void restore_copy(void);
static enum MHD_Result respond_with_era(struct MHD_Connection *conn,
                                        uint32_t status, char *text);

static const Endpoint endpoints[] = {
    {"/rows-tx", "POST", true, transact},
    {"/rows-get", "GET", false, get_rows},
    {"/rows-feed", "GET", false, get_changes},
    {"/blob-put/", "PUT", true, put_object},
    {"/blob-get/", "GET", false, get_object},
    {"/blob-drop/", "DELETE", true, remove_object},
    /* the page of a host: an object without a name */
    {"/state", "GET", false, get_object},
    {0},
};

int
main(int argc, char **argv)
{
    pthread_condattr_t attr;
    if (argc != 2) {
        fprintf(stderr, "usage: standin-platform IP:port\n");
        return 2;
    }
    CpStandin_BlockSignals();
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attr);
    rows = g_tree_new_full(compare_paths, NULL, g_free, free_row);
    objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
    struct MHD_Daemon *daemon =
        CpStandin_Listen(argv[1], on_request, NULL, on_completed);
    CpStandin_WaitForStop();
    pthread_mutex_lock(&lock);
    mode = MODE_DOWN; /* makes waiting feed requests return */
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    MHD_stop_daemon(daemon);
    return 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    Request *q = *state;
    (void)ctx, (void)version;
    if (q == NULL) {
        q = CpMem_Alloc(sizeof(*q));
        q->body = g_string_new(NULL);
        *state = q;
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        g_string_append_len(q->body, data, (gssize)*data_bytes);
        *data_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/control") == 0) {
        return handle_control(conn);
    }
    bool is_kept = CpStandin_CountUse(conn) > 1;
    pthread_mutex_lock(&lock);
    Mode current_mode = mode;
    uint64_t current_delay_ms = delay_ms;
    connection_count += !is_kept;
    pthread_mutex_unlock(&lock);
    if (current_mode == MODE_SLOW || current_mode == MODE_SILENT) {
        CpStandin_Sleep_ms(current_delay_ms);
    }
    if (current_mode == MODE_DOWN || current_mode == MODE_SILENT) {
        return MHD_NO;
    }
    if (current_mode == MODE_BUSY) {
        return respond_with_era(conn, 503, g_strdup("{}\n"));
    }
    return dispatch(conn, url, method, q->body, is_kept);
}

static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    Request *q = *state;
    (void)ctx, (void)conn, (void)code;
    if (q != NULL) {
        g_string_free(q->body, TRUE);
        free(q);
        *state = NULL;
    }
}

static enum MHD_Result
handle_control(struct MHD_Connection *conn)
{
    const char *mode_name = CpStandin_GetQueryText(conn, "mode", "");
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(mode_name, mode_names[i]) == 0) {
            mode = i;
        }
    }
    delay_ms = CpStandin_GetQueryNumber(conn, "ms", delay_ms);
    const char *mix_name = CpStandin_GetQueryText(conn, "mix", "");
    for (uint32_t i = 0; i < MIX_COUNT; i++) {
        if (strcmp(mix_name, mix_names[i]) == 0) {
            mix = i;
        }
    }
    CpStr_Copy(mix_path, sizeof(mix_path),
               CpStandin_GetQueryText(conn, "mix_path", mix_path));
    mix_status = CpStandin_GetQueryNumber(conn, "mix_status", mix_status);
    mix_left = CpStandin_GetQueryNumber(conn, "mix_count", UINT64_MAX);
    CpStr_Copy(busy_table, sizeof(busy_table),
               CpStandin_GetQueryText(conn, "busy_table", busy_table));
    if (strcmp(mode_name, mode_names[MODE_STALE]) == 0) {
        stale_rows = copy_rows(rows);
    }
    if (CpStandin_GetQueryNumber(conn, "copy", 0) > 0) {
        take_copy();
    }
    if (CpStandin_GetQueryNumber(conn, "restore", 0) > 0) {
        restore_copy();
    }
    const char *table = CpStandin_GetQueryText(conn, "drop_table", "");
    if (CpStandin_GetQueryNumber(conn, "compact", 0) > 0 || table[0] != '\0') {
        char *path =
            row_path(table, "", CpStandin_GetQueryText(conn, "drop_key", ""));
        g_tree_remove(rows, path);
        g_free(path);
        history_start_version = ++last_version;
    }
    pthread_cond_broadcast(&changed);
    char *text = g_strdup_printf(
        "{\"mode\":\"%s\",\"reads\":%llu,\"writes\":%llu,"
        "\"connections\":%llu,\"lists\":%llu}\n",
        mode_names[mode], (unsigned long long)read_count,
        (unsigned long long)write_count, (unsigned long long)connection_count,
        (unsigned long long)list_count);
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, text);
}

static enum MHD_Result
dispatch(struct MHD_Connection *conn, const char *url, const char *method,
         const GString *body, bool is_kept)
{
    char *text = NULL;
    uint32_t status = 404;
    Mix m = mix_of(url);
    const SentBodies *sent = get_sent_bodies();
    bool close_without_response = false;
    if (strcmp(method, "GET") != 0 && cut_response(conn)) {
        return MHD_NO;
    }
    const char *earlier = m == MIX_LATE    ? sent->last
                          : m == MIX_FIRST ? sent->first
                                           : NULL;
    if (earlier != NULL) {
        send_whole(conn, 200, earlier);
        CpStandin_Sleep_ms(MIX_DELAY_MS);
    }
    pthread_mutex_lock(&lock);
    if (m == MIX_GONE) {
        history_start_version = ++last_version;
    }
    for (const Endpoint *e = endpoints; e->url_prefix != NULL; e++) {
        size_t prefix_bytes = strlen(e->url_prefix);
        if (strncmp(url, e->url_prefix, prefix_bytes) == 0 &&
            strcmp(method, e->method) == 0) {
            *(e->is_write ? &write_count : &read_count) += 1;
            bool is_busy = !e->is_write && busy_table[0] != '\0' &&
                           strcmp(CpStandin_GetQueryText(conn, "table", ""),
                                  busy_table) == 0;
            status = is_busy
                         ? 503
                         : e->handle(conn, url + prefix_bytes, body, &text);
            close_without_response =
                e->handle == transact && mode == MODE_LOSE;
            break;
        }
    }
    bool is_down = mode == MODE_DOWN;
    pthread_mutex_unlock(&lock);
    if (close_without_response || is_down || (m == MIX_DROP && is_kept)) {
        g_free(text);
        return MHD_NO;
    }
    return respond(conn, m, status, text != NULL ? text : g_strdup("{}\n"));
}

/* Responds, after a response that breaks off or the same one if these are
 * mixed. */
static enum MHD_Result
respond(struct MHD_Connection *conn, Mix m, uint32_t status, char *text)
{
    SentBodies *sent = get_sent_bodies();
    char *part = NULL;
    if (m == MIX_HEAD) {
        part = g_strdup_printf("HTTP/1.1 %u X\r\nContent-Type: applica",
                               (uint32_t)mix_status);
    }
    if (m == MIX_BODY) {
        part = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Type: "
                               "application/json\r\nContent-Length: "
                               "%u\r\n\r\n{\"rows\":[",
                               BROKEN_BODY_BYTES);
    }
    if (part != NULL) {
        CpStandin_Send(CpStandin_Socket(conn), part, strlen(part));
        g_free(part);
    }
    if (m == MIX_COPY) {
        send_whole(conn, status, text);
    }
    if (status == 200) {
        sent->first = sent->first != NULL ? sent->first : g_strdup(text);
        g_free(sent->last);
        sent->last = g_strdup(text);
    }
    return respond_with_era(conn, status, text);
}

static enum MHD_Result
respond_with_era(struct MHD_Connection *conn, uint32_t status, char *text)
{
    char header[24];
    pthread_mutex_lock(&lock);
    snprintf(header, sizeof(header), "%llu", (unsigned long long)era);
    pthread_mutex_unlock(&lock);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(r, "Content-Type", "application/json");
    if (strcmp(header, "0") != 0) {
        MHD_add_response_header(r, "Store-Era", header);
    }
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

/* Returns the fault of calls to this path. */
static Mix
mix_of(const char *url)
{
    pthread_mutex_lock(&lock);
    bool is_met =
        mix_left > 0 && strncmp(url, mix_path, strlen(mix_path)) == 0;
    mix_left -= is_met;
    Mix m = is_met ? mix : MIX_NONE;
    pthread_mutex_unlock(&lock);
    return m;
}

static SentBodies *
get_sent_bodies(void)
{
    SentBodies *sent = g_private_get(&sent_bodies);
    if (sent == NULL) {
        sent = CpMem_Alloc(sizeof(*sent));
        g_private_set(&sent_bodies, sent);
    }
    return sent;
}

static void
free_sent_bodies(gpointer p)
{
    SentBodies *sent = p;
    g_free(sent->first);
    g_free(sent->last);
    free(sent);
}

/* Sends a whole response beside the library. */
static void
send_whole(struct MHD_Connection *conn, uint32_t status, const char *text)
{
    char *response =
        g_strdup_printf("HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        status, strlen(text), text);
    CpStandin_Send(CpStandin_Socket(conn), response, strlen(response));
    g_free(response);
}

/* In MODE_CUT, sends the status line of a success and returns true. */
static bool
cut_response(struct MHD_Connection *conn)
{
    static const char line[] = "HTTP/1.1 200 OK\r\n";
    pthread_mutex_lock(&lock);
    bool is_cut = mode == MODE_CUT;
    pthread_mutex_unlock(&lock);
    if (is_cut) {
        CpStandin_Send(CpStandin_Socket(conn), line, sizeof(line) - 1);
    }
    return is_cut;
}

/* Applies all writes and removals in one transaction if every precondition
 * holds. Otherwise returns 412 and the current rows of the preconditions. */
static uint32_t
transact(struct MHD_Connection *conn, const char *suffix, const GString *body,
         char **out)
{
    json_t *request = json_loadb(body->str, body->len, 0, NULL), *entry;
    json_t *current_rows = json_array();
    uint32_t status = 200;
    size_t i;
    (void)conn, (void)suffix;
    json_array_foreach(json_object_get(request, "precondition"), i, entry)
    {
        char *path = entry_path(entry);
        const Row *r = g_tree_lookup(rows, path);
        uint64_t current_version =
            r != NULL && r->value != NULL ? r->version : 0;
        if ((uint64_t)json_integer_value(json_object_get(entry, "ver")) !=
            current_version) {
            status = 412;
        }
        if (r != NULL) {
            json_array_append_new(current_rows, row_to_json(r));
        }
        g_free(path);
    }
    if (request == NULL) {
        status = 400;
    }
    if (status == 200) {
        last_version++;
        json_array_foreach(json_object_get(request, "writes"), i, entry)
        {
            write_row(entry,
                      json_string_value(json_object_get(entry, "value")));
        }
        json_array_foreach(json_object_get(request, "remove"), i, entry)
        {
            write_row(entry, NULL);
        }
        pthread_cond_broadcast(&changed);
    }
    json_t *root = json_pack("{s:I}", "ver", (json_int_t)last_version);
    if (status == 412) {
        json_object_set(root, "rows", current_rows);
    }
    json_decref(current_rows);
    json_decref(request);
    render_json(root, out);
    return status;
}

/* Reads up to `limit` rows of a part with from <= key < to; an empty `to` sets
 * no upper bound. */
static uint32_t
get_rows(struct MHD_Connection *conn, const char *suffix, const GString *body,
         char **out)
{
    const char *table = CpStandin_GetQueryText(conn, "table", "");
    const char *part = CpStandin_GetQueryText(conn, "part", "");
    const char *from = CpStandin_GetQueryText(conn, "from", "");
    const char *to = CpStandin_GetQueryText(conn, "to", "");
    uint64_t limit =
        CpStandin_GetQueryNumber(conn, "limit", DEFAULT_PAGE_ROWS);
    GTree *source = mode == MODE_STALE ? stale_rows : rows;
    json_t *found = json_array();
    bool has_more = false;
    list_count += from[0] == '\0' && limit >= DEFAULT_PAGE_ROWS;
    char *first_path = row_path(table, part, from);
    (void)suffix, (void)body;
    GTreeNode *node = g_tree_lower_bound(source, first_path);
    for (; node != NULL; node = g_tree_node_next(node)) {
        const Row *r = g_tree_node_value(node);
        if (strcmp(r->table, table) != 0 || strcmp(r->part, part) != 0 ||
            (to[0] != '\0' && strcmp(r->key, to) >= 0)) {
            break;
        }
        if (r->value == NULL) {
            continue;
        }
        if (json_array_size(found) >= limit) {
            has_more = true;
            break;
        }
        json_array_append_new(found, row_to_json(r));
    }
    g_free(first_path);
    return render_json(
        json_pack("{s:o,s:b,s:I,s:I}", "rows", found, "hasMore", has_more,
                  "ver", (json_int_t)last_version, "nowMs",
                  (json_int_t)(CpClock_Now_ns() / CP_NS_PER_MS)),
        out);
}

/* Context of a scan for the changes of a table after a version. */
typedef struct {
    const char *table;
    uint64_t after_version;
    GPtrArray *changes;
} ChangeQuery;

static gboolean
collect_change(gpointer key, gpointer value, gpointer ctx)
{
    ChangeQuery *query = ctx;
    const Row *r = value;
    (void)key;
    if (strcmp(r->table, query->table) == 0 &&
        r->version > query->after_version) {
        g_ptr_array_add(query->changes, value);
    }
    return FALSE;
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
    const Row *x = *(const Row *const *)a, *y = *(const Row *const *)b;
    return x->version < y->version ? -1 : x->version > y->version;
}

/* Returns a table's changes after a version, in order of versions; waits up to
 * waitMs for the first one, without the lock. Returns 410 if the history no
 * longer reaches back to that version. */
static uint32_t
get_changes(struct MHD_Connection *conn, const char *suffix,
            const GString *body, char **out)
{
    ChangeQuery query = {.table = CpStandin_GetQueryText(conn, "table", ""),
                         .after_version =
                             CpStandin_GetQueryNumber(conn, "after", 0),
                         .changes = g_ptr_array_new()};
    uint64_t wait_ms = CpStandin_GetQueryNumber(conn, "waitMs", 0);
    struct timespec deadline;
    (void)suffix, (void)body;
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    wait_ms = wait_ms < MAX_LONG_POLL_MS ? wait_ms : MAX_LONG_POLL_MS;
    int64_t ns = deadline.tv_nsec + (int64_t)wait_ms * CP_NS_PER_MS;
    deadline.tv_sec += ns / CP_NS_PER_S;
    deadline.tv_nsec = ns % CP_NS_PER_S;
    bool is_history_discarded = query.after_version < history_start_version ||
                                query.after_version > last_version;
    while (!is_history_discarded && mode != MODE_DOWN) {
        g_tree_foreach(rows, collect_change, &query);
        if (query.changes->len > 0 ||
            pthread_cond_timedwait(&changed, &lock, &deadline) != 0) {
            break;
        }
        is_history_discarded = query.after_version < history_start_version ||
                               query.after_version > last_version;
    }
    g_ptr_array_sort(query.changes, compare_versions);
    json_t *found = json_array();
    for (guint i = 0; i < query.changes->len; i++) {
        json_array_append_new(
            found, row_to_json(g_ptr_array_index(query.changes, i)));
    }
    g_ptr_array_unref(query.changes);
    render_json(
        json_pack("{s:o,s:I}", "rows", found, "ver", (json_int_t)last_version),
        out);
    return is_history_discarded ? 410 : 200;
}

static uint32_t
put_object(struct MHD_Connection *conn, const char *suffix,
           const GString *body, char **out)
{
    (void)out;
    if (CpStandin_GetHeader(conn, "If-None-Match") != NULL &&
        g_hash_table_contains(objects, suffix)) {
        return 412;
    }
    g_hash_table_replace(objects, g_strdup(suffix),
                         g_bytes_new(body->str, body->len));
    return 200;
}

static uint32_t
get_object(struct MHD_Connection *conn, const char *suffix,
           const GString *body, char **out)
{
    GBytes *object = g_hash_table_lookup(objects, suffix);
    (void)conn, (void)body;
    if (object == NULL) {
        return 404;
    }
    *out = g_strndup(g_bytes_get_data(object, NULL), g_bytes_get_size(object));
    return 200;
}

static uint32_t
remove_object(struct MHD_Connection *conn, const char *suffix,
              const GString *body, char **out)
{
    (void)conn, (void)body, (void)out;
    return g_hash_table_remove(objects, suffix) ? 200 : 404;
}

/* Returns the key of a row in the trees; g_free() it. */
static char *
row_path(const char *table, const char *part, const char *key)
{
    return g_strconcat(table, PATH_SEPARATOR, part, PATH_SEPARATOR, key, NULL);
}

/* Returns the path of the row that a transaction's entry names. */
static char *
entry_path(const json_t *entry)
{
    const char *table = json_string_value(json_object_get(entry, "table"));
    const char *part = json_string_value(json_object_get(entry, "part"));
    const char *key = json_string_value(json_object_get(entry, "key"));
    return row_path(table ? table : "", part ? part : "", key ? key : "");
}

/* Writes a row at the last version; a `value` of NULL removes it. */
static void
write_row(const json_t *entry, const char *value)
{
    Row *r = CpMem_Alloc(sizeof(*r));
    r->table = g_strdup(json_string_value(json_object_get(entry, "table")));
    r->part = g_strdup(json_string_value(json_object_get(entry, "part")));
    r->key = g_strdup(json_string_value(json_object_get(entry, "key")));
    r->value = g_strdup(value);
    r->version = last_version;
    g_tree_replace(rows, entry_path(entry), r);
}

static json_t *
row_to_json(const Row *r)
{
    json_t *entry =
        json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part", r->part,
                  "key", r->key, "ver", (json_int_t)r->version);
    if (r->value != NULL) {
        json_object_set_new(entry, "value", json_string(r->value));
    }
    else {
        json_object_set_new(entry, "deleted", json_true());
    }
    return entry;
}

/* Serializes `root` to *out and releases it; always returns 200. */
static uint32_t
render_json(json_t *root, char **out)
{
    *out = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return 200;
}

static int
compare_paths(const void *a, const void *b, void *ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

static void
free_row(void *p)
{
    Row *r = p;
    g_free(r->table);
    g_free(r->part);
    g_free(r->key);
    g_free(r->value);
    free(r);
}

static gboolean
copy_row(gpointer key, gpointer value, gpointer copy)
{
    Row *r = CpMem_Alloc(sizeof(*r));
    const Row *from = value;
    *r = (Row){.table = g_strdup(from->table),
               .part = g_strdup(from->part),
               .key = g_strdup(from->key),
               .value = g_strdup(from->value),
               .version = from->version};
    g_tree_insert(copy, g_strdup(key), r);
    return FALSE;
}

static GTree *
copy_rows(GTree *from)
{
    GTree *copy = g_tree_new_full(compare_paths, NULL, g_free, free_row);
    g_tree_foreach(from, copy_row, copy);
    return copy;
}

static void
take_copy(void)
{
    if (copied_rows != NULL) {
        g_tree_destroy(copied_rows);
    }
    copied_rows = copy_rows(rows);
    copied_version = last_version;
    copied_history_start_version = history_start_version;
}

/* Without a copy, the rows stay and only the era changes. */
static void
restore_copy(void)
{
    if (copied_rows != NULL) {
        g_tree_destroy(rows);
        rows = copy_rows(copied_rows);
        last_version = copied_version;
        history_start_version = copied_history_start_version;
    }
    era++;
}
