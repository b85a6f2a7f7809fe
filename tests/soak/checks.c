#include "soak.h"

#include "berylvane/common/clock.h"

#include <string.h>
#include <unistd.h>

#define STATUS_TIMEOUT_US BV_US_PER_S
#define CALL_TIMEOUT_US (5 * BV_US_PER_S)
#define POLL_US (BV_US_PER_S / 10)
#define RECOVERY_TIMEOUT_US (120 * BV_US_PER_S)
#define SUCCESSES_IN_A_ROW 5

void
soak_finding(soak_t *soak, const char *format, ...)
{
    va_list list;
    va_start(list, format);
    char *text = g_strdup_vprintf(format, list);
    va_end(list);
    g_printerr("finding: %s\n", text);
    g_mutex_lock(&soak->mutex);
    g_ptr_array_add(soak->findings, text);
    g_mutex_unlock(&soak->mutex);
}

void
soak_check_processes(soak_t *soak)
{
    for (size_t i = 0; i < cluster_size(soak->cluster); i++) {
        if (soak->nodes[i].state != SOAK_RUNNING) {
            continue;
        }
        int status = cluster_wait_exit(soak->cluster, CLUSTER_NODE, i, 0);
        if (status >= 0) {
            soak_finding(soak,
                         "%s ended with status %d, though no signal was sent",
                         cluster_instance_name(soak->cluster, i), status);
            soak->nodes[i].state = SOAK_KILLED;
        }
    }
}

/*
 * Sends a request to a port and returns the status of the answer, 0 if there
 * is none. `api_key` may be NULL. If `answer` is given, sets it to the JSON
 * body, NULL if it is not JSON.
 */
static uint16_t
request_status(uint16_t port, const char *method, const char *path,
               const char *api_key, const char *body, int64_t timeout_us,
               json_t **answer)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    GBytes *bytes = body != NULL ? g_bytes_new(body, strlen(body)) : NULL;
    char *headers =
        api_key != NULL
            ? g_strdup_printf("Authorization: Bearer %s\r\n", api_key)
            : NULL;
    bv_http_call_t call = {.method = method,
                           .url = url,
                           .headers = headers,
                           .body = bytes,
                           .timeout_us = timeout_us};
    bv_http_reply_t reply = bv_http_call(&call);
    uint16_t status = reply.status;
    if (answer != NULL) {
        gsize size;
        const char *text = g_bytes_get_data(reply.body, &size);
        *answer = json_loadb(text, size, 0, NULL);
    }
    bv_http_reply_clear(&reply);
    g_clear_pointer(&bytes, g_bytes_unref);
    g_free(headers);
    g_free(url);
    return status;
}

/* Returns the generation that a node reports; -1 if it does not answer. */
static int64_t
generation_of(const soak_t *soak, size_t instance)
{
    json_t *status = NULL;
    uint16_t port = cluster_ports(soak->cluster, instance)->operators;
    int64_t generation = -1;
    if (request_status(port, "GET", "/status", NULL, NULL, STATUS_TIMEOUT_US,
                       &status) == 200) {
        generation = json_integer_value(json_object_get(status, "generation"));
    }
    json_decref(status);
    return generation;
}

static void
watch_generation(soak_t *soak, size_t instance)
{
    soak_node_t *node = &soak->nodes[instance];
    gint restarts = g_atomic_int_get(&node->restarts);
    int64_t generation = generation_of(soak, instance);
    if (generation < 0 || g_atomic_int_get(&node->restarts) != restarts) {
        return;
    }
    if (node->restarts_at_generation != restarts) {
        node->restarts_at_generation = restarts;
        node->generation = 0;
    }
    if (generation < node->generation) {
        soak_finding(soak, "%s returned from generation %d to %d",
                     cluster_instance_name(soak->cluster, instance),
                     (int)node->generation, (int)generation);
    }
    node->generation = generation;
    soak->generation = MAX(soak->generation, generation);
}

gpointer
soak_watch_generations(gpointer data)
{
    soak_t *soak = data;
    while (!g_atomic_int_get(&soak->stopping)) {
        for (size_t i = 0; i < cluster_size(soak->cluster); i++) {
            watch_generation(soak, i);
        }
        usleep(POLL_US);
    }
    return NULL;
}

static bool
wait_generation(const soak_t *soak, size_t instance, int64_t expected,
                int64_t end_us)
{
    while (generation_of(soak, instance) < expected) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        usleep(POLL_US);
    }
    return true;
}

static bool
wait_until_served(const soak_t *soak, size_t instance, int64_t end_us)
{
    uint16_t port = cluster_ports(soak->cluster, instance)->outside;
    int successes = 0;
    while (successes < SUCCESSES_IN_A_ROW) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        bool succeeded =
            request_status(port, "GET", "/catalogue/saddles", SOAK_ADDED_KEY,
                           NULL, CALL_TIMEOUT_US, NULL) == 200 &&
            request_status(port, "POST", "/orders", SOAK_ADDED_KEY, "a saddle",
                           CALL_TIMEOUT_US, NULL) == 200;
        successes = succeeded ? successes + 1 : 0;
    }
    return true;
}

static void
check_removed_key(soak_t *soak, size_t instance)
{
    uint16_t status = request_status(
        cluster_ports(soak->cluster, instance)->outside, "GET",
        "/catalogue/saddles", SOAK_REMOVED_KEY, NULL, CALL_TIMEOUT_US, NULL);
    if (status != 401) {
        soak_finding(soak, "%s answers the removed key with %u, not 401",
                     cluster_instance_name(soak->cluster, instance), status);
    }
}

void
soak_check_recovery(soak_t *soak)
{
    int64_t end_us = bv_clock_now_us() + RECOVERY_TIMEOUT_US;
    if (cluster_run_ctl(soak->cluster, "apply", "--base", soak->base, NULL) !=
        0) {
        soak_finding(soak, "a configuration was refused after the faults");
        return;
    }
    /* Generation 1 holds the documents applied at the start. */
    int64_t expected = MAX(soak->generation, 1 + (int64_t)soak->accepted) + 1;
    for (size_t i = 0; i < cluster_size(soak->cluster); i++) {
        const char *name = cluster_instance_name(soak->cluster, i);
        if (!cluster_wait_health(soak->cluster, i, 200,
                                 MAX(0, end_us - bv_clock_now_us()))) {
            soak_finding(soak, "%s is not ready after the faults", name);
        }
        if (!wait_generation(soak, i, expected, end_us)) {
            soak_finding(
                soak,
                "%s is at generation %d after the faults, not %d or later",
                name, (int)generation_of(soak, i), (int)expected);
        }
        if (!wait_until_served(soak, i, end_us)) {
            soak_finding(
                soak, "%s does not answer lookups and orders after the faults",
                name);
        }
        check_removed_key(soak, i);
    }
}
