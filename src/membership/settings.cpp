#include "membership/settings.hpp"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>

#include "net/stream.hpp"

namespace slatejunction::membership {
namespace {

constexpr std::size_t kMaxKeyFileBytes = 4096;
constexpr std::size_t kMaxSiteBytes = 64;

std::string trimmed(std::string text) {
    text.erase(0, std::min(text.find_first_not_of(" \t"), text.size()));
    text.erase(text.find_last_not_of(" \t\r") + 1);
    return text;
}

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::istringstream rest(text);
    for (std::string part; std::getline(rest, part, separator);) {
        part = trimmed(part);
        if (!part.empty()) parts.push_back(part);
    }
    return parts;
}

// Parses lines of NAME=ADDRESS:PORT. Returns an empty text or an error.
std::string parse_addresses(const std::string& text, std::map<std::string, std::string>& pairs) {
    for (const std::string& line : split(text, '\n')) {
        std::string error = "'" + line + "' is not NAME=ADDRESS:PORT";
        const std::size_t separator = line.find('=');
        if (separator == std::string::npos) return error;
        const std::string name = trimmed(line.substr(0, separator));
        const std::string address = trimmed(line.substr(separator + 1));
        if (name.empty() || !net::parse_address(address)) return error;
        if (!pairs.emplace(name, address).second) return "'" + name + "' is listed twice";
    }
    return {};
}

std::string check_address(const std::string& text) {
    return net::parse_address(text) ? "" : "'" + text + "' is not ADDRESS:PORT";
}

std::string check_site(const std::string& text) {
    return text.size() <= kMaxSiteBytes ? "" : "longer than 64 bytes";
}

std::string check_seeds(const std::string& text) {
    for (const std::string& address : split(text, ',')) {
        std::string error = check_address(address);
        if (!error.empty()) return error;
    }
    return {};
}

// Checks the section as a whole. Returns an empty text or an error.
std::string check_section(const Options& options) {
    if (!options.on()) return {};
    std::map<std::string, std::string> pairs;
    const std::string members_error = parse_addresses(options.static_members, pairs);
    if (!members_error.empty()) return "members: " + members_error;
    pairs.clear();
    const std::string via_error = parse_addresses(options.address_overrides, pairs);
    if (!via_error.empty()) return "via: " + via_error;
    if (options.key_file.empty())
        return "key_file: required, because messages between ingresses are authenticated";
    return {};
}

}   // namespace

ini::Section Options::section() {
    ini::Section section(
        "peers", "Ingresses that know one another: docs/fleet.md. Off without an address to listen at.");
    section.text("listen", listen, "ADDRESS:PORT for UDP, where the other ingresses reach this one",
                 check_address);
    section.text("site", site, "where this ingress stands; empty: the platform's zone", check_site);
    section.text("seeds", seeds, "ADDRESS:PORT, by commas: members to join by; this one may be among them",
                 check_seeds);
    section.lines("members", static_members, "NAME=ADDRESS:PORT, one a line: members that are known ahead");
    section.lines(
        "via", address_overrides,
        "NAME=ADDRESS:PORT, one a line: where this ingress reaches a member, if not at its address");
    section.text("key_file", key_file,
                 "a file with one key, or two while one is replaced: 64 hexadecimal digits a line");
    section.real("interval_s", interval_s, 0.02, 60, "s",
                 "between probes; all times of membership follow it");
    section.whole([this]() -> std::string { return check_section(*this); });
    return section;
}

Settings settings_of(const Options& options, const std::string& name, const std::string& zone,
                     const std::string& version) {
    Settings settings;
    settings.name = name;
    settings.address = options.listen;
    settings.site = options.site.empty() ? zone : options.site;
    settings.version = version;
    settings.seeds = split(options.seeds, ',');
    parse_addresses(options.static_members, settings.static_members);
    parse_addresses(options.address_overrides, settings.address_overrides);
    settings.protocol_period_s = options.interval_s;
    return settings;
}

std::string load_keys(const Options& options, std::vector<AuthKey>& keys) {
    std::ifstream in(options.key_file, std::ios::binary);
    if (!in) return "key_file: '" + options.key_file + "' cannot be read";
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (text.size() > kMaxKeyFileBytes) return "key_file: is longer than 4096 bytes";
    const std::string error = parse_keys(text, keys);
    return error.empty() ? error : "key_file: " + options.key_file + ", " + error;
}

std::vector<std::string> describe_bounds(const Options& options) {
    std::vector<std::string> lines;
    for (const std::size_t members : {std::size_t{3}, std::size_t{30}, kMaxMembers}) {
        char text[200];
        std::snprintf(text, sizeof text,
                      "peers: among %zu members a failure is known to all within %.1f s (in 999 of 1,000 "
                      "cases, without partitions); each sends at most %.0f datagrams per second",
                      members, detection_bound_s(members, options.interval_s),
                      kDatagramsPerPeriod / options.interval_s);
        lines.emplace_back(text);
    }
    return lines;
}

}   // namespace slatejunction::membership
