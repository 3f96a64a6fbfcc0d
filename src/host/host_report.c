/* Operator API: metrics, status, configuration, draining of servers, stop. */
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "host/host_int.h"

static uint32_t get_metrics(void *ctx, const char *argument, char **out);
static uint32_t get_status(void *ctx, const char *argument, char **out);
static uint32_t get_config(void *ctx, const char *argument, char **out);
static uint32_t post_leaving(void *ctx, const char *argument, char **out);
static uint32_t post_serving(void *ctx, const char *argument, char **out);
static uint32_t post_stop(void *ctx, const char *argument, char **out);
static uint32_t set_draining(void *ctx, const char *server, bool draining,
                             char **out);
static json_t *counters_json(void);
static json_t *latency_json(void);
static json_t *members_json(CpNode *n);
static json_t *pools_json(CpNode *n);

const CpOperatorRoute cp_operator_routes[] = {
    {"GET", "/metrics", "text/plain; version=0.0.4", get_metrics},
    {"GET", "/status", "application/json", get_status},
    {"GET", "/config", "application/yaml", get_config},
    {"POST", "/leaving", "application/json", post_leaving},
    {"POST", "/serving", "application/json", post_serving},
    {"POST", "/stop", "application/json", post_stop},
    {0},
};

/* The text exposition format of Prometheus, version 0.0.4. */
static uint32_t
get_metrics(void *ctx, const char *argument, char **out)
{
    GString *s = g_string_new(NULL);
    const CpNode *n = ctx;
    (void)argument;
    for (uint32_t i = 0; i < CP_COUNTER_COUNT; i++) {
        const char *name = CpCounter_Name(i);
        g_string_append_printf(s,
                               "# HELP chestnutpaddle_%s_total %s.\n"
                               "# TYPE chestnutpaddle_%s_total counter\n"
                               "chestnutpaddle_%s_total %" PRIu64 "\n",
                               name, CpCounter_Help(i), name, name,
                               CpCounter_Get(i));
    }
    g_string_append_printf(s,
                           "# HELP chestnutpaddle_memory_held_bytes Memory "
                           "held for callers and servers.\n"
                           "# TYPE chestnutpaddle_memory_held_bytes gauge\n"
                           "chestnutpaddle_memory_held_bytes %" PRIu64 "\n",
                           CpBudget_Held_bytes(n->budget));
    g_string_append(s, "# HELP chestnutpaddle_failed_total Requests that got "
                       "no answer, by reason and rank.\n"
                       "# TYPE chestnutpaddle_failed_total counter\n");
    for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
        for (uint32_t r = 0; r < CP_RANK_COUNT; r++) {
            g_string_append_printf(s,
                                   "chestnutpaddle_failed_total{reason=\"%s\""
                                   ",rank=\"%u\"} %" PRIu64 "\n",
                                   CpReason_Name(i), r,
                                   CpCounter_GetReason(i, r));
        }
    }
    g_string_append(s, "# HELP chestnutpaddle_latency_seconds Time to the "
                       "head of an answer, by rank.\n"
                       "# TYPE chestnutpaddle_latency_seconds histogram\n");
    for (uint32_t r = 0; r < CP_RANK_COUNT; r++) {
        uint64_t sum = 0;
        for (uint32_t b = 0; b < CP_LATENCY_BUCKETS; b++) {
            sum += CpCounter_GetLatencyCount(r, b);
            g_string_append_printf(
                s,
                "chestnutpaddle_latency_seconds_bucket{rank=\"%u\",le=\"%g\"}"
                " %" PRIu64 "\n",
                r, (double)CpCounter_LatencyBound_ns(b) / CP_NS_PER_S, sum);
        }
        g_string_append_printf(
            s,
            "chestnutpaddle_latency_seconds_bucket{rank=\"%u\",le=\"+Inf\"} "
            "%" PRIu64 "\n"
            "chestnutpaddle_latency_seconds_count{rank=\"%u\"} %" PRIu64 "\n",
            r, sum, r, sum);
    }
    *out = g_string_free(s, FALSE);
    return 200;
}

static uint32_t
get_status(void *ctx, const char *argument, char **out)
{
    CpNode *n = ctx;
    (void)argument;
    CpView *v = CpView_Retain(n);
    uint64_t version = v != NULL ? v->generation->version : 0;
    CpView_Release(v);
    char incarnation[24];
    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64, n->incarnation);
    json_t *root = json_pack(
        "{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:o}", "host",
        n->settings.host, "domain", n->settings.domain, "incarnation",
        incarnation, "state", CpAtomic_Load(&n->leaving) ? "leaving" : "live",
        "version", (json_int_t)version, "uptime_ms",
        (json_int_t)((CpClock_Now_ns() - n->started_ns) / CP_NS_PER_MS),
        "active", (json_int_t)CpFront_CountActive(n->front), "ledger",
        (json_int_t)CpLedger_Count(n->ledger), "members", members_json(n),
        "pools", pools_json(n), "counters", counters_json(), "latency",
        latency_json());
    *out = json_dumps(root, JSON_INDENT(1));
    json_decref(root);
    return 200;
}

static uint32_t
get_config(void *ctx, const char *argument, char **out)
{
    CpView *v = CpView_Retain(ctx);
    (void)argument;
    if (v == NULL) {
        *out = CpStr_Dup("");
        return 404;
    }
    *out = g_strdup_printf("# version %" PRIu64 "\n%s", v->generation->version,
                           v->generation->text);
    CpView_Release(v);
    return 200;
}

static uint32_t
post_leaving(void *ctx, const char *argument, char **out)
{
    return set_draining(ctx, argument, true, out);
}

static uint32_t
post_serving(void *ctx, const char *argument, char **out)
{
    return set_draining(ctx, argument, false, out);
}

static uint32_t
post_stop(void *ctx, const char *argument, char **out)
{
    (void)ctx, (void)argument;
    *out = CpStr_Dup("{\"stopping\":true}\n");
    kill(getpid(), SIGTERM);
    return 202;
}

static uint32_t
set_draining(void *ctx, const char *server, bool draining, char **out)
{
    bool found = CpPool_SetDraining(ctx, server, CP_DRAIN_OPERATOR, draining);
    *out = g_strdup_printf("{\"found\":%s}\n", found ? "true" : "false");
    return found ? 200 : 404;
}

static json_t *
counters_json(void)
{
    json_t *o = json_object();
    for (uint32_t i = 0; i < CP_COUNTER_COUNT; i++) {
        json_object_set_new(o, CpCounter_Name(i),
                            json_integer((json_int_t)CpCounter_Get(i)));
    }
    json_t *failed = json_object();
    for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
        json_t *ranks = json_array();
        for (uint32_t r = 0; r < CP_RANK_COUNT; r++) {
            json_array_append_new(
                ranks, json_integer((json_int_t)CpCounter_GetReason(i, r)));
        }
        json_object_set_new(failed, CpReason_Name(i), ranks);
    }
    json_object_set_new(o, "failed", failed);
    return o;
}

static json_t *
latency_json(void)
{
    json_t *ranks = json_array();
    for (uint32_t r = 0; r < CP_RANK_COUNT; r++) {
        json_t *buckets = json_array();
        for (uint32_t b = 0; b < CP_LATENCY_BUCKETS; b++) {
            json_array_append_new(
                buckets,
                json_integer((json_int_t)CpCounter_GetLatencyCount(r, b)));
        }
        json_array_append_new(ranks, buckets);
    }
    return ranks;
}

static json_t *
members_json(CpNode *n)
{
    json_t *list = json_array();
    pthread_mutex_lock(&n->member_lock);
    for (uint32_t i = 0; i < CpMember_Count(n->members); i++) {
        const CpMemberEntry *e = CpMember_At(n->members, i);
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:I}", "host", e->host, "state",
                            CpMemberState_Name(e->state), "version",
                            (json_int_t)e->config_version));
    }
    pthread_mutex_unlock(&n->member_lock);
    return list;
}

static json_t *
pools_json(CpNode *n)
{
    json_t *list = json_array();
    uint32_t count = CpAtomic_Load(&n->pool_count);
    int64_t now_ns = CpClock_Now_ns();
    for (uint32_t i = 0; i < count; i++) {
        CpHostPool *p = n->pools[i];
        json_t *servers = json_array();
        pthread_mutex_lock(&p->lock);
        for (uint32_t k = 0; k < p->server_count; k++) {
            int64_t until_ns;
            uint32_t usable =
                CpShare_CountUsable(&p->shares[k], now_ns, &until_ns);
            json_array_append_new(
                servers,
                json_pack(
                    "{s:s,s:i,s:i,s:i,s:i,s:b,s:b}", "server", p->names[k],
                    "own", (int)p->shares[k].own_units, "borrowed",
                    (int)CpShare_CountBorrowed(&p->shares[k], now_ns),
                    "usable", (int)usable, "inflight",
                    (int)CpAdmit_Inflight(p->admit, k), "owner",
                    (int)p->is_owner[k], "leaving",
                    (int)(!p->configured[k] || p->drain_sources[k] != 0)));
        }
        json_array_append_new(
            list, json_pack("{s:s,s:i,s:i,s:i,s:o}", "pool", p->name, "queued",
                            (int)CpAdmit_Queued(p->admit), "inflight",
                            (int)CpAdmit_TotalInflight(p->admit), "slots",
                            (int)CpAdmit_TotalSlots(p->admit, now_ns),
                            "servers", servers));
        pthread_mutex_unlock(&p->lock);
    }
    return list;
}
