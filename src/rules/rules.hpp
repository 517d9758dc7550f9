// The operator's rules: which subset of the fleet a request goes to, which rate limits count it, its
// tags, and which backends are in which subset.
//
// Rule: the first route by order whose condition holds gives the subset; each limit whose condition holds
// counts the request by its key, and the longest time to wait applies; each tag whose condition holds
// gives a value. A condition that evaluates to an error does not hold; the error is counted under the
// rule's name and passed to the error callback.
// Inputs: settings, facts of requests and backends, the time (s).
// Output: RequestVerdict, subsets as bits.
// Where to see it: counts() (measures by rule), the tags in the request log.
//
// No I/O, no clock. Owned by app::RulesComponent, which is its only caller; verdicts may outlive it.
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
#include "rules/direct_key.hpp"
#include "rules/fast_conditions.hpp"
#include "rules/limiter.hpp"
#include "rules/request_view.hpp"
#include "rules/settings.hpp"
#include "rules/variables.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::rules {

/// Limits that hold over the whole fleet; app::FleetRateLimitComponent keeps them by src/fleet_rate_limit.
/// A limit is identified by Rules::fleet_limit_id().
class FleetRateLimits {
  public:
    virtual ~FleetRateLimits() = default;
    /// Before any other call for that limit.
    virtual void define(std::uint32_t limit, const LimitSettings& settings) = 0;
    /// As Limiter::retry_after_s() and consume().
    virtual double retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double count) = 0;
    virtual void consume(double now, std::uint32_t limit, std::uint64_t key, double count) = 0;
};

/// What the rules decide for one request.
struct RequestVerdict {
    static constexpr std::size_t kNone = ~std::size_t{0};
    /// A limit that counts the request.
    struct LimitHit {
        std::shared_ptr<Limiter> limiter;
        Limiter::Ticket ticket;
        double count = 1;                ///< requests or units that it counts
        std::uint32_t fleet_limit = 0;   ///< id of a limit over the fleet; 0: `limiter` keeps it
        std::uint64_t key = 0;           ///< of a limit over the fleet
    };
    std::uint64_t subset = 0;   ///< as in slatejunction::Request
    slatejunction::SubsetFallback subset_fallback = slatejunction::SubsetFallback::never;
    double rate_limit_retry_after_s = 0;   ///< s, the longest of all limits
    std::size_t route = kNone;             ///< index of the route that matched
    std::size_t limit_exceeded = kNone;    ///< index of the limit with the longest time to wait
    std::vector<LimitHit> limit_hits;
    std::vector<std::pair<std::size_t, std::string>> tags;   ///< index of the tag, value
    /// Keeps the memory.
    void clear() {
        subset = 0;
        subset_fallback = slatejunction::SubsetFallback::never;
        rate_limit_retry_after_s = 0;
        route = kNone;
        limit_exceeded = kNone;
        limit_hits.clear();
        tags.clear();
    }
};

/// Counts of one rule since it was first loaded.
struct RuleCount {
    std::string name;   ///< "route NAME"
    std::uint64_t matches = 0;
    std::uint64_t errors = 0;
    std::uint64_t fallbacks = 0;    ///< of a route: requests forwarded to the whole fleet instead
    std::uint64_t rejections = 0;   ///< of a limit
};

/// The compiled rules in force.
class Rules {
  public:
    /// Called for each error value; `rule`: as RuleCount::name.
    using ErrorCallback = std::function<void(const std::string& rule, std::string_view reason)>;
    /// Compiles all sections. Null if there are faults; each is appended to `faults` as "[SECTION] KEY:
    /// reason".
    static std::unique_ptr<Rules> load(const Settings& settings, const GatewayFacts& gateway,
                                       std::vector<std::string>& faults, ErrorCallback on_error = {});

    /// Takes over the buckets of limits of the same definition, and the counts of rules of the same name.
    void inherit_state(const Rules& other);

    /// Where limits over the fleet are kept, outlives the rules; null: each is kept here alone.
    void set_fleet_rate_limits(FleetRateLimits* fleet_limits);
    /// Derived from the definition, so equal at all ingresses that define the limit alike; never 0.
    static std::uint32_t fleet_limit_id(const LimitSettings& limit);

    /// Decides on a request; consumes nothing of any limit. `now`: s, of one monotonic clock for all calls.
    void evaluate(double now, const RequestFacts& request, RequestVerdict& verdict);
    RequestVerdict evaluate(double now, const RequestFacts& request) {
        RequestVerdict verdict;
        evaluate(now, request, verdict);
        return verdict;
    }
    /// The first attempt of the request starts: its limits are consumed. `spilled`: by the route's
    /// fallback.
    void on_first_attempt(double now, RequestVerdict& verdict, bool spilled);
    /// The request was rejected by verdict.limit_exceeded.
    void on_rejected(const RequestVerdict& verdict);
    /// The request has ended, or was never forwarded.
    static void on_request_end(double now, RequestVerdict& verdict);

    /// The subsets, as bits, whose condition holds for the backend, whatever their min_backends.
    std::uint64_t subsets_of(const BackendFacts& backend);
    std::size_t subset_count() const { return subsets_.size(); }
    const SubsetSettings& subset(std::size_t number) const { return settings_.subsets[number]; }
    const Settings& settings() const { return settings_; }

    /// Of subsets, routes, limits and tags, each as in the settings.
    const std::vector<RuleCount>& counts() const { return counts_; }
    const Limiter& limiter(std::size_t limit) const { return *limits_[limit].limiter; }
    Limiter& limiter(std::size_t limit) { return *limits_[limit].limiter; }
    /// Units of cost (expr/cost.hpp) of all evaluations.
    std::uint64_t evaluation_cost() const { return evaluation_cost_; }

  private:
    class Compiler;
    struct Limit {
        expr::Program when;
        expr::Program key;
        Condition condition;
        DirectKey direct;
        std::shared_ptr<Limiter> limiter;
        std::uint32_t fleet_limit = 0;
    };
    struct Tag {
        expr::Program when;
        expr::Program value;
        Condition condition;
        DirectKey direct;
    };
    struct Route {
        expr::Program when;
        Condition condition;
        std::size_t index = 0;   // in the settings
        std::uint64_t subset = 0;
        slatejunction::SubsetFallback fallback = slatejunction::SubsetFallback::never;
    };
    Rules(const Settings& settings, const GatewayFacts& gateway, ErrorCallback on_error);
    bool compile_all(std::vector<std::string>& faults);
    void compile_subsets(Compiler& compiler);
    void compile_routes(Compiler& compiler);
    void compile_limits(Compiler& compiler);
    void compile_tags(Compiler& compiler);
    void build_indexes();
    bool holds(const expr::Program& program, std::size_t rule);
    bool holds(const Condition& condition, const expr::Program& when, std::size_t rule);
    bool evaluate_key(const Limit& limit, std::size_t rule);   // into key_bytes_; false: an error
    expr::Value value(const expr::Program& program, std::size_t rule);
    void count_error(std::size_t rule, std::string_view reason);
    void evaluate_limits(double now, std::size_t class_plan, const RequestFacts& request,
                         RequestVerdict& verdict);
    void evaluate_tags(std::size_t class_plan, const RequestFacts& request, RequestVerdict& verdict);
    std::size_t class_plan_index(std::string_view service_class, std::string_view plan);
    // Indices in counts_.
    std::size_t route_rule(std::size_t index) const { return subsets_.size() + index; }
    std::size_t limit_rule(std::size_t limit) const { return route_rule(routes_.size()) + limit; }
    std::size_t tag_rule(std::size_t tag) const { return limit_rule(limits_.size()) + tag; }

    const Settings settings_;
    const GatewayFacts gateway_;
    ErrorCallback on_error_;
    FleetRateLimits* fleet_limits_ = nullptr;
    std::vector<expr::Program> subsets_;
    std::vector<Route> routes_;   // in the order in which they are tried
    std::vector<Limit> limits_;
    std::vector<Tag> tags_;
    std::vector<RuleCount> counts_;
    ConditionIndex route_index_;
    ConditionIndex limit_index_;
    ConditionIndex tag_index_;
    RequestView request_view_;
    RuleVariables variables_;
    expr::Evaluator evaluator_;
    std::string key_bytes_;
    std::vector<std::pair<std::string, std::string>> class_plan_pairs_;   // service classes and plans seen
    std::uint64_t evaluation_cost_ = 0;
};

}   // namespace slatejunction::rules
