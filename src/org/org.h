/*
 * org: the organisations of the operator's configuration, their keys, and how
 * fresh this host's copy of the configuration is. Decisions only, independent
 * of how configurations, requests and datagrams are encoded.
 */
#ifndef CP_ORG_H
#define CP_ORG_H

#include "base/base.h"

typedef struct {
    char name[CP_NAME_BYTES];
    bool has_rank;
    uint32_t rank;              /* takes precedence over that of the route */
    uint32_t rate_milli;        /* requests/s, in thousandths; 0: no limit */
    uint32_t burst;             /* requests; 0: no limit */
    uint32_t home_region_count; /* regions its requests may run in; 0: all */
    const char (*home_regions)[CP_NAME_BYTES];
} CpOrg;

/* Why an organisation or a key of it is left out. */
typedef enum {
    CP_ORG_FLAW_NONE = 0,
    /* the organisation is left out, its keys are unknown */
    CP_ORG_FLAW_NAME,     /* missing, too long, or not fit for a header */
    CP_ORG_FLAW_REPEATED, /* an earlier organisation has the name */
    CP_ORG_FLAW_LIMITS,   /* the rate or burst is negative or no number */
    CP_ORG_FLAW_HOMES,    /* no list of known regions */
    /* only the value or the key is ignored */
    CP_ORG_FLAW_RANK,       /* not a number from 0 */
    CP_ORG_FLAW_KEYS,       /* not a list */
    CP_ORG_FLAW_KEY,        /* empty or not a string */
    CP_ORG_FLAW_SHARED_KEY, /* another organisation has it, too */
    CP_ORG_FLAW_COUNT
} CpOrgFlaw;

/* One kind of flaw of one organisation. It names no key. */
typedef struct {
    CpOrgFlaw flaw;
    uint32_t position;         /* of the organisation in the configuration */
    char org[CP_NAME_BYTES];   /* "": it has no usable name */
    char other[CP_NAME_BYTES]; /* of a shared key: who claimed it first */
    uint32_t count;            /* how often, for keys */
} CpOrgProblem;

/* The regions that exist; with a count of 0 any name is accepted. */
typedef struct {
    const char *const *names;
    uint32_t count;
} CpOrgRegions;

/* What the configuration has about one organisation. */
typedef struct {
    uint32_t position; /* for messages */
    const char *name;  /* NULL: none */
    size_t name_bytes; /* may contain any byte */
    bool has_bad_limits;
    bool has_bad_rank;
    bool has_bad_homes; /* not a list of strings */
    bool has_bad_keys;  /* not a list */
    bool has_rank;
    uint32_t rank;
    uint32_t rate_milli;
    uint32_t burst;
    const char *const *home_regions;
    uint32_t home_region_count;
} CpOrgSpec;

/* The organisations and their keys; shared by threads once it is built. */
typedef struct CpOrgTable CpOrgTable;

CpOrgTable *CpOrgTable_New(const CpOrgRegions *regions);
/* Frees it; NULL is allowed. */
void CpOrgTable_Free(CpOrgTable *t);
/* Adds an organisation; returns false if it is left out. */
bool CpOrgTable_Add(CpOrgTable *t, const CpOrgSpec *spec);
/* Adds a key of the organisation added last; NULL: not a string. */
void CpOrgTable_AddKey(CpOrgTable *t, const char *key, size_t key_bytes);

/* Returns the organisation that the key belongs to, or NULL. */
const CpOrg *CpOrgTable_FindByKey(const CpOrgTable *t, const char *key,
                                  size_t key_bytes);
/* Returns the organisation, or NULL. */
const CpOrg *CpOrgTable_FindByName(const CpOrgTable *t, const char *name);
uint32_t CpOrgTable_Count(const CpOrgTable *t);
const CpOrg *CpOrgTable_Get(const CpOrgTable *t, uint32_t index);
/* Counts the keys that belong to one organisation. */
uint32_t CpOrgTable_CountKeys(const CpOrgTable *t);
uint32_t CpOrgTable_CountProblems(const CpOrgTable *t);
const CpOrgProblem *CpOrgTable_GetProblem(const CpOrgTable *t, uint32_t index);
/* Returns the word for a flaw in log lines. */
const char *CpOrgFlaw_Name(CpOrgFlaw flaw);

/* Decides how fresh this host's copy of the operator's table is: how long ago
 * it is known to have been the newest one. All times are CLOCK_BOOTTIME of
 * this host, which includes time spent suspended. A confirmation counts from
 * when its call or query was sent, so that no delay makes it look fresher.
 * Threads may share it. */
typedef struct CpFreshness CpFreshness;
typedef struct {
    uint32_t bound_ms;        /* 0: requests need no fresh copy */
    uint32_t denial_bound_ms; /* 0: a request is denied whatever is known */
    uint64_t incarnation;     /* of this process, in its queries */
} CpFreshnessOptions;

/* The contents of a datagram, to and from another host. */
typedef struct {
    uint64_t incarnation;
    int64_t sent_ns; /* the asking host's clock */
} CpFreshnessQuery;
typedef struct {
    CpFreshnessQuery query; /* repeated */
    int64_t age_ns;         /* of the replier's confirmation */
    CpTableVersion version; /* that the replier holds */
} CpFreshnessReply;

/* Whom to ask now. */
typedef enum {
    CP_ASK_NONE = 0,
    CP_ASK_ONE,    /* the first watching host */
    CP_ASK_SEVERAL /* also the next one, and one of another domain */
} CpFreshnessAsk;

CpFreshness *CpFreshness_New(const CpFreshnessOptions *o, int64_t now_ns);
void CpFreshness_Free(CpFreshness *f);
/* Sets whether the configuration in force has keys. */
void CpFreshness_SetHasKeys(CpFreshness *f, bool has_keys);
/* Sets whether the newest configuration that was read is in force. One that is
 * invalid may have withdrawn a key, so that nothing confirms the older one. */
void CpFreshness_SetInForce(CpFreshness *f, bool in_force);
/* The table was read up to this version, and its rows are applied. */
void CpFreshness_OnHeld(CpFreshness *f, const CpTableVersion *held);
/* Another host has read the table up to this version. */
void CpFreshness_OnKnown(CpFreshness *f, const CpTableVersion *known);
/* A call to the store that was sent at `sent_ns` returned no row after the
 * held ones, as of this version. Returns true if it confirms the copy. */
bool CpFreshness_OnNothingNewer(CpFreshness *f, const CpTableVersion *version,
                                int64_t sent_ns);
/* A call to the store returned rows, or was ended early: the next one should
 * be short, as only one without rows confirms the copy. */
void CpFreshness_OnUnconfirmedRead(CpFreshness *f);
/* Returns the longest wait of the next call for changes; `wait_ms` is that
 * without a bound, `is_first` that this is the first watching host. */
uint32_t CpFreshness_Wait_ms(CpFreshness *f, uint32_t wait_ms, bool is_first,
                             int64_t now_ns);
/* Returns true if a call for changes that waits should be ended, as its
 * confirmation would come too late. */
bool CpFreshness_IsDue(CpFreshness *f, int64_t now_ns);
/* Decides whom to ask; the caller then sends `query` to them. */
CpFreshnessAsk CpFreshness_Ask(CpFreshness *f, int64_t now_ns,
                               CpFreshnessQuery *query);
/* Fills in the reply to a query; returns false if this host has nothing to
 * say. */
bool CpFreshness_Reply(CpFreshness *f, const CpFreshnessQuery *query,
                       const CpTableVersion *held, int64_t now_ns,
                       CpFreshnessReply *out);
/* Returns true if the reply confirms the copy. */
bool CpFreshness_OnReply(CpFreshness *f, const CpFreshnessReply *reply,
                         int64_t now_ns);
/* Returns true if requests with keys may be served. To decide on a request,
 * call it before the configuration is looked at: one that comes into force
 * later is newer than what was confirmed. */
bool CpFreshness_IsFresh(CpFreshness *f, int64_t now_ns);
/* Returns true if a request may be denied for what the configuration lacks:
 * the copy is not known to be outdated, and was confirmed within the bound for
 * denials. As with CpFreshness_IsFresh(), call it before the configuration is
 * looked at. */
bool CpFreshness_MayDeny(CpFreshness *f, int64_t now_ns);
/* Returns the age of the last confirmation; -1: none. */
int64_t CpFreshness_Age_ns(CpFreshness *f, int64_t now_ns);

#endif
