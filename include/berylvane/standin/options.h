#ifndef BERYLVANE_STANDIN_OPTIONS_H
#define BERYLVANE_STANDIN_OPTIONS_H

/*
 * options - the command line of a stand-in that takes a settings file
 *
 * Returns the value of --settings. Ends the program with BV_EXIT_USAGE if
 * that flag is missing or another argument is invalid. `doc` is the
 * description that --help prints.
 */
const char *standin_settings_path(int argc, char **argv, const char *doc);

#endif
