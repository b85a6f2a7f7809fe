#include "ctl.h"

#include "berylvane/common/clock.h"

#include <stdio.h>
#include <unistd.h>

#define POLL_INTERVAL_US (BV_US_PER_S / 2)

/*
 * Prints the members whose state or generation has changed. `printed_lines`
 * holds the line that was last printed of each member, by member name.
 */
static void
print_changes(const json_t *status, json_t *printed_lines)
{
    size_t index;
    json_t *member;
    json_array_foreach(json_object_get(status, "members"), index, member) {
        const char *name;
        const char *state;
        json_int_t generation;
        if (json_unpack(member, "{s:s, s:s, s:I}", "name", &name, "state",
                        &state, "generation", &generation) != 0) {
            continue;
        }
        char *current_line = g_strdup_printf(
            "state=%s generation=%" JSON_INTEGER_FORMAT, state, generation);
        const char *printed_line =
            json_string_value(json_object_get(printed_lines, name));
        if (g_strcmp0(printed_line, current_line) != 0) {
            printf("member=%s %s\n", name, current_line);
            json_object_set_new(printed_lines, name,
                                json_string(current_line));
        }
        g_free(current_line);
    }
    fflush(stdout);
}

int
ctl_watch(const ctl_options_t *options)
{
    int64_t end_us = bv_clock_now_us() + options->wait_limit_s * BV_US_PER_S;
    json_t *printed_lines = json_object();
    bool has_answer = false;
    do {
        json_t *status = ctl_status_read(options);
        has_answer |= status != NULL;
        print_changes(status, printed_lines);
        json_decref(status);
        usleep(POLL_INTERVAL_US);
    } while (bv_clock_now_us() < end_us);
    json_decref(printed_lines);
    return has_answer ? 0 : 1;
}
