/*
 * member: which hosts are live, leaving, suspect or failed. Probes go to a
 * few members a second whatever their number; changes travel on the probes.
 * The module decides under a caller-given clock and sends through callbacks.
 * The probing scheme follows SWIM (Das, Gupta, Motivala, DSN 2002).
 */
#ifndef CP_MEMBER_H
#define CP_MEMBER_H

#include "base/base.h"

#define CP_PROBE_INTERVAL_MS 200     /* between two probes of one host */
#define CP_SUSPICION_TIMEOUT_MS 1000 /* from suspicion to failure */
#define CP_PROBE_TIMEOUT_MS 600      /* for an acknowledgement */
#define CP_PAUSE_THRESHOLD_MS 800 /* a longer gap between ticks is a pause */
#define CP_MAX_POOLS 16

typedef enum {
    CP_MEMBER_UNKNOWN = 0, /* never heard of */
    CP_MEMBER_LIVE,
    CP_MEMBER_LEAVING,
    CP_MEMBER_SUSPECT,
    CP_MEMBER_FAILED,
    CP_MEMBER_STATE_COUNT
} CpMemberState;

/* Load of one pool on one host. */
typedef struct {
    uint32_t queued;
    uint32_t inflight;
    uint32_t slots;
    uint32_t service_us; /* moving average */
} CpPoolLoad;

/* One host as another knows it; this travels. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint32_t epoch; /* raised by the host itself to refute a suspicion */
    uint32_t state;
    uint64_t config_version;
    CpPoolLoad *loads; /* by pool; hints only */
    uint32_t load_count;
} CpMemberRow;

/* One host as this one keeps it. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint32_t domain_index;
    uint64_t incarnation;
    uint32_t epoch;
    CpMemberState state;
    uint64_t config_version;
    uint32_t load_count;
    CpPoolLoad loads[CP_MAX_POOLS];
    int64_t last_message_ns;  /* last message straight from it */
    int64_t unacked_probe_ns; /* oldest probe not acknowledged; 0: none */
    int64_t suspected_ns;
    uint32_t gossip_sends_left; /* how often its row still travels */
} CpMemberEntry;

typedef struct CpMemberTable CpMemberTable;

typedef struct {
    const char *host;
    uint64_t incarnation;
    /* Sends a probe with `rows` to a host; `far` if in another domain. */
    void (*send_probe)(void *ctx, const CpMemberEntry *to, bool far,
                       CpMemberRow *rows, uint32_t row_count);
    /* A host's state changed. */
    void (*on_state_change)(void *ctx, const CpMemberEntry *e,
                            CpMemberState before);
    /* A host has a later configuration than `version`. */
    void (*on_newer_config)(void *ctx, const CpMemberEntry *e);
    void *ctx;
    uint64_t (*random)(void *ctx);
} CpMemberOptions;

CpMemberTable *CpMember_New(const CpMemberOptions *options);
void CpMember_Free(CpMemberTable *m);
/* Sets who may be a member, as the configuration lists them. */
void CpMember_SetRoster(CpMemberTable *m, const char *const *hosts,
                        const uint32_t *domain_index, uint32_t count);
/* One probe, suspicions, pauses; every CP_PROBE_INTERVAL_MS. Returns true when
 * this process was paused: what it knows of others is old then. */
bool CpMember_Tick(CpMemberTable *m, int64_t now_ns);
/* Takes in what a probe or acknowledgement from `from` says. */
void CpMember_OnRows(CpMemberTable *m, const char *from,
                     const CpMemberRow *rows, uint32_t row_count,
                     int64_t now_ns);
/* Fills rows for a probe or its answer; returns the count. They live until
 * the next call. A host that is thought to have failed is told so, that it
 * may refute it for all. */
uint32_t CpMember_FillRows(CpMemberTable *m, const char *to, bool far,
                           CpMemberRow **rows);
/* Any message from a host shows that it lives. */
void CpMember_OnMessage(CpMemberTable *m, const char *from, int64_t now_ns);
/* Nobody listens at the host's address: its process is gone. */
void CpMember_OnConnectionRefused(CpMemberTable *m, const char *host,
                                  int64_t now_ns);
/* This host's own state, version and loads. */
void CpMember_SetSelf(CpMemberTable *m, CpMemberState state,
                      uint64_t config_version, const CpPoolLoad *loads,
                      uint32_t load_count);
uint32_t CpMember_Count(const CpMemberTable *m);
const CpMemberEntry *CpMember_At(const CpMemberTable *m, uint32_t i);
const CpMemberEntry *CpMember_Find(const CpMemberTable *m, const char *host);
const char *CpMemberState_Name(CpMemberState state);

#endif
