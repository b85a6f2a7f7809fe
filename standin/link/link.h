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
 * Relays TCP connections and UDP packets to the instance's ports, with delay,
 * limited bandwidth, loss and cuts. A caller is in another region, "far", if
 * its IP address is in another /24 network than the address of the link.
 */
#define LINK_RELAYS_LIMIT 8

typedef enum {
    LINK_TCP,
    LINK_UDP,
} link_protocol_t;

/* A port on which the link listens and the instance's port behind it. */
typedef struct {
    int64_t port;
    int64_t to_port;
    /* A link_protocol_t. */
    int64_t protocol;
} link_relay_t;

/* Faults that the settings set at start and POST /standin/control changes. */
typedef struct {
    /* One-way delays of callers in this region and in other regions. */
    int64_t delay_us;
    int64_t far_delay_us;
    /* Limit for each direction, shared by all relays; 0: no limit. */
    int64_t bytes_per_s;
    /* Percentages of UDP packets that are dropped and that are sent twice. */
    int64_t loss_percent;
    int64_t duplicate_percent;
    /*
     * Close connections and drop newly received UDP packets: of all callers,
     * or of callers in other regions. New connections are refused by the
     * kernel during `cut`, and closed after they were accepted during
     * `cut_far`.
     */
    bool cut;
    bool cut_far;
    /* Do not read what the instance sends on connections from callers. */
    bool hold_answers;
    /*
     * Stop relaying, for good, on all connections that are open when the fault
     * is set. They stay open until both ends close; the flag resets itself.
     */
    bool silence;
} link_faults_t;

typedef struct {
    char *address;
    int64_t control_port;
    int64_t seed;
    /* Unparsed values; only used by link_settings_load(). */
    json_t *faults_json;
    json_t *relays_json;
    link_faults_t faults;
    link_relay_t relays[LINK_RELAYS_LIMIT];
    size_t relay_count;
} link_settings_t;

/*
 * Reads the settings file at `path`. Returns false if errors were added to
 * `findings`. link_settings_clear() frees what was read in either case.
 */
bool link_settings_load(const char *path, link_settings_t *settings,
                        bv_findings_t *findings);
void link_settings_clear(link_settings_t *settings);

/*
 * Reads faults from JSON; those that are missing keep their value in `faults`.
 * `source` and `pointer` locate the JSON in error messages. Returns false if
 * `findings` is not empty; some of the faults may have changed then.
 */
bool link_faults_read(const json_t *json, link_faults_t *faults,
                      const char *source, const char *pointer,
                      bv_findings_t *findings);

/*
 * Counters that GET /standin/stats returns
 *
 * - bytes: bytes accepted for relaying, in both directions
 * - far_bytes: those of `bytes` from or to callers in other regions
 * - connections: open TCP connections
 * - lost: UDP packets dropped by loss and cuts
 */
typedef struct {
    int64_t bytes;
    int64_t far_bytes;
    int64_t connections;
    int64_t lost;
} link_stats_t;

typedef struct link_conn link_conn_t;

/* The socket of a relay; that of a TCP relay is -1 during a cut of all
 * callers. */
typedef struct {
    int fd;
    const link_relay_t *relay;
} link_socket_t;

typedef struct {
    const link_settings_t *settings;
    link_faults_t faults;
    link_stats_t stats;
    GRand *random;
    /* HTTP calls to the control port. */
    bv_ring_t *calls;
    GArray *poll_items;
    link_socket_t sockets[LINK_RELAYS_LIMIT];
    /* TCP connections, of link_conn_t. */
    GPtrArray *conns;
    /* UDP packets in the order of their due time. */
    GQueue packets;
    /*
     * When each direction has sent all bytes accepted so far, at the rate of
     * `bytes_per_s`. Direction 0 is to the instance, 1 from the instance.
     */
    int64_t idle_from_us[2];
    gint stopping;
} link_t;

/* Bytes that are delayed until `due_us`. */
typedef struct {
    int64_t due_us;
    size_t size;
    size_t sent;
    /* The relay of a UDP packet; NULL for TCP. */
    const link_relay_t *relay;
    char data[];
} link_chunk_t;

/*
 * Creates a chunk with a copy of `data`; its due time follows from the delay
 * and the bandwidth of `direction`. Counts the bytes. Freed with g_free().
 */
link_chunk_t *link_chunk_create(link_t *link, int direction, bool far,
                                const char *data, size_t size);

/* Whether a caller is in another region than the link. */
bool link_is_far(const link_t *link, const struct sockaddr_in *caller);

/* Whether callers in this region, or in other regions (`far`), are cut off. */
bool link_is_cut(const link_t *link, bool far);

/* The link's IP address with `port`. */
struct sockaddr_in link_address(const link_t *link, int64_t port);

/*
 * Accepts a TCP connection and connects to the instance; the calling
 * function adds the connection to `conns`. Returns NULL if a cut or an error
 * prevents that.
 */
link_conn_t *link_conn_accept(link_t *link, const link_socket_t *socket);
void link_conn_destroy(link_conn_t *conn);

/* Drops queued bytes and relays nothing more on the connection. */
void link_conn_silence(link_conn_t *conn);
bool link_conn_is_far(const link_conn_t *conn);

/*
 * Adds two items to the poll list, for the caller's and the instance's socket.
 * Returns when the next chunk is due, INT64_MAX if none waits.
 */
int64_t link_conn_prepare(const link_t *link, link_conn_t *conn,
                          GArray *poll_items);

/*
 * Reads and writes without blocking. `items` are the two items that
 * link_conn_prepare() added. Returns false if the connection has ended.
 */
bool link_conn_run(link_t *link, link_conn_t *conn,
                   const struct pollfd *items);

/* Receives all pending packets of a UDP socket and queues them. */
void link_packets_receive(link_t *link, const link_socket_t *socket);

/*
 * Sends the UDP packets that are due. Returns when the next one is due,
 * INT64_MAX if none waits.
 */
int64_t link_packets_send_due(link_t *link);

/*
 * Opens the sockets of all relays. Returns false and sets `error` if a socket
 * cannot be opened. The sockets opened before stay open then, as the process
 * is expected to exit.
 */
bool link_open(link_t *link, GError **error);

/* Relays until `stopping` is set. */
void link_run(link_t *link);

/* Closes all connections and sockets and drops queued packets. */
void link_close(link_t *link);

#endif
