/* Driver for the scripts of budget: accounts of connections under a manual
 * clock, and a property test of the sums. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "budget/budget.h"
#include "regress.h"

#define MAX_ACCOUNTS 64
#define KB 1024

typedef struct {
    FILE *out;
    CpBudget *budget;
    CpBudgetGroup *group;
    CpBudgetAccount accounts[MAX_ACCOUNTS];
    int64_t now_ns;
} Script;

static void run_line(void *ctx, char *line);
static void find_idlest(Script *s, uint32_t idle_ms, uint32_t except,
                        uint32_t held_kb);
static void reset(Script *s, uint64_t size_bytes, uint32_t max_accounts);
static void random_accounts(Script *s, uint64_t seed, uint32_t steps);

static const char *const use_names[] = {
    [CP_BUDGET_SMALL] = "small",
    [CP_BUDGET_LARGE] = "large",
    [CP_BUDGET_FORCED] = "forced",
};

void
CpDrive_Budget(FILE *in, FILE *out)
{
    Script *s = CpMem_Alloc(sizeof(*s));
    s->out = out;
    reset(s, 0, MAX_ACCOUNTS);
    CpScript_Run(in, run_line, s);
    reset(s, 0, 0);
    CpBudgetGroup_Free(s->group);
    CpBudget_Free(s->budget);
    free(s);
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    uint32_t a, b;
    char word[32];
    if (sscanf(line, "size for %u", &a) == 1) {
        fprintf(s->out, "%u MB: %" PRIu64 " KB\n", a,
                CpBudget_SizeFor_bytes(a) / KB);
    }
    else if (sscanf(line, "budget %u KB, %u accounts", &a, &b) == 2) {
        reset(s, (uint64_t)a * KB, b);
    }
    else if (sscanf(line, "at %u", &a) == 1) {
        s->now_ns = a * CP_NS_PER_MS;
    }
    else if (sscanf(line, "open %u", &a) == 1) {
        CpBudgetAccount_Open(&s->accounts[a], s->group, NULL, s->now_ns);
        if (CpBudget_IsCrowded(s->budget)) {
            fprintf(s->out, "open %u: crowded\n", a);
        }
    }
    else if (sscanf(line, "close %u", &a) == 1) {
        CpBudgetAccount_Close(&s->accounts[a]);
    }
    else if (sscanf(line, "reserve %u %u %31s", &a, &b, word) == 3) {
        for (uint32_t i = 0; i < 3; i++) {
            if (strcmp(word, use_names[i]) == 0) {
                bool ok = CpBudgetAccount_Reserve(
                    &s->accounts[a], (uint64_t)b * KB, (CpBudgetUse)i);
                fprintf(s->out, "reserve %u %u %s: %s\n", a, b, word,
                        ok ? "yes" : "no");
            }
        }
    }
    else if (sscanf(line, "release %u %u", &a, &b) == 2) {
        CpBudgetAccount_Release(&s->accounts[a], (uint64_t)b * KB);
    }
    else if (sscanf(line, "moved %u %u", &a, &b) == 2) {
        CpBudgetAccount_OnMoved(&s->accounts[a], b, s->now_ns);
    }
    else if (sscanf(line, "waits %u %31s", &a, word) == 2) {
        CpBudgetAccount_SetWaits(&s->accounts[a], strcmp(word, "caller") == 0,
                                 s->now_ns);
    }
    else if (sscanf(line, "idlest %u except %u", &a, &b) == 2) {
        find_idlest(s, a, b, 0);
    }
    else if (sscanf(line, "idlest %u holding %u", &a, &b) == 2) {
        find_idlest(s, a, MAX_ACCOUNTS, b);
    }
    else if (strcmp(line, "held") == 0) {
        fprintf(s->out, "held: %" PRIu64 " KB%s\n",
                CpBudget_Held_bytes(s->budget) / KB,
                CpBudget_IsShort(s->budget) ? ", short" : "");
    }
    else if (sscanf(line, "random %u steps %u", &a, &b) == 2) {
        random_accounts(s, a, b);
    }
    else {
        fprintf(s->out, "unknown line: %s\n", line);
    }
}

static void
find_idlest(Script *s, uint32_t idle_ms, uint32_t except, uint32_t held_kb)
{
    const CpBudgetWanted wanted = {
        .except = except < MAX_ACCOUNTS ? &s->accounts[except] : NULL,
        .idle_ns = idle_ms * CP_NS_PER_MS,
        .held_bytes = (uint64_t)held_kb * KB};
    const CpBudgetAccount *found =
        CpBudgetGroup_FindIdlest(s->group, &wanted, s->now_ns);
    fprintf(s->out, "idlest: %d\n",
            found != NULL ? (int)(found - s->accounts) : -1);
}

static void
reset(Script *s, uint64_t size_bytes, uint32_t max_accounts)
{
    for (uint32_t i = 0; i < MAX_ACCOUNTS && s->group != NULL; i++) {
        CpBudgetAccount_Close(&s->accounts[i]);
    }
    CpBudgetGroup_Free(s->group);
    CpBudget_Free(s->budget);
    s->budget = CpBudget_New(size_bytes, max_accounts);
    s->group = CpBudgetGroup_New(s->budget);
}

/* Compares the sums with those of the accounts, and the idlest connection with
 * one found by looking at all. */
static void
random_accounts(Script *s, uint64_t seed, uint32_t steps)
{
    const CpBudgetWanted any = {0};
    CpSeed random = {.state = seed};
    uint32_t over = 0, wrong_sums = 0, wrong_idlest = 0, refused = 0;
    for (uint32_t i = 0; i < steps; i++) {
        CpBudgetAccount *a = &s->accounts[CpSeed_Below(&random, MAX_ACCOUNTS)];
        uint64_t bytes = CpSeed_Below(&random, 64 * KB);
        s->now_ns += CpSeed_Below(&random, 1000);
        uint32_t what = CpSeed_Below(&random, 6);
        if (a->group == NULL) {
            CpBudgetAccount_Open(a, s->group, NULL, s->now_ns);
        }
        else if (what == 0) {
            CpBudgetAccount_Close(a);
        }
        else if (what == 1) {
            CpBudgetAccount_OnMoved(a, bytes, s->now_ns);
        }
        else if (what == 2) {
            CpBudgetAccount_SetWaits(a, bytes % 2 == 0, s->now_ns);
        }
        else if (what == 3 && a->held_bytes >= bytes) {
            CpBudgetAccount_Release(a, bytes);
        }
        else {
            refused += !CpBudgetAccount_Reserve(
                a, bytes, bytes % 2 == 0 ? CP_BUDGET_SMALL : CP_BUDGET_LARGE);
        }
        uint64_t sum = 0;
        const CpBudgetAccount *idlest = NULL;
        for (uint32_t k = 0; k < MAX_ACCOUNTS; k++) {
            const CpBudgetAccount *at = &s->accounts[k];
            sum += at->group != NULL ? at->held_bytes : 0;
            if (at->group != NULL && at->waits_for_caller &&
                (idlest == NULL || at->progress_ns < idlest->progress_ns)) {
                idlest = at;
            }
        }
        const CpBudgetAccount *found =
            CpBudgetGroup_FindIdlest(s->group, &any, s->now_ns);
        wrong_idlest +=
            (idlest == NULL) != (found == NULL) ||
            (found != NULL && found->progress_ns != idlest->progress_ns);
        wrong_sums += sum != CpBudget_Held_bytes(s->budget);
        over += sum > 1000 * KB;
    }
    fprintf(s->out, "random: wrong sums %u, over %u, wrong idlest %u, %s\n",
            wrong_sums, over, wrong_idlest,
            refused > 0 ? "some refused" : "none refused");
}
