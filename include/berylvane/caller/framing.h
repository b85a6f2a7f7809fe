#ifndef BERYLVANE_CALLER_FRAMING_H
#define BERYLVANE_CALLER_FRAMING_H

#include <stdint.h>

/*
 * framing - checks that the length of an HTTP request is unambiguous
 *
 * If two parsers can read different lengths from one head, a second request
 * can be hidden in the body of the first (request smuggling, RFC 9112 section
 * 11.2).
 */

/*
 * Checks all header lines of a request, each ended by CR LF. Returns 0, or the
 * HTTP status that the request must be refused with; the connection must then
 * be closed, since the start of the next request is not known.
 */
uint16_t bv_framing_check(const char *lines);

#endif
