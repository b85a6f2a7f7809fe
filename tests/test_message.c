#include "berylvane/peer/message.h"
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

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {{"round_trip", test_round_trip, 1},
                                    {"report", test_report, 1},
                                    {"damaged", test_damaged, 2},
                                    {NULL}};
    return support_run("message", tests);
}
