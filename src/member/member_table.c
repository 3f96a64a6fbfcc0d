/* The membership table: probes, suspicions, refutations, dissemination. */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"

#define MAX_LOCAL_ROWS 8 /* on a probe within the domain */
#define GOSSIP_FACTOR 3  /* a change is sent this many times log2(members) */
#define MAX_REMOTE_ROWS 64
/* Every third remote probe goes to a failed or unknown host. */
#define LOST_PROBE_PERIOD 3

struct CpMemberTable {
    CpMemberOptions options;
    char host[CP_NAME_BYTES];
    CpMemberEntry *entries;
    uint32_t count;
    uint32_t self;         /* index of this host, or count */
    uint32_t *probe_order; /* other hosts of the own domain, shuffled */
    uint32_t domain_peer_count;
    uint32_t next_probe;
    uint32_t remote_probe_count;
    uint32_t ticks;
    uint32_t epoch;
    CpMemberState own_state;
    uint64_t own_version;
    CpPoolLoad own_loads[CP_MAX_POOLS];
    uint32_t own_load_count;
    int64_t last_tick_ns;
    CpMemberRow rows[MAX_REMOTE_ROWS + 2]; /* + this host, receiver */
};

static const char *const state_names[CP_MEMBER_STATE_COUNT] = {
    [CP_MEMBER_UNKNOWN] = "unknown", [CP_MEMBER_LIVE] = "live",
    [CP_MEMBER_LEAVING] = "leaving", [CP_MEMBER_SUSPECT] = "suspect",
    [CP_MEMBER_FAILED] = "failed",
};

static CpMemberEntry *find(const CpMemberTable *m, const char *host);
static void set_state(CpMemberTable *m, CpMemberEntry *e, CpMemberState state);
static void merge_row(CpMemberTable *m, CpMemberEntry *e,
                      const CpMemberRow *row, bool direct, int64_t now_ns);
static void refute_suspicion(CpMemberTable *m, const CpMemberRow *row);
static void probe_local(CpMemberTable *m, int64_t now_ns);
static void probe_remote(CpMemberTable *m, int64_t now_ns);
static void send_probe(CpMemberTable *m, CpMemberEntry *e, bool remote,
                       int64_t now_ns);
static void check_timeouts(CpMemberTable *m, int64_t now_ns);
static void fill_row(CpMemberRow *row, CpMemberEntry *e);
static void fill_self(CpMemberTable *m, CpMemberRow *row);
static uint32_t own_domain(const CpMemberTable *m);
static uint32_t gossip_send_count(const CpMemberTable *m);

CpMemberTable *
CpMember_New(const CpMemberOptions *options)
{
    CpMemberTable *m = CpMem_Alloc(sizeof(*m));
    m->options = *options;
    CpStr_Copy(m->host, sizeof(m->host), options->host);
    m->own_state = CP_MEMBER_LIVE;
    return m;
}

void
CpMember_Free(CpMemberTable *m)
{
    free(m->entries);
    free(m->probe_order);
    free(m);
}

void
CpMember_SetRoster(CpMemberTable *m, const char *const *hosts,
                   const uint32_t *domain_index, uint32_t count)
{
    CpMemberEntry *next = CpMem_Alloc((count + 1) * sizeof(*next));
    uint32_t self = count;
    for (uint32_t i = 0; i < count; i++) {
        const CpMemberEntry *old = find(m, hosts[i]);
        if (old != NULL) {
            next[i] = *old;
        }
        CpStr_Copy(next[i].host, sizeof(next[i].host), hosts[i]);
        next[i].domain_index = domain_index[i];
        if (strcmp(hosts[i], m->host) == 0) {
            self = i;
            next[i].state = m->own_state;
            next[i].incarnation = m->options.incarnation;
        }
    }
    free(m->entries);
    free(m->probe_order);
    m->entries = next;
    m->count = count;
    m->self = self;
    m->probe_order = CpMem_Alloc((count + 1) * sizeof(*m->probe_order));
    m->domain_peer_count = 0;
    for (uint32_t i = 0; i < count && self < count; i++) {
        if (i != self && next[i].domain_index == next[self].domain_index) {
            m->probe_order[m->domain_peer_count++] = i;
        }
    }
    m->next_probe = 0;
}

bool
CpMember_Tick(CpMemberTable *m, int64_t now_ns)
{
    bool paused =
        m->last_tick_ns != 0 &&
        now_ns - m->last_tick_ns > CP_PAUSE_THRESHOLD_MS * CP_NS_PER_MS;
    if (paused) {
        for (uint32_t i = 0; i < m->count; i++) {
            m->entries[i].unacked_probe_ns = 0;
            m->entries[i].suspected_ns = now_ns;
        }
    }
    m->last_tick_ns = now_ns;
    m->ticks++;
    check_timeouts(m, now_ns);
    probe_local(m, now_ns);
    uint32_t remote_interval_ticks = m->domain_peer_count >= 16 ? 5 : 2;
    if (m->ticks % remote_interval_ticks == 0) {
        probe_remote(m, now_ns);
    }
    return paused;
}

void
CpMember_OnRows(CpMemberTable *m, const char *from, const CpMemberRow *rows,
                uint32_t row_count, int64_t now_ns)
{
    for (uint32_t i = 0; i < row_count; i++) {
        if (strcmp(rows[i].host, m->host) == 0) {
            refute_suspicion(m, &rows[i]);
            continue;
        }
        CpMemberEntry *e = find(m, rows[i].host);
        if (e != NULL && rows[i].state < CP_MEMBER_STATE_COUNT) {
            merge_row(m, e, &rows[i], strcmp(rows[i].host, from) == 0, now_ns);
        }
    }
    CpMember_OnMessage(m, from, now_ns);
}

uint32_t
CpMember_FillRows(CpMemberTable *m, const char *to, bool remote,
                  CpMemberRow **rows)
{
    uint32_t n = 0, domain = own_domain(m);
    uint32_t max_rows = remote ? MAX_REMOTE_ROWS : MAX_LOCAL_ROWS;
    CpMemberEntry *receiver = find(m, to);
    fill_self(m, &m->rows[n++]);
    if (receiver != NULL && receiver->state >= CP_MEMBER_SUSPECT) {
        fill_row(&m->rows[n++], receiver);
    }
    for (uint32_t i = 0; i < m->count && n < max_rows; i++) {
        CpMemberEntry *e = &m->entries[i];
        if (i == m->self || e->state == CP_MEMBER_UNKNOWN) {
            continue;
        }
        if (remote ? e->domain_index == domain : e->gossip_sends_left > 0) {
            fill_row(&m->rows[n++], e);
            e->gossip_sends_left -= !remote;
        }
    }
    *rows = m->rows;
    return n;
}

void
CpMember_OnMessage(CpMemberTable *m, const char *from, int64_t now_ns)
{
    CpMemberEntry *e = find(m, from);
    if (e == NULL) {
        return;
    }
    e->last_message_ns = now_ns;
    e->unacked_probe_ns = 0;
    if (e->state == CP_MEMBER_SUSPECT) {
        set_state(m, e, CP_MEMBER_LIVE);
    }
}

void
CpMember_OnConnectionRefused(CpMemberTable *m, const char *host,
                             int64_t now_ns)
{
    CpMemberEntry *e = find(m, host);
    (void)now_ns;
    if (e != NULL && e->state != CP_MEMBER_FAILED &&
        e->state != CP_MEMBER_UNKNOWN) {
        set_state(m, e, CP_MEMBER_FAILED);
    }
}

void
CpMember_SetSelf(CpMemberTable *m, CpMemberState state,
                 uint64_t config_version, const CpPoolLoad *loads,
                 uint32_t load_count)
{
    m->own_state = state;
    m->own_version = config_version;
    m->own_load_count = load_count < CP_MAX_POOLS ? load_count : CP_MAX_POOLS;
    memcpy(m->own_loads, loads, m->own_load_count * sizeof(*loads));
    if (m->self < m->count) {
        CpMemberEntry *e = &m->entries[m->self];
        e->state = state;
        e->config_version = config_version;
        e->incarnation = m->options.incarnation;
        e->load_count = m->own_load_count;
        memcpy(e->loads, m->own_loads, sizeof(e->loads));
    }
}

uint32_t
CpMember_Count(const CpMemberTable *m)
{
    return m->count;
}

const CpMemberEntry *
CpMember_At(const CpMemberTable *m, uint32_t i)
{
    return &m->entries[i];
}

const CpMemberEntry *
CpMember_Find(const CpMemberTable *m, const char *host)
{
    return find(m, host);
}

const char *
CpMemberState_Name(CpMemberState state)
{
    return state_names[state];
}

static CpMemberEntry *
find(const CpMemberTable *m, const char *host)
{
    for (uint32_t i = 0; i < m->count; i++) {
        if (strcmp(m->entries[i].host, host) == 0) {
            return &m->entries[i];
        }
    }
    return NULL;
}

static void
set_state(CpMemberTable *m, CpMemberEntry *e, CpMemberState state)
{
    CpMemberState before = e->state;
    if (before == state) {
        return;
    }
    e->state = state;
    e->gossip_sends_left = gossip_send_count(m);
    CpCounter_Add(CP_COUNT_MEMBER_CHANGES, 1);
    m->options.on_state_change(m->options.ctx, e, before);
}

/* A row changes the state if its host sent it, if its epoch is newer, or if it
 * has a worse state for the same epoch. A row of another incarnation counts
 * only if its host sent it or the entry has no incarnation yet. */
static void
merge_row(CpMemberTable *m, CpMemberEntry *e, const CpMemberRow *row,
          bool direct, int64_t now_ns)
{
    bool same_incarnation = row->incarnation == e->incarnation;
    bool newer = same_incarnation ? row->epoch > e->epoch
                                  : e->incarnation == 0 || direct;
    bool worse =
        same_incarnation && row->epoch == e->epoch && row->state > e->state;
    if (!same_incarnation && !newer) {
        return;
    }
    if (row->config_version > e->config_version) {
        e->config_version = row->config_version;
        m->options.on_newer_config(m->options.ctx, e);
    }
    if (direct || now_ns - e->last_message_ns > CP_NS_PER_S) {
        e->load_count =
            row->load_count < CP_MAX_POOLS ? row->load_count : CP_MAX_POOLS;
        if (e->load_count > 0) {
            memcpy(e->loads, row->loads, e->load_count * sizeof(*e->loads));
        }
    }
    if (newer) {
        e->incarnation = row->incarnation;
        e->epoch = row->epoch;
    }
    if (newer || worse || direct) {
        if (row->state == CP_MEMBER_SUSPECT && e->state != CP_MEMBER_SUSPECT) {
            e->suspected_ns = now_ns;
        }
        set_state(m, e, (CpMemberState)row->state);
    }
}

/* Raises the own epoch if another host suspects this one, which refutes it. */
static void
refute_suspicion(CpMemberTable *m, const CpMemberRow *row)
{
    if (row->incarnation == m->options.incarnation &&
        row->state >= CP_MEMBER_SUSPECT && row->epoch >= m->epoch) {
        m->epoch = row->epoch + 1;
    }
}

/* Probes the next host of the own domain. The order is shuffled once a round,
 * so that each member is probed in bounded time and hosts do not probe in the
 * same order. */
static void
probe_local(CpMemberTable *m, int64_t now_ns)
{
    if (m->domain_peer_count == 0) {
        return;
    }
    if (m->next_probe == m->domain_peer_count) {
        m->next_probe = 0;
        for (uint32_t i = m->domain_peer_count - 1; i > 0; i--) {
            uint32_t j =
                (uint32_t)(m->options.random(m->options.ctx) % (i + 1));
            uint32_t swap = m->probe_order[i];
            m->probe_order[i] = m->probe_order[j];
            m->probe_order[j] = swap;
        }
    }
    send_probe(m, &m->entries[m->probe_order[m->next_probe++]], false, now_ns);
}

/* Probes a random host of another domain: every LOST_PROBE_PERIOD-th time a
 * failed or unknown one, else one that is neither, so that partitioned domains
 * rejoin soon. */
static void
probe_remote(CpMemberTable *m, int64_t now_ns)
{
    uint32_t domain = own_domain(m);
    bool want_lost = m->remote_probe_count++ % LOST_PROBE_PERIOD == 0;
    if (m->count == 0) {
        return;
    }
    uint32_t start = (uint32_t)(m->options.random(m->options.ctx) % m->count);
    CpMemberEntry *fallback = NULL;
    for (uint32_t i = 0; i < m->count; i++) {
        CpMemberEntry *e = &m->entries[(start + i) % m->count];
        bool lost =
            e->state == CP_MEMBER_FAILED || e->state == CP_MEMBER_UNKNOWN;
        if (e->domain_index == domain) {
            continue;
        }
        if (lost == want_lost) {
            send_probe(m, e, true, now_ns);
            return;
        }
        fallback = e;
    }
    if (fallback != NULL) {
        send_probe(m, fallback, true, now_ns);
    }
}

static void
send_probe(CpMemberTable *m, CpMemberEntry *e, bool remote, int64_t now_ns)
{
    CpMemberRow *rows;
    uint32_t n = CpMember_FillRows(m, e->host, remote, &rows);
    if (e->unacked_probe_ns == 0) {
        e->unacked_probe_ns = now_ns;
    }
    CpCounter_Add(CP_COUNT_MEMBER_PROBES, 1);
    m->options.send_probe(m->options.ctx, e, remote, rows, n);
}

static void
check_timeouts(CpMemberTable *m, int64_t now_ns)
{
    for (uint32_t i = 0; i < m->count; i++) {
        CpMemberEntry *e = &m->entries[i];
        if (i == m->self) {
            continue;
        }
        bool alive =
            e->state == CP_MEMBER_LIVE || e->state == CP_MEMBER_LEAVING;
        if (alive && e->unacked_probe_ns != 0 &&
            now_ns - e->unacked_probe_ns >
                CP_PROBE_TIMEOUT_MS * CP_NS_PER_MS) {
            e->suspected_ns = now_ns;
            set_state(m, e, CP_MEMBER_SUSPECT);
        }
        if (e->state == CP_MEMBER_SUSPECT &&
            now_ns - e->suspected_ns >
                CP_SUSPICION_TIMEOUT_MS * CP_NS_PER_MS) {
            set_state(m, e, CP_MEMBER_FAILED);
        }
    }
}

static void
fill_row(CpMemberRow *row, CpMemberEntry *e)
{
    CpStr_Copy(row->host, sizeof(row->host), e->host);
    row->incarnation = e->incarnation;
    row->epoch = e->epoch;
    row->state = e->state;
    row->config_version = e->config_version;
    row->loads = e->loads;
    row->load_count = e->load_count;
}

static void
fill_self(CpMemberTable *m, CpMemberRow *row)
{
    CpStr_Copy(row->host, sizeof(row->host), m->host);
    row->incarnation = m->options.incarnation;
    row->epoch = m->epoch;
    row->state = m->own_state;
    row->config_version = m->own_version;
    row->loads = m->own_loads;
    row->load_count = m->own_load_count;
}

static uint32_t
own_domain(const CpMemberTable *m)
{
    return m->self < m->count ? m->entries[m->self].domain_index : UINT32_MAX;
}

static uint32_t
gossip_send_count(const CpMemberTable *m)
{
    uint32_t n = GOSSIP_FACTOR;
    for (uint32_t left = m->domain_peer_count + 1; left > 1; left /= 2) {
        n += GOSSIP_FACTOR;
    }
    return n;
}
