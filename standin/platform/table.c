#include "service.h"

#include "berylvane/common/clock.h"

#include <stdlib.h>
#include <string.h>

#define ROWS_LIMIT 500
/* The published limit of entries in a transaction. */
#define TRANSACTION_ENTRIES_LIMIT 100

static guint
hash_row(gconstpointer data)
{
    const row_t *row = data;
    return g_str_hash(row->table) * 31 + g_str_hash(row->key);
}

static gboolean
equal_rows(gconstpointer left, gconstpointer right)
{
    const row_t *left_row = left;
    const row_t *right_row = right;
    return strcmp(left_row->table, right_row->table) == 0 &&
           strcmp(left_row->key, right_row->key) == 0;
}

static void
destroy_row(gpointer data)
{
    row_t *row = data;
    g_free(row->table);
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

GHashTable *
table_create(void)
{
    return g_hash_table_new_full(hash_row, equal_rows, destroy_row, NULL);
}

GHashTable *
table_copy(GHashTable *rows)
{
    GHashTable *copy = table_create();
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, rows);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const row_t *row = key;
        row_t *row_copy = g_new0(row_t, 1);
        row_copy->table = g_strdup(row->table);
        row_copy->key = g_strdup(row->key);
        row_copy->value = g_strdup(row->value);
        row_copy->version = row->version;
        row_copy->is_deleted = row->is_deleted;
        g_hash_table_add(copy, row_copy);
    }
    return copy;
}

static const char *
text_of(const json_t *object, const char *name)
{
    return json_string_value(json_object_get(object, name));
}

static row_t *
find_row(const service_t *service, const json_t *entry)
{
    row_t name = {
        .table = (char *)text_of(entry, "Table"),
        .key = (char *)text_of(entry, "Key"),
    };
    return g_hash_table_lookup(service->rows, &name);
}

/* The row's version, 0 if the row does not exist. */
static int64_t
version_of(const row_t *row)
{
    return row != NULL && !row->is_deleted ? row->version : 0;
}

static json_t *
row_to_json(const row_t *row)
{
    json_t *json =
        json_pack("{s:s, s:s, s:s, s:I}", "Table", row->table, "part", "",
                  "Key", row->key, "Ver", (json_int_t)row->version);
    if (row->is_deleted) {
        json_object_set_new(json, "Deleted", json_true());
        return json;
    }
    json_object_set_new(json, "Value", json_string(row->value));
    return json;
}

static json_t *
rows_answer(const service_t *service, json_t *rows, bool truncated)
{
    return json_pack("{s:o, s:b, s:I, s:I}", "Rows", rows, "Truncated",
                     truncated, "Ver", (json_int_t)service->version, "NowMs",
                     (json_int_t)(bv_clock_now_us() / BV_US_PER_MS));
}

/* Whether `entries` is an array whose entries all have a table and a key. */
static bool
all_entries_identify_rows(const json_t *entries)
{
    size_t index;
    json_t *entry;
    json_array_foreach((json_t *)entries, index, entry) {
        if (text_of(entry, "Table") == NULL || text_of(entry, "Key") == NULL) {
            return false;
        }
    }
    return json_is_array(entries);
}

/*
 * Whether the transaction writes and removes no more rows than the published
 * limit allows. docs/PLATFORM.md does not say whether conditions count among
 * the entries; a condition for each change is accepted beside the changes.
 */
static bool
is_within_limit(const json_t *request)
{
    size_t conditions =
        json_array_size(json_object_get(request, "ExpectedRevision"));
    size_t changes = json_array_size(json_object_get(request, "Writes")) +
                     json_array_size(json_object_get(request, "Remove"));
    return changes <= TRANSACTION_ENTRIES_LIMIT &&
           conditions + changes <= 2 * TRANSACTION_ENTRIES_LIMIT;
}

static bool
is_well_formed(const json_t *request)
{
    const json_t *conditions = json_object_get(request, "ExpectedRevision");
    const json_t *writes = json_object_get(request, "Writes");
    const json_t *removals = json_object_get(request, "Remove");
    return all_entries_identify_rows(conditions) &&
           all_entries_identify_rows(writes) &&
           all_entries_identify_rows(removals) && is_within_limit(request);
}

/*
 * Whether all rows have the expected versions. Appends the current rows that
 * the conditions name to `rows`, as far as they exist, for the answer to a
 * failed transaction.
 */
static bool
versions_match(const service_t *service, const json_t *conditions,
               json_t *rows)
{
    bool all_match = true;
    size_t index;
    json_t *entry;
    json_array_foreach((json_t *)conditions, index, entry) {
        const row_t *row = find_row(service, entry);
        all_match &= version_of(row) ==
                     json_integer_value(json_object_get(entry, "Ver"));
        if (version_of(row) != 0) {
            json_array_append_new(rows, row_to_json(row));
        }
    }
    return all_match;
}

/*
 * Returns the row that an entry names, with the service's version and without
 * a value. Creates the row if it does not exist.
 */
static row_t *
touch_row(service_t *service, const json_t *entry)
{
    row_t *row = find_row(service, entry);
    if (row == NULL) {
        row = g_new0(row_t, 1);
        row->table = g_strdup(text_of(entry, "Table"));
        row->key = g_strdup(text_of(entry, "Key"));
        g_hash_table_add(service->rows, row);
    }
    row->version = service->version;
    g_clear_pointer(&row->value, g_free);
    return row;
}

static void
apply_changes(service_t *service, const json_t *request)
{
    size_t index;
    json_t *entry;
    service->version++;
    json_array_foreach(json_object_get(request, "Writes"), index, entry) {
        row_t *row = touch_row(service, entry);
        row->value = g_strdup(text_of(entry, "Value"));
        row->is_deleted = false;
    }
    json_array_foreach(json_object_get(request, "Remove"), index, entry) {
        touch_row(service, entry)->is_deleted = true;
    }
}

json_t *
table_transact(service_t *service, const json_t *request, uint16_t *status)
{
    if (!is_well_formed(request)) {
        *status = 400;
        return json_pack("{s:s}", "error", "transaction is not well formed");
    }
    service->writes++;
    json_t *rows = json_array();
    if (!versions_match(service, json_object_get(request, "ExpectedRevision"),
                        rows)) {
        *status = 412;
        return rows_answer(service, rows, false);
    }
    json_decref(rows);
    apply_changes(service, request);
    return json_pack("{s:I, s:I}", "Ver", (json_int_t)service->version,
                     "NowMs", (json_int_t)(bv_clock_now_us() / BV_US_PER_MS));
}

static const char *
query_parameter(const GHashTable *query, const char *name)
{
    const char *value = g_hash_table_lookup((GHashTable *)query, name);
    return value != NULL ? value : "";
}

static gint
compare_keys(gconstpointer left, gconstpointer right)
{
    const row_t *left_row = *(row_t *const *)left;
    const row_t *right_row = *(row_t *const *)right;
    return strcmp(left_row->key, right_row->key);
}

static gint
compare_versions(gconstpointer left, gconstpointer right)
{
    const row_t *left_row = *(row_t *const *)left;
    const row_t *right_row = *(row_t *const *)right;
    return left_row->version < right_row->version
               ? -1
               : left_row->version > right_row->version;
}

/* Returns the rows of a table, unsorted; the service owns the rows. */
static GPtrArray *
rows_of(const service_t *service, const char *table)
{
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer row;
    g_hash_table_iter_init(&iterator, service->rows);
    while (g_hash_table_iter_next(&iterator, &row, NULL)) {
        if (strcmp(((row_t *)row)->table, table) == 0) {
            g_ptr_array_add(rows, row);
        }
    }
    return rows;
}

json_t *
table_get(service_t *service, const GHashTable *query, uint16_t *status)
{
    (void)status;
    service->reads++;
    const char *from = query_parameter(query, "From");
    const char *to = query_parameter(query, "To");
    guint64 limit =
        g_ascii_strtoull(query_parameter(query, "Limit"), NULL, 10);
    limit = limit > 0 ? MIN(limit, ROWS_LIMIT) : ROWS_LIMIT;
    GPtrArray *table_rows = rows_of(service, query_parameter(query, "Table"));
    g_ptr_array_sort(table_rows, compare_keys);
    json_t *rows = json_array();
    bool truncated = false;
    for (guint i = 0; i < table_rows->len; i++) {
        const row_t *row = table_rows->pdata[i];
        if (row->is_deleted || strcmp(row->key, from) < 0 ||
            (to[0] != '\0' && strcmp(row->key, to) >= 0)) {
            continue;
        }
        if (json_array_size(rows) == limit) {
            truncated = true;
            break;
        }
        json_array_append_new(rows, row_to_json(row));
    }
    g_ptr_array_unref(table_rows);
    return rows_answer(service, rows, truncated);
}

json_t *
table_changes(const service_t *service, const GHashTable *query,
              uint16_t *status)
{
    int64_t after = g_ascii_strtoll(query_parameter(query, "after"), NULL, 10);
    if (after < service->forgotten_version) {
        *status = 410;
        return json_pack("{s:s}", "error", "history is gone");
    }
    if (after > service->version) {
        *status = 410;
        return json_pack("{s:s}", "error", "version was not issued");
    }
    GPtrArray *table_rows = rows_of(service, query_parameter(query, "Table"));
    g_ptr_array_sort(table_rows, compare_versions);
    json_t *rows = json_array();
    for (guint i = 0; i < table_rows->len; i++) {
        const row_t *row = table_rows->pdata[i];
        if (row->version > after) {
            json_array_append_new(rows, row_to_json(row));
        }
    }
    g_ptr_array_unref(table_rows);
    if (json_array_size(rows) == 0) {
        json_decref(rows);
        return NULL;
    }
    return rows_answer(service, rows, false);
}
