// What the operator's rules say of a request: which part of the fleet it is
// for, which limits count it and whether one is over, and its tags; and which
// providers are in which part. A decision room: facts and the time in, a
// verdict out. A condition that ends in an error does not match; the error is
// counted under the rule's name and told.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rules/condition_index.hpp"
#include "rules/fast_conditions.hpp"
#include "rules/limiter.hpp"
#include "rules/settings.hpp"
#include "rules/variables.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::rules {

// Limits that are kept for the whole fleet, elsewhere (src/fleet_rate_limit). Numbers are of their
// definitions.
class FleetRateLimits {
  public:
    virtual ~FleetRateLimits() = default;
    virtual void define(std::uint32_t limit, const LimitSettings& settings) = 0;   // before any other call
    // As Limiter::look() and take().
    virtual double retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double count) = 0;
    virtual void consume(double now, std::uint32_t limit, std::uint64_t key, double count) = 0;
};

struct RequestVerdict {
    static constexpr std::size_t kNone = ~std::size_t{0};
    struct Hit {
        std::shared_ptr<Limiter> limiter;
        Limiter::Ticket ticket;
        double count = 1;
        std::uint32_t shared = 0;   // of a limit over the fleet: its number; 0: it is kept here
        std::uint64_t key = 0;
    };
    std::uint64_t subset = 0;   // as in slatejunction::Request
    slatejunction::SubsetFallback subset_fallback = slatejunction::SubsetFallback::never;
    double rate_limit_retry_after_s = 0;                 // of the limit that has room last
    std::size_t route = kNone, limit_exceeded = kNone;   // their numbers
    std::vector<Hit> hits;
    std::vector<std::pair<std::size_t, std::string>> tags;   // number, value
    void clear() {                                           // keeps the memory
        subset = 0;
        subset_fallback = slatejunction::SubsetFallback::never;
        rate_limit_retry_after_s = 0;
        route = limit_exceeded = kNone;
        hits.clear();
        tags.clear();
    }
};

// What has been counted of one rule since it was loaded.
struct RuleCount {
    std::string name;   // "route NAME"
    std::uint64_t matches = 0, errors = 0;
    std::uint64_t fallbacks = 0;    // of a route: requests sent to the whole fleet instead
    std::uint64_t rejections = 0;   // of a limit
};

class Rules {
  public:
    using ErrorHost = std::function<void(const std::string& rule, std::string_view why)>;
    // Compiles all. Every fault is one entry of `faults`, "[SECTION] KEY: why";
    // then null. `on_error` is told of each error value.
    static std::unique_ptr<Rules> load(const Settings& settings, const GatewayFacts& gateway,
                                       std::vector<std::string>& faults, ErrorHost on_error = {});

    // Takes over the states of limits that the other has by the same definition,
    // and what it has counted of rules of the same name.
    void adopt(const Rules& other);

    // Where limits over the fleet are kept; without, each is kept here alone. Lives longer.
    void set_fleet_rate_limits(FleetRateLimits* shared);
    static std::uint32_t number_of(const LimitSettings& limit);   // the same wherever it is defined so

    // `now` in s, of one clock for all calls. Draws nothing from any limit.
    void evaluate(double now, const RequestFacts& request, RequestVerdict& verdict);
    RequestVerdict evaluate(double now, const RequestFacts& request) {
        RequestVerdict verdict;
        evaluate(now, request, verdict);
        return verdict;
    }
    // The request's first attempt is sent: its limits are drawn.
    void on_first_attempt(double now, RequestVerdict& verdict, bool spilled);
    // It was refused by the limit that verdict.over names.
    void on_rejected(const RequestVerdict& verdict);
    // It is over, or was never sent.
    static void on_request_end(double now, RequestVerdict& verdict);

    // The subsets, as bits, of one provider; nothing of `least`.
    std::uint64_t subsets_of(const BackendFacts& provider);
    std::size_t subset_count() const { return subsets_.size(); }
    const SubsetSettings& subset(std::size_t number) const { return settings_.subsets[number]; }
    const Settings& settings() const { return settings_; }

    const std::vector<RuleCount>& counts() const { return counts_; }   // subsets, routes, limits, tags
    const Limiter& limiter(std::size_t limit) const { return *limits_[limit].limiter; }
    Limiter& limiter(std::size_t limit) { return *limits_[limit].limiter; }
    std::uint64_t evaluation_cost() const { return spent_; }   // units of cost

  private:
    struct Limit {
        expr::Program when, key;
        Condition condition;
        DirectKey direct;
        std::shared_ptr<Limiter> limiter;
        std::uint32_t shared = 0;
    };
    struct Tag {
        expr::Program when, value;
        Condition condition;
        DirectKey direct;
    };
    struct Route {
        expr::Program when;
        Condition condition;
        std::size_t place = 0;   // in the settings
        std::uint64_t subset = 0;
        slatejunction::SubsetFallback spill = slatejunction::SubsetFallback::never;
    };
    Rules(const Settings& settings, const GatewayFacts& gateway, ErrorHost on_error);
    bool compile_all(std::vector<std::string>& faults);
    bool holds(const expr::Program& program, std::size_t rule);
    bool holds(const Condition& condition, const expr::Program& when, std::size_t rule);
    bool key_of(const Limit& limit, std::size_t rule);   // into key_; false: an error
    expr::Value value(const expr::Program& program, std::size_t rule);
    void error(std::size_t rule, std::string_view why);
    void find_limits(double now, std::size_t pair, const RequestFacts& request, RequestVerdict& verdict);
    void find_tags(std::size_t pair, const RequestFacts& request, RequestVerdict& verdict);
    std::size_t pair_of(std::string_view service_class, std::string_view plan);
    std::size_t route_rule(std::size_t place) const { return subsets_.size() + place; }
    std::size_t limit_rule(std::size_t limit) const { return route_rule(routes_.size()) + limit; }
    std::size_t tag_rule(std::size_t tag) const { return limit_rule(limits_.size()) + tag; }

    const Settings settings_;
    const GatewayFacts gateway_;
    ErrorHost on_error_;
    FleetRateLimits* shared_ = nullptr;
    std::vector<expr::Program> subsets_;
    std::vector<Route> routes_;   // in their order
    std::vector<Limit> limits_;
    std::vector<Tag> tags_;
    std::vector<RuleCount> counts_;
    ConditionIndex route_matcher_, limit_matcher_, tag_matcher_;
    RequestView view_;
    RuleVariables source_;
    expr::Evaluator evaluator_;
    std::string key_;
    std::vector<std::pair<std::string, std::string>> pairs_;   // classes and plans that have come
    std::uint64_t spent_ = 0;
};

// The providers as the directory lists them, with the subsets that the rules
// give them. Brings the lists on their way to the module after the rules: a
// subset that falls under its `least` has no provider at all.
class EndpointSubsets {
  public:
    // Sets the subsets of the list's entries and adds those of other providers
    // whose subsets have changed with it.
    void update(double now, slatejunction::EndpointUpdate& list,
                Rules* rules);   // null: no subsets
    // All providers whose subsets are others under these rules.
    slatejunction::EndpointUpdate reload(double now, Rules* rules);
    std::size_t ready(std::size_t subset) const { return subset < counts_.size() ? counts_[subset] : 0; }

  private:
    struct Known {
        slatejunction::Endpoint entry;
        std::uint64_t matched = 0;   // the entry's subsets are these, less those under their least
    };
    void settle(Rules* rules, slatejunction::EndpointUpdate& list, std::size_t told);
    static std::uint64_t match(double now, const slatejunction::Endpoint& entry, Rules* rules);

    std::unordered_map<std::string, Known> known_;   // those that are ready
    std::vector<std::size_t> counts_;                // ready providers by subset
};

}   // namespace slatejunction::rules
