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
 * Both services use JSON over HTTP, see docs/PLATFORM.md. In this interface a
 * key is "TABLE/KEY": the text before the first slash is the name of the
 * table. Values are JSON. The functions may be called on any thread. An
 * operation whose answer was lost may have taken effect: its result is
 * BV_STORE_UNKNOWN.
 *
 * The store can come back from an older copy of its data. It then begins a new
 * era: writes since the copy are lost, and versions are issued again, so
 * that they can be compared only within an era.
 */
typedef struct bv_store bv_store_t;

typedef enum {
    BV_STORE_OK,
    /* A condition did not hold; nothing was written. */
    BV_STORE_CONFLICT,
    /* The object does not exist, or the history is no longer kept. */
    BV_STORE_ABSENT,
    /* Nothing was done: the request was refused or could not be sent. */
    BV_STORE_REFUSED,
    /* It is unknown whether the operation took effect. */
    BV_STORE_UNKNOWN,
} bv_store_result_t;

typedef struct {
    bv_store_result_t result;
    /*
     * Result of a read or write of rows; of an object, its content, or NULL if
     * that is not JSON. Released after the callback unless it was moved by
     * bv_store_take_json().
     */
    json_t *json;
    /* Bytes of the last HTTP answer; borrowed for the callback. */
    GBytes *body;
    /* The store's era when it gave the last HTTP answer; 0 if not stated. */
    int64_t era;
} bv_store_answer_t;

/* Called once for each operation that was sent, on the store's thread. */
typedef void (*bv_store_done_t)(void *context, bv_store_answer_t *answer);

/*
 * Moves the answer's JSON to the caller, who may use it on another thread and
 * frees it. The JSON is moved because jansson's reference counts must not be
 * shared between threads.
 */
json_t *bv_store_take_json(bv_store_answer_t *answer);

typedef struct {
    /* Base URL of the platform, without a slash at its end; copied. */
    const char *url;
    /* Time limit of one HTTP request. */
    int64_t timeout_us;
    /* Limit of requests that wait for the store's thread. */
    uint32_t ring_capacity;
    /*
     * Called on the store's thread when an answer is the first of an era, but
     * not for the first era known. May be NULL.
     */
    void (*on_era)(void *context, int64_t era);
    void *context;
} bv_store_options_t;

/* Starts the client with a thread that sends the requests. */
bv_store_t *bv_store_start(apr_pool_t *pool,
                           const bv_store_options_t *options);

/* Stops the thread and frees the client; running operations are cancelled. */
void bv_store_stop(bv_store_t *store);

/*
 * The functions below return false, with nothing sent and `done` not called,
 * when the ring of waiting requests is full.
 */

/*
 * Writes rows by `operations`, an array of at most BV_STORE_MAX_OPERATIONS
 * that the function takes ownership of. An operation is an object with "op",
 * "key" and the further fields that bv_store_op_insert() and the like set.
 *
 * If `is_atomic`, one failed condition prevents all writes. Otherwise every
 * operation whose condition holds is written, in as few transactions as
 * possible, and a failed condition does not change the answer's result.
 *
 * The answer's "results" has an entry for each operation, in their order:
 * - written: {"ok": true, "revision"} with the row's new revision
 * - condition failed: {"ok": false, "revision", "value"} with the current row;
 *   revision 0 and no value if the row does not exist
 * - null: the operation was not written, or its outcome is unknown
 */
#define BV_STORE_MAX_OPERATIONS 100
bool bv_store_write(bv_store_t *store, json_t *operations, bool is_atomic,
                    bv_store_done_t done, void *context);

/* How a request is sent. */
typedef struct {
    /* Time limit of the answer; 0 for that of the store. */
    int64_t timeout_us;
    /* Whether to use a new connection, which is closed after the answer. */
    bool uses_fresh_connection;
} bv_store_request_options_t;

/*
 * Reads the row with the key `key`. The answer has "rows", with one object
 * {"key", "value", "revision"} or none if the row does not exist, and
 * "version", the newest version of the store. `options` may be NULL.
 */
bool bv_store_read(bv_store_t *store, const char *key,
                   const bv_store_request_options_t *options,
                   bv_store_done_t done, void *context);

/*
 * Reads the rows whose key starts with `prefix`: all of them if `limit` is 0,
 * otherwise at most `limit`, which must not be 1. `from` is the smallest key
 * to read, without its table; NULL for the first key with the prefix. The
 * answer is that of bv_store_read(), with the rows in the order of their keys.
 */
bool bv_store_scan(bv_store_t *store, const char *prefix, const char *from,
                   uint32_t limit, bv_store_done_t done, void *context);

typedef struct {
    char *table;
    /* The version after which changes are awaited. */
    int64_t version;
    /* How long the store may hold the request. */
    int64_t wait_us;
} bv_store_watch_t;

/*
 * Waits for rows that changed, as `watch` states. The answer is that of
 * bv_store_scan(); a deleted row has no "value". The result is
 * BV_STORE_ABSENT if the store no longer keeps the changes since the version:
 * the caller has to read all rows again. The time limit in `options`, which
 * may be NULL, is added to the time of the watch.
 */
bool bv_store_watch(bv_store_t *store, const bv_store_watch_t *watch,
                    const bv_store_request_options_t *options,
                    bv_store_done_t done, void *context);

/* Writes and reads an object of the object store by its name. */
bool bv_store_put_object(bv_store_t *store, const char *name, GBytes *body,
                         bv_store_done_t done, void *context);
bool bv_store_get_object(bv_store_t *store, const char *name,
                         bv_store_done_t done, void *context);

/*
 * Each function returns a new operation for bv_store_write() and takes
 * ownership of `value`.
 * - insert: writes a row that does not exist yet
 * - put: writes the row, whether it exists or not
 * - update: writes the row if its revision is `revision`
 * - drop: deletes the row, whether it exists or not
 * - delete: deletes the row if its revision is `revision`
 */
json_t *bv_store_op_insert(const char *key, json_t *value);
json_t *bv_store_op_put(const char *key, json_t *value);
json_t *bv_store_op_update(const char *key, json_t *value, int64_t revision);
json_t *bv_store_op_drop(const char *key);
json_t *bv_store_op_delete(const char *key, int64_t revision);

#endif
