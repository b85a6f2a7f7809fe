#include "placement_model_internal.h"

#include <math.h>

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
    call_t *call = model_find_call(model, id);
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
    model_schedule_call(
        model, (double)model_link_us(model, call->caller, call->target),
        model_on_answer, id);
}

static void on_done(void *context, void *data);

static void
start(model_t *model, uint64_t id)
{
    call_t *call = model_find_call(model, id);
    uint32_t running =
        bv_admission_running(model->targets[call->target].admission);
    call->started_us = sim_now_us(model->sim);
    call->running_at_start = running;
    /* Half of the time is the same for all calls, half is exponential. */
    double share = g_rand_double_range(sim_random(model->sim), 1e-9, 1);
    model_schedule_call(model,
                        model_service_us_at(model, call->target, running) *
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
    call_t *call = model_find_call(model, id);
    const target_t *target = &model->targets[call->target];
    int64_t now_us = sim_now_us(model->sim);
    bool has_failed = model_is_failing(model, call->target);
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

void
model_on_reach(void *context, void *data)
{
    model_t *model = context;
    uint64_t id = *(uint64_t *)data;
    call_t *call = model_find_call(model, id);
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
