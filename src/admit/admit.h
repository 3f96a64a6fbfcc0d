/*
 * admit: which request gets which slot of which backend server, and when.
 * A pool of servers has one queue, ordered by rank and deadline; slots are
 * static shares of the hosts of a domain that are lent for bounded times.
 * Nothing here knows of HTTP, sockets or threads; callers hold a lock.
 */
#ifndef CP_ADMIT_H
#define CP_ADMIT_H

#include "base/base.h"

#define CP_LOAN_MS 2000       /* a loan lasts from the borrower's ask */
#define CP_LOAN_PERIOD_MS 300 /* between two asks */
#define CP_CANCEL_HOLD_MS 100 /* for a cancel to reach a server */
#define CP_MAX_LOANS 64       /* kept at once for one resource */

/* One request to admit; embedded in whatever it stands for. */
typedef struct CpAdmitItem {
    struct CpAdmitItem *next;
    struct CpAdmitItem *prev;
    uint32_t rank;
    int64_t deadline_ns;
    int64_t queued_ns;
    bool queued;
    bool idempotent;
    uint32_t server;       /* where it runs, once started */
    int64_t slot_until_ns; /* it has to start before then */
    void *ctx;
} CpAdmitItem;

typedef struct {
    uint32_t server_count;
    uint32_t queue_limit;
    uint32_t floor_percent[CP_RANKS];
    bool breaker; /* rest servers that fail, try them now and then */
    /* The item has a slot of item->server. */
    void (*start)(void *ctx, CpAdmitItem *item);
    /* The item left the queue, or never got in. */
    void (*refuse)(void *ctx, CpAdmitItem *item, CpReason reason);
    void *ctx;
} CpAdmitOptions;

/* How a request left its slot. Only the server's own answer shows that the
 * slot is free; after anything else it is held for a while. */
typedef enum {
    CP_OUTCOME_OK = 0,
    CP_OUTCOME_REFUSED,     /* the server answered that it did not run */
    CP_OUTCOME_UNSENT,      /* it was given up before it was sent */
    CP_OUTCOME_UNREACHABLE, /* no connection */
    CP_OUTCOME_FAILED,      /* no whole answer */
    CP_OUTCOME_CANCELLED,   /* given up after it was sent */
    CP_OUTCOME_COUNT
} CpOutcome;

typedef struct CpAdmit CpAdmit;
CpAdmit *CpAdmit_New(const CpAdmitOptions *options);
void CpAdmit_Free(CpAdmit *a);
/* Changes how many may wait, and the ranks' floors. */
void CpAdmit_SetLimits(CpAdmit *a, uint32_t queue_limit,
                       const uint32_t floor_percent[CP_RANKS]);
/* Makes room for more servers, numbered on. */
void CpAdmit_Grow(CpAdmit *a, uint32_t server_count);
/* Slots of a server that may be used now, until when, and whether new work
 * may go there. */
void CpAdmit_SetServer(CpAdmit *a, uint32_t server, uint32_t slots,
                       int64_t until_ns, bool accepting);
void CpAdmit_Submit(CpAdmit *a, CpAdmitItem *item, int64_t now_ns);
/* Takes a waiting item out; false when it has started. */
bool CpAdmit_Remove(CpAdmit *a, CpAdmitItem *item);
/* A started item ended. */
void CpAdmit_Done(CpAdmit *a, CpAdmitItem *item, CpOutcome outcome,
                  int64_t latency_ns, int64_t now_ns);
/* Expires items and starts what can start. */
void CpAdmit_Tick(CpAdmit *a, int64_t now_ns);
uint32_t CpAdmit_Queued(const CpAdmit *a);
uint32_t CpAdmit_Inflight(const CpAdmit *a, uint32_t server);
uint32_t CpAdmit_TotalInflight(const CpAdmit *a);
/* Slots that take work now: a server that rests has none. */
uint32_t CpAdmit_TotalSlots(const CpAdmit *a, int64_t now_ns);
/* Expected service time of whatever ran last, in ns. */
int64_t CpAdmit_MeanService_ns(const CpAdmit *a);

/* Units of one resource that this host holds: its own static share less what
 * it lent, plus what it borrowed. */
typedef struct {
    char peer[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t last_id;
    uint32_t units;
    int64_t until_ns; /* lent: end of the loan; borrowed: end of its use */
} CpLoan;

typedef struct {
    uint32_t own;        /* static share */
    int64_t own_from_ns; /* may be used or lent from then */
    int64_t work_ns;     /* longest work on a unit after its loan */
    CpLoan lent[CP_MAX_LOANS];
    uint32_t lent_count;
    CpLoan borrowed[CP_MAX_LOANS];
    uint32_t borrowed_count;
} CpShare;

/* One row of a LOAN_ASK or LOAN_GRANT. */
typedef struct {
    char resource[CP_NAME_BYTES];
    uint32_t units;
} CpLoanRow;

/* Units usable now; *until_ns is when the first of them lapses. */
uint32_t CpShare_Usable(CpShare *s, int64_t now_ns, int64_t *until_ns);
/* A peer asks for all that can be lent; `in_use` units stay. Asks of one
 * incarnation count in order of `id`. Units 0 gives the loan back. */
uint32_t CpShare_Lend(CpShare *s, const char *peer, uint64_t incarnation,
                      uint64_t id, uint32_t want, uint32_t in_use,
                      int64_t now_ns);
/* A peer granted units in answer to what was asked at `asked_ns`. */
void CpShare_Borrow(CpShare *s, const char *peer, uint32_t units,
                    int64_t asked_ns);
/* Forgets what was borrowed; nothing more may start on it. */
void CpShare_DropBorrowed(CpShare *s);
/* Units lent to a peer's latest incarnation. */
uint32_t CpShare_LentTo(const CpShare *s, const char *peer);
uint32_t CpShare_Borrowed(const CpShare *s, int64_t now_ns);

/* The static share of slot counts: unit k belongs to the k-th host in the
 * rendezvous order of the resource. Returns the share of `host`. */
uint32_t CpShare_Static(const char *resource, uint32_t units,
                        const char *const *hosts, uint32_t host_count,
                        const char *host);
/* The order of hosts for a resource, best first, as indexes. */
void CpShare_Order(const char *resource, const char *const *hosts,
                   uint32_t host_count, uint32_t *order);

/* A budget of retries: each request earns a part, each retry costs one. What
 * is not spent is kept up to a limit; where hosts share a burst, each has a
 * part of it, half of which is there at once and half of which is added over
 * a window, so that no window has more than the whole of it. */
typedef struct {
    uint32_t percent;     /* retries that a hundred requests earn */
    int64_t most_milli;   /* kept at once, thousandths of a retry */
    int64_t start_milli;  /* there at first */
    int64_t refill_milli; /* added over a window */
    int64_t window_ns;    /* 0: nothing is added */
    int64_t tokens_milli; /* state, as the next */
    int64_t filled_ns;    /* 0: not begun */
} CpRetryBudget;
/* The part that one of `hosts` has of a burst. */
void CpRetry_SetShare(CpRetryBudget *b, uint32_t burst, uint32_t hosts);
void CpRetry_Earn(CpRetryBudget *b, int64_t now_ns);
bool CpRetry_Spend(CpRetryBudget *b, int64_t now_ns);
/* Gives a retry back that was not made. */
void CpRetry_Return(CpRetryBudget *b);

/* A paced link: bytes/s with a short burst, part of it kept for the urgent.
 */
typedef struct {
    uint64_t rate_bytes_s;
    int64_t tokens_bytes;
    int64_t last_ns;
} CpPacer;
void CpPacer_SetRate(CpPacer *p, uint64_t rate_bytes_s, int64_t now_ns);
/* True if `size_bytes` of a class may go now; they are spent then. */
bool CpPacer_Spend(CpPacer *p, uint32_t class_index, uint32_t size_bytes,
                   int64_t now_ns);

/* Growth of foreign work: any span of an interval holds at most the cap more
 * than the one before it. The cap is in thousandths of a request, as hosts
 * hold parts of it. */
#define CP_SHIFT_INTERVAL_MS 1000
#define CP_SHIFT_SPAN_MS (2 * CP_SHIFT_INTERVAL_MS)
typedef struct {
    uint64_t cap_milli;
    int64_t credit_milli; /* thousandths of a request that may go now */
    int64_t last_ms;      /* time up to which credit is counted; 0: none */
    uint16_t sent[CP_SHIFT_SPAN_MS]; /* admitted, by millisecond, a ring */
} CpShift;
bool CpShift_Admit(CpShift *s, int64_t now_ns);

#endif
