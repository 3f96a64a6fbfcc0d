/* Driver for the scripts of platform: decodes or encodes each line and prints
 * the result. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "http/easy.h"
#include "platform/platform.h"
#include "regress.h"

static void run_line(void *ctx, char *line);
static void show_routes(FILE *out, const char *text);
static void find_keys(FILE *out, char *keys);
static void show_orgs(FILE *out, const CpOrgTable *t);
static void show_server(FILE *out, const char *instance, const char *text);

/* of the last valid configuration; NULL: none */
static CpRoutes *last_routes;

void
CpDrive_Platform(FILE *in, FILE *out)
{
    CpScript_Run(in, run_line, out);
    CpRoutes_Release(last_routes);
    last_routes = NULL;
}

static void
run_line(void *ctx, char *line)
{
    FILE *out = ctx;
    char *args = strchr(line, ' ');
    if (args == NULL) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    *args++ = '\0';
    if (strcmp(line, "routes") == 0) {
        show_routes(out, args);
    }
    else if (strcmp(line, "find") == 0) {
        find_keys(out, args);
    }
    else if (strcmp(line, "server") == 0) {
        char *text = strchr(args, ' ');
        *text++ = '\0';
        show_server(out, args, text);
    }
    else if (strcmp(line, "key") == 0) {
        char domain[CP_NAME_BYTES] = "";
        CpEntryRowType type = CpPlatform_ClassifyOperatorRow(args, domain);
        fprintf(out, "%s: %d %s\n", args, (int)type, domain);
    }
    else if (strcmp(line, "load") == 0) {
        CpServerLoad load;
        bool ok = CpPlatform_DecodeLoad(args, &load);
        fprintf(out, "%s: %s %u %u %u", args, ok ? "load" : "none",
                load.running, load.waiting, load.slots);
        fprintf(out, load.work_percent > 0 ? " at %u%%\n" : "\n",
                load.work_percent);
    }
    else if (strcmp(line, "retry-after") == 0) {
        fprintf(out, "%s: %u ms\n", args, CpEasy_ParseRetryAfter_ms(args));
    }
    else if (strcmp(line, "directory") == 0) {
        const char *addresses[] = {args, "10.0.0.2:80"};
        char *text = CpPlatform_EncodeDirectory(addresses, 2, 3);
        fprintf(out, "%s\n", text);
        free(text);
    }
    else {
        fprintf(out, "not understood: %s\n", line);
    }
}

static void
show_routes(FILE *out, const char *text)
{
    static const char *const names[] = {"north", "south"};
    CpOrgRegions regions = {.names = names, .count = 2};
    CpRoutes *r;
    if (CpPlatform_DecodeRoutes(text, strlen(text), &regions, &r) != CP_OK) {
        fprintf(out, "unusable: %s\n", CpError_Message());
        return;
    }
    fprintf(out, "version %" PRIu64 ", body %" PRIu64 ", idle %u ms\n",
            r->version, r->limits.max_body_bytes, r->limits.idle_timeout_ms);
    for (uint32_t i = 0; i < r->route_count; i++) {
        const CpRoute *route = &r->routes[i];
        fprintf(out, " %s %s%s %s%s timeout %u goal %u rank %u attempts %u:",
                route->name, route->host, route->prefix,
                route->idempotent     ? "idempotent"
                : route->type_unknown ? "once, type unknown,"
                                      : "once",
                route->is_public && route->affinity ? " affinity public"
                : route->is_public                  ? " public"
                : route->affinity                   ? " affinity"
                                                    : "",
                route->timeout_ms, route->goal_ms, route->rank,
                route->max_attempts);
        for (uint32_t k = 0; k < route->split_count; k++) {
            fprintf(out, " %s=%u", route->splits[k].service,
                    route->splits[k].weight);
        }
        for (uint32_t k = 0; k < route->home_region_count; k++) {
            fprintf(out, " in %s", route->home_regions[k]);
        }
        fprintf(out, "\n");
    }
    if (r->orgs != NULL) {
        show_orgs(out, r->orgs);
    }
    for (uint32_t i = 0; i < r->service_count; i++) {
        const CpService *service = &r->services[i];
        fprintf(out, " %s: %u connections, cold %u ms, %u/1000 a second\n",
                service->name, service->max_connections, service->warmup_ms,
                service->warmup_per_s_milli);
    }
    CpRoutes_Release(last_routes);
    last_routes = r;
}

static void
find_keys(FILE *out, char *keys)
{
    char *rest = keys;
    for (char *key; (key = strtok_r(rest, " ", &rest)) != NULL;) {
        const CpOrg *org =
            CpOrgTable_FindByKey(last_routes->orgs, key, strlen(key));
        fprintf(out, "%s: %s\n", key, org != NULL ? org->name : "unknown");
    }
}

static void
show_orgs(FILE *out, const CpOrgTable *t)
{
    fprintf(out, " organisations %u, keys %u\n", CpOrgTable_Count(t),
            CpOrgTable_CountKeys(t));
    for (uint32_t i = 0; i < CpOrgTable_Count(t); i++) {
        const CpOrg *org = CpOrgTable_Get(t, i);
        fprintf(out, "  %s: rate %u/1000, burst %u", org->name,
                org->rate_milli, org->burst);
        if (org->has_rank) {
            fprintf(out, ", rank %u", org->rank);
        }
        for (uint32_t k = 0; k < org->home_region_count; k++) {
            fprintf(out, ", in %s", org->home_regions[k]);
        }
        fprintf(out, "\n");
    }
    for (uint32_t i = 0; i < CpOrgTable_CountProblems(t); i++) {
        const CpOrgProblem *p = CpOrgTable_GetProblem(t, i);
        fprintf(out, "  problem %s of %u \"%s\" %s, %u\n",
                CpOrgFlaw_Name(p->flaw), p->position, p->org, p->other,
                p->count);
    }
}

static void
show_server(FILE *out, const char *instance, const char *text)
{
    CpServerEntry e;
    if (CpPlatform_DecodeServer(instance, text, strlen(text), &e) != CP_OK) {
        fprintf(out, "unusable: %s\n", CpError_Message());
        return;
    }
    fprintf(out,
            "%s: %s at %s in %s, %u slots%s, cold %u ms, born %" PRId64
            ", report %" PRIu64 "\n",
            e.instance, e.service, e.address, e.domain, e.slots,
            e.draining ? ", draining" : "", e.warmup_left_ms, e.started_ms,
            e.sequence);
}
