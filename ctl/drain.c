#include "ctl.h"

#include <stdio.h>

int
ctl_drain(const ctl_options_t *options)
{
    json_t *answer = ctl_node_request(options, "POST", "/drain");
    if (answer == NULL) {
        fprintf(stderr,
                "drain not accepted by the node at %s; check --node URL and "
                "--token TOKEN\n",
                options->operator_url);
        return 1;
    }
    printf("draining\n");
    json_decref(answer);
    return 0;
}
