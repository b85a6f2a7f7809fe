#include "berylvane/core/descriptor_shares.h"

#include <glib.h>

/* Descriptors for files, which the users' platform sets aside. */
#define RESERVED_FOR_FILES 200
#define PERCENT 100

uint32_t
bv_descriptor_share(uint32_t limit, bv_descriptor_use_t use)
{
    /* The rest, 35%, is for the target, peers, the platform and operators. */
    static const uint32_t percent[BV_DESCRIPTORS_USE_END] = {
        [BV_DESCRIPTORS_CALLERS] = 40,
        [BV_DESCRIPTORS_LOCAL] = 10,
        [BV_DESCRIPTORS_CONTROL] = 5,
        [BV_DESCRIPTORS_READINESS] = 10,
    };
    if (limit == 0) {
        return 0;
    }
    uint32_t shared =
        limit > RESERVED_FOR_FILES ? limit - RESERVED_FOR_FILES : 0;
    uint64_t share = (uint64_t)shared * percent[use] / PERCENT;
    return (uint32_t)MAX(1, share);
}
