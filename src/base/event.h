/*
 * event: the structured log, one JSON object per line on standard output.
 * Lines are queued in a bounded buffer and written by a separate thread, so
 * that a slow reader of the output never delays a request. Lines that exceed
 * the rate limit of their kind or the buffer are dropped and counted.
 */
#ifndef CP_EVENT_H
#define CP_EVENT_H

#include <jansson.h>

#include "base/base.h"

/* Kinds of events; each has its own rate limit. */
typedef enum {
    CP_EVENT_PROCESS = 0, /* start, stop, reload */
    CP_EVENT_DEPENDENCY,  /* store or host unreachable, reachable again */
    CP_EVENT_STATE,       /* written "belief": configuration, servers, hosts,
                             evacuations */
    CP_EVENT_SERVER,   /* server ejected, in service again, slow or replaced */
    CP_EVENT_ATTEMPT,  /* a request was sent to a server */
    CP_EVENT_RETRY,    /* a request is retried, or a retry is denied */
    CP_EVENT_REFUSED,  /* a request was refused before it was sent */
    CP_EVENT_DENIED,   /* a request was denied, and why */
    CP_EVENT_FAILED,   /* a request got no response from a server */
    CP_EVENT_ANSWERED, /* a request was completed */
    CP_EVENT_KIND_COUNT
} CpEventKind;

typedef struct {
    const char *host; /* host name in each line */
    int32_t fd;       /* output; -1: lines are discarded */
} CpEventOptions;

CpStatus CpEvent_Open(const CpEventOptions *options);
/* Writes the queued lines and stops the thread. */
void CpEvent_Close(void);
/* Queues one line. `fmt` and the arguments are those of jansson's json_pack()
 * for an object, without the braces: "s:s,s:I", "key", "text", ... */
void CpEvent(CpEventKind kind, const char *what, const char *fmt, ...);
const char *CpEventKind_Name(CpEventKind kind);
/* Returns the number of lines of this kind that were dropped. */
uint64_t CpEvent_Dropped(CpEventKind kind);

#endif
