#include "berylvane/node/call.h"

/* Children find their parent by request id while any of its work runs. */
void
bv_parents_add(bv_node_t *node, bv_served_t *served)
{
    bv_id_t *request = &served->dispatch->request;
    served->next_of_request =
        g_hash_table_lookup(node->served_by_request, request);
    g_hash_table_replace(node->served_by_request, request, served);
}

void
bv_parents_remove(bv_node_t *node, bv_served_t *served)
{
    const bv_id_t *request = &served->dispatch->request;
    bv_served_t *first = g_hash_table_lookup(node->served_by_request, request);
    bv_served_t **link = &first;
    while (*link != NULL && *link != served) {
        link = &(*link)->next_of_request;
    }
    if (*link == NULL) {
        return;
    }
    *link = served->next_of_request;
    g_hash_table_remove(node->served_by_request, request);
    if (first != NULL) {
        g_hash_table_insert(node->served_by_request, &first->dispatch->request,
                            first);
    }
}

void
bv_parents_child_began(bv_node_t *node, const bv_id_t *request)
{
    bv_served_t *served =
        g_hash_table_lookup(node->served_by_request, request);
    if (served != NULL && served->children++ == 0) {
        served->children_since_us = node->now_us;
    }
}

static void
take_pressure(bv_served_t *served, const bv_pressure_t *pressure)
{
    served->below.threshold =
        MAX(served->below.threshold, pressure->threshold);
    served->below.wait_us = MAX(served->below.wait_us, pressure->wait_us);
}

void
bv_parents_child_ended(bv_node_t *node, const bv_id_t *request, uint32_t kind)
{
    bv_served_t *served =
        g_hash_table_lookup(node->served_by_request, request);
    if (served == NULL || served->children == 0) {
        return;
    }
    if (--served->children == 0) {
        served->children_us += node->now_us - served->children_since_us;
    }
    bv_pressure_t pressure =
        bv_pressures_get(node->called, node->now_us, kind);
    take_pressure(served, &pressure);
}
