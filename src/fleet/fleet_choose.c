/* Chooses servers by object and refuses requests that would wait too long. */
#include <string.h>

#include "fleet/fleet_int.h"

/* Cost of the round trip and of the bytes, as the queueing time that is
 * accepted to avoid it; by locality. Other domains cost several round trips of
 * the users' regions, so that work stays local unless local servers are
 * busy. */
static const int64_t distance_us[CP_NEAR_COUNT] = {
    [CP_NEAR_DOMAIN] = 500,
    [CP_NEAR_REGION] = 30 * 1000,
    [CP_NEAR_FAR] = 120 * 1000,
};

/* Extra work on an object that a server does not have cached, in thousandths
 * of the mean work. The secondary server is preferred to others, because it
 * keeps what was sent there before in its cache. */
#define UNFAMILIAR_MILLI 1500
#define SECOND_MILLI 1200
#define AWAY_MILLI 50 /* cached, but not at the primary server */

#define SLOW_HALVING_NS (3 * CP_NS_PER_S)
#define OTHERS_HALVING_NS (150 * CP_NS_PER_MS) /* about one request's work */
#define USUAL_LIFE_NS (3 * CP_NS_PER_S)    /* a few times the longest work */
#define USUAL_HALVING_NS (1 * CP_NS_PER_S) /* most work has ended by then */
#define EXPLORE_ONE_IN 8       /* requests; all hosts probe at the same time */
#define PRESSED_MILLI 700      /* of the slots; above, queues grow */
#define FAIL_COST 3            /* cost of a failed attempt, in mean works */
#define MIN_RETRY_AFTER_MS 100 /* a shorter delay would only add traffic */
/* Callers honour delays up to a third of their timeout. */
#define MAX_RETRY_AFTER_MS 2000

typedef struct {
    const CpFleet *fleet;
    CpFleetService *service;
    const CpFleetAsk *ask;
    int64_t now_ns;
    const CpFleetCached *familiar; /* servers that have the object */
    CpFleetPlacement homes;
    bool explores; /* treats servers of domains without reports as idle */
    bool warming;  /* a server was skipped because it is cold */
    bool busy;     /* a server was skipped for want of spare slots */
} Search;

/* A server that may get the request. */
typedef struct {
    CpFleetServer *server;
    uint32_t place;
    int64_t unfamiliar_milli;
    uint32_t inside;
    int64_t wait_us;
    int64_t total_us; /* until the response, with the locality cost */
} Option;

static uint32_t faded(uint32_t value, int64_t age_ns, int64_t halving_ns);
static bool fits_route(void *ctx, const CpFleetServer *v);
static bool may_use(Search *q, const CpFleetServer *v);
static bool warmup_allows(const Search *q, const CpFleetServer *v,
                          uint32_t *parts);
static uint32_t place_of(const Search *q, const CpFleetServer *v);
static uint32_t with_usual(const Search *q, const CpFleetServer *v,
                           uint32_t inside);
static int64_t usual_load_milli(const Search *q, const CpFleetServer *v);
static int64_t unfamiliar_milli(const Search *q, const CpFleetServer *v,
                                uint32_t place);
static bool has_spare_slots(const Option *o);
static bool is_pressed(const Search *q);
static void add_cost(const Search *q, Option *o);
static CpReason judge(const Search *q, const Option *best);
static void take(Search *q, const Option *best, CpFleetPick *out);
static uint32_t retry_after_ms(const CpFleetAsk *ask, int64_t wait_us);

CpReason
CpFleet_Choose(CpFleet *f, const CpFleetAsk *ask, int64_t now_ns,
               CpFleetPick *out)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_LockService(f, ask->service, &s);
    Search q = {.fleet = f,
                .service = s,
                .ask = ask,
                .now_ns = now_ns,
                .explores = ask->random % EXPLORE_ONE_IN == 0,
                .familiar = CpFleet_FindCached(s, ask->object)};
    Option best = {.total_us = INT64_MAX};
    memset(out, 0, sizeof(*out));
    s->requests_since_tick++;
    CpFleet_PlaceObject(f, s, ask->object, fits_route, &q, &q.homes);
    for (uint32_t i = 0; i < s->servers->len; i++) {
        CpFleetServer *v = g_ptr_array_index(s->servers, i);
        if (!may_use(&q, v)) {
            continue;
        }
        Option o = {.server = v,
                    .place = place_of(&q, v),
                    .inside = CpFleet_Inflight(v, now_ns)};
        if (o.place != 0) {
            o.inside = with_usual(&q, v, o.inside);
        }
        o.unfamiliar_milli = unfamiliar_milli(&q, v, o.place);
        if (o.unfamiliar_milli > AWAY_MILLI && !has_spare_slots(&o)) {
            q.busy = true;
            continue;
        }
        add_cost(&q, &o);
        if (o.total_us < best.total_us) {
            best = o;
        }
    }
    CpReason reason = judge(&q, &best);
    if (reason == CP_REASON_NONE) {
        take(&q, &best, out);
    }
    else {
        out->wait_ms = (uint32_t)(best.wait_us / 1000);
        out->expected_ms =
            best.server != NULL ? (uint32_t)(best.total_us / 1000) : 0;
        out->retry_after_ms = retry_after_ms(ask, best.wait_us);
    }
    pthread_mutex_unlock(&sh->lock);
    return reason;
}

uint32_t
CpFleet_Usable(CpFleet *f, const char *service, int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_LockService(f, service, &s);
    CpFleetAsk ask = {.service = service};
    Search q = {.fleet = f, .service = s, .ask = &ask, .now_ns = now_ns};
    uint32_t n = 0;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        n += may_use(&q, g_ptr_array_index(s->servers, i));
    }
    pthread_mutex_unlock(&sh->lock);
    return n;
}

/* An avoided server is not measured again, so its measurement decays. */
int64_t
CpFleet_Slowness_milli(const CpFleetServer *v, int64_t now_ns)
{
    int64_t slow =
        faded(v->slowness_milli, now_ns - v->slowness_ns, SLOW_HALVING_NS);
    return slow >= CP_FLEET_SLOW_OUTLIER_MILLI ? slow : 1000;
}

uint32_t
CpFleet_Inflight(const CpFleetServer *v, int64_t now_ns)
{
    uint32_t told = CpFleet_PeerInflight(v, now_ns);
    uint32_t others = faded(v->others_inflight_milli,
                            now_ns - v->load_report_ns, OTHERS_HALVING_NS);
    others = (others + 500) / 1000;
    return v->inflight + (told > others ? told : others);
}

int64_t
CpFleet_ExpectedWait_us(const CpFleetService *s, const CpFleetServer *v,
                        uint32_t inside, int64_t now_ns)
{
    uint32_t slots = v->entry.slots > 0 ? v->entry.slots : 1;
    if (inside < slots) {
        return 0;
    }
    return (int64_t)(inside - slots + 1) * s->mean_work_us *
           CpFleet_Slowness_milli(v, now_ns) / 1000 / slots;
}

/* Halves a measurement for each half-life of its age. */
static uint32_t
faded(uint32_t value, int64_t age_ns, int64_t halving_ns)
{
    int64_t halvings = age_ns / halving_ns;
    return halvings < 16 ? value >> halvings : 0;
}

/* Whether the server may get new work and is in a region where the request may
 * run. */
static bool
fits_route(void *ctx, const CpFleetServer *v)
{
    const Search *q = ctx;
    const CpFleet *f = q->fleet;
    if (!CpFleet_IsEligible(f, v)) {
        return false;
    }
    const char *region = v->domain_index < f->options.domain_count
                             ? f->domains[v->domain_index].region
                             : "";
    return CpRegion_IsHome(q->ask->homes, q->ask->home_count, region);
}

static bool
may_use(Search *q, const CpFleetServer *v)
{
    uint32_t parts;
    if (!fits_route(q, v) || v->ejected_until_ns > q->now_ns) {
        return false;
    }
    if (v->consecutive_failures > 0 && v->inflight > 0) {
        return false; /* one request at a time until it answers again */
    }
    for (uint32_t i = 0; i < q->ask->tried_count; i++) {
        if (strcmp(q->ask->tried[i], v->entry.instance) == 0) {
            return false;
        }
    }
    if (!warmup_allows(q, v, &parts)) {
        q->warming = true;
        return false;
    }
    return true;
}

static bool
warmup_allows(const Search *q, const CpFleetServer *v, uint32_t *parts)
{
    const CpFleetOptions *o = &q->fleet->options;
    *parts = 1;
    if (v->cold_until_ns <= q->now_ns) {
        return true;
    }
    if (o->warmup_part != NULL &&
        !o->warmup_part(o->ctx, v->entry.instance, v->entry.domain, parts)) {
        return false;
    }
    return v->next_request_ns <= q->now_ns;
}

static uint32_t
place_of(const Search *q, const CpFleetServer *v)
{
    if (q->ask->object == NULL) {
        return 0;
    }
    return v == q->homes.primary ? 0 : v == q->homes.secondary ? 1 : 2;
}

/* Requests in flight at a server that is not the object's primary. Hosts of a
 * server's domain get reports from all hosts that use it, others only from
 * some: for those a server without reports need not be idle, and its load is
 * taken to be at least the typical one. */
static uint32_t
with_usual(const Search *q, const CpFleetServer *v, uint32_t inside)
{
    if (CpFleet_Locality(q->fleet, v->domain_index) == CP_NEAR_DOMAIN) {
        return inside;
    }
    int64_t milli = usual_load_milli(q, v) * v->entry.slots;
    uint32_t usual = (uint32_t)((milli + 500) / 1000);
    return inside > usual ? inside : usual;
}

/* The typical load decays, so that servers are tried again. For a domain
 * without recent reports it is that of all domains, or 0 for requests that
 * probe. */
static int64_t
usual_load_milli(const Search *q, const CpFleetServer *v)
{
    const CpFleetTypicalLoad *u = &q->service->typical_loads[v->domain_index];
    if (u->last_report_ns == 0 ||
        q->now_ns - u->last_report_ns > USUAL_LIFE_NS) {
        u = &q->service->typical_load_all;
        if (q->explores) {
            return 0;
        }
    }
    return faded(u->load_milli, q->now_ns - u->last_report_ns,
                 USUAL_HALVING_NS);
}

static int64_t
unfamiliar_milli(const Search *q, const CpFleetServer *v, uint32_t place)
{
    if (place == 0) {
        return 0;
    }
    if (CpFleet_IsCached(q->familiar, v->hash, q->now_ns)) {
        return AWAY_MILLI;
    }
    return place == 1 ? SECOND_MILLI : UNFAMILIAR_MILLI;
}

/* Work on an object that is not cached holds a slot several times as long, so
 * it is sent only where half of the slots are free. Otherwise it would drive
 * the next requests away from their primary servers, too. */
static bool
has_spare_slots(const Option *o)
{
    return 2 * (o->inside + 1) <= o->server->entry.slots + 1;
}

/* Whether most slots of this region are in use. */
static bool
is_pressed(const Search *q)
{
    uint32_t inside = 0, slots = 0;
    for (uint32_t i = 0; i < q->service->servers->len; i++) {
        const CpFleetServer *v = g_ptr_array_index(q->service->servers, i);
        if (CpFleet_IsEligible(q->fleet, v) &&
            CpFleet_Locality(q->fleet, v->domain_index) != CP_NEAR_FAR) {
            inside += CpFleet_Inflight(v, q->now_ns);
            slots += v->entry.slots;
        }
    }
    return inside * 1000 >= slots * PRESSED_MILLI;
}

static void
add_cost(const Search *q, Option *o)
{
    const CpFleetServer *v = o->server;
    int64_t work_us = q->service->mean_work_us;
    o->wait_us = CpFleet_ExpectedWait_us(q->service, v, o->inside, q->now_ns);
    o->total_us = o->wait_us +
                  work_us * CpFleet_Slowness_milli(v, q->now_ns) / 1000 +
                  work_us * o->unfamiliar_milli / 1000 +
                  work_us * FAIL_COST * v->failure_milli / 1000;
    /* The primary server of an object has no locality cost. */
    if (o->place != 0 || q->ask->object == NULL) {
        o->total_us +=
            distance_us[CpFleet_Locality(q->fleet, v->domain_index)];
    }
}

/* Checks the best candidate against the deadline and the latency goal; returns
 * the reason to refuse the request, or CP_REASON_NONE. */
static CpReason
judge(const Search *q, const Option *best)
{
    if (best->server == NULL) {
        return q->busy      ? CP_REASON_WOULD_MISS_GOAL
               : q->warming ? CP_REASON_WARMING_UP
                            : CP_REASON_NO_SERVER;
    }
    if (best->wait_us > q->ask->deadline_left_ms * INT64_C(1000)) {
        return CP_REASON_WOULD_MISS_DEADLINE;
    }
    if (best->total_us > q->ask->goal_left_ms * INT64_C(1000) &&
        (best->wait_us > 0 || (is_pressed(q) && !has_spare_slots(best)))) {
        return CP_REASON_WOULD_MISS_GOAL;
    }
    return CP_REASON_NONE;
}

static void
take(Search *q, const Option *best, CpFleetPick *out)
{
    CpFleetServer *v = best->server;
    uint32_t parts;
    out->cold = v->cold_until_ns > q->now_ns;
    if (out->cold && warmup_allows(q, v, &parts) &&
        q->service->warmup_per_s_milli > 0) {
        v->next_request_ns = q->now_ns + CP_NS_PER_S * 1000 * parts /
                                             q->service->warmup_per_s_milli;
    }
    v->inflight++;
    if (q->ask->object != NULL) {
        CpFleet_RecordCached(q->service, q->ask->object, v->hash, q->now_ns);
    }
    CpStr_Copy(out->instance, sizeof(out->instance), v->entry.instance);
    CpStr_Copy(out->address, sizeof(out->address), v->entry.address);
    out->entry_age_ms = (uint32_t)((q->now_ns - v->entry_ns) / CP_NS_PER_MS);
    out->nearness = CpFleet_Locality(q->fleet, v->domain_index);
    out->place = best->place;
    out->wait_ms = (uint32_t)(best->wait_us / 1000);
    out->expected_ms = (uint32_t)(best->total_us / 1000);
    out->load_age_ms =
        v->load_report_ns == 0
            ? UINT32_MAX
            : (uint32_t)((q->now_ns - v->load_report_ns) / CP_NS_PER_MS);
}

/* The wait at the best candidate, plus up to half of it as jitter. */
static uint32_t
retry_after_ms(const CpFleetAsk *ask, int64_t wait_us)
{
    uint32_t ms = (uint32_t)(wait_us / 1000);
    if (ms < MIN_RETRY_AFTER_MS) {
        ms = MIN_RETRY_AFTER_MS;
    }
    ms += (uint32_t)(ask->random % (ms / 2 + 1));
    return ms < MAX_RETRY_AFTER_MS ? ms : MAX_RETRY_AFTER_MS;
}
