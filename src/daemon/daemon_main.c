/* chestnutpaddled: reads settings, runs one entry host, shuts down cleanly. */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "base/event.h"
#include "entry/entry.h"
#include "host/host.h"
#include "platform/platform.h"

#define EXIT_BAD_SETTINGS 2
#define SETTINGS_CHECK_S 1 /* between two checks of the settings file */

/* Functions of one mode of `serve`, called by the signal loop. */
typedef struct {
    CpStatus (*start)(const CpSettings *settings, void **out);
    void (*reload)(void *host, const CpSettings *settings);
    void (*drain)(void *host);
    void (*free)(void *host);
} ServeMode;

static CpStatus start_kinds(const CpSettings *settings, void **out);
static void reload_kinds(void *host, const CpSettings *settings);
static void drain_kinds(void *host);
static void free_kinds(void *host);
static CpStatus start_routes(const CpSettings *settings, void **out);
static void reload_routes(void *host, const CpSettings *settings);
static void drain_routes(void *host);
static void free_routes(void *host);
static void block_signals(sigset_t *set);
static int run(const CpSettings *settings, const char *path,
               const sigset_t *set);
static void reload(const ServeMode *mode, void *host, const char *path);
static bool has_changed(const char *path, struct stat *last);

static const ServeMode kinds_mode = {start_kinds, reload_kinds, drain_kinds,
                                     free_kinds};
static const ServeMode routes_mode = {start_routes, reload_routes,
                                      drain_routes, free_routes};

int
main(int argc, char **argv)
{
    gchar *path = NULL;
    gboolean check = FALSE;
    GError *err = NULL;
    CpSettings settings;
    CpProblems problems = {0};
    sigset_t set;
    GOptionEntry entries[] = {{"config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
                               "Settings file", "FILE"},
                              {"check", 0, 0, G_OPTION_ARG_NONE, &check,
                               "Only check the settings", NULL},
                              {0}};
    block_signals(&set);
    GOptionContext *oc = g_option_context_new("- entry host");
    g_option_context_add_main_entries(oc, entries, NULL);
    if (!g_option_context_parse(oc, &argc, &argv, &err) || path == NULL) {
        fprintf(stderr, "chestnutpaddled: %s\n",
                err ? err->message : "-c FILE is missing");
        return EXIT_BAD_SETTINGS;
    }
    g_option_context_free(oc);
    CpLog_Open("chestnutpaddled");
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        return EXIT_FAILURE;
    }
    if (CpSettings_Load(path, &settings, &problems) != CP_OK) {
        CpProblems_Print(&problems);
        CpProblems_Clear(&problems);
        return EXIT_BAD_SETTINGS;
    }
    if (check) {
        return EXIT_SUCCESS;
    }
    int status = run(&settings, path, &set);
    CpSettings_Clear(&settings);
    g_free(path);
    return status;
}

/* Blocks the signals in all threads; the main thread reads them with
 * sigtimedwait(). A signal that arrives during start stays pending until the
 * host has started. */
static void
block_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
    sigaddset(set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

static int
run(const CpSettings *settings, const char *path, const sigset_t *set)
{
    const ServeMode *mode =
        CpSettings_ServesRoutes(settings) ? &routes_mode : &kinds_mode;
    void *host;
    struct stat last = {0};
    int sig;
    if (mode->start(settings, &host) != CP_OK) {
        CpLog(CP_LOG_ERR, "%s", CpError_Message());
        return EXIT_BAD_SETTINGS;
    }
    has_changed(path, &last);
    do {
        const struct timespec wait = {.tv_sec = SETTINGS_CHECK_S};
        sig = sigtimedwait(set, NULL, &wait);
        if (has_changed(path, &last) || sig == SIGHUP) {
            reload(mode, host, path);
        }
    } while (sig < 0 || sig == SIGHUP);
    mode->drain(host);
    mode->free(host);
    return EXIT_SUCCESS;
}

static void
reload(const ServeMode *mode, void *host, const char *path)
{
    CpSettings settings;
    CpProblems problems = {0};
    if (CpSettings_Load(path, &settings, &problems) == CP_OK) {
        mode->reload(host, &settings);
        CpSettings_Clear(&settings);
    }
    else {
        CpProblems_Print(&problems);
    }
    CpProblems_Clear(&problems);
}

/* Detects a change of the file, which may come without a signal. A missing
 * file counts as unchanged. */
static bool
has_changed(const char *path, struct stat *last)
{
    struct stat current;
    if (stat(path, &current) != 0) {
        return false;
    }
    bool changed = current.st_mtim.tv_sec != last->st_mtim.tv_sec ||
                   current.st_mtim.tv_nsec != last->st_mtim.tv_nsec ||
                   current.st_size != last->st_size ||
                   current.st_ino != last->st_ino;
    *last = current;
    return changed;
}

static CpStatus
start_kinds(const CpSettings *settings, void **out)
{
    CpNode *n;
    CpStatus st = CpNode_New(settings, &n);
    if (st == CP_OK) {
        st = CpNode_Start(n);
    }
    if (st == CP_OK) {
        CpLog(CP_LOG_NOTICE, "host %s in %s is up", settings->host,
              settings->domain);
    }
    *out = n;
    return st;
}

static void
reload_kinds(void *host, const CpSettings *settings)
{
    CpNode_Reload(host, settings);
}

static void
drain_kinds(void *host)
{
    CpNode_Drain(host);
}

static void
free_kinds(void *host)
{
    CpNode_Free(host);
}

static CpStatus
start_routes(const CpSettings *settings, void **out)
{
    CpEntry *e;
    CpEntryOptions options = {.settings = settings,
                              .adapter = &cp_platform_adapter};
    CpStatus st = CpEvent_Open(
        &(CpEventOptions){.host = settings->host, .fd = STDOUT_FILENO});
    if (st == CP_OK) {
        st = CpEntry_New(&options, &e);
    }
    if (st == CP_OK) {
        *out = e;
        st = CpEntry_Start(e);
    }
    return st;
}

static void
reload_routes(void *host, const CpSettings *settings)
{
    CpEntry_Reload(host, settings);
}

static void
drain_routes(void *host)
{
    CpEntry_Drain(host);
}

/* Exits without freeing the host: one of its threads may be waiting for the
 * store. */
static void
free_routes(void *host)
{
    (void)host;
    CpEvent_Close();
    _exit(EXIT_SUCCESS);
}
