#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <unistd.h>

/*
 * Guards against configurations that are lost, counted twice, stored in part
 * or not received by every node, when changes are made at the same time, the
 * store fails or a node is cut off.
 */

#define STATE_TIMEOUT_US (120 * BV_US_PER_S)
#define POLL_US 100000
#define LOSSY_APPLIES 8
#define CONCURRENT_APPLIES 4

static fixture_t *fixture;

static int64_t
generation_of(size_t instance)
{
    uint16_t port = cluster_ports(fixture->cluster, instance)->operators;
    bv_http_reply_t reply = cluster_call(port, "GET", "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    int64_t generation =
        json_integer_value(json_object_get(status, "generation"));
    json_decref(status);
    bv_http_reply_clear(&reply);
    return generation;
}

static bool
wait_generation(size_t instance, int64_t generation)
{
    int64_t end_us = bv_clock_now_us() + STATE_TIMEOUT_US;
    while (generation_of(instance) < generation) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        usleep(POLL_US);
    }
    return true;
}

static bool
wait_generation_at_all_nodes(int64_t generation)
{
    bool all_reached = true;
    for (size_t i = 0; i < cluster_size(fixture->cluster); i++) {
        all_reached = wait_generation(i, generation) && all_reached;
    }
    return all_reached;
}

static void
set_platform_faults(const char *faults)
{
    ck_assert(cluster_set_faults(cluster_platform_port(fixture->cluster),
                                 "/control", faults));
}

static int
apply_base(const char *name)
{
    return cluster_run_ctl(fixture->cluster, "apply", "--base", name, NULL);
}

static int
apply_overlay(const char *name)
{
    return cluster_run_ctl(fixture->cluster, "apply", "--overlay", name,
                           "--site", "m1", NULL);
}

/* Writes a base document to the store and sends it to the first node. */
static int
apply_base_via_node(const char *name)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u",
                                cluster_ports(fixture->cluster, 0)->operators);
    int status = cluster_run_ctl(fixture->cluster, "apply", "--base", name,
                                 "--node", url, "--token", "demo-token", NULL);
    g_free(url);
    return status;
}

static gpointer
apply_overlay_in_thread(gpointer name)
{
    return GINT_TO_POINTER(apply_overlay(name) == 0);
}

/*
 * A base document and an overlay, which changes it for the data centre m1, are
 * applied at the same time. At least one must be accepted, and each accepted
 * change must be one generation: an overwritten change would be missing from
 * the count.
 */
START_TEST(test_concurrent_applies)
{
    for (int i = 0; i < CONCURRENT_APPLIES; i++) {
        int64_t before = generation_of(0);
        GThread *thread = g_thread_new("apply", apply_overlay_in_thread,
                                       E2E_SOURCE "/overlay.json");
        int accepted = apply_base(E2E_SOURCE "/base_changed.json") == 0;
        accepted += GPOINTER_TO_INT(g_thread_join(thread));
        ck_assert_int_ge(accepted, 1);
        ck_assert(wait_generation_at_all_nodes(before + accepted));
        ck_assert_int_eq(generation_of(0), before + accepted);
    }
}
END_TEST

/*
 * Guards against an invalid overlay that is stored in part: it must not use up
 * a generation or block the next change.
 */
START_TEST(test_invalid_overlay_refused)
{
    int64_t before = generation_of(0);
    ck_assert_int_ne(apply_overlay(E2E_SOURCE "/overlay_bad.json"), 0);
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base.json"), 0);
    ck_assert(wait_generation_at_all_nodes(before + 1));
    ck_assert_int_eq(generation_of(0), before + 1);
}
END_TEST

/*
 * The store replaces 40 % of its answers by an error after it has done the
 * write. What the apply command reports must still be what the store holds.
 */
START_TEST(test_store_loses_answers)
{
    int64_t before = generation_of(0);
    int accepted = 0;
    set_platform_faults("{\"lose_answers_percent\": 40}");
    for (int i = 0; i < LOSSY_APPLIES; i++) {
        accepted += apply_base(E2E_SOURCE "/base.json") == 0;
    }
    set_platform_faults("{\"lose_answers_percent\": 0}");
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base.json"), 0);
    ck_assert(wait_generation_at_all_nodes(before + accepted + 1));
    ck_assert_int_eq(generation_of(0), before + accepted + 1);
}
END_TEST

/*
 * The store fails right after it has accepted a change, before nodes have read
 * it. The node that got the change directly must pass it on to its peers.
 */
START_TEST(test_store_down_after_accept)
{
    int64_t before = generation_of(0);
    ck_assert_int_eq(apply_base_via_node(E2E_SOURCE "/base_changed.json"), 0);
    set_platform_faults("{\"mode\": \"down\"}");
    ck_assert(wait_generation_at_all_nodes(before + 1));
    set_platform_faults("{\"mode\": \"up\"}");
}
END_TEST

/*
 * A node restarts while the store is down. It must fetch the active
 * configuration from its peers before it is ready.
 */
START_TEST(test_node_restarts_with_store_down)
{
    size_t node = cluster_find_instance(fixture->cluster, "stock-2");
    int64_t before = generation_of(node);
    set_platform_faults("{\"mode\": \"down\"}");
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGKILL);
    cluster_wait_exit(fixture->cluster, CLUSTER_NODE, node, STATE_TIMEOUT_US);
    ck_assert(cluster_restart(fixture->cluster, CLUSTER_NODE, node, NULL));
    ck_assert(
        cluster_wait_health(fixture->cluster, node, 200, STATE_TIMEOUT_US));
    ck_assert_int_ge(generation_of(node), before);
    set_platform_faults("{\"mode\": \"up\"}");
}
END_TEST

/*
 * A node is paused and its link is cut while two changes are applied. With the
 * store down, it must get both from its peers after the link is healed.
 */
START_TEST(test_cut_off_node_catches_up)
{
    size_t node = cluster_find_instance(fixture->cluster, "catalogue-3");
    int64_t before = generation_of(node);
    ck_assert(cluster_link_cut(fixture->cluster, node));
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGSTOP);
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base.json"), 0);
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base_changed.json"), 0);
    ck_assert(wait_generation(0, before + 2));
    set_platform_faults("{\"mode\": \"down\"}");
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGCONT);
    ck_assert(cluster_link_heal(fixture->cluster, node));
    ck_assert(wait_generation_at_all_nodes(before + 2));
    set_platform_faults("{\"mode\": \"up\"}");
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"concurrent_applies", test_concurrent_applies, 1},
        {"invalid_overlay_refused", test_invalid_overlay_refused, 1},
        {"store_loses_answers", test_store_loses_answers, 1},
        {"store_down_after_accept", test_store_down_after_accept, 1},
        {"node_restarts_with_store_down", test_node_restarts_with_store_down,
         1},
        {"cut_off_node_catches_up", test_cut_off_node_catches_up, 1},
        {NULL}};
    return fixture_run(&fixture, "config.json", "config", tests);
}
