// Records when the bytes of a buffer arrived, so that the deadline of a request counts from its arrival
// even if it waited behind another request, or while this process was paused. Sizes are in bytes, times in
// s (net::now()). Pure: does no I/O and reads no clock. Owned and called by client::Session.
#pragma once

#include <cstddef>
#include <vector>

namespace slatejunction::client {

class ArrivalTimes {
  public:
    /// Records `size` bytes that were appended to the buffer, the last of which arrived at `arrived_at`.
    void add(std::size_t size, double arrived_at);
    /// Returns when the byte at `offset` from the front of the buffer arrived. Beyond the end, returns when
    /// the last byte arrived; 0 if there is none.
    double at(std::size_t offset) const;
    /// Drops the times of all bytes but the last `size` ones, which remain in the buffer.
    void keep_last(std::size_t size);

  private:
    struct Piece {
        std::size_t size = 0;
        double arrived_at = 0;   // s
    };
    std::vector<Piece> pieces_;   // in the order of arrival; few, as reading ahead is bounded
    std::size_t size_ = 0;        // sum of the pieces
};

}   // namespace slatejunction::client
