// The part of Rules (rules.hpp) that compiles the expressions of all sections and builds the indexes,
// fast conditions and direct keys from them.
#include <algorithm>
#include <cstdint>
#include <numeric>

#include "rules/rules.hpp"

namespace slatejunction::rules {
namespace {

template <class RuleList>
std::vector<const expr::Program*> conditions_of(const RuleList& rules) {
    std::vector<const expr::Program*> conditions;
    for (const auto& rule : rules) conditions.push_back(&rule.when);
    return conditions;
}

// Builds the parts of the conditions that can be tested without the evaluator.
template <class RuleList>
void add_fast_conditions(RuleList& rules, const ConditionIndex& index, RequestView& view) {
    for (std::size_t i = 0; i < rules.size(); ++i)
        rules[i].condition =
            Condition(rules[i].when, index.implied_parts(static_cast<std::uint32_t>(i)), view);
}

std::string condition_or_true(const std::string& when) { return when.empty() ? "true" : when; }

}   // namespace

/// Compiles single expressions and collects the errors of all sections.
class Rules::Compiler {
  public:
    Compiler(std::int64_t max_cost, std::vector<std::string>& load_errors)
        : max_cost_(static_cast<expr::cost::Units>(max_cost)),
          load_errors_(load_errors),
          initial_error_count_(load_errors.size()) {}

    void add_error(const std::string& section, const std::string& key, const std::string& reason) {
        load_errors_.push_back("[" + section + "] " + key + ": " + reason);
    }
    void check_count(const char* kind, std::size_t count, std::size_t max_count) {
        if (count > max_count)
            add_error(kind, std::to_string(count),
                      "more than the maximum of " + std::to_string(max_count) + " sections");
    }
    expr::Program condition(const std::string& section, const char* key, const std::string& source,
                            const expr::Environment& environment) {
        return compile(section, key, source, environment, {.wanted = expr::Type::Tag::boolean});
    }
    expr::Program limit_key(const std::string& section, const std::string& source) {
        return compile(section, "key", source, request_environment, {.any_key = true});
    }
    expr::Program tag_value(const std::string& section, const char* key, const std::string& source) {
        return compile(section, key, source, request_environment, {.wanted = expr::Type::Tag::text});
    }
    bool ok() const { return load_errors_.size() == initial_error_count_; }

    const expr::Environment request_environment = environment(Scope::request);
    const expr::Environment backend_environment = environment(Scope::backend);

  private:
    expr::Program compile(const std::string& section, const char* key, const std::string& source,
                          const expr::Environment& environment, expr::LoadOptions options) {
        options.max_cost = max_cost_;
        try {
            return expr::compile(source, environment, options);
        } catch (const expr::LoadError& error) {
            add_error(section, key, describe(error, source));
            return expr::Program();
        }
    }

    const expr::cost::Units max_cost_;
    std::vector<std::string>& load_errors_;
    const std::size_t initial_error_count_;
};

std::unique_ptr<Rules> Rules::load(const Settings& settings, const GatewayFacts& gateway,
                                   std::vector<std::string>& load_errors, ErrorCallback on_error) {
    std::unique_ptr<Rules> rules(new Rules(settings, gateway, std::move(on_error)));
    return rules->compile_all(load_errors) ? std::move(rules) : nullptr;
}

bool Rules::compile_all(std::vector<std::string>& load_errors) {
    Compiler compiler(settings_.max_cost, load_errors);
    compiler.check_count("subset", settings_.subsets.size(), kMaxSubsets);
    compiler.check_count("route", settings_.routes.size(), kMaxRoutes);
    compiler.check_count("limit", settings_.limits.size(), kMaxLimits);
    compiler.check_count("tag", settings_.tags.size(), kMaxTags);
    if (!compiler.ok()) return false;
    compile_subsets(compiler);
    compile_routes(compiler);
    compile_limits(compiler);
    compile_tags(compiler);
    if (!compiler.ok()) return false;
    build_indexes();
    return true;
}

void Rules::compile_subsets(Compiler& compiler) {
    for (const SubsetSettings& subset : settings_.subsets) {
        const std::string section = "subset " + subset.name;
        subsets_.push_back(
            compiler.condition(section, "providers", subset.condition, compiler.backend_environment));
        counts_.push_back({section});
    }
}

// Sorts the routes by `order`; routes of the same order keep the order of the settings.
void Rules::compile_routes(Compiler& compiler) {
    std::vector<std::size_t> indices(settings_.routes.size());
    std::iota(indices.begin(), indices.end(), std::size_t{0});
    std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
        return settings_.routes[left].order < settings_.routes[right].order;
    });
    for (const RouteSettings& settings : settings_.routes) counts_.push_back({"route " + settings.name});
    for (const std::size_t index : indices) {
        const RouteSettings& settings = settings_.routes[index];
        const std::string section = "route " + settings.name;
        Route& route = routes_.emplace_back();
        route.index = index;
        route.when = compiler.condition(section, "when", settings.when, compiler.request_environment);
        route.fallback = static_cast<slatejunction::SubsetFallback>(settings.fallback);
        const auto subset =
            std::find_if(settings_.subsets.begin(), settings_.subsets.end(),
                         [&](const SubsetSettings& other) { return other.name == settings.subset; });
        if (subset != settings_.subsets.end())
            route.subset = std::uint64_t{1} << (subset - settings_.subsets.begin());
        else if (!settings.subset.empty())
            compiler.add_error(section, "subset", "there is no [subset " + settings.subset + "]");
    }
}

void Rules::compile_limits(Compiler& compiler) {
    for (const LimitSettings& settings : settings_.limits) {
        const std::string section = "limit " + settings.name;
        Limit& limit = limits_.emplace_back();
        limit.when = compiler.condition(section, "when", condition_or_true(settings.when),
                                        compiler.request_environment);
        limit.key = compiler.limit_key(section, settings.key);
        if (settings.rate <= 0 && settings.max_in_flight <= 0)
            compiler.add_error(section, "rate", "neither rate nor max_out is set");
        limit.limiter = std::make_shared<Limiter>(Limiter::Limits{
            settings.rate, settings.burst, static_cast<std::uint32_t>(settings.max_in_flight),
            static_cast<std::size_t>(settings.max_keys)});
        if (settings.scope == kFleetScope) limit.fleet_limit = fleet_limit_id(settings);
        counts_.push_back({section});
    }
}

void Rules::compile_tags(Compiler& compiler) {
    for (const TagSettings& settings : settings_.tags) {
        const std::string section = "tag " + settings.name;
        Tag& tag = tags_.emplace_back();
        tag.when = compiler.condition(section, "when", condition_or_true(settings.when),
                                      compiler.request_environment);
        tag.value = compiler.tag_value(section, "value", settings.value);
        counts_.push_back({section});
    }
}

void Rules::build_indexes() {
    route_index_ = ConditionIndex(conditions_of(routes_));
    limit_index_ = ConditionIndex(conditions_of(limits_));
    tag_index_ = ConditionIndex(conditions_of(tags_));
    add_fast_conditions(routes_, route_index_, request_view_);
    add_fast_conditions(limits_, limit_index_, request_view_);
    add_fast_conditions(tags_, tag_index_, request_view_);
    for (Limit& limit : limits_) limit.direct_key = DirectKey(limit.key, request_view_);
    for (Tag& tag : tags_) tag.direct_value = DirectKey(tag.value, request_view_);
}

}   // namespace slatejunction::rules
