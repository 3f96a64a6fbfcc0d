/* Shared parts of the review's cases: servers and clients that speak the
 * platform's protocol, writes to the store, a record, and signals to hosts. */
#ifndef LAB_H
#define LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HEAD_BYTES 16384

typedef struct {
    int fd;
    char data[LAB_HEAD_BYTES];
    size_t used; /* received and not consumed */
} LabConn;

/* A head, as received. */
typedef struct {
    char text[LAB_HEAD_BYTES];
    char method[16]; /* of a request */
    char path[512];
    int status; /* of a response */
} LabHead;

typedef struct LabServer LabServer;
/* Handles one request; returns false if the connection is to be closed. */
typedef bool (*LabHandler)(LabServer *s, LabConn *c, const LabHead *h);
struct LabServer {
    const char *instance;
    const char *ip;
    const char *zone;
    const char *service;
    LabHandler handle;
    int slots;
    int fd;
};

double lab_now(void); /* seconds since the program started */
void lab_sleep(double seconds);
/* Appends a line to the record, with the time. */
void lab_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
bool lab_trouble(void); /* false with TROUBLE=0 */
void lab_start(void (*run)(void *ctx), void *ctx);
uint32_t lab_random(uint32_t n);

int lab_connect(const char *source_ip, const char *ip, int port,
                int timeout_ms);
void lab_reset(int fd); /* closes with a reset */
void lab_fin(int fd);   /* closes when all is sent */
bool lab_send(int fd, const void *data, size_t n);
bool lab_read_head(LabConn *c, LabHead *out);
bool lab_read(LabConn *c, void *out, size_t n); /* exactly n bytes */
ssize_t lab_read_some(LabConn *c, void *out, size_t n);
/* Copies the value of a header; false if there is none. */
bool lab_header(const LabHead *h, const char *name, char *out, size_t n);
/* Reads a body by its length or in chunks; its size, or -1 if it ended early.
 * The first `max` bytes are kept in `out`. */
ssize_t lab_read_body(LabConn *c, const LabHead *h, char *out, size_t max);
/* The body that a server answers to a request with this id. */
void lab_fill(const char *id, char *out, size_t n);

void lab_serve(LabServer *s); /* starts listening */
void lab_listen_off(LabServer *s);
/* Writes a row of the store; returns the status. */
int lab_put(const char *table, const char *key, const char *json);
int lab_remove(const char *table, const char *key);
int lab_store(const char *method_and_path); /* "POST /control?mode=up" */
void lab_put_server(const LabServer *s, const char *state, long sequence,
                    long long born);
/* routes: JSON of resources, with a comma after each, or "". */
int lab_put_config(long version, const char *resources);
char *lab_route(const char *name, const char *prefix, const char *type,
                int timeout_ms, const char *service, char out[1024]);
char *lab_service(const char *name, char out[512]);
/* Waits until the host at ip:ready_port answers 200; false after `seconds`. */
bool lab_wait_ready(const char *ip, double seconds);
int lab_get_status(const char *ip, int port, const char *path);

#endif
