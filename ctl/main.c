#include "ctl.h"

#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"

#include <argp.h>
#include <string.h>

#define WAIT_DEFAULT_S 17
#define WAIT_LIMIT_S 86400
#define COMMAND_NAMES                                                         \
    "validate, check, render, diff, apply, status, drain, watch, explain"
#define EXPLAIN_SUBJECTS "request ID, member NAME, config, counts"

const char *argp_program_version = "berylvanectl " BV_VERSION;

enum {
    OPTION_WAIT = 256,
    OPTION_AGAINST,
    OPTION_JSON,
    OPTION_STRICT,
};

typedef struct {
    ctl_options_t options;
    const ctl_command_t *command;
} arguments_t;

static const ctl_command_t commands[] = {
    {"validate", "check --base with --overlay; needs no platform",
     ctl_validate},
    {"check",
     "report errors, mistakes and changes of --base; needs no platform",
     ctl_check},
    {"render", "print the document of --site: base and overlay merged",
     ctl_render},
    {"diff", "compare --base or --overlay with the configuration in force",
     ctl_diff},
    {"apply", "put --base or --overlay in force", ctl_apply},
    {"status", "show the members in a node's table, with their generations",
     ctl_status},
    {"drain",
     "make a node refuse new work, finish its work, leave the cluster",
     ctl_drain},
    {"watch", "show changes of members and generations for --wait seconds",
     ctl_watch},
    {"explain", "show decisions of a node: " EXPLAIN_SUBJECTS, ctl_explain},
    {NULL}};

static const struct argp_option options[] = {
    {"platform", 'p', "URL", 0,
     "base URL of the platform's services; for diff, apply and check", 0},
    {"node", 'n', "URL", 0,
     "operator listener of a node; for status, drain, watch, explain and "
     "apply",
     0},
    {"token", 't', "TOKEN", 0,
     "operator token of the node; for drain and apply", 0},
    {"base", 'b', "FILE", 0, "the base document", 0},
    {"overlay", 'o', "FILE", 0, "the overlay document of --site", 0},
    {"site", 's', "NAME", 0, "site of the overlay: the name of a data centre",
     0},
    {"against", OPTION_AGAINST, "FILE", 0,
     "base document or bundle to compare with; for check", 0},
    {"json", OPTION_JSON, NULL, 0, "print one JSON object; for check", 0},
    {"strict", OPTION_STRICT, NULL, 0, "exit 1 on warnings; for check", 0},
    {"wait", OPTION_WAIT, "SECONDS", OPTION_ARG_OPTIONAL,
     "wait until all members have the change in force (17 s if no number is "
     "given); for watch, how long to watch",
     0},
    {0}};

static const ctl_command_t *
find_command(const char *name)
{
    for (const ctl_command_t *command = commands; command->name != NULL;
         command++) {
        if (strcmp(command->name, name) == 0) {
            return command;
        }
    }
    return NULL;
}

static void
check_check_arguments(const ctl_options_t *given, struct argp_state *state)
{
    if (given->base_path == NULL) {
        argp_error(state, "check needs --base FILE");
    }
    if (given->overlay_paths->len != given->sites->len) {
        argp_error(state, "check needs one --site NAME for each --overlay");
    }
}

static void
check_arguments(const arguments_t *arguments, struct argp_state *state)
{
    const ctl_options_t *given = &arguments->options;
    if (arguments->command == NULL) {
        argp_error(state, "no command given; accepted: " COMMAND_NAMES);
    }
    if (given->overlay_path != NULL && given->site == NULL) {
        argp_error(state,
                   "--overlay needs --site NAME, the site of the overlay");
    }
    int (*run)(const ctl_options_t *) =
        arguments->command != NULL ? arguments->command->run : NULL;
    bool needs_platform = run == ctl_diff || run == ctl_apply;
    bool needs_node = run == ctl_status || run == ctl_drain ||
                      run == ctl_watch || run == ctl_explain ||
                      given->has_wait;
    if (needs_platform && given->platform_url == NULL) {
        argp_error(state,
                   "diff and apply need --platform URL, the base URL of the "
                   "platform's services");
    }
    if (needs_node && given->operator_url == NULL) {
        argp_error(state,
                   "status, drain, watch, explain and --wait need --node URL, "
                   "the operator listener of a node");
    }
    if (run == ctl_explain && given->subject == NULL) {
        argp_error(state,
                   "explain needs a subject; accepted: " EXPLAIN_SUBJECTS);
    }
    if (run == ctl_check) {
        check_check_arguments(given, state);
    }
    else if (given->against_path != NULL || given->has_json ||
             given->is_strict) {
        argp_error(state, "--against, --json and --strict are for check");
    }
    if (run == ctl_apply && given->base_path == NULL &&
        given->overlay_path == NULL) {
        argp_error(state, "apply needs --base FILE or --overlay FILE");
    }
}

static error_t
parse_argument(arguments_t *arguments, const char *text,
               struct argp_state *state)
{
    ctl_options_t *given = &arguments->options;
    if (arguments->command == NULL) {
        arguments->command = find_command(text);
        if (arguments->command == NULL) {
            argp_error(state,
                       "unknown command \"%s\"; accepted: " COMMAND_NAMES,
                       text);
        }
        return 0;
    }
    if (arguments->command->run != ctl_explain ||
        given->subject_name != NULL) {
        argp_error(state,
                   "unexpected argument \"%s\"; only explain takes a "
                   "subject: " EXPLAIN_SUBJECTS,
                   text);
    }
    if (given->subject == NULL) {
        given->subject = text;
    }
    else {
        given->subject_name = text;
    }
    return 0;
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    ctl_options_t *given = &arguments->options;
    switch (key) {
    case 'p':
        given->platform_url = text;
        return 0;
    case 'n':
        given->operator_url = text;
        return 0;
    case 't':
        given->token = text;
        return 0;
    case 'b':
        given->base_path = text;
        return 0;
    case 'o':
        given->overlay_path = text;
        g_ptr_array_add(given->overlay_paths, text);
        return 0;
    case 's':
        given->site = text;
        g_ptr_array_add(given->sites, text);
        return 0;
    case OPTION_AGAINST:
        given->against_path = text;
        return 0;
    case OPTION_JSON:
        given->has_json = true;
        return 0;
    case OPTION_STRICT:
        given->is_strict = true;
        return 0;
    case OPTION_WAIT:
        given->has_wait = true;
        given->wait_limit_s =
            text != NULL ? bv_number_option("--wait", text, 0, WAIT_LIMIT_S)
                         : WAIT_DEFAULT_S;
        return 0;
    case ARGP_KEY_ARG:
        return parse_argument(arguments, text, state);
    case ARGP_KEY_END:
        check_arguments(arguments, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static char *
append_command_list(int key, const char *text, void *input)
{
    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    GString *list = g_string_new("Commands:\n");
    for (const ctl_command_t *command = commands; command->name != NULL;
         command++) {
        g_string_append_printf(list, "  %-10s %s\n", command->name,
                               command->help);
    }
    char *copy = strdup(list->str);
    g_string_free(list, TRUE);
    return copy;
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .args_doc = "COMMAND [SUBJECT [NAME]]",
    .doc = "Operates berylvane: checks and applies configuration, shows and "
           "drains nodes.\v ",
    .help_filter = append_command_list,
};

int
main(int argc, char **argv)
{
    arguments_t arguments = {.options = {.wait_limit_s = WAIT_DEFAULT_S,
                                         .overlay_paths = g_ptr_array_new(),
                                         .sites = g_ptr_array_new()}};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    arguments.options.pool = bv_program_start();
    int status = arguments.command->run(&arguments.options);
    bv_program_stop(arguments.options.pool);
    g_ptr_array_unref(arguments.options.overlay_paths);
    g_ptr_array_unref(arguments.options.sites);
    return status;
}
