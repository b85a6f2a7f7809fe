#include "berylvane/core/ticket.h"
#include "support.h"

#include <string.h>

#define WINDOW 8

static const bv_ticket_keys_t old_keys = {{"old"}, 1};
static const bv_ticket_keys_t rotating = {{"new", "old"}, 2};
static const bv_ticket_keys_t new_keys = {{"new"}, 1};

typedef struct {
    const bv_ticket_keys_t *minted;
    const bv_ticket_keys_t *read;
    /* Place of a byte that is changed, from the end; 0 for none. */
    size_t damaged;
    bool good;
} rotation_case_t;

static const rotation_case_t rotation_cases[] = {
    {&old_keys, &old_keys, 0, true},   {&old_keys, &rotating, 0, true},
    {&rotating, &new_keys, 0, true},   {&rotating, &old_keys, 0, false},
    {&old_keys, &new_keys, 0, false},  {&old_keys, &old_keys, 1, false},
    {&old_keys, &old_keys, 33, false}, {&old_keys, &old_keys, 34, false},
    {&old_keys, &old_keys, 40, false},
};

START_TEST(test_rotation)
{
    char text[BV_TICKET_TEXT_BYTES];
    bv_ticket_t read;
    const rotation_case_t *row = &rotation_cases[_i];
    bv_ticket_t ticket = {"orders.1", 1796367732173762, 12345};
    bv_ticket_text(&ticket, row->minted, text);
    if (row->damaged != 0) {
        text[strlen(text) - row->damaged] ^= 1;
    }
    ck_assert_int_eq(bv_ticket_parse(text, row->read, &read), row->good);
    if (row->good) {
        ck_assert_str_eq(read.member, ticket.member);
        ck_assert_uint_eq(read.incarnation, ticket.incarnation);
        ck_assert_uint_eq(read.serial, ticket.serial);
    }
}
END_TEST

static const char *const garbled[] = {
    "",
    "bv1",
    "bv1.",
    "bv1..",
    "bv1.a.1.2",
    "bv1.a.1.2.",
    "bv1.a.1.2.00000000000000000000000000000000",
    "bv2.a.1.2.0",
};

START_TEST(test_garbled)
{
    bv_ticket_t read;
    ck_assert(!bv_ticket_parse(garbled[_i], &old_keys, &read));
}
END_TEST

/* A serial that has left the window is outside for good, used or not. */
START_TEST(test_window)
{
    bv_tickets_t *tickets = bv_tickets_create(WINDOW);
    ck_assert_int_eq(bv_tickets_state(tickets, 1), BV_TICKET_OUT_OF_WINDOW);
    for (uint64_t serial = 1; serial <= 3 * WINDOW; serial++) {
        ck_assert_uint_eq(bv_tickets_issue(tickets), serial);
        ck_assert_int_eq(bv_tickets_state(tickets, serial), BV_TICKET_UNUSED);
        bv_tickets_set_state(tickets, serial,
                             serial % 2 == 0 ? BV_TICKET_RAN
                                             : BV_TICKET_STARTED);
        for (uint64_t known = 1; known <= serial; known++) {
            bv_ticket_state_t state = bv_tickets_state(tickets, known);
            bv_ticket_state_t marked =
                known % 2 == 0 ? BV_TICKET_RAN : BV_TICKET_STARTED;
            bool gone = serial - known >= WINDOW;
            ck_assert_int_eq(state, gone ? BV_TICKET_OUT_OF_WINDOW : marked);
        }
    }
    bv_tickets_set_state(tickets, 1, BV_TICKET_UNUSED);
    ck_assert_int_eq(bv_tickets_state(tickets, 1), BV_TICKET_OUT_OF_WINDOW);
    bv_tickets_destroy(tickets);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"rotation", test_rotation, G_N_ELEMENTS(rotation_cases)},
        {"garbled", test_garbled, G_N_ELEMENTS(garbled)},
        {"window", test_window, 1},
        {NULL}};
    return support_run("ticket", tests);
}
