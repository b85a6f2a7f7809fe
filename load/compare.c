#include "load.h"

#include <stdio.h>

static void
compare_value(const char *name, const json_t *a, const json_t *b)
{
    double first = json_number_value(a);
    double second = json_number_value(b);
    if (first == 0) {
        printf("%-32s %12.0f %12.0f        -\n", name, first, second);
        return;
    }
    printf("%-32s %12.0f %12.0f %8.3f\n", name, first, second, second / first);
}

static void
compare_object(const char *prefix, const json_t *a, json_t *b)
{
    const char *key;
    json_t *value;
    json_object_foreach(b, key, value) {
        const json_t *other = json_object_get(a, key);
        char *name = g_strdup_printf("%s%s", prefix, key);
        if (json_is_number(value) && json_is_number(other)) {
            compare_value(name, other, value);
        }
        else if (json_is_object(value)) {
            char *inner = g_strconcat(name, ".", NULL);
            compare_object(inner, other, value);
            g_free(inner);
        }
        g_free(name);
    }
}

bool
load_compare(const char *path_a, const char *path_b)
{
    bv_findings_t *findings = bv_findings_create();
    json_t *a = bv_json_load(path_a, findings);
    json_t *b = bv_json_load(path_b, findings);
    bool good = bv_findings_is_empty(findings);
    bv_findings_print(findings, stderr);
    if (good) {
        printf("%-32s %12s %12s %8s\n", "", "A", "B", "B/A");
        compare_object("", a, b);
    }
    json_decref(a);
    json_decref(b);
    bv_findings_destroy(findings);
    return good;
}
