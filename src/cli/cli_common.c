/* Requests to hosts and to the platform, files, messages. */
#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/cli.h"
#include "http/easy.h"

#define CALL_TIMEOUT_MS 2000
#define PLATFORM_TIMEOUT_MS 2000
#define URL_BYTES 512

static CpStatus load_from_platform(const CpCliOptions *o, CpConfig **out);
static CpStatus load_from_host(const CpCliOptions *o, CpConfig **out);

static const CpExit exit_codes[CP_STATUS_COUNT] = {
    [CP_OK] = CP_EXIT_OK,
    [CP_ERR_ARG] = CP_EXIT_USAGE,
    [CP_ERR_IO] = CP_EXIT_FAILED,
    [CP_ERR_PARSE] = CP_EXIT_USAGE,
    [CP_ERR_RANGE] = CP_EXIT_USAGE,
    [CP_ERR_CONFLICT] = CP_EXIT_CONFLICT,
    [CP_ERR_TIMEOUT] = CP_EXIT_UNREACHABLE,
    [CP_ERR_NOT_FOUND] = CP_EXIT_FAILED,
    [CP_ERR_AUTH] = CP_EXIT_FAILED,
    [CP_ERR_UNAVAILABLE] = CP_EXIT_UNREACHABLE,
    [CP_ERR_UNKNOWN_EFFECT] = CP_EXIT_UNKNOWN,
};

CpStatus
CpCli_CallHost(const CpCliOptions *o, const char *method, const char *address,
               const char *path, char **out, long *status)
{
    char url[URL_BYTES];
    GString *body = g_string_new(NULL);
    CURL *e = curl_easy_init();
    struct curl_slist *headers = NULL;
    char *token = NULL;
    size_t token_bytes;
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    if (o->token_file != NULL &&
        CpFile_Read(o->token_file, &token, &token_bytes) == CP_OK) {
        char *line =
            g_strdup_printf("Authorization: Bearer %s", g_strstrip(token));
        headers = curl_slist_append(headers, line);
        g_free(line);
        free(token);
    }
    CpEasy_SetDefaults(e, url, CALL_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, "");
    }
    CURLcode code = CpEasy_Perform(e, body, SIZE_MAX, status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(e);
    *out = g_string_free(body, FALSE);
    if (code != CURLE_OK) {
        return CpError_Set(CP_ERR_UNAVAILABLE, "%s: %s", address,
                           curl_easy_strerror(code));
    }
    return CP_OK;
}

CpStatus
CpCli_LoadCurrentConfig(const CpCliOptions *o, CpConfig **out)
{
    if (o->config != NULL) {
        return CpCli_LoadConfigFile(o->config, out);
    }
    CpStatus st =
        CpError_Set(CP_ERR_ARG, "--platform, --host or --config is needed");
    if (o->platform != NULL) {
        st = load_from_platform(o, out);
    }
    if (st != CP_OK && o->host != NULL) {
        st = load_from_host(o, out);
    }
    return st;
}

CpStatus
CpCli_LoadConfigFile(const char *path, CpConfig **out)
{
    char *text;
    size_t size;
    CpProblems problems = {0};
    CpStatus st = CpFile_Read(path, &text, &size);
    if (st == CP_OK) {
        st = CpConfig_Parse(path, text, size, out, &problems);
        free(text);
    }
    CpProblems_Print(&problems);
    CpProblems_Clear(&problems);
    return st;
}

CpExit
CpCli_ExitCode(CpStatus st)
{
    return exit_codes[st];
}

CpExit
CpCli_ReportError(CpStatus st)
{
    fprintf(stderr, "chestnutpaddle: %s: %s\n", CpStatus_Name(st),
            CpError_Message());
    return exit_codes[st];
}

void
CpCli_Progress(const char *fmt, ...)
{
    va_list ap;
    if (!isatty(STDERR_FILENO)) {
        return;
    }
    va_start(ap, fmt);
    fprintf(stderr, "\r\033[K");
    vfprintf(stderr, fmt, ap);
    fflush(stderr);
    va_end(ap);
}

CpStatus
CpCli_WriteOutput(const char *path, const char *text)
{
    FILE *f = path != NULL ? fopen(path, "w") : stdout;
    if (f == NULL || fputs(text, f) < 0) {
        return CpError_Set(CP_ERR_IO, "%s: cannot be written", path);
    }
    if (path != NULL && fclose(f) != 0) {
        return CpError_Set(CP_ERR_IO, "%s: cannot be written", path);
    }
    return CP_OK;
}

json_t *
CpCli_FetchHostStatus(const CpCliOptions *o, const char *address)
{
    char *text;
    long status = 0;
    json_t *root = NULL;
    CpStatus st = CpCli_CallHost(o, "GET", address, "/status", &text, &status);
    if (st == CP_OK && status == 200) {
        root = json_loads(text, 0, NULL);
    }
    else if (st == CP_OK) {
        CpError_Set(CP_ERR_AUTH, "%s: status %ld", address, status);
    }
    g_free(text);
    return root;
}

static CpStatus
load_from_platform(const CpCliOptions *o, CpConfig **out)
{
    CpStore *p = CpPlatform_NewStore(o->platform, PLATFORM_TIMEOUT_MS);
    CpRow row = {.key = CP_HEAD_KEY};
    CpHeadRow head;
    CpProblems problems = {0};
    char *text;
    size_t size;
    CpStatus st = p->read_rows(p->ctx, &row, 1);
    if (st == CP_OK && !CpHeadRow_Parse(&row, &head)) {
        st = CpError_Set(CP_ERR_NOT_FOUND, "no configuration was applied");
    }
    if (st == CP_OK) {
        st = p->get_object(p->ctx, head.object, &text, &size);
    }
    if (st == CP_OK) {
        st = CpConfig_Parse(head.object, text, size, out, &problems);
        free(text);
    }
    if (st == CP_OK) {
        (*out)->version = head.version;
    }
    CpProblems_Clear(&problems);
    CpPlatform_FreeStore(p);
    return st;
}

/* Every host serves its configuration; the first line contains the version. */
static CpStatus
load_from_host(const CpCliOptions *o, CpConfig **out)
{
    char *text;
    long status = 0;
    uint64_t version = 0;
    CpProblems problems = {0};
    CpStatus st = CpCli_CallHost(o, "GET", o->host, "/config", &text, &status);
    if (st == CP_OK &&
        (status != 200 || sscanf(text, "# version %" SCNu64, &version) != 1)) {
        st =
            CpError_Set(CP_ERR_UNAVAILABLE, "%s: status %ld", o->host, status);
    }
    if (st == CP_OK) {
        st = CpConfig_Parse(o->host, text, strlen(text), out, &problems);
    }
    if (st == CP_OK) {
        (*out)->version = version;
    }
    CpProblems_Clear(&problems);
    g_free(text);
    return st;
}
