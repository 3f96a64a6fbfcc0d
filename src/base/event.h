/*
 * event: structured log lines, one JSON object each, on standard output. A
 * line is queued in a bounded ring and written by a thread of its own, so
 * that a slow reader of the output never holds up a request; lines beyond the
 * rate of their kind or the room of the ring are dropped and counted.
 */
#ifndef CP_EVENT_H
#define CP_EVENT_H

#include <jansson.h>

#include "base/base.h"

/* What a line tells; each kind has a rate of its own. */
typedef enum {
    CP_EVENT_PROCESS = 0, /* start, stop, reload */
    CP_EVENT_DEPENDENCY,  /* the store, or another host, lost or regained */
    CP_EVENT_BELIEF,      /* configuration, servers, hosts, evacuations */
    CP_EVENT_SERVER,      /* a server is rested, tried again or restored */
    CP_EVENT_ATTEMPT,     /* a request was sent to a server */
    CP_EVENT_RETRY,       /* a request is tried again, or may not be */
    CP_EVENT_REFUSED,     /* a request was refused before it was sent */
    CP_EVENT_FAILED,      /* a request got no answer from a server */
    CP_EVENT_ANSWERED,    /* a request was answered */
    CP_EVENT_KIND_COUNT
} CpEventKind;

typedef struct {
    const char *host; /* name in each line */
    int32_t fd;       /* where lines go; -1: nowhere */
} CpEventOptions;

CpStatus CpEvent_Open(const CpEventOptions *options);
/* Writes what is queued and ends the thread. */
void CpEvent_Close(void);
/* Queues one line. `fmt` and what follows are those of jansson's json_pack()
 * for an object, without the braces: "s:s,s:I", "key", "text", ... */
void CpEvent(CpEventKind kind, const char *what, const char *fmt, ...);
const char *CpEventKind_Name(CpEventKind kind);
/* Lines of this kind that were dropped. */
uint64_t CpEvent_Dropped(CpEventKind kind);

#endif
