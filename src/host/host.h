/*
 * host: one entry host. It wires the decisions (steer, admit, once, member)
 * to the adapters (http, wire, platform) and owns the threads' shared state.
 */
#ifndef CP_HOST_H
#define CP_HOST_H

#include "base/base.h"
#include "config/config.h"

typedef struct CpNode CpNode;

/* Reads keys and opens every listener. */
CpStatus CpNode_New(const CpSettings *settings, CpNode **out);
/* Starts the threads. */
CpStatus CpNode_Start(CpNode *n);
/* Announces that this host leaves and ends what is in flight; returns when
 * all requests have ended or the stop timeout passed. */
void CpNode_Drain(CpNode *n);
void CpNode_Free(CpNode *n);
/* Reads what may change while running: the key-independent settings. */
void CpNode_Reload(CpNode *n, const CpSettings *settings);

#endif
