/*
 * Placement of objects on servers. A region places on its own servers the
 * share of its objects that they have capacity for. The others have their
 * primary server in another region permanently, so that the excess goes there
 * steadily rather than by overflow. Where responses are large the same holds
 * for a domain, because bytes between domains are expensive. All hosts compute
 * the same placement without coordination.
 */
#include <math.h>
#include <string.h>

#include "fleet/fleet_int.h"

#define TARGET_LOAD_MILLI 600 /* of the local slots; bursts need the rest */
#define KEEP_STEP_MILLI 8     /* per tick; 6% in 2 s, below a shift's cap */
#define RATE_SHIFT 4          /* moving average over 16 ticks, 4 s */
#define FULL_MILLI 1000
#define LARGE_ANSWER_BYTES (16 * 1024) /* above, bytes cost more than work */

/* Slots of a service: in all domains, in the local scope of this host's
 * objects, and by domain. */
typedef struct {
    uint32_t all;
    uint32_t own;
    uint32_t own_domains; /* with or without slots */
    uint32_t region;      /* of this host */
    bool stays;           /* objects placed remotely stay in the region */
    uint32_t of[CP_FLEET_MAX_DOMAINS + 1];
} Slots;

typedef struct {
    const CpFleetHosts *hosts;
    int64_t now_ns;
} Tick;

typedef struct {
    double score;
    CpFleetServer *server;
} Candidate;

static void count_slots(const CpFleet *f, const CpFleetService *s,
                        CpFleetFilterFn fits, void *ctx, Slots *out);
static bool is_listed(void *ctx, const CpFleetServer *v);
static CpNearness reach(const CpFleetService *s);
static bool fits_scope(const CpFleet *f, const CpFleetService *s,
                       const CpFleetServer *v, bool abroad,
                       const Slots *slots);
static void tick_service(CpFleet *f, CpFleetService *s, void *ctx);
static void learn_rate(CpFleetService *s, int64_t now_ns);
static uint32_t weight(const CpFleet *f, const CpFleetServer *v, bool abroad,
                       const Slots *slots);
static uint32_t fair_slots(const CpFleet *f, const Slots *slots);
static uint32_t fair_keep_milli(const CpFleet *f, const Slots *slots);
static void offer(Candidate *best, Candidate *next, double score,
                  CpFleetServer *v);
static double draw(uint64_t a, uint64_t b);

void
CpFleet_PlaceObject(const CpFleet *f, const CpFleetService *s,
                    const char *object, CpFleetFilterFn fits, void *ctx,
                    CpFleetPlacement *out)
{
    Candidate best = {.score = INFINITY}, next = {.score = INFINITY};
    Slots slots;
    *out = (CpFleetPlacement){0};
    if (object == NULL) {
        return;
    }
    uint64_t hash = CpHash_Str(object, 1);
    count_slots(f, s, fits, ctx, &slots);
    uint32_t keep_milli = s->local_share_known ? s->local_share_milli
                                               : fair_keep_milli(f, &slots);
    out->remote = slots.own == 0 || (slots.own < slots.all &&
                                     draw(hash, 3) * FULL_MILLI >= keep_milli);
    for (uint32_t i = 0; i < s->servers->len; i++) {
        CpFleetServer *v = g_ptr_array_index(s->servers, i);
        if (!fits(ctx, v) || !fits_scope(f, s, v, out->remote, &slots)) {
            continue;
        }
        /* Weighted rendezvous hashing: the lowest score wins, in proportion
         * to the weight (Schindelhauer and Schomaker, SPAA 2005). */
        double score =
            -log(draw(v->hash, hash)) / weight(f, v, out->remote, &slots);
        offer(&best, &next, score, v);
    }
    out->primary = best.server;
    out->secondary = next.server;
}

void
CpFleet_Tick(CpFleet *f, const CpFleetHosts *hosts, int64_t now_ns)
{
    Tick t = {.hosts = hosts, .now_ns = now_ns};
    CpFleet_ForEachService(f, tick_service, &t);
}

bool
CpFleet_IsEligible(const CpFleet *f, const CpFleetServer *v)
{
    if (v->entry.draining || v->replaced) {
        return false;
    }
    return v->domain_index >= f->options.domain_count ||
           !CpAtomic_Load(&f->evacuated[v->domain_index]);
}

/* Moves the local share of the objects towards the capacity of the local
 * slots. */
static void
tick_service(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Tick *t = ctx;
    Slots slots;
    count_slots(f, s, is_listed, f, &slots);
    learn_rate(s, t->now_ns);
    if (!s->local_share_known) {
        s->local_share_milli = fair_keep_milli(f, &slots);
        s->local_share_known = slots.all > 0 && s->request_rate_milli > 0;
        return;
    }
    uint32_t hosts =
        reach(s) == CP_NEAR_DOMAIN ? t->hosts->in_domain : t->hosts->in_region;
    int64_t need_milli =
        (int64_t)s->request_rate_milli * hosts * s->mean_work_us / 1000 / 1000;
    int64_t keep = need_milli > 0 ? (int64_t)slots.own * TARGET_LOAD_MILLI *
                                        FULL_MILLI / need_milli
                                  : FULL_MILLI;
    int64_t step = keep - s->local_share_milli;
    if (step > KEEP_STEP_MILLI) {
        step = KEEP_STEP_MILLI;
    }
    if (step < -KEEP_STEP_MILLI) {
        step = -KEEP_STEP_MILLI;
    }
    keep = s->local_share_milli + step;
    s->local_share_milli = keep > FULL_MILLI ? FULL_MILLI : (uint32_t)keep;
}

static void
learn_rate(CpFleetService *s, int64_t now_ns)
{
    int64_t past_ms = (now_ns - s->last_tick_ns) / CP_NS_PER_MS;
    if (s->last_tick_ns > 0 && past_ms > 0) {
        int64_t rate = (int64_t)s->requests_since_tick * 1000 * 1000 / past_ms;
        int64_t old = s->request_rate_milli;
        s->request_rate_milli =
            (uint32_t)(old + (rate - old) / (1 << RATE_SHIFT));
    }
    s->last_tick_ns = now_ns;
    s->requests_since_tick = 0;
}

static void
count_slots(const CpFleet *f, const CpFleetService *s, CpFleetFilterFn fits,
            void *ctx, Slots *out)
{
    memset(out, 0, sizeof(*out));
    for (uint32_t i = 0; i < s->servers->len; i++) {
        const CpFleetServer *v = g_ptr_array_index(s->servers, i);
        if (fits(ctx, v)) {
            CpNearness near = CpFleet_Locality(f, v->domain_index);
            out->all += v->entry.slots;
            out->own += near <= reach(s) ? v->entry.slots : 0;
            out->region += near <= CP_NEAR_REGION ? v->entry.slots : 0;
            out->of[v->domain_index] += v->entry.slots;
        }
    }
    uint32_t others = 0; /* other domains of the region */
    for (uint32_t i = 0; i < f->options.domain_count; i++) {
        CpNearness near = CpFleet_Locality(f, i);
        out->own_domains += near <= reach(s);
        others += near == CP_NEAR_REGION;
    }
    /* Domains that are short of slots would only send objects of their own
     * back. */
    out->stays = reach(s) == CP_NEAR_DOMAIN && out->region > out->own &&
                 out->region - out->own >= others * fair_slots(f, out);
}

/* The widest locality that counts as local. */
static CpNearness
reach(const CpFleetService *s)
{
    return s->mean_response_bytes > LARGE_ANSWER_BYTES ? CP_NEAR_DOMAIN
                                                       : CP_NEAR_REGION;
}

static bool
fits_scope(const CpFleet *f, const CpFleetService *s, const CpFleetServer *v,
           bool abroad, const Slots *slots)
{
    CpNearness near = CpFleet_Locality(f, v->domain_index);
    if (!abroad) {
        return near <= reach(s);
    }
    return slots->stays ? near == CP_NEAR_REGION : near > reach(s);
}

static bool
is_listed(void *ctx, const CpFleetServer *v)
{
    return CpFleet_IsEligible(ctx, v);
}

/* In the local scope a server's weight is its slots. Outside, it grows with
 * the excess of its domain over a fair share of the slots, because domains
 * that are short of slots send their objects there. */
static uint32_t
weight(const CpFleet *f, const CpFleetServer *v, bool abroad,
       const Slots *slots)
{
    uint32_t own = slots->of[v->domain_index];
    uint32_t fair = fair_slots(f, slots);
    uint32_t milli = v->entry.slots * FULL_MILLI;
    if (abroad && own > fair) {
        return milli + 10 * milli * (own - fair) / own;
    }
    return milli > 0 ? milli : 1;
}

/* Slots of a domain if all had the same number. */
static uint32_t
fair_slots(const CpFleet *f, const Slots *slots)
{
    uint32_t domains = f->options.domain_count;
    return slots->all / (domains > 0 ? domains : 1);
}

/* The local share if all domains have the same amount of work. */
static uint32_t
fair_keep_milli(const CpFleet *f, const Slots *slots)
{
    if (slots->all == 0 || slots->own_domains == 0) {
        return FULL_MILLI;
    }
    uint64_t milli = (uint64_t)slots->own * f->options.domain_count *
                     FULL_MILLI / slots->all / slots->own_domains;
    return milli < FULL_MILLI ? (uint32_t)milli : FULL_MILLI;
}

static void
offer(Candidate *best, Candidate *next, double score, CpFleetServer *v)
{
    if (score < best->score) {
        *next = *best;
        *best = (Candidate){score, v};
    }
    else if (score < next->score) {
        *next = (Candidate){score, v};
    }
}

/* Hashes both arguments to a number in (0, 1). */
static double
draw(uint64_t a, uint64_t b)
{
    uint64_t key[2] = {a, b};
    uint64_t h = CpHash(key, sizeof(key), 2);
    return ((double)(h >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
}
