#include "berylvane/core/config_freshness.h"
#include "support.h"

/*
 * Guards against a node that is late with a configuration, or has not heard
 * from the store, and shows itself as current.
 */
#define S INT64_C(1000000)

typedef struct {
    bv_config_knowledge_t knowledge;
    const char *name;
} case_t;

/* Generations in force and heard of, source age, query interval. */
static const case_t cases[] = {
    {{0, 0, 0, 6 * S}, "current"},
    {{5, 5, 0, 6 * S}, "current"},
    {{5, 5, 18 * S, 6 * S}, "current"},
    {{5, 5, 18 * S + 1, 6 * S}, "source_silent"},
    {{0, 0, 18 * S + 1, 6 * S}, "source_silent"},
    {{5, 5, 18 * S + 1, 20 * S}, "current"},
    {{5, 6, 0, 6 * S}, "behind"},
    {{0, 1, 0, 6 * S}, "behind"},
    /* A node that knows of a newer one needs its body, whoever told it. */
    {{5, 6, 60 * S, 6 * S}, "behind"},
    {{6, 5, 0, 6 * S}, "current"},
};

START_TEST(test_freshness)
{
    const case_t *row = &cases[_i];
    ck_assert_str_eq(
        bv_config_freshness_name(bv_config_freshness(&row->knowledge)),
        row->name);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"freshness", test_freshness, G_N_ELEMENTS(cases)}, {NULL}};
    return support_run("config_freshness", tests);
}
