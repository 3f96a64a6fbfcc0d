/*
 * relay: forwards one request from its front end (a caller, or another host)
 * to the back end that runs it, and returns the response with the verdict.
 */
#ifndef CP_RELAY_H
#define CP_RELAY_H

#include <pthread.h>

#include "admit/admit.h"
#include "base/base.h"
#include "budget/budget.h"
#include "config/config.h"
#include "wire/wire.h"

#define CP_PIPE_CAPACITY_BYTES (128 * 1024)
#define CP_MAX_TRIED_HOSTS 4  /* hosts that one request may be sent to */
#define CP_MAX_ATTACHMENTS 16 /* attempts, refused ones too, and both ends */

/* A bounded byte stream between two threads, with a wake-up callback on each
 * side. */
typedef struct CpPipe CpPipe;
typedef void (*CpPipeWakeFn)(void *ctx);
typedef enum {
    CP_PIPE_OPEN = 0,
    CP_PIPE_COMPLETE,
    CP_PIPE_BROKEN
} CpPipeState;

CpPipe *CpPipe_New(uint32_t capacity_bytes);
void CpPipe_Free(CpPipe *p);
/* Counts the pipe's buffer in a budget from its first byte on. */
void CpPipe_SetBudget(CpPipe *p, CpBudget *b);
/* Reserves the pipe's buffer now, as for a large body; returns false if the
 * budget does not allow it. */
bool CpPipe_Reserve(CpPipe *p, CpBudget *b);
/* Sets the callback for when a reader that got nothing may read again. */
void CpPipe_SetOnReadable(CpPipe *p, CpPipeWakeFn fn, void *ctx);
/* Wakes a waiting reader only for so many bytes, at the end, or by
 * CpPipe_Flush(): each wake-up may cost a frame. */
void CpPipe_SetWakeBytes(CpPipe *p, uint32_t bytes);
void CpPipe_Flush(CpPipe *p);
/* Sets the callback for when a writer that was cut short may write again. */
void CpPipe_SetOnWritable(CpPipe *p, CpPipeWakeFn fn, void *ctx);
/* Writes what fits and returns its size; for the rest, wait for the writer's
 * callback. After the end of the stream all data is discarded. */
uint32_t CpPipe_Write(CpPipe *p, const void *data, uint32_t size_bytes);
typedef void (*CpPipeConsumedFn)(void *ctx, uint32_t size_bytes);
/* Sets the callback that gets the size of each read, for flow control. */
void CpPipe_SetOnConsumed(CpPipe *p, CpPipeConsumedFn fn, void *ctx);
/* Returns true if `size_bytes` fit now; if not, the writer's callback is
 * called later. */
bool CpPipe_CanWrite(CpPipe *p, uint32_t size_bytes);
bool CpPipe_IsBroken(CpPipe *p);
/* Ends the stream as complete or broken; only the first call counts. A broken
 * one holds nothing any more. */
void CpPipe_End(CpPipe *p, CpPipeState how);
/* Reads the available bytes; 0 with *state CP_PIPE_OPEN means wait for
 * the reader's callback. */
uint32_t CpPipe_Read(CpPipe *p, void *out, uint32_t capacity_bytes,
                     CpPipeState *state);

/* The head of a response; a refusal if `reason` is not CP_REASON_NONE. */
typedef struct {
    uint32_t status;
    CpVerdict verdict;
    CpReason reason;
    uint64_t length_bytes;
    char content_type[CP_CONTENT_TYPE_BYTES];
    char server[CP_NAME_BYTES];     /* address of the server that responded */
    char location[CP_TARGET_BYTES]; /* of a redirect */
} CpResponseHead;

typedef struct CpExchange CpExchange;
typedef void (*CpExchangeFn)(void *ctx, CpExchange *ex);

/* One request and its response. Fields up to `lock` are set before it is
 * submitted and do not change after. */
struct CpExchange {
    uint32_t refs;
    uint64_t id; /* unique in this process */
    uint32_t kind_index;
    uint32_t pool_index;
    uint32_t rank; /* 0 is the most urgent */
    bool idempotent;
    char kind[CP_NAME_BYTES];
    char method[16];
    char target[CP_TARGET_BYTES];
    char content_type[CP_CONTENT_TYPE_BYTES];
    char ticket[CP_TICKET_BYTES];
    char origin[CP_NAME_BYTES];
    uint32_t hops;
    uint64_t ticket_number;
    int64_t started_ns;
    int64_t deadline_ns;
    uint8_t *inline_body; /* the complete body if `request_body` is NULL */
    uint32_t inline_body_bytes;
    CpPipe *request_body; /* streamed body; NULL for a small one */
    CpPipe *response_body;

    pthread_mutex_t lock; /* guards the fields up to attachment_count */
    bool head_delivered;
    bool cancelled;
    CpResponseHead head;
    CpExchangeFn on_head; /* of the front end */
    void *on_head_ctx;
    CpExchangeFn on_cancel; /* of the current back end */
    void *on_cancel_ctx;

    struct {
        void *data;
        void (*release)(void *data);
    } attachments[CP_MAX_ATTACHMENTS];
    uint32_t attachment_count;

    /* Used by the current holder of the exchange. */
    struct CpExchange *next;
    struct CpExchange *prev;
    CpAdmitItem item;
    CpReason refusal_reason; /* collected by the pool */
    char server_address[CP_ADDR_BYTES];
    void *pool; /* the host's pool that granted the slot */
    uint32_t attempts;
    /* Of the last attempt that may have run the request; CP_NOT_RUN: none. */
    CpVerdict ran_verdict;
    CpReason ran_reason;
    uint32_t tried_hosts[CP_MAX_TRIED_HOSTS]; /* that it was sent to */
    uint32_t tried_host_count;
    uint32_t shift_refusals; /* by traffic shifts at their cap */
    bool from_peer;          /* another host routed it here */
    int64_t dispatched_ns;
    uint64_t config_version;
};

CpExchange *CpExchange_New(void);
CpExchange *CpExchange_Retain(CpExchange *ex);
void CpExchange_Release(CpExchange *ex);
/* Delivers the head, once; returns false if there is one already. */
bool CpExchange_DeliverHead(CpExchange *ex, const CpResponseHead *head);
/* Fails the exchange: without a head, delivers one with `reason`; otherwise
 * breaks the response's body. */
void CpExchange_Fail(CpExchange *ex, CpVerdict verdict, CpReason reason);
/* Cancels the exchange for its front end and notifies its back end, once. */
void CpExchange_Cancel(CpExchange *ex);
/* Sets the back end's callback for a cancel; returns false if the exchange was
 * cancelled already. */
bool CpExchange_SetOnCancel(CpExchange *ex, CpExchangeFn on_cancel, void *ctx);
bool CpExchange_HasHead(CpExchange *ex);
/* Sets or clears the front end's callback. */
void CpExchange_SetOnHead(CpExchange *ex, CpExchangeFn on_head, void *ctx);
typedef void (*CpReleaseFn)(void *data);
/* Attaches `data`, which is released together with the exchange. Callbacks of
 * the exchange's pipes keep their state in such data, as they may be called
 * until then. */
void CpExchange_Attach(CpExchange *ex, void *data, CpReleaseFn release);

#endif
