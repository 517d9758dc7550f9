// The state directory, which one process at a time owns, and small checksummed files in it. Used by every
// module that stores state; it depends on none of them. Errors that the operator has to resolve are
// exceptions (Error); a failed write is a return value. Uses no threads and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace slatejunction::storage {

/// An error that the operator has to resolve; the text names the path. The stored state is unchanged.
struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Owns a file descriptor.
class File {
  public:
    explicit File(int fd = -1) : fd_(fd) {}
    File(File&& other) noexcept;
    File& operator=(File&& other) noexcept;
    ~File();
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

  private:
    int fd_;
};

/// An existing directory, locked (flock) during the lifetime of this object; the kernel unlocks it after a
/// kill. Throws Error when it is no directory, can't be written, or is locked by another process.
class StateDirectory {
  public:
    explicit StateDirectory(std::string path);
    std::string file(const std::string& name) const { return path_ + "/" + name; }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
    File lock_;
};

/// Writes a small file atomically: `magic` (8 bytes, with the version), a checksum of the body, the body.
/// Leaves either the old file or the new one, also after a power loss. On failure returns false and sets
/// `error`.
bool write_checked_file(const std::string& directory, const std::string& name, const char* magic,
                        const std::string& body, std::string& error);
/// Returns the body of such a file; nullopt if there is none or it is damaged. A damaged file is set aside,
/// and `set_aside_path` receives its new path. Throws Error when the file can't be read.
std::optional<std::string> read_checked_file(const std::string& directory, const std::string& name,
                                             const char* magic, std::string& set_aside_path);

/// Renames a damaged file to "NAME.broken-N" with the first free N and returns the new path. Throws Error.
std::string set_aside(const std::string& path);

/// XXH64 of the bytes.
std::uint64_t checksum(const void* data, std::size_t size, std::uint64_t seed = 0);

}   // namespace slatejunction::storage
