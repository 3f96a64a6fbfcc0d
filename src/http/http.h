/*
 * http: the callers' front end and the operator API (libmicrohttpd), and the
 * client of backend servers (libcurl). They convert HTTP messages to exchanges
 * and back; the callbacks decide what to do with an exchange.
 */
#ifndef CP_HTTP_H
#define CP_HTTP_H

#include "base/base.h"
#include "budget/budget.h"
#include "relay/relay.h"

#define CP_HEADER_VERDICT "Chestnutpaddle-Verdict"
#define CP_HEADER_REASON "Chestnutpaddle-Reason"
#define CP_HEADER_SERVER "Chestnutpaddle-Server"
#define CP_HEADER_REQUEST_ID "Chestnutpaddle-Request-Id"
#define CP_HEADER_DEADLINE "Chestnutpaddle-Deadline-Ms"
#define CP_HEADER_ORIGIN "Chestnutpaddle-Origin"
#define CP_HEADER_TICKET "Chestnutpaddle-Ticket"

/* How one dispatch to a backend server ended. */
typedef struct {
    CpOutcome outcome;
    CpVerdict verdict;
    CpReason reason;
    bool head_delivered; /* to the front end */
    int64_t latency_ns;
} CpBackendResult;

typedef struct CpBackend CpBackend;
typedef struct {
    uint32_t threads;
    const char *source_address; /* IP:port of this host; its IP is used */
    /* Called once for each exchange sent, on a worker thread. */
    void (*on_done)(void *ctx, CpExchange *ex, const CpBackendResult *result);
    void *ctx;
} CpBackendOptions;
CpStatus CpBackend_New(const CpBackendOptions *options, CpBackend **out);
CpStatus CpBackend_Start(CpBackend *b);
void CpBackend_Free(CpBackend *b);
/* Sends the exchange to a server; on_done() is called once for it. Holds a
 * reference until then. */
void CpBackend_Send(CpBackend *b, CpExchange *ex, const char *address);

struct MHD_Connection;
/* Returns true if the head that a caller sent is that of one request, which a
 * server can read in no other way: names are tokens, nothing is hidden between
 * the lines, one header at most tells where the body ends, lines of another
 * request are in no other line, and each of `single_headers` (up to 32; the
 * last is NULL) is there at most once. `target` is the path and query as
 * received. */
bool CpRequestHead_IsOne(struct MHD_Connection *conn, const char *method,
                         const char *target,
                         const char *const *single_headers);
/* Returns how much of a connection's buffer the library uses for a head
 * besides its text. What is left has to hold the head of the response. */
uint32_t CpRequestHead_Records_bytes(struct MHD_Connection *conn);

/* What the front end needs of a kind of work. */
typedef struct {
    uint32_t kind_index;
    uint32_t pool_index;
    uint32_t rank;
    uint32_t deadline_ms;
    bool idempotent;
    uint32_t max_body_kb;
    uint64_t version; /* of the configuration that has it */
} CpKindInfo;

typedef struct CpFront CpFront;
typedef struct {
    const char *listen;
    uint32_t threads;
    uint32_t max_connections; /* of callers, over all threads */
    uint32_t body_timeout_ms; /* of an unfinished body without progress */
    CpBudget *budget;         /* of the host; limits the connections, too */
    /* Looks up a kind of work; CP_REASON_NONE if it was found. */
    CpReason (*find_kind)(void *ctx, const char *name, CpKindInfo *out);
    /* Returns true if the version is the latest one, as far as the store told
     * a short time ago and other hosts have reported. */
    bool (*is_current)(void *ctx, uint64_t version);
    /* Consumes one reference and delivers a head to the exchange later. */
    void (*submit)(void *ctx, CpExchange *ex);
    /* Renders the response to a lookup; free() the result; NULL if there is no
     * configuration. */
    char *(*render_lookup)(void *ctx, const char *kind, const char *client,
                           uint32_t *ttl_s);
    /* Renders a new ticket; free() the result. */
    char *(*render_ticket)(void *ctx);
    /* Writes the name of a client's origin: its domain before moves. */
    void (*find_origin)(void *ctx, const char *client,
                        char out[CP_NAME_BYTES]);
    void *ctx;
} CpFrontOptions;
/* Binds the address; connections are refused until CpFront_Open(). */
CpStatus CpFront_New(const CpFrontOptions *options, CpFront **out);
CpStatus CpFront_Open(CpFront *f);
bool CpFront_IsOpen(CpFront *f);
/* Registers the check for passed deadlines and disconnected callers with the
 * timer. */
void CpFront_Subscribe(CpFront *f, CpTimer *t);
/* Counts the requests without a complete response. */
uint32_t CpFront_CountActive(CpFront *f);
/* Stops accepting connections. */
void CpFront_Quiesce(CpFront *f);
void CpFront_Free(CpFront *f);

/* HTTP pages on an address of their own; rendering a page must not block. */
typedef struct CpPageQuery CpPageQuery;
/* Returns an argument of the query; "" if it is missing. */
const char *CpPageQuery_Get(const CpPageQuery *q, const char *name);
typedef struct {
    const char *path;
    const char *content_type;
    /* Renders the page; returns the HTTP status. free() *out. */
    uint32_t (*render)(void *ctx, const CpPageQuery *q, char **out);
} CpPage;
typedef struct CpPages CpPages;
/* Serves `pages`, which end with a NULL path and have to outlive the
 * result. */
CpStatus CpPages_New(const char *listen, const CpPage *pages, void *ctx,
                     CpPages **out);

/* The operator API. */
typedef struct CpOperator CpOperator;
typedef struct {
    const char *method;
    const char *path;
    const char *content_type;
    /* Renders the response; returns the HTTP status. `argument` is the query
     * parameter "name", or "". free() *out. */
    uint32_t (*render)(void *ctx, const char *argument, char **out);
} CpOperatorRoute;
typedef struct {
    const char *listen;
    const char *token;
    const CpOperatorRoute *routes; /* end with a NULL path */
    void *ctx;
} CpOperatorOptions;
/* Serves `routes`, which have to outlive the result, to requests that carry
 * the bearer token. */
CpStatus CpOperator_New(const CpOperatorOptions *options, CpOperator **out);
void CpOperator_Free(CpOperator *o);

#endif
