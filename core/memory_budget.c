#include "berylvane/core/memory_budget.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/invariant.h"

#include <glib.h>

#define MEGABYTE (UINT64_C(1024) * 1024)
/*
 * A process at rest takes 17 to 25 MB (docs/CAPACITY.md). The rest is for
 * responses that are larger than expected, and for copies while a message is
 * encoded, decoded or received.
 */
#define BASE_BYTES (80 * MEGABYTE)
/* Share of what is left; the remainder is for the allocator and small items.
 */
#define SHARE_NUMERATOR 3
#define SHARE_DENOMINATOR 4
/* Least part of the limit that is used, if the limit is very low. */
#define LEAST_SHARE 8
#define PAUSING_PERCENT 50
#define REJECTING_PERCENT 75
#define PERIOD_US BV_US_PER_S
/* A period that has just begun is judged as if it had lasted this long. */
#define LEAST_ELAPSED_US (BV_US_PER_S / 20)
/* A holder below this rate, in bytes per second, makes no progress. */
#define MIN_RATE_BYTES_PER_S 16384
/* Time without progress until a holder may be closed, by level. */
#define STALL_TIMEOUT_PAUSING_US (5 * BV_US_PER_S)
#define STALL_TIMEOUT_REJECTING_US (2 * BV_US_PER_S)

struct bv_memory_budget {
    bv_memory_budget_options_t options;
    uint64_t used_bytes;
    uint64_t peak_bytes;
    /* The part of the used bytes that holders hold. */
    uint64_t holders_bytes;
    /* bv_byte_holder_t pointers. */
    GPtrArray *holders;
};

uint64_t
bv_memory_budget_bound(uint64_t memory_bytes)
{
    uint64_t left = memory_bytes > BASE_BYTES ? memory_bytes - BASE_BYTES : 0;
    left = left / SHARE_DENOMINATOR * SHARE_NUMERATOR;
    return MAX(left, memory_bytes / LEAST_SHARE);
}

bv_memory_budget_t *
bv_memory_budget_create(const bv_memory_budget_options_t *options)
{
    bv_memory_budget_t *budget = g_new0(bv_memory_budget_t, 1);
    budget->options = *options;
    budget->holders = g_ptr_array_new();
    return budget;
}

void
bv_memory_budget_destroy(bv_memory_budget_t *budget)
{
    if (budget == NULL) {
        return;
    }
    g_ptr_array_unref(budget->holders);
    g_free(budget);
}

void
bv_memory_budget_set_bound(bv_memory_budget_t *budget, uint64_t bound_bytes)
{
    budget->options.bound_bytes = bound_bytes;
}

void
bv_memory_budget_charge(bv_memory_budget_t *budget, uint64_t bytes)
{
    budget->used_bytes += bytes;
    budget->peak_bytes = MAX(budget->peak_bytes, budget->used_bytes);
}

void
bv_memory_budget_release(bv_memory_budget_t *budget, uint64_t bytes)
{
    bv_invariant(bytes <= budget->used_bytes, "released_bytes_were_charged",
                 "memory_budget");
    budget->used_bytes -= MIN(bytes, budget->used_bytes);
}

void
bv_memory_budget_join(bv_memory_budget_t *budget, bv_byte_holder_t *holder,
                      void *owner, int64_t now_us)
{
    *holder = (bv_byte_holder_t){
        .owner = owner,
        .period_us = now_us,
        .progress_us = now_us,
    };
    if (budget != NULL) {
        holder->index = budget->holders->len;
        g_ptr_array_add(budget->holders, holder);
    }
}

void
bv_memory_budget_leave(bv_memory_budget_t *budget, bv_byte_holder_t *holder)
{
    if (budget == NULL) {
        return;
    }
    bv_memory_budget_release(budget, holder->bytes);
    budget->holders_bytes -= holder->bytes;
    g_ptr_array_remove_index_fast(budget->holders, holder->index);
    if (holder->index < budget->holders->len) {
        bv_byte_holder_t *moved = budget->holders->pdata[holder->index];
        moved->index = holder->index;
    }
    holder->bytes = 0;
}

static void
set_bytes(bv_memory_budget_t *budget, bv_byte_holder_t *holder, uint64_t bytes)
{
    if (bytes > holder->bytes) {
        bv_memory_budget_charge(budget, bytes - holder->bytes);
    }
    else {
        bv_memory_budget_release(budget, holder->bytes - bytes);
    }
    budget->holders_bytes += bytes - holder->bytes;
    holder->bytes = bytes;
}

void
bv_memory_budget_set(bv_memory_budget_t *budget, bv_byte_holder_t *holder,
                     int64_t now_us, uint64_t bytes, bool is_waiting)
{
    if (budget != NULL) {
        set_bytes(budget, holder, bytes);
    }
    if (is_waiting && !holder->is_waiting) {
        holder->waiting_since_us = now_us;
    }
    holder->is_waiting = is_waiting;
}

/* Ends the current period if it has lasted long enough. */
static void
renew_period(bv_byte_holder_t *holder, int64_t now_us)
{
    int64_t elapsed_us = now_us - holder->period_us;
    if (elapsed_us < PERIOD_US) {
        return;
    }
    holder->rate =
        holder->moved_bytes * (uint64_t)BV_US_PER_S / (uint64_t)elapsed_us;
    if (holder->rate >= MIN_RATE_BYTES_PER_S) {
        holder->progress_us = now_us;
    }
    holder->moved_bytes = 0;
    holder->period_us = now_us;
}

void
bv_memory_budget_move(bv_byte_holder_t *holder, int64_t now_us, uint64_t bytes)
{
    renew_period(holder, now_us);
    holder->moved_bytes += bytes;
}

void
bv_memory_budget_set_paused(bv_byte_holder_t *holder, int64_t now_us,
                            bool is_paused)
{
    if (holder->is_paused && !is_paused) {
        holder->waiting_since_us = now_us;
    }
    holder->is_paused = is_paused;
}

int64_t
bv_memory_budget_stalled_since_us(bv_byte_holder_t *holder, int64_t now_us)
{
    renew_period(holder, now_us);
    int64_t elapsed_us = now_us - holder->period_us;
    uint64_t least_bytes = (uint64_t)MAX(elapsed_us, LEAST_ELAPSED_US) *
                           MIN_RATE_BYTES_PER_S / (uint64_t)BV_US_PER_S;
    bool progresses = holder->moved_bytes >= least_bytes;
    return progresses ? now_us
                      : MAX(holder->waiting_since_us, holder->progress_us);
}

/* Bytes of the running period, or of a second of the one before. */
static uint64_t
current_rate(const bv_byte_holder_t *holder)
{
    return MAX(holder->rate, holder->moved_bytes);
}

uint64_t
bv_memory_budget_used(const bv_memory_budget_t *budget)
{
    return budget->used_bytes;
}

uint64_t
bv_memory_budget_peak(const bv_memory_budget_t *budget)
{
    return budget->peak_bytes;
}

static uint64_t
threshold(const bv_memory_budget_t *budget, uint64_t percent)
{
    return budget->options.bound_bytes / 100 * percent;
}

bv_byte_level_t
bv_memory_budget_level(const bv_memory_budget_t *budget)
{
    uint64_t bound = budget->options.bound_bytes;
    uint64_t used = budget->used_bytes;
    if (bound == 0 || used < threshold(budget, PAUSING_PERCENT)) {
        return BV_BYTES_NORMAL;
    }
    if (used < threshold(budget, REJECTING_PERCENT)) {
        return BV_BYTES_PAUSING;
    }
    return used < bound ? BV_BYTES_REJECTING : BV_BYTES_FULL;
}

bool
bv_memory_budget_admits(const bv_memory_budget_t *budget, uint64_t bytes)
{
    if (budget->options.bound_bytes == 0) {
        return true;
    }
    uint64_t limit = bytes <= budget->options.small_bytes
                         ? budget->options.bound_bytes
                         : threshold(budget, REJECTING_PERCENT);
    /* A single item is admitted, however large, while little is held. */
    return budget->used_bytes + bytes <= limit ||
           bv_memory_budget_level(budget) == BV_BYTES_NORMAL;
}

bool
bv_memory_budget_may_read(const bv_memory_budget_t *budget, uint64_t bytes)
{
    switch (bv_memory_budget_level(budget)) {
    case BV_BYTES_NORMAL:
        return true;
    case BV_BYTES_PAUSING:
    case BV_BYTES_REJECTING:
        return bytes <= budget->options.small_bytes;
    case BV_BYTES_FULL:
        break;
    }
    return false;
}

static bool
is_stalled(const bv_memory_budget_t *budget, const bv_byte_holder_t *holder,
           int64_t now_us)
{
    int64_t stall_timeout_us =
        bv_memory_budget_level(budget) == BV_BYTES_PAUSING
            ? STALL_TIMEOUT_PAUSING_US
            : STALL_TIMEOUT_REJECTING_US;
    int64_t since_us = MAX(holder->waiting_since_us, holder->progress_us);
    return holder->bytes > budget->options.small_bytes && !holder->is_paused &&
           current_rate(holder) < MIN_RATE_BYTES_PER_S &&
           now_us - since_us >= stall_timeout_us;
}

/*
 * Ranks holders for closing, by the seconds that their bytes would take at
 * their rate. MIN_RATE_BYTES_PER_S is added so that holders without progress
 * are ranked by their bytes.
 */
static double
seconds_left(const bv_byte_holder_t *holder)
{
    return (double)holder->bytes /
           (double)(current_rate(holder) + MIN_RATE_BYTES_PER_S);
}

bool
bv_memory_budget_can_relieve(const bv_memory_budget_t *budget, uint64_t bytes)
{
    uint64_t relieved_bytes = budget->holders_bytes + bytes;
    return budget->used_bytes < budget->options.bound_bytes + relieved_bytes;
}

/*
 * Whether `holder` is to be closed before `other`. One that the process itself
 * does not read cannot make progress, so that its rate says nothing.
 */
static bool
is_closed_before(const bv_byte_holder_t *holder, const bv_byte_holder_t *other)
{
    if (other == NULL) {
        return true;
    }
    return holder->is_paused == other->is_paused
               ? seconds_left(holder) > seconds_left(other)
               : other->is_paused;
}

bv_byte_holder_t *
bv_memory_budget_victim(bv_memory_budget_t *budget, int64_t now_us)
{
    bv_byte_level_t level = bv_memory_budget_level(budget);
    bv_byte_holder_t *victim = NULL;
    if (level == BV_BYTES_NORMAL) {
        return NULL;
    }
    /* If caches and queues alone fill the budget, closing does not help. */
    bool closes_any =
        level == BV_BYTES_FULL && bv_memory_budget_can_relieve(budget, 0);
    for (guint i = 0; i < budget->holders->len; i++) {
        bv_byte_holder_t *holder = budget->holders->pdata[i];
        renew_period(holder, now_us);
        bool may_close = holder->is_waiting &&
                         holder->bytes > BV_BYTE_HOLDER_OWN_BYTES &&
                         (closes_any || is_stalled(budget, holder, now_us));
        if (may_close && is_closed_before(holder, victim)) {
            victim = holder;
        }
    }
    return victim;
}
