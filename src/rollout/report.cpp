#include "rollout/report.hpp"

#include <algorithm>

#include "rollout/message.hpp"

namespace slatejunction::rollout {
namespace {

void keep_lowest(std::vector<Standing>& names, const Standing& one, std::size_t most) {
    const auto before = [](const Standing& a, const Standing& b) { return a.in_force < b.in_force; };
    names.insert(std::upper_bound(names.begin(), names.end(), one, before), one);
    if (names.size() > most) names.pop_back();
}

// One that has moved to another machine may be told by both for a while: what is higher is newer.
void keep_canary(std::vector<Standing>& canaries, const Standing& one) {
    const auto same = std::find_if(canaries.begin(), canaries.end(),
                                   [&](const Standing& known) { return known.name == one.name; });
    if (same != canaries.end()) {
        if (one.in_force > same->in_force) *same = one;
        return;
    }
    const auto before = [](const Standing& a, const Standing& b) {
        return hash_of(a.name) < hash_of(b.name);
    };
    if (canaries.size() >= kCanariesMost && !before(one, canaries.back())) return;
    canaries.insert(std::upper_bound(canaries.begin(), canaries.end(), one, before), one);
    if (canaries.size() > kCanariesMost) canaries.pop_back();
}

void keep_refusal(std::vector<Refusal>& refusals, const Refusal& one) {
    const auto at =
        std::lower_bound(refusals.begin(), refusals.end(), one,
                         [](const Refusal& a, const Refusal& b) { return a.number < b.number; });
    if (at != refusals.end() && at->number == one.number) return;
    refusals.insert(at, one);
    if (refusals.size() > kRefusalsMost) refusals.pop_back();
}

}   // namespace

void add(Report& to, const Standing& standing, bool behind, const Refusal* refusal) {
    to.lowest = to.counted == 0 ? standing.in_force : std::min(to.lowest, standing.in_force);
    ++to.counted;
    keep_canary(to.canaries, standing);
    if (behind) {
        ++to.behind;
        keep_lowest(to.behind_names, standing, kNamesMost);
    }
    if (!refusal) return;
    ++to.refused;
    keep_refusal(to.refusals, *refusal);
}

void add_silent(Report& to, const Standing& standing) {
    ++to.silent;
    keep_lowest(to.silent_names, standing, kNamesMost);
}

void add(Report& to, const Report& from) {
    if (from.counted > 0) to.lowest = to.counted == 0 ? from.lowest : std::min(to.lowest, from.lowest);
    to.counted += from.counted;
    to.behind += from.behind;
    to.silent += from.silent;
    to.refused += from.refused;
    for (const Standing& one : from.behind_names) keep_lowest(to.behind_names, one, kNamesMost);
    for (const Standing& one : from.silent_names) keep_lowest(to.silent_names, one, kNamesMost);
    for (const Standing& one : from.canaries) keep_canary(to.canaries, one);
    for (const Refusal& one : from.refusals) keep_refusal(to.refusals, one);
}

void fit(Report& report, std::size_t bytes) {
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
