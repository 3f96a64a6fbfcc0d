/* Internal declarations of the proxy package. */
#ifndef CP_PROXY_INT_H
#define CP_PROXY_INT_H

#include <microhttpd.h>
#include <pthread.h>

#include "http/easy.h"
#include "proxy/proxy.h"

#define CP_SINGLE_HEADERS 6

typedef struct CpProxyWorker CpProxyWorker;

/* One attempt at a server; part of its exchange. */
typedef struct {
    CURL *easy;
    struct curl_slist *request_headers;
    char error[CURL_ERROR_SIZE];
    char url[CP_ADDR_BYTES + 16];
    bool sent;     /* its first byte may have been sent */
    bool withheld; /* by the policy, right before it was sent */
    CpResponseCheck check;
    bool id_matches; /* the response has the request's id */
    bool mismatched; /* the response is not that of this request */
    bool sealed;
    bool not_run;
    bool has_load;
    uint32_t status;
    uint32_t warmup_left_ms;
    uint32_t retry_after_ms; /* asked for by the server; 0: nothing */
    bool leaving;            /* announced by the server */
    CpServerLoad load;
    int64_t started_ns;
    int64_t head_ns;             /* when the head was received; 0: not yet */
    GPtrArray *response_headers; /* CpHeaderLine of the response */
    GByteArray *body;    /* of the response; streamed: the part not sent yet */
    uint64_t body_bytes; /* received */
    uint64_t held_bytes; /* received and not yet sent to the caller */
    /* streamed: of the complete body; MHD_SIZE_UNKNOWN: not announced */
    uint64_t content_length_bytes;
    uint64_t head_bytes; /* received, of interim responses too */
    bool oversized;      /* the response exceeded a limit */
    bool streamed;       /* the body is forwarded while it is received */
    bool paused;         /* receiving waits until the caller has read more */
    bool complete;       /* streamed: the body was received completely */
} CpProxyAttempt;

struct CpProxyExchange {
    CpRequest request; /* first: the policy's view */
    CpProxyWorker *worker;
    CpProxyExchange *next; /* in the worker's list of started exchanges */
    CpProxyExchange *prev;
    struct MHD_Connection *conn;
    int32_t fd;         /* of the caller's connection */
    GPtrArray *headers; /* CpHeaderLine, to be forwarded */
    GByteArray *body;
    uint64_t max_body_bytes;
    uint32_t attempts;    /* started */
    int64_t deadline_ns;  /* 0: not sent yet */
    bool knows_chunks;    /* the caller speaks HTTP/1.1 */
    bool head_received;   /* of the request */
    uint32_t key_headers; /* headers with a key that were received */
    bool started;
    bool suspended;
    bool watched;      /* the connection is watched for a disconnect */
    bool decided;      /* `action` is final */
    bool disconnected; /* by the caller */
    bool response_queued;
    CpProxyAction action;
    CpProxyAttempt attempt;
};

struct CpProxyWorker {
    CpProxy *proxy;
    uint32_t index;
    pthread_t thread;
    int32_t epoll_fd;
    int32_t wake_fd;
    struct MHD_Daemon *daemon;
    int32_t daemon_fd;
    CURLM *multi;
    int64_t curl_due_ns;         /* INT64_MAX: none */
    GHashTable *exchanges_by_fd; /* those whose caller is watched */
    pthread_mutex_t lock;        /* guards exchanges and active */
    CpProxyExchange *exchanges;
    uint32_t active;
    int64_t next_deadline_ns;
    uint64_t held_bytes; /* of all attempts */
    bool has_resumed;    /* the daemon has resumed connections to run */
    CpEasyPool easy_pool;
};

struct CpProxy {
    CpProxyOptions options;
    int32_t listen_fd;
    /* "host!IP": curl then takes the IP as an address, not an interface */
    char interface[CP_ADDR_BYTES + 8];
    uint32_t closing;  /* flag: responses close their connections; atomic */
    uint32_t refusing; /* flag: new requests are refused; atomic */
    /* headers that a response has once; the last is NULL */
    const char *single_headers[CP_SINGLE_HEADERS + 1];
    /* shortest timeout of idle connections that a server announced; atomic */
    uint32_t server_keep_alive_s;
    CpProxyWorker *workers;
};

/* worker: the event loop */
void *CpProxyWorker_Run(void *worker);
void CpProxyWorker_Wake(CpProxyWorker *w);
/* Watches a caller's connection for a disconnect while its request is in
 * flight. */
void CpProxyWorker_Watch(CpProxyWorker *w, CpProxyExchange *ex);
/* Watches an idle connection to a server, on which nothing may come. */
void CpProxyWorker_WatchIdle(CpProxyWorker *w, int32_t fd);
void CpProxyWorker_Unwatch(CpProxyWorker *w, CpProxyExchange *ex);
/* Schedules a check of the exchange at its next deadline. */
void CpProxyWorker_ScheduleDeadline(CpProxyWorker *w,
                                    const CpProxyExchange *ex);
int CpProxyWorker_OnSocket(CURL *easy, curl_socket_t fd, int what, void *ctx,
                           void *socket_ctx);
int CpProxyWorker_OnTimer(CURLM *multi, long timeout_ms, void *ctx);

/* front: connections of callers */
CpStatus CpProxyFront_Open(CpProxyWorker *w);
/* Executes an action of the policy: starts an attempt, or responds. */
void CpProxyFront_Execute(CpProxyExchange *ex, const CpProxyAction *action);
/* Resumes a connection that waits for its response, or for more of it. */
void CpProxyFront_Resume(CpProxyExchange *ex);
/* Handle a disconnect of the caller, and the passed deadline of the request.
 */
void CpProxyFront_OnDisconnect(CpProxyExchange *ex);
void CpProxyFront_OnDeadline(CpProxyExchange *ex);
/* Handles the passed deadline of an attempt, not of its request. */
void CpProxyAttempt_OnDeadline(CpProxyExchange *ex);
void CpHeaderLine_Free(void *line);
GPtrArray *CpHeaderLine_NewList(void);
void CpHeaderLine_Add(GPtrArray *list, const char *name, size_t name_bytes,
                      const char *value, size_t value_bytes);
/* Returns true for headers that are not forwarded: those of one connection
 * only, and those that are set anew. Connection is kept until the lines are
 * passed on, as it names others. */
bool CpHeader_IsUnforwarded(const char *name);

/* attempt: attempts at backend servers */
void CpProxyAttempt_Start(CpProxyExchange *ex, const CpProxyAction *action);
/* Handles the attempts that the multi handle reports as ended. */
void CpProxyAttempt_CollectEnded(CpProxyWorker *w);
/* Removes bytes of a streamed response that were sent to the caller, and
 * resumes it if it was paused for that. */
void CpProxyAttempt_Consume(CpProxyExchange *ex, uint32_t n);
/* Aborts an attempt in progress after its caller disconnected, and reports it
 * to the policy. */
void CpProxyAttempt_Cancel(CpProxyExchange *ex);
/* Removes the attempt from the worker; one in progress is aborted. */
void CpProxyAttempt_Abort(CpProxyExchange *ex);
void CpProxyAttempt_Clear(CpProxyExchange *ex);

#endif
