// The variables that rules may name, and where a request's come from.
#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>

#include "expr/program.hpp"
#include "http/message.hpp"

namespace slatejunction::rules {

// The most that a head may hold; by these every expression's bound is computed.
struct HeadBounds {
    std::size_t bytes = http::kMaxHeadBytes;
    std::size_t fields = http::kMaxHeaderFields;
};

// Bytes: names of classes, plans, providers and the like; a method.
inline constexpr std::size_t kWordMost = 256, kMethodMost = 32;

// Their order here is that of the environments below.
enum class VariableId : std::uint32_t {
    request_method,
    request_path,
    request_query,
    request_headers,   // names in lower case; a field that comes twice is joined by
                       // ", " (RFC 9110, 5.3)
    request_class,
    request_plan,
    request_customer,
    request_units,
    request_deadline_ms,
    request_retry,
    request_id,
    gateway_name,
    gateway_zone,
    provider_id,
    provider_locality,
    provider_flavor,
    provider_cell,
    provider_size,
    provider_age_s,
};
inline constexpr std::size_t kNames = 19,
                             kRequestNames = 13;   // those of providers stand behind the others

enum class Scope { request, provider, all };
// Of a request: request.* and gateway.*; of a provider (subsets): provider.*
// and gateway.*. The numbers of variables are those of Name in every scope.
expr::Environment environment(Scope scope, HeadBounds bounds = {});

struct RequestFacts {
    std::string_view method, path, query, service_class, plan, id;
    std::span<const http::Field> headers;
    std::int64_t customer = 0, deadline_ms = 0;
    double units = 0;
    bool retry = false;
};

struct BackendFacts {
    std::string_view id, locality, flavor;
    std::int64_t cell = 0;
    double size = 0, age_s = 0;
};

struct GatewayFacts {
    std::string name, zone;
};

// The values for one request or one provider; what is not given is an error
// value when it is read. Texts that are not UTF-8 or over their bound are error
// values too. Each is read once a request; the headers become a map then, in
// the evaluator's arena: begin() forgets it, and goes with the evaluator's
// reset().
class RuleVariables final : public expr::Variables {
  public:
    explicit RuleVariables(const GatewayFacts& gateway, HeadBounds bounds = {})
        : gateway_(gateway), bounds_(bounds) {}
    void begin(const RequestFacts* request, const BackendFacts* provider);
    expr::Value load(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent) override;
    expr::Value field(std::uint32_t number, const expr::Value& key, bool has, expr::Arena& arena,
                      expr::cost::Units& spent) override;

  private:
    expr::Value read(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent);
    expr::Value text(std::string_view text, std::size_t most, expr::cost::Units& spent) const;
    expr::Value headers(expr::Arena& arena, expr::cost::Units& spent);

    const GatewayFacts& gateway_;
    const HeadBounds bounds_;
    const RequestFacts* request_ = nullptr;
    const BackendFacts* provider_ = nullptr;
    std::array<expr::Value, kNames> values_;   // read so far
    int asked_ = 0;                            // headers by name, without the map
    std::uint32_t known_ = 0;                  // which, as bits
};

}   // namespace slatejunction::rules
