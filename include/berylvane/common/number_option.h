#ifndef BERYLVANE_COMMON_NUMBER_OPTION_H
#define BERYLVANE_COMMON_NUMBER_OPTION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * number_option - whole numbers on the command line
 *
 * Guards against typing errors that start a program with another number: the
 * C library's functions take "abc" as 0 and "1o0" as 1.
 */

/*
 * Parses a decimal number from `minimum` to `maximum`. Returns false, and
 * leaves `number` as it is, if `text` is anything else.
 */
bool bv_number_parse(const char *text, int64_t minimum, int64_t maximum,
                     int64_t *number);

/*
 * Returns the number that an option was given. If the value is not one from
 * `minimum` to `maximum`, prints one line with the option and the value to
 * standard error and ends the program with BV_EXIT_USAGE. `option` is the
 * option's name with its dashes, or the name of an argument.
 */
int64_t bv_number_option(const char *option, const char *text, int64_t minimum,
                         int64_t maximum);

#endif
