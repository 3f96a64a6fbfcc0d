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

/* Only what depends on the key is looked at again: a route that was changed
 * since applies to later requests. */
CpReason
CpRoutes_DecideAgain(const CpRoutes *r, const CpRouteRequest *rq,
                     const CpOrg *decided)
{
    if (!rq->is_fresh) {
        return CP_REASON_KEY_NOT_FRESH;
    }
    if (r->orgs == NULL) {
        return CP_REASON_NONE;
    }
    const CpOrg *org = CpOrgTable_FindByKey(r->orgs, rq->key, strlen(rq->key));
    if (org != NULL && strcmp(org->name, decided->name) == 0) {
        return CP_REASON_NONE;
    }
    const CpRoute *route = CpRoutes_Match(r, rq->host, rq->target);
    bool is_allowed = org != NULL || (route != NULL && route->is_public);
    return is_allowed || !rq->may_deny ? CP_REASON_NOT_CURRENT
                                       : CP_REASON_KEY_REJECTED;
}
