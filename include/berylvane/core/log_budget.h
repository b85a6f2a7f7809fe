#ifndef BERYLVANE_CORE_LOG_BUDGET_H
#define BERYLVANE_CORE_LOG_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * log_budget - rate limit of the log lines about requests
 *
 * Each class of lines has its own token bucket, so that a flood of successes
 * does not hide failures. Suppressed lines are counted. A zeroed structure is
 * a valid initial state.
 */
typedef enum {
    /* The request succeeded. */
    BV_LOG_CLASS_SUCCESS,
    /* The request was refused, rerouted or retried. */
    BV_LOG_CLASS_REFUSAL,
    /* The request failed, or its outcome is unknown. */
    BV_LOG_CLASS_FAILURE,
    /* A heartbeat or a row of the members table was not valid. */
    BV_LOG_CLASS_INVALID_INPUT,
    BV_LOG_CLASS_END,
} bv_log_class_t;

typedef struct {
    double tokens[BV_LOG_CLASS_END];
    uint64_t suppressed[BV_LOG_CLASS_END];
    int64_t refilled_us;
} bv_log_budget_t;

/*
 * Takes a token for one line of the class. Returns false, and counts the line
 * as suppressed, if there is none.
 */
bool bv_log_budget_try_consume(bv_log_budget_t *budget, int64_t now_us,
                               bv_log_class_t log_class);

const char *bv_log_class_name(bv_log_class_t log_class);

#endif
