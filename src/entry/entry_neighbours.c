/*
 * Rows of the store that hosts fetch from each other's page /state. A host
 * that starts while the store is unreachable fetches all rows from a
 * neighbour; a host that is not a watching host fetches the new rows of each
 * table from a peer that has read them.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"
#include "http/easy.h"

/* Two round trips between regions, and the transfer. */
#define STATE_TIMEOUT_MS 600
/* For all rows of a large table over a slow link. */
#define LOAD_TIMEOUT_MS 2500
#define MAX_STATE_BYTES (16u * 1024 * 1024)

/* The last version read of a row. */
typedef struct {
    char *value; /* NULL: deleted */
    uint64_t version;
    uint32_t list_number; /* the last list of all rows that contained it */
} CachedRow;

static bool load_from(CpEntry *e, const char *address);
static json_t *render_table(CpEntryFollower *f, uint64_t after,
                            uint64_t digest);
static CpStatus fetch_rows(CpEntryFollower *f, const char *peer,
                           uint32_t timeout_ms, bool sets_lapse,
                           uint64_t *version);
static json_t *fetch_page(const char *address, const char *path,
                          uint32_t timeout_ms);
static void apply_rows(CpEntryFollower *f, const json_t *rows);
static bool mark_listed(CpEntryFollower *f, const CpFeedRow *row,
                        uint64_t read_version);
static uint64_t rows_digest(CpEntryFollower *f);
static void free_row(void *p);

void
CpEntryNeighbours_Init(CpEntryFollower *f)
{
    pthread_mutex_init(&f->rows_lock, NULL);
    f->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
}

bool
CpEntryNeighbours_UpdateRow(CpEntryFollower *f, const CpFeedRow *row)
{
    pthread_mutex_lock(&f->rows_lock);
    const CachedRow *held = g_hash_table_lookup(f->rows, row->key);
    bool is_later = held == NULL || held->version <= row->version;
    if (is_later) {
        /* What is no text is no entry, and could not be served as JSON. */
        bool is_text =
            g_utf8_validate(row->value, (gssize)row->value_bytes, NULL);
        CachedRow *cached = CpMem_Alloc(sizeof(*cached));
        cached->value = row->deleted ? NULL
                        : is_text    ? g_strndup(row->value, row->value_bytes)
                                     : g_strdup("");
        cached->version = row->version;
        cached->list_number = f->list_number;
        g_hash_table_replace(f->rows, g_strdup(row->key), cached);
    }
    pthread_mutex_unlock(&f->rows_lock);
    return is_later;
}

void
CpEntryNeighbours_BeginList(CpEntryFollower *f)
{
    pthread_mutex_lock(&f->rows_lock);
    f->list_number++;
    pthread_mutex_unlock(&f->rows_lock);
}

void
CpEntryNeighbours_EndList(CpEntryFollower *f, uint64_t version,
                          uint64_t removals_version)
{
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *key, *value;
    pthread_mutex_lock(&f->rows_lock);
    g_hash_table_iter_init(&it, f->rows);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const CachedRow *cached = value;
        if (cached->list_number == f->list_number ||
            cached->version > version) {
            continue;
        }
        if (cached->value != NULL) {
            g_ptr_array_add(gone, g_strdup(key));
        }
        else { /* older than the marks that are complete */
            g_hash_table_iter_remove(&it);
        }
    }
    f->removals_version = removals_version;
    pthread_mutex_unlock(&f->rows_lock);
    for (guint i = 0; i < gone->len; i++) {
        CpFeedRow row = {.key = g_ptr_array_index(gone, i),
                         .value = "",
                         .deleted = true,
                         .version = version};
        CpEntryFollow_OnRow(f, &row);
    }
    g_ptr_array_unref(gone);
}

void
CpEntryNeighbours_LoadTables(CpEntry *e)
{
    for (uint32_t i = 0; i < e->settings.neighbour_count; i++) {
        const char *address = e->settings.neighbours[i].value;
        if (strcmp(address, e->settings.control) != 0 &&
            load_from(e, address)) {
            return;
        }
    }
}

CpStatus
CpEntryNeighbours_FetchChanges(CpEntryFollower *f, const char *peer,
                               uint64_t *version)
{
    return fetch_rows(f, peer, STATE_TIMEOUT_MS, true, version);
}

CpStatus
CpEntryNeighbours_FetchMissed(CpEntryFollower *f, const char *peer,
                              uint64_t *version)
{
    return fetch_rows(f, peer, STATE_TIMEOUT_MS, false, version);
}

CpStatus
CpEntryNeighbours_LoadTable(CpEntryFollower *f, const char *peer,
                            uint64_t *version)
{
    return fetch_rows(f, peer, LOAD_TIMEOUT_MS, true, version);
}

static CpStatus
fetch_rows(CpEntryFollower *f, const char *peer, uint32_t timeout_ms,
           bool sets_lapse, uint64_t *version)
{
    char address[CP_ADDR_BYTES], path[128];
    if (!CpEntryHosts_GetControlAddress(f->entry, peer, address)) {
        return CpError_Set(CP_ERR_NOT_FOUND, "no control address of %s", peer);
    }
    pthread_mutex_lock(&f->rows_lock);
    uint64_t digest = rows_digest(f);
    pthread_mutex_unlock(&f->rows_lock);
    snprintf(path, sizeof(path), "/state?table=%d&after=%llu&digest=%llu",
             (int)f->table, (unsigned long long)*version,
             (unsigned long long)digest);
    json_t *state = fetch_page(address, path, timeout_ms);
    const json_t *table =
        json_array_get(json_object_get(state, "tables"), f->table);
    uint64_t peer_version =
        (uint64_t)json_integer_value(json_object_get(table, "version"));
    if (peer_version <= *version) { /* it has restarted since its report */
        json_decref(state);
        return CpError_Set(CP_ERR_PARSE, "%s has no later version", peer);
    }
    uint64_t removals_version = (uint64_t)json_integer_value(
        json_object_get(table, "removals_version"));
    const json_t *rows = json_object_get(table, "rows");
    if (removals_version == 0 || !json_is_array(rows)) { /* an earlier build */
        json_decref(state);
        return CpError_Set(CP_ERR_PARSE, "%s does not state its removals",
                           peer);
    }
    uint32_t lapse_left_ms =
        (uint32_t)json_integer_value(json_object_get(table, "lapse_left_ms"));
    bool all_rows = json_is_true(json_object_get(table, "all_rows"));
    if (sets_lapse) {
        CpEntryFollow_SetLapseLeft(f->entry, lapse_left_ms, CpClock_Now_ns());
    }
    if (all_rows) {
        CpEntryNeighbours_BeginList(f);
    }
    apply_rows(f, rows);
    if (all_rows) {
        CpEntryNeighbours_EndList(f, peer_version, removals_version);
    }
    else if (*version < removals_version) { /* equal digests */
        pthread_mutex_lock(&f->rows_lock);
        f->removals_version = removals_version;
        pthread_mutex_unlock(&f->rows_lock);
    }
    *version = peer_version;
    json_decref(state);
    return CP_OK;
}

uint32_t
CpEntryNeighbours_RenderState(void *ctx, const CpPageQuery *q, char **out)
{
    CpEntry *e = ctx;
    const char *wanted_table = CpPageQuery_Get(q, "table");
    uint64_t after = strtoull(CpPageQuery_Get(q, "after"), NULL, 10);
    uint64_t digest = strtoull(CpPageQuery_Get(q, "digest"), NULL, 10);
    json_t *tables = json_array();
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        bool wanted =
            wanted_table[0] == '\0' || strtoul(wanted_table, NULL, 10) == i;
        json_array_append_new(
            tables, wanted ? render_table(&e->followers[i], after, digest)
                           : json_null());
    }
    json_t *root = json_pack("{s:o}", "tables", tables);
    *out = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return *out != NULL ? 200 : 500;
}

/* Renders the rows of a table after a version, and the version up to which the
 * table was read; all rows if some that were removed after the version are not
 * marked. An equal digest shows that the other host has none of these. */
static json_t *
render_table(CpEntryFollower *f, uint64_t after, uint64_t digest)
{
    json_t *rows = json_array();
    GHashTableIter it;
    void *key, *value;
    /* read before the rows: a row that arrives meanwhile is sent twice rather
     * than never */
    uint64_t version = __atomic_load_n(&f->read_version, __ATOMIC_RELAXED);
    pthread_mutex_lock(&f->rows_lock);
    uint64_t removals_version = f->removals_version;
    bool all_rows = after < removals_version && digest != rows_digest(f);
    g_hash_table_iter_init(&it, f->rows);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const CachedRow *cached = value;
        if (all_rows || cached->version > after) {
            json_array_append_new(
                rows, json_pack("{s:s,s:s?,s:I}", "key", (const char *)key,
                                "value", cached->value, "version",
                                (json_int_t)cached->version));
        }
    }
    pthread_mutex_unlock(&f->rows_lock);
    return json_pack(
        "{s:I,s:I,s:b,s:i,s:o}", "version", (json_int_t)version,
        "removals_version", (json_int_t)removals_version, "all_rows", all_rows,
        "lapse_left_ms",
        (int)CpEntryFollow_LapseLeft_ms(f->entry, CpClock_Now_ns()), "rows",
        rows);
}

static bool
load_from(CpEntry *e, const char *address)
{
    json_t *state = fetch_page(address, "/state", STATE_TIMEOUT_MS);
    const json_t *tables = json_object_get(state, "tables");
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        apply_rows(&e->followers[i],
                   json_object_get(json_array_get(tables, i), "rows"));
    }
    /* all rows as of this version */
    const json_t *version =
        json_object_get(json_array_get(tables, CP_TABLE_OPERATOR), "version");
    CpFreshness_OnHeld(
        e->freshness,
        &(CpTableVersion){.version = (uint64_t)json_integer_value(version)});
    json_decref(state);
    bool ready = CpEntry_IsReady(e);
    CpEvent(CP_EVENT_DEPENDENCY,
            ready ? "neighbour_answered" : "neighbour_has_nothing", "s:s",
            "address", address);
    return ready;
}

/* Fetches a page of another host; NULL on failure. */
static json_t *
fetch_page(const char *address, const char *path, uint32_t timeout_ms)
{
    char url[CP_ADDR_BYTES + 128];
    GString *text = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    long status = 0;
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    CpEasy_SetDefaults(easy, url, timeout_ms);
    CURLcode code = CpEasy_Perform(easy, text, MAX_STATE_BYTES, &status);
    curl_easy_cleanup(easy);
    json_t *page = NULL;
    if (code != CURLE_OK || status != 200) {
        CpEvent(CP_EVENT_DEPENDENCY, "neighbour_failed", "s:s,s:i,s:s",
                "address", address, "status", (int)status, "error",
                curl_easy_strerror(code));
    }
    else {
        page = json_loadb(text->str, text->len, 0, NULL);
    }
    g_string_free(text, TRUE);
    return page;
}

/* Rows that are no later than the held ones change nothing, and neither do
 * those that are not held though this host has read the table beyond them:
 * they are gone. */
static void
apply_rows(CpEntryFollower *f, const json_t *rows)
{
    uint64_t read_version =
        __atomic_load_n(&f->read_version, __ATOMIC_RELAXED);
    json_t *o;
    size_t k;
    json_array_foreach(rows, k, o)
    {
        const char *key = json_string_value(json_object_get(o, "key"));
        const char *value = json_string_value(json_object_get(o, "value"));
        if (key == NULL) {
            continue; /* malformed; the other rows are still valid */
        }
        CpFeedRow row = {.key = key,
                         .value = value != NULL ? value : "",
                         .value_bytes = value != NULL ? strlen(value) : 0,
                         .deleted = value == NULL,
                         .version = (uint64_t)json_integer_value(
                             json_object_get(o, "version"))};
        if (mark_listed(f, &row, read_version)) {
            CpEntryFollow_OnRow(f, &row);
        }
    }
}

/* Marks the held row as listed; returns true if `row` is newer than what this
 * host knows. */
static bool
mark_listed(CpEntryFollower *f, const CpFeedRow *row, uint64_t read_version)
{
    pthread_mutex_lock(&f->rows_lock);
    CachedRow *held = g_hash_table_lookup(f->rows, row->key);
    if (held != NULL) {
        held->list_number = f->list_number;
    }
    uint64_t known_version = held != NULL ? held->version : read_version;
    pthread_mutex_unlock(&f->rows_lock);
    return row->version > known_version;
}

/* Returns a digest of the rows that exist, independent of their order; called
 * under the rows' lock. */
static uint64_t
rows_digest(CpEntryFollower *f)
{
    GHashTableIter it;
    void *key, *value;
    uint64_t digest = 0;
    g_hash_table_iter_init(&it, f->rows);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const CachedRow *cached = value;
        if (cached->value != NULL) {
            digest ^= CpHash_Str(key, cached->version);
        }
    }
    return digest;
}

static void
free_row(void *p)
{
    CachedRow *cached = p;
    free(cached->value);
    free(cached);
}
