#include "store/store.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace slatejunction::store {

File::File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
File& File::operator=(File&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}
File::~File() {
    if (fd_ >= 0) ::close(fd_);
}

Directory::Directory(std::string path) : path_(std::move(path)) {
    lock_ = File(::open(file("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock_) throw Error(path_ + " can't be written: " + std::strerror(errno));
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
        throw Error(path_ + (errno == EWOULDBLOCK ? " is in use by another process"
                                                  : std::string(": ") + std::strerror(errno)));
}

std::string set_aside(const std::string& path) {
    for (int number = 1;; ++number) {
        const std::string other = path + ".broken-" + std::to_string(number);
        if (::access(other.c_str(), F_OK) == 0) continue;
        if (std::rename(path.c_str(), other.c_str()) != 0)
            throw Error(path + " is broken and can't be renamed: " + std::strerror(errno));
        return other;
    }
}

std::uint64_t check_of(const void* data, std::size_t size, std::uint64_t seed) {
    return XXH64(data, size, seed);
}

}   // namespace slatejunction::store
