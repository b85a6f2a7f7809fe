#include "berylvane/core/config_watch.h"

#include "berylvane/common/clock.h"

/*
 * Bounds of the time for which the store holds one watch. A half-open
 * connection is detected only after this time. Each node draws its time at
 * random, and the largest one grows with the group, so that some nodes of any
 * group detect the failure early and the store is not queried more often than
 * that needs.
 */
#define WATCH_WAIT_MIN_US BV_US_PER_S
#define WATCH_WAIT_PER_NODE_US (BV_US_PER_S / 4)
#define WATCH_WAIT_SMALLEST_MAX_US (3 * BV_US_PER_S)
#define WATCH_WAIT_LARGEST_MAX_US (20 * BV_US_PER_S)
/*
 * Bounds of the time limit of an answer. It doubles with each failure, so that
 * a slow store is still read, and is halved with each answer.
 */
#define TIMEOUT_MIN_US (BV_US_PER_S / 2)
#define TIMEOUT_MAX_US (4 * BV_US_PER_S)
/*
 * Least time between two queries of a node, for each node of the group: all
 * nodes together send at most 500 queries a second, whatever the store
 * answers.
 */
#define QUERY_SPACING_PER_NODE_US (2 * BV_US_PER_MS)
#define RETRY_PAUSE_MIN_US (BV_US_PER_S / 5)
#define RETRY_PAUSE_MAX_US (2 * BV_US_PER_S)

int64_t
bv_config_watch_longest_wait_us(const bv_config_watch_t *watch, uint32_t nodes)
{
    int64_t longest_us =
        CLAMP(nodes * WATCH_WAIT_PER_NODE_US, WATCH_WAIT_SMALLEST_MAX_US,
              WATCH_WAIT_LARGEST_MAX_US);
    if (watch->wait_limit_us == 0) {
        return longest_us;
    }
    return CLAMP(watch->wait_limit_us, WATCH_WAIT_MIN_US, longest_us);
}

static int64_t
draw_wait_us(const bv_config_watch_t *watch, uint32_t nodes, GRand *random)
{
    int64_t max_us = bv_config_watch_longest_wait_us(watch, nodes);
    return WATCH_WAIT_MIN_US + (int64_t)(g_rand_double(random) *
                                         (double)(max_us - WATCH_WAIT_MIN_US));
}

bool
bv_config_watch_is_due(const bv_config_watch_t *watch, int64_t now_us)
{
    return !watch->is_querying &&
           now_us >= MAX(watch->due_us, watch->allowed_us);
}

void
bv_config_watch_start_query(bv_config_watch_t *watch, int64_t now_us,
                            uint32_t nodes, GRand *random,
                            bv_config_query_t *query)
{
    watch->is_querying = true;
    watch->query_number++;
    watch->sent_us = now_us;
    watch->allowed_us = now_us + nodes * QUERY_SPACING_PER_NODE_US;
    watch->timeout_us =
        CLAMP(watch->timeout_us, TIMEOUT_MIN_US, TIMEOUT_MAX_US);
    *query = (bv_config_query_t){
        .kind = BV_CONFIG_QUERY_READ,
        .timeout_us = watch->timeout_us,
        .uses_fresh_connection = true,
    };
    if (watch->has_position) {
        query->kind = BV_CONFIG_QUERY_WATCH;
        query->version = watch->known.version;
        query->wait_us = draw_wait_us(watch, nodes, random);
    }
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

/*
 * Whether the changes of an answer follow those that are known. They do not if
 * the store has come back from an older copy: the changes between that copy
 * and the known version are then missing.
 */
static bool
continues_known(const bv_config_watch_t *watch,
                const bv_table_position_t *position)
{
    bool is_read = !watch->has_position;
    return is_read || (position->era == watch->known.era &&
                       position->version >= watch->known.version);
}

static void
handle_success(bv_config_watch_t *watch, int64_t now_us,
               const bv_table_position_t *position)
{
    watch->has_position =
        position->version != 0 && continues_known(watch, position);
    watch->known = *position;
    watch->pause_us = 0;
    watch->timeout_us /= 2;
    watch->due_us = now_us;
    watch->answered_us = now_us;
    watch->failures = 0;
}

/*
 * The row is read next: a read is answered at once, so that it shows soon
 * whether the store can be reached again.
 */
static void
handle_failure(bv_config_watch_t *watch, int64_t now_us, GRand *random)
{
    watch->has_position = false;
    watch->failures++;
    watch->timeout_us *= 2;
    schedule_retry(watch, now_us, random);
}

void
bv_config_watch_handle_answer(bv_config_watch_t *watch, int64_t now_us,
                              GRand *random, bv_config_answer_t answer,
                              const bv_table_position_t *position)
{
    watch->is_querying = false;
    if (answer == BV_CONFIG_ANSWER_OK) {
        handle_success(watch, now_us, position);
    }
    else {
        handle_failure(watch, now_us, random);
    }
}

void
bv_config_watch_restart(bv_config_watch_t *watch, int64_t now_us)
{
    watch->is_querying = false;
    watch->query_number++;
    watch->has_position = false;
    watch->due_us = now_us;
}

int64_t
bv_config_watch_age_us(const bv_config_watch_t *watch, int64_t now_us)
{
    return watch->answered_us == 0 ? -1 : now_us - watch->answered_us;
}
