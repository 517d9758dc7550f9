#include "rules/rules.hpp"

#include <algorithm>
#include <bit>
#include <cstdio>
#include <numeric>
#include <unordered_set>

namespace slatejunction::rules {
namespace {

using expr::Value;

constexpr std::size_t kPairsMost = 64;   // of class and plan, that are kept ready

std::vector<const expr::Program*> pointers(const auto& rules) {
    std::vector<const expr::Program*> all;
    for (const auto& rule : rules) all.push_back(&rule.when);
    return all;
}

}   // namespace

Rules::Rules(const Settings& settings, const GatewayFacts& gateway, ErrorHost on_error)
    : settings_(settings),
      gateway_(gateway),
      on_error_(std::move(on_error)),
      route_matcher_({}),
      limit_matcher_({}),
      tag_matcher_({}),
      source_(gateway_) {}

std::unique_ptr<Rules> Rules::load(const Settings& settings, const GatewayFacts& gateway,
                                   std::vector<std::string>& faults, ErrorHost on_error) {
    std::unique_ptr<Rules> rules(new Rules(settings, gateway, std::move(on_error)));
    return rules->compile_all(faults) ? std::move(rules) : nullptr;
}

bool Rules::compile_all(std::vector<std::string>& faults) {
    const std::size_t before = faults.size();
    const expr::Environment of_request = environment(Scope::request),
                            of_provider = environment(Scope::provider);
    const auto fault = [&](const std::string& section, const std::string& key, const std::string& why) {
        faults.push_back("[" + section + "] " + key + ": " + why);
    };
    const auto load = [&](const std::string& section, const char* key, const std::string& source,
                          const expr::Environment& environment, expr::LoadOptions options) {
        options.max_cost = static_cast<expr::cost::Units>(settings_.max_cost);
        try {
            return expr::compile(source, environment, options);
        } catch (const expr::LoadError& error) {
            fault(section, key, describe(error, source));
            return expr::Program();
        }
    };
    const expr::LoadOptions condition{.wanted = expr::Type::Tag::boolean}, key{.any_key = true},
        text{.wanted = expr::Type::Tag::text};
    const auto too_many = [&](const char* kind, std::size_t count, std::size_t most) {
        if (count > most)
            fault(kind, std::to_string(count), "more than " + std::to_string(most) + " of these");
    };
    too_many("subset", settings_.subsets.size(), kSubsetsMost);
    too_many("route", settings_.routes.size(), kRoutesMost);
    too_many("limit", settings_.limits.size(), kLimitsMost);
    too_many("tag", settings_.tags.size(), kTagsMost);
    if (faults.size() > before) return false;

    for (const SubsetSettings& one : settings_.subsets) {
        subsets_.push_back(load("subset " + one.name, "providers", one.providers, of_provider, condition));
        counts_.push_back({"subset " + one.name});
    }
    std::vector<std::size_t> order(settings_.routes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return settings_.routes[a].order < settings_.routes[b].order;
    });
    for (const RouteSettings& one : settings_.routes) counts_.push_back({"route " + one.name});
    for (const std::size_t place : order) {
        const RouteSettings& one = settings_.routes[place];
        Route& route = routes_.emplace_back();
        route.place = place;
        route.when = load("route " + one.name, "when", one.when, of_request, condition);
        route.spill = static_cast<slatejunction::SubsetFallback>(one.spill);
        const auto subset =
            std::find_if(settings_.subsets.begin(), settings_.subsets.end(),
                         [&](const SubsetSettings& each) { return each.name == one.subset; });
        if (subset != settings_.subsets.end())
            route.subset = std::uint64_t{1} << (subset - settings_.subsets.begin());
        else if (!one.subset.empty())
            fault("route " + one.name, "subset", "there is no [subset " + one.subset + "]");
    }
    for (const LimitSettings& one : settings_.limits) {
        const std::string section = "limit " + one.name;
        Limit& limit = limits_.emplace_back();
        limit.when = load(section, "when", one.when.empty() ? "true" : one.when, of_request, condition);
        limit.key = load(section, "key", one.key, of_request, key);
        if (one.rate <= 0 && one.max_out <= 0) fault(section, "rate", "neither rate nor max_out is set");
        limit.limiter = std::make_shared<Limiter>(Limiter::Limits{one.rate, one.burst,
                                                                  static_cast<std::uint32_t>(one.max_out),
                                                                  static_cast<std::size_t>(one.keys_max)});
        if (one.scope == 1) limit.shared = number_of(one);
        counts_.push_back({section});
    }
    for (const TagSettings& one : settings_.tags) {
        const std::string section = "tag " + one.name;
        Tag& tag = tags_.emplace_back();
        tag.when = load(section, "when", one.when.empty() ? "true" : one.when, of_request, condition);
        tag.value = load(section, "value", one.value, of_request, text);
        counts_.push_back({section});
    }
    if (faults.size() > before) return false;
    route_matcher_ = ConditionIndex(pointers(routes_));
    limit_matcher_ = ConditionIndex(pointers(limits_));
    tag_matcher_ = ConditionIndex(pointers(tags_));
    const auto shorten = [&](auto& rules, const ConditionIndex& matcher) {
        for (std::size_t i = 0; i < rules.size(); ++i)
            rules[i].condition =
                Condition(rules[i].when, matcher.known(static_cast<std::uint32_t>(i)), view_);
    };
    shorten(routes_, route_matcher_);
    shorten(limits_, limit_matcher_);
    shorten(tags_, tag_matcher_);
    for (Limit& one : limits_) one.direct = DirectKey(one.key, view_);
    for (Tag& one : tags_) one.direct = DirectKey(one.value, view_);
    return true;
}

void Rules::adopt(const Rules& other) {
    for (std::size_t i = 0; i < limits_.size(); ++i)
        for (std::size_t k = 0; k < other.limits_.size(); ++k)
            if (settings_.limits[i] == other.settings_.limits[k])
                limits_[i].limiter = other.limits_[k].limiter;
    std::unordered_map<std::string_view, const RuleCount*> before;
    for (const RuleCount& one : other.counts_) before.emplace(one.name, &one);
    for (RuleCount& one : counts_)
        if (const auto at = before.find(one.name); at != before.end()) one = *at->second;
    spent_ = other.spent_;
}

void Rules::error(std::size_t rule, std::string_view why) {
    ++counts_[rule].errors;
    if (on_error_) on_error_(counts_[rule].name, why);
}

Value Rules::value(const expr::Program& program, std::size_t rule) {
    const expr::Outcome outcome = evaluator_.run(program, source_);
    spent_ += outcome.cost;
    if (outcome.value.is_error()) error(rule, outcome.value.view());
    return outcome.value;
}

bool Rules::holds(const expr::Program& program, std::size_t rule) {
    const Value held = value(program, rule);
    const bool yes = held.is(expr::Kind::boolean) && held.truth();
    counts_[rule].matches += yes;
    return yes;
}

inline bool Rules::holds(const Condition& condition, const expr::Program& when, std::size_t rule) {
    if (condition.always()) return ++counts_[rule].matches, true;
    const Condition::TestResult held = condition.evaluate(view_);
    spent_ += condition.parts();
    if (held == Condition::TestResult::needs_evaluator) return holds(when, rule);
    if (held == Condition::TestResult::missing) error(rule, "no such key");
    if (held != Condition::TestResult::yes) return false;
    ++counts_[rule].matches;
    return true;
}

// Classes and plans are few; a stranger's plans may be many, and are forgotten
// then.
std::size_t Rules::pair_of(std::string_view service_class, std::string_view plan) {
    for (std::size_t i = 0; i < pairs_.size(); ++i) {
        const auto& [a, b] = pairs_[i];
        if (a.size() != service_class.size() || b.size() != plan.size()) continue;
        if (a == service_class && b == plan) return i;
    }
    if (pairs_.size() >= kPairsMost) {
        pairs_.clear();
        for (ConditionIndex* one : {&route_matcher_, &limit_matcher_, &tag_matcher_}) one->forget();
    }
    pairs_.emplace_back(service_class, plan);
    return pairs_.size() - 1;
}

void Rules::evaluate(double now, const RequestFacts& request, RequestVerdict& verdict) {
    verdict.clear();
    view_.begin(request);
    source_.begin(&request, nullptr);
    evaluator_.reset();
    const std::size_t pair = pair_of(request.service_class, request.plan);
    for (const std::uint32_t number :
         route_matcher_.candidates(pair, request.service_class, request.plan, request.path)) {
        const Route& route = routes_[number];
        if (!holds(route.condition, route.when, route_rule(route.place))) continue;
        verdict.route = route.place;
        verdict.subset = route.subset;
        verdict.subset_fallback = route.spill;
        break;
    }
    if (!limits_.empty()) find_limits(now, pair, request, verdict);
    if (!tags_.empty()) find_tags(pair, request, verdict);
}

bool Rules::key_of(const Limit& limit, std::size_t rule) {
    key_.clear();
    if (limit.direct) {
        spent_ += limit.direct.parts();
        if (limit.direct.key(view_, key_)) return true;
        key_.clear();
    }
    const Value key = value(limit.key, rule);
    if (key.is_error()) return false;
    append_key(key_, key);
    return true;
}

void Rules::set_fleet_rate_limits(FleetRateLimits* shared) {
    shared_ = shared;
    for (std::size_t i = 0; shared && i < limits_.size(); ++i)
        if (limits_[i].shared != 0) shared->define(limits_[i].shared, settings_.limits[i]);
}

std::uint32_t Rules::number_of(const LimitSettings& limit) {
    char text[160];
    const int size = std::snprintf(text, sizeof text, "%.80s %.17g %.17g %d", limit.name.c_str(),
                                   limit.rate, limit.burst, limit.count);
    const auto number = static_cast<std::uint32_t>(hash_key({text, static_cast<std::size_t>(size)}).low);
    return number == 0 ? 1 : number;
}

void Rules::find_limits(double now, std::size_t pair, const RequestFacts& request,
                        RequestVerdict& verdict) {
    for (const std::uint32_t number :
         limit_matcher_.candidates(pair, request.service_class, request.plan, request.path)) {
        Limit& limit = limits_[number];
        const std::size_t rule = limit_rule(number);
        if (!holds(limit.condition, limit.when, rule)) continue;
        if (!key_of(limit, rule)) continue;
        RequestVerdict::Hit& hit = verdict.hits.emplace_back();
        hit.limiter = limit.limiter;
        hit.count = settings_.limits[number].count == 1 ? request.units : 1;
        const KeyHash key = hash_key(key_);
        if (shared_ && limit.shared != 0) hit.shared = limit.shared, hit.key = key.low;
        const double wait = hit.shared != 0 ? shared_->retry_after_s(now, hit.shared, hit.key, hit.count)
                                            : limit.limiter->retry_after_s(now, key, hit.count, hit.ticket);
        if (wait <= verdict.rate_limit_retry_after_s) continue;
        verdict.rate_limit_retry_after_s = wait;
        verdict.limit_exceeded = number;
    }
}

void Rules::find_tags(std::size_t pair, const RequestFacts& request, RequestVerdict& verdict) {
    for (const std::uint32_t number :
         tag_matcher_.candidates(pair, request.service_class, request.plan, request.path)) {
        const Tag& tag = tags_[number];
        const std::size_t rule = tag_rule(number);
        if (!holds(tag.condition, tag.when, rule)) continue;
        spent_ += tag.direct.parts();
        if (const std::string_view direct = tag.direct.text(view_); direct.data()) {
            verdict.tags.emplace_back(number, direct);
            continue;
        }
        const Value text = value(tag.value, rule);
        if (text.is(expr::Kind::text)) verdict.tags.emplace_back(number, text.view());
    }
}

void Rules::on_first_attempt(double now, RequestVerdict& verdict, bool spilled) {
    for (RequestVerdict::Hit& hit : verdict.hits)
        if (hit.shared != 0)
            shared_->consume(now, hit.shared, hit.key, hit.count);
        else
            hit.limiter->consume(now, hit.ticket, hit.count);
    if (spilled && verdict.route != RequestVerdict::kNone && verdict.route < routes_.size())
        ++counts_[route_rule(verdict.route)].fallbacks;
}

void Rules::on_rejected(const RequestVerdict& verdict) {
    if (verdict.limit_exceeded < limits_.size()) ++counts_[limit_rule(verdict.limit_exceeded)].rejections;
}

void Rules::on_request_end(double now, RequestVerdict& verdict) {
    for (RequestVerdict::Hit& hit : verdict.hits)
        if (hit.shared == 0) hit.limiter->release(now, hit.ticket);
    verdict.hits.clear();
}

std::uint64_t Rules::subsets_of(const BackendFacts& provider) {
    std::uint64_t bits = 0;
    source_.begin(nullptr, &provider);
    evaluator_.reset();
    for (std::size_t i = 0; i < subsets_.size(); ++i)
        if (holds(subsets_[i], i)) bits |= std::uint64_t{1} << i;
    return bits;
}

// The fleet.
// --------------------------------------------------------------------------------------------

std::uint64_t EndpointSubsets::match(double now, const slatejunction::Endpoint& entry, Rules* rules) {
    if (!rules) return 0;
    BackendFacts facts;
    facts.id = entry.backend;
    facts.locality = entry.zone;
    facts.flavor = entry.flavor;
    facts.cell = entry.cell;
    facts.size = entry.capacity_hint;
    facts.age_s = entry.started_at_s > 0 ? std::max(0.0, now - entry.started_at_s) : 0;
    return rules->subsets_of(facts);
}

void EndpointSubsets::update(double now, slatejunction::EndpointUpdate& list, Rules* rules) {
    if (list.kind == slatejunction::EndpointUpdateKind::watch_lost) return;
    if (list.kind != slatejunction::EndpointUpdateKind::delta) known_.clear();
    for (const slatejunction::Endpoint& entry : list.endpoints) {
        if (entry.state == slatejunction::EndpointState::serving)
            known_[entry.backend] = {entry, match(now, entry, rules)};
        else
            known_.erase(entry.backend);
    }
    settle(rules, list, list.endpoints.size());
}

slatejunction::EndpointUpdate EndpointSubsets::reload(double now, Rules* rules) {
    for (auto& [id, known] : known_) known.matched = match(now, known.entry, rules);
    slatejunction::EndpointUpdate list;
    settle(rules, list, 0);
    return list;
}

// Leaves out the subsets that are under their least, tells the entries that are
// in the list and adds the others that have changed, in the order of their
// names.
void EndpointSubsets::settle(Rules* rules, slatejunction::EndpointUpdate& list, std::size_t told) {
    const std::size_t count = rules ? rules->subset_count() : 0;
    counts_.assign(count, 0);
    for (const auto& [id, known] : known_)
        for (std::uint64_t left = known.matched; left != 0; left &= left - 1)
            ++counts_[static_cast<std::size_t>(std::countr_zero(left))];
    std::uint64_t allowed = 0;
    for (std::size_t i = 0; i < count; ++i)
        if (counts_[i] >= static_cast<std::size_t>(rules->subset(i).least))
            allowed |= std::uint64_t{1} << i;
    std::vector<const Known*> changed;
    for (auto& [id, known] : known_) {
        const std::uint64_t subsets = known.matched & allowed;
        if (subsets == known.entry.subsets) continue;
        known.entry.subsets = subsets;
        changed.push_back(&known);
    }
    for (std::size_t i = 0; i < told; ++i)
        if (const auto at = known_.find(list.endpoints[i].backend);
            at != known_.end() && list.endpoints[i].state == slatejunction::EndpointState::serving)
            list.endpoints[i].subsets = at->second.entry.subsets;
    std::sort(changed.begin(), changed.end(),
              [](const Known* a, const Known* b) { return a->entry.backend < b->entry.backend; });
    std::unordered_set<std::string> names;   // copied, as the list grows
    for (std::size_t i = 0; i < told; ++i) names.insert(list.endpoints[i].backend);
    for (const Known* one : changed)
        if (!names.contains(one->entry.backend)) list.endpoints.push_back(one->entry);
}

}   // namespace slatejunction::rules
