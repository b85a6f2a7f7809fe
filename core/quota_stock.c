#include "quota_stock.h"

typedef struct {
    uint32_t count;
    int64_t expires_us;
} quota_lot_t;

static quota_lot_t *
lot_at(const quota_stock_t *stock, guint index)
{
    return &g_array_index(stock->lots, quota_lot_t, index);
}

void
quota_stock_init(quota_stock_t *stock)
{
    stock->lots = g_array_new(FALSE, FALSE, sizeof(quota_lot_t));
}

void
quota_stock_clear(quota_stock_t *stock)
{
    g_array_unref(stock->lots);
}

void
quota_stock_discard(quota_stock_t *stock)
{
    g_array_set_size(stock->lots, 0);
}

void
quota_stock_add(quota_stock_t *stock, uint32_t count, int64_t expires_us)
{
    guint index = stock->lots->len;
    while (index > 0 && lot_at(stock, index - 1)->expires_us > expires_us) {
        index--;
    }
    if (index > 0 && lot_at(stock, index - 1)->expires_us == expires_us) {
        lot_at(stock, index - 1)->count += count;
        return;
    }
    quota_lot_t lot = {count, expires_us};
    g_array_insert_val(stock->lots, index, lot);
}

bool
quota_stock_take(quota_stock_t *stock, int64_t now_us, int64_t *expires_us)
{
    quota_stock_drop_expired(stock, now_us);
    if (stock->lots->len == 0) {
        return false;
    }
    quota_lot_t *lot = lot_at(stock, 0);
    *expires_us = lot->expires_us;
    lot->count--;
    if (lot->count == 0) {
        g_array_remove_index(stock->lots, 0);
    }
    return true;
}

void
quota_stock_drop_expired(quota_stock_t *stock, int64_t now_us)
{
    guint expired = 0;
    while (expired < stock->lots->len &&
           lot_at(stock, expired)->expires_us <= now_us) {
        expired++;
    }
    if (expired > 0) {
        g_array_remove_range(stock->lots, 0, expired);
    }
}

uint32_t
quota_stock_count(const quota_stock_t *stock)
{
    uint32_t count = 0;
    for (guint i = 0; i < stock->lots->len; i++) {
        count += lot_at(stock, i)->count;
    }
    return count;
}
