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
 * was changed, complete or truncated, must be decoded or refused.
 */
START_TEST(test_damaged)
{
    support_random_run_t run = support_random_run(1, 200000);
    GRand *random = g_rand_new_with_seed(run.seed);
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_ANSWER);
    g_strlcpy(message->from, "stock-1", BV_NAME_BYTES);
    message->headers = g_strdup("Content-Type: text/plain\r\n");
    message->body = g_bytes_new("abcdef", 6);
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
    const bv_quota_request_t requests[] = {{"acme", 2, 9}, {"zeta", 0, 1}};
    const bv_quota_reply_t replies[] = {
        {"acme", BV_QUOTA_GRANTED, 2, 0, 0},
        {"zeta", BV_QUOTA_NOT_LESSOR, 0, 1000, 2000}};
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
        ck_assert_uint_eq(decoded.entries[i].needed, requests[i].needed);
        ck_assert_uint_eq(decoded.entries[i].wanted, requests[i].wanted);
        const bv_quota_reply_t *reply = &decoded_replies.entries[i];
        ck_assert_str_eq(reply->account, replies[i].account);
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
    uint32_t count;
    size_t name_bytes;
    uint32_t needed;
    uint32_t wanted;
    bool is_valid;
} quota_body_case_t;

static const quota_body_case_t quota_bodies[] = {
    {1, 1, 1, 1, true},
    {BV_QUOTA_ENTRIES_LIMIT, BV_QUOTA_NAME_LIMIT_BYTES, 0,
     BV_QUOTA_PERMITS_LIMIT, true},
    {0, 1, 1, 1, true},
    {BV_QUOTA_ENTRIES_LIMIT + 1, 1, 1, 1, false},
    {1, BV_QUOTA_NAME_LIMIT_BYTES + 1, 1, 1, false},
    {1, 1, 0, BV_QUOTA_PERMITS_LIMIT + 1, false},
    {1, 1, 2, 1, false},
};

/* Guards against a peer's message that states more than the limits. */
START_TEST(test_quota_limits)
{
    const quota_body_case_t *row = &quota_bodies[_i];
    bv_quota_request_t requests[BV_QUOTA_ENTRIES_LIMIT + 1];
    bv_quota_requests_t decoded;
    char *name = g_strnfill(row->name_bytes, 'n');
    for (uint32_t i = 0; i < row->count; i++) {
        requests[i] = (bv_quota_request_t){name, row->needed, row->wanted};
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
        {"acme", BV_QUOTA_GRANTED, 2, 3, 4},
        {"zeta", BV_QUOTA_NOT_LESSOR, 0, 1000, 2000}};
    const bv_quota_request_t requests[] = {{"acme", 2, 9}, {"zeta", 0, 1}};
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

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"round_trip", test_round_trip, 1},
        {"frame", test_frame, G_N_ELEMENTS(frame_cases)},
        {"truncated_frame", test_truncated_frame, 1},
        {"damaged", test_damaged, 1},
        {"quota_round_trip", test_quota_round_trip, 1},
        {"quota_limits", test_quota_limits, G_N_ELEMENTS(quota_bodies)},
        {"quota_damaged", test_quota_damaged, 1},
        {NULL}};
    return support_run("message", tests);
}
