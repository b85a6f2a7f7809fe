#include "berylvane/core/local_retry.h"

static bool
is_wanted(const bv_local_retry_t *retry)
{
    return retry->outcome == BV_OUTCOME_UNKNOWN &&
           retry->reason == BV_REASON_CONNECTION_LOST &&
           retry->is_idempotent && !retry->is_retry &&
           retry->is_target_usable && retry->is_permitted &&
           !retry->is_cancelled && retry->now_us < retry->deadline_us;
}

bv_local_retry_verdict_t
bv_local_retry_try_charge(const bv_local_retry_t *retry,
                          bv_retry_budgets_t *budgets, bv_credits_t *credits)
{
    if (!is_wanted(retry)) {
        return BV_LOCAL_RETRY_NONE;
    }
    if (!bv_retry_budgets_try_spend(budgets, retry->now_us, retry->service,
                                    bv_priority_class(retry->priority))) {
        return BV_LOCAL_RETRY_NO_BUDGET;
    }
    if (!bv_credits_spend(credits, &retry->request_id)) {
        return BV_LOCAL_RETRY_NO_CREDIT;
    }
    return BV_LOCAL_RETRY_SEND;
}
