#include "quota/counter_names.hpp"

#include <array>
#include <charconv>

namespace slatejunction::quota {
namespace {

std::string hex(std::uint64_t number) {
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number, 16).ptr;
    return {text.data(), end};
}

}   // namespace

std::string customer_name(std::uint64_t customer, std::int64_t generation) {
    return "q." + hex(customer) + "." + std::to_string(generation);
}

std::string check_name(unsigned ingress, std::uint64_t nonce, std::int64_t generation) {
    return "s." + std::to_string(ingress) + "." + hex(nonce) + "." + std::to_string(generation);
}

std::string heartbeat_name(unsigned shard) { return "b." + std::to_string(shard); }

std::string incarnation_name(std::int64_t generation) { return "z." + std::to_string(generation); }

}   // namespace slatejunction::quota
