#include "berylvane/core/fair_share.h"

#include <math.h>
#include <stdlib.h>

#define US_PER_S 1000000
#define CLASS_COUNT (BV_CLASS_CRITICAL + 1)

#define DEFAULT_ACCOUNTS_LIMIT 1024
#define DEFAULT_RECENT_US (2 * (int64_t)US_PER_S)
#define DEFAULT_USUAL_US (1800 * (int64_t)US_PER_S)
#define DEFAULT_LEARNING_US (60 * (int64_t)US_PER_S)
/* Longer silence of an account does not count in its usual rate, which is the
 * rate while the account sends. Otherwise an account that returns after hours,
 * or moves between nodes, would count as sending many times its usual rate. */
#define SILENCE_LIMIT_US (10 * (int64_t)US_PER_S)
/* An account that is silent for this long makes room for another one. */
#define FORGET_AFTER_US (600 * (int64_t)US_PER_S)
#define EVICTION_INTERVAL_US ((int64_t)US_PER_S)
/* Requests that are added to both rates: the ratio of an account with less
 * than a request in the recent time would otherwise be 0 or many times 1. */
#define PRIOR_REQUESTS 4
/* Cost of a request while none is known; only ratios of costs matter. */
#define ASSUMED_COST_US 1000.0
#define MEAN_COST_WEIGHT 0.01
/* Work beyond this multiple of the usual rate, and of the ratio common to all
 * accounts, does not count in the usual rate. While that ratio is 1, the usual
 * rate thus grows at most by a factor of e in its time constant. */
#define GROWTH_RATIO_LIMIT 2
/* Lowest levels, for requests beyond the usual rate: LEVELS_PER_DOUBLING for
 * each doubling of the position. */
#define EXCESS_LEVELS 4
#define LEVELS_PER_DOUBLING 1
#define RATED_LEVELS (BV_PRIORITY_LEVELS - EXCESS_LEVELS)
#define COMMON_RATIO_INTERVAL_US (US_PER_S / 10)
/* With fewer accounts, one of them could determine the common ratio. */
#define COMMON_RATIO_ACCOUNTS 8

/* Demand of an account in one class. */
typedef struct {
    /* Decaying sums of slot time. */
    double recent_us;
    double usual_us;
    /* Time for which the usual rate was averaged. */
    int64_t learned_us;
    /* Time of the last request; 0 if there was none. */
    int64_t updated_us;
} flow_t;

typedef struct {
    char *name;
    flow_t flows[CLASS_COUNT];
} account_t;

struct bv_fair_share {
    bv_fair_share_options_t options;
    GHashTable *accounts;
    account_t others;
    double mean_cost_us;
    int64_t evicted_us;
    /* For each class, the ratio that is common to its accounts. */
    double common_ratio[CLASS_COUNT];
    int64_t common_ratio_us[CLASS_COUNT];
};

static void
free_account(gpointer data)
{
    account_t *account = data;
    g_free(account->name);
    g_free(account);
}

static int64_t
value_or(int64_t value, int64_t default_value)
{
    return value > 0 ? value : default_value;
}

bv_fair_share_t *
bv_fair_share_create(const bv_fair_share_options_t *options)
{
    bv_fair_share_t *share = g_new0(bv_fair_share_t, 1);
    share->options = (bv_fair_share_options_t){
        .accounts_limit = (uint32_t)value_or(options->accounts_limit,
                                             DEFAULT_ACCOUNTS_LIMIT),
        .recent_us = value_or(options->recent_us, DEFAULT_RECENT_US),
        .usual_us = value_or(options->usual_us, DEFAULT_USUAL_US),
        .learning_us = value_or(options->learning_us, DEFAULT_LEARNING_US),
    };
    share->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    share->mean_cost_us = ASSUMED_COST_US;
    for (int i = 0; i < CLASS_COUNT; i++) {
        share->common_ratio[i] = 1;
    }
    return share;
}

void
bv_fair_share_destroy(bv_fair_share_t *share)
{
    if (share == NULL) {
        return;
    }
    g_hash_table_destroy(share->accounts);
    g_free(share);
}

static bool
is_silent(const flow_t *flow, int64_t now_us, int64_t limit_us)
{
    return flow->updated_us == 0 || now_us - flow->updated_us >= limit_us;
}

static gboolean
is_forgotten(gpointer name, gpointer value, gpointer data)
{
    const account_t *account = value;
    const int64_t *now_us = data;
    (void)name;
    for (int i = 0; i < CLASS_COUNT; i++) {
        if (!is_silent(&account->flows[i], *now_us, FORGET_AFTER_US)) {
            return FALSE;
        }
    }
    return TRUE;
}

static bool
has_room(bv_fair_share_t *share, int64_t now_us)
{
    bool is_full =
        g_hash_table_size(share->accounts) >= share->options.accounts_limit;
    if (is_full && now_us - share->evicted_us >= EVICTION_INTERVAL_US) {
        share->evicted_us = now_us;
        is_full = g_hash_table_foreach_remove(share->accounts, is_forgotten,
                                              &now_us) == 0;
    }
    return !is_full;
}

static account_t *
ensure_account(bv_fair_share_t *share, int64_t now_us, const char *name)
{
    account_t *account = g_hash_table_lookup(share->accounts, name);
    if (account != NULL) {
        return account;
    }
    if (!has_room(share, now_us)) {
        return &share->others;
    }
    account = g_new0(account_t, 1);
    account->name = g_strdup(name);
    g_hash_table_insert(share->accounts, account->name, account);
    return account;
}

static double
decay(int64_t elapsed_us, int64_t constant_us)
{
    return exp(-(double)elapsed_us / (double)constant_us);
}

static double
recent_slots(const bv_fair_share_t *share, int64_t now_us, const flow_t *flow)
{
    int64_t constant_us = share->options.recent_us;
    return flow->recent_us * decay(now_us - flow->updated_us, constant_us) /
           (double)constant_us;
}

static bool
is_learned(const bv_fair_share_t *share, const flow_t *flow)
{
    return flow->learned_us >= share->options.learning_us;
}

/* While it is learned, the usual rate is the mean since the first request. */
static double
usual_slots(const bv_fair_share_t *share, const flow_t *flow)
{
    int64_t time_us = is_learned(share, flow) ? share->options.usual_us
                                              : MAX(1, flow->learned_us);
    return flow->usual_us / (double)time_us;
}

/*
 * Returns the recent rate relative to the usual rate. The prior of requests of
 * `cost_us` assumes that the account's demand changes as that of the others.
 */
static double
relative_rate(const bv_fair_share_t *share, int64_t now_us, const flow_t *flow,
              double cost_us, double common_ratio)
{
    double prior_slots =
        PRIOR_REQUESTS * cost_us / (double)share->options.recent_us;
    return (recent_slots(share, now_us, flow) + prior_slots * common_ratio) /
           (usual_slots(share, flow) + prior_slots);
}

typedef struct {
    double ratio;
    double weight;
} weighted_ratio_t;

static int
compare_ratios(const void *left, const void *right)
{
    double a = ((const weighted_ratio_t *)left)->ratio;
    double b = ((const weighted_ratio_t *)right)->ratio;
    return a < b ? -1 : a > b;
}

static GArray *
list_ratios(const bv_fair_share_t *share, int64_t now_us, bv_class_t class)
{
    GArray *ratios = g_array_new(FALSE, FALSE, sizeof(weighted_ratio_t));
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, share->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const flow_t *flow = &((const account_t *)value)->flows[class];
        if (is_silent(flow, now_us, SILENCE_LIMIT_US) ||
            !is_learned(share, flow)) {
            continue;
        }
        weighted_ratio_t item = {
            relative_rate(share, now_us, flow, share->mean_cost_us,
                          share->common_ratio[class]),
            usual_slots(share, flow),
        };
        g_array_append_val(ratios, item);
    }
    return ratios;
}

/* Reduces the largest weight to half of the sum of the others, so that one
 * account never determines the median. Returns the sum. */
static double
limit_largest_weight(GArray *ratios)
{
    weighted_ratio_t *items = (weighted_ratio_t *)(void *)ratios->data;
    guint largest = 0;
    double sum = 0;
    for (guint i = 0; i < ratios->len; i++) {
        sum += items[i].weight;
        largest = items[i].weight > items[largest].weight ? i : largest;
    }
    double others = sum - items[largest].weight;
    items[largest].weight = MIN(items[largest].weight, others / 2);
    return others + items[largest].weight;
}

static double
weighted_median(GArray *ratios)
{
    weighted_ratio_t *items = (weighted_ratio_t *)(void *)ratios->data;
    double half = limit_largest_weight(ratios) / 2;
    qsort(items, ratios->len, sizeof(*items), compare_ratios);
    guint i = 0;
    double below = items[0].weight;
    while (below < half && i + 1 < ratios->len) {
        below += items[++i].weight;
    }
    return items[i].ratio;
}

/*
 * Returns the ratio that most accounts of a class have, at least 1. When other
 * entry nodes fail, or all demand rises, the accounts at this node rise
 * together: their levels stay spread over the whole range, and none counts as
 * being beyond its usual rate.
 */
static double
common_ratio(bv_fair_share_t *share, int64_t now_us, bv_class_t class)
{
    if (now_us - share->common_ratio_us[class] < COMMON_RATIO_INTERVAL_US) {
        return share->common_ratio[class];
    }
    GArray *ratios = list_ratios(share, now_us, class);
    share->common_ratio_us[class] = now_us;
    share->common_ratio[class] = ratios->len >= COMMON_RATIO_ACCOUNTS
                                     ? MAX(1, weighted_median(ratios))
                                     : 1;
    g_array_unref(ratios);
    return share->common_ratio[class];
}

static uint8_t
level_of_position(double position)
{
    if (position < 1) {
        return (uint8_t)(BV_PRIORITY_LEVELS - 1 -
                         (int)(position * RATED_LEVELS));
    }
    int below = (int)(log2(position) * LEVELS_PER_DOUBLING);
    return (uint8_t)MAX(0, EXCESS_LEVELS - 1 - below);
}

static void
count_recent(const bv_fair_share_t *share, int64_t now_us, flow_t *flow,
             double cost_us)
{
    int64_t elapsed_us = now_us - flow->updated_us;
    flow->recent_us *= decay(elapsed_us, share->options.recent_us);
    flow->recent_us += cost_us;
}

static void
count_usual(const bv_fair_share_t *share, int64_t now_us, flow_t *flow,
            double cost_us)
{
    int64_t elapsed_us = MIN(now_us - flow->updated_us, SILENCE_LIMIT_US);
    int64_t constant_us = share->options.usual_us;
    if (is_learned(share, flow)) {
        flow->usual_us *= decay(elapsed_us, constant_us);
        flow->usual_us += cost_us;
        return;
    }
    flow->usual_us += cost_us;
    flow->learned_us += elapsed_us;
    if (is_learned(share, flow)) {
        /* From here on, the sum decays: it starts with the learned rate. */
        flow->usual_us *= (double)constant_us / (double)flow->learned_us;
    }
}

/* Counts a request of an account whose relative rate is `ratio`. */
static void
count_request(const bv_fair_share_t *share, int64_t now_us, flow_t *flow,
              double cost_us, double ratio)
{
    if (flow->updated_us == 0) {
        flow->updated_us = now_us;
    }
    count_recent(share, now_us, flow, cost_us);
    count_usual(share, now_us, flow,
                cost_us * MIN(1, GROWTH_RATIO_LIMIT / ratio));
    flow->updated_us = now_us;
}

static double
weigh_request(bv_fair_share_t *share, int64_t cost_us)
{
    if (cost_us <= 0) {
        return share->mean_cost_us;
    }
    share->mean_cost_us +=
        ((double)cost_us - share->mean_cost_us) * MEAN_COST_WEIGHT;
    return (double)cost_us;
}

uint8_t
bv_fair_share_level(bv_fair_share_t *share, int64_t now_us,
                    const bv_fair_share_request_t *request)
{
    account_t *account = ensure_account(share, now_us, request->account);
    flow_t *flow = &account->flows[request->importance];
    double cost_us = weigh_request(share, request->cost_us);
    double ratio = 1;
    if (is_learned(share, flow)) {
        /* The request itself is not counted: the rate before a random arrival
         * is not biased, while the rate after it is too high by a request. */
        double common = common_ratio(share, now_us, request->importance);
        ratio = relative_rate(share, now_us, flow,
                              MAX(cost_us, share->mean_cost_us), common) /
                common;
    }
    count_request(share, now_us, flow, cost_us, ratio);
    return level_of_position(request->random * ratio);
}

bool
bv_fair_share_has_own(const bv_fair_share_t *share, const char *account)
{
    return g_hash_table_contains(share->accounts, account);
}

uint32_t
bv_fair_share_count(const bv_fair_share_t *share)
{
    return g_hash_table_size(share->accounts);
}

/* Returns false if the account has sent nothing. */
static bool
read_usage(const bv_fair_share_t *share, int64_t now_us,
           const account_t *account, bv_fair_share_usage_t *usage)
{
    bool is_counted = false;
    *usage = (bv_fair_share_usage_t){
        .account =
            account->name != NULL ? account->name : BV_FAIR_SHARE_OTHERS,
    };
    for (int i = 0; i < CLASS_COUNT; i++) {
        const flow_t *flow = &account->flows[i];
        if (flow->updated_us == 0) {
            continue;
        }
        is_counted = true;
        usage->recent_slots += recent_slots(share, now_us, flow);
        usage->usual_slots += usual_slots(share, flow);
        usage->is_learned = usage->is_learned || is_learned(share, flow);
    }
    return is_counted;
}

void
bv_fair_share_foreach(const bv_fair_share_t *share, int64_t now_us,
                      void (*visit)(void *context,
                                    const bv_fair_share_usage_t *usage),
                      void *context)
{
    bv_fair_share_usage_t usage;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, share->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (read_usage(share, now_us, value, &usage)) {
            visit(context, &usage);
        }
    }
    if (read_usage(share, now_us, &share->others, &usage)) {
        visit(context, &usage);
    }
}
