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

/* What a restored service goes back to; no rows: there is no copy. */
typedef struct {
    GHashTable *rows;
    GHashTable *objects;
    int64_t version;
    int64_t forgotten_version;
} backup_t;

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
    /* Calls that are never answered; dropped when the service ends. */
    GQueue silent_calls;
    GRand *random;
    /* The version of the last transaction. */
    int64_t version;
    /* The history of changes up to this version is no longer available. */
    int64_t forgotten_version;
    /* Number of restores plus 1; answers state it. */
    int64_t era;
    backup_t backup;
    /* Connections that were accepted up to this time are silent. */
    int64_t silent_until_us;
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
    /*
     * Watches are answered only when this is false again, and outlive a
     * restore. Otherwise a restore closes their connections.
     */
    bool hold_watches;
    /* Actions; each resets itself. Makes the history so far unavailable. */
    bool forget_history;
    /* Takes a copy of rows, objects and versions; goes back to the last one.
     */
    bool copy;
    bool restore;
    /* Answers nothing more on the connections of this moment. */
    bool silence;
    gint stopping;
} service_t;

/* Creates a service that reads from `calls`; `seed` is for random faults. */
service_t *service_create(bv_ring_t *calls, guint32 seed);
void service_destroy(service_t *service);

/* Serves calls from the ring until `stopping` is set. */
void service_run(service_t *service);

/* Answers 503 to calls that arrived after service_run() returned. */
void service_refuse_remaining(service_t *service);

/* Returns the JSON body of a call, NULL if it is none. */
json_t *service_parse_body(const bv_call_t *call);

/*
 * Goes back to the copy. Closes the connections of calls that wait for an
 * answer, except watches that are held.
 */
void service_restore(service_t *service);

/* Answers nothing on the connections of this moment, now or later. */
void service_silence(service_t *service);

/*
 * Applies a call to /control and returns the findings. Executes the actions of
 * a request only if it has no errors.
 */
GBytes *control_handle(service_t *service, const bv_call_t *call,
                       uint16_t *status);

/* Creates the empty set of objects: bodies by name. */
GHashTable *objects_create(void);

/* Replaces the copy of the service's rows, objects and versions. */
void backup_take(service_t *service);

/* Goes back to the copy, which must exist and is kept, and starts a new era.
 */
void backup_restore(service_t *service);
bool backup_exists(const service_t *service);
void backup_clear(service_t *service);

/* Creates the empty set of rows. */
GHashTable *table_create(void);

/* Returns a deep copy of a set of rows. */
GHashTable *table_copy(GHashTable *rows);

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
 * Sets status 410 if the history after that version is unavailable, or if the
 * service has not reached that version.
 */
json_t *table_changes(const service_t *service, const GHashTable *query,
                      uint16_t *status);

#endif
