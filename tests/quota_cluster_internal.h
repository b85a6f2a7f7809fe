#ifndef TESTS_QUOTA_CLUSTER_INTERNAL_H
#define TESTS_QUOTA_CLUSTER_INTERNAL_H

#include "quota_cluster.h"

/*
 * quota_cluster_internal - declarations that the sources of quota_cluster
 * share
 *
 *  - quota_cluster.c: the cluster, its events and the links
 *  - quota_cluster_node.c: the process of a node, and the events it handles
 *  - quota_cluster_views.c: what the nodes know of each other
 *  - quota_cluster_bound.c: the bound, and one bucket for all nodes as
 * reference
 */
#define MS 1000
#define SECOND_US 1000000

typedef enum {
    EVENT_TICK,
    EVENT_POLL,
    EVENT_ARRIVAL,
    EVENT_REQUEST,
    EVENT_REPLY,
    EVENT_RETURN,
} event_kind_t;

typedef struct {
    event_kind_t kind;
    uint32_t node;
    uint32_t from;
    uint64_t incarnation;
    uint64_t sequence;
    bv_quota_request_t request;
    bv_quota_reply_t reply;
    bv_quota_permit_t permit;
} event_t;

/* A limit and the last time at which a node applied it. */
typedef struct {
    bv_quota_limit_t limit;
    int64_t last_us;
} limit_use_t;

int64_t quota_cluster_now_us(const quota_cluster_t *cluster);

/* Schedules a copy of the event. */
void quota_cluster_schedule(quota_cluster_t *cluster, const event_t *event,
                            int64_t delay_us);

/* Whether the node is up and not frozen. */
bool quota_cluster_is_running(const quota_node_t *node);

bool quota_cluster_are_connected(const quota_cluster_t *cluster, uint32_t from,
                                 uint32_t to);

/* Returns the index of the node with this name. */
uint32_t quota_cluster_index_of(const char *name);

/* Ends the process of a node, if there is one. */
void quota_cluster_destroy_process(quota_node_t *node);

/* A call arrives at the node, which schedules the next arrival. */
void quota_cluster_run_arrival(quota_node_t *node, const event_t *event);

/* Handles an event of a node that runs. */
void quota_cluster_run_node_event(quota_node_t *node, const event_t *event);

/* Updates what each node knows of the others. */
void quota_cluster_poll_views(quota_cluster_t *cluster);

/* A node that starts reads the rows of the other nodes from the table. */
void quota_cluster_read_rows(quota_node_t *node);

/* Records the limits that the nodes apply now. */
void quota_cluster_note_limits(quota_cluster_t *cluster);

/* Counts a request that runs, and checks the bound. */
void quota_cluster_record_run(quota_cluster_t *cluster);

/* Offers a call to the one bucket for all nodes. */
void quota_cluster_count_ideal(quota_cluster_t *cluster,
                               const bv_quota_limit_t *limit);

#endif
