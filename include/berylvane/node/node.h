#ifndef BERYLVANE_NODE_NODE_H
#define BERYLVANE_NODE_NODE_H

#include "berylvane/caller/listener.h"
#include "berylvane/collector/exporter.h"
#include "berylvane/common/ring.h"
#include "berylvane/core/admission.h"
#include "berylvane/core/backpressure.h"
#include "berylvane/core/capacity.h"
#include "berylvane/core/claim.h"
#include "berylvane/core/config.h"
#include "berylvane/core/config_fetcher.h"
#include "berylvane/core/config_watch.h"
#include "berylvane/core/credit.h"
#include "berylvane/core/local_target.h"
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
 * node - the decision thread and the state that it owns
 *
 * One thread runs the event loop: it receives calls, takes decisions and
 * exchanges messages with peers and with the local target, because passing
 * work between threads would cost more than these steps. Only this thread
 * accesses the fields of bv_node_t. Other threads (store, gossip, operators,
 * traces) post events to it through a ring buffer.
 */
typedef struct bv_node bv_node_t;

/* Claim writes that are queued to be sent in one store transaction. */
typedef struct bv_claim_writes bv_claim_writes_t;

/* Secrets of the API keys, and calls that are held; see node/access.h. */
typedef struct bv_access_gate bv_access_gate_t;

/* Permits that this node lends and holds; see node/quotas.h. */
typedef struct bv_quotas bv_quotas_t;

/* Demand of the accounts that call here; see node/fair_shares.h. */
typedef struct bv_fair_shares bv_fair_shares_t;

/* Where the target's departures are kept; see node/departures.h. */
typedef struct bv_departure_keeper bv_departure_keeper_t;

/* Memory of the node; see node/memory.h. */
typedef struct bv_memory bv_memory_t;

/* An event for the decision thread, which calls `run` with `data`. */
typedef struct {
    void (*run)(bv_node_t *node, void *data);
    void *data;
} bv_event_t;

/* Phases of a drain, in order. */
typedef enum {
    BV_DRAIN_NONE,
    /*
     * Readiness is denied. Outside calls are still served, and each answer
     * closes its connection.
     */
    BV_DRAIN_NOTICE,
    /* Outside calls and dispatches are refused; open ones are finished. */
    BV_DRAIN_FINISH,
    /* The node has left the membership and sends its last answers. */
    BV_DRAIN_LINGER,
    BV_DRAIN_DONE,
} bv_drain_phase_t;

typedef struct {
    bv_drain_phase_t phase;
    int64_t started_us;
    int64_t phase_started_us;
    /* Readiness probes denied during the drain, and time of the last one. */
    uint32_t readiness_refusals;
    int64_t last_refusal_us;
    /* Calls were still open at the limit: no attempt is started any more. */
    bool has_reached_limit;
} bv_drain_t;

/*
 * Schedule of the rendezvous: when this node's row is renewed, when the rows
 * of other nodes are read, and when seeds are contacted.
 */
typedef struct {
    int64_t renew_due_us;
    int64_t scan_due_us;
    int64_t seed_due_us;
    /*
     * Start of the next range to read: the upper 32 bits of the digest of a
     * member's name; 0 for the first range.
     */
    uint32_t range_start;
    /* This node leaves, and has deleted its row. */
    bool is_withdrawn;
    /* At least one range of rows was read. */
    bool has_read_range;
    /* The range that starts at the lowest digest was read. */
    bool has_read_first_range;
} bv_rendezvous_t;

/* State of placement; `capacity` is NULL while the setting is off. */
typedef struct {
    bv_capacity_t *capacity;
    /* Target incarnation that `capacity` was measured on. */
    char instance[BV_INSTANCE_BYTES];
    int64_t log_due_us;
    /* Counts since the last log line. */
    uint32_t calls;
    uint32_t spilled;
    uint32_t differed;
} bv_node_placement_t;

struct bv_node {
    bv_settings_t *settings;
    const bv_dialect_t *dialect;
    apr_pool_t *pool;
    GRand *random;
    /* The decision thread; set before any other thread starts. */
    pthread_t thread;
    int epoll_fd;
    int64_t link_check_due_us;
    /* Events that other threads post. */
    bv_ring_t *events;
    /* Events that the decision thread posts to itself. */
    GQueue local_events;
    /* Peer messages that this node addresses to itself. */
    GQueue loopback_messages;
    bv_memory_t *memory;
    /* Owned by `memory`. */
    bv_memory_budget_t *memory_budget;
    int64_t now_us;
    int64_t started_us;
    uint64_t incarnation;
    /* Last id given to an attempt, served work, a key query or a call. */
    uint64_t next_id;
    bool draining;
    /* Requests of the signal thread; changed atomically. */
    gint is_drain_requested;
    gint is_reload_requested;
    bv_drain_t drain;
    int64_t next_tick_us;

    bv_config_t *config;
    /* Bundle of the active configuration, sent to peers on request. */
    GBytes *bundle;
    bv_config_fetcher_t *config_fetcher;
    bv_config_watch_t config_watch;
    /* The row that the configuration in force was translated from. */
    bv_table_position_t config_row;
    /* The newest configuration that this node heard of, and when first. */
    uint64_t config_heard_generation;
    int64_t config_heard_us;
    bv_rendezvous_t rendezvous;
    bv_access_gate_t *access;

    bv_credits_t *credits;
    bv_sessions_t *sessions;
    bv_claims_t *claims;
    bv_claim_writes_t *claim_writes;
    bv_tickets_t *tickets;
    bv_ticket_keys_t ticket_keys;
    /* Open queries to other nodes about keys, by id. */
    GHashTable *key_queries;
    int64_t key_queries_due_us;
    bv_quotas_t *quotas;
    bv_fair_shares_t *fair_shares;
    bv_router_t *router;
    bv_traffic_split_t *traffic_split;
    bv_admission_t *admission;
    bv_node_placement_t placement;
    bv_retry_budgets_t *retry_budgets;
    /* Backpressure of the routes that this node calls. */
    bv_backpressure_table_t *called_backpressure;
    /* Backpressure downstream of the routes that the local target serves. */
    bv_backpressure_table_t *downstream_backpressure;
    bv_membership_t *membership;
    bv_local_target_t target;
    bv_departure_keeper_t *departures;
    bv_journal_t *journal;
    bv_log_budget_t log_budget;
    int64_t suppressed_log_due_us;
    int64_t load_log_due_us;

    /* Caller side: bv_call_state_t by the call's tag. */
    GHashTable *calls;
    /* Caller side: bv_call_state_t by the id of an open attempt. */
    GHashTable *attempts;
    /* Scheduled calls, ordered by `due_us` of bv_call_state_t. */
    GSequence *call_timers;
    /* Answered calls, freed at the end of the loop iteration. */
    GPtrArray *finished_calls;
    /* Caller side: sessions with the members that this node calls. */
    bv_outgoing_sessions_t *outgoing_sessions;
    int64_t outgoing_sessions_due_us;
    /* Target side: bv_served_t by id, by attempt and by request id. */
    GHashTable *served;
    GHashTable *served_by_attempt;
    GHashTable *served_by_request;
    bv_answer_cache_t *answer_cache;

    /* Listeners by role; NULL where the settings configure no port. */
    bv_listener_t *listeners[BV_LISTENER_ROLE_END];
    bv_operator_listener_t *operator_listener;
    bv_link_t *link;
    bv_gossip_t *gossip;
    bv_store_t *store;
    bv_target_client_t *target_client;
    bv_exporter_t *exporter;
};

/*
 * Creates a node and starts its threads. Returns NULL and sets `error` on
 * failure. `settings` and `dialect` must outlive the node.
 */
bv_node_t *bv_node_create(apr_pool_t *pool, bv_settings_t *settings,
                          const bv_dialect_t *dialect, GError **error);

/* Runs the event loop until a drain has ended. */
void bv_node_run(bv_node_t *node);
void bv_node_destroy(bv_node_t *node);

/*
 * Requests a drain. May be called from the thread that handles signals; does
 * not wait for room in the ring of events.
 */
void bv_node_request_drain(bv_node_t *node);

/* Requests in the same way that the settings file be read again. */
void bv_node_request_reload(bv_node_t *node);

/* Starts the drain and reloads the settings if they were requested. */
void bv_node_run_requests(bv_node_t *node);

/*
 * Posts an event: the decision thread will call `run` with `data`. Returns
 * false, with `data` still owned by the caller, when the ring is full. Events
 * that the decision thread itself posts are always accepted.
 */
bool bv_node_post(bv_node_t *node, void (*run)(bv_node_t *, void *),
                  void *data);

/*
 * Like bv_node_post(), but waits while the ring is full. Meant for results
 * that must not be lost, posted by threads whose work is bounded elsewhere.
 */
void bv_node_post_blocking(bv_node_t *node, void (*run)(bv_node_t *, void *),
                           void *data);

/*
 * loop: one epoll set for the listeners, the peer link, the target client and
 * the events that other threads post.
 */
void bv_loop_create(bv_node_t *node);
void bv_loop_destroy(bv_node_t *node);
void bv_loop_add_listener(bv_node_t *node, bv_listener_role_t role);

/*
 * Runs one iteration: waits up to `limit_us` for an event, handles what is
 * ready and runs the periodic work that is due, by the *_tick() functions.
 */
void bv_loop_run_once(bv_node_t *node, int64_t limit_us);

/* Runs all events and loopback messages that are queued. */
void bv_loop_run_events(bv_node_t *node);

/*
 * calls: the caller side. Receives calls from listeners, sends their attempts
 * and answers their callers.
 *
 * bv_calls_receive() takes ownership of a bv_call_t until its reply.
 */
void bv_calls_receive(bv_node_t *node, void *call);

/* Starts a request that was received and is not held for its key. */
void bv_calls_start(bv_node_t *node, bv_call_t *call);

/*
 * Whether a call may start before the calls that its connection sent earlier
 * are answered: its route is idempotent and the node is not draining.
 * `context` is the node.
 */
bool bv_calls_may_run_ahead(void *context, const bv_call_t *call);

/*
 * Handles a caller that disconnected before the answer. `tag` points to the
 * call's tag as a uint64_t and is freed.
 */
void bv_calls_handle_caller_gone(bv_node_t *node, void *tag);

/* Handles an answer to an attempt; `message` is borrowed. */
void bv_calls_handle_answer(bv_node_t *node, bv_peer_message_t *message);

/* Handles the reported state of an attempt: a FENCED or a PROGRESS message. */
void bv_calls_handle_fenced(bv_node_t *node, const bv_peer_message_t *message);

/* Queries silent sessions and replaces those that stay silent. */
void bv_calls_tick_sessions(bv_node_t *node);
void bv_calls_create_sessions(bv_node_t *node);

/*
 * Settles as unknown the attempts that were sent to a dead member or, for
 * idempotent calls, to an earlier incarnation of a restarted member.
 */
void bv_calls_handle_member_change(bv_node_t *node, const bv_member_t *member);
void bv_calls_tick(bv_node_t *node);

/* Time of the next scheduled call; INT64_MAX when no call is scheduled. */
int64_t bv_calls_next_due_us(const bv_node_t *node);

/* Answers all open calls as unknown, so that the node can stop at once. */
void bv_calls_answer_unknown(bv_node_t *node);
uint32_t bv_calls_count(const bv_node_t *node);

/*
 * serve: the target side. Admits dispatched work, runs it on the local target
 * and answers the dispatching node.
 *
 * bv_serve_handle_dispatch() takes ownership of `message`; the other functions
 * borrow theirs.
 */
void bv_serve_handle_dispatch(bv_node_t *node, bv_peer_message_t *message);
void bv_serve_open_session(bv_node_t *node, const bv_peer_message_t *message);
void bv_serve_handle_fence(bv_node_t *node, const bv_peer_message_t *message);
void bv_serve_handle_cancel(bv_node_t *node, const bv_peer_message_t *message);
void bv_serve_handle_progress_query(bv_node_t *node,
                                    const bv_peer_message_t *message);

/* Handles a bv_target_result_t, which is freed. */
void bv_serve_handle_result(bv_node_t *node, void *result);
void bv_serve_tick(bv_node_t *node);
uint32_t bv_serve_count(const bv_node_t *node);

/*
 * peers: sends messages to other members and handles received ones.
 *
 * bv_peers_handle_message() takes ownership of a bv_peer_message_t.
 */
void bv_peers_handle_message(bv_node_t *node, void *message);

/*
 * Sends `message` to `member` and takes ownership of it. Returns false when
 * the member is not known, when its current incarnation is newer than the one
 * that the message is for, or when the link cannot accept the message.
 */
bool bv_peers_send(bv_node_t *node, const char *member,
                   bv_peer_message_t *message);

/* Sends `message` as the answer to `to`; takes ownership of `message`. */
bool bv_peers_answer(bv_node_t *node, const bv_peer_message_t *to,
                     bv_peer_message_t *message);

/* members: membership, gossip, and the limits that depend on members. */
bool bv_members_create(bv_node_t *node, GError **error);

/* Applies the configured admission limits and the target's announced slots. */
void bv_members_configure_admission(bv_node_t *node);

/*
 * Recomputes this node's share of the retry reserve from the number of present
 * members.
 */
void bv_members_update_retry_reserve(bv_node_t *node);

/*
 * Handles a received gossip packet; `packet` is the record that the gossip
 * thread posted and is freed.
 */
void bv_members_handle_gossip(bv_node_t *node, void *packet);
void bv_members_tick(bv_node_t *node);

/*
 * Marks the sender of `answer` as draining. The answer refused work because of
 * a drain of the node, and its sender is the authority on its own state. A
 * drain of the target alone, whose answers have the served state
 * BV_SERVED_QUEUED, does not count: the node serves again with its next
 * target, but a member that is marked as draining never returns.
 */
void bv_members_mark_draining(bv_node_t *node,
                              const bv_peer_message_t *answer);

/*
 * target: the announcements of the local target, and whether it can be sent
 * work.
 */

void bv_target_create(bv_node_t *node);

/*
 * Applies an announcement and replies to `call`, which frees `call`. The
 * acknowledgement of a departure waits until the departure is kept; see
 * node/departures.h.
 */
void bv_target_handle_announcement(bv_node_t *node, bv_call_t *call);
bool bv_target_is_usable(const bv_node_t *node);

/* Applies a departure that was announced to an earlier process. */
void bv_target_recall(bv_node_t *node, const bv_departure_t *departure);

/* Lets the target be used: see bv_local_target_end_recall(). */
void bv_target_end_recall(bv_node_t *node);

/*
 * Marks the target as unreachable after a failed connection. It is sent no
 * work until its next announcement.
 */
void bv_target_set_unreachable(bv_node_t *node);

/* Stops sending work to a target whose announcements have ceased. */
void bv_target_check_silence(bv_node_t *node);

/* readiness: whether load balancers may send callers to this node. */
bool bv_node_is_ready(const bv_node_t *node);

/* Replies to a readiness probe: 200 when the node is ready, else 503. */
void bv_readiness_answer(bv_node_t *node, bv_call_t *call);

/*
 * reload: reads the settings file again and applies the settings that may
 * change while the node runs.
 */
void bv_node_reload(bv_node_t *node);

/*
 * rendezvous: the table rows by which nodes find each other. Each node renews
 * its own row and reads ranges of the others'.
 */
void bv_rendezvous_create(bv_node_t *node);
void bv_rendezvous_tick(bv_node_t *node);

/* Writes this node's row again, which the store may have lost. */
void bv_rendezvous_renew(bv_node_t *node);

/* Deletes this node's row, since the node leaves the cluster. */
void bv_rendezvous_withdraw(bv_node_t *node);

/*
 * Applies the configured limits for callers (header and body sizes, timeouts)
 * to the outside listener.
 */
void bv_node_apply_caller_limits(bv_node_t *node);

/* Whether all answers were written to the callers' connections. */
bool bv_node_answers_are_written(const bv_node_t *node);

/* Applies the limits of the settings to all listeners, then the configured. */
void bv_node_apply_listener_settings(bv_node_t *node);

/* keyed: at-most-once execution of non-idempotent calls. */
void bv_keyed_create(bv_node_t *node);
void bv_keyed_destroy(bv_node_t *node);
void bv_keyed_tick(bv_node_t *node);

/* Writes the rows of this node's claims again, which the store may have lost.
 */
void bv_keyed_handle_restore(bv_node_t *node);

/*
 * Creates the window of ticket serial numbers and loads the keys that sign and
 * verify tickets.
 */
void bv_tickets_prepare(bv_node_t *node);

/*
 * key_peers: queries between nodes about keys, and forwarded calls.
 *
 * Handles a peer's query about a key, or a call that a peer forwards with its
 * ticket. Returns true when the forwarded call keeps `message`; otherwise the
 * caller still owns it.
 */
bool bv_key_peers_handle_query(bv_node_t *node, bv_peer_message_t *message);

/*
 * Handles a peer's answer to a query about a key or to a forwarded call;
 * `message` is borrowed.
 */
void bv_key_peers_handle_answer(bv_node_t *node,
                                const bv_peer_message_t *message);

/* Frees a call that was built from a peer's message. */
void bv_key_peers_call_destroy(bv_call_t *call);

/*
 * placement: measures the local target, exchanges load reports with other
 * nodes, and shows operators how calls are placed. All functions but
 * bv_node_placement_create() do nothing while the setting `placement` is off.
 */
void bv_node_placement_create(bv_node_t *node);
void bv_node_placement_destroy(bv_node_t *node);

/* Counts a choice of the router. */
void bv_node_placement_count(bv_node_t *node, const bv_picked_t *picked);

/* Asks for a load report in the answer to a DISPATCH. */
void bv_node_placement_request_report(const bv_node_t *node,
                                      bv_peer_message_t *dispatch);

/* Adds a load report to the answer if the DISPATCH asks for it. */
void bv_node_placement_add_report(const bv_node_t *node,
                                  const bv_peer_message_t *dispatch,
                                  uint32_t route_hash, int64_t served_us,
                                  bv_peer_message_t *answer);

/* Copies the report of an answer, if it has one. */
void bv_node_placement_read_report(const bv_node_t *node,
                                   const bv_peer_message_t *answer,
                                   bv_feedback_t *feedback);

/* Writes the log line that is due. */
void bv_node_placement_tick(bv_node_t *node);

/* Adds what callers know of each target to the status. */
void bv_node_placement_render(const bv_node_t *node, json_t *status);

/* status: answers the requests of operators; `call` is a bv_call_t. */
void bv_status_handle_query(bv_node_t *node, void *call);

/*
 * decisions: records decisions in the journal and logs those about requests,
 * within the log budget.
 */
void bv_node_record_decision(bv_node_t *node, const bv_decision_t *decision);
void bv_decisions_tick(bv_node_t *node);

/* Increments the counter of a reason. */
void bv_node_count_reason(bv_reason_t reason);

/*
 * drain: takes the node out of service without losing calls; the phases are
 * those of bv_drain_phase_t. A second start is ignored.
 */
void bv_node_start_drain(bv_node_t *node);
void bv_drain_tick(bv_node_t *node);

/* Returns whether a new call must be refused because of the drain. */
bool bv_drain_refuses_call(const bv_node_t *node, const bv_call_t *call);

#endif
