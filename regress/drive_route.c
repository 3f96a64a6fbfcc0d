/* Driver for the scripts of route: matching, versions, splits. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "regress.h"
#include "route/route.h"

#define MAX_ROUTES 512
#define MAX_SERVICES 16

typedef struct {
    FILE *out;
    CpRoute routes[MAX_ROUTES];
    uint32_t route_count;
    CpService services[MAX_SERVICES];
    uint32_t service_count;
    uint64_t version;
    CpRoutes *current;
} Script;

/* A configuration of random_access(), as plain tables. */
#define ACCESS_ROUTES 6
#define ACCESS_KEYS 6
typedef struct {
    bool has_route[ACCESS_ROUTES];
    bool is_public[ACCESS_ROUTES];
    bool needs_keys;
    int32_t org_of_key[ACCESS_KEYS]; /* -1: the key is unknown */
} AccessModel;
typedef struct {
    int32_t route;
    int32_t key; /* -1: none */
    bool is_fresh;
} AccessRequest;
typedef struct {
    uint32_t reasons[CP_REASON_COUNT];
    uint32_t served;
    uint32_t differ; /* from the twin */
    uint32_t wrong;  /* denied, though the newest configuration allows it */
} AccessCounts;
/* Some are prefixes of others. */
static const char *const access_prefixes[ACCESS_ROUTES] = {
    "/a/", "/a/b/", "/a/b/c/", "/b/", "/b/c/", "/c/"};

static void run_line(void *ctx, char *line);
static void add_route(Script *s, const char *name, const char *host,
                      const char *prefix, const char *splits);
static void apply_version(Script *s);
static void print_homes(Script *s, const char *name, const char *regions);
static void print_split(Script *s, const char *name, uint32_t times);
static void random_match(Script *s, uint64_t seed, uint32_t count);
static void random_access(Script *s, uint64_t seed, uint32_t count);
static void make_access(CpSeed *seed, const AccessModel *before,
                        AccessModel *out);
static CpRoutes *to_routes(const AccessModel *m, uint64_t version);
static void decide_again(const AccessModel *newest, const CpRoutes *r,
                         const CpRouteRequest *request, const CpOrg *decided,
                         const AccessRequest *rq, AccessCounts *out);
static void print_access(Script *s, const char *label, const AccessCounts *c);
static CpReason naive_access(const AccessModel *held, bool is_newest,
                             const AccessRequest *rq);
static bool model_matches(const AccessModel *m, const AccessRequest *rq,
                          int32_t *route, int32_t *org);
static const CpRoute *linear_match(const CpRoutes *r, const char *host,
                                   const char *path);

void
CpDrive_Route(FILE *in, FILE *out)
{
    Script *s = CpMem_Alloc(sizeof(*s));
    s->out = out;
    CpScript_Run(in, run_line, s);
    CpRoutes_Release(s->current);
    free(s);
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    char a[128], b[128], c[128], d[128];
    uint64_t seed;
    uint32_t n;
    if (sscanf(line, "service %127s", a) == 1) {
        CpStr_Copy(s->services[s->service_count++].name, CP_NAME_BYTES, a);
    }
    else if (sscanf(line, "route %127s %127s %127s %127s", a, b, c, d) == 4) {
        add_route(s, a, b, c, d);
    }
    else if (sscanf(line, "attempts %u", &n) == 1) {
        s->routes[s->route_count - 1].max_attempts = n;
    }
    else if (sscanf(line, "home %127s", a) == 1) {
        CpRoute *r = &s->routes[s->route_count - 1];
        CpStr_Copy(r->home_regions[r->home_region_count++], CP_NAME_BYTES, a);
    }
    else if (sscanf(line, "version %" SCNu64, &s->version) == 1) {
        apply_version(s);
    }
    else if (strcmp(line, "clear") == 0) {
        s->route_count = s->service_count = 0;
    }
    else if (sscanf(line, "match %127s %127s", a, b) == 2) {
        const CpRoute *r = CpRoutes_Match(s->current, a, b);
        fprintf(s->out, "%s %s: %s\n", a, b, r != NULL ? r->name : "none");
    }
    else if (sscanf(line, "may run %127s in %127s", a, b) == 2) {
        for (uint32_t i = 0; i < s->current->route_count; i++) {
            const CpRoute *r = &s->current->routes[i];
            if (strcmp(r->name, a) == 0) {
                bool may =
                    CpRegion_IsHome(r->home_regions, r->home_region_count, b);
                fprintf(s->out, "%s in %s: %s\n", a, b, may ? "yes" : "no");
            }
        }
    }
    else if (sscanf(line, "common %127s for %127s", a, b) == 2) {
        print_homes(s, a, b);
    }
    else if (sscanf(line, "host %127s in %127s", a, b) == 2) {
        fprintf(s->out, "%s in %s: %s\n", a, b,
                CpRoutes_IsHomeRegion(s->current, a, b) ? "yes" : "no");
    }
    else if (sscanf(line, "split %127s %u times", a, &n) == 2) {
        print_split(s, a, n);
    }
    else if (sscanf(line, "random match %" SCNu64 " %u", &seed, &n) == 2) {
        random_match(s, seed, n);
    }
    else if (sscanf(line, "random access %" SCNu64 " %u", &seed, &n) == 2) {
        random_access(s, seed, n);
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

/* `splits` is service:weight[,service:weight]. */
static void
add_route(Script *s, const char *name, const char *host, const char *prefix,
          const char *splits)
{
    CpRoute *r = &s->routes[s->route_count++];
    char text[128], *save = NULL;
    *r = (CpRoute){.timeout_ms = 1000, .max_attempts = 2};
    CpStr_Copy(r->name, sizeof(r->name), name);
    CpStr_Copy(r->host, sizeof(r->host), strcmp(host, "-") == 0 ? "" : host);
    CpStr_Copy(r->prefix, sizeof(r->prefix), prefix);
    CpStr_Copy(text, sizeof(text), splits);
    for (char *split = strtok_r(text, ",", &save); split != NULL;
         split = strtok_r(NULL, ",", &save)) {
        CpRouteSplit *p = &r->splits[r->split_count++];
        char *colon = strchr(split, ':');
        *colon = '\0';
        CpStr_Copy(p->service, sizeof(p->service), split);
        p->weight = (uint32_t)atoi(colon + 1);
    }
}

/* Builds a configuration from the script's routes and puts it in force if it
 * is valid and its version is higher. */
static void
apply_version(Script *s)
{
    CpRoutes *r = CpRoutes_New(s->route_count, s->service_count);
    memcpy(r->routes, s->routes, s->route_count * sizeof(*r->routes));
    memcpy(r->services, s->services, s->service_count * sizeof(*r->services));
    r->version = s->version;
    if (CpRoutes_Finalize(r) != CP_OK) {
        fprintf(s->out, "version %" PRIu64 ": %s\n", s->version,
                CpError_Message());
        CpRoutes_Release(r);
    }
    else if (!CpRoutes_Supersedes(r, s->current)) {
        fprintf(s->out, "version %" PRIu64 ": %" PRIu64 " stays\n", s->version,
                s->current->version);
        CpRoutes_Release(r);
    }
    else {
        fprintf(s->out, "version %" PRIu64 ": in force\n", s->version);
        CpRoutes_Release(s->current);
        s->current = r;
    }
}

/* `regions` is region[,region] of an organisation, or "-" for none. */
static void
print_homes(Script *s, const char *name, const char *regions)
{
    char names[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES];
    char common[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES], text[128], *save = NULL;
    const char(*homes)[CP_NAME_BYTES];
    uint32_t count;
    CpOrg org = {.home_regions = (const char(*)[CP_NAME_BYTES])names};
    CpStr_Copy(text, sizeof(text), strcmp(regions, "-") == 0 ? "" : regions);
    for (char *region = strtok_r(text, ",", &save); region != NULL;
         region = strtok_r(NULL, ",", &save)) {
        CpStr_Copy(names[org.home_region_count++], CP_NAME_BYTES, region);
    }
    for (uint32_t i = 0; i < s->current->route_count; i++) {
        const CpRoute *r = &s->current->routes[i];
        if (strcmp(r->name, name) == 0) {
            bool any = CpRoute_GetHomeRegions(r, &org, common, &homes, &count);
            fprintf(s->out, "%s for %s:", name, regions);
            for (uint32_t k = 0; k < count; k++) {
                fprintf(s->out, " %s", homes[k]);
            }
            fprintf(s->out, "%s\n", !any ? " none" : count == 0 ? " all" : "");
        }
    }
}

/* Prints each service's requests among the first `times`, and the least and
 * the most of them in any hundred. */
static void
print_split(Script *s, const char *name, uint32_t times)
{
    CpRoute *r = NULL;
    for (uint32_t i = 0; i < s->current->route_count; i++) {
        if (strcmp(s->current->routes[i].name, name) == 0) {
            r = &s->current->routes[i];
        }
    }
    if (r == NULL) {
        fprintf(s->out, "no route %s\n", name);
        return;
    }
    for (uint32_t k = 0; k < r->split_count; k++) {
        uint32_t total = 0, min = UINT32_MAX, max = 0;
        for (uint32_t from = 0; from + 100 <= times; from++) {
            uint32_t n = 0;
            for (uint32_t t = from; t < from + 100; t++) {
                n +=
                    strcmp(CpRoute_ServiceAt(r, t), r->splits[k].service) == 0;
            }
            min = n < min ? n : min;
            max = n > max ? n : max;
        }
        for (uint32_t t = 0; t < times; t++) {
            total +=
                strcmp(CpRoute_ServiceAt(r, t), r->splits[k].service) == 0;
        }
        fprintf(s->out, "%s: %u of %u, %u to %u in any 100\n",
                r->splits[k].service, total, times, min, max);
    }
}

static void
random_match(Script *s, uint64_t seed, uint32_t count)
{
    CpSeed r = {seed};
    static const char *const parts[] = {"a/", "b/", "ab/", "c/"};
    uint32_t agreed = 0, found = 0;
    s->route_count = 0;
    for (uint32_t i = 0; i < 300; i++) {
        char name[16], host[16], prefix[64] = "/";
        snprintf(name, sizeof(name), "r%u", i);
        snprintf(host, sizeof(host), "h%u", CpSeed_Below(&r, 5));
        for (uint32_t k = CpSeed_Below(&r, 4); k > 0; k--) {
            strcat(prefix, parts[CpSeed_Below(&r, 4)]);
        }
        bool duplicate = false;
        for (uint32_t k = 0; k < s->route_count; k++) {
            duplicate |= strcmp(s->routes[k].host, host) == 0 &&
                         strcmp(s->routes[k].prefix, prefix) == 0;
        }
        if (!duplicate) {
            add_route(s, name, host, prefix, "s:1");
        }
    }
    s->version = s->current != NULL ? s->current->version + 1 : 1;
    apply_version(s);
    for (uint32_t i = 0; i < count; i++) {
        char host[16], path[128] = "/";
        snprintf(host, sizeof(host), "H%u:80", CpSeed_Below(&r, 6));
        for (uint32_t k = CpSeed_Below(&r, 6); k > 0; k--) {
            strcat(path, parts[CpSeed_Below(&r, 4)]);
        }
        strcat(path, CpSeed_Below(&r, 2) ? "x?a/b/" : "");
        const CpRoute *got = CpRoutes_Match(s->current, host, path);
        agreed += got == linear_match(s->current, host, path);
        found += got != NULL;
    }
    fprintf(s->out, "seed %" PRIu64 ": %u of %u as the scan, %u matched\n",
            seed, agreed, count, found);
}

/* Reference model of CpRoutes_Match(): compares all routes. */
static const CpRoute *
linear_match(const CpRoutes *r, const char *host, const char *path)
{
    const CpRoute *best = NULL;
    size_t n = strcspn(path, "?");
    for (uint32_t i = 0; i < r->route_count; i++) {
        const CpRoute *route = &r->routes[i];
        size_t m = strlen(route->prefix);
        if (strlen(route->host) == strcspn(host, ":") &&
            strncasecmp(route->host, host, strlen(route->host)) == 0 &&
            m <= n && strncmp(route->prefix, path, m) == 0 &&
            (best == NULL || m > strlen(best->prefix))) {
            best = route;
        }
    }
    return best;
}

/* Decides random requests on hosts that hold the newest of two configurations
 * or the one before, and compares with a twin that looks through plain tables.
 * Counts decisions by reason, and denials of what the newest one allows. */
static void
random_access(Script *s, uint64_t seed_state, uint32_t count)
{
    CpSeed seed = {.state = seed_state};
    AccessCounts first = {0}, again = {0};
    AccessModel old = {0}, newest;
    for (uint32_t i = 0; i < count; i++) {
        make_access(&seed, &old, &newest);
        bool is_newest = CpSeed_Below(&seed, 2) == 0;
        const AccessModel *held = is_newest ? &newest : &old;
        CpRoutes *r = to_routes(held, i + 1);
        CpRoutes *next = to_routes(&newest, i + 2);
        for (uint32_t k = 0; k < 8; k++) {
            const AccessRequest rq = {
                .route = (int32_t)CpSeed_Below(&seed, ACCESS_ROUTES),
                .key = (int32_t)CpSeed_Below(&seed, ACCESS_KEYS + 1) - 1,
                .is_fresh = CpSeed_Below(&seed, 4) > 0};
            char target[64], key[16];
            snprintf(target, sizeof(target), "%sx?k=/none/",
                     access_prefixes[rq.route]);
            snprintf(key, sizeof(key), "key-%d", rq.key);
            const CpRouteRequest request = {.host = "A.example:80",
                                            .target = target,
                                            .key = rq.key >= 0 ? key : NULL,
                                            .is_fresh = rq.is_fresh,
                                            .may_deny = is_newest};
            CpRouteAccess access;
            CpReason reason = CpRoutes_Decide(r, &request, &access);
            int32_t route, org;
            bool denied = CpReason_HttpStatus(reason) < 500;
            first.reasons[reason]++;
            first.differ += reason != naive_access(held, is_newest, &rq);
            first.wrong += denied && model_matches(&newest, &rq, &route, &org);
            first.served += reason == CP_REASON_NONE;
            if (access.org != NULL) {
                CpRouteRequest later = request;
                later.is_fresh = CpSeed_Below(&seed, 4) > 0;
                later.may_deny = CpSeed_Below(&seed, 4) > 0;
                decide_again(&newest, next, &later, access.org, &rq, &again);
            }
        }
        CpRoutes_Release(r);
        CpRoutes_Release(next);
        old = newest;
    }
    print_access(s, "random access", &first);
    print_access(s, "  before they are sent", &again);
}

/* Decides once more on a request that was let through, and compares. */
static void
decide_again(const AccessModel *newest, const CpRoutes *r,
             const CpRouteRequest *request, const CpOrg *decided,
             const AccessRequest *rq, AccessCounts *out)
{
    int32_t route, org;
    char name[16];
    CpReason reason = CpRoutes_DecideAgain(r, request, decided);
    bool allowed = model_matches(newest, rq, &route, &org);
    snprintf(name, sizeof(name), "org-%d",
             newest->needs_keys ? newest->org_of_key[rq->key] : -1);
    bool unchanged = !newest->needs_keys || strcmp(name, decided->name) == 0;
    allowed = allowed || newest->org_of_key[rq->key] >= 0;
    CpReason naive = !request->is_fresh  ? CP_REASON_KEY_NOT_FRESH
                     : unchanged         ? CP_REASON_NONE
                     : allowed           ? CP_REASON_NOT_CURRENT
                     : request->may_deny ? CP_REASON_KEY_REJECTED
                                         : CP_REASON_NOT_CURRENT;
    out->reasons[reason]++;
    out->served += reason == CP_REASON_NONE;
    out->differ += reason != naive;
    out->wrong += reason == CP_REASON_KEY_REJECTED && allowed;
}

static void
print_access(Script *s, const char *label, const AccessCounts *c)
{
    fprintf(s->out, "%s: %u served", label, c->served);
    for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
        if (c->reasons[i] > 0) {
            fprintf(s->out, ", %u %s", c->reasons[i], CpReason_Name(i));
        }
    }
    fprintf(s->out, "; %u differ, %u denied though allowed\n", c->differ,
            c->wrong);
}

/* Changes some routes and keys of the configuration before. */
static void
make_access(CpSeed *seed, const AccessModel *before, AccessModel *out)
{
    *out = *before;
    out->needs_keys = CpSeed_Below(seed, 4) > 0;
    for (uint32_t i = 0; i < ACCESS_ROUTES; i++) {
        if (CpSeed_Below(seed, 3) == 0) {
            out->has_route[i] = CpSeed_Below(seed, 2) == 0;
            out->is_public[i] = CpSeed_Below(seed, 4) == 0;
        }
    }
    for (uint32_t i = 0; i < ACCESS_KEYS; i++) {
        if (CpSeed_Below(seed, 3) == 0) {
            out->org_of_key[i] = (int32_t)CpSeed_Below(seed, 4) - 1;
        }
    }
}

static CpRoutes *
to_routes(const AccessModel *m, uint64_t version)
{
    const CpOrgRegions regions = {0};
    CpRoutes *r = CpRoutes_New(ACCESS_ROUTES, 1);
    uint32_t n = 0;
    char text[16];
    CpStr_Copy(r->services[0].name, CP_NAME_BYTES, "s");
    for (uint32_t i = 0; i < ACCESS_ROUTES; i++) {
        if (m->has_route[i]) {
            CpRoute *route = &r->routes[n++];
            *route = (CpRoute){.timeout_ms = 1000,
                               .max_attempts = 1,
                               .is_public = m->is_public[i],
                               .split_count = 1};
            CpStr_Copy(route->host, sizeof(route->host), "a.example");
            CpStr_Copy(route->prefix, sizeof(route->prefix),
                       access_prefixes[i]);
            CpStr_Copy(route->splits[0].service, CP_NAME_BYTES, "s");
            route->splits[0].weight = 1;
        }
    }
    r->route_count = n;
    r->version = version;
    r->orgs = m->needs_keys ? CpOrgTable_New(&regions) : NULL;
    for (int32_t org = 0; m->needs_keys && org < 3; org++) {
        int bytes = snprintf(text, sizeof(text), "org-%d", org);
        const CpOrgSpec spec = {.name = text, .name_bytes = (size_t)bytes};
        CpOrgTable_Add(r->orgs, &spec);
        for (int32_t key = 0; key < ACCESS_KEYS; key++) {
            if (m->org_of_key[key] == org) {
                bytes = snprintf(text, sizeof(text), "key-%d", key);
                CpOrgTable_AddKey(r->orgs, text, (size_t)bytes);
            }
        }
    }
    if (CpRoutes_Finalize(r) != CP_OK) {
        fprintf(stderr, "%s\n", CpError_Message());
        exit(EXIT_FAILURE);
    }
    return r;
}

static CpReason
naive_access(const AccessModel *held, bool is_newest, const AccessRequest *rq)
{
    int32_t route, org;
    if (!model_matches(held, rq, &route, &org)) {
        return !is_newest  ? CP_REASON_NOT_CURRENT
               : route < 0 ? CP_REASON_NO_ROUTE
                           : CP_REASON_KEY_REJECTED;
    }
    return org >= 0 && !rq->is_fresh && !held->is_public[route]
               ? CP_REASON_KEY_NOT_FRESH
               : CP_REASON_NONE;
}

/* Returns true if the configuration allows the request; sets the route, or -1,
 * and the organisation, or -1. */
static bool
model_matches(const AccessModel *m, const AccessRequest *rq, int32_t *route,
              int32_t *org)
{
    const char *path = access_prefixes[rq->route];
    *route = *org = -1;
    for (int32_t i = 0; i < ACCESS_ROUTES; i++) {
        size_t n = strlen(access_prefixes[i]);
        if (m->has_route[i] && strncmp(path, access_prefixes[i], n) == 0 &&
            (*route < 0 || n > strlen(access_prefixes[*route]))) {
            *route = i;
        }
    }
    if (*route >= 0 && m->needs_keys && rq->key >= 0) {
        *org = m->org_of_key[rq->key];
    }
    return *route >= 0 &&
           (!m->needs_keys || *org >= 0 || m->is_public[*route]);
}
