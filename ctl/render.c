#include "ctl.h"

#include "berylvane/core/config.h"

#include <stdio.h>

int
ctl_render(const ctl_options_t *options)
{
    bv_findings_t *findings = bv_findings_create();
    json_t *bundle = ctl_bundle_edit(NULL, options, findings);
    if (bundle != NULL) {
        json_t *document = bv_bundle_render(
            bundle, options->site != NULL ? options->site : "");
        json_dumpf(document, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
        printf("\n");
        json_decref(document);
        json_decref(bundle);
    }
    return ctl_report_findings(findings);
}
