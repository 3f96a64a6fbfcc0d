/* Status codes, verdicts and reasons, with the tables of their texts. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/base.h"

#define MESSAGE_BYTES 512

typedef struct {
    const char *name;
    const char *text;
    uint32_t http_status;
    uint32_t retry_after_s;
} ReasonInfo;

static _Thread_local char last_message[MESSAGE_BYTES];

static const char *const status_names[CP_STATUS_COUNT] = {
    [CP_OK] = "ok",
    [CP_ERR_ARG] = "bad argument",
    [CP_ERR_IO] = "input or output failed",
    [CP_ERR_PARSE] = "cannot be parsed",
    [CP_ERR_RANGE] = "out of range",
    [CP_ERR_CONFLICT] = "conflict",
    [CP_ERR_TIMEOUT] = "timed out",
    [CP_ERR_NOT_FOUND] = "not found",
    [CP_ERR_AUTH] = "not authorized",
    [CP_ERR_UNAVAILABLE] = "unavailable",
    [CP_ERR_UNKNOWN_EFFECT] = "effect unknown",
};

static const char *const verdict_names[CP_VERDICT_COUNT] = {
    [CP_NOT_RUN] = "not-run",
    [CP_MAY_HAVE_RUN] = "may-have-run",
    [CP_RAN] = "ran",
};

static const char *const flaw_names[CP_FLAW_COUNT] = {
    [CP_FLAW_NONE] = "none",
    [CP_FLAW_HEAD_CUT] = "head_cut",
    [CP_FLAW_HEAD_MIXED] = "head_mixed",
    [CP_FLAW_UNFRAMED] = "unframed",
    [CP_FLAW_BODY_MIXED] = "body_mixed",
    [CP_FLAW_BODY_LONGER] = "body_longer",
};

static const ReasonInfo reasons[CP_REASON_COUNT] = {
    /* no response that a host makes itself is a success */
    [CP_REASON_NONE] = {"none", "no reason is known", 502, 0},
    [CP_REASON_QUEUE_FULL] = {"queue_full", "the queue is full", 503, 1},
    [CP_REASON_WOULD_MISS_DEADLINE] =
        {"would_miss_deadline", "the expected wait exceeds the deadline", 503,
         1},
    [CP_REASON_DEADLINE_PASSED] = {"deadline_passed", "the deadline passed",
                                   504, 0},
    [CP_REASON_SHED] = {"shed", "shed in favour of more urgent work", 503, 2},
    [CP_REASON_NO_SERVER] = {"no_server",
                             "no backend server for this kind is usable", 503,
                             2},
    [CP_REASON_NO_HOST] = {"no_host", "no host can take this kind of work",
                           503, 2},
    [CP_REASON_SHIFT_CAP] = {"shift_cap", "the traffic shift is at its cap",
                             503, 1},
    [CP_REASON_HOST_BUSY] = {"host_busy",
                             "this host holds too many requests of this rank",
                             503, 1},
    [CP_REASON_HOST_LEAVING] = {"host_leaving", "this host is leaving", 503,
                                1},
    [CP_REASON_NOT_CONFIGURED] = {"not_configured",
                                  "no configuration is in force yet", 503, 1},
    [CP_REASON_UNKNOWN_KIND] = {"unknown_kind", "the kind of work is unknown",
                                404, 0},
    [CP_REASON_BAD_REQUEST] = {"bad_request", "the request is malformed", 400,
                               0},
    [CP_REASON_BODY_TOO_LARGE] = {"body_too_large", "the body is too large",
                                  413, 0},
    [CP_REASON_TICKET_NEEDED] = {"ticket_needed",
                                 "a ticket was issued; repeat with it", 307,
                                 0},
    [CP_REASON_TICKET_BAD] = {"ticket_bad", "the ticket is not genuine", 403,
                              0},
    [CP_REASON_TICKET_EXPIRED] = {"ticket_expired", "the ticket has expired",
                                  410, 0},
    [CP_REASON_ISSUER_GONE] = {"issuer_gone",
                               "the ticket's issuer cannot be reached", 502,
                               0},
    [CP_REASON_CONNECT_FAILED] = {"connect_failed",
                                  "no connection to the backend server", 503,
                                  1},
    [CP_REASON_SERVER_REFUSED] = {"server_refused",
                                  "the backend server refused before running",
                                  503, 1},
    [CP_REASON_SERVER_FAILED] = {"server_failed",
                                 "the backend server's answer failed", 502, 0},
    [CP_REASON_ANSWER_CROSSED] = {"answer_crossed",
                                  "the answer belongs to another request", 502,
                                  0},
    [CP_REASON_ANSWER_TRUNCATED] = {"answer_truncated",
                                    "the answer ended early", 502, 0},
    [CP_REASON_SESSION_LOST] = {"session_lost",
                                "the session to the owner host was lost", 502,
                                0},
    [CP_REASON_CALLER_GONE] = {"caller_gone", "the caller went away", 499, 0},
    [CP_REASON_WOULD_MISS_GOAL] =
        {"would_miss_goal", "the expected wait exceeds the latency goal", 503,
         1},
    [CP_REASON_WARMING_UP] = {"warming_up",
                              "the servers that are left are warming up", 503,
                              1},
    [CP_REASON_NO_ROUTE] = {"no_route", "no route matches", 404, 0},
    [CP_REASON_WRONG_SERVER] = {"wrong_server",
                                "the address belongs to another server", 503,
                                1},
    [CP_REASON_ANSWER_TOO_LARGE] = {"answer_too_large",
                                    "the answer has no end in sight", 502, 0},
    [CP_REASON_KEY_REJECTED] = {"key_rejected",
                                "the request needs a valid key", 401, 0},
    [CP_REASON_NO_COMMON_REGION] =
        {"no_common_region",
         "the route and the organisation have no home region in common", 503,
         5},
    [CP_REASON_KEY_NOT_FRESH] =
        {"key_not_fresh",
         "the key may have been withdrawn: the configuration is not fresh",
         503, 5},
    [CP_REASON_QUOTA_EXCEEDED] = {"quota_exceeded",
                                  "the organisation is at its limit", 429, 1},
    [CP_REASON_MEMORY_SHORT] = {"memory_short",
                                "this host has no memory left for the request",
                                503, 1},
    [CP_REASON_OVER_CAPACITY] = {"over_capacity",
                                 "the service has no capacity left", 503, 1},
    [CP_REASON_ORG_OVER_SHARE] =
        {"org_over_share", "the organisation is over its share of the service",
         503, 1},
    [CP_REASON_HEAD_TOO_LARGE] = {"head_too_large",
                                  "the head has too many lines or parameters",
                                  431, 0},
    [CP_REASON_NOT_CURRENT] =
        {"not_current", "the configuration of this host may be outdated", 503,
         1},
};

CpStatus
CpError_Set(CpStatus status, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(last_message, sizeof(last_message), fmt, ap);
    va_end(ap);
    return status;
}

const char *
CpError_Message(void)
{
    return last_message;
}

const char *
CpStatus_Name(CpStatus status)
{
    return status_names[status];
}

const char *
CpVerdict_Name(CpVerdict verdict)
{
    return verdict_names[verdict];
}

CpVerdict
CpVerdict_Parse(const char *text)
{
    for (uint32_t i = 0; i < CP_VERDICT_COUNT; i++) {
        if (strcmp(text, verdict_names[i]) == 0) {
            return (CpVerdict)i;
        }
    }
    return CP_MAY_HAVE_RUN;
}

const char *
CpFlaw_Name(CpFlaw flaw)
{
    return flaw_names[flaw];
}

const char *
CpReason_Name(CpReason reason)
{
    return reasons[reason].name;
}

const char *
CpReason_Text(CpReason reason)
{
    return reasons[reason].text;
}

uint32_t
CpReason_HttpStatus(CpReason reason)
{
    return reasons[reason].http_status;
}

uint32_t
CpReason_RetryAfter_s(CpReason reason)
{
    return reasons[reason].retry_after_s;
}
