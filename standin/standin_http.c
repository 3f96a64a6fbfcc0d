/* Small helpers around libmicrohttpd for the stand-ins. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin.h"

struct MHD_Daemon *
CpStandin_Listen(const char *address, MHD_AccessHandlerCallback fn, void *ctx,
                 MHD_RequestCompletedCallback completed)
{
    struct sockaddr_storage sa;
    if (CpAddress_Parse(address, &sa) == 0) {
        fprintf(stderr, "standin: bad address %s\n", address);
        exit(2);
    }
    struct MHD_Daemon *d = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC,
        0, NULL, NULL, fn, ctx, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)(128 * 1024),
        MHD_OPTION_CONNECTION_LIMIT, 4096u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_NOTIFY_COMPLETED, completed, ctx, MHD_OPTION_END);
    if (d == NULL) {
        fprintf(stderr, "standin: cannot listen on %s\n", address);
        exit(2);
    }
    return d;
}

enum MHD_Result
CpStandin_Answer(struct MHD_Connection *conn, uint32_t status, char *text)
{
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(r, "Content-Type", "application/json");
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

const char *
CpStandin_Text(struct MHD_Connection *conn, const char *name,
               const char *preset)
{
    const char *v =
        MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);
    return v != NULL ? v : preset;
}

uint64_t
CpStandin_Number(struct MHD_Connection *conn, const char *name,
                 uint64_t preset)
{
    const char *v = CpStandin_Text(conn, name, NULL);
    return v != NULL ? strtoull(v, NULL, 10) : preset;
}

const char *
CpStandin_Header(struct MHD_Connection *conn, const char *name)
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

/* Every 8 bytes hold a hash of the tag and their number. */
void
CpStandin_Fill(uint64_t tag, uint64_t offset, char *out, size_t n)
{
    for (size_t i = 0; i < n;) {
        uint64_t word = (offset + i) / 8, skip = (offset + i) % 8;
        uint64_t value = (word + 1) * UINT64_C(0x9e3779b97f4a7c15) ^
                         (tag + 1) * UINT64_C(0xc2b2ae3d27d4eb4f);
        size_t part = 8 - skip < n - i ? 8 - skip : n - i;
        memcpy(out + i, (const char *)&value + skip, part);
        i += part;
    }
}
