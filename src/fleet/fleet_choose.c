/* Chooses servers by object and refuses requests that would wait too long. */
#include <math.h>
#include <stdlib.h>
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

/* Cost of a request that misses its latency goal or its deadline, as a
 * multiple of the time left: a chance of a tenth is worth a fifth of it. */
#define MISS_COST 2
/* With at least this chance the primary server is taken without a look at the
 * others. */
#define IDEAL_GOAL_SHARE 0.9
/* Of the measured share of failures: servers that are avoided are not measured
 * again, and most timeouts are those of a slow moment. */
#define FAILURE_HALF_LIFE_NS (1 * CP_NS_PER_S)
/* Part of the mean work by which hosts that know the same choose differently.
 */
#define JITTER_DIVISOR 16
/* A request leaves a server that became slow only for one with at least this
 * chance, and one that is better by this. */
#define FASTER_GOAL_SHARE 0.5
#define FASTER_MARGIN 0.2
/* With fewer responses the work time is an assumption, and no reason to move.
 */
#define MIN_WORKS 8

/* Half of a service's slots stay in use, however bad the servers are. */
#define FLOOR_DIVISOR 2
/* Where fewer attempts than this succeed in the whole service, a server is
 * passed over only if it is worse than the others: if it has less than this
 * part of their success. */
#define HEALTHY_SERVICE 0.8
#define WORSE_THAN_OTHERS 0.9
/* After so many failures in a row a server is taken as dead. One that fails
 * 90% of its attempts gets there once in 24 times. */
#define DEAD_FAILURES 30
/* Chance that a server becomes slower than any response has shown; it matters
 * when a response is overdue. */
#define STUCK_SHARE 0.05
/* With a smaller chance to be answered at all, a request that would be
 * answered at the usual speed is refused. */
#define MIN_DEADLINE_SHARE 0.25
#define LIKELY_SHARE 0.5
#define SLOW_RETRY_AFTER_US (300 * 1000) /* half the lifetime of a speed */
/* Share of a host's requests that leave the region because its servers are
 * slow at the moment; shifts between regions have to stay below 15% in 2 s. */
#define REMOTE_CREDIT_MILLI 50
#define MAX_REMOTE_CREDIT_MILLI 1000

typedef struct {
    const CpFleet *fleet;
    CpFleetService *service;
    const CpFleetRequest *request;
    int64_t now_ns;
    const CpFleetCached *cached; /* servers that have the object */
    CpFleetPlacement placement;
    bool has_speeds;   /* the servers report their speed */
    bool is_probe;     /* treats servers of domains without reports as idle */
    bool skipped_cold; /* a server was skipped because it is cold */
    bool skipped_busy; /* a server was skipped for lack of spare slots */
    uint32_t usable_slots;
    uint32_t passed_over_slots; /* of servers that failed recently */
    int64_t usable_ns; /* when the first of those that rest is usable again */
} Search;

/* A server that may get the request. */
typedef struct {
    CpFleetServer *server;
    uint32_t placement;
    int64_t miss_milli;
    uint32_t inflight;
    CpFleetWorkClass work_class;
    int64_t wait_us;
    int64_t expected_us; /* until the response, with the locality cost */
    int64_t cost_us;     /* what candidates are compared by */
    /* Of a service whose servers report their speed. */
    int64_t usual_cost_us; /* if all servers had the same speed */
    double goal_share;     /* chance of a response within the goal */
    double deadline_share; /* the same within the deadline */
} Candidate;

static uint32_t decay(uint32_t value, int64_t age_ns, int64_t half_life_ns);
static bool consider(Search *q, CpFleetServer *server, Candidate *out);
static bool consider_usable(Search *q, CpFleetServer *server, Candidate *out);
static void consider_floor(Search *q, Candidate *near, Candidate *best);
static void keep_better(const Search *q, const Candidate *candidate,
                        Candidate *near, Candidate *best);
static int by_success(const void *a, const void *b);
static bool is_permitted(const Search *q, const CpFleetServer *server);
static bool is_passed_over(const Search *q, const CpFleetServer *server);
static CpFleetWorkClass work_class(const Search *q,
                                   const Candidate *candidate);
static void keep_in_region(Search *q, const Candidate *near, Candidate *best);
static bool is_remote(const Search *q, const Candidate *candidate);
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
static void set_cost_by_speed(const Search *q, Candidate *candidate);
static int64_t locality_cost(const Search *q, const Candidate *candidate);
static bool is_too_slow_now(const Search *q, const Candidate *best);
static bool is_faster(const Search *q, const Candidate *best);
static double goal_share_now(const Search *q, const CpFleetAttempt *attempt);
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
                .has_speeds = CpFleet_HasSpeeds(s, now_ns),
                .is_probe = request->random % PROBE_ONE_IN == 0,
                .usable_ns = INT64_MAX,
                .cached = CpFleet_FindCached(s, request->object)};
    Candidate best = {.cost_us = INT64_MAX}, near = best;
    Candidate candidate = {0};
    memset(out, 0, sizeof(*out));
    /* a look for a faster server is no request */
    s->requests_since_tick += request->slow_attempt == NULL;
    CpFleet_PlaceObject(f, s, request->object, request, &q.placement);
    /* Hundreds of others need no look if none of them can be better. */
    bool ideal = q.placement.primary != NULL &&
                 consider(&q, q.placement.primary, &candidate) &&
                 is_ideal(&q, &candidate);
    /* A server that has to load the object first misses the goal as a slow
     * primary server does, and holds its slot longer. */
    bool primary_is_free = q.has_speeds && q.placement.primary != NULL &&
                           candidate.server == q.placement.primary &&
                           candidate.wait_us == 0;
    if (ideal) {
        best = candidate;
    }
    q.usable_slots = q.passed_over_slots =
        0; /* the primary is counted again */
    for (uint32_t i = 0; !ideal && i < s->servers->len; i++) {
        if (!consider(&q, g_ptr_array_index(s->servers, i), &candidate) ||
            (primary_is_free && candidate.work_class != CP_WORK_PRIMARY &&
             candidate.work_class != CP_WORK_CACHED)) {
            continue;
        }
        keep_better(&q, &candidate, &near, &best);
    }
    if (!ideal && q.passed_over_slots > 0) {
        consider_floor(&q, &near, &best);
    }
    if (q.has_speeds) {
        keep_in_region(&q, &near, &best);
    }
    CpReason reason = check_candidate(&q, &best);
    if (reason == CP_REASON_NONE && request->slow_attempt != NULL &&
        !is_faster(&q, &best)) {
        reason = CP_REASON_WOULD_MISS_GOAL;
    }
    if (reason == CP_REASON_NONE) {
        assign_request(&q, &best, out);
    }
    else {
        out->wait_ms = (uint32_t)(best.wait_us / 1000);
        out->expected_ms =
            best.server != NULL ? (uint32_t)(best.expected_us / 1000) : 0;
        bool all_rest =
            reason == CP_REASON_NO_SERVER && q.usable_ns != INT64_MAX;
        out->retry_after_ms = retry_after_ms(
            request, all_rest ? (q.usable_ns - now_ns) / CP_NS_PER_US
                     : best.server != NULL && is_too_slow_now(&q, &best)
                         ? SLOW_RETRY_AFTER_US
                         : best.wait_us);
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
    int64_t wait_us = (int64_t)(inflight - slots + 1) * s->mean_work_us *
                      CpFleet_Slowness_milli(server, now_ns) / 1000 / slots;
    if (!CpFleet_HasSpeeds(s, now_ns)) {
        return wait_us;
    }
    /* the speed in the middle of the wait, against that of the mean work */
    double percent = CpFleet_ExpectedPercent(
        s, server, now_ns + wait_us / 2 * CP_NS_PER_US);
    return (int64_t)((double)wait_us * percent * 1000 /
                     s->typical_percent_milli);
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
    return is_usable(q, server) && consider_usable(q, server, out);
}

static bool
consider_usable(Search *q, CpFleetServer *server, Candidate *out)
{
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
    out->work_class = work_class(q, out);
    set_cost(q, out);
    return true;
}

/* A server that was passed over, with its expected success. */
typedef struct {
    CpFleetServer *server;
    double success;
} PassedOver;

/* If too small a share of the slots is usable, considers servers that were
 * passed over for their failures, the least bad first. One that is taken as
 * dead gets one request at a time, to find out whether it is. */
static void
consider_floor(Search *q, Candidate *near, Candidate *best)
{
    uint32_t n = 0, slots = q->usable_slots;
    uint32_t floor_slots =
        (q->usable_slots + q->passed_over_slots + 1) / FLOOR_DIVISOR;
    if (slots >= floor_slots) {
        return;
    }
    PassedOver *list = CpMem_Alloc(q->service->servers->len * sizeof(*list));
    for (uint32_t i = 0; i < q->service->servers->len; i++) {
        CpFleetServer *server = g_ptr_array_index(q->service->servers, i);
        if (is_permitted(q, server) && is_passed_over(q, server) &&
            server->paused_until_ns <= q->now_ns) {
            list[n++] = (PassedOver){
                server,
                CpFleet_ExpectedSuccess(q->service, server, q->now_ns)};
        }
    }
    qsort(list, n, sizeof(*list), by_success);
    for (uint32_t i = 0; i < n && slots < floor_slots; i++) {
        CpFleetServer *server = list[i].server;
        Candidate candidate;
        slots += server->entry.slots;
        if (server->consecutive_failures >= DEAD_FAILURES &&
            server->inflight > 0) {
            continue;
        }
        if (!warmup_allows(q, server)) {
            q->skipped_cold = true;
            continue;
        }
        if (consider_usable(q, server, &candidate)) {
            /* each failure in a row makes the next one more likely */
            double success =
                ldexp(list[i].success, -(int)server->consecutive_failures);
            candidate.cost_us += (int64_t)(q->service->mean_work_us *
                                           FAILURE_COST * (1 - success));
            keep_better(q, &candidate, near, best);
        }
    }
    free(list);
}

static void
keep_better(const Search *q, const Candidate *candidate, Candidate *near,
            Candidate *best)
{
    if (candidate->cost_us < best->cost_us) {
        *best = *candidate;
    }
    if (candidate->cost_us < near->cost_us && !is_remote(q, candidate)) {
        *near = *candidate;
    }
}

static int
by_success(const void *a, const void *b)
{
    double x = ((const PassedOver *)a)->success;
    double y = ((const PassedOver *)b)->success;
    return x > y ? -1 : x < y;
}

static CpFleetWorkClass
work_class(const Search *q, const Candidate *candidate)
{
    return CpFleet_IsCached(q->cached, candidate->server->hash, q->now_ns)
               ? CP_WORK_CACHED
           : candidate->placement == 0 ? CP_WORK_PRIMARY
           : candidate->placement == 1 ? CP_WORK_SECONDARY
                                       : CP_WORK_OTHER;
}

/* Returns true if the request would leave this region, other than for the
 * primary server of its object. */
static bool
is_remote(const Search *q, const Candidate *candidate)
{
    return (q->request->object == NULL || candidate->placement != 0) &&
           CpFleet_Locality(q->fleet, candidate->server->domain_index) ==
               CP_LOCALITY_REMOTE;
}

/* Speeds change faster than traffic may be shifted, so only a small share of
 * the requests leaves the region for a better speed. `near` is the best
 * candidate that does not. */
static void
keep_in_region(Search *q, const Candidate *near, Candidate *best)
{
    uint32_t *credit = &q->service->remote_credit_milli;
    *credit += REMOTE_CREDIT_MILLI;
    if (*credit > MAX_REMOTE_CREDIT_MILLI) {
        *credit = MAX_REMOTE_CREDIT_MILLI;
    }
    if (best->server == NULL || near->server == NULL || !is_remote(q, best) ||
        near->usual_cost_us > best->usual_cost_us) {
        return;
    }
    if (*credit >= 1000) {
        *credit -= 1000;
    }
    else {
        *best = *near;
    }
}

/* Returns true if the candidate costs no more than the mean work: only the
 * primary server has neither a locality cost nor a cache miss. */
static bool
is_ideal(const Search *q, const Candidate *candidate)
{
    if (q->has_speeds) {
        return candidate->wait_us == 0 &&
               candidate->goal_share >= IDEAL_GOAL_SHARE;
    }
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
    if (!is_permitted(q, server)) {
        return false;
    }
    bool paused = server->paused_until_ns > q->now_ns;
    if (paused || is_passed_over(q, server)) {
        int64_t rest_until_ns =
            server->ejected_until_ns > server->paused_until_ns
                ? server->ejected_until_ns
                : server->paused_until_ns;
        if (rest_until_ns > q->now_ns && rest_until_ns < q->usable_ns) {
            q->usable_ns = rest_until_ns;
        }
        q->passed_over_slots += paused ? 0 : server->entry.slots;
        return false;
    }
    q->usable_slots += server->entry.slots;
    if (!warmup_allows(q, server)) {
        q->skipped_cold = true;
        return false;
    }
    return true;
}

static bool
is_permitted(const Search *q, const CpFleetServer *server)
{
    return CpFleet_IsEligible(q->fleet, server) &&
           CpFleet_IsHome(q->fleet, server, q->request) &&
           !was_tried(q->request, server);
}

/* Returns true if the server is ejected, or failed and has not yet responded
 * to the request that it got since. Where the whole service fails, a server is
 * passed over only if it is worse than the others. */
static bool
is_passed_over(const Search *q, const CpFleetServer *server)
{
    if (server->ejected_until_ns <= q->now_ns &&
        (server->consecutive_failures == 0 || server->inflight == 0)) {
        return false;
    }
    double success = CpFleet_ServiceSuccess(q->service, q->now_ns);
    return success >= HEALTHY_SERVICE ||
           server->consecutive_failures >= DEAD_FAILURES ||
           CpFleet_ExpectedSuccess(q->service, server, q->now_ns) <
               WORSE_THAN_OTHERS * success;
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
    return placement == 1 ? CP_FLEET_SECONDARY_MISS_MILLI
                          : CP_FLEET_MISS_MILLI;
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
    if (q->has_speeds) {
        set_cost_by_speed(q, candidate);
        return;
    }
    candidate->cost_us =
        candidate->wait_us +
        work_us * CpFleet_Slowness_milli(server, q->now_ns) / 1000 +
        work_us * candidate->miss_milli / 1000 +
        work_us * FAILURE_COST * server->failure_milli / 1000 +
        locality_cost(q, candidate);
    candidate->expected_us = candidate->cost_us;
}

/* Of servers that report their speed, the one with the best chance to respond
 * within the goal costs least; where none has a chance, the one that responds
 * soonest within the deadline. */
static void
set_cost_by_speed(const Search *q, Candidate *candidate)
{
    const CpFleetServer *server = candidate->server;
    const CpFleetService *s = q->service;
    int64_t start_ns = q->now_ns + candidate->wait_us * CP_NS_PER_US;
    int64_t goal_us = q->request->goal_left_ms * INT64_C(1000);
    int64_t deadline_us = q->request->deadline_left_ms * INT64_C(1000);
    double slowness = (double)CpFleet_Slowness_milli(server, q->now_ns) / 1000;
    uint32_t failure_milli =
        decay(server->failure_milli, q->now_ns - server->last_failure_ns,
              FAILURE_HALF_LIFE_NS);
    double success = 1 - failure_milli / 1000.0;
    /* Good news from another region attracts no requests. */
    double max_weight = is_remote(q, candidate) ? 0 : 1;
    double usual_us =
        CpFleet_UsualWork_us(s, candidate->work_class) * slowness / 100;
    int64_t other_us =
        (int64_t)s->mean_work_us * FAILURE_COST * failure_milli / 1000 +
        locality_cost(q, candidate);
    candidate->expected_us =
        candidate->wait_us +
        (int64_t)(usual_us * CpFleet_ExpectedPercent(s, server, start_ns)) +
        other_us;
    candidate->usual_cost_us =
        candidate->wait_us +
        (int64_t)(usual_us * s->typical_percent_milli / 1000) + other_us;
    candidate->goal_share =
        success *
        CpFleet_ChanceWithin(
            s, server, candidate->work_class,
            (int64_t)((double)(goal_us - candidate->wait_us) / slowness),
            start_ns, max_weight);
    candidate->deadline_share =
        success *
        CpFleet_ChanceWithin(
            s, server, candidate->work_class,
            (int64_t)((double)(deadline_us - candidate->wait_us) / slowness),
            start_ns, max_weight);
    uint32_t slots = server->entry.slots > 0 ? server->entry.slots : 1;
    candidate->cost_us =
        candidate->expected_us +
        (int64_t)((1 - candidate->goal_share) * MISS_COST * (double)goal_us) +
        (int64_t)((1 - candidate->deadline_share) * MISS_COST *
                  (double)deadline_us);
    if (q->request->object == NULL) {
        /* Other hosts choose at the same time: a queue is the less likely the
         * more slots are free, and hosts that know the same had better not
         * choose the same server. */
        uint64_t key[2] = {q->request->random, server->hash};
        candidate->cost_us +=
            (int64_t)s->mean_work_us * candidate->inflight / slots +
            (int64_t)(CpHash(key, sizeof(key), 4) %
                      (s->mean_work_us / JITTER_DIVISOR + 1));
    }
}

/* The primary server of an object has no locality cost. */
static int64_t
locality_cost(const Search *q, const Candidate *candidate)
{
    return candidate->placement != 0 || q->request->object == NULL
               ? locality_cost_us[CpFleet_Locality(
                     q->fleet, candidate->server->domain_index)]
               : 0;
}

/* Returns true if only the present speed of the best candidate, or the queue
 * at it, makes a response within the deadline unlikely. */
static bool
is_too_slow_now(const Search *q, const Candidate *best)
{
    int64_t deadline_us = q->request->deadline_left_ms * INT64_C(1000);
    return q->has_speeds && best->deadline_share < MIN_DEADLINE_SHARE &&
           CpFleet_ChanceWithin(q->service, best->server, best->work_class,
                                deadline_us, INT64_MAX, 0) >= LIKELY_SHARE;
}

/* Returns true if the request had better move on to the candidate from the
 * server that runs it. */
static bool
is_faster(const Search *q, const Candidate *best)
{
    return q->has_speeds &&
           q->service->work_times[best->work_class].total >= MIN_WORKS &&
           best->goal_share >= FASTER_GOAL_SHARE &&
           best->goal_share >=
               goal_share_now(q, q->request->slow_attempt) + FASTER_MARGIN;
}

/* Returns the chance that an attempt in progress, without a response so far,
 * gets one within the latency goal. */
static double
goal_share_now(const Search *q, const CpFleetAttempt *attempt)
{
    const CpFleetServer *server =
        CpFleet_FindServer(q->service, attempt->instance);
    if (server == NULL) {
        return 0;
    }
    int64_t elapsed_us = (q->now_ns - attempt->started_ns) / CP_NS_PER_US -
                         attempt->wait_ms * INT64_C(1000);
    int64_t goal_us = q->request->goal_left_ms * INT64_C(1000) + elapsed_us;
    double ended =
        CpFleet_ChanceWithin(q->service, server, attempt->work_class,
                             elapsed_us, attempt->started_ns, 1);
    double in_goal =
        CpFleet_ChanceWithin(q->service, server, attempt->work_class, goal_us,
                             attempt->started_ns, 1);
    return (in_goal - ended) / (1 - ended + STUCK_SHARE);
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
    if (is_too_slow_now(q, best)) {
        return CP_REASON_WOULD_MISS_DEADLINE;
    }
    if (q->request->host_left_ms > 0 &&
        best->expected_us > q->request->host_left_ms * INT64_C(1000)) {
        return CP_REASON_HOST_LEAVING;
    }
    if (best->expected_us > q->request->goal_left_ms * INT64_C(1000) &&
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
    out->expected_ms = (uint32_t)(best->expected_us / 1000);
    out->work_class = best->work_class;
    if (q->has_speeds) {
        out->work_percent =
            (uint32_t)CpFleet_ExpectedPercent(q->service, server, q->now_ns);
        out->goal_share_milli = (uint32_t)(best->goal_share * 1000);
    }
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
