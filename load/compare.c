#include "load.h"

#include <stdio.h>

static void
print_number(const char *name, const json_t *a, const json_t *b)
{
    double number_a = json_number_value(a);
    double number_b = json_number_value(b);
    if (number_a == 0) {
        printf("%-32s %12.0f %12.0f        -\n", name, number_a, number_b);
        return;
    }
    printf("%-32s %12.0f %12.0f %8.3f\n", name, number_a, number_b,
           number_b / number_a);
}

static void
print_shared_numbers(const char *prefix, const json_t *a, json_t *b)
{
    const char *key;
    json_t *value_b;
    json_object_foreach(b, key, value_b) {
        const json_t *value_a = json_object_get(a, key);
        char *name = g_strdup_printf("%s%s", prefix, key);
        if (json_is_number(value_b) && json_is_number(value_a)) {
            print_number(name, value_a, value_b);
        }
        else if (json_is_object(value_b)) {
            char *nested_prefix = g_strconcat(name, ".", NULL);
            print_shared_numbers(nested_prefix, value_a, value_b);
            g_free(nested_prefix);
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
    bool is_loaded = bv_findings_is_empty(findings);
    bv_findings_print(findings, stderr);
    if (is_loaded) {
        printf("%-32s %12s %12s %8s\n", "", "A", "B", "B/A");
        print_shared_numbers("", a, b);
    }
    json_decref(a);
    json_decref(b);
    bv_findings_destroy(findings);
    return is_loaded;
}
