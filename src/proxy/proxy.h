/*
 * proxy: carries requests of callers to backend servers and the answers back,
 * each worker thread with an event loop, its callers (libmicrohttpd) and its
 * attempts (libcurl). What becomes of a request is decided by the policy, a
 * table of callbacks that knows nothing of sockets; the names of headers come
 * from whoever speaks the users' protocol.
 */
#ifndef CP_PROXY_H
#define CP_PROXY_H

#include <glib.h>

#include "base/base.h"
#include "fleet/fleet.h"
#include "route/route.h"

#define CP_CALL_ID_BYTES 80     /* longest id of a request with NUL */
#define CP_CALL_METHOD_BYTES 16 /* longest method with NUL */
#define CP_CALL_OBJECT_BYTES 128

/* Names of the headers that the proxy reads or sets. */
typedef struct {
    const char *request_id; /* of one try of the caller; servers echo it */
    const char *timeout_ms; /* how long the caller waits, a server may work */
    const char *instance;   /* the only server that may run the request */
    const char *not_run;    /* in an answer: the server did not run it */
    const char *seal;       /* proof that an answer is the server's own */
    const char *load;       /* of a server, in its answers */
    const char *warmup_left;
    const char *object_cookie; /* names the object of a request */
    bool (*decode_load)(const char *text, CpServerLoad *out);
} CpHeaderNames;

typedef struct {
    char *name;
    char *value;
} CpHeaderLine;

/* One request of a caller. The policy reads it; it keeps its own state in
 * `memory`, which is freed with the call. */
typedef struct CpCall CpCall;
typedef struct {
    char id[CP_CALL_ID_BYTES];
    char method[CP_CALL_METHOD_BYTES];
    char host[CP_ROUTE_HOST_BYTES];
    char *target;                      /* path and query, as received */
    char object[CP_CALL_OBJECT_BYTES]; /* "" where there is none */
    uint32_t timeout_ms;               /* of the caller; 0: not told */
    int64_t started_ns;
    void *memory;
} CpRequest;

/* What to do with a request next. */
typedef enum {
    CP_STEP_SEND = 0, /* to a server */
    CP_STEP_ANSWER,   /* pass the server's answer on */
    CP_STEP_FAIL      /* answer with `reason` */
} CpStepType;

typedef struct {
    CpStepType type;
    char address[CP_ADDR_BYTES]; /* SEND: of the server */
    char instance[CP_NAME_BYTES];
    bool idempotent;
    int64_t deadline_ns;         /* of the request */
    int64_t attempt_deadline_ns; /* the attempt is given up then; 0: never */
    CpReason reason;             /* FAIL */
    uint32_t status;             /* FAIL; 0: as the reason tells */
    uint32_t retry_after_ms;
} CpStep;

/* How an attempt ended. */
typedef struct {
    CpAttemptEnd end;
    CpReason reason;
    CpVerdict verdict;
    uint32_t status; /* of the answer; 0: none */
    int64_t latency_ns;
    bool has_load;
    CpServerLoad load;
    uint32_t warmup_left_ms;
    uint64_t answer_bytes;
} CpAttempt;

/* How a request ended for its caller. */
typedef struct {
    bool answered; /* by a server; otherwise `reason` tells why not */
    CpReason reason;
    uint32_t status; /* 0: the caller went away */
    uint32_t retry_after_ms;
    int64_t latency_ns;
    uint64_t body_bytes;
} CpFinish;

typedef struct {
    /* A request has been read. */
    void (*begin)(void *ctx, CpRequest *rq, CpStep *out);
    /* An attempt ended; not called when the caller went away meanwhile. */
    void (*ended)(void *ctx, CpRequest *rq, const CpAttempt *a, CpStep *out);
    /* The head of a large answer came: whether its body may be passed on as
     * it comes. It then ends with passed(), not with ended(). */
    bool (*pass_on)(void *ctx, const CpRequest *rq, const CpAttempt *head);
    /* An answer that was passed on as it came has ended at the server. */
    void (*passed)(void *ctx, CpRequest *rq, const CpAttempt *a);
    /* The time of an attempt is over: whether to give it up. */
    bool (*give_up)(void *ctx, CpRequest *rq);
    /* The caller went away, or the deadline passed, during an attempt. */
    void (*abandoned)(void *ctx, CpRequest *rq, CpAttemptEnd end,
                      int64_t latency_ns);
    /* The caller has its answer, or is gone. */
    void (*finished)(void *ctx, CpRequest *rq, const CpFinish *f);
    /* Limits of requests now in force. */
    void (*limits)(void *ctx, CpRouteLimits *out);
    void *ctx;
} CpProxyPolicy;

typedef struct CpProxy CpProxy;
typedef struct {
    const char *listen; /* IP:port for callers */
    const char *source; /* IP of this host, for connections to servers */
    uint32_t threads;
    uint32_t connections; /* of callers, all threads together */
    const CpHeaderNames *headers;
    CpProxyPolicy policy;
} CpProxyOptions;

/* Binds the address. */
CpStatus CpProxy_New(const CpProxyOptions *options, CpProxy **out);
CpStatus CpProxy_Start(CpProxy *p);
/* Requests that have been read and not answered. */
uint32_t CpProxy_Active(CpProxy *p);
/* Answers close their connections from now on. */
void CpProxy_CloseAfterAnswers(CpProxy *p);
/* Takes no new connections; requests that still arrive are refused as not
 * run. */
void CpProxy_Refuse(CpProxy *p);

#endif
