/* The queue of a pool: order by rank and deadline, floors of the ranks, early
 * refusal, choice of servers and their ejection after failures. */
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"

#define INITIAL_SERVICE_TIME_NS (5 * CP_NS_PER_MS)
#define AVERAGE_DIVISOR 8 /* a sample weighs 1/8 in moving averages */
#define TRIAL_INTERVAL_NS (1 * CP_NS_PER_S) /* of unused servers */
#define EJECTION_MIN_NS (100 * CP_NS_PER_MS)
#define EJECTION_UNREACHABLE_MAX_NS (2 * CP_NS_PER_S) /* no connection */
#define EJECTION_FAILING_MAX_NS (16 * CP_NS_PER_S)    /* slow or failing */
#define EJECTION_FAILURES 3 /* in a row, before an ejection */
#define EJECTION_MAX_SHIFT 8

typedef struct {
    uint32_t slots;
    uint32_t inflight;
    bool accepting;
    int64_t slots_expire_ns;
    int64_t service_ns; /* moving average */
    int64_t last_start_ns;
    uint32_t consecutive_failures;
    int64_t ejected_until_ns;
} Server;

typedef struct {
    CpAdmitItem *first;
    CpAdmitItem *last;
    uint32_t count;
    uint32_t floor_credit; /* hundredths of a dispatch owed to this rank */
    int64_t service_ns;    /* moving average over all servers */
} RankQueue;

/* A slot whose request ended without a complete response of the server. */
typedef struct {
    uint32_t server_index;
    int64_t until_ns;
} HeldSlot;

struct CpAdmit {
    CpAdmitOptions options;
    HeldSlot *held_slots; /* ordered by until_ns */
    uint32_t held_count;
    uint32_t held_capacity;
    Server *servers;
    RankQueue ranks[CP_RANK_COUNT];
    uint32_t queued;
    uint32_t inflight;
    int64_t service_ns; /* moving average over all ranks */
};

static void release_slot(CpAdmit *a, uint32_t server_index);
static void hold_slot(CpAdmit *a, uint32_t server_index, int64_t until_ns);
static void release_held_slots(CpAdmit *a, int64_t now_ns);
static void record_failure(Server *s, CpOutcome outcome, int64_t latency_ns,
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

static CpReason submit_refusal(const CpAdmit *a, const CpAdmitItem *item,
                               int64_t now_ns);
static bool shed_lower_rank(CpAdmit *a, uint32_t rank);
static void enqueue(CpAdmit *a, CpAdmitItem *item);
static void unlink_item(CpAdmit *a, CpAdmitItem *item);
static void dispatch_queued(CpAdmit *a, int64_t now_ns);
static CpReason deadline_refusal(const CpAdmit *a, const CpAdmitItem *item,
                                 int64_t now_ns);
static int64_t available_from_ns(const CpAdmit *a, const Server *s,
                                 int64_t now_ns);
static uint32_t next_rank(CpAdmit *a);
static void update_floor_credits(CpAdmit *a, uint32_t rank);
static uint32_t choose_server(const CpAdmit *a, const CpAdmitItem *item,
                              int64_t now_ns);
static bool has_usable_slot(const CpAdmit *a, const Server *s, int64_t now_ns);
static int64_t update_average(int64_t average_ns, int64_t sample_ns);
static uint32_t count_accepting_slots(const CpAdmit *a);
static uint32_t count_usable_slots(const CpAdmit *a, const Server *s,
                                   int64_t now_ns);

CpAdmit *
CpAdmit_New(const CpAdmitOptions *options)
{
    CpAdmit *a = CpMem_Alloc(sizeof(*a));
    a->options = *options;
    a->servers =
        CpMem_Alloc((options->server_count + 1) * sizeof(*a->servers));
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        a->ranks[i].service_ns = INITIAL_SERVICE_TIME_NS;
    }
    return a;
}

void
CpAdmit_Free(CpAdmit *a)
{
    free(a->servers);
    free(a->held_slots);
    free(a);
}

void
CpAdmit_SetLimits(CpAdmit *a, uint32_t queue_limit,
                  const uint32_t floor_percent[CP_RANK_COUNT])
{
    a->options.queue_limit = queue_limit;
    memcpy(a->options.floor_percent, floor_percent,
           sizeof(a->options.floor_percent));
}

void
CpAdmit_GrowServers(CpAdmit *a, uint32_t server_count)
{
    uint32_t old_count = a->options.server_count;
    if (server_count <= old_count) {
        return;
    }
    a->servers = CpMem_Realloc(a->servers, server_count * sizeof(*a->servers));
    memset(a->servers + old_count, 0,
           (server_count - old_count) * sizeof(*a->servers));
    a->options.server_count = server_count;
}

void
CpAdmit_SetServer(CpAdmit *a, uint32_t server_index, uint32_t slots,
                  int64_t until_ns, bool accepting)
{
    Server *s = &a->servers[server_index];
    s->slots = slots;
    s->slots_expire_ns = until_ns;
    s->accepting = accepting;
}

void
CpAdmit_Submit(CpAdmit *a, CpAdmitItem *item, int64_t now_ns)
{
    CpReason reason = submit_refusal(a, item, now_ns);
    if (reason == CP_REASON_NONE && a->queued >= a->options.queue_limit &&
        !shed_lower_rank(a, item->rank)) {
        reason = CP_REASON_QUEUE_FULL;
    }
    if (reason != CP_REASON_NONE) {
        a->options.on_refuse(a->options.ctx, item, reason);
        return;
    }
    item->queued_ns = now_ns;
    enqueue(a, item);
    dispatch_queued(a, now_ns);
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
CpAdmit_End(CpAdmit *a, CpAdmitItem *item, CpOutcome outcome,
            int64_t latency_ns, int64_t now_ns)
{
    Server *s = &a->servers[item->server_index];
    RankQueue *q = &a->ranks[item->rank];
    if (holds_slot[outcome]) {
        hold_slot(a, item->server_index,
                  now_ns + CP_CANCEL_HOLD_MS * CP_NS_PER_MS);
    }
    else {
        release_slot(a, item->server_index);
    }
    if (outcome == CP_OUTCOME_OK) {
        s->service_ns = s->service_ns
                            ? update_average(s->service_ns, latency_ns)
                            : latency_ns;
        q->service_ns = update_average(q->service_ns, latency_ns);
        a->service_ns = a->service_ns
                            ? update_average(a->service_ns, latency_ns)
                            : latency_ns;
        s->consecutive_failures = 0;
        s->ejected_until_ns = 0;
    }
    else if (is_failure[outcome]) {
        record_failure(s, outcome, latency_ns, now_ns);
    }
    dispatch_queued(a, now_ns);
}

void
CpAdmit_Tick(CpAdmit *a, int64_t now_ns)
{
    release_held_slots(a, now_ns);
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        while (a->ranks[i].first != NULL &&
               a->ranks[i].first->deadline_ns <= now_ns) {
            CpAdmitItem *item = a->ranks[i].first;
            unlink_item(a, item);
            a->options.on_refuse(a->options.ctx, item,
                                 CP_REASON_DEADLINE_PASSED);
        }
    }
    dispatch_queued(a, now_ns);
}

uint32_t
CpAdmit_Queued(const CpAdmit *a)
{
    return a->queued;
}

uint32_t
CpAdmit_Inflight(const CpAdmit *a, uint32_t server_index)
{
    return a->servers[server_index].inflight;
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
        n += count_usable_slots(a, &a->servers[i], now_ns);
    }
    return n;
}

int64_t
CpAdmit_MeanServiceTime_ns(const CpAdmit *a)
{
    return a->service_ns;
}

static void
release_slot(CpAdmit *a, uint32_t server_index)
{
    a->servers[server_index].inflight--;
    a->inflight--;
}

/* Counts the slot as in flight until `until_ns`: the server may still run a
 * request that was cancelled or failed. */
static void
hold_slot(CpAdmit *a, uint32_t server_index, int64_t until_ns)
{
    if (a->held_count == a->held_capacity) {
        a->held_capacity = a->held_capacity ? 2 * a->held_capacity : 16;
        a->held_slots = CpMem_Realloc(
            a->held_slots, a->held_capacity * sizeof(*a->held_slots));
    }
    a->held_slots[a->held_count++] = (HeldSlot){server_index, until_ns};
}

static void
release_held_slots(CpAdmit *a, int64_t now_ns)
{
    uint32_t n = 0;
    while (n < a->held_count && a->held_slots[n].until_ns <= now_ns) {
        release_slot(a, a->held_slots[n++].server_index);
    }
    if (n == 0) {
        return;
    }
    a->held_count -= n;
    memmove(a->held_slots, a->held_slots + n,
            a->held_count * sizeof(*a->held_slots));
}

/* Ejects a server that is unreachable or has failed EJECTION_FAILURES times in
 * a row; the time doubles with each failure. */
static void
record_failure(Server *s, CpOutcome outcome, int64_t latency_ns,
               int64_t now_ns)
{
    bool unreachable = outcome == CP_OUTCOME_UNREACHABLE;
    int64_t max_ns =
        unreachable ? EJECTION_UNREACHABLE_MAX_NS : EJECTION_FAILING_MAX_NS;
    int64_t ejection_ns = EJECTION_MIN_NS
                          << (s->consecutive_failures < EJECTION_MAX_SHIFT
                                  ? s->consecutive_failures
                                  : EJECTION_MAX_SHIFT);
    s->consecutive_failures++;
    if (latency_ns > s->service_ns) {
        s->service_ns = update_average(s->service_ns, latency_ns);
    }
    if (unreachable || s->consecutive_failures >= EJECTION_FAILURES) {
        s->ejected_until_ns =
            now_ns + (ejection_ns < max_ns ? ejection_ns : max_ns);
    }
}

/* Returns why a submitted item is refused, such as that it would miss its
 * deadline in the queue, or CP_REASON_NONE. */
static CpReason
submit_refusal(const CpAdmit *a, const CpAdmitItem *item, int64_t now_ns)
{
    uint32_t slots = CpAdmit_TotalSlots(a, now_ns);
    int64_t ahead_ns = 0;
    if (count_accepting_slots(a) == 0) {
        return CP_REASON_NO_SERVER;
    }
    if (item->deadline_ns <= now_ns) {
        return CP_REASON_DEADLINE_PASSED;
    }
    if (slots == 0) { /* all are ejected */
        return deadline_refusal(a, item, now_ns);
    }
    for (uint32_t i = 0; i <= item->rank; i++) {
        ahead_ns += a->ranks[i].count * a->ranks[i].service_ns;
    }
    if (a->inflight < slots) {
        return CP_REASON_NONE;
    }
    /* One more service time, as the slots in use are not released at once. */
    if (now_ns + ahead_ns / slots + 2 * a->ranks[item->rank].service_ns >
        item->deadline_ns) {
        return CP_REASON_WOULD_MISS_DEADLINE;
    }
    return CP_REASON_NONE;
}

/* Returns why an item would miss its deadline even at the head of the queue,
 * or CP_REASON_NONE. */
static CpReason
deadline_refusal(const CpAdmit *a, const CpAdmitItem *item, int64_t now_ns)
{
    int64_t first_available_ns = INT64_MAX, first_response_ns = INT64_MAX;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        const Server *s = &a->servers[i];
        if (!s->accepting || s->slots == 0) {
            continue;
        }
        int64_t available_ns = available_from_ns(a, s, now_ns);
        int64_t end_ns = available_ns + s->service_ns;
        first_available_ns = available_ns < first_available_ns
                                 ? available_ns
                                 : first_available_ns;
        first_response_ns =
            end_ns < first_response_ns ? end_ns : first_response_ns;
    }
    if (first_response_ns == INT64_MAX ||
        first_response_ns <= item->deadline_ns) {
        return CP_REASON_NONE; /* without accepting servers it stays queued */
    }
    return first_available_ns > now_ns ? CP_REASON_NO_SERVER
                                       : CP_REASON_WOULD_MISS_DEADLINE;
}

/* Sheds the item with the latest deadline of the least urgent rank that has
 * any, if that rank is less urgent than `rank`; else returns false. */
static bool
shed_lower_rank(CpAdmit *a, uint32_t rank)
{
    for (uint32_t i = CP_RANK_COUNT - 1; i > rank; i--) {
        CpAdmitItem *item = a->ranks[i].last;
        if (item != NULL) {
            unlink_item(a, item);
            a->options.on_refuse(a->options.ctx, item, CP_REASON_SHED);
            return true;
        }
    }
    return false;
}

static void
enqueue(CpAdmit *a, CpAdmitItem *item)
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
dispatch_queued(CpAdmit *a, int64_t now_ns)
{
    while (a->queued > 0) {
        uint32_t rank = next_rank(a);
        CpAdmitItem *item = a->ranks[rank].first;
        CpReason reason = deadline_refusal(a, item, now_ns);
        if (reason != CP_REASON_NONE) {
            /* It would block items behind it that can meet their deadlines. */
            unlink_item(a, item);
            a->options.on_refuse(a->options.ctx, item, reason);
            continue;
        }
        uint32_t i = choose_server(a, item, now_ns);
        if (i == a->options.server_count) {
            return;
        }
        Server *s = &a->servers[i];
        unlink_item(a, item);
        update_floor_credits(a, rank);
        s->inflight++;
        s->last_start_ns = now_ns;
        a->inflight++;
        item->server_index = i;
        item->slot_expires_ns = s->slots_expire_ns;
        a->options.on_start(a->options.ctx, item);
    }
}

/* Returns the end of a server's ejection; now_ns if it is not ejected. */
static int64_t
available_from_ns(const CpAdmit *a, const Server *s, int64_t now_ns)
{
    bool ejected = a->options.circuit_breaker && s->ejected_until_ns > now_ns;
    return ejected ? s->ejected_until_ns : now_ns;
}

/* Returns the most urgent rank with queued items, unless a less urgent one is
 * owed a dispatch by its floor. */
static uint32_t
next_rank(CpAdmit *a)
{
    for (uint32_t i = CP_RANK_COUNT; i-- > 0;) {
        if (a->ranks[i].count > 0 &&
            CpFloor_IsOwed(a->ranks[i].floor_credit)) {
            return i;
        }
    }
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        if (a->ranks[i].count > 0) {
            return i;
        }
    }
    return 0;
}

/* Charges a dispatch to its rank's floor credit, then adds the floor
 * percentage of each rank that was dispatched or has queued items. */
static void
update_floor_credits(CpAdmit *a, uint32_t rank)
{
    CpFloor_Charge(&a->ranks[rank].floor_credit);
    for (uint32_t i = 0; i < CP_RANK_COUNT; i++) {
        RankQueue *q = &a->ranks[i];
        if (q->count > 0 || i == rank) {
            CpFloor_Earn(&q->floor_credit, a->options.floor_percent[i]);
        }
    }
}

/* Returns the server with a free slot and the lowest expected response time,
 * or server_count. A server without a start for TRIAL_INTERVAL_NS gets an
 * idempotent request as a trial, even if it is too slow for the deadline. */
static uint32_t
choose_server(const CpAdmit *a, const CpAdmitItem *item, int64_t now_ns)
{
    uint32_t best = a->options.server_count;
    int64_t best_cost_ns = INT64_MAX;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        const Server *s = &a->servers[i];
        if (!has_usable_slot(a, s, now_ns)) {
            continue;
        }
        bool trial =
            item->idempotent && now_ns - s->last_start_ns > TRIAL_INTERVAL_NS;
        if (now_ns + s->service_ns > item->deadline_ns && !trial) {
            continue;
        }
        int64_t cost_ns = s->service_ns + s->service_ns * s->inflight /
                                              (s->slots ? s->slots : 1);
        if (trial) {
            cost_ns = 0;
        }
        if (cost_ns < best_cost_ns) {
            best = i;
            best_cost_ns = cost_ns;
        }
    }
    return best;
}

static bool
has_usable_slot(const CpAdmit *a, const Server *s, int64_t now_ns)
{
    return s->inflight < count_usable_slots(a, s, now_ns) &&
           now_ns < s->slots_expire_ns;
}

static int64_t
update_average(int64_t average_ns, int64_t sample_ns)
{
    return average_ns + (sample_ns - average_ns) / AVERAGE_DIVISOR;
}

static uint32_t
count_accepting_slots(const CpAdmit *a)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < a->options.server_count; i++) {
        n += a->servers[i].accepting ? a->servers[i].slots : 0;
    }
    return n;
}

/* Counts the slots of a server that accept requests now: none during its
 * ejection, then one until a request succeeds. */
static uint32_t
count_usable_slots(const CpAdmit *a, const Server *s, int64_t now_ns)
{
    bool recovering = a->options.circuit_breaker &&
                      s->consecutive_failures >= EJECTION_FAILURES;
    if (!s->accepting || available_from_ns(a, s, now_ns) > now_ns) {
        return 0;
    }
    return recovering && s->slots > 0 ? 1 : s->slots;
}
