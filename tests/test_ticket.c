#include "berylvane/core/ticket.h"
#include "support.h"

#include <string.h>

#define WINDOW 8

static const bv_ticket_keys_t old_keys = {{"old"}, 1};
static const bv_ticket_keys_t rotating_keys = {{"new", "old"}, 2};
static const bv_ticket_keys_t new_keys = {{"new"}, 1};

typedef struct {
    const bv_ticket_keys_t *minting_keys;
    const bv_ticket_keys_t *verifying_keys;
    /* Position of a byte that is changed, from the end; 0 for none. */
    size_t damaged_from_end;
    bool is_valid;
} rotation_case_t;

static const rotation_case_t rotation_cases[] = {
    {&old_keys, &old_keys, 0, true},
    {&old_keys, &rotating_keys, 0, true},
    {&rotating_keys, &new_keys, 0, true},
    {&rotating_keys, &old_keys, 0, false},
    {&old_keys, &new_keys, 0, false},
    {&old_keys, &old_keys, 1, false},
    {&old_keys, &old_keys, 33, false},
    {&old_keys, &old_keys, 34, false},
    {&old_keys, &old_keys, 40, false},
};

/*
 * Guards against tickets that become invalid while the signing key is
 * replaced, and against tickets with a wrong key or a changed byte that are
 * accepted.
 */
START_TEST(test_rotation)
{
    char text[BV_TICKET_TEXT_BYTES];
    bv_ticket_t parsed;
    const rotation_case_t *row = &rotation_cases[_i];
    bv_ticket_t ticket = {"orders.1", 1796367732173762, 12345};
    bv_ticket_text(&ticket, row->minting_keys, text);
    if (row->damaged_from_end != 0) {
        text[strlen(text) - row->damaged_from_end] ^= 1;
    }
    ck_assert_int_eq(bv_ticket_parse(text, row->verifying_keys, &parsed),
                     row->is_valid);
    if (row->is_valid) {
        ck_assert_str_eq(parsed.member, ticket.member);
        ck_assert_uint_eq(parsed.incarnation, ticket.incarnation);
        ck_assert_uint_eq(parsed.serial, ticket.serial);
    }
}
END_TEST

static const char *const malformed[] = {
    "",
    "bv1",
    "bv1.",
    "bv1..",
    "bv1.a.1.2",
    "bv1.a.1.2.",
    "bv1.a.1.2.00000000000000000000000000000000",
    "bv2.a.1.2.0",
};

/* Guards against texts that are accepted though they are not tickets. */
START_TEST(test_malformed)
{
    bv_ticket_t parsed;
    ck_assert(!bv_ticket_parse(malformed[_i], &old_keys, &parsed));
}
END_TEST

/*
 * Guards against a call that starts twice because its serial number's slot in
 * the window is used again: a serial number that is older than the window
 * stays out of the window, whether it was used or not.
 */
START_TEST(test_window)
{
    bv_tickets_t *tickets = bv_tickets_create(WINDOW);
    ck_assert_int_eq(bv_tickets_get_state(tickets, 1),
                     BV_TICKET_OUT_OF_WINDOW);
    for (uint64_t serial = 1; serial <= 3 * WINDOW; serial++) {
        ck_assert_uint_eq(bv_tickets_issue(tickets), serial);
        ck_assert_int_eq(bv_tickets_get_state(tickets, serial),
                         BV_TICKET_UNUSED);
        bv_tickets_set_state(tickets, serial,
                             serial % 2 == 0 ? BV_TICKET_RAN
                                             : BV_TICKET_STARTED);
        for (uint64_t earlier = 1; earlier <= serial; earlier++) {
            bv_ticket_state_t state = bv_tickets_get_state(tickets, earlier);
            bv_ticket_state_t set_state =
                earlier % 2 == 0 ? BV_TICKET_RAN : BV_TICKET_STARTED;
            bool is_out_of_window = serial - earlier >= WINDOW;
            ck_assert_int_eq(state, is_out_of_window ? BV_TICKET_OUT_OF_WINDOW
                                                     : set_state);
        }
    }
    bv_tickets_set_state(tickets, 1, BV_TICKET_UNUSED);
    ck_assert_int_eq(bv_tickets_get_state(tickets, 1),
                     BV_TICKET_OUT_OF_WINDOW);
    bv_tickets_destroy(tickets);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"rotation", test_rotation, G_N_ELEMENTS(rotation_cases)},
        {"malformed", test_malformed, G_N_ELEMENTS(malformed)},
        {"window", test_window, 1},
        {NULL}};
    return support_run("ticket", tests);
}
