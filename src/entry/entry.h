/*
 * entry: an entry host that serves the operator's routes. It follows the
 * store's tables of routes, backend servers and hosts, caches their rows
 * together with their age, decides how each request is handled, and responds
 * to directory lookups. While the store is unreachable it continues with
 * the cached state.
 */
#ifndef CP_ENTRY_H
#define CP_ENTRY_H

#include "base/base.h"
#include "config/config.h"
#include "fleet/fleet.h"
#include "proxy/proxy.h"
#include "route/route.h"
#include "store/store.h"

/* Type of a row in the operator's table. */
typedef enum {
    CP_ENTRY_ROW_OTHER = 0,
    CP_ENTRY_ROW_ROUTES,
    CP_ENTRY_ROW_EVACUATION /* `domain` is evacuated */
} CpEntryRowType;

/* Adapter to the users' platform: its store, its encodings and its names. */
typedef struct {
    CpStore *(*new_store)(const char *url, uint32_t timeout_ms);
    CpEntryRowType (*classify_operator_row)(const char *key,
                                            char domain[CP_NAME_BYTES]);
    CpStatus (*decode_routes)(const char *text, size_t text_bytes,
                              const CpOrgRegions *regions, CpRoutes **out);
    CpStatus (*decode_server)(const char *instance, const char *text,
                              size_t text_bytes, CpServerEntry *out);
    char *(*encode_directory)(const char *const *addresses, uint32_t count,
                              uint32_t ttl_s);
    const CpHeaderNames *headers;
    const char *directory_path;
    const char *host_parameter; /* query parameters of a lookup */
    const char *domain_parameter;
    const char *region_parameter;
    const char *ready_path;
} CpEntryAdapter;

typedef struct {
    const CpSettings *settings;
    const CpEntryAdapter *adapter;
} CpEntryOptions;

/* An entry host. Never freed: its threads may be blocked in calls to the
 * store. */
typedef struct CpEntry CpEntry;
/* Creates the host and binds all of its addresses. */
CpStatus CpEntry_New(const CpEntryOptions *options, CpEntry **out);
CpStatus CpEntry_Start(CpEntry *e);
/* Drains the host: announces to callers and peers that it is leaving, serves
 * until callers have switched to other hosts, and then waits for the requests
 * in flight. Returns within the stop timeout. */
void CpEntry_Drain(CpEntry *e);
/* Applies the setting that may change at run time: stop_timeout_s. */
void CpEntry_Reload(CpEntry *e, const CpSettings *settings);

#endif
