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
#define COPY_MS 50           /* for a host to notice a version of a peer */

typedef struct {
    char name[16];
    CpFreshness *freshness;
} ScriptHost;

typedef struct {
    FILE *out;
    ScriptHost hosts[MAX_HOSTS];
    uint32_t host_count;
    int64_t now_ns;
    uint64_t incarnations;
    CpFreshnessQuery query;
    CpFreshnessReply reply;
} Script;

/* Faults of a simulation, in thousandths of the time or of the messages. */
typedef struct {
    uint32_t store_milli;  /* silent, or answers with an older version */
    uint32_t freeze_milli; /* of each host */
    uint32_t cut_milli;    /* of each host, from store and hosts */
    uint32_t lost_milli;   /* datagrams */
    uint32_t late_milli;   /* messages that take seconds */
    uint32_t restart_milli;
    uint32_t kill_first_ms; /* the first host ends at that time; 0: never */
    bool naive;             /* a reply counts from when it is received */
} Faults;

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

typedef enum {
    MSG_QUERY,
    MSG_REPLY,
    MSG_COPY
} MessageType;
typedef struct {
    MessageType type;
    uint32_t from;
    uint32_t to;
    int64_t due_ms;
    CpFreshnessQuery query;
    CpFreshnessReply reply;
    uint64_t version;
} Message;

typedef struct {
    Faults faults;
    CpSeed seed;
    int64_t bound_ms;
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
    int64_t max_age_ms;
} Sim;

static void run_line(void *ctx, char *line);
static void fill_table(Script *s, uint32_t orgs, uint32_t keys);
static void run_step(Script *s, char *line);
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
    for (uint32_t i = 0; i < s->host_count; i++) {
        CpFreshness_Free(s->hosts[i].freshness);
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

/* Times are in ms. */
static void
run_step(Script *s, char *line)
{
    char a[16], b[16];
    int64_t ms;
    uint64_t version, era = 0;
    CpTableVersion v = {0};
    if (sscanf(line, "host %15s bound %" SCNd64, a, &ms) == 2) {
        ScriptHost *h = &s->hosts[s->host_count++];
        const CpFreshnessOptions o = {.bound_ms = (uint32_t)ms,
                                      .incarnation = ++s->incarnations};
        CpStr_Copy(h->name, sizeof(h->name), a);
        h->freshness = CpFreshness_New(&o, s->now_ns);
        CpFreshness_SetHasKeys(h->freshness, true);
    }
    else if (sscanf(line, "restart %15s bound %" SCNd64, a, &ms) == 2) {
        const CpFreshnessOptions o = {.bound_ms = (uint32_t)ms,
                                      .incarnation = ++s->incarnations};
        for (uint32_t i = 0; i < s->host_count; i++) {
            if (strcmp(s->hosts[i].name, a) == 0) {
                CpFreshness_Free(s->hosts[i].freshness);
                s->hosts[i].freshness = CpFreshness_New(&o, s->now_ns);
                CpFreshness_SetHasKeys(s->hosts[i].freshness, true);
            }
        }
    }
    else if (sscanf(line, "now %" SCNd64, &ms) == 1) {
        s->now_ns = ms * CP_NS_PER_MS;
    }
    else if (sscanf(line, "%15s has %15s", a, b) == 2) {
        CpFreshness_SetHasKeys(find(s, a), strcmp(b, "keys") == 0);
    }
    else if (sscanf(line, "%15s cannot use %15s", a, b) == 2) {
        CpFreshness_SetInForce(find(s, a), false);
    }
    else if (sscanf(line, "%15s can use %15s", a, b) == 2) {
        CpFreshness_SetInForce(find(s, a), true);
    }
    else if (sscanf(line, "%15s holds %" SCNu64 " era %" SCNu64, a, &version,
                    &era) >= 2) {
        v = (CpTableVersion){.era = era, .version = version};
        CpFreshness_OnHeld(find(s, a), &v);
    }
    else if (sscanf(line, "%15s hears of %" SCNu64, a, &version) == 2) {
        v.version = version;
        CpFreshness_OnKnown(find(s, a), &v);
    }
    else if (sscanf(line,
                    "%15s reads nothing newer than %" SCNu64 " sent %" SCNd64
                    " era %" SCNu64,
                    a, &version, &ms, &era) >= 3) {
        v = (CpTableVersion){.era = era, .version = version};
        bool counts =
            CpFreshness_OnNothingNewer(find(s, a), &v, ms * CP_NS_PER_MS);
        fprintf(s->out, "%s: %s\n", line, counts ? "counts" : "does not");
    }
    else if (sscanf(line, "%15s reads rows", a) == 1 &&
             strstr(line, "reads rows") != NULL) {
        CpFreshness_OnUnconfirmedRead(find(s, a));
    }
    else if (sscanf(line, "%15s waits %" SCNd64 " %15s", a, &ms, b) == 3) {
        fprintf(s->out, "%s: %u\n", line,
                CpFreshness_Wait_ms(find(s, a), (uint32_t)ms,
                                    strcmp(b, "first") == 0));
    }
    else if (sscanf(line, "%15s as%15s", a, b) == 2 && strcmp(b, "ks") == 0) {
        static const char *const names[] = {"none", "one", "several"};
        CpFreshnessAsk asked =
            CpFreshness_Ask(find(s, a), s->now_ns, &s->query);
        fprintf(s->out, "%" PRId64 " %s asks %s\n", s->now_ns / CP_NS_PER_MS,
                a, names[asked]);
    }
    else if (sscanf(line, "%15s replies with %" SCNu64 " era %" SCNu64, a,
                    &version, &era) >= 2) {
        v = (CpTableVersion){.era = era, .version = version};
        bool useful =
            CpFreshness_Reply(find(s, a), &s->query, &v, s->now_ns, &s->reply);
        fprintf(s->out, "%" PRId64 " %s: %s, age %" PRId64 "\n",
                s->now_ns / CP_NS_PER_MS, a, useful ? "replies" : "silent",
                s->reply.age_ns / CP_NS_PER_MS);
    }
    else if (sscanf(line, "%15s gets the %15s", a, b) == 2) {
        bool counts = CpFreshness_OnReply(find(s, a), &s->reply, s->now_ns);
        fprintf(s->out, "%" PRId64 " %s: reply %s\n", s->now_ns / CP_NS_PER_MS,
                a, counts ? "counts" : "does not");
    }
    else if (sscanf(line, "%15s state", a) == 1) {
        int64_t age_ns = CpFreshness_Age_ns(find(s, a), s->now_ns);
        fprintf(s->out, "%" PRId64 " %s: %s, age %" PRId64 ", %s\n",
                s->now_ns / CP_NS_PER_MS, a,
                CpFreshness_IsFresh(find(s, a), s->now_ns) ? "fresh"
                                                           : "not fresh",
                age_ns < 0 ? -1 : age_ns / CP_NS_PER_MS,
                CpFreshness_IsDue(find(s, a), s->now_ns) ? "due" : "not due");
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

static CpFreshness *
find(Script *s, const char *name)
{
    for (uint32_t i = 0; i < s->host_count; i++) {
        if (strcmp(s->hosts[i].name, name) == 0) {
            return s->hosts[i].freshness;
        }
    }
    return s->hosts[0].freshness;
}

/* "HOSTS hosts BOUND SECONDS s seed SEED" and faults as "NAME MILLI". */
static void
simulate(Script *s, const char *line)
{
    static const struct {
        const char *name;
        size_t offset;
    } names[] = {{"store", offsetof(Faults, store_milli)},
                 {"freeze", offsetof(Faults, freeze_milli)},
                 {"cut", offsetof(Faults, cut_milli)},
                 {"lost", offsetof(Faults, lost_milli)},
                 {"late", offsetof(Faults, late_milli)},
                 {"restart", offsetof(Faults, restart_milli)},
                 {"kill", offsetof(Faults, kill_first_ms)}};
    Sim *m = CpMem_Alloc(sizeof(*m));
    uint32_t seconds = 0;
    sscanf(line, "%u hosts %" SCNd64 " %u s seed %" SCNu64, &m->host_count,
           &m->bound_ms, &seconds, &m->seed.state);
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        const char *at = strstr(line, names[i].name);
        if (at != NULL) {
            *(uint32_t *)(void *)((char *)&m->faults + names[i].offset) =
                (uint32_t)atoi(at + strlen(names[i].name));
        }
    }
    m->faults.naive = strstr(line, "naive") != NULL;
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
    const Faults *f = &m->faults;
    if (m->now_ms >= m->mode_until_ms) {
        m->mode = STORE_OK;
        if (happens(m, f->store_milli)) {
            m->mode =
                CpSeed_Below(&m->seed, 2) == 0 ? STORE_SILENT : STORE_STALE;
        }
        m->mode_until_ms = m->now_ms + 10 + CpSeed_Below(&m->seed, 10000);
    }
    for (uint32_t i = 0; i < m->host_count; i++) {
        SimHost *h = &m->hosts[i];
        int64_t until_ms = m->now_ms + 10 + CpSeed_Below(&m->seed, 10000);
        if (m->now_ms % 1000 == 0 && happens(m, f->freeze_milli / 5)) {
            h->frozen_until_ms = until_ms;
        }
        if (m->now_ms % 1000 == 0 && happens(m, f->cut_milli / 5)) {
            h->cut_until_ms = until_ms;
        }
        if (m->now_ms % 1000 == 0 && happens(m, f->restart_milli)) {
            restart(m, i);
        }
        if (f->kill_first_ms > 0 && m->now_ms >= f->kill_first_ms && i == 0) {
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
            h->freshness, is_first ? 2000 : 10000, is_first);
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
            (happens(m, m->faults.late_milli) ? CpSeed_Below(&m->seed, 500)
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
 * its domain. */
static void
copy_from_first(Sim *m, uint32_t i)
{
    uint32_t first = first_of(m, i % 2, i);
    if (first < m->host_count && m->now_ms % COPY_MS == 0 &&
        m->hosts[first].version > m->hosts[i].version) {
        send_message(m, (Message){.type = MSG_COPY,
                                  .from = first,
                                  .to = i,
                                  .version = m->hosts[first].version});
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
        send_message(
            m, (Message){.type = MSG_QUERY, .from = i, .to = own, .query = q});
    }
    if (remote < m->host_count &&
        (own >= m->host_count || asked == CP_ASK_SEVERAL)) {
        send_message(
            m,
            (Message){.type = MSG_QUERY, .from = i, .to = remote, .query = q});
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
    switch (msg->type) {
    case MSG_QUERY:
        if (CpFreshness_Reply(h->freshness, &msg->query, &held,
                              clock_ns(m, msg->to), &reply)) {
            send_message(m, (Message){.type = MSG_REPLY,
                                      .from = msg->to,
                                      .to = msg->from,
                                      .reply = reply});
        }
        break;
    case MSG_REPLY:
        if (m->faults.naive) {
            reply.query.sent_ns = clock_ns(m, msg->to);
        }
        CpFreshness_OnReply(h->freshness, &reply, clock_ns(m, msg->to));
        CpFreshness_OnKnown(h->freshness, &reply.version);
        break;
    case MSG_COPY:
        if (msg->version > h->version) {
            h->version = msg->version;
            CpFreshness_OnHeld(h->freshness,
                               &(CpTableVersion){.version = h->version});
        }
        break;
    }
}

static void
send_message(Sim *m, Message msg)
{
    bool cut = m->now_ms < m->hosts[msg.from].cut_until_ms ||
               m->now_ms < m->hosts[msg.to].cut_until_ms;
    if (cut || m->message_count == MAX_MESSAGES ||
        happens(m, m->faults.lost_milli)) {
        return;
    }
    msg.due_ms = m->now_ms + STEP_MS + CpSeed_Below(&m->seed, 30);
    if (happens(m, m->faults.late_milli)) {
        msg.due_ms += CpSeed_Below(&m->seed, 6000);
    }
    m->messages[m->message_count++] = msg;
}

/* A request that is sent now may run while the copy counts as fresh: the next
 * version then was acknowledged no longer ago than the bound. */
static void
check(Sim *m, uint32_t i)
{
    SimHost *h = &m->hosts[i];
    int64_t age_ns = CpFreshness_Age_ns(h->freshness, clock_ns(m, i));
    bool fresh = CpFreshness_IsFresh(h->freshness, clock_ns(m, i));
    if (m->now_ms < 1000) {
        return; /* the first confirmation */
    }
    m->steps++;
    m->fresh_steps += fresh;
    m->max_age_ms = age_ns / CP_NS_PER_MS > m->max_age_ms
                        ? age_ns / CP_NS_PER_MS
                        : m->max_age_ms;
    m->violations += fresh && h->version < m->version &&
                     m->now_ms - m->commits_ms[h->version + 1] > m->bound_ms;
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
        rank +=
            !m->hosts[k].ended || m->now_ms < m->faults.kill_first_ms + 2000;
    }
    return rank;
}

static uint32_t
first_of(const Sim *m, uint32_t domain, uint32_t except)
{
    for (uint32_t k = domain; k < m->host_count; k += 2) {
        if (k != except && (!m->hosts[k].ended ||
                            m->now_ms < m->faults.kill_first_ms + 2000)) {
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
