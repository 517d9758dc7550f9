// An append-only log of records in a few files (segments) of a directory. All records are read at the
// start; records are removed by whole segments.
//
// Invariants:
// - Each record has a checksum; a record that a killed process left incomplete ends its segment.
// - A failed append leaves nothing of its record.
// - Nothing is synced to the disk unless the Writer does so: a killed process loses nothing that was
//   appended, but a power loss may lose the newest seconds.
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
    /// Has the contract of ::write; replaced for durable writes and in tests of a full disk.
    using Writer = std::function<std::int64_t(int fd, const void* data, std::size_t size)>;
    /// What the constructor found in the directory.
    struct Found {
        std::size_t records = 0;
        std::size_t cut_bytes = 0;         // after the last intact record of each segment
        std::vector<std::string> broken;   // new paths of damaged segments that were set aside
    };

    /// Reads the segments NAME-NUMBER of the directory `path`. A segment of at least `segment_bytes` is
    /// full(). `visit` is called for each intact record, oldest first, with its segment's
    /// number, type and payload. Throws Error for a directory that can't be read and for another version of
    /// a segment.
    SegmentedLog(std::string path, std::string name, std::size_t segment_bytes,
                 const std::function<void(std::uint64_t, std::uint32_t, std::string_view)>& visit,
                 Found& found, Writer writer = {});

    /// Appends to the newest segment. False: no segment is open, or the write failed; nothing of the record
    /// is left, and the call may be repeated.
    bool append(std::uint32_t type, std::string_view payload);
    /// Begins a new segment for the following appends; false if its file can't be written.
    bool begin_segment();
    /// Replaces the records of an older segment; false if the segment is unchanged.
    bool replace_segment(std::uint64_t number, const std::vector<Record>& records);
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
    // Returns false if the header of the segment was damaged and the segment was set aside.
    bool read_segment(std::uint64_t number, const Visitor& visit, Found& found);
    bool write_all(int fd, std::string_view bytes);
    static std::string header();
    static void append_record(std::string& out, std::uint64_t number, std::uint32_t type,
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
