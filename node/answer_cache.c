#include "berylvane/node/answer_cache.h"

#include <string.h>

typedef struct {
    bv_attempt_key_t key;
    bv_peer_message_t *answer;
    size_t bytes;
} kept_t;

struct bv_answer_cache {
    GHashTable *kept;
    GQueue order;
    size_t bytes;
    size_t limit_bytes;
};

static void
free_kept(gpointer data)
{
    kept_t *kept = data;
    bv_peer_message_destroy(kept->answer);
    g_free(kept);
}

bv_answer_cache_t *
bv_answer_cache_create(size_t limit_bytes)
{
    bv_answer_cache_t *answers = g_new0(bv_answer_cache_t, 1);
    answers->limit_bytes = limit_bytes;
    answers->kept = g_hash_table_new_full(
        bv_attempt_key_hash, bv_attempt_key_equal, NULL, free_kept);
    g_queue_init(&answers->order);
    return answers;
}

void
bv_answer_cache_destroy(bv_answer_cache_t *answers)
{
    if (answers == NULL) {
        return;
    }
    g_queue_clear(&answers->order);
    g_hash_table_destroy(answers->kept);
    g_free(answers);
}

static size_t
size_of(const bv_peer_message_t *answer)
{
    size_t bytes = sizeof(kept_t) + sizeof(*answer);
    bytes += answer->headers != NULL ? strlen(answer->headers) : 0;
    bytes += answer->body != NULL ? g_bytes_get_size(answer->body) : 0;
    return bytes;
}

static void
drop_oldest(bv_answer_cache_t *answers)
{
    const kept_t *oldest = g_queue_pop_head(&answers->order);
    answers->bytes -= oldest->bytes;
    g_hash_table_remove(answers->kept, &oldest->key);
}

void
bv_answer_cache_add(bv_answer_cache_t *answers, const bv_attempt_key_t *key,
                    const bv_peer_message_t *answer)
{
    size_t bytes = size_of(answer);
    if (bytes > answers->limit_bytes ||
        g_hash_table_contains(answers->kept, key)) {
        return;
    }
    while (answers->bytes + bytes > answers->limit_bytes) {
        drop_oldest(answers);
    }
    kept_t *kept = g_new0(kept_t, 1);
    kept->key = *key;
    kept->bytes = bytes;
    kept->answer = bv_peer_message_copy(answer);
    g_clear_pointer(&kept->answer->route, g_bytes_unref);
    answers->bytes += bytes;
    g_hash_table_insert(answers->kept, &kept->key, kept);
    g_queue_push_tail(&answers->order, kept);
}

bv_peer_message_t *
bv_answer_cache_find(const bv_answer_cache_t *answers,
                     const bv_attempt_key_t *key)
{
    const kept_t *kept = g_hash_table_lookup(answers->kept, key);
    return kept != NULL ? bv_peer_message_copy(kept->answer) : NULL;
}

size_t
bv_answer_cache_bytes(const bv_answer_cache_t *answers)
{
    return answers->bytes;
}
