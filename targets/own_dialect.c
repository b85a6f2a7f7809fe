#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/targets/dialect.h"

static void
add_line(GString *lines, const char *name, const char *value)
{
    if (value != NULL) {
        bv_headers_append_line(lines, name, value);
    }
}

static void
write_head(void *context, const bv_target_work_t *work, bv_target_head_t *head)
{
    (void)context;
    char id[BV_ID_TEXT_BYTES];
    char remaining_ms[24];
    g_snprintf(remaining_ms, sizeof(remaining_ms), "%" G_GINT64_FORMAT,
               (gint64)(work->timeout_us / BV_US_PER_MS));
    GString *lines = head->lines;
    add_line(lines, BV_HEADER_REQUEST_ID, bv_id_text(&work->request_id, id));
    add_line(lines, BV_HEADER_TIMEOUT, remaining_ms);
    add_line(lines, BV_HEADER_IDEMPOTENCY_KEY, work->idempotency_key);
    add_line(lines, BV_HEADER_CUSTOMER, work->customer);
    add_line(lines, BV_HEADER_TRACEPARENT, work->traceparent);
}

/* A target has run every request that it answers completely. */
static void
classify_answer(void *context, const bv_http_answer_t *answer,
                bv_target_result_t *result)
{
    (void)context;
    (void)answer;
    result->outcome = BV_OUTCOME_RAN;
}

const bv_target_dialect_t bv_target_own_dialect = {
    .write_head = write_head,
    .classify_answer = classify_answer,
};
