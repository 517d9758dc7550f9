// The variables that the expressions of rules may use, and their values for one request or one backend.
//
// - Inputs: facts, which must outlive their use; the bounds of a request's head.
// - Output: values of expressions.
#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>

#include "expr/program.hpp"
#include "http/message.hpp"

namespace slatejunction::rules {

/// The bounds of a request's head, from which the cost bound of every expression is computed.
struct HeadBounds {
    std::size_t bytes = http::kMaxHeadBytes;
    std::size_t fields = http::kMaxHeaderFields;
};

inline constexpr std::size_t kMaxNameBytes = 256;   // names of classes, plans, backends and others
inline constexpr std::size_t kMaxMethodBytes = 32;

/// The numbers of the variables, in the order of environment().
enum class VariableId : std::uint32_t {
    request_method,
    request_path,
    request_query,
    /// Names in lower case; the values of repeated fields are joined by ", " (RFC 9110, 5.3).
    request_headers,
    request_class,
    request_plan,
    request_customer,
    request_units,
    request_deadline_ms,
    request_retry,
    request_id,
    gateway_name,
    gateway_zone,
    backend_id,
    backend_locality,
    backend_flavor,
    backend_cell,
    backend_size,
    backend_age_s,
};
/// The number of all variables, and of those of requests and of this ingress, which come before those of
/// backends.
inline constexpr std::size_t kVariableCount = 19, kRequestVariableCount = 13;

enum class Scope { request, backend, all };
/// Returns the variables of a scope: request.* and gateway.* for Scope::request, provider.* and gateway.*
/// for Scope::backend (conditions of subsets), all for Scope::all. In every scope the numbers are those of
/// VariableId.
expr::Environment environment(Scope scope, HeadBounds bounds = {});

/// The facts of a request that rules can use.
struct RequestFacts {
    std::string_view method, path, query, service_class, plan, id;
    std::span<const http::Field> headers;
    std::int64_t customer = 0, deadline_ms = 0;
    double units = 0;
    bool retry = false;
};

/// The facts of a backend that rules can use.
struct BackendFacts {
    std::string_view id, locality, flavor;
    std::int64_t cell = 0;
    double size = 0, age_s = 0;
};

/// The facts of this ingress that rules can use.
struct GatewayFacts {
    std::string name, zone;
};

/// The values of the variables for one request or one backend. A variable that is not available, not UTF-8
/// or over its bound has an error value. Each is read at most once between two calls of begin(). The map of
/// headers lives in the evaluator's arena, so begin() must be called together with the evaluator's reset().
class RuleVariables final : public expr::Variables {
  public:
    explicit RuleVariables(const GatewayFacts& gateway, HeadBounds bounds = {})
        : gateway_(gateway), bounds_(bounds) {}
    /// Starts the next evaluation. `request` or `backend` is null if its variables are not available.
    void begin(const RequestFacts* request, const BackendFacts* backend);
    expr::Value load(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent) override;
    expr::Value field(std::uint32_t number, const expr::Value& key, bool has, expr::Arena& arena,
                      expr::cost::Units& spent) override;

  private:
    expr::Value read(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent);
    expr::Value text(std::string_view text, std::size_t max_bytes, expr::cost::Units& spent) const;
    expr::Value headers(expr::Arena& arena, expr::cost::Units& spent);

    const GatewayFacts& gateway_;
    const HeadBounds bounds_;
    const RequestFacts* request_ = nullptr;
    const BackendFacts* backend_ = nullptr;
    std::array<expr::Value, kVariableCount> values_;   // valid if the bit in loaded_ is set
    int header_lookups_ = 0;     // by name without the map; after kMaxHeaderLookups the map is used
    std::uint32_t loaded_ = 0;   // by VariableId as bit
};

}   // namespace slatejunction::rules
