#include "internal.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define CONTROL_PATH "/standin/control"
#define PLATFORM_CONTROL_PATH "/control"
#define RESTART_TIMEOUT_US (30 * BV_US_PER_S)

static const char *
text_of(const json_t *entry, const char *key)
{
    const char *text = json_string_value(json_object_get(entry, key));
    return text != NULL ? text : "";
}

/* An entry applies to one instance ("stores-1") or to all of a service. */
static bool
applies_to_instance(const instance_t *instance, const json_t *entry)
{
    const char *service = text_of(instance->service, "name");
    return strcmp(text_of(entry, "instance"), instance->name) == 0 ||
           strcmp(text_of(entry, "service"), service) == 0;
}

static void
stop_and_wait(cluster_t *cluster, cluster_role_t role, size_t instance_index)
{
    cluster_signal(cluster, role, instance_index, SIGTERM);
    cluster_wait_exit(cluster, role, instance_index, RESTART_TIMEOUT_US);
}

/*
 * Restarts an instance as a planned replacement does: the node leaves the
 * cluster and exits before its target ends.
 */
static void
restart_instance(cluster_t *cluster, size_t instance_index)
{
    bool has_node = settings_proxy_kind(cluster) != PROXY_KIND_NONE;
    if (has_node) {
        stop_and_wait(cluster, CLUSTER_NODE, instance_index);
    }
    stop_and_wait(cluster, CLUSTER_TARGET, instance_index);
    cluster_restart(cluster, CLUSTER_TARGET, instance_index, NULL);
    if (has_node) {
        cluster_restart(cluster, CLUSTER_NODE, instance_index, NULL);
    }
    if (settings_proxy_kind(cluster) == PROXY_KIND_NODE) {
        cluster_wait_health(cluster, instance_index, 200, RESTART_TIMEOUT_US);
    }
}

static void
run_entry_on_instance(cluster_t *cluster, const json_t *entry,
                      size_t instance_index)
{
    const instance_t *instance =
        &g_array_index(cluster->instances, instance_t, instance_index);
    if (!applies_to_instance(instance, entry)) {
        return;
    }
    if (json_is_true(json_object_get(entry, "restart"))) {
        restart_instance(cluster, instance_index);
        return;
    }
    bool is_for_link = strcmp(text_of(entry, "process"), "link") == 0;
    uint16_t port =
        is_for_link ? instance->ports.link_control : instance->ports.target;
    char *text = json_dumps(json_object_get(entry, "control"), 0);
    if (!cluster_set_faults(port, CONTROL_PATH, text)) {
        g_printerr("%s: scheduled control request failed, continuing: %s\n",
                   instance->name, text);
    }
    free(text);
}

static void
run_entry(cluster_t *cluster, const json_t *entry)
{
    if (strcmp(text_of(entry, "process"), "platform") == 0) {
        char *text = json_dumps(json_object_get(entry, "control"), 0);
        cluster_set_faults(cluster->platform_port, PLATFORM_CONTROL_PATH,
                           text);
        free(text);
        return;
    }
    for (guint i = 0; i < cluster->instances->len; i++) {
        run_entry_on_instance(cluster, entry, i);
    }
}

void
schedule_run(cluster_t *cluster)
{
    int64_t started_us = bv_clock_now_us();
    size_t index;
    json_t *entry;
    json_array_foreach(json_object_get(cluster->deployment, "schedule"), index,
                       entry) {
        int64_t at_ms = json_integer_value(json_object_get(entry, "at_ms"));
        int64_t remaining_us =
            started_us + at_ms * BV_US_PER_MS - bv_clock_now_us();
        if (remaining_us > 0) {
            usleep((useconds_t)remaining_us);
        }
        run_entry(cluster, entry);
    }
}
