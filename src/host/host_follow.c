/*
 * Installs the accepted configuration: the highest version that the store or
 * any host reports, never a lower one. The text is read from the store or
 * fetched from a host that has it.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "host/host_int.h"

#define POLL_MS 1000
#define NEIGHBOUR_WAIT_MS 700 /* at start, for a neighbour's configuration */
#define CHUNK_BYTES (32 * 1024)
#define MAX_CONFIG_BYTES (64u * 1024 * 1024)
#define PEER_WAIT_MS 500
/* How long a read of the head counts: some polls, and less than the 5 s in
 * which a change is in force on all hosts. */
#define CURRENT_MS 3000

static void *follow_thread(void *ctx);
static void register_host(CpNode *n);
static void fetch_from_neighbours(CpNode *n);
static void poll_store(CpNode *n);
static void record_head(CpNode *n, uint64_t version, int64_t read_ns);
static void fetch_from_peer(CpNode *n);
static void apply_drain_list(CpNode *n, const char *value);
static bool install_text(CpNode *n, char *text, size_t text_bytes,
                         uint64_t version);
static uint64_t current_version(CpNode *n);
static void wait_for_wake(CpNode *n, int64_t wait_ms);

CpStatus
CpFollow_Start(CpNode *n)
{
    if (pthread_create(&n->follow_thread, NULL, follow_thread, n) != 0) {
        return CpError_Set(CP_ERR_IO, "follow: cannot start a thread");
    }
    return CP_OK;
}

void
CpFollow_Stop(CpNode *n)
{
    pthread_mutex_lock(&n->follow_lock);
    n->follow_stop = true;
    pthread_cond_signal(&n->follow_wake);
    pthread_mutex_unlock(&n->follow_lock);
    pthread_join(n->follow_thread, NULL);
}

void
CpFollow_Wake(void *ctx, int64_t now_ns)
{
    CpNode *n = ctx;
    (void)now_ns;
    pthread_mutex_lock(&n->follow_lock);
    n->follow_pending = true;
    pthread_cond_signal(&n->follow_wake);
    pthread_mutex_unlock(&n->follow_lock);
}

void
CpFollow_OnVersion(CpNode *n, uint64_t version)
{
    pthread_mutex_lock(&n->follow_lock);
    if (version > n->latest_version) {
        n->latest_version = version;
    }
    pthread_mutex_unlock(&n->follow_lock);
}

bool
CpFollow_IsCurrent(void *ctx, uint64_t version)
{
    CpNode *n = ctx;
    int64_t now_ns = CpClock_Now_ns();
    pthread_mutex_lock(&n->follow_lock);
    bool current = version >= n->latest_version && n->head_read_ns != 0 &&
                   now_ns - n->head_read_ns <= CURRENT_MS * CP_NS_PER_MS;
    pthread_mutex_unlock(&n->follow_lock);
    return current;
}

/* Sends this host's configuration to a peer, in chunks. */
void
CpFollow_OnGet(CpNode *n, CpSession *s, const CpFrame *f)
{
    CpView *v = CpView_Retain(n);
    if (v == NULL) {
        return;
    }
    const CpGeneration *g = v->generation;
    for (size_t offset = 0; offset < g->text_bytes; offset += CHUNK_BYTES) {
        size_t size = g->text_bytes - offset;
        if (size > CHUNK_BYTES) {
            size = CHUNK_BYTES;
        }
        CpFrame out = {.type = CP_FRAME_CONFIG_CHUNK};
        out.config =
            (CpConfigFrame){.id = f->config.id,
                            .version = g->version,
                            .offset_bytes = (uint32_t)offset,
                            .total_bytes = (uint32_t)g->text_bytes,
                            .data = {g->text + offset, (uint32_t)size}};
        CpCounter_Add(CP_COUNT_CONFIG_BYTES, size);
        CpSession_Send(s, &out, CP_CLASS_OF_RANK(0));
    }
    CpView_Release(v);
}

void
CpFollow_OnChunk(CpNode *n, CpSession *s, const CpFrame *frame)
{
    const CpConfigFrame *f = &frame->config;
    (void)s;
    char *text = NULL;
    size_t size = 0;
    pthread_mutex_lock(&n->follow_lock);
    if (f->offset_bytes == 0 && f->total_bytes <= MAX_CONFIG_BYTES) {
        g_string_truncate(n->fetch_text, 0);
        n->fetch_version = f->version;
    }
    if (f->version == n->fetch_version &&
        f->offset_bytes == n->fetch_text->len) {
        g_string_append_len(n->fetch_text, f->data.data,
                            (gssize)f->data.size_bytes);
        if (n->fetch_text->len == f->total_bytes) {
            size = n->fetch_text->len;
            text = CpMem_Alloc(size + 1);
            memcpy(text, n->fetch_text->str, size);
            n->fetch_version = 0;
        }
    }
    pthread_mutex_unlock(&n->follow_lock);
    if (text != NULL) {
        install_text(n, text, size, f->version);
    }
}

static void *
follow_thread(void *ctx)
{
    CpNode *n = ctx;
    register_host(n);
    fetch_from_neighbours(n);
    for (;;) {
        pthread_mutex_lock(&n->follow_lock);
        bool stop = n->follow_stop;
        pthread_mutex_unlock(&n->follow_lock);
        if (stop) {
            return NULL;
        }
        fetch_from_peer(n);
        poll_store(n);
        wait_for_wake(n, POLL_MS);
    }
}

/* Creates this host's row. If there is one already, an earlier process of this
 * host may still have requests in flight and loans granted. */
static void
register_host(CpNode *n)
{
    CpRow row = {0};
    snprintf(row.key, sizeof(row.key), "host/%s", n->settings.host);
    snprintf(row.value, sizeof(row.value), "%016" PRIx64, n->incarnation);
    CpStatus st = n->store->commit(n->store->ctx, &row, 1);
    CpAtomic_Store(&n->first_start, st == CP_OK);
}

/* Fetches the configuration from the configured neighbours first, so that a
 * restart in a partitioned region, or a stale read, does not install an older
 * version. */
static void
fetch_from_neighbours(CpNode *n)
{
    for (uint32_t i = 0; i < n->settings.neighbour_count; i++) {
        CpFrame f = {.type = CP_FRAME_CONFIG_GET, .config = {.id = i}};
        const char *address = n->settings.neighbours[i].value;
        CpSession *s = CpWire_Dial(n->wire, address, address);
        CpSession_Send(s, &f, CP_CLASS_CONTROL);
        CpSession_Release(s);
    }
    int64_t until_ns = CpClock_Now_ns() + NEIGHBOUR_WAIT_MS * CP_NS_PER_MS;
    while (n->settings.neighbour_count > 0 && current_version(n) == 0 &&
           CpClock_Now_ns() < until_ns) {
        wait_for_wake(n, NEIGHBOUR_WAIT_MS / 7);
    }
}

static void
poll_store(CpNode *n)
{
    CpRow rows[2] = {{.key = CP_HEAD_KEY}};
    CpHeadRow head;
    char *text;
    size_t size;
    int64_t read_ns = CpClock_Now_ns();
    snprintf(rows[1].key, sizeof(rows[1].key), "live/%s", n->settings.domain);
    if (n->store->read_rows(n->store->ctx, rows, 2) != CP_OK) {
        return;
    }
    if (rows[1].version > 0) {
        apply_drain_list(n, rows[1].value);
    }
    if (!CpHeadRow_Parse(&rows[0], &head)) {
        return;
    }
    record_head(n, head.version, read_ns);
    if (head.version <= current_version(n)) {
        return;
    }
    if (n->store->get_object(n->store->ctx, head.object, &text, &size) ==
        CP_OK) {
        install_text(n, text, size, head.version);
    }
}

/* A read that gives a lower version than one that exists is stale. */
static void
record_head(CpNode *n, uint64_t version, int64_t read_ns)
{
    pthread_mutex_lock(&n->follow_lock);
    if (version >= n->latest_version) {
        n->latest_version = version;
        n->head_read_ns = read_ns;
    }
    pthread_mutex_unlock(&n->follow_lock);
}

/* Fetches a later version from the host that reported it. */
static void
fetch_from_peer(CpNode *n)
{
    char name[CP_NAME_BYTES];
    pthread_mutex_lock(&n->member_lock);
    bool wanted = n->newest_version > current_version(n);
    CpStr_Copy(name, sizeof(name), n->newest_host);
    pthread_mutex_unlock(&n->member_lock);
    CpView *v = wanted ? CpView_Retain(n) : NULL;
    if (v != NULL) {
        uint32_t h = CpConfig_FindHost(v->generation->config, name);
        if (h != CP_NO_INDEX) {
            CpFrame f = {.type = CP_FRAME_CONFIG_GET};
            CpSession *s = CpWire_Dial(n->wire, name,
                                       v->generation->config->hosts[h].inner);
            CpSession_Send(s, &f, CP_CLASS_CONTROL);
            CpSession_Release(s);
            wait_for_wake(n, PEER_WAIT_MS);
        }
    }
    CpView_Release(v);
}

/* Applies the store's list of draining backend servers of this domain:
 * names separated by spaces, "+name" for one returned to service. */
static void
apply_drain_list(CpNode *n, const char *value)
{
    char **names = g_strsplit(value, " ", CP_MAX_DRAIN_ENTRIES);
    for (char **name = names; *name != NULL; name++) {
        bool in_service = (*name)[0] == '+';
        CpPool_SetDraining(n, *name + in_service, CP_DRAIN_STORE, !in_service);
    }
    g_strfreev(names);
}

/* Puts a version in force; returns false if it is not later or is invalid.
 * Takes ownership of `text`. */
static bool
install_text(CpNode *n, char *text, size_t text_bytes, uint64_t version)
{
    CpProblems problems = {0};
    CpConfig *config;
    CpFollow_OnVersion(n, version);
    pthread_mutex_lock(&n->install_lock);
    if (version <= current_version(n)) {
        pthread_mutex_unlock(&n->install_lock);
        free(text);
        return false;
    }
    if (CpConfig_Parse("configuration", text, text_bytes, &config,
                       &problems) != CP_OK) {
        pthread_mutex_unlock(&n->install_lock);
        CpCounter_Add(CP_COUNT_CONFIG_REJECTED, 1);
        CpLog(CP_LOG_ERR, "configuration version %" PRIu64 " rejected: %s",
              version, problems.count > 0 ? problems.lines[0] : "invalid");
        CpProblems_Clear(&problems);
        free(text);
        return false;
    }
    CpGeneration *g = CpGeneration_New(n, config, text, text_bytes, version);
    CpRef_Retain(&g->refs);
    CpPeers_Configure(n, g);
    CpLink_Configure(n, g);
    CpPool_Configure(n, g);
    pthread_mutex_lock(&n->retry_budget_lock);
    n->retry_budget.percent = config->retry_percent;
    pthread_mutex_unlock(&n->retry_budget_lock);
    CpView_Install(n, g);
    pthread_mutex_unlock(&n->install_lock);
    CpCounter_Add(CP_COUNT_CONFIG_ACCEPTED, 1);
    CpLog(CP_LOG_NOTICE, "configuration %s version %" PRIu64 " in force",
          config->name, version);
    CpGeneration_Release(g);
    return true;
}

static uint64_t
current_version(CpNode *n)
{
    CpView *v = CpView_Retain(n);
    uint64_t version = v != NULL ? v->generation->version : 0;
    CpView_Release(v);
    return version;
}

static void
wait_for_wake(CpNode *n, int64_t wait_ms)
{
    pthread_mutex_lock(&n->follow_lock);
    if (!n->follow_pending && !n->follow_stop) {
        CpCond_Wait_ns(&n->follow_wake, &n->follow_lock,
                       wait_ms * CP_NS_PER_MS);
    }
    n->follow_pending = false;
    pthread_mutex_unlock(&n->follow_lock);
}
