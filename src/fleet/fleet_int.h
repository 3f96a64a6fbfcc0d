/* Internal declarations of the fleet package. */
#ifndef CP_FLEET_INT_H
#define CP_FLEET_INT_H

#include <glib.h>
#include <pthread.h>

#include "fleet/fleet.h"

#define CP_FLEET_SHARDS 8

/* Work on an object takes up to 3.3 times as long where it is not cached, so a
 * smaller ratio does not show a slow server. */
#define CP_FLEET_STANDS_OUT_MILLI 4000
#define CP_FLEET_MAX_FAMILIAR 4 /* servers recorded for an object */

/* Requests in flight of another host at a server. */
typedef struct {
    uint64_t peer;
    uint32_t count;
    int64_t heard_ns;
} CpFleetPeer;

/* Servers to which this host recently sent requests for an object, and which
 * therefore have it cached. */
typedef struct {
    uint64_t servers[CP_FLEET_MAX_FAMILIAR];
    int64_t at_ns[CP_FLEET_MAX_FAMILIAR];
} CpFleetFamiliar;

/* One backend server, guarded by its shard's lock. */
typedef struct {
    CpServerEntry entry;
    uint64_t hash;
    uint32_t domain_index; /* CP_FLEET_MAX_DOMAINS: not configured */
    int64_t entry_ns;      /* when the entry was read */
    bool lapsed;   /* entry missing after a store outage, not yet removed */
    bool unseen;   /* not reported yet by the current scan */
    bool replaced; /* another instance responded at its address */
    uint32_t outstanding; /* requests of this host */
    uint32_t peers_used;  /* used entries of `peers`; only grows */
    CpFleetPeer peers[CP_FLEET_MAX_PEERS];
    uint32_t others_milli; /* requests of other hosts, from load reports */
    int64_t loaded_ns;   /* when a response last reported the load; 0: never */
    uint32_t slow_milli; /* work time over the service's mean; 1000: equal */
    int64_t timed_ns;    /* when slowness was measured */
    uint32_t fail_milli; /* moving average of failed attempts */
    int64_t failed_ns;
    uint32_t failures; /* unreachable or broken attempts in a row */
    int64_t rest_until_ns;
    int64_t cold_until_ns;
    int64_t next_cold_ns; /* earliest time of the next request while cold */
} CpFleetServer;

/* Typical load of a service's servers, from load reports: moving average of
 * the requests in flight at a server over its slots. */
typedef struct {
    uint32_t load_milli;
    int64_t told_ns; /* 0: none */
} CpFleetUsual;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t warmup_ms;
    uint32_t warmup_per_s_milli;
    GPtrArray *servers;
    GHashTable *by_hash; /* the same servers, by the hash of their instance */
    uint32_t work_us; /* moving average of a request's work time; 0: unknown */
    uint32_t answer_bytes; /* moving average */
    uint32_t asked;        /* of this host */
    uint32_t rate_milli;   /* this host's requests/s, moving average */
    uint32_t keep_milli;   /* share of the objects placed in the local scope */
    bool keep_known;
    GHashTable *familiar;                         /* object -> CpFleetCached */
    CpFleetUsual usual[CP_FLEET_MAX_DOMAINS + 1]; /* by domain */
    CpFleetUsual usual_all;
    int64_t ticked_ns;
} CpFleetService;

typedef struct {
    pthread_mutex_t lock;
    GHashTable *services;
} CpFleetShard;

struct CpFleet {
    CpFleetOptions options;
    CpFleetDomain *domains;
    uint32_t self; /* CP_FLEET_MAX_DOMAINS: not configured */
    uint32_t evacuated[CP_FLEET_MAX_DOMAINS];       /* flags, atomic */
    uint32_t evacuation_seen[CP_FLEET_MAX_DOMAINS]; /* in the scan; atomic */
    CpFleetShard shards[CP_FLEET_SHARDS];
};

/* Locks the shard of a service and returns it; *out is the service, which is
 * created if it is new. The caller unlocks the shard. */
CpFleetShard *CpFleet_Lock(CpFleet *f, const char *service,
                           CpFleetService **out);
/* Calls fn for each service, under its shard's lock. */
typedef void (*CpFleetServiceFn)(CpFleet *f, CpFleetService *s, void *ctx);
void CpFleet_EachService(CpFleet *f, CpFleetServiceFn fn, void *ctx);
CpFleetServer *CpFleet_Find(const CpFleetService *s, const char *instance);
CpFleetServer *CpFleet_FindHash(const CpFleetService *s, uint64_t hash);
CpNearness CpFleet_Nearness(const CpFleet *f, uint32_t domain_index);
/* Slowness of a server against its service; 1000 unless it is a slow
 * outlier. */
int64_t CpFleet_Slow_milli(const CpFleetServer *v, int64_t now_ns);
/* Requests in flight at the server, of this host and of others. */
uint32_t CpFleet_Inside(const CpFleetServer *v, int64_t now_ns);
/* Expected time in the server's queue behind `inflight` requests. */
int64_t CpFleet_Wait_us(const CpFleetService *s, const CpFleetServer *v,
                        uint32_t inside, int64_t now_ns);
/* Requests in flight of other hosts, from their recent reports. */
uint32_t CpFleet_PeerCount(const CpFleetServer *v, int64_t now_ns);
/* The servers recorded for an object; NULL: none. */
const CpFleetFamiliar *CpFleet_Familiar(const CpFleetService *s,
                                        const char *object);
/* Whether a server has the object cached, as far as this host's requests
 * show. `a` may be NULL. */
bool CpFleet_IsFamiliar(const CpFleetFamiliar *a, uint64_t server,
                        int64_t now_ns);
/* Records a request for the object, after which the server has it cached. */
void CpFleet_NoteFamiliar(CpFleetService *s, const char *object,
                          uint64_t server, int64_t now_ns);
/* Whether the server may get new work at all: neither draining, nor
 * evacuated, nor replaced. */
bool CpFleet_IsListed(const CpFleet *f, const CpFleetServer *v);

/* An object's primary and secondary server among those that `filter` accepts;
 * either may be NULL. */
typedef struct {
    CpFleetServer *home;
    CpFleetServer *second;
    bool abroad; /* placed outside the local scope */
} CpFleetHomes;
typedef bool (*CpFleetFitsFn)(void *ctx, const CpFleetServer *v);
void CpFleet_FindHomes(const CpFleet *f, const CpFleetService *s,
                       const char *object, CpFleetFitsFn fits, void *ctx,
                       CpFleetHomes *out);

#endif
