#ifndef BERYLVANE_PLATFORM_ANSWER_H
#define BERYLVANE_PLATFORM_ANSWER_H

#include "berylvane/common/http_client.h"
#include "berylvane/platform/store.h"

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

/*
 * Classifies an HTTP answer. With a status by which the platform refuses a
 * request, nothing was done. After an unlisted status the outcome is unknown.
 */
bv_store_result_t bv_answer_classify(const bv_http_answer_t *answer);

#endif
