#include "berylvane/common/response_share.h"

bool
bv_response_share_add(bv_response_share_t *share, size_t held_bytes,
                      size_t added_bytes)
{
    bool is_used_up = share->limit_bytes > 0 &&
                      share->received_bytes + added_bytes > share->limit_bytes;
    if (is_used_up &&
        held_bytes + added_bytes > share->limit_bytes / share->responses) {
        return false;
    }
    share->received_bytes += added_bytes;
    return true;
}
