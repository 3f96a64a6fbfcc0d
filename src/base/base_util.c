/* Log lines, allocation, clocks, hashes, random numbers and atomics. */
#include <glib.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/base.h"

#define LOG_LINE_BYTES 1024

static char program_name[CP_NAME_BYTES] = "chestnutpaddle";

void
CpLog_Open(const char *program)
{
    CpStr_Copy(program_name, sizeof(program_name), program);
}

void
CpLog(CpLogLevel level, const char *fmt, ...)
{
    char line[LOG_LINE_BYTES], timestamp[32];
    struct tm tm;
    time_t t = time(NULL);
    va_list ap;
    gmtime_r(&t, &tm);
    strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%SZ", &tm);
    va_start(ap, fmt);
    vsnprintf(line, sizeof(line), fmt, ap);
    va_end(ap);
    fprintf(stderr, "<%d>%s %s[%d]: %s\n", (int)level, timestamp, program_name,
            (int)getpid(), line);
}

void *
CpMem_Alloc(size_t size_bytes)
{
    return g_malloc0(size_bytes);
}

void *
CpMem_Realloc(void *p, size_t size_bytes)
{
    return g_realloc(p, size_bytes);
}

char *
CpStr_Dup(const char *s)
{
    return g_strdup(s);
}

void
CpStr_Copy(char *dst, size_t dst_bytes, const char *src)
{
    g_strlcpy(dst, src, dst_bytes);
}

int64_t
CpClock_Now_ns(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return ts.tv_sec * CP_NS_PER_S + ts.tv_nsec;
}

void
CpCond_Init(pthread_cond_t *cond)
{
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(cond, &attr);
    pthread_condattr_destroy(&attr);
}

void
CpCond_Wait_ns(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t wait_ns)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    int64_t ns = until.tv_nsec + (wait_ns > 0 ? wait_ns : 0);
    until.tv_sec += ns / CP_NS_PER_S;
    until.tv_nsec = ns % CP_NS_PER_S;
    pthread_cond_timedwait(cond, lock, &until);
}

void
CpSleep_ms(uint32_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000,
                          .tv_nsec = ms % 1000 * CP_NS_PER_MS};
    nanosleep(&ts, NULL);
}

int64_t
CpClock_Wall_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / CP_NS_PER_MS;
}

uint64_t
CpHash(const void *data, size_t size_bytes, uint64_t seed)
{
    return XXH64(data, size_bytes, seed);
}

uint64_t
CpHash_Str(const char *s, uint64_t seed)
{
    return XXH64(s, strlen(s), seed);
}

uint64_t
CpRandom(void)
{
    uint64_t n;
    randombytes_buf(&n, sizeof(n));
    return n;
}

bool
CpRegion_IsHome(const char (*homes)[CP_NAME_BYTES], uint32_t count,
                const char *region)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(homes[i], region) == 0) {
            return true;
        }
    }
    return count == 0;
}

/* Compiler atomics rather than ck_pr: the thread sanitizer supports them. */
void
CpRef_Retain(uint32_t *refs)
{
    __atomic_add_fetch(refs, 1, __ATOMIC_RELAXED);
}

bool
CpRef_Release(uint32_t *refs)
{
    return __atomic_sub_fetch(refs, 1, __ATOMIC_ACQ_REL) == 0;
}

uint32_t
CpAtomic_Load(const uint32_t *p)
{
    return __atomic_load_n(p, __ATOMIC_ACQUIRE);
}

void
CpAtomic_Store(uint32_t *p, uint32_t value)
{
    __atomic_store_n(p, value, __ATOMIC_RELEASE);
}

bool
CpTableVersion_IsLater(const CpTableVersion *a, const CpTableVersion *b)
{
    return a->era > b->era || (a->era == b->era && a->version > b->version);
}
