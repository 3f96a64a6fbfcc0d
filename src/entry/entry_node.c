/* Creation, start and draining of an entry host. */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"

#define STORE_TIMEOUT_MS 2000 /* a slower response is of no use */
#define DRAIN_POLL_MS 20
/* Callers use a response of the directory up to three times its time to live,
 * but switch from a host that closes their connections. Requests are accepted
 * for this share of the stop timeout, unless they would last beyond it, and
 * those in flight have the rest. */
#define SERVE_SHARE_PERCENT 42
#define STOP_MARGIN_MS 500 /* to end the threads within the stop timeout */

static CpStatus open_pages(CpEntry *e);
static void log_server_change(void *ctx, const char *instance,
                              const char *what, uint32_t ms);

/* A NULL path is replaced by that of the adapter. */
static CpPage directory_pages[] = {
    {NULL, "application/json", CpEntryReport_RenderDirectory},
    {0},
};
static const CpPage control_pages[] = {
    {"/state", "application/json", CpEntryNeighbours_RenderState},
    {0},
};
static CpPage ready_pages[] = {
    {NULL, "text/plain", CpEntryReport_RenderReady},
    {0},
};

CpStatus
CpEntry_New(const CpEntryOptions *options, CpEntry **out)
{
    CpEntry *e = CpMem_Alloc(sizeof(*e));
    const CpSettings *s = options->settings;
    char source[CP_ADDR_BYTES];
    e->settings = *s;
    e->adapter = *options->adapter;
    e->incarnation = CpRandom();
    e->started_ns = CpClock_Now_ns();
    pthread_mutex_init(&e->start_lock, NULL);
    pthread_mutex_init(&e->store_lock, NULL);
    CpCond_Init(&e->store_changed);
    pthread_mutex_init(&e->routes_lock, NULL);
    pthread_mutex_init(&e->hosts_lock, NULL);
    pthread_mutex_init(&e->retry_budget_lock, NULL);
    e->contention = CpContention_New();
    CpEntryHosts_Init(e);
    CpEntryFreshness_Init(e);
    CpEntryQuota_Init(e);
    CpFleetDomain *domains =
        CpMem_Alloc((s->domain_count + 1) * sizeof(*domains));
    for (uint32_t i = 0; i < s->domain_count; i++) {
        CpStr_Copy(domains[i].name, CP_NAME_BYTES, s->domains[i].name);
        CpStr_Copy(domains[i].region, CP_NAME_BYTES, s->domains[i].region);
    }
    e->fleet = CpFleet_New(
        &(CpFleetOptions){.domain = e->settings.domain,
                          .domains = domains,
                          .domain_count = s->domain_count,
                          .get_warmup_share = CpEntryHosts_GetWarmupShare,
                          .on_state_change = log_server_change,
                          .ctx = e});
    free(domains);
    e->store = e->adapter.new_store(s->platform, STORE_TIMEOUT_MS);
    e->timer = CpTimer_New();
    e->budget = CpBudget_New(CpBudget_SizeFor_bytes(s->memory_limit_mb),
                             s->max_requests);
    CpProxyOptions proxy = {.listen = e->settings.caller,
                            .source_ip = source,
                            .threads = s->worker_threads,
                            .max_connections = s->max_requests,
                            .request_buffer_bytes =
                                s->request_buffer_kb * 1024,
                            .body_timeout_ms = s->body_timeout_s * 1000,
                            .budget = e->budget,
                            .headers = e->adapter.headers};
    CpStr_Copy(source, sizeof(source), s->caller);
    *strrchr(source, ':') = '\0';
    CpEntryRequest_InitPolicy(e, &proxy.policy);
    *out = e;
    CpStatus st = CpProxy_New(&proxy, &e->proxy);
    if (st == CP_OK) {
        st = CpEntryPeers_Open(e);
    }
    return st == CP_OK ? open_pages(e) : st;
}

CpStatus
CpEntry_Start(CpEntry *e)
{
    CpTimer_Subscribe(e->timer, CP_FLEET_TICK_MS, CpEntryFollow_Tick, e);
    CpTimer_Subscribe(e->timer, CP_FLEET_TICK_MS, CpEntryHosts_Tick, e);
    CpTimer_Subscribe(e->timer, CP_ENTRY_REPORT_INTERVAL_MS, CpEntryPeers_Tick,
                      e);
    CpStatus st = CpProxy_Start(e->proxy);
    if (st == CP_OK) {
        st = CpEntryFollow_Start(e);
    }
    if (st == CP_OK) {
        st = CpEntryPeers_Start(e);
    }
    if (st == CP_OK) {
        st = CpEntryPoll_Start(e);
    }
    if (st == CP_OK) {
        st = CpTimer_Start(e->timer);
    }
    if (st == CP_OK) {
        st = CpEntryFreshness_Start(e);
    }
    if (st == CP_OK) {
        st = CpEntryQuota_Start(e);
    }
    if (st == CP_OK) {
        CpEvent(CP_EVENT_PROCESS, "started", "s:s,s:s,s:s", "domain",
                e->settings.domain, "caller", e->settings.caller, "store",
                e->settings.platform);
    }
    return st;
}

void
CpEntry_Drain(CpEntry *e)
{
    int64_t start_ns = CpClock_Now_ns();
    int64_t timeout_ns = e->settings.stop_timeout_s * CP_NS_PER_S;
    int64_t serve_until_ns = start_ns + timeout_ns * SERVE_SHARE_PERCENT / 100;
    int64_t stop_by_ns = start_ns + timeout_ns - STOP_MARGIN_MS * CP_NS_PER_MS;
    __atomic_store_n(&e->stop_by_ns, stop_by_ns, __ATOMIC_RELAXED);
    CpAtomic_Store(&e->leaving, 1);
    CpProxy_CloseAfterResponses(e->proxy);
    CpEvent(CP_EVENT_PROCESS, "leaving", "s:i", "active",
            (int)CpProxy_CountActive(e->proxy));
    CpEntryPeers_Tick(e, start_ns); /* informs peers before the slower store */
    CpEntryHosts_RemoveOwnRow(e);
    while (CpClock_Now_ns() < serve_until_ns) {
        CpSleep_ms(DRAIN_POLL_MS * 5);
    }
    CpProxy_RefuseRequests(e->proxy);
    while (CpProxy_CountActive(e->proxy) > 0 &&
           CpClock_Now_ns() < stop_by_ns) {
        CpSleep_ms(DRAIN_POLL_MS);
    }
    CpEvent(CP_EVENT_PROCESS, "stopped", "s:i,s:I", "active",
            (int)CpProxy_CountActive(e->proxy), "after_ms",
            (json_int_t)((CpClock_Now_ns() - start_ns) / CP_NS_PER_MS));
}

void
CpEntry_Reload(CpEntry *e, const CpSettings *settings)
{
    e->settings.stop_timeout_s = settings->stop_timeout_s;
    CpEvent(CP_EVENT_PROCESS, "reloaded", "s:i", "stop_timeout_s",
            (int)settings->stop_timeout_s);
}

static CpStatus
open_pages(CpEntry *e)
{
    const CpSettings *s = &e->settings;
    directory_pages[0].path = e->adapter.directory_path;
    ready_pages[0].path = e->adapter.ready_path;
    CpStatus st = CpPages_New(s->directory, directory_pages, e, &e->directory);
    if (st == CP_OK) {
        st = CpPages_New(s->ready, ready_pages, e, &e->ready);
    }
    if (st == CP_OK && s->control[0] != '\0') {
        st = CpPages_New(s->control, control_pages, e, &e->control);
    }
    if (st == CP_OK) {
        st = CpPages_New(s->operator_listen, cp_entry_metrics_pages, e,
                         &e->metrics);
    }
    return st;
}

static void
log_server_change(void *ctx, const char *instance, const char *what,
                  uint32_t ms)
{
    (void)ctx;
    CpEvent(CP_EVENT_SERVER, what, "s:s,s:i", "instance", instance, "ms",
            (int)ms);
}
