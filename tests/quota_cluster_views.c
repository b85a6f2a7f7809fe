#include "quota_cluster_internal.h"

#define SUSPECT_AFTER_US (800 * MS)
#define CUT_OFF_MEMBERS 4
#define CUT_OFF_PERCENT 20

static void
apply_view(quota_node_t *node, uint64_t incarnation, const quota_node_t *peer,
           bv_member_state_t state)
{
    bv_member_t record = {.incarnation = incarnation, .state = state};
    g_strlcpy(record.name, peer->name, BV_NAME_BYTES);
    bv_quota_members_update(node->members, quota_cluster_now_us(node->cluster),
                            &record);
}

void
quota_cluster_read_rows(quota_node_t *node)
{
    for (uint32_t i = 0; i < node->cluster->count; i++) {
        const quota_node_t *peer = &node->cluster->nodes[i];
        if (i != node->index && peer->is_up) {
            node->views[i].is_known = true;
            node->views[i].incarnation = peer->incarnation;
            apply_view(node, peer->incarnation, peer, BV_MEMBER_ALIVE);
        }
    }
}

static bool
is_reachable(const quota_node_t *node, const quota_node_t *peer)
{
    return quota_cluster_is_running(peer) &&
           quota_cluster_are_connected(node->cluster, node->index,
                                       peer->index);
}

static void
see_reachable(quota_node_t *node, const quota_node_t *peer, quota_view_t *view)
{
    int64_t now_us = quota_cluster_now_us(node->cluster);
    if (view->unreachable_since_us != 0 || view->reachable_since_us == 0 ||
        view->incarnation != peer->incarnation) {
        view->unreachable_since_us = 0;
        view->incarnation = peer->incarnation;
        view->reachable_since_us = now_us;
        view->alive_after_us =
            sim_random_between(node->cluster->sim, 50 * MS, 700 * MS);
        view->is_known = view->is_known && !view->is_dead;
    }
    if (now_us - view->reachable_since_us >= view->alive_after_us) {
        view->is_known = true;
        view->is_dead = false;
        apply_view(node, view->incarnation, peer, BV_MEMBER_ALIVE);
    }
}

static void
see_unreachable(quota_node_t *node, const quota_node_t *peer,
                quota_view_t *view)
{
    int64_t now_us = quota_cluster_now_us(node->cluster);
    if (view->unreachable_since_us == 0) {
        view->unreachable_since_us = now_us;
        view->dead_after_us = sim_random_between(
            node->cluster->sim, 3 * SECOND_US / 2, 3 * SECOND_US);
    }
    int64_t silent_us = now_us - view->unreachable_since_us;
    if (!view->is_known || view->is_dead || node->is_cut_off) {
        return;
    }
    if (silent_us >= view->dead_after_us) {
        view->is_dead = true;
        apply_view(node, view->incarnation, peer, BV_MEMBER_DEAD);
    }
    else if (silent_us >= SUSPECT_AFTER_US) {
        apply_view(node, view->incarnation, peer, BV_MEMBER_SUSPECT);
    }
}

static void
update_cut_off(quota_node_t *node)
{
    uint32_t suspects = 0;
    uint32_t present = 0;
    for (uint32_t i = 0; i < node->cluster->count; i++) {
        const quota_view_t *view = &node->views[i];
        if (i == node->index || !view->is_known || view->is_dead) {
            continue;
        }
        present++;
        suspects +=
            view->unreachable_since_us != 0 &&
            quota_cluster_now_us(node->cluster) - view->unreachable_since_us >=
                SUSPECT_AFTER_US;
    }
    node->is_cut_off = suspects >= CUT_OFF_MEMBERS &&
                       suspects * 100 >= present * CUT_OFF_PERCENT;
}

void
quota_cluster_poll_views(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        quota_node_t *node = &cluster->nodes[i];
        if (!quota_cluster_is_running(node)) {
            continue;
        }
        for (uint32_t k = 0; k < cluster->count; k++) {
            const quota_node_t *peer = &cluster->nodes[k];
            if (k == i) {
                continue;
            }
            if (is_reachable(node, peer)) {
                see_reachable(node, peer, &node->views[k]);
            }
            else {
                see_unreachable(node, peer, &node->views[k]);
            }
        }
        update_cut_off(node);
    }
}
