/* The ledger: state and response of each ticket, in shards with a lock each.
 */
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "once/once.h"

typedef struct {
    uint64_t number;
    int64_t expires_ms;
    bool ended;
    CpLedgerRecord record;
    GPtrArray *waiters;
} Entry;

typedef struct {
    pthread_mutex_t lock; /* guards entries */
    GHashTable *entries;  /* number -> Entry */
} Shard;

struct CpLedger {
    CpLedgerResponseFn respond;
    void *ctx;
    uint32_t shard_count;
    Shard *shards;
};

static Shard *shard_of(CpLedger *l, uint64_t number);
static void free_entry(void *p);
static bool is_expired(const Entry *e, int64_t now_ms);

CpLedger *
CpLedger_New(uint32_t shard_count, CpLedgerResponseFn respond, void *ctx)
{
    CpLedger *l = CpMem_Alloc(sizeof(*l));
    l->respond = respond;
    l->ctx = ctx;
    l->shard_count = shard_count;
    l->shards = CpMem_Alloc(shard_count * sizeof(*l->shards));
    for (uint32_t i = 0; i < shard_count; i++) {
        pthread_mutex_init(&l->shards[i].lock, NULL);
        l->shards[i].entries = g_hash_table_new_full(
            g_int64_hash, g_int64_equal, NULL, free_entry);
    }
    return l;
}

void
CpLedger_Free(CpLedger *l)
{
    for (uint32_t i = 0; i < l->shard_count; i++) {
        g_hash_table_destroy(l->shards[i].entries);
        pthread_mutex_destroy(&l->shards[i].lock);
    }
    free(l->shards);
    free(l);
}

CpLedgerResult
CpLedger_Begin(CpLedger *l, const CpTicket *t, void *waiter, int64_t now_ms)
{
    Shard *shard = shard_of(l, t->number);
    CpLedgerResult result = CP_LEDGER_RUN;
    if (now_ms >= t->expires_ms) {
        return CP_LEDGER_EXPIRED;
    }
    pthread_mutex_lock(&shard->lock);
    Entry *e = g_hash_table_lookup(shard->entries, &t->number);
    if (e == NULL) {
        e = CpMem_Alloc(sizeof(*e));
        e->number = t->number;
        e->expires_ms = t->expires_ms;
        e->waiters = g_ptr_array_new();
        g_hash_table_insert(shard->entries, &e->number, e);
        g_ptr_array_add(e->waiters, waiter);
    }
    else if (e->ended) {
        result = CP_LEDGER_REPLAY;
        CpCounter_Add(CP_COUNT_LEDGER_REPLAYED, 1);
        l->respond(l->ctx, waiter, &e->record);
    }
    else {
        result = CP_LEDGER_WAIT;
        CpCounter_Add(CP_COUNT_LEDGER_JOINED, 1);
        g_ptr_array_add(e->waiters, waiter);
    }
    pthread_mutex_unlock(&shard->lock);
    return result;
}

void
CpLedger_End(CpLedger *l, uint64_t number, const CpLedgerRecord *record)
{
    Shard *shard = shard_of(l, number);
    GPtrArray *waiters = NULL;
    pthread_mutex_lock(&shard->lock);
    Entry *e = g_hash_table_lookup(shard->entries, &number);
    if (e != NULL && !e->ended) {
        waiters = e->waiters;
        e->waiters = NULL;
        e->ended = true;
        e->record = *record;
        e->record.body = g_memdup2(record->body, record->body_bytes);
        if (record->verdict == CP_NOT_RUN) {
            g_hash_table_remove(shard->entries, &number);
        }
    }
    pthread_mutex_unlock(&shard->lock);
    for (uint32_t i = 0; waiters != NULL && i < waiters->len; i++) {
        l->respond(l->ctx, waiters->pdata[i], record);
    }
    if (waiters != NULL) {
        g_ptr_array_free(waiters, TRUE);
    }
}

bool
CpLedger_RemoveWaiter(CpLedger *l, uint64_t number, void *waiter)
{
    Shard *shard = shard_of(l, number);
    bool found = false;
    pthread_mutex_lock(&shard->lock);
    Entry *e = g_hash_table_lookup(shard->entries, &number);
    if (e != NULL && e->waiters != NULL) {
        found = g_ptr_array_remove_fast(e->waiters, waiter);
    }
    pthread_mutex_unlock(&shard->lock);
    return found;
}

void
CpLedger_Expire(CpLedger *l, int64_t now_ms)
{
    for (uint32_t i = 0; i < l->shard_count; i++) {
        Shard *shard = &l->shards[i];
        GHashTableIter it;
        void *value;
        pthread_mutex_lock(&shard->lock);
        g_hash_table_iter_init(&it, shard->entries);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            if (is_expired(value, now_ms)) {
                g_hash_table_iter_remove(&it);
            }
        }
        pthread_mutex_unlock(&shard->lock);
    }
}

uint64_t
CpLedger_Count(CpLedger *l)
{
    uint64_t n = 0;
    for (uint32_t i = 0; i < l->shard_count; i++) {
        pthread_mutex_lock(&l->shards[i].lock);
        n += g_hash_table_size(l->shards[i].entries);
        pthread_mutex_unlock(&l->shards[i].lock);
    }
    return n;
}

static Shard *
shard_of(CpLedger *l, uint64_t number)
{
    return &l->shards[CpHash(&number, sizeof(number), 0) % l->shard_count];
}

static void
free_entry(void *p)
{
    Entry *e = p;
    if (e->waiters != NULL) {
        g_ptr_array_free(e->waiters, TRUE);
    }
    free(e->record.body);
    free(e);
}

static bool
is_expired(const Entry *e, int64_t now_ms)
{
    return e->ended && now_ms >= e->expires_ms;
}
