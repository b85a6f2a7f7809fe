#include "berylvane/core/log_budget.h"

#include <glib.h>

#define US_PER_S 1e6
/* A full bucket allows a burst of as many lines as this time refills. */
#define BURST_S 2.0

static const double lines_per_s[BV_LOG_CLASS_END] = {
    [BV_LOG_CLASS_SUCCESS] = 20,
    [BV_LOG_CLASS_REFUSAL] = 100,
    [BV_LOG_CLASS_FAILURE] = 200,
    [BV_LOG_CLASS_INVALID_INPUT] = 5,
};

static void
refill(bv_log_budget_t *budget, int64_t now_us)
{
    double elapsed_s = (double)(now_us - budget->refilled_us) / US_PER_S;
    for (int i = 0; i < BV_LOG_CLASS_END; i++) {
        budget->tokens[i] = MIN(budget->tokens[i] + elapsed_s * lines_per_s[i],
                                lines_per_s[i] * BURST_S);
    }
    budget->refilled_us = now_us;
}

bool
bv_log_budget_try_consume(bv_log_budget_t *budget, int64_t now_us,
                          bv_log_class_t log_class)
{
    refill(budget, now_us);
    if (budget->tokens[log_class] < 1) {
        budget->suppressed[log_class]++;
        return false;
    }
    budget->tokens[log_class]--;
    return true;
}

const char *
bv_log_class_name(bv_log_class_t log_class)
{
    static const char *const names[] = {"success", "refusal", "failure",
                                        "invalid_input"};
    return names[log_class];
}
