#include "berylvane/common/findings.h"

#include <stdarg.h>
#include <string.h>

bv_findings_t *
bv_findings_create(void)
{
    bv_findings_t *findings = g_new0(bv_findings_t, 1);
    findings->lines = g_ptr_array_new_with_free_func(g_free);
    return findings;
}

void
bv_findings_destroy(bv_findings_t *findings)
{
    if (findings == NULL) {
        return;
    }
    g_ptr_array_unref(findings->lines);
    g_free(findings);
}

void
bv_findings_add(bv_findings_t *findings, const char *source, const char *place,
                const char *format, ...)
{
    va_list format_arguments;
    va_start(format_arguments, format);
    char *message = g_strdup_vprintf(format, format_arguments);
    va_end(format_arguments);
    if (*place == '\0') {
        place = "/";
    }
    g_ptr_array_add(findings->lines,
                    g_strdup_printf("%s: %s: %s", source, place, message));
    g_free(message);
}

bool
bv_findings_is_empty(const bv_findings_t *findings)
{
    return findings->lines->len == 0;
}

void
bv_findings_print(const bv_findings_t *findings, FILE *out)
{
    for (guint i = 0; i < findings->lines->len; i++) {
        fprintf(out, "%s\n", (char *)findings->lines->pdata[i]);
    }
}

char *
bv_findings_to_string(const bv_findings_t *findings)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < findings->lines->len; i++) {
        g_string_append_printf(text, "%s\n",
                               (char *)findings->lines->pdata[i]);
    }
    return g_string_free(text, FALSE);
}

json_t *
bv_json_load(const char *path, bv_findings_t *findings)
{
    json_error_t error;
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
    if (root == NULL) {
        char place[48];
        g_snprintf(place, sizeof(place), "%d:%d", error.line, error.column);
        bv_findings_add(findings, path, place, "%s", error.text);
    }
    return root;
}
