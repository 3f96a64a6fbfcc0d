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
 * longer than max_bytes, or if the response ends inside its head. Uses the
 * callbacks for headers and data. */
CURLcode CpEasy_Perform(CURL *e, GString *body, size_t max_bytes,
                        long *status);

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
