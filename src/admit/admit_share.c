/*
 * Static shares and bounded loans. The borrower counts a loan from the time
 * of its request, the lender from the later time of its grant, and after that
 * the lender waits for the longest request that may still run; so the sum of
 * what all hosts use stays within the cap under partitions, pauses and loss.
 */
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"

typedef struct {
    uint64_t weight;
    uint32_t index;
} WeightedHost;

static void expire_lent(CpShare *s, int64_t now_ns);
static uint32_t sum_lent(const CpShare *s);
static CpLoan *find_lent(CpShare *s, const char *peer, uint64_t incarnation);
static int compare_weight(const void *a, const void *b);

uint32_t
CpShare_CountUsable(CpShare *s, int64_t now_ns, int64_t *until_ns)
{
    uint32_t n = 0;
    *until_ns = INT64_MAX;
    expire_lent(s, now_ns);
    if (now_ns >= s->own_usable_from_ns) {
        uint32_t lent = sum_lent(s);
        n = s->own_units > lent ? s->own_units - lent : 0;
    }
    for (uint32_t i = 0; i < s->borrowed_count; i++) {
        const CpLoan *l = &s->borrowed[i];
        if (l->expires_ns > now_ns && l->units > 0) {
            n += l->units;
            if (l->expires_ns < *until_ns) {
                *until_ns = l->expires_ns;
            }
        }
    }
    return n;
}

uint32_t
CpShare_Lend(CpShare *s, const char *peer, uint64_t incarnation,
             uint64_t request_id, uint32_t want, uint32_t in_use,
             int64_t now_ns)
{
    expire_lent(s, now_ns);
    CpLoan *l = find_lent(s, peer, incarnation);
    if (l != NULL && request_id <= l->last_request_id) {
        return 0;
    }
    if (now_ns < s->own_usable_from_ns) {
        return 0;
    }
    if (l == NULL) {
        if (s->lent_count == CP_MAX_LOANS || want == 0) {
            return 0;
        }
        l = &s->lent[s->lent_count++];
        *l = (CpLoan){.incarnation = incarnation};
        CpStr_Copy(l->peer, sizeof(l->peer), peer);
    }
    l->last_request_id = request_id;
    if (want == 0) {
        l->units = 0;
        l->expires_ns = now_ns;
        return 0;
    }
    uint32_t committed = sum_lent(s) + in_use;
    uint32_t available =
        s->own_units > committed ? s->own_units - committed : 0;
    uint32_t additional = want > l->units ? want - l->units : 0;
    l->units += additional < available ? additional : available;
    l->expires_ns = now_ns + CP_LOAN_DURATION_MS * CP_NS_PER_MS;
    return l->units;
}

void
CpShare_RecordGrant(CpShare *s, const char *peer, uint32_t units,
                    int64_t requested_ns)
{
    CpLoan *l = NULL;
    for (uint32_t i = 0; i < s->borrowed_count; i++) {
        if (strcmp(s->borrowed[i].peer, peer) == 0) {
            l = &s->borrowed[i];
        }
    }
    if (l == NULL && s->borrowed_count < CP_MAX_LOANS) {
        l = &s->borrowed[s->borrowed_count++];
        *l = (CpLoan){0};
        CpStr_Copy(l->peer, sizeof(l->peer), peer);
    }
    int64_t until_ns = requested_ns + CP_LOAN_DURATION_MS * CP_NS_PER_MS;
    if (l != NULL && until_ns >= l->expires_ns) {
        l->units = units;
        l->expires_ns = until_ns;
    }
}

void
CpShare_RemoveBorrowed(CpShare *s)
{
    s->borrowed_count = 0;
}

uint32_t
CpShare_CountBorrowed(const CpShare *s, int64_t now_ns)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < s->borrowed_count; i++) {
        n += s->borrowed[i].expires_ns > now_ns ? s->borrowed[i].units : 0;
    }
    return n;
}

uint32_t
CpShare_CountLentTo(const CpShare *s, const char *peer)
{
    for (uint32_t i = s->lent_count; i-- > 0;) {
        if (strcmp(s->lent[i].peer, peer) == 0) {
            return s->lent[i].units;
        }
    }
    return 0;
}

uint32_t
CpShare_StaticUnits(const char *resource, uint32_t units,
                    const char *const *hosts, uint32_t host_count,
                    const char *host)
{
    uint32_t *order = CpMem_Alloc((host_count + 1) * sizeof(*order));
    uint32_t share = 0;
    CpShare_RendezvousOrder(resource, hosts, host_count, order);
    for (uint32_t i = 0; i < host_count; i++) {
        if (strcmp(hosts[order[i]], host) == 0) {
            share = units / host_count + (i < units % host_count);
        }
    }
    free(order);
    return share;
}

void
CpShare_RendezvousOrder(const char *resource, const char *const *hosts,
                        uint32_t host_count, uint32_t *order)
{
    WeightedHost *w = CpMem_Alloc((host_count + 1) * sizeof(*w));
    uint64_t seed = CpHash_Str(resource, 0);
    for (uint32_t i = 0; i < host_count; i++) {
        w[i] = (WeightedHost){CpHash_Str(hosts[i], seed), i};
    }
    qsort(w, host_count, sizeof(*w), compare_weight);
    for (uint32_t i = 0; i < host_count; i++) {
        order[i] = w[i].index;
    }
    free(w);
}

/* Removes the loans whose work must have ended; their units are free again. */
static void
expire_lent(CpShare *s, int64_t now_ns)
{
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < s->lent_count; i++) {
        const CpLoan *l = &s->lent[i];
        bool work_ended = now_ns >= l->expires_ns + s->max_work_ns;
        if (!work_ended) {
            s->lent[remaining++] = *l;
        }
    }
    s->lent_count = remaining;
}

static uint32_t
sum_lent(const CpShare *s)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < s->lent_count; i++) {
        n += s->lent[i].units;
    }
    return n;
}

static CpLoan *
find_lent(CpShare *s, const char *peer, uint64_t incarnation)
{
    for (uint32_t i = 0; i < s->lent_count; i++) {
        if (s->lent[i].incarnation == incarnation &&
            strcmp(s->lent[i].peer, peer) == 0) {
            return &s->lent[i];
        }
    }
    return NULL;
}

static int
compare_weight(const void *a, const void *b)
{
    const WeightedHost *x = a, *y = b;
    if (x->weight != y->weight) {
        return x->weight < y->weight ? 1 : -1;
    }
    return x->index < y->index ? -1 : 1;
}
