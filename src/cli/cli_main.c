/* chestnutpaddle: command-line options and the table of commands. */
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

typedef struct {
    const char *name;
    CpCommandFn fn;
    const char *usage;
} Command;

static const Command commands[] = {
    {"init", CpCli_Init, "init TEMPLATE: write a questionnaire"},
    {"generate", CpCli_Generate, "generate ANSWERS: write a configuration"},
    {"check", CpCli_Check, "check CONFIG: report every problem"},
    {"diff", CpCli_Diff, "diff OLD NEW: list the differences"},
    {"apply", CpCli_Apply, "apply CONFIG: put it in force"},
    {"status", CpCli_Status, "status: hosts, versions and pools"},
    {"lookup", CpCli_Lookup, "lookup KIND: entry hosts for a client"},
    {"drain", CpCli_Drain, "drain SERVER|DOMAIN: move its work away"},
    {"undrain", CpCli_Undrain, "undrain SERVER|DOMAIN: return it to service"},
    {"move", CpCli_Move, "move FROM TO PERCENT: move a domain's clients"},
    {"plan", CpCli_Plan,
     "plan drain X | plan move FROM TO PERCENT: show the effect only"},
    {"watch", CpCli_Watch, "watch: latency, headroom, refusals by rank"},
    {"explain", CpCli_Explain,
     "explain ID [LOG...]: show a request's events from the hosts' logs"},
    {0},
};

static char *summary(void);

int
main(int argc, char **argv)
{
    CpCliOptions o = {.count = 1, .interval_s = 1, .wait_s = 10};
    gboolean json = FALSE;
    GError *err = NULL;
    GOptionEntry entries[] = {
        {"platform", 'p', 0, G_OPTION_ARG_STRING, &o.platform,
         "Platform's URL", "URL"},
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &o.config,
         "Configuration file, in place of the platform's", "FILE"},
        {"token-file", 't', 0, G_OPTION_ARG_FILENAME, &o.token_file,
         "File with the operators' token", "FILE"},
        {"host", 'H', 0, G_OPTION_ARG_STRING, &o.host,
         "Operator address of any host", "IP:PORT"},
        {"output", 'o', 0, G_OPTION_ARG_FILENAME, &o.output, "Output file",
         "FILE"},
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &o.settings,
         "generate: also write each host's settings here", "DIR"},
        {"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &o.key_file,
         "generate: key file that the settings name", "FILE"},
        {"client", 0, 0, G_OPTION_ARG_STRING, &o.client,
         "lookup: the client's address", "IP"},
        {"count", 'n', 0, G_OPTION_ARG_INT, &o.count, "watch: reports", "N"},
        {"interval", 'i', 0, G_OPTION_ARG_INT, &o.interval_s,
         "watch: seconds between reports", "S"},
        {"wait", 'w', 0, G_OPTION_ARG_INT, &o.wait_s,
         "apply: seconds to wait for the hosts", "S"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
        {0}};
    GOptionContext *oc = g_option_context_new("COMMAND ...");
    char *text = summary();
    g_option_context_set_summary(oc, text);
    g_option_context_add_main_entries(oc, entries, NULL);
    if (!g_option_context_parse(oc, &argc, &argv, &err)) {
        fprintf(stderr, "chestnutpaddle: %s\n", err->message);
        return CP_EXIT_USAGE;
    }
    o.json = json;
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        return CP_EXIT_FAILED;
    }
    CpLog_Open("chestnutpaddle");
    for (const Command *c = commands; argc > 1 && c->name; c++) {
        if (strcmp(c->name, argv[1]) == 0) {
            return c->fn(&o, argc - 2, argv + 2);
        }
    }
    fprintf(stderr, "%s", g_option_context_get_help(oc, TRUE, NULL));
    return CP_EXIT_USAGE;
}

static char *
summary(void)
{
    GString *s = g_string_new("Commands:");
    for (const Command *c = commands; c->name; c++) {
        g_string_append_printf(s, "\n  %s", c->usage);
    }
    return g_string_free(s, FALSE);
}
