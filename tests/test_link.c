#include "berylvane/common/program.h"
#include "berylvane/peer/link.h"
#include "support.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

static apr_pool_t *pool;

/* A port that was free a moment ago. */
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

static void
drop(void *context, bv_peer_message_t *message)
{
    (void)context;
    bv_peer_message_destroy(message);
}

static bool
send_one(bv_link_t *link, uint16_t port)
{
    bv_peer_message_t *message =
        bv_peer_message_create(BV_PEER_PROGRESS_QUERY);
    message->to_incarnation = 1;
    message->session = 1;
    return bv_link_send(link, "peer", "127.0.0.1", port, message);
}

/* What other threads still had to say comes after the link has stopped. */
START_TEST(test_after_stop)
{
    GError *error = NULL;
    bv_link_options_t options = {
        .name = "self",
        .address = "127.0.0.1",
        .port = free_port(),
        .on_message = drop,
    };
    bv_link_t *link = bv_link_start(pool, &options, &error);
    ck_assert_ptr_nonnull(link);
    ck_assert(send_one(link, options.port));
    bv_link_stop(link);
    ck_assert(!send_one(link, options.port));
    bv_link_disconnect(link, "peer");
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"after_stop", test_after_stop, 1},
                                    {NULL}};
    pool = bv_program_start();
    return support_run("link", tests);
}
