#ifndef BERYLVANE_COMMON_RESPONSE_FRAMING_H
#define BERYLVANE_COMMON_RESPONSE_FRAMING_H

#include <stdbool.h>
#include <stdint.h>

/*
 * response_framing - where the body of a response ends, by the header lines of
 * its head (RFC 9112, section 6)
 *
 * A response has one Content-Length, one Transfer-Encoding that is "chunked",
 * or neither; one with more is broken, since readers would find its end at
 * different places.
 */
typedef struct {
    uint32_t lengths;
    uint32_t encodings;
    /* Size of the body if a length is stated. */
    uint64_t length_bytes;
    /* What is wrong with a line; NULL if nothing was found. */
    const char *error;
} bv_response_framing_t;

void bv_response_framing_init(bv_response_framing_t *framing);

/* Adds a header line. */
void bv_response_framing_add(bv_response_framing_t *framing, const char *name,
                             const char *value);

/* Returns what is wrong after all lines were added; NULL for nothing. */
const char *bv_response_framing_check(const bv_response_framing_t *framing,
                                      bool is_http_1_0);

#endif
