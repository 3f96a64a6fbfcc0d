/* Helpers for the stand-ins: listeners, relays and callers. */
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "http/easy.h"
#include "standin.h"

#define SEND_POLL_MS 5 /* checks whether the client reads on */
#define CALLER_CONNECT_TIMEOUT_MS 1000
#define CALLER_LINE_BYTES 160

/* A listening socket of a relay. */
typedef struct {
    CpStandinRoute route;
    int32_t fd;
    CpRelayFn relay;
} Listener;

typedef struct {
    const Listener *listener;
    int32_t fd;
    struct sockaddr_in client;
} Accepted;

static int32_t open_socket(const char *address);
static void *accept_thread(void *ctx);
static void *relay_thread(void *ctx);
static bool start_thread(void *(*run)(void *ctx), void *ctx);

static void on_connection(void *ctx, struct MHD_Connection *conn,
                          void **socket_context,
                          enum MHD_ConnectionNotificationCode code);

struct MHD_Daemon *
CpStandin_Listen(const char *address, MHD_AccessHandlerCallback on_request,
                 void *ctx, MHD_RequestCompletedCallback on_completed)
{
    struct sockaddr_storage sockaddr;
    if (CpAddress_Parse(address, &sockaddr) == 0) {
        fprintf(stderr, "standin: invalid address %s, expected IP:port\n",
                address);
        exit(2);
    }
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC,
        0, NULL, NULL, on_request, ctx, MHD_OPTION_SOCK_ADDR, &sockaddr,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)(128 * 1024),
        MHD_OPTION_CONNECTION_LIMIT, 4096u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_NOTIFY_COMPLETED, on_completed, ctx,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL, MHD_OPTION_END);
    if (daemon == NULL) {
        fprintf(stderr, "standin: cannot listen on %s\n", address);
        exit(2);
    }
    return daemon;
}

int
CpStandin_RunRelay(int argc, char **argv, MHD_AccessHandlerCallback on_control,
                   CpRelayFn relay)
{
    if (argc < 3) {
        fprintf(stderr, "usage: %s CONTROL LISTEN=TARGET ...\n", argv[0]);
        return 2;
    }
    CpStandin_BlockSignals();
    struct MHD_Daemon *daemon =
        CpStandin_Listen(argv[1], on_control, NULL, NULL);
    Listener *listeners = CpMem_Alloc((size_t)argc * sizeof(*listeners));
    for (int i = 2; i < argc; i++) {
        Listener *l = &listeners[i];
        char **fields = g_strsplit(argv[i], "=", 2);
        CpStr_Copy(l->route.listen, sizeof(l->route.listen), fields[0]);
        CpStr_Copy(l->route.target, sizeof(l->route.target),
                   fields[1] ? fields[1] : "");
        g_strfreev(fields);
        l->fd = open_socket(l->route.listen);
        l->relay = relay;
        if (!start_thread(accept_thread, l)) {
            exit(2);
        }
    }
    CpStandin_WaitForStop();
    MHD_stop_daemon(daemon);
    return 0;
}

int32_t
CpStandin_ConnectTarget(const CpStandinRoute *route, int32_t client_fd,
                        const struct sockaddr_in *source, bool *connected)
{
    struct sockaddr_storage sockaddr;
    int32_t enabled = 1;
    uint32_t sockaddr_bytes = CpAddress_Parse(route->target, &sockaddr);
    int32_t fd = socket(AF_INET, SOCK_STREAM, 0);
    if (source != NULL) {
        struct sockaddr_in any_port = {.sin_family = AF_INET,
                                       .sin_addr = source->sin_addr};
        bind(fd, (struct sockaddr *)&any_port, sizeof(any_port));
    }
    setsockopt(client_fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    *connected =
        connect(fd, (struct sockaddr *)&sockaddr, sockaddr_bytes) == 0;
    return fd;
}

void
CpStandin_ParseOptions(int argc, char **argv, const GOptionEntry *options,
                       gchar ***rest)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("");
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        *rest == NULL) {
        fprintf(stderr, "%s: %s\n", argv[0],
                error != NULL ? error->message : "no address");
        exit(2);
    }
    g_option_context_free(context);
}

void
CpStandin_RunCallers(void *(*run)(void *caller), void *callers,
                     size_t caller_bytes, uint32_t count)
{
    pthread_t *threads = CpMem_Alloc(count * sizeof(*threads));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (uint32_t i = 0; i < count; i++) {
        pthread_create(&threads[i], NULL, run,
                       (char *)callers + i * caller_bytes);
    }
    for (uint32_t i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    free(threads);
}

struct curl_slist *
CpStandin_SetRequest(CURL *e, const char *url, const char *id, uint64_t object,
                     bool *sent)
{
    char line[CALLER_LINE_BYTES];
    struct curl_slist *headers = NULL;
    curl_easy_reset(e); /* keeps the connection open */
    CpEasy_SetDefaults(e, url, CP_STANDIN_TIMEOUT_MS);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CALLER_CONNECT_TIMEOUT_MS);
    CpEasy_SendOnce(e, sent);
    headers = curl_slist_append(headers, "Host: a.example");
    headers = curl_slist_append(headers, "Expect:");
    snprintf(line, sizeof(line), "Chestnutpaddle-Attempt-Id: %s", id);
    headers = curl_slist_append(headers, line);
    snprintf(line, sizeof(line), "Chestnutpaddle-Timeout-Ms: %d",
             CP_STANDIN_TIMEOUT_MS);
    headers = curl_slist_append(headers, line);
    snprintf(line, sizeof(line), "Cookie: Chestnutpaddle-Affinity-Key=%llu",
             (unsigned long long)object);
    headers = curl_slist_append(headers, line);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
    return headers;
}

void
CpStandin_CloseWithReset(int32_t fd)
{
    struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    close(fd);
}

int32_t
CpStandin_Socket(struct MHD_Connection *conn)
{
    return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

bool
CpStandin_Send(int32_t fd, const char *data, size_t size_bytes)
{
    for (size_t at = 0; at < size_bytes;) {
        ssize_t n = send(fd, data + at, size_bytes - at, MSG_NOSIGNAL);
        struct pollfd p = {.fd = fd, .events = POLLOUT};
        if (n < 0 && errno != EAGAIN) {
            return false;
        }
        if (n < 0) {
            poll(&p, 1, SEND_POLL_MS);
        }
        at += n > 0 ? (size_t)n : 0;
    }
    return true;
}

uint32_t
CpStandin_CountUse(struct MHD_Connection *conn)
{
    uint32_t *uses =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
    return ++*uses;
}

/* Keeps the number of requests with the connection. */
static void
on_connection(void *ctx, struct MHD_Connection *conn, void **socket_context,
              enum MHD_ConnectionNotificationCode code)
{
    (void)ctx, (void)conn;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *socket_context = CpMem_Alloc(sizeof(uint32_t));
    }
    else {
        free(*socket_context);
        *socket_context = NULL;
    }
}

enum MHD_Result
CpStandin_Respond(struct MHD_Connection *conn, uint32_t status, char *text)
{
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(r, "Content-Type", "application/json");
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

const char *
CpStandin_GetQueryText(struct MHD_Connection *conn, const char *name,
                       const char *default_value)
{
    const char *value =
        MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);
    return value != NULL ? value : default_value;
}

uint64_t
CpStandin_GetQueryNumber(struct MHD_Connection *conn, const char *name,
                         uint64_t default_value)
{
    const char *value = CpStandin_GetQueryText(conn, name, NULL);
    return value != NULL ? strtoull(value, NULL, 10) : default_value;
}

const char *
CpStandin_GetHeader(struct MHD_Connection *conn, const char *name)
{
    return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

void
CpStandin_Sleep_ms(uint64_t ms)
{
    struct timespec ts = {.tv_sec = (time_t)(ms / 1000),
                          .tv_nsec = (long)(ms % 1000) * CP_NS_PER_MS};
    nanosleep(&ts, NULL);
}

void
CpStandin_BlockSignals(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

void
CpStandin_WaitForStop(void)
{
    sigset_t set;
    int sig;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigwait(&set, &sig);
}

/* Each aligned 8-byte word is a hash of the tag and the index of the word. */
void
CpStandin_FillBody(uint64_t tag, uint64_t offset, char *out, size_t n)
{
    for (size_t i = 0; i < n;) {
        uint64_t word_index = (offset + i) / 8, word_offset = (offset + i) % 8;
        uint64_t value = (word_index + 1) * UINT64_C(0x9e3779b97f4a7c15) ^
                         (tag + 1) * UINT64_C(0xc2b2ae3d27d4eb4f);
        size_t copy_bytes = 8 - word_offset < n - i ? 8 - word_offset : n - i;
        memcpy(out + i, (const char *)&value + word_offset, copy_bytes);
        i += copy_bytes;
    }
}

static int32_t
open_socket(const char *address)
{
    struct sockaddr_storage sockaddr;
    int32_t enabled = 1;
    uint32_t sockaddr_bytes = CpAddress_Parse(address, &sockaddr);
    int32_t fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (sockaddr_bytes == 0 ||
        bind(fd, (struct sockaddr *)&sockaddr, sockaddr_bytes) != 0 ||
        listen(fd, 512) != 0) {
        fprintf(stderr, "standin: %s: %s\n", address, strerror(errno));
        exit(2);
    }
    return fd;
}

static void *
accept_thread(void *ctx)
{
    const Listener *l = ctx;
    for (;;) {
        Accepted *a = CpMem_Alloc(sizeof(*a));
        socklen_t client_bytes = sizeof(a->client);
        a->listener = l;
        a->fd = accept(l->fd, (struct sockaddr *)&a->client, &client_bytes);
        if (a->fd < 0) {
            free(a);
            return NULL;
        }
        if (!start_thread(relay_thread, a)) {
            close(a->fd);
            free(a);
        }
    }
}

static void *
relay_thread(void *ctx)
{
    Accepted *a = ctx;
    a->listener->relay(&a->listener->route, a->fd, &a->client);
    free(a);
    return NULL;
}

static bool
start_thread(void *(*run)(void *ctx), void *ctx)
{
    pthread_t thread;
    if (pthread_create(&thread, NULL, run, ctx) != 0) {
        fprintf(stderr, "standin: no thread\n");
        return false;
    }
    pthread_detach(thread);
    return true;
}
