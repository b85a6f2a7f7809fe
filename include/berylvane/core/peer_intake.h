#ifndef BERYLVANE_CORE_PEER_INTAKE_H
#define BERYLVANE_CORE_PEER_INTAKE_H

#include "berylvane/core/memory_budget.h"

/*
 * peer_intake - how much a node reads from its peers while memory is short
 *
 * Handles the load of peers that send large messages faster than the node can
 * serve, refuse or pass them on. Once half of the bound is used, a turn of a
 * socket ends after one large message, so that no more than one is held that
 * was not judged yet. At the bound reading pauses, so that the rest stays with
 * the peers, as long as what callers read and peers take would bring the use
 * below it. No pause is longer than 100 ms: between two of them each socket
 * has a turn, in which requests are refused and fences are answered.
 *
 * A zeroed structure is a valid initial state. All times are monotonic.
 */
typedef struct {
    bool is_limited;
    bool is_paused;
    /* Paused, or between two pauses. */
    bool is_full;
    int64_t paused_us;
    /* Times that the bound was reached. */
    uint64_t pauses;
} bv_peer_intake_t;

/*
 * Decides about the next turns. `queued_bytes` is the part of the used bytes
 * that waits to be sent to peers.
 */
void bv_peer_intake_update(bv_peer_intake_t *intake, int64_t now_us,
                           const bv_memory_budget_t *budget,
                           uint64_t queued_bytes);

/*
 * Returns how many bytes may be received from a socket in its turn, before the
 * last message: 0 while reading pauses, SIZE_MAX for no limit.
 */
size_t bv_peer_intake_bytes(const bv_peer_intake_t *intake,
                            size_t small_bytes);

#endif
