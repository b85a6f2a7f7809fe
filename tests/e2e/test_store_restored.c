#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <stdlib.h>

#define NODES 2
/* Versions that the store gives out after the copy and then loses. */
#define OTHER_WRITES 40

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

static const struct {
    const char *restore;
    size_t writes_before_query;
} restore_cases[] = {
    /* Watches outlive the restore; the store gets past their versions. */
    {"{\"restore\": true, \"hold_watches\": true}", 2 * OTHER_WRITES},
    /* Watches outlive the restore; the store does not get that far. */
    {"{\"restore\": true, \"hold_watches\": true}", 0},
    /* The connections of watches are closed. */
    {"{\"restore\": true}", 2 * OTHER_WRITES},
};

/*
 * Guards against nodes that never see a change whose version the store had
 * issued before it went back to a copy.
 */
START_TEST(test_versions_given_out_again)
{
    kill_remaining();
    fixture = (platform_fixture_t){0};
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_config(&fixture, 1, "/a/");
    wait_at_all_nodes("/a/1");
    platform_control(&fixture, "{\"copy\": true}");
    platform_write_other_rows(&fixture, OTHER_WRITES);
    int64_t known = platform_write_config(&fixture, 2, "/b/");
    wait_at_all_nodes("/b/1");
    platform_control(&fixture, restore_cases[_i].restore);
    ck_assert_int_le(platform_write_config(&fixture, 3, "/c/"), known);
    int64_t newest = platform_write_other_rows(
        &fixture, restore_cases[_i].writes_before_query);
    ck_assert(restore_cases[_i].writes_before_query == 0 || newest > known);
    platform_control(&fixture, "{\"hold_watches\": false}");
    wait_at_all_nodes("/c/1");
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"versions_given_out_again",
                                     test_versions_given_out_again,
                                     G_N_ELEMENTS(restore_cases)},
                                    {NULL}};
    bv_program_start();
    atexit(kill_remaining);
    return support_run("store_restored", tests);
}
