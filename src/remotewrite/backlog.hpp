// Stores the sender's waiting frames in a directory, so that the next process sends what this one did not.
//
// Each frame is appended once to a storage::SegmentedLog, a few frames per call, and so is the number below
// which all frames are finished. At the start the frames of an earlier process are restored into the
// sender. Never blocks on the disk beyond a write; nothing is synced. Owned by Driver; the sender must
// outlive it.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "remotewrite/sender.hpp"
#include "storage/segmented_log.hpp"
#include "storage/state_directory.hpp"

namespace slatejunction::remotewrite {

class Backlog {
  public:
    static constexpr std::size_t kSegmentBytes = std::size_t{128} * 1024;
    static constexpr std::size_t kMaxFramesPerCall = 16;   // written in one call of follow()
    // Segments are compacted if they take more than this many times the sender's limit plus a segment.
    static constexpr std::size_t kMaxSizeFactor = 2;

    /// Opens the directory and restores the frames of an earlier process into the sender. Throws
    /// storage::Error for a directory that can't be used or is locked by another process.
    Backlog(const std::string& path, Sender& sender, storage::SegmentedLog::Writer writer = {});

    /// Stores the next few frames. Returns whether all waiting frames are stored.
    bool follow();
    /// Whether the directory can't be written, so that frames wait in memory only. The caller reports it.
    bool failing() const { return failing_; }
    const std::string& last_error() const { return segments_->last_error(); }
    std::size_t bytes() const { return segments_->bytes(); }
    std::size_t restored() const { return restored_; }
    const storage::SegmentedLog::Found& found() const { return found_; }

  private:
    enum RecordType : std::uint32_t { kLayout = 1, kFrame = 2, kFinished = 3 };
    struct Segment {
        std::uint64_t first = 0, last = 0;   // numbers of its frames; 0: none
    };
    bool write_finished();
    bool write_frame(std::uint64_t number, const Frame& frame);
    bool begin_segment();
    bool write_layout(const std::shared_ptr<const Layout>& layout);
    bool compact();
    bool mark_failing();

    storage::StateDirectory directory_;
    Sender& sender_;
    storage::SegmentedLog::Found found_;
    std::unique_ptr<storage::SegmentedLog> segments_;
    std::unordered_map<std::uint64_t, Segment> segment_frames_;
    std::shared_ptr<const Layout> layout_;   // the last layout in the newest segment
    // Frames with a smaller number are stored, or recorded as finished.
    std::uint64_t stored_before_ = 0, finished_before_ = 0;
    std::size_t restored_ = 0;
    bool failing_ = false;
};

}   // namespace slatejunction::remotewrite
