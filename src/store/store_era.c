/* Decisions on rows across eras of the store. */
#include "store/era.h"

/* Operators and their tools are expected to have written an evacuation again
 * by then. A limit is needed, as a host that missed a withdrawal before the
 * restore would otherwise keep the domain evacuated for good. */
#define EVACUATION_HOLD_NS (600 * CP_NS_PER_S)
/* All hosts have written their rows by then: 300 take 6.5 s. */
#define HOST_HOLD_NS (30 * CP_NS_PER_S)
/* 50 writes/s by all hosts; the store takes 250 rows/s, and servers write
 * theirs at the same time. */
#define WRITE_INTERVAL_NS (20 * CP_NS_PER_MS)
#define MIN_WRITE_DELAY_NS (500 * CP_NS_PER_MS)
/* Two report intervals within a domain, one between domains: hosts that know a
 * newer configuration have said so by then. */
#define SETTLE_NS (1000 * CP_NS_PER_MS)
/* For a host that started in a later era and hears no other host: no other one
 * may run. */
#define UNHEARD_LIMIT_NS (30 * CP_NS_PER_S)

static CpEraDecision merge(CpEraKind kind, const CpEraRow *held,
                           const CpEraRow *row);
static CpEraDecision merge_config(const CpEraRow *held, const CpEraRow *row);
static CpEraDecision merge_server(const CpEraRow *held, const CpEraRow *row);
static bool is_report_older(const CpEraRow *a, const CpEraRow *b);

CpEraDecision
CpEra_OnRow(CpEraKind kind, const CpEraRow *held, const CpEraRow *row)
{
    if (held == NULL) {
        return row->deleted ? CP_ERA_GONE : CP_ERA_TAKE;
    }
    if (kind == CP_ERA_CONFIG) {
        return merge_config(held, row);
    }
    if (CpTableVersion_IsLater(&held->version, &row->version)) {
        return CP_ERA_IGNORE;
    }
    if (row->version.era == held->version.era &&
        row->version.version > held->version.version) {
        /* Without a start time a restart looks like an older report. */
        bool is_repeated = kind == CP_ERA_SERVER && held->deleted &&
                           row->started_ms > 0 && held->started_ms > 0 &&
                           is_report_older(row, held);
        return is_repeated ? CP_ERA_GONE : CP_ERA_TAKE;
    }
    return merge(kind, held, row);
}

/* The row is of a later era, or of the same version from another host, which
 * may have decided differently. */
static CpEraDecision
merge(CpEraKind kind, const CpEraRow *held, const CpEraRow *row)
{
    bool same_version = row->version.era == held->version.era;
    if (held->deleted && row->deleted) {
        return CP_ERA_GONE;
    }
    switch (kind) {
    case CP_ERA_SERVER:
        return merge_server(held, row);
    case CP_ERA_HOST:
        /* A host writes its row once a process: another value than the held
         * one is that of an earlier process, which other hosts would take for
         * a later one. */
        if (row->deleted) {
            return same_version && !held->held_over ? CP_ERA_KEEP
                                                    : CP_ERA_TAKE;
        }
        if (held->deleted) {
            return held->sequence == row->sequence ? CP_ERA_GONE : CP_ERA_TAKE;
        }
        return held->sequence == row->sequence && !same_version ? CP_ERA_TAKE
                                                                : CP_ERA_KEEP;
    case CP_ERA_EVACUATION:
        return row->deleted && same_version && !held->held_over ? CP_ERA_KEEP
                                                                : CP_ERA_TAKE;
    default:
        return CP_ERA_TAKE;
    }
}

/* The version of the configuration itself decides, whatever those of the rows
 * are. */
static CpEraDecision
merge_config(const CpEraRow *held, const CpEraRow *row)
{
    bool later = CpTableVersion_IsLater(&row->version, &held->version);
    if (row->deleted || row->unusable) {
        return !later         ? CP_ERA_IGNORE
               : row->deleted ? CP_ERA_KEEP
                              : CP_ERA_TAKE;
    }
    if (row->sequence > held->sequence) {
        return CP_ERA_TAKE;
    }
    return !later                           ? CP_ERA_IGNORE
           : row->sequence < held->sequence ? CP_ERA_KEEP
                                            : CP_ERA_TAKE;
}

/* A server that is gone is back with the next report that it writes: that has
 * a later version in the new era, and is no row of the copy. */
static CpEraDecision
merge_server(const CpEraRow *held, const CpEraRow *row)
{
    if (row->deleted) {
        return CP_ERA_TAKE;
    }
    if (held->deleted) {
        return CP_ERA_GONE;
    }
    return is_report_older(row, held) ? CP_ERA_KEEP : CP_ERA_TAKE;
}

static bool
is_report_older(const CpEraRow *a, const CpEraRow *b)
{
    if (a->started_ms != b->started_ms) {
        return a->started_ms < b->started_ms;
    }
    return a->sequence < b->sequence;
}

CpEraDecision
CpEra_OnMissing(CpEraKind kind, const CpEraRow *held,
                const CpTableVersion *listed)
{
    bool new_era = listed->era > held->version.era;
    if (kind == CP_ERA_CONFIG) {
        return listed->era > 0 ? CP_ERA_KEEP : CP_ERA_GONE;
    }
    return (kind == CP_ERA_EVACUATION || kind == CP_ERA_HOST) &&
                   (new_era || held->held_over)
               ? CP_ERA_KEEP
               : CP_ERA_GONE;
}

bool
CpEra_IsGivenUp(CpEraKind kind, int64_t held_over_ns)
{
    return held_over_ns >
           (kind == CP_ERA_HOST ? HOST_HOLD_NS : EVACUATION_HOLD_NS);
}

int64_t
CpEra_WriteDelay_ns(uint32_t position)
{
    return MIN_WRITE_DELAY_NS + position * WRITE_INTERVAL_NS;
}

bool
CpEra_MayConfirm(const CpEraConfig *c, int64_t now_ns)
{
    int64_t read_for_ns = now_ns - c->era_since_ns;
    bool settled = c->era_since_ns == 0 ||
                   (read_for_ns >= SETTLE_NS &&
                    (c->others_asked || read_for_ns >= UNHEARD_LIMIT_NS));
    return !c->rejected && c->highest_known <= c->in_force && settled;
}
