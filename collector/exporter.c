#include "berylvane/collector/exporter.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"

#include <apr_thread_proc.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

#define BATCH_LIMIT_SPANS 256
#define IDLE_WAIT_US BV_US_PER_S
#define BATCH_PAUSE_US (BV_US_PER_S / 4)
#define SEND_TIMEOUT_US (2 * BV_US_PER_S)
#define ANSWER_LIMIT_BYTES 65536

struct bv_exporter {
    char *url;
    char *name;
    bv_ring_t *ring;
    bv_http_client_t *http;
    uint64_t last_request_id;
    apr_thread_t *thread;
    /* Spans of the next request. */
    GPtrArray *batch;
    gint is_stopping;
};

static json_t *
render_attribute(const char *key, const char *value)
{
    return json_pack("{s:s, s:{s:s}}", "key", key, "value", "stringValue",
                     value);
}

static json_t *
render_span(const bv_span_t *span)
{
    char trace[BV_ID_TEXT_BYTES];
    char id[2 * BV_SPAN_BYTES + 1];
    char parent[2 * BV_SPAN_BYTES + 1];
    char start[32];
    char end[32];
    bv_hex_write(id, span->trace.span_id, BV_SPAN_BYTES);
    bv_hex_write(parent, span->parent_span_id, BV_SPAN_BYTES);
    /* OTLP has times in nanoseconds: three zeros follow the microseconds. */
    g_snprintf(start, sizeof(start), "%" G_GINT64_FORMAT "000",
               (gint64)span->start_wall_us);
    g_snprintf(end, sizeof(end), "%" G_GINT64_FORMAT "000",
               (gint64)(span->start_wall_us + span->duration_us));
    json_t *attributes = json_pack(
        "[o, o, o]",
        render_attribute("berylvane.outcome", bv_outcome_name(span->outcome)),
        render_attribute("berylvane.reason", bv_reason_name(span->reason)),
        render_attribute("berylvane.member", span->member));
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:o}", "traceId",
                     bv_id_text(&span->trace.trace_id, trace), "spanId", id,
                     "parentSpanId", parent, "name", span->name, "kind",
                     (int)span->kind, "startTimeUnixNano", start,
                     "endTimeUnixNano", end, "attributes", attributes);
}

static void
count_batch_result(void *context, const bv_http_answer_t *answer)
{
    guint count = GPOINTER_TO_UINT(context);
    bool is_accepted =
        answer->result == BV_HTTP_ANSWERED && answer->status == 200;
    bv_counter_add(is_accepted ? BV_COUNT_SPANS_SENT : BV_COUNT_SPANS_DROPPED,
                   count);
}

static GBytes *
render_batch(bv_exporter_t *exporter)
{
    json_t *spans = json_array();
    for (guint i = 0; i < exporter->batch->len; i++) {
        json_array_append_new(spans, render_span(exporter->batch->pdata[i]));
    }
    json_t *root = json_pack(
        "{s:[{s:{s:[o]}, s:[{s:{s:s}, s:o}]}]}", "resourceSpans", "resource",
        "attributes", render_attribute("service.instance.id", exporter->name),
        "scopeSpans", "scope", "name", "berylvane", "spans", spans);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static void
send_batch(bv_exporter_t *exporter)
{
    guint count = exporter->batch->len;
    if (count == 0) {
        return;
    }
    bv_http_request_t *request = bv_http_request_create("POST", exporter->url);
    request->id = ++exporter->last_request_id;
    request->headers = g_strdup("Content-Type: application/json\r\n");
    request->body = render_batch(exporter);
    request->timeout_us = SEND_TIMEOUT_US;
    request->answer_limit_bytes = ANSWER_LIMIT_BYTES;
    request->on_answer = count_batch_result;
    request->context = GUINT_TO_POINTER(count);
    if (!bv_http_client_send(exporter->http, request)) {
        bv_counter_add(BV_COUNT_SPANS_DROPPED, count);
    }
    g_ptr_array_set_size(exporter->batch, 0);
}

/* Sends `span` and all spans of the ring, in batches. */
static void
send_queued_spans(bv_exporter_t *exporter, bv_span_t *span)
{
    while (span != NULL) {
        g_ptr_array_add(exporter->batch, span);
        if (exporter->batch->len >= BATCH_LIMIT_SPANS) {
            send_batch(exporter);
        }
        span = bv_ring_pop(exporter->ring);
    }
    send_batch(exporter);
}

static void *APR_THREAD_FUNC
exporter_run(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_exporter_t *exporter = data;
    while (!g_atomic_int_get(&exporter->is_stopping)) {
        send_queued_spans(exporter,
                          bv_ring_wait(exporter->ring, IDLE_WAIT_US));
        /* Spans that arrive during the pause share one request and wake-up. */
        usleep(BATCH_PAUSE_US);
    }
    send_queued_spans(exporter, bv_ring_pop(exporter->ring));
    return NULL;
}

bv_exporter_t *
bv_exporter_start(apr_pool_t *pool, const bv_exporter_options_t *options)
{
    bv_exporter_t *exporter = g_new0(bv_exporter_t, 1);
    bv_http_client_options_t http = {.ring_capacity = 64,
                                     .kept_connections = 2};
    exporter->url = g_strconcat(options->url, "/v1/traces", NULL);
    exporter->name = g_strdup(options->name);
    exporter->ring = bv_ring_create(pool, options->ring_capacity);
    exporter->batch = g_ptr_array_new_with_free_func(g_free);
    exporter->http = bv_http_client_start(pool, &http);
    apr_thread_create(&exporter->thread, NULL, exporter_run, exporter, pool);
    return exporter;
}

void
bv_exporter_stop(bv_exporter_t *exporter)
{
    if (exporter == NULL) {
        return;
    }
    g_atomic_int_set(&exporter->is_stopping, 1);
    bv_ring_wake_consumer(exporter->ring);
    apr_status_t result;
    apr_thread_join(&result, exporter->thread);
    bv_http_client_stop(exporter->http);
    g_ptr_array_unref(exporter->batch);
    g_free(exporter->url);
    g_free(exporter->name);
    g_free(exporter);
}

void
bv_exporter_add_span(bv_exporter_t *exporter, const bv_span_t *span)
{
    if (exporter == NULL) {
        return;
    }
    bv_span_t *copy = g_memdup2(span, sizeof(*span));
    if (!bv_ring_push(exporter->ring, copy)) {
        bv_counter_add(BV_COUNT_SPANS_DROPPED, 1);
        g_free(copy);
    }
}
