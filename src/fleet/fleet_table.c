/* The table of backend servers, from the store and the operator's requests. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_int.h"

typedef struct {
    const char *instance;
    const char *except_service; /* service that the server stays in */
    bool lapsed;
    bool found;
    int64_t now_ns;
    uint32_t count;
    uint32_t domain_index;
} Sweep;

static void remove_from_service(CpFleet *f, CpFleetService *s, void *ctx);
static void remove_server(CpFleetService *s, CpFleetServer *server);
static void remove_lapsed(CpFleet *f, CpFleetService *s, void *ctx);
static void mark_cold(CpFleet *f, CpFleetService *s, void *ctx);
static void free_service(void *p);
static CpLocality locality(const CpFleet *f, uint32_t i);
static uint32_t domain_index(const CpFleet *f, const char *domain);
static bool is_older(const CpServerEntry *entry, const CpServerEntry *current);

CpFleet *
CpFleet_New(const CpFleetOptions *options)
{
    CpFleet *f = CpMem_Alloc(sizeof(*f));
    uint32_t n = options->domain_count;
    f->options = *options;
    if (n > CP_FLEET_MAX_DOMAINS) {
        n = f->options.domain_count = CP_FLEET_MAX_DOMAINS;
    }
    f->domains = CpMem_Alloc((n + 1) * sizeof(*f->domains));
    memcpy(f->domains, options->domains, n * sizeof(*f->domains));
    f->options.domains = f->domains;
    f->own_domain_index = domain_index(f, options->domain);
    for (uint32_t i = 0; i <= CP_FLEET_MAX_DOMAINS; i++) {
        f->localities[i] = locality(f, i);
    }
    pthread_mutex_init(&f->notes_lock, NULL);
    f->notes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    pthread_mutex_init(&f->peers_lock, NULL);
    f->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                     (GDestroyNotify)g_array_unref);
    for (uint32_t i = 0; i < CP_FLEET_SHARDS; i++) {
        pthread_mutex_init(&f->shards[i].lock, NULL);
        f->shards[i].services =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    }
    return f;
}

void
CpFleet_Free(CpFleet *f)
{
    if (f == NULL) {
        return;
    }
    for (uint32_t i = 0; i < CP_FLEET_SHARDS; i++) {
        g_hash_table_destroy(f->shards[i].services);
        pthread_mutex_destroy(&f->shards[i].lock);
    }
    g_hash_table_destroy(f->notes);
    pthread_mutex_destroy(&f->notes_lock);
    g_hash_table_destroy(f->peers);
    pthread_mutex_destroy(&f->peers_lock);
    free(f->domains);
    free(f);
}

void
CpFleet_UpdateServer(CpFleet *f, const CpServerEntry *entry, int64_t now_ns)
{
    CpFleetService *s;
    Sweep moved = {.instance = entry->instance,
                   .except_service = entry->service,
                   .now_ns = now_ns};
    CpFleet_ForEachService(f, remove_from_service, &moved);
    CpFleetShard *shard = CpFleet_LockService(f, entry->service, &s);
    CpFleetServer *server = CpFleet_FindServer(s, entry->instance);
    if (server == NULL) {
        server = CpMem_Alloc(sizeof(*server));
        server->hash = CpHash_Str(entry->instance, 0);
        server->slowness_milli = 1000;
        g_ptr_array_add(s->servers, server);
        g_hash_table_insert(s->by_hash, &server->hash, server);
    }
    else if (is_older(entry, &server->entry)) {
        server->lapsed = false;
        pthread_mutex_unlock(&shard->lock);
        return;
    }
    CpFleet_InvalidateLayout(s);
    bool restarted = server->entry.started_ms != entry->started_ms;
    if (restarted || strcmp(server->entry.address, entry->address) != 0) {
        uint32_t inflight = server->inflight;
        *server = (CpFleetServer){.hash = server->hash,
                                  .slowness_milli = 1000,
                                  .inflight = inflight};
    }
    server->entry = *entry;
    server->entry_ns = now_ns;
    server->domain_index = domain_index(f, entry->domain);
    server->lapsed = server->replaced = false;
    if (!entry->draining) {
        CpFleet_ApplyNote(f, server, now_ns);
    }
    else if (entry->started_ms > 0) { /* a restart can be told from a lag */
        CpFleet_RecordNote(f, server, now_ns);
    }
    if (entry->warmup_left_ms > 0) {
        int64_t until_ns = now_ns + entry->warmup_left_ms * CP_NS_PER_MS;
        if (until_ns > server->cold_until_ns) {
            server->cold_until_ns = until_ns;
        }
    }
    pthread_mutex_unlock(&shard->lock);
}

void
CpFleet_RemoveServer(CpFleet *f, const char *instance, bool lapsed,
                     int64_t now_ns)
{
    Sweep sweep = {.instance = instance, .lapsed = lapsed, .now_ns = now_ns};
    CpFleet_ForEachService(f, remove_from_service, &sweep);
}

uint32_t
CpFleet_RemoveLapsed(CpFleet *f, int64_t now_ns)
{
    Sweep sweep = {.now_ns = now_ns};
    CpFleet_ForEachService(f, remove_lapsed, &sweep);
    return sweep.count;
}

void
CpFleet_SetEvacuated(CpFleet *f, const char *domain, bool evacuated,
                     int64_t now_ns)
{
    uint32_t i = domain_index(f, domain);
    if (i >= f->options.domain_count) {
        return;
    }
    bool was_evacuated = CpAtomic_Load(&f->evacuated[i]) != 0;
    if (was_evacuated && !evacuated) { /* its servers were idle meanwhile */
        Sweep sweep = {.domain_index = i, .now_ns = now_ns};
        CpFleet_ForEachService(f, mark_cold, &sweep);
    }
    CpAtomic_Store(&f->evacuated[i], evacuated);
    __atomic_add_fetch(&f->evacuations, 1, __ATOMIC_RELAXED);
}

void
CpFleet_SetWarmup(CpFleet *f, const char *service, uint32_t warmup_ms,
                  uint32_t warmup_per_s_milli)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, service, &s);
    s->warmup_ms = warmup_ms;
    s->warmup_per_s_milli = warmup_per_s_milli;
    pthread_mutex_unlock(&shard->lock);
}

CpFleetShard *
CpFleet_LockService(CpFleet *f, const char *service, CpFleetService **out)
{
    CpFleetShard *shard = &f->shards[CpHash_Str(service, 0) % CP_FLEET_SHARDS];
    pthread_mutex_lock(&shard->lock);
    CpFleetService *s = g_hash_table_lookup(shard->services, service);
    if (s == NULL) {
        s = CpMem_Alloc(sizeof(*s));
        CpStr_Copy(s->name, sizeof(s->name), service);
        s->servers = g_ptr_array_new_with_free_func(free);
        s->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
        s->cached =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
        g_hash_table_insert(shard->services, s->name, s);
    }
    *out = s;
    return shard;
}

CpFleetServer *
CpFleet_FindServer(const CpFleetService *s, const char *instance)
{
    CpFleetServer *server =
        CpFleet_FindServerByHash(s, CpHash_Str(instance, 0));
    return server != NULL && strcmp(server->entry.instance, instance) == 0
               ? server
               : NULL;
}

CpFleetServer *
CpFleet_FindServerByHash(const CpFleetService *s, uint64_t hash)
{
    return g_hash_table_lookup(s->by_hash, &hash);
}

CpLocality
CpFleet_Locality(const CpFleet *f, uint32_t i)
{
    return f->localities[i];
}

void
CpFleet_ForEachService(CpFleet *f, CpFleetServiceFn fn, void *ctx)
{
    for (uint32_t i = 0; i < CP_FLEET_SHARDS; i++) {
        GHashTableIter it;
        void *s;
        pthread_mutex_lock(&f->shards[i].lock);
        g_hash_table_iter_init(&it, f->shards[i].services);
        while (g_hash_table_iter_next(&it, NULL, &s)) {
            fn(f, s, ctx);
        }
        pthread_mutex_unlock(&f->shards[i].lock);
    }
}

static void
remove_from_service(CpFleet *f, CpFleetService *s, void *ctx)
{
    Sweep *sweep = ctx;
    (void)f;
    if (sweep->except_service != NULL &&
        strcmp(sweep->except_service, s->name) == 0) {
        return;
    }
    CpFleetServer *server = CpFleet_FindServer(s, sweep->instance);
    if (server == NULL) {
        return;
    }
    /* A draining server has left; any other may only have lapsed. */
    if (sweep->lapsed && !server->entry.draining) {
        server->lapsed = true;
    }
    else {
        remove_server(s, server);
    }
}

static void
remove_server(CpFleetService *s, CpFleetServer *server)
{
    CpFleet_InvalidateLayout(s);
    g_hash_table_remove(s->by_hash, &server->hash);
    g_ptr_array_remove_fast(s->servers, server);
}

static void
remove_lapsed(CpFleet *f, CpFleetService *s, void *ctx)
{
    Sweep *sweep = ctx;
    (void)f;
    for (uint32_t i = s->servers->len; i-- > 0;) {
        CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (server->lapsed) {
            remove_server(s, server);
            sweep->count++;
        }
    }
}

static void
mark_cold(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Sweep *sweep = ctx;
    (void)f;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (server->domain_index == sweep->domain_index) {
            server->cold_until_ns =
                sweep->now_ns + s->warmup_ms * CP_NS_PER_MS;
        }
    }
}

static void
free_service(void *p)
{
    CpFleetService *s = p;
    g_hash_table_destroy(s->by_hash);
    g_ptr_array_unref(s->servers);
    g_hash_table_destroy(s->cached);
    CpFleet_ClearLayout(&s->layout);
    free(s);
}

/* Domains that are not configured are remote, also to each other. */
static CpLocality
locality(const CpFleet *f, uint32_t i)
{
    if (i >= f->options.domain_count ||
        f->own_domain_index >= f->options.domain_count) {
        return CP_LOCALITY_REMOTE;
    }
    const char *region = f->domains[f->own_domain_index].region;
    return i == f->own_domain_index                    ? CP_LOCALITY_DOMAIN
           : strcmp(f->domains[i].region, region) == 0 ? CP_LOCALITY_REGION
                                                       : CP_LOCALITY_REMOTE;
}

static uint32_t
domain_index(const CpFleet *f, const char *domain)
{
    for (uint32_t i = 0; i < f->options.domain_count; i++) {
        if (strcmp(f->domains[i].name, domain) == 0) {
            return i;
        }
    }
    return CP_FLEET_MAX_DOMAINS;
}

/* Returns true if a report is from before the current one: from an earlier
 * start, or an earlier report of the same start. */
static bool
is_older(const CpServerEntry *entry, const CpServerEntry *current)
{
    if (entry->started_ms != current->started_ms) {
        return entry->started_ms < current->started_ms;
    }
    return entry->sequence < current->sequence;
}
