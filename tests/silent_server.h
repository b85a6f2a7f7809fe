#ifndef TESTS_SILENT_SERVER_H
#define TESTS_SILENT_SERVER_H

#include <stdint.h>

/*
 * silent_server - HTTP server that keeps its connections open, and whose
 * connections can become half-open
 */
#define SILENT_SERVER_CONNECTIONS 16

typedef struct silent_server silent_server_t;

/*
 * Starts a server on a free port. It sends `answer`, which is not copied, to
 * each request, as soon as `answers_together` connections wait for one.
 */
silent_server_t *silent_server_start(const char *answer,
                                     int32_t answers_together);

/* Closes all connections and frees the server. */
void silent_server_stop(silent_server_t *server);

uint16_t silent_server_port(const silent_server_t *server);

/*
 * Requests over the first `count` connections are not answered any more; those
 * over later ones are, each at once.
 */
void silent_server_silence(silent_server_t *server, int32_t count);

#endif
