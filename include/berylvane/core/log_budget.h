#ifndef BERYLVANE_CORE_LOG_BUDGET_H
#define BERYLVANE_CORE_LOG_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * log_budget - how many lines about requests are logged
 *
 * A token bucket for each class, so that a flood of successes does not hide
 * failures. What is left out is counted.
 */
typedef enum {
    /* A request went as it should. */
    BV_LOG_CLASS_SUCCESS,
    /* It was turned away, moved or tried again. */
    BV_LOG_CLASS_REFUSAL,
    /* It failed, or its fate is not known. */
    BV_LOG_CLASS_FAILURE,
    BV_LOG_CLASS_END,
} bv_log_class_t;

typedef struct {
    double tokens[BV_LOG_CLASS_END];
    uint64_t suppressed[BV_LOG_CLASS_END];
    int64_t refilled_us;
} bv_log_budget_t;

/* Whether a line of the class may be logged now. */
bool bv_log_budget_try_consume(bv_log_budget_t *budget, int64_t now_us,
                               bv_log_class_t kind);

const char *bv_log_class_name(bv_log_class_t kind);

#endif
