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
    bool silent;      /* no report came for too long */
    uint64_t number;  /* of its last report */
    int64_t known_ns; /* when its row was read */
    int64_t heard_ns; /* its last report; 0: never */
    int64_t watch_ns; /* the last one that said that it follows the store */
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
    bool connected;            /* of its thread, as the next 2 */
    int64_t lost_ns;           /* when the store was lost; 0: never */
    int64_t asked_ns;          /* when the call under way began */
    pthread_mutex_t rows_lock; /* of the next 2 */
    uint32_t scan;             /* number of the last scan */
    GHashTable *rows; /* as they were read last, for neighbours that start */
    uint32_t errors;  /* in a row */
    uint64_t version; /* of the last row that was read; atomic */
    uint64_t read_version; /* up to which there is nothing else; atomic */
    uint64_t seen_version; /* that another host has read; atomic */
    char seen_host[CP_NAME_BYTES]; /* which; under the store's lock */
    int64_t behind_ns; /* since when that is later; 0: it is not; atomic */
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

    pthread_mutex_t store_lock; /* of the next 4 */
    pthread_cond_t store_wake;  /* when it is back */
    bool store_up;
    bool store_lost;       /* it was away at some time */
    int64_t store_back_ns; /* when it was back */
    uint32_t forget_due;   /* flag: lapsed entries are dropped in time */

    pthread_mutex_t routes_lock; /* of the next 2 */
    CpRoutes *routes;            /* NULL: none in force yet */
    int64_t routes_ns;           /* when they came into force */

    pthread_mutex_t hosts_lock; /* of the next */
    GPtrArray *hosts;           /* CpEntryHost */

    int32_t peers_fd;
    pthread_t peers_thread;
    uint32_t peers_ticks;  /* atomic */
    uint64_t peers_number; /* of reports; atomic */
    uint32_t far_turn;     /* which host of each other domain is told next */

    pthread_mutex_t budget_lock; /* of the next */
    CpRetryBudget budget;        /* repeats that this host may still send */
};

/* follow: beliefs from the store */
CpStatus CpEntryFollow_Start(CpEntry *e);
/* The routes in force, retained; NULL if there are none. */
CpRoutes *CpEntry_Routes(CpEntry *e, int64_t *since_ns);
/* Whether this host takes requests: it has routes and does not leave. */
bool CpEntry_IsReady(CpEntry *e);
void CpEntryFollow_Tick(void *ctx, int64_t now_ns);
/* Another host has read a table up to a version. */
void CpEntryFollow_Heard(CpEntry *e, const char *host, CpTable table,
                         uint64_t version, int64_t now_ns);
/* Whether this host follows the store itself, and reaches it. */
bool CpEntryFollow_Watches(CpEntry *e);
/* How long entries that are missing may still return; 0: they are gone. */
uint32_t CpEntryFollow_LapseLeft_ms(CpEntry *e, int64_t now_ns);
/* The same as a host tells it that reaches the store. */
void CpEntryFollow_SetLapse(CpEntry *e, uint32_t left_ms, int64_t now_ns);
uint64_t CpEntryFollow_Version(CpEntry *e, CpTable table);

/* Whether the store was away so lately that a missing entry may return. */
bool CpEntryFollow_MayHaveLapsed(CpEntry *e, int64_t now_ns);

/* rows: what the rows of the tables say; `ctx` is a CpEntryFollower */
void CpEntryFollow_OnRow(void *ctx, const CpFeedRow *row);

/* neighbours: what other hosts have read, where the store is away */
void CpEntryNeighbours_Init(CpEntryFollower *f);
void CpEntryNeighbours_Keep(CpEntryFollower *f, const CpFeedRow *row);
/* Rows that a scan does not tell are gone at its end. */
void CpEntryNeighbours_BeginScan(CpEntryFollower *f);
void CpEntryNeighbours_EndScan(CpEntryFollower *f);
void CpEntryNeighbours_Ask(CpEntry *e);
/* Takes what another host has read of a table after *version. */
CpStatus CpEntryNeighbours_Fetch(CpEntryFollower *f, const char *host,
                                 uint64_t *version);
uint32_t CpEntryNeighbours_State(void *ctx, const CpPageQuery *q, char **out);

/* hosts: which entry hosts there are */
void CpEntryHosts_Init(CpEntry *e);
/* Writes this host's row; a failure is logged and tried again. */
void CpEntryHosts_Tick(void *ctx, int64_t now_ns);
void CpEntryHosts_Withdraw(CpEntry *e);
void CpEntryHosts_OnRow(CpEntry *e, const CpFeedRow *row);
void CpEntryHosts_BeginScan(CpEntry *e);
void CpEntryHosts_EndScan(CpEntry *e);
uint32_t CpEntryHosts_Count(CpEntry *e);
/* This host's place among the live ones of its domain. The first ones follow
 * the store, the very first finds out when it falls silent. */
uint32_t CpEntryHosts_Rank(CpEntry *e);
/* Whether another host of the domain follows the store for this one. */
bool CpEntryHosts_HasWatch(CpEntry *e, int64_t now_ns);
/* The control address of a host; false if it has none. */
bool CpEntryHosts_Control(CpEntry *e, const char *name,
                          char out[CP_ADDR_BYTES]);
/* Those that share this host's callers and servers. */
void CpEntryHosts_Sharers(CpEntry *e, CpFleetHosts *out);
bool CpEntryHosts_WarmupPart(void *ctx, const char *instance,
                             const char *domain, uint32_t *parts);
/* The directory's answer to a caller in a domain; free() it. */
char *CpEntryHosts_Directory(CpEntry *e, const char *domain,
                             const char *region);

/* Takes in that a host lives; false for a report that is overtaken. */
bool CpEntryHosts_OnReport(CpEntry *e, const char *name, uint64_t incarnation,
                           uint64_t number, bool leaving, bool watches,
                           int64_t now_ns);
/* Takes hosts that are silent out of the directory's answers. */
void CpEntryHosts_Judge(CpEntry *e, int64_t now_ns);
/* Where reports go: to hosts that use a server too, or whose domain has it;
 * to those of this domain, with one of each other domain if `far`. */
uint32_t CpEntryHosts_Sharing(CpEntry *e, const CpFleetUse *use,
                              CpEntryAddress *out, uint32_t room);
uint32_t CpEntryHosts_Neighbours(CpEntry *e, bool far, CpEntryAddress *out,
                                 uint32_t room);

/* peers: what hosts tell each other */
#define CP_ENTRY_REPORT_MS 500      /* between two whole reports */
#define CP_ENTRY_FAR_REPORT_MS 1000 /* between two to another domain */
CpStatus CpEntryPeers_Open(CpEntry *e);
CpStatus CpEntryPeers_Start(CpEntry *e);
void CpEntryPeers_Tick(void *ctx, int64_t now_ns);
/* Tells the hosts of this domain that a table has changed. */
void CpEntryPeers_TellVersions(CpEntry *e);
/* Tells the hosts that share a server what this one has there now. */
void CpEntryPeers_TellUse(CpEntry *e, const char *service,
                          const char *instance);

/* request: what becomes of a request */
void CpEntryRequest_Policy(CpEntry *e, CpProxyPolicy *out);

/* report: pages */
extern const CpPage cp_entry_metrics_pages[];
uint32_t CpEntryReport_Directory(void *ctx, const CpPageQuery *q, char **out);
uint32_t CpEntryReport_Ready(void *ctx, const CpPageQuery *q, char **out);

#endif
