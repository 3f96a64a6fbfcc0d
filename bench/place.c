/* Time to choose a server for a request, by the number of servers of the
 * service. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "fleet/fleet.h"

#define CHOICES 20000
#define DOMAINS 13
#define OBJECTS 1000

static int64_t mean_choice_ns(CpFleet *f);

int
main(void)
{
    CpFleetDomain domains[DOMAINS] = {0};
    for (uint32_t i = 0; i < DOMAINS; i++) {
        snprintf(domains[i].name, CP_NAME_BYTES, "d%u", i);
        snprintf(domains[i].region, CP_NAME_BYTES, "r%u", i % 4);
    }
    for (uint32_t n = 16; n <= 1024; n *= 4) {
        CpFleet *f = CpFleet_New(&(CpFleetOptions){
            .domain = "d0", .domains = domains, .domain_count = DOMAINS});
        for (uint32_t i = 0; i < n; i++) {
            CpServerEntry e = {.slots = 4, .service = "s"};
            snprintf(e.instance, sizeof(e.instance), "i-%u", i);
            CpStr_Copy(e.domain, sizeof(e.domain), domains[i % DOMAINS].name);
            CpFleet_UpdateServer(f, &e, CP_NS_PER_S);
        }
        int64_t choice_ns = mean_choice_ns(f);
        printf("%u servers: %" PRId64 " ns per choice, %" PRId64
               " ns per server\n",
               n, choice_ns, choice_ns / n);
        CpFleet_Free(f);
    }
    return 0;
}

/* Returns the mean time to choose a server and to end the attempt. */
static int64_t
mean_choice_ns(CpFleet *f)
{
    int64_t start_ns = CpClock_Now_ns();
    for (uint32_t i = 0; i < CHOICES; i++) {
        char object[16];
        CpFleetChoice choice;
        snprintf(object, sizeof(object), "%u", i % OBJECTS);
        CpFleetRequest request = {.service = "s",
                                  .object = object,
                                  .goal_left_ms = 400,
                                  .deadline_left_ms = 3000};
        if (CpFleet_Choose(f, &request, CP_NS_PER_S, &choice) ==
            CP_REASON_NONE) {
            CpFleet_EndAttempt(
                f,
                &(CpFleetAttemptResult){.service = "s",
                                        .instance = choice.instance,
                                        .outcome = CP_ATTEMPT_ANSWERED,
                                        .latency_ns = CP_NS_PER_MS},
                CP_NS_PER_S);
        }
    }
    return (CpClock_Now_ns() - start_ns) / CHOICES;
}
