#include "berylvane/core/membership.h"
#include "support.h"

#include <string.h>

/*
 * Guards against a dead member that counts as alive because another member
 * answers at its address. The record of such a member is read from the table
 * by each node that starts, as it died without leaving.
 */
#define PROBE_INTERVAL_US 200000
#define SUSPECT_TIMEOUT_US 1000000
#define TICK_US 50000
#define RUN_US 10000000
#define ADDRESS "10.0.0.1"
#define PORT 7000

/* Who answers the probes of the member "old". */
typedef enum {
    ANSWER_NONE,
    ANSWER_SELF,
    /* "new", at the same address. */
    ANSWER_SUCCESSOR,
    /* "far", which relays the answer of "old". */
    ANSWER_RELAY,
} answer_t;

typedef struct {
    const char *name;
    answer_t answer;
    bool is_evicted;
} address_case_t;

static const address_case_t address_cases[] = {
    {"no answer", ANSWER_NONE, true},
    {"its own answer", ANSWER_SELF, false},
    {"answer of its successor", ANSWER_SUCCESSOR, true},
    {"relayed answer", ANSWER_RELAY, false},
};

typedef struct {
    char to[BV_NAME_BYTES];
    bv_gossip_packet_t packet;
} sent_t;

typedef struct {
    bv_membership_t *membership;
    const address_case_t *row;
    int64_t now_us;
    uint64_t number;
    /* Of sent_t. */
    GQueue sent;
} fixture_t;

static bv_member_t
member(const char *name, const char *address, uint64_t incarnation)
{
    bv_member_t record = {
        .incarnation = incarnation,
        .data_centre = "d1",
        .region = "r1",
        .gossip_port = PORT,
        .peer_port = PORT + 1,
    };
    g_strlcpy(record.name, name, BV_NAME_BYTES);
    g_strlcpy(record.address, address, BV_ADDRESS_BYTES);
    return record;
}

static void
record_packet(void *context, const bv_member_t *to,
              const bv_gossip_packet_t *packet)
{
    fixture_t *fixture = context;
    sent_t sent = {.packet = *packet};
    g_strlcpy(sent.to, to->name, BV_NAME_BYTES);
    g_queue_push_tail(&fixture->sent, g_memdup2(&sent, sizeof(sent)));
}

static void
ignore_change(void *context, const bv_member_t *changed)
{
    (void)context;
    (void)changed;
}

static void
ignore_config(void *context, uint64_t generation, uint64_t digest,
              const char *from)
{
    (void)context;
    (void)generation;
    (void)digest;
    (void)from;
}

static const bv_membership_ops_t ops = {
    .send = record_packet,
    .member_changed = ignore_change,
    .config_reported = ignore_config,
};

/* Returns the name of the member that answers the packet, or NULL. */
static const char *
answering_member(answer_t answer, const sent_t *sent)
{
    if (sent->packet.kind == BV_GOSSIP_PROBE_REQUEST) {
        return answer == ANSWER_RELAY ? "far" : NULL;
    }
    if (sent->packet.kind != BV_GOSSIP_PING) {
        return NULL;
    }
    if (strcmp(sent->to, "old") != 0) {
        return sent->to;
    }
    switch (answer) {
    case ANSWER_SELF:
        return "old";
    case ANSWER_SUCCESSOR:
        return "new";
    default:
        return NULL;
    }
}

static void
answer_one(fixture_t *fixture, const sent_t *sent)
{
    const char *name = answering_member(fixture->row->answer, sent);
    if (name == NULL) {
        return;
    }
    bv_gossip_packet_t ack = {
        .kind = BV_GOSSIP_ACK,
        .number = ++fixture->number,
        .sequence = sent->packet.sequence,
        .bucket = BV_GOSSIP_BUCKETS,
    };
    bv_member_t from = *bv_membership_find(fixture->membership, name);
    bv_membership_handle_packet(fixture->membership, fixture->now_us, &from,
                                &ack);
}

static void
answer_all(fixture_t *fixture)
{
    sent_t *sent;
    while ((sent = g_queue_pop_head(&fixture->sent)) != NULL) {
        answer_one(fixture, sent);
        g_free(sent);
    }
}

START_TEST(test_address_taken_over)
{
    fixture_t fixture = {.row = &address_cases[_i]};
    bv_membership_options_t options = {
        .self = member("self", "10.0.0.9", 1),
        .probe_interval_us = PROBE_INTERVAL_US,
        .probe_timeout_us = PROBE_INTERVAL_US / 2,
        .suspect_timeout_us = SUSPECT_TIMEOUT_US,
        .forget_after_us = 10 * RUN_US,
        .mass_suspicion_percent = 60,
        .members_limit = 8,
        .random = g_rand_new_with_seed(1),
        .ops = &ops,
        .context = &fixture,
    };
    const bv_member_t records[] = {
        member("old", ADDRESS, 1),
        member("new", ADDRESS, 2),
        member("far", "10.0.0.2", 1),
    };
    fixture.membership = bv_membership_create(&options);
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
        bv_membership_merge_record(fixture.membership, 0, &records[i]);
    }
    for (; fixture.now_us < RUN_US; fixture.now_us += TICK_US) {
        bv_membership_tick(fixture.membership, fixture.now_us);
        answer_all(&fixture);
    }
    const bv_member_t *old = bv_membership_find(fixture.membership, "old");
    ck_assert_msg((old->state == BV_MEMBER_DEAD) == fixture.row->is_evicted,
                  "%s: state %d", fixture.row->name, old->state);
    ck_assert_int_eq(bv_membership_find(fixture.membership, "new")->state,
                     BV_MEMBER_ALIVE);
    bv_membership_destroy(fixture.membership);
    g_rand_free(options.random);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"address_taken_over",
                                     test_address_taken_over,
                                     G_N_ELEMENTS(address_cases)},
                                    {NULL}};
    return support_run("membership_address", tests);
}
