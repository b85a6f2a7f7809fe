#ifndef CORE_MEMBERSHIP_INTERNAL_H
#define CORE_MEMBERSHIP_INTERNAL_H

#include "berylvane/core/membership.h"

/*
 * membership_internal - declarations that the sources of membership share
 *
 *  - membership.c: the table of members
 *  - membership_spread.c: selection of the records of a packet, anti-entropy
 *  - membership_probe.c: probes and their answers
 *  - membership_suspicion.c: suspicion and eviction of members
 */

/* Probes that a node relays at the same time; further ones replace the oldest.
 */
#define RELAYS_LIMIT 16

/* Members by their distance to this node. */
typedef enum {
    TIER_DATA_CENTRE,
    TIER_REGION,
    TIER_OTHER_REGION,
    /* Dead and left members, which are probed in case they have returned. */
    TIER_GONE,
    TIER_END,
} tier_t;

/* Numbers of the packets received from one sender. */
typedef struct {
    uint64_t incarnation;
    uint64_t highest;
    /* Bit N is set if the number `highest` - N was received. */
    uint64_t seen;
} replay_window_t;

typedef struct {
    bv_member_t member;
    uint32_t bucket;
    /* Packets that the record is still to be sent in as an update. */
    uint32_t sends_left;
    /*
     * 0 unless the member is suspected. The state of the record does not show
     * every suspicion: see membership_suspect().
     */
    int64_t suspect_since_us;
    /* A probe by this node failed, so this node keeps pinging the suspect. */
    bool has_failed_probe;
    /* The member was pinged a last time before it is declared dead. */
    bool was_warned;
    /* 0 unless the member is dead or has left. */
    int64_t gone_since_us;
    /*
     * Departures that earlier incarnations reported, until the member's own
     * record includes them.
     */
    bv_departures_t earlier_departures;
    /* Packets in which the member is still to be sent its departures. */
    uint32_t reports_left;
    replay_window_t replay_window;
} entry_t;

/* This node's estimate of whether it is cut off from a tier. */
typedef struct {
    bool last_probe_failed;
    bool is_cut_off;
    int64_t cut_off_since_us;
} tier_health_t;

/* The probe in progress; `sequence` is 0 if there is none. */
typedef struct {
    char member[BV_NAME_BYTES];
    uint64_t sequence;
    /* When the probe is repeated through other members. */
    int64_t indirect_due_us;
    /* When the probe fails. */
    int64_t end_us;
    bool is_indirect;
} probe_t;

/* A probe of the member `target` on behalf of another member, the origin. */
typedef struct {
    char origin[BV_NAME_BYTES];
    char target[BV_NAME_BYTES];
    uint64_t origin_sequence;
    uint64_t sequence;
} relay_t;

struct bv_membership {
    bv_membership_options_t options;
    /* entry_t by member name; this node itself is not among them. */
    GHashTable *entries;
    /* The same entries, each inserted at a random position. */
    GPtrArray *probe_order;
    entry_t self;
    uint64_t config_digest;
    /* Digests of the records by bucket. */
    uint64_t buckets[BV_GOSSIP_BUCKETS];
    uint32_t next_bucket;
    guint next_in_rotation;
    guint next_of_tier[TIER_END];
    tier_health_t health[TIER_END];
    uint32_t consecutive_failures;
    uint64_t probe_count;
    uint64_t sequence;
    uint64_t packet_number;
    probe_t probe;
    relay_t relays[RELAYS_LIMIT];
    uint32_t next_relay;
    /* Another member suspects this node; the next tick sends a refutation. */
    bool is_refutation_due;
    int64_t last_tick_us;
    int64_t next_probe_us;
    int64_t next_sync_us;
};

/* Whether the member is alive, suspect or draining. */
bool membership_is_present(const entry_t *entry);

/* Whether the member has left or is dead. */
bool membership_is_gone(const entry_t *entry);

/*
 * Stores a record if it is newer than the one in the table; of an equal
 * incarnation, the higher generation is kept in any case. If `is_update` is
 * set, a stored record is sent on to other members. A record that reports this
 * node as suspect or dead is refuted instead.
 */
void membership_apply_record(bv_membership_t *membership, int64_t now_us,
                             const bv_member_t *record, bool is_update);

/* Returns the number of packets in which a node sends each update. */
uint32_t membership_sends_per_update(const bv_membership_t *membership);

/*
 * Adds the record to the digest of its bucket, or removes it again: callers
 * toggle before and after each change of a record.
 */
void membership_toggle_digest(bv_membership_t *membership,
                              const entry_t *entry);
uint32_t membership_bucket_of(const char *name);

/* Increments the version of this node's record. */
void membership_advance_self_version(bv_membership_t *membership);

/* Sends a packet; `target` is NULL except in a probe request. */
void membership_send(bv_membership_t *membership, const bv_member_t *to,
                     bv_gossip_kind_t kind, uint64_t sequence,
                     const char *target);

/*
 * Sends the records of a bucket. Returns false, and sends nothing, if less
 * than a probe interval has passed since the last time.
 */
bool membership_send_bucket(bv_membership_t *membership, int64_t now_us,
                            const bv_member_t *to, uint32_t bucket);

/* Handles the probe, or the answer to a probe, in a packet from `entry`. */
void membership_handle_probe_packet(bv_membership_t *membership,
                                    entry_t *entry,
                                    const bv_gossip_packet_t *packet);

tier_t membership_tier_of(const bv_membership_t *membership,
                          const entry_t *entry);

/* Records the result of a probe of `entry` for the entry's tier. */
void membership_record_probe_result(bv_membership_t *membership,
                                    const entry_t *entry, bool failed);

/*
 * Starts to suspect a member. If the member is draining or this node is cut
 * off from the member's tier, the state of the record stays unchanged, so that
 * the suspicion is not sent to other members.
 */
void membership_suspect(bv_membership_t *membership, int64_t now_us,
                        entry_t *entry);

/* Declares members dead that have not refuted their suspicion in time. */
void membership_evict_suspects(bv_membership_t *membership, int64_t now_us);

/* Sends suspected members their records, so that they can refute these. */
void membership_ping_suspects(bv_membership_t *membership);

/*
 * Pings PUSH_LIMIT random members, or all members if they are fewer, to send
 * them this node's record.
 */
void membership_ping_many(bv_membership_t *membership);

#endif
