/*
 * Admission under contention. All hosts see about the same load at the servers
 * and keep it at the same targets, so that they need not agree on anything.
 */
#include <glib.h>
#include <string.h>

#include "admit/admit_int.h"

#define SHARDS 8
#define MAX_ROUTES 256 /* recorded for a service; then unused ones go */

/* Load at which the share of a rank stays as it is: with requests that wait at
 * the servers, or slots would be idle between two requests. It is higher by
 * the part of less urgent ranks in what is admitted, which are shed first, and
 * lower by that of more urgent ones, for which slots are left free. */
#define TARGET_MILLI 1200
#define LESS_URGENT_MILLI 120
#define MORE_URGENT_MILLI 380
/* With higher values of these three, urgent requests wait too long; with lower
 * ones fewer requests are answered in time at full load than without
 * admission. */
/* Work that is late in any case takes slots that would be idle. */
#define LATE_TARGET_MILLI 700
/* Share of the admitted requests, by the number of more urgent ranks. */
static const uint32_t floor_percent[CP_RANK_COUNT] = {0, 3, 3};

/* Arrivals lose a 64th in each tick: they count for 6.4 s in the mean. In less
 * time a host sees one or two requests of a small organisation, by which it
 * cannot be told from a larger one. */
#define TICK_NS (100 * CP_NS_PER_MS)
#define DECAY_SHIFT 6
#define MEMORY_MS 6400
#define MAX_TICKS 1024 /* after which no arrival is left */
/* Of the balance; 1.6 s */
#define BALANCE_DECAY_SHIFT 4
#define ARRIVAL_UNIT 65536 /* one arrival; leaves room for the decay */
/* A host sees about 1% of the arrivals: a rank or an organisation with a few
 * requests a second is seen there every ten seconds or so. */
#define IN_USE_NS (30 * CP_NS_PER_S)

/* A host that has admitted nothing for so long admits the next new request,
 * and learns the load from its response. */
#define PROBE_NS (1 * CP_NS_PER_S)

/* By so many requests too many or too few, a rank's share is corrected by the
 * whole. */
#define BALANCE_REQUESTS 8
/* So many too many are made up for by the organisations over their share
 * alone. */
#define TOLERATED_REQUESTS INT64_C(4)
#define MAX_BALANCE (INT64_C(16) * CP_SHARE_ALL)

#define MIN_RETRY_AFTER_MS 100 /* a shorter delay would only add traffic */
#define MAX_RETRY_AFTER_MS 2000
/* Callers honour delays up to a third of the time that they have left. */
#define RETRY_AFTER_LEFT_DIVISOR 3
/* Callers are told to come back when an eighth to three eighths of their
 * latency goal have passed, and are expected up to an eighth later. Those that
 * come at other times have not waited as they were told. */
#define RETURN_START_DIVISOR 8
#define RETURN_LENGTH_DIVISOR 4
#define RETURN_DELAY_DIVISOR 8
/* Parts of a rank's share: what is promised to callers that come back, and
 * what they get at most, because some come back again and again. */
#define PROMISED_PERCENT 50
#define RETURNING_PERCENT 75

typedef enum {
    CALLER_NEW = 0,
    CALLER_RETURNING, /* came back when it was told to */
    CALLER_IMPATIENT, /* came back at another time */
    CALLER_LATE       /* can no longer be served within its goal */
} CallerClass;

typedef struct {
    uint64_t arrivals;       /* decaying, in ARRIVAL_UNIT; new and returning */
    uint64_t returning;      /* of them */
    uint64_t admitted;       /* decaying, in ARRIVAL_UNIT */
    int64_t last_arrival_ns; /* 0: none */
    CpLoadControl control;
    /* decaying, in CP_SHARE_ALL: requests due by the rank's share, less those
     * that were admitted */
    int64_t balance;
    uint32_t floor_credit;
    int64_t next_return_ns; /* when capacity is promised next */
} Rank;

typedef struct {
    uint64_t hash; /* of the name; 0: requests without an organisation */
    uint64_t arrivals[CP_RANK_COUNT]; /* decaying, in ARRIVAL_UNIT */
    int64_t last_arrival_ns;
} Org;

typedef struct {
    CpFirstTimeout first_timeout;
    uint32_t typical_us; /* median time of a server's response; 0: unknown */
    int64_t last_arrival_ns;
} Route;

typedef struct {
    Rank ranks[CP_RANK_COUNT];
    CpLoadControl late_control;
    Org orgs[CP_CONTENTION_MAX_ORGS];
    uint32_t org_count;
    GHashTable *routes; /* name -> Route */
    int64_t last_tick_ns;
    int64_t last_admitted_ns;
} Service;

typedef struct {
    pthread_mutex_t lock; /* guards services */
    GHashTable *services; /* name -> Service */
} Shard;

struct CpContention {
    Shard shards[SHARDS];
};

/* One decision. */
typedef struct {
    const CpContentionRequest *request;
    CpContentionDecision *out;
    int64_t now_ns;
    Service *service;
    Route *route;
    Org *org;
    Rank *rank;
    uint32_t rank_index;
    uint32_t more_urgent; /* ranks in use */
    CallerClass caller;
    uint32_t rank_share; /* of CP_SHARE_ALL, like the next two */
    uint32_t org_share;
    uint32_t share;
} Decision;

static Shard *lock_shard(CpContention *c, const char *service);
static Service *find_service(Shard *shard, const char *name);
static void free_service(void *p);
static Route *find_route(Service *s, const char *name, int64_t now_ns);
static gboolean is_unused_route(gpointer name, gpointer route, gpointer ctx);
static Org *find_org(Service *s, const char *name, int64_t now_ns);
static void apply_decay(Service *s, int64_t now_ns);
static bool is_in_use(int64_t last_arrival_ns, int64_t now_ns);
static bool is_shared(const Decision *d);
static void classify(Decision *d);
static uint32_t return_start_ms(const Decision *d);
static uint32_t return_end_ms(const Decision *d);
static void set_shares(Decision *d);
static uint32_t target_milli(const Decision *d);
static uint32_t divide_by_org(const Decision *d);
static uint64_t fair_level(const Decision *d, uint64_t capacity);
static uint32_t divide_by_caller(const Decision *d);
static void count_arrival(Decision *d);
static void decide(Decision *d);
static void earn_floors(const Decision *d);
static CpReason refusal_reason(const Decision *d);
static uint32_t retry_after_ms(const Decision *d);
static uint32_t rate_milli(uint64_t arrivals);
static void fill_inputs(const Decision *d);

CpContention *
CpContention_New(void)
{
    CpContention *c = CpMem_Alloc(sizeof(*c));
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_init(&c->shards[i].lock, NULL);
        c->shards[i].services = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                      g_free, free_service);
    }
    return c;
}

void
CpContention_Free(CpContention *c)
{
    for (uint32_t i = 0; c != NULL && i < SHARDS; i++) {
        g_hash_table_destroy(c->shards[i].services);
        pthread_mutex_destroy(&c->shards[i].lock);
    }
    free(c);
}

void
CpContention_Decide(CpContention *c, const CpContentionRequest *request,
                    int64_t now_ns, CpContentionDecision *out)
{
    memset(out, 0, sizeof(*out));
    if (!request->room.speed_reported) {
        return;
    }
    Shard *shard = lock_shard(c, request->service);
    Service *s = find_service(shard, request->service);
    Decision d = {.request = request,
                  .out = out,
                  .now_ns = now_ns,
                  .service = s,
                  .route = find_route(s, request->route, now_ns),
                  .org = find_org(s, request->org, now_ns),
                  .rank_index = MIN(request->rank, CP_RANK_COUNT - 1)};
    d.rank = &s->ranks[d.rank_index];
    d.rank->last_arrival_ns = now_ns;
    for (uint32_t i = 0; i < d.rank_index; i++) {
        d.more_urgent += is_in_use(s->ranks[i].last_arrival_ns, now_ns);
    }
    apply_decay(s, now_ns);
    classify(&d);
    set_shares(&d);
    fill_inputs(&d);
    count_arrival(&d);
    out->acts = is_shared(&d);
    if (out->acts) {
        decide(&d);
    }
    pthread_mutex_unlock(&shard->lock);
}

/* The median: steps up are as large and as frequent as steps down. */
void
CpContention_RecordResponse(CpContention *c, const char *service,
                            const char *route, int64_t latency_ns)
{
    Shard *shard = lock_shard(c, service);
    Service *s = g_hash_table_lookup(shard->services, service);
    Route *r = s != NULL ? g_hash_table_lookup(s->routes, route) : NULL;
    uint32_t us = (uint32_t)CLAMP(latency_ns / CP_NS_PER_US, 1, INT32_MAX);
    if (r != NULL && r->typical_us == 0) {
        r->typical_us = us;
    }
    else if (r != NULL) {
        uint32_t step_us = r->typical_us / 32 + 1;
        r->typical_us = us > r->typical_us        ? r->typical_us + step_us
                        : r->typical_us > step_us ? r->typical_us - step_us
                                                  : 1;
    }
    pthread_mutex_unlock(&shard->lock);
}

static Shard *
lock_shard(CpContention *c, const char *service)
{
    Shard *shard = &c->shards[CpHash_Str(service, 0) % SHARDS];
    pthread_mutex_lock(&shard->lock);
    return shard;
}

static Service *
find_service(Shard *shard, const char *name)
{
    Service *s = g_hash_table_lookup(shard->services, name);
    if (s == NULL) {
        s = CpMem_Alloc(sizeof(*s));
        s->routes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
        g_hash_table_insert(shard->services, g_strdup(name), s);
    }
    return s;
}

static void
free_service(void *p)
{
    Service *s = p;
    g_hash_table_destroy(s->routes);
    free(s);
}

static Route *
find_route(Service *s, const char *name, int64_t now_ns)
{
    Route *route = g_hash_table_lookup(s->routes, name);
    if (route == NULL) {
        if (g_hash_table_size(s->routes) >= MAX_ROUTES) {
            g_hash_table_foreach_remove(s->routes, is_unused_route, &now_ns);
        }
        route = CpMem_Alloc(sizeof(*route));
        g_hash_table_insert(s->routes, g_strdup(name), route);
    }
    route->last_arrival_ns = now_ns;
    return route;
}

static gboolean
is_unused_route(gpointer name, gpointer route, gpointer ctx)
{
    const int64_t *now_ns = ctx;
    (void)name;
    return !is_in_use(((Route *)route)->last_arrival_ns, *now_ns);
}

/* In a full table the organisation that was silent the longest is replaced. */
static Org *
find_org(Service *s, const char *name, int64_t now_ns)
{
    uint64_t hash = name != NULL ? CpHash_Str(name, 0) : 0;
    Org *oldest = NULL;
    for (uint32_t i = 0; i < s->org_count; i++) {
        Org *o = &s->orgs[i];
        if (o->hash == hash) {
            o->last_arrival_ns = now_ns;
            return o;
        }
        if (oldest == NULL || o->last_arrival_ns < oldest->last_arrival_ns) {
            oldest = o;
        }
    }
    if (s->org_count < CP_CONTENTION_MAX_ORGS) {
        oldest = &s->orgs[s->org_count++];
    }
    *oldest = (Org){.hash = hash, .last_arrival_ns = now_ns};
    return oldest;
}

static void
apply_decay(Service *s, int64_t now_ns)
{
    if (s->last_tick_ns == 0) {
        s->last_tick_ns = now_ns;
    }
    int64_t ticks = (now_ns - s->last_tick_ns) / TICK_NS;
    s->last_tick_ns += ticks * TICK_NS;
    for (ticks = MIN(ticks, MAX_TICKS); ticks > 0; ticks--) {
        for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
            Rank *r = &s->ranks[i];
            r->arrivals -= r->arrivals >> DECAY_SHIFT;
            r->returning -= r->returning >> DECAY_SHIFT;
            r->admitted -= r->admitted >> DECAY_SHIFT;
            r->balance -= r->balance / (1 << BALANCE_DECAY_SHIFT);
            for (uint32_t o = 0; o < s->org_count; o++) {
                uint64_t *arrivals = &s->orgs[o].arrivals[i];
                *arrivals -= *arrivals >> DECAY_SHIFT;
            }
        }
    }
}

static bool
is_in_use(int64_t last_arrival_ns, int64_t now_ns)
{
    return last_arrival_ns > 0 && now_ns - last_arrival_ns < IN_USE_NS;
}

/* Returns true if two ranks or two organisations use the service. */
static bool
is_shared(const Decision *d)
{
    const Service *s = d->service;
    uint32_t ranks = 0, orgs = 0;
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        ranks += is_in_use(s->ranks[i].last_arrival_ns, d->now_ns);
    }
    for (uint32_t i = 0; i < s->org_count && orgs < 2; i++) {
        orgs += is_in_use(s->orgs[i].last_arrival_ns, d->now_ns);
    }
    return ranks > 1 || orgs > 1;
}

static void
classify(Decision *d)
{
    uint32_t timeout_ms = d->request->timeout_ms;
    uint32_t elapsed_ms = timeout_ms > 0
                              ? CpFirstTimeout_Record(&d->route->first_timeout,
                                                      timeout_ms, d->now_ns)
                              : 0;
    uint32_t delay_ms = d->request->goal_ms / RETURN_DELAY_DIVISOR;
    d->out->elapsed_ms = elapsed_ms;
    d->out->typical_ms = d->route->typical_us / 1000;
    if (elapsed_ms == 0) {
        d->caller = CALLER_NEW;
    }
    else if (elapsed_ms + d->out->typical_ms > d->request->goal_ms) {
        d->caller = CALLER_LATE;
    }
    else {
        d->caller = elapsed_ms >= return_start_ms(d) &&
                            elapsed_ms <= return_end_ms(d) + delay_ms
                        ? CALLER_RETURNING
                        : CALLER_IMPATIENT;
    }
}

/* Returns the time after its first attempt from which a caller that was
 * refused is told to come back. */
static uint32_t
return_start_ms(const Decision *d)
{
    return MAX(d->request->goal_ms / RETURN_START_DIVISOR, MIN_RETRY_AFTER_MS);
}

static uint32_t
return_end_ms(const Decision *d)
{
    return return_start_ms(d) + d->request->goal_ms / RETURN_LENGTH_DIVISOR;
}

static void
set_shares(Decision *d)
{
    const CpContentionRoom *room = &d->request->room;
    uint32_t target = target_milli(d);
    uint32_t load_milli = room->load_known ? room->load_milli : target;
    CpLoadControl *control = d->caller == CALLER_LATE
                                 ? &d->service->late_control
                                 : &d->rank->control;
    CpLoadControl_Update(control, load_milli, target, d->now_ns);
    d->rank_share = CpLoadControl_Share(control, load_milli, target);
    if (d->caller == CALLER_LATE && !room->load_known) {
        d->rank_share = 0; /* no slot is known to be idle */
    }
    d->org_share = d->share = d->rank_share;
    uint32_t least_share =
        MIN(d->rank_share, CpLoadControl_MeanShare(control));
    if (d->caller != CALLER_LATE && least_share < CP_SHARE_ALL) {
        d->org_share = divide_by_org(d);
        d->share = divide_by_caller(d);
    }
}

static uint32_t
target_milli(const Decision *d)
{
    uint64_t more_urgent = 0, less_urgent = 0, all = 1;
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        uint64_t admitted = d->service->ranks[i].admitted;
        more_urgent += i < d->rank_index ? admitted : 0;
        less_urgent += i > d->rank_index ? admitted : 0;
        all += admitted;
    }
    return d->caller == CALLER_LATE
               ? LATE_TARGET_MILLI
               : (uint32_t)(TARGET_MILLI +
                            LESS_URGENT_MILLI * less_urgent / all -
                            MORE_URGENT_MILLI * more_urgent / all);
}

/* The share of a rank varies with the load that the host has just seen. Only
 * the organisations over their share follow it: in the mean the others would
 * get a proportional share, not a fair one. */
static uint32_t
divide_by_org(const Decision *d)
{
    uint64_t own = d->org->arrivals[d->rank_index];
    uint64_t arrivals = d->rank->arrivals;
    uint32_t mean_share = CpLoadControl_MeanShare(&d->rank->control);
    uint32_t share = MIN(d->rank_share, mean_share);
    if (own == arrivals) {
        return d->rank_share; /* there is no other */
    }
    if (own <= fair_level(d, arrivals * mean_share / CP_SHARE_ALL)) {
        return CP_SHARE_ALL;
    }
    uint64_t level = fair_level(d, arrivals * share / CP_SHARE_ALL);
    return (uint32_t)(MIN(own, level) * CP_SHARE_ALL / own);
}

/* Returns the arrivals up to which each organisation of the rank is admitted,
 * so that all of them take the capacity together. Those that ask for less than
 * an equal part leave the rest to the others. */
static uint64_t
fair_level(const Decision *d, uint64_t capacity)
{
    const Service *s = d->service;
    uint64_t level = 0, next = 0;
    do {
        uint64_t left = capacity, above = 0;
        level = next;
        for (uint32_t i = 0; i < s->org_count; i++) {
            uint64_t arrivals = s->orgs[i].arrivals[d->rank_index];
            above += arrivals > level;
            left -= arrivals > level ? 0 : MIN(arrivals, left);
        }
        next = above > 0 ? left / above : level;
    } while (next > level);
    return level;
}

/* Corrects the share by what the rank was admitted too much or too little, and
 * divides it between callers that come back, who go first, and new ones. */
static uint32_t
divide_by_caller(const Decision *d)
{
    const Rank *r = d->rank;
    int64_t balance = r->balance;
    if (d->org_share == CP_SHARE_ALL) {
        balance = MIN(0, balance + TOLERATED_REQUESTS * CP_SHARE_ALL);
    }
    int64_t share = d->org_share + balance / BALANCE_REQUESTS;
    share = CLAMP(share, 0, CP_SHARE_ALL);
    if (d->caller == CALLER_IMPATIENT || r->arrivals == 0) {
        return d->caller == CALLER_IMPATIENT ? 0 : (uint32_t)share;
    }
    int64_t part = (int64_t)(r->returning * 1000 / r->arrivals);
    if (part == 0 || part == 1000) {
        return (uint32_t)share;
    }
    int64_t back = MIN(share * RETURNING_PERCENT * 10 / part, CP_SHARE_ALL);
    return (uint32_t)(d->caller == CALLER_RETURNING
                          ? back
                          : (share * 1000 - back * part) / (1000 - part));
}

/* Callers that come back at other times than they were told, or too late, do
 * not raise what their rank and organisation appear to need. */
static void
count_arrival(Decision *d)
{
    if (d->caller == CALLER_NEW || d->caller == CALLER_RETURNING) {
        d->rank->arrivals += ARRIVAL_UNIT;
        d->org->arrivals[d->rank_index] += ARRIVAL_UNIT;
        d->rank->returning += d->caller == CALLER_RETURNING ? ARRIVAL_UNIT : 0;
    }
}

static void
decide(Decision *d)
{
    Rank *r = d->rank;
    bool counts = d->caller == CALLER_NEW || d->caller == CALLER_RETURNING;
    bool admitted = d->request->random % CP_SHARE_ALL < d->share;
    if (!admitted && counts && CpFloor_IsOwed(r->floor_credit)) {
        CpFloor_Charge(&r->floor_credit);
        admitted = true;
    }
    if (d->caller == CALLER_NEW &&
        d->now_ns - d->service->last_admitted_ns >= PROBE_NS) {
        admitted = true;
    }
    if (counts) {
        r->balance += d->rank_share;
        r->balance -= admitted ? CP_SHARE_ALL : 0;
        r->balance = CLAMP(r->balance, -MAX_BALANCE, MAX_BALANCE);
    }
    if (admitted) {
        d->service->last_admitted_ns = d->now_ns;
        r->admitted += ARRIVAL_UNIT;
        earn_floors(d);
    }
    else {
        d->out->reason = refusal_reason(d);
        d->out->retry_after_ms = retry_after_ms(d);
    }
}

static void
earn_floors(const Decision *d)
{
    uint32_t more_urgent = 0;
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        Rank *r = &d->service->ranks[i];
        if (is_in_use(r->last_arrival_ns, d->now_ns)) {
            CpFloor_Earn(&r->floor_credit, floor_percent[more_urgent++]);
        }
    }
}

static CpReason
refusal_reason(const Decision *d)
{
    if (d->caller == CALLER_LATE) {
        return CP_REASON_WOULD_MISS_GOAL;
    }
    if (d->org_share < d->rank_share &&
        d->org->arrivals[d->rank_index] < d->rank->arrivals) {
        return CP_REASON_ORG_OVER_SHARE;
    }
    return d->more_urgent > 0 ? CP_REASON_SHED : CP_REASON_OVER_CAPACITY;
}

/* A caller that can still be served within its goal is told the next time at
 * which its rank has capacity that was not promised to others; one for which
 * that is too late, a time as long as it honours, spread over half of it. */
static uint32_t
retry_after_ms(const Decision *d)
{
    uint32_t elapsed_ms = d->out->elapsed_ms;
    int64_t *next_ns = &d->rank->next_return_ns;
    int64_t first_ns = d->now_ns - elapsed_ms * CP_NS_PER_MS;
    int64_t due_milli = (int64_t)rate_milli(d->rank->arrivals) *
                        d->rank_share / CP_SHARE_ALL * PROMISED_PERCENT / 100;
    *next_ns =
        MAX(*next_ns, MAX(first_ns + return_start_ms(d) * CP_NS_PER_MS,
                          d->now_ns + MIN_RETRY_AFTER_MS * CP_NS_PER_MS));
    int64_t back_ms = (*next_ns - first_ns) / CP_NS_PER_MS;
    if (due_milli > 0 && back_ms <= return_end_ms(d) &&
        back_ms + d->out->typical_ms +
                d->request->goal_ms / RETURN_DELAY_DIVISOR <=
            d->request->goal_ms) {
        uint32_t ms = (uint32_t)((*next_ns - d->now_ns) / CP_NS_PER_MS);
        *next_ns += 1000 * CP_NS_PER_S / due_milli;
        return ms;
    }
    uint32_t most_ms = MIN(d->request->left_ms / RETRY_AFTER_LEFT_DIVISOR,
                           MAX_RETRY_AFTER_MS);
    most_ms -= (uint32_t)((d->request->random >> 32) % (most_ms / 2 + 1));
    return MAX(most_ms, MIN_RETRY_AFTER_MS);
}

static uint32_t
rate_milli(uint64_t arrivals)
{
    return (uint32_t)(arrivals * 1000 * 1000 / MEMORY_MS / ARRIVAL_UNIT);
}

static void
fill_inputs(const Decision *d)
{
    CpContentionDecision *out = d->out;
    out->returning = d->caller == CALLER_RETURNING;
    out->rank_share_milli = d->rank_share / 1000;
    out->org_share_milli = d->org_share / 1000;
    out->share_milli = d->share / 1000;
    out->rank_rate_milli = rate_milli(d->rank->arrivals);
    out->org_rate_milli = rate_milli(d->org->arrivals[d->rank_index]);
}
