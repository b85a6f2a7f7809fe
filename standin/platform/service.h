#ifndef STANDIN_PLATFORM_SERVICE_H
#define STANDIN_PLATFORM_SERVICE_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/ring.h"

#include <jansson.h>

/*
 * service - the state of the platform stand-in: rows, objects and faults
 *
 * One thread owns the state; other threads only push calls to the ring and set
 * `stopping`.
 */

/*
 * How calls to rows and objects are answered; the paths /control, /stats and
 * /v1/traces work in every mode.
 */
typedef enum {
    /* Answers calls. */
    MODE_UP,
    /* Answers calls with 503. */
    MODE_DOWN,
    /* Executes calls but does not answer them until the mode changes. */
    MODE_HANG,
} service_mode_t;

/* A row of a table; a deleted row is kept, so that watches can report it. */
typedef struct {
    char *table;
    char *key;
    char *value;
    /* The service's version when the row last changed. */
    int64_t version;
    bool is_deleted;
} row_t;

typedef struct {
    /* Calls from the listener's thread. */
    bv_ring_t *calls;
    /* A set of row_t, identified by table and key. */
    GHashTable *rows;
    /* Bodies of objects by name. */
    GHashTable *objects;
    /* Answers that are delayed, and calls that wait for a change. */
    GQueue delayed_answers;
    GQueue watches;
    GRand *random;
    /* The version of the last transaction. */
    int64_t version;
    /* The history of changes up to this version is no longer available. */
    int64_t forgotten_version;
    /*
     * Counters that GET /stats returns: reads and watches of rows and reads of
     * objects; well-formed transactions and writes of objects; trace spans.
     */
    uint64_t reads;
    uint64_t writes;
    uint64_t spans;
    /* A service_mode_t. */
    int64_t mode;
    int64_t delay_ms;
    /* Percentage of calls, but watches, that are executed and answered 500. */
    int64_t lose_answers_percent;
    /* Percentage of calls, but watches, that are answered 503 unexecuted. */
    int64_t refuse_percent;
    /* Makes the history so far unavailable; resets itself. */
    bool forget_history;
    gint stopping;
} service_t;

/* Creates a service that reads from `calls`; `seed` is for random faults. */
service_t *service_create(bv_ring_t *calls, guint32 seed);
void service_destroy(service_t *service);

/* Serves calls from the ring until `stopping` is set. */
void service_run(service_t *service);

/* Answers 503 to calls that arrived after service_run() returned. */
void service_refuse_remaining(service_t *service);

/* Creates the empty set of rows. */
GHashTable *table_create(void);

/*
 * Table operations: each returns the JSON body of the answer, owned by the
 * caller, and changes `*status` if the HTTP status is not 200.
 *
 * - transact: writes and removes rows if all expected versions match
 * - get: returns the rows of a range of keys
 */
json_t *table_transact(service_t *service, const json_t *request,
                       uint16_t *status);
json_t *table_get(service_t *service, const GHashTable *query,
                  uint16_t *status);

/*
 * Returns the changes of a table after a version, or NULL if there are none.
 * Sets status 410 if the history after that version is unavailable.
 */
json_t *table_changes(service_t *service, const GHashTable *query,
                      uint16_t *status);

#endif
