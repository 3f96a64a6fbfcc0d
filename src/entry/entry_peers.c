/*
 * Reports between entry hosts, as datagrams: a change of the requests in
 * flight at a backend server is sent at once to the hosts that share the
 * server, and complete reports are sent periodically as heartbeats.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/entry_int.h"
#include "wire/wire.h"

#define MAX_REPORT_ROWS 64 /* servers in one report */
#define MAX_SPEED_ROWS 48  /* of up to 21 bytes, in one datagram */
#define MAX_RECIPIENTS 128 /* of one report: two domains and some others */
/* With more hosts in a domain, reports of each request would cost more than
 * the requests; the complete reports have to do. */
#define MAX_HOSTS_FOR_USAGE 8

static void *receive_thread(void *ctx);
static void on_report(CpEntry *e, const CpReportFrame *r);
static void on_speeds(CpEntry *e, const CpSpeedsFrame *speeds);
static void on_era(CpEntry *e, const CpEraFrame *r,
                   const struct sockaddr_storage *from, uint32_t from_bytes);
static bool encode_era(CpEntry *e, CpFrame *f);
static void send_report(CpEntry *e, const CpReportFrame *r,
                        const CpEntryAddress *to, uint32_t count);
static void send_datagram(CpEntry *e, const CpFrame *f,
                          const CpEntryAddress *to, uint32_t count);

CpStatus
CpEntryPeers_Open(CpEntry *e)
{
    struct sockaddr_storage sa;
    uint32_t n = CpAddress_Parse(e->settings.inner, &sa);
    e->report_fd =
        n == 0 ? -1 : socket(sa.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (e->report_fd < 0 ||
        bind(e->report_fd, (struct sockaddr *)&sa, n) != 0) {
        return CpError_Set(CP_ERR_IO, "%s: %s", e->settings.inner,
                           strerror(errno));
    }
    return CP_OK;
}

CpStatus
CpEntryPeers_Start(CpEntry *e)
{
    if (pthread_create(&e->report_thread, NULL, receive_thread, e) != 0) {
        return CpError_Set(CP_ERR_IO, "peers: cannot start a thread");
    }
    return CP_OK;
}

void
CpEntryPeers_SendUsage(CpEntry *e, const char *service, const char *instance)
{
    CpFleetUsage usage;
    CpEntryAddress to[MAX_RECIPIENTS];
    if (CpAtomic_Load(&e->hosts_in_domain) > MAX_HOSTS_FOR_USAGE) {
        return;
    }
    if (!CpFleet_GetUsage(e->fleet, service, instance, CpClock_Now_ns(),
                          &usage)) {
        return;
    }
    CpReportRow row = {.server_hash = usage.server_hash,
                       .inflight = usage.inflight};
    CpReportFrame r = {.rows = &row, .row_count = 1};
    uint32_t n =
        CpEntryHosts_ListUsageRecipients(e, &usage, to, MAX_RECIPIENTS);
    send_report(e, &r, to, n);
}

/* Sends a complete report, which is also a heartbeat, to the hosts of this
 * domain and, less often, to one host of each other domain. */
void
CpEntryPeers_Tick(void *ctx, int64_t now_ns)
{
    CpEntry *e = ctx;
    CpFleetUsage usage[MAX_REPORT_ROWS];
    CpReportRow rows[MAX_REPORT_ROWS];
    CpEntryAddress to[MAX_RECIPIENTS];
    uint32_t n = CpFleet_ListUsage(e->fleet, usage, MAX_REPORT_ROWS);
    for (uint32_t i = 0; i < n; i++) {
        rows[i] = (CpReportRow){.server_hash = usage[i].server_hash,
                                .inflight = usage[i].inflight};
    }
    CpReportFrame r = {.complete = 1, .rows = rows, .row_count = n};
    uint32_t tick = __atomic_fetch_add(&e->report_ticks, 1, __ATOMIC_RELAXED);
    bool remote = tick % (CP_ENTRY_REMOTE_REPORT_INTERVAL_MS /
                          CP_ENTRY_REPORT_INTERVAL_MS) ==
                  0;
    uint32_t count =
        CpEntryHosts_ListReportRecipients(e, remote, to, MAX_RECIPIENTS);
    send_report(e, &r, to, count);
    CpEntryHosts_CheckSilence(e, now_ns);
    if (e->settings.speed_poll_ms == 0) {
        CpEntryPeers_SendSpeeds(e, CP_ENTRY_REPORT_INTERVAL_MS, now_ns);
    }
}

void
CpEntryPeers_SendVersions(CpEntry *e)
{
    CpEntryAddress to[MAX_RECIPIENTS];
    CpReportFrame r = {0};
    send_report(
        e, &r, to,
        CpEntryHosts_ListReportRecipients(e, false, to, MAX_RECIPIENTS));
}

void
CpEntryPeers_SendSpeeds(CpEntry *e, uint32_t max_age_ms, int64_t now_ns)
{
    CpFleetSpeed speeds[MAX_SPEED_ROWS];
    CpEntryAddress to[MAX_RECIPIENTS];
    CpSpeedRow rows[MAX_SPEED_ROWS];
    uint32_t n = CpFleet_ListSpeeds(e->fleet, max_age_ms, now_ns, speeds,
                                    MAX_SPEED_ROWS);
    for (uint32_t i = 0; i < n; i++) {
        rows[i] = (CpSpeedRow){.server_hash = speeds[i].server_hash,
                               .work_percent = speeds[i].work_percent,
                               .age_ms = speeds[i].age_ms};
    }
    CpFrame f = {.type = CP_FRAME_SPEEDS,
                 .speeds = {.rows = rows, .row_count = n}};
    if (n > 0) {
        send_datagram(
            e, &f, to,
            CpEntryHosts_ListReportRecipients(e, false, to, MAX_RECIPIENTS));
    }
}

static void *
receive_thread(void *ctx)
{
    CpEntry *e = ctx;
    uint8_t data[CP_DATAGRAM_MAX_BYTES];
    for (;;) {
        CpDecodedFrame d;
        struct sockaddr_storage from;
        socklen_t from_bytes = sizeof(from);
        ssize_t n = recvfrom(e->report_fd, data, sizeof(data), 0,
                             (struct sockaddr *)&from, &from_bytes);
        if (n <= 0) {
            continue; /* an error or an empty datagram */
        }
        if (CpDatagram_Decode(data, (uint32_t)n, &d) != CP_OK) {
            CpCounter_Add(CP_COUNT_BAD_FRAMES, 1);
            continue;
        }
        switch (d.frame.type) {
        case CP_FRAME_REPORT:
            on_report(e, &d.frame.report);
            break;
        case CP_FRAME_FRESHNESS_QUERY:
            CpEntryFreshness_OnQuery(e, &d.frame.freshness_query, &from,
                                     from_bytes);
            break;
        case CP_FRAME_FRESHNESS_REPLY:
            CpEntryFreshness_OnReply(e, &d.frame.freshness_reply);
            break;
        case CP_FRAME_ERA:
            on_era(e, &d.frame.era, &from, from_bytes);
            break;
        case CP_FRAME_TOKENS_MOVE:
        case CP_FRAME_TOKENS_ASK:
        case CP_FRAME_TOKENS_GRANT:
            CpEntryQuota_OnFrame(e, &d.frame);
            break;
        case CP_FRAME_SPEEDS:
            on_speeds(e, &d.frame.speeds);
            break;
        default:
            break;
        }
        CpFrame_Clear(&d);
    }
    return NULL;
}

static void
on_report(CpEntry *e, const CpReportFrame *r)
{
    int64_t now_ns = CpClock_Now_ns();
    uint64_t peer = CpHash_Str(r->host, 0);
    if (!CpEntryHosts_OnReport(e, r->host, r->incarnation, r->sequence,
                               r->leaving != 0, r->watches_store != 0,
                               now_ns)) {
        return; /* unknown host, or not later than the last report */
    }
    const uint64_t versions[CP_TABLE_COUNT] = {
        [CP_TABLE_OPERATOR] = r->operator_version,
        [CP_TABLE_SERVERS] = r->servers_version,
        [CP_TABLE_HOSTS] = r->hosts_version};
    bool use_versions = !CpEntryHosts_ReportsEra(e, r->host);
    for (uint32_t i = 0; use_versions && i < CP_TABLE_COUNT; i++) {
        CpEntryFollow_OnPeerVersion(e, r->host, (CpTable)i,
                                    &(CpTableVersion){.version = versions[i]},
                                    now_ns);
    }
    if (r->complete) {
        CpFleet_ClearPeerLoads(e->fleet, peer);
    }
    for (uint32_t i = 0; i < r->row_count; i++) {
        CpFleet_SetPeerLoad(e->fleet, peer, r->rows[i].server_hash,
                            r->rows[i].inflight, now_ns);
    }
}

static void
on_speeds(CpEntry *e, const CpSpeedsFrame *frame)
{
    CpFleetSpeed speeds[MAX_SPEED_ROWS];
    uint32_t n = 0;
    for (uint32_t i = 0; i < frame->row_count && n < MAX_SPEED_ROWS; i++) {
        speeds[n++] =
            (CpFleetSpeed){.server_hash = frame->rows[i].server_hash,
                           .work_percent = frame->rows[i].work_percent,
                           .age_ms = frame->rows[i].age_ms};
    }
    CpCounter_Add(CP_COUNT_SPEEDS_RECEIVED, n);
    CpFleet_SetPeerSpeeds(e->fleet, speeds, n, CpClock_Now_ns());
}

/* A host that knows less gets this host's frame at once: it may be the only
 * one between two domains for a second. */
static void
on_era(CpEntry *e, const CpEraFrame *r, const struct sockaddr_storage *from,
       uint32_t from_bytes)
{
    int64_t now_ns = CpClock_Now_ns();
    const CpTableVersion versions[CP_TABLE_COUNT] = {
        [CP_TABLE_OPERATOR] = {r->operator_era, r->operator_version},
        [CP_TABLE_SERVERS] = {r->servers_era, r->servers_version},
        [CP_TABLE_HOSTS] = {r->hosts_era, r->hosts_version}};
    if (!CpEntryHosts_OnEra(e, r->host)) {
        return;
    }
    CpEntryFollow_OnEra(e, r->era);
    CpEntryFollow_OnPeerConfig(e, r->host, r->config_version);
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        CpEntryFollow_OnPeerVersion(e, r->host, (CpTable)i, &versions[i],
                                    now_ns);
    }
    if (r->era < CpEntryFollow_Era(e) ||
        r->config_version < CpEntryFollow_ConfigInForce(e)) {
        CpEntryPeers_SendEra(e, from, from_bytes);
    }
}

/* Returns false in the first era. */
static bool
encode_era(CpEntry *e, CpFrame *f)
{
    CpTableVersion v[CP_TABLE_COUNT];
    for (uint32_t i = 0; i < CP_TABLE_COUNT; i++) {
        v[i] = CpEntryFollow_RowVersion(e, (CpTable)i);
    }
    *f = (CpFrame){.type = CP_FRAME_ERA,
                   .era = {.incarnation = e->incarnation,
                           .era = CpEntryFollow_Era(e),
                           .operator_era = v[CP_TABLE_OPERATOR].era,
                           .operator_version = v[CP_TABLE_OPERATOR].version,
                           .servers_era = v[CP_TABLE_SERVERS].era,
                           .servers_version = v[CP_TABLE_SERVERS].version,
                           .hosts_era = v[CP_TABLE_HOSTS].era,
                           .hosts_version = v[CP_TABLE_HOSTS].version,
                           .config_version = CpEntryFollow_ConfigInForce(e)}};
    CpStr_Copy(f->era.host, sizeof(f->era.host), e->settings.host);
    return f->era.era > 0;
}

void
CpEntryPeers_SendEra(CpEntry *e, const struct sockaddr_storage *to,
                     uint32_t to_bytes)
{
    CpFrame f;
    if (encode_era(e, &f)) {
        CpEntryPeers_Send(e, &f, to, to_bytes);
    }
}

void
CpEntryPeers_AnnounceEra(CpEntry *e)
{
    CpEntryAddress to[MAX_RECIPIENTS];
    uint32_t n =
        CpEntryHosts_ListReportRecipients(e, true, to, MAX_RECIPIENTS);
    for (uint32_t i = 0; i < n; i++) {
        struct sockaddr_storage sa;
        uint32_t size = CpAddress_Parse(to[i].value, &sa);
        CpEntryPeers_SendEra(e, &sa, size);
    }
}

static void
send_report(CpEntry *e, const CpReportFrame *r, const CpEntryAddress *to,
            uint32_t count)
{
    CpFrame era, f = {.type = CP_FRAME_REPORT, .report = *r};
    CpStr_Copy(f.report.host, sizeof(f.report.host), e->settings.host);
    f.report.incarnation = e->incarnation;
    f.report.sequence =
        __atomic_add_fetch(&e->report_sequence, 1, __ATOMIC_RELAXED);
    f.report.leaving = !CpEntry_IsReady(e);
    f.report.operator_version =
        CpEntryFollow_RowVersion(e, CP_TABLE_OPERATOR).version;
    f.report.servers_version =
        CpEntryFollow_RowVersion(e, CP_TABLE_SERVERS).version;
    f.report.hosts_version =
        CpEntryFollow_RowVersion(e, CP_TABLE_HOSTS).version;
    f.report.watches_store = CpEntryFollow_IsWatching(e);
    /* first, as versions count within an era; reports of one server's usage
     * are frequent, and about that alone */
    if (encode_era(e, &era) && (r->complete || r->row_count == 0)) {
        send_datagram(e, &era, to, count);
    }
    send_datagram(e, &f, to, count);
}

/* A datagram that cannot be sent is treated as lost. */
static void
send_datagram(CpEntry *e, const CpFrame *f, const CpEntryAddress *to,
              uint32_t count)
{
    uint8_t data[CP_DATAGRAM_MAX_BYTES];
    uint32_t n;
    if (count == 0 || CpDatagram_Encode(f, data, &n) != CP_OK) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct sockaddr_storage sa;
        uint32_t size = CpAddress_Parse(to[i].value, &sa);
        if (size == 0 || sendto(e->report_fd, data, n, MSG_DONTWAIT,
                                (struct sockaddr *)&sa, size) < 0) {
            CpCounter_Add(CP_COUNT_REPORTS_UNSENT, 1);
            continue;
        }
        CpCounter_Add(CP_COUNT_MEMBER_BYTES, n);
    }
}

void
CpEntryPeers_Send(CpEntry *e, const CpFrame *f,
                  const struct sockaddr_storage *to, uint32_t to_bytes)
{
    uint8_t data[CP_DATAGRAM_MAX_BYTES];
    uint32_t n;
    if (CpDatagram_Encode(f, data, &n) != CP_OK) {
        return;
    }
    if (to_bytes == 0 || sendto(e->report_fd, data, n, MSG_DONTWAIT,
                                (const struct sockaddr *)to, to_bytes) < 0) {
        CpCounter_Add(CP_COUNT_REPORTS_UNSENT, 1);
        return;
    }
    CpCounter_Add(CP_COUNT_MEMBER_BYTES, n);
}
