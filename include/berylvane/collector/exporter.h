#ifndef BERYLVANE_COLLECTOR_EXPORTER_H
#define BERYLVANE_COLLECTOR_EXPORTER_H

#include "berylvane/core/types.h"

#include <apr_pools.h>

/*
 * exporter - sends trace spans to a collector as OTLP JSON over HTTP
 *
 * Spans wait in a bounded ring and go out in batches; those that do not fit
 * or do not arrive are counted (spans_dropped), never retried.
 */
typedef struct bv_exporter bv_exporter_t;

#define BV_SPAN_BYTES 8
#define BV_TRACE_TEXT_BYTES 56

/* Position in a trace: W3C trace context. */
typedef struct {
    bv_id_t trace_id;
    uint8_t span_id[BV_SPAN_BYTES];
} bv_trace_t;

typedef enum {
    BV_SPAN_SERVER = 2,
    BV_SPAN_CLIENT = 3,
} bv_span_kind_t;

typedef struct {
    bv_trace_t trace;
    uint8_t parent_span_id[BV_SPAN_BYTES];
    bv_span_kind_t kind;
    char name[64];
    char member[BV_NAME_BYTES];
    bv_outcome_t outcome;
    bv_reason_t reason;
    uint16_t status;
    int64_t start_wall_us;
    int64_t duration_us;
} bv_span_t;

typedef struct {
    const char *url;
    const char *name;
    uint32_t ring_capacity;
} bv_exporter_options_t;

bv_exporter_t *bv_exporter_start(apr_pool_t *pool,
                                 const bv_exporter_options_t *options);
void bv_exporter_stop(bv_exporter_t *exporter);

/* Queues a span; NULL exporter: nothing is exported. */
void bv_exporter_add_span(bv_exporter_t *exporter, const bv_span_t *span);

/* Parses a traceparent header; false when it is not one. */
bool bv_trace_parse(const char *text, bv_trace_t *trace);

/* Writes a traceparent header. */
char *bv_trace_text(const bv_trace_t *trace, char text[BV_TRACE_TEXT_BYTES]);

/* A new span id below `parent`, or a new trace when it is NULL. */
bv_trace_t bv_trace_new_span(const bv_trace_t *parent, GRand *random);

#endif
