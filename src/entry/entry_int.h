/* Internal declarations of the entry package. */
#ifndef CP_ENTRY_INT_H
#define CP_ENTRY_INT_H

#include <glib.h>
#include <pthread.h>
#include <sys/socket.h>

#include "admit/admit.h"
#include "base/event.h"
#include "entry/entry.h"
#include "http/http.h"
#include "quota/quota.h"
#include "store/era.h"
#include "wire/wire.h"

/* An entry host, this one included, from its row and its last report. */
typedef struct {
    char name[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    char caller[CP_ADDR_BYTES];
    char inner[CP_ADDR_BYTES];
    char control[CP_ADDR_BYTES]; /* "": none */
    uint64_t incarnation;
    /* Reports of these two are late; 0: none. */
    uint64_t previous_incarnation; /* that reported before this one */
    uint64_t replaced_incarnation; /* of the row before */
    bool leaving;
    bool silent; /* its reports have timed out */
    uint64_t last_report_sequence;
    int64_t row_read_ns;
    int64_t last_report_ns;   /* 0: none received */
    int64_t last_watching_ns; /* last_report_ns of a watching host; else 0 */
    bool reports_era; /* in frames of their own: the versions in its reports
                         are not used */
} CpEntryHost;

typedef struct {
    char value[CP_ADDR_BYTES];
} CpEntryAddress;

/* One thread that follows one table of the store. */
typedef struct {
    CpEntry *entry;
    CpTable table;
    CpStore *store;
    pthread_t thread;
    bool connected; /* this and the next 2: used by the thread only */
    int64_t unreachable_since_ns; /* start of the last outage; 0: none */
    int64_t call_started_ns;
    pthread_mutex_t rows_lock; /* guards the next 3 */
    uint32_t list_number;      /* incremented by each list of all rows */
    /* From this version on, `rows` has a mark of each row that was removed. A
     * list of all rows has no marks, so that they start anew there. 0: none
     * read. */
    uint64_t removals_version;
    GHashTable *rows;  /* last read version of each, served to other hosts */
    uint64_t list_era; /* highest of the rows; by rows_lock */
    uint32_t consecutive_errors; /* atomic */
    uint64_t rows_read;          /* count; atomic */
    bool ended_early; /* the call, to confirm the copy or as it asks for a
                         version of an earlier era; thread only */
    pthread_mutex_t versions_lock; /* guards the next 3 */
    /* highest of all rows read, and of the removals that a scan implies */
    CpTableVersion row;
    CpTableVersion read;           /* the table is read completely up to it */
    CpTableVersion peer;           /* highest that a peer has read */
    char peer_host[CP_NAME_BYTES]; /* that peer, "": none; guarded by
                                      store_lock */
    /* when `peer` first exceeded `read`; 0: it does not; atomic */
    int64_t behind_since_ns;
} CpEntryFollower;

/* What one request has of its organisation's quota. */
typedef struct {
    CpRequest *request;
    uint64_t org;
    bool taken;            /* it has a token */
    int64_t token_ns;      /* when that was generated */
    int64_t wait_began_ns; /* 0: it does not wait */
    bool listed;           /* in its shard's `waiting` */
    GList link;
} CpEntryQuotaTicket;

#define CP_ENTRY_QUOTA_SHARDS 8
typedef struct {
    pthread_mutex_t lock; /* guards the next */
    GQueue waiting;       /* CpEntryQuotaTicket */
} CpEntryQuotaShard;

struct CpEntry {
    CpSettings settings;
    CpEntryAdapter adapter;
    uint64_t incarnation;
    int64_t started_ns;
    uint32_t leaving;   /* flag; atomic */
    int64_t stop_by_ns; /* when requests in flight are cut; 0: never; atomic */
    CpTimer *timer;
    CpFleet *fleet;
    CpProxy *proxy;
    CpBudget *budget; /* of the memory for callers and servers */
    CpPages *directory;
    CpPages *ready;
    CpPages *metrics;
    CpPages *control; /* NULL: none */
    CpStore *store;   /* for writes */
    CpEntryFollower followers[CP_TABLE_COUNT];
    int64_t own_row_written_ns; /* by the timer's thread; 0: not yet */
    int64_t own_row_lost_ns; /* the store has lost it; 0: it has not; atomic */
    int64_t held_over_checked_ns; /* by the timer's thread */

    pthread_mutex_t start_lock; /* guards the next */
    bool neighbours_asked;      /* at a start in a later era */

    pthread_mutex_t store_lock; /* guards the next 10 */
    /* signalled when the store is reachable again or a peer has a later
     * version */
    pthread_cond_t store_changed;
    bool store_reachable;
    bool store_was_unreachable; /* it has been unreachable before */
    /* when it was last reachable again after an outage that may have made
     * entries lapse */
    int64_t store_reachable_since_ns;
    int64_t store_answered_ns; /* last answer to any call of the followers */
    uint64_t store_era;        /* latest that is known */
    int64_t store_era_since_ns;
    CpEraConfig config;              /* but for `in_force` */
    char config_host[CP_NAME_BYTES]; /* has the highest configuration that is
                                        known; "": none to ask */
    int64_t config_asked_ns;
    /* flag: lapsed entries may exist; atomic */
    uint32_t lapsed_removal_due;

    pthread_mutex_t routes_lock; /* guards the next 2 */
    CpRoutes *routes;            /* NULL: none in force yet */
    int64_t routes_since_ns;     /* when they came into force */

    pthread_mutex_t hosts_lock; /* guards the next 3 */
    GPtrArray *hosts;           /* CpEntryHost */
    bool *domain_silent;        /* no host of the domain is heard */
    bool had_row; /* this host, of an earlier process, in the first read */

    int32_t report_fd;
    pthread_t report_thread;
    uint32_t report_ticks;    /* atomic */
    uint64_t report_sequence; /* of the last report sent; atomic */
    /* selects the recipient in each remote domain; guarded by hosts_lock */
    uint32_t remote_rotation;
    uint32_t hosts_in_domain; /* that are not silent; atomic */

    CpFreshness *freshness;
    CpTimer *freshness_timer;
    bool was_fresh; /* this and the next two: used by that timer only */
    bool was_current;
    uint32_t freshness_queries;
    CpQuota *quota; /* NULL: quotas are not enforced */
    CpEntryQuotaShard quota_shards[CP_ENTRY_QUOTA_SHARDS]; /* by org */
    CpTimer *quota_timer;
    uint32_t quota_ticks;     /* used by that timer only */
    bool quota_has_all_hosts; /* as above */

    pthread_mutex_t retry_budget_lock; /* guards retry_budget */
    CpRetryBudget retry_budget; /* retries that this host may still send */
    CpContention *contention;
};

/* follow: the tables of the store */
CpStatus CpEntryFollow_Start(CpEntry *e);
/* Returns the routes in force, retained, or NULL if there are none. */
CpRoutes *CpEntry_RetainRoutes(CpEntry *e, int64_t *since_ns);
/* Returns true if this host accepts requests: it has routes and is not
 * leaving. */
bool CpEntry_IsReady(CpEntry *e);
void CpEntryFollow_Tick(void *ctx, int64_t now_ns);
/* Handles a report of a peer that it has read a table up to a version. */
void CpEntryFollow_OnPeerVersion(CpEntry *e, const char *host, CpTable table,
                                 const CpTableVersion *version,
                                 int64_t now_ns);
/* Handles the news, from the store or another host, that the store was
 * restored and is in this era. */
void CpEntryFollow_OnEra(CpEntry *e, uint64_t era);
/* Handles a report of a peer that it has this version of the configuration in
 * force. */
void CpEntryFollow_OnPeerConfig(CpEntry *e, const char *host,
                                uint64_t version);
/* Decides anew whether the configuration may be confirmed; call it before
 * each confirmation. */
void CpEntryFollow_CheckConfig(CpEntry *e);
/* Sets that the newest configuration that was read cannot be used, or can. */
void CpEntryFollow_SetRejected(CpEntry *e, bool rejected);
/* Returns the version of the configuration in force; 0: none. */
uint64_t CpEntryFollow_ConfigInForce(CpEntry *e);
/* Reads one of the three versions of a follower, under their lock. */
CpTableVersion CpEntryFollow_Get(CpEntryFollower *f, const CpTableVersion *v);
/* Returns the latest known era of the store. */
uint64_t CpEntryFollow_Era(CpEntry *e);
/* Returns false since the last call to the store failed. */
bool CpEntryFollow_IsStoreReachable(CpEntry *e);
/* Returns true if this is a watching host and the store is reachable. */
bool CpEntryFollow_IsWatching(CpEntry *e);
/* Returns how long missing entries may still reappear; 0: they are gone. */
uint32_t CpEntryFollow_LapseLeft_ms(CpEntry *e, int64_t now_ns);
/* Sets that time as reported by a peer that reaches the store. */
void CpEntryFollow_SetLapseLeft(CpEntry *e, uint32_t left_ms, int64_t now_ns);
/* Returns the highest version of the rows read from a table; 0 while rows are
 * missing that other hosts would expect of this one. */
CpTableVersion CpEntryFollow_RowVersion(CpEntry *e, CpTable table);

/* Returns true during an outage of the store and for `lapse_ms` after it, when
 * a missing entry may reappear. */
bool CpEntryFollow_MayHaveLapsed(CpEntry *e, int64_t now_ns);

/* rows: applies a row of a table; `ctx` is a CpEntryFollower */
void CpEntryFollow_OnRow(void *ctx, const CpFeedRow *row);
/* Sets the version that this host reports to others, unless it is higher. */
void CpEntryFollow_RaiseRowVersion(CpEntryFollower *f,
                                   const CpTableVersion *version);
/* Decodes the version of a configuration; returns false if it is unusable. */
bool CpEntryFollow_GetConfigVersion(CpEntry *e, const char *text,
                                    size_t text_bytes, uint64_t *version);

/* neighbours: rows of the tables that hosts fetch from each other */
void CpEntryNeighbours_Init(CpEntryFollower *f);
/* Decides on a row and keeps it, or what replaces it. IGNORE: a later version
 * of the row is held, as copies of other hosts may lag. */
CpEraDecision CpEntryNeighbours_UpdateRow(CpEntryFollower *f,
                                          const CpFeedRow *row);
/* Returns the value of a host's row before the present one, or of a deleted
 * row; g_free() it. NULL if it is not known. */
char *CpEntryNeighbours_GetLastValue(CpEntryFollower *f, const char *key);
/* Begin and end a list of all rows as of `version`. Rows that it did not
 * contain are removed at its end, as if their removal had been read; marks of
 * removals are complete from `removals_version` on. */
void CpEntryNeighbours_BeginList(CpEntryFollower *f);
void CpEntryNeighbours_EndList(CpEntryFollower *f,
                               const CpTableVersion *version,
                               uint64_t removals_version);
/* Removes rows that were held over and did not come back. */
void CpEntryNeighbours_GiveUpHeldOver(CpEntryFollower *f, int64_t now_ns);
/* Loads all tables from all neighbours, so that a host that starts after a
 * restore knows what they know. Returns false if none answered. */
bool CpEntryNeighbours_AskAll(CpEntry *e);
/* Fetches the configuration from a peer; returns false if that failed. */
bool CpEntryNeighbours_FetchConfig(CpEntry *e, const char *peer);
/* Loads all tables from the first neighbour that has routes. */
void CpEntryNeighbours_LoadTables(CpEntry *e);
/* Fetches the rows that a peer has read after *version, applies them and
 * advances *version. Rows that the peer lacks and whose removal it cannot list
 * are removed. CP_ERR_PARSE: it has no later version, or does not state from
 * which version its removals are complete. */
CpStatus CpEntryNeighbours_FetchChanges(CpEntryFollower *f, const char *peer,
                                        CpTableVersion *version);
/* The same for a host that does not reach the store itself, and says nothing
 * of entries that lapsed. */
CpStatus CpEntryNeighbours_FetchMissed(CpEntryFollower *f, const char *peer,
                                       CpTableVersion *version);
/* Fetches all rows of a table from a host that has read it; *version becomes
 * the version up to which it has. */
CpStatus CpEntryNeighbours_LoadTable(CpEntryFollower *f, const char *peer,
                                     CpTableVersion *version);
uint32_t CpEntryNeighbours_RenderState(void *ctx, const CpPageQuery *q,
                                       char **out);

/* hosts: the table of entry hosts */
void CpEntryHosts_Init(CpEntry *e);
/* Writes this host's row if the store lacks it; a failure is logged and
 * retried with the next call. */
void CpEntryHosts_Tick(void *ctx, int64_t now_ns);
void CpEntryHosts_RemoveOwnRow(CpEntry *e);
void CpEntryHosts_OnRow(CpEntry *e, const CpFeedRow *row);
/* The store has lost this host's row: it is written again, after a delay that
 * spreads the writes of all hosts. */
void CpEntryHosts_OnOwnRowLost(CpEntry *e, int64_t now_ns);
/* Records that a peer reports the era of its versions; returns false if the
 * peer is unknown. */
bool CpEntryHosts_OnEra(CpEntry *e, const char *name);
/* Returns true if it does. */
bool CpEntryHosts_ReportsEra(CpEntry *e, const char *name);
/* Counts the known hosts; at least 1. */
uint32_t CpEntryHosts_Count(CpEntry *e);
/* Returns this host's rank by name among the live hosts of its domain, from 0.
 * The first `watching_hosts` ranks follow the store; rank 0 detects that the
 * store is unreachable. */
uint32_t CpEntryHosts_Rank(CpEntry *e);
/* Returns true in the first seconds of a first start. */
bool CpEntryHosts_IsStarting(const CpEntry *e);
/* Copies the name of the host of this domain from which this one loads the
 * tables at a first start; returns false if it has to read the store. */
bool CpEntryHosts_GetParent(CpEntry *e, char out[CP_NAME_BYTES]);
/* Returns true if a peer in this domain is a watching host. */
bool CpEntryHosts_HasWatchingPeer(CpEntry *e, int64_t now_ns);
/* Copies the control address of a host; returns false if it has none. */
bool CpEntryHosts_GetControlAddress(CpEntry *e, const char *name,
                                    char out[CP_ADDR_BYTES]);
/* Counts the hosts that share this host's callers and servers: those of its
 * domain and of its region that are not silent. Each count is at least 1. */
void CpEntryHosts_CountSharing(CpEntry *e, CpFleetHostCounts *out);
/* Returns true if this host may send to a server while it is cold: only the
 * first hosts of the server's own domain, in the rendezvous order of the
 * server, do. *host_count is the number of those hosts. */
bool CpEntryHosts_GetWarmupShare(void *ctx, const char *instance,
                                 const char *domain, uint32_t *host_count);
/* Lists the watching hosts to ask for the freshness of the operator's table
 * and returns their number: the first one of this domain, or, if there is
 * none, one of another domain; with `several` also the next one, and one of
 * another domain. `rotation` selects that. */
#define CP_ENTRY_MAX_ASKED 3
uint32_t CpEntryHosts_ListWatching(CpEntry *e, bool several, uint32_t rotation,
                                   CpEntryAddress out[CP_ENTRY_MAX_ASKED]);
/* Returns true if this host polls the server's speed: it is the first live
 * host of its domain in the rendezvous order of the server. `ctx` is a
 * CpEntry. */
bool CpEntryHosts_IsPoller(void *ctx, const char *instance);
/* Encodes the directory's response to a caller in a domain that looks up a
 * host name; free() it. NULL if no host is available. */
char *CpEntryHosts_EncodeDirectory(CpEntry *e, const char *host_name,
                                   const char *domain, const char *region);

/* Records a report of a peer; returns false if the peer is unknown or the
 * report is not later than the last one. */
bool CpEntryHosts_OnReport(CpEntry *e, const char *name, uint64_t incarnation,
                           uint64_t sequence, bool leaving, bool watching,
                           int64_t now_ns);
/* Marks hosts as silent whose reports have timed out; the directory leaves
 * them out. */
void CpEntryHosts_CheckSilence(CpEntry *e, int64_t now_ns);
/* Lists the recipients of a report and returns their number. The usage of a
 * server goes to the hosts of the server's domain and of this domain, and to
 * others that use the server. A complete report goes to the hosts of this
 * domain, and to one of each other domain if `remote`. */
uint32_t CpEntryHosts_ListUsageRecipients(CpEntry *e,
                                          const CpFleetUsage *usage,
                                          CpEntryAddress *out,
                                          uint32_t capacity);
uint32_t CpEntryHosts_ListReportRecipients(CpEntry *e, bool remote,
                                           CpEntryAddress *out,
                                           uint32_t capacity);

/* Copies the address for datagrams of a host; returns false if the host is
 * unknown. */
bool CpEntryHosts_GetInnerAddress(CpEntry *e, const char *name,
                                  CpEntryAddress *out);
/* Lists all hosts of the table, this one included; free() *out. *restarted:
 * this host had a row before this process wrote one. */
uint32_t CpEntryHosts_ListForQuota(CpEntry *e, CpQuotaHost **out,
                                   bool *restarted);

/* peers: reports between hosts */
#define CP_ENTRY_REPORT_INTERVAL_MS 500         /* of complete reports */
#define CP_ENTRY_REMOTE_REPORT_INTERVAL_MS 1000 /* to a remote domain */
CpStatus CpEntryPeers_Open(CpEntry *e);
CpStatus CpEntryPeers_Start(CpEntry *e);
void CpEntryPeers_Tick(void *ctx, int64_t now_ns);
/* Reports the versions of the tables to the hosts of this domain. */
void CpEntryPeers_SendVersions(CpEntry *e);
/* Sends the speeds that servers reported to this host within `max_age_ms` to
 * the hosts of its domain: each alone sees few responses. */
void CpEntryPeers_SendSpeeds(CpEntry *e, uint32_t max_age_ms, int64_t now_ns);

/* poll: speeds from the health pages of servers */
CpStatus CpEntryPoll_Start(CpEntry *e);
/* Reports this host's requests in flight at a server to the hosts that share
 * the server. */
void CpEntryPeers_SendUsage(CpEntry *e, const char *service,
                            const char *instance);

/* Sends the era of the store, with the versions of the tables and of the
 * configuration, to a host; nothing in the first era. */
void CpEntryPeers_SendEra(CpEntry *e, const struct sockaddr_storage *to,
                          uint32_t to_bytes);
/* The same to the hosts of this domain and one of each other domain. */
void CpEntryPeers_AnnounceEra(CpEntry *e);
/* Sends a datagram; one that cannot be sent is treated as lost. */
void CpEntryPeers_Send(CpEntry *e, const CpFrame *f,
                       const struct sockaddr_storage *to, uint32_t to_bytes);

/* freshness: of the operator's configuration */
void CpEntryFreshness_Init(CpEntry *e);
CpStatus CpEntryFreshness_Start(CpEntry *e);
void CpEntryFreshness_OnQuery(CpEntry *e, const CpFreshnessQueryFrame *q,
                              const struct sockaddr_storage *from,
                              uint32_t from_bytes);
void CpEntryFreshness_OnReply(CpEntry *e, const CpFreshnessReplyFrame *r);

/* quota: limits of organisations over all hosts */
typedef enum {
    CP_ENTRY_QUOTA_GRANTED = 0, /* or the request needs no token */
    CP_ENTRY_QUOTA_WAIT,        /* `out` is set */
    CP_ENTRY_QUOTA_DENIED       /* out->retry_after_ms is set */
} CpEntryQuotaResult;
void CpEntryQuota_Init(CpEntry *e);
CpStatus CpEntryQuota_Start(CpEntry *e);
/* Applies the limits of the configuration that came into force. */
void CpEntryQuota_SetLimits(CpEntry *e, const CpRoutes *r);
/* Takes a token for a request, once. */
CpEntryQuotaResult CpEntryQuota_Decide(CpEntry *e, CpRequest *rq,
                                       const CpOrg *org, CpEntryQuotaTicket *t,
                                       CpProxyAction *out);
/* The request has ended, or will not be sent: returns its token unless it may
 * have run. */
void CpEntryQuota_End(CpEntry *e, CpEntryQuotaTicket *t, bool may_have_run);
/* Handles a datagram with tokens. */
void CpEntryQuota_OnFrame(CpEntry *e, const CpFrame *f);
void CpEntryQuota_AppendMetrics(CpEntry *e, GString *text);

/* request: the policy that handles requests */
void CpEntryRequest_InitPolicy(CpEntry *e, CpProxyPolicy *out);

/* report: pages for the directory, readiness and metrics */
extern const CpPage cp_entry_metrics_pages[];
uint32_t CpEntryReport_RenderDirectory(void *ctx, const CpPageQuery *q,
                                       char **out);
uint32_t CpEntryReport_RenderReady(void *ctx, const CpPageQuery *q,
                                   char **out);

#endif
