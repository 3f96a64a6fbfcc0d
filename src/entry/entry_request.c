/*
 * What becomes of a request: its route and service, the server that gets it,
 * whether it may be tried again, and the answer where no server gives one.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"

#define LEAST_LEFT_MS 20 /* a send with less time than this is pointless */
/* A request that may be repeated is given up at a server that is silent for
 * this many times what was expected, at least for two latency goals, where
 * half of its time is left for another one. */
#define SILENT_FACTOR 4
#define SILENT_GOALS 2
/* Servers that did not run a request do not count as its attempts. */
#define MAX_NOT_RUN 3

/* The policy's state of one request. */
typedef struct {
    CpRoutes *routes; /* kept until the request ends */
    const CpRoute *route;
    const char *service;
    int64_t deadline_ns;
    int64_t goal_ns;
    int64_t routes_age_ms;
    uint32_t sent;    /* servers that were sent the request */
    uint32_t not_run; /* that could not be reached, or refused */
    bool may_have_run;
    bool was_silent; /* a server: from now on late is better than never */
    bool paid;       /* for the next repeat */
    bool has_next;   /* its server is chosen already */
    CpFleetPick next;
    uint32_t tried_count;
    char tried[CP_FLEET_MAX_TRIED][CP_NAME_BYTES];
    char *broke;      /* of those tried, the last whose answer broke off */
    CpFleetPick pick; /* of the attempt under way */
} State;

static void begin(void *ctx, CpRequest *rq, CpStep *out);
static void ended(void *ctx, CpRequest *rq, const CpAttempt *a, CpStep *out);
static bool pass_on(void *ctx, const CpRequest *rq, const CpAttempt *head);
static void passed(void *ctx, CpRequest *rq, const CpAttempt *a);
static bool give_up(void *ctx, CpRequest *rq);
static void abandoned(void *ctx, CpRequest *rq, CpAttemptEnd end,
                      int64_t latency_ns);
static void finished(void *ctx, CpRequest *rq, const CpFinish *f);
static void limits(void *ctx, CpRouteLimits *out);
static void place(CpEntry *e, CpRequest *rq, State *s, CpStep *out);
static int64_t attempt_deadline_ns(const State *s, int64_t now_ns);
static CpReason choose(CpEntry *e, const CpRequest *rq, const State *s,
                       int64_t now_ns, CpFleetPick *out);
static void retry(CpEntry *e, CpRequest *rq, State *s, const CpAttempt *a,
                  CpStep *out);
static bool may_pass_on(const CpAttempt *a);
static void fail(const State *s, CpReason reason, uint32_t retry_after_ms,
                 CpStep *out);
static void report(CpEntry *e, const State *s, CpAttemptEnd end,
                   const CpAttempt *a, int64_t latency_ns);
static void log_attempt(const CpRequest *rq, const State *s);
static bool spend_repeat(CpEntry *e, int64_t now_ns);
static void return_repeat(CpEntry *e);
static void earn_repeat(CpEntry *e, int64_t now_ns);
static void share_budget(CpEntry *e);

void
CpEntryRequest_InitPolicy(CpEntry *e, CpProxyPolicy *out)
{
    *out = (CpProxyPolicy){.begin = begin,
                           .ended = ended,
                           .pass_on = pass_on,
                           .passed = passed,
                           .give_up = give_up,
                           .abandoned = abandoned,
                           .finished = finished,
                           .limits = limits,
                           .ctx = e};
}

static void
begin(void *ctx, CpRequest *rq, CpStep *out)
{
    CpEntry *e = ctx;
    State *s = CpMem_Alloc(sizeof(*s));
    int64_t now_ns = CpClock_Now_ns(), since_ns;
    rq->memory = s;
    s->routes = CpEntry_RetainRoutes(e, &since_ns);
    if (s->routes == NULL) {
        fail(s, CP_REASON_NOT_CONFIGURED, 500, out);
        return;
    }
    s->routes_age_ms = (now_ns - since_ns) / CP_NS_PER_MS;
    s->route = CpRoutes_Match(s->routes, rq->host, rq->target);
    if (s->route == NULL) {
        fail(s, CP_REASON_NO_ROUTE, 0, out);
        return;
    }
    uint32_t limit_ms = s->route->timeout_ms;
    if (rq->timeout_ms > 0 && rq->timeout_ms < limit_ms) {
        limit_ms = rq->timeout_ms;
    }
    s->deadline_ns = rq->started_ns + limit_ms * CP_NS_PER_MS;
    s->goal_ns = rq->started_ns + s->route->goal_ms * CP_NS_PER_MS;
    s->service = CpRoutes_Split(s->routes, s->route);
    earn_repeat(e, now_ns);
    place(e, rq, s, out);
}

static void
ended(void *ctx, CpRequest *rq, const CpAttempt *a, CpStep *out)
{
    CpEntry *e = ctx;
    State *s = rq->memory;
    report(e, s, a->end, a, a->latency_ns);
    if (a->verdict == CP_NOT_RUN) {
        s->not_run++;
        s->sent--;
    }
    else {
        s->may_have_run = true;
    }
    if (a->end == CP_ATTEMPT_TIMED_OUT) {
        s->was_silent = true;
    }
    if (a->end == CP_ATTEMPT_BROKEN && s->tried_count > 0) {
        s->broke = s->tried[s->tried_count - 1];
    }
    if (a->end == CP_ATTEMPT_ANSWERED && may_pass_on(a)) {
        out->type = CP_STEP_ANSWER;
        return;
    }
    retry(e, rq, s, a, out);
}

/* A failure may be tried again elsewhere, so it is read to its end first. */
static bool
pass_on(void *ctx, const CpRequest *rq, const CpAttempt *head)
{
    (void)ctx, (void)rq;
    return head->end == CP_ATTEMPT_ANSWERED && head->status < 300 &&
           may_pass_on(head);
}

static void
passed(void *ctx, CpRequest *rq, const CpAttempt *a)
{
    State *s = rq->memory;
    s->may_have_run = true;
    report(ctx, s, a->end, a, a->latency_ns);
}

/* Only where another try is paid for and has a server; otherwise the answer
 * may still come. A host that leaves waits for what its servers work on. */
static bool
give_up(void *ctx, CpRequest *rq)
{
    CpEntry *e = ctx;
    State *s = rq->memory;
    int64_t now_ns = CpClock_Now_ns();
    if (CpAtomic_Load(&e->leaving) || !spend_repeat(e, now_ns)) {
        return false;
    }
    /* its goal has passed, so that only a server with a free slot is chosen */
    s->has_next = choose(e, rq, s, now_ns, &s->next) == CP_REASON_NONE;
    s->paid = s->has_next;
    if (!s->has_next) {
        return_repeat(e);
    }
    return s->has_next;
}

static void
abandoned(void *ctx, CpRequest *rq, CpAttemptEnd end, int64_t latency_ns)
{
    CpEntry *e = ctx;
    State *s = rq->memory;
    if (s != NULL && s->pick.instance[0] != '\0') {
        s->may_have_run = true; /* as far as is known here */
        report(e, s, end, NULL, latency_ns);
    }
}

static void
finished(void *ctx, CpRequest *rq, const CpFinish *f)
{
    State *s = rq->memory;
    (void)ctx;
    uint32_t rank = s != NULL && s->route != NULL ? s->route->rank : 0;
    const char *route = s != NULL && s->route != NULL ? s->route->name : "";
    if (f->answered) {
        CpCounter_Add(CP_COUNT_ANSWERED, 1);
        CpCounter_AddLatency(rank, f->latency_ns);
        CpEvent(CP_EVENT_ANSWERED, "answered", "s:s,s:s,s:i,s:I,s:i",
                "request", rq->id, "route", route, "status", (int)f->status,
                "took_ms", (json_int_t)(f->latency_ns / CP_NS_PER_MS),
                "attempts", (int)(s != NULL ? s->sent : 0));
    }
    else {
        CpCounter_AddReason(f->reason, rank);
        CpEvent(f->status == 503 || f->status == 404 ? CP_EVENT_REFUSED
                                                     : CP_EVENT_FAILED,
                "ended", "s:s,s:s,s:s,s:i,s:I,s:i,s:i,s:b", "request", rq->id,
                "route", route, "reason", CpReason_Name(f->reason), "status",
                (int)f->status, "took_ms",
                (json_int_t)(f->latency_ns / CP_NS_PER_MS), "attempts",
                (int)(s != NULL ? s->sent : 0), "retry_after_ms",
                (int)f->retry_after_ms, "may_have_run",
                (int)(s != NULL && s->may_have_run));
    }
    if (s != NULL) {
        CpRoutes_Release(s->routes);
    }
}

static void
limits(void *ctx, CpRouteLimits *out)
{
    CpRoutes *r = CpEntry_RetainRoutes(ctx, NULL);
    *out = r != NULL ? r->limits : (CpRouteLimits){0};
    if (out->max_body_bytes == 0) { /* not told: the request decides */
        out->max_body_bytes = UINT32_MAX;
    }
    CpRoutes_Release(r);
}

static void
place(CpEntry *e, CpRequest *rq, State *s, CpStep *out)
{
    int64_t now_ns = CpClock_Now_ns();
    int64_t left_ms = (s->deadline_ns - now_ns) / CP_NS_PER_MS;
    int64_t goal_ms = (s->goal_ns - now_ns) / CP_NS_PER_MS;
    if (left_ms < LEAST_LEFT_MS) {
        fail(s, CP_REASON_WOULD_MISS_DEADLINE, 0, out);
        return;
    }
    CpReason reason = CP_REASON_NONE;
    if (s->has_next) {
        s->pick = s->next;
        s->has_next = false;
    }
    else {
        reason = choose(e, rq, s, now_ns, &s->pick);
    }
    if (reason == CP_REASON_NO_SERVER && s->broke != NULL) {
        s->broke[0] = '\0'; /* none but the one whose answer broke off */
        s->broke = NULL;
        reason = choose(e, rq, s, now_ns, &s->pick);
    }
    if (reason != CP_REASON_NONE) {
        CpEvent(CP_EVENT_REFUSED, "not_placed",
                "s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:i,s:i,s:i,s:I", "request",
                rq->id, "reason", CpReason_Name(reason), "service", s->service,
                "object", rq->object, "goal_left_ms", (json_int_t)goal_ms,
                "left_ms", (json_int_t)left_ms, "wait_ms",
                (int)s->pick.wait_ms, "expected_ms", (int)s->pick.expected_ms,
                "usable", (int)CpFleet_Usable(e->fleet, s->service, now_ns),
                "retry_after_ms", (int)s->pick.retry_after_ms,
                "routes_version", (json_int_t)s->routes->version);
        fail(s, reason, s->pick.retry_after_ms, out);
        s->pick.instance[0] = '\0';
        return;
    }
    if (s->tried_count < CP_FLEET_MAX_TRIED) {
        CpStr_Copy(s->tried[s->tried_count++], CP_NAME_BYTES,
                   s->pick.instance);
    }
    s->sent++;
    CpEntryPeers_SendUsage(e, s->service, s->pick.instance);
    CpCounter_Add(CP_COUNT_DISPATCHED, 1);
    log_attempt(rq, s);
    out->type = CP_STEP_SEND;
    CpStr_Copy(out->address, sizeof(out->address), s->pick.address);
    CpStr_Copy(out->instance, sizeof(out->instance), s->pick.instance);
    out->idempotent = s->route->idempotent;
    out->deadline_ns = s->deadline_ns;
    out->attempt_deadline_ns = attempt_deadline_ns(s, now_ns);
}

static int64_t
attempt_deadline_ns(const State *s, int64_t now_ns)
{
    int64_t limit_ms = (int64_t)s->pick.expected_ms * SILENT_FACTOR;
    int64_t least_ms = (int64_t)s->route->goal_ms * SILENT_GOALS;
    limit_ms = limit_ms > least_ms ? limit_ms : least_ms;
    int64_t end_ns = now_ns + limit_ms * CP_NS_PER_MS;
    bool again = s->route->idempotent && s->sent < s->route->max_attempts &&
                 s->deadline_ns - end_ns >= (s->deadline_ns - now_ns) / 2;
    return again ? end_ns : 0;
}

/* A server for the request as it stands now; it counts as sent to it. */
static CpReason
choose(CpEntry *e, const CpRequest *rq, const State *s, int64_t now_ns,
       CpFleetPick *out)
{
    int64_t left_ms = (s->deadline_ns - now_ns) / CP_NS_PER_MS;
    int64_t goal_ms = (s->goal_ns - now_ns) / CP_NS_PER_MS;
    CpFleetAsk ask = {.service = s->service,
                      .object = s->route->affinity && rq->object[0] != '\0'
                                    ? rq->object
                                    : NULL,
                      .goal_left_ms = s->was_silent ? (uint32_t)left_ms
                                      : goal_ms > 0 ? (uint32_t)goal_ms
                                                    : 0,
                      .deadline_left_ms = (uint32_t)left_ms,
                      .tried_count = s->tried_count,
                      .home_count = s->route->home_count,
                      .homes = s->route->homes,
                      .random = CpRandom()};
    for (uint32_t i = 0; i < s->tried_count; i++) {
        ask.tried[i] = s->tried[i];
    }
    return CpFleet_Choose(e->fleet, &ask, now_ns, out);
}

/* Another server, where the route allows it: any request that did not run,
 * and idempotent ones. Otherwise the caller is told. */
static void
retry(CpEntry *e, CpRequest *rq, State *s, const CpAttempt *a, CpStep *out)
{
    bool not_sent = a->end == CP_ATTEMPT_UNREACHABLE;
    bool safe = a->verdict == CP_NOT_RUN || s->route->idempotent;
    bool capacity =
        s->not_run <= MAX_NOT_RUN && s->sent < s->route->max_attempts;
    bool paid = safe && capacity &&
                (not_sent || s->paid || spend_repeat(e, CpClock_Now_ns()));
    s->paid = false;
    const char *why = !safe       ? "may_have_run"
                      : !capacity ? "no_attempts_left"
                      : !paid     ? "no_budget"
                                  : "tried_again";
    CpEvent(CP_EVENT_RETRY, why, "s:s,s:s,s:s,s:s,s:i,s:i,s:I", "request",
            rq->id, "instance", s->pick.instance, "end",
            CpAttemptEnd_Name(a->end), "verdict", CpVerdict_Name(a->verdict),
            "status", (int)a->status, "attempts", (int)s->sent, "took_ms",
            (json_int_t)(a->latency_ns / CP_NS_PER_MS));
    if (paid) {
        CpCounter_Add(CP_COUNT_RETRIES, 1);
        place(e, rq, s, out);
        if (out->type == CP_STEP_SEND) {
            return;
        }
    }
    else if (safe && capacity) {
        CpCounter_Add(CP_COUNT_RETRY_BUDGET_EMPTY, 1);
    }
    if (a->end == CP_ATTEMPT_SERVER_ERROR && may_pass_on(a)) {
        out->type = CP_STEP_ANSWER; /* the server's own failure */
        return;
    }
    if (!paid) {
        fail(s, a->reason, 0, out);
    }
}

/* Statuses that promise "not run" are ours to give, where it is true. */
static bool
may_pass_on(const CpAttempt *a)
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

/* "Not run" is said only where no attempt may have run. */
static void
fail(const State *s, CpReason reason, uint32_t retry_after_ms, CpStep *out)
{
    *out = (CpStep){.type = CP_STEP_FAIL,
                    .reason = reason,
                    .status = CpReason_HttpStatus(reason),
                    .retry_after_ms = retry_after_ms};
    if (s->may_have_run && out->status == 503) {
        out->status = 502;
    }
    if (out->status == 503 && retry_after_ms == 0) {
        out->retry_after_ms = CpReason_RetryAfter_s(reason) * 200;
    }
}

static void
report(CpEntry *e, const State *s, CpAttemptEnd end, const CpAttempt *a,
       int64_t latency_ns)
{
    CpFleetReport r = {.service = s->service,
                       .instance = s->pick.instance,
                       .end = end,
                       .latency_ns = latency_ns};
    if (a != NULL) {
        r.has_load = a->has_load;
        r.load = a->load;
        r.warmup_left_ms = a->warmup_left_ms;
        r.answer_bytes = a->answer_bytes;
    }
    CpFleet_Ended(e->fleet, &r, CpClock_Now_ns());
    CpEntryPeers_SendUsage(e, s->service, s->pick.instance);
}

static void
log_attempt(const CpRequest *rq, const State *s)
{
    CpEvent(
        CP_EVENT_ATTEMPT, "sent",
        "s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:I,s:I", "request", rq->id,
        "object", rq->object, "route", s->route->name, "service", s->service,
        "instance", s->pick.instance, "place", (int)s->pick.place, "near",
        (int)s->pick.nearness, "wait_ms", (int)s->pick.wait_ms, "expected_ms",
        (int)s->pick.expected_ms, "load_age_ms",
        s->pick.load_age_ms == UINT32_MAX ? (json_int_t)-1
                                          : (json_int_t)s->pick.load_age_ms,
        "entry_age_ms", (int)s->pick.entry_age_ms, "routes_version",
        (json_int_t)s->routes->version, "routes_age_ms",
        (json_int_t)s->routes_age_ms);
}

static bool
spend_repeat(CpEntry *e, int64_t now_ns)
{
    pthread_mutex_lock(&e->retry_budget_lock);
    share_budget(e);
    bool may = CpRetry_Spend(&e->retry_budget, now_ns);
    pthread_mutex_unlock(&e->retry_budget_lock);
    return may;
}

static void
return_repeat(CpEntry *e)
{
    pthread_mutex_lock(&e->retry_budget_lock);
    CpRetry_Return(&e->retry_budget);
    pthread_mutex_unlock(&e->retry_budget_lock);
}

static void
earn_repeat(CpEntry *e, int64_t now_ns)
{
    pthread_mutex_lock(&e->retry_budget_lock);
    share_budget(e);
    CpRetry_Earn(&e->retry_budget, now_ns);
    pthread_mutex_unlock(&e->retry_budget_lock);
}

/* Hosts come and go, and settings change. */
static void
share_budget(CpEntry *e)
{
    CpRetryBudget *b = &e->retry_budget;
    b->percent = e->settings.retry_percent;
    b->window_ns = e->settings.retry_window_s * CP_NS_PER_S;
    CpRetry_SetShare(b, e->settings.retry_burst, CpEntryHosts_Count(e));
}
