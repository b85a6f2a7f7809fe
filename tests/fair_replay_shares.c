#include "fair_replay.h"

#include <stdlib.h>

bool
replay_is_surging(const replay_options_t *options, uint32_t account)
{
    return account >= options->surge_first &&
           account < options->surge_first + options->surge_count;
}

typedef struct {
    double offered;
    double served;
} account_counts_t;

static double
share_of(const account_counts_t *counts)
{
    return counts->offered > 0 ? counts->served / counts->offered : 1;
}

static int
compare_shares(const void *left, const void *right)
{
    double a = share_of(left);
    double b = share_of(right);
    return a < b ? -1 : a > b;
}

static double
share_of_first(const account_counts_t *accounts, uint32_t count)
{
    account_counts_t sum = {0};
    for (uint32_t i = 0; i < count; i++) {
        sum.offered += accounts[i].offered;
        sum.served += accounts[i].served;
    }
    return share_of(&sum);
}

replay_shares_t
replay_shares(const replay_options_t *options, const replay_counts_t *counts)
{
    account_counts_t accounts[REPLAY_ACCOUNTS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < REPLAY_ACCOUNTS; i++) {
        if (!replay_is_surging(options, i)) {
            accounts[count++] =
                (account_counts_t){counts->offered[i], counts->served[i]};
        }
    }
    qsort(accounts, count, sizeof(*accounts), compare_shares);
    return (replay_shares_t){
        .worst = share_of(&accounts[0]),
        .worst_tenth = share_of_first(accounts, count / 10),
        .all = share_of_first(accounts, count),
        .wasted =
            counts->slot_us > 0 ? counts->wasted_us / counts->slot_us : 0,
    };
}

double
replay_share(const replay_counts_t *counts, uint32_t account)
{
    account_counts_t sum = {counts->offered[account], counts->served[account]};
    return share_of(&sum);
}

const char *
replay_policy_name(replay_policy_t policy)
{
    static const char *const names[] = {
        [REPLAY_FAIR_SHARE] = "fair share",
        [REPLAY_NAME_HASH] = "hash of the name",
        [REPLAY_FIRST_COME] = "first come",
    };
    return names[policy];
}
