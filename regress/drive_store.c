/*
 * Driver for the scripts of store: decisions on rows across eras. A row is
 * written ERA.VERSION, then STARTED.SEQUENCE of its value, and "gone", "over"
 * or "unusable".
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "regress.h"
#include "store/era.h"

static void run_line(void *ctx, char *line);
static CpEraKind read_kind(const char *name);
static CpEraRow read_row(const char *text);
static void decide_config(FILE *out, const char *line);

static const char *const decisions[] = {
    [CP_ERA_TAKE] = "take",
    [CP_ERA_KEEP] = "keep",
    [CP_ERA_GONE] = "gone",
    [CP_ERA_IGNORE] = "ignore",
};
static const char *const kinds[] = {"other", "config", "evacuation", "server",
                                    "host"};

void
CpDrive_Store(FILE *in, FILE *out)
{
    CpScript_Run(in, run_line, out);
}

static void
run_line(void *ctx, char *line)
{
    FILE *out = ctx;
    char kind[16] = "", held[48] = "", row[48] = "";
    uint32_t n;
    fprintf(out, "%s: ", line);
    if (sscanf(line, "%15s held %47[^,], read %47[^,]", kind, held, row) ==
        3) {
        CpEraRow h = read_row(held), r = read_row(row);
        fprintf(
            out, "%s\n",
            decisions[CpEra_OnRow(read_kind(kind),
                                  strcmp(held, "none") == 0 ? NULL : &h, &r)]);
    }
    else if (sscanf(line, "%15s held %47[^,], missing in %47s", kind, held,
                    row) == 3) {
        CpEraRow h = read_row(held), listed = read_row(row);
        fprintf(
            out, "%s\n",
            decisions[CpEra_OnMissing(read_kind(kind), &h, &listed.version)]);
    }
    else if (sscanf(line, "%15s held over for %u s", kind, &n) == 2) {
        fprintf(out, "%s\n",
                CpEra_IsGivenUp(read_kind(kind), n * CP_NS_PER_S) ? "given up"
                                                                  : "kept");
    }
    else if (sscanf(line, "host %u writes", &n) == 1) {
        fprintf(out, "after %" PRId64 " ms\n",
                CpEra_WriteDelay_ns(n) / CP_NS_PER_MS);
    }
    else {
        decide_config(out, line);
    }
}

static CpEraKind
read_kind(const char *name)
{
    CpEraKind kind = CP_ERA_OTHER;
    for (uint32_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        kind = strcmp(name, kinds[i]) == 0 ? (CpEraKind)i : kind;
    }
    return kind;
}

static CpEraRow
read_row(const char *text)
{
    CpEraRow r = {0};
    sscanf(text, "%" SCNu64 ".%" SCNu64 " %" SCNd64 ".%" SCNu64,
           &r.version.era, &r.version.version, &r.started_ms, &r.sequence);
    r.deleted = strstr(text, "gone") != NULL;
    r.held_over = strstr(text, "over") != NULL;
    r.unusable = strstr(text, "unusable") != NULL;
    return r;
}

/* "at MS: in force VERSION, known VERSION[, era since MS][, asked][,
 * rejected]" */
static void
decide_config(FILE *out, const char *line)
{
    CpEraConfig c = {.rejected = strstr(line, "rejected") != NULL,
                     .others_asked = strstr(line, "asked") != NULL};
    const char *since = strstr(line, "since ");
    int64_t now_ms = 0;
    sscanf(line, "at %" SCNd64 ": in force %" SCNu64 ", known %" SCNu64,
           &now_ms, &c.in_force, &c.highest_known);
    c.era_since_ns = since != NULL ? atoi(since + 6) * CP_NS_PER_MS : 0;
    fprintf(out, "%s\n",
            CpEra_MayConfirm(&c, now_ms * CP_NS_PER_MS) ? "may be confirmed"
                                                        : "may not");
}
