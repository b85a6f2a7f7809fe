#ifndef TESTS_PLACEMENT_MODEL_H
#define TESTS_PLACEMENT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * placement_model - queueing model of the targets of one service and of the
 * nodes that call them, in simulated time
 *
 * Each target is the project's admission with a fixed limit and a service time
 * of its own; each caller sees only the answers to its own calls. Calls arrive
 * at random. A refused call is not retried, so it shows in the goodput.
 */
typedef enum {
    /* core/router with placement off. */
    MODEL_TODAY,
    /* Random choice by the targets' nominal throughput, which never changes.
     */
    MODEL_WEIGHTS,
    /* The target with the fewest calls of the same caller. */
    MODEL_LEAST,
    /* Least completion time by the present state of all targets. */
    MODEL_ORACLE,
    /* core/router with placement on. */
    MODEL_PLACEMENT,
    MODEL_POLICY_END,
} model_policy_t;

typedef struct {
    const char *name;
    uint32_t targets;
    uint32_t callers;
    /* Data centres that targets and callers are spread over in turn; at most
     * 3. */
    uint32_t centres;
    /* Each data centre is a region of its own. */
    bool has_regions;
    /* One way between data centres. */
    int64_t link_us;
    int64_t service_us;
    uint32_t slots;
    /* Service time by target number modulo 3, as a multiple; 0 means 1. */
    double slowness[3];
    /* Calls as a share of what all slots can run. */
    double load;
    /* Share of its slots from which a target slows, and its factor then; a
     * factor of 0: in proportion to the calls above that share. */
    double knee_share;
    double knee_factor;
    /* From when to when target 0 takes 5 times as long; 0: never. */
    int64_t slow_from_us;
    int64_t slow_until_us;
    /* Target 0 fails at once in this time instead. */
    bool is_failing;
    /* Each target is slowed 2.5 times by neighbours, 15 % of the time. */
    bool has_neighbours;
    /* Time in which all targets take twice as long after the start. */
    int64_t cold_us;
    /* Part by which a data centre's calls rise and fall in 15 s. */
    double wave;
    int64_t duration_us;
    /* Least goodput of placement, where today's code has clearly less. */
    double least_goodput;
    /* Limit of its 99th percentile as a multiple of today's; 0: no worse. */
    double p99_limit;
} model_pattern_t;

typedef struct {
    double p50_ms;
    double p99_ms;
    /* Share of the calls that ran within 25 mean service times. */
    double goodput;
    /* Mean variance, over the targets, of calls at the target by slots. */
    double imbalance;
    /* Share of the calls that left their data centre. */
    double spilled;
    uint32_t calls;
} model_result_t;

model_result_t model_run(const model_pattern_t *pattern, model_policy_t policy,
                         uint32_t seed);

const char *model_policy_name(model_policy_t policy);

#endif
