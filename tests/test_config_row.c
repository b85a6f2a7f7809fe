#include "berylvane/common/clock.h"
#include "berylvane/common/program.h"
#include "berylvane/node/configs.h"
#include "berylvane/node/node.h"
#include "berylvane/platform/dialect.h"

#include "raw_server.h"
#include "support.h"

/*
 * Guards against a node that hears of a configuration, gets it from no member,
 * and then looks for it where the store does not hold it.
 */
#define GENERATION 5
#define MEMBERS_LIMIT 4
#define RING_CAPACITY 4
#define STORE_TIMEOUT_US (60 * BV_US_PER_S)
/* An answer that the node does not use. */
#define REFUSAL "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"

static const struct {
    bool is_platform;
    const char *request;
} dialect_cases[] = {
    {true, "GET /v1/rows-get?"},
    {false, "GET /v1/blob-get/"},
};

typedef struct {
    bv_settings_t settings;
    bv_node_t node;
    apr_pool_t *pool;
    raw_server_t *server;
} fixture_t;

static void
open_store(fixture_t *fixture)
{
    static const raw_reply_t reply = {.bytes = REFUSAL};
    const raw_server_options_t server_options = {&reply, 1};
    fixture->server = raw_server_start(&server_options);
    char *url = g_strdup_printf("http://127.0.0.1:%u",
                                raw_server_port(fixture->server));
    const bv_store_options_t options = {
        .url = url,
        .timeout_us = STORE_TIMEOUT_US,
        .ring_capacity = RING_CAPACITY,
    };
    fixture->node.store = bv_store_start(fixture->pool, &options);
    g_free(url);
}

/* Creates the parts of a node that look for its configuration. */
static void
fixture_open(fixture_t *fixture, bool is_platform)
{
    bv_node_t *node = &fixture->node;
    fixture->pool = bv_program_start();
    fixture->settings.name = "self";
    node->settings = &fixture->settings;
    node->dialect = is_platform ? bv_platform_dialect(&fixture->settings)
                                : &bv_own_dialect;
    node->random = g_rand_new_with_seed(1);
    node->now_us = BV_US_PER_S;
    const bv_membership_options_t options = {
        .self = {.name = "self"},
        .members_limit = MEMBERS_LIMIT,
        .random = node->random,
    };
    node->membership = bv_membership_create(&options);
    open_store(fixture);
    bv_configs_create(node);
}

static void
fixture_close(fixture_t *fixture)
{
    bv_config_fetcher_destroy(fixture->node.config_fetcher);
    bv_store_stop(fixture->node.store);
    raw_server_stop(fixture->server);
    bv_membership_destroy(fixture->node.membership);
    g_rand_free(fixture->node.random);
    bv_program_stop(fixture->pool);
}

/* The member that reports the version cannot be asked. */
START_TEST(test_store_is_asked_where_it_holds_the_configuration)
{
    fixture_t fixture = {0};
    const bv_config_version_t version = {.generation = GENERATION,
                                         .digest = 1};
    fixture_open(&fixture, dialect_cases[_i].is_platform);
    bv_configs_handle_version(&fixture.node, &version, "gone");
    char *request = raw_server_wait_for_request(fixture.server);
    fixture_close(&fixture);
    ck_assert_ptr_nonnull(request);
    ck_assert_msg(g_str_has_prefix(request, dialect_cases[_i].request), "%s",
                  request);
    g_free(request);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"store_is_asked_where_it_holds_the_configuration",
         test_store_is_asked_where_it_holds_the_configuration,
         G_N_ELEMENTS(dialect_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_row", tests);
}
