#include "berylvane/node/departure_row.h"

#include <glib.h>
#include <string.h>

#define DIGEST_DIGITS 16

char *
bv_departure_row_key(const char *node_name)
{
    return g_strconcat("departure/", node_name, NULL);
}

static json_t *
render_departure(const bv_departure_t *departure)
{
    char digest[DIGEST_DIGITS + 1];
    g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
               departure->instance_digest);
    json_t *json = json_pack("{s:s, s:I}", "instance_digest", digest,
                             "start_ms", (json_int_t)departure->start_ms);
    if (departure->sequence != BV_DEPARTURE_WHOLE_START) {
        json_object_set_new(json, "sequence",
                            json_integer((json_int_t)departure->sequence));
    }
    return json;
}

json_t *
bv_departure_row_render(const bv_departures_t *departures)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < bv_departures_count(departures); i++) {
        json_array_append_new(list, render_departure(&departures->items[i]));
    }
    return json_pack("{s:o}", "departures", list);
}

static bool
parse_departure(const json_t *json, bv_departure_t *departure)
{
    const char *digest =
        json_string_value(json_object_get(json, "instance_digest"));
    const json_t *start = json_object_get(json, "start_ms");
    const json_t *sequence = json_object_get(json, "sequence");
    guint64 number = 0;
    if (digest == NULL || strlen(digest) != DIGEST_DIGITS ||
        !g_ascii_string_to_unsigned(digest, 16, 1, UINT64_MAX, &number,
                                    NULL) ||
        !json_is_integer(start) || json_integer_value(start) < 0) {
        return false;
    }
    departure->instance_digest = number;
    departure->start_ms = (uint64_t)json_integer_value(start);
    departure->sequence = BV_DEPARTURE_WHOLE_START;
    if (sequence == NULL) {
        return true;
    }
    departure->sequence = (uint64_t)json_integer_value(sequence);
    return json_is_integer(sequence) && json_integer_value(sequence) > 0;
}

bool
bv_departure_row_parse(const json_t *value, bv_departures_t *departures)
{
    const json_t *list = json_object_get(value, "departures");
    memset(departures, 0, sizeof(*departures));
    if (!json_is_array(list)) {
        return false;
    }
    size_t index;
    json_t *json;
    json_array_foreach((json_t *)list, index, json) {
        bv_departure_t departure;
        if (!parse_departure(json, &departure)) {
            return false;
        }
        bv_departures_add(departures, &departure);
    }
    return true;
}
