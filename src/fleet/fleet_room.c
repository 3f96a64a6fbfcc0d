/* How much of a service's capacity is in use, as this host sees it. */
#include "fleet/fleet_int.h"

/* Of a load in a response. Shorter than the time over which an overload
 * lasts, and long enough for a few responses to each host. */
#define LOAD_HALF_LIFE_NS (500 * CP_NS_PER_MS)
#define LOAD_MAX_AGE_NS (3 * CP_NS_PER_S)
#define FRESH_WEIGHT 65536
/* A server that refuses is full; the queue beyond its slots is short. What it
 * has is not known, and it would hide that the load falls. */
#define FULL_MILLI 1400

static uint64_t load_of(const CpFleetServer *server);
static bool is_in_service(const CpFleet *f, const CpFleetServer *server,
                          const CpFleetRequest *request, int64_t now_ns);

void
CpFleet_GetRoom(CpFleet *f, const CpFleetRequest *request, int64_t now_ns,
                CpFleetRoom *out)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, request->service, &s);
    uint64_t sum = 0, weights = 0;
    *out = (CpFleetRoom){.speed_reported = CpFleet_HasSpeeds(s, now_ns)};
    for (uint32_t i = 0; out->speed_reported && i < s->servers->len; i++) {
        CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (!is_in_service(f, server, request, now_ns)) {
            continue;
        }
        out->slots += server->entry.slots;
        int64_t age_ns = now_ns - server->load_report_ns;
        if (server->load_report_ns > 0 && age_ns < LOAD_MAX_AGE_NS) {
            uint64_t weight = FRESH_WEIGHT >> (age_ns / LOAD_HALF_LIFE_NS);
            sum += weight * server->entry.slots * load_of(server);
            weights += weight * server->entry.slots;
            out->server_count++;
        }
    }
    out->load_milli = weights > 0 ? (uint32_t)(sum / weights) : 0;
    pthread_mutex_unlock(&shard->lock);
}

/* Returns the load as it was reported, without the decay of
 * CpFleet_Inflight(): the weight tells how well it still holds. */
static uint64_t
load_of(const CpFleetServer *server)
{
    uint64_t inflight_milli =
        server->others_inflight_milli + UINT64_C(1000) * server->inflight;
    uint64_t load_milli = inflight_milli / server->entry.slots;
    return load_milli < FULL_MILLI ? load_milli : FULL_MILLI;
}

static bool
is_in_service(const CpFleet *f, const CpFleetServer *server,
              const CpFleetRequest *request, int64_t now_ns)
{
    return server->entry.slots > 0 && CpFleet_IsEligible(f, server) &&
           CpFleet_IsHome(f, server, request) &&
           server->ejected_until_ns <= now_ns &&
           server->paused_until_ns <= now_ns;
}
