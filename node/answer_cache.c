#include "berylvane/node/answer_cache.h"

#include <string.h>

typedef struct {
    bv_attempt_key_t key;
    bv_peer_message_t *answer;
    size_t bytes;
} entry_t;

struct bv_answer_cache {
    /* entry_t by key. */
    GHashTable *entries;
    /* The same entries, oldest first. */
    GQueue order;
    size_t bytes;
    size_t limit_bytes;
};

static void
entry_destroy(gpointer data)
{
    entry_t *entry = data;
    bv_peer_message_destroy(entry->answer);
    g_free(entry);
}

bv_answer_cache_t *
bv_answer_cache_create(size_t limit_bytes)
{
    bv_answer_cache_t *cache = g_new0(bv_answer_cache_t, 1);
    cache->limit_bytes = limit_bytes;
    cache->entries = g_hash_table_new_full(
        bv_attempt_key_hash, bv_attempt_key_equal, NULL, entry_destroy);
    g_queue_init(&cache->order);
    return cache;
}

void
bv_answer_cache_destroy(bv_answer_cache_t *cache)
{
    if (cache == NULL) {
        return;
    }
    g_queue_clear(&cache->order);
    g_hash_table_destroy(cache->entries);
    g_free(cache);
}

static size_t
entry_bytes(const bv_peer_message_t *answer)
{
    size_t bytes = sizeof(entry_t) + sizeof(*answer);
    bytes += answer->headers != NULL ? strlen(answer->headers) : 0;
    bytes += answer->body != NULL ? g_bytes_get_size(answer->body) : 0;
    return bytes;
}

static void
evict_oldest(bv_answer_cache_t *cache)
{
    const entry_t *oldest = g_queue_pop_head(&cache->order);
    cache->bytes -= oldest->bytes;
    g_hash_table_remove(cache->entries, &oldest->key);
}

void
bv_answer_cache_add(bv_answer_cache_t *cache, const bv_attempt_key_t *key,
                    const bv_peer_message_t *answer)
{
    size_t bytes = entry_bytes(answer);
    if (bytes > cache->limit_bytes ||
        g_hash_table_contains(cache->entries, key)) {
        return;
    }
    while (cache->bytes + bytes > cache->limit_bytes) {
        evict_oldest(cache);
    }
    entry_t *entry = g_new0(entry_t, 1);
    entry->key = *key;
    entry->bytes = bytes;
    entry->answer = bv_peer_message_copy(answer);
    g_clear_pointer(&entry->answer->reply_identity, g_bytes_unref);
    cache->bytes += bytes;
    g_hash_table_insert(cache->entries, &entry->key, entry);
    g_queue_push_tail(&cache->order, entry);
}

bv_peer_message_t *
bv_answer_cache_find(const bv_answer_cache_t *cache,
                     const bv_attempt_key_t *key)
{
    const entry_t *entry = g_hash_table_lookup(cache->entries, key);
    return entry != NULL ? bv_peer_message_copy(entry->answer) : NULL;
}

size_t
bv_answer_cache_bytes(const bv_answer_cache_t *cache)
{
    return cache->bytes;
}
