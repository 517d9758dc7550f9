// Names, addresses and distances of the ingresses of a model, as long as real ones.
#pragma once

#include <cstddef>
#include <string>

namespace slatejunction::scale {

inline std::string ingress_name(std::size_t i) {
    std::string number = std::to_string(i);
    if (number.size() < 5) number.insert(0, 5 - number.size(), '0');
    return "ingress-" + number;
}

inline std::string ingress_address(std::size_t i, std::size_t zone) {
    return "10." + std::to_string(zone) + "." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
           ":7946";
}

inline std::string zone_name(std::size_t zone) { return "zone-" + std::to_string(zone); }

// One way, s: inside a zone, a region, and between regions by how far they are apart.
inline double distance(std::size_t zone, std::size_t other, std::size_t regions) {
    if (zone == other) return 0.0002;
    const std::size_t a = zone % regions, b = other % regions;
    if (a == b) return 0.0008;
    return 0.012 + 0.016 * static_cast<double>(a > b ? a - b : b - a);
}

}   // namespace slatejunction::scale
