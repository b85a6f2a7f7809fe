#include "placement_model_internal.h"

#include <math.h>
#include <stdlib.h>

#define WAVE_US (15.0 * US_PER_S)
#define SAMPLE_US 50000
#define QUEUE_TARGET_US 10000

void
model_schedule_call(model_t *model, double delay_us, sim_callback_t callback,
                    uint64_t id)
{
    sim_schedule(model->sim, (int64_t)delay_us, callback,
                 g_memdup2(&id, sizeof(id)));
}

call_t *
model_find_call(const model_t *model, uint64_t id)
{
    return model->calls->pdata[id - 1];
}

void
model_on_answer(void *context, void *data)
{
    model_t *model = context;
    call_t *call = model_find_call(model, *(uint64_t *)data);
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
    call->target = model_pick(model, caller);
    call->sent_us = sim_now_us(model->sim);
    model->callers[caller].in_flight[call->target]++;
    model->targets[call->target].load++;
    model->spilled += caller % model->pattern->centres !=
                      call->target % model->pattern->centres;
    g_ptr_array_add(model->calls, call);
    model_schedule_call(model,
                        (double)model_link_us(model, caller, call->target),
                        model_on_reach, model->calls->len);
}

static void
on_arrival(void *context, void *data)
{
    model_t *model = context;
    const model_pattern_t *pattern = model->pattern;
    GRand *random = sim_random(model->sim);
    double rate_per_s =
        model_sum_rates_per_s(pattern) * pattern->load * (1 + pattern->wave);
    uint32_t caller =
        (uint32_t)sim_random_between(model->sim, 0, (int)pattern->callers);
    (void)data;
    if (g_rand_double(random) < wave_share(model, caller)) {
        send_call(model, caller);
    }
    if (sim_now_us(model->sim) < pattern->duration_us) {
        double share = g_rand_double_range(random, 1e-9, 1);
        model_schedule_call(model, -log(share) / rate_per_s * US_PER_S,
                            on_arrival, 0);
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
        model_schedule_call(model, SAMPLE_US, on_sample, 0);
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
    model_schedule_call(model, 0, on_arrival, 0);
    model_schedule_call(model, SAMPLE_US, on_sample, 0);
    /* After the last call, open calls have the length of a deadline. */
    model_schedule_call(model,
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
