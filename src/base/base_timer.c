/* The timer service: one thread that waits on a condition variable. */
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "base/base.h"

#define MAX_SUBSCRIPTIONS 32
#define MAX_WAIT_MS 1000

typedef struct {
    CpTimerFn fn;
    void *ctx;
    int64_t period_ns;
    int64_t due_ns;
} Subscription;

struct CpTimer {
    pthread_mutex_t lock; /* guards `stopping` */
    pthread_cond_t wake;
    pthread_t thread;
    bool running;
    bool stopping;
    uint32_t count;
    Subscription subs[MAX_SUBSCRIPTIONS];
};

static void *timer_thread(void *ctx);
static int64_t run_due(CpTimer *t, int64_t now_ns);

CpTimer *
CpTimer_New(void)
{
    CpTimer *t = CpMem_Alloc(sizeof(*t));
    pthread_mutex_init(&t->lock, NULL);
    CpCond_Init(&t->wake);
    return t;
}

void
CpTimer_Subscribe(CpTimer *t, uint32_t period_ms, CpTimerFn fn, void *ctx)
{
    if (t->count == MAX_SUBSCRIPTIONS) {
        CpLog(CP_LOG_ERR, "timer: more than %d subscriptions",
              MAX_SUBSCRIPTIONS);
        abort();
    }
    t->subs[t->count++] = (Subscription){
        .fn = fn, .ctx = ctx, .period_ns = period_ms * CP_NS_PER_MS};
}

CpStatus
CpTimer_Start(CpTimer *t)
{
    if (pthread_create(&t->thread, NULL, timer_thread, t) != 0) {
        return CpError_Set(CP_ERR_IO, "timer: cannot start a thread");
    }
    t->running = true;
    return CP_OK;
}

void
CpTimer_Free(CpTimer *t)
{
    pthread_mutex_lock(&t->lock);
    t->stopping = true;
    pthread_cond_signal(&t->wake);
    pthread_mutex_unlock(&t->lock);
    if (t->running) {
        pthread_join(t->thread, NULL);
    }
    pthread_cond_destroy(&t->wake);
    pthread_mutex_destroy(&t->lock);
    free(t);
}

static void *
timer_thread(void *ctx)
{
    CpTimer *t = ctx;
    pthread_mutex_lock(&t->lock);
    while (!t->stopping) {
        pthread_mutex_unlock(&t->lock);
        int64_t due_ns = run_due(t, CpClock_Now_ns());
        pthread_mutex_lock(&t->lock);
        if (!t->stopping) {
            CpCond_Wait_ns(&t->wake, &t->lock, due_ns - CpClock_Now_ns());
        }
    }
    pthread_mutex_unlock(&t->lock);
    return NULL;
}

/* Calls the subscribers that are due and returns the next due time. */
static int64_t
run_due(CpTimer *t, int64_t now_ns)
{
    int64_t next_ns = now_ns + MAX_WAIT_MS * CP_NS_PER_MS;
    for (uint32_t i = 0; i < t->count; i++) {
        Subscription *s = &t->subs[i];
        if (s->due_ns <= now_ns) {
            s->fn(s->ctx, now_ns);
            s->due_ns = now_ns + s->period_ns;
        }
        if (s->due_ns < next_ns) {
            next_ns = s->due_ns;
        }
    }
    return next_ns;
}
