#include "ctl.h"

#include "berylvane/common/clock.h"
#include "berylvane/core/types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define PUT_TRIES 5
#define SETTLE_TRIES 30
#define SETTLE_PAUSE_US (BV_US_PER_S / 2)
#define WAIT_PAUSE_US (BV_US_PER_S / 5)

typedef enum {
    APPLY_ACCEPTED,
    APPLY_CONFLICT,
    APPLY_FAILED,
    APPLY_UNKNOWN,
} apply_result_t;

static void
mint_change(char change[BV_HEAD_TEXT_BYTES])
{
    GRand *random = g_rand_new();
    bv_id_t id = bv_id_random(random);
    bv_id_text(&id, change);
    g_rand_free(random);
}

static GBytes *
render_object(json_t *bundle, bv_head_t *head)
{
    json_object_set_new(bundle, "generation",
                        json_integer((json_int_t)head->generation));
    char *text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
    size_t size = strlen(text);
    bv_head_set_bundle(head, head->generation, XXH3_64bits(text, size));
    return g_bytes_new_with_free_func(text, size, free, text);
}

static char *
change_key(const bv_head_t *head)
{
    return g_strconcat(BV_CHANGE_PREFIX, head->change, NULL);
}

static json_t *
build_operations(const bv_head_t *before, const bv_head_t *head)
{
    char *key = change_key(head);
    json_t *operations = json_array();
    json_array_append_new(operations,
                          bv_store_op_update(BV_HEAD_KEY, bv_head_render(head),
                                             before->revision));
    json_array_append_new(operations,
                          bv_store_op_insert(key, bv_head_render(head)));
    g_free(key);
    return operations;
}

static json_t *
build_tombstone(const bv_head_t *head)
{
    char *key = change_key(head);
    json_t *operations = json_array();
    json_array_append_new(
        operations,
        bv_store_op_insert(key, bv_change_build_tombstone(head->change)));
    g_free(key);
    return operations;
}

/* The change's row as the last of a refused transaction's operations saw it.
 */
static bool
is_accepted(const ctl_answer_t *answer, const bv_head_t *head)
{
    const json_t *results = json_object_get(answer->json, "results");
    size_t size = json_array_size(results);
    const json_t *last = size > 0 ? json_array_get(results, size - 1) : NULL;
    return bv_change_is_accepted(json_object_get(last, "value"), head->change);
}

/*
 * A lost answer is settled by putting a tombstone in the place of the change's
 * own row: either the row is there already, or the change can never commit,
 * however late its transaction reaches the table.
 */
static apply_result_t
settle(ctl_store_t *store, const bv_head_t *head)
{
    for (int i = 0; i < SETTLE_TRIES; i++) {
        ctl_answer_t answer = ctl_store_write(store, build_tombstone(head));
        bv_store_result_t result = answer.result;
        bool accepted = is_accepted(&answer, head);
        ctl_answer_clear(&answer);
        if (result == BV_STORE_OK) {
            return APPLY_FAILED;
        }
        if (result == BV_STORE_CONFLICT) {
            return accepted ? APPLY_ACCEPTED : APPLY_FAILED;
        }
        usleep(SETTLE_PAUSE_US);
    }
    return APPLY_UNKNOWN;
}

static apply_result_t
commit(ctl_store_t *store, const bv_head_t *before, const bv_head_t *head)
{
    ctl_answer_t answer =
        ctl_store_write(store, build_operations(before, head));
    bv_store_result_t result = answer.result;
    bool accepted = is_accepted(&answer, head);
    ctl_answer_clear(&answer);
    switch (result) {
    case BV_STORE_OK:
        return APPLY_ACCEPTED;
    case BV_STORE_CONFLICT:
        return accepted ? APPLY_ACCEPTED : APPLY_CONFLICT;
    case BV_STORE_UNKNOWN:
        return settle(store, head);
    default:
        return APPLY_FAILED;
    }
}

static bool
node_has(const ctl_options_t *options, uint64_t generation)
{
    json_t *status = ctl_status_read(options);
    size_t index;
    json_t *member;
    bool all = json_array_size(json_object_get(status, "members")) > 0;
    json_array_foreach(json_object_get(status, "members"), index, member) {
        const char *state =
            json_string_value(json_object_get(member, "state"));
        bool counts = state != NULL && (strcmp(state, "alive") == 0 ||
                                        strcmp(state, "suspect") == 0);
        json_int_t in_force =
            json_integer_value(json_object_get(member, "generation"));
        all &= !counts || (uint64_t)in_force >= generation;
    }
    json_decref(status);
    return all;
}

static int
wait_in_force(const ctl_options_t *options, uint64_t generation)
{
    int64_t end_us = bv_clock_now_us() + options->wait_s * BV_US_PER_S;
    while (bv_clock_now_us() < end_us) {
        if (node_has(options, generation)) {
            printf("generation %" G_GUINT64_FORMAT " in force everywhere\n",
                   (guint64)generation);
            return 0;
        }
        usleep(WAIT_PAUSE_US);
    }
    fprintf(stderr,
            "generation %" G_GUINT64_FORMAT
            " is accepted, but not in force everywhere yet\n",
            (guint64)generation);
    return 1;
}

static int
report(const ctl_options_t *options, apply_result_t result,
       const bv_head_t *head)
{
    switch (result) {
    case APPLY_ACCEPTED:
        printf("accepted: generation %" G_GUINT64_FORMAT " change %s\n",
               (guint64)head->generation, head->change);
        return options->wait ? wait_in_force(options, head->generation) : 0;
    case APPLY_CONFLICT:
        fprintf(stderr, "another change came first; nothing was applied\n");
        return 1;
    case APPLY_FAILED:
        fprintf(stderr, "the store did not take the change\n");
        return 1;
    case APPLY_UNKNOWN:
        break;
    }
    fprintf(stderr, "the store does not tell whether change %s was accepted\n",
            head->change);
    return 1;
}

/* Shows what the change that came first touched. */
static void
explain_conflict(ctl_store_t *store, const json_t *bundle)
{
    bv_head_t head;
    json_t *now = NULL;
    if (!ctl_bundle_read(store, &head, &now)) {
        return;
    }
    printf("generation %" G_GUINT64_FORMAT " change %s touched:\n",
           (guint64)head.generation, head.change);
    ctl_bundle_diff(bundle, now);
    json_decref(now);
}

/* An object's name holds its digest: putting it again changes nothing. */
static bool
put_object(ctl_store_t *store, const bv_head_t *head, GBytes *body)
{
    bv_store_result_t result = BV_STORE_UNKNOWN;
    for (int i = 0; i < PUT_TRIES && result == BV_STORE_UNKNOWN; i++) {
        ctl_answer_t answer = ctl_store_put(store, head->object, body);
        result = answer.result;
        ctl_answer_clear(&answer);
    }
    return result == BV_STORE_OK;
}

/* So that it spreads even if the store goes out right after the accept. */
static void
tell_node(const ctl_options_t *options, GBytes *body)
{
    if (options->operator_url == NULL) {
        return;
    }
    json_t *answer = ctl_node_post(options, "/configuration", body);
    if (answer == NULL) {
        fprintf(stderr, "%s was not told; it will read the store\n",
                options->operator_url);
    }
    json_decref(answer);
}

static int
apply_bundle(ctl_store_t *store, const ctl_options_t *options,
             const json_t *bundle, json_t *edited, const bv_head_t *before)
{
    bv_head_t head = {.generation = before->generation + 1};
    mint_change(head.change);
    GBytes *body = render_object(edited, &head);
    apply_result_t result = APPLY_FAILED;
    if (put_object(store, &head, body)) {
        result = commit(store, before, &head);
    }
    if (result == APPLY_ACCEPTED) {
        tell_node(options, body);
    }
    g_bytes_unref(body);
    int status = report(options, result, &head);
    if (result == APPLY_CONFLICT) {
        explain_conflict(store, bundle);
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
