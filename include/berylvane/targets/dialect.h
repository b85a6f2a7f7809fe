#ifndef BERYLVANE_TARGETS_DIALECT_H
#define BERYLVANE_TARGETS_DIALECT_H

#include "berylvane/common/http_client.h"
#include "berylvane/core/types.h"

/*
 * dialect - the HTTP headers of requests to a target, and the meaning of a
 * target's answers
 */

/* Admitted work that is sent to the target as one HTTP request. */
typedef struct {
    /* Chosen by the caller; unique among the running work of a client. */
    uint64_t id;
    const char *address;
    uint16_t port;
    /*
     * Name of the target's incarnation that the work was admitted for; NULL or
     * empty if the target sends none.
     */
    const char *instance;
    const char *method;
    /* Path and query. */
    const char *path;
    /* End-to-end header lines, each ended by CR LF; may be NULL. */
    const char *headers;
    /* Values of headers of berylvane's own dialect; each may be NULL. */
    const char *idempotency_key;
    const char *customer;
    const char *traceparent;
    /* Names the customer request over its whole chain of calls. */
    bv_id_t request_id;
    GBytes *body;
    bool is_idempotent;
    /* Remaining time until the work's deadline. */
    int64_t timeout_us;
} bv_target_work_t;

typedef struct {
    /* ID of the work. */
    uint64_t id;
    bv_outcome_t outcome;
    bv_reason_t reason;
    /* Status, headers and body are set only for the outcome "ran". */
    uint16_t status;
    /* End-to-end header lines, each ended by CR LF. */
    char *headers;
    GBytes *body;
    int64_t latency_us;
} bv_target_result_t;

typedef struct {
    /*
     * Sets the header lines of a request for `work` and, if the dialect has
     * one, the header that the answer must echo.
     */
    void (*write_head)(void *context, const bv_target_work_t *work,
                       bv_http_request_t *request);
    /*
     * Sets the outcome and the reason of `result` for a complete answer. The
     * outcome is BV_OUTCOME_RAN before the call; status, headers and body of
     * the answer are passed on only if it stays so.
     */
    void (*classify_answer)(void *context, const bv_http_answer_t *answer,
                            bv_target_result_t *result);
    void *context;
} bv_target_dialect_t;

/* The target's part of berylvane's own dialect (see node/dialect.h). */
extern const bv_target_dialect_t bv_target_own_dialect;

#endif
