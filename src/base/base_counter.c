/* Counters, sharded by thread over cache lines to avoid contention. */
#include <ck_pr.h>

#include "base/base.h"

#define SHARDS 8
#define CACHE_LINE_BYTES 64

typedef struct {
    uint64_t counters[CP_COUNTER_COUNT];
    uint64_t reason[CP_REASON_COUNT][CP_RANK_COUNT];
    uint64_t denial[CP_DENIAL_COUNT];
    uint64_t latency[CP_RANK_COUNT][CP_LATENCY_BUCKETS];
} CounterShard;

typedef struct {
    const char *name;
    const char *help;
} CounterInfo;

static CounterShard shards[SHARDS] __attribute__((aligned(CACHE_LINE_BYTES)));
static uint32_t next_shard;
static _Thread_local uint32_t thread_shard = SHARDS;

static const char *const denial_names[CP_DENIAL_COUNT] = {
    [CP_DENIAL_NO_ROUTE] = "no_route",
    [CP_DENIAL_NO_KEY] = "no_key",
    [CP_DENIAL_UNKNOWN_KEY] = "unknown_key",
    [CP_DENIAL_KEY_WITHDRAWN] = "key_withdrawn",
    [CP_DENIAL_FIELDS] = "fields",
    [CP_DENIAL_HEAD] = "head",
    [CP_DENIAL_LENGTH] = "length",
    [CP_DENIAL_BODY] = "body",
    [CP_DENIAL_METHOD] = "method",
    [CP_DENIAL_LIBRARY] = "library",
    [CP_DENIAL_SERVER] = "server",
};

static const CounterInfo counter_info[CP_COUNTER_COUNT] = {
    [CP_COUNT_LOOKUPS] = {"lookups", "Look-ups answered"},
    [CP_COUNT_REQUESTS] = {"requests", "Requests received from callers"},
    [CP_COUNT_ANSWERED] = {"answered", "Requests answered by a server"},
    [CP_COUNT_FORWARDED] = {"forwarded", "Requests forwarded to a host"},
    [CP_COUNT_FORWARDED_IN] = {"forwarded_in", "Requests from other hosts"},
    [CP_COUNT_DISPATCHED] = {"dispatched", "Requests sent to servers"},
    [CP_COUNT_RETRIES] = {"retries", "Requests tried again"},
    [CP_COUNT_RETRY_BUDGET_EMPTY] = {"retry_budget_empty",
                                     "Retries the budget refused"},
    [CP_COUNT_TICKETS_ISSUED] = {"tickets_issued", "Tickets issued"},
    [CP_COUNT_LEDGER_REPLAYED] = {"ledger_replayed",
                                  "Repeats given the recorded outcome"},
    [CP_COUNT_LEDGER_JOINED] = {"ledger_joined",
                                "Repeats told that the first is in flight"},
    [CP_COUNT_LATE_FRAMES] = {"late_frames", "Frames for ended requests"},
    [CP_COUNT_BAD_FRAMES] = {"bad_frames", "Frames that ended a session"},
    [CP_COUNT_BAD_KEYS] = {"bad_keys", "Sessions without the shared key"},
    [CP_COUNT_SESSIONS_OPENED] = {"sessions_opened", "Sessions opened"},
    [CP_COUNT_SESSIONS_LOST] = {"sessions_lost", "Sessions lost"},
    [CP_COUNT_MEMBER_CHANGES] = {"member_changes", "Member state changes"},
    [CP_COUNT_MEMBER_PROBES] = {"member_probes", "Membership probes sent"},
    [CP_COUNT_MEMBER_BYTES] = {"member_bytes", "Membership bytes sent"},
    [CP_COUNT_CONFIG_ACCEPTED] = {"config_accepted",
                                  "Configuration versions put in force"},
    [CP_COUNT_CONFIG_REJECTED] = {"config_rejected",
                                  "Configurations that failed their checks"},
    [CP_COUNT_ORG_PROBLEMS] = {"org_problems",
                               "Flaws of organisations in new configurations"},
    [CP_COUNT_ROUTE_TYPES_UNKNOWN] = {"route_types_unknown",
                                      "Routes of an unknown type accepted"},
    [CP_COUNT_SERVER_ENTRIES_UNUSABLE] =
        {"server_entries_unusable", "Entries of servers that name no server"},
    [CP_COUNT_CONFIG_BYTES] = {"config_bytes", "Configuration bytes sent"},
    [CP_COUNT_PLATFORM_READS] = {"platform_reads", "Platform reads"},
    [CP_COUNT_PLATFORM_ERRORS] = {"platform_errors",
                                  "Platform calls that failed"},
    [CP_COUNT_LOAN_BYTES] = {"loan_bytes", "Bytes sent for slot loans"},
    [CP_COUNT_LOANS_TAKEN] = {"loans_taken", "Slot loans received"},
    [CP_COUNT_LOANS_LAPSED] = {"loans_lapsed", "Slot loans that lapsed"},
    [CP_COUNT_PAUSES_SEEN] = {"pauses_seen", "Pauses of this process seen"},
    [CP_COUNT_LINK_BYTES] = {"link_bytes", "Bytes sent to other regions"},
    [CP_COUNT_LINK_WAITS] = {"link_waits", "Sends that waited for a link"},
    [CP_COUNT_REPORTS_UNSENT] = {"reports_unsent",
                                 "Reports to hosts that could not be sent"},
    [CP_COUNT_QUOTA_GRANTED] = {"quota_granted",
                                "Requests that got a quota token"},
    [CP_COUNT_QUOTA_DENIED] = {"quota_denied",
                               "Requests beyond the quota of their "
                               "organisation"},
    [CP_COUNT_QUOTA_UNANSWERED] = {"quota_unanswered",
                                   "Denials because no pool responded"},
    [CP_COUNT_QUOTA_WAITS] = {"quota_waits",
                              "Requests that waited for a quota token"},
    [CP_COUNT_QUOTA_RETURNED] = {"quota_returned",
                                 "Tokens of requests that did not run"},
    [CP_COUNT_QUOTA_BYTES] = {"quota_bytes", "Bytes sent for quotas"},
    [CP_COUNT_SERVER_CONNECTIONS] = {"server_connections",
                                     "Connections opened to servers"},
    [CP_COUNT_CONNECTIONS_SPENT] =
        {"server_connections_spent",
         "Connections not used again for what a server sent on them"},
    [CP_COUNT_RESPONSES_FLAWED] = {"responses_flawed",
                                   "Responses of servers that were cut, mixed "
                                   "or not framed"},
    [CP_COUNT_RESPONSES_DIRECT] = {"responses_direct",
                                   "Responses after which the connection was "
                                   "closed, as its request was unfinished or "
                                   "its head too large"},
    [CP_COUNT_FRESHNESS_QUERIES] =
        {"freshness_queries",
         "Queries for the freshness of the configuration"},
    [CP_COUNT_UPLOADS_STREAMED] = {"uploads_streamed",
                                   "Requests whose bodies were streamed"},
    [CP_COUNT_MEMORY_REFUSED] = {"memory_refused",
                                 "Requests and connections refused for want "
                                 "of memory"},
    [CP_COUNT_CALLERS_CLOSED] = {"callers_closed",
                                 "Connections of callers closed because they "
                                 "made no progress"},
    [CP_COUNT_SLOW_ATTEMPTS_LEFT] =
        {"slow_attempts_left",
         "Attempts abandoned for a faster server, within the latency goal"},
    [CP_COUNT_SPEEDS_RECEIVED] = {"speeds_received",
                                  "Speeds of servers, from other hosts"},
    [CP_COUNT_SPEED_POLLS] = {"speed_polls",
                              "Health pages read for a server's speed"},
    [CP_COUNT_CANCELLED] = {"cancelled", "Requests cancelled by callers"},
};

static CounterShard *
current_shard(void)
{
    if (thread_shard == SHARDS) {
        thread_shard = ck_pr_faa_32(&next_shard, 1) % SHARDS;
    }
    return &shards[thread_shard];
}

void
CpCounter_Add(CpCounter counter, uint64_t n)
{
    ck_pr_add_64(&current_shard()->counters[counter], n);
}

uint64_t
CpCounter_Get(CpCounter counter)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < SHARDS; i++) {
        sum += ck_pr_load_64(&shards[i].counters[counter]);
    }
    return sum;
}

const char *
CpCounter_Name(CpCounter counter)
{
    return counter_info[counter].name;
}

const char *
CpCounter_Help(CpCounter counter)
{
    return counter_info[counter].help;
}

void
CpCounter_AddReason(CpReason reason, uint32_t rank)
{
    ck_pr_inc_64(&current_shard()->reason[reason][rank % CP_RANK_COUNT]);
}

uint64_t
CpCounter_GetReason(CpReason reason, uint32_t rank)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < SHARDS; i++) {
        sum += ck_pr_load_64(&shards[i].reason[reason][rank]);
    }
    return sum;
}

void
CpCounter_AddDenial(CpDenial denial)
{
    ck_pr_inc_64(&current_shard()->denial[denial]);
}

uint64_t
CpCounter_GetDenial(CpDenial denial)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < SHARDS; i++) {
        sum += ck_pr_load_64(&shards[i].denial[denial]);
    }
    return sum;
}

const char *
CpDenial_Name(CpDenial denial)
{
    return denial_names[denial];
}

/* The first bucket ends at 4.096 us; the last also counts longer latencies. */
int64_t
CpCounter_LatencyBound_ns(uint32_t bucket)
{
    return INT64_C(4096) << bucket;
}

void
CpCounter_RecordLatency(uint32_t rank, int64_t latency_ns)
{
    uint32_t i = 0;
    while (i + 1 < CP_LATENCY_BUCKETS &&
           latency_ns > CpCounter_LatencyBound_ns(i)) {
        i++;
    }
    ck_pr_inc_64(&current_shard()->latency[rank % CP_RANK_COUNT][i]);
}

uint64_t
CpCounter_GetLatencyCount(uint32_t rank, uint32_t bucket)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < SHARDS; i++) {
        sum += ck_pr_load_64(&shards[i].latency[rank][bucket]);
    }
    return sum;
}
