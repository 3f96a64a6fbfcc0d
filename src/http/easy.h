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
/* Performs the call and appends the response body; the call fails if it is
 * longer than max_bytes, or if what was received is not one whole response
 * with a body of text. A kept connection on which bytes wait is not used. Uses
 * the callbacks for headers, data and debugging. */
CURLcode CpEasy_Perform(CURL *e, GString *body, size_t max_bytes,
                        long *status);
/* Ends the connection of the last call, so that no later one uses it. */
void CpEasy_Disconnect(CURL *e);

/* What a line of a response head is, as the library passes it. Lines of a
 * trailer come in the same way, after the head. */
typedef enum {
    CP_HEAD_STATUS = 0, /* begins a head; interim responses have one, too */
    CP_HEAD_FIELD,
    CP_HEAD_END /* the blank line */
} CpHeadLine;
CpHeadLine CpEasy_ClassifyHeadLine(const char *line, size_t n);
/* Returns the result of a call: CURLE_PARTIAL_FILE instead of CURLE_OK if the
 * response ended inside its head, for which the library reports no error. */
CURLcode CpEasy_CheckHead(CURLcode code, bool head_received);

/* Ends an idle connection that the library keeps, so that it opens another
 * one. */
void CpEasy_EndConnection(curl_socket_t fd);

/* How the end of a response's body is marked. */
typedef enum {
    CP_FRAMING_UNKNOWN = 0, /* the head is not complete */
    CP_FRAMING_EMPTY,       /* there is no body */
    CP_FRAMING_LENGTH,
    CP_FRAMING_CHUNKS,
    CP_FRAMING_CLOSE /* by the end of the connection */
} CpFraming;

/* What a response's own bytes say about it, as they are received. */
typedef struct {
    CURL *easy;
    const char *const *single_headers; /* at most one line each; up to 32 */
    const char *id_header;             /* NULL: responses have no id */
    const char *id;                    /* of the request */
    bool has_text_body; /* no part of it can be taken for a status line */
    CpFraming framing;
    CpFlaw flaw;
    uint32_t status;
    bool head_received; /* of the final response */
    bool is_head;       /* the request's method is HEAD */
    bool has_status;    /* the status line was received */
    bool promises_more; /* the connection is kept after the response */
    bool has_length;
    bool is_chunked;
    uint32_t seen; /* bits of single_headers */
    uint64_t length_bytes;
    uint64_t body_bytes;
    uint64_t raw_bytes; /* of the body, with its framing */
    char raw_tail[4];   /* its last bytes */
    char following[8];  /* the first bytes after the response */
    uint32_t following_bytes;
    bool is_in_head;       /* the body's last lines look like a head */
    curl_socket_t fd;      /* of the connection; CURL_SOCKET_BAD: not known */
    curl_socket_t idle_fd; /* after the end, if it can be used again */
    char line[160];        /* the last bytes of the body's last line */
    char line_start[160];  /* its first bytes */
    uint64_t line_bytes;
} CpResponseCheck;

/* Begins the check of the response to a call. Sets the debug callback of `e`;
 * `c` has to outlive the call. The caller passes on each line of a head, and
 * each block of the body before it uses it, and aborts when there is a
 * flaw. */
void CpResponseCheck_Begin(CpResponseCheck *c, CURL *e);
/* Returns what the line is; sets a flaw if it cannot be of one response. */
CpHeadLine CpResponseCheck_OnHeadLine(CpResponseCheck *c, const char *line,
                                      size_t n);
void CpResponseCheck_OnBody(CpResponseCheck *c, const char *data, size_t n);
/* Ends the check and sets the remaining flaws, unless the call failed. Returns
 * the result of the call, CURLE_PARTIAL_FILE instead of CURLE_OK if there is a
 * flaw. A connection that cannot be used again is ended. */
CURLcode CpResponseCheck_End(CpResponseCheck *c, CURLcode code);
/* Counts a call to a backend server after its end: whether it opened a
 * connection, whether that is spent, and whether the response had a flaw. */
void CpResponseCheck_Count(const CpResponseCheck *c);

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
