/*
 * Measures lookups per second over a few keep-alive connections, and for
 * comparison the same requests to an empty handler of the HTTP library with as
 * many threads: the ratio shows the cost of the lookup itself.
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

#define CONNECTIONS_PER_THREAD 24
#define MAX_THREADS 4

/* Arguments and result of one client thread. */
typedef struct {
    const char *address;
    const char *path;
    uint32_t seconds;
    uint64_t response_count;
} ClientThread;

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);
static uint32_t peek_response_bytes(int32_t fd);
static void *run_client(void *ctx);
static uint64_t count_responses(const char *address, const char *path,
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
        MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_request, NULL,
        MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned int)atoi(argv[4]), MHD_OPTION_END);
    if (d == NULL) {
        fprintf(stderr, "lookup-rate: cannot listen on %s\n", argv[2]);
        return 1;
    }
    uint64_t lookups = 0, empty_responses = 0;
    /* Alternate, so that drift of the machine affects both. */
    for (uint32_t i = 0; i < 2; i++) {
        empty_responses += count_responses(argv[2], "/", seconds, 3);
        lookups += count_responses(argv[1], "/lookup?kind=read", seconds, 3);
    }
    printf("lookups_per_s %llu empty_handler_per_s %llu ratio %.2f\n",
           (unsigned long long)(lookups / 2 / seconds),
           (unsigned long long)(empty_responses / 2 / seconds),
           (double)lookups / (double)empty_responses);
    MHD_stop_daemon(d);
    return 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *conn, const char *url,
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

/* Returns the number of responses that `threads` client threads receive in
 * `seconds`. */
static uint64_t
count_responses(const char *address, const char *path, uint32_t seconds,
                uint32_t threads)
{
    pthread_t thread_ids[MAX_THREADS];
    ClientThread clients[MAX_THREADS];
    uint64_t responses = 0;
    for (uint32_t i = 0; i < threads; i++) {
        clients[i] = (ClientThread){address, path, seconds, 0};
        pthread_create(&thread_ids[i], NULL, run_client, &clients[i]);
    }
    for (uint32_t i = 0; i < threads; i++) {
        pthread_join(thread_ids[i], NULL);
        responses += clients[i].response_count;
    }
    return responses;
}

/* Peeks at the first response until it is complete; returns its size. Ends the
 * process unless its status is 200. */
static uint32_t
peek_response_bytes(int32_t fd)
{
    char buf[4096] = {0};
    for (;;) {
        ssize_t n = recv(fd, buf, sizeof(buf) - 1, MSG_PEEK);
        buf[n > 0 ? n : 0] = '\0';
        const char *head_end = strstr(buf, "\r\n\r\n");
        const char *length = strstr(buf, "Content-Length: ");
        if (n <= 0 || strncmp(buf, "HTTP/1.1 200", 12) != 0) {
            fprintf(stderr,
                    "lookup-rate: expected a response with status 200\n");
            exit(1);
        }
        if (head_end != NULL && length != NULL) {
            uint32_t response_bytes =
                (uint32_t)(head_end + 4 - buf) + (uint32_t)atoi(length + 16);
            if ((uint32_t)n >= response_bytes) {
                return response_bytes;
            }
        }
    }
}

/* Thread function: keeps one request in flight on each connection. Only the
 * first response is parsed; all others have the same size. */
static void *
run_client(void *ctx)
{
    ClientThread *client = ctx;
    char request[256], buf[4096];
    struct sockaddr_storage sa;
    uint32_t address_bytes = CpAddress_Parse(client->address, &sa);
    int32_t epoll_fd = epoll_create1(0), one = 1, fds[CONNECTIONS_PER_THREAD];
    int32_t request_bytes =
        snprintf(request, sizeof(request),
                 "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", client->path);
    for (uint32_t i = 0; i < CONNECTIONS_PER_THREAD; i++) {
        fds[i] = socket(sa.ss_family, SOCK_STREAM, 0);
        if (connect(fds[i], (struct sockaddr *)&sa, address_bytes) != 0) {
            fprintf(stderr, "lookup-rate: cannot connect\n");
            exit(1);
        }
        setsockopt(fds[i], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        struct epoll_event ev = {.events = EPOLLIN, .data.u32 = i};
        epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fds[i], &ev);
        if (send(fds[i], request, (size_t)request_bytes, 0) != request_bytes) {
            exit(1);
        }
    }
    uint32_t response_bytes = peek_response_bytes(fds[0]),
             received_bytes[CONNECTIONS_PER_THREAD] = {0};
    int64_t end_ns = CpClock_Now_ns() + client->seconds * CP_NS_PER_S;
    while (CpClock_Now_ns() < end_ns) {
        struct epoll_event events[CONNECTIONS_PER_THREAD];
        int32_t event_count =
            epoll_wait(epoll_fd, events, CONNECTIONS_PER_THREAD, 100);
        for (int32_t i = 0; i < event_count; i++) {
            uint32_t c = events[i].data.u32;
            ssize_t received = recv(fds[c], buf, sizeof(buf), 0);
            if (received <= 0) {
                fprintf(stderr, "lookup-rate: %s: connection lost\n",
                        client->address);
                exit(1);
            }
            received_bytes[c] += (uint32_t)received;
            if (received_bytes[c] < response_bytes) {
                continue;
            }
            received_bytes[c] = 0;
            client->response_count++;
            if (send(fds[c], request, (size_t)request_bytes, 0) !=
                request_bytes) {
                exit(1);
            }
        }
    }
    for (uint32_t i = 0; i < CONNECTIONS_PER_THREAD; i++) {
        close(fds[i]);
    }
    close(epoll_fd);
    return NULL;
}
