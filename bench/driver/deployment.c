#include "driver.h"

#include "berylvane/common/findings.h"
#include "berylvane/core/config.h"

#include <stdio.h>

static char *
replace_word(char *text, const char *word, const char *by)
{
    char **parts = g_strsplit(text, word, -1);
    g_free(text);
    char *joined = g_strjoinv(by, parts);
    g_strfreev(parts);
    return joined;
}

json_t *
driver_load_json(const char *path, const json_t *words)
{
    char *text;
    GError *error = NULL;
    json_error_t fault;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
        return NULL;
    }
    const char *word;
    json_t *by;
    json_object_foreach((json_t *)words, word, by) {
        text = replace_word(text, word, json_string_value(by));
    }
    json_t *json = json_loads(text, 0, &fault);
    g_free(text);
    if (json == NULL) {
        fprintf(stderr, "%s:%d: %s\n", path, fault.line, fault.text);
    }
    return json;
}

static json_t *
patched(json_t *document, const json_t *patch)
{
    if (patch == NULL) {
        return document;
    }
    json_t *merged = bv_merge_patch(document, patch);
    json_decref(document);
    return merged;
}

/*
 * Here services are an object, so that patches reach them; the cluster
 * starter takes a list.
 */
static void
list_services(json_t *deployment)
{
    json_t *list = json_array();
    const char *name;
    json_t *service;
    json_object_foreach(json_object_get(deployment, "services"), name,
                        service) {
        json_object_set_new(service, "name", json_string(name));
        json_array_append(list, service);
    }
    json_object_set_new(deployment, "services", list);
}

static void
scale(json_t *deployment)
{
    const char *name;
    json_t *service;
    json_object_foreach(json_object_get(deployment, "services"), name,
                        service) {
        json_t *target = json_object_get(service, "target");
        json_int_t slots =
            json_integer_value(json_object_get(target, "slots"));
        json_int_t scaled = MAX(slots / DRIVER_SCALE_DIVISOR, 1);
        json_object_set_new(target, "slots", json_integer(scaled));
    }
}

/* The cluster starter reads the base document from a file. */
static void
write_base(const driver_options_t *options, json_t *deployment)
{
    char *path = g_build_filename(options->work_directory, "base.json", NULL);
    json_dump_file(json_object_get(deployment, "base"), path, JSON_INDENT(2));
    json_object_set_new(deployment, "base", json_string("base.json"));
    g_free(path);
}

json_t *
driver_build_deployment(const driver_options_t *options,
                        const json_t *deployment, const json_t *scenario,
                        const char *variant, int64_t seed)
{
    json_t *merged = json_deep_copy(deployment);
    merged = patched(merged, json_object_get(scenario, "patch"));
    merged =
        patched(merged, json_object_get(json_object_get(scenario, "variants"),
                                        variant));
    scale(merged);
    list_services(merged);
    json_t *load = json_object_get(merged, "load");
    json_object_set_new(load, "seed", json_integer(seed));
    if (options->seconds > 0) {
        json_object_set_new(load, "seconds", json_integer(options->seconds));
    }
    write_base(options, merged);
    return merged;
}
