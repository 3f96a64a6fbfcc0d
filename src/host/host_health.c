/*
 * Polls the health endpoints of the backend servers that this host uses, only
 * to detect a server that is draining: an endpoint may report good health
 * wrongly, and the outcomes of requests are better evidence.
 */
#include <stdlib.h>
#include <string.h>

#include "host/host_int.h"
#include "http/easy.h"

#define PERIOD_MS 700
#define TIMEOUT_MS 500
#define BODY_BYTES 4096

typedef struct {
    CpServerAddress server;
    char url[CP_ADDR_BYTES + 32];
    CpEasyText response;
} Probe;

static void *health_thread(void *ctx);
static void start_probes(CpNode *n, CURLM *multi);
static uint32_t collect_responses(CpNode *n, CURLM *multi);
static void take_state(CpNode *n, const Probe *p);

CpStatus
CpHealth_Start(CpNode *n)
{
    n->health_multi = curl_multi_init();
    if (pthread_create(&n->health_thread, NULL, health_thread, n) != 0) {
        return CpError_Set(CP_ERR_IO, "health: cannot start a thread");
    }
    return CP_OK;
}

void
CpHealth_Stop(CpNode *n)
{
    CpAtomic_Store(&n->health_stop, 1);
    curl_multi_wakeup(n->health_multi);
    pthread_join(n->health_thread, NULL);
    curl_multi_cleanup(n->health_multi);
}

static void *
health_thread(void *ctx)
{
    CpNode *n = ctx;
    CURLM *multi = n->health_multi;
    int64_t due_ns = 0;
    int running = 0;
    while (!CpAtomic_Load(&n->health_stop)) {
        int64_t now_ns = CpClock_Now_ns();
        if (now_ns >= due_ns) {
            start_probes(n, multi);
            due_ns = now_ns + PERIOD_MS * CP_NS_PER_MS;
        }
        curl_multi_perform(multi, &running);
        collect_responses(n, multi);
        int64_t wait_ms = (due_ns - CpClock_Now_ns()) / CP_NS_PER_MS + 1;
        curl_multi_poll(multi, NULL, 0, (int)(wait_ms > 0 ? wait_ms : 0),
                        NULL);
    }
    do { /* complete the probes in flight, so that nothing leaks */
        curl_multi_poll(multi, NULL, 0, TIMEOUT_MS / 10, NULL);
        curl_multi_perform(multi, &running);
        collect_responses(n, multi);
    } while (running > 0);
    return NULL;
}

static void
start_probes(CpNode *n, CURLM *multi)
{
    CpServerAddress *servers;
    uint32_t count = CpPool_ListServers(n, &servers);
    for (uint32_t i = 0; i < count; i++) {
        Probe *p = CpMem_Alloc(sizeof(*p));
        CURL *e = curl_easy_init();
        p->server = servers[i];
        snprintf(p->url, sizeof(p->url), "http://%s/health",
                 p->server.address);
        CpEasy_SetDefaults(e, p->url, TIMEOUT_MS);
        curl_easy_setopt(e, CURLOPT_PRIVATE, p);
        CpEasyText_Begin(&p->response, g_string_new(NULL), BODY_BYTES, e);
        curl_multi_add_handle(multi, e);
    }
    free(servers);
}

static uint32_t
collect_responses(CpNode *n, CURLM *multi)
{
    CURLMsg *msg;
    int left;
    uint32_t completed = 0;
    while ((msg = curl_multi_info_read(multi, &left)) != NULL) {
        Probe *p;
        CURL *e = msg->easy_handle;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(e, CURLINFO_PRIVATE, &p);
        if (CpResponseCheck_End(&p->response.check, code) == CURLE_OK) {
            take_state(n, p);
        }
        curl_multi_remove_handle(multi, e);
        curl_easy_cleanup(e);
        g_string_free(p->response.body, TRUE);
        free(p);
        completed++;
    }
    return completed;
}

/* Takes the state from one whole response; others say nothing. A server that
 * leaves may report it with 503. */
static void
take_state(CpNode *n, const Probe *p)
{
    uint32_t status = p->response.check.status;
    bool leaving = strstr(p->response.body->str, "\"leaving\"") != NULL;
    if (status == 200 || (status == 503 && leaving)) {
        CpPool_SetDraining(n, p->server.name, CP_DRAIN_HEALTH, leaving);
    }
}
