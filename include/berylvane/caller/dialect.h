#ifndef BERYLVANE_CALLER_DIALECT_H
#define BERYLVANE_CALLER_DIALECT_H

#include "berylvane/caller/call.h"

/*
 * dialect - the mapping of calls and replies to HTTP headers
 */
typedef struct {
    /*
     * Reads the head of a call that arrived at a listener with the role
     * `role`. `lines` holds all header lines, each ended by CR LF; method and
     * path of `call` are set. Sets all other members but body, arrived_us,
     * accepted_us and tag. Returns 0, or the HTTP status that the call is
     * refused with.
     */
    uint16_t (*read_head)(void *context, bv_listener_role_t role,
                          const char *lines, bv_call_t *call);
    /*
     * Appends header lines with the outcome and further properties of a reply,
     * each ended by CR LF.
     */
    void (*write_head)(void *context, const bv_reply_t *reply, GString *lines);
    void *context;
} bv_caller_dialect_t;

/* The dialect with headers that berylvane defines. */
extern const bv_caller_dialect_t bv_caller_own_dialect;

#endif
