/*
 * Whether what a connection delivers is one whole response. The library reads
 * heads line by line and takes bodies by the last length; a server that breaks
 * off a response and begins another one on the same connection makes one head,
 * or one body, of both.
 */
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "http/easy.h"
#include "http/http_int.h"

#define STATUS_MARK "HTTP/1."
#define STATUS_MARK_BYTES (sizeof(STATUS_MARK) - 1)
#define LAST_CHUNK "0\r\n\r\n"
#define STATUS_BYTES 12 /* "HTTP/1.1 200" */
#define MAX_LENGTH_DIGITS 18
#define MIN_STATUS 100
#define MAX_STATUS 599

static void begin_head(CpResponseCheck *c);
static bool is_status(const char *text, size_t n);
static const char *find_status(const char *line, size_t n);
static bool read_status(CpResponseCheck *c, const char *line, size_t n);
static bool read_field(CpResponseCheck *c, const char *line, size_t n);
static bool read_value(CpResponseCheck *c, const char *name, size_t name_bytes,
                       const char *value, size_t value_bytes);
static bool equals(const char *text, size_t n, const char *name);
static void set_framing(CpResponseCheck *c);
static void read_trailer(CpResponseCheck *c, const char *line, size_t n);
static void add_to_line(CpResponseCheck *c, const char *data, size_t n);
static void read_body_line(CpResponseCheck *c);
static bool is_own_id(const CpResponseCheck *c, const char *line, size_t n);
static int32_t find_single(const CpResponseCheck *c, const char *name,
                           size_t name_bytes);
static int on_debug(CURL *e, curl_infotype type, char *data, size_t n,
                    void *ctx);
static void on_raw(CpResponseCheck *c, const char *data, size_t n);
static void check_following(CpResponseCheck *c);

void
CpResponseCheck_Begin(CpResponseCheck *c, const CpResponseOptions *options,
                      CURL *e)
{
    *c = (CpResponseCheck){.options = *options,
                           .easy = e,
                           .opened_fd = CURL_SOCKET_BAD,
                           .fd = CURL_SOCKET_BAD,
                           .idle_fd = CURL_SOCKET_BAD};
    curl_easy_setopt(e, CURLOPT_DEBUGFUNCTION, on_debug);
    curl_easy_setopt(e, CURLOPT_DEBUGDATA, c);
}

CpHeadLine
CpResponseCheck_OnHeadLine(CpResponseCheck *c, const char *line, size_t n)
{
    if (n > 0 && line[n - 1] == '\n') {
        n--;
    }
    if (n > 0 && line[n - 1] == '\r') {
        n--;
    }
    if (c->head_received) {
        read_trailer(c, line, n);
        return CP_HEAD_FIELD;
    }
    if (n == 0 && c->has_status) {
        if (c->status >= 200) {
            set_framing(c);
        }
        else { /* an interim response; another head follows */
            begin_head(c);
        }
        return CP_HEAD_END;
    }
    bool begins = !c->has_status;
    bool ok = begins ? read_status(c, line, n) : read_field(c, line, n);
    if (!ok) {
        c->flaw = CP_FLAW_HEAD_MIXED;
    }
    return begins ? CP_HEAD_STATUS : CP_HEAD_FIELD;
}

/* Reads the body as lines. */
void
CpResponseCheck_OnBody(CpResponseCheck *c, const char *data, size_t n)
{
    const char *end = data + n;
    c->body_bytes += n;
    while (data < end && c->flaw == CP_FLAW_NONE) {
        const char *lf = memchr(data, '\n', (size_t)(end - data));
        add_to_line(c, data, (size_t)((lf != NULL ? lf : end) - data));
        if (lf == NULL) {
            break;
        }
        read_body_line(c);
        c->line_bytes = 0;
        data = lf + 1;
    }
    if (c->framing == CP_FRAMING_LENGTH && c->body_bytes >= c->length_bytes) {
        CpResponseCheck_ReadFollowing(c, c->fd);
        check_following(c);
    }
}

CURLcode
CpResponseCheck_End(CpResponseCheck *c, CURLcode code)
{
    curl_socket_t fd = code == CURLE_OK ? c->fd : CURL_SOCKET_BAD;
    bool is_followed = c->options.connections != NULL;
    if (!is_followed) {
        curl_easy_getinfo(c->easy, CURLINFO_ACTIVESOCKET, &fd);
    }
    CpResponseCheck_ReadFollowing(c, fd);
    if (code == CURLE_OK && c->line_bytes > 0 &&
        (c->options.has_text_body || c->framing == CP_FRAMING_CLOSE)) {
        read_body_line(c); /* the last one, without an end */
    }
    if (code == CURLE_OK && c->framing == CP_FRAMING_CLOSE && c->is_in_head &&
        c->flaw == CP_FLAW_NONE) {
        c->flaw = CP_FLAW_BODY_MIXED;
    }
    if (code == CURLE_OK && !c->head_received && c->flaw == CP_FLAW_NONE) {
        c->flaw = CP_FLAW_HEAD_CUT;
    }
    if (code == CURLE_OK && c->framing == CP_FRAMING_LENGTH) {
        check_following(c);
    }
    if (code == CURLE_OK && c->flaw != CP_FLAW_NONE) {
        code = CURLE_PARTIAL_FILE;
    }
    if (code == CURLE_OK && CpResponseCheck_IsClean(c)) {
        c->idle_fd = fd;
    }
    else if (!is_followed && fd != CURL_SOCKET_BAD) {
        CpEasy_EndConnection(fd);
    }
    return code;
}

/* The library drops what it has read after a body in chunks, in which a
 * response that follows shows, and after an empty one. */
bool
CpResponseCheck_IsClean(const CpResponseCheck *c)
{
    return c->flaw == CP_FLAW_NONE && c->following_bytes == 0 &&
           !c->is_in_head &&
           (c->framing == CP_FRAMING_LENGTH
                ? c->length_bytes > 0
                : c->framing == CP_FRAMING_CHUNKS &&
                      memcmp(c->raw_tail, "\r\n\r\n", sizeof(c->raw_tail)) ==
                          0);
}

void
CpResponseCheck_Count(const CpResponseCheck *c)
{
    long opened = 0;
    curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &opened);
    CpCounter_Add(CP_COUNT_SERVER_CONNECTIONS, opened > 0 ? 1 : 0);
    CpCounter_Add(CP_COUNT_CONNECTIONS_SPENT, c->following_bytes > 0 ? 1 : 0);
    CpCounter_Add(CP_COUNT_RESPONSES_FLAWED, c->flaw != CP_FLAW_NONE ? 1 : 0);
}

static void
begin_head(CpResponseCheck *c)
{
    c->status = 0;
    c->seen = 0;
    c->has_status = c->promises_more = c->announces_end = false;
    c->has_length = c->is_chunked = false;
}

/* Returns true if the text begins with a version and a status. */
static bool
is_status(const char *text, size_t n)
{
    return n >= STATUS_BYTES &&
           memcmp(text, STATUS_MARK, STATUS_MARK_BYTES) == 0 &&
           g_ascii_isdigit(text[7]) && text[8] == ' ' &&
           g_ascii_isdigit(text[9]) && g_ascii_isdigit(text[10]) &&
           g_ascii_isdigit(text[11]) &&
           (n == STATUS_BYTES || text[STATUS_BYTES] == ' ');
}

/* Returns the first version and status in a line; NULL: none. */
static const char *
find_status(const char *line, size_t n)
{
    const char *end = line + n, *at = line;
    while ((at = memmem(at, (size_t)(end - at), STATUS_MARK,
                        STATUS_MARK_BYTES)) != NULL &&
           !is_status(at, (size_t)(end - at))) {
        at++;
    }
    return at;
}

static bool
read_status(CpResponseCheck *c, const char *line, size_t n)
{
    if (!is_status(line, n) ||
        find_status(line + STATUS_BYTES, n - STATUS_BYTES) != NULL) {
        return false;
    }
    c->has_status = true;
    c->status = (uint32_t)((line[9] - '0') * 100 + (line[10] - '0') * 10 +
                           line[11] - '0');
    return c->status >= MIN_STATUS && c->status <= MAX_STATUS;
}

static bool
read_field(CpResponseCheck *c, const char *line, size_t n)
{
    const char *colon = memchr(line, ':', n);
    if (colon == NULL || !CpHttp_IsToken(line, (size_t)(colon - line)) ||
        find_status(line, n) != NULL) {
        return false;
    }
    const char *value = colon + 1, *end = line + n;
    for (const char *at = value; at < end; at++) {
        if ((unsigned char)*at < ' ' && *at != '\t') {
            return false;
        }
    }
    while (value < end && (*value == ' ' || *value == '\t')) {
        value++;
    }
    while (end > value && (end[-1] == ' ' || end[-1] == '\t')) {
        end--;
    }
    return read_value(c, line, (size_t)(colon - line), value,
                      (size_t)(end - value));
}

static bool
read_value(CpResponseCheck *c, const char *name, size_t name_bytes,
           const char *value, size_t value_bytes)
{
    int32_t single = find_single(c, name, name_bytes);
    if (single >= 0) {
        if ((c->seen & 1u << single) != 0) {
            return false;
        }
        c->seen |= 1u << single;
    }
    if (equals(name, name_bytes, "Keep-Alive")) {
        c->promises_more = true;
    }
    else if (equals(name, name_bytes, "Connection")) {
        c->announces_end |= equals(value, value_bytes, "close");
    }
    else if (equals(name, name_bytes, "Transfer-Encoding")) {
        if (c->is_chunked || c->has_length ||
            !equals(value, value_bytes, "chunked")) {
            return false;
        }
        c->is_chunked = true;
    }
    else if (equals(name, name_bytes, "Content-Length")) {
        if (c->has_length || c->is_chunked || value_bytes == 0 ||
            value_bytes > MAX_LENGTH_DIGITS) {
            return false;
        }
        c->has_length = true;
        c->length_bytes = 0;
        for (size_t i = 0; i < value_bytes; i++) {
            if (!g_ascii_isdigit(value[i])) {
                return false;
            }
            c->length_bytes =
                c->length_bytes * 10 + (uint64_t)(value[i] - '0');
        }
    }
    return true;
}

static bool
equals(const char *text, size_t n, const char *name)
{
    return strlen(name) == n && strncasecmp(text, name, n) == 0;
}

/* The head is complete. A body without a length ends with its connection,
 * unless the same head promises to keep that. */
static void
set_framing(CpResponseCheck *c)
{
    c->head_received = true;
    c->framing = c->options.is_head || c->status == 204 || c->status == 304
                     ? CP_FRAMING_EMPTY
                 : c->is_chunked                         ? CP_FRAMING_CHUNKS
                 : c->has_length                         ? CP_FRAMING_LENGTH
                 : c->announces_end || !c->promises_more ? CP_FRAMING_CLOSE
                                                         : CP_FRAMING_UNKNOWN;
    if (c->framing == CP_FRAMING_UNKNOWN && c->flaw == CP_FLAW_NONE) {
        c->flaw = CP_FLAW_UNFRAMED;
    }
    /* From here on the library passes the bytes as received, with those that
     * follow the response. */
    curl_easy_setopt(c->easy, CURLOPT_VERBOSE, 1L);
}

/* A trailer tells no length. Where the size of a chunk was cut to zeros, the
 * head of the response that follows is taken for one. */
static void
read_trailer(CpResponseCheck *c, const char *line, size_t n)
{
    const char *colon = memchr(line, ':', n);
    size_t name_bytes = colon != NULL ? (size_t)(colon - line) : 0;
    if (c->flaw == CP_FLAW_NONE &&
        (equals(line, name_bytes, "Content-Length") ||
         equals(line, name_bytes, "Transfer-Encoding") ||
         is_own_id(c, line, n))) {
        c->flaw = CP_FLAW_BODY_MIXED;
    }
}

/* Keeps the first and the last bytes of a line. */
static void
add_to_line(CpResponseCheck *c, const char *data, size_t n)
{
    size_t kept = c->line_bytes < sizeof(c->line) ? (size_t)c->line_bytes
                                                  : sizeof(c->line);
    if (c->line_bytes < sizeof(c->line_start)) {
        size_t room = sizeof(c->line_start) - (size_t)c->line_bytes;
        memcpy(c->line_start + c->line_bytes, data, n < room ? n : room);
    }
    c->line_bytes += n;
    if (n >= sizeof(c->line)) {
        memcpy(c->line, data + n - sizeof(c->line), sizeof(c->line));
        return;
    }
    if (kept + n > sizeof(c->line)) {
        size_t dropped = kept + n - sizeof(c->line);
        memmove(c->line, c->line + dropped, kept - dropped);
        kept -= dropped;
    }
    memcpy(c->line + kept, data, n);
}

/* Looks for the head of another response to this request: a status line, after
 * which a field has the request's id. A body that only the end of its
 * connection ends may have no field at all after one. */
static void
read_body_line(CpResponseCheck *c)
{
    bool whole = c->line_bytes <= sizeof(c->line);
    size_t n = whole ? (size_t)c->line_bytes : sizeof(c->line);
    if (n > 0 && c->line[n - 1] == '\r') {
        n--;
    }
    const char *status = find_status(c->line, n);
    if (status != NULL) {
        c->is_in_head = true;
        /* a quote after it ends the string that it is part of */
        if (c->options.has_text_body &&
            memchr(status, '"', (size_t)(c->line + n - status)) == NULL) {
            c->flaw = CP_FLAW_BODY_MIXED;
        }
        return;
    }
    if (!c->is_in_head) {
        return;
    }
    if (c->line_bytes > 0 &&
        (c->line_start[0] == ' ' || c->line_start[0] == '\t')) {
        return; /* continues the line before it */
    }
    n = whole ? n : sizeof(c->line_start);
    const char *colon = memchr(c->line_start, ':', n);
    if (colon == NULL ||
        !CpHttp_IsToken(c->line_start, (size_t)(colon - c->line_start))) {
        c->is_in_head = false;
        return;
    }
    if (is_own_id(c, c->line_start, n) || c->framing == CP_FRAMING_CLOSE) {
        c->flaw = CP_FLAW_BODY_MIXED;
    }
}

/* Returns true if the line is a field with the request's id. */
static bool
is_own_id(const CpResponseCheck *c, const char *line, size_t n)
{
    const char *colon = memchr(line, ':', n);
    if (c->options.id_header == NULL || colon == NULL ||
        !equals(line, (size_t)(colon - line), c->options.id_header)) {
        return false;
    }
    const char *value = colon + 1, *end = line + n;
    while (value < end && *value == ' ') {
        value++;
    }
    return equals(value, (size_t)(end - value), c->options.id);
}

/* Returns the index of a header that a head has once; -1: it may be
 * repeated. */
static int32_t
find_single(const CpResponseCheck *c, const char *name, size_t name_bytes)
{
    for (int32_t i = 0; c->options.single_headers != NULL &&
                        c->options.single_headers[i] != NULL;
         i++) {
        if (equals(name, name_bytes, c->options.single_headers[i])) {
            return i;
        }
    }
    return -1;
}

static int
on_debug(CURL *e, curl_infotype type, char *data, size_t n, void *ctx)
{
    (void)e;
    if (type == CURLINFO_DATA_IN) {
        on_raw(ctx, data, n);
    }
    return 0;
}

static void
on_raw(CpResponseCheck *c, const char *data, size_t n)
{
    size_t tail_bytes = n < sizeof(c->raw_tail) ? n : sizeof(c->raw_tail);
    uint64_t left_bytes =
        c->length_bytes > c->raw_bytes ? c->length_bytes - c->raw_bytes : 0;
    if (c->framing == CP_FRAMING_LENGTH && n > left_bytes &&
        c->following_bytes == 0) {
        size_t more = n - (size_t)left_bytes;
        c->following_bytes =
            (uint32_t)(more < sizeof(c->following) ? more
                                                   : sizeof(c->following));
        memcpy(c->following, data + left_bytes, c->following_bytes);
    }
    if (c->framing == CP_FRAMING_CHUNKS &&
        memmem(data, n, LAST_CHUNK STATUS_MARK,
               sizeof(LAST_CHUNK STATUS_MARK) - 1) != NULL) {
        c->following_bytes = STATUS_MARK_BYTES;
        memcpy(c->following, STATUS_MARK, STATUS_MARK_BYTES);
    }
    c->raw_bytes += n;
    memmove(c->raw_tail, c->raw_tail + tail_bytes,
            sizeof(c->raw_tail) - tail_bytes);
    memcpy(c->raw_tail + sizeof(c->raw_tail) - tail_bytes,
           data + n - tail_bytes, tail_bytes);
}

void
CpResponseCheck_ReadFollowing(CpResponseCheck *c, curl_socket_t fd)
{
    if (fd != CURL_SOCKET_BAD && c->following_bytes == 0) {
        ssize_t n = recv(fd, c->following, sizeof(c->following),
                         MSG_PEEK | MSG_DONTWAIT);
        c->following_bytes = n > 0 ? (uint32_t)n : 0;
    }
}

/* A response that follows shows that the body has ended; other bytes are part
 * of a body that is longer than announced. */
static void
check_following(CpResponseCheck *c)
{
    size_t n = c->following_bytes < STATUS_MARK_BYTES ? c->following_bytes
                                                      : STATUS_MARK_BYTES;
    if (c->flaw == CP_FLAW_NONE && memcmp(c->following, STATUS_MARK, n) != 0) {
        c->flaw = CP_FLAW_BODY_LONGER;
    }
}
