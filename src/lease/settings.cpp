#include "lease/settings.hpp"

#include <cstdio>
#include <sstream>

#include "remotewrite/settings.hpp"

namespace slatejunction::lease {
namespace {

constexpr std::size_t kMaxAcceptors = 9;

std::string trimmed(std::string text) {
    text.erase(0, std::min(text.find_first_not_of(" \t"), text.size()));
    text.erase(text.find_last_not_of(" \t") + 1);
    return text;
}

std::vector<std::string> split_names(const std::string& text) {
    std::vector<std::string> names;
    std::istringstream rest(text);
    for (std::string name; std::getline(rest, name, ',');) names.push_back(trimmed(name));
    return names;
}

// Returns the error in a list of acceptors; empty if there is none.
std::string check_names(const std::string& text) {
    const auto names = split_names(text);
    if (names.size() > kMaxAcceptors) return "lists more than " + std::to_string(kMaxAcceptors) + " voters";
    const std::set<std::string> distinct(names.begin(), names.end());
    if (distinct.contains("")) return "contains an empty name";
    if (distinct.size() != names.size()) return "contains a name twice";
    return {};
}

// Counts the names that are in one of the lists only.
std::size_t count_differences(const std::string& left, const std::string& right) {
    const auto left_names = split_names(left);
    const auto right_names = split_names(right);
    const std::set<std::string> a(left_names.begin(), left_names.end());
    const std::set<std::string> b(right_names.begin(), right_names.end());
    std::size_t count = 0;
    for (const auto& name : a) count += !b.contains(name);
    for (const auto& name : b) count += !a.contains(name);
    return count;
}

// Returns the error in the section as a whole; empty if there is none.
std::string check_section(const Options& options) {
    if (!options.on()) return {};
    // Only one acceptor may change at a time, so that majorities of successive sets share an acceptor.
    if (!options.previous_acceptors.empty() &&
        count_differences(options.acceptors, options.previous_acceptors) > 1)
        return "voters_before: differs from voters by more than one name; change one voter at a time";
    const LeaseTimes& times = options.times;
    if (usable_duration_s(times) <= times.max_action_s + 2 * request_timeout_s(times))
        return "lives_s: too short: drift, margin_s and act_s leave no time for two rounds of renewal";
    return {};
}

}   // namespace

ini::Section Options::section() {
    ini::Section section("lease",
                         "Leases for tasks that one ingress does for all: docs/fleet.md. Wants [peers]; "
                         "off without voters.");
    section.text("voters", acceptors,
                 "names, by commas, three or five of them best: the same in every file", check_names);
    section.text("voters_before", previous_acceptors, "while the voters change: those of the step before",
                 check_names);
    section.integer("step", epoch, 1, 1'000'000'000, "",
                    "of the voters: one more with each change of them");
    section.real("lives_s", times.grant_duration_s, 0.3, 3600, "s",
                 "that a grant lives: the same in every file");
    section.real("drift", times.drift, 0, 0.2, "",
                 "by which a clock's rate may be off true time, either way");
    section.real("margin_s", times.safety_margin_s, 0.001, 60, "s",
                 "that a holder stops early beyond what drift asks");
    section.real("act_s", times.max_action_s, 0.001, 60, "s", "that an act may take");
    section.choice("numbers", token_persistence, {"clock", "kept"},
                   "after all voters were restarted fencing numbers go on by the wall clock, or from "
                   "[state] directory");
    section.integer("drains", max_draining, 0, kMaxSlots, "",
                    "ingresses of a site that may be drained at once; 0: any number");
    section.whole([this]() -> std::string { return check_section(*this); });
    return section;
}

ini::Section Options::announce_section() {
    ini::Section section("announce",
                         "The one ingress that conducts the fleet's tasks says so at an address outside, "
                         "with its fencing number. Wants [lease].");
    section.text("url", announce_url, "http://HOST:PORT/PATH, HOST a number; empty: nowhere",
                 [](const std::string& text) {
                     remotewrite::Url url;
                     return remotewrite::read_url(text, url);
                 });
    section.real("every_s", announce_every_s, 0.01, 3600, "s", "between two announcements");
    return section;
}

LeaseNodeSettings settings_of(const Options& options, const std::string& name) {
    LeaseNodeSettings settings;
    settings.name = name;
    settings.times = options.times;
    settings.acceptors.current = split_names(options.acceptors);
    if (!options.previous_acceptors.empty())
        settings.acceptors.previous = split_names(options.previous_acceptors);
    settings.acceptors.epoch = static_cast<std::uint32_t>(options.epoch);
    return settings;
}

std::vector<std::string> describe_bounds(const Options& options) {
    char text[320];
    const LeaseTimes& t = options.times;
    std::snprintf(
        text, sizeof text,
        "lease: %zu voters; a grant of %g s is usable for %.2f s; a holder that dies is replaced within "
        "%.2f s (at round trips of 20 ms); a voter that lost its state stays silent for %.2f s",
        split_names(options.acceptors).size(), t.grant_duration_s, usable_duration_s(t),
        max_vacancy_s(t, 0.02), recovery_wait_s(t));
    return {text};
}

}   // namespace slatejunction::lease
