/*
 * host: one entry host. It connects the decision modules (steer, admit, once,
 * member) to the adapters (http, wire, platform) and owns the state that the
 * threads share.
 */
#ifndef CP_HOST_H
#define CP_HOST_H

#include "base/base.h"
#include "config/config.h"

typedef struct CpNode CpNode;

/* Creates the host: reads the key and token files and binds all of its
 * addresses. */
CpStatus CpNode_New(const CpSettings *settings, CpNode **out);
/* Starts the threads. */
CpStatus CpNode_Start(CpNode *n);
/* Announces that this host is leaving and completes the requests in flight;
 * returns when all have ended or the stop timeout has passed. */
void CpNode_Drain(CpNode *n);
void CpNode_Free(CpNode *n);
/* Applies the settings that may change at run time: max_requests and
 * stop_timeout_s. */
void CpNode_Reload(CpNode *n, const CpSettings *settings);

#endif
