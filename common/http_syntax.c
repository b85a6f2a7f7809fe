#include "berylvane/common/http_syntax.h"

#include <glib.h>
#include <string.h>

#define DELETE '\x7f'

bool
bv_http_is_token_byte(char c)
{
    static const char punctuation[] = "!#$%&'*+-.^_`|~";
    return g_ascii_isalnum(c) || (c != '\0' && strchr(punctuation, c) != NULL);
}

bool
bv_http_is_text_byte(char c)
{
    return c == '\t' || ((unsigned char)c >= ' ' && c != DELETE);
}

bool
bv_http_is_token(const char *text)
{
    if (text[0] == '\0') {
        return false;
    }
    for (const char *c = text; *c != '\0'; c++) {
        if (!bv_http_is_token_byte(*c)) {
            return false;
        }
    }
    return true;
}
