#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/node/call.h"

#include <string.h>

#define LOG_PERIOD_US (5 * BV_US_PER_S)

static const char *const mode_names[] = {"off", "observe", "on"};

static bool
is_off(const bv_node_t *node)
{
    return node->placement.capacity == NULL;
}

void
bv_node_placement_create(bv_node_t *node)
{
    if (node->settings->placement != BV_PLACEMENT_OFF) {
        node->placement.capacity = bv_capacity_create();
    }
}

void
bv_node_placement_destroy(bv_node_t *node)
{
    bv_capacity_destroy(node->placement.capacity);
}

void
bv_node_placement_count(bv_node_t *node, const bv_picked_t *picked)
{
    bv_node_placement_t *placement = &node->placement;
    if (is_off(node)) {
        return;
    }
    placement->calls++;
    placement->spilled += picked->is_spilled;
    placement->differed += picked->differs;
    bv_counter_add(BV_COUNT_PLACEMENT_SPILLED, picked->is_spilled);
    bv_counter_add(BV_COUNT_PLACEMENT_DIFFERED, picked->differs);
}

void
bv_node_placement_request_report(const bv_node_t *node,
                                 bv_peer_message_t *dispatch)
{
    if (!is_off(node)) {
        dispatch->generation = BV_PEER_WANTS_CAPACITY;
    }
}

/* Forgets the measurements of an earlier incarnation of the target. */
static void
check_instance(bv_node_t *node)
{
    bv_node_placement_t *placement = &node->placement;
    const char *instance = node->target.last_announcement.instance;
    if (strcmp(placement->instance, instance) != 0) {
        g_strlcpy(placement->instance, instance, BV_INSTANCE_BYTES);
        bv_capacity_reset(placement->capacity);
    }
}

/* Work at the target and in the queue, apart from the work being answered. */
static uint32_t
other_load(const bv_node_t *node)
{
    uint32_t served = bv_serve_count(node);
    return served > 0 ? served - 1 : 0;
}

void
bv_node_placement_record(bv_node_t *node, const bv_served_t *served,
                         const bv_target_result_t *result)
{
    if (is_off(node) || !served->started ||
        result->outcome != BV_OUTCOME_RAN) {
        return;
    }
    check_instance(node);
    uint32_t running_at_end = bv_admission_running(node->admission);
    bv_capacity_sample_t sample = {
        .route_hash = served->route_hash,
        .latency_us = node->now_us - served->started_us,
        .downstream_us = served->children_total_us,
        .running = (served->running_at_start + running_at_end + 1) / 2,
        .slots = node->target.last_announcement.slots,
    };
    bv_capacity_record(node->placement.capacity, &sample);
}

void
bv_node_placement_add_report(const bv_node_t *node,
                             const bv_peer_message_t *dispatch,
                             uint32_t route_hash, int64_t served_us,
                             bv_peer_message_t *answer)
{
    const bv_capacity_t *capacity = node->placement.capacity;
    if (is_off(node) || dispatch->generation != BV_PEER_WANTS_CAPACITY) {
        return;
    }
    uint32_t usable =
        bv_capacity_usable(capacity, node->target.last_announcement.slots);
    answer->has_capacity = true;
    answer->served_us = served_us;
    answer->capacity = (bv_capacity_report_t){
        .load = other_load(node),
        .usable = MIN(usable, bv_admission_limit(node->admission)),
        .service_us = bv_capacity_service_us(capacity, route_hash),
    };
}

void
bv_node_placement_read_report(const bv_node_t *node,
                              const bv_peer_message_t *answer,
                              bv_feedback_t *feedback)
{
    if (is_off(node) || !answer->has_capacity) {
        return;
    }
    bv_counter_add(BV_COUNT_PLACEMENT_REPORTS, 1);
    feedback->report = answer->capacity;
    feedback->served_us = answer->served_us;
}

/* The target that gets the smallest share, and the number of targets. */
typedef struct {
    bv_router_view_t least;
    uint32_t targets;
} summary_t;

static void
summarize(void *context, const bv_router_view_t *view)
{
    summary_t *summary = context;
    if (summary->targets == 0 || view->weight < summary->least.weight) {
        summary->least = *view;
    }
    summary->targets++;
}

void
bv_node_placement_tick(bv_node_t *node)
{
    bv_node_placement_t *placement = &node->placement;
    summary_t summary = {0};
    if (is_off(node) || node->now_us < placement->log_due_us) {
        return;
    }
    placement->log_due_us = node->now_us + LOG_PERIOD_US;
    if (placement->calls == 0) {
        return;
    }
    bv_router_foreach(node->router, node->now_us, summarize, &summary);
    if (summary.targets > 0) {
        bv_log(BV_LOG_INFO, "placement", "mode",
               mode_names[node->settings->placement], "calls",
               BV_NUM(placement->calls), "spilled", BV_NUM(placement->spilled),
               "differed", BV_NUM(placement->differed), "targets",
               BV_NUM(summary.targets), "least", summary.least.name, "state",
               bv_placement_state_name(summary.least.state), "weight_percent",
               BV_NUM((gint64)(summary.least.weight * 100)), "delay_us",
               BV_NUM((gint64)summary.least.expected_us), NULL);
    }
    placement->calls = 0;
    placement->spilled = 0;
    placement->differed = 0;
}

typedef struct {
    const bv_node_t *node;
    json_t *targets;
} rendering_t;

static json_int_t
age_ms(const bv_node_t *node, int64_t at_us)
{
    return at_us > 0 ? (node->now_us - at_us) / BV_US_PER_MS : 0;
}

static void
render_target(void *context, const bv_router_view_t *view)
{
    rendering_t *rendering = context;
    const bv_node_t *node = rendering->node;
    json_t *row = json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f}",
        "name", view->name, "service", view->service, "reason",
        bv_placement_state_name(view->state), "reason_age_ms",
        age_ms(node, view->state_changed_us), "slots", (json_int_t)view->slots,
        "limit", (json_int_t)view->report.usable, "load",
        (json_int_t)view->report.load, "report_age_ms",
        age_ms(node, view->reported_us), "in_flight",
        (json_int_t)view->in_flight, "calls", (json_int_t)view->calls,
        "observed_calls", (json_int_t)view->observed_calls, "delay_us",
        (json_int_t)view->expected_us, "weight", view->weight);
    json_array_append_new(rendering->targets, row);
}

void
bv_node_placement_render(const bv_node_t *node, json_t *status)
{
    rendering_t rendering = {.node = node};
    if (is_off(node)) {
        return;
    }
    rendering.targets = json_array();
    bv_router_foreach(node->router, node->now_us, render_target, &rendering);
    json_t *placement = json_pack(
        "{s:s, s:I, s:f, s:o}", "mode", mode_names[node->settings->placement],
        "limit",
        (json_int_t)bv_capacity_usable(node->placement.capacity,
                                       node->target.last_announcement.slots),
        "slowness", bv_capacity_slowness(node->placement.capacity), "targets",
        rendering.targets);
    json_object_set_new(status, "placement", placement);
}
