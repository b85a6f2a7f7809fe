#ifndef BERYLVANE_CORE_CONFIG_WATCH_H
#define BERYLVANE_CORE_CONFIG_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * config_watch - decides when and how a node queries the store for the row
 * that holds the configuration
 *
 * The row is read first. Then its table is watched: the store holds a watch
 * until the table changes or the time of the watch ends. After a query that
 * failed the row is read again, after a pause that grows with each failure.
 *
 * The row is also read again when an answer shows that the store has come back
 * from an older copy of its data: it then issues versions a second time, and a
 * watch that resumes from an old one misses changes.
 *
 * Connections can become half-open, all at the same time. Each query therefore
 * needs a connection of its own.
 */
typedef enum {
    /* Read the row. */
    BV_CONFIG_QUERY_READ,
    /* Watch the row's table for changes after a version. */
    BV_CONFIG_QUERY_WATCH,
} bv_config_query_kind_t;

typedef struct {
    bv_config_query_kind_t kind;
    /* For a watch: the version of the last change that is known. */
    int64_t version;
    /* For a watch: how long the store may hold it. */
    int64_t wait_us;
    /* Time limit of the answer, beyond `wait_us`. */
    int64_t timeout_us;
    /* Whether to use a new connection instead of a kept one. */
    bool uses_fresh_connection;
} bv_config_query_t;

/*
 * A point in the store's history. The store begins a new era when it comes
 * back from an older copy of its data, so that versions can be compared only
 * within an era. Era 0 is unknown.
 */
typedef struct {
    int64_t era;
    int64_t version;
} bv_table_position_t;

typedef enum {
    BV_CONFIG_ANSWER_OK,
    /* The store no longer keeps the changes since the watch's version. */
    BV_CONFIG_ANSWER_HISTORY_GONE,
    /* The query was refused, or got no valid answer. */
    BV_CONFIG_ANSWER_FAILED,
} bv_config_answer_t;

/* State of the watch; starts as zeros but for `wait_limit_us`. */
typedef struct {
    /*
     * Longest wait of a watch, set by the user: the time in which a change has
     * to be in force. A node may be the only one that the store serves, and
     * then finds a half-open connection only by the end of its own watch. 0 if
     * there is no limit.
     */
    int64_t wait_limit_us;
    /* When the next query is due. */
    int64_t due_us;
    /* Before this time no query is sent, so that the store is not flooded. */
    int64_t allowed_us;
    /* Current pause after a failed query; doubles with each failure. */
    int64_t pause_us;
    /* Current time limit of an answer. */
    int64_t timeout_us;
    /* Position up to which changes have been received. */
    bv_table_position_t known;
    /* Whether a watch can resume from `known`; otherwise the row is read. */
    bool has_position;
    bool is_querying;
    /* Number of the last query; the end of an older one has no effect. */
    uint64_t query_number;
    /* When the open query was sent. */
    int64_t sent_us;
    /* When the last answer came; 0 before the first one. */
    int64_t answered_us;
    /* Queries that failed since then. */
    uint32_t failures;
} bv_config_watch_t;

/* Returns whether a query has to be sent now: one is due and none is open. */
bool bv_config_watch_is_due(const bv_config_watch_t *watch, int64_t now_us);

/*
 * Starts the query that is due and sets `*query` to it. `nodes` is the number
 * of nodes that watch the row and tell each other of its changes.
 */
void bv_config_watch_start_query(bv_config_watch_t *watch, int64_t now_us,
                                 uint32_t nodes, GRand *random,
                                 bv_config_query_t *query);

/*
 * Handles the end of the query. `position` is that of the store, from an
 * answer that is BV_CONFIG_ANSWER_OK.
 */
void bv_config_watch_handle_answer(bv_config_watch_t *watch, int64_t now_us,
                                   GRand *random, bv_config_answer_t answer,
                                   const bv_table_position_t *position);

/*
 * Leaves the open query, whose end must not be handled, and makes the row be
 * read. For a store that is known to have begun a new era: a watch that was
 * sent before misses changes until it ends.
 */
void bv_config_watch_restart(bv_config_watch_t *watch, int64_t now_us);

/*
 * Returns the time since the store last answered a query; -1 before the first
 * answer.
 */
int64_t bv_config_watch_age_us(const bv_config_watch_t *watch, int64_t now_us);

/* Returns the longest time of a watch in a group of `nodes`. */
int64_t bv_config_watch_longest_wait_us(const bv_config_watch_t *watch,
                                        uint32_t nodes);

#endif
