/*
 * steer: which failure domain and which host serve a client: the one where
 * waiting and travelling cost least, the nearest where they cost alike. Loads
 * are hints: a wrong one costs a hop, never a limit.
 */
#ifndef CP_STEER_H
#define CP_STEER_H

#include "base/base.h"
#include "config/config.h"
#include "member/member.h"

#define CP_IP_BYTES 16
#define CP_ENTRY_HOSTS 3 /* hosts in the answer to a look-up */

/* A block of client addresses. IPv4 uses the first 4 bytes of `ip`. */
typedef struct {
    uint8_t ip[CP_IP_BYTES];
    uint8_t bits;
    bool v6;
    uint16_t value;
} CpBlock;

/* Longest-prefix match over blocks, flattened into sorted ranges. */
typedef struct CpBlockMap CpBlockMap;
CpBlockMap *CpBlockMap_Build(const CpBlock *blocks, uint32_t count);
void CpBlockMap_Free(CpBlockMap *m);
/* The value of the longest block that holds the address, or CP_NO_INDEX. */
uint32_t CpBlockMap_Find(const CpBlockMap *m, const uint8_t *ip, bool v6);
uint64_t CpBlockMap_Size_bytes(const CpBlockMap *m);
/* Parses "IP/bits"; false if it is none. */
bool CpBlock_Parse(const char *text, CpBlock *out);
/* Parses an address without bits. */
bool CpIp_Parse(const char *text, uint8_t *ip, bool *v6);

/* What follows from a configuration alone. */
typedef struct {
    const CpConfig *config;
    CpBlockMap *blocks;
    uint16_t *near;       /* [domain][rank of nearness] -> domain */
    uint32_t *latency_us; /* [domain][domain], one way */
} CpTopology;
CpTopology *CpTopology_New(const CpConfig *config);
void CpTopology_Free(CpTopology *t);

/* One host as steering sees it. */
typedef struct {
    CpMemberState state;
    uint32_t domain_index;
    uint32_t load_count;
    CpLoad loads[CP_MAX_POOLS];
} CpSteerHost;

typedef struct {
    uint32_t domain_index; /* where the asking host is */
    uint32_t pool_index;
    const uint32_t *tried; /* hosts that refused already */
    uint32_t tried_count;
    /* [host][CP_MAX_POOLS]: what the asking host has sent and not got back;
     * other threads may change it meanwhile */
    const uint32_t *outstanding;
    /* [host][CP_MAX_POOLS]: CpSteer_Hint() of the last answer from each */
    const uint64_t *hints;
    int64_t now_ns;
    uint32_t only_domain; /* CP_NO_INDEX: any */
    uint32_t skip_domain; /* CP_NO_INDEX: none */
    bool allow_drained;   /* as a last resort */
    uint64_t random;
} CpSteerAsk;

/* Whether the request has been to that host already. */
bool CpSteer_WasTried(const CpSteerAsk *request, uint32_t host);

/* What an answer told of a pool's load, and when: newer than a view's. */
#define CP_HINT_LIFE_NS (250 * CP_NS_PER_MS)
uint64_t CpSteer_Hint(uint32_t load, int64_t now_ns);

/* The host that should run a request, or CP_NO_INDEX. `hosts` goes by the
 * configuration's list of hosts. */
uint32_t CpSteer_Choose(const CpTopology *t, const CpSteerHost *hosts,
                        const CpSteerAsk *request);
/* The domain that a client's requests belong to, with moves applied. */
uint32_t CpSteer_Home(const CpTopology *t, const uint8_t *ip, bool v6,
                      uint32_t fallback);
/* The domain without moves: the origin of a request. */
uint32_t CpSteer_Origin(const CpTopology *t, const uint8_t *ip, bool v6,
                        uint32_t fallback);
/* Entry hosts for clients of a domain, best first. Returns their count. */
uint32_t CpSteer_Entry(const CpTopology *t, const CpSteerHost *hosts,
                       uint32_t domain_index, uint32_t rotation, uint32_t *out,
                       uint32_t capacity);

/* What a drain or move would do: slots and share of work by domain. */
typedef struct {
    uint32_t slots;
    uint32_t share_permille; /* of all clients' blocks */
} CpPlanDomain;
void CpSteer_Plan(const CpTopology *t, CpPlanDomain *out);

#endif
