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
    uint8_t tag;
    uint8_t length_bytes; /* of the length field, or of an integer */
    bool has_body;        /* length bytes of data follow */
    bool has_items;       /* length values follow */
} MsgpackType;

static const MsgpackType msgpack_types[] = {
    {0xc4, 1, true, false},  {0xc5, 2, true, false},  {0xc6, 4, true, false},
    {0xcc, 1, false, false}, {0xcd, 2, false, false}, {0xce, 4, false, false},
    {0xcf, 8, false, false}, {0xd9, 1, true, false},  {0xda, 2, true, false},
    {0xdb, 4, true, false},  {0xdc, 2, false, true},  {0xdd, 4, false, true},
};

static const MsgpackType *find_type(uint8_t tag);
static uint64_t read_length(const uint8_t *data, uint32_t size_bytes);

bool
CpFrame_HasValidLengths(const uint8_t *data, uint32_t size_bytes)
{
    uint64_t values_left = 1; /* still expected; each takes at least a byte */
    uint32_t pos = 0;
    while (values_left > 0 && values_left <= size_bytes - pos) {
        uint8_t tag = data[pos++];
        uint64_t body_bytes = 0;
        values_left--;
        if (tag <= FIXINT_MAX) {
            continue;
        }
        if ((tag & FIXARRAY_MASK) == FIXARRAY) {
            values_left += tag & ~FIXARRAY_MASK;
            continue;
        }
        if ((tag & FIXSTR_MASK) == FIXSTR) {
            body_bytes = tag & ~FIXSTR_MASK & 0xff;
        }
        else {
            const MsgpackType *t = find_type(tag);
            if (t == NULL || size_bytes - pos < t->length_bytes) {
                return false;
            }
            uint64_t length = read_length(data + pos, t->length_bytes);
            pos += t->length_bytes;
            body_bytes = t->has_body ? length : 0;
            values_left += t->has_items ? length : 0;
        }
        if (body_bytes > size_bytes - pos) {
            return false;
        }
        pos += (uint32_t)body_bytes;
    }
    return values_left == 0 && pos == size_bytes;
}

static const MsgpackType *
find_type(uint8_t tag)
{
    for (uint32_t i = 0; i < sizeof(msgpack_types) / sizeof(msgpack_types[0]);
         i++) {
        if (msgpack_types[i].tag == tag) {
            return &msgpack_types[i];
        }
    }
    return NULL;
}

static uint64_t
read_length(const uint8_t *data, uint32_t size_bytes)
{
    uint64_t n = 0;
    for (uint32_t i = 0; i < size_bytes; i++) {
        n = n << 8 | data[i];
    }
    return n;
}
