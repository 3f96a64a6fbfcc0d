/* Whether the configuration lets a request through. */
#include <string.h>

#include "route/route.h"

/* That a configuration lacks a route or a key tells something only while it is
 * the newest one; a caller that is denied does not come back, while another
 * host may serve it. */
CpReason
CpRoutes_Decide(const CpRoutes *r, const CpRouteRequest *rq,
                CpRouteAccess *out)
{
    *out = (CpRouteAccess){0};
    if (r == NULL) {
        return CP_REASON_NOT_CONFIGURED;
    }
    out->route = CpRoutes_Match(r, rq->host, rq->target);
    if (out->route == NULL) {
        return rq->may_deny ? CP_REASON_NO_ROUTE : CP_REASON_NOT_CURRENT;
    }
    if (r->orgs == NULL) {
        return CP_REASON_NONE;
    }
    if (rq->key != NULL) {
        out->org = CpOrgTable_FindByKey(r->orgs, rq->key, strlen(rq->key));
    }
    if (out->org == NULL && !out->route->is_public) {
        return rq->may_deny ? CP_REASON_KEY_REJECTED : CP_REASON_NOT_CURRENT;
    }
    if (out->org != NULL && !rq->is_fresh) {
        out->org = NULL; /* a public route is served as without the key */
        return out->route->is_public ? CP_REASON_NONE
                                     : CP_REASON_KEY_NOT_FRESH;
    }
    return CP_REASON_NONE;
}
