#ifndef CORE_QUOTA_STOCK_H
#define CORE_QUOTA_STOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * quota_stock - permits of one account that a node was lent and has not used
 *
 * Permits of one reply expire together and are kept as one lot.
 */
typedef struct {
    /* Of quota_lot_t, by time of expiry. */
    GArray *lots;
} quota_stock_t;

void quota_stock_init(quota_stock_t *stock);

/* Frees the memory of a stock. */
void quota_stock_clear(quota_stock_t *stock);

/* Removes all permits. */
void quota_stock_discard(quota_stock_t *stock);

void quota_stock_add(quota_stock_t *stock, uint32_t count, int64_t expires_us);

/*
 * Takes the permit that expires first and stores its expiry. Returns false if
 * no valid permit is left.
 */
bool quota_stock_take(quota_stock_t *stock, int64_t now_us,
                      int64_t *expires_us);

void quota_stock_drop_expired(quota_stock_t *stock, int64_t now_us);

/* Counts the permits, including expired ones that were not dropped yet. */
uint32_t quota_stock_count(const quota_stock_t *stock);

#endif
