/* Read-only commands: status, watch, lookup. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/cli.h"

/* Totals over all hosts that responded, for watch. */
typedef struct {
    uint32_t responding_hosts;
    uint64_t latency[CP_RANK_COUNT][CP_LATENCY_BUCKETS];
    uint64_t failed[CP_REASON_COUNT][CP_RANK_COUNT];
    uint64_t slots;
    uint64_t inflight;
    uint64_t queued;
} Sample;

static void print_status_line(const CpHost *h, json_t *st);
static Sample fetch_sample(const CpCliOptions *o, const CpConfig *c);
static void add_host_status(Sample *s, json_t *st);
static void print_sample(const CpCliOptions *o, const CpConfig *c,
                         const Sample *before, const Sample *after);
static uint64_t answered_between(const Sample *before, const Sample *after,
                                 uint32_t rank);
static double percentile_ms(const Sample *before, const Sample *after,
                            uint32_t rank, uint32_t permille);

CpExit
CpCli_Status(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *c;
    uint32_t responding_hosts = 0;
    (void)argc, (void)argv;
    CpStatus st = CpCli_LoadCurrentConfig(o, &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    json_t *list = json_array();
    if (!o->json) {
        printf("%-14s %-10s %-8s %7s %6s %5s %6s %6s\n", "host", "domain",
               "state", "version", "active", "slots", "inflt", "queued");
    }
    for (uint32_t i = 0; i < c->host_count; i++) {
        json_t *s = CpCli_FetchHostStatus(o, c->hosts[i].operator_listen);
        responding_hosts += s != NULL;
        if (!o->json) {
            print_status_line(&c->hosts[i], s);
        }
        json_array_append_new(
            list, s != NULL ? s
                            : json_pack("{s:s,s:s}", "host", c->hosts[i].name,
                                        "state", "unreachable"));
    }
    if (o->json) {
        char *text = json_dumps(list, JSON_INDENT(1));
        printf("%s\n", text);
        free(text);
    }
    json_decref(list);
    CpConfig_Free(c);
    return responding_hosts > 0 ? CP_EXIT_OK : CP_EXIT_UNREACHABLE;
}

CpExit
CpCli_Watch(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *c;
    (void)argc, (void)argv;
    CpStatus st = CpCli_LoadCurrentConfig(o, &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    Sample before = fetch_sample(o, c);
    for (int32_t i = 0; i < o->count; i++) {
        struct timespec ts = {.tv_sec = o->interval_s};
        nanosleep(&ts, NULL);
        Sample now = fetch_sample(o, c);
        print_sample(o, c, &before, &now);
        before = now;
    }
    CpConfig_Free(c);
    return before.responding_hosts > 0 ? CP_EXIT_OK : CP_EXIT_UNREACHABLE;
}

CpExit
CpCli_Lookup(const CpCliOptions *o, int argc, char **argv)
{
    char path[256], *text = NULL;
    long status = 0;
    CpConfig *c = NULL;
    CpStatus st = CP_ERR_UNAVAILABLE;
    if (argc != 1) {
        return CpCli_ReportError(CpError_Set(CP_ERR_ARG, "lookup KIND"));
    }
    CpStatus config_status = CpCli_LoadCurrentConfig(o, &c);
    if (config_status != CP_OK) {
        return CpCli_ReportError(config_status);
    }
    snprintf(path, sizeof(path), "/lookup?kind=%s%s%s", argv[0],
             o->client ? "&client=" : "", o->client ? o->client : "");
    for (uint32_t i = 0; st != CP_OK && i < c->host_count; i++) {
        free(text);
        st =
            CpCli_CallHost(o, "GET", c->hosts[i].caller, path, &text, &status);
    }
    CpConfig_Free(c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    json_t *root = json_loads(text, 0, NULL), *h;
    size_t i;
    if (o->json || status != 200) {
        printf("%s\n", text);
    }
    else {
        json_array_foreach(json_object_get(root, "hosts"), i, h)
        {
            printf("%s %s %s\n",
                   json_string_value(json_object_get(h, "address")),
                   json_string_value(json_object_get(h, "host")),
                   json_string_value(json_object_get(h, "domain")));
        }
    }
    json_decref(root);
    free(text);
    return status == 200 ? CP_EXIT_OK : CP_EXIT_FAILED;
}

static void
print_status_line(const CpHost *h, json_t *st)
{
    json_t *p;
    size_t i;
    json_int_t slots = 0, inflight = 0, queued = 0;
    if (st == NULL) {
        printf("%-14s %-10s %-8s\n", h->name, h->domain, "silent");
        return;
    }
    json_array_foreach(json_object_get(st, "pools"), i, p)
    {
        slots += json_integer_value(json_object_get(p, "slots"));
        inflight += json_integer_value(json_object_get(p, "inflight"));
        queued += json_integer_value(json_object_get(p, "queued"));
    }
    printf("%-14s %-10s %-8s %7lld %6lld %5lld %6lld %6lld\n", h->name,
           h->domain, json_string_value(json_object_get(st, "state")),
           (long long)json_integer_value(json_object_get(st, "version")),
           (long long)json_integer_value(json_object_get(st, "active")),
           (long long)slots, (long long)inflight, (long long)queued);
}

static Sample
fetch_sample(const CpCliOptions *o, const CpConfig *c)
{
    Sample s = {0};
    for (uint32_t i = 0; i < c->host_count; i++) {
        json_t *st = CpCli_FetchHostStatus(o, c->hosts[i].operator_listen);
        if (st != NULL) {
            add_host_status(&s, st);
            json_decref(st);
        }
    }
    return s;
}

static void
add_host_status(Sample *s, json_t *st)
{
    json_t *pool, *failed;
    size_t i;
    s->responding_hosts++;
    json_array_foreach(json_object_get(st, "pools"), i, pool)
    {
        s->slots +=
            (uint64_t)json_integer_value(json_object_get(pool, "slots"));
        s->inflight +=
            (uint64_t)json_integer_value(json_object_get(pool, "inflight"));
        s->queued +=
            (uint64_t)json_integer_value(json_object_get(pool, "queued"));
    }
    failed = json_object_get(json_object_get(st, "counters"), "failed");
    for (uint32_t r = 0; r < CP_RANK_COUNT; r++) {
        json_t *row = json_array_get(json_object_get(st, "latency"), r);
        for (uint32_t bucket = 0; bucket < CP_LATENCY_BUCKETS; bucket++) {
            s->latency[r][bucket] +=
                (uint64_t)json_integer_value(json_array_get(row, bucket));
        }
        for (uint32_t k = 1; k < CP_REASON_COUNT; k++) {
            s->failed[k][r] += (uint64_t)json_integer_value(
                json_array_get(json_object_get(failed, CpReason_Name(k)), r));
        }
    }
}

static void
print_sample(const CpCliOptions *o, const CpConfig *c, const Sample *before,
             const Sample *after)
{
    json_t *ranks = json_array();
    for (uint32_t r = 0; r < c->rank_count; r++) {
        uint64_t answered = answered_between(before, after, r);
        GString *reasons = g_string_new(NULL);
        for (uint32_t k = 1; k < CP_REASON_COUNT; k++) {
            uint64_t failed = after->failed[k][r] - before->failed[k][r];
            if (failed > 0) {
                g_string_append_printf(reasons, " %s=%" PRIu64,
                                       CpReason_Name(k), failed);
            }
        }
        json_array_append_new(
            ranks, json_pack("{s:s,s:I,s:f,s:f,s:s}", "rank", c->ranks[r].name,
                             "answered", (json_int_t)answered, "p50_ms",
                             percentile_ms(before, after, r, 500), "p99_ms",
                             percentile_ms(before, after, r, 990), "failed",
                             reasons->str));
        if (!o->json) {
            printf("%-8s answered %7" PRIu64 "  p50 %8.2f ms  p99 %8.2f "
                   "ms %s\n",
                   c->ranks[r].name, answered,
                   percentile_ms(before, after, r, 500),
                   percentile_ms(before, after, r, 990), reasons->str);
        }
        g_string_free(reasons, TRUE);
    }
    if (o->json) {
        json_t *root = json_pack("{s:i,s:I,s:I,s:I,s:o}", "hosts",
                                 (int)after->responding_hosts, "slots",
                                 (json_int_t)after->slots, "inflight",
                                 (json_int_t)after->inflight, "queued",
                                 (json_int_t)after->queued, "ranks", ranks);
        char *text = json_dumps(root, JSON_COMPACT);
        printf("%s\n", text);
        free(text);
        json_decref(root);
        return;
    }
    printf("hosts %u  slots %" PRIu64 "  in use %" PRIu64 "  waiting %" PRIu64
           "  headroom %.0f%%\n",
           after->responding_hosts, after->slots, after->inflight,
           after->queued,
           after->slots > after->inflight
               ? 100.0 * (double)(after->slots - after->inflight) /
                     (double)after->slots
               : 0.0);
    json_decref(ranks);
    fflush(stdout);
}

static uint64_t
answered_between(const Sample *before, const Sample *after, uint32_t rank)
{
    uint64_t n = 0;
    for (uint32_t i = 0; i < CP_LATENCY_BUCKETS; i++) {
        n += after->latency[rank][i] - before->latency[rank][i];
    }
    return n;
}

/* Returns the upper bound of the bucket that holds the percentile. */
static double
percentile_ms(const Sample *before, const Sample *after, uint32_t rank,
              uint32_t permille)
{
    uint64_t target = answered_between(before, after, rank) * permille / 1000,
             n = 0;
    for (uint32_t i = 0; i < CP_LATENCY_BUCKETS; i++) {
        n += after->latency[rank][i] - before->latency[rank][i];
        if (n > 0 && n >= target) {
            return (double)CpCounter_LatencyBound_ns(i) / CP_NS_PER_MS;
        }
    }
    return 0;
}
