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
/* How long the mark of a removed row outlasts a list of all rows: a copy from
 * which the store is restored is some seconds old. */
#define MARK_KEEP_NS (3600 * CP_NS_PER_S)

/* The last version read of a row. */
typedef struct {
    char *value;      /* NULL: deleted */
    char *last_value; /* of a deleted row, or of a host's row before this one;
                         NULL: not known */
    CpTableVersion version;
    uint32_t list_number; /* the last list of all rows that contained it */
    int64_t deleted_ns;   /* when it was read that it is deleted */
    int64_t held_over_ns; /* since when the store is not known to have it; 0:
                             it has */
} CachedRow;

static CpEraKind kind_of(const CpEntryFollower *f, const char *key);
static CpEraDecision decide(CpEntryFollower *f, const CachedRow *held,
                            const CpFeedRow *row);
static CpEraRow describe(CpEntryFollower *f, CpEraKind kind, const char *key,
                         const char *value, size_t value_bytes);
static CpEraRow describe_held(CpEntryFollower *f, CpEraKind kind,
                              const char *key, const CachedRow *held);
static void hold_over(CpEntryFollower *f, const char *key, CachedRow *held,
                      int64_t since_ns);
static bool load_from(CpEntry *e, const char *address);
static json_t *render_table(CpEntryFollower *f, const CpTableVersion *after,
                            uint64_t digest);
static CpStatus fetch_rows(CpEntryFollower *f, const char *peer,
                           uint32_t timeout_ms, bool sets_lapse,
                           CpTableVersion *version);
static uint64_t get_integer(const json_t *o, const char *name);
static CpTableVersion get_version(const json_t *table);
static json_t *fetch_page(const char *address, const char *path,
                          uint32_t timeout_ms);
static void apply_rows(CpEntryFollower *f, const json_t *rows, uint64_t era);
static void apply_held_over(CpEntryFollower *f, const CpFeedRow *row,
                            int64_t held_ns);
static bool mark_listed(CpEntryFollower *f, const CpFeedRow *row,
                        const CpTableVersion *read);
static uint64_t rows_digest(CpEntryFollower *f);
static void free_row(void *p);

void
CpEntryNeighbours_Init(CpEntryFollower *f)
{
    pthread_mutex_init(&f->rows_lock, NULL);
    f->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
}

CpEraDecision
CpEntryNeighbours_UpdateRow(CpEntryFollower *f, const CpFeedRow *row)
{
    const CpTableVersion version = {.era = row->era, .version = row->version};
    pthread_mutex_lock(&f->rows_lock);
    CachedRow *held = g_hash_table_lookup(f->rows, row->key);
    CpEraDecision d = decide(f, held, row);
    f->list_era = row->era > f->list_era ? row->era : f->list_era;
    if (d == CP_ERA_TAKE || d == CP_ERA_GONE) {
        /* What is no text is no entry, and could not be served as JSON. */
        bool is_text =
            g_utf8_validate(row->value, (gssize)row->value_bytes, NULL);
        bool deleted = row->deleted || d == CP_ERA_GONE;
        CachedRow *cached = CpMem_Alloc(sizeof(*cached));
        cached->value = deleted   ? NULL
                        : is_text ? g_strndup(row->value, row->value_bytes)
                                  : g_strdup("");
        if (held != NULL && (deleted || f->table == CP_TABLE_HOSTS)) {
            bool differs =
                held->value != NULL &&
                (deleted || strcmp(held->value, cached->value) != 0);
            cached->last_value =
                g_strdup(differs ? held->value : held->last_value);
        }
        if (deleted) {
            cached->deleted_ns = CpClock_Now_ns();
        }
        cached->version = version;
        if (held != NULL && CpTableVersion_IsLater(&held->version, &version)) {
            cached->version = held->version;
        }
        cached->list_number = f->list_number;
        g_hash_table_replace(f->rows, g_strdup(row->key), cached);
    }
    else if (d == CP_ERA_KEEP) {
        held->version = version;
        held->list_number = f->list_number;
        /* the store has an earlier process's row */
        if (f->table == CP_TABLE_HOSTS && held->value != NULL &&
            strcmp(held->value, row->value) != 0) {
            hold_over(f, row->key, held, CpClock_Now_ns());
        }
    }
    pthread_mutex_unlock(&f->rows_lock);
    return d;
}

char *
CpEntryNeighbours_GetLastValue(CpEntryFollower *f, const char *key)
{
    pthread_mutex_lock(&f->rows_lock);
    const CachedRow *held = g_hash_table_lookup(f->rows, key);
    char *value = held != NULL ? g_strdup(held->last_value) : NULL;
    pthread_mutex_unlock(&f->rows_lock);
    return value;
}

/* Called under the rows' lock. */
static CpEraDecision
decide(CpEntryFollower *f, const CachedRow *held, const CpFeedRow *row)
{
    CpEraRow held_row, next;
    if (row->era == 0 && (held == NULL || held->version.era == 0)) {
        return held == NULL || held->version.version <= row->version
                   ? CP_ERA_TAKE
                   : CP_ERA_IGNORE;
    }
    CpEraKind kind = kind_of(f, row->key);
    next = describe(f, kind, row->key, row->value, row->value_bytes);
    next.version = (CpTableVersion){.era = row->era, .version = row->version};
    next.deleted = row->deleted;
    if (held != NULL) {
        held_row = describe_held(f, kind, row->key, held);
    }
    return CpEra_OnRow(kind, held != NULL ? &held_row : NULL, &next);
}

static CpEraKind
kind_of(const CpEntryFollower *f, const char *key)
{
    char domain[CP_NAME_BYTES];
    if (f->table != CP_TABLE_OPERATOR) {
        return f->table == CP_TABLE_SERVERS ? CP_ERA_SERVER : CP_ERA_HOST;
    }
    CpEntryRowType type = f->entry->adapter.classify_operator_row(key, domain);
    return type == CP_ENTRY_ROW_ROUTES       ? CP_ERA_CONFIG
           : type == CP_ENTRY_ROW_EVACUATION ? CP_ERA_EVACUATION
                                             : CP_ERA_OTHER;
}

static CpEraRow
describe(CpEntryFollower *f, CpEraKind kind, const char *key,
         const char *value, size_t value_bytes)
{
    CpEraRow row = {0};
    CpServerEntry entry;
    if (kind == CP_ERA_SERVER &&
        f->entry->adapter.decode_server(key, value, value_bytes, &entry) ==
            CP_OK) {
        row.started_ms = entry.started_ms;
        row.sequence = entry.sequence;
    }
    if (kind == CP_ERA_HOST) {
        row.sequence = CpHash_Str(value, 0);
    }
    if (kind == CP_ERA_CONFIG) {
        row.unusable = !CpEntryFollow_GetConfigVersion(
            f->entry, value, value_bytes, &row.sequence);
    }
    return row;
}

/* The configuration that counts is the one in force. */
static CpEraRow
describe_held(CpEntryFollower *f, CpEraKind kind, const char *key,
              const CachedRow *held)
{
    CpEraRow row = {0};
    const char *value = held->value != NULL ? held->value : held->last_value;
    if (kind == CP_ERA_CONFIG) {
        row.sequence = CpEntryFollow_ConfigInForce(f->entry);
    }
    else if (value != NULL) {
        row = describe(f, kind, key, value, strlen(value));
    }
    row.version = held->version;
    row.deleted = held->value == NULL;
    row.held_over = held->held_over_ns != 0;
    return row;
}

/* Called under the rows' lock. */
static void
hold_over(CpEntryFollower *f, const char *key, CachedRow *held,
          int64_t since_ns)
{
    CpEntry *e = f->entry;
    if (held->held_over_ns == 0) {
        held->held_over_ns = since_ns;
    }
    if (f->table == CP_TABLE_HOSTS && strcmp(key, e->settings.host) == 0) {
        CpEntryHosts_OnOwnRowLost(e, CpClock_Now_ns());
    }
}

void
CpEntryNeighbours_BeginList(CpEntryFollower *f)
{
    pthread_mutex_lock(&f->rows_lock);
    f->list_number++;
    pthread_mutex_unlock(&f->rows_lock);
}

void
CpEntryNeighbours_EndList(CpEntryFollower *f, const CpTableVersion *version,
                          uint64_t removals_version)
{
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *key, *value;
    int64_t now_ns = CpClock_Now_ns();
    CpTableVersion read = CpEntryFollow_Get(f, &f->read);
    bool new_era = version->era > read.era && read.version > 0;
    pthread_mutex_lock(&f->rows_lock);
    f->list_era = version->era > f->list_era ? version->era : f->list_era;
    g_hash_table_iter_init(&it, f->rows);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        CachedRow *cached = value;
        if (cached->list_number == f->list_number ||
            CpTableVersion_IsLater(&cached->version, version)) {
            continue;
        }
        if (cached->value != NULL) {
            CpEraKind kind = kind_of(f, key);
            const CpEraRow held = {.version = cached->version,
                                   .held_over = cached->held_over_ns != 0};
            if (CpEra_OnMissing(kind, &held, version) == CP_ERA_GONE) {
                g_ptr_array_add(gone, g_strdup(key));
                continue;
            }
            cached->version = *version;
            if (kind != CP_ERA_CONFIG) {
                hold_over(f, key, cached, now_ns);
                CpEvent(CP_EVENT_STATE, "row_held_over", "s:s,s:I", "key",
                        (const char *)key, "era", (json_int_t)version->era);
            }
        }
        else if (now_ns - cached->deleted_ns > MARK_KEEP_NS) {
            g_hash_table_iter_remove(&it);
        }
        else if (version->era > cached->version.era) {
            cached->version = *version;
        }
    }
    f->removals_version = removals_version;
    pthread_mutex_unlock(&f->rows_lock);
    if (new_era && f->table == CP_TABLE_SERVERS) {
        CpEntryFollow_SetLapseLeft(f->entry, f->entry->settings.lapse_ms,
                                   now_ns);
    }
    for (guint i = 0; i < gone->len; i++) {
        CpFeedRow row = {.key = g_ptr_array_index(gone, i),
                         .value = "",
                         .deleted = true,
                         .version = version->version,
                         .era = version->era};
        CpEntryFollow_OnRow(f, &row);
    }
    g_ptr_array_unref(gone);
}

void
CpEntryNeighbours_GiveUpHeldOver(CpEntryFollower *f, int64_t now_ns)
{
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *key, *value;
    CpTableVersion version = CpEntryFollow_Get(f, &f->read);
    pthread_mutex_lock(&f->rows_lock);
    g_hash_table_iter_init(&it, f->rows);
    while (version.era > 0 && g_hash_table_iter_next(&it, &key, &value)) {
        CachedRow *cached = value;
        if (cached->held_over_ns != 0 && cached->value != NULL &&
            CpEra_IsGivenUp(kind_of(f, key), now_ns - cached->held_over_ns)) {
            g_ptr_array_add(gone, g_strdup(key));
        }
    }
    pthread_mutex_unlock(&f->rows_lock);
    for (guint i = 0; i < gone->len; i++) {
        const char *name = g_ptr_array_index(gone, i);
        CpEvent(CP_EVENT_STATE, "row_given_up", "s:s,s:I", "key", name, "era",
                (json_int_t)version.era);
        CpFeedRow row = {.key = name,
                         .value = "",
                         .deleted = true,
                         .version = version.version,
                         .era = version.era};
        CpEntryFollow_OnRow(f, &row);
    }
    g_ptr_array_unref(gone);
}

void
CpEntryNeighbours_LoadTables(CpEntry *e)
{
    for (uint32_t i = 0; i < e->settings.neighbour_count; i++) {
        const char *address = e->settings.neighbours[i].value;
        if (strcmp(address, e->settings.control) != 0) {
            load_from(e, address);
            if (CpEntry_IsReady(e)) {
                return;
            }
        }
    }
}

bool
CpEntryNeighbours_AskAll(CpEntry *e)
{
    bool answered = e->settings.neighbour_count == 0;
    bool alone = true;
    for (uint32_t i = 0; i < e->settings.neighbour_count; i++) {
        const char *address = e->settings.neighbours[i].value;
        if (strcmp(address, e->settings.control) != 0) {
            alone = false;
            answered = load_from(e, address) || answered;
        }
    }
    /* The list of the store that is being read decides which rows exist. */
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        CpEntryNeighbours_BeginList(&e->followers[i]);
    }
    return answered || alone;
}

bool
CpEntryNeighbours_FetchConfig(CpEntry *e, const char *peer)
{
    CpEntryFollower *f = &e->followers[CP_TABLE_OPERATOR];
    char address[CP_ADDR_BYTES];
    if (!CpEntryHosts_GetControlAddress(e, peer, address)) {
        return false;
    }
    json_t *state = fetch_page(address, "/state?table=0&after=0&digest=0",
                               LOAD_TIMEOUT_MS);
    const json_t *table =
        json_array_get(json_object_get(state, "tables"), CP_TABLE_OPERATOR);
    uint64_t era = get_integer(table, "era");
    json_t *o;
    size_t k;
    json_array_foreach(json_object_get(table, "rows"), k, o)
    {
        const char *key = json_string_value(json_object_get(o, "key"));
        const char *value = json_string_value(json_object_get(o, "value"));
        if (key != NULL && value != NULL && kind_of(f, key) == CP_ERA_CONFIG) {
            CpFeedRow row = {.key = key,
                             .value = value,
                             .value_bytes = strlen(value),
                             .version = get_integer(o, "version"),
                             .era = era};
            CpEntryFollow_OnRow(f, &row);
        }
    }
    json_decref(state);
    return state != NULL;
}

CpStatus
CpEntryNeighbours_FetchChanges(CpEntryFollower *f, const char *peer,
                               CpTableVersion *version)
{
    return fetch_rows(f, peer, STATE_TIMEOUT_MS, true, version);
}

CpStatus
CpEntryNeighbours_FetchMissed(CpEntryFollower *f, const char *peer,
                              CpTableVersion *version)
{
    return fetch_rows(f, peer, STATE_TIMEOUT_MS, false, version);
}

CpStatus
CpEntryNeighbours_LoadTable(CpEntryFollower *f, const char *peer,
                            CpTableVersion *version)
{
    return fetch_rows(f, peer, LOAD_TIMEOUT_MS, true, version);
}

static CpStatus
fetch_rows(CpEntryFollower *f, const char *peer, uint32_t timeout_ms,
           bool sets_lapse, CpTableVersion *version)
{
    char address[CP_ADDR_BYTES], path[128];
    if (!CpEntryHosts_GetControlAddress(f->entry, peer, address)) {
        return CpError_Set(CP_ERR_NOT_FOUND, "no control address of %s", peer);
    }
    pthread_mutex_lock(&f->rows_lock);
    uint64_t digest = rows_digest(f);
    pthread_mutex_unlock(&f->rows_lock);
    int n =
        snprintf(path, sizeof(path), "/state?table=%d&after=%llu&digest=%llu",
                 (int)f->table, (unsigned long long)version->version,
                 (unsigned long long)digest);
    if (version->era > 0) {
        snprintf(path + n, sizeof(path) - (size_t)n, "&era=%llu",
                 (unsigned long long)version->era);
    }
    json_t *state = fetch_page(address, path, timeout_ms);
    const json_t *table =
        json_array_get(json_object_get(state, "tables"), f->table);
    CpTableVersion peer_version = get_version(table);
    if (!CpTableVersion_IsLater(
            &peer_version, version)) { /* it has restarted since its report */
        json_decref(state);
        return CpError_Set(CP_ERR_PARSE, "%s has no later version", peer);
    }
    uint64_t removals_version = get_integer(table, "removals_version");
    const json_t *rows = json_object_get(table, "rows");
    if (removals_version == 0 || !json_is_array(rows)) { /* an earlier build */
        json_decref(state);
        return CpError_Set(CP_ERR_PARSE, "%s does not state its removals",
                           peer);
    }
    uint32_t lapse_left_ms =
        (uint32_t)json_integer_value(json_object_get(table, "lapse_left_ms"));
    bool all_rows = json_is_true(json_object_get(table, "all_rows"));
    if (!all_rows && peer_version.era != version->era) {
        json_decref(state);
        return CpError_Set(CP_ERR_PARSE, "%s did not list all rows", peer);
    }
    if (sets_lapse) {
        CpEntryFollow_SetLapseLeft(f->entry, lapse_left_ms, CpClock_Now_ns());
    }
    if (all_rows) {
        CpEntryNeighbours_BeginList(f);
    }
    apply_rows(f, rows, peer_version.era);
    if (all_rows) {
        CpEntryNeighbours_EndList(f, &peer_version, removals_version);
    }
    else if (version->version < removals_version) { /* equal digests */
        pthread_mutex_lock(&f->rows_lock);
        f->removals_version = removals_version;
        pthread_mutex_unlock(&f->rows_lock);
    }
    *version = peer_version;
    json_decref(state);
    return CP_OK;
}

static uint64_t
get_integer(const json_t *o, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(o, name));
}

/* A table without an era is of the first one. */
static CpTableVersion
get_version(const json_t *table)
{
    return (CpTableVersion){.era = get_integer(table, "era"),
                            .version = get_integer(table, "version")};
}

uint32_t
CpEntryNeighbours_RenderState(void *ctx, const CpPageQuery *q, char **out)
{
    CpEntry *e = ctx;
    const char *wanted_table = CpPageQuery_Get(q, "table");
    const CpTableVersion after = {
        .era = strtoull(CpPageQuery_Get(q, "era"), NULL, 10),
        .version = strtoull(CpPageQuery_Get(q, "after"), NULL, 10)};
    uint64_t digest = strtoull(CpPageQuery_Get(q, "digest"), NULL, 10);
    json_t *tables = json_array();
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        bool wanted =
            wanted_table[0] == '\0' || strtoul(wanted_table, NULL, 10) == i;
        json_array_append_new(
            tables, wanted ? render_table(&e->followers[i], &after, digest)
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
render_table(CpEntryFollower *f, const CpTableVersion *after, uint64_t digest)
{
    json_t *rows = json_array();
    GHashTableIter it;
    void *key, *value;
    int64_t now_ns = CpClock_Now_ns();
    /* read before the rows: a row that arrives meanwhile is sent twice rather
     * than never */
    CpTableVersion read = CpEntryFollow_Get(f, &f->read);
    pthread_mutex_lock(&f->rows_lock);
    uint64_t removals_version = f->removals_version;
    bool all_rows =
        after->era != read.era ||
        (after->version < removals_version && digest != rows_digest(f));
    /* Rows of two eras, while the first list of an era is read, are of no use
     * to others. */
    bool is_mixed = read.version > 0 && f->list_era != read.era;
    uint64_t era = f->list_era; /* also of what a neighbour had at the start */
    g_hash_table_iter_init(&it, f->rows);
    while (!is_mixed && g_hash_table_iter_next(&it, &key, &value)) {
        const CachedRow *cached = value;
        /* Without a restore, the lack of a row in a list says the same. */
        if (cached->value == NULL && era == 0 &&
            cached->version.version <= removals_version) {
            continue;
        }
        if (all_rows || cached->version.version > after->version) {
            json_t *row = json_pack("{s:s,s:s?,s:I}", "key", (const char *)key,
                                    "value", cached->value, "version",
                                    (json_int_t)cached->version.version);
            if (cached->held_over_ns != 0) {
                json_object_set_new(
                    row, "held_ms",
                    json_integer((now_ns - cached->held_over_ns) /
                                 CP_NS_PER_MS));
            }
            json_array_append_new(rows, row);
        }
    }
    pthread_mutex_unlock(&f->rows_lock);
    json_t *table = json_pack(
        "{s:I,s:I,s:b,s:i,s:o}", "version",
        is_mixed ? (json_int_t)0 : (json_int_t)read.version,
        "removals_version", (json_int_t)removals_version, "all_rows", all_rows,
        "lapse_left_ms", (int)CpEntryFollow_LapseLeft_ms(f->entry, now_ns),
        "rows", rows);
    if (era > 0 && !is_mixed) {
        json_object_set_new(table, "era", json_integer((json_int_t)era));
    }
    return table;
}

/* Returns true if the neighbour answered. */
static bool
load_from(CpEntry *e, const char *address)
{
    json_t *state = fetch_page(address, "/state", STATE_TIMEOUT_MS);
    const json_t *tables = json_object_get(state, "tables");
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        const json_t *table = json_array_get(tables, i);
        apply_rows(&e->followers[i], json_object_get(table, "rows"),
                   get_integer(table, "era"));
    }
    /* all rows as of this version */
    CpTableVersion version =
        get_version(json_array_get(tables, CP_TABLE_OPERATOR));
    CpFreshness_OnHeld(e->freshness, &version);
    bool answered = state != NULL;
    json_decref(state);
    CpEvent(CP_EVENT_DEPENDENCY,
            CpEntry_IsReady(e) ? "neighbour_answered"
                               : "neighbour_has_nothing",
            "s:s", "address", address);
    return answered;
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
apply_rows(CpEntryFollower *f, const json_t *rows, uint64_t era)
{
    CpTableVersion read = CpEntryFollow_Get(f, &f->read);
    json_t *o;
    size_t k;
    json_array_foreach(rows, k, o)
    {
        const char *key = json_string_value(json_object_get(o, "key"));
        const char *value = json_string_value(json_object_get(o, "value"));
        const json_t *held_ms = json_object_get(o, "held_ms");
        if (key == NULL) {
            continue; /* malformed; the other rows are still valid */
        }
        CpFeedRow row = {.key = key,
                         .value = value != NULL ? value : "",
                         .value_bytes = value != NULL ? strlen(value) : 0,
                         .deleted = value == NULL,
                         .version = get_integer(o, "version"),
                         .era = era};
        if (mark_listed(f, &row, &read)) {
            CpEntryFollow_OnRow(f, &row);
        }
        if (held_ms != NULL) {
            apply_held_over(f, &row,
                            json_integer_value(held_ms) * CP_NS_PER_MS);
        }
    }
}

/* Another host holds the row over; its time counts. */
static void
apply_held_over(CpEntryFollower *f, const CpFeedRow *row, int64_t held_ns)
{
    pthread_mutex_lock(&f->rows_lock);
    CachedRow *held = g_hash_table_lookup(f->rows, row->key);
    if (held != NULL && held->value != NULL && held->version.era == row->era &&
        held->version.version == row->version) {
        hold_over(f, row->key, held, CpClock_Now_ns() - held_ns);
    }
    pthread_mutex_unlock(&f->rows_lock);
}

/* Marks the held row as listed; returns true if `row` is newer than what this
 * host knows, or if both have to be compared, as either host may have kept
 * what the store has lost. */
static bool
mark_listed(CpEntryFollower *f, const CpFeedRow *row,
            const CpTableVersion *read)
{
    const CpTableVersion version = {.era = row->era, .version = row->version};
    pthread_mutex_lock(&f->rows_lock);
    CachedRow *held = g_hash_table_lookup(f->rows, row->key);
    CpTableVersion known = *read;
    bool differs = false, same_version = false;
    if (held != NULL) {
        held->list_number = f->list_number;
        same_version = held->version.era == version.era &&
                       held->version.version == version.version;
        /* A removed row may have been there again, and removed, since. */
        if (held->value != NULL ||
            CpTableVersion_IsLater(&held->version, &known)) {
            known = held->version;
        }
        differs =
            (held->value == NULL) != row->deleted ||
            (held->value != NULL && strcmp(held->value, row->value) != 0);
    }
    bool compare = differs && (row->era > 0 || known.era > 0) &&
                   (same_version || kind_of(f, row->key) == CP_ERA_CONFIG);
    pthread_mutex_unlock(&f->rows_lock);
    return compare || CpTableVersion_IsLater(&version, &known);
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
            digest ^= CpHash_Str(key, cached->version.version);
        }
    }
    return digest;
}

static void
free_row(void *p)
{
    CachedRow *cached = p;
    g_free(cached->value);
    g_free(cached->last_value);
    free(cached);
}
