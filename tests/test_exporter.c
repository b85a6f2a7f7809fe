#include "berylvane/collector/exporter.h"

#include "berylvane/common/counters.h"
#include "berylvane/common/program.h"
#include "silent_server.h"
#include "support.h"

/*
 * Tests that every span is counted when the exporter stops while a collector
 * has not answered. Requests that the HTTP client loses would leave spans that
 * are neither sent nor dropped in the counters.
 */
#define RING_CAPACITY 2048
/* Spans of one request; as in the exporter. */
#define BATCH_SPANS 256

static const uint64_t span_counts[] = {1, BATCH_SPANS, BATCH_SPANS + 1,
                                       4 * BATCH_SPANS};

START_TEST(test_stop_counts_every_span)
{
    uint64_t span_count = span_counts[_i];
    silent_server_t *server = silent_server_start("", G_MAXINT32);
    char *url =
        g_strdup_printf("http://127.0.0.1:%u", silent_server_port(server));
    apr_pool_t *pool = bv_program_start();
    uint64_t dropped_before = bv_counter_get(BV_COUNT_SPANS_DROPPED);
    bv_exporter_options_t options = {
        .url = url, .name = "node-1", .ring_capacity = RING_CAPACITY};
    bv_exporter_t *exporter = bv_exporter_start(pool, &options);
    bv_span_t span = {.kind = BV_SPAN_SERVER, .name = "/a"};
    for (uint64_t i = 0; i < span_count; i++) {
        bv_exporter_add_span(exporter, &span);
    }
    bv_exporter_stop(exporter);
    ck_assert_uint_eq(bv_counter_get(BV_COUNT_SPANS_DROPPED) - dropped_before,
                      span_count);
    silent_server_stop(server);
    g_free(url);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"stop_counts_every_span",
                                     test_stop_counts_every_span,
                                     G_N_ELEMENTS(span_counts)},
                                    {NULL}};
    return support_run("exporter", tests);
}
