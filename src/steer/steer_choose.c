/* Choice of the failure domain and host that run a request. */
#include <stdlib.h>
#include <string.h>

#include "steer/steer.h"

#define INTRA_REGION_LATENCY_US 1000  /* between domains of one region */
#define DEFAULT_LINK_LATENCY_US 50000 /* where no link is configured */
#define HINT_LOAD_BITS 16       /* low bits of a hint; the rest is the time */
#define HINT_TIME_SHIFT 16      /* time in units of 65.5 us */
#define DEFAULT_SERVICE_US 5000 /* where no service time is known */
#define REMOTE_WAIT_FACTOR 2    /* a remote wait must be this much shorter */
#define REMOTE_COST_US 2000     /* of the hop and of outdated hints */

typedef struct {
    uint32_t slots;
    uint32_t requests;   /* running, queued or sent there */
    uint64_t service_us; /* weighted by slots */
} DomainLoad;

static void sort_by_latency(CpTopology *t, uint32_t domain);
static uint32_t latency(const CpConfig *c, uint32_t a, uint32_t b);
static DomainLoad domain_load(const CpTopology *t, const CpSteerHost *hosts,
                              const CpSteerRequest *request, uint32_t domain);
static uint64_t wait_us(const DomainLoad *load);
static uint32_t choose_host(const CpTopology *t, const CpSteerHost *hosts,
                            const CpSteerRequest *request, uint32_t domain);
static bool is_candidate(const CpSteerHost *h, const CpSteerRequest *request,
                         uint32_t i);
static uint32_t host_load(const CpSteerHost *hosts,
                          const CpSteerRequest *request, uint32_t i);
static bool is_less_loaded(const CpSteerHost *hosts,
                           const CpSteerRequest *request, uint32_t a,
                           uint32_t b);
static bool is_domain_allowed(const CpTopology *t,
                              const CpSteerRequest *request, uint32_t domain);

CpTopology *
CpTopology_New(const CpConfig *config)
{
    CpTopology *t = CpMem_Alloc(sizeof(*t));
    uint32_t n = config->domain_count, used = 0;
    CpCidrBlock *blocks =
        CpMem_Alloc((config->client_count + 1) * sizeof(*blocks));
    t->config = config;
    for (uint32_t i = 0; i < config->client_count; i++) {
        if (CpCidrBlock_Parse(config->clients[i].block, &blocks[used])) {
            blocks[used++].value = (uint16_t)config->clients[i].domain_index;
        }
    }
    t->blocks = CpCidrMap_Build(blocks, used);
    free(blocks);
    t->domains_by_latency =
        CpMem_Alloc((n * n + 1) * sizeof(*t->domains_by_latency));
    t->latency_us = CpMem_Alloc((n * n + 1) * sizeof(*t->latency_us));
    for (uint32_t a = 0; a < n; a++) {
        for (uint32_t b = 0; b < n; b++) {
            t->latency_us[a * n + b] = latency(config, a, b);
        }
        sort_by_latency(t, a);
    }
    return t;
}

void
CpTopology_Free(CpTopology *t)
{
    if (t != NULL) {
        CpCidrMap_Free(t->blocks);
        free(t->domains_by_latency);
        free(t->latency_us);
        free(t);
    }
}

uint32_t
CpSteer_ChooseHost(const CpTopology *t, const CpSteerHost *hosts,
                   const CpSteerRequest *request)
{
    uint32_t n = t->config->domain_count, best = CP_NO_INDEX;
    uint64_t best_cost_us = UINT64_MAX;
    for (uint32_t i = 0; i < n; i++) {
        uint32_t d = t->domains_by_latency[request->domain_index * n + i];
        DomainLoad load = domain_load(t, hosts, request, d);
        bool local = d == request->domain_index;
        if (load.slots == 0 || !is_domain_allowed(t, request, d)) {
            continue;
        }
        uint64_t cost_us = wait_us(&load);
        if (!local) {
            cost_us = cost_us * REMOTE_WAIT_FACTOR + REMOTE_COST_US +
                      2 * t->latency_us[request->domain_index * n + d];
        }
        if (cost_us < best_cost_us) {
            best = d;
            best_cost_us = cost_us;
        }
    }
    return best == CP_NO_INDEX ? best : choose_host(t, hosts, request, best);
}

bool
CpSteer_WasTried(const CpSteerRequest *request, uint32_t host)
{
    for (uint32_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == host) {
            return true;
        }
    }
    return false;
}

uint64_t
CpSteer_EncodeLoadHint(uint32_t load, int64_t now_ns)
{
    const uint32_t max_load = (1u << HINT_LOAD_BITS) - 1;
    return (uint64_t)now_ns >> HINT_TIME_SHIFT << HINT_LOAD_BITS |
           (load < max_load ? load : max_load);
}

uint32_t
CpSteer_HomeDomain(const CpTopology *t, const uint8_t *ip, bool v6,
                   uint32_t fallback)
{
    uint32_t d = CpSteer_OriginDomain(t, ip, v6, fallback);
    uint64_t bucket = CpHash(ip, v6 ? 16 : 4, 1) % 100;
    for (uint32_t i = 0; i < t->config->move_count; i++) {
        const CpMove *m = &t->config->moves[i];
        if (m->from_index == d) {
            if (bucket < m->percent) {
                return m->to_index;
            }
            bucket -= m->percent;
        }
    }
    return d;
}

uint32_t
CpSteer_OriginDomain(const CpTopology *t, const uint8_t *ip, bool v6,
                     uint32_t fallback)
{
    uint32_t d = CpCidrMap_Find(t->blocks, ip, v6);
    return d == CP_NO_INDEX ? fallback : d;
}

static void
sort_by_latency(CpTopology *t, uint32_t domain)
{
    uint32_t n = t->config->domain_count;
    uint16_t *sorted = &t->domains_by_latency[domain * n];
    const uint32_t *us = &t->latency_us[domain * n];
    for (uint32_t i = 0; i < n; i++) {
        uint32_t position = i;
        while (position > 0 && us[sorted[position - 1]] > us[i]) {
            sorted[position] = sorted[position - 1];
            position--;
        }
        sorted[position] = (uint16_t)i;
    }
}

static uint32_t
latency(const CpConfig *c, uint32_t a, uint32_t b)
{
    uint32_t ra = c->domains[a].region_index, rb = c->domains[b].region_index;
    if (a == b) {
        return 0;
    }
    if (ra == rb) {
        return INTRA_REGION_LATENCY_US;
    }
    const CpLink *l = CpConfig_FindLink(c, ra, rb);
    return INTRA_REGION_LATENCY_US +
           (l != NULL ? l->latency_us : DEFAULT_LINK_LATENCY_US);
}

static DomainLoad
domain_load(const CpTopology *t, const CpSteerHost *hosts,
            const CpSteerRequest *request, uint32_t domain)
{
    DomainLoad sum = {0};
    for (uint32_t i = 0; i < t->config->host_count; i++) {
        const CpSteerHost *h = &hosts[i];
        if (h->domain_index == domain && is_candidate(h, request, i)) {
            const CpPoolLoad *load = &h->loads[request->pool_index];
            sum.slots += load->slots;
            sum.requests += host_load(hosts, request, i);
            sum.service_us +=
                (uint64_t)load->slots *
                (load->service_us ? load->service_us : DEFAULT_SERVICE_US);
        }
    }
    return sum;
}

/* Returns the expected wait for a slot in a domain. */
static uint64_t
wait_us(const DomainLoad *load)
{
    if (load->requests < load->slots) {
        return 0;
    }
    uint64_t service_us = load->service_us / load->slots;
    return (load->requests - load->slots + 1) * service_us / load->slots;
}

/* Power of two choices: the less loaded of two hosts drawn at random, weighted
 * by their slots. */
static uint32_t
choose_host(const CpTopology *t, const CpSteerHost *hosts,
            const CpSteerRequest *request, uint32_t domain)
{
    uint32_t total = domain_load(t, hosts, request, domain).slots;
    uint32_t candidates[2] = {CP_NO_INDEX, CP_NO_INDEX};
    for (uint32_t k = 0; k < 2; k++) {
        uint32_t offset = (uint32_t)(request->random >> (32 * k)) % total;
        for (uint32_t i = 0; i < t->config->host_count; i++) {
            const CpSteerHost *h = &hosts[i];
            if (h->domain_index != domain || !is_candidate(h, request, i)) {
                continue;
            }
            uint32_t slots = h->loads[request->pool_index].slots;
            if (offset < slots) {
                candidates[k] = i;
                break;
            }
            offset -= slots;
        }
    }
    if (candidates[1] != CP_NO_INDEX &&
        is_less_loaded(hosts, request, candidates[1], candidates[0])) {
        return candidates[1];
    }
    return candidates[0];
}

static bool
is_candidate(const CpSteerHost *h, const CpSteerRequest *request, uint32_t i)
{
    bool serving = h->state == CP_MEMBER_LIVE || h->state == CP_MEMBER_LEAVING;
    return serving && !CpSteer_WasTried(request, i) &&
           request->pool_index < h->load_count;
}

/* Returns the newest reported load of a host's pool, but not less than the
 * requests that the choosing host has in flight there. */
static uint32_t
host_load(const CpSteerHost *hosts, const CpSteerRequest *request, uint32_t i)
{
    const CpPoolLoad *load = &hosts[i].loads[request->pool_index];
    uint32_t reported = load->queued + load->inflight;
    uint64_t hint = __atomic_load_n(
        &request->load_hints[i * CP_MAX_POOLS + request->pool_index],
        __ATOMIC_RELAXED);
    int64_t age_ns =
        request->now_ns - (int64_t)(hint >> HINT_LOAD_BITS << HINT_TIME_SHIFT);
    if (hint != 0 && age_ns < CP_LOAD_HINT_TTL_NS) {
        reported = (uint32_t)(hint & ((1u << HINT_LOAD_BITS) - 1));
    }
    uint32_t inflight = CpAtomic_Load(
        &request->inflight[i * CP_MAX_POOLS + request->pool_index]);
    return reported > inflight ? reported : inflight;
}

/* Returns true if host `a` has less load per slot than host `b`. */
static bool
is_less_loaded(const CpSteerHost *hosts, const CpSteerRequest *request,
               uint32_t a, uint32_t b)
{
    uint32_t pool = request->pool_index;
    uint64_t x =
        (uint64_t)host_load(hosts, request, a) * hosts[b].loads[pool].slots;
    uint64_t y =
        (uint64_t)host_load(hosts, request, b) * hosts[a].loads[pool].slots;
    return x < y;
}

/* Returns true if the request's restrictions allow the domain. */
static bool
is_domain_allowed(const CpTopology *t, const CpSteerRequest *request,
                  uint32_t domain)
{
    if (request->only_domain != CP_NO_INDEX &&
        request->only_domain != domain) {
        return false;
    }
    return request->excluded_domain != domain &&
           (request->allow_drained || !t->config->domains[domain].drained);
}
