#include "ctl.h"

#include "berylvane/common/clock.h"

#include <stdio.h>
#include <unistd.h>

#define POLL_INTERVAL_US (BV_US_PER_S / 2)

/*
 * Prints the members whose state or generation has changed. `printed` holds
 * what was last printed of a member, by the member's name.
 */
static void
print_changes(const json_t *status, json_t *printed)
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
        char *now = g_strdup_printf(
            "state=%s generation=%" JSON_INTEGER_FORMAT, state, generation);
        const char *before = json_string_value(json_object_get(printed, name));
        if (g_strcmp0(before, now) != 0) {
            printf("member=%s %s\n", name, now);
            json_object_set_new(printed, name, json_string(now));
        }
        g_free(now);
    }
    fflush(stdout);
}

int
ctl_watch(const ctl_options_t *options)
{
    int64_t end_us = bv_clock_now_us() + options->wait_limit_s * BV_US_PER_S;
    json_t *printed = json_object();
    bool has_answer = false;
    do {
        json_t *status = ctl_status_read(options);
        has_answer |= status != NULL;
        print_changes(status, printed);
        json_decref(status);
        usleep(POLL_INTERVAL_US);
    } while (bv_clock_now_us() < end_us);
    json_decref(printed);
    return has_answer ? 0 : 1;
}
