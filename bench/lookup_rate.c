/*
 * Measures look-ups a second with a few keep-alive connections, and, beside
 * it, an empty handler of the HTTP library with the same threads: the ratio
 * tells what the look-up itself costs.
 */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"

#define CONNECTIONS 24
#define MAX_THREADS 4

typedef struct {
    const char *address;
    const char *path;
    uint32_t seconds;
    uint64_t answers;
} Job;

static enum MHD_Result on_empty(void *ctx, struct MHD_Connection *conn,
                                const char *url, const char *method,
                                const char *version, const char *data,
                                size_t *data_bytes, void **state);
static uint32_t answer_size(int32_t fd);
static void *client_thread(void *ctx);
static uint64_t measure(const char *address, const char *path,
                        uint32_t seconds, uint32_t threads);

int
main(int argc, char **argv)
{
    if (argc != 5) {
        fprintf(stderr, "usage: lookup-rate LOOKUP_ADDRESS EMPTY_ADDRESS "
                        "SECONDS SERVER_THREADS\n");
        return 2;
    }
    struct sockaddr_storage sa;
    uint32_t seconds = (uint32_t)atoi(argv[3]);
    CpAddress_Parse(argv[2], &sa);
    struct MHD_Daemon *d = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_empty, NULL,
        MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned int)atoi(argv[4]), MHD_OPTION_END);
    if (d == NULL) {
        fprintf(stderr, "lookup-rate: cannot listen on %s\n", argv[2]);
        return 1;
    }
    uint64_t ours = 0, empty = 0;
    for (uint32_t i = 0; i < 2; i++) { /* in turns, against drift */
        empty += measure(argv[2], "/", seconds, 3);
        ours += measure(argv[1], "/lookup?kind=read", seconds, 3);
    }
    printf("lookups_per_s %llu empty_handler_per_s %llu ratio %.2f\n",
           (unsigned long long)(ours / 2 / seconds),
           (unsigned long long)(empty / 2 / seconds),
           (double)ours / (double)empty);
    MHD_stop_daemon(d);
    return 0;
}

static enum MHD_Result
on_empty(void *ctx, struct MHD_Connection *conn, const char *url,
         const char *method, const char *version, const char *data,
         size_t *data_bytes, void **state)
{
    static char body[230];
    (void)ctx, (void)url, (void)method, (void)version, (void)data;
    (void)data_bytes;
    if (*state == NULL) {
        *state = body;
        return MHD_YES;
    }
    memset(body, 'x', sizeof(body));
    struct MHD_Response *r = MHD_create_response_from_buffer(
        sizeof(body), body, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result ok = MHD_queue_response(conn, 200, r);
    MHD_destroy_response(r);
    return ok;
}

static uint64_t
measure(const char *address, const char *path, uint32_t seconds,
        uint32_t threads)
{
    pthread_t ids[MAX_THREADS];
    Job jobs[MAX_THREADS];
    uint64_t sum = 0;
    for (uint32_t i = 0; i < threads; i++) {
        jobs[i] = (Job){address, path, seconds, 0};
        pthread_create(&ids[i], NULL, client_thread, &jobs[i]);
    }
    for (uint32_t i = 0; i < threads; i++) {
        pthread_join(ids[i], NULL);
        sum += jobs[i].answers;
    }
    return sum;
}

/* Peeks at the first answer until it is whole; returns its size. */
static uint32_t
answer_size(int32_t fd)
{
    char buf[4096] = {0};
    for (;;) {
        ssize_t n = recv(fd, buf, sizeof(buf) - 1, MSG_PEEK);
        buf[n > 0 ? n : 0] = '\0';
        const char *end = strstr(buf, "\r\n\r\n");
        const char *length = strstr(buf, "Content-Length: ");
        if (n <= 0 || strncmp(buf, "HTTP/1.1 200", 12) != 0) {
            fprintf(stderr, "lookup-rate: bad answer\n");
            exit(1);
        }
        if (end != NULL && length != NULL) {
            uint32_t whole =
                (uint32_t)(end + 4 - buf) + (uint32_t)atoi(length + 16);
            if ((uint32_t)n >= whole) {
                return whole;
            }
        }
    }
}

/* One request at a time on each connection. All answers of a run have the
 * size of the first, which its length tells. */
static void *
client_thread(void *ctx)
{
    Job *j = ctx;
    char ask[256], buf[4096];
    struct sockaddr_storage sa;
    uint32_t n = CpAddress_Parse(j->address, &sa);
    int32_t ep = epoll_create1(0), one = 1, fds[CONNECTIONS];
    int32_t size = snprintf(ask, sizeof(ask),
                            "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", j->path);
    for (uint32_t i = 0; i < CONNECTIONS; i++) {
        fds[i] = socket(sa.ss_family, SOCK_STREAM, 0);
        if (connect(fds[i], (struct sockaddr *)&sa, n) != 0) {
            fprintf(stderr, "lookup-rate: cannot connect\n");
            exit(1);
        }
        setsockopt(fds[i], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        struct epoll_event ev = {.events = EPOLLIN, .data.u32 = i};
        epoll_ctl(ep, EPOLL_CTL_ADD, fds[i], &ev);
        if (send(fds[i], ask, (size_t)size, 0) != size) {
            exit(1);
        }
    }
    uint32_t whole = answer_size(fds[0]), got_bytes[CONNECTIONS] = {0};
    int64_t end_ns = CpClock_Now_ns() + j->seconds * CP_NS_PER_S;
    while (CpClock_Now_ns() < end_ns) {
        struct epoll_event evs[CONNECTIONS];
        int32_t got = epoll_wait(ep, evs, CONNECTIONS, 100);
        for (int32_t i = 0; i < got; i++) {
            uint32_t c = evs[i].data.u32;
            ssize_t n_got = recv(fds[c], buf, sizeof(buf), 0);
            if (n_got <= 0) {
                fprintf(stderr, "lookup-rate: %s: connection lost\n",
                        j->address);
                exit(1);
            }
            got_bytes[c] += (uint32_t)n_got;
            if (got_bytes[c] < whole) {
                continue;
            }
            got_bytes[c] = 0;
            j->answers++;
            if (send(fds[c], ask, (size_t)size, 0) != size) {
                exit(1);
            }
        }
    }
    for (uint32_t i = 0; i < CONNECTIONS; i++) {
        close(fds[i]);
    }
    close(ep);
    return NULL;
}
