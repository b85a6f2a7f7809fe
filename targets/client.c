#include "berylvane/targets/client.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/common/http_client.h"

#include <string.h>

/*
 * Kept connections are not reused from this long before the target closes
 * them, so that the target does not close a connection while a request is sent
 * on it.
 */
#define IDLE_MARGIN_S 1

struct bv_target_client {
    bv_target_client_options_t options;
    bv_http_client_t *http;
    /*
     * Kept connections that were idle for longer than this are not reused.
     * Derived from the target's last Keep-Alive header; 0 if the target has
     * sent none.
     */
    gint idle_limit_s;
};

/* Reads the target's idle timeout from "Keep-Alive: timeout=N". */
static void
update_idle_limit(bv_target_client_t *client, const bv_http_answer_t *answer)
{
    char *value = bv_headers_get(answer->headers, "Keep-Alive");
    const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
    if (timeout != NULL) {
        gint64 seconds =
            g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10);
        g_atomic_int_set(&client->idle_limit_s,
                         (gint)CLAMP(seconds - IDLE_MARGIN_S, 1, G_MAXINT));
    }
    g_free(value);
}

static void
classify(bv_target_client_t *client, const bv_http_answer_t *answer,
         bv_target_result_t *result)
{
    const bv_target_dialect_t *dialect = client->options.dialect;
    switch (answer->result) {
    case BV_HTTP_ANSWERED:
        result->outcome = BV_OUTCOME_RAN;
        dialect->classify_answer(dialect->context, answer, result);
        update_idle_limit(client, answer);
        break;
    case BV_HTTP_NOT_SENT:
        result->outcome = BV_OUTCOME_NOT_RUN;
        result->reason = BV_REASON_CONNECT;
        break;
    case BV_HTTP_BROKEN:
        result->outcome = BV_OUTCOME_UNKNOWN;
        result->reason = BV_REASON_BROKEN_ANSWER;
        break;
    case BV_HTTP_TIMEOUT:
        result->outcome = BV_OUTCOME_UNKNOWN;
        result->reason = BV_REASON_TIMEOUT;
        break;
    case BV_HTTP_CANCELLED:
        result->outcome = BV_OUTCOME_UNKNOWN;
        result->reason = BV_REASON_CANCELLED;
        break;
    }
}

static void
handle_answer(void *context, const bv_http_answer_t *answer)
{
    bv_target_client_t *client = context;
    bv_target_result_t *result = g_new0(bv_target_result_t, 1);
    result->id = answer->id;
    result->latency_us = answer->latency_us;
    classify(client, answer, result);
    if (result->outcome == BV_OUTCOME_RAN) {
        result->status = answer->status;
        result->headers = bv_headers_filter(answer->headers);
        result->body = g_bytes_ref(answer->body);
    }
    client->options.on_result(client->options.context, result);
}

bv_target_client_t *
bv_target_client_start(apr_pool_t *pool,
                       const bv_target_client_options_t *options)
{
    bv_target_client_t *client = apr_pcalloc(pool, sizeof(*client));
    client->options = *options;
    if (options->dialect == NULL) {
        client->options.dialect = &bv_target_own_dialect;
    }
    bv_http_client_options_t http = {
        .kept_connections = options->kept_connections,
        .answers_limit_bytes = options->answers_limit_bytes,
        .is_threadless = true,
    };
    client->http = bv_http_client_start(pool, &http);
    return client;
}

void
bv_target_client_stop(bv_target_client_t *client)
{
    bv_http_client_stop(client->http);
}

int
bv_target_client_fd(const bv_target_client_t *client)
{
    return bv_http_client_fd(client->http);
}

int64_t
bv_target_client_next_timer_us(const bv_target_client_t *client)
{
    return bv_http_client_next_timer_us(client->http);
}

size_t
bv_target_client_received_bytes(const bv_target_client_t *client)
{
    return bv_http_client_received_bytes(client->http);
}

void
bv_target_client_run(bv_target_client_t *client)
{
    bv_http_client_run(client->http);
}

void
bv_target_client_run_timers(bv_target_client_t *client)
{
    bv_http_client_run_timers(client->http);
}

void
bv_target_client_send(bv_target_client_t *client, const bv_target_work_t *work)
{
    char *url = g_strdup_printf("http://%s:%u%s", work->address, work->port,
                                work->path);
    bv_http_request_t *request = bv_http_request_create(work->method, url);
    g_free(url);
    request->id = work->id;
    const bv_target_dialect_t *dialect = client->options.dialect;
    dialect->write_head(dialect->context, work, request);
    request->body = work->body != NULL ? g_bytes_ref(work->body) : NULL;
    request->uses_fresh_connection = !work->is_idempotent;
    request->idle_limit_s = (uint32_t)g_atomic_int_get(&client->idle_limit_s);
    request->timeout_us = work->timeout_us;
    request->answer_limit_bytes = client->options.answer_limit_bytes;
    request->on_answer = handle_answer;
    request->context = client;
    bv_http_client_send(client->http, request);
}

void
bv_target_client_cancel(bv_target_client_t *client, uint64_t id)
{
    bv_http_client_cancel(client->http, id);
}

void
bv_target_result_destroy(bv_target_result_t *result)
{
    g_free(result->headers);
    g_clear_pointer(&result->body, g_bytes_unref);
    g_free(result);
}
