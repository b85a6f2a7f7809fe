#ifndef BERYLVANE_PEER_PACK_H
#define BERYLVANE_PEER_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * pack - helpers to write and read flat MessagePack arrays
 */
void bv_pack_text(msgpack_packer *packer, const char *text);
void bv_pack_binary(msgpack_packer *packer, const void *data, size_t size);

/*
 * Whether `data` is one whole MessagePack value whose containers hold no more
 * entries than bytes follow. The library allocates by the stated count, so
 * this comes before it.
 */
bool bv_pack_is_bounded(const void *data, size_t size);

/* Reads the elements of an array one by one; `failed` sticks. */
typedef struct {
    const msgpack_object_array *array;
    uint32_t next;
    bool has_failed;
} bv_unpack_t;

uint64_t bv_unpack_number(bv_unpack_t *unpack, uint64_t most);
bool bv_unpack_boolean(bv_unpack_t *unpack);

/* A copy of a string of at most `most` bytes; NULL for nil. */
char *bv_unpack_text(bv_unpack_t *unpack, size_t most);

/* Copies a string into a buffer of `size` bytes. */
void bv_unpack_name(bv_unpack_t *unpack, char *buffer, size_t size);

/* Copies exactly `size` bytes. */
void bv_unpack_exact(bv_unpack_t *unpack, void *buffer, size_t size);

/* Bytes of at most `most`; NULL for nil. */
GBytes *bv_unpack_bytes(bv_unpack_t *unpack, size_t most);

/* The next element as an array. */
bv_unpack_t bv_unpack_array(bv_unpack_t *unpack);

#endif
