#ifndef BERYLVANE_PLATFORM_HEAD_H
#define BERYLVANE_PLATFORM_HEAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * head - the head row: the table row that names the active configuration
 *
 * The row BV_HEAD_KEY is set to a bundle only after the bundle has been
 * written to the object store. The row's generation never decreases.
 */
#define BV_HEAD_KEY "config/head"
#define BV_HEAD_TEXT_BYTES 96

/*
 * Each change of the configuration inserts a row with this prefix and the
 * change's ID, in the same transaction that updates the head row. A row can be
 * inserted only once, so a tombstone inserted first under that key prevents
 * the change permanently.
 */
#define BV_CHANGE_PREFIX "config/change/"

typedef struct {
    uint64_t generation;
    /* Revision of the head row; 0 if the row does not exist yet. */
    int64_t revision;
    /* Name of the bundle in the object store. */
    char object[BV_HEAD_TEXT_BYTES];
    /* XXH3 digest of the bundle's bytes, as 16 hexadecimal digits. */
    char digest[BV_HEAD_TEXT_BYTES];
    /* ID of the change that wrote the head row. */
    char change[BV_HEAD_TEXT_BYTES];
} bv_head_t;

/*
 * Parses `row`, one of the "rows" that bv_store_read() reads. Returns false if
 * it is not a valid head row. Texts are truncated to BV_HEAD_TEXT_BYTES - 1
 * bytes.
 */
bool bv_head_parse(const json_t *row, bv_head_t *head);

/* Returns the head row's value for `head` as new JSON. */
json_t *bv_head_render(const bv_head_t *head);

/*
 * Sets the generation, digest and object name of `head` to those of the bundle
 * with this generation and digest. The object name is derived from both.
 */
void bv_head_set_bundle(bv_head_t *head, uint64_t generation, uint64_t digest);

/* Parses the text of the digest; returns false if it is not hexadecimal. */
bool bv_head_parse_digest(const bv_head_t *head, uint64_t *digest);

/* Returns the tombstone value for the row of `change` as new JSON. */
json_t *bv_change_build_tombstone(const char *change);

/*
 * Returns whether `value`, the value of a change's row (NULL: no row), records
 * that `change` was accepted. A tombstone records that `change` will never be
 * accepted.
 */
bool bv_change_is_accepted(const json_t *value, const char *change);

#endif
