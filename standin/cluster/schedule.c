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

/* An entry names one instance ("stores-1") or all of a service. */
static bool
is_meant(const instance_t *instance, const json_t *entry)
{
    const char *service = text_of(instance->service, "name");
    return strcmp(text_of(entry, "instance"), instance->name) == 0 ||
           strcmp(text_of(entry, "service"), service) == 0;
}

static void
stop_one(cluster_t *cluster, cluster_role_t role, size_t place)
{
    cluster_signal(cluster, role, place, SIGTERM);
    cluster_wait_exit(cluster, role, place, RESTART_TIMEOUT_US);
}

/* A planned replacement: the node leaves first, then its target ends. */
static void
restart(cluster_t *cluster, size_t place)
{
    bool has_node = settings_proxy_kind(cluster) != PROXY_KIND_NONE;
    if (has_node) {
        stop_one(cluster, CLUSTER_NODE, place);
    }
    stop_one(cluster, CLUSTER_TARGET, place);
    cluster_restart(cluster, CLUSTER_TARGET, place, NULL);
    if (has_node) {
        cluster_restart(cluster, CLUSTER_NODE, place, NULL);
    }
    if (settings_proxy_kind(cluster) == PROXY_KIND_NODE) {
        cluster_wait_health(cluster, place, 200, RESTART_TIMEOUT_US);
    }
}

static void
run_on(cluster_t *cluster, const json_t *entry, size_t place)
{
    const instance_t *instance =
        &g_array_index(cluster->instances, instance_t, place);
    if (!is_meant(instance, entry)) {
        return;
    }
    if (json_is_true(json_object_get(entry, "restart"))) {
        restart(cluster, place);
        return;
    }
    bool on_link = strcmp(text_of(entry, "process"), "link") == 0;
    uint16_t port =
        on_link ? instance->ports.link_control : instance->ports.target;
    char *text = json_dumps(json_object_get(entry, "control"), 0);
    if (!cluster_set_faults(port, CONTROL_PATH, text)) {
        g_printerr("%s: scheduled control failed: %s\n", instance->name, text);
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
        run_on(cluster, entry, i);
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
        int64_t left_us =
            started_us + at_ms * BV_US_PER_MS - bv_clock_now_us();
        if (left_us > 0) {
            usleep((useconds_t)left_us);
        }
        run_entry(cluster, entry);
    }
}
