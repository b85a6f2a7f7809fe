#ifndef BERYLVANE_CORE_CONFIG_CHECK_H
#define BERYLVANE_CORE_CONFIG_CHECK_H

#include "berylvane/common/findings.h"

/*
 * config_check - mistakes in a bundle that is about to be put in force
 *
 * Finds what a valid configuration can have wrong: routes that no request
 * reaches, and limits that contradict each other. Handles failures that such a
 * mistake otherwise causes in production, such as calls that reach another
 * service than the one that was meant.
 *
 * Adds the errors of bv_config_build() and the warnings for the base document
 * of `bundle` alone and with the overlay of each site. `source` names the base
 * document. The keys are checked in sorted order, in which a bundle is stored
 * and which decides between equal routes. A warning that a site shares with
 * the base is added once.
 */
void bv_config_check(const json_t *bundle, const char *source,
                     bv_findings_t *errors, bv_findings_t *warnings);

#endif
