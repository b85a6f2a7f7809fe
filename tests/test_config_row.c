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

/*
 * Rows that are read again, as after each query that failed. Guards against a
 * large configuration that is translated again each time, and against a row
 * that is passed over although its configuration is not in force.
 */
typedef struct {
    int64_t first_era;
    int64_t second_era;
    json_int_t second_revision;
    uint32_t translations;
    bool is_adopted;
} reread_case_t;

static const reread_case_t reread_cases[] = {
    {3, 3, 7, 1, true}, {3, 3, 8, 2, true}, {3, 4, 7, 2, true},
    {0, 0, 7, 2, true}, {3, 0, 7, 2, true}, {3, 3, 7, 2, false},
};

typedef struct {
    bool is_adopted;
    uint32_t translations;
} reread_t;

static json_t *
count_translation(void *context, const json_t *value, bv_findings_t *findings)
{
    reread_t *reread = context;
    (void)value;
    (void)findings;
    reread->translations++;
    return json_pack("{s:i}", "generation", GENERATION);
}

static bool
adopt(void *context, const bv_config_version_t *version, GBytes *body)
{
    const reread_t *reread = context;
    (void)version;
    (void)body;
    return reread->is_adopted;
}

static void
handle_row(bv_node_t *node, json_int_t revision, int64_t era)
{
    json_t *rows = json_pack("[{s:s, s:I, s:{}}]", "key", "t/config",
                             "revision", revision, "value");
    bv_config_watch_handle_rows(node, rows, era);
    json_decref(rows);
}

START_TEST(test_row_in_force_is_not_translated_again)
{
    static const bv_config_source_t source = {"t/config", count_translation};
    static const bv_config_fetcher_ops_t ops = {.adopt = adopt};
    const reread_case_t *row = &reread_cases[_i];
    reread_t reread = {.is_adopted = row->is_adopted};
    const bv_dialect_t dialect = {.config_source = &source,
                                  .context = &reread};
    const bv_config_fetcher_options_t fetcher = {.ops = &ops,
                                                 .context = &reread};
    fixture_t fixture = {0};
    bv_node_t *node = &fixture.node;
    fixture_open(&fixture, true);
    bv_config_fetcher_destroy(node->config_fetcher);
    node->config_fetcher = bv_config_fetcher_create(&fetcher);
    node->dialect = &dialect;
    node->journal = bv_journal_create(4);
    handle_row(node, 7, row->first_era);
    handle_row(node, row->second_revision, row->second_era);
    ck_assert_uint_eq(reread.translations, row->translations);
    bv_journal_destroy(node->journal);
    fixture_close(&fixture);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"store_is_asked_where_it_holds_the_configuration",
         test_store_is_asked_where_it_holds_the_configuration,
         G_N_ELEMENTS(dialect_cases)},
        {"row_in_force_is_not_translated_again",
         test_row_in_force_is_not_translated_again,
         G_N_ELEMENTS(reread_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_row", tests);
}
