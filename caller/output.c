#include "output.h"

#include <errno.h>
#include <sys/socket.h>
#include <sys/uio.h>

#define CHUNKS_AT_ONCE 16
/* Chunks from this size on are shortened while they are written. */
#define LARGE_BYTES 262144

void
bv_output_init(bv_output_t *output)
{
    g_queue_init(&output->chunks);
    output->offset = 0;
    output->bytes = 0;
}

void
bv_output_clear(bv_output_t *output)
{
    g_queue_clear_full(&output->chunks, (GDestroyNotify)g_bytes_unref);
    output->offset = 0;
    output->bytes = 0;
}

void
bv_output_add(bv_output_t *output, GBytes *chunk)
{
    if (chunk != NULL) {
        g_queue_push_tail(&output->chunks, chunk);
        output->bytes += g_bytes_get_size(chunk);
    }
}

void
bv_output_skip(bv_output_t *output, size_t size)
{
    output->offset += size;
}

bool
bv_output_is_empty(const bv_output_t *output)
{
    return output->chunks.length == 0;
}

static size_t
list_chunks(const bv_output_t *output, struct iovec *vectors)
{
    size_t count = 0;
    size_t offset = output->offset;
    for (GList *link = output->chunks.head;
         link != NULL && count < CHUNKS_AT_ONCE; link = link->next) {
        gsize size;
        const char *data = g_bytes_get_data(link->data, &size);
        vectors[count].iov_base = (void *)(data + offset);
        vectors[count].iov_len = size - offset;
        offset = 0;
        count++;
    }
    return count;
}

/* Frees the written half of a large chunk, which takes a copy of the rest. */
static void
shorten_first(bv_output_t *output)
{
    GBytes *first = g_queue_peek_head(&output->chunks);
    gsize size;
    const char *data = g_bytes_get_data(first, &size);
    if (size < LARGE_BYTES || output->offset < size / 2) {
        return;
    }
    output->chunks.head->data =
        g_bytes_new(data + output->offset, size - output->offset);
    output->bytes -= output->offset;
    output->offset = 0;
    g_bytes_unref(first);
}

static void
remove_written(bv_output_t *output, size_t written)
{
    output->offset += written;
    while (output->chunks.length > 0) {
        GBytes *first = g_queue_peek_head(&output->chunks);
        size_t size = g_bytes_get_size(first);
        if (output->offset < size) {
            shorten_first(output);
            return;
        }
        output->offset -= size;
        output->bytes -= size;
        g_queue_pop_head(&output->chunks);
        g_bytes_unref(first);
    }
}

ssize_t
bv_output_write(bv_output_t *output, int fd)
{
    ssize_t total = 0;
    while (output->chunks.length > 0) {
        struct iovec vectors[CHUNKS_AT_ONCE];
        struct msghdr message = {.msg_iov = vectors};
        message.msg_iovlen = list_chunks(output, vectors);
        ssize_t written = sendmsg(fd, &message, MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK ? total : -1;
        }
        remove_written(output, (size_t)written);
        total += written;
    }
    return total;
}
