/* What the files of the fleet package share. */
#ifndef CP_FLEET_INT_H
#define CP_FLEET_INT_H

#include <glib.h>
#include <pthread.h>

#include "fleet/fleet.h"

#define CP_FLEET_SHARDS 8

/* An object that a server does not remember takes up to 3.3 times the work of
 * one that it does, so that less than this is no sign of a slow server. */
#define CP_FLEET_STANDS_OUT_MILLI 4000
#define CP_FLEET_MAX_FAMILIAR 4 /* servers that an object is known to */

/* What another host has at a server. */
typedef struct {
    uint64_t peer;
    uint32_t count;
    int64_t heard_ns;
} CpFleetPeer;

/* Servers that have handled an object lately, as this host saw. */
typedef struct {
    uint64_t servers[CP_FLEET_MAX_FAMILIAR];
    int64_t at_ns[CP_FLEET_MAX_FAMILIAR];
} CpFleetFamiliar;

/* One backend server; the lock is its shard's. */
typedef struct {
    CpServerEntry entry;
    uint64_t hash;
    uint32_t domain_index; /* CP_FLEET_MAX_DOMAINS: not in the settings */
    int64_t entry_ns;      /* when the entry was read */
    bool lapsed;           /* its entry is missing, perhaps for a time */
    bool unseen;           /* by the scan that is under way */
    bool replaced;         /* another instance answered at its address */
    uint32_t outstanding;  /* sent by this host and not ended */
    uint32_t peers_used;   /* places of the next that were ever taken */
    CpFleetPeer peers[CP_FLEET_MAX_PEERS];
    uint32_t others_milli; /* requests of other hosts, as answers told */
    int64_t loaded_ns;     /* when an answer told the load; 0: never */
    uint32_t slow_milli;   /* its work over that of its service; 1000: equal */
    int64_t timed_ns;      /* when that was measured */
    uint32_t fail_milli;   /* moving share of attempts that failed */
    int64_t failed_ns;     /* the last of them */
    uint32_t failures;     /* in a row, that tell of a server that is down */
    int64_t rest_until_ns;
    int64_t cold_until_ns;
    int64_t next_cold_ns; /* when it may get the next request while cold */
} CpFleetServer;

/* What servers of a service have to do, as their answers tell: moving average
 * of the requests in one, over its slots. */
typedef struct {
    uint32_t load_milli;
    int64_t told_ns; /* the last time; 0: never */
} CpFleetUsual;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t warmup_ms;
    uint32_t warmup_per_s_milli;
    GPtrArray *servers;
    GHashTable *by_hash;   /* the same, by the hash of their instance */
    uint32_t work_us;      /* moving average of a request's work; 0: unknown */
    uint32_t answer_bytes; /* moving average */
    uint32_t asked;        /* requests since the last tick */
    uint32_t rate_milli;   /* of this host, requests/s, moving average */
    uint32_t keep_milli;   /* part of the objects that are kept near */
    bool keep_known;
    GHashTable *familiar; /* object -> CpFleetFamiliar */
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
    uint32_t self; /* this host's domain; domain_count: unknown */
    uint32_t evacuated[CP_FLEET_MAX_DOMAINS];       /* flags, atomic */
    uint32_t evacuation_seen[CP_FLEET_MAX_DOMAINS]; /* by the scan; atomic */
    CpFleetShard shards[CP_FLEET_SHARDS];
};

/* The shard of a service, locked, and the service, made where it is new. */
CpFleetShard *CpFleet_Lock(CpFleet *f, const char *service,
                           CpFleetService **out);
/* Calls fn for each service, under its shard's lock. */
typedef void (*CpFleetServiceFn)(CpFleet *f, CpFleetService *s, void *ctx);
void CpFleet_EachService(CpFleet *f, CpFleetServiceFn fn, void *ctx);
CpFleetServer *CpFleet_Find(const CpFleetService *s, const char *instance);
CpFleetServer *CpFleet_FindHash(const CpFleetService *s, uint64_t hash);
CpNearness CpFleet_Nearness(const CpFleet *f, uint32_t domain_index);
/* How much slower than its service a server is; 1000 unless it stands out. */
int64_t CpFleet_Slow_milli(const CpFleetServer *v, int64_t now_ns);
/* Requests in the server: those of this host and of others. */
uint32_t CpFleet_Inside(const CpFleetServer *v, int64_t now_ns);
int64_t CpFleet_Wait_us(const CpFleetService *s, const CpFleetServer *v,
                        uint32_t inside, int64_t now_ns);
/* Requests of other hosts, as they told. */
uint32_t CpFleet_PeerCount(const CpFleetServer *v, int64_t now_ns);
/* Servers that an object is known to, NULL where there are none; whether a
 * server is among them and has handled it lately, as far as this host knows;
 * and that it does now. */
const CpFleetFamiliar *CpFleet_Familiar(const CpFleetService *s,
                                        const char *object);
bool CpFleet_IsFamiliar(const CpFleetFamiliar *a, uint64_t server,
                        int64_t now_ns);
void CpFleet_NoteFamiliar(CpFleetService *s, const char *object,
                          uint64_t server, int64_t now_ns);
/* Whether the server takes new work at all: neither leaving, nor evacuated,
 * nor replaced. */
bool CpFleet_IsListed(const CpFleet *f, const CpFleetServer *v);

/* An object's home and second server among those that `fits` accepts; either
 * may be NULL. */
typedef struct {
    CpFleetServer *home;
    CpFleetServer *second;
    bool abroad; /* the home is beyond what is near */
} CpFleetHomes;
typedef bool (*CpFleetFitsFn)(void *ctx, const CpFleetServer *v);
void CpFleet_FindHomes(const CpFleet *f, const CpFleetService *s,
                       const char *object, CpFleetFitsFn fits, void *ctx,
                       CpFleetHomes *out);

#endif
