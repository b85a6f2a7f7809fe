#ifndef TESTS_RAW_SERVER_H
#define TESTS_RAW_SERVER_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * raw_server - HTTP server that sends given bytes, whatever they are
 */
typedef struct raw_server raw_server_t;

typedef struct {
    const char *bytes;
    /* Sent after `bytes` until the client closes the connection; or NULL. */
    const char *endless;
} raw_reply_t;

typedef struct {
    /*
     * The reply to each request, by the order in which they arrive on any
     * connection; the last one also answers all further requests.
     */
    const raw_reply_t *replies;
    uint32_t reply_count;
} raw_server_options_t;

/* Starts a server on a free port; `options` is copied, its replies are not. */
raw_server_t *raw_server_start(const raw_server_options_t *options);

/* Closes all connections and frees the server. */
void raw_server_stop(raw_server_t *server);

uint16_t raw_server_port(const raw_server_t *server);
uint32_t raw_server_connections(raw_server_t *server);

/*
 * Waits for the first request and returns its first line, which the caller
 * frees with g_free(); NULL if none arrives within a minute.
 */
char *raw_server_wait_for_request(raw_server_t *server);

#endif
