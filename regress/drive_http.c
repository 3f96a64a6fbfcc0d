/*
 * Driver for the scripts of http: plays the bytes of a server into libcurl
 * over a pair of sockets, and prints whether they count as one whole response.
 */
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/easy.h"
#include "regress.h"

#define MAX_ROUNDS 100
#define ROUND_MS 20
#define MAX_PIECES 3
#define ID "a1"

static const char *const single_headers[] = {"Id", "Seal", NULL};

/* One connection on which a server sends pieces of bytes. */
typedef struct {
    int32_t server_fd; /* -1: not connected yet */
    const char *pieces[MAX_PIECES];
    size_t piece_bytes[MAX_PIECES];
    uint32_t piece_count;
    bool delayed;    /* a piece is sent when the one before it was read */
    bool stays_open; /* after the last piece */
    CpResponseOptions options;
    CpResponseCheck check;
    GString *body;
    CURLcode code;
} Play;

typedef struct {
    FILE *out;
    GString *response; /* of the request */
    GString *other;    /* to another request */
    char *body;        /* of `response` */
    size_t body_bytes;
} Script;

static void run_line(void *ctx, char *line);
static GString *make_response(const char *framing, const char *id,
                              const char *body);
static void read_text(Script *s, const char *text, const char *how);
static void join(Script *s, const char *how, bool delayed);
static bool play(Play *p);
static int32_t listen_any(char *url, size_t url_bytes);
static void send_pieces(const Play *p, uint32_t *sent);
static curl_socket_t on_open(void *ctx, curlsocktype purpose,
                             struct curl_sockaddr *address);
static size_t on_header(char *data, size_t size, size_t n, void *ctx);
static size_t on_body(char *data, size_t size, size_t n, void *ctx);

void
CpDrive_Http(FILE *in, FILE *out)
{
    Script s = {.out = out,
                .response = g_string_new(NULL),
                .other = g_string_new(NULL)};
    CpScript_Run(in, run_line, &s);
    g_string_free(s.response, TRUE);
    g_string_free(s.other, TRUE);
    g_free(s.body);
}

/* response FRAMING BODY: sets the response, and one of the same kind to
 * another request. read BYTES, read-slowly BYTES: plays them;
 * read-text BYTES, read-text-slowly BYTES: as a call whose response is text
 * and whose socket is not known before its end. join HOW,
 * join-slowly HOW: plays each way to do it, byte by byte. */
static void
run_line(void *ctx, char *line)
{
    Script *s = ctx;
    if (CpDriveBackend_RunLine(s->out, line)) {
        return;
    }
    char *args = strchr(line, ' ');
    if (args == NULL) {
        fprintf(s->out, "not understood: %s\n", line);
        return;
    }
    *args++ = '\0';
    if (strcmp(line, "response") == 0) {
        char *body = strchr(args, ' ');
        *body++ = '\0';
        g_string_free(s->response, TRUE);
        g_string_free(s->other, TRUE);
        g_free(s->body);
        s->body = g_strcompress(body);
        s->body_bytes = strlen(s->body);
        s->response = make_response(args, ID, s->body);
        s->other = make_response(args, "b2", "the body of another response");
        fprintf(s->out, "-- %s, %zu bytes\n", args, s->response->len);
    }
    else if (g_str_has_prefix(line, "read")) {
        read_text(s, args, line[4] != '\0' ? line + 5 : "");
    }
    else if (strcmp(line, "join") == 0 || strcmp(line, "join-slowly") == 0) {
        join(s, args, line[4] != '\0');
    }
    else {
        fprintf(s->out, "not understood: %s\n", line);
    }
}

static GString *
make_response(const char *framing, const char *id, const char *body)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 200 OK\r\nSeal: s-%s\r\nId: %s\r\n", id,
                    id);
    if (strcmp(framing, "length") == 0) {
        g_string_append_printf(
            text, "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n\r\n%s",
            strlen(body), body);
    }
    else if (strcmp(framing, "chunks") == 0) {
        size_t half = strlen(body) / 2;
        g_string_append_printf(text,
                               "Keep-Alive: timeout=10\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "%zx\r\n%.*s\r\n%zx\r\n%s\r\n0\r\n\r\n",
                               half, (int)half, body, strlen(body) - half,
                               body + half);
    }
    else {
        g_string_append_printf(text, "Connection: close\r\n\r\n%s", body);
    }
    return text;
}

static void
read_text(Script *s, const char *text, const char *how)
{
    char **texts = g_strsplit(text, " | ", MAX_PIECES);
    Play p = {.server_fd = -1,
              .delayed = strstr(how, "slowly") != NULL,
              .stays_open = true,
              .options = {.single_headers = single_headers,
                          .id_header = "Id",
                          .id = ID,
                          .has_text_body = g_str_has_prefix(how, "text")}};
    for (char **at = texts; *at != NULL; at++) {
        char *piece = g_strcompress(*at);
        g_free(*at);
        *at = piece;
        if (strcmp(piece, "END") == 0) {
            p.stays_open = false;
            continue;
        }
        p.pieces[p.piece_count] = piece;
        p.piece_bytes[p.piece_count++] = strlen(piece);
    }
    bool whole = play(&p);
    char *body = g_strescape(p.body->str, NULL);
    fprintf(s->out, "%s, flaw %s, status %u, body \"%s\"%s\n",
            whole ? "whole" : "refused", CpFlaw_Name(p.check.flaw),
            p.check.status, body,
            p.check.idle_fd != CURL_SOCKET_BAD ? ", used again" : "");
    g_free(body);
    g_string_free(p.body, TRUE);
    g_strfreev(texts);
}

/* end: the response, cut at each byte. again: the response cut at each byte,
 * and whole. copy: whole, and cut. other: the other response cut at each byte,
 * and the response. inside: the response cut at each byte, and the other. */
static void
join(Script *s, const char *how, bool delayed)
{
    const GString *first = strcmp(how, "other") == 0 ? s->other : s->response;
    const GString *second =
        strcmp(how, "inside") == 0 ? s->other : s->response;
    bool is_copy = strcmp(how, "copy") == 0;
    uint32_t right = 0, wrong = 0, refused = 0, again = 0;
    for (size_t cut = 0; cut <= first->len; cut++) {
        Play p = {.server_fd = -1,
                  .delayed = delayed,
                  .piece_count = 2,
                  .options = {.single_headers = single_headers,
                              .id_header = "Id",
                              .id = ID}};
        p.pieces[0] = is_copy ? second->str : first->str;
        p.piece_bytes[0] = is_copy ? second->len : cut;
        p.pieces[1] = is_copy ? first->str : second->str;
        p.piece_bytes[1] = is_copy ? cut : second->len;
        if (strcmp(how, "end") == 0) {
            p.piece_count = 1;
        }
        if (!play(&p)) {
            refused++;
        }
        else if (p.body->len == s->body_bytes &&
                 memcmp(p.body->str, s->body, s->body_bytes) == 0) {
            right++;
        }
        else {
            char *body = g_strescape(p.body->str, NULL);
            fprintf(s->out, "cut at %zu: \"%s\"\n", cut, body);
            g_free(body);
            wrong++;
        }
        again += p.check.idle_fd != CURL_SOCKET_BAD;
        g_string_free(p.body, TRUE);
    }
    fprintf(s->out,
            "%s%s: %zu cuts, delivered %u, wrong %u, refused %u, used again "
            "%u\n",
            how, delayed ? " slowly" : "", first->len + 1, right, wrong,
            refused, again);
}

/* Returns true if one whole response to the request was read. */
static bool
play(Play *p)
{
    CURLM *multi = curl_multi_init();
    CURL *e = curl_easy_init();
    CURLMsg *msg = NULL;
    int running = 1, left;
    uint32_t sent = 0;
    char url[64];
    p->body = g_string_new(NULL);
    int32_t listener = listen_any(url, sizeof(url));
    CpEasy_SetDefaults(e, url, 1000);
    curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open);
    curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, p);
    CpEasy_SetReceivers(e, on_header, on_body, p);
    CpResponseCheck_Begin(&p->check, &p->options, e);
    curl_multi_add_handle(multi, e);
    for (uint32_t i = 0; running > 0 && i < MAX_ROUNDS; i++) {
        curl_multi_perform(multi, &running);
        if (p->server_fd < 0) {
            p->server_fd = accept(listener, NULL, NULL);
            continue;
        }
        if (sent < p->piece_count) {
            send_pieces(p, &sent);
        }
        else if (!p->stays_open) {
            shutdown(p->server_fd, SHUT_WR);
        }
        curl_multi_poll(multi, NULL, 0, ROUND_MS, NULL);
        /* it reads the head and the body in turns */
        for (uint32_t j = 0; running > 0 && j < 3; j++) {
            curl_multi_perform(multi, &running);
        }
    }
    msg = curl_multi_info_read(multi, &left);
    p->code = CpResponseCheck_End(
        &p->check, msg != NULL ? msg->data.result : CURLE_OPERATION_TIMEDOUT);
    bool whole =
        p->code == CURLE_OK && p->check.head_received && p->check.seen == 3;
    curl_multi_remove_handle(multi, e);
    curl_easy_cleanup(e);
    curl_multi_cleanup(multi);
    close(p->server_fd);
    close(listener);
    return whole;
}

/* Listens on a free port and sets the URL of the server. */
static int32_t
listen_any(char *url, size_t url_bytes)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(sa);
    int32_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0 || bind(fd, (struct sockaddr *)&sa, n) != 0 ||
        listen(fd, 1) != 0 ||
        getsockname(fd, (struct sockaddr *)&sa, &n) != 0) {
        abort();
    }
    snprintf(url, url_bytes, "http://127.0.0.1:%u/", ntohs(sa.sin_port));
    return fd;
}

/* Sends the next piece, or all that are left, with one call. */
static void
send_pieces(const Play *p, uint32_t *sent)
{
    GString *bytes = g_string_new(NULL);
    do {
        g_string_append_len(bytes, p->pieces[*sent],
                            (gssize)p->piece_bytes[*sent]);
        ++*sent;
    } while (!p->delayed && *sent < p->piece_count);
    if (bytes->len > 0) { /* fails if the library has closed the connection */
        (void)!send(p->server_fd, bytes->str, bytes->len, MSG_NOSIGNAL);
    }
    g_string_free(bytes, TRUE);
}

static curl_socket_t
on_open(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
    Play *p = ctx;
    (void)purpose;
    curl_socket_t fd =
        socket(address->family, address->socktype, address->protocol);
    p->check.fd = p->options.has_text_body ? CURL_SOCKET_BAD : fd;
    return fd;
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
    Play *p = ctx;
    CpHeadLine line = CpResponseCheck_OnHeadLine(&p->check, data, n * size);
    char id[8];
    bool is_other = line == CP_HEAD_FIELD &&
                    CpEasy_MatchHeader(data, n * size, "Id", id, sizeof(id)) &&
                    strcmp(g_strstrip(id), ID) != 0;
    return p->check.flaw != CP_FLAW_NONE || is_other ? 0 : n * size;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    Play *p = ctx;
    CpResponseCheck_OnBody(&p->check, data, n * size);
    if (p->check.flaw != CP_FLAW_NONE) {
        return 0;
    }
    g_string_append_len(p->body, data, (gssize)(n * size));
    return n * size;
}
