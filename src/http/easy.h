/*
 * easy: what all HTTP calls of this program have in common: no signals, no
 * proxy of the environment, a time-out; and handles kept for the next call.
 */
#ifndef CP_EASY_H
#define CP_EASY_H

#include <curl/curl.h>
#include <glib.h>

#include "base/base.h"

#define CP_MAX_SPARE 64 /* handles a thread keeps */

/* Handles for calls of one thread. */
typedef struct {
    CURL *spare[CP_MAX_SPARE];
    uint32_t spare_count;
} CpEasyPool;

/* One that was kept, or a new one. */
CURL *CpEasyPool_Take(CpEasyPool *p);
/* Keeps a handle, without its options, or frees it where enough are kept. */
void CpEasyPool_Give(CpEasyPool *p, CURL *e);
void CpEasyPool_Clear(CpEasyPool *p);

/* Sets up a call; the library copies the URL. */
void CpEasy_Set(CURL *e, const char *url, int64_t timeout_ms);
/* Sends the request once: the library would send it again where a kept
 * connection broke. *sent tells whether its first byte was due; up to then the
 * call is "not run". It outlives the call. */
void CpEasy_SendOnce(CURL *e, bool *sent);
/* Performs the call and appends the answer's body, at most max_bytes; the
 * call fails where it is longer. */
CURLcode CpEasy_Read(CURL *e, GString *body, size_t max_bytes, long *status);

/* Whether a line of an answer's head, as the library hands it over, is the
 * header `name`; its value is then copied, cut to fit, without its end. */
bool CpEasy_HeaderIs(const char *line, size_t n, const char *name, char *value,
                     size_t value_bytes);

#endif
