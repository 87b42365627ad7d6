/* Fault library, loaded into a limiter with LD_PRELOAD: makes system calls fail, transfer fewer bytes, stall or
 * return a shifted wall clock.
 *
 * Faults are switched through a control block, a file that the soak runner and the limiter both map
 * (SOAK_FAULT_CONTROL). `soak/fault_control.py` has the same layout. File operations fail only on paths below
 * SOAK_FAULT_DIRECTORY, except locks, which fail on every file.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { FAIL_WRITING = 1, FAIL_READING = 2, FAIL_LOCKING = 4, MAX_FDS = 4096, FAILED_PORTS = 32 };
enum { STALL_BEFORE_READ = 1, STALL_AFTER_READ = 2, STALL_BEFORE_WRITE = 3, STALL_BEFORE_CLOCK_READ = 4 };

struct control {
    int64_t clock_offset_ns;
    int32_t accept_errno, accept_failures;
    int32_t socket_errno, socket_failures;
    int32_t connect_errno, connect_failures;
    int32_t read_errno, read_failures;
    int32_t interrupted_waits;
    int32_t max_transfer; /* bytes that a read or write of a socket transfers; 0: no limit */
    int32_t directory_errno, directory_calls; /* directory_calls is a mask of FAIL_... */
    int32_t stall_point, stall_ms, stalls; /* the next `stalls` calls at stall_point sleep stall_ms */
    int32_t clock_reads; /* clock reads after input that precede the stall at STALL_BEFORE_CLOCK_READ */
    /* Ring buffer of the peer ports of the sockets whose read was made to fail. */
    int32_t read_failure_count, failed_peer_ports[FAILED_PORTS];
};

static struct control no_faults, *control = &no_faults;
/* While stalls are pending: whether the last socket read returned data. The stall before a clock read clears it. */
static int input_read;
static const char *directory;
static char in_directory[MAX_FDS]; /* by descriptor: whether the file was opened below `directory` */

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void load(void) {
    const char *path = getenv("SOAK_FAULT_CONTROL");
    directory = getenv("SOAK_FAULT_DIRECTORY");
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *block = mmap(NULL, sizeof no_faults, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (block != MAP_FAILED) control = block;
}

/* Count down the remaining failures and set errno; return whether this call has to fail. */
static int fails(int32_t *remaining, int32_t error) {
    if (*remaining <= 0 || __sync_fetch_and_sub(remaining, 1) <= 0) return 0;
    errno = error;
    return 1;
}

static int directory_fails(const char *path, int call) {
    if (!(control->directory_calls & call) || !directory || strncmp(path, directory, strlen(directory)) != 0) return 0;
    errno = control->directory_errno;
    return 1;
}

/* Stall the process if a stall is pending at this point. Sleeping stops its single-threaded event loop. */
static void stall(int32_t point) {
    int saved_errno = errno;
    if (control->stall_point != point || control->stalls <= 0) return;
    if (__sync_fetch_and_sub(&control->stalls, 1) > 0) usleep((useconds_t)control->stall_ms * 1000);
    errno = saved_errno;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

/* Only reads of TCP connections fail: the event loop wakes itself up through a socket pair, which must work. */
static int read_fails(int fd) {
    struct sockaddr_in peer = {0};
    socklen_t size = sizeof peer;
    if (control->read_failures <= 0 || !is_socket(fd)) return 0;
    if (getpeername(fd, (struct sockaddr *)&peer, &size) != 0 || peer.sin_family != AF_INET) return 0;
    if (!fails(&control->read_failures, control->read_errno)) return 0;
    int position = __sync_fetch_and_add(&control->read_failure_count, 1) % FAILED_PORTS;
    control->failed_peer_ports[position] = ntohs(peer.sin_port);
    errno = control->read_errno;
    return 1;
}

static size_t limited_size(int fd, size_t size) {
    size_t limit = (size_t)control->max_transfer;
    return limit && size > limit && is_socket(fd) ? limit : size;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
    REAL(accept4);
    return fails(&control->accept_failures, control->accept_errno) ? -1 : real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict size) {
    REAL(accept);
    return fails(&control->accept_failures, control->accept_errno) ? -1 : real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    int is_tcp = domain == AF_INET && (type & 0xf) == SOCK_STREAM;
    return is_tcp && fails(&control->socket_failures, control->socket_errno) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return fails(&control->connect_failures, control->connect_errno) ? -1 : real(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    if (read_fails(fd)) return -1;
    if (control->stalls <= 0 || !is_socket(fd)) return real(fd, data, limited_size(fd, size));
    stall(STALL_BEFORE_READ);
    ssize_t result = real(fd, data, limited_size(fd, size));
    if (result > 0) stall(STALL_AFTER_READ);
    input_read = result > 0;
    return result;
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    if (read_fails(fd)) return -1;
    return real(fd, data, limited_size(fd, size), flags);
}

static int file_write_fails(int fd) {
    if (!(control->directory_calls & FAIL_WRITING) || fd < 0 || fd >= MAX_FDS || !in_directory[fd]) return 0;
    struct stat status;
    if (fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) return 0;
    errno = control->directory_errno;
    return 1;
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    if (control->stalls > 0 && is_socket(fd)) stall(STALL_BEFORE_WRITE);
    return file_write_fails(fd) ? -1 : real(fd, data, limited_size(fd, size));
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    REAL(send);
    return real(fd, data, limited_size(fd, size), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (control->max_transfer && count > 0 && is_socket(fd))
        return write(fd, parts[0].iov_base, parts[0].iov_len);
    return real(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    REAL(epoll_wait);
    return fails(&control->interrupted_waits, EINTR) ? -1 : real(fd, events, count, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    return fails(&control->interrupted_waits, EINTR) ? -1 : real(fd, events, count, timeout, mask);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    if (control->stalls > 0 && input_read && control->clock_reads-- <= 0) {
        stall(STALL_BEFORE_CLOCK_READ);
        input_read = 0;
    }
    int result = real(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted_ns = now->tv_sec * INT64_C(1000000000) + now->tv_nsec + control->clock_offset_ns;
        now->tv_sec = shifted_ns / INT64_C(1000000000);
        now->tv_nsec = shifted_ns % INT64_C(1000000000);
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec shifted;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &shifted);
    now->tv_sec = shifted.tv_sec;
    now->tv_usec = shifted.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *now) {
    struct timespec shifted;
    clock_gettime(CLOCK_REALTIME, &shifted);
    if (now) *now = shifted.tv_sec;
    return shifted.tv_sec;
}

static int open_fails(const char *path, int flags) {
    int writes = (flags & O_ACCMODE) != O_RDONLY;
    if (directory_fails(path, FAIL_READING)) return 1;
    /* On a full disk an existing file can still be opened for writing; only the writes to it fail. */
    if (writes && control->directory_errno == ENOSPC && access(path, F_OK) == 0) return 0;
    return writes && directory_fails(path, FAIL_WRITING);
}

static int record_if_in_directory(int fd, const char *path) {
    if (fd >= 0 && fd < MAX_FDS) in_directory[fd] = directory && strncmp(path, directory, strlen(directory)) == 0;
    return fd;
}

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0; \
        va_end(arguments); \
        return open_fails(path, flags) ? -1 : record_if_in_directory(real(path, flags, mode), path); \
    }

OPEN(open)
OPEN(open64)

int rename(const char *from, const char *to) {
    REAL(rename);
    return directory_fails(to, FAIL_WRITING) ? -1 : real(from, to);
}

int mkdir(const char *path, mode_t mode) {
    REAL(mkdir);
    return directory_fails(path, FAIL_WRITING) ? -1 : real(path, mode);
}

int unlink(const char *path) {
    REAL(unlink);
    return directory_fails(path, FAIL_WRITING) && control->directory_errno != ENOSPC ? -1 : real(path);
}

int flock(int fd, int operation) {
    REAL(flock);
    if ((control->directory_calls & FAIL_LOCKING) && operation != LOCK_UN) {
        errno = ENOLCK;
        return -1;
    }
    return real(fd, operation);
}

int fsync(int fd) {
    REAL(fsync);
    return file_write_fails(fd) ? -1 : real(fd);
}
