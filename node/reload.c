#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

void
bv_node_reload(bv_node_t *node)
{
    bv_findings_t *findings = bv_findings_create();
    bv_settings_reload(node->settings, findings);
    if (node->dialect->derive_settings != NULL) {
        node->dialect->derive_settings(node->dialect->context);
    }
    if (bv_findings_is_empty(findings)) {
        bv_node_apply_listener_settings(node);
        bv_log(BV_LOG_INFO, "settings_reloaded", "file", node->settings->path,
               NULL);
    }
    else {
        char *problems = bv_findings_to_string(findings);
        bv_log(BV_LOG_ERROR, "settings_rejected", "findings", problems, NULL);
        g_free(problems);
    }
    bv_findings_destroy(findings);
}
