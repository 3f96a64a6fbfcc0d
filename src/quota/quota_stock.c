/* Tokens by the time at which they were generated. */
#include <string.h>

#include "quota/quota_int.h"

static bool is_valid(const CpQuotaStock *s, uint32_t i, int64_t now_ns);
static int64_t first_slot(const CpQuotaStock *s, int64_t now_ns);

void
CpQuotaStock_Init(CpQuotaStock *s, int64_t life_ns)
{
    memset(s, 0, sizeof(*s));
    s->slot_ns = life_ns / CP_QUOTA_SLOTS;
    s->slot_ns += s->slot_ns == 0;
}

int64_t
CpQuotaStock_Total(const CpQuotaStock *s, int64_t now_ns)
{
    int64_t sum = 0;
    for (uint32_t i = 0; i < CP_QUOTA_RING; i++) {
        sum += is_valid(s, i, now_ns) ? s->amount[i] : 0;
    }
    return sum;
}

/* The parts are differences of a rounded running sum, so that they add up to
 * no more than the amount. */
void
CpQuotaStock_Add(CpQuotaStock *s, int64_t amount, int64_t oldest_ns,
                 int64_t newest_ns, int64_t now_ns)
{
    if (newest_ns > now_ns) {
        newest_ns = now_ns;
    }
    if (amount <= 0 || oldest_ns > newest_ns) {
        return;
    }
    double span_ns = (double)(newest_ns - oldest_ns);
    int64_t first = oldest_ns / s->slot_ns, last = newest_ns / s->slot_ns;
    int64_t usable = first_slot(s, now_ns);
    for (int64_t k = first > usable ? first : usable; k <= last; k++) {
        double from_ns = (double)(k * s->slot_ns - oldest_ns);
        double to_ns = (double)((k + 1) * s->slot_ns - oldest_ns);
        int64_t from = from_ns <= 0 || span_ns <= 0
                           ? 0
                           : (int64_t)((double)amount * from_ns / span_ns);
        int64_t to = to_ns >= span_ns
                         ? amount
                         : (int64_t)((double)amount * to_ns / span_ns);
        uint32_t i = (uint32_t)(k % CP_QUOTA_RING);
        if (s->slot[i] != k) {
            s->slot[i] = k;
            s->amount[i] = 0;
        }
        s->amount[i] += to - from;
    }
}

int64_t
CpQuotaStock_Take(CpQuotaStock *s, int64_t amount, int64_t now_ns,
                  int64_t *oldest_ns)
{
    int64_t slot_ns;
    int64_t taken = CpQuotaStock_TakeOldest(s, amount, now_ns, oldest_ns);
    for (int64_t part = taken; part > 0 && taken < amount; taken += part) {
        part = CpQuotaStock_TakeOldest(s, amount - taken, now_ns, &slot_ns);
    }
    return taken;
}

int64_t
CpQuotaStock_TakeOldest(CpQuotaStock *s, int64_t amount, int64_t now_ns,
                        int64_t *oldest_ns)
{
    int64_t last = now_ns / s->slot_ns;
    *oldest_ns = now_ns;
    for (int64_t k = first_slot(s, now_ns); k <= last; k++) {
        uint32_t i = (uint32_t)(k % CP_QUOTA_RING);
        if (s->slot[i] == k && s->amount[i] > 0) {
            int64_t part = s->amount[i] < amount ? s->amount[i] : amount;
            s->amount[i] -= part;
            *oldest_ns = k * s->slot_ns;
            return part;
        }
    }
    return 0;
}

void
CpQuotaStock_Exchange(CpQuotaStock *s, int64_t amount, int64_t oldest_ns,
                      int64_t newest_ns, int64_t now_ns)
{
    int64_t taken = 0, end = oldest_ns / s->slot_ns;
    for (int64_t k = first_slot(s, now_ns); k < end && taken < amount; k++) {
        uint32_t i = (uint32_t)(k % CP_QUOTA_RING);
        if (s->slot[i] == k && s->amount[i] > 0) {
            int64_t part =
                s->amount[i] < amount - taken ? s->amount[i] : amount - taken;
            s->amount[i] -= part;
            taken += part;
        }
    }
    CpQuotaStock_Add(s, taken, oldest_ns, newest_ns, now_ns);
}

void
CpQuotaStock_Resize(CpQuotaStock *s, int64_t life_ns, double age_factor,
                    int64_t now_ns)
{
    CpQuotaStock old = *s;
    CpQuotaStock_Init(s, life_ns);
    for (uint32_t i = 0; i < CP_QUOTA_RING; i++) {
        if (is_valid(&old, i, now_ns)) {
            double age_ns = (double)(now_ns - old.slot[i] * old.slot_ns);
            int64_t at_ns = now_ns - (int64_t)(age_ns * age_factor);
            CpQuotaStock_Add(s, old.amount[i], at_ns, at_ns, now_ns);
        }
    }
}

void
CpQuotaStock_Trim(CpQuotaStock *s, int64_t capacity, int64_t now_ns)
{
    int64_t oldest_ns;
    int64_t total = CpQuotaStock_Total(s, now_ns);
    if (total > capacity) {
        CpQuotaStock_Take(s, total - capacity, now_ns, &oldest_ns);
    }
}

static bool
is_valid(const CpQuotaStock *s, uint32_t i, int64_t now_ns)
{
    return s->amount[i] > 0 && s->slot[i] >= first_slot(s, now_ns);
}

/* Returns the oldest slot of which no token has expired. */
static int64_t
first_slot(const CpQuotaStock *s, int64_t now_ns)
{
    int64_t oldest_ns = now_ns - CP_QUOTA_SLOTS * s->slot_ns;
    return oldest_ns <= 0 ? 0 : (oldest_ns + s->slot_ns - 1) / s->slot_ns;
}
