#ifndef BERYLVANE_PLATFORM_ANSWER_H
#define BERYLVANE_PLATFORM_ANSWER_H

#include <jansson.h>
#include <stddef.h>

/*
 * answer - the JSON of an answer of the table service
 */

/*
 * Parses the text of an answer, which is not changed and need not end with
 * NUL. Rows that cannot be parsed are logged and left out, so that they do not
 * hide the others. Returns NULL if the text is no object or another part of it
 * cannot be parsed.
 */
json_t *bv_answer_parse(const char *text, size_t size);

#endif
