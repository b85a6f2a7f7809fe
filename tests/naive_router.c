#include "naive_router.h"

#include <string.h>

struct naive_router {
    GArray *members;
};

naive_router_t *
naive_router_create(void)
{
    naive_router_t *router = g_new0(naive_router_t, 1);
    router->members = g_array_new(FALSE, FALSE, sizeof(bv_member_t));
    return router;
}

void
naive_router_destroy(naive_router_t *router)
{
    g_array_unref(router->members);
    g_free(router);
}

void
naive_router_update(naive_router_t *router, const bv_member_t *member)
{
    for (guint i = 0; i < router->members->len; i++) {
        bv_member_t *stored = &g_array_index(router->members, bv_member_t, i);
        if (strcmp(stored->name, member->name) == 0) {
            *stored = *member;
            return;
        }
    }
    g_array_append_val(router->members, *member);
}

static bool
may_serve(const bv_member_t *member, const bv_pick_request_t *request)
{
    if (member->slots == 0 || strcmp(member->service, request->service) != 0 ||
        (member->state != BV_MEMBER_ALIVE &&
         member->state != BV_MEMBER_SUSPECT)) {
        return false;
    }
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        if (strcmp(request->excluded[i], member->name) == 0) {
            return false;
        }
    }
    return true;
}

uint32_t
naive_router_count_candidates(const naive_router_t *router,
                              const bv_pick_request_t *request)
{
    uint32_t count = 0;
    for (guint i = 0; i < router->members->len; i++) {
        count += may_serve(&g_array_index(router->members, bv_member_t, i),
                           request);
    }
    return count;
}

bool
naive_router_is_candidate(const naive_router_t *router,
                          const bv_pick_request_t *request, const char *name)
{
    for (guint i = 0; i < router->members->len; i++) {
        const bv_member_t *member =
            &g_array_index(router->members, bv_member_t, i);
        if (strcmp(member->name, name) == 0) {
            return may_serve(member, request);
        }
    }
    return false;
}
