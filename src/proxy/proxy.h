/*
 * proxy: forwards requests of callers to backend servers and returns the
 * responses. Each worker thread has an event loop, its callers (libmicrohttpd)
 * and its attempts (libcurl). How a request is handled is decided by the
 * policy, a table of callbacks that is independent of sockets; the names of
 * headers come from the adapter to the users' platform.
 */
#ifndef CP_PROXY_H
#define CP_PROXY_H

#include <glib.h>

#include "base/base.h"
#include "budget/budget.h"
#include "fleet/fleet.h"
#include "route/route.h"

#define CP_REQUEST_ID_BYTES 80     /* longest request id with NUL */
#define CP_REQUEST_METHOD_BYTES 16 /* longest method with NUL */
#define CP_REQUEST_OBJECT_BYTES 128

/* Names of the headers that the proxy reads or sets. */
typedef struct {
    const char *request_id; /* of one attempt of the caller; servers echo it */
    const char *timeout_ms; /* how long a caller waits or a server may run */
    const char *target_instance; /* the only server that may run the request */
    const char *not_run;         /* in a response: the request was not run */
    const char *seal;            /* in a response: proof of its origin */
    const char *server_load;     /* in a response: load of the server */
    const char *warmup_left;   /* in a response: ms until the server is warm */
    const char *leaving;       /* in a response: the server leaves */
    const char *object_cookie; /* cookie that names the object of a request */
    const char *key;           /* of a request: names its organisation */
    const char *challenge; /* how a refusal for want of a key asks for it */
    const char *org;       /* to a server: name of the organisation */
    /* Returns the key in the value of that header; NULL if it has none. */
    const char *(*find_key)(const char *text);
    bool (*decode_load)(const char *text, CpServerLoad *out);
} CpHeaderNames;

typedef struct {
    char *name;
    char *value;
} CpHeaderLine;

typedef struct CpProxyExchange CpProxyExchange;
/* One request of a caller, as the policy sees it. The policy keeps its own
 * state in `policy_data`, which is freed with the request. */
typedef struct {
    char id[CP_REQUEST_ID_BYTES];
    char method[CP_REQUEST_METHOD_BYTES];
    char host[CP_ROUTE_HOST_BYTES];
    char *target;                         /* path and query, as received */
    char object[CP_REQUEST_OBJECT_BYTES]; /* "" where there is none */
    char *key;           /* as received; NULL: none, or not exactly one */
    uint32_t timeout_ms; /* set by the caller; 0: none */
    int64_t started_ns;
    void *policy_data;
} CpRequest;

/* What the policy decides to do with a request next. */
typedef enum {
    CP_ACTION_SEND = 0, /* start an attempt at a server */
    CP_ACTION_RESPOND,  /* forward the server's response */
    CP_ACTION_FAIL,     /* respond with `reason` */
    /* wait without a server until CpProxy_WakeRequest() or wait_until_ns; then
     * on_woken() decides */
    CP_ACTION_WAIT
} CpProxyActionType;

typedef struct {
    CpProxyActionType type;
    char address[CP_ADDR_BYTES]; /* SEND: of the server */
    char instance[CP_NAME_BYTES];
    bool idempotent;
    /* SEND: the name for the server, "" for none; the caller's headers with a
     * key or a name are then dropped. NULL: they are forwarded. Valid while
     * the request lasts. */
    const char *org;
    int64_t deadline_ns;         /* of the request */
    int64_t attempt_deadline_ns; /* may be abandoned then; 0: never */
    CpReason reason;             /* FAIL */
    uint32_t status;             /* FAIL; 0: that of the reason */
    uint32_t retry_after_ms;
    int64_t wait_until_ns; /* WAIT */
} CpProxyAction;

/* How an attempt ended. */
typedef struct {
    CpAttemptOutcome outcome;
    CpReason reason; /* CP_REASON_NONE: a success, with a status of 2xx */
    CpVerdict verdict;
    bool withheld;   /* may_send() returned false */
    uint32_t status; /* of the response; 0: none */
    int64_t latency_ns;
    int64_t head_latency_ns; /* until the response's head; 0: none received */
    bool has_load;
    CpServerLoad load;
    uint32_t warmup_left_ms;
    uint32_t pause_ms; /* the server wants no requests for so long; 0: none */
    bool leaving;      /* the server announced that it leaves */
    uint64_t response_bytes;
    bool can_resend; /* the whole body is held, so that it can be sent again */
    CpFlaw flaw;     /* of the response */
    bool reused;     /* the connection had had an earlier request */
    uint32_t following_bytes; /* after the response, as far as looked at */
} CpAttemptResult;

/* How a request ended for its caller. */
typedef struct {
    bool completed; /* with a server's response; else `reason` is set */
    CpReason reason;
    uint32_t status; /* 0: the caller disconnected */
    uint32_t retry_after_ms;
    int64_t latency_ns;
    uint64_t body_bytes;
} CpRequestResult;

typedef struct {
    /* The head of a request with a body was received. Returns false and sets
     * the failure if the request is refused without reading its body; no other
     * callback follows. */
    bool (*on_head)(void *ctx, CpRequest *rq, CpProxyAction *out);
    /* A request was received. */
    void (*on_request)(void *ctx, CpRequest *rq, CpProxyAction *out);
    /* The wait of a request ended. */
    void (*on_woken)(void *ctx, CpRequest *rq, CpProxyAction *out);
    /* An attempt ended; not called if the caller disconnected meanwhile. */
    void (*on_attempt_ended)(void *ctx, CpRequest *rq,
                             const CpAttemptResult *a, CpProxyAction *out);
    /* Called right before the request is sent, for each attempt. Returns
     * false if it may not be sent now; the attempt then ends as withheld. */
    bool (*may_send)(void *ctx, const CpRequest *rq);
    /* Decides whether a large response, whose head was received, is streamed.
     * The attempt then ends with on_stream_ended() instead of
     * on_attempt_ended(). */
    bool (*may_stream)(void *ctx, const CpRequest *rq,
                       const CpAttemptResult *head);
    /* The server has ended a response that was streamed. */
    void (*on_stream_ended)(void *ctx, CpRequest *rq,
                            const CpAttemptResult *a);
    /* Decides whether an attempt whose own deadline passed is abandoned. If
     * not, *next_ns is its next deadline; 0: none. */
    bool (*should_abandon)(void *ctx, CpRequest *rq, int64_t *next_ns);
    /* The request's deadline passed during an attempt, whose request may have
     * been sent; sets how the request fails. */
    void (*on_deadline)(void *ctx, CpRequest *rq, bool sent,
                        int64_t latency_ns, CpProxyAction *out);
    /* The caller disconnected during an attempt. */
    void (*on_cancelled)(void *ctx, CpRequest *rq, int64_t latency_ns);
    /* The response was sent, or the caller disconnected. */
    void (*on_request_ended)(void *ctx, CpRequest *rq,
                             const CpRequestResult *result);
    /* A body has more bytes than the limit that was read with its head.
     * Returns false and sets the failure if the request is refused; true: the
     * limit has been raised. */
    bool (*on_large_body)(void *ctx, const CpRequest *rq, uint64_t body_bytes,
                          CpProxyAction *out);
    /* Gets the limits of requests now in force. */
    void (*get_limits)(void *ctx, CpRouteLimits *out);
    void *ctx;
} CpProxyPolicy;

typedef struct CpProxy CpProxy;
typedef struct {
    const char *listen;    /* IP:port for callers */
    const char *source_ip; /* of this host, for connections to servers */
    uint32_t threads;
    uint32_t max_connections;      /* of callers, over all threads */
    uint32_t request_buffer_bytes; /* larger bodies are streamed */
    uint32_t body_timeout_ms;      /* of an unfinished body without progress */
    CpBudget *budget;              /* of the host */
    const CpHeaderNames *headers;
    CpProxyPolicy policy;
} CpProxyOptions;

/* Creates the proxy and binds its address. */
CpStatus CpProxy_New(const CpProxyOptions *options, CpProxy **out);
CpStatus CpProxy_Start(CpProxy *p);
/* Ends the wait of a request, or the next one if it does not wait; may be
 * called by any thread, until on_request_ended() returns. */
void CpProxy_WakeRequest(CpRequest *rq);
/* Counts the requests without a complete response. */
uint32_t CpProxy_CountActive(CpProxy *p);
/* Closes each connection after its response from now on. */
void CpProxy_CloseAfterResponses(CpProxy *p);
/* Accepts no new connections; requests that still arrive on open ones are
 * refused as not run. */
void CpProxy_RefuseRequests(CpProxy *p);

#endif
