#ifndef BERYLVANE_COMMON_FINDINGS_H
#define BERYLVANE_COMMON_FINDINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * findings - errors in an input file or document, with their locations
 *
 * A check continues after an error, so that all errors are reported at once.
 * bv_fields_read() and bv_json_load() add their errors to the list.
 */
typedef struct {
    /* The file or document. */
    char *source;
    /* A JSON pointer or LINE:COLUMN. */
    char *place;
    char *message;
} bv_finding_t;

typedef struct {
    /* Of bv_finding_t; owned by the list. */
    GPtrArray *entries;
} bv_findings_t;

bv_findings_t *bv_findings_create(void);
void bv_findings_destroy(bv_findings_t *findings);

/*
 * Adds the finding "SOURCE: PLACE: MESSAGE". `source` names the file or
 * document; `place` is a JSON pointer or LINE:COLUMN, and an empty pointer is
 * written as "/". The message is made from `format`, as by printf().
 */
void bv_findings_add(bv_findings_t *findings, const char *source,
                     const char *place, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

/* Appends copies of the findings of `added`. */
void bv_findings_append(bv_findings_t *findings, const bv_findings_t *added);

bool bv_findings_is_empty(const bv_findings_t *findings);

/* Prints each finding on a line of its own. */
void bv_findings_print(const bv_findings_t *findings, FILE *out);

/*
 * Returns the findings as text, each ended by a newline. The caller frees the
 * text with g_free().
 */
char *bv_findings_to_string(const bv_findings_t *findings);

/*
 * Returns an array of objects with the keys source, place and message. Bytes
 * that are not valid UTF-8 are replaced.
 */
json_t *bv_findings_to_json(const bv_findings_t *findings);

/* Kinds of value that a key of a JSON object can have. */
typedef enum {
    BV_FIELD_STRING,
    BV_FIELD_INTEGER,
    BV_FIELD_BOOLEAN,
    BV_FIELD_CHOICE,
    BV_FIELD_JSON,
} bv_field_kind_t;

/*
 * One key of a JSON object. `offset` is the offset of the member of the record
 * that receives the value. The member's type depends on the kind:
 * - BV_FIELD_STRING: char *, not empty; `maximum` is the longest length in
 *   bytes, 0 for no limit
 * - BV_FIELD_INTEGER: int64_t from `minimum` to `maximum`
 * - BV_FIELD_BOOLEAN: bool
 * - BV_FIELD_CHOICE: int64_t, the value's index in `choices`, which ends with
 *   NULL
 * - BV_FIELD_JSON: json_t *, any value
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
 * Fills `record` from `object` as the table `fields` describes; the table ends
 * with an entry whose name is NULL. Unknown keys, wrong types, values out of
 * range and missing required keys become findings; `pointer` is the JSON
 * pointer of `object` in `source`. Members whose key is absent keep their
 * value. A string is copied, and the member's old string freed with g_free().
 * A JSON value is borrowed from `object`.
 */
void bv_fields_read(const json_t *object, const bv_field_t *fields,
                    void *record, const char *source, const char *pointer,
                    bv_findings_t *findings);

/*
 * Loads a JSON file; duplicate keys are errors. Returns a new reference, or
 * NULL after adding a finding with line and column.
 */
json_t *bv_json_load(const char *path, bv_findings_t *findings);

#endif
