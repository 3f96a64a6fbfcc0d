/* Driver for the scripts of once: tickets, and the ledger against a reference
 * model. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "once/once.h"
#include "regress.h"

#define MAX_TICKETS 256
#define MAX_WAITERS 4096

static const uint8_t key[32] = {1, 2, 3};

/* Reference model of the ledger: an array with the state of each ticket. */
typedef struct {
    enum {
        MODEL_NEW,
        MODEL_RUNNING,
        MODEL_ENDED
    } state;
    uint32_t runs;
    CpVerdict verdict;
} ModelTicket;

typedef struct {
    FILE *out;
    CpLedger *ledger;
    int64_t now_ms;
    uint32_t responses;
    uint32_t last_verdict;
} Script;

static void run_line(void *ctx, char *line);
static void check_seal(Script *s, const char *host, uint64_t number,
                       const char *corruption);
static void random_ledger(FILE *out, uint64_t seed, uint32_t steps);
static void on_response(void *ctx, void *waiter, const CpLedgerRecord *record);

static const char *const result_names[] = {
    [CP_LEDGER_RUN] = "run",
    [CP_LEDGER_WAIT] = "wait",
    [CP_LEDGER_REPLAY] = "replay",
    [CP_LEDGER_EXPIRED] = "expired",
};

void
CpDrive_Once(FILE *in, FILE *out)
{
    Script s = {.out = out};
    s.ledger = CpLedger_New(4, on_response, &s);
    CpScript_Run(in, run_line, &s);
    CpLedger_Free(s.ledger);
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    uint32_t a, b;
    uint64_t seed;
    char host[64], word[64];
    if (sscanf(line, "seal %63s %u spoil %63s", host, &a, word) == 3) {
        check_seal(s, host, a, word);
    }
    else if (sscanf(line, "at %u", &a) == 1) {
        s->now_ms = a;
        CpLedger_Expire(s->ledger, s->now_ms);
    }
    else if (sscanf(line, "begin %u expires %u waiter %u", &a, &b,
                    (uint32_t *)&seed) == 3) {
        CpTicket t = {.number = a, .expires_ms = b};
        CpLedgerResult got = CpLedger_Begin(
            s->ledger, &t, (void *)(uintptr_t)(uint32_t)seed, s->now_ms);
        fprintf(s->out, "ticket %u: %s\n", a, result_names[got]);
    }
    else if (sscanf(line, "end %u %63s", &a, word) == 2) {
        CpLedgerRecord r = {.status = 200,
                            .verdict = CpVerdict_Parse(word),
                            .body = (uint8_t *)word,
                            .body_bytes = (uint32_t)strlen(word)};
        CpLedger_End(s->ledger, a, &r);
    }
    else if (sscanf(line, "leave %u waiter %u", &a, &b) == 2) {
        fprintf(s->out, "waiter %u %s\n", b,
                CpLedger_RemoveWaiter(s->ledger, a, (void *)(uintptr_t)b)
                    ? "left"
                    : "was not there");
    }
    else if (strncmp(line, "count", 5) == 0) {
        fprintf(s->out, "entries %" PRIu64 "\n", CpLedger_Count(s->ledger));
    }
    else if (sscanf(line, "random %" SCNu64 " %u", &seed, &a) == 2) {
        random_ledger(s->out, seed, a);
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

static void
check_seal(Script *s, const char *host, uint64_t number,
           const char *corruption)
{
    CpTicket t = {.incarnation = 77, .number = number, .expires_ms = 500};
    CpTicket opened;
    char text[CP_TICKET_TEXT_BYTES];
    uint8_t other_key[32] = {9};
    CpStr_Copy(t.host, sizeof(t.host), host);
    CpTicket_Seal(&t, key, text);
    if (strcmp(corruption, "last") == 0) {
        text[strlen(text) - 1] ^= 1;
    }
    if (strcmp(corruption, "host") == 0) {
        text[0] ^= 1;
    }
    if (strcmp(corruption, "short") == 0) {
        text[strlen(text) / 2] = '\0';
    }
    CpStatus st = CpTicket_Open(
        text, strcmp(corruption, "key") == 0 ? other_key : key, &opened);
    fprintf(s->out, "%s: ", CpStatus_Name(st));
    if (st == CP_OK) {
        fprintf(s->out, "%s %" PRIu64 " %" PRIu64 " %" PRId64 "\n",
                opened.host, opened.incarnation, opened.number,
                opened.expires_ms);
    }
    else {
        fprintf(s->out, "%s\n", CpError_Message());
    }
}

/* Begins and ends random tickets: ledger and model must return the same
 * results, and no ticket may run again after it may have run. */
static void
random_ledger(FILE *out, uint64_t seed, uint32_t steps)
{
    static ModelTicket model[MAX_TICKETS];
    CpSeed r = {seed};
    Script s = {.out = out};
    uint32_t differ = 0, run_twice = 0, runs = 0;
    memset(model, 0, sizeof(model));
    s.ledger = CpLedger_New(8, on_response, &s);
    for (uint32_t i = 0; i < steps; i++) {
        uint32_t n = CpSeed_Below(&r, MAX_TICKETS);
        ModelTicket *t = &model[n];
        CpTicket ticket = {.number = n, .expires_ms = INT64_MAX};
        if (CpSeed_Below(&r, 2) == 0) {
            CpLedgerResult expected = t->state == MODEL_NEW ? CP_LEDGER_RUN
                                      : t->state == MODEL_RUNNING
                                          ? CP_LEDGER_WAIT
                                          : CP_LEDGER_REPLAY;
            CpLedgerResult got = CpLedger_Begin(s.ledger, &ticket,
                                                (void *)(uintptr_t)(i + 1), 0);
            differ += got != expected;
            if (expected == CP_LEDGER_RUN) {
                t->state = MODEL_RUNNING;
                runs++;
            }
        }
        else if (t->state == MODEL_RUNNING) {
            CpLedgerRecord rec = {.verdict = (CpVerdict)CpSeed_Below(&r, 3)};
            CpLedger_End(s.ledger, n, &rec);
            t->state = rec.verdict == CP_NOT_RUN ? MODEL_NEW : MODEL_ENDED;
            t->runs += rec.verdict != CP_NOT_RUN;
            run_twice += t->runs > 1;
        }
    }
    fprintf(out, "seed %" PRIu64 ": %s, %u differ, %u doubled\n", seed,
            runs > MAX_TICKETS ? "many runs" : "few runs", differ, run_twice);
    CpLedger_Free(s.ledger);
}

static void
on_response(void *ctx, void *waiter, const CpLedgerRecord *record)
{
    Script *s = ctx;
    s->responses++;
    s->last_verdict = record->verdict;
    if (record->body != NULL) {
        fprintf(s->out, "waiter %u told %s\n", (uint32_t)(uintptr_t)waiter,
                CpVerdict_Name(record->verdict));
    }
}
