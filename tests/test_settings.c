#include "berylvane/node/settings.h"
#include "support.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define HEX_KEY                                                               \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define REQUIRED_KEYS                                                         \
    "\"name\":\"a\",\"data_centre\":\"m1\",\"region\":\"midlands\","          \
    "\"address\":\"127.0.0.1\",\"outside_port\":1,\"local_port\":2,"          \
    "\"peer_port\":3,\"gossip_port\":4,\"operator_port\":5,"                  \
    "\"platform_url\":\"http://127.0.0.1:6\",\"gossip_key\":\"" HEX_KEY       \
    "\",\"ticket_key\":\"" HEX_KEY "\""

typedef struct {
    const char *text;
    /* Parts of the findings, without the file's name; ended by NULL. */
    const char *findings[4];
} settings_case_t;

static const settings_case_t settings_cases[] = {
    {"{" REQUIRED_KEYS "}", {NULL}},
    {"{" REQUIRED_KEYS ",\"speed\":1}", {"/speed: unknown key"}},
    {"{" REQUIRED_KEYS ",\"trace_percent\":101}",
     {"/trace_percent: 101 is outside 0 to 100"}},
    {"{" REQUIRED_KEYS ",\"read_ahead_requests\":0,"
     "\"read_ahead_bytes\":0}",
     {"/read_ahead_requests: 0 is outside 1 to 64",
      "/read_ahead_bytes: 0 is outside 1024 to 8388608"}},
    {"{" REQUIRED_KEYS ",\"read_ahead_requests\":65}",
     {"/read_ahead_requests: 65 is outside 1 to 64"}},
    {"{" REQUIRED_KEYS ",\"trace_percent\":\"all\"}",
     {"/trace_percent: expected an integer"}},
    {"{" REQUIRED_KEYS ",\"log_level\":\"loud\"}",
     {"/log_level: expected debug | info | warn | error"}},
    {"{" REQUIRED_KEYS ",\"placement\":\"observe\"}", {NULL}},
    {"{" REQUIRED_KEYS ",\"placement\":\"weights\"}",
     {"/placement: expected off | observe | on"}},
    {"{" REQUIRED_KEYS ",\"name\":\"b\"}", {"1:", "duplicate object key"}},
    {"{" REQUIRED_KEYS ",", {"1:"}},
    {"{" REQUIRED_KEYS ",\"gossip_key_previous\":\"12\"}",
     {"/gossip_key_previous: expected 64 hexadecimal digits"}},
    {"{" REQUIRED_KEYS ",\"ticket_key_previous\":\"xy\"}",
     {"/ticket_key_previous: expected 64 hexadecimal digits"}},
    {"{" REQUIRED_KEYS ",\"curve_public_key\":\"x\"}",
     {"/curve_public_key: expected 40 characters of Z85",
      "/curve_public_key: both CURVE keys are needed, or none"}},
    {"{\"name\":\"a\",\"outside_port\":0,\"speed\":1}",
     {"/outside_port: 0 is outside 1 to 65535", "/speed: unknown key",
      "/: missing key \"data_centre\"", "/: missing key \"ticket_key\""}},
};

/*
 * Guards against a node that starts with faulty settings, or that reports only
 * the first of several faults: each case lists the findings that loading its
 * text must add, and settings must be returned only when there are none.
 */
START_TEST(test_findings)
{
    const settings_case_t *test_case = &settings_cases[_i];
    char *path = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX.json", &path, NULL);
    ssize_t written = write(fd, test_case->text, strlen(test_case->text));
    ck_assert_int_eq(written, (ssize_t)strlen(test_case->text));
    close(fd);
    bv_findings_t *findings = bv_findings_create();
    bv_settings_t *settings = bv_settings_load(path, findings);
    char *text = bv_findings_to_string(findings);
    ck_assert_int_eq(settings != NULL, test_case->findings[0] == NULL);
    for (size_t i = 0; i < 4 && test_case->findings[i] != NULL; i++) {
        ck_assert_msg(strstr(text, test_case->findings[i]) != NULL, "got: %s",
                      text);
    }
    g_free(text);
    bv_settings_destroy(settings);
    bv_findings_destroy(findings);
    remove(path);
    g_free(path);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"findings", test_findings, G_N_ELEMENTS(settings_cases)}, {NULL}};
    return support_run("settings", tests);
}
