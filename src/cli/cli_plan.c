/* plan: shows the effect of a drain or move without applying it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "steer/steer.h"

typedef struct {
    uint32_t slots;
    uint32_t share_permille;
} RegionLoad;

static CpStatus apply_change(CpConfig *c, int argc, char **argv);
static void print_text(const CpConfig *c, const CpDomainPlan *before,
                       const CpDomainPlan *after);
static void print_json(const CpConfig *c, const CpDomainPlan *before,
                       const CpDomainPlan *after);
static RegionLoad region_load(const CpConfig *c, const CpDomainPlan *d,
                              uint32_t region);
static uint32_t crossing_permille(const CpConfig *c,
                                  const CpDomainPlan *before,
                                  const CpDomainPlan *after, uint32_t from,
                                  uint32_t to);
static uint32_t ramp_s(const CpConfig *c, uint32_t domain);

CpExit
CpCli_Plan(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *c;
    CpStatus st = CpCli_LoadCurrentConfig(o, &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    CpDomainPlan *before =
        CpMem_Alloc((c->domain_count + 1) * sizeof(*before));
    CpDomainPlan *after = CpMem_Alloc((c->domain_count + 1) * sizeof(*after));
    CpTopology *t = CpTopology_New(c);
    CpSteer_PlanDomains(t, before);
    st = apply_change(c, argc, argv);
    if (st == CP_OK) {
        CpSteer_PlanDomains(t, after);
        if (o->json) {
            print_json(c, before, after);
        }
        else {
            print_text(c, before, after);
        }
    }
    CpTopology_Free(t);
    free(before);
    free(after);
    CpConfig_Free(c);
    return st == CP_OK ? CP_EXIT_OK : CpCli_ReportError(st);
}

static CpStatus
apply_change(CpConfig *c, int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[0], "drain") == 0) {
        uint32_t server = CpConfig_FindServer(c, argv[1]);
        uint32_t domain = CpConfig_FindDomain(c, argv[1]);
        if (server != CP_NO_INDEX) {
            c->servers[server].leaving = true;
            return CP_OK;
        }
        if (domain != CP_NO_INDEX) {
            c->domains[domain].drained = true;
            return CP_OK;
        }
    }
    if (argc == 4 && strcmp(argv[0], "move") == 0) {
        uint32_t from = CpConfig_FindDomain(c, argv[1]);
        uint32_t to = CpConfig_FindDomain(c, argv[2]);
        uint32_t percent = (uint32_t)strtoul(argv[3], NULL, 10);
        if (from != CP_NO_INDEX && to != CP_NO_INDEX && percent <= 100) {
            c->moves = CpMem_Realloc(c->moves,
                                     (c->move_count + 1) * sizeof(*c->moves));
            c->moves[c->move_count++] = (CpMove){
                .from_index = from, .to_index = to, .percent = percent};
            return CP_OK;
        }
    }
    return CpError_Set(CP_ERR_ARG,
                       "plan drain SERVER|DOMAIN, or move FROM TO PERCENT");
}

static void
print_text(const CpConfig *c, const CpDomainPlan *before,
           const CpDomainPlan *after)
{
    printf("%-16s %6s %6s %8s %8s %8s\n", "domain", "slots", "after",
           "clients", "after", "shift s");
    for (uint32_t d = 0; d < c->domain_count; d++) {
        printf("%-16s %6u %6u %7.1f%% %7.1f%% %8u\n", c->domains[d].name,
               before[d].slots, after[d].slots,
               before[d].share_permille / 10.0, after[d].share_permille / 10.0,
               after[d].share_permille > before[d].share_permille
                   ? ramp_s(c, d)
                   : 0);
    }
    printf("%-16s %6s %6s %8s %8s\n", "region", "slots", "after", "clients",
           "after");
    for (uint32_t r = 0; r < c->region_count; r++) {
        RegionLoad load_before = region_load(c, before, r);
        RegionLoad load_after = region_load(c, after, r);
        printf("%-16s %6u %6u %7.1f%% %7.1f%%\n", c->regions[r].name,
               load_before.slots, load_after.slots,
               load_before.share_permille / 10.0,
               load_after.share_permille / 10.0);
    }
    printf("%-24s %12s %10s\n", "link", "cap kbit/s", "clients");
    for (uint32_t i = 0; i < c->link_count; i++) {
        const CpLink *l = &c->links[i];
        char name[2 * CP_NAME_BYTES + 4];
        snprintf(name, sizeof(name), "%s->%s", l->from, l->to);
        printf(
            "%-24s %12u %9.1f%%\n", name, l->cap_kbit_s,
            crossing_permille(c, before, after, l->from_index, l->to_index) /
                10.0);
    }
}

static void
print_json(const CpConfig *c, const CpDomainPlan *before,
           const CpDomainPlan *after)
{
    json_t *domains = json_array();
    for (uint32_t d = 0; d < c->domain_count; d++) {
        json_array_append_new(
            domains,
            json_pack("{s:s,s:i,s:i,s:i,s:i}", "domain", c->domains[d].name,
                      "slots", (int)before[d].slots, "slots_after",
                      (int)after[d].slots, "clients_permille",
                      (int)before[d].share_permille, "clients_permille_after",
                      (int)after[d].share_permille));
    }
    json_t *root = json_pack("{s:o}", "domains", domains);
    char *text = json_dumps(root, JSON_INDENT(1));
    printf("%s\n", text);
    free(text);
    json_decref(root);
}

static RegionLoad
region_load(const CpConfig *c, const CpDomainPlan *d, uint32_t region)
{
    RegionLoad sum = {0};
    for (uint32_t i = 0; i < c->domain_count; i++) {
        if (c->domains[i].region_index == region) {
            sum.slots += d[i].slots;
            sum.share_permille += d[i].share_permille;
        }
    }
    return sum;
}

/* Share of clients whose requests would newly go from one region to the other:
 * what the first loses, divided in proportion to what the others gain. */
static uint32_t
crossing_permille(const CpConfig *c, const CpDomainPlan *before,
                  const CpDomainPlan *after, uint32_t from, uint32_t to)
{
    uint32_t lost = 0, gained = 0, all_gained = 0;
    for (uint32_t r = 0; r < c->region_count; r++) {
        uint32_t share_before = region_load(c, before, r).share_permille;
        uint32_t share_after = region_load(c, after, r).share_permille;
        lost += r == from && share_before > share_after
                    ? share_before - share_after
                    : 0;
        gained += r == to && share_after > share_before
                      ? share_after - share_before
                      : 0;
        all_gained +=
            share_after > share_before ? share_after - share_before : 0;
    }
    return all_gained > 0 ? lost * gained / all_gained : 0;
}

/* Seconds, under the shift cap, until moved requests could occupy all slots of
 * a domain, at one request per slot and second. */
static uint32_t
ramp_s(const CpConfig *c, uint32_t domain)
{
    uint32_t slots = 0;
    for (uint32_t i = 0; i < c->server_count; i++) {
        slots +=
            c->servers[i].domain_index == domain ? c->servers[i].slots : 0;
    }
    uint32_t cap = c->domains[domain].shift_cap_per_s;
    return (slots + cap - 1) / cap;
}
