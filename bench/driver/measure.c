#include "driver.h"

#include "berylvane/common/clock.h"

#include <string.h>

/*
 * The system has recovered when this share of the requests scheduled within
 * RECOVERED_MS is answered correctly.
 */
#define RECOVERED_PERCENT 95
#define RECOVERED_MS 1000

/* Sums over intervals of a report, see interval_t in load/report.c. */
typedef struct {
    json_int_t sent;
    json_int_t sent_correct;
    json_int_t finished_correct;
} interval_sum_t;

static json_int_t
get_integer(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static double
ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

static void
add_intervals(interval_sum_t *sum, const json_t *kind, size_t first,
              size_t end)
{
    const json_t *intervals = json_object_get(kind, "intervals");
    for (size_t i = first; i < MIN(end, json_array_size(intervals)); i++) {
        const json_t *interval = json_array_get(intervals, i);
        sum->sent += json_integer_value(json_array_get(interval, 0));
        sum->sent_correct += json_integer_value(json_array_get(interval, 1));
        sum->finished_correct +=
            json_integer_value(json_array_get(interval, 2));
    }
}

static interval_sum_t
sum_all_kinds(const json_t *report, size_t first, size_t end)
{
    interval_sum_t sum = {0};
    const char *name;
    json_t *kind;
    json_object_foreach(json_object_get(report, "kinds"), name, kind) {
        add_intervals(&sum, kind, first, end);
    }
    return sum;
}

/*
 * Returns the time in ms from the end of the fault, `fault_end_ms` after the
 * start of the run, to the first RECOVERED_MS in which the system has
 * recovered. Without a recovery, returns the time to the end of the run, less
 * RECOVERED_MS and plus one interval.
 */
static double
recovery_ms(const json_t *report, json_int_t fault_end_ms)
{
    json_int_t interval_ms = get_integer(report, "interval_ms");
    size_t interval_count =
        (size_t)(get_integer(report, "seconds") * 1000 / interval_ms);
    size_t window_intervals = (size_t)(RECOVERED_MS / interval_ms);
    size_t first = (size_t)(fault_end_ms / interval_ms);
    size_t start = first;
    for (; start + window_intervals <= interval_count; start++) {
        interval_sum_t sum =
            sum_all_kinds(report, start, start + window_intervals);
        if (sum.sent_correct * 100 >= sum.sent * RECOVERED_PERCENT) {
            break;
        }
    }
    return (double)(start - first) * (double)interval_ms;
}

/*
 * Returns the requests per second that the service under "DEEP" in the
 * deployment's "words" can execute while each request takes `slow_percent`
 * percent of the normal time.
 */
static double
slowed_capacity_per_s(const json_t *deployment, json_int_t slow_percent)
{
    const json_t *words = json_object_get(deployment, "words");
    const char *slowed_service =
        json_string_value(json_object_get(words, "DEEP"));
    size_t index;
    json_t *service;
    json_array_foreach(json_object_get(deployment, "services"), index,
                       service) {
        const char *name = json_string_value(json_object_get(service, "name"));
        const json_t *target = json_object_get(service, "target");
        if (strcmp(name, slowed_service) == 0) {
            double slots = (double)(get_integer(target, "slots") *
                                    get_integer(service, "count"));
            double service_us = (double)get_integer(target, "service_us") *
                                (double)slow_percent / 100;
            return slots * (double)BV_US_PER_S / service_us;
        }
    }
    return 0;
}

static void
set_number(json_t *numbers, const char *prefix, const char *name, double value)
{
    char *full_name = g_strconcat(prefix, name, NULL);
    json_object_set_new(numbers, full_name, json_real(value));
    g_free(full_name);
}

/*
 * Sets each kind's success ratio for the intervals from `first` to before
 * `end`, and its latencies over the whole run after the warm-up, as a report
 * has no latencies per interval.
 */
static void
measure_kinds(json_t *numbers, const json_t *report, size_t first, size_t end)
{
    const char *name;
    json_t *kind;
    json_object_foreach(json_object_get(report, "kinds"), name, kind) {
        interval_sum_t sum = {0};
        add_intervals(&sum, kind, first, end);
        char *prefix = g_strconcat(name, ".", NULL);
        set_number(numbers, prefix, "success",
                   ratio((double)sum.sent_correct, (double)sum.sent));
        set_number(numbers, prefix, "p50_ms",
                   (double)get_integer(kind, "all_p50_us") / 1000);
        set_number(numbers, prefix, "p99_ms",
                   (double)get_integer(kind, "all_p99_us") / 1000);
        g_free(prefix);
    }
}

static void
measure_totals(json_t *numbers, const json_t *report)
{
    const json_t *verdict = json_object_get(report, "verdict");
    double requests = (double)get_integer(report, "requests");
    interval_sum_t all = sum_all_kinds(report, 0, SIZE_MAX);
    set_number(numbers, "", "executions_per_request",
               ratio((double)get_integer(verdict, "executions"), requests));
    set_number(numbers, "", "far_kb_per_good",
               ratio((double)get_integer(report, "far_bytes") / 1000,
                     (double)all.finished_correct));
    set_number(numbers, "", "ran_twice",
               (double)get_integer(verdict, "ran_twice"));
    set_number(numbers, "", "lost", (double)get_integer(verdict, "lost"));
    set_number(numbers, "", "false_not_run",
               (double)get_integer(verdict, "false_not_run"));
    set_number(numbers, "", "load_late_ms",
               (double)get_integer(report, "late_us") / 1000);
}

json_t *
driver_measure(const json_t *scenario, const json_t *deployment,
               const json_t *report)
{
    json_t *numbers = json_object();
    const json_t *window = json_object_get(scenario, "window_ms");
    json_int_t from_ms = json_integer_value(json_array_get(window, 0));
    json_int_t to_ms = json_integer_value(json_array_get(window, 1));
    json_int_t interval_ms = MAX(get_integer(report, "interval_ms"), 1);
    size_t first = (size_t)(from_ms / interval_ms);
    size_t end = (size_t)(to_ms / interval_ms);
    interval_sum_t sum = sum_all_kinds(report, first, end);
    double goodput =
        ratio((double)sum.finished_correct * 1000, (double)(to_ms - from_ms));
    json_int_t slow_percent = get_integer(scenario, "slow_percent");
    json_int_t fault_end_ms = get_integer(scenario, "heal_ms");
    set_number(numbers, "", "goodput_per_s", goodput);
    if (slow_percent > 0) {
        set_number(
            numbers, "", "share_of_capacity",
            ratio(goodput, slowed_capacity_per_s(deployment, slow_percent)));
    }
    if (fault_end_ms > 0) {
        set_number(numbers, "", "recovery_ms",
                   recovery_ms(report, fault_end_ms));
    }
    measure_kinds(numbers, report, first, end);
    measure_totals(numbers, report);
    return numbers;
}
