#include "soak.h"

#include "berylvane/common/clock.h"

#include <signal.h>

#define PLATFORM_CONTROL "/control"
#define TARGET_CONTROL "/standin/control"

static void
signal_node(soak_t *soak, size_t instance, int signal_number)
{
    soak_node_t *node = &soak->nodes[instance];
    if (signal_number == SIGKILL) {
        node->state = SOAK_KILLED;
    }
    if (signal_number == SIGTERM && node->state == SOAK_RUNNING) {
        node->state = SOAK_TERMINATED;
    }
    cluster_signal(soak->cluster, CLUSTER_NODE, instance, signal_number);
}

/*
 * Returns whether SIGTERM ended a node that had not answered GET /status since
 * its start. This is allowed, as the node may not have blocked the signal yet.
 */
static bool
ended_during_start(const soak_node_t *node, int status)
{
    bool answered =
        node->restarts_at_generation == g_atomic_int_get(&node->restarts);
    return !answered && status == 128 + SIGTERM;
}

/*
 * Starts a node that has ended. Returns false while a node that was sent a
 * signal to end still runs.
 */
static bool
start_node(soak_t *soak, size_t instance)
{
    soak_node_t *node = &soak->nodes[instance];
    if (node->state == SOAK_RUNNING) {
        return true;
    }
    cluster_signal(soak->cluster, CLUSTER_NODE, instance, SIGCONT);
    int status = cluster_wait_exit(soak->cluster, CLUSTER_NODE, instance, 0);
    if (status < 0) {
        return false;
    }
    if (node->state == SOAK_TERMINATED && status != 0 &&
        !ended_during_start(node, status)) {
        soak_finding(soak, "%s ended with status %d after SIGTERM, not 0",
                     cluster_instance_name(soak->cluster, instance), status);
    }
    node->state = SOAK_RUNNING;
    g_atomic_int_inc(&node->restarts);
    GError *error = NULL;
    if (!cluster_restart(soak->cluster, CLUSTER_NODE, instance, &error)) {
        soak_finding(soak, "%s not restarted: %s",
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

/*
 * Resumes the target and sets its faults. It is no finding if the target does
 * not accept them, as another fault may have killed it.
 */
static void
set_target_faults(soak_t *soak, size_t instance, const char *json)
{
    cluster_signal(soak->cluster, CLUSTER_TARGET, instance, SIGCONT);
    cluster_set_faults(cluster_ports(soak->cluster, instance)->target,
                       TARGET_CONTROL, json);
}

static bool
clear_target_faults(soak_t *soak, size_t instance)
{
    set_target_faults(soak, instance,
                      "{\"slow_percent\": 100, \"refuse\": false}");
    return true;
}

static void
set_link_faults(soak_t *soak, size_t instance, const char *json)
{
    if (!cluster_set_link_faults(soak->cluster, instance, json)) {
        soak_finding(soak, "the link of %s does not accept faults",
                     cluster_instance_name(soak->cluster, instance));
    }
}

static bool
clear_link_faults(soak_t *soak, size_t instance)
{
    set_link_faults(
        soak, instance,
        "{\"cut\": false, \"cut_far\": false, \"hold_answers\": false, "
        "\"delay_us\": 250, \"loss_percent\": 0, "
        "\"duplicate_percent\": 0}");
    return true;
}

/* Closes all connections to the instance; new connections work at once. */
static void
close_connections(soak_t *soak, size_t instance, const char *json)
{
    set_link_faults(soak, instance, json);
    clear_link_faults(soak, instance);
}

static bool
nothing_to_clear(soak_t *soak, size_t instance)
{
    (void)soak;
    (void)instance;
    return true;
}

static void
set_store_faults(soak_t *soak, size_t instance, const char *json)
{
    (void)instance;
    if (!cluster_set_faults(cluster_platform_port(soak->cluster),
                            PLATFORM_CONTROL, json)) {
        soak_finding(soak, "the platform stand-in does not accept faults");
    }
}

static bool
clear_store_faults(soak_t *soak, size_t instance)
{
    set_store_faults(soak, instance,
                     "{\"mode\": \"up\", \"delay_ms\": 0, "
                     "\"lose_answers_percent\": 0}");
    return true;
}

/*
 * A change may fail under faults, but each accepted change must be active at
 * the end.
 */
static void
apply_base(soak_t *soak, size_t instance, const char *json)
{
    (void)json;
    const char *base = instance % 2 == 0 ? soak->base : soak->base_changed;
    if (cluster_run_ctl(soak->cluster, "apply", "--base", base, NULL) == 0) {
        soak->accepted++;
    }
}

/* The change may fail under faults; later documents have the same keys. */
static void
change_keys(soak_t *soak, size_t instance, const char *json)
{
    g_free(soak->base);
    g_free(soak->base_changed);
    soak->base = g_steal_pointer(&soak->base_keys);
    soak->base_changed = g_steal_pointer(&soak->base_changed_keys);
    soak->keys_changed_us = bv_clock_now_us();
    apply_base(soak, instance, json);
}

const soak_fault_t soak_faults[] = {
    {"node killed", kill_node, start_node, NULL, false},
    {"node terminated", terminate_node, start_node, NULL, false},
    {"node paused", pause_node, resume_node, NULL, false},
    {"node reloads", reload_node, nothing_to_clear, NULL, false},
    {"target killed", kill_target, start_target, NULL, false},
    {"target paused", pause_target, resume_target, NULL, false},
    {"target slow", set_target_faults, clear_target_faults,
     "{\"slow_percent\": 3000}", false},
    {"target refuses", set_target_faults, clear_target_faults,
     "{\"refuse\": true}", false},
    {"link cut", set_link_faults, clear_link_faults, "{\"cut\": true}", false},
    {"link cut to other regions", set_link_faults, clear_link_faults,
     "{\"cut_far\": true}", false},
    {"link holds back answers", set_link_faults, clear_link_faults,
     "{\"hold_answers\": true}", false},
    {"open connections silent", set_link_faults, nothing_to_clear,
     "{\"silence\": true}", false},
    {"link delayed", set_link_faults, clear_link_faults,
     "{\"delay_us\": 100000}", false},
    {"link loses packets", set_link_faults, clear_link_faults,
     "{\"loss_percent\": 40, \"duplicate_percent\": 20}", false},
    {"connections closed", close_connections, nothing_to_clear,
     "{\"cut\": true}", false},
    {"store down", set_store_faults, clear_store_faults,
     "{\"mode\": \"down\"}", true},
    {"store does not answer", set_store_faults, clear_store_faults,
     "{\"mode\": \"hang\"}", true},
    {"store slow", set_store_faults, clear_store_faults, "{\"delay_ms\": 400}",
     true},
    {"store loses answers", set_store_faults, clear_store_faults,
     "{\"lose_answers_percent\": 40}", true},
    {"configuration change", apply_base, nothing_to_clear, NULL, true},
    {"keys changed", change_keys, nothing_to_clear, NULL, true},
};
const size_t soak_fault_count = G_N_ELEMENTS(soak_faults) - 1;
