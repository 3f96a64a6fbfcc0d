/* Path of a request: request limit, choice of a host, retries. */
#include <string.h>

#include "host/host_int.h"

#define MAX_ATTEMPTS 3
/* Each host holds a part of its domain's shift cap, so a second one may admit
 * what the first refused: two hosts in each of two domains are tried before
 * the request goes to the domain of its origin. */
#define MAX_SHIFT_REFUSALS 4

static CpReason check_request_limit(CpNode *n, const CpExchange *ex);
static void fail_request(CpNode *n, CpExchange *ex, CpReason reason);
static bool may_retry(CpNode *n, CpExchange *ex, CpVerdict verdict,
                      CpReason reason);
static bool refused_locally(CpNode *n, const CpExchange *ex, CpReason reason);
static uint32_t choose_host(CpNode *n, const CpView *v, CpExchange *ex);

/* Percentage of max_requests up to which a rank is accepted. */
static const uint32_t rank_limit_percent[CP_RANK_COUNT] = {100, 75, 50};

/* Reasons after which another host may succeed. */
static const bool is_retryable[CP_REASON_COUNT] = {
    [CP_REASON_QUEUE_FULL] = true,
    [CP_REASON_WOULD_MISS_DEADLINE] = true,
    [CP_REASON_NO_SERVER] = true,
    [CP_REASON_SHIFT_CAP] = true,
    [CP_REASON_HOST_BUSY] = true,
    [CP_REASON_HOST_LEAVING] = true,
    [CP_REASON_CONNECT_FAILED] = true,
    [CP_REASON_SERVER_REFUSED] = true,
    [CP_REASON_SERVER_FAILED] = true,
    [CP_REASON_ANSWER_CROSSED] = true,
    [CP_REASON_SESSION_LOST] = true,
    [CP_REASON_NOT_CONFIGURED] = true,
    [CP_REASON_ANSWER_TRUNCATED] = true,
    [CP_REASON_NOT_CURRENT] = true,
};

void
CpDispatch_Submit(void *ctx, CpExchange *ex)
{
    CpNode *n = ctx;
    CpReason reason = check_request_limit(n, ex);
    if (reason != CP_REASON_NONE) {
        CpExchange_Fail(ex, CP_NOT_RUN, reason);
        CpDispatch_End(n, ex);
        return;
    }
    pthread_mutex_lock(&n->retry_budget_lock);
    CpRetryBudget_Deposit(&n->retry_budget, CpClock_Now_ns());
    pthread_mutex_unlock(&n->retry_budget_lock);
    if (ex->idempotent) {
        CpDispatch_Send(n, ex);
    }
    else {
        CpOnce_Submit(n, ex);
    }
}

void
CpDispatch_Send(CpNode *n, CpExchange *ex)
{
    CpView *v = CpView_Retain(n);
    if (v == NULL) {
        fail_request(n, ex, CP_REASON_NOT_CONFIGURED);
        return;
    }
    uint32_t host = choose_host(n, v, ex);
    ex->attempts++;
    if (host == CP_NO_INDEX) {
        fail_request(n, ex, CP_REASON_NO_HOST);
    }
    else {
        if (ex->tried_host_count < CP_MAX_TRIED_HOSTS) {
            ex->tried_hosts[ex->tried_host_count++] = host;
        }
        if (host == v->generation->self) {
            CpPool_Submit(n, ex);
        }
        else {
            CpCounter_Add(CP_COUNT_FORWARDED, 1);
            CpStream_Send(n, ex, host, &v->generation->config->hosts[host],
                          CP_FORWARD_ADMIT);
        }
    }
    CpView_Release(v);
}

void
CpDispatch_OnAttemptFailed(CpNode *n, CpExchange *ex, CpVerdict verdict,
                           CpReason reason)
{
    if (verdict != CP_NOT_RUN) {
        ex->ran_verdict = verdict;
        ex->ran_reason = reason;
    }
    if (may_retry(n, ex, verdict, reason)) {
        CpCounter_Add(CP_COUNT_RETRIES, 1);
        CpDispatch_Send(n, ex);
        return;
    }
    fail_request(n, ex, reason);
}

void
CpDispatch_End(CpNode *n, CpExchange *ex)
{
    (void)n;
    if (ex->request_body != NULL) { /* nobody reads the rest of it */
        CpPipe_End(ex->request_body, CP_PIPE_BROKEN);
    }
    CpExchange_Release(ex);
}

/* Fails a request whose last attempt was not run, or may have run, for
 * `reason`. "Not run" is true only if no earlier attempt may have run. */
static void
fail_request(CpNode *n, CpExchange *ex, CpReason reason)
{
    bool not_run = ex->ran_verdict == CP_NOT_RUN;
    CpExchange_Fail(ex, ex->ran_verdict, not_run ? reason : ex->ran_reason);
    CpDispatch_End(n, ex);
}

/* Reserves part of this host's request limit for the more urgent ranks. */
static CpReason
check_request_limit(CpNode *n, const CpExchange *ex)
{
    uint32_t active = CpFront_CountActive(n->front);
    uint32_t limit =
        n->settings.max_requests * rank_limit_percent[ex->rank] / 100;
    return active > limit ? CP_REASON_HOST_BUSY : CP_REASON_NONE;
}

/* Allows a retry only if the request cannot have run or is idempotent. */
static bool
may_retry(CpNode *n, CpExchange *ex, CpVerdict verdict, CpReason reason)
{
    if (ex->from_peer || ex->attempts >= MAX_ATTEMPTS + ex->shift_refusals ||
        ex->request_body != NULL || !is_retryable[reason] ||
        CpExchange_HasHead(ex) || CpClock_Now_ns() >= ex->deadline_ns) {
        return false;
    }
    if (verdict != CP_NOT_RUN && !ex->idempotent) {
        return false;
    }
    if (reason == CP_REASON_SHIFT_CAP) {
        /* Spends no retry budget: it was refused before any work. */
        return ++ex->shift_refusals <= MAX_SHIFT_REFUSALS;
    }
    if (reason == CP_REASON_NOT_CURRENT || refused_locally(n, ex, reason)) {
        return true; /* no server, or no other host, received this attempt */
    }
    pthread_mutex_lock(&n->retry_budget_lock);
    bool allowed =
        CpRetryBudget_TryWithdraw(&n->retry_budget, CpClock_Now_ns());
    pthread_mutex_unlock(&n->retry_budget_lock);
    if (!allowed) {
        CpCounter_Add(CP_COUNT_RETRY_BUDGET_EMPTY, 1);
    }
    return allowed;
}

/* Returns true if this host itself had no server for the last attempt, so
 * that the attempt was sent nowhere. */
static bool
refused_locally(CpNode *n, const CpExchange *ex, CpReason reason)
{
    CpView *v = CpView_Retain(n);
    bool local =
        reason == CP_REASON_NO_SERVER && ex->tried_host_count > 0 &&
        v != NULL &&
        ex->tried_hosts[ex->tried_host_count - 1] == v->generation->self;
    CpView_Release(v);
    return local;
}

static uint32_t
choose_host(CpNode *n, const CpView *v, CpExchange *ex)
{
    const CpGeneration *g = v->generation;
    const CpSteerHost *hosts = v->hosts;
    CpSteerRequest request = {.domain_index = g->self_domain,
                              .pool_index = ex->pool_index,
                              .tried = ex->tried_hosts,
                              .tried_count = ex->tried_host_count,
                              .inflight = n->forwarded_inflight,
                              .load_hints = n->load_hints,
                              .now_ns = CpClock_Now_ns(),
                              .only_domain = CP_NO_INDEX,
                              .excluded_domain = CP_NO_INDEX,
                              .random = CpRandom()};
    if (g->self_domain == CP_NO_INDEX) {
        return CP_NO_INDEX;
    }
    if (ex->shift_refusals == 1) { /* another domain may accept it */
        request.excluded_domain =
            g->config->hosts[ex->tried_hosts[0]].domain_index;
    }
    if (ex->shift_refusals == MAX_SHIFT_REFUSALS) { /* origin: not foreign */
        request.only_domain = CpConfig_FindDomain(g->config, ex->origin);
        request.allow_drained = true;
    }
    uint32_t host = CpSteer_ChooseHost(g->topology, hosts, &request);
    if (host == CP_NO_INDEX) {
        request.allow_drained = true;
        host = CpSteer_ChooseHost(g->topology, hosts, &request);
    }
    if (host == CP_NO_INDEX && !CpSteer_WasTried(&request, g->self)) {
        host = g->self; /* its servers may accept requests again in time */
    }
    return host;
}
