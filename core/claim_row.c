#include "berylvane/core/claim_row.h"

#include <string.h>

#define FIELD_COUNT 7
#define HEX_BASE 16

char *
bv_claim_row_text(const bv_claim_row_t *row)
{
    return g_strdup_printf("%s %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER
                           "x %" G_GINT64_MODIFIER
                           "x %x %x %" G_GINT64_MODIFIER "x",
                           row->owner, (guint64)row->incarnation,
                           (guint64)row->attempt, (guint64)row->request_digest,
                           row->ran, row->status, (guint64)row->body_digest);
}

static bool
parse_numbers(char **fields, uint64_t numbers[FIELD_COUNT])
{
    for (size_t i = 1; i < FIELD_COUNT; i++) {
        guint64 number = 0;
        if (!g_ascii_string_to_unsigned(fields[i], HEX_BASE, 0, G_MAXUINT64,
                                        &number, NULL)) {
            return false;
        }
        numbers[i] = number;
    }
    return true;
}

bool
bv_claim_row_parse(const char *text, bv_claim_row_t *row)
{
    uint64_t numbers[FIELD_COUNT];
    memset(row, 0, sizeof(*row));
    char **fields = g_strsplit(text != NULL ? text : "", " ", FIELD_COUNT);
    bool is_valid =
        g_strv_length(fields) == FIELD_COUNT && parse_numbers(fields, numbers);
    if (is_valid) {
        g_strlcpy(row->owner, fields[0], BV_NAME_BYTES);
        row->incarnation = numbers[1];
        row->attempt = numbers[2];
        row->request_digest = numbers[3];
        row->ran = numbers[4] != 0;
        row->status = (uint16_t)numbers[5];
        row->body_digest = numbers[6];
    }
    g_strfreev(fields);
    return is_valid;
}

bool
bv_claim_row_is_same_attempt(const bv_claim_row_t *left,
                             const bv_claim_row_t *right)
{
    return left->attempt == right->attempt &&
           left->incarnation == right->incarnation &&
           strcmp(left->owner, right->owner) == 0;
}
