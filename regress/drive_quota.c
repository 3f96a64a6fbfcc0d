/*
 * Driver for the scripts of quota: hosts with a manual clock that exchange
 * messages over a simulated network. "net" and the lines after it drive single
 * decisions; "play" runs a load and compares the requests granted with those
 * of a reference model, one token bucket that sees all requests.
 */
#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "quota/quota.h"
#include "regress.h"

#define MAX_HOSTS 300
#define MAX_ORGS 80
#define MAX_WAITERS 16384
#define WINDOW_S 5
#define OVERSHOOT_MILLI 100
#define TOLERANCE 20
#define START_NS (60 * CP_NS_PER_S)  /* real clocks are never near zero */
#define SILENCE_NS (4 * CP_NS_PER_S) /* until a lost host is known as such */
#define REGAIN_NS CP_NS_PER_S
#define WARMUP_NS (8 * CP_NS_PER_S) /* of a play, not counted */

typedef enum {
    EVENT_TICK,
    EVENT_MESSAGE,
    EVENT_ARRIVAL, /* of a request */
    EVENT_RETRY,   /* a request that waits tries again */
    EVENT_HOSTS,   /* hosts learn which others are live */
    EVENT_START,   /* of a host that lost power */
    EVENT_STEP     /* of the play's failure */
} EventType;

typedef struct {
    int64_t due_ns;
    uint64_t order;
    EventType type;
    uint32_t host;
    uint32_t arg; /* organisation, or index of a waiter */
    uint32_t epoch;
    CpQuotaMessage *message;
} Event;

typedef struct {
    bool used;
    uint32_t host;
    uint32_t org;
    int64_t arrived_ns;
    int64_t began_ns; /* of the wait */
    bool retries;     /* it was refused and tries again when told to */
} Waiter;

struct Net;

typedef struct {
    struct Net *net;
    CpQuota *quota;
    uint32_t index;
    uint32_t epoch; /* incremented by each start: older events are void */
    bool down;
    bool had_row;          /* of an earlier process, when this one started */
    int64_t first_read_ns; /* from the process start to the first complete read
                            * of the tables */
    bool sees_down[MAX_HOSTS];
    int64_t frozen_until_ns;
    uint32_t side; /* hosts of different sides do not hear each other */
} Host;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t rate;
    uint32_t burst;
    uint32_t level_percent; /* demand, of the rate */
    GArray *granted;        /* int64_t, times */
    uint64_t offered;
    uint64_t reference;
    uint64_t refused;
    uint64_t served;
    uint64_t retry_ms; /* sum over refused requests */
    double bucket;     /* of the reference model */
    double generated;  /* tokens generated after a power loss and not used, if
                        * any host could use them */
    int64_t bucket_ns;
} Org;

typedef struct Net {
    FILE *out;
    CpSeed seed;
    int64_t now_ns;
    Host hosts[MAX_HOSTS];
    uint32_t host_count;
    uint32_t row_count; /* hosts in the table */
    bool partial;       /* a part of the table was read */
    Org orgs[MAX_ORGS];
    uint32_t org_count;
    GPtrArray *events; /* binary heap */
    uint64_t event_order;
    uint64_t incarnation;
    uint32_t loss_percent;
    uint32_t min_delay_ms, max_delay_ms;
    bool repeats; /* each message arrives three times, the last late */
    uint64_t messages;
    Waiter waiters[MAX_WAITERS];
    uint32_t waiter_count; /* entries of `waiters` that were ever used */
    bool plays;
    bool retries; /* refused requests try again once, when told to */
    uint64_t retried, retried_granted, retried_ms;
    bool pulses;     /* demand for 4 s in 8 s */
    char demand[16]; /* even, skewed or moving */
    char failure[16];
    bool new_rows; /* restarted hosts count as new ones */
    /* by second after a power loss: requests, those that the reference model
     * served, those for which tokens were generated, those served */
    uint64_t early[4][4];
    uint32_t up_count;     /* hosts that are ready after a power loss */
    int64_t power_loss_ns; /* the last; 0: none */
    uint32_t frozen_host;  /* last frozen while it was the pool */
    uint32_t steps;        /* of the failure */
} Net;

static void run_line(void *ctx, char *line);
static void new_net(Net *n, uint32_t hosts, uint64_t seed);
static void clear_net(Net *n);
static void start_host(Net *n, uint32_t h);
static void set_hosts(Net *n, uint32_t h);
static void set_limits(Net *n, uint32_t h);
static void add_event(Net *n, const Event *e);
static void run_until(Net *n, int64_t end_ns);
static void run_event(Net *n, const Event *e);
static void send_message(void *ctx, const CpQuotaMessage *m);
static void on_change(void *ctx, uint64_t org);
static void begin_request(Net *n, uint32_t h, uint32_t org);
static void try_request(Net *n, Waiter *w);
static void cut(Net *n, uint32_t first, uint32_t last, uint32_t side);
static void kill_host(Net *n, uint32_t h);
static uint32_t pool_of(const Net *n, uint32_t org);
static double stored(Net *n);
static void play(FILE *out, const char *line);
static void schedule_arrivals(Net *n, uint32_t org, int64_t end_ns);
static uint32_t demand_host(Net *n, int64_t at_ns);
static void fail(Net *n);
static void lose_power(Net *n);
static uint32_t seconds_after_loss(const Net *n, int64_t at_ns);
static uint32_t fullest_window(const Org *o);
static double bound(const Org *o);

void
CpDrive_Quota(FILE *in, FILE *out)
{
    Net *n = CpMem_Alloc(sizeof(*n));
    n->out = out;
    CpScript_Run(in, run_line, n);
    clear_net(n);
    free(n);
}

static void
run_line(void *ctx, char *line)
{
    Net *n = ctx;
    uint32_t a = 0, b = 0, c = 0;
    if (strncmp(line, "play ", 5) == 0) {
        play(n->out, line);
        return;
    }
    fprintf(n->out, "> %s\n", line);
    if (sscanf(line, "net %u %u %u", &a, &b, &c) == 3) {
        new_net(n, a, 1);
        n->org_count = 1;
        CpStr_Copy(n->orgs[0].name, CP_NAME_BYTES, "acme");
        n->orgs[0].rate = b;
        n->orgs[0].burst = c;
        for (uint32_t h = 0; h < a; h++) {
            start_host(n, h);
        }
    }
    else if (sscanf(line, "run %u", &a) == 1) {
        run_until(n, n->now_ns + a * CP_NS_PER_MS);
    }
    else if (sscanf(line, "take %u %u", &a, &b) >= 1 ||
             sscanf(line, "take frozen %u", &b) == 1) {
        /* b requests at once at host a; waits are over after this line */
        a = strncmp(line, "take f", 6) == 0 ? n->frozen_host : a;
        Org *o = &n->orgs[0];
        uint32_t before = o->granted->len;
        uint64_t refused = o->refused, retry_ms = o->retry_ms;
        for (uint32_t i = 0; i < (b > 0 ? b : 1); i++) {
            begin_request(n, a, 0);
        }
        run_until(n, n->now_ns + 200 * CP_NS_PER_MS);
        fprintf(n->out, "granted %u, denied %" PRIu64,
                o->granted->len - before, o->refused - refused);
        if (o->refused > refused) {
            fprintf(n->out, ", retry after %" PRIu64 " ms on average",
                    (o->retry_ms - retry_ms) / (o->refused - refused));
        }
        fprintf(n->out, "\n");
    }
    else if (sscanf(line, "return %u %u", &a, &b) == 2) {
        /* tokens generated b ms ago */
        CpQuota_Return(n->hosts[a].quota, CpQuota_HashOrg("acme"),
                       n->now_ns - b * CP_NS_PER_MS, n->now_ns);
    }
    else if (sscanf(line, "kill %u", &a) == 1) {
        kill_host(n, a);
    }
    else if (strcmp(line, "kill pool") == 0) {
        kill_host(n, pool_of(n, 0));
    }
    else if (sscanf(line, "start %u", &a) == 1) {
        start_host(n, a);
    }
    else if (sscanf(line, "freeze %u %u", &a, &b) == 2) {
        n->hosts[a].frozen_until_ns = n->now_ns + b * CP_NS_PER_MS;
    }
    else if (sscanf(line, "freeze pool %u", &b) == 1) {
        n->frozen_host = pool_of(n, 0);
        n->hosts[n->frozen_host].frozen_until_ns =
            n->now_ns + b * CP_NS_PER_MS;
    }
    else if (sscanf(line, "cut %u %u", &a, &b) == 2) {
        cut(n, a, b, 1);
    }
    else if (strcmp(line, "heal") == 0) {
        cut(n, 0, n->host_count - 1, 0);
    }
    else if (strcmp(line, "scatter") == 0) { /* no host hears another */
        for (uint32_t h = 0; h < n->host_count; h++) {
            cut(n, h, h, h + 1);
        }
    }
    else if (sscanf(line, "limit %u %u", &a, &b) == 2) {
        n->orgs[0].rate = a;
        n->orgs[0].burst = b;
        for (uint32_t h = 0; h < n->host_count; h++) {
            set_limits(n, h);
        }
    }
    else if (sscanf(line, "rows %u", &a) == 1) { /* in the hosts table */
        n->row_count = a;
        for (uint32_t h = 0; h < n->host_count; h++) {
            set_hosts(n, h);
        }
    }
    else if (strcmp(line, "partial") == 0 || strcmp(line, "complete") == 0) {
        n->partial = line[0] == 'p';
        for (uint32_t h = 0; h < n->host_count; h++) {
            set_hosts(n, h);
        }
    }
    else if (sscanf(line, "loss %u", &a) == 1) {
        n->loss_percent = a;
    }
    else if (strcmp(line, "repeat") == 0) {
        n->repeats = true;
    }
    else if (sscanf(line, "delay %u %u", &a, &b) == 2) {
        n->min_delay_ms = a;
        n->max_delay_ms = b;
    }
    else if (strcmp(line, "stored") == 0) {
        fprintf(n->out, "%.1f tokens\n", stored(n));
    }
    else if (strcmp(line, "bound") == 0) {
        fprintf(n->out, "%.1f requests in a window, of which %.1f stored\n",
                bound(&n->orgs[0]),
                bound(&n->orgs[0]) - n->orgs[0].rate * WINDOW_S);
    }
    else if (strcmp(line, "window") == 0) {
        uint32_t most = fullest_window(&n->orgs[0]);
        fprintf(n->out, "%u granted in the fullest window: %s\n", most,
                most <= bound(&n->orgs[0]) ? "within the bound"
                                           : "BEYOND THE BOUND");
    }
    else if (strcmp(line, "messages") == 0) {
        fprintf(n->out, "%" PRIu64 " messages\n", n->messages);
        n->messages = 0;
    }
    else {
        fprintf(n->out, "unknown line\n");
    }
}

static void
new_net(Net *n, uint32_t hosts, uint64_t seed)
{
    FILE *out = n->out;
    clear_net(n);
    memset(n, 0, sizeof(*n));
    n->out = out;
    n->seed.state = seed;
    n->now_ns = START_NS;
    n->host_count = n->row_count = hosts < MAX_HOSTS ? hosts : MAX_HOSTS;
    n->min_delay_ms = 1;
    n->max_delay_ms = 20;
    n->events = g_ptr_array_new();
    for (uint32_t i = 0; i < MAX_ORGS; i++) {
        n->orgs[i].granted = g_array_new(FALSE, FALSE, sizeof(int64_t));
        n->orgs[i].bucket_ns = START_NS;
    }
}

static void
clear_net(Net *n)
{
    if (n->events == NULL) {
        return;
    }
    for (guint i = 0; i < n->events->len; i++) {
        Event *e = g_ptr_array_index(n->events, i);
        free(e->message);
        free(e);
    }
    g_ptr_array_unref(n->events);
    for (uint32_t i = 0; i < MAX_ORGS; i++) {
        g_array_unref(n->orgs[i].granted);
    }
    for (uint32_t h = 0; h < n->host_count; h++) {
        if (n->hosts[h].quota != NULL) {
            CpQuota_Free(n->hosts[h].quota);
        }
    }
    n->events = NULL;
}

/* Starts a host, or replaces its process. */
static void
start_host(Net *n, uint32_t h)
{
    Host *host = &n->hosts[h];
    char name[CP_NAME_BYTES];
    snprintf(name, sizeof(name), "h-%u", h);
    if (host->quota != NULL) {
        CpQuota_Free(host->quota);
    }
    host->net = n;
    host->index = h;
    host->down = false;
    host->epoch++;
    host->had_row = host->epoch > 1 && h < n->row_count && !n->new_rows;
    host->quota = CpQuota_New(
        &(CpQuotaOptions){.host = name,
                          .incarnation = ++n->incarnation,
                          .started_ns = n->now_ns - host->first_read_ns,
                          .window_s = WINDOW_S,
                          .overshoot_milli = OVERSHOOT_MILLI,
                          .tolerance = TOLERANCE,
                          .send = send_message,
                          .on_change = on_change,
                          .ctx = host});
    set_hosts(n, h);
    set_limits(n, h);
    add_event(n, &(Event){.due_ns = n->now_ns +
                                    CpSeed_Below(&n->seed, CP_QUOTA_TICK_MS) *
                                        CP_NS_PER_MS,
                          .type = EVENT_TICK,
                          .host = h,
                          .epoch = host->epoch});
    for (uint32_t i = 0; i < n->host_count; i++) {
        bool is_down = n->hosts[i].side != n->hosts[h].side;
        if (is_down != n->hosts[i].sees_down[h]) {
            n->hosts[i].sees_down[h] = is_down;
            if (i != h && n->hosts[i].quota != NULL) {
                set_hosts(n, i);
            }
        }
    }
}

static void
set_hosts(Net *n, uint32_t h)
{
    CpQuotaHost rows[MAX_HOSTS] = {0};
    for (uint32_t i = 0; i < n->row_count && i < MAX_HOSTS; i++) {
        snprintf(rows[i].name, CP_NAME_BYTES, "h-%u", i);
        rows[i].live = i < n->host_count && !n->hosts[h].sees_down[i];
    }
    CpQuota_SetHosts(n->hosts[h].quota,
                     &(CpQuotaHostTable){.hosts = rows,
                                         .count = n->row_count,
                                         .complete = !n->partial,
                                         .restarted = n->hosts[h].had_row},
                     n->now_ns);
}

static void
set_limits(Net *n, uint32_t h)
{
    CpQuotaLimit limits[MAX_ORGS] = {0};
    for (uint32_t i = 0; i < n->org_count; i++) {
        CpStr_Copy(limits[i].name, CP_NAME_BYTES, n->orgs[i].name);
        limits[i].rate_milli = n->orgs[i].rate * 1000;
        limits[i].burst = n->orgs[i].burst;
    }
    CpQuota_SetLimits(n->hosts[h].quota, limits, n->org_count, n->now_ns);
}

static bool
is_before(const Event *a, const Event *b)
{
    return a->due_ns != b->due_ns ? a->due_ns < b->due_ns
                                  : a->order < b->order;
}

static void
add_event(Net *n, const Event *e)
{
    Event *copy = CpMem_Alloc(sizeof(*copy));
    *copy = *e;
    copy->order = n->event_order++;
    g_ptr_array_add(n->events, copy);
    gpointer *at = n->events->pdata;
    for (guint i = n->events->len - 1;
         i > 0 && is_before(at[i], at[(i - 1) / 2]); i = (i - 1) / 2) {
        gpointer t = at[i];
        at[i] = at[(i - 1) / 2];
        at[(i - 1) / 2] = t;
    }
}

static Event *
pop_event(Net *n)
{
    gpointer *at = n->events->pdata;
    Event *first = at[0];
    guint count = n->events->len - 1;
    at[0] = at[count];
    g_ptr_array_set_size(n->events, (gint)count);
    for (guint i = 0;;) {
        guint least = i, left = 2 * i + 1;
        for (guint k = left; k <= left + 1 && k < count; k++) {
            least = is_before(at[k], at[least]) ? k : least;
        }
        if (least == i) {
            return first;
        }
        gpointer t = at[i];
        at[i] = at[least];
        at[least] = t;
        i = least;
    }
}

static void
run_until(Net *n, int64_t end_ns)
{
    while (n->events->len > 0 &&
           ((const Event *)n->events->pdata[0])->due_ns <= end_ns) {
        Event *e = pop_event(n);
        n->now_ns = e->due_ns;
        run_event(n, e);
        free(e->message);
        free(e);
    }
    n->now_ns = end_ns;
}

static void
run_event(Net *n, const Event *e)
{
    Host *h = &n->hosts[e->host];
    if (e->type == EVENT_START) {
        start_host(n, e->host);
        n->up_count++;
        for (uint32_t i = 0; i < n->org_count; i++) {
            n->orgs[i].generated += (double)h->first_read_ns *
                                    n->orgs[i].rate / n->host_count /
                                    CP_NS_PER_S;
        }
        return;
    }
    if ((e->type == EVENT_TICK && e->epoch != h->epoch) ||
        (h->down && e->type != EVENT_HOSTS && e->type != EVENT_STEP &&
         e->type != EVENT_ARRIVAL)) {
        return;
    }
    if (h->frozen_until_ns > n->now_ns && e->type != EVENT_STEP) {
        Event later = *e;
        later.due_ns = h->frozen_until_ns;
        if (e->message != NULL) {
            later.message = CpMem_Alloc(sizeof(*later.message));
            *later.message = *e->message;
        }
        add_event(n, &later);
        return;
    }
    switch (e->type) {
    case EVENT_TICK:
        CpQuota_Tick(h->quota, n->now_ns);
        add_event(
            n, &(Event){.due_ns = n->now_ns + CP_QUOTA_TICK_MS * CP_NS_PER_MS,
                        .type = EVENT_TICK,
                        .host = e->host,
                        .epoch = e->epoch});
        break;
    case EVENT_MESSAGE:
        if (h->quota != NULL && h->side == e->arg) {
            CpQuota_OnMessage(h->quota, e->message, n->now_ns);
        }
        break;
    case EVENT_ARRIVAL:
        begin_request(n, demand_host(n, n->now_ns), e->arg);
        break;
    case EVENT_RETRY:
        if (n->waiters[e->arg].used && n->waiters[e->arg].host == e->host) {
            try_request(n, &n->waiters[e->arg]);
        }
        break;
    case EVENT_HOSTS:
        for (uint32_t i = 0; i < n->host_count; i++) {
            h->sees_down[i] = n->hosts[i].down || n->hosts[i].side != h->side;
        }
        if (!h->down) {
            set_hosts(n, e->host);
        }
        break;
    case EVENT_STEP:
        fail(n);
        break;
    case EVENT_START: /* above */
        break;
    }
}

static void
send_message(void *ctx, const CpQuotaMessage *m)
{
    Host *from = ctx;
    Net *n = from->net;
    uint32_t to = (uint32_t)atoi(m->to + 2);
    n->messages++;
    for (uint32_t i = 0; i < (n->repeats ? 3 : 1); i++) {
        if (CpSeed_Below(&n->seed, 100) < n->loss_percent) {
            continue;
        }
        uint32_t ms =
            n->min_delay_ms +
            CpSeed_Below(&n->seed, n->max_delay_ms - n->min_delay_ms + 1);
        ms += i == 2 ? 2000 : 0;
        Event e = {.due_ns = n->now_ns + ms * CP_NS_PER_MS,
                   .type = EVENT_MESSAGE,
                   .host = to,
                   .arg = from->side,
                   .message = CpMem_Alloc(sizeof(*m))};
        *e.message = *m;
        add_event(n, &e);
    }
}

static void
on_change(void *ctx, uint64_t org)
{
    Host *h = ctx;
    Net *n = h->net;
    for (uint32_t i = 0; i < n->waiter_count; i++) {
        if (n->waiters[i].used && n->waiters[i].host == h->index &&
            CpQuota_HashOrg(n->orgs[n->waiters[i].org].name) == org) {
            add_event(n, &(Event){.due_ns = n->now_ns,
                                  .type = EVENT_RETRY,
                                  .host = h->index,
                                  .arg = i});
        }
    }
}

static void
begin_request(Net *n, uint32_t h, uint32_t org)
{
    Org *o = &n->orgs[org];
    bool counts = !n->plays || n->now_ns >= START_NS + WARMUP_NS;
    o->bucket += (double)(n->now_ns - o->bucket_ns) * o->rate / CP_NS_PER_S;
    o->bucket = o->bucket > o->burst ? o->burst : o->bucket;
    o->generated += (double)(n->now_ns - o->bucket_ns) * o->rate *
                    n->up_count / n->host_count / CP_NS_PER_S;
    o->bucket_ns = n->now_ns;
    /* callers know another host; without any, requests reach none */
    for (uint32_t i = 0; i < (n->power_loss_ns > 0 ? n->host_count : 1); i++) {
        h = n->hosts[h].down ? (h + 1) % n->host_count : h;
    }
    if (n->power_loss_ns > 0 && n->hosts[h].down) {
        return;
    }
    uint32_t second = seconds_after_loss(n, n->now_ns);
    o->offered += counts;
    n->early[second][0]++;
    if (o->generated >= 1) {
        o->generated -= 1;
        n->early[second][2]++;
    }
    if (o->bucket >= 1) {
        o->bucket -= 1;
        o->reference += counts;
        n->early[second][1]++;
    }
    for (uint32_t i = 0; i < MAX_WAITERS; i++) {
        if (!n->waiters[i].used) {
            n->waiter_count = i < n->waiter_count ? n->waiter_count : i + 1;
            n->waiters[i] = (Waiter){
                .used = true, .host = h, .org = org, .arrived_ns = n->now_ns};
            try_request(n, &n->waiters[i]);
            return;
        }
    }
}

static void
try_request(Net *n, Waiter *w)
{
    CpQuotaDecision d;
    Org *o = &n->orgs[w->org];
    Host *h = &n->hosts[w->host];
    bool counts = !n->plays || w->arrived_ns >= START_NS + WARMUP_NS;
    if (h->down) {
        w->used = false;
        o->refused += counts;
        return;
    }
    CpQuota_TryTake(h->quota, CpQuota_HashOrg(o->name), w->began_ns, n->now_ns,
                    &d);
    if (d.type == CP_QUOTA_WAIT) {
        w->began_ns = w->began_ns > 0 ? w->began_ns : n->now_ns;
        add_event(n, &(Event){.due_ns = d.wait_until_ns,
                              .type = EVENT_RETRY,
                              .host = w->host,
                              .arg = (uint32_t)(w - n->waiters)});
        return;
    }
    if (d.type == CP_QUOTA_DENIED && n->retries && !w->retries) {
        w->retries = true;
        w->began_ns = 0;
        n->retried += counts;
        n->retried_ms += counts ? d.retry_after_ms : 0;
        add_event(
            n, &(Event){.due_ns = n->now_ns + d.retry_after_ms * CP_NS_PER_MS,
                        .type = EVENT_RETRY,
                        .host = w->host,
                        .arg = (uint32_t)(w - n->waiters)});
        return;
    }
    w->used = false;
    n->retried_granted += counts && w->retries && d.type == CP_QUOTA_GRANTED;
    if (d.type == CP_QUOTA_GRANTED) {
        g_array_append_val(o->granted, n->now_ns);
        o->served += counts;
        n->early[seconds_after_loss(n, w->arrived_ns)][3]++;
    }
    else {
        o->refused += counts;
        o->retry_ms += counts ? d.retry_after_ms : 0;
    }
}

static void
cut(Net *n, uint32_t first, uint32_t last, uint32_t side)
{
    for (uint32_t h = first; h <= last && h < n->host_count; h++) {
        n->hosts[h].side = side;
    }
    for (uint32_t h = 0; h < n->host_count; h++) {
        add_event(n, &(Event){.due_ns = n->now_ns +
                                        (side > 0 ? SILENCE_NS : REGAIN_NS),
                              .type = EVENT_HOSTS,
                              .host = h});
    }
}

static void
kill_host(Net *n, uint32_t h)
{
    n->hosts[h].down = true;
    for (uint32_t i = 0; i < n->host_count; i++) {
        add_event(n, &(Event){.due_ns = n->now_ns + SILENCE_NS,
                              .type = EVENT_HOSTS,
                              .host = i});
    }
}

/* Returns the host that is first in the order of an organisation. */
static uint32_t
pool_of(const Net *n, uint32_t org)
{
    CpQuotaDecision d;
    for (uint32_t h = 0; h < n->host_count; h++) {
        if (n->hosts[h].down) {
            continue;
        }
        CpQuota_TryTake(n->hosts[h].quota, CpQuota_HashOrg(n->orgs[org].name),
                        n->now_ns, n->now_ns, &d);
        if (d.type == CP_QUOTA_WAIT) {
            CpQuota_CancelWait(n->hosts[h].quota,
                               CpQuota_HashOrg(n->orgs[org].name));
        }
        if (d.is_pool) {
            return h;
        }
    }
    return 0;
}

static double
stored(Net *n)
{
    CpQuotaStats s;
    uint64_t sum = 0;
    for (uint32_t h = 0; h < n->host_count; h++) {
        if (!n->hosts[h].down) {
            CpQuota_GetStats(n->hosts[h].quota, n->now_ns, &s);
            sum += s.stored;
        }
    }
    return (double)sum / CP_QUOTA_TOKEN;
}

static uint32_t
option(const char *line, const char *name, uint32_t otherwise)
{
    char key[32];
    snprintf(key, sizeof(key), " %s=", name);
    const char *at = strstr(line, key);
    return at != NULL ? (uint32_t)strtoul(at + strlen(key), NULL, 10)
                      : otherwise;
}

static void
text_option(const char *line, const char *name, char out[16])
{
    char key[32];
    snprintf(key, sizeof(key), " %s=", name);
    const char *at = strstr(line, key);
    out[0] = '\0';
    if (at != NULL) {
        at += strlen(key);
        g_strlcpy(out, at, MIN(strcspn(at, " ") + 1, 16));
    }
}

/* Organisations with limits from 5 to 800 requests/s, by default four. */
static void
play(FILE *out, const char *line)
{
    uint32_t seconds = option(line, "seconds", 30);
    uint32_t overloads = option(line, "overloads", 0); /* of them */
    uint64_t offered = 0, reference = 0, granted = 0, missing = 0;
    double fullest = 0, worst_missing = 0;
    Net *n = CpMem_Alloc(sizeof(*n));
    n->out = out;
    new_net(n, option(line, "hosts", 104), option(line, "seed", 1));
    n->plays = true;
    n->pulses = option(line, "pulses", 0) > 0;
    n->retries = option(line, "retries", 0) > 0;
    n->new_rows = option(line, "new", 0) > 0;
    n->loss_percent = option(line, "loss", 0);
    text_option(line, "demand", n->demand);
    text_option(line, "failure", n->failure);
    n->org_count = option(line, "orgs", 4);
    n->org_count = n->org_count < MAX_ORGS ? n->org_count : MAX_ORGS;
    for (uint32_t i = 0; i < n->org_count; i++) {
        Org *o = &n->orgs[i];
        snprintf(o->name, sizeof(o->name), "org-%u", i);
        /* 800 is 160 times 5 */
        o->rate =
            (uint32_t)(5 * pow(160, (double)i / (n->org_count - 1)) + 0.5);
        o->burst = o->rate;
        o->level_percent = i < overloads ? 720 : option(line, "level", 60);
    }
    for (uint32_t h = 0; h < n->host_count; h++) {
        start_host(n, h);
    }
    int64_t end_ns = START_NS + WARMUP_NS + seconds * CP_NS_PER_S;
    for (uint32_t i = 0; i < n->org_count; i++) {
        schedule_arrivals(n, i, end_ns);
    }
    uint32_t step_s = strcmp(n->failure, "random") == 0     ? 1
                      : strcmp(n->failure, "power-3s") == 0 ? 3
                                                            : 5;
    for (uint32_t s = 0; s < seconds && n->failure[0] != '\0'; s += step_s) {
        add_event(n, &(Event){.due_ns = START_NS + WARMUP_NS +
                                        (s + step_s) * CP_NS_PER_S,
                              .type = EVENT_STEP});
    }
    run_until(n, end_ns + CP_NS_PER_S);
    for (uint32_t i = 0; i < n->org_count; i++) {
        const Org *o = &n->orgs[i];
        uint64_t got = o->served;
        uint64_t lacks = o->reference > got ? o->reference - got : 0;
        double share = 100.0 * (double)lacks / (double)o->reference;
        double full = 100.0 * fullest_window(o) / bound(o);
        offered += o->offered;
        reference += o->reference;
        granted += got;
        missing += lacks;
        worst_missing = share > worst_missing ? share : worst_missing;
        fullest = full > fullest ? full : fullest;
    }
    fprintf(
        out,
        "%-60s offered %6" PRIu64 " reference %6" PRIu64 " granted %6" PRIu64
        " | refused needlessly %5.2f%%, worst organisation %5.2f%% | "
        "fullest window %5.1f%% of its bound%s | %4.0f messages/s a host\n",
        line + 5, offered, reference, granted,
        100.0 * (double)missing / (double)reference, worst_missing, fullest,
        fullest > 100 ? " BEYOND" : "",
        (double)n->messages / n->host_count / (seconds + 9));
    if (n->retries) {
        fprintf(out,
                "%60s of %" PRIu64 " refused requests %.1f%% are granted when "
                "they try again, %" PRIu64 " ms later on average\n",
                "", n->retried,
                100.0 * (double)n->retried_granted / (double)n->retried,
                n->retried_ms / (n->retried > 0 ? n->retried : 1));
    }
    for (uint32_t i = 0; i < 3 && n->power_loss_ns > 0; i++) {
        const uint64_t *c = n->early[i];
        fprintf(out,
                "%60s second %u: offered %6" PRIu64 " reference %6" PRIu64
                " generated for %6" PRIu64 " granted %6" PRIu64 "\n",
                "", i + 1, c[0], c[1], c[2], c[3]);
    }
    clear_net(n);
    free(n);
}

/* Poisson arrivals. */
static void
schedule_arrivals(Net *n, uint32_t org, int64_t end_ns)
{
    const Org *o = &n->orgs[org];
    double per_s = (double)o->rate * o->level_percent / 100;
    int64_t at_ns = START_NS;
    for (;;) {
        double u = (CpSeed_Below(&n->seed, 1000000) + 1) / 1000001.0;
        double log_u = -log(u);
        at_ns += (int64_t)(log_u / per_s * CP_NS_PER_S);
        if (at_ns >= end_ns) {
            return;
        }
        if (n->pulses && at_ns / (6 * CP_NS_PER_S) % 2 == 0) {
            continue; /* idle, so that tokens are stored */
        }
        add_event(n, &(Event){.due_ns = at_ns,
                              .type = EVENT_ARRIVAL,
                              .host = 0,
                              .arg = org});
    }
}

static uint32_t
demand_host(Net *n, int64_t at_ns)
{
    uint32_t count = n->host_count;
    if (strcmp(n->demand, "skewed") == 0) { /* nine tenths at one host */
        return CpSeed_Below(&n->seed, 10) > 0 ? 0
                                              : CpSeed_Below(&n->seed, count);
    }
    if (strcmp(n->demand, "moving") == 0) { /* to another host every 2 s */
        return (uint32_t)(at_ns / (2 * CP_NS_PER_S) * 7) % count;
    }
    return CpSeed_Below(&n->seed, count);
}

/* The next step of the play's failure; every 5 s. */
static void
fail(Net *n)
{
    uint32_t step = n->steps++;
    uint32_t half = n->host_count / 2;
    if (strcmp(n->failure, "halves") == 0) {
        cut(n, 0, step % 3 < 2 ? half - 1 : n->host_count - 1,
            step % 3 < 2 ? 1 : 0);
    }
    else if (strcmp(n->failure, "sides") == 0 && step == 0) {
        for (uint32_t i = 0; i < 6; i++) {
            cut(n, n->host_count * i / 6, n->host_count * (i + 1) / 6 - 1, i);
        }
    }
    else if (strcmp(n->failure, "restarts") == 0) {
        for (uint32_t i = 0; i < n->host_count / 10 + 1; i++) {
            start_host(n, CpSeed_Below(&n->seed, n->host_count));
        }
    }
    else if (strcmp(n->failure, "freezes") == 0) {
        for (uint32_t i = 0; i < n->host_count / 10 + 1; i++) {
            n->hosts[CpSeed_Below(&n->seed, n->host_count)].frozen_until_ns =
                n->now_ns + 3 * CP_NS_PER_S;
        }
    }
    else if (strcmp(n->failure, "random") == 0) {
        uint32_t first = CpSeed_Below(&n->seed, n->host_count);
        uint32_t last = first + CpSeed_Below(&n->seed, n->host_count - first);
        switch (CpSeed_Below(&n->seed, 6)) {
        case 0:
            cut(n, first, last, 1 + CpSeed_Below(&n->seed, 9));
            break;
        case 1:
            cut(n, 0, n->host_count - 1, 0);
            break;
        case 2:
            start_host(n, first);
            break;
        case 3:
            kill_host(n, first);
            break;
        case 4:
            n->hosts[last].frozen_until_ns =
                n->now_ns + CpSeed_Below(&n->seed, 8000) * CP_NS_PER_MS;
            break;
        case 5:
            n->repeats = !n->repeats;
            n->loss_percent = CpSeed_Below(&n->seed, 30);
            n->max_delay_ms = 10 + CpSeed_Below(&n->seed, 400);
            break;
        }
    }
    else if (strcmp(n->failure, "power") == 0 && step % 2 == 0) {
        lose_power(n); /* every 10 s */
    }
    else if (strcmp(n->failure, "power-3s") == 0) {
        lose_power(n);
    }
    else if (strcmp(n->failure, "kills") == 0 && step < 3) {
        for (uint32_t i = 0; i < n->org_count; i++) {
            kill_host(n, pool_of(n, i));
        }
    }
}

/* All hosts are killed, and ready again 0.5 to 1.5 s later. */
static void
lose_power(Net *n)
{
    n->power_loss_ns = n->now_ns;
    n->up_count = 0;
    for (uint32_t i = 0; i < n->org_count; i++) {
        n->orgs[i].generated = 0;
    }
    for (uint32_t h = 0; h < n->host_count; h++) {
        Host *host = &n->hosts[h];
        host->down = true;
        host->epoch++;
        host->first_read_ns =
            (50 + CpSeed_Below(&n->seed, 250)) * CP_NS_PER_MS;
        int64_t ready_ms = 500 + CpSeed_Below(&n->seed, 1000);
        add_event(n, &(Event){.due_ns = n->now_ns + ready_ms * CP_NS_PER_MS,
                              .type = EVENT_START,
                              .host = h});
    }
}

/* Whole seconds since the first hosts were ready again, 3 at most. */
static uint32_t
seconds_after_loss(const Net *n, int64_t at_ns)
{
    int64_t ready_ns = n->power_loss_ns + 500 * CP_NS_PER_MS;
    if (n->power_loss_ns == 0 || at_ns < ready_ns ||
        at_ns >= ready_ns + 3 * CP_NS_PER_S) {
        return 3;
    }
    return (uint32_t)((at_ns - ready_ns) / CP_NS_PER_S);
}

static uint32_t
fullest_window(const Org *o)
{
    uint32_t most = 0;
    for (guint i = 0, first = 0; i < o->granted->len; i++) {
        int64_t at_ns = g_array_index(o->granted, int64_t, i);
        while (g_array_index(o->granted, int64_t, first) <=
               at_ns - WINDOW_S * CP_NS_PER_S) {
            first++;
        }
        most = i - first + 1 > most ? i - first + 1 : most;
    }
    return most;
}

static double
bound(const Org *o)
{
    return (o->rate * WINDOW_S + o->burst) * (1 + OVERSHOOT_MILLI / 1000.0) +
           TOLERANCE;
}
