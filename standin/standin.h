/* What the stand-ins share: answers and query arguments of libmicrohttpd. */
#ifndef CP_STANDIN_H
#define CP_STANDIN_H

#include <microhttpd.h>

#include "base/base.h"

/* Starts a daemon with a thread a connection, so that a handler may sleep;
 * ends the process when it cannot listen. */
struct MHD_Daemon *CpStandin_Listen(const char *address,
                                    MHD_AccessHandlerCallback fn, void *ctx,
                                    MHD_RequestCompletedCallback completed);
/* Queues `text`, which is freed. */
enum MHD_Result CpStandin_Answer(struct MHD_Connection *conn, uint32_t status,
                                 char *text);
/* A query argument, or `preset`. */
const char *CpStandin_Text(struct MHD_Connection *conn, const char *name,
                           const char *preset);
uint64_t CpStandin_Number(struct MHD_Connection *conn, const char *name,
                          uint64_t preset);
const char *CpStandin_Header(struct MHD_Connection *conn, const char *name);
void CpStandin_Sleep_ms(uint64_t ms);
/* Waits for SIGTERM or SIGINT, which were blocked before the threads. */
void CpStandin_BlockSignals(void);
void CpStandin_WaitForStop(void);

/* Fills a body that only its tag and size determine. */
void CpStandin_Fill(uint64_t tag, uint64_t offset, char *out, size_t n);

#endif
