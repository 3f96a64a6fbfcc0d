/* Output of a session: one queue per class, written without blocking. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "wire/wire_int.h"

static void count_control_bytes(CpFrameType type, uint32_t size_bytes);
static CpOutFrame *dequeue_next(CpSession *s);
static CpOutFrame *dequeue_first(CpSession *s, uint32_t class_index);
static void set_wants_write(CpSession *s, bool on);
static void free_out(CpOutFrame *o);

CpStatus
CpOut_Enqueue(CpSession *s, const CpFrame *frame, uint32_t class_index)
{
    CpOutFrame *o = CpMem_Alloc(sizeof(*o));
    CpStatus st = CpFrame_Encode(frame, &o->data, &o->size_bytes);
    if (st != CP_OK) {
        free(o);
        return st;
    }
    o->class_index = class_index;
    count_control_bytes(frame->type, o->size_bytes);
    o->request_id = frame->type == CP_FRAME_REQUEST ? frame->request.id : 0;
    CpOutQueue *q = &s->queues[class_index];
    if (q->last != NULL) {
        q->last->next = o;
    }
    else {
        q->first = o;
    }
    q->last = o;
    bool handshake = frame->type <= CP_FRAME_PROOF;
    if (s->state == CP_SESSION_READY || handshake) {
        CpOut_Flush(s);
    }
    return CP_OK;
}

bool
CpOut_Flush(CpSession *s)
{
    s->link_blocked = false;
    for (;;) {
        if (s->sending == NULL) {
            s->sending = dequeue_next(s);
        }
        CpOutFrame *o = s->sending;
        if (o == NULL) {
            set_wants_write(s, false);
            return true;
        }
        ssize_t n = send(s->fd, o->data + o->sent_bytes,
                         o->size_bytes - o->sent_bytes, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            set_wants_write(s, true);
            return true;
        }
        if (n < 0) {
            shutdown(s->fd, SHUT_RDWR);
            return false;
        }
        o->sent_bytes += (uint32_t)n;
        if (o->sent_bytes == o->size_bytes) {
            s->sending = NULL;
            free_out(o);
        }
    }
}

CpOutFrame *
CpOut_DetachAll(CpSession *s)
{
    CpOutFrame *all = NULL;
    for (uint32_t i = 0; i <= CP_CLASS_COUNT; i++) {
        while (s->queues[i].first != NULL) {
            CpOutFrame *o = s->queues[i].first;
            s->queues[i].first = o->next;
            o->next = all;
            all = o;
        }
        s->queues[i].last = NULL;
    }
    if (s->sending != NULL) {
        s->sending->request_id = 0;
        s->sending->next = all;
        all = s->sending;
        s->sending = NULL;
    }
    return all;
}

/* Dequeues the next frame in order of class; NULL if there is none or the link
 * has no budget for it. Until the session is ready, only handshake frames are
 * sent. */
static CpOutFrame *
dequeue_next(CpSession *s)
{
    const CpWireCallbacks *cb = &s->wire->options.callbacks;
    CpOutFrame *o = s->queues[CP_CLASS_HANDSHAKE].first;
    if (o != NULL) {
        return dequeue_first(s, CP_CLASS_HANDSHAKE);
    }
    for (uint32_t i = 0; s->state == CP_SESSION_READY && i < CP_CLASS_COUNT;
         i++) {
        o = s->queues[i].first;
        if (o == NULL) {
            continue;
        }
        if (!cb->reserve_bandwidth(cb->ctx, s->peer, i, o->size_bytes)) {
            s->link_blocked = true;
            CpAtomic_Store(&s->wire->link_blocked, 1);
            return NULL;
        }
        return dequeue_first(s, i);
    }
    return NULL;
}

/* Dequeues the first frame of a class and sets its sequence number. */
static CpOutFrame *
dequeue_first(CpSession *s, uint32_t class_index)
{
    CpOutQueue *q = &s->queues[class_index];
    CpOutFrame *o = q->first;
    q->first = o->next;
    if (o->next == NULL) {
        q->last = NULL;
    }
    o->next = NULL;
    uint32_t sequence = htonl(s->sent_frames++);
    memcpy(o->data + CP_FRAME_LENGTH_BYTES, &sequence, sizeof(sequence));
    return o;
}

/* Counts the bytes of membership and loan frames. */
static void
count_control_bytes(CpFrameType type, uint32_t size_bytes)
{
    if (type == CP_FRAME_PROBE || type == CP_FRAME_PROBE_ACK) {
        CpCounter_Add(CP_COUNT_MEMBER_BYTES, size_bytes);
    }
    if (type == CP_FRAME_LOAN_REQUEST || type == CP_FRAME_LOAN_GRANT) {
        CpCounter_Add(CP_COUNT_LOAN_BYTES, size_bytes);
    }
}

static void
set_wants_write(CpSession *s, bool on)
{
    if (s->wants_write == on) {
        return;
    }
    struct epoll_event ev = {.events = EPOLLIN | (on ? EPOLLOUT : 0),
                             .data.ptr = s};
    epoll_ctl(s->shard->epoll_fd, EPOLL_CTL_MOD, s->fd, &ev);
    s->wants_write = on;
}

static void
free_out(CpOutFrame *o)
{
    free(o->data);
    free(o);
}
