// The variables of the expression that the `expr` command runs: those of a request file (JSON), and
// those of --var NAME=TYPE=JSON, which hide variables of the same name. Throws CommandError for invalid
// input. Owns all values that it returns.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "expr/program.hpp"
#include "rules/command.hpp"
#include "rules/json_value.hpp"
#include "rules/variables.hpp"

namespace slatejunction::rules {

/// Returns the content of a file. Throws CommandError if it cannot be opened.
std::string read_file(const std::string& path);

class CommandVariables final : public expr::Variables {
  public:
    explicit CommandVariables(const ExprCommand& command);
    /// Must be called before each evaluation, together with the evaluator's reset().
    void begin();
    expr::Value load(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent) override;
    const expr::Environment& environment() const { return environment_; }

  private:
    void declare_variable(const std::string& definition);
    void read_request_file(const std::string& path);
    void read_request_facts(const std::string& path, const rapidjson::Value& json);
    void read_headers(const std::string& path, const rapidjson::Value& json);
    void read_backend_facts(const std::string& path, const rapidjson::Value& json);
    void read_gateway_facts(const std::string& path, const rapidjson::Value& json);
    std::string_view copy_text(const rapidjson::Value& json);

    const HeadBounds bounds_;
    expr::Environment environment_;
    expr::Arena arena_;
    std::vector<http::Field> fields_;
    RequestFacts request_;
    BackendFacts backend_;
    GatewayFacts gateway_;
    bool has_request_ = false;
    bool has_backend_ = false;
    std::vector<expr::Value> values_;   // of --var, numbered from kVariableCount on
    RuleVariables rule_variables_;
};

}   // namespace slatejunction::rules
