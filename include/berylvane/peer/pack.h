#ifndef BERYLVANE_PEER_PACK_H
#define BERYLVANE_PEER_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * pack - writes and reads the elements of MessagePack arrays
 */

/* Appends a string, or nil if `text` is NULL. */
void bv_pack_text(msgpack_packer *packer, const char *text);

/* Appends `size` bytes of binary data. */
void bv_pack_binary(msgpack_packer *packer, const void *data, size_t size);

/* Returns the content of a buffer, without a copy; the buffer is used up. */
GBytes *bv_pack_take_bytes(msgpack_sbuffer *buffer);

/*
 * Whether `data` is exactly one complete MessagePack value in which no
 * container states more entries than bytes follow. Must be checked before
 * data from a peer is unpacked, since the library allocates memory for the
 * stated count of entries.
 */
bool bv_pack_is_bounded(const void *data, size_t size);

/* Below this size a copy costs less than keeping the whole frame. */
#define BV_UNPACK_SHARED_BYTES 65536

/*
 * Reads the elements of an array in order. If an element has the wrong type or
 * exceeds its limit, or the array has ended, `has_failed` is set; it stays
 * set, and all later reads return zero values.
 */
typedef struct {
    const msgpack_object_array *array;
    /* The encoded data, which large binary elements share; NULL: copy all. */
    GBytes *frame;
    uint32_t next;
    bool has_failed;
} bv_unpack_t;

/* Reads an unsigned integer of at most `limit`. */
uint64_t bv_unpack_number(bv_unpack_t *unpack, uint64_t limit);

bool bv_unpack_boolean(bv_unpack_t *unpack);

/*
 * Returns a copy of a string of at most `limit_bytes` without NUL bytes, to be
 * freed with g_free(); NULL for nil.
 */
char *bv_unpack_text(bv_unpack_t *unpack, size_t limit_bytes);

/* Copies a string into a buffer of `size` bytes; nil gives an empty string. */
void bv_unpack_name(bv_unpack_t *unpack, char *buffer, size_t size);

/* Copies binary data that must be exactly `size` bytes long. */
void bv_unpack_exact(bv_unpack_t *unpack, void *buffer, size_t size);

/*
 * Returns at most `limit_bytes` of binary data, a new reference; NULL for nil.
 * Data of at least BV_UNPACK_SHARED_BYTES keeps `frame` alive and is not
 * copied.
 */
GBytes *bv_unpack_bytes(bv_unpack_t *unpack, size_t limit_bytes);

/*
 * Returns a reader of the elements of the next element, an array; the reader
 * has failed if the element is not an array.
 */
bv_unpack_t bv_unpack_array(bv_unpack_t *unpack);

#endif
