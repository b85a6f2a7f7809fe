#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include "berylvane/standin/cluster.h"

/*
 * soak - a deployment of real programs under random faults
 *
 * A seed determines a plan of faults, which are injected in series that may
 * overlap. Faults are injected from outside the nodes: by signals, and by the
 * stand-ins for links, targets and the platform. Guarantees of berylvane are
 * checked during the run and after it.
 */
#define SOAK_NODES_LIMIT 64

/* The account of which one step removes a key and adds another; no rate. */
#define SOAK_CHANGED_ACCOUNT "checks"
#define SOAK_REMOVED_KEY "checks-removed"
#define SOAK_ADDED_KEY "checks-added"

typedef struct soak soak_t;

/*
 * Whether a node process runs or was sent SIGTERM or SIGKILL, which decides
 * the exit statuses accepted. SOAK_KILLED also stands for a process that ended
 * without a signal.
 */
typedef enum {
    SOAK_RUNNING,
    SOAK_TERMINATED,
    SOAK_KILLED,
} soak_process_state_t;

/* State of one node that the checks use. */
typedef struct {
    soak_process_state_t state;
    /* Number of restarts; read by the thread that watches generations. */
    gint restarts;
    /* Generation last seen, and the value of `restarts` at that time. */
    int64_t generation;
    gint restarts_at_generation;
} soak_node_t;

struct soak {
    cluster_t *cluster;
    /* Paths of the two base documents that are applied in turn. */
    char *base;
    char *base_changed;
    /* Those that replace them when the keys change. */
    char *base_keys;
    char *base_changed_keys;
    /* The accounts of the deployment file, with their keys and rates. */
    json_t *accounts;
    /*
     * Time before the first configuration with the changed keys was sent;
     * INT64_MAX until then.
     */
    int64_t keys_changed_us;
    soak_node_t nodes[SOAK_NODES_LIMIT];
    /* Highest generation seen at any node. */
    int64_t generation;
    /* Number of configuration changes accepted, and of faults injected. */
    uint32_t accepted;
    uint32_t faults;
    /*
     * Texts of violated guarantees. The main thread and the thread of
     * soak_watch_generations() add to them under the mutex.
     */
    GMutex mutex;
    GPtrArray *findings;
    /* Set to end soak_watch_generations(). */
    gint stopping;
};

/* Prints a violated guarantee to standard error and keeps its text. */
void soak_finding(soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* A kind of fault. If `end` returns false, it must be called again later. */
typedef struct {
    const char *name;
    void (*begin)(soak_t *soak, size_t instance, const char *json);
    bool (*end)(soak_t *soak, size_t instance);
    /* JSON that `begin` sends to a stand-in; NULL if it sends none. */
    const char *json;
    /* Whether the fault is one of the platform rather than of an instance. */
    bool is_platform_fault;
} soak_fault_t;

/*
 * The kinds of faults that a plan draws from. They are followed by one more,
 * the change of keys, which each plan holds once: it is not drawn, so that the
 * other steps of a seed stay what they were.
 */
extern const soak_fault_t soak_faults[];
extern const size_t soak_fault_count;

/* A step of a plan: a fault begins or ends at an instance. */
typedef struct {
    /* Time since the start of the plan. */
    int64_t at_us;
    /* Index into soak_faults. */
    size_t fault;
    size_t instance;
    bool begins;
} soak_step_t;

/*
 * Returns the plan of a seed: soak_step_t in order of time, for series of
 * faults that start within `length_us`. The caller frees it with
 * g_array_unref().
 */
GArray *soak_plan(uint32_t seed, size_t instances, int64_t length_us);

/*
 * Writes the document `name` of the end-to-end tests with the deployment's
 * accounts into the folder `work`. Returns its path, to be freed with
 * g_free().
 */
char *soak_write_base(const json_t *deployment, const char *work,
                      const char *name, bool has_changed_keys);

/*
 * After the load: reports each request of an outside caller in the targets'
 * records that ran without a valid key or for another account than its key's,
 * and each account that ran more in some window of 5 s than its quota allows.
 */
void soak_check_records(soak_t *soak);

/* Reports each node that ended although no signal to end was sent to it. */
void soak_check_processes(soak_t *soak);

/*
 * Reports each node that returns to an older configuration within one run of
 * its process. The function of a thread; `soak` is a soak_t.
 */
gpointer soak_watch_generations(gpointer soak);

/*
 * After all faults: applies a configuration, and reports each node that does
 * not become ready, adopt every accepted configuration, and serve lookups and
 * orders with the added key within two minutes, or still accepts the removed
 * key after that.
 */
void soak_check_recovery(soak_t *soak);

#endif
