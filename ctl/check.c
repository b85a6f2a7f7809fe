#include "ctl.h"

#include "berylvane/core/config_check.h"
#include "berylvane/core/config_compare.h"

#include <stdio.h>

typedef struct {
    bv_findings_t *errors;
    bv_findings_t *warnings;
    bv_findings_t *changes;
} report_t;

/*
 * Returns the bundle in `document`: itself, or that of a base document, in
 * which "base" is no valid key.
 */
static json_t *
wrap_base(json_t *document)
{
    if (json_object_get(document, "base") != NULL) {
        if (!json_is_object(json_object_get(document, "overlays"))) {
            json_object_set_new(document, "overlays", json_object());
        }
        return document;
    }
    return json_pack("{s:o, s:{}}", "base", document, "overlays");
}

/* Returns the bundle in the file of --against, or NULL after an error. */
static json_t *
load_against(const char *path, bv_findings_t *errors)
{
    json_t *document = bv_json_load(path, errors);
    if (document == NULL) {
        return NULL;
    }
    json_t *bundle = wrap_base(document);
    bv_findings_t *warnings = bv_findings_create();
    bv_config_check(bundle, path, errors, warnings);
    bv_findings_destroy(warnings);
    return bundle;
}

static bool
read_in_force(const ctl_options_t *options, json_t **bundle)
{
    bv_head_t head;
    ctl_store_t *store = ctl_store_open(options);
    bool is_read = ctl_bundle_read(store, &head, bundle);
    ctl_store_close(store);
    return is_read;
}

/* Returns `before` with all files of the command line, or NULL on errors. */
static json_t *
edit_bundle(const json_t *before, const ctl_options_t *options,
            bv_findings_t *errors)
{
    const ctl_options_t base = {.base_path = options->base_path};
    json_t *bundle = ctl_bundle_edit(before, &base, errors);
    for (guint i = 0; bundle != NULL && i < options->overlay_paths->len; i++) {
        const ctl_options_t overlay = {.overlay_path =
                                           options->overlay_paths->pdata[i],
                                       .site = options->sites->pdata[i]};
        json_t *edited = ctl_bundle_edit(bundle, &overlay, errors);
        json_decref(bundle);
        bundle = edited;
    }
    return bundle;
}

static void
fill_report(const json_t *before, const ctl_options_t *options,
            report_t *report)
{
    if (!bv_findings_is_empty(report->errors)) {
        return;
    }
    json_t *after = edit_bundle(before, options, report->errors);
    if (after == NULL) {
        return;
    }
    bv_config_check(after, options->base_path, report->errors,
                    report->warnings);
    if (before != NULL && bv_findings_is_empty(report->errors)) {
        bv_config_compare(before, after, options->base_path, report->changes);
    }
    json_decref(after);
}

static void
print_json(const report_t *report)
{
    json_t *object = json_pack(
        "{s:o, s:o, s:o}", "errors", bv_findings_to_json(report->errors),
        "warnings", bv_findings_to_json(report->warnings), "changes",
        bv_findings_to_json(report->changes));
    json_dumpf(object, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(object);
}

static void
print_lines(const char *kind, const bv_findings_t *findings)
{
    for (guint i = 0; i < findings->entries->len; i++) {
        const bv_finding_t *finding = findings->entries->pdata[i];
        printf("%s: %s: %s: %s\n", kind, finding->source, finding->place,
               finding->message);
    }
}

static int
print_report(const report_t *report, const ctl_options_t *options)
{
    if (options->has_json) {
        print_json(report);
    }
    else {
        print_lines("error", report->errors);
        print_lines("warning", report->warnings);
        print_lines("change", report->changes);
    }
    if (!bv_findings_is_empty(report->errors)) {
        return 2;
    }
    return options->is_strict && !bv_findings_is_empty(report->warnings) ? 1
                                                                         : 0;
}

int
ctl_check(const ctl_options_t *options)
{
    report_t report = {bv_findings_create(), bv_findings_create(),
                       bv_findings_create()};
    json_t *before = NULL;
    int status = 1;
    bool is_read = true;
    if (options->against_path != NULL) {
        before = load_against(options->against_path, report.errors);
    }
    else if (options->platform_url != NULL) {
        is_read = read_in_force(options, &before);
    }
    if (is_read) {
        fill_report(before, options, &report);
        status = print_report(&report, options);
    }
    json_decref(before);
    bv_findings_destroy(report.errors);
    bv_findings_destroy(report.warnings);
    bv_findings_destroy(report.changes);
    return status;
}
