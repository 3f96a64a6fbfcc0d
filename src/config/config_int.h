/* Internal declarations of the config package. */
#ifndef CP_CONFIG_INT_H
#define CP_CONFIG_INT_H

#include "config/config.h"

typedef enum {
    CP_FIELD_TEXT, /* char array of `size_bytes` */
    CP_FIELD_U32,
    CP_FIELD_BOOL,
    CP_FIELD_LIST, /* array of structs; its count at `count_offset` */
} CpFieldType;

typedef struct CpField {
    const char *name;
    CpFieldType type;
    bool required;
    size_t offset;
    size_t size_bytes; /* of the text array, or of one list item */
    size_t count_offset;
    uint32_t min;
    uint32_t max;
    uint32_t default_value;
    const char *unit;
    const struct CpField *item_fields; /* the last has a NULL name */
} CpField;

#define CP_TEXT_FIELD(s, f, req)                                              \
    {                                                                         \
        .name = #f, .type = CP_FIELD_TEXT, .required = (req),                 \
        .offset = offsetof(s, f), .size_bytes = sizeof(((s *)0)->f)           \
    }
#define CP_U32_FIELD(s, f, lo, hi, def, u)                                    \
    {                                                                         \
        .name = #f, .type = CP_FIELD_U32, .offset = offsetof(s, f),           \
        .min = (lo), .max = (hi), .default_value = (def), .unit = (u)         \
    }
#define CP_U32_REQUIRED(s, f, lo, hi, u)                                      \
    {                                                                         \
        .name = #f, .type = CP_FIELD_U32, .required = true,                   \
        .offset = offsetof(s, f), .min = (lo), .max = (hi), .unit = (u)       \
    }
#define CP_BOOL_FIELD(s, f, def)                                              \
    {                                                                         \
        .name = #f, .type = CP_FIELD_BOOL, .offset = offsetof(s, f),          \
        .default_value = (def)                                                \
    }
#define CP_LIST_FIELD(s, f, n, item, table, req)                              \
    {                                                                         \
        .name = #f, .type = CP_FIELD_LIST, .required = (req),                 \
        .offset = offsetof(s, f), .size_bytes = sizeof(item),                 \
        .count_offset = offsetof(s, n), .item_fields = (table)                \
    }

#define CP_MAX_FIELDS 64 /* of one table */
/* Reads one YAML document into the struct `out`, described by `fields`: the
 * table-driven reader for settings, answers and configurations. */
CpStatus CpYaml_Bind(const char *label, const char *text, size_t text_bytes,
                     const CpField *fields, void *out, CpProblems *p);
/* Frees the lists that CpYaml_Bind() allocated. */
void CpYaml_Clear(const CpField *fields, void *out);

/* Checks rules across fields and fills in the index fields. */
void CpConfig_Check(const char *label, CpConfig *c, CpProblems *p);
/* Returns true if `text` is IP:port with a port in 1..65535. */
bool CpAddress_IsValid(const char *text);

extern const CpField cp_config_fields[];

#endif
