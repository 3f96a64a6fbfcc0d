/* Large answers without a length, through hosts whose processors are shared
 * out by an allowance. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

#define SMALL_BYTES 600
#define LARGE_BYTES 400000
#define CLIENTS 50 /* at each host */
#define SERVERS 12
#define THINK_MS 100 /* at most, between two requests of a client */
#define LOAD_S 60
#define WORK_S 0.06
#define PERIOD_S 0.1
#define SHARE 0.14 /* of a core */

static const char *const hosts[] = {"127.31.1.1", "127.31.1.2", "127.31.2.1",
                                    "127.31.3.1"};
static const char *const pids[] = {"PID_na_1", "PID_na_2", "PID_nb_1",
                                   "PID_wa_1"};
#define HOSTS 4
static double end_s;
static uint32_t counter, whole, broken_off, refused, other, wrong, ended;

static bool
handle(LabServer *s, LabConn *c, const LabHead *h)
{
    char id[80] = "", head[512];
    char *body = malloc(LARGE_BYTES);
    bool large = strncmp(h->path, "/down/", 6) == 0;
    size_t n = large ? LARGE_BYTES : SMALL_BYTES;
    lab_header(h, "Chestnutpaddle-Attempt-Id", id, sizeof(id));
    if (lab_read_body(c, h, NULL, 0) < 0) {
        free(body);
        return false;
    }
    lab_sleep(WORK_S);
    lab_fill(id, body, n);
    int k = snprintf(head, sizeof(head),
                     "HTTP/1.1 200 OK\r\nChestnutpaddle-Attempt-Id: %s\r\n"
                     "Chestnutpaddle-Response-Seal: seal-%s\r\n",
                     id, id);
    k += large ? snprintf(head + k, sizeof(head) - (size_t)k,
                          "Connection: close\r\n\r\n")
               : snprintf(head + k, sizeof(head) - (size_t)k,
                          "Content-Length: %zu\r\n\r\n", n);
    bool sent = lab_send(c->fd, head, (size_t)k) && lab_send(c->fd, body, n);
    lab_record("server %s ran %s: %zu bytes%s, %s", s->instance, id, n,
               large ? " without a length" : "",
               sent ? "all sent" : "the connection ended");
    free(body);
    if (large) { /* the body ends with the connection */
        lab_fin(c->fd);
        c->fd = -1;
    }
    return sent && !large;
}

static void
run_client(void *ctx)
{
    const char *host = ctx;
    LabConn *c = calloc(1, sizeof(*c));
    LabHead *h = calloc(1, sizeof(*h));
    char *body = malloc(LARGE_BYTES), *want = malloc(LARGE_BYTES);
    char request[512], id[80], seal[80];
    c->fd = -1;
    while (lab_now() < end_s) {
        lab_sleep(lab_random(THINK_MS) / 1000.0);
        uint32_t k = __atomic_add_fetch(&counter, 1, __ATOMIC_RELAXED);
        bool large = k % 2 == 0;
        size_t n = large ? LARGE_BYTES : SMALL_BYTES;
        if (c->fd < 0) {
            c->used = 0;
            c->fd = lab_connect(NULL, host, 7000, 4000);
            if (c->fd < 0) {
                lab_sleep(0.05);
                continue;
            }
        }
        snprintf(id, sizeof(id), "c%u", k);
        int m = snprintf(
            request, sizeof(request),
            "GET /%s/%s HTTP/1.1\r\nHost: a.example\r\n"
            "Chestnutpaddle-Attempt-Id: %s\r\nChestnutpaddle-Timeout-Ms: "
            "3000\r\nCookie: Chestnutpaddle-Affinity-Key=%u\r\n\r\n",
            large ? "down" : "read", id, id, lab_random(20));
        if (!lab_send(c->fd, request, (size_t)m) || !lab_read_head(c, h)) {
            lab_record("client %s: no answer", id);
            __atomic_add_fetch(&broken_off, 1, __ATOMIC_RELAXED);
            close(c->fd);
            c->fd = -1;
            continue;
        }
        ssize_t got = lab_read_body(c, h, body, LARGE_BYTES);
        lab_fill(id, want, n);
        if (got < 0) {
            lab_record("client %s: status %d, the body breaks off", id,
                       h->status);
            __atomic_add_fetch(&broken_off, 1, __ATOMIC_RELAXED);
            close(c->fd);
            c->fd = -1;
        }
        else if (h->status == 503) {
            lab_record("client %s: status 503", id);
            __atomic_add_fetch(&refused, 1, __ATOMIC_RELAXED);
            lab_sleep(0.05);
        }
        else if (h->status != 200) {
            lab_record("client %s: status %d", id, h->status);
            __atomic_add_fetch(&other, 1, __ATOMIC_RELAXED);
        }
        else if ((size_t)got != n || memcmp(body, want, n) != 0 ||
                 !lab_header(h, "Chestnutpaddle-Response-Seal", seal,
                             sizeof(seal))) {
            lab_record("client %s: WRONG: status 200, sealed, complete, but "
                       "%zd bytes of %zu",
                       id, got, n);
            __atomic_add_fetch(&wrong, 1, __ATOMIC_RELAXED);
        }
        else {
            lab_record("client %s: status 200, whole", id);
            __atomic_add_fetch(&whole, 1, __ATOMIC_RELAXED);
        }
        if (c->fd >= 0 && lab_header(h, "Connection", seal, sizeof(seal)) &&
            strcmp(seal, "close") == 0) {
            close(c->fd);
            c->fd = -1;
        }
    }
    __atomic_add_fetch(&ended, 1, __ATOMIC_RELAXED);
}

/* The processor runs at full speed until the allowance is used up, and then
 * not at all for the rest of that tenth of a second. */
static void
run_allowance(void *ctx)
{
    pid_t pid = (pid_t)atoi(ctx);
    while (lab_now() < end_s) {
        double start = lab_now();
        lab_sleep(PERIOD_S * SHARE);
        kill(pid, SIGSTOP);
        lab_sleep(start + PERIOD_S - lab_now());
        kill(pid, SIGCONT);
    }
}

int
main(void)
{
    char r[2][1024], s[512], all[4096];
    static LabServer servers[SERVERS];
    static char names[SERVERS][8], ips[SERVERS][16];
    static const char *const zones[] = {"na", "nb", "wa"};
    while (lab_get_status("127.31.0.1", 7900, "/control") == 0) {
        if (lab_now() > 5) {
            return 2;
        }
        lab_sleep(0.05);
    }
    for (int i = 0; i < SERVERS; i++) {
        snprintf(names[i], sizeof(names[i]), "i-%d", i + 1);
        snprintf(ips[i], sizeof(ips[i]), "127.32.%d.%d", i % 3 + 1, i / 3 + 1);
        servers[i] =
            (LabServer){names[i], ips[i], zones[i % 3], "s1", handle, 24, -1};
        lab_serve(&servers[i]);
        lab_put_server(&servers[i], "ready", 1, 1796600000000);
    }
    snprintf(all, sizeof(all), "%s%s%s",
             lab_route("read", "/read/", "idempotent", 3000, "s1", r[0]),
             lab_route("down", "/down/", "download", 3000, "s1", r[1]),
             lab_service("s1", s));
    lab_put_config(5, all);
    for (int i = 0; i < HOSTS; i++) {
        if (!lab_wait_ready(hosts[i], 15)) {
            return 2;
        }
    }
    lab_sleep(2);
    end_s = lab_now() + LOAD_S;
    for (int i = 0; i < HOSTS; i++) {
        for (int k = 0; k < CLIENTS; k++) {
            lab_start(run_client, (void *)hosts[i]);
        }
        if (lab_trouble()) {
            lab_start(run_allowance, getenv(pids[i]));
        }
    }
    while (__atomic_load_n(&ended, __ATOMIC_RELAXED) < HOSTS * CLIENTS &&
           lab_now() < end_s + 10) {
        lab_sleep(0.1);
    }
    lab_record("whole %u, broken off %u, refused %u, other %u, WRONG %u",
               whole, broken_off, refused, other, wrong);
    printf("whole %u, broken off %u, refused %u, other %u, wrong %u\n", whole,
           broken_off, refused, other, wrong);
    if (whole < 500) {
        return 2;
    }
    return wrong > 0 ? 1 : 0;
}
