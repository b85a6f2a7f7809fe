#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <stdlib.h>

#define NODES 2

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

static void
wait_at_all_nodes(const char *path)
{
    for (size_t i = 0; i < NODES; i++) {
        platform_wait_for_status(&fixture, i, path, 200);
    }
}

/*
 * Guards against nodes that never see a change that is written after their
 * connections to the store became half-open.
 */
START_TEST(test_change_after_silence)
{
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_config(&fixture, 1, "/a/");
    wait_at_all_nodes("/a/1");
    platform_control(&fixture, "{\"silence\": true}");
    platform_write_config(&fixture, 2, "/b/");
    wait_at_all_nodes("/b/1");
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"change_after_silence", test_change_after_silence, 1}, {NULL}};
    bv_program_start();
    atexit(kill_remaining);
    return support_run("store_silent", tests);
}
