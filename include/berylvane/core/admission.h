#ifndef BERYLVANE_CORE_ADMISSION_H
#define BERYLVANE_CORE_ADMISSION_H

#include "berylvane/core/queue.h"

/*
 * admission - decides what the target of this node may run, and when
 *
 * Work is refused by priority once the queueing delay passes its target;
 * critical work only once nothing else is admitted. Work that can no longer
 * be answered in time is dropped. Short and long work wait in lanes of their
 * own; the limit of work that runs at once adapts to measured latency.
 */
typedef struct bv_admission bv_admission_t;

typedef struct {
    uint32_t slots;
    uint32_t queue_limit;
    int64_t queue_target_us;
    uint32_t long_share_percent;
    /* All slots are used at once; else the limit adapts to latency. */
    bool has_fixed_limit;
} bv_admission_options_t;

typedef enum {
    BV_WORK_RUN,
    BV_WORK_QUEUED,
    BV_WORK_REFUSED,
} bv_work_verdict_t;

/* How work that ran has ended. */
typedef struct {
    int64_t latency_us;
    /* Part of the latency that was spent in calls to other services. */
    int64_t downstream_us;
    /* It ran to its end, so that its latency counts as a measurement. */
    bool completed;
} bv_work_result_t;

bv_admission_t *bv_admission_create(const bv_admission_options_t *options);
void bv_admission_destroy(bv_admission_t *admission);

/* Changes the options; running and queued work stays. */
void bv_admission_configure(bv_admission_t *admission,
                            const bv_admission_options_t *options);

/*
 * Offers new work. On RUN it holds a slot at once. After QUEUED,
 * bv_admission_next() may have other work to refuse in its favour.
 */
bv_work_verdict_t bv_admission_offer(bv_admission_t *admission, int64_t now_us,
                                     const bv_work_t *work,
                                     bv_reason_t *reason);

/* Frees the slot of running work. */
void bv_admission_finish(bv_admission_t *admission, int64_t now_us,
                         uint64_t id, const bv_work_result_t *end);

/* Takes queued work out; false when `id` is not queued. */
bool bv_admission_remove(bv_admission_t *admission, uint64_t id);

/*
 * Yields the next queued work: RUN to be started (it holds a slot now),
 * REFUSED to be refused for `reason`, QUEUED when there is nothing to do.
 */
bv_work_verdict_t bv_admission_next(bv_admission_t *admission, int64_t now_us,
                                    uint64_t *id, bv_reason_t *reason);

/* Least priority that is admitted now, of a kind or of short work. */
uint16_t bv_admission_route_threshold(const bv_admission_t *admission,
                                      uint32_t kind, bool long_work);
uint16_t bv_admission_threshold(const bv_admission_t *admission);

/* Estimated wait of new work of a kind. */
int64_t bv_admission_route_wait_us(const bv_admission_t *admission,
                                   uint32_t kind, bool long_work);

uint32_t bv_admission_running(const bv_admission_t *admission);
uint32_t bv_admission_queued(const bv_admission_t *admission);

/* Work that may run at once. */
uint32_t bv_admission_limit(const bv_admission_t *admission);

#endif
