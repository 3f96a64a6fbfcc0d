/* Internal declarations of the host package. */
#ifndef CP_HOST_INT_H
#define CP_HOST_INT_H

#include <ck_epoch.h>
#include <glib.h>
#include <pthread.h>

#include "admit/admit.h"
#include "host/host.h"
#include "http/http.h"
#include "member/member.h"
#include "once/once.h"
#include "store/store.h"
#include "relay/relay.h"
#include "steer/steer.h"
#include "wire/wire.h"

#define CP_STREAM_SHARDS 16
#define CP_LOOKUP_ROTATIONS 4 /* responses per domain, to spread clients */
#define CP_LEDGER_SHARDS 16
#define CP_POOL_TICK_MS 5
#define CP_MAX_REGIONS 32
#define CP_MAX_DRAIN_ENTRIES 1024 /* entries read of a row live/DOMAIN */

/* A configuration version and the data derived from it alone. */
typedef struct {
    uint32_t refs;
    uint64_t version;
    CpConfig *config;
    CpTopology *topology;
    char *text;
    size_t text_bytes;
    uint32_t self; /* index of this host, or CP_NO_INDEX */
    uint32_t self_domain;
    uint32_t *domain_hosts; /* indexes of this domain's hosts */
    uint32_t domain_host_count;
    uint32_t **host_orders; /* by server of this domain: rendezvous order */
    uint32_t *server_slots; /* by server: slots within the region's limit */
} CpGeneration;

/* Rendered lookup responses, shared by views until a host's state changes. */
typedef struct {
    uint32_t refs;
    uint32_t count;
    char **bodies; /* [domain][rotation] */
} CpLookupResponses;

/* Immutable snapshot that request threads read; replaced as a whole and
 * reclaimed by epochs. */
typedef struct {
    ck_epoch_entry_t epoch;
    uint32_t refs;
    CpGeneration *generation;
    CpSteerHost *hosts;
    CpLookupResponses *lookups;
    uint32_t member_changes; /* CpNode.member_changes at rendering */
} CpView;

/* Sources that report a backend server as draining; each can clear only its
 * own report. */
typedef enum {
    CP_DRAIN_OPERATOR = 1, /* the operator API */
    CP_DRAIN_STORE = 2,    /* the store's row live/DOMAIN */
    CP_DRAIN_HEALTH = 4    /* the server's health endpoint */
} CpDrainSource;

/* One pool of backend servers, as this host uses it. */
typedef struct {
    pthread_mutex_t lock; /* guards all fields below */
    CpNode *node;
    char name[CP_NAME_BYTES];
    CpAdmit *admit;
    uint32_t server_count;
    uint32_t capacity;
    char (*names)[CP_NAME_BYTES];
    char (*addresses)[CP_ADDR_BYTES];
    CpShare *shares;
    uint32_t *next_own;    /* static share once every host has the version */
    uint32_t *current_own; /* static share in use until then */
    bool *configured;      /* in this domain, not draining by configuration */
    bool *is_owner;        /* this host may borrow slots of it */
    bool *was_owner;       /* this host may still hold loans for it */
    uint32_t *drain_sources; /* CpDrainSource bits, configuration excluded */
    CpExchange *started; /* collected under the lock, sent after unlocking */
    CpExchange *refused;
    uint32_t usable_slots; /* of all its servers, at the last refresh */
    uint32_t config_index; /* of the pool in the configuration */
} CpHostPool;

/* This host's share of the link to another region; units are KB/s. */
typedef struct {
    bool capped;
    CpPacer pacer;
    CpShare share;
    uint64_t sent_bytes; /* since the last loan requests */
    uint32_t used_kb_s;  /* in the interval before them */
    bool delayed;        /* a frame was delayed since then */
} CpHostLink;

/* A request that this host forwarded to another, or received from one. */
typedef struct {
    uint64_t id;
    CpSession *session;
    CpExchange *ex;
    CpNode *node;
    bool outgoing;
    bool ended;
    CpForwardPurpose purpose;
    uint32_t host_index; /* index of the host it was forwarded to */
    uint32_t pool_index;
    uint64_t received_bytes;   /* of the incoming body */
    uint32_t uncredited_bytes; /* consumed, not credited yet; atomic */
    pthread_mutex_t lock;      /* guards the sending side below */
    bool head_sent;
    bool end_sent;
    uint32_t credit_bytes;
    uint64_t sent_bytes;
} CpStream;

typedef struct {
    pthread_mutex_t lock; /* guards streams */
    GHashTable *streams;
} CpStreamShard;

struct CpNode {
    CpSettings settings;
    uint64_t incarnation;
    uint8_t key[32];
    char token[256];
    int64_t started_ns;
    int64_t configured_ns; /* first configuration; timer's thread only */
    uint32_t leaving;      /* flag; atomic */
    /* flag: the store had no row of an earlier incarnation; atomic */
    uint32_t first_start;

    CpBudget *budget; /* of the memory for callers and servers */
    CpTimer *timer;
    CpWire *wire;
    CpFront *front;
    CpBackend *backend;
    CpOperator *operator_api;
    CpStore *store;
    CpLedger *ledger;
    uint64_t next_ticket; /* atomic */

    ck_epoch_t epoch;
    CpView *view; /* atomic */

    pthread_mutex_t member_lock; /* guards the fields up to probe_id */
    CpMemberTable *members;
    uint32_t member_changes; /* count; atomic */
    uint64_t newest_version; /* highest that any host reported */
    char newest_host[CP_NAME_BYTES];
    uint64_t probe_id;

    pthread_mutex_t pools_lock;      /* guards additions to pools */
    CpHostPool *pools[CP_MAX_POOLS]; /* read without the lock; never freed */
    uint32_t pool_count;             /* atomic */
    uint32_t rank_inflight[CP_RANK_COUNT]; /* atomic */

    uint64_t next_stream; /* atomic */
    CpStreamShard streams[CP_STREAM_SHARDS];
    uint32_t *forwarded_inflight; /* [host][pool], atomic; allocated once */
    uint64_t *load_hints; /* [host][pool], atomic: from the last response */

    pthread_mutex_t loan_lock; /* guards the next 2 */
    uint64_t loan_request_id;
    struct {
        uint64_t id;
        int64_t requested_ns;
    } loan_requests[256];

    pthread_mutex_t link_lock;        /* guards links */
    CpHostLink links[CP_MAX_REGIONS]; /* by destination region */

    pthread_mutex_t shift_lock; /* guards the next 4 */
    CpShiftLimiter shift_limiter;
    /* cap on the growth of foreign requests, whole domain */
    uint64_t domain_shift_cap_milli;
    uint32_t domain_slots; /* of all servers of the domain */
    uint32_t usable_slots; /* usable by this host */

    pthread_mutex_t retry_budget_lock; /* guards retry_budget */
    CpRetryBudget retry_budget;

    pthread_t health_thread;
    uint32_t health_stop; /* flag; atomic */
    void *health_multi;   /* CURLM */

    pthread_mutex_t install_lock; /* one version is installed at a time */
    pthread_t follow_thread;
    pthread_mutex_t follow_lock; /* guards the fields below */
    pthread_cond_t follow_wake;
    bool follow_stop;
    bool follow_pending;
    uint64_t latest_version; /* highest that the store or a host reported */
    int64_t head_read_ns;    /* start of the last read that gave it; 0: none */
    uint64_t fetch_version;  /* being fetched from a peer */
    GString *fetch_text;
};

/* view: configuration, members and rendered lookups */
void CpView_Install(CpNode *n, CpGeneration *g);
/* Rebuilds hosts and lookups from the membership table. */
void CpView_Refresh(CpNode *n);
/* Returns the current view, retained. */
CpView *CpView_Retain(CpNode *n);
void CpView_Release(CpView *v);
void CpView_Reclaim(CpNode *n);
CpGeneration *CpGeneration_New(CpNode *n, CpConfig *config, char *text,
                               size_t text_bytes, uint64_t version);
void CpGeneration_Release(CpGeneration *g);
/* Returns a host's static share of a server's slots. */
uint32_t CpGeneration_StaticShare(const CpGeneration *g, uint32_t server,
                                  uint32_t host);
char *CpView_RenderLookup(void *ctx, const char *kind, const char *client,
                          uint32_t *ttl_s);
void CpView_FindOrigin(void *ctx, const char *client, char out[CP_NAME_BYTES]);
CpReason CpView_FindKind(void *ctx, const char *name, CpKindInfo *out);

/* dispatch (host_route.c): request limit, choice of a host, retries */
/* Handles a new exchange of the front end; consumes the reference. */
void CpDispatch_Submit(void *ctx, CpExchange *ex);
/* Chooses a host for an exchange and sends it there; consumes the reference.
 */
void CpDispatch_Send(CpNode *n, CpExchange *ex);
/* Retries the exchange, or fails it, after an attempt ended without a
 * response. Consumes the reference. */
void CpDispatch_OnAttemptFailed(CpNode *n, CpExchange *ex, CpVerdict verdict,
                                CpReason reason);
/* Ends the work on an exchange; consumes the reference. */
void CpDispatch_End(CpNode *n, CpExchange *ex);

/* pool: admission to the backend servers of this host's domain */
void CpPool_Configure(CpNode *n, const CpGeneration *g);
CpHostPool *CpPool_Find(CpNode *n, const char *name);
void CpPool_Submit(CpNode *n, CpExchange *ex);
void CpPool_OnBackendDone(void *ctx, CpExchange *ex,
                          const CpBackendResult *result);
void CpPool_Tick(void *ctx, int64_t now_ns);
/* Counts the requests in flight or queued in the pool of an exchange. */
uint32_t CpPool_CountRequests(CpExchange *ex);
/* The caller of the next two holds the pool's lock. */
uint32_t CpPool_FindServer(const CpHostPool *p, const char *name);
void CpPool_Refresh(CpHostPool *p, int64_t now_ns);
/* Unlocks the pool and processes the started and refused requests. */
void CpPool_Flush(CpHostPool *p);
uint32_t CpPool_GetLoads(CpNode *n, CpPoolLoad *out);
/* Records or clears one source's report that a backend server is draining;
 * returns false if no pool has the server. */
bool CpPool_SetDraining(CpNode *n, const char *server, CpDrainSource source,
                        bool draining);
/* Lists the backend servers that this host may send requests to; free() the
 * result. */
typedef struct {
    char name[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
} CpServerAddress;
uint32_t CpPool_ListServers(CpNode *n, CpServerAddress **out);

/* loan: ownership of backend servers, and slots lent between hosts */
/* Sends a loan request; CpLoan_OnGrant() matches the grant by its id. */
void CpLoan_SendRequest(CpNode *n, const CpHost *peer, CpLoanRow *rows,
                        uint32_t count, int64_t now_ns);
void CpLoan_Tick(void *ctx, int64_t now_ns);
void CpLoan_OnRequest(CpNode *n, CpSession *s, const CpFrame *f);
void CpLoan_OnGrant(CpNode *n, CpSession *s, const CpFrame *f);

/* stream: requests forwarded between hosts */
void CpStream_Init(CpNode *n);
void CpStream_Send(CpNode *n, CpExchange *ex, uint32_t host_index,
                   const CpHost *host, CpForwardPurpose purpose);
void CpStream_OnFrame(void *ctx, CpSession *s, const CpFrame *f);
void CpStream_OnRequestUnsent(void *ctx, CpSession *s, uint64_t id);
void CpStream_OnSessionClosed(CpNode *n, CpSession *s);

/* once: tickets and the ledger */
void CpOnce_Submit(CpNode *n, CpExchange *ex);
/* Handles a request whose ticket issuer was unreachable or refused it. */
void CpOnce_OnIssuerFailed(CpNode *n, CpExchange *ex, CpVerdict verdict,
                           CpReason reason);
void CpOnce_OnLedgerRecord(void *ctx, void *waiter,
                           const CpLedgerRecord *record);
char *CpOnce_RenderTicket(void *ctx);
int64_t CpOnce_Now_ms(void);

/* peers: membership, over the sessions between hosts */
void CpPeers_Init(CpNode *n);
void CpPeers_Tick(void *ctx, int64_t now_ns);
void CpPeers_OnProbe(CpNode *n, CpSession *s, const CpFrame *f);
void CpPeers_OnSessionClosed(void *ctx, CpSession *s, bool refused);
void CpPeers_Configure(CpNode *n, const CpGeneration *g);

/* link: bandwidth to other regions, lent between the hosts of a region */
void CpLink_Configure(CpNode *n, const CpGeneration *g);
/* Takes bytes from the share of the link to the peer's region; returns false
 * if the frame has to wait. */
bool CpLink_ReserveBandwidth(void *ctx, const char *peer, uint32_t class_index,
                             uint32_t size_bytes);
void CpLink_Tick(void *ctx, int64_t now_ns);
/* Handle loan rows whose resource is a link; return false for other rows. */
bool CpLink_Lend(CpNode *n, const CpGeneration *g, CpSession *s, uint64_t id,
                 const CpLoanRow *row, uint32_t *units);
bool CpLink_RecordGrant(CpNode *n, const CpGeneration *g, CpSession *s,
                        const CpLoanRow *row, int64_t requested_ns);

/* follow: the accepted configuration, from the store or from peers */
CpStatus CpFollow_Start(CpNode *n);
void CpFollow_Stop(CpNode *n);
void CpFollow_Wake(void *ctx, int64_t now_ns);
/* Records that a version exists. */
void CpFollow_OnVersion(CpNode *n, uint64_t version);
/* Returns true if a version is the latest as far as this host can know: the
 * store has reported no later one a short time ago, and no host has. */
bool CpFollow_IsCurrent(void *ctx, uint64_t version);
void CpFollow_OnGet(CpNode *n, CpSession *s, const CpFrame *f);
void CpFollow_OnChunk(CpNode *n, CpSession *s, const CpFrame *f);

/* health: polls the health endpoints of backend servers */
CpStatus CpHealth_Start(CpNode *n);
void CpHealth_Stop(CpNode *n);

/* report: endpoints of the operator API */
extern const CpOperatorRoute cp_operator_routes[];

#endif
