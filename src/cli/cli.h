/* chestnutpaddle: shared declarations of the operators' commands. */
#ifndef CP_CLI_H
#define CP_CLI_H

#include <jansson.h>

#include "base/base.h"
#include "config/config.h"
#include "platform/platform.h"
#include "store/store.h"

/* Exit codes; chestnutpaddle(1) documents them. */
typedef enum {
    CP_EXIT_OK = 0,
    CP_EXIT_FAILED = 1,
    CP_EXIT_USAGE = 2,
    CP_EXIT_CONFLICT = 3,
    CP_EXIT_UNREACHABLE = 4,
    CP_EXIT_UNKNOWN = 5 /* the change may or may not be in force */
} CpExit;

typedef struct {
    char *platform;
    char *config;
    char *token_file;
    char *host; /* operator address of any host */
    char *output;
    char *settings;
    char *key_file;
    char *client;
    bool json;
    int32_t count;
    int32_t interval_s;
    int32_t wait_s;
} CpCliOptions;

typedef CpExit (*CpCommandFn)(const CpCliOptions *o, int argc, char **argv);

CpExit CpCli_Init(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Generate(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Check(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Diff(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Apply(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Drain(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Undrain(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Move(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Plan(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Status(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Watch(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Explain(const CpCliOptions *o, int argc, char **argv);
CpExit CpCli_Lookup(const CpCliOptions *o, int argc, char **argv);

/* Sends a request to a host; free() *out. Returns CP_ERR_UNAVAILABLE without
 * a response. */
CpStatus CpCli_CallHost(const CpCliOptions *o, const char *method,
                        const char *address, const char *path, char **out,
                        long *status);
/* Loads the configuration in force, from --config, the platform or --host. */
CpStatus CpCli_LoadCurrentConfig(const CpCliOptions *o, CpConfig **out);
/* Reads and parses a configuration file, printing its problems. */
CpStatus CpCli_LoadConfigFile(const char *path, CpConfig **out);
CpExit CpCli_ExitCode(CpStatus st);
/* Prints the last error and returns its exit code. */
CpExit CpCli_ReportError(CpStatus st);
/* Prints the progress of a long step, only when standard error is a
 * terminal. */
void CpCli_Progress(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));
/* Writes to the path, or to standard output where it is NULL. */
CpStatus CpCli_WriteOutput(const char *path, const char *text);
/* Fetches and parses a host's /status page; NULL if that fails. */
json_t *CpCli_FetchHostStatus(const CpCliOptions *o, const char *address);
/* Applies a configuration as the successor of version `base`, then waits up to
 * --wait seconds for every host to have it. */
CpExit CpCli_ApplyConfig(const CpCliOptions *o, const CpConfig *c,
                         uint64_t base);

#endif
