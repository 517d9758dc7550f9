// Records in order, in a few files (segments) of a directory: appended, read at the start, removed by
// segment.
//
// Inputs: records (type and payload, bytes), the maximum size of a segment in bytes. Output: at the start
// every record, oldest first; afterwards only success or failure of writes. Invariants:
//  1. Each record carries a checksum; a record that a killed process left incomplete ends the segment.
//  2. A failed append leaves nothing of its record.
//  3. Nothing is synced to the disk unless the Writer does: a killed process loses nothing that was
//  appended, power
//     loss may lose the newest seconds.
// Used by rollout::LogFile, remotewrite::Backlog and rules::BucketStorage, which own their instance.
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
    /// As ::write; replaced for durable writes and in tests of a full disk.
    using Writer = std::function<std::int64_t(int fd, const void* data, std::size_t size)>;
    struct Found {
        std::size_t records = 0, cut_bytes = 0;   // cut_bytes: after the last complete record
        std::vector<std::string> broken;          // new paths of segments set aside
    };

    /// Segments NAME-NUMBER in the directory `path`. `visit` is called for each complete record, oldest
    /// first, with the number of its segment. Throws Error for a directory that can't be read and for
    /// another version.
    SegmentedLog(std::string path, std::string name, std::size_t segment_bytes,
                 const std::function<void(std::uint64_t, std::uint32_t, std::string_view)>& visit,
                 Found& found, Writer writer = {});

    /// False: the disk is full or failing. Nothing of the record is left, and the call may be repeated.
    bool append(std::uint32_t type, std::string_view payload);
    /// Begins a new segment for the following appends. False as above.
    bool begin_segment();
    /// Replaces the records of an older segment; false: it is unchanged.
    bool replace_segment(std::uint64_t number, const std::vector<Record>& records);
    /// Removes a segment.
    void remove_segment(std::uint64_t number);

    bool open() const { return static_cast<bool>(file_); }   // a segment is open for appends
    bool full() const { return newest_size_ >= segment_bytes_; }
    std::uint64_t newest() const { return newest_; }
    const std::map<std::uint64_t, std::size_t>& segments() const { return segments_; }   // sizes, bytes
    std::size_t bytes() const;
    const std::string& last_error() const { return last_error_; }   // of the last failure

  private:
    std::string path_of(std::uint64_t number) const;
    void find_segments();
    using Visitor = std::function<void(std::uint64_t, std::uint32_t, std::string_view)>;
    // False: the segment was damaged at its header and set aside.
    bool read_segment(std::uint64_t number, const Visitor& visit, Found& found);
    bool write_all(int fd, std::string_view bytes);
    static std::string header();
    static void append_frame(std::string& out, std::uint64_t number, std::uint32_t type,
                             std::string_view payload);

    const std::string path_, name_;
    const std::size_t segment_bytes_;
    const Writer writer_;
    std::map<std::uint64_t, std::size_t> segments_;
    File file_;
    std::uint64_t newest_ = 0;
    std::size_t newest_size_ = 0;
    std::string last_error_;
};

}   // namespace slatejunction::storage
