/* The memory that a host holds for callers and servers. */
#include <stdlib.h>

#include "budget/budget.h"

#define BYTES_PER_MB (UINT64_C(1024) * 1024)
/* Of the process itself: code, libraries, tables of routes and servers. */
#define PROCESS_BASE_MB 32
/* Of the rest; the allocator and the libraries need more than is counted. */
#define COUNTED_PERCENT 75
#define KEPT_FOR_SMALL_PERCENT 25 /* of the budget */
#define SHORT_PERCENT 90          /* of the budget is held */

struct CpBudget {
    uint64_t size_bytes; /* 0: no limit */
    uint64_t held_bytes; /* atomic */
    uint32_t max_accounts;
    uint32_t accounts; /* open; atomic */
};

struct CpBudgetGroup {
    CpBudget *budget;
    /* Those that wait for their callers, by their last progress. */
    CpBudgetAccount *first;
    CpBudgetAccount *last;
};

static uint64_t size_for(const CpBudget *b, CpBudgetUse use);
static void add_last(CpBudgetAccount *a);
static void take_out(CpBudgetAccount *a);

uint64_t
CpBudget_SizeFor_bytes(uint32_t memory_limit_mb)
{
    if (memory_limit_mb == 0) {
        return 0;
    }
    uint64_t left_mb = memory_limit_mb > PROCESS_BASE_MB
                           ? memory_limit_mb - PROCESS_BASE_MB
                           : 0;
    uint64_t bytes = left_mb * BYTES_PER_MB * COUNTED_PERCENT / 100;
    return bytes > BYTES_PER_MB ? bytes : BYTES_PER_MB;
}

CpBudget *
CpBudget_New(uint64_t size_bytes, uint32_t max_accounts)
{
    CpBudget *b = CpMem_Alloc(sizeof(*b));
    b->size_bytes = size_bytes;
    b->max_accounts = max_accounts;
    return b;
}

void
CpBudget_Free(CpBudget *b)
{
    free(b);
}

bool
CpBudget_IsLimited(const CpBudget *b)
{
    return b->size_bytes > 0;
}

uint64_t
CpBudget_Held_bytes(const CpBudget *b)
{
    return __atomic_load_n(&b->held_bytes, __ATOMIC_RELAXED);
}

bool
CpBudget_IsShort(const CpBudget *b)
{
    uint64_t held = CpBudget_Held_bytes(b);
    /* large bodies may be refused while the part for small ones is free */
    return b->size_bytes > 0 &&
           held > size_for(b, CP_BUDGET_LARGE) * SHORT_PERCENT / 100;
}

bool
CpBudget_HasRoom(const CpBudget *b, uint64_t bytes, CpBudgetUse use)
{
    return b->size_bytes == 0 || use == CP_BUDGET_FORCED ||
           CpBudget_Held_bytes(b) + bytes <= size_for(b, use);
}

bool
CpBudget_IsCrowded(const CpBudget *b)
{
    return CpAtomic_Load(&b->accounts) > b->max_accounts;
}

/* Several threads may reserve at once, so the sum is raised first. */
bool
CpBudget_Reserve(CpBudget *b, uint64_t bytes, CpBudgetUse use)
{
    uint64_t held =
        __atomic_add_fetch(&b->held_bytes, bytes, __ATOMIC_RELAXED);
    if (b->size_bytes > 0 && use != CP_BUDGET_FORCED &&
        held > size_for(b, use)) {
        CpBudget_Release(b, bytes);
        return false;
    }
    return true;
}

void
CpBudget_Release(CpBudget *b, uint64_t bytes)
{
    __atomic_sub_fetch(&b->held_bytes, bytes, __ATOMIC_RELAXED);
}

CpBudgetGroup *
CpBudgetGroup_New(CpBudget *b)
{
    CpBudgetGroup *g = CpMem_Alloc(sizeof(*g));
    g->budget = b;
    return g;
}

void
CpBudgetGroup_Free(CpBudgetGroup *g)
{
    free(g);
}

CpBudgetAccount *
CpBudgetGroup_FindIdlest(const CpBudgetGroup *g, const CpBudgetWanted *wanted,
                         int64_t now_ns)
{
    for (CpBudgetAccount *a = g->first;
         a != NULL && now_ns - a->progress_ns >= wanted->idle_ns;
         a = a->next) {
        if (a != wanted->except && a->held_bytes >= wanted->held_bytes) {
            return a;
        }
    }
    return NULL;
}

void
CpBudgetAccount_Open(CpBudgetAccount *a, CpBudgetGroup *g, void *ctx,
                     int64_t now_ns)
{
    *a = (CpBudgetAccount){.group = g, .ctx = ctx, .progress_ns = now_ns};
    __atomic_add_fetch(&g->budget->accounts, 1, __ATOMIC_RELAXED);
    add_last(a);
}

void
CpBudgetAccount_Close(CpBudgetAccount *a)
{
    if (a->group == NULL) {
        return;
    }
    CpBudgetAccount_Release(a, a->held_bytes);
    take_out(a);
    __atomic_sub_fetch(&a->group->budget->accounts, 1, __ATOMIC_RELAXED);
    a->group = NULL;
}

bool
CpBudgetAccount_Reserve(CpBudgetAccount *a, uint64_t bytes, CpBudgetUse use)
{
    if (!CpBudget_Reserve(a->group->budget, bytes, use)) {
        return false;
    }
    a->held_bytes += bytes;
    return true;
}

void
CpBudgetAccount_Release(CpBudgetAccount *a, uint64_t bytes)
{
    CpBudget_Release(a->group->budget, bytes);
    a->held_bytes -= bytes;
}

void
CpBudgetAccount_OnMoved(CpBudgetAccount *a, uint64_t bytes, int64_t now_ns)
{
    a->moved_bytes += bytes < CP_BUDGET_PROGRESS_BYTES
                          ? (uint32_t)bytes
                          : CP_BUDGET_PROGRESS_BYTES;
    if (a->moved_bytes < CP_BUDGET_PROGRESS_BYTES) {
        return;
    }
    a->moved_bytes = 0;
    a->progress_ns = now_ns;
    if (a->waits_for_caller) {
        take_out(a);
        add_last(a);
    }
}

void
CpBudgetAccount_SetWaits(CpBudgetAccount *a, bool for_caller, int64_t now_ns)
{
    if (for_caller == a->waits_for_caller) {
        return;
    }
    a->moved_bytes = 0;
    a->progress_ns = now_ns;
    if (for_caller) {
        add_last(a);
    }
    else {
        take_out(a);
    }
}

static uint64_t
size_for(const CpBudget *b, CpBudgetUse use)
{
    return use == CP_BUDGET_LARGE
               ? b->size_bytes / 100 * (100 - KEPT_FOR_SMALL_PERCENT)
               : b->size_bytes;
}

static void
add_last(CpBudgetAccount *a)
{
    CpBudgetGroup *g = a->group;
    a->waits_for_caller = true;
    a->next = NULL;
    a->prev = g->last;
    if (g->last != NULL) {
        g->last->next = a;
    }
    else {
        g->first = a;
    }
    g->last = a;
}

static void
take_out(CpBudgetAccount *a)
{
    CpBudgetGroup *g = a->group;
    if (!a->waits_for_caller) {
        return;
    }
    a->waits_for_caller = false;
    if (a->prev != NULL) {
        a->prev->next = a->next;
    }
    else {
        g->first = a->next;
    }
    if (a->next != NULL) {
        a->next->prev = a->prev;
    }
    else {
        g->last = a->prev;
    }
    a->next = a->prev = NULL;
}
