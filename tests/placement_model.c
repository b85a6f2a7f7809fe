#include "placement_model.h"

#include "berylvane/core/admission.h"
#include "berylvane/core/router.h"
#include "sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000
#define TARGETS_LIMIT 512
#define CALLERS_LIMIT 128
#define WAVE_US (15.0 * US_PER_S)
#define DEADLINE_SERVICES 25
#define SAMPLE_US 50000
#define QUEUE_TARGET_US 10000
#define ROUTE_HASH 1
/* Neighbours slow a target for NEIGHBOUR_BUSY_US in each NEIGHBOUR_US. */
#define NEIGHBOUR_US 600000
#define NEIGHBOUR_BUSY_US 90000
#define PRIORITY 150
#define NO_SLOT_US 1e9
/* One way within a data centre. */
#define NEAR_US 200

typedef struct {
    bv_admission_t *admission;
    bv_capacity_t *capacity;
    /* Calls on their way to the target, waiting and running. */
    uint32_t load;
} target_t;

typedef struct {
    bv_router_t *router;
    uint32_t in_flight[TARGETS_LIMIT];
} caller_t;

typedef struct {
    uint32_t caller;
    uint32_t target;
    int64_t sent_us;
    int64_t reached_us;
    int64_t started_us;
    uint32_t running_at_start;
    bv_feedback_t feedback;
} call_t;

typedef struct {
    const model_pattern_t *pattern;
    model_policy_t policy;
    sim_t *sim;
    target_t targets[TARGETS_LIMIT];
    caller_t callers[CALLERS_LIMIT];
    /* call_t; the number of a call is its index plus 1. */
    GPtrArray *calls;
    GArray *latencies_us;
    uint32_t good;
    uint32_t spilled;
    double variance_sum;
    uint32_t variance_count;
    bool is_over;
} model_t;

static const char *const policy_names[MODEL_POLICY_END] = {
    "today", "weights", "least", "oracle", "placement"};

const char *
model_policy_name(model_policy_t policy)
{
    return policy_names[policy];
}

static int64_t
link_us(const model_t *model, uint32_t caller, uint32_t target)
{
    uint32_t centres = model->pattern->centres;
    return caller % centres == target % centres ? NEAR_US
                                                : model->pattern->link_us;
}

static bool
is_disturbed(const model_t *model, uint32_t target)
{
    int64_t now_us = sim_now_us(model->sim);
    return target == 0 && now_us >= model->pattern->slow_from_us &&
           now_us < model->pattern->slow_until_us;
}

static bool
is_failing(const model_t *model, uint32_t target)
{
    return model->pattern->is_failing && is_disturbed(model, target);
}

/* Factor on the service time of a target that never changes. */
static double
nominal_slowness(const model_pattern_t *pattern, uint32_t target)
{
    double slowness = pattern->slowness[target % 3];
    return slowness > 0 ? slowness : 1;
}

/* Service time of a target without the effects of its load. */
static double
idle_service_us(const model_t *model, uint32_t target)
{
    const model_pattern_t *pattern = model->pattern;
    int64_t now_us = sim_now_us(model->sim);
    double service_us =
        (double)pattern->service_us * nominal_slowness(pattern, target);
    if (is_disturbed(model, target)) {
        service_us *= pattern->is_failing ? 0.1 : 5;
    }
    /* Neighbours of a target are busy at another time for each target. */
    int64_t phase_us = (now_us + target * INT64_C(170000)) % NEIGHBOUR_US;
    if (pattern->has_neighbours && phase_us < NEIGHBOUR_BUSY_US) {
        service_us *= 2.5;
    }
    return now_us < pattern->cold_us ? service_us * 2 : service_us;
}

static double
service_us_at(const model_t *model, uint32_t target, uint32_t running)
{
    const model_pattern_t *pattern = model->pattern;
    double service_us = idle_service_us(model, target);
    double knee = pattern->knee_share * pattern->slots;
    if (pattern->knee_share <= 0 || running <= knee) {
        return service_us;
    }
    return service_us *
           (pattern->knee_factor > 0 ? pattern->knee_factor : running / knee);
}

/*
 * Completion time of one more call. A target without a free slot, or one that
 * fails, comes after all others: admission refuses work that it expects to
 * wait, so a short wait at a fast target is worse than a slow free target.
 */
static double
completion_us(const model_t *model, uint32_t caller, uint32_t target)
{
    uint32_t load = model->targets[target].load + 1;
    uint32_t slots = model->pattern->slots;
    double service_us = service_us_at(model, target, MIN(load, slots));
    double cost_us = 2.0 * (double)link_us(model, caller, target) + service_us;
    if (load > slots) {
        cost_us += NO_SLOT_US + service_us * (load - slots) / slots;
    }
    return is_failing(model, target) ? cost_us + 2 * NO_SLOT_US : cost_us;
}

static uint32_t
pick_least(const model_t *model, uint32_t caller)
{
    double least = INFINITY;
    uint32_t found = 0;
    uint32_t count = model->pattern->targets;
    uint32_t first = (uint32_t)sim_random_between(model->sim, 0, (int)count);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t target = (first + i) % count;
        double cost = model->policy == MODEL_ORACLE
                          ? completion_us(model, caller, target)
                          : model->callers[caller].in_flight[target];
        if (cost < least) {
            least = cost;
            found = target;
        }
    }
    return found;
}

/* Calls a second that a target can run. */
static double
nominal_rate_per_s(const model_pattern_t *pattern, uint32_t target)
{
    return pattern->slots * (double)US_PER_S /
           ((double)pattern->service_us * nominal_slowness(pattern, target));
}

static double
sum_rates_per_s(const model_pattern_t *pattern)
{
    double sum = 0;
    for (uint32_t i = 0; i < pattern->targets; i++) {
        sum += nominal_rate_per_s(pattern, i);
    }
    return sum;
}

static uint32_t
pick_by_weight(const model_t *model)
{
    const model_pattern_t *pattern = model->pattern;
    double left = g_rand_double_range(sim_random(model->sim), 0,
                                      sum_rates_per_s(pattern));
    uint32_t target = 0;
    while (target + 1 < pattern->targets &&
           (left -= nominal_rate_per_s(pattern, target)) >= 0) {
        target++;
    }
    return target;
}

static uint32_t
pick_by_router(const model_t *model, uint32_t caller)
{
    bv_picked_t picked;
    bv_reason_t reason;
    bv_pick_request_t request = {
        .service = "service", .route_hash = ROUTE_HASH, .priority = PRIORITY};
    bv_router_pick(model->callers[caller].router, sim_now_us(model->sim),
                   &request, &picked, &reason);
    return (uint32_t)strtoul(picked.name + strlen("member-"), NULL, 10);
}

static uint32_t
pick(const model_t *model, uint32_t caller)
{
    switch (model->policy) {
    case MODEL_WEIGHTS:
        return pick_by_weight(model);
    case MODEL_LEAST:
    case MODEL_ORACLE:
        return pick_least(model, caller);
    default:
        return pick_by_router(model, caller);
    }
}

static void
schedule_call(model_t *model, double delay_us, sim_callback_t callback,
              uint64_t id)
{
    sim_schedule(model->sim, (int64_t)delay_us, callback,
                 g_memdup2(&id, sizeof(id)));
}

static call_t *
find_call(const model_t *model, uint64_t id)
{
    return model->calls->pdata[id - 1];
}

static void
on_answer(void *context, void *data)
{
    model_t *model = context;
    call_t *call = find_call(model, *(uint64_t *)data);
    caller_t *caller = &model->callers[call->caller];
    int64_t now_us = sim_now_us(model->sim);
    char name[BV_NAME_BYTES];
    g_snprintf(name, sizeof(name), "member-%u", call->target);
    call->feedback.latency_us = now_us - call->sent_us;
    caller->in_flight[call->target]--;
    bv_router_settle(caller->router, now_us, name, &call->feedback);
    if (call->feedback.outcome != BV_OUTCOME_RAN) {
        return;
    }
    g_array_append_val(model->latencies_us, call->feedback.latency_us);
    model->good += call->feedback.latency_us <=
                   DEADLINE_SERVICES * model->pattern->service_us;
}

static bv_capacity_report_t
report_of(const model_t *model, const target_t *target)
{
    const bv_admission_t *admission = target->admission;
    return (bv_capacity_report_t){
        .load =
            bv_admission_running(admission) + bv_admission_queued(admission),
        .usable = bv_capacity_usable(target->capacity, model->pattern->slots),
        .service_us = bv_capacity_service_us(target->capacity, ROUTE_HASH),
    };
}

static void
answer(model_t *model, uint64_t id, bv_outcome_t outcome, bv_reason_t reason)
{
    call_t *call = find_call(model, id);
    target_t *target = &model->targets[call->target];
    const bv_admission_t *admission = target->admission;
    target->load--;
    call->feedback = (bv_feedback_t){
        .answered = true,
        .route_hash = ROUTE_HASH,
        .outcome = outcome,
        .reason = reason,
        .threshold =
            bv_admission_route_threshold(admission, ROUTE_HASH, false),
        .wait_us = bv_admission_route_wait_us(admission, ROUTE_HASH, false),
        .served_us = sim_now_us(model->sim) - call->reached_us,
        .report = report_of(model, target),
    };
    schedule_call(model, (double)link_us(model, call->caller, call->target),
                  on_answer, id);
}

static void on_done(void *context, void *data);

static void
start(model_t *model, uint64_t id)
{
    call_t *call = find_call(model, id);
    uint32_t running =
        bv_admission_running(model->targets[call->target].admission);
    call->started_us = sim_now_us(model->sim);
    call->running_at_start = running;
    /* Half of the time is the same for all calls, half is exponential. */
    double share = g_rand_double_range(sim_random(model->sim), 1e-9, 1);
    schedule_call(model,
                  service_us_at(model, call->target, running) *
                      (0.5 - 0.5 * log(share)),
                  on_done, id);
}

static void
start_queued(model_t *model, const target_t *target)
{
    uint64_t id;
    bv_reason_t reason;
    for (;;) {
        bv_work_verdict_t verdict = bv_admission_next(
            target->admission, sim_now_us(model->sim), &id, &reason);
        if (verdict == BV_WORK_QUEUED) {
            return;
        }
        if (verdict == BV_WORK_RUN) {
            start(model, id);
        }
        else {
            answer(model, id, BV_OUTCOME_NOT_RUN, reason);
        }
    }
}

static void
on_done(void *context, void *data)
{
    model_t *model = context;
    uint64_t id = *(uint64_t *)data;
    call_t *call = find_call(model, id);
    const target_t *target = &model->targets[call->target];
    int64_t now_us = sim_now_us(model->sim);
    bool has_failed = is_failing(model, call->target);
    bv_work_result_t result = {.latency_us = now_us - call->started_us,
                               .completed = !has_failed};
    bv_capacity_sample_t sample = {
        .route_hash = ROUTE_HASH,
        .latency_us = result.latency_us,
        .running = (bv_admission_running(target->admission) +
                    call->running_at_start + 1) /
                   2,
        .slots = model->pattern->slots,
    };
    if (!has_failed) {
        bv_capacity_record(target->capacity, &sample);
    }
    bv_admission_finish(target->admission, now_us, id, &result);
    answer(model, id, has_failed ? BV_OUTCOME_UNKNOWN : BV_OUTCOME_RAN,
           has_failed ? BV_REASON_BROKEN_ANSWER : BV_REASON_NONE);
    start_queued(model, target);
}

static void
on_reach(void *context, void *data)
{
    model_t *model = context;
    uint64_t id = *(uint64_t *)data;
    call_t *call = find_call(model, id);
    const target_t *target = &model->targets[call->target];
    bv_reason_t reason;
    bv_work_t work = {
        .id = id,
        .route_hash = ROUTE_HASH,
        .priority = PRIORITY,
        .deadline_us =
            call->sent_us + DEADLINE_SERVICES * model->pattern->service_us,
    };
    call->reached_us = sim_now_us(model->sim);
    switch (bv_admission_offer(target->admission, call->reached_us, &work,
                               &reason)) {
    case BV_WORK_RUN:
        start(model, id);
        return;
    case BV_WORK_REFUSED:
        answer(model, id, BV_OUTCOME_NOT_RUN, reason);
        return;
    case BV_WORK_QUEUED:
        start_queued(model, target);
        return;
    }
}

/* Share of a data centre's highest load that it has now. */
static double
wave_share(const model_t *model, uint32_t caller)
{
    const model_pattern_t *pattern = model->pattern;
    double phase = (double)sim_now_us(model->sim) / WAVE_US +
                   (double)(caller % pattern->centres) / pattern->centres;
    return (1 + pattern->wave * sin(2 * G_PI * phase)) / (1 + pattern->wave);
}

static void
send_call(model_t *model, uint32_t caller)
{
    call_t *call = g_new0(call_t, 1);
    call->caller = caller;
    call->target = pick(model, caller);
    call->sent_us = sim_now_us(model->sim);
    model->callers[caller].in_flight[call->target]++;
    model->targets[call->target].load++;
    model->spilled += caller % model->pattern->centres !=
                      call->target % model->pattern->centres;
    g_ptr_array_add(model->calls, call);
    schedule_call(model, (double)link_us(model, caller, call->target),
                  on_reach, model->calls->len);
}

static void
on_arrival(void *context, void *data)
{
    model_t *model = context;
    const model_pattern_t *pattern = model->pattern;
    GRand *random = sim_random(model->sim);
    double rate_per_s =
        sum_rates_per_s(pattern) * pattern->load * (1 + pattern->wave);
    uint32_t caller =
        (uint32_t)sim_random_between(model->sim, 0, (int)pattern->callers);
    (void)data;
    if (g_rand_double(random) < wave_share(model, caller)) {
        send_call(model, caller);
    }
    if (sim_now_us(model->sim) < pattern->duration_us) {
        double share = g_rand_double_range(random, 1e-9, 1);
        schedule_call(model, -log(share) / rate_per_s * US_PER_S, on_arrival,
                      0);
    }
}

static void
on_sample(void *context, void *data)
{
    model_t *model = context;
    uint32_t count = model->pattern->targets;
    double sum = 0;
    double square_sum = 0;
    (void)data;
    for (uint32_t i = 0; i < count; i++) {
        const bv_admission_t *admission = model->targets[i].admission;
        double load = (double)(bv_admission_running(admission) +
                               bv_admission_queued(admission)) /
                      model->pattern->slots;
        sum += load;
        square_sum += load * load;
    }
    model->variance_sum += square_sum / count - sum / count * sum / count;
    model->variance_count++;
    if (sim_now_us(model->sim) < model->pattern->duration_us) {
        schedule_call(model, SAMPLE_US, on_sample, 0);
    }
}

static void
on_end(void *context, void *data)
{
    model_t *model = context;
    (void)data;
    model->is_over = true;
}

static void
name_place(const model_pattern_t *pattern, uint32_t number,
           char centre[BV_NAME_BYTES], char region[BV_NAME_BYTES])
{
    uint32_t place = number % pattern->centres;
    g_snprintf(centre, BV_NAME_BYTES, "centre-%u", place);
    g_snprintf(region, BV_NAME_BYTES, "region-%u",
               pattern->has_regions ? place : 0);
}

static void
create_caller(model_t *model, uint32_t number)
{
    bv_router_options_t options = {
        .random = sim_random(model->sim),
        .placement = model->policy == MODEL_PLACEMENT ? BV_PLACEMENT_ON
                                                      : BV_PLACEMENT_OFF};
    g_snprintf(options.name, BV_NAME_BYTES, "caller-%u", number);
    name_place(model->pattern, number, options.data_centre, options.region);
    bv_router_t *router = bv_router_create(&options);
    model->callers[number].router = router;
    for (uint32_t i = 0; i < model->pattern->targets; i++) {
        bv_member_t member = {.incarnation = 1,
                              .slots = model->pattern->slots,
                              .service = "service"};
        g_snprintf(member.name, BV_NAME_BYTES, "member-%u", i);
        name_place(model->pattern, i, member.data_centre, member.region);
        bv_router_update(router, &member);
    }
}

static model_t *
create(const model_pattern_t *pattern, model_policy_t policy, uint32_t seed)
{
    model_t *model = g_new0(model_t, 1);
    model->pattern = pattern;
    model->policy = policy;
    model->sim = sim_create(seed, model);
    model->calls = g_ptr_array_new_with_free_func(g_free);
    model->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (uint32_t i = 0; i < pattern->targets; i++) {
        bv_admission_options_t options = {.slots = pattern->slots,
                                          .queue_limit = 1000,
                                          .queue_target_us = QUEUE_TARGET_US,
                                          .long_share_percent = 100,
                                          .has_fixed_limit = true};
        model->targets[i].admission = bv_admission_create(&options);
        model->targets[i].capacity = bv_capacity_create();
    }
    for (uint32_t i = 0; i < pattern->callers; i++) {
        create_caller(model, i);
    }
    return model;
}

static void
destroy(model_t *model)
{
    for (uint32_t i = 0; i < model->pattern->targets; i++) {
        bv_admission_destroy(model->targets[i].admission);
        bv_capacity_destroy(model->targets[i].capacity);
    }
    for (uint32_t i = 0; i < model->pattern->callers; i++) {
        bv_router_destroy(model->callers[i].router);
    }
    g_array_unref(model->latencies_us);
    g_ptr_array_unref(model->calls);
    sim_destroy(model->sim);
    g_free(model);
}

static int
compare_times(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return a < b ? -1 : a > b;
}

static double
percentile_ms(const GArray *sorted_us, double share)
{
    guint index = (guint)(share * (sorted_us->len - 1));
    return (double)g_array_index(sorted_us, int64_t, index) / 1000;
}

model_result_t
model_run(const model_pattern_t *pattern, model_policy_t policy, uint32_t seed)
{
    model_t *model = create(pattern, policy, seed);
    schedule_call(model, 0, on_arrival, 0);
    schedule_call(model, SAMPLE_US, on_sample, 0);
    /* After the last call, open calls have the length of a deadline. */
    schedule_call(model,
                  (double)(pattern->duration_us +
                           DEADLINE_SERVICES * pattern->service_us),
                  on_end, 0);
    while (!model->is_over) {
        sim_step(model->sim);
    }
    qsort(model->latencies_us->data, model->latencies_us->len, sizeof(int64_t),
          compare_times);
    model_result_t result = {
        .p50_ms = percentile_ms(model->latencies_us, 0.5),
        .p99_ms = percentile_ms(model->latencies_us, 0.99),
        .goodput = (double)model->good / model->calls->len,
        .imbalance = model->variance_sum / MAX(1, model->variance_count),
        .spilled = (double)model->spilled / model->calls->len,
        .calls = model->calls->len,
    };
    destroy(model);
    return result;
}
