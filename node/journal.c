#include "berylvane/node/journal.h"

#include <string.h>

typedef struct {
    int64_t wall_us;
    bv_decision_kind_t kind;
    bv_id_t request;
    char subject[BV_NAME_BYTES];
    bv_reason_t reason;
    bv_outcome_t outcome;
    int64_t number;
} entry_t;

struct bv_journal {
    entry_t *entries;
    uint32_t capacity;
    /* Number of decisions that were ever added. */
    uint64_t added;
    uint64_t counts[BV_DECISION_END][BV_REASON_END];
};

static const char *const kind_names[BV_DECISION_END] = {
    [BV_DECISION_ROUTED] = "routed",
    [BV_DECISION_RETRIED] = "retried",
    [BV_DECISION_NOT_RETRIED] = "not_retried",
    [BV_DECISION_REROUTED] = "rerouted",
    [BV_DECISION_HEDGED] = "hedged",
    [BV_DECISION_FENCED] = "fenced",
    [BV_DECISION_CANCELLED] = "cancelled",
    [BV_DECISION_ANSWERED] = "answered",
    [BV_DECISION_ADMITTED] = "admitted",
    [BV_DECISION_REFUSED] = "refused",
    [BV_DECISION_SERVED] = "served",
    [BV_DECISION_CHARGED] = "charged",
    [BV_DECISION_MEMBER] = "member",
    [BV_DECISION_ADOPTED] = "adopted",
    [BV_DECISION_REJECTED] = "rejected",
};

const char *
bv_decision_name(bv_decision_kind_t kind)
{
    return kind_names[kind];
}

bv_journal_t *
bv_journal_create(uint32_t capacity)
{
    bv_journal_t *journal = g_new0(bv_journal_t, 1);
    journal->capacity = capacity;
    journal->entries = g_new0(entry_t, capacity);
    return journal;
}

void
bv_journal_destroy(bv_journal_t *journal)
{
    if (journal == NULL) {
        return;
    }
    g_free(journal->entries);
    g_free(journal);
}

void
bv_journal_add(bv_journal_t *journal, int64_t wall_us,
               const bv_decision_t *decision)
{
    entry_t *entry = &journal->entries[journal->added % journal->capacity];
    journal->added++;
    journal->counts[decision->kind][decision->reason]++;
    entry->wall_us = wall_us;
    entry->kind = decision->kind;
    entry->request = decision->request;
    entry->reason = decision->reason;
    entry->outcome = decision->outcome;
    entry->number = decision->number;
    g_strlcpy(entry->subject,
              decision->subject != NULL ? decision->subject : "",
              BV_NAME_BYTES);
}

static json_t *
render_entry(const entry_t *entry)
{
    return json_pack("{s:I, s:s, s:s, s:s, s:s, s:I}", "time_us",
                     (json_int_t)entry->wall_us, "decision",
                     kind_names[entry->kind], "subject", entry->subject,
                     "reason", bv_reason_name(entry->reason), "outcome",
                     bv_outcome_name(entry->outcome), "number",
                     (json_int_t)entry->number);
}

typedef bool (*predicate_t)(const entry_t *entry, const void *key);

static json_t *
list_matching(const bv_journal_t *journal, predicate_t matches,
              const void *key)
{
    json_t *decisions = json_array();
    uint64_t first = journal->added > journal->capacity
                         ? journal->added - journal->capacity
                         : 0;
    for (uint64_t i = first; i < journal->added; i++) {
        const entry_t *entry = &journal->entries[i % journal->capacity];
        if (matches(entry, key)) {
            json_array_append_new(decisions, render_entry(entry));
        }
    }
    return decisions;
}

static bool
is_about_request(const entry_t *entry, const void *key)
{
    return bv_id_equal(&entry->request, key);
}

static bool
is_about_subject(const entry_t *entry, const void *key)
{
    return strcmp(entry->subject, key) == 0;
}

static bool
is_about_config(const entry_t *entry, const void *key)
{
    (void)key;
    return entry->kind == BV_DECISION_ADOPTED ||
           entry->kind == BV_DECISION_REJECTED;
}

json_t *
bv_journal_list_by_request(const bv_journal_t *journal, const bv_id_t *id)
{
    return list_matching(journal, is_about_request, id);
}

json_t *
bv_journal_list_by_subject(const bv_journal_t *journal, const char *subject)
{
    return list_matching(journal, is_about_subject, subject);
}

json_t *
bv_journal_list_config(const bv_journal_t *journal)
{
    return list_matching(journal, is_about_config, NULL);
}

json_t *
bv_journal_count_decisions(const bv_journal_t *journal)
{
    json_t *counts = json_object();
    for (int kind = 0; kind < BV_DECISION_END; kind++) {
        json_t *reasons = json_object();
        for (int reason = 0; reason < BV_REASON_END; reason++) {
            uint64_t count = journal->counts[kind][reason];
            if (count > 0) {
                json_object_set_new(reasons,
                                    bv_reason_name((bv_reason_t)reason),
                                    json_integer((json_int_t)count));
            }
        }
        json_object_set_new(counts, kind_names[kind], reasons);
    }
    return counts;
}
