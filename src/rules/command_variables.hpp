// The variables of an expression that the `expr` command runs: those of a request file (JSON), and those
// given by --var as NAME=TYPE=JSON, which hide others of the same name. Throws CommandError for input that
// cannot be used. Owns all the values that it hands out.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "expr/program.hpp"
#include "rules/command.hpp"
#include "rules/json_value.hpp"
#include "rules/variables.hpp"

namespace slatejunction::rules {

/// The content of a file; throws CommandError.
std::string read_file(const std::string& path);

class CommandVariables final : public expr::Variables {
  public:
    explicit CommandVariables(const ExprCommand& command);
    /// To be called before each evaluation, with the evaluator's reset().
    void begin();
    expr::Value load(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent) override;
    const expr::Environment& environment() const { return environment_; }

  private:
    void declare(const std::string& variable);
    void read_request(const std::string& path);
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
    std::vector<expr::Value> values_;   // of --var
    RuleVariables rule_variables_;
};

}   // namespace slatejunction::rules
