// Arithmetic helpers shared by the gateway's modules. They hold no rule of their own.
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::gateway {

/// `value` where it is finite and above zero, else 0: settings and events may carry anything.
inline double positive_or_zero(double value) { return std::isfinite(value) && value > 0 ? value : 0; }

/// `value` limited to [low, high]. Unlike std::clamp it turns NaN into `low`.
inline double limited(double value, double low, double high) {
    return std::max(low, std::min(value, high));
}

}   // namespace slatejunction::gateway
