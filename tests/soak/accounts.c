#include "soak.h"

#include "berylvane/common/clock.h"
#include "berylvane/core/accounts.h"

#include <math.h>
#include <string.h>

/* The quota that the nodes keep; see docs/design/quota.md. */
#define WINDOW_US (5 * BV_US_PER_S)
#define OVERAGE 1.1
#define SLACK 20
#define RECORD_WORDS 6
#define CALLER_QUERY "?caller="

/* Services that outside callers reach; the others get calls of targets. */
static const char *const entry_services[] = {"catalogue", "orders", NULL};

/* A line of a target's record. */
typedef struct {
    const char *service;
    const char *path;
    int64_t at_us;
    const char *account;
} execution_t;

/* Times (int64_t) at which requests of each account began, by its name. */
typedef struct {
    soak_t *soak;
    GHashTable *times;
    /* Paths seen; each request has its own. */
    GHashTable *paths;
    uint32_t entries;
} tally_t;

static json_t *
digest_keys(const bv_key_secret_t *secret, const json_t *keys)
{
    json_t *digests = json_array();
    size_t index;
    const json_t *key;
    json_array_foreach(keys, index, key) {
        bv_key_digest_t digest;
        char text[2 * BV_KEY_DIGEST_BYTES + 1];
        bv_key_digest(secret, json_string_value(key), json_string_length(key),
                      &digest);
        bv_hex_write(text, digest.bytes, sizeof(digest.bytes));
        json_array_append_new(digests, json_string(text));
    }
    return digests;
}

/* Returns the section "accounts", before or after the change of keys. */
static json_t *
build_section(const json_t *deployment, bool has_changed_keys)
{
    bv_key_secret_t secret;
    const char *gossip_key = json_string_value(
        json_object_get(json_object_get(deployment, "node"), "gossip_key"));
    if (gossip_key == NULL || !bv_key_secret_derive(gossip_key, &secret)) {
        g_error(
            "the deployment needs /node/gossip_key, 64 hexadecimal digits");
    }
    json_t *section = json_object();
    const char *name;
    json_t *source;
    json_object_foreach(json_object_get(deployment, "accounts"), name,
                        source) {
        json_t *account = json_deep_copy(source);
        const json_t *changed = json_object_get(source, "keys_changed");
        const json_t *keys = has_changed_keys && changed != NULL
                                 ? changed
                                 : json_object_get(source, "keys");
        json_object_set_new(account, "key_digests",
                            digest_keys(&secret, keys));
        json_object_del(account, "keys");
        json_object_del(account, "keys_changed");
        json_object_set_new(section, name, account);
    }
    return section;
}

char *
soak_write_base(const json_t *deployment, const char *work, const char *name,
                bool has_changed_keys)
{
    char *source = g_strdup_printf(SOAK_SOURCE "/../e2e/%s.json", name);
    char *path = g_strdup_printf("%s/%s%s.json", work, name,
                                 has_changed_keys ? "_keys" : "");
    json_t *base = json_load_file(source, 0, NULL);
    json_object_set_new(base, "accounts",
                        build_section(deployment, has_changed_keys));
    if (base == NULL || json_dump_file(base, path, JSON_INDENT(2)) != 0) {
        g_error("cannot write %s from %s", path, source);
    }
    json_decref(base);
    g_free(source);
    return path;
}

/*
 * Checks one execution by the caller that its path names: an account, or one
 * of "none" and "unknown" (no key, or one that no configuration contains),
 * "added" (a key that only later configurations contain) and "removed".
 */
static void
check_caller(tally_t *tally, const execution_t *execution)
{
    soak_t *soak = tally->soak;
    const char *caller = strstr(execution->path, CALLER_QUERY);
    if (json_object_get(soak->accounts, execution->account) == NULL) {
        soak_finding(soak, "%s ran %s for \"%s\", which is no account",
                     execution->service, execution->path, execution->account);
        return;
    }
    if (caller == NULL) {
        return;
    }
    char *name = g_strndup(caller + strlen(CALLER_QUERY),
                           strcspn(caller + strlen(CALLER_QUERY), "&"));
    bool was_added = strcmp(name, "added") == 0;
    const char *expected = was_added || strcmp(name, "removed") == 0
                               ? SOAK_CHANGED_ACCOUNT
                               : name;
    if (strcmp(expected, execution->account) != 0) {
        soak_finding(soak, "%s ran %s for the account %s", execution->service,
                     execution->path, execution->account);
    }
    if (was_added && execution->at_us < soak->keys_changed_us) {
        soak_finding(soak, "%s ran %s before its key was added",
                     execution->service, execution->path);
    }
    g_free(name);
}

/*
 * Counts a request once: a node may repeat an idempotent request, which is not
 * charged again. The load tool repeats no request of an account with a rate,
 * unless it has an idempotency key.
 */
static void
count_request(tally_t *tally, const execution_t *execution)
{
    int64_t *first_us = g_hash_table_lookup(tally->paths, execution->path);
    if (first_us != NULL) {
        *first_us = MIN(*first_us, execution->at_us);
        return;
    }
    GPtrArray *times = g_hash_table_lookup(tally->times, execution->account);
    if (times == NULL) {
        times = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(tally->times, g_strdup(execution->account), times);
    }
    first_us = g_new(int64_t, 1);
    *first_us = execution->at_us;
    g_ptr_array_add(times, first_us);
    g_hash_table_insert(tally->paths, g_strdup(execution->path), first_us);
}

static void
check_line(tally_t *tally, const char *line)
{
    char **words = g_strsplit(line, " ", RECORD_WORDS);
    if (g_strv_length(words) == RECORD_WORDS &&
        g_strv_contains(entry_services, words[0])) {
        execution_t execution = {
            .service = words[0],
            .path = words[2],
            .at_us = g_ascii_strtoll(words[4], NULL, 10),
            .account = words[5],
        };
        tally->entries++;
        check_caller(tally, &execution);
        if (strstr(execution.path, CALLER_QUERY) != NULL) {
            count_request(tally, &execution);
        }
    }
    g_strfreev(words);
}

static void
check_record(tally_t *tally, size_t instance)
{
    char *text = NULL;
    char *path = g_build_filename(
        cluster_records_directory(tally->soak->cluster),
        cluster_instance_name(tally->soak->cluster, instance), NULL);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **lines = g_strsplit(text, "\n", -1);
        for (char **line = lines; *line != NULL; line++) {
            check_line(tally, *line);
        }
        g_strfreev(lines);
    }
    else {
        soak_finding(tally->soak, "cannot read the record %s", path);
    }
    g_free(text);
    g_free(path);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const int64_t *first = *(int64_t *const *)a;
    const int64_t *second = *(int64_t *const *)b;
    return (*first > *second) - (*first < *second);
}

/* Returns the most requests in any window; sorts the times. */
static guint
most_in_window(GPtrArray *times)
{
    guint most = 0;
    guint begin = 0;
    g_ptr_array_sort(times, compare_times);
    for (guint i = 0; i < times->len; i++) {
        int64_t at_us = *(int64_t *)times->pdata[i];
        while (at_us - *(int64_t *)times->pdata[begin] >= WINDOW_US) {
            begin++;
        }
        most = MAX(most, i - begin + 1);
    }
    return most;
}

static double
number_of(const json_t *account, const char *name)
{
    return json_number_value(json_object_get(account, name));
}

static void
check_quotas(tally_t *tally)
{
    const char *name;
    json_t *account;
    json_object_foreach(tally->soak->accounts, name, account) {
        double rate_per_s = number_of(account, "rate_per_s");
        double bound = (rate_per_s * WINDOW_US / BV_US_PER_S +
                        number_of(account, "burst")) *
                           OVERAGE +
                       SLACK;
        GPtrArray *times = g_hash_table_lookup(tally->times, name);
        guint most = times != NULL ? most_in_window(times) : 0;
        printf("account %s: %u requests ran, at most %u in 5 s, bound %.0f\n",
               name, times != NULL ? times->len : 0, most,
               rate_per_s > 0 ? bound : INFINITY);
        if (rate_per_s > 0 && most > bound) {
            soak_finding(tally->soak, "%s ran %u requests in 5 s, over %.0f",
                         name, most, bound);
        }
    }
}

void
soak_check_records(soak_t *soak)
{
    tally_t tally = {
        .soak = soak,
        .times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_ptr_array_unref),
        .paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    for (size_t i = 0; i < cluster_size(soak->cluster); i++) {
        check_record(&tally, i);
    }
    if (tally.entries == 0) {
        soak_finding(soak, "the targets' records hold no request of a caller");
    }
    check_quotas(&tally);
    g_hash_table_destroy(tally.paths);
    g_hash_table_destroy(tally.times);
}
