#include "berylvane/core/ticket.h"

#include <sodium.h>
#include <string.h>

#define MAC_BYTES crypto_generichash_BYTES_MIN
#define MAC_TEXT_BYTES (2 * MAC_BYTES + 1)
/* States are packed into bytes. */
#define BITS_PER_SERIAL 2
#define SERIALS_PER_BYTE (8 / BITS_PER_SERIAL)
#define STATE_MASK 3U

struct bv_tickets {
    uint32_t window;
    uint64_t newest_serial;
    uint8_t *states;
};

static void
compute_mac(const uint8_t key[BV_TICKET_KEY_BYTES], const char *text,
            size_t size, char mac[MAC_TEXT_BYTES])
{
    uint8_t bytes[MAC_BYTES];
    crypto_generichash(bytes, MAC_BYTES, (const uint8_t *)text, size, key,
                       BV_TICKET_KEY_BYTES);
    sodium_bin2hex(mac, MAC_TEXT_BYTES, bytes, MAC_BYTES);
}

char *
bv_ticket_text(const bv_ticket_t *ticket, const bv_ticket_keys_t *keys,
               char text[BV_TICKET_TEXT_BYTES])
{
    char mac[MAC_TEXT_BYTES];
    g_snprintf(text, BV_TICKET_TEXT_BYTES,
               BV_TICKET_PREFIX "%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
               ticket->member, (guint64)ticket->incarnation,
               (guint64)ticket->serial);
    compute_mac(keys->keys[0], text, strlen(text), mac);
    g_strlcat(text, ".", BV_TICKET_TEXT_BYTES);
    g_strlcat(text, mac, BV_TICKET_TEXT_BYTES);
    return text;
}

static bool
is_mac_valid(const char *text, size_t size, const char *mac,
             const bv_ticket_keys_t *keys)
{
    if (strlen(mac) != MAC_TEXT_BYTES - 1) {
        return false;
    }
    for (uint32_t i = 0; i < keys->count; i++) {
        char expected[MAC_TEXT_BYTES];
        compute_mac(keys->keys[i], text, size, expected);
        if (sodium_memcmp(expected, mac, MAC_TEXT_BYTES) == 0) {
            return true;
        }
    }
    return false;
}

/* Removes the last field from `text` and parses it as a number. */
static bool
cut_last_number(char *text, uint64_t *number)
{
    char *dot = strrchr(text, '.');
    guint64 value = 0;
    if (dot == NULL || !g_ascii_string_to_unsigned(dot + 1, 10, 0, G_MAXUINT64,
                                                   &value, NULL)) {
        return false;
    }
    *dot = '\0';
    *number = value;
    return true;
}

bool
bv_ticket_parse(const char *text, const bv_ticket_keys_t *keys,
                bv_ticket_t *ticket)
{
    char copy[BV_TICKET_TEXT_BYTES];
    if (!bv_ticket_has_prefix(text) ||
        g_strlcpy(copy, text, sizeof(copy)) >= sizeof(copy)) {
        return false;
    }
    char *mac = strrchr(copy, '.');
    *mac = '\0';
    if (!is_mac_valid(copy, strlen(copy), mac + 1, keys) ||
        !cut_last_number(copy, &ticket->serial) ||
        !cut_last_number(copy, &ticket->incarnation)) {
        return false;
    }
    const char *member = copy + strlen(BV_TICKET_PREFIX);
    return g_strlcpy(ticket->member, member, BV_NAME_BYTES) < BV_NAME_BYTES;
}

bool
bv_ticket_has_prefix(const char *key)
{
    return g_str_has_prefix(key, BV_TICKET_PREFIX);
}

bv_tickets_t *
bv_tickets_create(uint32_t window)
{
    bv_tickets_t *tickets = g_new0(bv_tickets_t, 1);
    tickets->window = window;
    tickets->states = g_malloc0(window / SERIALS_PER_BYTE + 1);
    return tickets;
}

void
bv_tickets_destroy(bv_tickets_t *tickets)
{
    if (tickets == NULL) {
        return;
    }
    g_free(tickets->states);
    g_free(tickets);
}

static void
write_state(bv_tickets_t *tickets, uint64_t serial, bv_ticket_state_t state)
{
    uint64_t slot = serial % tickets->window;
    uint8_t *byte = &tickets->states[slot / SERIALS_PER_BYTE];
    unsigned shift = (unsigned)(slot % SERIALS_PER_BYTE) * BITS_PER_SERIAL;
    unsigned cleared = *byte & ~(STATE_MASK << shift);
    *byte = (uint8_t)(cleared | ((unsigned)state << shift));
}

uint64_t
bv_tickets_issue(bv_tickets_t *tickets)
{
    tickets->newest_serial++;
    write_state(tickets, tickets->newest_serial, BV_TICKET_UNUSED);
    return tickets->newest_serial;
}

static bool
is_in_window(const bv_tickets_t *tickets, uint64_t serial)
{
    return serial > 0 && serial <= tickets->newest_serial &&
           tickets->newest_serial - serial < tickets->window;
}

bv_ticket_state_t
bv_tickets_get_state(const bv_tickets_t *tickets, uint64_t serial)
{
    if (!is_in_window(tickets, serial)) {
        return BV_TICKET_OUT_OF_WINDOW;
    }
    uint64_t slot = serial % tickets->window;
    unsigned byte = tickets->states[slot / SERIALS_PER_BYTE];
    unsigned shift = (unsigned)(slot % SERIALS_PER_BYTE) * BITS_PER_SERIAL;
    return (bv_ticket_state_t)((byte >> shift) & STATE_MASK);
}

void
bv_tickets_set_state(bv_tickets_t *tickets, uint64_t serial,
                     bv_ticket_state_t state)
{
    if (is_in_window(tickets, serial)) {
        write_state(tickets, serial, state);
    }
}
