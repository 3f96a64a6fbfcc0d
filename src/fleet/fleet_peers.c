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
    CpFleet_EachService(f, set_count, &visit);
}

void
CpFleet_PeerBegin(CpFleet *f, uint64_t peer)
{
    Visit visit = {.peer = peer};
    CpFleet_EachService(f, clear_count, &visit);
}

bool
CpFleet_Use(CpFleet *f, const char *service, const char *instance,
            int64_t now_ns, CpFleetUse *out)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_Lock(f, service, &s);
    const CpFleetServer *v = CpFleet_Find(s, instance);
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
    CpFleet_EachService(f, add_use, &visit);
    return visit.told;
}

const CpFleetFamiliar *
CpFleet_Familiar(const CpFleetService *s, const char *object)
{
    return object != NULL ? g_hash_table_lookup(s->familiar, object) : NULL;
}

bool
CpFleet_IsFamiliar(const CpFleetFamiliar *a, uint64_t server, int64_t now_ns)
{
    for (uint32_t i = 0; a != NULL && i < CP_FLEET_MAX_FAMILIAR; i++) {
        if (a->servers[i] == server) {
            return now_ns - a->at_ns[i] < FAMILIAR_LIFE_NS;
        }
    }
    return false;
}

void
CpFleet_NoteFamiliar(CpFleetService *s, const char *object, uint64_t server,
                     int64_t now_ns)
{
    CpFleetFamiliar *a = g_hash_table_lookup(s->familiar, object);
    uint32_t at = 0;
    if (a == NULL) {
        if (g_hash_table_size(s->familiar) >= MAX_OBJECTS) {
            g_hash_table_remove_all(s->familiar);
        }
        a = CpMem_Alloc(sizeof(*a));
        g_hash_table_insert(s->familiar, g_strdup(object), a);
    }
    for (uint32_t i = 0; i < CP_FLEET_MAX_FAMILIAR; i++) {
        if (a->servers[i] == server) {
            at = i;
            break;
        }
        if (a->at_ns[i] < a->at_ns[at]) {
            at = i; /* least recently used */
        }
    }
    a->servers[at] = server;
    a->at_ns[at] = now_ns;
}

static void
set_count(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Visit *visit = ctx;
    (void)f;
    CpFleetServer *v = CpFleet_FindHash(s, visit->server);
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
        for (uint32_t k = 0; k < v->peers_used; k++) {
            if (v->peers[k].peer == visit->peer) {
                v->peers[k].count = 0;
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
        if (v->outstanding > 0 && visit->told < visit->room) {
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
    for (uint32_t i = 0; i < v->peers_used; i++) {
        CpFleetPeer *p = &v->peers[i];
        if (p->peer == peer) {
            return p;
        }
        if (now_ns - p->heard_ns >= PEER_LIFE_NS &&
            (old == NULL || p->heard_ns < old->heard_ns)) {
            old = p;
        }
    }
    if (old == NULL && v->peers_used < CP_FLEET_MAX_PEERS) {
        old = &v->peers[v->peers_used++];
    }
    return old;
}

static void
describe(const CpFleetServer *v, int64_t now_ns, CpFleetUse *out)
{
    *out = (CpFleetUse){.server = v->hash, .count = v->outstanding};
    CpStr_Copy(out->domain, sizeof(out->domain), v->entry.domain);
    for (uint32_t i = 0; i < v->peers_used; i++) {
        const CpFleetPeer *p = &v->peers[i];
        if (p->heard_ns > 0 && now_ns - p->heard_ns < PEER_LIFE_NS) {
            out->peers[out->peer_count++] = p->peer;
        }
    }
}

uint32_t
CpFleet_PeerCount(const CpFleetServer *v, int64_t now_ns)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < v->peers_used; i++) {
        const CpFleetPeer *p = &v->peers[i];
        if (p->heard_ns > 0 && now_ns - p->heard_ns < PEER_LIFE_NS) {
            n += p->count;
        }
    }
    return n;
}
