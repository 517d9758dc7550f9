// Records in order, in a few files (segments) of a folder: appended, read again at the start, dropped by
// the segment. Each record carries a check; what a killed process left half written is found and cut off.
//
// Nothing is flushed to the disk by force: a killed process loses nothing that was appended, a machine that
// loses power may lose the newest seconds.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/state_directory.hpp"

namespace slatejunction::storage {

struct Record {
    std::uint32_t type = 0;
    std::string payload;
};

class SegmentedLog {
  public:
    // As ::write; another one for tests of a disk that is full.
    using Writer = std::function<std::int64_t(int fd, const void* data, std::size_t size)>;
    struct Found {
        std::size_t records = 0, cut_bytes = 0;   // cut_bytes: behind the last whole record of a segment
        std::vector<std::string> broken;          // segments put aside, by their new names
    };

    // Segments NAME-NUMBER in the folder `path`. `visit` is called for each whole record, oldest first,
    // with the number of its segment. Throws Error for a folder that can't be read and for another version.
    SegmentedLog(std::string path, std::string name, std::size_t segment_bytes,
                 const std::function<void(std::uint64_t, std::uint32_t, std::string_view)>& visit,
                 Found& found, Writer writer = {});

    // False: the disk is full or failing. Nothing of the record is left then, and it may be tried again.
    bool append(std::uint32_t type, std::string_view payload);
    // A segment after all others, for what is appended from now on. False as above.
    bool begin();
    // The segment holds these records instead, or what it held (false).
    bool replace(std::uint64_t number, const std::vector<Record>& records);
    void drop(std::uint64_t number);

    bool open() const { return static_cast<bool>(file_); }   // there is a segment to append to
    bool full() const { return newest_size_ >= segment_bytes_; }
    std::uint64_t newest() const { return newest_; }
    const std::map<std::uint64_t, std::size_t>& segments() const { return segments_; }   // sizes, bytes
    std::size_t bytes() const;
    const std::string& last_error() const { return why_; }   // of the last failure

  private:
    std::string path_of(std::uint64_t number) const;
    bool put(int fd, std::string_view bytes);
    static std::string header();
    static void frame(std::string& out, std::uint64_t number, std::uint32_t type, std::string_view payload);

    const std::string path_, name_;
    const std::size_t segment_bytes_;
    const Writer writer_;
    std::map<std::uint64_t, std::size_t> segments_;
    File file_;
    std::uint64_t newest_ = 0;
    std::size_t newest_size_ = 0;
    std::string why_;
};

}   // namespace slatejunction::storage
