/*
 * Bandwidth of links to other regions, in KB/s: each host of a region has a
 * static share of a link's cap and may borrow what other hosts do not use.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

#define LINK_PREFIX "link:"
#define BYTES_PER_KB 1000
#define KBIT_PER_KB 8
#define RESERVE_PERCENT 25 /* that a lender keeps on top of its use */
/* Longest time that a burst sent on a loan goes on after the loan's end. */
#define BURST_DRAIN_NS (50 * CP_NS_PER_MS)

static uint32_t region_of(const CpGeneration *g, uint32_t host);
static uint32_t region_of_row(const CpGeneration *g, const CpLoanRow *row);
static uint32_t own_region(const CpGeneration *g);
static void set_rate(CpHostLink *l, int64_t now_ns);
static bool end_period(CpHostLink *l, int64_t now_ns);

void
CpLink_Configure(CpNode *n, const CpGeneration *g)
{
    const CpConfig *c = g->config;
    uint32_t own = own_region(g), host_count = 0, position = 0;
    for (uint32_t i = 0; i < c->host_count; i++) {
        if (region_of(g, i) == own) {
            position = i == g->self ? host_count : position;
            host_count++;
        }
    }
    pthread_mutex_lock(&n->link_lock);
    for (uint32_t r = 0; r < c->region_count && r < CP_MAX_REGIONS; r++) {
        const CpLink *link = CpConfig_FindLink(c, own, r);
        CpHostLink *l = &n->links[r];
        uint32_t cap_kb_s = link != NULL ? link->cap_kbit_s / KBIT_PER_KB : 0;
        l->capped = cap_kb_s > 0 && host_count > 0;
        if (l->capped) {
            l->share.own_units =
                cap_kb_s / host_count + (position < cap_kb_s % host_count);
            l->share.max_work_ns = BURST_DRAIN_NS;
            set_rate(l, CpClock_Now_ns());
        }
    }
    pthread_mutex_unlock(&n->link_lock);
}

bool
CpLink_ReserveBandwidth(void *ctx, const char *peer, uint32_t class_index,
                        uint32_t size_bytes)
{
    CpNode *n = ctx;
    uint32_t region = CP_NO_INDEX, own = CP_NO_INDEX;
    int64_t now_ns = CpClock_Now_ns();
    CpView *v = CpView_Retain(n);
    if (v != NULL) {
        const CpGeneration *g = v->generation;
        uint32_t h = CpConfig_FindHost(g->config, peer);
        own = own_region(g);
        region = h != CP_NO_INDEX ? region_of(g, h) : own;
    }
    CpView_Release(v);
    if (region == own || region >= CP_MAX_REGIONS) {
        return true;
    }
    pthread_mutex_lock(&n->link_lock);
    CpHostLink *l = &n->links[region];
    bool ok = true;
    if (l->capped) {
        set_rate(l, now_ns);
        ok = CpPacer_TryConsume(&l->pacer, class_index, size_bytes, now_ns);
        l->sent_bytes += ok ? size_bytes : 0;
        l->delayed = l->delayed || !ok;
    }
    pthread_mutex_unlock(&n->link_lock);
    CpCounter_Add(ok ? CP_COUNT_LINK_BYTES : CP_COUNT_LINK_WAITS,
                  ok ? size_bytes : 1);
    return ok;
}

/* Requests loans from the other hosts of the region, for each link on which
 * frames were delayed or a loan is in use. */
void
CpLink_Tick(void *ctx, int64_t now_ns)
{
    CpNode *n = ctx;
    CpLoanRow rows[CP_MAX_REGIONS] = {{{0}, 0}};
    uint32_t count = 0;
    CpView *v = CpView_Retain(n);
    if (v == NULL) {
        return;
    }
    const CpGeneration *g = v->generation;
    const CpConfig *c = g->config;
    pthread_mutex_lock(&n->link_lock);
    for (uint32_t r = 0; r < c->region_count && r < CP_MAX_REGIONS; r++) {
        if (end_period(&n->links[r], now_ns)) {
            snprintf(rows[count].resource, CP_NAME_BYTES, LINK_PREFIX "%.40s",
                     c->regions[r].name);
            rows[count++].units = UINT32_MAX;
        }
    }
    pthread_mutex_unlock(&n->link_lock);
    for (uint32_t i = 0; count > 0 && i < c->host_count; i++) {
        if (i != g->self && region_of(g, i) == own_region(g) &&
            v->hosts[i].state == CP_MEMBER_LIVE) {
            CpLoan_SendRequest(n, &c->hosts[i], rows, count, now_ns);
        }
    }
    CpView_Release(v);
}

bool
CpLink_Lend(CpNode *n, const CpGeneration *g, CpSession *s, uint64_t id,
            const CpLoanRow *row, uint32_t *units)
{
    uint32_t r = region_of_row(g, row);
    int64_t now_ns = CpClock_Now_ns(), until_ns;
    if (strncmp(row->resource, LINK_PREFIX, strlen(LINK_PREFIX)) != 0) {
        return false;
    }
    *units = 0;
    if (r >= CP_MAX_REGIONS) {
        return true;
    }
    pthread_mutex_lock(&n->link_lock);
    CpHostLink *l = &n->links[r];
    uint32_t reserved_kb_s =
        l->used_kb_s + l->used_kb_s * RESERVE_PERCENT / 100;
    uint32_t free_kb_s = CpShare_CountUsable(&l->share, now_ns, &until_ns);
    if (l->capped) {
        /* Half of what is spare, so that the next borrower gets some. */
        uint32_t lent_kb_s = CpShare_CountLentTo(&l->share, CpSession_Peer(s));
        uint32_t spare_kb_s =
            free_kb_s > reserved_kb_s ? (free_kb_s - reserved_kb_s) / 2 : 0;
        *units = CpShare_Lend(
            &l->share, CpSession_Peer(s), CpSession_PeerIncarnation(s), id,
            l->delayed ? lent_kb_s : lent_kb_s + spare_kb_s, 0, now_ns);
        set_rate(l, now_ns);
    }
    pthread_mutex_unlock(&n->link_lock);
    return true;
}

bool
CpLink_RecordGrant(CpNode *n, const CpGeneration *g, CpSession *s,
                   const CpLoanRow *row, int64_t requested_ns)
{
    uint32_t r = region_of_row(g, row);
    if (strncmp(row->resource, LINK_PREFIX, strlen(LINK_PREFIX)) != 0) {
        return false;
    }
    pthread_mutex_lock(&n->link_lock);
    if (r < CP_MAX_REGIONS && n->links[r].capped) {
        CpShare_RecordGrant(&n->links[r].share, CpSession_Peer(s), row->units,
                            requested_ns);
        set_rate(&n->links[r], CpClock_Now_ns());
    }
    pthread_mutex_unlock(&n->link_lock);
    return true;
}

static uint32_t
region_of(const CpGeneration *g, uint32_t host)
{
    uint32_t d = g->config->hosts[host].domain_index;
    return g->config->domains[d].region_index;
}

static uint32_t
region_of_row(const CpGeneration *g, const CpLoanRow *row)
{
    size_t skip = strlen(LINK_PREFIX);
    return strlen(row->resource) > skip
               ? CpConfig_FindRegion(g->config, row->resource + skip)
               : CP_NO_INDEX;
}

static uint32_t
own_region(const CpGeneration *g)
{
    return g->self_domain != CP_NO_INDEX
               ? g->config->domains[g->self_domain].region_index
               : CP_NO_INDEX;
}

static void
set_rate(CpHostLink *l, int64_t now_ns)
{
    int64_t until_ns;
    uint64_t kb_s = CpShare_CountUsable(&l->share, now_ns, &until_ns);
    CpPacer_SetRate(&l->pacer, kb_s * BYTES_PER_KB, now_ns);
}

/* Records the use in the period that ends; returns true if a loan is needed.
 */
static bool
end_period(CpHostLink *l, int64_t now_ns)
{
    int64_t until_ns;
    uint32_t kb = (uint32_t)(l->sent_bytes / BYTES_PER_KB);
    bool delayed = l->delayed;
    l->used_kb_s = kb * 1000 / CP_LOAN_REQUEST_INTERVAL_MS;
    l->sent_bytes = 0;
    l->delayed = false;
    /* A loan in use is renewed even if no frame was delayed. */
    uint32_t own = l->share.own_units;
    return l->capped && (delayed || (l->used_kb_s > own / 2 &&
                                     CpShare_CountUsable(&l->share, now_ns,
                                                         &until_ns) > own));
}
