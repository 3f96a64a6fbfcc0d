/*
 * The held part of a request's body. It begins at the start of the body until
 * bytes of a streamed body are discarded; then it is a window that moves, and
 * the request cannot be sent again.
 */
#include <stdlib.h>
#include <string.h>

#include "proxy/proxy_int.h"

#define MIN_CAPACITY_BYTES (4 * 1024)

static void set_capacity(CpProxyBody *b, uint32_t capacity_bytes);

bool
CpProxyBody_Reserve(CpProxyBody *b, uint32_t n, uint32_t max_bytes,
                    CpProxyCaller *c)
{
    uint32_t capacity =
        b->capacity_bytes > 0 ? b->capacity_bytes : MIN_CAPACITY_BYTES;
    while (capacity < b->held_bytes + n) {
        capacity *= 2;
    }
    if (capacity > max_bytes && max_bytes >= b->held_bytes + n) {
        capacity = max_bytes;
    }
    if (capacity == b->capacity_bytes) {
        return true;
    }
    if (!CpProxyCaller_Reserve(c, capacity - b->capacity_bytes,
                               capacity > CP_SMALL_BODY_BYTES
                                   ? CP_BUDGET_LARGE
                                   : CP_BUDGET_SMALL)) {
        return false;
    }
    set_capacity(b, capacity);
    return true;
}

void
CpProxyBody_Append(CpProxyBody *b, const void *data, uint32_t n)
{
    uint32_t at = (b->first + b->held_bytes) % b->capacity_bytes;
    uint32_t part = b->capacity_bytes - at < n ? b->capacity_bytes - at : n;
    memcpy(b->data + at, data, part);
    memcpy(b->data, (const uint8_t *)data + part, n - part);
    b->held_bytes += n;
}

uint32_t
CpProxyBody_Read(const CpProxyBody *b, uint64_t offset, void *out, uint32_t n)
{
    uint32_t skipped = (uint32_t)(offset - b->discarded_bytes);
    uint32_t left = b->held_bytes - skipped;
    n = n < left ? n : left;
    if (n > 0) {
        uint32_t at = (b->first + skipped) % b->capacity_bytes;
        uint32_t part =
            b->capacity_bytes - at < n ? b->capacity_bytes - at : n;
        memcpy(out, b->data + at, part);
        memcpy((uint8_t *)out + part, b->data, n - part);
    }
    return n;
}

void
CpProxyBody_Discard(CpProxyBody *b, uint64_t offset, uint32_t window_bytes,
                    CpProxyCaller *c)
{
    uint32_t n = (uint32_t)(offset - b->discarded_bytes);
    if (n == 0) {
        return;
    }
    b->first = (b->first + n) % b->capacity_bytes;
    b->held_bytes -= n;
    b->discarded_bytes = offset;
    if (b->capacity_bytes > window_bytes && b->held_bytes <= window_bytes) {
        uint32_t released = b->capacity_bytes - window_bytes;
        set_capacity(b, window_bytes);
        CpBudgetAccount_Release(&c->account, released);
    }
}

void
CpProxyBody_Clear(CpProxyBody *b, CpProxyCaller *c)
{
    CpBudgetAccount_Release(&c->account, b->capacity_bytes);
    free(b->data);
    b->data = NULL;
    b->discarded_bytes += b->held_bytes;
    b->capacity_bytes = b->first = b->held_bytes = 0;
}

/* Moves what is held to the start of a buffer of the new size. */
static void
set_capacity(CpProxyBody *b, uint32_t capacity_bytes)
{
    if (b->first == 0 && capacity_bytes >= b->held_bytes) {
        b->data = CpMem_Realloc(b->data, capacity_bytes);
    }
    else {
        uint8_t *data = CpMem_Realloc(NULL, capacity_bytes);
        CpProxyBody_Read(b, b->discarded_bytes, data, b->held_bytes);
        free(b->data);
        b->data = data;
        b->first = 0;
    }
    b->capacity_bytes = capacity_bytes;
}
