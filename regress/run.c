/* Runs the scripts under regress/ whose path contains the argument, by default
 * all, and compares the output of NAME.in with NAME.out. REGRESS_ACCEPT=1
 * writes NAME.out. Scripts of regress/system are run by bash and start real
 * processes; the others are run by the driver of their package. Scripts listed
 * in KNOWN-RED.txt may fail; they are printed. */
#include <check.h>
#include <glib.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "regress.h"

#define MAX_TESTS 256
#define LINE_BYTES 16384 /* longest line of a script */
#define SYSTEM_TIMEOUT_S 150
#define SYSTEM_WORKERS 3
#define SCRIPT_TIMEOUT_S 60

typedef struct {
    const char *folder;
    CpDriveFn fn; /* NULL: scripts are run by bash */
} Package;

static const Package packages[] = {
    {"admit", CpDrive_Admit},       {"budget", CpDrive_Budget},
    {"config", CpDrive_Config},     {"fleet", CpDrive_Fleet},
    {"http", CpDrive_Http},         {"member", CpDrive_Member},
    {"once", CpDrive_Once},         {"org", CpDrive_Org},
    {"platform", CpDrive_Platform}, {"proxy", CpDrive_Proxy},
    {"quota", CpDrive_Quota},       {"route", CpDrive_Route},
    {"steer", CpDrive_Steer},       {"store", CpDrive_Store},
    {"wire", CpDrive_Wire},         {"system", NULL}, /* run by bash */
};

static char *scripts[MAX_TESTS];
static const Package *script_package[MAX_TESTS];
static int script_count, first_system_script;
static char *system_outputs[MAX_TESTS]; /* NULL: not run */
static pthread_mutex_t next_system_lock = PTHREAD_MUTEX_INITIALIZER;
static int next_system_script;
static const char *path_filter;

static void find_scripts(void);
static char *run_script(const Package *p, const char *path);
static void run_system_scripts(const char *filter);
static void *system_worker(void *net);
static char *run_system_script(const char *path, int net);
static bool is_known_red(const char *path);

START_TEST(test_script)
{
    const char *path = scripts[_i];
    char *want = NULL;
    char *out_path = g_strdup_printf("%.*s.out", (int)strlen(path) - 3, path);
    char *got = system_outputs[_i] != NULL
                    ? system_outputs[_i]
                    : run_script(script_package[_i], path);
    g_file_get_contents(out_path, &want, NULL, NULL);
    bool same = want != NULL && strcmp(want, got) == 0;
    if (!same && getenv("REGRESS_ACCEPT") != NULL) {
        g_file_set_contents(out_path, got, -1, NULL);
    }
    if (!same && is_known_red(path)) {
        printf("known red: %s\n", path);
        same = true;
    }
    ck_assert_msg(same, "%s: expected\n%s\ngot\n%s", path,
                  want ? want : "(no .out file)", got);
    g_free(want);
    g_free(got);
    g_free(out_path);
}
END_TEST

int
main(int argc, char **argv)
{
    const char *filter = argc > 1 ? argv[1] : "";
    if (sodium_init() < 0) {
        return 1;
    }
    find_scripts();
    run_system_scripts(filter);
    Suite *s = suite_create("regress");
    TCase *quick = tcase_create("scripts"), *slow = tcase_create("system");
    tcase_set_timeout(quick, SCRIPT_TIMEOUT_S);
    tcase_set_timeout(slow, SYSTEM_TIMEOUT_S);
    for (int i = 0; i < script_count; i++) {
        if (strstr(scripts[i], filter) != NULL) {
            tcase_add_loop_test(i < first_system_script ? quick : slow,
                                test_script, i, i + 1);
        }
    }
    suite_add_tcase(s, quick);
    suite_add_tcase(s, slow);
    SRunner *r = srunner_create(s);
    srunner_run_all(r, CK_NORMAL);
    int failed = srunner_ntests_failed(r);
    srunner_free(r);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

void
CpScript_Run(FILE *in, CpLineFn on_line, void *ctx)
{
    char line[LINE_BYTES];
    while (fgets(line, sizeof(line), in) != NULL) {
        line[strcspn(line, "\n")] = '\0';
        if (line[0] != '#' && line[0] != '\0') {
            on_line(ctx, line);
        }
    }
}

uint64_t
CpSeed_Next(CpSeed *s)
{
    uint64_t z = (s->state += UINT64_C(0x9e3779b97f4a7c15));
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint32_t
CpSeed_Below(CpSeed *s, uint32_t n)
{
    return (uint32_t)(CpSeed_Next(s) % n);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
find_scripts(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(packages); i++) {
        char *folder = g_build_filename("regress", packages[i].folder, NULL);
        GDir *dir = g_dir_open(folder, 0, NULL);
        GPtrArray *names = g_ptr_array_new();
        const char *name;
        while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
            if (g_str_has_suffix(name, ".in")) {
                g_ptr_array_add(names, g_build_filename(folder, name, NULL));
            }
        }
        g_ptr_array_sort(names, compare_names);
        if (packages[i].fn == NULL) {
            first_system_script = script_count;
        }
        for (guint k = 0; k < names->len && script_count < MAX_TESTS; k++) {
            script_package[script_count] = &packages[i];
            scripts[script_count++] = names->pdata[k];
        }
        g_ptr_array_free(names, TRUE);
        if (dir != NULL) {
            g_dir_close(dir);
        }
        g_free(folder);
    }
}

static char *
run_script(const Package *p, const char *path)
{
    char *text = NULL;
    size_t size = 0;
    FILE *in = fopen(path, "r");
    FILE *out = open_memstream(&text, &size);
    p->fn(in, out);
    fclose(in);
    fclose(out);
    return text;
}

/* Runs the system scripts that match the filter in SYSTEM_WORKERS threads,
 * each with its own NET digit and so its own addresses. */
static void
run_system_scripts(const char *filter)
{
    pthread_t workers[SYSTEM_WORKERS];
    next_system_script = first_system_script;
    path_filter = filter;
    for (intptr_t i = 0; i < SYSTEM_WORKERS; i++) {
        pthread_create(&workers[i], NULL, system_worker, (void *)(i + 1));
    }
    for (int i = 0; i < SYSTEM_WORKERS; i++) {
        pthread_join(workers[i], NULL);
    }
}

static void *
system_worker(void *net)
{
    for (;;) {
        pthread_mutex_lock(&next_system_lock);
        int i = next_system_script++;
        pthread_mutex_unlock(&next_system_lock);
        if (i >= script_count) {
            return NULL;
        }
        if (strstr(scripts[i], path_filter) != NULL) {
            system_outputs[i] =
                run_system_script(scripts[i], (int)(intptr_t)net);
        }
    }
}

static char *
run_system_script(const char *path, int net)
{
    char *command = g_strdup_printf("NET=%d timeout %d bash %s 2>&1", net,
                                    SYSTEM_TIMEOUT_S, path);
    FILE *in = popen(command, "r");
    GString *all = g_string_new(NULL);
    char block[4096];
    size_t n;
    while ((n = fread(block, 1, sizeof(block), in)) > 0) {
        g_string_append_len(all, block, (gssize)n);
    }
    pclose(in);
    g_free(command);
    return g_string_free(all, FALSE);
}

/* Lines of KNOWN-RED.txt begin with the script's path. */
static bool
is_known_red(const char *path)
{
    char *text = NULL;
    bool found = false;
    if (g_file_get_contents("KNOWN-RED.txt", &text, NULL, NULL)) {
        char **lines = g_strsplit(text, "\n", -1);
        for (char **l = lines; *l != NULL; l++) {
            found = found || g_str_has_prefix(*l, path);
        }
        g_strfreev(lines);
    }
    g_free(text);
    return found;
}
