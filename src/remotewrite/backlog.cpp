#include "remotewrite/backlog.hpp"

#include <algorithm>
#include <cstring>
#include <map>
#include <string_view>
#include <vector>

namespace slatejunction::remotewrite {
namespace {

// Fraction of a segment's bytes in waiting frames: above it, compaction frees too little space.
constexpr double kMaxLiveFraction = 0.75;

// Numbers are in native byte order, as a directory is read by the machine that wrote it.
class ByteWriter {
  public:
    template <class T>
    ByteWriter& put(T value) {
        bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }
    ByteWriter& text(std::string_view value) {
        put(static_cast<std::uint32_t>(value.size()));
        bytes += value;
        return *this;
    }
    std::string bytes;
};

class ByteReader {
  public:
    explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}
    template <class T>
    T get() {
        T value{};
        if (bytes_.size() < sizeof value) {
            failed = true;
            return value;
        }
        std::memcpy(&value, bytes_.data(), sizeof value);
        bytes_.remove_prefix(sizeof value);
        return value;
    }
    std::string text() {
        const auto size = get<std::uint32_t>();
        if (failed || bytes_.size() < size) {
            failed = true;
            return {};
        }
        std::string value(bytes_.substr(0, size));
        bytes_.remove_prefix(size);
        return value;
    }
    std::size_t left() const { return bytes_.size(); }
    bool failed = false;

  private:
    std::string_view bytes_;
};

std::string serialize(const Layout& layout) {
    ByteWriter writer;
    writer.put(layout.created_ms).put(static_cast<std::uint32_t>(layout.series.size()));
    for (const Layout::Series& one : layout.series) {
        writer.put(static_cast<std::uint8_t>(one.type)).text(one.family).text(one.help).text(one.unit);
        writer.put(static_cast<std::uint32_t>(one.labels.size()));
        for (const auto& [name, value] : one.labels) writer.text(name).text(value);
    }
    return writer.bytes;
}

std::shared_ptr<const Layout> parse_layout(std::string_view bytes) {
    ByteReader reader(bytes);
    auto layout = std::make_shared<Layout>();
    layout->created_ms = reader.get<std::int64_t>();
    const auto series = reader.get<std::uint32_t>();
    for (std::uint32_t i = 0; i < series && !reader.failed; ++i) {
        Layout::Series one;
        one.type = static_cast<Layout::Type>(reader.get<std::uint8_t>());
        one.family = reader.text();
        one.help = reader.text();
        one.unit = reader.text();
        const auto labels = reader.get<std::uint32_t>();
        for (std::uint32_t k = 0; k < labels && !reader.failed; ++k) {
            std::string name = reader.text();
            one.labels.emplace_back(std::move(name), reader.text());
        }
        layout->series.push_back(std::move(one));
    }
    return reader.failed ? nullptr : layout;
}

std::string serialize(const Frame& frame) {
    ByteWriter writer;
    writer.put(frame.number).put(frame.at_ms).put(static_cast<std::int32_t>(frame.level));
    writer.put(static_cast<std::uint8_t>(frame.keep));
    writer.bytes.append(reinterpret_cast<const char*>(frame.values.data()),
                        frame.values.size() * sizeof(double));
    return writer.bytes;
}

bool read_frame(std::string_view bytes, const std::shared_ptr<const Layout>& layout, Frame& frame) {
    ByteReader reader(bytes);
    frame.number = reader.get<std::uint64_t>();
    frame.at_ms = reader.get<std::int64_t>();
    frame.level = reader.get<std::int32_t>();
    frame.keep = reader.get<std::uint8_t>() != 0;
    frame.layout = layout;
    if (reader.failed || !layout || reader.left() != layout->series.size() * sizeof(double)) return false;
    frame.values.resize(layout->series.size());
    for (double& value : frame.values) value = reader.get<double>();
    return true;
}

}   // namespace

Backlog::Backlog(const std::string& path, Sender& sender, storage::SegmentedLog::Writer writer)
    : directory_(path), sender_(sender) {
    std::map<std::uint64_t, Frame> left;                                         // by number
    std::map<std::string, std::shared_ptr<const Layout>, std::less<>> layouts;   // shared by equal content
    std::shared_ptr<const Layout> layout;
    std::uint64_t segment = 0, done = 0;
    const auto visit = [&](std::uint64_t number, std::uint32_t type, std::string_view payload) {
        if (number != segment) layout.reset();
        segment = number;
        if (type == kLayout) {
            auto at = layouts.find(payload);
            if (at == layouts.end())
                at = layouts.emplace(std::string(payload), parse_layout(payload)).first;
            layout = at->second;
        } else if (type == kFrame) {
            Frame frame;
            if (read_frame(payload, layout, frame)) left[frame.number] = std::move(frame);
        } else if (type == kFinished) {
            done = std::max(done, ByteReader(payload).get<std::uint64_t>());
        }
    };
    segments_ = std::make_unique<storage::SegmentedLog>(path, "backlog", kSegmentBytes, visit, found_,
                                                        std::move(writer));
    std::vector<std::uint64_t> old;
    for (const auto& [number, size] : segments_->segments()) old.push_back(number);
    for (auto& [number, frame] : left) {
        if (number < done) continue;
        sender_.restore(std::move(frame));
        ++restored_;
    }
    sender_.set_min_next_number(done);
    finished_before_ = sender_.first_unfinished();
    // The restored frames are written to new segments before the old ones are removed.
    bool all = false;
    do {
        all = follow();
    } while (!all && !failing_);
    if (all)
        for (const std::uint64_t number : old) segments_->remove_segment(number);
}

// Returns false, the result of a failed follow().
bool Backlog::mark_failing() {
    failing_ = true;
    return false;
}

bool Backlog::write_layout(const std::shared_ptr<const Layout>& layout) {
    if (layout_ == layout) return true;
    if (!segments_->append(kLayout, serialize(*layout))) return false;
    layout_ = layout;
    return true;
}

bool Backlog::follow() {
    if (!write_finished()) return mark_failing();
    const auto& waiting = sender_.waiting();
    std::size_t count = 0;
    for (auto at = waiting.lower_bound(stored_before_); at != waiting.end(); ++at) {
        if (count++ == kMaxFramesPerCall) return false;
        if (!write_frame(at->first, at->second)) return mark_failing();
        failing_ = false;
    }
    if (segments_->bytes() > kMaxSizeFactor * sender_.limit() + kSegmentBytes && !compact())
        return mark_failing();
    failing_ = false;
    return true;
}

// Records the number below which all frames are finished, and removes segments with only finished frames.
bool Backlog::write_finished() {
    const std::uint64_t done = sender_.first_unfinished();
    if (done <= finished_before_ || !segments_->open()) return true;
    ByteWriter writer;
    if (!segments_->append(kFinished, writer.put(done).bytes)) return false;
    finished_before_ = done;
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
    if (!write_layout(frame.layout) || !segments_->append(kFrame, serialize(frame))) return false;
    Segment& segment = segment_frames_[segments_->newest()];
    if (segment.first == 0) segment.first = number;
    segment.last = number;
    stored_before_ = number + 1;
    return true;
}

// The layout and the finished number are repeated in each segment, as older segments may be removed.
bool Backlog::begin_segment() {
    if (!segments_->begin_segment()) return false;
    layout_.reset();
    segment_frames_[segments_->newest()] = {};
    ByteWriter writer;
    return segments_->append(kFinished, writer.put(sender_.first_unfinished()).bytes);
}

// Limits the size of the directory during a long outage: removes frames that were thinned in memory.
// Rewrites one segment per call, the one with the smallest fraction of waiting frames.
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
        if (frame.layout != layout) records.push_back({kLayout, serialize(*frame.layout)});
        layout = frame.layout;
        records.push_back({kFrame, serialize(frame)});
    }
    if (!records.empty()) return segments_->replace_segment(best, records);
    segments_->remove_segment(best);
    segment_frames_.erase(best);
    return true;
}

}   // namespace slatejunction::remotewrite
