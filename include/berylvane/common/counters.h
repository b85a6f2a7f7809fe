#ifndef BERYLVANE_COMMON_COUNTERS_H
#define BERYLVANE_COMMON_COUNTERS_H

#include "berylvane/common/reasons.h"

#include <glib.h>
#include <stdint.h>

/*
 * counters - metric counters of the process; any thread may use them
 *
 * Each line of the list holds a symbol, the metric's name and its help text.
 * /metrics shows the metric as berylvane_NAME_total.
 */
#define BV_COUNTER_LIST(X)                                                    \
    X(CALLS_OUTSIDE, "calls_outside", "calls from outside callers")           \
    X(CALLS_LOCAL, "calls_local", "calls from the local target")              \
    X(CALLS_UNTAGGED, "calls_untagged", "local calls without request id")     \
    X(ANSWERS_RAN, "answers_ran", "answers given as ran")                     \
    X(ANSWERS_NOT_RUN, "answers_not_run", "answers given as not-run")         \
    X(ANSWERS_UNKNOWN, "answers_unknown", "answers given as unknown")         \
    X(DISPATCHES, "dispatches", "attempts handed to a peer link")             \
    X(RETRIES, "retries", "attempts after the first, paid with credit")       \
    X(LOCAL_RETRIES, "local_retries",                                         \
      "requests sent again by the node beside the target")                    \
    X(REROUTES, "reroutes", "attempts moved off a draining node")             \
    X(HEDGES, "hedges", "second attempts of a slow idempotent read")          \
    X(FENCES, "fences", "fence requests sent")                                \
    X(SESSION_STALE, "session_stale", "dispatches refused as stale")          \
    X(SHED, "shed", "work refused by admission")                              \
    X(SHED_CRITICAL, "shed_critical", "critical work refused by admission")   \
    X(TARGET_DRAINED, "target_drained",                                       \
      "queued work refused, its target drains or left")                       \
    X(SHED_EARLY, "shed_early", "calls refused for the services below")       \
    X(OBSERVED_SHED, "observed_shed", "observed work not refused or queued")  \
    X(OBSERVED_RETRIES, "observed_retries", "observed retries not made")      \
    X(OBSERVED_HEDGES, "observed_hedges", "observed hedges not made")         \
    X(BYPASSED, "bypassed", "work of departments in bypass")                  \
    X(EXPIRED, "expired", "work dropped after its deadline")                  \
    X(CANCELLED, "cancelled", "work cancelled by its caller")                 \
    X(PLACEMENT_REPORTS, "placement_reports", "answers with a load report")   \
    X(PLACEMENT_SPILLED, "placement_spilled", "calls placed in a far tier")   \
    X(PLACEMENT_DIFFERED, "placement_differed", "observed other choices")     \
    X(CALLERS_GONE, "callers_gone", "callers gone before their answer")       \
    X(CLAIMS, "claims", "writes of claims to the table service")              \
    X(CLAIM_BATCHES, "claim_batches", "transactions that claims shared")      \
    X(CLAIM_FAILURES, "claim_failures", "writes of claims without answer")    \
    X(KEY_ASKS, "key_asks", "questions to the owner of a key's row")          \
    X(KEYS_REFUSED, "keys_refused", "forged, garbled or overlong keys")       \
    X(TICKETS_FORWARDED, "tickets_forwarded", "calls handed to the minter")   \
    X(REPEATS, "repeats", "repeats of a key already known")                   \
    X(DIGEST_MISMATCH, "digest_mismatch", "answers that failed their digest") \
    X(ANSWERS_FOREIGN, "answers_foreign", "answers not of their attempt")     \
    X(ANSWERS_RESENT, "answers_resent", "answers sent again for a fence")     \
    X(ATTEMPTS_FORGOTTEN, "attempts_forgotten", "attempts too old to judge")  \
    X(PROGRESS_ASKED, "progress_asked", "silent peer connections asked")      \
    X(PROGRESS_REPLACED, "progress_replaced", "sessions left for silence")    \
    X(RING_FULL, "ring_full", "refusals because a ring was full")             \
    X(ANNOUNCEMENTS_BAD, "announcements_bad",                                 \
      "heartbeats refused as invalid")                                        \
    X(PEER_BAD, "peer_bad", "peer messages that were not understood")         \
    X(PEER_SENT, "peer_sent", "messages sent to peers")                       \
    X(PEER_RECEIVED, "peer_received", "messages received from peers")         \
    X(PEER_PAUSES, "peer_pauses",                                             \
      "times that peers were not read, since memory was full")                \
    X(PEER_REPLACED, "peer_replaced", "peer connections replaced")            \
    X(GOSSIP_BAD, "gossip_bad", "gossip packets dropped as invalid")          \
    X(GOSSIP_REPLAYED, "gossip_replayed", "gossip packets dropped as old")    \
    X(GOSSIP_SYNCS, "gossip_syncs", "differing parts of the table sent")      \
    X(GOSSIP_SENT_BYTES, "gossip_sent_bytes", "gossip bytes sent")            \
    X(GOSSIP_RECEIVED_BYTES, "gossip_received_bytes", "gossip bytes read")    \
    X(SUSPECTED, "suspected", "members put under suspicion")                  \
    X(EVICTED, "evicted", "members declared dead")                            \
    X(PLATFORM_READS, "platform_reads", "table and object reads")             \
    X(PLATFORM_WRITES, "platform_writes", "table and object writes")          \
    X(PLATFORM_ERRORS, "platform_errors", "platform calls without answer")    \
    X(STORE_RESTORES, "store_restores", "times the store lost writes")        \
    X(CONFIG_QUERIES_FAILED, "config_queries_failed",                         \
      "queries for the configuration's row without an answer")                \
    X(CONFIG_REQUESTS, "config_requests",                                     \
      "requests for the body of a configuration")                             \
    X(CONFIG_ADOPTED, "config_adopted", "configurations put in force")        \
    X(CONFIG_REJECTED, "config_rejected", "configurations not adopted")       \
    X(CONFIG_INCOMPLETE, "config_incomplete",                                 \
      "configurations put in force without some of their entries")            \
    X(CONFIG_CONFLICTS, "config_conflicts", "two digests of one generation")  \
    X(ACCESS_DENIED, "access_denied", "calls refused with 401")               \
    X(ACCESS_HELD, "access_held", "calls held for a newer configuration")     \
    X(ACCESS_UNDECIDED, "access_undecided",                                   \
      "calls refused with 503 since their key could not be judged")           \
    X(ACCESS_UNVERIFIED, "access_unverified",                                 \
      "calls without a key for a request that does not run here")             \
    X(BODIES_REFUSED_MEMORY, "bodies_refused_memory",                         \
      "request bodies not read, for lack of memory")                          \
    X(BODIES_REFUSED_SIZE, "bodies_refused_size",                             \
      "request bodies not read, larger than a node passes on")                \
    X(CALLS_DELAYED_MEMORY, "calls_delayed_memory",                           \
      "calls whose responses waited for memory")                              \
    X(FENCES_DELAYED_MEMORY, "fences_delayed_memory",                         \
      "fences left out, since a repeated response has no memory")             \
    X(ANSWERS_PAUSED, "answers_paused",                                       \
      "target's responses not read on for a time, for lack of memory")        \
    X(CONNECTIONS_CLOSED_MEMORY, "connections_closed_memory",                 \
      "callers' connections closed for lack of memory")                       \
    X(CONNECTIONS_CLOSED_DESCRIPTORS, "connections_closed_descriptors",       \
      "idle callers' connections closed for new ones")                        \
    X(SPANS_SENT, "spans_sent", "trace spans exported")                       \
    X(SPANS_DROPPED, "spans_dropped", "trace spans lost")                     \
    X(LOG_DROPPED, "log_dropped", "log lines lost")                           \
    X(QUOTA_ASKED, "quota_asked", "requests for permits sent to lessors")     \
    X(QUOTA_LENT, "quota_lent", "permits lent by this node")                  \
    X(QUOTA_NOT_LENT, "quota_not_lent",                                       \
      "permit requests refused, not the lessor")                              \
    X(QUOTA_FLOOR, "quota_floor", "calls admitted from the floor")            \
    X(FAIR_SHARE_OTHERS, "fair_share_others",                                 \
      "calls of accounts beyond those with rates of their own")               \
    X(INVARIANTS, "invariant_failures", "invariants found broken")

typedef enum {
#define BV_COUNTER_SYMBOL(symbol, name, help) BV_COUNT_##symbol,
    BV_COUNTER_LIST(BV_COUNTER_SYMBOL)
#undef BV_COUNTER_SYMBOL
/* A counter for each reason, in the order of bv_reason_t. */
#define BV_COUNTER_REASON(symbol, name) BV_COUNT_REASON_##symbol,
    BV_REASON_LIST(BV_COUNTER_REASON)
#undef BV_COUNTER_REASON
        BV_COUNT_END
} bv_counter_t;

/* Adds `amount` to a counter. */
void bv_counter_add(bv_counter_t counter, uint64_t amount);

/* Returns the value of a counter. */
uint64_t bv_counter_get(bv_counter_t counter);

/* Appends all counters to `out` in the Prometheus text format. */
void bv_counters_render(GString *out);

#endif
