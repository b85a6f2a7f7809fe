#include "berylvane/platform/dialect.h"
#include "support.h"

#include <string.h>

/*
 * The announcements that a target sends to its node.
 */

static bv_settings_t settings = {.service = "shop"};

/*
 * Announcements of a target. Guards against incomplete or malformed
 * announcements that are accepted, and against announcements that are refused
 * because of unknown fields.
 */
typedef struct {
    const char *path;
    const char *body;
    bool is_valid;
    bv_announcement_state_t state;
} announcement_case_t;

#define HEARTBEAT_PATH "/v1/instances/i-7/heartbeat"
#define BORN_FIELD "\"born\":99"
#define INFO_FIELD                                                            \
    "\"Info\":{\"Service\":\"a\",\"Version\":\"v\",\"Zone\":\"z\",\"Slots\":" \
    "4}"
#define ADDRESS_FIELD "\"Address\":\"10.0.0.1:80\""
#define STATUS_FIELD                                                          \
    "\"Status\":{\"State\":\"ready\",\"Sequence\":4,"                         \
    "\"ColdRemainingMs\":0}"

static const announcement_case_t announcement_cases[] = {
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD ",\"born\":99}", true,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD "," BORN_FIELD
     ",\"New\":1}",
     true, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD
     ",\"Status\":{\"State\":\"draining\",\"Sequence\":"
     "5,\"ColdRemainingMs\":0}," BORN_FIELD "}",
     true, BV_ANNOUNCED_DRAINING},
    {"/v1/instances/i-7/deregister", "", true, BV_ANNOUNCED_LEFT},
    {"/v1/instances//deregister", "", false, BV_ANNOUNCED_READY},
    {"/v1/instances/deregister", "", false, BV_ANNOUNCED_READY},
    {"/v1/instances/heartbeat", "", false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "", false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "[1]", false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD "," BORN_FIELD, false,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "{" INFO_FIELD "," STATUS_FIELD "," BORN_FIELD "}", false,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{\"Address\":\"here\"," INFO_FIELD "," STATUS_FIELD "," BORN_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD ",\"Info\":{\"Service\":7,\"Version\":\"v\",\"Zone\":"
     "\"z\",\"Slots\":4}," STATUS_FIELD "," BORN_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD ",\"Info\":{\"Service\":\"a\",\"Version\":\"v\","
     "\"Zone\":\"z\",\"Slots\":\"4\"}," STATUS_FIELD "," BORN_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD
     ",\"Status\":{\"State\":\"asleep\",\"Sequence\":4,"
     "\"ColdRemainingMs\":0}," BORN_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD ",\"born\":\"x\"}",
     false, BV_ANNOUNCED_READY},
};

START_TEST(test_read_announcement)
{
    const announcement_case_t *row = &announcement_cases[_i];
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_findings_t *findings = bv_findings_create();
    bv_announcement_t announcement = {0};
    bv_call_t call = {
        .path = g_strdup(row->path),
        .body = g_bytes_new(row->body, strlen(row->body)),
    };
    bool is_valid = dialect->read_announcement(dialect->context, &call,
                                               &announcement, findings);
    ck_assert_int_eq(is_valid, row->is_valid);
    if (is_valid) {
        ck_assert_str_eq(announcement.instance, "i-7");
        ck_assert_int_eq(announcement.state, row->state);
    }
    bv_call_clear(&call);
    bv_findings_destroy(findings);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"read_announcement",
                                     test_read_announcement,
                                     G_N_ELEMENTS(announcement_cases)},
                                    {NULL}};
    return support_run("platform_announcement", tests);
}
