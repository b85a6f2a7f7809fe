#ifndef BERYLVANE_NODE_DIALECT_H
#define BERYLVANE_NODE_DIALECT_H

#include "berylvane/caller/dialect.h"
#include "berylvane/common/findings.h"
#include "berylvane/core/announcement.h"
#include "berylvane/targets/dialect.h"

/*
 * dialect - how a node speaks with callers, its target and operators
 *
 * The node's decisions know none of these forms. berylvane's own dialect and
 * that of the users' platform (platform/) fill in the same callbacks.
 */

/* A configuration as a row of the table holds it. */
typedef struct {
    /* Key of the row, "TABLE/KEY". */
    const char *key;
    /*
     * Makes a bundle (see core/config.h) with its generation of a row's value;
     * NULL and findings when the value is none.
     */
    json_t *(*translate)(void *context, const json_t *value,
                         bv_findings_t *findings);
} bv_config_source_t;

typedef struct {
    bv_caller_dialect_t caller;
    bv_target_dialect_t target;
    /* Reads an announcement of the local target; false with findings. */
    bool (*read_announcement)(void *context, const bv_call_t *call,
                              bv_announcement_t *announcement,
                              bv_findings_t *findings);
    /* Where configurations come from; NULL: the head row, see head.h. */
    const bv_config_source_t *config_source;
    /* Puts into settings that were read again what they follow from; may be
     * NULL. */
    void (*derive_settings)(void *context);
    void *context;
} bv_dialect_t;

/* berylvane's own dialect. */
extern const bv_dialect_t bv_own_dialect;

#endif
