#include "rules/rules.hpp"

#include <algorithm>
#include <cstdio>

#include "rules/key_bytes.hpp"

namespace slatejunction::rules {
namespace {

using expr::Value;

constexpr std::size_t kMaxClassPlanPairs = 64;   // pairs that have groups in the indexes at once

}   // namespace

Rules::Rules(const Settings& settings, const GatewayFacts& gateway, ErrorCallback on_error)
    : settings_(settings),
      gateway_(gateway),
      on_error_(std::move(on_error)),
      route_index_({}),
      limit_index_({}),
      tag_index_({}),
      variables_(gateway_) {}

void Rules::inherit_state(const Rules& other) {
    for (std::size_t i = 0; i < limits_.size(); ++i)
        for (std::size_t k = 0; k < other.limits_.size(); ++k)
            if (settings_.limits[i] == other.settings_.limits[k])
                limits_[i].limiter = other.limits_[k].limiter;
    std::unordered_map<std::string_view, const RuleCount*> previous_counts;
    for (const RuleCount& count : other.counts_) previous_counts.emplace(count.name, &count);
    for (RuleCount& count : counts_)
        if (const auto found = previous_counts.find(count.name); found != previous_counts.end())
            count = *found->second;
    evaluation_cost_ = other.evaluation_cost_;
}

void Rules::count_error(std::size_t rule, std::string_view reason) {
    ++counts_[rule].errors;
    if (on_error_) on_error_(counts_[rule].name, reason);
}

Value Rules::evaluate_value(const expr::Program& program, std::size_t rule) {
    const expr::Outcome outcome = evaluator_.run(program, variables_);
    evaluation_cost_ += outcome.cost;
    if (outcome.value.is_error()) count_error(rule, outcome.value.view());
    return outcome.value;
}

bool Rules::holds(const expr::Program& program, std::size_t rule) {
    const Value result = evaluate_value(program, rule);
    const bool holds = result.is(expr::Kind::boolean) && result.truth();
    counts_[rule].matches += holds;
    return holds;
}

inline bool Rules::holds(const Condition& condition, const expr::Program& when, std::size_t rule) {
    if (condition.always_true()) {
        ++counts_[rule].matches;
        return true;
    }
    const Condition::TestResult result = condition.evaluate(request_view_);
    evaluation_cost_ += condition.test_count();
    if (result == Condition::TestResult::needs_evaluator) return holds(when, rule);
    if (result == Condition::TestResult::missing) count_error(rule, "no such key");
    if (result != Condition::TestResult::yes) return false;
    ++counts_[rule].matches;
    return true;
}

// Returns the index of the service class and plan among the pairs of earlier requests. There are normally
// few of them; if there are more than kMaxClassPlanPairs, all are dropped together with their groups in the
// indexes.
std::size_t Rules::class_plan_index(std::string_view service_class, std::string_view plan) {
    for (std::size_t i = 0; i < class_plan_pairs_.size(); ++i) {
        const auto& [known_class, known_plan] = class_plan_pairs_[i];
        if (known_class == service_class && known_plan == plan) return i;
    }
    if (class_plan_pairs_.size() >= kMaxClassPlanPairs) {
        class_plan_pairs_.clear();
        route_index_.clear_groups();
        limit_index_.clear_groups();
        tag_index_.clear_groups();
    }
    class_plan_pairs_.emplace_back(service_class, plan);
    return class_plan_pairs_.size() - 1;
}

void Rules::evaluate(double now, const RequestFacts& request, RequestVerdict& verdict) {
    verdict.clear();
    request_view_.begin(request);
    variables_.begin(&request, nullptr);
    evaluator_.reset();
    const std::size_t class_plan = class_plan_index(request.service_class, request.plan);
    for (const std::uint32_t index :
         route_index_.candidates(class_plan, request.service_class, request.plan, request.path)) {
        const Route& route = routes_[index];
        if (!holds(route.condition, route.when, route_rule(route.index))) continue;
        verdict.route = route.index;
        verdict.subset = route.subset;
        verdict.subset_fallback = route.fallback;
        break;
    }
    if (!limits_.empty()) evaluate_limits(now, class_plan, request, verdict);
    if (!tags_.empty()) evaluate_tags(class_plan, request, verdict);
}

bool Rules::evaluate_key(const Limit& limit, std::size_t rule) {
    key_bytes_.clear();
    if (limit.direct_key) {
        evaluation_cost_ += limit.direct_key.part_count();
        if (limit.direct_key.append_to(request_view_, key_bytes_)) return true;
        key_bytes_.clear();
    }
    const Value key = evaluate_value(limit.key, rule);
    if (key.is_error()) return false;
    append_key(key_bytes_, key);
    return true;
}

void Rules::set_fleet_rate_limits(FleetRateLimits* fleet_limits) {
    fleet_limits_ = fleet_limits;
    for (std::size_t i = 0; fleet_limits && i < limits_.size(); ++i)
        if (limits_[i].fleet_limit != 0) fleet_limits->define(limits_[i].fleet_limit, settings_.limits[i]);
}

std::uint32_t Rules::fleet_limit_id(const LimitSettings& limit) {
    char text[160];
    const int size = std::snprintf(text, sizeof text, "%.80s %.17g %.17g %d", limit.name.c_str(),
                                   limit.rate, limit.burst, limit.count);
    const auto id = static_cast<std::uint32_t>(hash_key({text, static_cast<std::size_t>(size)}).low);
    return id == 0 ? 1 : id;
}

void Rules::evaluate_limits(double now, std::size_t class_plan, const RequestFacts& request,
                            RequestVerdict& verdict) {
    for (const std::uint32_t index :
         limit_index_.candidates(class_plan, request.service_class, request.plan, request.path)) {
        Limit& limit = limits_[index];
        const std::size_t rule = limit_rule(index);
        if (!holds(limit.condition, limit.when, rule)) continue;
        if (!evaluate_key(limit, rule)) continue;
        RequestVerdict::LimitHit& hit = verdict.limit_hits.emplace_back();
        hit.limiter = limit.limiter;
        hit.count = settings_.limits[index].count == kCountsUnits ? request.units : 1;
        const KeyHash key = hash_key(key_bytes_);
        if (fleet_limits_ && limit.fleet_limit != 0) {
            hit.fleet_limit = limit.fleet_limit;
            hit.key = key.low;
        }
        const double wait = hit.fleet_limit != 0
                                ? fleet_limits_->retry_after_s(now, hit.fleet_limit, hit.key, hit.count)
                                : limit.limiter->retry_after_s(now, key, hit.count, hit.ticket);
        if (wait <= verdict.rate_limit_retry_after_s) continue;
        verdict.rate_limit_retry_after_s = wait;
        verdict.limit_exceeded = index;
    }
}

void Rules::evaluate_tags(std::size_t class_plan, const RequestFacts& request, RequestVerdict& verdict) {
    for (const std::uint32_t index :
         tag_index_.candidates(class_plan, request.service_class, request.plan, request.path)) {
        const Tag& tag = tags_[index];
        const std::size_t rule = tag_rule(index);
        if (!holds(tag.condition, tag.when, rule)) continue;
        evaluation_cost_ += tag.direct_value.part_count();
        if (const std::string_view direct_text = tag.direct_value.text(request_view_); direct_text.data()) {
            verdict.tags.emplace_back(index, direct_text);
            continue;
        }
        const Value text = evaluate_value(tag.value, rule);
        if (text.is(expr::Kind::text)) verdict.tags.emplace_back(index, text.view());
    }
}

void Rules::on_first_attempt(double now, RequestVerdict& verdict, bool fell_back) {
    for (RequestVerdict::LimitHit& hit : verdict.limit_hits)
        if (hit.fleet_limit != 0)
            fleet_limits_->consume(now, hit.fleet_limit, hit.key, hit.count);
        else
            hit.limiter->consume(now, hit.ticket, hit.count);
    if (fell_back && verdict.route != RequestVerdict::kNone && verdict.route < routes_.size())
        ++counts_[route_rule(verdict.route)].fallbacks;
}

void Rules::on_rejected(const RequestVerdict& verdict) {
    if (verdict.limit_exceeded < limits_.size()) ++counts_[limit_rule(verdict.limit_exceeded)].rejections;
}

void Rules::on_request_end(double now, RequestVerdict& verdict) {
    for (RequestVerdict::LimitHit& hit : verdict.limit_hits)
        if (hit.fleet_limit == 0) hit.limiter->release(now, hit.ticket);
    verdict.limit_hits.clear();
}

std::uint64_t Rules::subsets_of(const BackendFacts& backend) {
    std::uint64_t bits = 0;
    variables_.begin(nullptr, &backend);
    evaluator_.reset();
    for (std::size_t i = 0; i < subsets_.size(); ++i)
        if (holds(subsets_[i], i)) bits |= std::uint64_t{1} << i;
    return bits;
}

}   // namespace slatejunction::rules
