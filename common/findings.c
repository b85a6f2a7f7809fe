#include "berylvane/common/findings.h"

#include <stdarg.h>
#include <string.h>

static void
free_finding(gpointer data)
{
    bv_finding_t *finding = data;
    g_free(finding->source);
    g_free(finding->place);
    g_free(finding->message);
    g_free(finding);
}

bv_findings_t *
bv_findings_create(void)
{
    bv_findings_t *findings = g_new0(bv_findings_t, 1);
    findings->entries = g_ptr_array_new_with_free_func(free_finding);
    return findings;
}

void
bv_findings_destroy(bv_findings_t *findings)
{
    if (findings == NULL) {
        return;
    }
    g_ptr_array_unref(findings->entries);
    g_free(findings);
}

static void
add_finding(bv_findings_t *findings, const char *source, const char *place,
            char *message)
{
    bv_finding_t *finding = g_new0(bv_finding_t, 1);
    finding->source = g_strdup(source);
    finding->place = g_strdup(place);
    finding->message = message;
    g_ptr_array_add(findings->entries, finding);
}

void
bv_findings_add(bv_findings_t *findings, const char *source, const char *place,
                const char *format, ...)
{
    va_list format_arguments;
    va_start(format_arguments, format);
    char *message = g_strdup_vprintf(format, format_arguments);
    va_end(format_arguments);
    add_finding(findings, source, *place != '\0' ? place : "/", message);
}

void
bv_findings_append(bv_findings_t *findings, const bv_findings_t *added)
{
    for (guint i = 0; i < added->entries->len; i++) {
        const bv_finding_t *finding = added->entries->pdata[i];
        add_finding(findings, finding->source, finding->place,
                    g_strdup(finding->message));
    }
}

bool
bv_findings_is_empty(const bv_findings_t *findings)
{
    return findings->entries->len == 0;
}

void
bv_findings_print(const bv_findings_t *findings, FILE *out)
{
    for (guint i = 0; i < findings->entries->len; i++) {
        const bv_finding_t *finding = findings->entries->pdata[i];
        fprintf(out, "%s: %s: %s\n", finding->source, finding->place,
                finding->message);
    }
}

char *
bv_findings_to_string(const bv_findings_t *findings)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < findings->entries->len; i++) {
        const bv_finding_t *finding = findings->entries->pdata[i];
        g_string_append_printf(text, "%s: %s: %s\n", finding->source,
                               finding->place, finding->message);
    }
    return g_string_free(text, FALSE);
}

/* JSON holds only UTF-8, which a file's name need not be. */
static void
set_text(json_t *object, const char *key, const char *text)
{
    char *valid = g_utf8_make_valid(text, -1);
    json_object_set_new(object, key, json_string(valid));
    g_free(valid);
}

json_t *
bv_findings_to_json(const bv_findings_t *findings)
{
    json_t *array = json_array();
    for (guint i = 0; i < findings->entries->len; i++) {
        const bv_finding_t *finding = findings->entries->pdata[i];
        json_t *object = json_object();
        set_text(object, "source", finding->source);
        set_text(object, "place", finding->place);
        set_text(object, "message", finding->message);
        json_array_append_new(array, object);
    }
    return array;
}

json_t *
bv_json_load(const char *path, bv_findings_t *findings)
{
    json_error_t error;
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
    if (root == NULL) {
        char place[48] = "";
        /* A file that cannot be opened has no line. */
        if (error.line > 0) {
            g_snprintf(place, sizeof(place), "%d:%d", error.line,
                       error.column);
        }
        bv_findings_add(findings, path, place, "%s", error.text);
    }
    return root;
}
