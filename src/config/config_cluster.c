/* The cluster configuration: field tables, parser, YAML output and diff. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/config_int.h"

static const CpField region_fields[] = {
    CP_TEXT_FIELD(CpRegion, name, true),
    CP_U32_FIELD(CpRegion, max_inflight, 0, 1000000, 0, "requests"),
    {0},
};
static const CpField domain_fields[] = {
    CP_TEXT_FIELD(CpDomain, name, true),
    CP_TEXT_FIELD(CpDomain, region, true),
    CP_U32_REQUIRED(CpDomain, shift_cap_per_s, 1, 1000000, "requests/s"),
    CP_BOOL_FIELD(CpDomain, drained, 0),
    {0},
};
static const CpField link_fields[] = {
    CP_TEXT_FIELD(CpLink, from, true),
    CP_TEXT_FIELD(CpLink, to, true),
    CP_U32_REQUIRED(CpLink, cap_kbit_s, 100, 100000000, "kbit/s"),
    CP_U32_FIELD(CpLink, latency_us, 0, 1000000, 0, "us"),
    {0},
};
static const CpField host_fields[] = {
    CP_TEXT_FIELD(CpHost, name, true),
    CP_TEXT_FIELD(CpHost, domain, true),
    CP_TEXT_FIELD(CpHost, caller, true),
    CP_TEXT_FIELD(CpHost, inner, true),
    CP_TEXT_FIELD(CpHost, operator_listen, true),
    {0},
};
static const CpField pool_fields[] = {
    CP_TEXT_FIELD(CpPool, name, true),
    {0},
};
static const CpField server_fields[] = {
    CP_TEXT_FIELD(CpServer, name, true),
    CP_TEXT_FIELD(CpServer, domain, true),
    CP_TEXT_FIELD(CpServer, address, true),
    CP_TEXT_FIELD(CpServer, pool, true),
    CP_U32_REQUIRED(CpServer, slots, 1, 10000, "requests"),
    CP_U32_REQUIRED(CpServer, connections, 1, 100000, "connections"),
    CP_BOOL_FIELD(CpServer, leaving, 0),
    {0},
};
static const CpField rank_fields[] = {
    CP_TEXT_FIELD(CpRank, name, true),
    CP_U32_FIELD(CpRank, floor_percent, 0, 50, 0, "percent"),
    {0},
};
static const CpField kind_fields[] = {
    CP_TEXT_FIELD(CpKind, name, true),
    CP_TEXT_FIELD(CpKind, rank, true),
    CP_TEXT_FIELD(CpKind, pool, true),
    CP_U32_REQUIRED(CpKind, deadline_ms, 1, 600000, "ms"),
    CP_BOOL_FIELD(CpKind, idempotent, 0),
    CP_U32_FIELD(CpKind, max_body_kb, 0, 1000000, 64, "KB"),
    {0},
};
static const CpField client_fields[] = {
    CP_TEXT_FIELD(CpClientBlock, block, true),
    CP_TEXT_FIELD(CpClientBlock, domain, true),
    {0},
};
static const CpField move_fields[] = {
    CP_TEXT_FIELD(CpMove, from, true),
    CP_TEXT_FIELD(CpMove, to, true),
    CP_U32_REQUIRED(CpMove, percent, 1, 100, "percent"),
    {0},
};

const CpField cp_config_fields[] = {
    CP_U32_REQUIRED(CpConfig, format, 1, 1, "(the only format)"),
    CP_TEXT_FIELD(CpConfig, name, true),
    CP_U32_FIELD(CpConfig, lookup_ttl_s, 1, 300, 5, "s"),
    CP_U32_FIELD(CpConfig, queue_limit, 1, 100000, 256, "requests"),
    CP_U32_FIELD(CpConfig, retry_percent, 0, 100, 10, "percent"),
    CP_U32_FIELD(CpConfig, ticket_life_s, 10, 86400, 300, "s"),
    CP_LIST_FIELD(CpConfig, regions, region_count, CpRegion, region_fields,
                  true),
    CP_LIST_FIELD(CpConfig, domains, domain_count, CpDomain, domain_fields,
                  true),
    CP_LIST_FIELD(CpConfig, links, link_count, CpLink, link_fields, false),
    CP_LIST_FIELD(CpConfig, hosts, host_count, CpHost, host_fields, true),
    CP_LIST_FIELD(CpConfig, ranks, rank_count, CpRank, rank_fields, true),
    CP_LIST_FIELD(CpConfig, pools, pool_count, CpPool, pool_fields, true),
    CP_LIST_FIELD(CpConfig, kinds, kind_count, CpKind, kind_fields, true),
    CP_LIST_FIELD(CpConfig, servers, server_count, CpServer, server_fields,
                  true),
    CP_LIST_FIELD(CpConfig, clients, client_count, CpClientBlock,
                  client_fields, false),
    CP_LIST_FIELD(CpConfig, moves, move_count, CpMove, move_fields, false),
    {0},
};

static void append_fields(GString *s, const CpField *fields, const char *in,
                          const char *indent);
static void append_scalar(GString *s, const CpField *f, const char *in);
static void diff_list(GString *s, const CpField *f, const char *a,
                      const char *b);
static char *item_key(const CpField *f, const char *item);
static const char *find_item(const CpField *f, const char *list,
                             uint32_t count, const char *key);

CpStatus
CpConfig_Parse(const char *label, const char *text, size_t text_bytes,
               CpConfig **out, CpProblems *p)
{
    CpConfig *c = CpMem_Alloc(sizeof(*c));
    uint32_t before = p->count;
    if (CpYaml_Bind(label, text, text_bytes, cp_config_fields, c, p) ==
        CP_OK) {
        CpConfig_Check(label, c, p);
    }
    if (p->count > before) {
        CpConfig_Free(c);
        return CpError_Set(CP_ERR_PARSE, "%s: %u problems", label,
                           p->count - before);
    }
    *out = c;
    return CP_OK;
}

void
CpConfig_Free(CpConfig *c)
{
    if (c != NULL) {
        CpYaml_Clear(cp_config_fields, c);
        free(c);
    }
}

char *
CpConfig_ToYaml(const CpConfig *c)
{
    GString *s = g_string_new(NULL);
    append_fields(s, cp_config_fields, (const char *)c, "");
    return g_string_free(s, FALSE);
}

char *
CpConfig_Diff(const CpConfig *a, const CpConfig *b)
{
    GString *s = g_string_new(NULL);
    for (const CpField *f = cp_config_fields; f->name != NULL; f++) {
        if (f->type == CP_FIELD_LIST) {
            diff_list(s, f, (const char *)a, (const char *)b);
            continue;
        }
        GString *text_a = g_string_new(NULL), *text_b = g_string_new(NULL);
        append_scalar(text_a, f, (const char *)a);
        append_scalar(text_b, f, (const char *)b);
        if (strcmp(text_a->str, text_b->str) != 0) {
            g_string_append_printf(s, "~ %s: %s -> %s\n", f->name, text_a->str,
                                   text_b->str);
        }
        g_string_free(text_a, TRUE);
        g_string_free(text_b, TRUE);
    }
    return g_string_free(s, FALSE);
}

static void
append_fields(GString *s, const CpField *fields, const char *in,
              const char *indent)
{
    for (const CpField *f = fields; f->name != NULL; f++) {
        const char *prefix = f == fields && *indent ? "  - " : indent;
        if (f->type != CP_FIELD_LIST) {
            g_string_append_printf(s, "%s%s: ", prefix, f->name);
            append_scalar(s, f, in);
            g_string_append_c(s, '\n');
            continue;
        }
        const char *items = *(char *const *)(const void *)(in + f->offset);
        uint32_t n = *(const uint32_t *)(const void *)(in + f->count_offset);
        if (n > 0) {
            g_string_append_printf(s, "%s:\n", f->name);
        }
        for (uint32_t i = 0; i < n; i++) {
            append_fields(s, f->item_fields, items + i * f->size_bytes,
                          "    ");
        }
    }
}

static void
append_scalar(GString *s, const CpField *f, const char *in)
{
    const void *value = in + f->offset;
    if (f->type == CP_FIELD_TEXT) {
        g_string_append_printf(s, "\"%s\"", (const char *)value);
    }
    else if (f->type == CP_FIELD_U32) {
        g_string_append_printf(s, "%u", *(const uint32_t *)value);
    }
    else {
        g_string_append(s, *(const bool *)value ? "true" : "false");
    }
}

static void
diff_list(GString *s, const CpField *f, const char *a, const char *b)
{
    const char *list_a = *(char *const *)(const void *)(a + f->offset);
    const char *list_b = *(char *const *)(const void *)(b + f->offset);
    uint32_t count_a = *(const uint32_t *)(const void *)(a + f->count_offset);
    uint32_t count_b = *(const uint32_t *)(const void *)(b + f->count_offset);
    for (uint32_t i = 0; i < count_a; i++) {
        const char *item = list_a + i * f->size_bytes;
        char *key = item_key(f, item);
        const char *other = find_item(f, list_b, count_b, key);
        if (other == NULL) {
            g_string_append_printf(s, "- %s %s\n", f->name, key);
        }
        for (const CpField *g = f->item_fields; other && g->name; g++) {
            GString *text_a = g_string_new(NULL), *text_b = g_string_new(NULL);
            append_scalar(text_a, g, item);
            append_scalar(text_b, g, other);
            if (strcmp(text_a->str, text_b->str) != 0) {
                g_string_append_printf(s, "~ %s %s %s: %s -> %s\n", f->name,
                                       key, g->name, text_a->str, text_b->str);
            }
            g_string_free(text_a, TRUE);
            g_string_free(text_b, TRUE);
        }
        free(key);
    }
    for (uint32_t i = 0; i < count_b; i++) {
        char *key = item_key(f, list_b + i * f->size_bytes);
        if (find_item(f, list_a, count_a, key) == NULL) {
            g_string_append_printf(s, "+ %s %s\n", f->name, key);
        }
        free(key);
    }
}

/* Returns the key of an item in its list: its first field, with both ends for
 * a link or move. The caller frees it. */
static char *
item_key(const CpField *f, const char *item)
{
    GString *s = g_string_new(item + f->item_fields[0].offset);
    if (strcmp(f->item_fields[0].name, "from") == 0) {
        g_string_append_printf(s, "->%s", item + f->item_fields[1].offset);
    }
    return g_string_free(s, FALSE);
}

static const char *
find_item(const CpField *f, const char *list, uint32_t count, const char *key)
{
    for (uint32_t i = 0; i < count; i++) {
        char *k = item_key(f, list + i * f->size_bytes);
        bool same = strcmp(k, key) == 0;
        free(k);
        if (same) {
            return list + i * f->size_bytes;
        }
    }
    return NULL;
}
