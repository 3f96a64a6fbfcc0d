/* Checks across the fields of a configuration, and lookup by name. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config_int.h"

#define MAX_POOLS 16 /* equal to CP_MAX_POOLS in member.h */

typedef struct {
    const char *address;
    const char *owner;
} AddressUse;

static void index_names(const char *label, CpConfig *c, CpProblems *p);
static void check_unique(const char *label, const char *list,
                         const void *items, size_t item_bytes, uint32_t n,
                         CpProblems *p);
static void check_addresses(const char *label, const CpConfig *c,
                            CpProblems *p);
static void check_floors(const char *label, const CpConfig *c, CpProblems *p);
static void check_blocks(const char *label, const CpConfig *c, CpProblems *p);
static uint32_t find_by_name(const void *items, size_t item_bytes, uint32_t n,
                             const char *name);
static uint32_t check_found(const char *label, const char *field,
                            const char *name, uint32_t found, CpProblems *p);
static int compare_addresses(const void *a, const void *b);

void
CpConfig_Check(const char *label, CpConfig *c, CpProblems *p)
{
    check_unique(label, "regions", c->regions, sizeof(CpRegion),
                 c->region_count, p);
    check_unique(label, "domains", c->domains, sizeof(CpDomain),
                 c->domain_count, p);
    check_unique(label, "hosts", c->hosts, sizeof(CpHost), c->host_count, p);
    check_unique(label, "pools", c->pools, sizeof(CpPool), c->pool_count, p);
    check_unique(label, "servers", c->servers, sizeof(CpServer),
                 c->server_count, p);
    check_unique(label, "ranks", c->ranks, sizeof(CpRank), c->rank_count, p);
    check_unique(label, "kinds", c->kinds, sizeof(CpKind), c->kind_count, p);
    index_names(label, c, p);
    check_addresses(label, c, p);
    check_floors(label, c, p);
    if (c->pool_count > MAX_POOLS) {
        CpProblems_Add(p, "%s: pools: expected at most %d", label, MAX_POOLS);
    }
    check_blocks(label, c, p);
}

uint32_t
CpConfig_FindRegion(const CpConfig *c, const char *name)
{
    return find_by_name(c->regions, sizeof(CpRegion), c->region_count, name);
}

uint32_t
CpConfig_FindDomain(const CpConfig *c, const char *name)
{
    return find_by_name(c->domains, sizeof(CpDomain), c->domain_count, name);
}

uint32_t
CpConfig_FindHost(const CpConfig *c, const char *name)
{
    return find_by_name(c->hosts, sizeof(CpHost), c->host_count, name);
}

uint32_t
CpConfig_FindServer(const CpConfig *c, const char *name)
{
    return find_by_name(c->servers, sizeof(CpServer), c->server_count, name);
}

uint32_t
CpConfig_FindPool(const CpConfig *c, const char *name)
{
    return find_by_name(c->pools, sizeof(CpPool), c->pool_count, name);
}

uint32_t
CpConfig_FindKind(const CpConfig *c, const char *name)
{
    return find_by_name(c->kinds, sizeof(CpKind), c->kind_count, name);
}

const CpLink *
CpConfig_FindLink(const CpConfig *c, uint32_t from, uint32_t to)
{
    for (uint32_t i = 0; i < c->link_count; i++) {
        if (c->links[i].from_index == from && c->links[i].to_index == to) {
            return &c->links[i];
        }
    }
    return NULL;
}

static void
index_names(const char *label, CpConfig *c, CpProblems *p)
{
    for (uint32_t i = 0; i < c->domain_count; i++) {
        CpDomain *d = &c->domains[i];
        d->region_index = check_found(label, "domains.region", d->region,
                                      CpConfig_FindRegion(c, d->region), p);
    }
    for (uint32_t i = 0; i < c->link_count; i++) {
        CpLink *l = &c->links[i];
        l->from_index = check_found(label, "links.from", l->from,
                                    CpConfig_FindRegion(c, l->from), p);
        l->to_index = check_found(label, "links.to", l->to,
                                  CpConfig_FindRegion(c, l->to), p);
    }
    for (uint32_t i = 0; i < c->host_count; i++) {
        CpHost *h = &c->hosts[i];
        h->domain_index = check_found(label, "hosts.domain", h->domain,
                                      CpConfig_FindDomain(c, h->domain), p);
    }
    for (uint32_t i = 0; i < c->server_count; i++) {
        CpServer *s = &c->servers[i];
        s->domain_index = check_found(label, "servers.domain", s->domain,
                                      CpConfig_FindDomain(c, s->domain), p);
        s->pool_index = check_found(label, "servers.pool", s->pool,
                                    CpConfig_FindPool(c, s->pool), p);
    }
    for (uint32_t i = 0; i < c->kind_count; i++) {
        CpKind *k = &c->kinds[i];
        k->pool_index = check_found(label, "kinds.pool", k->pool,
                                    CpConfig_FindPool(c, k->pool), p);
        k->rank_index = check_found(
            label, "kinds.rank", k->rank,
            find_by_name(c->ranks, sizeof(CpRank), c->rank_count, k->rank), p);
    }
    for (uint32_t i = 0; i < c->client_count; i++) {
        CpClientBlock *b = &c->clients[i];
        b->domain_index = check_found(label, "clients.domain", b->domain,
                                      CpConfig_FindDomain(c, b->domain), p);
    }
    for (uint32_t i = 0; i < c->move_count; i++) {
        CpMove *m = &c->moves[i];
        m->from_index = check_found(label, "moves.from", m->from,
                                    CpConfig_FindDomain(c, m->from), p);
        m->to_index = check_found(label, "moves.to", m->to,
                                  CpConfig_FindDomain(c, m->to), p);
    }
}

static void
check_unique(const char *label, const char *list, const void *items,
             size_t item_bytes, uint32_t n, CpProblems *p)
{
    const char *bytes = items;
    if (n == 0) {
        CpProblems_Add(p, "%s: %s: expected at least one", label, list);
    }
    for (uint32_t i = 0; i < n; i++) {
        if (find_by_name(items, item_bytes, i, bytes + i * item_bytes) !=
            CP_NO_INDEX) {
            CpProblems_Add(p, "%s: %s: \"%s\" is defined twice", label, list,
                           bytes + i * item_bytes);
        }
    }
}

/* No two listeners and no two backend servers may share an address. */
static void
check_addresses(const char *label, const CpConfig *c, CpProblems *p)
{
    uint32_t n = 0, capacity = c->host_count * 3 + c->server_count;
    AddressUse *rows = CpMem_Alloc((capacity + 1) * sizeof(*rows));
    for (uint32_t i = 0; i < c->host_count; i++) {
        const CpHost *h = &c->hosts[i];
        rows[n++] = (AddressUse){h->caller, h->name};
        rows[n++] = (AddressUse){h->inner, h->name};
        rows[n++] = (AddressUse){h->operator_listen, h->name};
    }
    for (uint32_t i = 0; i < c->server_count; i++) {
        rows[n++] = (AddressUse){c->servers[i].address, c->servers[i].name};
    }
    qsort(rows, n, sizeof(*rows), compare_addresses);
    for (uint32_t i = 0; i < n; i++) {
        if (!CpAddress_IsValid(rows[i].address)) {
            CpProblems_Add(p, "%s: %s: expected IP:port, got \"%s\"", label,
                           rows[i].owner, rows[i].address);
        }
        if (i > 0 && strcmp(rows[i].address, rows[i - 1].address) == 0) {
            CpProblems_Add(p, "%s: address %s: used by %s and %s", label,
                           rows[i].address, rows[i - 1].owner, rows[i].owner);
        }
    }
    free(rows);
}

static void
check_floors(const char *label, const CpConfig *c, CpProblems *p)
{
    uint32_t sum = 0;
    if (c->rank_count > CP_RANK_COUNT) {
        CpProblems_Add(p, "%s: ranks: expected at most %d", label,
                       CP_RANK_COUNT);
    }
    for (uint32_t i = 0; i < c->rank_count; i++) {
        sum += c->ranks[i].floor_percent;
    }
    if (sum > 50) {
        CpProblems_Add(p, "%s: ranks: floors sum to %u, expected at most 50",
                       label, sum);
    }
}

static void
check_blocks(const char *label, const CpConfig *c, CpProblems *p)
{
    for (uint32_t i = 0; i < c->client_count; i++) {
        char ip[CP_NAME_BYTES];
        unsigned char raw[16];
        CpStr_Copy(ip, sizeof(ip), c->clients[i].block);
        char *slash = strchr(ip, '/');
        bool v6 = strchr(ip, ':') != NULL;
        int32_t bits = slash ? atoi(slash + 1) : -1;
        if (slash != NULL) {
            *slash = '\0';
        }
        if (bits < 0 || bits > (v6 ? 128 : 32) ||
            inet_pton(v6 ? AF_INET6 : AF_INET, ip, raw) != 1) {
            CpProblems_Add(p,
                           "%s: clients[%u].block: expected IP/bits, "
                           "got \"%s\"",
                           label, i, c->clients[i].block);
        }
    }
}

static uint32_t
find_by_name(const void *items, size_t item_bytes, uint32_t n,
             const char *name)
{
    const char *bytes = items;
    for (uint32_t i = 0; i < n; i++) {
        if (strcmp(bytes + i * item_bytes, name) == 0) {
            return i;
        }
    }
    return CP_NO_INDEX;
}

static uint32_t
check_found(const char *label, const char *field, const char *name,
            uint32_t found, CpProblems *p)
{
    if (found == CP_NO_INDEX) {
        CpProblems_Add(p, "%s: %s: \"%s\" is not defined", label, field, name);
    }
    return found;
}

static int
compare_addresses(const void *a, const void *b)
{
    return strcmp(((const AddressUse *)a)->address,
                  ((const AddressUse *)b)->address);
}
