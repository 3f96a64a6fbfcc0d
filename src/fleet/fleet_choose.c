/* Places requests by object, refuses what would wait too long. */
#include <math.h>
#include <string.h>

#include "fleet/fleet_int.h"

/* Way there and back and what the bytes cost, as time that a request would
 * rather wait; by nearness. The farther ones are several round trips of the
 * users' regions, so that work stays near unless near is busy. */
static const int64_t distance_us[CP_NEAR_COUNT] = {
    [CP_NEAR_DOMAIN] = 500,
    [CP_NEAR_REGION] = 30 * 1000,
    [CP_NEAR_FAR] = 120 * 1000,
};

#define FAIL_COST 3             /* a failed attempt costs this many works */
#define MIN_RETRY_AFTER_MS 100  /* a shorter one would only add traffic */
#define MAX_RETRY_AFTER_MS 2000 /* callers honour a third of their time */
#define PARTS_UNKNOWN 1

typedef struct {
    const CpFleet *fleet;
    const CpFleetService *service;
    const CpFleetAsk *ask;
    int64_t now_ns;
    uint64_t object_hash;
    CpNearness home_near; /* nearest class with servers of the service */
    const CpFleetServer *home;
    const CpFleetServer *second;
    bool warming; /* a server was passed over since it is cold */
} Search;

static void find_homes(Search *q);
static double rendezvous(const Search *q, const CpFleetServer *v);
static bool is_listed(const Search *q, const CpFleetServer *v);
static bool may_use(Search *q, const CpFleetServer *v);
static bool warmup_allows(const Search *q, const CpFleetServer *v,
                          uint32_t *parts);
static uint32_t place_of(const Search *q, const CpFleetServer *v);
static int64_t cost_us(const Search *q, const CpFleetServer *v, uint32_t place,
                       int64_t *wait_us);
static void take(Search *q, CpFleetServer *v, uint32_t place, int64_t wait_us,
                 int64_t total_us, CpFleetPick *out);
static uint32_t retry_after_ms(const CpFleetAsk *ask, int64_t wait_us);

CpReason
CpFleet_Choose(CpFleet *f, const CpFleetAsk *ask, int64_t now_ns,
               CpFleetPick *out)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_Lock(f, ask->service, &s);
    Search q = {.fleet = f,
                .service = s,
                .ask = ask,
                .now_ns = now_ns,
                .object_hash =
                    ask->object != NULL ? CpHash_Str(ask->object, 1) : 0};
    CpFleetServer *best = NULL;
    int64_t best_us = INT64_MAX, best_wait_us = 0;
    CpReason reason = CP_REASON_NONE;
    memset(out, 0, sizeof(*out));
    find_homes(&q);
    for (uint32_t i = 0; i < s->servers->len; i++) {
        CpFleetServer *v = g_ptr_array_index(s->servers, i);
        int64_t wait_us;
        if (!may_use(&q, v)) {
            continue;
        }
        int64_t us = cost_us(&q, v, place_of(&q, v), &wait_us);
        if (us < best_us) {
            best = v;
            best_us = us;
            best_wait_us = wait_us;
        }
    }
    if (best == NULL) {
        reason = q.warming ? CP_REASON_WARMING_UP : CP_REASON_NO_SERVER;
    }
    else if (best_wait_us > ask->deadline_left_ms * INT64_C(1000)) {
        reason = CP_REASON_WOULD_MISS_DEADLINE;
    }
    else if (best_wait_us > 0 && best_us > ask->goal_left_ms * INT64_C(1000)) {
        reason = CP_REASON_WOULD_MISS_GOAL;
    }
    if (reason == CP_REASON_NONE) {
        take(&q, best, place_of(&q, best), best_wait_us, best_us, out);
    }
    else {
        out->retry_after_ms = retry_after_ms(ask, best_wait_us);
    }
    pthread_mutex_unlock(&sh->lock);
    return reason;
}

uint32_t
CpFleet_Usable(CpFleet *f, const char *service, int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *sh = CpFleet_Lock(f, service, &s);
    CpFleetAsk ask = {.service = service};
    Search q = {.fleet = f, .service = s, .ask = &ask, .now_ns = now_ns};
    uint32_t n = 0;
    for (uint32_t i = 0; i < s->servers->len; i++) {
        n += may_use(&q, g_ptr_array_index(s->servers, i));
    }
    pthread_mutex_unlock(&sh->lock);
    return n;
}

uint32_t
CpFleet_Work_us(const CpFleetService *s, uint32_t place)
{
    for (uint32_t i = place; i < CP_FLEET_PLACES; i++) {
        if (s->work_us[i] > 0) {
            return s->work_us[i];
        }
    }
    for (uint32_t i = place; i-- > 0;) {
        if (s->work_us[i] > 0) {
            return s->work_us[i];
        }
    }
    return 0;
}

/* A server that is avoided is not measured, so what was measured fades. */
int64_t
CpFleet_Slow_milli(const CpFleetServer *v, int64_t now_ns)
{
    int64_t age_ns = now_ns - v->timed_ns;
    int64_t over = (int64_t)v->slow_milli - 1000;
    int64_t halvings = age_ns / (3 * CP_NS_PER_S);
    return 1000 + (halvings < 16 ? over / (INT64_C(1) << halvings) : 0);
}

uint32_t
CpFleet_Inside(const CpFleetServer *v, int64_t now_ns)
{
    int64_t age_ms = (now_ns - v->loaded_ns) / CP_NS_PER_MS;
    uint32_t halvings = age_ms < 0 ? 0 : (uint32_t)(age_ms / 400);
    uint32_t others = halvings < 16 ? v->others_milli >> halvings : 0;
    return v->outstanding + (others + 500) / 1000;
}

int64_t
CpFleet_Wait_us(const CpFleetService *s, const CpFleetServer *v,
                int64_t now_ns)
{
    uint32_t inside = CpFleet_Inside(v, now_ns);
    uint32_t slots = v->entry.slots > 0 ? v->entry.slots : 1;
    if (inside < slots) {
        return 0;
    }
    return (int64_t)(inside - slots + 1) * CpFleet_Work_us(s, 0) *
           CpFleet_Slow_milli(v, now_ns) / 1000 / slots;
}

/* The object's home and second server, among all that are listed near, also
 * those that rest: a short rest moves no object for good. */
static void
find_homes(Search *q)
{
    double first = INFINITY, second = INFINITY;
    q->home_near = CP_NEAR_COUNT;
    for (uint32_t i = 0; i < q->service->servers->len; i++) {
        const CpFleetServer *v = g_ptr_array_index(q->service->servers, i);
        CpNearness near = CpFleet_Nearness(q->fleet, v->domain_index);
        if (is_listed(q, v) && near < q->home_near) {
            q->home_near = near;
        }
    }
    if (q->ask->object == NULL) {
        return;
    }
    for (uint32_t i = 0; i < q->service->servers->len; i++) {
        const CpFleetServer *v = g_ptr_array_index(q->service->servers, i);
        if (!is_listed(q, v) ||
            CpFleet_Nearness(q->fleet, v->domain_index) != q->home_near) {
            continue;
        }
        double score = rendezvous(q, v);
        if (score < first) {
            second = first;
            q->second = q->home;
            first = score;
            q->home = v;
        }
        else if (score < second) {
            second = score;
            q->second = v;
        }
    }
}

/* Weighted rendezvous hashing: the lowest score wins, in proportion to the
 * slots (Schindelhauer and Schomaker, SPAA 2005). */
static double
rendezvous(const Search *q, const CpFleetServer *v)
{
    uint64_t key[2] = {v->hash, q->object_hash};
    uint64_t h = CpHash(key, sizeof(key), 2);
    double u = ((double)(h >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
    return -log(u) / (v->entry.slots > 0 ? v->entry.slots : 1);
}

/* Whether the server takes new work of this route at all. */
static bool
is_listed(const Search *q, const CpFleetServer *v)
{
    const CpFleet *f = q->fleet;
    if (v->entry.draining || v->replaced) {
        return false;
    }
    if (v->domain_index < f->options.domain_count &&
        CpAtomic_Load(&f->evacuated[v->domain_index])) {
        return false;
    }
    const char *region = v->domain_index < f->options.domain_count
                             ? f->domains[v->domain_index].region
                             : "";
    for (uint32_t i = 0; i < q->ask->home_count; i++) {
        if (strcmp(q->ask->homes[i], region) == 0) {
            return true;
        }
    }
    return q->ask->home_count == 0;
}

static bool
may_use(Search *q, const CpFleetServer *v)
{
    uint32_t parts;
    if (!is_listed(q, v) || v->rest_until_ns > q->now_ns) {
        return false;
    }
    if (v->failures > 0 && v->outstanding > 0) {
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
    *parts = PARTS_UNKNOWN;
    if (v->cold_until_ns <= q->now_ns) {
        return true;
    }
    if (o->warmup_part != NULL &&
        !o->warmup_part(o->ctx, v->entry.instance, v->entry.domain, parts)) {
        return false;
    }
    return v->next_cold_ns <= q->now_ns;
}

static uint32_t
place_of(const Search *q, const CpFleetServer *v)
{
    return v == q->home ? 0 : v == q->second ? 1 : 2;
}

static int64_t
cost_us(const Search *q, const CpFleetServer *v, uint32_t place,
        int64_t *wait_us)
{
    int64_t work_us = (int64_t)CpFleet_Work_us(q->service, place) *
                      CpFleet_Slow_milli(v, q->now_ns) / 1000;
    *wait_us = CpFleet_Wait_us(q->service, v, q->now_ns);
    return *wait_us + work_us +
           distance_us[CpFleet_Nearness(q->fleet, v->domain_index)] +
           work_us * FAIL_COST * v->fail_milli / 1000;
}

static void
take(Search *q, CpFleetServer *v, uint32_t place, int64_t wait_us,
     int64_t total_us, CpFleetPick *out)
{
    uint32_t parts;
    out->cold = v->cold_until_ns > q->now_ns;
    if (out->cold && warmup_allows(q, v, &parts) &&
        q->service->warmup_per_s_milli > 0) {
        v->next_cold_ns = q->now_ns + CP_NS_PER_S * 1000 * parts /
                                          q->service->warmup_per_s_milli;
    }
    v->outstanding++;
    CpStr_Copy(out->instance, sizeof(out->instance), v->entry.instance);
    CpStr_Copy(out->address, sizeof(out->address), v->entry.address);
    out->nearness = CpFleet_Nearness(q->fleet, v->domain_index);
    out->place = place;
    out->wait_ms = (uint32_t)(wait_us / 1000);
    out->expected_ms = (uint32_t)(total_us / 1000);
    out->load_age_ms =
        v->loaded_ns == 0
            ? UINT32_MAX
            : (uint32_t)((q->now_ns - v->loaded_ns) / CP_NS_PER_MS);
}

/* About when the least busy server has room, spread by half of that. */
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
