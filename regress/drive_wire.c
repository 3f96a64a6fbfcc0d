/* Driver for the scripts of wire: frames that are encoded and decoded again,
 * and corrupted frames. */
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "regress.h"
#include "wire/wire.h"

static void run_line(void *ctx, char *line);
static void round_trip(FILE *out, CpFrameType type);
static void decode_corrupted(FILE *out, uint64_t seed, uint32_t times);
static void decode(FILE *out, const char *hex);
static CpFrame make_example(CpFrameType type, CpMemberRow *member,
                            CpLoanRow *loan, CpPoolLoad *load);

void
CpDrive_Wire(FILE *in, FILE *out)
{
    CpScript_Run(in, run_line, out);
}

static void
run_line(void *ctx, char *line)
{
    FILE *out = ctx;
    uint64_t seed;
    uint32_t n, first, last;
    if (sscanf(line, "round trip of %u to %u", &first, &last) == 2) {
        for (uint32_t t = first; t <= last; t++) {
            round_trip(out, (CpFrameType)t);
        }
    }
    else if (strncmp(line, "round trip", 10) == 0) {
        for (uint32_t t = 1; t <= CP_FRAME_REPORT; t++) {
            round_trip(out, (CpFrameType)t);
        }
    }
    else if (sscanf(line, "spoil %" SCNu64 " %u", &seed, &n) == 2) {
        decode_corrupted(out, seed, n);
    }
    else if (strncmp(line, "bytes ", 6) == 0) {
        decode(out, line + 6);
    }
    else {
        fprintf(out, "not understood: %s\n", line);
    }
}

/* Encodes a frame, decodes it and encodes the result: the bytes must be the
 * same. */
static void
round_trip(FILE *out, CpFrameType type)
{
    CpMemberRow member;
    CpLoanRow loan;
    CpPoolLoad load;
    uint8_t *encoded, *reencoded;
    uint32_t encoded_bytes, reencoded_bytes;
    CpDecodedFrame d;
    CpFrame f = make_example(type, &member, &loan, &load);
    CpFrame_Encode(&f, &encoded, &encoded_bytes);
    CpStatus st = CpFrame_Decode(encoded + CP_FRAME_PREFIX_BYTES,
                                 encoded_bytes - CP_FRAME_PREFIX_BYTES, &d);
    if (st != CP_OK) {
        fprintf(out, "type %d: %s\n", (int)type, CpError_Message());
        free(encoded);
        return;
    }
    CpFrame_Encode(&d.frame, &reencoded, &reencoded_bytes);
    fprintf(out, "type %d: %s\n", (int)type,
            encoded_bytes == reencoded_bytes &&
                    memcmp(encoded, reencoded, encoded_bytes) == 0
                ? "the same"
                : "differs");
    CpFrame_Clear(&d);
    free(encoded);
    free(reencoded);
}

/* Decodes frames with random bytes changed or the end cut off: each must be
 * rejected or decoded, without a crash. */
static void
decode_corrupted(FILE *out, uint64_t seed, uint32_t times)
{
    CpSeed r = {seed};
    uint32_t rejected = 0;
    for (uint32_t i = 0; i < times; i++) {
        CpMemberRow member;
        CpLoanRow loan;
        CpPoolLoad load;
        uint8_t *encoded;
        uint32_t n;
        CpDecodedFrame d;
        CpFrame f = make_example(
            (CpFrameType)(1 + CpSeed_Below(&r, CP_FRAME_TYPE_COUNT - 1)),
            &member, &loan, &load);
        CpFrame_Encode(&f, &encoded, &n);
        n -= CP_FRAME_PREFIX_BYTES;
        for (uint32_t k = 0; k <= CpSeed_Below(&r, 4); k++) {
            encoded[CP_FRAME_PREFIX_BYTES + CpSeed_Below(&r, n)] =
                (uint8_t)CpSeed_Next(&r);
        }
        if (CpSeed_Below(&r, 3) == 0) {
            n = CpSeed_Below(&r, n);
        }
        if (CpFrame_Decode(encoded + CP_FRAME_PREFIX_BYTES, n, &d) == CP_OK) {
            CpFrame_Clear(&d);
        }
        else {
            rejected++;
        }
        free(encoded);
    }
    fprintf(out, "seed %" PRIu64 ": %s refused\n", seed,
            rejected > times / 4 ? "over a quarter" : "few");
}

static void
decode(FILE *out, const char *hex)
{
    uint8_t bytes[64];
    size_t n = 0;
    CpDecodedFrame d;
    sodium_hex2bin(bytes, sizeof(bytes), hex, strlen(hex), " \n", &n, NULL);
    CpStatus st = CpFrame_Decode(bytes, (uint32_t)n, &d);
    fprintf(out, "%s: %s\n", CpStatus_Name(st),
            st == CP_OK ? "read" : CpError_Message());
    CpFrame_Clear(&d);
}

static CpFrame
make_example(CpFrameType type, CpMemberRow *member, CpLoanRow *loan,
             CpPoolLoad *load)
{
    CpFrame f = {.type = type};
    *load = (CpPoolLoad){1, 70000, 3, 900};
    *member = (CpMemberRow){.host = "h1",
                            .incarnation = UINT64_MAX,
                            .epoch = 2,
                            .state = CP_MEMBER_LIVE,
                            .config_version = 1000,
                            .loads = load,
                            .load_count = 1};
    static CpReportRow report[] = {{.server_hash = 9, .inflight = 3},
                                   {.server_hash = 10}};
    static CpTokensRow tokens[] = {
        {.org_hash = UINT64_MAX, .ask_id = 3, .amount = 4000000},
        {.org_hash = 10, .oldest_age_ms = 5, .retry_after_ms = UINT32_MAX}};
    static CpSpeedRow speeds[] = {
        {.server_hash = 9, .work_percent = 250, .age_ms = 70},
        {.server_hash = 10, .work_percent = 100}};
    *loan = (CpLoanRow){.resource = "lookup-1", .units = 3};
    switch (type) {
    case CP_FRAME_HELLO:
        f.hello = (CpHello){.host = "h1",
                            .domain = "d",
                            .incarnation = 7,
                            .nonce = {"0123456789", 10}};
        break;
    case CP_FRAME_REQUEST:
        f.request = (CpRequestFrame){.id = UINT64_MAX,
                                     .hops = 1,
                                     .kind = "payment",
                                     .method = "POST",
                                     .target = "/payment/x?a=b",
                                     .remaining_ms = 2000,
                                     .body = {"amount=5", 8}};
        break;
    case CP_FRAME_BODY:
    case CP_FRAME_DATA:
        f.data = (CpDataFrame){.id = 9, .last = 1, .data = {"bytes", 5}};
        break;
    case CP_FRAME_HEAD:
        f.head = (CpHeadFrame){.id = 9,
                               .status = 200,
                               .length_bytes = CP_LENGTH_UNKNOWN,
                               .content_type = "text/plain"};
        break;
    case CP_FRAME_PROBE:
    case CP_FRAME_PROBE_ACK:
        f.probe = (CpProbeFrame){.id = 4, .rows = member, .row_count = 1};
        break;
    case CP_FRAME_LOAN_REQUEST:
    case CP_FRAME_LOAN_GRANT:
        f.loan = (CpLoanFrame){.id = 4, .rows = loan, .row_count = 1};
        break;
    case CP_FRAME_CONFIG_CHUNK:
        f.config = (CpConfigFrame){.version = 5, .data = {"yaml", 4}};
        break;
    case CP_FRAME_REPORT:
        f.report = (CpReportFrame){.host = "north-a-1",
                                   .incarnation = 7,
                                   .sequence = 8,
                                   .complete = 1,
                                   .rows = report,
                                   .row_count = 2};
        break;
    case CP_FRAME_FRESHNESS_QUERY:
        f.freshness_query =
            (CpFreshnessQueryFrame){.incarnation = 7, .sent_ns = UINT64_MAX};
        break;
    case CP_FRAME_FRESHNESS_REPLY:
        f.freshness_reply = (CpFreshnessReplyFrame){.incarnation = 7,
                                                    .sent_ns = 8,
                                                    .host = "h1",
                                                    .age_ns = 9,
                                                    .era = 1,
                                                    .version = UINT64_MAX};
        break;
    case CP_FRAME_ERA:
        f.era = (CpEraFrame){.host = "north-a-1",
                             .incarnation = 7,
                             .era = 3,
                             .operator_era = 2,
                             .operator_version = 40,
                             .servers_era = 3,
                             .servers_version = 41,
                             .hosts_era = 1,
                             .hosts_version = UINT64_MAX,
                             .config_version = 6};
        break;
    case CP_FRAME_TOKENS_MOVE:
    case CP_FRAME_TOKENS_ASK:
    case CP_FRAME_TOKENS_GRANT:
        f.tokens = (CpTokensFrame){.host = "north-a-1",
                                   .incarnation = 7,
                                   .receiver_incarnation = UINT64_MAX,
                                   .sequence = 8,
                                   .sent_ns = 9,
                                   .rows = tokens,
                                   .row_count = 2};
        break;
    case CP_FRAME_SPEEDS:
        f.speeds = (CpSpeedsFrame){.rows = speeds, .row_count = 2};
        break;
    default:
        f.cancel.id = 12;
        break;
    }
    return f;
}
