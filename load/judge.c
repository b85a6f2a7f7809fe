#include "load.h"

#include <stdio.h>
#include <string.h>

bv_outcome_t
load_outcome_after_attempt(bool taken, bv_outcome_t outcome,
                           bv_outcome_t known)
{
    return taken ? outcome : known;
}

/* Executions of POST requests, counted by "service key". */
typedef struct {
    GHashTable *by_service_and_key;
    GHashTable *keys;
    GHashTable *twice;
    uint64_t executions;
} record_t;

static void
count_line(record_t *record, const char *line)
{
    char **words = g_strsplit(line, " ", 4);
    if (g_strv_length(words) != 4) {
        g_strfreev(words);
        return;
    }
    record->executions++;
    if (strcmp(words[1], "POST") == 0 && strcmp(words[3], "-") != 0) {
        char *name = g_strdup_printf("%s %s", words[0], words[3]);
        gpointer count = g_hash_table_lookup(record->by_service_and_key, name);
        if (count != NULL) {
            g_hash_table_add(record->twice, g_strdup(words[3]));
        }
        g_hash_table_replace(record->by_service_and_key, name,
                             GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
        g_hash_table_add(record->keys, g_strdup(words[3]));
    }
    g_strfreev(words);
}

static bool
read_file(record_t *record, const char *path, GError **error)
{
    char *text;
    if (!g_file_get_contents(path, &text, NULL, error)) {
        return false;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        count_line(record, *line);
    }
    g_strfreev(lines);
    g_free(text);
    return true;
}

static bool
read_directory(record_t *record, const char *directory, GError **error)
{
    GDir *dir = g_dir_open(directory, 0, error);
    if (dir == NULL) {
        return false;
    }
    bool good = true;
    for (;;) {
        const char *name = g_dir_read_name(dir);
        if (name == NULL || !good) {
            break;
        }
        char *path = g_build_filename(directory, name, NULL);
        good = read_file(record, path, error);
        g_free(path);
    }
    g_dir_close(dir);
    return good;
}

/* Counts and names a request whose answer the records contradict. */
static void
tell(bool broken, uint64_t *count, const char *key, const char *what)
{
    if (broken) {
        fprintf(stderr, "request %s: %s\n", key, what);
        (*count)++;
    }
}

static void
judge_result(const record_t *record, load_result_t *result,
             load_verdict_t *verdict)
{
    for (guint i = 0; i < result->not_run_keys->len; i++) {
        const char *key = result->not_run_keys->pdata[i];
        tell(g_hash_table_contains(record->keys, key), &verdict->false_not_run,
             key, "a try ran, though told it had not");
    }
    if (result->key == NULL) {
        return;
    }
    bool executed = g_hash_table_contains(record->keys, result->key);
    result->is_correct &= !g_hash_table_contains(record->twice, result->key);
    tell(result->outcome == BV_OUTCOME_RAN && !executed, &verdict->lost,
         result->key, "never ran, though told it had");
    tell(result->outcome == BV_OUTCOME_NOT_RUN && executed,
         &verdict->false_not_run, result->key, "ran, though told it had not");
}

bool
load_judge(load_run_t *run, const char *directory, load_verdict_t *verdict,
           GError **error)
{
    record_t record = {
        .by_service_and_key =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .twice = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    bool good = read_directory(&record, directory, error);
    GHashTableIter iterator;
    gpointer name;
    gpointer count;
    g_hash_table_iter_init(&iterator, record.by_service_and_key);
    while (g_hash_table_iter_next(&iterator, &name, &count)) {
        tell(GPOINTER_TO_UINT(count) > 1, &verdict->ran_twice, name,
             "ran twice");
    }
    verdict->executions = record.executions;
    for (guint i = 0; i < run->results->len; i++) {
        judge_result(&record, &g_array_index(run->results, load_result_t, i),
                     verdict);
    }
    g_hash_table_destroy(record.by_service_and_key);
    g_hash_table_destroy(record.keys);
    g_hash_table_destroy(record.twice);
    return good;
}
