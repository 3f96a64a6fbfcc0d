/* Generates a cluster configuration from the answers of a questionnaire. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config_int.h"

typedef struct {
    char domain[CP_NAME_BYTES];
    char first_ip[CP_ADDR_BYTES];
    uint32_t count;
} HostAnswer;

typedef struct {
    char name[CP_NAME_BYTES];
    char rank[CP_NAME_BYTES];
    char servers[CP_NAME_BYTES];
    uint32_t answered_within_ms;
    bool repeatable;
    uint32_t max_body_kb;
} WorkAnswer;

typedef struct {
    char group[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    char first_address[CP_ADDR_BYTES];
    uint32_t count;
    uint32_t slots;
    uint32_t connections;
} ServerAnswer;

typedef struct {
    char name[CP_NAME_BYTES];
    char region[CP_NAME_BYTES];
} DomainAnswer;

typedef struct {
    char team[CP_NAME_BYTES];
    uint32_t link_mbit_s;
    uint32_t region_latency_us;
    uint32_t shift_cap_per_s;
    uint32_t lookup_ttl_s;
    uint32_t floor_next_percent;
    uint32_t floor_last_percent;
    uint32_t caller_port;
    uint32_t inner_port;
    uint32_t operator_port;
    CpRegion *regions;
    uint32_t region_count;
    DomainAnswer *domains;
    uint32_t domain_count;
    HostAnswer *hosts;
    uint32_t host_count;
    WorkAnswer *work;
    uint32_t work_count;
    ServerAnswer *servers;
    uint32_t server_count;
    CpClientBlock *clients;
    uint32_t client_count;
} Answers;

static const CpField region_fields[] = {
    CP_TEXT_FIELD(CpRegion, name, true),
    CP_U32_FIELD(CpRegion, max_inflight, 0, 1000000, 0, "requests"),
    {0},
};
static const CpField domain_fields[] = {
    CP_TEXT_FIELD(DomainAnswer, name, true),
    CP_TEXT_FIELD(DomainAnswer, region, true),
    {0},
};
static const CpField host_fields[] = {
    CP_TEXT_FIELD(HostAnswer, domain, true),
    CP_TEXT_FIELD(HostAnswer, first_ip, true),
    CP_U32_REQUIRED(HostAnswer, count, 1, 250, "hosts"),
    {0},
};
static const CpField work_fields[] = {
    CP_TEXT_FIELD(WorkAnswer, name, true),
    CP_TEXT_FIELD(WorkAnswer, rank, true),
    CP_TEXT_FIELD(WorkAnswer, servers, true),
    CP_U32_REQUIRED(WorkAnswer, answered_within_ms, 1, 600000, "ms"),
    CP_BOOL_FIELD(WorkAnswer, repeatable, 0),
    CP_U32_FIELD(WorkAnswer, max_body_kb, 0, 1000000, 64, "KB"),
    {0},
};
static const CpField server_fields[] = {
    CP_TEXT_FIELD(ServerAnswer, group, true),
    CP_TEXT_FIELD(ServerAnswer, domain, true),
    CP_TEXT_FIELD(ServerAnswer, first_address, true),
    CP_U32_REQUIRED(ServerAnswer, count, 1, 250, "servers"),
    CP_U32_REQUIRED(ServerAnswer, slots, 1, 10000, "requests"),
    CP_U32_REQUIRED(ServerAnswer, connections, 1, 100000, "connections"),
    {0},
};
static const CpField client_fields[] = {
    CP_TEXT_FIELD(CpClientBlock, block, true),
    CP_TEXT_FIELD(CpClientBlock, domain, true),
    {0},
};
static const CpField answer_fields[] = {
    CP_TEXT_FIELD(Answers, team, true),
    CP_U32_REQUIRED(Answers, link_mbit_s, 1, 100000, "Mbit/s"),
    CP_U32_REQUIRED(Answers, region_latency_us, 0, 1000000, "us"),
    CP_U32_REQUIRED(Answers, shift_cap_per_s, 1, 1000000, "requests/s"),
    CP_U32_FIELD(Answers, lookup_ttl_s, 1, 300, 5, "s"),
    CP_U32_FIELD(Answers, floor_next_percent, 0, 50, 10, "percent"),
    CP_U32_FIELD(Answers, floor_last_percent, 0, 50, 5, "percent"),
    CP_U32_FIELD(Answers, caller_port, 1, 65535, 7000, "(port)"),
    CP_U32_FIELD(Answers, inner_port, 1, 65535, 7100, "(port)"),
    CP_U32_FIELD(Answers, operator_port, 1, 65535, 7200, "(port)"),
    CP_LIST_FIELD(Answers, regions, region_count, CpRegion, region_fields,
                  true),
    CP_LIST_FIELD(Answers, domains, domain_count, DomainAnswer, domain_fields,
                  true),
    CP_LIST_FIELD(Answers, hosts, host_count, HostAnswer, host_fields, true),
    CP_LIST_FIELD(Answers, work, work_count, WorkAnswer, work_fields, true),
    CP_LIST_FIELD(Answers, servers, server_count, ServerAnswer, server_fields,
                  true),
    CP_LIST_FIELD(Answers, clients, client_count, CpClientBlock, client_fields,
                  false),
    {0},
};

static const char *const rank_names[CP_RANK_COUNT] = {"urgent", "next",
                                                      "last"};

static void add_links(const Answers *a, CpConfig *c);
static void add_hosts(const char *label, const Answers *a, CpConfig *c,
                      CpProblems *p);
static void add_servers(const char *label, const Answers *a, CpConfig *c,
                        CpProblems *p);
static void add_pool(CpConfig *c, const char *name);
static void add_work(const Answers *a, CpConfig *c);
static void add_ranks(const Answers *a, CpConfig *c);
static bool ip_at_offset(const char *ip, uint32_t offset, char *out,
                         size_t out_bytes);

CpStatus
CpConfig_Generate(const char *label, const char *answers, size_t answers_bytes,
                  CpConfig **out, CpProblems *p)
{
    Answers a = {0};
    uint32_t before = p->count;
    CpConfig *c = CpMem_Alloc(sizeof(*c));
    if (CpYaml_Bind(label, answers, answers_bytes, answer_fields, &a, p) ==
        CP_OK) {
        c->format = 1;
        CpStr_Copy(c->name, sizeof(c->name), a.team);
        c->lookup_ttl_s = a.lookup_ttl_s;
        c->queue_limit = 256;
        c->retry_percent = 10;
        c->ticket_life_s = 300;
        c->region_count = a.region_count;
        c->regions = CpMem_Alloc((a.region_count + 1) * sizeof(CpRegion));
        memcpy(c->regions, a.regions, a.region_count * sizeof(CpRegion));
        c->domains = CpMem_Alloc((a.domain_count + 1) * sizeof(CpDomain));
        for (uint32_t i = 0; i < a.domain_count; i++) {
            CpDomain *d = &c->domains[c->domain_count++];
            CpStr_Copy(d->name, sizeof(d->name), a.domains[i].name);
            CpStr_Copy(d->region, sizeof(d->region), a.domains[i].region);
            d->shift_cap_per_s = a.shift_cap_per_s;
        }
        add_links(&a, c);
        add_hosts(label, &a, c, p);
        add_servers(label, &a, c, p);
        add_ranks(&a, c);
        add_work(&a, c);
        c->client_count = a.client_count;
        c->clients = CpMem_Alloc((a.client_count + 1) * sizeof(CpClientBlock));
        if (a.client_count > 0) {
            memcpy(c->clients, a.clients,
                   a.client_count * sizeof(CpClientBlock));
        }
        if (p->count == before) {
            CpConfig_Check(label, c, p);
        }
    }
    CpYaml_Clear(answer_fields, &a);
    if (p->count > before) {
        CpConfig_Free(c);
        return CpError_Set(CP_ERR_PARSE, "%s: %u problems", label,
                           p->count - before);
    }
    *out = c;
    return CP_OK;
}

static void
add_links(const Answers *a, CpConfig *c)
{
    uint32_t n = a->region_count;
    c->links = CpMem_Alloc((n * n + 1) * sizeof(CpLink));
    for (uint32_t i = 0; i < n * n; i++) {
        if (i / n == i % n) {
            continue;
        }
        CpLink *l = &c->links[c->link_count++];
        CpStr_Copy(l->from, sizeof(l->from), a->regions[i / n].name);
        CpStr_Copy(l->to, sizeof(l->to), a->regions[i % n].name);
        l->cap_kbit_s = a->link_mbit_s * 1000;
        l->latency_us = a->region_latency_us;
    }
}

static void
add_hosts(const char *label, const Answers *a, CpConfig *c, CpProblems *p)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < a->host_count; i++) {
        n += a->hosts[i].count;
    }
    c->hosts = CpMem_Alloc((n + 1) * sizeof(CpHost));
    for (uint32_t i = 0; i < a->host_count; i++) {
        const HostAnswer *answer = &a->hosts[i];
        for (uint32_t k = 0; k < answer->count; k++) {
            CpHost *h = &c->hosts[c->host_count++];
            char ip[CP_NAME_BYTES];
            if (!ip_at_offset(answer->first_ip, k, ip, sizeof(ip))) {
                CpProblems_Add(p,
                               "%s: hosts[%u].first_ip: expected an IPv4 "
                               "address, got \"%s\"",
                               label, i, answer->first_ip);
                return;
            }
            snprintf(h->name, sizeof(h->name), "%.32s-%u", answer->domain,
                     k + 1);
            CpStr_Copy(h->domain, sizeof(h->domain), answer->domain);
            snprintf(h->caller, sizeof(h->caller), "%s:%u", ip,
                     a->caller_port);
            snprintf(h->inner, sizeof(h->inner), "%s:%u", ip, a->inner_port);
            snprintf(h->operator_listen, sizeof(h->operator_listen), "%s:%u",
                     ip, a->operator_port);
        }
    }
}

static void
add_servers(const char *label, const Answers *a, CpConfig *c, CpProblems *p)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < a->server_count; i++) {
        n += a->servers[i].count;
    }
    c->servers = CpMem_Alloc((n + 1) * sizeof(CpServer));
    c->pools = CpMem_Alloc((a->server_count + 1) * sizeof(CpPool));
    for (uint32_t i = 0; i < a->server_count; i++) {
        const ServerAnswer *answer = &a->servers[i];
        char first[CP_ADDR_BYTES];
        const char *colon = strrchr(answer->first_address, ':');
        CpStr_Copy(first, sizeof(first), answer->first_address);
        first[colon ? colon - answer->first_address : 0] = '\0';
        add_pool(c, answer->group);
        for (uint32_t k = 0; k < answer->count; k++) {
            CpServer *s = &c->servers[c->server_count++];
            char ip[CP_NAME_BYTES];
            if (!ip_at_offset(first, k, ip, sizeof(ip))) {
                CpProblems_Add(p,
                               "%s: servers[%u].first_address: expected "
                               "IPv4:port, got \"%s\"",
                               label, i, answer->first_address);
                return;
            }
            snprintf(s->name, sizeof(s->name), "%.16s-%.16s-%u", answer->group,
                     answer->domain, k + 1);
            CpStr_Copy(s->domain, sizeof(s->domain), answer->domain);
            snprintf(s->address, sizeof(s->address), "%s%s", ip, colon);
            CpStr_Copy(s->pool, sizeof(s->pool), answer->group);
            s->slots = answer->slots;
            s->connections = answer->connections;
        }
    }
}

static void
add_pool(CpConfig *c, const char *name)
{
    for (uint32_t i = 0; i < c->pool_count; i++) {
        if (strcmp(c->pools[i].name, name) == 0) {
            return;
        }
    }
    CpStr_Copy(c->pools[c->pool_count++].name, CP_NAME_BYTES, name);
}

static void
add_ranks(const Answers *a, CpConfig *c)
{
    const uint32_t floors[CP_RANK_COUNT] = {0, a->floor_next_percent,
                                            a->floor_last_percent};
    c->ranks = CpMem_Alloc(CP_RANK_COUNT * sizeof(CpRank));
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        CpStr_Copy(c->ranks[i].name, CP_NAME_BYTES, rank_names[i]);
        c->ranks[i].floor_percent = floors[i];
    }
    c->rank_count = CP_RANK_COUNT;
}

static void
add_work(const Answers *a, CpConfig *c)
{
    c->kinds = CpMem_Alloc((a->work_count + 1) * sizeof(CpKind));
    for (uint32_t i = 0; i < a->work_count; i++) {
        const WorkAnswer *answer = &a->work[i];
        CpKind *k = &c->kinds[c->kind_count++];
        CpStr_Copy(k->name, sizeof(k->name), answer->name);
        CpStr_Copy(k->rank, sizeof(k->rank), answer->rank);
        CpStr_Copy(k->pool, sizeof(k->pool), answer->servers);
        k->deadline_ms = answer->answered_within_ms;
        k->idempotent = answer->repeatable;
        k->max_body_kb = answer->max_body_kb;
    }
}

/* Writes the IPv4 address `offset` after `ip`; false if `ip` is invalid. */
static bool
ip_at_offset(const char *ip, uint32_t offset, char *out, size_t out_bytes)
{
    struct in_addr a;
    if (inet_pton(AF_INET, ip, &a) != 1) {
        return false;
    }
    a.s_addr = htonl(ntohl(a.s_addr) + offset);
    return inet_ntop(AF_INET, &a, out, (socklen_t)out_bytes) != NULL;
}
