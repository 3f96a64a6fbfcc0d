/*
 * The policy that handles requests: it selects the route, the service and the
 * server, decides whether a request is retried, and sets the response where no
 * server gives one.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"

#define MIN_TIME_LEFT_MS 20 /* with less time left a request is not sent */
/* An attempt of an idempotent request is abandoned when the server has not
 * responded within this many times the expected latency, and at least this
 * many latency goals. At least half of the request's time has to be left for
 * another server. */
#define ATTEMPT_TIMEOUT_FACTOR 4
#define ATTEMPT_TIMEOUT_MIN_GOALS 2
/* A response is overdue after this part of the expected time: many come a
 * little later than expected. */
#define OVERDUE_PERCENT 125
/* How often it is checked whether a request that could still be answered
 * within its latency goal should leave a server that turned slow. */
#define SLOW_CHECK_INTERVAL_NS (50 * CP_NS_PER_MS)
/* Attempts that were not run do not count against the route's limit. */
#define MAX_NOT_RUN_ATTEMPTS 3
#define TARGET_LOG_BYTES 128 /* of a path in log lines */
#define NOT_CONFIGURED_RETRY_AFTER_MS 500
/* Retry-After of a refusal without one of its own, for each second that is set
 * for its reason. It is short, as callers come back to another host. */
#define RETRY_AFTER_UNIT_MS 200

/* The policy's state of one request. */
typedef struct {
    CpRoutes *routes; /* kept until the request ends */
    const CpRoute *route;
    const CpOrg *org;           /* NULL: none; of `routes` */
    uint32_t rank;              /* of the organisation, or else of the route */
    uint32_t home_region_count; /* regions it may run in; 0: all */
    const char (*home_regions)[CP_NAME_BYTES];
    char common_regions[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES];
    CpEntryQuotaTicket quota;
    const char *service;
    int64_t deadline_ns;
    int64_t goal_ns;
    int64_t routes_age_ms;
    CpReason refusal;          /* why may_send() stopped the attempt */
    uint32_t attempts;         /* without those that were not run */
    uint32_t not_run_attempts; /* server unreachable, or it refused */
    bool may_have_run;
    /* an attempt timed out, not before the latency goal where servers report
     * their speed: from now on only the deadline counts */
    bool had_timeout;
    bool retry_paid;      /* the budget was charged for the next retry */
    bool has_next_choice; /* the next server has been chosen */
    CpFleetChoice next_choice;
    uint32_t tried_count;
    char tried[CP_FLEET_MAX_TRIED][CP_NAME_BYTES];
    char *last_broken;    /* in `tried`: the last that broke off; NULL: none */
    CpFleetChoice choice; /* of the attempt in progress */
    int64_t attempt_started_ns;
    int64_t attempt_end_ns; /* may be abandoned from then on; 0: never */
} RequestState;

static bool on_head(void *ctx, CpRequest *rq, CpProxyAction *out);
static void on_request(void *ctx, CpRequest *rq, CpProxyAction *out);
static void on_woken(void *ctx, CpRequest *rq, CpProxyAction *out);
static void on_attempt_ended(void *ctx, CpRequest *rq,
                             const CpAttemptResult *a, CpProxyAction *out);
static bool may_send(void *ctx, const CpRequest *rq);
static bool may_stream(void *ctx, const CpRequest *rq,
                       const CpAttemptResult *head);
static void on_stream_ended(void *ctx, CpRequest *rq,
                            const CpAttemptResult *a);
static bool should_abandon(void *ctx, CpRequest *rq, int64_t *next_ns);
static void on_deadline(void *ctx, CpRequest *rq, bool sent,
                        int64_t latency_ns, CpProxyAction *out);
static void on_cancelled(void *ctx, CpRequest *rq, int64_t latency_ns);
static void on_request_ended(void *ctx, CpRequest *rq,
                             const CpRequestResult *result);
static bool on_large_body(void *ctx, const CpRequest *rq, uint64_t body_bytes,
                          CpProxyAction *out);
static CpProxyAction refusal(CpReason reason);
static void get_limits(void *ctx, CpRouteLimits *out);
static CpReason decide_access(CpEntry *e, const CpRequest *rq,
                              CpRoutes **routes, int64_t *since_ns,
                              CpRouteAccess *out);
static CpRouteRequest describe_request(CpEntry *e, const CpRequest *rq);
static void note_access(CpEntry *e, const CpRequest *rq, const CpRoutes *r,
                        CpReason reason);
static void take_token_and_dispatch(CpEntry *e, CpRequest *rq, RequestState *s,
                                    CpProxyAction *out);
static bool is_admitted(CpEntry *e, const CpRequest *rq, RequestState *s,
                        int64_t now_ns, CpProxyAction *out);
static void dispatch(CpEntry *e, CpRequest *rq, RequestState *s,
                     CpProxyAction *out);
static void set_attempt_end(RequestState *s, int64_t now_ns);
static int64_t attempt_deadline_ns(const RequestState *s, int64_t now_ns);
static CpReason choose_server(CpEntry *e, const CpRequest *rq,
                              const RequestState *s,
                              const CpFleetAttempt *slow_attempt,
                              int64_t now_ns, CpFleetChoice *out);
static int64_t earlier(int64_t a_ns, int64_t b_ns);
static uint32_t host_left_ms(CpEntry *e, int64_t now_ns);
static void retry_or_fail(CpEntry *e, CpRequest *rq, RequestState *s,
                          const CpAttemptResult *a, CpProxyAction *out);
static bool may_forward(const CpAttemptResult *a);
static void set_failure(const RequestState *s, CpReason reason,
                        uint32_t retry_after_ms, CpProxyAction *out);
static void report_attempt(CpEntry *e, const RequestState *s,
                           CpAttemptOutcome outcome, const CpAttemptResult *a,
                           int64_t latency_ns);
static void log_not_admitted(const CpRequest *rq, const RequestState *s,
                             const CpFleetRoom *room,
                             const CpContentionDecision *d);
static void note_denial(CpEntry *e, const CpRequest *rq, const CpRoutes *r,
                        CpDenial denial);
static void log_attempt(const CpRequest *rq, const RequestState *s);
static void log_flaw(const CpRequest *rq, const RequestState *s,
                     const CpAttemptResult *a);
static bool withdraw_retry(CpEntry *e, int64_t now_ns);
static void refund_retry(CpEntry *e);
static void deposit_retry(CpEntry *e, int64_t now_ns);
static void update_retry_share(CpEntry *e);

void
CpEntryRequest_InitPolicy(CpEntry *e, CpProxyPolicy *out)
{
    *out = (CpProxyPolicy){.on_head = on_head,
                           .on_request = on_request,
                           .on_woken = on_woken,
                           .on_attempt_ended = on_attempt_ended,
                           .may_send = may_send,
                           .may_stream = may_stream,
                           .on_stream_ended = on_stream_ended,
                           .should_abandon = should_abandon,
                           .on_deadline = on_deadline,
                           .on_cancelled = on_cancelled,
                           .on_request_ended = on_request_ended,
                           .on_large_body = on_large_body,
                           .get_limits = get_limits,
                           .ctx = e};
}

/* Refuses a request without a valid key before its body is read. */
static bool
on_head(void *ctx, CpRequest *rq, CpProxyAction *out)
{
    CpRouteAccess access;
    CpRoutes *r;
    CpReason reason = decide_access(ctx, rq, &r, NULL, &access);
    bool refused = access.route != NULL && (reason == CP_REASON_KEY_REJECTED ||
                                            reason == CP_REASON_NOT_CURRENT);
    if (refused) {
        *out = refusal(reason);
        note_access(ctx, rq, r, reason);
        CpCounter_AddReason(reason, access.route->rank);
        CpEvent(CP_EVENT_REFUSED, "ended", "s:s,s:s,s:s,s:i", "request",
                rq->id, "route", access.route->name, "reason",
                CpReason_Name(reason), "status",
                (int)CpReason_HttpStatus(reason));
    }
    CpRoutes_Release(r);
    return !refused;
}

static void
on_request(void *ctx, CpRequest *rq, CpProxyAction *out)
{
    CpEntry *e = ctx;
    RequestState *s = CpMem_Alloc(sizeof(*s));
    CpRouteAccess access;
    int64_t now_ns = CpClock_Now_ns(), since_ns;
    rq->policy_data = s;
    CpReason reason = decide_access(e, rq, &s->routes, &since_ns, &access);
    s->route = access.route;
    s->org = access.org;
    if (s->routes != NULL) {
        s->routes_age_ms = (now_ns - since_ns) / CP_NS_PER_MS;
    }
    if (s->route != NULL) {
        s->rank = s->route->rank;
    }
    if (reason != CP_REASON_NONE) {
        note_access(e, rq, s->routes, reason);
        set_failure(s, reason,
                    reason == CP_REASON_NOT_CONFIGURED
                        ? NOT_CONFIGURED_RETRY_AFTER_MS
                        : 0,
                    out);
        return;
    }
    if (s->org != NULL && s->org->has_rank) {
        s->rank = s->org->rank;
    }
    if (!CpRoute_GetHomeRegions(s->route, s->org, s->common_regions,
                                &s->home_regions, &s->home_region_count)) {
        set_failure(s, CP_REASON_NO_COMMON_REGION, 0, out);
        return;
    }
    uint32_t limit_ms = s->route->timeout_ms;
    if (rq->timeout_ms > 0 && rq->timeout_ms < limit_ms) {
        limit_ms = rq->timeout_ms;
    }
    s->deadline_ns = rq->started_ns + limit_ms * CP_NS_PER_MS;
    s->goal_ns = rq->started_ns + s->route->goal_ms * CP_NS_PER_MS;
    s->service = CpRoutes_NextService(s->routes, s->route);
    deposit_retry(e, now_ns);
    take_token_and_dispatch(e, rq, s, out);
}

static void
on_woken(void *ctx, CpRequest *rq, CpProxyAction *out)
{
    take_token_and_dispatch(ctx, rq, rq->policy_data, out);
}

/* Refuses the request if its service is contended and has no capacity for it.
 * The latency goal of a caller that comes back counts from its first
 * attempt. */
static bool
is_admitted(CpEntry *e, const CpRequest *rq, RequestState *s, int64_t now_ns,
            CpProxyAction *out)
{
    CpFleetRoom room;
    CpContentionDecision d;
    CpFleetRequest place = {.service = s->service,
                            .home_region_count = s->home_region_count,
                            .home_regions = s->home_regions};
    CpFleet_GetRoom(e->fleet, &place, now_ns, &room);
    int64_t left_ms = (s->deadline_ns - now_ns) / CP_NS_PER_MS;
    CpContentionRequest request = {
        .service = s->service,
        .route = s->route->name,
        .org = s->org != NULL ? s->org->name : NULL,
        .rank = s->rank,
        .goal_ms = s->route->goal_ms,
        .timeout_ms = rq->timeout_ms,
        .left_ms = left_ms > 0 ? (uint32_t)left_ms : 0,
        .room = {.speed_reported = room.speed_reported,
                 .load_known = room.server_count > 0,
                 .load_milli = room.load_milli},
        .random = CpRandom()};
    CpContention_Decide(e->contention, &request, now_ns, &d);
    if (d.acts) {
        s->goal_ns -= d.elapsed_ms * CP_NS_PER_MS;
    }
    if (d.reason == CP_REASON_NONE) {
        return true;
    }
    log_not_admitted(rq, s, &room, &d);
    set_failure(s, d.reason, d.retry_after_ms, out);
    return false;
}

static void
on_attempt_ended(void *ctx, CpRequest *rq, const CpAttemptResult *a,
                 CpProxyAction *out)
{
    CpEntry *e = ctx;
    RequestState *s = rq->policy_data;
    if (a->withheld) { /* says nothing of the server */
        s->attempts--;
        report_attempt(e, s, CP_ATTEMPT_CANCELLED, NULL, 0);
        set_failure(s, s->refusal, 0, out);
        return;
    }
    report_attempt(e, s, a->outcome, a, a->latency_ns);
    log_flaw(rq, s, a);
    if (a->verdict == CP_NOT_RUN) {
        s->not_run_attempts++;
        s->attempts--;
    }
    else {
        s->may_have_run = true;
    }
    bool is_early =
        s->choice.work_percent > 0 && CpClock_Now_ns() < s->goal_ns;
    if (a->outcome == CP_ATTEMPT_TIMED_OUT && !is_early) {
        s->had_timeout = true;
    }
    if (a->outcome == CP_ATTEMPT_BROKEN && s->tried_count > 0) {
        s->last_broken = s->tried[s->tried_count - 1];
    }
    if (a->outcome == CP_ATTEMPT_ANSWERED && may_forward(a)) {
        if (a->status >= 300) {
            CpCounter_AddDenial(CP_DENIAL_SERVER);
        }
        out->type = CP_ACTION_RESPOND;
        return;
    }
    retry_or_fail(e, rq, s, a, out);
}

/* Checks the key again: since the request was decided this process may have
 * been suspended, or the key withdrawn. */
static bool
may_send(void *ctx, const CpRequest *rq)
{
    CpEntry *e = ctx;
    RequestState *s = rq->policy_data;
    if (s->org == NULL) {
        return true;
    }
    const CpRouteRequest request = describe_request(e, rq);
    CpRoutes *r = CpEntry_RetainRoutes(e, NULL);
    s->refusal = CpRoutes_DecideAgain(r, &request, s->org);
    if (s->refusal == CP_REASON_KEY_REJECTED) {
        note_denial(e, rq, r, CP_DENIAL_KEY_WITHDRAWN);
    }
    CpRoutes_Release(r);
    return s->refusal == CP_REASON_NONE;
}

/* A failed request may be retried on another server, so the response to it is
 * not streamed but read to its end first. */
static bool
may_stream(void *ctx, const CpRequest *rq, const CpAttemptResult *head)
{
    CpEntry *e = ctx;
    const RequestState *s = rq->policy_data;
    bool streams = head->outcome == CP_ATTEMPT_ANSWERED &&
                   head->status < 300 && may_forward(head);
    if (streams && head->leaving) { /* the caller learns of it now */
        CpFleet_SetLeaving(e->fleet, s->service, s->choice.instance,
                           CpClock_Now_ns());
    }
    return streams;
}

static void
on_stream_ended(void *ctx, CpRequest *rq, const CpAttemptResult *a)
{
    RequestState *s = rq->policy_data;
    s->may_have_run = true;
    report_attempt(ctx, s, a->outcome, a, a->latency_ns);
    log_flaw(rq, s, a);
}

/* Abandons an attempt only if the budget allows a retry and another server has
 * a slot; otherwise the response may still arrive. Before the end of the
 * attempt, the other server has to be likely to respond within the latency
 * goal. A leaving host waits for what its servers are running. */
static bool
should_abandon(void *ctx, CpRequest *rq, int64_t *next_ns)
{
    CpEntry *e = ctx;
    RequestState *s = rq->policy_data;
    int64_t now_ns = CpClock_Now_ns();
    bool at_end = s->attempt_end_ns > 0 && now_ns >= s->attempt_end_ns;
    int64_t check_ns = now_ns + SLOW_CHECK_INTERVAL_NS;
    *next_ns = at_end                  ? 0
               : check_ns < s->goal_ns ? earlier(check_ns, s->attempt_end_ns)
                                       : s->attempt_end_ns;
    if (CpAtomic_Load(&e->leaving) || !withdraw_retry(e, now_ns)) {
        return false;
    }
    const CpFleetAttempt attempt = {.instance = s->choice.instance,
                                    .work_class = s->choice.work_class,
                                    .wait_ms = s->choice.wait_ms,
                                    .started_ns = s->attempt_started_ns};
    /* past the latency goal only a server with a free slot is chosen */
    s->has_next_choice =
        choose_server(e, rq, s, at_end ? NULL : &attempt, now_ns,
                      &s->next_choice) == CP_REASON_NONE;
    s->retry_paid = s->has_next_choice;
    if (!s->has_next_choice) {
        refund_retry(e);
    }
    else if (!at_end) {
        CpCounter_Add(CP_COUNT_SLOW_ATTEMPTS_LEFT, 1);
    }
    return s->has_next_choice;
}

static void
on_deadline(void *ctx, CpRequest *rq, bool sent, int64_t latency_ns,
            CpProxyAction *out)
{
    CpEntry *e = ctx;
    RequestState *s = rq->policy_data;
    s->may_have_run |= sent;
    report_attempt(e, s, CP_ATTEMPT_TIMED_OUT, NULL, latency_ns);
    set_failure(s,
                s->may_have_run ? CP_REASON_DEADLINE_PASSED
                                : CP_REASON_CONNECT_FAILED,
                0, out);
}

static void
on_cancelled(void *ctx, CpRequest *rq, int64_t latency_ns)
{
    CpEntry *e = ctx;
    RequestState *s = rq->policy_data;
    if (s != NULL && s->choice.instance[0] != '\0') {
        s->may_have_run = true; /* its response was not received */
        report_attempt(e, s, CP_ATTEMPT_CANCELLED, NULL, latency_ns);
    }
}

static void
on_request_ended(void *ctx, CpRequest *rq, const CpRequestResult *result)
{
    RequestState *s = rq->policy_data;
    uint32_t rank = s != NULL ? s->rank : 0;
    const char *route = s != NULL && s->route != NULL ? s->route->name : "";
    if (result->completed) {
        CpCounter_Add(CP_COUNT_ANSWERED, 1);
        CpCounter_RecordLatency(rank, result->latency_ns);
        CpEvent(CP_EVENT_ANSWERED, "answered", "s:s,s:s,s:i,s:I,s:i",
                "request", rq->id, "route", route, "status",
                (int)result->status, "took_ms",
                (json_int_t)(result->latency_ns / CP_NS_PER_MS), "attempts",
                (int)(s != NULL ? s->attempts : 0));
    }
    else {
        CpCounter_AddReason(result->reason, rank);
        CpEvent(result->status == 503 || result->status == 404 ||
                        result->status == 401 || result->status == 429
                    ? CP_EVENT_REFUSED
                    : CP_EVENT_FAILED,
                "ended", "s:s,s:s,s:s,s:i,s:I,s:i,s:i,s:b", "request", rq->id,
                "route", route, "reason", CpReason_Name(result->reason),
                "status", (int)result->status, "took_ms",
                (json_int_t)(result->latency_ns / CP_NS_PER_MS), "attempts",
                (int)(s != NULL ? s->attempts : 0), "retry_after_ms",
                (int)result->retry_after_ms, "may_have_run",
                (int)(s != NULL && s->may_have_run));
    }
    if (s != NULL) {
        CpEntryQuota_End(ctx, &s->quota, s->may_have_run);
        CpRoutes_Release(s->routes);
    }
}

/* A limit that may be outdated refuses nothing for good. */
static bool
on_large_body(void *ctx, const CpRequest *rq, uint64_t body_bytes,
              CpProxyAction *out)
{
    CpEntry *e = ctx;
    CpRouteLimits limits;
    /* before the limit is read, as in describe_request() */
    bool may_deny = CpFreshness_MayDeny(e->freshness, CpClock_Now_ns());
    get_limits(e, &limits);
    if (body_bytes <= limits.max_body_bytes) {
        return true;
    }
    *out =
        refusal(may_deny ? CP_REASON_BODY_TOO_LARGE : CP_REASON_NOT_CURRENT);
    CpEvent(CP_EVENT_REFUSED, "body_over_limit", "s:s,s:s,s:I,s:I", "request",
            rq->id, "reason", CpReason_Name(out->reason), "body_bytes",
            (json_int_t)body_bytes, "max_body_bytes",
            (json_int_t)limits.max_body_bytes);
    return false;
}

/* Returns the failure of a request that is refused before its body is read. */
static CpProxyAction
refusal(CpReason reason)
{
    return (CpProxyAction){.type = CP_ACTION_FAIL,
                           .reason = reason,
                           .retry_after_ms = CpReason_RetryAfter_s(reason) *
                                             RETRY_AFTER_UNIT_MS};
}

static void
get_limits(void *ctx, CpRouteLimits *out)
{
    CpRoutes *r = CpEntry_RetainRoutes(ctx, NULL);
    *out = r != NULL ? r->limits : (CpRouteLimits){0};
    if (out->max_body_bytes == 0) { /* no limit is configured */
        out->max_body_bytes = UINT32_MAX;
    }
    CpRoutes_Release(r);
}

/* Sets *routes, which the caller releases. */
static CpReason
decide_access(CpEntry *e, const CpRequest *rq, CpRoutes **routes,
              int64_t *since_ns, CpRouteAccess *out)
{
    const CpRouteRequest request = describe_request(e, rq);
    *routes = CpEntry_RetainRoutes(e, since_ns);
    return CpRoutes_Decide(*routes, &request, out);
}

/* Looks at how fresh the configuration is; to be called before it is looked at
 * itself: one that comes into force in between is at least as fresh. */
static CpRouteRequest
describe_request(CpEntry *e, const CpRequest *rq)
{
    int64_t now_ns = CpClock_Now_ns();
    return (CpRouteRequest){
        .host = rq->host,
        .target = rq->target,
        .key = rq->key,
        .is_fresh = CpFreshness_IsFresh(e->freshness, now_ns),
        .may_deny = CpFreshness_MayDeny(e->freshness, now_ns)};
}

/* Notes a request that the configuration does not let through. */
static void
note_access(CpEntry *e, const CpRequest *rq, const CpRoutes *r,
            CpReason reason)
{
    if (reason == CP_REASON_NO_ROUTE) {
        note_denial(e, rq, r, CP_DENIAL_NO_ROUTE);
    }
    else if (reason == CP_REASON_KEY_REJECTED) {
        note_denial(e, rq, r,
                    rq->key == NULL ? CP_DENIAL_NO_KEY
                                    : CP_DENIAL_UNKNOWN_KEY);
    }
}

/* Takes a token of the request's organisation, or waits for one as long as the
 * request can still be served, and sends the request. */
static void
take_token_and_dispatch(CpEntry *e, CpRequest *rq, RequestState *s,
                        CpProxyAction *out)
{
    int64_t latest_ns = s->deadline_ns - MIN_TIME_LEFT_MS * CP_NS_PER_MS;
    CpEntryQuotaResult result =
        s->org == NULL || CpClock_Now_ns() > latest_ns
            ? CP_ENTRY_QUOTA_GRANTED /* dispatch() refuses it */
            : CpEntryQuota_Decide(e, rq, s->org, &s->quota, out);
    if (result == CP_ENTRY_QUOTA_DENIED) {
        set_failure(s, CP_REASON_QUOTA_EXCEEDED, out->retry_after_ms, out);
    }
    else if (result == CP_ENTRY_QUOTA_GRANTED) {
        if (is_admitted(e, rq, s, CpClock_Now_ns(), out)) {
            dispatch(e, rq, s, out);
        }
    }
    else if (out->wait_until_ns > latest_ns) {
        out->wait_until_ns = latest_ns;
    }
}

static void
dispatch(CpEntry *e, CpRequest *rq, RequestState *s, CpProxyAction *out)
{
    int64_t now_ns = CpClock_Now_ns();
    int64_t left_ms = (s->deadline_ns - now_ns) / CP_NS_PER_MS;
    int64_t goal_ms = (s->goal_ns - now_ns) / CP_NS_PER_MS;
    if (left_ms < MIN_TIME_LEFT_MS) {
        set_failure(s, CP_REASON_WOULD_MISS_DEADLINE, 0, out);
        return;
    }
    CpReason reason = CP_REASON_NONE;
    if (s->has_next_choice) {
        s->choice = s->next_choice;
        s->has_next_choice = false;
    }
    else {
        reason = choose_server(e, rq, s, NULL, now_ns, &s->choice);
    }
    if (reason == CP_REASON_NO_SERVER && s->last_broken != NULL) {
        /* only the server whose response broke off is left */
        s->last_broken[0] = '\0';
        s->last_broken = NULL;
        reason = choose_server(e, rq, s, NULL, now_ns, &s->choice);
    }
    if (reason != CP_REASON_NONE) {
        CpEvent(CP_EVENT_REFUSED, "not_placed",
                "s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:i,s:i,s:i,s:I", "request",
                rq->id, "reason", CpReason_Name(reason), "service", s->service,
                "object", rq->object, "goal_left_ms", (json_int_t)goal_ms,
                "left_ms", (json_int_t)left_ms, "wait_ms",
                (int)s->choice.wait_ms, "expected_ms",
                (int)s->choice.expected_ms, "usable",
                (int)CpFleet_CountUsable(e->fleet, s->service, now_ns),
                "retry_after_ms", (int)s->choice.retry_after_ms,
                "routes_version", (json_int_t)s->routes->version);
        set_failure(s, reason, s->choice.retry_after_ms, out);
        s->choice.instance[0] = '\0';
        return;
    }
    if (s->tried_count < CP_FLEET_MAX_TRIED) {
        CpStr_Copy(s->tried[s->tried_count++], CP_NAME_BYTES,
                   s->choice.instance);
    }
    s->attempts++;
    CpEntryPeers_SendUsage(e, s->service, s->choice.instance);
    CpCounter_Add(CP_COUNT_DISPATCHED, 1);
    log_attempt(rq, s);
    out->type = CP_ACTION_SEND;
    CpStr_Copy(out->address, sizeof(out->address), s->choice.address);
    CpStr_Copy(out->instance, sizeof(out->instance), s->choice.instance);
    out->idempotent = s->route->idempotent;
    out->org = s->routes->orgs == NULL ? NULL
               : s->org != NULL        ? s->org->name
                                       : "";
    out->deadline_ns = s->deadline_ns;
    set_attempt_end(s, now_ns);
    out->attempt_deadline_ns = attempt_deadline_ns(s, now_ns);
}

static void
set_attempt_end(RequestState *s, int64_t now_ns)
{
    int64_t limit_ms = (int64_t)s->choice.expected_ms * ATTEMPT_TIMEOUT_FACTOR;
    int64_t min_ms = (int64_t)s->route->goal_ms * ATTEMPT_TIMEOUT_MIN_GOALS;
    limit_ms = limit_ms > min_ms ? limit_ms : min_ms;
    int64_t end_ns = now_ns + limit_ms * CP_NS_PER_MS;
    bool may_retry = s->route->idempotent &&
                     s->attempts < s->route->max_attempts &&
                     s->deadline_ns - end_ns >= (s->deadline_ns - now_ns) / 2;
    s->attempt_end_ns = may_retry ? end_ns : 0;
    s->attempt_started_ns = now_ns;
}

/* Where servers report their speed, an attempt is also checked when the
 * response is overdue, while another server could still meet the goal. */
static int64_t
attempt_deadline_ns(const RequestState *s, int64_t now_ns)
{
    int64_t overdue_ns =
        now_ns + s->choice.expected_ms * OVERDUE_PERCENT * CP_NS_PER_MS / 100;
    if (s->choice.work_percent == 0 || !s->route->idempotent ||
        s->attempts >= s->route->max_attempts || overdue_ns >= s->goal_ns) {
        return s->attempt_end_ns;
    }
    return earlier(overdue_ns, s->attempt_end_ns);
}

/* Returns the earlier of two times; 0: never. */
static int64_t
earlier(int64_t a_ns, int64_t b_ns)
{
    return b_ns == 0 || (a_ns > 0 && a_ns < b_ns) ? a_ns : b_ns;
}

/* Chooses a server by the time left and the servers tried; the request then
 * counts as in flight there. */
static CpReason
choose_server(CpEntry *e, const CpRequest *rq, const RequestState *s,
              const CpFleetAttempt *slow_attempt, int64_t now_ns,
              CpFleetChoice *out)
{
    int64_t left_ms = (s->deadline_ns - now_ns) / CP_NS_PER_MS;
    int64_t goal_ms = (s->goal_ns - now_ns) / CP_NS_PER_MS;
    CpFleetRequest request = {
        .service = s->service,
        .object =
            s->route->affinity && rq->object[0] != '\0' ? rq->object : NULL,
        .goal_left_ms = s->had_timeout ? (uint32_t)left_ms
                        : goal_ms > 0  ? (uint32_t)goal_ms
                                       : 0,
        .deadline_left_ms = (uint32_t)left_ms,
        .host_left_ms = host_left_ms(e, now_ns),
        .tried_count = s->tried_count,
        .home_region_count = s->home_region_count,
        .home_regions = s->home_regions,
        .random = CpRandom(),
        .slow_attempt = slow_attempt};
    for (uint32_t i = 0; i < s->tried_count; i++) {
        request.tried[i] = s->tried[i];
    }
    return CpFleet_Choose(e->fleet, &request, now_ns, out);
}

/* Returns the time until this host cuts the requests in flight; 0: it does not
 * stop. */
static uint32_t
host_left_ms(CpEntry *e, int64_t now_ns)
{
    int64_t stop_by_ns = __atomic_load_n(&e->stop_by_ns, __ATOMIC_RELAXED);
    if (stop_by_ns == 0) {
        return 0;
    }
    return stop_by_ns - now_ns > CP_NS_PER_MS
               ? (uint32_t)((stop_by_ns - now_ns) / CP_NS_PER_MS)
               : 1;
}

/* Sends the request to another server if that is safe: it was not run, or its
 * route is idempotent. Otherwise, or if a limit is reached, the caller gets
 * the failure. */
static void
retry_or_fail(CpEntry *e, CpRequest *rq, RequestState *s,
              const CpAttemptResult *a, CpProxyAction *out)
{
    bool never_sent = a->outcome == CP_ATTEMPT_UNREACHABLE;
    bool safe = a->verdict == CP_NOT_RUN || s->route->idempotent;
    bool attempts_left = a->can_resend &&
                         s->not_run_attempts <= MAX_NOT_RUN_ATTEMPTS &&
                         s->attempts < s->route->max_attempts;
    bool granted =
        safe && attempts_left &&
        (never_sent || s->retry_paid || withdraw_retry(e, CpClock_Now_ns()));
    s->retry_paid = false;
    const char *decision = !safe            ? "may_have_run"
                           : !attempts_left ? "no_attempts_left"
                           : !granted       ? "no_budget"
                                            : "tried_again";
    CpEvent(CP_EVENT_RETRY, decision, "s:s,s:s,s:s,s:s,s:i,s:i,s:I", "request",
            rq->id, "instance", s->choice.instance, "end",
            CpAttemptOutcome_Name(a->outcome), "verdict",
            CpVerdict_Name(a->verdict), "status", (int)a->status, "attempts",
            (int)s->attempts, "took_ms",
            (json_int_t)(a->latency_ns / CP_NS_PER_MS));
    if (granted) {
        CpCounter_Add(CP_COUNT_RETRIES, 1);
        dispatch(e, rq, s, out);
        if (out->type == CP_ACTION_SEND) {
            return;
        }
    }
    else if (safe && attempts_left) {
        CpCounter_Add(CP_COUNT_RETRY_BUDGET_EMPTY, 1);
    }
    if (a->outcome == CP_ATTEMPT_SERVER_ERROR && may_forward(a)) {
        out->type = CP_ACTION_RESPOND; /* forward the server's own error */
        return;
    }
    if (!granted) {
        set_failure(s, a->reason, 0, out);
    }
}

/* Statuses that promise "not run" are set by this host only, where that is
 * true. */
static bool
may_forward(const CpAttemptResult *a)
{
    switch (a->status) {
    case 408:
    case 421:
    case 429:
    case 503:
        return false;
    default:
        return a->status >= 200;
    }
}

/* A refusal promises "not run", so it is sent only if no attempt may have
 * run. */
static void
set_failure(const RequestState *s, CpReason reason, uint32_t retry_after_ms,
            CpProxyAction *out)
{
    *out = (CpProxyAction){.type = CP_ACTION_FAIL,
                           .reason = reason,
                           .status = CpReason_HttpStatus(reason),
                           .retry_after_ms = retry_after_ms};
    if (s->may_have_run && (out->status == 503 || out->status == 401)) {
        out->status = 502;
    }
    if (out->status == 503 && retry_after_ms == 0) {
        out->retry_after_ms =
            CpReason_RetryAfter_s(reason) * RETRY_AFTER_UNIT_MS;
    }
}

static void
report_attempt(CpEntry *e, const RequestState *s, CpAttemptOutcome outcome,
               const CpAttemptResult *a, int64_t latency_ns)
{
    CpFleetAttemptResult r = {.service = s->service,
                              .instance = s->choice.instance,
                              .outcome = outcome,
                              .latency_ns = latency_ns,
                              .work_class = s->choice.work_class};
    if (a != NULL) {
        if (a->head_latency_ns > 0) {
            r.latency_ns = a->head_latency_ns;
        }
        /* A server that sends another's response on a new connection, too, is
         * found there: this one is not used again. */
        r.unsolicited = a->reused && a->reason == CP_REASON_ANSWER_CROSSED;
        r.leaving = a->leaving;
        r.pause_ms = a->pause_ms;
        r.has_load = a->has_load;
        r.load = a->load;
        r.warmup_left_ms = a->warmup_left_ms;
        r.response_bytes = a->response_bytes;
    }
    CpFleet_EndAttempt(e->fleet, &r, CpClock_Now_ns());
    if (outcome == CP_ATTEMPT_ANSWERED) {
        CpContention_RecordResponse(e->contention, s->service, s->route->name,
                                    r.latency_ns);
    }
    CpEntryPeers_SendUsage(e, s->service, s->choice.instance);
}

static void
log_not_admitted(const CpRequest *rq, const RequestState *s,
                 const CpFleetRoom *room, const CpContentionDecision *d)
{
    CpEvent(CP_EVENT_REFUSED, "not_admitted",
            "s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i",
            "request", rq->id, "reason", CpReason_Name(d->reason), "service",
            s->service, "org", s->org != NULL ? s->org->name : "", "rank",
            (int)s->rank, "load_milli", (int)room->load_milli, "servers_seen",
            (int)room->server_count, "slots", (int)room->slots,
            "rank_share_milli", (int)d->rank_share_milli, "org_share_milli",
            (int)d->org_share_milli, "share_milli", (int)d->share_milli,
            "rank_rate_milli", (int)d->rank_rate_milli, "org_rate_milli",
            (int)d->org_rate_milli, "elapsed_ms", (int)d->elapsed_ms,
            "typical_ms", (int)d->typical_ms, "retry_after_ms",
            (int)d->retry_after_ms);
}

/* Counts a denial and logs what this host knows of its copy of the operator's
 * table: the versions that were read and that another host has read, and how
 * long ago the copy was the newest one; -1: never. */
static void
note_denial(CpEntry *e, const CpRequest *rq, const CpRoutes *r,
            CpDenial denial)
{
    CpEntryFollower *f = &e->followers[CP_TABLE_OPERATOR];
    int64_t age_ns = CpFreshness_Age_ns(e->freshness, CpClock_Now_ns());
    char target[TARGET_LOG_BYTES];
    CpStr_Copy(target, sizeof(target), rq->target);
    target[strcspn(target, "?")] = '\0';
    CpCounter_AddDenial(denial);
    CpEvent(CP_EVENT_DENIED, CpDenial_Name(denial),
            "s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b", "request", rq->id, "hostname",
            rq->host, "target", target, "routes_version",
            (json_int_t)r->version, "read_version",
            (json_int_t)CpEntryFollow_Get(f, &f->read).version, "peer_version",
            (json_int_t)CpEntryFollow_Get(f, &f->peer).version,
            "confirmed_ms_ago",
            (json_int_t)(age_ns < 0 ? -1 : age_ns / CP_NS_PER_MS),
            "store_reachable", (int)CpEntryFollow_IsStoreReachable(e));
}

static void
log_attempt(const CpRequest *rq, const RequestState *s)
{
    json_t *percent = NULL, *goal_share = NULL; /* fields are left out */
    if (s->choice.work_percent > 0) {
        percent = json_integer(s->choice.work_percent);
        goal_share = json_integer(s->choice.goal_share_milli);
    }
    CpEvent(CP_EVENT_ATTEMPT, "sent",
            "s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:i,s:I,s:I,s:O*,s:O*",
            "request", rq->id, "object", rq->object, "route", s->route->name,
            "service", s->service, "instance", s->choice.instance, "place",
            (int)s->choice.placement, "near", (int)s->choice.locality,
            "wait_ms", (int)s->choice.wait_ms, "expected_ms",
            (int)s->choice.expected_ms, "load_age_ms",
            s->choice.load_age_ms == UINT32_MAX
                ? (json_int_t)-1
                : (json_int_t)s->choice.load_age_ms,
            "entry_age_ms", (int)s->choice.entry_age_ms, "routes_version",
            (json_int_t)s->routes->version, "routes_age_ms",
            (json_int_t)s->routes_age_ms, "work_percent", percent,
            "goal_share_milli", goal_share);
    json_decref(percent);
    json_decref(goal_share);
}

/* Logs a response that was not one whole response, and one that other bytes
 * followed. */
static void
log_flaw(const CpRequest *rq, const RequestState *s, const CpAttemptResult *a)
{
    if (a->flaw != CP_FLAW_NONE || a->following_bytes > 0) {
        CpEvent(CP_EVENT_RETRY, "flawed", "s:s,s:s,s:s,s:s,s:i,s:I,s:b,s:i",
                "request", rq->id, "instance", s->choice.instance, "flaw",
                CpFlaw_Name(a->flaw), "end", CpAttemptOutcome_Name(a->outcome),
                "status", (int)a->status, "body_bytes",
                (json_int_t)a->response_bytes, "reused", (int)a->reused,
                "followed_by", (int)a->following_bytes);
    }
}

static bool
withdraw_retry(CpEntry *e, int64_t now_ns)
{
    pthread_mutex_lock(&e->retry_budget_lock);
    update_retry_share(e);
    bool granted = CpRetryBudget_TryWithdraw(&e->retry_budget, now_ns);
    pthread_mutex_unlock(&e->retry_budget_lock);
    return granted;
}

static void
refund_retry(CpEntry *e)
{
    pthread_mutex_lock(&e->retry_budget_lock);
    CpRetryBudget_Refund(&e->retry_budget);
    pthread_mutex_unlock(&e->retry_budget_lock);
}

static void
deposit_retry(CpEntry *e, int64_t now_ns)
{
    pthread_mutex_lock(&e->retry_budget_lock);
    update_retry_share(e);
    CpRetryBudget_Deposit(&e->retry_budget, now_ns);
    pthread_mutex_unlock(&e->retry_budget_lock);
}

/* Updates this host's share of the retry budget: the number of hosts and the
 * settings may have changed. */
static void
update_retry_share(CpEntry *e)
{
    CpRetryBudget *b = &e->retry_budget;
    b->percent = e->settings.retry_percent;
    b->window_ns = e->settings.retry_window_s * CP_NS_PER_S;
    CpRetryBudget_SetShare(b, e->settings.retry_burst, CpEntryHosts_Count(e));
}
