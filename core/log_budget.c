#include "berylvane/core/log_budget.h"

#include <glib.h>

#define US_PER_S 1e6
/* Buckets hold this many seconds' worth of lines. */
#define BURST_S 2.0

/* Lines a second. */
static const double rates[BV_LOG_CLASS_END] = {
    [BV_LOG_CLASS_SUCCESS] = 20,
    [BV_LOG_CLASS_REFUSAL] = 100,
    [BV_LOG_CLASS_FAILURE] = 200,
};

static void
fill(bv_log_budget_t *budget, int64_t now_us)
{
    double passed_s = (double)(now_us - budget->refilled_us) / US_PER_S;
    for (int i = 0; i < BV_LOG_CLASS_END; i++) {
        budget->tokens[i] =
            MIN(budget->tokens[i] + passed_s * rates[i], rates[i] * BURST_S);
    }
    budget->refilled_us = now_us;
}

bool
bv_log_budget_try_consume(bv_log_budget_t *budget, int64_t now_us,
                          bv_log_class_t kind)
{
    fill(budget, now_us);
    if (budget->tokens[kind] < 1) {
        budget->suppressed[kind]++;
        return false;
    }
    budget->tokens[kind]--;
    return true;
}

const char *
bv_log_class_name(bv_log_class_t kind)
{
    static const char *const names[] = {"success", "refusal", "failure"};
    return names[kind];
}
