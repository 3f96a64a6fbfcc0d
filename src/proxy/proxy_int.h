/* Internal declarations of the proxy package. */
#ifndef CP_PROXY_INT_H
#define CP_PROXY_INT_H

#include <microhttpd.h>
#include <pthread.h>

#include "budget/budget.h"
#include "http/easy.h"
#include "proxy/proxy.h"

#define CP_SINGLE_HEADERS 6

/* Bodies up to this size may use the part of the budget for small requests. */
#define CP_SMALL_BODY_BYTES (64u * 1024)
#define CP_UNKNOWN_BYTES UINT64_MAX

typedef struct CpProxyWorker CpProxyWorker;

/* A connection of a caller. */
typedef struct {
    CpBudgetAccount account;
    CpProxyWorker *worker;
    struct MHD_Connection *conn;
    CpProxyExchange *exchange; /* NULL: between requests */
    int32_t fd;
    bool closing; /* it was shut down */
    /* Of the head that is being received, as far as the sweep has seen. */
    bool has_base;
    uint64_t base_bytes; /* received on the connection before it */
    uint64_t head_bytes; /* reserved for it */
    int64_t head_since_ns;
} CpProxyCaller;

/* The part of a request's body that is held, in a ring buffer. */
typedef struct {
    uint8_t *data;
    uint32_t capacity_bytes;
    uint32_t first; /* index of the first held byte */
    uint32_t held_bytes;
    uint64_t discarded_bytes; /* of the body, before the held part */
} CpProxyBody;

/* One attempt at a server; part of its exchange. */
typedef struct {
    CURL *easy;
    struct curl_slist *request_headers;
    char error[CURL_ERROR_SIZE];
    char url[CP_ADDR_BYTES + 16];
    bool sent;     /* its first byte may have been sent */
    bool withheld; /* by the policy, right before it was sent */
    bool spent;    /* the library chose a spent connection; nothing sent */
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
    uint64_t reserved_bytes; /* of the budget, for the body */
    uint64_t upload_bytes;   /* of a streamed request body, sent */
    bool upload_paused;      /* sending waits for more from the caller */
    bool upload_done;        /* the whole request body was passed on */
    int64_t upload_ns;       /* when the upload last made progress */
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
    CpProxyCaller *caller;
    CpProxyBody body;
    uint64_t max_body_bytes;
    uint64_t announced_bytes; /* of the body; CP_UNKNOWN_BYTES: in chunks */
    uint64_t received_bytes;  /* of the body */
    uint64_t reserved_bytes;  /* of the budget, but for bodies */
    bool body_received;       /* completely */
    bool streams_body;        /* it is passed on while it is received */
    /* While the rest of a body is dropped, as its request has ended: */
    int64_t drop_since_ns;    /* 0: it is not dropped */
    int64_t dropped_ns;       /* the last time that bytes came */
    bool response_sent;       /* beside the daemon */
    uint32_t head_room_bytes; /* left for the response's, by the daemon */
    uint32_t attempts;        /* started */
    int64_t deadline_ns;      /* 0: not sent yet */
    bool knows_chunks;        /* the caller speaks HTTP/1.1 */
    bool head_received;       /* of the request */
    uint32_t key_headers;     /* headers with a key that were received */
    bool started;
    bool suspended;
    bool waiting;      /* for a wake-up, without an attempt */
    uint32_t woken;    /* flag; atomic */
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
    uint32_t has_woken; /* flag: requests that wait may be woken; atomic */
    CURLM *multi;
    CpConnections *connections;
    int64_t curl_due_ns;         /* INT64_MAX: none */
    GHashTable *exchanges_by_fd; /* those whose caller is watched */
    pthread_mutex_t lock;        /* guards exchanges and active */
    CpProxyExchange *exchanges;
    uint32_t active;
    int64_t next_deadline_ns;
    uint64_t held_bytes; /* of all attempts */
    bool has_resumed;    /* the daemon has resumed connections to run */
    CpEasyPool easy_pool;
    CpBudgetGroup *callers;
    int64_t next_sweep_ns;
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
/* Watches an idle connection to a server, on which nothing may come, until a
 * request is sent on it. */
void CpProxyWorker_WatchIdle(CpProxyWorker *w, int32_t fd);
void CpProxyWorker_UnwatchIdle(CpProxyWorker *w, int32_t fd);
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
/* Lets the policy decide on a request whose wait has ended. */
void CpProxyFront_OnWoken(CpProxyExchange *ex);
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
/* Removes the Connection headers and those that they name: they concern only
 * the connection on which they were received. */
void CpHeader_RemoveHop(GPtrArray *lines, const CpHeaderNames *names);

/* Ends a request that cannot be served before its body was received. */
void CpProxyFront_Refuse(CpProxyExchange *ex, CpReason reason);
/* Ends the request and returns false if a body of so many bytes is refused. */
bool CpProxyFront_AcceptBody(CpProxyExchange *ex, uint64_t body_bytes);
/* Refuses a request for what it is, and counts and logs why. */
void CpProxyFront_Deny(CpProxyExchange *ex, CpReason reason, CpDenial denial);
/* Adds a request to the worker's list and lets the policy decide on it. */
void CpProxyFront_Begin(CpProxyExchange *ex);
/* Returns the text of a failure's response; g_free() it. */
char *CpProxyFront_FailureText(CpProxyExchange *ex);
/* Writes the value of Retry-After; returns false if there is none. */
bool CpProxyFront_RetryAfter(const CpProxyExchange *ex, char out[24]);

/* caller: connections of callers, and what they hold of the budget */
void CpProxyCaller_OnConnection(void *ctx, struct MHD_Connection *conn,
                                void **socket_ctx,
                                enum MHD_ConnectionNotificationCode code);
/* Reserves memory for a connection; closes others without progress if that is
 * needed. Not to be called from callbacks of curl. */
bool CpProxyCaller_Reserve(CpProxyCaller *c, uint64_t bytes, CpBudgetUse use);
/* Returns true if that much could be reserved. */
bool CpProxyCaller_MakeRoom(CpProxyCaller *c, uint64_t bytes, CpBudgetUse use);
void CpProxyCaller_Close(CpProxyCaller *c);
/* Begins and ends the use of a connection by a request. */
void CpProxyCaller_Begin(CpProxyCaller *c, CpProxyExchange *ex);
void CpProxyCaller_End(CpProxyCaller *c);
/* The head of a request was received completely. */
void CpProxyCaller_OnHead(CpProxyCaller *c);
/* Closes connections that have made no progress for too long. */
void CpProxyCaller_Sweep(CpProxyWorker *w, int64_t now_ns);
/* Bounds the buffers of a listening socket, or of one to a server, if the
 * memory of the host is bounded. */
void CpProxyCaller_BoundBuffers(const CpProxy *p, int32_t fd);

/* body: the held part of a request's body */
/* Makes room for n more bytes, in at most max_bytes. */
bool CpProxyBody_Reserve(CpProxyBody *b, uint32_t n, uint32_t max_bytes,
                         CpProxyCaller *c);
/* Appends bytes for which there is room. */
void CpProxyBody_Append(CpProxyBody *b, const void *data, uint32_t n);
/* Copies held bytes from an offset in the request's body on. */
uint32_t CpProxyBody_Read(const CpProxyBody *b, uint64_t offset, void *out,
                          uint32_t n);
/* Discards what is before an offset in the request's body, and reduces the
 * buffer to window_bytes when the rest fits. */
void CpProxyBody_Discard(CpProxyBody *b, uint64_t offset,
                         uint32_t window_bytes, CpProxyCaller *c);
void CpProxyBody_Clear(CpProxyBody *b, CpProxyCaller *c);

/* upload: bodies of requests while they are received */
/* Handles a part of a body. *n is then what was not taken: the connection is
 * suspended until there is room. */
void CpProxyUpload_OnData(CpProxyExchange *ex, const char *data, size_t *n);
/* The whole body was received. */
void CpProxyUpload_OnEnd(CpProxyExchange *ex);
/* Sets the body of an attempt's request. */
void CpProxyUpload_SetBody(CpProxyExchange *ex);
/* Drops the rest of a body whose request has ended, for a bounded time. */
void CpProxyUpload_BeginDrop(CpProxyExchange *ex);
/* Ends an upload whose response is complete, and a drop, if they make no
 * progress; schedules the next check. */
void CpProxyUpload_Check(CpProxyExchange *ex, int64_t now_ns);
/* Returns true if a streamed body is unfinished and the server keeps up with
 * the caller. */
bool CpProxyUpload_WaitsForCaller(const CpProxyExchange *ex);
/* Returns true if the request can be sent again from its start. */
bool CpProxyUpload_CanResend(const CpProxyExchange *ex);
/* Returns true if the attempt's response is complete, whatever is left of the
 * request. */
bool CpProxyAttempt_HasWholeResponse(const CpProxyExchange *ex);
/* Ends an attempt whose response is complete, and its connection. */
void CpProxyAttempt_EndEarly(CpProxyExchange *ex);

/* direct: responses that are written beside the daemon */
/* Returns true if the response, of the server or of this host, has a head for
 * which the daemon may not have enough memory. */
bool CpProxyDirect_IsNeeded(const CpProxyExchange *ex, CpProxyActionType type);
/* Sends the response and closes the connection. */
void CpProxyDirect_Respond(CpProxyExchange *ex);

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
