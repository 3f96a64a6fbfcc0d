/* Entry hosts for look-ups, and what drains and moves do to the domains. */
#include <stdlib.h>

#include "steer/steer.h"

/* Which domains a pass over the entry hosts looks at. */
typedef enum {
    ENTRY_NEAR, /* of the region, not drained */
    ENTRY_OTHER_REGION,
    ENTRY_UNDRAINED,
    ENTRY_ANY /* drained ones, too */
} EntryPass;

static uint32_t add_entries(const CpTopology *t, const CpSteerHost *hosts,
                            uint32_t domain, uint32_t turn, EntryPass pass,
                            uint32_t *out, uint32_t found, uint32_t room);
static bool has(const uint32_t *list, uint32_t count, uint32_t value);

/* The last place is kept for another region, where there is one: a caller's
 * cached look-up has to outlive the loss of a region. */
uint32_t
CpSteer_Entry(const CpTopology *t, const CpSteerHost *hosts,
              uint32_t domain_index, uint32_t turn, uint32_t *out,
              uint32_t room)
{
    uint32_t found = add_entries(t, hosts, domain_index, turn, ENTRY_NEAR, out,
                                 0, room - 1);
    found = add_entries(t, hosts, domain_index, turn, ENTRY_OTHER_REGION, out,
                        found, found + 1);
    found = add_entries(t, hosts, domain_index, turn, ENTRY_UNDRAINED, out,
                        found, room);
    return found > 0 ? found
                     : add_entries(t, hosts, domain_index, turn, ENTRY_ANY,
                                   out, 0, room);
}

void
CpSteer_Plan(const CpTopology *t, CpPlanDomain *out)
{
    const CpConfig *c = t->config;
    uint32_t *counts = CpMem_Alloc((c->domain_count + 1) * sizeof(*counts));
    for (uint32_t i = 0; i < c->client_count; i++) {
        uint32_t from = c->clients[i].domain_index, left = 1000;
        for (uint32_t k = 0; k < c->move_count; k++) {
            if (c->moves[k].from_index == from) {
                uint32_t part = c->moves[k].percent * 10;
                counts[c->moves[k].to_index] += part;
                left -= part < left ? part : left;
            }
        }
        counts[from] += left;
    }
    for (uint32_t d = 0; d < c->domain_count; d++) {
        out[d] = (CpPlanDomain){0};
    }
    for (uint32_t i = 0; i < c->server_count; i++) {
        const CpServer *s = &c->servers[i];
        out[s->domain_index].slots += s->leaving ? 0 : s->slots;
    }
    for (uint32_t d = 0; d < c->domain_count; d++) {
        uint32_t to = d;
        for (uint32_t i = 0; i < c->domain_count && c->domains[to].drained;
             i++) {
            to = t->near[d * c->domain_count + i];
        }
        if (c->client_count > 0) {
            out[to].share_permille += counts[d] / c->client_count;
        }
    }
    free(counts);
}

/* Adds live hosts, nearest domains first, until `room` are there. */
static uint32_t
add_entries(const CpTopology *t, const CpSteerHost *hosts, uint32_t domain,
            uint32_t turn, EntryPass pass, uint32_t *out, uint32_t found,
            uint32_t room)
{
    const CpConfig *c = t->config;
    uint32_t region = c->domains[domain].region_index;
    for (uint32_t i = 0; i < c->domain_count && found < room; i++) {
        uint32_t d = t->near[domain * c->domain_count + i];
        bool same = c->domains[d].region_index == region;
        if ((pass != ENTRY_ANY && c->domains[d].drained) ||
            (pass == ENTRY_NEAR && !same) ||
            (pass == ENTRY_OTHER_REGION && same)) {
            continue;
        }
        for (uint32_t k = 0; k < c->host_count && found < room; k++) {
            uint32_t h = (k + turn) % c->host_count;
            if (hosts[h].domain_index == d &&
                hosts[h].state == CP_MEMBER_LIVE && !has(out, found, h)) {
                out[found++] = h;
            }
        }
    }
    return found;
}

static bool
has(const uint32_t *list, uint32_t count, uint32_t value)
{
    for (uint32_t i = 0; i < count; i++) {
        if (list[i] == value) {
            return true;
        }
    }
    return false;
}
