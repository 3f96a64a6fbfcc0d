/* Updates the state of a server when an attempt ends. */
#include <string.h>

#include "fleet/fleet_int.h"

#define WEIGHT_SHIFT 3       /* a new value has a weight of an eighth */
#define MAX_SLOW_MILLI 32000 /* one timeout has to decay within seconds */
#define WORK_CLAMP 4         /* about the ratio of uncached to cached work */
#define REST_FIRST_MS 200    /* a restart takes longer than a lost packet */
#define REST_MAX_SHIFT 4     /* 3.2 s: a recovered server is soon found */
#define FAILURES_TO_REST 3   /* lost responses in a row; one may be chance */

static const char *const end_names[CP_ATTEMPT_COUNT] = {
    [CP_ATTEMPT_ANSWERED] = "answered",
    [CP_ATTEMPT_SERVER_ERROR] = "server_error",
    [CP_ATTEMPT_REFUSED] = "refused",
    [CP_ATTEMPT_WRONG_SERVER] = "wrong_server",
    [CP_ATTEMPT_UNREACHABLE] = "unreachable",
    [CP_ATTEMPT_BROKEN] = "broken",
    [CP_ATTEMPT_TIMED_OUT] = "timed_out",
    [CP_ATTEMPT_CANCELLED] = "cancelled",
};

static void learn_load(CpFleetService *s, CpFleetServer *v,
                       const CpFleetReport *r, int64_t now_ns);
static void note_usual(CpFleetService *s, const CpFleetServer *v,
                       uint32_t inside, bool refused, int64_t now_ns);
static void learn_time(const CpFleet *f, CpFleetService *s, CpFleetServer *v,
                       const CpFleetReport *r, int64_t now_ns);
static uint32_t clamp_work_us(uint32_t average_us, uint32_t work_us);
static void learn_failure(const CpFleet *f, CpFleetServer *v,
                          const CpFleetReport *r, int64_t now_ns);
static void rest(const CpFleet *f, CpFleetService *s, CpFleetServer *v,
                 int64_t now_ns);
static void note(const CpFleet *f, const CpFleetServer *v, const char *what,
                 uint32_t ms);
static uint32_t average(uint32_t old, uint32_t value);
static uint32_t blend(uint32_t old, uint32_t value);

const char *
CpAttemptEnd_Name(CpAttemptEnd end)
{
    return end_names[end];
}

void
CpFleet_Ended(CpFleet *f, const CpFleetReport *r, int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_LockService(f, r->service, &s);
    CpFleetServer *v = CpFleet_FindServer(s, r->instance);
    if (v != NULL) {
        if (v->inflight > 0) {
            v->inflight--;
        }
        learn_time(f, s, v, r, now_ns);
        learn_load(s, v, r, now_ns);
        learn_failure(f, v, r, now_ns);
        if (r->end == CP_ATTEMPT_UNREACHABLE ||
            (r->end == CP_ATTEMPT_BROKEN &&
             v->consecutive_failures >= FAILURES_TO_REST)) {
            rest(f, s, v, now_ns);
        }
        if (r->warmup_left_ms > 0) {
            v->cold_until_ns = now_ns + r->warmup_left_ms * CP_NS_PER_MS;
        }
    }
    pthread_mutex_unlock(&sh->lock);
}

/* The reported load includes this host's own requests. */
static void
learn_load(CpFleetService *s, CpFleetServer *v, const CpFleetReport *r,
           int64_t now_ns)
{
    uint32_t others;
    if (r->end == CP_ATTEMPT_REFUSED && !r->has_load) {
        /* full: all slots and part of the queue are taken */
        others = 2 * v->entry.slots;
        note_usual(s, v, others, true, now_ns);
    }
    else if (r->has_load) {
        uint32_t inside = r->load.running + r->load.waiting;
        others = inside > v->inflight ? inside - v->inflight : 0;
        note_usual(s, v, inside, false, now_ns);
    }
    else {
        return;
    }
    v->others_inflight_milli = (v->others_inflight_milli + others * 1000) / 2;
    v->load_report_ns = now_ns;
}

/* A refusal shows that this server is full, but for the others only that the
 * load is above an earlier one. */
static void
note_usual(CpFleetService *s, const CpFleetServer *v, uint32_t inside,
           bool refused, int64_t now_ns)
{
    uint32_t slots = v->entry.slots > 0 ? v->entry.slots : 1;
    uint32_t load_milli = inside * 1000 / slots;
    CpFleetTypicalLoad *of[] = {&s->typical_loads[v->domain_index],
                                &s->typical_load_all};
    for (uint32_t i = 0; i < 2; i++) {
        bool first = of[i]->last_report_ns == 0;
        if (first && refused) {
            continue;
        }
        of[i]->load_milli =
            first ? load_milli : blend(of[i]->load_milli, load_milli);
        of[i]->last_report_ns = now_ns;
    }
}

static void
learn_time(const CpFleet *f, CpFleetService *s, CpFleetServer *v,
           const CpFleetReport *r, int64_t now_ns)
{
    uint32_t took_us = (uint32_t)(r->latency_ns / CP_NS_PER_US);
    bool ended =
        r->end == CP_ATTEMPT_ANSWERED || r->end == CP_ATTEMPT_SERVER_ERROR;
    bool silent =
        r->end == CP_ATTEMPT_TIMED_OUT || r->end == CP_ATTEMPT_CANCELLED;
    if (!ended && !silent) {
        return;
    }
    int64_t wait_us =
        CpFleet_ExpectedWait_us(s, v, CpFleet_Inflight(v, now_ns), now_ns);
    uint32_t work_us = took_us > wait_us ? took_us - (uint32_t)wait_us : 1;
    if (s->mean_work_us > 0) {
        uint64_t slow = (uint64_t)work_us * 1000 / s->mean_work_us;
        slow = slow > MAX_SLOW_MILLI ? MAX_SLOW_MILLI : slow;
        /* without a response the server is at least this slow */
        if (ended || slow > v->slowness_milli) {
            uint32_t before = v->slowness_milli;
            v->slowness_milli = average(v->slowness_milli, (uint32_t)slow);
            v->slowness_ns = now_ns;
            if (before < CP_FLEET_SLOW_OUTLIER_MILLI &&
                v->slowness_milli >= CP_FLEET_SLOW_OUTLIER_MILLI) {
                note(f, v, "stands_out_slow", work_us / 1000);
            }
        }
    }
    if (r->end == CP_ATTEMPT_ANSWERED) {
        uint64_t bytes =
            r->answer_bytes < UINT32_MAX ? r->answer_bytes : UINT32_MAX;
        s->mean_response_bytes =
            average(s->mean_response_bytes, (uint32_t)bytes);
    }
    if (ended) {
        s->mean_work_us =
            average(s->mean_work_us, clamp_work_us(s->mean_work_us, work_us));
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
    uint32_t least_us = average_us / WORK_CLAMP + 1;
    uint32_t most_us = average_us * WORK_CLAMP + 1;
    return work_us < least_us  ? least_us
           : work_us > most_us ? most_us
                               : work_us;
}

static void
learn_failure(const CpFleet *f, CpFleetServer *v, const CpFleetReport *r,
              int64_t now_ns)
{
    bool failed = false, down = false;
    switch (r->end) {
    case CP_ATTEMPT_ANSWERED:
        break;
    case CP_ATTEMPT_SERVER_ERROR:
    case CP_ATTEMPT_REFUSED:
        failed = true;
        break;
    case CP_ATTEMPT_WRONG_SERVER:
        v->replaced = true;
        note(f, v, "replaced", 0);
        failed = true;
        break;
    case CP_ATTEMPT_UNREACHABLE:
    case CP_ATTEMPT_BROKEN:
        failed = down = true;
        break;
    case CP_ATTEMPT_TIMED_OUT:
        failed = true;
        break;
    default:
        return;
    }
    v->failure_milli = blend(v->failure_milli, failed ? 1000 : 0);
    if (failed) {
        v->last_failure_ns = now_ns;
    }
    if (!down && v->consecutive_failures > 0) {
        note(f, v, "answers_again", 0);
    }
    v->consecutive_failures = down ? v->consecutive_failures + 1 : 0;
}

/* Ejects the server for a time that doubles with each failure. It may return
 * with an empty cache, so it is cold afterwards. */
static void
rest(const CpFleet *f, CpFleetService *s, CpFleetServer *v, int64_t now_ns)
{
    uint32_t shift = v->consecutive_failures < REST_MAX_SHIFT
                         ? v->consecutive_failures - 1
                         : REST_MAX_SHIFT;
    v->ejected_until_ns =
        now_ns + ((int64_t)REST_FIRST_MS << shift) * CP_NS_PER_MS;
    note(f, v, "rests", REST_FIRST_MS << shift);
    int64_t cold_ns = v->ejected_until_ns + s->warmup_ms * CP_NS_PER_MS;
    if (cold_ns > v->cold_until_ns) {
        v->cold_until_ns = cold_ns;
    }
}

static void
note(const CpFleet *f, const CpFleetServer *v, const char *what, uint32_t ms)
{
    if (f->options.noted != NULL) {
        f->options.noted(f->options.ctx, v->entry.instance, what, ms);
    }
}

/* A moving average that starts with its first value. */
static uint32_t
average(uint32_t old, uint32_t value)
{
    return old == 0 ? value : blend(old, value);
}

static uint32_t
blend(uint32_t old, uint32_t value)
{
    return (uint32_t)(((uint64_t)old * ((1u << WEIGHT_SHIFT) - 1) + value) >>
                      WEIGHT_SHIFT);
}
