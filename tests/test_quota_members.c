#include "berylvane/core/quota_members.h"
#include "support.h"

/*
 * Which node lends the permits of an account.
 */
#define MS 1000
#define SECOND_US 1000000
#define ACCOUNT "acme"

typedef struct {
    const char *name;
    bv_member_state_t state;
    uint64_t incarnation;
    int64_t at_us;
} member_step_t;

typedef struct {
    member_step_t steps[4];
    /* Time until which the node is cut off, if it is. */
    int64_t cut_off_until_us;
    int64_t read_us;
    bool is_cut_off;
    bool is_settled;
} member_case_t;

static const member_case_t member_cases[] = {
    /* Alone: the lessor once it has run long enough. */
    {.read_us = 1999 * MS, .is_settled = false},
    {.read_us = 2000 * MS, .is_settled = true},
    /* Cut off, and for the same time afterwards. */
    {.cut_off_until_us = 3 * SECOND_US,
     .is_cut_off = true,
     .read_us = 4999 * MS},
    {.cut_off_until_us = 3 * SECOND_US,
     .is_cut_off = true,
     .read_us = 5000 * MS,
     .is_settled = true},
    /* One of two, of which the other one is dead: the first name lends. */
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 9 * SECOND_US,
     .is_settled = false},
    {{{"z", BV_MEMBER_ALIVE, 1, 0}, {"z", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 9 * SECOND_US,
     .is_settled = true},
    /* After 120 s the dead one is taken for gone. */
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 124 * SECOND_US,
     .is_settled = false},
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 126 * SECOND_US,
     .is_settled = true},
    /* The other one has left. */
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_LEFT, 1, 3 * SECOND_US}},
     .read_us = 9 * SECOND_US,
     .is_settled = true},
};

static void
tick_until(bv_quota_members_t *members, int64_t from_us, int64_t to_us,
           const member_case_t *row)
{
    for (int64_t now_us = from_us; now_us <= to_us; now_us += MS) {
        for (size_t i = 0; i < G_N_ELEMENTS(row->steps); i++) {
            const member_step_t *step = &row->steps[i];
            if (step->name == NULL || step->at_us != now_us) {
                continue;
            }
            bv_member_t record = {.incarnation = step->incarnation,
                                  .state = step->state};
            g_strlcpy(record.name, step->name, BV_NAME_BYTES);
            bv_quota_members_update(members, now_us, &record);
        }
        bv_quota_members_tick(members, now_us,
                              row->is_cut_off &&
                                  now_us <= row->cut_off_until_us);
    }
}

/*
 * Guards against two nodes that lend at once: one that has just started, was
 * cut off or sees too few members must not lend.
 */
START_TEST(test_members)
{
    const member_case_t *row = &member_cases[_i];
    uint64_t incarnation;
    bv_quota_members_options_t options = {
        .name = "m",
        .incarnation = 7,
        .settle_us = SECOND_US,
        .own_settle_us = 2 * SECOND_US,
        .suspension_us = SECOND_US,
    };
    bv_quota_members_t *members = bv_quota_members_create(&options, 0);
    tick_until(members, 0, row->read_us, row);
    const char *lessor =
        bv_quota_members_lessor(members, ACCOUNT, 0, &incarnation);
    ck_assert(bv_quota_members_is_lessor(members, ACCOUNT, 0) ==
              row->is_settled);
    ck_assert((lessor != NULL) == row->is_settled);
    bv_quota_members_destroy(members);
}
END_TEST

/*
 * Guards against a suspended lessor that lends what its bucket gained while
 * another node lent.
 */
START_TEST(test_suspension)
{
    bv_quota_members_options_t options = {
        .name = "m",
        .incarnation = 7,
        .settle_us = SECOND_US,
        .own_settle_us = 2 * SECOND_US,
        .suspension_us = SECOND_US,
    };
    member_case_t row = {0};
    bv_quota_members_t *members = bv_quota_members_create(&options, 0);
    tick_until(members, 0, 3 * SECOND_US, &row);
    ck_assert(bv_quota_members_is_lessor(members, ACCOUNT, 0));
    ck_assert(bv_quota_members_tick(members, 9 * SECOND_US, false));
    ck_assert(!bv_quota_members_is_lessor(members, ACCOUNT, 0));
    ck_assert_int_eq(bv_quota_members_wait_us(members, 9 * SECOND_US),
                     2 * SECOND_US);
    tick_until(members, 9 * SECOND_US, 11 * SECOND_US, &row);
    ck_assert_int_eq(bv_quota_members_wait_us(members, 11 * SECOND_US), 0);
    ck_assert(bv_quota_members_is_lessor(members, ACCOUNT, 0));
    ck_assert_int_eq(bv_quota_members_since_us(members), 11 * SECOND_US);
    bv_quota_members_destroy(members);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"members", test_members, G_N_ELEMENTS(member_cases)},
        {"suspension", test_suspension, 1},
        {NULL}};
    return support_run("quota_members", tests);
}
