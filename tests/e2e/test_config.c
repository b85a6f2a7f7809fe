#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <unistd.h>

#define WAIT_US (120 * BV_US_PER_S)
#define POLL_US 100000
#define LOSSY_APPLIES 8
#define RACES 4

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
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    while (generation_of(instance) < generation) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        usleep(POLL_US);
    }
    return true;
}

static bool
wait_everywhere(int64_t generation)
{
    bool all = true;
    for (size_t i = 0; i < cluster_size(fixture->cluster); i++) {
        all = wait_generation(i, generation) && all;
    }
    return all;
}

static void
platform(const char *faults)
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

/* Hands the change to a node as well. */
static int
apply_and_tell(const char *name)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u",
                                cluster_ports(fixture->cluster, 0)->operators);
    int status = cluster_run_ctl(fixture->cluster, "apply", "--base", name,
                                 "--node", url, "--token", "demo-token", NULL);
    g_free(url);
    return status;
}

static gpointer
apply_in_thread(gpointer name)
{
    return GINT_TO_POINTER(apply_overlay(name) == 0);
}

/* Of two at the same time at least one wins, and each win is a generation. */
START_TEST(test_race)
{
    for (int i = 0; i < RACES; i++) {
        int64_t before = generation_of(0);
        GThread *thread =
            g_thread_new("apply", apply_in_thread, E2E_SOURCE "/overlay.json");
        int wins = apply_base(E2E_SOURCE "/base_changed.json") == 0;
        wins += GPOINTER_TO_INT(g_thread_join(thread));
        ck_assert_int_ge(wins, 1);
        ck_assert(wait_everywhere(before + wins));
        ck_assert_int_eq(generation_of(0), before + wins);
    }
}
END_TEST

START_TEST(test_refused_as_a_whole)
{
    int64_t before = generation_of(0);
    ck_assert_int_ne(apply_overlay(E2E_SOURCE "/overlay_bad.json"), 0);
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base.json"), 0);
    ck_assert(wait_everywhere(before + 1));
    ck_assert_int_eq(generation_of(0), before + 1);
}
END_TEST

/* What apply reports is what has happened, though answers are lost. */
START_TEST(test_lost_answers)
{
    int64_t before = generation_of(0);
    int accepted = 0;
    platform("{\"lose_answers_percent\": 40}");
    for (int i = 0; i < LOSSY_APPLIES; i++) {
        accepted += apply_base(E2E_SOURCE "/base.json") == 0;
    }
    platform("{\"lose_answers_percent\": 0}");
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base.json"), 0);
    ck_assert(wait_everywhere(before + accepted + 1));
    ck_assert_int_eq(generation_of(0), before + accepted + 1);
}
END_TEST

/* The store goes out right after the accept: the node that was told spreads.
 */
START_TEST(test_store_out_after_accept)
{
    int64_t before = generation_of(0);
    ck_assert_int_eq(apply_and_tell(E2E_SOURCE "/base_changed.json"), 0);
    platform("{\"mode\": \"down\"}");
    ck_assert(wait_everywhere(before + 1));
    platform("{\"mode\": \"up\"}");
}
END_TEST

/* With the store out, a node takes what its peers have before it serves. */
START_TEST(test_restart_without_store)
{
    size_t node = cluster_find_instance(fixture->cluster, "stock-2");
    int64_t before = generation_of(node);
    platform("{\"mode\": \"down\"}");
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGKILL);
    cluster_wait_exit(fixture->cluster, CLUSTER_NODE, node, WAIT_US);
    ck_assert(cluster_restart(fixture->cluster, CLUSTER_NODE, node, NULL));
    ck_assert(cluster_wait_health(fixture->cluster, node, 200, WAIT_US));
    ck_assert_int_ge(generation_of(node), before);
    platform("{\"mode\": \"up\"}");
}
END_TEST

/* Paused, a node misses two changes; cut off, it gets them once healed. */
START_TEST(test_cut_off)
{
    size_t node = cluster_find_instance(fixture->cluster, "catalogue-3");
    int64_t before = generation_of(node);
    ck_assert(cluster_link_cut(fixture->cluster, node));
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGSTOP);
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base.json"), 0);
    ck_assert_int_eq(apply_base(E2E_SOURCE "/base_changed.json"), 0);
    ck_assert(wait_generation(0, before + 2));
    platform("{\"mode\": \"down\"}");
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGCONT);
    ck_assert(cluster_link_heal(fixture->cluster, node));
    ck_assert(wait_everywhere(before + 2));
    platform("{\"mode\": \"up\"}");
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"race", test_race, 1},
        {"refused_as_a_whole", test_refused_as_a_whole, 1},
        {"lost_answers", test_lost_answers, 1},
        {"store_out_after_accept", test_store_out_after_accept, 1},
        {"restart_without_store", test_restart_without_store, 1},
        {"cut_off", test_cut_off, 1},
        {NULL}};
    return fixture_run(&fixture, "config.json", "config", tests);
}
