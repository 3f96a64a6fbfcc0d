/* Choice of the failure domain and host that run a request. */
#include <stdlib.h>
#include <string.h>

#include "steer/steer.h"

#define DOMAIN_LATENCY_US 1000  /* between domains of one region */
#define REGION_LATENCY_US 50000 /* where no link is configured */
#define HINT_BITS 16        /* of a hint hold the load, the rest the time */
#define HINT_SHIFT 16       /* the time is in 65.5 us */
#define SERVICE_US 5000     /* where no service time is known */
#define LEAVE_HOME_FACTOR 2 /* a far queue must be this much shorter */
#define LEAVE_HOME_US 2000  /* what the hop and a stale hint cost */

typedef struct {
    uint32_t slots;
    uint32_t busy;       /* running, waiting, or sent there */
    uint64_t service_us; /* weighted by slots */
} DomainLoad;

static void sort_near(CpTopology *t, uint32_t domain);
static uint32_t latency(const CpConfig *c, uint32_t a, uint32_t b);
static DomainLoad domain_load(const CpTopology *t, const CpSteerHost *hosts,
                              const CpSteerAsk *ask, uint32_t domain);
static uint64_t wait_us(const DomainLoad *load);
static uint32_t choose_host(const CpTopology *t, const CpSteerHost *hosts,
                            const CpSteerAsk *ask, uint32_t domain);
static bool usable(const CpSteerHost *h, const CpSteerAsk *ask, uint32_t i);
static uint32_t busy(const CpSteerHost *hosts, const CpSteerAsk *ask,
                     uint32_t i);
static bool better(const CpSteerHost *hosts, const CpSteerAsk *ask, uint32_t a,
                   uint32_t b);
static bool may_serve(const CpTopology *t, const CpSteerAsk *ask,
                      uint32_t domain);

CpTopology *
CpTopology_New(const CpConfig *config)
{
    CpTopology *t = CpMem_Alloc(sizeof(*t));
    uint32_t n = config->domain_count, used = 0;
    CpBlock *blocks =
        CpMem_Alloc((config->client_count + 1) * sizeof(*blocks));
    t->config = config;
    for (uint32_t i = 0; i < config->client_count; i++) {
        if (CpBlock_Parse(config->clients[i].block, &blocks[used])) {
            blocks[used++].value = (uint16_t)config->clients[i].domain_index;
        }
    }
    t->blocks = CpBlockMap_Build(blocks, used);
    free(blocks);
    t->near = CpMem_Alloc((n * n + 1) * sizeof(*t->near));
    t->latency_us = CpMem_Alloc((n * n + 1) * sizeof(*t->latency_us));
    for (uint32_t a = 0; a < n; a++) {
        for (uint32_t b = 0; b < n; b++) {
            t->latency_us[a * n + b] = latency(config, a, b);
        }
        sort_near(t, a);
    }
    return t;
}

void
CpTopology_Free(CpTopology *t)
{
    if (t != NULL) {
        CpBlockMap_Free(t->blocks);
        free(t->near);
        free(t->latency_us);
        free(t);
    }
}

uint32_t
CpSteer_Choose(const CpTopology *t, const CpSteerHost *hosts,
               const CpSteerAsk *ask)
{
    uint32_t n = t->config->domain_count, best = CP_NO_INDEX;
    uint64_t best_us = UINT64_MAX;
    for (uint32_t i = 0; i < n; i++) {
        uint32_t d = t->near[ask->domain_index * n + i];
        DomainLoad load = domain_load(t, hosts, ask, d);
        bool home = d == ask->domain_index;
        if (load.slots == 0 || !may_serve(t, ask, d)) {
            continue;
        }
        uint64_t us = wait_us(&load);
        if (!home) {
            us = us * LEAVE_HOME_FACTOR + LEAVE_HOME_US +
                 2 * t->latency_us[ask->domain_index * n + d];
        }
        if (us < best_us) {
            best = d;
            best_us = us;
        }
    }
    return best == CP_NO_INDEX ? best : choose_host(t, hosts, ask, best);
}

bool
CpSteer_WasTried(const CpSteerAsk *ask, uint32_t host)
{
    for (uint32_t i = 0; i < ask->tried_count; i++) {
        if (ask->tried[i] == host) {
            return true;
        }
    }
    return false;
}

uint64_t
CpSteer_Hint(uint32_t busy, int64_t now_ns)
{
    const uint32_t most = (1u << HINT_BITS) - 1;
    return (uint64_t)now_ns >> HINT_SHIFT << HINT_BITS |
           (busy < most ? busy : most);
}

uint32_t
CpSteer_Home(const CpTopology *t, const uint8_t *ip, bool v6,
             uint32_t fallback)
{
    uint32_t d = CpSteer_Origin(t, ip, v6, fallback);
    uint64_t turn = CpHash(ip, v6 ? 16 : 4, 1) % 100;
    for (uint32_t i = 0; i < t->config->move_count; i++) {
        const CpMove *m = &t->config->moves[i];
        if (m->from_index == d) {
            if (turn < m->percent) {
                return m->to_index;
            }
            turn -= m->percent;
        }
    }
    return d;
}

uint32_t
CpSteer_Origin(const CpTopology *t, const uint8_t *ip, bool v6,
               uint32_t fallback)
{
    uint32_t d = CpBlockMap_Find(t->blocks, ip, v6);
    return d == CP_NO_INDEX ? fallback : d;
}

static void
sort_near(CpTopology *t, uint32_t domain)
{
    uint32_t n = t->config->domain_count;
    uint16_t *near = &t->near[domain * n];
    const uint32_t *us = &t->latency_us[domain * n];
    for (uint32_t i = 0; i < n; i++) {
        uint32_t at = i;
        while (at > 0 && us[near[at - 1]] > us[i]) {
            near[at] = near[at - 1];
            at--;
        }
        near[at] = (uint16_t)i;
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
        return DOMAIN_LATENCY_US;
    }
    const CpLink *l = CpConfig_Link(c, ra, rb);
    return DOMAIN_LATENCY_US + (l != NULL ? l->latency_us : REGION_LATENCY_US);
}

static DomainLoad
domain_load(const CpTopology *t, const CpSteerHost *hosts,
            const CpSteerAsk *ask, uint32_t domain)
{
    DomainLoad sum = {0};
    for (uint32_t i = 0; i < t->config->host_count; i++) {
        const CpSteerHost *h = &hosts[i];
        if (h->domain_index == domain && usable(h, ask, i)) {
            const CpLoad *load = &h->loads[ask->pool_index];
            sum.slots += load->slots;
            sum.busy += busy(hosts, ask, i);
            sum.service_us +=
                (uint64_t)load->slots *
                (load->service_us ? load->service_us : SERVICE_US);
        }
    }
    return sum;
}

/* Expected wait for a slot. */
static uint64_t
wait_us(const DomainLoad *load)
{
    if (load->busy < load->slots) {
        return 0;
    }
    uint64_t service_us = load->service_us / load->slots;
    return (load->busy - load->slots + 1) * service_us / load->slots;
}

/* The less loaded of two hosts taken at random by their slots. */
static uint32_t
choose_host(const CpTopology *t, const CpSteerHost *hosts,
            const CpSteerAsk *ask, uint32_t domain)
{
    uint32_t total = domain_load(t, hosts, ask, domain).slots;
    uint32_t picked[2] = {CP_NO_INDEX, CP_NO_INDEX};
    for (uint32_t k = 0; k < 2; k++) {
        uint32_t at = (uint32_t)(ask->random >> (32 * k)) % total;
        for (uint32_t i = 0; i < t->config->host_count; i++) {
            const CpSteerHost *h = &hosts[i];
            if (h->domain_index != domain || !usable(h, ask, i)) {
                continue;
            }
            uint32_t slots = h->loads[ask->pool_index].slots;
            if (at < slots) {
                picked[k] = i;
                break;
            }
            at -= slots;
        }
    }
    if (picked[1] != CP_NO_INDEX && better(hosts, ask, picked[1], picked[0])) {
        return picked[1];
    }
    return picked[0];
}

static bool
usable(const CpSteerHost *h, const CpSteerAsk *ask, uint32_t i)
{
    bool lives = h->state == CP_MEMBER_LIVE || h->state == CP_MEMBER_LEAVING;
    return lives && !CpSteer_WasTried(ask, i) &&
           ask->pool_index < h->load_count;
}

static uint32_t
busy(const CpSteerHost *hosts, const CpSteerAsk *ask, uint32_t i)
{
    const CpLoad *load = &hosts[i].loads[ask->pool_index];
    uint32_t told = load->queued + load->inflight;
    uint64_t hint = __atomic_load_n(
        &ask->hints[i * CP_MAX_POOLS + ask->pool_index], __ATOMIC_RELAXED);
    int64_t age_ns = ask->now_ns - (int64_t)(hint >> HINT_BITS << HINT_SHIFT);
    if (hint != 0 && age_ns < CP_HINT_LIFE_NS) {
        told = (uint32_t)(hint & ((1u << HINT_BITS) - 1));
    }
    uint32_t sent =
        CpAtomic_Load(&ask->outstanding[i * CP_MAX_POOLS + ask->pool_index]);
    return told > sent ? told : sent;
}

/* Whether host `a` is less loaded than `b`, for its slots. */
static bool
better(const CpSteerHost *hosts, const CpSteerAsk *ask, uint32_t a, uint32_t b)
{
    uint32_t pool = ask->pool_index;
    uint64_t x = (uint64_t)busy(hosts, ask, a) * hosts[b].loads[pool].slots;
    uint64_t y = (uint64_t)busy(hosts, ask, b) * hosts[a].loads[pool].slots;
    return x < y;
}

/* Whether the asker lets a domain serve. */
static bool
may_serve(const CpTopology *t, const CpSteerAsk *ask, uint32_t domain)
{
    if (ask->only_domain != CP_NO_INDEX && ask->only_domain != domain) {
        return false;
    }
    return ask->skip_domain != domain &&
           (ask->allow_drained || !t->config->domains[domain].drained);
}
