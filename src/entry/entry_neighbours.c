/*
 * A host that starts while the store is away takes what its neighbours have
 * read: the same rows, from their page /state.
 */
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"

#define ASK_TIMEOUT_MS                                                        \
    600 /* two round trips between regions, and the text                      \
         */
#define MAX_STATE_BYTES (16u * 1024 * 1024)

/* A row as it was read last. */
typedef struct {
    char *value;
    uint64_t version;
    uint32_t scan; /* the last one that told it */
} KeptRow;

static bool ask(CpEntry *e, const char *address);
static bool take_tables(CpEntry *e, const json_t *tables);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);
static void free_row(void *p);

void
CpEntryNeighbours_Init(CpEntryFollower *f)
{
    pthread_mutex_init(&f->rows_lock, NULL);
    f->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
}

void
CpEntryNeighbours_Keep(CpEntryFollower *f, const CpFeedRow *row)
{
    pthread_mutex_lock(&f->rows_lock);
    if (row->deleted) {
        g_hash_table_remove(f->rows, row->key);
    }
    else {
        KeptRow *kept = CpMem_Alloc(sizeof(*kept));
        kept->value = g_strndup(row->value, row->value_bytes);
        kept->version = row->version;
        kept->scan = f->scan;
        g_hash_table_replace(f->rows, g_strdup(row->key), kept);
    }
    pthread_mutex_unlock(&f->rows_lock);
}

void
CpEntryNeighbours_BeginScan(CpEntryFollower *f)
{
    pthread_mutex_lock(&f->rows_lock);
    f->scan++;
    pthread_mutex_unlock(&f->rows_lock);
}

void
CpEntryNeighbours_EndScan(CpEntryFollower *f)
{
    GHashTableIter it;
    void *value;
    pthread_mutex_lock(&f->rows_lock);
    g_hash_table_iter_init(&it, f->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((const KeptRow *)value)->scan != f->scan) {
            g_hash_table_iter_remove(&it);
        }
    }
    pthread_mutex_unlock(&f->rows_lock);
}

void
CpEntryNeighbours_Ask(CpEntry *e)
{
    for (uint32_t i = 0; i < e->settings.neighbour_count; i++) {
        const char *address = e->settings.neighbours[i].value;
        if (strcmp(address, e->settings.control) != 0 && ask(e, address)) {
            return;
        }
    }
}

uint32_t
CpEntryNeighbours_State(void *ctx, const CpPageQuery *q, char **out)
{
    CpEntry *e = ctx;
    json_t *tables = json_array();
    (void)q;
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        CpEntryFollower *f = &e->followers[i];
        json_t *rows = json_array();
        GHashTableIter it;
        void *key, *value;
        pthread_mutex_lock(&f->rows_lock);
        g_hash_table_iter_init(&it, f->rows);
        while (g_hash_table_iter_next(&it, &key, &value)) {
            const KeptRow *kept = value;
            json_array_append_new(rows, json_pack("{s:s,s:s,s:I}", "key",
                                                  (const char *)key, "value",
                                                  kept->value, "version",
                                                  (json_int_t)kept->version));
        }
        pthread_mutex_unlock(&f->rows_lock);
        json_array_append_new(tables, rows);
    }
    *out = json_dumps(tables, JSON_COMPACT);
    json_decref(tables);
    return *out != NULL ? 200 : 500;
}

static bool
ask(CpEntry *e, const char *address)
{
    char url[CP_ADDR_BYTES + 32];
    GString *text = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    long status = 0;
    snprintf(url, sizeof(url), "http://%s/state", address);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)ASK_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    json_t *tables = code == CURLE_OK && status == 200
                         ? json_loadb(text->str, text->len, 0, NULL)
                         : NULL;
    bool taken = take_tables(e, tables);
    CpEvent(CP_EVENT_DEPENDENCY,
            taken ? "neighbour_answered" : "neighbour_has_nothing",
            "s:s,s:i,s:s", "address", address, "status", (int)status, "error",
            curl_easy_strerror(code));
    json_decref(tables);
    g_string_free(text, TRUE);
    return taken;
}

/* True if there are routes now. What is older than what is held changes
 * nothing, and the store's scan replaces all of it. */
static bool
take_tables(CpEntry *e, const json_t *tables)
{
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        const json_t *rows = json_array_get(tables, i);
        json_t *o;
        size_t k;
        json_array_foreach(rows, k, o)
        {
            const char *key = json_string_value(json_object_get(o, "key"));
            const char *value = json_string_value(json_object_get(o, "value"));
            if (key == NULL || value == NULL) {
                continue; /* not a row: the others still hold */
            }
            CpFeedRow row = {.key = key,
                             .value = value,
                             .value_bytes = strlen(value),
                             .version = (uint64_t)json_integer_value(
                                 json_object_get(o, "version"))};
            CpEntryFollow_OnRow(&e->followers[i], &row);
        }
    }
    return CpEntry_IsReady(e);
}

static size_t
on_data(char *data, size_t size, size_t n, void *ctx)
{
    GString *text = ctx;
    if (text->len + size * n > MAX_STATE_BYTES) {
        return 0;
    }
    g_string_append_len(text, data, (gssize)(size * n));
    return size * n;
}

static void
free_row(void *p)
{
    KeptRow *kept = p;
    free(kept->value);
    free(kept);
}
