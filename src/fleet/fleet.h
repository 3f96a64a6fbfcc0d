/*
 * fleet: what this host believes of the backend servers, and which of them
 * gets a request. Decisions only, under a clock that the caller gives.
 *
 * The loads it answers: a server works several times faster on an object that
 * it has handled lately, so each object has a stable home server and a stable
 * second one, and leaves them only when waiting there costs more than starting
 * cold elsewhere. A request that would wait past its goal is refused at once
 * rather than queued behind others; one that is late anyway runs only where a
 * slot is free. Hosts tell each other at once what they have sent, so that
 * each knows the queues of the servers that they share.
 */
#ifndef CP_FLEET_H
#define CP_FLEET_H

#include "base/base.h"

#define CP_FLEET_MAX_DOMAINS 64
#define CP_FLEET_MAX_TRIED 8

/* What a backend server says of itself. */
typedef struct {
    char instance[CP_NAME_BYTES]; /* one start of the server */
    char service[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
    char domain[CP_NAME_BYTES];
    uint32_t slots; /* requests that it works on at once */
    bool draining;
    uint32_t warmup_left_ms; /* how long it stays cold */
    int64_t born_ms;         /* wall clock of its start; 0: unknown */
    uint64_t sequence;       /* of its reports since then */
} CpServerEntry;

/* Load that an answer told. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
} CpServerLoad;

typedef struct {
    char name[CP_NAME_BYTES];
    char region[CP_NAME_BYTES];
} CpFleetDomain;

typedef struct {
    const char *domain; /* of this host */
    const CpFleetDomain *domains;
    uint32_t domain_count;
    /* Whether this host may send to a cold server, and over how many hosts
     * the server's warm-up rate is divided. NULL: it alone. */
    bool (*warmup_part)(void *ctx, const char *instance, const char *domain,
                        uint32_t *parts);
    /* A server's standing changed: "rests", "answers_again", "replaced",
     * "stands_out_slow"; with a time where one belongs to it. May be NULL. */
    void (*noted)(void *ctx, const char *instance, const char *what,
                  uint32_t ms);
    void *ctx;
} CpFleetOptions;

typedef struct CpFleet CpFleet;
CpFleet *CpFleet_New(const CpFleetOptions *options);
void CpFleet_Free(CpFleet *f);

/* A server's report; later ones replace earlier ones. */
void CpFleet_Put(CpFleet *f, const CpServerEntry *e, int64_t now_ns);
/* A server's entry is gone. While `lapsed` the store may have lost it only
 * for a time: the server stays in use until CpFleet_Forget(). */
void CpFleet_Remove(CpFleet *f, const char *instance, bool lapsed,
                    int64_t now_ns);
/* Drops the servers whose entries lapsed and did not come back. Returns how
 * many. */
uint32_t CpFleet_Forget(CpFleet *f, int64_t now_ns);
/* Marks every server as unseen: a scan that follows tells who is there. */
void CpFleet_BeginScan(CpFleet *f);
/* Removes what the scan did not tell; see CpFleet_Remove(). */
void CpFleet_EndScan(CpFleet *f, bool lapsed, int64_t now_ns);
/* Takes a domain out of use, or back: its servers are then cold. */
void CpFleet_SetEvacuated(CpFleet *f, const char *domain, bool evacuated,
                          int64_t now_ns);
/* A scan of what the operator asks for begins, and ends: domains that it did
 * not tell as evacuated are taken back. Returns how many. */
void CpFleet_BeginEvacuations(CpFleet *f);
uint32_t CpFleet_EndEvacuations(CpFleet *f, int64_t now_ns);
/* How servers of a service warm up. */
void CpFleet_SetService(CpFleet *f, const char *service, uint32_t warmup_ms,
                        uint32_t warmup_per_s_milli);

typedef struct {
    const char *service;
    const char *object; /* NULL: none that a server would remember */
    uint32_t goal_left_ms;
    uint32_t deadline_left_ms;
    const char *tried[CP_FLEET_MAX_TRIED]; /* instances that had it already */
    uint32_t tried_count;
    uint32_t home_count; /* regions it may run in; 0: all */
    const char (*homes)[CP_NAME_BYTES];
    uint64_t random; /* spreads callers that come back */
} CpFleetAsk;

/* How far away a server is. */
typedef enum {
    CP_NEAR_DOMAIN = 0,
    CP_NEAR_REGION,
    CP_NEAR_FAR,
    CP_NEAR_COUNT
} CpNearness;

typedef struct {
    char instance[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
    CpNearness nearness;
    uint32_t place;        /* 0: the object's home, 1: its second, 2: other */
    uint32_t wait_ms;      /* expected in the server's queue */
    uint32_t expected_ms;  /* until the answer */
    uint32_t load_age_ms;  /* of the load behind it; UINT32_MAX: never told */
    uint32_t entry_age_ms; /* since the server's entry was read */
    bool cold;
    uint32_t retry_after_ms; /* where the request is refused */
} CpFleetPick;

/* Chooses a server and counts the request as sent to it, until
 * CpFleet_Ended(). Otherwise the reason why it has to be refused; wait_ms and
 * expected_ms are then those of the server that was nearest to taking it. */
CpReason CpFleet_Choose(CpFleet *f, const CpFleetAsk *ask, int64_t now_ns,
                        CpFleetPick *out);

/* How an attempt ended, as far as it tells of the server. */
typedef enum {
    CP_ATTEMPT_ANSWERED = 0,
    CP_ATTEMPT_SERVER_ERROR, /* it ran and failed */
    CP_ATTEMPT_REFUSED,      /* the server says that it did not run */
    CP_ATTEMPT_WRONG_SERVER, /* another instance has the address */
    CP_ATTEMPT_UNREACHABLE,  /* no byte was sent */
    CP_ATTEMPT_BROKEN,       /* sent, and no whole answer came */
    CP_ATTEMPT_TIMED_OUT,
    CP_ATTEMPT_CANCELLED, /* the caller went away */
    CP_ATTEMPT_COUNT
} CpAttemptEnd;
const char *CpAttemptEnd_Name(CpAttemptEnd end);

typedef struct {
    const char *service;
    const char *instance;
    CpAttemptEnd end;
    int64_t latency_ns;
    bool has_load;
    CpServerLoad load;
    uint32_t warmup_left_ms; /* as the answer told; 0: warm or untold */
    uint64_t answer_bytes;
} CpFleetReport;
void CpFleet_Ended(CpFleet *f, const CpFleetReport *r, int64_t now_ns);

/* Entry hosts, this one among them, that share its callers or its servers. */
typedef struct {
    uint32_t in_domain;
    uint32_t in_region;
} CpFleetHosts;
/* Adjusts how many objects are kept near, by what the servers there carry. */
#define CP_FLEET_TICK_MS 250
void CpFleet_Tick(CpFleet *f, const CpFleetHosts *hosts, int64_t now_ns);

/* Requests that another host has at a server, by the hashes of both names. */
void CpFleet_PeerLoad(CpFleet *f, uint64_t peer, uint64_t server,
                      uint32_t count, int64_t now_ns);
/* A whole report of a host begins: servers that it does not name have none. */
void CpFleet_PeerBegin(CpFleet *f, uint64_t peer);

/* Requests that this host has at a server, and who else uses it. */
#define CP_FLEET_MAX_PEERS 64 /* other hosts that use one server */
typedef struct {
    uint64_t server;
    uint32_t count;
    char domain[CP_NAME_BYTES];
    uint32_t peer_count;
    uint64_t peers[CP_FLEET_MAX_PEERS];
} CpFleetUse;
bool CpFleet_Use(CpFleet *f, const char *service, const char *instance,
                 int64_t now_ns, CpFleetUse *out);
/* All servers that this host has requests at; returns how many were told. */
uint32_t CpFleet_Uses(CpFleet *f, CpFleetUse *out, uint32_t room);

/* Servers of a service that may get new work now. */
uint32_t CpFleet_Usable(CpFleet *f, const char *service, int64_t now_ns);

#endif
