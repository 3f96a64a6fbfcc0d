/*
 * Requests forwarded between hosts; each side has a stream. The sender of a
 * body sends no more than the receiver has credited, and the receiver credits
 * what its reader has consumed, so that no host buffers a complete body.
 */
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

#define CREDIT_STEP_BYTES (CP_PIPE_CAPACITY_BYTES / 4)
#define MIN_FINAL_STATUS 200
#define MAX_FINAL_STATUS 599
#define DEADLINE_MARGIN_MS 3 /* for the receiver's verdict to return */

static void on_request(CpNode *n, CpSession *s, const CpFrame *f);
static void fail_outgoing(CpNode *n, CpSession *s, uint64_t id,
                          CpVerdict verdict, CpReason reason);
static void on_head(CpNode *n, CpSession *s, const CpFrame *f);
static void on_end(CpNode *n, CpSession *s, const CpFrame *f);
static void on_data(CpNode *n, CpSession *s, const CpFrame *f);
static void on_credit(CpNode *n, CpSession *s, const CpFrame *f);
static void on_cancel(CpNode *n, CpSession *s, const CpFrame *f);
static void submit_incoming(CpNode *n, CpExchange *ex,
                            CpForwardPurpose purpose, CpReason reason);
static void send_cancel(void *ctx, CpExchange *ex);
static void on_response_head(void *ctx, CpExchange *ex);
static void on_pipe_readable(void *ctx);
static void send_pending(CpStream *st);
static void send_head(CpStream *st);
static bool send_block(CpStream *st, CpPipe *from);
static void on_consumed(void *ctx, uint32_t size_bytes);
static CpStream *new_stream(CpNode *n, CpSession *s, CpExchange *ex,
                            uint64_t id, bool outgoing);
static void add_stream(CpStream *st);
static CpStream *find_stream(CpNode *n, const CpSession *s, uint64_t id);
static CpStream *remove_stream(CpNode *n, const CpSession *s, uint64_t id);
static void end_outgoing(CpStream *st, CpVerdict verdict, CpReason reason);
static void close_stream(CpStream *st);
static void free_stream(void *data);
static CpStreamShard *shard_of(CpNode *n, uint64_t id);
static guint stream_hash(gconstpointer p);
static gboolean stream_equal(gconstpointer a, gconstpointer b);

typedef void (*FrameHandler)(CpNode *n, CpSession *s, const CpFrame *f);
static const FrameHandler frame_handlers[CP_FRAME_TYPE_COUNT] = {
    [CP_FRAME_REQUEST] = on_request,
    [CP_FRAME_BODY] = on_data,
    [CP_FRAME_CREDIT] = on_credit,
    [CP_FRAME_HEAD] = on_head,
    [CP_FRAME_DATA] = on_data,
    [CP_FRAME_END] = on_end,
    [CP_FRAME_CANCEL] = on_cancel,
    [CP_FRAME_PROBE] = CpPeers_OnProbe,
    [CP_FRAME_PROBE_ACK] = CpPeers_OnProbe,
    [CP_FRAME_LOAN_REQUEST] = CpLoan_OnRequest,
    [CP_FRAME_LOAN_GRANT] = CpLoan_OnGrant,
    [CP_FRAME_CONFIG_GET] = CpFollow_OnGet,
    [CP_FRAME_CONFIG_CHUNK] = CpFollow_OnChunk,
};

void
CpStream_Init(CpNode *n)
{
    for (uint32_t i = 0; i < CP_STREAM_SHARDS; i++) {
        pthread_mutex_init(&n->streams[i].lock, NULL);
        n->streams[i].streams = g_hash_table_new(stream_hash, stream_equal);
    }
}

void
CpStream_Send(CpNode *n, CpExchange *ex, uint32_t host_index,
              const CpHost *host, CpForwardPurpose purpose)
{
    CpSession *s = CpWire_Dial(n->wire, host->name, host->inner);
    int64_t left_ms = (ex->deadline_ns - CpClock_Now_ns()) / CP_NS_PER_MS -
                      DEADLINE_MARGIN_MS;
    uint64_t id = __atomic_add_fetch(&n->next_stream, 1, __ATOMIC_RELAXED);
    CpFrame f = {.type = CP_FRAME_REQUEST};
    CpRequestFrame *r = &f.request;
    /* Once the stream is in the table, the end of its session may end it, and
     * the exchange may be retried elsewhere and released. */
    CpExchange *retained = CpExchange_Retain(ex);
    CpStream *st = new_stream(n, s, ex, id, true);
    st->host_index = host_index;
    st->pool_index = ex->pool_index;
    st->purpose = purpose;
    __atomic_add_fetch(
        &n->forwarded_inflight[host_index * CP_MAX_POOLS + ex->pool_index], 1,
        __ATOMIC_RELAXED);
    r->id = id;
    r->purpose = purpose;
    r->hops = ex->hops + 1;
    r->remaining_ms = left_ms > 1 ? (uint32_t)left_ms : 1;
    r->streams_body = ex->request_body != NULL;
    r->body = (CpBytes){ex->inline_body, ex->inline_body_bytes};
    CpStr_Copy(r->kind, sizeof(r->kind), ex->kind);
    CpStr_Copy(r->method, sizeof(r->method), ex->method);
    CpStr_Copy(r->target, sizeof(r->target), ex->target);
    CpStr_Copy(r->content_type, sizeof(r->content_type), ex->content_type);
    CpStr_Copy(r->origin, sizeof(r->origin), ex->origin);
    if (purpose == CP_FORWARD_TICKET) {
        CpStr_Copy(r->ticket, sizeof(r->ticket), ex->ticket);
    }
    CpPipe_SetOnConsumed(ex->response_body, on_consumed, st);
    if (ex->request_body != NULL) {
        CpPipe_SetOnReadable(ex->request_body, on_pipe_readable, st);
    }
    CpExchange_SetOnCancel(ex, send_cancel, st);
    add_stream(st);
    if (CpSession_Send(s, &f, CP_CLASS_OF_RANK(ex->rank)) != CP_OK) {
        CpStream *removed = remove_stream(n, s, id);
        if (removed != NULL) {
            end_outgoing(removed, CP_NOT_RUN, CP_REASON_SESSION_LOST);
        }
    }
    else if (ex->request_body != NULL) {
        send_pending(st);
    }
    CpExchange_Release(retained);
}

void
CpStream_OnFrame(void *ctx, CpSession *s, const CpFrame *f)
{
    FrameHandler handler = frame_handlers[f->type];
    if (handler != NULL) {
        handler(ctx, s, f);
    }
}

void
CpStream_OnRequestUnsent(void *ctx, CpSession *s, uint64_t id)
{
    CpStream *st = remove_stream(ctx, s, id);
    if (st != NULL) {
        end_outgoing(st, CP_NOT_RUN, CP_REASON_SESSION_LOST);
    }
}

void
CpStream_OnSessionClosed(CpNode *n, CpSession *s)
{
    GPtrArray *closed = g_ptr_array_new();
    for (uint32_t i = 0; i < CP_STREAM_SHARDS; i++) {
        GHashTableIter it;
        void *key;
        pthread_mutex_lock(&n->streams[i].lock);
        g_hash_table_iter_init(&it, n->streams[i].streams);
        while (g_hash_table_iter_next(&it, &key, NULL)) {
            if (((CpStream *)key)->session == s) {
                g_hash_table_iter_remove(&it);
                g_ptr_array_add(closed, key);
            }
        }
        pthread_mutex_unlock(&n->streams[i].lock);
    }
    for (uint32_t i = 0; i < closed->len; i++) {
        CpStream *st = closed->pdata[i];
        if (st->outgoing) {
            end_outgoing(st, CP_MAY_HAVE_RUN, CP_REASON_SESSION_LOST);
            continue;
        }
        if (st->ex->idempotent) {
            CpExchange_Cancel(st->ex);
        }
        close_stream(st);
    }
    g_ptr_array_free(closed, TRUE);
}

/* Creates an exchange for a request from another host, whose session acts as
 * the front end. */
static void
on_request(CpNode *n, CpSession *s, const CpFrame *f)
{
    const CpRequestFrame *r = &f->request;
    CpKindInfo info;
    CpExchange *ex = CpExchange_New();
    CpReason reason = CpView_FindKind(n, r->kind, &info);
    if (reason == CP_REASON_UNKNOWN_KIND) {
        /* The sender has it: one of the two configurations is outdated. */
        reason = CP_REASON_NOT_CURRENT;
    }
    CpCounter_Add(CP_COUNT_FORWARDED_IN, 1);
    CpStr_Copy(ex->kind, sizeof(ex->kind), r->kind);
    CpStr_Copy(ex->method, sizeof(ex->method), r->method);
    CpStr_Copy(ex->target, sizeof(ex->target), r->target);
    CpStr_Copy(ex->content_type, sizeof(ex->content_type), r->content_type);
    CpStr_Copy(ex->ticket, sizeof(ex->ticket), r->ticket);
    CpStr_Copy(ex->origin, sizeof(ex->origin), r->origin);
    ex->hops = r->hops;
    ex->from_peer = r->purpose == CP_FORWARD_ADMIT;
    ex->deadline_ns = ex->started_ns + r->remaining_ms * CP_NS_PER_MS;
    if (reason == CP_REASON_NONE) {
        ex->kind_index = info.kind_index;
        ex->pool_index = info.pool_index;
        ex->rank = info.rank;
        ex->idempotent = info.idempotent;
    }
    if (r->body.size_bytes > 0) {
        ex->inline_body = CpMem_Alloc(r->body.size_bytes);
        memcpy(ex->inline_body, r->body.data, r->body.size_bytes);
        ex->inline_body_bytes = r->body.size_bytes;
    }
    CpStream *st = new_stream(n, s, ex, r->id, false);
    CpPipe_SetBudget(ex->response_body, n->budget);
    if (r->streams_body) {
        ex->request_body = CpPipe_New(CP_PIPE_CAPACITY_BYTES);
        if (!CpPipe_Reserve(ex->request_body, n->budget)) {
            reason = CP_REASON_MEMORY_SHORT;
        }
        CpPipe_SetOnConsumed(ex->request_body, on_consumed, st);
    }
    CpPipe_SetOnReadable(ex->response_body, on_pipe_readable, st);
    CpExchange_SetOnHead(ex, on_response_head, st);
    add_stream(st);
    submit_incoming(n, CpExchange_Retain(ex), (CpForwardPurpose)r->purpose,
                    reason);
}

/* Consumes a reference to the exchange. */
static void
submit_incoming(CpNode *n, CpExchange *ex, CpForwardPurpose purpose,
                CpReason reason)
{
    if (reason != CP_REASON_NONE) {
        CpExchange_Fail(ex, CP_NOT_RUN, reason);
        CpExchange_Release(ex);
    }
    else if (purpose == CP_FORWARD_TICKET) {
        CpOnce_Submit(n, ex);
    }
    else {
        CpPool_Submit(n, ex);
    }
}

static void
fail_outgoing(CpNode *n, CpSession *s, uint64_t id, CpVerdict verdict,
              CpReason reason)
{
    CpStream *st = remove_stream(n, s, id);
    if (st == NULL) {
        CpCounter_Add(CP_COUNT_LATE_FRAMES, 1);
        return;
    }
    end_outgoing(st, verdict, reason);
}

static void
on_head(CpNode *n, CpSession *s, const CpFrame *f)
{
    const CpHeadFrame *h = &f->head;
    if (h->reason != CP_REASON_NONE) {
        fail_outgoing(n, s, h->id,
                      h->verdict < CP_VERDICT_COUNT ? (CpVerdict)h->verdict
                                                    : CP_MAY_HAVE_RUN,
                      h->reason < CP_REASON_COUNT ? (CpReason)h->reason
                                                  : CP_REASON_SERVER_FAILED);
        return;
    }
    /* A host of an earlier version passes on a status that is none. */
    if (h->status < MIN_FINAL_STATUS || h->status > MAX_FINAL_STATUS) {
        fail_outgoing(n, s, h->id, CP_MAY_HAVE_RUN, CP_REASON_SERVER_FAILED);
        return;
    }
    CpStream *st = find_stream(n, s, h->id);
    if (st == NULL) {
        CpCounter_Add(CP_COUNT_LATE_FRAMES, 1);
        return;
    }
    CpResponseHead head = {.status = h->status,
                           .verdict = (CpVerdict)h->verdict,
                           .length_bytes = h->length_bytes};
    CpStr_Copy(head.content_type, sizeof(head.content_type), h->content_type);
    CpStr_Copy(head.server, sizeof(head.server), h->server);
    __atomic_store_n(
        &n->load_hints[st->host_index * CP_MAX_POOLS + st->pool_index],
        CpSteer_EncodeLoadHint(h->pool_load, CpClock_Now_ns()),
        __ATOMIC_RELAXED);
    CpExchange_DeliverHead(st->ex, &head);
    CpExchange_Release(st->ex);
}

static void
on_end(CpNode *n, CpSession *s, const CpFrame *f)
{
    const CpEndFrame *e = &f->end;
    CpStream *st = remove_stream(n, s, e->id);
    if (st == NULL) {
        CpCounter_Add(CP_COUNT_LATE_FRAMES, 1);
        return;
    }
    bool complete = e->reason == CP_REASON_NONE &&
                    e->total_bytes == st->received_bytes &&
                    CpExchange_HasHead(st->ex);
    if (complete) {
        CpPipe_End(st->ex->response_body, CP_PIPE_COMPLETE);
        end_outgoing(st, CP_RAN, CP_REASON_NONE);
    }
    else {
        end_outgoing(st, CP_RAN, CP_REASON_ANSWER_TRUNCATED);
    }
}

/* DATA is part of a response body, BODY of a request body. */
static void
on_data(CpNode *n, CpSession *s, const CpFrame *f)
{
    const CpDataFrame *d = &f->data;
    CpStream *st = find_stream(n, s, d->id);
    if (st == NULL) {
        CpCounter_Add(CP_COUNT_LATE_FRAMES, 1);
        return;
    }
    CpExchange *ex = st->ex;
    CpPipe *to = st->outgoing ? ex->response_body : ex->request_body;
    if (to != NULL) {
        uint32_t written = CpPipe_Write(to, d->data.data, d->data.size_bytes);
        st->received_bytes += written;
        if (written < d->data.size_bytes) { /* exceeds its credit */
            CpCounter_Add(CP_COUNT_BAD_FRAMES, 1);
            CpSession_Close(s);
        }
        else if (!st->outgoing && d->last) {
            CpPipe_End(to, d->last == 1 ? CP_PIPE_COMPLETE : CP_PIPE_BROKEN);
        }
    }
    CpExchange_Release(ex);
}

static void
on_credit(CpNode *n, CpSession *s, const CpFrame *f)
{
    const CpCreditFrame *c = &f->credit;
    CpStream *st = find_stream(n, s, c->id);
    if (st == NULL) {
        return;
    }
    pthread_mutex_lock(&st->lock);
    st->credit_bytes += c->credit_bytes;
    pthread_mutex_unlock(&st->lock);
    send_pending(st);
    CpExchange_Release(st->ex);
}

static void
on_cancel(CpNode *n, CpSession *s, const CpFrame *f)
{
    CpStream *st = find_stream(n, s, f->cancel.id);
    if (st == NULL) {
        return;
    }
    CpExchange *ex = st->ex;
    CpExchange_Cancel(ex);
    CpExchange_Release(ex);
}

/* The caller cancelled a request that was forwarded to another host. */
static void
send_cancel(void *ctx, CpExchange *ex)
{
    CpStream *st = ctx;
    CpFrame f = {.type = CP_FRAME_CANCEL, .cancel = {.id = st->id}};
    (void)ex;
    CpSession_Send(st->session, &f, CP_CLASS_CONTROL);
}

static void
on_response_head(void *ctx, CpExchange *ex)
{
    (void)ex;
    send_pending(ctx);
}

static void
on_pipe_readable(void *ctx)
{
    send_pending(ctx);
}

/* Sends what the credit allows: the response of an incoming request, or the
 * request body of an outgoing one. */
static void
send_pending(CpStream *st)
{
    CpExchange *ex = CpExchange_Retain(st->ex);
    bool finished = false;
    pthread_mutex_lock(&st->lock);
    if (st->outgoing) {
        while (!st->end_sent && send_block(st, ex->request_body)) {
        }
    }
    else if (CpExchange_HasHead(ex)) {
        if (!st->head_sent) {
            send_head(st);
        }
        while (!st->end_sent && send_block(st, ex->response_body)) {
        }
        finished = st->end_sent;
    }
    pthread_mutex_unlock(&st->lock);
    if (finished) {
        CpStream *removed = remove_stream(st->node, st->session, st->id);
        if (removed != NULL) {
            close_stream(removed);
        }
    }
    CpExchange_Release(ex);
}

static void
send_head(CpStream *st)
{
    CpExchange *ex = st->ex;
    CpFrame f = {.type = CP_FRAME_HEAD};
    pthread_mutex_lock(&ex->lock);
    CpResponseHead head = ex->head;
    pthread_mutex_unlock(&ex->lock);
    f.head = (CpHeadFrame){.id = st->id,
                           .status = head.status,
                           .verdict = head.verdict,
                           .reason = head.reason,
                           .length_bytes = head.length_bytes,
                           .pool_load = CpPool_CountRequests(ex)};
    CpStr_Copy(f.head.content_type, sizeof(f.head.content_type),
               head.content_type);
    CpStr_Copy(f.head.server, sizeof(f.head.server), head.server);
    CpSession_Send(st->session, &f, CP_CLASS_OF_RANK(ex->rank));
    st->head_sent = true;
    st->end_sent = head.reason != CP_REASON_NONE;
}

/* Sends one block; returns false if there is nothing more to send now. */
static bool
send_block(CpStream *st, CpPipe *from)
{
    uint8_t block[CP_DATA_MAX_BYTES];
    CpPipeState state;
    if (st->credit_bytes == 0 && !CpPipe_IsBroken(from)) {
        return false;
    }
    CpFrame f = {.type = st->outgoing ? CP_FRAME_BODY : CP_FRAME_DATA};
    uint32_t max_bytes =
        st->credit_bytes < sizeof(block) ? st->credit_bytes : sizeof(block);
    uint32_t n = CpPipe_Read(from, block, max_bytes, &state);
    if (n == 0 && state == CP_PIPE_OPEN) {
        return false;
    }
    uint32_t class_index = CP_CLASS_OF_RANK(st->ex->rank);
    f.data = (CpDataFrame){.id = st->id, .data = {block, n}};
    st->credit_bytes -= n;
    st->sent_bytes += n;
    if (n > 0) {
        CpSession_Send(st->session, &f, class_index);
        return true;
    }
    st->end_sent = true;
    if (st->outgoing) {
        f.data.last = state == CP_PIPE_COMPLETE ? 1 : 2;
        CpSession_Send(st->session, &f, class_index);
        return false;
    }
    CpFrame end = {.type = CP_FRAME_END};
    end.end = (CpEndFrame){.id = st->id,
                           .verdict = CP_RAN,
                           .reason = state == CP_PIPE_COMPLETE
                                         ? CP_REASON_NONE
                                         : CP_REASON_ANSWER_TRUNCATED,
                           .total_bytes = st->sent_bytes};
    CpSession_Send(st->session, &end, class_index);
    return false;
}

static void
on_consumed(void *ctx, uint32_t size_bytes)
{
    CpStream *st = ctx;
    uint32_t uncredited = __atomic_add_fetch(&st->uncredited_bytes, size_bytes,
                                             __ATOMIC_RELAXED);
    if (uncredited < CREDIT_STEP_BYTES) {
        return;
    }
    uncredited =
        __atomic_exchange_n(&st->uncredited_bytes, 0, __ATOMIC_RELAXED);
    CpFrame f = {.type = CP_FRAME_CREDIT,
                 .credit = {.id = st->id, .credit_bytes = uncredited}};
    CpSession_Send(st->session, &f, CP_CLASS_CONTROL);
}

/* Consumes a reference to the exchange, which close_stream() releases. The
 * stream is freed together with the exchange. It is set up completely before
 * add_stream() lets the session's thread find it. */
static CpStream *
new_stream(CpNode *n, CpSession *s, CpExchange *ex, uint64_t id, bool outgoing)
{
    CpStream *st = CpMem_Alloc(sizeof(*st));
    pthread_mutex_init(&st->lock, NULL);
    st->node = n;
    st->id = id;
    st->ex = ex;
    st->outgoing = outgoing;
    st->credit_bytes = CP_PIPE_CAPACITY_BYTES;
    st->session = outgoing ? s : CpSession_Retain(s);
    CpExchange_Attach(ex, st, free_stream);
    return st;
}

static void
add_stream(CpStream *st)
{
    CpStreamShard *shard = shard_of(st->node, st->id);
    pthread_mutex_lock(&shard->lock);
    g_hash_table_add(shard->streams, st);
    pthread_mutex_unlock(&shard->lock);
}

/* Finds a stream and retains its exchange. */
static CpStream *
find_stream(CpNode *n, const CpSession *s, uint64_t id)
{
    CpStreamShard *shard = shard_of(n, id);
    CpStream key = {.id = id, .session = (CpSession *)s};
    pthread_mutex_lock(&shard->lock);
    CpStream *st = g_hash_table_lookup(shard->streams, &key);
    if (st != NULL) {
        CpExchange_Retain(st->ex);
    }
    pthread_mutex_unlock(&shard->lock);
    return st;
}

/* Removes a stream from the table; the caller that gets it ends it. */
static CpStream *
remove_stream(CpNode *n, const CpSession *s, uint64_t id)
{
    CpStreamShard *shard = shard_of(n, id);
    CpStream key = {.id = id, .session = (CpSession *)s};
    pthread_mutex_lock(&shard->lock);
    CpStream *st = g_hash_table_lookup(shard->streams, &key);
    if (st != NULL) {
        g_hash_table_remove(shard->streams, st);
    }
    pthread_mutex_unlock(&shard->lock);
    return st;
}

/* Ends an outgoing stream: the response is complete, or a retry may follow. */
static void
end_outgoing(CpStream *st, CpVerdict verdict, CpReason reason)
{
    CpNode *n = st->node;
    CpExchange *ex = CpExchange_Retain(st->ex);
    CpForwardPurpose purpose = st->purpose;
    __atomic_sub_fetch(
        &n->forwarded_inflight[st->host_index * CP_MAX_POOLS + st->pool_index],
        1, __ATOMIC_RELAXED);
    CpPipe_SetOnConsumed(ex->response_body, NULL, NULL);
    if (ex->request_body != NULL) {
        CpPipe_SetOnReadable(ex->request_body, NULL, NULL);
    }
    CpExchange_SetOnCancel(ex, NULL, NULL);
    close_stream(st);
    if (reason == CP_REASON_NONE) {
        CpDispatch_End(n, ex);
    }
    else if (purpose == CP_FORWARD_TICKET) {
        CpOnce_OnIssuerFailed(n, ex, verdict, reason);
    }
    else {
        CpDispatch_OnAttemptFailed(n, ex, verdict, reason);
    }
}

static void
close_stream(CpStream *st)
{
    CpExchange *ex = st->ex;
    if (!st->outgoing) {
        CpExchange_SetOnHead(ex, NULL, NULL);
        CpPipe_SetOnReadable(ex->response_body, NULL, NULL);
        CpPipe_End(ex->response_body, CP_PIPE_BROKEN);
        if (ex->request_body != NULL) {
            CpPipe_End(ex->request_body, CP_PIPE_BROKEN);
        }
    }
    CpExchange_Release(ex);
}

static void
free_stream(void *data)
{
    CpStream *st = data;
    CpSession_Release(st->session);
    pthread_mutex_destroy(&st->lock);
    free(st);
}

static CpStreamShard *
shard_of(CpNode *n, uint64_t id)
{
    return &n->streams[CpHash(&id, sizeof(id), 0) % CP_STREAM_SHARDS];
}

static guint
stream_hash(gconstpointer p)
{
    const CpStream *st = p;
    return (guint)CpHash(&st->id, sizeof(st->id),
                         (uint64_t)(uintptr_t)st->session);
}

static gboolean
stream_equal(gconstpointer a, gconstpointer b)
{
    const CpStream *x = a, *y = b;
    return x->id == y->id && x->session == y->session;
}
