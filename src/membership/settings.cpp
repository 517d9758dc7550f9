#include "membership/settings.hpp"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>

#include "net/stream.hpp"

namespace slatejunction::membership {
namespace {

constexpr std::size_t kKeyFileMost = 4096;   // bytes

std::string trimmed(std::string text) {
    text.erase(0, std::min(text.find_first_not_of(" \t"), text.size()));
    text.erase(text.find_last_not_of(" \t\r") + 1);
    return text;
}

std::vector<std::string> split(const std::string& text, char mark) {
    std::vector<std::string> all;
    std::istringstream rest(text);
    for (std::string one; std::getline(rest, one, mark);)
        if (one = trimmed(one); !one.empty()) all.push_back(one);
    return all;
}

// NAME=ADDRESS:PORT a line; what is wrong with it.
std::string read_pairs(const std::string& text, std::map<std::string, std::string>& pairs) {
    for (const std::string& line : split(text, '\n')) {
        const std::size_t mark = line.find('=');
        if (mark == std::string::npos) return "'" + line + "' is not NAME=ADDRESS:PORT";
        const std::string name = trimmed(line.substr(0, mark)), address = trimmed(line.substr(mark + 1));
        if (name.empty() || !net::parse_address(address)) return "'" + line + "' is not NAME=ADDRESS:PORT";
        if (!pairs.emplace(name, address).second) return "'" + name + "' stands twice";
    }
    return {};
}

}   // namespace

ini::Section Options::section() {
    ini::Section section(
        "peers", "Ingresses that know one another: docs/fleet.md. Off without an address to listen at.");
    section.text("listen", listen, "ADDRESS:PORT for UDP, where the other ingresses reach this one",
                 [](const std::string& text) -> std::string {
                     return net::parse_address(text) ? "" : "'" + text + "' is not ADDRESS:PORT";
                 });
    section.text("site", site, "where this ingress stands; empty: the platform's zone",
                 [](const std::string& text) -> std::string {
                     return text.size() <= 64 ? "" : "longer than 64 bytes";
                 });
    section.text("seeds", seeds, "ADDRESS:PORT, by commas: members to join by; this one may be among them",
                 [](const std::string& text) -> std::string {
                     for (const std::string& one : split(text, ','))
                         if (!net::parse_address(one)) return "'" + one + "' is not ADDRESS:PORT";
                     return "";
                 });
    section.lines("members", members, "NAME=ADDRESS:PORT, one a line: members that are known ahead");
    section.lines(
        "via", via,
        "NAME=ADDRESS:PORT, one a line: where this ingress reaches a member, if not at its address");
    section.text("key_file", key_file,
                 "a file with one key, or two while one is replaced: 64 hexadecimal digits a line");
    section.real("interval_s", interval_s, 0.02, 60, "s",
                 "between probes; all times of membership follow it");
    section.whole([this]() -> std::string {
        if (!on()) return {};
        std::map<std::string, std::string> pairs;
        if (const std::string why = read_pairs(members, pairs); !why.empty()) return "members: " + why;
        pairs.clear();
        if (const std::string why = read_pairs(via, pairs); !why.empty()) return "via: " + why;
        if (key_file.empty()) return "key_file: is wanted, what ingresses say is authenticated";
        return {};
    });
    return section;
}

Settings settings_of(const Options& options, const std::string& name, const std::string& zone,
                     const std::string& version) {
    Settings made;
    made.name = name;
    made.address = options.listen;
    made.site = options.site.empty() ? zone : options.site;
    made.version = version;
    made.seeds = split(options.seeds, ',');
    read_pairs(options.members, made.known);
    read_pairs(options.via, made.via);
    made.interval_s = options.interval_s;
    return made;
}

std::string load_keys(const Options& options, std::vector<AuthKey>& keys) {
    std::ifstream in(options.key_file, std::ios::binary);
    if (!in) return "key_file: '" + options.key_file + "' can't be read";
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (text.size() > kKeyFileMost) return "key_file: is longer than 4096 bytes";
    const std::string why = read_keys(text, keys);
    return why.empty() ? why : "key_file: " + options.key_file + ", " + why;
}

std::vector<std::string> stated(const Options& options) {
    std::vector<std::string> all;
    for (const std::size_t members : {std::size_t{3}, std::size_t{30}, kMembersMost}) {
        char text[200];
        std::snprintf(
            text, sizeof text,
            "peers: of %zu members a death is known to all within %.1f s (999 of 1,000, links whole); "
            "at most %.0f datagrams a second",
            members, detection_bound_s(members, options.interval_s),
            kDatagramsPerInterval / options.interval_s);
        all.emplace_back(text);
    }
    return all;
}

}   // namespace slatejunction::membership
