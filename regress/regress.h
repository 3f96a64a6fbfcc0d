/* Drivers: each reads a script, calls the decision code of one package and
 * prints the decisions. */
#ifndef CP_REGRESS_H
#define CP_REGRESS_H

#include <stdio.h>

#include "base/base.h"

typedef void (*CpDriveFn)(FILE *in, FILE *out);

void CpDrive_Admit(FILE *in, FILE *out);
void CpDrive_Budget(FILE *in, FILE *out);
void CpDrive_Config(FILE *in, FILE *out);
void CpDrive_Fleet(FILE *in, FILE *out);
void CpDrive_Http(FILE *in, FILE *out);
void CpDrive_Member(FILE *in, FILE *out);
void CpDrive_Once(FILE *in, FILE *out);
void CpDrive_Org(FILE *in, FILE *out);
void CpDrive_Platform(FILE *in, FILE *out);
void CpDrive_Proxy(FILE *in, FILE *out);
void CpDrive_Quota(FILE *in, FILE *out);
void CpDrive_Route(FILE *in, FILE *out);
void CpDrive_Steer(FILE *in, FILE *out);
void CpDrive_Store(FILE *in, FILE *out);
void CpDrive_Wire(FILE *in, FILE *out);

/* Runs a line of a simulation of contention; returns false if it is none. */
bool CpDriveContention_RunLine(FILE *out, const char *line);

/* Runs a line for the client of backend servers; returns false if it is none.
 */
bool CpDriveBackend_RunLine(FILE *out, const char *line);

/* Calls on_line with each line of a script, without its newline. Skips empty
 * lines and comments. */
typedef void (*CpLineFn)(void *ctx, char *line);
void CpScript_Run(FILE *in, CpLineFn on_line, void *ctx);

/* Seeded pseudo-random generator for property tests (SplitMix64, Steele, Lea,
 * Flood, OOPSLA 2014). */
typedef struct {
    uint64_t state;
} CpSeed;
uint64_t CpSeed_Next(CpSeed *s);
uint32_t CpSeed_Below(CpSeed *s, uint32_t n); /* less than n */

#endif
