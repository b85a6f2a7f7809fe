#include "service.h"

#include "berylvane/common/clock.h"

#include <stdlib.h>
#include <string.h>

#define IDLE_WAIT_US (10 * BV_US_PER_MS)
#define TRANSACT_PATH "/v1/rows-tx"
#define GET_PATH "/v1/rows-get"
#define WATCH_PATH "/v1/rows-feed"
#define PUT_PREFIX "/v1/blob-put/"
#define OBJECT_PREFIX "/v1/blob-get/"

/* An answer that is sent at `due_us`, or later if the service hangs. */
typedef struct {
    bv_call_t *call;
    uint16_t status;
    GBytes *body;
    int64_t due_us;
    /* The service's era when the call was executed; 0 states none. */
    int64_t era;
} pending_t;

/* A call that waits for changes of a table, at most until `due_us`. */
typedef struct {
    bv_call_t *call;
    GHashTable *query;
    int64_t due_us;
    /* The service's era when the watch began. */
    int64_t era;
} watch_t;

GHashTable *
objects_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 (GDestroyNotify)g_bytes_unref);
}

service_t *
service_create(bv_ring_t *calls, guint32 seed)
{
    service_t *service = g_new0(service_t, 1);
    service->calls = calls;
    service->random = g_rand_new_with_seed(seed);
    service->rows = table_create();
    service->objects = objects_create();
    service->era = 1;
    g_queue_init(&service->delayed_answers);
    g_queue_init(&service->watches);
    g_queue_init(&service->silent_calls);
    return service;
}

void
service_destroy(service_t *service)
{
    g_hash_table_destroy(service->rows);
    g_hash_table_destroy(service->objects);
    backup_clear(service);
    g_rand_free(service->random);
    g_free(service);
}

static GBytes *
json_bytes(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static bool
is_object_write(const bv_call_t *call)
{
    return g_str_has_prefix(call->path, PUT_PREFIX);
}

json_t *
service_parse_body(const bv_call_t *call)
{
    gsize size;
    const char *text = g_bytes_get_data(call->body, &size);
    return json_loadb(text, size, 0, NULL);
}

static void
drop_watch(gpointer data)
{
    watch_t *watch = data;
    bv_call_drop(watch->call);
    g_hash_table_unref(watch->query);
    g_free(watch);
}

static void
drop_answer(gpointer data)
{
    pending_t *pending = data;
    bv_call_drop(pending->call);
    g_clear_pointer(&pending->body, g_bytes_unref);
    g_free(pending);
}

void
service_restore(service_t *service)
{
    backup_restore(service);
    g_queue_clear_full(&service->delayed_answers, drop_answer);
    if (!service->hold_watches) {
        g_queue_clear_full(&service->watches, drop_watch);
    }
}

static bool
is_silent(const service_t *service, const bv_call_t *call)
{
    return call->accepted_us <= service->silent_until_us;
}

void
service_silence(service_t *service)
{
    service->silent_until_us = bv_clock_now_us();
    for (guint remaining = service->delayed_answers.length; remaining > 0;
         remaining--) {
        pending_t *pending = g_queue_pop_head(&service->delayed_answers);
        g_queue_push_tail(&service->silent_calls, pending->call);
        g_clear_pointer(&pending->body, g_bytes_unref);
        g_free(pending);
    }
    for (guint remaining = service->watches.length; remaining > 0;
         remaining--) {
        watch_t *watch = g_queue_pop_head(&service->watches);
        g_queue_push_tail(&service->silent_calls, watch->call);
        g_hash_table_unref(watch->query);
        g_free(watch);
    }
}

static GHashTable *
parse_query(const char *path)
{
    const char *question = strchr(path, '?');
    GHashTable *query =
        g_uri_parse_params(question != NULL ? question + 1 : "", -1, "&",
                           G_URI_PARAMS_NONE, NULL);
    return query != NULL ? query : g_hash_table_new(g_str_hash, g_str_equal);
}

static bool
is_path(const bv_call_t *call, const char *path)
{
    size_t length = strlen(path);
    return strncmp(call->path, path, length) == 0 &&
           (call->path[length] == '\0' || call->path[length] == '?');
}

static GBytes *
handle_table_call(service_t *service, const bv_call_t *call, uint16_t *status)
{
    GHashTable *query = parse_query(call->path);
    json_t *answer = NULL;
    if (is_path(call, TRANSACT_PATH)) {
        json_t *request = service_parse_body(call);
        answer = table_transact(service, request, status);
        json_decref(request);
    }
    else if (is_path(call, GET_PATH)) {
        answer = table_get(service, query, status);
    }
    else {
        *status = 404;
    }
    g_hash_table_unref(query);
    return answer != NULL ? json_bytes(answer) : NULL;
}

static GBytes *
handle_object_call(service_t *service, const bv_call_t *call, uint16_t *status)
{
    if (is_object_write(call)) {
        const char *name = call->path + strlen(PUT_PREFIX);
        service->writes++;
        g_hash_table_replace(service->objects, g_strdup(name),
                             g_bytes_ref(call->body));
        return NULL;
    }
    service->reads++;
    const char *name = call->path + strlen(OBJECT_PREFIX);
    GBytes *body = g_hash_table_lookup(service->objects, name);
    if (body == NULL) {
        *status = 404;
        return NULL;
    }
    return g_bytes_ref(body);
}

static GBytes *
count_spans(service_t *service, const bv_call_t *call)
{
    json_t *root = service_parse_body(call);
    json_t *resource =
        json_array_get(json_object_get(root, "resourceSpans"), 0);
    json_t *scope = json_array_get(json_object_get(resource, "scopeSpans"), 0);
    service->spans += json_array_size(json_object_get(scope, "spans"));
    json_decref(root);
    return NULL;
}

static GBytes *
execute_call(service_t *service, const bv_call_t *call, uint16_t *status)
{
    if (strcmp(call->path, "/control") == 0) {
        return control_handle(service, call, status);
    }
    if (strcmp(call->path, "/stats") == 0) {
        return json_bytes(json_pack(
            "{s:I, s:I, s:I}", "reads", (json_int_t)service->reads, "writes",
            (json_int_t)service->writes, "spans", (json_int_t)service->spans));
    }
    if (strcmp(call->path, "/v1/traces") == 0) {
        return count_spans(service, call);
    }
    if (service->mode == MODE_DOWN) {
        *status = 503;
        return NULL;
    }
    if (g_rand_int_range(service->random, 0, 100) < service->refuse_percent) {
        *status = 503;
        return NULL;
    }
    if (is_object_write(call) || g_str_has_prefix(call->path, OBJECT_PREFIX)) {
        return handle_object_call(service, call, status);
    }
    return handle_table_call(service, call, status);
}

/* Answers a call; `era` 0 is not stated. The caller keeps `body`. */
static void
reply_to(bv_call_t *call, uint16_t status, int64_t era, GBytes *body)
{
    char *headers =
        g_strdup_printf("Store-Era: %" G_GINT64_FORMAT "\r\n", (gint64)era);
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_RAN,
        .headers = era != 0 ? headers : NULL,
        .body = body,
    };
    bv_call_reply(call, &reply);
    g_free(headers);
}

static void
send_answer(pending_t *pending)
{
    reply_to(pending->call, pending->status, pending->era, pending->body);
    g_clear_pointer(&pending->body, g_bytes_unref);
    g_free(pending);
}

/* Whether delays and lost answers apply to a call. */
static bool
is_service_path(const bv_call_t *call)
{
    return g_str_has_prefix(call->path, "/v1/rows-") ||
           g_str_has_prefix(call->path, "/v1/blob-");
}

/*
 * Returns the changes that a watch waits for, or NULL if it continues. A watch
 * of an earlier era waits on for a version that was not issued again.
 */
static json_t *
watched_changes(const service_t *service, const watch_t *watch, bool is_due,
                uint16_t *status)
{
    json_t *changes = table_changes(service, watch->query, status);
    if (*status != 200 && watch->era != service->era && !is_due) {
        json_decref(changes);
        return NULL;
    }
    if (changes == NULL && is_due) {
        changes = json_pack("{s:[], s:I}", "Rows", "Ver",
                            (json_int_t)service->version);
    }
    return changes;
}

/*
 * Answers a watch if its table has changed, the requested history is not
 * available, its time has expired or the service is down. Answers no watch in
 * MODE_HANG or while watches are held. Returns false if the watch continues.
 */
static bool
answer_watch(service_t *service, watch_t *watch, int64_t now_us)
{
    uint16_t status = 200;
    GBytes *body = NULL;
    if (service->mode == MODE_HANG) {
        return false;
    }
    if (service->mode == MODE_DOWN) {
        status = 503;
    }
    else if (service->hold_watches) {
        return false;
    }
    else {
        json_t *changes =
            watched_changes(service, watch, now_us >= watch->due_us, &status);
        if (changes == NULL) {
            return false;
        }
        body = json_bytes(changes);
    }
    reply_to(watch->call, status, service->era, body);
    g_clear_pointer(&body, g_bytes_unref);
    g_hash_table_unref(watch->query);
    g_free(watch);
    return true;
}

static void
answer_watches(service_t *service, int64_t now_us)
{
    for (guint remaining = service->watches.length; remaining > 0;
         remaining--) {
        watch_t *watch = g_queue_pop_head(&service->watches);
        if (!answer_watch(service, watch, now_us)) {
            g_queue_push_tail(&service->watches, watch);
        }
    }
}

static void
start_watch(service_t *service, bv_call_t *call)
{
    watch_t *watch = g_new0(watch_t, 1);
    watch->call = call;
    watch->query = parse_query(call->path);
    watch->era = service->era;
    const char *wait_ms = g_hash_table_lookup(watch->query, "WaitMs");
    watch->due_us = bv_clock_now_us();
    if (wait_ms != NULL) {
        watch->due_us += g_ascii_strtoll(wait_ms, NULL, 10) * BV_US_PER_MS;
    }
    service->reads++;
    g_queue_push_tail(&service->watches, watch);
}

static void
handle_call(service_t *service, bv_call_t *call)
{
    if (is_silent(service, call) && is_service_path(call)) {
        g_queue_push_tail(&service->silent_calls, call);
        return;
    }
    if (is_path(call, WATCH_PATH) && service->mode != MODE_DOWN) {
        start_watch(service, call);
        return;
    }
    pending_t *pending = g_new0(pending_t, 1);
    pending->call = call;
    pending->status = 200;
    pending->body = execute_call(service, call, &pending->status);
    if (!is_service_path(call)) {
        send_answer(pending);
        return;
    }
    if (g_rand_int_range(service->random, 0, 100) <
        service->lose_answers_percent) {
        pending->status = 500;
        g_clear_pointer(&pending->body, g_bytes_unref);
    }
    pending->era = service->era;
    pending->due_us = bv_clock_now_us() + service->delay_ms * BV_US_PER_MS;
    g_queue_push_tail(&service->delayed_answers, pending);
}

static void
send_due_answers(service_t *service, bool including_not_due)
{
    int64_t now_us = bv_clock_now_us();
    for (;;) {
        pending_t *pending = g_queue_peek_head(&service->delayed_answers);
        if (pending == NULL ||
            (!including_not_due &&
             (service->mode == MODE_HANG || pending->due_us > now_us))) {
            return;
        }
        g_queue_pop_head(&service->delayed_answers);
        send_answer(pending);
    }
}

static void
drop_silent_calls(service_t *service)
{
    g_queue_clear_full(&service->silent_calls, (GDestroyNotify)bv_call_drop);
}

void
service_run(service_t *service)
{
    while (!g_atomic_int_get(&service->stopping)) {
        bv_call_t *call = bv_ring_wait(
            service->calls,
            service->delayed_answers.length > 0 ? 1000 : IDLE_WAIT_US);
        if (call != NULL) {
            handle_call(service, call);
        }
        send_due_answers(service, false);
        answer_watches(service, bv_clock_now_us());
    }
    send_due_answers(service, true);
    service->mode = MODE_DOWN;
    answer_watches(service, bv_clock_now_us());
    drop_silent_calls(service);
}

void
service_refuse_remaining(service_t *service)
{
    service->mode = MODE_DOWN;
    for (bv_call_t *call = bv_ring_pop(service->calls); call != NULL;
         call = bv_ring_pop(service->calls)) {
        handle_call(service, call);
    }
    send_due_answers(service, true);
    drop_silent_calls(service);
}
