/* Encodes and decodes frames with msgpack, driven by tables of fields. */
#include <arpa/inet.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire_int.h"

typedef enum {
    FIELD_U32,
    FIELD_U64,
    FIELD_TEXT,
    FIELD_BYTES,
    FIELD_ROWS
} FieldType;

typedef struct Field {
    FieldType type;
    size_t offset;
    size_t size_bytes; /* of a text array, or of one row */
    size_t count_offset;
    const struct Field *row_fields;
    uint32_t row_field_count;
} Field;

typedef struct {
    const Field *fields;
    uint32_t count;
} FrameLayout;

#define U32(s, f)                                                             \
    {                                                                         \
        .type = FIELD_U32, .offset = offsetof(s, f)                           \
    }
#define U64(s, f)                                                             \
    {                                                                         \
        .type = FIELD_U64, .offset = offsetof(s, f)                           \
    }
#define BYTES(s, f)                                                           \
    {                                                                         \
        .type = FIELD_BYTES, .offset = offsetof(s, f)                         \
    }
#define TEXT(s, f)                                                            \
    {                                                                         \
        .type = FIELD_TEXT, .offset = offsetof(s, f),                         \
        .size_bytes = sizeof(((s *)0)->f)                                     \
    }
#define ROWS(s, f, n, item, table)                                            \
    {                                                                         \
        .type = FIELD_ROWS, .offset = offsetof(s, f),                         \
        .size_bytes = sizeof(item), .count_offset = offsetof(s, n),           \
        .row_fields = (table),                                                \
        .row_field_count = sizeof(table) / sizeof((table)[0])                 \
    }
#define MAX_ROWS 4096

static const Field hello_fields[] = {
    TEXT(CpHello, host), TEXT(CpHello, domain), U64(CpHello, incarnation),
    BYTES(CpHello, nonce)};
static const Field proof_fields[] = {BYTES(CpProof, mac)};
static const Field request_fields[] = {U64(CpRequestFrame, id),
                                       U32(CpRequestFrame, purpose),
                                       U32(CpRequestFrame, hops),
                                       TEXT(CpRequestFrame, kind),
                                       TEXT(CpRequestFrame, method),
                                       TEXT(CpRequestFrame, target),
                                       TEXT(CpRequestFrame, content_type),
                                       TEXT(CpRequestFrame, ticket),
                                       TEXT(CpRequestFrame, origin),
                                       U32(CpRequestFrame, remaining_ms),
                                       U32(CpRequestFrame, streams_body),
                                       BYTES(CpRequestFrame, body)};
static const Field data_fields[] = {
    U64(CpDataFrame, id), U32(CpDataFrame, last), BYTES(CpDataFrame, data)};
static const Field credit_fields[] = {U64(CpCreditFrame, id),
                                      U32(CpCreditFrame, credit_bytes)};
static const Field head_fields[] = {
    U64(CpHeadFrame, id),           U32(CpHeadFrame, status),
    U32(CpHeadFrame, verdict),      U32(CpHeadFrame, reason),
    U64(CpHeadFrame, length_bytes), TEXT(CpHeadFrame, content_type),
    TEXT(CpHeadFrame, server),      U32(CpHeadFrame, pool_load)};
static const Field end_fields[] = {
    U64(CpEndFrame, id), U32(CpEndFrame, verdict), U32(CpEndFrame, reason),
    U64(CpEndFrame, total_bytes)};
static const Field cancel_fields[] = {U64(CpIdFrame, id)};
static const Field load_fields[] = {
    U32(CpPoolLoad, queued), U32(CpPoolLoad, inflight), U32(CpPoolLoad, slots),
    U32(CpPoolLoad, service_us)};
static const Field member_fields[] = {
    TEXT(CpMemberRow, host),
    U64(CpMemberRow, incarnation),
    U32(CpMemberRow, epoch),
    U32(CpMemberRow, state),
    U64(CpMemberRow, config_version),
    ROWS(CpMemberRow, loads, load_count, CpPoolLoad, load_fields)};
static const Field probe_fields[] = {
    U64(CpProbeFrame, id), U32(CpProbeFrame, cross_domain),
    ROWS(CpProbeFrame, rows, row_count, CpMemberRow, member_fields)};
static const Field loan_row_fields[] = {TEXT(CpLoanRow, resource),
                                        U32(CpLoanRow, units)};
static const Field loan_fields[] = {
    U64(CpLoanFrame, id),
    ROWS(CpLoanFrame, rows, row_count, CpLoanRow, loan_row_fields)};
static const Field config_fields[] = {
    U64(CpConfigFrame, id), U64(CpConfigFrame, version),
    U32(CpConfigFrame, offset_bytes), U32(CpConfigFrame, total_bytes),
    BYTES(CpConfigFrame, data)};

static const Field report_row_fields[] = {U64(CpReportRow, server_hash),
                                          U32(CpReportRow, inflight)};
static const Field report_fields[] = {
    TEXT(CpReportFrame, host),
    U64(CpReportFrame, incarnation),
    U64(CpReportFrame, sequence),
    U32(CpReportFrame, leaving),
    U32(CpReportFrame, complete),
    U64(CpReportFrame, operator_version),
    U64(CpReportFrame, servers_version),
    U64(CpReportFrame, hosts_version),
    U32(CpReportFrame, watches_store),
    ROWS(CpReportFrame, rows, row_count, CpReportRow, report_row_fields)};

static const Field freshness_query_fields[] = {
    U64(CpFreshnessQueryFrame, incarnation),
    U64(CpFreshnessQueryFrame, sent_ns)};
static const Field freshness_reply_fields[] = {
    U64(CpFreshnessReplyFrame, incarnation),
    U64(CpFreshnessReplyFrame, sent_ns),
    TEXT(CpFreshnessReplyFrame, host),
    U64(CpFreshnessReplyFrame, age_ns),
    U64(CpFreshnessReplyFrame, era),
    U64(CpFreshnessReplyFrame, version)};
static const Field era_fields[] = {TEXT(CpEraFrame, host),
                                   U64(CpEraFrame, incarnation),
                                   U64(CpEraFrame, era),
                                   U64(CpEraFrame, operator_era),
                                   U64(CpEraFrame, operator_version),
                                   U64(CpEraFrame, servers_era),
                                   U64(CpEraFrame, servers_version),
                                   U64(CpEraFrame, hosts_era),
                                   U64(CpEraFrame, hosts_version),
                                   U64(CpEraFrame, config_version)};
static const Field tokens_row_fields[] = {
    U64(CpTokensRow, org_hash),      U64(CpTokensRow, ask_id),
    U64(CpTokensRow, amount),        U32(CpTokensRow, newest_age_ms),
    U32(CpTokensRow, oldest_age_ms), U32(CpTokensRow, retry_after_ms),
    U32(CpTokensRow, used)};
static const Field tokens_fields[] = {
    TEXT(CpTokensFrame, host),
    U64(CpTokensFrame, incarnation),
    U64(CpTokensFrame, receiver_incarnation),
    U64(CpTokensFrame, sequence),
    U64(CpTokensFrame, sent_ns),
    U64(CpTokensFrame, receiver_ns),
    U32(CpTokensFrame, wants_reply),
    ROWS(CpTokensFrame, rows, row_count, CpTokensRow, tokens_row_fields)};
static const Field speed_row_fields[] = {U64(CpSpeedRow, server_hash),
                                         U32(CpSpeedRow, work_percent),
                                         U32(CpSpeedRow, age_ms)};
static const Field speeds_fields[] = {
    ROWS(CpSpeedsFrame, rows, row_count, CpSpeedRow, speed_row_fields)};

#define FRAME_LAYOUT(table)                                                   \
    {                                                                         \
        (table), sizeof(table) / sizeof((table)[0])                           \
    }
static const FrameLayout frame_layouts[CP_FRAME_TYPE_COUNT] = {
    [CP_FRAME_HELLO] = FRAME_LAYOUT(hello_fields),
    [CP_FRAME_PROOF] = FRAME_LAYOUT(proof_fields),
    [CP_FRAME_REQUEST] = FRAME_LAYOUT(request_fields),
    [CP_FRAME_BODY] = FRAME_LAYOUT(data_fields),
    [CP_FRAME_CREDIT] = FRAME_LAYOUT(credit_fields),
    [CP_FRAME_HEAD] = FRAME_LAYOUT(head_fields),
    [CP_FRAME_DATA] = FRAME_LAYOUT(data_fields),
    [CP_FRAME_END] = FRAME_LAYOUT(end_fields),
    [CP_FRAME_CANCEL] = FRAME_LAYOUT(cancel_fields),
    [CP_FRAME_PROBE] = FRAME_LAYOUT(probe_fields),
    [CP_FRAME_PROBE_ACK] = FRAME_LAYOUT(probe_fields),
    [CP_FRAME_LOAN_REQUEST] = FRAME_LAYOUT(loan_fields),
    [CP_FRAME_LOAN_GRANT] = FRAME_LAYOUT(loan_fields),
    [CP_FRAME_CONFIG_GET] = FRAME_LAYOUT(config_fields),
    [CP_FRAME_CONFIG_CHUNK] = FRAME_LAYOUT(config_fields),
    [CP_FRAME_REPORT] = FRAME_LAYOUT(report_fields),
    [CP_FRAME_FRESHNESS_QUERY] = FRAME_LAYOUT(freshness_query_fields),
    [CP_FRAME_FRESHNESS_REPLY] = FRAME_LAYOUT(freshness_reply_fields),
    [CP_FRAME_TOKENS_MOVE] = FRAME_LAYOUT(tokens_fields),
    [CP_FRAME_TOKENS_ASK] = FRAME_LAYOUT(tokens_fields),
    [CP_FRAME_TOKENS_GRANT] = FRAME_LAYOUT(tokens_fields),
    [CP_FRAME_SPEEDS] = FRAME_LAYOUT(speeds_fields),
    [CP_FRAME_ERA] = FRAME_LAYOUT(era_fields),
};

static void pack_fields(msgpack_packer *pk, const Field *fields,
                        uint32_t count, const char *in);
static void pack_field(msgpack_packer *pk, const Field *f, const char *in);
static bool unpack_fields(const msgpack_object *from, const Field *fields,
                          uint32_t count, char *out, msgpack_zone *zone);
static bool unpack_field(const msgpack_object *o, const Field *f, char *out,
                         msgpack_zone *zone);
static bool unpack_rows(const msgpack_object *o, const Field *f, char *out,
                        msgpack_zone *zone);

CpStatus
CpFrame_Encode(const CpFrame *frame, uint8_t **out, uint32_t *out_bytes)
{
    const FrameLayout *layout = &frame_layouts[frame->type];
    msgpack_sbuffer buf;
    msgpack_packer pk;
    const char prefix[CP_FRAME_PREFIX_BYTES] = {0};
    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    msgpack_sbuffer_write(&buf, prefix, sizeof(prefix));
    msgpack_pack_array(&pk, layout->count + 1);
    msgpack_pack_uint32(&pk, frame->type);
    pack_fields(&pk, layout->fields, layout->count,
                (const char *)&frame->hello);
    if (buf.size > CP_FRAME_MAX_BYTES) {
        msgpack_sbuffer_destroy(&buf);
        return CpError_Set(CP_ERR_RANGE, "frame of %zu bytes is too large",
                           buf.size);
    }
    uint32_t length = htonl((uint32_t)(buf.size - CP_FRAME_PREFIX_BYTES));
    memcpy(buf.data, &length, sizeof(length));
    *out_bytes = (uint32_t)buf.size;
    *out = (uint8_t *)msgpack_sbuffer_release(&buf);
    return CP_OK;
}

CpStatus
CpDatagram_Encode(const CpFrame *frame, uint8_t out[CP_DATAGRAM_MAX_BYTES],
                  uint32_t *out_bytes)
{
    uint8_t *data;
    uint32_t n;
    CpStatus st = CpFrame_Encode(frame, &data, &n);
    if (st != CP_OK) {
        return st;
    }
    n -= CP_FRAME_PREFIX_BYTES;
    if (n > CP_DATAGRAM_MAX_BYTES) {
        st = CpError_Set(CP_ERR_RANGE, "datagram of %u bytes is too large", n);
    }
    else {
        memcpy(out, data + CP_FRAME_PREFIX_BYTES, n);
        *out_bytes = n;
    }
    free(data);
    return st;
}

CpStatus
CpDatagram_Decode(const uint8_t *data, uint32_t size_bytes,
                  CpDecodedFrame *out)
{
    CpStatus st = CpFrame_Decode(data, size_bytes, out);
    if (st == CP_OK && out->frame.type < CP_FRAME_REPORT) {
        CpFrame_Clear(out);
        return CpError_Set(CP_ERR_PARSE,
                           "frame type not allowed in a datagram");
    }
    return st;
}

CpStatus
CpFrame_Decode(const uint8_t *data, uint32_t size_bytes, CpDecodedFrame *out)
{
    msgpack_object o;
    size_t offset = 0;
    msgpack_zone *zone = msgpack_zone_new(1024);
    *out = (CpDecodedFrame){.zone = zone};
    if (!CpFrame_HasValidLengths(data, size_bytes) ||
        msgpack_unpack((const char *)data, size_bytes, &offset, zone, &o) !=
            MSGPACK_UNPACK_SUCCESS ||
        offset != size_bytes || o.type != MSGPACK_OBJECT_ARRAY ||
        o.via.array.size == 0 ||
        o.via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        CpFrame_Clear(out);
        return CpError_Set(CP_ERR_PARSE, "frame is malformed or has no type");
    }
    uint64_t type = o.via.array.ptr[0].via.u64;
    if (type == 0 || type >= CP_FRAME_TYPE_COUNT ||
        frame_layouts[type].count == 0 ||
        o.via.array.size != frame_layouts[type].count + 1) {
        CpFrame_Clear(out);
        return CpError_Set(CP_ERR_PARSE,
                           "frame type or field count is unknown");
    }
    out->frame.type = (CpFrameType)type;
    msgpack_object fields = o;
    fields.via.array.ptr++;
    fields.via.array.size--;
    if (!unpack_fields(&fields, frame_layouts[type].fields,
                       frame_layouts[type].count, (char *)&out->frame.hello,
                       zone)) {
        CpFrame_Clear(out);
        return CpError_Set(CP_ERR_PARSE, "frame type %u has an invalid field",
                           (uint32_t)type);
    }
    return CP_OK;
}

void
CpFrame_Clear(CpDecodedFrame *d)
{
    if (d->zone != NULL) {
        msgpack_zone_free(d->zone);
        d->zone = NULL;
    }
}

static void
pack_fields(msgpack_packer *pk, const Field *fields, uint32_t count,
            const char *in)
{
    for (uint32_t i = 0; i < count; i++) {
        pack_field(pk, &fields[i], in);
    }
}

static void
pack_field(msgpack_packer *pk, const Field *f, const char *in)
{
    const void *value = in + f->offset;
    const CpBytes *bytes = value;
    size_t n;
    switch (f->type) {
    case FIELD_U32:
        msgpack_pack_uint32(pk, *(const uint32_t *)value);
        break;
    case FIELD_U64:
        msgpack_pack_uint64(pk, *(const uint64_t *)value);
        break;
    case FIELD_TEXT:
        n = strnlen(value, f->size_bytes);
        msgpack_pack_str(pk, n);
        msgpack_pack_str_body(pk, value, n);
        break;
    case FIELD_BYTES:
        msgpack_pack_bin(pk, bytes->size_bytes);
        msgpack_pack_bin_body(pk, bytes->data, bytes->size_bytes);
        break;
    case FIELD_ROWS: {
        const char *rows = *(char *const *)value;
        uint32_t count =
            *(const uint32_t *)(const void *)(in + f->count_offset);
        msgpack_pack_array(pk, count);
        for (uint32_t i = 0; i < count; i++) {
            msgpack_pack_array(pk, f->row_field_count);
            pack_fields(pk, f->row_fields, f->row_field_count,
                        rows + i * f->size_bytes);
        }
        break;
    }
    }
}

static bool
unpack_fields(const msgpack_object *from, const Field *fields, uint32_t count,
              char *out, msgpack_zone *zone)
{
    if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size != count) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (!unpack_field(&from->via.array.ptr[i], &fields[i], out, zone)) {
            return false;
        }
    }
    return true;
}

static bool
unpack_field(const msgpack_object *o, const Field *f, char *out,
             msgpack_zone *zone)
{
    char *value = out + f->offset;
    bool is_integer = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
    switch (f->type) {
    case FIELD_U32:
        if (!is_integer || o->via.u64 > UINT32_MAX) {
            return false;
        }
        *(uint32_t *)(void *)value = (uint32_t)o->via.u64;
        return true;
    case FIELD_U64:
        if (!is_integer) {
            return false;
        }
        *(uint64_t *)(void *)value = o->via.u64;
        return true;
    case FIELD_TEXT:
        if (o->type != MSGPACK_OBJECT_STR ||
            o->via.str.size >= f->size_bytes) {
            return false;
        }
        if (o->via.str.size > 0) {
            memcpy(value, o->via.str.ptr, o->via.str.size);
        }
        value[o->via.str.size] = '\0';
        return true;
    case FIELD_BYTES:
        if (o->type != MSGPACK_OBJECT_BIN) {
            return false;
        }
        *(CpBytes *)(void *)value = (CpBytes){o->via.bin.ptr, o->via.bin.size};
        return true;
    case FIELD_ROWS:
        return unpack_rows(o, f, out, zone);
    }
    return false;
}

static bool
unpack_rows(const msgpack_object *o, const Field *f, char *out,
            msgpack_zone *zone)
{
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > MAX_ROWS) {
        return false;
    }
    uint32_t n = o->via.array.size;
    char *rows = msgpack_zone_malloc(zone, (n + 1) * f->size_bytes);
    memset(rows, 0, (n + 1) * f->size_bytes);
    *(void **)(void *)(out + f->offset) = rows;
    *(uint32_t *)(void *)(out + f->count_offset) = n;
    for (uint32_t i = 0; i < n; i++) {
        if (!unpack_fields(&o->via.array.ptr[i], f->row_fields,
                           f->row_field_count, rows + i * f->size_bytes,
                           zone)) {
            return false;
        }
    }
    return true;
}
