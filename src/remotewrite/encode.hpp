// Encodes samples as the body of a remote-write request (Prometheus remote-write 1.0 and 2.0): protobuf,
// compressed with snappy's block format. Equal layout, frames and protocol give equal bytes. No I/O, no
// clock. Used by Sender.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "remotewrite/settings.hpp"

namespace slatejunction::remotewrite {

/// The series of a frame's values. Immutable once it is shared.
struct Layout {
    enum class Type { counter = 1, gauge = 2, histogram = 3 };   // numbers in both protocols
    struct Series {
        std::vector<std::pair<std::string, std::string>> labels;   // sorted, __name__ among them
        Type type = Type::gauge;
        std::string family, help, unit;
    };
    std::vector<Series> series;
    std::int64_t created_ms = 0;   // Unix time at which counters were 0

    /// Adds a series: merges and sorts its labels, drops empty values, makes values valid UTF-8. A label
    /// in `labels` takes precedence over one of the same name in `external_labels`.
    void add(std::string name, std::vector<std::pair<std::string, std::string>> labels,
             const std::vector<std::pair<std::string, std::string>>& external_labels, Type type,
             std::string family, std::string help, std::string unit);
};

/// One value for each series of its layout, at one time.
struct Frame {
    std::int64_t at_ms = 0;   // Unix time
    std::shared_ptr<const Layout> layout;
    std::vector<double> values;
    int level = 0;              // thinning level: the frame covers up to 2^level intervals
    bool keep = false;          // never thinned: the last frame of its layout, or stale markers
    std::uint64_t number = 0;   // sequence number
    std::size_t bytes() const { return sizeof(Frame) + values.size() * sizeof(double); }
};

/// The value that marks the end of a series (a NaN of the specification's bit pattern).
double stale_marker();

/// Encodes requests. Caches labels, symbols and help texts of the last one, which are most of the work.
class Encoder {
  public:
    Encoder();
    ~Encoder();
    Encoder(const Encoder&) = delete;
    Encoder& operator=(const Encoder&) = delete;
    Encoder(Encoder&&) noexcept;
    Encoder& operator=(Encoder&&) noexcept;
    /// Encodes the samples of the series [first, last) of all frames, which share one layout.
    std::string encode(std::span<const Frame* const> frames, std::size_t first, std::size_t last,
                       Protocol protocol);

  private:
    struct Cache;
    std::unique_ptr<Cache> cache_;
};

/// As Encoder::encode(), without a cache.
std::string encode(std::span<const Frame* const> frames, std::size_t first, std::size_t last,
                   Protocol protocol);

}   // namespace slatejunction::remotewrite
