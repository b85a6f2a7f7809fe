#ifndef TESTS_TEMPLATE_H
#define TESTS_TEMPLATE_H

#include <jansson.h>

/*
 * template - fills in a settings template as the users' platform does
 *
 * {{a.b}} is a value, {{a|json}} a value as JSON, {{#a}}..{{/a}} is repeated
 * for each entry of a list or table, or stands once if there is a value,
 * {{^a}}..{{/a}} stands if there is none. In a section {{.}} is the entry,
 * {{@}} its key or index and {{,}} a comma except after the last entry.
 */

/* Returns the text, which the caller frees with g_free(). */
char *template_render(const char *text, const json_t *fields);

#endif
