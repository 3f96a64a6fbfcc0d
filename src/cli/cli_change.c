/* Commands that change the accepted configuration: apply, drain, move. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/cli.h"

#define PLATFORM_TIMEOUT_MS 2000
#define POLL_MS 100

static CpExit set_drained(const CpCliOptions *o, int argc, char **argv,
                          bool drained);
static uint32_t notify_hosts(const CpCliOptions *o, const CpConfig *c,
                             const CpServer *s, bool leaving);
static uint32_t count_hosts_with_version(const CpCliOptions *o,
                                         const CpConfig *c, uint64_t version,
                                         uint32_t *answered);
static void print_result(const CpCliOptions *o, uint64_t version,
                         uint32_t in_force, uint32_t answered,
                         uint32_t host_count);

CpExit
CpCli_Apply(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *c, *current = NULL;
    if (argc != 1 || o->platform == NULL) {
        return CpCli_ReportError(
            CpError_Set(CP_ERR_ARG, "apply CONFIG --platform URL"));
    }
    CpStatus st = CpCli_LoadConfigFile(argv[0], &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    uint64_t base = 0;
    st = CpCli_LoadCurrentConfig(o, &current);
    if (st == CP_OK) {
        base = current->version;
    }
    CpConfig_Free(current);
    CpExit e = st == CP_OK || st == CP_ERR_NOT_FOUND
                   ? CpCli_ApplyConfig(o, c, base)
                   : CpCli_ReportError(st);
    CpConfig_Free(c);
    return e;
}

CpExit
CpCli_ApplyConfig(const CpCliOptions *o, const CpConfig *c, uint64_t base)
{
    CpStore *p = CpPlatform_NewStore(o->platform, PLATFORM_TIMEOUT_MS);
    char *text = CpConfig_ToYaml(c);
    uint64_t version = 0;
    uint32_t in_force = 0, answered = 0;
    CpStatus st = CpStore_ApplyConfig(p, text, strlen(text), base, &version);
    free(text);
    CpPlatform_FreeStore(p);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    for (int32_t ms = 0; ms < o->wait_s * 1000; ms += POLL_MS) {
        struct timespec ts = {.tv_nsec = POLL_MS * CP_NS_PER_MS};
        in_force = count_hosts_with_version(o, c, version, &answered);
        CpCli_Progress("version %" PRIu64 ": %u of %u hosts", version,
                       in_force, c->host_count);
        if (in_force == c->host_count) {
            break;
        }
        nanosleep(&ts, NULL);
    }
    CpCli_Progress("%s", "");
    print_result(o, version, in_force, answered, c->host_count);
    return CP_EXIT_OK;
}

CpExit
CpCli_Drain(const CpCliOptions *o, int argc, char **argv)
{
    return set_drained(o, argc, argv, true);
}

CpExit
CpCli_Undrain(const CpCliOptions *o, int argc, char **argv)
{
    return set_drained(o, argc, argv, false);
}

CpExit
CpCli_Move(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *c;
    if (argc != 3 || o->platform == NULL) {
        return CpCli_ReportError(
            CpError_Set(CP_ERR_ARG, "move FROM TO PERCENT --platform URL"));
    }
    CpStatus st = CpCli_LoadCurrentConfig(o, &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    uint32_t from = CpConfig_FindDomain(c, argv[0]);
    uint32_t to = CpConfig_FindDomain(c, argv[1]);
    uint32_t percent = (uint32_t)strtoul(argv[2], NULL, 10);
    CpExit e = CP_EXIT_USAGE;
    if (from == CP_NO_INDEX || to == CP_NO_INDEX || percent > 100) {
        e = CpCli_ReportError(CpError_Set(
            CP_ERR_ARG, "expected two failure domains and 0 to 100 percent"));
    }
    else {
        uint32_t move_count = 0;
        c->moves =
            CpMem_Realloc(c->moves, (c->move_count + 2) * sizeof(*c->moves));
        for (uint32_t i = 0; i < c->move_count; i++) {
            if (strcmp(c->moves[i].from, argv[0]) != 0 ||
                strcmp(c->moves[i].to, argv[1]) != 0) {
                c->moves[move_count++] = c->moves[i];
            }
        }
        c->move_count = move_count;
        if (percent > 0) {
            CpMove *m = &c->moves[c->move_count++];
            *m = (CpMove){.percent = percent};
            CpStr_Copy(m->from, sizeof(m->from), argv[0]);
            CpStr_Copy(m->to, sizeof(m->to), argv[1]);
        }
        e = CpCli_ApplyConfig(o, c, c->version);
    }
    CpConfig_Free(c);
    return e;
}

/* Drains or returns to service a backend server or a failure domain. Notifies
 * the hosts in the domain of a server directly, whether or not the platform is
 * reachable, then records the change in the configuration. */
static CpExit
set_drained(const CpCliOptions *o, int argc, char **argv, bool drained)
{
    CpConfig *c;
    if (argc != 1) {
        return CpCli_ReportError(
            CpError_Set(CP_ERR_ARG, "drain SERVER|DOMAIN"));
    }
    CpStatus st = CpCli_LoadCurrentConfig(o, &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    uint32_t server = CpConfig_FindServer(c, argv[0]);
    uint32_t domain = CpConfig_FindDomain(c, argv[0]);
    uint32_t notified = 0;
    CpExit e;
    if (server != CP_NO_INDEX) {
        notified = notify_hosts(o, c, &c->servers[server], drained);
        c->servers[server].leaving = drained;
    }
    else if (domain != CP_NO_INDEX) {
        c->domains[domain].drained = drained;
    }
    else {
        e = CpCli_ReportError(
            CpError_Set(CP_ERR_NOT_FOUND,
                        "no backend server or failure domain %s", argv[0]));
        CpConfig_Free(c);
        return e;
    }
    e = o->platform != NULL ? CpCli_ApplyConfig(o, c, c->version)
                            : CpCli_ReportError(CpError_Set(
                                  CP_ERR_UNAVAILABLE,
                                  "%u hosts were notified; without "
                                  "--platform the change is not stored",
                                  notified));
    if (e == CP_EXIT_UNREACHABLE && notified > 0) {
        fprintf(stderr, "chestnutpaddle: %u hosts were notified\n", notified);
    }
    CpConfig_Free(c);
    return e;
}

static uint32_t
notify_hosts(const CpCliOptions *o, const CpConfig *c, const CpServer *s,
             bool leaving)
{
    uint32_t notified = 0;
    for (uint32_t i = 0; i < c->host_count; i++) {
        char path[CP_NAME_BYTES + 32], *text = NULL;
        long status = 0;
        if (c->hosts[i].domain_index != s->domain_index) {
            continue;
        }
        snprintf(path, sizeof(path), "/%s?name=%s",
                 leaving ? "leaving" : "serving", s->name);
        if (CpCli_CallHost(o, "POST", c->hosts[i].operator_listen, path, &text,
                           &status) == CP_OK) {
            notified += status == 200;
        }
        free(text);
    }
    return notified;
}

static uint32_t
count_hosts_with_version(const CpCliOptions *o, const CpConfig *c,
                         uint64_t version, uint32_t *answered)
{
    uint32_t in_force = 0;
    *answered = 0;
    for (uint32_t i = 0; i < c->host_count; i++) {
        json_t *st = CpCli_FetchHostStatus(o, c->hosts[i].operator_listen);
        if (st != NULL) {
            (*answered)++;
            in_force += (uint64_t)json_integer_value(
                            json_object_get(st, "version")) >= version;
            json_decref(st);
        }
    }
    return in_force;
}

static void
print_result(const CpCliOptions *o, uint64_t version, uint32_t in_force,
             uint32_t answered, uint32_t host_count)
{
    if (o->json) {
        printf("{\"version\":%" PRIu64 ",\"hosts\":%u,\"answered\":%u,"
               "\"in_force\":%u}\n",
               version, host_count, answered, in_force);
    }
    else {
        printf("version %" PRIu64 ": in force on %u of %u hosts (%u "
               "answered)\n",
               version, in_force, host_count, answered);
    }
}
