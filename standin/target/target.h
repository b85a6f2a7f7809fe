#ifndef STANDIN_TARGET_TARGET_H
#define STANDIN_TARGET_TARGET_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/findings.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"

/*
 * target - a stand-in of a department's service instance
 *
 * Runs a bounded number of jobs at once. Each job takes a random service time,
 * then calls other services through the node, then answers. Every job is
 * written to the record file when it starts, before any other effect, so that
 * tests can tell which requests were executed.
 */
#define TARGET_CALLS_LIMIT 8

/* A call to another service that every job makes. */
typedef struct {
    char *method;
    char *path;
    /*
     * Array of "IP:PORT" strings, one of which is called in place of the node;
     * NULL or empty: call through the node.
     */
    json_t *addresses;
} target_call_t;

typedef struct {
    char *service;
    int64_t port;
    int64_t node_port;
    /* The number of jobs that run at once; further calls wait in a queue. */
    int64_t slots;
    /* Mean service times: of paths without "long", of paths with it. */
    int64_t service_us;
    int64_t long_us;
    int64_t seed;
    /* No service time begins earlier than this after the program's start. */
    int64_t cold_start_ms;
    /* NULL: no record is written. */
    char *record_file;
    /* The unparsed "calls"; only used by target_settings_load(). */
    json_t *calls_json;
    target_call_t call_list[TARGET_CALLS_LIMIT];
    size_t call_count;
} target_settings_t;

/*
 * Reads the settings file at `path`. Returns false if errors were added to
 * `findings`. target_settings_clear() frees what was read in either case.
 */
bool target_settings_load(const char *path, target_settings_t *settings,
                          bv_findings_t *findings);
void target_settings_clear(target_settings_t *settings);

/* Faults that POST /standin/control changes while the stand-in runs. */
typedef struct {
    /* Service times in percent of the normal ones. */
    int64_t slow_percent;
    /* Records each call and answers 503. */
    bool refuse;
    /* Records each POST, then closes its connection without an answer. */
    bool close_unanswered;
} target_faults_t;

typedef struct target target_t;

/*
 * Creates a target; `settings`, `events` and `http` must outlive it. If the
 * record file cannot be opened, prints an error and writes no record.
 */
target_t *target_create(const target_settings_t *settings, bv_ring_t *events,
                        bv_http_client_t *http);
void target_destroy(target_t *target);

/* Runs jobs until target_stop() was called and the last job has ended. */
void target_run(target_t *target);

/* Makes target_run() return after the last job; for use by any thread. */
void target_stop(target_t *target);

/* Answers 503 to calls that are still queued; for use after target_run(). */
void target_refuse_remaining(target_t *target);

/*
 * Reports, from the listener's thread, that the caller with this tag has
 * disconnected; the target then cancels the downstream calls of that caller's
 * jobs. The report is dropped if the ring is full.
 */
void target_post_disconnect(target_t *target, uint64_t tag);

/*
 * Passes a call from the listener's thread to the target. Returns false if the
 * ring is full; the calling function then still owns `call`.
 */
bool target_post_call(target_t *target, bv_call_t *call);

#endif
