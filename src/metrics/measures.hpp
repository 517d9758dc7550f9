// The program's metrics: the set of series is fixed at construction, and values are updated by index
// without allocation, lock or name look-up. Counters and histograms are stored in
// storage::PersistentCounters, so that they can survive the process; gauges do not.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "metrics/reasons.hpp"
#include "metrics/table.hpp"
#include "slatejunction/gateway.hpp"
#include "storage/persistent_counters.hpp"

namespace slatejunction::metrics {

using Labels = std::vector<std::pair<std::string, std::string>>;

/// One series as it is sent. A histogram has several: its buckets (label `le`), its sum and its count.
struct Series {
    Id family;
    std::string name;   // the family's name; with _bucket, _sum or _count for a histogram
    Labels labels;
};

enum class RequestResult { served = 0, rejected = 1, failed = 2 };
inline constexpr std::array<std::string_view, 3> kRequestResults{"served", "refused", "failed"};

// Label values. Attempt results are in the order of slatejunction::AttemptResult.
inline constexpr std::array<std::string_view, 8> kAttemptResults{
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
inline constexpr std::array<std::string_view, 2> kConnectionSides{"consumer", "provider"};
inline constexpr std::array<std::string_view, 2> kBackendStates{"ready", "draining"};
inline constexpr std::array<std::string_view, 2> kLogDropReasons{"rate", "reader"};
inline constexpr std::array<std::string_view, 4> kMemberStates{"alive", "suspected", "gone", "left"};
// In the order of backend::ResponseEvent::Kind.
inline constexpr std::array<std::string_view, 2> kForwardReasons{"slow", "deadline"};
inline constexpr std::array<std::string_view, 4> kResponseCutReasons{"stalled", "slow", "late", "backend"};
inline constexpr std::array<std::string_view, 5> kPeerDropReasons{"size", "version", "key", "replayed",
                                                                  "held_back"};
inline constexpr std::array<std::string_view, 2> kLeaseChanges{"gained", "lost"};
inline constexpr std::array<std::string_view, 3> kLeaseActionResults{"taken", "turned_down", "failed"};
inline constexpr std::array<std::string_view, 3> kRolloutFaults{"disk", "diverged", "refused"};
inline constexpr std::array<std::string_view, 4> kSampleDropReasons{"thinned", "backlog_full", "rejected",
                                                                    "stopped"};
inline constexpr std::array<std::string_view, 6> kBatchResults{"taken",  "put_off",   "rejected",
                                                               "broken", "timed_out", "fallen_back"};

struct FinishedRequest {
    std::size_t service_class = 0, plan = 0;   // indices in the settings; plan 0 if there are no plans
    RequestResult result = RequestResult::served;
    std::size_t reason = 0;   // index in kRejectReasons; used only if rejected
    double seconds = 0;
    double units = 1;
};

class Measures {
  public:
    /// The settings that determine the set of series.
    struct Shape {
        std::vector<ServiceClass> classes;
        std::vector<Plan> plans;
        // Names of the operator's rules: `rules` has all of them, each with its kind as in "route a";
        // `tags` has the tags' names and values.
        std::vector<std::string> rules = {}, routes = {}, limits = {}, subsets = {};
        std::vector<std::pair<std::string, std::vector<std::string>>> tags = {};
    };
    /// Keeps counters in memory if `path` is empty, else in that file; throws as
    /// storage::PersistentCounters. `now_ms`: Unix time.
    Measures(Shape shape, std::int64_t now_ms, const std::string& path = {});

    /// Updates all counters of one finished request atomically. Returns the weight that it earned.
    double count_request(const FinishedRequest& request);
    /// Adds to a counter. `label`: index of the combination of label values.
    void add(Id id, std::size_t label = 0, double by = 1);
    /// Sets a gauge; `label` as in add().
    void set(Id id, double value, std::size_t label = 0);
    double get(Id id, std::size_t label = 0) const;
    /// The sum of every `step`-th value of the family, beginning at the index `first`.
    double sum(Id id, std::size_t step = 1, std::size_t first = 0) const;

    const std::vector<Series>& series() const { return series_; }
    /// Sets `values` to one value for each of series(), in that order; buckets are cumulative.
    void sample(std::vector<double>& values) const;
    const storage::PersistentCounters& counters() const { return counters_; }
    /// The time of the newest sample ever taken (Unix ms). It is stored with the counters, so that the
    /// times of samples don't decrease across a restart either.
    std::int64_t last_sample_ms() const;
    void set_last_sample_ms(std::int64_t at_ms);
    std::size_t find_class(std::string_view name) const;
    std::size_t find_plan(std::string_view name) const;

  private:
    /// The values of one family: gauges in gauges_, others in counters_.
    struct FamilyRange {
        std::size_t first = 0;   // index of its first value
        bool gauge = false;
        std::size_t count = 0;   // combinations of label values
    };
    struct Layout;
    explicit Measures(Shape shape, std::int64_t now_ms, const std::string& path, Layout layout);
    static Layout build_layout(const Shape& shape);
    std::size_t index_of(Id id, std::size_t label) const {
        return ranges_[static_cast<std::size_t>(id)].first + label;
    }

    Shape shape_;
    std::vector<double> bounds_;        // upper bounds of histogram buckets, s
    std::vector<FamilyRange> ranges_;   // by family
    std::vector<Series> series_;
    std::vector<std::uint32_t> sources_;   // of each series: index in counters_ or gauges_
    std::size_t plan_count_ = 1;
    std::size_t last_sample_index_ = 0;   // index in counters_
    storage::PersistentCounters counters_;
    std::vector<double> gauges_;
};

}   // namespace slatejunction::metrics
