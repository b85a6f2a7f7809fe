#include "berylvane/core/announcement.h"

#include <string.h>

static bool
is_known(const bv_announcement_t *known)
{
    return known->port != 0 || known->instance[0] != '\0';
}

static bv_announcement_result_t
take_left(bv_announcement_t *known, const bv_announcement_t *word)
{
    if (strcmp(known->instance, word->instance) != 0 ||
        known->state == BV_ANNOUNCED_LEFT) {
        return BV_ANNOUNCED_STALE;
    }
    known->state = BV_ANNOUNCED_LEFT;
    return BV_ANNOUNCED_CHANGED;
}

static bool
is_older(const bv_announcement_t *known, const bv_announcement_t *word)
{
    bool ordered =
        known->incarnation_start_ms != 0 && word->incarnation_start_ms != 0;
    if (ordered && word->incarnation_start_ms != known->incarnation_start_ms) {
        return word->incarnation_start_ms < known->incarnation_start_ms;
    }
    if (strcmp(known->instance, word->instance) != 0) {
        return false;
    }
    return word->sequence != 0 && word->sequence <= known->sequence;
}

static bool
is_same(const bv_announcement_t *known, const bv_announcement_t *word)
{
    return strcmp(known->instance, word->instance) == 0 &&
           strcmp(known->service, word->service) == 0 &&
           strcmp(known->address, word->address) == 0 &&
           known->port == word->port && known->slots == word->slots &&
           known->state == word->state &&
           known->incarnation_start_ms == word->incarnation_start_ms;
}

/* A target that leaves does not come back but by a new start. */
static bool
is_final(const bv_announcement_t *known, const bv_announcement_t *word)
{
    return known->state == BV_ANNOUNCED_LEFT &&
           strcmp(known->instance, word->instance) == 0 &&
           known->incarnation_start_ms == word->incarnation_start_ms;
}

bv_announcement_result_t
bv_announcement_apply(bv_announcement_t *known, const bv_announcement_t *word)
{
    if (word->state == BV_ANNOUNCED_LEFT) {
        return take_left(known, word);
    }
    if (is_known(known) && (is_older(known, word) || is_final(known, word))) {
        return BV_ANNOUNCED_STALE;
    }
    bool same = is_known(known) && is_same(known, word);
    *known = *word;
    return same ? BV_ANNOUNCED_RENEWED : BV_ANNOUNCED_CHANGED;
}
