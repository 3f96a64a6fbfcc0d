/* Internal declarations of the fleet package. */
#ifndef CP_FLEET_INT_H
#define CP_FLEET_INT_H

#include <glib.h>
#include <pthread.h>

#include "fleet/fleet.h"

#define CP_FLEET_SHARDS 8

/* Work on an object takes up to 3.3 times as long where it is not cached, so a
 * smaller ratio does not show a slow server. */
#define CP_FLEET_SLOW_OUTLIER_MILLI 4000
#define CP_FLEET_MAX_CACHED 4 /* servers recorded for an object */

/* Requests in flight of another host at a server. */
typedef struct {
    uint64_t peer;
    uint32_t inflight;
    int64_t last_report_ns;
} CpFleetPeer;

/* Servers to which this host recently sent requests for an object, and which
 * therefore have it cached. */
typedef struct {
    uint64_t server_hashes[CP_FLEET_MAX_CACHED];
    int64_t sent_ns[CP_FLEET_MAX_CACHED];
} CpFleetCached;

/* One backend server, guarded by its shard's lock. */
typedef struct {
    CpServerEntry entry;
    uint64_t hash;
    uint32_t domain_index; /* CP_FLEET_MAX_DOMAINS: not configured */
    int64_t entry_ns;      /* when the entry was read */
    bool lapsed;   /* entry missing after a store outage, not yet removed */
    bool unseen;   /* not found yet by the current scan */
    bool replaced; /* another instance responded at its address */
    uint32_t inflight;   /* requests of this host */
    uint32_t peer_count; /* used entries of `peers`; only grows */
    CpFleetPeer peers[CP_FLEET_MAX_PEERS];
    uint32_t others_inflight_milli; /* of other hosts, from load reports */
    int64_t load_report_ns;         /* last load in a response; 0: none */
    uint32_t slowness_milli;        /* work time over the mean; 1000: equal */
    int64_t slowness_ns;            /* when slowness was measured */
    uint32_t failure_milli; /* share of failed attempts, moving average */
    int64_t last_failure_ns;
    uint32_t consecutive_failures; /* unreachable or broken attempts */
    int64_t ejected_until_ns;
    int64_t cold_until_ns;
    int64_t next_request_ns; /* earliest time of the next request while cold */
} CpFleetServer;

/* Typical load of a service's servers, from load reports: moving average of
 * the requests in flight at a server over its slots. */
typedef struct {
    uint32_t load_milli;
    int64_t last_report_ns; /* 0: none */
} CpFleetTypicalLoad;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t warmup_ms;
    uint32_t warmup_per_s_milli;
    GPtrArray *servers;
    GHashTable *by_hash; /* the same servers, by the hash of their instance */
    uint32_t mean_work_us;        /* moving average; 0: unknown */
    uint32_t mean_response_bytes; /* moving average */
    uint32_t requests_since_tick; /* of this host */
    uint32_t request_rate_milli;  /* this host's requests/s, moving average */
    /* Share of the objects that are placed in the local scope: this host's
     * region, or its domain where responses are large. */
    uint32_t local_share_milli;
    bool local_share_known;
    GHashTable *cached; /* object -> CpFleetCached */
    CpFleetTypicalLoad typical_loads[CP_FLEET_MAX_DOMAINS + 1]; /* by domain */
    CpFleetTypicalLoad typical_load_all;
    int64_t last_tick_ns;
} CpFleetService;

typedef struct {
    pthread_mutex_t lock; /* guards services and their servers */
    GHashTable *services;
} CpFleetShard;

struct CpFleet {
    CpFleetOptions options;
    CpFleetDomain *domains;
    uint32_t own_domain_index; /* CP_FLEET_MAX_DOMAINS: not configured */
    uint32_t evacuated[CP_FLEET_MAX_DOMAINS]; /* flags, atomic */
    /* flags, atomic: set as evacuated by the current scan */
    uint32_t evacuated_in_scan[CP_FLEET_MAX_DOMAINS];
    CpFleetShard shards[CP_FLEET_SHARDS];
};

/* Locks the shard of a service and returns it; *out is the service, which is
 * created if it is new. The caller unlocks the shard. */
CpFleetShard *CpFleet_LockService(CpFleet *f, const char *service,
                                  CpFleetService **out);
/* Calls fn for each service, under its shard's lock. */
typedef void (*CpFleetServiceFn)(CpFleet *f, CpFleetService *s, void *ctx);
void CpFleet_ForEachService(CpFleet *f, CpFleetServiceFn fn, void *ctx);
CpFleetServer *CpFleet_FindServer(const CpFleetService *s,
                                  const char *instance);
CpFleetServer *CpFleet_FindServerByHash(const CpFleetService *s,
                                        uint64_t hash);
CpLocality CpFleet_Locality(const CpFleet *f, uint32_t domain_index);
/* Returns the slowness of a server against its service; 1000 unless it is a
 * slow outlier. */
int64_t CpFleet_Slowness_milli(const CpFleetServer *server, int64_t now_ns);
/* Returns the requests in flight at the server, of this host and of others. */
uint32_t CpFleet_Inflight(const CpFleetServer *server, int64_t now_ns);
/* Returns the expected time in the server's queue behind `inflight` requests.
 */
int64_t CpFleet_ExpectedWait_us(const CpFleetService *s,
                                const CpFleetServer *server, uint32_t inflight,
                                int64_t now_ns);
/* Returns the requests in flight of other hosts, from their recent reports. */
uint32_t CpFleet_PeerInflight(const CpFleetServer *server, int64_t now_ns);
/* Returns the servers recorded for an object, or NULL. */
const CpFleetCached *CpFleet_FindCached(const CpFleetService *s,
                                        const char *object);
/* Returns true if a server has the object cached, as far as this host's
 * requests show. `cached` may be NULL. */
bool CpFleet_IsCached(const CpFleetCached *cached, uint64_t server_hash,
                      int64_t now_ns);
/* Records a request for the object, after which the server has it cached. */
void CpFleet_RecordCached(CpFleetService *s, const char *object,
                          uint64_t server_hash, int64_t now_ns);
/* Returns true if the server may get new requests at all: neither draining,
 * nor evacuated, nor replaced. */
bool CpFleet_IsEligible(const CpFleet *f, const CpFleetServer *server);

/* An object's primary and secondary server among those that `filter` accepts;
 * either may be NULL. */
typedef struct {
    CpFleetServer *primary;
    CpFleetServer *secondary;
    bool remote; /* placed outside the local scope */
} CpFleetPlacement;
typedef bool (*CpFleetFilterFn)(void *ctx, const CpFleetServer *server);
void CpFleet_PlaceObject(const CpFleet *f, const CpFleetService *s,
                         const char *object, CpFleetFilterFn filter, void *ctx,
                         CpFleetPlacement *out);

#endif
