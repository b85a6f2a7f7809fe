#ifndef TESTS_E2E_RAW_H
#define TESTS_E2E_RAW_H

#include <glib.h>
#include <stdint.h>

/*
 * raw - sends and receives bytes over a TCP connection, for input that an HTTP
 * library would not send
 */

/*
 * Connects to a port on the loopback interface. Returns a socket that the
 * caller closes, or -1 on failure.
 */
int raw_connect(uint16_t port);

/*
 * Sends `size` bytes of `text`, then shuts down the sending direction if
 * `half_closes` is set. Errors are ignored: a peer may close before it has
 * read all.
 */
void raw_send(int fd, const char *text, size_t size, gboolean half_closes);

/*
 * Reads until the peer closes the connection or sends nothing for 10 s.
 * Returns the bytes read, which the caller frees with g_free().
 */
char *raw_read(int fd);

/*
 * Listens on a port on the loopback interface. Returns a socket that the
 * caller closes, or -1 on failure.
 */
int raw_listen(uint16_t port);

#endif
