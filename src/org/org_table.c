/* Organisations by name and by key. Keys are found by a keyed hash, so that a
 * caller cannot choose keys that collide. */
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "org/org.h"

#define MIN_SLOTS 64
#define NO_ORG UINT32_MAX             /* the slot is free */
#define SEVERAL_ORGS (UINT32_MAX - 1) /* the key belongs to none */

typedef struct {
    uint64_t hash;
    uint32_t offset; /* of the key in `key_bytes` */
    uint32_t size_bytes;
    uint32_t org_index; /* or NO_ORG or SEVERAL_ORGS */
    uint32_t first_org_index;
} KeySlot;

struct CpOrgTable {
    const CpOrgRegions *regions; /* valid while the table is built */
    GArray *orgs;                /* CpOrg */
    GHashTable *index_by_name;   /* name -> index + 1 */
    GByteArray *key_bytes;
    KeySlot *slots; /* open addressing; at most half of them are in use */
    uint32_t slot_count;
    uint32_t used_slots;
    uint32_t key_count; /* of one organisation each */
    GArray *problems;   /* CpOrgProblem */
    uint32_t first_problem_of_org;
    uint32_t position; /* of the organisation added last */
};

static const char *const flaw_names[CP_ORG_FLAW_COUNT] = {
    [CP_ORG_FLAW_NONE] = "none",
    [CP_ORG_FLAW_NAME] = "name_unusable",
    [CP_ORG_FLAW_REPEATED] = "name_repeated",
    [CP_ORG_FLAW_LIMITS] = "limits_unusable",
    [CP_ORG_FLAW_HOMES] = "home_regions_unusable",
    [CP_ORG_FLAW_RANK] = "rank_ignored",
    [CP_ORG_FLAW_KEYS] = "keys_ignored",
    [CP_ORG_FLAW_KEY] = "key_ignored",
    [CP_ORG_FLAW_SHARED_KEY] = "key_shared",
};

static uint8_t hash_key[crypto_shorthash_KEYBYTES];
static pthread_once_t hash_key_once = PTHREAD_ONCE_INIT;

static CpOrgFlaw find_flaw(const CpOrgTable *t, const CpOrgSpec *spec);
static bool is_usable_name(const char *name, size_t name_bytes);
static bool is_known_region(const CpOrgTable *t, const char *region);
static void add_problem(CpOrgTable *t, CpOrgFlaw flaw, const char *org,
                        const char *other);
static KeySlot *find_slot(const CpOrgTable *t, uint64_t hash, const char *key,
                          size_t key_bytes);
static void grow_slots(CpOrgTable *t);
static uint64_t hash_of(const char *key, size_t key_bytes);
static void make_hash_key(void);

CpOrgTable *
CpOrgTable_New(const CpOrgRegions *regions)
{
    CpOrgTable *t = CpMem_Alloc(sizeof(*t));
    t->regions = regions;
    t->orgs = g_array_new(FALSE, TRUE, sizeof(CpOrg));
    t->index_by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    t->key_bytes = g_byte_array_new();
    t->problems = g_array_new(FALSE, TRUE, sizeof(CpOrgProblem));
    grow_slots(t);
    return t;
}

void
CpOrgTable_Free(CpOrgTable *t)
{
    if (t == NULL) {
        return;
    }
    for (guint i = 0; i < t->orgs->len; i++) {
        free((void *)g_array_index(t->orgs, CpOrg, i).home_regions);
    }
    g_array_free(t->orgs, TRUE);
    g_hash_table_destroy(t->index_by_name);
    g_byte_array_free(t->key_bytes, TRUE);
    g_array_free(t->problems, TRUE);
    free(t->slots);
    free(t);
}

bool
CpOrgTable_Add(CpOrgTable *t, const CpOrgSpec *spec)
{
    CpOrg org = {0};
    CpOrgFlaw flaw = find_flaw(t, spec);
    bool has_name = flaw != CP_ORG_FLAW_NAME;
    t->first_problem_of_org = t->problems->len;
    t->position = spec->position;
    if (flaw != CP_ORG_FLAW_NONE) {
        add_problem(t, flaw, has_name ? spec->name : "", "");
        return false;
    }
    CpStr_Copy(org.name, sizeof(org.name), spec->name);
    org.has_rank = spec->has_rank && !spec->has_bad_rank;
    org.rank = org.has_rank ? spec->rank : 0;
    org.rate_milli = spec->rate_milli;
    org.burst = spec->burst;
    org.home_region_count = spec->home_region_count;
    if (spec->home_region_count > 0) {
        char(*regions)[CP_NAME_BYTES] =
            CpMem_Alloc(spec->home_region_count * sizeof(*regions));
        for (uint32_t i = 0; i < spec->home_region_count; i++) {
            CpStr_Copy(regions[i], CP_NAME_BYTES, spec->home_regions[i]);
        }
        org.home_regions = (const char(*)[CP_NAME_BYTES])regions;
    }
    g_array_append_val(t->orgs, org);
    g_hash_table_insert(t->index_by_name, g_strdup(org.name),
                        GUINT_TO_POINTER(t->orgs->len));
    if (spec->has_bad_rank) {
        add_problem(t, CP_ORG_FLAW_RANK, org.name, "");
    }
    if (spec->has_bad_keys) {
        add_problem(t, CP_ORG_FLAW_KEYS, org.name, "");
    }
    return true;
}

void
CpOrgTable_AddKey(CpOrgTable *t, const char *key, size_t key_bytes)
{
    uint32_t org_index = t->orgs->len - 1;
    const CpOrg *org = &g_array_index(t->orgs, CpOrg, org_index);
    if (key == NULL || key_bytes == 0 ||
        key_bytes > UINT32_MAX - t->key_bytes->len) {
        add_problem(t, CP_ORG_FLAW_KEY, org->name, "");
        return;
    }
    uint64_t hash = hash_of(key, key_bytes);
    KeySlot *slot = find_slot(t, hash, key, key_bytes);
    if (slot->org_index == NO_ORG) {
        *slot = (KeySlot){.hash = hash,
                          .offset = t->key_bytes->len,
                          .size_bytes = (uint32_t)key_bytes,
                          .org_index = org_index,
                          .first_org_index = org_index};
        g_byte_array_append(t->key_bytes, (const guint8 *)key,
                            (guint)key_bytes);
        t->key_count++;
        if (++t->used_slots > t->slot_count / 2) {
            grow_slots(t);
        }
        return;
    }
    if (slot->org_index == org_index) {
        return; /* listed twice */
    }
    t->key_count -= slot->org_index != SEVERAL_ORGS;
    slot->org_index = SEVERAL_ORGS;
    if (slot->first_org_index != org_index) {
        add_problem(t, CP_ORG_FLAW_SHARED_KEY, org->name,
                    g_array_index(t->orgs, CpOrg, slot->first_org_index).name);
    }
}

const CpOrg *
CpOrgTable_FindByKey(const CpOrgTable *t, const char *key, size_t key_bytes)
{
    const KeySlot *slot =
        find_slot(t, hash_of(key, key_bytes), key, key_bytes);
    return slot->org_index == NO_ORG || slot->org_index == SEVERAL_ORGS
               ? NULL
               : &g_array_index(t->orgs, CpOrg, slot->org_index);
}

const CpOrg *
CpOrgTable_FindByName(const CpOrgTable *t, const char *name)
{
    guint number =
        GPOINTER_TO_UINT(g_hash_table_lookup(t->index_by_name, name));
    return number == 0 ? NULL : &g_array_index(t->orgs, CpOrg, number - 1);
}

uint32_t
CpOrgTable_Count(const CpOrgTable *t)
{
    return t->orgs->len;
}

const CpOrg *
CpOrgTable_Get(const CpOrgTable *t, uint32_t index)
{
    return &g_array_index(t->orgs, CpOrg, index);
}

uint32_t
CpOrgTable_CountKeys(const CpOrgTable *t)
{
    return t->key_count;
}

uint32_t
CpOrgTable_CountProblems(const CpOrgTable *t)
{
    return t->problems->len;
}

const CpOrgProblem *
CpOrgTable_GetProblem(const CpOrgTable *t, uint32_t index)
{
    return &g_array_index(t->problems, CpOrgProblem, index);
}

const char *
CpOrgFlaw_Name(CpOrgFlaw flaw)
{
    return flaw_names[flaw];
}

/* An organisation whose limits or regions cannot be read is left out: serving
 * it without them would exceed what the operator allows. */
static CpOrgFlaw
find_flaw(const CpOrgTable *t, const CpOrgSpec *spec)
{
    if (spec->name == NULL || !is_usable_name(spec->name, spec->name_bytes)) {
        return CP_ORG_FLAW_NAME;
    }
    if (g_hash_table_contains(t->index_by_name, spec->name)) {
        return CP_ORG_FLAW_REPEATED;
    }
    if (spec->has_bad_limits) {
        return CP_ORG_FLAW_LIMITS;
    }
    if (spec->has_bad_homes) {
        return CP_ORG_FLAW_HOMES;
    }
    for (uint32_t i = 0; i < spec->home_region_count; i++) {
        if (!is_known_region(t, spec->home_regions[i])) {
            return CP_ORG_FLAW_HOMES;
        }
    }
    return CP_ORG_FLAW_NONE;
}

/* The name is sent to servers in a header and must not end or change there. */
static bool
is_usable_name(const char *name, size_t name_bytes)
{
    if (name_bytes == 0 || name_bytes >= CP_NAME_BYTES || name[0] == ' ' ||
        name[name_bytes - 1] == ' ') {
        return false;
    }
    for (size_t i = 0; i < name_bytes; i++) {
        uint8_t c = (uint8_t)name[i];
        if (c < 0x20 || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static bool
is_known_region(const CpOrgTable *t, const char *region)
{
    size_t n = strlen(region);
    if (n == 0 || n >= CP_NAME_BYTES) {
        return false;
    }
    for (uint32_t i = 0; i < t->regions->count; i++) {
        if (strcmp(t->regions->names[i], region) == 0) {
            return true;
        }
    }
    return t->regions->count == 0;
}

/* One line for all keys of an organisation with the same flaw: there may be
 * many. */
static void
add_problem(CpOrgTable *t, CpOrgFlaw flaw, const char *org, const char *other)
{
    for (guint i = t->first_problem_of_org; i < t->problems->len; i++) {
        CpOrgProblem *p = &g_array_index(t->problems, CpOrgProblem, i);
        if (p->flaw == flaw && strcmp(p->other, other) == 0) {
            p->count++;
            return;
        }
    }
    CpOrgProblem p = {.flaw = flaw, .position = t->position, .count = 1};
    CpStr_Copy(p.org, sizeof(p.org), org);
    CpStr_Copy(p.other, sizeof(p.other), other);
    g_array_append_val(t->problems, p);
}

/* Returns the key's slot, or the free one where it belongs. */
static KeySlot *
find_slot(const CpOrgTable *t, uint64_t hash, const char *key,
          size_t key_bytes)
{
    uint32_t mask = t->slot_count - 1;
    for (uint32_t i = (uint32_t)hash & mask;; i = (i + 1) & mask) {
        KeySlot *slot = &t->slots[i];
        if (slot->org_index == NO_ORG ||
            (slot->hash == hash && slot->size_bytes == key_bytes &&
             sodium_memcmp(t->key_bytes->data + slot->offset, key,
                           key_bytes) == 0)) {
            return slot;
        }
    }
}

static void
grow_slots(CpOrgTable *t)
{
    KeySlot *old = t->slots;
    uint32_t old_count = t->slot_count;
    t->slot_count = old_count == 0 ? MIN_SLOTS : 2 * old_count;
    t->slots = CpMem_Alloc(t->slot_count * sizeof(*t->slots));
    for (uint32_t i = 0; i < t->slot_count; i++) {
        t->slots[i].org_index = NO_ORG;
    }
    for (uint32_t i = 0; i < old_count; i++) {
        if (old[i].org_index != NO_ORG) {
            *find_slot(t, old[i].hash,
                       (const char *)t->key_bytes->data + old[i].offset,
                       old[i].size_bytes) = old[i];
        }
    }
    free(old);
}

static uint64_t
hash_of(const char *key, size_t key_bytes)
{
    uint64_t hash;
    uint8_t out[crypto_shorthash_BYTES];
    pthread_once(&hash_key_once, make_hash_key);
    crypto_shorthash(out, (const unsigned char *)key, key_bytes, hash_key);
    memcpy(&hash, out, sizeof(hash));
    return hash;
}

static void
make_hash_key(void)
{
    crypto_shorthash_keygen(hash_key);
}
