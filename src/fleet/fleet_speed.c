/*
 * The current speed of servers that report it, and the chance that a request
 * is answered within a time. A reported speed holds for a fraction of a
 * second. As it ages, the distribution of the speeds that the service's
 * servers report, scaled to the long-term average of the server, replaces it.
 */
#include <math.h>
#include <string.h>

#include "fleet/fleet_int.h"

/* Servers keep a speed for about this long. */
#define SPEED_LIFETIME_NS (600 * CP_NS_PER_MS)
#define FORGET_SPEEDS_NS (30 * CP_NS_PER_S) /* without any report */
/* Time over which a server's typical speed is averaged; reports within the
 * lifetime of a speed tell the same. */
#define TYPICAL_NS (10 * CP_NS_PER_S)
#define MAX_TYPICAL_WEIGHT 0.1 /* of a report after a long time */
#define USUAL_PERCENT 100
#define MAX_SPEEDS 512.0F /* reports that the distribution stands for */
#define MAX_WORKS 256.0F  /* responses that a distribution stands for */
/* Weight of the assumption that work takes the mean, in responses. */
#define PRIOR_WORKS 4.0F
#define BUCKETS_PER_OCTAVE 4

typedef struct {
    uint32_t max_age_ms;
    int64_t now_ns;
    CpFleetSpeed *out;
    uint32_t capacity;
    uint32_t out_count;
} Listing;

typedef struct {
    const CpFleetSpeed *speeds;
    uint32_t count;
    int64_t now_ns;
} PeerSpeeds;

typedef struct {
    uint32_t max_age_ms;
    int64_t now_ns;
    bool (*is_wanted)(void *ctx, const char *instance);
    void *ctx;
    CpFleetSpeedTarget *out;
    uint32_t capacity;
    uint32_t out_count;
} Targets;

static void list_targets(CpFleet *f, CpFleetService *s, void *ctx);
static void list_speeds(CpFleet *f, CpFleetService *s, void *ctx);
static void set_peer_speeds(CpFleet *f, CpFleetService *s, void *ctx);
static uint32_t speed_bucket(uint32_t percent);
static double work_position(double us);
static double share_within(const CpFleetService *s, CpFleetWorkClass c,
                           double us);
static double prior_us(const CpFleetService *s, CpFleetWorkClass c);
static void halve(float *counts, uint32_t n);

void
CpFleet_RecordSpeed(CpFleetService *s, CpFleetServer *server, uint32_t percent,
                    int64_t age_ns, int64_t now_ns)
{
    if (percent == 0 || now_ns - age_ns < server->speed_ns) {
        return; /* older than what is known */
    }
    int64_t since_ns = now_ns - age_ns - server->speed_ns;
    server->work_percent = percent;
    server->speed_from_peer = false;
    server->speed_ns = now_ns - age_ns;
    uint32_t typical_milli = server->typical_percent_milli;
    if (typical_milli == 0) {
        typical_milli = s->typical_percent_milli > 0 ? s->typical_percent_milli
                                                     : USUAL_PERCENT * 1000;
    }
    double weight = 1 - exp(-(double)since_ns / TYPICAL_NS);
    weight = weight < MAX_TYPICAL_WEIGHT ? weight : MAX_TYPICAL_WEIGHT;
    server->typical_percent_milli =
        (uint32_t)((1 - weight) * typical_milli + weight * percent * 1000);
    uint32_t i = speed_bucket(percent);
    s->speed_counts[i] += 1;
    s->speed_sums[i] += (float)percent;
    s->speed_total += 1;
    if (s->speed_total >= MAX_SPEEDS) {
        halve(s->speed_counts, CP_FLEET_SPEED_BUCKETS);
        halve(s->speed_sums, CP_FLEET_SPEED_BUCKETS);
        s->speed_total /= 2;
    }
    float sum = 0;
    for (i = 0; i < CP_FLEET_SPEED_BUCKETS; i++) {
        sum += s->speed_sums[i];
    }
    s->typical_percent_milli = (uint32_t)(sum * 1000 / s->speed_total);
    s->last_speed_ns = now_ns;
}

uint32_t
CpFleet_ListSpeeds(CpFleet *f, uint32_t max_age_ms, int64_t now_ns,
                   CpFleetSpeed *out, uint32_t capacity)
{
    Listing l = {.max_age_ms = max_age_ms,
                 .now_ns = now_ns,
                 .out = out,
                 .capacity = capacity};
    CpFleet_ForEachService(f, list_speeds, &l);
    return l.out_count;
}

void
CpFleet_SetPeerSpeeds(CpFleet *f, const CpFleetSpeed *speeds, uint32_t count,
                      int64_t now_ns)
{
    PeerSpeeds p = {.speeds = speeds, .count = count, .now_ns = now_ns};
    CpFleet_ForEachService(f, set_peer_speeds, &p);
}

uint32_t
CpFleet_ListSpeedTargets(CpFleet *f, uint32_t max_age_ms, int64_t now_ns,
                         bool (*is_wanted)(void *ctx, const char *instance),
                         void *ctx, CpFleetSpeedTarget *out, uint32_t capacity)
{
    Targets t = {.max_age_ms = max_age_ms,
                 .now_ns = now_ns,
                 .is_wanted = is_wanted,
                 .ctx = ctx,
                 .out = out,
                 .capacity = capacity};
    CpFleet_ForEachService(f, list_targets, &t);
    return t.out_count;
}

void
CpFleet_SetPolledSpeed(CpFleet *f, const char *service, const char *instance,
                       uint32_t work_percent, int64_t now_ns)
{
    CpFleetService *s;
    CpFleetShard *shard = CpFleet_LockService(f, service, &s);
    CpFleetServer *server = CpFleet_FindServer(s, instance);
    if (server != NULL) {
        CpFleet_RecordSpeed(s, server, work_percent, 0, now_ns);
    }
    pthread_mutex_unlock(&shard->lock);
}

bool
CpFleet_HasSpeeds(const CpFleetService *s, int64_t now_ns)
{
    return s->last_speed_ns > 0 &&
           now_ns - s->last_speed_ns < FORGET_SPEEDS_NS;
}

double
CpFleet_SpeedWeight(const CpFleetServer *server, int64_t at_ns)
{
    if (server->work_percent == 0) {
        return 0;
    }
    int64_t age_ns = at_ns > server->speed_ns ? at_ns - server->speed_ns : 0;
    return exp(-(double)age_ns / SPEED_LIFETIME_NS);
}

/* A server without reports is taken as typical of the service. */
double
CpFleet_TypicalPercent(const CpFleetService *s, const CpFleetServer *server)
{
    uint32_t milli = server->typical_percent_milli > 0
                         ? server->typical_percent_milli
                     : s->typical_percent_milli > 0 ? s->typical_percent_milli
                                                    : USUAL_PERCENT * 1000;
    return milli / 1000.0;
}

double
CpFleet_ExpectedPercent(const CpFleetService *s, const CpFleetServer *server,
                        int64_t at_ns)
{
    double weight = CpFleet_SpeedWeight(server, at_ns);
    return weight * server->work_percent +
           (1 - weight) * CpFleet_TypicalPercent(s, server);
}

double
CpFleet_ChanceWithin(const CpFleetService *s, const CpFleetServer *server,
                     CpFleetWorkClass c, int64_t budget_us, int64_t start_ns,
                     double max_weight)
{
    if (budget_us <= 0) {
        return 0;
    }
    double weight = CpFleet_SpeedWeight(server, start_ns), usual = 0;
    if (server->work_percent < CpFleet_TypicalPercent(s, server) &&
        weight > max_weight) {
        weight = max_weight;
    }
    double scale = s->typical_percent_milli > 0
                       ? CpFleet_TypicalPercent(s, server) * 1000 /
                             s->typical_percent_milli
                       : 1;
    for (uint32_t i = 0; i < CP_FLEET_SPEED_BUCKETS; i++) {
        if (s->speed_counts[i] > 0) {
            double percent =
                scale * (double)(s->speed_sums[i] / s->speed_counts[i]);
            usual += (double)(s->speed_counts[i] / s->speed_total) *
                     share_within(s, c, (double)budget_us * 100 / percent);
        }
    }
    double current =
        weight > 0 ? share_within(
                         s, c, (double)budget_us * 100 / server->work_percent)
                   : 0;
    return weight * current + (1 - weight) * usual;
}

double
CpFleet_SlowestPercent(const CpFleetService *s)
{
    for (uint32_t i = CP_FLEET_SPEED_BUCKETS; i-- > 0;) {
        if (s->speed_counts[i] >= 0.5F) {
            return (double)(s->speed_sums[i] / s->speed_counts[i]);
        }
    }
    return USUAL_PERCENT;
}

double
CpFleet_UsualWork_us(const CpFleetService *s, CpFleetWorkClass c)
{
    const CpFleetWorkTimes *w = &s->work_times[c];
    return ((double)w->sum_us + (double)PRIOR_WORKS * prior_us(s, c)) /
           (double)(w->total + PRIOR_WORKS);
}

/* The work began at a speed that lasts for a part of it only: what is known of
 * the speed at its beginning and at its end is used, by its age. */
double
CpFleet_PercentDuring(const CpFleetService *s, const CpFleetServer *server,
                      uint32_t end_percent, int64_t latency_ns, int64_t now_ns)
{
    int64_t start_ns = now_ns - latency_ns;
    int64_t distance_ns = start_ns - server->speed_ns;
    double typical = CpFleet_TypicalPercent(s, server);
    double before = server->work_percent > 0
                        ? exp(-fabs((double)distance_ns) / SPEED_LIFETIME_NS)
                        : 0;
    double after =
        end_percent > 0 ? exp(-(double)latency_ns / SPEED_LIFETIME_NS) : 0;
    return before > after
               ? before * server->work_percent + (1 - before) * typical
               : after * end_percent + (1 - after) * typical;
}

void
CpFleet_RecordWork(CpFleetService *s, CpFleetWorkClass c, double usual_us)
{
    CpFleetWorkTimes *w = &s->work_times[c];
    uint32_t i = (uint32_t)work_position(usual_us);
    w->counts[i] += 1;
    w->sum_us += (float)usual_us;
    w->total += 1;
    if (w->total >= MAX_WORKS) {
        halve(w->counts, CP_FLEET_WORK_BUCKETS);
        w->sum_us /= 2;
        w->total /= 2;
    }
    float below = 0;
    for (i = 0; i < CP_FLEET_WORK_BUCKETS; i++) {
        w->below[i] = below;
        below += w->counts[i];
    }
}

/* Servers that requests may not be sent to are not polled either. */
static void
list_targets(CpFleet *f, CpFleetService *s, void *ctx)
{
    Targets *t = ctx;
    for (uint32_t i = 0;
         i < s->servers->len && CpFleet_HasSpeeds(s, t->now_ns) &&
         t->out_count < t->capacity;
         i++) {
        const CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (server->domain_index == f->own_domain_index && !server->lapsed &&
            CpFleet_IsEligible(f, server) &&
            t->now_ns >= server->paused_until_ns &&
            t->now_ns >= server->ejected_until_ns &&
            t->now_ns - server->speed_ns >= t->max_age_ms * CP_NS_PER_MS &&
            t->is_wanted(t->ctx, server->entry.instance)) {
            CpFleetSpeedTarget *target = &t->out[t->out_count++];
            CpStr_Copy(target->service, sizeof(target->service), s->name);
            CpStr_Copy(target->instance, sizeof(target->instance),
                       server->entry.instance);
            CpStr_Copy(target->address, sizeof(target->address),
                       server->entry.address);
        }
    }
}

static void
list_speeds(CpFleet *f, CpFleetService *s, void *ctx)
{
    Listing *l = ctx;
    (void)f;
    for (uint32_t i = 0;
         i < s->servers->len && CpFleet_HasSpeeds(s, l->now_ns); i++) {
        const CpFleetServer *server = g_ptr_array_index(s->servers, i);
        int64_t age_ms = (l->now_ns - server->speed_ns) / CP_NS_PER_MS;
        if (server->work_percent > 0 && !server->speed_from_peer &&
            age_ms <= l->max_age_ms && l->out_count < l->capacity) {
            l->out[l->out_count++] =
                (CpFleetSpeed){.server_hash = server->hash,
                               .work_percent = server->work_percent,
                               .age_ms = (uint32_t)age_ms};
        }
    }
}

static void
set_peer_speeds(CpFleet *f, CpFleetService *s, void *ctx)
{
    const PeerSpeeds *p = ctx;
    (void)f;
    for (uint32_t i = 0; i < p->count; i++) {
        CpFleetServer *server =
            CpFleet_FindServerByHash(s, p->speeds[i].server_hash);
        int64_t age_ns = p->speeds[i].age_ms * CP_NS_PER_MS;
        if (server != NULL && p->now_ns - age_ns > server->speed_ns) {
            CpFleet_RecordSpeed(s, server, p->speeds[i].work_percent, age_ns,
                                p->now_ns);
            server->speed_from_peer = true;
        }
    }
}

/* Two buckets an octave; 100% is the middle of a bucket. */
static uint32_t
speed_bucket(uint32_t percent)
{
    double position = 2 * log2(percent / 100.0) + 4.5;
    return position <= 0                        ? 0
           : position >= CP_FLEET_SPEED_BUCKETS ? CP_FLEET_SPEED_BUCKETS - 1
                                                : (uint32_t)position;
}

/* Position of a time among the buckets of work times, from 1 ms. */
static double
work_position(double us)
{
    double position = us > 1000 ? log2(us / 1000) * BUCKETS_PER_OCTAVE : 0;
    return position < CP_FLEET_WORK_BUCKETS ? position
                                            : CP_FLEET_WORK_BUCKETS - 0.01;
}

/* Returns the share of the work that ends within the time at 100%. Until
 * enough was measured, it takes 0.5 to 1.5 times what is expected. */
static double
share_within(const CpFleetService *s, CpFleetWorkClass c, double us)
{
    const CpFleetWorkTimes *w = &s->work_times[c];
    double position = work_position(us);
    uint32_t i = (uint32_t)position;
    double mean_us = prior_us(s, c);
    double prior = mean_us > 0 ? us / mean_us - 0.5 : 1;
    prior = prior < 0 ? 0 : prior > 1 ? 1 : prior;
    return ((double)w->below[i] + (position - i) * (double)w->counts[i] +
            (double)PRIOR_WORKS * prior) /
           (double)(w->total + PRIOR_WORKS);
}

static double
prior_us(const CpFleetService *s, CpFleetWorkClass c)
{
    static const double milli[CP_WORK_CLASS_COUNT] = {
        [CP_WORK_CACHED] = 1000,
        [CP_WORK_PRIMARY] = 1000,
        [CP_WORK_SECONDARY] = 1000 + CP_FLEET_SECONDARY_MISS_MILLI,
        [CP_WORK_OTHER] = 1000 + CP_FLEET_MISS_MILLI};
    double typical_milli = s->typical_percent_milli > 0
                               ? s->typical_percent_milli
                               : USUAL_PERCENT * 1000;
    return s->mean_work_us * milli[c] / 1000 * USUAL_PERCENT * 1000 /
           typical_milli;
}

static void
halve(float *counts, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        counts[i] /= 2;
    }
}
