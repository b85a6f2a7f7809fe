#ifndef BERYLVANE_NODE_DIALECT_H
#define BERYLVANE_NODE_DIALECT_H

#include "berylvane/caller/dialect.h"
#include "berylvane/common/findings.h"
#include "berylvane/core/announcement.h"
#include "berylvane/targets/dialect.h"

/*
 * dialect - the headers and documents that a node exchanges with callers, its
 * target and the source of its configuration
 *
 * A dialect is a set of callbacks that translate these headers and documents
 * to the node's types and back, so that the node's decisions depend on no
 * dialect. There are two: berylvane's own, and that of the users' platform
 * (platform/).
 */

/* The table row that holds the configuration in a dialect's own form. */
typedef struct {
    /* Key of the row, as "TABLE/KEY". */
    const char *key;
    /*
     * Translates the row's value into a new bundle (see core/config.h) with
     * its generation. Returns NULL and adds findings when `value` is not a
     * valid configuration.
     */
    json_t *(*translate)(void *context, const json_t *value,
                         bv_findings_t *findings);
} bv_config_source_t;

typedef struct {
    bv_caller_dialect_t caller;
    bv_target_dialect_t target;
    /*
     * Parses an announcement of the local target, which is the body of `call`.
     * Returns false and adds findings when it is not valid.
     */
    bool (*read_announcement)(void *context, const bv_call_t *call,
                              bv_announcement_t *announcement,
                              bv_findings_t *findings);
    /*
     * Header that tells targets the account of a call. NULL if the target's
     * dialect writes it (`customer` of bv_target_work_t).
     */
    const char *account_header;
    /* NULL: the configuration is named by the head row (platform/head.h). */
    const bv_config_source_t *config_source;
    /*
     * Called after the settings were read again: computes the settings that
     * follow from others, such as the drain limit from the platform's grace
     * period. May be NULL.
     */
    void (*derive_settings)(void *context);
    void *context;
} bv_dialect_t;

/* berylvane's own dialect, which the setting "dialect": "own" selects. */
extern const bv_dialect_t bv_own_dialect;

#endif
