#include "berylvane/common/clock.h"
#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"
#include "berylvane/peer/message.h"

#include "../../tests/member_cluster.h"

#include <argp.h>
#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>

/*
 * Runs many memberships (core/membership) in one process on a simulated
 * network and prints the cost per member: processor time, memory, packets and
 * bytes.
 */
#define DATA_CENTRES 18
#define REGIONS 7
#define SECOND_US 1000000
#define MAC_BYTES 16
#define IP_UDP_HEADER_BYTES 28

const char *argp_program_version = "berylvane-bench-membership " BV_VERSION;

#define MEMBERS_LIMIT 100000
#define SECONDS_LIMIT 86400

typedef struct {
    uint32_t members;
    uint32_t warm_s;
    uint32_t seconds;
    guint32 seed;
    uint32_t restarts;
} arguments_t;

/*
 * Bytes sent since the measurement began: packets, their message
 * authentication codes (MAC_BYTES each), and IPv4 and UDP headers.
 */
static uint64_t bytes_sent;

static const struct argp_option options[] = {
    {"members", 'm', "NUMBER", 0, "number of members (default: 100)", 0},
    {"warm", 'w', "SECONDS", 0,
     "virtual time before the measurement (default: 60)", 0},
    {"seconds", 't', "SECONDS", 0,
     "virtual time of the measurement (default: 30)", 0},
    {"seed", 's', "NUMBER", 0, "seed of the simulation (default: 1)", 0},
    {"restarts", 'r', "NUMBER", 0,
     "members restarted when the measurement begins (default: 0)", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 'm':
        arguments->members =
            (uint32_t)bv_number_option("--members", text, 1, MEMBERS_LIMIT);
        return 0;
    case 'w':
        arguments->warm_s =
            (uint32_t)bv_number_option("--warm", text, 0, SECONDS_LIMIT);
        return 0;
    case 't':
        arguments->seconds =
            (uint32_t)bv_number_option("--seconds", text, 1, SECONDS_LIMIT);
        return 0;
    case 's':
        arguments->seed =
            (guint32)bv_number_option("--seed", text, 0, G_MAXUINT32);
        return 0;
    case 'r':
        arguments->restarts =
            (uint32_t)bv_number_option("--restarts", text, 0, G_MAXINT32);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Measures the membership protocol with many members in one "
           "process.",
};

static void
on_send(member_cluster_t *cluster, const bv_member_t *from,
        const bv_gossip_packet_t *packet)
{
    uint8_t buffer[BV_GOSSIP_BYTES];
    (void)cluster;
    bytes_sent += bv_gossip_encode(from, packet, buffer) + MAC_BYTES +
                  IP_UDP_HEADER_BYTES;
}

/* Returns this process's processor time in user mode. */
static int64_t
processor_us(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (int64_t)usage.ru_utime.tv_sec * SECOND_US + usage.ru_utime.tv_usec;
}

static void
print_report(const arguments_t *arguments, const member_cluster_t *cluster,
             int64_t used_us, size_t heap_bytes)
{
    double member_s = (double)arguments->members * arguments->seconds;
    const member_totals_t *totals = &cluster->totals;
    printf("members=%u restarts=%u packets_s=%.2f bytes_s=%.0f records=%.2f "
           "out_of_data_centre=%.3f out_of_region=%.3f syncs_s=%.4f "
           "processor_us_s=%.1f heap_bytes=%zu wrong_views=%u\n",
           arguments->members, arguments->restarts,
           (double)totals->packets / member_s, (double)bytes_sent / member_s,
           (double)totals->records / (double)totals->packets,
           (double)totals->crossed_data_centre / (double)totals->packets,
           (double)totals->crossed_region / (double)totals->packets,
           (double)totals->syncs / member_s, (double)used_us / member_s,
           heap_bytes / arguments->members,
           member_cluster_count_wrong_views(cluster));
}

/*
 * Makes `count` restarts, beginning with the members of one data centre:
 * member i is in data centre i % DATA_CENTRES. If DATA_CENTRES divides the
 * number of members, only members of that data centre restart, and more than
 * once if `count` exceeds their number.
 */
static void
restart_members(member_cluster_t *cluster, uint32_t count)
{
    uint32_t nodes = cluster->options.nodes;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t number = i * DATA_CENTRES % nodes;
        member_node_crash(&cluster->nodes[number]);
        member_node_start(&cluster->nodes[number]);
    }
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {
        .members = 100, .warm_s = 60, .seconds = 30, .seed = 1};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    size_t heap_before = mallinfo2().uordblks;
    member_cluster_options_t cluster_options = {
        .seed = arguments.seed,
        .nodes = arguments.members,
        .data_centres = DATA_CENTRES,
        .regions = REGIONS,
        .probe_interval_us = SECOND_US,
        .suspect_timeout_us = 5 * SECOND_US,
        .forget_after_us = 7200 * (int64_t)SECOND_US,
        .starts_joined = true,
    };
    member_cluster_t *cluster = member_cluster_create(&cluster_options);
    member_cluster_run(cluster, arguments.warm_s * (int64_t)SECOND_US,
                       G_MAXUINT64);
    size_t heap_bytes = mallinfo2().uordblks - heap_before;
    cluster->totals = (member_totals_t){0};
    cluster->on_send = on_send;
    restart_members(cluster, arguments.restarts);
    int64_t before_us = processor_us();
    member_cluster_run(cluster, arguments.seconds * (int64_t)SECOND_US,
                       G_MAXUINT64);
    print_report(&arguments, cluster, processor_us() - before_us, heap_bytes);
    member_cluster_destroy(cluster);
    return 0;
}
