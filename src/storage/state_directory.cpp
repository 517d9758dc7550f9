#include "storage/state_directory.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace slatejunction::storage {

File::File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
File& File::operator=(File&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}
File::~File() {
    if (fd_ >= 0) ::close(fd_);
}

StateDirectory::StateDirectory(std::string path) : path_(std::move(path)) {
    lock_ = File(::open(file("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock_) throw Error(path_ + " can't be written: " + std::strerror(errno));
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
        throw Error(path_ + (errno == EWOULDBLOCK ? " is in use by another process"
                                                  : std::string(": ") + std::strerror(errno)));
}

namespace {
constexpr std::size_t kMagicBytes = 8;
constexpr std::size_t kHeaderBytes = kMagicBytes + sizeof(std::uint64_t);   // magic and checksum
}   // namespace

bool write_checked_file(const std::string& directory, const std::string& name, const char* magic,
                        const std::string& body, std::string& error) {
    const std::string path = directory + "/" + name, temporary_path = path + "~";
    std::string bytes(magic, kMagicBytes);
    const std::uint64_t stored_checksum = checksum(body.data(), body.size());
    bytes.append(reinterpret_cast<const char*>(&stored_checksum), sizeof stored_checksum);
    bytes += body;
    const File file(::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    const File directory_file(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    const bool written =
        file && directory_file &&
        ::write(file.get(), bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()) &&
        ::fdatasync(file.get()) == 0 && std::rename(temporary_path.c_str(), path.c_str()) == 0 &&
        ::fsync(directory_file.get()) == 0;
    if (!written) error = path + ": " + std::strerror(errno);
    return written;
}

std::optional<std::string> read_checked_file(const std::string& directory, const std::string& name,
                                             const char* magic, std::string& set_aside_path) {
    const std::string path = directory + "/" + name;
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        if (::access(path.c_str(), F_OK) == 0) throw Error(path + " can't be read");
        return {};
    }
    const std::string bytes((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    std::uint64_t stored_checksum = 0;
    if (bytes.size() >= kHeaderBytes)
        std::memcpy(&stored_checksum, bytes.data() + kMagicBytes, sizeof stored_checksum);
    if (bytes.size() < kHeaderBytes || std::memcmp(bytes.data(), magic, kMagicBytes) != 0 ||
        stored_checksum != checksum(bytes.data() + kHeaderBytes, bytes.size() - kHeaderBytes)) {
        set_aside_path = set_aside(path);
        return {};
    }
    return bytes.substr(kHeaderBytes);
}

std::string set_aside(const std::string& path) {
    for (int number = 1;; ++number) {
        std::string new_path = path + ".broken-" + std::to_string(number);
        if (::access(new_path.c_str(), F_OK) == 0) continue;
        if (std::rename(path.c_str(), new_path.c_str()) != 0)
            throw Error(path + " is damaged and can't be renamed: " + std::strerror(errno));
        return new_path;
    }
}

std::uint64_t checksum(const void* data, std::size_t size, std::uint64_t seed) {
    return XXH64(data, size, seed);
}

}   // namespace slatejunction::storage
