/* A backend server in the process of a test. */
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <glib.h>

#include "server.h"

#define BACKLOG 16
/* A thread is held until it has received so much of an answer: more than a
 * client buffers for one caller. */
#define HELD_BYTES (384u * 1024)

typedef struct {
    CpTestServer *server;
    int32_t fd;
    uint32_t number;
} Connection;

static struct {
    uint32_t on;       /* flag; atomic */
    uint32_t has_sent; /* flag: the server, all of an answer; atomic */
    uint16_t port;
    uint64_t received_bytes;
} hold;

static void *server_thread(void *ctx);
static void *connection_thread(void *ctx);
static CpTestAnswer *receive_request(Connection *c, char *line, char id[64]);
static bool has_target(const char *line, const char *target);
static void answer_request(const Connection *c, const CpTestAnswer *a,
                           const char *id);
static void wait_for_bytes(int fd);
static bool is_held(int fd);

CpTestServer *
CpTestServer_Start(const CpTestServerOptions *options)
{
    CpTestServer *s = CpMem_Alloc(sizeof(*s));
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(address);
    pthread_t thread;
    s->options = *options;
    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->changed, NULL);
    s->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    if (bind(s->listen_fd, (struct sockaddr *)&address, n) != 0 ||
        listen(s->listen_fd, BACKLOG) != 0 ||
        getsockname(s->listen_fd, (struct sockaddr *)&address, &n) != 0 ||
        pthread_create(&thread, NULL, server_thread, s) != 0) {
        abort();
    }
    pthread_detach(thread);
    snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    hold.port = address.sin_port;
    return s;
}

CpTestAnswer *
CpTestServer_Add(CpTestServer *s, const char *name, const char *framing,
                 uint32_t body_bytes)
{
    pthread_mutex_lock(&s->lock);
    CpTestAnswer *a = &s->answers[s->answer_count++ % CP_TEST_ANSWERS];
    free(a->target);
    *a = (CpTestAnswer){.body_bytes = body_bytes, .target = CpStr_Dup("/")};
    CpStr_Copy(a->name, sizeof(a->name), name);
    CpStr_Copy(a->framing, sizeof(a->framing), framing);
    pthread_mutex_unlock(&s->lock);
    return a;
}

void
CpTestServer_Hold(const CpTestServer *s, bool on)
{
    (void)s;
    CpAtomic_Store(&hold.on, on);
}

/* A body consists of letters in turn. */
bool
CpTestServer_IsBody(const char *body, uint64_t n, uint64_t offset)
{
    for (uint64_t i = 0; i < n; i++) {
        if (body[i] != (char)('a' + (offset + i) % 26)) {
            return false;
        }
    }
    return true;
}

bool
CpTestSocket_Read(int32_t fd, void *out, size_t n)
{
    char *at = out;
    while (n > 0) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        ssize_t k =
            poll(&p, 1, 2 * CP_TEST_WAIT_MS) > 0 ? read(fd, at, n) : -1;
        if (k <= 0) {
            return false;
        }
        at += k;
        n -= (size_t)k;
    }
    return true;
}

bool
CpTestSocket_ReadLine(int32_t fd, char *out, size_t n)
{
    size_t k = 0;
    while (k + 1 < n && CpTestSocket_Read(fd, out + k, 1)) {
        if (out[k] == '\n') {
            out[k > 0 && out[k - 1] == '\r' ? k - 1 : k] = '\0';
            return true;
        }
        k++;
    }
    return false;
}

bool
CpTestSocket_Write(int32_t fd, const void *data, size_t n)
{
    const char *at = data;
    while (n > 0) {
        ssize_t k = write(fd, at, n);
        if (k <= 0) {
            return false;
        }
        at += k;
        n -= (size_t)k;
    }
    return true;
}

static void *
server_thread(void *ctx)
{
    CpTestServer *s = ctx;
    for (uint32_t i = 1;; i++) {
        pthread_t thread;
        Connection *c = CpMem_Alloc(sizeof(*c));
        *c = (Connection){.server = s, .number = i};
        c->fd = accept(s->listen_fd, NULL, NULL);
        pthread_create(&thread, NULL, connection_thread, c);
        pthread_detach(thread);
    }
    return NULL;
}

static void *
connection_thread(void *ctx)
{
    Connection *c = ctx;
    CpTestServer *s = c->server;
    char *line = CpMem_Alloc(CP_TEST_HEAD_BYTES), id[64];
    uint32_t requests = 0;
    CpTestAnswer *a;
    do {
        a = receive_request(c, line, id);
        if (a == NULL) {
            break;
        }
        pthread_mutex_lock(&s->lock);
        a->request = ++requests;
        pthread_cond_broadcast(&s->changed);
        while (a->waits) {
            pthread_cond_wait(&s->changed, &s->lock);
        }
        pthread_mutex_unlock(&s->lock);
        answer_request(c, a, id);
    } while (strcmp(a->framing, "length") == 0);
    close(c->fd);
    free(line);
    free(c);
    return NULL;
}

/* Returns NULL if there is none, or it is not known. */
static CpTestAnswer *
receive_request(Connection *c, char *line, char id[64])
{
    CpTestServer *s = c->server;
    CpTestAnswer *found = NULL;
    uint32_t upload_bytes = 0;
    size_t id_bytes = strlen(s->options.id_header);
    char *target = CpMem_Alloc(CP_TEST_HEAD_BYTES), path[64] = "";
    bool ok = CpTestSocket_ReadLine(c->fd, target, CP_TEST_HEAD_BYTES);
    id[0] = '\0';
    while (ok && CpTestSocket_ReadLine(c->fd, line, CP_TEST_HEAD_BYTES) &&
           line[0] != '\0') {
        if (strncasecmp(line, s->options.id_header, id_bytes) == 0) {
            sscanf(line + id_bytes, ": %63s", id);
        }
        sscanf(line, "Content-Length: %u", &upload_bytes);
    }
    while (upload_bytes > 0) {
        uint32_t n = MIN(upload_bytes, CP_TEST_HEAD_BYTES);
        ok = ok && CpTestSocket_Read(c->fd, line, n);
        upload_bytes -= n;
    }
    sscanf(target, "%*s /%63s", path);
    const char *name = s->options.names_in_target ? path : id;
    pthread_mutex_lock(&s->lock);
    for (uint32_t i = 0; ok && i < CP_TEST_ANSWERS; i++) {
        CpTestAnswer *a = &s->answers[i];
        if (name[0] != '\0' && strcmp(a->name, name) == 0) {
            a->connection = c->number;
            a->runs++;
            a->is_changed = !has_target(target, a->target);
            found = a;
        }
    }
    pthread_mutex_unlock(&s->lock);
    free(target);
    return found;
}

/* Returns true if a request line has this target. */
static bool
has_target(const char *line, const char *target)
{
    const char *at = strchr(line, ' ');
    size_t n = strlen(target);
    return at != NULL && strncmp(at + 1, target, n) == 0 && at[n + 1] == ' ';
}

static void
answer_request(const Connection *c, const CpTestAnswer *a, const char *id)
{
    const CpTestServerOptions *o = &c->server->options;
    GString *text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", o->id_header, id,
                    o->lines);
    if (a->head_bytes > 0) {
        g_string_append(text, "Filler: ");
        for (uint32_t i = 0; i < a->head_bytes; i++) {
            g_string_append_c(text, 'f');
        }
        g_string_append(text, "\r\n");
    }
    if (strcmp(a->framing, "close") != 0) {
        g_string_append_printf(text, "Content-Length: %u\r\n", a->body_bytes);
    }
    if (strcmp(a->framing, "length") != 0) {
        g_string_append(text, "Connection: close\r\n");
    }
    g_string_append(text, "\r\n");
    for (uint32_t i = 0; i < a->body_bytes; i++) {
        g_string_append_c(text, (char)('a' + i % 26));
    }
    CpTestSocket_Write(c->fd, text->str, text->len);
    g_string_free(text, TRUE);
    CpAtomic_Store(&hold.has_sent, 1);
}

/* These two stand in for the functions of the C library, for the libraries,
 * too. */
ssize_t
send(int fd, const void *data, size_t n, int flags)
{
    bool holds = is_held(fd);
    if (holds) {
        hold.received_bytes = 0;
        CpAtomic_Store(&hold.has_sent, 0);
    }
    ssize_t k = syscall(SYS_sendto, fd, data, n, flags, NULL, 0);
    if (holds && k > 0) {
        wait_for_bytes(fd);
    }
    return k;
}

ssize_t
recv(int fd, void *out, size_t n, int flags)
{
    ssize_t k = syscall(SYS_recvfrom, fd, out, n, flags, NULL, NULL);
    if (k > 0 && flags == 0 && is_held(fd)) {
        hold.received_bytes += (uint64_t)k;
        if (hold.received_bytes < HELD_BYTES) {
            wait_for_bytes(fd);
        }
    }
    return k;
}

static void
wait_for_bytes(int fd)
{
    int queued = 0;
    for (uint32_t ms = 0; ms < CP_TEST_WAIT_MS; ms++) {
        /* read first: what was sent before it was set is queued then */
        uint32_t has_sent = CpAtomic_Load(&hold.has_sent);
        if (ioctl(fd, FIONREAD, &queued) != 0 || queued > 0 || has_sent) {
            return;
        }
        usleep(1000);
    }
}

static bool
is_held(int fd)
{
    struct sockaddr_in peer;
    socklen_t n = sizeof(peer);
    return CpAtomic_Load(&hold.on) &&
           getpeername(fd, (struct sockaddr *)&peer, &n) == 0 &&
           peer.sin_port == hold.port;
}
