#include "berylvane/core/quota_holder.h"
#include "support.h"

/*
 * The permits of one node, and the calls that wait for one.
 */
#define MS 1000
#define SECOND_US 1000000
#define ACCOUNT "acme"

/* What a holder called, for tests of one holder. */
typedef struct {
    uint32_t asked;
    uint64_t sequence;
    uint32_t admitted;
    uint32_t refused;
    /* Time that the last refused call was told. */
    int64_t retry_us;
    bv_quota_permit_t permit;
    /* Part of the last request. */
    uint32_t part;
} holder_calls_t;

static const char *
other_lessor(void *context, const char *account, uint32_t part,
             uint64_t *incarnation)
{
    (void)context;
    (void)account;
    (void)part;
    *incarnation = 1;
    return "other";
}

static void
record_ask(void *context, const char *lessor, uint64_t incarnation,
           uint64_t sequence, const bv_quota_request_t *requests,
           uint32_t count)
{
    holder_calls_t *calls = context;
    (void)lessor;
    (void)incarnation;
    calls->asked += count;
    calls->sequence = sequence;
    calls->part = requests[count - 1].part;
}

static void
record_admitted(void *context, uint64_t waiter,
                const bv_quota_permit_t *permit)
{
    holder_calls_t *calls = context;
    (void)waiter;
    calls->admitted++;
    calls->permit = *permit;
}

static void
record_refused(void *context, uint64_t waiter, int64_t retry_us)
{
    holder_calls_t *calls = context;
    (void)waiter;
    calls->retry_us = retry_us;
    calls->refused++;
}

static const bv_quota_holder_ops_t recording_ops = {
    other_lessor, record_ask, record_admitted, record_refused};

/* A holder of one account with 100 requests per second and no burst. */
static bv_quota_holder_t *
create_holder(holder_calls_t *calls, uint32_t floor_members)
{
    bv_quota_limit_t limit = {100, 0};
    bv_quota_bounds_t bounds = {5 * SECOND_US, 0.1, 20};
    bv_quota_holder_options_t options = {"m", &recording_ops, calls};
    bv_quota_holder_t *holder = bv_quota_holder_create(&options);
    bv_quota_holder_set_floor(holder, &bounds, floor_members);
    bv_quota_holder_set_limit(holder, ACCOUNT, &limit);
    return holder;
}

static bv_quota_verdict_t
charge(bv_quota_holder_t *holder, int64_t now_us, bv_quota_permit_t *permit)
{
    int64_t retry_us;
    bv_quota_verdict_t verdict = bv_quota_holder_charge(
        holder, now_us, ACCOUNT, (uint64_t)now_us, permit, &retry_us);
    bv_quota_holder_flush(holder, now_us);
    return verdict;
}

static void
advance_holder(bv_quota_holder_t *holder, int64_t now_us)
{
    bv_quota_holder_tick(holder, now_us);
    bv_quota_holder_flush(holder, now_us);
}

typedef struct {
    uint32_t floor_members;
    /* Of 20 calls at once, those that the floor admits. */
    uint32_t admitted;
} floor_case_t;

/* 0.5 x (0.1 x 500 + 20) are 35 requests in a window for all members. */
static const floor_case_t floor_cases[] = {{0, 0}, {1, 17}, {2, 17},
                                           {7, 5}, {35, 1}, {36, 0}};

/*
 * Guards against silent lessors for which calls wait without end, and against
 * a timeout that creates permits: each part is asked once for the calls, then
 * the floor applies and no more.
 */
START_TEST(test_silent_lessors)
{
    const floor_case_t *row = &floor_cases[_i];
    const int64_t start_us = 10 * SECOND_US;
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, row->floor_members);
    for (int i = 0; i < 20; i++) {
        ck_assert_int_eq(charge(holder, start_us, &permit), BV_QUOTA_WAITING);
    }
    ck_assert_uint_eq(calls.asked, 20);
    uint32_t first_part = calls.part;
    uint64_t first_sequence = calls.sequence;
    advance_holder(holder, start_us + 249 * MS);
    ck_assert_uint_eq(calls.asked, 20);
    for (int part = 1; part < BV_QUOTA_PARTS; part++) {
        advance_holder(holder, start_us + part * 260 * MS);
        advance_holder(holder, start_us + part * 260 * MS + 240 * MS);
        ck_assert_uint_eq(calls.admitted + calls.refused, 0);
    }
    advance_holder(holder, start_us + BV_QUOTA_PARTS * 260 * MS);
    ck_assert_uint_eq(calls.admitted, row->admitted);
    ck_assert_uint_eq(calls.refused, 20 - row->admitted);
    bv_quota_reply_t late = {ACCOUNT, first_part, BV_QUOTA_GRANTED, 1, 0, 0};
    ck_assert(!bv_quota_holder_handle_reply(holder, start_us + 790 * MS,
                                            first_sequence, &late));
    ck_assert_int_eq(charge(holder, start_us + 5779 * MS, &permit),
                     BV_QUOTA_REFUSED);
    ck_assert_int_eq(charge(holder, start_us + 5780 * MS, &permit),
                     row->admitted > 0 ? BV_QUOTA_ADMITTED : BV_QUOTA_REFUSED);
    bv_quota_holder_destroy(holder);
}
END_TEST

/*
 * Guards against calls that are refused, or admitted from the floor, because
 * one lessor does not answer: another part is asked, and the silent one is
 * asked for calls again once it has answered a probe.
 */
START_TEST(test_one_silent_lessor)
{
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, 2);
    charge(holder, SECOND_US, &permit);
    uint32_t silent_part = calls.part;
    advance_holder(holder, SECOND_US + 260 * MS);
    ck_assert_uint_eq(calls.asked, 3);
    ck_assert_uint_eq(calls.admitted + calls.refused, 0);
    bv_quota_reply_t probed = {ACCOUNT, silent_part, BV_QUOTA_GRANTED,
                               1,       0,           0};
    ck_assert(bv_quota_holder_handle_reply(holder, SECOND_US + 300 * MS,
                                           calls.sequence, &probed));
    ck_assert_uint_eq(calls.admitted, 1);
    ck_assert_int_eq(charge(holder, 2 * SECOND_US, &permit), BV_QUOTA_WAITING);
    ck_assert_uint_eq(calls.part, silent_part);
    bv_quota_holder_destroy(holder);
}
END_TEST

/*
 * Guards against calls that are refused although another part of the quota has
 * permits left, and against calls that ask the same parts again and again: a
 * call is refused once each part has refused it.
 */
START_TEST(test_all_parts_refuse)
{
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bool is_asked[BV_QUOTA_PARTS] = {false};
    bv_quota_holder_t *holder = create_holder(&calls, 2);
    charge(holder, SECOND_US, &permit);
    for (int i = 0; i < BV_QUOTA_PARTS; i++) {
        int64_t now_us = SECOND_US + (i + 1) * 60 * MS;
        ck_assert_uint_eq(calls.admitted + calls.refused, 0);
        ck_assert(!is_asked[calls.part]);
        is_asked[calls.part] = true;
        bv_quota_reply_t refusal = {ACCOUNT, calls.part, BV_QUOTA_GRANTED,
                                    0,       MS,         SECOND_US};
        ck_assert(bv_quota_holder_handle_reply(holder, now_us, calls.sequence,
                                               &refusal));
        bv_quota_holder_flush(holder, now_us);
    }
    ck_assert_uint_eq(calls.refused, 1);
    ck_assert_uint_eq(calls.asked, BV_QUOTA_PARTS);
    bv_quota_holder_destroy(holder);
}
END_TEST

/* Times until which lessors lend nothing, as they state, and what follows. */
typedef struct {
    int64_t wait_us[BV_QUOTA_PARTS];
    /* Time that is told to callers when all have answered. */
    int64_t retry_us;
    /* The same 1.5 s later. */
    int64_t later_us;
} started_case_t;

static const started_case_t started_cases[] = {
    {{0, 0, 0}, SECOND_US, SECOND_US},
    {{3 * SECOND_US, 2 * SECOND_US, 4 * SECOND_US}, 2 * SECOND_US, SECOND_US},
    {{0, 4 * SECOND_US, 0}, 4 * SECOND_US, 2500 * MS},
    {{500 * MS, 500 * MS, 500 * MS}, SECOND_US, SECOND_US},
};

/*
 * Guards against callers that are told to return before a lessor lends: after
 * a restart of all nodes, they would be refused a second time.
 */
START_TEST(test_started_lessors)
{
    const started_case_t *row = &started_cases[_i];
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    int64_t retry_us;
    bv_quota_holder_t *holder = create_holder(&calls, 0);
    charge(holder, SECOND_US, &permit);
    for (int i = 0; i < BV_QUOTA_PARTS; i++) {
        bv_quota_reply_t reply = {ACCOUNT, calls.part, BV_QUOTA_NOT_LESSOR,
                                  0,       0,          row->wait_us[i]};
        ck_assert_uint_eq(calls.refused, 0);
        ck_assert(bv_quota_holder_handle_reply(holder, SECOND_US,
                                               calls.sequence, &reply));
        bv_quota_holder_flush(holder, SECOND_US);
    }
    ck_assert_uint_eq(calls.refused, 1);
    ck_assert_int_eq(calls.retry_us, row->retry_us);
    ck_assert_int_eq(bv_quota_holder_charge(holder, 2500 * MS, ACCOUNT, 1,
                                            &permit, &retry_us),
                     BV_QUOTA_REFUSED);
    ck_assert_int_eq(retry_us, row->later_us);
    bv_quota_holder_destroy(holder);
}
END_TEST

typedef struct {
    /* Times after the request of the permit. */
    int64_t replied_us;
    int64_t returned_us;
    int64_t used_us;
    bool is_usable;
} permit_case_t;

static const permit_case_t permit_cases[] = {
    {40 * MS, 100 * MS, 499 * MS, true},
    {40 * MS, 100 * MS, 500 * MS, false},
    {40 * MS, 500 * MS, 501 * MS, false},
    {499 * MS, 499 * MS, 499 * MS, true},
};

/*
 * Guards against a permit that a returned call renews, and against one that is
 * used after its time: it expires 500 ms after it was requested.
 */
START_TEST(test_permit_expires)
{
    const permit_case_t *row = &permit_cases[_i];
    const int64_t start_us = SECOND_US;
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, 0);
    ck_assert_int_eq(charge(holder, start_us, &permit), BV_QUOTA_WAITING);
    bv_quota_reply_t reply = {ACCOUNT, calls.part, BV_QUOTA_GRANTED, 1, 0, 0};
    ck_assert(bv_quota_holder_handle_reply(holder, start_us + row->replied_us,
                                           calls.sequence, &reply));
    ck_assert_uint_eq(calls.admitted, 1);
    /* A repeated reply has no effect. */
    ck_assert(!bv_quota_holder_handle_reply(holder, start_us + row->replied_us,
                                            calls.sequence, &reply));
    bv_quota_holder_return(holder, start_us + row->returned_us, ACCOUNT,
                           &calls.permit);
    ck_assert_int_eq(charge(holder, start_us + row->used_us, &permit),
                     row->is_usable ? BV_QUOTA_ADMITTED : BV_QUOTA_WAITING);
    ck_assert_int_eq(charge(holder, start_us + row->used_us, &permit),
                     BV_QUOTA_WAITING);
    bv_quota_holder_destroy(holder);
}
END_TEST

/*
 * Guards against a permit that is lost with the call that waited for it: it
 * goes to the stock, and the next call uses it without a request.
 */
START_TEST(test_leave)
{
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, 0);
    charge(holder, SECOND_US, &permit);
    bv_quota_reply_t reply = {ACCOUNT, calls.part, BV_QUOTA_GRANTED, 1, 0, 0};
    bv_quota_holder_leave(holder, ACCOUNT, SECOND_US);
    bv_quota_holder_handle_reply(holder, SECOND_US + 40 * MS, calls.sequence,
                                 &reply);
    ck_assert_uint_eq(calls.admitted, 0);
    ck_assert_int_eq(charge(holder, SECOND_US + 50 * MS, &permit),
                     BV_QUOTA_ADMITTED);
    ck_assert_int_eq(permit.source, BV_QUOTA_FROM_STOCK);
    ck_assert_uint_eq(calls.asked, 1);
    bv_quota_holder_destroy(holder);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"silent_lessors", test_silent_lessors, G_N_ELEMENTS(floor_cases)},
        {"one_silent_lessor", test_one_silent_lessor, 1},
        {"all_parts_refuse", test_all_parts_refuse, 1},
        {"started_lessors", test_started_lessors, G_N_ELEMENTS(started_cases)},
        {"permit_expires", test_permit_expires, G_N_ELEMENTS(permit_cases)},
        {"leave", test_leave, 1},
        {NULL}};
    return support_run("quota_holder", tests);
}
