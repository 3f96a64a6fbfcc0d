/*
 * wire: the protocol between hosts. A frame is a length and a number, 4 bytes
 * big-endian each, and one msgpack array. The number counts the frames of one
 * direction, so that a repeated or lost frame ends the session. Sessions are
 * authenticated TCP connections that interleave frames by class, so that bulk
 * data never delays urgent work.
 */
#ifndef CP_WIRE_H
#define CP_WIRE_H

#include "admit/admit.h"
#include "base/base.h"
#include "member/member.h"

#define CP_LENGTH_BYTES 4 /* counts what follows the prefix */
#define CP_PREFIX_BYTES 8
#define CP_FRAME_MAX_BYTES (192 * 1024)
#define CP_DATA_MAX_BYTES (16 * 1024) /* payload of one DATA or BODY frame */
#define CP_BODY_MAX_BYTES (64 * 1024) /* body inside a REQUEST frame */
#define CP_TARGET_BYTES 1024          /* path and query of a request */
#define CP_TYPE_BYTES 96              /* content type */
#define CP_TICKET_BYTES 192           /* ticket text */
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
    CP_FRAME_LOAN_ASK,
    CP_FRAME_LOAN_GRANT,
    CP_FRAME_CONFIG_GET,
    CP_FRAME_CONFIG_CHUNK,
    CP_FRAME_REPORT, /* as a datagram, never in a session */
    CP_FRAME_TYPE_COUNT
} CpFrameType;

/* Order in which a session sends what waits: control first, then by rank. */
#define CP_CLASS_CONTROL 0
#define CP_CLASS_OF_RANK(rank) (1 + (rank))
#define CP_CLASSES (1 + CP_RANKS)

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

/* Where a forwarded request has to go at its receiver. */
typedef enum {
    CP_PURPOSE_RUN = 0, /* admit it for the receiver's own servers */
    CP_PURPOSE_TICKET   /* the receiver issued its ticket */
} CpPurpose;

typedef struct {
    uint64_t id;
    uint32_t purpose;
    uint32_t hops;
    char kind[CP_NAME_BYTES];
    char method[16];
    char target[CP_TARGET_BYTES];
    char content_type[CP_TYPE_BYTES];
    char ticket[CP_TICKET_BYTES];
    char origin[CP_NAME_BYTES]; /* home domain of the client */
    uint32_t remaining_ms;
    uint32_t streams_body; /* BODY frames follow */
    CpBytes body;
} CpRequestFrame;

typedef struct {
    uint64_t id;
    uint32_t last; /* nonzero: the body is whole with these bytes */
    CpBytes data;
} CpDataFrame;

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
    char content_type[CP_TYPE_BYTES];
    char server[CP_NAME_BYTES];
    uint32_t busy; /* running and waiting in the pool that served it */
} CpHeadFrame;

/* The end of an answer: whole, or failed for `reason`. */
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
    uint32_t far;      /* between domains */
    CpMemberRow *rows; /* the sender's own row first */
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

/* Requests that the sender has at one backend server now. */
typedef struct {
    uint64_t server; /* hash of the instance */
    uint32_t count;
} CpReportRow;

/* What one entry host tells others of itself, again and again; each report
 * holds whole values, so that a lost one does no harm. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint64_t number;  /* grows with each report of an incarnation */
    uint32_t leaving; /* or not ready yet: callers are sent elsewhere */
    uint32_t whole;   /* no row means no request there */
    uint64_t operator_version; /* of the tables, as the sender has read them */
    uint64_t servers_version;
    uint64_t hosts_version;
    uint32_t watches; /* follows the store itself, and reaches it */
    CpReportRow *rows;
    uint32_t row_count;
} CpReportFrame;

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
    };
} CpFrame;

/* A decoded frame and the memory that its texts and lists live in. */
typedef struct {
    CpFrame frame;
    void *zone;
} CpDecoded;

/* Encodes with the prefix, whose number is set when it is sent. free() it.
 */
CpStatus CpFrame_Encode(const CpFrame *frame, uint8_t **out,
                        uint32_t *out_bytes);
/* Decodes what follows a prefix. */
CpStatus CpFrame_Decode(const uint8_t *data, uint32_t size_bytes,
                        CpDecoded *out);
void CpFrame_Clear(CpDecoded *d);

/* A frame as a datagram, which needs no prefix. */
#define CP_DATAGRAM_MAX_BYTES 1200 /* within the smallest usual path limit */
CpStatus CpDatagram_Encode(const CpFrame *frame,
                           uint8_t out[CP_DATAGRAM_MAX_BYTES],
                           uint32_t *out_bytes);
CpStatus CpDatagram_Decode(const uint8_t *data, uint32_t size_bytes,
                           CpDecoded *out);

typedef struct CpWire CpWire;
typedef struct CpSession CpSession;

typedef struct {
    /* A frame arrived; it is valid during the call only. */
    void (*on_frame)(void *ctx, CpSession *s, const CpFrame *frame);
    /* A REQUEST frame that never left this process, as its session ended. */
    void (*on_unsent)(void *ctx, CpSession *s, uint64_t id);
    /* The session ended; `refused` when nobody listens at the address. */
    void (*on_lost)(void *ctx, CpSession *s, bool refused);
    /* Bytes that may go to the peer's region now; 0 to wait a little. */
    bool (*on_spend)(void *ctx, const char *peer, uint32_t class_index,
                     uint32_t size_bytes);
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
/* Registers the periodic work; call before the timer starts. */
void CpWire_Subscribe(CpWire *w, CpTimer *t);
CpStatus CpWire_Start(CpWire *w);
void CpWire_Stop(CpWire *w);
void CpWire_Free(CpWire *w);
/* The session to a peer, dialled where there is none; release it after use.
 * `peer` names the host for CpSession_Peer() and the link budget. */
CpSession *CpWire_Dial(CpWire *w, const char *peer, const char *address);
CpSession *CpSession_Retain(CpSession *s);
void CpSession_Release(CpSession *s);
/* Queues a frame. Fails once the session has ended. */
CpStatus CpSession_Send(CpSession *s, const CpFrame *frame,
                        uint32_t class_index);
/* Ends the session. */
void CpSession_Close(CpSession *s);
const char *CpSession_Peer(const CpSession *s);
uint64_t CpSession_PeerIncarnation(const CpSession *s);
/* True for sessions that this host dialled. */
bool CpSession_Dialled(const CpSession *s);

#endif
