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
/* Extra work on an object that a server does not have cached, in thousandths
 * of the mean work. The secondary server is preferred to others, because it
 * keeps what was sent there before in its cache. */
#define CP_FLEET_MISS_MILLI 1500
#define CP_FLEET_SECONDARY_MISS_MILLI 1200
#define CP_FLEET_SPEED_BUCKETS 10 /* half octaves, from 25% to 600% */
#define CP_FLEET_WORK_BUCKETS 64  /* quarter octaves, from 1 ms */

typedef struct CpFleetServer CpFleetServer;

/* Outcomes of attempts, whose weight halves with time. */
typedef struct {
    double successes;
    double failures;
    int64_t counted_ns; /* the counts are as of then */
} CpFleetOutcomes;

/* An object's primary and secondary server; either may be NULL. */
typedef struct {
    CpFleetServer *primary;
    CpFleetServer *secondary;
    bool remote; /* placed outside the local scope */
} CpFleetPlacement;

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
    /* The object's placement in the layout of this version; 0: none. */
    uint32_t layout_version;
    CpFleetPlacement placement;
} CpFleetCached;

/* One backend server, guarded by its shard's lock. */
struct CpFleetServer {
    CpServerEntry entry;
    uint64_t hash;
    uint32_t domain_index; /* CP_FLEET_MAX_DOMAINS: not configured */
    int64_t entry_ns;      /* when the entry was read */
    bool lapsed;   /* entry missing after a store outage, not yet removed */
    bool replaced; /* another instance responded at its address */
    uint32_t inflight;       /* requests of this host */
    bool leaving;            /* announced in a response */
    int64_t paused_until_ns; /* the server wants no requests until then */
    uint32_t peer_count;     /* used entries of `peers`; only grows */
    CpFleetPeer peers[CP_FLEET_MAX_PEERS];
    /* Sum of the recent entries of `peers`, and until when it holds. */
    uint32_t peers_inflight;
    int64_t peers_inflight_until_ns;
    uint32_t others_inflight_milli; /* of other hosts, from load reports */
    int64_t load_report_ns;         /* last load in a response; 0: none */
    uint32_t work_percent;          /* last reported speed; 0: none */
    uint32_t typical_percent_milli; /* moving average of it; 0: none */
    int64_t speed_ns;               /* when the server had it */
    bool speed_from_peer;           /* another host received it */
    bool timed_out;                 /* the last attempt that ended */
    uint32_t slowness_milli;        /* work time over the mean; 1000: equal */
    int64_t slowness_ns;            /* when slowness was measured */
    uint32_t failure_milli; /* share of failed attempts, moving average */
    int64_t last_failure_ns;
    uint32_t consecutive_failures; /* unreachable or broken attempts */
    CpFleetOutcomes outcomes;
    int64_t ejected_ns; /* when it was last ejected */
    int64_t ejected_until_ns;
    int64_t cold_until_ns;
    bool cold_after_ejection; /* and not by what the server said */
    int64_t next_request_ns; /* earliest time of the next request while cold */
    /* Part of this host in the server's warm-up rate, and until when it is
     * taken to be unchanged; 0 hosts: none. */
    uint32_t warmup_host_count;
    int64_t warmup_share_until_ns;
};

/* What has to outlast the entry of a server: the entry may lapse and return,
 * and a copy of the table may lag. Void for another incarnation. */
typedef struct {
    uint64_t server_hash;
    int64_t started_ms; /* of the incarnation; 0: unknown */
    bool leaving;
    int64_t paused_until_ns;
    int64_t recorded_ns;
} CpFleetNote;

/* Distribution of work times at the usual speed, over recent responses. */
typedef struct {
    float counts[CP_FLEET_WORK_BUCKETS];
    float below[CP_FLEET_WORK_BUCKETS]; /* sum of the buckets before */
    float total;
    float sum_us;
} CpFleetWorkTimes;

/* Typical load of a service's servers, from load reports: moving average of
 * the requests in flight at a server over its slots. */
typedef struct {
    uint32_t load_milli;
    int64_t last_report_ns; /* 0: none */
} CpFleetTypicalLoad;

/* Slots of a service: in all domains, in the local scope of this host's
 * objects, and by domain. */
typedef struct {
    uint32_t all;
    uint32_t local;
    uint32_t local_domains; /* with or without slots */
    uint32_t region;        /* of this host */
    bool remote_in_region;  /* objects placed remotely stay in the region */
    uint32_t by_domain[CP_FLEET_MAX_DOMAINS + 1];
} CpFleetSlots;

/* A server that objects may be placed on, with its weight. */
typedef struct {
    CpFleetServer *server;
    double weight;
} CpFleetPlace;

/* What placement computes from the servers of a service, until they change. */
typedef struct {
    CpFleetSlots slots;
    CpFleetPlace *local; /* in the local scope */
    CpFleetPlace *remote;
    uint32_t local_count;
    uint32_t remote_count;
    uint32_t evacuations; /* changes counted when this was computed */
    bool domain_scope;    /* local scope when this was computed */
    bool valid;
    uint32_t version; /* incremented each time */
} CpFleetLayout;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t warmup_ms;
    uint32_t warmup_per_s_milli;
    GPtrArray *servers;
    GHashTable *by_hash; /* the same servers, by the hash of their instance */
    CpFleetOutcomes outcomes;     /* of all servers */
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
    /* Speeds that the servers reported, by bucket, and their sums. */
    float speed_counts[CP_FLEET_SPEED_BUCKETS];
    float speed_sums[CP_FLEET_SPEED_BUCKETS];
    float speed_total;
    uint32_t typical_percent_milli; /* mean of the speeds; 0: none */
    int64_t last_speed_ns;          /* 0: none was reported */
    CpFleetWorkTimes work_times[CP_WORK_CLASS_COUNT];
    /* Requests that may still go to another region because of speeds. */
    uint32_t remote_credit_milli;
    CpFleetLayout layout;
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
    uint32_t evacuations; /* changes of `evacuated`; atomic */
    /* of each domain, and of those that are not configured */
    CpLocality localities[CP_FLEET_MAX_DOMAINS + 1];
    pthread_mutex_t notes_lock; /* guards notes */
    GHashTable *notes;          /* server hash -> CpFleetNote */
    pthread_mutex_t peers_lock; /* guards peers; taken before a shard's */
    GHashTable *peers; /* host hash -> GArray of the servers it reported */
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
uint32_t CpFleet_Inflight(CpFleetServer *server, int64_t now_ns);
/* Returns the expected time in the server's queue behind `inflight` requests.
 */
int64_t CpFleet_ExpectedWait_us(const CpFleetService *s,
                                const CpFleetServer *server, uint32_t inflight,
                                int64_t now_ns);
/* Returns the share of attempts that succeed in the service, and at one server
 * of it. */
double CpFleet_ServiceSuccess(const CpFleetService *s, int64_t now_ns);
double CpFleet_ExpectedSuccess(const CpFleetService *s,
                               const CpFleetServer *server, int64_t now_ns);
/* Records a speed that the server had `age_ns` ago. */
void CpFleet_RecordSpeed(CpFleetService *s, CpFleetServer *server,
                         uint32_t percent, int64_t age_ns, int64_t now_ns);
/* Returns true if servers of the service report their speed. */
bool CpFleet_HasSpeeds(const CpFleetService *s, int64_t now_ns);
/* Returns the chance that the last reported speed still holds at `at_ns`. */
double CpFleet_SpeedWeight(const CpFleetServer *server, int64_t at_ns);
/* Returns the long-term average of the server's speed, in percent. */
double CpFleet_TypicalPercent(const CpFleetService *s,
                              const CpFleetServer *server);
/* Returns the expected speed of the server at `at_ns`, in percent. */
double CpFleet_ExpectedPercent(const CpFleetService *s,
                               const CpFleetServer *server, int64_t at_ns);
/* Returns the chance that work that starts at `start_ns` ends within
 * `budget_us`. A speed better than the server's typical one has a weight of at
 * most `max_weight`. */
double CpFleet_ChanceWithin(const CpFleetService *s,
                            const CpFleetServer *server, CpFleetWorkClass c,
                            int64_t budget_us, int64_t start_ns,
                            double max_weight);
/* Returns the slowest speed that servers of the service report, in percent. */
double CpFleet_SlowestPercent(const CpFleetService *s);
/* Returns the mean work time of the class at a speed of 100%. */
double CpFleet_UsualWork_us(const CpFleetService *s, CpFleetWorkClass c);
/* Returns the speed during the work on a request that ended just now. */
double CpFleet_PercentDuring(const CpFleetService *s,
                             const CpFleetServer *server, uint32_t end_percent,
                             int64_t latency_ns, int64_t now_ns);
/* Records a work time, at a speed of 100%. */
void CpFleet_RecordWork(CpFleetService *s, CpFleetWorkClass c,
                        double usual_us);
/* Returns the requests in flight of other hosts, from their recent reports. */
uint32_t CpFleet_PeerInflight(CpFleetServer *server, int64_t now_ns);
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
/* Returns true if the server may get new requests at all: neither leaving,
 * nor evacuated, nor replaced. */
bool CpFleet_IsEligible(const CpFleet *f, const CpFleetServer *server);
/* Returns true if the server is in a region where the request may run. */
bool CpFleet_IsHome(const CpFleet *f, const CpFleetServer *server,
                    const CpFleetRequest *request);

/* Finds an object's primary and secondary server in the given home regions;
 * none: in all. */
void CpFleet_PlaceObject(const CpFleet *f, CpFleetService *s,
                         const char *object, const CpFleetRequest *request,
                         CpFleetPlacement *out);
/* Marks the placement as changed, after a change of the service's servers. */
void CpFleet_InvalidateLayout(CpFleetService *s);
void CpFleet_ClearLayout(CpFleetLayout *layout);
/* Records a note of a server, or applies one to a server that returned. */
void CpFleet_RecordNote(CpFleet *f, const CpFleetServer *server,
                        int64_t now_ns);
void CpFleet_ApplyNote(CpFleet *f, CpFleetServer *server, int64_t now_ns);

#endif
