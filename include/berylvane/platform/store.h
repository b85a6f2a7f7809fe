#ifndef BERYLVANE_PLATFORM_STORE_H
#define BERYLVANE_PLATFORM_STORE_H

#include <apr_pools.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * store - client of the platform's table service and object store
 *
 * JSON over HTTP, see docs/PLATFORM.md. A key here is "TABLE/KEY": what stands
 * before the first slash names the table. Values are JSON. An operation whose
 * answer was lost may have taken effect: it ends as BV_STORE_UNKNOWN.
 */
typedef struct bv_store bv_store_t;

typedef enum {
    BV_STORE_OK,
    /* A condition did not hold; nothing was written. */
    BV_STORE_CONFLICT,
    /* No such object, or a history that is no longer kept. */
    BV_STORE_ABSENT,
    /* The service said that it did not act. */
    BV_STORE_REFUSED,
    /* Whether it acted is not known. */
    BV_STORE_UNKNOWN,
} bv_store_result_t;

typedef struct {
    bv_store_result_t result;
    /* What was read or written; of an object, its JSON, or NULL if it is none.
     * See bv_store_take_json(). */
    json_t *json;
    /* Borrowed; the raw answer. */
    GBytes *body;
} bv_store_answer_t;

/* Called on the store's thread. */
typedef void (*bv_store_done_t)(void *context, bv_store_answer_t *answer);

/*
 * Takes the answer's JSON for use on another thread. jansson's reference
 * counts are not safe to share between threads, so it is moved.
 */
json_t *bv_store_take_json(bv_store_answer_t *answer);

typedef struct {
    const char *url;
    int64_t timeout_us;
    uint32_t ring_capacity;
} bv_store_options_t;

bv_store_t *bv_store_start(apr_pool_t *pool,
                           const bv_store_options_t *options);
void bv_store_stop(bv_store_t *store);

/*
 * Writes rows. An operation is an object with "op" (insert, put, drop,
 * update, delete), "key", "value" and, for update and delete, the expected
 * "revision". With `atomic`, one failed condition undoes all; otherwise those
 * whose conditions hold are written, in as few transactions as that takes. The
 * answer's "results" are in order: {"ok", "revision", "value"} with the row as
 * it is where a condition failed; null where it is not known. Takes
 * `operations`, at most BV_STORE_MAX_OPERATIONS. False when the ring is full.
 */
#define BV_STORE_MAX_OPERATIONS 100
bool bv_store_write(bv_store_t *store, json_t *operations, bool atomic,
                    bv_store_done_t done, void *context);

/*
 * Reads a row, or the rows whose key starts with `prefix`: all of them with a
 * `limit` of 0; else so many, from the key `prefix` + `from` on (NULL: the
 * first). The answer's "rows" are {"key", "value", "revision"} in the order of
 * keys; "version" is the store's newest one.
 */
bool bv_store_read(bv_store_t *store, const char *key, bv_store_done_t done,
                   void *context);
bool bv_store_scan(bv_store_t *store, const char *prefix, const char *from,
                   uint32_t limit, bv_store_done_t done, void *context);

/*
 * Waits up to `wait_us` for rows of `table` that changed after `version`. The
 * answer is that of a scan; a dropped row has no value. ABSENT when the
 * history does not reach back: read the rows again.
 */
bool bv_store_watch(bv_store_t *store, const char *table, int64_t version,
                    int64_t wait_us, bv_store_done_t done, void *context);

/* Puts and gets an object by name. */
bool bv_store_put_object(bv_store_t *store, const char *name, GBytes *body,
                         bv_store_done_t done, void *context);
bool bv_store_get_object(bv_store_t *store, const char *name,
                         bv_store_done_t done, void *context);

/* Builders of write operations. */
json_t *bv_store_op_insert(const char *key, json_t *value);
json_t *bv_store_op_put(const char *key, json_t *value);
json_t *bv_store_op_update(const char *key, json_t *value, int64_t revision);
json_t *bv_store_op_drop(const char *key);
json_t *bv_store_op_delete(const char *key, int64_t revision);

#endif
