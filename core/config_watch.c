#include "berylvane/core/config_watch.h"

#include "berylvane/common/clock.h"

/*
 * Bounds of the time for which the store holds one watch. A connection that
 * fails silently is detected only after this time. Each node draws its time at
 * random, so that some nodes detect the failure early and pass a new
 * configuration on to the others.
 */
#define WATCH_WAIT_MIN_US (4 * BV_US_PER_S)
#define WATCH_WAIT_MAX_US (20 * BV_US_PER_S)
#define QUERY_TIMEOUT_US (2 * BV_US_PER_S)
#define RETRY_PAUSE_MIN_US (BV_US_PER_S / 5)
#define RETRY_PAUSE_MAX_US (2 * BV_US_PER_S)

bool
bv_config_watch_next(bv_config_watch_t *watch, int64_t now_us, GRand *random,
                     bv_config_query_t *query)
{
    if (watch->is_querying || now_us < watch->due_us) {
        return false;
    }
    watch->is_querying = true;
    watch->sent_us = now_us;
    *query = (bv_config_query_t){
        .kind = BV_CONFIG_QUERY_READ,
        .timeout_us = QUERY_TIMEOUT_US,
    };
    if (watch->known_version != 0) {
        query->kind = BV_CONFIG_QUERY_WATCH;
        query->version = watch->known_version;
        query->wait_us = (int64_t)g_rand_double_range(
            random, WATCH_WAIT_MIN_US, WATCH_WAIT_MAX_US);
    }
    return true;
}

/* Schedules the next query after a jittered, exponentially growing pause. */
static void
schedule_retry(bv_config_watch_t *watch, int64_t now_us, GRand *random)
{
    watch->pause_us =
        CLAMP(watch->pause_us * 2, RETRY_PAUSE_MIN_US, RETRY_PAUSE_MAX_US);
    watch->due_us = now_us + (int64_t)((double)watch->pause_us *
                                       g_rand_double_range(random, 0.5, 1));
}

void
bv_config_watch_handle_answer(bv_config_watch_t *watch, int64_t now_us,
                              GRand *random, bv_config_answer_t answer,
                              int64_t version)
{
    watch->is_querying = false;
    if (answer == BV_CONFIG_ANSWER_OK) {
        watch->known_version = version;
        watch->pause_us = 0;
        watch->due_us = now_us;
        watch->answered_us = now_us;
        watch->failures = 0;
        return;
    }
    watch->failures++;
    if (answer == BV_CONFIG_ANSWER_HISTORY_GONE) {
        watch->known_version = 0;
    }
    schedule_retry(watch, now_us, random);
}

int64_t
bv_config_watch_age_us(const bv_config_watch_t *watch, int64_t now_us)
{
    return watch->answered_us == 0 ? -1 : now_us - watch->answered_us;
}
