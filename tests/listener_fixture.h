#ifndef TESTS_LISTENER_FIXTURE_H
#define TESTS_LISTENER_FIXTURE_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/ring.h"

/*
 * listener_fixture - a listener whose calls the test answers
 *
 * A request is named by a letter: a small one is idempotent (GET), a large one
 * may run only once (POST). Its answer has the letter as its body.
 */
#define WAIT_US (30 * BV_US_PER_S)
#define READ_AHEAD_REQUESTS 8

typedef struct {
    bv_call_t *call;
    /* Answers that had been given when the call was passed on. */
    gint answered_before;
} passed_call_t;

typedef struct {
    bv_listener_t *listener;
    uint16_t port;
    /* Of passed_call_t. */
    bv_ring_t *passed;
    gint answered;
    gint disconnects;
    /* Open calls by letter. */
    bv_call_t *open[128];
} listener_fixture_t;

/* Called once, before the first fixture is started. */
void listener_fixture_init(void);

void listener_fixture_start(listener_fixture_t *fixture);

/* Starts a listener with a limit of connections; 0 for its default. */
void listener_fixture_start_limited(listener_fixture_t *fixture,
                                    uint32_t connections_limit);

/* Drops the calls that were not answered, and ends the listener. */
void listener_fixture_stop(listener_fixture_t *fixture);

/* Waits for the next call. */
passed_call_t *listener_fixture_wait_passed(listener_fixture_t *fixture);

/* Returns the letter of the next call; it is kept open. */
char listener_fixture_take_call(listener_fixture_t *fixture,
                                gint *answered_before);

/* Answers an open call by a body of `size` letters. */
void listener_fixture_answer(listener_fixture_t *fixture, char letter,
                             uint16_t status, size_t size, bool closes);

/*
 * "?" is no request; "#" and "@" announce a body that never comes; "%" has a
 * whole body.
 */
char *listener_fixture_write_requests(const char *letters);

/*
 * Returns a text such as "200a 503b!": status and first letter of the body of
 * each whole answer, and "!" if it closes the connection.
 */
char *listener_fixture_summarize(const char *answers);

#endif
