#include "berylvane/common/chunk_extension.h"

#include "berylvane/common/http_syntax.h"

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static bv_chunk_extension_t
read_separator(char c)
{
    if (is_blank(c)) {
        return BV_EXTENSION_SEMICOLON;
    }
    return c == ';' ? BV_EXTENSION_NAME_START : BV_EXTENSION_MALFORMED;
}

static bv_chunk_extension_t
read_name_start(char c)
{
    if (is_blank(c)) {
        return BV_EXTENSION_NAME_START;
    }
    return bv_http_is_token_byte(c) ? BV_EXTENSION_NAME
                                    : BV_EXTENSION_MALFORMED;
}

static bv_chunk_extension_t
read_name_end(char c)
{
    if (is_blank(c)) {
        return BV_EXTENSION_NAME_END;
    }
    return c == '=' ? BV_EXTENSION_VALUE_START : read_separator(c);
}

static bv_chunk_extension_t
read_value_start(char c)
{
    if (is_blank(c)) {
        return BV_EXTENSION_VALUE_START;
    }
    if (c == '"') {
        return BV_EXTENSION_QUOTED;
    }
    return bv_http_is_token_byte(c) ? BV_EXTENSION_TOKEN
                                    : BV_EXTENSION_MALFORMED;
}

static bv_chunk_extension_t
read_quoted(char c)
{
    if (c == '"') {
        return BV_EXTENSION_START;
    }
    if (c == '\\') {
        return BV_EXTENSION_ESCAPED;
    }
    return bv_http_is_text_byte(c) ? BV_EXTENSION_QUOTED
                                   : BV_EXTENSION_MALFORMED;
}

bv_chunk_extension_t
bv_chunk_extension_read(bv_chunk_extension_t state, char c)
{
    switch (state) {
    case BV_EXTENSION_START:
    case BV_EXTENSION_SEMICOLON:
        return read_separator(c);
    case BV_EXTENSION_NAME_START:
        return read_name_start(c);
    case BV_EXTENSION_NAME:
        return bv_http_is_token_byte(c) ? state : read_name_end(c);
    case BV_EXTENSION_NAME_END:
        return read_name_end(c);
    case BV_EXTENSION_VALUE_START:
        return read_value_start(c);
    case BV_EXTENSION_TOKEN:
        return bv_http_is_token_byte(c) ? state : read_separator(c);
    case BV_EXTENSION_QUOTED:
        return read_quoted(c);
    case BV_EXTENSION_ESCAPED:
        return bv_http_is_text_byte(c) ? BV_EXTENSION_QUOTED
                                       : BV_EXTENSION_MALFORMED;
    case BV_EXTENSION_MALFORMED:
        break;
    }
    return state;
}

bool
bv_chunk_extension_may_end(bv_chunk_extension_t state)
{
    return state == BV_EXTENSION_START || state == BV_EXTENSION_NAME ||
           state == BV_EXTENSION_TOKEN;
}
