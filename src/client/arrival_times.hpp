// When the bytes of a buffer arrived, so that the deadline of a request that waited behind another one, or
// while this process was paused, counts from its arrival. Input: sizes in bytes, times in s (net::now()).
// Pure: no I/O, no clock. Owned and called by client::Session.
#pragma once

#include <cstddef>
#include <vector>

namespace slatejunction::client {

class ArrivalTimes {
  public:
    /// `size` bytes were appended to the buffer; the last of them arrived at `at`.
    void add(std::size_t size, double at);
    /// When the byte at `place` from the buffer's front arrived; beyond the end: when the last one did.
    double at(std::size_t place) const;
    /// Only the last `size` bytes are left in the buffer.
    void keep_last(std::size_t size);

  private:
    struct Piece {
        std::size_t size = 0;
        double at = 0;   // s
    };
    std::vector<Piece> pieces_;   // in the order of arrival; few, as what is read ahead is bounded
    std::size_t size_ = 0;        // of all
};

}   // namespace slatejunction::client
