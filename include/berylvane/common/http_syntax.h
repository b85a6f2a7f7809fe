#ifndef BERYLVANE_COMMON_HTTP_SYNTAX_H
#define BERYLVANE_COMMON_HTTP_SYNTAX_H

#include <stdbool.h>

/*
 * http_syntax - the bytes that the parts of an HTTP message consist of
 */

/* Whether a byte may be part of a token, as of a field's name (RFC
 * 9110, 5.6.2).
 */
bool bv_http_is_token_byte(char c);

/*
 * Whether a byte may be part of a field's value or of a reason phrase: SP,
 * HTAB, and all above but DEL (RFC 9110, 5.5).
 */
bool bv_http_is_text_byte(char c);

/* Whether a text consists of one or more token bytes. */
bool bv_http_is_token(const char *text);

#endif
