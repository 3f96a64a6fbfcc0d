/* Connects the membership protocol to the sessions between hosts. */
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

#define OPEN_WAIT_MS 2000 /* at start, for load reports of other hosts */

static void send_probe(void *ctx, const CpMemberEntry *to, bool cross_domain,
                       CpMemberRow *rows, uint32_t row_count);
static void on_state_change(void *ctx, const CpMemberEntry *e,
                            CpMemberState before);
static void on_newer_config(void *ctx, const CpMemberEntry *e);
static uint64_t next_random(void *ctx);
static bool is_ready(CpNode *n, const CpView *v, int64_t now_ns);

void
CpPeers_Init(CpNode *n)
{
    CpMemberOptions o = {.host = n->settings.host,
                         .incarnation = n->incarnation,
                         .send_probe = send_probe,
                         .on_state_change = on_state_change,
                         .on_newer_config = on_newer_config,
                         .random = next_random,
                         .ctx = n};
    n->members = CpMember_New(&o);
}

void
CpPeers_Configure(CpNode *n, const CpGeneration *g)
{
    const CpConfig *c = g->config;
    const char **names = CpMem_Alloc((c->host_count + 1) * sizeof(*names));
    uint32_t *domains = CpMem_Alloc((c->host_count + 1) * sizeof(*domains));
    for (uint32_t i = 0; i < c->host_count; i++) {
        names[i] = c->hosts[i].name;
        domains[i] = c->hosts[i].domain_index;
    }
    pthread_mutex_lock(&n->member_lock);
    CpMember_SetRoster(n->members, names, domains, c->host_count);
    pthread_mutex_unlock(&n->member_lock);
    free(names);
    free(domains);
}

void
CpPeers_Tick(void *ctx, int64_t now_ns)
{
    CpNode *n = ctx;
    CpPoolLoad loads[CP_MAX_POOLS];
    uint32_t count = CpPool_GetLoads(n, loads);
    CpView *v = CpView_Retain(n);
    pthread_mutex_lock(&n->member_lock);
    CpMember_SetSelf(n->members,
                     CpAtomic_Load(&n->leaving) ? CP_MEMBER_LEAVING
                                                : CP_MEMBER_LIVE,
                     v != NULL ? v->generation->version : 0, loads, count);
    bool paused = CpMember_Tick(n->members, now_ns);
    pthread_mutex_unlock(&n->member_lock);
    if (paused) {
        CpCounter_Add(CP_COUNT_PAUSES_SEEN, 1);
        CpLog(CP_LOG_WARNING, "this process was paused");
    }
    if (v != NULL) {
        CpView_Refresh(n);
        if (!CpFront_IsOpen(n->front) && is_ready(n, v, now_ns) &&
            CpFront_Open(n->front) != CP_OK) {
            CpLog(CP_LOG_ERR, "%s", CpError_Message());
        }
    }
    CpView_Release(v);
    CpView_Reclaim(n);
}

void
CpPeers_OnProbe(CpNode *n, CpSession *s, const CpFrame *f)
{
    const CpProbeFrame *p = &f->probe;
    CpFrame ack = {.type = CP_FRAME_PROBE_ACK};
    pthread_mutex_lock(&n->member_lock);
    CpMember_OnRows(n->members, CpSession_Peer(s), p->rows, p->row_count,
                    CpClock_Now_ns());
    if (f->type == CP_FRAME_PROBE) {
        ack.probe.id = p->id;
        ack.probe.cross_domain = p->cross_domain;
        ack.probe.row_count =
            CpMember_FillRows(n->members, CpSession_Peer(s),
                              p->cross_domain != 0, &ack.probe.rows);
        CpSession_Send(s, &ack, CP_CLASS_CONTROL);
    }
    pthread_mutex_unlock(&n->member_lock);
}

void
CpPeers_OnSessionClosed(void *ctx, CpSession *s, bool refused)
{
    CpNode *n = ctx;
    CpStream_OnSessionClosed(n, s);
    if (refused && CpSession_IsOutbound(s)) {
        pthread_mutex_lock(&n->member_lock);
        CpMember_OnConnectionRefused(n->members, CpSession_Peer(s),
                                     CpClock_Now_ns());
        pthread_mutex_unlock(&n->member_lock);
    }
}

static void
send_probe(void *ctx, const CpMemberEntry *to, bool cross_domain,
           CpMemberRow *rows, uint32_t row_count)
{
    CpNode *n = ctx;
    CpView *v = CpView_Retain(n);
    uint32_t h = v != NULL ? CpConfig_FindHost(v->generation->config, to->host)
                           : CP_NO_INDEX;
    if (h != CP_NO_INDEX) {
        CpFrame f = {.type = CP_FRAME_PROBE};
        f.probe = (CpProbeFrame){.id = ++n->probe_id,
                                 .cross_domain = cross_domain,
                                 .rows = rows,
                                 .row_count = row_count};
        CpSession *s = CpWire_Dial(n->wire, to->host,
                                   v->generation->config->hosts[h].inner);
        CpSession_Send(s, &f, CP_CLASS_CONTROL);
        CpSession_Release(s);
    }
    CpView_Release(v);
}

/* Called with the member lock held. */
static void
on_state_change(void *ctx, const CpMemberEntry *e, CpMemberState before)
{
    CpNode *n = ctx;
    __atomic_add_fetch(&n->member_changes, 1, __ATOMIC_RELEASE);
    CpLog(CP_LOG_NOTICE, "host %s: %s (was %s)", e->host,
          CpMemberState_Name(e->state), CpMemberState_Name(before));
}

static void
on_newer_config(void *ctx, const CpMemberEntry *e)
{
    CpNode *n = ctx;
    if (e->config_version > n->newest_version) {
        n->newest_version = e->config_version;
        CpStr_Copy(n->newest_host, sizeof(n->newest_host), e->host);
        CpFollow_OnVersion(n, e->config_version);
        CpFollow_Wake(n, 0);
    }
}

static uint64_t
next_random(void *ctx)
{
    (void)ctx;
    return CpRandom();
}

/* The front end opens once each pool has slots on a host that reported its
 * load, this one included, or OPEN_WAIT_MS after the first configuration. */
static bool
is_ready(CpNode *n, const CpView *v, int64_t now_ns)
{
    const CpConfig *c = v->generation->config;
    if (n->configured_ns == 0) {
        n->configured_ns = now_ns;
    }
    for (uint32_t p = 0; p < c->pool_count; p++) {
        uint32_t slots = 0;
        for (uint32_t i = 0; i < c->host_count; i++) {
            const CpSteerHost *h = &v->hosts[i];
            slots += p < h->load_count ? h->loads[p].slots : 0;
        }
        if (slots == 0 &&
            now_ns - n->configured_ns < OPEN_WAIT_MS * CP_NS_PER_MS) {
            return false;
        }
    }
    return true;
}
