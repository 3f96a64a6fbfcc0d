/*
 * Whether a caller's head is that of one request. The library accepts heads
 * with lines of two requests, and heads that the host and a server can read in
 * different ways.
 */
#include <glib.h>
#include <microhttpd.h>
#include <string.h>
#include <strings.h>

#include "http/http_int.h"

#define VERSION_MARK " HTTP/1."
#define VERSION_BYTES 8   /* "HTTP/1.1" */
#define SEPARATOR_BYTES 2 /* ": " */
#define MAX_SEPARATOR_BYTES 256
#define LINE_END_BYTES 2
#define DELETE 0x7f
/* Of the library for each line, cookie and parameter, on 64-bit machines. */
#define RECORD_BYTES 64

typedef struct {
    const char *const *single_headers;
    uint32_t seen;            /* bits of single_headers */
    uint32_t framing_headers; /* that tell where the body ends */
    size_t bytes;             /* of the lines seen, each written as usual */
    bool ok;
} Head;

static enum MHD_Result on_line(void *ctx, enum MHD_ValueKind kind,
                               const char *name, size_t name_bytes,
                               const char *value, size_t value_bytes);
static size_t separator_bytes(const char *colon, const char *value);
static bool is_printable(const char *text, size_t n, char lowest);
static bool is_first_of_its_name(Head *h, const char *name);
static bool is_known_framing(Head *h, const char *name, const char *value);
static bool ends_in_request_line(const char *value, size_t n);

bool
CpRequestHead_IsOne(struct MHD_Connection *conn, const char *method,
                    const char *target, const char *const *single_headers)
{
    size_t method_bytes = strlen(method), target_bytes = strlen(target);
    Head h = {.single_headers = single_headers,
              .bytes = method_bytes + 1 + target_bytes + 1 + VERSION_BYTES +
                       2 * LINE_END_BYTES,
              .ok = CpHttp_IsToken(method, method_bytes) &&
                    is_printable(target, target_bytes, '!')};
    MHD_get_connection_values_n(conn, MHD_HEADER_KIND, on_line, &h);
    /* The library drops what follows a NUL, and joins a continued line with
     * its name. */
    return h.ok && h.framing_headers <= 1 &&
           MHD_get_connection_info(conn,
                                   MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                   ->header_size <= h.bytes;
}

/* The library makes a copy of the cookies to separate them. */
uint32_t
CpRequestHead_Records_bytes(struct MHD_Connection *conn)
{
    const enum MHD_ValueKind kinds =
        MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND;
    const char *cookies =
        MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Cookie");
    int records = MHD_get_connection_values(conn, kinds, NULL, NULL);
    return (uint32_t)records * RECORD_BYTES +
           (cookies != NULL ? (uint32_t)strlen(cookies) + 1 : 0);
}

bool
CpHttp_IsToken(const char *text, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (!g_ascii_isalnum(text[i]) &&
            (text[i] == '\0' || strchr("!#$%&'*+-.^_`|~", text[i]) == NULL)) {
            return false;
        }
    }
    return n > 0;
}

static enum MHD_Result
on_line(void *ctx, enum MHD_ValueKind kind, const char *name,
        size_t name_bytes, const char *value, size_t value_bytes)
{
    Head *h = ctx;
    (void)kind;
    h->bytes += name_bytes + separator_bytes(name + name_bytes, value) +
                value_bytes + LINE_END_BYTES;
    h->ok &= CpHttp_IsToken(name, name_bytes) &&
             is_printable(value, value_bytes, ' ') &&
             is_first_of_its_name(h, name) &&
             is_known_framing(h, name, value) &&
             !ends_in_request_line(value, value_bytes);
    return MHD_YES;
}

/* Returns the bytes of the colon and the white space after it. Name and value
 * are parts of what was received, unless the library has changed the line. */
static size_t
separator_bytes(const char *colon, const char *value)
{
    size_t n = (size_t)((uintptr_t)value - (uintptr_t)colon);
    if (n == 0 || n > MAX_SEPARATOR_BYTES ||
        strspn(colon + 1, " \t") < n - 1) {
        return SEPARATOR_BYTES;
    }
    return n > SEPARATOR_BYTES ? n : SEPARATOR_BYTES;
}

/* Returns true if no byte is a control character, but tabs between words, or
 * below `lowest`. */
static bool
is_printable(const char *text, size_t n, char lowest)
{
    for (size_t i = 0; i < n; i++) {
        unsigned char c = (unsigned char)text[i];
        if ((c < (unsigned char)lowest && !(c == '\t' && lowest == ' ')) ||
            c == DELETE) {
            return false;
        }
    }
    return true;
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

/* Returns false if the header leaves it open where the body ends. */
static bool
is_known_framing(Head *h, const char *name, const char *value)
{
    bool is_encoding = strcasecmp(name, "Transfer-Encoding") == 0;
    h->framing_headers +=
        is_encoding || strcasecmp(name, "Content-Length") == 0;
    return !is_encoding || strcasecmp(value, "chunked") == 0;
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
