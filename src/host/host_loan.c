/*
 * Loans of slots between the hosts of a domain: which host owns a backend
 * server in this host's view, the loans it requests and the loans it grants.
 */
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

static bool all_hosts_have_version(CpNode *n, const CpGeneration *g);
static uint32_t owner_of(CpNode *n, const CpGeneration *g, const char *server);
static void update_owners(CpNode *n, const CpGeneration *g);
static uint32_t lend(CpNode *n, const CpGeneration *g, CpSession *s,
                     uint64_t id, const CpLoanRow *row);
static void request_from_peer(CpNode *n, const CpGeneration *g, uint32_t peer,
                              int64_t now_ns);
static void add_request_rows(CpHostPool *p, const CpGeneration *g,
                             uint32_t peer, CpLoanRow *rows, uint32_t capacity,
                             uint32_t *count);

void
CpLoan_Tick(void *ctx, int64_t now_ns)
{
    CpNode *n = ctx;
    CpView *v = CpView_Retain(n);
    if (v == NULL) {
        return;
    }
    const CpGeneration *g = v->generation;
    update_owners(n, g);
    for (uint32_t i = 0; i < g->config->host_count; i++) {
        if (i != g->self && v->hosts[i].domain_index == g->self_domain &&
            (v->hosts[i].state == CP_MEMBER_LIVE ||
             v->hosts[i].state == CP_MEMBER_LEAVING)) {
            request_from_peer(n, g, i, now_ns);
        }
    }
    CpView_Release(v);
}

void
CpLoan_SendRequest(CpNode *n, const CpHost *peer, CpLoanRow *rows,
                   uint32_t count, int64_t now_ns)
{
    CpFrame f = {.type = CP_FRAME_LOAN_REQUEST};
    pthread_mutex_lock(&n->loan_lock);
    uint64_t id = ++n->loan_request_id;
    uint32_t slot =
        id % (sizeof(n->loan_requests) / sizeof(n->loan_requests[0]));
    n->loan_requests[slot].id = id;
    n->loan_requests[slot].requested_ns = now_ns;
    pthread_mutex_unlock(&n->loan_lock);
    f.loan = (CpLoanFrame){.id = id, .rows = rows, .row_count = count};
    CpSession *s = CpWire_Dial(n->wire, peer->name, peer->inner);
    CpSession_Send(s, &f, CP_CLASS_CONTROL);
    CpSession_Release(s);
}

void
CpLoan_OnRequest(CpNode *n, CpSession *s, const CpFrame *frame)
{
    const CpLoanFrame *f = &frame->loan;
    CpView *v = CpView_Retain(n);
    CpFrame out = {.type = CP_FRAME_LOAN_GRANT};
    if (v == NULL) {
        return;
    }
    CpLoanRow *rows = CpMem_Alloc((f->row_count + 1) * sizeof(*rows));
    for (uint32_t i = 0; i < f->row_count; i++) {
        rows[i] = f->rows[i];
        rows[i].units = lend(n, v->generation, s, f->id, &f->rows[i]);
    }
    out.loan =
        (CpLoanFrame){.id = f->id, .rows = rows, .row_count = f->row_count};
    CpSession_Send(s, &out, CP_CLASS_CONTROL);
    free(rows);
    CpView_Release(v);
}

void
CpLoan_OnGrant(CpNode *n, CpSession *s, const CpFrame *frame)
{
    const CpLoanFrame *f = &frame->loan;
    int64_t requested_ns = 0;
    pthread_mutex_lock(&n->loan_lock);
    uint32_t slot =
        f->id % (sizeof(n->loan_requests) / sizeof(n->loan_requests[0]));
    if (n->loan_requests[slot].id == f->id) {
        requested_ns = n->loan_requests[slot].requested_ns;
    }
    pthread_mutex_unlock(&n->loan_lock);
    if (requested_ns == 0) {
        CpCounter_Add(CP_COUNT_LATE_FRAMES, 1);
        return;
    }
    CpView *v = CpView_Retain(n);
    for (uint32_t r = 0; v != NULL && r < f->row_count; r++) {
        CpLink_RecordGrant(n, v->generation, s, &f->rows[r], requested_ns);
    }
    CpView_Release(v);
    uint32_t count = CpAtomic_Load(&n->pool_count);
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        pthread_mutex_lock(&p->lock);
        for (uint32_t r = 0; r < f->row_count; r++) {
            uint32_t k = CpPool_FindServer(p, f->rows[r].resource);
            if (k < p->server_count && p->is_owner[k]) {
                CpShare_RecordGrant(&p->shares[k], CpSession_Peer(s),
                                    f->rows[r].units, requested_ns);
                CpCounter_Add(CP_COUNT_LOANS_TAKEN, f->rows[r].units > 0);
            }
        }
        int64_t now_ns = CpClock_Now_ns();
        CpPool_Refresh(p, now_ns);
        CpAdmit_Tick(p->admit, now_ns);
        CpPool_Flush(p);
    }
}

/* Updates which servers this host owns, and its static shares. */
static void
update_owners(CpNode *n, const CpGeneration *g)
{
    bool ready = all_hosts_have_version(n, g);
    uint32_t count = CpAtomic_Load(&n->pool_count);
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        pthread_mutex_lock(&p->lock);
        for (uint32_t k = 0; k < p->server_count; k++) {
            p->is_owner[k] = owner_of(n, g, p->names[k]) == g->self;
            if (!p->is_owner[k]) {
                CpShare_RemoveBorrowed(&p->shares[k]);
            }
            if (ready) {
                p->shares[k].own_units = p->current_own[k] = p->next_own[k];
            }
        }
        pthread_mutex_unlock(&p->lock);
    }
}

/* Returns the units granted for one row: 0 unless the borrower is the owner
 * of the server in this host's view, too. */
static uint32_t
lend(CpNode *n, const CpGeneration *g, CpSession *s, uint64_t id,
     const CpLoanRow *row)
{
    uint32_t server_index = CpConfig_FindServer(g->config, row->resource);
    uint32_t borrower = CpConfig_FindHost(g->config, CpSession_Peer(s)),
             units = 0;
    bool is_return = row->units == 0;
    if (CpLink_Lend(n, g, s, id, row, &units)) {
        return units;
    }
    if (server_index == CP_NO_INDEX || borrower == CP_NO_INDEX ||
        (!is_return && owner_of(n, g, row->resource) != borrower)) {
        return 0;
    }
    CpHostPool *p = CpPool_Find(n, g->config->servers[server_index].pool);
    if (p == NULL) {
        return 0;
    }
    int64_t now_ns = CpClock_Now_ns();
    pthread_mutex_lock(&p->lock);
    uint32_t k = CpPool_FindServer(p, row->resource);
    if (k < p->server_count) {
        units = CpShare_Lend(&p->shares[k], CpSession_Peer(s),
                             CpSession_PeerIncarnation(s), id, row->units,
                             CpAdmit_Inflight(p->admit, k), now_ns);
        CpPool_Refresh(p, now_ns);
    }
    pthread_mutex_unlock(&p->lock);
    return units;
}

/* Returns true if every other host of the domain has reported this version or
 * a later one. */
static bool
all_hosts_have_version(CpNode *n, const CpGeneration *g)
{
    bool all = true;
    pthread_mutex_lock(&n->member_lock);
    for (uint32_t i = 0; i < g->config->host_count; i++) {
        const CpHost *h = &g->config->hosts[i];
        if (h->domain_index != g->self_domain || i == g->self) {
            continue;
        }
        const CpMemberEntry *e = CpMember_Find(n->members, h->name);
        all = all && e != NULL && e->config_version >= g->version;
    }
    pthread_mutex_unlock(&n->member_lock);
    return all;
}

/* Returns the owner of a server: the first host in its order that is live or
 * suspect. The owner borrows the other hosts' slots. */
static uint32_t
owner_of(CpNode *n, const CpGeneration *g, const char *server)
{
    uint32_t server_index = CpConfig_FindServer(g->config, server),
             owner = CP_NO_INDEX;
    const uint32_t *order =
        server_index != CP_NO_INDEX ? g->host_orders[server_index] : NULL;
    pthread_mutex_lock(&n->member_lock);
    for (uint32_t i = 0; order != NULL && i < g->domain_host_count; i++) {
        const CpMemberEntry *e = order[i] < CpMember_Count(n->members)
                                     ? CpMember_At(n->members, order[i])
                                     : NULL;
        bool live = e != NULL && (e->state == CP_MEMBER_LIVE ||
                                  e->state == CP_MEMBER_SUSPECT);
        if (order[i] == g->self ? !CpAtomic_Load(&n->leaving) : live) {
            owner = order[i];
            break;
        }
    }
    pthread_mutex_unlock(&n->member_lock);
    return owner;
}

static void
request_from_peer(CpNode *n, const CpGeneration *g, uint32_t peer,
                  int64_t now_ns)
{
    const CpHost *h = &g->config->hosts[peer];
    CpLoanRow *rows =
        CpMem_Alloc((g->config->server_count + 1) * sizeof(*rows));
    uint32_t count = 0, pools = CpAtomic_Load(&n->pool_count);
    for (uint32_t i = 0; i < pools; i++) {
        add_request_rows(n->pools[i], g, peer, rows, g->config->server_count,
                         &count);
    }
    if (count > 0) {
        CpLoan_SendRequest(n, h, rows, count, now_ns);
    }
    free(rows);
}

/* Adds the rows to request from a peer: its share of each server that this
 * host owns; 0 units, to return the loan, of a server that it owned before and
 * where it has no request in flight. */
static void
add_request_rows(CpHostPool *p, const CpGeneration *g, uint32_t peer,
                 CpLoanRow *rows, uint32_t capacity, uint32_t *count)
{
    pthread_mutex_lock(&p->lock);
    for (uint32_t k = 0; k < p->server_count && *count < capacity; k++) {
        uint32_t server_index = CpConfig_FindServer(g->config, p->names[k]);
        uint32_t units = server_index != CP_NO_INDEX
                             ? CpGeneration_StaticShare(g, server_index, peer)
                             : 0;
        if (units == 0) {
            continue;
        }
        bool returns_loan = !p->is_owner[k] && p->was_owner[k] &&
                            CpAdmit_Inflight(p->admit, k) == 0;
        if (p->is_owner[k] || returns_loan) {
            CpLoanRow *row = &rows[(*count)++];
            CpStr_Copy(row->resource, CP_NAME_BYTES, p->names[k]);
            row->units = p->is_owner[k] ? units : 0;
            p->was_owner[k] = true;
        }
    }
    pthread_mutex_unlock(&p->lock);
}
