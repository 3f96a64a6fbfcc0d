/* What the files of the http package share. */
#ifndef CP_HTTP_INT_H
#define CP_HTTP_INT_H

#include <microhttpd.h>

#include "http/http.h"

/* Queues a text, which is freed. */
enum MHD_Result CpAnswer_Text(struct MHD_Connection *conn, uint32_t status,
                              const char *type, char *text);
/* Queues a refusal: reason, verdict and what else its head says. */
enum MHD_Result CpAnswer_Refusal(struct MHD_Connection *conn,
                                 const CpHead *head);

#endif
