#include "berylvane/peer/pack.h"

/*
 * The first byte of a MessagePack value is its format. The format determines
 * the size of the content, or the width of the length that follows and whether
 * that length counts bytes or entries.
 */

/* A position in the encoded data. */
typedef struct {
    const uint8_t *data;
    size_t size;
    size_t offset;
} reader_t;

/* What follows the format and the length of a value. */
typedef struct {
    uint64_t byte_count;
    uint64_t entry_count;
} content_size_t;

/* Reads a big-endian integer of `width` bytes. */
static bool
read_integer(reader_t *reader, size_t width, uint64_t *value)
{
    if (reader->size - reader->offset < width) {
        return false;
    }
    *value = 0;
    for (size_t i = 0; i < width; i++) {
        *value = *value << 8 | reader->data[reader->offset++];
    }
    return true;
}

/* Reads the size of a value whose format is followed by a length. */
static bool
read_stated_size(reader_t *reader, uint8_t format, content_size_t *content)
{
    uint64_t length;
    switch (format) {
    case 0xc4:
    case 0xc5:
    case 0xc6:
        return read_integer(reader, (size_t)1 << (format - 0xc4),
                            &content->byte_count);
    case 0xc7:
    case 0xc8:
    case 0xc9:
        if (!read_integer(reader, (size_t)1 << (format - 0xc7), &length)) {
            return false;
        }
        content->byte_count = length + 1;
        return true;
    case 0xd9:
    case 0xda:
    case 0xdb:
        return read_integer(reader, (size_t)1 << (format - 0xd9),
                            &content->byte_count);
    case 0xdc:
    case 0xdd:
        return read_integer(reader, (size_t)2 << (format - 0xdc),
                            &content->entry_count);
    case 0xde:
    case 0xdf:
        if (!read_integer(reader, (size_t)2 << (format - 0xde), &length)) {
            return false;
        }
        content->entry_count = 2 * length;
        return true;
    default:
        return false;
    }
}

/* Returns false if the format is invalid or the length is truncated. */
static bool
read_content_size(reader_t *reader, uint8_t format, content_size_t *content)
{
    static const uint8_t fixed_sizes[] = {
        [0xc0 - 0xc0] = 0, [0xc2 - 0xc0] = 0, [0xc3 - 0xc0] = 0,
        [0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1,
        [0xcd - 0xc0] = 2, [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8,
        [0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2, [0xd2 - 0xc0] = 4,
        [0xd3 - 0xc0] = 8, [0xd4 - 0xc0] = 2, [0xd5 - 0xc0] = 3,
        [0xd6 - 0xc0] = 5, [0xd7 - 0xc0] = 9, [0xd8 - 0xc0] = 17,
    };
    if (format <= 0x7f || format >= 0xe0) {
        return true;
    }
    if (format <= 0x8f) {
        content->entry_count = 2 * (uint64_t)(format & 0x0f);
        return true;
    }
    if (format <= 0x9f) {
        content->entry_count = format & 0x0f;
        return true;
    }
    if (format <= 0xbf) {
        content->byte_count = format & 0x1f;
        return true;
    }
    if (format == 0xc1) {
        return false;
    }
    if ((format >= 0xc4 && format <= 0xc9) || format >= 0xd9) {
        return read_stated_size(reader, format, content);
    }
    content->byte_count = fixed_sizes[format - 0xc0];
    return true;
}

bool
bv_pack_is_bounded(const void *data, size_t size)
{
    reader_t reader = {.data = data, .size = size};
    uint64_t values_left = 1;
    while (values_left > 0) {
        content_size_t content = {0};
        if (reader.offset == reader.size) {
            return false;
        }
        uint8_t format = reader.data[reader.offset++];
        if (!read_content_size(&reader, format, &content) ||
            content.byte_count > reader.size - reader.offset ||
            content.entry_count > reader.size - reader.offset) {
            return false;
        }
        reader.offset += content.byte_count;
        values_left += content.entry_count;
        values_left--;
    }
    return reader.offset == reader.size;
}
