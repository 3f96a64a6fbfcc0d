/* Driver for the scripts of member: several tables in one process, with a
 * manual clock; scripts partition, freeze, kill and restart hosts. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "regress.h"

#define MAX_HOSTS 64
#define TICK_MS CP_PROBE_INTERVAL_MS

typedef struct Net Net;

typedef struct {
    Net *net;
    uint32_t index;
    char name[CP_NAME_BYTES];
    CpMemberTable *member;
    bool frozen;
    bool dead;
    uint64_t incarnation;
    uint64_t probes;
} Host;

struct Net {
    FILE *out;
    Host hosts[MAX_HOSTS];
    uint32_t count;
    uint32_t domains;
    bool cut[MAX_HOSTS][MAX_HOSTS];
    CpSeed seed;
    int64_t now_ns;
    uint64_t rows_sent; /* carried by probes */
};

static void start_host(Net *n, uint32_t i);
static void run_line(void *ctx, char *line);
static void run(Net *n, uint32_t ms);
static void print_view(Net *n, uint32_t i);
static void deliver_probe(void *ctx, const CpMemberEntry *to, bool remote,
                          CpMemberRow *rows, uint32_t row_count);
static void on_state_change(void *ctx, const CpMemberEntry *e,
                            CpMemberState before);
static void on_newer_config(void *ctx, const CpMemberEntry *e);
static uint64_t next_random(void *ctx);
static uint32_t index_of(const Net *n, const char *name);

void
CpDrive_Member(FILE *in, FILE *out)
{
    static Net n;
    n = (Net){.out = out, .now_ns = CP_NS_PER_S, .seed = {1}};
    CpScript_Run(in, run_line, &n);
    for (uint32_t i = 0; i < n.count; i++) {
        CpMember_Free(n.hosts[i].member);
    }
}

static void
run_line(void *ctx, char *line)
{
    Net *n = ctx;
    uint32_t a, b;
    if (sscanf(line, "hosts %u domains %u", &a, &b) == 2) {
        n->count = a;
        n->domains = b;
        for (uint32_t i = 0; i < a; i++) {
            start_host(n, i);
        }
    }
    else if (sscanf(line, "run %u ms", &a) == 1) {
        run(n, a);
    }
    else if (g_str_has_suffix(line, " domains")) {
        for (uint32_t i = 0; i < n->count; i++) {
            for (uint32_t k = 0; k < n->count; k++) {
                n->cut[i][k] =
                    line[0] == 'c' && i % n->domains != k % n->domains;
            }
        }
    }
    else if (sscanf(line, "count %u", &a) == 1) {
        uint32_t live = 0;
        for (uint32_t k = 0; k < n->count; k++) {
            live +=
                CpMember_At(n->hosts[a].member, k)->state == CP_MEMBER_LIVE;
        }
        fprintf(n->out, "h%u sees %u live\n", a, live);
    }
    else if (sscanf(line, "cut %u %u", &a, &b) == 2) {
        n->cut[a][b] = n->cut[b][a] = true;
    }
    else if (sscanf(line, "heal %u %u", &a, &b) == 2) {
        n->cut[a][b] = n->cut[b][a] = false;
    }
    else if (sscanf(line, "freeze %u", &a) == 1) {
        n->hosts[a].frozen = true;
    }
    else if (sscanf(line, "thaw %u", &a) == 1) {
        n->hosts[a].frozen = false;
    }
    else if (sscanf(line, "kill %u", &a) == 1) {
        n->hosts[a].dead = true;
    }
    else if (sscanf(line, "restart %u", &a) == 1) {
        CpMember_Free(n->hosts[a].member);
        n->hosts[a].member = NULL;
        start_host(n, a);
    }
    else if (sscanf(line, "leave %u", &a) == 1) {
        CpPoolLoad no_loads[1] = {{0}};
        CpMember_SetSelf(n->hosts[a].member, CP_MEMBER_LEAVING, 1, no_loads,
                         0);
    }
    else if (sscanf(line, "version %u %u", &a, &b) == 2) {
        CpPoolLoad no_loads[1] = {{0}};
        CpMember_SetSelf(n->hosts[a].member, CP_MEMBER_LIVE, b, no_loads, 0);
    }
    else if (sscanf(line, "show %u", &a) == 1) {
        print_view(n, a);
    }
    else if (sscanf(line, "until %u sees %u failed", &a, &b) == 2) {
        uint32_t ms = 0;
        while (ms < 60000 &&
               CpMember_Find(n->hosts[a].member, n->hosts[b].name)->state !=
                   CP_MEMBER_FAILED) {
            run(n, TICK_MS);
            ms += TICK_MS;
        }
        fprintf(n->out, "noticed within 5 s: %s\n", ms <= 5000 ? "yes" : "no");
    }
    else if (strncmp(line, "load", 4) == 0) {
        /* Probes per host since the last `load`. */
        uint64_t probes = 0;
        for (uint32_t i = 0; i < n->count; i++) {
            probes += n->hosts[i].probes;
            n->hosts[i].probes = 0;
        }
        fprintf(n->out, "probes a host in 10 s: %llu\n",
                (unsigned long long)(probes / n->count));
    }
    else {
        fprintf(n->out, "not understood: %s\n", line);
    }
}

static void
start_host(Net *n, uint32_t i)
{
    Host *h = &n->hosts[i];
    static char names[MAX_HOSTS][CP_NAME_BYTES];
    const char *list[MAX_HOSTS];
    uint32_t domains[MAX_HOSTS];
    CpPoolLoad no_loads[1] = {{0}};
    *h = (Host){.net = n, .index = i, .incarnation = CpSeed_Next(&n->seed)};
    for (uint32_t k = 0; k < n->count; k++) {
        snprintf(names[k], CP_NAME_BYTES, "h%u", k);
        list[k] = names[k];
        domains[k] = k % n->domains;
    }
    CpStr_Copy(h->name, sizeof(h->name), names[i]);
    CpMemberOptions o = {.host = h->name,
                         .incarnation = h->incarnation,
                         .send_probe = deliver_probe,
                         .on_state_change = on_state_change,
                         .on_newer_config = on_newer_config,
                         .random = next_random,
                         .ctx = h};
    h->member = CpMember_New(&o);
    CpMember_SetRoster(h->member, list, domains, n->count);
    CpMember_SetSelf(h->member, CP_MEMBER_LIVE, 1, no_loads, 0);
}

static void
run(Net *n, uint32_t ms)
{
    for (uint32_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += TICK_MS) {
        n->now_ns += TICK_MS * CP_NS_PER_MS;
        for (uint32_t i = 0; i < n->count; i++) {
            Host *h = &n->hosts[i];
            if (!h->frozen && !h->dead &&
                CpMember_Tick(h->member, n->now_ns)) {
                fprintf(n->out, "%s was paused\n", h->name);
            }
        }
    }
}

static void
print_view(Net *n, uint32_t i)
{
    fprintf(n->out, "h%u:", i);
    for (uint32_t k = 0; k < CpMember_Count(n->hosts[i].member); k++) {
        const CpMemberEntry *e = CpMember_At(n->hosts[i].member, k);
        fprintf(n->out, " %s %s v%llu", e->host, CpMemberState_Name(e->state),
                (unsigned long long)e->config_version);
    }
    fprintf(n->out, "\n");
}

/* Delivers a probe and its acknowledgement at once, unless cut or frozen. */
static void
deliver_probe(void *ctx, const CpMemberEntry *to, bool remote,
              CpMemberRow *rows, uint32_t row_count)
{
    Host *from = ctx;
    Net *n = from->net;
    uint32_t k = index_of(n, to->host), ack_count;
    CpMemberRow *ack_rows;
    Host *h = &n->hosts[k];
    from->probes++;
    n->rows_sent += row_count;
    if (h->dead && !n->cut[from->index][k]) {
        CpMember_OnConnectionRefused(from->member, h->name, n->now_ns);
        return;
    }
    if (n->cut[from->index][k] || h->frozen) {
        return;
    }
    CpMember_OnRows(h->member, from->name, rows, row_count, n->now_ns);
    ack_count = CpMember_FillRows(h->member, from->name, remote, &ack_rows);
    CpMember_OnRows(from->member, h->name, ack_rows, ack_count, n->now_ns);
}

static void
on_state_change(void *ctx, const CpMemberEntry *e, CpMemberState before)
{
    (void)ctx, (void)e, (void)before;
}

static void
on_newer_config(void *ctx, const CpMemberEntry *e)
{
    (void)ctx, (void)e;
}

static uint64_t
next_random(void *ctx)
{
    return CpSeed_Next(&((Host *)ctx)->net->seed);
}

static uint32_t
index_of(const Net *n, const char *name)
{
    for (uint32_t i = 0; i < n->count; i++) {
        if (strcmp(n->hosts[i].name, name) == 0) {
            return i;
        }
    }
    return 0;
}
