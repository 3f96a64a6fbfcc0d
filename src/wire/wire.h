/*
 * wire: the protocol between hosts. A frame is a prefix and a payload. The
 * prefix holds the payload length and a sequence number, 4 bytes big-endian
 * each; the payload is one msgpack array. Sequence numbers count the frames of
 * one direction, so that a repeated or lost frame ends the session. Sessions
 * are authenticated TCP connections that interleave frames by class, so that
 * bulk data never delays urgent work.
 */
#ifndef CP_WIRE_H
#define CP_WIRE_H

#include "admit/admit.h"
#include "base/base.h"
#include "member/member.h"

#define CP_FRAME_LENGTH_BYTES 4 /* length field of the prefix */
#define CP_FRAME_PREFIX_BYTES 8
#define CP_FRAME_MAX_BYTES (192 * 1024)
#define CP_DATA_MAX_BYTES (16 * 1024) /* data in one DATA or BODY frame */
#define CP_BODY_MAX_BYTES (64 * 1024) /* body inside a REQUEST frame */
#define CP_TARGET_BYTES 1024          /* path and query of a request */
#define CP_CONTENT_TYPE_BYTES 96
#define CP_TICKET_BYTES 192 /* equal to CP_TICKET_TEXT_BYTES in once.h */
#define CP_NONCE_BYTES 32
#define CP_LENGTH_UNKNOWN UINT64_MAX

typedef enum {
    CP_FRAME_HELLO = 1,
    CP_FRAME_PROOF,
    CP_FRAME_REQUEST,
    CP_FRAME_BODY,
    CP_FRAME_CREDIT,
    CP_FRAME_HEAD,
    CP_FRAME_DATA,
    CP_FRAME_END,
    CP_FRAME_CANCEL,
    CP_FRAME_PROBE,
    CP_FRAME_PROBE_ACK,
    CP_FRAME_LOAN_REQUEST,
    CP_FRAME_LOAN_GRANT,
    CP_FRAME_CONFIG_GET,
    CP_FRAME_CONFIG_CHUNK,
    /* the rest are sent as datagrams, never in a session */
    CP_FRAME_REPORT,
    CP_FRAME_FRESHNESS_QUERY = 17,
    CP_FRAME_FRESHNESS_REPLY = 18,
    CP_FRAME_TOKENS_MOVE = 19,
    CP_FRAME_TOKENS_ASK = 20,
    CP_FRAME_TOKENS_GRANT = 21,
    CP_FRAME_SPEEDS = 22,
    CP_FRAME_ERA = 23,
    CP_FRAME_TYPE_COUNT
} CpFrameType;

/* Priority classes of queued frames, highest first: control frames, then
 * one class per rank. */
#define CP_CLASS_CONTROL 0
#define CP_CLASS_OF_RANK(rank) (1 + (rank))
#define CP_CLASS_COUNT (1 + CP_RANK_COUNT)

typedef struct {
    const void *data;
    uint32_t size_bytes;
} CpBytes;

typedef struct {
    char host[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    uint64_t incarnation;
    CpBytes nonce;
} CpHello;

typedef struct {
    CpBytes mac;
} CpProof;

/* How the receiver handles a forwarded request. */
typedef enum {
    CP_FORWARD_ADMIT = 0, /* admit it to the receiver's own servers */
    CP_FORWARD_TICKET     /* the receiver issued its ticket */
} CpForwardPurpose;

typedef struct {
    uint64_t id;
    uint32_t purpose;
    uint32_t hops; /* how often it was forwarded; at least 1 */
    char kind[CP_NAME_BYTES];
    char method[16];
    char target[CP_TARGET_BYTES];
    char content_type[CP_CONTENT_TYPE_BYTES];
    char ticket[CP_TICKET_BYTES];
    char origin[CP_NAME_BYTES]; /* home domain of the client */
    uint32_t remaining_ms;
    uint32_t streams_body; /* BODY frames follow */
    CpBytes body;
} CpRequestFrame;

typedef struct {
    uint64_t id;
    uint32_t last; /* of BODY; 1: the body is complete, 2: it is broken off */
    CpBytes data;
} CpDataFrame;

/* Flow control: the receiver may send this many more bytes of the body. */
typedef struct {
    uint64_t id;
    uint32_t credit_bytes;
} CpCreditFrame;

typedef struct {
    uint64_t id;
    uint32_t status;
    uint32_t verdict;
    uint32_t reason;
    uint64_t length_bytes;
    char content_type[CP_CONTENT_TYPE_BYTES];
    char server[CP_NAME_BYTES];
    uint32_t pool_load; /* running and queued in the server's pool */
} CpHeadFrame;

/* Ends a response: complete, or failed for `reason`. */
typedef struct {
    uint64_t id;
    uint32_t verdict;
    uint32_t reason;
    uint64_t total_bytes;
} CpEndFrame;

typedef struct {
    uint64_t id;
} CpIdFrame;

typedef struct {
    uint64_t id;
    uint32_t cross_domain; /* nonzero: the hosts are in different domains */
    CpMemberRow *rows;     /* the sender's own row first */
    uint32_t row_count;
} CpProbeFrame;

typedef struct {
    uint64_t id;
    CpLoanRow *rows;
    uint32_t row_count;
} CpLoanFrame;

typedef struct {
    uint64_t id;
    uint64_t version;
    uint32_t offset_bytes;
    uint32_t total_bytes;
    CpBytes data;
} CpConfigFrame;

/* The sender's requests in flight at one backend server. */
typedef struct {
    uint64_t server_hash; /* of the instance name */
    uint32_t inflight;
} CpReportRow;

/* Periodic report from one entry host to others. It holds absolute values, so
 * that the next report makes up for a lost one. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t sequence; /* increases with each report of an incarnation */
    uint32_t leaving;  /* or not ready: callers use other hosts */
    uint32_t complete; /* a server without a row has none in flight */
    uint64_t operator_version; /* table versions that the sender has read */
    uint64_t servers_version;
    uint64_t hosts_version;
    uint32_t watches_store; /* follows the store itself and reaches it */
    CpReportRow *rows;
    uint32_t row_count;
} CpReportFrame;

/* Asks how fresh the receiver's copy of the operator's table is. */
typedef struct {
    uint64_t incarnation; /* of the sender */
    uint64_t sent_ns;     /* the sender's clock */
} CpFreshnessQueryFrame;

typedef struct {
    uint64_t incarnation; /* this and the next one: as in the query */
    uint64_t sent_ns;
    char host[CP_NAME_BYTES]; /* the replier */
    uint64_t age_ns;          /* since its copy was known to be the newest */
    uint64_t era;             /* of the store, and version of its copy */
    uint64_t version;
} CpFreshnessReplyFrame;

/* Sent beside reports once the store was restored from a copy. The versions in
 * reports have no era, and earlier builds reject a report with more fields. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t era;          /* latest that the sender knows */
    uint64_t operator_era; /* table versions that the sender has read */
    uint64_t operator_version;
    uint64_t servers_era;
    uint64_t servers_version;
    uint64_t hosts_era;
    uint64_t hosts_version;
    uint64_t config_version; /* of the configuration in force; 0: none */
} CpEraFrame;

/* Quota tokens of one organisation, in millionths. */
typedef struct {
    uint64_t org_hash;
    uint64_t ask_id;
    uint64_t amount;
    uint32_t newest_age_ms;
    uint32_t oldest_age_ms;
    uint32_t retry_after_ms;
    uint32_t used;
} CpTokensRow;

/* Tokens that are moved, asked for or granted; see src/quota. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t receiver_incarnation; /* 0: not known */
    uint64_t sequence;
    uint64_t sent_ns;     /* the sender's clock */
    uint64_t receiver_ns; /* the receiver's, or earlier; 0: not known */
    uint32_t wants_reply;
    CpTokensRow *rows;
    uint32_t row_count;
} CpTokensFrame;
/* Speed of a backend server, as it was in a response to the sender. */
typedef struct {
    uint64_t server_hash;  /* of the instance name */
    uint32_t work_percent; /* time of work, of the usual one */
    uint32_t age_ms;
} CpSpeedRow;

/* Speeds of backend servers that report them. A frame of its own, because
 * older hosts reject a report whose rows have more fields. */
typedef struct {
    CpSpeedRow *rows;
    uint32_t row_count;
} CpSpeedsFrame;

typedef struct {
    CpFrameType type;
    union {
        CpHello hello;
        CpProof proof;
        CpRequestFrame request;
        CpDataFrame data; /* BODY and DATA */
        CpCreditFrame credit;
        CpHeadFrame head;
        CpEndFrame end;
        CpIdFrame cancel;
        CpProbeFrame probe;
        CpLoanFrame loan;
        CpConfigFrame config;
        CpReportFrame report;
        CpFreshnessQueryFrame freshness_query;
        CpFreshnessReplyFrame freshness_reply;
        CpTokensFrame tokens; /* TOKENS_MOVE, _ASK and _GRANT */
        CpSpeedsFrame speeds;
        CpEraFrame era;
    };
} CpFrame;

/* A decoded frame and the msgpack zone that holds its bytes and rows. */
typedef struct {
    CpFrame frame;
    void *zone;
} CpDecodedFrame;

/* Encodes a frame with its prefix; the sequence number is set when the frame
 * is sent. free() *out. */
CpStatus CpFrame_Encode(const CpFrame *frame, uint8_t **out,
                        uint32_t *out_bytes);
/* Decodes a payload. The caller frees the result with CpFrame_Clear(). */
CpStatus CpFrame_Decode(const uint8_t *data, uint32_t size_bytes,
                        CpDecodedFrame *out);
void CpFrame_Clear(CpDecodedFrame *d);

/* A datagram holds the payload of one frame, without a prefix. */
#define CP_DATAGRAM_MAX_BYTES 1200 /* fits the smallest common path MTU */
CpStatus CpDatagram_Encode(const CpFrame *frame,
                           uint8_t out[CP_DATAGRAM_MAX_BYTES],
                           uint32_t *out_bytes);
CpStatus CpDatagram_Decode(const uint8_t *data, uint32_t size_bytes,
                           CpDecodedFrame *out);

typedef struct CpWire CpWire;
typedef struct CpSession CpSession;

typedef struct {
    /* A frame was received; it is valid during the call only. */
    void (*on_frame)(void *ctx, CpSession *s, const CpFrame *frame);
    /* The session ended before any byte of this REQUEST frame was sent. */
    void (*on_request_unsent)(void *ctx, CpSession *s, uint64_t id);
    /* The session ended; `refused`: nothing listens at the peer's address. */
    void (*on_closed)(void *ctx, CpSession *s, bool refused);
    /* Takes bytes from the budget of the link to the peer's region. Returns
     * false if the link has no budget now; the session retries later. */
    bool (*reserve_bandwidth)(void *ctx, const char *peer,
                              uint32_t class_index, uint32_t size_bytes);
    void *ctx;
} CpWireCallbacks;

typedef struct {
    const char *host;
    const char *domain;
    const char *listen; /* IP:port */
    uint64_t incarnation;
    uint8_t key[32];
    uint32_t threads;
    CpWireCallbacks callbacks;
} CpWireOptions;

CpStatus CpWire_New(const CpWireOptions *options, CpWire **out);
/* Registers the periodic work; call it before the timer starts. */
void CpWire_Subscribe(CpWire *w, CpTimer *t);
CpStatus CpWire_Start(CpWire *w);
void CpWire_Stop(CpWire *w);
void CpWire_Free(CpWire *w);
/* Returns the outbound session to an address, connecting if there is none; the
 * caller releases it. `peer` is the host name for CpSession_Peer() and the
 * link budget. */
CpSession *CpWire_Dial(CpWire *w, const char *peer, const char *address);
CpSession *CpSession_Retain(CpSession *s);
void CpSession_Release(CpSession *s);
/* Queues a frame; fails once the session has ended. */
CpStatus CpSession_Send(CpSession *s, const CpFrame *frame,
                        uint32_t class_index);
/* Ends the session. */
void CpSession_Close(CpSession *s);
const char *CpSession_Peer(const CpSession *s);
uint64_t CpSession_PeerIncarnation(const CpSession *s);
/* Returns true if this host opened the connection. */
bool CpSession_IsOutbound(const CpSession *s);

#endif
