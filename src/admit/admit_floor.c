/* Floors of ranks: dispatches that a less urgent rank is owed. */
#include "admit/admit.h"

#define CREDIT_PER_DISPATCH 100
#define MAX_CREDIT                                                            \
    (2 * CREDIT_PER_DISPATCH) /* limits a burst after a lull                  \
                               */

bool
CpFloor_IsOwed(uint32_t credit)
{
    return credit >= CREDIT_PER_DISPATCH;
}

void
CpFloor_Charge(uint32_t *credit)
{
    if (CpFloor_IsOwed(*credit)) {
        *credit -= CREDIT_PER_DISPATCH;
    }
}

void
CpFloor_Earn(uint32_t *credit, uint32_t floor_percent)
{
    *credit += floor_percent;
    if (*credit > MAX_CREDIT) {
        *credit = MAX_CREDIT;
    }
}
