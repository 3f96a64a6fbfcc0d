/*
 * Which call uses which connection to a server. The library opens connections,
 * chooses one for each call, and closes them. A connection is only looked at,
 * watched or ended on behalf of the call that uses it, or while it is idle.
 */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/easy.h"

typedef struct {
    curl_socket_t fd;
    void *name;            /* key in by_name */
    CpResponseCheck *user; /* NULL: it is idle */
} Connection;

struct CpConnections {
    GHashTable *by_fd;
    GHashTable *by_name; /* server and local port */
};

static int on_close(void *ctx, curl_socket_t fd);
static void add(CpConnections *t, CpResponseCheck *c, void *name);
static bool hand_on(Connection *connection);
static bool is_quiet(curl_socket_t fd);

CpConnections *
CpConnections_New(void)
{
    CpConnections *t = CpMem_Alloc(sizeof(*t));
    t->by_fd =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free);
    t->by_name = g_hash_table_new(g_direct_hash, g_direct_equal);
    return t;
}

void
CpConnections_Free(CpConnections *t)
{
    g_hash_table_destroy(t->by_name);
    g_hash_table_destroy(t->by_fd);
    free(t);
}

void
CpConnections_Follow(CpConnections *t, CURL *e)
{
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, t);
}

void
CpConnections_OnOpened(CpResponseCheck *c, curl_socket_t fd)
{
    c->opened_fd = fd;
}

CpConnectionState
CpConnections_Take(CpResponseCheck *c, int local_port)
{
    CpConnections *t = c->options.connections;
    void *name = GSIZE_TO_POINTER(
        (gsize)CpHash_Str(c->options.server, (uint64_t)local_port));
    if (c->opened_fd != CURL_SOCKET_BAD) {
        add(t, c, name);
        return CP_CONNECTION_OPENED;
    }
    Connection *connection = g_hash_table_lookup(t->by_name, name);
    if (connection == NULL) {
        return CP_CONNECTION_SPENT;
    }
    bool is_clean = connection->user == NULL || hand_on(connection);
    connection->user = c;
    c->fd = connection->fd;
    return is_clean && is_quiet(c->fd) ? CP_CONNECTION_REUSED
                                       : CP_CONNECTION_SPENT;
}

curl_socket_t
CpConnections_Release(CpResponseCheck *c)
{
    curl_socket_t idle_fd = c->idle_fd;
    Connection *connection =
        c->fd != CURL_SOCKET_BAD
            ? g_hash_table_lookup(c->options.connections->by_fd,
                                  GINT_TO_POINTER(c->fd))
            : NULL;
    c->fd = c->idle_fd = CURL_SOCKET_BAD;
    if (connection == NULL) {
        return CURL_SOCKET_BAD;
    }
    connection->user = NULL;
    if (idle_fd == CURL_SOCKET_BAD) {
        CpEasy_EndConnection(connection->fd);
    }
    return idle_fd;
}

bool
CpConnections_IsIdle(const CpConnections *t, curl_socket_t fd)
{
    const Connection *connection =
        g_hash_table_lookup(t->by_fd, GINT_TO_POINTER(fd));
    return connection != NULL && connection->user == NULL;
}

/* The library closes a connection, whether a call uses it or not. */
static int
on_close(void *ctx, curl_socket_t fd)
{
    CpConnections *t = ctx;
    Connection *connection =
        g_hash_table_lookup(t->by_fd, GINT_TO_POINTER(fd));
    if (connection != NULL) {
        if (connection->user != NULL) {
            connection->user->fd = connection->user->idle_fd = CURL_SOCKET_BAD;
        }
        g_hash_table_remove(t->by_name, connection->name);
        g_hash_table_remove(t->by_fd, GINT_TO_POINTER(fd));
    }
    return close(fd);
}

static void
add(CpConnections *t, CpResponseCheck *c, void *name)
{
    Connection *connection = CpMem_Alloc(sizeof(*connection));
    connection->fd = c->opened_fd;
    connection->name = name;
    connection->user = c;
    g_hash_table_replace(t->by_name, name, connection);
    g_hash_table_replace(t->by_fd, GINT_TO_POINTER(connection->fd),
                         connection);
    c->fd = connection->fd;
    c->opened_fd = CURL_SOCKET_BAD;
}

/* Ends the use of a connection by a call that the library has ended, but not
 * yet reported. Returns true if the connection can be used again. */
static bool
hand_on(Connection *connection)
{
    CpResponseCheck *before = connection->user;
    CpResponseCheck_ReadFollowing(before, before->fd);
    before->fd = CURL_SOCKET_BAD;
    return CpResponseCheck_IsClean(before);
}

/* Returns true if neither bytes nor the end of the connection have come. */
static bool
is_quiet(curl_socket_t fd)
{
    char byte;
    return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0 &&
           errno == EAGAIN;
}
