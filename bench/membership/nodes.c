#include "berylvane/common/clock.h"
#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"
#include "berylvane/standin/cluster.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * Starts node processes without load and prints the cost per node: processor
 * time, resident memory, gossip bytes, and reads and writes of the store.
 * Arguments: build folder, work folder, base document, number of nodes,
 * seconds of the measurement.
 */

/* The name of a node's process in /proc/PID/stat. */
#define NODE_PROCESS_NAME "(berylvane-node)"
/* Time for starting nodes to join before the measurement. */
#define SETTLE_US (20 * BV_US_PER_S)
#define NODES_LIMIT 10000
#define SECONDS_LIMIT 3600

/*
 * Sums over all nodes: resident memory at the time of the measurement, and
 * processor time, gossip bytes and store accesses since the nodes' start.
 */
typedef struct {
    uint32_t nodes;
    double processor_us;
    double resident_bytes;
    double sent_bytes;
    double received_bytes;
    double store_reads;
    double store_writes;
} cost_t;

/*
 * Adds a process's numbers when it is a node that this process started. The
 * fields of /proc/PID/stat after the process's name are counted from 0: 1 is
 * the parent's process id, 11 and 12 are user and system time in clock ticks,
 * and 21 is the resident memory in pages.
 */
static void
add_process(cost_t *cost, const char *pid)
{
    char *path = g_strdup_printf("/proc/%s/stat", pid);
    char *text = NULL;
    bool found = g_file_get_contents(path, &text, NULL, NULL);
    g_free(path);
    if (!found || strstr(text, NODE_PROCESS_NAME) == NULL) {
        g_free(text);
        return;
    }
    char **fields = g_strsplit(strchr(text, ')') + 2, " ", -1);
    if (atoi(fields[1]) == getpid()) {
        double ticks = g_ascii_strtod(fields[11], NULL) +
                       g_ascii_strtod(fields[12], NULL);
        cost->nodes++;
        cost->processor_us +=
            ticks * BV_US_PER_S / (double)sysconf(_SC_CLK_TCK);
        cost->resident_bytes +=
            g_ascii_strtod(fields[21], NULL) * (double)sysconf(_SC_PAGESIZE);
    }
    g_strfreev(fields);
    g_free(text);
}

static double
read_counter(const cluster_t *cluster, size_t instance, const char *name)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(cluster, instance)->operators, "GET",
                     "/metrics", NULL, NULL);
    gsize size;
    const char *data = g_bytes_get_data(reply.body, &size);
    char *text = g_strndup(data, size);
    char *line = g_strdup_printf("\nberylvane_%s_total ", name);
    const char *found = strstr(text, line);
    double value =
        found != NULL ? g_ascii_strtod(found + strlen(line), NULL) : 0;
    g_free(line);
    g_free(text);
    bv_http_reply_clear(&reply);
    return value;
}

static cost_t
measure(const cluster_t *cluster)
{
    cost_t cost = {0};
    for (size_t i = 0; i < cluster_size(cluster); i++) {
        cost.sent_bytes += read_counter(cluster, i, "gossip_sent_bytes");
        cost.received_bytes +=
            read_counter(cluster, i, "gossip_received_bytes");
        cost.store_reads += read_counter(cluster, i, "platform_reads");
        cost.store_writes += read_counter(cluster, i, "platform_writes");
    }
    GDir *dir = g_dir_open("/proc", 0, NULL);
    for (const char *name = g_dir_read_name(dir); name != NULL;
         name = g_dir_read_name(dir)) {
        if (g_ascii_isdigit(name[0])) {
            add_process(&cost, name);
        }
    }
    g_dir_close(dir);
    return cost;
}

static json_t *
build_deployment(const char *base, int nodes)
{
    json_t *data_centres = json_array();
    for (int i = 0; i < 6; i++) {
        char name[8];
        char region[8];
        g_snprintf(name, sizeof(name), "d%d", i);
        g_snprintf(region, sizeof(region), "r%d", i % 3);
        json_array_append_new(data_centres, json_pack("{s:s, s:s}", "name",
                                                      name, "region", region));
    }
    return json_pack("{s:o, s:{s:i}, s:[{s:s, s:i, s:{s:i, s:i}}], s:s}",
                     "data_centres", data_centres, "node", "trace_percent", 0,
                     "services", "name", "stock", "count", nodes, "target",
                     "slots", 8, "service_us", 1000, "base", base);
}

int
main(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr,
                "usage: %s BUILD WORK BASE NODES SECONDS\n"
                "  BUILD    folder where the programs are built\n"
                "  WORK     existing folder for settings and logs\n"
                "  BASE     absolute path of the base document\n"
                "  NODES    number of nodes to start\n"
                "  SECONDS  length of the measurement\n",
                argv[0]);
        return BV_EXIT_USAGE;
    }
    int nodes = (int)bv_number_option("NODES", argv[4], 1, NODES_LIMIT);
    int seconds = (int)bv_number_option("SECONDS", argv[5], 1, SECONDS_LIMIT);
    bv_program_start();
    GError *error = NULL;
    json_t *deployment = build_deployment(argv[3], nodes);
    cluster_options_t options = {argv[1], argv[2], deployment, "/"};
    cluster_t *cluster = cluster_start(&options, &error);
    if (cluster == NULL) {
        fprintf(stderr, "cannot start the nodes: %s\n", error->message);
        return BV_EXIT_FAILED;
    }
    usleep(SETTLE_US);
    cost_t before = measure(cluster);
    usleep((useconds_t)seconds * BV_US_PER_S);
    cost_t after = measure(cluster);
    double node_s = (double)after.nodes * seconds;
    printf("nodes=%u processor_us_s=%.0f resident_bytes=%.0f sent_s=%.0f "
           "received_s=%.0f store_reads_s=%.3f store_writes_s=%.4f\n",
           after.nodes, (after.processor_us - before.processor_us) / node_s,
           after.resident_bytes / after.nodes,
           (after.sent_bytes - before.sent_bytes) / node_s,
           (after.received_bytes - before.received_bytes) / node_s,
           (after.store_reads - before.store_reads) / node_s,
           (after.store_writes - before.store_writes) / node_s);
    cluster_stop(cluster);
    json_decref(deployment);
    return BV_EXIT_OK;
}
