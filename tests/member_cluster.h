#ifndef TESTS_MEMBER_CLUSTER_H
#define TESTS_MEMBER_CLUSTER_H

#include "berylvane/core/membership.h"

#include "sim.h"

/*
 * member_cluster - many memberships over a network without guarantees, all in
 * one process: loss, reorder, duplicates, pauses, restarts, partitions
 */
typedef struct member_cluster member_cluster_t;

/* The naive twin's idea of one member. */
typedef struct {
    uint64_t incarnation;
    uint32_t version;
    bv_member_state_t state;
    int64_t since_us;
} member_model_t;

typedef struct {
    member_cluster_t *world;
    uint32_t number;
    char name[BV_NAME_BYTES];
    bool is_up;
    bool is_paused;
    bool has_left;
    uint64_t incarnation;
    /* Nodes with different sides do not reach each other. */
    uint32_t partition;
    uint32_t start_count;
    bv_membership_t *membership;
    GHashTable *model;
    uint64_t evictions;
} member_node_t;

typedef struct {
    uint64_t packets;
    uint64_t records;
    uint64_t syncs;
    uint64_t replays_dropped;
    uint64_t evictions;
    /* Packets that crossed to another data centre, or region. */
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
    int64_t forget_us;
    bool has_model;
    /* Members know each other from the start. */
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
    void (*on_send)(member_cluster_t *world, const bv_member_t *from,
                    const bv_gossip_packet_t *packet);
};

member_cluster_t *
member_cluster_create(const member_cluster_options_t *options);
void member_cluster_destroy(member_cluster_t *world);

/* Runs until `duration_us` has passed, or `events` more have happened. */
void member_cluster_run(member_cluster_t *world, int64_t duration_us,
                        uint64_t events);

/* Starts a node with a higher incarnation; it reads rows if it can. */
void member_node_start(member_node_t *node);
void member_node_crash(member_node_t *node);
void member_node_drain(member_node_t *node);
void member_node_leave(member_node_t *node);

/* Nodes that do not see every other as it is. */
uint32_t member_cluster_count_wrong_views(const member_cluster_t *world);

/* Records of nodes that run which are not of their newest version. */
uint32_t member_cluster_count_stale_records(const member_cluster_t *world);

/* Nodes that hold `name` as a candidate for new work. */
uint32_t member_cluster_count_candidates(const member_cluster_t *world,
                                         const member_node_t *of);

#endif
