/* Scripts for platform: rows and headers as they are decoded. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "regress.h"

static void step(void *ctx, char *line);
static void show_routes(FILE *out, const char *text);
static void show_server(FILE *out, const char *instance, const char *text);

void
CpDrive_Platform(FILE *in, FILE *out)
{
    CpScript_Run(in, step, out);
}

static void
step(void *ctx, char *line)
{
    FILE *out = ctx;
    char *rest = strchr(line, ' ');
    if (rest == NULL) {
        fprintf(out, "not understood: %s\n", line);
        return;
    }
    *rest++ = '\0';
    if (strcmp(line, "routes") == 0) {
        show_routes(out, rest);
    }
    else if (strcmp(line, "server") == 0) {
        char *text = strchr(rest, ' ');
        *text++ = '\0';
        show_server(out, rest, text);
    }
    else if (strcmp(line, "key") == 0) {
        char domain[CP_NAME_BYTES] = "";
        CpEntryRowType row = CpPlatform_ClassifyOperatorRow(rest, domain);
        fprintf(out, "%s: %d %s\n", rest, (int)row, domain);
    }
    else if (strcmp(line, "load") == 0) {
        CpServerLoad load;
        bool ok = CpPlatform_DecodeLoad(rest, &load);
        fprintf(out, "%s: %s %u %u %u\n", rest, ok ? "load" : "none",
                load.running, load.waiting, load.slots);
    }
    else if (strcmp(line, "directory") == 0) {
        const char *list[] = {rest, "10.0.0.2:80"};
        char *text = CpPlatform_EncodeDirectory(list, 2, 3);
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
    CpRoutes *r;
    if (CpPlatform_DecodeRoutes(text, strlen(text), &r) != CP_OK) {
        fprintf(out, "unusable: %s\n", CpError_Message());
        return;
    }
    fprintf(out, "version %" PRIu64 ", body %" PRIu64 ", idle %u ms\n",
            r->version, r->limits.max_body_bytes, r->limits.idle_timeout_ms);
    for (uint32_t i = 0; i < r->route_count; i++) {
        const CpRoute *o = &r->routes[i];
        fprintf(out, " %s %s%s %s%s timeout %u goal %u rank %u attempts %u:",
                o->name, o->host, o->prefix,
                o->idempotent ? "idempotent" : "once",
                o->affinity ? " affinity" : "", o->timeout_ms, o->goal_ms,
                o->rank, o->max_attempts);
        for (uint32_t k = 0; k < o->split_count; k++) {
            fprintf(out, " %s=%u", o->splits[k].service, o->splits[k].weight);
        }
        for (uint32_t k = 0; k < o->home_region_count; k++) {
            fprintf(out, " in %s", o->home_regions[k]);
        }
        fprintf(out, "\n");
    }
    for (uint32_t i = 0; i < r->service_count; i++) {
        const CpService *s = &r->services[i];
        fprintf(out, " %s: %u connections, cold %u ms, %u/1000 a second\n",
                s->name, s->max_connections, s->warmup_ms,
                s->warmup_per_s_milli);
    }
    CpRoutes_Release(r);
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
