#include "berylvane/peer/pack.h"

#include <stdlib.h>
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

GBytes *
bv_pack_take_bytes(msgpack_sbuffer *buffer)
{
    return g_bytes_new_with_free_func(buffer->data, buffer->size, free,
                                      buffer->data);
}

static const msgpack_object *
next_element(bv_unpack_t *unpack, msgpack_object_type type)
{
    if (unpack->has_failed || unpack->next >= unpack->array->size ||
        unpack->array->ptr[unpack->next].type != type) {
        unpack->has_failed = true;
        return NULL;
    }
    return &unpack->array->ptr[unpack->next++];
}

static bool
skip_if_nil(bv_unpack_t *unpack)
{
    if (unpack->has_failed || unpack->next >= unpack->array->size ||
        unpack->array->ptr[unpack->next].type != MSGPACK_OBJECT_NIL) {
        return false;
    }
    unpack->next++;
    return true;
}

uint64_t
bv_unpack_number(bv_unpack_t *unpack, uint64_t limit)
{
    const msgpack_object *element =
        next_element(unpack, MSGPACK_OBJECT_POSITIVE_INTEGER);
    if (element == NULL) {
        return 0;
    }
    if (element->via.u64 > limit) {
        unpack->has_failed = true;
        return 0;
    }
    return element->via.u64;
}

bool
bv_unpack_boolean(bv_unpack_t *unpack)
{
    const msgpack_object *element =
        next_element(unpack, MSGPACK_OBJECT_BOOLEAN);
    return element != NULL && element->via.boolean;
}

char *
bv_unpack_text(bv_unpack_t *unpack, size_t limit_bytes)
{
    if (skip_if_nil(unpack)) {
        return NULL;
    }
    const msgpack_object *element = next_element(unpack, MSGPACK_OBJECT_STR);
    if (element == NULL) {
        return NULL;
    }
    size_t size = element->via.str.size;
    if (size > limit_bytes ||
        memchr(element->via.str.ptr, '\0', size) != NULL) {
        unpack->has_failed = true;
        return NULL;
    }
    return g_strndup(element->via.str.ptr, size);
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
    const msgpack_object *element = next_element(unpack, MSGPACK_OBJECT_BIN);
    if (element == NULL) {
        return;
    }
    if (element->via.bin.size != size) {
        unpack->has_failed = true;
        return;
    }
    memcpy(buffer, element->via.bin.ptr, size);
}

static GBytes *
share_or_copy(GBytes *frame, const char *data, size_t size)
{
    if (frame == NULL || size < BV_UNPACK_SHARED_BYTES) {
        return g_bytes_new(data, size);
    }
    const char *start = g_bytes_get_data(frame, NULL);
    return g_bytes_new_from_bytes(frame, (gsize)(data - start), size);
}

GBytes *
bv_unpack_bytes(bv_unpack_t *unpack, size_t limit_bytes)
{
    if (skip_if_nil(unpack)) {
        return NULL;
    }
    const msgpack_object *element = next_element(unpack, MSGPACK_OBJECT_BIN);
    if (element == NULL) {
        return NULL;
    }
    if (element->via.bin.size > limit_bytes) {
        unpack->has_failed = true;
        return NULL;
    }
    return share_or_copy(unpack->frame, element->via.bin.ptr,
                         element->via.bin.size);
}

bv_unpack_t
bv_unpack_array(bv_unpack_t *unpack)
{
    static const msgpack_object_array empty_array = {0};
    bv_unpack_t elements = {.array = &empty_array};
    const msgpack_object *element = next_element(unpack, MSGPACK_OBJECT_ARRAY);
    if (element == NULL) {
        elements.has_failed = true;
        return elements;
    }
    elements.array = &element->via.array;
    return elements;
}
