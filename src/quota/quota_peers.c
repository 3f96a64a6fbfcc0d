/*
 * The other hosts: who is first in an organisation's order, who responds, what
 * their clocks show, and which of their messages were received.
 */
#include <stdlib.h>
#include <string.h>

#include "quota/quota_int.h"

/* A host that has not responded for this long is passed over. Several messages
 * are sent in that time, so that a few lost datagrams do not suffice. */
#define UNANSWERED_NS (700 * CP_NS_PER_MS)
#define CONTACT_INTERVAL_NS CP_NS_PER_S      /* a response is asked for */
#define CONTACT_MAX_AGE_NS (4 * CP_NS_PER_S) /* older: tokens stay here */
/* While a response is missing, tokens stay here: the next pool gets them. */
#define HOLD_NS (250 * CP_NS_PER_MS)
#define PROBE_INTERVAL_NS (250 * CP_NS_PER_MS)
#define UNUSABLE_PROBE_INTERVAL_NS CP_NS_PER_S
/* Until the others have read a new host's row, they divide the rate by less
 * hosts; rows arrive within about a second. */
#define JOIN_WAIT_NS (2 * CP_NS_PER_S)
/* While further rows appear, many hosts start, and some have not read all of
 * them; a new host waits longer, but not for ever. */
#define MAX_JOIN_WAIT_NS (10 * CP_NS_PER_S)
/* After a power loss, hosts start within about this time of each other. */
#define STARTING_NS (2 * CP_NS_PER_S)
/* In that time, for a host that has never responded: three probes. */
#define STARTING_UNANSWERED_NS (300 * CP_NS_PER_MS)
#define STARTING_PROBE_INTERVAL_NS (100 * CP_NS_PER_MS) /* every tick */
/* A host whose row was removed may not have read that yet. Rows that are
 * missing because the table is still being read appear within this time. */
#define REMOVAL_WAIT_NS (5 * CP_NS_PER_S)
/* Bound of the difference between two machines' clock rates. */
#define MAX_DRIFT_PER_S_NS 200000

static CpQuotaPeer *find_peer(CpQuotaPeers *p, const char *name);
static uint64_t order_score(uint64_t org, uint64_t host);
static bool record_sequence(CpQuotaPeer *h, const CpQuotaMessage *m);
static void record_contact(CpQuotaPeers *p, CpQuotaPeer *h,
                           const CpQuotaMessage *m, int64_t now_ns);
static void set_usable(CpQuotaPeers *p, CpQuotaPeer *h, int64_t now_ns);
static void change_order(CpQuotaPeers *p);
static bool is_starting(const CpQuotaPeers *p, int64_t now_ns);

void
CpQuotaPeers_Init(CpQuotaPeers *p, const char *host, int64_t started_ns)
{
    p->started_ns = started_ns;
    pthread_mutex_init(&p->lock, NULL);
    p->peers = g_ptr_array_new_with_free_func(free);
    p->own_hash = CpHash_Str(host, 0);
    p->epoch = 1;
}

void
CpQuotaPeers_Clear(CpQuotaPeers *p)
{
    g_ptr_array_unref(p->peers);
    pthread_mutex_destroy(&p->lock);
}

void
CpQuotaPeers_Set(CpQuotaPeers *p, const char *host,
                 const CpQuotaHostTable *table, int64_t now_ns)
{
    const CpQuotaHost *hosts = table->hosts;
    uint32_t count = table->count;
    bool self_listed = false;
    pthread_mutex_lock(&p->lock);
    for (guint i = 0; i < p->peers->len; i++) {
        ((CpQuotaPeer *)g_ptr_array_index(p->peers, i))->listed = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(hosts[i].name, host) == 0) {
            self_listed = hosts[i].live && table->complete;
            continue;
        }
        CpQuotaPeer *h = find_peer(p, hosts[i].name);
        if (h == NULL) {
            h = CpMem_Alloc(sizeof(*h));
            CpStr_Copy(h->name, sizeof(h->name), hosts[i].name);
            h->hash = CpHash_Str(h->name, 0);
            g_ptr_array_add(p->peers, h);
        }
        h->listed = true;
        h->live = hosts[i].live;
        set_usable(p, h, now_ns);
    }
    for (guint i = p->peers->len; i-- > 0;) {
        const CpQuotaPeer *h = g_ptr_array_index(p->peers, i);
        if (!h->listed) {
            g_ptr_array_remove_index_fast(p->peers, i);
            change_order(p);
        }
    }
    if (self_listed != p->self_listed) {
        p->self_listed = self_listed;
        p->self_listed_ns = now_ns;
        if (self_listed) {
            p->restarted = table->restarted && !p->self_was_listed;
            p->self_was_listed = true;
        }
        p->generates = self_listed && p->restarted;
        change_order(p);
    }
    p->grown_ns = count > p->count ? now_ns : p->grown_ns;
    p->count = count;
    if (p->count >= p->divisor) {
        p->divisor = p->count;
        p->divisor_ns = now_ns;
    }
    pthread_mutex_unlock(&p->lock);
}

void
CpQuotaPeers_Tick(CpQuotaPeers *p, int64_t now_ns)
{
    pthread_mutex_lock(&p->lock);
    for (guint i = 0; i < p->peers->len; i++) {
        set_usable(p, g_ptr_array_index(p->peers, i), now_ns);
    }
    if (p->count >= p->divisor) {
        p->divisor_ns = now_ns;
    }
    else if (now_ns - p->divisor_ns > REMOVAL_WAIT_NS) {
        p->divisor = p->count;
        p->divisor_ns = now_ns;
    }
    pthread_mutex_unlock(&p->lock);
}

void
CpQuotaPeers_OnPause(CpQuotaPeers *p, int64_t now_ns)
{
    pthread_mutex_lock(&p->lock);
    for (guint i = 0; i < p->peers->len; i++) {
        CpQuotaPeer *h = g_ptr_array_index(p->peers, i);
        if (h->unanswered_ns > 0 && h->usable) {
            h->unanswered_ns = now_ns;
        }
    }
    pthread_mutex_unlock(&p->lock);
}

uint32_t
CpQuotaPeers_Divisor(CpQuotaPeers *p, int64_t now_ns)
{
    pthread_mutex_lock(&p->lock);
    int64_t listed_ns = now_ns - p->self_listed_ns;
    if (p->self_listed && listed_ns >= JOIN_WAIT_NS &&
        (now_ns - p->grown_ns >= JOIN_WAIT_NS ||
         listed_ns >= MAX_JOIN_WAIT_NS)) {
        p->generates = true;
    }
    uint32_t n = p->self_listed && p->generates ? p->divisor : 0;
    pthread_mutex_unlock(&p->lock);
    return n;
}

bool
CpQuotaPeers_IsRestarted(CpQuotaPeers *p)
{
    pthread_mutex_lock(&p->lock);
    bool restarted = p->restarted;
    pthread_mutex_unlock(&p->lock);
    return restarted;
}

bool
CpQuotaPeers_IsStarting(CpQuotaPeers *p, int64_t now_ns)
{
    pthread_mutex_lock(&p->lock);
    bool starting = is_starting(p, now_ns);
    pthread_mutex_unlock(&p->lock);
    return starting;
}

uint32_t
CpQuotaPeers_Epoch(CpQuotaPeers *p)
{
    pthread_mutex_lock(&p->lock);
    uint32_t epoch = p->epoch;
    pthread_mutex_unlock(&p->lock);
    return epoch;
}

void
CpQuotaPeers_Order(CpQuotaPeers *p, uint64_t org, char first[CP_NAME_BYTES],
                   char next[CP_NAME_BYTES], bool *is_self)
{
    CpQuotaPeer *best = NULL, *second = NULL;
    uint64_t best_score = UINT64_MAX, second_score = UINT64_MAX;
    pthread_mutex_lock(&p->lock);
    uint64_t own = order_score(org, p->own_hash);
    for (guint i = 0; i < p->peers->len; i++) {
        CpQuotaPeer *h = g_ptr_array_index(p->peers, i);
        uint64_t score = order_score(org, h->hash);
        if (!h->usable) {
            continue;
        }
        if (score < best_score) {
            second = best;
            second_score = best_score;
            best = h;
            best_score = score;
        }
        else if (score < second_score) {
            second = h;
            second_score = score;
        }
    }
    *is_self = p->self_listed && own <= best_score;
    if (p->self_listed && own <= second_score) {
        second = NULL; /* the next in the order is this host */
    }
    for (guint i = 0; i < p->peers->len; i++) { /* to be asked for responses */
        CpQuotaPeer *h = g_ptr_array_index(p->peers, i);
        uint64_t score = order_score(org, h->hash);
        h->needed = h->needed || (h->live && score <= best_score &&
                                  (!p->self_listed || score < own));
    }
    CpStr_Copy(first, CP_NAME_BYTES, best != NULL ? best->name : "");
    CpStr_Copy(next, CP_NAME_BYTES, second != NULL ? second->name : "");
    pthread_mutex_unlock(&p->lock);
}

bool
CpQuotaPeers_IsReachable(CpQuotaPeers *p, const char *name, int64_t now_ns)
{
    pthread_mutex_lock(&p->lock);
    const CpQuotaPeer *h = find_peer(p, name);
    bool reachable =
        h != NULL && h->usable && h->contact_ns > 0 &&
        now_ns - h->contact_ns < CONTACT_MAX_AGE_NS &&
        (h->unanswered_ns == 0 || now_ns - h->unanswered_ns < HOLD_NS);
    pthread_mutex_unlock(&p->lock);
    return reachable;
}

bool
CpQuotaPeers_Address(CpQuotaPeers *p, CpQuotaMessage *m, int64_t now_ns)
{
    pthread_mutex_lock(&p->lock);
    CpQuotaPeer *h = find_peer(p, m->to);
    if (h != NULL) {
        m->sequence = ++p->sequence;
        m->sent_ns = (uint64_t)now_ns;
        if (h->contact_ns > 0) {
            int64_t set_s = (now_ns - h->offset_set_ns) / CP_NS_PER_S + 1;
            m->receiver_ns = (uint64_t)(now_ns + h->clock_offset_ns -
                                        set_s * MAX_DRIFT_PER_S_NS);
        }
        if (m->type != CP_QUOTA_GRANT) {
            m->to_incarnation = h->incarnation;
            m->wants_reply = m->type == CP_QUOTA_ASK || h->contact_ns == 0 ||
                             h->unanswered_ns > 0 ||
                             now_ns - h->contact_ns > CONTACT_INTERVAL_NS;
        }
        if (m->wants_reply) {
            h->probed_ns = now_ns;
            h->unanswered_ns =
                h->unanswered_ns > 0 ? h->unanswered_ns : now_ns;
        }
    }
    pthread_mutex_unlock(&p->lock);
    return h != NULL;
}

uint32_t
CpQuotaPeers_ListProbes(CpQuotaPeers *p, int64_t now_ns,
                        char (*out)[CP_NAME_BYTES], uint32_t capacity)
{
    uint32_t n = 0;
    pthread_mutex_lock(&p->lock);
    for (guint i = 0; i < p->peers->len && n < capacity; i++) {
        const CpQuotaPeer *h = g_ptr_array_index(p->peers, i);
        bool due = h->contact_ns == 0 || h->unanswered_ns > 0 ||
                   now_ns - h->contact_ns > CONTACT_INTERVAL_NS;
        int64_t interval_ns = h->contact_ns == 0 && is_starting(p, now_ns)
                                  ? STARTING_PROBE_INTERVAL_NS
                              : h->usable ? PROBE_INTERVAL_NS
                                          : UNUSABLE_PROBE_INTERVAL_NS;
        if (h->needed && h->live && due &&
            now_ns - h->probed_ns >= interval_ns) {
            CpStr_Copy(out[n++], CP_NAME_BYTES, h->name);
        }
    }
    pthread_mutex_unlock(&p->lock);
    return n;
}

bool
CpQuotaPeers_Accept(CpQuotaPeers *p, const CpQuotaMessage *m,
                    uint64_t incarnation, int64_t now_ns, int64_t *delay_ns)
{
    pthread_mutex_lock(&p->lock);
    CpQuotaPeer *h = find_peer(p, m->from);
    bool is_new = h != NULL && record_sequence(h, m);
    *delay_ns = -1;
    if (is_new && m->to_incarnation == incarnation) {
        if (m->type == CP_QUOTA_GRANT) {
            record_contact(p, h, m, now_ns);
        }
        if (m->receiver_ns > 0 && (int64_t)m->receiver_ns <= now_ns) {
            *delay_ns = now_ns - (int64_t)m->receiver_ns;
        }
    }
    pthread_mutex_unlock(&p->lock);
    return is_new;
}

static CpQuotaPeer *
find_peer(CpQuotaPeers *p, const char *name)
{
    uint64_t hash = CpHash_Str(name, 0);
    for (guint i = 0; i < p->peers->len; i++) {
        CpQuotaPeer *h = g_ptr_array_index(p->peers, i);
        if (h->hash == hash && strcmp(h->name, name) == 0) {
            return h;
        }
    }
    return NULL;
}

/* Rendezvous order: the host with the lowest score is first. The finalizer is
 * that of SplitMix64. */
static uint64_t
order_score(uint64_t org, uint64_t host)
{
    uint64_t z = org ^ host;
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

/* Returns true once for each message. Messages may overtake each other. */
static bool
record_sequence(CpQuotaPeer *h, const CpQuotaMessage *m)
{
    if (m->from_incarnation != h->rx_incarnation) {
        if (m->from_incarnation == 0 ||
            m->from_incarnation == h->rx_previous) {
            return false;
        }
        h->rx_previous = h->rx_incarnation;
        h->rx_incarnation = m->from_incarnation;
        h->rx_sequence = m->sequence;
        h->rx_mask = 1;
        return true;
    }
    if (m->sequence > h->rx_sequence) {
        uint64_t ahead = m->sequence - h->rx_sequence;
        h->rx_mask = ahead < 64 ? h->rx_mask << ahead | 1 : 1;
        h->rx_sequence = m->sequence;
        return true;
    }
    uint64_t behind = h->rx_sequence - m->sequence;
    if (behind >= 64 || (h->rx_mask >> behind & 1) != 0) {
        return false;
    }
    h->rx_mask |= UINT64_C(1) << behind;
    return true;
}

/* The offset is what the clock showed when the response was sent, minus this
 * host's clock now: at most the true offset, so that delays are never
 * underestimated. The highest of several is the most accurate. */
static void
record_contact(CpQuotaPeers *p, CpQuotaPeer *h, const CpQuotaMessage *m,
               int64_t now_ns)
{
    int64_t offset_ns = (int64_t)m->sent_ns - now_ns;
    int64_t held_ns = h->clock_offset_ns - (now_ns - h->offset_set_ns) /
                                               CP_NS_PER_S *
                                               MAX_DRIFT_PER_S_NS;
    if (h->contact_ns == 0 || m->from_incarnation != h->incarnation ||
        offset_ns >= held_ns) {
        h->clock_offset_ns = offset_ns;
        h->offset_set_ns = now_ns;
    }
    h->incarnation = m->from_incarnation;
    h->contact_ns = now_ns;
    h->unanswered_ns = 0;
    set_usable(p, h, now_ns);
}

static void
set_usable(CpQuotaPeers *p, CpQuotaPeer *h, int64_t now_ns)
{
    int64_t limit_ns = h->contact_ns == 0 && is_starting(p, now_ns)
                           ? STARTING_UNANSWERED_NS
                           : UNANSWERED_NS;
    bool usable = h->live && (h->unanswered_ns == 0 ||
                              now_ns - h->unanswered_ns < limit_ns);
    if (usable != h->usable) {
        h->usable = usable;
        change_order(p);
    }
}

/* All orders are determined anew, and with them which hosts are needed. */
static void
change_order(CpQuotaPeers *p)
{
    for (guint i = 0; i < p->peers->len; i++) {
        ((CpQuotaPeer *)g_ptr_array_index(p->peers, i))->needed = false;
    }
    p->epoch++;
}

static bool
is_starting(const CpQuotaPeers *p, int64_t now_ns)
{
    return p->restarted && now_ns - p->started_ns < STARTING_NS;
}
