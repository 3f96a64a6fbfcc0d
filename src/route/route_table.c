/* Routes by host name and longest prefix, and weighted traffic splits. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "route/route.h"

/* 2^32 over the golden ratio: consecutive multiples spread evenly. */
#define GOLDEN_STEP UINT32_C(2654435769)

struct CpRouteIndex {
    GHashTable *hosts; /* name -> GPtrArray of routes, longest prefix first */
};

static const GPtrArray *find_host(const CpRoutes *r, const char *host);
static CpStatus validate_route(const CpRoutes *r, const CpRoute *route);
static gint compare_prefix_length(gconstpointer a, gconstpointer b);
static void free_index(CpRouteIndex *index);

CpRoutes *
CpRoutes_New(uint32_t route_count, uint32_t service_count)
{
    CpRoutes *r = CpMem_Alloc(sizeof(*r));
    r->refs = 1;
    r->route_count = route_count;
    r->service_count = service_count;
    r->routes = CpMem_Alloc((route_count + 1) * sizeof(*r->routes));
    r->services = CpMem_Alloc((service_count + 1) * sizeof(*r->services));
    r->split_sequences =
        CpMem_Alloc((route_count + 1) * sizeof(*r->split_sequences));
    return r;
}

CpRoutes *
CpRoutes_Retain(CpRoutes *r)
{
    if (r != NULL) {
        CpRef_Retain(&r->refs);
    }
    return r;
}

void
CpRoutes_Release(CpRoutes *r)
{
    if (r != NULL && CpRef_Release(&r->refs)) {
        free_index(r->index);
        free(r->routes);
        free(r->services);
        free(r->split_sequences);
        CpOrgTable_Free(r->orgs);
        free(r);
    }
}

CpStatus
CpRoutes_Finalize(CpRoutes *r)
{
    if (r->version == 0) {
        return CpError_Set(CP_ERR_RANGE, "no version");
    }
    for (uint32_t i = 0; i < r->route_count; i++) {
        CpStatus st = validate_route(r, &r->routes[i]);
        if (st != CP_OK) {
            return st;
        }
    }
    r->index = CpMem_Alloc(sizeof(*r->index));
    r->index->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
    for (uint32_t i = 0; i < r->route_count; i++) {
        gchar *host = g_ascii_strdown(r->routes[i].host, -1);
        GPtrArray *list = g_hash_table_lookup(r->index->hosts, host);
        if (list == NULL) {
            list = g_ptr_array_new();
            g_hash_table_insert(r->index->hosts, g_strdup(host), list);
        }
        g_ptr_array_add(list, &r->routes[i]);
        g_free(host);
    }
    GHashTableIter it;
    void *list;
    g_hash_table_iter_init(&it, r->index->hosts);
    while (g_hash_table_iter_next(&it, NULL, &list)) {
        g_ptr_array_sort(list, compare_prefix_length);
    }
    return CP_OK;
}

bool
CpRoutes_Supersedes(const CpRoutes *next, const CpRoutes *current)
{
    return current == NULL || next->version > current->version;
}

const CpRoute *
CpRoutes_Match(const CpRoutes *r, const char *host, const char *path)
{
    size_t path_bytes = strcspn(path, "?");
    const GPtrArray *list = find_host(r, host);
    for (uint32_t i = 0; list != NULL && i < list->len; i++) {
        const CpRoute *route = g_ptr_array_index(list, i);
        size_t m = strlen(route->prefix);
        if (m <= path_bytes && strncmp(path, route->prefix, m) == 0) {
            return route;
        }
    }
    return NULL;
}

bool
CpRoutes_IsHomeRegion(const CpRoutes *r, const char *host, const char *region)
{
    const GPtrArray *list = find_host(r, host);
    for (uint32_t i = 0; list != NULL && i < list->len; i++) {
        const CpRoute *route = g_ptr_array_index(list, i);
        if (route->home_region_count > 0 &&
            CpRegion_IsHome(route->home_regions, route->home_region_count,
                            region)) {
            return true;
        }
    }
    return false;
}

bool
CpRoute_GetHomeRegions(const CpRoute *route, const CpOrg *org,
                       char out[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES],
                       const char (**regions)[CP_NAME_BYTES], uint32_t *count)
{
    uint32_t n = 0;
    *regions = route->home_regions;
    *count = route->home_region_count;
    if (org == NULL || org->home_region_count == 0) {
        return true;
    }
    if (route->home_region_count == 0) {
        *regions = org->home_regions;
        *count = org->home_region_count;
        return true;
    }
    for (uint32_t i = 0; i < route->home_region_count; i++) {
        if (CpRegion_IsHome(org->home_regions, org->home_region_count,
                            route->home_regions[i])) {
            CpStr_Copy(out[n++], CP_NAME_BYTES, route->home_regions[i]);
        }
    }
    *regions = (const char(*)[CP_NAME_BYTES])out;
    *count = n;
    return n > 0;
}

const CpService *
CpRoutes_FindService(const CpRoutes *r, const char *name)
{
    for (uint32_t i = 0; i < r->service_count; i++) {
        if (strcmp(r->services[i].name, name) == 0) {
            return &r->services[i];
        }
    }
    return NULL;
}

const char *
CpRoutes_NextService(CpRoutes *r, const CpRoute *route)
{
    uint32_t *sequence = &r->split_sequences[route - r->routes];
    return CpRoute_ServiceAt(
        route, __atomic_fetch_add(sequence, 1, __ATOMIC_RELAXED));
}

const char *
CpRoute_ServiceAt(const CpRoute *route, uint32_t sequence)
{
    uint64_t total = 0, sum = 0;
    for (uint32_t i = 0; i < route->split_count; i++) {
        total += route->splits[i].weight;
    }
    uint64_t point = ((uint64_t)(sequence * GOLDEN_STEP) * total) >> 32;
    for (uint32_t i = 0; i < route->split_count; i++) {
        sum += route->splits[i].weight;
        if (point < sum) {
            return route->splits[i].service;
        }
    }
    return route->splits[0].service;
}

/* Returns the routes of a host name with or without a port, or NULL. */
static const GPtrArray *
find_host(const CpRoutes *r, const char *host)
{
    char name[CP_ROUTE_HOST_BYTES];
    size_t n = strcspn(host, ":");
    if (n >= sizeof(name)) {
        return NULL;
    }
    for (size_t i = 0; i < n; i++) {
        name[i] = g_ascii_tolower(host[i]);
    }
    name[n] = '\0';
    return g_hash_table_lookup(r->index->hosts, name);
}

static CpStatus
validate_route(const CpRoutes *r, const CpRoute *route)
{
    uint64_t total = 0;
    size_t n = strlen(route->prefix);
    if (route->host[0] == '\0') {
        return CpError_Set(CP_ERR_RANGE, "route %s: no host name",
                           route->name);
    }
    if (n == 0 || route->prefix[0] != '/' || route->prefix[n - 1] != '/') {
        return CpError_Set(CP_ERR_RANGE,
                           "route %s: prefix \"%s\" must begin and end with "
                           "a slash",
                           route->name, route->prefix);
    }
    if (route->timeout_ms == 0 || route->max_attempts == 0) {
        return CpError_Set(CP_ERR_RANGE,
                           "route %s: timeout and attempts must be positive",
                           route->name);
    }
    for (uint32_t i = 0; i < route->split_count; i++) {
        total += route->splits[i].weight;
        if (CpRoutes_FindService(r, route->splits[i].service) == NULL) {
            return CpError_Set(CP_ERR_RANGE, "route %s: unknown service %s",
                               route->name, route->splits[i].service);
        }
    }
    if (total == 0) {
        return CpError_Set(CP_ERR_RANGE, "route %s: no service with a weight",
                           route->name);
    }
    return CP_OK;
}

static gint
compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const CpRoute *x = *(const CpRoute *const *)a;
    const CpRoute *y = *(const CpRoute *const *)b;
    size_t m = strlen(x->prefix), n = strlen(y->prefix);
    return m > n ? -1 : m < n;
}

static void
free_index(CpRouteIndex *index)
{
    if (index != NULL) {
        g_hash_table_destroy(index->hosts);
        free(index);
    }
}
