#ifndef BERYLVANE_CALLER_FRAMING_H
#define BERYLVANE_CALLER_FRAMING_H

#include <stdint.h>

/*
 * framing - whether a head leaves no doubt where its request ends
 *
 * A request whose length can be read in two ways could hide another one
 * (request smuggling, RFC 9112 section 11.2).
 */

/*
 * Checks all header lines of a request, each ended by CR LF. Yields 0, or the
 * status to refuse it with; the connection is then to be closed.
 */
uint16_t bv_framing_check(const char *lines);

#endif
