#include "rules/command.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "rules/command_variables.hpp"

namespace slatejunction::rules {
namespace {

using expr::Value;

constexpr int kExitInvalidInput = 2;
constexpr int kExitErrorValue = 3;
constexpr double kBenchmarkS = 0.5;
constexpr std::uint64_t kMaxBatchRuns = 4096;   // evaluations between two readings of the clock

// The type that is printed for a value: the static type of a list or a map where it is known, as that also
// names the type of the items.
std::string type_name(const expr::Program& program, const Value& value) {
    const bool has_items = value.is(expr::Kind::list) || value.is(expr::Kind::map);
    return has_items && !program.type.open() ? program.type.name() : std::string(kind_name(value.kind()));
}

// Returns the outcome as one line of JSON.
std::string json_line(const expr::Program& program, const expr::Outcome& outcome) {
    rapidjson::StringBuffer text;
    rapidjson::Writer json(text);
    json.StartObject();
    const auto write_member = [&](const char* key, std::string_view value) {
        json.Key(key);
        json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    if (outcome.value.is_error()) {
        write_member("error", outcome.value.view());
    } else {
        write_member("type", type_name(program, outcome.value));
        const std::string value = expr::to_json(outcome.value);
        json.Key("value");
        json.RawValue(value.data(), value.size(), rapidjson::kObjectType);
    }
    json.Key("cost");
    json.Uint64(outcome.cost);
    json.Key("bound");
    json.Uint64(program.bound);
    json.EndObject();
    return {text.GetString(), text.GetSize()};
}

// Evaluates for kBenchmarkS and prints the time of one evaluation and of one unit of cost.
int run_benchmark(const expr::Program& program, CommandVariables& variables, bool json) {
    using Clock = std::chrono::steady_clock;
    expr::Evaluator evaluator;
    expr::Outcome outcome;
    std::uint64_t runs = 0;
    const auto started_at = Clock::now();
    double elapsed_s = 0;
    for (std::uint64_t batch = 1; elapsed_s < kBenchmarkS; batch = std::min(batch * 2, kMaxBatchRuns)) {
        for (std::uint64_t i = 0; i < batch; ++i) {
            variables.begin();
            evaluator.reset();
            outcome = evaluator.run(program, variables);
        }
        runs += batch;
        elapsed_s = std::chrono::duration<double>(Clock::now() - started_at).count();
    }
    const double ns_per_run = elapsed_s / static_cast<double>(runs) * 1e9;
    const double ns_per_unit = ns_per_run / static_cast<double>(std::max<std::uint64_t>(1, outcome.cost));
    std::printf(json ? "{\"runs\":%llu,\"ns\":%.1f,\"cost\":%llu,\"bound\":%llu,\"ns_per_unit\":%.3f}\n"
                     : "%llu runs, %.1f ns each, cost %llu of %llu, %.3f ns a unit\n",
                static_cast<unsigned long long>(runs), ns_per_run,
                static_cast<unsigned long long>(outcome.cost),
                static_cast<unsigned long long>(program.bound), ns_per_unit);
    return 0;
}

}   // namespace

int run(const ExprCommand& command) {
    std::string source = command.text;
    try {
        if (!command.file.empty()) source = read_file(command.file);
        CommandVariables variables(command);
        expr::LoadOptions options;
        if (command.max_cost) options.max_cost = command.max_cost;
        const expr::Program program = expr::compile(source, variables.environment(), options);
        if (command.subcommand == "explain")
            return std::fputs(explain(program, variables.environment()).c_str(), stdout) < 0;
        if (command.subcommand == "bench") return run_benchmark(program, variables, command.json);
        if (command.subcommand == "check") {
            std::printf(command.json ? "{\"type\":\"%s\",\"bound\":%llu}\n" : "%s, at most %llu units\n",
                        program.type.name().c_str(), static_cast<unsigned long long>(program.bound));
            return 0;
        }
        expr::Evaluator evaluator;
        const expr::Outcome outcome = evaluator.run(program, variables);
        const bool failed = outcome.value.is_error();
        if (command.json)
            std::printf("%s\n", json_line(program, outcome).c_str());
        else
            std::printf("%s%s\n", failed ? "error: " : "", expr::to_text(outcome.value).c_str());
        return failed ? kExitErrorValue : 0;
    } catch (const expr::LoadError& error) {
        const std::string name = command.file.empty() ? "expression" : command.file;
        std::fprintf(stderr, "error: %s:%s\n", name.c_str(), describe(error, source).c_str());
    } catch (const CommandError& error) {
        std::fprintf(stderr, "error: %s\n", error.what());
    }
    return kExitInvalidInput;
}

}   // namespace slatejunction::rules
