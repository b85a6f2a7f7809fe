#ifndef BERYLVANE_CORE_CONFIG_COMPARE_H
#define BERYLVANE_CORE_CONFIG_COMPARE_H

#include "berylvane/common/findings.h"

/*
 * config_compare - differences between two valid bundles, in words
 *
 * Adds a line for each section, route and account that was added, removed or
 * changed, for the base documents and for each site with an overlay in either
 * bundle. `source` names the base document. A difference that a site shares
 * with the base is added once. API keys and their digests are not shown.
 */
void bv_config_compare(const json_t *before, const json_t *after,
                       const char *source, bv_findings_t *changes);

#endif
