#include "service.h"

static GHashTable *
copy_objects(GHashTable *objects)
{
    GHashTable *copy = objects_create();
    GHashTableIter iterator;
    gpointer name;
    gpointer body;
    g_hash_table_iter_init(&iterator, objects);
    while (g_hash_table_iter_next(&iterator, &name, &body)) {
        g_hash_table_insert(copy, g_strdup(name), g_bytes_ref(body));
    }
    return copy;
}

void
backup_take(service_t *service)
{
    backup_clear(service);
    service->backup = (backup_t){
        .rows = table_copy(service->rows),
        .objects = copy_objects(service->objects),
        .version = service->version,
        .forgotten_version = service->forgotten_version,
    };
}

void
backup_restore(service_t *service)
{
    const backup_t *backup = &service->backup;
    g_hash_table_destroy(service->rows);
    g_hash_table_destroy(service->objects);
    service->rows = table_copy(backup->rows);
    service->objects = copy_objects(backup->objects);
    service->version = backup->version;
    service->forgotten_version = backup->forgotten_version;
    service->era++;
}

bool
backup_exists(const service_t *service)
{
    return service->backup.rows != NULL;
}

void
backup_clear(service_t *service)
{
    g_clear_pointer(&service->backup.rows, g_hash_table_destroy);
    g_clear_pointer(&service->backup.objects, g_hash_table_destroy);
}
