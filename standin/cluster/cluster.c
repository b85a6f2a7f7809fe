#include "internal.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define START_TIMEOUT_US (60 * BV_US_PER_S)
#define STOP_TIMEOUT_US (20 * BV_US_PER_S)
#define KILL_TIMEOUT_US (5 * BV_US_PER_S)
#define POLL_US 50000
#define PORTS_PER_INSTANCE 9
#define INSTANCE_PORTS_OFFSET 10

static void
set_error(GError **error, const char *message)
{
    g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s", message);
}

static process_t *
find_process(cluster_t *cluster, cluster_role_t role, size_t instance)
{
    if (role == CLUSTER_PLATFORM) {
        return &cluster->platform;
    }
    instance_t *selected =
        &g_array_index(cluster->instances, instance_t, instance);
    switch (role) {
    case CLUSTER_NODE:
        return &selected->node;
    case CLUSTER_LINK:
        return &selected->link;
    default:
        return &selected->target;
    }
}

static void
set_ports(instance_t *instance, uint16_t first, bool has_links)
{
    cluster_ports_t *ports = &instance->ports;
    ports->outside = first;
    ports->local = first + 1;
    ports->peer = first + 2;
    ports->gossip = first + 3;
    ports->operators = first + 4;
    ports->target = first + 5;
    ports->link_peer = has_links ? first + 6 : ports->peer;
    ports->link_gossip = has_links ? first + 7 : ports->gossip;
    ports->link_control = has_links ? first + 8 : 0;
}

static void
set_process(process_t *process, const char *role, const char *name,
            const char *program)
{
    g_snprintf(process->name, NAME_BYTES, "%s-%s", role, name);
    g_strlcpy(process->program, program, NAME_BYTES);
    process->argument_name = "--settings";
}

static void
add_instance(cluster_t *cluster, const json_t *service, size_t number)
{
    instance_t instance = {.service = service};
    size_t index_in_cluster = cluster->instances->len;
    const json_t *data_centres =
        json_object_get(cluster->deployment, "data_centres");
    instance.data_centre = json_array_get(
        data_centres, index_in_cluster % json_array_size(data_centres));
    g_snprintf(instance.name, NAME_BYTES, "%s-%zu",
               json_string_value(json_object_get(service, "name")), number);
    set_ports(&instance,
              (uint16_t)(cluster->platform_port + INSTANCE_PORTS_OFFSET +
                         index_in_cluster * PORTS_PER_INSTANCE),
              settings_has_links(cluster));
    settings_set_address(cluster, &instance);
    set_process(&instance.node, "node", instance.name,
                settings_proxy_kind(cluster) == PROXY_KIND_NAIVE
                    ? "bench/berylvane-standin-naive"
                    : "node/berylvane-node");
    set_process(&instance.target, "target", instance.name,
                "standin/berylvane-standin-target");
    set_process(&instance.link, "link", instance.name,
                "standin/berylvane-standin-link");
    g_array_append_val(cluster->instances, instance);
}

static bool
add_instances(cluster_t *cluster, GError **error)
{
    size_t index;
    json_t *service;
    json_array_foreach(json_object_get(cluster->deployment, "services"), index,
                       service) {
        json_int_t count =
            json_integer_value(json_object_get(service, "count"));
        for (json_int_t i = 1; i <= count; i++) {
            add_instance(cluster, service, (size_t)i);
        }
    }
    for (guint i = 0; i < cluster->instances->len; i++) {
        if (!settings_write(cluster,
                            &g_array_index(cluster->instances, instance_t, i),
                            error)) {
            return false;
        }
    }
    return true;
}

static bool
start_platform(cluster_t *cluster, GError **error)
{
    process_t *platform = &cluster->platform;
    g_strlcpy(platform->name, "platform", NAME_BYTES);
    g_strlcpy(platform->program, "standin/berylvane-standin-platform",
              NAME_BYTES);
    platform->argument_name = "--port";
    platform->argument = g_strdup_printf("%u", cluster->platform_port);
    return process_start(cluster, platform, error);
}

static bool
start_instance(cluster_t *cluster, instance_t *instance, GError **error)
{
    proxy_kind_t kind = settings_proxy_kind(cluster);
    if (settings_has_links(cluster) && kind != PROXY_KIND_NONE &&
        !process_start(cluster, &instance->link, error)) {
        return false;
    }
    if (kind != PROXY_KIND_NONE &&
        !process_start(cluster, &instance->node, error)) {
        return false;
    }
    return process_start(cluster, &instance->target, error);
}

static bool
start_instances(cluster_t *cluster, GError **error)
{
    for (guint i = 0; i < cluster->instances->len; i++) {
        instance_t *instance =
            &g_array_index(cluster->instances, instance_t, i);
        if (!start_instance(cluster, instance, error)) {
            return false;
        }
    }
    return true;
}

/* Waits until a port answers an HTTP request, with any status. */
static bool
wait_until_answering(uint16_t port)
{
    int64_t deadline_us = bv_clock_now_us() + START_TIMEOUT_US;
    while (bv_clock_now_us() < deadline_us) {
        bv_http_reply_t reply =
            cluster_call(port, "GET", "/standin/control", NULL, NULL);
        bool answered = reply.result == BV_HTTP_ANSWERED;
        bv_http_reply_clear(&reply);
        if (answered) {
            return true;
        }
        usleep(POLL_US);
    }
    return false;
}

static char *
document_path(const cluster_t *cluster, const json_t *name)
{
    return g_build_filename(cluster->deployment_directory,
                            json_string_value(name), NULL);
}

static bool
apply_documents(const cluster_t *cluster, GError **error)
{
    char *base =
        document_path(cluster, json_object_get(cluster->deployment, "base"));
    int status = cluster_run_ctl(cluster, "apply", "--base", base, NULL);
    g_free(base);
    const char *site;
    json_t *name;
    json_object_foreach(json_object_get(cluster->deployment, "overlays"), site,
                        name) {
        char *overlay = document_path(cluster, name);
        status |= cluster_run_ctl(cluster, "apply", "--overlay", overlay,
                                  "--site", site, NULL);
        g_free(overlay);
    }
    if (status != 0) {
        set_error(error, "berylvanectl apply failed; its output shows why");
    }
    return status == 0;
}

/* Whether a node lists as many members with slots as there are instances. */
static bool
lists_all_members(const cluster_t *cluster, size_t instance)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(cluster, instance)->operators, "GET",
                     "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    size_t index;
    json_t *member;
    size_t ready_count = 0;
    json_array_foreach(json_object_get(status, "members"), index, member) {
        ready_count +=
            json_integer_value(json_object_get(member, "slots")) > 0;
    }
    json_decref(status);
    bv_http_reply_clear(&reply);
    return ready_count >= cluster->instances->len;
}

static bool
wait_targets_and_proxies(const cluster_t *cluster, GError **error)
{
    for (size_t i = 0; i < cluster->instances->len; i++) {
        const cluster_ports_t *ports = cluster_ports(cluster, i);
        if (!wait_until_answering(ports->target) ||
            (settings_proxy_kind(cluster) == PROXY_KIND_NAIVE &&
             !wait_until_answering(ports->outside))) {
            set_error(error,
                      "a target or its proxy did not answer within 60 s");
            return false;
        }
    }
    return true;
}

static bool
wait_ready(const cluster_t *cluster, GError **error)
{
    if (settings_proxy_kind(cluster) != PROXY_KIND_NODE) {
        return wait_targets_and_proxies(cluster, error);
    }
    int64_t deadline_us = bv_clock_now_us() + START_TIMEOUT_US;
    for (size_t i = 0; i < cluster->instances->len; i++) {
        while (!cluster_wait_health(cluster, i, 200, POLL_US) ||
               !lists_all_members(cluster, i)) {
            if (bv_clock_now_us() > deadline_us) {
                set_error(error, "a node did not become ready within 60 s");
                return false;
            }
            usleep(POLL_US);
        }
    }
    return true;
}

static bool
start_all(cluster_t *cluster, GError **error)
{
    if (cluster->platform_port == 0) {
        set_error(error, "no free range of ports between 20000 and 31000");
        return false;
    }
    if (!start_platform(cluster, error)) {
        return false;
    }
    if (!wait_until_answering(cluster->platform_port)) {
        set_error(error, "the platform stand-in did not answer within 60 s");
        return false;
    }
    return apply_documents(cluster, error) && add_instances(cluster, error) &&
           start_instances(cluster, error) && wait_ready(cluster, error);
}

cluster_t *
cluster_start(const cluster_options_t *options, GError **error)
{
    cluster_t *cluster = g_new0(cluster_t, 1);
    cluster->build_directory = g_strdup(options->build_directory);
    cluster->work_directory = g_strdup(options->work_directory);
    cluster->deployment_directory = g_strdup(options->deployment_directory);
    cluster->deployment = options->deployment;
    cluster->records_directory =
        g_build_filename(options->work_directory, "records", NULL);
    cluster->instances = g_array_new(FALSE, TRUE, sizeof(instance_t));
    g_mkdir_with_parents(cluster->records_directory, 0755);
    char *base =
        document_path(cluster, json_object_get(options->deployment, "base"));
    cluster->base_document = json_load_file(base, 0, NULL);
    g_free(base);
    cluster->platform_port = ports_reserve(&cluster->port_lock_fd);
    if (cluster->platform_port != 0) {
        cluster->platform_port++;
    }
    if (!start_all(cluster, error)) {
        cluster_stop(cluster);
        return NULL;
    }
    return cluster;
}

static bool
stop_process(process_t *process)
{
    if (!process->running) {
        return true;
    }
    process_signal(process, SIGCONT);
    process_signal(process, SIGTERM);
    if (process_wait(process, STOP_TIMEOUT_US) >= 0) {
        if (process->status != 0) {
            g_printerr("%s exited with status %d\n", process->name,
                       process->status);
        }
        return process->status == 0;
    }
    g_printerr("%s did not exit within 20 s; killing the process\n",
               process->name);
    process_signal(process, SIGKILL);
    process_wait(process, KILL_TIMEOUT_US);
    return false;
}

static void
signal_all(cluster_t *cluster, cluster_role_t role, int number)
{
    for (size_t i = 0; i < cluster->instances->len; i++) {
        process_signal(find_process(cluster, role, i), number);
    }
}

bool
cluster_stop(cluster_t *cluster)
{
    bool all_nodes_clean = true;
    signal_all(cluster, CLUSTER_NODE, SIGCONT);
    signal_all(cluster, CLUSTER_NODE, SIGTERM);
    for (size_t i = 0; i < cluster->instances->len; i++) {
        all_nodes_clean &=
            stop_process(find_process(cluster, CLUSTER_NODE, i));
    }
    signal_all(cluster, CLUSTER_TARGET, SIGTERM);
    signal_all(cluster, CLUSTER_LINK, SIGTERM);
    for (size_t i = 0; i < cluster->instances->len; i++) {
        stop_process(find_process(cluster, CLUSTER_TARGET, i));
        stop_process(find_process(cluster, CLUSTER_LINK, i));
        process_clear(find_process(cluster, CLUSTER_NODE, i));
        process_clear(find_process(cluster, CLUSTER_TARGET, i));
        process_clear(find_process(cluster, CLUSTER_LINK, i));
    }
    stop_process(&cluster->platform);
    process_clear(&cluster->platform);
    close(cluster->port_lock_fd);
    g_array_unref(cluster->instances);
    json_decref(cluster->base_document);
    g_free(cluster->build_directory);
    g_free(cluster->work_directory);
    g_free(cluster->deployment_directory);
    g_free(cluster->records_directory);
    g_free(cluster);
    return all_nodes_clean;
}

size_t
cluster_size(const cluster_t *cluster)
{
    return cluster->instances->len;
}

const char *
cluster_instance_name(const cluster_t *cluster, size_t instance)
{
    return g_array_index(cluster->instances, instance_t, instance).name;
}

size_t
cluster_find_instance(const cluster_t *cluster, const char *name)
{
    for (size_t i = 0; i < cluster->instances->len; i++) {
        if (strcmp(cluster_instance_name(cluster, i), name) == 0) {
            return i;
        }
    }
    g_error("the deployment has no instance %s", name);
}

const cluster_ports_t *
cluster_ports(const cluster_t *cluster, size_t instance)
{
    return &g_array_index(cluster->instances, instance_t, instance).ports;
}

uint16_t
cluster_platform_port(const cluster_t *cluster)
{
    return cluster->platform_port;
}

const char *
cluster_records_directory(const cluster_t *cluster)
{
    return cluster->records_directory;
}

void
cluster_signal(cluster_t *cluster, cluster_role_t role, size_t instance,
               int number)
{
    process_signal(find_process(cluster, role, instance), number);
}

pid_t
cluster_pid(cluster_t *cluster, cluster_role_t role, size_t instance)
{
    const process_t *process = find_process(cluster, role, instance);
    return process->running ? process->pid : 0;
}

int
cluster_wait_exit(cluster_t *cluster, cluster_role_t role, size_t instance,
                  int64_t timeout_us)
{
    return process_wait(find_process(cluster, role, instance), timeout_us);
}

bool
cluster_restart(cluster_t *cluster, cluster_role_t role, size_t instance,
                GError **error)
{
    return process_start(cluster, find_process(cluster, role, instance),
                         error);
}

bool
cluster_wait_health(const cluster_t *cluster, size_t instance, uint16_t status,
                    int64_t timeout_us)
{
    int64_t deadline_us = bv_clock_now_us() + timeout_us;
    uint16_t port = cluster_ports(cluster, instance)->operators;
    for (;;) {
        bv_http_reply_t reply =
            cluster_call(port, "GET", "/health", NULL, NULL);
        uint16_t received_status = reply.status;
        bv_http_reply_clear(&reply);
        if (received_status == status) {
            return true;
        }
        if (bv_clock_now_us() >= deadline_us) {
            return false;
        }
        usleep(POLL_US);
    }
}
