/*
 * Stand-in of callers that use the platform's protocol. Arguments: options,
 * then the addresses of directories. Each thread is a caller: it looks up its
 * hosts at a directory, keeps one connection, sends requests at a steady rate,
 * and retries a request once where that is safe. Each attempt is one line of
 * output: ID KIND RESULT STATUS MILLISECONDS HOST END, the last being the wall
 * clock in ms. Kinds are pay, read and large, a read with a streamed response.
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
#define MAX_RESPONSE_BYTES 65536
#define MAX_LOOKUPS 3 /* directories tried in a row */
#define OBJECT_COUNT 40
#define PAY_PERCENT 40   /* of all requests */
#define LARGE_PERCENT 15 /* of the reads */
#define LARGE_BYTES 50000
#define LARGE_DURATION_MS 60
#define ID_BYTES 48
#define LINE_BYTES 160

typedef enum {
    RESULT_OK = 0,
    RESULT_WRONG,   /* 2xx, but not the complete response to this attempt */
    RESULT_NOT_RUN, /* a status that means that the request has not run */
    RESULT_FAILED,  /* any other status */
    RESULT_CUT,     /* sent, but no complete response received */
    RESULT_UNSENT,  /* failed before the first byte was sent */
    RESULT_COUNT
} Result;

typedef struct {
    uint32_t index;
    uint64_t random_state;
    CURL *easy;
    GPtrArray *host_addresses; /* from the last lookup */
    int64_t hosts_expire_ns;
    char host_address[CP_ADDR_BYTES]; /* of the host in use */
    uint32_t attempt_count;
} Caller;

/* One attempt of a request. */
typedef struct {
    char id[ID_BYTES];
    bool pay;
    bool large;
    uint32_t object;
    char path[LINE_BYTES];
    bool id_echoed; /* the response has this attempt's id */
    bool sealed;    /* the response has a seal */
    bool sent;      /* sending has begun */
    uint32_t retry_after_ms;
} Attempt;

static const char *const result_names[RESULT_COUNT] = {
    [RESULT_OK] = "ok",           [RESULT_WRONG] = "wrong",
    [RESULT_NOT_RUN] = "not-run", [RESULT_FAILED] = "failed",
    [RESULT_CUT] = "cut",         [RESULT_UNSENT] = "unsent",
};

static gint64 seed = 1;
static gint duration_s = 5, thread_count = 6, rate_per_s = 20;
/* FROM=TO: TO replaces the prefix FROM of host addresses. */
static gchar *proxied_prefix;
static gchar **directories;
static pthread_mutex_t output_lock =
    PTHREAD_MUTEX_INITIALIZER; /* guards stdout */

static const GOptionEntry options[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "random seed", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &duration_s, "duration of the load",
     "S"},
    {"threads", 0, 0, G_OPTION_ARG_INT, &thread_count, "number of callers",
     "N"},
    {"rate", 0, 0, G_OPTION_ARG_INT, &rate_per_s, "requests/s per caller",
     "N"},
    {"via", 0, 0, G_OPTION_ARG_STRING, &proxied_prefix,
     "replaces the prefix of host addresses", "FROM=TO"},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &directories,
     "directories", "ADDRESS..."},
    {0},
};
static const char *const client_domains[] = {"na", "nb", "wa"};

static void *run_caller(void *ctx);
static void run_request(Caller *c);
static Result send_attempt(Caller *c, Attempt *a);
static Result check_response(CURLcode code, const Attempt *a, long status,
                             const GString *body);
static bool is_expected_large_body(const char *id, const GString *body);
static void choose_host(Caller *c, bool must_change);
static bool lookup_hosts(Caller *c);
static void update_hosts(Caller *c, const GString *text);
static void read_headers(CURL *easy, Attempt *a);
static const char *find_header(CURL *easy, const char *name);
static uint64_t next_random(Caller *c);

int
main(int argc, char **argv)
{
    CpStandin_ParseOptions(argc, argv, options, &directories);
    Caller *callers = CpMem_Alloc((size_t)thread_count * sizeof(*callers));
    for (uint32_t i = 0; i < (uint32_t)thread_count; i++) {
        callers[i].index = i;
        callers[i].random_state = (uint64_t)seed * 1000 + i;
    }
    CpStandin_RunCallers(run_caller, callers, sizeof(*callers),
                         (uint32_t)thread_count);
    free(callers);
    return 0;
}

static void *
run_caller(void *ctx)
{
    Caller *c = ctx;
    int64_t start_ns = CpClock_Now_ns(), due_ns = start_ns;
    int64_t end_ns = start_ns + duration_s * CP_NS_PER_S;
    c->easy = curl_easy_init();
    c->host_addresses = g_ptr_array_new_with_free_func(g_free);
    while (due_ns < end_ns) {
        int64_t now_ns = CpClock_Now_ns();
        if (now_ns < due_ns) {
            CpStandin_Sleep_ms((uint64_t)((due_ns - now_ns) / CP_NS_PER_MS));
        }
        run_request(c);
        /* After a slow response, overdue requests are not sent in a burst. */
        now_ns = CpClock_Now_ns();
        due_ns += CP_NS_PER_S / rate_per_s;
        due_ns = due_ns > now_ns ? due_ns : now_ns;
    }
    curl_easy_cleanup(c->easy);
    g_ptr_array_free(c->host_addresses, TRUE);
    return NULL;
}

/* Sends a request and retries it once, with a new id and on another host:
 * always if it has not run, and reads also after other failures. */
static void
run_request(Caller *c)
{
    bool pay = next_random(c) % 100 < PAY_PERCENT;
    bool large = !pay && next_random(c) % 100 < LARGE_PERCENT;
    uint32_t object = (uint32_t)(next_random(c) % OBJECT_COUNT);
    for (uint32_t k = 0; k < 2; k++) {
        Attempt a = {.pay = pay, .large = large, .object = object};
        snprintf(a.id, sizeof(a.id), "%lld-%u-%u", (long long)seed, c->index,
                 c->attempt_count++);
        snprintf(a.path, sizeof(a.path), "/%s/%u", pay ? "pay" : "read",
                 object);
        if (large) {
            snprintf(a.path, sizeof(a.path), "/read/%u?bytes=%d&over_ms=%d",
                     object, LARGE_BYTES, LARGE_DURATION_MS);
        }
        choose_host(c, k > 0);
        Result r = send_attempt(c, &a);
        bool may_retry = r == RESULT_NOT_RUN || r == RESULT_UNSENT ||
                         (!pay && r != RESULT_OK && r != RESULT_WRONG);
        if (!may_retry) {
            return;
        }
        uint32_t wait_ms = a.retry_after_ms < CP_STANDIN_TIMEOUT_MS / 3
                               ? a.retry_after_ms
                               : CP_STANDIN_TIMEOUT_MS / 3;
        CpStandin_Sleep_ms(wait_ms);
    }
}

static Result
send_attempt(Caller *c, Attempt *a)
{
    char url[2 * LINE_BYTES];
    GString *body = g_string_new(NULL);
    long status = 0;
    int64_t start_ns = CpClock_Now_ns();
    snprintf(url, sizeof(url), "http://%s%s", c->host_address, a->path);
    struct curl_slist *headers =
        CpStandin_SetRequest(c->easy, url, a->id, a->object, &a->sent);
    if (a->pay) {
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, a->id);
    }
    CURLcode code = CpEasy_Perform(c->easy, body, MAX_RESPONSE_BYTES, &status);
    read_headers(c->easy, a);
    Result r = check_response(code, a, status, body);
    pthread_mutex_lock(&output_lock);
    printf("%s %s %s %ld %lld %s %lld\n", a->id,
           a->pay     ? "pay"
           : a->large ? "large"
                      : "read",
           result_names[r], status,
           (long long)((CpClock_Now_ns() - start_ns) / CP_NS_PER_MS),
           c->host_address, (long long)(g_get_real_time() / 1000));
    fflush(stdout);
    pthread_mutex_unlock(&output_lock);
    curl_slist_free_all(headers);
    g_string_free(body, TRUE);
    return r;
}

static Result
check_response(CURLcode code, const Attempt *a, long status,
               const GString *body)
{
    char expected[2 * LINE_BYTES];
    if (code != CURLE_OK) {
        return a->sent ? RESULT_CUT : RESULT_UNSENT;
    }
    if (status == 408 || status == 421 || status == 429 || status == 503) {
        return RESULT_NOT_RUN;
    }
    if (status < 200 || status > 299) {
        return RESULT_FAILED;
    }
    if (a->large) {
        bool is_complete =
            a->id_echoed && a->sealed && is_expected_large_body(a->id, body);
        return is_complete ? RESULT_OK : RESULT_WRONG;
    }
    snprintf(expected, sizeof(expected), "answer to %s %s %s\n",
             a->pay ? "POST" : "GET", a->path, a->pay ? a->id : "");
    bool is_complete =
        a->id_echoed && a->sealed && strcmp(body->str, expected) == 0;
    return is_complete ? RESULT_OK : RESULT_WRONG;
}

/* The body of a large response is the attempt's id, repeated. */
static bool
is_expected_large_body(const char *id, const GString *body)
{
    size_t id_bytes = strlen(id);
    for (size_t i = 0; i < body->len; i++) {
        if (body->str[i] != id[i % id_bytes]) {
            return false;
        }
    }
    return body->len == LARGE_BYTES;
}

/* Keeps the host in use while the directory lists it and must_change is false;
 * otherwise draws another one at random, in at most 4 draws. */
static void
choose_host(Caller *c, bool must_change)
{
    char previous[CP_ADDR_BYTES];
    if (CpClock_Now_ns() >= c->hosts_expire_ns) {
        lookup_hosts(c);
    }
    CpStr_Copy(previous, sizeof(previous), c->host_address);
    bool is_usable = false;
    for (guint i = 0; i < c->host_addresses->len; i++) {
        is_usable |= strcmp(c->host_addresses->pdata[i], c->host_address) == 0;
    }
    for (uint32_t k = 0;
         c->host_addresses->len > 0 && k < 4 && (must_change || !is_usable);
         k++) {
        CpStr_Copy(
            c->host_address, sizeof(c->host_address),
            c->host_addresses->pdata[next_random(c) % c->host_addresses->len]);
        is_usable = strcmp(c->host_address, previous) != 0;
        must_change = !is_usable;
    }
    if (c->host_address[0] == '\0') { /* no lookup has succeeded yet */
        CpStr_Copy(c->host_address, sizeof(c->host_address), "127.0.0.1:1");
    }
}

/* Looks up the hosts at up to MAX_LOOKUPS directories, from a random one on;
 * returns whether the list of hosts is valid. */
static bool
lookup_hosts(Caller *c)
{
    char url[LINE_BYTES];
    uint32_t n = g_strv_length(directories), first = (uint32_t)next_random(c);
    for (uint32_t k = 0; k < MAX_LOOKUPS; k++) {
        GString *text = g_string_new(NULL);
        long status = 0;
        CURL *e = curl_easy_init();
        snprintf(url, sizeof(url),
                 "http://%s/resolve?name=a.example&region=x&zone=%s",
                 directories[(first + k) % n],
                 client_domains[c->index % G_N_ELEMENTS(client_domains)]);
        CpEasy_SetDefaults(e, url, LOOKUP_TIMEOUT_MS);
        CURLcode code = CpEasy_Perform(e, text, MAX_RESPONSE_BYTES, &status);
        if (code == CURLE_OK && status == 200) {
            update_hosts(c, text);
        }
        curl_easy_cleanup(e);
        g_string_free(text, TRUE);
        if (CpClock_Now_ns() < c->hosts_expire_ns) {
            return true;
        }
    }
    return false;
}

/* Replaces the list of hosts unless the response lists none. */
static void
update_hosts(Caller *c, const GString *text)
{
    json_t *root = json_loads(text->str, 0, NULL), *item;
    json_t *addresses = json_object_get(root, "addresses");
    gchar **prefixes =
        g_strsplit(proxied_prefix != NULL ? proxied_prefix : "=", "=", 2);
    size_t i;
    if (json_array_size(addresses) > 0) {
        g_ptr_array_set_size(c->host_addresses, 0);
        c->hosts_expire_ns =
            CpClock_Now_ns() +
            json_integer_value(json_object_get(root, "ttlS")) * CP_NS_PER_S;
    }
    json_array_foreach(addresses, i, item)
    {
        const char *address = json_string_value(item);
        bool is_proxied =
            prefixes[0][0] != '\0' && g_str_has_prefix(address, prefixes[0]);
        g_ptr_array_add(
            c->host_addresses,
            is_proxied
                ? g_strconcat(prefixes[1], address + strlen(prefixes[0]), NULL)
                : g_strdup(address));
    }
    g_strfreev(prefixes);
    json_decref(root);
}

static void
read_headers(CURL *easy, Attempt *a)
{
    const char *id = find_header(easy, "Chestnutpaddle-Attempt-Id");
    const char *retry_after = find_header(easy, "Retry-After");
    a->id_echoed = id != NULL && strcmp(id, a->id) == 0;
    a->sealed = find_header(easy, "Chestnutpaddle-Response-Seal") != NULL;
    if (retry_after != NULL) {
        a->retry_after_ms = (uint32_t)(strtod(retry_after, NULL) * 1000);
    }
}

/* Returns the value of a header of the last response, or NULL. */
static const char *
find_header(CURL *easy, const char *name)
{
    struct curl_header *h;
    return curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &h) == CURLHE_OK
               ? h->value
               : NULL;
}

static uint64_t
next_random(Caller *c)
{
    uint64_t key[2] = {c->random_state, ++c->random_state};
    return CpHash(key, sizeof(key), 7);
}
