/*
 * quota: request limits of organisations over all hosts. Each host generates
 * its part of an organisation's rate as tokens. A token may be spent only for
 * a limited time after it was generated, wherever it is by then; this alone
 * bounds the requests in a window, however hosts are partitioned. Hosts move
 * tokens that they do not need to the organisation's pool, the first usable
 * host in its rendezvous order, and ask it for tokens. Decisions only: the
 * caller passes the time, sends messages and passes in those received.
 */
#ifndef CP_QUOTA_H
#define CP_QUOTA_H

#include "base/base.h"

#define CP_QUOTA_TOKEN INT64_C(1000000) /* one token; amounts are integers */
#define CP_QUOTA_TICK_MS 125
#define CP_QUOTA_MAX_WAIT_MS 150 /* of a request, for tokens */
#define CP_QUOTA_MAX_ROWS 20     /* of a message: it fits one datagram */

typedef enum {
    CP_QUOTA_MOVE = 0, /* tokens for the pool */
    CP_QUOTA_ASK,
    CP_QUOTA_GRANT, /* response to ASK and to MOVE with `wants_reply` */
    CP_QUOTA_MESSAGE_TYPE_COUNT
} CpQuotaMessageType;

typedef struct {
    uint64_t org;    /* CpQuota_HashOrg() */
    uint64_t ask_id; /* ASK and the GRANT for it */
    uint64_t amount; /* moved, asked for or granted */
    /* MOVE and GRANT: the tokens were generated evenly over this time */
    uint32_t newest_age_ms;
    uint32_t oldest_age_ms;
    uint32_t retry_after_ms; /* GRANT of less than asked for */
    /* MOVE: the sender used these tokens. The receiver's oldest ones may take
     * their ages in exchange. */
    bool used;
} CpQuotaRow;

typedef struct {
    CpQuotaMessageType type;
    char from[CP_NAME_BYTES];
    char to[CP_NAME_BYTES];
    uint64_t from_incarnation;
    uint64_t
        to_incarnation; /* 0: the sender has no response of the receiver */
    uint64_t sequence;  /* increases for each message of an incarnation */
    uint64_t sent_ns;   /* the sender's clock */
    /* the receiver's clock when it was sent, or somewhat earlier; 0: unknown
     */
    uint64_t receiver_ns;
    bool wants_reply;
    uint32_t row_count;
    CpQuotaRow rows[CP_QUOTA_MAX_ROWS];
} CpQuotaMessage;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t rate_milli; /* requests/s * 1000; 0: no limit */
    uint32_t burst;
} CpQuotaLimit;

/* A host of the hosts table. */
typedef struct {
    char name[CP_NAME_BYTES];
    bool live; /* reports are received from it, and it is not leaving */
} CpQuotaHost;

typedef struct {
    const CpQuotaHost *hosts;
    uint32_t count;
    bool complete; /* the whole table was read; else hosts may be missing */
    /* The first complete read had a row of this host that this process did not
     * write: the other hosts count it already. */
    bool restarted;
} CpQuotaHostTable;

typedef struct {
    const char *host; /* this host */
    uint64_t incarnation;
    int64_t started_ns; /* when this process started */
    uint32_t window_s;
    uint32_t overshoot_milli; /* of the limit, in thousandths */
    uint32_t tolerance;       /* requests */
    /* Sends a message, which may be lost. Called without locks held. */
    void (*send)(void *ctx, const CpQuotaMessage *m);
    /* Requests of this organisation that wait shall try again. Called without
     * locks held. */
    void (*on_change)(void *ctx, uint64_t org);
    void *ctx;
} CpQuotaOptions;

typedef enum {
    CP_QUOTA_GRANTED = 0,
    CP_QUOTA_WAIT, /* tokens were asked for; try again later */
    CP_QUOTA_DENIED
} CpQuotaDecisionType;

typedef struct {
    CpQuotaDecisionType type;
    int64_t token_ns;        /* GRANTED: for CpQuota_Return(); 0: no limit */
    int64_t wait_until_ns;   /* WAIT: try again then, or on a change */
    uint32_t retry_after_ms; /* DENIED */
    /* The inputs, for log lines. */
    uint64_t stored;       /* tokens here */
    uint32_t rate_milli;   /* the limit */
    uint32_t host_count;   /* that share the rate */
    uint32_t inflow_per_s; /* tokens that other hosts move here */
    bool is_pool;          /* this host is the pool */
    bool unanswered;       /* DENIED: the pool did not respond */
} CpQuotaDecision;

typedef struct {
    uint64_t stored; /* amounts over all organisations */
    uint64_t asked;  /* counts since the start */
    uint64_t messages;
    uint64_t rejected; /* messages that were repeated, late or unknown */
} CpQuotaStats;

typedef struct CpQuota CpQuota;
CpQuota *CpQuota_New(const CpQuotaOptions *options);
void CpQuota_Free(CpQuota *q);
uint64_t CpQuota_HashOrg(const char *name);
/* Replaces the limits. A raise adds the additional burst at once, a cut
 * applies to the tokens that are stored. */
void CpQuota_SetLimits(CpQuota *q, const CpQuotaLimit *limits, uint32_t count,
                       int64_t now_ns);
/* Replaces the hosts of the hosts table. While the table is not complete, or
 * this host is not among them or not live, it generates no tokens. */
void CpQuota_SetHosts(CpQuota *q, const CpQuotaHostTable *table,
                      int64_t now_ns);
/* Takes a token for a request. `wait_began_ns` is the time of the first call
 * for the request if that resulted in CP_QUOTA_WAIT, else 0. */
void CpQuota_TryTake(CpQuota *q, uint64_t org, int64_t wait_began_ns,
                     int64_t now_ns, CpQuotaDecision *out);
/* The request that waits will not try again. */
void CpQuota_CancelWait(CpQuota *q, uint64_t org);
/* Returns a token that was taken for a request that did not run. */
void CpQuota_Return(CpQuota *q, uint64_t org, int64_t token_ns,
                    int64_t now_ns);
/* Moves tokens and asks for them; to be called every CP_QUOTA_TICK_MS. */
void CpQuota_Tick(CpQuota *q, int64_t now_ns);
/* Handle a message of each type. Each message is applied once at most. */
void CpQuota_OnMessage(CpQuota *q, const CpQuotaMessage *m, int64_t now_ns);
void CpQuota_GetStats(CpQuota *q, int64_t now_ns, CpQuotaStats *out);

#endif
