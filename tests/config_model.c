#include "config_model.h"

static const bv_config_version_t *
version_at(const GArray *versions, guint index)
{
    return &g_array_index(versions, bv_config_version_t, index);
}

void
config_model_init(config_model_t *model)
{
    model->versions = g_array_new(FALSE, FALSE, sizeof(bv_config_version_t));
    model->bodies = g_array_new(FALSE, FALSE, sizeof(bv_config_version_t));
}

void
config_model_clear(config_model_t *model)
{
    g_array_unref(model->versions);
    g_array_unref(model->bodies);
}

void
config_model_add_version(config_model_t *model,
                         const bv_config_version_t *version)
{
    for (guint i = 0; i < model->versions->len; i++) {
        if (version_at(model->versions, i)->generation ==
            version->generation) {
            return;
        }
    }
    if (version->generation > 0) {
        g_array_append_val(model->versions, *version);
    }
}

uint64_t
config_model_in_force(const config_model_t *model)
{
    uint64_t highest = 0;
    for (guint i = 0; i < model->versions->len; i++) {
        const bv_config_version_t *version = version_at(model->versions, i);
        for (guint j = 0; j < model->bodies->len; j++) {
            if (version_at(model->bodies, j)->digest == version->digest) {
                highest = MAX(highest, version->generation);
            }
        }
    }
    return highest;
}

static void
remove_before(GArray *versions, uint64_t generation)
{
    for (guint i = versions->len; i > 0; i--) {
        if (version_at(versions, i - 1)->generation < generation) {
            g_array_remove_index_fast(versions, i - 1);
        }
    }
}

void
config_model_forget_older(const config_model_t *model, uint64_t generation)
{
    remove_before(model->versions, generation);
    remove_before(model->bodies, generation);
}
