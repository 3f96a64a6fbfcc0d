/* Addresses of the form IP:port. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/base.h"

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
    uint16_t port = htons((uint16_t)atoi(colon + 1));
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
