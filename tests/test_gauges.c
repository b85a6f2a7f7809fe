#include "berylvane/common/gauges.h"
#include "support.h"

#include <stdbool.h>
#include <string.h>

/*
 * Guards against gauges that show another value than the one set, and against
 * ages that stand still while nothing is heard.
 */
#define S INT64_C(1000000)

typedef struct {
    bv_gauge_t gauge;
    bool is_shown;
    int64_t value;
    int64_t now_us;
    const char *line;
} case_t;

static const case_t cases[] = {
    {BV_GAUGE_CONFIG_GENERATION, true, 0, 9 * S,
     "\nberylvane_config_generation 0\n"},
    {BV_GAUGE_CONFIG_GENERATION, true, 6, 9 * S,
     "\nberylvane_config_generation 6\n"},
    {BV_GAUGE_CONFIG_GENERATION, true, 6, 9 * S,
     "\n# TYPE berylvane_config_generation gauge\n"},
    {BV_GAUGE_CONFIG_HEARD_GENERATION, true, INT64_MAX, 9 * S,
     "\nberylvane_config_heard_generation 9223372036854775807\n"},
    /* Nothing heard after 2 s: the age goes on growing. */
    {BV_GAUGE_CONFIG_SOURCE_AGE, true, 2 * S, 2 * S,
     "\nberylvane_config_source_age_seconds 0.000\n"},
    {BV_GAUGE_CONFIG_SOURCE_AGE, true, 2 * S, 2 * S + 45999,
     "\nberylvane_config_source_age_seconds 0.045\n"},
    {BV_GAUGE_CONFIG_SOURCE_AGE, true, 2 * S, 33 * S + S / 2,
     "\nberylvane_config_source_age_seconds 31.500\n"},
    {BV_GAUGE_CONFIG_IN_FORCE_AGE, true, 2 * S, 90000 * S,
     "\nberylvane_config_in_force_age_seconds 89998.000\n"},
    /* A time set after the page's time was read. */
    {BV_GAUGE_CONFIG_SOURCE_AGE, true, 2 * S, 2 * S - 1,
     "\nberylvane_config_source_age_seconds 0.000\n"},
    /* No time yet: described, but without a value. */
    {BV_GAUGE_CONFIG_IN_FORCE_AGE, true, 0, 9 * S,
     "\n# TYPE berylvane_config_in_force_age_seconds gauge\n"},
    {BV_GAUGE_CONFIG_IN_FORCE_AGE, false, 0, 9 * S,
     "\nberylvane_config_in_force_age_seconds "},
};

START_TEST(test_render)
{
    const case_t *row = &cases[_i];
    bv_gauge_set(row->gauge, row->value);
    GString *page = g_string_new("\n");
    bv_gauges_render(page, row->now_us);
    ck_assert_msg((strstr(page->str, row->line) != NULL) == row->is_shown,
                  "%s", page->str);
    g_string_free(page, TRUE);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"render", test_render, G_N_ELEMENTS(cases)}, {NULL}};
    return support_run("gauges", tests);
}
