#ifndef BERYLVANE_CORE_TICKET_H
#define BERYLVANE_CORE_TICKET_H

#include "berylvane/core/types.h"

/*
 * ticket - idempotency keys that a node mints
 *
 * A ticket names the incarnation that minted it and a serial number, and ends
 * in a MAC. Only that incarnation may start it. Which serial numbers were used
 * is kept in a window of two bits each; a serial that has left the window is
 * never started again.
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

/* The first key signs; any of them verifies. */
typedef struct {
    uint8_t keys[BV_TICKET_KEYS_LIMIT][BV_TICKET_KEY_BYTES];
    uint32_t count;
} bv_ticket_keys_t;

/* Writes a ticket with its MAC. */
char *bv_ticket_text(const bv_ticket_t *ticket, const bv_ticket_keys_t *keys,
                     char text[BV_TICKET_TEXT_BYTES]);

/* Reads a ticket; false when it is malformed or its MAC does not verify. */
bool bv_ticket_parse(const char *text, const bv_ticket_keys_t *keys,
                     bv_ticket_t *ticket);

/* Whether a key has the form of a ticket, genuine or not. */
bool bv_ticket_has_prefix(const char *key);

typedef enum {
    BV_TICKET_UNUSED,
    BV_TICKET_STARTED,
    BV_TICKET_RAN,
    /* Never issued, or so old that its use was forgotten. */
    BV_TICKET_OUT_OF_WINDOW,
} bv_ticket_state_t;

typedef struct bv_tickets bv_tickets_t;

/* `window` is how many serial numbers are remembered. */
bv_tickets_t *bv_tickets_create(uint32_t window);
void bv_tickets_destroy(bv_tickets_t *tickets);

/* Issues the next serial number, from 1. */
uint64_t bv_tickets_issue(bv_tickets_t *tickets);
bv_ticket_state_t bv_tickets_state(const bv_tickets_t *tickets,
                                   uint64_t serial);

/* Notes what became of a serial; one outside the window stays outside. */
void bv_tickets_set_state(bv_tickets_t *tickets, uint64_t serial,
                          bv_ticket_state_t state);

#endif
