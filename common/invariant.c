#include "berylvane/common/invariant.h"

#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"

#include <stdio.h>
#include <stdlib.h>

void
bv_invariant_check(bool holds, const char *name, const char *state,
                   const char *file, int line)
{
    if (holds) {
        return;
    }
    bv_counter_add(BV_COUNT_INVARIANTS, 1);
    bv_log(BV_LOG_ERROR, "invariant_broken", "invariant", name, "state", state,
           "file", file, "line", BV_NUM(line), NULL);
#ifdef BV_INVARIANT_FATAL
    fprintf(stderr, "invariant broken: %s (%s) at %s:%d\n", name, state, file,
            line);
    abort();
#endif
}
