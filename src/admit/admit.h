/*
 * admit: admission of requests to the slots of backend servers. A pool of
 * servers has one queue, ordered by rank and deadline. The slots of a server
 * are divided among the hosts of its domain as static shares, which hosts
 * lend to each other for bounded times. Independent of HTTP, sockets and
 * threads: the caller holds a lock during each call.
 */
#ifndef CP_ADMIT_H
#define CP_ADMIT_H

#include "base/base.h"

#define CP_LOAN_DURATION_MS 2000        /* from the borrower's request */
#define CP_LOAN_REQUEST_INTERVAL_MS 300 /* between two loan requests */
#define CP_CANCEL_HOLD_MS 100           /* for a cancel to reach a server */
#define CP_MAX_LOANS 64 /* per resource, each of lent and borrowed */

/* One request to admit; embedded in the caller's own request structure. */
typedef struct CpAdmitItem {
    struct CpAdmitItem *next;
    struct CpAdmitItem *prev;
    uint32_t rank;
    int64_t deadline_ns;
    int64_t queued_ns;
    bool queued;
    bool idempotent;
    uint32_t server_index;   /* valid once started */
    int64_t slot_expires_ns; /* the request has to be sent before then */
    void *ctx;
} CpAdmitItem;

typedef struct {
    uint32_t server_count;
    uint32_t queue_limit;
    uint32_t floor_percent[CP_RANK_COUNT];
    bool circuit_breaker; /* eject servers that fail, for a bounded time */
    /* The item got a slot of item->server_index. */
    void (*on_start)(void *ctx, CpAdmitItem *item);
    /* The item was refused, on submission or while it was queued. */
    void (*on_refuse)(void *ctx, CpAdmitItem *item, CpReason reason);
    void *ctx;
} CpAdmitOptions;

/* How a started request ended. After CP_OUTCOME_FAILED and
 * CP_OUTCOME_CANCELLED the server may still be running the request, so the
 * slot is held for CP_CANCEL_HOLD_MS before it is used again. */
typedef enum {
    CP_OUTCOME_OK = 0,
    CP_OUTCOME_REFUSED,     /* the server responded that it did not run */
    CP_OUTCOME_UNSENT,      /* abandoned before it was sent */
    CP_OUTCOME_UNREACHABLE, /* no connection */
    CP_OUTCOME_FAILED,      /* no complete response */
    CP_OUTCOME_CANCELLED,   /* cancelled after it was sent */
    CP_OUTCOME_COUNT
} CpOutcome;

typedef struct CpAdmit CpAdmit;
CpAdmit *CpAdmit_New(const CpAdmitOptions *options);
void CpAdmit_Free(CpAdmit *a);
/* Changes the queue limit and the floors of the ranks. */
void CpAdmit_SetLimits(CpAdmit *a, uint32_t queue_limit,
                       const uint32_t floor_percent[CP_RANK_COUNT]);
/* Raises the number of servers; existing indexes stay valid. */
void CpAdmit_GrowServers(CpAdmit *a, uint32_t server_count);
/* Sets how many slots of a server may be used until `until_ns`, and whether
 * it accepts new requests. */
void CpAdmit_SetServer(CpAdmit *a, uint32_t server_index, uint32_t slots,
                       int64_t until_ns, bool accepting);
/* Starts, queues or refuses an item; may shed a less urgent one. */
void CpAdmit_Submit(CpAdmit *a, CpAdmitItem *item, int64_t now_ns);
/* Removes a queued item; returns false if it is not queued. */
bool CpAdmit_Remove(CpAdmit *a, CpAdmitItem *item);
/* Ends a started item and records its outcome for the server. */
void CpAdmit_End(CpAdmit *a, CpAdmitItem *item, CpOutcome outcome,
                 int64_t latency_ns, int64_t now_ns);
/* Refuses expired items, releases held slots and starts queued items. */
void CpAdmit_Tick(CpAdmit *a, int64_t now_ns);
uint32_t CpAdmit_Queued(const CpAdmit *a);
uint32_t CpAdmit_Inflight(const CpAdmit *a, uint32_t server_index);
uint32_t CpAdmit_TotalInflight(const CpAdmit *a);
/* Counts the slots that accept requests now; an ejected server has none. */
uint32_t CpAdmit_TotalSlots(const CpAdmit *a, int64_t now_ns);
/* Returns the moving average of the service time over all ranks and servers,
 * in ns; 0 before the first completed request. */
int64_t CpAdmit_MeanServiceTime_ns(const CpAdmit *a);

/* Credit of a rank towards its floor, in hundredths of a dispatch. Each
 * dispatch of any rank earns it the floor percentage, and a dispatch of its
 * own costs a hundred. */
bool CpFloor_IsOwed(uint32_t credit);
void CpFloor_Charge(uint32_t *credit);
void CpFloor_Earn(uint32_t *credit, uint32_t floor_percent);

/* Units that were lent to or borrowed from one peer. */
typedef struct {
    char peer[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t last_request_id;
    uint32_t units;
    int64_t expires_ns; /* lent: end of the loan; borrowed: end of its use */
} CpLoan;

/* Units of one resource that this host may use: its static share, less what
 * it lent, plus what it borrowed. */
typedef struct {
    uint32_t own_units;         /* static share */
    int64_t own_usable_from_ns; /* not used or lent before */
    int64_t max_work_ns; /* longest run of a request beyond the loan's end */
    CpLoan lent[CP_MAX_LOANS];
    uint32_t lent_count;
    CpLoan borrowed[CP_MAX_LOANS];
    uint32_t borrowed_count;
} CpShare;

/* One row of a LOAN_REQUEST or LOAN_GRANT frame. */
typedef struct {
    char resource[CP_NAME_BYTES];
    uint32_t units;
} CpLoanRow;

/* Counts the units usable now; *until_ns is the earliest expiry of a borrowed
 * unit, or INT64_MAX. */
uint32_t CpShare_CountUsable(CpShare *s, int64_t now_ns, int64_t *until_ns);
/* Handles a peer's loan request: lends free units beyond `in_use`, up to
 * `want` in total, and returns the units now lent to the peer. A request
 * whose `request_id` is not above the last one of its incarnation returns 0
 * and changes nothing. `want` 0 ends the loan. */
uint32_t CpShare_Lend(CpShare *s, const char *peer, uint64_t incarnation,
                      uint64_t request_id, uint32_t want, uint32_t in_use,
                      int64_t now_ns);
/* Records a peer's grant for a request that was sent at `requested_ns`, from
 * which the loan is counted; ignores a grant for an older request. */
void CpShare_RecordGrant(CpShare *s, const char *peer, uint32_t units,
                         int64_t requested_ns);
/* Removes all borrowed units; nothing more may start on them. */
void CpShare_RemoveBorrowed(CpShare *s);
/* Counts the units lent to the latest incarnation of a peer. */
uint32_t CpShare_CountLentTo(const CpShare *s, const char *peer);
uint32_t CpShare_CountBorrowed(const CpShare *s, int64_t now_ns);

/* Returns the static share of `host`: unit k of a resource belongs to the
 * k-th host, modulo their number, in the resource's rendezvous order. */
uint32_t CpShare_StaticUnits(const char *resource, uint32_t units,
                             const char *const *hosts, uint32_t host_count,
                             const char *host);
/* Writes the indexes of `hosts` in the resource's rendezvous order, highest
 * weight first. */
void CpShare_RendezvousOrder(const char *resource, const char *const *hosts,
                             uint32_t host_count, uint32_t *order);

/* Retry budget, a token bucket in thousandths of a retry: each request
 * deposits a fraction of a token and each retry withdraws one, up to a limit.
 * Where hosts share a burst, each has an equal part of it: half of the part
 * is available at first and the other half is added over each window, so that
 * no window has more than the whole burst. */
typedef struct {
    uint32_t percent; /* retries earned by a hundred requests */
    int64_t max_tokens_milli;
    int64_t initial_tokens_milli;
    int64_t refill_per_window_milli; /* added evenly over each window */
    int64_t window_ns;               /* 0: no refill */
    int64_t tokens_milli;
    int64_t last_refill_ns; /* 0: not used yet */
} CpRetryBudget;
/* Sets limits and refill to the part of a burst that one of `hosts` has. */
void CpRetryBudget_SetShare(CpRetryBudget *b, uint32_t burst, uint32_t hosts);
void CpRetryBudget_Deposit(CpRetryBudget *b, int64_t now_ns);
/* Withdraws one retry; returns false if the budget has less than one. */
bool CpRetryBudget_TryWithdraw(CpRetryBudget *b, int64_t now_ns);
/* Returns a withdrawn retry that was not made. */
void CpRetryBudget_Refund(CpRetryBudget *b);

/* Paces a link by a token bucket: bytes/s with a short burst, part of which
 * is reserved for urgent classes. */
typedef struct {
    uint64_t rate_bytes_s;
    int64_t tokens_bytes;
    int64_t last_refill_ns;
} CpPacer;
void CpPacer_SetRate(CpPacer *p, uint64_t rate_bytes_s, int64_t now_ns);
/* Consumes `size_bytes` and returns true if a frame of the class may be sent
 * now. Class 0 is always allowed and may overdraw the bucket. */
bool CpPacer_TryConsume(CpPacer *p, uint32_t class_index, uint32_t size_bytes,
                        int64_t now_ns);

/* Limits the growth of foreign requests, those of clients of other domains:
 * an interval, wherever it begins, admits at most the cap more than the
 * interval before it. The cap is in thousandths of a request because each
 * host has a fraction of the domain's cap. */
#define CP_SHIFT_INTERVAL_MS 1000
#define CP_SHIFT_HISTORY_MS (2 * CP_SHIFT_INTERVAL_MS)
typedef struct {
    uint64_t cap_milli;
    int64_t credit_milli;    /* thousandths of a request, available now */
    int64_t accounted_to_ms; /* credit is counted up to then; 0: not started */
    uint16_t admitted[CP_SHIFT_HISTORY_MS]; /* per ms, a ring buffer */
} CpShiftLimiter;
/* Admits and counts one request, or returns false. */
bool CpShiftLimiter_TryAdmit(CpShiftLimiter *s, int64_t now_ns);

/*
 * Admission under contention: decides for each request of a route, before a
 * server is chosen, whether its service has capacity for it. Each host decides
 * alone, from the load that it sees at the servers and from its own recent
 * arrivals. A rank is shed with a probability that rises with the load, less
 * urgent ranks first; what a rank gets is divided fairly among organisations.
 * Thread-safe.
 */
#define CP_CONTENTION_MAX_ORGS 128 /* recorded for a service */

/* Capacity of a service, as this host sees it. */
typedef struct {
    bool speed_reported; /* false: admission control does not act */
    bool load_known;
    /* requests that run or wait at the servers over their slots; 1000: the
     * slots are in use and nothing waits */
    uint32_t load_milli;
} CpContentionRoom;

typedef struct {
    const char *service;
    const char *route;
    const char *org; /* NULL: none */
    uint32_t rank;
    uint32_t goal_ms;    /* latency goal of the route */
    uint32_t timeout_ms; /* set by the caller; 0: none */
    uint32_t left_ms;    /* until the request's deadline */
    CpContentionRoom room;
    uint64_t random;
} CpContentionRequest;

typedef struct {
    bool acts;       /* false: nothing was decided */
    CpReason reason; /* CP_REASON_NONE: admitted */
    uint32_t retry_after_ms;
    bool returning;      /* the caller was refused before */
    uint32_t elapsed_ms; /* since the caller's first attempt */
    /* what decided: admitted share of the rank, of the organisation and for
     * this request, in thousandths */
    uint32_t rank_share_milli;
    uint32_t org_share_milli;
    uint32_t share_milli;
    /* recent arrivals at this host, in thousandths of a request/s */
    uint32_t rank_rate_milli;
    uint32_t org_rate_milli;
    uint32_t typical_ms; /* median time of a response of the route */
} CpContentionDecision;

typedef struct CpContention CpContention;
CpContention *CpContention_New(void);
void CpContention_Free(CpContention *c);
/* Counts the request as an arrival and decides whether it is admitted. Called
 * once for each request, not for attempts that follow a failed one. */
void CpContention_Decide(CpContention *c, const CpContentionRequest *request,
                         int64_t now_ns, CpContentionDecision *out);
/* Records the time in which a server responded to a request of a route. */
void CpContention_RecordResponse(CpContention *c, const char *service,
                                 const char *route, int64_t latency_ns);

#endif
