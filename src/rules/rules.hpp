// The operator's rules. They decide to which subset of the fleet a request goes, which rate limits
// count it, which tags it has, and which backends are in which subset.
//
// - Rule: the first route, by order, whose condition holds gives the subset. Each limit whose condition
//   holds counts the request by its key, and the longest time to wait applies. Each tag whose condition
//   holds gives a value. A condition that evaluates to an error does not hold; the error is counted for
//   that rule and passed to the error callback.
// - Inputs: settings, facts of requests and backends, the time (s).
// - Output: RequestVerdict; subsets of a backend as bits.
// - Visible in: counts() (the metrics by rule), the tags in the request log.
//
// Does no I/O and reads no clock. Owned by app::RulesComponent, its only caller; verdicts may outlive
// it.
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

/// Rate limits that apply to the whole fleet, each identified by Rules::fleet_limit_id(). Implemented by
/// app::FleetRateLimitComponent with src/fleet_rate_limit.
class FleetRateLimits {
  public:
    virtual ~FleetRateLimits() = default;
    /// Must be called before any other call for that limit.
    virtual void define(std::uint32_t limit, const LimitSettings& settings) = 0;
    /// As Limiter::retry_after_s() and Limiter::consume().
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
        double count = 1;                ///< requests or units that the request counts for
        std::uint32_t fleet_limit = 0;   ///< id of a limit of the whole fleet; 0: `limiter` applies it
        std::uint64_t key = 0;           ///< hash of the key, for a limit of the whole fleet
    };
    std::uint64_t subset = 0;   ///< as in slatejunction::Request
    slatejunction::SubsetFallback subset_fallback = slatejunction::SubsetFallback::never;
    double rate_limit_retry_after_s = 0;   ///< the longest time to wait of all limits; 0: none is exceeded
    std::size_t route = kNone;             ///< index of the route that matched
    std::size_t limit_exceeded = kNone;    ///< index of the limit with the longest time to wait
    std::vector<LimitHit> limit_hits;
    std::vector<std::pair<std::size_t, std::string>> tags;   ///< index of the tag, value
    /// Resets the verdict for another request without freeing the memory of its vectors.
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

/// Counts of one rule since a rule of that name was first loaded.
struct RuleCount {
    std::string name;   ///< kind and name, such as "route NAME"
    std::uint64_t matches = 0;
    std::uint64_t errors = 0;       ///< expressions that evaluated to an error
    std::uint64_t fallbacks = 0;    ///< for a route: requests that went to the whole fleet instead
    std::uint64_t rejections = 0;   ///< for a limit: requests that it rejected
};

/// The compiled rules in force.
class Rules {
  public:
    /// Called for each expression that evaluates to an error. `rule`: as RuleCount::name.
    using ErrorCallback = std::function<void(const std::string& rule, std::string_view reason)>;
    /// Compiles the expressions of all sections. Appends each error to `load_errors` as "[SECTION] KEY:
    /// reason" and returns null if there is one.
    static std::unique_ptr<Rules> load(const Settings& settings, const GatewayFacts& gateway,
                                       std::vector<std::string>& load_errors, ErrorCallback on_error = {});

    /// Shares the buckets of limits with equal settings, and copies the counts of rules of the same name.
    void inherit_state(const Rules& other);

    /// Sets what applies the limits of the whole fleet; it must outlive the rules. Null: each is applied by
    /// this ingress on its own.
    void set_fleet_rate_limits(FleetRateLimits* fleet_limits);
    /// Returns an id derived from the limit's name, rate, burst and count, so that all ingresses with the
    /// same settings use the same id. Never 0.
    static std::uint32_t fleet_limit_id(const LimitSettings& limit);

    /// Evaluates the rules for a request without consuming tokens of any limit. `now`: seconds of one
    /// monotonic clock for all calls.
    void evaluate(double now, const RequestFacts& request, RequestVerdict& verdict);
    RequestVerdict evaluate(double now, const RequestFacts& request) {
        RequestVerdict verdict;
        evaluate(now, request, verdict);
        return verdict;
    }
    /// To be called when the first attempt of the request starts; consumes the tokens of its limits.
    /// `fell_back`: the attempt goes to the whole fleet by the route's fallback.
    void on_first_attempt(double now, RequestVerdict& verdict, bool fell_back);
    /// To be called when the request was rejected because of verdict.limit_exceeded.
    void on_rejected(const RequestVerdict& verdict);
    /// To be called when the request has ended or will not be forwarded.
    static void on_request_end(double now, RequestVerdict& verdict);

    /// Returns the subsets, as bits, whose condition holds for the backend. Ignores their min_backends.
    std::uint64_t subsets_of(const BackendFacts& backend);
    std::size_t subset_count() const { return subsets_.size(); }
    const SubsetSettings& subset(std::size_t index) const { return settings_.subsets[index]; }
    const Settings& settings() const { return settings_; }

    /// The counts of subsets, routes, limits and tags, in this order, each kind in the order of the
    /// settings.
    const std::vector<RuleCount>& counts() const { return counts_; }
    const Limiter& limiter(std::size_t limit) const { return *limits_[limit].limiter; }
    Limiter& limiter(std::size_t limit) { return *limits_[limit].limiter; }
    /// The cost of all evaluations, in units (expr/cost.hpp).
    std::uint64_t evaluation_cost() const { return evaluation_cost_; }

  private:
    class Compiler;
    struct Limit {
        expr::Program when;
        expr::Program key;
        Condition condition;
        DirectKey direct_key;
        std::shared_ptr<Limiter> limiter;
        std::uint32_t fleet_limit = 0;
    };
    struct Tag {
        expr::Program when;
        expr::Program value;
        Condition condition;
        DirectKey direct_value;
    };
    struct Route {
        expr::Program when;
        Condition condition;
        std::size_t index = 0;   // in the settings
        std::uint64_t subset = 0;
        slatejunction::SubsetFallback fallback = slatejunction::SubsetFallback::never;
    };
    Rules(const Settings& settings, const GatewayFacts& gateway, ErrorCallback on_error);
    bool compile_all(std::vector<std::string>& load_errors);
    void compile_subsets(Compiler& compiler);
    void compile_routes(Compiler& compiler);
    void compile_limits(Compiler& compiler);
    void compile_tags(Compiler& compiler);
    void build_indexes();
    bool holds(const expr::Program& program, std::size_t rule);
    bool holds(const Condition& condition, const expr::Program& when, std::size_t rule);
    // Sets key_bytes_. Returns false if the key evaluates to an error.
    bool evaluate_key(const Limit& limit, std::size_t rule);
    expr::Value evaluate_value(const expr::Program& program, std::size_t rule);
    void count_error(std::size_t rule, std::string_view reason);
    void evaluate_limits(double now, std::size_t class_plan, const RequestFacts& request,
                         RequestVerdict& verdict);
    void evaluate_tags(std::size_t class_plan, const RequestFacts& request, RequestVerdict& verdict);
    std::size_t class_plan_index(std::string_view service_class, std::string_view plan);
    // Indices in counts_. Subsets come first, so that their index needs no conversion.
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
    // The service classes and plans of recent requests; the index of a pair identifies it in the indexes.
    std::vector<std::pair<std::string, std::string>> class_plan_pairs_;
    std::uint64_t evaluation_cost_ = 0;
};

}   // namespace slatejunction::rules
