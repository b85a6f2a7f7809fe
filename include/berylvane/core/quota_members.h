#ifndef BERYLVANE_CORE_QUOTA_MEMBERS_H
#define BERYLVANE_CORE_QUOTA_MEMBERS_H

#include "berylvane/core/membership.h"

/*
 * quota_members - which member lends the permits of a part of a quota
 *
 * The lessor of each part of an account's quota is chosen by rendezvous
 * hashing over the present members. Handles the times in which the nodes'
 * views of the members differ: a member must have been present for `settle_us`
 * before others choose it, and lends only `own_settle_us` after its start,
 * after a suspension and after it was cut off. Since the second time is
 * longer, the former lessor has stopped by then.
 *
 * All times are of a clock that counts suspension (CLOCK_BOOTTIME).
 */
typedef struct {
    char name[BV_NAME_BYTES];
    uint64_t incarnation;
    int64_t settle_us;
    int64_t own_settle_us;
    /*
     * Time for which nobody lends after a member that may have lent until now
     * has left or started again.
     */
    int64_t handover_us;
    /*
     * Time between two ticks from which the process counts as suspended; must
     * be less than the time in which other members evict this one.
     */
    int64_t suspension_us;
} bv_quota_members_options_t;

typedef struct bv_quota_members bv_quota_members_t;

bv_quota_members_t *
bv_quota_members_create(const bv_quota_members_options_t *options,
                        int64_t now_us);
void bv_quota_members_destroy(bv_quota_members_t *members);

/* Applies the record of another member. */
void bv_quota_members_update(bv_quota_members_t *members, int64_t now_us,
                             const bv_member_t *record);

/*
 * Applies the time and whether the membership is cut off. Returns true if the
 * lessors of accounts may have changed since the last call.
 */
bool bv_quota_members_tick(bv_quota_members_t *members, int64_t now_us,
                           bool is_cut_off);

/*
 * Returns the name of the lessor of a part, or NULL if there is none yet.
 * Stores the incarnation of the lessor. The name is valid until the next
 * update.
 */
const char *bv_quota_members_lessor(const bv_quota_members_t *members,
                                    const char *account, uint32_t part,
                                    uint64_t *incarnation);

/* Whether this node may lend the permits of a part. */
bool bv_quota_members_is_lessor(const bv_quota_members_t *members,
                                const char *account, uint32_t part);

/*
 * Time until this node may lend, if it may not yet: after its start, a
 * suspension, or while it was cut off; 0 if it may.
 */
int64_t bv_quota_members_wait_us(const bv_quota_members_t *members,
                                 int64_t now_us);

/*
 * Time from which this node has been the lessor of all parts that it is the
 * lessor of now.
 */
int64_t bv_quota_members_since_us(const bv_quota_members_t *members);

/* Whether the node has run long enough to know the other members. */
bool bv_quota_members_has_started(const bv_quota_members_t *members,
                                  int64_t now_us);

/* Largest number of members seen at once, this node included. */
uint32_t bv_quota_members_most_seen(const bv_quota_members_t *members);

#endif
