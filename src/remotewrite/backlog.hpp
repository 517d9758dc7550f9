// The sender's frames in a folder as well, so that a process that comes back sends what an earlier one
// left. Each frame is written once, each answer once, by appending; no more than a few slices of work at a
// time.
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
    static constexpr std::size_t kSegment = 128 * 1024;   // bytes
    static constexpr std::size_t kFramesAtOnce = 16;      // written in one slice
    // Of the sender's limit, what the folder may take before segments are written again without what was
    // thinned meanwhile.
    static constexpr std::size_t kRoom = 2;

    // Opens the folder, gives the sender what an earlier process left and begins a segment with it. Throws
    // storage::Error for a folder that can't be used or is another process's.
    Backlog(const std::string& path, Sender& sender, storage::SegmentedLog::Writer writer = {});

    // One slice of bringing the folder after the sender. True: it holds all that waits.
    bool follow();
    // The folder can't be written: what waits is in memory alone. Told to the operator by who asks.
    bool failing() const { return failing_; }
    const std::string& why() const { return journal_->last_error(); }
    std::size_t bytes() const { return journal_->bytes(); }
    std::size_t restored() const { return restored_; }
    const storage::SegmentedLog::Found& found() const { return found_; }

  private:
    enum Type : std::uint32_t { kLayout = 1, kFrame = 2, kDone = 3 };
    struct Segment {
        std::uint64_t first = 0, last = 0;   // frames; 0: none
    };
    bool write_layout(const std::shared_ptr<const Layout>& layout);
    bool compact();
    bool failed();

    storage::StateDirectory directory_;
    Sender& sender_;
    storage::SegmentedLog::Found found_;
    std::unique_ptr<storage::SegmentedLog> journal_;
    std::unordered_map<std::uint64_t, Segment> frames_of_;
    std::shared_ptr<const Layout> layout_;   // the one that the newest segment knows
    std::uint64_t written_ = 0, done_ = 0;   // frames below written_ lie in the folder
    std::size_t restored_ = 0;
    bool failing_ = false;
};

}   // namespace slatejunction::remotewrite
