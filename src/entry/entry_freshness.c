/*
 * Freshness of this host's copy of the operator's configuration: queries to
 * watching hosts and their replies, as datagrams, and the log lines about it.
 * The decisions are those of CpFreshness.
 */
#include <string.h>

#include "entry/entry_int.h"

#define TICK_MS 250 /* of the most frequent queries */

static void tick(void *ctx, int64_t now_ns);
static void log_change(CpEntry *e, int64_t now_ns);
static void log_copy(CpEntry *e, const char *what, uint32_t bound_ms,
                     int64_t now_ns);

void
CpEntryFreshness_Init(CpEntry *e)
{
    const CpFreshnessOptions options = {
        .bound_ms = e->settings.revocation_bound_ms,
        .denial_bound_ms = e->settings.denial_bound_ms,
        .incarnation = e->incarnation};
    e->freshness = CpFreshness_New(&options, e->started_ns);
}

/* A timer of its own, as the other one waits for writes to the store. */
CpStatus
CpEntryFreshness_Start(CpEntry *e)
{
    if (e->settings.revocation_bound_ms == 0 &&
        e->settings.denial_bound_ms == 0) {
        return CP_OK;
    }
    e->freshness_timer = CpTimer_New();
    CpTimer_Subscribe(e->freshness_timer, TICK_MS, tick, e);
    return CpTimer_Start(e->freshness_timer);
}

void
CpEntryFreshness_OnQuery(CpEntry *e, const CpFreshnessQueryFrame *q,
                         const struct sockaddr_storage *from,
                         uint32_t from_bytes)
{
    CpFreshnessReply reply;
    const CpFreshnessQuery query = {.incarnation = q->incarnation,
                                    .sent_ns = (int64_t)q->sent_ns};
    /* Not the version of the last call, which a change of any table raises
     * and the asking host may not have read. */
    const CpTableVersion held = CpEntryFollow_RowVersion(e, CP_TABLE_OPERATOR);
    CpEntryFollow_CheckConfig(e);
    if (!CpFreshness_Reply(e->freshness, &query, &held, CpClock_Now_ns(),
                           &reply)) {
        return;
    }
    CpFrame f = {.type = CP_FRAME_FRESHNESS_REPLY,
                 .freshness_reply = {.incarnation = q->incarnation,
                                     .sent_ns = q->sent_ns,
                                     .age_ns = (uint64_t)reply.age_ns,
                                     .era = reply.version.era,
                                     .version = reply.version.version}};
    CpStr_Copy(f.freshness_reply.host, CP_NAME_BYTES, e->settings.host);
    CpEntryPeers_SendEra(e, from, from_bytes); /* with its configuration */
    CpEntryPeers_Send(e, &f, from, from_bytes);
}

void
CpEntryFreshness_OnReply(CpEntry *e, const CpFreshnessReplyFrame *r)
{
    int64_t now_ns = CpClock_Now_ns();
    if (r->sent_ns > INT64_MAX || r->age_ns > INT64_MAX) {
        CpCounter_Add(CP_COUNT_BAD_FRAMES, 1);
        return;
    }
    const CpFreshnessReply reply = {
        .query = {.incarnation = r->incarnation,
                  .sent_ns = (int64_t)r->sent_ns},
        .age_ns = (int64_t)r->age_ns,
        .version = {.era = r->era, .version = r->version}};
    CpEntryFollow_CheckConfig(e);
    CpFreshness_OnReply(e->freshness, &reply, now_ns);
    CpEntryFollow_OnPeerVersion(e, r->host, CP_TABLE_OPERATOR, &reply.version,
                                now_ns);
}

static void
tick(void *ctx, int64_t now_ns)
{
    CpEntry *e = ctx;
    CpEntryAddress to[CP_ENTRY_MAX_ASKED];
    CpFreshnessQuery query;
    CpFreshnessAsk ask = CpFreshness_Ask(e->freshness, now_ns, &query);
    log_change(e, now_ns);
    if (ask == CP_ASK_NONE) {
        return;
    }
    const CpFrame f = {
        .type = CP_FRAME_FRESHNESS_QUERY,
        .freshness_query = {.incarnation = query.incarnation,
                            .sent_ns = (uint64_t)query.sent_ns}};
    uint32_t n = CpEntryHosts_ListWatching(e, ask == CP_ASK_SEVERAL,
                                           e->freshness_queries++, to);
    for (uint32_t i = 0; i < n; i++) {
        struct sockaddr_storage sa;
        uint32_t size = CpAddress_Parse(to[i].value, &sa);
        CpEntryPeers_Send(e, &f, &sa, size);
        CpCounter_Add(CP_COUNT_FRESHNESS_QUERIES, 1);
    }
}

static void
log_change(CpEntry *e, int64_t now_ns)
{
    bool fresh = CpFreshness_IsFresh(e->freshness, now_ns);
    bool current = CpFreshness_MayDeny(e->freshness, now_ns);
    if (fresh != e->was_fresh) {
        e->was_fresh = fresh;
        log_copy(e, fresh ? "freshness_regained" : "freshness_lost",
                 e->settings.revocation_bound_ms, now_ns);
    }
    if (current != e->was_current) {
        e->was_current = current;
        log_copy(e, current ? "copy_current" : "copy_outdated",
                 e->settings.denial_bound_ms, now_ns);
    }
}

static void
log_copy(CpEntry *e, const char *what, uint32_t bound_ms, int64_t now_ns)
{
    int64_t age_ns = CpFreshness_Age_ns(e->freshness, now_ns);
    CpEvent(
        CP_EVENT_STATE, what, "s:I,s:i,s:I", "age_ms",
        (json_int_t)(age_ns < 0 ? -1 : age_ns / CP_NS_PER_MS), "bound_ms",
        (int)bound_ms, "operator_version",
        (json_int_t)CpEntryFollow_RowVersion(e, CP_TABLE_OPERATOR).version);
}
