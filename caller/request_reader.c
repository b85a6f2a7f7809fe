#include "request_reader.h"

#include "berylvane/caller/framing.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"

/* Logged by what refuses the call, within the log budget. */
#define STATUS_UNAUTHORIZED 401
#define STATUS_CONTENT_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
/* Time after which a caller may retry a request that memory was short for. */
#define RETRY_AFTER_US BV_US_PER_S
/* RFC 9110, section 11.6.1: a response 401 names the scheme. */
#define CHALLENGE "WWW-Authenticate: Bearer\r\n"

struct bv_request_reader {
    bv_request_reader_options_t options;
    int64_t accepted_us;
    int64_t head_since_us;
    bv_request_parser_t *parser;
    /* The request that is being read; NULL before its head is complete. */
    bv_exchange_t *receiving;
    uint64_t received_bytes;
    /* Length of the body that is being received; 0 if it is not known. */
    uint64_t reserved_bytes;
    /* Why the request is refused, if its status is STATUS_UNAVAILABLE. */
    bv_reason_t refusal_reason;
    bool owes_continue;
};

/*
 * Checks a body of which `size` bytes are known to come or were received.
 * Returns 0, or the HTTP status that the request is refused with.
 */
static uint16_t
check_body_size(bv_request_reader_t *reader, uint64_t size)
{
    const bv_connection_limits_t *limits = reader->options.limits;
    if (size > bv_limit(&limits->body_bytes)) {
        return STATUS_CONTENT_TOO_LARGE;
    }
    if (size > bv_limit(&limits->carried_body_bytes)) {
        reader->refusal_reason = BV_REASON_BODY_TOO_LARGE;
        return STATUS_UNAVAILABLE;
    }
    return 0;
}

/* Checks whether the body of the request may be held until it is answered. */
static uint16_t
reserve_body(bv_request_reader_t *reader, uint64_t size)
{
    const bv_memory_budget_t *budget = reader->options.budget;
    if (budget != NULL && size > 0 && !bv_memory_budget_admits(budget, size)) {
        reader->refusal_reason = BV_REASON_NO_MEMORY;
        return STATUS_UNAVAILABLE;
    }
    reader->reserved_bytes = size;
    return 0;
}

static uint16_t
check_head(bv_request_reader_t *reader, const bv_request_head_t *head)
{
    const bv_request_reader_options_t *options = &reader->options;
    uint16_t status = bv_framing_check(head->lines);
    if (status == 0) {
        status = options->dialect->read_head(options->dialect->context,
                                             options->role, head->lines,
                                             &reader->receiving->call);
    }
    if (status == 0) {
        status = check_body_size(reader, head->content_length);
    }
    if (status == 0 && head->has_body) {
        status =
            options->check_head(options->context, &reader->receiving->call);
    }
    return status == 0 ? reserve_body(reader, head->content_length) : status;
}

static uint16_t
on_head(void *context, const bv_request_head_t *head)
{
    bv_request_reader_t *reader = context;
    const bv_request_reader_options_t *options = &reader->options;
    reader->head_since_us = 0;
    reader->receiving =
        bv_exchange_create(options->listener, options->connection, head);
    reader->owes_continue = head->expects_continue;
    return check_head(reader, head);
}

static uint16_t
on_body(void *context, const char *data, size_t size)
{
    bv_request_reader_t *reader = context;
    GByteArray *body = reader->receiving->received_body;
    uint16_t status = check_body_size(reader, body->len + size);
    if (status != 0) {
        return status;
    }
    g_byte_array_append(body, (const guint8 *)data, (guint)size);
    return 0;
}

bv_request_reader_t *
bv_request_reader_create(const bv_request_reader_options_t *options,
                         int64_t accepted_us)
{
    bv_request_reader_t *reader = g_new0(bv_request_reader_t, 1);
    bv_request_parser_options_t parser = {
        .on_head = on_head, .on_body = on_body, .context = reader};
    reader->options = *options;
    reader->accepted_us = accepted_us;
    reader->head_since_us = accepted_us;
    reader->parser = bv_request_parser_create(&parser);
    return reader;
}

void
bv_request_reader_destroy(bv_request_reader_t *reader)
{
    bv_exchange_destroy(reader->receiving);
    bv_request_parser_destroy(reader->parser);
    g_free(reader);
}

static bv_exchange_t *
complete_request(bv_request_reader_t *reader, int64_t now_us)
{
    bv_exchange_t *exchange = g_steal_pointer(&reader->receiving);
    bv_call_t *call = &exchange->call;
    call->body = g_byte_array_free_to_bytes(exchange->received_body);
    exchange->received_body = NULL;
    call->arrived_us = now_us;
    call->accepted_us = reader->accepted_us;
    return exchange;
}

/*
 * Completes the refusal of a request that the limits allow. An earlier request
 * with the same key may have run.
 */
static void
set_unavailable(const bv_request_reader_t *reader,
                const bv_exchange_t *exchange, bv_reply_t *reply)
{
    bool is_short = reader->refusal_reason == BV_REASON_NO_MEMORY;
    bool has_key = exchange != NULL && exchange->call.idempotency_key != NULL;
    reply->reason = reader->refusal_reason;
    reply->outcome = has_key ? BV_OUTCOME_UNKNOWN : BV_OUTCOME_NOT_RUN;
    reply->retry_after_us = is_short ? RETRY_AFTER_US : 0;
    bv_counter_add(is_short ? BV_COUNT_BODIES_REFUSED_MEMORY
                            : BV_COUNT_BODIES_REFUSED_SIZE,
                   1);
}

static bv_exchange_t *
refuse_request(bv_request_reader_t *reader, uint16_t status)
{
    static const bv_request_head_t unread_head = {.method = "", .target = ""};
    const bv_request_reader_options_t *options = &reader->options;
    bv_exchange_t *exchange = g_steal_pointer(&reader->receiving);
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_NOT_RUN,
        .headers = status == STATUS_UNAUTHORIZED ? CHALLENGE : NULL,
        .closes_connection = true,
    };
    if (status == STATUS_UNAVAILABLE) {
        set_unavailable(reader, exchange, &reply);
    }
    if (exchange == NULL) {
        exchange = bv_exchange_create(options->listener, options->connection,
                                      &unread_head);
    }
    exchange->response =
        bv_response_build(options->dialect, &reply, exchange->call.method);
    bv_counter_add(reply.outcome == BV_OUTCOME_UNKNOWN
                       ? BV_COUNT_ANSWERS_UNKNOWN
                       : BV_COUNT_ANSWERS_NOT_RUN,
                   1);
    if (status != STATUS_UNAUTHORIZED) {
        bv_log(BV_LOG_INFO, "head_refused", "status", BV_NUM(status), NULL);
    }
    return exchange;
}

bv_received_t
bv_request_reader_feed(bv_request_reader_t *reader, int64_t now_us,
                       const char *data, size_t size)
{
    bv_received_t received = {0};
    if (bv_request_parser_is_idle(reader->parser)) {
        reader->head_since_us = now_us;
    }
    bv_parse_result_t result = bv_request_parser_feed(
        reader->parser, data, size,
        bv_limit(&reader->options.limits->header_bytes));
    received.consumed = result.consumed;
    reader->received_bytes += result.consumed;
    if (result.state == BV_PARSE_INCOMPLETE) {
        return received;
    }
    received.is_refused = result.state == BV_PARSE_REFUSED;
    received.exchange = received.is_refused
                            ? refuse_request(reader, result.status)
                            : complete_request(reader, now_us);
    received.request_bytes = reader->received_bytes;
    reader->received_bytes = 0;
    reader->reserved_bytes = 0;
    reader->owes_continue = false;
    return received;
}

int64_t
bv_request_reader_head_since_us(const bv_request_reader_t *reader)
{
    return reader->head_since_us;
}

bool
bv_request_reader_take_continue(bv_request_reader_t *reader)
{
    bool owes_continue = reader->owes_continue;
    reader->owes_continue = false;
    return owes_continue;
}

uint64_t
bv_request_reader_held_bytes(const bv_request_reader_t *reader)
{
    return MAX(reader->received_bytes, reader->reserved_bytes);
}

bool
bv_request_reader_is_reserved(const bv_request_reader_t *reader)
{
    return reader->reserved_bytes > 0;
}
