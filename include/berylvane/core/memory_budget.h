#ifndef BERYLVANE_CORE_MEMORY_BUDGET_H
#define BERYLVANE_CORE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * memory_budget - the bytes that a process holds for others
 *
 * Handles the load of clients that make a process hold much at once: bodies
 * that are never finished, responses that are never read. Without a bound on
 * all of them together the process exceeds the memory of its instance.
 *
 * A holder is one connection. Its bytes are set as they change, and so are the
 * bytes that moved in either direction, from which its rate follows. Bytes
 * without a holder (caches, queues) are charged and released. As usage rises,
 * in this order:
 * - reading of what was not reserved pauses (BV_BYTES_PAUSING),
 * - large items are not admitted (BV_BYTES_REJECTING),
 * - holders that the process waits for are closed: at first those that make
 *   no progress, above the bound those that hold most for their rate, as long
 *   as all holders together exceed what is to be freed.
 * Items up to the small size are admitted up to the bound, so that ordinary
 * requests have a reserve. With the bound 0 nothing is limited.
 *
 * All times are monotonic.
 */
typedef struct bv_memory_budget bv_memory_budget_t;

/*
 * What a connection without requests holds: its objects and buffers. Closing
 * a holder of no more frees too little to be worth it.
 */
#define BV_BYTE_HOLDER_OWN_BYTES 2048

typedef enum {
    BV_BYTES_NORMAL,
    BV_BYTES_PAUSING,
    BV_BYTES_REJECTING,
    /* The bound is reached. */
    BV_BYTES_FULL,
} bv_byte_level_t;

typedef struct {
    /* 0: no bound. */
    uint64_t bound_bytes;
    /* Largest size of an item that counts as small. */
    uint64_t small_bytes;
} bv_memory_budget_options_t;

/* Embedded in its owner; zeroed before bv_memory_budget_join(). */
typedef struct {
    void *owner;
    uint64_t bytes;
    /*
     * The process waits for the peer of the connection, to send or to read;
     * only then is a lack of progress its fault.
     */
    bool is_waiting;
    /*
     * The process does not read what the peer has sent. The time until it
     * reads again does not count as a lack of progress.
     */
    bool is_paused;
    /* Position in the budget's list. */
    uint32_t index;
    int64_t waiting_since_us;
    /* Bytes that moved in the period since `period_us`. */
    int64_t period_us;
    uint64_t moved_bytes;
    /* Bytes per second in the period before. */
    uint64_t rate;
    /* End of the last period with progress. */
    int64_t progress_us;
} bv_byte_holder_t;

/*
 * Largest bound for a process whose memory is limited to `memory_bytes`; 0 for
 * 0. See docs/design/memory.md for the shares.
 */
uint64_t bv_memory_budget_bound(uint64_t memory_bytes);

bv_memory_budget_t *
bv_memory_budget_create(const bv_memory_budget_options_t *options);
void bv_memory_budget_destroy(bv_memory_budget_t *budget);

/* Changes the bound; 0 removes it. */
void bv_memory_budget_set_bound(bv_memory_budget_t *budget,
                                uint64_t bound_bytes);

/*
 * Adds a holder, which must leave before it is freed. With the budget NULL,
 * here and below, only the holder's progress is recorded.
 */
void bv_memory_budget_join(bv_memory_budget_t *budget,
                           bv_byte_holder_t *holder, void *owner,
                           int64_t now_us);

/* Removes a holder with all that it holds. */
void bv_memory_budget_leave(bv_memory_budget_t *budget,
                            bv_byte_holder_t *holder);

/* Sets what a holder holds, and whether the process waits for its peer. */
void bv_memory_budget_set(bv_memory_budget_t *budget, bv_byte_holder_t *holder,
                          int64_t now_us, uint64_t bytes, bool is_waiting);

/* Sets whether the process has stopped reading what the peer has sent. */
void bv_memory_budget_set_paused(bv_byte_holder_t *holder, int64_t now_us,
                                 bool is_paused);

/*
 * Returns the time since which a holder's peer keeps the process waiting
 * without progress at the least rate; `now_us` if it progresses.
 */
int64_t bv_memory_budget_stalled_since_us(bv_byte_holder_t *holder,
                                          int64_t now_us);

/* Records bytes that a holder's peer has sent or read. */
void bv_memory_budget_move(bv_byte_holder_t *holder, int64_t now_us,
                           uint64_t bytes);

/* Charges and releases bytes without a holder. */
void bv_memory_budget_charge(bv_memory_budget_t *budget, uint64_t bytes);
void bv_memory_budget_release(bv_memory_budget_t *budget, uint64_t bytes);

uint64_t bv_memory_budget_used(const bv_memory_budget_t *budget);
uint64_t bv_memory_budget_peak(const bv_memory_budget_t *budget);
bv_byte_level_t bv_memory_budget_level(const bv_memory_budget_t *budget);

/* Whether an item of `bytes` may be held in addition. */
bool bv_memory_budget_admits(const bv_memory_budget_t *budget, uint64_t bytes);

/*
 * Whether more may be read for a holder that would then hold `bytes`, without
 * having reserved them.
 */
bool bv_memory_budget_may_read(const bv_memory_budget_t *budget,
                               uint64_t bytes);

/*
 * Whether the use falls below the bound once the holders hold nothing and
 * `bytes` without a holder are released.
 */
bool bv_memory_budget_can_relieve(const bv_memory_budget_t *budget,
                                  uint64_t bytes);

/*
 * Returns the holder that is to be closed next, or NULL. Those that are paused
 * come last.
 */
bv_byte_holder_t *bv_memory_budget_victim(bv_memory_budget_t *budget,
                                          int64_t now_us);

#endif
