#ifndef TESTS_CLAIM_CLUSTER_H
#define TESTS_CLAIM_CLUSTER_H

#include "berylvane/core/claim.h"
#include "sim.h"

/*
 * claim_world - claim state machines of several nodes, a table, and messages
 * that are lost, late and repeated, nodes that pause and restart
 */
#define NODES 4
#define KEYS_AT_ONCE 16
#define KEY_BYTES 64

typedef struct world world_t;

typedef struct {
    world_t *world;
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
    uint64_t request;
    bool runs;
    bool executed;
    /* The final word, in calm; `answered` until then false. */
    bool answered;
    bv_key_result_t kept;
} waiter_t;

struct world {
    sim_t *sim;
    node_t nodes[NODES];
    GHashTable *table;
    GHashTable *waiters;
    /* Request of the execution, by key. */
    GHashTable *executions;
    int64_t revision;
    int64_t store_down_until_us;
    uint64_t next_id;
    uint64_t begun;
    uint64_t ran;
    /* Nothing is lost or leaves, and what runs is settled by the test. */
    bool calm;
};

/* Starts the nodes; in a calm world only the nodes' ticks are scheduled. */
void world_create(world_t *world, guint32 seed, bool calm);
void world_destroy(world_t *world);

/* A call with a key joins at a node; the record of it is borrowed. */
waiter_t *world_begin(world_t *world, uint32_t node, const char *key,
                      uint64_t request, uint64_t serial);

#endif
