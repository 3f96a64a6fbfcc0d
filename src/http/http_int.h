/* Internal declarations of the http package. */
#ifndef CP_HTTP_INT_H
#define CP_HTTP_INT_H

#include <microhttpd.h>

#include "http/http.h"

/* Queues a text as the response; takes ownership of the text. */
enum MHD_Result CpResponse_QueueText(struct MHD_Connection *conn,
                                     uint32_t status, const char *type,
                                     char *text);
/* Queues a refusal with the status, reason, verdict and location of `head`. */
enum MHD_Result CpResponse_QueueRefusal(struct MHD_Connection *conn,
                                        const CpResponseHead *head);

/* Returns true if the text is a token: the name of a header or a method. */
bool CpHttp_IsToken(const char *text, size_t n);

#endif
