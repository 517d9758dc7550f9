#include "rollout/settings.hpp"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

#include "membership/detection_bounds.hpp"
#include "membership/settings.hpp"
#include "net/stream.hpp"
#include "rollout/replica.hpp"

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kMaxRegionBytes = 64;
constexpr std::size_t kMaxParents = 64;
constexpr double kMaxCanaryS = 4;      // keeps active_within_s() below kMaxActiveWithinS
constexpr double kRoundTripS = 0.02;   // between control machines, as assumed by the bounds of [lease]

constexpr bool canaries_fit() {
    BoundTimes times;
    times.canary_s = kMaxCanaryS;
    return active_within_s(times) < kMaxActiveWithinS;
}
static_assert(canaries_fit());

// Whether the text can be printed and written to JSON without escapes, as names and regions are.
bool is_plain(const std::string& text, std::size_t max_bytes) {
    return !text.empty() && text.size() <= max_bytes && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < 127 && c != '"' && c != '\\' && c != '=';
    });
}

// Reads lines of the form NAME=ADDRESS:PORT [REGION]. Returns an error, or an empty text.
std::string read_parents(const std::string& text, std::vector<ParentAddress>& parents) {
    std::set<std::string> names;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string pair, region, rest;
        if (!(words >> pair)) continue;
        words >> region;
        const std::size_t separator = pair.find('=');
        const std::string name = pair.substr(0, separator);
        const std::string address = separator == std::string::npos ? "" : pair.substr(separator + 1);
        if (words >> rest || !is_plain(name, kMaxNameBytes) || !net::parse_address(address))
            return "'" + line + "' is not NAME=ADDRESS:PORT or NAME=ADDRESS:PORT REGION";
        if (!region.empty() && !is_plain(region, kMaxRegionBytes))
            return "'" + region +
                   "' is not a region: expected 1 to 64 printable characters without spaces, '\"', '\\' or "
                   "'='";
        if (!names.insert(name).second) return "'" + name + "' is listed twice";
        parents.push_back({{name, region}, address});
    }
    if (parents.size() > kMaxParents) return "more than 64 parents";
    return {};
}

}   // namespace

ini::Section Options::section() {
    ini::Section section("rollout",
                         "Rules that come from control machines, in force on the whole fleet: "
                         "docs/rollout.md. Off unless `from` or `listen` is named. Wants [state].");
    section.text("listen", listen, "ADDRESS:PORT for UDP, where children reach this process",
                 [](const std::string& text) -> std::string {
                     return net::parse_address(text) ? "" : "'" + text + "' is not ADDRESS:PORT";
                 });
    section.lines("from", from,
                  "NAME=ADDRESS:PORT, or NAME=ADDRESS:PORT REGION, one a line: the control machines or "
                  "relays that this process asks; without it this is a control machine");
    section.text("region", region, "where this process stands; parents of the same region are asked first",
                 [](const std::string& text) -> std::string {
                     return text.empty() || is_plain(text, kMaxRegionBytes)
                                ? ""
                                : "'" + text +
                                      "' is not a region: expected 1 to 64 printable characters without "
                                      "spaces, '\"', '\\' or '='";
                 });
    section.text("key_file", key_file,
                 "a file with one key, or two while one is replaced, as [peers] has it; empty: that one");
    section.integer("canaries", canaries, 1, static_cast<std::int64_t>(kMaxCanaries), "processes",
                    "that take a change before all others do; the same on all control machines");
    section.real("canary_s", canary_s, 0, kMaxCanaryS, "s", "that a change is in force there first");
    section.real("bytes_per_s", bytes_per_s, 10'000, 1e9, "bytes a second",
                 "of changes and snapshots that this process sends to all its children on their asking");
    section.whole([this]() -> std::string {
        std::vector<ParentAddress> parents;
        if (const std::string error = read_parents(from, parents); !error.empty()) return "from: " + error;
        if (follows() && parents.empty()) return "from: lists no parent";
        return {};
    });
    return section;
}

std::vector<ParentAddress> parents_of(const Options& options) {
    std::vector<ParentAddress> parents;
    read_parents(options.from, parents);
    return parents;
}

FollowerSettings follower_settings(const Options& options, const std::string& name) {
    FollowerSettings settings;
    settings.name = name;
    settings.region = options.region;
    for (const ParentAddress& address : parents_of(options)) settings.parents.push_back(address.parent);
    if (options.publishes()) {
        // A relay keeps as many records for its children as a control machine.
        settings.max_log_records = kMaxLogRecords;
        settings.max_log_bytes = kMaxLogBytes;
    }
    return settings;
}

PublisherSettings publisher_settings(const Options& options) {
    PublisherSettings settings;
    settings.bytes_per_s = options.bytes_per_s;
    return settings;
}

LeaderSettings leader_settings(const Options& options, const std::vector<std::string>& replicas) {
    LeaderSettings settings;
    settings.replicas = replicas;
    settings.canary_count = static_cast<std::size_t>(options.canaries);
    settings.canary_s = options.canary_s;
    return settings;
}

BoundTimes bound_times(const Options& options) {
    BoundTimes times;
    times.canary_s = options.canary_s;
    return times;
}

std::string load_keys(const Options& options, const std::string& default_key_file,
                      std::vector<membership::AuthKey>& keys) {
    membership::Options file;
    file.key_file = options.key_file.empty() ? default_key_file : options.key_file;
    return membership::load_keys(file, keys);
}

double changes_per_s(std::size_t replicas, double interval_s) {
    const double datagrams = membership::kDatagramsPerPeriod / interval_s;
    return datagrams / (2 * static_cast<double>(std::max<std::size_t>(replicas, 2) - 1));
}

std::vector<std::string> stated_bounds(const Options& options, const lease::LeaseTimes& times,
                                       std::size_t replicas, double interval_s) {
    const BoundTimes bound = bound_times(options);
    std::vector<std::string> lines;
    char text[400];
    std::snprintf(
        text, sizeof text,
        "rollout: a change is active at every ingress that accepts it within %.1f s while links lose at "
        "most %d datagrams in a row; each version includes all changes before it",
        active_within_s(bound), bound.max_losses);
    lines.emplace_back(text);
    if (!options.is_control_machine()) return lines;
    std::snprintf(
        text, sizeof text,
        "rollout: if the leader fails meanwhile, a change is active within %.1f s (while a majority of the "
        "%zu control machines is up); at most %.0f changes a second at [peers] interval_s = %g",
        active_after_leader_failure_s(bound,
                                      lease::max_vacancy_s(times, kRoundTripS, static_cast<int>(replicas))),
        replicas, changes_per_s(replicas, interval_s), interval_s);
    lines.emplace_back(text);
    return lines;
}

}   // namespace slatejunction::rollout
