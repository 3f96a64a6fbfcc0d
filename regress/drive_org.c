/* Driver for the scripts of org: the table of keys, decisions on freshness
 * step by step, and a simulation of hosts that follow a store under faults. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "org/org.h"
#include "regress.h"

#define MAX_HOSTS 8
#define MAX_VERSIONS 4096
#define MAX_MESSAGES 512
#define STEP_MS 10
#define TICK_MS 250
#define STORE_TIMEOUT_MS 700 /* beyond a call's wait */

typedef struct {
    FILE *out;
    CpFreshness *hosts[MAX_HOSTS];
    int64_t now_ns;
    uint64_t incarnations;
    CpFreshnessQuery query;
    CpFreshnessReply reply;
} Script;

/* Faults of a simulation, in thousandths of the time, of each second or of the
 * messages; FAULT_KILL is when the first host ends, in ms. */
typedef enum {
    FAULT_STORE, /* it is silent, or answers with an older version */
    FAULT_FREEZE,
    FAULT_CUT, /* of a host, from store and hosts */
    FAULT_LOST,
    FAULT_LATE, /* a message takes seconds */
    FAULT_RESTART,
    FAULT_KILL,
    FAULT_COUNT
} Fault;
static const char *const fault_names[FAULT_COUNT] = {
    "store", "freeze", "cut", "lost", "late", "restart", "kill"};

typedef enum {
    STORE_OK,
    STORE_SILENT,
    STORE_STALE
} StoreMode;

typedef struct {
    CpFreshness *freshness;
    uint64_t incarnation;
    uint64_t version; /* of the configuration in force */
    int64_t clock_offset_ns;
    int64_t clock_rate_ppm;
    int64_t frozen_until_ms;
    int64_t cut_until_ms;
    bool ended;
    /* the call to the store */
    bool calling;
    int64_t call_sent_ms;
    int64_t call_sent_ns; /* on the host's clock */
    int64_t call_wait_ms;
    int64_t answer_ms; /* when the answer arrives; 0: not answered yet */
    uint64_t answer_version;
    int64_t retry_ms;
} SimHost;

typedef struct {
    bool is_reply;
    uint32_t from;
    uint32_t to;
    int64_t due_ms;
    CpFreshnessQuery query;
    CpFreshnessReply reply;
} Message;

typedef struct {
    uint32_t faults[FAULT_COUNT];
    bool naive; /* a reply counts from when it is received */
    CpSeed seed;
    int64_t bound_ms;
    int64_t denial_bound_ms; /* 0: none, and nothing is printed of denials */
    int64_t now_ms;
    uint32_t host_count; /* of two domains, by turns */
    SimHost hosts[MAX_HOSTS];
    uint64_t incarnations;
    int64_t commits_ms[MAX_VERSIONS]; /* acknowledged by then */
    uint64_t version;
    StoreMode mode;
    int64_t mode_until_ms;
    Message messages[MAX_MESSAGES];
    uint32_t message_count;
    uint64_t violations, fresh_steps, steps, calls, queries;
    uint64_t denial_violations, denial_steps;
    int64_t max_age_ms;
} Sim;

static void run_line(void *ctx, char *line);
static void fill_table(Script *s, uint32_t orgs, uint32_t keys);
static void run_step(Script *s, const char *line);
static void start(Script *s, const char *name, uint32_t bound_ms,
                  uint32_t denial_bound_ms);
static CpFreshness *find(Script *s, const char *name);
static void simulate(Script *s, const char *line);
static void start_faults(Sim *m);
static void restart(Sim *m, uint32_t i);
static void step_host(Sim *m, uint32_t i);
static void follow_store(Sim *m, uint32_t i);
static void copy_from_first(Sim *m, uint32_t i);
static void ask(Sim *m, uint32_t i);
static void deliver(Sim *m);
static void receive(Sim *m, const Message *msg);
static void send_message(Sim *m, Message msg);
static void check(Sim *m, uint32_t i);
static bool is_running(const Sim *m, uint32_t i);
static uint32_t rank_of(const Sim *m, uint32_t i);
static uint32_t first_of(const Sim *m, uint32_t domain, uint32_t except);
static int64_t clock_ns(const Sim *m, uint32_t i);
static bool happens(Sim *m, uint32_t milli);

void
CpDrive_Org(FILE *in, FILE *out)
{
    Script *s = CpMem_Alloc(sizeof(*s));
    s->out = out;
    CpScript_Run(in, run_line, s);
    for (uint32_t i = 0; i < MAX_HOSTS; i++) {
        CpFreshness_Free(s->hosts[i]);
    }
    free(s);
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    uint32_t a, b;
    if (sscanf(line, "table %u organisations %u keys", &a, &b) == 2) {
        fill_table(s, a, b);
    }
    else if (strncmp(line, "simulate ", 9) == 0) {
        simulate(s, line + 9);
    }
    else {
        run_step(s, line);
    }
}

static void
fill_table(Script *s, uint32_t orgs, uint32_t keys)
{
    CpOrgRegions regions = {0};
    CpOrgTable *t = CpOrgTable_New(&regions);
    char text[64];
    uint32_t right = 0, wrong = 0;
    for (uint32_t i = 0; i < orgs; i++) {
        snprintf(text, sizeof(text), "org-%u", i);
        CpOrgSpec spec = {.name = text, .name_bytes = strlen(text)};
        CpOrgTable_Add(t, &spec);
        for (uint32_t k = i; k < keys; k += orgs) {
            int n = snprintf(text, sizeof(text), "key-%u", k);
            CpOrgTable_AddKey(t, text, (size_t)n);
        }
    }
    for (uint32_t k = 0; k < 2 * keys; k++) {
        int n = snprintf(text, sizeof(text), "key-%u", k);
        const CpOrg *org = CpOrgTable_FindByKey(t, text, (size_t)n);
        snprintf(text, sizeof(text), "org-%u", k % orgs);
        bool same = org == CpOrgTable_FindByName(t, text);
        right += k < keys && same;
        wrong += (k < keys && !same) || (k >= keys && org != NULL);
    }
    fprintf(s->out, "%u organisations, %u keys: %u found, %u wrong\n",
            CpOrgTable_Count(t), CpOrgTable_CountKeys(t), right, wrong);
    CpOrgTable_Free(t);
}

/* "HOST VERB [NUMBER...]"; times are in ms, a version may have an era. */
static void
run_step(Script *s, const char *line)
{
    static const char *const asked[] = {"none", "one", "several"};
    char host[16], verb[16] = "";
    int64_t n[3] = {0};
    sscanf(line, "%15s %15s %" SCNd64 " %" SCNd64 " %" SCNd64, host, verb,
           &n[0], &n[1], &n[2]);
    if (strcmp(host, "now") == 0) {
        s->now_ns = atoi(verb) * CP_NS_PER_MS;
        return;
    }
    CpFreshness *f = find(s, host);
    CpTableVersion v = {.version = (uint64_t)n[0], .era = (uint64_t)n[1]};
    fprintf(s->out, "%" PRId64 " %s", s->now_ns / CP_NS_PER_MS, line);
    if (strcmp(verb, "starts") == 0) {
        start(s, host, (uint32_t)n[0], (uint32_t)n[1]);
    }
    else if (strcmp(verb, "keys") == 0) {
        CpFreshness_SetHasKeys(f, n[0] != 0);
    }
    else if (strcmp(verb, "usable") == 0) {
        CpFreshness_SetInForce(f, n[0] != 0);
    }
    else if (strcmp(verb, "holds") == 0) {
        CpFreshness_OnHeld(f, &v);
    }
    else if (strcmp(verb, "hears") == 0) {
        CpFreshness_OnKnown(f, &v);
    }
    else if (strcmp(verb, "read") == 0) {
        bool counts = CpFreshness_OnNothingNewer(f, &v, n[2] * CP_NS_PER_MS);
        fprintf(s->out, ": %s", counts ? "counts" : "does not");
    }
    else if (strcmp(verb, "rows") == 0) {
        CpFreshness_OnUnconfirmedRead(f);
    }
    else if (strcmp(verb, "waits") == 0) {
        fprintf(s->out, ": %u",
                CpFreshness_Wait_ms(f, (uint32_t)n[0], n[1] != 0, s->now_ns));
    }
    else if (strcmp(verb, "asks") == 0) {
        fprintf(s->out, ": %s",
                asked[CpFreshness_Ask(f, s->now_ns, &s->query)]);
    }
    else if (strcmp(verb, "replies") == 0) {
        bool useful =
            CpFreshness_Reply(f, &s->query, &v, s->now_ns, &s->reply);
        fprintf(s->out, ": %s, age %" PRId64, useful ? "yes" : "no",
                s->reply.age_ns / CP_NS_PER_MS);
    }
    else if (strcmp(verb, "gets") == 0) {
        fprintf(s->out, ": %s",
                CpFreshness_OnReply(f, &s->reply, s->now_ns) ? "counts"
                                                             : "does not");
    }
    else if (strcmp(verb, "denies") == 0) {
        fprintf(s->out, ": %s",
                CpFreshness_MayDeny(f, s->now_ns) ? "yes" : "no");
    }
    else if (strcmp(verb, "state") != 0) {
        fprintf(s->out, ": not understood");
    }
    f = find(s, host);
    int64_t age_ns = CpFreshness_Age_ns(f, s->now_ns);
    fprintf(s->out, "; %s, age %" PRId64 "%s\n",
            CpFreshness_IsFresh(f, s->now_ns) ? "fresh" : "not fresh",
            age_ns < 0 ? -1 : age_ns / CP_NS_PER_MS,
            CpFreshness_IsDue(f, s->now_ns) ? ", due" : "");
}

/* A process with a new number, in place of an earlier one of the host. */
static void
start(Script *s, const char *name, uint32_t bound_ms, uint32_t denial_bound_ms)
{
    const CpFreshnessOptions o = {.bound_ms = bound_ms,
                                  .denial_bound_ms = denial_bound_ms,
                                  .incarnation = ++s->incarnations};
    CpFreshness **f = &s->hosts[name[0] - 'a'];
    CpFreshness_Free(*f);
    *f = CpFreshness_New(&o, s->now_ns);
    CpFreshness_SetHasKeys(*f, true);
}

/* Hosts are named a to h. */
static CpFreshness *
find(Script *s, const char *name)
{
    if (s->hosts[name[0] - 'a'] == NULL) {
        start(s, name, 0, 0);
    }
    return s->hosts[name[0] - 'a'];
}

/* "HOSTS hosts BOUND SECONDS s seed SEED" and faults as "NAME MILLI". */
static void
simulate(Script *s, const char *line)
{
    Sim *m = CpMem_Alloc(sizeof(*m));
    uint32_t seconds = 0;
    sscanf(line, "%u hosts %" SCNd64 " %u s seed %" SCNu64, &m->host_count,
           &m->bound_ms, &seconds, &m->seed.state);
    for (uint32_t k = 0; k < FAULT_COUNT; k++) {
        const char *at = strstr(line, fault_names[k]);
        m->faults[k] = at != NULL ? (uint32_t)atoi(strchr(at, ' ')) : 0;
    }
    m->naive = strstr(line, "naive") != NULL;
    const char *denial = strstr(line, "denial");
    m->denial_bound_ms = denial != NULL ? atoi(strchr(denial, ' ')) : 0;
    m->version = 1;
    for (uint32_t i = 0; i < m->host_count; i++) {
        restart(m, i);
        m->hosts[i].clock_offset_ns =
            (int64_t)CpSeed_Below(&m->seed, 1000000) * CP_NS_PER_MS;
        m->hosts[i].clock_rate_ppm =
            (int64_t)CpSeed_Below(&m->seed, 1001) - 500;
    }
    while (m->now_ms < (int64_t)seconds * 1000) {
        m->now_ms += STEP_MS;
        start_faults(m);
        if (m->version + 1 < MAX_VERSIONS &&
            CpSeed_Below(&m->seed, 300) == 0 && m->mode != STORE_SILENT) {
            m->commits_ms[++m->version] = m->now_ms;
        }
        deliver(m);
        for (uint32_t i = 0; i < m->host_count; i++) {
            if (is_running(m, i)) {
                step_host(m, i);
                check(m, i);
            }
        }
    }
    fprintf(s->out,
            "%s: accepted too long %" PRIu64 ", fresh %" PRIu64
            "/1000 of the time, oldest %" PRId64
            " ms; a second: calls %" PRIu64 "/1000, queries of a host %" PRIu64
            "/1000\n",
            line, m->violations, m->fresh_steps * 1000 / m->steps,
            m->max_age_ms, m->calls * 1000 / seconds,
            m->queries * 1000 / seconds / m->host_count);
    if (m->denial_bound_ms > 0) {
        fprintf(s->out,
                "  denied from an old copy %" PRIu64 ", may deny %" PRIu64
                "/1000 of the time\n",
                m->denial_violations, m->denial_steps * 1000 / m->steps);
    }
    for (uint32_t i = 0; i < m->host_count; i++) {
        CpFreshness_Free(m->hosts[i].freshness);
    }
    free(m);
}

/* A fault lasts for up to ten seconds, so that it takes its share of the
 * time. */
static void
start_faults(Sim *m)
{
    if (m->now_ms >= m->mode_until_ms) {
        m->mode = STORE_OK;
        if (happens(m, m->faults[FAULT_STORE])) {
            m->mode =
                CpSeed_Below(&m->seed, 2) == 0 ? STORE_SILENT : STORE_STALE;
        }
        m->mode_until_ms = m->now_ms + 10 + CpSeed_Below(&m->seed, 10000);
    }
    for (uint32_t i = 0; i < m->host_count; i++) {
        SimHost *h = &m->hosts[i];
        int64_t until_ms = m->now_ms + 10 + CpSeed_Below(&m->seed, 10000);
        if (m->now_ms % 1000 == 0 && happens(m, m->faults[FAULT_FREEZE] / 5)) {
            h->frozen_until_ms = until_ms;
        }
        if (m->now_ms % 1000 == 0 && happens(m, m->faults[FAULT_CUT] / 5)) {
            h->cut_until_ms = until_ms;
        }
        if (m->now_ms % 1000 == 0 && happens(m, m->faults[FAULT_RESTART])) {
            restart(m, i);
        }
        if (m->faults[FAULT_KILL] > 0 && m->now_ms >= m->faults[FAULT_KILL] &&
            i == 0) {
            h->ended = true;
        }
    }
}

/* A host starts from the copy of another one, which may be old. */
static void
restart(Sim *m, uint32_t i)
{
    SimHost *h = &m->hosts[i];
    const CpFreshnessOptions o = {.bound_ms = (uint32_t)m->bound_ms,
                                  .denial_bound_ms =
                                      (uint32_t)m->denial_bound_ms,
                                  .incarnation = ++m->incarnations};
    CpFreshness_Free(h->freshness);
    h->freshness = CpFreshness_New(&o, clock_ns(m, i));
    h->incarnation = o.incarnation;
    h->version = m->hosts[CpSeed_Below(&m->seed, m->host_count)].version;
    h->calling = false;
    CpFreshness_SetHasKeys(h->freshness, true);
    CpFreshness_OnHeld(h->freshness, &(CpTableVersion){.version = h->version});
}

static void
step_host(Sim *m, uint32_t i)
{
    if (rank_of(m, i) < 2) {
        follow_store(m, i);
    }
    else {
        m->hosts[i].calling = false;
        copy_from_first(m, i);
    }
    if (m->now_ms % TICK_MS == 0) {
        ask(m, i);
    }
}

/* The call of a host ends with an answer, its time-out, or early. */
static void
follow_store(Sim *m, uint32_t i)
{
    SimHost *h = &m->hosts[i];
    bool cut = m->now_ms < h->cut_until_ms;
    if (!h->calling && m->now_ms >= h->retry_ms) {
        bool is_first = rank_of(m, i) == 0;
        h->calling = true;
        h->call_sent_ms = m->now_ms;
        h->call_sent_ns = clock_ns(m, i);
        h->answer_ms = 0;
        h->call_wait_ms = CpFreshness_Wait_ms(
            h->freshness, is_first ? 2000 : 10000, is_first, clock_ns(m, i));
        m->calls++;
    }
    if (!h->calling) {
        return;
    }
    uint64_t seen = m->mode != STORE_STALE ? m->version
                    : h->version > 0       ? h->version - 1
                                           : 0;
    if (h->answer_ms == 0 && !cut && m->mode != STORE_SILENT &&
        (seen > h->version ||
         m->now_ms - h->call_sent_ms >= h->call_wait_ms)) {
        h->answer_version = seen;
        h->answer_ms =
            m->now_ms + STEP_MS +
            (happens(m, m->faults[FAULT_LATE]) ? CpSeed_Below(&m->seed, 500)
                                               : CpSeed_Below(&m->seed, 30));
    }
    const CpTableVersion v = {.version = h->answer_version};
    if (h->answer_ms > 0 && m->now_ms >= h->answer_ms && !cut) {
        h->calling = false;
        if (h->answer_version > h->version) {
            h->version = h->answer_version;
            CpFreshness_OnHeld(h->freshness, &v);
            CpFreshness_OnUnconfirmedRead(h->freshness);
        }
        else {
            CpFreshness_OnNothingNewer(h->freshness, &v, h->call_sent_ns);
        }
    }
    else if (m->now_ms - h->call_sent_ms >
             h->call_wait_ms + STORE_TIMEOUT_MS) {
        h->calling = false;
        h->retry_ms = m->now_ms + 200;
        CpFreshness_OnUnconfirmedRead(h->freshness);
    }
    else if (m->now_ms - h->call_sent_ms > 800 && m->now_ms % 1000 == 0 &&
             CpFreshness_IsDue(h->freshness, clock_ns(m, i))) {
        h->calling = false;
        CpFreshness_OnUnconfirmedRead(h->freshness);
    }
}

/* A host that does not follow the store learns versions from the first one of
 * its domain, sooner or later. */
static void
copy_from_first(Sim *m, uint32_t i)
{
    SimHost *h = &m->hosts[i];
    uint32_t first = first_of(m, i % 2, i);
    if (first < m->host_count && m->now_ms >= h->cut_until_ms &&
        CpSeed_Below(&m->seed, 8) == 0 &&
        m->hosts[first].version > h->version) {
        h->version = m->hosts[first].version;
        CpFreshness_OnHeld(h->freshness,
                           &(CpTableVersion){.version = h->version});
    }
}

static void
ask(Sim *m, uint32_t i)
{
    SimHost *h = &m->hosts[i];
    CpFreshnessQuery q;
    CpFreshnessAsk asked = CpFreshness_Ask(h->freshness, clock_ns(m, i), &q);
    uint32_t own = first_of(m, i % 2, i);
    uint32_t remote = first_of(m, (i + 1) % 2, i);
    if (asked == CP_ASK_NONE) {
        return;
    }
    m->queries++;
    if (own < m->host_count) {
        send_message(m, (Message){.from = i, .to = own, .query = q});
    }
    if (remote < m->host_count &&
        (own >= m->host_count || asked == CP_ASK_SEVERAL)) {
        send_message(m, (Message){.from = i, .to = remote, .query = q});
    }
}

/* Messages to a host that is frozen wait in its socket buffer. */
static void
deliver(Sim *m)
{
    for (uint32_t k = 0; k < m->message_count;) {
        Message msg = m->messages[k];
        if (msg.due_ms > m->now_ms ||
            (!m->hosts[msg.to].ended && !is_running(m, msg.to))) {
            k++;
            continue;
        }
        m->messages[k] = m->messages[--m->message_count];
        if (!m->hosts[msg.to].ended) {
            receive(m, &msg);
        }
    }
}

static void
receive(Sim *m, const Message *msg)
{
    SimHost *h = &m->hosts[msg->to];
    const CpTableVersion held = {.version = h->version};
    CpFreshnessReply reply = msg->reply;
    if (msg->is_reply) {
        if (m->naive) {
            reply.query.sent_ns = clock_ns(m, msg->to);
        }
        CpFreshness_OnReply(h->freshness, &reply, clock_ns(m, msg->to));
        CpFreshness_OnKnown(h->freshness, &reply.version);
    }
    else if (CpFreshness_Reply(h->freshness, &msg->query, &held,
                               clock_ns(m, msg->to), &reply)) {
        send_message(m, (Message){.is_reply = true,
                                  .from = msg->to,
                                  .to = msg->from,
                                  .reply = reply});
    }
}

static void
send_message(Sim *m, Message msg)
{
    bool cut = m->now_ms < m->hosts[msg.from].cut_until_ms ||
               m->now_ms < m->hosts[msg.to].cut_until_ms;
    if (cut || m->message_count == MAX_MESSAGES ||
        happens(m, m->faults[FAULT_LOST])) {
        return;
    }
    msg.due_ms = m->now_ms + STEP_MS + CpSeed_Below(&m->seed, 30);
    if (happens(m, m->faults[FAULT_LATE])) {
        msg.due_ms += CpSeed_Below(&m->seed, 6000);
    }
    m->messages[m->message_count++] = msg;
}

/* A request that is sent now may run while the copy counts as fresh: the next
 * version then was acknowledged no longer ago than the bound. The same holds
 * of one that is denied now. */
static void
check(Sim *m, uint32_t i)
{
    SimHost *h = &m->hosts[i];
    int64_t age_ns = CpFreshness_Age_ns(h->freshness, clock_ns(m, i));
    bool fresh = CpFreshness_IsFresh(h->freshness, clock_ns(m, i));
    if (m->now_ms < 2000) {
        return; /* until the first confirmations */
    }
    m->steps++;
    m->fresh_steps += fresh;
    m->max_age_ms = age_ns / CP_NS_PER_MS > m->max_age_ms
                        ? age_ns / CP_NS_PER_MS
                        : m->max_age_ms;
    bool is_old = h->version < m->version;
    int64_t old_for_ms =
        is_old ? m->now_ms - m->commits_ms[h->version + 1] : 0;
    m->violations += fresh && old_for_ms > m->bound_ms;
    bool denies = CpFreshness_MayDeny(h->freshness, clock_ns(m, i));
    m->denial_steps += denies;
    m->denial_violations += denies && old_for_ms > m->denial_bound_ms;
}

static bool
is_running(const Sim *m, uint32_t i)
{
    return !m->hosts[i].ended && m->now_ms >= m->hosts[i].frozen_until_ms;
}

/* Hosts notice after two seconds that one has ended. */
static uint32_t
rank_of(const Sim *m, uint32_t i)
{
    uint32_t rank = 0;
    for (uint32_t k = i % 2; k < i; k += 2) {
        rank += !m->hosts[k].ended || m->now_ms < m->faults[FAULT_KILL] + 2000;
    }
    return rank;
}

static uint32_t
first_of(const Sim *m, uint32_t domain, uint32_t except)
{
    for (uint32_t k = domain; k < m->host_count; k += 2) {
        if (k != except &&
            (!m->hosts[k].ended || m->now_ms < m->faults[FAULT_KILL] + 2000)) {
            return k;
        }
    }
    return m->host_count;
}

static int64_t
clock_ns(const Sim *m, uint32_t i)
{
    const SimHost *h = &m->hosts[i];
    int64_t ns = m->now_ms * CP_NS_PER_MS;
    return h->clock_offset_ns + ns + ns / 1000000 * h->clock_rate_ppm;
}

static bool
happens(Sim *m, uint32_t milli)
{
    return milli > 0 && CpSeed_Below(&m->seed, 1000) < milli;
}
