#include "berylvane/core/config_compare.h"

#include "config_internal.h"

#include <string.h>

typedef struct {
    const char *source;
    bv_findings_t *changes;
} comparison_t;

/* A kind of entry, as it is called in texts. */
typedef struct {
    const char *noun;
    /* Keys whose values are secret. */
    const char *const *hidden_keys;
} entry_kind_t;

static const char *const no_keys[] = {NULL};
static const char *const account_hidden_keys[] = {"key_digests", NULL};

static const entry_kind_t section_kind = {"section", no_keys};
static const entry_kind_t department_kind = {"department", no_keys};
static const entry_kind_t service_kind = {"service", no_keys};
static const entry_kind_t route_kind = {"route", no_keys};
static const entry_kind_t account_kind = {"account", account_hidden_keys};

static const char *const plain_sections[] = {"retry", "admission", "fencing",
                                             "callers", NULL};

static void
add_change(const comparison_t *comparison, const char *pointer,
           const entry_kind_t *kind, const char *what)
{
    bv_findings_add(comparison->changes, comparison->source, pointer, "%s %s",
                    kind->noun, what);
}

static char *
value_text(const json_t *value)
{
    if (value == NULL) {
        return g_strdup("unset");
    }
    char *json = json_dumps(value, JSON_ENCODE_ANY | JSON_SORT_KEYS);
    char *text = g_strdup(json);
    free(json);
    return text;
}

static void
append_field(GString *text, const entry_kind_t *kind, const char *key,
             const json_t *before, const json_t *after)
{
    g_string_append(text, text->len > 0 ? ", " : "");
    if (g_strv_contains(kind->hidden_keys, key)) {
        g_string_append_printf(text, "%s differ", key);
        return;
    }
    char *old_text = value_text(before);
    char *new_text = value_text(after);
    g_string_append_printf(text, "%s from %s to %s", key, old_text, new_text);
    g_free(old_text);
    g_free(new_text);
}

static gint
compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Returns the keys of both objects in sorted order; the keys are borrowed. */
static GPtrArray *
all_keys(const json_t *before, const json_t *after)
{
    GPtrArray *keys = g_ptr_array_new();
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)before, key, value) {
        g_ptr_array_add(keys, (char *)key);
    }
    json_object_foreach((json_t *)after, key, value) {
        if (json_object_get(before, key) == NULL) {
            g_ptr_array_add(keys, (char *)key);
        }
    }
    g_ptr_array_sort(keys, compare_names);
    return keys;
}

/*
 * Returns the changed fields of an entry, but for the key `nested`, whose
 * entries are compared on their own. Empty if there are none.
 */
static char *
changed_fields(const entry_kind_t *kind, const char *nested,
               const json_t *before, const json_t *after)
{
    GString *text = g_string_new(NULL);
    GPtrArray *keys = all_keys(before, after);
    for (guint i = 0; i < keys->len; i++) {
        const char *key = keys->pdata[i];
        json_t *old_value = json_object_get(before, key);
        json_t *new_value = json_object_get(after, key);
        if (g_strcmp0(key, nested) != 0 && !json_equal(old_value, new_value)) {
            append_field(text, kind, key, old_value, new_value);
        }
    }
    g_ptr_array_unref(keys);
    return g_string_free(text, FALSE);
}

static void
compare_entry(const comparison_t *comparison, const char *pointer,
              const entry_kind_t *kind, const char *nested,
              const json_t *before, const json_t *after)
{
    if (before == NULL || after == NULL) {
        if (before != after) {
            add_change(comparison, pointer, kind,
                       before == NULL ? "added" : "removed");
        }
        return;
    }
    char *fields = changed_fields(kind, nested, before, after);
    if (*fields != '\0') {
        char *what = g_strdup_printf("changed: %s", fields);
        add_change(comparison, pointer, kind, what);
        g_free(what);
    }
    g_free(fields);
}

typedef void (*compare_t)(const comparison_t *comparison, const char *pointer,
                          const json_t *before, const json_t *after);

static void
compare_route(const comparison_t *comparison, const char *pointer,
              const json_t *before, const json_t *after)
{
    compare_entry(comparison, pointer, &route_kind, NULL, before, after);
}

static void
compare_account(const comparison_t *comparison, const char *pointer,
                const json_t *before, const json_t *after)
{
    compare_entry(comparison, pointer, &account_kind, NULL, before, after);
}

static void
compare_department(const comparison_t *comparison, const char *pointer,
                   const json_t *before, const json_t *after)
{
    compare_entry(comparison, pointer, &department_kind, NULL, before, after);
}

static void
compare_members(const comparison_t *comparison, const char *pointer,
                const char *section, const json_t *before_parent,
                const json_t *after_parent, compare_t compare)
{
    const json_t *before = json_object_get(before_parent, section);
    const json_t *after = json_object_get(after_parent, section);
    char *section_pointer = config_append_name(pointer, section);
    GPtrArray *keys = all_keys(before, after);
    for (guint i = 0; i < keys->len; i++) {
        const char *key = keys->pdata[i];
        char *place = config_append_name(section_pointer, key);
        compare(comparison, place, json_object_get(before, key),
                json_object_get(after, key));
        g_free(place);
    }
    g_ptr_array_unref(keys);
    g_free(section_pointer);
}

static void
compare_service(const comparison_t *comparison, const char *pointer,
                const json_t *before, const json_t *after)
{
    compare_entry(comparison, pointer, &service_kind, "routes", before, after);
    compare_members(comparison, pointer, "routes", before, after,
                    compare_route);
}

/* An accounts section without accounts asks for keys; none does not. */
static void
compare_key_requirement(const comparison_t *comparison, const json_t *before,
                        const json_t *after)
{
    bool had_accounts = json_object_get(before, "accounts") != NULL;
    bool has_accounts = json_object_get(after, "accounts") != NULL;
    if (had_accounts != has_accounts) {
        add_change(comparison, "/accounts", &section_kind,
                   has_accounts ? "added: callers need an API key"
                                : "removed: callers need no API key any more");
    }
}

/* A section that is absent has the defaults, as an empty one. */
static void
compare_plain_sections(const comparison_t *comparison, const json_t *before,
                       const json_t *after)
{
    json_t *empty = json_object();
    for (const char *const *name = plain_sections; *name != NULL; name++) {
        const json_t *old_section = json_object_get(before, *name);
        const json_t *new_section = json_object_get(after, *name);
        char *pointer = config_append_name("", *name);
        compare_entry(comparison, pointer, &section_kind, NULL,
                      old_section != NULL ? old_section : empty,
                      new_section != NULL ? new_section : empty);
        g_free(pointer);
    }
    json_decref(empty);
}

static void
compare_documents(const comparison_t *comparison, const json_t *before,
                  const json_t *after)
{
    compare_plain_sections(comparison, before, after);
    compare_members(comparison, "", "departments", before, after,
                    compare_department);
    compare_key_requirement(comparison, before, after);
    compare_members(comparison, "", "accounts", before, after,
                    compare_account);
    compare_members(comparison, "", "services", before, after,
                    compare_service);
}

static void
compare_site(const json_t *before, const json_t *after, const char *site,
             const comparison_t *comparison)
{
    json_t *old_root = bv_bundle_render(before, site);
    json_t *new_root = bv_bundle_render(after, site);
    compare_documents(comparison, old_root, new_root);
    json_decref(old_root);
    json_decref(new_root);
}

void
bv_config_compare(const json_t *before, const json_t *after,
                  const char *source, bv_findings_t *changes)
{
    bv_findings_t *of_base = bv_findings_create();
    compare_site(before, after, "", &(comparison_t){source, of_base});
    bv_findings_append(changes, of_base);
    GPtrArray *sites = all_keys(json_object_get(before, "overlays"),
                                json_object_get(after, "overlays"));
    for (guint i = 0; i < sites->len; i++) {
        char *site_source =
            g_strdup_printf("site %s", (const char *)sites->pdata[i]);
        bv_findings_t *of_site = bv_findings_create();
        compare_site(before, after, sites->pdata[i],
                     &(comparison_t){site_source, of_site});
        config_remove_shared(of_site, of_base);
        bv_findings_append(changes, of_site);
        bv_findings_destroy(of_site);
        g_free(site_source);
    }
    g_ptr_array_unref(sites);
    bv_findings_destroy(of_base);
}
