/*
 * once: at-most-once execution without a store. A ticket contains the host
 * incarnation that issued it, and only that incarnation may run it; its ledger
 * keeps each ticket until it expires.
 */
#ifndef CP_ONCE_H
#define CP_ONCE_H

#include "base/base.h"

#define CP_TICKET_TEXT_BYTES 192
/* Longest response body kept for replay. */
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
/* Checks the seal and parses the text; CP_ERR_AUTH if it is not a ticket that
 * was sealed with this key. */
CpStatus CpTicket_Open(const char *text, const uint8_t key[32], CpTicket *out);

/* The response to a run, as the ledger keeps it. */
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
    CP_LEDGER_WAIT,    /* in flight; `waiter` gets the response at its end */
    CP_LEDGER_REPLAY,  /* ended; `respond` was called with the record */
    CP_LEDGER_EXPIRED  /* ticket too old: whether it ran is unknown */
} CpLedgerResult;

typedef struct CpLedger CpLedger;
/* Delivers a response to a waiter. The record is valid during the call. Called
 * by CpLedger_End(), or by CpLedger_Begin() with the shard locked. */
typedef void (*CpLedgerResponseFn)(void *ctx, void *waiter,
                                   const CpLedgerRecord *record);

CpLedger *CpLedger_New(uint32_t shard_count, CpLedgerResponseFn respond,
                       void *ctx);
void CpLedger_Free(CpLedger *l);
/* Begins a run, joins one in flight or replays its response. */
CpLedgerResult CpLedger_Begin(CpLedger *l, const CpTicket *t, void *waiter,
                              int64_t now_ms);
/* Ends a run and responds to every waiter. After CP_NOT_RUN the ticket may run
 * again; otherwise the ledger copies the record and keeps it until the ticket
 * expires. */
void CpLedger_End(CpLedger *l, uint64_t number, const CpLedgerRecord *record);
/* Removes a waiter that has disconnected; the run continues. Returns false if
 * the waiter already has its response. */
bool CpLedger_RemoveWaiter(CpLedger *l, uint64_t number, void *waiter);
/* Removes the ended runs whose tickets have expired. */
void CpLedger_Expire(CpLedger *l, int64_t now_ms);
/* Counts the tickets that the ledger keeps. */
uint64_t CpLedger_Count(CpLedger *l);

#endif
