#include "internal.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOPBACK "127.0.0.1"
#define PORT_FIRST 20000
#define PORT_LAST 31000
#define PORTS_PER_CLUSTER 1000
#define GOSSIP_KEY                                                            \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define TICKET_KEY                                                            \
    "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"
#define OPERATOR_TOKEN "demo-token"

uint16_t
ports_reserve(int *lock_fd)
{
    for (int first = PORT_FIRST; first < PORT_LAST;
         first += PORTS_PER_CLUSTER) {
        struct sockaddr_in address = {
            .sin_family = AF_INET,
            .sin_port = htons((uint16_t)first),
            .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        };
        *lock_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind(*lock_fd, (struct sockaddr *)&address, sizeof(address)) ==
                0 &&
            listen(*lock_fd, 1) == 0) {
            return (uint16_t)first;
        }
        close(*lock_fd);
    }
    return 0;
}

static char *
write_json(const cluster_t *cluster, const char *name, json_t *json,
           GError **error)
{
    char *path = g_strdup_printf("%s/%s.json", cluster->work_directory, name);
    char *text = json_dumps(json, JSON_INDENT(2));
    bool is_written = g_file_set_contents(path, text, -1, error);
    free(text);
    json_decref(json);
    if (!is_written) {
        g_clear_pointer(&path, g_free);
    }
    return path;
}

bool
settings_has_links(const cluster_t *cluster)
{
    return json_is_true(json_object_get(cluster->deployment, "links"));
}

/* The index of the first data centre in the region of `data_centre`. */
static size_t
region_index(const cluster_t *cluster, const json_t *data_centre)
{
    const char *region =
        json_string_value(json_object_get(data_centre, "region"));
    size_t index;
    json_t *other;
    json_array_foreach(json_object_get(cluster->deployment, "data_centres"),
                       index, other) {
        if (strcmp(region,
                   json_string_value(json_object_get(other, "region"))) == 0) {
            break;
        }
    }
    return index;
}

void
settings_set_address(const cluster_t *cluster, instance_t *instance)
{
    if (!settings_has_links(cluster)) {
        g_strlcpy(instance->address, LOOPBACK, ADDRESS_BYTES);
        return;
    }
    g_snprintf(instance->address, ADDRESS_BYTES, "127.0.%zu.1",
               region_index(cluster, instance->data_centre) + 1);
}

static json_t *
link_settings(const cluster_t *cluster, const instance_t *instance)
{
    const cluster_ports_t *ports = &instance->ports;
    json_t *settings = json_pack(
        "{s:s, s:i, s:i, s:[{s:s, s:i, s:i}, {s:s, s:i, s:i}]}", "address",
        instance->address, "control_port", ports->link_control, "seed",
        ports->link_control, "relays", "protocol", "tcp", "port",
        ports->link_peer, "to_port", ports->peer, "protocol", "udp", "port",
        ports->link_gossip, "to_port", ports->gossip);
    json_t *faults = json_object_get(cluster->deployment, "link");
    if (faults != NULL) {
        json_object_set(settings, "faults", faults);
    }
    return settings;
}

static json_t *
node_settings(const cluster_t *cluster, const instance_t *instance)
{
    const json_t *data_centre = instance->data_centre;
    char platform[64];
    g_snprintf(platform, sizeof(platform), "http://127.0.0.1:%u",
               cluster->platform_port);
    const cluster_ports_t *ports = &instance->ports;
    json_t *settings = json_pack(
        "{s:s, s:O, s:O, s:s, s:i, s:i, s:i, s:i, s:i, s:s, s:s, s:s, s:s, "
        "s:s}",
        "name", instance->name, "data_centre",
        json_object_get(data_centre, "name"), "region",
        json_object_get(data_centre, "region"), "address", instance->address,
        "outside_port", ports->outside, "local_port", ports->local,
        "peer_port", ports->peer, "gossip_port", ports->gossip,
        "operator_port", ports->operators, "platform_url", platform,
        "collector_url", platform, "operator_token", OPERATOR_TOKEN,
        "gossip_key", GOSSIP_KEY, "ticket_key", TICKET_KEY);
    if (settings_has_links(cluster)) {
        json_t *link_addresses =
            json_pack("{s:s, s:i, s:i}", "outside_address", LOOPBACK,
                      "advertised_peer_port", ports->link_peer,
                      "advertised_gossip_port", ports->link_gossip);
        json_object_update(settings, link_addresses);
        json_decref(link_addresses);
    }
    json_object_update(settings, json_object_get(cluster->deployment, "node"));
    json_object_update(settings, json_object_get(instance->service, "node"));
    return settings;
}

/* Makes a target call the other targets directly, without proxies. */
static void
set_direct_calls(const cluster_t *cluster, json_t *settings)
{
    json_t *calls = json_deep_copy(json_object_get(settings, "calls"));
    size_t index;
    json_t *call;
    if (calls == NULL) {
        return;
    }
    json_array_foreach(calls, index, call) {
        const char *path = json_string_value(json_object_get(call, "path"));
        json_object_set_new(call, "to",
                            settings_service_addresses(cluster, path));
    }
    json_object_set_new(settings, "calls", calls);
}

static json_t *
target_settings(const cluster_t *cluster, const instance_t *instance)
{
    const json_t *service = instance->service;
    char *record =
        g_strdup_printf("%s/%s", cluster->records_directory, instance->name);
    json_t *settings =
        json_pack("{s:O, s:i, s:i, s:s, s:i}", "service",
                  json_object_get(service, "name"), "port",
                  instance->ports.target, "node_port", instance->ports.local,
                  "record_file", record, "seed", instance->ports.target);
    g_free(record);
    json_object_update(settings, json_object_get(service, "target"));
    if (settings_proxy_kind(cluster) == PROXY_KIND_NONE) {
        set_direct_calls(cluster, settings);
    }
    return settings;
}

bool
settings_write(const cluster_t *cluster, instance_t *instance, GError **error)
{
    if (settings_has_links(cluster)) {
        instance->link.argument =
            write_json(cluster, instance->link.name,
                       link_settings(cluster, instance), error);
        if (instance->link.argument == NULL) {
            return false;
        }
    }
    json_t *node = settings_proxy_kind(cluster) == PROXY_KIND_NAIVE
                       ? settings_naive_proxy(cluster, instance)
                       : node_settings(cluster, instance);
    instance->node.argument =
        write_json(cluster, instance->node.name, node, error);
    if (instance->node.argument == NULL) {
        return false;
    }
    instance->target.argument =
        write_json(cluster, instance->target.name,
                   target_settings(cluster, instance), error);
    return instance->target.argument != NULL;
}
