#ifndef BERYLVANE_CORE_DESCRIPTOR_SHARES_H
#define BERYLVANE_CORE_DESCRIPTOR_SHARES_H

#include <stdint.h>

/*
 * descriptor_shares - divides the descriptors of a process among its uses
 *
 * Handles the load of clients that open connections without end: without
 * shares they take the descriptors that accepted work, peers, the platform and
 * readiness need. What is not listed here is the reserve for these.
 */
typedef enum {
    BV_DESCRIPTORS_CALLERS,
    BV_DESCRIPTORS_LOCAL,
    BV_DESCRIPTORS_CONTROL,
    BV_DESCRIPTORS_READINESS,
    BV_DESCRIPTORS_USE_END,
} bv_descriptor_use_t;

/*
 * Returns how many descriptors a use may have if the process may have `limit`;
 * Returns 0, no bound, if `limit` is 0.
 */
uint32_t bv_descriptor_share(uint32_t limit, bv_descriptor_use_t use);

#endif
