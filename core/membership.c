#include "membership_internal.h"

#include "berylvane/common/invariant.h"

#include <string.h>

#define REPLAY_WINDOW_BITS 64
/* Packets in which a member is sent its departures, as one may be lost. */
#define DEPARTURE_REPORTS 4

static const char *const state_names[] = {"alive", "suspect", "draining",
                                          "left", "dead"};

const char *
bv_member_state_name(bv_member_state_t state)
{
    return state_names[state];
}

bool
bv_member_state_parse(const char *name, bv_member_state_t *state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(name, state_names[i]) == 0) {
            *state = (bv_member_state_t)i;
            return true;
        }
    }
    return false;
}

static bool
is_in_service(const bv_member_t *member)
{
    return member->state == BV_MEMBER_ALIVE ||
           member->state == BV_MEMBER_SUSPECT;
}

bool
bv_member_is_newer(const bv_member_t *left, const bv_member_t *right)
{
    if (left->incarnation != right->incarnation) {
        return left->incarnation > right->incarnation;
    }
    if (right->state == BV_MEMBER_LEFT || left->state == BV_MEMBER_LEFT) {
        return right->state != BV_MEMBER_LEFT;
    }
    if (left->state == BV_MEMBER_DRAINING && is_in_service(right)) {
        return true;
    }
    if (right->state == BV_MEMBER_DRAINING && is_in_service(left)) {
        return false;
    }
    if (left->version != right->version) {
        return left->version > right->version;
    }
    return left->state > right->state;
}

bv_membership_t *
bv_membership_create(const bv_membership_options_t *options)
{
    bv_membership_t *membership = g_new0(bv_membership_t, 1);
    membership->options = *options;
    membership->self.member = options->self;
    membership->self.bucket = membership_bucket_of(options->self.name);
    membership_toggle_digest(membership, &membership->self);
    membership->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    membership->probe_order = g_ptr_array_new();
    return membership;
}

void
bv_membership_destroy(bv_membership_t *membership)
{
    if (membership == NULL) {
        return;
    }
    g_ptr_array_unref(membership->probe_order);
    g_hash_table_destroy(membership->entries);
    g_free(membership);
}

bool
membership_is_gone(const entry_t *entry)
{
    return entry->member.state >= BV_MEMBER_LEFT;
}

bool
membership_is_present(const entry_t *entry)
{
    return !membership_is_gone(entry);
}

void
membership_advance_self_version(bv_membership_t *membership)
{
    membership_toggle_digest(membership, &membership->self);
    membership->self.member.version++;
    membership_toggle_digest(membership, &membership->self);
}

/*
 * Refutes a record of this node that other nodes may prefer to the true one:
 * one in which this node is suspect or dead, or one with a version that this
 * node has not reached. Raises the version of this node's record above it.
 */
static void
refute_record(bv_membership_t *membership, const bv_member_t *record)
{
    bv_member_t *self = &membership->self.member;
    bool is_suspected =
        record->state == BV_MEMBER_SUSPECT || record->state == BV_MEMBER_DEAD;
    bool is_preferred = record->version > self->version ||
                        (record->version == self->version && is_suspected);
    if (record->incarnation != self->incarnation || !is_preferred) {
        return;
    }
    membership_toggle_digest(membership, &membership->self);
    self->version = record->version;
    membership_toggle_digest(membership, &membership->self);
    membership_advance_self_version(membership);
    membership->is_refutation_due = true;
}

/*
 * Keeps the departures of an incarnation that has ended until the member has
 * learned them. A record that is full of departures has no room for more.
 */
static void
keep_departures(entry_t *entry, const bv_member_t *record)
{
    bv_departures_t *earlier = &entry->earlier_departures;
    const bv_departures_t *known = &entry->member.departures;
    bool has_restarted = record->incarnation != entry->member.incarnation;
    if (has_restarted) {
        bv_departures_merge(earlier, known);
    }
    if (has_restarted || !bv_departures_include(known, &record->departures)) {
        entry->reports_left = DEPARTURE_REPORTS;
    }
    bool is_full =
        bv_departures_count(&record->departures) == BV_DEPARTURES_KEPT;
    if (is_full || bv_departures_include(&record->departures, earlier)) {
        memset(earlier, 0, sizeof(*earlier));
    }
}

static void
replace_record(bv_membership_t *membership, int64_t now_us, entry_t *entry,
               const bv_member_t *record, bool is_update)
{
    const bv_membership_options_t *options = &membership->options;
    uint64_t generation = entry->member.generation;
    bool restarted = record->incarnation != entry->member.incarnation;
    bv_invariant(entry->member.state != BV_MEMBER_LEFT || restarted,
                 "left_stays_left", entry->member.name);
    bv_invariant(record->incarnation >= entry->member.incarnation,
                 "incarnation_moves_forward", entry->member.name);
    keep_departures(entry, record);
    entry->member = *record;
    if (!restarted) {
        entry->member.generation = MAX(generation, record->generation);
    }
    entry->sends_left =
        is_update ? membership_sends_per_update(membership) : 0;
    entry->suspect_since_us = record->state == BV_MEMBER_SUSPECT ? now_us : 0;
    entry->has_failed_probe = false;
    entry->was_warned = false;
    entry->gone_since_us = membership_is_gone(entry) ? now_us : 0;
    options->ops->member_changed(options->context, &entry->member);
}

static void
add_member(bv_membership_t *membership, int64_t now_us,
           const bv_member_t *record, bool is_update)
{
    if (record->state >= BV_MEMBER_LEFT ||
        membership->probe_order->len >= membership->options.members_limit) {
        return;
    }
    entry_t *entry = g_new0(entry_t, 1);
    entry->member = *record;
    entry->bucket = membership_bucket_of(record->name);
    g_hash_table_insert(membership->entries, entry->member.name, entry);
    guint position =
        (guint)g_rand_int_range(membership->options.random, 0,
                                (gint32)membership->probe_order->len + 1);
    g_ptr_array_insert(membership->probe_order, (gint)position, entry);
    replace_record(membership, now_us, entry, record, is_update);
    membership_toggle_digest(membership, entry);
}

void
membership_apply_record(bv_membership_t *membership, int64_t now_us,
                        const bv_member_t *record, bool is_update)
{
    if (strcmp(record->name, membership->self.member.name) == 0) {
        const bv_membership_options_t *options = &membership->options;
        refute_record(membership, record);
        if (options->ops->self_reported != NULL) {
            options->ops->self_reported(options->context, record);
        }
        return;
    }
    entry_t *entry = g_hash_table_lookup(membership->entries, record->name);
    if (entry == NULL) {
        add_member(membership, now_us, record, is_update);
        return;
    }
    bv_member_t *member = &entry->member;
    if (record->incarnation == member->incarnation) {
        member->generation = MAX(member->generation, record->generation);
        /* A row of the store has the same version, but no departures. */
        if (record->version == member->version) {
            bv_departures_merge(&member->departures, &record->departures);
        }
    }
    if (!bv_member_is_newer(record, member)) {
        return;
    }
    membership_toggle_digest(membership, entry);
    replace_record(membership, now_us, entry, record, is_update);
    membership_toggle_digest(membership, entry);
}

void
bv_membership_merge_record(bv_membership_t *membership, int64_t now_us,
                           const bv_member_t *record)
{
    membership_apply_record(membership, now_us, record, false);
}

/*
 * Records a packet number in the window. Returns false for a replay: the
 * number was received before, or is older than the window.
 */
static bool
accept_number(replay_window_t *window, uint64_t incarnation, uint64_t number)
{
    if (incarnation < window->incarnation) {
        return false;
    }
    if (incarnation > window->incarnation) {
        *window = (replay_window_t){.incarnation = incarnation};
    }
    if (number > window->highest) {
        uint64_t step = number - window->highest;
        window->seen = step < REPLAY_WINDOW_BITS ? window->seen << step : 0;
        window->seen |= 1;
        window->highest = number;
        return true;
    }
    uint64_t age = window->highest - number;
    if (age >= REPLAY_WINDOW_BITS || (window->seen >> age & 1) != 0) {
        return false;
    }
    window->seen |= (uint64_t)1 << age;
    return true;
}

static bool
has_different_bucket(const bv_membership_t *membership,
                     const bv_gossip_packet_t *packet)
{
    return packet->kind <= BV_GOSSIP_ACK &&
           packet->bucket < BV_GOSSIP_BUCKETS &&
           packet->bucket_digest != membership->buckets[packet->bucket];
}

bv_gossip_verdict_t
bv_membership_handle_packet(bv_membership_t *membership, int64_t now_us,
                            const bv_member_t *from,
                            const bv_gossip_packet_t *packet)
{
    const bv_membership_options_t *options = &membership->options;
    entry_t *entry = g_hash_table_lookup(membership->entries, from->name);
    if (entry != NULL && (from->incarnation < entry->member.incarnation ||
                          !accept_number(&entry->replay_window,
                                         from->incarnation, packet->number))) {
        return BV_GOSSIP_REPLAYED;
    }
    membership_apply_record(membership, now_us, from, true);
    entry = g_hash_table_lookup(membership->entries, from->name);
    if (entry == NULL) {
        return BV_GOSSIP_ACCEPTED;
    }
    if (entry->replay_window.incarnation != from->incarnation) {
        accept_number(&entry->replay_window, from->incarnation,
                      packet->number);
    }
    bool is_update = packet->kind != BV_GOSSIP_SYNC;
    for (uint32_t i = 0; i < packet->record_count; i++) {
        membership_apply_record(membership, now_us, &packet->records[i],
                                is_update);
    }
    options->ops->config_reported(options->context, packet->generation,
                                  packet->config_digest, from->name);
    membership_handle_probe_packet(membership, entry, packet);
    /* An answer is not answered, so the departures need a packet of their own.
     */
    if (packet->kind == BV_GOSSIP_ACK && entry->reports_left > 0 &&
        bv_departures_count(&entry->earlier_departures) > 0) {
        membership_send(membership, &entry->member, BV_GOSSIP_PING,
                        ++membership->sequence, NULL);
    }
    if (has_different_bucket(membership, packet) &&
        membership_send_bucket(membership, now_us, from, packet->bucket)) {
        return BV_GOSSIP_SYNCED;
    }
    return BV_GOSSIP_ACCEPTED;
}

void
bv_membership_set_self_state(bv_membership_t *membership,
                             bv_member_state_t state)
{
    bv_member_t *self = &membership->self.member;
    bv_invariant(state >= self->state, "own_state_moves_forward", self->name);
    membership_toggle_digest(membership, &membership->self);
    self->state = state;
    membership_toggle_digest(membership, &membership->self);
    membership_advance_self_version(membership);
    if (state == BV_MEMBER_DRAINING || state == BV_MEMBER_LEFT) {
        membership_ping_many(membership);
    }
}

void
bv_membership_set_self_target(bv_membership_t *membership, const char *service,
                              uint32_t slots)
{
    bv_member_t *self = &membership->self.member;
    if (self->slots == slots && strcmp(self->service, service) == 0) {
        return;
    }
    g_strlcpy(self->service, service, BV_SERVICE_BYTES);
    self->slots = slots;
    membership_advance_self_version(membership);
    membership_ping_many(membership);
}

void
bv_membership_set_self_departures(bv_membership_t *membership,
                                  const bv_departures_t *departures)
{
    membership->self.member.departures = *departures;
    membership_advance_self_version(membership);
    membership_ping_many(membership);
}

void
bv_membership_ping_address(bv_membership_t *membership, const char *address,
                           uint16_t gossip_port)
{
    bv_member_t contact = {.gossip_port = gossip_port};
    g_strlcpy(contact.address, address, BV_ADDRESS_BYTES);
    membership_send(membership, &contact, BV_GOSSIP_PING,
                    ++membership->sequence, NULL);
}

void
bv_membership_push_self(bv_membership_t *membership)
{
    membership_ping_many(membership);
}

void
bv_membership_set_self_config(bv_membership_t *membership, uint64_t generation,
                              uint64_t digest)
{
    bv_member_t *self = &membership->self.member;
    bv_invariant(generation >= self->generation, "generation_moves_forward",
                 self->name);
    self->generation = generation;
    membership->config_digest = digest;
}

const bv_member_t *
bv_membership_self(const bv_membership_t *membership)
{
    return &membership->self.member;
}

const bv_member_t *
bv_membership_find(const bv_membership_t *membership, const char *name)
{
    const entry_t *entry = g_hash_table_lookup(membership->entries, name);
    return entry != NULL ? &entry->member : NULL;
}

uint32_t
bv_membership_count_present(const bv_membership_t *membership)
{
    uint32_t present = 0;
    for (guint i = 0; i < membership->probe_order->len; i++) {
        present += membership_is_present(membership->probe_order->pdata[i]);
    }
    return present;
}

void
bv_membership_foreach(const bv_membership_t *membership,
                      void (*visit)(void *context, const bv_member_t *member),
                      void *context)
{
    for (guint i = 0; i < membership->probe_order->len; i++) {
        const entry_t *entry = membership->probe_order->pdata[i];
        visit(context, &entry->member);
    }
}
