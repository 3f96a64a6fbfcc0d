/*
 * base: types and services shared by every package: status and verdict types,
 * refusal reasons, counters, log lines, checked allocation, addresses and
 * sockets, clocks and the timer service.
 */
#ifndef CP_BASE_H
#define CP_BASE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CP_NS_PER_US INT64_C(1000)
#define CP_NS_PER_MS INT64_C(1000000)
#define CP_NS_PER_S INT64_C(1000000000)
#define CP_NAME_BYTES 48 /* name of a host, domain or kind, with NUL */
#define CP_ADDR_BYTES 64 /* "IP:port" with NUL */
#define CP_RANK_COUNT 3  /* priority ranks; 0 is the most urgent */

/* Result of a call that may fail; CpError_Message() has the details. */
typedef enum {
    CP_OK = 0,
    CP_ERR_ARG,
    CP_ERR_IO,
    CP_ERR_PARSE,
    CP_ERR_RANGE,
    CP_ERR_CONFLICT,
    CP_ERR_TIMEOUT,
    CP_ERR_NOT_FOUND,
    CP_ERR_AUTH,
    CP_ERR_UNAVAILABLE,
    CP_ERR_UNKNOWN_EFFECT, /* the change may or may not have been made */
    CP_STATUS_COUNT
} CpStatus;

/* Whether a request may have run on a backend server. */
typedef enum {
    CP_NOT_RUN = 0,
    CP_MAY_HAVE_RUN,
    CP_RAN,
    CP_VERDICT_COUNT
} CpVerdict;

/* Why a request was refused or failed; each has a counter of its own. */
typedef enum {
    CP_REASON_NONE = 0,
    CP_REASON_QUEUE_FULL,
    CP_REASON_WOULD_MISS_DEADLINE,
    CP_REASON_DEADLINE_PASSED,
    CP_REASON_SHED,
    CP_REASON_NO_SERVER,
    CP_REASON_NO_HOST,
    CP_REASON_SHIFT_CAP,
    CP_REASON_HOST_BUSY,
    CP_REASON_HOST_LEAVING,
    CP_REASON_NOT_CONFIGURED,
    CP_REASON_UNKNOWN_KIND,
    CP_REASON_BAD_REQUEST,
    CP_REASON_BODY_TOO_LARGE,
    CP_REASON_TICKET_NEEDED,
    CP_REASON_TICKET_BAD,
    CP_REASON_TICKET_EXPIRED,
    CP_REASON_ISSUER_GONE,
    CP_REASON_CONNECT_FAILED,
    CP_REASON_SERVER_REFUSED,
    CP_REASON_SERVER_FAILED,
    CP_REASON_ANSWER_CROSSED,
    CP_REASON_ANSWER_TRUNCATED,
    CP_REASON_SESSION_LOST,
    CP_REASON_CALLER_GONE,
    CP_REASON_WOULD_MISS_GOAL,
    CP_REASON_WARMING_UP,
    CP_REASON_NO_ROUTE,
    CP_REASON_WRONG_SERVER,
    CP_REASON_ANSWER_TOO_LARGE,
    CP_REASON_KEY_REJECTED,
    CP_REASON_NO_COMMON_REGION,
    CP_REASON_KEY_NOT_FRESH,
    CP_REASON_QUOTA_EXCEEDED,
    CP_REASON_MEMORY_SHORT,
    CP_REASON_OVER_CAPACITY,
    CP_REASON_ORG_OVER_SHARE,
    CP_REASON_HEAD_TOO_LARGE,
    CP_REASON_NOT_CURRENT,
    CP_REASON_COUNT
} CpReason;

/* Why what a connection delivered is not one whole response. */
typedef enum {
    CP_FLAW_NONE = 0,
    CP_FLAW_HEAD_CUT,    /* the connection ended inside the head */
    CP_FLAW_HEAD_MIXED,  /* a line is malformed, or of another response */
    CP_FLAW_UNFRAMED,    /* nothing tells where the body ends */
    CP_FLAW_BODY_MIXED,  /* another response begins inside the body */
    CP_FLAW_BODY_LONGER, /* bytes follow that begin no response */
    CP_FLAW_COUNT
} CpFlaw;

/* Counters other than the per-reason ones. */
typedef enum {
    CP_COUNT_LOOKUPS = 0,
    CP_COUNT_REQUESTS,
    CP_COUNT_ANSWERED,
    CP_COUNT_FORWARDED,
    CP_COUNT_FORWARDED_IN,
    CP_COUNT_DISPATCHED,
    CP_COUNT_RETRIES,
    CP_COUNT_RETRY_BUDGET_EMPTY,
    CP_COUNT_TICKETS_ISSUED,
    CP_COUNT_LEDGER_REPLAYED,
    CP_COUNT_LEDGER_JOINED,
    CP_COUNT_LATE_FRAMES,
    CP_COUNT_BAD_FRAMES,
    CP_COUNT_BAD_KEYS,
    CP_COUNT_SESSIONS_OPENED,
    CP_COUNT_SESSIONS_LOST,
    CP_COUNT_MEMBER_CHANGES,
    CP_COUNT_MEMBER_PROBES,
    CP_COUNT_MEMBER_BYTES,
    CP_COUNT_CONFIG_ACCEPTED,
    CP_COUNT_CONFIG_REJECTED,
    CP_COUNT_ROUTE_TYPES_UNKNOWN,
    CP_COUNT_ORG_PROBLEMS,
    CP_COUNT_SERVER_ENTRIES_UNUSABLE,
    CP_COUNT_CONFIG_BYTES,
    CP_COUNT_PLATFORM_READS,
    CP_COUNT_PLATFORM_ERRORS,
    CP_COUNT_LOAN_BYTES,
    CP_COUNT_LOANS_TAKEN,
    CP_COUNT_LOANS_LAPSED,
    CP_COUNT_PAUSES_SEEN,
    CP_COUNT_LINK_BYTES,
    CP_COUNT_LINK_WAITS,
    CP_COUNT_CANCELLED,
    CP_COUNT_REPORTS_UNSENT,
    CP_COUNT_QUOTA_GRANTED,
    CP_COUNT_QUOTA_DENIED,
    CP_COUNT_QUOTA_UNANSWERED,
    CP_COUNT_QUOTA_WAITS,
    CP_COUNT_QUOTA_RETURNED,
    CP_COUNT_QUOTA_BYTES,
    CP_COUNT_SERVER_CONNECTIONS,
    CP_COUNT_CONNECTIONS_SPENT,
    CP_COUNT_RESPONSES_FLAWED,
    CP_COUNT_RESPONSES_DIRECT,
    CP_COUNT_FRESHNESS_QUERIES,
    CP_COUNT_UPLOADS_STREAMED,
    CP_COUNT_MEMORY_REFUSED,
    CP_COUNT_CALLERS_CLOSED,
    CP_COUNT_SLOW_ATTEMPTS_LEFT,
    CP_COUNT_SPEEDS_RECEIVED,
    CP_COUNT_SPEED_POLLS,
    CP_COUNTER_COUNT
} CpCounter;

/* Syslog severities that are in use. */
typedef enum {
    CP_LOG_ERR = 3,
    CP_LOG_WARNING = 4,
    CP_LOG_NOTICE = 5,
    CP_LOG_INFO = 6
} CpLogLevel;

/* Sets this thread's error message and returns `status`. */
CpStatus CpError_Set(CpStatus status, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Returns this thread's last error message; never NULL. */
const char *CpError_Message(void);
const char *CpStatus_Name(CpStatus status);

/* Returns "not-run", "may-have-run" or "ran". */
const char *CpVerdict_Name(CpVerdict verdict);
/* Parses a verdict's name; CP_MAY_HAVE_RUN for any other text. */
CpVerdict CpVerdict_Parse(const char *text);

/* Returns the name used in logs. */
const char *CpFlaw_Name(CpFlaw flaw);

/* Returns the name used in metrics and the Chestnutpaddle-Reason header. */
const char *CpReason_Name(CpReason reason);
/* Returns a description for callers and operators. */
const char *CpReason_Text(CpReason reason);
/* Returns the HTTP status sent to the caller, which is never a success. */
uint32_t CpReason_HttpStatus(CpReason reason);
/* Returns the seconds for Retry-After; 0 where a retry would not help. */
uint32_t CpReason_RetryAfter_s(CpReason reason);

void CpCounter_Add(CpCounter counter, uint64_t n);
uint64_t CpCounter_Get(CpCounter counter);
const char *CpCounter_Name(CpCounter counter);
const char *CpCounter_Help(CpCounter counter);
void CpCounter_AddReason(CpReason reason, uint32_t rank);
uint64_t CpCounter_GetReason(CpReason reason, uint32_t rank);
/* Records the latency of one completed request of `rank`. */
void CpCounter_RecordLatency(uint32_t rank, int64_t latency_ns);
/* Latency histogram: upper bound of a bucket in ns, twice that of the bucket
 * before it, and the count of a bucket. */
#define CP_LATENCY_BUCKETS 28
int64_t CpCounter_LatencyBound_ns(uint32_t bucket);
uint64_t CpCounter_GetLatencyCount(uint32_t rank, uint32_t bucket);

/* Sets the program name in log lines, which go to standard error. */
void CpLog_Open(const char *program);
/* Writes a log line; meant for changes of state, not for each request. */
void CpLog(CpLogLevel level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Allocation functions that abort the process with a message when memory runs
 * out. CpMem_Alloc() returns zeroed memory; free() the results. */
void *CpMem_Alloc(size_t size_bytes);
void *CpMem_Realloc(void *p, size_t size_bytes);
char *CpStr_Dup(const char *s);
/* Copies `src` into a buffer of `dst_bytes`, truncated to fit and
 * NUL-terminated. */
void CpStr_Copy(char *dst, size_t dst_bytes, const char *src);

/* Parses IP:port into a struct sockaddr_storage; returns the length of the
 * address, or 0 if the text is invalid. */
uint32_t CpAddress_Parse(const char *text, void *sockaddr_storage);
/* Returns true if the region is among `homes`, or `homes` is empty. */
bool CpRegion_IsHome(const char (*homes)[CP_NAME_BYTES], uint32_t count,
                     const char *region);

/* Binds a non-blocking TCP socket to IP:port; the caller listens on it and
 * closes it. Returns -1 and sets the error message on failure. */
int32_t CpSocket_Bind(const char *address);
/* Returns true if the peer has ended its side of a connection and all that it
 * sent was read. */
bool CpSocket_HasEnded(int32_t fd);
/* Enables TCP keepalive: probes every `idle_s` without traffic; the connection
 * fails after `probes` probes without a response. */
CpStatus CpSocket_SetKeepalive(int32_t fd, uint32_t idle_s, uint32_t probes);

/* Reads the steady clock, which keeps running while the process is paused or
 * the machine is suspended, so that what expired meanwhile is seen to have
 * expired. Changes of the time of day do not affect it. */
int64_t CpClock_Now_ns(void);
/* Initializes a condition variable for CpCond_Wait_ns(). */
void CpCond_Init(pthread_cond_t *cond);
/* Waits until the condition is signalled or `wait_ns` have passed; later after
 * a suspension of the machine. */
void CpCond_Wait_ns(pthread_cond_t *cond, pthread_mutex_t *lock,
                    int64_t wait_ns);
void CpSleep_ms(uint32_t ms);
/* Reads the wall clock, for expiry times that are sent to other hosts. */
int64_t CpClock_Wall_ms(void);

uint64_t CpHash(const void *data, size_t size_bytes, uint64_t seed);
uint64_t CpHash_Str(const char *s, uint64_t seed);
/* Returns a cryptographically secure random number. */
uint64_t CpRandom(void);

/* Reference counts and flags shared by threads without a lock. */
void CpRef_Retain(uint32_t *refs);
/* Returns true if this was the last reference. */
bool CpRef_Release(uint32_t *refs);
uint32_t CpAtomic_Load(const uint32_t *p);
void CpAtomic_Store(uint32_t *p, uint32_t value);

/* A version of a table of the store. Versions are compared within one era of
 * the store only; an era ends when the store is restored from a copy. */
typedef struct {
    uint64_t era;
    uint64_t version;
} CpTableVersion;
/* Returns true if `a` is of a later era than `b`, or later in the same one. */
bool CpTableVersion_IsLater(const CpTableVersion *a, const CpTableVersion *b);

/* Timer service: one thread that calls all subscribers. */
typedef struct CpTimer CpTimer;
typedef void (*CpTimerFn)(void *ctx, int64_t now_ns);
CpTimer *CpTimer_New(void);
/* Calls `fn` every `period_ms` on the timer's thread, which all subscribers
 * share: `fn` must return quickly. */
void CpTimer_Subscribe(CpTimer *t, uint32_t period_ms, CpTimerFn fn,
                       void *ctx);
/* Starts the thread; subscribe before this call. */
CpStatus CpTimer_Start(CpTimer *t);
/* Stops the thread and frees the timer. */
void CpTimer_Free(CpTimer *t);

#endif
