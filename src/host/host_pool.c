/*
 * Pools of backend servers, each under its own lock. The admit package
 * decides; this file collects the requests that it starts or refuses under
 * the lock, and sends or fails them after unlocking.
 */
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

#define LOAN_WORK_MARGIN_MS 200 /* for requests to end past their deadline */
/* Part of the cap on foreign requests that is admitted: the delay between
 * admission and arrival at a server varies, so arrivals may bunch up beyond
 * the cap. A shift may take a tenth longer. */
#define SHIFT_CAP_PERCENT 90

static bool admit_foreign(CpNode *n, int64_t now_ns);
static void on_start(void *ctx, CpAdmitItem *item);
static void on_refuse(void *ctx, CpAdmitItem *item, CpReason reason);
static void on_cancel(void *ctx, CpExchange *ex);
static uint32_t add_server(CpHostPool *p, const char *name);
static void grow_arrays(CpHostPool *p);
static CpHostPool *add_pool(CpNode *n, const char *name);
static void configure_shift(CpNode *n, const CpGeneration *g);
static int64_t share_wait_ns(CpNode *n, const CpGeneration *g,
                             int64_t work_ns);
static void configure_pool(CpNode *n, CpHostPool *p, const CpGeneration *g,
                           uint32_t pool_index);
static void configure_server(CpNode *n, CpHostPool *p, const CpGeneration *g,
                             uint32_t server, int64_t work_ns);
static int64_t longest_work_ns(const CpConfig *c, uint32_t pool_index);

void
CpPool_Configure(CpNode *n, const CpGeneration *g)
{
    configure_shift(n, g);
    for (uint32_t i = 0; i < g->config->pool_count; i++) {
        const char *name = g->config->pools[i].name;
        CpHostPool *p = CpPool_Find(n, name);
        if (p == NULL) {
            p = add_pool(n, name);
        }
        if (p != NULL) {
            configure_pool(n, p, g, i);
        }
    }
}

CpHostPool *
CpPool_Find(CpNode *n, const char *name)
{
    uint32_t count = CpAtomic_Load(&n->pool_count);
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(n->pools[i]->name, name) == 0) {
            return n->pools[i];
        }
    }
    return NULL;
}

void
CpPool_Submit(CpNode *n, CpExchange *ex)
{
    CpView *v = CpView_Retain(n);
    CpHostPool *p = NULL;
    if (v != NULL && ex->pool_index < v->generation->config->pool_count) {
        p = CpPool_Find(n, v->generation->config->pools[ex->pool_index].name);
    }
    CpView_Release(v);
    if (p == NULL) {
        CpDispatch_OnAttemptFailed(n, ex, CP_NOT_RUN,
                                   CP_REASON_NOT_CONFIGURED);
        return;
    }
    int64_t now_ns = CpClock_Now_ns();
    ex->item.rank = ex->rank;
    ex->item.deadline_ns = ex->deadline_ns;
    ex->item.idempotent = ex->idempotent;
    bool foreign = strcmp(ex->origin, n->settings.domain) != 0;
    if (!CpExchange_SetOnCancel(ex, on_cancel, p)) {
        CpDispatch_OnAttemptFailed(n, ex, CP_NOT_RUN, CP_REASON_CALLER_GONE);
        return;
    }
    pthread_mutex_lock(&p->lock);
    if (foreign && !admit_foreign(n, now_ns)) {
        on_refuse(p, &ex->item, CP_REASON_SHIFT_CAP);
    }
    else {
        CpAdmit_Submit(p->admit, &ex->item, now_ns);
    }
    CpPool_Flush(p);
}

void
CpPool_OnBackendDone(void *ctx, CpExchange *ex, const CpBackendResult *result)
{
    CpNode *n = ctx;
    CpHostPool *p = ex->pool;
    pthread_mutex_lock(&p->lock);
    CpAdmit_End(p->admit, &ex->item, result->outcome, result->latency_ns,
                CpClock_Now_ns());
    CpExchange_Retain(ex);
    CpPool_Flush(p);
    if (result->reason == CP_REASON_NONE) {
        CpDispatch_End(n, ex);
    }
    else {
        CpDispatch_OnAttemptFailed(n, ex, result->verdict, result->reason);
    }
}

void
CpPool_Tick(void *ctx, int64_t now_ns)
{
    CpNode *n = ctx;
    uint32_t count = CpAtomic_Load(&n->pool_count);
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        pthread_mutex_lock(&p->lock);
        CpPool_Refresh(p, now_ns);
        CpAdmit_Tick(p->admit, now_ns);
        CpPool_Flush(p);
    }
}

uint32_t
CpPool_CountRequests(CpExchange *ex)
{
    CpHostPool *p = ex->pool;
    uint32_t requests = 0;
    if (p != NULL) {
        pthread_mutex_lock(&p->lock);
        requests = CpAdmit_Queued(p->admit) + CpAdmit_TotalInflight(p->admit);
        pthread_mutex_unlock(&p->lock);
    }
    return requests;
}

uint32_t
CpPool_GetLoads(CpNode *n, CpPoolLoad *out)
{
    uint32_t count = CpAtomic_Load(&n->pool_count);
    int64_t now_ns = CpClock_Now_ns();
    memset(out, 0, CP_MAX_POOLS * sizeof(*out));
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        pthread_mutex_lock(&p->lock);
        if (p->config_index < CP_MAX_POOLS) {
            out[p->config_index] = (CpPoolLoad){
                .queued = CpAdmit_Queued(p->admit),
                .inflight = CpAdmit_TotalInflight(p->admit),
                .slots = CpAdmit_TotalSlots(p->admit, now_ns),
                .service_us = (uint32_t)(CpAdmit_MeanServiceTime_ns(p->admit) /
                                         CP_NS_PER_US)};
        }
        pthread_mutex_unlock(&p->lock);
    }
    return count;
}

bool
CpPool_SetDraining(CpNode *n, const char *server, CpDrainSource source,
                   bool draining)
{
    bool found = false;
    uint32_t count = CpAtomic_Load(&n->pool_count);
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        pthread_mutex_lock(&p->lock);
        uint32_t k = CpPool_FindServer(p, server);
        if (k < p->server_count) {
            found = true;
            uint32_t before = p->drain_sources[k];
            p->drain_sources[k] =
                draining ? before | source : before & ~source;
            if ((before == 0) != (p->drain_sources[k] == 0)) {
                CpLog(CP_LOG_NOTICE, "backend server %s: %s", server,
                      draining ? "draining" : "serving");
            }
            CpPool_Refresh(p, CpClock_Now_ns());
        }
        pthread_mutex_unlock(&p->lock);
    }
    return found;
}

uint32_t
CpPool_ListServers(CpNode *n, CpServerAddress **out)
{
    uint32_t listed = 0, capacity = 0, count = CpAtomic_Load(&n->pool_count);
    *out = NULL;
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        pthread_mutex_lock(&p->lock);
        capacity += p->server_count;
        *out = CpMem_Realloc(*out, (capacity + 1) * sizeof(**out));
        for (uint32_t k = 0; k < p->server_count; k++) {
            int64_t until_ns;
            if (!p->configured[k] ||
                CpShare_CountUsable(&p->shares[k], CpClock_Now_ns(),
                                    &until_ns) == 0) {
                continue;
            }
            CpServerAddress *entry = &(*out)[listed++];
            CpStr_Copy(entry->name, sizeof(entry->name), p->names[k]);
            CpStr_Copy(entry->address, sizeof(entry->address),
                       p->addresses[k]);
        }
        pthread_mutex_unlock(&p->lock);
    }
    return listed;
}

/* Admits a foreign request, one whose origin is another domain. Their rate may
 * grow by this host's part of the domain's cap, in proportion to its usable
 * slots.
 */
static bool
admit_foreign(CpNode *n, int64_t now_ns)
{
    pthread_mutex_lock(&n->shift_lock);
    bool ok = CpShiftLimiter_TryAdmit(&n->shift_limiter, now_ns);
    pthread_mutex_unlock(&n->shift_lock);
    return ok;
}

static void
on_start(void *ctx, CpAdmitItem *item)
{
    CpHostPool *p = ctx;
    CpExchange *ex = item->ctx;
    ex->next = NULL;
    CpExchange **tail = &p->started;
    while (*tail != NULL) {
        tail = &(*tail)->next;
    }
    *tail = ex;
}

static void
on_refuse(void *ctx, CpAdmitItem *item, CpReason reason)
{
    CpHostPool *p = ctx;
    CpExchange *ex = item->ctx;
    ex->refusal_reason = reason;
    ex->next = p->refused;
    p->refused = ex;
}

/* The front end cancelled; a request that is still queued is removed. */
static void
on_cancel(void *ctx, CpExchange *ex)
{
    CpHostPool *p = ctx;
    pthread_mutex_lock(&p->lock);
    bool was_queued = CpAdmit_Remove(p->admit, &ex->item);
    if (was_queued) {
        CpReason reason = CpClock_Now_ns() >= ex->deadline_ns
                              ? CP_REASON_DEADLINE_PASSED
                              : CP_REASON_CALLER_GONE;
        on_refuse(p, &ex->item, reason);
    }
    CpPool_Flush(p);
}

void
CpPool_Flush(CpHostPool *p)
{
    CpExchange *started = p->started, *refused = p->refused;
    p->started = p->refused = NULL;
    for (CpExchange *ex = started; ex != NULL; ex = ex->next) {
        CpStr_Copy(ex->server_address, sizeof(ex->server_address),
                   p->addresses[ex->item.server_index]);
        ex->pool = p;
    }
    pthread_mutex_unlock(&p->lock);
    while (started != NULL) {
        CpExchange *ex = started;
        started = ex->next;
        CpCounter_Add(CP_COUNT_DISPATCHED, 1);
        CpBackend_Send(p->node->backend, ex, ex->server_address);
        CpExchange_Release(ex);
    }
    while (refused != NULL) {
        CpExchange *ex = refused;
        refused = ex->next;
        CpExchange_SetOnCancel(ex, NULL, NULL);
        CpDispatch_OnAttemptFailed(p->node, ex, CP_NOT_RUN,
                                   ex->refusal_reason);
    }
}

/* Updates the usable slots of every server. */
void
CpPool_Refresh(CpHostPool *p, int64_t now_ns)
{
    uint32_t total_slots = 0;
    for (uint32_t k = 0; k < p->server_count; k++) {
        int64_t until_ns;
        uint32_t usable =
            CpShare_CountUsable(&p->shares[k], now_ns, &until_ns);
        CpAdmit_SetServer(p->admit, k, usable, until_ns,
                          p->configured[k] && p->drain_sources[k] == 0);
        total_slots += usable;
    }
    CpNode *n = p->node;
    pthread_mutex_lock(&n->shift_lock);
    n->usable_slots += total_slots - p->usable_slots;
    p->usable_slots = total_slots;
    n->shift_limiter.cap_milli =
        n->domain_slots > 0 ? n->domain_shift_cap_milli * SHIFT_CAP_PERCENT /
                                  100 * n->usable_slots / n->domain_slots
                            : 0;
    pthread_mutex_unlock(&n->shift_lock);
}

uint32_t
CpPool_FindServer(const CpHostPool *p, const char *name)
{
    for (uint32_t i = 0; i < p->server_count; i++) {
        if (strcmp(p->names[i], name) == 0) {
            return i;
        }
    }
    return p->server_count;
}

static uint32_t
add_server(CpHostPool *p, const char *name)
{
    if (p->server_count == p->capacity) {
        grow_arrays(p);
    }
    CpStr_Copy(p->names[p->server_count], CP_NAME_BYTES, name);
    CpAdmit_GrowServers(p->admit, p->server_count + 1);
    return p->server_count++;
}

static void
grow_arrays(CpHostPool *p)
{
    uint32_t capacity = p->capacity ? 2 * p->capacity : 16;
#define GROW(f)                                                               \
    p->f = CpMem_Realloc(p->f, capacity * sizeof(*p->f));                     \
    memset(p->f + p->capacity, 0, (capacity - p->capacity) * sizeof(*p->f))
    GROW(names);
    GROW(addresses);
    GROW(shares);
    GROW(next_own);
    GROW(current_own);
    GROW(was_owner);
    GROW(configured);
    GROW(is_owner);
    GROW(drain_sources);
#undef GROW
    p->capacity = capacity;
}

/* Pools are never freed, so threads may keep pointers to them. */
static CpHostPool *
add_pool(CpNode *n, const char *name)
{
    CpHostPool *p = NULL;
    pthread_mutex_lock(&n->pools_lock);
    if (n->pool_count < CP_MAX_POOLS) {
        p = CpMem_Alloc(sizeof(*p));
        CpAdmitOptions o = {.circuit_breaker = true,
                            .on_start = on_start,
                            .on_refuse = on_refuse,
                            .ctx = p};
        pthread_mutex_init(&p->lock, NULL);
        p->node = n;
        CpStr_Copy(p->name, sizeof(p->name), name);
        p->admit = CpAdmit_New(&o);
        n->pools[n->pool_count] = p;
        CpAtomic_Store(&n->pool_count, n->pool_count + 1);
    }
    pthread_mutex_unlock(&n->pools_lock);
    if (p == NULL) {
        CpLog(CP_LOG_ERR,
              "pool %s ignored: more than %d pools since the start", name,
              CP_MAX_POOLS);
    }
    return p;
}

/* Returns how long after its start a process does not use its shares: an
 * earlier process of this host may have requests in flight and loans granted,
 * and hosts with an earlier configuration may hold more than their part. */
static int64_t
share_wait_ns(CpNode *n, const CpGeneration *g, int64_t work_ns)
{
    int64_t loan_ns = CP_LOAN_DURATION_MS * CP_NS_PER_MS;
    if (!CpAtomic_Load(&n->first_start)) {
        return loan_ns + work_ns;
    }
    return g->version > 1 ? loan_ns : 0;
}

static void
configure_shift(CpNode *n, const CpGeneration *g)
{
    const CpConfig *c = g->config;
    pthread_mutex_lock(&n->shift_lock);
    n->domain_slots = 0;
    for (uint32_t i = 0; i < c->server_count; i++) {
        n->domain_slots += g->server_slots[i]; /* 0 in other domains */
    }
    if (g->self_domain != CP_NO_INDEX) {
        n->domain_shift_cap_milli =
            c->domains[g->self_domain].shift_cap_per_s * UINT64_C(1000);
    }
    pthread_mutex_unlock(&n->shift_lock);
}

static void
configure_pool(CpNode *n, CpHostPool *p, const CpGeneration *g,
               uint32_t pool_index)
{
    const CpConfig *c = g->config;
    int64_t work_ns = longest_work_ns(c, pool_index);
    uint32_t floors[CP_RANK_COUNT] = {0};
    for (uint32_t r = 0; r < c->rank_count; r++) {
        floors[r] = c->ranks[r].floor_percent;
    }
    pthread_mutex_lock(&p->lock);
    CpAdmit_SetLimits(p->admit, c->queue_limit, floors);
    p->config_index = pool_index;
    for (uint32_t i = 0; i < p->server_count; i++) {
        p->configured[i] = false;
        p->next_own[i] = 0;
        p->shares[i].own_units = 0;
    }
    for (uint32_t i = 0; i < c->server_count; i++) {
        const CpServer *s = &c->servers[i];
        if (s->domain_index != g->self_domain) {
            continue;
        }
        if (s->pool_index == pool_index) {
            configure_server(n, p, g, i, work_ns);
        }
    }
    CpPool_Refresh(p, CpClock_Now_ns());
    pthread_mutex_unlock(&p->lock);
}

static void
configure_server(CpNode *n, CpHostPool *p, const CpGeneration *g,
                 uint32_t server, int64_t work_ns)
{
    const CpServer *s = &g->config->servers[server];
    uint32_t before = p->server_count;
    uint32_t k = CpPool_FindServer(p, s->name);
    if (k == before) {
        k = add_server(p, s->name);
    }
    CpShare *share = &p->shares[k];
    uint32_t own = CpGeneration_StaticShare(g, server, g->self);
    if (k == before) {
        share->own_usable_from_ns =
            n->started_ns + share_wait_ns(n, g, work_ns);
        share->own_units = own;
    }
    else if (p->current_own[k] < own) {
        /* The share grows once every host has the version. */
        share->own_units = p->current_own[k];
    }
    else {
        share->own_units = own;
    }
    p->current_own[k] = share->own_units;
    p->next_own[k] = own;
    share->max_work_ns = work_ns;
    CpStr_Copy(p->addresses[k], CP_ADDR_BYTES, s->address);
    p->configured[k] = !s->leaving;
}

static int64_t
longest_work_ns(const CpConfig *c, uint32_t pool_index)
{
    uint32_t longest_ms = 0;
    for (uint32_t i = 0; i < c->kind_count; i++) {
        if (c->kinds[i].pool_index == pool_index &&
            c->kinds[i].deadline_ms > longest_ms) {
            longest_ms = c->kinds[i].deadline_ms;
        }
    }
    return (longest_ms + LOAN_WORK_MARGIN_MS) * CP_NS_PER_MS;
}
