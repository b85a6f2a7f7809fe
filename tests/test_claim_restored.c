#include "berylvane/core/claim.h"

#include "support.h"

/*
 * Guards against writes to the row of another attempt, whose revision is that
 * of the writer's own row in the store's previous era.
 */
#define NODES 2
#define KEY "key"
#define REVISION_OF_COPY 479
#define TICKET_WINDOW 64

typedef struct {
    bool exists;
    bv_claim_row_t row;
    int64_t revision;
} table_row_t;

typedef struct fixture fixture_t;

typedef struct {
    fixture_t *fixture;
    bv_tickets_t *tickets;
    bv_claims_t *claims;
    bool is_started;
} node_t;

struct fixture {
    GRand *random;
    node_t nodes[NODES];
    int64_t newest_revision;
    /* The key's row. */
    table_row_t stored;
};

static void
apply_write(fixture_t *fixture, const bv_claim_write_t *write)
{
    fixture->newest_revision++;
    fixture->stored.exists = write->op != BV_CLAIM_DELETE;
    fixture->stored.row = write->row;
    fixture->stored.revision = fixture->newest_revision;
}

static void
on_write(void *context, const bv_claim_write_t *write)
{
    node_t *node = context;
    fixture_t *fixture = node->fixture;
    const table_row_t *stored = &fixture->stored;
    int64_t expected = write->op == BV_CLAIM_INSERT ? 0 : write->revision;
    bv_claim_write_result_t result = {
        .status = BV_CLAIM_CONFLICT,
        .row_exists = stored->exists,
        .is_row_readable = stored->exists,
        .row = stored->row,
        .revision = stored->exists ? stored->revision : 0,
    };
    if (result.revision == expected) {
        apply_write(fixture, write);
        result.status = BV_CLAIM_WRITTEN;
        result.revision = fixture->newest_revision;
    }
    bv_claims_write_done(node->claims, 0, write->key, write->sequence,
                         &result);
}

static bool
on_query_owner(void *context, const char *key, const bv_claim_row_t *row)
{
    (void)context;
    (void)key;
    (void)row;
    return true;
}

static void
on_start(void *context, const char *key, uint64_t waiter)
{
    node_t *node = context;
    (void)key;
    (void)waiter;
    node->is_started = true;
}

static void
on_answer(void *context, uint64_t waiter, const bv_key_result_t *result)
{
    (void)context;
    (void)waiter;
    (void)result;
}

static const bv_claims_ops_t ops = {
    .write = on_write,
    .query_owner = on_query_owner,
    .start = on_start,
    .answer = on_answer,
};

static void
fixture_open(fixture_t *fixture)
{
    fixture->random = g_rand_new_with_seed(1);
    fixture->newest_revision = REVISION_OF_COPY;
    for (uint32_t i = 0; i < NODES; i++) {
        node_t *node = &fixture->nodes[i];
        node->fixture = fixture;
        node->tickets = bv_tickets_create(TICKET_WINDOW);
        const bv_claims_options_t options = {
            .owner = {(char)('a' + i)},
            .incarnation = i + 1,
            .retention_us = INT64_MAX / 2,
            .keys_limit = 16,
            .results_limit_bytes = 1024,
            .resend_delay_us = 10000,
            .resend_delay_limit_us = 1000000,
            .owner_poll_us = 20000,
            .tickets = node->tickets,
            .random = fixture->random,
            .ops = &ops,
            .context = node,
        };
        node->claims = bv_claims_create(&options);
    }
}

static void
fixture_close(fixture_t *fixture)
{
    for (uint32_t i = 0; i < NODES; i++) {
        bv_claims_destroy(fixture->nodes[i].claims);
        bv_tickets_destroy(fixture->nodes[i].tickets);
    }
    g_rand_free(fixture->random);
}

static void
begin_call(node_t *node)
{
    const bv_claim_call_t call = {.key = KEY, .waiter = 1};
    bv_claims_begin(node->claims, 0, &call);
    ck_assert(node->is_started);
}

/* The store comes back from a copy that does not have the key's row yet. */
static void
restore_store(fixture_t *fixture)
{
    fixture->newest_revision = REVISION_OF_COPY;
    fixture->stored.exists = false;
}

static const bv_outcome_t outcomes[] = {
    BV_OUTCOME_RAN,
    BV_OUTCOME_UNKNOWN,
    BV_OUTCOME_NOT_RUN,
};

START_TEST(test_row_of_other_attempt_is_kept)
{
    fixture_t fixture = {0};
    fixture_open(&fixture);
    begin_call(&fixture.nodes[0]);
    restore_store(&fixture);
    begin_call(&fixture.nodes[1]);
    const bv_claim_row_t expected = fixture.stored.row;
    bv_claims_handle_restore(fixture.nodes[0].claims);
    const bv_key_result_t result = {.outcome = outcomes[_i], .status = 200};
    bv_claims_settle(fixture.nodes[0].claims, 0, KEY, &result);
    ck_assert(fixture.stored.exists);
    ck_assert(bv_claim_row_is_same_attempt(&fixture.stored.row, &expected));
    fixture_close(&fixture);
}
END_TEST

/*
 * A node that knows of the restore writes its row again, so that no other
 * attempt starts, whether the call still runs or has run.
 */
START_TEST(test_row_of_started_attempt_is_written_again)
{
    fixture_t fixture = {0};
    fixture_open(&fixture);
    begin_call(&fixture.nodes[0]);
    const bv_key_result_t result = {.outcome = BV_OUTCOME_RAN, .status = 200};
    bool settles_before = _i == 1;
    if (settles_before) {
        bv_claims_settle(fixture.nodes[0].claims, 0, KEY, &result);
    }
    restore_store(&fixture);
    bv_claims_handle_restore(fixture.nodes[0].claims);
    const bv_claim_call_t call = {.key = KEY, .waiter = 1};
    bv_claims_begin(fixture.nodes[1].claims, 0, &call);
    ck_assert(!fixture.nodes[1].is_started);
    if (!settles_before) {
        bv_claims_settle(fixture.nodes[0].claims, 0, KEY, &result);
    }
    ck_assert(fixture.stored.exists);
    ck_assert(fixture.stored.row.ran);
    ck_assert_uint_eq(fixture.stored.row.incarnation, 1);
    fixture_close(&fixture);
}
END_TEST

typedef struct {
    uint32_t results;
    size_t body_bytes;
    const char *headers;
    size_t kept_bytes;
} kept_case_t;

static const kept_case_t kept_cases[] = {
    {0, 0, NULL, 0},
    {1, 0, NULL, 0},
    {1, 100, NULL, 100},
    {1, 100, "A: 1\r\n", 106},
    {3, 100, "A: 1\r\n", 318},
    /* The oldest are evicted beyond the limit. */
    {5, 500, NULL, 1000},
};

/* Guards against results that the process keeps and does not account for. */
START_TEST(test_results_bytes)
{
    const kept_case_t *row = &kept_cases[_i];
    fixture_t fixture = {0};
    fixture_open(&fixture);
    bv_claims_t *claims = fixture.nodes[0].claims;
    for (uint32_t i = 0; i < row->results; i++) {
        char *key = g_strdup_printf("key-%u", i);
        const bv_claim_call_t call = {.key = key, .waiter = i + 1};
        bv_key_result_t result = {
            .outcome = BV_OUTCOME_RAN,
            .status = 200,
            .headers = (char *)row->headers,
            .body =
                g_bytes_new_take(g_malloc0(row->body_bytes), row->body_bytes),
        };
        restore_store(&fixture);
        bv_claims_begin(claims, 0, &call);
        bv_claims_settle(claims, 0, key, &result);
        g_bytes_unref(result.body);
        g_free(key);
    }
    ck_assert_uint_eq(bv_claims_results_bytes(claims), row->kept_bytes);
    fixture_close(&fixture);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"row_of_other_attempt_is_kept", test_row_of_other_attempt_is_kept,
         G_N_ELEMENTS(outcomes)},
        {"row_of_started_attempt_is_written_again",
         test_row_of_started_attempt_is_written_again, 2},
        {"results_bytes", test_results_bytes, G_N_ELEMENTS(kept_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("claim_restored", tests);
}
