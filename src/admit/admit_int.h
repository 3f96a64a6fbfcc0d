/* Internal declarations of the admit package. */
#ifndef CP_ADMIT_INT_H
#define CP_ADMIT_INT_H

#include "admit/admit.h"

#define CP_TIMEOUT_COUNTERS 16

/* How many requests had a value as their timeout. */
typedef struct {
    uint32_t timeout_ms;
    uint32_t count;
} CpTimeoutCounter;

/* Learns the timeout that callers of a route set on first attempts: those of
 * callers that come back are scattered. Of the values only the frequent ones
 * are counted (Misra and Gries, 1982). */
typedef struct {
    CpTimeoutCounter counters[CP_TIMEOUT_COUNTERS];
    uint32_t total;
    uint32_t first_ms; /* 0: unknown */
    uint32_t first_count;
    int64_t last_first_ns;
    uint32_t returning_count; /* requests since the last first attempt */
} CpFirstTimeout;
/* Records a timeout that a caller set, in ms, and returns the time since the
 * caller's first attempt; 0: this is the first. */
uint32_t CpFirstTimeout_Record(CpFirstTimeout *f, uint32_t timeout_ms,
                               int64_t now_ns);

/* The share of arrivals to admit, in parts per million, that keeps the load of
 * the servers at a target. */
#define CP_SHARE_ALL 1000000
typedef struct {
    int64_t share;          /* may exceed CP_SHARE_ALL */
    int64_t mean_share;     /* of the last seconds */
    int64_t last_update_ns; /* 0: never */
} CpLoadControl;
/* Adapts the share to the load; does nothing if the last time was just now. */
void CpLoadControl_Update(CpLoadControl *c, uint32_t load_milli,
                          uint32_t target_milli, int64_t now_ns);
/* Returns the share to admit at this load. */
uint32_t CpLoadControl_Share(const CpLoadControl *c, uint32_t load_milli,
                             uint32_t target_milli);
/* Returns the mean share of the last seconds. */
uint32_t CpLoadControl_MeanShare(const CpLoadControl *c);

#endif
