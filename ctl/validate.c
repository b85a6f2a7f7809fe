#include "ctl.h"

#include <stdio.h>

int
ctl_validate(const ctl_options_t *options)
{
    bv_findings_t *findings = bv_findings_create();
    json_t *bundle = ctl_bundle_edit(NULL, options, findings);
    if (bundle != NULL) {
        ctl_bundle_check(bundle, options, findings);
        json_decref(bundle);
    }
    if (bv_findings_is_empty(findings)) {
        printf("valid\n");
    }
    return ctl_report_findings(findings);
}
