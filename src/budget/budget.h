/*
 * budget: the memory that a host may hold for callers and servers, and which
 * connection is closed when that is used up. Decisions only: nothing here
 * allocates what is counted, and the caller passes the time.
 *
 * A budget is shared by all threads. Each thread that serves connections has a
 * group, with an account for each of its connections.
 */
#ifndef CP_BUDGET_H
#define CP_BUDGET_H

#include "base/base.h"

/* A connection that has moved less since its last progress has made none, or
 * single bytes would keep it. */
#define CP_BUDGET_PROGRESS_BYTES 512

/* What memory is reserved for. */
typedef enum {
    CP_BUDGET_SMALL = 0, /* connections, heads, small bodies */
    CP_BUDGET_LARGE,     /* may not use the part that is kept for small ones */
    CP_BUDGET_FORCED     /* held already, or needed to end what was begun */
} CpBudgetUse;

typedef struct CpBudget CpBudget;
typedef struct CpBudgetGroup CpBudgetGroup;

/* One connection of a caller, and what is held for it. Owned by its group's
 * thread. */
typedef struct CpBudgetAccount {
    CpBudgetGroup *group; /* NULL: not open */
    uint64_t held_bytes;
    int64_t progress_ns; /* when it last made progress */
    uint32_t moved_bytes;
    bool waits_for_caller;        /* is in the group's list */
    struct CpBudgetAccount *next; /* made progress later */
    struct CpBudgetAccount *prev;
    void *ctx;
} CpBudgetAccount;

/* Returns the budget for a process that may use `memory_limit_mb`: the part
 * that the process itself does not need. 0: no limit. */
uint64_t CpBudget_SizeFor_bytes(uint32_t memory_limit_mb);
/* A budget of 0 bytes has no limit; it only counts. The limit of connections
 * holds over all groups. */
CpBudget *CpBudget_New(uint64_t size_bytes, uint32_t max_accounts);
void CpBudget_Free(CpBudget *b);
bool CpBudget_IsLimited(const CpBudget *b);
uint64_t CpBudget_Held_bytes(const CpBudget *b);
/* Returns true if little is left, so that connections without progress are
 * closed before others have to be refused. */
bool CpBudget_IsShort(const CpBudget *b);
/* Returns true if there are more connections than there may be. */
bool CpBudget_IsCrowded(const CpBudget *b);
/* Reserves memory that belongs to no connection. */
bool CpBudget_Reserve(CpBudget *b, uint64_t bytes, CpBudgetUse use);
void CpBudget_Release(CpBudget *b, uint64_t bytes);
/* Returns true if that much could be reserved now. */
bool CpBudget_HasRoom(const CpBudget *b, uint64_t bytes, CpBudgetUse use);

CpBudgetGroup *CpBudgetGroup_New(CpBudget *b);
void CpBudgetGroup_Free(CpBudgetGroup *g);
/* What may be closed for memory or a place that is needed. */
typedef struct {
    const CpBudgetAccount *except; /* NULL: none */
    int64_t idle_ns;               /* without progress for so long at least */
    uint64_t held_bytes;           /* holds so much at least */
} CpBudgetWanted;
/* Returns the connection that waits for its caller and has made no progress
 * for the longest time; NULL if there is none. */
CpBudgetAccount *CpBudgetGroup_FindIdlest(const CpBudgetGroup *g,
                                          const CpBudgetWanted *wanted,
                                          int64_t now_ns);

/* Opens the account of a connection, which waits for its caller. */
void CpBudgetAccount_Open(CpBudgetAccount *a, CpBudgetGroup *g, void *ctx,
                          int64_t now_ns);
/* Releases all that it holds. */
void CpBudgetAccount_Close(CpBudgetAccount *a);
/* Reserves memory before it is filled; returns false if the budget does not
 * allow it. */
bool CpBudgetAccount_Reserve(CpBudgetAccount *a, uint64_t bytes,
                             CpBudgetUse use);
void CpBudgetAccount_Release(CpBudgetAccount *a, uint64_t bytes);
/* Notes bytes that were received from the caller or sent to it. */
void CpBudgetAccount_OnMoved(CpBudgetAccount *a, uint64_t bytes,
                             int64_t now_ns);
/* Sets whether the connection waits for its caller, or else for a server. */
void CpBudgetAccount_SetWaits(CpBudgetAccount *a, bool for_caller,
                              int64_t now_ns);

#endif
