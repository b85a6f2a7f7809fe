#include "client_internal.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"

/* The turn passes on if the target sends nothing more for this time. */
#define TURN_IDLE_US BV_US_PER_S

/*
 * Whether a request may go on while others wait: the one that has the turn, or
 * the next one if that has ended or its target sends nothing.
 */
static bool
has_turn(const bv_target_client_t *client, const request_t *request,
         bool is_first)
{
    bool is_free = client->turn == NULL ||
                   bv_clock_now_us() - client->turn_us >= TURN_IDLE_US;
    return client->turn == request || (is_first && is_free);
}

/* Sets `takes_turn` if the request may be read only since it has the turn. */
static bool
may_read_request(const bv_target_client_t *client, const request_t *request,
                 bool is_first, bool *takes_turn)
{
    const bv_target_client_options_t *options = &client->options;
    size_t bytes = request->connection->response.body.bytes->len;
    *takes_turn = false;
    if (options->may_read == NULL ||
        options->may_read(options->context, bytes, false)) {
        return true;
    }
    *takes_turn = has_turn(client, request, is_first) &&
                  options->may_read(options->context, bytes, true);
    return *takes_turn;
}

bool
client_may_read(void *context, const bv_target_connection_t *connection)
{
    bv_target_client_t *client = context;
    request_t *request = connection->owner;
    bool takes_turn;
    if (request->late_turns > 0) {
        return true;
    }
    if (!may_read_request(client, request, request->is_first, &takes_turn)) {
        bv_counter_add(BV_COUNT_ANSWERS_PAUSED, !request->was_paused);
        request->was_paused = true;
        return false;
    }
    if (takes_turn) {
        client->turn = request;
        client->turn_us = bv_clock_now_us();
    }
    return true;
}

bool
client_can_read_on(const bv_target_client_t *client)
{
    const GList *head = client->unread.head;
    for (const GList *link = head; link != NULL; link = link->next) {
        bool takes_turn;
        if (may_read_request(client, link->data, link == head, &takes_turn)) {
            return true;
        }
    }
    return false;
}

void
client_keep_unread(bv_target_client_t *client, request_t *request)
{
    if (!request->is_unread) {
        request->is_unread = true;
        g_queue_push_tail_link(&client->unread, &request->unread_link);
    }
}
