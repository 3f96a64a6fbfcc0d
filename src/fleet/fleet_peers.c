/* Loads that entry hosts report to each other, and objects that servers have
 * cached. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_int.h"

#define PEER_LOAD_TTL_NS (1500 * CP_NS_PER_MS) /* three report periods */
#define CACHED_TTL_NS (20 * CP_NS_PER_S)       /* servers evict objects */
#define MAX_CACHED_OBJECTS 65536 /* per service; then all are removed */

typedef struct {
    uint64_t peer;
    uint64_t server_hash;
    uint32_t inflight;
    int64_t now_ns;
    CpFleetUsage *out;
    uint32_t capacity;
    uint32_t out_count;
} Visit;

static void set_peer_load(CpFleet *f, CpFleetService *s, void *ctx);
static void clear_peer_load(CpFleet *f, CpFleetService *s, void *ctx);
static void note_peer_server(CpFleet *f, uint64_t peer, uint64_t server_hash);
static void add_usage(CpFleet *f, CpFleetService *s, void *ctx);
static CpFleetPeer *find_peer_entry(CpFleetServer *server, uint64_t peer,
                                    int64_t now_ns);
static void fill_usage(const CpFleetServer *server, int64_t now_ns,
                       CpFleetUsage *out);

void
CpFleet_SetPeerLoad(CpFleet *f, uint64_t peer, uint64_t server_hash,
                    uint32_t inflight, int64_t now_ns)
{
    Visit visit = {.peer = peer,
                   .server_hash = server_hash,
                   .inflight = inflight,
                   .now_ns = now_ns};
    if (inflight > 0) {
        note_peer_server(f, peer, server_hash);
    }
    CpFleet_ForEachService(f, set_peer_load, &visit);
}

/* Visits only the servers that the host has reported: there may be thousands
 * of others. */
void
CpFleet_ClearPeerLoads(CpFleet *f, uint64_t peer)
{
    pthread_mutex_lock(&f->peers_lock);
    GArray *servers = g_hash_table_lookup(f->peers, &peer);
    for (guint i = 0; servers != NULL && i < servers->len; i++) {
        Visit visit = {.peer = peer,
                       .server_hash = g_array_index(servers, uint64_t, i)};
        CpFleet_ForEachService(f, clear_peer_load, &visit);
    }
    if (servers != NULL) {
        g_array_set_size(servers, 0);
    }
    pthread_mutex_unlock(&f->peers_lock);
}

bool
CpFleet_GetUsage(CpFleet *f, const char *service, const char *instance,
                 int64_t now_ns, CpFleetUsage *out)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, service, &s);
    const CpFleetServer *server = CpFleet_FindServer(s, instance);
    if (server != NULL) {
        fill_usage(server, now_ns, out);
    }
    pthread_mutex_unlock(&shard->lock);
    return server != NULL;
}

uint32_t
CpFleet_ListUsage(CpFleet *f, CpFleetUsage *out, uint32_t capacity)
{
    Visit visit = {.out = out, .capacity = capacity};
    CpFleet_ForEachService(f, add_usage, &visit);
    return visit.out_count;
}

const CpFleetCached *
CpFleet_FindCached(const CpFleetService *s, const char *object)
{
    return object != NULL ? g_hash_table_lookup(s->cached, object) : NULL;
}

bool
CpFleet_IsCached(const CpFleetCached *cached, uint64_t server_hash,
                 int64_t now_ns)
{
    for (uint32_t i = 0; cached != NULL && i < CP_FLEET_MAX_CACHED; i++) {
        if (cached->server_hashes[i] == server_hash) {
            return now_ns - cached->sent_ns[i] < CACHED_TTL_NS;
        }
    }
    return false;
}

void
CpFleet_RecordCached(CpFleetService *s, const char *object,
                     uint64_t server_hash, int64_t now_ns)
{
    CpFleetCached *cached = g_hash_table_lookup(s->cached, object);
    uint32_t pos = 0;
    if (cached == NULL) {
        if (g_hash_table_size(s->cached) >= MAX_CACHED_OBJECTS) {
            g_hash_table_remove_all(s->cached);
        }
        cached = CpMem_Alloc(sizeof(*cached));
        g_hash_table_insert(s->cached, g_strdup(object), cached);
    }
    for (uint32_t i = 0; i < CP_FLEET_MAX_CACHED; i++) {
        if (cached->server_hashes[i] == server_hash) {
            pos = i;
            break;
        }
        if (cached->sent_ns[i] < cached->sent_ns[pos]) {
            pos = i; /* least recently used */
        }
    }
    cached->server_hashes[pos] = server_hash;
    cached->sent_ns[pos] = now_ns;
}

static void
set_peer_load(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Visit *visit = ctx;
    (void)f;
    CpFleetServer *server = CpFleet_FindServerByHash(s, visit->server_hash);
    CpFleetPeer *p = server != NULL
                         ? find_peer_entry(server, visit->peer, visit->now_ns)
                         : NULL;
    if (p != NULL) {
        *p = (CpFleetPeer){visit->peer, visit->inflight, visit->now_ns};
        server->peers_inflight_until_ns = 0;
    }
}

static void
clear_peer_load(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Visit *visit = ctx;
    (void)f;
    CpFleetServer *server = CpFleet_FindServerByHash(s, visit->server_hash);
    for (uint32_t i = 0; server != NULL && i < server->peer_count; i++) {
        if (server->peers[i].peer == visit->peer) {
            server->peers[i].inflight = 0;
            server->peers_inflight_until_ns = 0;
        }
    }
}

static void
note_peer_server(CpFleet *f, uint64_t peer, uint64_t server_hash)
{
    pthread_mutex_lock(&f->peers_lock);
    GArray *servers = g_hash_table_lookup(f->peers, &peer);
    if (servers == NULL) {
        uint64_t *key = g_new(uint64_t, 1);
        *key = peer;
        servers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_hash_table_insert(f->peers, key, servers);
    }
    bool found = false;
    for (guint i = 0; i < servers->len && !found; i++) {
        found = g_array_index(servers, uint64_t, i) == server_hash;
    }
    if (!found) {
        g_array_append_val(servers, server_hash);
    }
    pthread_mutex_unlock(&f->peers_lock);
}

static void
add_usage(CpFleet *f, CpFleetService *s, void *ctx)
{
    Visit *visit = ctx;
    (void)f;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        const CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (server->inflight > 0 && visit->out_count < visit->capacity) {
            fill_usage(server, INT64_MAX, &visit->out[visit->out_count++]);
        }
    }
}

/* Returns the peer's entry, else the oldest expired one, else a new one; NULL
 * if there is none. */
static CpFleetPeer *
find_peer_entry(CpFleetServer *server, uint64_t peer, int64_t now_ns)
{
    CpFleetPeer *entry = NULL;
    for (uint32_t i = 0; i < server->peer_count; i++) {
        CpFleetPeer *p = &server->peers[i];
        if (p->peer == peer) {
            return p;
        }
        if (now_ns - p->last_report_ns >= PEER_LOAD_TTL_NS &&
            (entry == NULL || p->last_report_ns < entry->last_report_ns)) {
            entry = p;
        }
    }
    if (entry == NULL && server->peer_count < CP_FLEET_MAX_PEERS) {
        entry = &server->peers[server->peer_count++];
    }
    return entry;
}

static void
fill_usage(const CpFleetServer *server, int64_t now_ns, CpFleetUsage *out)
{
    *out = (CpFleetUsage){.server_hash = server->hash,
                          .inflight = server->inflight};
    CpStr_Copy(out->domain, sizeof(out->domain), server->entry.domain);
    for (uint32_t i = 0; i < server->peer_count; i++) {
        const CpFleetPeer *p = &server->peers[i];
        if (p->last_report_ns > 0 &&
            now_ns - p->last_report_ns < PEER_LOAD_TTL_NS) {
            out->peer_hashes[out->peer_count++] = p->peer;
        }
    }
}

uint32_t
CpFleet_PeerInflight(CpFleetServer *server, int64_t now_ns)
{
    if (now_ns < server->peers_inflight_until_ns) {
        return server->peers_inflight;
    }
    int64_t until_ns = INT64_MAX;
    server->peers_inflight = 0;
    for (uint32_t i = 0; i < server->peer_count; i++) {
        const CpFleetPeer *p = &server->peers[i];
        int64_t expiry_ns = p->last_report_ns + PEER_LOAD_TTL_NS;
        if (p->inflight > 0 && now_ns < expiry_ns) {
            server->peers_inflight += p->inflight;
            until_ns = expiry_ns < until_ns ? expiry_ns : until_ns;
        }
    }
    server->peers_inflight_until_ns = until_ns;
    return server->peers_inflight;
}
