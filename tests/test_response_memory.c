#include "berylvane/common/clock.h"
#include "berylvane/common/program.h"
#include "berylvane/node/memory.h"
#include "support.h"

#define MEMORY_LIMIT_MB 160
#define ROUTE_A 1
#define ROUTE_B 2
#define LARGE_BYTES (8 * 1024 * 1024)
#define SMALL_RESPONSE_BYTES 100
/* Calls of one route that may be open before a size is known. */
#define UNKNOWN_CALLS 7

static bv_settings_t settings = {.memory_limit_mb = MEMORY_LIMIT_MB};
static const bv_route_t idempotent = {.is_idempotent = true};
static const bv_route_t once = {.is_idempotent = false};

/* What was open before, and whether one more call of a route is started. */
typedef struct {
    const char *name;
    const bv_route_t *route;
    uint32_t route_hash;
    uint32_t open_of_a;
    /* Size of a response of route A that was received; 0 for none. */
    uint64_t response_bytes;
    bool is_started;
} reserve_case_t;

static const reserve_case_t cases[] = {
    {"first call", &idempotent, ROUTE_A, 0, 0, true},
    {"last call without a size", &idempotent, ROUTE_A, UNKNOWN_CALLS - 1, 0,
     true},
    {"one more", &idempotent, ROUTE_A, UNKNOWN_CALLS, 0, false},
    {"another route", &idempotent, ROUTE_B, UNKNOWN_CALLS, 0, true},
    {"call that may run once", &once, ROUTE_A, UNKNOWN_CALLS, 0, true},
    {"small response", &idempotent, ROUTE_A, UNKNOWN_CALLS,
     SMALL_RESPONSE_BYTES, true},
    {"large response", &idempotent, ROUTE_A, UNKNOWN_CALLS, LARGE_BYTES, true},
};

static bv_call_state_t
make_call(const bv_route_t *route, uint32_t route_hash, uint64_t tag)
{
    return (bv_call_state_t){
        .tag = tag,
        .route = route,
        .route_hash = route_hash,
        .deadline_us = BV_US_PER_S,
    };
}

/* Ends a call of route A with a response of this size. */
static void
receive(bv_node_t *node, bv_call_state_t *call, uint64_t bytes)
{
    bv_reply_t reply = {
        .status = 200,
        .outcome = BV_OUTCOME_RAN,
        .body = g_bytes_new_take(g_malloc0(bytes), bytes),
    };
    bv_memory_call_ended(node, call, &reply);
    g_bytes_unref(reply.body);
}

/*
 * Guards against calls that wait for the largest responses although nothing is
 * known of their route: after a start, calls of all routes waited in one line.
 */
START_TEST(test_reserve)
{
    const reserve_case_t *row = &cases[_i];
    bv_node_t node = {.settings = &settings};
    bv_call_state_t *open = g_new0(bv_call_state_t, UNKNOWN_CALLS);
    bv_memory_create(&node);
    for (uint32_t i = 0; i < row->open_of_a; i++) {
        open[i] = make_call(&idempotent, ROUTE_A, i + 1);
        ck_assert(bv_memory_reserve_or_wait(&node, &open[i]));
    }
    if (row->response_bytes > 0) {
        receive(&node, &open[0], row->response_bytes);
    }
    bv_call_state_t call =
        make_call(row->route, row->route_hash, UNKNOWN_CALLS + 1);
    bool is_started = bv_memory_reserve_or_wait(&node, &call);
    ck_assert_msg(is_started == row->is_started, "%s", row->name);
    ck_assert_msg(bv_memory_is_waiting(&call) == !row->is_started, "%s",
                  row->name);
    bv_memory_destroy(&node);
    g_free(open);
}
END_TEST

/* A fence of an open call of route A, of which a response was received. */
typedef struct {
    const char *name;
    const bv_route_t *route;
    /* 0: no response was received. */
    uint64_t response_bytes;
    /* What others hold. */
    uint64_t held_bytes;
    bool is_sent;
    uint64_t reserved_bytes;
} fence_case_t;

/* The bound of an instance of MEMORY_LIMIT_MB is 60 MB. */
#define MB (UINT64_C(1024) * 1024)

static const fence_case_t fence_cases[] = {
    {"no size", &idempotent, 0, 0, true, 0},
    {"no size, no memory", &idempotent, 0, 70 * MB, true, 0},
    {"small", &idempotent, SMALL_RESPONSE_BYTES, 0, true, 0},
    {"small, no memory", &idempotent, SMALL_RESPONSE_BYTES, 70 * MB, true, 0},
    {"large", &idempotent, LARGE_BYTES, 0, true, LARGE_BYTES},
    {"large, short of memory", &idempotent, LARGE_BYTES, 40 * MB, false, 0},
    {"large, may run once", &once, LARGE_BYTES, 0, true, LARGE_BYTES},
    {"large, may run once, short of memory", &once, LARGE_BYTES, 40 * MB,
     false, 0},
};

/*
 * Guards against repeats that arrive beside the responses that they repeat,
 * for which no memory was set aside.
 */
START_TEST(test_fence)
{
    const fence_case_t *row = &fence_cases[_i];
    bv_node_t node = {.settings = &settings};
    bv_memory_create(&node);
    bv_call_state_t first = make_call(row->route, ROUTE_A, 1);
    bv_call_state_t call = make_call(row->route, ROUTE_A, 2);
    bv_reply_t unknown = {.outcome = BV_OUTCOME_UNKNOWN};
    ck_assert(bv_memory_reserve_or_wait(&node, &first));
    if (row->response_bytes > 0) {
        receive(&node, &first, row->response_bytes);
    }
    ck_assert(bv_memory_reserve_or_wait(&node, &call));
    bv_memory_budget_charge(node.memory_budget, row->held_bytes);
    uint64_t used_bytes = bv_memory_budget_used(node.memory_budget);
    /* The next fence of the attempt reserves nothing more. */
    for (int fence = 0; fence < 2; fence++) {
        ck_assert_msg(bv_memory_reserve_repeat(&node, &call) == row->is_sent,
                      "%s", row->name);
        ck_assert_uint_eq(bv_memory_budget_used(node.memory_budget) -
                              used_bytes,
                          row->reserved_bytes);
    }
    bv_memory_call_ended(&node, &call, &unknown);
    ck_assert_uint_eq(call.expected_bytes, 0);
    bv_memory_destroy(&node);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"reserve", test_reserve, G_N_ELEMENTS(cases)},
        {"fence", test_fence, G_N_ELEMENTS(fence_cases)},
        {NULL}};
    apr_pool_t *pool = bv_program_start();
    int status = support_run("response_memory", tests);
    bv_program_stop(pool);
    return status;
}
