/* Settings of one host: the file that chestnutpaddled reads on start. */
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <stdio.h>

#include "config/config_int.h"

static const CpField address_fields[] = {
    CP_TEXT_FIELD(CpAddress, value, true),
    {0},
};

static const CpField domain_fields[] = {
    CP_TEXT_FIELD(CpSettingsDomain, name, true),
    CP_TEXT_FIELD(CpSettingsDomain, region, true),
    {0},
};

static const CpField settings_fields[] = {
    CP_TEXT_FIELD(CpSettings, serve, false),
    CP_TEXT_FIELD(CpSettings, host, true),
    CP_TEXT_FIELD(CpSettings, domain, true),
    CP_TEXT_FIELD(CpSettings, caller, true),
    CP_TEXT_FIELD(CpSettings, inner, true),
    CP_TEXT_FIELD(CpSettings, operator_listen, true),
    CP_TEXT_FIELD(CpSettings, platform, true),
    CP_TEXT_FIELD(CpSettings, key_file, false),
    CP_TEXT_FIELD(CpSettings, token_file, false),
    CP_LIST_FIELD(CpSettings, neighbours, neighbour_count, CpAddress,
                  address_fields, false),
    CP_U32_FIELD(CpSettings, worker_threads, 1, 16, 2, "threads"),
    CP_U32_FIELD(CpSettings, max_requests, 16, 20000, 2000, "requests"),
    CP_U32_FIELD(CpSettings, stop_timeout_s, 1, 3600, 60, "s"),
    CP_U32_FIELD(CpSettings, memory_limit_mb, 0, 1048576, 0, "MB"),
    CP_U32_FIELD(CpSettings, request_buffer_kb, 64, 65536, 1024, "KB"),
    CP_U32_FIELD(CpSettings, body_timeout_s, 1, 3600, 30, "s"),
    CP_TEXT_FIELD(CpSettings, directory, false),
    CP_TEXT_FIELD(CpSettings, ready, false),
    CP_TEXT_FIELD(CpSettings, control, false),
    CP_LIST_FIELD(CpSettings, domains, domain_count, CpSettingsDomain,
                  domain_fields, false),
    CP_U32_FIELD(CpSettings, retry_percent, 0, 100, 15, "%"),
    CP_U32_FIELD(CpSettings, retry_burst, 0, 100000, 80, "requests"),
    CP_U32_FIELD(CpSettings, retry_window_s, 1, 3600, 10, "s"),
    CP_U32_FIELD(CpSettings, directory_ttl_s, 1, 60, 2, "s"),
    CP_U32_FIELD(CpSettings, watching_hosts, 1, 64, 2, "hosts"),
    CP_U32_FIELD(CpSettings, report_interval_ms, 100, 60000, 1500, "ms"),
    CP_BOOL_FIELD(CpSettings, first_start, 0),
    CP_U32_FIELD(CpSettings, lapse_ms, 0, 60000, 2000, "ms"),
    CP_U32_FIELD(CpSettings, revocation_bound_ms, 0, 3600000, 0, "ms"),
    CP_U32_FIELD(CpSettings, denial_bound_ms, 0, 3600000, 3000, "ms"),
    CP_U32_FIELD(CpSettings, quota_window_s, 0, 3600, 0, "s"),
    CP_TEXT_FIELD(CpSettings, quota_overshoot, false),
    CP_U32_FIELD(CpSettings, quota_tolerance, 0, 100000, 0, "requests"),
    CP_U32_FIELD(CpSettings, speed_poll_ms, 0, 60000, 0, "ms"),
    {0},
};

_Static_assert(sizeof(settings_fields) / sizeof(settings_fields[0]) <=
                   CP_MAX_FIELDS,
               "too many settings");

static void check_address(const char *path, const char *field,
                          const char *value, CpProblems *p);
static void check_mode(const char *path, const CpSettings *s, CpProblems *p);
static bool parse_fraction(const char *text, uint32_t *milli);

CpStatus
CpSettings_Load(const char *path, CpSettings *out, CpProblems *p)
{
    char *text;
    size_t n;
    uint32_t before = p->count;
    *out = (CpSettings){0};
    CpStatus st = CpFile_Read(path, &text, &n);
    if (st != CP_OK) {
        CpProblems_Add(p, "%s", CpError_Message());
        return st;
    }
    st = CpYaml_Bind(path, text, n, settings_fields, out, p);
    free(text);
    if (st == CP_OK) {
        check_address(path, "caller", out->caller, p);
        check_address(path, "inner", out->inner, p);
        check_address(path, "operator_listen", out->operator_listen, p);
        for (uint32_t i = 0; i < out->neighbour_count; i++) {
            check_address(path, "neighbours", out->neighbours[i].value, p);
        }
        check_mode(path, out, p);
        if (strncmp(out->platform, "http://", 7) != 0) {
            CpProblems_Add(p, "%s: platform: expected http://IP:port", path);
        }
    }
    if (p->count > before) {
        return CpError_Set(CP_ERR_PARSE, "%s: %u problems", path,
                           p->count - before);
    }
    return CP_OK;
}

bool
CpSettings_ServesRoutes(const CpSettings *s)
{
    return strcmp(s->serve, "routes") == 0;
}

uint32_t
CpSettings_Overshoot_milli(const CpSettings *s)
{
    uint32_t milli;
    return s->quota_overshoot[0] != '\0' &&
                   parse_fraction(s->quota_overshoot, &milli)
               ? milli
               : 0;
}

void
CpSettings_Clear(CpSettings *s)
{
    CpYaml_Clear(settings_fields, s);
}

bool
CpAddress_IsValid(const char *text)
{
    char ip[CP_ADDR_BYTES];
    struct in_addr a4;
    struct in6_addr a6;
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    int32_t port = atoi(colon + 1);
    CpStr_Copy(ip, (size_t)(colon - text) + 1, text);
    if (port < 1 || port > 65535) {
        return false;
    }
    return inet_pton(AF_INET, ip, &a4) == 1 ||
           inet_pton(AF_INET6, ip, &a6) == 1;
}

static void
check_address(const char *path, const char *field, const char *value,
              CpProblems *p)
{
    if (!CpAddress_IsValid(value)) {
        CpProblems_Add(p, "%s: %s: expected IP:port, got \"%s\"", path, field,
                       value);
    }
}

/* Checks the settings that only one mode of `serve` needs. */
static void
check_mode(const char *path, const CpSettings *s, CpProblems *p)
{
    if (CpSettings_ServesRoutes(s)) {
        check_address(path, "directory", s->directory, p);
        check_address(path, "ready", s->ready, p);
        if (s->control[0] != '\0') {
            check_address(path, "control", s->control, p);
        }
        uint32_t milli;
        if (s->quota_overshoot[0] != '\0' &&
            !parse_fraction(s->quota_overshoot, &milli)) {
            CpProblems_Add(p,
                           "%s: quota_overshoot: expected a fraction from 0 "
                           "to 1, got \"%s\"",
                           path, s->quota_overshoot);
        }
        return;
    }
    if (s->serve[0] != '\0' && strcmp(s->serve, "kinds") != 0) {
        CpProblems_Add(p, "%s: serve: expected kinds or routes, got \"%s\"",
                       path, s->serve);
    }
    if (s->key_file[0] == '\0') {
        CpProblems_Add(p, "%s: key_file is missing", path);
    }
    if (s->token_file[0] == '\0') {
        CpProblems_Add(p, "%s: token_file is missing", path);
    }
}

static bool
parse_fraction(const char *text, uint32_t *milli)
{
    char *end;
    double value = strtod(text, &end);
    if (end == text || *end != '\0' || !(value >= 0 && value <= 1)) {
        return false;
    }
    *milli = (uint32_t)(value * 1000 + 1e-6);
    return true;
}
