/* The state of one request, shared by its front end and its back end. */
#include <stdlib.h>
#include <string.h>

#include "relay/relay.h"

static uint64_t next_id;

static bool deliver(CpExchange *ex, const CpResponseHead *head, bool end_body);

CpExchange *
CpExchange_New(void)
{
    CpExchange *ex = CpMem_Alloc(sizeof(*ex));
    ex->refs = 1;
    ex->id = __atomic_add_fetch(&next_id, 1, __ATOMIC_RELAXED);
    ex->response_body = CpPipe_New(CP_PIPE_CAPACITY_BYTES);
    ex->started_ns = CpClock_Now_ns();
    ex->item.ctx = ex;
    pthread_mutex_init(&ex->lock, NULL);
    return ex;
}

CpExchange *
CpExchange_Retain(CpExchange *ex)
{
    CpRef_Retain(&ex->refs);
    return ex;
}

void
CpExchange_Release(CpExchange *ex)
{
    if (!CpRef_Release(&ex->refs)) {
        return;
    }
    CpPipe_Free(ex->request_body);
    CpPipe_Free(ex->response_body);
    pthread_mutex_destroy(&ex->lock);
    for (uint32_t i = 0; i < ex->attachment_count; i++) {
        ex->attachments[i].release(ex->attachments[i].data);
    }
    free(ex->inline_body);
    free(ex);
}

void
CpExchange_Attach(CpExchange *ex, void *data, CpReleaseFn release)
{
    pthread_mutex_lock(&ex->lock);
    if (ex->attachment_count ==
        sizeof(ex->attachments) / sizeof(ex->attachments[0])) {
        CpLog(CP_LOG_ERR, "relay: too many attachments of one exchange");
        abort();
    }
    ex->attachments[ex->attachment_count].data = data;
    ex->attachments[ex->attachment_count++].release = release;
    pthread_mutex_unlock(&ex->lock);
}

void
CpExchange_SetOnHead(CpExchange *ex, CpExchangeFn on_head, void *ctx)
{
    pthread_mutex_lock(&ex->lock);
    ex->on_head = on_head;
    ex->on_head_ctx = ctx;
    pthread_mutex_unlock(&ex->lock);
}

bool
CpExchange_DeliverHead(CpExchange *ex, const CpResponseHead *head)
{
    return deliver(ex, head, false);
}

void
CpExchange_Fail(CpExchange *ex, CpVerdict verdict, CpReason reason)
{
    CpResponseHead head = {.status = CpReason_HttpStatus(reason),
                           .verdict = verdict,
                           .reason = reason};
    if (!deliver(ex, &head, true)) {
        CpPipe_End(ex->response_body, CP_PIPE_BROKEN);
    }
}

void
CpExchange_Cancel(CpExchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool first = !ex->cancelled;
    ex->cancelled = true;
    CpExchangeFn fn = first ? ex->on_cancel : NULL;
    void *ctx = ex->on_cancel_ctx;
    pthread_mutex_unlock(&ex->lock);
    if (fn != NULL) {
        fn(ctx, ex);
    }
}

bool
CpExchange_SetOnCancel(CpExchange *ex, CpExchangeFn on_cancel, void *ctx)
{
    pthread_mutex_lock(&ex->lock);
    bool ok = !ex->cancelled;
    ex->on_cancel = on_cancel;
    ex->on_cancel_ctx = ctx;
    pthread_mutex_unlock(&ex->lock);
    return ok;
}

bool
CpExchange_HasHead(CpExchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool has_head = ex->head_delivered;
    pthread_mutex_unlock(&ex->lock);
    return has_head;
}

/* Sets the head if there is none; with `end_body`, the body ends with it. */
static bool
deliver(CpExchange *ex, const CpResponseHead *head, bool end_body)
{
    pthread_mutex_lock(&ex->lock);
    bool first = !ex->head_delivered;
    if (first) {
        ex->head_delivered = true;
        ex->head = *head;
    }
    CpExchangeFn fn = first ? ex->on_head : NULL;
    void *ctx = ex->on_head_ctx;
    pthread_mutex_unlock(&ex->lock);
    if (first && end_body) {
        CpPipe_End(ex->response_body, CP_PIPE_COMPLETE);
    }
    if (fn != NULL) {
        fn(ctx, ex);
    }
    return first;
}
