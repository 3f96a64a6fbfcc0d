/* Driver for the scripts of config: parses or generates the files in a script
 * and prints their problems. */
#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "regress.h"

#define TEXT_BYTES (64 * 1024)

static void check(FILE *out, const char *text);
static void generate(FILE *out, const char *text);
static void edit(char *text, const char *line);
static void print_problems(FILE *out, CpProblems *p);

/* "template NAME" loads a questionnaire; "edit OLD => NEW" changes its text;
 * "generate" generates the configuration, which becomes the text;
 * "check" parses it; "text" takes the following lines up to "end". */
void
CpDrive_Config(FILE *in, FILE *out)
{
    static char text[TEXT_BYTES];
    char line[512], name[64];
    text[0] = '\0';
    while (fgets(line, sizeof(line), in) != NULL) {
        if (sscanf(line, "template %63s", name) == 1) {
            CpStr_Copy(text, sizeof(text), CpTemplate_Text(name));
        }
        else if (strncmp(line, "edit ", 5) == 0) {
            edit(text, line + 5);
        }
        else if (strncmp(line, "generate", 8) == 0) {
            generate(out, text);
        }
        else if (strncmp(line, "check", 5) == 0) {
            check(out, text);
        }
        else if (strncmp(line, "text", 4) == 0) {
            text[0] = '\0';
            while (fgets(line, sizeof(line), in) != NULL &&
                   strcmp(line, "end\n") != 0) {
                strncat(text, line, sizeof(text) - strlen(text) - 1);
            }
        }
        else if (line[0] != '#' && line[0] != '\n') {
            fprintf(out, "not understood: %s", line);
        }
    }
}

static void
check(FILE *out, const char *text)
{
    CpConfig *c = NULL;
    CpProblems p = {0};
    if (CpConfig_Parse("f", text, strlen(text), &c, &p) == CP_OK) {
        char *yaml = CpConfig_ToYaml(c);
        CpConfig *reparsed = NULL;
        fprintf(out, "ok: %u domains, %u hosts, %u servers, %u kinds\n",
                c->domain_count, c->host_count, c->server_count,
                c->kind_count);
        if (CpConfig_Parse("f", yaml, strlen(yaml), &reparsed, &p) == CP_OK) {
            char *diff = CpConfig_Diff(c, reparsed);
            fprintf(out, "printed and read again: %s\n",
                    *diff == '\0' ? "the same" : diff);
            free(diff);
        }
        free(yaml);
        CpConfig_Free(reparsed);
    }
    print_problems(out, &p);
    CpConfig_Free(c);
}

static void
generate(FILE *out, const char *text)
{
    CpConfig *c = NULL;
    CpProblems p = {0};
    if (CpConfig_Generate("f", text, strlen(text), &c, &p) == CP_OK) {
        char *yaml = CpConfig_ToYaml(c);
        CpStr_Copy((char *)text, TEXT_BYTES, yaml);
        free(yaml);
        fprintf(out, "generated\n");
    }
    print_problems(out, &p);
    CpConfig_Free(c);
}

/* Replaces the first OLD by NEW. */
static void
edit(char *text, const char *line)
{
    static char copy[TEXT_BYTES];
    char old[256], new[256];
    if (sscanf(line, "%255[^=] => %255[^\n]", old, new) != 2) {
        return;
    }
    size_t n = strlen(old);
    while (n > 0 && old[n - 1] == ' ') {
        old[--n] = '\0';
    }
    char *match = strstr(text, old);
    if (match != NULL) {
        snprintf(copy, sizeof(copy), "%.*s%s%s", (int)(match - text), text,
                 new, match + n);
        CpStr_Copy(text, TEXT_BYTES, copy);
    }
}

static void
print_problems(FILE *out, CpProblems *p)
{
    for (uint32_t i = 0; i < p->count; i++) {
        fprintf(out, "%s\n", p->lines[i]);
    }
    CpProblems_Clear(p);
}
