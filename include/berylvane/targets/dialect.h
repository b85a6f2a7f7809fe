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
    /* Idempotent work, too, is sent on a new connection that is not kept. */
    bool needs_new_connection;
    /* Remaining time until the work's deadline. */
    int64_t timeout_us;
} bv_target_work_t;

/* The head of a request to the target while it is written. */
typedef struct {
    /*
     * The request line, "Host" (the forwarded one, if there is one) and the
     * other forwarded header lines, each ended by CR LF.
     */
    GString *lines;
    /*
     * Header that identifies the answer to this request; NULL for none. A
     * successful answer, and any answer on a connection that was used before,
     * must have the header with the value `echo_value`; no answer may have it
     * with another value. An answer that breaks this rule belongs to another
     * request: the connection is closed and the answer is broken. The name is
     * borrowed; the value is freed with g_free().
     */
    const char *echo_name;
    char *echo_value;
} bv_target_head_t;

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
    /* What is wrong with a broken answer; a text that is not freed, or NULL.
     */
    const char *error;
    int64_t latency_us;
} bv_target_result_t;

typedef struct {
    /*
     * Appends the dialect's header lines to the head of a request for `work`
     * and sets, if the dialect has one, the header that the answer must echo.
     */
    void (*write_head)(void *context, const bv_target_work_t *work,
                       bv_target_head_t *head);
    /*
     * Sets the outcome and the reason of `result` for a complete answer, and
     * for one that is broken also the error. The outcome is BV_OUTCOME_RAN
     * before the call; status, headers and body of the answer are passed on
     * only if it stays so. After a broken one the connection is closed.
     */
    void (*classify_answer)(void *context, const bv_http_answer_t *answer,
                            bv_target_result_t *result);
    void *context;
} bv_target_dialect_t;

/* The target's part of berylvane's own dialect (see node/dialect.h). */
extern const bv_target_dialect_t bv_target_own_dialect;

#endif
