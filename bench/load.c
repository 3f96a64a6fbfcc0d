/* chestnutpaddle-load: options, experiment files and the report. */
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config_int.h"
#include "load.h"

#define MAX_THREADS 8

static const CpField entry_fields[] = {
    CP_TEXT_FIELD(CpAddress, value, true),
    {0},
};
static const CpField target_fields[] = {
    CP_TEXT_FIELD(CpTarget, kind, true),
    CP_TEXT_FIELD(CpTarget, address, true),
    {0},
};
static const CpField flow_fields[] = {
    CP_TEXT_FIELD(CpFlow, name, true),
    CP_TEXT_FIELD(CpFlow, kind, true),
    CP_TEXT_FIELD(CpFlow, client, false),
    CP_U32_FIELD(CpFlow, rate_per_s, 0, 100000, 0, "requests/s"),
    CP_U32_FIELD(CpFlow, concurrency, 0, 1000, 0, "requests"),
    CP_U32_FIELD(CpFlow, size_bytes, 1, 100000000, 64, "bytes"),
    CP_U32_FIELD(CpFlow, work_ms, 0, 60000, 0, "ms"),
    CP_U32_FIELD(CpFlow, start_s, 0, CP_LOAD_MAX_SECONDS, 0, "s"),
    CP_U32_FIELD(CpFlow, end_s, 0, CP_LOAD_MAX_SECONDS, 0, "s"),
    CP_U32_FIELD(CpFlow, deadline_ms, 1, 600000, 1000, "ms"),
    CP_U32_FIELD(CpFlow, repeat_percent, 0, 100, 0, "percent"),
    CP_BOOL_FIELD(CpFlow, once, 0),
    CP_BOOL_FIELD(CpFlow, repeat_lost, 0),
    CP_BOOL_FIELD(CpFlow, direct, 0),
    CP_BOOL_FIELD(CpFlow, round_robin, 0),
    {0},
};
static const CpField experiment_fields[] = {
    CP_TEXT_FIELD(CpExperiment, name, true),
    CP_U32_REQUIRED(CpExperiment, seconds, 1, CP_LOAD_MAX_SECONDS - 60, "s"),
    CP_U32_FIELD(CpExperiment, threads, 1, MAX_THREADS, 2, "threads"),
    CP_U32_FIELD(CpExperiment, seed, 0, UINT32_MAX, 1, "(seed)"),
    CP_LIST_FIELD(CpExperiment, entries, entry_count, CpAddress, entry_fields,
                  true),
    CP_LIST_FIELD(CpExperiment, targets, target_count, CpTarget, target_fields,
                  false),
    CP_LIST_FIELD(CpExperiment, flows, flow_count, CpFlow, flow_fields, true),
    {0},
};

static int run_experiment(const CpExperiment *e, const char *keys_path,
                          const char *series_path, bool json);
static void print_flow(const CpFlow *f, CpFlowResult *r, uint32_t duration_s);
static json_t *flow_to_json(const CpFlow *f, CpFlowResult *r,
                            uint32_t duration_s);
static void write_series(const CpExperiment *e, const CpFlowResult *r,
                         const char *path);
static uint32_t flow_duration_s(const CpFlow *f, uint32_t experiment_s);
static uint32_t first_flow_of_name(const CpExperiment *e, uint32_t flow);
static int compare_u32(const void *a, const void *b);

int
main(int argc, char **argv)
{
    gchar *keys_path = NULL, *series_path = NULL;
    gboolean json = FALSE;
    GError *err = NULL;
    CpExperiment e;
    CpProblems problems = {0};
    GOptionEntry entries[] = {
        {"keys", 'k', 0, G_OPTION_ARG_FILENAME, &keys_path,
         "Write the outcome of each key of `once` flows", "FILE"},
        {"series", 's', 0, G_OPTION_ARG_FILENAME, &series_path,
         "Write requests and responses per second, as CSV", "FILE"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
        {0}};
    GOptionContext *oc = g_option_context_new("EXPERIMENT");
    g_option_context_add_main_entries(oc, entries, NULL);
    if (!g_option_context_parse(oc, &argc, &argv, &err) || argc != 2) {
        fprintf(stderr, "chestnutpaddle-load: %s\n",
                err ? err->message : "expected an experiment file");
        return 2;
    }
    g_option_context_free(oc);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        return 1;
    }
    if (CpExperiment_Load(argv[1], &e, &problems) != CP_OK) {
        CpProblems_Print(&problems);
        return 2;
    }
    int status = run_experiment(&e, keys_path, series_path, json);
    CpExperiment_Clear(&e);
    return status;
}

CpStatus
CpExperiment_Load(const char *path, CpExperiment *out, CpProblems *p)
{
    char *text;
    size_t size;
    *out = (CpExperiment){0};
    CpStatus st = CpFile_Read(path, &text, &size);
    if (st != CP_OK) {
        CpProblems_Add(p, "%s", CpError_Message());
        return st;
    }
    st = CpYaml_Bind(path, text, size, experiment_fields, out, p);
    free(text);
    if (st == CP_OK && out->flow_count > CP_LOAD_MAX_FLOWS) {
        CpProblems_Add(p, "%s: flows: expected at most %d", path,
                       CP_LOAD_MAX_FLOWS);
        st = CP_ERR_RANGE;
    }
    return st;
}

void
CpExperiment_Clear(CpExperiment *e)
{
    CpYaml_Clear(experiment_fields, e);
}

void
CpLoad_Merge(CpFlowResult *into, CpFlowResult *from)
{
    into->sent += from->sent;
    into->ok += from->ok;
    into->late += from->late;
    into->wrong += from->wrong;
    into->cut += from->cut;
    into->repeats += from->repeats;
    into->bytes += from->bytes;
    for (uint32_t i = 0; i < CP_VERDICT_COUNT; i++) {
        into->verdicts[i] += from->verdicts[i];
    }
    for (uint32_t i = 0; i < CP_REASON_COUNT; i++) {
        into->reasons[i] += from->reasons[i];
    }
    for (uint32_t i = 0; i < CP_LOAD_MAX_SECONDS; i++) {
        into->ok_by_second[i] += from->ok_by_second[i];
        into->sent_by_second[i] += from->sent_by_second[i];
    }
    uint64_t n = into->latency_count + from->latency_count;
    into->latency_us =
        CpMem_Realloc(into->latency_us, (n + 1) * sizeof(uint32_t));
    for (uint64_t i = 0; i < from->latency_count; i++) {
        into->latency_us[into->latency_count++] = from->latency_us[i];
    }
    free(from->latency_us);
}

double
CpLoad_Percentile_ms(CpFlowResult *r, uint32_t permille)
{
    if (r->latency_count == 0) {
        return 0;
    }
    uint64_t rank = r->latency_count * permille / 1000;
    if (rank == r->latency_count) {
        rank--;
    }
    return r->latency_us[rank] / 1000.0;
}

static int
run_experiment(const CpExperiment *e, const char *keys_path,
               const char *series_path, bool json)
{
    static CpLoadThread threads[MAX_THREADS];
    static CpFlowResult totals[CP_LOAD_MAX_FLOWS];
    pthread_t ids[MAX_THREADS];
    FILE *keys_file = keys_path != NULL ? fopen(keys_path, "w") : NULL;
    int64_t start_ns = CpClock_Now_ns();
    uint64_t wrong = 0;
    for (uint32_t i = 0; i < e->threads; i++) {
        threads[i] = (CpLoadThread){.experiment = e,
                                    .start_ns = start_ns,
                                    .thread_index = i,
                                    .keys_file = keys_file};
        pthread_create(&ids[i], NULL, CpLoad_Run, &threads[i]);
    }
    for (uint32_t i = 0; i < e->threads; i++) {
        pthread_join(ids[i], NULL);
        for (uint32_t k = 0; k < e->flow_count; k++) {
            CpLoad_Merge(&totals[k], &threads[i].results[k]);
        }
    }
    json_t *flows_json = json_array();
    for (uint32_t k = 0; k < e->flow_count; k++) {
        uint32_t first = first_flow_of_name(e, k);
        if (first < k) { /* flows with the same name are reported as one */
            CpLoad_Merge(&totals[first], &totals[k]);
            totals[k] = (CpFlowResult){0};
        }
    }
    for (uint32_t k = 0; k < e->flow_count; k++) {
        if (first_flow_of_name(e, k) < k) {
            continue;
        }
        qsort(totals[k].latency_us, totals[k].latency_count, sizeof(uint32_t),
              compare_u32);
        uint32_t duration_s = flow_duration_s(&e->flows[k], e->seconds);
        wrong += totals[k].wrong;
        if (json) {
            json_array_append_new(
                flows_json,
                flow_to_json(&e->flows[k], &totals[k], duration_s));
        }
        else {
            print_flow(&e->flows[k], &totals[k], duration_s);
        }
    }
    if (json) {
        char *text = json_dumps(flows_json, JSON_INDENT(1));
        printf("%s\n", text);
        free(text);
    }
    json_decref(flows_json);
    if (series_path != NULL) {
        write_series(e, totals, series_path);
    }
    if (keys_file != NULL) {
        fclose(keys_file);
    }
    return wrong == 0 ? 0 : 1;
}

static void
print_flow(const CpFlow *f, CpFlowResult *r, uint32_t duration_s)
{
    printf("%-12s sent %7" PRIu64 " ok %7" PRIu64 " late %" PRIu64
           " wrong %" PRIu64 " cut %" PRIu64 " repeats %" PRIu64
           " | p50 %.2f p99 %.2f max %.2f ms | %.1f ok/s %.2f MB/s",
           f->name, r->sent, r->ok, r->late, r->wrong, r->cut, r->repeats,
           CpLoad_Percentile_ms(r, 500), CpLoad_Percentile_ms(r, 990),
           CpLoad_Percentile_ms(r, 1000), (double)r->ok / duration_s,
           (double)r->bytes / 1e6 / duration_s);
    for (uint32_t i = 0; i < CP_VERDICT_COUNT; i++) {
        if (r->verdicts[i] > 0) {
            printf(" %s=%" PRIu64, CpVerdict_Name(i), r->verdicts[i]);
        }
    }
    for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
        if (r->reasons[i] > 0) {
            printf(" %s=%" PRIu64, CpReason_Name(i), r->reasons[i]);
        }
    }
    printf("\n");
}

static json_t *
flow_to_json(const CpFlow *f, CpFlowResult *r, uint32_t duration_s)
{
    json_t *reasons = json_object();
    for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
        if (r->reasons[i] > 0) {
            json_object_set_new(reasons, CpReason_Name(i),
                                json_integer((json_int_t)r->reasons[i]));
        }
    }
    return json_pack(
        "{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:I,s:I,s:o}",
        "flow", f->name, "sent", (json_int_t)r->sent, "ok", (json_int_t)r->ok,
        "late", (json_int_t)r->late, "wrong", (json_int_t)r->wrong, "cut",
        (json_int_t)r->cut, "repeats", (json_int_t)r->repeats, "p50_ms",
        CpLoad_Percentile_ms(r, 500), "p99_ms", CpLoad_Percentile_ms(r, 990),
        "max_ms", CpLoad_Percentile_ms(r, 1000), "ok_per_s",
        (double)r->ok / duration_s, "mb_per_s",
        (double)r->bytes / 1e6 / duration_s, "not_run",
        (json_int_t)r->verdicts[CP_NOT_RUN], "may_have_run",
        (json_int_t)r->verdicts[CP_MAY_HAVE_RUN], "reasons", reasons);
}

static void
write_series(const CpExperiment *e, const CpFlowResult *r, const char *path)
{
    FILE *f = fopen(path, "w");
    if (f == NULL) {
        return;
    }
    fprintf(f, "second");
    for (uint32_t k = 0; k < e->flow_count; k++) {
        if (first_flow_of_name(e, k) == k) {
            fprintf(f, ",%s_sent,%s_ok", e->flows[k].name, e->flows[k].name);
        }
    }
    for (uint32_t s = 0; s < e->seconds; s++) {
        fprintf(f, "\n%u", s);
        for (uint32_t k = 0; k < e->flow_count; k++) {
            if (first_flow_of_name(e, k) == k) {
                fprintf(f, ",%u,%u", r[k].sent_by_second[s],
                        r[k].ok_by_second[s]);
            }
        }
    }
    fprintf(f, "\n");
    fclose(f);
}

/* Returns the planned duration of a flow, at least 1. */
static uint32_t
flow_duration_s(const CpFlow *f, uint32_t experiment_s)
{
    uint32_t end_s = f->end_s ? f->end_s : experiment_s;
    return end_s > f->start_s ? end_s - f->start_s : 1;
}

/* Returns the index of the first flow that has the same name. */
static uint32_t
first_flow_of_name(const CpExperiment *e, uint32_t flow)
{
    uint32_t k = 0;
    while (strcmp(e->flows[k].name, e->flows[flow].name) != 0) {
        k++;
    }
    return k;
}

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;
    return x < y ? -1 : x > y;
}
