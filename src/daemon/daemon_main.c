/* chestnutpaddled: reads its settings, runs one entry host, stops cleanly. */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "host/host.h"

#define EXIT_SETTINGS 2

static int run(CpSettings *settings, const char *path);
static void reload(CpNode *n, const char *path);

int
main(int argc, char **argv)
{
    gchar *path = NULL;
    gboolean check = FALSE;
    GError *err = NULL;
    CpSettings settings;
    CpProblems problems = {0};
    GOptionEntry entries[] = {{"config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
                               "Settings file", "FILE"},
                              {"check", 0, 0, G_OPTION_ARG_NONE, &check,
                               "Only check the settings", NULL},
                              {0}};
    GOptionContext *oc = g_option_context_new("- entry host");
    g_option_context_add_main_entries(oc, entries, NULL);
    if (!g_option_context_parse(oc, &argc, &argv, &err) || path == NULL) {
        fprintf(stderr, "chestnutpaddled: %s\n",
                err ? err->message : "-c FILE is missing");
        return EXIT_SETTINGS;
    }
    g_option_context_free(oc);
    CpLog_Open("chestnutpaddled");
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        return EXIT_FAILURE;
    }
    if (CpSettings_Load(path, &settings, &problems) != CP_OK) {
        CpProblems_Print(&problems);
        CpProblems_Clear(&problems);
        return EXIT_SETTINGS;
    }
    if (check) {
        return EXIT_SUCCESS;
    }
    int status = run(&settings, path);
    CpSettings_Clear(&settings);
    g_free(path);
    return status;
}

/* Signals are taken by this thread only; the others have them blocked. */
static int
run(CpSettings *settings, const char *path)
{
    CpNode *n;
    sigset_t set;
    int sig;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (CpNode_New(settings, &n) != CP_OK || CpNode_Start(n) != CP_OK) {
        CpLog(CP_LOG_ERR, "%s", CpError_Message());
        return EXIT_SETTINGS;
    }
    CpLog(CP_LOG_NOTICE, "host %s in %s is up", settings->host,
          settings->domain);
    while (sigwait(&set, &sig) == 0 && sig == SIGHUP) {
        reload(n, path);
    }
    CpNode_Drain(n);
    CpNode_Free(n);
    return EXIT_SUCCESS;
}

static void
reload(CpNode *n, const char *path)
{
    CpSettings settings;
    CpProblems problems = {0};
    if (CpSettings_Load(path, &settings, &problems) == CP_OK) {
        CpNode_Reload(n, &settings);
        CpSettings_Clear(&settings);
    }
    else {
        CpProblems_Print(&problems);
    }
    CpProblems_Clear(&problems);
}
