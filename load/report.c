#include "load.h"

#include "berylvane/common/clock.h"

static gint
compare_latencies(gconstpointer left, gconstpointer right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return a < b ? -1 : a > b;
}

static int64_t
percentile(const GArray *sorted, double fraction)
{
    if (sorted->len == 0) {
        return 0;
    }
    guint index = (guint)(fraction * (double)(sorted->len - 1));
    return g_array_index(sorted, int64_t, index);
}

/* Counts and latencies of the requests of one kind. */
typedef struct {
    uint64_t sent_count;
    uint64_t correct_count;
    uint64_t wrong_body_count;
    /* Number of requests by bv_outcome_t. */
    uint64_t outcomes[3];
    /*
     * Latencies of requests with a correct answer, without those scheduled
     * during the warm-up.
     */
    GArray *correct_latencies_us;
    /*
     * Latencies of all requests but those scheduled during the warm-up. The
     * latency of a request without a correct answer is raised to the kind's
     * timeout if it is shorter.
     */
    GArray *all_latencies_us;
} tally_t;

static void
add_result(tally_t *tally, const load_result_t *result)
{
    tally->sent_count++;
    tally->correct_count += result->is_correct;
    tally->wrong_body_count += result->has_wrong_body;
    tally->outcomes[result->outcome]++;
}

static void
add_latency(tally_t *tally, const load_kind_t *kind,
            const load_result_t *result)
{
    int64_t latency_us = result->latency_us;
    if (result->is_correct) {
        g_array_append_val(tally->correct_latencies_us, latency_us);
    }
    else {
        latency_us = MAX(latency_us, kind->timeout_ms * BV_US_PER_MS);
    }
    g_array_append_val(tally->all_latencies_us, latency_us);
}

static json_t *
render_tally(tally_t *tally)
{
    GArray *sorted = tally->correct_latencies_us;
    g_array_sort(sorted, compare_latencies);
    g_array_sort(tally->all_latencies_us, compare_latencies);
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "sent",
        (json_int_t)tally->sent_count, "good",
        (json_int_t)tally->correct_count, "wrong",
        (json_int_t)tally->wrong_body_count, "ran",
        (json_int_t)tally->outcomes[BV_OUTCOME_RAN], "not_run",
        (json_int_t)tally->outcomes[BV_OUTCOME_NOT_RUN], "unknown",
        (json_int_t)tally->outcomes[BV_OUTCOME_UNKNOWN], "p50_us",
        (json_int_t)percentile(sorted, 0.5), "p95_us",
        (json_int_t)percentile(sorted, 0.95), "p99_us",
        (json_int_t)percentile(sorted, 0.99), "max_us",
        (json_int_t)percentile(sorted, 1.0), "all_p50_us",
        (json_int_t)percentile(tally->all_latencies_us, 0.5), "all_p99_us",
        (json_int_t)percentile(tally->all_latencies_us, 0.99));
}

/* Counts for one interval of LOAD_INTERVAL_MS. */
typedef struct {
    /* Requests scheduled in the interval. */
    json_int_t sent;
    /*
     * Requests scheduled in the interval that got a correct answer, whenever
     * the answer arrived.
     */
    json_int_t sent_correct;
    /* Requests whose correct answer arrived in the interval. */
    json_int_t finished_correct;
} interval_t;

static interval_t *
get_interval(GArray *intervals, int64_t at_us)
{
    guint index = (guint)(at_us / (LOAD_INTERVAL_MS * BV_US_PER_MS));
    if (index >= intervals->len) {
        g_array_set_size(intervals, index + 1);
    }
    return &g_array_index(intervals, interval_t, index);
}

/*
 * Returns a list of [sent, sent_correct, finished_correct], one for each
 * interval of the run, as interval_t describes them, for requests of one kind.
 * `kind` is an index into load_settings_t.kinds.
 */
static json_t *
render_intervals(const load_run_t *run, size_t kind)
{
    GArray *intervals = g_array_new(FALSE, TRUE, sizeof(interval_t));
    for (guint i = 0; i < run->results->len; i++) {
        const load_result_t *result =
            &g_array_index(run->results, load_result_t, i);
        if (result->kind != kind) {
            continue;
        }
        get_interval(intervals, result->scheduled_us)->sent++;
        get_interval(intervals, result->scheduled_us)->sent_correct +=
            result->is_correct;
        get_interval(intervals, result->finished_us)->finished_correct +=
            result->is_correct;
    }
    json_t *list = json_array();
    for (guint i = 0; i < intervals->len; i++) {
        const interval_t *interval = &g_array_index(intervals, interval_t, i);
        json_array_append_new(list, json_pack("[I, I, I]", interval->sent,
                                              interval->sent_correct,
                                              interval->finished_correct));
    }
    g_array_unref(intervals);
    return list;
}

static json_t *
render_kind(const load_settings_t *settings, const load_run_t *run,
            size_t kind)
{
    tally_t tally = {
        .correct_latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t)),
        .all_latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t)),
    };
    for (guint i = 0; i < run->results->len; i++) {
        const load_result_t *result =
            &g_array_index(run->results, load_result_t, i);
        if (result->kind == kind) {
            add_result(&tally, result);
        }
        if (result->kind == kind &&
            result->scheduled_us >= settings->warmup_s * BV_US_PER_S) {
            add_latency(&tally, &settings->kinds[kind], result);
        }
    }
    json_t *json = render_tally(&tally);
    json_object_set_new(json, "intervals", render_intervals(run, kind));
    g_array_unref(tally.correct_latencies_us);
    g_array_unref(tally.all_latencies_us);
    return json;
}

json_t *
load_report(const load_settings_t *settings, const load_run_t *run)
{
    json_t *kinds = json_object();
    for (size_t i = 0; i < settings->kind_count; i++) {
        json_object_set_new(kinds, settings->kinds[i].name,
                            render_kind(settings, run, i));
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:o}", "requests",
                     (json_int_t)run->request_count, "attempts",
                     (json_int_t)run->attempt_count, "seconds",
                     (json_int_t)settings->seconds, "late_us",
                     (json_int_t)run->max_late_us, "interval_ms",
                     (json_int_t)LOAD_INTERVAL_MS, "kinds", kinds);
}
