/*
 * Quotas of organisations: connects the decisions of src/quota to the
 * configuration, the table of hosts, the datagrams between hosts, and the
 * requests that wait for a token.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/entry_int.h"
#include "quota/quota.h"
#include "wire/wire.h"

#define HOSTS_INTERVAL_TICKS 4 /* between updates of the table of hosts */

/* Without a response of the store, what was copied from a neighbour is used
 * after this time; this host then counts as a new one. */
#define READ_WAIT_NS (2 * CP_NS_PER_S)

static void tick(void *ctx, int64_t now_ns);
static void send_message(void *ctx, const CpQuotaMessage *m);
static void wake_requests(void *ctx, uint64_t org);
static CpEntryQuotaShard *shard_of(CpEntry *e, uint64_t org);
static void list_waiting(CpEntry *e, CpEntryQuotaTicket *t);
static void unlist_waiting(CpEntry *e, CpEntryQuotaTicket *t);
static void update_hosts(CpEntry *e, int64_t now_ns);
static void log_denial(const CpRequest *rq, const char *org,
                       const CpQuotaDecision *d);

void
CpEntryQuota_Init(CpEntry *e)
{
    const CpSettings *s = &e->settings;
    for (uint32_t i = 0; i < CP_ENTRY_QUOTA_SHARDS; i++) {
        pthread_mutex_init(&e->quota_shards[i].lock, NULL);
        g_queue_init(&e->quota_shards[i].waiting);
    }
    if (s->quota_window_s > 0) {
        e->quota = CpQuota_New(
            &(CpQuotaOptions){.host = s->host,
                              .incarnation = e->incarnation,
                              .started_ns = e->started_ns,
                              .window_s = s->quota_window_s,
                              .overshoot_milli = CpSettings_Overshoot_milli(s),
                              .tolerance = s->quota_tolerance,
                              .send = send_message,
                              .on_change = wake_requests,
                              .ctx = e});
    }
}

/* A timer of its own: those of the shared one write to the store, which may
 * take seconds to respond. */
CpStatus
CpEntryQuota_Start(CpEntry *e)
{
    if (e->quota == NULL) {
        return CP_OK;
    }
    e->quota_timer = CpTimer_New();
    CpTimer_Subscribe(e->quota_timer, CP_QUOTA_TICK_MS, tick, e);
    return CpTimer_Start(e->quota_timer);
}

void
CpEntryQuota_SetLimits(CpEntry *e, const CpRoutes *r)
{
    if (e->quota == NULL) {
        return;
    }
    uint32_t n = r->orgs != NULL ? CpOrgTable_Count(r->orgs) : 0;
    CpQuotaLimit *limits = CpMem_Alloc((n + 1) * sizeof(*limits));
    for (uint32_t i = 0; i < n; i++) {
        const CpOrg *o = CpOrgTable_Get(r->orgs, i);
        CpStr_Copy(limits[i].name, sizeof(limits[i].name), o->name);
        limits[i].rate_milli = o->rate_milli;
        limits[i].burst = o->burst;
    }
    CpQuota_SetLimits(e->quota, limits, n, CpClock_Now_ns());
    free(limits);
}

CpEntryQuotaResult
CpEntryQuota_Decide(CpEntry *e, CpRequest *rq, const CpOrg *org,
                    CpEntryQuotaTicket *t, CpProxyAction *out)
{
    CpQuotaDecision d;
    int64_t now_ns = CpClock_Now_ns();
    if (e->quota == NULL || org->rate_milli == 0 || t->taken) {
        return CP_ENTRY_QUOTA_GRANTED;
    }
    t->request = rq;
    t->org = CpQuota_HashOrg(org->name);
    /* A response may be received before the next call returns. */
    list_waiting(e, t);
    CpQuota_TryTake(e->quota, t->org, t->wait_began_ns, now_ns, &d);
    if (d.type == CP_QUOTA_WAIT) {
        if (t->wait_began_ns == 0) {
            t->wait_began_ns = now_ns;
            CpCounter_Add(CP_COUNT_QUOTA_WAITS, 1);
        }
        *out = (CpProxyAction){.type = CP_ACTION_WAIT,
                               .wait_until_ns = d.wait_until_ns};
        return CP_ENTRY_QUOTA_WAIT;
    }
    unlist_waiting(e, t);
    t->wait_began_ns = 0;
    if (d.type == CP_QUOTA_GRANTED) {
        t->taken = true;
        t->token_ns = d.token_ns;
        CpCounter_Add(CP_COUNT_QUOTA_GRANTED, 1);
        return CP_ENTRY_QUOTA_GRANTED;
    }
    CpCounter_Add(CP_COUNT_QUOTA_DENIED, 1);
    CpCounter_Add(CP_COUNT_QUOTA_UNANSWERED, d.unanswered);
    log_denial(rq, org->name, &d);
    out->retry_after_ms = d.retry_after_ms;
    return CP_ENTRY_QUOTA_DENIED;
}

void
CpEntryQuota_End(CpEntry *e, CpEntryQuotaTicket *t, bool may_have_run)
{
    if (e->quota == NULL) {
        return;
    }
    unlist_waiting(e, t);
    if (t->wait_began_ns > 0) { /* its caller disconnected */
        CpQuota_CancelWait(e->quota, t->org);
    }
    if (t->taken && !may_have_run) {
        CpQuota_Return(e->quota, t->org, t->token_ns, CpClock_Now_ns());
        CpCounter_Add(CP_COUNT_QUOTA_RETURNED, 1);
    }
    t->taken = false;
    t->wait_began_ns = 0;
}

void
CpEntryQuota_OnFrame(CpEntry *e, const CpFrame *f)
{
    const CpTokensFrame *t = &f->tokens;
    CpQuotaMessage m = {.type = f->type == CP_FRAME_TOKENS_MOVE ? CP_QUOTA_MOVE
                                : f->type == CP_FRAME_TOKENS_ASK
                                    ? CP_QUOTA_ASK
                                    : CP_QUOTA_GRANT,
                        .from_incarnation = t->incarnation,
                        .to_incarnation = t->receiver_incarnation,
                        .sequence = t->sequence,
                        .sent_ns = t->sent_ns,
                        .receiver_ns = t->receiver_ns,
                        .wants_reply = t->wants_reply != 0};
    if (e->quota == NULL || t->row_count > CP_QUOTA_MAX_ROWS) {
        CpCounter_Add(CP_COUNT_BAD_FRAMES, 1);
        return;
    }
    CpStr_Copy(m.from, sizeof(m.from), t->host);
    CpStr_Copy(m.to, sizeof(m.to), e->settings.host);
    m.row_count = t->row_count;
    for (uint32_t i = 0; i < m.row_count; i++) {
        const CpTokensRow *r = &t->rows[i];
        m.rows[i] = (CpQuotaRow){.org = r->org_hash,
                                 .ask_id = r->ask_id,
                                 .amount = r->amount,
                                 .newest_age_ms = r->newest_age_ms,
                                 .oldest_age_ms = r->oldest_age_ms,
                                 .retry_after_ms = r->retry_after_ms,
                                 .used = r->used != 0};
    }
    CpQuota_OnMessage(e->quota, &m, CpClock_Now_ns());
}

void
CpEntryQuota_AppendMetrics(CpEntry *e, GString *text)
{
    CpQuotaStats s;
    if (e->quota == NULL) {
        return;
    }
    CpQuota_GetStats(e->quota, CpClock_Now_ns(), &s);
    g_string_append_printf(
        text,
        "chestnutpaddle_quota_stored_tokens %.3f\n"
        "chestnutpaddle_quota_asked_total %" G_GUINT64_FORMAT "\n"
        "chestnutpaddle_quota_messages_total %" G_GUINT64_FORMAT "\n"
        "chestnutpaddle_quota_messages_rejected_total %" G_GUINT64_FORMAT "\n",
        (double)s.stored / CP_QUOTA_TOKEN, s.asked, s.messages, s.rejected);
}

static void
tick(void *ctx, int64_t now_ns)
{
    CpEntry *e = ctx;
    /* The first complete table is passed on without delay: this host generates
     * no tokens before. */
    if (e->quota_ticks++ % HOSTS_INTERVAL_TICKS == 0 ||
        !e->quota_has_all_hosts) {
        update_hosts(e, now_ns);
    }
    CpQuota_Tick(e->quota, now_ns);
}

/* A message that cannot be sent is treated as lost. */
static void
send_message(void *ctx, const CpQuotaMessage *m)
{
    CpEntry *e = ctx;
    CpTokensRow rows[CP_QUOTA_MAX_ROWS];
    uint8_t data[CP_DATAGRAM_MAX_BYTES];
    CpEntryAddress to;
    struct sockaddr_storage sa;
    uint32_t n;
    for (uint32_t i = 0; i < m->row_count; i++) {
        const CpQuotaRow *r = &m->rows[i];
        rows[i] = (CpTokensRow){.org_hash = r->org,
                                .ask_id = r->ask_id,
                                .amount = r->amount,
                                .newest_age_ms = r->newest_age_ms,
                                .oldest_age_ms = r->oldest_age_ms,
                                .retry_after_ms = r->retry_after_ms,
                                .used = r->used};
    }
    CpFrame f = {.type = m->type == CP_QUOTA_MOVE  ? CP_FRAME_TOKENS_MOVE
                         : m->type == CP_QUOTA_ASK ? CP_FRAME_TOKENS_ASK
                                                   : CP_FRAME_TOKENS_GRANT,
                 .tokens = {.incarnation = m->from_incarnation,
                            .receiver_incarnation = m->to_incarnation,
                            .sequence = m->sequence,
                            .sent_ns = m->sent_ns,
                            .receiver_ns = m->receiver_ns,
                            .wants_reply = m->wants_reply,
                            .rows = rows,
                            .row_count = m->row_count}};
    CpStr_Copy(f.tokens.host, sizeof(f.tokens.host), m->from);
    if (!CpEntryHosts_GetInnerAddress(e, m->to, &to) ||
        CpDatagram_Encode(&f, data, &n) != CP_OK) {
        CpCounter_Add(CP_COUNT_REPORTS_UNSENT, 1);
        return;
    }
    uint32_t size = CpAddress_Parse(to.value, &sa);
    if (size == 0 || sendto(e->report_fd, data, n, MSG_DONTWAIT,
                            (struct sockaddr *)&sa, size) < 0) {
        CpCounter_Add(CP_COUNT_REPORTS_UNSENT, 1);
        return;
    }
    CpCounter_Add(CP_COUNT_QUOTA_BYTES, n);
}

/* A request that is listed has not ended: ending one unlists it first. */
static void
wake_requests(void *ctx, uint64_t org)
{
    CpEntryQuotaShard *s = shard_of(ctx, org);
    pthread_mutex_lock(&s->lock);
    for (GList *at = s->waiting.head; at != NULL; at = at->next) {
        const CpEntryQuotaTicket *t = at->data;
        if (t->org == org) {
            CpProxy_WakeRequest(t->request);
        }
    }
    pthread_mutex_unlock(&s->lock);
}

static CpEntryQuotaShard *
shard_of(CpEntry *e, uint64_t org)
{
    return &e->quota_shards[org % CP_ENTRY_QUOTA_SHARDS];
}

static void
list_waiting(CpEntry *e, CpEntryQuotaTicket *t)
{
    CpEntryQuotaShard *s = shard_of(e, t->org);
    if (!t->listed) {
        pthread_mutex_lock(&s->lock);
        t->link.data = t;
        g_queue_push_tail_link(&s->waiting, &t->link);
        t->listed = true;
        pthread_mutex_unlock(&s->lock);
    }
}

static void
unlist_waiting(CpEntry *e, CpEntryQuotaTicket *t)
{
    CpEntryQuotaShard *s = shard_of(e, t->org);
    if (t->listed) {
        pthread_mutex_lock(&s->lock);
        g_queue_unlink(&s->waiting, &t->link);
        t->listed = false;
        pthread_mutex_unlock(&s->lock);
    }
}

static void
update_hosts(CpEntry *e, int64_t now_ns)
{
    CpQuotaHost *hosts;
    CpQuotaHostTable table = {0};
    /* before the hosts are listed: all rows were applied by then */
    bool read = CpEntryFollow_RowVersion(e, CP_TABLE_HOSTS).version > 0;
    table.complete = e->quota_has_all_hosts || read ||
                     now_ns - e->started_ns >= READ_WAIT_NS;
    table.count = CpEntryHosts_ListForQuota(e, &hosts, &table.restarted);
    table.restarted = table.restarted && read;
    table.hosts = hosts;
    e->quota_has_all_hosts = table.complete;
    CpQuota_SetHosts(e->quota, &table, now_ns);
    free(hosts);
}

static void
log_denial(const CpRequest *rq, const char *org, const CpQuotaDecision *d)
{
    CpEvent(CP_EVENT_REFUSED, "quota_denied",
            "s:s,s:s,s:I,s:f,s:i,s:i,s:b,s:b,s:i", "request", rq->id, "org",
            org, "rate_milli", (json_int_t)d->rate_milli, "stored",
            (double)d->stored / CP_QUOTA_TOKEN, "hosts", (int)d->host_count,
            "inflow_per_s", (int)d->inflow_per_s, "is_pool", (int)d->is_pool,
            "unanswered", (int)d->unanswered, "retry_after_ms",
            (int)d->retry_after_ms);
}
