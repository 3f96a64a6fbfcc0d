/*
 * route: which route a request takes and to which service it goes, as the
 * operator's configuration tells. Decisions only: nothing here knows how a
 * request or a configuration is encoded.
 */
#ifndef CP_ROUTE_H
#define CP_ROUTE_H

#include "base/base.h"

#define CP_ROUTE_HOST_BYTES 256   /* longest host name with NUL */
#define CP_ROUTE_PREFIX_BYTES 512 /* longest prefix with NUL */
#define CP_ROUTE_MAX_SPLITS 16
#define CP_ROUTE_MAX_HOMES 8

/* One service that a route sends to, and its part of the requests. */
typedef struct {
    char service[CP_NAME_BYTES];
    uint32_t weight;
} CpRouteSplit;

typedef struct {
    char name[CP_NAME_BYTES];
    char host[CP_ROUTE_HOST_BYTES];
    char prefix[CP_ROUTE_PREFIX_BYTES]; /* begins and ends with a slash */
    bool idempotent;                    /* may run more than once */
    bool affinity;                      /* servers remember objects */
    uint32_t timeout_ms;                /* longest time to keep it waiting */
    uint32_t goal_ms;                   /* answered within this, it is good */
    uint32_t rank;                      /* 0 is the most urgent */
    uint32_t max_attempts;              /* servers that it may be sent to */
    uint32_t split_count;
    CpRouteSplit splits[CP_ROUTE_MAX_SPLITS];
    uint32_t home_region_count; /* regions it may run in; 0: all */
    char home_regions[CP_ROUTE_MAX_HOMES][CP_NAME_BYTES];
} CpRoute;

/* A group of backend servers that serve the same routes. */
typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t max_connections;    /* of one server, from all callers */
    uint32_t warmup_ms;          /* a server is cold so long after a start */
    uint32_t warmup_per_s_milli; /* requests that a cold server stands */
} CpService;

/* What a caller may send and how long it may take. */
typedef struct {
    uint32_t max_header_bytes;
    uint64_t max_body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} CpRouteLimits;

/* A configuration of routes. Shared by threads once it is built. */
typedef struct CpRouteIndex CpRouteIndex;
typedef struct {
    uint32_t refs;
    uint64_t version;
    CpRoute *routes;
    uint32_t route_count;
    CpService *services;
    uint32_t service_count;
    CpRouteLimits limits;
    CpRouteIndex *index;       /* by host name; made by CpRoutes_Finalize() */
    uint32_t *split_sequences; /* [route]: requests that were split; atomic */
} CpRoutes;

CpRoutes *CpRoutes_New(uint32_t route_count, uint32_t service_count);
CpRoutes *CpRoutes_Retain(CpRoutes *r);
/* Frees it with the last reference; NULL is allowed. */
void CpRoutes_Release(CpRoutes *r);
/* Checks what goes across fields and builds the index. CP_ERR_RANGE with a
 * message that names the route. */
CpStatus CpRoutes_Finalize(CpRoutes *r);
/* Whether `next` may follow `now` (NULL: none yet): versions only grow. */
bool CpRoutes_Supersedes(const CpRoutes *next, const CpRoutes *now);
/* The route of the longest prefix for a host name, without its port, and a
 * path with or without a query; NULL if there is none. */
const CpRoute *CpRoutes_Match(const CpRoutes *r, const char *host,
                              const char *path);
const CpService *CpRoutes_FindService(const CpRoutes *r, const char *name);
/* The service of the route's next request. Any run of consecutive requests
 * is split as the weights tell, to within one request a service. */
const char *CpRoutes_NextService(CpRoutes *r, const CpRoute *route);
/* The same for a given turn. */
const char *CpRoute_ServiceAt(const CpRoute *route, uint32_t turn);

#endif
