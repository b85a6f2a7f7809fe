#include <stdatomic.h>
#include <sys/syscall.h>
#include <unistd.h>

/*
 * ZeroMQ asks for the process id before it touches any of its descriptors, to
 * notice a fork: some twenty system calls for each call of a node. A node
 * never forks, so the C library's function is replaced by one that remembers.
 */
pid_t
getpid(void)
{
    static _Atomic pid_t id;
    pid_t known = atomic_load_explicit(&id, memory_order_relaxed);
    if (known == 0) {
        known = (pid_t)syscall(SYS_getpid);
        atomic_store_explicit(&id, known, memory_order_relaxed);
    }
    return known;
}
