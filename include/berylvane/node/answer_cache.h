#ifndef BERYLVANE_NODE_ANSWER_CACHE_H
#define BERYLVANE_NODE_ANSWER_CACHE_H

#include "berylvane/peer/message.h"

/*
 * answer_cache - recent answers of the target side, kept to be sent again
 *
 * When an answer is lost with its connection, the caller side requests it
 * again by a fence or a progress query. The oldest answers are evicted when
 * the cache would exceed `limit_bytes`.
 */
typedef struct bv_answer_cache bv_answer_cache_t;

bv_answer_cache_t *bv_answer_cache_create(size_t limit_bytes);
void bv_answer_cache_destroy(bv_answer_cache_t *cache);

/*
 * Stores a copy of an answer. An answer larger than the limit, or a second one
 * for the same attempt, is ignored.
 */
void bv_answer_cache_add(bv_answer_cache_t *cache, const bv_attempt_key_t *key,
                         const bv_peer_message_t *answer);

/* Returns a copy of the stored answer, owned by the caller, or NULL. */
bv_peer_message_t *bv_answer_cache_find(const bv_answer_cache_t *cache,
                                        const bv_attempt_key_t *key);

/* Returns the approximate memory of the stored answers. */
size_t bv_answer_cache_bytes(const bv_answer_cache_t *cache);

#endif
