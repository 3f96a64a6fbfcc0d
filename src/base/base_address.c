/* Addresses of the form IP:port, and socket options. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"

static bool parse_port(const char *text, uint16_t *out);

uint32_t
CpAddress_Parse(const char *text, void *out)
{
    char ip[CP_ADDR_BYTES];
    struct sockaddr_in *a4 = out;
    struct sockaddr_in6 *a6 = out;
    const char *colon = strrchr(text, ':');
    memset(out, 0, sizeof(struct sockaddr_storage));
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return 0;
    }
    CpStr_Copy(ip, (size_t)(colon - text) + 1, text);
    uint16_t port = 0;
    if (!parse_port(colon + 1, &port)) {
        return 0;
    }
    if (inet_pton(AF_INET, ip, &a4->sin_addr) == 1) {
        a4->sin_family = AF_INET;
        a4->sin_port = port;
        return sizeof(*a4);
    }
    if (inet_pton(AF_INET6, ip, &a6->sin6_addr) == 1) {
        a6->sin6_family = AF_INET6;
        a6->sin6_port = port;
        return sizeof(*a6);
    }
    return 0;
}

/* Parses a decimal port from 1 to 65535, in network byte order. */
static bool
parse_port(const char *text, uint16_t *out)
{
    uint32_t port = 0;
    size_t digits = strspn(text, "0123456789");
    if (digits == 0 || digits > 5 || text[digits] != '\0') {
        return false;
    }
    port = (uint32_t)strtoul(text, NULL, 10);
    *out = htons((uint16_t)port);
    return port >= 1 && port <= UINT16_MAX;
}

int32_t
CpSocket_Bind(const char *address)
{
    struct sockaddr_storage sa;
    int32_t one = 1;
    uint32_t n = CpAddress_Parse(address, &sa);
    if (n == 0) {
        CpError_Set(CP_ERR_ARG, "%s: expected IP:port", address);
        return -1;
    }
    int32_t fd =
        socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
        bind(fd, (struct sockaddr *)&sa, n) != 0) {
        CpError_Set(CP_ERR_IO, "%s: %s", address, strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

CpStatus
CpSocket_SetKeepalive(int32_t fd, uint32_t idle_s, uint32_t probes)
{
    int32_t on = 1, idle = (int32_t)idle_s, count = (int32_t)probes;
    if (setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) != 0 ||
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle)) != 0 ||
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle)) != 0 ||
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count)) != 0) {
        return CpError_Set(CP_ERR_IO, "TCP keepalive: %s", strerror(errno));
    }
    return CP_OK;
}

bool
CpSocket_HasEnded(int32_t fd)
{
    struct pollfd p = {.fd = fd, .events = POLLRDHUP};
    int unread = 0;
    return poll(&p, 1, 0) > 0 &&
           (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 &&
           ioctl(fd, FIONREAD, &unread) == 0 && unread == 0;
}
