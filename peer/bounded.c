#include "berylvane/peer/pack.h"

/*
 * The first byte of a MessagePack value tells how many bytes of length or of
 * number follow, and whether the length counts bytes or entries.
 */
typedef struct {
    const uint8_t *data;
    size_t size;
    size_t at;
} walk_t;

typedef struct {
    uint64_t bytes;
    uint64_t entries;
} content_t;

static bool
read_length(walk_t *walk, size_t width, uint64_t *length)
{
    if (walk->size - walk->at < width) {
        return false;
    }
    *length = 0;
    for (size_t i = 0; i < width; i++) {
        *length = *length << 8 | walk->data[walk->at++];
    }
    return true;
}

static bool
read_sized(walk_t *walk, uint8_t tag, content_t *content)
{
    uint64_t length;
    switch (tag) {
    case 0xc4:
    case 0xc5:
    case 0xc6:
        return read_length(walk, (size_t)1 << (tag - 0xc4), &content->bytes);
    case 0xc7:
    case 0xc8:
    case 0xc9:
        if (!read_length(walk, (size_t)1 << (tag - 0xc7), &length)) {
            return false;
        }
        content->bytes = length + 1;
        return true;
    case 0xd9:
    case 0xda:
    case 0xdb:
        return read_length(walk, (size_t)1 << (tag - 0xd9), &content->bytes);
    case 0xdc:
    case 0xdd:
        return read_length(walk, (size_t)2 << (tag - 0xdc), &content->entries);
    case 0xde:
    case 0xdf:
        if (!read_length(walk, (size_t)2 << (tag - 0xde), &length)) {
            return false;
        }
        content->entries = 2 * length;
        return true;
    default:
        return false;
    }
}

static bool
read_content(walk_t *walk, uint8_t tag, content_t *content)
{
    static const uint8_t fixed[] = {
        [0xc0 - 0xc0] = 0, [0xc2 - 0xc0] = 0, [0xc3 - 0xc0] = 0,
        [0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1,
        [0xcd - 0xc0] = 2, [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8,
        [0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2, [0xd2 - 0xc0] = 4,
        [0xd3 - 0xc0] = 8, [0xd4 - 0xc0] = 2, [0xd5 - 0xc0] = 3,
        [0xd6 - 0xc0] = 5, [0xd7 - 0xc0] = 9, [0xd8 - 0xc0] = 17,
    };
    if (tag <= 0x7f || tag >= 0xe0) {
        return true;
    }
    if (tag <= 0x8f) {
        content->entries = 2 * (uint64_t)(tag & 0x0f);
        return true;
    }
    if (tag <= 0x9f) {
        content->entries = tag & 0x0f;
        return true;
    }
    if (tag <= 0xbf) {
        content->bytes = tag & 0x1f;
        return true;
    }
    if (tag == 0xc1) {
        return false;
    }
    if ((tag >= 0xc4 && tag <= 0xc9) || tag >= 0xd9) {
        return read_sized(walk, tag, content);
    }
    content->bytes = fixed[tag - 0xc0];
    return true;
}

bool
bv_pack_is_bounded(const void *data, size_t size)
{
    walk_t walk = {.data = data, .size = size};
    uint64_t left = 1;
    while (left > 0) {
        content_t content = {0};
        if (walk.at == walk.size) {
            return false;
        }
        uint8_t tag = walk.data[walk.at++];
        if (!read_content(&walk, tag, &content) ||
            content.bytes > walk.size - walk.at ||
            content.entries > walk.size - walk.at) {
            return false;
        }
        walk.at += content.bytes;
        left += content.entries;
        left--;
    }
    return walk.at == walk.size;
}
