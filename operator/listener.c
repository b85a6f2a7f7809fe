#include "berylvane/operator/listener.h"

#include "berylvane/common/account_counters.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/headers.h"

#include <sodium.h>
#include <string.h>

/* Sized for a configuration bundle, which operators may post. */
#define BODY_LIMIT_BYTES (8 * 1024 * 1024)

struct bv_operator_listener {
    bv_operator_listener_options_t options;
    char *authorization;
    /* Without a bound, and used on the listener's thread only. */
    bv_memory_budget_t *budget;
    bv_listener_t *listener;
};

static void
reply_text(bv_call_t *call, uint16_t status, const char *type, char *text)
{
    GBytes *body = g_bytes_new_take(text, strlen(text));
    char *headers = g_strdup_printf("Content-Type: %s\r\n", type);
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_RAN,
        .headers = headers,
        .body = body,
    };
    bv_call_reply(call, &reply);
    g_bytes_unref(body);
    g_free(headers);
}

void
bv_operator_reply(bv_call_t *call, uint16_t status, char *text)
{
    reply_text(call, status, "application/json", text);
}

static bool
is_authorized(const bv_operator_listener_t *listener, const bv_call_t *call)
{
    if (listener->authorization == NULL) {
        return false;
    }
    char *received = bv_headers_get(call->headers, "Authorization");
    size_t length = strlen(listener->authorization);
    bool matches =
        received != NULL && strlen(received) == length &&
        sodium_memcmp(received, listener->authorization, length) == 0;
    g_free(received);
    return matches;
}

static bool
handle_call(void *context, bv_call_t *call)
{
    bv_operator_listener_t *listener = context;
    bool is_get = strcmp(call->method, "GET") == 0;
    if (is_get && strcmp(call->path, "/metrics") == 0) {
        GString *text = g_string_new(NULL);
        bv_counters_render(text);
        bv_account_counters_render(text);
        bv_account_counters_render_demand(text);
        bv_gauges_render(text, bv_clock_now_us());
        reply_text(call, 200, "text/plain; version=0.0.4",
                   g_string_free(text, FALSE));
        return true;
    }
    if (!is_get && !is_authorized(listener, call)) {
        bv_operator_reply(call, 401,
                          g_strdup("{\"error\": \"operator token needed\"}"));
        return true;
    }
    return listener->options.on_query(listener->options.context, call);
}

bv_operator_listener_t *
bv_operator_listener_start(const bv_operator_listener_options_t *options,
                           GError **error)
{
    bv_operator_listener_t *listener = g_new0(bv_operator_listener_t, 1);
    listener->options = *options;
    if (options->token != NULL) {
        listener->authorization = g_strconcat("Bearer ", options->token, NULL);
    }
    bv_memory_budget_options_t unbounded = {0};
    listener->budget = bv_memory_budget_create(&unbounded);
    bv_listener_options_t http_options = {
        .address = options->address,
        .port = options->port,
        .limits = {.body_bytes = BODY_LIMIT_BYTES},
        .budget = listener->budget,
        .on_call = handle_call,
        .context = listener,
    };
    listener->listener = bv_listener_start(&http_options, error);
    if (listener->listener == NULL) {
        bv_memory_budget_destroy(listener->budget);
        g_free(listener->authorization);
        g_free(listener);
        return NULL;
    }
    return listener;
}

void
bv_operator_listener_close(bv_operator_listener_t *listener)
{
    bv_listener_close(listener->listener);
}

bool
bv_operator_listener_is_idle(const bv_operator_listener_t *listener)
{
    return bv_listener_is_idle(listener->listener);
}

size_t
bv_operator_listener_held_bytes(const bv_operator_listener_t *listener)
{
    return listener != NULL ? bv_listener_held_bytes(listener->listener) : 0;
}

void
bv_operator_listener_stop(bv_operator_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    bv_listener_stop(listener->listener);
    bv_memory_budget_destroy(listener->budget);
    g_free(listener->authorization);
    g_free(listener);
}
