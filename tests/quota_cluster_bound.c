#include "quota_cluster_internal.h"

#include "support.h"

#include <string.h>

void
quota_cluster_note_limits(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        const bv_quota_limit_t *limit = &cluster->nodes[i].limit;
        guint k = 0;
        while (k < cluster->limits->len &&
               memcmp(&g_array_index(cluster->limits, limit_use_t, k).limit,
                      limit, sizeof(*limit)) != 0) {
            k++;
        }
        if (k == cluster->limits->len) {
            limit_use_t use = {*limit, 0};
            g_array_append_val(cluster->limits, use);
        }
        g_array_index(cluster->limits, limit_use_t, k).last_us =
            quota_cluster_now_us(cluster);
    }
}

/* The bound by the largest limit that a node applied in the last window. */
static double
bound_now(quota_cluster_t *cluster)
{
    double bound = 0;
    double window_s = (double)cluster->bounds.window_us / SECOND_US;
    quota_cluster_note_limits(cluster);
    for (guint i = 0; i < cluster->limits->len; i++) {
        const limit_use_t *use =
            &g_array_index(cluster->limits, limit_use_t, i);
        if (use->last_us <
            quota_cluster_now_us(cluster) - cluster->bounds.window_us) {
            continue;
        }
        double quota = use->limit.rate_per_s * window_s + use->limit.burst;
        bound = MAX(bound, quota * (1 + cluster->bounds.overage) +
                               cluster->bounds.slack);
    }
    return bound;
}

void
quota_cluster_record_run(quota_cluster_t *cluster)
{
    int64_t now_us = quota_cluster_now_us(cluster);
    g_queue_push_tail(&cluster->runs, g_memdup2(&now_us, sizeof(now_us)));
    while (*(int64_t *)cluster->runs.head->data <=
           now_us - cluster->bounds.window_us) {
        g_free(g_queue_pop_head(&cluster->runs));
    }
    cluster->most_in_window =
        MAX(cluster->most_in_window, cluster->runs.length);
    double bound = bound_now(cluster);
    ck_assert_msg(cluster->runs.length <= bound,
                  "%u requests in a window, allowed are %.1f",
                  cluster->runs.length, bound);
}

void
quota_cluster_count_ideal(quota_cluster_t *cluster,
                          const bv_quota_limit_t *limit)
{
    int64_t now_us = quota_cluster_now_us(cluster);
    double quota = limit->rate_per_s * 5.0 + limit->burst;
    double extra =
        0.25 * (cluster->bounds.overage * quota + cluster->bounds.slack);
    double gained =
        (double)(now_us - cluster->ideal_filled_us) * quota / 5 / SECOND_US;
    double capacity =
        MAX(limit->burst, MAX(1, limit->rate_per_s / 20.0)) + extra;
    cluster->ideal_permits = MIN(cluster->ideal_permits + gained, capacity);
    cluster->ideal_filled_us = now_us;
    double lent =
        (double)bv_quota_window_count(&cluster->ideal_window, now_us);
    if (cluster->ideal_permits >= 1 && lent + 1 <= quota + extra) {
        bv_quota_window_add(&cluster->ideal_window, now_us, 1);
        cluster->ideal_permits--;
        cluster->ideal++;
    }
}
