/*
 * steer: choice of the failure domain and host that serve a client: the domain
 * with the least expected wait plus network latency, the one with the lowest
 * latency if these are equal. Loads are hints: a wrong one costs a hop but
 * never exceeds a limit.
 */
#ifndef CP_STEER_H
#define CP_STEER_H

#include "base/base.h"
#include "config/config.h"
#include "member/member.h"

#define CP_IP_BYTES 16
#define CP_MAX_ENTRY_HOSTS 3 /* hosts in the response to a lookup */

/* A CIDR block of client addresses. IPv4 uses the first 4 bytes of `ip`. */
typedef struct {
    uint8_t ip[CP_IP_BYTES];
    uint8_t prefix_bits;
    bool v6;
    uint16_t value; /* that a lookup of its addresses returns */
} CpCidrBlock;

/* Longest-prefix match over blocks, stored as disjoint sorted ranges. */
typedef struct CpCidrMap CpCidrMap;
CpCidrMap *CpCidrMap_Build(const CpCidrBlock *blocks, uint32_t count);
void CpCidrMap_Free(CpCidrMap *m);
/* Returns the value of the most specific block that contains the address, or
 * CP_NO_INDEX. */
uint32_t CpCidrMap_Find(const CpCidrMap *m, const uint8_t *ip, bool v6);
uint64_t CpCidrMap_Size_bytes(const CpCidrMap *m);
/* Parses "IP/bits"; returns false if malformed. */
bool CpCidrBlock_Parse(const char *text, CpCidrBlock *out);
/* Parses an address without a prefix length; returns false if malformed. */
bool CpIp_Parse(const char *text, uint8_t *ip, bool *v6);

/* Data derived from a configuration; refers to it and does not own it. */
typedef struct {
    const CpConfig *config;
    CpCidrMap *blocks;
    uint16_t *domains_by_latency; /* [domain][n]: n-th domain by latency */
    uint32_t *latency_us;         /* [domain][domain], one way */
} CpTopology;
CpTopology *CpTopology_New(const CpConfig *config);
void CpTopology_Free(CpTopology *t);

/* State and loads of one host, as of its last membership update. */
typedef struct {
    CpMemberState state;
    uint32_t domain_index;
    uint32_t load_count;
    CpPoolLoad loads[CP_MAX_POOLS];
} CpSteerHost;

typedef struct {
    uint32_t domain_index; /* of the host that chooses */
    uint32_t pool_index;
    const uint32_t *tried; /* hosts that have already refused */
    uint32_t tried_count;
    /* [host][CP_MAX_POOLS]: requests that the choosing host has in flight at
     * each host; other threads may change them during the call */
    const uint32_t *inflight;
    /* [host][CP_MAX_POOLS]: load hint of each host's last response */
    const uint64_t *load_hints;
    int64_t now_ns;
    uint32_t only_domain;     /* CP_NO_INDEX: any */
    uint32_t excluded_domain; /* CP_NO_INDEX: none */
    bool allow_drained;       /* as a last resort, drained domains too */
    uint64_t random;
} CpSteerRequest;

/* Returns true if the request was already sent to that host. */
bool CpSteer_WasTried(const CpSteerRequest *request, uint32_t host);

/* A load hint is valid that long; it is newer than the load in CpSteerHost. */
#define CP_LOAD_HINT_TTL_NS (250 * CP_NS_PER_MS)
/* Packs the load of a pool, from a host's response, and its time. */
uint64_t CpSteer_EncodeLoadHint(uint32_t load, int64_t now_ns);

/* Returns the host that should run a request, or CP_NO_INDEX. `hosts` is
 * indexed as the configuration's hosts. */
uint32_t CpSteer_ChooseHost(const CpTopology *t, const CpSteerHost *hosts,
                            const CpSteerRequest *request);
/* Returns the home domain of a client, with moves applied; `fallback` is the
 * domain of addresses that are in no block. */
uint32_t CpSteer_HomeDomain(const CpTopology *t, const uint8_t *ip, bool v6,
                            uint32_t fallback);
/* Returns the domain of a client before moves, the origin of its requests;
 * `fallback` as above. */
uint32_t CpSteer_OriginDomain(const CpTopology *t, const uint8_t *ip, bool v6,
                              uint32_t fallback);
/* Writes up to `capacity` entry hosts for clients of a domain, best first, and
 * returns their number. `rotation` varies the order of hosts in a domain. */
uint32_t CpSteer_EntryHosts(const CpTopology *t, const CpSteerHost *hosts,
                            uint32_t domain_index, uint32_t rotation,
                            uint32_t *out, uint32_t capacity);

/* Slots and share of clients of a domain under a configuration. */
typedef struct {
    uint32_t slots;
    uint32_t share_permille; /* of all client blocks */
} CpDomainPlan;
/* Computes the effect of drains and moves; `out` has an entry per domain. */
void CpSteer_PlanDomains(const CpTopology *t, CpDomainPlan *out);

#endif
