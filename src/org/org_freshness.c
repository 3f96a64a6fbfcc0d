/* Freshness of this host's copy of the operator's table. */
#include <stdlib.h>

#include "org/org.h"

/* The hosts' and callers' clocks may run at different rates; NTP slews by at
 * most 0.05%. */
#define CLOCK_MARGIN_PERCENT 1
/* The first watching host's calls wait this part of the bound at most: a
 * confirmation is up to twice as old when the next one arrives, and other
 * hosts' queries and a failed call have to fit in the rest. */
#define FIRST_WAIT_DIVISOR 4
/* The same part of the bound for denials. It leaves no time for a failed call:
 * then a request is refused, and its caller tries another host. */
#define DENIAL_WAIT_DIVISOR 3
/* Of a call that is to return soon, without rows. */
#define PROBE_WAIT_MS 100
#define ASK_INTERVAL_NS (1000 * CP_NS_PER_MS)
#define SOON_ASK_INTERVAL_NS (250 * CP_NS_PER_MS) /* a tick */
#define TICK_SLACK_NS (50 * CP_NS_PER_MS)
/* Parts of the bound after which a confirmation is looked for more often, from
 * more hosts, and from the store by all hosts that follow it. */
#define SOON_PERCENT 50
#define SEVERAL_PERCENT 60
#define DUE_PERCENT 65

struct CpFreshness {
    int64_t key_bound_ns;    /* 0: none */
    int64_t denial_bound_ns; /* 0: none */
    uint64_t incarnation;
    int64_t started_ns;
    pthread_mutex_t lock; /* guards all below */
    bool has_keys;
    bool in_force;
    bool probes; /* the next call to the store is a short one */
    CpTableVersion held;
    CpTableVersion known;  /* the highest that another host holds */
    int64_t confirmed_ns;  /* INT64_MIN: never */
    int64_t from_store_ns; /* the last confirmation by the store itself */
    int64_t asked_ns;      /* INT64_MIN: never */
};

static int64_t age_ns(const CpFreshness *f, int64_t now_ns);
static bool is_needed_for_keys(const CpFreshness *f);
static int64_t shortest_bound_ns(const CpFreshness *f);
static int64_t longest_bound_ns(const CpFreshness *f);
static void confirm(CpFreshness *f, int64_t at_ns);

CpFreshness *
CpFreshness_New(const CpFreshnessOptions *o, int64_t now_ns)
{
    CpFreshness *f = CpMem_Alloc(sizeof(*f));
    f->key_bound_ns = o->bound_ms * CP_NS_PER_MS;
    f->denial_bound_ns = o->denial_bound_ms * CP_NS_PER_MS;
    f->incarnation = o->incarnation;
    f->started_ns = now_ns;
    f->in_force = true;
    f->confirmed_ns = f->from_store_ns = f->asked_ns = INT64_MIN;
    pthread_mutex_init(&f->lock, NULL);
    return f;
}

void
CpFreshness_Free(CpFreshness *f)
{
    if (f != NULL) {
        pthread_mutex_destroy(&f->lock);
        free(f);
    }
}

void
CpFreshness_SetHasKeys(CpFreshness *f, bool has_keys)
{
    pthread_mutex_lock(&f->lock);
    f->has_keys = has_keys;
    pthread_mutex_unlock(&f->lock);
}

void
CpFreshness_SetInForce(CpFreshness *f, bool in_force)
{
    pthread_mutex_lock(&f->lock);
    f->in_force = in_force;
    pthread_mutex_unlock(&f->lock);
}

void
CpFreshness_OnHeld(CpFreshness *f, const CpTableVersion *held)
{
    pthread_mutex_lock(&f->lock);
    if (!CpTableVersion_IsLater(&f->held, held)) {
        f->held = *held;
    }
    pthread_mutex_unlock(&f->lock);
}

void
CpFreshness_OnKnown(CpFreshness *f, const CpTableVersion *known)
{
    pthread_mutex_lock(&f->lock);
    if (!CpTableVersion_IsLater(&f->known, known)) {
        f->known = *known;
    }
    pthread_mutex_unlock(&f->lock);
}

bool
CpFreshness_OnNothingNewer(CpFreshness *f, const CpTableVersion *version,
                           int64_t sent_ns)
{
    pthread_mutex_lock(&f->lock);
    f->probes = false;
    bool counts = f->in_force && !CpTableVersion_IsLater(&f->held, version) &&
                  !CpTableVersion_IsLater(&f->known, version);
    if (counts) {
        f->held = *version;
        confirm(f, sent_ns);
        f->from_store_ns = f->confirmed_ns;
    }
    pthread_mutex_unlock(&f->lock);
    return counts;
}

void
CpFreshness_OnUnconfirmedRead(CpFreshness *f)
{
    pthread_mutex_lock(&f->lock);
    f->probes = true;
    pthread_mutex_unlock(&f->lock);
}

/* For keys each follower looks for a confirmation soon after a change; for
 * denials that is the first watching host's part, until it fails to. */
uint32_t
CpFreshness_Wait_ms(CpFreshness *f, uint32_t wait_ms, bool is_first,
                    int64_t now_ns)
{
    uint32_t limit_ms = UINT32_MAX;
    pthread_mutex_lock(&f->lock);
    bool for_keys = is_needed_for_keys(f);
    bool for_denials = f->denial_bound_ns > 0 &&
                       (is_first || age_ns(f, now_ns) > f->denial_bound_ns);
    if (f->probes && (for_keys || for_denials)) {
        limit_ms = PROBE_WAIT_MS;
    }
    else if (is_first) {
        if (for_keys) {
            limit_ms = (uint32_t)(f->key_bound_ns / CP_NS_PER_MS /
                                  FIRST_WAIT_DIVISOR);
        }
        if (for_denials &&
            f->denial_bound_ns / CP_NS_PER_MS / DENIAL_WAIT_DIVISOR <
                limit_ms) {
            limit_ms = (uint32_t)(f->denial_bound_ns / CP_NS_PER_MS /
                                  DENIAL_WAIT_DIVISOR);
        }
    }
    pthread_mutex_unlock(&f->lock);
    return wait_ms < limit_ms ? wait_ms : limit_ms;
}

bool
CpFreshness_IsDue(CpFreshness *f, int64_t now_ns)
{
    pthread_mutex_lock(&f->lock);
    int64_t age = age_ns(f, now_ns);
    bool due =
        (is_needed_for_keys(f) && age > f->key_bound_ns * DUE_PERCENT / 100) ||
        (f->denial_bound_ns > 0 && age > f->denial_bound_ns);
    pthread_mutex_unlock(&f->lock);
    return due;
}

/* The store itself has confirmed the copy of a first watching host; it asks
 * others only when that stops. Long after the copy was last fresh, asking
 * often is of no use. */
CpFreshnessAsk
CpFreshness_Ask(CpFreshness *f, int64_t now_ns, CpFreshnessQuery *query)
{
    CpFreshnessAsk ask = CP_ASK_NONE;
    pthread_mutex_lock(&f->lock);
    int64_t bound_ns = shortest_bound_ns(f);
    int64_t age = age_ns(f, now_ns), soon_ns = bound_ns * SOON_PERCENT / 100;
    int64_t lost_ns = age != INT64_MAX ? age : now_ns - f->started_ns;
    bool by_store = f->from_store_ns == f->confirmed_ns && age <= soon_ns;
    int64_t interval_ns = age <= soon_ns || lost_ns > 2 * bound_ns
                              ? ASK_INTERVAL_NS
                              : SOON_ASK_INTERVAL_NS;
    if (bound_ns > 0 && !by_store &&
        (f->asked_ns == INT64_MIN ||
         now_ns - f->asked_ns >= interval_ns - TICK_SLACK_NS)) {
        ask = age > bound_ns * SEVERAL_PERCENT / 100 ? CP_ASK_SEVERAL
                                                     : CP_ASK_ONE;
        f->asked_ns = now_ns;
        *query = (CpFreshnessQuery){.incarnation = f->incarnation,
                                    .sent_ns = now_ns};
    }
    pthread_mutex_unlock(&f->lock);
    return ask;
}

bool
CpFreshness_Reply(CpFreshness *f, const CpFreshnessQuery *query,
                  const CpTableVersion *held, int64_t now_ns,
                  CpFreshnessReply *out)
{
    pthread_mutex_lock(&f->lock);
    int64_t age = age_ns(f, now_ns);
    bool useful =
        age <= longest_bound_ns(f) && f->in_force && held->version > 0;
    *out = (CpFreshnessReply){
        .query = *query, .age_ns = useful ? age : 0, .version = *held};
    pthread_mutex_unlock(&f->lock);
    return useful;
}

/* The echo shows that the reply is one to a query of this process, and when
 * that was sent at the latest. */
bool
CpFreshness_OnReply(CpFreshness *f, const CpFreshnessReply *reply,
                    int64_t now_ns)
{
    pthread_mutex_lock(&f->lock);
    const CpTableVersion *version = &reply->version;
    bool counts = f->in_force && version->version > 0 &&
                  version->era == f->held.era &&
                  version->version <= f->held.version &&
                  reply->query.incarnation == f->incarnation &&
                  reply->query.sent_ns <= now_ns && reply->age_ns >= 0 &&
                  reply->age_ns <= longest_bound_ns(f);
    if (counts) {
        confirm(f, reply->query.sent_ns - reply->age_ns);
    }
    pthread_mutex_unlock(&f->lock);
    return counts;
}

bool
CpFreshness_IsFresh(CpFreshness *f, int64_t now_ns)
{
    pthread_mutex_lock(&f->lock);
    int64_t limit_ns = f->key_bound_ns * (100 - CLOCK_MARGIN_PERCENT) / 100;
    bool fresh = f->key_bound_ns == 0 || age_ns(f, now_ns) <= limit_ns;
    pthread_mutex_unlock(&f->lock);
    return fresh;
}

bool
CpFreshness_MayDeny(CpFreshness *f, int64_t now_ns)
{
    pthread_mutex_lock(&f->lock);
    bool may = f->denial_bound_ns == 0 ||
               (f->in_force && !CpTableVersion_IsLater(&f->known, &f->held) &&
                age_ns(f, now_ns) <= f->denial_bound_ns);
    pthread_mutex_unlock(&f->lock);
    return may;
}

int64_t
CpFreshness_Age_ns(CpFreshness *f, int64_t now_ns)
{
    pthread_mutex_lock(&f->lock);
    int64_t age = age_ns(f, now_ns);
    pthread_mutex_unlock(&f->lock);
    return age == INT64_MAX ? -1 : age;
}

static int64_t
age_ns(const CpFreshness *f, int64_t now_ns)
{
    return f->confirmed_ns == INT64_MIN ? INT64_MAX : now_ns - f->confirmed_ns;
}

static bool
is_needed_for_keys(const CpFreshness *f)
{
    return f->key_bound_ns > 0 && f->has_keys;
}

/* Of the bounds that confirmations are needed for; 0: none. */
static int64_t
shortest_bound_ns(const CpFreshness *f)
{
    int64_t key_ns = is_needed_for_keys(f) ? f->key_bound_ns : 0;
    return key_ns == 0 ||
                   (f->denial_bound_ns > 0 && f->denial_bound_ns < key_ns)
               ? f->denial_bound_ns
               : key_ns;
}

static int64_t
longest_bound_ns(const CpFreshness *f)
{
    return f->key_bound_ns > f->denial_bound_ns ? f->key_bound_ns
                                                : f->denial_bound_ns;
}

static void
confirm(CpFreshness *f, int64_t at_ns)
{
    f->confirmed_ns = at_ns > f->confirmed_ns ? at_ns : f->confirmed_ns;
}
