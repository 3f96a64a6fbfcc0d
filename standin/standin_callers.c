/*
 * Stand-in of callers that speak the platform's messages. Arguments: options,
 * then the addresses of directories. Each thread asks a directory which hosts
 * to use, keeps one connection, sends requests at a steady rate, and comes
 * back once where that is allowed. A line a try goes to standard output:
 * ID KIND RESULT STATUS MILLISECONDS HOST END, the last in ms of wall clock.
 * Kinds are pay, read and large, a read whose answer streams.
 */
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/easy.h"
#include "standin.h"

#define LOOKUP_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 1000
#define CALLER_TIMEOUT_MS 3000 /* how long a caller waits */
#define MAX_ANSWER_BYTES 65536
#define MAX_LOOKUPS 3 /* directories that are asked in a row */
#define OBJECTS 40
#define PAY_PERCENT 40
#define LARGE_PERCENT 15 /* reads whose answers come bit by bit */
#define LARGE_BYTES 50000
#define LARGE_MS 60
#define ID_BYTES 48
#define LINE_BYTES 160

typedef enum {
    RESULT_OK = 0,
    RESULT_WRONG,   /* a success that is not the whole answer to this try */
    RESULT_NOT_RUN, /* the answer says so */
    RESULT_FAILED,  /* another answer */
    RESULT_CUT,     /* sent, and no whole answer */
    RESULT_UNSENT,
    RESULT_COUNT
} Result;

typedef struct {
    pthread_t thread;
    uint32_t index;
    uint64_t random; /* state of its generator */
    CURL *easy;
    GPtrArray *hosts; /* as the directory named them */
    int64_t hosts_until_ns;
    char host[CP_ADDR_BYTES];
    uint32_t sent;
} Caller;

/* One try of a request. */
typedef struct {
    char id[ID_BYTES];
    bool pay;
    bool large;
    uint32_t object;
    char path[LINE_BYTES];
    bool echoed;
    bool sealed;
    bool sent;
    uint32_t retry_after_ms;
} Try;

static const char *const result_names[RESULT_COUNT] = {
    [RESULT_OK] = "ok",           [RESULT_WRONG] = "wrong",
    [RESULT_NOT_RUN] = "not-run", [RESULT_FAILED] = "failed",
    [RESULT_CUT] = "cut",         [RESULT_UNSENT] = "unsent",
};

static gint64 seed = 1;
static gint seconds = 5, threads = 6, rate_per_s = 20;
static gchar *via; /* FROM=TO: what starts an address, and instead of it */
static gchar **directories;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of stdout */

static const GOptionEntry options[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "of all choices", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "of sending", "S"},
    {"threads", 0, 0, G_OPTION_ARG_INT, &threads, "callers", "N"},
    {"rate", 0, 0, G_OPTION_ARG_INT, &rate_per_s, "requests/s a caller", "N"},
    {"via", 0, 0, G_OPTION_ARG_STRING, &via, "proxied addresses", "FROM=TO"},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &directories,
     "directories", "ADDRESS..."},
    {0},
};
static const char *const domains[] = {"na", "nb", "wa"};

static void *run(void *ctx);
static void request(Caller *c);
static Result send_try(Caller *c, Try *t);
static Result judge(CURLcode code, const Try *t, long status,
                    const GString *body);
static bool is_own(const char *id, const GString *body);
static void choose_host(Caller *c, bool other);
static bool look_up(Caller *c);
static void take_hosts(Caller *c, const GString *text);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static uint64_t draw(Caller *c);

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *o = g_option_context_new("");
    g_option_context_add_main_entries(o, options, NULL);
    if (!g_option_context_parse(o, &argc, &argv, &error) ||
        directories == NULL) {
        fprintf(stderr, "standin-callers: %s\n",
                error != NULL ? error->message : "no directory");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Caller *callers = CpMem_Alloc((size_t)threads * sizeof(*callers));
    for (uint32_t i = 0; i < (uint32_t)threads; i++) {
        callers[i].index = i;
        callers[i].random = (uint64_t)seed * 1000 + i;
        pthread_create(&callers[i].thread, NULL, run, &callers[i]);
    }
    for (uint32_t i = 0; i < (uint32_t)threads; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    free(callers);
    g_option_context_free(o);
    return 0;
}

static void *
run(void *ctx)
{
    Caller *c = ctx;
    int64_t start_ns = CpClock_Now_ns(), due_ns = start_ns;
    int64_t end_ns = start_ns + seconds * CP_NS_PER_S;
    c->easy = curl_easy_init();
    c->hosts = g_ptr_array_new_with_free_func(g_free);
    while (due_ns < end_ns) {
        int64_t now_ns = CpClock_Now_ns();
        if (now_ns < due_ns) {
            CpStandin_Sleep_ms((uint64_t)((due_ns - now_ns) / CP_NS_PER_MS));
        }
        request(c);
        /* what a slow answer held up is not sent in a heap */
        now_ns = CpClock_Now_ns();
        due_ns += CP_NS_PER_S / rate_per_s;
        due_ns = due_ns > now_ns ? due_ns : now_ns;
    }
    curl_easy_cleanup(c->easy);
    g_ptr_array_free(c->hosts, TRUE);
    return NULL;
}

static void
request(Caller *c)
{
    bool pay = draw(c) % 100 < PAY_PERCENT;
    bool large = !pay && draw(c) % 100 < LARGE_PERCENT;
    uint32_t object = (uint32_t)(draw(c) % OBJECTS);
    for (uint32_t k = 0; k < 2; k++) {
        Try t = {.pay = pay, .large = large, .object = object};
        snprintf(t.id, sizeof(t.id), "%lld-%u-%u", (long long)seed, c->index,
                 c->sent++);
        snprintf(t.path, sizeof(t.path), "/%s/%u", pay ? "pay" : "read",
                 object);
        if (large) {
            snprintf(t.path, sizeof(t.path), "/read/%u?bytes=%d&over_ms=%d",
                     object, LARGE_BYTES, LARGE_MS);
        }
        choose_host(c, k > 0);
        Result r = send_try(c, &t);
        bool again = r == RESULT_NOT_RUN || r == RESULT_UNSENT ||
                     (!pay && r != RESULT_OK && r != RESULT_WRONG);
        if (!again) {
            return;
        }
        uint32_t wait_ms = t.retry_after_ms < CALLER_TIMEOUT_MS / 3
                               ? t.retry_after_ms
                               : CALLER_TIMEOUT_MS / 3;
        CpStandin_Sleep_ms(wait_ms);
    }
}

static Result
send_try(Caller *c, Try *t)
{
    char line[LINE_BYTES], url[2 * LINE_BYTES];
    struct curl_slist *headers = NULL;
    GString *body = g_string_new(NULL);
    long status = 0;
    int64_t start_ns = CpClock_Now_ns();
    curl_easy_reset(c->easy); /* keeps its connection */
    snprintf(url, sizeof(url), "http://%s%s", c->host, t->path);
    CpEasy_SetDefaults(c->easy, url, CALLER_TIMEOUT_MS);
    headers = curl_slist_append(headers, "Host: a.example");
    headers = curl_slist_append(headers, "Expect:");
    snprintf(line, sizeof(line), "Chestnutpaddle-Attempt-Id: %s", t->id);
    headers = curl_slist_append(headers, line);
    snprintf(line, sizeof(line), "Chestnutpaddle-Timeout-Ms: %d",
             CALLER_TIMEOUT_MS);
    headers = curl_slist_append(headers, line);
    snprintf(line, sizeof(line), "Cookie: Chestnutpaddle-Affinity-Key=%u",
             t->object);
    headers = curl_slist_append(headers, line);
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    CpEasy_SendOnce(c->easy, &t->sent);
    curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, t);
    if (t->pay) {
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, t->id);
    }
    CURLcode code = CpEasy_Perform(c->easy, body, MAX_ANSWER_BYTES, &status);
    Result r = judge(code, t, status, body);
    pthread_mutex_lock(&lock);
    printf("%s %s %s %ld %lld %s %lld\n", t->id,
           t->pay     ? "pay"
           : t->large ? "large"
                      : "read",
           result_names[r], status,
           (long long)((CpClock_Now_ns() - start_ns) / CP_NS_PER_MS), c->host,
           (long long)(g_get_real_time() / 1000));
    fflush(stdout);
    pthread_mutex_unlock(&lock);
    curl_slist_free_all(headers);
    g_string_free(body, TRUE);
    return r;
}

static Result
judge(CURLcode code, const Try *t, long status, const GString *body)
{
    char want[2 * LINE_BYTES];
    if (code != CURLE_OK) {
        return t->sent ? RESULT_CUT : RESULT_UNSENT;
    }
    if (status == 408 || status == 421 || status == 429 || status == 503) {
        return RESULT_NOT_RUN;
    }
    if (status < 200 || status > 299) {
        return RESULT_FAILED;
    }
    if (t->large) {
        bool own = t->echoed && t->sealed && is_own(t->id, body);
        return own ? RESULT_OK : RESULT_WRONG;
    }
    snprintf(want, sizeof(want), "answer to %s %s %s\n",
             t->pay ? "POST" : "GET", t->path, t->pay ? t->id : "");
    bool whole = t->echoed && t->sealed && strcmp(body->str, want) == 0;
    return whole ? RESULT_OK : RESULT_WRONG;
}

/* A large answer is the id of its request again and again. */
static bool
is_own(const char *id, const GString *body)
{
    size_t width = strlen(id);
    for (size_t i = 0; i < body->len; i++) {
        if (body->str[i] != id[i % width]) {
            return false;
        }
    }
    return body->len == LARGE_BYTES;
}

/* Stays with a host that the directory still names, unless it failed. */
static void
choose_host(Caller *c, bool other)
{
    char last[CP_ADDR_BYTES];
    if (CpClock_Now_ns() >= c->hosts_until_ns) {
        look_up(c);
    }
    CpStr_Copy(last, sizeof(last), c->host);
    bool named = false;
    for (guint i = 0; i < c->hosts->len; i++) {
        named |= strcmp(c->hosts->pdata[i], c->host) == 0;
    }
    for (uint32_t k = 0; c->hosts->len > 0 && k < 4 && (other || !named);
         k++) {
        CpStr_Copy(c->host, sizeof(c->host),
                   c->hosts->pdata[draw(c) % c->hosts->len]);
        named = strcmp(c->host, last) != 0;
        other = !named;
    }
    if (c->host[0] == '\0') { /* no directory answers yet */
        CpStr_Copy(c->host, sizeof(c->host), "127.0.0.1:1");
    }
}

static bool
look_up(Caller *c)
{
    char url[LINE_BYTES];
    uint32_t n = g_strv_length(directories), from = (uint32_t)draw(c);
    for (uint32_t k = 0; k < MAX_LOOKUPS; k++) {
        GString *text = g_string_new(NULL);
        long status = 0;
        CURL *e = curl_easy_init();
        snprintf(url, sizeof(url),
                 "http://%s/resolve?name=a.example&region=x&zone=%s",
                 directories[(from + k) % n],
                 domains[c->index % G_N_ELEMENTS(domains)]);
        CpEasy_SetDefaults(e, url, LOOKUP_TIMEOUT_MS);
        CURLcode code = CpEasy_Perform(e, text, MAX_ANSWER_BYTES, &status);
        if (code == CURLE_OK && status == 200) {
            take_hosts(c, text);
        }
        curl_easy_cleanup(e);
        g_string_free(text, TRUE);
        if (CpClock_Now_ns() < c->hosts_until_ns) {
            return true;
        }
    }
    return false;
}

static void
take_hosts(Caller *c, const GString *text)
{
    json_t *root = json_loads(text->str, 0, NULL), *at;
    json_t *list = json_object_get(root, "addresses");
    gchar **part = g_strsplit(via != NULL ? via : "=", "=", 2);
    size_t i;
    if (json_array_size(list) > 0) {
        g_ptr_array_set_size(c->hosts, 0);
        c->hosts_until_ns =
            CpClock_Now_ns() +
            json_integer_value(json_object_get(root, "ttlS")) * CP_NS_PER_S;
    }
    json_array_foreach(list, i, at)
    {
        const char *a = json_string_value(at);
        bool moved = part[0][0] != '\0' && g_str_has_prefix(a, part[0]);
        g_ptr_array_add(c->hosts,
                        moved ? g_strconcat(part[1], a + strlen(part[0]), NULL)
                              : g_strdup(a));
    }
    g_strfreev(part);
    json_decref(root);
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    Try *t = ctx;
    char value[LINE_BYTES];
    (void)size;
    if (CpEasy_MatchHeader(data, n, "Chestnutpaddle-Attempt-Id", value,
                           sizeof(value))) {
        t->echoed = strcmp(value, t->id) == 0;
    }
    else if (CpEasy_MatchHeader(data, n, "Chestnutpaddle-Response-Seal", value,
                                sizeof(value))) {
        t->sealed = true;
    }
    else if (CpEasy_MatchHeader(data, n, "Retry-After", value,
                                sizeof(value))) {
        t->retry_after_ms = (uint32_t)(strtod(value, NULL) * 1000);
    }
    return n;
}

static uint64_t
draw(Caller *c)
{
    uint64_t key[2] = {c->random, ++c->random};
    return CpHash(key, sizeof(key), 7);
}
