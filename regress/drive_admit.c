/* Driver for the scripts of admit: queue of a pool, shares and loans, limits.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "regress.h"

#define MAX_ITEMS 4096
#define MAX_HOSTS 5
#define MAX_MESSAGES 64
#define MAX_SHIFT_MS 10000
#define PAUSE_EVERY_MS 1700
#define MAX_RETRY_MS 120000
#define MAX_RETRY_HOSTS 128

typedef struct {
    FILE *out;
    int64_t now_ns;
    CpAdmit *admit;
    CpAdmitItem items[MAX_ITEMS];
    CpShare share;
    CpPacer pacer;
    CpShiftLimiter shift;
    CpRetryBudget budget;
    uint32_t log[MAX_ITEMS]; /* started items, in order */
    uint32_t log_count;
} Script;

/* Reference model of the queue: one list, scanned for each decision. */
typedef struct {
    uint32_t id;
    uint32_t rank;
    int64_t deadline_ns;
    uint64_t order;
    bool queued;
} ModelItem;

typedef struct {
    ModelItem items[MAX_ITEMS];
    uint32_t count;
    uint32_t free_slots;
    uint32_t started[MAX_ITEMS];
    uint32_t started_count;
} Model;

/* A loan request or grant between hosts, which may be delayed, repeated or
 * lost. */
typedef struct {
    bool grant;
    uint32_t from;
    uint32_t to;
    uint64_t id;
    uint32_t units;
    int64_t requested_ns;
    int64_t arrives_ns;
} Message;

typedef struct {
    CpShare share;
    uint64_t incarnation;
    uint32_t viewed_owner;
    bool paused;
    uint32_t running;
    int64_t ends_ns[32];
} LoanHost;

static void run_line(void *ctx, char *line);
static void offer_foreign(Script *s, uint32_t rate, uint32_t from_ms,
                          uint32_t for_ms, uint32_t pause_ms);
static void run_shared_retries(FILE *out, uint32_t hosts, uint32_t burst,
                               uint32_t percent, uint32_t window_s,
                               uint64_t seed);
static void on_start(void *ctx, CpAdmitItem *item);
static void on_refuse(void *ctx, CpAdmitItem *item, CpReason reason);
static void random_queue(FILE *out, uint64_t seed, uint32_t steps);
static void model_dispatch(Model *model);
static void record_start(void *ctx, CpAdmitItem *item);
static void random_loans(FILE *out, uint64_t seed, uint32_t steps,
                         bool wait_for_work);
static void loan_step(LoanHost *h, uint32_t n, uint32_t i, CpSeed *r,
                      Message *messages, uint64_t *id, int64_t now_ns,
                      int64_t work_ns);
static void deliver_messages(LoanHost *h, Message *messages, CpSeed *r,
                             int64_t now_ns);
static void send_message(Message *messages, Message m);

void
CpDrive_Admit(FILE *in, FILE *out)
{
    static Script s;
    s = (Script){.out = out};
    CpScript_Run(in, run_line, &s);
    if (s.admit != NULL) {
        CpAdmit_Free(s.admit);
        s.admit = NULL;
    }
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    uint32_t a, b, c, d;
    uint64_t seed;
    char word[32], name[32];
    int64_t until_ns;
    if (sscanf(line, "pool %u %u %u %u", &a, &b, &c, &d) == 4) {
        CpAdmitOptions o = {.server_count = a,
                            .queue_limit = b,
                            .floor_percent = {0, c, d},
                            .circuit_breaker = true,
                            .on_start = on_start,
                            .on_refuse = on_refuse,
                            .ctx = s};
        s->admit = CpAdmit_New(&o);
    }
    else if (sscanf(line, "server %u slots %u", &a, &b) == 2) {
        CpAdmit_SetServer(s->admit, a, b, INT64_MAX, b > 0);
    }
    else if (sscanf(line, "at %u", &a) == 1) {
        s->now_ns = a * CP_NS_PER_MS;
        if (s->admit != NULL) {
            CpAdmit_Tick(s->admit, s->now_ns);
        }
    }
    else if (sscanf(line, "submit %u rank %u within %u", &a, &b, &c) == 3) {
        s->items[a] =
            (CpAdmitItem){.rank = b,
                          .idempotent = true,
                          .deadline_ns = s->now_ns + c * CP_NS_PER_MS};
        CpAdmit_Submit(s->admit, &s->items[a], s->now_ns);
    }
    else if (sscanf(line, "done %u %31s after %u", &a, word, &b) == 3) {
        CpOutcome outcome =
            strcmp(word, "ok") == 0            ? CP_OUTCOME_OK
            : strcmp(word, "cancelled") == 0   ? CP_OUTCOME_CANCELLED
            : strcmp(word, "unreachable") == 0 ? CP_OUTCOME_UNREACHABLE
                                               : CP_OUTCOME_FAILED;
        CpAdmit_End(s->admit, &s->items[a], outcome, b * CP_NS_PER_MS,
                    s->now_ns);
    }
    else if (strncmp(line, "slots", 5) == 0) {
        fprintf(s->out, "%" PRId64 " slots %u\n", s->now_ns / CP_NS_PER_MS,
                CpAdmit_TotalSlots(s->admit, s->now_ns));
    }
    else if (sscanf(line, "cancel %u", &a) == 1) {
        fprintf(s->out, "%s %u\n",
                CpAdmit_Remove(s->admit, &s->items[a]) ? "removed"
                                                       : "not waiting",
                a);
    }
    else if (sscanf(line, "share own %u from %u work %u", &a, &b, &c) == 3) {
        s->share = (CpShare){.own_units = a,
                             .own_usable_from_ns = b * CP_NS_PER_MS,
                             .max_work_ns = c * CP_NS_PER_MS};
    }
    else if (sscanf(line, "lend %31s inc %u id %u want %u in use %u", name, &a,
                    &b, &c, &d) == 5) {
        fprintf(s->out, "%" PRId64 " lent %s %u\n", s->now_ns / CP_NS_PER_MS,
                name, CpShare_Lend(&s->share, name, a, b, c, d, s->now_ns));
    }
    else if (sscanf(line, "borrow %31s units %u asked %u", name, &a, &b) ==
             3) {
        CpShare_RecordGrant(&s->share, name, a, b * CP_NS_PER_MS);
    }
    else if (strncmp(line, "usable", 6) == 0) {
        uint32_t n = CpShare_CountUsable(&s->share, s->now_ns, &until_ns);
        fprintf(s->out, "%" PRId64 " usable %u\n", s->now_ns / CP_NS_PER_MS,
                n);
    }
    else if (sscanf(line, "static %u of %31s", &a, name) == 2) {
        const char *const hosts[] = {"h1", "h2", "h3"};
        uint32_t sum = 0;
        for (uint32_t i = 0; i < 3; i++) {
            uint32_t n = CpShare_StaticUnits(name, a, hosts, 3, hosts[i]);
            fprintf(s->out, "%s %u ", hosts[i], n);
            sum += n;
        }
        fprintf(s->out, "sum %u\n", sum);
    }
    else if (sscanf(line, "link %u", &a) == 1) {
        CpPacer_SetRate(&s->pacer, a, s->now_ns + 1);
    }
    else if (sscanf(line, "flood link %u ms class %u frame %u", &a, &b, &c) ==
             3) {
        /* Finds the 1 s window with the most bytes. */
        static uint32_t sent[100000];
        uint64_t window = 0, most = 0;
        for (uint32_t ms = 0; ms < a; ms++) {
            sent[ms] = 0;
            while (CpPacer_TryConsume(&s->pacer, b, c,
                                      s->now_ns + ms * CP_NS_PER_MS)) {
                sent[ms] += c;
            }
            window += sent[ms];
            window -= ms >= 1000 ? sent[ms - 1000] : 0;
            most = window > most ? window : most;
        }
        s->now_ns += a * CP_NS_PER_MS;
        fprintf(s->out, "most in 1 s: %s the rate, %s 85%% of it\n",
                most <= s->pacer.rate_bytes_s ? "within" : "above",
                most * 100 >= s->pacer.rate_bytes_s * 85 ? "over" : "below");
    }
    else if (sscanf(line, "shift cap %u", &a) == 1) {
        s->shift = (CpShiftLimiter){.cap_milli = a};
    }
    else if (sscanf(line, "foreign %u for %u s", &a, &b) == 2) {
        for (uint32_t sec = 0; sec < b; sec++) {
            uint32_t n = 0;
            for (uint32_t i = 0; i < a; i++) {
                n += CpShiftLimiter_TryAdmit(
                    &s->shift, s->now_ns + i * (CP_NS_PER_S / a));
            }
            s->now_ns += CP_NS_PER_S;
            fprintf(s->out, "admitted %u\n", n);
        }
    }
    else if (sscanf(line, "foreign %u from %u ms for %u ms pauses %u ms", &a,
                    &b, &c, &d) == 4) {
        offer_foreign(s, a, b, c, d);
    }
    else if (sscanf(line, "foreign %u from %u ms for %u ms", &a, &b, &c) ==
             3) {
        offer_foreign(s, a, b, c, 0);
    }
    else if (sscanf(line, "retries %u percent %u requests", &a, &b) == 2) {
        uint32_t n = 0;
        s->budget = (CpRetryBudget){.percent = a, .max_tokens_milli = 10000};
        for (uint32_t i = 0; i < b; i++) {
            CpRetryBudget_Deposit(&s->budget, s->now_ns + 1);
            n += CpRetryBudget_TryWithdraw(&s->budget, s->now_ns + 1);
        }
        fprintf(s->out, "retried %u of %u\n", n, b);
    }
    else if (sscanf(line,
                    "hosts %u share a burst of %u and %u percent, window %u "
                    "s, seed %" SCNu64,
                    &a, &b, &c, &d, &seed) == 5) {
        run_shared_retries(s->out, a, b, c, d, seed);
    }
    else if (sscanf(line, "random queue %" SCNu64 " %u", &seed, &a) == 2) {
        random_queue(s->out, seed, a);
    }
    else if (sscanf(line, "random loans %" SCNu64 " %u %31s", &seed, &a,
                    word) == 3) {
        random_loans(s->out, seed, a, strcmp(word, "waiting") == 0);
    }
    else if (!CpDriveContention_RunLine(s->out, line)) {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

/* Sends random requests, with floods and pauses, to hosts that share a retry
 * burst; in some seconds all of them fail, in others none. Compares the
 * retries of each window, beyond the percentage of its requests, with the
 * burst. */
static void
run_shared_retries(FILE *out, uint32_t hosts, uint32_t burst, uint32_t percent,
                   uint32_t window_s, uint64_t seed)
{
    static uint32_t requests[MAX_RETRY_MS], retries[MAX_RETRY_MS];
    static CpRetryBudget budgets[MAX_RETRY_HOSTS];
    CpSeed r = {seed};
    uint32_t rate = 0, total_requests = 0, total_retries = 0,
             window_ms = window_s * 1000;
    bool failing = false;
    int64_t excess = 0, max_excess = 0;
    memset(budgets, 0, sizeof(budgets));
    for (uint32_t ms = 0; ms < MAX_RETRY_MS; ms++) {
        if (ms % 1000 == 0) {
            rate = CpSeed_Below(&r, 4) == 0 ? 0 : CpSeed_Below(&r, 2000);
            failing = CpSeed_Below(&r, 3) != 0;
        }
        requests[ms] = retries[ms] = 0;
        for (uint32_t i = 0; i < 4; i++) {
            CpRetryBudget *b = &budgets[CpSeed_Below(&r, hosts)];
            int64_t now_ns = (ms + 1) * CP_NS_PER_MS + i;
            if (CpSeed_Below(&r, 4000) >= rate) {
                continue;
            }
            b->percent = percent;
            b->window_ns = window_s * CP_NS_PER_S;
            CpRetryBudget_SetShare(b, burst, hosts);
            CpRetryBudget_Deposit(b, now_ns);
            requests[ms]++;
            retries[ms] += failing && CpRetryBudget_TryWithdraw(b, now_ns);
        }
        total_requests += requests[ms];
        total_retries += retries[ms];
        excess += (int64_t)retries[ms] * 100 - requests[ms] * percent;
        if (ms >= window_ms) {
            excess -= (int64_t)retries[ms - window_ms] * 100 -
                      requests[ms - window_ms] * percent;
        }
        max_excess = excess > max_excess ? excess : max_excess;
    }
    fprintf(out, "any window %s the burst, %s\n",
            max_excess <= burst * INT64_C(100) ? "within" : "over",
            total_retries * 100 >= total_requests * percent / 2
                ? "used"
                : "hardly used");
}

static uint32_t
id_of(const Script *s, const CpAdmitItem *item)
{
    return (uint32_t)(item - s->items);
}

/* Offers foreign requests from `from_ms` to `for_ms`, with a pause at the end
 * of each PAUSE_EVERY_MS. Compares the growth from any second to the next one
 * with the cap. */
static void
offer_foreign(Script *s, uint32_t rate, uint32_t from_ms, uint32_t for_ms,
              uint32_t pause_ms)
{
    static uint32_t admitted[MAX_SHIFT_MS];
    int64_t current = 0, previous = 0, max_growth = 0;
    memset(admitted, 0, sizeof(admitted));
    s->now_ns += CP_NS_PER_S - s->now_ns % CP_NS_PER_S;
    for (uint32_t ms = from_ms; ms < for_ms && ms < MAX_SHIFT_MS; ms++) {
        bool paused =
            (ms - from_ms) % PAUSE_EVERY_MS + pause_ms >= PAUSE_EVERY_MS;
        uint32_t due = (ms + 1) * rate / 1000 - ms * rate / 1000;
        for (uint32_t i = 0; i < due && !paused; i++) {
            admitted[ms] += CpShiftLimiter_TryAdmit(
                &s->shift, s->now_ns + ms * CP_NS_PER_MS);
        }
        current += admitted[ms];
        if (ms >= 1000) {
            current -= admitted[ms - 1000];
            previous += admitted[ms - 1000];
        }
        previous -= ms >= 2000 ? admitted[ms - 2000] : 0;
        max_growth =
            current - previous > max_growth ? current - previous : max_growth;
    }
    int64_t cap = (int64_t)s->shift.cap_milli / 1000;
    int64_t due = cap * ((for_ms - from_ms) / 1000 - 1);
    bool used = current >= (due < rate ? due : rate);
    fprintf(s->out, "growth %s the cap%s\n",
            max_growth <= cap ? "within" : "over",
            pause_ms > 0 ? ""
            : used       ? ", which is used"
                         : ", not used");
}

static void
on_start(void *ctx, CpAdmitItem *item)
{
    Script *s = ctx;
    fprintf(s->out, "%" PRId64 " start %u on %u\n", s->now_ns / CP_NS_PER_MS,
            id_of(s, item), item->server_index);
}

static void
on_refuse(void *ctx, CpAdmitItem *item, CpReason reason)
{
    Script *s = ctx;
    fprintf(s->out, "%" PRId64 " refuse %u %s\n", s->now_ns / CP_NS_PER_MS,
            id_of(s, item), CpReason_Name(reason));
}

/* Feeds the same random requests to the queue and to the model; both must
 * start the same items in the same order. */
static void
random_queue(FILE *out, uint64_t seed, uint32_t steps)
{
    static Model model;
    static Script real;
    CpSeed r = {seed};
    CpAdmitOptions o = {.server_count = 1,
                        .queue_limit = MAX_ITEMS,
                        .on_start = record_start,
                        .on_refuse = on_refuse,
                        .ctx = &real};
    uint32_t running[16], n_running = 0, differ = 0;
    model = (Model){.free_slots = 4};
    real = (Script){.out = out, .admit = CpAdmit_New(&o)};
    CpAdmit_SetServer(real.admit, 0, 4, INT64_MAX, true);
    for (uint32_t i = 0; i < steps && i < MAX_ITEMS; i++) {
        real.now_ns += CP_NS_PER_MS;
        uint32_t rank = CpSeed_Below(&r, CP_RANK_COUNT);
        int64_t deadline_ns =
            real.now_ns + (100000 + CpSeed_Below(&r, 50)) * CP_NS_PER_MS;
        real.items[i] =
            (CpAdmitItem){.rank = rank, .deadline_ns = deadline_ns};
        model.items[model.count++] =
            (ModelItem){i, rank, deadline_ns, i, true};
        CpAdmit_Submit(real.admit, &real.items[i], real.now_ns);
        model_dispatch(&model);
        while (n_running < 4 && n_running < model.started_count) {
            running[n_running] = model.started[n_running];
            n_running++;
        }
        if (CpSeed_Below(&r, 2) == 0 && model.started_count >= 4) {
            uint32_t k = CpSeed_Below(&r, 4), before = model.started_count;
            model.free_slots++;
            CpAdmit_End(real.admit, &real.items[running[k]], CP_OUTCOME_OK,
                        CP_NS_PER_MS, real.now_ns);
            model_dispatch(&model);
            running[k] =
                model.started[before < model.started_count ? before : 0];
        }
    }
    differ = model.started_count != real.log_count;
    for (uint32_t i = 0; i < model.started_count && !differ; i++) {
        differ += model.started[i] != real.log[i];
    }
    fprintf(out, "seed %" PRIu64 ": %s, %u differ\n", seed,
            model.started_count > 100 ? "over 100 started" : "few started",
            differ);
    CpAdmit_Free(real.admit);
}

static void
record_start(void *ctx, CpAdmitItem *item)
{
    Script *real = ctx;
    real->log[real->log_count++] = id_of(real, item);
}

static void
model_dispatch(Model *model)
{
    while (model->free_slots > 0) {
        ModelItem *best = NULL;
        for (uint32_t i = 0; i < model->count; i++) {
            ModelItem *x = &model->items[i];
            if (x->queued && (best == NULL || x->rank < best->rank ||
                              (x->rank == best->rank &&
                               x->deadline_ns < best->deadline_ns))) {
                best = x;
            }
        }
        if (best == NULL) {
            return;
        }
        best->queued = false;
        model->free_slots--;
        model->started[model->started_count++] = best->id;
    }
}

/* The slots in use on all hosts together never exceed the cap, even when
 * several hosts regard themselves as the owner. Without `wait_for_work`,
 * lenders reuse units while borrowers still run requests on them. */
static void
random_loans(FILE *out, uint64_t seed, uint32_t steps, bool wait_for_work)
{
    static LoanHost h[MAX_HOSTS];
    static Message messages[MAX_MESSAGES];
    const char *const names[] = {"0", "1", "2"};
    const uint32_t slots = 4, n = 3;
    const int64_t work_ns = 3000 * CP_NS_PER_MS;
    CpSeed r = {seed};
    uint64_t id = 0;
    uint32_t max_used = 0, over_cap = 0, started = 0;
    int64_t now_ns = CP_NS_PER_S;
    memset(h, 0, sizeof(h));
    memset(messages, 0, sizeof(messages));
    for (uint32_t i = 0; i < n; i++) {
        h[i].incarnation = i + 1;
        h[i].share.own_units =
            CpShare_StaticUnits("s", slots, names, n, names[i]);
        h[i].share.max_work_ns = wait_for_work ? work_ns : 0;
    }
    for (uint32_t k = 0; k < steps; k++) {
        uint32_t used = 0, i = CpSeed_Below(&r, n);
        now_ns += CpSeed_Below(&r, 60) * CP_NS_PER_MS;
        deliver_messages(h, messages, &r, now_ns);
        uint32_t before = h[i].running;
        loan_step(h, n, i, &r, messages, &id, now_ns, work_ns);
        started += h[i].running > before;
        for (uint32_t j = 0; j < n; j++) {
            uint32_t left = 0;
            for (uint32_t m = 0; m < h[j].running; m++) {
                if (h[j].ends_ns[m] > now_ns) {
                    h[j].ends_ns[left++] = h[j].ends_ns[m];
                }
            }
            h[j].running = left;
            used += left;
        }
        max_used = used > max_used ? used : max_used;
        over_cap += used > slots;
    }
    fprintf(out, "seed %" PRIu64 ": %s started, %s cap, most %s\n", seed,
            started > 1000 ? "over 1000" : "few", over_cap ? "over" : "within",
            max_used >= slots ? "reached" : "below");
}

/* One random step of a host: it pauses or resumes, changes its view of the
 * owner, requests loans or starts a request. */
static void
loan_step(LoanHost *h, uint32_t n, uint32_t i, CpSeed *r, Message *messages,
          uint64_t *id, int64_t now_ns, int64_t work_ns)
{
    LoanHost *x = &h[i];
    int64_t until_ns;
    if (CpSeed_Below(r, 20) == 0) {
        x->paused = !x->paused;
    }
    if (x->paused) {
        return;
    }
    if (CpSeed_Below(r, 60) == 0) {
        x->viewed_owner = CpSeed_Below(r, n);
        if (x->viewed_owner != i) {
            CpShare_RemoveBorrowed(&x->share);
        }
    }
    if (x->viewed_owner == i && CpSeed_Below(r, 3) == 0) {
        for (uint32_t j = 0; j < n; j++) {
            if (j != i) {
                send_message(
                    messages,
                    (Message){.from = i,
                              .to = j,
                              .id = ++*id,
                              .units = 4,
                              .requested_ns = now_ns,
                              .arrives_ns = now_ns + CpSeed_Below(r, 900) *
                                                         CP_NS_PER_MS});
            }
        }
    }
    if (x->running < CpShare_CountUsable(&x->share, now_ns, &until_ns) &&
        now_ns < until_ns) {
        x->ends_ns[x->running++] =
            now_ns + (int64_t)(CpSeed_Next(r) % (uint64_t)work_ns);
    }
}

static void
deliver_messages(LoanHost *h, Message *messages, CpSeed *r, int64_t now_ns)
{
    char name[8];
    for (uint32_t k = 0; k < MAX_MESSAGES; k++) {
        Message *m = &messages[k];
        if (m->id == 0 || m->arrives_ns > now_ns || h[m->to].paused) {
            continue;
        }
        Message message = *m;
        LoanHost *x = &h[message.to];
        m->id =
            CpSeed_Below(r, 10) == 0 ? m->id : 0; /* 1 in 10 arrives again */
        snprintf(name, sizeof(name), "%u", message.from);
        if (message.grant) {
            if (x->viewed_owner == message.to) {
                CpShare_RecordGrant(&x->share, name, message.units,
                                    message.requested_ns);
            }
            continue;
        }
        if (x->viewed_owner != message.from) {
            continue;
        }
        uint32_t units =
            CpShare_Lend(&x->share, name, h[message.from].incarnation,
                         message.id, message.units, x->running, now_ns);
        if (CpSeed_Below(r, 5) > 0) { /* else the grant is lost */
            send_message(
                messages,
                (Message){.grant = true,
                          .from = message.to,
                          .to = message.from,
                          .id = message.id,
                          .units = units,
                          .requested_ns = message.requested_ns,
                          .arrives_ns =
                              now_ns + CpSeed_Below(r, 900) * CP_NS_PER_MS});
        }
    }
}

static void
send_message(Message *messages, Message m)
{
    for (uint32_t k = 0; k < MAX_MESSAGES; k++) {
        if (messages[k].id == 0) {
            messages[k] = m;
            return;
        }
    }
}
