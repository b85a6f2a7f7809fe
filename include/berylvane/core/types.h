#ifndef BERYLVANE_CORE_TYPES_H
#define BERYLVANE_CORE_TYPES_H

#include "berylvane/common/reasons.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * types - types and limits that the modules in core/ share
 *
 * Modules in core/ are state machines without clocks, sockets, threads or
 * global state. Times are monotonic microseconds and are passed as arguments;
 * random numbers come from a GRand that is passed as an argument.
 */

/* Names of nodes, data centres and regions, with the NUL. */
#define BV_NAME_BYTES 32
/* Names that operators choose: of services and what belongs to them. */
#define BV_CONFIG_NAME_LIMIT_BYTES 200
#define BV_SERVICE_BYTES (BV_CONFIG_NAME_LIMIT_BYTES + 1)
#define BV_ADDRESS_BYTES 46
#define BV_ID_BYTES 16
#define BV_ID_TEXT_BYTES (2 * BV_ID_BYTES + 1)

/* Identifies a customer request over its whole chain of calls. */
typedef struct {
    uint8_t bytes[BV_ID_BYTES];
} bv_id_t;

/* Whether a request was executed. */
typedef enum {
    BV_OUTCOME_NOT_RUN,
    BV_OUTCOME_RAN,
    BV_OUTCOME_UNKNOWN,
} bv_outcome_t;

/* Importance classes; work of a higher class is shed later. */
typedef enum {
    BV_CLASS_BATCH,
    BV_CLASS_NORMAL,
    BV_CLASS_CRITICAL,
} bv_class_t;

/* Levels in each of the 3 classes; priorities are below the limit. */
#define BV_PRIORITY_LEVELS 128
#define BV_PRIORITY_LIMIT (3 * BV_PRIORITY_LEVELS)

/* Reasons for decisions, as shown in logs, spans and counters. */
typedef enum {
#define BV_REASON_SYMBOL(symbol, name) BV_REASON_##symbol,
    BV_REASON_LIST(BV_REASON_SYMBOL)
#undef BV_REASON_SYMBOL
    BV_REASON_END
} bv_reason_t;

const char *bv_outcome_name(bv_outcome_t outcome);
const char *bv_class_name(bv_class_t importance);
const char *bv_reason_name(bv_reason_t reason);

/* Returns an id of random bytes. */
bv_id_t bv_id_random(GRand *random);

/* Writes `size` bytes to `text` as 2 * `size` hexadecimal digits and NUL. */
void bv_hex_write(char *text, const uint8_t *bytes, size_t size);

/* Writes the id as 32 hexadecimal digits and NUL; returns `text`. */
char *bv_id_text(const bv_id_t *id, char text[BV_ID_TEXT_BYTES]);

/* Parses an id of 32 hexadecimal digits; false when `text` is malformed. */
bool bv_id_parse(const char *text, bv_id_t *id);

/* Hash and equality for GHashTable keys of type bv_id_t. */
guint bv_id_hash(gconstpointer id);
gboolean bv_id_equal(gconstpointer left, gconstpointer right);

/* Returns the priority of a class and level; 0 is the least important. */
uint16_t bv_priority(bv_class_t importance, uint8_t level);

/* Returns the class that a priority belongs to. */
bv_class_t bv_priority_class(uint16_t priority);

/*
 * Returns a customer's level in 0 to BV_PRIORITY_LEVELS - 1, derived from a
 * hash of the customer's name, so that every node computes the same level.
 */
uint8_t bv_customer_level(const char *customer);

#endif
