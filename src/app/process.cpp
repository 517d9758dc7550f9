#include "app/process.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace slatejunction::app {

void open_standard_streams() {
    for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; ++fd)
        if (::fcntl(fd, F_GETFD) < 0 && errno == EBADF && ::open("/dev/null", O_RDWR) < 0) return;
}

}   // namespace slatejunction::app
