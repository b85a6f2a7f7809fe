#ifndef BERYLVANE_NODE_NODE_H
#define BERYLVANE_NODE_NODE_H

#include "berylvane/caller/listener.h"
#include "berylvane/collector/exporter.h"
#include "berylvane/common/ring.h"
#include "berylvane/core/admission.h"
#include "berylvane/core/backpressure.h"
#include "berylvane/core/claim.h"
#include "berylvane/core/config.h"
#include "berylvane/core/config_fetcher.h"
#include "berylvane/core/credit.h"
#include "berylvane/core/log_budget.h"
#include "berylvane/core/membership.h"
#include "berylvane/core/outgoing_sessions.h"
#include "berylvane/core/request.h"
#include "berylvane/core/retry_budget.h"
#include "berylvane/core/router.h"
#include "berylvane/core/session.h"
#include "berylvane/core/traffic_split.h"
#include "berylvane/node/answer_cache.h"
#include "berylvane/node/dialect.h"
#include "berylvane/node/journal.h"
#include "berylvane/node/settings.h"
#include "berylvane/operator/listener.h"
#include "berylvane/peer/gossip.h"
#include "berylvane/peer/link.h"
#include "berylvane/platform/store.h"
#include "berylvane/targets/client.h"

#include <apr_pools.h>
#include <pthread.h>

/*
 * node - the decision thread and what it owns
 *
 * One thread runs the loop: it takes calls, decides, and speaks with peers and
 * the target, since a hand-over between threads costs more than these steps.
 * All fields below are touched by it only. Other threads (store, gossip,
 * operators, traces) hand over events through the ring.
 */
typedef struct bv_node bv_node_t;

/* Writes of claims that wait to share a transaction. */
typedef struct bv_claim_writes bv_claim_writes_t;

/* Work for the decision thread: `run` is called there with `data`. */
typedef struct {
    void (*run)(bv_node_t *node, void *data);
    void *data;
} bv_event_t;

/* What is known of the target beside this node. */
typedef struct {
    /* The newest word of the target. */
    bv_announcement_t last_announcement;
    /* It was heard lately. */
    bool announced;
    /* It took no connection since its last word. */
    bool unreachable;
    int64_t announced_us;
} bv_local_target_t;

/*
 * A drain: for a while outside callers are still served, over connections that
 * are then closed; then what runs is finished; then the last answers leave.
 */
typedef enum {
    BV_DRAIN_NONE,
    BV_DRAIN_NOTICE,
    BV_DRAIN_FINISH,
    BV_DRAIN_LINGER,
    BV_DRAIN_DONE,
} bv_drain_phase_t;

typedef struct {
    bv_drain_phase_t phase;
    int64_t started_us;
    int64_t phase_started_us;
    /* Times that readiness was denied, and the last one. */
    uint32_t readiness_refusals;
    int64_t last_refusal_us;
} bv_drain_t;

/* Waiting for changes of the row that holds the configuration. */
typedef struct {
    /* When the next request to the table is due, and the pause after failed
     * ones. */
    int64_t due_us;
    int64_t pause_us;
    /* Version of the table up to which changes are known; 0: read the row. */
    int64_t known_version;
    bool is_requesting;
} bv_config_watch_t;

/* When the own row is renewed, other rows are read and seeds are asked. */
typedef struct {
    int64_t renew_due_us;
    int64_t scan_due_us;
    int64_t seed_due_us;
    /* Start of the range that is read next, as the digest of a name. */
    uint32_t range_start;
    /* A range was read; the first range was. */
    bool has_read_range;
    bool has_read_first_range;
} bv_rendezvous_t;

struct bv_node {
    bv_settings_t *settings;
    const bv_dialect_t *dialect;
    apr_pool_t *pool;
    GRand *random;
    /* Thread of the loop, set before any other starts, and what it waits for.
     */
    pthread_t thread;
    int epoll_fd;
    int64_t link_check_due_us;
    /* Events of other threads; of this one; messages to this node itself. */
    bv_ring_t *events;
    GQueue local_events;
    GQueue loopback_messages;
    int64_t now_us;
    int64_t started_us;
    uint64_t incarnation;
    uint64_t next_id;
    bool draining;
    bv_drain_t drain;
    int64_t next_tick_us;

    bv_config_t *config;
    /* Bundle text of the configuration in force, to hand to peers. */
    GBytes *bundle;
    bv_config_fetcher_t *config_fetcher;
    bv_config_watch_t config_watch;
    bv_rendezvous_t rendezvous;

    bv_credits_t *credits;
    bv_sessions_t *sessions;
    bv_claims_t *claims;
    bv_claim_writes_t *claim_writes;
    bv_tickets_t *tickets;
    bv_ticket_keys_t ticket_keys;
    /* Questions to other nodes about keys, by id. */
    GHashTable *key_queries;
    int64_t key_queries_due_us;
    bv_router_t *router;
    bv_traffic_split_t *traffic_split;
    bv_admission_t *admission;
    bv_retry_budgets_t *retry_budgets;
    /* Pressure of the routes called from here, and below the served ones. */
    bv_backpressure_table_t *called_backpressure;
    bv_backpressure_table_t *backpressure_below;
    bv_membership_t *membership;
    bv_local_target_t target;
    bv_journal_t *journal;
    bv_log_budget_t log_budget;
    int64_t suppressed_log_due_us;
    int64_t load_log_due_us;

    /* Caller side: calls by tag, and the call of each attempt. */
    GHashTable *calls;
    GHashTable *attempts;
    /* Calls with attempts, by the time at which they are next due. */
    GSequence *call_timers;
    /* Answered calls, freed at the end of the loop's round. */
    GPtrArray *finished_calls;
    /* Caller side: sessions with members. */
    bv_outgoing_sessions_t *outgoing_sessions;
    int64_t outgoing_sessions_due_us;
    /* Target side: served work by id, by attempt and by request id. */
    GHashTable *served;
    GHashTable *served_by_attempt;
    GHashTable *served_by_request;
    bv_answer_cache_t *answer_cache;

    /* One for each use; NULL where the settings name no address. */
    bv_listener_t *listeners[BV_PORT_END];
    bv_operator_t *operator_listener;
    bv_link_t *link;
    bv_gossip_t *gossip;
    bv_store_t *store;
    bv_target_client_t *target_client;
    bv_exporter_t *exporter;
};

/* Builds a node and starts its threads; NULL and a GError on failure. */
bv_node_t *bv_node_create(apr_pool_t *pool, bv_settings_t *settings,
                          const bv_dialect_t *dialect, GError **error);

/* Runs the decision loop until a drain has ended. */
void bv_node_run(bv_node_t *node);
void bv_node_destroy(bv_node_t *node);

/* Asks for a drain; safe in a signal handler's thread. */
void bv_node_request_drain(bv_node_t *node);

/* Asks for the settings to be read again; likewise. */
void bv_node_request_reload(bv_node_t *node);

/* Hands an event to the decision thread; false when the ring is full. */
bool bv_node_post(bv_node_t *node, void (*run)(bv_node_t *, void *),
                  void *data);

/*
 * Like bv_node_post(), but waits for room: for results that must arrive,
 * posted by threads whose work is bounded elsewhere.
 */
void bv_node_post_blocking(bv_node_t *node, void (*run)(bv_node_t *, void *),
                           void *data);

/*
 * loop: one epoll set over the listeners, the peer link, the target client and
 * the events of other threads.
 */
void bv_loop_create(bv_node_t *node);
void bv_loop_destroy(bv_node_t *node);
void bv_loop_add_listener(bv_node_t *node, bv_port_t use);

/* Waits up to `limit_us` for something to do, and does it. */
void bv_loop_run_once(bv_node_t *node, int64_t limit_us);
void bv_loop_run_events(bv_node_t *node);

/* calls: the caller side. */
void bv_calls_receive(bv_node_t *node, void *call);

/* The caller of a call, named by its tag, is gone; frees `tag`. */
void bv_calls_handle_caller_gone(bv_node_t *node, void *tag);
void bv_calls_handle_answer(bv_node_t *node, bv_peer_message_t *message);
void bv_calls_handle_fenced(bv_node_t *node, const bv_peer_message_t *message);
void bv_calls_tick_sessions(bv_node_t *node);
void bv_calls_create_sessions(bv_node_t *node);
void bv_calls_handle_member_change(bv_node_t *node, const bv_member_t *member);
void bv_calls_tick(bv_node_t *node);
int64_t bv_calls_next_due_us(const bv_node_t *node);
/* Answers all that is open as unknown: the node may wait no longer. */
void bv_calls_answer_unknown(bv_node_t *node);
uint32_t bv_calls_count(const bv_node_t *node);

/* serve: the target side. */
void bv_serve_handle_dispatch(bv_node_t *node, bv_peer_message_t *message);
void bv_serve_open_session(bv_node_t *node, const bv_peer_message_t *message);
void bv_serve_handle_fence(bv_node_t *node, const bv_peer_message_t *message);
void bv_serve_handle_cancel(bv_node_t *node, const bv_peer_message_t *message);
void bv_serve_handle_progress_ask(bv_node_t *node,
                                  const bv_peer_message_t *message);
void bv_serve_handle_result(bv_node_t *node, void *result);
void bv_serve_tick(bv_node_t *node);
uint32_t bv_serve_count(const bv_node_t *node);

/* peers: sending to members, and what came from them. */
void bv_peers_handle_message(bv_node_t *node, void *message);
bool bv_peers_send(bv_node_t *node, const char *member,
                   bv_peer_message_t *message);
bool bv_peers_answer(bv_node_t *node, const bv_peer_message_t *to,
                     bv_peer_message_t *message);

/* members: membership, rendezvous rows and the target's announcement. */
bool bv_members_create(bv_node_t *node, GError **error);

/* Puts the limits of the configuration and the target's slots in force. */
void bv_members_configure_admission(bv_node_t *node);
/* Gives this node its part of the reserve for retries. */
void bv_members_update_retry_reserve(bv_node_t *node);
void bv_members_handle_gossip(bv_node_t *node, void *packet);
void bv_members_tick(bv_node_t *node);

/* A node refused work because it drains: that is news from its owner. */
void bv_members_mark_draining(bv_node_t *node,
                              const bv_peer_message_t *answer);

/* target: what the target beside this node says, and whether it takes work. */
void bv_target_handle_announcement(bv_node_t *node, bv_call_t *call);
bool bv_target_is_usable(const bv_node_t *node);

/* The target took no connection: it gets no work until it is heard again. */
void bv_target_set_unreachable(bv_node_t *node);
void bv_target_check_silence(bv_node_t *node);

/* readiness: whether callers may be sent here. */
bool bv_node_is_ready(const bv_node_t *node);
void bv_readiness_answer(bv_node_t *node, bv_call_t *call);

/* reload: reads the settings file again and puts in force what may change. */
void bv_node_reload(bv_node_t *node);

/* rendezvous: the rows in the table by which nodes find each other. */
void bv_rendezvous_create(bv_node_t *node);
void bv_rendezvous_tick(bv_node_t *node);

/* Drops the own row: the node leaves for good. */
void bv_rendezvous_withdraw(bv_node_t *node);

/* configs: learning and adopting configurations. */
void bv_configs_create(bv_node_t *node);
void bv_configs_handle_version(bv_node_t *node,
                               const bv_config_version_t *version,
                               const char *member);
/* An operator hands over a bundle that was accepted; false if it is none. */
bool bv_configs_submit(bv_node_t *node, GBytes *body);

/* The row of the dialect's configuration source was read. */
void bv_configs_handle_row(bv_node_t *node, const json_t *value);
void bv_configs_handle_request(bv_node_t *node,
                               const bv_peer_message_t *message);
void bv_configs_handle_bundle(bv_node_t *node,
                              const bv_peer_message_t *message);
void bv_configs_tick(bv_node_t *node);

/* config_watch: follows the row of a dialect's configuration source. */
void bv_config_watch_tick(bv_node_t *node);

/* Puts the limits for callers of the configuration in force. */
void bv_node_apply_caller_limits(bv_node_t *node);

/* keyed: at-most-once execution of non-idempotent calls. */
void bv_keyed_create(bv_node_t *node);
void bv_keyed_destroy(bv_node_t *node);
void bv_keyed_tick(bv_node_t *node);
void bv_tickets_prepare(bv_node_t *node);

/* key_peers: what other nodes ask and answer; true when `message` is taken. */
bool bv_key_peers_handle_ask(bv_node_t *node, bv_peer_message_t *message);
void bv_key_peers_handle_answer(bv_node_t *node,
                                const bv_peer_message_t *message);
void bv_key_peers_call_destroy(bv_call_t *call);

/* status: answers to operators. */
void bv_status_handle_query(bv_node_t *node, void *call);

/* decisions: the journal and the log of decisions. */
void bv_node_record_decision(bv_node_t *node, const bv_decision_t *decision);
void bv_decisions_tick(bv_node_t *node);

/* Counts a decision under its reason. */
void bv_node_count_reason(bv_reason_t reason);

/* drain: refuse new work at once, finish what runs, then leave. */
void bv_node_start_drain(bv_node_t *node);
void bv_drain_tick(bv_node_t *node);

/* Whether a new call is refused because of the drain. */
bool bv_drain_refuses_call(const bv_node_t *node, const bv_call_t *call);

#endif
