#include "driver.h"

#include "berylvane/core/config.h"

/* Applies a merge patch (may be NULL); takes over the caller's reference. */
static json_t *
apply_patch(json_t *document, const json_t *patch)
{
    if (patch == NULL) {
        return document;
    }
    json_t *merged = bv_merge_patch(document, patch);
    json_decref(document);
    return merged;
}

/*
 * Deployment files hold the services as an object, so that merge patches can
 * change single services; cluster_start() expects a list.
 */
static void
convert_services_to_list(json_t *deployment)
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
scale_slots(json_t *deployment)
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

/* Writes the base document to a file, as cluster_start() reads it from one. */
static void
write_base_document(const driver_options_t *options, json_t *deployment)
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
    merged = apply_patch(merged, json_object_get(scenario, "patch"));
    merged = apply_patch(
        merged,
        json_object_get(json_object_get(scenario, "variants"), variant));
    scale_slots(merged);
    convert_services_to_list(merged);
    json_t *load = json_object_get(merged, "load");
    json_object_set_new(load, "seed", json_integer(seed));
    if (options->seconds > 0) {
        json_object_set_new(load, "seconds", json_integer(options->seconds));
    }
    write_base_document(options, merged);
    return merged;
}
