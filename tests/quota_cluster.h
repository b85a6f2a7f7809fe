#ifndef TESTS_QUOTA_CLUSTER_H
#define TESTS_QUOTA_CLUSTER_H

#include "berylvane/core/quota_holder.h"
#include "berylvane/core/quota_lessor.h"
#include "berylvane/core/quota_members.h"
#include "berylvane/core/quota_window.h"
#include "sim.h"

/*
 * quota_cluster - simulated nodes that share the quota of one account
 *
 * Each node has members, a lessor and a holder. Messages may be late or lost;
 * nodes may be frozen, killed, restarted and separated. A node sees another
 * one as dead 1.5 to 3 s after it stopped answering, unless it is cut off
 * itself, and as alive at most 0.7 s after it answers. The cluster checks at
 * each request that runs that the requests in the last window are within the
 * bound.
 */
#define QUOTA_NODES_LIMIT 16
#define QUOTA_ACCOUNT "acme"

typedef struct quota_cluster quota_cluster_t;

/* What a node knows of another one. */
typedef struct {
    uint64_t incarnation;
    bool is_known;
    bool is_dead;
    int64_t unreachable_since_us;
    int64_t reachable_since_us;
    int64_t dead_after_us;
    int64_t alive_after_us;
} quota_view_t;

typedef struct {
    quota_cluster_t *cluster;
    uint32_t index;
    uint64_t incarnation;
    char name[BV_NAME_BYTES];
    bv_quota_members_t *members;
    bv_quota_lessor_t *lessor;
    bv_quota_holder_t *holder;
    bool is_up;
    int64_t frozen_until_us;
    uint32_t side;
    bool is_cut_off;
    bv_quota_limit_t limit;
    quota_view_t views[QUOTA_NODES_LIMIT];
    /* Calls per second that arrive at the node. */
    double load;
    /* Numbers the arrivals of a load; older arrivals are dropped. */
    uint64_t load_number;
} quota_node_t;

struct quota_cluster {
    sim_t *sim;
    quota_node_t nodes[QUOTA_NODES_LIMIT];
    uint32_t count;
    bv_quota_bounds_t bounds;
    int loss_percent;
    /* Share of the admitted calls that are rejected as not run. */
    int return_percent;
    uint64_t next_id;
    /* Of int64_t: times of the requests that ran in the last window. */
    GQueue runs;
    /* Limits that nodes applied, of limit_use_t. */
    GArray *limits;
    /* Calls that wait: their ids. */
    GHashTable *waiting;
    /* Permits in one bucket that all calls of the cluster would use. */
    double ideal_permits;
    int64_t ideal_filled_us;
    bv_quota_window_t ideal_window;
    uint64_t arrived;
    /* Calls that the one bucket would admit. */
    uint64_t ideal;
    uint64_t admitted;
    uint64_t refused;
    uint64_t messages;
    uint64_t most_in_window;
};

void quota_cluster_create(quota_cluster_t *cluster, guint32 seed,
                          uint32_t count, const bv_quota_limit_t *limit);
void quota_cluster_destroy(quota_cluster_t *cluster);

/* Runs until the simulated time has advanced by `duration_us`. */
void quota_cluster_run(quota_cluster_t *cluster, int64_t duration_us);

/* Runs `steps` events. */
void quota_cluster_run_steps(quota_cluster_t *cluster, uint64_t steps);

/* Starts a node, or replaces its process by a new one. */
void quota_cluster_start(quota_cluster_t *cluster, uint32_t index);
void quota_cluster_kill(quota_cluster_t *cluster, uint32_t index);
void quota_cluster_freeze(quota_cluster_t *cluster, uint32_t index,
                          int64_t duration_us);

/* Nodes of different sides do not reach each other. */
void quota_cluster_set_side(quota_cluster_t *cluster, uint32_t index,
                            uint32_t side);
void quota_cluster_set_load(quota_cluster_t *cluster, uint32_t index,
                            double calls_per_s);
void quota_cluster_set_limit(quota_cluster_t *cluster, uint32_t index,
                             const bv_quota_limit_t *limit);

/* Sets all counts to 0. */
void quota_cluster_clear_counts(quota_cluster_t *cluster);

/* Returns the node that the first node up takes for the lessor of part 0. */
uint32_t quota_cluster_lessor(const quota_cluster_t *cluster);

#endif
