/*
 * Decisions about tokens: which requests get one, what is moved to the pools
 * and what is asked of them.
 *
 * Own tokens, generated here and not yet used, are a range of time: those
 * generated since `own_from_ns`. Tokens from elsewhere are in the stock. A
 * host that is the pool keeps its own tokens in the stock, too.
 */
#include <stdlib.h>
#include <string.h>

#include "quota/quota_int.h"

/* Share of the allowed overshoot that tokens may use. The rest is for requests
 * that run later than their token was taken, and for hosts that divide the
 * rate by an outdated number of hosts. */
#define SLACK_SHARE 0.75
/* With no limit of the burst, tokens live long enough to be passed on. */
#define UNLIMITED_BURST_LIFE_NS (500 * CP_NS_PER_MS)
/* A pool that receives tokens in batches has to hold a few batches. */
#define MIN_POOL_S 0.25
/* A round trip between regions. */
#define ANSWER_TIMEOUT_NS (75 * CP_NS_PER_MS)
#define MAX_WAIT_NS (CP_QUOTA_MAX_WAIT_MS * CP_NS_PER_MS)
#define MAX_ASK_DELAY_NS (300 * CP_NS_PER_MS) /* its requests have ended */
#define UNANSWERED_DENIAL_NS (250 * CP_NS_PER_MS)
#define MAX_DENIAL_NS (2 * CP_NS_PER_S) /* demand moves between hosts */
/* While many hosts start, a pool gets tokens soon, but cannot tell how many.
 */
#define STARTING_DENIAL_NS (100 * CP_NS_PER_MS)
#define STARTING_MOVE_INTERVAL 1 /* in ticks */
#define MIN_DENIAL_NS (10 * CP_NS_PER_MS)
#define MAX_RETRY_AFTER_NS (10 * CP_NS_PER_S)
#define PAUSE_NS (500 * CP_NS_PER_MS) /* between ticks: a paused process */
#define DEMAND_DECAY_S 0.5
#define INFLOW_DECAY_S 1.0
/* Tokens asked for ahead and kept: as long as requests need at this demand. */
#define ASK_BELOW_S 0.15
#define ASK_FOR_S 0.3
#define ASK_AHEAD_MIN_PER_S 8.0
#define KEEP_MIN_PER_S 0.5
#define MIN_GRANT_LIFE_NS (250 * CP_NS_PER_MS)
#define BATCH_S 0.125 /* tokens of this time, in one grant */
#define MIN_MOVE (CP_QUOTA_TOKEN / 1000)

/* Messages that are sent when no lock is held any more. */
typedef struct {
    GPtrArray *messages; /* CpQuotaMessage */
} Outbox;

static CpQuotaShard *shard_of(CpQuota *q, uint64_t org);
static CpQuotaOrg *find_org(CpQuotaShard *s, uint64_t org);
static void apply_limit(CpQuota *q, CpQuotaOrg *o, const CpQuotaLimit *limit,
                        bool known, int64_t now_ns);
static void raise_burst(CpQuota *q, CpQuotaOrg *o, uint32_t additional,
                        int64_t old_life_ns, int64_t now_ns);
static void refresh(CpQuota *q, CpQuotaOrg *o, int64_t now_ns);
static int64_t own_amount(const CpQuotaOrg *o, int64_t now_ns);
static int64_t total_amount(const CpQuotaOrg *o, int64_t now_ns);
static int64_t take(CpQuotaOrg *o, int64_t amount, int64_t usable_ns,
                    int64_t now_ns, int64_t *oldest_ns);
static int64_t grant_life_ns(const CpQuotaOrg *o);
static void decide_without_token(CpQuota *q, CpQuotaOrg *o,
                                 int64_t wait_began_ns, int64_t now_ns,
                                 Outbox *out, CpQuotaDecision *d);
static void ask(CpQuota *q, CpQuotaOrg *o, uint32_t index, const char *host,
                int64_t now_ns, Outbox *out);
static int64_t ask_amount(const CpQuotaOrg *o, int64_t now_ns);
static void deny_for(CpQuotaOrg *o, int64_t denial_ns, int64_t tokens,
                     int64_t now_ns);
static uint32_t next_retry_ms(CpQuotaOrg *o, int64_t now_ns);
static int64_t batch_amount(const CpQuotaOrg *o, int64_t missing);
static int64_t promise(CpQuota *q, CpQuotaOrg *o, int64_t amount,
                       int64_t stored, int64_t now_ns);
static void tick_org(CpQuota *q, CpQuotaOrg *o, double passed_s,
                     int64_t now_ns, Outbox *out);
static void move_surplus(CpQuota *q, CpQuotaOrg *o, int64_t now_ns,
                         Outbox *out);
static bool keeps_own(const CpQuotaOrg *o);
static void tell_used(CpQuota *q, CpQuotaOrg *o, int64_t now_ns, Outbox *out);
static void on_move(CpQuota *q, const CpQuotaMessage *m, int64_t delay_ns,
                    int64_t now_ns);
static void on_ask(CpQuota *q, const CpQuotaMessage *m, int64_t now_ns,
                   CpQuotaMessage *reply);
static void on_grant(CpQuota *q, const CpQuotaMessage *m, int64_t now_ns);
static bool apply_grant(CpQuotaOrg *o, const CpQuotaRow *r, int64_t now_ns);
static uint32_t age_ms(int64_t now_ns, int64_t then_ns);
static void outbox_add(Outbox *out, CpQuotaMessageType type, const char *to,
                       const CpQuotaRow *row);
static void outbox_send(CpQuota *q, Outbox *out, int64_t now_ns);
static void send_message(CpQuota *q, CpQuotaMessage *m, int64_t now_ns);
static void count(uint64_t *counter);

CpQuota *
CpQuota_New(const CpQuotaOptions *options)
{
    CpQuota *q = CpMem_Alloc(sizeof(*q));
    q->options = *options;
    CpStr_Copy(q->host, sizeof(q->host), options->host);
    CpQuotaPeers_Init(&q->peers, q->host, options->started_ns);
    for (uint32_t i = 0; i < CP_QUOTA_SHARDS; i++) {
        pthread_mutex_init(&q->shards[i].lock, NULL);
        q->shards[i].orgs =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    }
    return q;
}

void
CpQuota_Free(CpQuota *q)
{
    for (uint32_t i = 0; i < CP_QUOTA_SHARDS; i++) {
        g_hash_table_unref(q->shards[i].orgs);
        pthread_mutex_destroy(&q->shards[i].lock);
    }
    CpQuotaPeers_Clear(&q->peers);
    free(q);
}

uint64_t
CpQuota_HashOrg(const char *name)
{
    return CpHash_Str(name, 0);
}

void
CpQuota_SetLimits(CpQuota *q, const CpQuotaLimit *limits, uint32_t limit_count,
                  int64_t now_ns)
{
    GHashTableIter it;
    gpointer value;
    for (uint32_t i = 0; i < CP_QUOTA_SHARDS; i++) {
        CpQuotaShard *s = &q->shards[i];
        pthread_mutex_lock(&s->lock);
        g_hash_table_iter_init(&it, s->orgs);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            ((CpQuotaOrg *)value)->listed = false;
        }
        for (uint32_t k = 0; k < limit_count; k++) {
            uint64_t hash = CpQuota_HashOrg(limits[k].name);
            if (shard_of(q, hash) != s || limits[k].rate_milli == 0) {
                continue;
            }
            CpQuotaOrg *o = find_org(s, hash);
            bool known = o != NULL;
            if (!known) {
                o = CpMem_Alloc(sizeof(*o));
                o->hash = hash;
                /* used if this host is restarted; see refresh() */
                o->own_from_ns =
                    q->limits_set ? now_ns : q->options.started_ns;
                o->generated = q->limits_set;
                g_hash_table_insert(s->orgs, &o->hash, o);
            }
            o->listed = true;
            apply_limit(q, o, &limits[k], known, now_ns);
        }
        g_hash_table_iter_init(&it, s->orgs);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            if (!((CpQuotaOrg *)value)->listed) {
                g_hash_table_iter_remove(&it);
            }
        }
        pthread_mutex_unlock(&s->lock);
    }
    q->limits_set = true;
}

void
CpQuota_SetHosts(CpQuota *q, const CpQuotaHostTable *table, int64_t now_ns)
{
    CpQuotaPeers_Set(&q->peers, q->host, table, now_ns);
}

void
CpQuota_TryTake(CpQuota *q, uint64_t org, int64_t wait_began_ns,
                int64_t now_ns, CpQuotaDecision *out)
{
    CpQuotaShard *s = shard_of(q, org);
    Outbox outbox = {0};
    *out = (CpQuotaDecision){.type = CP_QUOTA_GRANTED};
    pthread_mutex_lock(&s->lock);
    CpQuotaOrg *o = find_org(s, org);
    if (o != NULL) {
        refresh(q, o, now_ns);
        o->arrivals += wait_began_ns == 0;
        o->waiting -= wait_began_ns != 0 && o->waiting > 0;
        int64_t stored = total_amount(o, now_ns);
        if (stored >= CP_QUOTA_TOKEN) {
            take(o, CP_QUOTA_TOKEN, now_ns, now_ns, &out->token_ns);
        }
        else {
            decide_without_token(q, o, wait_began_ns, now_ns, &outbox, out);
            o->waiting += out->type == CP_QUOTA_WAIT;
        }
        out->stored = (uint64_t)stored;
        out->rate_milli = o->limit.rate_milli;
        out->host_count =
            o->generation > 0 ? (uint32_t)(o->rate / o->generation + 0.5) : 0;
        out->inflow_per_s = (uint32_t)(o->inflow_per_s / CP_QUOTA_TOKEN);
        out->is_pool = o->is_pool;
    }
    pthread_mutex_unlock(&s->lock);
    outbox_send(q, &outbox, now_ns);
}

void
CpQuota_CancelWait(CpQuota *q, uint64_t org)
{
    CpQuotaShard *s = shard_of(q, org);
    pthread_mutex_lock(&s->lock);
    CpQuotaOrg *o = find_org(s, org);
    if (o != NULL && o->waiting > 0) {
        o->waiting--;
    }
    pthread_mutex_unlock(&s->lock);
}

void
CpQuota_Return(CpQuota *q, uint64_t org, int64_t token_ns, int64_t now_ns)
{
    CpQuotaShard *s = shard_of(q, org);
    pthread_mutex_lock(&s->lock);
    CpQuotaOrg *o = find_org(s, org);
    /* If the pool may have been told of this token, a later one is not. */
    bool is_told = o != NULL && o->used_told_ns > 0 &&
                   now_ns - o->used_told_ns < o->life_ns;
    bool is_free = o != NULL && (!is_told || o->used >= CP_QUOTA_TOKEN);
    if (is_free && token_ns > 0) {
        o->used -= o->used < CP_QUOTA_TOKEN ? o->used : CP_QUOTA_TOKEN;
        CpQuotaStock_Add(&o->stock, CP_QUOTA_TOKEN, token_ns, token_ns,
                         now_ns);
        CpQuotaStock_Trim(&o->stock, o->capacity, now_ns);
    }
    pthread_mutex_unlock(&s->lock);
}

void
CpQuota_Tick(CpQuota *q, int64_t now_ns)
{
    char probes[CP_QUOTA_MAX_ROWS][CP_NAME_BYTES];
    Outbox outbox = {0};
    GHashTableIter it;
    gpointer value;
    int64_t passed_ns = q->tick_ns > 0 ? now_ns - q->tick_ns : 0;
    q->tick_ns = now_ns;
    q->ticks++;
    if (passed_ns > PAUSE_NS) {
        CpQuotaPeers_OnPause(&q->peers, now_ns);
    }
    CpQuotaPeers_Tick(&q->peers, now_ns);
    for (uint32_t i = 0; i < CP_QUOTA_SHARDS && passed_ns > 0; i++) {
        CpQuotaShard *s = &q->shards[i];
        pthread_mutex_lock(&s->lock);
        g_hash_table_iter_init(&it, s->orgs);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            tick_org(q, value, (double)passed_ns / CP_NS_PER_S, now_ns,
                     &outbox);
        }
        pthread_mutex_unlock(&s->lock);
    }
    outbox_send(q, &outbox, now_ns);
    uint32_t n =
        CpQuotaPeers_ListProbes(&q->peers, now_ns, probes, CP_QUOTA_MAX_ROWS);
    for (uint32_t i = 0; i < n; i++) {
        CpQuotaMessage m = {.type = CP_QUOTA_MOVE};
        CpStr_Copy(m.to, sizeof(m.to), probes[i]);
        send_message(q, &m, now_ns);
    }
}

void
CpQuota_OnMessage(CpQuota *q, const CpQuotaMessage *m, int64_t now_ns)
{
    int64_t delay_ns;
    if (!CpQuotaPeers_Accept(&q->peers, m, q->options.incarnation, now_ns,
                             &delay_ns)) {
        count(&q->rejected);
        return;
    }
    bool for_this = m->to_incarnation == q->options.incarnation;
    bool ask_is_late = m->type == CP_QUOTA_ASK && delay_ns > MAX_ASK_DELAY_NS;
    if (m->type == CP_QUOTA_GRANT) {
        if (for_this) {
            on_grant(q, m, now_ns);
        }
        return;
    }
    CpQuotaMessage reply = {.type = CP_QUOTA_GRANT,
                            .to_incarnation = m->from_incarnation};
    CpStr_Copy(reply.to, sizeof(reply.to), m->from);
    if (m->type == CP_QUOTA_MOVE && for_this && delay_ns >= 0) {
        on_move(q, m, delay_ns, now_ns);
    }
    else if (m->type == CP_QUOTA_ASK && !ask_is_late) {
        on_ask(q, m, now_ns, &reply);
    }
    else if (m->row_count > 0) {
        count(&q->rejected);
    }
    if (m->wants_reply || !for_this) {
        send_message(q, &reply, now_ns);
    }
}

void
CpQuota_GetStats(CpQuota *q, int64_t now_ns, CpQuotaStats *out)
{
    GHashTableIter it;
    gpointer value;
    *out = (CpQuotaStats){
        .asked = __atomic_load_n(&q->asked, __ATOMIC_RELAXED),
        .messages = __atomic_load_n(&q->messages, __ATOMIC_RELAXED),
        .rejected = __atomic_load_n(&q->rejected, __ATOMIC_RELAXED)};
    for (uint32_t i = 0; i < CP_QUOTA_SHARDS; i++) {
        CpQuotaShard *s = &q->shards[i];
        pthread_mutex_lock(&s->lock);
        g_hash_table_iter_init(&it, s->orgs);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            refresh(q, value, now_ns);
            out->stored += (uint64_t)total_amount(value, now_ns);
        }
        pthread_mutex_unlock(&s->lock);
    }
}

static CpQuotaShard *
shard_of(CpQuota *q, uint64_t org)
{
    return &q->shards[org % CP_QUOTA_SHARDS];
}

static CpQuotaOrg *
find_org(CpQuotaShard *s, uint64_t org)
{
    return g_hash_table_lookup(s->orgs, &org);
}

/* The lifetime L of a token follows from the bound of the requests in a
 * window W. They spend tokens generated in W and in L before it:
 *     rate * (W + L) <= rate * W + burst + slack
 * where slack is the allowed overshoot; docs/design/quotas.md. */
static void
apply_limit(CpQuota *q, CpQuotaOrg *o, const CpQuotaLimit *limit, bool known,
            int64_t now_ns)
{
    const CpQuotaOptions *c = &q->options;
    if (known && limit->rate_milli == o->limit.rate_milli &&
        limit->burst == o->limit.burst) {
        return;
    }
    if (known) {
        refresh(q, o, now_ns);
    }
    double rate = (double)limit->rate_milli * CP_QUOTA_TOKEN / 1000;
    double burst = (double)limit->burst * CP_QUOTA_TOKEN;
    double slack = (rate * c->window_s + burst) * c->overshoot_milli / 1000 +
                   (double)c->tolerance * CP_QUOTA_TOKEN;
    double min_capacity = rate * MIN_POOL_S;
    min_capacity =
        min_capacity > CP_QUOTA_TOKEN ? min_capacity : CP_QUOTA_TOKEN;
    double old_rate = known ? o->rate : rate;
    int64_t old_life_ns = o->life_ns;
    uint32_t old_burst = o->limit.burst;
    o->limit = *limit;
    o->rate = rate;
    o->life_ns = (int64_t)((burst + slack * SLACK_SHARE) / rate * CP_NS_PER_S);
    if (limit->burst == 0 && o->life_ns < UNLIMITED_BURST_LIFE_NS) {
        o->life_ns = UNLIMITED_BURST_LIFE_NS;
    }
    double spare_s = slack * SLACK_SHARE / rate / 3;
    o->move_interval = spare_s < 0.375 ? 2 : spare_s < 0.75 ? 4 : 8;
    /* Tokens spend half an interval on their way to the pool; one bucket for
     * all hosts would have these, too. */
    double moving = rate * o->move_interval * CP_QUOTA_TICK_MS / 1000 / 2;
    o->capacity =
        (int64_t)((burst > min_capacity ? burst : min_capacity) + moving);
    /* Stored tokens stay, with ages as if they had been generated at the new
     * rate: a raise loses none, and a cut drops those beyond the new bound. */
    CpQuotaStock_Resize(&o->stock, o->life_ns, old_rate / rate, now_ns);
    o->own_from_ns = now_ns - (int64_t)((double)(now_ns - o->own_from_ns) *
                                        old_rate / rate);
    o->generation *= rate / old_rate;
    o->denied_until_ns = o->promised_ns = 0;
    if (known && limit->burst > old_burst) {
        raise_burst(q, o, limit->burst - old_burst,
                    (int64_t)((double)old_life_ns * old_rate / rate), now_ns);
    }
    refresh(q, o, now_ns);
}

/* Adds this host's part of an additional burst: the tokens that would not have
 * expired yet if the burst had always been that high. A burst that is raised
 * again and again adds tokens once. */
static void
raise_burst(CpQuota *q, CpQuotaOrg *o, uint32_t additional,
            int64_t old_life_ns, int64_t now_ns)
{
    int64_t pause_ns = q->options.window_s * CP_NS_PER_S + o->life_ns;
    double amount = (double)additional * CP_QUOTA_TOKEN;
    if (o->raised_ns == 0 || now_ns - o->raised_ns > pause_ns) {
        int64_t newest_ns = now_ns - old_life_ns;
        int64_t oldest_ns =
            newest_ns - (int64_t)(amount / o->rate * CP_NS_PER_S);
        CpQuotaStock_Add(&o->stock,
                         (int64_t)(amount * o->generation / o->rate),
                         oldest_ns, newest_ns, now_ns);
        o->raised_ns = now_ns;
    }
}

/* Updates what depends on the hosts, and drops what has expired. */
static void
refresh(CpQuota *q, CpQuotaOrg *o, int64_t now_ns)
{
    uint32_t divisor = CpQuotaPeers_Divisor(&q->peers, now_ns);
    uint32_t epoch = CpQuotaPeers_Epoch(&q->peers);
    double generation = divisor > 0 ? o->rate / divisor : 0;
    if (generation == 0 || o->generation == 0) {
        int64_t own = own_amount(o, now_ns); /* none if it was 0 */
        CpQuotaStock_Add(&o->stock, own, o->own_from_ns, now_ns, now_ns);
        /* A restarted host generates from its process start on, for limits
         * that it found then. */
        bool from_start = !o->generated && CpQuotaPeers_IsRestarted(&q->peers);
        if (o->generated || (generation > 0 && !from_start)) {
            o->own_from_ns = now_ns;
        }
        o->generated = o->generated || generation > 0;
    }
    else if (generation > o->generation) {
        /* what was generated at the lower rate does not grow */
        o->own_from_ns = now_ns - (int64_t)((double)(now_ns - o->own_from_ns) *
                                            o->generation / generation);
    }
    o->generation = generation;
    if (o->epoch != epoch) {
        o->epoch = epoch;
        CpQuotaPeers_Order(&q->peers, o->hash, o->pool, o->next, &o->is_pool);
    }
    if (o->own_from_ns < now_ns - o->life_ns) {
        o->own_from_ns = now_ns - o->life_ns;
    }
    if (o->is_pool) {
        int64_t own = own_amount(o, now_ns);
        CpQuotaStock_Add(&o->stock, own, o->own_from_ns, now_ns, now_ns);
        o->own_from_ns = now_ns;
    }
    CpQuotaStock_Trim(&o->stock, o->capacity, now_ns);
}

static int64_t
own_amount(const CpQuotaOrg *o, int64_t now_ns)
{
    return (int64_t)((double)(now_ns - o->own_from_ns) * o->generation /
                     CP_NS_PER_S);
}

static int64_t
total_amount(const CpQuotaOrg *o, int64_t now_ns)
{
    return CpQuotaStock_Total(&o->stock, now_ns) + own_amount(o, now_ns);
}

/* Takes up to `amount` and returns what was taken; *oldest_ns is the time at
 * which the oldest token was generated. Those in the stock that expire before
 * `usable_ns` are left. */
static int64_t
take(CpQuotaOrg *o, int64_t amount, int64_t usable_ns, int64_t now_ns,
     int64_t *oldest_ns)
{
    int64_t taken = CpQuotaStock_Take(&o->stock, amount, usable_ns, oldest_ns);
    *oldest_ns = *oldest_ns < now_ns ? *oldest_ns : now_ns;
    int64_t own = own_amount(o, now_ns);
    int64_t rest = amount - taken < own ? amount - taken : own;
    if (rest > 0) {
        if (o->own_from_ns < *oldest_ns) {
            *oldest_ns = o->own_from_ns;
        }
        o->used_oldest_ns = o->used > 0 ? o->used_oldest_ns : o->own_from_ns;
        o->used += rest;
        /* rounded up, so that the next tokens are not more */
        o->own_from_ns +=
            (int64_t)((double)rest * CP_NS_PER_S / o->generation) + 1;
        if (o->own_from_ns > now_ns) {
            o->own_from_ns = now_ns;
        }
        o->used_newest_ns = o->own_from_ns;
    }
    return taken + rest;
}

/* Tokens that are granted must live until they arrive and are used. */
static int64_t
grant_life_ns(const CpQuotaOrg *o)
{
    return o->life_ns / 4 < MIN_GRANT_LIFE_NS ? o->life_ns / 4
                                              : MIN_GRANT_LIFE_NS;
}

static void
decide_without_token(CpQuota *q, CpQuotaOrg *o, int64_t wait_began_ns,
                     int64_t now_ns, Outbox *out, CpQuotaDecision *d)
{
    int64_t began_ns = wait_began_ns > 0 ? wait_began_ns : now_ns;
    int64_t end_ns = began_ns + MAX_WAIT_NS;
    bool has_pool = !o->is_pool && o->pool[0] != '\0';
    d->type = CP_QUOTA_DENIED;
    bool starting = CpQuotaPeers_IsStarting(&q->peers, now_ns);
    if (starting && now_ns < o->denied_until_ns &&
        o->denied_until_ns < end_ns) {
        /* Tokens are there before a caller could come back. */
        d->type = CP_QUOTA_WAIT;
        d->wait_until_ns = o->denied_until_ns;
        return;
    }
    if (now_ns < o->denied_until_ns) {
        d->unanswered = o->unanswered;
        d->retry_after_ms = next_retry_ms(o, now_ns);
        return;
    }
    if (!has_pool) {
        int64_t stored = total_amount(o, now_ns);
        deny_for(o, promise(q, o, CP_QUOTA_TOKEN, stored, now_ns), 1, now_ns);
        d->retry_after_ms = next_retry_ms(o, now_ns);
        return;
    }
    bool answer_is_due = o->ask_state != CP_QUOTA_IDLE &&
                         now_ns - o->asked_ns >= ANSWER_TIMEOUT_NS;
    if ((o->ask_state == CP_QUOTA_REPEATED && answer_is_due) ||
        now_ns >= end_ns) {
        o->ask_state = CP_QUOTA_IDLE;
        int64_t denial_ns = CpQuotaPeers_IsStarting(&q->peers, now_ns)
                                ? STARTING_DENIAL_NS
                                : UNANSWERED_DENIAL_NS;
        deny_for(o, denial_ns,
                 (int64_t)(o->rate / CP_QUOTA_TOKEN * (double)denial_ns /
                           CP_NS_PER_S),
                 now_ns);
        o->unanswered = d->unanswered = true;
        d->retry_after_ms = next_retry_ms(o, now_ns);
        return;
    }
    if (o->ask_state == CP_QUOTA_IDLE) {
        ask(q, o, 0, o->pool, now_ns, out);
        o->ask_state = CP_QUOTA_ASKED;
        o->asked_ns = now_ns;
    }
    else if (answer_is_due) {
        /* the pool again: one lost datagram shall not cost a request */
        ask(q, o, 1, o->pool, now_ns, out);
        if (o->next[0] != '\0') {
            ask(q, o, 2, o->next, now_ns, out);
        }
        o->ask_state = CP_QUOTA_REPEATED;
        o->asked_ns = now_ns;
    }
    d->type = CP_QUOTA_WAIT;
    d->wait_until_ns = o->asked_ns + ANSWER_TIMEOUT_NS;
    d->wait_until_ns = d->wait_until_ns < end_ns ? d->wait_until_ns : end_ns;
}

static void
ask(CpQuota *q, CpQuotaOrg *o, uint32_t index, const char *host,
    int64_t now_ns, Outbox *out)
{
    uint64_t id = __atomic_add_fetch(&q->ask_id, 1, __ATOMIC_RELAXED);
    int64_t amount = ask_amount(o, now_ns);
    o->asks[index] =
        (CpQuotaAsk){.id = id, .sent_ns = now_ns, .amount = amount};
    const CpQuotaRow row = {
        .org = o->hash, .ask_id = id, .amount = (uint64_t)amount};
    outbox_add(out, CP_QUOTA_ASK, host, &row);
    count(&q->asked);
}

/* What the waiting requests and those of the next moment need. */
static int64_t
ask_amount(const CpQuotaOrg *o, int64_t now_ns)
{
    double rate_per_s = o->rate / CP_QUOTA_TOKEN;
    double per_s = o->demand_per_s < rate_per_s ? o->demand_per_s : rate_per_s;
    double ahead = per_s >= ASK_AHEAD_MIN_PER_S ? per_s * ASK_FOR_S : 0;
    int64_t want = (int64_t)ahead * CP_QUOTA_TOKEN - total_amount(o, now_ns);
    int64_t needed = (int64_t)(o->waiting + 1) * CP_QUOTA_TOKEN;
    return want > needed ? want : needed;
}

/* `tokens`: how many become available in that time. */
static void
deny_for(CpQuotaOrg *o, int64_t denial_ns, int64_t tokens, int64_t now_ns)
{
    o->denied_until_ns = now_ns + denial_ns;
    o->denial_ns = denial_ns / (tokens > 0 ? tokens : 1);
    o->denied_requests = 0;
    o->unanswered = false;
}

/* Requests that are denied one after the other are told different times, as
 * far apart as tokens become available. */
static uint32_t
next_retry_ms(CpQuotaOrg *o, int64_t now_ns)
{
    int64_t denied = o->denied_requests++;
    int64_t left_ns = o->denied_until_ns - now_ns + denied * o->denial_ns;
    if (keeps_own(o)) { /* its own next tokens may be earlier */
        double missing =
            (double)((denied + 1) * CP_QUOTA_TOKEN - total_amount(o, now_ns));
        int64_t own_ns = (int64_t)(missing / o->generation * CP_NS_PER_S);
        left_ns = own_ns < left_ns ? own_ns : left_ns;
    }
    if (left_ns > MAX_RETRY_AFTER_NS) {
        left_ns = MAX_RETRY_AFTER_NS;
    }
    uint32_t ms = (uint32_t)((left_ns + CP_NS_PER_MS - 1) / CP_NS_PER_MS);
    return ms > 0 ? ms : 1;
}

/* A host that lacks many tokens asks again when a part of them is there:
 * otherwise a pool whose tokens one host uses would overflow meanwhile. */
static int64_t
batch_amount(const CpQuotaOrg *o, int64_t missing)
{
    int64_t batch = (int64_t)(o->rate * BATCH_S);
    batch = batch > CP_QUOTA_TOKEN ? batch : CP_QUOTA_TOKEN;
    return missing < batch ? missing : batch;
}

/* Returns the time until the pool has `amount` for the host that is denied:
 * those denied before are served first. */
static int64_t
promise(CpQuota *q, CpQuotaOrg *o, int64_t amount, int64_t stored,
        int64_t now_ns)
{
    double inflow = o->inflow_per_s + o->generation;
    bool starting = CpQuotaPeers_IsStarting(&q->peers, now_ns);
    if (starting && inflow < o->rate / 2) { /* other hosts start, too */
        inflow = o->rate / 2;
    }
    if (inflow < o->rate / 50) { /* nothing was moved here recently */
        inflow = o->rate / 50;
    }
    int64_t from_ns = o->promised_ns > now_ns ? o->promised_ns : now_ns;
    double missing =
        o->promised_ns > now_ns ? (double)amount : (double)(amount - stored);
    double wait_s = missing > 0 ? missing / inflow : 0;
    int64_t ready_ns = from_ns + (int64_t)(wait_s * CP_NS_PER_S);
    int64_t max_ns = starting ? STARTING_DENIAL_NS : MAX_DENIAL_NS;
    if (ready_ns > now_ns + max_ns) {
        ready_ns = now_ns + max_ns;
    }
    o->promised_ns = ready_ns;
    return ready_ns - now_ns > MIN_DENIAL_NS ? ready_ns - now_ns
                                             : MIN_DENIAL_NS;
}

static void
tick_org(CpQuota *q, CpQuotaOrg *o, double passed_s, int64_t now_ns,
         Outbox *out)
{
    refresh(q, o, now_ns);
    o->demand_per_s += (o->arrivals / passed_s - o->demand_per_s) * passed_s /
                       (DEMAND_DECAY_S + passed_s);
    if (o->arrivals == 0 && o->demand_per_s * passed_s >= 2) {
        o->demand_per_s = 0; /* the demand moved to other hosts */
    }
    o->inflow_per_s += ((double)o->inflow / passed_s - o->inflow_per_s) *
                       passed_s / (INFLOW_DECAY_S + passed_s);
    o->arrivals = 0;
    o->inflow = 0;
    if (now_ns - o->asked_ns > MAX_WAIT_NS) { /* no request waits any more */
        o->ask_state = CP_QUOTA_IDLE;
        o->waiting = 0;
    }
    if (o->is_pool || o->pool[0] == '\0') {
        return;
    }
    uint32_t interval = CpQuotaPeers_IsStarting(&q->peers, now_ns)
                            ? STARTING_MOVE_INTERVAL
                            : o->move_interval;
    int64_t stored = total_amount(o, now_ns);
    if (o->ask_state == CP_QUOTA_IDLE && now_ns >= o->denied_until_ns &&
        o->demand_per_s >= ASK_AHEAD_MIN_PER_S &&
        (double)stored < o->demand_per_s * ASK_BELOW_S * CP_QUOTA_TOKEN) {
        ask(q, o, 0, o->pool, now_ns, out);
        o->ask_state = CP_QUOTA_ASKED;
        o->asked_ns = now_ns;
    }
    else if (q->ticks % interval == 0 && o->waiting == 0) {
        move_surplus(q, o, now_ns, out);
    }
    if (q->ticks % o->move_interval == 0) {
        tell_used(q, o, now_ns, out);
    }
}

/* Where hosts use their own tokens, those in the pool would expire. In
 * exchange for the ages of what is used here, they don't: it makes no
 * difference which of two tokens a request took. A pool that denied has none
 * to exchange. */
static void
tell_used(CpQuota *q, CpQuotaOrg *o, int64_t now_ns, Outbox *out)
{
    if (o->used >= MIN_MOVE && now_ns - o->denied_until_ns > o->life_ns &&
        CpQuotaPeers_IsReachable(&q->peers, o->pool, now_ns)) {
        CpQuotaRow row = {.org = o->hash,
                          .amount = (uint64_t)o->used,
                          .newest_age_ms = age_ms(now_ns, o->used_newest_ns),
                          .oldest_age_ms = age_ms(now_ns, o->used_oldest_ns),
                          .used = true};
        outbox_add(out, CP_QUOTA_MOVE, o->pool, &row);
        o->used_told_ns = now_ns;
    }
    o->used = 0;
}

/* Own tokens are kept for the demand of this host only where they ever amount
 * to whole tokens: a fraction that expires here is of no use to anyone. */
static bool
keeps_own(const CpQuotaOrg *o)
{
    double at_most = o->generation * (double)o->life_ns / CP_NS_PER_S;
    return at_most >= 2 * CP_QUOTA_TOKEN && o->demand_per_s >= KEEP_MIN_PER_S;
}

static void
move_surplus(CpQuota *q, CpQuotaOrg *o, int64_t now_ns, Outbox *out)
{
    int64_t keep = 0, oldest_ns;
    if (keeps_own(o)) {
        keep = (int64_t)((o->demand_per_s * ASK_FOR_S + 1) * CP_QUOTA_TOKEN);
    }
    int64_t surplus = total_amount(o, now_ns) - keep;
    if (surplus < MIN_MOVE ||
        !CpQuotaPeers_IsReachable(&q->peers, o->pool, now_ns)) {
        return;
    }
    int64_t own = own_amount(o, now_ns);
    int64_t part = own < surplus ? own : surplus;
    if (part >= MIN_MOVE) {
        CpQuotaRow row = {.org = o->hash, .amount = (uint64_t)part};
        int64_t from_ns = o->own_from_ns;
        o->own_from_ns +=
            (int64_t)((double)part * CP_NS_PER_S / o->generation) + 1;
        if (o->own_from_ns > now_ns) {
            o->own_from_ns = now_ns;
        }
        row.oldest_age_ms = age_ms(now_ns, from_ns);
        row.newest_age_ms = age_ms(now_ns, o->own_from_ns);
        outbox_add(out, CP_QUOTA_MOVE, o->pool, &row);
        surplus -= part;
    }
    while (surplus > 0) {
        int64_t rest =
            CpQuotaStock_TakeOldest(&o->stock, surplus, now_ns, &oldest_ns);
        if (rest == 0) {
            break;
        }
        CpQuotaRow row = {.org = o->hash, .amount = (uint64_t)rest};
        row.oldest_age_ms = row.newest_age_ms = age_ms(now_ns, oldest_ns);
        outbox_add(out, CP_QUOTA_MOVE, o->pool, &row);
        surplus -= rest;
    }
}

static void
on_move(CpQuota *q, const CpQuotaMessage *m, int64_t delay_ns, int64_t now_ns)
{
    for (uint32_t i = 0; i < m->row_count; i++) {
        const CpQuotaRow *r = &m->rows[i];
        CpQuotaShard *s = shard_of(q, r->org);
        int64_t sent_ns = now_ns - delay_ns;
        bool wakes = false;
        pthread_mutex_lock(&s->lock);
        CpQuotaOrg *o = find_org(s, r->org);
        if (o != NULL && r->amount <= INT64_MAX / 2) {
            refresh(q, o, now_ns);
            (r->used ? CpQuotaStock_Exchange : CpQuotaStock_Add)(
                &o->stock, (int64_t)r->amount,
                sent_ns - r->oldest_age_ms * CP_NS_PER_MS,
                sent_ns - r->newest_age_ms * CP_NS_PER_MS, now_ns);
            CpQuotaStock_Trim(&o->stock, o->capacity, now_ns);
            o->inflow += r->used ? 0 : (int64_t)r->amount;
            wakes = o->waiting > 0;
        }
        pthread_mutex_unlock(&s->lock);
        if (wakes) {
            q->options.on_change(q->options.ctx, r->org);
        }
    }
}

static void
on_ask(CpQuota *q, const CpQuotaMessage *m, int64_t now_ns,
       CpQuotaMessage *reply)
{
    for (uint32_t i = 0; i < m->row_count; i++) {
        const CpQuotaRow *r = &m->rows[i];
        CpQuotaShard *s = shard_of(q, r->org);
        CpQuotaRow *g = &reply->rows[reply->row_count++];
        *g = (CpQuotaRow){.org = r->org, .ask_id = r->ask_id};
        pthread_mutex_lock(&s->lock);
        CpQuotaOrg *o = find_org(s, r->org);
        if (o == NULL) { /* this host does not have the limit yet */
            g->retry_after_ms = UNANSWERED_DENIAL_NS / CP_NS_PER_MS;
        }
        else {
            refresh(q, o, now_ns);
            int64_t oldest_ns, usable_ns = now_ns + grant_life_ns(o);
            int64_t stored = CpQuotaStock_Total(&o->stock, usable_ns) +
                             own_amount(o, now_ns);
            int64_t want =
                r->amount < INT64_MAX / 2 ? (int64_t)r->amount : INT64_MAX / 2;
            int64_t part = stored < want ? stored : want;
            part -= part % CP_QUOTA_TOKEN;
            if (part > 0) {
                g->amount =
                    (uint64_t)take(o, part, usable_ns, now_ns, &oldest_ns);
                g->oldest_age_ms = g->newest_age_ms =
                    age_ms(now_ns, oldest_ns);
            }
            if (part < want) {
                int64_t ns = promise(q, o, batch_amount(o, want - part),
                                     stored - part, now_ns);
                g->retry_after_ms =
                    (uint32_t)((ns + CP_NS_PER_MS - 1) / CP_NS_PER_MS);
            }
        }
        pthread_mutex_unlock(&s->lock);
    }
}

static void
on_grant(CpQuota *q, const CpQuotaMessage *m, int64_t now_ns)
{
    for (uint32_t i = 0; i < m->row_count; i++) {
        const CpQuotaRow *r = &m->rows[i];
        CpQuotaShard *s = shard_of(q, r->org);
        bool wakes = false;
        pthread_mutex_lock(&s->lock);
        CpQuotaOrg *o = find_org(s, r->org);
        if (o != NULL) {
            refresh(q, o, now_ns);
            wakes = apply_grant(o, r, now_ns) && o->waiting > 0;
        }
        pthread_mutex_unlock(&s->lock);
        if (wakes) {
            q->options.on_change(q->options.ctx, r->org);
        }
    }
}

/* Returns true if requests that wait should try again. The grant counts as
 * sent when it was asked for, so that no delay makes its tokens younger. */
static bool
apply_grant(CpQuotaOrg *o, const CpQuotaRow *r, int64_t now_ns)
{
    uint32_t i = 0;
    while (i < CP_QUOTA_ASK_COUNT &&
           (o->asks[i].id == 0 || o->asks[i].id != r->ask_id)) {
        i++;
    }
    if (i == CP_QUOTA_ASK_COUNT || r->amount > INT64_MAX / 2) {
        return false;
    }
    int64_t sent_ns = o->asks[i].sent_ns;
    o->asks[i].id = 0;
    CpQuotaStock_Add(&o->stock, (int64_t)r->amount,
                     sent_ns - r->oldest_age_ms * CP_NS_PER_MS,
                     sent_ns - r->newest_age_ms * CP_NS_PER_MS, now_ns);
    bool from_pool = i < 2;
    if (from_pool) {
        o->ask_state = CP_QUOTA_IDLE;
        if (r->retry_after_ms > 0) {
            int64_t missing = o->asks[i].amount - (int64_t)r->amount;
            deny_for(o, r->retry_after_ms * CP_NS_PER_MS,
                     batch_amount(o, missing) / CP_QUOTA_TOKEN, now_ns);
        }
    }
    return from_pool || r->amount > 0;
}

/* Rounded up: tokens may only appear older than they are. */
static uint32_t
age_ms(int64_t now_ns, int64_t then_ns)
{
    int64_t ms = (now_ns - then_ns + CP_NS_PER_MS - 1) / CP_NS_PER_MS;
    return ms <= 0 ? 0 : ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

/* Rows of the same type for the same host share a message. */
static void
outbox_add(Outbox *out, CpQuotaMessageType type, const char *to,
           const CpQuotaRow *row)
{
    CpQuotaMessage *m = NULL;
    if (out->messages == NULL) {
        out->messages = g_ptr_array_new_with_free_func(free);
    }
    for (guint i = 0; i < out->messages->len && m == NULL; i++) {
        CpQuotaMessage *at = g_ptr_array_index(out->messages, i);
        if (at->type == type && at->row_count < CP_QUOTA_MAX_ROWS &&
            strcmp(at->to, to) == 0) {
            m = at;
        }
    }
    if (m == NULL) {
        m = CpMem_Alloc(sizeof(*m));
        m->type = type;
        CpStr_Copy(m->to, sizeof(m->to), to);
        g_ptr_array_add(out->messages, m);
    }
    m->rows[m->row_count++] = *row;
}

static void
outbox_send(CpQuota *q, Outbox *out, int64_t now_ns)
{
    for (guint i = 0; out->messages != NULL && i < out->messages->len; i++) {
        send_message(q, g_ptr_array_index(out->messages, i), now_ns);
    }
    if (out->messages != NULL) {
        g_ptr_array_unref(out->messages);
    }
}

static void
send_message(CpQuota *q, CpQuotaMessage *m, int64_t now_ns)
{
    CpStr_Copy(m->from, sizeof(m->from), q->host);
    m->from_incarnation = q->options.incarnation;
    if (CpQuotaPeers_Address(&q->peers, m, now_ns)) {
        count(&q->messages);
        q->options.send(q->options.ctx, m);
    }
}

static void
count(uint64_t *counter)
{
    __atomic_add_fetch(counter, 1, __ATOMIC_RELAXED);
}
