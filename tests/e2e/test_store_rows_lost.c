#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <jansson.h>
#include <stdlib.h>
#include <unistd.h>

/*
 * So many nodes that each reads the others' rows only once in a rendezvous
 * period, which is longer than the test.
 */
#define NODES 5
#define RENDEZVOUS_MS 3600000
#define POLL_US 20000
/* Nodes that knew fewer members read the rows again within about a second. */
#define LAST_READ_US (3 * BV_US_PER_S)

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

static size_t
member_count(size_t node_index)
{
    bv_http_reply_t reply = platform_request(
        fixture.nodes[node_index].ports[PLATFORM_PORT_OPERATORS], "GET",
        "/status", NULL, NULL);
    gsize size = 0;
    const char *text =
        reply.body != NULL ? g_bytes_get_data(reply.body, &size) : NULL;
    json_t *status = text != NULL ? json_loadb(text, size, 0, NULL) : NULL;
    size_t count = json_array_size(json_object_get(status, "members"));
    json_decref(status);
    bv_http_reply_clear(&reply);
    return count;
}

static void
wait_for_members(size_t node_index, size_t count)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (member_count(node_index) < count) {
        ck_assert_msg(bv_clock_now_us() < end_us,
                      "node %zu knows %zu members, not %zu", node_index,
                      member_count(node_index), count);
        usleep(POLL_US);
    }
}

/*
 * Guards against nodes whose rows are lost with what the store loses, so that
 * a node that starts later finds no other.
 */
START_TEST(test_new_node_finds_others)
{
    fixture.rendezvous_ms = RENDEZVOUS_MS;
    platform_start_store(&fixture);
    platform_wait_for_store(&fixture);
    platform_control(&fixture, "{\"copy\": true}");
    platform_write_config(&fixture, 1, "/a/");
    for (size_t i = 0; i < NODES; i++) {
        platform_start_node(&fixture, "back");
    }
    for (size_t i = 0; i < NODES; i++) {
        wait_for_members(i, NODES);
    }
    usleep(LAST_READ_US);
    platform_control(&fixture, "{\"restore\": true}");
    platform_write_config(&fixture, 1, "/a/");
    size_t newcomer = platform_start_node(&fixture, "front");
    wait_for_members(newcomer, NODES + 1);
    platform_wait_for_status(&fixture, newcomer, "/a/1", 200);
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"new_node_finds_others", test_new_node_finds_others, 1}, {NULL}};
    bv_program_start();
    atexit(kill_remaining);
    return support_run("store_rows_lost", tests);
}
