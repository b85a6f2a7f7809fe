#ifndef BERYLVANE_COLLECTOR_EXPORTER_H
#define BERYLVANE_COLLECTOR_EXPORTER_H

#include "berylvane/core/types.h"

#include <apr_pools.h>

/*
 * exporter - sends trace spans to a collector as OTLP JSON over HTTP
 *
 * Spans wait in a bounded ring and are sent in batches. A span that finds the
 * ring full, or whose batch the collector does not accept, is counted
 * (spans_dropped) and never sent again.
 */
typedef struct bv_exporter bv_exporter_t;

/* Size of a span's id. */
#define BV_SPAN_BYTES 8
/* Size of a traceparent header value, with the final NUL. */
#define BV_TRACE_TEXT_BYTES 56

/* A span's place in a trace, as in a W3C traceparent header. */
typedef struct {
    bv_id_t trace_id;
    uint8_t span_id[BV_SPAN_BYTES];
} bv_trace_t;

/* Kinds of spans, with the numbers of OTLP. */
typedef enum {
    BV_SPAN_SERVER = 2,
    BV_SPAN_CLIENT = 3,
} bv_span_kind_t;

typedef struct {
    bv_trace_t trace;
    /* All zero if the span has no parent. */
    uint8_t parent_span_id[BV_SPAN_BYTES];
    bv_span_kind_t kind;
    char name[64];
    /* Node that served the work; empty in spans of calls. */
    char member[BV_NAME_BYTES];
    bv_outcome_t outcome;
    bv_reason_t reason;
    uint16_t status;
    int64_t start_wall_us;
    int64_t duration_us;
} bv_span_t;

typedef struct {
    /* The collector's base URL, without /v1/traces. */
    const char *url;
    /* This node's name, sent as service.instance.id. */
    const char *name;
    /* Most spans queued for the exporter's thread. */
    uint32_t ring_capacity;
} bv_exporter_options_t;

/* Starts the exporter's thread; the strings of `options` are copied. */
bv_exporter_t *bv_exporter_start(apr_pool_t *pool,
                                 const bv_exporter_options_t *options);

/*
 * Hands the queued spans to the HTTP client, stops and frees the exporter.
 * Requests that are not answered by then are cancelled. NULL is allowed.
 */
void bv_exporter_stop(bv_exporter_t *exporter);

/* Queues a copy of a span; does nothing if `exporter` is NULL. */
void bv_exporter_add_span(bv_exporter_t *exporter, const bv_span_t *span);

/*
 * Parses a traceparent header value. Returns false if the value is malformed
 * or has another version than 00.
 */
bool bv_trace_parse(const char *text, bv_trace_t *trace);

/*
 * Writes a traceparent header value, with the sampled flag set, to `text` and
 * returns `text`.
 */
char *bv_trace_text(const bv_trace_t *trace, char text[BV_TRACE_TEXT_BYTES]);

/*
 * Returns a new span in the trace of `parent`, or in a new trace if `parent`
 * is NULL.
 */
bv_trace_t bv_trace_new_span(const bv_trace_t *parent, GRand *random);

#endif
