/*
 * Stand-in of callers that check every byte. Arguments: options, then the
 * addresses of hosts. Each thread is a caller that keeps one connection to a
 * host. What it asks for depends on the seed; the body is a function of the
 * id. Each request is one line of output: ID KIND RESULT STATUS SIZE FRAMING.
 * A violation is a line of its own: "violation WHAT ID: " and what was
 * received.
 */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "http/easy.h"
#include "standin.h"

#define MAX_RESPONSE_BYTES (1024 * 1024)
#define PAY_PERCENT 30
#define SMALL_BYTES 16000 /* less than hosts stream */
#define LARGE_BYTES 100000
#define MAX_PAUSE_MS 20 /* between requests */
#define MAX_RETRY_AFTER_MS 1000
#define RETRY_AFTER "\r\nRetry-After: "
#define OBJECT_COUNT 40
#define SHOWN_BYTES 120 /* of a wrong body, from the first wrong byte on */
#define SEAL_PREFIX "seal-i-"
#define ID_BYTES 24
#define LINE_BYTES 160

typedef enum {
    RESULT_OK = 0,  /* 2xx */
    RESULT_NOT_RUN, /* a status that means that the request has not run */
    RESULT_FAILED,  /* any other status */
    RESULT_CUT,     /* sent, but the response is not complete */
    RESULT_MIXED,   /* the same, and has bytes of another body */
    RESULT_UNSENT,  /* failed before the first byte was sent */
    RESULT_COUNT
} Result;

typedef enum {
    WRONG_HEAD = 0, /* a line that neither server nor host sends, or twice */
    WRONG_ID,
    WRONG_SEAL,
    WRONG_BODY, /* of a response that looks complete */
    WRONG_FRAMING,
    WRONG_IDLE, /* bytes while no request waits */
    WRONG_COUNT
} Wrong;

typedef struct {
    uint32_t index;
    uint64_t drawn;
    const char *host_address;
    CURL *easy;
} Caller;

/* One request and what was received for it. */
typedef struct {
    char id[ID_BYTES];
    char path[LINE_BYTES];
    const char *framing; /* of the server's response */
    bool pay;
    uint64_t body_bytes; /* asked for; 0: a short text */
    bool sent;
    bool has_excess; /* bytes after the response */
    GString *head, *body;
} Request;

static const char *const result_names[RESULT_COUNT] = {
    [RESULT_OK] = "ok",         [RESULT_NOT_RUN] = "not-run",
    [RESULT_FAILED] = "failed", [RESULT_CUT] = "cut",
    [RESULT_MIXED] = "mixed",   [RESULT_UNSENT] = "unsent",
};
static const char *const wrong_names[WRONG_COUNT] = {
    [WRONG_HEAD] = "head", [WRONG_ID] = "id",           [WRONG_SEAL] = "seal",
    [WRONG_BODY] = "body", [WRONG_FRAMING] = "framing", [WRONG_IDLE] = "idle",
};
/* Headers that a response may have, at most once each. */
static const char *const known_headers[] = {
    "Chestnutpaddle-Attempt-Id",
    "Chestnutpaddle-Response-Seal",
    "Chestnutpaddle-Server-Load",
    "Chestnutpaddle-Reason",
    "Content-Length",
    "Content-Type",
    "Transfer-Encoding",
    "Connection",
    "Keep-Alive",
    "Date",
    "Retry-After",
};
static const char *const framings[] = {"length", "chunked", "close"};

static gint64 seed = 1;
static gint thread_count = 6, request_count = 40;
static gchar **hosts;
static pthread_mutex_t output_lock =
    PTHREAD_MUTEX_INITIALIZER; /* guards stdout */

static const GOptionEntry options[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "random seed", "N"},
    {"threads", 0, 0, G_OPTION_ARG_INT, &thread_count, "number of callers",
     "N"},
    {"requests", 0, 0, G_OPTION_ARG_INT, &request_count,
     "requests of each caller", "N"},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &hosts, "hosts",
     "ADDRESS..."},
    {0},
};

static void *run_caller(void *ctx);
static uint64_t retry_after_ms(const Request *q);
static void draw_request(Caller *c, Request *q);
static void send_request(Caller *c, Request *q);
static Result classify(const Request *q, CURLcode code, long status);
static void check_response(const Request *q, Result result, long status);
static void check_head(const Request *q, bool is_success);
static void check_body(const Request *q);
static size_t count_same(const Request *q);
static GString *expected_body(const Request *q);
static void check_idle(Caller *c, const Request *q);
static void report(const Request *q, Wrong what, const char *text, size_t n);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t n,
                    void *ctx);
static uint64_t draw(Caller *c, uint64_t count);

int
main(int argc, char **argv)
{
    CpStandin_ParseOptions(argc, argv, options, &hosts);
    Caller *callers = CpMem_Alloc((size_t)thread_count * sizeof(*callers));
    for (uint32_t i = 0; i < (uint32_t)thread_count; i++) {
        callers[i].index = i;
        callers[i].host_address = hosts[i % g_strv_length(hosts)];
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
    c->easy = curl_easy_init();
    for (int32_t i = 0; i < request_count; i++) {
        Request q = {.head = g_string_new(NULL), .body = g_string_new(NULL)};
        draw_request(c, &q);
        send_request(c, &q);
        CpStandin_Sleep_ms(draw(c, MAX_PAUSE_MS) + retry_after_ms(&q));
        check_idle(c, &q);
        g_string_free(q.head, TRUE);
        g_string_free(q.body, TRUE);
    }
    curl_easy_cleanup(c->easy);
    return NULL;
}

/* Returns for how long the host asks its caller to wait, within a bound. */
static uint64_t
retry_after_ms(const Request *q)
{
    const char *at = strcasestr(q->head->str, RETRY_AFTER);
    double seconds =
        at != NULL ? g_ascii_strtod(at + strlen(RETRY_AFTER), NULL) : 0;
    uint64_t ms = seconds > 0 ? (uint64_t)(seconds * 1000) : 0;
    return ms < MAX_RETRY_AFTER_MS ? ms : MAX_RETRY_AFTER_MS;
}

static void
draw_request(Caller *c, Request *q)
{
    snprintf(q->id, sizeof(q->id), "%016llx",
             (unsigned long long)draw(c, UINT64_MAX));
    q->pay = draw(c, 100) < PAY_PERCENT;
    q->framing = framings[draw(c, G_N_ELEMENTS(framings))];
    switch (draw(c, 3)) {
    case 0:
        q->body_bytes = 1 + draw(c, SMALL_BYTES);
        break;
    case 1:
        q->body_bytes = SMALL_BYTES + draw(c, LARGE_BYTES - SMALL_BYTES);
        break;
    default:
        break;
    }
    snprintf(q->path, sizeof(q->path), "/%s/%s", q->pay ? "pay3" : "get3",
             q->id);
}

static void
send_request(Caller *c, Request *q)
{
    char url[2 * LINE_BYTES];
    long status = 0;
    int64_t start_ns = CpClock_Now_ns();
    snprintf(url, sizeof(url), "http://%s%s?framing=%s&bytes=%llu",
             c->host_address, q->path, q->framing,
             (unsigned long long)q->body_bytes);
    struct curl_slist *headers = CpStandin_SetRequest(
        c->easy, url, q->id, draw(c, OBJECT_COUNT), &q->sent);
    CpEasy_SetReceivers(c->easy, on_header, on_body, q);
    curl_easy_setopt(c->easy, CURLOPT_DEBUGFUNCTION, on_debug);
    curl_easy_setopt(c->easy, CURLOPT_DEBUGDATA, q);
    curl_easy_setopt(c->easy, CURLOPT_VERBOSE, 1L);
    if (q->pay) {
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, q->id);
    }
    CURLcode code = curl_easy_perform(c->easy);
    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    Result result = classify(q, code, status);
    pthread_mutex_lock(&output_lock);
    printf("%s %s %s %ld %llu %s %lld\n", q->id, q->pay ? "pay" : "read",
           result_names[result], status, (unsigned long long)q->body_bytes,
           q->framing,
           (long long)((CpClock_Now_ns() - start_ns) / CP_NS_PER_MS));
    check_response(q, result, status);
    fflush(stdout);
    pthread_mutex_unlock(&output_lock);
    curl_slist_free_all(headers);
}

static Result
classify(const Request *q, CURLcode code, long status)
{
    bool is_head_whole = g_str_has_suffix(q->head->str, "\r\n\r\n");
    if (!q->sent) {
        return RESULT_UNSENT;
    }
    if (code != CURLE_OK || !is_head_whole) {
        bool is_mixed =
            status >= 200 && status <= 299 && count_same(q) < q->body->len;
        return is_mixed ? RESULT_MIXED : RESULT_CUT;
    }
    if (status >= 200 && status <= 299) {
        return RESULT_OK;
    }
    return status == 408 || status == 421 || status == 429 || status == 503
               ? RESULT_NOT_RUN
               : RESULT_FAILED;
}

static void
check_response(const Request *q, Result result, long status)
{
    bool is_success = status >= 200 && status <= 299;
    if (result == RESULT_UNSENT || q->head->len == 0) {
        return;
    }
    check_head(q, is_success);
    if (result == RESULT_OK) {
        check_body(q);
    }
    if (q->has_excess) {
        report(q, WRONG_IDLE, q->head->str, q->head->len);
    }
}

/* Checks that the lines of a head are of one response, and the right one. */
static void
check_head(const Request *q, bool is_success)
{
    char **lines = g_strsplit(q->head->str, "\r\n", -1);
    uint32_t seen[G_N_ELEMENTS(known_headers)] = {0};
    const char *id = "", *seal = "";
    bool ok = g_str_has_prefix(lines[0], "HTTP/1.1 ") &&
              strstr(lines[0] + 1, "HTTP/") == NULL;
    for (uint32_t i = 1; lines[i] != NULL && lines[i][0] != '\0'; i++) {
        char **fields = g_strsplit(lines[i], ": ", 2);
        uint32_t k = 0;
        while (k < G_N_ELEMENTS(known_headers) &&
               strcasecmp(fields[0], known_headers[k]) != 0) {
            k++;
        }
        bool is_known = k < G_N_ELEMENTS(known_headers);
        if (is_known) {
            seen[k]++;
        }
        ok = ok && is_known && seen[k] == 1 && fields[1] != NULL &&
             strstr(lines[i], "HTTP/") == NULL;
        if (k < 2 && fields[1] != NULL) {
            *(k == 0 ? &id : &seal) = lines[i] + strlen(fields[0]) + 2;
        }
        g_strfreev(fields);
    }
    if (!ok) {
        report(q, WRONG_HEAD, q->head->str, q->head->len);
    }
    if (seen[0] != 1 || strcmp(id, q->id) != 0) {
        report(q, WRONG_ID, q->head->str, q->head->len);
    }
    if (is_success &&
        (seen[1] != 1 || strlen(seal) != 8 ||
         !g_str_has_prefix(seal, SEAL_PREFIX) || !g_ascii_isdigit(seal[7]))) {
        report(q, WRONG_SEAL, q->head->str, q->head->len);
    }
    if (strcasestr(q->head->str, "\r\nContent-Length: ") == NULL &&
        strcasestr(q->head->str, "\r\nTransfer-Encoding: chunked\r\n") ==
            NULL) {
        report(q, WRONG_FRAMING, q->head->str, q->head->len);
    }
    g_strfreev(lines);
}

static void
check_body(const Request *q)
{
    GString *expected = expected_body(q);
    size_t same = count_same(q);
    if (same < q->body->len || same < expected->len) {
        char text[SHOWN_BYTES + LINE_BYTES];
        size_t shown = q->body->len - same < SHOWN_BYTES ? q->body->len - same
                                                         : SHOWN_BYTES;
        int32_t n =
            snprintf(text, sizeof(text), "%zu of %zu bytes, %zu same, ",
                     q->body->len, expected->len, same);
        memcpy(text + n, q->body->str + same, shown);
        report(q, WRONG_BODY, text, (size_t)n + shown);
    }
    g_string_free(expected, TRUE);
}

/* Returns the number of bytes received before the first wrong one. */
static size_t
count_same(const Request *q)
{
    GString *expected = expected_body(q);
    size_t same = 0;
    while (same < q->body->len && same < expected->len &&
           q->body->str[same] == expected->str[same]) {
        same++;
    }
    g_string_free(expected, TRUE);
    return same;
}

static GString *
expected_body(const Request *q)
{
    GString *s = g_string_new(NULL);
    if (q->body_bytes == 0) {
        g_string_printf(s, "answer to %s %s %s\n", q->pay ? "POST" : "GET",
                        q->path, q->pay ? q->id : "");
    }
    for (uint64_t i = 0; i < q->body_bytes; i++) {
        g_string_append_c(s, q->id[i % strlen(q->id)]);
    }
    return s;
}

/* Nothing may arrive while no request waits. */
static void
check_idle(Caller *c, const Request *q)
{
    curl_socket_t fd = CURL_SOCKET_BAD;
    char data[SHOWN_BYTES];
    curl_easy_getinfo(c->easy, CURLINFO_ACTIVESOCKET, &fd);
    ssize_t n = fd == CURL_SOCKET_BAD
                    ? 0
                    : recv(fd, data, sizeof(data), MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        pthread_mutex_lock(&output_lock);
        report(q, WRONG_IDLE, data, (size_t)n);
        fflush(stdout);
        pthread_mutex_unlock(&output_lock);
    }
}

static void
report(const Request *q, Wrong what, const char *text, size_t n)
{
    char *copy = g_strndup(text, n);
    char *escaped = g_strescape(copy, NULL);
    printf("violation %s %s: %s\n", wrong_names[what], q->id, escaped);
    g_free(escaped);
    g_free(copy);
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    Request *q = ctx;
    g_string_append_len(q->head, data, (gssize)(size * n));
    return size * n;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    Request *q = ctx;
    if (q->body->len + size * n > MAX_RESPONSE_BYTES) {
        return 0;
    }
    g_string_append_len(q->body, data, (gssize)(size * n));
    return size * n;
}

/* The library tells of bytes after a response only in its trace. */
static int
on_debug(CURL *easy, curl_infotype type, char *data, size_t n, void *ctx)
{
    Request *q = ctx;
    (void)easy;
    if (type == CURLINFO_TEXT &&
        (g_strstr_len(data, (gssize)n, "Excess found") != NULL ||
         g_strstr_len(data, (gssize)n, "Leftovers after chunking") != NULL)) {
        q->has_excess = true;
    }
    return 0;
}

static uint64_t
draw(Caller *c, uint64_t count)
{
    uint64_t key[3] = {(uint64_t)seed, c->index, ++c->drawn};
    return CpHash(key, sizeof(key), 7) % count;
}
