#ifndef BERYLVANE_PLATFORM_ROWS_H
#define BERYLVANE_PLATFORM_ROWS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * rows - the wire form of rows and transactions of the platform's table
 *
 * Keys and operations are those of store.h.
 */

/* A transaction's body from operations that are not settled yet. */
json_t *bv_rows_build_transaction(const json_t *operations,
                                  const json_t *results);

/*
 * Settles the operations that a transaction wrote at `revision`: those whose
 * entry in `results` is null.
 */
void bv_rows_settle_written(json_t *results, int64_t revision);

/*
 * Settles the operations whose condition fails for `wire_rows`, the current
 * rows of a refused transaction. Yields how many were settled.
 */
uint32_t bv_rows_settle_conflicts(const json_t *operations,
                                  const json_t *wire_rows, json_t *results);

/*
 * Appends decoded rows to `rows`; those that cannot be decoded are logged and
 * left out. Rows at or before `after` (NULL: none) are skipped.
 */
void bv_rows_decode(const json_t *wire_rows, const char *after, json_t *rows);

/* Path and query of a read of `key` or of the keys that start with it. */
char *bv_rows_read_path(const char *key);
char *bv_rows_scan_path(const char *prefix, const char *from, uint32_t limit);
char *bv_rows_watch_path(const char *table, int64_t version, int64_t wait_us);

#endif
