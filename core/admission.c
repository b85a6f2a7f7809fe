#include "berylvane/core/admission.h"

#include "berylvane/common/invariant.h"
#include "berylvane/core/lanes.h"
#include "berylvane/core/limiter.h"
#include "berylvane/core/threshold.h"

#define LATENCY_MEAN_DIVISOR 8
#define CRITICAL_PRIORITY (BV_CLASS_CRITICAL * BV_PRIORITY_LEVELS)
/* Critical work is refused only after CRITICAL_ALONE_US without admission of
 * less important work, which is then refused for CRITICAL_HOLD_US. */
#define CRITICAL_ALONE_US 1000000
#define CRITICAL_HOLD_US 100000
#define TARGET_SLOT_INTERVALS 2
#define TARGET_LIMIT_FACTOR 4
#define NEVER_US (INT64_MIN / 2)

typedef struct {
    bv_queue_t *queue;
    bv_threshold_t threshold;
    int64_t mean_latency_us;
} lane_t;

typedef struct {
    uint64_t id;
    uint32_t route_hash;
    bv_lane_t lane;
    int64_t started_us;
} running_work_t;

struct bv_admission {
    bv_admission_options_t options;
    bv_limiter_t *limiter;
    bv_lanes_t *lanes;
    lane_t lane[BV_LANE_END];
    GHashTable *running;
    int64_t last_critical_refused_us;
    int64_t last_noncritical_admitted_us;
};

bv_admission_t *
bv_admission_create(const bv_admission_options_t *options)
{
    bv_admission_t *admission = g_new0(bv_admission_t, 1);
    admission->options = *options;
    admission->limiter = bv_limiter_create(options->slots);
    admission->lanes = bv_lanes_create();
    admission->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    admission->last_critical_refused_us = NEVER_US;
    admission->last_noncritical_admitted_us = NEVER_US;
    for (int i = 0; i < BV_LANE_END; i++) {
        admission->lane[i].queue = bv_queue_create();
    }
    return admission;
}

void
bv_admission_destroy(bv_admission_t *admission)
{
    if (admission == NULL) {
        return;
    }
    for (int i = 0; i < BV_LANE_END; i++) {
        bv_queue_destroy(admission->lane[i].queue);
    }
    g_hash_table_destroy(admission->running);
    bv_lanes_destroy(admission->lanes);
    bv_limiter_destroy(admission->limiter);
    g_free(admission);
}

void
bv_admission_configure(bv_admission_t *admission,
                       const bv_admission_options_t *options)
{
    admission->options = *options;
    bv_limiter_set_slots(admission->limiter, options->slots);
}

static bool
is_critical(const bv_work_t *work)
{
    return work->priority >= CRITICAL_PRIORITY;
}

static bool
refuses_noncritical(const bv_admission_t *admission, int64_t now_us)
{
    return now_us - admission->last_critical_refused_us < CRITICAL_HOLD_US;
}

/* Whether no work below critical waits or was admitted recently. */
static bool
may_refuse_critical(const bv_admission_t *admission, int64_t now_us)
{
    if (now_us - admission->last_noncritical_admitted_us < CRITICAL_ALONE_US) {
        return false;
    }
    for (int i = 0; i < BV_LANE_END; i++) {
        const bv_queued_work_t *least =
            bv_queue_first_to_shed(admission->lane[i].queue);
        if (least != NULL && !is_critical(&least->work)) {
            return false;
        }
    }
    return true;
}

static void
note_refused(bv_admission_t *admission, int64_t now_us, const bv_work_t *work)
{
    if (!is_critical(work)) {
        return;
    }
    bv_invariant(may_refuse_critical(admission, now_us), "critical_shed_last",
                 "refused");
    admission->last_critical_refused_us = now_us;
}

static void
note_admitted(bv_admission_t *admission, int64_t now_us, const bv_work_t *work)
{
    if (is_critical(work)) {
        return;
    }
    bv_invariant(!refuses_noncritical(admission, now_us), "critical_shed_last",
                 "admitted");
    admission->last_noncritical_admitted_us = now_us;
}

static int64_t
lane_wait_us(const bv_admission_t *admission, const lane_t *lane)
{
    uint32_t limit = bv_admission_limit(admission);
    uint32_t length = bv_queue_length(lane->queue);
    return limit > 0 ? lane->mean_latency_us * length / limit : 0;
}

/* Returns the target delay. A wait for the next TARGET_SLOT_INTERVALS slots is
 * not overload, up to TARGET_LIMIT_FACTOR times the configured target. */
static int64_t
target_wait_us(const bv_admission_t *admission, const lane_t *lane)
{
    uint32_t limit = bv_admission_limit(admission);
    int64_t slot_interval_us = limit > 0 ? lane->mean_latency_us / limit : 0;
    int64_t shortest_us = admission->options.queue_target_us;
    return CLAMP(TARGET_SLOT_INTERVALS * slot_interval_us, shortest_us,
                 TARGET_LIMIT_FACTOR * shortest_us);
}

static void
update_threshold(bv_admission_t *admission, int64_t now_us, lane_t *lane)
{
    bv_threshold_input_t input = {
        .target_wait_us = target_wait_us(admission, lane),
        .expected_wait_us = lane_wait_us(admission, lane),
        .has_free_slot =
            bv_admission_running(admission) < bv_admission_limit(admission),
        .may_refuse_critical = may_refuse_critical(admission, now_us),
    };
    bv_threshold_update(&lane->threshold, now_us, &input);
}

static void
update_thresholds(bv_admission_t *admission, int64_t now_us)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        update_threshold(admission, now_us, &admission->lane[i]);
    }
}

static bool
may_start(const bv_admission_t *admission, int64_t now_us, bv_lane_t lane)
{
    bv_lanes_limits_t limits = {
        .limit = bv_admission_limit(admission),
        .long_share_percent = admission->options.long_share_percent,
        .short_waiting = bv_queue_length(admission->lane[BV_LANE_SHORT].queue),
    };
    return bv_lanes_may_start(admission->lanes, now_us, lane, &limits);
}

static bool
can_start(const bv_admission_t *admission, int64_t now_us, const lane_t *lane)
{
    return bv_queue_length(lane->queue) == 0 &&
           may_start(admission, now_us, (bv_lane_t)(lane - admission->lane));
}

/* Whether to refuse work: critical work below the threshold if no other work
 * is admitted; other work below the threshold that cannot start now, and all
 * other work within CRITICAL_HOLD_US after a refusal of critical work. */
static bool
is_below_threshold(const bv_admission_t *admission, int64_t now_us,
                   const lane_t *lane, const bv_work_t *work)
{
    bool below = work->priority < bv_threshold_level(&lane->threshold);
    if (is_critical(work)) {
        return below && may_refuse_critical(admission, now_us);
    }
    if (refuses_noncritical(admission, now_us)) {
        return true;
    }
    return below && !can_start(admission, now_us, lane);
}

static void
start_work(bv_admission_t *admission, int64_t now_us, const bv_work_t *work,
           bv_lane_t lane, int64_t waited_us)
{
    running_work_t *running = g_new0(running_work_t, 1);
    running->id = work->id;
    running->route_hash = work->route_hash;
    running->lane = lane;
    running->started_us = now_us;
    g_hash_table_insert(admission->running, &running->id, running);
    bv_lanes_record_start(admission->lanes, now_us, lane);
    bv_threshold_record_wait(&admission->lane[lane].threshold, waited_us);
    bv_invariant(bv_admission_running(admission) <= admission->options.slots,
                 "limit_within_slots", "start");
}

/* Returns the least important queued work of both lanes, and its lane. */
static const bv_queued_work_t *
find_least_important(const bv_admission_t *admission, lane_t **lane)
{
    const bv_queued_work_t *found = NULL;
    for (int i = 0; i < BV_LANE_END; i++) {
        const bv_queued_work_t *least =
            bv_queue_first_to_shed(admission->lane[i].queue);
        if (least != NULL &&
            (found == NULL || least->work.priority < found->work.priority)) {
            found = least;
            *lane = (lane_t *)&admission->lane[i];
        }
    }
    return found;
}

/* Critical work may exceed the queue's limit while it must not be refused. */
static bool
has_queue_room(const bv_admission_t *admission, int64_t now_us,
               const bv_work_t *work)
{
    lane_t *lane;
    if (bv_admission_queued(admission) < admission->options.queue_limit ||
        (is_critical(work) && !may_refuse_critical(admission, now_us))) {
        return true;
    }
    const bv_queued_work_t *least = find_least_important(admission, &lane);
    return least != NULL && least->work.priority < work->priority;
}

static bv_reason_t
refusal_reason(bv_admission_t *admission, int64_t now_us, const lane_t *lane,
               const bv_queued_work_t *queued)
{
    if (queued->latest_start_us <= now_us) {
        return BV_REASON_EXPIRED;
    }
    if (is_below_threshold(admission, now_us, lane, &queued->work)) {
        return BV_REASON_THRESHOLD;
    }
    if (!has_queue_room(admission, now_us, &queued->work)) {
        return BV_REASON_QUEUE_FULL;
    }
    return BV_REASON_NONE;
}

bv_work_verdict_t
bv_admission_offer(bv_admission_t *admission, int64_t now_us,
                   const bv_work_t *work, bv_reason_t *reason)
{
    bv_lane_t lane_number = bv_lanes_classify(
        admission->lanes, work->route_hash, work->is_long_running);
    lane_t *lane = &admission->lane[lane_number];
    int64_t typical_us = bv_lanes_typical_latency_us(admission->lanes, now_us,
                                                     work->route_hash);
    bv_queued_work_t queued = {*work, now_us, work->deadline_us - typical_us};
    update_thresholds(admission, now_us);
    bv_threshold_record_offer(&lane->threshold, now_us, work->priority);
    *reason = refusal_reason(admission, now_us, lane, &queued);
    if (*reason != BV_REASON_NONE) {
        if (*reason != BV_REASON_EXPIRED) {
            note_refused(admission, now_us, work);
        }
        return BV_WORK_REFUSED;
    }
    note_admitted(admission, now_us, work);
    if (can_start(admission, now_us, lane)) {
        start_work(admission, now_us, work, lane_number, 0);
        return BV_WORK_RUN;
    }
    bv_queue_add(lane->queue, &queued);
    return BV_WORK_QUEUED;
}

void
bv_admission_finish(bv_admission_t *admission, int64_t now_us, uint64_t id,
                    const bv_work_result_t *result)
{
    running_work_t *running = g_hash_table_lookup(admission->running, &id);
    if (running == NULL) {
        bv_invariant(false, "finished_work_is_running", "admission");
        return;
    }
    uint32_t count = bv_admission_running(admission);
    lane_t *lane = &admission->lane[running->lane];
    bv_lanes_record_end(admission->lanes, running->lane);
    if (result->completed) {
        int64_t own_us = MAX(0, result->latency_us - result->downstream_us);
        bv_lanes_record_cost(admission->lanes, now_us, running->route_hash,
                             result->latency_us, own_us);
        bv_limiter_record_latency(admission->limiter, now_us,
                                  running->started_us, running->route_hash,
                                  own_us, count);
        lane->mean_latency_us += (result->latency_us - lane->mean_latency_us) /
                                 LATENCY_MEAN_DIVISOR;
    }
    g_hash_table_remove(admission->running, &id);
}

bool
bv_admission_remove(bv_admission_t *admission, uint64_t id)
{
    bv_queued_work_t removed;
    for (int i = 0; i < BV_LANE_END; i++) {
        if (bv_queue_remove(admission->lane[i].queue, id, &removed)) {
            return true;
        }
    }
    return false;
}

static bv_work_verdict_t
drop_queued(lane_t *lane, int64_t now_us, uint64_t id)
{
    bv_queued_work_t dropped;
    bv_queue_remove(lane->queue, id, &dropped);
    bv_threshold_record_wait(&lane->threshold, now_us - dropped.queued_us);
    return BV_WORK_REFUSED;
}

static bool
find_expired(bv_admission_t *admission, int64_t now_us, lane_t **lane,
             uint64_t *id)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        *lane = &admission->lane[i];
        const bv_queued_work_t *first =
            bv_queue_first_to_expire((*lane)->queue);
        if (first != NULL && first->latest_start_us <= now_us) {
            *id = first->work.id;
            return true;
        }
    }
    return false;
}

static bool
find_below_threshold(bv_admission_t *admission, int64_t now_us, lane_t **lane,
                     uint64_t *id)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        *lane = &admission->lane[i];
        const bv_queued_work_t *least = bv_queue_first_to_shed((*lane)->queue);
        if (least != NULL &&
            is_below_threshold(admission, now_us, *lane, &least->work)) {
            note_refused(admission, now_us, &least->work);
            *id = least->work.id;
            return true;
        }
    }
    return false;
}

static bool
find_excess(bv_admission_t *admission, int64_t now_us, lane_t **lane,
            uint64_t *id)
{
    if (bv_admission_queued(admission) <= admission->options.queue_limit) {
        return false;
    }
    const bv_queued_work_t *least = find_least_important(admission, lane);
    if (is_critical(&least->work) && !may_refuse_critical(admission, now_us)) {
        return false;
    }
    note_refused(admission, now_us, &least->work);
    *id = least->work.id;
    return true;
}

/* Short work starts first unless the long work is of a higher class. */
static bool
find_lane(const bv_admission_t *admission, int64_t now_us, bv_lane_t *lane)
{
    const bv_queued_work_t *found = NULL;
    for (int i = 0; i < BV_LANE_END; i++) {
        const bv_queued_work_t *next =
            bv_queue_first_to_run(admission->lane[i].queue);
        if (next == NULL || !may_start(admission, now_us, (bv_lane_t)i)) {
            continue;
        }
        if (found == NULL || next->work.priority / BV_PRIORITY_LEVELS >
                                 found->work.priority / BV_PRIORITY_LEVELS) {
            found = next;
            *lane = (bv_lane_t)i;
        }
    }
    return found != NULL;
}

static bv_work_verdict_t
start_next(bv_admission_t *admission, int64_t now_us, uint64_t *id)
{
    bv_lane_t lane;
    bv_queued_work_t next;
    if (!find_lane(admission, now_us, &lane)) {
        return BV_WORK_QUEUED;
    }
    bv_queue_t *queue = admission->lane[lane].queue;
    *id = bv_queue_first_to_run(queue)->work.id;
    bv_queue_remove(queue, *id, &next);
    start_work(admission, now_us, &next.work, lane, now_us - next.queued_us);
    return BV_WORK_RUN;
}

/*
 * The waits of work that a drain refuses are not recorded: they do not show
 * that the target is overloaded.
 */
static bool
refuse_for_drain(bv_admission_t *admission, uint64_t *id)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        bv_queue_t *queue = admission->lane[i].queue;
        const bv_queued_work_t *first = bv_queue_first_to_run(queue);
        if (first != NULL) {
            bv_queued_work_t refused;
            *id = first->work.id;
            return bv_queue_remove(queue, *id, &refused);
        }
    }
    return false;
}

bv_work_verdict_t
bv_admission_next(bv_admission_t *admission, int64_t now_us, uint64_t *id,
                  bv_reason_t *reason)
{
    lane_t *lane;
    if (admission->options.is_draining) {
        *reason = BV_REASON_DRAINING;
        return refuse_for_drain(admission, id) ? BV_WORK_REFUSED
                                               : BV_WORK_QUEUED;
    }
    update_thresholds(admission, now_us);
    if (find_expired(admission, now_us, &lane, id)) {
        *reason = BV_REASON_EXPIRED;
        return drop_queued(lane, now_us, *id);
    }
    if (find_below_threshold(admission, now_us, &lane, id)) {
        *reason = BV_REASON_THRESHOLD;
        return drop_queued(lane, now_us, *id);
    }
    if (find_excess(admission, now_us, &lane, id)) {
        *reason = BV_REASON_QUEUE_FULL;
        return drop_queued(lane, now_us, *id);
    }
    return start_next(admission, now_us, id);
}

static const lane_t *
lane_of(const bv_admission_t *admission, uint32_t route_hash, bool is_long)
{
    return &admission->lane[bv_lanes_classify(admission->lanes, route_hash,
                                              is_long)];
}

uint16_t
bv_admission_route_threshold(const bv_admission_t *admission,
                             uint32_t route_hash, bool is_long)
{
    return bv_threshold_level(
        &lane_of(admission, route_hash, is_long)->threshold);
}

uint16_t
bv_admission_threshold(const bv_admission_t *admission)
{
    return bv_threshold_level(&admission->lane[BV_LANE_SHORT].threshold);
}

int64_t
bv_admission_route_wait_us(const bv_admission_t *admission,
                           uint32_t route_hash, bool is_long)
{
    return lane_wait_us(admission, lane_of(admission, route_hash, is_long));
}

uint32_t
bv_admission_running(const bv_admission_t *admission)
{
    return g_hash_table_size(admission->running);
}

uint32_t
bv_admission_queued(const bv_admission_t *admission)
{
    uint32_t queued = 0;
    for (int i = 0; i < BV_LANE_END; i++) {
        queued += bv_queue_length(admission->lane[i].queue);
    }
    return queued;
}

uint32_t
bv_admission_limit(const bv_admission_t *admission)
{
    return admission->options.has_fixed_limit
               ? admission->options.slots
               : bv_limiter_limit(admission->limiter);
}
