#ifndef BERYLVANE_CALLER_OUTPUT_H
#define BERYLVANE_CALLER_OUTPUT_H

#include <glib.h>
#include <stdbool.h>

/*
 * output - bytes that are to be written to a socket
 */
typedef struct {
    /* Queue of GBytes. */
    GQueue chunks;
    /* Bytes of the first chunk that were written. */
    size_t offset;
    /* Bytes that the chunks take up, whether written or not. */
    size_t bytes;
} bv_output_t;

void bv_output_init(bv_output_t *output);
void bv_output_clear(bv_output_t *output);

/* Adds a chunk and takes over the reference; NULL adds nothing. */
void bv_output_add(bv_output_t *output, GBytes *chunk);

/*
 * Leaves out the first `size` bytes, which were written by other means; they
 * must be part of the first chunk.
 */
void bv_output_skip(bv_output_t *output, size_t size);

bool bv_output_is_empty(const bv_output_t *output);

/*
 * Writes what the socket takes without blocking. Returns the bytes written,
 * or -1 if the connection is broken.
 */
ssize_t bv_output_write(bv_output_t *output, int fd);

#endif
