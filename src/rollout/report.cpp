#include "rollout/report.hpp"

#include <algorithm>

#include "rollout/message.hpp"

namespace slatejunction::rollout {
namespace {

void insert_lowest(std::vector<FollowerStatus>& statuses, const FollowerStatus& status,
                   std::size_t max_size) {
    const auto before = [](const FollowerStatus& a, const FollowerStatus& b) {
        return a.active < b.active;
    };
    statuses.insert(std::upper_bound(statuses.begin(), statuses.end(), status, before), status);
    if (statuses.size() > max_size) statuses.pop_back();
}

// A follower that switched parents may be reported by both for a while; the higher number is the newer
// status.
void insert_canary(std::vector<FollowerStatus>& canaries, const FollowerStatus& status) {
    const auto existing = std::find_if(canaries.begin(), canaries.end(), [&](const FollowerStatus& known) {
        return known.name == status.name;
    });
    if (existing != canaries.end()) {
        if (status.active > existing->active) *existing = status;
        return;
    }
    const auto before = [](const FollowerStatus& a, const FollowerStatus& b) {
        return hash_of(a.name) < hash_of(b.name);
    };
    if (canaries.size() >= kMaxCanaries && !before(status, canaries.back())) return;
    canaries.insert(std::upper_bound(canaries.begin(), canaries.end(), status, before), status);
    if (canaries.size() > kMaxCanaries) canaries.pop_back();
}

void insert_refusal(std::vector<Refusal>& refusals, const Refusal& refusal) {
    const auto position =
        std::lower_bound(refusals.begin(), refusals.end(), refusal,
                         [](const Refusal& a, const Refusal& b) { return a.number < b.number; });
    if (position != refusals.end() && position->number == refusal.number) return;
    refusals.insert(position, refusal);
    if (refusals.size() > kMaxReportedRefusals) refusals.pop_back();
}

}   // namespace

void add(Report& to, const FollowerStatus& status, bool behind, const Refusal* refusal) {
    to.lowest = to.counted == 0 ? status.active : std::min(to.lowest, status.active);
    ++to.counted;
    insert_canary(to.canaries, status);
    if (behind) {
        ++to.behind;
        insert_lowest(to.behind_names, status, kMaxReportedNames);
    }
    if (!refusal) return;
    ++to.refused;
    insert_refusal(to.refusals, *refusal);
}

void add_silent(Report& to, const FollowerStatus& status) {
    ++to.silent;
    insert_lowest(to.silent_names, status, kMaxReportedNames);
}

void add(Report& to, const Report& from) {
    if (from.counted > 0) to.lowest = to.counted == 0 ? from.lowest : std::min(to.lowest, from.lowest);
    to.counted += from.counted;
    to.behind += from.behind;
    to.silent += from.silent;
    to.refused += from.refused;
    for (const FollowerStatus& status : from.behind_names)
        insert_lowest(to.behind_names, status, kMaxReportedNames);
    for (const FollowerStatus& status : from.silent_names)
        insert_lowest(to.silent_names, status, kMaxReportedNames);
    for (const FollowerStatus& status : from.canaries) insert_canary(to.canaries, status);
    for (const Refusal& refusal : from.refusals) insert_refusal(to.refusals, refusal);
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
