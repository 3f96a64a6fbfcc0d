/* Parts of a session that its files share. */
#ifndef CP_WIRE_INT_H
#define CP_WIRE_INT_H

#include <pthread.h>

#include "wire/wire.h"

typedef enum {
    CP_SESSION_CONNECTING = 0,
    CP_SESSION_HELLO, /* waits for the peer's HELLO */
    CP_SESSION_PROOF, /* waits for the peer's PROOF */
    CP_SESSION_READY,
    CP_SESSION_ENDED
} CpSessionState;

#define CP_CLASS_HANDSHAKE CP_CLASSES

/* One encoded frame in a session's queue. */
typedef struct CpOut {
    struct CpOut *next;
    uint8_t *data;
    uint32_t size_bytes;
    uint32_t sent_bytes;
    uint32_t class_index;
    uint64_t request_id; /* of a REQUEST frame, else 0 */
} CpOut;

typedef struct {
    CpOut *first;
    CpOut *last;
} CpOutQueue;

typedef struct {
    CpWire *wire;
    pthread_t thread;
    int32_t epoll_fd;
    int32_t wake_fd;
    pthread_mutex_t lock; /* of the list of sessions */
    CpSession *sessions;
} CpWireShard;

struct CpSession {
    CpSession *next; /* in its shard's list */
    CpWire *wire;
    CpWireShard *shard;
    uint32_t refs;
    pthread_mutex_t lock; /* of all below */
    int32_t fd;
    uint32_t state; /* CpSessionState; written under the lock */
    bool dialled;
    bool refused;
    bool paced;       /* waits for the link budget */
    bool wants_write; /* EPOLLOUT is armed */
    char peer[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
    uint64_t peer_incarnation;
    uint8_t nonce[CP_NONCE_BYTES];
    uint8_t peer_nonce[CP_NONCE_BYTES];
    int64_t opened_ns;
    uint32_t sent_frames;
    CpOut *sending;                 /* partly written */
    CpOutQueue out[CP_CLASSES + 1]; /* the last: the handshake's */
    /* Input; only the shard's thread uses it. */
    uint8_t *in;
    uint32_t in_bytes;
    uint32_t in_room;
    uint32_t got_frames;
};

struct CpWire {
    CpWireOptions options;
    char host[CP_NAME_BYTES];
    char domain[CP_NAME_BYTES];
    char listen[CP_ADDR_BYTES];
    int32_t listen_fd;
    uint32_t shard_count;
    uint32_t stopping;
    uint32_t paced;     /* flag: some session waits for a link */
    int64_t checked_ns; /* of the timer's thread */
    CpWireShard *shards;
};

/* Whether every length in an encoded frame fits what is there. */
bool CpFrame_IsSound(const uint8_t *data, uint32_t size_bytes);
/* Handles HELLO and PROOF; false ends the session. Takes its lock. */
bool CpAuth_Handle(CpSession *s, const CpFrame *frame);
/* Queues this side's HELLO. */
void CpAuth_Hello(CpSession *s);
/* Queues a frame and writes what can be written; the lock is held. */
CpStatus CpOut_Put(CpSession *s, const CpFrame *frame, uint32_t class_index);
/* Writes until the socket or the link says wait; false when it failed. */
bool CpOut_Flush(CpSession *s);
/* Frees what is queued; reports unsent requests after unlocking. */
CpOut *CpOut_TakeAll(CpSession *s);
#endif
