/* Driver for the scripts of steer: client blocks, choices of hosts, plans. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "regress.h"
#include "steer/steer.h"

#define MAX_BLOCKS 4096
#define MAX_HOSTS 32
#define TEXT_BYTES (64 * 1024)

typedef struct {
    FILE *out;
    CpCidrBlock blocks[MAX_BLOCKS];
    uint32_t block_count;
    CpConfig *config;
    CpTopology *topology;
    CpSteerHost hosts[MAX_HOSTS];
    uint32_t inflight[MAX_HOSTS * CP_MAX_POOLS];
    uint64_t load_hints[MAX_HOSTS * CP_MAX_POOLS];
    int64_t now_ns;
} Script;

static void run_line(void *ctx, char *line);
static void load_template(Script *s, const char *template);
static void count_choices(Script *s, const char *domain, const char *pool,
                          uint32_t times);
static void print_entry(Script *s, const char *domain);
static uint32_t linear_find(const CpCidrBlock *b, uint32_t n,
                            const uint8_t *ip, bool v6);
static void random_blocks(FILE *out, uint64_t seed, uint32_t blocks,
                          uint32_t lookups);

void
CpDrive_Steer(FILE *in, FILE *out)
{
    static Script s;
    s = (Script){.out = out};
    CpScript_Run(in, run_line, &s);
    CpTopology_Free(s.topology);
    CpConfig_Free(s.config);
}

static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    uint32_t a, b, c, d;
    uint64_t seed;
    char word[64], name[64];
    if (sscanf(line, "block %63s %u", word, &a) == 2) {
        CpCidrBlock *block = &s->blocks[s->block_count];
        if (CpCidrBlock_Parse(word, block)) {
            block->value = (uint16_t)a;
            s->block_count++;
        }
        else {
            fprintf(s->out, "no block: %s\n", word);
        }
    }
    else if (sscanf(line, "find %63s", word) == 1) {
        uint8_t ip[CP_IP_BYTES] = {0};
        bool v6;
        CpIp_Parse(word, ip, &v6);
        CpCidrMap *m = CpCidrMap_Build(s->blocks, s->block_count);
        fprintf(s->out, "%s: %d\n", word, (int)CpCidrMap_Find(m, ip, v6));
        CpCidrMap_Free(m);
    }
    else if (sscanf(line, "random blocks %" SCNu64 " %u finds %u", &seed, &a,
                    &b) == 3) {
        random_blocks(s->out, seed, a, b);
    }
    else if (sscanf(line, "template %63s", word) == 1) {
        load_template(s, word);
    }
    else if (sscanf(line,
                    "host %63s %63s pool %u queued %u inflight %u "
                    "slots %u",
                    name, word, &a, &b, &c, &d) == 6) {
        CpSteerHost *h = &s->hosts[CpConfig_FindHost(s->config, name)];
        h->state = strcmp(word, "failed") == 0    ? CP_MEMBER_FAILED
                   : strcmp(word, "leaving") == 0 ? CP_MEMBER_LEAVING
                                                  : CP_MEMBER_LIVE;
        h->load_count = s->config->pool_count;
        h->loads[a] = (CpPoolLoad){b, c, d, 5000};
    }
    else if (sscanf(line, "at %u", &a) == 1) {
        s->now_ns = a * CP_NS_PER_MS;
    }
    else if (sscanf(line, "answer %63s pool %u busy %u", name, &a, &b) == 3) {
        s->load_hints[CpConfig_FindHost(s->config, name) * CP_MAX_POOLS + a] =
            CpSteer_EncodeLoadHint(b, s->now_ns);
    }
    else if (sscanf(line, "drained %63s", word) == 1) {
        s->config->domains[CpConfig_FindDomain(s->config, word)].drained =
            true;
    }
    else if (sscanf(line, "choose %63s %63s %u times", word, name, &a) == 3) {
        count_choices(s, word, name, a);
    }
    else if (sscanf(line, "entry %63s", word) == 1) {
        print_entry(s, word);
    }
    else if (sscanf(line, "home %63s", word) == 1) {
        uint8_t ip[CP_IP_BYTES] = {0};
        bool v6;
        CpIp_Parse(word, ip, &v6);
        uint32_t home = CpSteer_HomeDomain(s->topology, ip, v6, 0);
        fprintf(s->out, "%s: %s\n", word, s->config->domains[home].name);
    }
    else if (sscanf(line, "move %63s %63s %u", word, name, &a) == 3) {
        s->config->moves = CpMem_Alloc(sizeof(CpMove));
        s->config->move_count = 1;
        s->config->moves[0].from_index = CpConfig_FindDomain(s->config, word);
        s->config->moves[0].to_index = CpConfig_FindDomain(s->config, name);
        s->config->moves[0].percent = a;
    }
    else if (strncmp(line, "plan", 4) == 0) {
        CpDomainPlan plan[MAX_HOSTS];
        CpSteer_PlanDomains(s->topology, plan);
        for (uint32_t i = 0; i < s->config->domain_count; i++) {
            fprintf(s->out, "%s: slots %u clients %u/1000\n",
                    s->config->domains[i].name, plan[i].slots,
                    plan[i].share_permille);
        }
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

static void
load_template(Script *s, const char *template)
{
    CpProblems p = {0};
    const char *text = CpTemplate_Text(template);
    if (CpConfig_Generate("t", text, strlen(text), &s->config, &p) == CP_OK) {
        s->topology = CpTopology_New(s->config);
        for (uint32_t i = 0; i < s->config->host_count; i++) {
            s->hosts[i].domain_index = s->config->hosts[i].domain_index;
            s->hosts[i].state = CP_MEMBER_LIVE;
        }
    }
}

/* Prints how often each host is chosen. */
static void
count_choices(Script *s, const char *domain, const char *pool, uint32_t times)
{
    uint32_t counts[MAX_HOSTS + 1] = {0};
    CpSeed r = {1};
    for (uint32_t i = 0; i < times; i++) {
        CpSteerRequest request = {
            .domain_index = CpConfig_FindDomain(s->config, domain),
            .pool_index = CpConfig_FindPool(s->config, pool),
            .only_domain = CP_NO_INDEX,
            .excluded_domain = CP_NO_INDEX,
            .inflight = s->inflight,
            .load_hints = s->load_hints,
            .now_ns = s->now_ns,
            .random = CpSeed_Next(&r)};
        uint32_t h = CpSteer_ChooseHost(s->topology, s->hosts, &request);
        counts[h == CP_NO_INDEX ? MAX_HOSTS : h]++;
    }
    for (uint32_t i = 0; i <= MAX_HOSTS; i++) {
        if (counts[i] > 0) {
            fprintf(s->out, "%s %u\n",
                    i == MAX_HOSTS ? "none" : s->config->hosts[i].name,
                    counts[i]);
        }
    }
}

static void
print_entry(Script *s, const char *domain)
{
    uint32_t out[CP_MAX_ENTRY_HOSTS];
    uint32_t n = CpSteer_EntryHosts(s->topology, s->hosts,
                                    CpConfig_FindDomain(s->config, domain), 0,
                                    out, CP_MAX_ENTRY_HOSTS);
    for (uint32_t i = 0; i < n; i++) {
        fprintf(s->out, "%s%s", i ? " " : "", s->config->hosts[out[i]].name);
    }
    fprintf(s->out, "\n");
}

/* Reference model of CpCidrMap_Find(): checks every block. */
static uint32_t
linear_find(const CpCidrBlock *b, uint32_t n, const uint8_t *ip, bool v6)
{
    uint32_t best = CP_NO_INDEX;
    int32_t best_bits = -1;
    for (uint32_t i = 0; i < n; i++) {
        bool in = b[i].v6 == v6;
        for (uint32_t k = 0; in && k < b[i].prefix_bits; k++) {
            in = ((ip[k / 8] ^ b[i].ip[k / 8]) >> (7 - k % 8) & 1) == 0;
        }
        if (in && b[i].prefix_bits > best_bits) {
            best = b[i].value;
            best_bits = b[i].prefix_bits;
        }
    }
    return best;
}

static void
random_blocks(FILE *out, uint64_t seed, uint32_t blocks, uint32_t lookups)
{
    static CpCidrBlock b[MAX_BLOCKS];
    CpSeed r = {seed};
    uint32_t differ = 0, hits = 0, used = 0;
    for (uint32_t i = 0; i < blocks && i < MAX_BLOCKS; i++) {
        CpCidrBlock x = {.v6 = CpSeed_Below(&r, 2) == 0,
                         .value = (uint16_t)CpSeed_Below(&r, 130)};
        uint64_t a = CpSeed_Next(&r), c = CpSeed_Next(&r);
        bool duplicate = false;
        x.prefix_bits = (uint8_t)CpSeed_Below(&r, x.v6 ? 129 : 33);
        a &= UINT64_C(0x0300ffffffff03ff); /* makes blocks nest */
        memcpy(x.ip, &a, 8);
        memcpy(x.ip + 8, &c, 8);
        for (uint32_t k = 0; k < 128; k++) { /* no bits past the prefix */
            if (k >= x.prefix_bits) {
                x.ip[k / 8] &= (uint8_t) ~(0x80 >> k % 8);
            }
        }
        for (uint32_t k = 0; k < used; k++) {
            duplicate = duplicate || (b[k].v6 == x.v6 &&
                                      b[k].prefix_bits == x.prefix_bits &&
                                      memcmp(b[k].ip, x.ip, CP_IP_BYTES) == 0);
        }
        if (!duplicate) {
            b[used++] = x;
        }
    }
    CpCidrMap *m = CpCidrMap_Build(b, used);
    for (uint32_t i = 0; i < lookups; i++) {
        uint8_t ip[CP_IP_BYTES];
        uint64_t a = CpSeed_Next(&r) & UINT64_C(0x0300ffffffff03ff);
        uint64_t c = CpSeed_Next(&r);
        bool v6 = CpSeed_Below(&r, 2) == 0;
        memcpy(ip, &a, 8);
        memcpy(ip + 8, &c, 8);
        if (CpSeed_Below(&r, 2) == 0) {
            const CpCidrBlock *block = &b[CpSeed_Below(&r, used)];
            memcpy(ip, block->ip, CP_IP_BYTES);
            v6 = block->v6;
        }
        uint32_t expected = linear_find(b, used, ip, v6);
        hits += expected != CP_NO_INDEX;
        differ += CpCidrMap_Find(m, ip, v6) != expected;
    }
    fprintf(out, "seed %" PRIu64 ": %s, %u differ\n", seed,
            hits > lookups / 4 ? "many hits" : "few hits", differ);
    CpCidrMap_Free(m);
}
