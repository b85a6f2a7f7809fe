#include "raw.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define READ_TIMEOUT_S 10

static struct sockaddr_in
loopback_address(uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    return address;
}

int
raw_connect(uint16_t port)
{
    struct sockaddr_in address = loopback_address(port);
    struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
raw_send(int fd, const char *text, size_t size, gboolean half_closes)
{
    while (size > 0) {
        ssize_t sent = send(fd, text, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        text += sent;
        size -= (size_t)sent;
    }
    if (half_closes) {
        shutdown(fd, SHUT_WR);
    }
}

char *
raw_read(int fd)
{
    GString *text = g_string_new(NULL);
    char buffer[4096];
    for (;;) {
        ssize_t received = recv(fd, buffer, sizeof(buffer), 0);
        if (received <= 0) {
            return g_string_free(text, FALSE);
        }
        g_string_append_len(text, buffer, received);
    }
}

int
raw_listen(uint16_t port)
{
    struct sockaddr_in address = loopback_address(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 16) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}
