#include "berylvane/core/types.h"

#include <string.h>
#include <xxhash.h>

static const char *const outcome_names[] = {"not-run", "ran", "unknown"};
static const char *const class_names[] = {"batch", "normal", "critical"};
static const char *const reason_names[BV_REASON_END] = {
#define BV_REASON_NAME(symbol, name) name,
    BV_REASON_LIST(BV_REASON_NAME)
#undef BV_REASON_NAME
};

const char *
bv_outcome_name(bv_outcome_t outcome)
{
    return outcome_names[outcome];
}

const char *
bv_class_name(bv_class_t importance)
{
    return class_names[importance];
}

const char *
bv_reason_name(bv_reason_t reason)
{
    return reason < BV_REASON_END ? reason_names[reason] : "invalid";
}

bv_id_t
bv_id_random(GRand *random)
{
    bv_id_t id;
    for (size_t i = 0; i < BV_ID_BYTES; i += sizeof(guint32)) {
        guint32 random_word = g_rand_int(random);
        memcpy(id.bytes + i, &random_word, sizeof(random_word));
    }
    return id;
}

void
bv_hex_write(char *text, const uint8_t *bytes, size_t size)
{
    static const char digits[] = "0123456789abcdef";
    for (size_t i = 0; i < size; i++) {
        text[2 * i] = digits[bytes[i] >> 4];
        text[2 * i + 1] = digits[bytes[i] & 15];
    }
    text[2 * size] = '\0';
}

char *
bv_id_text(const bv_id_t *id, char text[BV_ID_TEXT_BYTES])
{
    bv_hex_write(text, id->bytes, BV_ID_BYTES);
    return text;
}

bool
bv_id_parse(const char *text, bv_id_t *id)
{
    for (size_t i = 0; i < BV_ID_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = high < 0 ? -1 : g_ascii_xdigit_value(text[2 * i + 1]);
        if (low < 0) {
            return false;
        }
        id->bytes[i] = (uint8_t)(high * 16 + low);
    }
    return text[2 * (size_t)BV_ID_BYTES] == '\0';
}

guint
bv_id_hash(gconstpointer id)
{
    guint hash;
    memcpy(&hash, id, sizeof(hash));
    return hash;
}

gboolean
bv_id_equal(gconstpointer left, gconstpointer right)
{
    return memcmp(left, right, BV_ID_BYTES) == 0;
}

uint16_t
bv_priority(bv_class_t importance, uint8_t level)
{
    return (uint16_t)(importance * BV_PRIORITY_LEVELS +
                      level % BV_PRIORITY_LEVELS);
}

bv_class_t
bv_priority_class(uint16_t priority)
{
    return (bv_class_t)(priority / BV_PRIORITY_LEVELS);
}

uint8_t
bv_customer_level(const char *customer)
{
    return (uint8_t)(XXH3_64bits(customer, strlen(customer)) %
                     BV_PRIORITY_LEVELS);
}
