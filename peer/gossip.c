#include "berylvane/peer/gossip.h"

#include "berylvane/common/counters.h"

#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_thread_proc.h>
#include <sodium.h>
#include <string.h>

#define MAC_BYTES crypto_generichash_BYTES_MIN
/* Longest delay until the thread detects that it must stop. */
#define RECEIVE_TIMEOUT_US 200000

struct bv_gossip {
    bv_gossip_options_t options;
    apr_socket_t *socket;
    /* Address family of the socket. */
    apr_int32_t family;
    apr_thread_t *thread;
    apr_pool_t *send_pool;
    gint is_stopping;
};

static void
compute_mac(const bv_gossip_t *gossip, uint32_t key, const uint8_t *data,
            size_t size, uint8_t mac[MAC_BYTES])
{
    crypto_generichash(mac, MAC_BYTES, data, size, gossip->options.keys[key],
                       BV_GOSSIP_KEY_BYTES);
}

static bool
is_mac_valid(const bv_gossip_t *gossip, const uint8_t *data, size_t size,
             const uint8_t mac[MAC_BYTES])
{
    for (uint32_t i = 0; i < gossip->options.key_count; i++) {
        uint8_t expected[MAC_BYTES];
        compute_mac(gossip, i, data, size, expected);
        if (sodium_memcmp(expected, mac, MAC_BYTES) == 0) {
            return true;
        }
    }
    return gossip->options.key_count == 0;
}

static void
receive_packet(bv_gossip_t *gossip)
{
    uint8_t buffer[BV_GOSSIP_BYTES + MAC_BYTES + 1];
    apr_size_t size = sizeof(buffer);
    if (apr_socket_recv(gossip->socket, (char *)buffer, &size) !=
        APR_SUCCESS) {
        return;
    }
    bv_counter_add(BV_COUNT_GOSSIP_RECEIVED_BYTES, size);
    bv_member_t from;
    bv_gossip_packet_t packet;
    if (size <= MAC_BYTES || size == sizeof(buffer) ||
        !is_mac_valid(gossip, buffer + MAC_BYTES, size - MAC_BYTES, buffer) ||
        !bv_gossip_decode(buffer + MAC_BYTES, size - MAC_BYTES, &from,
                          &packet)) {
        bv_counter_add(BV_COUNT_GOSSIP_BAD, 1);
        return;
    }
    gossip->options.on_packet(gossip->options.context, &from,
                              g_memdup2(&packet, sizeof(packet)));
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_gossip_t *gossip = data;
    while (!g_atomic_int_get(&gossip->is_stopping)) {
        receive_packet(gossip);
    }
    return NULL;
}

bv_gossip_t *
bv_gossip_start(apr_pool_t *pool, const bv_gossip_options_t *options,
                GError **error)
{
    bv_gossip_t *gossip = apr_pcalloc(pool, sizeof(*gossip));
    gossip->options = *options;
    apr_sockaddr_t *address;
    apr_status_t status = apr_sockaddr_info_get(
        &address, options->address, APR_UNSPEC, options->port, 0, pool);
    if (status == APR_SUCCESS) {
        gossip->family = address->family;
        status = apr_socket_create(&gossip->socket, address->family,
                                   SOCK_DGRAM, APR_PROTO_UDP, pool);
    }
    if (status == APR_SUCCESS) {
        status = apr_socket_bind(gossip->socket, address);
    }
    if (status != APR_SUCCESS) {
        char text[128];
        apr_strerror(status, text, sizeof(text));
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_INVALID,
                    "cannot bind the gossip socket to UDP %s:%u: %s",
                    options->address, options->port, text);
        return NULL;
    }
    apr_socket_timeout_set(gossip->socket, RECEIVE_TIMEOUT_US);
    apr_pool_create(&gossip->send_pool, pool);
    apr_thread_create(&gossip->thread, NULL, run_thread, gossip, pool);
    return gossip;
}

void
bv_gossip_stop(bv_gossip_t *gossip)
{
    g_atomic_int_set(&gossip->is_stopping, 1);
    apr_status_t result;
    apr_thread_join(&result, gossip->thread);
    apr_socket_close(gossip->socket);
}

void
bv_gossip_send(bv_gossip_t *gossip, const bv_member_t *self,
               const bv_member_t *to, const bv_gossip_packet_t *packet)
{
    uint8_t buffer[MAC_BYTES + BV_GOSSIP_BYTES];
    size_t size = bv_gossip_encode(self, packet, buffer + MAC_BYTES);
    memset(buffer, 0, MAC_BYTES);
    if (gossip->options.key_count > 0) {
        compute_mac(gossip, 0, buffer + MAC_BYTES, size, buffer);
    }
    /*
     * With APR_UNSPEC the resolver would list all addresses of the machine
     * for each datagram, in five system calls.
     */
    apr_sockaddr_t *address;
    if (apr_sockaddr_info_get(&address, to->address, gossip->family,
                              to->gossip_port, 0,
                              gossip->send_pool) != APR_SUCCESS) {
        return;
    }
    apr_size_t length = MAC_BYTES + size;
    apr_socket_sendto(gossip->socket, address, 0, (char *)buffer, &length);
    apr_pool_clear(gossip->send_pool);
    bv_counter_add(BV_COUNT_GOSSIP_SENT_BYTES, length);
}
