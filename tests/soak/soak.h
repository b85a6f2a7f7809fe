#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include "berylvane/standin/cluster.h"

/*
 * soak - real programs under random faults
 *
 * A seed makes a plan of faults that come in series and overlap. They are
 * injected from outside of the nodes: by signals, by the link stand-ins, by
 * the target and platform stand-ins. Promises are checked meanwhile and at the
 * end.
 */
#define SOAK_NODES_LIMIT 64

typedef struct soak soak_t;

/* What a process was told, to judge its end by. */
typedef enum {
    SOAK_RUNNING,
    SOAK_TERMINATED,
    SOAK_KILLED,
} soak_order_t;

/* The state of one node that the checks go by. */
typedef struct {
    soak_order_t order;
    /* Changes with each start. */
    gint starts;
    /* Highest generation seen of this start, and the start it is of. */
    int64_t generation;
    gint generation_start;
} soak_node_t;

struct soak {
    cluster_t *cluster;
    const char *base;
    const char *base_changed;
    soak_node_t nodes[SOAK_NODES_LIMIT];
    /* Highest generation that any node was seen with. */
    int64_t generation;
    uint32_t accepted;
    uint32_t faults;
    /* Broken promises, one line each; used by both threads. */
    GMutex mutex;
    GPtrArray *findings;
    gint stopping;
};

void soak_finding(soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* A kind of fault; `end` is called again later when it returns false. */
typedef struct {
    const char *name;
    void (*begin)(soak_t *soak, size_t instance, const char *json);
    bool (*end)(soak_t *soak, size_t instance);
    /* What `begin` sets at a stand-in. */
    const char *json;
    /* Whether it takes place in the platform rather than at an instance. */
    bool common;
} soak_fault_t;

extern const soak_fault_t soak_faults[];
extern const size_t soak_fault_count;

/* A step of a plan, in order of time. */
typedef struct {
    int64_t at_us;
    size_t fault;
    size_t instance;
    bool begins;
} soak_step_t;

/* The plan of a seed: series of faults within `length_us`. */
GArray *soak_plan(uint32_t seed, size_t instances, int64_t length_us);

/* Ends of processes that nobody told to end, and exit codes. */
void soak_check_processes(soak_t *soak);

/* Watches that no node goes back to an older configuration; a thread. */
gpointer soak_watch_generations(gpointer soak);

/*
 * After all faults: every node is ready, has what was accepted, and serves
 * lookups and orders.
 */
void soak_check_recovery(soak_t *soak);

#endif
