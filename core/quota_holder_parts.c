#include "quota_holder_internal.h"

uint32_t
quota_holder_choose_part(const account_t *account, int64_t now_us)
{
    uint32_t chosen = BV_QUOTA_PARTS;
    int64_t oldest_us = INT64_MAX;
    for (uint32_t i = 0; i < BV_QUOTA_PARTS; i++) {
        uint32_t index = (account->first_part + i) % BV_QUOTA_PARTS;
        const part_t *part = &account->parts[index];
        if (!part->is_silent && now_us >= part->refused_until_us &&
            part->refused_until_us < oldest_us) {
            chosen = index;
            oldest_us = part->refused_until_us;
        }
    }
    return chosen;
}

uint32_t
quota_holder_count_silent(const account_t *account)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < BV_QUOTA_PARTS; i++) {
        count += account->parts[i].is_silent;
    }
    return count;
}

/*
 * Time until the first lessor lends, while all are silent. After a restart of
 * all nodes none lends for some seconds, and callers that return earlier would
 * be refused again.
 */
static int64_t
wait_for_lessor_us(const account_t *account, int64_t now_us)
{
    int64_t from_us = INT64_MAX;
    for (uint32_t i = 0; i < BV_QUOTA_PARTS; i++) {
        int64_t part_us = account->parts[i].lends_from_us;
        from_us = part_us > now_us ? MIN(from_us, part_us) : from_us;
    }
    return from_us == INT64_MAX ? FLOOR_RETRY_US
                                : MAX(FLOOR_RETRY_US, from_us - now_us);
}

int64_t
quota_holder_retry_us(const account_t *account, int64_t now_us)
{
    int64_t retry_us = INT64_MAX;
    if (quota_holder_count_silent(account) == BV_QUOTA_PARTS) {
        return wait_for_lessor_us(account, now_us);
    }
    for (uint32_t i = 0; i < BV_QUOTA_PARTS; i++) {
        const part_t *part = &account->parts[i];
        if (!part->is_silent) {
            retry_us = MIN(retry_us, part->refused_retry_us);
        }
    }
    return retry_us;
}

void
quota_holder_silence_part(account_t *account, uint32_t index,
                          int64_t probe_due_us)
{
    part_t *part = &account->parts[index];
    if (!part->is_silent) {
        part->is_silent = true;
        part->probe_due_us = probe_due_us;
    }
}

void
quota_holder_forget_refusals(account_t *account)
{
    for (uint32_t i = 0; i < BV_QUOTA_PARTS; i++) {
        account->parts[i].refused_until_us = 0;
    }
}
