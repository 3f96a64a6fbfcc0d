/*
 * entry: an entry host that serves the operator's routes. It follows the
 * store, keeps what it believes of routes, backend servers and other hosts
 * with their age, decides what becomes of each request, and answers callers
 * that ask which hosts to use. With the store gone it goes on with what it
 * holds.
 */
#ifndef CP_ENTRY_H
#define CP_ENTRY_H

#include "base/base.h"
#include "config/config.h"
#include "fleet/fleet.h"
#include "proxy/proxy.h"
#include "route/route.h"
#include "store/store.h"

/* What a row of the operator's table is. */
typedef enum {
    CP_ENTRY_ROW_OTHER = 0,
    CP_ENTRY_ROW_ROUTES,
    CP_ENTRY_ROW_EVACUATION /* of `domain` */
} CpEntryRow;

/* Translation from and to what the users' systems speak. */
typedef struct {
    CpStore *(*new_store)(const char *url, uint32_t timeout_ms);
    CpEntryRow (*operator_row)(const char *key, char domain[CP_NAME_BYTES]);
    CpStatus (*decode_routes)(const char *text, size_t text_bytes,
                              CpRoutes **out);
    CpStatus (*decode_server)(const char *instance, const char *text,
                              size_t text_bytes, CpServerEntry *out);
    char *(*encode_directory)(const char *const *addresses, uint32_t count,
                              uint32_t ttl_s);
    const CpHeaderNames *headers;
    const char *directory_path;
    const char *domain_argument; /* of a question to the directory */
    const char *region_argument;
    const char *ready_path;
} CpEntryAdapter;

typedef struct {
    const CpSettings *settings;
    const CpEntryAdapter *adapter;
} CpEntryOptions;

/* Lives until its process ends: its threads may be waiting for the store. */
typedef struct CpEntry CpEntry;
/* Binds every address. */
CpStatus CpEntry_New(const CpEntryOptions *options, CpEntry **out);
CpStatus CpEntry_Start(CpEntry *e);
/* Leaves: tells callers and hosts, serves until they have moved, ends what is
 * in flight; returns inside the stop time-out. */
void CpEntry_Drain(CpEntry *e);
/* Takes over what may change while running. */
void CpEntry_Reload(CpEntry *e, const CpSettings *settings);

#endif
