#include "berylvane/common/findings.h"

#include <string.h>

/* Where an error is reported: the file, and the JSON pointer in this file. */
typedef struct {
    const char *source;
    const char *pointer;
    bv_findings_t *findings;
} location_t;

static void
read_integer(const bv_field_t *field, const json_t *value, void *destination,
             const location_t *location)
{
    if (!json_is_integer(value)) {
        bv_findings_add(location->findings, location->source,
                        location->pointer, "expected an integer");
        return;
    }
    int64_t number = json_integer_value(value);
    if (number < field->minimum || number > field->maximum) {
        bv_findings_add(location->findings, location->source,
                        location->pointer,
                        "%" G_GINT64_FORMAT " is outside %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT,
                        number, field->minimum, field->maximum);
        return;
    }
    *(int64_t *)destination = number;
}

static void
read_string(const bv_field_t *field, const json_t *value, void *destination,
            const location_t *location)
{
    if (!json_is_string(value) || json_string_length(value) == 0) {
        bv_findings_add(location->findings, location->source,
                        location->pointer,
                        "expected a string that is not empty");
        return;
    }
    if (field->maximum > 0 &&
        json_string_length(value) > (size_t)field->maximum) {
        bv_findings_add(
            location->findings, location->source, location->pointer,
            "longer than %" G_GINT64_FORMAT " bytes", field->maximum);
        return;
    }
    char **text = destination;
    g_free(*text);
    *text = g_strdup(json_string_value(value));
}

static void
read_choice(const bv_field_t *field, const json_t *value, void *destination,
            const location_t *location)
{
    const char *text = json_string_value(value);
    for (int i = 0; text != NULL && field->choices[i] != NULL; i++) {
        if (strcmp(text, field->choices[i]) == 0) {
            *(int64_t *)destination = i;
            return;
        }
    }
    char *choices = g_strjoinv(" | ", (char **)field->choices);
    bv_findings_add(location->findings, location->source, location->pointer,
                    "expected %s", choices);
    g_free(choices);
}

static void
read_field(const bv_field_t *field, json_t *value, void *record,
           const location_t *location)
{
    void *destination = (char *)record + field->offset;
    switch (field->kind) {
    case BV_FIELD_STRING:
        read_string(field, value, destination, location);
        break;
    case BV_FIELD_INTEGER:
        read_integer(field, value, destination, location);
        break;
    case BV_FIELD_BOOLEAN:
        if (!json_is_boolean(value)) {
            bv_findings_add(location->findings, location->source,
                            location->pointer, "expected true or false");
            break;
        }
        *(bool *)destination = json_is_true(value);
        break;
    case BV_FIELD_CHOICE:
        read_choice(field, value, destination, location);
        break;
    case BV_FIELD_JSON:
        *(json_t **)destination = value;
        break;
    }
}

static const bv_field_t *
find_field(const bv_field_t *fields, const char *name)
{
    for (const bv_field_t *field = fields; field->name != NULL; field++) {
        if (strcmp(field->name, name) == 0) {
            return field;
        }
    }
    return NULL;
}

void
bv_fields_read(const json_t *object, const bv_field_t *fields, void *record,
               const char *source, const char *pointer,
               bv_findings_t *findings)
{
    if (!json_is_object(object)) {
        bv_findings_add(findings, source, pointer, "expected an object");
        return;
    }
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)object, key, value) {
        char *path = g_strdup_printf("%s/%s", pointer, key);
        const bv_field_t *field = find_field(fields, key);
        location_t location = {source, path, findings};
        if (field == NULL) {
            bv_findings_add(findings, source, path, "unknown key");
        }
        else {
            read_field(field, value, record, &location);
        }
        g_free(path);
    }
    for (const bv_field_t *field = fields; field->name != NULL; field++) {
        if (field->required && json_object_get(object, field->name) == NULL) {
            bv_findings_add(findings, source, pointer, "missing key \"%s\"",
                            field->name);
        }
    }
}
