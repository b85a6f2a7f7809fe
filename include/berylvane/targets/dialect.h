#ifndef BERYLVANE_TARGETS_DIALECT_H
#define BERYLVANE_TARGETS_DIALECT_H

#include "berylvane/common/http_client.h"
#include "berylvane/core/types.h"

/*
 * dialect - how work is said to a target in HTTP headers, and how a target's
 * answer is to be taken
 */
typedef struct {
    uint64_t id;
    const char *address;
    uint16_t port;
    /* Incarnation of the target that the work is for; may be NULL. */
    const char *instance;
    const char *method;
    const char *path;
    const char *headers;
    const char *idempotency_key;
    const char *customer;
    const char *traceparent;
    bv_id_t request_id;
    GBytes *body;
    bool is_idempotent;
    int64_t timeout_us;
} bv_target_work_t;

typedef struct {
    uint64_t id;
    bv_outcome_t outcome;
    bv_reason_t reason;
    uint16_t status;
    char *headers;
    GBytes *body;
    int64_t latency_us;
} bv_target_result_t;

typedef struct {
    /* Fills in the headers of a request for `work`, and its echo. */
    void (*write_head)(void *context, const bv_target_work_t *work,
                       bv_http_request_t *request);
    /*
     * Judges a whole answer: outcome and reason. `result` is preset to "ran";
     * its status, headers and body are passed on only if it stays so.
     */
    void (*classify_answer)(void *context, const bv_http_answer_t *answer,
                            bv_target_result_t *result);
    void *context;
} bv_target_dialect_t;

/* berylvane's own headers. */
extern const bv_target_dialect_t bv_target_own_dialect;

#endif
