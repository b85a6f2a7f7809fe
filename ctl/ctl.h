#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "berylvane/common/findings.h"
#include "berylvane/platform/head.h"
#include "berylvane/platform/store.h"

/*
 * ctl - the commands of berylvanectl; each has a source file of its own
 */
typedef struct {
    /* Options that were not given are NULL. */
    const char *platform_url;
    /* URL of a node's operator listener, and that node's operator token. */
    const char *operator_url;
    const char *token;
    const char *base_path;
    const char *overlay_path;
    const char *site;
    /* All --overlay and all --site in the order given; for check. */
    GPtrArray *overlay_paths;
    GPtrArray *sites;
    /* The version that check compares with: a base document or a bundle. */
    const char *against_path;
    /* Whether --json and --strict were given. */
    bool has_json;
    bool is_strict;
    /* Whether --wait was given, and for how long to wait. */
    bool has_wait;
    int64_t wait_limit_s;
    /*
     * What to explain: request, member, config or counts, and the request's id
     * or the member's name.
     */
    const char *subject;
    const char *subject_name;
    apr_pool_t *pool;
} ctl_options_t;

/* A command; `run` returns the exit status of the program. */
typedef struct {
    const char *name;
    const char *help;
    int (*run)(const ctl_options_t *options);
} ctl_command_t;

int ctl_validate(const ctl_options_t *options);
int ctl_check(const ctl_options_t *options);
int ctl_render(const ctl_options_t *options);
int ctl_diff(const ctl_options_t *options);
int ctl_apply(const ctl_options_t *options);
int ctl_status(const ctl_options_t *options);
int ctl_drain(const ctl_options_t *options);
int ctl_watch(const ctl_options_t *options);
int ctl_explain(const ctl_options_t *options);

/* Client of the platform's store with blocking calls. */
typedef struct ctl_store ctl_store_t;

/* Answer of the store, owned by the caller; see ctl_answer_clear(). */
typedef struct {
    bv_store_result_t result;
    json_t *json;
    GBytes *body;
} ctl_answer_t;

/* Starts a client of the store at `platform_url`. */
ctl_store_t *ctl_store_open(const ctl_options_t *options);
void ctl_store_close(ctl_store_t *store);

/* Writes rows in one transaction; takes ownership of `operations`. */
ctl_answer_t ctl_store_write(ctl_store_t *store, json_t *operations);

/* Reads the row `key`. */
ctl_answer_t ctl_store_read(ctl_store_t *store, const char *key);

/* Reads the rows whose keys start with `prefix`. */
ctl_answer_t ctl_store_scan(ctl_store_t *store, const char *prefix);

/* Writes and reads an object by name. */
ctl_answer_t ctl_store_put(ctl_store_t *store, const char *name, GBytes *body);
ctl_answer_t ctl_store_get(ctl_store_t *store, const char *name);
void ctl_answer_clear(ctl_answer_t *answer);

/*
 * Reads the head row and its bundle, the configuration in force. Before the
 * first change the head is zeroed and the bundle empty. Returns false after
 * printing an error; otherwise the caller owns `*bundle`.
 */
bool ctl_bundle_read(ctl_store_t *store, bv_head_t *head, json_t **bundle);

/*
 * Returns a copy of `bundle` (NULL for an empty bundle) in which the file of
 * --base replaces the base document, and the file of --overlay the overlay
 * document of --site. Returns NULL, and adds findings, if a file cannot be
 * loaded.
 */
json_t *ctl_bundle_edit(const json_t *bundle, const ctl_options_t *options,
                        bv_findings_t *findings);

/* Prints the differences between the documents of two bundles. */
void ctl_bundle_diff(const json_t *before, const json_t *after);

/* Checks the base alone and with the overlay of every site. */
void ctl_bundle_check(const json_t *bundle, const ctl_options_t *options,
                      bv_findings_t *findings);

/*
 * Sends a request to the operator listener of a node and waits for the answer.
 * Returns the JSON of an answer with status 200. Otherwise returns NULL, after
 * printing the status if there was an answer.
 */
json_t *ctl_node_request(const ctl_options_t *options, const char *method,
                         const char *path);

/*
 * Sends a POST request with a body; otherwise as ctl_node_request(). Sets
 * `status` to the HTTP status, 0 if there was no answer.
 */
json_t *ctl_node_post(const ctl_options_t *options, const char *path,
                      GBytes *body, uint16_t *status);

/* Returns the node's answer to GET /status, or NULL. */
json_t *ctl_status_read(const ctl_options_t *options);

/*
 * Prints the findings to standard error and frees them. Returns the exit
 * status: 0 without findings, else 2.
 */
int ctl_report_findings(bv_findings_t *findings);

#endif
