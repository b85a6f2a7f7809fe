#ifndef STANDIN_LINK_LINK_H
#define STANDIN_LINK_LINK_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/findings.h"
#include "berylvane/common/ring.h"

#include <netinet/in.h>
#include <poll.h>

/*
 * link - a stand-in of the network in front of one instance
 *
 * Relays TCP connections and UDP packets to the instance's own ports, with
 * delay, bandwidth, loss and cuts. A caller whose address is in another /24
 * than the link's own is in another region: "far".
 */
#define LINK_RELAYS_LIMIT 8

typedef enum {
    LINK_TCP,
    LINK_UDP,
} link_protocol_t;

typedef struct {
    int64_t port;
    int64_t to_port;
    int64_t protocol;
} link_relay_t;

/* What the settings state at start and POST /standin/control changes. */
typedef struct {
    /* One way, from callers in this region and in others. */
    int64_t delay_us;
    int64_t far_delay_us;
    /* Bytes a second for each direction of all relays; 0: no limit. */
    int64_t bytes_per_s;
    /* For UDP. */
    int64_t loss_percent;
    int64_t duplicate_percent;
    /* Close connections and refuse new ones, from anywhere or from afar. */
    bool cut;
    bool cut_far;
    /* Hold back what the instance sends on connections from callers. */
    bool hold_answers;
    /* Let the connections of this moment go silent for good. */
    bool silence;
} link_faults_t;

typedef struct {
    char *address;
    int64_t control_port;
    int64_t seed;
    json_t *faults_json;
    json_t *relays_json;
    link_faults_t faults;
    link_relay_t relays[LINK_RELAYS_LIMIT];
    size_t relay_count;
} link_settings_t;

bool link_settings_load(const char *path, link_settings_t *settings,
                        bv_findings_t *findings);
void link_settings_clear(link_settings_t *settings);

/* Reads faults over what `faults` holds; false when there are findings. */
bool link_faults_read(const json_t *json, link_faults_t *faults,
                      const char *source, const char *pointer,
                      bv_findings_t *findings);

/* What GET /standin/stats answers. */
typedef struct {
    int64_t bytes;
    int64_t far_bytes;
    int64_t connections;
    int64_t lost;
} link_stats_t;

typedef struct link_conn link_conn_t;
typedef struct {
    int fd;
    const link_relay_t *relay;
} link_socket_t;

typedef struct {
    const link_settings_t *settings;
    link_faults_t faults;
    link_stats_t stats;
    GRand *random;
    bv_ring_t *calls;
    GArray *poll_items;
    link_socket_t sockets[LINK_RELAYS_LIMIT];
    GPtrArray *conns;
    /* UDP packets that wait for their time. */
    GQueue packets;
    /* When each direction has sent what it took, by `bytes_per_s`. */
    int64_t idle_from_us[2];
    gint stopping;
} link_t;

/* Bytes that wait until `due_us`. */
typedef struct {
    int64_t due_us;
    size_t size;
    size_t sent;
    const link_relay_t *relay;
    char data[];
} link_chunk_t;

/* A chunk of `size` bytes, due by delay and bandwidth of a direction. */
link_chunk_t *link_chunk_create(link_t *link, int direction, bool far,
                                const char *data, size_t size);

/* Whether an address is in another region, and whether it is cut off. */
bool link_is_far(const link_t *link, const struct sockaddr_in *caller);
bool link_is_cut(const link_t *link, bool far);
struct sockaddr_in link_address(const link_t *link, int64_t port);

/* The TCP connections of a link; `conns` lists them. */
link_conn_t *link_conn_accept(link_t *link, const link_socket_t *socket);
void link_conn_destroy(link_conn_t *conn);
void link_conn_silence(link_conn_t *conn);
bool link_conn_is_far(const link_conn_t *conn);

/* Adds two items to the poll list; returns when the next chunk is due. */
int64_t link_conn_prepare(const link_t *link, link_conn_t *conn,
                          GArray *poll_items);

/* Reads and writes what can be; false when the connection is over. */
bool link_conn_run(link_t *link, link_conn_t *conn,
                   const struct pollfd *items);

/* UDP: takes all packets of a socket; sends those that are due. */
void link_packets_receive(link_t *link, const link_socket_t *socket);
int64_t link_packets_send_due(link_t *link);

/* Relays until `stopping`. */
bool link_open(link_t *link, GError **error);
void link_run(link_t *link);
void link_close(link_t *link);

#endif
