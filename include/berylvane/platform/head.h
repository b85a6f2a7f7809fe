#ifndef BERYLVANE_PLATFORM_HEAD_H
#define BERYLVANE_PLATFORM_HEAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * head - the table row that names the configuration in force
 *
 * The row BV_HEAD_KEY moves to a bundle only after the bundle is in the
 * object store. Its generation only ever grows.
 */
#define BV_HEAD_KEY "config/head"
#define BV_HEAD_TEXT_BYTES 96

/*
 * Each change has a row of its own, written in the transaction that moves the
 * head. The row can be there only once, so a tombstone put there first bars
 * the change for good.
 */
#define BV_CHANGE_PREFIX "config/change/"

typedef struct {
    uint64_t generation;
    /* Revision of the row itself; 0 when there is none yet. */
    int64_t revision;
    char object[BV_HEAD_TEXT_BYTES];
    char digest[BV_HEAD_TEXT_BYTES];
    char change[BV_HEAD_TEXT_BYTES];
} bv_head_t;

/* Parses one row of a read's "rows"; false when it is not a head. */
bool bv_head_parse(const json_t *row, bv_head_t *head);

/* The row's value for `head`; a new value. */
json_t *bv_head_render(const bv_head_t *head);

/* Names the bundle with this digest: its object and its digest's text. */
void bv_head_set_bundle(bv_head_t *head, uint64_t generation, uint64_t digest);

/* The digest as a number; false when the text is not one. */
bool bv_head_parse_digest(const bv_head_t *head, uint64_t *digest);

/* The value that bars `change`; a new value. */
json_t *bv_change_build_tombstone(const char *change);

/* Whether a change's row shows that `change` was accepted. */
bool bv_change_is_accepted(const json_t *value, const char *change);

#endif
