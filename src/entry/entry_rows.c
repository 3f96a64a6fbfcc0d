/* Applies the rows of the followed tables to the state of this host. */
#include <stdlib.h>

#include "entry/entry_int.h"

static void on_operator_row(CpEntry *e, const CpFeedRow *row);
static void apply_routes(CpEntry *e, const CpFeedRow *row);
static CpStatus decode_routes(CpEntry *e, const CpFeedRow *row,
                              CpRoutes **out);
static void log_unknown_types(const CpRoutes *r);
static void log_org_problems(const CpRoutes *r);
static void on_server_row(CpEntryFollower *f, const CpFeedRow *row);

void
CpEntryFollow_OnRow(void *ctx, const CpFeedRow *row)
{
    CpEntryFollower *f = ctx;
    const CpTableVersion version = {.era = row->era, .version = row->version};
    __atomic_add_fetch(&f->rows_read, 1, __ATOMIC_RELAXED);
    CpEntryFollow_RaiseRowVersion(f, &version);
    CpEraDecision d = CpEntryNeighbours_UpdateRow(f, row);
    if (d != CP_ERA_TAKE) {
        CpEvent(CP_EVENT_STATE,
                d == CP_ERA_KEEP   ? "row_kept"
                : d == CP_ERA_GONE ? "row_of_gone"
                                   : "row_older",
                "s:s,s:I", "key", row->key, "row_version",
                (json_int_t)row->version);
        /* A server whose entry lapsed and that has an older one is there. */
        if (d != CP_ERA_KEEP || f->table != CP_TABLE_SERVERS) {
            return;
        }
    }
    switch (f->table) {
    case CP_TABLE_OPERATOR:
        on_operator_row(f->entry, row);
        break;
    case CP_TABLE_SERVERS:
        on_server_row(f, row);
        break;
    case CP_TABLE_HOSTS:
        CpEntryHosts_OnRow(f->entry, row);
        break;
    default:
        break;
    }
}

void
CpEntryFollow_RaiseRowVersion(CpEntryFollower *f,
                              const CpTableVersion *version)
{
    pthread_mutex_lock(&f->versions_lock);
    if (CpTableVersion_IsLater(version, &f->row)) {
        f->row = *version;
    }
    pthread_mutex_unlock(&f->versions_lock);
}

bool
CpEntryFollow_GetConfigVersion(CpEntry *e, const char *text, size_t text_bytes,
                               uint64_t *version)
{
    CpRoutes *r;
    const CpFeedRow row = {.value = text, .value_bytes = text_bytes};
    if (decode_routes(e, &row, &r) != CP_OK) {
        return false;
    }
    *version = r->version;
    CpRoutes_Release(r);
    return true;
}

static void
on_operator_row(CpEntry *e, const CpFeedRow *row)
{
    char domain[CP_NAME_BYTES];
    switch (e->adapter.classify_operator_row(row->key, domain)) {
    case CP_ENTRY_ROW_ROUTES:
        if (!row->deleted) {
            apply_routes(e, row);
        }
        break;
    case CP_ENTRY_ROW_EVACUATION:
        CpEvent(CP_EVENT_STATE, "evacuation", "s:s,s:b,s:I", "domain", domain,
                "evacuated", !row->deleted, "row_version",
                (json_int_t)row->version);
        CpFleet_SetEvacuated(e->fleet, domain, !row->deleted,
                             CpClock_Now_ns());
        break;
    default:
        break;
    }
}

/* Puts routes in force; if the version is invalid or older, the one in force
 * stays. */
static void
apply_routes(CpEntry *e, const CpFeedRow *row)
{
    CpRoutes *next;
    if (decode_routes(e, row, &next) != CP_OK) {
        CpEntryFollow_SetRejected(e, true);
        CpCounter_Add(CP_COUNT_CONFIG_REJECTED, 1);
        CpEvent(CP_EVENT_STATE, "routes_rejected", "s:I,s:s", "row_version",
                (json_int_t)row->version, "error", CpError_Message());
        return;
    }
    pthread_mutex_lock(&e->routes_lock);
    CpRoutes *old = e->routes;
    bool supersedes = CpRoutes_Supersedes(next, old);
    uint64_t old_version = old != NULL ? old->version : 0;
    if (supersedes) {
        e->routes = CpRoutes_Retain(next);
        e->routes_since_ns = CpClock_Now_ns();
    }
    pthread_mutex_unlock(&e->routes_lock);
    if (supersedes) {
        CpEntryFollow_SetRejected(e, false);
        CpFreshness_SetHasKeys(e->freshness,
                               next->orgs != NULL &&
                                   CpOrgTable_CountKeys(next->orgs) > 0);
    }
    if (!supersedes) {
        if (next->version < old_version) {
            CpEvent(CP_EVENT_STATE, "routes_older", "s:I,s:I", "version",
                    (json_int_t)next->version, "in_force",
                    (json_int_t)old_version);
        }
        CpRoutes_Release(next);
        return;
    }
    for (uint32_t i = 0; i < next->service_count; i++) {
        const CpService *s = &next->services[i];
        CpFleet_SetWarmup(e->fleet, s->name, s->warmup_ms,
                          s->warmup_per_s_milli);
    }
    CpEntryQuota_SetLimits(e, next);
    CpCounter_Add(CP_COUNT_CONFIG_ACCEPTED, 1);
    CpEvent(CP_EVENT_STATE, "routes_in_force", "s:I,s:I,s:i,s:i", "version",
            (json_int_t)next->version, "before", (json_int_t)old_version,
            "routes", (int)next->route_count, "services",
            (int)next->service_count);
    log_unknown_types(next);
    log_org_problems(next);
    CpRoutes_Release(old);
    CpRoutes_Release(next);
}

static CpStatus
decode_routes(CpEntry *e, const CpFeedRow *row, CpRoutes **out)
{
    uint32_t n = e->settings.domain_count;
    const char **names = CpMem_Alloc((n + 1) * sizeof(*names));
    for (uint32_t i = 0; i < n; i++) {
        names[i] = e->settings.domains[i].region;
    }
    CpOrgRegions regions = {.names = names, .count = n};
    CpStatus st =
        e->adapter.decode_routes(row->value, row->value_bytes, &regions, out);
    free(names);
    return st;
}

static void
log_unknown_types(const CpRoutes *r)
{
    for (uint32_t i = 0; i < r->route_count; i++) {
        if (r->routes[i].type_unknown) {
            CpCounter_Add(CP_COUNT_ROUTE_TYPES_UNKNOWN, 1);
            CpEvent(CP_EVENT_STATE, "route_type_unknown", "s:s,s:I", "route",
                    r->routes[i].name, "version", (json_int_t)r->version);
        }
    }
}

static void
log_org_problems(const CpRoutes *r)
{
    if (r->orgs == NULL) {
        return;
    }
    for (uint32_t i = 0; i < CpOrgTable_CountProblems(r->orgs); i++) {
        const CpOrgProblem *p = CpOrgTable_GetProblem(r->orgs, i);
        CpCounter_Add(CP_COUNT_ORG_PROBLEMS, 1);
        CpEvent(CP_EVENT_STATE, "org_problem", "s:i,s:s,s:s,s:s,s:i,s:I",
                "resource", (int)p->position, "org", p->org, "problem",
                CpOrgFlaw_Name(p->flaw), "other", p->other, "count",
                (int)p->count, "version", (json_int_t)r->version);
    }
    CpEvent(CP_EVENT_STATE, "orgs_in_force", "s:i,s:i,s:I", "count",
            (int)CpOrgTable_Count(r->orgs), "keys",
            (int)CpOrgTable_CountKeys(r->orgs), "version",
            (json_int_t)r->version);
}

static void
on_server_row(CpEntryFollower *f, const CpFeedRow *row)
{
    CpEntry *e = f->entry;
    CpServerEntry entry;
    int64_t now_ns = CpClock_Now_ns();
    if (row->deleted) {
        bool lapsed = CpEntryFollow_MayHaveLapsed(e, now_ns);
        CpEvent(CP_EVENT_STATE, "server_entry_gone", "s:s,s:b,s:I", "instance",
                row->key, "lapsed", lapsed, "row_version",
                (json_int_t)row->version);
        CpFleet_RemoveServer(e->fleet, row->key, lapsed, now_ns);
        if (lapsed) {
            CpAtomic_Store(&e->lapsed_removal_due, 1);
        }
        return;
    }
    if (e->adapter.decode_server(row->key, row->value, row->value_bytes,
                                 &entry) != CP_OK) {
        CpCounter_Add(CP_COUNT_SERVER_ENTRIES_UNUSABLE, 1);
        CpEvent(CP_EVENT_STATE, "server_entry_unusable", "s:s,s:s,s:I",
                "instance", row->key, "error", CpError_Message(),
                "row_version", (json_int_t)row->version);
        return;
    }
    CpFleet_UpdateServer(e->fleet, &entry, now_ns);
    CpEvent(CP_EVENT_STATE, "server", "s:s,s:s,s:s,s:s,s:b,s:i,s:I",
            "instance", entry.instance, "service", entry.service, "address",
            entry.address, "domain", entry.domain, "draining", entry.draining,
            "warmup_left_ms", (int)entry.warmup_left_ms, "row_version",
            (json_int_t)row->version);
}
