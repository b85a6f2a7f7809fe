#ifndef CORE_CONFIG_INTERNAL_H
#define CORE_CONFIG_INTERNAL_H

#include "berylvane/core/config.h"

/*
 * config_internal - declarations that the sources of config share
 */
typedef struct {
    /* Names the bundle in findings. */
    const char *source;
    bv_findings_t *findings;
    /* The section "departments" of the document; borrowed, may be NULL. */
    json_t *departments;
    bv_config_t *config;
    /* Entries that were left out, and lines about them among the findings. */
    uint32_t rejected_entries;
    uint32_t rejection_lines;
} config_builder_t;

/*
 * Adds a finding about an entry that is left out of the configuration while
 * the rest applies. `pointer` is the place of the entry in the document.
 */
void config_reject_entry(config_builder_t *builder, const char *pointer,
                         const char *problem);

/*
 * Returns the name of an entry as it is written in findings: cut, and in valid
 * UTF-8. The caller frees it.
 */
char *config_shown_name(const char *name);

/*
 * Returns a JSON pointer followed by "/NAME", escaped as RFC 6901 requires.
 * The caller frees it.
 */
char *config_append_name(const char *pointer, const char *name);

/*
 * Removes each finding whose place and message a finding of `others` has too,
 * whatever the source.
 */
void config_remove_shared(bv_findings_t *findings,
                          const bv_findings_t *others);

/*
 * Adds the route `name` of a service to the configuration. `entry` holds the
 * route's settings; `pointer` is the place of `entry` in the document, as a
 * JSON pointer.
 */
void config_build_route(config_builder_t *builder, const char *service,
                        const char *name, const json_t *entry, bv_mode_t mode,
                        const char *pointer);

/* Frees a route; usable as a GDestroyNotify. */
void config_free_route(gpointer route);

#endif
