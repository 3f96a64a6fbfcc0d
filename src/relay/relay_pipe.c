/* The bounded byte stream between a producing and a consuming thread. */
#include <stdlib.h>
#include <string.h>

#include "relay/relay.h"

struct CpPipe {
    pthread_mutex_t lock; /* guards all other fields */
    CpBudget *budget;     /* NULL: none */
    bool reserved;        /* the buffer is counted in the budget */
    uint8_t *data;        /* allocated with the first write */
    uint32_t capacity_bytes;
    uint32_t head; /* next byte to read */
    uint32_t used_bytes;
    CpPipeState state;
    uint32_t wake_bytes; /* that wake a waiting reader */
    bool reader_waits;
    bool writer_waits;
    CpPipeWakeFn on_readable;
    void *on_readable_ctx;
    CpPipeWakeFn on_writable;
    void *on_writable_ctx;
    CpPipeConsumedFn on_consumed;
    void *on_consumed_ctx;
};

static void free_data(CpPipe *p);
static void copy_in(CpPipe *p, const uint8_t *data, uint32_t n);
static void copy_out(CpPipe *p, uint8_t *out, uint32_t n);

CpPipe *
CpPipe_New(uint32_t capacity_bytes)
{
    CpPipe *p = CpMem_Alloc(sizeof(*p));
    pthread_mutex_init(&p->lock, NULL);
    p->capacity_bytes = capacity_bytes;
    return p;
}

void
CpPipe_Free(CpPipe *p)
{
    if (p != NULL) {
        pthread_mutex_destroy(&p->lock);
        free_data(p);
        free(p);
    }
}

void
CpPipe_SetBudget(CpPipe *p, CpBudget *b)
{
    pthread_mutex_lock(&p->lock);
    p->budget = b;
    pthread_mutex_unlock(&p->lock);
}

bool
CpPipe_Reserve(CpPipe *p, CpBudget *b)
{
    pthread_mutex_lock(&p->lock);
    p->budget = b;
    p->reserved = CpBudget_Reserve(b, p->capacity_bytes, CP_BUDGET_LARGE);
    bool reserved = p->reserved;
    pthread_mutex_unlock(&p->lock);
    return reserved;
}

void
CpPipe_SetOnReadable(CpPipe *p, CpPipeWakeFn fn, void *ctx)
{
    pthread_mutex_lock(&p->lock);
    p->on_readable = fn;
    p->on_readable_ctx = ctx;
    pthread_mutex_unlock(&p->lock);
}

void
CpPipe_SetOnWritable(CpPipe *p, CpPipeWakeFn fn, void *ctx)
{
    pthread_mutex_lock(&p->lock);
    p->on_writable = fn;
    p->on_writable_ctx = ctx;
    pthread_mutex_unlock(&p->lock);
}

void
CpPipe_SetOnConsumed(CpPipe *p, CpPipeConsumedFn fn, void *ctx)
{
    pthread_mutex_lock(&p->lock);
    p->on_consumed = fn;
    p->on_consumed_ctx = ctx;
    pthread_mutex_unlock(&p->lock);
}

uint32_t
CpPipe_Write(CpPipe *p, const void *data, uint32_t size_bytes)
{
    CpPipeWakeFn wake = NULL;
    void *ctx = NULL;
    pthread_mutex_lock(&p->lock);
    uint32_t n = p->capacity_bytes - p->used_bytes;
    if (p->state != CP_PIPE_OPEN) {
        n = size_bytes; /* ended: the data is discarded */
    }
    else {
        if (n > size_bytes) {
            n = size_bytes;
        }
        copy_in(p, data, n);
        p->writer_waits = n < size_bytes;
        if (n > 0 && p->reader_waits && p->used_bytes >= p->wake_bytes) {
            p->reader_waits = false;
            wake = p->on_readable;
            ctx = p->on_readable_ctx;
        }
    }
    pthread_mutex_unlock(&p->lock);
    if (wake != NULL) {
        wake(ctx);
    }
    return n;
}

void
CpPipe_SetWakeBytes(CpPipe *p, uint32_t bytes)
{
    pthread_mutex_lock(&p->lock);
    p->wake_bytes = bytes;
    pthread_mutex_unlock(&p->lock);
}

void
CpPipe_Flush(CpPipe *p)
{
    CpPipeWakeFn wake = NULL;
    pthread_mutex_lock(&p->lock);
    void *ctx = p->on_readable_ctx;
    if (p->reader_waits && p->used_bytes > 0) {
        p->reader_waits = false;
        wake = p->on_readable;
    }
    pthread_mutex_unlock(&p->lock);
    if (wake != NULL) {
        wake(ctx);
    }
}

bool
CpPipe_CanWrite(CpPipe *p, uint32_t size_bytes)
{
    pthread_mutex_lock(&p->lock);
    bool fits = p->state != CP_PIPE_OPEN ||
                p->capacity_bytes - p->used_bytes >= size_bytes;
    p->writer_waits = !fits;
    pthread_mutex_unlock(&p->lock);
    return fits;
}

bool
CpPipe_IsBroken(CpPipe *p)
{
    pthread_mutex_lock(&p->lock);
    bool broken = p->state == CP_PIPE_BROKEN;
    pthread_mutex_unlock(&p->lock);
    return broken;
}

void
CpPipe_End(CpPipe *p, CpPipeState how)
{
    pthread_mutex_lock(&p->lock);
    bool first = p->state == CP_PIPE_OPEN;
    CpPipeWakeFn wake_reader = first ? p->on_readable : NULL;
    CpPipeWakeFn wake_writer =
        first && p->writer_waits ? p->on_writable : NULL;
    void *on_readable_ctx = p->on_readable_ctx,
         *on_writable_ctx = p->on_writable_ctx;
    if (first) {
        p->state = how;
        p->reader_waits = false;
        p->writer_waits = false;
        if (how == CP_PIPE_BROKEN) {
            free_data(p);
        }
    }
    pthread_mutex_unlock(&p->lock);
    if (wake_reader != NULL) {
        wake_reader(on_readable_ctx);
    }
    if (wake_writer != NULL) {
        wake_writer(on_writable_ctx);
    }
}

uint32_t
CpPipe_Read(CpPipe *p, void *out, uint32_t capacity_bytes, CpPipeState *state)
{
    CpPipeWakeFn wake = NULL;
    void *ctx = NULL;
    pthread_mutex_lock(&p->lock);
    uint32_t n =
        p->used_bytes < capacity_bytes ? p->used_bytes : capacity_bytes;
    if (p->state == CP_PIPE_BROKEN) {
        n = 0;
    }
    copy_out(p, out, n);
    *state = n > 0 ? CP_PIPE_OPEN : p->state;
    p->reader_waits = n == 0;
    if (p->writer_waits && p->used_bytes <= p->capacity_bytes / 2) {
        p->writer_waits = false;
        wake = p->on_writable;
        ctx = p->on_writable_ctx;
    }
    CpPipeConsumedFn on_consumed = n > 0 ? p->on_consumed : NULL;
    void *on_consumed_ctx = p->on_consumed_ctx;
    pthread_mutex_unlock(&p->lock);
    if (wake != NULL) {
        wake(ctx);
    }
    if (on_consumed != NULL) {
        on_consumed(on_consumed_ctx, n);
    }
    return n;
}

static void
free_data(CpPipe *p)
{
    if (p->reserved) {
        CpBudget_Release(p->budget, p->capacity_bytes);
        p->reserved = false;
    }
    free(p->data);
    p->data = NULL;
    p->head = p->used_bytes = 0;
}

static void
copy_in(CpPipe *p, const uint8_t *data, uint32_t n)
{
    if (p->data == NULL && n > 0) {
        if (p->budget != NULL && !p->reserved) {
            p->reserved = CpBudget_Reserve(p->budget, p->capacity_bytes,
                                           CP_BUDGET_FORCED);
        }
        p->data = CpMem_Alloc(p->capacity_bytes);
    }
    uint32_t tail = (p->head + p->used_bytes) % p->capacity_bytes;
    uint32_t first = p->capacity_bytes - tail;
    if (first > n) {
        first = n;
    }
    if (n > 0) {
        memcpy(p->data + tail, data, first);
        memcpy(p->data, data + first, n - first);
    }
    p->used_bytes += n;
}

static void
copy_out(CpPipe *p, uint8_t *out, uint32_t n)
{
    uint32_t first = p->capacity_bytes - p->head;
    if (first > n) {
        first = n;
    }
    if (n > 0) {
        memcpy(out, p->data + p->head, first);
        memcpy(out + first, p->data, n - first);
    }
    p->head = (p->head + n) % p->capacity_bytes;
    p->used_bytes -= n;
}
