/*
 * Driver for the scripts of fleet: single decisions, and simulated loads. A
 * simulation has entry hosts in domains, backend servers that cache the
 * objects used last, and callers that retry once when they are refused. It
 * prints the results of callers, for fleet and for simple policies to choose a
 * server.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet.h"
#include "regress.h"

#define MAX_DOMAINS 8
#define MAX_SERVERS 192
#define MAX_HOSTS 64
#define MAX_CACHED 64 /* objects that a server caches */
#define MAX_REQUESTS 128000
#define RETRY_PERCENT 15 /* attempts that move on, of the requests */
#define RETRY_BURST 80
#define OVERDUE_PERCENT 125
#define SLOW_CHECK_MS 50
#define QUEUE_PER_SLOT 3 /* waiting requests, beyond those in slots */
#define SIM_DOMAINS 6
/* On real hosts the clock is never near zero. */
#define START_NS (60 * CP_NS_PER_S)

/* --- single decisions --- */

typedef struct {
    FILE *out;
    CpFleet *fleet;
    int64_t now_ns;
    CpFleetDomain domains[MAX_DOMAINS];
    uint32_t domain_count;
    uint32_t warmup_hosts; /* share the warm-up rate; 0: without this host */
    CpFleetChoice last;
    char tried[CP_FLEET_MAX_TRIED][CP_NAME_BYTES];
    uint32_t tried_count;
    uint32_t host_left_ms;           /* 0: the host does not end */
    char home_region[CP_NAME_BYTES]; /* region of requests; "any": all */
    uint64_t random;                 /* of requests */
    uint64_t response_bytes;         /* of the responses that end attempts */
    bool leaving;                    /* announced by the next response */
    uint32_t pause_ms;               /* asked for by the next response */
    uint64_t sequence;
    const CpFleetAttempt *slow_attempt; /* of the next request */
} Script;

static void run_line(void *ctx, char *line);
static void update_server(Script *s, const char *line);
static void count_primaries(Script *s, uint32_t count, const char *service);
static void serve(Script *s, uint32_t count, const char *service,
                  const char *object, uint32_t ms, const char *load);
static void fail_requests(Script *s, uint32_t count, const char *service,
                          const char *object, uint32_t ms);
static void choose(Script *s, const char *service, const char *object,
                   uint32_t goal_ms);
static void choose_faster(Script *s, const char *service, const char *object,
                          uint32_t goal_ms, uint32_t elapsed_ms);
static void end_attempt(Script *s, const char *outcome, uint32_t ms,
                        const char *load);
static bool get_warmup_share(void *ctx, const char *instance,
                             const char *domain, uint32_t *host_count);

/* --- simulated loads --- */

/* How the hosts of a simulation choose servers. */
typedef enum {
    POLICY_FLEET = 0,
    POLICY_ROUND_ROBIN,
    POLICY_LEAST_BUSY, /* by the host's own requests in flight */
    POLICY_RENDEZVOUS, /* the object's server, regardless of its queue */
    POLICY_OWN_SPEEDS, /* fleet, if hosts do not share reported speeds */
    POLICY_NO_SPEEDS,  /* fleet, if servers do not report their speed */
    POLICY_COUNT,
    POLICY_UNIFORM = POLICY_COUNT /* any server, at random */
} Policy;

typedef struct {
    uint64_t seed;
    uint32_t servers[SIM_DOMAINS];
    uint32_t hosts; /* per domain */
    uint32_t slots;
    uint32_t rate;          /* requests/s per domain */
    uint32_t burst_percent; /* of the rate, in the middle third; 0: no burst */
    uint32_t work_ms;       /* on an object that is not cached */
    uint32_t warm_percent;  /* of that, on a cached object */
    uint32_t objects;       /* per region */
    uint32_t cache_objects;
    uint32_t goal_ms;
    uint32_t deadline_ms;
    uint32_t duration_s;
    uint32_t report_delay_ms; /* to other hosts; 0: no reports */
    uint32_t lost_servers;    /* servers that end after a third of the time */
    uint32_t slow_share_percent; /* of the servers at a time; 0: even ones */
    uint32_t slow_percent;       /* time that work takes on them */
    uint32_t speed_ms;           /* how long a server keeps a speed */
    uint32_t bad_servers;        /* servers that fail */
    uint32_t bad_percent;        /* of the responses of these */
    uint32_t good_again_s;       /* after which they do not; 0: never */
    bool once;                   /* requests run at most once */
    bool unreachable;  /* bad servers fail before they get the request */
    uint32_t share_ms; /* between complete reports to the domain; 0: none */
    Policy policy;
} Scenario;

struct Simulation;

typedef struct {
    int64_t due_ns;
    uint64_t order;
    void (*fn)(struct Simulation *w, uint32_t arg);
    uint32_t arg;
} Event;

typedef struct {
    uint32_t object;
    uint32_t domain;
    uint32_t host;
    int32_t server;
    int64_t arrived_ns;
    int64_t attempt_ns;
    int64_t sent_ns;
    int32_t tried; /* server that it moved on from; -1: none */
    bool retried;
    bool is_second_attempt;
    bool was_cached;
    CpFleetWorkClass work_class;
    uint32_t wait_ms;
    uint32_t expected_ms;
    bool has_ended; /* at its server */
    bool has_moved; /* to another server, as another SimRequest */
} SimRequest;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t domain;
    uint32_t running;
    GQueue *waiting;
    uint32_t cached[MAX_CACHED];
    uint32_t cached_count;
    bool ended;
    uint32_t work_percent; /* 0: it reports none */
} SimServer;

typedef struct Simulation {
    const Scenario *scenario;
    CpSeed seed;
    int64_t now_ns;
    GSequence *events;
    uint64_t order;
    CpFleetDomain domains[SIM_DOMAINS];
    CpFleet *fleets[MAX_HOSTS];
    uint32_t rotation[MAX_HOSTS];
    uint32_t inflight[MAX_HOSTS][MAX_SERVERS];
    SimServer servers[MAX_SERVERS];
    uint32_t server_count;
    SimRequest *requests;
    uint32_t request_count;
    uint32_t record_count; /* requests, and attempts that moved on */
    uint32_t moved;
    uint32_t remote; /* served in another region than the caller's */
    uint32_t resent; /* after failures */
    uint32_t answered_early, asked_early; /* in the first second */
    uint32_t in_goal, late, refused, refused_late, failed, served_cached,
        served;
    uint64_t refused_ms;
} Simulation;

static void simulate(FILE *out, const char *line);
static void simulate_failures(FILE *out, const char *line);
static bool fails_now(Simulation *w, int32_t server);
static bool resend(Simulation *w, uint32_t r);
static void run_simulation(Simulation *w);
static void schedule_arrivals(Simulation *w);
static void arrive(Simulation *w, uint32_t r);
static void retry(Simulation *w, uint32_t r);
static void reach_server(Simulation *w, uint32_t r);
static void start_work(Simulation *w, uint32_t r);
static void end_work(Simulation *w, uint32_t r);
static void lose_servers(Simulation *w, uint32_t count);
static void tick(Simulation *w, uint32_t arg);
static void change_speed(Simulation *w, uint32_t k);
static void schedule_check(Simulation *w, uint32_t r, uint32_t after_ms);
static void check_slow(Simulation *w, uint32_t r);
static void share_reports(Simulation *w, uint32_t from);
static void report_load(Simulation *w, uint32_t packed);
static void send_request(Simulation *w, uint32_t r);
static int32_t choose_server(Simulation *w, SimRequest *q,
                             const CpFleetAttempt *slow_attempt,
                             uint32_t *retry_ms);
static void refuse(Simulation *w, uint32_t r, uint32_t retry_ms);
static bool use_cache(SimServer *server, uint32_t object,
                      uint32_t cache_objects);
static void schedule(Simulation *w, int64_t due_ns,
                     void (*fn)(struct Simulation *w, uint32_t arg),
                     uint32_t arg);
static gint by_due(gconstpointer a, gconstpointer b, gpointer ctx);

static const char *const policy_names[POLICY_COUNT] = {
    [POLICY_FLEET] = "fleet",           [POLICY_ROUND_ROBIN] = "round robin",
    [POLICY_LEAST_BUSY] = "least busy", [POLICY_RENDEZVOUS] = "rendezvous",
    [POLICY_OWN_SPEEDS] = "own speeds", [POLICY_NO_SPEEDS] = "no speeds",
};

void
CpDrive_Fleet(FILE *in, FILE *out)
{
    Script *s = CpMem_Alloc(sizeof(*s));
    s->out = out;
    s->warmup_hosts = 1;
    s->now_ns = START_NS;
    CpScript_Run(in, run_line, s);
    CpFleet_Free(s->fleet);
    free(s);
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    char a[64], b[64], c[64];
    uint32_t m, n;
    if (strncmp(line, "play ", 5) == 0) {
        simulate(s->out, line);
    }
    else if (strncmp(line, "fail ", 5) == 0) {
        simulate_failures(s->out, line);
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
                                          .get_warmup_share = get_warmup_share,
                                          .ctx = s});
    }
    else if (strncmp(line, "server ", 7) == 0) {
        update_server(s, line);
    }
    else if (sscanf(line, "gone %63s %63s", a, b) == 2) {
        CpFleet_RemoveServer(s->fleet, a, strcmp(b, "lapsed") == 0, s->now_ns);
    }
    else if (strcmp(line, "forget") == 0) {
        fprintf(s->out, "forgotten: %u\n",
                CpFleet_RemoveLapsed(s->fleet, s->now_ns));
    }
    else if (sscanf(line, "service %63s warmup %u ms %u/1000 a second", a, &m,
                    &n) == 3) {
        CpFleet_SetWarmup(s->fleet, a, m, n);
    }
    else if (sscanf(line, "evacuated %63s %63s", a, b) == 2) {
        CpFleet_SetEvacuated(s->fleet, a, strcmp(b, "yes") == 0, s->now_ns);
    }
    else if (sscanf(line, "wait %u", &m) == 1) {
        s->now_ns += m * CP_NS_PER_MS;
    }
    else if (sscanf(line, "parts %u", &s->warmup_hosts) == 1 ||
             sscanf(line, "home region %47s", s->home_region) == 1 ||
             sscanf(line, "host ends in %u ms", &s->host_left_ms) == 1) {
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
    else if (sscanf(line, "fails %u %63s %63s %u ms", &n, a, b, &m) == 4) {
        fail_requests(s, n, a, b, m);
    }
    else if (sscanf(line, "next answer pauses %u ms", &m) == 1) {
        s->pause_ms = m;
    }
    else if (strcmp(line, "next answer leaves") == 0) {
        s->leaving = true;
    }
    else if (sscanf(line, "answers of %u bytes", &m) == 1) {
        s->response_bytes = m;
    }
    else if (sscanf(line, "homes of %u objects of %63s", &m, a) == 2) {
        count_primaries(s, m, a);
    }
    else if (sscanf(line, "again %63s %63s goal %u", a, b, &m) == 3) {
        CpStr_Copy(s->tried[s->tried_count++], CP_NAME_BYTES,
                   s->last.instance);
        choose(s, a, b, m);
        s->tried_count = 0;
    }
    else if (sscanf(line, "ended %63s %u ms %63s", a, &m, c) == 3) {
        end_attempt(s, a, m, c);
    }
    else if (sscanf(line, "usable %63s", a) == 1) {
        fprintf(s->out, "usable: %u\n",
                CpFleet_CountUsable(s->fleet, a, s->now_ns));
    }
    else if (sscanf(line, "peer speed %u%% %u ms ago at %63s", &m, &n, a) ==
             3) {
        CpFleetSpeed speed = {
            .server_hash = CpHash_Str(a, 0), .work_percent = m, .age_ms = n};
        CpFleet_SetPeerSpeeds(s->fleet, &speed, 1, s->now_ns);
    }
    else if (sscanf(line, "faster %63s %63s goal %u after %u ms", a, b, &m,
                    &n) == 4) {
        choose_faster(s, a, b, m, n);
    }
    else if (sscanf(line, "peer %63s has %u at %63s", a, &m, b) == 3) {
        CpFleet_SetPeerLoad(s->fleet, CpHash_Str(a, 0), CpHash_Str(b, 0), m,
                            s->now_ns);
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

/* server NAME SERVICE DOMAIN SLOTS STATE WARMUP-MS STARTED-MS SEQUENCE */
static void
update_server(Script *s, const char *line)
{
    CpServerEntry e = {0};
    char state[32];
    if (sscanf(line, "server %47s %47s %47s %u %31s %u %" SCNi64 " %" SCNu64,
               e.instance, e.service, e.domain, &e.slots, state,
               &e.warmup_left_ms, &e.started_ms, &e.sequence) != 8) {
        fprintf(s->out, "not understood: %s\n", line);
        return;
    }
    e.draining = strcmp(state, "draining") == 0;
    snprintf(e.address, sizeof(e.address), "10.0.0.1:%u",
             (uint32_t)(CpHash_Str(e.instance, 0) % 10000));
    CpFleet_UpdateServer(s->fleet, &e, s->now_ns);
}

static void
choose(Script *s, const char *service, const char *object, uint32_t goal_ms)
{
    CpFleetRequest request = {.service = service,
                              .object =
                                  strcmp(object, "-") == 0 ? NULL : object,
                              .goal_left_ms = goal_ms,
                              .deadline_left_ms = 3000,
                              .host_left_ms = s->host_left_ms,
                              .tried_count = s->tried_count,
                              .random = s->random,
                              .slow_attempt = s->slow_attempt};
    char home_regions[1][CP_NAME_BYTES];
    if (s->home_region[0] != '\0' && strcmp(s->home_region, "any") != 0) {
        CpStr_Copy(home_regions[0], sizeof(home_regions[0]), s->home_region);
        request.home_region_count = 1;
        request.home_regions = home_regions;
    }
    for (uint32_t i = 0; i < s->tried_count; i++) {
        request.tried[i] = s->tried[i];
    }
    CpReason reason = CpFleet_Choose(s->fleet, &request, s->now_ns, &s->last);
    if (reason != CP_REASON_NONE) {
        fprintf(s->out, "%s %s: refused, %s, back after %u ms\n", service,
                object, CpReason_Name(reason), s->last.retry_after_ms);
        return;
    }
    fprintf(s->out, "%s %s: %s, place %u, wait %u ms%s\n", service, object,
            s->last.instance, s->last.placement, s->last.wait_ms,
            s->last.cold ? ", cold" : "");
}

/* Chooses a server for the attempt in progress, which began some time ago.
 * Unless one is chosen the attempt goes on. */
static void
choose_faster(Script *s, const char *service, const char *object,
              uint32_t goal_ms, uint32_t elapsed_ms)
{
    CpFleetChoice current = s->last;
    CpFleetAttempt attempt = {.instance = current.instance,
                              .work_class = current.work_class,
                              .wait_ms = current.wait_ms,
                              .started_ns =
                                  s->now_ns - elapsed_ms * CP_NS_PER_MS};
    CpStr_Copy(s->tried[s->tried_count++], CP_NAME_BYTES, current.instance);
    s->slow_attempt = &attempt;
    choose(s, service, object, goal_ms);
    s->slow_attempt = NULL;
    s->tried_count = 0;
    if (s->last.instance[0] != '\0') {
        end_attempt(s, "cancelled", 0, "-");
    }
    s->last = current;
}

/* Counts the objects by the domain of their primary server; servers are named
 * by their domain and a number. */
static void
count_primaries(Script *s, uint32_t count, const char *service)
{
    uint32_t counts[MAX_DOMAINS] = {0};
    for (uint32_t i = 0; i < count; i++) {
        char object[16];
        snprintf(object, sizeof(object), "o%u", i);
        CpFleetRequest request = {.service = service,
                                  .object = object,
                                  .goal_left_ms = 3000,
                                  .deadline_left_ms = 3000};
        CpFleet_Choose(s->fleet, &request, s->now_ns, &s->last);
        end_attempt(s, "cancelled", 0, "-");
        for (uint32_t k = 0; k < s->domain_count; k++) {
            size_t n = strlen(s->domains[k].name);
            counts[k] += strncmp(s->last.instance, s->domains[k].name, n) == 0;
        }
    }
    for (uint32_t k = 0; k < s->domain_count; k++) {
        fprintf(s->out, "%s %u%s", s->domains[k].name, counts[k],
                k + 1 < s->domain_count ? ", " : "\n");
    }
}

/* Sends requests one after the other; each gets a response after `ms` with a
 * load report, "-" for none. */
static void
serve(Script *s, uint32_t count, const char *service, const char *object,
      uint32_t ms, const char *load)
{
    CpFleetRequest request = {.service = service,
                              .object =
                                  strcmp(object, "-") == 0 ? NULL : object,
                              .goal_left_ms = 3000,
                              .deadline_left_ms = 3000};
    for (uint32_t i = 0; i < count; i++) {
        CpFleet_Choose(s->fleet, &request, s->now_ns, &s->last);
        s->now_ns += ms * CP_NS_PER_MS;
        end_attempt(s, "answered", ms, load);
    }
}

/* Sends requests one after the other, each broken off after `ms`. */
static void
fail_requests(Script *s, uint32_t count, const char *service,
              const char *object, uint32_t ms)
{
    CpFleetRequest request = {.service = service,
                              .object = object,
                              .goal_left_ms = 3000,
                              .deadline_left_ms = 3000};
    for (uint32_t i = 0; i < count; i++) {
        if (CpFleet_Choose(s->fleet, &request, s->now_ns, &s->last) !=
            CP_REASON_NONE) {
            fprintf(s->out, "refused after %u\n", i);
            return;
        }
        s->now_ns += ms * CP_NS_PER_MS;
        end_attempt(s, "broken", ms, "-");
    }
}

static void
end_attempt(Script *s, const char *outcome, uint32_t ms, const char *load)
{
    CpFleetAttemptResult r = {.instance = s->last.instance,
                              .latency_ns = ms * CP_NS_PER_MS,
                              .response_bytes = s->response_bytes,
                              .leaving = s->leaving,
                              .pause_ms = s->pause_ms,
                              .service = "s"};
    s->leaving = false;
    s->pause_ms = 0;
    if (strcmp(outcome, "unsolicited") == 0) {
        r.unsolicited = true;
        outcome = "broken";
    }
    for (uint32_t i = 0; i < CP_ATTEMPT_COUNT; i++) {
        if (strcmp(outcome, CpAttemptOutcome_Name(i)) == 0) {
            r.outcome = (CpAttemptOutcome)i;
        }
    }
    r.has_load = sscanf(load, "%u,%u,%u,%u", &r.load.running, &r.load.waiting,
                        &r.load.slots, &r.load.work_percent) >= 3;
    r.work_class = s->last.work_class;
    CpFleet_EndAttempt(s->fleet, &r, s->now_ns);
}

static bool
get_warmup_share(void *ctx, const char *instance, const char *domain,
                 uint32_t *host_count)
{
    const Script *s = ctx;
    (void)instance, (void)domain;
    *host_count = s->warmup_hosts > 0 ? s->warmup_hosts : 1;
    return s->warmup_hosts > 0;
}

/* play seed N servers A,B,C,D,E,F hosts N slots N rate N burst N% work N ms
 * warm N% objects N kept N goal N ms deadline N ms for N s tell N ms lost N */
static void
simulate(FILE *out, const char *line)
{
    Scenario p = {0};
    uint32_t *servers = p.servers;
    if (sscanf(line,
               "play seed %" SCNu64 " servers %u,%u,%u,%u,%u,%u hosts %u "
               "slots %u rate %u burst %u%% work %u ms warm %u%% objects %u "
               "kept %u goal %u ms deadline %u ms for %u s tell %u ms lost %u",
               &p.seed, &servers[0], &servers[1], &servers[2], &servers[3],
               &servers[4], &servers[5], &p.hosts, &p.slots, &p.rate,
               &p.burst_percent, &p.work_ms, &p.warm_percent, &p.objects,
               &p.cache_objects, &p.goal_ms, &p.deadline_ms, &p.duration_s,
               &p.report_delay_ms, &p.lost_servers) != 20) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    const char *uneven = strstr(line, " slow ");
    if (uneven != NULL &&
        sscanf(uneven, " slow %u%% at %u%% each %u ms share %u ms",
               &p.slow_share_percent, &p.slow_percent, &p.speed_ms,
               &p.share_ms) != 4) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    fprintf(out, "%-12s %6s %7s %7s %9s %11s %7s %6s%s\n", "", "asked",
            "in goal", "late", "at once", "after wait", "failed", "warm",
            p.speed_ms > 0 ? "  remote" : "");
    for (uint32_t i = 0; i < POLICY_COUNT; i++) {
        if (i >= POLICY_OWN_SPEEDS && p.speed_ms == 0) {
            continue;
        }
        Simulation *w = CpMem_Alloc(sizeof(*w));
        p.policy = (Policy)i;
        w->scenario = &p;
        run_simulation(w);
        fprintf(out, "%-12s %6u %6u%% %6u%% %8u%% %10u%% %6u%% %5u%%",
                policy_names[i], w->request_count,
                w->in_goal * 100 / w->request_count,
                w->late * 100 / w->request_count,
                w->refused * 100 / w->request_count,
                w->refused_late * 100 / w->request_count,
                w->failed * 100 / w->request_count,
                w->served_cached * 100 / (w->served > 0 ? w->served : 1));
        if (p.speed_ms > 0) {
            fprintf(out, " %6u%%", w->remote * 100 / w->served);
        }
        fprintf(out, "\n");
        free(w->requests);
        free(w);
    }
}

/* fail seed N N of N servers N% hosts N slots N rate N work N ms deadline N ms
 * for N s [good after N s] [once]: prints the share of requests that are
 * answered, beside that of servers chosen at random, without the first second
 * and after the servers are good again. */
static void
simulate_failures(FILE *out, const char *line)
{
    Scenario p = {.warm_percent = 100, .cache_objects = 1};
    uint32_t n;
    if (sscanf(line,
               "fail seed %" SCNu64 " %u of %u servers %u%% hosts %u slots %u "
               "rate %u work %u ms deadline %u ms for %u s good after %u s",
               &p.seed, &p.bad_servers, &n, &p.bad_percent, &p.hosts, &p.slots,
               &p.rate, &p.work_ms, &p.deadline_ms, &p.duration_s,
               &p.good_again_s) < 10) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    p.once = strstr(line, " once") != NULL;
    p.unreachable = strstr(line, " unreachable") != NULL;
    p.goal_ms = p.deadline_ms;
    for (uint32_t k = 0; k < n; k++) {
        p.servers[k % SIM_DOMAINS]++;
    }
    uint32_t percents[2];
    for (uint32_t i = 0; i < 2; i++) {
        Simulation *w = CpMem_Alloc(sizeof(*w));
        p.policy = i == 0 ? POLICY_FLEET : POLICY_UNIFORM;
        w->scenario = &p;
        run_simulation(w);
        percents[i] = (w->in_goal + w->late - w->answered_early) * 100 /
                      (w->request_count - w->asked_early);
        free(w->requests);
        free(w);
    }
    fprintf(out, "%3u of %3u servers fail %3u%%%s: fleet %3u%%, any %3u%%%s\n",
            p.bad_servers, n, p.bad_percent,
            p.once          ? ", once"
            : p.unreachable ? ", unreachable"
                            : "",
            percents[0], percents[1],
            percents[0] + 3 < percents[1] ? ", too few" : "");
}

static bool
fails_now(Simulation *w, int32_t server)
{
    const Scenario *p = w->scenario;
    int64_t now_s = (w->now_ns - START_NS) / CP_NS_PER_S;
    return (uint32_t)server < p->bad_servers &&
           (p->good_again_s == 0 || now_s < p->good_again_s) &&
           CpSeed_Below(&w->seed, 100) < p->bad_percent;
}

/* Sends a failed request to another server, once and within the budget. */
static bool
resend(Simulation *w, uint32_t r)
{
    const Scenario *p = w->scenario;
    SimRequest *q = &w->requests[r];
    uint32_t retry_ms;
    if (p->once || q->is_second_attempt ||
        w->resent * 100 >
            w->request_count * RETRY_PERCENT + RETRY_BURST * 100) {
        return false;
    }
    q->is_second_attempt = true;
    q->tried = q->server;
    w->resent++;
    q->server = choose_server(w, q, NULL, &retry_ms);
    if (q->server < 0) { /* only the server that failed is left */
        q->tried = -1;
        q->server = choose_server(w, q, NULL, &retry_ms);
    }
    if (q->server < 0) {
        return false;
    }
    send_request(w, r);
    return true;
}

static void
run_simulation(Simulation *w)
{
    const Scenario *p = w->scenario;
    w->seed.state = p->seed;
    w->now_ns = START_NS;
    w->events = g_sequence_new(free);
    w->requests = CpMem_Alloc(MAX_REQUESTS * sizeof(*w->requests));
    for (uint32_t d = 0; d < SIM_DOMAINS; d++) {
        snprintf(w->domains[d].name, CP_NAME_BYTES, "d%u", d);
        snprintf(w->domains[d].region, CP_NAME_BYTES, "r%u", d / 2);
        for (uint32_t k = 0; k < p->servers[d]; k++) {
            SimServer *server = &w->servers[w->server_count];
            snprintf(server->name, sizeof(server->name), "i-%u",
                     w->server_count++);
            server->domain = d;
            server->waiting = g_queue_new();
        }
    }
    for (uint32_t h = 0; h < SIM_DOMAINS * p->hosts; h++) {
        const char *domain = w->domains[h / p->hosts].name;
        w->fleets[h] =
            CpFleet_New(&(CpFleetOptions){.domain = domain,
                                          .domains = w->domains,
                                          .domain_count = SIM_DOMAINS});
        for (uint32_t k = 0; k < w->server_count; k++) {
            CpServerEntry e = {.slots = p->slots, .service = "s"};
            CpStr_Copy(e.instance, sizeof(e.instance), w->servers[k].name);
            CpStr_Copy(e.domain, sizeof(e.domain),
                       w->domains[w->servers[k].domain].name);
            CpFleet_UpdateServer(w->fleets[h], &e, START_NS);
        }
    }
    schedule_arrivals(w);
    w->record_count = w->request_count;
    schedule(w, START_NS, tick, 0);
    for (uint32_t k = 0; p->speed_ms > 0 && k < w->server_count; k++) {
        change_speed(w, k);
    }
    for (uint32_t h = 0; p->share_ms > 0 && h < SIM_DOMAINS * p->hosts; h++) {
        schedule(w,
                 START_NS + CpSeed_Below(&w->seed, p->share_ms) * CP_NS_PER_MS,
                 share_reports, h);
    }
    if (p->lost_servers > 0) {
        schedule(w, START_NS + CP_NS_PER_S * (p->duration_s / 3), lose_servers,
                 p->lost_servers);
    }
    while (g_sequence_get_length(w->events) > 0) {
        GSequenceIter *it = g_sequence_get_begin_iter(w->events);
        Event e = *(Event *)g_sequence_get(it);
        g_sequence_remove(it);
        w->now_ns = e.due_ns;
        e.fn(w, e.arg);
    }
    for (uint32_t h = 0; h < SIM_DOMAINS * p->hosts; h++) {
        CpFleet_Free(w->fleets[h]);
    }
    for (uint32_t k = 0; k < w->server_count; k++) {
        g_queue_free(w->servers[k].waiting);
    }
    g_sequence_free(w->events);
}

/* Schedules random arrivals, the same for each policy. */
static void
schedule_arrivals(Simulation *w)
{
    const Scenario *p = w->scenario;
    for (uint32_t d = 0; d < SIM_DOMAINS; d++) {
        int64_t t_ns = START_NS,
                end_ns = START_NS + p->duration_s * CP_NS_PER_S;
        int64_t third_ns = p->duration_s * CP_NS_PER_S / 3;
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
            w->requests[r] = (SimRequest){
                .object = p->objects > 0
                              ? d / 2 * p->objects +
                                    CpSeed_Below(&w->seed, p->objects)
                              : 0,
                .domain = d,
                .arrived_ns = t_ns};
            schedule(w, t_ns, arrive, r);
        }
    }
}

static void
arrive(Simulation *w, uint32_t r)
{
    const Scenario *p = w->scenario;
    SimRequest *q = &w->requests[r];
    uint32_t retry_ms = 0;
    q->tried = -1;
    q->host = q->domain * p->hosts + CpSeed_Below(&w->seed, p->hosts);
    q->attempt_ns = w->now_ns;
    q->server = choose_server(w, q, NULL, &retry_ms);
    if (q->server < 0) {
        refuse(w, r, retry_ms);
        return;
    }
    send_request(w, r);
}

static void
send_request(Simulation *w, uint32_t r)
{
    const Scenario *p = w->scenario;
    SimRequest *q = &w->requests[r];
    q->sent_ns = w->now_ns;
    w->inflight[q->host][q->server]++;
    if (p->report_delay_ms > 0) {
        schedule(w, w->now_ns + p->report_delay_ms * CP_NS_PER_MS, report_load,
                 q->host * MAX_SERVERS + (uint32_t)q->server);
    }
    if (p->policy == POLICY_FLEET || p->policy >= POLICY_OWN_SPEEDS) {
        schedule_check(w, r, q->expected_ms * OVERDUE_PERCENT / 100);
    }
    int64_t network_ms =
        w->servers[q->server].domain / 2 == q->domain / 2 ? 1 : 12;
    schedule(w, w->now_ns + network_ms * CP_NS_PER_MS, reach_server, r);
}

/* Requests for objects are idempotent: where servers report their speed, one
 * whose response is overdue may move on to another server. */
static void
schedule_check(Simulation *w, uint32_t r, uint32_t after_ms)
{
    const Scenario *p = w->scenario;
    int64_t due_ns = w->now_ns + after_ms * CP_NS_PER_MS;
    if (p->speed_ms > 0 && p->objects > 0 && w->requests[r].tried < 0 &&
        due_ns < w->requests[r].arrived_ns + p->goal_ms * CP_NS_PER_MS) {
        schedule(w, due_ns, check_slow, r);
    }
}

static void
check_slow(Simulation *w, uint32_t r)
{
    SimRequest *q = &w->requests[r];
    uint32_t retry_ms;
    if (q->has_ended || q->server < 0 ||
        w->now_ns < q->sent_ns + q->expected_ms * CP_NS_PER_MS) {
        return; /* or it is sent anew, which is checked by itself */
    }
    CpFleetAttempt attempt = {.instance = w->servers[q->server].name,
                              .work_class = q->work_class,
                              .wait_ms = q->wait_ms,
                              .started_ns = q->sent_ns};
    SimRequest moved = *q;
    moved.tried = q->server;
    moved.server = -1;
    if (w->moved * 100 < w->request_count * RETRY_PERCENT &&
        w->record_count < MAX_REQUESTS) {
        moved.server = choose_server(w, &moved, &attempt, &retry_ms);
    }
    if (moved.server < 0) {
        schedule_check(w, r, SLOW_CHECK_MS);
        return;
    }
    CpFleetAttemptResult report = {.service = "s",
                                   .instance = w->servers[q->server].name,
                                   .outcome = CP_ATTEMPT_TIMED_OUT,
                                   .latency_ns = w->now_ns - q->sent_ns,
                                   .work_class = q->work_class};
    CpFleet_EndAttempt(w->fleets[q->host], &report, w->now_ns);
    w->inflight[q->host][q->server]--;
    q->has_moved = true;
    q->has_ended = true;
    w->moved++;
    w->requests[w->record_count] = moved;
    send_request(w, w->record_count++);
}

static void
retry(Simulation *w, uint32_t r)
{
    arrive(w, r);
}

/* A server queues a few more requests than it has slots and refuses others. */
static void
reach_server(Simulation *w, uint32_t r)
{
    SimRequest *q = &w->requests[r];
    SimServer *server = &w->servers[q->server];
    uint32_t queue_limit = w->scenario->slots * QUEUE_PER_SLOT;
    if (w->scenario->unreachable && fails_now(w, q->server)) {
        CpFleetAttemptResult report = {.service = "s",
                                       .instance = server->name,
                                       .outcome = CP_ATTEMPT_UNREACHABLE,
                                       .latency_ns = w->now_ns - q->sent_ns};
        CpFleet_EndAttempt(w->fleets[q->host], &report, w->now_ns);
        w->inflight[q->host][q->server]--;
        bool early = q->arrived_ns < START_NS + CP_NS_PER_S;
        if (!resend(w, r)) {
            w->asked_early += early;
            w->failed++;
        }
        return;
    }
    if (server->ended || g_queue_get_length(server->waiting) >= queue_limit) {
        CpFleetAttemptResult report = {.service = "s",
                                       .instance = server->name,
                                       .outcome = server->ended
                                                      ? CP_ATTEMPT_UNREACHABLE
                                                      : CP_ATTEMPT_REFUSED,
                                       .latency_ns = w->now_ns - q->sent_ns};
        CpFleet_EndAttempt(w->fleets[q->host], &report, w->now_ns);
        w->inflight[q->host][q->server]--;
        refuse(w, r, 200);
        return;
    }
    if (server->running < w->scenario->slots) {
        start_work(w, r);
    }
    else {
        g_queue_push_tail(server->waiting, GUINT_TO_POINTER(r + 1));
    }
}

static void
start_work(Simulation *w, uint32_t r)
{
    const Scenario *p = w->scenario;
    SimRequest *q = &w->requests[r];
    SimServer *server = &w->servers[q->server];
    server->running++;
    q->was_cached = use_cache(server, q->object, p->cache_objects);
    uint32_t ms = p->work_ms * (85 + CpSeed_Below(&w->seed, 31)) / 100;
    ms = q->was_cached ? ms * p->warm_percent / 100 : ms;
    ms = server->work_percent > 0 ? ms * server->work_percent / 100 : ms;
    schedule(w, w->now_ns + ms * CP_NS_PER_MS, end_work, r);
}

static void
end_work(Simulation *w, uint32_t r)
{
    const Scenario *p = w->scenario;
    SimRequest *q = &w->requests[r];
    SimServer *server = &w->servers[q->server];
    server->running--;
    q->has_ended = true;
    if (q->has_moved) {
        gpointer waiting = g_queue_pop_head(server->waiting);
        if (waiting != NULL) {
            start_work(w, GPOINTER_TO_UINT(waiting) - 1);
        }
        return;
    }
    int64_t latency_ns = w->now_ns - q->arrived_ns;
    bool in_time = w->now_ns - q->attempt_ns <= p->deadline_ms * CP_NS_PER_MS;
    bool fails =
        p->bad_servers > 0 && !p->unreachable && fails_now(w, q->server);
    CpFleetAttemptResult report = {
        .service = "s",
        .instance = server->name,
        .outcome = fails     ? CP_ATTEMPT_BROKEN
                   : in_time ? CP_ATTEMPT_ANSWERED
                             : CP_ATTEMPT_TIMED_OUT,
        .latency_ns = w->now_ns - q->sent_ns,
        .work_class = q->work_class,
        .has_load = in_time || p->speed_ms == 0,
        .load = {server->running, g_queue_get_length(server->waiting),
                 p->slots,
                 p->policy != POLICY_NO_SPEEDS ? server->work_percent : 0}};
    CpFleet_EndAttempt(w->fleets[q->host], &report, w->now_ns);
    w->inflight[q->host][q->server]--;
    if (p->report_delay_ms > 0) {
        schedule(w, w->now_ns + p->report_delay_ms * CP_NS_PER_MS, report_load,
                 q->host * MAX_SERVERS + (uint32_t)q->server);
    }
    w->served++;
    w->remote += server->domain / 2 != q->domain / 2;
    w->served_cached += q->was_cached;
    bool early = q->arrived_ns < START_NS + CP_NS_PER_S;
    w->asked_early += early;
    w->answered_early += early && in_time && !fails;
    if (fails) {
        if (resend(w, r)) {
            w->asked_early -= early;
        }
        else {
            w->failed++;
        }
    }
    else if (!in_time) {
        w->failed++;
    }
    else if (latency_ns <= p->goal_ms * CP_NS_PER_MS) {
        w->in_goal++;
    }
    else {
        w->late++;
    }
    gpointer next = g_queue_pop_head(server->waiting);
    if (next != NULL) {
        start_work(w, GPOINTER_TO_UINT(next) - 1);
    }
}

/* Draws a server's speed, and schedules the next change. */
static void
change_speed(Simulation *w, uint32_t k)
{
    const Scenario *p = w->scenario;
    bool slow = CpSeed_Below(&w->seed, 100) < p->slow_share_percent;
    w->servers[k].work_percent = slow ? p->slow_percent : 100;
    int64_t due_ns =
        w->now_ns + CpSeed_Below(&w->seed, 2 * p->speed_ms) * CP_NS_PER_MS;
    if (due_ns < START_NS + p->duration_s * CP_NS_PER_S) {
        schedule(w, due_ns + CP_NS_PER_MS, change_speed, k);
    }
}

static void
lose_servers(Simulation *w, uint32_t count)
{
    for (uint32_t k = 0; k < count; k++) {
        SimServer *server = &w->servers[k * w->server_count / count];
        server->ended = true;
        for (gpointer r = g_queue_pop_head(server->waiting); r != NULL;
             r = g_queue_pop_head(server->waiting)) {
            refuse(w, GPOINTER_TO_UINT(r) - 1, 200);
        }
    }
}

static void
tick(Simulation *w, uint32_t arg)
{
    CpFleetHostCounts hosts = {w->scenario->hosts, 2 * w->scenario->hosts};
    for (uint32_t h = 0; h < SIM_DOMAINS * w->scenario->hosts; h++) {
        CpFleet_Tick(w->fleets[h], &hosts, w->now_ns);
    }
    if (w->now_ns < START_NS + w->scenario->duration_s * CP_NS_PER_S) {
        schedule(w, w->now_ns + CP_FLEET_TICK_MS * CP_NS_PER_MS, tick, arg);
    }
}

/* Sends a complete report to the hosts of the sender's domain. */
static void
share_reports(Simulation *w, uint32_t from)
{
    const Scenario *p = w->scenario;
    CpFleetUsage usage[MAX_SERVERS];
    CpFleetSpeed speeds[MAX_SERVERS];
    uint32_t n = CpFleet_ListUsage(w->fleets[from], usage, MAX_SERVERS);
    uint32_t speed_count = CpFleet_ListSpeeds(w->fleets[from], p->share_ms,
                                              w->now_ns, speeds, MAX_SERVERS);
    for (uint32_t h = 0; h < SIM_DOMAINS * p->hosts; h++) {
        if (h == from || h / p->hosts != from / p->hosts) {
            continue;
        }
        CpFleet_ClearPeerLoads(w->fleets[h], from + 1);
        for (uint32_t i = 0; i < n; i++) {
            CpFleet_SetPeerLoad(w->fleets[h], from + 1, usage[i].server_hash,
                                usage[i].inflight, w->now_ns);
        }
        if (p->policy == POLICY_FLEET) {
            CpFleet_SetPeerSpeeds(w->fleets[h], speeds, speed_count,
                                  w->now_ns);
        }
    }
    if (w->now_ns < START_NS + p->duration_s * CP_NS_PER_S) {
        schedule(w, w->now_ns + p->share_ms * CP_NS_PER_MS, share_reports,
                 from);
    }
}

/* Reports a change to the hosts of the sender's and of the server's domain. */
static void
report_load(Simulation *w, uint32_t packed)
{
    uint32_t from = packed / MAX_SERVERS, server = packed % MAX_SERVERS;
    uint32_t hosts = w->scenario->hosts;
    for (uint32_t h = 0; h < SIM_DOMAINS * hosts; h++) {
        if (h != from && (h / hosts == from / hosts ||
                          h / hosts == w->servers[server].domain)) {
            CpFleet_SetPeerLoad(w->fleets[h], from + 1,
                                CpHash_Str(w->servers[server].name, 0),
                                w->inflight[from][server], w->now_ns);
        }
    }
}

static int32_t
choose_server(Simulation *w, SimRequest *q, const CpFleetAttempt *slow_attempt,
              uint32_t *retry_ms)
{
    const Scenario *p = w->scenario;
    char object[16];
    int32_t best = -1;
    uint64_t best_score = 0;
    int64_t waited_ms = (w->now_ns - q->arrived_ns) / CP_NS_PER_MS;
    snprintf(object, sizeof(object), "%u", q->object);
    if (p->policy == POLICY_UNIFORM) {
        *retry_ms = 200;
        best = (int32_t)CpSeed_Below(&w->seed, w->server_count);
        return best != q->tried || w->server_count == 1
                   ? best
                   : (int32_t)((uint32_t)(best + 1) % w->server_count);
    }
    if (p->policy == POLICY_FLEET || p->policy >= POLICY_OWN_SPEEDS) {
        CpFleetChoice choice;
        CpFleetRequest request = {
            .service = "s",
            .object = p->objects > 0 ? object : NULL,
            .goal_left_ms =
                waited_ms < p->goal_ms ? p->goal_ms - (uint32_t)waited_ms : 0,
            .deadline_left_ms = p->deadline_ms,
            .random = CpSeed_Next(&w->seed),
            .slow_attempt = slow_attempt};
        if (q->tried >= 0) {
            request.tried[request.tried_count++] = w->servers[q->tried].name;
        }
        if (CpFleet_Choose(w->fleets[q->host], &request, w->now_ns, &choice) !=
            CP_REASON_NONE) {
            *retry_ms = choice.retry_after_ms;
            return -1;
        }
        q->work_class = choice.work_class;
        q->wait_ms = choice.wait_ms;
        q->expected_ms = choice.expected_ms;
        return atoi(choice.instance + 2);
    }
    *retry_ms = 200;
    for (uint32_t k = 0; k < w->server_count; k++) {
        bool same_region = w->servers[k].domain / 2 == q->domain / 2;
        uint64_t score = p->policy == POLICY_RENDEZVOUS
                             ? CpHash_Str(w->servers[k].name, q->object)
                         : p->policy == POLICY_LEAST_BUSY
                             ? (uint64_t)w->inflight[q->host][k] * 1000 +
                                   !same_region * 500 +
                                   (k + w->rotation[q->host]) % w->server_count
                             : (k + w->rotation[q->host]) % w->server_count;
        if (!w->servers[k].ended && (best < 0 || score < best_score)) {
            best = (int32_t)k;
            best_score = score;
        }
    }
    w->rotation[q->host]++;
    return best;
}

/* A caller retries once, after the delay that it was given. */
static void
refuse(Simulation *w, uint32_t r, uint32_t retry_ms)
{
    SimRequest *q = &w->requests[r];
    bool at_once =
        w->now_ns - q->attempt_ns <= w->scenario->goal_ms * CP_NS_PER_MS / 8;
    if (!q->retried) {
        q->retried = true;
        schedule(w, w->now_ns + retry_ms * CP_NS_PER_MS, retry, r);
        return;
    }
    *(at_once ? &w->refused : &w->refused_late) += 1;
}

/* Looks up an object in the server's LRU cache and adds it; returns whether
 * it was there. */
static bool
use_cache(SimServer *server, uint32_t object, uint32_t cache_objects)
{
    uint32_t i = 0;
    while (i < server->cached_count && server->cached[i] != object) {
        i++;
    }
    bool found = i < server->cached_count;
    if (!found && server->cached_count < cache_objects) {
        server->cached_count++;
    }
    for (i = found ? i : server->cached_count - 1; i > 0; i--) {
        server->cached[i] = server->cached[i - 1];
    }
    server->cached[0] = object;
    return found;
}

static void
schedule(Simulation *w, int64_t due_ns,
         void (*fn)(struct Simulation *w, uint32_t arg), uint32_t arg)
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
