/*
 * org: the organisations of the operator's configuration and their keys.
 * Decisions only, independent of how configurations and requests are encoded.
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

#endif
