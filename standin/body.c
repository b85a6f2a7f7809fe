#include "berylvane/standin/body.h"

#include <string.h>
#include <xxhash.h>

#define DEFAULT_BYTES 256
#define BYTES_LIMIT (4 * 1024 * 1024)
#define HASH_DIGITS 16

static size_t
requested_bytes(const char *path)
{
    const char *argument = strstr(path, "bytes=");
    if (argument == NULL) {
        return DEFAULT_BYTES;
    }
    guint64 bytes = g_ascii_strtoull(argument + strlen("bytes="), NULL, 10);
    return (size_t)CLAMP(bytes, HASH_DIGITS, BYTES_LIMIT);
}

GBytes *
bv_standin_body(const char *method, const char *path, GBytes *request)
{
    gsize size = 0;
    const void *data =
        request != NULL ? g_bytes_get_data(request, &size) : NULL;
    XXH64_hash_t seed = XXH3_64bits(data, size);
    seed = XXH3_64bits_withSeed(path, strlen(path), seed);
    seed = XXH3_64bits_withSeed(method, strlen(method), seed);
    size_t bytes = requested_bytes(path);
    char *body = g_malloc(bytes + HASH_DIGITS);
    for (size_t offset = 0; offset < bytes; offset += HASH_DIGITS) {
        XXH64_hash_t hash =
            XXH3_64bits_withSeed(&offset, sizeof(offset), seed);
        for (size_t i = 0; i < HASH_DIGITS; i++) {
            body[offset + i] = "0123456789abcdef"[hash & 15];
            hash >>= 4;
        }
    }
    return g_bytes_new_take(body, bytes);
}
