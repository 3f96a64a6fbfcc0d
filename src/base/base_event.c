/* The buffer of log lines, its writer thread and the rate limits. */
#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event.h"

#define BUFFER_BYTES (256 * 1024) /* one second at all rate limits */
#define LINE_MAX_BYTES 1024       /* longer lines are dropped and counted */
#define FLUSH_MS 200 /* lines are collected this long for one write */

typedef struct {
    const char *name;
    uint32_t rate_per_s; /* lines per second, and the burst */
} KindInfo;

/* Normal load stays far below these limits; they bound the log volume of an
 * overload. */
static const KindInfo kinds[CP_EVENT_KIND_COUNT] = {
    [CP_EVENT_PROCESS] = {"process", 20},
    [CP_EVENT_DEPENDENCY] = {"dependency", 20},
    [CP_EVENT_STATE] = {"belief", 200},
    [CP_EVENT_SERVER] = {"server", 50},
    [CP_EVENT_ATTEMPT] = {"attempt", 100},
    [CP_EVENT_RETRY] = {"retry", 50},
    [CP_EVENT_REFUSED] = {"refused", 100},
    [CP_EVENT_DENIED] = {"denied", 50},
    [CP_EVENT_FAILED] = {"failed", 100},
    [CP_EVENT_ANSWERED] = {"answered", 100},
};

static struct {
    pthread_mutex_t lock; /* guards the fields below */
    pthread_cond_t wake;
    pthread_t thread;
    bool open;
    bool stopping;
    char host[CP_NAME_BYTES];
    int32_t fd;
    char *buffer;
    uint32_t used_bytes;
    struct {
        int64_t second;
        uint32_t lines;
        uint64_t dropped;
    } rates[CP_EVENT_KIND_COUNT];
} log_state = {.lock = PTHREAD_MUTEX_INITIALIZER,
               .wake = PTHREAD_COND_INITIALIZER,
               .fd = -1};

static void *writer_thread(void *ctx);
static void write_all(int32_t fd, const char *data, uint32_t size_bytes);
static bool admit_line(CpEventKind kind, int64_t now_ns);

CpStatus
CpEvent_Open(const CpEventOptions *options)
{
    pthread_mutex_lock(&log_state.lock);
    CpStr_Copy(log_state.host, sizeof(log_state.host), options->host);
    log_state.fd = options->fd;
    log_state.buffer = CpMem_Alloc(BUFFER_BYTES);
    log_state.used_bytes = 0;
    log_state.stopping = false;
    log_state.open =
        pthread_create(&log_state.thread, NULL, writer_thread, NULL) == 0;
    bool open = log_state.open;
    pthread_mutex_unlock(&log_state.lock);
    return open ? CP_OK : CpError_Set(CP_ERR_IO, "log: cannot start a thread");
}

void
CpEvent_Close(void)
{
    pthread_mutex_lock(&log_state.lock);
    bool open = log_state.open;
    log_state.open = false;
    log_state.stopping = true;
    pthread_cond_signal(&log_state.wake);
    pthread_mutex_unlock(&log_state.lock);
    if (open) {
        pthread_join(log_state.thread, NULL);
        free(log_state.buffer);
        log_state.buffer = NULL;
    }
}

void
CpEvent(CpEventKind kind, const char *what, const char *fmt, ...)
{
    char line[LINE_MAX_BYTES], object_fmt[256];
    va_list ap;
    int64_t now_ns = CpClock_Now_ns();
    pthread_mutex_lock(&log_state.lock);
    bool admitted = log_state.open && admit_line(kind, now_ns);
    pthread_mutex_unlock(&log_state.lock);
    if (!admitted) {
        return;
    }
    snprintf(object_fmt, sizeof(object_fmt), "{%s}", fmt);
    va_start(ap, fmt);
    json_t *fields = json_vpack_ex(NULL, 0, object_fmt, ap);
    va_end(ap);
    json_t *object = json_pack(
        "{s:I,s:s,s:s,s:s}", "t_ms", (json_int_t)CpClock_Wall_ms(), "host",
        log_state.host, "kind", kinds[kind].name, "what", what);
    if (fields != NULL) {
        json_object_update(object, fields);
    }
    size_t n = json_dumpb(object, line, sizeof(line) - 1, JSON_COMPACT);
    json_decref(fields);
    json_decref(object);
    pthread_mutex_lock(&log_state.lock);
    if (n == 0 || n >= sizeof(line) || !log_state.open ||
        log_state.used_bytes + n + 1 > BUFFER_BYTES) {
        log_state.rates[kind].dropped++;
    }
    else {
        line[n++] = '\n';
        memcpy(log_state.buffer + log_state.used_bytes, line, n);
        if (log_state.used_bytes == 0) {
            pthread_cond_signal(&log_state.wake);
        }
        log_state.used_bytes += (uint32_t)n;
    }
    pthread_mutex_unlock(&log_state.lock);
}

const char *
CpEventKind_Name(CpEventKind kind)
{
    return kinds[kind].name;
}

uint64_t
CpEvent_Dropped(CpEventKind kind)
{
    pthread_mutex_lock(&log_state.lock);
    uint64_t n = log_state.rates[kind].dropped;
    pthread_mutex_unlock(&log_state.lock);
    return n;
}

static void *
writer_thread(void *ctx)
{
    char *batch = CpMem_Alloc(BUFFER_BYTES);
    bool stopping = false;
    (void)ctx;
    while (!stopping) {
        pthread_mutex_lock(&log_state.lock);
        while (log_state.used_bytes == 0 && !log_state.stopping) {
            pthread_cond_wait(&log_state.wake, &log_state.lock);
        }
        stopping = log_state.stopping;
        pthread_mutex_unlock(&log_state.lock);
        if (!stopping) {
            CpSleep_ms(FLUSH_MS);
        }
        pthread_mutex_lock(&log_state.lock);
        uint32_t n = log_state.used_bytes;
        int32_t fd = log_state.fd;
        memcpy(batch, log_state.buffer, n);
        log_state.used_bytes = 0;
        pthread_mutex_unlock(&log_state.lock);
        write_all(fd, batch, n);
    }
    free(batch);
    return NULL;
}

/* If the output fails, the rest is lost: there is nowhere to report it. */
static void
write_all(int32_t fd, const char *data, uint32_t size_bytes)
{
    while (fd >= 0 && size_bytes > 0) {
        ssize_t n = write(fd, data, size_bytes);
        if (n < 0 && errno != EINTR) {
            return;
        }
        if (n > 0) {
            data += n;
            size_bytes -= (uint32_t)n;
        }
    }
}

static bool
admit_line(CpEventKind kind, int64_t now_ns)
{
    int64_t second = now_ns / CP_NS_PER_S;
    if (log_state.rates[kind].second != second) {
        log_state.rates[kind].second = second;
        log_state.rates[kind].lines = 0;
    }
    if (log_state.rates[kind].lines >= kinds[kind].rate_per_s) {
        log_state.rates[kind].dropped++;
        return false;
    }
    log_state.rates[kind].lines++;
    return true;
}
