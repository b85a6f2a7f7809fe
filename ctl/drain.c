#include "ctl.h"

#include <stdio.h>

int
ctl_drain(const ctl_options_t *options)
{
    json_t *answer = ctl_node_request(options, "POST", "/drain");
    if (answer == NULL) {
        fprintf(stderr, "the node did not take the drain\n");
        return 1;
    }
    printf("draining\n");
    json_decref(answer);
    return 0;
}
