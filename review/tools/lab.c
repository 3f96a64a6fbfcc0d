/*
 * Stand-ins and a client for the cases of the review. No libraries but the C
 * library and pthreads.
 *
 * lab server LISTEN INSTANCE WORK_MS MODE_FILE RECORD
 *   A backend server that uses the platform's protocol. It answers 421 to a
 *   request for another instance, else runs the request for WORK_MS and
 *   answers by the first word of MODE_FILE: "ok" (200, sealed), "429" or
 *   another status (that status, sealed, after the run; below 200 the
 *   connection is then closed), "leave" (as ok,
 *   with Server-Leaving), "cutN" (ends the connection in order after N lines
 * of the head), "resetN" (as cutN, with a reset). lab proxy LISTEN TARGET
 * MODE_FILE A TCP proxy; while MODE_FILE begins with "hold" it forwards
 * nothing. lab call ADDRESS METHOD PATH HOST ID TIMEOUT_MS RECORD [BODY
 * [OBJECT]] Sends one request on a new connection; prints STATUS and the seal
 * or "-". lab load ADDRESS METHOD PATH HOST PREFIX PER_S SECONDS TIMEOUT_MS
 * RECORD Sends requests at a steady rate, each on a new connection. lab keep
 * ADDRESS METHOD PATH HOST PREFIX COUNT SECONDS TIMEOUT_MS RECORD Sends
 * requests one after the other on each of COUNT kept connections. lab upload
 * ADDRESS PATH HOST ID MB TIMEOUT_MS RECORD Sends a POST with a body of that
 * many MB on a new connection. lab put STORE TABLE KEY VALUE | lab remove
 * STORE TABLE KEY Writes or removes a row of the store; prints the status. lab
 * get ADDRESS PATH Prints the status and the body of a page. lab now Prints
 * the steady clock in ms, as the records use it.
 *
 * Lines of a record: MS sent ID ADDRESS, MS answer ID STATUS SEAL, MS arrived
 * ID INSTANCE, MS ran ID INSTANCE STATUS.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES (32 * 1024)
#define CHUNK_BYTES (16 * 1024)
#define HOLD_POLL_MS 10
#define REQUEST_ID_BYTES 80

typedef struct {
    char text[HEAD_BYTES];
    size_t head_bytes;  /* with the blank line */
    size_t total_bytes; /* received, with a part of the body */
} Message;

typedef struct {
    const char *address, *method, *path, *host, *record;
    char id[REQUEST_ID_BYTES];
    int timeout_ms;
    const char *body;   /* NULL: none */
    const char *object; /* affinity key; NULL: none */
} Call;

/* Of the server or the proxy; set before the threads are started. */
static const char *instance, *mode_file, *record_file, *target;
static int work_ms;

static int64_t
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_ms(int64_t ms)
{
    struct timespec t = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&t, NULL);
}

/* Appends one line in a single write, as several processes share the file. */
static void
record(const char *path, const char *fmt, ...)
{
    char line[512];
    va_list ap;
    int n = snprintf(line, sizeof(line), "%lld ", (long long)now_ms());
    va_start(ap, fmt);
    n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
    va_end(ap);
    line[n++] = '\n';
    int fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0 || write(fd, line, (size_t)n) != n) {
        fprintf(stderr, "lab: cannot write %s\n", path);
    }
    close(fd);
}

static void
read_mode(char out[32])
{
    FILE *f = fopen(mode_file, "r");
    if (f == NULL || fscanf(f, "%31s", out) != 1) {
        strcpy(out, "ok");
    }
    if (f != NULL) {
        fclose(f);
    }
}

static struct sockaddr_in
parse_address(const char *text)
{
    char ip[64];
    const char *colon = strrchr(text, ':');
    struct sockaddr_in sa = {.sin_family = AF_INET};
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        fprintf(stderr, "lab: bad address %s\n", text);
        exit(2);
    }
    snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
    inet_pton(AF_INET, ip, &sa.sin_addr);
    sa.sin_port = htons((uint16_t)atoi(colon + 1));
    return sa;
}

static int
connect_to(const char *address)
{
    struct sockaddr_in sa = parse_address(address);
    int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static bool
send_all(int fd, const char *data, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, data, n, MSG_NOSIGNAL);
        if (k <= 0) {
            return false;
        }
        data += k;
        n -= (size_t)k;
    }
    return true;
}

/* Copies the value of a header; returns false if there is none. */
static bool
find_header(const Message *m, const char *name, char *out, size_t out_bytes)
{
    size_t n = strlen(name);
    const char *line = strstr(m->text, "\r\n");
    while (line != NULL && (size_t)(line + 2 - m->text) < m->head_bytes) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            const char *start = line + n + 1;
            start += strspn(start, " ");
            snprintf(out, out_bytes, "%.*s", (int)strcspn(start, "\r\n"),
                     start);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

/* Receives a head, waiting until `until_ms`; the rest of the buffer may hold a
 * part of the body. */
static bool
receive_head(int fd, Message *m, int64_t until_ms)
{
    m->total_bytes = m->head_bytes = 0;
    for (;;) {
        m->text[m->total_bytes] = '\0';
        char *end = strstr(m->text, "\r\n\r\n");
        if (end != NULL) {
            m->head_bytes = (size_t)(end - m->text) + 4;
            return true;
        }
        struct pollfd p = {.fd = fd, .events = POLLIN};
        int64_t left_ms = until_ms - now_ms();
        if (left_ms <= 0 || m->total_bytes + 1 >= sizeof(m->text) ||
            poll(&p, 1, (int)left_ms) <= 0) {
            return false;
        }
        ssize_t n = recv(fd, m->text + m->total_bytes,
                         sizeof(m->text) - 1 - m->total_bytes, 0);
        if (n <= 0) {
            return false;
        }
        m->total_bytes += (size_t)n;
    }
}

/* Reads the rest of the body; returns false if it ends early. */
static bool
receive_body(int fd, const Message *m, int64_t until_ms)
{
    char value[32], data[CHUNK_BYTES];
    size_t got = m->total_bytes - m->head_bytes;
    if (!find_header(m, "Content-Length", value, sizeof(value))) {
        return true;
    }
    while (got < strtoull(value, NULL, 10)) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        int64_t left_ms = until_ms - now_ms();
        ssize_t n = left_ms > 0 && poll(&p, 1, (int)left_ms) > 0
                        ? recv(fd, data, sizeof(data), 0)
                        : 0;
        if (n <= 0) {
            return false;
        }
        got += (size_t)n;
    }
    return true;
}

static bool
serve_one(int fd)
{
    static const char text[] = "{\"done\":true}\n";
    Message *m = malloc(sizeof(*m));
    char id[REQUEST_ID_BYTES], wanted[80], mode[32], head[512];
    int64_t forever = now_ms() + 3600 * 1000;
    bool ok = receive_head(fd, m, forever) && receive_body(fd, m, forever);
    if (!ok || !find_header(m, "Chestnutpaddle-Attempt-Id", id, sizeof(id))) {
        free(m);
        return false;
    }
    bool other = find_header(m, "Chestnutpaddle-Target-Instance", wanted,
                             sizeof(wanted)) &&
                 strcmp(wanted, instance) != 0;
    free(m);
    record(record_file, "arrived %s %s", id, instance);
    if (other) {
        int n = snprintf(head, sizeof(head),
                         "HTTP/1.1 421 Misdirected Request\r\n"
                         "Chestnutpaddle-Attempt-Id: %s\r\n"
                         "Content-Length: 0\r\n\r\n",
                         id);
        return send_all(fd, head, (size_t)n);
    }
    read_mode(mode);
    int64_t end_ms = now_ms() + work_ms;
    while (now_ms() < end_ms) { /* drops the request with its connection */
        struct pollfd p = {.fd = fd, .events = POLLRDHUP};
        if (poll(&p, 1, 0) > 0) {
            return false;
        }
        sleep_ms(2);
    }
    int status = atoi(mode) >= 100 ? atoi(mode) : 200;
    record(record_file, "ran %s %s %d", id, instance, status);
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 %d Reply\r\nChestnutpaddle-Attempt-Id: %s\r\n"
                     "Chestnutpaddle-Response-Seal: seal-%s\r\n"
                     "Content-Type: application/json\r\n%s"
                     "Content-Length: %zu\r\n\r\n%s",
                     status, id, instance,
                     strcmp(mode, "leave") == 0 ? "Server-Leaving: 1\r\n" : "",
                     sizeof(text) - 1, text);
    if (strncmp(mode, "cut", 3) == 0 || strncmp(mode, "reset", 5) == 0) {
        const char *end = head;
        for (int i = 0; i < mode[strlen(mode) - 1] - '0'; i++) {
            end = strstr(end, "\r\n") + 2;
        }
        struct linger reset = {.l_onoff = mode[0] == 'r'};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        send_all(fd, head, (size_t)(end - head));
        sleep_ms(20);
        return false;
    }
    return send_all(fd, head, (size_t)n) && status >= 200;
}

static void *
serve_connection(void *ctx)
{
    int fd = (int)(intptr_t)ctx;
    while (serve_one(fd)) {
    }
    close(fd);
    return NULL;
}

static void *
proxy_connection(void *ctx)
{
    int fds[2] = {(int)(intptr_t)ctx, connect_to(target)};
    char data[CHUNK_BYTES], mode[32];
    bool open = fds[1] >= 0;
    while (open) {
        read_mode(mode);
        if (strcmp(mode, "hold") == 0) {
            sleep_ms(HOLD_POLL_MS);
            continue;
        }
        struct pollfd p[2] = {{.fd = fds[0], .events = POLLIN},
                              {.fd = fds[1], .events = POLLIN}};
        poll(p, 2, HOLD_POLL_MS);
        read_mode(mode);
        for (int i = 0; i < 2 && open && strcmp(mode, "hold") != 0; i++) {
            if (p[i].revents != 0) {
                ssize_t n = recv(fds[i], data, sizeof(data), 0);
                open = n > 0 && send_all(fds[1 - i], data, (size_t)n);
            }
        }
    }
    close(fds[0]);
    if (fds[1] >= 0) {
        close(fds[1]);
    }
    return NULL;
}

static int
listen_and_run(const char *address, void *(*run)(void *))
{
    struct sockaddr_in sa = parse_address(address);
    int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, 512) != 0) {
        fprintf(stderr, "lab: %s: %s\n", address, strerror(errno));
        return 2;
    }
    for (;;) {
        pthread_t thread;
        int client = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (pthread_create(&thread, NULL, run, (void *)(intptr_t)client) !=
            0) {
            close(client);
            continue;
        }
        pthread_detach(thread);
    }
}

/* Sends the request; returns the status, or 0 without a complete answer. */
static int
perform(const Call *c, char seal[64])
{
    char head[2048], cookie[160] = "", framing[64] = "";
    int64_t until_ms = now_ms() + c->timeout_ms;
    int status = 0;
    strcpy(seal, "-");
    if (c->object != NULL) {
        snprintf(cookie, sizeof(cookie),
                 "Cookie: Chestnutpaddle-Affinity-Key=%s\r\n", c->object);
    }
    if (c->body != NULL) {
        snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
                 strlen(c->body));
    }
    int n = snprintf(head, sizeof(head),
                     "%s %s HTTP/1.1\r\nHost: %s\r\n"
                     "Chestnutpaddle-Attempt-Id: %s\r\n"
                     "Chestnutpaddle-Timeout-Ms: %d\r\n%s%s\r\n%s",
                     c->method, c->path, c->host, c->id, c->timeout_ms, cookie,
                     framing, c->body != NULL ? c->body : "");
    record(c->record, "sent %s %s", c->id, c->address);
    int fd = connect_to(c->address);
    Message *m = malloc(sizeof(*m));
    if (fd >= 0 && send_all(fd, head, (size_t)n) &&
        receive_head(fd, m, until_ms) && receive_body(fd, m, until_ms)) {
        status = atoi(m->text + strlen("HTTP/1.1 "));
        find_header(m, "Chestnutpaddle-Response-Seal", seal, 64);
    }
    free(m);
    if (fd >= 0) {
        close(fd);
    }
    record(c->record, "answer %s %d %s", c->id, status, seal);
    return status;
}

/* Sends requests on one connection until *ctx's time is over; records a closed
 * connection as status 0. */
typedef struct {
    Call call;
    const char *prefix;
    int64_t until_ms;
} Keeper;

static void *
keep_thread(void *ctx)
{
    Keeper *k = ctx;
    Message *m = malloc(sizeof(*m));
    int fd = -1;
    for (int i = 0; now_ms() < k->until_ms; i++) {
        char text[1024], seal[64] = "-";
        int status = 0;
        if (fd < 0) {
            fd = connect_to(k->call.address);
        }
        if (fd < 0) {
            sleep_ms(50);
            continue;
        }
        int n = snprintf(text, sizeof(text),
                         "%s %s HTTP/1.1\r\nHost: %s\r\n"
                         "Chestnutpaddle-Attempt-Id: %s-%d\r\n"
                         "Chestnutpaddle-Timeout-Ms: %d\r\n"
                         "Content-Length: 3\r\n\r\nx=1",
                         k->call.method, k->call.path, k->call.host, k->prefix,
                         i, k->call.timeout_ms);
        record(k->call.record, "sent %s-%d %s", k->prefix, i, k->call.address);
        int64_t until_ms = now_ms() + k->call.timeout_ms;
        if (send_all(fd, text, (size_t)n) && receive_head(fd, m, until_ms) &&
            receive_body(fd, m, until_ms)) {
            status = atoi(m->text + strlen("HTTP/1.1 "));
            find_header(m, "Chestnutpaddle-Response-Seal", seal, 64);
        }
        record(k->call.record, "answer %s-%d %d %s", k->prefix, i, status,
               seal);
        if (status == 0 || find_header(m, "Connection", text, 64)) {
            close(fd);
            fd = -1;
        }
    }
    free(m);
    return NULL;
}

static int
run_keep(char **arg)
{
    int count = atoi(arg[5]);
    pthread_t threads[64];
    for (int i = 0; i < count && i < 64; i++) {
        char *prefix;
        Keeper *k = malloc(sizeof(*k));
        if (asprintf(&prefix, "%s%d", arg[4], i) < 0) {
            return 2;
        }
        *k = (Keeper){.call = {.address = arg[0],
                               .method = arg[1],
                               .path = arg[2],
                               .host = arg[3],
                               .timeout_ms = atoi(arg[7]),
                               .record = arg[8]},
                      .prefix = prefix,
                      .until_ms = now_ms() + (int64_t)(atof(arg[6]) * 1000)};
        pthread_create(&threads[i], NULL, keep_thread, k);
    }
    for (int i = 0; i < count && i < 64; i++) {
        pthread_join(threads[i], NULL);
    }
    return 0;
}

static int
run_upload(char **arg)
{
    char head[1024], seal[64] = "-", *block = calloc(1, CHUNK_BYTES);
    Message *m = malloc(sizeof(*m));
    size_t left = (size_t)(atof(arg[4]) * 1024 * 1024);
    int64_t until_ms = now_ms() + atoi(arg[5]);
    int status = 0, fd = connect_to(arg[0]);
    int n = snprintf(head, sizeof(head),
                     "POST %s HTTP/1.1\r\nHost: %s\r\n"
                     "Chestnutpaddle-Attempt-Id: %s\r\n"
                     "Chestnutpaddle-Timeout-Ms: %s\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     arg[1], arg[2], arg[3], arg[5], left);
    record(arg[6], "sent %s %s", arg[3], arg[0]);
    bool ok = fd >= 0 && send_all(fd, head, (size_t)n);
    while (ok && left > 0) {
        size_t size = left < CHUNK_BYTES ? left : CHUNK_BYTES;
        ok = send_all(fd, block, size);
        left -= size;
    }
    if (ok && receive_head(fd, m, until_ms) && receive_body(fd, m, until_ms)) {
        status = atoi(m->text + strlen("HTTP/1.1 "));
        find_header(m, "Chestnutpaddle-Response-Seal", seal, 64);
    }
    record(arg[6], "answer %s %d %s", arg[3], status, seal);
    free(block);
    free(m);
    return 0;
}

static void *
call_thread(void *ctx)
{
    char seal[64];
    perform(ctx, seal);
    free(ctx);
    return NULL;
}

static int
run_load(char **arg)
{
    double per_s = atof(arg[5]), seconds = atof(arg[6]);
    int64_t started_ms = now_ms();
    for (int i = 0; i < (int)(per_s * seconds); i++) {
        pthread_t thread;
        int64_t due_ms = started_ms + (int64_t)(i * 1000 / per_s);
        if (due_ms > now_ms()) {
            sleep_ms(due_ms - now_ms());
        }
        Call *c = malloc(sizeof(*c));
        *c = (Call){.address = arg[0],
                    .method = arg[1],
                    .path = arg[2],
                    .host = arg[3],
                    .record = arg[8],
                    .timeout_ms = atoi(arg[7]),
                    .body = strcmp(arg[1], "POST") == 0 ? "x=1" : NULL};
        snprintf(c->id, sizeof(c->id), "%s%d", arg[4], i);
        if (pthread_create(&thread, NULL, call_thread, c) == 0) {
            pthread_detach(thread);
        }
    }
    sleep_ms(atoi(arg[7]) + 200);
    return 0;
}

static void
encode_base64(const char *in, char *out)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t n = strlen(in);
    for (size_t i = 0; i < n; i += 3) {
        uint32_t v = (uint32_t)(uint8_t)in[i] << 16;
        v |= i + 1 < n ? (uint32_t)(uint8_t)in[i + 1] << 8 : 0;
        v |= i + 2 < n ? (uint32_t)(uint8_t)in[i + 2] : 0;
        *out++ = digits[v >> 18];
        *out++ = digits[v >> 12 & 63];
        *out++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
        *out++ = i + 2 < n ? digits[v & 63] : '=';
    }
    *out = '\0';
}

static int
exchange(const char *address, const char *method, const char *path,
         const char *body, bool print_body)
{
    size_t room = strlen(body) + 512;
    char *text = malloc(room);
    Message *m = malloc(sizeof(*m));
    int64_t until_ms = now_ms() + 3000;
    int status = 0, fd = connect_to(address);
    int n = snprintf(text, room,
                     "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     method, path, strlen(body), body);
    if (fd >= 0 && send_all(fd, text, (size_t)n) &&
        receive_head(fd, m, until_ms)) {
        status = atoi(m->text + strlen("HTTP/1.1 "));
    }
    printf("%d\n", status);
    for (ssize_t k = 1; print_body && status != 0 && k > 0;) {
        fwrite(m->text + m->head_bytes, 1, m->total_bytes - m->head_bytes,
               stdout);
        m->head_bytes = 0;
        k = recv(fd, m->text, sizeof(m->text), 0);
        m->total_bytes = k > 0 ? (size_t)k : 0;
    }
    if (fd >= 0) {
        close(fd);
    }
    free(m);
    free(text);
    return status == 200 ? 0 : 1;
}

static int
change_row(const char *store, const char *table, const char *key,
           const char *value)
{
    char *body, *encoded = NULL;
    if (value != NULL) {
        encoded = malloc(strlen(value) * 4 / 3 + 8);
        encode_base64(value, encoded);
    }
    int n = value != NULL
                ? asprintf(&body,
                           "{\"precondition\":[],\"remove\":[],\"writes\":[{"
                           "\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
                           "\"value\":\"%s\"}]}",
                           table, key, encoded)
                : asprintf(&body,
                           "{\"precondition\":[],\"writes\":[],\"remove\":[{"
                           "\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\"}]}",
                           table, key);
    int status = n > 0 ? exchange(store, "POST", "/rows-tx", body, false) : 1;
    free(encoded);
    free(body);
    return status;
}

int
main(int argc, char **argv)
{
    const char *verb = argc > 1 ? argv[1] : "";
    signal(SIGPIPE, SIG_IGN);
    if (strcmp(verb, "server") == 0 && argc == 7) {
        instance = argv[3];
        work_ms = atoi(argv[4]);
        mode_file = argv[5];
        record_file = argv[6];
        return listen_and_run(argv[2], serve_connection);
    }
    if (strcmp(verb, "proxy") == 0 && argc == 5) {
        target = argv[3];
        mode_file = argv[4];
        return listen_and_run(argv[2], proxy_connection);
    }
    if (strcmp(verb, "call") == 0 && argc >= 9) {
        char seal[64];
        Call c = {.address = argv[2],
                  .method = argv[3],
                  .path = argv[4],
                  .host = argv[5],
                  .timeout_ms = atoi(argv[7]),
                  .record = argv[8],
                  .body = argc > 9 && argv[9][0] != '\0' ? argv[9] : NULL,
                  .object = argc > 10 ? argv[10] : NULL};
        snprintf(c.id, sizeof(c.id), "%s", argv[6]);
        int status = perform(&c, seal);
        printf("%d %s\n", status, seal);
        return 0;
    }
    if (strcmp(verb, "load") == 0 && argc == 11) {
        return run_load(argv + 2);
    }
    if (strcmp(verb, "keep") == 0 && argc == 11) {
        return run_keep(argv + 2);
    }
    if (strcmp(verb, "upload") == 0 && argc == 9) {
        return run_upload(argv + 2);
    }
    if (strcmp(verb, "put") == 0 && argc == 6) {
        return change_row(argv[2], argv[3], argv[4], argv[5]);
    }
    if (strcmp(verb, "remove") == 0 && argc == 5) {
        return change_row(argv[2], argv[3], argv[4], NULL);
    }
    if (strcmp(verb, "get") == 0 && argc == 4) {
        return exchange(argv[2], "GET", argv[3], "", true);
    }
    if (strcmp(verb, "now") == 0) {
        printf("%lld\n", (long long)now_ms());
        return 0;
    }
    fprintf(stderr, "lab: see the comment in lab.c\n");
    return 2;
}
