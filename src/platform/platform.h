/*
 * platform: the users' transactional table and object store, as callbacks.
 * A call can fail after its effect has happened: CP_ERR_UNKNOWN_EFFECT.
 */
#ifndef CP_PLATFORM_H
#define CP_PLATFORM_H

#include "base/base.h"

#define CP_KEY_BYTES 128
#define CP_VALUE_BYTES 4096
#define CP_MAX_ROWS 8 /* rows in one read or transaction */

typedef struct {
    char key[CP_KEY_BYTES];
    char value[CP_VALUE_BYTES];
    uint64_t version; /* 0: no such row */
} CpRow;

typedef struct {
    /* Reads rows by key in one go; fills value and version. */
    CpStatus (*read)(void *ctx, CpRow *rows, uint32_t count);
    /* Writes all rows if each still has its `version`; 0: must not exist.
     * CP_ERR_CONFLICT when one has another. */
    CpStatus (*commit)(void *ctx, const CpRow *rows, uint32_t count);
    /* Fetches an object; free() *data. */
    CpStatus (*get)(void *ctx, const char *name, char **data,
                    size_t *size_bytes);
    CpStatus (*put)(void *ctx, const char *name, const char *data,
                    size_t size_bytes);
    void *ctx;
} CpPlatform;

/* The HTTP adapter; every call ends within `timeout_ms`. */
CpPlatform *CpPlatform_NewHttp(const char *url, uint32_t timeout_ms);
void CpPlatform_FreeHttp(CpPlatform *p);

/* The accepted configuration: a head row that points to an object. */
#define CP_HEAD_KEY "head"
typedef struct {
    uint64_t version;
    char object[CP_KEY_BYTES];
    char change_id[CP_NAME_BYTES];
} CpHeadRow;
bool CpHeadRow_Parse(const CpRow *row, CpHeadRow *out);
/* Puts the text and moves the head from `base` by compare-and-set; a lost
 * answer is resolved by reading. CP_ERR_CONFLICT: another change won. */
CpStatus CpPlatform_Apply(const CpPlatform *p, const char *text,
                          size_t text_bytes, uint64_t base, uint64_t *version);

#endif
