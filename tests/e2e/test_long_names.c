#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <stdlib.h>

/*
 * Guards against a configuration that is rejected as a whole for a long name,
 * and against a service that cannot be reached because its name is cut in
 * memory, in gossip or in the members table.
 */
#define NAME_BYTES 200
#define TOO_LONG_BYTES 201
#define PREFIX_BYTES 300

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

static char *
build_config(const char *service, const char *prefix, const char *too_long)
{
    return g_strdup_printf(
        "{\"Version\":\"r1\",\"Services\":[{\"Name\":\"front\"},{\"Name\":"
        "\"%s\"},{\"Name\":\"%s\"}],\"VirtualHosts\":[{\"Hostname\":"
        "\"h.example\",\"Paths\":["
        "{\"Name\":\"one\",\"Prefix\":\"/a/\",\"Type\":\"safe\","
        "\"TimeoutMs\":3000,\"Service\":\"%s\"},"
        "{\"Name\":\"two\",\"Prefix\":\"/%s/\",\"Type\":\"safe\","
        "\"TimeoutMs\":3000,\"Service\":\"%s\"},"
        "{\"Name\":\"three\",\"Prefix\":\"/b/\",\"Type\":\"safe\","
        "\"TimeoutMs\":3000,\"Service\":\"%s\"}]}]}",
        service, too_long, service, prefix, service, too_long);
}

START_TEST(test_long_names)
{
    apr_pool_t *pool = bv_program_start();
    char *service = g_strnfill(NAME_BYTES, 's');
    char *too_long = g_strnfill(TOO_LONG_BYTES, 's');
    char *prefix = g_strnfill(PREFIX_BYTES, 'p');
    char *config = build_config(service, prefix, too_long);
    char *path = g_strdup_printf("/%s/1", prefix);
    atexit(kill_remaining);
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, service);
    platform_wait_for_store(&fixture);
    platform_write_row(&fixture, "op", "config", config);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, path, ""), 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/b/1", ""), 404);
    platform_stop(&fixture);
    g_free(path);
    g_free(config);
    g_free(prefix);
    g_free(too_long);
    g_free(service);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"long_names", test_long_names, 1},
                                    {NULL}};
    return support_run("long_names", tests);
}
