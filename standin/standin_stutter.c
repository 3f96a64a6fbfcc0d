/*
 * TCP relay in front of backend servers that stutter: it cuts, repeats, delays
 * and joins their responses at any byte. Arguments: CONTROL ROUTE... where a
 * route is LISTEN=TARGET. Requests pass untouched. What a server sends until
 * it is quiet is one response.
 *
 * /control?seed=N&share=P&mode=M sets the seed, the percentage of responses to
 * harm and what is done to them: off, on (drawn for each response), or the
 * name of one kind. What is drawn depends on the seed, the request's id and
 * how often that was responded to. /counts lists how often each kind was
 * played. Each response is one line of output: CONNECTION.NUMBER ID KIND, then
 * the pieces sent as NAME[FROM,TO)/SIZE, each after +MS and perhaps with a
 * pause, [FROM,AT+MS,TO), and what became of the connection.
 */
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define CHUNK_BYTES (64 * 1024)
#define SETTLE_MS 15           /* of quiet at the end of a response */
#define HARMED_IDLE_MS 250     /* before a harmed connection is closed */
#define MAX_DELAY_MS 30        /* between pieces */
#define MAX_PIECES 6           /* of a plan */
#define MAX_REQUEST_BYTES 4096 /* kept to find the id */
#define ID_HEADER "Chestnutpaddle-Attempt-Id: "

typedef enum {
    KIND_WHOLE = 0,
    KIND_SPLIT,   /* whole, in several reads */
    KIND_CUT,     /* a part, then the connection ends */
    KIND_AGAIN,   /* a part, then the response from its first byte */
    KIND_TWICE,   /* whole, and a copy right after it */
    KIND_LATE,    /* whole, and a copy later */
    KIND_EARLIER, /* a part of an earlier response, before or inside */
    KIND_SHORT,   /* a short response, before, inside or after */
    KIND_COUNT
} Kind;

typedef enum {
    END_KEEP = 0,
    END_CLOSE,
    END_RESET,
    END_COUNT
} End;

/* When the late copy of a response is sent. */
typedef enum {
    LATE_IDLE = 0, /* after some time */
    LATE_REQUEST,  /* when the next request arrives */
    LATE_JOINED,   /* together with the next response */
    LATE_COUNT
} LateTime;

typedef struct {
    const char *name;
    const GString *text;
    size_t from, to;
    uint32_t delay_ms; /* before it is sent */
    size_t pause_at;   /* in the text; 0: none */
    uint32_t pause_ms;
} Piece;

typedef struct {
    uint64_t seed, drawn; /* of the random numbers */
    Kind kind;
    Piece pieces[MAX_PIECES];
    uint32_t piece_count;
    End end;
    uint32_t end_delay_ms;
    LateTime late_time;
    size_t late_bytes; /* of the copy; 0: none */
    uint32_t late_delay_ms;
} Plan;

/* A relayed connection; its thread alone uses it. */
typedef struct {
    uint64_t number;
    uint64_t response_count;
    int32_t client_fd, server_fd;
    GString *request;  /* the first bytes of the last one */
    GString *response; /* received so far */
    GString *earlier;  /* the last response before it; may be empty */
    GString *late;     /* to be sent later; may be empty */
    LateTime late_time;
    int64_t late_ns;     /* in LATE_IDLE */
    int64_t received_ns; /* of the last byte from either side */
    bool server_closed;
    bool harmed;
    bool is_responded; /* no request waits */
    bool reset;        /* the connection ends by a reset */
} Connection;

static const char *const kind_names[KIND_COUNT] = {
    [KIND_WHOLE] = "whole",     [KIND_SPLIT] = "split", [KIND_CUT] = "cut",
    [KIND_AGAIN] = "again",     [KIND_TWICE] = "twice", [KIND_LATE] = "late",
    [KIND_EARLIER] = "earlier", [KIND_SHORT] = "short",
};
static const char *const end_names[END_COUNT] = {
    [END_KEEP] = "keep", [END_CLOSE] = "close", [END_RESET] = "reset"};
static const char *const late_names[LATE_COUNT] = {[LATE_IDLE] = "idle",
                                                   [LATE_REQUEST] = "request",
                                                   [LATE_JOINED] = "joined"};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* guards all below */
static uint64_t seed = 1, share_percent;
static Kind only_kind = KIND_COUNT; /* KIND_COUNT: all */
static uint64_t connection_count, kind_counts[KIND_COUNT];
static GHashTable *responded;  /* request id -> responses */
static GString *last_response; /* with an id, on any connection */

static void relay(const CpStandinRoute *route, int32_t client_fd,
                  const struct sockaddr_in *client);
static bool wait_for_event(Connection *c);
static int64_t next_wait_ns(const Connection *c, int64_t now_ns);
static bool on_request(Connection *c);
static bool on_response(Connection *c);
static bool send_late(Connection *c);
static bool respond(Connection *c);
static void draw_plan(Plan *p, Connection *c, const GString *earlier,
                      const GString *second, bool has_id);
static void draw_pieces(Plan *p, const Connection *c, const GString *earlier,
                        const GString *second, bool has_id);
static void draw_end(Plan *p, const Connection *c);
static void add_piece(Plan *p, const char *name, const GString *text,
                      size_t from, size_t to);
static void add_joined(Plan *p, const char *name, const GString *text,
                       bool whole, const GString *response, uint64_t position);
static size_t draw_cut(Plan *p, const GString *text);
static uint64_t draw(Plan *p, uint64_t count);
static uint32_t draw_delay_ms(Plan *p);
static bool flush(Connection *c, GString *out, uint32_t wait_ms);
static bool play(Connection *c, const Plan *p);
static void print_plan(const Connection *c, const Plan *p, const char *id);
static size_t head_bytes(const GString *text);
static bool ends_by_close(const GString *response);
static void copy_id(const GString *text, char *id, size_t capacity);
static enum MHD_Result on_control(void *ctx, struct MHD_Connection *conn,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *data_bytes, void **state);

int
main(int argc, char **argv)
{
    responded = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    last_response = g_string_new(NULL);
    return CpStandin_RunRelay(argc, argv, on_control, relay);
}

static void
relay(const CpStandinRoute *route, int32_t client_fd,
      const struct sockaddr_in *client)
{
    Connection c = {.client_fd = client_fd,
                    .request = g_string_new(NULL),
                    .response = g_string_new(NULL),
                    .earlier = g_string_new(NULL),
                    .late = g_string_new(NULL)};
    bool ok;
    (void)client;
    pthread_mutex_lock(&lock);
    c.number = ++connection_count;
    pthread_mutex_unlock(&lock);
    c.server_fd = CpStandin_ConnectTarget(route, client_fd, NULL, &ok);
    c.received_ns = CpClock_Now_ns();
    while (ok) {
        ok = wait_for_event(&c);
    }
    if (c.reset) {
        CpStandin_CloseWithReset(client_fd);
    }
    else {
        close(client_fd);
    }
    close(c.server_fd);
    g_string_free(c.request, TRUE);
    g_string_free(c.response, TRUE);
    g_string_free(c.earlier, TRUE);
    g_string_free(c.late, TRUE);
}

/* Waits for the next event of a connection; returns false if it has to end. */
static bool
wait_for_event(Connection *c)
{
    struct pollfd p[2] = {
        {.fd = c->client_fd, .events = POLLIN},
        {.fd = c->server_closed ? -1 : c->server_fd, .events = POLLIN}};
    int64_t wait_ns = next_wait_ns(c, CpClock_Now_ns());
    struct timespec ts = {.tv_sec = wait_ns / CP_NS_PER_S,
                          .tv_nsec = wait_ns % CP_NS_PER_S};
    if (ppoll(p, 2, &ts, NULL) < 0) {
        return false;
    }
    if (p[0].revents != 0 && !on_request(c)) {
        return false;
    }
    if (p[1].revents != 0 && !on_response(c)) {
        return false;
    }
    int64_t now_ns = CpClock_Now_ns();
    int64_t quiet_ns = now_ns - c->received_ns;
    if (c->response->len > 0 &&
        (c->server_closed || (quiet_ns >= SETTLE_MS * CP_NS_PER_MS &&
                              !ends_by_close(c->response)))) {
        return respond(c) && !c->server_closed;
    }
    if (c->late->len > 0 && c->late_time == LATE_IDLE &&
        now_ns >= c->late_ns && !send_late(c)) {
        return false;
    }
    bool is_over =
        c->server_closed || (c->harmed && c->is_responded &&
                             quiet_ns >= HARMED_IDLE_MS * CP_NS_PER_MS);
    return !is_over || (c->late->len > 0 && c->late_time == LATE_IDLE);
}

static int64_t
next_wait_ns(const Connection *c, int64_t now_ns)
{
    int64_t due_ns = c->received_ns + CP_NS_PER_S;
    if (c->response->len > 0) {
        due_ns = c->received_ns + SETTLE_MS * CP_NS_PER_MS;
    }
    else if (c->late->len > 0 && c->late_time == LATE_IDLE) {
        due_ns = c->late_ns;
    }
    else if (c->harmed && c->is_responded) {
        due_ns = c->received_ns + HARMED_IDLE_MS * CP_NS_PER_MS;
    }
    return due_ns > now_ns ? due_ns - now_ns : CP_NS_PER_MS;
}

static bool
on_request(Connection *c)
{
    char data[CHUNK_BYTES];
    ssize_t n = recv(c->client_fd, data, sizeof(data), 0);
    if (n <= 0) {
        return false;
    }
    if (c->is_responded) {
        c->is_responded = false;
        g_string_truncate(c->request, 0);
        if (c->late->len > 0 && c->late_time == LATE_REQUEST &&
            !send_late(c)) {
            return false;
        }
    }
    if (c->request->len < MAX_REQUEST_BYTES) {
        g_string_append_len(c->request, data, n);
    }
    c->received_ns = CpClock_Now_ns();
    return CpStandin_Send(c->server_fd, data, (size_t)n);
}

static bool
on_response(Connection *c)
{
    char data[CHUNK_BYTES];
    ssize_t n = recv(c->server_fd, data, sizeof(data), 0);
    if (n < 0) {
        c->reset = true;
        return false;
    }
    c->server_closed = n == 0;
    g_string_append_len(c->response, data, n);
    c->received_ns = CpClock_Now_ns();
    return true;
}

static bool
send_late(Connection *c)
{
    bool ok = CpStandin_Send(c->client_fd, c->late->str, c->late->len);
    g_string_truncate(c->late, 0);
    c->received_ns = CpClock_Now_ns();
    return ok;
}

/* Draws and plays the plan for the response that was received. */
static bool
respond(Connection *c)
{
    Plan p = {0};
    char id[CP_NAME_BYTES];
    GString *earlier =
        g_string_new_len(c->earlier->str, (gssize)c->earlier->len);
    GString *second = g_string_new("HTTP/1.1 200 OK\r\n");
    copy_id(c->request, id, sizeof(id));
    pthread_mutex_lock(&lock);
    uint64_t count = GPOINTER_TO_UINT(g_hash_table_lookup(responded, id));
    g_hash_table_replace(responded, g_strdup(id),
                         GUINT_TO_POINTER((guint)count + 1));
    uint64_t key[2] = {seed, count};
    p.seed = CpHash(key, sizeof(key), CpHash(id, strlen(id), 7));
    if (earlier->len == 0 || draw(&p, 2) == 0) {
        g_string_assign(earlier, "");
        g_string_append_len(earlier, last_response->str,
                            (gssize)last_response->len);
    }
    bool has_id = draw(&p, 2) == 0;
    if (has_id) {
        g_string_append_printf(second, ID_HEADER "%s\r\n", id);
    }
    g_string_append(second, "Chestnutpaddle-Response-Seal: x\r\n"
                            "Content-Length: 2\r\n\r\nok");
    draw_plan(&p, c, earlier, second, has_id);
    kind_counts[p.kind]++;
    if (strstr(c->response->str, ID_HEADER) != NULL) {
        g_string_truncate(last_response, 0);
        g_string_append_len(last_response, c->response->str,
                            (gssize)c->response->len);
    }
    print_plan(c, &p, id);
    pthread_mutex_unlock(&lock);
    bool ok = play(c, &p);
    if (p.piece_count > 0 && p.pieces[0].text == c->late) {
        g_string_truncate(c->late, 0);
    }
    if (p.late_bytes > 0) {
        g_string_append_len(c->late, c->response->str, (gssize)p.late_bytes);
        c->late_time = p.late_time;
        c->late_ns =
            CpClock_Now_ns() + (int64_t)p.late_delay_ms * CP_NS_PER_MS;
    }
    GString *played = c->response;
    c->response = c->earlier;
    c->earlier = played;
    g_string_truncate(c->response, 0);
    g_string_free(earlier, TRUE);
    g_string_free(second, TRUE);
    c->harmed |= p.kind > KIND_SPLIT;
    c->is_responded = true;
    c->response_count++;
    c->received_ns = CpClock_Now_ns();
    return ok;
}

static void
draw_plan(Plan *p, Connection *c, const GString *earlier,
          const GString *second, bool has_id)
{
    bool is_harmed = draw(p, 100) < share_percent && c->request->len > 0;
    p->kind = !is_harmed ? (draw(p, 3) == 0 ? KIND_SPLIT : KIND_WHOLE)
              : only_kind < KIND_COUNT
                  ? only_kind
                  : KIND_CUT + draw(p, KIND_COUNT - KIND_CUT);
    if ((p->kind == KIND_EARLIER && earlier->len == 0) ||
        (p->kind == KIND_LATE && c->server_closed)) {
        p->kind = KIND_TWICE;
    }
    if (c->late->len > 0 && c->late_time == LATE_JOINED) {
        add_piece(p, "late", c->late, 0, c->late->len);
    }
    draw_pieces(p, c, earlier, second, has_id);
    draw_end(p, c);
}

static void
draw_pieces(Plan *p, const Connection *c, const GString *earlier,
            const GString *second, bool has_id)
{
    const GString *r = c->response;
    size_t cut = draw_cut(p, r);
    bool whole = draw(p, 4) == 0;
    switch (p->kind) {
    case KIND_SPLIT:
        add_piece(p, "response", r, 0, cut);
        add_piece(p, "response", r, cut, r->len);
        break;
    case KIND_CUT:
        add_piece(p, "response", r, 0, cut);
        break;
    case KIND_AGAIN:
        add_piece(p, "response", r, 0, cut);
        add_piece(p, "again", r, 0, draw(p, 4) > 0 ? r->len : draw_cut(p, r));
        break;
    case KIND_TWICE:
        add_joined(p, "again", r, draw(p, 2) == 0, r, 2);
        break;
    case KIND_EARLIER:
        add_joined(p, "earlier", earlier, whole, r, draw(p, 2));
        break;
    case KIND_SHORT: {
        uint64_t position = draw(p, 3);
        /* Nothing tells a whole one with the id, before, from the response. */
        add_joined(p, "short", second, whole && (position > 0 || !has_id), r,
                   position);
        break;
    }
    case KIND_LATE:
        p->late_bytes = draw(p, 2) == 0 ? r->len : cut;
        p->late_time = draw(p, LATE_COUNT);
        p->late_delay_ms = 1 + (uint32_t)draw(p, MAX_DELAY_MS);
        add_piece(p, "response", r, 0, r->len);
        break;
    default:
        add_piece(p, "response", r, 0, r->len);
        break;
    }
}

/* Adds a response, or a part of it, before (0), inside (1) or after (2) the
 * present one. Inside, it has its status line at least: nothing tells a
 * shorter part from the server's own bytes. */
static void
add_joined(Plan *p, const char *name, const GString *text, bool whole,
           const GString *response, uint64_t position)
{
    size_t cut = position == 0 ? 0 : draw_cut(p, response);
    cut = position == 2 ? response->len : cut;
    size_t n = whole ? text->len : draw_cut(p, text);
    size_t line_bytes = strcspn(text->str, "\n") + 1;
    if (position == 1 && n < line_bytes) {
        n = line_bytes;
    }
    add_piece(p, "response", response, 0, cut);
    add_piece(p, name, text, 0, n);
    add_piece(p, "response", response, cut, response->len);
}

static void
add_piece(Plan *p, const char *name, const GString *text, size_t from,
          size_t to)
{
    if (from >= to || p->piece_count >= MAX_PIECES) {
        return;
    }
    Piece *piece = &p->pieces[p->piece_count];
    *piece = (Piece){.name = name,
                     .text = text,
                     .from = from,
                     .to = to,
                     .delay_ms = p->piece_count > 0 ? draw_delay_ms(p) : 0};
    if (p->kind > KIND_SPLIT && draw(p, 4) == 0) {
        piece->pause_at = from + draw(p, to - from);
        piece->pause_ms = 1 + (uint32_t)draw(p, MAX_DELAY_MS);
    }
    p->piece_count++;
}

/* Draws what becomes of the connection. Where its end is the end of the body,
 * an end in order must not hide that this is no response: the head is not
 * whole, or another head follows. */
static void
draw_end(Plan *p, const Connection *c)
{
    static const End ends[] = {END_KEEP, END_KEEP, END_CLOSE, END_RESET};
    if (p->kind <= KIND_SPLIT || p->kind == KIND_LATE) {
        p->end = END_KEEP;
        return;
    }
    p->end_delay_ms = draw_delay_ms(p);
    p->end = p->kind == KIND_CUT ? (draw(p, 2) == 0 ? END_CLOSE : END_RESET)
                                 : ends[draw(p, G_N_ELEMENTS(ends))];
    if (ends_by_close(c->response)) {
        bool is_told = p->pieces[0].to < head_bytes(p->pieces[0].text);
        for (uint32_t i = 1; i < p->piece_count; i++) {
            is_told |= p->pieces[i].from == 0 &&
                       p->pieces[i].to >= head_bytes(p->pieces[i].text);
        }
        p->end = is_told && p->end != END_RESET ? END_CLOSE : END_RESET;
    }
}

/* Draws a position inside the text: half of them in its head, some at the end
 * of a line. */
static size_t
draw_cut(Plan *p, const GString *text)
{
    if (text->len < 2) {
        return text->len;
    }
    size_t head = head_bytes(text);
    uint64_t place = draw(p, 5);
    size_t at = 1 + draw(p, (place < 3 ? head : text->len) - 1);
    if (place == 2) {
        const char *lf = memchr(text->str + at, '\n', text->len - at);
        at = lf != NULL ? (size_t)(lf - text->str) + 1 : at;
    }
    return at < text->len ? at : text->len - 1;
}

static uint64_t
draw(Plan *p, uint64_t count)
{
    uint64_t key[2] = {p->seed, ++p->drawn};
    return CpHash(key, sizeof(key), 7) % count;
}

static uint32_t
draw_delay_ms(Plan *p)
{
    return draw(p, 2) == 0 ? 0 : 1 + (uint32_t)draw(p, MAX_DELAY_MS);
}

/* Sends what was collected and waits. */
static bool
flush(Connection *c, GString *out, uint32_t wait_ms)
{
    bool ok = CpStandin_Send(c->client_fd, out->str, out->len);
    g_string_truncate(out, 0);
    CpStandin_Sleep_ms(wait_ms);
    return ok;
}

/* Sends the pieces, those without a delay together; returns false if the
 * connection has ended. */
static bool
play(Connection *c, const Plan *p)
{
    GString *out = g_string_new(NULL);
    bool ok = true;
    for (uint32_t i = 0; ok && i < p->piece_count; i++) {
        const Piece *piece = &p->pieces[i];
        const char *text = piece->text->str;
        size_t from = piece->from;
        ok = piece->delay_ms == 0 || flush(c, out, piece->delay_ms);
        if (ok && piece->pause_at > from) {
            g_string_append_len(out, text + from,
                                (gssize)(piece->pause_at - from));
            ok = flush(c, out, piece->pause_ms);
            from = piece->pause_at;
        }
        g_string_append_len(out, text + from, (gssize)(piece->to - from));
    }
    ok = ok && CpStandin_Send(c->client_fd, out->str, out->len);
    g_string_free(out, TRUE);
    if (p->end == END_KEEP) {
        return ok;
    }
    CpStandin_Sleep_ms(p->end_delay_ms);
    c->reset = p->end == END_RESET;
    return false;
}

static void
print_plan(const Connection *c, const Plan *p, const char *id)
{
    printf("%llu.%llu %s %s:", (unsigned long long)c->number,
           (unsigned long long)c->response_count, id, kind_names[p->kind]);
    for (uint32_t i = 0; i < p->piece_count; i++) {
        const Piece *piece = &p->pieces[i];
        char of[CP_NAME_BYTES] = "";
        if (strcmp(piece->name, "earlier") == 0) {
            copy_id(piece->text, of, sizeof(of));
        }
        printf(" +%u %s%s%s[%zu,", piece->delay_ms, piece->name,
               of[0] != '\0' ? " of " : "", of, piece->from);
        if (piece->pause_at > piece->from) {
            printf("%zu+%u,", piece->pause_at, piece->pause_ms);
        }
        printf("%zu)/%zu", piece->to, piece->text->len);
    }
    if (p->late_bytes > 0) {
        printf(" +%u %s late[0,%zu)", p->late_delay_ms,
               late_names[p->late_time], p->late_bytes);
    }
    printf(" +%u %s\n", p->end_delay_ms, end_names[p->end]);
    fflush(stdout);
}

/* Returns the length of a response's head. */
static size_t
head_bytes(const GString *text)
{
    const char *end = memmem(text->str, text->len, "\r\n\r\n", 4);
    return end != NULL ? (size_t)(end - text->str) + 4 : text->len;
}

static bool
ends_by_close(const GString *response)
{
    size_t n = head_bytes(response);
    return memmem(response->str, n, "Content-Length:", 15) == NULL &&
           memmem(response->str, n, "chunked", 7) == NULL;
}

/* Copies the id in a head; "-" if there is none. */
static void
copy_id(const GString *text, char *id, size_t capacity)
{
    const char *at = strstr(text->str, ID_HEADER);
    CpStr_Copy(id, capacity, at != NULL ? at + strlen(ID_HEADER) : "-");
    id[strcspn(id, "\r\n")] = '\0';
}

static enum MHD_Result
on_control(void *ctx, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **state)
{
    static char head_received;
    (void)ctx, (void)method, (void)version, (void)data;
    if (*state == NULL || *data_bytes > 0) {
        *data_bytes = 0;
        *state = &head_received;
        return MHD_YES;
    }
    GString *text = g_string_new(NULL);
    pthread_mutex_lock(&lock);
    if (strcmp(url, "/counts") == 0) {
        for (uint32_t i = 0; i < KIND_COUNT; i++) {
            g_string_append_printf(text, "%s %llu\n", kind_names[i],
                                   (unsigned long long)kind_counts[i]);
        }
    }
    else {
        const char *mode = CpStandin_GetQueryText(conn, "mode", "on");
        seed = CpStandin_GetQueryNumber(conn, "seed", seed);
        share_percent = CpStandin_GetQueryNumber(conn, "share", share_percent);
        only_kind = KIND_COUNT;
        for (uint32_t i = 0; i < KIND_COUNT; i++) {
            only_kind = strcmp(mode, kind_names[i]) == 0 ? i : only_kind;
        }
        share_percent = strcmp(mode, "off") == 0 ? 0 : share_percent;
    }
    pthread_mutex_unlock(&lock);
    return CpStandin_Respond(conn, 200, g_string_free(text, FALSE));
}
