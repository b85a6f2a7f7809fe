#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "berylvane/common/findings.h"
#include "berylvane/platform/head.h"
#include "berylvane/platform/store.h"

/*
 * ctl - the operator's commands; one file each
 */
typedef struct {
    const char *platform_url;
    const char *operator_url;
    const char *token;
    const char *base_path;
    const char *overlay_path;
    const char *site;
    bool wait;
    int64_t wait_s;
    /* What explain is asked about: request, member or config, and its name. */
    const char *subject;
    const char *subject_name;
    apr_pool_t *pool;
} ctl_options_t;

typedef struct {
    const char *name;
    const char *help;
    int (*run)(const ctl_options_t *options);
} ctl_command_t;

int ctl_validate(const ctl_options_t *options);
int ctl_render(const ctl_options_t *options);
int ctl_diff(const ctl_options_t *options);
int ctl_apply(const ctl_options_t *options);
int ctl_status(const ctl_options_t *options);
int ctl_drain(const ctl_options_t *options);
int ctl_watch(const ctl_options_t *options);
int ctl_explain(const ctl_options_t *options);

/* The store, with calls that wait for their answer. */
typedef struct ctl_store ctl_store_t;

typedef struct {
    bv_store_result_t result;
    json_t *json;
    GBytes *body;
} ctl_answer_t;

ctl_store_t *ctl_store_open(const ctl_options_t *options);
void ctl_store_close(ctl_store_t *store);
ctl_answer_t ctl_store_write(ctl_store_t *store, json_t *operations);
ctl_answer_t ctl_store_read(ctl_store_t *store, const char *key);
ctl_answer_t ctl_store_scan(ctl_store_t *store, const char *prefix);
ctl_answer_t ctl_store_put(ctl_store_t *store, const char *name, GBytes *body);
ctl_answer_t ctl_store_get(ctl_store_t *store, const char *name);
void ctl_answer_clear(ctl_answer_t *answer);

/* The head and bundle in force; an empty bundle when there is none yet. */
bool ctl_bundle_read(ctl_store_t *store, bv_head_t *head, json_t **bundle);

/*
 * The bundle in force (or an empty one) with the documents that the options
 * name in place; NULL when a file has findings.
 */
json_t *ctl_bundle_edit(const json_t *bundle, const ctl_options_t *options,
                        bv_findings_t *findings);

/* Prints what differs between the documents of two bundles. */
void ctl_bundle_diff(const json_t *before, const json_t *after);

/* Checks the bundle for every site it has an overlay for, and for `site`. */
void ctl_bundle_check(const json_t *bundle, const ctl_options_t *options,
                      bv_findings_t *findings);

/*
 * Calls a node's operator listener and waits; NULL, with a line on standard
 * error when it answered, unless it answered 200 with JSON.
 */
json_t *ctl_node_request(const ctl_options_t *options, const char *method,
                         const char *path);

/* The same with a body. */
json_t *ctl_node_post(const ctl_options_t *options, const char *path,
                      GBytes *body);

/* The node's GET /status. */
json_t *ctl_status_read(const ctl_options_t *options);

/* Prints findings; the exit status that they call for. */
int ctl_report_findings(bv_findings_t *findings);

#endif
