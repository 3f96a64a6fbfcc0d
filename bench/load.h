/*
 * chestnutpaddle-load: an open-loop load and experiment tool. It looks entry
 * hosts up as callers do, checks every byte of every answer, and reports
 * latency, goodput, verdicts and reasons for each flow.
 */
#ifndef CP_LOAD_H
#define CP_LOAD_H

#include "base/base.h"
#include "config/config.h"

#define CP_LOAD_MAX_SECONDS 600
#define CP_LOAD_MAX_FLOWS 32

/* One kind of work sent by one client at a steady rate. */
typedef struct {
    char name[CP_NAME_BYTES];
    char kind[CP_NAME_BYTES];
    char client[CP_NAME_BYTES]; /* source address */
    uint32_t rate_per_s;        /* 0: closed loop */
    uint32_t concurrency;       /* of a closed loop */
    uint32_t size_bytes;        /* of the answer */
    uint32_t work_ms;           /* service time asked for; 0: the server's */
    uint32_t start_s;
    uint32_t end_s; /* 0: to the end */
    uint32_t deadline_ms;
    uint32_t repeat_percent; /* of once-requests that are sent again too */
    bool once;        /* takes a ticket; repeats it after an unclear outcome */
    bool repeat_lost; /* idempotent work whose connection was lost */
    bool direct;      /* straight to `entries`, which are backend servers */
    bool round_robin; /* baseline: direct, in turn, with retries */
} CpFlow;

/* A backend server that round-robin flows of a kind use. */
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

/* What became of a flow's requests. */
typedef struct {
    uint64_t sent;
    uint64_t ok;
    uint64_t late;  /* whole answers after the deadline */
    uint64_t wrong; /* bytes or length of another answer */
    uint64_t cut;   /* no whole answer, no refusal */
    uint64_t repeats;
    uint64_t verdicts[CP_VERDICT_COUNT]; /* of what was not answered */
    uint64_t reasons[CP_REASON_COUNT];
    uint64_t bytes;
    uint32_t *latency_us; /* of whole answers */
    uint64_t latency_count;
    uint64_t latency_capacity;
    uint32_t ok_by_second[CP_LOAD_MAX_SECONDS];
    uint32_t sent_by_second[CP_LOAD_MAX_SECONDS];
} CpFlowResult;

typedef struct {
    const CpExperiment *experiment;
    const char *keys_path; /* where the outcome of each once-key goes */
    int64_t start_ns;
    CpFlowResult results[CP_LOAD_MAX_FLOWS]; /* merged by the caller */
    uint32_t thread_index;
    void *keys_file; /* FILE */
} CpLoadThread;

CpStatus CpExperiment_Load(const char *path, CpExperiment *out, CpProblems *p);
void CpExperiment_Clear(CpExperiment *e);
/* Runs one thread's part until all its requests have ended. */
void *CpLoad_Run(void *thread);
void CpLoad_Merge(CpFlowResult *into, CpFlowResult *from);
/* Latency of whole answers at `permille`, in ms; 0 without any. */
double CpLoad_Percentile_ms(CpFlowResult *r, uint32_t permille);

#endif
