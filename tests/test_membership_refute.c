#include "berylvane/core/membership.h"
#include "support.h"

/*
 * Guards against a record with this node's name that others prefer for good to
 * the one that this node spreads.
 */
#define OWN_INCARNATION 50

typedef struct {
    const char *name;
    uint64_t incarnation;
    uint32_t version;
    bv_member_state_t state;
    /* This node's version afterwards; it was 0 before. */
    uint32_t own_version;
} refute_case_t;

static const refute_case_t refute_cases[] = {
    {"same version", OWN_INCARNATION, 0, BV_MEMBER_ALIVE, 0},
    {"higher version", OWN_INCARNATION, 1 << 30, BV_MEMBER_ALIVE,
     (1 << 30) + 1},
    {"suspected", OWN_INCARNATION, 0, BV_MEMBER_SUSPECT, 1},
    {"dead, higher version", OWN_INCARNATION, 7, BV_MEMBER_DEAD, 8},
    {"earlier incarnation", OWN_INCARNATION - 1, 7, BV_MEMBER_ALIVE, 0},
};

static void
ignore_packet(void *context, const bv_member_t *to,
              const bv_gossip_packet_t *packet)
{
    (void)context;
    (void)to;
    (void)packet;
}

static void
ignore_change(void *context, const bv_member_t *member)
{
    (void)context;
    (void)member;
}

static const bv_membership_ops_t ops = {.send = ignore_packet,
                                        .member_changed = ignore_change};

START_TEST(test_own_record_stays_newest)
{
    const refute_case_t *row = &refute_cases[_i];
    bv_membership_options_t options = {
        .self = {.name = "n-1", .incarnation = OWN_INCARNATION},
        .probe_interval_us = 1000000,
        .members_limit = 4,
        .random = g_rand_new_with_seed(1),
        .ops = &ops,
    };
    bv_membership_t *membership = bv_membership_create(&options);
    bv_member_t record = {
        .name = "n-1",
        .incarnation = row->incarnation,
        .version = row->version,
        .state = row->state,
    };
    bv_membership_merge_record(membership, 0, &record);
    const bv_member_t *self = bv_membership_self(membership);
    ck_assert_msg(self->version == row->own_version, "%s: version %u",
                  row->name, self->version);
    ck_assert_int_eq(self->state, BV_MEMBER_ALIVE);
    bv_membership_destroy(membership);
    g_rand_free(options.random);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"own_record_stays_newest",
                                     test_own_record_stays_newest,
                                     G_N_ELEMENTS(refute_cases)},
                                    {NULL}};
    return support_run("membership_refute", tests);
}
