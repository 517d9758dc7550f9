// The backends that discovery lists. Attempts go only to backends that are listed as serving; a backend
// that is no longer listed is removed once no attempt is in flight to it.
//
// - Inputs: endpoint updates (list, subsets as bits, capacity hints as weights of any unit); times in
//   seconds.
// - Output: the backends of each subset in the order of their ids, with the cumulative sums of their
//   weights; whether a request may fall back from its subset to the whole fleet.
// - Limits: it never removes a backend with attempts in flight, and does not choose between backends.
// - Visible in: RejectReason::no_backend where a subset is empty (metric slatejunction_refusals_total).
#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/outlier_detection.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// One backend that is listed, or that still has attempts in flight.
struct Backend {
    std::string id;
    std::string zone;
    std::int64_t cell = 0;
    double weight = 1;
    double started_at_s = 0;   // 0: long ago
    std::uint64_t subsets = 0;
    bool listed = true;
    int in_flight = 0;
    double latency_ratio = 0;   // mean of latency over latency objective
    double last_answer_at_s = -1e18;
    BackendHealth health;
};

/// Identifies a subset: 0 is the whole fleet, n + 1 the subset of bit n.
using SubsetIndex = std::size_t;
constexpr SubsetIndex kWholeFleet = 0;

/// The index of a request's subset. `bit`: a single bit, or 0 for the whole fleet.
inline SubsetIndex subset_index(std::uint64_t bit) {
    return bit == 0 ? kWholeFleet : static_cast<SubsetIndex>(std::countr_zero(bit)) + 1;
}
/// The inverse of subset_index().
inline std::uint64_t subset_bit(SubsetIndex subset) { return (std::uint64_t{1} << subset) >> 1; }

/// Whether a request whose subset lists `listed_count` backends is handled for the whole fleet from its
/// arrival on.
inline bool falls_back_at_arrival(SubsetFallback fallback, std::size_t listed_count) {
    return fallback != SubsetFallback::never && listed_count == 0;
}
/// Whether a request that is rejected because of the load of its subset is tried against the whole fleet.
inline bool falls_back_when_overloaded(SubsetFallback fallback) {
    return fallback == SubsetFallback::when_overloaded;
}
/// Whether an attempt for which no backend of the subset is available goes to the whole fleet.
inline bool falls_back_without_backend(SubsetFallback fallback, std::size_t listed_count) {
    return fallback == SubsetFallback::when_overloaded ||
           (fallback == SubsetFallback::when_empty && listed_count == 0);
}

/// The listed backends of a subset. The pointers are valid until the next EndpointSet::rebuild().
struct Subset {
    std::vector<Backend*> backends;
    std::vector<double> weight_sums;   // cumulative, in the order of `backends`

    void add(Backend& backend) {
        weight_sums.push_back((weight_sums.empty() ? 0 : weight_sums.back()) + backend.weight);
        backends.push_back(&backend);
    }
};

/// Owns all backends.
class EndpointSet {
  public:
    /// Applies a list, or changes to it; new backends get their health from `outliers`. Returns the changed
    /// fraction of the fleet, relative to its previous size. The kind of `update` must not be watch_lost.
    double update(const EndpointUpdate& update, const OutlierDetector& outliers, double now);

    /// nullptr if the backend is unknown.
    Backend* find(const std::string& id) {
        const auto found = backends_.find(id);
        return found == backends_.end() ? nullptr : &found->second;
    }

    /// The number of listed backends of the subset.
    std::size_t listed_count(SubsetIndex subset = kWholeFleet) const {
        return subset < subsets_.size() ? subsets_[subset].backends.size() : 0;
    }
    /// The subset, whose listed_count() must be above 0.
    const Subset& subset(SubsetIndex index) const { return subsets_[index]; }

    static bool in_subset(const Backend& backend, SubsetIndex subset) {
        return subset == kWholeFleet || (backend.subsets >> (subset - 1) & 1) != 0;
    }

    /// An attempt was answered: adds the backend to the recent responders.
    void on_answer(Backend& backend);
    /// An attempt ended: removes the backend if it is not listed and no other attempt is in flight to it.
    void on_attempt_ended(const Backend& backend) {
        if (!backend.listed && backend.in_flight == 0) rebuild();
    }
    /// Backends that answered recently; unused entries are nullptr.
    const std::array<Backend*, 4>& recent_responders() const { return recent_responders_; }

    /// The number of listed backends that are outliers.
    std::ptrdiff_t count_outliers(const OutlierDetector& outliers, double now) const;

  private:
    void apply(const Endpoint& endpoint, const OutlierDetector& outliers, double now, double& changed);
    void rebuild();
    void add_to_subsets(Backend& backend);

    std::map<std::string, Backend> backends_;
    std::vector<Subset> subsets_{1};   // by SubsetIndex
    std::array<Backend*, 4> recent_responders_{};
    std::size_t next_recent_ = 0;   // counts the additions to recent_responders_
};

}   // namespace slatejunction::gateway
