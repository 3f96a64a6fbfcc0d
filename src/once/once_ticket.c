/* Tickets as text: a readable payload, sealed by its MAC. */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "once/once.h"

#define MAC_BYTES 16
#define PAYLOAD_BYTES 128

static void compute_mac(const char *payload, const uint8_t key[32],
                        char mac_hex[MAC_BYTES * 2 + 1]);

void
CpTicket_Seal(const CpTicket *t, const uint8_t key[32],
              char text[CP_TICKET_TEXT_BYTES])
{
    char payload[PAYLOAD_BYTES], mac[MAC_BYTES * 2 + 1];
    snprintf(payload, sizeof(payload), "%s~%" PRIx64 "~%" PRIx64 "~%" PRIx64,
             t->host, t->incarnation, t->number, (uint64_t)t->expires_ms);
    compute_mac(payload, key, mac);
    snprintf(text, CP_TICKET_TEXT_BYTES, "%s~%s", payload, mac);
}

CpStatus
CpTicket_Open(const char *text, const uint8_t key[32], CpTicket *out)
{
    char payload[PAYLOAD_BYTES], mac[MAC_BYTES * 2 + 1];
    const char *separator = strrchr(text, '~');
    uint64_t expires_ms;
    *out = (CpTicket){0};
    if (separator == NULL || (size_t)(separator - text) >= sizeof(payload) ||
        strlen(separator + 1) != MAC_BYTES * 2) {
        return CpError_Set(CP_ERR_AUTH, "malformed ticket");
    }
    CpStr_Copy(payload, (size_t)(separator - text) + 1, text);
    compute_mac(payload, key, mac);
    if (sodium_memcmp(mac, separator + 1, MAC_BYTES * 2) != 0) {
        return CpError_Set(CP_ERR_AUTH, "the ticket's seal does not match");
    }
    if (sscanf(payload, "%47[^~]~%" SCNx64 "~%" SCNx64 "~%" SCNx64, out->host,
               &out->incarnation, &out->number, &expires_ms) != 4) {
        return CpError_Set(CP_ERR_AUTH, "malformed ticket");
    }
    out->expires_ms = (int64_t)expires_ms;
    return CP_OK;
}

static void
compute_mac(const char *payload, const uint8_t key[32],
            char mac_hex[MAC_BYTES * 2 + 1])
{
    uint8_t mac[MAC_BYTES];
    crypto_generichash(mac, sizeof(mac), (const uint8_t *)payload,
                       strlen(payload), key, 32);
    sodium_bin2hex(mac_hex, MAC_BYTES * 2 + 1, mac, sizeof(mac));
}
