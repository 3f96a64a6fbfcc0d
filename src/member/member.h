/*
 * member: membership and failure detection; which hosts are live, leaving,
 * suspect or failed. Each host probes a few members a second whatever their
 * number; changes are disseminated on the probes, as in SWIM (Das, Gupta,
 * Motivala, DSN 2002). The caller passes the time, serializes the calls and
 * sends the messages by callbacks.
 */
#ifndef CP_MEMBER_H
#define CP_MEMBER_H

#include "base/base.h"

#define CP_PROBE_INTERVAL_MS 200     /* between two probes sent by a host */
#define CP_SUSPICION_TIMEOUT_MS 1000 /* from suspicion to failure */
#define CP_PROBE_TIMEOUT_MS 600      /* for an acknowledgement */
#define CP_PAUSE_THRESHOLD_MS 800 /* a longer gap between ticks is a pause */
#define CP_MAX_POOLS 16

typedef enum {
    CP_MEMBER_UNKNOWN = 0, /* no message or row received */
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

/* State of a host as it is sent to other hosts. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint64_t incarnation;
    uint32_t epoch; /* raised by the host itself to refute a suspicion */
    uint32_t state;
    uint64_t config_version;
    CpPoolLoad *loads; /* by pool; hints only */
    uint32_t load_count;
} CpMemberRow;

/* This host's view of a member. */
typedef struct {
    char host[CP_NAME_BYTES];
    uint32_t domain_index;
    uint64_t incarnation;
    uint32_t epoch;
    CpMemberState state;
    uint64_t config_version;
    uint32_t load_count;
    CpPoolLoad loads[CP_MAX_POOLS];
    int64_t last_message_ns;  /* last message received directly from it */
    int64_t unacked_probe_ns; /* oldest probe not acknowledged; 0: none */
    int64_t suspected_ns;
    uint32_t gossip_sends_left; /* probes and acks that still carry its row */
} CpMemberEntry;

typedef struct CpMemberTable CpMemberTable;

typedef struct {
    const char *host;
    uint64_t incarnation;
    /* Sends a probe with `rows` to a host; `remote` if in another domain. */
    void (*send_probe)(void *ctx, const CpMemberEntry *to, bool remote,
                       CpMemberRow *rows, uint32_t row_count);
    void (*on_state_change)(void *ctx, const CpMemberEntry *e,
                            CpMemberState before);
    /* A host's configuration version has risen. */
    void (*on_newer_config)(void *ctx, const CpMemberEntry *e);
    void *ctx;
    uint64_t (*random)(void *ctx);
} CpMemberOptions;

CpMemberTable *CpMember_New(const CpMemberOptions *options);
void CpMember_Free(CpMemberTable *m);
/* Sets the hosts that may be members: those of the configuration. Entries of
 * hosts that stay are kept. */
void CpMember_SetRoster(CpMemberTable *m, const char *const *hosts,
                        const uint32_t *domain_index, uint32_t count);
/* Sends probes, checks timeouts and detects pauses; called every
 * CP_PROBE_INTERVAL_MS. Returns true if this process was paused: its view of
 * other hosts is outdated then. */
bool CpMember_Tick(CpMemberTable *m, int64_t now_ns);
/* Merges the rows of a probe or acknowledgement from `from`. */
void CpMember_OnRows(CpMemberTable *m, const char *from,
                     const CpMemberRow *rows, uint32_t row_count,
                     int64_t now_ns);
/* Fills rows for a probe or its acknowledgement and returns their number. They
 * are valid until the next call. A suspect or failed receiver gets its own
 * row, so that it can refute that state for all hosts. */
uint32_t CpMember_FillRows(CpMemberTable *m, const char *to, bool remote,
                           CpMemberRow **rows);
/* Records a message from a host; a suspect host becomes live. */
void CpMember_OnMessage(CpMemberTable *m, const char *from, int64_t now_ns);
/* Marks a host as failed: nothing listens at its address, so its process has
 * ended. */
void CpMember_OnConnectionRefused(CpMemberTable *m, const char *host,
                                  int64_t now_ns);
/* Sets this host's own state, configuration version and loads. */
void CpMember_SetSelf(CpMemberTable *m, CpMemberState state,
                      uint64_t config_version, const CpPoolLoad *loads,
                      uint32_t load_count);
uint32_t CpMember_Count(const CpMemberTable *m);
const CpMemberEntry *CpMember_At(const CpMemberTable *m, uint32_t i);
const CpMemberEntry *CpMember_Find(const CpMemberTable *m, const char *host);
const char *CpMemberState_Name(CpMemberState state);

#endif
