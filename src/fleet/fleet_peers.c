/* Loads that entry hosts report to each other, and objects that servers have
 * cached. */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_int.h"

#define PEER_LIFE_NS (1500 * CP_NS_PER_MS)  /* three report periods */
#define FAMILIAR_LIFE_NS (20 * CP_NS_PER_S) /* servers evict objects */
#define MAX_OBJECTS 65536 /* per service; beyond that, all are removed */

typedef struct {
    uint64_t peer;
    uint64_t server;
    uint32_t count;
    int64_t now_ns;
    CpFleetUse *out;
    uint32_t room;
    uint32_t told;
} Visit;

static void set_count(CpFleet *f, CpFleetService *s, void *ctx);
static void clear_count(CpFleet *f, CpFleetService *s, void *ctx);
static void add_use(CpFleet *f, CpFleetService *s, void *ctx);
static CpFleetPeer *peer_slot(CpFleetServer *v, uint64_t peer, int64_t now_ns);
static void describe(const CpFleetServer *v, int64_t now_ns, CpFleetUse *out);

void
CpFleet_PeerLoad(CpFleet *f, uint64_t peer, uint64_t server, uint32_t count,
                 int64_t now_ns)
{
    Visit visit = {
        .peer = peer, .server = server, .count = count, .now_ns = now_ns};
    CpFleet_ForEachService(f, set_count, &visit);
}

void
CpFleet_PeerBegin(CpFleet *f, uint64_t peer)
{
    Visit visit = {.peer = peer};
    CpFleet_ForEachService(f, clear_count, &visit);
}

bool
CpFleet_Use(CpFleet *f, const char *service, const char *instance,
            int64_t now_ns, CpFleetUse *out)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_LockService(f, service, &s);
    const CpFleetServer *v = CpFleet_FindServer(s, instance);
    if (v != NULL) {
        describe(v, now_ns, out);
    }
    pthread_mutex_unlock(&sh->lock);
    return v != NULL;
}

uint32_t
CpFleet_Uses(CpFleet *f, CpFleetUse *out, uint32_t room)
{
    Visit visit = {.out = out, .room = room};
    CpFleet_ForEachService(f, add_use, &visit);
    return visit.told;
}

const CpFleetCached *
CpFleet_FindCached(const CpFleetService *s, const char *object)
{
    return object != NULL ? g_hash_table_lookup(s->cached, object) : NULL;
}

bool
CpFleet_IsCached(const CpFleetCached *a, uint64_t server, int64_t now_ns)
{
    for (uint32_t i = 0; a != NULL && i < CP_FLEET_MAX_CACHED; i++) {
        if (a->server_hashes[i] == server) {
            return now_ns - a->sent_ns[i] < FAMILIAR_LIFE_NS;
        }
    }
    return false;
}

void
CpFleet_RecordCached(CpFleetService *s, const char *object, uint64_t server,
                     int64_t now_ns)
{
    CpFleetCached *a = g_hash_table_lookup(s->cached, object);
    uint32_t at = 0;
    if (a == NULL) {
        if (g_hash_table_size(s->cached) >= MAX_OBJECTS) {
            g_hash_table_remove_all(s->cached);
        }
        a = CpMem_Alloc(sizeof(*a));
        g_hash_table_insert(s->cached, g_strdup(object), a);
    }
    for (uint32_t i = 0; i < CP_FLEET_MAX_CACHED; i++) {
        if (a->server_hashes[i] == server) {
            at = i;
            break;
        }
        if (a->sent_ns[i] < a->sent_ns[at]) {
            at = i; /* least recently used */
        }
    }
    a->server_hashes[at] = server;
    a->sent_ns[at] = now_ns;
}

static void
set_count(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Visit *visit = ctx;
    (void)f;
    CpFleetServer *v = CpFleet_FindServerByHash(s, visit->server);
    CpFleetPeer *p =
        v != NULL ? peer_slot(v, visit->peer, visit->now_ns) : NULL;
    if (p != NULL) {
        *p = (CpFleetPeer){visit->peer, visit->count, visit->now_ns};
    }
}

static void
clear_count(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Visit *visit = ctx;
    (void)f;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        CpFleetServer *v = g_ptr_array_index(s->servers, i);
        for (uint32_t k = 0; k < v->peer_count; k++) {
            if (v->peers[k].peer == visit->peer) {
                v->peers[k].inflight = 0;
            }
        }
    }
}

static void
add_use(CpFleet *f, CpFleetService *s, void *ctx)
{
    Visit *visit = ctx;
    (void)f;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        const CpFleetServer *v = g_ptr_array_index(s->servers, i);
        if (v->inflight > 0 && visit->told < visit->room) {
            describe(v, INT64_MAX, &visit->out[visit->told++]);
        }
    }
}

/* Returns the peer's entry, else the oldest expired one, else a new one; NULL
 * if there is none. */
static CpFleetPeer *
peer_slot(CpFleetServer *v, uint64_t peer, int64_t now_ns)
{
    CpFleetPeer *old = NULL;
    for (uint32_t i = 0; i < v->peer_count; i++) {
        CpFleetPeer *p = &v->peers[i];
        if (p->peer == peer) {
            return p;
        }
        if (now_ns - p->last_report_ns >= PEER_LIFE_NS &&
            (old == NULL || p->last_report_ns < old->last_report_ns)) {
            old = p;
        }
    }
    if (old == NULL && v->peer_count < CP_FLEET_MAX_PEERS) {
        old = &v->peers[v->peer_count++];
    }
    return old;
}

static void
describe(const CpFleetServer *v, int64_t now_ns, CpFleetUse *out)
{
    *out = (CpFleetUse){.server = v->hash, .count = v->inflight};
    CpStr_Copy(out->domain, sizeof(out->domain), v->entry.domain);
    for (uint32_t i = 0; i < v->peer_count; i++) {
        const CpFleetPeer *p = &v->peers[i];
        if (p->last_report_ns > 0 &&
            now_ns - p->last_report_ns < PEER_LIFE_NS) {
            out->peers[out->peer_count++] = p->peer;
        }
    }
}

uint32_t
CpFleet_PeerInflight(const CpFleetServer *v, int64_t now_ns)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < v->peer_count; i++) {
        const CpFleetPeer *p = &v->peers[i];
        if (p->last_report_ns > 0 &&
            now_ns - p->last_report_ns < PEER_LIFE_NS) {
            n += p->inflight;
        }
    }
    return n;
}
