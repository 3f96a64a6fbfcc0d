/*
 * Follows the tables of the store, each in a thread of its own: first a scan,
 * then the changes. After the store was unreachable, missing entries of
 * servers may only have lapsed; they stay in use for `lapse_ms`.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry/entry_int.h"

/* For hundreds of rows at the lowest useful rate. */
#define SCAN_TIMEOUT_MS 1200
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 400        /* so that a reachable store is soon used */
#define RECOVERY_WAIT_MS 1000   /* while the operator's table retries */
#define FIRST_HOST_WAIT_MS 2000 /* poll of the host that detects outages */
/* At a first start: for some hundred hosts to write their rows, which the
 * store takes one after the other; and between attempts to load a table. */
#define START_SETTLE_MS 1800
#define START_POLL_MS 200
#define PEER_CHECK_S 1    /* between checks for a watching peer */
#define PROBE_WAIT_MS 100 /* poll after an error, and instead of a peer */
#define MIN_WAIT_NS (800 * CP_NS_PER_MS) /* for a response, before a stop */
/* After a restore: for the watching hosts to read a table, before other hosts
 * of the domain do, one after the other. */
#define COPY_WAIT_MS 2500
#define COPY_WAIT_PER_RANK_MS 200
#define COPY_POLL_MS 100
/* How long the store is asked at short intervals for an era that another host
 * has reported. */
#define ERA_PROBE_NS (10 * CP_NS_PER_S)
#define CONFIG_ASK_INTERVAL_NS CP_NS_PER_S
#define HELD_OVER_CHECK_NS CP_NS_PER_S
/* For a change to reach all hosts. */
#define MAX_BEHIND_NS (400 * CP_NS_PER_MS)

typedef struct {
    const char *label;
    uint32_t wait_ms;  /* longest wait for a change */
    uint32_t pause_ms; /* after a change, to collect more */
} TableInfo;

static void *follow_thread(void *ctx);
static bool load_at_start(CpEntryFollower *f, CpTableVersion *version);
static bool reads_from_peer(CpEntryFollower *f, int64_t now_ns);
static bool fetch_from_peer(CpEntryFollower *f, CpTableVersion *version);
static bool copy_new_era(CpEntryFollower *f, CpTableVersion *version);
static void confirm_copy(CpEntryFollower *f, bool nothing_newer,
                         const CpTableVersion *version);
static void fetch_missed(CpEntryFollower *f, CpTableVersion *version);
static void fetch_config(CpEntry *e);
static bool is_config_due(CpEntry *e, int64_t now_ns);
static void set_read_version(CpEntryFollower *f,
                             const CpTableVersion *version);
static bool is_era_due(CpEntryFollower *f, int64_t now_ns);
static bool is_peer_later(CpEntryFollower *f, const CpTableVersion *version);
static uint32_t max_wait_ms(CpEntryFollower *f, bool instead_of_peer);
static bool should_stop(void *ctx);
static CpStatus scan_table(CpEntryFollower *f, CpTableVersion *version);
static void on_scanned_row(void *ctx, const CpFeedRow *row);
static void record_result(CpEntryFollower *f, CpStatus st);
static void record_answer(CpEntryFollower *f, bool was_connected,
                          int64_t now_ns);
static void back_off(CpEntryFollower *f);
static bool has_routes(CpEntry *e);

/* That the store is unreachable shows only when a long poll ends. The first
 * host of a domain polls the operator's table with a short wait; the others
 * learn from its reports that they are behind. */
static const TableInfo table_info[CP_TABLE_COUNT] = {
    [CP_TABLE_OPERATOR] = {"operator", 10000, 0},
    [CP_TABLE_SERVERS] = {"servers", 10000, 200},
    [CP_TABLE_HOSTS] = {"hosts", 20000, 400},
};

CpStatus
CpEntryFollow_Start(CpEntry *e)
{
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        CpEntryFollower *f = &e->followers[i];
        f->entry = e;
        f->table = (CpTable)i;
        f->store = e->adapter.new_store(e->settings.platform, SCAN_TIMEOUT_MS);
        CpEntryNeighbours_Init(f);
        pthread_mutex_init(&f->versions_lock, NULL);
        f->store->should_stop = should_stop;
        f->store->should_stop_ctx = f;
        f->store->new_connections =
            i == CP_TABLE_OPERATOR && e->settings.revocation_bound_ms > 0;
    }
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        CpEntryFollower *f = &e->followers[i];
        if (pthread_create(&f->thread, NULL, follow_thread, f) != 0) {
            return CpError_Set(CP_ERR_IO, "follow: cannot start a thread");
        }
    }
    return CP_OK;
}

CpRoutes *
CpEntry_RetainRoutes(CpEntry *e, int64_t *since_ns)
{
    pthread_mutex_lock(&e->routes_lock);
    CpRoutes *r = CpRoutes_Retain(e->routes);
    if (since_ns != NULL) {
        *since_ns = e->routes_since_ns;
    }
    pthread_mutex_unlock(&e->routes_lock);
    return r;
}

bool
CpEntry_IsReady(CpEntry *e)
{
    return has_routes(e) && !CpAtomic_Load(&e->leaving);
}

void
CpEntryFollow_Tick(void *ctx, int64_t now_ns)
{
    CpEntry *e = ctx;
    CpEntryFollower *f = &e->followers[CP_TABLE_SERVERS];
    CpFleetHostCounts hosts;
    CpEntryHosts_CountSharing(e, &hosts);
    CpAtomic_Store(&e->hosts_in_domain, hosts.in_domain);
    CpFleet_Tick(e->fleet, &hosts, now_ns);
    if (!CpAtomic_Load(&f->consecutive_errors) &&
        CpAtomic_Load(&e->lapsed_removal_due) &&
        !CpEntryFollow_MayHaveLapsed(e, now_ns)) {
        CpAtomic_Store(&e->lapsed_removal_due, 0);
        uint32_t n = CpFleet_RemoveLapsed(e->fleet, now_ns);
        if (n > 0) {
            CpEvent(CP_EVENT_STATE, "servers_forgotten", "s:i", "count",
                    (int)n);
        }
    }
    if (CpEntryFollow_IsStoreReachable(e) && CpEntryFollow_Era(e) > 0 &&
        now_ns - e->held_over_checked_ns >= HELD_OVER_CHECK_NS) {
        e->held_over_checked_ns = now_ns;
        CpEntryNeighbours_GiveUpHeldOver(&e->followers[CP_TABLE_OPERATOR],
                                         now_ns);
        CpEntryNeighbours_GiveUpHeldOver(&e->followers[CP_TABLE_HOSTS],
                                         now_ns);
    }
}

static void *
follow_thread(void *ctx)
{
    CpEntryFollower *f = ctx;
    CpEntry *e = f->entry;
    CpTableVersion version = {0};
    bool scanned = false;
    bool history_gone = false; /* since the last feed that was read */
    for (;;) {
        CpTableVersion before = version;
        f->call_started_ns = CpClock_Now_ns();
        if (f->table == CP_TABLE_OPERATOR &&
            is_config_due(e, f->call_started_ns)) {
            fetch_config(e);
        }
        bool has_peer = scanned && reads_from_peer(f, f->call_started_ns);
        if (has_peer && fetch_from_peer(f, &version)) {
            continue;
        }
        if (!scanned && load_at_start(f, &version)) {
            scanned = true;
            continue;
        }
        uint64_t rows_before =
            __atomic_load_n(&f->rows_read, __ATOMIC_RELAXED);
        f->ended_early = false;
        CpStatus st = scanned
                          ? f->store->follow(f->store->ctx, f->table,
                                             max_wait_ms(f, has_peer),
                                             CpEntryFollow_OnRow, f, &version)
                          : scan_table(f, &version);
        if (st == CP_ERR_RANGE && scanned && version.era > before.era) {
            CpEntryFollow_OnEra(e, version.era);
            version = before;
            scanned = copy_new_era(f, &version);
            continue;
        }
        if (st == CP_ERR_RANGE) { /* the history is gone: scan again */
            CpEvent(CP_EVENT_DEPENDENCY, "history_gone", "s:s", "table",
                    table_info[f->table].label);
            scanned = false;
            if (history_gone) { /* each round reads the whole table */
                CpSleep_ms(RECOVERY_WAIT_MS);
            }
            history_gone = true;
            continue;
        }
        if (st == CP_OK && scanned) {
            history_gone = false;
        }
        if (st != CP_OK && f->ended_early) { /* no fault of the store */
            if (f->table == CP_TABLE_OPERATOR) {
                CpFreshness_OnUnconfirmedRead(e->freshness);
            }
            continue;
        }
        record_result(f, st);
        if (st != CP_OK) {
            if (f->table == CP_TABLE_OPERATOR && !has_routes(e)) {
                CpEntryNeighbours_LoadTables(e);
            }
            else if (f->table == CP_TABLE_OPERATOR) {
                fetch_missed(f, &version);
            }
            back_off(f);
            continue;
        }
        CpEntryFollow_OnEra(e, version.era);
        set_read_version(f, &version);
        if (f->table == CP_TABLE_OPERATOR) {
            bool no_rows = __atomic_load_n(&f->rows_read, __ATOMIC_RELAXED) ==
                           rows_before;
            confirm_copy(f, scanned && no_rows, &version);
        }
        scanned = true;
        bool changed = CpTableVersion_IsLater(&version, &before);
        if (changed) {
            CpEntryPeers_SendVersions(e);
        }
        if (changed && table_info[f->table].pause_ms > 0) {
            CpSleep_ms(table_info[f->table].pause_ms);
        }
    }
    return NULL;
}

/* When all hosts start together, most of them load the large tables from each
 * other rather than from the store: each asks the host of half its rank, so
 * that no host has to serve more than two others. Returns false if the table
 * has to be scanned. */
static bool
load_at_start(CpEntryFollower *f, CpTableVersion *version)
{
    CpEntry *e = f->entry;
    char parent[CP_NAME_BYTES];
    if (!e->settings.first_start || version->version > 0) {
        return false;
    }
    if (f->table == CP_TABLE_HOSTS) { /* until all have written their rows */
        CpSleep_ms(START_SETTLE_MS);
        return false;
    }
    while (CpEntryHosts_IsStarting(e)) {
        CpEntryFollower *hosts = &e->followers[CP_TABLE_HOSTS];
        uint64_t hosts_version =
            CpEntryFollow_Get(hosts, &hosts->read).version;
        if (hosts_version > 0 && !CpEntryHosts_GetParent(e, parent)) {
            return false;
        }
        if (hosts_version > 0 &&
            CpEntryNeighbours_LoadTable(f, parent, version) == CP_OK) {
            CpEvent(CP_EVENT_DEPENDENCY, "table_loaded", "s:s,s:s,s:I",
                    "table", table_info[f->table].label, "from", parent,
                    "version", (json_int_t)version->version);
            set_read_version(f, version);
            return true;
        }
        CpSleep_ms(START_POLL_MS);
    }
    CpEvent(CP_EVENT_DEPENDENCY, "table_not_loaded", "s:s", "table",
            table_info[f->table].label);
    return false;
}

/* Returns true if this host is not a watching host and reads the table from a
 * peer that is. */
static bool
reads_from_peer(CpEntryFollower *f, int64_t now_ns)
{
    CpEntry *e = f->entry;
    /* at a first start the first reports are still to come */
    return CpEntryHosts_Rank(e) >= e->settings.watching_hosts &&
           (CpEntryHosts_IsStarting(e) ||
            CpEntryHosts_HasWatchingPeer(e, now_ns));
}

/* Waits for a while until a peer has read a later version and fetches the rows
 * from it. Returns false if the store has to be read: the peer does not
 * provide the rows, or the last read failed, so that what was missing then is
 * not known to be gone. */
static bool
fetch_from_peer(CpEntryFollower *f, CpTableVersion *version)
{
    CpEntry *e = f->entry;
    char peer[CP_NAME_BYTES];
    pthread_mutex_lock(&e->store_lock);
    bool behind = is_peer_later(f, version);
    if (!behind && CpAtomic_Load(&f->consecutive_errors) == 0) {
        CpCond_Wait_ns(&e->store_changed, &e->store_lock,
                       PEER_CHECK_S * CP_NS_PER_S);
        behind = is_peer_later(f, version);
    }
    CpStr_Copy(peer, sizeof(peer), f->peer_host);
    pthread_mutex_unlock(&e->store_lock);
    if (!behind) {
        return CpAtomic_Load(&f->consecutive_errors) == 0;
    }
    if (CpEntryNeighbours_FetchChanges(f, peer, version) != CP_OK) {
        CpEvent(CP_EVENT_DEPENDENCY, "neighbour_gave_nothing", "s:s,s:s,s:s",
                "name", peer, "table", table_info[f->table].label, "error",
                CpError_Message());
        return false;
    }
    CpAtomic_Store(&f->consecutive_errors, 0);
    set_read_version(f, version);
    return true;
}

static bool
is_peer_later(CpEntryFollower *f, const CpTableVersion *version)
{
    CpTableVersion peer = CpEntryFollow_Get(f, &f->peer);
    return CpTableVersion_IsLater(&peer, version);
}

/* The store was restored. Hosts that do not watch it wait until a watching
 * host has read the table in the new era and copy it, so that they do not all
 * read it from the store. Returns false if the table has to be scanned. */
static bool
copy_new_era(CpEntryFollower *f, CpTableVersion *version)
{
    CpEntry *e = f->entry;
    int64_t start_ns = CpClock_Now_ns();
    for (;;) {
        char peer[CP_NAME_BYTES];
        uint32_t rank = CpEntryHosts_Rank(e);
        if (rank < e->settings.watching_hosts ||
            CpClock_Now_ns() - start_ns >
                (int64_t)(COPY_WAIT_MS + rank * COPY_WAIT_PER_RANK_MS) *
                    CP_NS_PER_MS) {
            return false;
        }
        pthread_mutex_lock(&e->store_lock);
        CpStr_Copy(peer, sizeof(peer), f->peer_host);
        pthread_mutex_unlock(&e->store_lock);
        if (is_peer_later(f, version) &&
            CpEntryNeighbours_FetchChanges(f, peer, version) == CP_OK) {
            CpAtomic_Store(&f->consecutive_errors, 0);
            CpEvent(CP_EVENT_DEPENDENCY, "table_loaded", "s:s,s:s,s:I",
                    "table", table_info[f->table].label, "from", peer,
                    "version", (json_int_t)version->version);
            set_read_version(f, version);
            return true;
        }
        CpSleep_ms(COPY_POLL_MS);
    }
}

/* Only a call for changes that returned none confirms the copy: rows may be a
 * part of those that there are. */
static void
confirm_copy(CpEntryFollower *f, bool nothing_newer,
             const CpTableVersion *version)
{
    CpEntryFollow_CheckConfig(f->entry);
    if (nothing_newer) {
        CpFreshness_OnNothingNewer(f->entry->freshness, version,
                                   f->call_started_ns);
    }
    else {
        CpFreshness_OnUnconfirmedRead(f->entry->freshness);
    }
}

/* While the store cannot be read, the rows of another host that has read more
 * of the table keep the copy fresh. */
static void
fetch_missed(CpEntryFollower *f, CpTableVersion *version)
{
    CpEntry *e = f->entry;
    char peer[CP_NAME_BYTES];
    pthread_mutex_lock(&e->store_lock);
    bool behind = is_peer_later(f, version);
    CpStr_Copy(peer, sizeof(peer), f->peer_host);
    pthread_mutex_unlock(&e->store_lock);
    if (!behind) {
        return;
    }
    if (CpEntryNeighbours_FetchMissed(f, peer, version) == CP_OK) {
        CpEvent(CP_EVENT_DEPENDENCY, "table_loaded", "s:s,s:s,s:I", "table",
                table_info[f->table].label, "from", peer, "version",
                (json_int_t)version->version);
        set_read_version(f, version);
        return;
    }
    pthread_mutex_lock(&e->store_lock);
    f->peer_host[0] = '\0'; /* the next one to report the version is asked */
    pthread_mutex_unlock(&e->store_lock);
}

static bool
is_config_due(CpEntry *e, int64_t now_ns)
{
    uint64_t in_force = CpEntryFollow_ConfigInForce(e);
    pthread_mutex_lock(&e->store_lock);
    bool due = e->config.highest_known > in_force &&
               e->config_host[0] != '\0' &&
               now_ns - e->config_asked_ns >= CONFIG_ASK_INTERVAL_NS;
    pthread_mutex_unlock(&e->store_lock);
    return due;
}

/* Another host has a configuration in force that the store has lost. */
static void
fetch_config(CpEntry *e)
{
    char peer[CP_NAME_BYTES];
    pthread_mutex_lock(&e->store_lock);
    CpStr_Copy(peer, sizeof(peer), e->config_host);
    e->config_host[0] = '\0'; /* the next one to report it is asked */
    e->config_asked_ns = CpClock_Now_ns();
    pthread_mutex_unlock(&e->store_lock);
    bool fetched = CpEntryNeighbours_FetchConfig(e, peer);
    CpEvent(CP_EVENT_DEPENDENCY,
            fetched ? "neighbour_answered" : "neighbour_gave_nothing",
            "s:s,s:s", "name", peer, "table", "operator");
}

static void
set_read_version(CpEntryFollower *f, const CpTableVersion *version)
{
    CpEntry *e = f->entry;
    pthread_mutex_lock(&f->versions_lock);
    bool started = f->read.version == 0;
    bool new_era = version->era > f->read.era;
    f->read = *version;
    bool caught_up = !CpTableVersion_IsLater(&f->peer, version);
    pthread_mutex_unlock(&f->versions_lock);
    if (f->table == CP_TABLE_OPERATOR && new_era) {
        pthread_mutex_lock(&e->store_lock);
        e->config.era_since_ns = CpClock_Now_ns();
        e->config.others_asked = e->config.others_asked || !started;
        pthread_mutex_unlock(&e->store_lock);
    }
    if (f->table == CP_TABLE_OPERATOR) {
        CpFreshness_OnHeld(e->freshness, version);
    }
    if (caught_up) {
        __atomic_store_n(&f->behind_since_ns, 0, __ATOMIC_RELAXED);
    }
}

CpTableVersion
CpEntryFollow_Get(CpEntryFollower *f, const CpTableVersion *v)
{
    pthread_mutex_lock(&f->versions_lock);
    CpTableVersion out = *v;
    pthread_mutex_unlock(&f->versions_lock);
    return out;
}

uint64_t
CpEntryFollow_Era(CpEntry *e)
{
    pthread_mutex_lock(&e->store_lock);
    uint64_t era = e->store_era;
    pthread_mutex_unlock(&e->store_lock);
    return era;
}

void
CpEntryFollow_OnEra(CpEntry *e, uint64_t era)
{
    pthread_mutex_lock(&e->store_lock);
    uint64_t before = e->store_era;
    if (era > before) {
        e->store_era = era;
        e->store_era_since_ns = CpClock_Now_ns();
        pthread_cond_broadcast(&e->store_changed);
    }
    pthread_mutex_unlock(&e->store_lock);
    if (era > before) {
        CpEvent(CP_EVENT_DEPENDENCY, "store_restored", "s:I,s:I", "era",
                (json_int_t)era, "before", (json_int_t)before);
        CpEntryPeers_AnnounceEra(e);
    }
}

/* Returns true while this table was last read in an era before the latest. */
static bool
is_era_due(CpEntryFollower *f, int64_t now_ns)
{
    CpEntry *e = f->entry;
    CpTableVersion read = CpEntryFollow_Get(f, &f->read);
    pthread_mutex_lock(&e->store_lock);
    bool due = e->store_era > read.era &&
               now_ns - e->store_era_since_ns < ERA_PROBE_NS;
    pthread_mutex_unlock(&e->store_lock);
    return due;
}

void
CpEntryFollow_OnPeerConfig(CpEntry *e, const char *host, uint64_t version)
{
    uint64_t in_force = CpEntryFollow_ConfigInForce(e);
    pthread_mutex_lock(&e->store_lock);
    e->config.others_asked = true;
    if (version > in_force && version >= e->config.highest_known) {
        if (version > e->config.highest_known || e->config_host[0] == '\0') {
            CpStr_Copy(e->config_host, sizeof(e->config_host), host);
            pthread_cond_broadcast(&e->store_changed);
        }
        e->config.highest_known = version;
    }
    pthread_mutex_unlock(&e->store_lock);
    CpEntryFollow_CheckConfig(e);
}

void
CpEntryFollow_SetRejected(CpEntry *e, bool rejected)
{
    pthread_mutex_lock(&e->store_lock);
    e->config.rejected = rejected;
    pthread_mutex_unlock(&e->store_lock);
    CpEntryFollow_CheckConfig(e);
}

void
CpEntryFollow_CheckConfig(CpEntry *e)
{
    uint64_t in_force = CpEntryFollow_ConfigInForce(e);
    pthread_mutex_lock(&e->store_lock);
    e->config.in_force = in_force;
    bool may = CpEra_MayConfirm(&e->config, CpClock_Now_ns());
    CpFreshness_SetInForce(e->freshness, may);
    pthread_mutex_unlock(&e->store_lock);
}

uint64_t
CpEntryFollow_ConfigInForce(CpEntry *e)
{
    pthread_mutex_lock(&e->routes_lock);
    uint64_t version = e->routes != NULL ? e->routes->version : 0;
    pthread_mutex_unlock(&e->routes_lock);
    return version;
}

bool
CpEntryFollow_IsWatching(CpEntry *e)
{
    return CpEntryFollow_IsStoreReachable(e) &&
           CpEntryHosts_Rank(e) < e->settings.watching_hosts;
}

/* After an error any response is of use: it shows that the store is reachable,
 * and that the table was read since. */
static uint32_t
max_wait_ms(CpEntryFollower *f, bool instead_of_peer)
{
    CpEntry *e = f->entry;
    if (instead_of_peer || !f->connected ||
        !CpEntryFollow_IsStoreReachable(e) ||
        is_era_due(f, CpClock_Now_ns())) {
        return PROBE_WAIT_MS;
    }
    if (f->table != CP_TABLE_OPERATOR) {
        return table_info[f->table].wait_ms;
    }
    bool is_first = CpEntryHosts_Rank(e) == 0;
    return CpFreshness_Wait_ms(e->freshness,
                               is_first ? FIRST_HOST_WAIT_MS
                                        : table_info[f->table].wait_ms,
                               is_first, CpClock_Now_ns());
}

/* Stops a call that will return nothing: peers have had a later version for a
 * while, or the operator's table has found the store unreachable. Also ends
 * one that would confirm the copy too late. */
static bool
should_stop(void *ctx)
{
    CpEntryFollower *f = ctx;
    CpEntry *e = f->entry;
    int64_t behind_since_ns =
        __atomic_load_n(&f->behind_since_ns, __ATOMIC_RELAXED);
    bool unreachable =
        !CpEntryFollow_IsStoreReachable(e) && f->table != CP_TABLE_OPERATOR;
    int64_t now_ns = CpClock_Now_ns();
    bool behind =
        behind_since_ns != 0 && now_ns - behind_since_ns > MAX_BEHIND_NS;
    if (now_ns - f->call_started_ns <= MIN_WAIT_NS) {
        return false;
    }
    f->ended_early =
        is_era_due(f, now_ns) ||
        (!unreachable && !behind && f->table == CP_TABLE_OPERATOR &&
         (CpFreshness_IsDue(e->freshness, now_ns) ||
          is_config_due(e, now_ns)));
    return unreachable || behind || f->ended_early;
}

void
CpEntryFollow_OnPeerVersion(CpEntry *e, const char *host, CpTable table,
                            const CpTableVersion *version, int64_t now_ns)
{
    CpEntryFollower *f = &e->followers[table];
    if (table == CP_TABLE_OPERATOR) {
        CpFreshness_OnKnown(e->freshness, version);
    }
    pthread_mutex_lock(&e->store_lock);
    pthread_mutex_lock(&f->versions_lock);
    bool is_later = CpTableVersion_IsLater(version, &f->read);
    bool is_latest = is_later && !CpTableVersion_IsLater(&f->peer, version);
    if (is_latest && (CpTableVersion_IsLater(version, &f->peer) ||
                      f->peer_host[0] == '\0')) {
        CpStr_Copy(f->peer_host, sizeof(f->peer_host), host);
        f->peer = *version;
        pthread_cond_broadcast(&e->store_changed);
    }
    pthread_mutex_unlock(&f->versions_lock);
    pthread_mutex_unlock(&e->store_lock);
    if (is_later &&
        __atomic_load_n(&f->behind_since_ns, __ATOMIC_RELAXED) == 0) {
        __atomic_store_n(&f->behind_since_ns, now_ns, __ATOMIC_RELAXED);
    }
}

CpTableVersion
CpEntryFollow_RowVersion(CpEntry *e, CpTable table)
{
    CpEntryFollower *f = &e->followers[table];
    pthread_mutex_lock(&f->versions_lock);
    CpTableVersion version = {0};
    if (!CpTableVersion_IsLater(&f->row, &f->read)) {
        version = f->row;
    }
    pthread_mutex_unlock(&f->versions_lock);
    return version;
}

static CpStatus
scan_table(CpEntryFollower *f, CpTableVersion *version)
{
    CpEntryNeighbours_BeginList(f);
    CpStatus st =
        f->store->scan(f->store->ctx, f->table, on_scanned_row, f, version);
    if (st == CP_OK) {
        CpEntryNeighbours_EndList(f, version, version->version);
        /* A row may have been removed at any version up to this one. */
        CpEntryFollow_RaiseRowVersion(f, version);
    }
    return st;
}

/* A host that starts after a restore asks its neighbours first what they know,
 * as the store may have lost it. */
static void
on_scanned_row(void *ctx, const CpFeedRow *row)
{
    CpEntryFollower *f = ctx;
    CpEntry *e = f->entry;
    if (row->era > 0 && CpEntryFollow_Get(f, &f->read).version == 0) {
        pthread_mutex_lock(&e->start_lock);
        if (!e->neighbours_asked) {
            e->neighbours_asked = true;
            bool answered = CpEntryNeighbours_AskAll(e);
            pthread_mutex_lock(&e->store_lock);
            e->config.others_asked = e->config.others_asked || answered;
            pthread_mutex_unlock(&e->store_lock);
        }
        pthread_mutex_unlock(&e->start_lock);
    }
    CpEntryFollow_OnRow(f, row);
}

static void
record_result(CpEntryFollower *f, CpStatus st)
{
    bool was_connected = f->connected;
    f->connected = st == CP_OK;
    if (st == CP_OK) {
        CpAtomic_Store(&f->consecutive_errors, 0);
        record_answer(f, was_connected, CpClock_Now_ns());
        return;
    }
    CpAtomic_Store(&f->consecutive_errors, f->consecutive_errors + 1);
    if (was_connected || f->consecutive_errors == 1) {
        CpEntry *e = f->entry;
        f->unreachable_since_ns = CpClock_Now_ns();
        pthread_mutex_lock(&e->store_lock);
        e->store_reachable = false;
        e->store_was_unreachable = true;
        pthread_mutex_unlock(&e->store_lock);
        CpEvent(CP_EVENT_DEPENDENCY, "store_lost", "s:s,s:s", "table",
                table_info[f->table].label, "error", CpError_Message());
    }
}

/* The first table that is read again sets the time since which the store is
 * reachable. Entries lapse after three report intervals of their servers, so
 * that none can have lapsed in less than two of them without an answer: then
 * only this host's connection had failed. */
static void
record_answer(CpEntryFollower *f, bool was_connected, int64_t now_ns)
{
    CpEntry *e = f->entry;
    int64_t min_outage_ns = 2 * e->settings.report_interval_ms * CP_NS_PER_MS;
    pthread_mutex_lock(&e->store_lock);
    if (!e->store_reachable) {
        e->store_reachable = true;
        if (now_ns - e->store_answered_ns >= min_outage_ns) {
            e->store_reachable_since_ns = now_ns;
        }
        pthread_cond_broadcast(&e->store_changed);
    }
    e->store_answered_ns = now_ns;
    pthread_mutex_unlock(&e->store_lock);
    if (!was_connected) {
        CpEvent(CP_EVENT_DEPENDENCY, "store_regained", "s:s,s:I", "table",
                table_info[f->table].label, "away_ms",
                (json_int_t)(f->unreachable_since_ns == 0
                                 ? 0
                                 : (now_ns - f->unreachable_since_ns) /
                                       CP_NS_PER_MS));
    }
}

bool
CpEntryFollow_MayHaveLapsed(CpEntry *e, int64_t now_ns)
{
    return CpEntryFollow_LapseLeft_ms(e, now_ns) > 0;
}

/* The state is shared by all tables: a table in a long poll does not notice an
 * outage that another one does. */
uint32_t
CpEntryFollow_LapseLeft_ms(CpEntry *e, int64_t now_ns)
{
    int64_t lapse_ns = e->settings.lapse_ms * CP_NS_PER_MS;
    pthread_mutex_lock(&e->store_lock);
    int64_t reachable_ns =
        e->store_reachable ? now_ns - e->store_reachable_since_ns : 0;
    bool may_reappear = e->store_was_unreachable && reachable_ns < lapse_ns;
    pthread_mutex_unlock(&e->store_lock);
    return may_reappear
               ? (uint32_t)((lapse_ns - reachable_ns) / CP_NS_PER_MS) + 1
               : 0;
}

void
CpEntryFollow_SetLapseLeft(CpEntry *e, uint32_t left_ms, int64_t now_ns)
{
    int64_t past_ms = (int64_t)e->settings.lapse_ms - left_ms;
    pthread_mutex_lock(&e->store_lock);
    e->store_reachable = true;
    e->store_was_unreachable = e->store_was_unreachable || left_ms > 0;
    e->store_reachable_since_ns = now_ns - past_ms * CP_NS_PER_MS;
    pthread_mutex_unlock(&e->store_lock);
}

/* While the store is unreachable, only the operator's table probes it at this
 * rate; the others wait longer or until it is reachable. */
static void
back_off(CpEntryFollower *f)
{
    CpEntry *e = f->entry;
    uint32_t ms = RETRY_MIN_MS;
    for (uint32_t i = 1; i < f->consecutive_errors && ms < RETRY_MAX_MS; i++) {
        ms *= 2;
    }
    ms = ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS;
    ms = ms / 2 + (uint32_t)(CpRandom() % (ms / 2 + 1));
    if (f->table == CP_TABLE_OPERATOR || CpEntryFollow_IsStoreReachable(e)) {
        CpSleep_ms(ms);
        return;
    }
    pthread_mutex_lock(&e->store_lock);
    if (!e->store_reachable) {
        CpCond_Wait_ns(&e->store_changed, &e->store_lock,
                       (RECOVERY_WAIT_MS + ms) * CP_NS_PER_MS);
    }
    pthread_mutex_unlock(&e->store_lock);
}

static bool
has_routes(CpEntry *e)
{
    pthread_mutex_lock(&e->routes_lock);
    bool found = e->routes != NULL;
    pthread_mutex_unlock(&e->routes_lock);
    return found;
}

bool
CpEntryFollow_IsStoreReachable(CpEntry *e)
{
    pthread_mutex_lock(&e->store_lock);
    bool reachable = e->store_reachable;
    pthread_mutex_unlock(&e->store_lock);
    return reachable;
}
