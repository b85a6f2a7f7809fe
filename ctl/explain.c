#include "ctl.h"

#include <stdio.h>

static void
print_decision(const json_t *decision)
{
    const char *kind;
    const char *subject;
    const char *reason;
    const char *outcome;
    json_int_t time_us;
    json_int_t number;
    if (json_unpack((json_t *)decision, "{s:I, s:s, s:s, s:s, s:s, s:I}",
                    "time_us", &time_us, "decision", &kind, "subject",
                    &subject, "reason", &reason, "outcome", &outcome, "number",
                    &number) != 0) {
        return;
    }
    printf("time_us=%" JSON_INTEGER_FORMAT
           " decision=%s subject=%s reason=%s outcome=%s "
           "number=%" JSON_INTEGER_FORMAT "\n",
           time_us, kind, subject, reason, outcome, number);
}

int
ctl_explain(const ctl_options_t *options)
{
    char *path = g_strjoin("/", "/explain", options->subject,
                           options->subject_name, NULL);
    json_t *answer = ctl_node_request(options, "GET", path);
    g_free(path);
    if (answer == NULL) {
        fprintf(stderr,
                "the node at %s has no explanation of this %s; accepted: "
                "request ID, member NAME, config, counts\n",
                options->operator_url, options->subject);
        return 1;
    }
    if (json_is_object(answer)) {
        json_dumpf(answer, stdout, JSON_INDENT(2));
        printf("\n");
    }
    size_t index;
    json_t *decision;
    json_array_foreach(answer, index, decision) {
        print_decision(decision);
    }
    json_decref(answer);
    return 0;
}
