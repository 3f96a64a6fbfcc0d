/*
 * The view that requests read: a configuration, the hosts' states and the
 * rendered look-up answers. It is swapped whole; readers take a reference
 * inside an epoch, so an old view is freed only when nobody can reach it.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

static ck_epoch_record_t *record(CpNode *n);
static void swap_view(CpNode *n, CpView *v);
static void destroy_view(ck_epoch_entry_t *entry);
static void fill_hosts(CpNode *n, CpView *v);
static void render_lookups(CpView *v);
static char *render_lookup(const CpView *v, uint32_t domain, uint32_t turn);
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
    g->self = CpConfig_Host(config, n->settings.host);
    g->self_domain = CpConfig_Domain(config, n->settings.domain);
    return g;
}

void
CpGeneration_Release(CpGeneration *g)
{
    if (g != NULL && CpRef_Drop(&g->refs)) {
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
    fill_hosts(n, v);
    render_lookups(v);
    swap_view(n, v);
}

void
CpView_Refresh(CpNode *n)
{
    CpView *old = CpView_Acquire(n);
    if (old != NULL) {
        CpRef_Take(&old->generation->refs);
        CpView_Install(n, old->generation);
        CpView_Release(old);
    }
}

CpView *
CpView_Acquire(CpNode *n)
{
    ck_epoch_record_t *r = record(n);
    ck_epoch_begin(r, NULL);
    CpView *v = __atomic_load_n(&n->view, __ATOMIC_ACQUIRE);
    if (v != NULL) {
        CpRef_Take(&v->refs);
    }
    ck_epoch_end(r, NULL);
    return v;
}

void
CpView_Release(CpView *v)
{
    if (v == NULL || !CpRef_Drop(&v->refs)) {
        return;
    }
    uint32_t n = v->generation->config->domain_count * CP_LOOKUP_TURNS;
    for (uint32_t i = 0; i < n; i++) {
        free(v->lookups[i]);
    }
    CpGeneration_Release(v->generation);
    free(v->lookups);
    free(v->hosts);
    free(v);
}

/* Frees views that no reader can reach any more. */
void
CpView_Poll(CpNode *n)
{
    ck_epoch_poll(record(n));
}

char *
CpView_Lookup(void *ctx, const char *kind, const char *client, uint32_t *ttl_s)
{
    CpNode *n = ctx;
    uint8_t ip[CP_IP_BYTES] = {0};
    bool v6;
    (void)kind;
    CpView *v = CpView_Acquire(n);
    if (v == NULL) {
        return NULL;
    }
    const CpGeneration *g = v->generation;
    uint32_t d = g->self_domain;
    uint64_t turn = 0;
    if (CpIp_Parse(client, ip, &v6)) {
        d = CpSteer_Home(g->topology, ip, v6, d);
        turn = CpHash(ip, sizeof(ip), 0) % CP_LOOKUP_TURNS;
    }
    char *text = NULL;
    if (d != CP_NO_INDEX) {
        text = CpMem_Dup(v->lookups[d * CP_LOOKUP_TURNS + turn]);
    }
    *ttl_s = g->config->lookup_ttl_s;
    CpView_Release(v);
    return text;
}

void
CpView_Origin(void *ctx, const char *client, char out[CP_NAME_BYTES])
{
    CpNode *n = ctx;
    uint8_t ip[CP_IP_BYTES] = {0};
    bool v6;
    CpView *v = CpView_Acquire(n);
    CpStr_Copy(out, CP_NAME_BYTES, n->settings.domain);
    if (v != NULL && CpIp_Parse(client, ip, &v6)) {
        const CpGeneration *g = v->generation;
        uint32_t d = CpSteer_Origin(g->topology, ip, v6, g->self_domain);
        if (d != CP_NO_INDEX) {
            CpStr_Copy(out, CP_NAME_BYTES, g->config->domains[d].name);
        }
    }
    CpView_Release(v);
}

CpReason
CpView_Kind(void *ctx, const char *name, CpKindInfo *out)
{
    CpView *v = CpView_Acquire(ctx);
    CpReason reason = CP_REASON_NONE;
    if (v == NULL) {
        return CP_REASON_NOT_CONFIGURED;
    }
    const CpConfig *c = v->generation->config;
    uint32_t i = CpConfig_Kind(c, name);
    if (i == CP_NO_INDEX) {
        reason = CP_REASON_UNKNOWN_KIND;
    }
    else {
        *out = (CpKindInfo){.kind_index = i,
                            .pool_index = c->kinds[i].pool_index,
                            .rank = c->kinds[i].rank_index,
                            .deadline_ms = c->kinds[i].deadline_ms,
                            .idempotent = c->kinds[i].idempotent,
                            .max_body_kb = c->kinds[i].max_body_kb};
    }
    CpView_Release(v);
    return reason;
}

/* The calling thread's epoch record, made at its first use. */
static ck_epoch_record_t *
record(CpNode *n)
{
    static _Thread_local ck_epoch_record_t *mine;
    if (mine == NULL) {
        mine = CpMem_Alloc(sizeof(*mine));
        ck_epoch_register(&n->epoch, mine, NULL);
    }
    return mine;
}

static void
swap_view(CpNode *n, CpView *v)
{
    CpView *old = __atomic_exchange_n(&n->view, v, __ATOMIC_ACQ_REL);
    if (old != NULL) {
        ck_epoch_call(record(n), &old->epoch, destroy_view);
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
        const CpMemberEntry *e = CpMember_Find(n->member, c->hosts[i].name);
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

static void
render_lookups(CpView *v)
{
    const CpConfig *c = v->generation->config;
    v->lookups = CpMem_Alloc((c->domain_count * CP_LOOKUP_TURNS + 1) *
                             sizeof(*v->lookups));
    for (uint32_t d = 0; d < c->domain_count; d++) {
        for (uint32_t t = 0; t < CP_LOOKUP_TURNS; t++) {
            v->lookups[d * CP_LOOKUP_TURNS + t] = render_lookup(v, d, t);
        }
    }
}

static char *
render_lookup(const CpView *v, uint32_t domain, uint32_t turn)
{
    const CpGeneration *g = v->generation;
    const CpConfig *c = g->config;
    uint32_t out[CP_ENTRY_HOSTS];
    uint32_t n = CpSteer_Entry(g->topology, v->hosts, domain, 0, turn, out,
                               CP_ENTRY_HOSTS);
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
