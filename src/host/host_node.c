/* Life cycle of an entry host: creation, start, drain and stop. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "host/host_int.h"
#include "platform/platform.h"

#define STORE_TIMEOUT_MS 800
#define DRAIN_POLL_MS 50
#define MAX_HOSTS 4096
#define LEDGER_SWEEP_MS 1000
#define KEY_MIN_BYTES 16
/* Retry budget: a few retries before requests have earned any, and at most
 * about as many as requests are in flight at a host that fails. */
#define RETRY_INITIAL_MILLI 5000
#define RETRY_MAX_MILLI 10000

static CpStatus read_key(CpNode *n);
static CpStatus read_token(CpNode *n);
static CpStatus open_listeners(CpNode *n);
static void sweep_ledger(void *ctx, int64_t now_ns);
static uint32_t lookup_ttl_s(CpNode *n);

CpStatus
CpNode_New(const CpSettings *settings, CpNode **out)
{
    CpNode *n = CpMem_Alloc(sizeof(*n));
    n->settings = *settings;
    n->incarnation = CpRandom();
    n->started_ns = CpClock_Now_ns();
    pthread_mutex_init(&n->member_lock, NULL);
    pthread_mutex_init(&n->pools_lock, NULL);
    pthread_mutex_init(&n->loan_lock, NULL);
    pthread_mutex_init(&n->link_lock, NULL);
    pthread_mutex_init(&n->retry_budget_lock, NULL);
    n->retry_budget =
        (CpRetryBudget){.max_tokens_milli = RETRY_MAX_MILLI,
                        .initial_tokens_milli = RETRY_INITIAL_MILLI};
    pthread_mutex_init(&n->shift_lock, NULL);
    pthread_mutex_init(&n->follow_lock, NULL);
    pthread_mutex_init(&n->install_lock, NULL);
    CpCond_Init(&n->follow_wake);
    n->fetch_text = g_string_new(NULL);
    n->forwarded_inflight =
        CpMem_Alloc(MAX_HOSTS * CP_MAX_POOLS * sizeof(*n->forwarded_inflight));
    n->load_hints =
        CpMem_Alloc(MAX_HOSTS * CP_MAX_POOLS * sizeof(*n->load_hints));
    ck_epoch_init(&n->epoch);
    CpStream_Init(n);
    CpPeers_Init(n);
    n->timer = CpTimer_New();
    n->budget = CpBudget_New(CpBudget_SizeFor_bytes(settings->memory_limit_mb),
                             settings->max_requests * 2);
    n->store = CpPlatform_NewStore(settings->platform, STORE_TIMEOUT_MS);
    n->ledger = CpLedger_New(CP_LEDGER_SHARDS, CpOnce_OnLedgerRecord, n);
    CpStatus st = read_key(n);
    if (st == CP_OK) {
        st = read_token(n);
    }
    if (st == CP_OK) {
        st = open_listeners(n);
    }
    *out = n;
    return st;
}

CpStatus
CpNode_Start(CpNode *n)
{
    CpWire_Subscribe(n->wire, n->timer);
    CpFront_Subscribe(n->front, n->timer);
    CpTimer_Subscribe(n->timer, CP_PROBE_INTERVAL_MS, CpPeers_Tick, n);
    CpTimer_Subscribe(n->timer, CP_POOL_TICK_MS, CpPool_Tick, n);
    CpTimer_Subscribe(n->timer, CP_LOAN_REQUEST_INTERVAL_MS, CpLoan_Tick, n);
    CpTimer_Subscribe(n->timer, CP_LOAN_REQUEST_INTERVAL_MS, CpLink_Tick, n);
    CpTimer_Subscribe(n->timer, LEDGER_SWEEP_MS, sweep_ledger, n);
    CpStatus st = CpWire_Start(n->wire);
    if (st == CP_OK) {
        st = CpBackend_Start(n->backend);
    }
    if (st == CP_OK) {
        st = CpTimer_Start(n->timer);
    }
    if (st == CP_OK) {
        st = CpFollow_Start(n);
    }
    if (st == CP_OK) {
        st = CpHealth_Start(n);
    }
    return st;
}

/* Lookups no longer return a leaving host, but callers use cached ones until
 * their TTL ends: the host serves that long, then completes what remains. */
void
CpNode_Drain(CpNode *n)
{
    CpAtomic_Store(&n->leaving, 1);
    CpLog(CP_LOG_NOTICE, "leaving: drain started");
    int64_t lookups_until_ns =
        CpClock_Now_ns() + (lookup_ttl_s(n) + 1) * CP_NS_PER_S;
    int64_t until_ns =
        CpClock_Now_ns() + n->settings.stop_timeout_s * CP_NS_PER_S;
    while (CpClock_Now_ns() < lookups_until_ns &&
           CpClock_Now_ns() < until_ns) {
        CpSleep_ms(DRAIN_POLL_MS);
    }
    CpFront_Quiesce(n->front);
    while (CpClock_Now_ns() < until_ns) {
        uint32_t active = CpFront_CountActive(n->front);
        CpPoolLoad loads[CP_MAX_POOLS];
        uint32_t count = CpPool_GetLoads(n, loads);
        for (uint32_t i = 0; i < count; i++) {
            active += loads[i].inflight + loads[i].queued;
        }
        if (active == 0) {
            break;
        }
        CpSleep_ms(DRAIN_POLL_MS);
    }
    CpLog(CP_LOG_NOTICE, "leaving: drain ended");
}

/* Threads that produce work stop before those that consume it. */
void
CpNode_Free(CpNode *n)
{
    CpHealth_Stop(n);
    CpFollow_Stop(n);
    CpTimer_Free(n->timer);
    CpFront_Free(n->front);
    CpOperator_Free(n->operator_api);
    CpBackend_Free(n->backend);
    CpWire_Stop(n->wire);
    CpWire_Free(n->wire);
    CpPlatform_FreeStore(n->store);
    CpLedger_Free(n->ledger);
    CpMember_Free(n->members);
    sodium_memzero(n->key, sizeof(n->key));
}

void
CpNode_Reload(CpNode *n, const CpSettings *settings)
{
    n->settings.max_requests = settings->max_requests;
    n->settings.stop_timeout_s = settings->stop_timeout_s;
    CpLog(CP_LOG_NOTICE, "settings reloaded");
}

static CpStatus
read_key(CpNode *n)
{
    char *text;
    size_t size;
    CpStatus st = CpFile_Read(n->settings.key_file, &text, &size);
    if (st != CP_OK) {
        return st;
    }
    if (size < KEY_MIN_BYTES) {
        st = CpError_Set(CP_ERR_RANGE, "%s: expected at least %d bytes",
                         n->settings.key_file, KEY_MIN_BYTES);
    }
    crypto_generichash(n->key, sizeof(n->key), (const uint8_t *)text, size,
                       NULL, 0);
    sodium_memzero(text, size);
    free(text);
    return st;
}

static CpStatus
read_token(CpNode *n)
{
    char *text;
    size_t size;
    CpStatus st = CpFile_Read(n->settings.token_file, &text, &size);
    if (st == CP_OK) {
        CpStr_Copy(n->token, sizeof(n->token), g_strstrip(text));
        free(text);
        if (n->token[0] == '\0') {
            st = CpError_Set(CP_ERR_RANGE, "%s: file is empty",
                             n->settings.token_file);
        }
    }
    return st;
}

static CpStatus
open_listeners(CpNode *n)
{
    const CpSettings *s = &n->settings;
    CpWireOptions wire = {
        .host = s->host,
        .domain = s->domain,
        .listen = s->inner,
        .incarnation = n->incarnation,
        .threads = s->worker_threads,
        .callbacks = {.on_frame = CpStream_OnFrame,
                      .on_request_unsent = CpStream_OnRequestUnsent,
                      .on_closed = CpPeers_OnSessionClosed,
                      .reserve_bandwidth = CpLink_ReserveBandwidth,
                      .ctx = n}};
    CpBackendOptions backend = {.threads = s->worker_threads,
                                .source_address = s->inner,
                                .on_done = CpPool_OnBackendDone,
                                .ctx = n};
    CpFrontOptions front = {.listen = s->caller,
                            .threads = s->worker_threads,
                            .max_connections = s->max_requests * 2,
                            .body_timeout_ms = s->body_timeout_s * 1000,
                            .budget = n->budget,
                            .find_kind = CpView_FindKind,
                            .is_current = CpFollow_IsCurrent,
                            .submit = CpDispatch_Submit,
                            .render_lookup = CpView_RenderLookup,
                            .render_ticket = CpOnce_RenderTicket,
                            .find_origin = CpView_FindOrigin,
                            .ctx = n};
    CpOperatorOptions api = {.listen = s->operator_listen,
                             .token = n->token,
                             .routes = cp_operator_routes,
                             .ctx = n};
    memcpy(wire.key, n->key, sizeof(wire.key));
    CpStatus st = CpWire_New(&wire, &n->wire);
    if (st == CP_OK) {
        st = CpBackend_New(&backend, &n->backend);
    }
    if (st == CP_OK) {
        st = CpFront_New(&front, &n->front);
    }
    if (st == CP_OK) {
        st = CpOperator_New(&api, &n->operator_api);
    }
    return st;
}

static void
sweep_ledger(void *ctx, int64_t now_ns)
{
    CpNode *n = ctx;
    CpLedger_Expire(n->ledger, now_ns / CP_NS_PER_MS);
}

static uint32_t
lookup_ttl_s(CpNode *n)
{
    CpView *v = CpView_Retain(n);
    uint32_t ttl_s = v != NULL ? v->generation->config->lookup_ttl_s : 0;
    CpView_Release(v);
    return ttl_s;
}
