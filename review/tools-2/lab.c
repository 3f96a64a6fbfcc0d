#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define STORE_IP "127.31.0.1"
#define STORE_PORT 7900

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double begin_s;

static double
clock_s(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

__attribute__((constructor)) static void
init(void)
{
    const char *path = getenv("RECORD");
    signal(SIGPIPE, SIG_IGN);
    begin_s = clock_s();
    record_file = fopen(path != NULL ? path : "/dev/null", "w");
    srandom((unsigned)time(NULL) ^ (unsigned)getpid());
}

double
lab_now(void)
{
    return clock_s() - begin_s;
}

void
lab_sleep(double seconds)
{
    struct timespec ts = {(time_t)seconds,
                          (long)((seconds - (double)(time_t)seconds) * 1e9)};
    nanosleep(&ts, NULL);
}

void
lab_record(const char *fmt, ...)
{
    va_list ap;
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%9.4f ", lab_now());
    va_start(ap, fmt);
    vfprintf(record_file, fmt, ap);
    va_end(ap);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

bool
lab_trouble(void)
{
    const char *t = getenv("TROUBLE");
    return t == NULL || strcmp(t, "0") != 0;
}

typedef struct {
    void (*run)(void *ctx);
    void *ctx;
} Start;

static void *
run_thread(void *p)
{
    Start s = *(Start *)p;
    free(p);
    s.run(s.ctx);
    return NULL;
}

void
lab_start(void (*run)(void *ctx), void *ctx)
{
    pthread_t t;
    pthread_attr_t a;
    Start *s = malloc(sizeof(*s));
    *s = (Start){run, ctx};
    pthread_attr_init(&a);
    pthread_attr_setstacksize(&a, 256 * 1024);
    pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&t, &a, run_thread, s) != 0) {
        fprintf(stderr, "lab: no thread\n");
        exit(2);
    }
}

uint32_t
lab_random(uint32_t n)
{
    return (uint32_t)random() % n;
}

int
lab_connect(const char *source_ip, const char *ip, int port, int timeout_ms)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    struct sockaddr_in sa = {.sin_family = AF_INET};
    struct timeval tv = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
    if (source_ip != NULL) {
        inet_pton(AF_INET, source_ip, &sa.sin_addr);
        if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
            close(fd);
            return -1;
        }
    }
    sa.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &sa.sin_addr);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
lab_reset(int fd)
{
    struct linger l = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    close(fd);
}

void
lab_fin(int fd)
{
    char drop[4096];
    struct timeval tv = {5, 0};
    shutdown(fd, SHUT_WR);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    while (recv(fd, drop, sizeof(drop), 0) > 0) {
    }
    close(fd);
}

bool
lab_send(int fd, const void *data, size_t n)
{
    const char *at = data;
    while (n > 0) {
        ssize_t k = send(fd, at, n, MSG_NOSIGNAL);
        if (k < 0 && errno == EINTR) {
            continue;
        }
        if (k <= 0) {
            return false;
        }
        at += k;
        n -= (size_t)k;
    }
    return true;
}

bool
lab_read_head(LabConn *c, LabHead *out)
{
    char *end;
    for (;;) {
        end = memmem(c->data, c->used, "\r\n\r\n", 4);
        if (end != NULL || c->used == sizeof(c->data)) {
            break;
        }
        ssize_t n =
            recv(c->fd, c->data + c->used, sizeof(c->data) - c->used, 0);
        if (n <= 0) {
            return false;
        }
        c->used += (size_t)n;
    }
    if (end == NULL) {
        return false;
    }
    size_t n = (size_t)(end - c->data) + 4;
    *out = (LabHead){0};
    memcpy(out->text, c->data, n - 2);
    memmove(c->data, c->data + n, c->used - n);
    c->used -= n;
    if (strncmp(out->text, "HTTP/1.", 7) == 0) {
        out->status = atoi(out->text + 9);
    }
    else if (sscanf(out->text, "%15s %511s", out->method, out->path) != 2) {
        return false;
    }
    return true;
}

ssize_t
lab_read_some(LabConn *c, void *out, size_t n)
{
    if (c->used > 0) {
        size_t k = c->used < n ? c->used : n;
        memcpy(out, c->data, k);
        memmove(c->data, c->data + k, c->used - k);
        c->used -= k;
        return (ssize_t)k;
    }
    return recv(c->fd, out, n, 0);
}

bool
lab_read(LabConn *c, void *out, size_t n)
{
    char *at = out;
    while (n > 0) {
        ssize_t k = lab_read_some(c, at, n);
        if (k <= 0) {
            return false;
        }
        at += k;
        n -= (size_t)k;
    }
    return true;
}

bool
lab_header(const LabHead *h, const char *name, char *out, size_t n)
{
    size_t name_bytes = strlen(name);
    for (const char *line = strstr(h->text, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, name_bytes) == 0 &&
            line[name_bytes] == ':') {
            const char *v = line + name_bytes + 1;
            v += strspn(v, " ");
            size_t k = strcspn(v, "\r");
            k = k < n - 1 ? k : n - 1;
            memcpy(out, v, k);
            out[k] = '\0';
            return true;
        }
    }
    return false;
}

static bool
keep(LabConn *c, size_t n, char *out, size_t max, size_t *at)
{
    char drop[16384];
    while (n > 0) {
        ssize_t k =
            lab_read_some(c, drop, n < sizeof(drop) ? n : sizeof(drop));
        if (k <= 0) {
            return false;
        }
        for (ssize_t i = 0; i < k; i++, (*at)++) {
            if (*at < max) {
                out[*at] = drop[i];
            }
        }
        n -= (size_t)k;
    }
    return true;
}

ssize_t
lab_read_body(LabConn *c, const LabHead *h, char *out, size_t max)
{
    char value[64];
    size_t at = 0;
    if (lab_header(h, "Transfer-Encoding", value, sizeof(value))) {
        for (;;) {
            char line[64];
            size_t k = 0;
            do {
                if (k == sizeof(line) - 1 || !lab_read(c, line + k, 1)) {
                    return -1;
                }
            } while (line[k++] != '\n');
            line[k] = '\0';
            size_t n = strtoul(line, NULL, 16);
            if (!keep(c, n, out, max, &at) || !lab_read(c, line, 2)) {
                return -1;
            }
            if (n == 0) {
                return (ssize_t)at;
            }
        }
    }
    size_t n = lab_header(h, "Content-Length", value, sizeof(value))
                   ? strtoul(value, NULL, 10)
                   : 0;
    return keep(c, n, out, max, &at) ? (ssize_t)at : -1;
}

void
lab_fill(const char *id, char *out, size_t n)
{
    char unit[128];
    size_t k = (size_t)snprintf(unit, sizeof(unit), "answer to %s\n", id);
    for (size_t i = 0; i < n; i++) {
        out[i] = unit[i % k];
    }
}

typedef struct {
    LabServer *server;
    int fd;
} Accepted;

static void
run_connection(void *ctx)
{
    Accepted a = *(Accepted *)ctx;
    LabConn *c = calloc(1, sizeof(*c));
    LabHead *h = calloc(1, sizeof(*h));
    char target[128];
    free(ctx);
    c->fd = a.fd;
    while (lab_read_head(c, h)) {
        if (strcmp(h->path, "/health") == 0) {
            char text[256];
            int n = snprintf(text, sizeof(text),
                             "HTTP/1.1 200 OK\r\nChestnutpaddle-Instance-Id: "
                             "%s\r\nContent-Length: 0\r\n\r\n",
                             a.server->instance);
            lab_send(c->fd, text, (size_t)n);
            continue;
        }
        if (lab_header(h, "Chestnutpaddle-Target-Instance", target,
                       sizeof(target)) &&
            strcmp(target, a.server->instance) != 0) {
            static const char misdirected[] =
                "HTTP/1.1 421 Misdirected Request\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n";
            lab_send(c->fd, misdirected, sizeof(misdirected) - 1);
            break;
        }
        if (!a.server->handle(a.server, c, h)) {
            break;
        }
    }
    if (c->fd >= 0) {
        close(c->fd);
    }
    free(h);
    free(c);
}

static void
run_accept(void *ctx)
{
    LabServer *s = ctx;
    int listener = s->fd;
    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC), one = 1;
        if (fd < 0) {
            return;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        Accepted *a = malloc(sizeof(*a));
        *a = (Accepted){s, fd};
        lab_start(run_connection, a);
    }
}

void
lab_serve(LabServer *s)
{
    struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(8000)};
    int one = 1;
    s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    inet_pton(AF_INET, s->ip, &sa.sin_addr);
    if (bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(s->fd, 512) != 0) {
        fprintf(stderr, "lab: %s: %s\n", s->ip, strerror(errno));
        exit(2);
    }
    lab_start(run_accept, s);
}

void
lab_listen_off(LabServer *s)
{
    shutdown(s->fd, SHUT_RDWR);
    close(s->fd);
}

static int
call(const char *ip, int port, const char *text, size_t n)
{
    LabConn *c = calloc(1, sizeof(*c));
    LabHead *h = calloc(1, sizeof(*h));
    int status = 0;
    c->fd = lab_connect(NULL, ip, port, 2000);
    if (c->fd >= 0 && lab_send(c->fd, text, n) && lab_read_head(c, h)) {
        status = h->status;
    }
    if (c->fd >= 0) {
        close(c->fd);
    }
    free(h);
    free(c);
    return status;
}

static char *
base64(const char *text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";
    size_t n = strlen(text), k = 0;
    char *out = malloc(n / 3 * 4 + 8);
    for (size_t i = 0; i < n; i += 3) {
        uint32_t v = (uint32_t)(unsigned char)text[i] << 16;
        v |= i + 1 < n ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < n ? (uint32_t)(unsigned char)text[i + 2] : 0;
        out[k++] = digits[v >> 18];
        out[k++] = digits[v >> 12 & 63];
        out[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
        out[k++] = i + 2 < n ? digits[v & 63] : '=';
    }
    out[k] = '\0';
    return out;
}

static int
transact(const char *writes, const char *removals)
{
    size_t n = strlen(writes) + strlen(removals) + 64;
    char *body = malloc(n), *text = malloc(n + 256);
    snprintf(body, n, "{\"precondition\":[],\"writes\":[%s],\"remove\":[%s]}",
             writes, removals);
    int k = snprintf(text, n + 256,
                     "POST /rows-tx HTTP/1.1\r\nHost: store\r\nContent-Type: "
                     "application/json\r\nContent-Length: %zu\r\nConnection: "
                     "close\r\n\r\n%s",
                     strlen(body), body);
    int status = call(STORE_IP, STORE_PORT, text, (size_t)k);
    free(text);
    free(body);
    return status;
}

int
lab_put(const char *table, const char *key, const char *json)
{
    char *value = base64(json);
    size_t n = strlen(value) + 256;
    char *row = malloc(n);
    snprintf(
        row, n,
        "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\"}",
        table, key, value);
    int status = transact(row, "");
    lab_record("store: put %s/%s -> %d", table, key, status);
    free(row);
    free(value);
    return status;
}

int
lab_remove(const char *table, const char *key)
{
    char row[512];
    snprintf(row, sizeof(row),
             "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\"}", table, key);
    int status = transact("", row);
    lab_record("store: remove %s/%s -> %d", table, key, status);
    return status;
}

int
lab_store(const char *method_and_path)
{
    char text[512];
    int n = snprintf(text, sizeof(text),
                     "%s HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n",
                     method_and_path);
    lab_record("store: %s", method_and_path);
    return call(STORE_IP, STORE_PORT, text, (size_t)n);
}

void
lab_put_server(const LabServer *s, const char *state, long sequence,
               long long born)
{
    char json[512];
    snprintf(json, sizeof(json),
             "{\"serviceName\":\"%s\",\"address\":\"%s:8000\",\"zone\":\"%s\","
             "\"configVersion\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"warmupLeftMs\":0,\"sequence\":%ld,\"born\":%lld}",
             s->service, s->ip, s->zone, s->slots, state, sequence, born);
    lab_put("servers", s->instance, json);
}

int
lab_put_config(long version, const char *resources)
{
    size_t n = strlen(resources) + 512;
    char *json = malloc(n);
    snprintf(json, n,
             "{\"configVersion\":%ld,\"baseVersion\":1,\"resources\":[%s"
             "{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{"
             "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}",
             version, resources);
    int status = lab_put("op", "config", json);
    free(json);
    return status;
}

char *
lab_route(const char *name, const char *prefix, const char *type,
          int timeout_ms, const char *service, char out[1024])
{
    snprintf(out, 1024,
             "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"%s\"},"
             "\"spec\":{\"hostname\":\"a.example\",\"prefix\":\"%s\","
             "\"routeType\":\"%s\",\"timeoutMs\":%d,\"latencyGoalMs\":400,"
             "\"priority\":0,\"serviceName\":\"%s\",\"maxAttempts\":2,"
             "\"sessionAffinity\":true,\"homeRegions\":[]}},",
             name, prefix, type, timeout_ms, service);
    return out;
}

char *
lab_service(const char *name, char out[512])
{
    snprintf(out, 512,
             "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"%s\"},"
             "\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":660,"
             "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
             "\"warmupPerS\":3.6}},",
             name);
    return out;
}

int
lab_get_status(const char *ip, int port, const char *path)
{
    char text[512];
    int n = snprintf(text, sizeof(text),
                     "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                     path);
    return call(ip, port, text, (size_t)n);
}

bool
lab_wait_ready(const char *ip, double seconds)
{
    double until = lab_now() + seconds;
    while (lab_now() < until) {
        if (lab_get_status(ip, 7002, "/ready") == 200) {
            return true;
        }
        lab_sleep(0.1);
    }
    return false;
}
