/* Drivers that feed a script to decision code and print each decision. */
#ifndef CP_REGRESS_H
#define CP_REGRESS_H

#include <stdio.h>

#include "base/base.h"

typedef void (*CpDriveFn)(FILE *in, FILE *out);

void CpDrive_Admit(FILE *in, FILE *out);
void CpDrive_Config(FILE *in, FILE *out);
void CpDrive_Fleet(FILE *in, FILE *out);
void CpDrive_Member(FILE *in, FILE *out);
void CpDrive_Once(FILE *in, FILE *out);
void CpDrive_Platform(FILE *in, FILE *out);
void CpDrive_Route(FILE *in, FILE *out);
void CpDrive_Steer(FILE *in, FILE *out);
void CpDrive_Wire(FILE *in, FILE *out);

/* Calls step with each line of a script, without its end; empty lines and
 * comments are left out. */
typedef void (*CpLineFn)(void *ctx, char *line);
void CpScript_Run(FILE *in, CpLineFn step, void *ctx);

/* A repeatable source of random numbers for property runs (SplitMix64,
 * Steele, Lea, Flood, OOPSLA 2014). */
typedef struct {
    uint64_t state;
} CpSeed;
uint64_t CpSeed_Next(CpSeed *s);
uint32_t CpSeed_Below(CpSeed *s, uint32_t n);

#endif
