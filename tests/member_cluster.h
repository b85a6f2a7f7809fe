#ifndef TESTS_MEMBER_CLUSTER_H
#define TESTS_MEMBER_CLUSTER_H

#include "berylvane/core/membership.h"

#include "sim.h"

/*
 * member_cluster - a simulated cluster of memberships in one process
 *
 * The network loses, delays, reorders, duplicates and replays packets and can
 * be partitioned; nodes pause, crash and restart.
 */
typedef struct member_cluster member_cluster_t;

/* A reference model's record of one member. */
typedef struct {
    uint64_t incarnation;
    uint32_t version;
    bv_member_state_t state;
    /* Time of the last change. */
    int64_t since_us;
} member_model_t;

typedef struct {
    member_cluster_t *cluster;
    uint32_t number;
    char name[BV_NAME_BYTES];
    bool is_up;
    bool is_paused;
    bool has_left;
    uint64_t incarnation;
    /* Nodes in different partitions do not reach each other. */
    uint32_t partition;
    uint32_t start_count;
    bv_membership_t *membership;
    /* member_model_t by member name. */
    GHashTable *model;
    /* Members that this node declared dead or received as dead. */
    uint64_t evictions;
    /* What members reported of this node's target since the start. */
    bv_departures_t reported;
    uint64_t reports;
} member_node_t;

typedef struct {
    uint64_t packets;
    uint64_t records;
    uint64_t syncs;
    uint64_t replays_dropped;
    uint64_t evictions;
    /* Numbers of packets sent to another data centre or another region. */
    uint64_t crossed_data_centre;
    uint64_t crossed_region;
} member_totals_t;

typedef struct {
    guint32 seed;
    uint32_t nodes;
    uint32_t data_centres;
    uint32_t regions;
    int64_t probe_interval_us;
    int64_t suspect_timeout_us;
    int64_t forget_after_us;
    /* Each change of a record is compared with the reference model. */
    bool has_model;
    /* Every node has the records of all others from the start. */
    bool starts_joined;
} member_cluster_options_t;

struct member_cluster {
    member_cluster_options_t options;
    sim_t *sim;
    member_node_t *nodes;
    int loss_percent;
    int duplicate_percent;
    int64_t delay_limit_us;
    bool is_store_up;
    uint64_t events;
    member_totals_t totals;
    /* Called for each packet sent; may be NULL. */
    void (*on_send)(member_cluster_t *cluster, const bv_member_t *from,
                    const bv_gossip_packet_t *packet);
};

member_cluster_t *
member_cluster_create(const member_cluster_options_t *options);
void member_cluster_destroy(member_cluster_t *cluster);

/* Runs until `duration_us` has passed or `events` further events have run. */
void member_cluster_run(member_cluster_t *cluster, int64_t duration_us,
                        uint64_t events);

/*
 * Starts a node with a higher incarnation than before. It reads rows of other
 * nodes if the store is available.
 */
void member_node_start(member_node_t *node);
void member_node_crash(member_node_t *node);
void member_node_drain(member_node_t *node);
void member_node_leave(member_node_t *node);

/* Counts the nodes with a wrong or missing record of any other node. */
uint32_t member_cluster_count_wrong_views(const member_cluster_t *cluster);

/* Counts the records that are missing or not of their owner's version. */
uint32_t member_cluster_count_stale_records(const member_cluster_t *cluster);

/* Counts the nodes that hold `of` as a candidate for new work. */
uint32_t member_cluster_count_candidates(const member_cluster_t *cluster,
                                         const member_node_t *of);

#endif
