/*
 * Stand-in of the platform's store in memory: rows in tables and parts with
 * transactions, ranges and feeds, and objects. POST /control?mode=M&ms=N
 * changes how it answers: "down" closes connections, "slow" waits, "stale"
 * reads rows from the state at the time of the call, "lose" closes the
 * connection after a transaction, "busy" refuses with 503, "silent" answers
 * nothing for N ms. POST /control?compact=1 forgets the history of changes,
 * and with drop_table=T&drop_key=K a row that was removed in it.
 */
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin.h"

#define NAME_SEPARATOR "\x01" /* between table, part and key */
#define PAGE_ROWS 500
#define MAX_WAIT_MS 30000

typedef enum {
    MODE_UP = 0,
    MODE_DOWN,
    MODE_SLOW,
    MODE_STALE,
    MODE_LOSE,
    MODE_BUSY,
    MODE_SILENT,
    MODE_COUNT
} Mode;

/* A row, or what is left of one that was removed. */
typedef struct {
    char *table;
    char *part;
    char *key;
    char *value; /* base64; NULL: removed */
    uint64_t version;
} Row;

typedef struct {
    GString *body;
} Upload;

typedef struct {
    const char *path; /* a prefix of the URL */
    const char *method;
    bool writes;
    uint32_t (*fn)(struct MHD_Connection *conn, const char *rest,
                   const GString *body, char **out);
} CallRow;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_UP] = "up",         [MODE_DOWN] = "down", [MODE_SLOW] = "slow",
    [MODE_STALE] = "stale",   [MODE_LOSE] = "lose", [MODE_BUSY] = "busy",
    [MODE_SILENT] = "silent",
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of all below */
static pthread_cond_t changed;
static GTree *rows;
static GTree *stale_rows;
static GHashTable *objects;
static Mode mode;
static uint64_t slow_ms;
static uint64_t reads, writes;
static uint64_t version, oldest_version; /* of the history */

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *http, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static enum MHD_Result control(struct MHD_Connection *conn);
static enum MHD_Result serve(struct MHD_Connection *conn, const char *url,
                             const char *method, const GString *body);
static uint32_t transact(struct MHD_Connection *conn, const char *rest,
                         const GString *body, char **out);
static uint32_t get_rows(struct MHD_Connection *conn, const char *rest,
                         const GString *body, char **out);
static uint32_t feed(struct MHD_Connection *conn, const char *rest,
                     const GString *body, char **out);
static uint32_t put_object(struct MHD_Connection *conn, const char *rest,
                           const GString *body, char **out);
static uint32_t get_object(struct MHD_Connection *conn, const char *rest,
                           const GString *body, char **out);
static uint32_t drop_object(struct MHD_Connection *conn, const char *rest,
                            const GString *body, char **out);
static char *name_of(const char *table, const char *part, const char *key);
static char *name_in(const json_t *entry);
static void write_row(const json_t *entry, const char *value);
static json_t *render_row(const Row *r);
static uint32_t reply(json_t *root, char **out);
static int compare(const void *a, const void *b, void *ctx);
static void free_row(void *p);
static GTree *copy_rows(void);

static const CallRow calls[] = {
    {"/rows-tx", "POST", true, transact},
    {"/rows-get", "GET", false, get_rows},
    {"/rows-feed", "GET", false, feed},
    {"/blob-put/", "PUT", true, put_object},
    {"/blob-get/", "GET", false, get_object},
    {"/blob-drop/", "DELETE", true, drop_object},
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
    rows = g_tree_new_full(compare, NULL, g_free, free_row);
    objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
    struct MHD_Daemon *d =
        CpStandin_Listen(argv[1], on_request, NULL, on_completed);
    CpStandin_WaitForStop();
    pthread_mutex_lock(&lock);
    mode = MODE_DOWN; /* ends the feeds that wait */
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    MHD_stop_daemon(d);
    return 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *http, const char *data,
           size_t *data_bytes, void **state)
{
    Upload *u = *state;
    (void)ctx, (void)http;
    if (u == NULL) {
        u = CpMem_Alloc(sizeof(*u));
        u->body = g_string_new(NULL);
        *state = u;
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        g_string_append_len(u->body, data, (gssize)*data_bytes);
        *data_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/control") == 0) {
        return control(conn);
    }
    pthread_mutex_lock(&lock);
    Mode now = mode;
    uint64_t ms = slow_ms;
    pthread_mutex_unlock(&lock);
    if (now == MODE_SLOW || now == MODE_SILENT) {
        CpStandin_Sleep_ms(ms);
    }
    if (now == MODE_DOWN || now == MODE_SILENT) {
        return MHD_NO;
    }
    if (now == MODE_BUSY) {
        return CpStandin_Respond(conn, 503, g_strdup("{}\n"));
    }
    return serve(conn, url, method, u->body);
}

static void
on_completed(void *ctx, struct MHD_Connection *conn, void **state,
             enum MHD_RequestTerminationCode code)
{
    Upload *u = *state;
    (void)ctx, (void)conn, (void)code;
    if (u != NULL) {
        g_string_free(u->body, TRUE);
        free(u);
        *state = NULL;
    }
}

static enum MHD_Result
control(struct MHD_Connection *conn)
{
    const char *name = CpStandin_GetQueryText(conn, "mode", "");
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            mode = i;
        }
    }
    slow_ms = CpStandin_GetQueryNumber(conn, "ms", slow_ms);
    if (mode == MODE_STALE) {
        stale_rows = copy_rows();
    }
    const char *table = CpStandin_GetQueryText(conn, "drop_table", "");
    if (CpStandin_GetQueryNumber(conn, "compact", 0) > 0 || table[0] != '\0') {
        char *dropped =
            name_of(table, "", CpStandin_GetQueryText(conn, "drop_key", ""));
        g_tree_remove(rows, dropped);
        g_free(dropped);
        oldest_version = ++version;
    }
    pthread_cond_broadcast(&changed);
    char *text = g_strdup_printf(
        "{\"mode\":\"%s\",\"reads\":%llu,\"writes\":%llu}\n", mode_names[mode],
        (unsigned long long)reads, (unsigned long long)writes);
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, text);
}

static enum MHD_Result
serve(struct MHD_Connection *conn, const char *url, const char *method,
      const GString *body)
{
    char *text = NULL;
    uint32_t status = 404;
    bool lose = false;
    pthread_mutex_lock(&lock);
    for (const CallRow *c = calls; c->path != NULL; c++) {
        size_t n = strlen(c->path);
        if (strncmp(url, c->path, n) == 0 && strcmp(method, c->method) == 0) {
            *(c->writes ? &writes : &reads) += 1;
            status = c->fn(conn, url + n, body, &text);
            lose = c->fn == transact && mode == MODE_LOSE;
            break;
        }
    }
    bool down = mode == MODE_DOWN;
    pthread_mutex_unlock(&lock);
    if (lose || down) {
        g_free(text);
        return MHD_NO;
    }
    return CpStandin_Respond(conn, status,
                             text != NULL ? text : g_strdup("{}\n"));
}

/* Checks every condition, then applies all entries: one transaction. */
static uint32_t
transact(struct MHD_Connection *conn, const char *rest, const GString *body,
         char **out)
{
    json_t *ask = json_loadb(body->str, body->len, 0, NULL), *o;
    json_t *conflicts = json_array();
    uint32_t status = 200;
    size_t i;
    (void)conn, (void)rest;
    json_array_foreach(json_object_get(ask, "precondition"), i, o)
    {
        char *name = name_in(o);
        const Row *r = g_tree_lookup(rows, name);
        uint64_t now = r != NULL && r->value != NULL ? r->version : 0;
        if ((uint64_t)json_integer_value(json_object_get(o, "ver")) != now) {
            status = 412;
        }
        if (r != NULL) {
            json_array_append_new(conflicts, render_row(r));
        }
        g_free(name);
    }
    if (ask == NULL) {
        status = 400;
    }
    if (status == 200) {
        version++;
        json_array_foreach(json_object_get(ask, "writes"), i, o)
        {
            write_row(o, json_string_value(json_object_get(o, "value")));
        }
        json_array_foreach(json_object_get(ask, "remove"), i, o)
        {
            write_row(o, NULL);
        }
        pthread_cond_broadcast(&changed);
    }
    json_t *root = json_pack("{s:I}", "ver", (json_int_t)version);
    if (status == 412) {
        json_object_set(root, "rows", conflicts);
    }
    json_decref(conflicts);
    json_decref(ask);
    reply(root, out);
    return status;
}

static uint32_t
get_rows(struct MHD_Connection *conn, const char *rest, const GString *body,
         char **out)
{
    const char *table = CpStandin_GetQueryText(conn, "table", "");
    const char *part = CpStandin_GetQueryText(conn, "part", "");
    const char *from = CpStandin_GetQueryText(conn, "from", "");
    const char *to = CpStandin_GetQueryText(conn, "to", "");
    uint64_t limit = CpStandin_GetQueryNumber(conn, "limit", PAGE_ROWS);
    GTree *source = mode == MODE_STALE ? stale_rows : rows;
    json_t *list = json_array();
    bool more = false;
    char *first = name_of(table, part, from);
    (void)rest, (void)body;
    GTreeNode *at = g_tree_lower_bound(source, first);
    for (; at != NULL; at = g_tree_node_next(at)) {
        const Row *r = g_tree_node_value(at);
        if (strcmp(r->table, table) != 0 || strcmp(r->part, part) != 0 ||
            (to[0] != '\0' && strcmp(r->key, to) >= 0)) {
            break;
        }
        if (r->value == NULL) {
            continue;
        }
        if (json_array_size(list) >= limit) {
            more = true;
            break;
        }
        json_array_append_new(list, render_row(r));
    }
    g_free(first);
    return reply(json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "hasMore", more,
                           "ver", (json_int_t)version, "nowMs",
                           (json_int_t)(CpClock_Now_ns() / CP_NS_PER_MS)),
                 out);
}

typedef struct {
    const char *table;
    uint64_t after;
    GPtrArray *found;
} Search;

static gboolean
collect_change(gpointer key, gpointer value, gpointer ctx)
{
    Search *s = ctx;
    const Row *r = value;
    (void)key;
    if (strcmp(r->table, s->table) == 0 && r->version > s->after) {
        g_ptr_array_add(s->found, value);
    }
    return FALSE;
}

static gint
by_version(gconstpointer a, gconstpointer b)
{
    const Row *x = *(const Row *const *)a, *y = *(const Row *const *)b;
    return x->version < y->version ? -1 : x->version > y->version;
}

static uint32_t
feed(struct MHD_Connection *conn, const char *rest, const GString *body,
     char **out)
{
    Search s = {.table = CpStandin_GetQueryText(conn, "table", ""),
                .after = CpStandin_GetQueryNumber(conn, "after", 0),
                .found = g_ptr_array_new()};
    uint64_t wait_ms = CpStandin_GetQueryNumber(conn, "waitMs", 0);
    struct timespec until;
    (void)rest, (void)body;
    clock_gettime(CLOCK_MONOTONIC, &until);
    wait_ms = wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS;
    int64_t ns = until.tv_nsec + (int64_t)wait_ms * CP_NS_PER_MS;
    until.tv_sec += ns / CP_NS_PER_S;
    until.tv_nsec = ns % CP_NS_PER_S;
    bool gone = s.after < oldest_version;
    while (!gone && mode != MODE_DOWN) {
        g_tree_foreach(rows, collect_change, &s);
        if (s.found->len > 0 ||
            pthread_cond_timedwait(&changed, &lock, &until) != 0) {
            break;
        }
        gone = s.after < oldest_version;
    }
    g_ptr_array_sort(s.found, by_version);
    json_t *list = json_array();
    for (guint i = 0; i < s.found->len; i++) {
        json_array_append_new(list, render_row(g_ptr_array_index(s.found, i)));
    }
    g_ptr_array_unref(s.found);
    reply(json_pack("{s:o,s:I}", "rows", list, "ver", (json_int_t)version),
          out);
    return gone ? 410 : 200;
}

static uint32_t
put_object(struct MHD_Connection *conn, const char *rest, const GString *body,
           char **out)
{
    (void)out;
    if (CpStandin_GetHeader(conn, "If-None-Match") != NULL &&
        g_hash_table_contains(objects, rest)) {
        return 412;
    }
    g_hash_table_replace(objects, g_strdup(rest),
                         g_bytes_new(body->str, body->len));
    return 200;
}

static uint32_t
get_object(struct MHD_Connection *conn, const char *rest, const GString *body,
           char **out)
{
    GBytes *b = g_hash_table_lookup(objects, rest);
    (void)conn, (void)body;
    if (b == NULL) {
        return 404;
    }
    *out = g_strndup(g_bytes_get_data(b, NULL), g_bytes_get_size(b));
    return 200;
}

static uint32_t
drop_object(struct MHD_Connection *conn, const char *rest, const GString *body,
            char **out)
{
    (void)conn, (void)body, (void)out;
    return g_hash_table_remove(objects, rest) ? 200 : 404;
}

static char *
name_of(const char *table, const char *part, const char *key)
{
    return g_strconcat(table, NAME_SEPARATOR, part, NAME_SEPARATOR, key, NULL);
}

static char *
name_in(const json_t *entry)
{
    const char *table = json_string_value(json_object_get(entry, "table"));
    const char *part = json_string_value(json_object_get(entry, "part"));
    const char *key = json_string_value(json_object_get(entry, "key"));
    return name_of(table ? table : "", part ? part : "", key ? key : "");
}

static void
write_row(const json_t *entry, const char *value)
{
    Row *r = CpMem_Alloc(sizeof(*r));
    r->table = g_strdup(json_string_value(json_object_get(entry, "table")));
    r->part = g_strdup(json_string_value(json_object_get(entry, "part")));
    r->key = g_strdup(json_string_value(json_object_get(entry, "key")));
    r->value = g_strdup(value);
    r->version = version;
    g_tree_replace(rows, name_in(entry), r);
}

static json_t *
render_row(const Row *r)
{
    json_t *o =
        json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part", r->part,
                  "key", r->key, "ver", (json_int_t)r->version);
    if (r->value != NULL) {
        json_object_set_new(o, "value", json_string(r->value));
    }
    else {
        json_object_set_new(o, "deleted", json_true());
    }
    return o;
}

static uint32_t
reply(json_t *root, char **out)
{
    *out = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return 200;
}

static int
compare(const void *a, const void *b, void *ctx)
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
copy_rows(void)
{
    GTree *copy = g_tree_new_full(compare, NULL, g_free, free_row);
    g_tree_foreach(rows, copy_row, copy);
    return copy;
}
