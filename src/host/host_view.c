/*
 * The view that request threads read: a configuration, the hosts' states and
 * the rendered lookup responses. It is replaced as a whole; readers retain it
 * inside an epoch section, so an old view is freed only when no reader can
 * reach it.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

static ck_epoch_record_t *epoch_record(CpNode *n);
static void swap_view(CpNode *n, CpView *v);
static void destroy_view(ck_epoch_entry_t *entry);
static void fill_hosts(CpNode *n, CpView *v);
static CpLookupResponses *render_lookups(const CpView *v);
static void release_lookups(CpLookupResponses *l);
static void order_hosts(CpGeneration *g);
static uint32_t effective_slots(const CpConfig *c, uint32_t server);
static char *render_lookup(const CpView *v, uint32_t domain,
                           uint32_t rotation);
CK_EPOCH_CONTAINER(CpView, epoch, view_of)

CpGeneration *
CpGeneration_New(CpNode *n, CpConfig *config, char *text, size_t text_bytes,
                 uint64_t version)
{
    CpGeneration *g = CpMem_Alloc(sizeof(*g));
    g->refs = 1;
    g->version = version;
    g->config = config;
    g->config->version = version;
    g->topology = CpTopology_New(config);
    g->text = text;
    g->text_bytes = text_bytes;
    g->self = CpConfig_FindHost(config, n->settings.host);
    g->self_domain = CpConfig_FindDomain(config, n->settings.domain);
    order_hosts(g);
    return g;
}

uint32_t
CpGeneration_StaticShare(const CpGeneration *g, uint32_t server, uint32_t host)
{
    const uint32_t *order = g->host_orders[server];
    uint32_t host_count = g->domain_host_count,
             units = g->server_slots[server];
    for (uint32_t i = 0; order != NULL && i < host_count; i++) {
        if (order[i] == host) {
            return units / host_count + (i < units % host_count);
        }
        if (i >= units) {
            return 0;
        }
    }
    return 0;
}

void
CpGeneration_Release(CpGeneration *g)
{
    if (g != NULL && CpRef_Release(&g->refs)) {
        for (uint32_t i = 0; i < g->config->server_count; i++) {
            free(g->host_orders[i]);
        }
        free(g->host_orders);
        free(g->server_slots);
        free(g->domain_hosts);
        CpTopology_Free(g->topology);
        CpConfig_Free(g->config);
        free(g->text);
        free(g);
    }
}

void
CpView_Install(CpNode *n, CpGeneration *g)
{
    CpView *v = CpMem_Alloc(sizeof(*v));
    v->refs = 1;
    v->generation = g;
    v->hosts = CpMem_Alloc((g->config->host_count + 1) * sizeof(*v->hosts));
    v->member_changes = CpAtomic_Load(&n->member_changes);
    fill_hosts(n, v);
    CpView *old = CpView_Retain(n);
    if (old != NULL && old->generation == g &&
        old->member_changes == v->member_changes) {
        v->lookups = old->lookups;
        CpRef_Retain(&v->lookups->refs);
    }
    else {
        v->lookups = render_lookups(v);
    }
    CpView_Release(old);
    swap_view(n, v);
}

void
CpView_Refresh(CpNode *n)
{
    CpView *old = CpView_Retain(n);
    if (old != NULL) {
        CpRef_Retain(&old->generation->refs);
        CpView_Install(n, old->generation);
        CpView_Release(old);
    }
}

CpView *
CpView_Retain(CpNode *n)
{
    ck_epoch_record_t *r = epoch_record(n);
    ck_epoch_begin(r, NULL);
    CpView *v = __atomic_load_n(&n->view, __ATOMIC_ACQUIRE);
    if (v != NULL) {
        CpRef_Retain(&v->refs);
    }
    ck_epoch_end(r, NULL);
    return v;
}

void
CpView_Release(CpView *v)
{
    if (v == NULL || !CpRef_Release(&v->refs)) {
        return;
    }
    CpGeneration_Release(v->generation);
    release_lookups(v->lookups);
    free(v->hosts);
    free(v);
}

/* Frees views that no reader can reach any more. */
void
CpView_Reclaim(CpNode *n)
{
    ck_epoch_poll(epoch_record(n));
}

char *
CpView_RenderLookup(void *ctx, const char *kind, const char *client,
                    uint32_t *ttl_s)
{
    CpNode *n = ctx;
    uint8_t ip[CP_IP_BYTES] = {0};
    bool v6;
    (void)kind;
    CpView *v = CpView_Retain(n);
    if (v == NULL) {
        return NULL;
    }
    const CpGeneration *g = v->generation;
    uint32_t d = g->self_domain;
    uint64_t rotation = 0;
    if (CpIp_Parse(client, ip, &v6)) {
        d = CpSteer_HomeDomain(g->topology, ip, v6, d);
        rotation = CpHash(ip, sizeof(ip), 0) % CP_LOOKUP_ROTATIONS;
    }
    char *body = NULL;
    if (d != CP_NO_INDEX) {
        body =
            CpStr_Dup(v->lookups->bodies[d * CP_LOOKUP_ROTATIONS + rotation]);
    }
    *ttl_s = g->config->lookup_ttl_s;
    CpView_Release(v);
    return body;
}

void
CpView_FindOrigin(void *ctx, const char *client, char out[CP_NAME_BYTES])
{
    CpNode *n = ctx;
    uint8_t ip[CP_IP_BYTES] = {0};
    bool v6;
    CpView *v = CpView_Retain(n);
    CpStr_Copy(out, CP_NAME_BYTES, n->settings.domain);
    if (v != NULL && CpIp_Parse(client, ip, &v6)) {
        const CpGeneration *g = v->generation;
        uint32_t d = CpSteer_OriginDomain(g->topology, ip, v6, g->self_domain);
        if (d != CP_NO_INDEX) {
            CpStr_Copy(out, CP_NAME_BYTES, g->config->domains[d].name);
        }
    }
    CpView_Release(v);
}

CpReason
CpView_FindKind(void *ctx, const char *name, CpKindInfo *out)
{
    CpView *v = CpView_Retain(ctx);
    CpReason reason = CP_REASON_NONE;
    if (v == NULL) {
        return CP_REASON_NOT_CONFIGURED;
    }
    const CpConfig *c = v->generation->config;
    uint32_t i = CpConfig_FindKind(c, name);
    if (i == CP_NO_INDEX) {
        reason = CpFollow_IsCurrent(ctx, v->generation->version)
                     ? CP_REASON_UNKNOWN_KIND
                     : CP_REASON_NOT_CURRENT;
    }
    else {
        *out = (CpKindInfo){.kind_index = i,
                            .pool_index = c->kinds[i].pool_index,
                            .rank = c->kinds[i].rank_index,
                            .deadline_ms = c->kinds[i].deadline_ms,
                            .idempotent = c->kinds[i].idempotent,
                            .max_body_kb = c->kinds[i].max_body_kb,
                            .version = v->generation->version};
    }
    CpView_Release(v);
    return reason;
}

/* Returns the calling thread's epoch record, registered at the first call. */
static ck_epoch_record_t *
epoch_record(CpNode *n)
{
    static _Thread_local ck_epoch_record_t *record;
    if (record == NULL) {
        record = CpMem_Alloc(sizeof(*record));
        ck_epoch_register(&n->epoch, record, NULL);
    }
    return record;
}

static void
swap_view(CpNode *n, CpView *v)
{
    CpView *old = __atomic_exchange_n(&n->view, v, __ATOMIC_ACQ_REL);
    if (old != NULL) {
        ck_epoch_call(epoch_record(n), &old->epoch, destroy_view);
    }
}

static void
destroy_view(ck_epoch_entry_t *entry)
{
    CpView_Release(view_of(entry));
}

static void
fill_hosts(CpNode *n, CpView *v)
{
    const CpConfig *c = v->generation->config;
    pthread_mutex_lock(&n->member_lock);
    for (uint32_t i = 0; i < c->host_count; i++) {
        /* The roster of members normally has the configuration's order. */
        const CpMemberEntry *e =
            i < CpMember_Count(n->members) ? CpMember_At(n->members, i) : NULL;
        if (e == NULL || strcmp(e->host, c->hosts[i].name) != 0) {
            e = CpMember_Find(n->members, c->hosts[i].name);
        }
        CpSteerHost *h = &v->hosts[i];
        h->domain_index = c->hosts[i].domain_index;
        if (e != NULL) {
            h->state = e->state;
            h->load_count = e->load_count;
            memcpy(h->loads, e->loads, sizeof(h->loads));
        }
    }
    pthread_mutex_unlock(&n->member_lock);
}

static CpLookupResponses *
render_lookups(const CpView *v)
{
    CpLookupResponses *l = CpMem_Alloc(sizeof(*l));
    l->refs = 1;
    l->count = v->generation->config->domain_count * CP_LOOKUP_ROTATIONS;
    l->bodies = CpMem_Alloc((l->count + 1) * sizeof(*l->bodies));
    for (uint32_t i = 0; i < l->count; i++) {
        l->bodies[i] =
            render_lookup(v, i / CP_LOOKUP_ROTATIONS, i % CP_LOOKUP_ROTATIONS);
    }
    return l;
}

static void
release_lookups(CpLookupResponses *l)
{
    if (!CpRef_Release(&l->refs)) {
        return;
    }
    for (uint32_t i = 0; i < l->count; i++) {
        free(l->bodies[i]);
    }
    free(l->bodies);
    free(l);
}

/* Computes, once per generation, the rendezvous order of this domain's hosts
 * for each of its servers. */
static void
order_hosts(CpGeneration *g)
{
    const CpConfig *c = g->config;
    const char **names = CpMem_Alloc((c->host_count + 1) * sizeof(*names));
    g->domain_hosts =
        CpMem_Alloc((c->host_count + 1) * sizeof(*g->domain_hosts));
    for (uint32_t i = 0; i < c->host_count; i++) {
        if (c->hosts[i].domain_index == g->self_domain) {
            names[g->domain_host_count] = c->hosts[i].name;
            g->domain_hosts[g->domain_host_count++] = i;
        }
    }
    uint32_t host_count = g->domain_host_count;
    g->host_orders =
        CpMem_Alloc((c->server_count + 1) * sizeof(*g->host_orders));
    g->server_slots =
        CpMem_Alloc((c->server_count + 1) * sizeof(*g->server_slots));
    for (uint32_t i = 0; i < c->server_count; i++) {
        if (c->servers[i].domain_index != g->self_domain) {
            continue;
        }
        g->server_slots[i] = effective_slots(c, i);
        g->host_orders[i] =
            CpMem_Alloc((host_count + 1) * sizeof(**g->host_orders));
        CpShare_RendezvousOrder(c->servers[i].name, names, host_count,
                                g->host_orders[i]);
        for (uint32_t k = 0; k < host_count; k++) {
            g->host_orders[i][k] = g->domain_hosts[g->host_orders[i][k]];
        }
    }
    free(names);
}

/* Returns the slots of a server that may be used: where a region's limit is
 * below the sum of its slots, each server gets its part of the limit, so that
 * no routing decision can overload the region. */
static uint32_t
effective_slots(const CpConfig *c, uint32_t server)
{
    const CpServer *s = &c->servers[server];
    uint32_t region = c->domains[s->domain_index].region_index;
    uint64_t limit = c->regions[region].max_inflight, total = 0, before = 0;
    for (uint32_t i = 0; limit > 0 && i < c->server_count; i++) {
        const CpServer *other = &c->servers[i];
        if (c->domains[other->domain_index].region_index == region) {
            total += other->slots;
            before += i < server ? other->slots : 0;
        }
    }
    if (limit == 0 || limit >= total) {
        return s->slots;
    }
    return (uint32_t)((before + s->slots) * limit / total -
                      before * limit / total);
}

static char *
render_lookup(const CpView *v, uint32_t domain, uint32_t rotation)
{
    const CpGeneration *g = v->generation;
    const CpConfig *c = g->config;
    uint32_t out[CP_MAX_ENTRY_HOSTS];
    uint32_t n = CpSteer_EntryHosts(g->topology, v->hosts, domain, rotation,
                                    out, CP_MAX_ENTRY_HOSTS);
    json_t *list = json_array();
    for (uint32_t i = 0; i < n; i++) {
        const CpHost *h = &c->hosts[out[i]];
        json_array_append_new(list, json_pack("{s:s,s:s,s:s}", "host", h->name,
                                              "address", h->caller, "domain",
                                              h->domain));
    }
    json_t *root =
        json_pack("{s:o,s:i,s:I}", "hosts", list, "ttl_s",
                  (int)c->lookup_ttl_s, "version", (json_int_t)g->version);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}
