/* Retry budget, link pacer and growth cap of foreign work. */
#include "admit/admit.h"

#define RETRY_MAX_PERCENT 1000 /* at most ten retries in store */
#define MILLI 1000
#define BURST_NS (30 * CP_NS_PER_MS)
#define RATE_NUM 95          /* of 100: keeps any 1 s window under the cap */
#define SHIFT_LEAD_PERCENT 5 /* of an interval's room, usable at once */
#define RESERVE_DIV 4 /* part of the burst that only urgent classes use */

void
CpRetry_Earn(CpRetryBudget *b)
{
    b->tokens_percent += b->percent;
    if (b->tokens_percent > RETRY_MAX_PERCENT) {
        b->tokens_percent = RETRY_MAX_PERCENT;
    }
}

bool
CpRetry_Spend(CpRetryBudget *b)
{
    if (b->tokens_percent < 100) {
        return false;
    }
    b->tokens_percent -= 100;
    return true;
}

void
CpPacer_SetRate(CpPacer *p, uint64_t rate_bytes_s, int64_t now_ns)
{
    if (p->last_ns == 0) {
        p->last_ns = now_ns;
    }
    p->rate_bytes_s = rate_bytes_s;
}

bool
CpPacer_Spend(CpPacer *p, uint32_t class_index, uint32_t size_bytes,
              int64_t now_ns)
{
    double rate = (double)p->rate_bytes_s * RATE_NUM / 100;
    int64_t burst = (int64_t)(rate * BURST_NS / CP_NS_PER_S);
    int64_t earned =
        (int64_t)(rate * (double)(now_ns - p->last_ns) / CP_NS_PER_S);
    if (earned > 0) {
        p->tokens_bytes += earned;
        p->last_ns = now_ns;
    }
    if (p->tokens_bytes > burst) {
        p->tokens_bytes = burst;
    }
    int64_t floor = class_index >= CP_RANKS ? burst / RESERVE_DIV : 0;
    if (class_index == 0) {
        floor = INT64_MIN / 2;
    }
    if (p->tokens_bytes <= floor) {
        return false;
    }
    p->tokens_bytes -= size_bytes;
    return true;
}

bool
CpShift_Admit(CpShift *s, int64_t now_ns)
{
    const int64_t interval_ns = CP_SHIFT_INTERVAL_MS * CP_NS_PER_MS;
    int64_t interval = now_ns / interval_ns;
    if (interval != s->interval) {
        s->carry_milli = (s->carry_milli + s->cap_milli) % MILLI;
        s->before = interval == s->interval + 1 ? s->now : 0;
        s->now = 0;
        s->interval = interval;
    }
    uint64_t room = s->before * (uint64_t)MILLI + s->cap_milli;
    if (s->cap_milli % MILLI > s->carry_milli) {
        room += MILLI; /* the parts made up a whole request */
    }
    uint64_t percent = SHIFT_LEAD_PERCENT +
                       100 * (uint64_t)(now_ns % interval_ns) / interval_ns;
    uint64_t whole = room / MILLI;
    if (percent < 100) {
        whole = (whole * percent + 99) / 100;
    }
    if (s->now >= whole) {
        return false;
    }
    s->now++;
    return true;
}
