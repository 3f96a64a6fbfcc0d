/* The head row of the accepted configuration, moved by compare-and-set. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "store/store.h"

#define MAX_ATTEMPTS 5

static CpStatus check_committed(const CpStore *store, const char *change_key,
                                bool *committed);

bool
CpHeadRow_Parse(const CpRow *row, CpHeadRow *out)
{
    *out = (CpHeadRow){0};
    return row->version > 0 &&
           sscanf(row->value, "%" SCNu64 " %200s %47s", &out->version,
                  out->object, out->change_id) == 3;
}

CpStatus
CpStore_ApplyConfig(const CpStore *store, const char *text, size_t text_bytes,
                    uint64_t base, uint64_t *version)
{
    CpRow rows[2] = {{.key = CP_HEAD_KEY}};
    CpHeadRow head;
    char object[CP_KEY_BYTES];
    uint64_t change_id = CpRandom();
    CpStatus status = store->read_rows(store->ctx, rows, 1);
    if (status != CP_OK) {
        return status;
    }
    if (!CpHeadRow_Parse(&rows[0], &head) && rows[0].version != 0) {
        return CpError_Set(CP_ERR_PARSE, "store: malformed head row");
    }
    if (head.version != base) {
        return CpError_Set(CP_ERR_CONFLICT,
                           "version %" PRIu64 " is in force, this change is "
                           "based on %" PRIu64,
                           head.version, base);
    }
    snprintf(object, sizeof(object), "config-%016" PRIx64, change_id);
    for (uint32_t i = 0; i < MAX_ATTEMPTS; i++) {
        status = store->put_object(store->ctx, object, text, text_bytes);
        if (status == CP_OK) {
            break;
        }
    }
    if (status != CP_OK) {
        return CpError_Set(CP_ERR_UNAVAILABLE,
                           "cannot write the configuration object");
    }
    snprintf(rows[0].value, sizeof(rows[0].value),
             "%" PRIu64 " %s %016" PRIx64, base + 1, object, change_id);
    snprintf(rows[1].key, sizeof(rows[1].key), "change/%016" PRIx64,
             change_id);
    snprintf(rows[1].value, sizeof(rows[1].value), "%" PRIu64, base + 1);
    *version = base + 1;
    status = store->commit(store->ctx, rows, 2);
    if (status != CP_ERR_UNKNOWN_EFFECT) {
        return status;
    }
    /* The row of the change shows whether the commit with the lost response
     * succeeded. The commit is retried meanwhile, because the first write may
     * still be in flight: only a conflict shows that it can't take effect. */
    for (uint32_t i = 0; i < MAX_ATTEMPTS; i++) {
        bool committed = false;
        CpStatus retry_status = store->commit(store->ctx, rows, 2);
        status = check_committed(store, rows[1].key, &committed);
        if (retry_status == CP_OK || (status == CP_OK && committed)) {
            return CP_OK;
        }
        if (retry_status == CP_ERR_CONFLICT && status == CP_OK) {
            return CpError_Set(CP_ERR_CONFLICT,
                               "another change was committed first");
        }
    }
    return CpError_Set(CP_ERR_UNKNOWN_EFFECT,
                       "no response; the change may be in force");
}

static CpStatus
check_committed(const CpStore *store, const char *change_key, bool *committed)
{
    CpRow row = {0};
    CpStr_Copy(row.key, sizeof(row.key), change_key);
    CpStatus status = store->read_rows(store->ctx, &row, 1);
    *committed = status == CP_OK && row.version > 0;
    return status;
}
