#include "ctl.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/http_call.h"

#include <stdio.h>
#include <string.h>

#define NODE_TIMEOUT_US (5 * BV_US_PER_S)
#define MS_PER_S 1000
#define US_PER_MS 1000

static json_t *
send_to_node(const ctl_options_t *options, const char *method,
             const char *path, GBytes *body, uint16_t *status)
{
    char *url = g_strconcat(options->operator_url, path, NULL);
    char *headers =
        options->token != NULL
            ? g_strdup_printf("Authorization: Bearer %s\r\n", options->token)
            : NULL;
    bv_http_call_t call = {
        .method = method,
        .url = url,
        .headers = headers,
        .body = body,
        .timeout_us = NODE_TIMEOUT_US,
    };
    bv_http_reply_t reply = bv_http_call(&call);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *json =
        reply.status == 200 ? json_loadb(text, size, 0, NULL) : NULL;
    if (reply.result != BV_HTTP_ANSWERED) {
        fprintf(stderr, "no answer of %s to %s %s: %s\n",
                options->operator_url, method, path, reply.error);
    }
    else if (json == NULL) {
        fprintf(stderr,
                "%s answered %s %s with status %u; expected 200 and JSON\n",
                options->operator_url, method, path, reply.status);
    }
    *status = reply.status;
    bv_http_reply_clear(&reply);
    g_free(headers);
    g_free(url);
    return json;
}

json_t *
ctl_node_request(const ctl_options_t *options, const char *method,
                 const char *path)
{
    uint16_t status;
    return send_to_node(options, method, path, NULL, &status);
}

json_t *
ctl_node_post(const ctl_options_t *options, const char *path, GBytes *body,
              uint16_t *status)
{
    return send_to_node(options, "POST", path, body, status);
}

json_t *
ctl_status_read(const ctl_options_t *options)
{
    return ctl_node_request(options, "GET", "/status");
}

static void
print_member(const json_t *member)
{
    const char *name;
    const char *service;
    const char *data_centre;
    const char *state;
    json_int_t generation;
    if (json_unpack((json_t *)member, "{s:s, s:s, s:s, s:s, s:I}", "name",
                    &name, "service", &service, "data_centre", &data_centre,
                    "state", &state, "generation", &generation) == 0) {
        printf("%-24s %-16s %-16s %-10s generation %" JSON_INTEGER_FORMAT "\n",
               name, service, data_centre, state, generation);
    }
}

/* The range of generations in force at one site, over its present members. */
typedef struct {
    json_int_t lowest_generation;
    json_int_t highest_generation;
    uint32_t member_count;
} site_status_t;

static bool
is_present(const json_t *member)
{
    const char *state = json_string_value(json_object_get(member, "state"));
    return state != NULL && strcmp(state, "left") != 0 &&
           strcmp(state, "dead") != 0;
}

static void
add_member_to_site(GHashTable *sites, const json_t *member)
{
    const char *name =
        json_string_value(json_object_get(member, "data_centre"));
    json_int_t generation =
        json_integer_value(json_object_get(member, "generation"));
    if (name == NULL || !is_present(member)) {
        return;
    }
    site_status_t *site = g_hash_table_lookup(sites, name);
    if (site == NULL) {
        site = g_new0(site_status_t, 1);
        site->lowest_generation = generation;
        g_hash_table_insert(sites, g_strdup(name), site);
    }
    site->lowest_generation = MIN(site->lowest_generation, generation);
    site->highest_generation = MAX(site->highest_generation, generation);
    site->member_count++;
}

static void
print_site(const char *name, const site_status_t *site)
{
    printf("site %-19s %u members, generation %" JSON_INTEGER_FORMAT, name,
           site->member_count, site->lowest_generation);
    if (site->lowest_generation == site->highest_generation) {
        printf(" in force\n");
        return;
    }
    printf(" to %" JSON_INTEGER_FORMAT ": not all members have the newest\n",
           site->highest_generation);
}

static void
print_sites(const json_t *members)
{
    GHashTable *sites =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    size_t index;
    json_t *member;
    json_array_foreach((json_t *)members, index, member) {
        add_member_to_site(sites, member);
    }
    GList *names =
        g_list_sort(g_hash_table_get_keys(sites), (GCompareFunc)strcmp);
    for (const GList *name = names; name != NULL; name = name->next) {
        print_site(name->data, g_hash_table_lookup(sites, name->data));
    }
    g_list_free(names);
    g_hash_table_destroy(sites);
}

static const char *
explain_freshness(const char *freshness)
{
    if (strcmp(freshness, "behind") == 0) {
        return " BEHIND: a newer generation is known and not in force";
    }
    if (strcmp(freshness, "source_silent") == 0) {
        return " SOURCE SILENT: a newer generation may be unknown here";
    }
    return "";
}

/* Prints what the node knows of the configuration. */
static void
print_config(const json_t *status)
{
    json_int_t generation;
    const char *freshness;
    json_int_t heard;
    json_int_t source_age_ms;
    json_int_t in_force_age_ms = 0;
    if (json_unpack((json_t *)status, "{s:I, s:{s:s, s:I, s:I, s?I}}",
                    "generation", &generation, "config", "freshness",
                    &freshness, "heard_generation", &heard, "source_age_ms",
                    &source_age_ms, "in_force_age_ms",
                    &in_force_age_ms) == 0) {
        printf("this node: generation %" JSON_INTEGER_FORMAT
               " in force for %.1f s, newest heard of %" JSON_INTEGER_FORMAT
               ", store answered %.1f s ago%s\n",
               generation, (double)in_force_age_ms / MS_PER_S, heard,
               (double)source_age_ms / MS_PER_S, explain_freshness(freshness));
    }
}

/* Prints the statuses that accounts were answered with, as "503=4". */
static void
print_answers(const char *by, const json_t *answers)
{
    const char *status;
    json_t *count;
    if (json_object_size(answers) > 0) {
        printf(" %s", by);
    }
    json_object_foreach((json_t *)answers, status, count) {
        printf(" %s=%" JSON_INTEGER_FORMAT, status, json_integer_value(count));
    }
}

/* Prints the refusals by priority and the rates; calls without an account, and
 * nodes of earlier versions, have none. */
static void
print_demand(const json_t *usage)
{
    json_int_t refused;
    double recent;
    double usual;
    if (json_unpack((json_t *)usage, "{s:I, s:F, s:F}", "refused_by_priority",
                    &refused, "recent_slots", &recent, "usual_slots",
                    &usual) == 0) {
        printf(", %" JSON_INTEGER_FORMAT
               " refused by priority, demand %.3f slots, usually %.3f",
               refused, recent, usual);
    }
}

static void
print_accounts(const json_t *accounts)
{
    const char *name;
    json_t *usage;
    json_object_foreach((json_t *)accounts, name, usage) {
        printf("account %-16s", *name != '\0' ? name : "(none)");
        print_answers("target:", json_object_get(usage, "target"));
        print_answers("node:", json_object_get(usage, "node"));
        print_demand(usage);
        printf("\n");
    }
}

static void
print_used_quota(const json_t *entry)
{
    const char *account;
    json_int_t admitted;
    json_int_t from_floor;
    json_int_t refused;
    json_int_t stock;
    json_int_t silent;
    if (json_unpack((json_t *)entry, "{s:s, s:I, s:I, s:I, s:I, s:I}",
                    "account", &account, "admitted", &admitted,
                    "admitted_from_floor", &from_floor, "refused", &refused,
                    "stock", &stock, "silent_lessors", &silent) == 0) {
        printf("account %-16s %" JSON_INTEGER_FORMAT
               " admitted (%" JSON_INTEGER_FORMAT
               " from the floor), %" JSON_INTEGER_FORMAT
               " refused, %" JSON_INTEGER_FORMAT " in stock",
               account, admitted, from_floor, refused, stock);
        if (silent > 0) {
            printf(", LESSORS SILENT: %" JSON_INTEGER_FORMAT, silent);
        }
        printf("\n");
    }
}

static void
print_lent_quota(const json_t *entry)
{
    const char *account;
    json_int_t part;
    json_int_t rate;
    json_int_t burst;
    json_int_t granted;
    json_int_t refused;
    json_int_t permits;
    if (json_unpack((json_t *)entry, "{s:s, s:I, s:I, s:I, s:I, s:I, s:I}",
                    "account", &account, "part", &part, "rate_per_s", &rate,
                    "burst", &burst, "granted", &granted, "refused", &refused,
                    "permits", &permits) == 0) {
        printf("lends   %-16s part %" JSON_INTEGER_FORMAT
               " of %" JSON_INTEGER_FORMAT
               " a second, burst %" JSON_INTEGER_FORMAT
               ": %" JSON_INTEGER_FORMAT " lent, %" JSON_INTEGER_FORMAT
               " refused, %" JSON_INTEGER_FORMAT " in the bucket\n",
               account, part, rate, burst, granted, refused, permits);
    }
}

/* Prints the quotas of accounts: what this node used, and what it lends. */
static void
print_quotas(const json_t *quotas)
{
    size_t index;
    json_t *entry;
    json_array_foreach(json_object_get(quotas, "used"), index, entry) {
        print_used_quota(entry);
    }
    json_array_foreach(json_object_get(quotas, "lent"), index, entry) {
        print_lent_quota(entry);
    }
}

static void
print_placed_target(const json_t *target)
{
    const char *name;
    const char *service;
    const char *reason;
    json_int_t reason_age_ms;
    json_int_t limit;
    json_int_t slots;
    json_int_t load;
    json_int_t calls;
    json_int_t observed_calls;
    json_int_t delay_us;
    double weight;
    if (json_unpack((json_t *)target,
                    "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:F}",
                    "name", &name, "service", &service, "reason", &reason,
                    "reason_age_ms", &reason_age_ms, "limit", &limit, "slots",
                    &slots, "load", &load, "calls", &calls, "observed_calls",
                    &observed_calls, "delay_us", &delay_us, "weight",
                    &weight) == 0) {
        printf("target %-17s %-16s load %" JSON_INTEGER_FORMAT
               " limit %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
               ", delay %.1f ms, weight %.2f, calls %" JSON_INTEGER_FORMAT
               ", would be %" JSON_INTEGER_FORMAT ", %s for %.1f s\n",
               name, service, load, limit, slots, (double)delay_us / US_PER_MS,
               weight, calls, observed_calls, reason,
               (double)reason_age_ms / MS_PER_S);
    }
}

/* Prints the targets that the node calls, unless placement is off. */
static void
print_placement(const json_t *status)
{
    const json_t *placement = json_object_get(status, "placement");
    const char *mode = json_string_value(json_object_get(placement, "mode"));
    size_t index;
    json_t *target;
    if (mode == NULL) {
        return;
    }
    printf("placement: %s\n", mode);
    json_array_foreach(json_object_get(placement, "targets"), index, target) {
        print_placed_target(target);
    }
}

int
ctl_status(const ctl_options_t *options)
{
    json_t *status = ctl_status_read(options);
    if (status == NULL) {
        fprintf(stderr, "cannot read the status of the node at %s\n",
                options->operator_url);
        return 1;
    }
    size_t index;
    json_t *member;
    json_t *members = json_object_get(status, "members");
    json_array_foreach(members, index, member) {
        print_member(member);
    }
    print_sites(members);
    print_config(status);
    print_accounts(json_object_get(status, "accounts"));
    print_quotas(json_object_get(status, "quotas"));
    print_placement(status);
    json_decref(status);
    return 0;
}
