/*
 * easy: helpers for curl's easy handles: the common options of all outgoing
 * HTTP calls (no signals, no proxy from the environment, a timeout), and a
 * pool of idle handles.
 */
#ifndef CP_EASY_H
#define CP_EASY_H

#include <curl/curl.h>
#include <glib.h>

#include "base/base.h"

#define CP_EASY_MAX_IDLE 64 /* idle handles per thread */

/* A pool of handles, used by one thread only. */
typedef struct {
    CURL *idle[CP_EASY_MAX_IDLE];
    uint32_t idle_count;
} CpEasyPool;

/* Returns an idle handle, or a new one. */
CURL *CpEasyPool_Acquire(CpEasyPool *p);
/* Resets a handle and returns it to the pool, or frees it if the pool is
 * full. */
void CpEasyPool_Release(CpEasyPool *p, CURL *e);
/* Frees the idle handles. */
void CpEasyPool_Clear(CpEasyPool *p);

/* Sets the URL and the common options of a call; the library copies the
 * URL. */
void CpEasy_SetDefaults(CURL *e, const char *url, int64_t timeout_ms);
/* Makes a call fail rather than send its request a second time, as the library
 * does when a reused connection breaks. *sent becomes true right before the
 * first byte is sent; until then the request has not run. `sent` has to
 * outlive the call. */
void CpEasy_SendOnce(CURL *e, bool *sent);
/* Receives a line of a head, or a block of a body, as the library passes it;
 * returns n, or 0 to fail the call. */
typedef size_t (*CpReceiveFn)(char *data, size_t size, size_t n, void *ctx);
void CpEasy_SetReceivers(CURL *e, CpReceiveFn on_head, CpReceiveFn on_body,
                         void *ctx);

/* What a line of a response head is, as the library passes it. Lines of a
 * trailer come in the same way, after the head. */
typedef enum {
    CP_HEAD_STATUS = 0, /* begins a head; interim responses have one, too */
    CP_HEAD_FIELD,
    CP_HEAD_END /* the blank line */
} CpHeadLine;

/* Ends an idle connection that the library keeps, so that it opens another
 * one. */
void CpEasy_EndConnection(curl_socket_t fd);

/* The connections of a multi handle, and the call that uses each. When the
 * library has received a response, it may give the connection to the next call
 * before curl_multi_info_read() reports the end of the first. */
typedef struct CpConnections CpConnections;

/* How the end of a response's body is marked. */
typedef enum {
    CP_FRAMING_UNKNOWN = 0, /* the head is not complete */
    CP_FRAMING_EMPTY,       /* there is no body */
    CP_FRAMING_LENGTH,
    CP_FRAMING_CHUNKS,
    CP_FRAMING_CLOSE /* by the end of the connection */
} CpFraming;

/* What is known of a response before it comes. */
typedef struct {
    CpConnections *connections; /* of its multi handle; NULL: the connection is
                                 * not known before the end of the call */
    const char *server;         /* names the server among the connections; not
                                 * copied */
    const char *const *single_headers; /* at most one line each; up to 32 */
    const char *id_header;             /* NULL: responses have no id */
    const char *id;                    /* of the request; not copied */
    bool is_head;                      /* the request's method is HEAD */
    /* The body is text whose lines end in no status line, unless a quote
     * follows that: JSON, or pages of our own. */
    bool has_text_body;
} CpResponseOptions;

/* What a response's own bytes say about it, as they are received. */
typedef struct {
    CpResponseOptions options;
    CURL *easy;
    curl_socket_t opened_fd; /* of a connection that is not used yet */
    curl_socket_t fd; /* of the connection that the call uses, if known; else
                       * CURL_SOCKET_BAD */
    curl_socket_t idle_fd; /* after the end, if it can be used again */
    CpFlaw flaw;
    CpFraming framing;
    bool head_received; /* of the final response */
    bool has_status;    /* the status line was received */
    bool promises_more; /* the connection is kept after the response */
    bool announces_end; /* the connection ends with the response */
    bool has_length;
    bool is_chunked;
    uint32_t status;
    uint32_t seen; /* bits of single_headers */
    uint64_t length_bytes;
    uint64_t body_bytes;
    uint64_t raw_bytes; /* of the body, with its framing */
    char raw_tail[4];   /* its last bytes */
    char following[8];  /* the first bytes after the response */
    uint32_t following_bytes;
    bool is_in_head;      /* the body's last lines look like a head */
    uint64_t line_bytes;  /* of the body's last line */
    char line_start[160]; /* its first bytes */
    char line[160];       /* its last bytes */
} CpResponseCheck;

/* Begins the check of the response to a call. Sets the debug callback of `e`;
 * `c` has to outlive the call. The caller passes on each line of a head, and
 * each block of the body before it uses it, and aborts when there is a
 * flaw. */
void CpResponseCheck_Begin(CpResponseCheck *c,
                           const CpResponseOptions *options, CURL *e);
/* Returns what the line is; sets a flaw if it cannot be of one response. */
CpHeadLine CpResponseCheck_OnHeadLine(CpResponseCheck *c, const char *line,
                                      size_t n);
void CpResponseCheck_OnBody(CpResponseCheck *c, const char *data, size_t n);
/* Ends the check and sets the remaining flaws, unless the call failed. Returns
 * the result of the call, CURLE_PARTIAL_FILE instead of CURLE_OK if there is a
 * flaw. A connection that cannot be used again is ended. */
CURLcode CpResponseCheck_End(CpResponseCheck *c, CURLcode code);
/* Returns true if the call's connection can be used again, as far as the
 * response shows that was received completely. */
bool CpResponseCheck_IsClean(const CpResponseCheck *c);
/* Notes what the connection holds after the response, and leaves it there. */
void CpResponseCheck_ReadFollowing(CpResponseCheck *c, curl_socket_t fd);
/* Counts a call to a backend server after its end: whether it opened a
 * connection, whether that is spent, and whether the response had a flaw. */
void CpResponseCheck_Count(const CpResponseCheck *c);

/* How a call came by its connection. */
typedef enum {
    CP_CONNECTION_OPENED = 0, /* for this call */
    CP_CONNECTION_REUSED,
    CP_CONNECTION_SPENT /* it has ended, or holds bytes of no call: abort the
                         * call, so that the library closes it */
} CpConnectionState;

CpConnections *CpConnections_New(void);
/* Frees the table; the connections have to be closed before. */
void CpConnections_Free(CpConnections *t);
/* Sets the options of a call that keep the table up to date; its function for
 * CURLOPT_SOCKOPTFUNCTION has to call CpConnections_OnOpened(). */
void CpConnections_Follow(CpConnections *t, CURL *e);
void CpConnections_OnOpened(CpResponseCheck *c, curl_socket_t fd);
/* Begins the use of the connection that the library has chosen for a call. To
 * be called by its CURLOPT_PREREQFUNCTION, which gets the port. */
CpConnectionState CpConnections_Take(CpResponseCheck *c, int local_port);
/* Ends the use of a connection after its call was removed from the multi
 * handle. Returns the socket if it is idle now and can be used again. One that
 * cannot be is ended; one that another call has taken is left alone. */
curl_socket_t CpConnections_Release(CpResponseCheck *c);
/* Returns true if no call uses the connection of this socket. */
bool CpConnections_IsIdle(const CpConnections *t, curl_socket_t fd);

/* A response with a body of text while it is received. */
typedef struct {
    CpResponseCheck check;
    GString *body;
    size_t max_bytes;
} CpEasyText;
/* Makes a call append the response body to `body`, and fail if that is longer
 * than max_bytes. End the check when the call has ended. */
void CpEasyText_Begin(CpEasyText *t, GString *body, size_t max_bytes, CURL *e);
/* Performs the call in the same way; it fails if what was received is not one
 * whole response. A kept connection on which bytes wait is not used. */
CURLcode CpEasy_Perform(CURL *e, GString *body, size_t max_bytes,
                        long *status);
/* Ends the connection of the last call, so that no later one uses it. */
void CpEasy_Disconnect(CURL *e);

/* Returns true if a line of a response head, as the library passes it, is the
 * header `name`, and copies its value, cut to fit, without the line end. */
bool CpEasy_MatchHeader(const char *line, size_t n, const char *name,
                        char *value, size_t value_bytes);

/* Decodes the value of a Retry-After header, seconds that may have a fraction.
 * Returns 0 if it is not a positive number, and at most
 * CP_EASY_MAX_RETRY_AFTER_MS. */
#define CP_EASY_MAX_RETRY_AFTER_MS (10u * 60 * 1000)
uint32_t CpEasy_ParseRetryAfter_ms(const char *value);

#endif
