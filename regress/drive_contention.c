/* Simulates hosts that share servers under contention: with admission control,
 * and as a naive reference model that sends each request to the same servers,
 * first come, first served. Time is simulated; all arithmetic is in integers,
 * so that the output is the same on each machine. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "regress.h"

#define MAX_CLASSES 8
#define MAX_HOSTS 128
#define MAX_SERVERS 64
#define SLOTS 8
#define CANDIDATES 4     /* servers, of which a host takes the least loaded */
#define QUEUE 4          /* requests that wait at a server; beyond: refused */
#define WARMUP_MS 5000   /* not measured */
#define COOLDOWN_MS 3000 /* nor is this */
#define SPEED_MS 600     /* a server keeps its speed for so long */
#define SLOW_ONE_IN 6    /* servers */
#define SLOW_PERCENT 150 /* work time of a slow one */
#define MISS_ONE_IN 10   /* requests whose object is not cached */
#define MISS_PERCENT 150 /* their work time */
#define MEAN_WORK_MILLI 1137 /* of both: 1050 * 1083 / 1000 */
#define DRAWS 16             /* of arrivals, for a class in each millisecond */
#define IGNORE_ONE_IN 10     /* callers that ignore Retry-After */
#define IGNORE_MS 20         /* and come back after this time */
#define MIN_LEFT_MS 50       /* callers give up with less time left */
#define FULL_MILLI 1400      /* load of a server that refuses, for a host */
#define LOAD_HALF_LIFE_MS 500
#define LOAD_MAX_AGE_MS 3000

/* Requests of one rank and organisation. */
typedef struct {
    char org[16];
    uint32_t rank, goal_ms, timeout_ms, work_ms;
    uint32_t share; /* of all requests at the capacity, in thousandths */
    bool floods;    /* the load above the capacity is all of this class */
    uint32_t rate_milli;
    uint32_t count, in_goal, late;
} Class;

typedef struct {
    uint32_t class_index;
    int64_t first_ms; /* its first attempt */
    bool ignores;
    uint32_t host;
    uint32_t work_us; /* at the usual speed; the same in both models */
} Call;

typedef enum {
    EVENT_ATTEMPT,
    EVENT_WORK_ENDED
} EventType;

typedef struct {
    int64_t at_ms;
    uint64_t order; /* of events at the same time */
    EventType type;
    uint32_t server;
    Call call;
    int64_t sent_ms;
} Event;

typedef struct {
    uint32_t running, waiting;
    Event queue[QUEUE]; /* requests that wait */
    uint32_t speed_percent;
    uint32_t speed_offset_ms;
} Server;

/* What a host has seen of a server. */
typedef struct {
    int64_t seen_ms; /* 0: nothing */
    uint32_t load_milli;
} Seen;

typedef struct {
    FILE *out;
    uint32_t host_count, server_count, seconds;
    uint64_t seed;
    Class classes[MAX_CLASSES];
    uint32_t class_count;
} Setup;

typedef struct {
    Setup *setup;
    Class classes[MAX_CLASSES];
    Server servers[MAX_SERVERS];
    Seen seen[MAX_HOSTS][MAX_SERVERS];
    CpContention *hosts[MAX_HOSTS]; /* NULL: the reference model */
    Event *events;                  /* heap */
    uint32_t event_count, event_capacity;
    uint64_t order;
    int64_t now_ms;
    CpSeed r;       /* arrivals and speeds, the same in both models */
    CpSeed choices; /* of servers; delays */
    CpSeed decisions;
    uint64_t load_sum, load_samples; /* mean of all servers */
} World;

static void ask(FILE *out, const char *line);
static void run_load(Setup *setup, uint32_t percent);
static void play(World *w, uint32_t percent, bool admission);
static void set_rates(World *w, uint32_t percent);
static void add_arrivals(World *w);
static void set_work(World *w, Call *call);
static bool is_measured(const World *w, const Call *call);
static void attempt(World *w, const Call *call);
static bool is_admitted(World *w, const Call *call, uint32_t *retry_after_ms);
static CpContentionRoom get_room(const World *w, uint32_t host);
static void send(World *w, const Call *call);
static uint32_t less_loaded(World *w);
static void start_work(World *w, uint32_t server, const Event *request);
static void end_work(World *w, const Event *e);
static void refuse(World *w, const Call *call, uint32_t retry_after_ms);
static void set_speeds(World *w);
static void push_event(World *w, Event e);
static Event pop_event(World *w);
static bool is_before(const Event *a, const Event *b);
static uint32_t load_milli(const Server *s);
static void print_table(const World *naive, const World *w, uint32_t percent);
static void check(const World *naive, const World *w);
static double fair_share(const World *w, uint32_t rank, uint32_t class_index);
static uint32_t sum_in_goal(const World *w);

bool
CpDriveContention_RunLine(FILE *out, const char *line)
{
    static Setup setup;
    Class c = {0};
    uint32_t percent;
    char word[16] = "";
    setup.out = out;
    if (sscanf(line, "contention %u hosts %u servers %u s seed %" SCNu64,
               &setup.host_count, &setup.server_count, &setup.seconds,
               &setup.seed) == 4) {
        setup.class_count = 0;
        return true;
    }
    if (sscanf(line, "class %u %15s goal %u timeout %u work %u share %u %15s",
               &c.rank, c.org, &c.goal_ms, &c.timeout_ms, &c.work_ms, &c.share,
               word) >= 6) {
        c.floods = strcmp(word, "floods") == 0;
        setup.classes[setup.class_count++] = c;
        return true;
    }
    if (strncmp(line, "ask ", 4) == 0) {
        ask(out, line + 4);
        return true;
    }
    if (sscanf(line, "load %u", &percent) == 1) {
        run_load(&setup, percent);
        return true;
    }
    return false;
}

/* Asks one host for a number of decisions, one each 100 ms, and prints the
 * last one. "-" is no organisation; "ask anew" starts a host. */
static void
ask(FILE *out, const char *line)
{
    static CpContention *host;
    static int64_t now_ns;
    char org[16], speed[16];
    uint32_t count;
    CpContentionRequest q = {.service = "s", .route = "r", .org = org};
    CpContentionDecision d = {0};
    CpSeed random = {1};
    if (strcmp(line, "anew") == 0) {
        CpContention_Free(host);
        host = CpContention_New();
        return;
    }
    if (sscanf(line, "%u rank %u org %15s load %u goal %u timeout %u %15s",
               &count, &q.rank, org, &q.room.load_milli, &q.goal_ms,
               &q.timeout_ms, speed) != 7) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    q.org = strcmp(org, "-") == 0 ? NULL : org;
    q.left_ms = q.timeout_ms > 0 ? q.timeout_ms : 2000;
    q.room.speed_reported = strcmp(speed, "speed") == 0;
    q.room.load_known = q.room.load_milli > 0;
    uint32_t refused = 0;
    for (uint32_t i = 0; i < count; i++) {
        now_ns += 100 * CP_NS_PER_MS;
        q.random = CpSeed_Next(&random);
        CpContention_Decide(host, &q, now_ns, &d);
        refused += d.reason != CP_REASON_NONE;
    }
    fprintf(out, "%s, %s refused, %s%s, elapsed %u", d.acts ? "acts" : "idle",
            refused == 0       ? "none"
            : refused == count ? "all"
                               : "some",
            CpReason_Name(d.reason), d.returning ? ", returning" : "",
            d.elapsed_ms);
    if (d.reason != CP_REASON_NONE) {
        fprintf(out, ", retry after %s",
                d.retry_after_ms < 100              ? "too little"
                : d.retry_after_ms <= q.left_ms / 3 ? "up to a third"
                                                    : "too much");
    }
    fprintf(out, "\n");
}

static void
run_load(Setup *setup, uint32_t percent)
{
    static World naive, w;
    naive = w = (World){.setup = setup};
    play(&naive, percent, false);
    play(&w, percent, true);
    print_table(&naive, &w, percent);
    check(&naive, &w);
}

static void
play(World *w, uint32_t percent, bool admission)
{
    const Setup *s = w->setup;
    w->r = (CpSeed){s->seed};
    w->choices = (CpSeed){s->seed + 1};
    w->decisions = (CpSeed){s->seed + 2};
    set_rates(w, percent);
    for (uint32_t i = 0; i < s->host_count; i++) {
        w->hosts[i] = admission ? CpContention_New() : NULL;
    }
    for (uint32_t i = 0; i < s->server_count; i++) {
        w->servers[i].speed_offset_ms = CpSeed_Below(&w->r, SPEED_MS);
    }
    for (w->now_ms = 1;
         w->now_ms < WARMUP_MS + s->seconds * 1000 + COOLDOWN_MS;
         w->now_ms++) {
        set_speeds(w);
        add_arrivals(w);
        while (w->event_count > 0 && w->events[0].at_ms <= w->now_ms) {
            Event e = pop_event(w);
            if (e.type == EVENT_ATTEMPT) {
                attempt(w, &e.call);
            }
            else {
                end_work(w, &e);
            }
        }
        uint64_t load = 0;
        for (uint32_t i = 0; i < s->server_count; i++) {
            load += load_milli(&w->servers[i]);
        }
        if (w->now_ms >= WARMUP_MS &&
            w->now_ms < WARMUP_MS + s->seconds * 1000) {
            load /= s->server_count;
            w->load_sum += load;
            w->load_samples++;
        }
    }
    for (uint32_t i = 0; i < s->host_count; i++) {
        CpContention_Free(w->hosts[i]);
    }
    free(w->events);
    w->events = NULL;
}

/* 100 percent are the requests whose work takes all slots. */
static void
set_rates(World *w, uint32_t percent)
{
    const Setup *s = w->setup;
    uint64_t mean_us = 0;
    memcpy(w->classes, s->classes, sizeof(w->classes));
    for (uint32_t i = 0; i < s->class_count; i++) {
        mean_us += s->classes[i].share * s->classes[i].work_ms *
                   MEAN_WORK_MILLI / 1000;
    }
    uint64_t capacity_milli =
        UINT64_C(1000000000) * SLOTS * s->server_count / mean_us;
    bool any_floods = false;
    for (uint32_t i = 0; i < s->class_count; i++) {
        any_floods |= s->classes[i].floods;
    }
    for (uint32_t i = 0; i < s->class_count; i++) {
        Class *c = &w->classes[i];
        uint64_t usual = capacity_milli * c->share / 1000;
        uint64_t excess =
            percent > 100 ? capacity_milli * (percent - 100) / 100 : 0;
        c->rate_milli =
            (uint32_t)(!any_floods || percent <= 100 ? usual * percent / 100
                       : c->floods
                           ? usual + excess * mean_us / 1000 /
                                         (c->work_ms * MEAN_WORK_MILLI / 1000)
                           : usual);
    }
}

static void
add_arrivals(World *w)
{
    const Setup *s = w->setup;
    for (uint32_t i = 0; i < s->class_count; i++) {
        for (uint32_t k = 0; k < DRAWS; k++) {
            if (CpSeed_Below(&w->r, 1000000 * DRAWS) <
                w->classes[i].rate_milli) {
                Call call = {.class_index = i,
                             .first_ms = w->now_ms,
                             .ignores =
                                 CpSeed_Below(&w->r, IGNORE_ONE_IN) == 0,
                             .host = CpSeed_Below(&w->r, s->host_count)};
                set_work(w, &call);
                w->classes[i].count += is_measured(w, &call);
                attempt(w, &call);
            }
        }
    }
}

static void
set_work(World *w, Call *call)
{
    uint32_t us = w->classes[call->class_index].work_ms *
                  (700 + CpSeed_Below(&w->r, 601));
    call->work_us =
        CpSeed_Below(&w->r, MISS_ONE_IN) == 0 ? us * MISS_PERCENT / 100 : us;
}

/* Callers of the last seconds may still wait when the simulation ends. */
static bool
is_measured(const World *w, const Call *call)
{
    return call->first_ms >= WARMUP_MS &&
           call->first_ms < WARMUP_MS + w->setup->seconds * 1000;
}

static void
attempt(World *w, const Call *call)
{
    uint32_t retry_after_ms = 0;
    if (w->hosts[call->host] != NULL &&
        !is_admitted(w, call, &retry_after_ms)) {
        refuse(w, call, retry_after_ms);
    }
    else {
        send(w, call);
    }
}

static bool
is_admitted(World *w, const Call *call, uint32_t *retry_after_ms)
{
    const Class *c = &w->classes[call->class_index];
    uint32_t left_ms = c->timeout_ms - (uint32_t)(w->now_ms - call->first_ms);
    char route[16];
    snprintf(route, sizeof(route), "route-%u", c->rank);
    CpContentionRequest request = {.service = "s",
                                   .route = route,
                                   .org = c->org,
                                   .rank = c->rank,
                                   .goal_ms = c->goal_ms,
                                   .timeout_ms = left_ms,
                                   .left_ms = left_ms,
                                   .room = get_room(w, call->host),
                                   .random = CpSeed_Next(&w->decisions)};
    CpContentionDecision d;
    CpContention_Decide(w->hosts[call->host], &request,
                        w->now_ms * CP_NS_PER_MS, &d);
    *retry_after_ms = d.retry_after_ms;
    return d.reason == CP_REASON_NONE;
}

/* The mean of what the host has seen, recent figures first, as in
 * CpFleet_GetRoom(). */
static CpContentionRoom
get_room(const World *w, uint32_t host)
{
    uint64_t sum = 0, weights = 0;
    for (uint32_t i = 0; i < w->setup->server_count; i++) {
        const Seen *seen = &w->seen[host][i];
        int64_t age_ms = w->now_ms - seen->seen_ms;
        if (seen->seen_ms > 0 && age_ms < LOAD_MAX_AGE_MS) {
            uint64_t weight = 65536 >> (age_ms / LOAD_HALF_LIFE_MS);
            sum += weight * seen->load_milli;
            weights += weight;
        }
    }
    return (CpContentionRoom){.speed_reported = true,
                              .load_known = weights > 0,
                              .load_milli =
                                  weights > 0 ? (uint32_t)(sum / weights) : 0};
}

static void
send(World *w, const Call *call)
{
    uint32_t i = less_loaded(w);
    Server *s = &w->servers[i];
    Event request = {.call = *call, .sent_ms = w->now_ms, .server = i};
    if (s->running < SLOTS) {
        start_work(w, i, &request);
    }
    else if (s->waiting < QUEUE) {
        s->queue[s->waiting++] = request;
    }
    else {
        w->seen[call->host][i] = (Seen){w->now_ms, FULL_MILLI};
        refuse(w, call, 100 + CpSeed_Below(&w->choices, 50));
    }
}

static uint32_t
less_loaded(World *w)
{
    uint32_t best = CpSeed_Below(&w->choices, w->setup->server_count);
    for (uint32_t k = 1; k < CANDIDATES; k++) {
        uint32_t i = CpSeed_Below(&w->choices, w->setup->server_count);
        if (load_milli(&w->servers[i]) < load_milli(&w->servers[best])) {
            best = i;
        }
    }
    return best;
}

static void
start_work(World *w, uint32_t server, const Event *request)
{
    Server *s = &w->servers[server];
    Event e = *request;
    s->running++;
    e.type = EVENT_WORK_ENDED;
    e.at_ms = w->now_ms +
              (int64_t)(e.call.work_us * UINT64_C(1) * s->speed_percent / 100 /
                        1000) +
              1;
    push_event(w, e);
}

static void
end_work(World *w, const Event *e)
{
    Server *s = &w->servers[e->server];
    Class *c = &w->classes[e->call.class_index];
    int64_t took_ms = w->now_ms - e->call.first_ms;
    char route[16];
    s->running--;
    w->seen[e->call.host][e->server] = (Seen){w->now_ms, load_milli(s)};
    if (w->hosts[e->call.host] != NULL) {
        snprintf(route, sizeof(route), "route-%u", c->rank);
        CpContention_RecordResponse(w->hosts[e->call.host], "s", route,
                                    (w->now_ms - e->sent_ms) * CP_NS_PER_MS);
    }
    if (is_measured(w, &e->call)) {
        c->in_goal += took_ms <= c->goal_ms;
        c->late += took_ms > c->goal_ms && took_ms <= c->timeout_ms;
    }
    if (s->waiting > 0) {
        Event next = s->queue[0];
        memmove(s->queue, s->queue + 1, --s->waiting * sizeof(*s->queue));
        start_work(w, e->server, &next);
    }
}

static void
refuse(World *w, const Call *call, uint32_t retry_after_ms)
{
    Class *c = &w->classes[call->class_index];
    int64_t left_ms = c->timeout_ms - (w->now_ms - call->first_ms);
    int64_t delay_ms = call->ignores                  ? IGNORE_MS
                       : retry_after_ms < left_ms / 3 ? retry_after_ms
                                                      : left_ms / 3;
    Event e = {.type = EVENT_ATTEMPT,
               .at_ms = w->now_ms + (delay_ms > 0 ? delay_ms : 1),
               .call = *call};
    e.call.host = CpSeed_Below(&w->choices, w->setup->host_count);
    if (left_ms - delay_ms >= MIN_LEFT_MS) {
        push_event(w, e);
    }
}

static void
set_speeds(World *w)
{
    for (uint32_t i = 0; i < w->setup->server_count; i++) {
        Server *s = &w->servers[i];
        if ((w->now_ms + s->speed_offset_ms) % SPEED_MS == 0 ||
            s->speed_percent == 0) {
            s->speed_percent =
                CpSeed_Below(&w->r, SLOW_ONE_IN) == 0 ? SLOW_PERCENT : 100;
        }
    }
}

static void
push_event(World *w, Event e)
{
    e.order = w->order++;
    if (w->event_count == w->event_capacity) {
        w->event_capacity = w->event_capacity * 2 + 1024;
        w->events =
            CpMem_Realloc(w->events, w->event_capacity * sizeof(*w->events));
    }
    uint32_t i = w->event_count++;
    for (; i > 0 && is_before(&e, &w->events[(i - 1) / 2]); i = (i - 1) / 2) {
        w->events[i] = w->events[(i - 1) / 2];
    }
    w->events[i] = e;
}

static Event
pop_event(World *w)
{
    Event first = w->events[0], last = w->events[--w->event_count];
    uint32_t i = 0, child;
    while ((child = 2 * i + 1) < w->event_count) {
        if (child + 1 < w->event_count &&
            is_before(&w->events[child + 1], &w->events[child])) {
            child++;
        }
        if (!is_before(&w->events[child], &last)) {
            break;
        }
        w->events[i] = w->events[child];
        i = child;
    }
    w->events[i] = last;
    return first;
}

static bool
is_before(const Event *a, const Event *b)
{
    return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static uint32_t
load_milli(const Server *s)
{
    return (s->running + s->waiting) * 1000 / SLOTS;
}

static uint32_t
percent_of(uint32_t part, uint32_t whole)
{
    return whole > 0 ? (uint32_t)(part * UINT64_C(100) / whole) : 0;
}

static void
print_table(const World *naive, const World *w, uint32_t percent)
{
    FILE *out = w->setup->out;
    uint32_t total = 0, n = w->setup->class_count;
    for (uint32_t i = 0; i < n; i++) {
        total += w->classes[i].count;
    }
    fprintf(out, "load %u%%: in goal %u%%, naive %u%%; servers' load %u\n",
            percent, percent_of(sum_in_goal(w), total),
            percent_of(sum_in_goal(naive), total),
            (uint32_t)(w->load_sum / w->load_samples));
    for (uint32_t i = 0; i < n; i++) {
        const Class *c = &w->classes[i], *b = &naive->classes[i];
        fprintf(
            out, "  rank %u %s: in goal %u%%, late %u%%; naive %u%%, %u%%\n",
            c->rank, c->org, percent_of(c->in_goal, c->count),
            percent_of(c->late, c->count), percent_of(b->in_goal, b->count),
            percent_of(b->late, b->count));
    }
}

/* Checks what docs/design/overview.md requires of admission. */
static void
check(const World *naive, const World *w)
{
    FILE *out = w->setup->out;
    if (sum_in_goal(w) < sum_in_goal(naive)) {
        fprintf(out, "  FEWER than the naive model: %u, %u\n", sum_in_goal(w),
                sum_in_goal(naive));
    }
    for (uint32_t i = 0; i < w->setup->class_count; i++) {
        const Class *c = &w->classes[i];
        double fair = fair_share(w, c->rank, i);
        if (c->in_goal < 0.9 * fair) {
            fprintf(out, "  rank %u %s BELOW its fair share: %u of %u\n",
                    c->rank, c->org, c->in_goal, (uint32_t)fair);
        }
    }
}

/* What the class would get if what the rank got were divided fairly. */
static double
fair_share(const World *w, uint32_t rank, uint32_t class_index)
{
    double left = 0, level = 0;
    bool satisfied[MAX_CLASSES] = {false};
    uint32_t n = w->setup->class_count;
    for (uint32_t i = 0; i < n; i++) {
        left += w->classes[i].rank == rank ? w->classes[i].in_goal : 0;
    }
    for (uint32_t round = 0; round < n; round++) {
        uint32_t others = 0;
        for (uint32_t i = 0; i < n; i++) {
            others += w->classes[i].rank == rank && !satisfied[i];
        }
        level = others > 0 ? left / others : 0;
        for (uint32_t i = 0; i < n; i++) {
            const Class *c = &w->classes[i];
            if (c->rank == rank && !satisfied[i] && c->count <= level) {
                satisfied[i] = true;
                left -= c->count;
            }
        }
    }
    return satisfied[class_index] ? w->classes[class_index].count : level;
}

static uint32_t
sum_in_goal(const World *w)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < w->setup->class_count; i++) {
        n += w->classes[i].in_goal;
    }
    return n;
}
