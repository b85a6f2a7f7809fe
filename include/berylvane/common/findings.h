#ifndef BERYLVANE_COMMON_FINDINGS_H
#define BERYLVANE_COMMON_FINDINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * findings - faults of an input, collected with their place
 *
 * A check goes on after the first fault, so that all are reported together.
 */
typedef struct {
    GPtrArray *lines;
} bv_findings_t;

bv_findings_t *bv_findings_create(void);
void bv_findings_destroy(bv_findings_t *findings);

/* Adds "source: place: message"; `place` is a JSON pointer or line:column. */
void bv_findings_add(bv_findings_t *findings, const char *source,
                     const char *place, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

bool bv_findings_is_empty(const bv_findings_t *findings);

/* Prints one finding a line. */
void bv_findings_print(const bv_findings_t *findings, FILE *out);

/* All findings joined by newlines; the caller frees it. */
char *bv_findings_to_string(const bv_findings_t *findings);

/* Kinds of value that a settings table can hold. */
typedef enum {
    BV_FIELD_STRING,
    BV_FIELD_INTEGER,
    BV_FIELD_BOOLEAN,
    BV_FIELD_CHOICE,
    BV_FIELD_JSON,
} bv_field_kind_t;

/*
 * One key of a JSON object. `offset` places the value in the struct that is
 * filled: char *, int64_t, bool, int64_t (index into `choices`) or json_t *.
 */
typedef struct {
    const char *name;
    bv_field_kind_t kind;
    bool required;
    size_t offset;
    int64_t minimum;
    int64_t maximum;
    const char *const *choices;
} bv_field_t;

/*
 * Fills `record` from `object` by the table `fields` (ended by a NULL name).
 * Unknown keys, wrong types, values out of range and missing keys become
 * findings at `pointer`. Fields that are absent keep their value. Strings
 * are copied; a JSON value is borrowed from `object`.
 */
void bv_fields_read(const json_t *object, const bv_field_t *fields,
                    void *record, const char *source, const char *pointer,
                    bv_findings_t *findings);

/* Loads a JSON file; NULL and a finding with line and column on failure. */
json_t *bv_json_load(const char *path, bv_findings_t *findings);

#endif
