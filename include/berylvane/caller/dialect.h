#ifndef BERYLVANE_CALLER_DIALECT_H
#define BERYLVANE_CALLER_DIALECT_H

#include "berylvane/caller/call.h"

/*
 * dialect - how calls and replies are said in HTTP headers
 */
typedef struct {
    /*
     * Reads the head of a call on a listener for `port`, whose method and path
     * are set: fills in all but body and times. `lines` are all header lines,
     * each ended by CR LF. Yields 0, or the status to refuse the call with.
     */
    uint16_t (*read_head)(void *context, bv_listener_role_t port,
                          const char *lines, bv_call_t *call);
    /* Appends the header lines that say what a reply means. */
    void (*write_head)(void *context, const bv_reply_t *reply, GString *lines);
    void *context;
} bv_caller_dialect_t;

/* berylvane's own headers. */
extern const bv_caller_dialect_t bv_caller_own_dialect;

#endif
