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

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {{"round_trip", test_round_trip, 1},
                                    {"damaged", test_damaged, 1},
                                    {NULL}};
    return support_run("message", tests);
}
