/* Runs lines of scripts of http with the client of backend servers, and a
 * server in this process. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/http.h"
#include "regress.h"
#include "server.h"

#define LAST "last" /* request that is sent before the joined ones */

typedef struct {
    CpBackend *client;
    CpTestServer *server;
    pthread_mutex_t lock; /* guards the ends of calls */
    pthread_cond_t changed;
} Script;

/* One call. */
typedef struct {
    CpExchange *ex;
    const CpTestAnswer *answer;
    CpBackendResult result;
    bool has_ended;
    uint64_t body_bytes;
    bool is_right;
} Call;

static Script *script; /* NULL: no line was run */

static void start(void);
static void send_call(Call *c, const CpTestAnswer *a, bool idempotent);
static void on_done(void *ctx, CpExchange *ex, const CpBackendResult *result);
static void receive(Call *c);
static void print_call(FILE *out, Call *c);
static void join(FILE *out, const char *first, const char *second,
                 uint32_t body_bytes);

/* call NAME BYTES: a call and its response. join NAME1 NAME2 BYTES: two calls
 * that are begun in one step, on the connection of the call before; the whole
 * response to the first comes within this step. */
bool
CpDriveBackend_RunLine(FILE *out, const char *line)
{
    char name[16], second[16];
    uint32_t n;
    Call c;
    if (sscanf(line, "call %15s %u", name, &n) == 2) {
        start();
        send_call(&c, CpTestServer_Add(script->server, name, "length", n),
                  true);
        print_call(out, &c);
        return true;
    }
    if (sscanf(line, "join %15s %15s %u", name, second, &n) == 3) {
        start();
        join(out, name, second, n);
        return true;
    }
    return false;
}

static void
start(void)
{
    const CpTestServerOptions server_options = {.id_header =
                                                    CP_HEADER_REQUEST_ID,
                                                .lines = "",
                                                .names_in_target = true};
    if (script != NULL) {
        return;
    }
    script = CpMem_Alloc(sizeof(*script));
    const CpBackendOptions options = {.threads = 1,
                                      .source_address = "127.0.0.1:1",
                                      .on_done = on_done,
                                      .ctx = script};
    pthread_mutex_init(&script->lock, NULL);
    pthread_cond_init(&script->changed, NULL);
    script->server = CpTestServer_Start(&server_options);
    if (CpBackend_New(&options, &script->client) != CP_OK ||
        CpBackend_Start(script->client) != CP_OK) {
        abort();
    }
}

/* One that is not idempotent gets a connection of its own. */
static void
send_call(Call *c, const CpTestAnswer *a, bool idempotent)
{
    CpExchange *ex = CpExchange_New();
    *c = (Call){.ex = ex, .answer = a, .is_right = true};
    ex->idempotent = idempotent;
    ex->deadline_ns = ex->started_ns + CP_TEST_WAIT_MS * CP_NS_PER_MS;
    ex->item.slot_expires_ns = ex->deadline_ns;
    ex->pool = c;
    CpStr_Copy(ex->method, sizeof(ex->method), "GET");
    snprintf(ex->target, sizeof(ex->target), "/%s", a->name);
    CpBackend_Send(script->client, ex, script->server->address);
}

static void
on_done(void *ctx, CpExchange *ex, const CpBackendResult *result)
{
    Script *s = ctx;
    Call *c = ex->pool;
    if (result->outcome != CP_OUTCOME_OK) {
        CpPipe_End(ex->response_body, CP_PIPE_BROKEN);
    }
    pthread_mutex_lock(&s->lock);
    c->result = *result;
    c->has_ended = true;
    pthread_cond_broadcast(&s->changed);
    pthread_mutex_unlock(&s->lock);
}

/* Receives a response to its end. */
static void
receive(Call *c)
{
    char data[4096];
    CpPipeState state = CP_PIPE_OPEN;
    for (uint32_t ms = 0; state == CP_PIPE_OPEN && ms < CP_TEST_WAIT_MS;) {
        uint32_t n =
            CpPipe_Read(c->ex->response_body, data, sizeof(data), &state);
        c->is_right &= CpTestServer_IsBody(data, n, c->body_bytes);
        c->body_bytes += n;
        if (n == 0 && state == CP_PIPE_OPEN) {
            usleep(1000);
            ms++;
        }
        else if (n > 0) {
            state = CP_PIPE_OPEN;
        }
    }
    pthread_mutex_lock(&script->lock);
    while (!c->has_ended) {
        pthread_cond_wait(&script->changed, &script->lock);
    }
    pthread_mutex_unlock(&script->lock);
}

static void
print_call(FILE *out, Call *c)
{
    const CpTestAnswer *a = c->answer;
    receive(c);
    pthread_mutex_lock(&script->server->lock);
    fprintf(out,
            "%s: %s, %llu bytes%s%s; server: %u run, connection %u, "
            "request %u\n",
            a->name, CpReason_Name(c->result.reason),
            (unsigned long long)c->body_bytes, c->is_right ? "" : " (others)",
            c->body_bytes == a->body_bytes ? ", whole" : "", a->runs,
            a->connection, a->request);
    pthread_mutex_unlock(&script->server->lock);
    CpExchange_Release(c->ex);
}

/* The client's thread is held in another call while both are queued. */
static void
join(FILE *out, const char *first, const char *second, uint32_t body_bytes)
{
    CpTestServer *server = script->server;
    CpTestAnswer *last = CpTestServer_Add(server, LAST, LAST, 1);
    Call before, a, b;
    pthread_mutex_lock(&server->lock);
    last->waits = true;
    CpTestServer_Hold(server, true);
    send_call(&before, last, false);
    while (last->runs == 0) {
        pthread_cond_wait(&server->changed, &server->lock);
    }
    pthread_mutex_unlock(&server->lock);
    send_call(&a, CpTestServer_Add(server, first, "length", 100), true);
    send_call(&b, CpTestServer_Add(server, second, "length", body_bytes),
              true);
    pthread_mutex_lock(&server->lock);
    last->waits = false;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->lock);
    receive(&before);
    CpExchange_Release(before.ex);
    print_call(out, &a);
    print_call(out, &b);
    CpTestServer_Hold(server, false);
}
