/*
 * Discovery of entry hosts through a table of the store: each host writes its
 * row when it starts and removes it when it leaves.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"

#define MAX_ADDRESSES 16   /* in a directory response; enough that some work */
#define MAX_WARMUP_HOSTS 2 /* that share a cold server's warm-up rate */
/* Until a row that was written has been read back through the feed. */
#define OWN_ROW_WAIT_NS (3 * CP_NS_PER_S)
/* Four report intervals within this domain. */
#define LOCAL_REPORT_TIMEOUT_NS (2 * CP_NS_PER_S)
#define START_NS                                                              \
    (6 * CP_NS_PER_S) /* of a first start, until hosts are ready */
/* For the first read of the table, which shows whether this host had a row. */
#define FIRST_READ_WAIT_NS CP_NS_PER_S
#define MAX_LOST_REMOTE_REPORTS 3 /* in a row, before a domain is silent */
/* Three report intervals; then the peers of a watching host follow the store
 * themselves. */
#define WATCHING_TIMEOUT_NS (1500 * CP_NS_PER_MS)
/* From the reading of a host's row to its first report. */
#define FIRST_REPORT_TIMEOUT_NS (5 * CP_NS_PER_S)

static uint32_t position(CpEntry *e);
static CpEntryHost *find_host(CpEntry *e, const char *name);
static uint32_t rank_in_domain(const CpEntry *e, const CpEntryHost *host);
static const CpEntryHost *find_live(const CpEntry *e, const char *domain,
                                    uint32_t rank);
static const CpEntryHost *
select_by_rotation(const CpEntry *e, const char *domain, uint32_t rotation);
static void check_domain_silence(CpEntry *e, uint32_t domain_index,
                                 uint32_t own_hosts, int64_t now_ns);
static bool is_domain_silent(const CpEntry *e, const char *domain);
static bool decode_host(const CpFeedRow *row, CpEntryHost *out);
static void keep_reported(CpEntryHost *next, const CpEntryHost *host);
static uint64_t replaced_incarnation(CpEntry *e, const char *name);
static char *encode_host(const CpEntry *e);
static bool is_table_read(CpEntry *e);
static const char *region_of(const CpEntry *e, const char *domain);

void
CpEntryHosts_Init(CpEntry *e)
{
    e->hosts = g_ptr_array_new_with_free_func(free);
    e->domain_silent =
        CpMem_Alloc((e->settings.domain_count + 1) * sizeof(bool));
}

/* The row is written again if the store has lost it or never had it. */
void
CpEntryHosts_Tick(void *ctx, int64_t now_ns)
{
    CpEntry *e = ctx;
    int64_t lost_ns = __atomic_load_n(&e->own_row_lost_ns, __ATOMIC_RELAXED);
    if (CpAtomic_Load(&e->leaving) ||
        (lost_ns != 0 &&
         now_ns - lost_ns < CpEra_WriteDelay_ns(position(e))) ||
        (e->own_row_written_ns > 0 &&
         now_ns - e->own_row_written_ns < OWN_ROW_WAIT_NS)) {
        return;
    }
    pthread_mutex_lock(&e->hosts_lock);
    const CpEntryHost *self = find_host(e, e->settings.host);
    bool has_row = self != NULL && self->incarnation == e->incarnation;
    pthread_mutex_unlock(&e->hosts_lock);
    if (has_row && lost_ns == 0) {
        return;
    }
    /* At a first start there was no row, and the table is read later. */
    if (!e->settings.first_start && e->own_row_written_ns == 0 &&
        !is_table_read(e) && now_ns - e->started_ns < FIRST_READ_WAIT_NS) {
        return;
    }
    char *value = encode_host(e);
    CpStatus st = e->store->write_row(e->store->ctx, CP_TABLE_HOSTS,
                                      e->settings.host, value);
    if (st == CP_OK) {
        e->own_row_written_ns = now_ns;
    }
    else {
        CpEvent(CP_EVENT_DEPENDENCY, "host_row_not_written", "s:s", "error",
                CpError_Message());
    }
    /* After a failure the writes are spread again. */
    if (lost_ns != 0) {
        __atomic_store_n(&e->own_row_lost_ns, st == CP_OK ? 0 : now_ns,
                         __ATOMIC_RELAXED);
    }
    free(value);
}

void
CpEntryHosts_OnOwnRowLost(CpEntry *e, int64_t now_ns)
{
    int64_t none = 0;
    __atomic_compare_exchange_n(&e->own_row_lost_ns, &none, now_ns, false,
                                __ATOMIC_RELAXED, __ATOMIC_RELAXED);
}

/* Returns this host's place in the order of all hosts by name. */
static uint32_t
position(CpEntry *e)
{
    uint32_t before = 0;
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        before += strcmp(h->name, e->settings.host) < 0;
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return before;
}

bool
CpEntryHosts_OnEra(CpEntry *e, const char *name)
{
    pthread_mutex_lock(&e->hosts_lock);
    CpEntryHost *h = find_host(e, name);
    if (h != NULL) {
        h->reports_era = true;
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return h != NULL;
}

bool
CpEntryHosts_ReportsEra(CpEntry *e, const char *name)
{
    pthread_mutex_lock(&e->hosts_lock);
    const CpEntryHost *h = find_host(e, name);
    bool reports = h != NULL && h->reports_era;
    pthread_mutex_unlock(&e->hosts_lock);
    return reports;
}

void
CpEntryHosts_RemoveOwnRow(CpEntry *e)
{
    if (e->store->write_row(e->store->ctx, CP_TABLE_HOSTS, e->settings.host,
                            NULL) != CP_OK) {
        CpEvent(CP_EVENT_DEPENDENCY, "host_row_not_removed", "s:s", "error",
                CpError_Message());
    }
}

void
CpEntryHosts_OnRow(CpEntry *e, const CpFeedRow *row)
{
    CpEntryHost next;
    bool usable = !row->deleted && decode_host(row, &next);
    if (!row->deleted && !usable) {
        CpEvent(CP_EVENT_STATE, "host_row_unusable", "s:s,s:I", "name",
                row->key, "row_version", (json_int_t)row->version);
    }
    bool is_own = strcmp(row->key, e->settings.host) == 0;
    uint64_t replaced = usable ? replaced_incarnation(e, row->key) : 0;
    pthread_mutex_lock(&e->hosts_lock);
    CpEntryHost *host = find_host(e, row->key);
    if (is_own && !is_table_read(e)) {
        e->had_row = usable && next.incarnation != e->incarnation;
    }
    if (usable && host == NULL) {
        host = CpMem_Alloc(sizeof(*host));
        g_ptr_array_add(e->hosts, host);
    }
    if (usable) {
        next.replaced_incarnation =
            replaced != next.incarnation ? replaced : 0;
        keep_reported(&next, host);
        next.row_read_ns = CpClock_Now_ns();
        *host = next;
    }
    else if (host != NULL) {
        g_ptr_array_remove(e->hosts, host);
    }
    pthread_mutex_unlock(&e->hosts_lock);
    if (usable && strcmp(next.name, e->settings.host) == 0 &&
        next.incarnation == e->incarnation) {
        __atomic_store_n(&e->own_row_lost_ns, 0, __ATOMIC_RELAXED);
    }
    CpEvent(CP_EVENT_STATE, usable ? "host" : "host_gone", "s:s,s:I", "name",
            row->key, "row_version", (json_int_t)row->version);
}

uint32_t
CpEntryHosts_Count(CpEntry *e)
{
    pthread_mutex_lock(&e->hosts_lock);
    uint32_t n = e->hosts->len;
    pthread_mutex_unlock(&e->hosts_lock);
    return n > 0 ? n : 1;
}

uint32_t
CpEntryHosts_Rank(CpEntry *e)
{
    CpEntryHost self = {0};
    CpStr_Copy(self.name, sizeof(self.name), e->settings.host);
    CpStr_Copy(self.domain, sizeof(self.domain), e->settings.domain);
    pthread_mutex_lock(&e->hosts_lock);
    uint32_t rank = rank_in_domain(e, &self);
    pthread_mutex_unlock(&e->hosts_lock);
    return rank;
}

bool
CpEntryHosts_IsStarting(const CpEntry *e)
{
    return e->settings.first_start &&
           CpClock_Now_ns() - e->started_ns < START_NS;
}

/* The other hosts of the domain are ranked by name, as for watching. */
bool
CpEntryHosts_GetParent(CpEntry *e, char out[CP_NAME_BYTES])
{
    uint32_t rank = CpEntryHosts_Rank(e);
    bool found = false;
    if (rank < e->settings.watching_hosts) {
        return false;
    }
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len && !found; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (strcmp(h->domain, e->settings.domain) == 0 &&
            rank_in_domain(e, h) == rank / 2) {
            CpStr_Copy(out, CP_NAME_BYTES, h->name);
            found = true;
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return found;
}

bool
CpEntryHosts_HasWatchingPeer(CpEntry *e, int64_t now_ns)
{
    bool found = false;
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len && !found; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        found = strcmp(h->domain, e->settings.domain) == 0 &&
                strcmp(h->name, e->settings.host) != 0 &&
                h->last_watching_ns > 0 &&
                now_ns - h->last_watching_ns < WATCHING_TIMEOUT_NS;
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return found;
}

bool
CpEntryHosts_GetControlAddress(CpEntry *e, const char *name,
                               char out[CP_ADDR_BYTES])
{
    pthread_mutex_lock(&e->hosts_lock);
    const CpEntryHost *h = find_host(e, name);
    CpStr_Copy(out, CP_ADDR_BYTES, h != NULL ? h->control : "");
    pthread_mutex_unlock(&e->hosts_lock);
    return out[0] != '\0';
}

bool
CpEntryHosts_GetInnerAddress(CpEntry *e, const char *name, CpEntryAddress *out)
{
    pthread_mutex_lock(&e->hosts_lock);
    const CpEntryHost *h = find_host(e, name);
    CpStr_Copy(out->value, sizeof(out->value), h != NULL ? h->inner : "");
    pthread_mutex_unlock(&e->hosts_lock);
    return out->value[0] != '\0';
}

/* This host counts as live until it leaves; it then generates no tokens, and
 * removes its row, which makes the others generate more. */
uint32_t
CpEntryHosts_ListForQuota(CpEntry *e, CpQuotaHost **out, bool *restarted)
{
    bool leaving = CpAtomic_Load(&e->leaving) != 0;
    pthread_mutex_lock(&e->hosts_lock);
    uint32_t n = e->hosts->len;
    *out = CpMem_Alloc((n + 1) * sizeof(**out));
    *restarted = e->had_row;
    for (guint i = 0; i < n; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        bool self = strcmp(h->name, e->settings.host) == 0;
        CpStr_Copy((*out)[i].name, CP_NAME_BYTES, h->name);
        (*out)[i].live = self ? !leaving : !h->silent && !h->leaving;
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return n;
}

void
CpEntryHosts_CountSharing(CpEntry *e, CpFleetHostCounts *out)
{
    const char *region = region_of(e, e->settings.domain);
    *out = (CpFleetHostCounts){0};
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (!h->silent) {
            out->in_domain += strcmp(h->domain, e->settings.domain) == 0;
            out->in_region += strcmp(region_of(e, h->domain), region) == 0;
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
    out->in_domain += out->in_domain == 0;
    out->in_region += out->in_region == 0;
}

bool
CpEntryHosts_OnReport(CpEntry *e, const char *name, uint64_t incarnation,
                      uint64_t sequence, bool leaving, bool watching,
                      int64_t now_ns)
{
    bool later = false;
    pthread_mutex_lock(&e->hosts_lock);
    CpEntryHost *h = find_host(e, name);
    if (h != NULL) {
        bool restarted = incarnation != h->incarnation;
        later = restarted ? incarnation != h->previous_incarnation &&
                                incarnation != h->replaced_incarnation
                          : sequence > h->last_report_sequence;
        if (later) {
            /* One that has only a row may be the later one. */
            if (restarted && h->last_report_ns > 0) {
                h->previous_incarnation = h->incarnation;
            }
            h->incarnation = incarnation;
            h->last_report_sequence = sequence;
            h->leaving = leaving;
            h->last_report_ns = now_ns;
            h->last_watching_ns = watching ? now_ns : 0;
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return later;
}

void
CpEntryHosts_CheckSilence(CpEntry *e, int64_t now_ns)
{
    CpFleetHostCounts counts;
    CpEntryHosts_CountSharing(e, &counts);
    /* A remote host reports to the hosts of this domain in rotation; one
     * report may be lost. */
    int64_t remote_limit_ns = CP_ENTRY_REMOTE_REPORT_INTERVAL_MS *
                                  CP_NS_PER_MS * (2 * counts.in_domain + 1) /
                                  2 +
                              LOCAL_REPORT_TIMEOUT_NS;
    pthread_mutex_lock(&e->hosts_lock);
    for (uint32_t d = 0; d < e->settings.domain_count; d++) {
        check_domain_silence(e, d, counts.in_domain, now_ns);
    }
    for (guint i = 0; i < e->hosts->len; i++) {
        CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        bool is_local = strcmp(h->domain, e->settings.domain) == 0;
        int64_t since_ns =
            h->last_report_ns > 0 ? h->last_report_ns : h->row_read_ns;
        int64_t limit_ns =
            is_local ? LOCAL_REPORT_TIMEOUT_NS : remote_limit_ns;
        if (h->last_report_ns == 0 && limit_ns < FIRST_REPORT_TIMEOUT_NS) {
            limit_ns = FIRST_REPORT_TIMEOUT_NS;
        }
        bool silent = strcmp(h->name, e->settings.host) != 0 &&
                      (now_ns - since_ns > limit_ns ||
                       (!is_local && is_domain_silent(e, h->domain)));
        if (silent != h->silent) {
            h->silent = silent;
            CpEvent(CP_EVENT_STATE, silent ? "host_silent" : "host_heard",
                    "s:s,s:I", "name", h->name, "heard_ms_ago",
                    (json_int_t)((now_ns - since_ns) / CP_NS_PER_MS));
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
}

/* A host hears each host of a large remote domain rarely, but one of them each
 * second. If it hears none, none of them is named any more. */
static void
check_domain_silence(CpEntry *e, uint32_t domain_index, uint32_t own_hosts,
                     int64_t now_ns)
{
    const char *domain = e->settings.domains[domain_index].name;
    int64_t last_ns = 0;
    uint32_t count = 0;
    for (guint i = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (strcmp(h->domain, domain) == 0) {
            count++;
            last_ns =
                h->last_report_ns > last_ns ? h->last_report_ns : last_ns;
        }
    }
    uint32_t rounds = count > 0 ? (own_hosts + count - 1) / count : 1;
    int64_t limit_ns = (MAX_LOST_REMOTE_REPORTS + 1) * rounds *
                           (int64_t)CP_ENTRY_REMOTE_REPORT_INTERVAL_MS *
                           CP_NS_PER_MS +
                       LOCAL_REPORT_TIMEOUT_NS / 2;
    e->domain_silent[domain_index] =
        last_ns > 0 && now_ns - last_ns > limit_ns;
}

static bool
is_domain_silent(const CpEntry *e, const char *domain)
{
    for (uint32_t i = 0; i < e->settings.domain_count; i++) {
        if (strcmp(e->settings.domains[i].name, domain) == 0) {
            return e->domain_silent[i];
        }
    }
    return false;
}

uint32_t
CpEntryHosts_ListUsageRecipients(CpEntry *e, const CpFleetUsage *usage,
                                 CpEntryAddress *out, uint32_t capacity)
{
    uint32_t n = 0;
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len && n < capacity; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        bool shares = strcmp(h->domain, usage->domain) == 0 ||
                      strcmp(h->domain, e->settings.domain) == 0;
        uint64_t hash = shares ? 0 : CpHash_Str(h->name, 0);
        for (uint32_t k = 0; !shares && k < usage->peer_count; k++) {
            shares = usage->peer_hashes[k] == hash;
        }
        if (shares && !h->silent && strcmp(h->name, e->settings.host) != 0) {
            CpStr_Copy(out[n++].value, CP_ADDR_BYTES, h->inner);
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return n;
}

uint32_t
CpEntryHosts_ListReportRecipients(CpEntry *e, bool remote, CpEntryAddress *out,
                                  uint32_t capacity)
{
    uint32_t n = 0;
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len && n < capacity; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (strcmp(h->domain, e->settings.domain) == 0 &&
            strcmp(h->name, e->settings.host) != 0) {
            CpStr_Copy(out[n++].value, CP_ADDR_BYTES, h->inner);
        }
    }
    /* Hosts of a domain begin at different places, so that each remote host
     * hears one of them at a time, all the time. */
    const CpEntryHost *self = find_host(e, e->settings.host);
    uint32_t rank = self != NULL ? rank_in_domain(e, self) : 0;
    for (uint32_t d = 0;
         remote && d < e->settings.domain_count && n < capacity; d++) {
        const char *domain = e->settings.domains[d].name;
        const CpEntryHost *h =
            select_by_rotation(e, domain, e->remote_rotation + rank);
        if (h != NULL && strcmp(domain, e->settings.domain) != 0) {
            CpStr_Copy(out[n++].value, CP_ADDR_BYTES, h->inner);
        }
    }
    e->remote_rotation += remote;
    pthread_mutex_unlock(&e->hosts_lock);
    return n;
}

bool
CpEntryHosts_GetWarmupShare(void *ctx, const char *instance,
                            const char *domain, uint32_t *host_count)
{
    CpEntry *e = ctx;
    uint64_t seed = CpHash_Str(instance, 0);
    uint64_t own_hash = CpHash_Str(e->settings.host, seed);
    uint32_t rank = 0, count = 0;
    if (strcmp(domain, e->settings.domain) != 0) {
        return false;
    }
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (strcmp(h->domain, domain) == 0) {
            count++;
            rank += CpHash_Str(h->name, seed) < own_hash;
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
    *host_count =
        count < MAX_WARMUP_HOSTS ? (count > 0 ? count : 1) : MAX_WARMUP_HOSTS;
    return rank < MAX_WARMUP_HOSTS;
}

uint32_t
CpEntryHosts_ListWatching(CpEntry *e, bool several, uint32_t rotation,
                          CpEntryAddress out[CP_ENTRY_MAX_ASKED])
{
    const CpSettings *s = &e->settings;
    uint32_t n = 0;
    pthread_mutex_lock(&e->hosts_lock);
    for (uint32_t rank = 0; rank < (several ? 2 : 1); rank++) {
        const CpEntryHost *h = find_live(e, s->domain, rank);
        if (h != NULL) {
            CpStr_Copy(out[n++].value, CP_ADDR_BYTES, h->inner);
        }
    }
    /* The watching hosts of another domain change less often than the domain,
     * so that each pair has its turn. */
    for (uint32_t i = 0;
         i < s->domain_count && n < (several ? CP_ENTRY_MAX_ASKED : 1); i++) {
        const char *domain = s->domains[(rotation + i) % s->domain_count].name;
        uint32_t rank = rotation / s->domain_count % s->watching_hosts;
        const CpEntryHost *h = NULL;
        if (strcmp(domain, s->domain) != 0) {
            h = find_live(e, domain, rank);
            h = h != NULL ? h : find_live(e, domain, 0);
        }
        if (h != NULL) {
            CpStr_Copy(out[n++].value, CP_ADDR_BYTES, h->inner);
            break;
        }
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return n;
}

bool
CpEntryHosts_IsPoller(void *ctx, const char *instance)
{
    CpEntry *e = ctx;
    uint64_t seed = CpHash_Str(instance, 0);
    uint64_t own_hash = CpHash_Str(e->settings.host, seed);
    bool first = true;
    pthread_mutex_lock(&e->hosts_lock);
    for (guint i = 0; i < e->hosts->len && first; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        first = h->silent || h->leaving ||
                strcmp(h->domain, e->settings.domain) != 0 ||
                CpHash_Str(h->name, seed) >= own_hash;
    }
    pthread_mutex_unlock(&e->hosts_lock);
    return first;
}

/* The hosts of the caller's domain; if there are none, those of its region, of
 * the home regions of the host name's routes, and then all. */
char *
CpEntryHosts_EncodeDirectory(CpEntry *e, const char *host_name,
                             const char *domain, const char *region)
{
    const char *addresses[MAX_ADDRESSES];
    uint32_t count = 0;
    CpRoutes *r = CpEntry_RetainRoutes(e, NULL);
    pthread_mutex_lock(&e->hosts_lock);
    /* Hosts that have reported come first: a host that stopped may have
     * left its row. */
    for (uint32_t pass = 0; pass < 8 && count == 0; pass++) {
        uint32_t locality = pass % 4;
        bool allow_unreported = pass >= 4;
        guint start =
            e->hosts->len > 0 ? (guint)(CpRandom() % e->hosts->len) : 0;
        for (guint i = 0; i < e->hosts->len && count < MAX_ADDRESSES; i++) {
            const CpEntryHost *h =
                g_ptr_array_index(e->hosts, (start + i) % e->hosts->len);
            bool self = strcmp(h->name, e->settings.host) == 0;
            if (h->silent || h->leaving ||
                (!self && !allow_unreported && h->last_report_ns == 0)) {
                continue;
            }
            const char *host_region = region_of(e, h->domain);
            bool fits = locality == 3 ||
                        (locality == 0 && strcmp(h->domain, domain) == 0) ||
                        (locality == 1 && strcmp(host_region, region) == 0) ||
                        (locality == 2 && r != NULL &&
                         CpRoutes_IsHomeRegion(r, host_name, host_region));
            if (fits) {
                addresses[count++] = h->caller;
            }
        }
    }
    char *text =
        count == 0 ? NULL
                   : e->adapter.encode_directory(addresses, count,
                                                 e->settings.directory_ttl_s);
    pthread_mutex_unlock(&e->hosts_lock);
    CpRoutes_Release(r);
    return text;
}

static CpEntryHost *
find_host(CpEntry *e, const char *name)
{
    for (guint i = 0; i < e->hosts->len; i++) {
        CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (strcmp(h->name, name) == 0) {
            return h;
        }
    }
    return NULL;
}

/* Returns the rank of a host by name among the live hosts of its domain. While
 * the hosts start, none is ready yet, and all count. */
static uint32_t
rank_in_domain(const CpEntry *e, const CpEntryHost *host)
{
    bool starting = CpEntryHosts_IsStarting(e);
    uint32_t rank = 0;
    for (guint i = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        rank += (starting || (!h->silent && !h->leaving)) &&
                strcmp(h->domain, host->domain) == 0 &&
                strcmp(h->name, host->name) < 0;
    }
    return rank;
}

/* Returns the live host of a domain with this rank by name among those other
 * than this one, or NULL. */
static const CpEntryHost *
find_live(const CpEntry *e, const char *domain, uint32_t rank)
{
    const CpEntryHost *found = NULL;
    for (uint32_t k = 0; k <= rank; k++) {
        const CpEntryHost *next = NULL;
        for (guint i = 0; i < e->hosts->len; i++) {
            const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
            if (!h->silent && !h->leaving && strcmp(h->domain, domain) == 0 &&
                strcmp(h->name, e->settings.host) != 0 &&
                (found == NULL || strcmp(h->name, found->name) > 0) &&
                (next == NULL || strcmp(h->name, next->name) < 0)) {
                next = h;
            }
        }
        if (next == NULL) {
            return NULL;
        }
        found = next;
    }
    return found;
}

/* Selects a host of a domain by rotation; NULL if the domain has none. */
static const CpEntryHost *
select_by_rotation(const CpEntry *e, const char *domain, uint32_t rotation)
{
    uint32_t count = 0;
    for (guint i = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        count += strcmp(h->domain, domain) == 0;
    }
    for (guint i = 0, k = 0; i < e->hosts->len; i++) {
        const CpEntryHost *h = g_ptr_array_index(e->hosts, i);
        if (strcmp(h->domain, domain) == 0 && k++ == rotation % count) {
            return h;
        }
    }
    return NULL;
}

static bool
decode_host(const CpFeedRow *row, CpEntryHost *out)
{
    const char *domain, *caller, *inner, *control;
    json_int_t incarnation;
    json_t *o = json_loadb(row->value, row->value_bytes, 0, NULL);
    bool ok = json_unpack(o, "{s:s,s:s,s:s,s:s,s:I}", "domain", &domain,
                          "caller", &caller, "inner", &inner, "control",
                          &control, "incarnation", &incarnation) == 0;
    *out = (CpEntryHost){0};
    if (ok) {
        CpStr_Copy(out->name, sizeof(out->name), row->key);
        CpStr_Copy(out->domain, sizeof(out->domain), domain);
        CpStr_Copy(out->caller, sizeof(out->caller), caller);
        CpStr_Copy(out->inner, sizeof(out->inner), inner);
        CpStr_Copy(out->control, sizeof(out->control), control);
        out->incarnation = (uint64_t)incarnation;
    }
    json_decref(o);
    return ok;
}

/* Keeps the reports that were received, unless their process has ended: one
 * that is neither that of this row nor that of the row before may be later
 * than this row. */
static void
keep_reported(CpEntryHost *next, const CpEntryHost *host)
{
    next->previous_incarnation =
        host->previous_incarnation != next->incarnation
            ? host->previous_incarnation
            : 0;
    if (host->last_report_ns > 0 &&
        host->incarnation != next->replaced_incarnation) {
        next->incarnation = host->incarnation;
        next->last_report_sequence = host->last_report_sequence;
        next->last_report_ns = host->last_report_ns;
        next->last_watching_ns = host->last_watching_ns;
    }
}

/* Returns the incarnation of a host's row before the present one, which may
 * have been removed since; 0 if it is not known. */
static uint64_t
replaced_incarnation(CpEntry *e, const char *name)
{
    CpEntryHost host = {0};
    char *value =
        CpEntryNeighbours_GetLastValue(&e->followers[CP_TABLE_HOSTS], name);
    if (value != NULL) {
        const CpFeedRow row = {
            .key = name, .value = value, .value_bytes = strlen(value)};
        decode_host(&row, &host);
    }
    g_free(value);
    return host.incarnation;
}

static char *
encode_host(const CpEntry *e)
{
    json_t *o = json_pack(
        "{s:s,s:s,s:s,s:s,s:I}", "domain", e->settings.domain, "caller",
        e->settings.caller, "inner", e->settings.inner, "control",
        e->settings.control, "incarnation", (json_int_t)e->incarnation);
    char *text = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return text;
}

/* Returns true after the first complete read of the table. */
static bool
is_table_read(CpEntry *e)
{
    CpEntryFollower *f = &e->followers[CP_TABLE_HOSTS];
    return CpEntryFollow_Get(f, &f->read).version > 0;
}

static const char *
region_of(const CpEntry *e, const char *domain)
{
    for (uint32_t i = 0; i < e->settings.domain_count; i++) {
        if (strcmp(e->settings.domains[i].name, domain) == 0) {
            return e->settings.domains[i].region;
        }
    }
    return "";
}
