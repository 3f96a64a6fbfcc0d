/* Commands on files: init, generate, check, diff. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "cli/cli.h"

static CpStatus write_settings(const CpCliOptions *o, const CpConfig *c);
static char *settings_text(const CpCliOptions *o, const CpConfig *c,
                           const CpHost *h);

CpExit
CpCli_Init(const CpCliOptions *o, int argc, char **argv)
{
    const char *text = argc == 1 ? CpTemplate_Text(argv[0]) : NULL;
    if (text == NULL) {
        fprintf(stderr, "chestnutpaddle: init: expected one of:");
        for (const char *const *n = CpTemplate_Names(); *n; n++) {
            fprintf(stderr, " %s", *n);
        }
        fprintf(stderr, "\n");
        return CP_EXIT_USAGE;
    }
    CpStatus st = CpCli_WriteOutput(o->output, text);
    return st == CP_OK ? CP_EXIT_OK : CpCli_ReportError(st);
}

CpExit
CpCli_Generate(const CpCliOptions *o, int argc, char **argv)
{
    char *text;
    size_t size;
    CpConfig *c = NULL;
    CpProblems problems = {0};
    if (argc != 1) {
        return CpCli_ReportError(CpError_Set(CP_ERR_ARG, "generate ANSWERS"));
    }
    CpStatus st = CpFile_Read(argv[0], &text, &size);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    st = CpConfig_Generate(argv[0], text, size, &c, &problems);
    free(text);
    CpProblems_Print(&problems);
    CpProblems_Clear(&problems);
    if (st == CP_OK) {
        char *yaml = CpConfig_ToYaml(c);
        st = CpCli_WriteOutput(o->output, yaml);
        free(yaml);
    }
    if (st == CP_OK && o->settings != NULL) {
        st = write_settings(o, c);
    }
    CpConfig_Free(c);
    return st == CP_OK ? CP_EXIT_OK : CpCli_ReportError(st);
}

CpExit
CpCli_Check(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *c;
    if (argc != 1) {
        return CpCli_ReportError(CpError_Set(CP_ERR_ARG, "check CONFIG"));
    }
    CpStatus st = CpCli_LoadConfigFile(argv[0], &c);
    if (st != CP_OK) {
        return CpCli_ReportError(st);
    }
    if (o->json) {
        printf("{\"name\":\"%s\",\"hosts\":%u,\"servers\":%u}\n", c->name,
               c->host_count, c->server_count);
    }
    else {
        printf("%s: ok: %u regions, %u failure domains, %u hosts, %u backend "
               "servers, %u kinds of work\n",
               c->name, c->region_count, c->domain_count, c->host_count,
               c->server_count, c->kind_count);
    }
    CpConfig_Free(c);
    return CP_EXIT_OK;
}

CpExit
CpCli_Diff(const CpCliOptions *o, int argc, char **argv)
{
    CpConfig *a = NULL, *b = NULL;
    if (argc != 2) {
        return CpCli_ReportError(CpError_Set(CP_ERR_ARG, "diff OLD NEW"));
    }
    CpStatus st = CpCli_LoadConfigFile(argv[0], &a);
    if (st == CP_OK) {
        st = CpCli_LoadConfigFile(argv[1], &b);
    }
    if (st == CP_OK) {
        char *text = CpConfig_Diff(a, b);
        if (o->json) {
            json_t *list = json_array();
            char **lines = g_strsplit(text, "\n", -1);
            for (char **l = lines; *l != NULL; l++) {
                if (**l != '\0') {
                    json_array_append_new(list, json_string(*l));
                }
            }
            char *out = json_dumps(list, JSON_INDENT(1));
            printf("%s\n", out);
            free(out);
            json_decref(list);
            g_strfreev(lines);
        }
        else {
            fputs(text, stdout);
        }
        free(text);
    }
    CpConfig_Free(a);
    CpConfig_Free(b);
    return st == CP_OK ? CP_EXIT_OK : CpCli_ReportError(st);
}

/* Writes one settings file per host, for chestnutpaddled. */
static CpStatus
write_settings(const CpCliOptions *o, const CpConfig *c)
{
    if (o->platform == NULL || o->key_file == NULL || o->token_file == NULL) {
        return CpError_Set(CP_ERR_ARG, "--settings needs --platform, "
                                       "--key-file and --token-file");
    }
    mkdir(o->settings, 0755);
    CpStatus st = CP_OK;
    for (uint32_t i = 0; st == CP_OK && i < c->host_count; i++) {
        char *path =
            g_strdup_printf("%s/%s.yaml", o->settings, c->hosts[i].name);
        char *text = settings_text(o, c, &c->hosts[i]);
        st = CpCli_WriteOutput(path, text);
        g_free(path);
        g_free(text);
    }
    return st;
}

static char *
settings_text(const CpCliOptions *o, const CpConfig *c, const CpHost *h)
{
    GString *s = g_string_new(NULL);
    g_string_append_printf(s,
                           "host: %s\ndomain: %s\ncaller: %s\ninner: %s\n"
                           "operator_listen: %s\nplatform: %s\n"
                           "key_file: %s\ntoken_file: %s\n",
                           h->name, h->domain, h->caller, h->inner,
                           h->operator_listen, o->platform, o->key_file,
                           o->token_file);
    const char *heading = "neighbours:\n";
    for (uint32_t i = 0; i < c->host_count; i++) {
        const CpHost *other = &c->hosts[i];
        if (other != h && strcmp(other->domain, h->domain) == 0) {
            g_string_append_printf(s, "%s  - %s\n", heading, other->inner);
            heading = "";
        }
    }
    return g_string_free(s, FALSE);
}
