// The program's figures: fixed when made, updated by index without allocation, lock or look-up of names.
// Counters and histograms lie in storage::Cells, so that they may outlive the process; gauges do not.
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

// One series as it is sent. A histogram is several: its buckets (label `le`), its sum and its count.
struct Series {
    Id family;
    std::string name;   // the family's, with _bucket, _sum or _count where it is a histogram
    Labels labels;
};

enum class RequestResult { served = 0, rejected = 1, failed = 2 };
inline constexpr std::array<std::string_view, 3> kRequestResults{"served", "refused", "failed"};

// By slatejunction::Outcome.
inline constexpr std::array<std::string_view, 8> kOutcomes{
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
inline constexpr std::array<std::string_view, 2> kSides{"consumer", "provider"};
inline constexpr std::array<std::string_view, 2> kStates{"ready", "draining"};
inline constexpr std::array<std::string_view, 2> kLeftOut{"rate", "reader"};
inline constexpr std::array<std::string_view, 4> kMemberStates{"alive", "suspected", "gone", "left"};
inline constexpr std::array<std::string_view, 5> kPeerDropReasons{"size", "version", "key", "replayed",
                                                                  "held_back"};
inline constexpr std::array<std::string_view, 2> kChanges{"gained", "lost"};
inline constexpr std::array<std::string_view, 3> kActs{"taken", "turned_down", "failed"};
inline constexpr std::array<std::string_view, 3> kRolloutFaults{"disk", "diverged", "refused"};
inline constexpr std::array<std::string_view, 4> kDropped{"thinned", "backlog_full", "rejected", "stopped"};
inline constexpr std::array<std::string_view, 6> kBatches{"taken",  "put_off",   "rejected",
                                                          "broken", "timed_out", "fallen_back"};

struct FinishedRequest {
    std::size_t service_class = 0, plan = 0;   // numbers in the settings; plan 0 where there are none
    RequestResult result = RequestResult::served;
    std::size_t reason = 0;   // of kRejectReasons; of a refusal only
    double seconds = 0;
    double units = 1;
};

class Measures {
  public:
    // What the measures need to know of the settings.
    struct Shape {
        std::vector<ServiceClass> classes;
        std::vector<Plan> plans;
        // Names of the operator's rules, each with its kind before it as in "route a"; of tags also the
        // values.
        std::vector<std::string> rules = {}, routes = {}, limits = {}, subsets = {};
        std::vector<std::pair<std::string, std::vector<std::string>>> tags = {};
    };
    // Figures in memory, or in the file at `path`; see storage::Cells for what that throws.
    Measures(Shape shape, std::int64_t now_ms, const std::string& path = {});

    // All figures of one finished request, as one update. Returns the worth earned.
    double count_request(const FinishedRequest& request);
    void add(Id id, std::size_t label = 0, double by = 1);   // a counter without or with one fixed label
    void set(Id id, double value, std::size_t label = 0);    // a gauge
    double get(Id id, std::size_t label = 0) const;
    // Over every `step`-th of its figures from the `first` on.
    double sum(Id id, std::size_t step = 1, std::size_t first = 0) const;

    const std::vector<Series>& series() const { return series_; }
    // One figure for each of series(), in that order; buckets are cumulative.
    void sample(std::vector<double>& values) const;
    const storage::PersistentCounters& counters() const { return cells_; }
    // The time of the newest sample ever taken, Unix ms: kept with the counters, so that times don't run
    // back over a restart either.
    std::int64_t last_sample_ms() const;
    void set_last_sample_ms(std::int64_t at_ms);
    std::size_t find_class(std::string_view name) const;
    std::size_t find_plan(std::string_view name) const;

  private:
    struct Place {
        std::size_t first = 0;
        bool gauge = false;
        std::size_t count = 0;   // of a counter or gauge
    };
    struct Layout;
    explicit Measures(Shape shape, std::int64_t now_ms, const std::string& path, Layout layout);
    static Layout lay_out(const Shape& shape);
    std::size_t at(Id id, std::size_t label) const {
        return places_[static_cast<std::size_t>(id)].first + label;
    }

    Shape shape_;
    std::vector<double> bounds_;   // s, of the histogram's buckets
    std::vector<Place> places_;    // by family
    std::vector<Series> series_;
    std::vector<std::uint32_t> sources_;   // of each series: its cell, or its gauge
    std::size_t plans_ = 1;
    std::size_t last_sample_ = 0;   // the cell
    storage::PersistentCounters cells_;
    std::vector<double> gauges_;
};

}   // namespace slatejunction::metrics
