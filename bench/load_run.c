/* One thread of the load tool: a curl multi handle and a schedule. */
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

#define MAX_ENTRIES 8
#define URL_BYTES 1024
#define HANDLE_POOL 512
#define MAX_REPEATS 3
#define GRACE_MS 1500 /* past the deadline, for the verdict to arrive */
#define CONNECT_MS 500

typedef enum {
    STEP_LOOKUP,
    STEP_TICKET,
    STEP_RUN
} Step;

typedef struct {
    CpLoadThread *thread;
    CURLM *multi;
    CURL *spare[HANDLE_POOL];
    uint32_t spare_count;
    uint32_t active;
    uint64_t next_tag;
    struct {
        char hosts[MAX_ENTRIES][CP_ADDR_BYTES];
        uint32_t count;
        int64_t until_ns;
        bool asking;
        uint32_t turn;
        uint64_t due; /* requests scheduled so far */
        uint32_t running;
    } flow[CP_LOAD_MAX_FLOWS];
} Runner;

typedef struct {
    Runner *runner;
    uint32_t flow;
    Step step;
    uint64_t tag;
    int64_t start_ns;
    uint64_t got_bytes;
    bool differs;
    uint32_t tries;
    uint32_t entry; /* index in the flow's hosts */
    CpVerdict verdict;
    bool has_verdict;
    CpReason reason;
    bool may_have_run; /* some try of it may have */
    bool echo;         /* a repeat, which is not recorded */
    char ticket[256];
    char text[2048]; /* of a look-up or ticket */
    CURL *easy;
    char url[URL_BYTES];
} Call;

static int64_t schedule(Runner *r, int64_t now_ns);
static void start_due(Runner *r, uint32_t flow, int64_t now_ns);
static void start_call(Runner *r, uint32_t flow, Step step);
static void send_call(Call *c);
static void set_url(Call *c, const CpFlow *f);
static const char *next_target(const CpExperiment *e, const char *kind,
                               uint32_t turn);
static void finish(Call *c, CURLcode code);
static void finish_lookup(Call *c, long status);
static void finish_ticket(Call *c, long status);
static void finish_run(Call *c, CURLcode code, long status);
static void start_echo(const Call *of);
static bool wants_echo(const Call *c, uint32_t part);
static bool try_again(Call *c, CURLcode code, long status);
static void record(Call *c, CURLcode code, long status);
static void record_answer(Call *c, CpFlowResult *res, const CpFlow *f);
static void end_call(Call *c);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static void add_latency(CpFlowResult *r, int64_t ns);

void *
CpLoad_Run(void *thread)
{
    static const int64_t max_wait_ns = 20 * CP_NS_PER_MS;
    CpLoadThread *t = thread;
    Runner r = {.thread = t, .multi = curl_multi_init()};
    int running, left;
    r.next_tag = ((uint64_t)t->experiment->seed << 32) +
                 ((uint64_t)t->thread_index << 28);
    for (uint32_t i = 0; i < t->experiment->flow_count; i++) {
        r.flow[i].turn = (uint32_t)CpHash(&i, sizeof(i), r.next_tag) % 1024;
    }
    int64_t end_ns = t->start_ns + t->experiment->seconds * CP_NS_PER_S;
    for (;;) {
        CURLMsg *msg;
        int64_t now_ns = CpClock_Now_ns();
        int64_t wait_ns = now_ns < end_ns ? schedule(&r, now_ns) : max_wait_ns;
        if (now_ns >= end_ns && r.active == 0) {
            break;
        }
        curl_multi_perform(r.multi, &running);
        while ((msg = curl_multi_info_read(r.multi, &left)) != NULL) {
            Call *c;
            CURLcode code = msg->data.result;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
            finish(c, code);
        }
        if (wait_ns > max_wait_ns) {
            wait_ns = max_wait_ns;
        }
        curl_multi_poll(r.multi, NULL, 0,
                        (int)((wait_ns + CP_NS_PER_MS - 1) / CP_NS_PER_MS),
                        NULL);
    }
    while (r.spare_count > 0) {
        curl_easy_cleanup(r.spare[--r.spare_count]);
    }
    curl_multi_cleanup(r.multi);
    return NULL;
}

/* Starts what is due; returns how long to wait for the next. */
static int64_t
schedule(Runner *r, int64_t now_ns)
{
    const CpExperiment *e = r->thread->experiment;
    int64_t wait_ns = CP_NS_PER_S;
    for (uint32_t i = 0; i < e->flow_count; i++) {
        const CpFlow *f = &e->flows[i];
        int64_t from_ns = r->thread->start_ns + f->start_s * CP_NS_PER_S;
        uint32_t end_s = f->end_s ? f->end_s : e->seconds;
        if (now_ns < from_ns ||
            now_ns >= r->thread->start_ns + end_s * CP_NS_PER_S) {
            continue;
        }
        bool look =
            !f->direct && !f->round_robin && strcmp(f->kind, "(lookup)") != 0;
        if (look && now_ns >= r->flow[i].until_ns && !r->flow[i].asking) {
            r->flow[i].asking = true;
            start_call(r, i, STEP_LOOKUP);
        }
        if (look && r->flow[i].count == 0) {
            wait_ns = CP_NS_PER_MS;
            /* What is due before the first look-up is not owed. */
            if (f->rate_per_s > 0) {
                r->flow[i].due = (uint64_t)(now_ns - from_ns) * f->rate_per_s /
                                 CP_NS_PER_S / e->threads;
            }
            continue;
        }
        start_due(r, i, now_ns);
        if (f->rate_per_s > 0) {
            int64_t next_ns =
                from_ns + (int64_t)((r->flow[i].due + 1) * CP_NS_PER_S *
                                    e->threads / f->rate_per_s);
            if (next_ns - now_ns < wait_ns) {
                wait_ns = next_ns > now_ns ? next_ns - now_ns : 0;
            }
        }
    }
    return wait_ns;
}

static void
start_due(Runner *r, uint32_t flow, int64_t now_ns)
{
    const CpExperiment *e = r->thread->experiment;
    const CpFlow *f = &e->flows[flow];
    int64_t from_ns = r->thread->start_ns + f->start_s * CP_NS_PER_S;
    if (f->rate_per_s == 0) {
        while (r->flow[flow].running < f->concurrency / e->threads) {
            start_call(r, flow, f->once ? STEP_TICKET : STEP_RUN);
        }
        return;
    }
    uint64_t due = (uint64_t)(now_ns - from_ns) * f->rate_per_s / CP_NS_PER_S /
                   e->threads;
    while (r->flow[flow].due < due) {
        r->flow[flow].due++;
        start_call(r, flow, f->once ? STEP_TICKET : STEP_RUN);
    }
}

static void
start_call(Runner *r, uint32_t flow, Step step)
{
    Call *c = CpMem_Alloc(sizeof(*c));
    c->runner = r;
    c->flow = flow;
    c->step = step;
    c->tag = ++r->next_tag;
    c->start_ns = CpClock_Now_ns();
    r->active++;
    if (step != STEP_LOOKUP) {
        CpFlowResult *res = &r->thread->results[flow];
        int64_t s = (c->start_ns - r->thread->start_ns) / CP_NS_PER_S;
        res->sent++;
        res->sent_in_s[s < CP_LOAD_MAX_SECONDS ? s : 0]++;
        r->flow[flow].running++;
    }
    send_call(c);
}

static void
send_call(Call *c)
{
    Runner *r = c->runner;
    const CpFlow *f = &r->thread->experiment->flows[c->flow];
    CURL *e =
        r->spare_count > 0 ? r->spare[--r->spare_count] : curl_easy_init();
    char source[CP_NAME_BYTES + 8];
    int64_t used_ms = (CpClock_Now_ns() - c->start_ns) / CP_NS_PER_MS;
    int64_t left_ms = f->deadline_ms + GRACE_MS - used_ms;
    c->easy = e;
    c->got_bytes = 0;
    c->differs = c->has_verdict = false;
    c->reason = CP_REASON_NONE;
    set_url(c, f);
    CpEasy_SetDefaults(e, c->url, left_ms > 1 ? left_ms : 1);
    curl_easy_setopt(e, CURLOPT_PRIVATE, c);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
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
    uint32_t turn = c->entry++;
    bool seeds = c->step == STEP_LOOKUP || f->direct || f->round_robin ||
                 strcmp(f->kind, "(lookup)") == 0;
    if (seeds) {
        turn = r->flow[c->flow].turn++;
    }
    const char *host =
        f->round_robin ? next_target(e, f->kind, turn)
        : seeds        ? e->entries[turn % e->entry_count].value
                       : r->flow[c->flow].hosts[turn % r->flow[c->flow].count];
    if (c->step == STEP_LOOKUP || strcmp(f->kind, "(lookup)") == 0) {
        snprintf(c->url, sizeof(c->url), "http://%s/lookup%s%s", host,
                 f->client[0] ? "?client=" : "", f->client);
        return;
    }
    if (c->step == STEP_TICKET) {
        snprintf(c->url, sizeof(c->url), "http://%s/ticket", host);
        return;
    }
    int32_t n = snprintf(c->url, sizeof(c->url),
                         "http://%s%s/%s/x?tag=%" PRIu64 "&size=%u", host,
                         seeds ? "" : "/run", f->kind, c->tag, f->size_bytes);
    if (f->work_ms > 0) {
        n += snprintf(c->url + n, sizeof(c->url) - (size_t)n, "&ms=%u",
                      f->work_ms);
    }
    if (f->once) {
        snprintf(c->url + n, sizeof(c->url) - (size_t)n,
                 "&key=%" PRIu64 "&cp_ticket=%s", c->tag, c->ticket);
    }
}

/* The turn-th backend server of a kind, around and around. */
static const char *
next_target(const CpExperiment *e, const char *kind, uint32_t turn)
{
    uint32_t n = 0, at = 0;
    for (uint32_t i = 0; i < e->target_count; i++) {
        n += strcmp(e->targets[i].kind, kind) == 0;
    }
    turn = n > 0 ? turn % n : 0;
    while (n > 0 && (strcmp(e->targets[at].kind, kind) != 0 || turn-- > 0)) {
        at++;
    }
    return n > 0 ? e->targets[at].address : "127.0.0.1:1";
}

static void
finish(Call *c, CURLcode code)
{
    Runner *r = c->runner;
    long status = 0;
    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(r->multi, c->easy);
    curl_easy_reset(c->easy);
    if (r->spare_count < HANDLE_POOL) {
        r->spare[r->spare_count++] = c->easy;
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
    json_t *root = status == 200 ? json_loads(c->text, 0, NULL) : NULL, *h;
    size_t i;
    json_array_foreach(json_object_get(root, "hosts"), i, h)
    {
        const char *at = json_string_value(json_object_get(h, "address"));
        if (at != NULL && n < MAX_ENTRIES) {
            CpStr_Copy(r->flow[c->flow].hosts[n++], CP_ADDR_BYTES, at);
        }
    }
    int64_t ttl_ns = CP_NS_PER_S / 10; /* soon again after a failure */
    if (n > 0) {
        r->flow[c->flow].count = n;
        ttl_ns =
            json_integer_value(json_object_get(root, "ttl_s")) * CP_NS_PER_S;
    }
    r->flow[c->flow].until_ns = CpClock_Now_ns() + ttl_ns;
    r->flow[c->flow].asking = false;
    json_decref(root);
    r->active--;
    free(c);
}

static void
finish_ticket(Call *c, long status)
{
    json_t *root = status == 200 ? json_loads(c->text, 0, NULL) : NULL;
    const char *ticket = json_string_value(json_object_get(root, "ticket"));
    if (ticket == NULL) {
        json_decref(root);
        c->text[0] = '\0';
        if (c->tries++ < MAX_REPEATS) {
            send_call(c);
            return;
        }
        c->has_verdict = true;
        c->verdict = CP_NOT_RUN; /* there never was a ticket to run */
        c->reason = CP_REASON_NO_HOST;
        record(c, CURLE_COULDNT_CONNECT, 0);
        return;
    }
    CpStr_Copy(c->ticket, sizeof(c->ticket), ticket);
    json_decref(root);
    c->step = STEP_RUN;
    c->entry = 0;
    send_call(c);
    if (wants_echo(c, 0)) {
        start_echo(c);
    }
}

/* Half of the repeats go out beside the first, half after its answer. */
static bool
wants_echo(const Call *c, uint32_t part)
{
    const CpFlow *f = &c->runner->thread->experiment->flows[c->flow];
    uint64_t draw = CpHash(&c->tag, sizeof(c->tag), 5) % 200;
    return !c->echo && f->once && draw / 100 == part &&
           draw % 100 < f->repeat_percent;
}

/* The same ticket once more, at the next entry host. */
static void
start_echo(const Call *of)
{
    Call *c = CpMem_Alloc(sizeof(*c));
    c->runner = of->runner;
    c->flow = of->flow;
    c->step = STEP_RUN;
    c->tag = of->tag;
    c->start_ns = CpClock_Now_ns();
    c->entry = of->entry;
    c->echo = true;
    CpStr_Copy(c->ticket, sizeof(c->ticket), of->ticket);
    c->runner->active++;
    c->runner->flow[c->flow].running++;
    c->runner->thread->results[c->flow].repeats++;
    send_call(c);
}

static void
finish_run(Call *c, CURLcode code, long status)
{
    if (try_again(c, code, status)) {
        CpFlowResult *res = &c->runner->thread->results[c->flow];
        res->repeats++;
        c->tries++;
        send_call(c);
        return;
    }
    record(c, code, status);
}

/* A caller repeats what cannot have run, what may run twice, and a ticket
 * whose outcome is unclear; the baseline repeats without a limit. */
static bool
try_again(Call *c, CURLcode code, long status)
{
    const CpFlow *f = &c->runner->thread->experiment->flows[c->flow];
    int64_t used_ms = (CpClock_Now_ns() - c->start_ns) / CP_NS_PER_MS;
    if (status >= 200 && status < 300) {
        return false;
    }
    bool unsent = code == CURLE_COULDNT_CONNECT;
    if (f->once && !unsent && (code != CURLE_OK || c->verdict != CP_NOT_RUN)) {
        c->may_have_run = true;
    }
    if (f->round_robin) {
        return used_ms < f->deadline_ms;
    }
    if (f->direct || c->tries >= MAX_REPEATS || used_ms >= f->deadline_ms) {
        return false;
    }
    return unsent || (code != CURLE_OK && (f->once || f->repeat_lost));
}

static void
record(Call *c, CURLcode code, long status)
{
    CpFlowResult *res = &c->runner->thread->results[c->flow];
    const CpFlow *f = &c->runner->thread->experiment->flows[c->flow];
    bool answered = code == CURLE_OK && status >= 200 && status < 300;
    bool checked = strcmp(f->kind, "(lookup)") != 0;
    bool wrong =
        answered && checked && (c->differs || c->got_bytes != f->size_bytes);
    if (!answered && !c->has_verdict) {
        c->verdict = CP_MAY_HAVE_RUN;
    }
    if (!answered && c->may_have_run && c->verdict == CP_NOT_RUN) {
        c->verdict = CP_MAY_HAVE_RUN;
    }
    if (f->once && c->runner->thread->keys != NULL) {
        fprintf(c->runner->thread->keys, "%" PRIu64 " %s %s\n", c->tag,
                answered ? "ran" : CpVerdict_Name(c->verdict),
                CpReason_Name(c->reason));
    }
    res->wrong += wrong;
    if (!c->echo) {
        if (wants_echo(c, 1)) {
            start_echo(c);
        }
        if (answered && !wrong) {
            record_answer(c, res, f);
        }
        else if (!answered) {
            res->cut += !c->has_verdict;
            res->verdicts[c->verdict]++;
            res->reasons[c->reason]++;
        }
    }
    end_call(c);
}

static void
record_answer(Call *c, CpFlowResult *res, const CpFlow *f)
{
    int64_t now_ns = CpClock_Now_ns(), ns = now_ns - c->start_ns;
    int64_t s = (now_ns - c->runner->thread->start_ns) / CP_NS_PER_S;
    bool late = ns > f->deadline_ms * CP_NS_PER_MS;
    res->late += late;
    res->ok += !late;
    res->ok_in_s[s < CP_LOAD_MAX_SECONDS ? s : 0]++;
    res->bytes += c->got_bytes;
    add_latency(res, ns);
}

static void
end_call(Call *c)
{
    c->runner->flow[c->flow].running--;
    c->runner->active--;
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
    char want[16 * 1024];
    n *= size;
    if (c->step != STEP_RUN ||
        strcmp(c->runner->thread->experiment->flows[c->flow].kind,
               "(lookup)") == 0) {
        size_t used = strlen(c->text);
        if (used + n < sizeof(c->text)) {
            memcpy(c->text + used, data, n);
        }
        return n;
    }
    for (size_t at = 0; at < n; at += sizeof(want)) {
        size_t part = n - at < sizeof(want) ? n - at : sizeof(want);
        CpStandin_FillBody(c->tag, c->got_bytes + at, want, part);
        c->differs = c->differs || memcmp(want, data + at, part) != 0;
    }
    c->got_bytes += n;
    return n;
}

static void
add_latency(CpFlowResult *r, int64_t ns)
{
    if (r->latency_count == r->latency_room) {
        r->latency_room = r->latency_room ? 2 * r->latency_room : 1024;
        r->latency_us =
            CpMem_Realloc(r->latency_us, r->latency_room * sizeof(uint32_t));
    }
    r->latency_us[r->latency_count++] = (uint32_t)(ns / 1000);
}
