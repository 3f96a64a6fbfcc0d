/*
 * once: at-most-once execution without a store. A ticket names the host
 * incarnation that issued it, and only that one may run it; its ledger
 * remembers each ticket until it expires.
 */
#ifndef CP_ONCE_H
#define CP_ONCE_H

#include "base/base.h"

#define CP_TICKET_TEXT_BYTES 192
/* Longest answer kept for repeats. */
#define CP_LEDGER_MAX_BODY_BYTES (64 * 1024)

typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t number;
    int64_t expires_ms; /* on the issuer's monotonic clock */
} CpTicket;

/* Writes the sealed ticket as text. */
void CpTicket_Seal(const CpTicket *t, const uint8_t key[32],
                   char text[CP_TICKET_TEXT_BYTES]);
/* CP_ERR_AUTH if the text is no ticket that this key sealed. */
CpStatus CpTicket_Open(const char *text, const uint8_t key[32], CpTicket *out);

/* An answer as the ledger keeps it. */
typedef struct {
    uint32_t status;
    CpVerdict verdict;
    CpReason reason;
    char content_type[96];
    uint8_t *body;
    uint32_t body_bytes;
} CpLedgerRecord;

typedef enum {
    CP_LEDGER_RUN = 0, /* the caller of Begin runs it, then calls End */
    CP_LEDGER_WAIT,    /* one is in flight; `waiter` is told at its end */
    CP_LEDGER_REPLAY,  /* ended; `answer` was called with the record */
    CP_LEDGER_EXPIRED  /* too old to tell */
} CpLedgerResult;

typedef struct CpLedger CpLedger;
/* Gives a waiter the outcome. The record is valid during the call. */
typedef void (*CpLedgerResponseFn)(void *ctx, void *waiter,
                                   const CpLedgerRecord *record);

CpLedger *CpLedger_New(uint32_t shard_count, CpLedgerResponseFn answer,
                       void *ctx);
void CpLedger_Free(CpLedger *l);
CpLedgerResult CpLedger_Begin(CpLedger *l, const CpTicket *t, void *waiter,
                              int64_t now_ms);
/* The run ended: every waiter is answered. After "not run" the ticket may be
 * used again; otherwise the record stays until the ticket expires. */
void CpLedger_End(CpLedger *l, uint64_t number, const CpLedgerRecord *record);
/* Forgets a waiter that went away; the run goes on. False if it was answered
 * already. */
bool CpLedger_RemoveWaiter(CpLedger *l, uint64_t number, void *waiter);
/* Drops what expired. */
void CpLedger_Expire(CpLedger *l, int64_t now_ms);
uint64_t CpLedger_Count(CpLedger *l);

#endif
