// When the bytes of a buffer arrived, so that a request that waited behind another one, or while this
// process stood still, counts its client's time from when it came. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <vector>

namespace slatejunction::client {

class ArrivalTimes {
  public:
    // `size` bytes were put behind those that are there; the last of them arrived at `at` (s, net::now()).
    void add(std::size_t size, double at);
    // When the byte at `place`, from the buffer's front, arrived; of a byte that is not there, the last
    // one's.
    double at(std::size_t place) const;
    // Only the last `size` bytes are left in the buffer.
    void keep_last(std::size_t size);

  private:
    struct Piece {
        std::size_t size = 0;
        double at = 0;   // s
    };
    std::vector<Piece> pieces_;   // the first to arrive first; few, as what is read ahead is bounded
    std::size_t size_ = 0;        // of all
};

}   // namespace slatejunction::client
