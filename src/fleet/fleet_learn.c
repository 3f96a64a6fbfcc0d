/* Updates the state of a server when an attempt ends. */
#include <math.h>
#include <string.h>

#include "fleet/fleet_int.h"

#define AVERAGE_SHIFT 3 /* a new value has a weight of an eighth */
/* Limits the effect of one timeout, which has to decay within seconds. */
#define MAX_SLOWNESS_MILLI 32000
#define WORK_CLAMP_FACTOR 4  /* about the ratio of uncached to cached work */
#define EJECTION_MIN_MS 200  /* a restart takes longer than a lost packet */
#define EJECTION_MAX_SHIFT 4 /* 3.2 s: a recovered server is soon found */
#define EJECTION_FAILURES 3  /* lost responses in a row; one may be chance */
/* Of counted outcomes: a server that recovered is told within seconds. */
#define OUTCOME_HALF_LIFE_NS (2 * CP_NS_PER_S)
#define ASSUMED_SUCCESSES 10

static const char *const outcome_names[CP_ATTEMPT_COUNT] = {
    [CP_ATTEMPT_ANSWERED] = "answered",
    [CP_ATTEMPT_SERVER_ERROR] = "server_error",
    [CP_ATTEMPT_REFUSED] = "refused",
    [CP_ATTEMPT_WRONG_SERVER] = "wrong_server",
    [CP_ATTEMPT_UNREACHABLE] = "unreachable",
    [CP_ATTEMPT_BROKEN] = "broken",
    [CP_ATTEMPT_TIMED_OUT] = "timed_out",
    [CP_ATTEMPT_CANCELLED] = "cancelled",
};

static void record_load(CpFleetService *s, CpFleetServer *server,
                        const CpFleetAttemptResult *r, int64_t now_ns);
static void record_typical_load(CpFleetService *s, const CpFleetServer *server,
                                uint32_t inflight, bool refused,
                                int64_t now_ns);
static void record_work_time(const CpFleet *f, CpFleetService *s,
                             CpFleetServer *server,
                             const CpFleetAttemptResult *r, int64_t now_ns);
static uint32_t clamp_work_us(uint32_t average_us, uint32_t work_us);
static void record_failure(const CpFleet *f, CpFleetService *s,
                           CpFleetServer *server,
                           const CpFleetAttemptResult *r, int64_t now_ns);
static bool may_be_slow(const CpFleetService *s, const CpFleetAttemptResult *r,
                        int64_t now_ns);
static void count_outcome(CpFleetOutcomes *o, bool failed, int64_t now_ns);
static double outcome_weight(const CpFleetOutcomes *o, int64_t now_ns);
static void eject(const CpFleet *f, CpFleetService *s, CpFleetServer *server,
                  bool was_unreachable, int64_t now_ns);
static void set_leaving(CpFleet *f, CpFleetService *s, CpFleetServer *server,
                        int64_t now_ns);
static void pause_server(CpFleet *f, CpFleetServer *server, uint32_t pause_ms,
                         int64_t now_ns);
static void report_change(const CpFleet *f, const CpFleetServer *server,
                          const char *change, uint32_t ms);
static uint32_t moving_average(uint32_t old, uint32_t value);
static uint32_t weighted_mean(uint32_t old, uint32_t value);

const char *
CpAttemptOutcome_Name(CpAttemptOutcome outcome)
{
    return outcome_names[outcome];
}

void
CpFleet_EndAttempt(CpFleet *f, const CpFleetAttemptResult *r, int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, r->service, &s);
    CpFleetServer *server = CpFleet_FindServer(s, r->instance);
    if (server != NULL) {
        if (server->inflight > 0) {
            server->inflight--;
        }
        record_work_time(f, s, server, r, now_ns);
        record_load(s, server, r, now_ns);
        if (r->has_load) {
            CpFleet_RecordSpeed(s, server, r->load.work_percent, 0, now_ns);
        }
        record_failure(f, s, server, r, now_ns);
        if (r->outcome == CP_ATTEMPT_UNREACHABLE ||
            (r->outcome == CP_ATTEMPT_BROKEN && !r->unsolicited &&
             server->consecutive_failures >= EJECTION_FAILURES)) {
            eject(f, s, server, r->outcome == CP_ATTEMPT_UNREACHABLE, now_ns);
        }
        if (r->warmup_left_ms > 0) {
            server->cold_until_ns = now_ns + r->warmup_left_ms * CP_NS_PER_MS;
            server->cold_after_ejection = false;
        }
        else if (server->cold_after_ejection &&
                 r->outcome == CP_ATTEMPT_ANSWERED) {
            server->cold_until_ns = now_ns; /* it had not been restarted */
            server->cold_after_ejection = false;
        }
        if (r->outcome == CP_ATTEMPT_ANSWERED &&
            now_ns - r->latency_ns >= server->ejected_ns &&
            now_ns < server->ejected_until_ns) {
            server->ejected_until_ns = now_ns; /* it was in use nevertheless */
        }
        if (r->leaving) {
            set_leaving(f, s, server, now_ns);
        }
        if (r->pause_ms > 0) {
            pause_server(f, server, r->pause_ms, now_ns);
        }
    }
    pthread_mutex_unlock(&shard->lock);
}

void
CpFleet_SetLeaving(CpFleet *f, const char *service, const char *instance,
                   int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, service, &s);
    CpFleetServer *server = CpFleet_FindServer(s, instance);
    if (server != NULL) {
        set_leaving(f, s, server, now_ns);
    }
    pthread_mutex_unlock(&shard->lock);
}

static void
set_leaving(CpFleet *f, CpFleetService *s, CpFleetServer *server,
            int64_t now_ns)
{
    if (server->leaving) {
        return;
    }
    server->leaving = true;
    CpFleet_InvalidateLayout(s);
    CpFleet_RecordNote(f, server, now_ns);
    report_change(f, server, "leaving", 0);
}

/* The latest answer counts, except that a shorter pause does not end a longer
 * one: both were asked for. */
static void
pause_server(CpFleet *f, CpFleetServer *server, uint32_t pause_ms,
             int64_t now_ns)
{
    int64_t until_ns = now_ns + pause_ms * CP_NS_PER_MS;
    if (until_ns > server->paused_until_ns) {
        server->paused_until_ns = until_ns;
        CpFleet_RecordNote(f, server, now_ns);
        report_change(f, server, "paused", pause_ms);
    }
}

/* The reported load includes this host's own requests. */
static void
record_load(CpFleetService *s, CpFleetServer *server,
            const CpFleetAttemptResult *r, int64_t now_ns)
{
    uint32_t others_inflight;
    if (r->outcome == CP_ATTEMPT_REFUSED && !r->has_load) {
        /* full: all slots and part of the queue are taken */
        others_inflight = 2 * server->entry.slots;
        record_typical_load(s, server, others_inflight, true, now_ns);
    }
    else if (r->has_load) {
        uint32_t inflight = r->load.running + r->load.waiting;
        others_inflight =
            inflight > server->inflight ? inflight - server->inflight : 0;
        record_typical_load(s, server, inflight, false, now_ns);
    }
    else {
        return;
    }
    server->others_inflight_milli =
        (server->others_inflight_milli + others_inflight * 1000) / 2;
    server->load_report_ns = now_ns;
}

/* A refusal shows that this server is full. About the others it shows only
 * that the load has risen, so it may raise an average but does not start one.
 */
static void
record_typical_load(CpFleetService *s, const CpFleetServer *server,
                    uint32_t inflight, bool refused, int64_t now_ns)
{
    uint32_t slots = server->entry.slots > 0 ? server->entry.slots : 1;
    uint32_t load_milli = inflight * 1000 / slots;
    CpFleetTypicalLoad *loads[] = {&s->typical_loads[server->domain_index],
                                   &s->typical_load_all};
    for (uint32_t i = 0; i < 2; i++) {
        bool first = loads[i]->last_report_ns == 0;
        if (first && refused) {
            continue;
        }
        loads[i]->load_milli =
            first ? load_milli
                  : weighted_mean(loads[i]->load_milli, load_milli);
        loads[i]->last_report_ns = now_ns;
    }
}

static void
record_work_time(const CpFleet *f, CpFleetService *s, CpFleetServer *server,
                 const CpFleetAttemptResult *r, int64_t now_ns)
{
    uint32_t latency_us = (uint32_t)(r->latency_ns / CP_NS_PER_US);
    bool completed = r->outcome == CP_ATTEMPT_ANSWERED ||
                     r->outcome == CP_ATTEMPT_SERVER_ERROR;
    bool no_response = r->outcome == CP_ATTEMPT_TIMED_OUT ||
                       r->outcome == CP_ATTEMPT_CANCELLED;
    if (!completed && !no_response) {
        return;
    }
    int64_t wait_us = CpFleet_ExpectedWait_us(
        s, server, CpFleet_Inflight(server, now_ns), now_ns);
    uint32_t work_us =
        latency_us > wait_us ? latency_us - (uint32_t)wait_us : 1;
    uint64_t usual_us = work_us; /* at the service's typical speed */
    if (CpFleet_HasSpeeds(s, now_ns)) {
        double percent = CpFleet_PercentDuring(
            s, server, r->has_load ? r->load.work_percent : 0, r->latency_ns,
            now_ns);
        usual_us = (uint64_t)((double)work_us * s->typical_percent_milli /
                              1000 / percent);
        /* without a queue, whose length is only estimated */
        if (r->outcome == CP_ATTEMPT_ANSWERED && wait_us == 0) {
            CpFleet_RecordWork(s, r->work_class,
                               (double)work_us * 100 / percent);
        }
    }
    if (s->mean_work_us > 0) {
        uint64_t slowness = usual_us * 1000 / s->mean_work_us;
        slowness =
            slowness > MAX_SLOWNESS_MILLI ? MAX_SLOWNESS_MILLI : slowness;
        /* without a response the server is at least this slow */
        if (completed || slowness > server->slowness_milli) {
            uint32_t before = server->slowness_milli;
            server->slowness_milli =
                moving_average(server->slowness_milli, (uint32_t)slowness);
            server->slowness_ns = now_ns;
            if (before < CP_FLEET_SLOW_OUTLIER_MILLI &&
                server->slowness_milli >= CP_FLEET_SLOW_OUTLIER_MILLI) {
                report_change(f, server, "stands_out_slow", work_us / 1000);
            }
        }
    }
    if (r->outcome == CP_ATTEMPT_ANSWERED) {
        uint64_t bytes =
            r->response_bytes < UINT32_MAX ? r->response_bytes : UINT32_MAX;
        s->mean_response_bytes =
            moving_average(s->mean_response_bytes, (uint32_t)bytes);
    }
    if (completed) {
        s->mean_work_us = moving_average(
            s->mean_work_us, clamp_work_us(s->mean_work_us, work_us));
    }
}

/* Limits how far one sample moves the average: a slow server, or a response
 * that took hardly any work, is not typical of the service. No sample is
 * discarded, or a wrong average would never be corrected. */
static uint32_t
clamp_work_us(uint32_t average_us, uint32_t work_us)
{
    if (average_us == 0) {
        return work_us;
    }
    uint32_t least_us = average_us / WORK_CLAMP_FACTOR + 1;
    uint32_t most_us = average_us * WORK_CLAMP_FACTOR + 1;
    return work_us < least_us  ? least_us
           : work_us > most_us ? most_us
                               : work_us;
}

static void
record_failure(const CpFleet *f, CpFleetService *s, CpFleetServer *server,
               const CpFleetAttemptResult *r, int64_t now_ns)
{
    bool failed = false, unavailable = false;
    if (r->unsolicited) {
        return;
    }
    switch (r->outcome) {
    case CP_ATTEMPT_ANSWERED:
        server->timed_out = false;
        break;
    case CP_ATTEMPT_SERVER_ERROR:
    case CP_ATTEMPT_REFUSED:
        failed = true;
        break;
    case CP_ATTEMPT_WRONG_SERVER:
        server->replaced = true;
        CpFleet_InvalidateLayout(s);
        report_change(f, server, "replaced", 0);
        failed = true;
        break;
    case CP_ATTEMPT_UNREACHABLE:
    case CP_ATTEMPT_BROKEN:
        failed = unavailable = true;
        break;
    case CP_ATTEMPT_TIMED_OUT:
        failed = server->timed_out || !may_be_slow(s, r, now_ns);
        server->timed_out = true;
        break;
    default:
        return;
    }
    server->failure_milli =
        weighted_mean(server->failure_milli, failed ? 1000 : 0);
    if (failed) {
        server->last_failure_ns = now_ns;
    }
    if (r->outcome != CP_ATTEMPT_REFUSED) { /* that is for lack of slots */
        count_outcome(&server->outcomes, failed, now_ns);
        count_outcome(&s->outcomes, failed, now_ns);
    }
    if (!unavailable && server->consecutive_failures > 0) {
        report_change(f, server, "answers_again", 0);
    }
    server->consecutive_failures =
        unavailable ? server->consecutive_failures + 1 : 0;
}

/* Returns true if the time of an attempt without a response is one that work
 * takes on a slow server. One such attempt is then no failure of the server;
 * the next one in a row is, since the server may be silent. */
static bool
may_be_slow(const CpFleetService *s, const CpFleetAttemptResult *r,
            int64_t now_ns)
{
    return CpFleet_HasSpeeds(s, now_ns) &&
           (double)r->latency_ns / CP_NS_PER_US <
               CpFleet_UsualWork_us(s, r->work_class) *
                   CpFleet_SlowestPercent(s) / 100;
}

/* Ejects the server for a time that doubles with each failure in a row; the
 * fourth one is taken as the end of the server, and the time is the longest.
 * One that was unreachable may return with an empty cache, so it is cold
 * afterwards. */
static void
eject(const CpFleet *f, CpFleetService *s, CpFleetServer *server,
      bool was_unreachable, int64_t now_ns)
{
    uint32_t shift = server->consecutive_failures < EJECTION_MAX_SHIFT
                         ? server->consecutive_failures - 1
                         : EJECTION_MAX_SHIFT;
    server->ejected_until_ns =
        now_ns + ((int64_t)EJECTION_MIN_MS << shift) * CP_NS_PER_MS;
    server->ejected_ns = now_ns;
    report_change(f, server, "rests", EJECTION_MIN_MS << shift);
    if (!was_unreachable) {
        return; /* it took the request: it was not restarted */
    }
    int64_t cold_until_ns =
        server->ejected_until_ns + s->warmup_ms * CP_NS_PER_MS;
    if (cold_until_ns > server->cold_until_ns) {
        server->cold_until_ns = cold_until_ns;
        server->cold_after_ejection = true;
    }
}

static void
count_outcome(CpFleetOutcomes *o, bool failed, int64_t now_ns)
{
    double weight = outcome_weight(o, now_ns);
    o->successes = o->successes * weight + !failed;
    o->failures = o->failures * weight + failed;
    o->counted_ns = now_ns;
}

static double
outcome_weight(const CpFleetOutcomes *o, int64_t now_ns)
{
    return exp2(-(double)(now_ns - o->counted_ns) / OUTCOME_HALF_LIFE_NS);
}

/* Some successes are assumed: a first failure says little about a service. */
double
CpFleet_ServiceSuccess(const CpFleetService *s, int64_t now_ns)
{
    const CpFleetOutcomes *o = &s->outcomes;
    double weight = outcome_weight(o, now_ns);
    return (o->successes * weight + ASSUMED_SUCCESSES) /
           ((o->successes + o->failures) * weight + ASSUMED_SUCCESSES);
}

/* One attempt with the success of the service is assumed. */
double
CpFleet_ExpectedSuccess(const CpFleetService *s, const CpFleetServer *server,
                        int64_t now_ns)
{
    const CpFleetOutcomes *o = &server->outcomes;
    double weight = outcome_weight(o, now_ns);
    return (o->successes * weight + CpFleet_ServiceSuccess(s, now_ns)) /
           ((o->successes + o->failures) * weight + 1);
}

static void
report_change(const CpFleet *f, const CpFleetServer *server,
              const char *change, uint32_t ms)
{
    if (f->options.on_state_change != NULL) {
        f->options.on_state_change(f->options.ctx, server->entry.instance,
                                   change, ms);
    }
}

/* A moving average that starts with its first value. */
static uint32_t
moving_average(uint32_t old, uint32_t value)
{
    return old == 0 ? value : weighted_mean(old, value);
}

static uint32_t
weighted_mean(uint32_t old, uint32_t value)
{
    return (uint32_t)(((uint64_t)old * ((1u << AVERAGE_SHIFT) - 1) + value) >>
                      AVERAGE_SHIFT);
}
