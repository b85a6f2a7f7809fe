#ifndef BERYLVANE_PLATFORM_DIALECT_H
#define BERYLVANE_PLATFORM_DIALECT_H

#include "berylvane/node/dialect.h"
#include "berylvane/node/settings.h"

/*
 * dialect - what the users' platform speaks, in the terms of node/dialect.h
 *
 * See docs/decisions/platform.md. The dialect borrows from `settings`.
 */
const bv_dialect_t *bv_platform_dialect(bv_settings_t *settings);

#endif
