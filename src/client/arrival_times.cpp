#include "client/arrival_times.hpp"

#include <algorithm>

namespace slatejunction::client {
namespace {

constexpr double kTogether = 0.005;   // s; bytes that come so soon one after another count with the first

}   // namespace

void ArrivalTimes::add(std::size_t size, double at) {
    if (size == 0) return;
    size_ += size;
    if (!pieces_.empty() && at - pieces_.back().at < kTogether)
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
    std::size_t over = size_ - std::min(size, size_);
    size_ -= over;
    auto piece = pieces_.begin();
    for (; piece != pieces_.end() && over >= piece->size; ++piece) over -= piece->size;
    pieces_.erase(pieces_.begin(), piece);
    if (!pieces_.empty()) pieces_.front().size -= over;
}

}   // namespace slatejunction::client
