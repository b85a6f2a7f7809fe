#include "load.h"

#include <stdio.h>
#include <string.h>

bv_outcome_t
load_outcome_after_attempt(bool was_sent, bv_outcome_t outcome,
                           bv_outcome_t known_outcome)
{
    return was_sent ? outcome : known_outcome;
}

/*
 * The executions that all targets recorded:
 * - by_service_and_key: number of executions of POST requests by "SERVICE KEY"
 * - keys: keys of POST requests that any service executed
 * - repeated_keys: keys that one service executed more than once
 * - executions: number of all executions, also of requests without a key
 */
typedef struct {
    GHashTable *by_service_and_key;
    GHashTable *keys;
    GHashTable *repeated_keys;
    uint64_t executions;
} execution_record_t;

/*
 * Adds a line "SERVICE METHOD PATH KEY" of a record; "-" stands for no key.
 * Further words are ignored.
 */
static void
add_execution(execution_record_t *record, const char *line)
{
    char **words = g_strsplit(line, " ", 5);
    if (g_strv_length(words) < 4) {
        g_strfreev(words);
        return;
    }
    record->executions++;
    if (strcmp(words[1], "POST") == 0 && strcmp(words[3], "-") != 0) {
        char *service_and_key = g_strdup_printf("%s %s", words[0], words[3]);
        gpointer execution_count =
            g_hash_table_lookup(record->by_service_and_key, service_and_key);
        if (execution_count != NULL) {
            g_hash_table_add(record->repeated_keys, g_strdup(words[3]));
        }
        g_hash_table_replace(
            record->by_service_and_key, service_and_key,
            GUINT_TO_POINTER(GPOINTER_TO_UINT(execution_count) + 1));
        g_hash_table_add(record->keys, g_strdup(words[3]));
    }
    g_strfreev(words);
}

static bool
read_record_file(execution_record_t *record, const char *path, GError **error)
{
    char *text;
    if (!g_file_get_contents(path, &text, NULL, error)) {
        return false;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        add_execution(record, *line);
    }
    g_strfreev(lines);
    g_free(text);
    return true;
}

static bool
read_record_files(execution_record_t *record, const char *directory,
                  GError **error)
{
    GDir *dir = g_dir_open(directory, 0, error);
    if (dir == NULL) {
        return false;
    }
    bool is_read = true;
    for (;;) {
        const char *name = g_dir_read_name(dir);
        if (name == NULL || !is_read) {
            break;
        }
        char *path = g_build_filename(directory, name, NULL);
        is_read = read_record_file(record, path, error);
        g_free(path);
    }
    g_dir_close(dir);
    return is_read;
}

/*
 * If `is_contradiction`, increments `*count` and prints `contradiction` with
 * `key`: the request's key, or "SERVICE KEY" for repeated executions.
 */
static void
report_contradiction(bool is_contradiction, uint64_t *count, const char *key,
                     const char *contradiction)
{
    if (is_contradiction) {
        fprintf(stderr, "request %s: %s\n", key, contradiction);
        (*count)++;
    }
}

static bool
has_not_run_key(const load_result_t *result, const char *key)
{
    return g_ptr_array_find_with_equal_func(result->not_run_keys, key,
                                            g_str_equal, NULL);
}

static void
judge_result(const execution_record_t *record, load_result_t *result,
             load_verdict_t *verdict)
{
    for (guint i = 0; i < result->not_run_keys->len; i++) {
        const char *key = result->not_run_keys->pdata[i];
        report_contradiction(g_hash_table_contains(record->keys, key),
                             &verdict->false_not_run, key,
                             "an attempt answered \"not-run\" was executed");
    }
    if (result->key == NULL) {
        return;
    }
    bool was_executed = g_hash_table_contains(record->keys, result->key);
    result->is_correct &=
        !g_hash_table_contains(record->repeated_keys, result->key);
    report_contradiction(result->outcome == BV_OUTCOME_RAN && !was_executed,
                         &verdict->lost, result->key,
                         "answered \"ran\", but no target executed it");
    bool is_false_not_run =
        result->outcome == BV_OUTCOME_NOT_RUN && was_executed;
    report_contradiction(is_false_not_run &&
                             !has_not_run_key(result, result->key),
                         &verdict->false_not_run, result->key,
                         "answered \"not-run\", but a target executed it");
}

bool
load_judge(load_run_t *run, const char *directory, load_verdict_t *verdict,
           GError **error)
{
    execution_record_t record = {
        .by_service_and_key =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .repeated_keys =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    bool is_read = read_record_files(&record, directory, error);
    GHashTableIter iterator;
    gpointer service_and_key;
    gpointer execution_count;
    g_hash_table_iter_init(&iterator, record.by_service_and_key);
    while (g_hash_table_iter_next(&iterator, &service_and_key,
                                  &execution_count)) {
        report_contradiction(GPOINTER_TO_UINT(execution_count) > 1,
                             &verdict->ran_twice, service_and_key,
                             "executed more than once by this service");
    }
    verdict->executions = record.executions;
    for (guint i = 0; i < run->results->len; i++) {
        judge_result(&record, &g_array_index(run->results, load_result_t, i),
                     verdict);
    }
    g_hash_table_destroy(record.by_service_and_key);
    g_hash_table_destroy(record.keys);
    g_hash_table_destroy(record.repeated_keys);
    return is_read;
}
