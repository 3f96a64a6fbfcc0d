/* Share of arrivals that keeps the load of servers at a target. */
#include "admit/admit_int.h"

/* Change of a share in a second at a load that is off its target by all slots:
 * a multiple of the share, so that the effect is the same however far the
 * arrivals exceed the capacity, and while it rises a fixed part, which makes
 * the shares of all hosts equal in time. */
#define GAIN 1
#define RISE (CP_SHARE_ALL / 50)
/* From this difference on the slots are idle because too much was shed: a
 * share that has become small rises by as much a second as the load is lower.
 */
#define IDLE_MILLI 200
#define MIN_SHARE (CP_SHARE_ALL / 20000)
/* Above all of them, so that noise of the load does not shed anything while
 * the load is below its target in the mean. */
#define MAX_SHARE (CP_SHARE_ALL * INT64_C(6) / 5)
/* Time over which the mean share is taken; shorter while slots are idle. */
#define MEAN_MS 8000
#define MEAN_IDLE_MS 1000
/* Of the share: the mean lags behind when an overload begins. */
#define MEAN_MAX_PERCENT 130
#define MIN_INTERVAL_NS (50 * CP_NS_PER_MS)
#define MAX_INTERVAL_NS (1 * CP_NS_PER_S)
/* Part of the share by which more or less is admitted at once, at a load that
 * is off its target by all slots. Without it the load swings about the target,
 * because the share follows what the servers reported some time ago. */
#define PROPORTIONAL 4

void
CpLoadControl_Update(CpLoadControl *c, uint32_t load_milli,
                     uint32_t target_milli, int64_t now_ns)
{
    int64_t elapsed_ns = now_ns - c->last_update_ns;
    if (c->last_update_ns == 0) {
        c->share = MAX_SHARE;
        c->mean_share = CP_SHARE_ALL;
    }
    else if (elapsed_ns < MIN_INTERVAL_NS) {
        return;
    }
    c->last_update_ns = now_ns;
    if (elapsed_ns > MAX_INTERVAL_NS) {
        elapsed_ns = MAX_INTERVAL_NS;
    }
    int64_t off_milli = (int64_t)target_milli - load_milli;
    int64_t elapsed_ms = elapsed_ns / CP_NS_PER_MS;
    int64_t step = c->share * GAIN + (off_milli > 0 ? RISE : 0);
    int64_t change_per_s = step * off_milli / 1000;
    bool idle = off_milli > IDLE_MILLI;
    if (idle) {
        change_per_s += CP_SHARE_ALL * (off_milli - IDLE_MILLI) / 1000;
    }
    c->share += change_per_s * elapsed_ms / 1000;
    c->share = c->share < MIN_SHARE   ? MIN_SHARE
               : c->share > MAX_SHARE ? MAX_SHARE
                                      : c->share;
    int64_t admitted = c->share < CP_SHARE_ALL ? c->share : CP_SHARE_ALL;
    int64_t mean_ms = idle ? MEAN_IDLE_MS : MEAN_MS;
    int64_t change = (admitted - c->mean_share) * elapsed_ms / mean_ms;
    /* the rounding would keep it from ever reaching the whole */
    c->mean_share = change == 0 ? admitted : c->mean_share + change;
}

uint32_t
CpLoadControl_Share(const CpLoadControl *c, uint32_t load_milli,
                    uint32_t target_milli)
{
    int64_t off_milli = (int64_t)target_milli - load_milli;
    int64_t share = c->share + c->share * PROPORTIONAL * off_milli / 1000;
    return share < 0              ? 0
           : share > CP_SHARE_ALL ? CP_SHARE_ALL
                                  : (uint32_t)share;
}

uint32_t
CpLoadControl_MeanShare(const CpLoadControl *c)
{
    int64_t most = c->share * MEAN_MAX_PERCENT / 100;
    return (uint32_t)(c->mean_share < most ? c->mean_share : most);
}
