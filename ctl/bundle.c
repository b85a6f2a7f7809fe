#include "ctl.h"

#include "berylvane/core/config.h"

#include <stdio.h>

#define READ_ATTEMPTS 5

static json_t *
create_empty_bundle(void)
{
    return json_pack("{s:I, s:{}, s:{}}", "generation", (json_int_t)0, "base",
                     "overlays");
}

/* Reads a row; repeats a read whose answer was lost. */
static ctl_answer_t
read_row_with_retries(ctl_store_t *store, const char *key)
{
    ctl_answer_t answer = ctl_store_read(store, key);
    for (int i = 1; i < READ_ATTEMPTS && answer.result == BV_STORE_UNKNOWN;
         i++) {
        ctl_answer_clear(&answer);
        answer = ctl_store_read(store, key);
    }
    return answer;
}

/* Reads an object; repeats a read whose answer was lost. */
static ctl_answer_t
get_object_with_retries(ctl_store_t *store, const char *name)
{
    ctl_answer_t answer = ctl_store_get(store, name);
    for (int i = 1; i < READ_ATTEMPTS && answer.result == BV_STORE_UNKNOWN;
         i++) {
        ctl_answer_clear(&answer);
        answer = ctl_store_get(store, name);
    }
    return answer;
}

static bool
read_bundle_object(ctl_store_t *store, const bv_head_t *head, json_t **bundle)
{
    ctl_answer_t answer = get_object_with_retries(store, head->object);
    bool is_readable = answer.result == BV_STORE_OK && answer.json != NULL;
    if (is_readable) {
        *bundle = json_incref(answer.json);
    }
    ctl_answer_clear(&answer);
    return is_readable;
}

bool
ctl_bundle_read(ctl_store_t *store, bv_head_t *head, json_t **bundle)
{
    ctl_answer_t answer = read_row_with_retries(store, BV_HEAD_KEY);
    *head = (bv_head_t){0};
    if (answer.result != BV_STORE_OK) {
        fprintf(stderr,
                "cannot read row %s: the table service at --platform refused "
                "or did not answer\n",
                BV_HEAD_KEY);
        ctl_answer_clear(&answer);
        return false;
    }
    const json_t *row =
        json_array_get(json_object_get(answer.json, "rows"), 0);
    bool has_head = row != NULL && bv_head_parse(row, head);
    ctl_answer_clear(&answer);
    if (!has_head) {
        *bundle = create_empty_bundle();
        return true;
    }
    if (!read_bundle_object(store, head, bundle)) {
        fprintf(stderr,
                "cannot read the configuration in force: the object store at "
                "--platform has no JSON object %s or did not answer\n",
                head->object);
        return false;
    }
    return true;
}

json_t *
ctl_bundle_edit(const json_t *bundle, const ctl_options_t *options,
                bv_findings_t *findings)
{
    json_t *edited =
        bundle != NULL ? json_deep_copy(bundle) : create_empty_bundle();
    if (options->base_path != NULL) {
        json_t *base = bv_json_load(options->base_path, findings);
        if (base != NULL) {
            json_object_set_new(edited, "base", base);
        }
    }
    if (options->overlay_path != NULL) {
        json_t *overlay = bv_json_load(options->overlay_path, findings);
        if (overlay != NULL) {
            json_object_set_new(json_object_get(edited, "overlays"),
                                options->site, overlay);
        }
    }
    if (!bv_findings_is_empty(findings)) {
        json_decref(edited);
        return NULL;
    }
    return edited;
}

static void
check_site(const json_t *bundle, const char *site, const char *source,
           bv_findings_t *findings)
{
    bv_config_unref(bv_config_build(bundle, site, 1, source, findings));
}

void
ctl_bundle_check(const json_t *bundle, const ctl_options_t *options,
                 bv_findings_t *findings)
{
    const char *site;
    json_t *overlay;
    check_site(bundle, "",
               options->base_path != NULL ? options->base_path : "base",
               findings);
    json_object_foreach(json_object_get(bundle, "overlays"), site, overlay) {
        char *source = g_strdup_printf("site %s", site);
        check_site(bundle, site, source, findings);
        g_free(source);
    }
}

int
ctl_report_findings(bv_findings_t *findings)
{
    bool empty = bv_findings_is_empty(findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    return empty ? 0 : 2;
}
