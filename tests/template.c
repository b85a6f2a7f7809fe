#include "template.h"

#include <glib.h>
#include <string.h>

#define TAG_OPEN "{{"
#define TAG_CLOSE "}}"

/* What names are looked up in, the innermost section first. */
typedef struct scope {
    const struct scope *outer;
    json_t *entry;
    /* Key or index of the entry. */
    const char *key;
    gboolean is_last;
} scope_t;

typedef struct {
    const char *rest;
    GString *output;
} renderer_t;

static void render_until(renderer_t *renderer, const scope_t *scope,
                         const char *end_name, gboolean is_shown);

static json_t *
find_path(json_t *value, const char *path)
{
    char **parts = g_strsplit(path, ".", -1);
    for (char **part = parts; *part != NULL && value != NULL; part++) {
        value = json_is_array(value)
                    ? json_array_get(value, g_ascii_strtoull(*part, NULL, 10))
                    : json_object_get(value, *part);
    }
    g_strfreev(parts);
    return value;
}

static json_t *
find_value(const scope_t *scope, const char *name)
{
    if (strcmp(name, ".") == 0) {
        return scope->entry;
    }
    for (; scope != NULL; scope = scope->outer) {
        json_t *value = find_path(scope->entry, name);
        if (value != NULL) {
            return value;
        }
    }
    return NULL;
}

static void
append_json(GString *output, const json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY);
    g_string_append(output, text);
    free(text);
}

static void
append_value(renderer_t *renderer, const scope_t *scope, char *name)
{
    char *filter = strchr(name, '|');
    if (filter != NULL) {
        *filter = '\0';
    }
    if (strcmp(name, "@") == 0) {
        g_string_append(renderer->output, scope->key);
        return;
    }
    if (strcmp(name, ",") == 0) {
        g_string_append(renderer->output, scope->is_last ? "" : ",");
        return;
    }
    const json_t *value = find_value(scope, name);
    if (filter == NULL && json_is_string(value)) {
        g_string_append(renderer->output, json_string_value(value));
    }
    else if (value != NULL) {
        append_json(renderer->output, value);
    }
}

static void
render_entries(renderer_t *renderer, const scope_t *scope, json_t *value,
               const char *name)
{
    const char *start = renderer->rest;
    size_t count = json_is_object(value) ? json_object_size(value)
                                         : json_array_size(value);
    void *item = json_object_iter(value);
    for (size_t i = 0; i < count; i++) {
        char index[24];
        g_snprintf(index, sizeof(index), "%zu", i);
        scope_t inner = {
            .outer = scope,
            .entry = item != NULL ? json_object_iter_value(item)
                                  : json_array_get(value, i),
            .key = item != NULL ? json_object_iter_key(item) : index,
            .is_last = i + 1 == count,
        };
        renderer->rest = start;
        render_until(renderer, &inner, name, TRUE);
        item = item != NULL ? json_object_iter_next(value, item) : NULL;
    }
    if (count == 0) {
        render_until(renderer, scope, name, FALSE);
    }
}

static void
render_section(renderer_t *renderer, const scope_t *scope, char kind,
               const char *name, gboolean is_shown)
{
    json_t *value = find_value(scope, name);
    gboolean has_value =
        value != NULL && !json_is_null(value) && !json_is_false(value);
    if (kind == '^' || !has_value || !is_shown) {
        render_until(renderer, scope, name,
                     is_shown && has_value == (kind == '#'));
        return;
    }
    if (json_is_object(value) || json_is_array(value)) {
        render_entries(renderer, scope, value, name);
        return;
    }
    scope_t inner = {scope, value, "", TRUE};
    render_until(renderer, &inner, name, TRUE);
}

/* Renders up to the end of the section `end_name`, or of the text. */
static void
render_until(renderer_t *renderer, const scope_t *scope, const char *end_name,
             gboolean is_shown)
{
    for (;;) {
        const char *tag = strstr(renderer->rest, TAG_OPEN);
        size_t plain = tag != NULL ? (size_t)(tag - renderer->rest)
                                   : strlen(renderer->rest);
        if (is_shown) {
            g_string_append_len(renderer->output, renderer->rest,
                                (gssize)plain);
        }
        if (tag == NULL) {
            renderer->rest += plain;
            return;
        }
        const char *name_start = tag + strlen(TAG_OPEN);
        const char *tag_end = strstr(name_start, TAG_CLOSE);
        g_assert(tag_end != NULL);
        char *name = g_strndup(name_start, (gsize)(tag_end - name_start));
        renderer->rest = tag_end + strlen(TAG_CLOSE);
        gboolean is_end = name[0] == '/';
        if (name[0] == '#' || name[0] == '^') {
            render_section(renderer, scope, name[0], name + 1, is_shown);
        }
        else if (!is_end && is_shown) {
            append_value(renderer, scope, name);
        }
        g_assert(!is_end || g_strcmp0(name + 1, end_name) == 0);
        g_free(name);
        if (is_end) {
            return;
        }
    }
}

char *
template_render(const char *text, const json_t *fields)
{
    renderer_t renderer = {text, g_string_new(NULL)};
    scope_t scope = {NULL, (json_t *)fields, "", TRUE};
    render_until(&renderer, &scope, NULL, TRUE);
    return g_string_free(renderer.output, FALSE);
}
