#include "berylvane/collector/exporter.h"

#include <string.h>

static bool
parse_hex(const char *text, uint8_t *bytes, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        bytes[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

bool
bv_trace_parse(const char *text, bv_trace_t *trace)
{
    if (text == NULL || strlen(text) != BV_TRACE_TEXT_BYTES - 1 ||
        strncmp(text, "00-", 3) != 0 || text[35] != '-' || text[52] != '-') {
        return false;
    }
    return parse_hex(text + 3, trace->trace_id.bytes, BV_ID_BYTES) &&
           parse_hex(text + 36, trace->span_id, BV_SPAN_BYTES);
}

char *
bv_trace_text(const bv_trace_t *trace, char text[BV_TRACE_TEXT_BYTES])
{
    memcpy(text, "00-", 3);
    bv_hex_write(text + 3, trace->trace_id.bytes, BV_ID_BYTES);
    text[35] = '-';
    bv_hex_write(text + 36, trace->span_id, BV_SPAN_BYTES);
    memcpy(text + 52, "-01", 4);
    return text;
}

bv_trace_t
bv_trace_new_span(const bv_trace_t *parent, GRand *random)
{
    bv_trace_t trace;
    trace.trace_id = parent != NULL ? parent->trace_id : bv_id_random(random);
    bv_id_t span_id_source = bv_id_random(random);
    memcpy(trace.span_id, span_id_source.bytes, BV_SPAN_BYTES);
    return trace;
}
