#include "metrics/measures.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace slatejunction::metrics {
namespace {

// Bounds of the buckets of durations (s), in addition to the classes' latency objectives and deadlines.
constexpr std::array<double, 10> kBucketBoundsS{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};

std::string format_number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.10g", value);
    return text;
}

std::string key_of(const Series& series) {
    std::string key = series.name;
    for (const auto& [name, value] : series.labels) key += "\n" + name + "\n" + value;
    return key;
}

// A label of a family, with all of its values.
struct Label {
    std::string name;
    std::vector<std::string> values;
};

template <class Names>
std::vector<std::string> all(const Names& names) {
    return {names.begin(), names.end()};
}

std::vector<Label> labels_of(Id id, const Measures::Shape& shape, const std::vector<std::string>& classes,
                             const std::vector<std::string>& plans) {
    const Label service_class{"class", classes}, plan{"plan", plans},
        result{"outcome", all(kRequestResults)};
    switch (id) {
        case Id::requests:
            return {service_class, plan, result};
        case Id::refusals:
            return {service_class, plan, {"reason", all(kRejectReasons)}};
        case Id::worth_offered:
        case Id::worth_served:
        case Id::worth_lost:
            return {service_class, plan};
        case Id::duration:
            return {service_class, result};
        case Id::attempts:
            return {{"outcome", all(kAttemptResults)}};
        case Id::log_left_out:
            return {{"reason", all(kLogDropReasons)}};
        case Id::rw_dropped:
            return {{"reason", all(kSampleDropReasons)}};
        case Id::rw_batches:
            return {{"result", all(kBatchResults)}};
        case Id::rule_matches:
        case Id::rule_errors:
            return {{"rule", shape.rules}};
        case Id::route_spills:
            return {{"route", shape.routes}};
        case Id::limit_refusals:
        case Id::limit_keys:
        case Id::limit_forgotten:
        case Id::limit_passed:
            return {{"limit", shape.limits}};
        case Id::subset_backends:
            return {{"subset", shape.subsets}};
        case Id::backends:
            return {{"state", all(kBackendStates)}};
        case Id::peers_members:
            return {{"state", all(kMemberStates)}};
        case Id::peers_dropped:
            return {{"reason", all(kPeerDropReasons)}};
        case Id::responses_forwarded:
            return {{"reason", all(kForwardReasons)}};
        case Id::responses_cut:
            return {{"reason", all(kResponseCutReasons)}};
        case Id::lease_changes:
            return {{"what", all(kLeaseChanges)}};
        case Id::lease_acts:
            return {{"result", all(kLeaseActionResults)}};
        case Id::rollout_faults:
            return {{"trouble", all(kRolloutFaults)}};
        case Id::connections:
        case Id::bytes_held:
        case Id::bytes_budget:
            return {{"side", all(kConnectionSides)}};
        default:
            return {};
    }
}

// All combinations of the labels' values; the last label varies fastest.
std::vector<Labels> combinations(const std::vector<Label>& labels) {
    std::vector<Labels> rows(1);
    for (const Label& label : labels) {
        std::vector<Labels> more;
        for (const Labels& row : rows)
            for (const std::string& value : label.values) {
                more.push_back(row);
                more.back().emplace_back(label.name, value);
            }
        rows = std::move(more);
    }
    return rows;
}

// The label sets of a family. Each tag has values of its own, so tags are not combined with all values.
std::vector<Labels> rows_of(Id id, const Measures::Shape& shape, const std::vector<std::string>& classes,
                            const std::vector<std::string>& plans) {
    if (id != Id::tagged) return combinations(labels_of(id, shape, classes, plans));
    std::vector<Labels> rows;
    for (const auto& [name, values] : shape.tags) {
        for (const std::string& value : values) rows.push_back({{"tag", name}, {"value", value}});
        rows.push_back({{"tag", name}, {"value", "other"}});
    }
    return rows;
}

}   // namespace

std::string markdown() {
    std::string text = "| name | type | unit | labels | what it tells |\n| --- | --- | --- | --- | --- |\n";
    for (const Family& one : kFamilies)
        text += "| `" + std::string(one.name) + "` | " + std::string(type_name(one.type)) + " | " +
                std::string(one.unit) + " | " + std::string(one.labels) + " | " + std::string(one.help) +
                " |\n";
    return text;
}

struct Measures::Layout {
    std::vector<double> bounds;
    std::vector<FamilyRange> ranges;
    std::vector<Series> series;
    std::vector<std::uint32_t> sources;
    std::vector<std::string> names;   // of the counters
    std::size_t gauges = 0;

    void add_series(Id id, std::string name, const Labels& labels, std::size_t source) {
        series.push_back({id, std::move(name), labels});
        sources.push_back(static_cast<std::uint32_t>(source));
    }
    // Adds a series with a counter of its own.
    void add_counter(Id id, std::string name, const Labels& labels) {
        add_series(id, std::move(name), labels, names.size());
        names.push_back(key_of(series.back()));
    }
    void add_row(Id id, const Family& family, const Labels& labels) {
        const std::string name(family.name);
        if (family.type == Type::gauge) {
            add_series(id, name, labels, gauges++);
        } else if (family.type == Type::counter) {
            add_counter(id, name, labels);
        } else {
            add_histogram(id, name, labels);
        }
    }
    void add_histogram(Id id, const std::string& name, const Labels& labels) {
        for (std::size_t i = 0; i <= bounds.size(); ++i) {
            Labels with_bound = labels;
            with_bound.emplace_back("le", i < bounds.size() ? format_number(bounds[i]) : "+Inf");
            add_counter(id, name + "_bucket", with_bound);
        }
        add_counter(id, name + "_sum", labels);
        // The count has no counter of its own: sample() takes the value of the last bucket.
        add_series(id, name + "_count", labels, 0);
    }
};

// A histogram has, for each combination of labels, the counters of its buckets (not cumulative, +Inf last)
// and then its sum.
Measures::Layout Measures::build_layout(const Shape& shape) {
    Layout layout;
    std::vector<std::string> classes, plans;
    std::set<double> bounds(kBucketBoundsS.begin(), kBucketBoundsS.end());
    for (const ServiceClass& one : shape.classes) {
        classes.push_back(one.name);
        for (const double bound : {one.latency_objective_s, one.deadline_s})
            if (bound > 0) bounds.insert(bound);
    }
    for (const Plan& one : shape.plans) plans.push_back(one.name);
    if (plans.empty()) plans.push_back("none");
    layout.bounds.assign(bounds.begin(), bounds.end());
    for (std::size_t family = 0; family < kFamilies.size(); ++family) {
        const Id id = static_cast<Id>(family);
        const bool gauge = kFamilies[family].type == Type::gauge;
        const auto rows = rows_of(id, shape, classes, plans);
        layout.ranges.push_back({gauge ? layout.gauges : layout.names.size(), gauge, rows.size()});
        for (const Labels& labels : rows) layout.add_row(id, kFamilies[family], labels);
    }
    layout.names.push_back("last sample ms");
    return layout;
}

Measures::Measures(Shape shape, std::int64_t now_ms, const std::string& path)
    : Measures(shape, now_ms, path, build_layout(shape)) {}

Measures::Measures(Shape shape, std::int64_t now_ms, const std::string& path, Layout layout)
    : shape_(std::move(shape)),
      bounds_(std::move(layout.bounds)),
      ranges_(std::move(layout.ranges)),
      series_(std::move(layout.series)),
      sources_(std::move(layout.sources)),
      plan_count_(std::max<std::size_t>(1, shape_.plans.size())),
      last_sample_index_(layout.names.size() - 1),
      counters_(path.empty() ? storage::PersistentCounters(layout.names.size(), now_ms)
                             : storage::PersistentCounters(path, layout.names, now_ms)),
      gauges_(layout.gauges) {
    set(Id::counters_created, static_cast<double>(counters_.created_ms()) / 1e3);
}

double Measures::count_request(const FinishedRequest& r) {
    const ServiceClass& service_class = shape_.classes[r.service_class];
    const double price = shape_.plans.empty() ? 1 : shape_.plans[r.plan].plan_weight;
    // A request beyond its quota is not sent to any backend: it counts neither as offered nor as lost.
    const bool over_quota = r.result == RequestResult::rejected && r.reason == kQuotaReason;
    const double offered = over_quota ? 0 : service_class.priority_weight * price * r.units;
    const bool late =
        service_class.latency_objective_s > 0 && r.seconds > service_class.latency_objective_s;
    const double served = r.result != RequestResult::served ? 0
                          : late                            ? offered * service_class.late_priority_weight
                                                            : offered;
    const std::size_t class_and_plan = r.service_class * plan_count_ + r.plan;
    const auto result = static_cast<std::size_t>(r.result);
    const auto bound = static_cast<std::size_t>(
        std::lower_bound(bounds_.begin(), bounds_.end(), r.seconds) - bounds_.begin());
    const std::size_t histogram =
        (r.service_class * kRequestResults.size() + result) * (bounds_.size() + 2);
    std::array<storage::PersistentCounters::Change, 7> changes;
    std::size_t count = 0;
    const auto change = [&](Id id, std::size_t label, double by) {
        if (by != 0) changes[count++] = {static_cast<std::uint32_t>(index_of(id, label)), by};
    };
    change(Id::requests, class_and_plan * kRequestResults.size() + result, 1);
    if (r.result == RequestResult::rejected)
        change(Id::refusals, class_and_plan * kRejectReasons.size() + r.reason, 1);
    change(Id::worth_offered, class_and_plan, offered);
    change(Id::worth_served, class_and_plan, served);
    change(Id::worth_lost, class_and_plan, offered - served);
    change(Id::duration, histogram + bound, 1);
    change(Id::duration, histogram + bounds_.size() + 1, r.seconds);
    counters_.apply({changes.data(), count});
    return served;
}

void Measures::add(Id id, std::size_t label, double by) {
    const storage::PersistentCounters::Change change{static_cast<std::uint32_t>(index_of(id, label)), by};
    counters_.apply({&change, 1});
}

void Measures::set(Id id, double value, std::size_t label) { gauges_[index_of(id, label)] = value; }

double Measures::get(Id id, std::size_t label) const {
    return ranges_[static_cast<std::size_t>(id)].gauge ? gauges_[index_of(id, label)]
                                                       : counters_.get(index_of(id, label));
}

double Measures::sum(Id id, std::size_t step, std::size_t first) const {
    double all = 0;
    for (std::size_t i = first; i < ranges_[static_cast<std::size_t>(id)].count; i += step)
        all += get(id, i);
    return all;
}

void Measures::sample(std::vector<double>& values) const {
    values.resize(series_.size());
    double bucket = 0;
    for (std::size_t i = 0; i < series_.size(); ++i) {
        const Type type = family(series_[i].family).type;
        if (type == Type::gauge) {
            values[i] = gauges_[sources_[i]];
        } else if (type == Type::counter) {
            values[i] = counters_.get(sources_[i]);
        } else {
            const std::string& name = series_[i].name;
            if (name.ends_with("_bucket")) {
                bucket += counters_.get(sources_[i]);
                values[i] = bucket;
            } else if (name.ends_with("_sum")) {
                values[i] = counters_.get(sources_[i]);
            } else {
                values[i] = bucket;
                bucket = 0;
            }
        }
    }
}

std::int64_t Measures::last_sample_ms() const {
    return static_cast<std::int64_t>(counters_.get(last_sample_index_));
}

void Measures::set_last_sample_ms(std::int64_t at_ms) {
    counters_.set(static_cast<std::uint32_t>(last_sample_index_), static_cast<double>(at_ms));
}

std::size_t Measures::find_class(std::string_view name) const {
    const auto at = std::find_if(shape_.classes.begin(), shape_.classes.end(),
                                 [&](const auto& one) { return one.name == name; });
    return static_cast<std::size_t>(at - shape_.classes.begin());
}

std::size_t Measures::find_plan(std::string_view name) const {
    const auto at = std::find_if(shape_.plans.begin(), shape_.plans.end(),
                                 [&](const auto& one) { return one.name == name; });
    return at == shape_.plans.end() ? 0 : static_cast<std::size_t>(at - shape_.plans.begin());
}

}   // namespace slatejunction::metrics
