#ifndef BERYLVANE_NODE_DEPARTURE_ROW_H
#define BERYLVANE_NODE_DEPARTURE_ROW_H

#include "berylvane/core/departure.h"

#include <jansson.h>

/*
 * departure_row - the row of the store with the latest departures of a node's
 * target; docs/PLATFORM.md describes it
 */

/* Returns the key "departure/NODE", which g_free() frees. */
char *bv_departure_row_key(const char *node_name);

/* Returns a new value of a row. */
json_t *bv_departure_row_render(const bv_departures_t *departures);

/* Parses a row's value; returns false if it is not valid. */
bool bv_departure_row_parse(const json_t *value, bv_departures_t *departures);

#endif
