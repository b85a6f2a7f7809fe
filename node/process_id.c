#include <stdatomic.h>
#include <sys/syscall.h>
#include <unistd.h>

/*
 * Replaces the C library's getpid() by one that caches the process id. ZeroMQ
 * calls getpid() before each use of one of its descriptors, to detect a fork;
 * this would cost about twenty system calls for each call that a node handles.
 * The cached id stays valid, since a node never forks.
 */
pid_t
getpid(void)
{
    static _Atomic pid_t cached_id;
    pid_t id = atomic_load_explicit(&cached_id, memory_order_relaxed);
    if (id == 0) {
        id = (pid_t)syscall(SYS_getpid);
        atomic_store_explicit(&cached_id, id, memory_order_relaxed);
    }
    return id;
}
