#include "berylvane/peer/pack.h"

#include <string.h>

void
bv_pack_text(msgpack_packer *packer, const char *text)
{
    if (text == NULL) {
        msgpack_pack_nil(packer);
        return;
    }
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

void
bv_pack_binary(msgpack_packer *packer, const void *data, size_t size)
{
    msgpack_pack_bin_with_body(packer, data, size);
}

static const msgpack_object *
next_of(bv_unpack_t *unpack, msgpack_object_type type)
{
    if (unpack->has_failed || unpack->next >= unpack->array->size ||
        unpack->array->ptr[unpack->next].type != type) {
        unpack->has_failed = true;
        return NULL;
    }
    return &unpack->array->ptr[unpack->next++];
}

static bool
skip_nil(bv_unpack_t *unpack)
{
    if (unpack->has_failed || unpack->next >= unpack->array->size ||
        unpack->array->ptr[unpack->next].type != MSGPACK_OBJECT_NIL) {
        return false;
    }
    unpack->next++;
    return true;
}

uint64_t
bv_unpack_number(bv_unpack_t *unpack, uint64_t most)
{
    const msgpack_object *object =
        next_of(unpack, MSGPACK_OBJECT_POSITIVE_INTEGER);
    if (object == NULL) {
        return 0;
    }
    if (object->via.u64 > most) {
        unpack->has_failed = true;
        return 0;
    }
    return object->via.u64;
}

bool
bv_unpack_boolean(bv_unpack_t *unpack)
{
    const msgpack_object *object = next_of(unpack, MSGPACK_OBJECT_BOOLEAN);
    return object != NULL && object->via.boolean;
}

char *
bv_unpack_text(bv_unpack_t *unpack, size_t most)
{
    if (skip_nil(unpack)) {
        return NULL;
    }
    const msgpack_object *object = next_of(unpack, MSGPACK_OBJECT_STR);
    if (object == NULL) {
        return NULL;
    }
    size_t size = object->via.str.size;
    if (size > most || memchr(object->via.str.ptr, '\0', size) != NULL) {
        unpack->has_failed = true;
        return NULL;
    }
    return g_strndup(object->via.str.ptr, size);
}

void
bv_unpack_name(bv_unpack_t *unpack, char *buffer, size_t size)
{
    char *text = bv_unpack_text(unpack, size - 1);
    g_strlcpy(buffer, text != NULL ? text : "", size);
    g_free(text);
}

void
bv_unpack_exact(bv_unpack_t *unpack, void *buffer, size_t size)
{
    const msgpack_object *object = next_of(unpack, MSGPACK_OBJECT_BIN);
    if (object == NULL) {
        return;
    }
    if (object->via.bin.size != size) {
        unpack->has_failed = true;
        return;
    }
    memcpy(buffer, object->via.bin.ptr, size);
}

GBytes *
bv_unpack_bytes(bv_unpack_t *unpack, size_t most)
{
    if (skip_nil(unpack)) {
        return NULL;
    }
    const msgpack_object *object = next_of(unpack, MSGPACK_OBJECT_BIN);
    if (object == NULL) {
        return NULL;
    }
    if (object->via.bin.size > most) {
        unpack->has_failed = true;
        return NULL;
    }
    return g_bytes_new(object->via.bin.ptr, object->via.bin.size);
}

bv_unpack_t
bv_unpack_array(bv_unpack_t *unpack)
{
    static const msgpack_object_array empty = {0};
    bv_unpack_t inner = {.array = &empty};
    const msgpack_object *object = next_of(unpack, MSGPACK_OBJECT_ARRAY);
    if (object == NULL) {
        inner.has_failed = true;
        return inner;
    }
    inner.array = &object->via.array;
    return inner;
}
