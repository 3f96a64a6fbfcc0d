/* A backend server in the process of a test. It can hold the thread of a
 * client between two system calls, which forces the order of events. */
#ifndef CP_REGRESS_SERVER_H
#define CP_REGRESS_SERVER_H

#include <pthread.h>

#include "base/base.h"

#define CP_TEST_ANSWERS 64
#define CP_TEST_HEAD_BYTES (128 * 1024)
#define CP_TEST_WAIT_MS 10000 /* longest wait for an event */

/* What the server answers to a request. */
typedef struct {
    char name[16];    /* of the request */
    char framing[16]; /* length; last: the same, and the connection ends;
                       * close: no length */
    char *target;     /* of the request */
    uint32_t body_bytes;
    uint32_t head_bytes;   /* of a header besides the usual ones */
    uint32_t upload_bytes; /* body of the request */
    bool waits;            /* the answer is not sent yet */
    uint32_t connection;   /* on which the request came, from 1 on */
    uint32_t request;      /* its number there */
    uint32_t runs;
    bool is_changed; /* the request came with another target */
} CpTestAnswer;

typedef struct {
    const char *id_header; /* echoed */
    const char *lines;     /* header lines of each response */
    bool names_in_target;  /* a request's name is its path, else its id */
} CpTestServerOptions;

typedef struct {
    CpTestServerOptions options;
    char address[CP_ADDR_BYTES];
    int32_t listen_fd;
    pthread_mutex_t lock; /* guards the answers */
    pthread_cond_t changed;
    CpTestAnswer answers[CP_TEST_ANSWERS];
    uint32_t answer_count;
} CpTestServer;

/* Starts a server, whose threads run until the process ends. */
CpTestServer *CpTestServer_Start(const CpTestServerOptions *options);
/* Adds an answer, which is kept until CP_TEST_ANSWERS others have been added.
 */
CpTestAnswer *CpTestServer_Add(CpTestServer *s, const char *name,
                               const char *framing, uint32_t body_bytes);
/* While it is set, a call that sends a request to the server, or receives a
 * part of its answer, returns when there is more to read. There is one client
 * thread, and it sends the next request after the answer to the last. */
void CpTestServer_Hold(const CpTestServer *s, bool on);
/* Returns true if these are the bytes of a body from an offset on. */
bool CpTestServer_IsBody(const char *body, uint64_t n, uint64_t offset);

bool CpTestSocket_Read(int32_t fd, void *out, size_t n);
/* Reads a line and removes its end. */
bool CpTestSocket_ReadLine(int32_t fd, char *out, size_t n);
bool CpTestSocket_Write(int32_t fd, const void *data, size_t n);

#endif
