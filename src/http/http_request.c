/*
 * Whether a caller's head is that of one request. The library accepts heads
 * with lines of two requests, and heads that the host and a server can read in
 * different ways.
 */
#include <microhttpd.h>
#include <string.h>
#include <strings.h>

#include "http/http.h"

#define VERSION_MARK " HTTP/1."

typedef struct {
    const char *const *single_headers;
    uint32_t seen; /* bits of single_headers */
    bool ok;
} Head;

static enum MHD_Result on_line(void *ctx, enum MHD_ValueKind kind,
                               const char *name, size_t name_bytes,
                               const char *value, size_t value_bytes);
static bool is_first_of_its_name(Head *h, const char *name);
static bool ends_in_request_line(const char *value, size_t n);

bool
CpRequestHead_IsOne(struct MHD_Connection *conn, const char *target,
                    const char *const *single_headers)
{
    Head h = {.single_headers = single_headers,
              .ok = strchr(target, ' ') == NULL};
    MHD_get_connection_values_n(conn, MHD_HEADER_KIND, on_line, &h);
    return h.ok;
}

static enum MHD_Result
on_line(void *ctx, enum MHD_ValueKind kind, const char *name,
        size_t name_bytes, const char *value, size_t value_bytes)
{
    Head *h = ctx;
    (void)kind;
    h->ok &= memchr(name, ' ', name_bytes) == NULL &&
             is_first_of_its_name(h, name) &&
             !ends_in_request_line(value, value_bytes);
    return MHD_YES;
}

static bool
is_first_of_its_name(Head *h, const char *name)
{
    for (uint32_t i = 0; h->single_headers[i] != NULL; i++) {
        if (strcasecmp(name, h->single_headers[i]) == 0) {
            bool is_first = (h->seen & 1u << i) == 0;
            h->seen |= 1u << i;
            return is_first;
        }
    }
    return true;
}

/* Returns true if a request line ends the value: the request was broken off
 * in this line, and another one begun. */
static bool
ends_in_request_line(const char *value, size_t n)
{
    size_t mark_bytes = strlen(VERSION_MARK);
    if (n < mark_bytes + 1 ||
        memcmp(value + n - mark_bytes - 1, VERSION_MARK, mark_bytes) != 0) {
        return false;
    }
    const char *end = value + n - mark_bytes - 1;
    const char *space = memrchr(value, ' ', (size_t)(end - value));
    return space != NULL && space > value && space[1] == '/' &&
           space[-1] >= 'A' && space[-1] <= 'Z';
}
