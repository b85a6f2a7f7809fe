#include "ctl.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/http_status.h"
#include "berylvane/core/types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define PUT_ATTEMPTS 5
#define RESOLVE_ATTEMPTS 30
#define RESOLVE_PAUSE_US (BV_US_PER_S / 2)
#define STATUS_POLL_US (BV_US_PER_S / 5)

/*
 * Result of a change. APPLY_UNKNOWN means that the store did not answer
 * whether the change was accepted.
 */
typedef enum {
    APPLY_ACCEPTED,
    APPLY_CONFLICT,
    APPLY_FAILED,
    APPLY_UNKNOWN,
} apply_result_t;

/* Writes a new random identifier of a change. */
static void
generate_change_id(char change[BV_HEAD_TEXT_BYTES])
{
    GRand *random = g_rand_new();
    bv_id_t id = bv_id_random(random);
    bv_id_text(&id, change);
    g_rand_free(random);
}

/*
 * Sets the generation of `bundle` to that of `head`, and the object name and
 * digest of `head` to those of the bundle. Returns the bundle's JSON text.
 */
static GBytes *
serialize_bundle(json_t *bundle, bv_head_t *head)
{
    json_object_set_new(bundle, "generation",
                        json_integer((json_int_t)head->generation));
    char *text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
    size_t size = strlen(text);
    bv_head_set_bundle(head, head->generation, XXH3_64bits(text, size));
    return g_bytes_new_with_free_func(text, size, free, text);
}

static char *
change_row_key(const bv_head_t *head)
{
    return g_strconcat(BV_CHANGE_PREFIX, head->change, NULL);
}

/*
 * Returns the transaction that updates the head row to `head` and inserts the
 * change's row.
 */
static json_t *
build_head_update(const bv_head_t *before, const bv_head_t *head)
{
    char *key = change_row_key(head);
    json_t *operations = json_array();
    json_array_append_new(operations,
                          bv_store_op_update(BV_HEAD_KEY, bv_head_render(head),
                                             before->revision));
    json_array_append_new(operations,
                          bv_store_op_insert(key, bv_head_render(head)));
    g_free(key);
    return operations;
}

/* Returns the transaction that inserts a tombstone as the change's row. */
static json_t *
build_tombstone_insert(const bv_head_t *head)
{
    char *key = change_row_key(head);
    json_t *operations = json_array();
    json_array_append_new(
        operations,
        bv_store_op_insert(key, bv_change_build_tombstone(head->change)));
    g_free(key);
    return operations;
}

/*
 * Whether the change's row shows that the change was accepted. `answer` is the
 * store's answer to build_head_update() or build_tombstone_insert(), whose
 * last operation inserts this row. If the row exists already, the answer has
 * its value.
 */
static bool
shows_acceptance(const ctl_answer_t *answer, const bv_head_t *head)
{
    const json_t *results = json_object_get(answer->json, "results");
    size_t size = json_array_size(results);
    const json_t *last = size > 0 ? json_array_get(results, size - 1) : NULL;
    return bv_change_is_accepted(json_object_get(last, "value"), head->change);
}

/*
 * Finds out the result of a transaction whose answer was lost, by inserting a
 * tombstone as the change's row. If the row exists already, the row shows
 * whether the change was accepted. Otherwise the tombstone keeps the change
 * from committing, however late its transaction reaches the table.
 */
static apply_result_t
resolve_lost_answer(ctl_store_t *store, const bv_head_t *head)
{
    for (int i = 0; i < RESOLVE_ATTEMPTS; i++) {
        ctl_answer_t answer =
            ctl_store_write(store, build_tombstone_insert(head));
        bv_store_result_t result = answer.result;
        bool is_accepted = shows_acceptance(&answer, head);
        ctl_answer_clear(&answer);
        if (result == BV_STORE_OK) {
            return APPLY_FAILED;
        }
        if (result == BV_STORE_CONFLICT) {
            return is_accepted ? APPLY_ACCEPTED : APPLY_FAILED;
        }
        usleep(RESOLVE_PAUSE_US);
    }
    return APPLY_UNKNOWN;
}

static apply_result_t
commit_change(ctl_store_t *store, const bv_head_t *before,
              const bv_head_t *head)
{
    ctl_answer_t answer =
        ctl_store_write(store, build_head_update(before, head));
    bv_store_result_t result = answer.result;
    bool is_accepted = shows_acceptance(&answer, head);
    ctl_answer_clear(&answer);
    switch (result) {
    case BV_STORE_OK:
        return APPLY_ACCEPTED;
    case BV_STORE_CONFLICT:
        return is_accepted ? APPLY_ACCEPTED : APPLY_CONFLICT;
    case BV_STORE_UNKNOWN:
        return resolve_lost_answer(store, head);
    default:
        return APPLY_FAILED;
    }
}

/*
 * Whether the node lists members, and all of them that are alive or suspected
 * have `generation` or a later generation in force.
 */
static bool
is_generation_in_force(const ctl_options_t *options, uint64_t generation)
{
    json_t *status = ctl_status_read(options);
    size_t index;
    json_t *member;
    bool is_in_force = json_array_size(json_object_get(status, "members")) > 0;
    json_array_foreach(json_object_get(status, "members"), index, member) {
        const char *state =
            json_string_value(json_object_get(member, "state"));
        bool is_present = state != NULL && (strcmp(state, "alive") == 0 ||
                                            strcmp(state, "suspect") == 0);
        json_int_t member_generation =
            json_integer_value(json_object_get(member, "generation"));
        is_in_force &=
            !is_present || (uint64_t)member_generation >= generation;
    }
    json_decref(status);
    return is_in_force;
}

static int
wait_until_in_force(const ctl_options_t *options, uint64_t generation)
{
    int64_t end_us = bv_clock_now_us() + options->wait_limit_s * BV_US_PER_S;
    while (bv_clock_now_us() < end_us) {
        if (is_generation_in_force(options, generation)) {
            printf("generation %" G_GUINT64_FORMAT " in force everywhere\n",
                   (guint64)generation);
            return 0;
        }
        usleep(STATUS_POLL_US);
    }
    fprintf(stderr,
            "generation %" G_GUINT64_FORMAT
            " is accepted, but not yet in force on all members that %s lists"
            " (waited %" G_GINT64_FORMAT " s)\n",
            (guint64)generation, options->operator_url, options->wait_limit_s);
    return 1;
}

static int
report_result(const ctl_options_t *options, apply_result_t result,
              const bv_head_t *head)
{
    switch (result) {
    case APPLY_ACCEPTED:
        printf("accepted: generation %" G_GUINT64_FORMAT " change %s\n",
               (guint64)head->generation, head->change);
        return options->has_wait
                   ? wait_until_in_force(options, head->generation)
                   : 0;
    case APPLY_CONFLICT:
        fprintf(stderr,
                "not applied: another change was accepted meanwhile; review "
                "its differences and apply again\n");
        return 1;
    case APPLY_FAILED:
        fprintf(stderr,
                "not applied: the store at %s refused the change or did not "
                "answer; apply again\n",
                options->platform_url);
        return 1;
    case APPLY_UNKNOWN:
        break;
    }
    fprintf(stderr,
            "unknown result: the store at %s did not answer whether change %s "
            "was accepted; run diff to compare with what is in force\n",
            options->platform_url, head->change);
    return 1;
}

/*
 * Prints the differences between `bundle`, which was in force before the
 * conflicting change, and the configuration that is in force now.
 */
static void
print_conflicting_changes(ctl_store_t *store, const json_t *bundle)
{
    bv_head_t head;
    json_t *current = NULL;
    if (!ctl_bundle_read(store, &head, &current)) {
        return;
    }
    printf("generation %" G_GUINT64_FORMAT
           " change %s has these differences:\n",
           (guint64)head.generation, head.change);
    ctl_bundle_diff(bundle, current);
    json_decref(current);
}

/*
 * Repeats a write whose answer was lost. This is safe: the object's name
 * contains its digest, so that a repetition writes the same bytes.
 */
static bool
put_object(ctl_store_t *store, const bv_head_t *head, GBytes *body)
{
    bv_store_result_t result = BV_STORE_UNKNOWN;
    for (int i = 0; i < PUT_ATTEMPTS && result == BV_STORE_UNKNOWN; i++) {
        ctl_answer_t answer = ctl_store_put(store, head->object, body);
        result = answer.result;
        ctl_answer_clear(&answer);
    }
    return result == BV_STORE_OK;
}

/*
 * Sends the accepted bundle to a node, so that the bundle spreads even if
 * the store fails right after the change was accepted. Returns false if the
 * node has another bundle of this generation in force.
 */
static bool
post_to_node(const ctl_options_t *options, GBytes *body)
{
    uint16_t status = 0;
    if (options->operator_url == NULL) {
        return true;
    }
    json_t *answer = ctl_node_post(options, "/configuration", body, &status);
    json_decref(answer);
    if (status == BV_STATUS_CONFLICT) {
        fprintf(stderr,
                "conflict: %s has another configuration of this generation "
                "and keeps it until a later change; apply again\n",
                options->operator_url);
        return false;
    }
    if (answer == NULL) {
        fprintf(stderr,
                "%s did not take the accepted configuration (check --token); "
                "the node will read it from the store\n",
                options->operator_url);
    }
    return true;
}

static int
apply_bundle(ctl_store_t *store, const ctl_options_t *options,
             const json_t *bundle, json_t *edited, const bv_head_t *before)
{
    bv_head_t head = {.generation = before->generation + 1};
    generate_change_id(head.change);
    GBytes *body = serialize_bundle(edited, &head);
    apply_result_t result = APPLY_FAILED;
    if (put_object(store, &head, body)) {
        result = commit_change(store, before, &head);
    }
    bool has_node_conflict =
        result == APPLY_ACCEPTED && !post_to_node(options, body);
    g_bytes_unref(body);
    int status = report_result(options, result, &head);
    if (has_node_conflict) {
        status = 1;
    }
    if (result == APPLY_CONFLICT) {
        print_conflicting_changes(store, bundle);
    }
    return status;
}

int
ctl_apply(const ctl_options_t *options)
{
    bv_head_t before;
    json_t *bundle = NULL;
    int status = 1;
    ctl_store_t *store = ctl_store_open(options);
    if (ctl_bundle_read(store, &before, &bundle)) {
        bv_findings_t *findings = bv_findings_create();
        json_t *edited = ctl_bundle_edit(bundle, options, findings);
        if (edited != NULL) {
            ctl_bundle_check(edited, options, findings);
        }
        status = ctl_report_findings(findings);
        if (status == 0) {
            status = apply_bundle(store, options, bundle, edited, &before);
        }
        json_decref(edited);
        json_decref(bundle);
    }
    ctl_store_close(store);
    return status;
}
