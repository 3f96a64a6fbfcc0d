/*
 * Checks the lengths in a payload before it is decoded: msgpack-c allocates
 * memory for the length that an array or string claims, even if fewer bytes
 * follow. Frames hold unsigned integers, strings, byte strings and arrays
 * only.
 */
#include "wire/wire_int.h"

#define FIXARRAY_MASK 0xf0
#define FIXARRAY 0x90
#define FIXSTR_MASK 0xe0
#define FIXSTR 0xa0
#define FIXINT_MAX 0x7f

/* A type of the msgpack specification that frames use. */
typedef struct {
    uint8_t first;
    uint8_t length_bytes; /* of the length field, or of an integer */
    bool has_body;        /* length bytes of data follow */
    bool has_items;       /* length values follow */
} TypeRow;

static const TypeRow types[] = {
    {0xc4, 1, true, false},  {0xc5, 2, true, false},  {0xc6, 4, true, false},
    {0xcc, 1, false, false}, {0xcd, 2, false, false}, {0xce, 4, false, false},
    {0xcf, 8, false, false}, {0xd9, 1, true, false},  {0xda, 2, true, false},
    {0xdb, 4, true, false},  {0xdc, 2, false, true},  {0xdd, 4, false, true},
};

static const TypeRow *find_type(uint8_t first);
static uint64_t read_length(const uint8_t *at, uint32_t size_bytes);

bool
CpFrame_IsSound(const uint8_t *data, uint32_t size_bytes)
{
    uint64_t values = 1; /* still expected; each takes at least a byte */
    uint32_t at = 0;
    while (values > 0 && values <= size_bytes - at) {
        uint8_t first = data[at++];
        uint64_t body = 0;
        values--;
        if (first <= FIXINT_MAX) {
            continue;
        }
        if ((first & FIXARRAY_MASK) == FIXARRAY) {
            values += first & ~FIXARRAY_MASK;
            continue;
        }
        if ((first & FIXSTR_MASK) == FIXSTR) {
            body = first & ~FIXSTR_MASK & 0xff;
        }
        else {
            const TypeRow *t = find_type(first);
            if (t == NULL || size_bytes - at < t->length_bytes) {
                return false;
            }
            uint64_t length = read_length(data + at, t->length_bytes);
            at += t->length_bytes;
            body = t->has_body ? length : 0;
            values += t->has_items ? length : 0;
        }
        if (body > size_bytes - at) {
            return false;
        }
        at += (uint32_t)body;
    }
    return values == 0 && at == size_bytes;
}

static const TypeRow *
find_type(uint8_t first)
{
    for (uint32_t i = 0; i < sizeof(types) / sizeof(types[0]); i++) {
        if (types[i].first == first) {
            return &types[i];
        }
    }
    return NULL;
}

static uint64_t
read_length(const uint8_t *at, uint32_t size_bytes)
{
    uint64_t n = 0;
    for (uint32_t i = 0; i < size_bytes; i++) {
        n = n << 8 | at[i];
    }
    return n;
}
