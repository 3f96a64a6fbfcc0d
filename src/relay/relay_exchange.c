/* The state of one request, shared by its front end and its back end. */
#include <stdlib.h>
#include <string.h>

#include "relay/relay.h"

static uint64_t next_id;

static bool deliver(CpExchange *ex, const CpHead *head, bool ends);

CpExchange *
CpExchange_New(void)
{
    CpExchange *ex = CpMem_Alloc(sizeof(*ex));
    ex->refs = 1;
    ex->id = __atomic_add_fetch(&next_id, 1, __ATOMIC_RELAXED);
    ex->down = CpPipe_New(CP_PIPE_BYTES);
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
    CpPipe_Free(ex->up);
    CpPipe_Free(ex->down);
    pthread_mutex_destroy(&ex->lock);
    for (uint32_t i = 0; i < ex->kept_count; i++) {
        ex->kept[i].drop(ex->kept[i].memory);
    }
    free(ex->body);
    free(ex);
}

void
CpExchange_Keep(CpExchange *ex, void *memory, CpDropFn drop)
{
    pthread_mutex_lock(&ex->lock);
    if (ex->kept_count == sizeof(ex->kept) / sizeof(ex->kept[0])) {
        CpLog(CP_LOG_ERR, "relay: too many owners of one exchange");
        abort();
    }
    ex->kept[ex->kept_count].memory = memory;
    ex->kept[ex->kept_count++].drop = drop;
    pthread_mutex_unlock(&ex->lock);
}

void
CpExchange_SetFront(CpExchange *ex, CpExchangeFn on_head, void *ctx)
{
    pthread_mutex_lock(&ex->lock);
    ex->on_head = on_head;
    ex->front_ctx = ctx;
    pthread_mutex_unlock(&ex->lock);
}

bool
CpExchange_Head(CpExchange *ex, const CpHead *head)
{
    return deliver(ex, head, false);
}

void
CpExchange_Fail(CpExchange *ex, CpVerdict verdict, CpReason reason)
{
    CpHead head = {.status = CpReason_HttpStatus(reason),
                   .verdict = verdict,
                   .reason = reason};
    if (!deliver(ex, &head, true)) {
        CpPipe_End(ex->down, CP_PIPE_BROKEN);
    }
}

void
CpExchange_Cancel(CpExchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool first = !ex->cancelled;
    ex->cancelled = true;
    CpExchangeFn fn = first ? ex->on_cancel : NULL;
    void *ctx = ex->back_ctx;
    pthread_mutex_unlock(&ex->lock);
    if (fn != NULL) {
        fn(ctx, ex);
    }
}

bool
CpExchange_SetBack(CpExchange *ex, CpExchangeFn on_cancel, void *ctx)
{
    pthread_mutex_lock(&ex->lock);
    bool ok = !ex->cancelled;
    ex->on_cancel = on_cancel;
    ex->back_ctx = ctx;
    pthread_mutex_unlock(&ex->lock);
    return ok;
}

bool
CpExchange_Headed(CpExchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool headed = ex->headed;
    pthread_mutex_unlock(&ex->lock);
    return headed;
}

/* Sets the head if there is none, and ends the body with it if it `ends`. */
static bool
deliver(CpExchange *ex, const CpHead *head, bool ends)
{
    pthread_mutex_lock(&ex->lock);
    bool first = !ex->headed;
    if (first) {
        ex->headed = true;
        ex->head = *head;
    }
    CpExchangeFn fn = first ? ex->on_head : NULL;
    void *ctx = ex->front_ctx;
    pthread_mutex_unlock(&ex->lock);
    if (first && ends) {
        CpPipe_End(ex->down, CP_PIPE_WHOLE);
    }
    if (fn != NULL) {
        fn(ctx, ex);
    }
    return first;
}
