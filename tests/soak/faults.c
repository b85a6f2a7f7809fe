#include "soak.h"

#include <signal.h>

#define PLATFORM_CONTROL "/control"
#define TARGET_CONTROL "/standin/control"

static void
signal_node(soak_t *soak, size_t instance, int number)
{
    soak_node_t *node = &soak->nodes[instance];
    if (number == SIGKILL) {
        node->order = SOAK_KILLED;
    }
    if (number == SIGTERM && node->order == SOAK_RUNNING) {
        node->order = SOAK_TERMINATED;
    }
    cluster_signal(soak->cluster, CLUSTER_NODE, instance, number);
}

/* Before it has answered once, a process may end by the signal alone. */
static bool
ended_in_start(const soak_node_t *node, int status)
{
    bool answered = node->generation_start == g_atomic_int_get(&node->starts);
    return !answered && status == 128 + SIGTERM;
}

/* Starts what has ended; false while it still runs to its end. */
static bool
start_node(soak_t *soak, size_t instance)
{
    soak_node_t *node = &soak->nodes[instance];
    if (node->order == SOAK_RUNNING) {
        return true;
    }
    cluster_signal(soak->cluster, CLUSTER_NODE, instance, SIGCONT);
    int status = cluster_wait_exit(soak->cluster, CLUSTER_NODE, instance, 0);
    if (status < 0) {
        return false;
    }
    if (node->order == SOAK_TERMINATED && status != 0 &&
        !ended_in_start(node, status)) {
        soak_finding(soak, "%s ended with %d after SIGTERM",
                     cluster_instance_name(soak->cluster, instance), status);
    }
    node->order = SOAK_RUNNING;
    g_atomic_int_inc(&node->starts);
    GError *error = NULL;
    if (!cluster_restart(soak->cluster, CLUSTER_NODE, instance, &error)) {
        soak_finding(soak, "%s not started: %s",
                     cluster_instance_name(soak->cluster, instance),
                     error->message);
        g_error_free(error);
    }
    return true;
}

static void
kill_node(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    signal_node(soak, instance, SIGKILL);
}

static void
terminate_node(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    signal_node(soak, instance, SIGTERM);
}

static void
pause_node(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    signal_node(soak, instance, SIGSTOP);
}

static bool
resume_node(soak_t *soak, size_t instance)
{
    signal_node(soak, instance, SIGCONT);
    return true;
}

static void
reload_node(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    signal_node(soak, instance, SIGHUP);
}

static void
kill_target(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    cluster_signal(soak->cluster, CLUSTER_TARGET, instance, SIGKILL);
}

static bool
start_target(soak_t *soak, size_t instance)
{
    if (cluster_wait_exit(soak->cluster, CLUSTER_TARGET, instance, 0) < 0) {
        return true;
    }
    return cluster_restart(soak->cluster, CLUSTER_TARGET, instance, NULL);
}

static void
pause_target(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    cluster_signal(soak->cluster, CLUSTER_TARGET, instance, SIGSTOP);
}

static bool
resume_target(soak_t *soak, size_t instance)
{
    cluster_signal(soak->cluster, CLUSTER_TARGET, instance, SIGCONT);
    return true;
}

/* A target that is stopped or gone does not take it: none of its faults. */
static void
set_target(soak_t *soak, size_t instance, const char *json)
{
    cluster_signal(soak->cluster, CLUSTER_TARGET, instance, SIGCONT);
    cluster_set_faults(cluster_ports(soak->cluster, instance)->target,
                       TARGET_CONTROL, json);
}

static bool
mend_target(soak_t *soak, size_t instance)
{
    set_target(soak, instance, "{\"slow_percent\": 100, \"refuse\": false}");
    return true;
}

static void
set_link(soak_t *soak, size_t instance, const char *json)
{
    if (!cluster_set_link_faults(soak->cluster, instance, json)) {
        soak_finding(soak, "the link of %s takes no faults",
                     cluster_instance_name(soak->cluster, instance));
    }
}

static bool
mend_link(soak_t *soak, size_t instance)
{
    set_link(soak, instance,
             "{\"cut\": false, \"cut_far\": false, \"hold_answers\": false, "
             "\"delay_us\": 250, \"loss_percent\": 0, "
             "\"duplicate_percent\": 0}");
    return true;
}

/* All connections to the instance are closed, new ones work at once. */
static void
reset_link(soak_t *soak, size_t instance, const char *json)
{
    set_link(soak, instance, json);
    mend_link(soak, instance);
}

static bool
nothing_to_mend(soak_t *soak, size_t instance)
{
    (void)soak;
    (void)instance;
    return true;
}

static void
set_store(soak_t *soak, size_t instance, const char *json)
{
    (void)instance;
    if (!cluster_set_faults(cluster_platform_port(soak->cluster),
                            PLATFORM_CONTROL, json)) {
        soak_finding(soak, "the platform takes no faults");
    }
}

static bool
mend_store(soak_t *soak, size_t instance)
{
    set_store(soak, instance,
              "{\"mode\": \"up\", \"delay_ms\": 0, "
              "\"lose_answers_percent\": 0}");
    return true;
}

/* Accepted or not: what was accepted must be in force at the end. */
static void
change_base(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    const char *base = instance % 2 == 0 ? soak->base : soak->base_changed;
    if (cluster_run_ctl(soak->cluster, "apply", "--base", base, NULL) == 0) {
        soak->accepted++;
    }
}

const soak_fault_t soak_faults[] = {
    {"node killed", kill_node, start_node, NULL, false},
    {"node terminated", terminate_node, start_node, NULL, false},
    {"node paused", pause_node, resume_node, NULL, false},
    {"node reloads", reload_node, nothing_to_mend, NULL, false},
    {"target killed", kill_target, start_target, NULL, false},
    {"target paused", pause_target, resume_target, NULL, false},
    {"target slow", set_target, mend_target, "{\"slow_percent\": 3000}",
     false},
    {"target refuses", set_target, mend_target, "{\"refuse\": true}", false},
    {"link cut", set_link, mend_link, "{\"cut\": true}", false},
    {"link cut from afar", set_link, mend_link, "{\"cut_far\": true}", false},
    {"link cut one way", set_link, mend_link, "{\"hold_answers\": true}",
     false},
    {"link silent", set_link, nothing_to_mend, "{\"silence\": true}", false},
    {"link delayed", set_link, mend_link, "{\"delay_us\": 100000}", false},
    {"link loses packets", set_link, mend_link,
     "{\"loss_percent\": 40, \"duplicate_percent\": 20}", false},
    {"link reset", reset_link, nothing_to_mend, "{\"cut\": true}", false},
    {"store down", set_store, mend_store, "{\"mode\": \"down\"}", true},
    {"store silent", set_store, mend_store, "{\"mode\": \"hang\"}", true},
    {"store slow", set_store, mend_store, "{\"delay_ms\": 400}", true},
    {"store loses answers", set_store, mend_store,
     "{\"lose_answers_percent\": 40}", true},
    {"configuration", change_base, nothing_to_mend, NULL, true},
};
const size_t soak_fault_count = G_N_ELEMENTS(soak_faults);
