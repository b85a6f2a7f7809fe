#include "berylvane/common/log.h"
#include "berylvane/common/program.h"
#include "berylvane/common/revision.h"
#include "berylvane/common/shutdown.h"
#include "berylvane/node/node.h"
#include "berylvane/platform/dialect.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Free memory that a heap keeps, and the size from which a block is mapped by
 * itself. With the defaults of glibc, a 1 MiB body raises the second to its
 * size and the first to twice that, and each further body can return the same
 * pages to the kernel and fault them in again.
 */
#define HEAP_KEPT_BYTES (8 * 1024 * 1024)
#define MMAP_THRESHOLD_BYTES (4 * 1024 * 1024)

const char *argp_program_version = "berylvane-node " BV_VERSION;

typedef struct {
    const char *settings_path;
    bool check_only;
} arguments_t;

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "JSON settings of this node", 0},
    {"check", 'c', NULL, 0, "check the settings and exit", 0},
    {0}};

static void
limit_heap_trimming(void)
{
    mallopt(M_TRIM_THRESHOLD, HEAP_KEPT_BYTES);
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 's':
        arguments->settings_path = text;
        return 0;
    case 'c':
        arguments->check_only = true;
        return 0;
    case ARGP_KEY_END:
        if (arguments->settings_path == NULL) {
            argp_error(state, "option --settings FILE is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "The process that runs beside a target instance: accepts calls, "
           "routes them and admits work to its target.",
};

static void
on_signal(void *context, int signal_number)
{
    if (signal_number == SIGHUP) {
        bv_node_request_reload(context);
        return;
    }
    bv_node_request_drain(context);
}

/*
 * Frees the node and returns the exit status. Each wait up to the exit of the
 * process has a bound.
 */
static int
stop_node(apr_pool_t *pool, bv_node_t *node)
{
    bv_shutdown_start(pool);
    bv_shutdown_begin(BV_SHUTDOWN_SIGNALS);
    bv_program_unset_signal_handler();
    bv_node_destroy(node);
    bv_shutdown_begin(BV_SHUTDOWN_LOG);
    bool is_log_written = bv_log_stop();
    bv_shutdown_begin(BV_SHUTDOWN_EXIT);
    return is_log_written ? BV_EXIT_OK : bv_shutdown_status(BV_SHUTDOWN_LOG);
}

static int
run_node(apr_pool_t *pool, bv_settings_t *settings)
{
    GError *error = NULL;
    bv_log_start("berylvane-node", settings->name,
                 (bv_log_level_t)settings->log_level);
    const bv_dialect_t *dialect = settings->dialect == BV_DIALECT_PLATFORM
                                      ? bv_platform_dialect(settings)
                                      : &bv_own_dialect;
    bv_node_t *node = bv_node_create(pool, settings, dialect, &error);
    if (node == NULL) {
        bv_log(BV_LOG_ERROR, "start_failed", "error", error->message, NULL);
        bv_log_stop();
        return BV_EXIT_FAILED;
    }
    bv_log(BV_LOG_INFO, "started", "version", BV_VERSION, "revision",
           bv_revision, NULL);
    bv_program_set_signal_handler(pool, on_signal, node);
    bv_node_run(node);
    bv_log(BV_LOG_INFO, "stopped", NULL);
    return stop_node(pool, node);
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {0};
    /*
     * Must be called first: it blocks SIGTERM, SIGINT and SIGHUP, which would
     * end the process before their handler is installed.
     */
    apr_pool_t *pool = bv_program_start();
    limit_heap_trimming();
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    bv_findings_t *findings = bv_findings_create();
    bv_settings_t *settings =
        bv_settings_load(arguments.settings_path, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    if (settings == NULL) {
        return BV_EXIT_USAGE;
    }
    int status = arguments.check_only ? BV_EXIT_OK : run_node(pool, settings);
    bv_settings_destroy(settings);
    return status;
}
