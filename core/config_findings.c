#include "config_internal.h"

#include <string.h>

char *
config_append_name(const char *pointer, const char *name)
{
    GString *text = g_string_new(pointer);
    g_string_append_c(text, '/');
    for (; *name != '\0'; name++) {
        if (*name == '~' || *name == '/') {
            g_string_append(text, *name == '~' ? "~0" : "~1");
        }
        else {
            g_string_append_c(text, *name);
        }
    }
    return g_string_free(text, FALSE);
}

static guint
hash_finding(gconstpointer data)
{
    const bv_finding_t *finding = data;
    return g_str_hash(finding->place) ^ g_str_hash(finding->message);
}

static gboolean
equal_findings(gconstpointer left_data, gconstpointer right_data)
{
    const bv_finding_t *left = left_data;
    const bv_finding_t *right = right_data;
    return strcmp(left->place, right->place) == 0 &&
           strcmp(left->message, right->message) == 0;
}

void
config_remove_shared(bv_findings_t *findings, const bv_findings_t *others)
{
    GHashTable *shared = g_hash_table_new(hash_finding, equal_findings);
    for (guint i = 0; i < others->entries->len; i++) {
        g_hash_table_add(shared, others->entries->pdata[i]);
    }
    for (guint i = findings->entries->len; i-- > 0;) {
        if (g_hash_table_contains(shared, findings->entries->pdata[i])) {
            g_ptr_array_remove_index(findings->entries, i);
        }
    }
    g_hash_table_unref(shared);
}
