/* Entry hosts for lookups, and the effect of drains and moves on domains. */
#include <stdlib.h>

#include "steer/steer.h"

/* Domains that one pass over the hosts considers. */
typedef enum {
    ENTRY_OWN_REGION,   /* not drained */
    ENTRY_OTHER_REGION, /* not drained */
    ENTRY_NOT_DRAINED,
    ENTRY_ANY /* drained ones too */
} EntryPass;

static uint32_t add_entries(const CpTopology *t, const CpSteerHost *hosts,
                            uint32_t domain, uint32_t rotation, EntryPass pass,
                            uint32_t *out, uint32_t found, uint32_t capacity);
static bool contains(const uint32_t *list, uint32_t count, uint32_t value);

/* The last entry is reserved for a host of another region, if there is one: a
 * caller's cached lookup must remain usable when a region is lost. */
uint32_t
CpSteer_EntryHosts(const CpTopology *t, const CpSteerHost *hosts,
                   uint32_t domain_index, uint32_t rotation, uint32_t *out,
                   uint32_t capacity)
{
    uint32_t found = add_entries(t, hosts, domain_index, rotation,
                                 ENTRY_OWN_REGION, out, 0, capacity - 1);
    found = add_entries(t, hosts, domain_index, rotation, ENTRY_OTHER_REGION,
                        out, found, found + 1);
    found = add_entries(t, hosts, domain_index, rotation, ENTRY_NOT_DRAINED,
                        out, found, capacity);
    return found > 0 ? found
                     : add_entries(t, hosts, domain_index, rotation, ENTRY_ANY,
                                   out, 0, capacity);
}

void
CpSteer_PlanDomains(const CpTopology *t, CpDomainPlan *out)
{
    const CpConfig *c = t->config;
    uint32_t *shares_permille =
        CpMem_Alloc((c->domain_count + 1) * sizeof(*shares_permille));
    for (uint32_t i = 0; i < c->client_count; i++) {
        uint32_t from = c->clients[i].domain_index, remaining_permille = 1000;
        for (uint32_t k = 0; k < c->move_count; k++) {
            if (c->moves[k].from_index == from) {
                uint32_t moved_permille = c->moves[k].percent * 10;
                shares_permille[c->moves[k].to_index] += moved_permille;
                remaining_permille -= moved_permille < remaining_permille
                                          ? moved_permille
                                          : remaining_permille;
            }
        }
        shares_permille[from] += remaining_permille;
    }
    for (uint32_t d = 0; d < c->domain_count; d++) {
        out[d] = (CpDomainPlan){0};
    }
    for (uint32_t i = 0; i < c->server_count; i++) {
        const CpServer *s = &c->servers[i];
        out[s->domain_index].slots += s->leaving ? 0 : s->slots;
    }
    for (uint32_t d = 0; d < c->domain_count; d++) {
        uint32_t to = d;
        for (uint32_t i = 0; i < c->domain_count && c->domains[to].drained;
             i++) {
            to = t->domains_by_latency[d * c->domain_count + i];
        }
        if (c->client_count > 0) {
            out[to].share_permille += shares_permille[d] / c->client_count;
        }
    }
    free(shares_permille);
}

/* Appends live hosts, by latency of their domains, up to `capacity` hosts. */
static uint32_t
add_entries(const CpTopology *t, const CpSteerHost *hosts, uint32_t domain,
            uint32_t rotation, EntryPass pass, uint32_t *out, uint32_t found,
            uint32_t capacity)
{
    const CpConfig *c = t->config;
    uint32_t region = c->domains[domain].region_index;
    for (uint32_t i = 0; i < c->domain_count && found < capacity; i++) {
        uint32_t d = t->domains_by_latency[domain * c->domain_count + i];
        bool same_region = c->domains[d].region_index == region;
        if ((pass != ENTRY_ANY && c->domains[d].drained) ||
            (pass == ENTRY_OWN_REGION && !same_region) ||
            (pass == ENTRY_OTHER_REGION && same_region)) {
            continue;
        }
        for (uint32_t k = 0; k < c->host_count && found < capacity; k++) {
            uint32_t h = (k + rotation) % c->host_count;
            if (hosts[h].domain_index == d &&
                hosts[h].state == CP_MEMBER_LIVE && !contains(out, found, h)) {
                out[found++] = h;
            }
        }
    }
    return found;
}

static bool
contains(const uint32_t *list, uint32_t count, uint32_t value)
{
    for (uint32_t i = 0; i < count; i++) {
        if (list[i] == value) {
            return true;
        }
    }
    return false;
}
