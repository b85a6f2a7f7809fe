#include "soak.h"

#include "berylvane/common/clock.h"

#include <string.h>
#include <unistd.h>

#define STATUS_TIMEOUT_US BV_US_PER_S
#define CALL_TIMEOUT_US (5 * BV_US_PER_S)
#define WATCH_PAUSE_US (BV_US_PER_S / 10)
#define RECOVERY_US (120 * BV_US_PER_S)
#define GOOD_IN_A_ROW 5

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
        if (soak->nodes[i].order != SOAK_RUNNING) {
            continue;
        }
        int status = cluster_wait_exit(soak->cluster, CLUSTER_NODE, i, 0);
        if (status >= 0) {
            soak_finding(soak, "%s ended by itself with %d",
                         cluster_instance_name(soak->cluster, i), status);
            soak->nodes[i].order = SOAK_KILLED;
        }
    }
}

/* An answer of a node's port; 0 for none. */
static uint16_t
ask(uint16_t port, const char *method, const char *path, const char *body,
    int64_t timeout_us, json_t **answer)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    GBytes *bytes = body != NULL ? g_bytes_new(body, strlen(body)) : NULL;
    bv_http_call_t call = {
        .method = method, .url = url, .body = bytes, .timeout_us = timeout_us};
    bv_http_reply_t reply = bv_http_call(&call);
    uint16_t status = reply.status;
    if (answer != NULL) {
        gsize size;
        const char *text = g_bytes_get_data(reply.body, &size);
        *answer = json_loadb(text, size, 0, NULL);
    }
    bv_http_reply_clear(&reply);
    g_clear_pointer(&bytes, g_bytes_unref);
    g_free(url);
    return status;
}

/* -1 when the node does not say. */
static int64_t
generation_of(const soak_t *soak, size_t instance)
{
    json_t *status = NULL;
    uint16_t port = cluster_ports(soak->cluster, instance)->operators;
    int64_t generation = -1;
    if (ask(port, "GET", "/status", NULL, STATUS_TIMEOUT_US, &status) == 200) {
        generation = json_integer_value(json_object_get(status, "generation"));
    }
    json_decref(status);
    return generation;
}

static void
watch_generation(soak_t *soak, size_t instance)
{
    soak_node_t *node = &soak->nodes[instance];
    gint start = g_atomic_int_get(&node->starts);
    int64_t generation = generation_of(soak, instance);
    if (generation < 0 || g_atomic_int_get(&node->starts) != start) {
        return;
    }
    if (node->generation_start != start) {
        node->generation_start = start;
        node->generation = 0;
    }
    if (generation < node->generation) {
        soak_finding(soak, "%s went back from generation %d to %d",
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
        usleep(WATCH_PAUSE_US);
    }
    return NULL;
}

static bool
wait_generation(const soak_t *soak, size_t instance, int64_t least,
                int64_t end_us)
{
    while (generation_of(soak, instance) < least) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        usleep(WATCH_PAUSE_US);
    }
    return true;
}

static bool
serves_again(const soak_t *soak, size_t instance, int64_t end_us)
{
    uint16_t port = cluster_ports(soak->cluster, instance)->outside;
    int good = 0;
    while (good < GOOD_IN_A_ROW) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        bool answered = ask(port, "GET", "/catalogue/saddles", NULL,
                            CALL_TIMEOUT_US, NULL) == 200 &&
                        ask(port, "POST", "/orders", "a saddle",
                            CALL_TIMEOUT_US, NULL) == 200;
        good = answered ? good + 1 : 0;
    }
    return true;
}

void
soak_check_recovery(soak_t *soak)
{
    int64_t end_us = bv_clock_now_us() + RECOVERY_US;
    if (cluster_run_ctl(soak->cluster, "apply", "--base", soak->base, NULL) !=
        0) {
        soak_finding(soak, "no configuration is accepted after the faults");
        return;
    }
    /* The documents of the start were the first generation. */
    int64_t least = MAX(soak->generation, 1 + (int64_t)soak->accepted) + 1;
    for (size_t i = 0; i < cluster_size(soak->cluster); i++) {
        const char *name = cluster_instance_name(soak->cluster, i);
        if (!cluster_wait_health(soak->cluster, i, 200,
                                 MAX(0, end_us - bv_clock_now_us()))) {
            soak_finding(soak, "%s is not ready after the faults", name);
        }
        if (!wait_generation(soak, i, least, end_us)) {
            soak_finding(soak, "%s is at generation %d, %d were accepted",
                         name, (int)generation_of(soak, i), (int)least);
        }
        if (!serves_again(soak, i, end_us)) {
            soak_finding(soak, "%s does not serve after the faults", name);
        }
    }
}
