/* Internal declarations of the wire package. */
#ifndef CP_WIRE_INT_H
#define CP_WIRE_INT_H

#include <pthread.h>

#include "wire/wire.h"

typedef enum {
    CP_SESSION_CONNECTING = 0,
    CP_SESSION_HELLO, /* waiting for the peer's HELLO */
    CP_SESSION_PROOF, /* waiting for the peer's PROOF */
    CP_SESSION_READY,
    CP_SESSION_ENDED
} CpSessionState;

/* Queue of handshake frames; it goes before all classes. */
#define CP_CLASS_HANDSHAKE CP_CLASS_COUNT

/* One encoded frame in a session's queue. */
typedef struct CpOutFrame {
    struct CpOutFrame *next;
    uint8_t *data;
    uint32_t size_bytes;
    uint32_t sent_bytes;
    uint32_t class_index;
    uint64_t request_id; /* of a REQUEST frame, otherwise 0 */
} CpOutFrame;

typedef struct {
    CpOutFrame *first;
    CpOutFrame *last;
} CpOutQueue;

typedef struct {
    CpWire *wire;
    pthread_t thread;
    int32_t epoll_fd;
    int32_t wake_fd;
    pthread_mutex_t lock; /* guards sessions */
    CpSession *sessions;
} CpWireShard;

struct CpSession {
    CpSession *next; /* in its shard's list */
    CpWire *wire;
    CpWireShard *shard;
    uint32_t refs;        /* atomic */
    pthread_mutex_t lock; /* guards the fields below */
    int32_t fd;
    uint32_t state; /* CpSessionState; atomic, written under the lock */
    bool outbound;
    bool refused;
    bool link_blocked; /* the link had no budget */
    bool wants_write;  /* EPOLLOUT is armed */
    char peer[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
    uint64_t peer_incarnation;
    uint8_t nonce[CP_NONCE_BYTES];
    uint8_t peer_nonce[CP_NONCE_BYTES];
    int64_t opened_ns;
    uint32_t sent_frames;
    CpOutFrame *sending;                   /* being written, and in no queue */
    CpOutQueue queues[CP_CLASS_COUNT + 1]; /* the last: handshake frames */
    /* Input buffer; used by the shard's thread only, without the lock. */
    uint8_t *input;
    uint32_t input_bytes;
    uint32_t input_capacity_bytes;
    uint32_t received_frames;
};

struct CpWire {
    CpWireOptions options;
    char host[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    char listen[CP_ADDR_BYTES];
    int32_t listen_fd;
    uint32_t shard_count;
    uint32_t stopping;     /* atomic */
    uint32_t link_blocked; /* atomic flag: a session waits for link budget */
    int64_t last_check_ns; /* used by the timer's thread only */
    CpWireShard *shards;
};

/* Returns true if each length in a payload fits the bytes that follow it. */
bool CpFrame_HasValidLengths(const uint8_t *data, uint32_t size_bytes);
/* Handles HELLO and PROOF; locks the session. Returns false if the session
 * must end. */
bool CpAuth_OnFrame(CpSession *s, const CpFrame *frame);
/* Queues this side's HELLO; the lock is held. */
void CpAuth_SendHello(CpSession *s);
/* Queues a frame and writes what the socket accepts; the lock is held. */
CpStatus CpOut_Enqueue(CpSession *s, const CpFrame *frame,
                       uint32_t class_index);
/* Writes until the queues are empty, the socket would block or the link has
 * no budget; the lock is held. Returns false if the socket failed. */
bool CpOut_Flush(CpSession *s);
/* Empties the queues and returns their frames, for the caller to report and
 * free after unlocking. The request_id of the frame that is being written is
 * cleared: the frame counts as sent. */
CpOutFrame *CpOut_DetachAll(CpSession *s);
#endif
