#include "deployment.h"

#include <stdio.h>

static char *
replace_word(char *text, const char *word, const char *replacement)
{
    char **parts = g_strsplit(text, word, -1);
    g_free(text);
    char *joined = g_strjoinv(replacement, parts);
    g_strfreev(parts);
    return joined;
}

json_t *
bench_load_json(const char *path, const json_t *words)
{
    char *text;
    GError *error = NULL;
    json_error_t json_error;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
        return NULL;
    }
    const char *word;
    json_t *replacement;
    json_object_foreach((json_t *)words, word, replacement) {
        text = replace_word(text, word, json_string_value(replacement));
    }
    json_t *json = json_loads(text, 0, &json_error);
    g_free(text);
    if (json == NULL) {
        fprintf(stderr, "%s:%d: invalid JSON: %s\n", path, json_error.line,
                json_error.text);
    }
    return json;
}

cluster_t *
bench_start_cluster(const cluster_options_t *options, const char *label)
{
    GError *error = NULL;
    cluster_t *cluster = cluster_start(options, &error);
    if (cluster == NULL) {
        if (label != NULL) {
            fprintf(stderr, "%s: ", label);
        }
        fprintf(stderr, "cannot start the deployment: %s\n", error->message);
        g_error_free(error);
    }
    return cluster;
}
