// Arithmetic helpers shared by the gateway's modules.
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::gateway {

/// `value` if it is finite and above zero, else 0: settings and events may contain any value.
inline double positive_or_zero(double value) { return std::isfinite(value) && value > 0 ? value : 0; }

/// `value` clamped to [low, high]. Unlike std::clamp() it maps NaN to `low`.
inline double clamped(double value, double low, double high) {
    return std::max(low, std::min(value, high));
}

}   // namespace slatejunction::gateway
