/*
 * Stand-in of callers that use resources without bound. Arguments: options and
 * the address of a host. Opens --count connections at once, sends a request on
 * each, most of them without its end, and keeps the connections open until
 * the time is over or a signal arrives. Whatever the host sends is dropped,
 * except by callers of the kind "reader", which read nothing.
 *
 * Kinds: length and pieces (a body with a length, without its last byte, in
 * large or small writes), chunks and tiny (chunks of 64 KB or of one byte,
 * without the last chunk), announced (a length far over the limit), sent (the
 * same size in chunks), silent (nothing), head (a head without its end) and
 * reader (a whole request without a body).
 *
 * Prints "settled" when every connection has sent all that it sends, was
 * closed, or makes no progress any more.
 */
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define CHUNK_BYTES (64 * 1024)
#define TINY_CHUNKS (16 * 1024) /* of one byte, in a block */
#define PIECE_BYTES 4096
#define FAR_OVER_BYTES (UINT64_C(1) << 40)
#define SETTLE_MS 1500 /* without progress of any connection */
#define POLL_MS 20
#define READER_RECEIVE_BYTES 4096

typedef enum {
    KIND_LENGTH = 0,
    KIND_PIECES,
    KIND_CHUNKS,
    KIND_TINY,
    KIND_ANNOUNCED,
    KIND_SENT,
    KIND_SILENT,
    KIND_HEAD,
    KIND_READER,
    KIND_COUNT
} Kind;

/* What a connection sends: a head, then blocks. */
typedef struct {
    GString *head;
    const GString *block;
    uint64_t total_bytes;
    uint64_t sent_bytes;
} Stream;

static const char *const kind_names[KIND_COUNT] = {
    "length", "pieces", "chunks", "tiny",  "announced",
    "sent",   "silent", "head",   "reader"};

static gint count = 10, body_kb = 1024, duration_s = 30;
static gchar *kind_name = "length", *target = "/";
static gchar **addresses;
static const GOptionEntry options[] = {
    {"kind", 0, 0, G_OPTION_ARG_STRING, &kind_name, "Kind of caller", "KIND"},
    {"count", 0, 0, G_OPTION_ARG_INT, &count, "Connections", "N"},
    {"kb", 0, 0, G_OPTION_ARG_INT, &body_kb, "Size of a body or head", "N"},
    {"target", 0, 0, G_OPTION_ARG_STRING, &target, "Path and query", "TEXT"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &duration_s, "Duration", "S"},
    {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &addresses, NULL,
     NULL},
    {0}};

static Kind parse_kind(void);
static GString *create_block(Kind kind);
static void begin_stream(Stream *s, Kind kind, uint32_t index,
                         const GString *block);
static int32_t open_connection(Kind kind);
static bool send_some(Stream *s, int32_t fd, size_t max_bytes);
static bool drop_received(int32_t fd);

int
main(int argc, char **argv)
{
    CpStandin_ParseOptions(argc, argv, options, &addresses);
    signal(SIGPIPE, SIG_IGN);
    Kind kind = parse_kind();
    size_t n = (size_t)count;
    size_t max_bytes = kind == KIND_PIECES ? PIECE_BYTES : CHUNK_BYTES;
    GString *block = create_block(kind);
    Stream *streams = CpMem_Alloc(n * sizeof(*streams));
    struct pollfd *fds = CpMem_Alloc(n * sizeof(*fds));
    for (size_t i = 0; i < n; i++) {
        begin_stream(&streams[i], kind, (uint32_t)i, block);
        fds[i].fd = open_connection(kind);
    }
    int64_t start_ns = CpClock_Now_ns(), progress_ns = start_ns;
    bool settled = false;
    while (CpClock_Now_ns() - start_ns < duration_s * CP_NS_PER_S) {
        size_t unsent = 0;
        for (size_t i = 0; i < n; i++) {
            bool sends = streams[i].sent_bytes < streams[i].total_bytes;
            unsent += sends && fds[i].fd >= 0;
            fds[i].events = (short)((sends ? POLLOUT : 0) |
                                    (kind != KIND_READER ? POLLIN : 0));
        }
        int64_t now_ns = CpClock_Now_ns();
        if (!settled &&
            (unsent == 0 || now_ns - progress_ns > SETTLE_MS * CP_NS_PER_MS)) {
            settled = true;
            printf("settled\n");
            fflush(stdout);
        }
        poll(fds, n, POLL_MS);
        for (size_t i = 0; i < n; i++) {
            bool open = true;
            if (fds[i].fd >= 0 && (fds[i].revents & POLLOUT) != 0) {
                uint64_t before = streams[i].sent_bytes;
                open = send_some(&streams[i], fds[i].fd, max_bytes);
                if (streams[i].sent_bytes > before) {
                    progress_ns = now_ns;
                }
            }
            if (open && fds[i].fd >= 0 && kind != KIND_READER &&
                (fds[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                open = drop_received(fds[i].fd);
            }
            if (!open) {
                close(fds[i].fd);
                fds[i].fd = -1;
            }
        }
        if (kind == KIND_PIECES) {
            CpStandin_Sleep_ms(1);
        }
    }
    return 0;
}

static Kind
parse_kind(void)
{
    for (uint32_t i = 0; i < KIND_COUNT; i++) {
        if (strcmp(kind_name, kind_names[i]) == 0) {
            return (Kind)i;
        }
    }
    fprintf(stderr, "standin-crowd: unknown kind %s\n", kind_name);
    exit(2);
}

/* Returns the part of a body that is repeated. */
static GString *
create_block(Kind kind)
{
    GString *block = g_string_new(NULL);
    if (kind == KIND_TINY) {
        for (uint32_t i = 0; i < TINY_CHUNKS; i++) {
            g_string_append(block, "1\r\nx\r\n");
        }
        return block;
    }
    bool in_chunks = kind == KIND_CHUNKS || kind == KIND_SENT;
    if (in_chunks) {
        g_string_append_printf(block, "%x\r\n", CHUNK_BYTES);
    }
    for (uint32_t i = 0; i < CHUNK_BYTES; i++) {
        g_string_append_c(block, 'x');
    }
    if (in_chunks) {
        g_string_append(block, "\r\n");
    }
    return block;
}

static void
begin_stream(Stream *s, Kind kind, uint32_t index, const GString *block)
{
    uint64_t body_bytes = (uint64_t)body_kb * 1024;
    uint64_t payload_bytes = kind == KIND_TINY ? TINY_CHUNKS : CHUNK_BYTES;
    s->block = block;
    s->head = g_string_new(NULL);
    g_string_printf(s->head,
                    "%s %s HTTP/1.1\r\nHost: a.example\r\n"
                    "Chestnutpaddle-Attempt-Id: crowd-%d-%u\r\n"
                    "Chestnutpaddle-Timeout-Ms: 20000\r\n",
                    kind == KIND_READER ? "GET" : "POST", target,
                    (int)getpid(), index);
    if (kind == KIND_SILENT || kind == KIND_HEAD) {
        while (s->head->len < body_bytes) {
            g_string_append(s->head, "X-Padding: xxxxxxxxxxxxxxxxxxxx\r\n");
        }
        s->total_bytes = kind == KIND_HEAD ? s->head->len : 0;
        return;
    }
    if (kind == KIND_LENGTH || kind == KIND_PIECES || kind == KIND_ANNOUNCED) {
        uint64_t length =
            kind == KIND_ANNOUNCED ? FAR_OVER_BYTES : body_bytes + 1;
        g_string_append_printf(s->head, "Content-Length: %llu\r\n",
                               (unsigned long long)length);
    }
    else if (kind != KIND_READER) {
        g_string_append(s->head, "Transfer-Encoding: chunked\r\n");
    }
    g_string_append(s->head, "\r\n");
    s->total_bytes = s->head->len;
    if (kind != KIND_READER) {
        s->total_bytes += body_bytes / payload_bytes * block->len;
    }
}

static int32_t
open_connection(Kind kind)
{
    struct sockaddr_storage sa;
    int32_t received_bytes = READER_RECEIVE_BYTES;
    uint32_t n = CpAddress_Parse(addresses[0], &sa);
    int32_t fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (kind == KIND_READER) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &received_bytes,
                   sizeof(received_bytes));
    }
    if (n == 0 || fd < 0 ||
        (connect(fd, (struct sockaddr *)&sa, n) != 0 &&
         errno != EINPROGRESS)) {
        fprintf(stderr, "standin-crowd: cannot connect to %s\n", addresses[0]);
        exit(2);
    }
    return fd;
}

/* Returns false if the connection was closed. */
static bool
send_some(Stream *s, int32_t fd, size_t max_bytes)
{
    const char *data;
    size_t n;
    if (s->sent_bytes < s->head->len) {
        data = s->head->str + s->sent_bytes;
        n = s->head->len - s->sent_bytes;
    }
    else {
        size_t at = (size_t)((s->sent_bytes - s->head->len) % s->block->len);
        data = s->block->str + at;
        n = s->block->len - at;
    }
    ssize_t sent = send(fd, data, n < max_bytes ? n : max_bytes, MSG_NOSIGNAL);
    if (sent > 0) {
        s->sent_bytes += (uint64_t)sent;
    }
    return sent >= 0 || errno == EAGAIN;
}

/* Returns false if the connection was closed. */
static bool
drop_received(int32_t fd)
{
    char data[4096];
    ssize_t n = recv(fd, data, sizeof(data), 0);
    return n > 0 || (n < 0 && errno == EAGAIN);
}
