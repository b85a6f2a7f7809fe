#include "berylvane/common/number_option.h"

#include "berylvane/common/program.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

bool
bv_number_parse(const char *text, int64_t minimum, int64_t maximum,
                int64_t *number)
{
    gint64 parsed;
    if (!g_ascii_string_to_signed(text, 10, minimum, maximum, &parsed, NULL)) {
        return false;
    }
    *number = parsed;
    return true;
}

int64_t
bv_number_option(const char *option, const char *text, int64_t minimum,
                 int64_t maximum)
{
    int64_t number;
    if (!bv_number_parse(text, minimum, maximum, &number)) {
        fprintf(stderr,
                "%s: %s %s: expected a whole number from %" G_GINT64_FORMAT
                " to %" G_GINT64_FORMAT "\n",
                program_invocation_short_name, option, text, (gint64)minimum,
                (gint64)maximum);
        exit(BV_EXIT_USAGE);
    }
    return number;
}
