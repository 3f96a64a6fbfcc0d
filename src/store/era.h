/*
 * era: which rows count after the store was restored from a copy. Versions are
 * compared within one era only. A host compares each row of a new era with the
 * row that it holds, and decides what to do with rows that it holds and that
 * are missing there. Decisions only, independent of how rows are encoded.
 */
#ifndef CP_ERA_H
#define CP_ERA_H

#include "base/base.h"

typedef enum {
    CP_ERA_OTHER = 0,
    CP_ERA_CONFIG,
    CP_ERA_EVACUATION,
    CP_ERA_SERVER,
    CP_ERA_HOST
} CpEraKind;

typedef struct {
    CpTableVersion version;
    bool deleted;
    /* The rest is of the value; of a removed row, of its last one. */
    int64_t started_ms; /* of a server */
    /* of a server: number of its report; of a configuration: its version; of a
     * host: identifies the process; 0: not known */
    uint64_t sequence;
    bool unusable;  /* a configuration that cannot be decoded */
    bool held_over; /* of a held row: not known to be in the store */
} CpEraRow;

typedef enum {
    CP_ERA_TAKE = 0, /* the row replaces the held one */
    CP_ERA_KEEP,     /* the held value stays, as of the row's version */
    CP_ERA_GONE,     /* the row counts as removed, as of its version */
    CP_ERA_IGNORE    /* nothing changes */
} CpEraDecision;

/* Decides on a row that was read; `held` is NULL if none is held. */
CpEraDecision CpEra_OnRow(CpEraKind kind, const CpEraRow *held,
                          const CpEraRow *row);
/* Decides on a held row, not a removed one, that a list of all rows as of
 * `listed` lacks: KEEP or GONE. */
CpEraDecision CpEra_OnMissing(CpEraKind kind, const CpEraRow *held,
                              const CpTableVersion *listed);
/* Returns true if a row that was held over for so long is given up. */
bool CpEra_IsGivenUp(CpEraKind kind, int64_t held_over_ns);
/* Returns how long a host waits until it writes its lost row again; `position`
 * is its place in the order of all hosts. */
int64_t CpEra_WriteDelay_ns(uint32_t position);

/* What a host knows about the newest configuration. */
typedef struct {
    bool rejected;          /* the newest one that was read is unusable */
    uint64_t in_force;      /* its version; 0: none */
    uint64_t highest_known; /* that another host has in force */
    int64_t era_since_ns;   /* first read of the table in a later era; 0: the
                               first one */
    bool others_asked;      /* another host answered, or this one has run since
                               before the era */
} CpEraConfig;
/* Returns true if the store and other hosts may confirm that the configuration
 * in force is the newest one. */
bool CpEra_MayConfirm(const CpEraConfig *c, int64_t now_ns);

#endif
