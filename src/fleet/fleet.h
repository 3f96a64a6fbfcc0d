/*
 * fleet: this host's view of the backend servers, and the choice of a server
 * for each request. Decisions only; the caller passes the time.
 *
 * A server handles an object several times faster while it has it cached, so
 * each object has a stable primary and a stable secondary server, and is sent
 * elsewhere only when waiting for them costs more than a cache miss. A request
 * that would wait past its latency goal is refused at once rather than queued
 * behind others; one that is late in any case is sent only where a slot is
 * free. Hosts report the requests that they send to each other at once, so
 * that each can estimate the queues of the servers that they share.
 */
#ifndef CP_FLEET_H
#define CP_FLEET_H

#include "base/base.h"

#define CP_FLEET_MAX_DOMAINS 64
#define CP_FLEET_MAX_TRIED 8

/* The state that a backend server announces. */
typedef struct {
    char instance[CP_NAME_BYTES]; /* identifies one start of the server */
    char service[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
    char domain[CP_NAME_BYTES];
    uint32_t slots; /* requests that it runs at once */
    bool draining;
    uint32_t warmup_left_ms; /* time until its warm-up ends */
    int64_t started_ms;      /* wall-clock time of its start; 0: unknown */
    uint64_t sequence;       /* number of this report since the start */
} CpServerEntry;

/* Load that a server reports in a response. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    /* Time that work takes on the server at this moment, in percent of the
     * usual time; 0: not reported. */
    uint32_t work_percent;
} CpServerLoad;

typedef struct {
    char name[CP_NAME_BYTES];
    char region[CP_NAME_BYTES];
} CpFleetDomain;

typedef struct {
    const char *domain; /* of this host */
    const CpFleetDomain *domains;
    uint32_t domain_count;
    /* Returns true if this host may send to a cold server; *host_count is the
     * number of hosts that share the server's warm-up rate. NULL: this host
     * alone. */
    bool (*get_warmup_share)(void *ctx, const char *instance,
                             const char *domain, uint32_t *host_count);
    /* A server's state changed: "rests" (ejected, for `ms`), "answers_again"
     * (returned to service), "replaced", "stands_out_slow" (became a slow
     * outlier, with the work time `ms`). Called under the lock of the
     * service's shard. May be NULL. */
    void (*on_state_change)(void *ctx, const char *instance,
                            const char *change, uint32_t ms);
    void *ctx;
} CpFleetOptions;

typedef struct CpFleet CpFleet;
CpFleet *CpFleet_New(const CpFleetOptions *options);
void CpFleet_Free(CpFleet *f);

/* Adds a server or updates it from its report. A report older than the last
 * one only shows that the server still exists. */
void CpFleet_UpdateServer(CpFleet *f, const CpServerEntry *entry,
                          int64_t now_ns);
/* Removes a server whose entry is gone. With `lapsed`, the entry may be
 * missing only for a time, after a store outage: a server that was not
 * draining stays in use until CpFleet_RemoveLapsed(). */
void CpFleet_RemoveServer(CpFleet *f, const char *instance, bool lapsed,
                          int64_t now_ns);
/* Removes the servers whose entries lapsed and have not reappeared. Returns
 * how many. */
uint32_t CpFleet_RemoveLapsed(CpFleet *f, int64_t now_ns);
/* Takes a domain out of use, or returns it to use; on its return its servers
 * are cold. */
void CpFleet_SetEvacuated(CpFleet *f, const char *domain, bool evacuated,
                          int64_t now_ns);
/* Sets how long a service's servers stay cold, and the rate of requests to
 * each cold one, in thousandths a second; 0: no limit. */
void CpFleet_SetWarmup(CpFleet *f, const char *service, uint32_t warmup_ms,
                       uint32_t warmup_per_s_milli);

/* What is known of the object on the chosen server; work takes a different
 * time in each class. */
typedef enum {
    CP_WORK_CACHED = 0, /* this host's requests show that it is cached */
    CP_WORK_PRIMARY,    /* the primary server, or there is no object */
    CP_WORK_SECONDARY,
    CP_WORK_OTHER,
    CP_WORK_CLASS_COUNT
} CpFleetWorkClass;

/* An attempt in progress, without a response so far. */
typedef struct {
    const char *instance;
    CpFleetWorkClass work_class; /* from the choice */
    uint32_t wait_ms;            /* from the choice */
    int64_t started_ns;
} CpFleetAttempt;

typedef struct {
    const char *service;
    const char *object; /* that servers cache; NULL: none */
    uint32_t goal_left_ms;
    uint32_t deadline_left_ms;
    uint32_t host_left_ms; /* until this host ends; 0: it does not */
    const char *tried[CP_FLEET_MAX_TRIED]; /* instances of earlier attempts */
    uint32_t tried_count;
    uint32_t home_region_count; /* regions where it may run; 0: all */
    const char (*home_regions)[CP_NAME_BYTES];
    uint64_t random; /* spreads retries and load probes */
    /* Unless NULL, a server is chosen only if it is more likely to respond
     * within the latency goal than the one of this attempt. */
    const CpFleetAttempt *slow_attempt;
} CpFleetRequest;

/* Distance of a server from this host. */
typedef enum {
    CP_LOCALITY_DOMAIN = 0,
    CP_LOCALITY_REGION,
    CP_LOCALITY_REMOTE,
    CP_LOCALITY_COUNT
} CpLocality;

typedef struct {
    char instance[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
    CpLocality locality;
    uint32_t placement;   /* 0: the object's primary, 1: secondary, 2: other */
    uint32_t wait_ms;     /* expected time in the server's queue */
    uint32_t expected_ms; /* until the response, with the locality cost */
    uint32_t load_age_ms; /* of the last load report; UINT32_MAX: none */
    CpFleetWorkClass work_class;
    /* Of a service whose servers report their speed; otherwise 0. */
    uint32_t work_percent;     /* the server's expected speed */
    uint32_t goal_share_milli; /* chance of a response within the goal */
    uint32_t entry_age_ms;     /* since the server's entry was read */
    bool cold;
    uint32_t retry_after_ms; /* set when the request is refused */
} CpFleetChoice;

/* Chooses a server and counts the request as in flight there until
 * CpFleet_EndAttempt(). Otherwise returns why the request has to be refused;
 * wait_ms and expected_ms are then those of the best candidate, or 0. */
CpReason CpFleet_Choose(CpFleet *f, const CpFleetRequest *request,
                        int64_t now_ns, CpFleetChoice *out);

/* How an attempt ended, from the server's side. */
typedef enum {
    CP_ATTEMPT_ANSWERED = 0,
    CP_ATTEMPT_SERVER_ERROR, /* it ran and failed */
    CP_ATTEMPT_REFUSED,      /* the server reports that it did not run */
    CP_ATTEMPT_WRONG_SERVER, /* another instance has the address */
    CP_ATTEMPT_UNREACHABLE,  /* no byte was sent */
    CP_ATTEMPT_BROKEN,       /* sent, and no complete response received */
    CP_ATTEMPT_TIMED_OUT,
    CP_ATTEMPT_CANCELLED, /* the caller disconnected */
    CP_ATTEMPT_COUNT
} CpAttemptOutcome;
const char *CpAttemptOutcome_Name(CpAttemptOutcome outcome);

typedef struct {
    const char *service;
    const char *instance;
    CpAttemptOutcome outcome;
    /* until the head of the response: the server's work, without the transfer
     * of the body; without a response, until the end of the attempt */
    int64_t latency_ns;
    CpFleetWorkClass work_class; /* from the choice */
    bool has_load;
    CpServerLoad load;
    uint32_t warmup_left_ms; /* from the response; 0: warm or not reported */
    uint32_t pause_ms; /* the server wants no requests for so long; 0: none */
    bool leaving;      /* the server announced that it leaves */
    /* The attempt broke off because its connection, used before, delivered
     * bytes that no request asked for: no failure of this request's. */
    bool unsolicited;
    uint64_t response_bytes;
} CpFleetAttemptResult;
/* Ends an attempt that CpFleet_Choose() began and updates the server's
 * state. */
void CpFleet_EndAttempt(CpFleet *f, const CpFleetAttemptResult *r,
                        int64_t now_ns);

/* Takes a server that announced that it leaves out of use, until another
 * incarnation of it is started. */
void CpFleet_SetLeaving(CpFleet *f, const char *service, const char *instance,
                        int64_t now_ns);

/* Numbers of entry hosts that share this host's callers or servers, this host
 * included. */
typedef struct {
    uint32_t in_domain;
    uint32_t in_region;
} CpFleetHostCounts;
/* Adjusts the share of the objects that are placed on local servers to the
 * capacity of these servers; called every CP_FLEET_TICK_MS. */
#define CP_FLEET_TICK_MS 250
void CpFleet_Tick(CpFleet *f, const CpFleetHostCounts *hosts, int64_t now_ns);

/* Sets the requests that another host has in flight at a server; `peer` and
 * `server_hash` are hashes of their names. */
void CpFleet_SetPeerLoad(CpFleet *f, uint64_t peer, uint64_t server_hash,
                         uint32_t inflight, int64_t now_ns);
/* Clears the loads that a host reported, before a complete report of it: at
 * servers that the report leaves out it has no requests. */
void CpFleet_ClearPeerLoads(CpFleet *f, uint64_t peer);

/* This host's requests in flight at a server, and the other hosts that use
 * it. */
#define CP_FLEET_MAX_PEERS 64 /* other hosts that use one server */
typedef struct {
    uint64_t server_hash;
    uint32_t inflight;
    char domain[CP_NAME_BYTES];
    uint32_t peer_count;
    uint64_t peer_hashes[CP_FLEET_MAX_PEERS];
} CpFleetUsage;
/* Gets the usage of one server; returns false if the server is unknown. */
bool CpFleet_GetUsage(CpFleet *f, const char *service, const char *instance,
                      int64_t now_ns, CpFleetUsage *out);
/* Lists the servers where this host has requests in flight, without the other
 * hosts. Returns how many, at most `capacity`. */
uint32_t CpFleet_ListUsage(CpFleet *f, CpFleetUsage *out, uint32_t capacity);

/* A speed that a server had when it responded to this host. */
typedef struct {
    uint64_t server_hash;
    uint32_t work_percent;
    uint32_t age_ms;
} CpFleetSpeed;
/* Lists the speeds that servers reported to this host within the last
 * `max_age_ms`. Returns how many, at most `capacity`. */
uint32_t CpFleet_ListSpeeds(CpFleet *f, uint32_t max_age_ms, int64_t now_ns,
                            CpFleetSpeed *out, uint32_t capacity);
/* Records speeds that another host received. */
void CpFleet_SetPeerSpeeds(CpFleet *f, const CpFleetSpeed *speeds,
                           uint32_t count, int64_t now_ns);

/* A server of this host's domain whose speed no response has told recently. */
typedef struct {
    char service[CP_NAME_BYTES];
    char instance[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
} CpFleetSpeedTarget;
/* Lists such servers, of services that report speeds, for which `is_wanted`
 * returns true. It is called under the lock of the service's shard. Returns
 * how many, at most `capacity`. */
uint32_t
CpFleet_ListSpeedTargets(CpFleet *f, uint32_t max_age_ms, int64_t now_ns,
                         bool (*is_wanted)(void *ctx, const char *instance),
                         void *ctx, CpFleetSpeedTarget *out,
                         uint32_t capacity);
/* Records the speed from a server's health page. */
void CpFleet_SetPolledSpeed(CpFleet *f, const char *service,
                            const char *instance, uint32_t work_percent,
                            int64_t now_ns);

/* How much of the capacity that a request may use is in use. */
typedef struct {
    bool speed_reported; /* otherwise the rest is 0 */
    /* requests that run or wait at the servers over their slots, by recent
     * responses to this host; 0 where there were none */
    uint32_t load_milli;
    uint32_t server_count; /* of such responses; 0: the load is not known */
    uint32_t slots;        /* of all servers */
} CpFleetRoom;
/* Gets it for the service and the home regions of the request. */
void CpFleet_GetRoom(CpFleet *f, const CpFleetRequest *request, int64_t now_ns,
                     CpFleetRoom *out);

/* Counts the servers of a service that may get new requests now. */
uint32_t CpFleet_CountUsable(CpFleet *f, const char *service, int64_t now_ns);

#endif
