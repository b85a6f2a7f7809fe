#include "ctl.h"

#include "berylvane/core/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
print_value(char sign, const char *pointer, const json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_SORT_KEYS);
    printf("%c %s %s\n", sign, pointer, text);
    free(text);
}

static void
diff_values(const char *pointer, json_t *before, json_t *after)
{
    if (before != NULL && after != NULL && json_equal(before, after)) {
        return;
    }
    if (!json_is_object(before) || !json_is_object(after)) {
        if (before != NULL) {
            print_value('-', pointer, before);
        }
        if (after != NULL) {
            print_value('+', pointer, after);
        }
        return;
    }
    json_t *all_keys = json_object();
    json_object_update(all_keys, before);
    json_object_update(all_keys, after);
    const char *key;
    json_t *value;
    json_object_foreach(all_keys, key, value) {
        char *path = g_strdup_printf("%s/%s", pointer, key);
        diff_values(path, json_object_get(before, key),
                    json_object_get(after, key));
        g_free(path);
    }
    json_decref(all_keys);
}

void
ctl_bundle_diff(const json_t *before, const json_t *after)
{
    diff_values("/base", json_object_get(before, "base"),
                json_object_get(after, "base"));
    diff_values("/overlays", json_object_get(before, "overlays"),
                json_object_get(after, "overlays"));
}

static int
print_diff(const json_t *before, const ctl_options_t *options)
{
    bv_findings_t *findings = bv_findings_create();
    json_t *after = ctl_bundle_edit(before, options, findings);
    if (after != NULL) {
        ctl_bundle_diff(before, after);
        json_decref(after);
    }
    return ctl_report_findings(findings);
}

int
ctl_diff(const ctl_options_t *options)
{
    bv_head_t head;
    json_t *before = NULL;
    ctl_store_t *store = ctl_store_open(options);
    int status = 1;
    if (ctl_bundle_read(store, &head, &before)) {
        status = print_diff(before, options);
        json_decref(before);
    }
    ctl_store_close(store);
    return status;
}
