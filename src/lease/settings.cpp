#include "lease/settings.hpp"

#include <cstdio>
#include <sstream>

#include "remotewrite/settings.hpp"

namespace slatejunction::lease {
namespace {

constexpr std::size_t kVotersMost = 9;

std::vector<std::string> names_of(const std::string& text) {
    std::vector<std::string> all;
    std::istringstream rest(text);
    for (std::string one; std::getline(rest, one, ',');) {
        one.erase(0, std::min(one.find_first_not_of(" \t"), one.size()));
        one.erase(one.find_last_not_of(" \t") + 1);
        all.push_back(one);
    }
    return all;
}

std::string check_names(const std::string& text) {
    const auto names = names_of(text);
    if (names.size() > kVotersMost) return "more than " + std::to_string(kVotersMost) + " voters";
    const std::set<std::string> once(names.begin(), names.end());
    if (once.contains("")) return "a name is empty";
    if (once.size() != names.size()) return "a name stands twice";
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
    section.integer("drains", drains, 0, kSlotsMost, "",
                    "ingresses of a site that may be drained at once; 0: any number");
    section.whole([this]() -> std::string {
        if (!on()) return {};
        const auto now = names_of(acceptors), then = names_of(previous_acceptors);
        if (!previous_acceptors.empty()) {
            // One step at a time: majorities of neighbouring sets have a voter in common.
            const std::set<std::string> a(now.begin(), now.end()), b(then.begin(), then.end());
            std::size_t differ = 0;
            for (const auto& one : a) differ += !b.contains(one);
            for (const auto& one : b) differ += !a.contains(one);
            if (differ > 1) return "voters_before: differs from voters by more than one name";
        }
        if (usable_duration_s(times) <= times.max_action_s + 2 * request_timeout_s(times))
            return "lives_s: too short: after drift, margin_s and act_s nothing is left to renew in";
        return {};
    });
    return section;
}

ini::Section Options::announce() {
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
    LeaseNodeSettings made;
    made.name = name;
    made.times = options.times;
    made.acceptors.names = names_of(options.acceptors);
    if (!options.previous_acceptors.empty()) made.acceptors.before = names_of(options.previous_acceptors);
    made.acceptors.epoch = static_cast<std::uint32_t>(options.epoch);
    return made;
}

std::vector<std::string> stated(const Options& options) {
    char text[320];
    const LeaseTimes& t = options.times;
    std::snprintf(
        text, sizeof text,
        "lease: %zu voters, a grant of %g s may be used for %.2f s; without a holder for at most %.2f s "
        "after it dies (round trips of 20 ms); a voter that forgot waits %.2f s",
        names_of(options.acceptors).size(), t.grant_duration_s, usable_duration_s(t),
        max_vacancy_s(t, 0.02), amnesia_s(t));
    return {text};
}

}   // namespace slatejunction::lease
