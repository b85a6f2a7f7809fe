#ifndef BERYLVANE_CORE_MEMBERSHIP_H
#define BERYLVANE_CORE_MEMBERSHIP_H

#include "berylvane/core/departure.h"

/*
 * membership - group membership by probes and gossip (SWIM)
 *
 * Each node owns the record of its own target. Records spread in packets: each
 * probe interval a node pings another one, mostly inside its own data centre,
 * and adds the latest updates to the packet. A member that does not answer is
 * probed through other members before it is suspected. It is declared dead if
 * it does not refute the suspicion in time.
 *
 * Updates that a node missed arrive by anti-entropy: each packet carries the
 * digest of one bucket of the sender's table, and where the digests differ
 * both nodes send the records of that bucket.
 *
 * Members keep the departures of a node's target for it. After a change of
 * them, and after a restart of the node, they send the node its record, with
 * the departures that earlier incarnations reported. So a node learns that
 * members have its departures, and learns them again after a restart.
 */
typedef enum {
    BV_MEMBER_ALIVE,
    BV_MEMBER_SUSPECT,
    BV_MEMBER_DRAINING,
    BV_MEMBER_LEFT,
    BV_MEMBER_DEAD,
} bv_member_state_t;

typedef struct {
    char name[BV_NAME_BYTES];
    char service[BV_SERVICE_BYTES];
    char data_centre[BV_NAME_BYTES];
    char region[BV_NAME_BYTES];
    char address[BV_ADDRESS_BYTES];
    uint16_t peer_port;
    uint16_t gossip_port;
    uint64_t incarnation;
    /* Orders the records of one incarnation. */
    uint32_t version;
    /* Calls that the target can run at the same time. */
    uint32_t slots;
    bv_member_state_t state;
    /* Highest generation reported in force; grows within an incarnation. */
    uint64_t generation;
    /* The latest departures of the member's target. */
    bv_departures_t departures;
} bv_member_t;

typedef enum {
    BV_GOSSIP_PING,
    BV_GOSSIP_ACK,
    /* Requests that the receiver pings `probe_target` and relays the ACK. */
    BV_GOSSIP_PROBE_REQUEST,
    /* Carries the records of one bucket; is not answered. */
    BV_GOSSIP_SYNC,
} bv_gossip_kind_t;

/* Limits of a packet; records that would exceed its size are not added. */
#define BV_GOSSIP_BYTES 1024
#define BV_GOSSIP_RECORDS_LIMIT 6
#define BV_GOSSIP_BUCKETS 64

typedef struct {
    bv_gossip_kind_t kind;
    /* Counts the packets of the sender's incarnation, to detect replays. */
    uint64_t number;
    /* Identifies a PING; an ACK has the sequence of its PING. */
    uint64_t sequence;
    /* Version of the configuration in force on the sender. */
    uint64_t generation;
    uint64_t config_digest;
    char probe_target[BV_NAME_BYTES];
    /* A bucket of the sender's table and the digest of its records. */
    uint32_t bucket;
    uint64_t bucket_digest;
    uint32_t record_count;
    bv_member_t records[BV_GOSSIP_RECORDS_LIMIT];
} bv_gossip_packet_t;

typedef enum {
    BV_GOSSIP_ACCEPTED,
    /*
     * Dropped: the packet is from an older incarnation, or its number was
     * received before, or the number is too old to tell whether it was.
     */
    BV_GOSSIP_REPLAYED,
    /* The bucket's digest differed; this node sent its records of it. */
    BV_GOSSIP_SYNCED,
} bv_gossip_verdict_t;

typedef struct {
    /* Sends a packet to a member's gossip port. */
    void (*send)(void *context, const bv_member_t *to,
                 const bv_gossip_packet_t *packet);
    /* A member was added or its record changed. */
    void (*member_changed)(void *context, const bv_member_t *member);
    /* `member` reported the version of the configuration in force on it. */
    void (*config_reported)(void *context, uint64_t generation,
                            uint64_t digest, const char *member);
    /*
     * A member sent what it knows of this node, in the record of this or of an
     * earlier incarnation. May be NULL.
     */
    void (*self_reported)(void *context, const bv_member_t *record);
} bv_membership_ops_t;

typedef struct {
    /* The initial record of this node. */
    bv_member_t self;
    int64_t probe_interval_us;
    /* Time after which an unanswered probe is repeated through others. */
    int64_t probe_timeout_us;
    /*
     * Time from the suspicion of a member to its eviction, for up to 16
     * members; it grows with the logarithm of their number.
     */
    int64_t suspect_timeout_us;
    /* Time after which dead and left members are removed from the table. */
    int64_t forget_after_us;
    /*
     * Share of suspected members of a tier (data centre, region or others)
     * from which this node may count as cut off from the tier; it then evicts
     * none of the tier's members.
     */
    uint32_t mass_suspicion_percent;
    /* Records that the table holds; records of further members are ignored. */
    uint32_t members_limit;
    /* `random`, `ops` and `context` must outlive the membership. */
    GRand *random;
    const bv_membership_ops_t *ops;
    void *context;
} bv_membership_options_t;

typedef struct bv_membership bv_membership_t;

bv_membership_t *bv_membership_create(const bv_membership_options_t *options);
void bv_membership_destroy(bv_membership_t *membership);

/*
 * Merges a record that did not arrive by gossip, such as a row of the store,
 * into the table. Unless the record is newer, at most its generation is taken.
 * The record is not passed on as an update.
 */
void bv_membership_merge_record(bv_membership_t *membership, int64_t now_us,
                                const bv_member_t *record);

/*
 * Pings an address at which a member may run. The member is added to the table
 * when its answer arrives.
 */
void bv_membership_ping_address(bv_membership_t *membership,
                                const char *address, uint16_t gossip_port);

/* Handles a packet; `from` is the record of its sender. */
bv_gossip_verdict_t
bv_membership_handle_packet(bv_membership_t *membership, int64_t now_us,
                            const bv_member_t *from,
                            const bv_gossip_packet_t *packet);

/*
 * Change this node's record. A change of the target, and the states draining
 * and left, are sent to many members at once, not only with the next probes.
 * The state and the generation never move backwards.
 */
void bv_membership_set_self_state(bv_membership_t *membership,
                                  bv_member_state_t state);
void bv_membership_set_self_target(bv_membership_t *membership,
                                   const char *service, uint32_t slots);
void bv_membership_set_self_departures(bv_membership_t *membership,
                                       const bv_departures_t *departures);
void bv_membership_set_self_config(bv_membership_t *membership,
                                   uint64_t generation, uint64_t digest);

/*
 * Pings many members at once, so that they receive this node's record and the
 * version of the configuration in force on it.
 */
void bv_membership_push_self(bv_membership_t *membership);

/* Sends the probes that are due and ends those that were not answered. */
void bv_membership_tick(bv_membership_t *membership, int64_t now_us);

/* Returns when bv_membership_tick() must run next. */
int64_t bv_membership_next_due_us(const bv_membership_t *membership);

/* Returns this node's own record. */
const bv_member_t *bv_membership_self(const bv_membership_t *membership);

/* Returns the record of another member, or NULL if the table has none. */
const bv_member_t *bv_membership_find(const bv_membership_t *membership,
                                      const char *name);

/* Counts the other members that are alive, suspect or draining. */
uint32_t bv_membership_count_present(const bv_membership_t *membership);

/*
 * Returns whether this node counts as cut off from a tier of members: so many
 * are suspected that a fault on this node's side is more likely.
 */
bool bv_membership_is_cut_off(const bv_membership_t *membership);

/* Calls `visit` for each member except this node. */
void bv_membership_foreach(const bv_membership_t *membership,
                           void (*visit)(void *context,
                                         const bv_member_t *member),
                           void *context);

/* First field of every encoded packet. */
#define BV_GOSSIP_MAGIC 0xb2

/* Returns the size of an encoded packet of the member `from`. */
size_t bv_membership_packet_bytes(const bv_member_t *from,
                                  const bv_gossip_packet_t *packet);

const char *bv_member_state_name(bv_member_state_t state);

/* Parses a state's name; returns false if no state has this name. */
bool bv_member_state_parse(const char *name, bv_member_state_t *state);

/*
 * Returns whether `left` is newer than `right`, both being records of one
 * member. A record is newer by, in this order:
 *  - a higher incarnation
 *  - the state left
 *  - the state draining, if the other is alive or suspect
 *  - a higher version
 *  - a later state in the order of bv_member_state_t
 */
bool bv_member_is_newer(const bv_member_t *left, const bv_member_t *right);

#endif
