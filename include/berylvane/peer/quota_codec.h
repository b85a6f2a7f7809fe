#ifndef BERYLVANE_PEER_QUOTA_CODEC_H
#define BERYLVANE_PEER_QUOTA_CODEC_H

#include "berylvane/core/quota.h"

/*
 * quota_codec - bodies of the messages QUOTA_REQUEST and QUOTA_REPLY
 *
 * A body is a MessagePack array with one array for each part of an account's
 * quota. Their number, the lengths of names and all numbers are checked on
 * decoding.
 */
typedef struct {
    uint32_t count;
    bv_quota_request_t entries[BV_QUOTA_ENTRIES_LIMIT];
    /* Names that the entries refer to. */
    char *names[BV_QUOTA_ENTRIES_LIMIT];
} bv_quota_requests_t;

typedef struct {
    uint32_t count;
    bv_quota_reply_t entries[BV_QUOTA_ENTRIES_LIMIT];
    char *names[BV_QUOTA_ENTRIES_LIMIT];
} bv_quota_replies_t;

/* Encodes up to BV_QUOTA_ENTRIES_LIMIT entries. */
GBytes *bv_quota_requests_encode(const bv_quota_request_t *entries,
                                 uint32_t count);
GBytes *bv_quota_replies_encode(const bv_quota_reply_t *entries,
                                uint32_t count);

/*
 * Decode a body; return false if it is malformed or NULL. In both cases the
 * names must be freed with the functions below.
 */
bool bv_quota_requests_decode(GBytes *body, bv_quota_requests_t *requests);
bool bv_quota_replies_decode(GBytes *body, bv_quota_replies_t *replies);
void bv_quota_requests_clear(bv_quota_requests_t *requests);
void bv_quota_replies_clear(bv_quota_replies_t *replies);

#endif
