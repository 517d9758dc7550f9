#include "client/arrival_times.hpp"

#include <algorithm>

namespace slatejunction::client {
namespace {

// Bytes that arrive within this time of a piece's first bytes count towards that piece.
constexpr double kMaxPieceSpanS = 0.005;

}   // namespace

void ArrivalTimes::add(std::size_t size, double arrived_at) {
    if (size == 0) return;
    size_ += size;
    if (!pieces_.empty() && arrived_at - pieces_.back().arrived_at < kMaxPieceSpanS)
        pieces_.back().size += size;
    else
        pieces_.push_back({size, arrived_at});
}

double ArrivalTimes::at(std::size_t offset) const {
    for (const Piece& piece : pieces_) {
        if (offset < piece.size) return piece.arrived_at;
        offset -= piece.size;
    }
    return pieces_.empty() ? 0 : pieces_.back().arrived_at;
}

void ArrivalTimes::keep_last(std::size_t size) {
    std::size_t dropped = size_ - std::min(size, size_);
    size_ -= dropped;
    auto piece = pieces_.begin();
    for (; piece != pieces_.end() && dropped >= piece->size; ++piece) dropped -= piece->size;
    pieces_.erase(pieces_.begin(), piece);
    if (!pieces_.empty()) pieces_.front().size -= dropped;
}

}   // namespace slatejunction::client
