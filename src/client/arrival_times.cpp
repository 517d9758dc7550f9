#include "client/arrival_times.hpp"

#include <algorithm>

namespace slatejunction::client {
namespace {

constexpr double kMaxPieceGapS = 0.005;   // closer bytes count as one piece

}   // namespace

void ArrivalTimes::add(std::size_t size, double at) {
    if (size == 0) return;
    size_ += size;
    if (!pieces_.empty() && at - pieces_.back().at < kMaxPieceGapS)
        pieces_.back().size += size;
    else
        pieces_.push_back({size, at});
}

double ArrivalTimes::at(std::size_t place) const {
    for (const Piece& piece : pieces_) {
        if (place < piece.size) return piece.at;
        place -= piece.size;
    }
    return pieces_.empty() ? 0 : pieces_.back().at;
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
