/*
 * Scripts for fleet: single decisions, and simulated loads. A simulation has
 * entry hosts in domains, backend servers that cache the objects used last,
 * and callers that retry once when they are refused. It prints the results of
 * callers, for fleet and for simple policies to choose a server.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet.h"
#include "regress.h"

#define MAX_DOMAINS 8
#define MAX_SERVERS 128
#define MAX_HOSTS 64
#define MAX_KEPT 64 /* objects that a server caches */
#define MAX_REQUESTS 128000
#define QUEUE_PER_SLOT 3 /* waiting requests, beyond those in slots */
#define PLAY_DOMAINS 6
/* On real hosts the clock is never near zero. */
#define START_NS (60 * CP_NS_PER_S)

/* --- single decisions --- */

typedef struct {
    FILE *out;
    CpFleet *fleet;
    int64_t now_ns;
    CpFleetDomain domains[MAX_DOMAINS];
    uint32_t domain_count;
    uint32_t parts; /* hosts that share a warm-up rate; 0: this one has none */
    CpFleetPick last;
    char tried[CP_FLEET_MAX_TRIED][CP_NAME_BYTES];
    uint32_t tried_count;
    char home[CP_NAME_BYTES]; /* region of requests; "any": all */
    uint64_t random;          /* of requests */
    uint64_t answer_bytes;    /* of the responses that end attempts */
    uint64_t sequence;
} Script;

static void step(void *ctx, char *line);
static void put(Script *s, const char *line);
static void homes(Script *s, uint32_t count, const char *service);
static void serve(Script *s, uint32_t count, const char *service,
                  const char *object, uint32_t ms, const char *load);
static void choose(Script *s, const char *service, const char *object,
                   uint32_t goal_ms);
static void ended(Script *s, const char *how, uint32_t ms, const char *load);
static bool warmup_part(void *ctx, const char *instance, const char *domain,
                        uint32_t *parts);

/* --- simulated loads --- */

/* How the hosts of a simulation choose servers. */
typedef enum {
    WAY_FLEET = 0,
    WAY_ROUND_ROBIN,
    WAY_LEAST_BUSY, /* by the host's own requests in flight */
    WAY_RENDEZVOUS, /* the object's server, regardless of its queue */
    WAY_COUNT
} Way;

typedef struct {
    uint64_t seed;
    uint32_t servers[PLAY_DOMAINS];
    uint32_t hosts; /* per domain */
    uint32_t slots;
    uint32_t rate;          /* requests/s per domain */
    uint32_t burst_percent; /* of the rate, in the middle third; 0: no burst */
    uint32_t work_ms;       /* on an object that is not cached */
    uint32_t warm_percent;  /* of that, on a cached object */
    uint32_t objects;       /* per region */
    uint32_t kept;
    uint32_t goal_ms;
    uint32_t deadline_ms;
    uint32_t length_s;
    uint32_t tell_ms; /* delay of reports to other hosts; 0: no reports */
    uint32_t lost;    /* servers that end after a third of the time */
    Way way;
} Play;

struct World;

typedef struct {
    int64_t due_ns;
    uint64_t order;
    void (*fn)(struct World *w, uint32_t arg);
    uint32_t arg;
} Event;

typedef struct {
    uint32_t object;
    uint32_t domain;
    uint32_t host;
    int32_t server;
    int64_t came_ns;
    int64_t asked_ns;
    int64_t sent_ns;
    bool again;
    bool was_warm;
} Request;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t domain;
    uint32_t running;
    GQueue *waiting;
    uint32_t kept[MAX_KEPT];
    uint32_t kept_count;
    bool ended;
} Server;

typedef struct World {
    const Play *play;
    CpSeed seed;
    int64_t now_ns;
    GSequence *events;
    uint64_t order;
    CpFleetDomain domains[PLAY_DOMAINS];
    CpFleet *fleets[MAX_HOSTS];
    uint32_t turn[MAX_HOSTS];
    uint32_t sent[MAX_HOSTS][MAX_SERVERS];
    Server servers[MAX_SERVERS];
    uint32_t server_count;
    Request *requests;
    uint32_t request_count;
    uint32_t in_goal, late, refused, refused_late, failed, warm, served;
    uint64_t refused_ms;
} World;

static void play(FILE *out, const char *line);
static void run(World *w);
static void plan_arrivals(World *w);
static void arrive(World *w, uint32_t r);
static void come_back(World *w, uint32_t r);
static void reach_server(World *w, uint32_t r);
static void start_work(World *w, uint32_t r);
static void end_work(World *w, uint32_t r);
static void lose_servers(World *w, uint32_t count);
static void tick(World *w, uint32_t arg);
static void tell(World *w, uint32_t code);
static int32_t choose_server(World *w, Request *q, uint32_t *retry_ms);
static void refuse(World *w, uint32_t r, uint32_t retry_ms);
static bool remembers(Server *v, uint32_t object, uint32_t kept);
static void at(World *w, int64_t due_ns,
               void (*fn)(struct World *w, uint32_t arg), uint32_t arg);
static gint by_due(gconstpointer a, gconstpointer b, gpointer ctx);

static const char *const way_names[WAY_COUNT] = {
    [WAY_FLEET] = "fleet",
    [WAY_ROUND_ROBIN] = "round robin",
    [WAY_LEAST_BUSY] = "least busy",
    [WAY_RENDEZVOUS] = "rendezvous",
};

void
CpDrive_Fleet(FILE *in, FILE *out)
{
    Script *s = CpMem_Alloc(sizeof(*s));
    s->out = out;
    s->parts = 1;
    s->now_ns = START_NS;
    CpScript_Run(in, step, s);
    CpFleet_Free(s->fleet);
    free(s);
}

static void
step(void *ctx, char *line)
{
    Script *s = ctx;
    char a[64], b[64], c[64];
    uint32_t m, n;
    if (strncmp(line, "play ", 5) == 0) {
        play(s->out, line);
    }
    else if (sscanf(line, "domain %63s %63s", a, b) == 2) {
        CpFleetDomain *d = &s->domains[s->domain_count++];
        CpStr_Copy(d->name, sizeof(d->name), a);
        CpStr_Copy(d->region, sizeof(d->region), b);
    }
    else if (sscanf(line, "fleet in %63s", a) == 1) {
        CpFleet_Free(s->fleet);
        s->fleet =
            CpFleet_New(&(CpFleetOptions){.domain = a,
                                          .domains = s->domains,
                                          .domain_count = s->domain_count,
                                          .warmup_part = warmup_part,
                                          .ctx = s});
    }
    else if (strncmp(line, "server ", 7) == 0) {
        put(s, line);
    }
    else if (sscanf(line, "gone %63s %63s", a, b) == 2) {
        CpFleet_Remove(s->fleet, a, strcmp(b, "lapsed") == 0, s->now_ns);
    }
    else if (strcmp(line, "forget") == 0) {
        fprintf(s->out, "forgotten: %u\n",
                CpFleet_Forget(s->fleet, s->now_ns));
    }
    else if (sscanf(line, "service %63s warmup %u ms %u/1000 a second", a, &m,
                    &n) == 3) {
        CpFleet_SetService(s->fleet, a, m, n);
    }
    else if (sscanf(line, "evacuated %63s %63s", a, b) == 2) {
        CpFleet_SetEvacuated(s->fleet, a, strcmp(b, "yes") == 0, s->now_ns);
    }
    else if (sscanf(line, "wait %u", &m) == 1) {
        s->now_ns += m * CP_NS_PER_MS;
    }
    else if (sscanf(line, "parts %u", &s->parts) == 1 ||
             sscanf(line, "home region %47s", s->home) == 1) {
        s->tried_count = 0;
    }
    else if (sscanf(line, "choose %63s %63s goal %u", a, b, &m) == 3) {
        choose(s, a, b, m);
    }
    else if (sscanf(line, "serve %u %63s %63s %u ms %63s", &n, a, b, &m, c) ==
             5) {
        serve(s, n, a, b, m, c);
    }
    else if (sscanf(line, "random %" SCNu64, &s->random) == 1) {
        s->tried_count = 0;
    }
    else if (sscanf(line, "answers of %u bytes", &m) == 1) {
        s->answer_bytes = m;
    }
    else if (sscanf(line, "homes of %u objects of %63s", &m, a) == 2) {
        homes(s, m, a);
    }
    else if (sscanf(line, "again %63s %63s goal %u", a, b, &m) == 3) {
        CpStr_Copy(s->tried[s->tried_count++], CP_NAME_BYTES,
                   s->last.instance);
        choose(s, a, b, m);
        s->tried_count = 0;
    }
    else if (sscanf(line, "ended %63s %u ms %63s", a, &m, c) == 3) {
        ended(s, a, m, c);
    }
    else if (sscanf(line, "usable %63s", a) == 1) {
        fprintf(s->out, "usable: %u\n",
                CpFleet_Usable(s->fleet, a, s->now_ns));
    }
    else if (sscanf(line, "peer %63s has %u at %63s", a, &m, b) == 3) {
        CpFleet_PeerLoad(s->fleet, CpHash_Str(a, 0), CpHash_Str(b, 0), m,
                         s->now_ns);
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

/* server NAME SERVICE DOMAIN SLOTS STATE WARMUP-MS BORN-MS SEQUENCE */
static void
put(Script *s, const char *line)
{
    CpServerEntry e = {0};
    char state[32];
    if (sscanf(line, "server %47s %47s %47s %u %31s %u %" SCNi64 " %" SCNu64,
               e.instance, e.service, e.domain, &e.slots, state,
               &e.warmup_left_ms, &e.born_ms, &e.sequence) != 8) {
        fprintf(s->out, "not understood: %s\n", line);
        return;
    }
    e.draining = strcmp(state, "draining") == 0;
    snprintf(e.address, sizeof(e.address), "10.0.0.1:%u",
             (uint32_t)(CpHash_Str(e.instance, 0) % 10000));
    CpFleet_Put(s->fleet, &e, s->now_ns);
}

static void
choose(Script *s, const char *service, const char *object, uint32_t goal_ms)
{
    CpFleetAsk ask = {.service = service,
                      .object = strcmp(object, "-") == 0 ? NULL : object,
                      .goal_left_ms = goal_ms,
                      .deadline_left_ms = 3000,
                      .tried_count = s->tried_count,
                      .random = s->random};
    char homes[1][CP_NAME_BYTES];
    if (s->home[0] != '\0' && strcmp(s->home, "any") != 0) {
        CpStr_Copy(homes[0], sizeof(homes[0]), s->home);
        ask.home_count = 1;
        ask.homes = homes;
    }
    for (uint32_t i = 0; i < s->tried_count; i++) {
        ask.tried[i] = s->tried[i];
    }
    CpReason reason = CpFleet_Choose(s->fleet, &ask, s->now_ns, &s->last);
    if (reason != CP_REASON_NONE) {
        fprintf(s->out, "%s %s: refused, %s, back after %u ms\n", service,
                object, CpReason_Name(reason), s->last.retry_after_ms);
        return;
    }
    fprintf(s->out, "%s %s: %s, place %u, wait %u ms%s\n", service, object,
            s->last.instance, s->last.place, s->last.wait_ms,
            s->last.cold ? ", cold" : "");
}

/* Counts the objects by the domain of their primary server; servers are named
 * by their domain and a number. */
static void
homes(Script *s, uint32_t count, const char *service)
{
    uint32_t at[MAX_DOMAINS] = {0};
    for (uint32_t i = 0; i < count; i++) {
        char object[16];
        snprintf(object, sizeof(object), "o%u", i);
        CpFleetAsk ask = {.service = service,
                          .object = object,
                          .goal_left_ms = 3000,
                          .deadline_left_ms = 3000};
        CpFleet_Choose(s->fleet, &ask, s->now_ns, &s->last);
        ended(s, "cancelled", 0, "-");
        for (uint32_t k = 0; k < s->domain_count; k++) {
            size_t n = strlen(s->domains[k].name);
            at[k] += strncmp(s->last.instance, s->domains[k].name, n) == 0;
        }
    }
    for (uint32_t k = 0; k < s->domain_count; k++) {
        fprintf(s->out, "%s %u%s", s->domains[k].name, at[k],
                k + 1 < s->domain_count ? ", " : "\n");
    }
}

/* Sends requests one after the other, each answered after `ms` with a load
 * report, "-" for none. */
static void
serve(Script *s, uint32_t count, const char *service, const char *object,
      uint32_t ms, const char *load)
{
    CpFleetAsk ask = {.service = service,
                      .object = object,
                      .goal_left_ms = 3000,
                      .deadline_left_ms = 3000};
    for (uint32_t i = 0; i < count; i++) {
        CpFleet_Choose(s->fleet, &ask, s->now_ns, &s->last);
        s->now_ns += ms * CP_NS_PER_MS;
        ended(s, "answered", ms, load);
    }
}

static void
ended(Script *s, const char *how, uint32_t ms, const char *load)
{
    CpFleetReport r = {.instance = s->last.instance,
                       .latency_ns = ms * CP_NS_PER_MS,
                       .answer_bytes = s->answer_bytes,
                       .service = "s"};
    for (uint32_t i = 0; i < CP_ATTEMPT_COUNT; i++) {
        if (strcmp(how, CpAttemptEnd_Name(i)) == 0) {
            r.end = (CpAttemptEnd)i;
        }
    }
    r.has_load = sscanf(load, "%u,%u,%u", &r.load.running, &r.load.waiting,
                        &r.load.slots) == 3;
    CpFleet_Ended(s->fleet, &r, s->now_ns);
}

static bool
warmup_part(void *ctx, const char *instance, const char *domain,
            uint32_t *parts)
{
    const Script *s = ctx;
    (void)instance, (void)domain;
    *parts = s->parts > 0 ? s->parts : 1;
    return s->parts > 0;
}

/* play seed N servers A,B,C,D,E,F hosts N slots N rate N burst N% work N ms
 * warm N% objects N kept N goal N ms deadline N ms for N s tell N ms lost N */
static void
play(FILE *out, const char *line)
{
    Play p = {0};
    uint32_t *v = p.servers;
    if (sscanf(line,
               "play seed %" SCNu64 " servers %u,%u,%u,%u,%u,%u hosts %u "
               "slots %u rate %u burst %u%% work %u ms warm %u%% objects %u "
               "kept %u goal %u ms deadline %u ms for %u s tell %u ms lost %u",
               &p.seed, &v[0], &v[1], &v[2], &v[3], &v[4], &v[5], &p.hosts,
               &p.slots, &p.rate, &p.burst_percent, &p.work_ms,
               &p.warm_percent, &p.objects, &p.kept, &p.goal_ms,
               &p.deadline_ms, &p.length_s, &p.tell_ms, &p.lost) != 20) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    fprintf(out, "%-12s %6s %7s %7s %9s %11s %7s %6s\n", "", "asked",
            "in goal", "late", "at once", "after wait", "failed", "warm");
    for (uint32_t i = 0; i < WAY_COUNT; i++) {
        World *w = CpMem_Alloc(sizeof(*w));
        p.way = (Way)i;
        w->play = &p;
        run(w);
        fprintf(out, "%-12s %6u %6u%% %6u%% %8u%% %10u%% %6u%% %5u%%\n",
                way_names[i], w->request_count,
                w->in_goal * 100 / w->request_count,
                w->late * 100 / w->request_count,
                w->refused * 100 / w->request_count,
                w->refused_late * 100 / w->request_count,
                w->failed * 100 / w->request_count,
                w->warm * 100 / (w->served > 0 ? w->served : 1));
        free(w->requests);
        free(w);
    }
}

static void
run(World *w)
{
    const Play *p = w->play;
    w->seed.state = p->seed;
    w->events = g_sequence_new(free);
    w->requests = CpMem_Alloc(MAX_REQUESTS * sizeof(*w->requests));
    for (uint32_t d = 0; d < PLAY_DOMAINS; d++) {
        snprintf(w->domains[d].name, CP_NAME_BYTES, "d%u", d);
        snprintf(w->domains[d].region, CP_NAME_BYTES, "r%u", d / 2);
        for (uint32_t k = 0; k < p->servers[d]; k++) {
            Server *v = &w->servers[w->server_count];
            snprintf(v->name, sizeof(v->name), "i-%u", w->server_count++);
            v->domain = d;
            v->waiting = g_queue_new();
        }
    }
    for (uint32_t h = 0; h < PLAY_DOMAINS * p->hosts; h++) {
        const char *domain = w->domains[h / p->hosts].name;
        w->fleets[h] =
            CpFleet_New(&(CpFleetOptions){.domain = domain,
                                          .domains = w->domains,
                                          .domain_count = PLAY_DOMAINS});
        for (uint32_t k = 0; k < w->server_count; k++) {
            CpServerEntry e = {.slots = p->slots, .service = "s"};
            CpStr_Copy(e.instance, sizeof(e.instance), w->servers[k].name);
            CpStr_Copy(e.domain, sizeof(e.domain),
                       w->domains[w->servers[k].domain].name);
            CpFleet_Put(w->fleets[h], &e, START_NS);
        }
    }
    plan_arrivals(w);
    at(w, START_NS, tick, 0);
    if (p->lost > 0) {
        at(w, START_NS + CP_NS_PER_S * (p->length_s / 3), lose_servers,
           p->lost);
    }
    while (g_sequence_get_length(w->events) > 0) {
        GSequenceIter *it = g_sequence_get_begin_iter(w->events);
        Event e = *(Event *)g_sequence_get(it);
        g_sequence_remove(it);
        w->now_ns = e.due_ns;
        e.fn(w, e.arg);
    }
    for (uint32_t h = 0; h < PLAY_DOMAINS * p->hosts; h++) {
        CpFleet_Free(w->fleets[h]);
    }
    for (uint32_t k = 0; k < w->server_count; k++) {
        g_queue_free(w->servers[k].waiting);
    }
    g_sequence_free(w->events);
}

/* Schedules random arrivals, the same for each policy. */
static void
plan_arrivals(World *w)
{
    const Play *p = w->play;
    for (uint32_t d = 0; d < PLAY_DOMAINS; d++) {
        int64_t t_ns = START_NS, end_ns = START_NS + p->length_s * CP_NS_PER_S;
        int64_t third_ns = p->length_s * CP_NS_PER_S / 3;
        while (w->request_count < MAX_REQUESTS) {
            bool burst =
                t_ns - START_NS > third_ns && t_ns - START_NS < 2 * third_ns;
            uint32_t rate =
                p->rate *
                (burst && p->burst_percent > 0 ? p->burst_percent : 100);
            t_ns += (int64_t)(CpSeed_Next(&w->seed) >> 12) %
                    (2 * CP_NS_PER_S) * 100 / rate;
            if (t_ns > end_ns) {
                break;
            }
            uint32_t r = w->request_count++;
            w->requests[r] =
                (Request){.object = d / 2 * p->objects +
                                    CpSeed_Below(&w->seed, p->objects),
                          .domain = d,
                          .came_ns = t_ns};
            at(w, t_ns, arrive, r);
        }
    }
}

static void
arrive(World *w, uint32_t r)
{
    const Play *p = w->play;
    Request *q = &w->requests[r];
    uint32_t retry_ms = 0;
    q->host = q->domain * p->hosts + CpSeed_Below(&w->seed, p->hosts);
    q->asked_ns = w->now_ns;
    q->server = choose_server(w, q, &retry_ms);
    if (q->server < 0) {
        refuse(w, r, retry_ms);
        return;
    }
    q->sent_ns = w->now_ns;
    w->sent[q->host][q->server]++;
    if (p->tell_ms > 0) {
        at(w, w->now_ns + p->tell_ms * CP_NS_PER_MS, tell,
           q->host * MAX_SERVERS + (uint32_t)q->server);
    }
    int64_t way_ms =
        w->servers[q->server].domain / 2 == q->domain / 2 ? 1 : 12;
    at(w, w->now_ns + way_ms * CP_NS_PER_MS, reach_server, r);
}

static void
come_back(World *w, uint32_t r)
{
    arrive(w, r);
}

/* A server queues a few more requests than it has slots and refuses others. */
static void
reach_server(World *w, uint32_t r)
{
    Request *q = &w->requests[r];
    Server *v = &w->servers[q->server];
    uint32_t room = w->play->slots * QUEUE_PER_SLOT;
    if (v->ended || g_queue_get_length(v->waiting) >= room) {
        CpFleetReport report = {.service = "s",
                                .instance = v->name,
                                .end = v->ended ? CP_ATTEMPT_UNREACHABLE
                                                : CP_ATTEMPT_REFUSED,
                                .latency_ns = w->now_ns - q->sent_ns};
        CpFleet_Ended(w->fleets[q->host], &report, w->now_ns);
        w->sent[q->host][q->server]--;
        refuse(w, r, 200);
        return;
    }
    if (v->running < w->play->slots) {
        start_work(w, r);
    }
    else {
        g_queue_push_tail(v->waiting, GUINT_TO_POINTER(r + 1));
    }
}

static void
start_work(World *w, uint32_t r)
{
    const Play *p = w->play;
    Request *q = &w->requests[r];
    Server *v = &w->servers[q->server];
    v->running++;
    q->was_warm = remembers(v, q->object, p->kept);
    uint32_t ms = p->work_ms * (85 + CpSeed_Below(&w->seed, 31)) / 100;
    ms = q->was_warm ? ms * p->warm_percent / 100 : ms;
    at(w, w->now_ns + ms * CP_NS_PER_MS, end_work, r);
}

static void
end_work(World *w, uint32_t r)
{
    const Play *p = w->play;
    Request *q = &w->requests[r];
    Server *v = &w->servers[q->server];
    v->running--;
    int64_t took_ns = w->now_ns - q->came_ns;
    bool in_time = w->now_ns - q->asked_ns <= p->deadline_ms * CP_NS_PER_MS;
    CpFleetReport report = {
        .service = "s",
        .instance = v->name,
        .end = in_time ? CP_ATTEMPT_ANSWERED : CP_ATTEMPT_TIMED_OUT,
        .latency_ns = w->now_ns - q->sent_ns,
        .has_load = true,
        .load = {v->running, g_queue_get_length(v->waiting), p->slots}};
    CpFleet_Ended(w->fleets[q->host], &report, w->now_ns);
    w->sent[q->host][q->server]--;
    if (p->tell_ms > 0) {
        at(w, w->now_ns + p->tell_ms * CP_NS_PER_MS, tell,
           q->host * MAX_SERVERS + (uint32_t)q->server);
    }
    w->served++;
    w->warm += q->was_warm;
    if (!in_time) {
        w->failed++;
    }
    else if (took_ns <= p->goal_ms * CP_NS_PER_MS) {
        w->in_goal++;
    }
    else {
        w->late++;
    }
    gpointer next = g_queue_pop_head(v->waiting);
    if (next != NULL) {
        start_work(w, GPOINTER_TO_UINT(next) - 1);
    }
}

static void
lose_servers(World *w, uint32_t count)
{
    for (uint32_t k = 0; k < count; k++) {
        Server *v = &w->servers[k * w->server_count / count];
        v->ended = true;
        for (gpointer r = g_queue_pop_head(v->waiting); r != NULL;
             r = g_queue_pop_head(v->waiting)) {
            refuse(w, GPOINTER_TO_UINT(r) - 1, 200);
        }
    }
}

static void
tick(World *w, uint32_t arg)
{
    CpFleetHosts hosts = {w->play->hosts, 2 * w->play->hosts};
    for (uint32_t h = 0; h < PLAY_DOMAINS * w->play->hosts; h++) {
        CpFleet_Tick(w->fleets[h], &hosts, w->now_ns);
    }
    if (w->now_ns < START_NS + w->play->length_s * CP_NS_PER_S) {
        at(w, w->now_ns + CP_FLEET_TICK_MS * CP_NS_PER_MS, tick, arg);
    }
}

/* Reports a change to the hosts of the sender's and of the server's domain. */
static void
tell(World *w, uint32_t code)
{
    uint32_t from = code / MAX_SERVERS, server = code % MAX_SERVERS;
    uint32_t hosts = w->play->hosts;
    for (uint32_t h = 0; h < PLAY_DOMAINS * hosts; h++) {
        if (h != from && (h / hosts == from / hosts ||
                          h / hosts == w->servers[server].domain)) {
            CpFleet_PeerLoad(w->fleets[h], from + 1,
                             CpHash_Str(w->servers[server].name, 0),
                             w->sent[from][server], w->now_ns);
        }
    }
}

static int32_t
choose_server(World *w, Request *q, uint32_t *retry_ms)
{
    const Play *p = w->play;
    char object[16];
    int32_t best = -1;
    uint64_t best_score = 0;
    int64_t waited_ms = (w->now_ns - q->came_ns) / CP_NS_PER_MS;
    snprintf(object, sizeof(object), "%u", q->object);
    if (p->way == WAY_FLEET) {
        CpFleetPick pick;
        CpFleetAsk ask = {
            .service = "s",
            .object = object,
            .goal_left_ms =
                waited_ms < p->goal_ms ? p->goal_ms - (uint32_t)waited_ms : 0,
            .deadline_left_ms = p->deadline_ms,
            .random = CpSeed_Next(&w->seed)};
        if (CpFleet_Choose(w->fleets[q->host], &ask, w->now_ns, &pick) !=
            CP_REASON_NONE) {
            *retry_ms = pick.retry_after_ms;
            return -1;
        }
        return atoi(pick.instance + 2);
    }
    *retry_ms = 200;
    for (uint32_t k = 0; k < w->server_count; k++) {
        bool near = w->servers[k].domain / 2 == q->domain / 2;
        uint64_t score = p->way == WAY_RENDEZVOUS
                             ? CpHash_Str(w->servers[k].name, q->object)
                         : p->way == WAY_LEAST_BUSY
                             ? (uint64_t)w->sent[q->host][k] * 1000 +
                                   !near * 500 +
                                   (k + w->turn[q->host]) % w->server_count
                             : (k + w->turn[q->host]) % w->server_count;
        if (!w->servers[k].ended && (best < 0 || score < best_score)) {
            best = (int32_t)k;
            best_score = score;
        }
    }
    w->turn[q->host]++;
    return best;
}

/* A caller retries once, after the delay that it was given. */
static void
refuse(World *w, uint32_t r, uint32_t retry_ms)
{
    Request *q = &w->requests[r];
    bool at_once =
        w->now_ns - q->asked_ns <= w->play->goal_ms * CP_NS_PER_MS / 8;
    if (!q->again) {
        q->again = true;
        at(w, w->now_ns + retry_ms * CP_NS_PER_MS, come_back, r);
        return;
    }
    *(at_once ? &w->refused : &w->refused_late) += 1;
}

/* Looks up an object in the server's LRU cache and adds it; returns whether
 * it was there. */
static bool
remembers(Server *v, uint32_t object, uint32_t kept)
{
    uint32_t i = 0;
    while (i < v->kept_count && v->kept[i] != object) {
        i++;
    }
    bool found = i < v->kept_count;
    if (!found && v->kept_count < kept) {
        v->kept_count++;
    }
    for (i = found ? i : v->kept_count - 1; i > 0; i--) {
        v->kept[i] = v->kept[i - 1];
    }
    v->kept[0] = object;
    return found;
}

static void
at(World *w, int64_t due_ns, void (*fn)(struct World *w, uint32_t arg),
   uint32_t arg)
{
    Event *e = CpMem_Alloc(sizeof(*e));
    *e = (Event){.due_ns = due_ns, .order = w->order++, .fn = fn, .arg = arg};
    g_sequence_insert_sorted(w->events, e, by_due, NULL);
}

static gint
by_due(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const Event *x = a, *y = b;
    (void)ctx;
    if (x->due_ns != y->due_ns) {
        return x->due_ns < y->due_ns ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}
