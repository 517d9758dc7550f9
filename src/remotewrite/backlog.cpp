#include "remotewrite/backlog.hpp"

#include <algorithm>
#include <cstring>
#include <map>
#include <string_view>
#include <vector>

namespace slatejunction::remotewrite {
namespace {

constexpr double kMaxLiveFraction = 0.75;   // of a segment's bytes: above it, compaction frees too little

// Numbers in native byte order: a directory is read by the machine that wrote it.
class Out {
  public:
    template <class T>
    Out& put(T value) {
        bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }
    Out& text(std::string_view value) {
        put(static_cast<std::uint32_t>(value.size()));
        bytes += value;
        return *this;
    }
    std::string bytes;
};

class In {
  public:
    explicit In(std::string_view bytes) : bytes_(bytes) {}
    template <class T>
    T get() {
        T value{};
        if (bytes_.size() < sizeof value) {
            bad = true;
            return value;
        }
        std::memcpy(&value, bytes_.data(), sizeof value);
        bytes_.remove_prefix(sizeof value);
        return value;
    }
    std::string text() {
        const auto size = get<std::uint32_t>();
        if (bad || bytes_.size() < size) {
            bad = true;
            return {};
        }
        std::string value(bytes_.substr(0, size));
        bytes_.remove_prefix(size);
        return value;
    }
    std::size_t left() const { return bytes_.size(); }
    bool bad = false;

  private:
    std::string_view bytes_;
};

std::string bytes_of(const Layout& layout) {
    Out out;
    out.put(layout.created_ms).put(static_cast<std::uint32_t>(layout.series.size()));
    for (const Layout::Series& one : layout.series) {
        out.put(static_cast<std::uint8_t>(one.type)).text(one.family).text(one.help).text(one.unit);
        out.put(static_cast<std::uint32_t>(one.labels.size()));
        for (const auto& [name, value] : one.labels) out.text(name).text(value);
    }
    return out.bytes;
}

std::shared_ptr<const Layout> layout_of(std::string_view bytes) {
    In in(bytes);
    auto layout = std::make_shared<Layout>();
    layout->created_ms = in.get<std::int64_t>();
    const auto series = in.get<std::uint32_t>();
    for (std::uint32_t i = 0; i < series && !in.bad; ++i) {
        Layout::Series one;
        one.type = static_cast<Layout::Type>(in.get<std::uint8_t>());
        one.family = in.text();
        one.help = in.text();
        one.unit = in.text();
        const auto labels = in.get<std::uint32_t>();
        for (std::uint32_t k = 0; k < labels && !in.bad; ++k) {
            std::string name = in.text();
            one.labels.emplace_back(std::move(name), in.text());
        }
        layout->series.push_back(std::move(one));
    }
    return in.bad ? nullptr : layout;
}

std::string bytes_of(const Frame& frame) {
    Out out;
    out.put(frame.number).put(frame.at_ms).put(static_cast<std::int32_t>(frame.level));
    out.put(static_cast<std::uint8_t>(frame.keep));
    out.bytes.append(reinterpret_cast<const char*>(frame.values.data()),
                     frame.values.size() * sizeof(double));
    return out.bytes;
}

bool read_frame(std::string_view bytes, const std::shared_ptr<const Layout>& layout, Frame& frame) {
    In in(bytes);
    frame.number = in.get<std::uint64_t>();
    frame.at_ms = in.get<std::int64_t>();
    frame.level = in.get<std::int32_t>();
    frame.keep = in.get<std::uint8_t>() != 0;
    frame.layout = layout;
    if (in.bad || !layout || in.left() != layout->series.size() * sizeof(double)) return false;
    frame.values.resize(layout->series.size());
    for (double& value : frame.values) value = in.get<double>();
    return true;
}

}   // namespace

Backlog::Backlog(const std::string& path, Sender& sender, storage::SegmentedLog::Writer writer)
    : directory_(path), sender_(sender) {
    std::map<std::uint64_t, Frame> left;                                         // by number
    std::map<std::string, std::shared_ptr<const Layout>, std::less<>> layouts;   // equal ones once
    std::shared_ptr<const Layout> layout;
    std::uint64_t segment = 0, done = 0;
    const auto visit = [&](std::uint64_t number, std::uint32_t type, std::string_view payload) {
        if (number != segment) layout.reset();
        segment = number;
        if (type == kLayout) {
            auto at = layouts.find(payload);
            if (at == layouts.end()) at = layouts.emplace(std::string(payload), layout_of(payload)).first;
            layout = at->second;
        } else if (type == kFrame) {
            Frame frame;
            if (read_frame(payload, layout, frame)) left[frame.number] = std::move(frame);
        } else if (type == kDone) {
            done = std::max(done, In(payload).get<std::uint64_t>());
        }
    };
    segments_ = std::make_unique<storage::SegmentedLog>(path, "backlog", kSegment, visit, found_,
                                                        std::move(writer));
    std::vector<std::uint64_t> old;
    for (const auto& [number, size] : segments_->segments()) old.push_back(number);
    for (auto& [number, frame] : left) {
        if (number < done) continue;
        sender_.restore(std::move(frame));
        ++restored_;
    }
    sender_.number_from(done);
    done_ = sender_.done_before();
    // The restored frames are written to new segments before the old ones are removed.
    bool all = false;
    do {
        all = follow();
    } while (!all && !failing_);
    if (all)
        for (const std::uint64_t number : old) segments_->remove_segment(number);
}

bool Backlog::failed() {
    failing_ = true;
    return false;
}

bool Backlog::write_layout(const std::shared_ptr<const Layout>& layout) {
    if (layout_ == layout) return true;
    if (!segments_->append(kLayout, bytes_of(*layout))) return false;
    layout_ = layout;
    return true;
}

bool Backlog::follow() {
    if (!write_finished()) return failed();
    const auto& waiting = sender_.waiting();
    std::size_t count = 0;
    for (auto at = waiting.lower_bound(written_); at != waiting.end(); ++at) {
        if (count++ == kFramesAtOnce) return false;
        if (!write_frame(at->first, at->second)) return failed();
        failing_ = false;
    }
    if (segments_->bytes() > kMaxSizeFactor * sender_.limit() + kSegment && !compact()) return failed();
    failing_ = false;
    return true;
}

// Finished frames: the number is written once, and segments with only finished frames are removed.
bool Backlog::write_finished() {
    const std::uint64_t done = sender_.done_before();
    if (done <= done_ || !segments_->open()) return true;
    Out out;
    if (!segments_->append(kDone, out.put(done).bytes)) return false;
    done_ = done;
    std::vector<std::uint64_t> finished;
    for (const auto& [number, frames] : segment_frames_)
        if (number != segments_->newest() && frames.last < done) finished.push_back(number);
    for (const std::uint64_t number : finished) {
        segments_->remove_segment(number);
        segment_frames_.erase(number);
    }
    return true;
}

bool Backlog::write_frame(std::uint64_t number, const Frame& frame) {
    if ((!segments_->open() || segments_->full()) && !begin_segment()) return false;
    if (!write_layout(frame.layout) || !segments_->append(kFrame, bytes_of(frame))) return false;
    Segment& segment = segment_frames_[segments_->newest()];
    if (segment.first == 0) segment.first = number;
    segment.last = number;
    written_ = number + 1;
    return true;
}

// Layout and finished number are repeated in each segment, as older ones may be removed.
bool Backlog::begin_segment() {
    if (!segments_->begin_segment()) return false;
    layout_.reset();
    segment_frames_[segments_->newest()] = {};
    Out out;
    return segments_->append(kDone, out.put(sender_.done_before()).bytes);
}

// Limits the directory during a long outage: removes frames that were thinned in memory. One segment a
// call, the one with the smallest fraction of waiting frames.
bool Backlog::compact() {
    const auto& waiting = sender_.waiting();
    std::uint64_t best = 0;
    double best_fraction = kMaxLiveFraction;
    for (const auto& [number, size] : segments_->segments()) {
        const auto range = segment_frames_.find(number);
        if (number == segments_->newest() || range == segment_frames_.end()) continue;
        std::size_t live = 0;
        for (auto at = waiting.lower_bound(range->second.first);
             at != waiting.end() && at->first <= range->second.last; ++at)
            live += at->second.bytes();
        const double fraction = static_cast<double>(live) / static_cast<double>(size);
        if (fraction < best_fraction) {
            best = number;
            best_fraction = fraction;
        }
    }
    if (best == 0) return true;
    std::vector<storage::Record> records;
    std::shared_ptr<const Layout> layout;
    const Segment range = segment_frames_[best];
    for (auto at = waiting.lower_bound(range.first); at != waiting.end() && at->first <= range.last; ++at) {
        const Frame& frame = at->second;
        if (frame.layout != layout) records.push_back({kLayout, bytes_of(*frame.layout)});
        layout = frame.layout;
        records.push_back({kFrame, bytes_of(frame)});
    }
    if (!records.empty()) return segments_->replace_segment(best, records);
    segments_->remove_segment(best);
    segment_frames_.erase(best);
    return true;
}

}   // namespace slatejunction::remotewrite
