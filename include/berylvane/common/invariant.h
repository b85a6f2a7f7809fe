#ifndef BERYLVANE_COMMON_INVARIANT_H
#define BERYLVANE_COMMON_INVARIANT_H

#include <stdbool.h>

/*
 * invariant - run-time checks of conditions that must always hold
 *
 * A failed check is counted (invariant_failures) and logged with the
 * invariant's name and `state`, a text that describes the values at fault. The
 * process aborts if BV_INVARIANT_FATAL is defined, as in test builds.
 */
#define bv_invariant(condition, name, state)                                  \
    bv_invariant_check((condition), (name), (state), __FILE__, __LINE__)

void bv_invariant_check(bool holds, const char *name, const char *state,
                        const char *file, int line);

#endif
