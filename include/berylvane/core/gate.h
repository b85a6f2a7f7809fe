#ifndef BERYLVANE_CORE_GATE_H
#define BERYLVANE_CORE_GATE_H

#include "berylvane/core/types.h"

/*
 * gate - decides at the entry which part of the requests of a kind may start
 *
 * A request leads to a tree of calls, and one call refused deep in it wastes
 * all the others. So requests are refused before their first call when the
 * busiest service of the tree is asked for more than it can do. A report comes
 * with the answer, long after the request started; divided by the part that
 * was admitted then it tells the demand, whatever the part is by now.
 */
typedef struct bv_gates bv_gates_t;

typedef struct {
    /* Load of the busiest service of the tree; 1 is all that it can do. */
    double load;
    /* The part of requests that was admitted when this one started. */
    double share;
} bv_gate_report_t;

bv_gates_t *bv_gates_create(void);
void bv_gates_destroy(bv_gates_t *gates);

/* A request of this kind, a hash of the route's name, was answered. */
void bv_gates_report(bv_gates_t *gates, int64_t now_us, uint32_t kind,
                     const bv_gate_report_t *report);

/* The part of the requests of a kind that may start now. */
double bv_gates_share(const bv_gates_t *gates, int64_t now_us, uint32_t kind);

/* The least part over all kinds. */
double bv_gates_least(const bv_gates_t *gates, int64_t now_us);

/* Whether a request is in the part; those of higher level go first. */
bool bv_gate_admits(double share, uint16_t priority);

#endif
