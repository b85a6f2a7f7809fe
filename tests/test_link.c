#include "berylvane/common/program.h"
#include "berylvane/peer/link.h"
#include "support.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

static apr_pool_t *pool;

/* Returns a port that is not in use at the time of the call. */
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
discard_message(void *context, bv_peer_message_t *message)
{
    (void)context;
    bv_peer_message_destroy(message);
}

static bool
send_query(bv_link_t *link, uint16_t port)
{
    bv_peer_message_t *message =
        bv_peer_message_create(BV_PEER_PROGRESS_QUERY);
    message->to_incarnation = 1;
    message->session = 1;
    return bv_link_send(link, "peer", "127.0.0.1", port, message);
}

/*
 * Guards against use of freed sockets: events of other threads may send or
 * disconnect after the link has stopped. Such a message must be dropped.
 */
START_TEST(test_after_stop)
{
    GError *error = NULL;
    bv_link_options_t options = {
        .name = "self",
        .address = "127.0.0.1",
        .port = free_port(),
        .on_message = discard_message,
    };
    bv_link_t *link = bv_link_start(pool, &options, &error);
    ck_assert_ptr_nonnull(link);
    ck_assert(send_query(link, options.port));
    bv_link_stop(link);
    ck_assert(!send_query(link, options.port));
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
