#ifndef BERYLVANE_CORE_LOADS_H
#define BERYLVANE_CORE_LOADS_H

#include "berylvane/core/types.h"

/*
 * loads - how loaded the services are that calls of a kind lead to
 *
 * Each answer reports the load of the busiest service below it, 1 being as
 * much as that service can do. Reports are smoothed over time, by kind of call
 * and class, and forgotten when none comes.
 */
typedef struct bv_loads bv_loads_t;

bv_loads_t *bv_loads_create(void);
void bv_loads_destroy(bv_loads_t *loads);

/* An answer to work of this kind, a hash of the route's name. */
void bv_loads_report(bv_loads_t *loads, int64_t now_us, uint32_t kind,
                     bv_class_t importance, double load);

/* The smoothed load; 0 while nothing is known. */
double bv_loads_get(const bv_loads_t *loads, int64_t now_us, uint32_t kind,
                    bv_class_t importance);

#endif
