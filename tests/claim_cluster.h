#ifndef TESTS_CLAIM_CLUSTER_H
#define TESTS_CLAIM_CLUSTER_H

#include "berylvane/core/claim.h"
#include "sim.h"

/*
 * claim_cluster - simulated nodes with claim state machines and one table
 *
 * Writes, their replies and queries between nodes are lost, delayed and
 * duplicated; nodes pause and restart; the table is unavailable at times. A
 * reliable cluster only delays messages and duplicates writes.
 */
#define NODES 4
#define KEYS_AT_ONCE 16
#define KEY_BYTES 64

typedef struct claim_cluster claim_cluster_t;

typedef struct {
    claim_cluster_t *cluster;
    uint32_t index;
    uint64_t incarnation;
    int64_t paused_until_us;
    bv_claims_t *claims;
    bv_tickets_t *tickets;
} node_t;

typedef struct {
    uint64_t id;
    uint32_t node;
    char key[KEY_BYTES];
    uint64_t request_digest;
    bool is_started;
    bool is_executed;
    /* The result; recorded only in a reliable cluster. */
    bool is_answered;
    bv_key_result_t result;
} call_t;

struct claim_cluster {
    sim_t *sim;
    node_t nodes[NODES];
    GHashTable *table;
    GHashTable *calls;
    /* Request digest of each execution, by key. */
    GHashTable *executions;
    int64_t revision;
    int64_t store_down_until_us;
    uint64_t next_id;
    uint64_t calls_begun;
    uint64_t executions_count;
    /* Nothing is lost, no call leaves, and the test settles running calls. */
    bool is_reliable;
};

/* Starts the nodes; a reliable cluster schedules only their ticks. */
void claim_cluster_create(claim_cluster_t *cluster, guint32 seed,
                          bool is_reliable);
void claim_cluster_destroy(claim_cluster_t *cluster);

/* Joins a call to a key at a node; the call is owned by the cluster. */
call_t *claim_cluster_begin_call(claim_cluster_t *cluster, uint32_t node,
                                 const char *key, uint64_t request_digest,
                                 uint64_t serial);

#endif
