// The durable homes of the program, below every subsystem that keeps state: a directory that one process
// owns, and what may go wrong with it.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace slatejunction::storage {

// The operator has to act: the text names the path. Nothing was changed.
struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A descriptor, closed with its owner.
class File {
  public:
    explicit File(int fd = -1) : fd_(fd) {}
    File(File&& other) noexcept;
    File& operator=(File&& other) noexcept;
    ~File();
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

  private:
    int fd_;
};

// An existing directory, locked (flock) for as long as this lives, also by a process that is killed.
// Throws Error when it is no directory, can't be written, or another process holds it.
class StateDirectory {
  public:
    explicit StateDirectory(std::string path);
    std::string file(const std::string& name) const { return path_ + "/" + name; }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
    File lock_;
};

// A small file that is whole or not there: `magic` (8 bytes, with the version), a check of what follows,
// the body. put_whole() leaves the old or the new one, also where a machine loses power; false: `why`
// tells, and the old one stands.
bool write_checked_file(const std::string& directory, const std::string& name, const char* magic,
                        const std::string& body, std::string& why);
// What stands there; nothing: no file. Throws Error when it can't be read. One that is broken is set aside,
// and `broken` tells where.
std::optional<std::string> read_checked_file(const std::string& directory, const std::string& name,
                                             const char* magic, std::string& broken);

// Gives a broken file another name beside it, which it returns: "NAME.broken-N" with the first free N.
std::string set_aside(const std::string& path);

// XXH64 of the bytes.
std::uint64_t checksum(const void* data, std::size_t size, std::uint64_t seed = 0);

}   // namespace slatejunction::storage
