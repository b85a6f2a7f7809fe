#ifndef BERYLVANE_NODE_MEMBER_ROW_H
#define BERYLVANE_NODE_MEMBER_ROW_H

#include "berylvane/core/membership.h"

#include <jansson.h>

/*
 * member_row - the row of a member in the table
 *
 * Other programs may write to the table, so that any of its rows can hold
 * anything.
 */
#define BV_MEMBER_ROW_PREFIX "member/"

/* Returns a new JSON object. */
json_t *bv_member_row_render(const bv_member_t *member);

/*
 * Parses a row's value into `member`. Returns false when a field is missing or
 * not valid, or has a value that no member writes; `member` then holds no
 * usable record.
 */
bool bv_member_row_parse(const json_t *value, bv_member_t *member);

/*
 * Returns the key of a member's row, which the caller frees. It begins with a
 * digest of the member's name, so that any range of keys is a random sample of
 * the members.
 */
char *bv_member_row_key(const char *name);

/*
 * Parses a row of the form that store.h describes. Returns false if its value
 * is not valid, or if its key is that of another member.
 */
bool bv_member_row_read(const json_t *row, bv_member_t *member);

#endif
