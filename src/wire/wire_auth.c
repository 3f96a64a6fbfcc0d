/* Mutual authentication: each side proves that it has the shared key by a MAC
 * over both nonces and both host names. */
#include <sodium.h>
#include <string.h>

#include "wire/wire_int.h"

static void compute_mac(const CpSession *s, bool by_dialler, uint8_t *mac);
static bool handle_hello(CpSession *s, const CpHello *h);
static bool handle_proof(CpSession *s, const CpProof *p);
static void send_proof(CpSession *s);

bool
CpAuth_OnFrame(CpSession *s, const CpFrame *frame)
{
    bool ok = false;
    pthread_mutex_lock(&s->lock);
    if (s->state == CP_SESSION_HELLO && frame->type == CP_FRAME_HELLO) {
        ok = handle_hello(s, &frame->hello);
    }
    else if (s->state == CP_SESSION_PROOF && frame->type == CP_FRAME_PROOF) {
        ok = handle_proof(s, &frame->proof);
    }
    pthread_mutex_unlock(&s->lock);
    return ok;
}

void
CpAuth_SendHello(CpSession *s)
{
    CpFrame f = {.type = CP_FRAME_HELLO};
    CpStr_Copy(f.hello.host, sizeof(f.hello.host), s->wire->host);
    CpStr_Copy(f.hello.domain, sizeof(f.hello.domain), s->wire->domain);
    f.hello.incarnation = s->wire->options.incarnation;
    f.hello.nonce = (CpBytes){s->nonce, CP_NONCE_BYTES};
    CpOut_Enqueue(s, &f, CP_CLASS_HANDSHAKE);
}

static bool
handle_hello(CpSession *s, const CpHello *h)
{
    if (h->nonce.size_bytes != CP_NONCE_BYTES) {
        return false;
    }
    memcpy(s->peer_nonce, h->nonce.data, CP_NONCE_BYTES);
    s->peer_incarnation = h->incarnation;
    CpStr_Copy(s->peer, sizeof(s->peer), h->host);
    CpAtomic_Store(&s->state, CP_SESSION_PROOF);
    if (!s->outbound) {
        CpAuth_SendHello(s);
    }
    send_proof(s);
    return true;
}

static bool
handle_proof(CpSession *s, const CpProof *p)
{
    uint8_t mac[crypto_auth_BYTES];
    compute_mac(s, !s->outbound, mac);
    if (p->mac.size_bytes != sizeof(mac) ||
        sodium_memcmp(p->mac.data, mac, sizeof(mac)) != 0) {
        CpCounter_Add(CP_COUNT_BAD_KEYS, 1);
        CpLog(CP_LOG_WARNING, "session with %s: wrong key", s->peer);
        return false;
    }
    CpAtomic_Store(&s->state, CP_SESSION_READY);
    CpCounter_Add(CP_COUNT_SESSIONS_OPENED, 1);
    return CpOut_Flush(s);
}

static void
send_proof(CpSession *s)
{
    uint8_t mac[crypto_auth_BYTES];
    CpFrame f = {.type = CP_FRAME_PROOF};
    compute_mac(s, s->outbound, mac);
    f.proof.mac = (CpBytes){mac, sizeof(mac)};
    CpOut_Enqueue(s, &f, CP_CLASS_HANDSHAKE);
}

/* Computes the MAC of one side. It covers the side, so that a peer's own MAC
 * cannot be reflected to it. */
static void
compute_mac(const CpSession *s, bool by_dialler, uint8_t *mac)
{
    const uint8_t side = by_dialler ? 'd' : 'a'; /* dialled, accepted */
    const uint8_t *first = s->outbound ? s->nonce : s->peer_nonce;
    const uint8_t *second = s->outbound ? s->peer_nonce : s->nonce;
    const char *names[] = {s->outbound ? s->wire->host : s->peer,
                           s->outbound ? s->peer : s->wire->host};
    crypto_auth_hmacsha512256_state st;
    crypto_auth_hmacsha512256_init(&st, s->wire->options.key, 32);
    crypto_auth_hmacsha512256_update(&st, &side, 1);
    crypto_auth_hmacsha512256_update(&st, first, CP_NONCE_BYTES);
    crypto_auth_hmacsha512256_update(&st, second, CP_NONCE_BYTES);
    for (uint32_t i = 0; i < 2; i++) {
        crypto_auth_hmacsha512256_update(&st, (const uint8_t *)names[i],
                                         strlen(names[i]) + 1);
    }
    crypto_auth_hmacsha512256_final(&st, mac);
}
