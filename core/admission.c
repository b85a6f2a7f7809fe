#include "berylvane/core/admission.h"

#include "berylvane/common/invariant.h"
#include "berylvane/core/lanes.h"
#include "berylvane/core/limiter.h"
#include "berylvane/core/threshold.h"

#define LATENCY_WEIGHT 8
#define CRITICAL_PRIORITY (BV_CLASS_CRITICAL * BV_PRIORITY_LEVELS)
/* Nothing less important is admitted for this long before critical work is
 * refused, and for this long after. */
#define CRITICAL_ALONE_US 1000000
#define CRITICAL_HOLD_US 100000
#define TARGET_TURNS 2
#define TARGET_MOST_FACTOR 4
#define NEVER_US (INT64_MIN / 2)

typedef struct {
    bv_queue_t *queue;
    bv_threshold_t threshold;
    int64_t latency_us;
} lane_t;

typedef struct {
    uint64_t id;
    uint32_t kind;
    bv_lane_t lane;
    int64_t started_us;
} running_t;

struct bv_admission {
    bv_admission_options_t options;
    bv_limiter_t *limiter;
    bv_lanes_t *lanes;
    lane_t lane[BV_LANE_END];
    GHashTable *running;
    int64_t critical_refused_us;
    int64_t lesser_admitted_us;
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
    admission->critical_refused_us = NEVER_US;
    admission->lesser_admitted_us = NEVER_US;
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
lesser_held(const bv_admission_t *admission, int64_t now_us)
{
    return now_us - admission->critical_refused_us < CRITICAL_HOLD_US;
}

/* Whether nothing but critical work was admitted lately or waits. */
static bool
only_critical(const bv_admission_t *admission, int64_t now_us)
{
    if (now_us - admission->lesser_admitted_us < CRITICAL_ALONE_US) {
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
    bv_invariant(only_critical(admission, now_us), "critical_shed_last",
                 "refused");
    admission->critical_refused_us = now_us;
}

static void
note_admitted(bv_admission_t *admission, int64_t now_us, const bv_work_t *work)
{
    if (is_critical(work)) {
        return;
    }
    bv_invariant(!lesser_held(admission, now_us), "critical_shed_last",
                 "admitted");
    admission->lesser_admitted_us = now_us;
}

static int64_t
lane_wait_us(const bv_admission_t *admission, const lane_t *lane)
{
    uint32_t limit = bv_admission_limit(admission);
    uint32_t length = bv_queue_length(lane->queue);
    return limit > 0 ? lane->latency_us * length / limit : 0;
}

/* A delay shorter than it takes slots to come free is no overload. */
static int64_t
target_us(const bv_admission_t *admission, const lane_t *lane)
{
    uint32_t limit = bv_admission_limit(admission);
    int64_t turn_us = limit > 0 ? lane->latency_us / limit : 0;
    int64_t least_us = admission->options.queue_target_us;
    return CLAMP(TARGET_TURNS * turn_us, least_us,
                 TARGET_MOST_FACTOR * least_us);
}

static void
move_threshold(bv_admission_t *admission, int64_t now_us, lane_t *lane)
{
    bv_threshold_input_t input = {
        .target_wait_us = target_us(admission, lane),
        .expected_wait_us = lane_wait_us(admission, lane),
        .has_free_slot =
            bv_admission_running(admission) < bv_admission_limit(admission),
        .may_refuse_critical = only_critical(admission, now_us),
    };
    bv_threshold_update(&lane->threshold, now_us, &input);
}

static void
move_thresholds(bv_admission_t *admission, int64_t now_us)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        move_threshold(admission, now_us, &admission->lane[i]);
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
finds_slot(const bv_admission_t *admission, int64_t now_us, const lane_t *lane)
{
    return bv_queue_length(lane->queue) == 0 &&
           may_start(admission, now_us, (bv_lane_t)(lane - admission->lane));
}

/*
 * Whether work is below its lane's threshold. Critical work is so only once
 * nothing else is admitted; work that finds a slot free never is.
 */
static bool
is_below(const bv_admission_t *admission, int64_t now_us, const lane_t *lane,
         const bv_work_t *work)
{
    bool below = work->priority < bv_threshold_level(&lane->threshold);
    if (is_critical(work)) {
        return below && only_critical(admission, now_us);
    }
    if (lesser_held(admission, now_us)) {
        return true;
    }
    return below && !finds_slot(admission, now_us, lane);
}

static void
start(bv_admission_t *admission, int64_t now_us, const bv_work_t *work,
      bv_lane_t lane, int64_t waited_us)
{
    running_t *running = g_new0(running_t, 1);
    running->id = work->id;
    running->kind = work->route_hash;
    running->lane = lane;
    running->started_us = now_us;
    g_hash_table_insert(admission->running, &running->id, running);
    bv_lanes_record_start(admission->lanes, now_us, lane);
    bv_threshold_record_wait(&admission->lane[lane].threshold, waited_us);
    bv_invariant(bv_admission_running(admission) <= admission->options.slots,
                 "limit_within_slots", "start");
}

/* The least important queued work of both lanes, and its lane. */
static const bv_queued_work_t *
least_queued(const bv_admission_t *admission, lane_t **lane)
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

/*
 * Critical work may exceed the queue's limit until nothing less important was
 * admitted for a while.
 */
static bool
finds_room(const bv_admission_t *admission, int64_t now_us,
           const bv_work_t *work)
{
    lane_t *lane;
    if (bv_admission_queued(admission) < admission->options.queue_limit ||
        (is_critical(work) && !only_critical(admission, now_us))) {
        return true;
    }
    const bv_queued_work_t *least = least_queued(admission, &lane);
    return least != NULL && least->work.priority < work->priority;
}

static bv_reason_t
refusal_of(bv_admission_t *admission, int64_t now_us, const lane_t *lane,
           const bv_queued_work_t *queued)
{
    if (queued->latest_start_us <= now_us) {
        return BV_REASON_EXPIRED;
    }
    if (is_below(admission, now_us, lane, &queued->work)) {
        return BV_REASON_THRESHOLD;
    }
    if (!finds_room(admission, now_us, &queued->work)) {
        return BV_REASON_QUEUE_FULL;
    }
    return BV_REASON_NONE;
}

bv_work_verdict_t
bv_admission_offer(bv_admission_t *admission, int64_t now_us,
                   const bv_work_t *work, bv_reason_t *reason)
{
    bv_lane_t number = bv_lanes_classify(admission->lanes, work->route_hash,
                                         work->is_long_running);
    lane_t *lane = &admission->lane[number];
    int64_t typical_us = bv_lanes_typical_latency_us(admission->lanes, now_us,
                                                     work->route_hash);
    bv_queued_work_t queued = {*work, now_us, work->deadline_us - typical_us};
    move_thresholds(admission, now_us);
    bv_threshold_record_offer(&lane->threshold, now_us, work->priority);
    *reason = refusal_of(admission, now_us, lane, &queued);
    if (*reason != BV_REASON_NONE) {
        if (*reason != BV_REASON_EXPIRED) {
            note_refused(admission, now_us, work);
        }
        return BV_WORK_REFUSED;
    }
    note_admitted(admission, now_us, work);
    if (finds_slot(admission, now_us, lane)) {
        start(admission, now_us, work, number, 0);
        return BV_WORK_RUN;
    }
    bv_queue_add(lane->queue, &queued);
    return BV_WORK_QUEUED;
}

void
bv_admission_finish(bv_admission_t *admission, int64_t now_us, uint64_t id,
                    const bv_work_result_t *end)
{
    running_t *running = g_hash_table_lookup(admission->running, &id);
    if (running == NULL) {
        bv_invariant(false, "finished_work_is_running", "admission");
        return;
    }
    uint32_t count = bv_admission_running(admission);
    lane_t *lane = &admission->lane[running->lane];
    bv_lanes_record_end(admission->lanes, running->lane);
    if (end->completed) {
        int64_t own_us = MAX(0, end->latency_us - end->downstream_us);
        bv_lanes_record_cost(admission->lanes, now_us, running->kind,
                             end->latency_us, own_us);
        bv_limiter_record_latency(admission->limiter, now_us,
                                  running->started_us, running->kind, own_us,
                                  count);
        lane->latency_us +=
            (end->latency_us - lane->latency_us) / LATENCY_WEIGHT;
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
drop(lane_t *lane, int64_t now_us, uint64_t id)
{
    bv_queued_work_t dropped;
    bv_queue_remove(lane->queue, id, &dropped);
    bv_threshold_record_wait(&lane->threshold, now_us - dropped.queued_us);
    return BV_WORK_REFUSED;
}

static bool
find_late(bv_admission_t *admission, int64_t now_us, lane_t **lane,
          uint64_t *id)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        *lane = &admission->lane[i];
        const bv_queued_work_t *soonest =
            bv_queue_first_to_expire((*lane)->queue);
        if (soonest != NULL && soonest->latest_start_us <= now_us) {
            *id = soonest->work.id;
            return true;
        }
    }
    return false;
}

static bool
find_below(bv_admission_t *admission, int64_t now_us, lane_t **lane,
           uint64_t *id)
{
    for (int i = 0; i < BV_LANE_END; i++) {
        *lane = &admission->lane[i];
        const bv_queued_work_t *least = bv_queue_first_to_shed((*lane)->queue);
        if (least != NULL &&
            is_below(admission, now_us, *lane, &least->work)) {
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
    const bv_queued_work_t *least = least_queued(admission, lane);
    if (is_critical(&least->work) && !only_critical(admission, now_us)) {
        return false;
    }
    note_refused(admission, now_us, &least->work);
    *id = least->work.id;
    return true;
}

/* Short work goes first unless long work is of a higher class. */
static bool
find_next(const bv_admission_t *admission, int64_t now_us, bv_lane_t *lane)
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
    bv_lane_t number;
    bv_queued_work_t next;
    if (!find_next(admission, now_us, &number)) {
        return BV_WORK_QUEUED;
    }
    bv_queue_t *queue = admission->lane[number].queue;
    *id = bv_queue_first_to_run(queue)->work.id;
    bv_queue_remove(queue, *id, &next);
    start(admission, now_us, &next.work, number, now_us - next.queued_us);
    return BV_WORK_RUN;
}

bv_work_verdict_t
bv_admission_next(bv_admission_t *admission, int64_t now_us, uint64_t *id,
                  bv_reason_t *reason)
{
    lane_t *lane;
    move_thresholds(admission, now_us);
    if (find_late(admission, now_us, &lane, id)) {
        *reason = BV_REASON_EXPIRED;
        return drop(lane, now_us, *id);
    }
    if (find_below(admission, now_us, &lane, id)) {
        *reason = BV_REASON_THRESHOLD;
        return drop(lane, now_us, *id);
    }
    if (find_excess(admission, now_us, &lane, id)) {
        *reason = BV_REASON_QUEUE_FULL;
        return drop(lane, now_us, *id);
    }
    return start_next(admission, now_us, id);
}

static const lane_t *
lane_of(const bv_admission_t *admission, uint32_t kind, bool long_work)
{
    return &admission
                ->lane[bv_lanes_classify(admission->lanes, kind, long_work)];
}

uint16_t
bv_admission_route_threshold(const bv_admission_t *admission, uint32_t kind,
                             bool long_work)
{
    return bv_threshold_level(&lane_of(admission, kind, long_work)->threshold);
}

uint16_t
bv_admission_threshold(const bv_admission_t *admission)
{
    return bv_threshold_level(&admission->lane[BV_LANE_SHORT].threshold);
}

int64_t
bv_admission_route_wait_us(const bv_admission_t *admission, uint32_t kind,
                           bool long_work)
{
    return lane_wait_us(admission, lane_of(admission, kind, long_work));
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
