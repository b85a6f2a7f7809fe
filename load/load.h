#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include "berylvane/common/findings.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"
#include "berylvane/core/types.h"

/*
 * load - open-loop load generator
 *
 * Requests are sent on schedule however late the answers are, and latency is
 * measured from the scheduled time, so that a slow answer is not hidden by
 * delaying later requests (no coordinated omission).
 */
#define LOAD_ENTRIES_LIMIT 256
#define LOAD_KINDS_LIMIT 16
#define LOAD_PHASES_LIMIT 64
/* Length of the intervals into which a report divides its counts. */
#define LOAD_INTERVAL_MS 250

/* Addresses ("IP:PORT"); each attempt is sent to one of them, at random. */
typedef struct {
    char *addresses[LOAD_ENTRIES_LIMIT];
    size_t count;
} load_entries_t;

/*
 * From `at_s` seconds after the start of the run until the next phase,
 * requests are scheduled at `rate_percent` percent of the settings'
 * `rate_per_s`. Before the first phase, the rate is 100 percent.
 */
typedef struct {
    int64_t at_s;
    int64_t rate_percent;
} load_phase_t;

/* One kind of request; kinds are drawn at random in proportion to `weight`. */
typedef struct {
    char *name;
    char *method;
    char *path;
    int64_t weight;
    int64_t timeout_ms;
    int64_t body_bytes;
    /*
     * Number of retries by the load tool, as a client, of a request that got
     * no correct answer. Nodes may retry in addition.
     */
    int64_t retries;
    /*
     * Requests carry an Idempotency-Key that the load tool generates, the same
     * for all attempts of a request.
     */
    bool sends_own_key;
    /* Sent as "Authorization: Bearer KEY"; NULL: no key is sent. */
    char *api_key;
    /*
     * Addresses for this kind; if empty, those of the settings are used.
     * `entries_json` is NULL once the settings are loaded.
     */
    json_t *entries_json;
    load_entries_t entries;
} load_kind_t;

/*
 * Settings of a run. The json_t members are only used while the settings are
 * loaded and are NULL afterwards.
 */
typedef struct {
    json_t *entries_json;
    json_t *mix_json;
    json_t *phases_json;
    int64_t rate_per_s;
    int64_t seconds;
    int64_t seed;
    /* Number of customers; each request names one at random. */
    int64_t customers;
    /* Requests scheduled earlier do not count in the latency percentiles. */
    int64_t warmup_s;
    load_entries_t entries;
    load_phase_t phases[LOAD_PHASES_LIMIT];
    size_t phase_count;
    load_kind_t kinds[LOAD_KINDS_LIMIT];
    size_t kind_count;
} load_settings_t;

/*
 * Loads the JSON file `path` into `settings`, which must be zeroed. Returns
 * false when there are findings; load_settings_clear() is needed either way.
 */
bool load_settings_load(const char *path, load_settings_t *settings,
                        bv_findings_t *findings);
void load_settings_clear(load_settings_t *settings);

/* The final result of one request, after its retries. */
typedef struct {
    /* Index into load_settings_t.kinds. */
    size_t kind;
    /* Times since the start of the run. */
    int64_t scheduled_us;
    int64_t finished_us;
    /*
     * The answer had status 200 and the expected body; load_judge() clears the
     * flag when the request ran more than once.
     */
    bool is_correct;
    /* The answer had status 200 and another body than expected. */
    bool has_wrong_body;
    /* A whole HTTP answer of any status was received. */
    bool has_answer;
    bv_outcome_t outcome;
    /* Time from the scheduled time to the end of the last attempt. */
    int64_t latency_us;
    /*
     * Idempotency key of the last attempt: the answer's, else the request's
     * own; NULL when there is neither.
     */
    char *key;
    /*
     * For a request without its own key, for which a node generates another
     * key with each attempt: keys of the attempts answered "not-run". Empty
     * for a request with its own key.
     */
    GPtrArray *not_run_keys;
} load_result_t;

typedef struct {
    /* load_result_t, in the order in which the requests finished. */
    GArray *results;
    uint64_t request_count;
    uint64_t attempt_count;
    /*
     * Longest delay between a request's scheduled time and its first attempt.
     */
    int64_t max_late_us;
} load_run_t;

/*
 * Sends all scheduled requests and waits until every one of them has finished.
 * The caller frees the run with load_run_destroy().
 */
load_run_t *load_run(const load_settings_t *settings, apr_pool_t *pool);
void load_run_destroy(load_run_t *run);

/*
 * Comparison of a run's results with the targets' records of executions:
 * - executions: all executions in the records
 * - ran_twice: pairs of a service and a key that the service executed more
 *   than once
 * - lost: requests with a key, answered "ran", that no target executed
 * - false_not_run: answers "not-run" for keys that a target executed, each key
 *   counted once
 */
typedef struct {
    uint64_t executions;
    uint64_t ran_twice;
    uint64_t lost;
    uint64_t false_not_run;
} load_verdict_t;

/*
 * Returns the outcome of a request after one more attempt. If the attempt was
 * not sent to a node (`was_sent` is false), the outcome stays at
 * `known_outcome`. Otherwise the outcome in the answer replaces it, because a
 * node's "not-run" covers all attempts with the key.
 */
bv_outcome_t load_outcome_after_attempt(bool was_sent, bv_outcome_t outcome,
                                        bv_outcome_t known_outcome);

/*
 * Reads every file in `directory` as a target's record of executions, compares
 * the records with the results, fills `verdict` and prints each contradiction
 * to standard error. A result whose key was executed more than once by one
 * service is marked as not correct: goodput counts requests that got a whole
 * answer and ran once, as the users define it. Returns false with a GError
 * when a file cannot be read.
 */
bool load_judge(load_run_t *run, const char *directory,
                load_verdict_t *verdict, GError **error);

/* Returns the JSON report of a run, a new reference. */
json_t *load_report(const load_settings_t *settings, const load_run_t *run);

/*
 * Prints each number that two reports share, and its ratio B/A. Returns false,
 * after printing the error, when a file cannot be read.
 */
bool load_compare(const char *path_a, const char *path_b);

#endif
