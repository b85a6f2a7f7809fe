#ifndef BERYLVANE_NODE_MEMBER_ROW_H
#define BERYLVANE_NODE_MEMBER_ROW_H

#include "berylvane/core/membership.h"

#include <jansson.h>

/*
 * member_row - a member's record as a row of the table
 */
json_t *bv_member_row_render(const bv_member_t *member);

/* False when the value is no such row, or one that was damaged. */
bool bv_member_row_parse(const json_t *value, bv_member_t *member);

#endif
