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
    X(CALLS_LOCAL, "calls_local", "calls made by the local target")           \
    X(CALLS_UNTAGGED, "calls_untagged",                                       \
      "calls of the target without request id")                               \
    X(ANSWERS_RAN, "answers_ran", "calls answered with outcome ran")          \
    X(ANSWERS_NOT_RUN, "answers_not_run",                                     \
      "calls answered with outcome not-run")                                  \
    X(ANSWERS_UNKNOWN, "answers_unknown",                                     \
      "calls answered with outcome unknown")                                  \
    X(DISPATCHES, "dispatches", "attempts sent to the nodes of targets")      \
    X(RETRIES, "retries", "retries, each paid with a credit")                 \
    X(REROUTES, "reroutes", "attempts moved off a draining node")             \
    X(HEDGES, "hedges", "hedges: second attempts of slow reads")              \
    X(FENCES, "fences", "fence requests sent")                                \
    X(SESSION_STALE, "session_stale",                                         \
      "dispatches refused for a stale session")                               \
    X(SHED, "shed", "work refused by admission")                              \
    X(SHED_CRITICAL, "shed_critical", "critical work refused by admission")   \
    X(SHED_EARLY, "shed_early", "calls refused for overload downstream")      \
    X(OBSERVED_SHED, "observed_shed",                                         \
      "refusals and waits that observe mode skipped")                         \
    X(OBSERVED_RETRIES, "observed_retries",                                   \
      "retries that observe mode skipped")                                    \
    X(OBSERVED_HEDGES, "observed_hedges", "hedges that observe mode skipped") \
    X(BYPASSED, "bypassed", "work of departments in bypass mode")             \
    X(EXPIRED, "expired", "work dropped after its deadline")                  \
    X(CANCELLED, "cancelled", "work cancelled by its caller")                 \
    X(CALLERS_GONE, "callers_gone", "callers that left before their answer")  \
    X(CLAIMS, "claims", "claim rows written to the table service")            \
    X(CLAIM_BATCHES, "claim_batches", "transactions that wrote claim rows")   \
    X(CLAIM_FAILURES, "claim_failures",                                       \
      "claim writes that were not answered")                                  \
    X(KEY_ASKS, "key_asks", "queries to the owner of a key's row")            \
    X(KEYS_REFUSED, "keys_refused", "idempotency keys refused as invalid")    \
    X(TICKETS_FORWARDED, "tickets_forwarded",                                 \
      "calls sent to their ticket's issuer")                                  \
    X(REPEATS, "repeats", "calls that repeated the key of another")           \
    X(DIGEST_MISMATCH, "digest_mismatch", "messages with a wrong digest")     \
    X(ANSWERS_FOREIGN, "answers_foreign",                                     \
      "answers that belong to other requests")                                \
    X(ANSWERS_RESENT, "answers_resent", "answers sent again after a fence")   \
    X(ATTEMPTS_FORGOTTEN, "attempts_forgotten",                               \
      "attempts whose record had expired")                                    \
    X(PROGRESS_ASKED, "progress_asked", "progress queries to silent peers")   \
    X(PROGRESS_REPLACED, "progress_replaced",                                 \
      "sessions replaced as their peer was silent")                           \
    X(RING_FULL, "ring_full", "messages and calls refused by a full queue")   \
    X(PEER_BAD, "peer_bad", "peer messages malformed or not expected")        \
    X(PEER_SENT, "peer_sent", "messages sent to peers")                       \
    X(PEER_RECEIVED, "peer_received", "messages received from peers")         \
    X(PEER_REPLACED, "peer_replaced", "peer connections replaced")            \
    X(GOSSIP_BAD, "gossip_bad", "gossip packets dropped as invalid")          \
    X(GOSSIP_REPLAYED, "gossip_replayed",                                     \
      "gossip packets dropped as replays")                                    \
    X(GOSSIP_SYNCS, "gossip_syncs",                                           \
      "differing parts of the member table sent")                             \
    X(GOSSIP_SENT_BYTES, "gossip_sent_bytes", "gossip bytes sent")            \
    X(GOSSIP_RECEIVED_BYTES, "gossip_received_bytes",                         \
      "gossip bytes received")                                                \
    X(SUSPECTED, "suspected", "members put under suspicion")                  \
    X(EVICTED, "evicted", "members declared dead")                            \
    X(PLATFORM_READS, "platform_reads",                                       \
      "reads of the table and object services")                               \
    X(PLATFORM_WRITES, "platform_writes",                                     \
      "writes to the table and object services")                              \
    X(PLATFORM_ERRORS, "platform_errors",                                     \
      "platform calls refused or not answered")                               \
    X(CONFIG_ADOPTED, "config_adopted", "configurations adopted")             \
    X(CONFIG_REJECTED, "config_rejected", "configurations rejected")          \
    X(CONFIG_CONFLICTS, "config_conflicts",                                   \
      "generations seen with two digests")                                    \
    X(SPANS_SENT, "spans_sent", "trace spans sent to the collector")          \
    X(SPANS_DROPPED, "spans_dropped", "trace spans lost")                     \
    X(LOG_DROPPED, "log_dropped", "log lines lost")                           \
    X(INVARIANTS, "invariant_failures", "invariant checks that failed")

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
