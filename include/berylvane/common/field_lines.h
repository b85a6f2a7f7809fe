#ifndef BERYLVANE_COMMON_FIELD_LINES_H
#define BERYLVANE_COMMON_FIELD_LINES_H

#include <stdbool.h>
#include <stddef.h>

/*
 * field_lines - checks the field lines of a head or of trailers, byte by byte,
 * up to the empty line that ends them
 *
 * The syntax is that of RFC 9112, section 5: a name is a token that the colon
 * follows at once, a value has no control bytes but HTAB and may be folded
 * over several lines, and each line ends with CR LF.
 */
typedef enum {
    BV_FIELD_FIRST_LINE,
    BV_FIELD_LINE_START,
    BV_FIELD_NAME,
    BV_FIELD_VALUE,
    BV_FIELD_LINE_LF,
    BV_FIELD_LAST_LF,
    BV_FIELD_END,
} bv_field_state_t;

typedef struct {
    bv_field_state_t state;
    /* What is wrong with the lines; NULL if nothing was found so far. */
    const char *error;
} bv_field_lines_t;

void bv_field_lines_init(bv_field_lines_t *lines);

/*
 * Reads bytes up to the end of the empty line or to the first one that is
 * wrong, and returns how many.
 */
size_t bv_field_lines_read(bv_field_lines_t *lines, const char *data,
                           size_t size);

#endif
