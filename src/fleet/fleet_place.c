/*
 * Placement of objects on servers. A region places on its own servers the
 * share of its objects that they have capacity for. The others have their
 * primary server in another region permanently, so that the excess goes there
 * steadily rather than by overflow. Where responses are large the same holds
 * for a domain, because bytes between domains are expensive. All hosts compute
 * the same placement without coordination.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_int.h"

#define TARGET_LOAD_MILLI 600 /* of the local slots; bursts need the rest */
/* Per tick; 6% in 2 s, less than a domain's shift cap admits. */
#define LOCAL_SHARE_STEP_MILLI 8
#define RATE_AVERAGE_SHIFT 4 /* moving average over 16 ticks, 4 s */
#define FULL_MILLI 1000
#define LARGE_RESPONSE_BYTES (16 * 1024) /* bytes cost more than work */

typedef struct {
    const CpFleetHostCounts *hosts;
    int64_t now_ns;
} Tick;

static const CpFleetLayout *get_layout(const CpFleet *f, CpFleetService *s);
static void build_layout(const CpFleet *f, const CpFleetService *s,
                         const CpFleetRequest *request, CpFleetLayout *out);
static bool is_allowed(const CpFleet *f, const CpFleetServer *server,
                       const CpFleetRequest *request);
static void count_slots(const CpFleet *f, const CpFleetService *s,
                        const CpFleetRequest *request, CpFleetSlots *out);
static void find_best(const CpFleetPlace *places, uint32_t count,
                      uint64_t hash, CpFleetPlacement *out);
static CpLocality local_scope(const CpFleetService *s);
static bool is_in_scope(const CpFleet *f, const CpFleetService *s,
                        const CpFleetServer *server, bool remote,
                        const CpFleetSlots *slots);
static void tick_service(CpFleet *f, CpFleetService *s, void *ctx);
static void update_request_rate(CpFleetService *s, int64_t now_ns);
static uint32_t weight(const CpFleet *f, const CpFleetServer *server,
                       bool remote, const CpFleetSlots *slots);
static uint32_t fair_slots(const CpFleet *f, const CpFleetSlots *slots);
static uint32_t fair_local_share_milli(const CpFleet *f,
                                       const CpFleetSlots *slots);
static double unit_hash(uint64_t a, uint64_t b);

void
CpFleet_PlaceObject(const CpFleet *f, CpFleetService *s, const char *object,
                    const CpFleetRequest *request, CpFleetPlacement *out)
{
    *out = (CpFleetPlacement){0};
    if (object == NULL) {
        return;
    }
    CpFleetLayout limited = {0};
    const CpFleetLayout *layout = &limited;
    CpFleetCached *cached = NULL;
    if (request->home_region_count > 0) {
        build_layout(f, s, request, &limited);
    }
    else {
        layout = get_layout(f, s);
        cached = g_hash_table_lookup(s->cached, object);
    }
    uint64_t hash = CpHash_Str(object, 1);
    const CpFleetSlots *slots = &layout->slots;
    uint32_t local_share_milli = s->local_share_known
                                     ? s->local_share_milli
                                     : fair_local_share_milli(f, slots);
    bool remote = slots->local == 0 ||
                  (slots->local < slots->all &&
                   unit_hash(hash, 3) * FULL_MILLI >= local_share_milli);
    if (cached != NULL && cached->layout_version == layout->version &&
        cached->placement.remote == remote) {
        *out = cached->placement;
        return;
    }
    out->remote = remote;
    find_best(remote ? layout->remote : layout->local,
              remote ? layout->remote_count : layout->local_count, hash, out);
    if (cached != NULL) {
        cached->layout_version = layout->version;
        cached->placement = *out;
    }
    CpFleet_ClearLayout(&limited);
}

void
CpFleet_InvalidateLayout(CpFleetService *s)
{
    s->layout.valid = false;
}

void
CpFleet_ClearLayout(CpFleetLayout *layout)
{
    free(layout->local);
    free(layout->remote);
    layout->local = layout->remote = NULL;
}

void
CpFleet_Tick(CpFleet *f, const CpFleetHostCounts *hosts, int64_t now_ns)
{
    Tick t = {.hosts = hosts, .now_ns = now_ns};
    CpFleet_ForEachService(f, tick_service, &t);
}

bool
CpFleet_IsEligible(const CpFleet *f, const CpFleetServer *server)
{
    if (server->entry.draining || server->replaced || server->leaving) {
        return false;
    }
    return server->domain_index >= f->options.domain_count ||
           !CpAtomic_Load(&f->evacuated[server->domain_index]);
}

/* Moves the local share of the objects towards the capacity of the local
 * slots. */
static void
tick_service(CpFleet *f, CpFleetService *s, void *ctx)
{
    const Tick *t = ctx;
    const CpFleetSlots *slots = &get_layout(f, s)->slots;
    update_request_rate(s, t->now_ns);
    if (!s->local_share_known) {
        s->local_share_milli = fair_local_share_milli(f, slots);
        s->local_share_known = slots->all > 0 && s->request_rate_milli > 0;
        return;
    }
    uint32_t hosts = local_scope(s) == CP_LOCALITY_DOMAIN
                         ? t->hosts->in_domain
                         : t->hosts->in_region;
    int64_t needed_milli =
        (int64_t)s->request_rate_milli * hosts * s->mean_work_us / 1000 / 1000;
    int64_t local_share = needed_milli > 0
                              ? (int64_t)slots->local * TARGET_LOAD_MILLI *
                                    FULL_MILLI / needed_milli
                              : FULL_MILLI;
    int64_t step = local_share - s->local_share_milli;
    if (step > LOCAL_SHARE_STEP_MILLI) {
        step = LOCAL_SHARE_STEP_MILLI;
    }
    if (step < -LOCAL_SHARE_STEP_MILLI) {
        step = -LOCAL_SHARE_STEP_MILLI;
    }
    local_share = s->local_share_milli + step;
    s->local_share_milli =
        local_share > FULL_MILLI ? FULL_MILLI : (uint32_t)local_share;
}

static void
update_request_rate(CpFleetService *s, int64_t now_ns)
{
    int64_t elapsed_ms = (now_ns - s->last_tick_ns) / CP_NS_PER_MS;
    if (s->last_tick_ns > 0 && elapsed_ms > 0) {
        int64_t rate =
            (int64_t)s->requests_since_tick * 1000 * 1000 / elapsed_ms;
        int64_t old = s->request_rate_milli;
        s->request_rate_milli =
            (uint32_t)(old + (rate - old) / (1 << RATE_AVERAGE_SHIFT));
    }
    s->last_tick_ns = now_ns;
    s->requests_since_tick = 0;
}

/* Returns the layout of the service, computed anew if its servers, the
 * evacuated domains or the local scope have changed. */
static const CpFleetLayout *
get_layout(const CpFleet *f, CpFleetService *s)
{
    CpFleetLayout *layout = &s->layout;
    uint32_t evacuations = CpAtomic_Load(&f->evacuations);
    bool domain_scope = local_scope(s) == CP_LOCALITY_DOMAIN;
    if (!layout->valid || layout->evacuations != evacuations ||
        layout->domain_scope != domain_scope) {
        CpFleet_ClearLayout(layout);
        build_layout(f, s, NULL, layout);
        layout->valid = true;
        layout->evacuations = evacuations;
        layout->domain_scope = domain_scope;
        layout->version++;
    }
    return layout;
}

/* Lists the servers that a request may be placed on; NULL: any request without
 * home regions. */
static void
build_layout(const CpFleet *f, const CpFleetService *s,
             const CpFleetRequest *request, CpFleetLayout *out)
{
    uint32_t n = s->servers->len;
    count_slots(f, s, request, &out->slots);
    out->local = CpMem_Alloc((n + 1) * sizeof(*out->local));
    out->remote = CpMem_Alloc((n + 1) * sizeof(*out->remote));
    out->local_count = out->remote_count = 0;
    for (uint32_t i = 0; i < n; i++) {
        CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (!is_allowed(f, server, request)) {
            continue;
        }
        if (is_in_scope(f, s, server, false, &out->slots)) {
            out->local[out->local_count++] =
                (CpFleetPlace){server, weight(f, server, false, &out->slots)};
        }
        if (is_in_scope(f, s, server, true, &out->slots)) {
            out->remote[out->remote_count++] =
                (CpFleetPlace){server, weight(f, server, true, &out->slots)};
        }
    }
}

static bool
is_allowed(const CpFleet *f, const CpFleetServer *server,
           const CpFleetRequest *request)
{
    return CpFleet_IsEligible(f, server) &&
           (request == NULL || CpFleet_IsHome(f, server, request));
}

/* Weighted rendezvous hashing: the lowest score wins, in proportion to the
 * weight (Schindelhauer and Schomaker, SPAA 2005). */
static void
find_best(const CpFleetPlace *places, uint32_t count, uint64_t hash,
          CpFleetPlacement *out)
{
    double best = INFINITY, second = INFINITY;
    for (uint32_t i = 0; i < count; i++) {
        CpFleetServer *server = places[i].server;
        double score = -log(unit_hash(server->hash, hash)) / places[i].weight;
        if (score < best) {
            second = best;
            out->secondary = out->primary;
            best = score;
            out->primary = server;
        }
        else if (score < second) {
            second = score;
            out->secondary = server;
        }
    }
}

static void
count_slots(const CpFleet *f, const CpFleetService *s,
            const CpFleetRequest *request, CpFleetSlots *out)
{
    memset(out, 0, sizeof(*out));
    for (uint32_t i = 0; i < s->servers->len; i++) {
        const CpFleetServer *server = g_ptr_array_index(s->servers, i);
        if (is_allowed(f, server, request)) {
            CpLocality locality = CpFleet_Locality(f, server->domain_index);
            out->all += server->entry.slots;
            out->local += locality <= local_scope(s) ? server->entry.slots : 0;
            out->region +=
                locality <= CP_LOCALITY_REGION ? server->entry.slots : 0;
            out->by_domain[server->domain_index] += server->entry.slots;
        }
    }
    uint32_t sibling_domains = 0; /* other domains of the region */
    for (uint32_t i = 0; i < f->options.domain_count; i++) {
        CpLocality locality = CpFleet_Locality(f, i);
        out->local_domains += locality <= local_scope(s);
        sibling_domains += locality == CP_LOCALITY_REGION;
    }
    /* The region's other domains need their fair share of slots: if they are
     * short, they would only send objects of their own here in return. */
    out->remote_in_region =
        local_scope(s) == CP_LOCALITY_DOMAIN && out->region > out->local &&
        out->region - out->local >= sibling_domains * fair_slots(f, out);
}

/* The widest locality that counts as local. */
static CpLocality
local_scope(const CpFleetService *s)
{
    return s->mean_response_bytes > LARGE_RESPONSE_BYTES ? CP_LOCALITY_DOMAIN
                                                         : CP_LOCALITY_REGION;
}

static bool
is_in_scope(const CpFleet *f, const CpFleetService *s,
            const CpFleetServer *server, bool remote,
            const CpFleetSlots *slots)
{
    CpLocality locality = CpFleet_Locality(f, server->domain_index);
    if (!remote) {
        return locality <= local_scope(s);
    }
    return slots->remote_in_region ? locality == CP_LOCALITY_REGION
                                   : locality > local_scope(s);
}

/* In the local scope a server's weight is its slots. Outside, it grows with
 * the excess of its domain over a fair share of the slots, because domains
 * that are short of slots send their objects there. */
static uint32_t
weight(const CpFleet *f, const CpFleetServer *server, bool remote,
       const CpFleetSlots *slots)
{
    uint32_t domain_slots = slots->by_domain[server->domain_index];
    uint32_t fair_share = fair_slots(f, slots);
    uint32_t milli = server->entry.slots * FULL_MILLI;
    if (remote && domain_slots > fair_share) {
        uint64_t excess = UINT64_C(10) * milli * (domain_slots - fair_share);
        return milli + (uint32_t)(excess / domain_slots);
    }
    return milli > 0 ? milli : 1;
}

/* Slots of a domain if all had the same number. */
static uint32_t
fair_slots(const CpFleet *f, const CpFleetSlots *slots)
{
    uint32_t domains = f->options.domain_count;
    return slots->all / (domains > 0 ? domains : 1);
}

/* The local share if all domains have the same amount of work. */
static uint32_t
fair_local_share_milli(const CpFleet *f, const CpFleetSlots *slots)
{
    if (slots->all == 0 || slots->local_domains == 0) {
        return FULL_MILLI;
    }
    uint64_t milli = (uint64_t)slots->local * f->options.domain_count *
                     FULL_MILLI / slots->all / slots->local_domains;
    return milli < FULL_MILLI ? (uint32_t)milli : FULL_MILLI;
}

/* Hashes both arguments to a number in (0, 1). */
static double
unit_hash(uint64_t a, uint64_t b)
{
    uint64_t key[2] = {a, b};
    uint64_t h = CpHash(key, sizeof(key), 2);
    return ((double)(h >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
}
