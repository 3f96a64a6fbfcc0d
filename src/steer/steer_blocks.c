/* Longest-prefix match: nested blocks become disjoint sorted ranges, found
 * by binary search; for IPv4 a table by the first 16 bits narrows the search.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "steer/steer.h"

#define INDEX_BITS 16
#define INDEX_SIZE ((1u << INDEX_BITS) + 1)
#define NO_VALUE UINT16_MAX
#define MAX_NESTING 130

typedef unsigned __int128 AddressKey;

typedef struct {
    AddressKey first;
    AddressKey last;
    uint16_t value;
} Range;

struct CpCidrMap {
    uint32_t *starts4;
    uint16_t *values4;
    uint32_t count4;
    uint32_t *index4;
    AddressKey *starts6;
    uint16_t *values6;
    uint32_t count6;
};

/* Ranges under construction. */
typedef struct {
    AddressKey *starts;
    uint16_t *values;
    uint32_t count;
} RangeList;

static void flatten(const CpCidrBlock *blocks, uint32_t count, bool v6,
                    RangeList *list);
static void append_range(RangeList *list, AddressKey start, uint16_t value);
static AddressKey address_key(const uint8_t *ip, bool v6);
static int compare_range(const void *a, const void *b);
static void build_index4(CpCidrMap *m);

CpCidrMap *
CpCidrMap_Build(const CpCidrBlock *blocks, uint32_t count)
{
    CpCidrMap *m = CpMem_Alloc(sizeof(*m));
    RangeList list4 = {0}, list6 = {0};
    flatten(blocks, count, false, &list4);
    flatten(blocks, count, true, &list6);
    m->count4 = list4.count;
    m->starts4 = CpMem_Alloc((list4.count + 1) * sizeof(*m->starts4));
    m->values4 =
        CpMem_Realloc(list4.values, (list4.count + 1) * sizeof(uint16_t));
    for (uint32_t i = 0; i < list4.count; i++) {
        m->starts4[i] = (uint32_t)list4.starts[i];
    }
    free(list4.starts);
    m->count6 = list6.count;
    m->starts6 =
        CpMem_Realloc(list6.starts, (list6.count + 1) * sizeof(AddressKey));
    m->values6 =
        CpMem_Realloc(list6.values, (list6.count + 1) * sizeof(uint16_t));
    build_index4(m);
    return m;
}

void
CpCidrMap_Free(CpCidrMap *m)
{
    if (m != NULL) {
        free(m->starts4);
        free(m->values4);
        free(m->index4);
        free(m->starts6);
        free(m->values6);
        free(m);
    }
}

uint32_t
CpCidrMap_Find(const CpCidrMap *m, const uint8_t *ip, bool v6)
{
    AddressKey key = address_key(ip, v6);
    uint32_t low = 0, high = m->count6;
    if (!v6) {
        uint32_t prefix = (uint32_t)key >> (32 - INDEX_BITS);
        low = m->index4[prefix];
        high = m->index4[prefix + 1];
    }
    /* The last range that starts at or before the key. */
    while (low < high) {
        uint32_t mid = low + (high - low) / 2;
        bool before =
            v6 ? m->starts6[mid] <= key : m->starts4[mid] <= (uint32_t)key;
        if (before) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    if (low == 0) {
        return CP_NO_INDEX;
    }
    uint16_t value = v6 ? m->values6[low - 1] : m->values4[low - 1];
    return value == NO_VALUE ? CP_NO_INDEX : value;
}

uint64_t
CpCidrMap_Size_bytes(const CpCidrMap *m)
{
    return sizeof(*m) + m->count4 * (sizeof(uint32_t) + sizeof(uint16_t)) +
           INDEX_SIZE * sizeof(uint32_t) +
           m->count6 * (sizeof(AddressKey) + sizeof(uint16_t));
}

bool
CpCidrBlock_Parse(const char *text, CpCidrBlock *out)
{
    char ip[CP_NAME_BYTES];
    const char *slash = strchr(text, '/');
    *out = (CpCidrBlock){0};
    if (slash == NULL || (size_t)(slash - text) >= sizeof(ip)) {
        return false;
    }
    CpStr_Copy(ip, (size_t)(slash - text) + 1, text);
    int32_t bits = atoi(slash + 1);
    if (!CpIp_Parse(ip, out->ip, &out->v6) || bits < 0 ||
        bits > (out->v6 ? 128 : 32)) {
        return false;
    }
    out->prefix_bits = (uint8_t)bits;
    return true;
}

bool
CpIp_Parse(const char *text, uint8_t *ip, bool *v6)
{
    *v6 = strchr(text, ':') != NULL;
    return inet_pton(*v6 ? AF_INET6 : AF_INET, text, ip) == 1;
}

/* Sweeps the blocks by start address, with a stack of those that contain the
 * current address. */
static void
flatten(const CpCidrBlock *blocks, uint32_t count, bool v6, RangeList *list)
{
    Range *ranges = CpMem_Alloc((count + 1) * sizeof(*ranges));
    Range stack[MAX_NESTING] = {{0}};
    uint32_t n = 0, depth = 0, width = v6 ? 128 : 32;
    for (uint32_t i = 0; i < count; i++) {
        if (blocks[i].v6 != v6) {
            continue;
        }
        uint32_t host_bits = width - blocks[i].prefix_bits;
        AddressKey span = host_bits == 128 ? ~(AddressKey)0
                                           : ((AddressKey)1 << host_bits) - 1;
        AddressKey first = address_key(blocks[i].ip, v6) & ~span;
        ranges[n++] = (Range){first, first | span, blocks[i].value};
    }
    qsort(ranges, n, sizeof(*ranges), compare_range);
    list->starts = CpMem_Alloc((2 * (size_t)n + 1) * sizeof(AddressKey));
    list->values = CpMem_Alloc((2 * (size_t)n + 1) * sizeof(uint16_t));
    AddressKey max = v6 ? ~(AddressKey)0 : UINT32_MAX;
    for (uint32_t i = 0; i <= n; i++) {
        while (depth > 0 &&
               (i == n || stack[depth - 1].last < ranges[i].first)) {
            depth--;
            if (stack[depth].last != max) {
                append_range(list, stack[depth].last + 1,
                             depth > 0 ? stack[depth - 1].value : NO_VALUE);
            }
        }
        if (i < n) {
            append_range(list, ranges[i].first, ranges[i].value);
            stack[depth++] = ranges[i];
        }
    }
    free(ranges);
}

/* Appends a range. It replaces a last range with the same start and extends a
 * last range with the same value. */
static void
append_range(RangeList *list, AddressKey start, uint16_t value)
{
    if (list->count > 0 && list->starts[list->count - 1] == start) {
        list->count--;
    }
    if (list->count > 0 && list->values[list->count - 1] == value) {
        return;
    }
    list->starts[list->count] = start;
    list->values[list->count++] = value;
}

static AddressKey
address_key(const uint8_t *ip, bool v6)
{
    AddressKey key = 0;
    for (uint32_t i = 0; i < (v6 ? 16u : 4u); i++) {
        key = key << 8 | ip[i];
    }
    return key;
}

/* By start, wider blocks first. */
static int
compare_range(const void *a, const void *b)
{
    const Range *x = a, *y = b;
    if (x->first != y->first) {
        return x->first < y->first ? -1 : 1;
    }
    if (x->last != y->last) {
        return x->last > y->last ? -1 : 1;
    }
    return 0;
}

/* index4[n] counts the ranges that start below the n-th /16 block. */
static void
build_index4(CpCidrMap *m)
{
    m->index4 = CpMem_Alloc(INDEX_SIZE * sizeof(*m->index4));
    uint32_t position = 0;
    for (uint32_t prefix = 0; prefix < INDEX_SIZE; prefix++) {
        uint64_t bound = (uint64_t)prefix << (32 - INDEX_BITS);
        while (position < m->count4 && m->starts4[position] < bound) {
            position++;
        }
        m->index4[prefix] = position;
    }
}
