#include "rollout/report.hpp"

#include <algorithm>

#include "rollout/message.hpp"

namespace slatejunction::rollout {
namespace {

void insert_lowest(std::vector<FollowerStatus>& names, const FollowerStatus& one, std::size_t most) {
    const auto before = [](const FollowerStatus& a, const FollowerStatus& b) {
        return a.active < b.active;
    };
    names.insert(std::upper_bound(names.begin(), names.end(), one, before), one);
    if (names.size() > most) names.pop_back();
}

// A follower that switched parents may be reported by both for a while: the higher number is newer.
void insert_canary(std::vector<FollowerStatus>& canaries, const FollowerStatus& one) {
    const auto same = std::find_if(canaries.begin(), canaries.end(),
                                   [&](const FollowerStatus& known) { return known.name == one.name; });
    if (same != canaries.end()) {
        if (one.active > same->active) *same = one;
        return;
    }
    const auto before = [](const FollowerStatus& a, const FollowerStatus& b) {
        return hash_of(a.name) < hash_of(b.name);
    };
    if (canaries.size() >= kMaxCanaries && !before(one, canaries.back())) return;
    canaries.insert(std::upper_bound(canaries.begin(), canaries.end(), one, before), one);
    if (canaries.size() > kMaxCanaries) canaries.pop_back();
}

void insert_refusal(std::vector<Refusal>& refusals, const Refusal& one) {
    const auto at =
        std::lower_bound(refusals.begin(), refusals.end(), one,
                         [](const Refusal& a, const Refusal& b) { return a.number < b.number; });
    if (at != refusals.end() && at->number == one.number) return;
    refusals.insert(at, one);
    if (refusals.size() > kMaxReportedRefusals) refusals.pop_back();
}

}   // namespace

void add(Report& to, const FollowerStatus& standing, bool behind, const Refusal* refusal) {
    to.lowest = to.counted == 0 ? standing.active : std::min(to.lowest, standing.active);
    ++to.counted;
    insert_canary(to.canaries, standing);
    if (behind) {
        ++to.behind;
        insert_lowest(to.behind_names, standing, kMaxReportedNames);
    }
    if (!refusal) return;
    ++to.refused;
    insert_refusal(to.refusals, *refusal);
}

void add_silent(Report& to, const FollowerStatus& standing) {
    ++to.silent;
    insert_lowest(to.silent_names, standing, kMaxReportedNames);
}

void add(Report& to, const Report& from) {
    if (from.counted > 0) to.lowest = to.counted == 0 ? from.lowest : std::min(to.lowest, from.lowest);
    to.counted += from.counted;
    to.behind += from.behind;
    to.silent += from.silent;
    to.refused += from.refused;
    for (const FollowerStatus& one : from.behind_names)
        insert_lowest(to.behind_names, one, kMaxReportedNames);
    for (const FollowerStatus& one : from.silent_names)
        insert_lowest(to.silent_names, one, kMaxReportedNames);
    for (const FollowerStatus& one : from.canaries) insert_canary(to.canaries, one);
    for (const Refusal& one : from.refusals) insert_refusal(to.refusals, one);
}

void shrink_to(Report& report, std::size_t bytes) {
    while (encoded_size(report) > bytes) {
        if (!report.silent_names.empty() && report.silent_names.size() >= report.behind_names.size())
            report.silent_names.pop_back();
        else if (!report.behind_names.empty())
            report.behind_names.pop_back();
        else if (report.refusals.size() > 1)
            report.refusals.pop_back();
        else if (!report.canaries.empty())
            report.canaries.pop_back();
        else
            return report.refusals.clear();
    }
}

}   // namespace slatejunction::rollout
