/* What the files of the entry package share. */
#ifndef CP_ENTRY_INT_H
#define CP_ENTRY_INT_H

#include <glib.h>
#include <pthread.h>

#include "admit/admit.h"
#include "base/event.h"
#include "entry/entry.h"
#include "http/http.h"

/* Another entry host, or this one, as its row in the store tells. */
typedef struct {
    char name[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    char caller[CP_ADDR_BYTES];
    char inner[CP_ADDR_BYTES];
    char control[CP_ADDR_BYTES]; /* "": none */
    uint64_t incarnation;
    bool unseen; /* by the scan that is under way */
    bool leaving;
    bool silent;                 /* no report came for too long */
    uint64_t last_report_number; /* of its last report */
    int64_t row_read_ns;         /* when its row was read */
    int64_t last_report_ns;      /* its last report; 0: never */
    int64_t last_watching_ns;    /* the last one that said that it follows the
                                    store */
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
    bool connected;               /* of its thread, as the next 2 */
    int64_t unreachable_since_ns; /* when the store was lost; 0: never */
    int64_t call_started_ns;      /* when the call under way began */
    pthread_mutex_t rows_lock;    /* of the next 2 */
    uint32_t scan_number;         /* number of the last scan */
    GHashTable *rows; /* as they were read last, for neighbours that start */
    uint32_t consecutive_errors; /* in a row */
    uint64_t row_version;        /* of the last row that was read; atomic */
    uint64_t read_version; /* up to which there is nothing else; atomic */
    uint64_t peer_version; /* that another host has read; atomic */
    char peer_host[CP_NAME_BYTES]; /* which; under the store's lock */
    int64_t
        behind_since_ns; /* since when that is later; 0: it is not; atomic */
} CpEntryFollower;

struct CpEntry {
    CpSettings settings;
    CpEntryAdapter adapter;
    uint64_t incarnation;
    uint32_t leaving; /* flag */
    CpTimer *timer;
    CpFleet *fleet;
    CpProxy *proxy;
    CpPages *directory;
    CpPages *ready;
    CpPages *metrics;
    CpPages *control; /* NULL: none */
    CpStore *store;   /* for writes */
    CpEntryFollower followers[CP_TABLE_COUNT];

    pthread_mutex_t store_lock;   /* of the next 4 */
    pthread_cond_t store_changed; /* when it is back */
    bool store_reachable;
    bool store_was_unreachable;       /* it was away at some time */
    int64_t store_reachable_since_ns; /* when it was back */
    uint32_t lapsed_removal_due; /* flag: lapsed entries are dropped in time */

    pthread_mutex_t routes_lock; /* of the next 2 */
    CpRoutes *routes;            /* NULL: none in force yet */
    int64_t routes_since_ns;     /* when they came into force */

    pthread_mutex_t hosts_lock; /* of the next */
    GPtrArray *hosts;           /* CpEntryHost */

    int32_t report_fd;
    pthread_t report_thread;
    uint32_t report_ticks;  /* atomic */
    uint64_t report_number; /* of reports; atomic */
    uint32_t
        remote_rotation; /* which host of each other domain is told next */

    pthread_mutex_t retry_budget_lock; /* of the next */
    CpRetryBudget retry_budget; /* repeats that this host may still send */
};

/* follow: beliefs from the store */
CpStatus CpEntryFollow_Start(CpEntry *e);
/* The routes in force, retained; NULL if there are none. */
CpRoutes *CpEntry_RetainRoutes(CpEntry *e, int64_t *since_ns);
/* Whether this host takes requests: it has routes and does not leave. */
bool CpEntry_IsReady(CpEntry *e);
void CpEntryFollow_Tick(void *ctx, int64_t now_ns);
/* Another host has read a table up to a version. */
void CpEntryFollow_OnPeerVersion(CpEntry *e, const char *host, CpTable table,
                                 uint64_t version, int64_t now_ns);
/* Whether this host follows the store itself, and reaches it. */
bool CpEntryFollow_IsWatching(CpEntry *e);
/* How long entries that are missing may still return; 0: they are gone. */
uint32_t CpEntryFollow_LapseLeft_ms(CpEntry *e, int64_t now_ns);
/* The same as a host tells it that reaches the store. */
void CpEntryFollow_SetLapseLeft(CpEntry *e, uint32_t left_ms, int64_t now_ns);
uint64_t CpEntryFollow_RowVersion(CpEntry *e, CpTable table);

/* Whether the store was away so lately that a missing entry may return. */
bool CpEntryFollow_MayHaveLapsed(CpEntry *e, int64_t now_ns);

/* rows: what the rows of the tables say; `ctx` is a CpEntryFollower */
void CpEntryFollow_OnRow(void *ctx, const CpFeedRow *row);

/* neighbours: what other hosts have read, where the store is away */
void CpEntryNeighbours_Init(CpEntryFollower *f);
void CpEntryNeighbours_UpdateRow(CpEntryFollower *f, const CpFeedRow *row);
/* Rows that a scan does not tell are gone at its end. */
void CpEntryNeighbours_BeginScan(CpEntryFollower *f);
void CpEntryNeighbours_EndScan(CpEntryFollower *f);
void CpEntryNeighbours_LoadTables(CpEntry *e);
/* Takes what another host has read of a table after *version. */
CpStatus CpEntryNeighbours_FetchChanges(CpEntryFollower *f, const char *host,
                                        uint64_t *version);
uint32_t CpEntryNeighbours_RenderState(void *ctx, const CpPageQuery *q,
                                       char **out);

/* hosts: which entry hosts there are */
void CpEntryHosts_Init(CpEntry *e);
/* Writes this host's row; a failure is logged and tried again. */
void CpEntryHosts_Tick(void *ctx, int64_t now_ns);
void CpEntryHosts_RemoveOwnRow(CpEntry *e);
void CpEntryHosts_OnRow(CpEntry *e, const CpFeedRow *row);
void CpEntryHosts_BeginScan(CpEntry *e);
void CpEntryHosts_EndScan(CpEntry *e);
uint32_t CpEntryHosts_Count(CpEntry *e);
/* This host's place among the live ones of its domain. The first ones follow
 * the store, the very first finds out when it falls silent. */
uint32_t CpEntryHosts_Rank(CpEntry *e);
/* Whether another host of the domain follows the store for this one. */
bool CpEntryHosts_HasWatchingPeer(CpEntry *e, int64_t now_ns);
/* The control address of a host; false if it has none. */
bool CpEntryHosts_GetControlAddress(CpEntry *e, const char *name,
                                    char out[CP_ADDR_BYTES]);
/* Those that share this host's callers and servers. */
void CpEntryHosts_CountSharing(CpEntry *e, CpFleetHosts *out);
bool CpEntryHosts_GetWarmupShare(void *ctx, const char *instance,
                                 const char *domain, uint32_t *host_count);
/* The directory's answer to a caller in a domain; free() it. */
char *CpEntryHosts_EncodeDirectory(CpEntry *e, const char *domain,
                                   const char *region);

/* Takes in that a host lives; false for a report that is overtaken. */
bool CpEntryHosts_OnReport(CpEntry *e, const char *name, uint64_t incarnation,
                           uint64_t number, bool leaving, bool watching,
                           int64_t now_ns);
/* Takes hosts that are silent out of the directory's answers. */
void CpEntryHosts_CheckSilence(CpEntry *e, int64_t now_ns);
/* Where reports go: to hosts that use a server too, or whose domain has it;
 * to those of this domain, with one of each other domain if `far`. */
uint32_t CpEntryHosts_ListUsageRecipients(CpEntry *e, const CpFleetUse *usage,
                                          CpEntryAddress *out,
                                          uint32_t capacity);
uint32_t CpEntryHosts_ListReportRecipients(CpEntry *e, bool remote,
                                           CpEntryAddress *out,
                                           uint32_t capacity);

/* peers: what hosts tell each other */
#define CP_ENTRY_REPORT_INTERVAL_MS 500 /* between two whole reports */
#define CP_ENTRY_REMOTE_REPORT_INTERVAL_MS                                    \
    1000 /* between two to another domain */
CpStatus CpEntryPeers_Open(CpEntry *e);
CpStatus CpEntryPeers_Start(CpEntry *e);
void CpEntryPeers_Tick(void *ctx, int64_t now_ns);
/* Tells the hosts of this domain that a table has changed. */
void CpEntryPeers_SendVersions(CpEntry *e);
/* Tells the hosts that share a server what this one has there now. */
void CpEntryPeers_SendUsage(CpEntry *e, const char *service,
                            const char *instance);

/* request: what becomes of a request */
void CpEntryRequest_InitPolicy(CpEntry *e, CpProxyPolicy *out);

/* report: pages */
extern const CpPage cp_entry_metrics_pages[];
uint32_t CpEntryReport_RenderDirectory(void *ctx, const CpPageQuery *q,
                                       char **out);
uint32_t CpEntryReport_RenderReady(void *ctx, const CpPageQuery *q,
                                   char **out);

#endif
