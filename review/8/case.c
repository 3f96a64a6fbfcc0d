/* Requests that name many things in their query, each within the limits. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lab.h"

#define CLIENTS 8
#define REQUESTS 150 /* of each client */
#define FEWEST 900   /* parameters in a query: heads of about 4 KB of 16 */
#define SPREAD 100
#define MAX_HEAD_BYTES 16384 /* maxHeaderBytes */
#define BODY_BYTES 600

static const char *const hosts[] = {"127.31.1.1", "127.31.3.1"};
static pthread_mutex_t ran_lock = PTHREAD_MUTEX_INITIALIZER;
static bool ran[CLIENTS * REQUESTS + 1];
static uint32_t counter, answered, refused, unread, lost, ended;

static bool
handle(LabServer *s, LabConn *c, const LabHead *h)
{
    char id[80] = "", head[512], body[BODY_BYTES];
    lab_header(h, "Chestnutpaddle-Attempt-Id", id, sizeof(id));
    if (lab_read_body(c, h, NULL, 0) < 0) {
        return false;
    }
    pthread_mutex_lock(&ran_lock);
    ran[atoi(id + 1)] = true;
    pthread_mutex_unlock(&ran_lock);
    lab_sleep(0.02);
    lab_fill(id, body, BODY_BYTES);
    int k = snprintf(head, sizeof(head),
                     "HTTP/1.1 200 OK\r\nChestnutpaddle-Attempt-Id: %s\r\n"
                     "Chestnutpaddle-Response-Seal: 3e1b.07.5a2.600.0.%s\r\n"
                     "Chestnutpaddle-Server-Load: 1,0,24\r\n"
                     "Content-Length: %d\r\n\r\n",
                     id, id, BODY_BYTES);
    bool sent =
        lab_send(c->fd, head, (size_t)k) && lab_send(c->fd, body, BODY_BYTES);
    lab_record("server %s ran %s and %s", s->instance, id,
               sent ? "answered" : "could not answer");
    return sent;
}

/* Sends a request and reads its answer; returns the status, 0: the connection
 * ended without one. */
static int
ask(LabConn *c, const char *id, int parameters)
{
    char *text = malloc(MAX_HEAD_BYTES), body[BODY_BYTES];
    LabHead *h = calloc(1, sizeof(*h));
    int status = 0;
    int k = snprintf(text, MAX_HEAD_BYTES, "POST /pay/%s?p=0", id);
    for (int i = 1; i < parameters; i++) {
        k += snprintf(text + k, MAX_HEAD_BYTES - (size_t)k, "&p=%d", i % 10);
    }
    k += snprintf(text + k, MAX_HEAD_BYTES - (size_t)k,
                  " HTTP/1.1\r\nHost: a.example\r\n"
                  "Chestnutpaddle-Attempt-Id: %s\r\n"
                  "Cookie: Chestnutpaddle-Affinity-Key=17\r\n"
                  "Chestnutpaddle-Timeout-Ms: 4000\r\n"
                  "Content-Length: 0\r\n\r\n",
                  id);
    if (lab_send(c->fd, text, (size_t)k) && lab_read_head(c, h) &&
        lab_read_body(c, h, body, BODY_BYTES) >= 0) {
        status = h->status;
    }
    lab_record("client %s: %d parameters, a head of %d bytes: %d", id,
               parameters, k, status);
    free(h);
    free(text);
    return status;
}

static void
run_client(void *ctx)
{
    const char *host = ctx;
    LabConn *c = calloc(1, sizeof(*c));
    char id[16];
    c->fd = -1;
    for (int r = 0; r < REQUESTS; r++) {
        uint32_t k = __atomic_add_fetch(&counter, 1, __ATOMIC_RELAXED);
        if (c->fd < 0) {
            c->used = 0;
            c->fd = lab_connect(NULL, host, 7000, 5000);
            snprintf(id, sizeof(id), "f%u", 0u); /* makes it a kept one */
            if (c->fd < 0 || ask(c, id, 1) != 200) {
                lab_record("client: no first answer");
                if (c->fd >= 0) {
                    close(c->fd);
                }
                c->fd = -1;
                lab_sleep(0.1);
                continue;
            }
        }
        snprintf(id, sizeof(id), "r%u", k);
        int status =
            ask(c, id, lab_trouble() ? FEWEST + (int)lab_random(SPREAD) : 20);
        pthread_mutex_lock(&ran_lock);
        bool has_run = ran[k];
        pthread_mutex_unlock(&ran_lock);
        if (status == 200) {
            __atomic_add_fetch(&answered, 1, __ATOMIC_RELAXED);
        }
        else if (status != 0) {
            __atomic_add_fetch(&refused, 1, __ATOMIC_RELAXED);
        }
        else if (!has_run) {
            __atomic_add_fetch(&unread, 1, __ATOMIC_RELAXED);
        }
        else {
            lab_record("client %s: LOST: it has run, and its connection ended "
                       "without an answer",
                       id);
            __atomic_add_fetch(&lost, 1, __ATOMIC_RELAXED);
        }
        if (status != 200) {
            close(c->fd);
            c->fd = -1;
        }
        lab_sleep(0.02);
    }
    __atomic_add_fetch(&ended, 1, __ATOMIC_RELAXED);
}

int
main(void)
{
    char r[1024], s[512], all[4096];
    LabServer servers[] = {
        {"i-1", "127.32.1.1", "na", "s1", handle, 24, -1},
        {"i-2", "127.32.3.1", "wa", "s1", handle, 24, -1},
    };
    while (lab_get_status("127.31.0.1", 7900, "/control") == 0) {
        if (lab_now() > 5) {
            return 2;
        }
        lab_sleep(0.05);
    }
    for (int i = 0; i < 2; i++) {
        lab_serve(&servers[i]);
        lab_put_server(&servers[i], "ready", 1, 1796600000000);
    }
    snprintf(all, sizeof(all), "%s%s",
             lab_route("pay", "/pay/", "non_idempotent", 4000, "s1", r),
             lab_service("s1", s));
    lab_put_config(5, all);
    for (int i = 0; i < 2; i++) {
        if (!lab_wait_ready(hosts[i], 15)) {
            return 2;
        }
    }
    lab_sleep(4); /* in touch: calm for contactMs */
    for (int k = 0; k < CLIENTS; k++) {
        lab_start(run_client, (void *)hosts[k % 2]);
    }
    while (__atomic_load_n(&ended, __ATOMIC_RELAXED) < CLIENTS &&
           lab_now() < 100) {
        lab_sleep(0.1);
    }
    lab_record("answered %u, refused %u, not run and closed %u, LOST %u",
               answered, refused, unread, lost);
    printf("answered %u, refused %u, not run and closed %u, lost %u\n",
           answered, refused, unread, lost);
    if (answered < 100) {
        return 2;
    }
    return lost > 3 ? 1 : 0;
}
