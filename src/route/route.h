/*
 * route: matches requests to the routes and services of the operator's
 * configuration. Decisions only, independent of how requests and
 * configurations are encoded.
 */
#ifndef CP_ROUTE_H
#define CP_ROUTE_H

#include "base/base.h"
#include "org/org.h"

#define CP_ROUTE_HOST_BYTES 256   /* longest host name with NUL */
#define CP_ROUTE_PREFIX_BYTES 512 /* longest prefix with NUL */
#define CP_ROUTE_MAX_SPLITS 16
#define CP_ROUTE_MAX_HOMES 8

/* A service that a route sends to, and its weight among the splits. */
typedef struct {
    char service[CP_NAME_BYTES];
    uint32_t weight;
} CpRouteSplit;

typedef struct {
    char name[CP_NAME_BYTES];
    char host[CP_ROUTE_HOST_BYTES];
    char prefix[CP_ROUTE_PREFIX_BYTES]; /* begins and ends with a slash */
    bool idempotent;                    /* may run more than once */
    bool type_unknown;                  /* and therefore not idempotent */
    bool affinity;                      /* servers cache objects */
    bool is_public;                     /* requests need no key */
    uint32_t timeout_ms;                /* longest time to a response */
    uint32_t goal_ms;                   /* latency goal of a response */
    uint32_t rank;                      /* 0 is the most urgent */
    uint32_t max_attempts;              /* including the first */
    uint32_t split_count;
    CpRouteSplit splits[CP_ROUTE_MAX_SPLITS];
    uint32_t home_region_count; /* regions it may run in; 0: all */
    char home_regions[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES];
} CpRoute;

#define CP_HEALTH_PATH_BYTES 128

/* A group of backend servers that serve the same routes. */
typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t max_connections; /* to one server, from all callers */
    uint32_t warmup_ms;       /* time after its start that a server is cold */
    uint32_t warmup_per_s_milli; /* requests/s that a cold server can take */
    char health_path[CP_HEALTH_PATH_BYTES]; /* of its servers; "": none */
} CpService;

/* Size limits and timeouts of callers' requests. */
typedef struct {
    uint32_t max_header_bytes;
    uint64_t max_body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} CpRouteLimits;

/* A configuration of routes; shared by threads after CpRoutes_Finalize(). */
typedef struct CpRouteIndex CpRouteIndex;
typedef struct {
    uint32_t refs; /* atomic */
    uint64_t version;
    CpRoute *routes;
    uint32_t route_count;
    CpService *services;
    uint32_t service_count;
    CpRouteLimits limits;
    CpOrgTable *orgs;          /* NULL: requests need no key */
    CpRouteIndex *index;       /* by host name; made by CpRoutes_Finalize() */
    uint32_t *split_sequences; /* [route]: requests that were split; atomic */
} CpRoutes;

CpRoutes *CpRoutes_New(uint32_t route_count, uint32_t service_count);
CpRoutes *CpRoutes_Retain(CpRoutes *r);
/* Frees it with the last reference; NULL is allowed. */
void CpRoutes_Release(CpRoutes *r);
/* Checks the rules across fields and builds the index. Returns CP_ERR_RANGE,
 * with a message that names the route, if a rule is broken. */
CpStatus CpRoutes_Finalize(CpRoutes *r);
/* Returns true if `next` may replace `current` (NULL: none yet): its version
 * must be higher. */
bool CpRoutes_Supersedes(const CpRoutes *next, const CpRoutes *current);
/* Returns the route with the longest matching prefix, or NULL. A port in
 * `host` and a query in `path` are ignored. */
const CpRoute *CpRoutes_Match(const CpRoutes *r, const char *host,
                              const char *path);
/* A request as far as the configuration decides on it, and what is known of
 * that configuration. */
typedef struct {
    const char *host;
    const char *target;
    const char *key; /* NULL: none, or not exactly one */
    bool is_fresh;   /* a key in it may be taken for valid */
    bool may_deny;   /* it is the newest one, as far as is known */
} CpRouteRequest;
typedef struct {
    const CpRoute *route; /* NULL: none */
    const CpOrg *org;     /* of a valid key; NULL: none */
} CpRouteAccess;
/* Decides whether a request is let through; CP_REASON_NONE: it is. `r` may be
 * NULL. */
CpReason CpRoutes_Decide(const CpRoutes *r, const CpRouteRequest *rq,
                         CpRouteAccess *out);
/* Decides whether a request that was let through for an organisation may still
 * be sent for it. One that is now allowed in another way is refused, so that
 * its caller sends it again. */
CpReason CpRoutes_DecideAgain(const CpRoutes *r, const CpRouteRequest *rq,
                              const CpOrg *decided);
/* Returns true if a route of the host name has the region as a home. */
bool CpRoutes_IsHomeRegion(const CpRoutes *r, const char *host,
                           const char *region);
/* Sets the regions where requests of an organisation (NULL: none) may run on
 * the route: those that are homes of both. *count 0: all. Returns false if
 * there is none. */
bool CpRoute_GetHomeRegions(const CpRoute *route, const CpOrg *org,
                            char out[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES],
                            const char (**regions)[CP_NAME_BYTES],
                            uint32_t *count);
const CpService *CpRoutes_FindService(const CpRoutes *r, const char *name);
/* Returns the service of the route's next request. Any run of consecutive
 * requests is split by the weights with a small error for each service: at
 * most two in any hundred requests for the routes of
 * regress/route/table.in. */
const char *CpRoutes_NextService(CpRoutes *r, const CpRoute *route);
/* Returns the service of the route's request number `sequence`. */
const char *CpRoute_ServiceAt(const CpRoute *route, uint32_t sequence);

#endif
