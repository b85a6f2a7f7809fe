#ifndef TESTS_FAIR_REPLAY_H
#define TESTS_FAIR_REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * fair_replay - overload of a service by client accounts, in simulated time
 *
 * Requests of accounts enter at several nodes, which choose their levels. Each
 * request runs on a front service, which calls the back service with the
 * request's priority; the back service is overloaded. Both use
 * core/admission and report core/backpressure upstream. The sizes of the
 * accounts follow a Zipf distribution.
 */
#define REPLAY_ACCOUNTS 85

typedef enum {
    REPLAY_FAIR_SHARE,
    /* The level is a hash of the account's name. */
    REPLAY_NAME_HASH,
    /* First come, first served: queues of a fixed length, no priorities. */
    REPLAY_FIRST_COME,
    REPLAY_POLICY_END,
} replay_policy_t;

/*
 * Options; demand is usual in the first phase and changes in the second one:
 * - usual_load: usual demand, relative to the capacity
 * - load_factor: factor of all demand
 * - surge_first, surge_count, surge_factor: accounts whose demand changes by a
 *   further factor, by their order of size
 * - surge_uses_one_entry: these accounts use the first entry node only
 * - retries: these accounts repeat refused requests, the first one of them
 *   immediately, the others after a second
 * - long_factor: cost of the requests of every second account, relative to
 *   the others; 0 for 1
 * - overload_s: length of the second phase; 0 for 120 s
 */
typedef struct {
    double usual_load;
    double load_factor;
    uint32_t surge_first;
    uint32_t surge_count;
    double surge_factor;
    bool surge_uses_one_entry;
    bool retries;
    double long_factor;
    int64_t overload_s;
} replay_options_t;

typedef enum {
    REPLAY_USUAL,
    REPLAY_OVERLOAD,
    REPLAY_RECOVERY,
    REPLAY_PHASE_END,
} replay_phase_t;

/* Requests that arrived in a phase, and those that were served in time. */
typedef struct {
    double offered[REPLAY_ACCOUNTS];
    double served[REPLAY_ACCOUNTS];
    /* Slot time of all work, and of work for requests that were not served. */
    double slot_us;
    double wasted_us;
    /* Requests by eighths of the range of levels. */
    double eighths[8];
} replay_counts_t;

/* Shares of the requests that were served. */
typedef struct {
    double worst;
    double worst_tenth;
    double all;
    double wasted;
} replay_shares_t;

/* Runs the phases and counts in each. */
void replay_run(const replay_options_t *options, replay_policy_t policy,
                guint32 seed, replay_counts_t counts[REPLAY_PHASE_END]);

/* Returns the shares of the accounts that are not among the surging ones. */
replay_shares_t replay_shares(const replay_options_t *options,
                              const replay_counts_t *counts);

/* Returns whether an account is among the surging ones. */
bool replay_is_surging(const replay_options_t *options, uint32_t account);

/* Returns the share of an account's requests that was served. */
double replay_share(const replay_counts_t *counts, uint32_t account);

const char *replay_policy_name(replay_policy_t policy);

#endif
