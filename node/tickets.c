#include "berylvane/node/keyed.h"

#include <sodium.h>
#include <string.h>

#define SERIAL_WINDOW (UINT32_C(1) << 20)

static void
add_ticket_key(bv_node_t *node, const char *text)
{
    bv_ticket_keys_t *keys = &node->ticket_keys;
    if (text == NULL) {
        return;
    }
    sodium_hex2bin(keys->keys[keys->count], BV_TICKET_KEY_BYTES, text,
                   strlen(text), NULL, NULL, NULL);
    keys->count++;
}

void
bv_tickets_prepare(bv_node_t *node)
{
    node->tickets = bv_tickets_create(SERIAL_WINDOW);
    add_ticket_key(node, node->settings->ticket_key);
    add_ticket_key(node, node->settings->ticket_key_previous);
}

char *
bv_tickets_mint(bv_node_t *node)
{
    char text[BV_TICKET_TEXT_BYTES];
    bv_ticket_t ticket = {
        .incarnation = node->incarnation,
        .serial = bv_tickets_issue(node->tickets),
    };
    g_strlcpy(ticket.member, node->settings->name, BV_NAME_BYTES);
    return g_strdup(bv_ticket_text(&ticket, &node->ticket_keys, text));
}

bool
bv_tickets_minted_here(const bv_node_t *node, const bv_ticket_t *ticket)
{
    return ticket->incarnation == node->incarnation &&
           strcmp(ticket->member, node->settings->name) == 0;
}
