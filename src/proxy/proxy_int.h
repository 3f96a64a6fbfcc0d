/* What the files of the proxy package share. */
#ifndef CP_PROXY_INT_H
#define CP_PROXY_INT_H

#include <microhttpd.h>
#include <pthread.h>

#include "http/easy.h"
#include "proxy/proxy.h"

typedef struct CpProxyWorker CpProxyWorker;

/* One attempt at a server; belongs to its call. */
typedef struct {
    CURL *easy;
    struct curl_slist *request_headers;
    char error[CURL_ERROR_SIZE];
    char url[CP_ADDR_BYTES + 16];
    bool sent;       /* its first byte was due */
    bool id_matches; /* the answer bears the request's id */
    bool mismatched; /* it bears another one */
    bool sealed;
    bool not_run;
    bool has_load;
    uint32_t status;
    uint32_t warmup_left_ms;
    CpServerLoad load;
    int64_t started_ns;
    GPtrArray *response_headers; /* CpHeaderLine of the answer */
    GByteArray *body; /* of the answer; streamed: what waits for its caller */
    uint64_t body_bytes;           /* received */
    uint64_t content_length_bytes; /* streamed: of the whole body, as told */
    bool streamed;                 /* the body is passed on as it comes */
    bool paused;                   /* the server has to wait for the caller */
    bool complete; /* streamed: it has ended, and all of it came */
} CpProxyAttempt;

struct CpCall {
    CpRequest request; /* first: the policy's view */
    CpProxyWorker *worker;
    CpCall *next; /* among the worker's calls that were begun */
    CpCall *prev;
    struct MHD_Connection *conn;
    int32_t fd;         /* of the caller's connection */
    GPtrArray *headers; /* CpHeaderLine, to be forwarded */
    GByteArray *body;
    uint64_t max_body_bytes;
    int64_t deadline_ns; /* 0: not sent yet */
    bool head_received;  /* the request's head has been read */
    bool started;
    bool suspended;
    bool watched;      /* the connection is watched for the caller's leaving */
    bool decided;      /* `step` is final */
    bool disconnected; /* the caller went away */
    bool response_queued; /* an answer was queued */
    CpStep action;
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
    GHashTable *exchanges_by_fd; /* callers' connections that are watched */
    pthread_mutex_t lock;        /* of the calls */
    CpCall *exchanges;
    uint32_t active;
    int64_t next_deadline_ns;
    bool has_resumed; /* the daemon has connections to go on with */
    CpEasyPool easy_pool;
};

struct CpProxy {
    CpProxyOptions options;
    int32_t listen_fd;
    char interface[CP_ADDR_BYTES + 8];
    uint32_t closing;  /* flag: answers close their connections */
    uint32_t refusing; /* flag: new requests are refused */
    uint32_t
        server_keep_alive_s; /* of idle connections at servers, as they told */
    CpProxyWorker *workers;
};

/* worker: the event loop */
void *CpProxyWorker_Run(void *worker);
void CpProxyWorker_Wake(CpProxyWorker *w);
/* Watches a caller's connection while its request is in flight. */
void CpProxyWorker_Watch(CpProxyWorker *w, CpCall *ex);
void CpProxyWorker_Unwatch(CpProxyWorker *w, CpCall *ex);
/* Looks at the call again when its next deadline passes. */
void CpProxyWorker_ScheduleDeadline(CpProxyWorker *w, const CpCall *ex);
int CpProxyWorker_OnSocket(CURL *easy, curl_socket_t fd, int what, void *ctx,
                           void *socket_ctx);
int CpProxyWorker_OnTimer(CURLM *multi, long timeout_ms, void *ctx);

/* front: callers */
CpStatus CpProxyFront_Open(CpProxyWorker *w);
/* Carries a decided step out: another attempt, or the caller's answer. */
void CpProxyFront_Execute(CpCall *ex, const CpStep *action);
/* Goes on with a connection that waits for its answer, or for more of it. */
void CpProxyFront_Resume(CpCall *ex);
/* The caller went away, or the deadline passed. */
void CpProxyFront_OnDisconnect(CpCall *ex);
void CpProxyFront_OnDeadline(CpCall *ex);
/* The time of an attempt, not of its request, is over. */
void CpProxyAttempt_OnDeadline(CpCall *ex);
void CpHeaderLine_Free(void *line);
GPtrArray *CpHeaderLine_NewList(void);
void CpHeaderLine_Add(GPtrArray *list, const char *name, size_t name_bytes,
                      const char *value, size_t value_bytes);
/* Whether a header concerns one connection only, or is set anew. */
bool CpHeader_IsHopByHop(const char *name);

/* attempt: backend servers */
void CpProxyAttempt_Start(CpCall *ex, const CpStep *action);
/* Reads the ends of attempts off the multi handle. */
void CpProxyAttempt_CollectEnded(CpProxyWorker *w);
/* Goes on with an answer that waited for its caller. */
void CpProxyAttempt_Resume(CpCall *ex);
/* The caller is gone: an attempt under way is broken off and reported. */
void CpProxyAttempt_Cancel(CpCall *ex);
/* Takes the attempt off the worker; one under way is broken off. */
void CpProxyAttempt_Abort(CpCall *ex);
void CpProxyAttempt_Clear(CpCall *ex);

#endif
