/* Retry budget, link pacer and growth cap of foreign requests. */
#include "admit/admit.h"

#define MILLI 1000
#define BURST_NS (30 * CP_NS_PER_MS)
#define RATE_PERCENT 95 /* keeps any 1 s window under the cap */
/* Credit that may accumulate, so that little of the cap is lost when requests
 * move between hosts: a part of the cap, one request that was admitted an
 * interval before, and one that the cap earns. */
#define SHIFT_CREDIT_PERCENT 50
#define SHIFT_CREDIT_MIN_MILLI (2 * MILLI)
#define URGENT_RESERVE_DIVISOR 4 /* of the burst, for urgent classes only */

static void refill_budget(CpRetryBudget *b, int64_t now_ns);
static void add_tokens(CpRetryBudget *b, int64_t tokens_milli);
static uint16_t *admitted_at(CpShiftLimiter *s, int64_t ms);
static void advance_credit(CpShiftLimiter *s, int64_t now_ms);
static bool is_growth_within_cap(CpShiftLimiter *s);

void
CpRetryBudget_SetShare(CpRetryBudget *b, uint32_t burst, uint32_t hosts)
{
    int64_t share_milli = (int64_t)burst * MILLI / (hosts > 0 ? hosts : 1);
    b->max_tokens_milli = b->initial_tokens_milli =
        b->refill_per_window_milli = share_milli / 2;
}

void
CpRetryBudget_Deposit(CpRetryBudget *b, int64_t now_ns)
{
    refill_budget(b, now_ns);
    add_tokens(b, b->percent * (MILLI / 100));
}

bool
CpRetryBudget_TryWithdraw(CpRetryBudget *b, int64_t now_ns)
{
    refill_budget(b, now_ns);
    if (b->tokens_milli < MILLI) {
        return false;
    }
    b->tokens_milli -= MILLI;
    return true;
}

void
CpRetryBudget_Refund(CpRetryBudget *b)
{
    b->tokens_milli += MILLI;
}

void
CpPacer_SetRate(CpPacer *p, uint64_t rate_bytes_s, int64_t now_ns)
{
    if (p->last_refill_ns == 0) {
        p->last_refill_ns = now_ns;
    }
    p->rate_bytes_s = rate_bytes_s;
}

bool
CpPacer_TryConsume(CpPacer *p, uint32_t class_index, uint32_t size_bytes,
                   int64_t now_ns)
{
    double rate_bytes_s = (double)p->rate_bytes_s * RATE_PERCENT / 100;
    int64_t burst_bytes = (int64_t)(rate_bytes_s * BURST_NS / CP_NS_PER_S);
    int64_t earned_bytes =
        (int64_t)(rate_bytes_s * (double)(now_ns - p->last_refill_ns) /
                  CP_NS_PER_S);
    if (earned_bytes > 0) {
        p->tokens_bytes += earned_bytes;
        p->last_refill_ns = now_ns;
    }
    if (p->tokens_bytes > burst_bytes) {
        p->tokens_bytes = burst_bytes;
    }
    int64_t min_tokens_bytes = class_index >= CP_RANK_COUNT
                                   ? burst_bytes / URGENT_RESERVE_DIVISOR
                                   : 0;
    if (class_index == 0) {
        min_tokens_bytes = INT64_MIN / 2;
    }
    if (p->tokens_bytes <= min_tokens_bytes) {
        return false;
    }
    p->tokens_bytes -= size_bytes;
    return true;
}

/* The requests of a drained or lost domain all arrive at once. Credit spreads
 * their admission evenly over an interval, so that the growth is the same
 * wherever an interval begins; the check enforces the cap when requests pause
 * and resume. */
bool
CpShiftLimiter_TryAdmit(CpShiftLimiter *s, int64_t now_ns)
{
    int64_t now_ms = now_ns / CP_NS_PER_MS;
    if (s->accounted_to_ms == 0) {
        s->accounted_to_ms = now_ms;
        s->credit_milli = s->cap_milli < MILLI ? (int64_t)s->cap_milli : MILLI;
    }
    advance_credit(s, now_ms);
    if (s->credit_milli < MILLI) {
        return false;
    }
    uint16_t *admitted = admitted_at(s, s->accounted_to_ms);
    (*admitted)++;
    if (!is_growth_within_cap(s)) {
        (*admitted)--;
        return false;
    }
    s->credit_milli -= MILLI;
    return true;
}

static uint16_t *
admitted_at(CpShiftLimiter *s, int64_t ms)
{
    return &s->admitted[(ms + CP_SHIFT_HISTORY_MS) % CP_SHIFT_HISTORY_MS];
}

/* Credits, for each ms up to now_ms, the requests that were admitted one
 * interval before, plus the cap's part of that ms. */
static void
advance_credit(CpShiftLimiter *s, int64_t now_ms)
{
    int64_t max_credit_milli =
        (int64_t)(s->cap_milli * SHIFT_CREDIT_PERCENT / 100) +
        SHIFT_CREDIT_MIN_MILLI;
    if (now_ms - s->accounted_to_ms > CP_SHIFT_HISTORY_MS) {
        /* The whole ring is outdated. */
        s->credit_milli +=
            (int64_t)s->cap_milli *
            (now_ms - s->accounted_to_ms - CP_SHIFT_HISTORY_MS) /
            CP_SHIFT_INTERVAL_MS;
        s->accounted_to_ms = now_ms - CP_SHIFT_HISTORY_MS;
    }
    for (; s->accounted_to_ms < now_ms; s->accounted_to_ms++) {
        int64_t ms = s->accounted_to_ms + 1;
        *admitted_at(s, ms) = 0;
        s->credit_milli += *admitted_at(s, ms - CP_SHIFT_INTERVAL_MS) * MILLI;
        s->credit_milli +=
            (int64_t)s->cap_milli * ms / CP_SHIFT_INTERVAL_MS -
            (int64_t)s->cap_milli * (ms - 1) / CP_SHIFT_INTERVAL_MS;
        if (s->credit_milli > max_credit_milli) {
            s->credit_milli = max_credit_milli;
        }
    }
}

/* Returns true if no interval, up to the one that begins now, admits more than
 * the cap over the interval before it. An interval that has not ended counts
 * only what was admitted until now, so it is enough to check each beginning
 * within the last CP_SHIFT_INTERVAL_MS. */
static bool
is_growth_within_cap(CpShiftLimiter *s)
{
    int64_t cap = (int64_t)((s->cap_milli + MILLI - 1) / MILLI);
    int64_t current = 0, previous = 0;
    for (int64_t i = 0; i < CP_SHIFT_INTERVAL_MS; i++) {
        previous += *admitted_at(s, s->accounted_to_ms - i);
    }
    for (int64_t i = 0; i < CP_SHIFT_INTERVAL_MS; i++) {
        int64_t ms = s->accounted_to_ms - i;
        uint16_t admitted = *admitted_at(s, ms);
        current += admitted;
        previous += *admitted_at(s, ms - CP_SHIFT_INTERVAL_MS) - admitted;
        if (current - previous > cap) {
            return false;
        }
    }
    return true;
}

/* Adds the tokens earned since the last refill. Time that earned less than a
 * thousandth of a token is carried over to the next refill. */
static void
refill_budget(CpRetryBudget *b, int64_t now_ns)
{
    if (b->last_refill_ns == 0) {
        b->last_refill_ns = now_ns;
        b->tokens_milli = b->initial_tokens_milli;
    }
    if (b->window_ns == 0 || b->refill_per_window_milli == 0) {
        return;
    }
    int64_t elapsed_ns = now_ns - b->last_refill_ns;
    if (elapsed_ns > b->window_ns) {
        elapsed_ns = b->window_ns;
        b->last_refill_ns = now_ns - elapsed_ns;
    }
    int64_t window_us = b->window_ns / CP_NS_PER_US;
    int64_t earned_milli =
        elapsed_ns / CP_NS_PER_US * b->refill_per_window_milli / window_us;
    add_tokens(b, earned_milli);
    b->last_refill_ns +=
        earned_milli * window_us / b->refill_per_window_milli * CP_NS_PER_US;
}

static void
add_tokens(CpRetryBudget *b, int64_t tokens_milli)
{
    b->tokens_milli += tokens_milli;
    if (b->tokens_milli > b->max_tokens_milli) {
        b->tokens_milli = b->max_tokens_milli;
    }
}
