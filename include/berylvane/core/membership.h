#ifndef BERYLVANE_CORE_MEMBERSHIP_H
#define BERYLVANE_CORE_MEMBERSHIP_H

#include "berylvane/core/types.h"

/*
 * membership - who is part of the system, by probes and gossip
 *
 * Each node owns the record of its own target. Records spread in packets: a
 * probe each interval, mostly inside the own data centre, with the newest
 * changes on it. A member that does not answer is probed through others before
 * it is suspected, and declared dead when it does not refute that in time.
 *
 * What a node missed it gets by anti-entropy: packets carry the digest of one
 * bucket of the sender's table, and where digests differ both sides send the
 * records of that bucket.
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
    char service[BV_NAME_BYTES];
    char data_centre[BV_NAME_BYTES];
    char region[BV_NAME_BYTES];
    char address[BV_ADDRESS_BYTES];
    uint16_t peer_port;
    uint16_t gossip_port;
    uint64_t incarnation;
    uint32_t version;
    uint32_t slots;
    bv_member_state_t state;
    /* Highest generation known in force there; only grows. */
    uint64_t generation;
} bv_member_t;

typedef enum {
    BV_GOSSIP_PING,
    BV_GOSSIP_ACK,
    /* Asks the receiver to probe `target` and to pass its answer on. */
    BV_GOSSIP_PROBE_REQUEST,
    /* Records only; not answered. */
    BV_GOSSIP_SYNC,
} bv_gossip_kind_t;

#define BV_GOSSIP_RECORDS_LIMIT 6
#define BV_GOSSIP_BUCKETS 64

/* One packet; `sequence` of an ACK is that of the PING it answers. */
typedef struct {
    bv_gossip_kind_t kind;
    /* Counts the packets of the sender's incarnation. */
    uint64_t number;
    uint64_t sequence;
    /* The configuration in force at the sender. */
    uint64_t generation;
    uint64_t config_digest;
    char probe_target[BV_NAME_BYTES];
    uint32_t bucket;
    uint64_t bucket_digest;
    uint32_t record_count;
    bv_member_t records[BV_GOSSIP_RECORDS_LIMIT];
} bv_gossip_packet_t;

typedef enum {
    BV_GOSSIP_ACCEPTED,
    /* From an older incarnation, or already seen, or too old to tell. */
    BV_GOSSIP_REPLAYED,
    /* Differed in a bucket; records were sent. */
    BV_GOSSIP_SYNCED,
} bv_gossip_verdict_t;

typedef struct {
    /* Sends a packet to a member's gossip port. */
    void (*send)(void *context, const bv_member_t *to,
                 const bv_gossip_packet_t *packet);
    /* A member is new or its record changed. */
    void (*member_changed)(void *context, const bv_member_t *member);
    /* A member says which configuration is in force there. */
    void (*config_reported)(void *context, uint64_t generation,
                            uint64_t digest, const char *member);
} bv_membership_ops_t;

typedef struct {
    bv_member_t self;
    int64_t probe_interval_us;
    int64_t probe_timeout_us;
    /* For up to 16 members; grows with the logarithm of their number. */
    int64_t suspect_timeout_us;
    /* How long dead and left members are remembered. */
    int64_t forget_after_us;
    /* Share of suspects, in percent, at which evictions stop. */
    uint32_t mass_suspicion_percent;
    /* Most members that are kept. */
    uint32_t members_limit;
    GRand *random;
    const bv_membership_ops_t *ops;
    void *context;
} bv_membership_options_t;

typedef struct bv_membership bv_membership_t;

bv_membership_t *bv_membership_create(const bv_membership_options_t *options);
void bv_membership_destroy(bv_membership_t *membership);

/* Takes a record from the rendezvous rows or from a packet. */
void bv_membership_merge_record(bv_membership_t *membership, int64_t now_us,
                                const bv_member_t *record);

/* Pings an address that may be a member's; its answer makes it known. */
void bv_membership_ping_address(bv_membership_t *membership,
                                const char *address, uint16_t gossip_port);

/* Handles a packet from the member called `from`. */
bv_gossip_verdict_t
bv_membership_handle_packet(bv_membership_t *membership, int64_t now_us,
                            const bv_member_t *from,
                            const bv_gossip_packet_t *packet);

/*
 * Changes the own record: target announced, draining or left. A change of the
 * target, draining and left are told to many members at once, not only by the
 * next probes.
 */
void bv_membership_set_self_state(bv_membership_t *membership,
                                  bv_member_state_t state);
void bv_membership_set_self_target(bv_membership_t *membership,
                                   const char *service, uint32_t slots);
void bv_membership_set_self_config(bv_membership_t *membership,
                                   uint64_t generation, uint64_t digest);

/* Tells many members at once what is in force here. */
void bv_membership_push_self(bv_membership_t *membership);

void bv_membership_tick(bv_membership_t *membership, int64_t now_us);
int64_t bv_membership_next_due_us(const bv_membership_t *membership);

const bv_member_t *bv_membership_self(const bv_membership_t *membership);
const bv_member_t *bv_membership_find(const bv_membership_t *membership,
                                      const char *name);

/* Members that are alive, suspect or draining, but for the own one. */
uint32_t bv_membership_count_present(const bv_membership_t *membership);

/* Whether so many are suspect that the own node must be cut off. */
bool bv_membership_is_cut_off(const bv_membership_t *membership);

/* Calls `visit` for each member but the own one. */
void bv_membership_foreach(const bv_membership_t *membership,
                           void (*visit)(void *context,
                                         const bv_member_t *member),
                           void *context);

const char *bv_member_state_name(bv_member_state_t state);

/* The state called `name`; false when there is none. */
bool bv_member_state_parse(const char *name, bv_member_state_t *state);

/*
 * Whether `left` is newer than `right`, two records of one name: by
 * incarnation, then left over all else, draining over alive and suspect, then
 * version, then state.
 */
bool bv_member_is_newer(const bv_member_t *left, const bv_member_t *right);

#endif
