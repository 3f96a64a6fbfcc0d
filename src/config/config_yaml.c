/* Reads YAML into structs described by field tables; errors give the line. */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "config/config_int.h"

#define PROBLEM_BYTES 512

typedef struct {
    const char *label;
    yaml_document_t *doc;
    CpProblems *problems;
} Reader;

static void bind_map(Reader *r, yaml_node_t *node, const char *path,
                     const CpField *fields, char *out);
static void bind_field(Reader *r, yaml_node_t *node, const char *path,
                       const CpField *f, char *out);
static void bind_list(Reader *r, yaml_node_t *node, const char *path,
                      const CpField *f, char *out);
static void bind_text(Reader *r, yaml_node_t *node, const char *path,
                      const CpField *f, char *out);
static void bind_u32(Reader *r, yaml_node_t *node, const char *path,
                     const CpField *f, char *out);
static void bind_bool(Reader *r, yaml_node_t *node, const char *path,
                      const CpField *f, char *out);
static void set_defaults(const CpField *fields, char *out);
static uint32_t line_of(const yaml_node_t *node);

typedef void (*BindFn)(Reader *, yaml_node_t *, const char *, const CpField *,
                       char *);
static const BindFn binders[] = {
    [CP_FIELD_TEXT] = bind_text,
    [CP_FIELD_U32] = bind_u32,
    [CP_FIELD_BOOL] = bind_bool,
    [CP_FIELD_LIST] = bind_list,
};

CpStatus
CpYaml_Bind(const char *label, const char *text, size_t text_bytes,
            const CpField *fields, void *out, CpProblems *p)
{
    yaml_parser_t parser;
    yaml_document_t doc;
    uint32_t before = p->count;
    set_defaults(fields, out);
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_string(&parser, (const unsigned char *)text,
                                 text_bytes);
    if (!yaml_parser_load(&parser, &doc)) {
        CpProblems_Add(p, "%s:%zu: not valid YAML: %s", label,
                       parser.problem_mark.line + 1, parser.problem);
        yaml_parser_delete(&parser);
        return CpError_Set(CP_ERR_PARSE, "%s: not valid YAML", label);
    }
    Reader r = {.label = label, .doc = &doc, .problems = p};
    yaml_node_t *root = yaml_document_get_root_node(&doc);
    if (root == NULL) {
        CpProblems_Add(p, "%s:1: the file is empty", label);
    }
    else {
        bind_map(&r, root, "", fields, out);
    }
    yaml_document_delete(&doc);
    yaml_parser_delete(&parser);
    if (p->count > before) {
        return CpError_Set(CP_ERR_PARSE, "%s: %u problems", label,
                           p->count - before);
    }
    return CP_OK;
}

void
CpYaml_Clear(const CpField *fields, void *out)
{
    for (const CpField *f = fields; f->name != NULL; f++) {
        if (f->type == CP_FIELD_LIST) {
            void **items = (void **)((char *)out + f->offset);
            free(*items);
            *items = NULL;
        }
    }
}

void
CpProblems_Add(CpProblems *p, const char *fmt, ...)
{
    char line[PROBLEM_BYTES];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(line, sizeof(line), fmt, ap);
    va_end(ap);
    p->lines = CpMem_Realloc(p->lines, (p->count + 1) * sizeof(*p->lines));
    p->lines[p->count++] = CpStr_Dup(line);
}

void
CpProblems_Print(const CpProblems *p)
{
    for (uint32_t i = 0; i < p->count; i++) {
        fprintf(stderr, "%s\n", p->lines[i]);
    }
}

void
CpProblems_Clear(CpProblems *p)
{
    for (uint32_t i = 0; i < p->count; i++) {
        free(p->lines[i]);
    }
    free(p->lines);
    *p = (CpProblems){0};
}

CpStatus
CpFile_Read(const char *path, char **text, size_t *text_bytes)
{
    FILE *f = fopen(path, "rb");
    if (f == NULL) {
        return CpError_Set(CP_ERR_IO, "%s: %s", path, strerror(errno));
    }
    size_t used_bytes = 0, capacity_bytes = 4096, n;
    char *buf = CpMem_Alloc(capacity_bytes);
    while ((n = fread(buf + used_bytes, 1, capacity_bytes - used_bytes - 1,
                      f)) > 0) {
        used_bytes += n;
        if (capacity_bytes - used_bytes < 2) {
            capacity_bytes *= 2;
            buf = CpMem_Realloc(buf, capacity_bytes);
        }
    }
    buf[used_bytes] = '\0';
    fclose(f);
    *text = buf;
    *text_bytes = used_bytes;
    return CP_OK;
}

/* Reads every known key and reports unknown, duplicate and missing ones. */
static void
bind_map(Reader *r, yaml_node_t *node, const char *path, const CpField *fields,
         char *out)
{
    bool present[CP_MAX_FIELDS] = {false};
    if (node->type != YAML_MAPPING_NODE) {
        CpProblems_Add(r->problems, "%s:%u: %s: expected a mapping of fields",
                       r->label, line_of(node), *path ? path : "file");
        return;
    }
    for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
         pair < node->data.mapping.pairs.top; pair++) {
        yaml_node_t *key = yaml_document_get_node(r->doc, pair->key);
        yaml_node_t *value = yaml_document_get_node(r->doc, pair->value);
        const char *name = key->type == YAML_SCALAR_NODE
                               ? (const char *)key->data.scalar.value
                               : "?";
        char full_path[CP_TEXT_BYTES];
        uint32_t i = 0;
        snprintf(full_path, sizeof(full_path), "%s%s", path, name);
        while (fields[i].name != NULL && strcmp(fields[i].name, name) != 0) {
            i++;
        }
        if (fields[i].name == NULL) {
            CpProblems_Add(r->problems, "%s:%u: %s: unknown field", r->label,
                           line_of(key), full_path);
        }
        else if (present[i]) {
            CpProblems_Add(r->problems, "%s:%u: %s: duplicate field", r->label,
                           line_of(key), full_path);
        }
        else {
            present[i] = true;
            bind_field(r, value, full_path, &fields[i], out);
        }
    }
    for (uint32_t i = 0; fields[i].name != NULL; i++) {
        if (fields[i].required && !present[i]) {
            CpProblems_Add(r->problems, "%s:%u: %s%s: missing", r->label,
                           line_of(node), path, fields[i].name);
        }
    }
}

static void
bind_field(Reader *r, yaml_node_t *node, const char *path, const CpField *f,
           char *out)
{
    if (f->type != CP_FIELD_LIST && node->type != YAML_SCALAR_NODE) {
        CpProblems_Add(r->problems, "%s:%u: %s: expected a single value",
                       r->label, line_of(node), path);
        return;
    }
    binders[f->type](r, node, path, f, out);
}

/* Reads a list of mappings, or of scalars for items whose only field is
 * "value". */
static void
bind_list(Reader *r, yaml_node_t *node, const char *path, const CpField *f,
          char *out)
{
    if (node->type != YAML_SEQUENCE_NODE) {
        CpProblems_Add(r->problems, "%s:%u: %s: expected a list", r->label,
                       line_of(node), path);
        return;
    }
    size_t n = (size_t)(node->data.sequence.items.top -
                        node->data.sequence.items.start);
    char *items = CpMem_Alloc((n + 1) * f->size_bytes);
    *(void **)(out + f->offset) = items;
    *(uint32_t *)(void *)(out + f->count_offset) = (uint32_t)n;
    for (size_t i = 0; i < n; i++) {
        char full_path[CP_TEXT_BYTES];
        yaml_node_t *item =
            yaml_document_get_node(r->doc, node->data.sequence.items.start[i]);
        char *item_out = items + i * f->size_bytes;
        set_defaults(f->item_fields, item_out);
        if (strcmp(f->item_fields[0].name, "value") == 0) {
            snprintf(full_path, sizeof(full_path), "%s[%zu]", path, i);
            bind_field(r, item, full_path, &f->item_fields[0], item_out);
        }
        else {
            snprintf(full_path, sizeof(full_path), "%s[%zu].", path, i);
            bind_map(r, item, full_path, f->item_fields, item_out);
        }
    }
}

static void
bind_text(Reader *r, yaml_node_t *node, const char *path, const CpField *f,
          char *out)
{
    size_t n = node->data.scalar.length;
    if (n == 0 || n >= f->size_bytes) {
        CpProblems_Add(r->problems, "%s:%u: %s: expected 1 to %zu characters",
                       r->label, line_of(node), path, f->size_bytes - 1);
        return;
    }
    CpStr_Copy(out + f->offset, f->size_bytes,
               (const char *)node->data.scalar.value);
}

static void
bind_u32(Reader *r, yaml_node_t *node, const char *path, const CpField *f,
         char *out)
{
    const char *text = (const char *)node->data.scalar.value;
    char *end;
    errno = 0;
    unsigned long long n = strtoull(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' || *text == '-' ||
        n < f->min || n > f->max) {
        CpProblems_Add(r->problems,
                       "%s:%u: %s: expected %u to %u %s, got \"%s\"", r->label,
                       line_of(node), path, f->min, f->max, f->unit, text);
        return;
    }
    *(uint32_t *)(void *)(out + f->offset) = (uint32_t)n;
}

static void
bind_bool(Reader *r, yaml_node_t *node, const char *path, const CpField *f,
          char *out)
{
    const char *text = (const char *)node->data.scalar.value;
    bool value = strcmp(text, "true") == 0 || strcmp(text, "yes") == 0;
    if (!value && strcmp(text, "false") != 0 && strcmp(text, "no") != 0) {
        CpProblems_Add(r->problems,
                       "%s:%u: %s: expected true or false, got \"%s\"",
                       r->label, line_of(node), path, text);
        return;
    }
    *(bool *)(out + f->offset) = value;
}

static void
set_defaults(const CpField *fields, char *out)
{
    for (const CpField *f = fields; f->name != NULL; f++) {
        if (f->type == CP_FIELD_U32) {
            *(uint32_t *)(void *)(out + f->offset) = f->default_value;
        }
        else if (f->type == CP_FIELD_BOOL) {
            *(bool *)(out + f->offset) = f->default_value != 0;
        }
    }
}

static uint32_t
line_of(const yaml_node_t *node)
{
    return (uint32_t)node->start_mark.line + 1;
}
