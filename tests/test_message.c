#include "berylvane/peer/message.h"
#include "berylvane/peer/pack.h"
#include "berylvane/peer/quota_codec.h"
#include "support.h"

#include <string.h>

/* A decoded message must equal the message that was encoded. */
START_TEST(test_round_trip)
{
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_DISPATCH);
    g_strlcpy(message->from, "orders-1", BV_NAME_BYTES);
    message->attempt = 7;
    message->session = 3;
    message->remaining_us = 1500;
    message->path = g_strdup("/orders");
    message->body = g_bytes_new("abc", 3);
    GBytes *bytes = bv_peer_message_encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    bv_peer_message_t *decoded = bv_peer_message_decode(data, size, NULL);
    ck_assert_ptr_nonnull(decoded);
    ck_assert_str_eq(decoded->from, "orders-1");
    ck_assert_uint_eq(decoded->attempt, 7);
    ck_assert_uint_eq(decoded->session, 3);
    ck_assert_int_eq(decoded->remaining_us, 1500);
    ck_assert_str_eq(decoded->path, "/orders");
    ck_assert_ptr_null(decoded->method);
    ck_assert(g_bytes_equal(decoded->body, message->body));
    bv_peer_message_destroy(decoded);
    bv_peer_message_destroy(message);
    g_bytes_unref(bytes);
}
END_TEST

/* Encodes an answer with or without a report. */
static GBytes *
encode_answer(bool has_capacity, bv_peer_kind_t kind)
{
    bv_peer_message_t *message = bv_peer_message_create(kind);
    g_strlcpy(message->from, "stock-1", BV_NAME_BYTES);
    message->body = g_bytes_new("abc", 3);
    message->has_capacity = has_capacity;
    message->capacity = (bv_capacity_report_t){5, 12, 20000};
    message->served_us = 31000;
    GBytes *bytes = bv_peer_message_encode(message);
    bv_peer_message_destroy(message);
    return bytes;
}

/*
 * Guards against a node that rejects the answers of another version: an answer
 * is decoded with and without a report, and the report changes nothing of the
 * answer without one. Other kinds have no report.
 */
START_TEST(test_report)
{
    gsize sizes[2];
    const uint8_t *data[2];
    GBytes *bytes[2];
    for (int i = 0; i < 2; i++) {
        bytes[i] = encode_answer(i == 1, BV_PEER_ANSWER);
        data[i] = g_bytes_get_data(bytes[i], &sizes[i]);
        bv_peer_message_t *decoded =
            bv_peer_message_decode(data[i], sizes[i], NULL);
        ck_assert_ptr_nonnull(decoded);
        ck_assert_int_eq(decoded->has_capacity, i == 1);
        ck_assert_uint_eq(decoded->capacity.load, i == 1 ? 5 : 0);
        ck_assert_uint_eq(decoded->capacity.usable, i == 1 ? 12 : 0);
        ck_assert_int_eq(decoded->capacity.service_us, i == 1 ? 20000 : 0);
        ck_assert_int_eq(decoded->served_us, i == 1 ? 31000 : 0);
        bv_peer_message_destroy(decoded);
    }
    /* The head of the array states its length in three bytes. */
    ck_assert_uint_eq(data[0][2] + 4, data[1][2]);
    ck_assert_mem_eq(data[0] + 3, data[1] + 3, sizes[0] - 3);
    ck_assert_uint_le(sizes[1], sizes[0] + 8);
    GBytes *other = encode_answer(true, BV_PEER_DISPATCH);
    gsize size;
    const void *other_data = g_bytes_get_data(other, &size);
    ck_assert_ptr_null(bv_peer_message_decode(other_data, size, NULL));
    g_bytes_unref(other);
    g_bytes_unref(bytes[0]);
    g_bytes_unref(bytes[1]);
}
END_TEST

/* A reason of this version, and the one that peers are told. */
static const struct {
    bv_reason_t reason;
    bv_reason_t told;
} reason_cases[] = {
    {BV_REASON_NONE, BV_REASON_NONE},
    {BV_REASON_CONNECT, BV_REASON_CONNECT},
    {BV_REASON_BODY_TOO_LARGE, BV_REASON_BODY_TOO_LARGE},
    {BV_REASON_DESCRIPTORS, BV_REASON_QUEUE_FULL},
};

/*
 * Guards against an answer that a node of an earlier version rejects because
 * it does not know the number of the reason, or because the digest was made of
 * another one.
 */
START_TEST(test_told_reason)
{
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_ANSWER);
    g_strlcpy(message->from, "stock-1", BV_NAME_BYTES);
    message->reason = reason_cases[_i].reason;
    message->digest = bv_peer_message_digest(message);
    GBytes *bytes = bv_peer_message_encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    bv_peer_message_t *decoded = bv_peer_message_decode(data, size, NULL);
    ck_assert_ptr_nonnull(decoded);
    ck_assert_int_eq(decoded->reason, reason_cases[_i].told);
    ck_assert_uint_eq(bv_peer_message_digest(decoded), decoded->digest);
    bv_peer_message_destroy(decoded);
    bv_peer_message_destroy(message);
    g_bytes_unref(bytes);
}
END_TEST

static const struct {
    size_t body_bytes;
    bool is_shared;
} frame_cases[] = {
    {0, false},
    {BV_UNPACK_SHARED_BYTES - 1, false},
    {BV_UNPACK_SHARED_BYTES, true},
    {1048576, true},
};

/*
 * Guards against a copy of each large body, and against a body that does not
 * outlive the frame that it was received in.
 */
START_TEST(test_frame)
{
    size_t body_bytes = frame_cases[_i].body_bytes;
    char *content = g_malloc(body_bytes);
    memset(content, 'x', body_bytes);
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_ANSWER);
    g_strlcpy(message->from, "stock-1", BV_NAME_BYTES);
    message->body = g_bytes_new_take(content, body_bytes);
    GBytes *frame = bv_peer_message_encode(message);
    const char *start = g_bytes_get_data(frame, NULL);
    const char *end = start + g_bytes_get_size(frame);
    bv_peer_message_t *decoded = bv_peer_message_decode_frame(frame, NULL);
    ck_assert_ptr_nonnull(decoded);
    const char *body = g_bytes_get_data(decoded->body, NULL);
    ck_assert_int_eq(body >= start && body < end, frame_cases[_i].is_shared);
    g_bytes_unref(frame);
    ck_assert(g_bytes_equal(decoded->body, message->body));
    bv_peer_message_destroy(decoded);
    bv_peer_message_destroy(message);
}
END_TEST

/* A large frame that is truncated anywhere must be refused. */
START_TEST(test_truncated_frame)
{
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_ANSWER);
    g_strlcpy(message->from, "stock-1", BV_NAME_BYTES);
    message->body = g_bytes_new_take(g_malloc0(BV_UNPACK_SHARED_BYTES),
                                     BV_UNPACK_SHARED_BYTES);
    GBytes *frame = bv_peer_message_encode(message);
    for (gsize size = 0; size < g_bytes_get_size(frame); size += 97) {
        GBytes *part = g_bytes_new_from_bytes(frame, 0, size);
        ck_assert_ptr_null(bv_peer_message_decode_frame(part, NULL));
        g_bytes_unref(part);
    }
    g_bytes_unref(frame);
    bv_peer_message_destroy(message);
}
END_TEST

/*
 * Guards against crashes on corrupted messages: a message of which one byte
 * was changed, complete or truncated, must be decoded or refused. The second
 * case has a load report.
 */
START_TEST(test_damaged)
{
    support_random_run_t run = support_random_run(1, 200000);
    GRand *random = g_rand_new_with_seed(run.seed);
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_ANSWER);
    g_strlcpy(message->from, "stock-1", BV_NAME_BYTES);
    message->headers = g_strdup("Content-Type: text/plain\r\n");
    message->body = g_bytes_new("abcdef", 6);
    message->has_capacity = _i == 1;
    GBytes *bytes = bv_peer_message_encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    uint8_t *copy = g_malloc(size);
    for (uint64_t i = 0; i < run.events; i++) {
        memcpy(copy, data, size);
        gint32 position = g_rand_int_range(random, 0, (gint32)size);
        copy[position] = (uint8_t)g_rand_int(random);
        gsize length = (gsize)g_rand_int_range(random, 0, (gint32)size + 1);
        bv_peer_message_destroy(bv_peer_message_decode(copy, length, NULL));
        bv_peer_message_destroy(bv_peer_message_decode(copy, size, NULL));
    }
    g_free(copy);
    g_bytes_unref(bytes);
    bv_peer_message_destroy(message);
    g_rand_free(random);
}
END_TEST

/* A decoded body must equal the entries that were encoded. */
START_TEST(test_quota_round_trip)
{
    const bv_quota_request_t requests[] = {{"acme", 0, 2, 9},
                                           {"zeta", 2, 0, 1}};
    const bv_quota_reply_t replies[] = {
        {"acme", 1, BV_QUOTA_GRANTED, 2, 0, 0},
        {"zeta", 2, BV_QUOTA_NOT_LESSOR, 0, 1000, 2000}};
    bv_quota_requests_t decoded;
    bv_quota_replies_t decoded_replies;
    GBytes *body = bv_quota_requests_encode(requests, 2);
    ck_assert(bv_quota_requests_decode(body, &decoded));
    g_bytes_unref(body);
    body = bv_quota_replies_encode(replies, 2);
    ck_assert(bv_quota_replies_decode(body, &decoded_replies));
    g_bytes_unref(body);
    ck_assert_uint_eq(decoded.count, 2);
    ck_assert_uint_eq(decoded_replies.count, 2);
    for (int i = 0; i < 2; i++) {
        ck_assert_str_eq(decoded.entries[i].account, requests[i].account);
        ck_assert_uint_eq(decoded.entries[i].part, requests[i].part);
        ck_assert_uint_eq(decoded.entries[i].needed, requests[i].needed);
        ck_assert_uint_eq(decoded.entries[i].wanted, requests[i].wanted);
        const bv_quota_reply_t *reply = &decoded_replies.entries[i];
        ck_assert_str_eq(reply->account, replies[i].account);
        ck_assert_uint_eq(reply->part, replies[i].part);
        ck_assert_int_eq(reply->status, replies[i].status);
        ck_assert_uint_eq(reply->granted, replies[i].granted);
        ck_assert_int_eq(reply->wait_us, replies[i].wait_us);
        ck_assert_int_eq(reply->retry_us, replies[i].retry_us);
    }
    bv_quota_requests_clear(&decoded);
    bv_quota_replies_clear(&decoded_replies);
}
END_TEST

typedef struct {
    size_t name_bytes;
    uint32_t count;
    uint32_t part;
    uint32_t needed;
    uint32_t wanted;
    bool is_valid;
} quota_body_case_t;

static const quota_body_case_t quota_bodies[] = {
    {1, 1, 0, 1, 1, true},
    {BV_QUOTA_NAME_LIMIT_BYTES, BV_QUOTA_ENTRIES_LIMIT, BV_QUOTA_PARTS - 1, 0,
     BV_QUOTA_PERMITS_LIMIT, true},
    {1, 0, 0, 1, 1, true},
    {1, BV_QUOTA_ENTRIES_LIMIT + 1, 0, 1, 1, false},
    {BV_QUOTA_NAME_LIMIT_BYTES + 1, 1, 0, 1, 1, false},
    {1, 1, BV_QUOTA_PARTS, 1, 1, false},
    {1, 1, 0, 0, BV_QUOTA_PERMITS_LIMIT + 1, false},
    {1, 1, 0, 2, 1, false},
};

/* Guards against a peer's message that states more than the limits. */
START_TEST(test_quota_limits)
{
    const quota_body_case_t *row = &quota_bodies[_i];
    bv_quota_request_t requests[BV_QUOTA_ENTRIES_LIMIT + 1];
    bv_quota_requests_t decoded;
    char *name = g_strnfill(row->name_bytes, 'n');
    for (uint32_t i = 0; i < row->count; i++) {
        requests[i] =
            (bv_quota_request_t){name, row->part, row->needed, row->wanted};
    }
    GBytes *body = bv_quota_requests_encode(requests, row->count);
    ck_assert(bv_quota_requests_decode(body, &decoded) == row->is_valid);
    bv_quota_requests_clear(&decoded);
    g_bytes_unref(body);
    g_free(name);
}
END_TEST

static void
decode_quota_body(const uint8_t *data, gsize size)
{
    bv_quota_requests_t requests;
    bv_quota_replies_t replies;
    GBytes *body = g_bytes_new(data, size);
    bv_quota_requests_decode(body, &requests);
    bv_quota_replies_decode(body, &replies);
    bv_quota_requests_clear(&requests);
    bv_quota_replies_clear(&replies);
    g_bytes_unref(body);
}

/* Guards against crashes on corrupted bodies, like test_damaged. */
START_TEST(test_quota_damaged)
{
    support_random_run_t run = support_random_run(1, 100000);
    GRand *random = g_rand_new_with_seed(run.seed);
    const bv_quota_reply_t replies[] = {
        {"acme", 0, BV_QUOTA_GRANTED, 2, 3, 4},
        {"zeta", 2, BV_QUOTA_NOT_LESSOR, 0, 1000, 2000}};
    const bv_quota_request_t requests[] = {{"acme", 0, 2, 9},
                                           {"zeta", 2, 0, 1}};
    GBytes *bodies[] = {bv_quota_requests_encode(requests, 2),
                        bv_quota_replies_encode(replies, 2)};
    for (uint64_t i = 0; i < run.events; i++) {
        gsize size;
        const void *data = g_bytes_get_data(bodies[i % 2], &size);
        uint8_t *copy = g_memdup2(data, size);
        gint32 position = g_rand_int_range(random, 0, (gint32)size);
        copy[position] = (uint8_t)g_rand_int(random);
        decode_quota_body(copy, size);
        decode_quota_body(
            copy, (gsize)g_rand_int_range(random, 0, (gint32)size + 1));
        g_free(copy);
    }
    bv_quota_requests_t none;
    ck_assert(!bv_quota_requests_decode(NULL, &none));
    g_bytes_unref(bodies[0]);
    g_bytes_unref(bodies[1]);
    g_rand_free(random);
}
END_TEST

static bv_member_t
make_member(const char *name, const char *service)
{
    bv_member_t member = {
        .data_centre = "m1",
        .region = "midlands",
        .address = "10.0.0.1",
        .peer_port = 7000,
        .gossip_port = 7001,
        .incarnation = 5,
        .version = 200,
        .slots = 8,
        .generation = 70000,
    };
    g_strlcpy(member.name, name, sizeof(member.name));
    g_strlcpy(member.service, service, sizeof(member.service));
    return member;
}

/*
 * Guards against gossip that nodes of other versions cannot read: a packet
 * with names of ordinary length must stay byte for byte as it was.
 */
START_TEST(test_gossip_bytes)
{
    static const char expected[] =
        "9bccb20003cd012cce00011170cf1122334455667788a009019ca36e2d31a66f72"
        "64657273a26d31a86d69646c616e6473a831302e302e302e31cd1b58cd1b5905cc"
        "c80800ce00011170919ca36e2d32bf303132333435363738393031323334353637"
        "38393031323334353637383930a26d31a86d69646c616e6473a831302e302e302e"
        "31cd1b58cd1b5905ccc80802ce00011170";
    bv_member_t from = make_member("n-1", "orders");
    bv_gossip_packet_t packet = {
        .kind = BV_GOSSIP_PING,
        .number = 3,
        .sequence = 300,
        .generation = 70000,
        .config_digest = 0x1122334455667788,
        .bucket = 9,
        .bucket_digest = 1,
        .record_count = 1,
        .records = {make_member("n-2", "0123456789012345678901234567890")},
    };
    packet.records[0].state = BV_MEMBER_DRAINING;
    uint8_t out[BV_GOSSIP_BYTES];
    char text[2 * BV_GOSSIP_BYTES + 1];
    size_t size = bv_gossip_encode(&from, &packet, out);
    bv_hex_write(text, out, size);
    ck_assert_str_eq(text, expected);
}
END_TEST

/* Sizes at which the encoding of a text or a number changes. */
static const size_t service_lengths[] = {0, 1, 31, 32, 199, 200};
static const uint64_t numbers[] = {
    0, 127, 128, 255, 256, 65535, 65536, 4294967295, 4294967296, UINT64_MAX};

/*
 * Guards against a service name that arrives cut, and against a size computed
 * in advance that differs from that of the encoded packet, by which records
 * would be left out and still count as sent.
 */
START_TEST(test_gossip_sizes)
{
    char service[BV_SERVICE_BYTES] = "";
    memset(service, 's', service_lengths[_i]);
    bv_member_t from = make_member("n-1", service);
    bv_member_t decoded_from;
    bv_gossip_packet_t decoded;
    uint8_t out[BV_GOSSIP_BYTES];
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        bv_gossip_packet_t packet = {
            .kind = BV_GOSSIP_ACK,
            .number = numbers[i],
            .sequence = numbers[G_N_ELEMENTS(numbers) - 1 - i],
            .generation = numbers[i],
            .config_digest = numbers[i],
            .bucket = BV_GOSSIP_BUCKETS - 1,
            .bucket_digest = numbers[i],
            .record_count = 2,
            .records = {from, from},
        };
        packet.records[0].departures =
            (bv_departures_t){{{MAX(numbers[i], 1), numbers[i], numbers[i]},
                               {5, numbers[i], 200}}};
        packet.records[1].departures = (bv_departures_t){{{3, 5, numbers[i]}}};
        packet.records[0].version = (uint32_t)numbers[i];
        packet.records[0].peer_port = (uint16_t)numbers[i];
        packet.records[1].incarnation = numbers[i];
        size_t size = bv_gossip_encode(&from, &packet, out);
        ck_assert_uint_eq(size, bv_membership_packet_bytes(&from, &packet));
        ck_assert(bv_gossip_decode(out, size, &decoded_from, &decoded));
        ck_assert_str_eq(decoded_from.service, service);
        ck_assert_uint_eq(decoded.record_count, 2);
        ck_assert_str_eq(decoded.records[1].service, service);
        ck_assert_uint_eq(decoded.records[1].incarnation, numbers[i]);
        for (uint32_t record = 0; record < 2; record++) {
            ck_assert(
                bv_departures_include(&decoded.records[record].departures,
                                      &packet.records[record].departures));
        }
    }
}
END_TEST

/*
 * Guards against records that never leave their node: the greatest sender's
 * record and one more as great fit into a packet.
 */
START_TEST(test_greatest_gossip)
{
    char name[BV_NAME_BYTES] = "";
    char service[BV_SERVICE_BYTES] = "";
    memset(name, 'n', BV_NAME_BYTES - 1);
    memset(service, 's', BV_SERVICE_BYTES - 1);
    bv_member_t member = make_member(name, service);
    g_strlcpy(member.data_centre, name, BV_NAME_BYTES);
    g_strlcpy(member.region, name, BV_NAME_BYTES);
    memset(member.address, 'a', BV_ADDRESS_BYTES - 1);
    member.peer_port = UINT16_MAX;
    member.gossip_port = UINT16_MAX;
    member.incarnation = UINT64_MAX;
    member.version = UINT32_MAX;
    member.slots = UINT32_MAX;
    member.generation = UINT64_MAX;
    for (uint32_t i = 0; i < BV_DEPARTURES_KEPT; i++) {
        member.departures.items[i] =
            (bv_departure_t){UINT64_MAX - i, UINT64_MAX, UINT64_MAX};
    }
    bv_gossip_packet_t packet = {
        .kind = BV_GOSSIP_ACK,
        .number = UINT64_MAX,
        .sequence = UINT64_MAX,
        .generation = UINT64_MAX,
        .config_digest = UINT64_MAX,
        .bucket = BV_GOSSIP_BUCKETS - 1,
        .bucket_digest = UINT64_MAX,
        .record_count = 1,
        .records = {member},
    };
    g_strlcpy(packet.probe_target, name, BV_NAME_BYTES);
    uint8_t out[BV_GOSSIP_BYTES];
    size_t size = bv_gossip_encode(&member, &packet, out);
    ck_assert_uint_eq(size, bv_membership_packet_bytes(&member, &packet));
    bv_member_t decoded_from;
    bv_gossip_packet_t decoded;
    ck_assert(bv_gossip_decode(out, size, &decoded_from, &decoded));
    ck_assert_uint_eq(decoded.record_count, 1);
    ck_assert(bv_departures_include(&decoded.records[0].departures,
                                    &member.departures));
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"round_trip", test_round_trip, 1},
        {"told_reason", test_told_reason, G_N_ELEMENTS(reason_cases)},
        {"frame", test_frame, G_N_ELEMENTS(frame_cases)},
        {"truncated_frame", test_truncated_frame, 1},
        {"damaged", test_damaged, 1},
        {"quota_round_trip", test_quota_round_trip, 1},
        {"quota_limits", test_quota_limits, G_N_ELEMENTS(quota_bodies)},
        {"quota_damaged", test_quota_damaged, 1},
        {"gossip_bytes", test_gossip_bytes, 1},
        {"gossip_sizes", test_gossip_sizes, G_N_ELEMENTS(service_lengths)},
        {"greatest_gossip", test_greatest_gossip, 1},
        {"report", test_report, 1},
        {"damaged", test_damaged, 2},
        {NULL}};
    return support_run("message", tests);
}
