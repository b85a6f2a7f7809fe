#include "router_fixture.h"

#include <string.h>

static const char *const data_centres[] = {"m1", "m2", "n1"};
static const char *const regions[] = {"midlands", "midlands", "northwest"};

bv_router_t *
router_fixture_create(GRand *random)
{
    return router_fixture_create_placing(random, BV_PLACEMENT_OFF);
}

bv_router_t *
router_fixture_create_placing(GRand *random, bv_placement_mode_t placement)
{
    bv_router_options_t options = {
        .name = "caller-1",
        .data_centre = "m1",
        .region = "midlands",
        .placement = placement,
        .random = random,
    };
    return bv_router_create(&options);
}

bv_member_t
router_fixture_member(uint32_t number, uint32_t service, uint32_t centre)
{
    bv_member_t member = {.incarnation = 1, .slots = 16, .peer_port = 1};
    g_snprintf(member.name, BV_NAME_BYTES, "member-%u", number);
    g_snprintf(member.service, BV_NAME_BYTES, "service-%u", service);
    g_strlcpy(member.data_centre, data_centres[centre], BV_NAME_BYTES);
    g_strlcpy(member.region, regions[centre], BV_NAME_BYTES);
    return member;
}

uint32_t
router_fixture_member_number(const bv_picked_t *picked)
{
    return (uint32_t)(picked->name[strlen("member-")] - '0');
}
