/* Internal declarations of the quota package. */
#ifndef CP_QUOTA_INT_H
#define CP_QUOTA_INT_H

#include <glib.h>
#include <pthread.h>

#include "quota/quota.h"

#define CP_QUOTA_SLOTS 32 /* of a token's lifetime; granularity of ages */
#define CP_QUOTA_RING (CP_QUOTA_SLOTS + 2)
#define CP_QUOTA_SHARDS 8

/* Tokens by the time at which they were generated. A slot is a range of times;
 * its tokens count as generated at its start. */
typedef struct {
    int64_t slot_ns; /* length of a slot */
    int64_t slot[CP_QUOTA_RING];
    int64_t amount[CP_QUOTA_RING];
} CpQuotaStock;

/* stock: tokens of one organisation that were received or returned */
void CpQuotaStock_Init(CpQuotaStock *s, int64_t life_ns);
int64_t CpQuotaStock_Total(const CpQuotaStock *s, int64_t now_ns);
/* Adds tokens that were generated evenly between two times; those that have
 * expired are dropped. */
void CpQuotaStock_Add(CpQuotaStock *s, int64_t amount, int64_t oldest_ns,
                      int64_t newest_ns, int64_t now_ns);
/* Takes up to `amount`, the oldest first, and returns what was taken;
 * *oldest_ns is the time of the oldest. */
int64_t CpQuotaStock_Take(CpQuotaStock *s, int64_t amount, int64_t now_ns,
                          int64_t *oldest_ns);
/* Takes up to `amount` of those of about the same age as the oldest. */
int64_t CpQuotaStock_TakeOldest(CpQuotaStock *s, int64_t amount,
                                int64_t now_ns, int64_t *oldest_ns);
/* Gives up to `amount` of the oldest tokens, if they are older than that, the
 * ages of tokens generated evenly between two times. */
void CpQuotaStock_Exchange(CpQuotaStock *s, int64_t amount, int64_t oldest_ns,
                           int64_t newest_ns, int64_t now_ns);
/* Changes the lifetime, and multiplies the ages of all tokens. */
void CpQuotaStock_Resize(CpQuotaStock *s, int64_t life_ns, double age_factor,
                         int64_t now_ns);
/* Drops the oldest tokens beyond `capacity`. */
void CpQuotaStock_Trim(CpQuotaStock *s, int64_t capacity, int64_t now_ns);

/* Another host. */
typedef struct {
    char name[CP_NAME_BYTES];
    uint64_t hash;
    bool listed; /* in the hosts table; used while it is replaced */
    bool live;
    bool usable;           /* live, and it responds */
    bool needed;           /* it is or would be the pool of organisations */
    uint64_t incarnation;  /* that responded last; 0: none */
    int64_t contact_ns;    /* its last response; 0: none */
    int64_t unanswered_ns; /* first message since without response; 0: none */
    int64_t probed_ns;     /* last message that wants a response */
    int64_t clock_offset_ns; /* its clock minus this host's, or less */
    int64_t offset_set_ns;
    uint64_t rx_incarnation; /* of the last message; 0: none */
    uint64_t rx_previous;    /* incarnation before that */
    uint64_t rx_sequence;    /* highest received */
    uint64_t rx_mask;        /* bit k: rx_sequence - k was received */
} CpQuotaPeer;

typedef struct {
    pthread_mutex_t lock; /* guards the rest */
    GPtrArray *peers;     /* CpQuotaPeer, without this host */
    uint64_t own_hash;
    uint32_t count;         /* hosts in the table */
    uint32_t divisor;       /* hosts among which the rate is divided */
    int64_t divisor_ns;     /* when `count` was last that high */
    bool self_listed;       /* this host is in the complete table and live */
    int64_t self_listed_ns; /* since when */
    bool self_was_listed;   /* at any time since the start */
    bool restarted;         /* the others counted this host all the time */
    int64_t started_ns;     /* of this process */
    int64_t grown_ns;       /* when the table last got more rows */
    bool generates;         /* this host generates tokens */
    uint64_t sequence;      /* of the last message sent */
    uint32_t epoch;         /* incremented when an order may change */
} CpQuotaPeers;

/* peers: the other hosts, their clocks, and whether they respond */
void CpQuotaPeers_Init(CpQuotaPeers *p, const char *host, int64_t started_ns);
void CpQuotaPeers_Clear(CpQuotaPeers *p);
void CpQuotaPeers_Set(CpQuotaPeers *p, const char *host,
                      const CpQuotaHostTable *table, int64_t now_ns);
/* Updates which hosts respond, and the number that divides the rate. */
void CpQuotaPeers_Tick(CpQuotaPeers *p, int64_t now_ns);
/* The process was paused: responses may be waiting to be received. */
void CpQuotaPeers_OnPause(CpQuotaPeers *p, int64_t now_ns);
/* Returns how many hosts divide the rate; 0: this host generates nothing. */
uint32_t CpQuotaPeers_Divisor(CpQuotaPeers *p, int64_t now_ns);
uint32_t CpQuotaPeers_Epoch(CpQuotaPeers *p);
/* Returns true if tokens were generated from the process start on. */
bool CpQuotaPeers_IsRestarted(CpQuotaPeers *p);
/* Returns true soon after a restart: others may be starting, too, and pools
 * are still being filled. */
bool CpQuotaPeers_IsStarting(CpQuotaPeers *p, int64_t now_ns);
/* Determines the first two usable hosts in the organisation's order. "": there
 * is none; is_self: this host is before it in the order. */
void CpQuotaPeers_Order(CpQuotaPeers *p, uint64_t org,
                        char first[CP_NAME_BYTES], char next[CP_NAME_BYTES],
                        bool *is_self);
/* Returns true if tokens may be moved to the host: it responds and its clock
 * is known. */
bool CpQuotaPeers_IsReachable(CpQuotaPeers *p, const char *name,
                              int64_t now_ns);
/* Fills in the fields about both hosts; returns false if the host is unknown.
 */
bool CpQuotaPeers_Address(CpQuotaPeers *p, CpQuotaMessage *m, int64_t now_ns);
/* Lists needed hosts that have to be asked for a response. */
uint32_t CpQuotaPeers_ListProbes(CpQuotaPeers *p, int64_t now_ns,
                                 char (*out)[CP_NAME_BYTES],
                                 uint32_t capacity);
/* Returns true if the message is of a known host and was not received before.
 * *delay_ns is at least the time since it was sent; -1: unknown. */
bool CpQuotaPeers_Accept(CpQuotaPeers *p, const CpQuotaMessage *m,
                         uint64_t incarnation, int64_t now_ns,
                         int64_t *delay_ns);

typedef struct {
    uint64_t id; /* 0: none */
    int64_t sent_ns;
    int64_t amount;
} CpQuotaAsk;

/* What is waited for from other hosts. */
typedef enum {
    CP_QUOTA_IDLE = 0,
    CP_QUOTA_ASKED,   /* the pool was asked */
    CP_QUOTA_REPEATED /* the pool was asked again, and the next host */
} CpQuotaAskState;

#define CP_QUOTA_ASK_COUNT 3 /* to the pool, again, to the next host */

typedef struct {
    uint64_t hash;
    CpQuotaLimit limit;
    bool listed; /* used while the limits are replaced */
    double rate; /* of generation by all hosts, per s; 0: no limit */
    int64_t life_ns;
    int64_t capacity;       /* of a pool */
    uint32_t move_interval; /* in ticks */
    int64_t raised_ns;      /* last raise of the burst; 0: none */
    double generation;      /* of this host, per s */
    int64_t own_from_ns;    /* own tokens: generated since then */
    bool generated;         /* this host has generated tokens */
    CpQuotaStock stock;
    int64_t used;           /* own tokens used, not yet told to the pool */
    int64_t used_oldest_ns; /* when those were generated */
    int64_t used_newest_ns;
    int64_t used_told_ns; /* when the pool was last told */
    double demand_per_s;  /* requests, decaying mean */
    uint32_t arrivals;    /* since the last tick */
    uint32_t waiting;     /* requests */
    double inflow_per_s;  /* moved here, decaying mean */
    int64_t inflow;       /* since the last tick */
    int64_t promised_ns;  /* inflow until then was promised to denied hosts */
    int64_t denied_until_ns;
    int64_t denial_ns;        /* length of that denial */
    uint32_t denied_requests; /* during it */
    bool unanswered;          /* it is because no host responded */
    CpQuotaAskState ask_state;
    int64_t asked_ns; /* time of the last change of ask_state */
    CpQuotaAsk asks[CP_QUOTA_ASK_COUNT];
    uint32_t epoch;           /* of the peers, for which the order holds */
    char pool[CP_NAME_BYTES]; /* "": no other host */
    char next[CP_NAME_BYTES];
    bool is_pool; /* this host is before `pool` in the order */
} CpQuotaOrg;

typedef struct {
    pthread_mutex_t lock; /* guards the next */
    GHashTable *orgs;     /* CpQuotaOrg by hash */
} CpQuotaShard;

struct CpQuota {
    CpQuotaOptions options;
    char host[CP_NAME_BYTES];
    CpQuotaPeers peers;
    CpQuotaShard shards[CP_QUOTA_SHARDS];
    bool limits_set;                    /* used by CpQuota_SetLimits() only */
    uint64_t ask_id;                    /* atomic */
    uint32_t ticks;                     /* used by CpQuota_Tick() only */
    int64_t tick_ns;                    /* as above: of the last; 0: none */
    uint64_t asked, messages, rejected; /* atomic */
};

#endif
