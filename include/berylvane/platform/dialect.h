#ifndef BERYLVANE_PLATFORM_DIALECT_H
#define BERYLVANE_PLATFORM_DIALECT_H

#include "berylvane/node/dialect.h"
#include "berylvane/node/settings.h"

/*
 * dialect - the dialect of the users' platform (see node/dialect.h)
 *
 * The reasons behind its rules are in docs/decisions/platform.md.
 */

/*
 * Returns the platform's dialect and limits the drain settings in `settings`
 * to the platform's bounds. The dialect borrows `settings`, which must outlive
 * its use. There is one dialect per process: a further call changes the
 * dialect that earlier calls returned.
 */
const bv_dialect_t *bv_platform_dialect(bv_settings_t *settings);

#endif
