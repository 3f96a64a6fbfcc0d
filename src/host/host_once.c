/*
 * At-most-once requests: one with a ticket of this host runs through its
 * ledger; one with a ticket of another host is forwarded to that host, since
 * only the issuer's ledger records whether the request ran.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"

/* The run of one ticket, independent of the callers that wait for it. */
typedef struct {
    CpNode *node;
    uint64_t number;
    CpExchange *ex;
    pthread_mutex_t lock; /* guards the fields below */
    bool reading;
    bool ended;
    uint8_t *body;
    uint32_t body_bytes;
    bool too_long;
} Run;

static void redirect_with_ticket(CpNode *n, CpExchange *ex);
static void forward_to_issuer(CpNode *n, CpExchange *ex, const CpTicket *t);
static void begin_ticket(CpNode *n, CpExchange *ex, const CpTicket *t);
static void start_run(CpNode *n, const CpExchange *request, uint64_t number);
static void on_waiter_cancel(void *ctx, CpExchange *ex);
static void on_run_readable(void *ctx);
static void on_run_head(void *ctx, CpExchange *ex);
static void collect_response(Run *r);
static void end_run(Run *r, bool complete);
static void free_run(void *data);
static void issue_ticket(CpNode *n, CpTicket *t,
                         char text[CP_TICKET_TEXT_BYTES]);
static uint32_t ticket_life_s(CpNode *n);
static void caller_address(CpNode *n, char out[CP_ADDR_BYTES]);

void
CpOnce_Submit(CpNode *n, CpExchange *ex)
{
    CpTicket t;
    if (ex->ticket[0] == '\0') {
        redirect_with_ticket(n, ex);
        return;
    }
    if (CpTicket_Open(ex->ticket, n->key, &t) != CP_OK) {
        CpExchange_Fail(ex, CP_NOT_RUN, CP_REASON_TICKET_BAD);
        CpDispatch_End(n, ex);
        return;
    }
    if (strcmp(t.host, n->settings.host) != 0) {
        forward_to_issuer(n, ex, &t);
        return;
    }
    if (t.incarnation != n->incarnation) {
        CpExchange_Fail(ex, CP_MAY_HAVE_RUN, CP_REASON_ISSUER_GONE);
        CpDispatch_End(n, ex);
        return;
    }
    begin_ticket(n, ex, &t);
}

void
CpOnce_OnIssuerFailed(CpNode *n, CpExchange *ex, CpVerdict verdict,
                      CpReason reason)
{
    if (reason == CP_REASON_SESSION_LOST) {
        /* This attempt did not run, but an earlier one may have. */
        verdict = CP_MAY_HAVE_RUN;
        reason = CP_REASON_ISSUER_GONE;
    }
    CpExchange_Fail(ex, verdict, reason);
    CpDispatch_End(n, ex);
}

void
CpOnce_OnLedgerRecord(void *ctx, void *waiter, const CpLedgerRecord *record)
{
    CpNode *n = ctx;
    CpExchange *ex = waiter;
    CpExchange_SetOnCancel(ex, NULL, NULL);
    if (record->reason != CP_REASON_NONE) {
        CpExchange_Fail(ex, record->verdict, record->reason);
    }
    else {
        CpResponseHead head = {.status = record->status,
                               .verdict = record->verdict,
                               .length_bytes = record->body_bytes};
        CpStr_Copy(head.content_type, sizeof(head.content_type),
                   record->content_type);
        CpPipe_Write(ex->response_body, record->body, record->body_bytes);
        CpPipe_End(ex->response_body, CP_PIPE_COMPLETE);
        CpExchange_DeliverHead(ex, &head);
    }
    CpDispatch_End(n, ex);
}

char *
CpOnce_RenderTicket(void *ctx)
{
    CpNode *n = ctx;
    CpTicket t;
    char text[CP_TICKET_TEXT_BYTES];
    char address[CP_ADDR_BYTES];
    issue_ticket(n, &t, text);
    caller_address(n, address);
    json_t *root = json_pack("{s:s,s:s,s:s,s:i}", "ticket", text, "host",
                             n->settings.host, "address", address, "expires_s",
                             (int)ticket_life_s(n));
    char *out = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return out;
}

int64_t
CpOnce_Now_ms(void)
{
    return CpClock_Now_ns() / CP_NS_PER_MS;
}

/* Redirects the caller to the same target with a new ticket. */
static void
redirect_with_ticket(CpNode *n, CpExchange *ex)
{
    CpTicket t;
    char text[CP_TICKET_TEXT_BYTES], address[CP_ADDR_BYTES];
    CpResponseHead head = {.status =
                               CpReason_HttpStatus(CP_REASON_TICKET_NEEDED),
                           .verdict = CP_NOT_RUN,
                           .reason = CP_REASON_TICKET_NEEDED};
    issue_ticket(n, &t, text);
    caller_address(n, address);
    snprintf(head.location, sizeof(head.location),
             "http://%s/run%.700s%ccp_ticket=%s", address, ex->target,
             strchr(ex->target, '?') ? '&' : '?', text);
    CpPipe_End(ex->response_body, CP_PIPE_COMPLETE);
    CpExchange_DeliverHead(ex, &head);
    CpDispatch_End(n, ex);
}

static void
forward_to_issuer(CpNode *n, CpExchange *ex, const CpTicket *t)
{
    CpView *v = CpView_Retain(n);
    const CpConfig *c = v != NULL ? v->generation->config : NULL;
    uint32_t host = c != NULL ? CpConfig_FindHost(c, t->host) : CP_NO_INDEX;
    bool known = host != CP_NO_INDEX && ex->hops == 0;
    if (known && v->hosts[host].state != CP_MEMBER_FAILED) {
        CpCounter_Add(CP_COUNT_FORWARDED, 1);
        CpStream_Send(n, ex, host, &c->hosts[host], CP_FORWARD_TICKET);
    }
    else {
        CpExchange_Fail(ex, CP_MAY_HAVE_RUN, CP_REASON_ISSUER_GONE);
        CpDispatch_End(n, ex);
    }
    CpView_Release(v);
}

static void
begin_ticket(CpNode *n, CpExchange *ex, const CpTicket *t)
{
    ex->ticket_number = t->number;
    CpExchange *retained = CpExchange_Retain(ex);
    CpExchange_SetOnCancel(ex, on_waiter_cancel, n);
    CpLedgerResult result = CpLedger_Begin(n->ledger, t, ex, CpOnce_Now_ms());
    if (result == CP_LEDGER_RUN) {
        start_run(n, retained, t->number);
    }
    else if (result == CP_LEDGER_EXPIRED) {
        CpExchange_SetOnCancel(ex, NULL, NULL);
        CpExchange_Fail(ex, CP_MAY_HAVE_RUN, CP_REASON_TICKET_EXPIRED);
        CpDispatch_End(n, ex);
    }
    CpExchange_Release(retained);
}

/* The run has its own exchange: callers may disconnect and retry during it. */
static void
start_run(CpNode *n, const CpExchange *request, uint64_t number)
{
    CpExchange *ex = CpExchange_New();
    Run *r = CpMem_Alloc(sizeof(*r));
    r->node = n;
    r->number = number;
    r->ex = ex;
    pthread_mutex_init(&r->lock, NULL);
    CpExchange_Attach(ex, r, free_run);
    ex->kind_index = request->kind_index;
    ex->pool_index = request->pool_index;
    ex->rank = request->rank;
    ex->hops = request->hops;
    ex->deadline_ns = request->deadline_ns;
    CpStr_Copy(ex->kind, sizeof(ex->kind), request->kind);
    CpStr_Copy(ex->method, sizeof(ex->method), request->method);
    CpStr_Copy(ex->target, sizeof(ex->target), request->target);
    CpStr_Copy(ex->content_type, sizeof(ex->content_type),
               request->content_type);
    CpStr_Copy(ex->origin, sizeof(ex->origin), request->origin);
    if (request->inline_body_bytes > 0) {
        ex->inline_body = CpMem_Alloc(request->inline_body_bytes);
        memcpy(ex->inline_body, request->inline_body,
               request->inline_body_bytes);
        ex->inline_body_bytes = request->inline_body_bytes;
    }
    CpPipe_SetOnReadable(ex->response_body, on_run_readable, r);
    CpExchange_SetOnHead(ex, on_run_head, r);
    CpDispatch_Send(n, CpExchange_Retain(ex));
}

/* A caller that disconnects does not cancel the run. At the deadline the
 * caller stays a waiter, since the run then ends with a verdict of its own. */
static void
on_waiter_cancel(void *ctx, CpExchange *ex)
{
    CpNode *n = ctx;
    if (CpClock_Now_ns() < ex->deadline_ns &&
        CpLedger_RemoveWaiter(n->ledger, ex->ticket_number, ex)) {
        CpExchange_Fail(ex, CP_MAY_HAVE_RUN, CP_REASON_CALLER_GONE);
        CpDispatch_End(n, ex);
    }
}

static void
on_run_readable(void *ctx)
{
    collect_response(ctx);
}

static void
on_run_head(void *ctx, CpExchange *ex)
{
    (void)ex;
    collect_response(ctx);
}

/* Collects the response body for the ledger, up to
 * CP_LEDGER_MAX_BODY_BYTES. */
static void
collect_response(Run *r)
{
    uint8_t block[CP_DATA_MAX_BYTES];
    CpPipeState state = CP_PIPE_OPEN;
    CpExchange *ex = CpExchange_Retain(r->ex);
    bool finished = false;
    pthread_mutex_lock(&r->lock);
    while (!r->ended && CpExchange_HasHead(ex)) {
        uint32_t n =
            CpPipe_Read(ex->response_body, block, sizeof(block), &state);
        if (n == 0) {
            finished = r->ended = state != CP_PIPE_OPEN;
            break;
        }
        if (r->body_bytes + n > CP_LEDGER_MAX_BODY_BYTES) {
            r->too_long = true;
            continue;
        }
        r->body = CpMem_Realloc(r->body, r->body_bytes + n);
        memcpy(r->body + r->body_bytes, block, n);
        r->body_bytes += n;
    }
    pthread_mutex_unlock(&r->lock);
    if (finished) {
        end_run(r, state == CP_PIPE_COMPLETE);
    }
    CpExchange_Release(ex);
}

static void
end_run(Run *r, bool complete)
{
    CpExchange *ex = r->ex;
    pthread_mutex_lock(&ex->lock);
    CpResponseHead head = ex->head;
    pthread_mutex_unlock(&ex->lock);
    CpLedgerRecord record = {.status = head.status,
                             .verdict = head.verdict,
                             .reason = head.reason,
                             .body = r->body,
                             .body_bytes = r->body_bytes};
    CpStr_Copy(record.content_type, sizeof(record.content_type),
               head.content_type);
    bool short_body = head.length_bytes != CP_LENGTH_UNKNOWN &&
                      head.length_bytes != r->body_bytes;
    if (head.reason == CP_REASON_NONE &&
        (!complete || short_body || r->too_long)) {
        record.reason = r->too_long ? CP_REASON_BODY_TOO_LARGE
                                    : CP_REASON_ANSWER_TRUNCATED;
        record.verdict = CP_RAN;
    }
    CpLedger_End(r->node->ledger, r->number, &record);
    CpExchange_SetOnHead(ex, NULL, NULL);
    CpPipe_SetOnReadable(ex->response_body, NULL, NULL);
    CpExchange_Release(ex); /* created in start_run() */
}

static void
free_run(void *data)
{
    Run *r = data;
    pthread_mutex_destroy(&r->lock);
    free(r->body);
    free(r);
}

static void
issue_ticket(CpNode *n, CpTicket *t, char text[CP_TICKET_TEXT_BYTES])
{
    *t = (CpTicket){.incarnation = n->incarnation};
    CpStr_Copy(t->host, sizeof(t->host), n->settings.host);
    t->number = __atomic_add_fetch(&n->next_ticket, 1, __ATOMIC_RELAXED);
    t->expires_ms = CpOnce_Now_ms() + ticket_life_s(n) * INT64_C(1000);
    CpTicket_Seal(t, n->key, text);
    CpCounter_Add(CP_COUNT_TICKETS_ISSUED, 1);
}

static uint32_t
ticket_life_s(CpNode *n)
{
    CpView *v = CpView_Retain(n);
    uint32_t life_s = v != NULL ? v->generation->config->ticket_life_s : 60;
    CpView_Release(v);
    return life_s;
}

/* Returns the configured address at which callers reach this host. */
static void
caller_address(CpNode *n, char out[CP_ADDR_BYTES])
{
    CpView *v = CpView_Retain(n);
    const char *address = n->settings.caller;
    if (v != NULL && v->generation->self != CP_NO_INDEX) {
        address = v->generation->config->hosts[v->generation->self].caller;
    }
    CpStr_Copy(out, CP_ADDR_BYTES, address);
    CpView_Release(v);
}
