#ifndef BERYLVANE_CORE_ANNOUNCEMENT_H
#define BERYLVANE_CORE_ANNOUNCEMENT_H

#include "berylvane/core/types.h"

/*
 * announced - what the local target says of itself, and which word is newest
 *
 * Announcements may come late and out of order, also from an incarnation that
 * has ended. Incarnations are ordered by the time of their start, words of one
 * incarnation by their sequence number; 0 stands for "not told" in both.
 */
#define BV_INSTANCE_BYTES 128

typedef enum {
    BV_ANNOUNCED_READY,
    BV_ANNOUNCED_DRAINING,
    BV_ANNOUNCED_LEFT,
} bv_announcement_state_t;

typedef struct {
    /* Name of the target's incarnation; empty when it has none. */
    char instance[BV_INSTANCE_BYTES];
    char service[BV_NAME_BYTES];
    char address[BV_ADDRESS_BYTES];
    uint16_t port;
    uint32_t slots;
    bv_announcement_state_t state;
    /* Wall-clock start of the incarnation. */
    uint64_t incarnation_start_ms;
    uint64_t sequence;
    /* How much longer the target is slow after its start. */
    int64_t cold_start_us;
} bv_announcement_t;

typedef enum {
    /* An older word: it changes nothing. */
    BV_ANNOUNCED_STALE,
    /* The same target goes on as it was. */
    BV_ANNOUNCED_RENEWED,
    /* Something that callers of the target must know has changed. */
    BV_ANNOUNCED_CHANGED,
} bv_announcement_result_t;

/*
 * Compares a word with the newest one (`known`; all zero for none) and takes
 * it unless it is stale. A word that an instance has left carries no more than
 * its name.
 */
bv_announcement_result_t bv_announcement_apply(bv_announcement_t *known,
                                               const bv_announcement_t *word);

#endif
