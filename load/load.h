#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include "berylvane/common/findings.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"
#include "berylvane/core/types.h"

/*
 * load - open-loop load: requests leave on schedule whatever the answers do,
 * and latency counts from the scheduled time (no coordinated omission)
 */
#define LOAD_ENTRIES_LIMIT 256
#define LOAD_KINDS_LIMIT 16
#define LOAD_PHASES_LIMIT 64
/* Length of the intervals that a report counts. */
#define LOAD_INTERVAL_MS 250

/* Where requests are sent: one of a list, chosen at random. */
typedef struct {
    char *addresses[LOAD_ENTRIES_LIMIT];
    size_t count;
} load_entries_t;

/* The rate from `at_s` on, as a share of `rate_per_s`. */
typedef struct {
    int64_t at_s;
    int64_t rate_percent;
} load_phase_t;

/* One kind of request in the mix. */
typedef struct {
    char *name;
    char *method;
    char *path;
    int64_t weight;
    int64_t timeout_ms;
    int64_t body_bytes;
    /* The caller's own retries after anything but a good answer. */
    int64_t retries;
    /* Send an Idempotency-Key of the caller's own. */
    bool sends_own_key;
    /* Entries of this kind alone, in place of the common ones. */
    json_t *entries_json;
    load_entries_t entries;
} load_kind_t;

typedef struct {
    json_t *entries_json;
    json_t *mix_json;
    json_t *phases_json;
    int64_t rate_per_s;
    int64_t seconds;
    int64_t seed;
    int64_t customers;
    /* Requests due earlier are left out of the percentiles. */
    int64_t warmup_s;
    load_entries_t entries;
    load_phase_t phases[LOAD_PHASES_LIMIT];
    size_t phase_count;
    load_kind_t kinds[LOAD_KINDS_LIMIT];
    size_t kind_count;
} load_settings_t;

bool load_settings_load(const char *path, load_settings_t *settings,
                        bv_findings_t *findings);
void load_settings_clear(load_settings_t *settings);

/* The end of one request, after the caller's own retries. */
typedef struct {
    size_t kind;
    /* From the start of the run. */
    int64_t scheduled_us;
    int64_t finished_us;
    bool is_correct;
    bool has_wrong_body;
    bool has_answer;
    bv_outcome_t outcome;
    int64_t latency_us;
    /* Keys under which it was sent; more than one after minted retries. */
    char *key;
    GPtrArray *not_run_keys;
} load_result_t;

typedef struct {
    GArray *results;
    uint64_t request_count;
    uint64_t attempt_count;
    /* How late the latest request left, by its schedule. */
    int64_t max_late_us;
} load_run_t;

/* Sends the whole schedule and waits for the last answer. */
load_run_t *load_run(const load_settings_t *settings, apr_pool_t *pool);
void load_run_destroy(load_run_t *run);

/* What the targets' own records say of a run. */
typedef struct {
    uint64_t executions;
    uint64_t ran_twice;
    uint64_t lost;
    uint64_t false_not_run;
} load_verdict_t;

/*
 * What is known of a key after one more try. A try that no node took adds
 * nothing to what was `known`; a node that says "not-run" speaks of the key.
 */
bv_outcome_t load_outcome_after_attempt(bool taken, bv_outcome_t outcome,
                                        bv_outcome_t known);

/*
 * Reads every file in `directory` as a target's record and compares it with
 * the results: keys run more than once by one service, "ran" without an
 * execution, and "not-run" with one. An answer whose key ran twice is not
 * good: the users count whole answers, once.
 */
bool load_judge(load_run_t *run, const char *directory,
                load_verdict_t *verdict, GError **error);

/* The report of a run; a new value. */
json_t *load_report(const load_settings_t *settings, const load_run_t *run);

/*
 * Prints the ratio B/A of each number that two reports share; false when a
 * file cannot be read.
 */
bool load_compare(const char *path_a, const char *path_b);

#endif
