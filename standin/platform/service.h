#ifndef STANDIN_PLATFORM_SERVICE_H
#define STANDIN_PLATFORM_SERVICE_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/ring.h"

#include <jansson.h>

/*
 * service - the stand-in's table, objects and faults, owned by one thread
 */
typedef enum {
    MODE_UP,
    MODE_DOWN,
    MODE_HANG,
} service_mode_t;

/* A row of the table; a dropped one stays as a change. */
typedef struct {
    char *table;
    char *key;
    char *value;
    int64_t version;
    bool is_deleted;
} row_t;

typedef struct {
    bv_ring_t *calls;
    /* Rows by table and key, in the order of the changes' versions. */
    GHashTable *rows;
    GHashTable *objects;
    /* Answers that wait for their time, and watches for a change. */
    GQueue delayed_answers;
    GQueue watches;
    GRand *random;
    int64_t version;
    /* Changes up to here cannot be watched any more. */
    int64_t forgotten_version;
    uint64_t reads;
    uint64_t writes;
    uint64_t spans;
    int64_t mode;
    int64_t delay_ms;
    int64_t lose_answers_percent;
    /* Share of calls that are turned away with 503, undone. */
    int64_t refuse_percent;
    /* Forgets the history of changes when set. */
    bool forget_history;
    gint stopping;
} service_t;

service_t *service_create(bv_ring_t *calls, guint32 seed);
void service_destroy(service_t *service);

/* Serves calls from the ring until `stopping`. */
void service_run(service_t *service);

/* Answers 503 to calls that came after the run. */
void service_refuse_remaining(service_t *service);

/* The rows of the service; for service_create(). */
GHashTable *table_create(void);

/* Table operations; each returns the answer and sets its HTTP status. */
json_t *table_transact(service_t *service, const json_t *request,
                       uint16_t *status);
json_t *table_get(service_t *service, const GHashTable *query,
                  uint16_t *status);

/* Changes of a table after a version; NULL while there are none. */
json_t *table_changes(service_t *service, const GHashTable *query,
                      uint16_t *status);

#endif
