#include "fair_replay.h"

#include "berylvane/core/fair_share.h"
#include "berylvane/core/route_cost.h"

#include "replay_server.h"
#include "sim.h"

#include <math.h>

#define US_PER_MS 1000
#define US_PER_S 1000000
#define ZIPF_EXPONENT 1.2
#define ENTRIES 4
#define NAME_BYTES 16
#define FRONTS 2
#define BACKS 2
#define FRONT_SLOTS 64
#define BACK_SLOTS 8
#define QUEUE_LIMIT 64
#define FRONT_WORK_US (2 * US_PER_MS)
#define BACK_WORK_US (20 * US_PER_MS)
#define HOP_US 500
#define DEADLINE_US (300 * US_PER_MS)
#define RETRY_AT_ONCE_US (5 * US_PER_MS)
#define RETRY_AFTER_US US_PER_S
#define ATTEMPTS_LIMIT 10
/* Longer than the 60 s in which usual rates are learned. */
#define USUAL_US (90 * (int64_t)US_PER_S)
#define DEFAULT_OVERLOAD_S 120
#define RECOVERY_US (30 * (int64_t)US_PER_S)
/* Routes: what the front service does costs the same for all requests; the
 * accounts use two routes, of which one can cost more at the back service. */
#define FRONT_ROUTE 1
#define BACK_ROUTE 2
#define FIRST_ACCOUNT_ROUTE 3
#define ACCOUNT_ROUTES 2

typedef struct {
    uint64_t id;
    uint32_t account;
    replay_phase_t phase;
    uint32_t entry;
    uint32_t attempts;
    uint16_t priority;
    uint32_t front;
    uint32_t back;
    int64_t sent_us;
    int64_t deadline_us;
    /* Slot time that the current attempt used. */
    double slot_us;
    int64_t front_started_us;
    int64_t back_started_us;
    int64_t downstream_us;
    bv_backpressure_t report;
    bool has_run;
} job_t;

typedef struct {
    replay_server_t *server;
    /* Backpressure of the back service. */
    bv_backpressure_table_t *called;
} front_t;

typedef struct {
    bv_fair_share_t *share;
    bv_route_costs_t *costs;
    bv_backpressure_table_t *called;
} entry_t;

typedef struct {
    const replay_options_t *options;
    replay_policy_t policy;
    sim_t *sim;
    GHashTable *jobs;
    entry_t entries[ENTRIES];
    front_t fronts[FRONTS];
    replay_server_t *backs[BACKS];
    double rates_per_s[REPLAY_ACCOUNTS];
    char names[REPLAY_ACCOUNTS][NAME_BYTES];
    uint64_t last_id;
    replay_counts_t *counts;
} replay_t;

static void arrive(void *context, void *data);
static void retry(void *context, void *data);
static void run_back(void *context, void *data);
static void finish_back_work(void *context, void *data);
static void finish_front_work(void *context, void *data);
static void finish_front(replay_t *replay, job_t *job);

static void
schedule(replay_t *replay, int64_t delay_us, sim_callback_t callback,
         const job_t *job)
{
    sim_schedule(replay->sim, delay_us, callback,
                 g_memdup2(&job->id, sizeof(job->id)));
}

static job_t *
job_of(const replay_t *replay, const void *data)
{
    return g_hash_table_lookup(replay->jobs, data);
}

static double
cost_factor(const replay_options_t *options, uint32_t account)
{
    return options->long_factor > 0 && account % 2 == 1 ? options->long_factor
                                                        : 1;
}

static uint32_t
route_of(uint32_t account)
{
    return FIRST_ACCOUNT_ROUTE + account % ACCOUNT_ROUTES;
}

static int64_t
overload_end_us(const replay_options_t *options)
{
    int64_t overload_s =
        options->overload_s > 0 ? options->overload_s : DEFAULT_OVERLOAD_S;
    return USUAL_US + overload_s * US_PER_S;
}

static replay_phase_t
current_phase(const replay_t *replay)
{
    int64_t now_us = sim_now_us(replay->sim);
    if (now_us < USUAL_US) {
        return REPLAY_USUAL;
    }
    return now_us < overload_end_us(replay->options) ? REPLAY_OVERLOAD
                                                     : REPLAY_RECOVERY;
}

static double
rate_per_s(const replay_t *replay, uint32_t account)
{
    const replay_options_t *options = replay->options;
    double rate = replay->rates_per_s[account];
    if (current_phase(replay) != REPLAY_OVERLOAD) {
        return rate;
    }
    rate *= options->load_factor;
    return replay_is_surging(options, account) ? rate * options->surge_factor
                                               : rate;
}

static uint8_t
fair_level(replay_t *replay, const job_t *job, double random)
{
    entry_t *entry = &replay->entries[job->entry];
    bv_fair_share_request_t request = {
        .account = replay->names[job->account],
        .importance = BV_CLASS_NORMAL,
        .cost_us = bv_route_costs_get(entry->costs, route_of(job->account)),
        .random = random,
    };
    return bv_fair_share_level(entry->share, sim_now_us(replay->sim),
                               &request);
}

/* The random number is drawn for each policy, so that all policies are given
 * the same numbers as long as they decide alike. */
static uint8_t
choose_level(replay_t *replay, const job_t *job)
{
    double random = g_rand_double(sim_random(replay->sim));
    return replay->policy == REPLAY_FAIR_SHARE
               ? fair_level(replay, job, random)
               : bv_customer_level(replay->names[job->account]);
}

static int64_t
random_work_us(const replay_t *replay, double mean_us)
{
    return (int64_t)(mean_us *
                     g_rand_double_range(sim_random(replay->sim), 0.5, 1.5));
}

/* Ends an attempt at the entry node. */
static void
end_attempt(replay_t *replay, job_t *job)
{
    int64_t now_us = sim_now_us(replay->sim);
    replay_counts_t *counts = &replay->counts[job->phase];
    bool is_served = job->has_run && now_us <= job->deadline_us;
    counts->slot_us += job->slot_us;
    counts->wasted_us += is_served ? 0 : job->slot_us;
    counts->served[job->account] += is_served;
    bool retries = !is_served && replay->options->retries &&
                   replay_is_surging(replay->options, job->account) &&
                   job->attempts < ATTEMPTS_LIMIT;
    if (!retries) {
        g_hash_table_remove(replay->jobs, &job->id);
        return;
    }
    bool at_once = job->account == replay->options->surge_first;
    schedule(replay, at_once ? RETRY_AT_ONCE_US : RETRY_AFTER_US, retry, job);
}

static void
receive_answer(void *context, void *data)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, data);
    entry_t *entry = &replay->entries[job->entry];
    int64_t now_us = sim_now_us(replay->sim);
    bv_backpressure_table_report(entry->called, now_us, route_of(job->account),
                                 &job->report);
    if (job->has_run) {
        bv_route_costs_record(entry->costs, route_of(job->account),
                              now_us - job->sent_us, job->report.wait_us);
    }
    end_attempt(replay, job);
}

static void
start_front(void *context, uint64_t id)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, &id);
    job->front_started_us = sim_now_us(replay->sim);
    schedule(replay, random_work_us(replay, FRONT_WORK_US), finish_front_work,
             job);
}

static void
start_back(void *context, uint64_t id)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, &id);
    double factor = cost_factor(replay->options, job->account);
    job->back_started_us = sim_now_us(replay->sim);
    schedule(replay, random_work_us(replay, BACK_WORK_US * factor),
             finish_back_work, job);
}

static void
receive_back_answer(void *context, void *data)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, data);
    bv_backpressure_table_report(replay->fronts[job->front].called,
                                 sim_now_us(replay->sim), BACK_ROUTE,
                                 &job->report);
    finish_front(replay, job);
}

static void
answer_from_back(replay_t *replay, job_t *job)
{
    job->report =
        replay_server_report(replay->backs[job->back], route_of(job->account));
    schedule(replay, HOP_US, receive_back_answer, job);
}

static void
answer_from_front(replay_t *replay, job_t *job)
{
    bv_backpressure_t local =
        replay_server_report(replay->fronts[job->front].server, FRONT_ROUTE);
    job->report = bv_backpressure_propagate(&local, &job->report);
    schedule(replay, HOP_US, receive_answer, job);
}

static void
refuse_front(void *context, uint64_t id)
{
    answer_from_front(context, job_of(context, &id));
}

static void
refuse_back(void *context, uint64_t id)
{
    answer_from_back(context, job_of(context, &id));
}

static void
offer(const replay_t *replay, replay_server_t *server, const job_t *job,
      uint32_t route)
{
    bv_work_t work = {
        .id = job->id,
        .route_hash = route,
        .priority = job->priority,
        .deadline_us = job->deadline_us,
    };
    replay_server_offer(server, sim_now_us(replay->sim), &work);
}

static void
finish_back_work(void *context, void *data)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, data);
    int64_t now_us = sim_now_us(replay->sim);
    bv_work_result_t result = {
        .latency_us = now_us - job->back_started_us,
        .completed = true,
    };
    job->has_run = true;
    job->slot_us += (double)result.latency_us;
    replay_server_finish(replay->backs[job->back], now_us, job->id, &result);
    answer_from_back(replay, job);
}

static void
finish_front(replay_t *replay, job_t *job)
{
    int64_t now_us = sim_now_us(replay->sim);
    bv_work_result_t result = {
        .latency_us = now_us - job->front_started_us,
        .downstream_us = now_us - job->downstream_us,
        .completed = job->has_run,
    };
    job->slot_us += (double)result.latency_us;
    replay_server_finish(replay->fronts[job->front].server, now_us, job->id,
                         &result);
    answer_from_front(replay, job);
}

static void
run_back(void *context, void *data)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, data);
    job->back = (uint32_t)sim_random_between(replay->sim, 0, BACKS);
    offer(replay, replay->backs[job->back], job, route_of(job->account));
}

static bool
may_send(replay_t *replay, bv_backpressure_table_t *called, uint32_t route,
         const job_t *job)
{
    bv_reason_t reason;
    int64_t now_us = sim_now_us(replay->sim);
    return replay->policy == REPLAY_FIRST_COME ||
           bv_backpressure_table_should_send(
               called, now_us, route, job->priority, job->deadline_us - now_us,
               sim_random(replay->sim), &reason);
}

static void
finish_front_work(void *context, void *data)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, data);
    bv_backpressure_table_t *called = replay->fronts[job->front].called;
    job->downstream_us = sim_now_us(replay->sim);
    if (!may_send(replay, called, BACK_ROUTE, job)) {
        job->report = bv_backpressure_table_get(
            called, sim_now_us(replay->sim), BACK_ROUTE);
        finish_front(replay, job);
        return;
    }
    schedule(replay, HOP_US, run_back, job);
}

static void
deliver_to_front(void *context, void *data)
{
    replay_t *replay = context;
    job_t *job = job_of(replay, data);
    job->front = (uint32_t)sim_random_between(replay->sim, 0, FRONTS);
    offer(replay, replay->fronts[job->front].server, job, FRONT_ROUTE);
}

static void
run_attempt(replay_t *replay, job_t *job)
{
    int64_t now_us = sim_now_us(replay->sim);
    uint8_t level = choose_level(replay, job);
    replay->counts[job->phase].eighths[level / (BV_PRIORITY_LEVELS / 8)]++;
    job->attempts++;
    job->priority = bv_priority(BV_CLASS_NORMAL, level);
    job->sent_us = now_us;
    job->deadline_us = now_us + DEADLINE_US;
    job->slot_us = 0;
    job->has_run = false;
    job->report = (bv_backpressure_t){0};
    if (!may_send(replay, replay->entries[job->entry].called,
                  route_of(job->account), job)) {
        end_attempt(replay, job);
        return;
    }
    schedule(replay, HOP_US, deliver_to_front, job);
}

static void
retry(void *context, void *data)
{
    replay_t *replay = context;
    run_attempt(replay, job_of(replay, data));
}

static void
schedule_arrival(replay_t *replay, uint32_t account)
{
    double uniform = g_rand_double(sim_random(replay->sim));
    double delay_s = -log1p(-uniform) / rate_per_s(replay, account);
    sim_schedule(replay->sim, 1 + (int64_t)(delay_s * US_PER_S), arrive,
                 g_memdup2(&account, sizeof(account)));
}

static void
arrive(void *context, void *data)
{
    replay_t *replay = context;
    const uint32_t *account = data;
    bool at_first = replay->options->surge_uses_one_entry &&
                    replay_is_surging(replay->options, *account);
    job_t *job = g_new0(job_t, 1);
    job->id = ++replay->last_id;
    job->account = *account;
    job->phase = current_phase(replay);
    job->entry =
        at_first ? 0 : (uint32_t)sim_random_between(replay->sim, 0, ENTRIES);
    g_hash_table_insert(replay->jobs, &job->id, job);
    replay->counts[job->phase].offered[*account]++;
    run_attempt(replay, job);
    schedule_arrival(replay, *account);
}

/* Sets the accounts' names and usual rates, the largest account first. */
static void
set_accounts(replay_t *replay)
{
    double capacity_per_s =
        (double)BACKS * BACK_SLOTS * US_PER_S / BACK_WORK_US;
    double sum = 0;
    for (uint32_t i = 0; i < REPLAY_ACCOUNTS; i++) {
        sum += pow(i + 1, -ZIPF_EXPONENT);
    }
    for (uint32_t i = 0; i < REPLAY_ACCOUNTS; i++) {
        g_snprintf(replay->names[i], NAME_BYTES, "account-%u", i);
        replay->rates_per_s[i] = capacity_per_s * replay->options->usual_load *
                                 pow(i + 1, -ZIPF_EXPONENT) / sum /
                                 cost_factor(replay->options, i);
    }
}

static void
create_servers(replay_t *replay)
{
    replay_server_options_t front = {
        .slots = FRONT_SLOTS,
        .queue_limit = QUEUE_LIMIT,
        .is_first_come = replay->policy == REPLAY_FIRST_COME,
        .on_start = start_front,
        .on_refused = refuse_front,
        .context = replay,
    };
    replay_server_options_t back = front;
    back.slots = BACK_SLOTS;
    back.on_start = start_back;
    back.on_refused = refuse_back;
    for (uint32_t i = 0; i < FRONTS; i++) {
        replay->fronts[i].server = replay_server_create(&front);
        replay->fronts[i].called = bv_backpressure_table_create();
    }
    for (uint32_t i = 0; i < BACKS; i++) {
        replay->backs[i] = replay_server_create(&back);
    }
}

static void
destroy_servers(replay_t *replay)
{
    for (uint32_t i = 0; i < FRONTS; i++) {
        replay_server_destroy(replay->fronts[i].server);
        bv_backpressure_table_destroy(replay->fronts[i].called);
    }
    for (uint32_t i = 0; i < BACKS; i++) {
        replay_server_destroy(replay->backs[i]);
    }
}

static void
create_entries(replay_t *replay)
{
    bv_fair_share_options_t options = {0};
    for (uint32_t i = 0; i < ENTRIES; i++) {
        replay->entries[i] = (entry_t){
            .share = bv_fair_share_create(&options),
            .costs = bv_route_costs_create(),
            .called = bv_backpressure_table_create(),
        };
    }
}

static void
destroy_entries(replay_t *replay)
{
    for (uint32_t i = 0; i < ENTRIES; i++) {
        bv_fair_share_destroy(replay->entries[i].share);
        bv_route_costs_destroy(replay->entries[i].costs);
        bv_backpressure_table_destroy(replay->entries[i].called);
    }
}

void
replay_run(const replay_options_t *options, replay_policy_t policy,
           guint32 seed, replay_counts_t counts[REPLAY_PHASE_END])
{
    replay_t replay = {
        .options = options,
        .policy = policy,
        .jobs =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .counts = counts,
    };
    replay.sim = sim_create(seed, &replay);
    create_entries(&replay);
    create_servers(&replay);
    set_accounts(&replay);
    for (uint32_t i = 0; i < REPLAY_ACCOUNTS; i++) {
        schedule_arrival(&replay, i);
    }
    int64_t end_us = overload_end_us(options) + RECOVERY_US;
    while (sim_now_us(replay.sim) < end_us) {
        sim_step(replay.sim);
    }
    sim_destroy(replay.sim);
    destroy_servers(&replay);
    destroy_entries(&replay);
    g_hash_table_destroy(replay.jobs);
}
