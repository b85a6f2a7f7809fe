#ifndef STANDIN_TARGET_TARGET_H
#define STANDIN_TARGET_TARGET_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/findings.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"

/*
 * target - a stand-in of a department's service instance
 *
 * It runs a bounded number of jobs at once; each takes a random time, then
 * calls other services through its node, then answers. Every job that starts
 * is written to the record file before anything else.
 */
#define TARGET_CALLS_LIMIT 8

typedef struct {
    char *method;
    char *path;
    /* "IP:PORT" list to call in turn, in place of the node. */
    json_t *addresses;
} target_call_t;

typedef struct {
    char *service;
    int64_t port;
    int64_t node_port;
    int64_t slots;
    int64_t service_us;
    int64_t long_us;
    int64_t seed;
    int64_t cold_start_ms;
    char *record_file;
    json_t *calls_json;
    target_call_t call_list[TARGET_CALLS_LIMIT];
    size_t call_count;
} target_settings_t;

/* Reads the settings; false when there are findings. */
bool target_settings_load(const char *path, target_settings_t *settings,
                          bv_findings_t *findings);
void target_settings_clear(target_settings_t *settings);

/* What POST /standin/control changes while the stand-in runs. */
typedef struct {
    int64_t slow_percent;
    bool refuse;
    /* Reads and records a POST, then closes its connection unanswered. */
    bool close_unanswered;
} target_faults_t;

typedef struct target target_t;

target_t *target_create(const target_settings_t *settings, bv_ring_t *events,
                        bv_http_client_t *http);
void target_destroy(target_t *target);

/* Runs jobs until target_stop() and the last job has ended. */
void target_run(target_t *target);
void target_stop(target_t *target);

/* Answers 503 to calls that came after the run. */
void target_refuse_remaining(target_t *target);

/* The caller with this tag is gone: its calls to others are cancelled. */
void target_post_disconnect(target_t *target, uint64_t tag);

/* Hands over a call from the listener's thread. */
bool target_post_call(target_t *target, bv_call_t *call);

#endif
