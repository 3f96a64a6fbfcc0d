/* explain: prints one request's events from the logs of several hosts. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

#define LINE_BYTES 8192

/* A log line that is part of the result. */
typedef struct {
    json_int_t t_ms;
    uint32_t order; /* in the input */
    json_t *fields;
} Line;

typedef struct {
    const char *id;
    GPtrArray *lines;      /* Line, of the request */
    GHashTable *instances; /* servers that the request was sent to */
    GPtrArray *states;     /* Line, of servers, hosts and dependencies */
} Search;

static CpExit read_lines(Search *s, FILE *in);
static void add_line(Search *s, json_t *fields);
static const char *string_field(const json_t *o, const char *field);
static void print_request(const Search *s);
static void print_states(const Search *s);
static void print_line(const Line *l, json_int_t zero_ms);
static gint compare_time(gconstpointer a, gconstpointer b);
static void free_line(void *p);

CpExit
CpCli_Explain(const CpCliOptions *o, int argc, char **argv)
{
    Search s = {0};
    CpExit e = CP_EXIT_OK;
    (void)o;
    if (argc < 1) {
        fprintf(stderr, "chestnutpaddle: explain ID [LOG...]\n");
        return CP_EXIT_USAGE;
    }
    s.id = argv[0];
    s.lines = g_ptr_array_new_with_free_func(free_line);
    s.states = g_ptr_array_new_with_free_func(free_line);
    s.instances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (argc == 1) {
        e = read_lines(&s, stdin);
    }
    for (int i = 1; i < argc && e == CP_EXIT_OK; i++) {
        FILE *in = fopen(argv[i], "r");
        if (in == NULL) {
            fprintf(stderr, "chestnutpaddle: cannot read %s\n", argv[i]);
            e = CP_EXIT_FAILED;
            break;
        }
        e = read_lines(&s, in);
        fclose(in);
    }
    if (e == CP_EXIT_OK && s.lines->len == 0) {
        fprintf(stderr, "chestnutpaddle: no log line mentions request %s\n",
                s.id);
        e = CP_EXIT_FAILED;
    }
    if (e == CP_EXIT_OK) {
        g_ptr_array_sort(s.lines, compare_time);
        g_ptr_array_sort(s.states, compare_time);
        print_request(&s);
        print_states(&s);
    }
    g_ptr_array_unref(s.lines);
    g_ptr_array_unref(s.states);
    g_hash_table_destroy(s.instances);
    return e;
}

/* Skips any text before a line's JSON object, such as the timestamp of a log
 * collector. */
static CpExit
read_lines(Search *s, FILE *in)
{
    char line[LINE_BYTES];
    while (fgets(line, sizeof(line), in) != NULL) {
        const char *from = strchr(line, '{');
        json_t *fields = from != NULL ? json_loads(from, 0, NULL) : NULL;
        if (json_is_object(fields)) {
            add_line(s, fields);
        }
        json_decref(fields);
    }
    return ferror(in) ? CP_EXIT_FAILED : CP_EXIT_OK;
}

static void
add_line(Search *s, json_t *fields)
{
    const char *kind = string_field(fields, "kind");
    bool of_request = strcmp(string_field(fields, "request"), s->id) == 0;
    bool is_state =
        strcmp(kind, "belief") == 0 || strcmp(kind, "server") == 0 ||
        strcmp(kind, "dependency") == 0 || strcmp(kind, "process") == 0;
    if (!of_request && !is_state) {
        return;
    }
    Line *l = CpMem_Alloc(sizeof(*l));
    l->t_ms = json_integer_value(json_object_get(fields, "t_ms"));
    l->order = s->lines->len + s->states->len;
    l->fields = json_incref(fields);
    g_ptr_array_add(of_request ? s->lines : s->states, l);
    if (of_request && string_field(fields, "instance")[0] != '\0') {
        g_hash_table_add(s->instances,
                         g_strdup(string_field(fields, "instance")));
    }
}

static const char *
string_field(const json_t *o, const char *field)
{
    const char *text = json_string_value(json_object_get(o, field));
    return text != NULL ? text : "";
}

static void
print_request(const Search *s)
{
    const Line *first = g_ptr_array_index(s->lines, 0);
    printf("request %s\n", s->id);
    for (guint i = 0; i < s->lines->len; i++) {
        print_line(g_ptr_array_index(s->lines, i), first->t_ms);
    }
}

/* Prints the last state that each host of the request logged before the
 * request ended: of each server that the request was sent to, of the store and
 * of the host itself. */
static void
print_states(const Search *s)
{
    const Line *first = g_ptr_array_index(s->lines, 0);
    const Line *last = g_ptr_array_index(s->lines, s->lines->len - 1);
    GHashTable *latest =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTable *hosts = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < s->lines->len; i++) {
        const Line *l = g_ptr_array_index(s->lines, i);
        g_hash_table_add(hosts, (char *)string_field(l->fields, "host"));
    }
    for (guint i = 0; i < s->states->len; i++) {
        Line *l = g_ptr_array_index(s->states, i);
        const char *host = string_field(l->fields, "host");
        const char *instance = string_field(l->fields, "instance");
        bool relevant = instance[0] == '\0' ||
                        g_hash_table_contains(s->instances, instance);
        if (l->t_ms <= last->t_ms && relevant &&
            g_hash_table_contains(hosts, host)) {
            gchar *key =
                g_strconcat(host, " ", string_field(l->fields, "kind"), " ",
                            instance, " ", string_field(l->fields, "table"),
                            string_field(l->fields, "name"), NULL);
            g_hash_table_replace(latest, key, l);
        }
    }
    printf("state of its hosts when it ended\n");
    for (guint i = 0; i < s->states->len; i++) {
        Line *l = g_ptr_array_index(s->states, i);
        GHashTableIter it;
        void *value;
        g_hash_table_iter_init(&it, latest);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            if (value == l) {
                print_line(l, first->t_ms);
            }
        }
    }
    g_hash_table_destroy(latest);
    g_hash_table_destroy(hosts);
}

static void
print_line(const Line *l, json_int_t zero_ms)
{
    const char *key;
    json_t *value;
    printf("  %+" JSON_INTEGER_FORMAT " ms %s %s %s", l->t_ms - zero_ms,
           string_field(l->fields, "host"), string_field(l->fields, "kind"),
           string_field(l->fields, "what"));
    json_object_foreach(l->fields, key, value)
    {
        bool already_printed =
            strcmp(key, "t_ms") == 0 || strcmp(key, "host") == 0 ||
            strcmp(key, "kind") == 0 || strcmp(key, "what") == 0 ||
            strcmp(key, "request") == 0;
        if (!already_printed) {
            char *text = json_dumps(value, JSON_ENCODE_ANY);
            printf(" %s=%s", key, text);
            free(text);
        }
    }
    printf("\n");
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const Line *x = *(const Line *const *)a, *y = *(const Line *const *)b;
    if (x->t_ms != y->t_ms) {
        return x->t_ms < y->t_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
free_line(void *p)
{
    Line *l = p;
    json_decref(l->fields);
    free(l);
}
