#include "berylvane/common/clock.h"
#include "berylvane/common/program.h"
#include "berylvane/operator/listener.h"
#include "e2e/raw.h"
#include "support.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against connections of operators that hold memory which the process
 * does not account for.
 */
#define POLL_US 1000

static uint16_t
free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, size), 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    close(fd);
    return ntohs(address.sin_port);
}

static bool
refuse_query(void *context, bv_call_t *call)
{
    (void)context;
    (void)call;
    return false;
}

/* A request that stops before the end of its body, and what it holds. */
typedef struct {
    const char *request;
    size_t least_bytes;
} held_case_t;

#define POST_OF(size)                                                         \
    "POST /config HTTP/1.1\r\nHost: x\r\nContent-Length: " size "\r\n\r\nabc"

static const held_case_t cases[] = {
    {"GET /metr", 1},
    {POST_OF("100000"), 100000},
    {POST_OF("8388608"), 8388608},
};

START_TEST(test_held_bytes)
{
    const held_case_t *row = &cases[_i];
    apr_pool_t *pool = bv_program_start();
    bv_operator_listener_options_t options = {
        .address = "127.0.0.1", .port = free_port(), .on_query = refuse_query};
    bv_operator_listener_t *listener =
        bv_operator_listener_start(&options, NULL);
    ck_assert_ptr_nonnull(listener);
    ck_assert_uint_eq(bv_operator_listener_held_bytes(listener), 0);
    int fd = raw_connect(options.port);
    raw_send(fd, row->request, strlen(row->request), FALSE);
    while (bv_operator_listener_held_bytes(listener) < row->least_bytes) {
        g_usleep(POLL_US);
    }
    close(fd);
    while (bv_operator_listener_held_bytes(listener) > 0) {
        g_usleep(POLL_US);
    }
    bv_operator_listener_stop(listener);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"held_bytes", test_held_bytes, G_N_ELEMENTS(cases)}, {NULL}};
    return support_run("operator_memory", tests);
}
