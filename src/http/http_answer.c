/* Responses with a complete body: pages, and refusals with their verdict. */
#include <stdio.h>
#include <string.h>

#include "http/http_int.h"

enum MHD_Result
CpResponse_QueueText(struct MHD_Connection *conn, uint32_t status,
                     const char *type, char *text)
{
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(r, "Content-Type", type);
    enum MHD_Result ok = MHD_queue_response(conn, status, r);
    MHD_destroy_response(r);
    return ok;
}

enum MHD_Result
CpResponse_QueueRefusal(struct MHD_Connection *conn,
                        const CpResponseHead *head)
{
    char text[512], retry_after[16];
    uint32_t retry_after_s = CpReason_RetryAfter_s(head->reason);
    int32_t n =
        snprintf(text, sizeof(text),
                 "{\"reason\":\"%s\",\"verdict\":\"%s\","
                 "\"text\":\"%s\"}\n",
                 CpReason_Name(head->reason), CpVerdict_Name(head->verdict),
                 CpReason_Text(head->reason));
    struct MHD_Response *r = MHD_create_response_from_buffer(
        (size_t)n, text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(r, "Content-Type", "application/json");
    MHD_add_response_header(r, CP_HEADER_VERDICT,
                            CpVerdict_Name(head->verdict));
    MHD_add_response_header(r, CP_HEADER_REASON, CpReason_Name(head->reason));
    if (retry_after_s > 0) {
        snprintf(retry_after, sizeof(retry_after), "%u", retry_after_s);
        MHD_add_response_header(r, "Retry-After", retry_after);
    }
    if (head->location[0] != '\0') {
        MHD_add_response_header(r, "Location", head->location);
    }
    enum MHD_Result ok = MHD_queue_response(conn, head->status, r);
    MHD_destroy_response(r);
    return ok;
}
