#ifndef TESTS_STORE_FIXTURE_H
#define TESTS_STORE_FIXTURE_H

#include "berylvane/common/latch.h"
#include "berylvane/platform/store.h"

#include <glib.h>
#include <poll.h>

/*
 * store_fixture - a client of the store, and a server that gives each request
 * the same answer
 */
#define STORE_CONNECTIONS_LIMIT 16

typedef struct {
    struct pollfd sockets[STORE_CONNECTIONS_LIMIT];
    nfds_t socket_count;
    gint accepted;
    /* Header lines and body of the answer; set while no request is open. */
    const char *header;
    const char *body;
    gint is_stopping;
} store_server_t;

typedef struct {
    store_server_t server;
    GThread *thread;
    apr_pool_t *pool;
    bv_store_t *store;
    /* Number of eras reported, and the last one. */
    gint eras_reported;
    int64_t last_era;
    bv_latch_t *latch;
    /* The last answer. */
    bv_store_result_t result;
    int64_t era;
} store_fixture_t;

/* Starts with an answer that is valid; the fixture is zeros before. */
void store_fixture_open(store_fixture_t *fixture);
void store_fixture_close(store_fixture_t *fixture);

/* Each function sends one request and waits for its answer. */
void store_fixture_read(store_fixture_t *fixture, bool uses_fresh_connection);
void store_fixture_watch(store_fixture_t *fixture, bool uses_fresh_connection);

#endif
