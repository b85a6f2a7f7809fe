#ifndef BERYLVANE_NODE_ANSWER_CACHE_H
#define BERYLVANE_NODE_ANSWER_CACHE_H

#include "berylvane/peer/message.h"

/*
 * answers - the target side's recent answers, kept to be sent again
 *
 * An answer that was lost with its connection is asked for by a fence or a
 * question for progress. The oldest are dropped when `limit_bytes` is passed.
 */
typedef struct bv_answer_cache bv_answer_cache_t;

bv_answer_cache_t *bv_answer_cache_create(size_t limit_bytes);
void bv_answer_cache_destroy(bv_answer_cache_t *answers);

/* Keeps a copy of an answer; one larger than the limit is not kept. */
void bv_answer_cache_add(bv_answer_cache_t *answers,
                         const bv_attempt_key_t *key,
                         const bv_peer_message_t *answer);

/* A copy of the kept answer; NULL when there is none. */
bv_peer_message_t *bv_answer_cache_find(const bv_answer_cache_t *answers,
                                        const bv_attempt_key_t *key);

/* Bytes kept. */
size_t bv_answer_cache_bytes(const bv_answer_cache_t *answers);

#endif
