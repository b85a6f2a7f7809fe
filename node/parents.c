#include "berylvane/node/call.h"

/*
 * Calls of the local target are attributed to the latest started work of their
 * request that is not answered yet.
 */
void
bv_parents_add(bv_node_t *node, bv_served_t *served)
{
    bv_id_t *request = &served->dispatch->request_id;
    served->next_same_request =
        g_hash_table_lookup(node->served_by_request, request);
    g_hash_table_replace(node->served_by_request, request, served);
}

void
bv_parents_remove(bv_node_t *node, bv_served_t *served)
{
    const bv_id_t *request = &served->dispatch->request_id;
    bv_served_t *first = g_hash_table_lookup(node->served_by_request, request);
    bv_served_t **link = &first;
    while (*link != NULL && *link != served) {
        link = &(*link)->next_same_request;
    }
    if (*link == NULL) {
        return;
    }
    *link = served->next_same_request;
    g_hash_table_remove(node->served_by_request, request);
    if (first != NULL) {
        g_hash_table_insert(node->served_by_request,
                            &first->dispatch->request_id, first);
    }
}

void
bv_parents_child_started(bv_node_t *node, const bv_id_t *request)
{
    bv_served_t *served =
        g_hash_table_lookup(node->served_by_request, request);
    if (served != NULL && served->open_children++ == 0) {
        served->children_open_since_us = node->now_us;
    }
}

static void
raise_backpressure(bv_served_t *served, const bv_backpressure_t *pressure)
{
    served->downstream_backpressure.threshold =
        MAX(served->downstream_backpressure.threshold, pressure->threshold);
    served->downstream_backpressure.wait_us =
        MAX(served->downstream_backpressure.wait_us, pressure->wait_us);
}

void
bv_parents_child_ended(bv_node_t *node, const bv_id_t *request,
                       uint32_t route_hash)
{
    bv_served_t *served =
        g_hash_table_lookup(node->served_by_request, request);
    if (served == NULL || served->open_children == 0) {
        return;
    }
    if (--served->open_children == 0) {
        served->children_total_us +=
            node->now_us - served->children_open_since_us;
    }
    bv_backpressure_t pressure = bv_backpressure_table_get(
        node->called_backpressure, node->now_us, route_hash);
    raise_backpressure(served, &pressure);
}
