/*
 * standin: helpers shared by the stand-ins of outside systems: an HTTP
 * listener, responses, query arguments, signals and generated bodies.
 */
#ifndef CP_STANDIN_H
#define CP_STANDIN_H

#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include "base/base.h"

/* Starts a daemon with one thread per connection, so that handlers may block.
 * Exits the process if it cannot listen. */
struct MHD_Daemon *CpStandin_Listen(const char *address,
                                    MHD_AccessHandlerCallback on_request,
                                    void *ctx,
                                    MHD_RequestCompletedCallback on_completed);
/* A relay listens on IPv4 addresses, each for a target. */
typedef struct {
    char listen[CP_ADDR_BYTES];
    char target[CP_ADDR_BYTES];
} CpStandinRoute;
/* Relays one connection, in a thread of its own; closes client_fd. */
typedef void (*CpRelayFn)(const CpStandinRoute *route, int32_t client_fd,
                          const struct sockaddr_in *client);
/* Runs a relay with the arguments CONTROL LISTEN=TARGET... until a signal to
 * stop; returns the process's exit status. */
int CpStandin_RunRelay(int argc, char **argv,
                       MHD_AccessHandlerCallback on_control, CpRelayFn relay);
/* Returns a socket that is connected to an IPv4 address, or not connected if
 * that failed; `source` may be NULL. Both sockets send without delay. */
int32_t CpStandin_ConnectTarget(const CpStandinRoute *route, int32_t client_fd,
                                const struct sockaddr_in *source,
                                bool *connected);
/* Closes a socket with RST instead of FIN. */
void CpStandin_CloseWithReset(int32_t fd);
/* Returns the socket of a connection. */
int32_t CpStandin_Socket(struct MHD_Connection *conn);
/* Sends bytes on a socket, beside the library; returns false if the client
 * disconnects. */
bool CpStandin_Send(int32_t fd, const char *data, size_t size_bytes);
/* Counts a request on its connection; returns how many there were, this one
 * included. */
uint32_t CpStandin_CountUse(struct MHD_Connection *conn);
/* Queues a JSON response and takes ownership of `text`. */
enum MHD_Result CpStandin_Respond(struct MHD_Connection *conn, uint32_t status,
                                  char *text);
/* Returns a query argument, or `default_value` if the URL has none. */
const char *CpStandin_GetQueryText(struct MHD_Connection *conn,
                                   const char *name,
                                   const char *default_value);
uint64_t CpStandin_GetQueryNumber(struct MHD_Connection *conn,
                                  const char *name, uint64_t default_value);
/* Returns a request header, or NULL if there is none. */
const char *CpStandin_GetHeader(struct MHD_Connection *conn, const char *name);
void CpStandin_Sleep_ms(uint64_t ms);
/* Blocks SIGTERM and SIGINT and ignores SIGPIPE; call it before any thread is
 * started, as threads inherit the mask. */
void CpStandin_BlockSignals(void);
/* Waits for SIGTERM or SIGINT, which must be blocked. */
void CpStandin_WaitForStop(void);

/* Parses a caller's options; exits the process if they are wrong, or if *rest
 * is then empty. */
void CpStandin_ParseOptions(int argc, char **argv, const GOptionEntry *options,
                            gchar ***rest);
/* Runs a thread for each of `count` callers and waits for all of them. */
void CpStandin_RunCallers(void *(*run)(void *caller), void *callers,
                          size_t caller_bytes, uint32_t count);
#define CP_STANDIN_TIMEOUT_MS 3000 /* of a caller's request */
/* Sets the URL, headers and timeouts of a caller's request on a handle that is
 * used again; *sent becomes true right before its first byte. Free the list
 * after the call. */
struct curl_slist *CpStandin_SetRequest(CURL *e, const char *url,
                                        const char *id, uint64_t object,
                                        bool *sent);

/* Generates `n` bytes at `offset` of the body for `tag`. The bytes depend on
 * the tag and the offset alone, so that a client can check them. */
void CpStandin_FillBody(uint64_t tag, uint64_t offset, char *out, size_t n);

#endif
