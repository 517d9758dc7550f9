#include "expr/literals.hpp"

#include <arpa/inet.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace slatejunction::expr {
namespace {

constexpr int kMaxPatternInstructions = 2000;
constexpr std::int64_t kMaxPatternBytes = 1 << 20;   // of RE2's program and caches of one pattern

// A shell pattern as a regular expression: * within a part of a path, ** over parts, ? one character.
std::string glob_pattern(std::string_view glob) {
    std::string pattern = "(?s)";
    for (std::size_t i = 0; i < glob.size(); ++i) {
        if (glob.substr(i).starts_with("**")) {
            pattern += ".*";
            ++i;
        } else if (glob[i] == '*') {
            pattern += "[^/]*";
        } else if (glob[i] == '?') {
            pattern += "[^/]";
        } else {
            std::size_t end = i + 1;
            while (end < glob.size() && (static_cast<unsigned char>(glob[end]) & 0xc0) == 0x80) ++end;
            pattern += RE2::QuoteMeta(re2::StringPiece(glob.data() + i, end - i));
            i = end - 1;
        }
    }
    return pattern;
}

}   // namespace

std::unique_ptr<RE2> compile_pattern(Fn function, const Node& literal) {
    const std::string source = function == Fn::glob ? glob_pattern(literal.name) : literal.name;
    RE2::Options options(RE2::Quiet);
    options.set_max_mem(kMaxPatternBytes);
    auto pattern = std::make_unique<RE2>(source, options);
    if (!pattern->ok()) throw LoadError(literal.at, "this pattern can't be used: " + pattern->error());
    if (pattern->ProgramSize() > kMaxPatternInstructions)
        throw LoadError(literal.at, "this pattern makes a program of " +
                                        std::to_string(pattern->ProgramSize()) + " instructions; " +
                                        std::to_string(kMaxPatternInstructions) + " are allowed");
    return pattern;
}

Network parse_network(const Node& literal) {
    const std::string& text = literal.name;
    const std::size_t slash = text.find('/');
    const std::string address = text.substr(0, slash);
    Network network;
    network.v4 = ::inet_pton(AF_INET, address.c_str(), network.address.data() + 12) == 1;
    if (network.v4) {
        network.address[10] = 0xff;
        network.address[11] = 0xff;
    } else if (::inet_pton(AF_INET6, address.c_str(), network.address.data()) != 1)
        throw LoadError(literal.at, "'" + text + "' is no network: ADDRESS/BITS");
    const unsigned max_bits = network.v4 ? 32 : 128;
    unsigned bits = max_bits;
    char rest = 0;
    if (slash != std::string::npos &&
        (std::sscanf(text.c_str() + slash + 1, "%3u%c", &bits, &rest) != 1 || bits > max_bits))
        throw LoadError(literal.at,
                        "'" + text + "' is no network: at most " + std::to_string(max_bits) + " bits");
    network.bits = bits + 128 - max_bits;
    for (unsigned bit = network.bits; bit < 128; ++bit)
        if (network.address[bit / 8] & (0x80 >> bit % 8))
            throw LoadError(literal.at, "'" + text + "' has bits set behind its " + std::to_string(bits));
    return network;
}

}   // namespace slatejunction::expr
