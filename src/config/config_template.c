/* Questionnaires: the default answers of each template, with comments. */
#include <string.h>

#include "config/config.h"

typedef struct {
    const char *name;
    const char *text;
} Template;

static const char *const template_names[] = {"kaokaew", "tidewater", "small",
                                             NULL};

#define INTRO                                                                 \
    "# Questionnaire of chestnutpaddle. Change the answers, then run\n"       \
    "#   chestnutpaddle generate ANSWERS -o CONFIG\n\n"
#define DOC_TEAM "# A short name for this deployment.\n"
#define DOC_LINK                                                              \
    "# Cap of the link between each pair of regions, each way (Mbit/s), "     \
    "and\n"                                                                   \
    "# its one-way latency (us).\n"
#define DOC_SHIFT                                                             \
    "# By how many requests/s may the traffic shifted to a failure domain\n"  \
    "# grow within one second?\n"
#define DOC_TTL "# How long may callers cache a lookup (s)?\n"
#define DOC_DOMAINS                                                           \
    "# Your failure domains, and the region each is in. max_inflight "        \
    "limits\n"                                                                \
    "# the requests that run in a region at once; 0 for no limit.\n"
#define DOC_HOSTS                                                             \
    "# Entry hosts: one address each; the ports above serve callers, other\n" \
    "# hosts and operators.\n"
#define DOC_WORK                                                              \
    "# Kinds of work. rank: urgent, next or last. repeatable: is a request\n" \
    "# idempotent? If not, it runs at most once.\n"
#define DOC_FLOORS                                                            \
    "# Least share of dispatches (percent) of the lower ranks while more\n"   \
    "# urgent requests are queued.\n"
#define DOC_SERVERS                                                           \
    "# Backend servers: groups of `count` with consecutive addresses from\n"  \
    "# first_address. slots and connections: what each handles at once.\n"
#define DOC_CLIENTS "# Blocks of client addresses and their failure domains.\n"

static const Template templates[] = {
    {"kaokaew", INTRO DOC_TEAM
     "team: kaokaew\n\n" DOC_LINK
     "link_mbit_s: 280\nregion_latency_us: 12000\n\n" DOC_SHIFT
     "shift_cap_per_s: 20\n\n" DOC_TTL "lookup_ttl_s: 5\n\n" DOC_FLOORS
     "floor_next_percent: 10\nfloor_last_percent: 5\n\n"
     "caller_port: 7000\ninner_port: 7100\noperator_port: 7200\n\n" DOC_DOMAINS
     "regions:\n"
     "  - {name: north}\n  - {name: isan}\n  - {name: south}\n"
     "domains:\n"
     "  - {name: north-a, region: north}\n"
     "  - {name: north-b, region: north}\n"
     "  - {name: isan-a, region: isan}\n"
     "  - {name: isan-b, region: isan}\n"
     "  - {name: south-a, region: south}\n"
     "  - {name: south-b, region: south}\n\n" DOC_HOSTS "hosts:\n"
     "  - {domain: north-a, first_ip: 127.1.1.1, count: 3}\n"
     "  - {domain: north-b, first_ip: 127.1.2.1, count: 3}\n"
     "  - {domain: isan-a, first_ip: 127.1.3.1, count: 3}\n"
     "  - {domain: isan-b, first_ip: 127.1.4.1, count: 3}\n"
     "  - {domain: south-a, first_ip: 127.1.5.1, count: 3}\n"
     "  - {domain: south-b, first_ip: 127.1.6.1, count: 3}\n\n" DOC_WORK
     "work:\n"
     "  - {name: lookup, rank: urgent, servers: lookup,"
     " answered_within_ms: 300, repeatable: true}\n"
     "  - {name: reorder, rank: next, servers: reorder,"
     " answered_within_ms: 2000, repeatable: false}\n"
     "  - {name: bundle, rank: last, servers: bundle,"
     " answered_within_ms: 20000, repeatable: true}\n\n" DOC_SERVERS
     "servers:\n"
     "  - {group: lookup, domain: north-a, first_address: 127.2.1.1:9000,"
     " count: 3, slots: 3, connections: 660}\n"
     "  - {group: lookup, domain: north-b, first_address: 127.2.2.1:9000,"
     " count: 3, slots: 3, connections: 660}\n"
     "  - {group: lookup, domain: isan-a, first_address: 127.2.3.1:9000,"
     " count: 3, slots: 3, connections: 660}\n"
     "  - {group: lookup, domain: isan-b, first_address: 127.2.4.1:9000,"
     " count: 3, slots: 3, connections: 660}\n"
     "  - {group: lookup, domain: south-a, first_address: 127.2.5.1:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: lookup, domain: south-b, first_address: 127.2.6.1:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: reorder, domain: north-a, first_address: 127.2.1.51:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: reorder, domain: north-b, first_address: 127.2.2.51:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: reorder, domain: isan-a, first_address: 127.2.3.51:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: reorder, domain: isan-b, first_address: 127.2.4.51:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: reorder, domain: south-a, first_address: 127.2.5.51:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: reorder, domain: south-b, first_address: 127.2.6.51:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: bundle, domain: north-a, first_address: 127.2.1.101:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: bundle, domain: north-b, first_address: 127.2.2.101:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: bundle, domain: isan-a, first_address: 127.2.3.101:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: bundle, domain: isan-b, first_address: 127.2.4.101:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: bundle, domain: south-a, first_address: 127.2.5.101:9000,"
     " count: 2, slots: 3, connections: 660}\n"
     "  - {group: bundle, domain: south-b, first_address: 127.2.6.101:9000,"
     " count: 2, slots: 3, connections: 660}\n\n" DOC_CLIENTS "clients:\n"
     "  - {block: 127.3.1.0/24, domain: north-a}\n"
     "  - {block: 127.3.2.0/24, domain: north-b}\n"
     "  - {block: 127.3.3.0/24, domain: isan-a}\n"
     "  - {block: 127.3.4.0/24, domain: isan-b}\n"
     "  - {block: 127.3.5.0/24, domain: south-a}\n"
     "  - {block: 127.3.6.0/24, domain: south-b}\n"},
    {"tidewater", INTRO DOC_TEAM
     "team: tidewater\n\n" DOC_LINK
     "link_mbit_s: 4000\nregion_latency_us: 35000\n\n" DOC_SHIFT
     "shift_cap_per_s: 40\n\n" DOC_TTL "lookup_ttl_s: 5\n\n" DOC_FLOORS
     "floor_next_percent: 15\nfloor_last_percent: 5\n\n"
     "caller_port: 7000\ninner_port: 7100\noperator_port: 7200\n\n" DOC_DOMAINS
     "regions:\n"
     "  - {name: north}\n  - {name: west}\n  - {name: east}\n"
     "domains:\n"
     "  - {name: north-a, region: north}\n"
     "  - {name: north-b, region: north}\n"
     "  - {name: west-a, region: west}\n"
     "  - {name: west-b, region: west}\n"
     "  - {name: east-a, region: east}\n"
     "  - {name: east-b, region: east}\n\n" DOC_HOSTS "hosts:\n"
     "  - {domain: north-a, first_ip: 127.1.1.1, count: 4}\n"
     "  - {domain: north-b, first_ip: 127.1.2.1, count: 4}\n"
     "  - {domain: west-a, first_ip: 127.1.3.1, count: 4}\n"
     "  - {domain: west-b, first_ip: 127.1.4.1, count: 4}\n"
     "  - {domain: east-a, first_ip: 127.1.5.1, count: 4}\n"
     "  - {domain: east-b, first_ip: 127.1.6.1, count: 4}\n\n" DOC_WORK
     "work:\n"
     "  - {name: count, rank: urgent, servers: count,"
     " answered_within_ms: 400, repeatable: true}\n"
     "  - {name: payment, rank: next, servers: payment,"
     " answered_within_ms: 2000, repeatable: false}\n"
     "  - {name: archive, rank: last, servers: archive,"
     " answered_within_ms: 30000, repeatable: true}\n\n" DOC_SERVERS
     "servers:\n"
     "  - {group: count, domain: north-a, first_address: 127.2.1.1:9000,"
     " count: 4, slots: 6, connections: 800}\n"
     "  - {group: count, domain: north-b, first_address: 127.2.2.1:9000,"
     " count: 4, slots: 6, connections: 800}\n"
     "  - {group: count, domain: west-a, first_address: 127.2.3.1:9000,"
     " count: 4, slots: 6, connections: 800}\n"
     "  - {group: count, domain: west-b, first_address: 127.2.4.1:9000,"
     " count: 4, slots: 6, connections: 800}\n"
     "  - {group: count, domain: east-a, first_address: 127.2.5.1:9000,"
     " count: 3, slots: 6, connections: 800}\n"
     "  - {group: count, domain: east-b, first_address: 127.2.6.1:9000,"
     " count: 3, slots: 6, connections: 800}\n"
     "  - {group: payment, domain: north-a, first_address: 127.2.1.51:9000,"
     " count: 2, slots: 5, connections: 800}\n"
     "  - {group: payment, domain: north-b, first_address: 127.2.2.51:9000,"
     " count: 2, slots: 5, connections: 800}\n"
     "  - {group: payment, domain: west-a, first_address: 127.2.3.51:9000,"
     " count: 2, slots: 5, connections: 800}\n"
     "  - {group: payment, domain: west-b, first_address: 127.2.4.51:9000,"
     " count: 2, slots: 5, connections: 800}\n"
     "  - {group: payment, domain: east-a, first_address: 127.2.5.51:9000,"
     " count: 2, slots: 5, connections: 800}\n"
     "  - {group: payment, domain: east-b, first_address: 127.2.6.51:9000,"
     " count: 2, slots: 5, connections: 800}\n"
     "  - {group: archive, domain: north-a, first_address: 127.2.1.101:9000,"
     " count: 2, slots: 3, connections: 800}\n"
     "  - {group: archive, domain: north-b, first_address: 127.2.2.101:9000,"
     " count: 2, slots: 3, connections: 800}\n"
     "  - {group: archive, domain: west-a, first_address: 127.2.3.101:9000,"
     " count: 2, slots: 3, connections: 800}\n"
     "  - {group: archive, domain: west-b, first_address: 127.2.4.101:9000,"
     " count: 2, slots: 3, connections: 800}\n"
     "  - {group: archive, domain: east-a, first_address: 127.2.5.101:9000,"
     " count: 2, slots: 3, connections: 800}\n"
     "  - {group: archive, domain: east-b, first_address: 127.2.6.101:9000,"
     " count: 2, slots: 3, connections: 800}\n\n" DOC_CLIENTS "clients:\n"
     "  - {block: 127.3.1.0/24, domain: north-a}\n"
     "  - {block: 127.3.2.0/24, domain: north-b}\n"
     "  - {block: 127.3.3.0/24, domain: west-a}\n"
     "  - {block: 127.3.4.0/24, domain: west-b}\n"
     "  - {block: 127.3.5.0/24, domain: east-a}\n"
     "  - {block: 127.3.6.0/24, domain: east-b}\n"},
    {"small", INTRO DOC_TEAM
     "team: small\n\n" DOC_LINK
     "link_mbit_s: 1000\nregion_latency_us: 12000\n\n" DOC_SHIFT
     "shift_cap_per_s: 50\n\n" DOC_TTL "lookup_ttl_s: 2\n\n" DOC_FLOORS
     "floor_next_percent: 10\nfloor_last_percent: 5\n\n"
     "caller_port: 7000\ninner_port: 7100\noperator_port: 7200\n\n" DOC_DOMAINS
     "regions:\n"
     "  - {name: north}\n  - {name: west}\n  - {name: east}\n"
     "domains:\n"
     "  - {name: north-a, region: north}\n"
     "  - {name: west-a, region: west}\n"
     "  - {name: east-a, region: east}\n\n" DOC_HOSTS "hosts:\n"
     "  - {domain: north-a, first_ip: 127.1.1.1, count: 2}\n"
     "  - {domain: west-a, first_ip: 127.1.2.1, count: 2}\n"
     "  - {domain: east-a, first_ip: 127.1.3.1, count: 2}\n\n" DOC_WORK
     "work:\n"
     "  - {name: read, rank: urgent, servers: read,"
     " answered_within_ms: 500, repeatable: true}\n"
     "  - {name: payment, rank: next, servers: payment,"
     " answered_within_ms: 2000, repeatable: false}\n"
     "  - {name: bundle, rank: last, servers: bundle,"
     " answered_within_ms: 10000, repeatable: true}\n\n" DOC_SERVERS
     "servers:\n"
     "  - {group: read, domain: north-a, first_address: 127.2.1.1:9000,"
     " count: 2, slots: 4, connections: 100}\n"
     "  - {group: read, domain: west-a, first_address: 127.2.2.1:9000,"
     " count: 2, slots: 4, connections: 100}\n"
     "  - {group: read, domain: east-a, first_address: 127.2.3.1:9000,"
     " count: 2, slots: 4, connections: 100}\n"
     "  - {group: payment, domain: north-a, first_address: 127.2.1.51:9000,"
     " count: 2, slots: 4, connections: 100}\n"
     "  - {group: payment, domain: west-a, first_address: 127.2.2.51:9000,"
     " count: 2, slots: 4, connections: 100}\n"
     "  - {group: payment, domain: east-a, first_address: 127.2.3.51:9000,"
     " count: 2, slots: 4, connections: 100}\n"
     "  - {group: bundle, domain: north-a, first_address: 127.2.1.101:9000,"
     " count: 1, slots: 4, connections: 100}\n"
     "  - {group: bundle, domain: west-a, first_address: 127.2.2.101:9000,"
     " count: 1, slots: 4, connections: 100}\n"
     "  - {group: bundle, domain: east-a, first_address: 127.2.3.101:9000,"
     " count: 1, slots: 4, connections: 100}\n\n" DOC_CLIENTS "clients:\n"
     "  - {block: 127.3.1.0/24, domain: north-a}\n"
     "  - {block: 127.3.2.0/24, domain: west-a}\n"
     "  - {block: 127.3.3.0/24, domain: east-a}\n"},
};

const char *
CpTemplate_Text(const char *name)
{
    for (size_t i = 0; i < sizeof(templates) / sizeof(templates[0]); i++) {
        if (strcmp(templates[i].name, name) == 0) {
            return templates[i].text;
        }
    }
    return NULL;
}

const char *const *
CpTemplate_Names(void)
{
    return template_names;
}
