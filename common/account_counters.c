#include "berylvane/common/account_counters.h"

#define METRIC "berylvane_account_answers_total"
#define REFUSED_METRIC "berylvane_account_refused_priority_total"
#define RECENT_METRIC "berylvane_account_recent_slots"
#define USUAL_METRIC "berylvane_account_usual_slots"

/* Counts by status are of targets and of the node itself. */
typedef struct {
    uint64_t counts[BV_ACCOUNT_STATUS_END][2];
    uint64_t refused;
    bv_account_rates_t rates;
} account_counts_t;

static const char *const status_names[] = {
    [BV_ACCOUNT_STATUS_2XX] = "2xx", [BV_ACCOUNT_STATUS_3XX] = "3xx",
    [BV_ACCOUNT_STATUS_401] = "401", [BV_ACCOUNT_STATUS_403] = "403",
    [BV_ACCOUNT_STATUS_404] = "404", [BV_ACCOUNT_STATUS_429] = "429",
    [BV_ACCOUNT_STATUS_4XX] = "4xx", [BV_ACCOUNT_STATUS_503] = "503",
    [BV_ACCOUNT_STATUS_5XX] = "5xx",
};

static GMutex mutex;
/* account_counts_t by name; NULL until the first count. */
static GTree *accounts;

static gint
compare_names(gconstpointer left, gconstpointer right, gpointer context)
{
    (void)context;
    return g_strcmp0(left, right);
}

const char *
bv_account_status_name(bv_account_status_t status)
{
    return status_names[status];
}

static bv_account_status_t
classify(uint16_t status)
{
    switch (status) {
    case 401:
        return BV_ACCOUNT_STATUS_401;
    case 403:
        return BV_ACCOUNT_STATUS_403;
    case 404:
        return BV_ACCOUNT_STATUS_404;
    case 429:
        return BV_ACCOUNT_STATUS_429;
    case 503:
        return BV_ACCOUNT_STATUS_503;
    default:
        break;
    }
    if (status >= 500) {
        return BV_ACCOUNT_STATUS_5XX;
    }
    if (status >= 400) {
        return BV_ACCOUNT_STATUS_4XX;
    }
    return status >= 300 ? BV_ACCOUNT_STATUS_3XX : BV_ACCOUNT_STATUS_2XX;
}

/* Returns the counts of an account, or of the others if there is no room. */
static account_counts_t *
find_counts(const char *name)
{
    if (accounts == NULL) {
        accounts = g_tree_new_full(compare_names, NULL, g_free, g_free);
    }
    account_counts_t *counts = g_tree_lookup(accounts, name);
    if (counts == NULL && g_tree_nnodes(accounts) >= BV_ACCOUNT_LABELS) {
        name = BV_ACCOUNT_OTHERS;
        counts = g_tree_lookup(accounts, name);
    }
    if (counts == NULL) {
        counts = g_new0(account_counts_t, 1);
        g_tree_insert(accounts, g_strdup(name), counts);
    }
    return counts;
}

void
bv_account_counters_add(const char *account, uint16_t status, bool is_own)
{
    g_mutex_lock(&mutex);
    account_counts_t *counts = find_counts(account != NULL ? account : "");
    counts->counts[classify(status)][is_own]++;
    g_mutex_unlock(&mutex);
}

void
bv_account_counters_add_refused(const char *account)
{
    g_mutex_lock(&mutex);
    find_counts(account)->refused++;
    g_mutex_unlock(&mutex);
}

bool
bv_account_counters_set_rates(const char *account,
                              const bv_account_rates_t *rates)
{
    g_mutex_lock(&mutex);
    account_counts_t *counts =
        accounts != NULL ? g_tree_lookup(accounts, account) : NULL;
    if (counts != NULL) {
        counts->rates = *rates;
    }
    g_mutex_unlock(&mutex);
    return counts != NULL;
}

typedef struct {
    void (*visit)(void *context, const char *account, uint64_t refused,
                  const bv_account_rates_t *rates);
    void *context;
} demand_visitor_t;

static gboolean
visit_demand(gpointer name, gpointer value, gpointer data)
{
    const account_counts_t *counts = value;
    const demand_visitor_t *visitor = data;
    const char *account = name;
    if (*account != '\0') {
        visitor->visit(visitor->context, account, counts->refused,
                       &counts->rates);
    }
    return FALSE;
}

void
bv_account_counters_foreach_demand(
    void (*visit)(void *context, const char *account, uint64_t refused,
                  const bv_account_rates_t *rates),
    void *context)
{
    demand_visitor_t visitor = {visit, context};
    g_mutex_lock(&mutex);
    if (accounts != NULL) {
        g_tree_foreach(accounts, visit_demand, &visitor);
    }
    g_mutex_unlock(&mutex);
}

typedef struct {
    void (*visit)(void *context, const char *account,
                  bv_account_status_t status, bool is_own, uint64_t count);
    void *context;
} visitor_t;

static gboolean
visit_account(gpointer name, gpointer value, gpointer data)
{
    const account_counts_t *counts = value;
    const visitor_t *visitor = data;
    for (int i = 0; i < BV_ACCOUNT_STATUS_END; i++) {
        for (int is_own = 0; is_own < 2; is_own++) {
            if (counts->counts[i][is_own] > 0) {
                visitor->visit(visitor->context, name, (bv_account_status_t)i,
                               is_own, counts->counts[i][is_own]);
            }
        }
    }
    return FALSE;
}

void
bv_account_counters_foreach(void (*visit)(void *context, const char *account,
                                          bv_account_status_t status,
                                          bool is_own, uint64_t count),
                            void *context)
{
    visitor_t visitor = {visit, context};
    g_mutex_lock(&mutex);
    if (accounts != NULL) {
        g_tree_foreach(accounts, visit_account, &visitor);
    }
    g_mutex_unlock(&mutex);
}

static void
append_label(GString *out, const char *value)
{
    for (const char *c = value; *c != '\0'; c++) {
        if (*c == '"' || *c == '\\') {
            g_string_append_c(out, '\\');
        }
        g_string_append_c(out, *c);
    }
}

static void
render_counter(void *context, const char *account, bv_account_status_t status,
               bool is_own, uint64_t count)
{
    GString *out = context;
    g_string_append(out, METRIC "{account=\"");
    append_label(out, account);
    g_string_append_printf(
        out, "\",status=\"%s\",by=\"%s\"} %" G_GUINT64_FORMAT "\n",
        status_names[status], is_own ? "node" : "target", (guint64)count);
}

typedef struct {
    GString *refused;
    GString *recent;
    GString *usual;
} demand_lines_t;

static void
append_account(GString *out, const char *metric, const char *account)
{
    g_string_append_printf(out, "%s{account=\"", metric);
    append_label(out, account);
    g_string_append(out, "\"} ");
}

static void
render_demand(void *context, const char *account, uint64_t refused,
              const bv_account_rates_t *rates)
{
    const demand_lines_t *lines = context;
    append_account(lines->refused, REFUSED_METRIC, account);
    g_string_append_printf(lines->refused, "%" G_GUINT64_FORMAT "\n",
                           (guint64)refused);
    append_account(lines->recent, RECENT_METRIC, account);
    g_string_append_printf(lines->recent, "%.6f\n", rates->recent_slots);
    append_account(lines->usual, USUAL_METRIC, account);
    g_string_append_printf(lines->usual, "%.6f\n", rates->usual_slots);
}

/* Appends and frees `lines`. */
static void
append_metric(GString *out, const char *metric, const char *help,
              const char *type, GString *lines)
{
    if (lines->len > 0) {
        g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", metric,
                               help, metric, type);
        g_string_append(out, lines->str);
    }
    g_string_free(lines, TRUE);
}

void
bv_account_counters_render_demand(GString *out)
{
    demand_lines_t lines = {
        .refused = g_string_new(NULL),
        .recent = g_string_new(NULL),
        .usual = g_string_new(NULL),
    };
    bv_account_counters_foreach_demand(render_demand, &lines);
    append_metric(out, REFUSED_METRIC, "calls refused by priority by account",
                  "counter", lines.refused);
    append_metric(out, RECENT_METRIC, "recent demand of accounts in slots",
                  "gauge", lines.recent);
    append_metric(out, USUAL_METRIC, "usual demand of accounts in slots",
                  "gauge", lines.usual);
}

void
bv_account_counters_render(GString *out)
{
    GString *lines = g_string_new(NULL);
    bv_account_counters_foreach(render_counter, lines);
    append_metric(out, METRIC, "answers to outside callers by account",
                  "counter", lines);
}

void
bv_account_counters_clear(void)
{
    g_mutex_lock(&mutex);
    g_clear_pointer(&accounts, g_tree_destroy);
    g_mutex_unlock(&mutex);
}
