#include "internal.h"

#include "berylvane/common/clock.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define CALL_TIMEOUT_US (20 * BV_US_PER_S)
#define LINK_CONTROL_PATH "/standin/control"
#define LINK_STATS_PATH "/standin/stats"

bv_http_reply_t
cluster_call(uint16_t port, const char *method, const char *path,
             const char *headers, const char *body)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    GBytes *bytes = body != NULL ? g_bytes_new(body, strlen(body)) : NULL;
    bv_http_call_t call = {
        .method = method,
        .url = url,
        .headers = headers,
        .body = bytes,
        .timeout_us = CALL_TIMEOUT_US,
    };
    bv_http_reply_t reply = bv_http_call(&call);
    g_clear_pointer(&bytes, g_bytes_unref);
    g_free(url);
    return reply;
}

bool
cluster_set_faults(uint16_t port, const char *path, const char *json)
{
    bv_http_reply_t reply = cluster_call(port, "POST", path, NULL, json);
    bool is_accepted = reply.status == 200;
    bv_http_reply_clear(&reply);
    return is_accepted;
}

/* Runs in the child: has the kernel kill the child when its parent ends. */
static void
set_kill_on_parent_exit(gpointer data)
{
    (void)data;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/*
 * Starts a program of the build directory. Changes `arguments` to an argv
 * array by inserting the program's path at the start and NULL at the end.
 * Prints an error and returns false on failure.
 */
static bool
start_tool(const cluster_t *cluster, const char *program, GPtrArray *arguments,
           GPid *pid)
{
    char *path = g_build_filename(cluster->build_directory, program, NULL);
    GError *error = NULL;
    g_ptr_array_insert(arguments, 0, path);
    g_ptr_array_add(arguments, NULL);
    bool is_started =
        g_spawn_async(NULL, (char **)arguments->pdata, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_CHILD_INHERITS_STDIN,
                      set_kill_on_parent_exit, NULL, pid, &error);
    if (!is_started) {
        g_printerr("%s\n", error->message);
        g_error_free(error);
    }
    g_free(path);
    return is_started;
}

static int
wait_tool(GPid pid)
{
    int status = -1;
    while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
    }
    return status;
}

int
cluster_run_ctl(const cluster_t *cluster, const char *argument, ...)
{
    GPtrArray *arguments = g_ptr_array_new();
    char *platform =
        g_strdup_printf("http://127.0.0.1:%u", cluster->platform_port);
    g_ptr_array_add(arguments, "--platform");
    g_ptr_array_add(arguments, platform);
    va_list list;
    va_start(list, argument);
    for (const char *next = argument; next != NULL;
         next = va_arg(list, const char *)) {
        g_ptr_array_add(arguments, (char *)next);
    }
    va_end(list);
    GPid pid;
    int status = -1;
    if (start_tool(cluster, "ctl/berylvanectl", arguments, &pid)) {
        status = wait_tool(pid);
    }
    g_ptr_array_unref(arguments);
    g_free(platform);
    return status;
}

/* Returns a new array of the outside addresses of all instances. */
static json_t *
outside_addresses(const cluster_t *cluster)
{
    json_t *entries = json_array();
    for (size_t i = 0; i < cluster->instances->len; i++) {
        char text[32];
        g_snprintf(text, sizeof(text), "127.0.0.1:%u",
                   cluster_ports(cluster, i)->outside);
        json_array_append_new(entries, json_string(text));
    }
    return entries;
}

/* Makes the load send each kind of request to the targets that serve it. */
static void
set_direct_entries(const cluster_t *cluster, json_t *load)
{
    size_t index;
    json_t *request_kind;
    json_array_foreach(json_object_get(load, "mix"), index, request_kind) {
        const char *path =
            json_string_value(json_object_get(request_kind, "path"));
        json_object_set_new(request_kind, "entries",
                            settings_service_addresses(cluster, path));
    }
}

int
cluster_run_load(cluster_t *cluster, const json_t *settings, const char *label,
                 const char *report_path)
{
    json_t *load_settings = json_deep_copy(settings);
    if (json_object_get(load_settings, "entries") == NULL) {
        json_object_set_new(load_settings, "entries",
                            outside_addresses(cluster));
    }
    if (settings_proxy_kind(cluster) == PROXY_KIND_NONE) {
        set_direct_entries(cluster, load_settings);
    }
    char *path = g_build_filename(cluster->work_directory, "load.json", NULL);
    json_dump_file(load_settings, path, JSON_INDENT(2));
    json_decref(load_settings);
    GPtrArray *arguments = g_ptr_array_new();
    const char *const flags[] = {"--settings", path,
                                 "--records",  cluster->records_directory,
                                 "--label",    label};
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        g_ptr_array_add(arguments, (char *)flags[i]);
    }
    if (json_is_true(json_object_get(cluster->deployment, "all_correct"))) {
        g_ptr_array_add(arguments, "--all-correct");
    }
    if (report_path != NULL) {
        g_ptr_array_add(arguments, "--report");
        g_ptr_array_add(arguments, (char *)report_path);
    }
    GPid pid;
    int status = -1;
    if (start_tool(cluster, "load/berylvane-load", arguments, &pid)) {
        schedule_run(cluster);
        status = wait_tool(pid);
    }
    g_ptr_array_unref(arguments);
    g_free(path);
    return status;
}

bool
cluster_set_link_faults(const cluster_t *cluster, size_t instance,
                        const char *json)
{
    return cluster_set_faults(cluster_ports(cluster, instance)->link_control,
                              LINK_CONTROL_PATH, json);
}

bool
cluster_link_cut(const cluster_t *cluster, size_t instance)
{
    return cluster_set_link_faults(cluster, instance, "{\"cut\": true}");
}

bool
cluster_link_silence(const cluster_t *cluster, size_t instance)
{
    return cluster_set_link_faults(cluster, instance, "{\"silence\": true}");
}

bool
cluster_link_heal(const cluster_t *cluster, size_t instance)
{
    return cluster_set_link_faults(
        cluster, instance,
        "{\"cut\": false, \"cut_far\": false, "
        "\"loss_percent\": 0, \"duplicate_percent\": 0}");
}

int64_t
cluster_link_stat(const cluster_t *cluster, size_t instance, const char *name)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(cluster, instance)->link_control, "GET",
                     LINK_STATS_PATH, NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *stats = json_loadb(text, size, 0, NULL);
    int64_t value = json_integer_value(json_object_get(stats, name));
    json_decref(stats);
    bv_http_reply_clear(&reply);
    return value;
}
