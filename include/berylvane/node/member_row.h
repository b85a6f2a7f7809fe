#ifndef BERYLVANE_NODE_MEMBER_ROW_H
#define BERYLVANE_NODE_MEMBER_ROW_H

#include "berylvane/core/membership.h"

#include <jansson.h>

/*
 * member_row - the JSON value of a member's row in the table
 */

/* Returns a new JSON object. */
json_t *bv_member_row_render(const bv_member_t *member);

/*
 * Parses a row's value into `member`. Returns false when a field is missing or
 * not valid; `member` then holds no usable record.
 */
bool bv_member_row_parse(const json_t *value, bv_member_t *member);

#endif
