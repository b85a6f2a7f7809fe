#ifndef BERYLVANE_CORE_TICKET_H
#define BERYLVANE_CORE_TICKET_H

#include "berylvane/core/types.h"

/*
 * ticket - idempotency keys that a node mints
 *
 * A ticket names the member and the incarnation that minted it and a serial
 * number, and ends in a MAC. Only the incarnation that minted a ticket may
 * start a call with it. The incarnation records the states of its newest
 * serial numbers, two bits each; a call whose serial number is older than this
 * window is never started.
 */
#define BV_TICKET_PREFIX "bv1."
#define BV_TICKET_KEY_BYTES 32
#define BV_TICKET_KEYS_LIMIT 2
#define BV_TICKET_TEXT_BYTES 128

typedef struct {
    char member[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t serial;
} bv_ticket_t;

/* Tickets are signed with the first key; a MAC by any of the keys is valid. */
typedef struct {
    uint8_t keys[BV_TICKET_KEYS_LIMIT][BV_TICKET_KEY_BYTES];
    uint32_t count;
} bv_ticket_keys_t;

/* Writes the ticket as text with its MAC; returns `text`. */
char *bv_ticket_text(const bv_ticket_t *ticket, const bv_ticket_keys_t *keys,
                     char text[BV_TICKET_TEXT_BYTES]);

/* Parses a ticket; false when `text` is malformed or its MAC is not valid. */
bool bv_ticket_parse(const char *text, const bv_ticket_keys_t *keys,
                     bv_ticket_t *ticket);

/* Returns whether a key starts like a ticket; its MAC is not checked. */
bool bv_ticket_has_prefix(const char *key);

typedef enum {
    BV_TICKET_UNUSED,
    BV_TICKET_STARTED,
    BV_TICKET_RAN,
    /* Never issued, or older than the window. */
    BV_TICKET_OUT_OF_WINDOW,
} bv_ticket_state_t;

typedef struct bv_tickets bv_tickets_t;

/* Creates a record of the states of the newest `window` serial numbers. */
bv_tickets_t *bv_tickets_create(uint32_t window);
void bv_tickets_destroy(bv_tickets_t *tickets);

/* Issues the next serial number; the first one is 1. */
uint64_t bv_tickets_issue(bv_tickets_t *tickets);

/* Returns the state of a serial number. */
bv_ticket_state_t bv_tickets_get_state(const bv_tickets_t *tickets,
                                       uint64_t serial);

/* Sets the state of a serial number; ignored when outside the window. */
void bv_tickets_set_state(bv_tickets_t *tickets, uint64_t serial,
                          bv_ticket_state_t state);

#endif
