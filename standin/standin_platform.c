/*
 * Stand-in of the platform: table and object service in memory. POST
 * /control?mode=up|down|slow|stale|lose&ms=N changes how it answers: "down"
 * closes connections, "slow" waits, "stale" reads from the state at the time
 * of the call, "lose" closes the connection after the effect.
 */
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

typedef enum {
    MODE_UP = 0,
    MODE_DOWN,
    MODE_SLOW,
    MODE_STALE,
    MODE_LOSE,
    MODE_COUNT
} Mode;

typedef struct {
    char *value;
    uint64_t version;
} Row;

typedef struct {
    GString *body;
} Upload;

static const char *const mode_names[MODE_COUNT] = {
    [MODE_UP] = "up",       [MODE_DOWN] = "down", [MODE_SLOW] = "slow",
    [MODE_STALE] = "stale", [MODE_LOSE] = "lose",
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of all below */
static GHashTable *rows;
static GHashTable *stale_rows;
static GHashTable *objects;
static Mode mode;
static uint64_t slow_ms;
static uint64_t reads, writes;

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode code);
static enum MHD_Result control(struct MHD_Connection *conn);
static enum MHD_Result serve(struct MHD_Connection *conn, const char *url,
                             const char *method, const GString *body);
static char *read_rows(const GString *body);
static uint32_t commit_rows(const GString *body);
static void free_row(void *p);
static GHashTable *copy_rows(void);

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: standin-platform IP:port\n");
        return 2;
    }
    CpStandin_BlockSignals();
    rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
    struct MHD_Daemon *d =
        CpStandin_Listen(argv[1], on_request, NULL, on_completed);
    CpStandin_WaitForStop();
    MHD_stop_daemon(d);
    return 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    Upload *u = *state;
    (void)ctx, (void)version;
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
    if (now == MODE_DOWN) {
        return MHD_NO;
    }
    if (now == MODE_SLOW) {
        CpStandin_Sleep_ms(ms);
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
    const char *name = CpStandin_Text(conn, "mode", "");
    pthread_mutex_lock(&lock);
    for (uint32_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            mode = i;
        }
    }
    slow_ms = CpStandin_Number(conn, "ms", slow_ms);
    if (mode == MODE_STALE) {
        stale_rows = copy_rows();
    }
    char *text = g_strdup_printf(
        "{\"mode\":\"%s\",\"reads\":%llu,\"writes\":%llu}\n", mode_names[mode],
        (unsigned long long)reads, (unsigned long long)writes);
    pthread_mutex_unlock(&lock);
    return CpStandin_Answer(conn, 200, text);
}

static enum MHD_Result
serve(struct MHD_Connection *conn, const char *url, const char *method,
      const GString *body)
{
    char *text = NULL;
    uint32_t status = 200;
    bool lose = false;
    pthread_mutex_lock(&lock);
    if (strcmp(url, "/table/read") == 0) {
        reads++;
        text = read_rows(body);
    }
    else if (strcmp(url, "/table/commit") == 0) {
        writes++;
        status = commit_rows(body);
        lose = mode == MODE_LOSE;
        text = g_strdup("{}\n");
    }
    else if (strncmp(url, "/objects/", 9) == 0 && strcmp(method, "PUT") == 0) {
        writes++;
        g_hash_table_replace(objects, g_strdup(url + 9),
                             g_bytes_new(body->str, body->len));
        text = g_strdup("{}\n");
    }
    else {
        reads++;
        GBytes *b = strncmp(url, "/objects/", 9) == 0
                        ? g_hash_table_lookup(objects, url + 9)
                        : NULL;
        status = b != NULL ? 200 : 404;
        text = b != NULL
                   ? g_strndup(g_bytes_get_data(b, NULL), g_bytes_get_size(b))
                   : g_strdup("{}\n");
    }
    pthread_mutex_unlock(&lock);
    if (lose) {
        g_free(text);
        return MHD_NO;
    }
    return CpStandin_Answer(conn, status, text);
}

static char *
read_rows(const GString *body)
{
    json_t *ask = json_loadb(body->str, body->len, 0, NULL);
    json_t *list = json_array(), *key;
    GHashTable *from = mode == MODE_STALE ? stale_rows : rows;
    size_t i;
    json_array_foreach(json_object_get(ask, "keys"), i, key)
    {
        const Row *r = g_hash_table_lookup(from, json_string_value(key));
        json_array_append_new(
            list, json_pack("{s:s,s:I}", "value", r ? r->value : "", "version",
                            (json_int_t)(r ? r->version : 0)));
    }
    json_t *root = json_pack("{s:o}", "rows", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    json_decref(ask);
    return text;
}

/* Checks all versions, then writes all rows: one transaction. */
static uint32_t
commit_rows(const GString *body)
{
    json_t *ask = json_loadb(body->str, body->len, 0, NULL), *o;
    json_t *list = json_object_get(ask, "rows");
    uint32_t status = 200;
    size_t i;
    json_array_foreach(list, i, o)
    {
        const Row *r = g_hash_table_lookup(
            rows, json_string_value(json_object_get(o, "key")));
        uint64_t want =
            (uint64_t)json_integer_value(json_object_get(o, "version"));
        if ((r != NULL ? r->version : 0) != want) {
            status = 409;
        }
    }
    json_array_foreach(list, i, o)
    {
        if (status == 200) {
            Row *r = CpMem_Alloc(sizeof(*r));
            r->version =
                (uint64_t)json_integer_value(json_object_get(o, "version")) +
                1;
            r->value =
                g_strdup(json_string_value(json_object_get(o, "value")));
            g_hash_table_replace(
                rows, g_strdup(json_string_value(json_object_get(o, "key"))),
                r);
        }
    }
    json_decref(ask);
    return status;
}

static void
free_row(void *p)
{
    Row *r = p;
    g_free(r->value);
    free(r);
}

static GHashTable *
copy_rows(void)
{
    GHashTable *copy =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    GHashTableIter it;
    void *key, *value;
    g_hash_table_iter_init(&it, rows);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        Row *r = CpMem_Alloc(sizeof(*r));
        *r = *(const Row *)value;
        r->value = g_strdup(r->value);
        g_hash_table_insert(copy, g_strdup(key), r);
    }
    return copy;
}
