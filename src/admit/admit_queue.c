/* The queue of a pool: order by rank and deadline, floors, early refusal. */
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"

#define SERVICE_START_NS (5 * CP_NS_PER_MS)
#define SMOOTHING 8                /* weight of history in moving averages */
#define TRIAL_NS (1 * CP_NS_PER_S) /* between trials of a slow server */
#define REST_MIN_NS (100 * CP_NS_PER_MS)
#define REST_MAX_NS (2 * CP_NS_PER_S)       /* where nobody answers */
#define REST_SLOW_MAX_NS (16 * CP_NS_PER_S) /* where answers come late */
#define REST_FAILURES 3 /* in a row, before a server rests */
#define REST_SHIFT_MAX 8
#define FLOOR_FULL 100

typedef struct {
    uint32_t slots;
    uint32_t inflight;
    bool open;
    int64_t until_ns;
    int64_t service_ns; /* moving average */
    int64_t used_ns;    /* last start */
    uint32_t failures;  /* in a row */
    int64_t rest_until_ns;
} Server;

typedef struct {
    CpAdmitItem *first;
    CpAdmitItem *last;
    uint32_t count;
    uint32_t floor_credit; /* hundredths of a dispatch that it is owed */
    int64_t service_ns;    /* moving average over all servers */
} RankQueue;

/* A slot whose request ended without the server's answer. */
typedef struct {
    uint32_t server;
    int64_t until_ns;
} Hold;

struct CpAdmit {
    CpAdmitOptions options;
    Hold *holds; /* in order of time */
    uint32_t hold_count;
    uint32_t hold_room;
    Server *servers;
    RankQueue ranks[CP_RANKS];
    uint32_t queued;
    uint32_t inflight;
    int64_t service_ns; /* moving average over all ranks */
};

static void free_slot(CpAdmit *a, uint32_t server);
static void hold_slot(CpAdmit *a, uint32_t server, int64_t until_ns);
static void release_holds(CpAdmit *a, int64_t now_ns);
static void learn_failure(Server *s, CpOutcome outcome, int64_t latency_ns,
                          int64_t now_ns);
static const bool holds_slot[CP_OUTCOME_COUNT] = {
    [CP_OUTCOME_FAILED] = true,
    [CP_OUTCOME_CANCELLED] = true,
};
static const bool is_failure[CP_OUTCOME_COUNT] = {
    [CP_OUTCOME_REFUSED] = true,
    [CP_OUTCOME_UNREACHABLE] = true,
    [CP_OUTCOME_FAILED] = true,
};

static CpReason entry_reason(const CpAdmit *a, const CpAdmitItem *item,
                             int64_t now_ns);
static bool make_room(CpAdmit *a, uint32_t rank);
static void insert(CpAdmit *a, CpAdmitItem *item);
static void unlink_item(CpAdmit *a, CpAdmitItem *item);
static void start_waiting(CpAdmit *a, int64_t now_ns);
static CpReason late_reason(const CpAdmit *a, const CpAdmitItem *item,
                            int64_t now_ns);
static int64_t back_ns(const CpAdmit *a, const Server *s, int64_t now_ns);
static uint32_t next_rank(CpAdmit *a);
static void charge_floor(CpAdmit *a, uint32_t rank);
static uint32_t choose_server(const CpAdmit *a, const CpAdmitItem *item,
                              int64_t now_ns);
static bool can_take(const CpAdmit *a, const Server *s, int64_t now_ns);
static int64_t smooth(int64_t average_ns, int64_t sample_ns);
static uint32_t open_slots(const CpAdmit *a);
static uint32_t taking_slots(const CpAdmit *a, const Server *s,
                             int64_t now_ns);

CpAdmit *
CpAdmit_New(const CpAdmitOptions *options)
{
    CpAdmit *a = CpMem_Alloc(sizeof(*a));
    a->options = *options;
    a->servers =
        CpMem_Alloc((options->server_count + 1) * sizeof(*a->servers));
    for (uint32_t i = 0; i < CP_RANKS; i++) {
        a->ranks[i].service_ns = SERVICE_START_NS;
    }
    return a;
}

void
CpAdmit_Free(CpAdmit *a)
{
    free(a->servers);
    free(a->holds);
    free(a);
}

void
CpAdmit_SetLimits(CpAdmit *a, uint32_t queue_limit,
                  const uint32_t floor_percent[CP_RANKS])
{
    a->options.queue_limit = queue_limit;
    memcpy(a->options.floor_percent, floor_percent,
           sizeof(a->options.floor_percent));
}

void
CpAdmit_Grow(CpAdmit *a, uint32_t server_count)
{
    uint32_t old = a->options.server_count;
    if (server_count <= old) {
        return;
    }
    a->servers = CpMem_Realloc(a->servers, server_count * sizeof(*a->servers));
    memset(a->servers + old, 0, (server_count - old) * sizeof(*a->servers));
    a->options.server_count = server_count;
}

void
CpAdmit_SetServer(CpAdmit *a, uint32_t server, uint32_t slots,
                  int64_t until_ns, bool open)
{
    Server *s = &a->servers[server];
    s->slots = slots;
    s->until_ns = until_ns;
    s->open = open;
}

void
CpAdmit_Submit(CpAdmit *a, CpAdmitItem *item, int64_t now_ns)
{
    CpReason reason = entry_reason(a, item, now_ns);
    if (reason == CP_REASON_NONE && a->queued >= a->options.queue_limit &&
        !make_room(a, item->rank)) {
        reason = CP_REASON_QUEUE_FULL;
    }
    if (reason != CP_REASON_NONE) {
        a->options.refuse(a->options.ctx, item, reason);
        return;
    }
    item->queued_ns = now_ns;
    insert(a, item);
    start_waiting(a, now_ns);
}

bool
CpAdmit_Remove(CpAdmit *a, CpAdmitItem *item)
{
    if (!item->queued) {
        return false;
    }
    unlink_item(a, item);
    return true;
}

void
CpAdmit_Done(CpAdmit *a, CpAdmitItem *item, CpOutcome outcome,
             int64_t latency_ns, int64_t now_ns)
{
    Server *s = &a->servers[item->server];
    RankQueue *q = &a->ranks[item->rank];
    if (holds_slot[outcome]) {
        hold_slot(a, item->server, now_ns + CP_CANCEL_HOLD_MS * CP_NS_PER_MS);
    }
    else {
        free_slot(a, item->server);
    }
    if (outcome == CP_OUTCOME_OK) {
        s->service_ns =
            s->service_ns ? smooth(s->service_ns, latency_ns) : latency_ns;
        q->service_ns = smooth(q->service_ns, latency_ns);
        a->service_ns =
            a->service_ns ? smooth(a->service_ns, latency_ns) : latency_ns;
        s->failures = 0;
        s->rest_until_ns = 0;
    }
    else if (is_failure[outcome]) {
        learn_failure(s, outcome, latency_ns, now_ns);
    }
    start_waiting(a, now_ns);
}

void
CpAdmit_Tick(CpAdmit *a, int64_t now_ns)
{
    release_holds(a, now_ns);
    for (uint32_t i = 0; i < CP_RANKS; i++) {
        while (a->ranks[i].first != NULL &&
               a->ranks[i].first->deadline_ns <= now_ns) {
            CpAdmitItem *item = a->ranks[i].first;
            unlink_item(a, item);
            a->options.refuse(a->options.ctx, item, CP_REASON_DEADLINE_PASSED);
        }
    }
    start_waiting(a, now_ns);
}

uint32_t
CpAdmit_Queued(const CpAdmit *a)
{
    return a->queued;
}

uint32_t
CpAdmit_Inflight(const CpAdmit *a, uint32_t server)
{
    return a->servers[server].inflight;
}

uint32_t
CpAdmit_TotalInflight(const CpAdmit *a)
{
    return a->inflight;
}

uint32_t
CpAdmit_TotalSlots(const CpAdmit *a, int64_t now_ns)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        n += taking_slots(a, &a->servers[i], now_ns);
    }
    return n;
}

int64_t
CpAdmit_MeanService_ns(const CpAdmit *a)
{
    return a->service_ns;
}

static void
free_slot(CpAdmit *a, uint32_t server)
{
    a->servers[server].inflight--;
    a->inflight--;
}

/* A cancelled request may still run for a moment at the server. */
static void
hold_slot(CpAdmit *a, uint32_t server, int64_t until_ns)
{
    if (a->hold_count == a->hold_room) {
        a->hold_room = a->hold_room ? 2 * a->hold_room : 16;
        a->holds = CpMem_Realloc(a->holds, a->hold_room * sizeof(*a->holds));
    }
    a->holds[a->hold_count++] = (Hold){server, until_ns};
}

static void
release_holds(CpAdmit *a, int64_t now_ns)
{
    uint32_t n = 0;
    while (n < a->hold_count && a->holds[n].until_ns <= now_ns) {
        free_slot(a, a->holds[n++].server);
    }
    if (n == 0) {
        return;
    }
    a->hold_count -= n;
    memmove(a->holds, a->holds + n, a->hold_count * sizeof(*a->holds));
}

/* A server that cannot be reached, or fails again and again, rests. */
static void
learn_failure(Server *s, CpOutcome outcome, int64_t latency_ns, int64_t now_ns)
{
    bool unreachable = outcome == CP_OUTCOME_UNREACHABLE;
    int64_t most_ns = unreachable ? REST_MAX_NS : REST_SLOW_MAX_NS;
    int64_t rest_ns = REST_MIN_NS
                      << (s->failures < REST_SHIFT_MAX ? s->failures
                                                       : REST_SHIFT_MAX);
    s->failures++;
    if (latency_ns > s->service_ns) {
        s->service_ns = smooth(s->service_ns, latency_ns);
    }
    if (unreachable || s->failures >= REST_FAILURES) {
        s->rest_until_ns = now_ns + (rest_ns < most_ns ? rest_ns : most_ns);
    }
}

/* Refuses at the door what would miss its deadline in the queue. */
static CpReason
entry_reason(const CpAdmit *a, const CpAdmitItem *item, int64_t now_ns)
{
    uint32_t slots = CpAdmit_TotalSlots(a, now_ns);
    int64_t ahead_ns = 0;
    if (open_slots(a) == 0) {
        return CP_REASON_NO_SERVER;
    }
    if (item->deadline_ns <= now_ns) {
        return CP_REASON_DEADLINE_PASSED;
    }
    if (slots == 0) { /* all rest */
        return late_reason(a, item, now_ns);
    }
    for (uint32_t i = 0; i <= item->rank; i++) {
        ahead_ns += a->ranks[i].count * a->ranks[i].service_ns;
    }
    if (a->inflight < slots) {
        return CP_REASON_NONE;
    }
    /* One more service time: the slots in use do not get free at once. */
    if (now_ns + ahead_ns / slots + 2 * a->ranks[item->rank].service_ns >
        item->deadline_ns) {
        return CP_REASON_WOULD_MISS_DEADLINE;
    }
    return CP_REASON_NONE;
}

/* Why a request cannot make its deadline even with nobody before it. */
static CpReason
late_reason(const CpAdmit *a, const CpAdmitItem *item, int64_t now_ns)
{
    int64_t first_back_ns = INT64_MAX, first_answer_ns = INT64_MAX;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        const Server *s = &a->servers[i];
        if (!s->open || s->slots == 0) {
            continue;
        }
        int64_t at_ns = back_ns(a, s, now_ns);
        int64_t end_ns = at_ns + s->service_ns;
        first_back_ns = at_ns < first_back_ns ? at_ns : first_back_ns;
        first_answer_ns = end_ns < first_answer_ns ? end_ns : first_answer_ns;
    }
    if (first_answer_ns == INT64_MAX || first_answer_ns <= item->deadline_ns) {
        return CP_REASON_NONE; /* without servers it waits for some */
    }
    return first_back_ns > now_ns ? CP_REASON_NO_SERVER
                                  : CP_REASON_WOULD_MISS_DEADLINE;
}

/* Sheds the latest of the least urgent items, if below `rank`. */
static bool
make_room(CpAdmit *a, uint32_t rank)
{
    for (uint32_t i = CP_RANKS - 1; i > rank; i--) {
        CpAdmitItem *item = a->ranks[i].last;
        if (item != NULL) {
            unlink_item(a, item);
            a->options.refuse(a->options.ctx, item, CP_REASON_SHED);
            return true;
        }
    }
    return false;
}

static void
insert(CpAdmit *a, CpAdmitItem *item)
{
    RankQueue *q = &a->ranks[item->rank];
    CpAdmitItem *after = q->last;
    while (after != NULL && after->deadline_ns > item->deadline_ns) {
        after = after->prev;
    }
    item->prev = after;
    item->next = after != NULL ? after->next : q->first;
    if (item->next != NULL) {
        item->next->prev = item;
    }
    else {
        q->last = item;
    }
    if (after != NULL) {
        after->next = item;
    }
    else {
        q->first = item;
    }
    item->queued = true;
    q->count++;
    a->queued++;
}

static void
unlink_item(CpAdmit *a, CpAdmitItem *item)
{
    RankQueue *q = &a->ranks[item->rank];
    if (item->prev != NULL) {
        item->prev->next = item->next;
    }
    else {
        q->first = item->next;
    }
    if (item->next != NULL) {
        item->next->prev = item->prev;
    }
    else {
        q->last = item->prev;
    }
    item->next = item->prev = NULL;
    item->queued = false;
    q->count--;
    a->queued--;
}

static void
start_waiting(CpAdmit *a, int64_t now_ns)
{
    while (a->queued > 0) {
        uint32_t rank = next_rank(a);
        CpAdmitItem *item = a->ranks[rank].first;
        CpReason reason = late_reason(a, item, now_ns);
        if (reason != CP_REASON_NONE) {
            /* It would hold up those behind it, which can still make it. */
            unlink_item(a, item);
            a->options.refuse(a->options.ctx, item, reason);
            continue;
        }
        uint32_t i = choose_server(a, item, now_ns);
        if (i == a->options.server_count) {
            return;
        }
        Server *s = &a->servers[i];
        unlink_item(a, item);
        charge_floor(a, rank);
        s->inflight++;
        s->used_ns = now_ns;
        a->inflight++;
        item->server = i;
        item->slot_until_ns = s->until_ns;
        a->options.start(a->options.ctx, item);
    }
}

/* When a server that rests takes work again; now if it does not rest. */
static int64_t
back_ns(const CpAdmit *a, const Server *s, int64_t now_ns)
{
    bool rests = a->options.breaker && s->rest_until_ns > now_ns;
    return rests ? s->rest_until_ns : now_ns;
}

/* The most urgent rank that waits, unless a lower one is owed its floor. */
static uint32_t
next_rank(CpAdmit *a)
{
    for (uint32_t i = CP_RANKS; i-- > 0;) {
        if (a->ranks[i].count > 0 && a->ranks[i].floor_credit >= FLOOR_FULL) {
            return i;
        }
    }
    for (uint32_t i = 0; i < CP_RANKS; i++) {
        if (a->ranks[i].count > 0) {
            return i;
        }
    }
    return 0;
}

/* Each dispatch earns the waiting ranks their floors. */
static void
charge_floor(CpAdmit *a, uint32_t rank)
{
    RankQueue *taken = &a->ranks[rank];
    if (taken->floor_credit >= FLOOR_FULL) {
        taken->floor_credit -= FLOOR_FULL;
    }
    for (uint32_t i = 0; i < CP_RANKS; i++) {
        RankQueue *q = &a->ranks[i];
        if (q->count > 0 || i == rank) {
            q->floor_credit += a->options.floor_percent[i];
        }
        if (q->floor_credit > 2 * FLOOR_FULL) {
            q->floor_credit = 2 * FLOOR_FULL;
        }
    }
}

/* The server with a free slot that answers soonest. One too slow for the
 * deadline is tried now and then, with work that may be repeated. */
static uint32_t
choose_server(const CpAdmit *a, const CpAdmitItem *item, int64_t now_ns)
{
    uint32_t best = a->options.server_count;
    int64_t best_ns = INT64_MAX;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        const Server *s = &a->servers[i];
        if (!can_take(a, s, now_ns)) {
            continue;
        }
        bool trial = item->idempotent && now_ns - s->used_ns > TRIAL_NS;
        if (now_ns + s->service_ns > item->deadline_ns && !trial) {
            continue;
        }
        int64_t ns = s->service_ns +
                     s->service_ns * s->inflight / (s->slots ? s->slots : 1);
        if (trial) {
            ns = 0;
        }
        if (ns < best_ns) {
            best = i;
            best_ns = ns;
        }
    }
    return best;
}

static bool
can_take(const CpAdmit *a, const Server *s, int64_t now_ns)
{
    return s->inflight < taking_slots(a, s, now_ns) && now_ns < s->until_ns;
}

static int64_t
smooth(int64_t average_ns, int64_t sample_ns)
{
    return average_ns + (sample_ns - average_ns) / SMOOTHING;
}

static uint32_t
open_slots(const CpAdmit *a)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        n += a->servers[i].open ? a->servers[i].slots : 0;
    }
    return n;
}

/* Slots of a server that take work now: none while it rests, then one, until
 * a request is answered. */
static uint32_t
taking_slots(const CpAdmit *a, const Server *s, int64_t now_ns)
{
    bool tried = a->options.breaker && s->failures >= REST_FAILURES;
    if (!s->open || back_ns(a, s, now_ns) > now_ns) {
        return 0;
    }
    return tried && s->slots > 0 ? 1 : s->slots;
}
