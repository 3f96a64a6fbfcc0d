/* Chooses servers by object and refuses requests that would wait too long. */
#include <string.h>

#include "fleet/fleet_int.h"

/* Cost of the round trip and of the bytes, as the queueing time that is
 * accepted to avoid it; by locality. Another domain costs several times the
 * round trip to it, so that work stays local unless local servers are busy. */
static const int64_t locality_cost_us[CP_LOCALITY_COUNT] = {
    [CP_LOCALITY_DOMAIN] = 500,
    [CP_LOCALITY_REGION] = 30 * 1000,
    [CP_LOCALITY_REMOTE] = 120 * 1000,
};

/* Extra work on an object that a server does not have cached, in thousandths
 * of the mean work. The secondary server is preferred to others, because it
 * keeps what was sent there before in its cache. */
#define MISS_MILLI 1500
#define SECONDARY_MISS_MILLI 1200
#define NON_PRIMARY_HIT_MILLI 50 /* cached, but not at the primary server */

#define SLOWNESS_HALF_LIFE_NS (3 * CP_NS_PER_S)
/* Of the load of other hosts; about one work time. */
#define OTHERS_HALF_LIFE_NS (150 * CP_NS_PER_MS)
/* A few times the longest work; most work has ended after the half-life. */
#define TYPICAL_LOAD_MAX_AGE_NS (3 * CP_NS_PER_S)
#define TYPICAL_LOAD_HALF_LIFE_NS (1 * CP_NS_PER_S)
/* As often as hosts tell that they are there. */
#define WARMUP_SHARE_TTL_NS (500 * CP_NS_PER_MS)
#define PROBE_ONE_IN 8         /* requests; all hosts probe at the same time */
#define HIGH_LOAD_MILLI 700    /* of the slots; above, queues grow */
#define FAILURE_COST 3         /* of a failed attempt, in mean work times */
#define MIN_RETRY_AFTER_MS 100 /* a shorter delay would only add traffic */
/* Callers honour delays up to a third of their timeout. */
#define MAX_RETRY_AFTER_MS 2000

typedef struct {
    const CpFleet *fleet;
    CpFleetService *service;
    const CpFleetRequest *request;
    int64_t now_ns;
    const CpFleetCached *cached; /* servers that have the object */
    CpFleetPlacement placement;
    bool is_probe;     /* treats servers of domains without reports as idle */
    bool skipped_cold; /* a server was skipped because it is cold */
    bool skipped_busy; /* a server was skipped for lack of spare slots */
    int64_t usable_ns; /* when the first of those that rest is usable again */
} Search;

/* A server that may get the request. */
typedef struct {
    CpFleetServer *server;
    uint32_t placement;
    int64_t miss_milli;
    uint32_t inflight;
    int64_t wait_us;
    int64_t cost_us; /* until the response, with the locality cost */
} Candidate;

static uint32_t decay(uint32_t value, int64_t age_ns, int64_t half_life_ns);
static bool consider(Search *q, CpFleetServer *server, Candidate *out);
static bool is_ideal(const Search *q, const Candidate *candidate);
static bool is_usable(Search *q, CpFleetServer *server);
static bool was_tried(const CpFleetRequest *request,
                      const CpFleetServer *server);
static bool warmup_allows(const Search *q, CpFleetServer *server);
static uint32_t placement_of(const Search *q, const CpFleetServer *server);
static uint32_t at_least_typical(const Search *q, const CpFleetServer *server,
                                 uint32_t inflight);
static int64_t typical_load_milli(const Search *q,
                                  const CpFleetServer *server);
static int64_t miss_milli(const Search *q, const CpFleetServer *server,
                          uint32_t placement);
static bool has_spare_slots(const Candidate *candidate);
static bool is_load_high(const Search *q);
static void set_cost(const Search *q, Candidate *candidate);
static CpReason check_candidate(const Search *q, const Candidate *best);
static void assign_request(Search *q, const Candidate *best,
                           CpFleetChoice *out);
static uint32_t retry_after_ms(const CpFleetRequest *request, int64_t wait_us);

CpReason
CpFleet_Choose(CpFleet *f, const CpFleetRequest *request, int64_t now_ns,
               CpFleetChoice *out)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, request->service, &s);
    Search q = {.fleet = f,
                .service = s,
                .request = request,
                .now_ns = now_ns,
                .is_probe = request->random % PROBE_ONE_IN == 0,
                .usable_ns = INT64_MAX,
                .cached = CpFleet_FindCached(s, request->object)};
    Candidate best = {.cost_us = INT64_MAX};
    memset(out, 0, sizeof(*out));
    s->requests_since_tick++;
    CpFleet_PlaceObject(f, s, request->object, request, &q.placement);
    Candidate candidate;
    /* Hundreds of others need no look if none of them can be better. */
    bool ideal = q.placement.primary != NULL &&
                 consider(&q, q.placement.primary, &candidate) &&
                 is_ideal(&q, &candidate);
    if (ideal) {
        best = candidate;
    }
    for (uint32_t i = 0; !ideal && i < s->servers->len; i++) {
        if (consider(&q, g_ptr_array_index(s->servers, i), &candidate) &&
            candidate.cost_us < best.cost_us) {
            best = candidate;
        }
    }
    CpReason reason = check_candidate(&q, &best);
    if (reason == CP_REASON_NONE) {
        assign_request(&q, &best, out);
    }
    else {
        out->wait_ms = (uint32_t)(best.wait_us / 1000);
        out->expected_ms =
            best.server != NULL ? (uint32_t)(best.cost_us / 1000) : 0;
        bool all_rest =
            reason == CP_REASON_NO_SERVER && q.usable_ns != INT64_MAX;
        out->retry_after_ms = retry_after_ms(
            request,
            all_rest ? (q.usable_ns - now_ns) / CP_NS_PER_US : best.wait_us);
    }
    pthread_mutex_unlock(&shard->lock);
    return reason;
}

uint32_t
CpFleet_CountUsable(CpFleet *f, const char *service, int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, service, &s);
    CpFleetRequest request = {.service = service};
    Search q = {
        .fleet = f, .service = s, .request = &request, .now_ns = now_ns};
    uint32_t n = 0;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        n += is_usable(&q, g_ptr_array_index(s->servers, i));
    }
    pthread_mutex_unlock(&shard->lock);
    return n;
}

/* An avoided server is not measured again, so its measurement decays. */
int64_t
CpFleet_Slowness_milli(const CpFleetServer *server, int64_t now_ns)
{
    int64_t slowness =
        decay(server->slowness_milli, now_ns - server->slowness_ns,
              SLOWNESS_HALF_LIFE_NS);
    return slowness >= CP_FLEET_SLOW_OUTLIER_MILLI ? slowness : 1000;
}

uint32_t
CpFleet_Inflight(CpFleetServer *server, int64_t now_ns)
{
    uint32_t reported = CpFleet_PeerInflight(server, now_ns);
    uint32_t others =
        decay(server->others_inflight_milli, now_ns - server->load_report_ns,
              OTHERS_HALF_LIFE_NS);
    others = (others + 500) / 1000;
    return server->inflight + (reported > others ? reported : others);
}

int64_t
CpFleet_ExpectedWait_us(const CpFleetService *s, const CpFleetServer *server,
                        uint32_t inflight, int64_t now_ns)
{
    uint32_t slots = server->entry.slots > 0 ? server->entry.slots : 1;
    if (inflight < slots) {
        return 0;
    }
    return (int64_t)(inflight - slots + 1) * s->mean_work_us *
           CpFleet_Slowness_milli(server, now_ns) / 1000 / slots;
}

/* Halves a measurement for each half-life of its age. */
static uint32_t
decay(uint32_t value, int64_t age_ns, int64_t half_life_ns)
{
    int64_t half_lives = age_ns / half_life_ns;
    return half_lives < 16 ? value >> half_lives : 0;
}

/* Fills in the candidate; returns false if the server is not one. */
static bool
consider(Search *q, CpFleetServer *server, Candidate *out)
{
    if (!is_usable(q, server)) {
        return false;
    }
    *out = (Candidate){.server = server,
                       .placement = placement_of(q, server),
                       .inflight = CpFleet_Inflight(server, q->now_ns)};
    if (out->placement != 0) {
        out->inflight = at_least_typical(q, server, out->inflight);
    }
    out->miss_milli = miss_milli(q, server, out->placement);
    if (out->miss_milli > NON_PRIMARY_HIT_MILLI && !has_spare_slots(out)) {
        q->skipped_busy = true;
        return false;
    }
    set_cost(q, out);
    return true;
}

/* Returns true if the candidate costs no more than the mean work: only the
 * primary server has neither a locality cost nor a cache miss. */
static bool
is_ideal(const Search *q, const Candidate *candidate)
{
    return candidate->cost_us <= q->service->mean_work_us;
}

bool
CpFleet_IsHome(const CpFleet *f, const CpFleetServer *server,
               const CpFleetRequest *request)
{
    if (request->home_region_count == 0) {
        return true;
    }
    const char *region = server->domain_index < f->options.domain_count
                             ? f->domains[server->domain_index].region
                             : "";
    return CpRegion_IsHome(request->home_regions, request->home_region_count,
                           region);
}

/* Returns true if the server may get the request now. Of the servers that
 * could otherwise, remembers when the first is usable again. */
static bool
is_usable(Search *q, CpFleetServer *server)
{
    if (!CpFleet_IsEligible(q->fleet, server) ||
        !CpFleet_IsHome(q->fleet, server, q->request) ||
        was_tried(q->request, server)) {
        return false;
    }
    int64_t rest_until_ns = server->ejected_until_ns > server->paused_until_ns
                                ? server->ejected_until_ns
                                : server->paused_until_ns;
    if (rest_until_ns > q->now_ns) {
        q->usable_ns =
            rest_until_ns < q->usable_ns ? rest_until_ns : q->usable_ns;
        return false;
    }
    if (server->consecutive_failures > 0 && server->inflight > 0) {
        return false; /* one request at a time until it responds again */
    }
    if (!warmup_allows(q, server)) {
        q->skipped_cold = true;
        return false;
    }
    return true;
}

static bool
was_tried(const CpFleetRequest *request, const CpFleetServer *server)
{
    for (uint32_t i = 0; i < request->tried_count; i++) {
        if (strcmp(request->tried[i], server->entry.instance) == 0) {
            return true;
        }
    }
    return false;
}

/* Which hosts share a cold server's rate takes long to find out for each
 * request, so the answer is kept for a moment. */
static bool
warmup_allows(const Search *q, CpFleetServer *server)
{
    const CpFleetOptions *options = &q->fleet->options;
    if (server->cold_until_ns <= q->now_ns) {
        return true;
    }
    if (server->next_request_ns > q->now_ns) {
        return false;
    }
    if (server->warmup_share_until_ns <= q->now_ns) {
        uint32_t host_count = 1;
        bool allowed =
            options->get_warmup_share == NULL ||
            options->get_warmup_share(options->ctx, server->entry.instance,
                                      server->entry.domain, &host_count);
        server->warmup_host_count = allowed ? host_count : 0;
        server->warmup_share_until_ns = q->now_ns + WARMUP_SHARE_TTL_NS;
    }
    return server->warmup_host_count > 0;
}

static uint32_t
placement_of(const Search *q, const CpFleetServer *server)
{
    if (q->request->object == NULL) {
        return 0;
    }
    return server == q->placement.primary     ? 0
           : server == q->placement.secondary ? 1
                                              : 2;
}

/* Requests in flight at a server that is not the object's primary. Hosts of a
 * server's domain get reports from all hosts that use it, others only from
 * some: for those a server without reports need not be idle, and its load is
 * taken to be at least the typical one. */
static uint32_t
at_least_typical(const Search *q, const CpFleetServer *server,
                 uint32_t inflight)
{
    if (CpFleet_Locality(q->fleet, server->domain_index) ==
        CP_LOCALITY_DOMAIN) {
        return inflight;
    }
    int64_t typical_milli =
        typical_load_milli(q, server) * server->entry.slots;
    uint32_t typical = (uint32_t)((typical_milli + 500) / 1000);
    return inflight > typical ? inflight : typical;
}

/* The typical load decays, so that servers are tried again. For a domain
 * without recent reports it is that of all domains, or 0 for requests that
 * probe. */
static int64_t
typical_load_milli(const Search *q, const CpFleetServer *server)
{
    const CpFleetTypicalLoad *load =
        &q->service->typical_loads[server->domain_index];
    if (load->last_report_ns == 0 ||
        q->now_ns - load->last_report_ns > TYPICAL_LOAD_MAX_AGE_NS) {
        load = &q->service->typical_load_all;
        if (q->is_probe) {
            return 0;
        }
    }
    return decay(load->load_milli, q->now_ns - load->last_report_ns,
                 TYPICAL_LOAD_HALF_LIFE_NS);
}

static int64_t
miss_milli(const Search *q, const CpFleetServer *server, uint32_t placement)
{
    if (placement == 0) {
        return 0;
    }
    if (CpFleet_IsCached(q->cached, server->hash, q->now_ns)) {
        return NON_PRIMARY_HIT_MILLI;
    }
    return placement == 1 ? SECONDARY_MISS_MILLI : MISS_MILLI;
}

/* Work on an object that is not cached holds a slot several times as long, so
 * it is sent only where half of the slots are free. Otherwise it would drive
 * the next requests away from their primary servers, too. */
static bool
has_spare_slots(const Candidate *candidate)
{
    return 2 * (candidate->inflight + 1) <= candidate->server->entry.slots + 1;
}

/* Returns true if most slots of this region are in use. */
static bool
is_load_high(const Search *q)
{
    uint32_t inflight = 0, slots = 0;
    for (uint32_t i = 0; i < q->service->servers->len; i++) {
        CpFleetServer *server = g_ptr_array_index(q->service->servers, i);
        if (CpFleet_IsEligible(q->fleet, server) &&
            CpFleet_Locality(q->fleet, server->domain_index) !=
                CP_LOCALITY_REMOTE) {
            inflight += CpFleet_Inflight(server, q->now_ns);
            slots += server->entry.slots;
        }
    }
    return inflight * 1000 >= slots * HIGH_LOAD_MILLI;
}

static void
set_cost(const Search *q, Candidate *candidate)
{
    const CpFleetServer *server = candidate->server;
    int64_t work_us = q->service->mean_work_us;
    candidate->wait_us = CpFleet_ExpectedWait_us(
        q->service, server, candidate->inflight, q->now_ns);
    candidate->cost_us =
        candidate->wait_us +
        work_us * CpFleet_Slowness_milli(server, q->now_ns) / 1000 +
        work_us * candidate->miss_milli / 1000 +
        work_us * FAILURE_COST * server->failure_milli / 1000;
    /* The primary server of an object has no locality cost. */
    if (candidate->placement != 0 || q->request->object == NULL) {
        candidate->cost_us +=
            locality_cost_us[CpFleet_Locality(q->fleet, server->domain_index)];
    }
}

/* Checks the best candidate against the deadline and the latency goal; returns
 * the reason to refuse the request, or CP_REASON_NONE. */
static CpReason
check_candidate(const Search *q, const Candidate *best)
{
    if (best->server == NULL) {
        return q->skipped_busy   ? CP_REASON_WOULD_MISS_GOAL
               : q->skipped_cold ? CP_REASON_WARMING_UP
                                 : CP_REASON_NO_SERVER;
    }
    if (best->wait_us > q->request->deadline_left_ms * INT64_C(1000)) {
        return CP_REASON_WOULD_MISS_DEADLINE;
    }
    if (q->request->host_left_ms > 0 &&
        best->cost_us > q->request->host_left_ms * INT64_C(1000)) {
        return CP_REASON_HOST_LEAVING;
    }
    if (best->cost_us > q->request->goal_left_ms * INT64_C(1000) &&
        (best->wait_us > 0 || (is_load_high(q) && !has_spare_slots(best)))) {
        return CP_REASON_WOULD_MISS_GOAL;
    }
    return CP_REASON_NONE;
}

static void
assign_request(Search *q, const Candidate *best, CpFleetChoice *out)
{
    CpFleetServer *server = best->server;
    out->cold = server->cold_until_ns > q->now_ns;
    if (out->cold && q->service->warmup_per_s_milli > 0) {
        server->next_request_ns =
            q->now_ns + CP_NS_PER_S * 1000 * server->warmup_host_count /
                            q->service->warmup_per_s_milli;
    }
    server->inflight++;
    if (q->request->object != NULL) {
        CpFleet_RecordCached(q->service, q->request->object, server->hash,
                             q->now_ns);
    }
    CpStr_Copy(out->instance, sizeof(out->instance), server->entry.instance);
    CpStr_Copy(out->address, sizeof(out->address), server->entry.address);
    out->entry_age_ms =
        (uint32_t)((q->now_ns - server->entry_ns) / CP_NS_PER_MS);
    out->locality = CpFleet_Locality(q->fleet, server->domain_index);
    out->placement = best->placement;
    out->wait_ms = (uint32_t)(best->wait_us / 1000);
    out->expected_ms = (uint32_t)(best->cost_us / 1000);
    out->load_age_ms =
        server->load_report_ns == 0
            ? UINT32_MAX
            : (uint32_t)((q->now_ns - server->load_report_ns) / CP_NS_PER_MS);
}

/* The wait at the best candidate, plus up to half of it as jitter. */
static uint32_t
retry_after_ms(const CpFleetRequest *request, int64_t wait_us)
{
    uint32_t ms = (uint32_t)(wait_us / 1000);
    if (ms < MIN_RETRY_AFTER_MS) {
        ms = MIN_RETRY_AFTER_MS;
    }
    ms += (uint32_t)(request->random % (ms / 2 + 1));
    return ms < MAX_RETRY_AFTER_MS ? ms : MAX_RETRY_AFTER_MS;
}
