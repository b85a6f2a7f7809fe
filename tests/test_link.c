#include "berylvane/common/program.h"
#include "berylvane/peer/link.h"
#include "support.h"

#include <arpa/inet.h>
#include <poll.h>
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

#define MESSAGES 32
#define BODY_BYTES ((size_t)(4 * 1024 * 1024))
/*
 * Bytes of messages that stay with the sender while the receiver pauses. The
 * other 64 MiB are for the buffers of the sockets, to which the kernel gives
 * up to 36 MiB by default, and the messages that ZeroMQ holds.
 */
#define KEPT_BYTES (MESSAGES / 2 * BODY_BYTES)
#define WAIT_MS 5
/* Rounds in which the messages would arrive. */
#define PAUSED_ROUNDS 100

/* One of two links in the same process. */
typedef struct {
    bv_link_t *link;
    uint16_t port;
    size_t intake_bytes;
    uint32_t received;
    /* The latest message; NULL for none. */
    bv_peer_message_t *latest;
} end_t;

static size_t
intake_bytes(void *context)
{
    return ((const end_t *)context)->intake_bytes;
}

static void
keep_message(void *context, bv_peer_message_t *message)
{
    end_t *end = context;
    if (message->body != NULL) {
        ck_assert_uint_eq(message->attempt, end->received + 1);
        ck_assert_uint_eq(g_bytes_get_size(message->body), BODY_BYTES);
        end->received++;
    }
    g_clear_pointer(&end->latest, bv_peer_message_destroy);
    end->latest = message;
}

static void
start_end(end_t *end)
{
    *end = (end_t){.port = free_port(), .intake_bytes = SIZE_MAX};
    bv_link_options_t options = {
        .name = "self",
        .address = "127.0.0.1",
        .port = end->port,
        .intake_bytes = intake_bytes,
        .bounds_received = true,
        .on_message = keep_message,
        .context = end,
    };
    end->link = bv_link_start(pool, &options, NULL);
    ck_assert_ptr_nonnull(end->link);
}

static void
stop_end(end_t *end)
{
    bv_link_stop(end->link);
    g_clear_pointer(&end->latest, bv_peer_message_destroy);
}

/* Waits for events of a link, and handles them. */
static void
run_end(const end_t *end)
{
    struct pollfd entries[] = {{bv_link_fd(end->link), POLLIN, 0},
                               {bv_link_bound_fd(end->link), POLLIN, 0}};
    poll(entries, 2, bv_link_has_pending(end->link) ? 0 : WAIT_MS);
    if (entries[0].revents != 0) {
        bv_link_run(end->link);
    }
    if (entries[1].revents != 0) {
        bv_link_run_bound(end->link);
    }
    bv_link_receive_pending(end->link);
}

/* Sends a large request to `to`, or a response over its connection. */
static void
send_large(end_t *from, const end_t *to, bool is_response, uint32_t number)
{
    bv_peer_message_t *message = bv_peer_message_create(
        is_response ? BV_PEER_ANSWER : BV_PEER_DISPATCH);
    g_strlcpy(message->from, "self", BV_NAME_BYTES);
    message->to_incarnation = 1;
    message->session = 1;
    message->attempt = number;
    message->body = g_bytes_new_take(g_malloc0(BODY_BYTES), BODY_BYTES);
    if (!is_response) {
        ck_assert(
            bv_link_send(from->link, "peer", "127.0.0.1", to->port, message));
        return;
    }
    message->reply_identity = g_bytes_ref(from->latest->reply_identity);
    ck_assert(bv_link_answer(from->link, message));
}

/* Makes a connection from `to` to `from`, over which responses are sent. */
static void
connect_ends(end_t *from, end_t *to)
{
    bv_peer_message_t *message =
        bv_peer_message_create(BV_PEER_PROGRESS_QUERY);
    g_strlcpy(message->from, "self", BV_NAME_BYTES);
    message->to_incarnation = 1;
    message->session = 1;
    ck_assert(
        bv_link_send(to->link, "peer", "127.0.0.1", from->port, message));
    while (from->latest == NULL) {
        run_end(from);
        run_end(to);
    }
}

typedef struct {
    const char *name;
    bool is_response;
} pause_case_t;

static const pause_case_t pause_cases[] = {{"requests", false},
                                           {"responses", true}};

/*
 * Guards against messages that ZeroMQ receives without limit while the node
 * does not take them, against a node that is woken without end meanwhile, and
 * against messages that are lost or wait for ever.
 */
START_TEST(test_pause)
{
    const pause_case_t *row = &pause_cases[_i];
    end_t from;
    end_t to;
    start_end(&from);
    start_end(&to);
    connect_ends(&from, &to);
    to.intake_bytes = 0;
    for (uint32_t i = 1; i <= MESSAGES; i++) {
        send_large(&from, &to, row->is_response, i);
    }
    for (int round = 0; round < PAUSED_ROUNDS; round++) {
        run_end(&from);
        run_end(&to);
        ck_assert_msg(bv_link_queued_bytes(from.link) >= KEPT_BYTES,
                      "%s: %zu bytes queued", row->name,
                      bv_link_queued_bytes(from.link));
    }
    ck_assert_uint_eq(to.received, 0);
    ck_assert(!bv_link_has_pending(to.link));
    /* A small limit ends each turn after one of these messages. */
    to.intake_bytes = 1;
    bv_link_receive_pending(to.link);
    ck_assert_uint_eq(to.received, 1);
    while (to.received < MESSAGES) {
        run_end(&from);
        run_end(&to);
    }
    while (bv_link_queued_bytes(from.link) > 0) {
        run_end(&from);
    }
    stop_end(&from);
    stop_end(&to);
}
END_TEST

/* The descriptors rest while nothing is received. */
START_TEST(test_pause_is_quiet)
{
    const pause_case_t *row = &pause_cases[_i];
    end_t from;
    end_t to;
    start_end(&from);
    start_end(&to);
    connect_ends(&from, &to);
    to.intake_bytes = 0;
    send_large(&from, &to, row->is_response, 1);
    while (bv_link_queued_bytes(from.link) > 0) {
        run_end(&from);
    }
    struct pollfd entries[] = {{bv_link_fd(to.link), POLLIN, 0},
                               {bv_link_bound_fd(to.link), POLLIN, 0}};
    for (int round = 0; poll(entries, 2, WAIT_MS) != 0; round++) {
        ck_assert_int_lt(round, PAUSED_ROUNDS);
        run_end(&to);
        ck_assert_uint_eq(to.received, 0);
    }
    to.intake_bytes = SIZE_MAX;
    while (to.received == 0) {
        run_end(&to);
    }
    stop_end(&from);
    stop_end(&to);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"after_stop", test_after_stop, 1},
        {"pause", test_pause, G_N_ELEMENTS(pause_cases)},
        {"pause_is_quiet", test_pause_is_quiet, G_N_ELEMENTS(pause_cases)},
        {NULL}};
    pool = bv_program_start();
    return support_run("link", tests);
}
