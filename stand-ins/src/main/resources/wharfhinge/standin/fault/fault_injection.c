/*
 * Makes system calls of the process that preloads it (LD_PRELOAD) fail or return late, and steps its wall clock.
 *
 * The rules are in a table in a file that the test maps and changes while the process runs. The layout must match
 * FaultInjection.java. READ and WRITE concern sockets only; FILE_WRITE and FILE_SYNC concern other files only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, SENDTO, RECVFROM, EPOLL_WAIT, FILE_WRITE, FILE_SYNC, CALLS };

struct rule {
    int32_t error;     /* errno to fail with; 0 if calls are not to fail */
    int32_t one_in;    /* fails one in this many calls; 1 fails all */
    int32_t max_bytes; /* limit of one read or write; 0 for no limit */
    int32_t count;     /* calls made since the error was set */
    int32_t failed;    /* calls that were made to fail */
    int32_t total;     /* all calls made */
    int32_t delay_ms;  /* how long an EPOLL_WAIT returns after it has looked for events */
};

struct table {
    int64_t wall_step_nanos;
    struct rule rules[CALLS];
};

static struct table no_faults;
static struct table *table = &no_faults;

__attribute__((constructor)) static void map_table(void) {
    const char *path = getenv("FAULT_TABLE");
    int fd = path == NULL ? -1 : open(path, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct table), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped != MAP_FAILED) {
        table = mapped;
    }
    close(fd);
}

/* Counts a call and returns the errno that it is to fail with, or 0. */
static int injected_errno(enum call call) {
    struct rule *rule = &table->rules[call];
    __atomic_add_fetch(&rule->total, 1, __ATOMIC_RELAXED);
    int error = __atomic_load_n(&rule->error, __ATOMIC_RELAXED);
    if (error == 0) {
        return 0;
    }
    int count = __atomic_add_fetch(&rule->count, 1, __ATOMIC_RELAXED);
    if (rule->one_in > 1 && count % rule->one_in != 0) {
        return 0;
    }
    __atomic_add_fetch(&rule->failed, 1, __ATOMIC_RELAXED);
    return error;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

/* The number of bytes that one read or write may transfer. */
static size_t bounded(enum call call, size_t bytes) {
    int32_t max_bytes = table->rules[call].max_bytes;
    return max_bytes > 0 && bytes > (size_t) max_bytes ? (size_t) max_bytes : bytes;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) { \
        real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name); \
    }

#define FAIL_IF_INJECTED(call) \
    do { \
        int error = injected_errno(call); \
        if (error != 0) { \
            errno = error; \
            return -1; \
        } \
    } while (0)

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    FAIL_IF_INJECTED(ACCEPT);
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    FAIL_IF_INJECTED(ACCEPT);
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    FAIL_IF_INJECTED(SOCKET);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    int error = injected_errno(CONNECT);
    if (error == EINTR) {
        real(fd, address, length); /* an interrupted connect still completes in the kernel, see connect(2) */
    }
    if (error != 0) {
        errno = error;
        return -1;
    }
    return real(fd, address, length);
}

ssize_t read(int fd, void *bytes, size_t size) {
    REAL(read);
    if (!is_socket(fd)) {
        return real(fd, bytes, size);
    }
    FAIL_IF_INJECTED(READ);
    return real(fd, bytes, bounded(READ, size));
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv);
    if (!is_socket(fd)) {
        return real(fd, parts, count);
    }
    FAIL_IF_INJECTED(READ);
    if (table->rules[READ].max_bytes > 0 && count > 0) {
        return read(fd, parts[0].iov_base, bounded(READ, parts[0].iov_len));
    }
    return real(fd, parts, count);
}

ssize_t write(int fd, const void *bytes, size_t size) {
    REAL(write);
    enum call call = is_socket(fd) ? WRITE : FILE_WRITE;
    if (call == FILE_WRITE && fd <= STDERR_FILENO) {
        return real(fd, bytes, size);
    }
    FAIL_IF_INJECTED(call);
    return real(fd, bytes, bounded(call, size));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    enum call call = is_socket(fd) ? WRITE : FILE_WRITE;
    FAIL_IF_INJECTED(call);
    if (table->rules[call].max_bytes > 0 && count > 0) {
        return write(fd, parts[0].iov_base, bounded(call, parts[0].iov_len));
    }
    return real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t size, off64_t offset) {
    REAL(pwrite64);
    FAIL_IF_INJECTED(FILE_WRITE);
    return real(fd, bytes, bounded(FILE_WRITE, size), offset);
}

int fsync(int fd) {
    REAL(fsync);
    FAIL_IF_INJECTED(FILE_SYNC);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    FAIL_IF_INJECTED(FILE_SYNC);
    return real(fd);
}

ssize_t sendto(int fd, const void *bytes, size_t size, int flags, const struct sockaddr *to, socklen_t length) {
    REAL(sendto);
    FAIL_IF_INJECTED(SENDTO);
    return real(fd, bytes, size, flags, to, length);
}

ssize_t recvfrom(int fd, void *bytes, size_t size, int flags, struct sockaddr *from, socklen_t *length) {
    REAL(recvfrom);
    FAIL_IF_INJECTED(RECVFROM);
    return real(fd, bytes, size, flags, from, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    FAIL_IF_INJECTED(EPOLL_WAIT);
    int ready = real(fd, events, max_events, timeout);
    int32_t delay_ms = __atomic_load_n(&table->rules[EPOLL_WAIT].delay_ms, __ATOMIC_RELAXED);
    if (delay_ms > 0) {
        struct timespec delay = {delay_ms / 1000, delay_ms % 1000 * 1000000L};
        int error = errno;
        nanosleep(&delay, NULL);
        errno = error;
    }
    return ready;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = time->tv_sec * 1000000000LL + time->tv_nsec + table->wall_step_nanos;
        time->tv_sec = nanos / 1000000000LL;
        time->tv_nsec = nanos % 1000000000LL;
    }
    return result;
}
