#include "fixture.h"

#include "berylvane/common/findings.h"
#include "berylvane/common/program.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Exit status of a test whose processes did not start or stop as they should.
 * It differs from that of failed checks, since an entry of KNOWN-RED.txt for a
 * check must not excuse it; see .ci/judge_tests.
 */
#define PROCESS_FAILED_STATUS 3

static void
exit_unless(bool condition, const char *message)
{
    if (!condition) {
        fprintf(stderr, "fixture: %s\n", message);
        exit(PROCESS_FAILED_STATUS);
    }
}

fixture_t *
fixture_start(const char *file_name)
{
    GError *error = NULL;
    fixture_t *fixture = g_new0(fixture_t, 1);
    bv_findings_t *findings = bv_findings_create();
    char *path = g_build_filename(E2E_SOURCE, file_name, NULL);
    fixture->deployment = bv_json_load(path, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    g_free(path);
    exit_unless(fixture->deployment != NULL, "deployment file not loaded");
    fixture->work_directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    printf("logs and records: %s\n", fixture->work_directory);
    cluster_options_t options = {
        .build_directory = E2E_BUILD,
        .work_directory = fixture->work_directory,
        .deployment = fixture->deployment,
        .deployment_directory = E2E_SOURCE,
    };
    fixture->cluster = cluster_start(&options, &error);
    exit_unless(fixture->cluster != NULL,
                error != NULL ? error->message : "deployment not started");
    return fixture;
}

static void
remove_directory(const char *path)
{
    GDir *dir = g_dir_open(path, 0, NULL);
    for (const char *name = dir != NULL ? g_dir_read_name(dir) : NULL;
         name != NULL; name = g_dir_read_name(dir)) {
        char *entry = g_build_filename(path, name, NULL);
        if (g_file_test(entry, G_FILE_TEST_IS_DIR)) {
            remove_directory(entry);
        }
        remove(entry);
        g_free(entry);
    }
    g_clear_pointer(&dir, g_dir_close);
    remove(path);
}

void
fixture_stop(fixture_t *fixture, bool passed)
{
    exit_unless(cluster_stop(fixture->cluster),
                "a node did not exit with status 0; see its log");
    if (passed) {
        remove_directory(fixture->work_directory);
    }
    json_decref(fixture->deployment);
    g_free(fixture->work_directory);
    g_free(fixture);
}

static size_t
count_lines(const char *path, const char *text)
{
    char *content = NULL;
    size_t count = 0;
    if (!g_file_get_contents(path, &content, NULL, NULL)) {
        return 0;
    }
    char **lines = g_strsplit(content, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        count += strstr(*line, text) != NULL;
    }
    g_strfreev(lines);
    g_free(content);
    return count;
}

size_t
fixture_executions(const fixture_t *fixture, const char *text)
{
    size_t count = 0;
    for (size_t i = 0; i < cluster_size(fixture->cluster); i++) {
        char *path =
            g_build_filename(cluster_records_directory(fixture->cluster),
                             cluster_instance_name(fixture->cluster, i), NULL);
        count += count_lines(path, text);
        g_free(path);
    }
    return count;
}

uint64_t
fixture_counter(const fixture_t *fixture, size_t instance, const char *name)
{
    uint64_t value = 0;
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, instance)->operators,
                     "GET", "/metrics", NULL, NULL);
    gsize size;
    const char *data = g_bytes_get_data(reply.body, &size);
    char *text = g_strndup(data, size);
    char *line = g_strdup_printf("\nberylvane_%s_total ", name);
    const char *match = strstr(text, line);
    if (match != NULL) {
        value = g_ascii_strtoull(match + strlen(line), NULL, 10);
    }
    g_free(line);
    g_free(text);
    bv_http_reply_clear(&reply);
    return value;
}

uint64_t
fixture_counter_sum(const fixture_t *fixture, const char *name)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < cluster_size(fixture->cluster); i++) {
        sum += fixture_counter(fixture, i, name);
    }
    return sum;
}

int
fixture_run(fixture_t **fixture, const char *file_name, const char *suite,
            const support_test_t *tests)
{
    bv_program_start();
    *fixture = fixture_start(file_name);
    int status = support_run(suite, tests);
    fixture_stop(*fixture, status == 0);
    return status;
}
