#include "driver.h"

#include <stdio.h>

/* Spread of a number, or of its ratios, over the runs of all seeds. */
typedef struct {
    double median;
    double minimum;
    double maximum;
} spread_t;

static gint
compare_numbers(gconstpointer left, gconstpointer right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return a < b ? -1 : a > b;
}

static double
value_of(const json_t *runs, size_t run, const char *name)
{
    return json_number_value(json_object_get(json_array_get(runs, run), name));
}

/*
 * Returns the spread of the number `name` over all runs of a variant or, if
 * `against` is not NULL, of its ratio to the number in the run of `against`
 * with the same seed. The ratio to 0 counts as 0.
 */
static spread_t
spread_of(const json_t *runs, const json_t *against, const char *name)
{
    GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
    for (size_t i = 0; i < json_array_size(runs); i++) {
        double value = value_of(runs, i, name);
        double base = against != NULL ? value_of(against, i, name) : 1;
        value = base != 0 ? value / base : 0;
        g_array_append_val(values, value);
    }
    g_array_sort(values, compare_numbers);
    spread_t spread = {0};
    if (values->len > 0) {
        spread.median =
            (g_array_index(values, double, values->len / 2) +
             g_array_index(values, double, (values->len - 1) / 2)) /
            2;
        spread.minimum = g_array_index(values, double, 0);
        spread.maximum = g_array_index(values, double, values->len - 1);
    }
    g_array_unref(values);
    return spread;
}

static void
print_row(const char *metric, const char *variant, const json_t *runs,
          const json_t *against)
{
    spread_t spread = spread_of(runs, NULL, metric);
    printf("%-24s %-12s %10.3f [%.3f, %.3f]", metric, variant, spread.median,
           spread.minimum, spread.maximum);
    if (against != NULL && against != runs) {
        spread_t ratio = spread_of(runs, against, metric);
        spread_t base = spread_of(against, NULL, metric);
        printf("  ratio %.3f [%.3f, %.3f]  difference %+.3f", ratio.median,
               ratio.minimum, ratio.maximum, spread.median - base.median);
    }
    printf("\n");
}

/* Returns whether a number is above 0 in any run of any variant. */
static bool
is_positive_in_any_run(const json_t *runs_by_variant, const char *metric)
{
    const char *variant;
    json_t *variant_runs;
    json_object_foreach((json_t *)runs_by_variant, variant, variant_runs) {
        if (spread_of(variant_runs, NULL, metric).maximum > 0) {
            return true;
        }
    }
    return false;
}

static void
print_metric(const json_t *runs_by_variant, const json_t *against,
             const char *metric)
{
    const char *variant;
    json_t *variant_runs;
    if (!is_positive_in_any_run(runs_by_variant, metric)) {
        return;
    }
    json_object_foreach((json_t *)runs_by_variant, variant, variant_runs) {
        print_row(metric, variant, variant_runs, against);
    }
}

void
driver_print_scenario(const char *name, const json_t *scenario,
                      const json_t *runs)
{
    const char *against_name =
        json_string_value(json_object_get(scenario, "against"));
    const json_t *against = json_object_get(runs, against_name);
    printf("\n%s: %s\nmedian [least, most] over the seeds; ratios to %s, "
           "seed by seed\n",
           name, json_string_value(json_object_get(scenario, "about")),
           against_name);
    const char *metric;
    json_t *value;
    json_object_foreach(json_array_get(against, 0), metric, value) {
        print_metric(runs, against, metric);
    }
    fflush(stdout);
}

/* Writes a line "SECONDS GOODPUT SENT" for each interval; rates are per s. */
static void
write_series(FILE *out, const json_t *report)
{
    double interval_s =
        json_number_value(json_object_get(report, "interval_ms")) / 1000;
    json_int_t seconds =
        json_integer_value(json_object_get(report, "seconds"));
    for (size_t i = 0; (double)i * interval_s < (double)seconds; i++) {
        json_int_t finished_correct = 0;
        json_int_t sent = 0;
        const char *name;
        json_t *kind;
        json_object_foreach(json_object_get(report, "kinds"), name, kind) {
            const json_t *interval =
                json_array_get(json_object_get(kind, "intervals"), i);
            sent += json_integer_value(json_array_get(interval, 0));
            finished_correct +=
                json_integer_value(json_array_get(interval, 2));
        }
        fprintf(out, "%.3f %.1f %.1f\n", (double)i * interval_s,
                (double)finished_correct / interval_s,
                (double)sent / interval_s);
    }
    fprintf(out, "\n\n");
}

bool
driver_write_plot(const char *directory, const char *name,
                  const json_t *reports)
{
    char *data_path = g_strdup_printf("%s/%s.dat", directory, name);
    char *script_path = g_strdup_printf("%s/%s.plot", directory, name);
    FILE *data_file = fopen(data_path, "w");
    FILE *script_file = fopen(script_path, "w");
    bool is_open = data_file != NULL && script_file != NULL;
    if (is_open) {
        fprintf(script_file,
                "set terminal png size 900,500\nset output '%s/%s.png'\n"
                "set xlabel 'seconds'\nset ylabel 'requests a second'\n"
                "set title '%s'\nset key outside\n"
                "plot '%s' index 0 using 1:3 with lines dt 2 title 'sent'",
                directory, name, name, data_path);
        const char *variant;
        json_t *report;
        int index = 0;
        json_object_foreach((json_t *)reports, variant, report) {
            write_series(data_file, report);
            fprintf(script_file,
                    ", \\\n '%s' index %d using 1:2 with lines title '%s'",
                    data_path, index++, variant);
        }
        fprintf(script_file, "\n");
    }
    g_clear_pointer(&data_file, fclose);
    g_clear_pointer(&script_file, fclose);
    g_free(data_path);
    g_free(script_path);
    return is_open;
}
