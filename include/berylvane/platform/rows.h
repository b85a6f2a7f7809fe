#ifndef BERYLVANE_PLATFORM_ROWS_H
#define BERYLVANE_PLATFORM_ROWS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * rows - the wire format of rows and transactions of the table service
 *
 * Keys and operations have the form that store.h describes. `results` is an
 * array with an entry for each operation: null while the operation is
 * unsettled, then an object with its result.
 */

/* Returns a new body of a transaction with all unsettled operations. */
json_t *bv_rows_build_transaction(const json_t *operations,
                                  const json_t *results);

/*
 * Settles all unsettled operations as written at `revision`, after the
 * transaction that held them was committed.
 */
void bv_rows_settle_written(json_t *results, int64_t revision);

/*
 * Settles as failed the unsettled operations whose condition does not hold for
 * `wire_rows`, the current rows that a refused transaction returned. Returns
 * the number of operations settled by this call.
 */
uint32_t bv_rows_settle_conflicts(const json_t *operations,
                                  const json_t *wire_rows, json_t *results);

/*
 * Decodes `wire_rows` and appends them to `rows` as {"key", "value",
 * "revision"}. Rows that cannot be decoded are logged and left out. Rows whose
 * key is not greater than `after` are skipped (NULL: none are).
 */
void bv_rows_decode(const json_t *wire_rows, const char *after, json_t *rows);

/*
 * Each function returns the path and query of an HTTP request; the caller
 * frees the text. The parameters are those of bv_store_read(), bv_store_scan()
 * and bv_store_watch().
 */
char *bv_rows_read_path(const char *key);
char *bv_rows_scan_path(const char *prefix, const char *from, uint32_t limit);
char *bv_rows_watch_path(const char *table, int64_t version, int64_t wait_us);

#endif
