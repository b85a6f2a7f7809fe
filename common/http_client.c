#include "berylvane/common/http_client.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/common/http_poll.h"
#include "berylvane/common/ring.h"
#include "http_reception.h"

#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <string.h>

#define POLL_LIMIT_MS 1000

typedef struct {
    bv_http_request_t *request;
    CURL *easy;
    struct curl_slist *header_lines;
    http_reception_t reception;
    /* Bytes of the request's body that libcurl has read. */
    size_t sent_bytes;
    int64_t started_us;
} transfer_t;

/*
 * Command for the client's thread: send `request`, or, if that is NULL, cancel
 * the request with the id `cancel_id`.
 */
typedef struct {
    bv_http_request_t *request;
    uint64_t cancel_id;
} command_t;

struct bv_http_client {
    bool is_threadless;
    bv_response_share_t share;
    bool distrusts_kept_after_timeout;
    /* Connections that were opened before are not used; 0 for none. */
    int64_t distrusted_before_us;
    CURLM *multi;
    bv_http_poll_t *poll;
    bv_ring_t *ring;
    apr_thread_t *thread;
    /* Unfinished transfers by the id of their request. */
    GHashTable *transfers;
    GPtrArray *idle_easy_handles;
    gint is_stopping;
};

bv_http_request_t *
bv_http_request_create(const char *method, const char *url)
{
    bv_http_request_t *request = g_new0(bv_http_request_t, 1);
    request->method = g_strdup(method);
    request->url = g_strdup(url);
    return request;
}

void
bv_http_request_destroy(bv_http_request_t *request)
{
    if (request == NULL) {
        return;
    }
    g_free(request->method);
    g_free(request->url);
    g_free(request->source_address);
    g_free(request->headers);
    g_free(request->echo_name);
    g_free(request->echo_value);
    g_clear_pointer(&request->body, g_bytes_unref);
    g_free(request);
}

static size_t
send_body(char *buffer, size_t size, size_t count, void *context)
{
    transfer_t *transfer = context;
    gsize total;
    const char *data = g_bytes_get_data(transfer->request->body, &total);
    size_t length = MIN(size * count, total - transfer->sent_bytes);
    memcpy(buffer, data + transfer->sent_bytes, length);
    transfer->sent_bytes += length;
    return length;
}

static void
append_header_line(void *context, const char *name, const char *value)
{
    transfer_t *transfer = context;
    char *line = g_strdup_printf("%s: %s", name, value);
    transfer->header_lines = curl_slist_append(transfer->header_lines, line);
    g_free(line);
}

static void
set_body(transfer_t *transfer)
{
    const bv_http_request_t *request = transfer->request;
    CURL *easy = transfer->easy;
    bool empty =
        request->body == NULL || (g_bytes_get_size(request->body) == 0 &&
                                  strcmp(request->method, "GET") == 0);
    if (empty) {
        if (strcmp(request->method, "HEAD") == 0) {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        return;
    }
    curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, send_body);
    curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                     (curl_off_t)g_bytes_get_size(request->body));
}

static CURL *
acquire_easy_handle(bv_http_client_t *client)
{
    if (client->idle_easy_handles->len == 0) {
        return curl_easy_init();
    }
    return g_ptr_array_steal_index_fast(client->idle_easy_handles,
                                        client->idle_easy_handles->len - 1);
}

/*
 * Keeps libcurl from using connections that were open when a request timed
 * out. It compares the age of a connection in whole seconds, and takes a limit
 * of 0 as none.
 */
static void
restrict_reuse(const bv_http_client_t *client, const transfer_t *transfer)
{
    if (client->distrusted_before_us == 0) {
        return;
    }
    int64_t age_us = transfer->started_us - client->distrusted_before_us;
    long limit_s = (long)(age_us / BV_US_PER_S) - 1;
    if (limit_s < 1) {
        curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    curl_easy_setopt(transfer->easy, CURLOPT_MAXLIFETIME_CONN, limit_s);
}

static void
start_transfer(bv_http_client_t *client, bv_http_request_t *request)
{
    transfer_t *transfer = g_new0(transfer_t, 1);
    transfer->request = request;
    transfer->easy = acquire_easy_handle(client);
    http_reception_init(&transfer->reception, &client->share, request,
                        transfer->easy);
    transfer->started_us = bv_clock_now_us();
    CURL *easy = transfer->easy;
    bv_headers_foreach(request->headers, append_header_line, transfer);
    transfer->header_lines =
        curl_slist_append(transfer->header_lines, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    /* Else libcurl removes the segments "." and ".." from the path. */
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_lines);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    /* Else the end of a request waits for a resolver that does not answer. */
    curl_easy_setopt(easy, CURLOPT_QUICK_EXIT, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)MAX(request->timeout_us / 1000, 1));
    restrict_reuse(client, transfer);
    if (request->uses_fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request->idle_limit_s > 0) {
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                         (long)request->idle_limit_s);
    }
    bv_http_poll_attach(client->poll, easy);
    if (request->source_address != NULL) {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, request->source_address);
    }
    set_body(transfer);
    g_hash_table_insert(client->transfers, &request->id, transfer);
    curl_multi_add_handle(client->multi, easy);
}

static bv_http_result_t
classify_result(transfer_t *transfer, CURLcode code)
{
    long request_size = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request_size);
    switch (code) {
    case CURLE_OK:
        return http_reception_check_end(&transfer->reception)
                   ? BV_HTTP_ANSWERED
                   : BV_HTTP_BROKEN;
    case CURLE_URL_MALFORMAT:
        return BV_HTTP_NOT_SENT;
    case CURLE_COULDNT_CONNECT:
        /*
         * libcurl may have sent the request over a reused connection before it
         * failed to open a new one.
         */
        return request_size == 0 ? BV_HTTP_NOT_SENT : BV_HTTP_BROKEN;
    case CURLE_OPERATION_TIMEDOUT:
        return request_size == 0 ? BV_HTTP_NOT_SENT : BV_HTTP_TIMEOUT;
    default:
        return BV_HTTP_BROKEN;
    }
}

static void
finish_transfer(bv_http_client_t *client, transfer_t *transfer,
                bv_http_result_t result, const char *error)
{
    bv_http_request_t *request = transfer->request;
    long status = 0;
    if (result == BV_HTTP_TIMEOUT && client->distrusts_kept_after_timeout) {
        client->distrusted_before_us = bv_clock_now_us();
    }
    /* What came of a broken answer says nothing of the request. */
    if (result == BV_HTTP_ANSWERED) {
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    }
    bv_http_answer_t answer = {
        .id = request->id,
        .result = result,
        .error = error,
        .status = (uint16_t)status,
        .headers = transfer->reception.head.lines->str,
        .latency_us = bv_clock_now_us() - transfer->started_us,
    };
    answer.body = http_reception_take_body(&transfer->reception);
    request->on_answer(request->context, &answer);
    g_bytes_unref(answer.body);
    curl_multi_remove_handle(client->multi, transfer->easy);
    curl_easy_reset(transfer->easy);
    g_ptr_array_add(client->idle_easy_handles, transfer->easy);
    g_hash_table_remove(client->transfers, &request->id);
    curl_slist_free_all(transfer->header_lines);
    http_reception_clear(&transfer->reception);
    bv_http_request_destroy(request);
    g_free(transfer);
}

static void
cancel_transfer(bv_http_client_t *client, uint64_t id)
{
    transfer_t *transfer = g_hash_table_lookup(client->transfers, &id);
    if (transfer != NULL) {
        finish_transfer(client, transfer, BV_HTTP_CANCELLED, "cancelled");
    }
}

static void
run_commands(bv_http_client_t *client)
{
    for (;;) {
        command_t *command = bv_ring_pop(client->ring);
        if (command == NULL) {
            return;
        }
        if (command->request != NULL) {
            start_transfer(client, command->request);
        }
        else {
            cancel_transfer(client, command->cancel_id);
        }
        g_free(command);
    }
}

static void
finish_completed_transfers(bv_http_client_t *client)
{
    int messages_left;
    CURLMsg *message;
    while ((message = curl_multi_info_read(client->multi, &messages_left)) !=
           NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURLcode code = message->data.result;
        transfer_t *transfer;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        bv_http_result_t result = classify_result(transfer, code);
        const char *error = transfer->reception.error;
        finish_transfer(client, transfer, result,
                        error != NULL ? error : curl_easy_strerror(code));
    }
}

int
bv_http_client_fd(const bv_http_client_t *client)
{
    return bv_http_poll_fd(client->poll);
}

int64_t
bv_http_client_next_timer_us(const bv_http_client_t *client)
{
    return bv_http_poll_next_timer_us(client->poll);
}

size_t
bv_http_client_received_bytes(const bv_http_client_t *client)
{
    return client->share.received_bytes;
}

void
bv_http_client_run_timers(bv_http_client_t *client)
{
    bv_http_poll_run_timers(client->poll);
    finish_completed_transfers(client);
}

void
bv_http_client_run(bv_http_client_t *client)
{
    bv_http_poll_run(client->poll, 0);
    finish_completed_transfers(client);
}

static void *APR_THREAD_FUNC
client_run(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_http_client_t *client = data;
    for (;;) {
        /* The wake-up of a stop that comes after the check is not cleared. */
        bv_ring_clear_event(client->ring);
        if (g_atomic_int_get(&client->is_stopping)) {
            break;
        }
        run_commands(client);
        finish_completed_transfers(client);
        bv_http_poll_run(client->poll, POLL_LIMIT_MS);
    }
    return NULL;
}

bv_http_client_t *
bv_http_client_start(apr_pool_t *pool, const bv_http_client_options_t *options)
{
    bv_http_client_t *client = apr_pcalloc(pool, sizeof(*client));
    client->multi = curl_multi_init();
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)options->kept_connections);
    client->ring = bv_ring_create(pool, MAX(options->ring_capacity, 1));
    client->poll =
        bv_http_poll_create(pool, client->multi, bv_ring_fd(client->ring));
    client->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
    client->idle_easy_handles =
        g_ptr_array_new_with_free_func((GDestroyNotify)curl_easy_cleanup);
    client->is_threadless = options->is_threadless;
    client->share.limit_bytes = options->answers_limit_bytes;
    client->distrusts_kept_after_timeout =
        options->distrusts_kept_after_timeout;
    if (!client->is_threadless) {
        apr_thread_create(&client->thread, NULL, client_run, client, pool);
    }
    return client;
}

static void
cancel_all_transfers(bv_http_client_t *client)
{
    GList *transfers = g_hash_table_get_values(client->transfers);
    for (GList *link = transfers; link != NULL; link = link->next) {
        finish_transfer(client, link->data, BV_HTTP_CANCELLED, "stopped");
    }
    g_list_free(transfers);
}

void
bv_http_client_stop(bv_http_client_t *client)
{
    if (!client->is_threadless) {
        apr_status_t result;
        g_atomic_int_set(&client->is_stopping, 1);
        bv_ring_wake_consumer(client->ring);
        apr_thread_join(&result, client->thread);
    }
    run_commands(client);
    cancel_all_transfers(client);
    g_hash_table_destroy(client->transfers);
    g_ptr_array_unref(client->idle_easy_handles);
    curl_multi_cleanup(client->multi);
    bv_http_poll_destroy(client->poll);
}

static bool
push_command(bv_http_client_t *client, command_t *command)
{
    if (!bv_ring_push(client->ring, command)) {
        g_free(command);
        return false;
    }
    return true;
}

bool
bv_http_client_send(bv_http_client_t *client, bv_http_request_t *request)
{
    if (client->is_threadless) {
        start_transfer(client, request);
        return true;
    }
    command_t *command = g_new0(command_t, 1);
    command->request = request;
    if (!push_command(client, command)) {
        bv_http_request_destroy(request);
        return false;
    }
    return true;
}

bool
bv_http_client_cancel(bv_http_client_t *client, uint64_t id)
{
    if (client->is_threadless) {
        cancel_transfer(client, id);
        return true;
    }
    command_t *command = g_new0(command_t, 1);
    command->cancel_id = id;
    return push_command(client, command);
}
