#include "berylvane/standin/options.h"

#include "berylvane/common/program.h"

#include <argp.h>

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "JSON settings file of this stand-in", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    const char **path = state->input;
    switch (key) {
    case 's':
        *path = text;
        return 0;
    case ARGP_KEY_END:
        if (*path == NULL) {
            argp_error(state, "--settings FILE is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

const char *
standin_settings_path(int argc, char **argv, const char *doc)
{
    const char *path = NULL;
    struct argp parser = {
        .options = options,
        .parser = parse_option,
        .doc = doc,
    };
    argp_program_version = BV_VERSION;
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &path);
    return path;
}
