#ifndef TARGETS_CLIENT_INTERNAL_H
#define TARGETS_CLIENT_INTERNAL_H

#include "berylvane/targets/client.h"
#include "pool.h"

/*
 * client_internal - declarations that the sources of the client share
 *
 *  - client.c: requests, from their start to their result
 *  - client_head.c: the head of a request
 *  - client_turns.c: which responses are read on while memory is short
 */

typedef struct request request_t;

struct bv_target_client {
    bv_target_client_options_t options;
    bv_target_poll_t poll;
    bv_target_pool_t pool;
    bv_response_share_t share;
    /* Unfinished requests by ID, and ordered by deadline. */
    GHashTable *requests;
    GSequence *deadlines;
    /* Requests whose connection has input that no event announces. */
    GQueue unread;
    /* The request that goes on while others may not be read; NULL for none. */
    const request_t *turn;
    /* When it was read last. */
    int64_t turn_us;
};

struct request {
    uint64_t id;
    bv_target_connection_t *connection;
    bv_target_head_t head;
    /* The connection may be kept for other requests. */
    bool keeps_connection;
    int64_t started_us;
    int64_t deadline_us;
    GSequenceIter *timer;
    GList unread_link;
    bool is_unread;
    /* No other request has waited longer for its input to be read. */
    bool is_first;
    bool was_paused;
    /* Turns that the connection had after the deadline. */
    uint32_t late_turns;
};

/* Writes the head of a request for `work`. */
void client_write_head(const bv_target_dialect_t *dialect,
                       const bv_target_work_t *work, bv_target_head_t *head);

/*
 * Whether more of a response may be read now. After its deadline it is always
 * read, see expire_requests(). `context` is the client.
 */
bool client_may_read(void *context, const bv_target_connection_t *connection);

/* Whether any of the requests with unread input may be read. */
bool client_can_read_on(const bv_target_client_t *client);

/* Adds a request to those with unread input. */
void client_keep_unread(bv_target_client_t *client, request_t *request);

#endif
