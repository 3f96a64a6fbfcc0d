/*
 * Polls the health pages of servers that report their speed, so that hosts
 * know speeds that no response told. The hosts of a domain divide its servers
 * among each other, and send each other what they learn.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_int.h"
#include "http/easy.h"

#define MAX_TARGETS 64 /* servers of one host */
#define TIMEOUT_MS 500 /* a speed that takes longer is outdated */
#define BODY_BYTES 4096
#define IDLE_CONNECTIONS 64
/* After so many responses without a speed a service is not polled for a time:
 * its health page does not tell it. */
#define FRUITLESS_POLLS 8
#define FRUITLESS_NS (30 * CP_NS_PER_S)

typedef struct {
    uint32_t fruitless; /* responses without a speed in a row */
    int64_t until_ns;   /* not polled until then */
} PolledService;

typedef struct {
    CpEntry *entry;
    CURLM *multi;
    GHashTable *services;  /* name -> PolledService */
    GHashTable *in_flight; /* instances; a server gets one poll at a time */
} Poller;

typedef struct {
    Poller *poller;
    CpFleetSpeedTarget target;
    char url[CP_ADDR_BYTES + CP_HEALTH_PATH_BYTES + 16];
    CpEasyText response;
    CpServerLoad load;
    bool has_load;
} Poll;

static void *poll_thread(void *ctx);
static void start_polls(Poller *p, int64_t now_ns);
static bool may_poll(Poller *p, const CpFleetSpeedTarget *target,
                     int64_t now_ns);
static void start_poll(Poller *p, const CpFleetSpeedTarget *target,
                       const char *path);
static size_t on_head(char *data, size_t size, size_t n, void *ctx);
static void collect_responses(Poller *p);
static void take_response(Poller *p, const Poll *poll, CURLcode code);

CpStatus
CpEntryPoll_Start(CpEntry *e)
{
    pthread_t thread;
    if (e->settings.speed_poll_ms == 0) {
        return CP_OK;
    }
    if (pthread_create(&thread, NULL, poll_thread, e) != 0) {
        return CpError_Set(CP_ERR_IO, "poll: cannot start a thread");
    }
    pthread_detach(thread);
    return CP_OK;
}

static void *
poll_thread(void *ctx)
{
    CpEntry *e = ctx;
    Poller p = {.entry = e,
                .multi = curl_multi_init(),
                .services = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                  g_free, free),
                .in_flight = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                   g_free, NULL)};
    int64_t due_ns = 0;
    int running = 0;
    curl_multi_setopt(p.multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS);
    for (;;) {
        int64_t now_ns = CpClock_Now_ns();
        if (now_ns >= due_ns) {
            /* first what the last polls told */
            CpEntryPeers_SendSpeeds(e, e->settings.speed_poll_ms, now_ns);
            if (!CpAtomic_Load(&e->leaving)) {
                start_polls(&p, now_ns);
            }
            due_ns = now_ns + e->settings.speed_poll_ms * CP_NS_PER_MS;
        }
        curl_multi_perform(p.multi, &running);
        collect_responses(&p);
        int64_t wait_ms = (due_ns - CpClock_Now_ns()) / CP_NS_PER_MS + 1;
        curl_multi_poll(p.multi, NULL, 0, (int)(wait_ms > 0 ? wait_ms : 0),
                        NULL);
    }
    return NULL;
}

static void
start_polls(Poller *p, int64_t now_ns)
{
    CpEntry *e = p->entry;
    CpFleetSpeedTarget targets[MAX_TARGETS];
    CpRoutes *routes = CpEntry_RetainRoutes(e, NULL);
    uint32_t n = CpFleet_ListSpeedTargets(e->fleet, e->settings.speed_poll_ms,
                                          now_ns, CpEntryHosts_IsPoller, e,
                                          targets, MAX_TARGETS);
    for (uint32_t i = 0; routes != NULL && i < n; i++) {
        const CpService *s = CpRoutes_FindService(routes, targets[i].service);
        if (s != NULL && s->health_path[0] == '/' &&
            may_poll(p, &targets[i], now_ns)) {
            start_poll(p, &targets[i], s->health_path);
        }
    }
    CpRoutes_Release(routes);
}

static bool
may_poll(Poller *p, const CpFleetSpeedTarget *target, int64_t now_ns)
{
    const PolledService *s = g_hash_table_lookup(p->services, target->service);
    return (s == NULL || s->until_ns <= now_ns) &&
           !g_hash_table_contains(p->in_flight, target->instance);
}

static void
start_poll(Poller *p, const CpFleetSpeedTarget *target, const char *path)
{
    Poll *poll = CpMem_Alloc(sizeof(*poll));
    CURL *easy = curl_easy_init();
    poll->poller = p;
    poll->target = *target;
    snprintf(poll->url, sizeof(poll->url), "http://%s%s", target->address,
             path);
    CpEasy_SetDefaults(easy, poll->url, TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, poll);
    CpEasyText_Begin(&poll->response, g_string_new(NULL), BODY_BYTES, easy);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_head);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, poll);
    g_hash_table_add(p->in_flight, g_strdup(target->instance));
    curl_multi_add_handle(p->multi, easy);
}

static size_t
on_head(char *data, size_t size, size_t n, void *ctx)
{
    Poll *poll = ctx;
    const CpHeaderNames *names = poll->poller->entry->adapter.headers;
    char value[64];
    n *= size;
    CpResponseCheck_OnHeadLine(&poll->response.check, data, n);
    if (CpEasy_MatchHeader(data, n, names->server_load, value,
                           sizeof(value))) {
        poll->has_load = names->decode_load(value, &poll->load);
    }
    return poll->response.check.flaw == CP_FLAW_NONE ? n : 0;
}

static void
collect_responses(Poller *p)
{
    CURLMsg *msg;
    int left;
    while ((msg = curl_multi_info_read(p->multi, &left)) != NULL) {
        Poll *poll;
        CURL *easy = msg->easy_handle;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &poll);
        code = CpResponseCheck_End(&poll->response.check, code);
        take_response(p, poll, code);
        g_hash_table_remove(p->in_flight, poll->target.instance);
        curl_multi_remove_handle(p->multi, easy);
        curl_easy_cleanup(easy);
        g_string_free(poll->response.body, TRUE);
        free(poll);
    }
}

/* Takes the speed from one whole response. No other outcome says anything of
 * the server: requests are better evidence. */
static void
take_response(Poller *p, const Poll *poll, CURLcode code)
{
    int64_t now_ns = CpClock_Now_ns();
    if (code != CURLE_OK) {
        return;
    }
    PolledService *s = g_hash_table_lookup(p->services, poll->target.service);
    if (s == NULL) {
        s = CpMem_Alloc(sizeof(*s));
        g_hash_table_insert(p->services, g_strdup(poll->target.service), s);
    }
    CpCounter_Add(CP_COUNT_SPEED_POLLS, 1);
    if (poll->has_load && poll->load.work_percent > 0) {
        s->fruitless = 0;
        CpFleet_SetPolledSpeed(p->entry->fleet, poll->target.service,
                               poll->target.instance, poll->load.work_percent,
                               now_ns);
    }
    else if (++s->fruitless >= FRUITLESS_POLLS) {
        s->fruitless = 0;
        s->until_ns = now_ns + FRUITLESS_NS;
    }
}
