/*
 * HTTP adapter. Rows: POST /table/read {"keys":[..]} and POST /table/commit
 * {"rows":[{"key","value","version"}]}; objects: GET and PUT /objects/NAME.
 */
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

#define URL_BYTES 512

typedef struct {
    CpPlatform callbacks; /* first: what the caller holds */
    char url[URL_BYTES];
    uint32_t timeout_ms;
    pthread_mutex_t lock;
    CURL *easy;
} Http;

typedef struct {
    char *data;
    size_t size_bytes;
} Buffer;

static CpStatus http_read(void *ctx, CpRow *rows, uint32_t count);
static CpStatus http_commit(void *ctx, const CpRow *rows, uint32_t count);
static CpStatus http_get(void *ctx, const char *name, char **data,
                         size_t *size_bytes);
static CpStatus http_put(void *ctx, const char *name, const char *data,
                         size_t size_bytes);
static CpStatus call(Http *h, const char *method, const char *path,
                     const char *body, size_t body_bytes, Buffer *out,
                     long *status);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);
static CpStatus parse_rows(const Buffer *b, CpRow *rows, uint32_t count);

CpPlatform *
CpPlatform_NewHttp(const char *url, uint32_t timeout_ms)
{
    Http *h = CpMem_Alloc(sizeof(*h));
    CpStr_Copy(h->url, sizeof(h->url), url);
    h->timeout_ms = timeout_ms;
    h->easy = curl_easy_init();
    pthread_mutex_init(&h->lock, NULL);
    h->callbacks = (CpPlatform){.read = http_read,
                                .commit = http_commit,
                                .get = http_get,
                                .put = http_put,
                                .ctx = h};
    return &h->callbacks;
}

void
CpPlatform_FreeHttp(CpPlatform *p)
{
    Http *h = p->ctx;
    curl_easy_cleanup(h->easy);
    pthread_mutex_destroy(&h->lock);
    free(h);
}

static CpStatus
http_read(void *ctx, CpRow *rows, uint32_t count)
{
    Buffer out = {0};
    long status;
    json_t *keys = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(keys, json_string(rows[i].key));
    }
    json_t *ask = json_pack("{s:o}", "keys", keys);
    char *body = json_dumps(ask, JSON_COMPACT);
    json_decref(ask);
    CpCounter_Add(CP_COUNT_PLATFORM_READS, 1);
    CpStatus st =
        call(ctx, "POST", "/table/read", body, strlen(body), &out, &status);
    free(body);
    if (st == CP_ERR_UNKNOWN_EFFECT) {
        st = CP_ERR_UNAVAILABLE;
    }
    if (st == CP_OK && status != 200) {
        st = CpError_Set(CP_ERR_UNAVAILABLE, "platform: status %ld", status);
    }
    if (st == CP_OK) {
        st = parse_rows(&out, rows, count);
    }
    free(out.data);
    return st;
}

static CpStatus
http_commit(void *ctx, const CpRow *rows, uint32_t count)
{
    Buffer out = {0};
    long status;
    json_t *list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:I}", "key", rows[i].key,
                                        "value", rows[i].value, "version",
                                        (json_int_t)rows[i].version));
    }
    json_t *ask = json_pack("{s:o}", "rows", list);
    char *body = json_dumps(ask, JSON_COMPACT);
    json_decref(ask);
    CpStatus st =
        call(ctx, "POST", "/table/commit", body, strlen(body), &out, &status);
    free(body);
    free(out.data);
    if (st != CP_OK) {
        return st;
    }
    if (status == 409) {
        return CpError_Set(CP_ERR_CONFLICT, "platform: a row has changed");
    }
    if (status != 200) {
        return CpError_Set(CP_ERR_UNKNOWN_EFFECT, "platform: status %ld",
                           status);
    }
    return CP_OK;
}

static CpStatus
http_get(void *ctx, const char *name, char **data, size_t *size_bytes)
{
    char path[URL_BYTES];
    Buffer out = {0};
    long status;
    snprintf(path, sizeof(path), "/objects/%s", name);
    CpCounter_Add(CP_COUNT_PLATFORM_READS, 1);
    CpStatus st = call(ctx, "GET", path, NULL, 0, &out, &status);
    if (st == CP_ERR_UNKNOWN_EFFECT) {
        st = CP_ERR_UNAVAILABLE;
    }
    if (st == CP_OK && status != 200) {
        st = CpError_Set(status == 404 ? CP_ERR_NOT_FOUND : CP_ERR_UNAVAILABLE,
                         "platform: object %s: status %ld", name, status);
    }
    if (st != CP_OK) {
        free(out.data);
        return st;
    }
    *data = out.data != NULL ? out.data : CpMem_Dup("");
    *size_bytes = out.size_bytes;
    return CP_OK;
}

static CpStatus
http_put(void *ctx, const char *name, const char *data, size_t size_bytes)
{
    char path[URL_BYTES];
    Buffer out = {0};
    long status;
    snprintf(path, sizeof(path), "/objects/%s", name);
    CpStatus st = call(ctx, "PUT", path, data, size_bytes, &out, &status);
    free(out.data);
    if (st == CP_OK && status != 200) {
        st =
            CpError_Set(CP_ERR_UNKNOWN_EFFECT, "platform: status %ld", status);
    }
    return st;
}

/* One call. CP_ERR_UNAVAILABLE if it cannot have had an effect. */
static CpStatus
call(Http *h, const char *method, const char *path, const char *body,
     size_t body_bytes, Buffer *out, long *status)
{
    char url[2 * URL_BYTES];
    snprintf(url, sizeof(url), "%s%s", h->url, path);
    pthread_mutex_lock(&h->lock);
    CURL *e = h->easy;
    curl_easy_reset(e);
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)h->timeout_ms);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
    if (body != NULL) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)body_bytes);
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(e);
    curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, status);
    pthread_mutex_unlock(&h->lock);
    if (code == CURLE_OK) {
        return CP_OK;
    }
    CpCounter_Add(CP_COUNT_PLATFORM_ERRORS, 1);
    return CpError_Set(code == CURLE_COULDNT_CONNECT ? CP_ERR_UNAVAILABLE
                                                     : CP_ERR_UNKNOWN_EFFECT,
                       "platform: %s", curl_easy_strerror(code));
}

static size_t
on_data(char *data, size_t size, size_t n, void *ctx)
{
    Buffer *b = ctx;
    n *= size;
    b->data = CpMem_Realloc(b->data, b->size_bytes + n + 1);
    memcpy(b->data + b->size_bytes, data, n);
    b->size_bytes += n;
    b->data[b->size_bytes] = '\0';
    return n;
}

static CpStatus
parse_rows(const Buffer *b, CpRow *rows, uint32_t count)
{
    json_error_t err;
    json_t *root = json_loadb(b->data ? b->data : "", b->size_bytes, 0, &err);
    json_t *list = json_object_get(root, "rows");
    CpStatus st = CP_OK;
    if (json_array_size(list) != count) {
        st = CpError_Set(CP_ERR_PARSE, "platform: malformed rows");
    }
    for (uint32_t i = 0; st == CP_OK && i < count; i++) {
        json_t *row = json_array_get(list, i);
        const char *value = json_string_value(json_object_get(row, "value"));
        rows[i].version =
            (uint64_t)json_integer_value(json_object_get(row, "version"));
        CpStr_Copy(rows[i].value, sizeof(rows[i].value), value ? value : "");
    }
    json_decref(root);
    return st;
}
