/* A thread of the load tool: schedules requests and runs them on a curl multi
 * handle. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../standin/standin.h"
#include "http/easy.h"
#include "http/http.h"
#include "load.h"

#define MAX_ENTRY_HOSTS 8
#define URL_BYTES 1024
#define MAX_IDLE_HANDLES 512
#define MAX_RETRIES 3
#define VERDICT_GRACE_MS 1500 /* after the deadline, for a late verdict */
#define CONNECT_TIMEOUT_MS 500

typedef enum {
    STEP_LOOKUP,
    STEP_TICKET,
    STEP_RUN
} Step;

/* State of one load thread. */
typedef struct {
    CpLoadThread *thread;
    CURLM *multi;
    CURL *idle[MAX_IDLE_HANDLES];
    uint32_t idle_count;
    uint32_t inflight_calls;
    uint64_t next_tag;
    struct { /* state of each flow in this thread */
        char hosts[MAX_ENTRY_HOSTS][CP_ADDR_BYTES];
        uint32_t host_count;
        int64_t hosts_expire_ns;
        bool lookup_inflight;
        uint32_t rotation;
        uint64_t scheduled; /* requests, since the start of the flow */
        uint32_t inflight;
    } flows[CP_LOAD_MAX_FLOWS];
} Runner;

/* A lookup or request, with its retries. */
typedef struct {
    Runner *runner;
    uint32_t flow_index;
    Step step;
    uint64_t tag;
    int64_t start_ns;
    uint64_t received_bytes;
    bool body_mismatch;
    uint32_t retries;
    uint32_t next_host; /* index in the flow's hosts, before the modulo */
    CpVerdict verdict;
    bool has_verdict;
    CpReason reason;
    bool may_have_run; /* in some attempt */
    bool is_duplicate; /* its outcome is not counted */
    char ticket[256];
    char response_text[2048]; /* of a lookup or ticket */
    CURL *easy;
    char url[URL_BYTES];
} Call;

static int64_t schedule(Runner *r, int64_t now_ns);
static void start_due_calls(Runner *r, uint32_t flow_index, int64_t now_ns);
static void start_call(Runner *r, uint32_t flow_index, Step step);
static void send_call(Call *c);
static void set_url(Call *c, const CpFlow *f);
static const char *choose_target(const CpExperiment *e, const char *kind,
                                 uint32_t rotation);
static void finish_transfer(Call *c, CURLcode code);
static void finish_lookup(Call *c, long status);
static void finish_ticket(Call *c, long status);
static void finish_run(Call *c, CURLcode code, long status);
static void start_duplicate(const Call *original);
static bool should_duplicate(const Call *c, uint32_t phase);
static bool should_retry(Call *c, CURLcode code, long status);
static void record_outcome(Call *c, CURLcode code, long status);
static void record_response(Call *c, CpFlowResult *res, const CpFlow *f);
static void release_call(Call *c);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static void record_latency(CpFlowResult *r, int64_t ns);

void *
CpLoad_Run(void *thread)
{
    static const int64_t max_wait_ns = 20 * CP_NS_PER_MS;
    CpLoadThread *t = thread;
    Runner r = {.thread = t, .multi = curl_multi_init()};
    int running_handles, messages_left;
    r.next_tag = ((uint64_t)t->experiment->seed << 32) +
                 ((uint64_t)t->thread_index << 28);
    for (uint32_t i = 0; i < t->experiment->flow_count; i++) {
        r.flows[i].rotation =
            (uint32_t)CpHash(&i, sizeof(i), r.next_tag) % 1024;
    }
    int64_t end_ns = t->start_ns + t->experiment->seconds * CP_NS_PER_S;
    for (;;) {
        CURLMsg *msg;
        int64_t now_ns = CpClock_Now_ns();
        int64_t wait_ns = now_ns < end_ns ? schedule(&r, now_ns) : max_wait_ns;
        if (now_ns >= end_ns && r.inflight_calls == 0) {
            break;
        }
        curl_multi_perform(r.multi, &running_handles);
        while ((msg = curl_multi_info_read(r.multi, &messages_left)) != NULL) {
            Call *c;
            CURLcode code = msg->data.result;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
            finish_transfer(c, code);
        }
        if (wait_ns > max_wait_ns) {
            wait_ns = max_wait_ns;
        }
        curl_multi_poll(r.multi, NULL, 0,
                        (int)((wait_ns + CP_NS_PER_MS - 1) / CP_NS_PER_MS),
                        NULL);
    }
    while (r.idle_count > 0) {
        curl_easy_cleanup(r.idle[--r.idle_count]);
    }
    curl_multi_cleanup(r.multi);
    return NULL;
}

/* Starts the lookups and requests that are due. Returns the time until the
 * next request, at most a second. */
static int64_t
schedule(Runner *r, int64_t now_ns)
{
    const CpExperiment *e = r->thread->experiment;
    int64_t wait_ns = CP_NS_PER_S;
    for (uint32_t i = 0; i < e->flow_count; i++) {
        const CpFlow *f = &e->flows[i];
        int64_t flow_start_ns = r->thread->start_ns + f->start_s * CP_NS_PER_S;
        uint32_t end_s = f->end_s ? f->end_s : e->seconds;
        if (now_ns < flow_start_ns ||
            now_ns >= r->thread->start_ns + end_s * CP_NS_PER_S) {
            continue;
        }
        bool needs_hosts =
            !f->direct && !f->round_robin && strcmp(f->kind, "(lookup)") != 0;
        if (needs_hosts && now_ns >= r->flows[i].hosts_expire_ns &&
            !r->flows[i].lookup_inflight) {
            r->flows[i].lookup_inflight = true;
            start_call(r, i, STEP_LOOKUP);
        }
        if (needs_hosts && r->flows[i].host_count == 0) {
            wait_ns = CP_NS_PER_MS;
            /* Requests due before the first lookup response are skipped. */
            if (f->rate_per_s > 0) {
                r->flows[i].scheduled = (uint64_t)(now_ns - flow_start_ns) *
                                        f->rate_per_s / CP_NS_PER_S /
                                        e->threads;
            }
            continue;
        }
        start_due_calls(r, i, now_ns);
        if (f->rate_per_s > 0) {
            int64_t next_ns =
                flow_start_ns +
                (int64_t)((r->flows[i].scheduled + 1) * CP_NS_PER_S *
                          e->threads / f->rate_per_s);
            if (next_ns - now_ns < wait_ns) {
                wait_ns = next_ns > now_ns ? next_ns - now_ns : 0;
            }
        }
    }
    return wait_ns;
}

static void
start_due_calls(Runner *r, uint32_t flow_index, int64_t now_ns)
{
    const CpExperiment *e = r->thread->experiment;
    const CpFlow *f = &e->flows[flow_index];
    int64_t flow_start_ns = r->thread->start_ns + f->start_s * CP_NS_PER_S;
    if (f->rate_per_s == 0) {
        while (r->flows[flow_index].inflight < f->concurrency / e->threads) {
            start_call(r, flow_index, f->once ? STEP_TICKET : STEP_RUN);
        }
        return;
    }
    uint64_t due = (uint64_t)(now_ns - flow_start_ns) * f->rate_per_s /
                   CP_NS_PER_S / e->threads;
    while (r->flows[flow_index].scheduled < due) {
        r->flows[flow_index].scheduled++;
        start_call(r, flow_index, f->once ? STEP_TICKET : STEP_RUN);
    }
}

static void
start_call(Runner *r, uint32_t flow_index, Step step)
{
    Call *c = CpMem_Alloc(sizeof(*c));
    c->runner = r;
    c->flow_index = flow_index;
    c->step = step;
    c->tag = ++r->next_tag;
    c->start_ns = CpClock_Now_ns();
    r->inflight_calls++;
    if (step != STEP_LOOKUP) {
        CpFlowResult *res = &r->thread->results[flow_index];
        int64_t s = (c->start_ns - r->thread->start_ns) / CP_NS_PER_S;
        res->sent++;
        res->sent_by_second[s < CP_LOAD_MAX_SECONDS ? s : 0]++;
        r->flows[flow_index].inflight++;
    }
    send_call(c);
}

static void
send_call(Call *c)
{
    Runner *r = c->runner;
    const CpFlow *f = &r->thread->experiment->flows[c->flow_index];
    CURL *e = r->idle_count > 0 ? r->idle[--r->idle_count] : curl_easy_init();
    char source[CP_NAME_BYTES + 8];
    int64_t elapsed_ms = (CpClock_Now_ns() - c->start_ns) / CP_NS_PER_MS;
    int64_t left_ms = f->deadline_ms + VERDICT_GRACE_MS - elapsed_ms;
    c->easy = e;
    c->received_bytes = 0;
    c->body_mismatch = c->has_verdict = false;
    c->reason = CP_REASON_NONE;
    set_url(c, f);
    CpEasy_SetDefaults(e, c->url, left_ms > 1 ? left_ms : 1);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
    if (f->client[0] != '\0') {
        snprintf(source, sizeof(source), "host!%s", f->client);
        curl_easy_setopt(e, CURLOPT_INTERFACE, source);
    }
    if (c->step == STEP_TICKET || (c->step == STEP_RUN && f->once)) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, "");
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT,
                         c->step == STEP_RUN ? 1L : 0L);
    }
    curl_multi_add_handle(r->multi, e);
}

static void
set_url(Call *c, const CpFlow *f)
{
    Runner *r = c->runner;
    const CpExperiment *e = r->thread->experiment;
    uint32_t rotation = c->next_host++;
    bool use_entries = c->step == STEP_LOOKUP || f->direct || f->round_robin ||
                       strcmp(f->kind, "(lookup)") == 0;
    if (use_entries) {
        rotation = r->flows[c->flow_index].rotation++;
    }
    const char *host =
        f->round_robin ? choose_target(e, f->kind, rotation)
        : use_entries
            ? e->entries[rotation % e->entry_count].value
            : r->flows[c->flow_index]
                  .hosts[rotation % r->flows[c->flow_index].host_count];
    if (c->step == STEP_LOOKUP || strcmp(f->kind, "(lookup)") == 0) {
        snprintf(c->url, sizeof(c->url), "http://%s/lookup%s%s", host,
                 f->client[0] ? "?client=" : "", f->client);
        return;
    }
    if (c->step == STEP_TICKET) {
        snprintf(c->url, sizeof(c->url), "http://%s/ticket", host);
        return;
    }
    int32_t n = snprintf(
        c->url, sizeof(c->url), "http://%s%s/%s/x?tag=%" PRIu64 "&size=%u",
        host, use_entries ? "" : "/run", f->kind, c->tag, f->size_bytes);
    if (f->work_ms > 0) {
        n += snprintf(c->url + n, sizeof(c->url) - (size_t)n, "&ms=%u",
                      f->work_ms);
    }
    if (f->once) {
        snprintf(c->url + n, sizeof(c->url) - (size_t)n,
                 "&key=%" PRIu64 "&cp_ticket=%s", c->tag, c->ticket);
    }
}

/* Returns the address of the next backend server of a kind, round robin, or an
 * unreachable one if there is none. */
static const char *
choose_target(const CpExperiment *e, const char *kind, uint32_t rotation)
{
    uint32_t match_count = 0, index = 0;
    for (uint32_t i = 0; i < e->target_count; i++) {
        match_count += strcmp(e->targets[i].kind, kind) == 0;
    }
    rotation = match_count > 0 ? rotation % match_count : 0;
    while (match_count > 0 &&
           (strcmp(e->targets[index].kind, kind) != 0 || rotation-- > 0)) {
        index++;
    }
    return match_count > 0 ? e->targets[index].address : "127.0.0.1:1";
}

static void
finish_transfer(Call *c, CURLcode code)
{
    Runner *r = c->runner;
    long status = 0;
    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(r->multi, c->easy);
    curl_easy_reset(c->easy);
    if (r->idle_count < MAX_IDLE_HANDLES) {
        r->idle[r->idle_count++] = c->easy;
    }
    else {
        curl_easy_cleanup(c->easy);
    }
    if (code != CURLE_OK) {
        status = 0;
    }
    if (c->step == STEP_LOOKUP) {
        finish_lookup(c, status);
    }
    else if (c->step == STEP_TICKET) {
        finish_ticket(c, status);
    }
    else {
        finish_run(c, code, status);
    }
}

static void
finish_lookup(Call *c, long status)
{
    Runner *r = c->runner;
    uint32_t n = 0;
    json_t *root =
               status == 200 ? json_loads(c->response_text, 0, NULL) : NULL,
           *h;
    size_t i;
    json_array_foreach(json_object_get(root, "hosts"), i, h)
    {
        const char *address = json_string_value(json_object_get(h, "address"));
        if (address != NULL && n < MAX_ENTRY_HOSTS) {
            CpStr_Copy(r->flows[c->flow_index].hosts[n++], CP_ADDR_BYTES,
                       address);
        }
    }
    int64_t ttl_ns = CP_NS_PER_S / 10; /* retry soon after a failure */
    if (n > 0) {
        r->flows[c->flow_index].host_count = n;
        ttl_ns =
            json_integer_value(json_object_get(root, "ttl_s")) * CP_NS_PER_S;
    }
    r->flows[c->flow_index].hosts_expire_ns = CpClock_Now_ns() + ttl_ns;
    r->flows[c->flow_index].lookup_inflight = false;
    json_decref(root);
    r->inflight_calls--;
    free(c);
}

static void
finish_ticket(Call *c, long status)
{
    json_t *root =
        status == 200 ? json_loads(c->response_text, 0, NULL) : NULL;
    const char *ticket = json_string_value(json_object_get(root, "ticket"));
    if (ticket == NULL) {
        json_decref(root);
        c->response_text[0] = '\0';
        if (c->retries++ < MAX_RETRIES) {
            send_call(c);
            return;
        }
        c->has_verdict = true;
        c->verdict = CP_NOT_RUN; /* it cannot run without a ticket */
        c->reason = CP_REASON_NO_HOST;
        record_outcome(c, CURLE_COULDNT_CONNECT, 0);
        return;
    }
    CpStr_Copy(c->ticket, sizeof(c->ticket), ticket);
    json_decref(root);
    c->step = STEP_RUN;
    c->next_host = 0;
    send_call(c);
    if (should_duplicate(c, 0)) {
        start_duplicate(c);
    }
}

/* Returns whether to send a duplicate in this phase: half of them go out with
 * the first attempt (phase 0), half after the request has ended (phase 1). */
static bool
should_duplicate(const Call *c, uint32_t phase)
{
    const CpFlow *f = &c->runner->thread->experiment->flows[c->flow_index];
    uint64_t draw = CpHash(&c->tag, sizeof(c->tag), 5) % 200;
    return !c->is_duplicate && f->once && draw / 100 == phase &&
           draw % 100 < f->repeat_percent;
}

/* Sends the same ticket once more, to the next entry host. */
static void
start_duplicate(const Call *original)
{
    Call *c = CpMem_Alloc(sizeof(*c));
    c->runner = original->runner;
    c->flow_index = original->flow_index;
    c->step = STEP_RUN;
    c->tag = original->tag;
    c->start_ns = CpClock_Now_ns();
    c->next_host = original->next_host;
    c->is_duplicate = true;
    CpStr_Copy(c->ticket, sizeof(c->ticket), original->ticket);
    c->runner->inflight_calls++;
    c->runner->flows[c->flow_index].inflight++;
    c->runner->thread->results[c->flow_index].repeats++;
    send_call(c);
}

static void
finish_run(Call *c, CURLcode code, long status)
{
    if (should_retry(c, code, status)) {
        CpFlowResult *res = &c->runner->thread->results[c->flow_index];
        res->repeats++;
        c->retries++;
        send_call(c);
        return;
    }
    record_outcome(c, code, status);
}

/* Returns whether to retry. A caller retries requests that cannot have run,
 * idempotent ones, and tickets whose outcome is unclear; the baseline retries
 * until the deadline without limit. */
static bool
should_retry(Call *c, CURLcode code, long status)
{
    const CpFlow *f = &c->runner->thread->experiment->flows[c->flow_index];
    int64_t elapsed_ms = (CpClock_Now_ns() - c->start_ns) / CP_NS_PER_MS;
    if (status >= 200 && status < 300) {
        return false;
    }
    bool unsent = code == CURLE_COULDNT_CONNECT;
    if (f->once && !unsent && (code != CURLE_OK || c->verdict != CP_NOT_RUN)) {
        c->may_have_run = true;
    }
    if (f->round_robin) {
        return elapsed_ms < f->deadline_ms;
    }
    if (f->direct || c->retries >= MAX_RETRIES ||
        elapsed_ms >= f->deadline_ms) {
        return false;
    }
    return unsent || (code != CURLE_OK && (f->once || f->repeat_lost));
}

static void
record_outcome(Call *c, CURLcode code, long status)
{
    CpFlowResult *res = &c->runner->thread->results[c->flow_index];
    const CpFlow *f = &c->runner->thread->experiment->flows[c->flow_index];
    bool completed = code == CURLE_OK && status >= 200 && status < 300;
    bool checks_body = strcmp(f->kind, "(lookup)") != 0;
    bool wrong = completed && checks_body &&
                 (c->body_mismatch || c->received_bytes != f->size_bytes);
    if (!completed && !c->has_verdict) {
        c->verdict = CP_MAY_HAVE_RUN;
    }
    if (!completed && c->may_have_run && c->verdict == CP_NOT_RUN) {
        c->verdict = CP_MAY_HAVE_RUN;
    }
    if (f->once && c->runner->thread->keys_file != NULL) {
        fprintf(c->runner->thread->keys_file, "%" PRIu64 " %s %s\n", c->tag,
                completed ? "ran" : CpVerdict_Name(c->verdict),
                CpReason_Name(c->reason));
    }
    res->wrong += wrong;
    if (!c->is_duplicate) {
        if (should_duplicate(c, 1)) {
            start_duplicate(c);
        }
        if (completed && !wrong) {
            record_response(c, res, f);
        }
        else if (!completed) {
            res->cut += !c->has_verdict;
            res->verdicts[c->verdict]++;
            res->reasons[c->reason]++;
        }
    }
    release_call(c);
}

static void
record_response(Call *c, CpFlowResult *res, const CpFlow *f)
{
    int64_t now_ns = CpClock_Now_ns(), ns = now_ns - c->start_ns;
    int64_t s = (now_ns - c->runner->thread->start_ns) / CP_NS_PER_S;
    bool late = ns > f->deadline_ms * CP_NS_PER_MS;
    res->late += late;
    res->ok += !late;
    res->ok_by_second[s < CP_LOAD_MAX_SECONDS ? s : 0]++;
    res->bytes += c->received_bytes;
    record_latency(res, ns);
}

static void
release_call(Call *c)
{
    c->runner->flows[c->flow_index].inflight--;
    c->runner->inflight_calls--;
    free(c);
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    Call *c = ctx;
    char value[64];
    n *= size;
    if (n > 23 && n < 80 &&
        strncasecmp(data, CP_HEADER_VERDICT ": ", 24) == 0) {
        CpStr_Copy(value, n - 24 - 1, data + 24);
        c->verdict = CpVerdict_Parse(value);
        c->has_verdict = true;
    }
    else if (n > 23 && n < 80 &&
             strncasecmp(data, CP_HEADER_REASON ": ", 23) == 0) {
        CpStr_Copy(value, n - 23 - 1, data + 23);
        for (uint32_t i = 1; i < CP_REASON_COUNT; i++) {
            if (strcmp(value, CpReason_Name(i)) == 0) {
                c->reason = (CpReason)i;
            }
        }
    }
    return n;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    Call *c = ctx;
    char expected[16 * 1024];
    n *= size;
    if (c->step != STEP_RUN ||
        strcmp(c->runner->thread->experiment->flows[c->flow_index].kind,
               "(lookup)") == 0) {
        size_t used_bytes = strlen(c->response_text);
        if (used_bytes + n < sizeof(c->response_text)) {
            memcpy(c->response_text + used_bytes, data, n);
        }
        return n;
    }
    for (size_t offset = 0; offset < n; offset += sizeof(expected)) {
        size_t part_bytes =
            n - offset < sizeof(expected) ? n - offset : sizeof(expected);
        CpStandin_FillBody(c->tag, c->received_bytes + offset, expected,
                           part_bytes);
        c->body_mismatch = c->body_mismatch ||
                           memcmp(expected, data + offset, part_bytes) != 0;
    }
    c->received_bytes += n;
    return n;
}

static void
record_latency(CpFlowResult *r, int64_t ns)
{
    if (r->latency_count == r->latency_capacity) {
        r->latency_capacity =
            r->latency_capacity ? 2 * r->latency_capacity : 1024;
        r->latency_us = CpMem_Realloc(r->latency_us,
                                      r->latency_capacity * sizeof(uint32_t));
    }
    r->latency_us[r->latency_count++] = (uint32_t)(ns / 1000);
}
