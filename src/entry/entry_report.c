/* Pages of an entry host: directory, readiness, metrics. */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"

static uint32_t render_metrics(void *ctx, const CpPageQuery *q, char **out);
static void append_reasons(GString *text);
static void append_denials(GString *text);
static void append_latencies(GString *text);
static void append_dropped_lines(GString *text);

const CpPage cp_entry_metrics_pages[] = {
    {"/metrics", "text/plain; version=0.0.4", render_metrics},
    {0},
};

uint32_t
CpEntryReport_RenderDirectory(void *ctx, const CpPageQuery *q, char **out)
{
    CpEntry *e = ctx;
    *out = CpEntryHosts_EncodeDirectory(
        e, CpPageQuery_Get(q, e->adapter.host_parameter),
        CpPageQuery_Get(q, e->adapter.domain_parameter),
        CpPageQuery_Get(q, e->adapter.region_parameter));
    CpCounter_Add(CP_COUNT_LOOKUPS, 1);
    return *out != NULL ? 200 : 503;
}

uint32_t
CpEntryReport_RenderReady(void *ctx, const CpPageQuery *q, char **out)
{
    bool ready = CpEntry_IsReady(ctx);
    (void)q;
    *out = CpStr_Dup(ready ? "ready\n" : "not ready\n");
    return ready ? 200 : 503;
}

static uint32_t
render_metrics(void *ctx, const CpPageQuery *q, char **out)
{
    CpEntry *e = ctx;
    GString *text = g_string_new(NULL);
    CpRoutes *r = CpEntry_RetainRoutes(e, NULL);
    (void)q;
    for (uint32_t i = 0; i < CP_COUNTER_COUNT; i++) {
        g_string_append_printf(
            text,
            "# TYPE chestnutpaddle_%s_total counter\n"
            "chestnutpaddle_%s_total %" G_GUINT64_FORMAT "\n",
            CpCounter_Name(i), CpCounter_Name(i), CpCounter_Get(i));
    }
    append_reasons(text);
    append_denials(text);
    append_latencies(text);
    append_dropped_lines(text);
    g_string_append_printf(
        text, "chestnutpaddle_routes_version %" G_GUINT64_FORMAT "\n",
        r != NULL ? r->version : 0);
    g_string_append_printf(
        text, "chestnutpaddle_orgs %u\nchestnutpaddle_keys %u\n",
        r != NULL && r->orgs != NULL ? CpOrgTable_Count(r->orgs) : 0,
        r != NULL && r->orgs != NULL ? CpOrgTable_CountKeys(r->orgs) : 0);
    if (e->settings.revocation_bound_ms > 0 ||
        e->settings.denial_bound_ms > 0) {
        int64_t age_ns = CpFreshness_Age_ns(e->freshness, CpClock_Now_ns());
        g_string_append_printf(
            text, "chestnutpaddle_freshness_age_ms %" G_GINT64_FORMAT "\n",
            age_ns < 0 ? -1 : age_ns / CP_NS_PER_MS);
    }
    if (CpEntryFollow_Era(e) > 0) {
        g_string_append_printf(
            text, "chestnutpaddle_store_era %" G_GUINT64_FORMAT "\n",
            CpEntryFollow_Era(e));
    }
    g_string_append_printf(text, "chestnutpaddle_active_requests %u\n",
                           CpProxy_CountActive(e->proxy));
    CpEntryQuota_AppendMetrics(e, text);
    g_string_append_printf(
        text, "chestnutpaddle_memory_held_bytes %" G_GUINT64_FORMAT "\n",
        CpBudget_Held_bytes(e->budget));
    CpRoutes_Release(r);
    *out = g_string_free(text, FALSE);
    return 200;
}

static void
append_reasons(GString *text)
{
    for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
        for (uint32_t rank = 0; rank < CP_RANK_COUNT; rank++) {
            uint64_t n = CpCounter_GetReason(i, rank);
            if (n > 0) {
                g_string_append_printf(
                    text,
                    "chestnutpaddle_refused_total{reason=\"%s\",rank=\"%u\"} "
                    "%" G_GUINT64_FORMAT "\n",
                    CpReason_Name(i), rank, n);
            }
        }
    }
}

static void
append_denials(GString *text)
{
    for (uint32_t i = 0; i < CP_DENIAL_COUNT; i++) {
        g_string_append_printf(text,
                               "chestnutpaddle_denied_total{cause=\"%s\"} "
                               "%" G_GUINT64_FORMAT "\n",
                               CpDenial_Name(i), CpCounter_GetDenial(i));
    }
}

static void
append_latencies(GString *text)
{
    for (uint32_t rank = 0; rank < CP_RANK_COUNT; rank++) {
        uint64_t sum = 0;
        for (uint32_t i = 0; i < CP_LATENCY_BUCKETS; i++) {
            sum += CpCounter_GetLatencyCount(rank, i);
            g_string_append_printf(
                text,
                "chestnutpaddle_latency_seconds_bucket{rank=\"%u\",le=\"%g\"} "
                "%" G_GUINT64_FORMAT "\n",
                rank, (double)CpCounter_LatencyBound_ns(i) / CP_NS_PER_S, sum);
        }
    }
}

static void
append_dropped_lines(GString *text)
{
    for (uint32_t i = 0; i < CP_EVENT_KIND_COUNT; i++) {
        g_string_append_printf(
            text,
            "chestnutpaddle_log_lines_dropped_total{kind=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            CpEventKind_Name(i), CpEvent_Dropped(i));
    }
}
