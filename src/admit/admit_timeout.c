/* Recognises callers that come back by the timeout that they set. */
#include <string.h>

#include "admit/admit_int.h"

#define MAX_TOTAL 1024 /* then all counts are halved */
/* Of the callers that come back one in so many is counted, or those that come
 * back again and again would outnumber the first attempts. */
#define COUNT_RETURNING_ONE_IN 16
/* Of the count of first attempts: a value with at least this part of it is
 * that of first attempts of other callers. Callers that come back have a few
 * hundred values. */
#define OTHER_FIRST_DIVISOR 2
#define OTHER_FIRST_MIN 4 /* counted; fewer are chance */
/* After so many callers that seem to come back, and no first attempt for so
 * long, the timeout of first attempts is learned anew. */
#define RELEARN_REQUESTS 20
#define RELEARN_NS (10 * CP_NS_PER_S)

static void count(CpFirstTimeout *f, uint32_t timeout_ms);
static void halve_counts(CpFirstTimeout *f);
static void find_first(CpFirstTimeout *f);
static bool is_other_first(const CpFirstTimeout *f, uint32_t timeout_ms);

uint32_t
CpFirstTimeout_Record(CpFirstTimeout *f, uint32_t timeout_ms, int64_t now_ns)
{
    bool counted = true;
    if (timeout_ms >= f->first_ms) {
        f->last_first_ns = now_ns;
        f->returning_count = 0;
    }
    else if (++f->returning_count >= RELEARN_REQUESTS &&
             now_ns - f->last_first_ns > RELEARN_NS) {
        *f = (CpFirstTimeout){.last_first_ns = now_ns};
    }
    else {
        counted = f->returning_count % COUNT_RETURNING_ONE_IN == 0;
    }
    if (counted) {
        count(f, timeout_ms);
        find_first(f);
    }
    return timeout_ms < f->first_ms && !is_other_first(f, timeout_ms)
               ? f->first_ms - timeout_ms
               : 0;
}

/* Where all counters are taken by other values, each loses one. */
static void
count(CpFirstTimeout *f, uint32_t timeout_ms)
{
    CpTimeoutCounter *slot = NULL;
    for (uint32_t i = 0; i < CP_TIMEOUT_COUNTERS; i++) {
        CpTimeoutCounter *t = &f->counters[i];
        if (t->count > 0 && t->timeout_ms == timeout_ms) {
            slot = t;
            break;
        }
        slot = t->count == 0 ? t : slot;
    }
    if (slot != NULL) {
        slot->timeout_ms = timeout_ms;
        slot->count++;
    }
    for (uint32_t i = 0; i < CP_TIMEOUT_COUNTERS && slot == NULL; i++) {
        f->counters[i].count--;
    }
    if (++f->total >= MAX_TOTAL) {
        halve_counts(f);
    }
}

static void
halve_counts(CpFirstTimeout *f)
{
    f->total /= 2;
    for (uint32_t i = 0; i < CP_TIMEOUT_COUNTERS; i++) {
        f->counters[i].count /= 2;
    }
}

static void
find_first(CpFirstTimeout *f)
{
    const CpTimeoutCounter *top = &f->counters[0];
    for (uint32_t i = 1; i < CP_TIMEOUT_COUNTERS; i++) {
        const CpTimeoutCounter *t = &f->counters[i];
        top = t->count > top->count ? t : top;
    }
    /* a value that is no more frequent than any other is not that of first
     * attempts */
    bool frequent = top->count * CP_TIMEOUT_COUNTERS >= f->total;
    f->first_ms = frequent ? top->timeout_ms : 0;
    f->first_count = top->count;
}

static bool
is_other_first(const CpFirstTimeout *f, uint32_t timeout_ms)
{
    for (uint32_t i = 0; i < CP_TIMEOUT_COUNTERS; i++) {
        const CpTimeoutCounter *t = &f->counters[i];
        if (t->timeout_ms == timeout_ms) {
            return t->count >= OTHER_FIRST_MIN &&
                   t->count * COUNT_RETURNING_ONE_IN * OTHER_FIRST_DIVISOR >=
                       f->first_count;
        }
    }
    return false;
}
