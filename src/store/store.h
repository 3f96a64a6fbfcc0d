/*
 * store: the users' transactional table and object store, as callbacks, and
 * the head row of the accepted configuration. A call can fail after its
 * effect has happened: CP_ERR_UNKNOWN_EFFECT. The client of a real store
 * fills in a CpStore.
 */
#ifndef CP_STORE_H
#define CP_STORE_H

#include "base/base.h"

#define CP_KEY_BYTES 201    /* longest key with NUL */
#define CP_VALUE_BYTES 4096 /* of a row of this project's own tables */
#define CP_MAX_ROWS 8       /* rows in one read or transaction */

/* A row of this project's own table. */
typedef struct {
    char key[CP_KEY_BYTES];
    char value[CP_VALUE_BYTES];
    uint64_t version; /* 0: no such row */
} CpRow;

/* Tables that can be scanned and followed. */
typedef enum {
    CP_TABLE_OPERATOR = 0, /* the operator's configuration and requests */
    CP_TABLE_SERVERS,      /* backend servers, keyed by instance */
    CP_TABLE_HOSTS,        /* entry hosts, keyed by name; this project's own */
    CP_TABLE_COUNT
} CpTable;

/* A row of a scan or a change feed; valid during the call only. */
typedef struct {
    const char *key;
    const char *value; /* NUL-terminated */
    size_t value_bytes;
    uint64_t version;
    uint64_t era; /* of the store, that the version belongs to */
    bool deleted;
} CpFeedRow;
typedef void (*CpFeedFn)(void *ctx, const CpFeedRow *row);

typedef struct {
    /* Reads the rows with the given keys in one go; fills in value and
     * version. */
    CpStatus (*read_rows)(void *ctx, CpRow *rows, uint32_t count);
    /* Writes all rows if each still has its `version`; 0: must not exist.
     * CP_ERR_CONFLICT if one has another version. */
    CpStatus (*commit)(void *ctx, const CpRow *rows, uint32_t count);
    /* Reads an object; free() *data. */
    CpStatus (*get_object)(void *ctx, const char *name, char **data,
                           size_t *size_bytes);
    CpStatus (*put_object)(void *ctx, const char *name, const char *data,
                           size_t size_bytes);
    /* Calls fn for every row of a table, as of one moment, and sets *version
     * to the table's version at that moment. Responses of an earlier era than
     * version->era count as errors. CP_ERR_RANGE: the store was restored
     * meanwhile, scan again. */
    CpStatus (*scan)(void *ctx, CpTable table, CpFeedFn fn, void *fn_ctx,
                     CpTableVersion *version);
    /* Calls fn for the rows that changed after *version, waiting up to
     * `wait_ms` for a change, and advances *version. CP_ERR_RANGE: the changes
     * since then are no longer kept, scan again; if the response is of a later
     * era, version->era becomes that and no row was delivered. */
    CpStatus (*follow)(void *ctx, CpTable table, uint32_t wait_ms, CpFeedFn fn,
                       void *fn_ctx, CpTableVersion *version);
    /* Polled about once a second during follow(), which ends early if it
     * returns true; NULL: never. Set before the first call. */
    bool (*should_stop)(void *should_stop_ctx);
    void *should_stop_ctx;
    /* follow() uses a new connection for each call, so that no late response
     * to an earlier call is taken for its own. Set before the first call. */
    bool new_connections;
    /* Writes a row unconditionally; a NULL value removes it. */
    CpStatus (*write_row)(void *ctx, CpTable table, const char *key,
                          const char *value);
    void *ctx;
} CpStore;

/* The accepted configuration: a head row that points to an object. */
#define CP_HEAD_KEY "head"
typedef struct {
    uint64_t version;
    char object[CP_KEY_BYTES];
    char change_id[CP_NAME_BYTES];
} CpHeadRow;
/* Returns true if the row exists and is well formed. */
bool CpHeadRow_Parse(const CpRow *row, CpHeadRow *out);
/* Writes the text as an object and moves the head from version `base` to it by
 * compare-and-set; a lost response is resolved by reading. CP_ERR_CONFLICT:
 * another change was committed first. */
CpStatus CpStore_ApplyConfig(const CpStore *store, const char *text,
                             size_t text_bytes, uint64_t base,
                             uint64_t *version);

#endif
