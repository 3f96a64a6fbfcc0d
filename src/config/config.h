/*
 * config: the settings of a host, the questionnaire, the cluster configuration
 * generated from its answers, and the checks of all three. Tables give the
 * type, unit, range and default of each field; an error names file, line and
 * field.
 */
#ifndef CP_CONFIG_H
#define CP_CONFIG_H

#include "base/base.h"

#define CP_TEXT_BYTES 256 /* longest path or URL in settings, with NUL */

/* Problems found in one file, in the order in which they were found. */
typedef struct {
    char **lines;
    uint32_t count;
} CpProblems;

void CpProblems_Add(CpProblems *p, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void CpProblems_Print(const CpProblems *p);
void CpProblems_Clear(CpProblems *p);

typedef struct {
    char value[CP_ADDR_BYTES];
} CpAddress;

/* A failure domain and its region, as listed in the settings. */
typedef struct {
    char name[CP_NAME_BYTES];
    char region[CP_NAME_BYTES];
} CpSettingsDomain;

/* Settings of one host; see chestnutpaddled.yaml(5). */
typedef struct {
    char serve[CP_NAME_BYTES]; /* "kinds" (also "") or "routes" */
    char host[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    char caller[CP_ADDR_BYTES];          /* listens for callers */
    char inner[CP_ADDR_BYTES];           /* listens for other hosts */
    char operator_listen[CP_ADDR_BYTES]; /* listens for operators */
    char platform[CP_TEXT_BYTES];        /* URL */
    char key_file[CP_TEXT_BYTES];
    char token_file[CP_TEXT_BYTES];
    CpAddress *neighbours;
    uint32_t neighbour_count;
    uint32_t worker_threads;
    uint32_t max_requests;
    uint32_t stop_timeout_s;
    uint32_t memory_limit_mb;   /* of the process; 0: not bounded */
    uint32_t request_buffer_kb; /* larger bodies are streamed */
    uint32_t body_timeout_s;    /* of an unfinished body without progress */
    /* With serve "routes" only: */
    char directory[CP_ADDR_BYTES];
    char ready[CP_ADDR_BYTES];
    char control[CP_ADDR_BYTES]; /* serves rows of the store to other
                                    hosts; "": none */
    CpSettingsDomain *domains;
    uint32_t domain_count;
    uint32_t retry_percent; /* retries per hundred requests */
    uint32_t retry_burst;   /* further retries, all hosts together */
    uint32_t retry_window_s;
    uint32_t directory_ttl_s;
    uint32_t watching_hosts;     /* per domain; they follow the store */
    uint32_t report_interval_ms; /* of backend servers to the store */
    bool first_start; /* the hosts start together for the first time */
    /* how long a withdrawn key may still be accepted; 0: no bound */
    uint32_t revocation_bound_ms;
    uint32_t denial_bound_ms; /* of the copy that a request is denied from */
    uint32_t lapse_ms;        /* after a store outage, before missing
                                 server entries are removed */
    /* Window over which the limits of organisations hold; 0: not enforced. */
    uint32_t quota_window_s;
    char quota_overshoot[16]; /* allowed, as a fraction of the limit; "": 0 */
    uint32_t quota_tolerance; /* allowed in addition, requests */
    /* between polls of a server that reports its speed; 0: none */
    uint32_t speed_poll_ms;
} CpSettings;
bool CpSettings_ServesRoutes(const CpSettings *s);
/* Returns quota_overshoot in thousandths, rounded down; 0 if it is not set.
 */
uint32_t CpSettings_Overshoot_milli(const CpSettings *s);

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t max_inflight; /* requests in flight in the region; 0: no limit */
} CpRegion;

typedef struct {
    char name[CP_NAME_BYTES];
    char region[CP_NAME_BYTES];
    uint32_t region_index;
    uint32_t shift_cap_per_s; /* cap on the growth of requests/s
                                 from other domains, per second */
    bool drained;             /* operators moved its traffic away */
} CpDomain;

/* The link from one region to another, in one direction. */
typedef struct {
    char from[CP_NAME_BYTES];
    char to[CP_NAME_BYTES];
    uint32_t from_index;
    uint32_t to_index;
    uint32_t cap_kbit_s;
    uint32_t latency_us;
} CpLink;

typedef struct {
    char name[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    uint32_t domain_index;
    char caller[CP_ADDR_BYTES];
    char inner[CP_ADDR_BYTES];
    char operator_listen[CP_ADDR_BYTES];
} CpHost;

typedef struct {
    char name[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    uint32_t domain_index;
    char address[CP_ADDR_BYTES];
    char pool[CP_NAME_BYTES];
    uint32_t pool_index;
    uint32_t slots;
    uint32_t connections;
    bool leaving; /* an operator is draining it */
} CpServer;

/* A group of backend servers that serve the same kinds of work. */
typedef struct {
    char name[CP_NAME_BYTES];
} CpPool;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t floor_percent; /* least share of dispatches while
                               requests of the rank are queued */
} CpRank;

typedef struct {
    char name[CP_NAME_BYTES];
    char rank[CP_NAME_BYTES];
    uint32_t rank_index;
    char pool[CP_NAME_BYTES];
    uint32_t pool_index;
    uint32_t deadline_ms;
    bool idempotent; /* false: at most once, by ticket */
    uint32_t max_body_kb;
} CpKind;

typedef struct {
    char block[CP_NAME_BYTES]; /* CIDR */
    char domain[CP_NAME_BYTES];
    uint32_t domain_index;
} CpClientBlock;

typedef struct {
    char from[CP_NAME_BYTES];
    char to[CP_NAME_BYTES];
    uint32_t from_index;
    uint32_t to_index;
    uint32_t percent;
} CpMove;

/* The cluster configuration; see chestnutpaddle.yaml(5). */
typedef struct {
    uint64_t version; /* from the platform's head row; not in the file */
    uint32_t format;
    char name[CP_NAME_BYTES];
    uint32_t lookup_ttl_s;
    uint32_t queue_limit;
    uint32_t retry_percent;
    uint32_t ticket_life_s;
    CpRegion *regions;
    uint32_t region_count;
    CpDomain *domains;
    uint32_t domain_count;
    CpLink *links;
    uint32_t link_count;
    CpHost *hosts;
    uint32_t host_count;
    CpPool *pools;
    uint32_t pool_count;
    CpServer *servers;
    uint32_t server_count;
    CpRank *ranks;
    uint32_t rank_count;
    CpKind *kinds;
    uint32_t kind_count;
    CpClientBlock *clients;
    uint32_t client_count;
    CpMove *moves;
    uint32_t move_count;
} CpConfig;

#define CP_NO_INDEX UINT32_MAX

/* Reads and checks settings; problems are added to `p`. */
CpStatus CpSettings_Load(const char *path, CpSettings *out, CpProblems *p);
void CpSettings_Clear(CpSettings *s);

/* Parses and checks a configuration; `label` stands for the file in errors.
 * The result is freed with CpConfig_Free(). */
CpStatus CpConfig_Parse(const char *label, const char *text, size_t text_bytes,
                        CpConfig **out, CpProblems *p);
void CpConfig_Free(CpConfig *c);

/* Returns the configuration as YAML; free() it. */
char *CpConfig_ToYaml(const CpConfig *c);
/* Returns one line per difference of `a` and `b`; free() it. */
char *CpConfig_Diff(const CpConfig *a, const CpConfig *b);

/* Return the index by name, or CP_NO_INDEX. */
uint32_t CpConfig_FindRegion(const CpConfig *c, const char *name);
uint32_t CpConfig_FindDomain(const CpConfig *c, const char *name);
uint32_t CpConfig_FindHost(const CpConfig *c, const char *name);
uint32_t CpConfig_FindServer(const CpConfig *c, const char *name);
uint32_t CpConfig_FindPool(const CpConfig *c, const char *name);
uint32_t CpConfig_FindKind(const CpConfig *c, const char *name);
/* Returns the link between two regions, or NULL if there is none. */
const CpLink *CpConfig_FindLink(const CpConfig *c, uint32_t from, uint32_t to);

/* Returns a template's questionnaire, a commented file of answers; NULL if
 * there is no such template. */
const char *CpTemplate_Text(const char *name);
/* Returns the names of the templates, NULL-terminated. */
const char *const *CpTemplate_Names(void);
/* Generates a configuration from answers; errors give the answers' lines. */
CpStatus CpConfig_Generate(const char *label, const char *answers,
                           size_t answers_bytes, CpConfig **out,
                           CpProblems *p);

/* Reads a complete file and appends a NUL; free() *text. */
CpStatus CpFile_Read(const char *path, char **text, size_t *text_bytes);

#endif
