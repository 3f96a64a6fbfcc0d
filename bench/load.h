/*
 * chestnutpaddle-load: a load generator that runs experiments of open-loop and
 * closed-loop flows. It looks up entry hosts as callers do, verifies every
 * byte of each response body, and reports latency, goodput, verdicts and
 * reasons for each flow.
 */
#ifndef CP_LOAD_H
#define CP_LOAD_H

#include "base/base.h"
#include "config/config.h"

#define CP_LOAD_MAX_SECONDS 600
#define CP_LOAD_MAX_FLOWS 32

/* Requests of one kind from one client, at a constant rate or in a closed
 * loop. The fields are keys of the experiment file. */
typedef struct {
    char name[CP_NAME_BYTES];
    char kind[CP_NAME_BYTES];   /* "(lookup)": sends lookups */
    char client[CP_NAME_BYTES]; /* source address */
    uint32_t rate_per_s;        /* 0: closed loop */
    uint32_t concurrency;       /* of a closed loop */
    uint32_t size_bytes;        /* of the response body */
    uint32_t work_ms;           /* requested service time; 0: the server's */
    uint32_t start_s;
    uint32_t end_s; /* 0: the end of the experiment */
    uint32_t deadline_ms;
    uint32_t repeat_percent; /* of `once` requests, to send in duplicate */
    bool once;        /* has a ticket; retried if the outcome is unclear */
    bool repeat_lost; /* idempotent: retried if the connection is lost */
    bool direct;      /* to `entries`, which are backend servers */
    bool round_robin; /* baseline: rotates over `targets`, retries without
                         limit until the deadline */
} CpFlow;

/* A backend server for the round-robin flows of a kind. */
typedef struct {
    char kind[CP_NAME_BYTES];
    char address[CP_ADDR_BYTES];
} CpTarget;

typedef struct {
    char name[CP_NAME_BYTES];
    uint32_t seconds;
    uint32_t threads;
    uint32_t seed;
    CpAddress *entries;
    uint32_t entry_count;
    CpTarget *targets;
    uint32_t target_count;
    CpFlow *flows;
    uint32_t flow_count;
} CpExperiment;

/* Counts of a flow's requests by outcome. Duplicates count in `repeats` and
 * `wrong` only. */
typedef struct {
    uint64_t sent;
    uint64_t ok;
    uint64_t late;    /* complete responses after the deadline */
    uint64_t wrong;   /* successful responses whose body or length differs */
    uint64_t cut;     /* no complete response and no verdict */
    uint64_t repeats; /* retries of runs, and duplicates */
    uint64_t verdicts[CP_VERDICT_COUNT]; /* of requests that failed */
    uint64_t reasons[CP_REASON_COUNT];   /* likewise */
    uint64_t bytes;                      /* of bodies of complete responses */
    uint32_t *latency_us;                /* of complete responses */
    uint64_t latency_count;
    uint64_t latency_capacity;
    uint32_t ok_by_second[CP_LOAD_MAX_SECONDS]; /* including late ones */
    uint32_t sent_by_second[CP_LOAD_MAX_SECONDS];
} CpFlowResult;

/* Arguments and results of one load thread. */
typedef struct {
    const CpExperiment *experiment;
    const char *keys_path;
    int64_t start_ns;
    CpFlowResult results[CP_LOAD_MAX_FLOWS]; /* merged by CpLoad_Merge() */
    uint32_t thread_index;
    void *keys_file; /* FILE for the outcome of each `once` key, or NULL;
                        shared by the threads */
} CpLoadThread;

/* Reads and checks an experiment file; appends errors to `p`. Free the result
 * with CpExperiment_Clear(). */
CpStatus CpExperiment_Load(const char *path, CpExperiment *out, CpProblems *p);
void CpExperiment_Clear(CpExperiment *e);
/* Thread function: runs the share of one CpLoadThread until the experiment is
 * over and all its requests have ended. Returns NULL. */
void *CpLoad_Run(void *thread);
/* Adds the results of `from` and frees its latencies. */
void CpLoad_Merge(CpFlowResult *into, CpFlowResult *from);
/* Returns the latency at `permille` of complete responses, in ms, or 0 if
 * there are none. The latencies have to be sorted. */
double CpLoad_Percentile_ms(CpFlowResult *r, uint32_t permille);

#endif
