// The ingress as a program: its command line.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <utility>

#include "app/fleet_command.hpp"
#include "app/program.hpp"
#include "app/rollout_command.hpp"
#include "metrics/measures.hpp"
#include "operator_config/options.hpp"
#include "rules/command.hpp"
#include "storage/persistent_counters.hpp"

namespace {

namespace sj = slatejunction;

// Reads the counters that a state directory holds, beside a program that may be running there.
int counters(const std::string& directory) {
    for (const auto& [name, value] : sj::storage::PersistentCounters::read(directory + "/counters")) {
        std::string line = name;
        bool label = true;   // NAME \n LABEL \n VALUE ...
        for (char& c : line)
            if (c == '\n') c = std::exchange(label, !label) ? ' ' : '=';
        std::printf("%s %.17g\n", line.c_str(), value);
    }
    return 0;
}

void add_files(CLI::App& command, sj::app::Files& files) {
    command.add_option("--config", files.config,
                       "the platform's configuration (JSON), in place of NODE_CONFIG");
    command.add_option("--operator", files.options,
                       "the operator's own file (INI); `sample` prints one with every key");
}

CLI::App* add_fleet(CLI::App& app, sj::app::FleetCommand& fleet) {
    auto* command = app.add_subcommand("fleet", "members and leases, as a running ingress sees them");
    command->add_option("--admin", fleet.admin, "its operators' address; else NODE_ADMIN_ADDR")
        ->envname("NODE_ADMIN_ADDR")
        ->required();
    command
        ->add_option("what", fleet.command,
                     "members, leases or quorum (exit status 1: none); else the first two")
        ->check(CLI::IsMember({"members", "leases", "quorum"}));
    command->add_flag("--json", fleet.json, "as the ingress tells it");
    return command;
}

// One of the two options that name a text or a file has to be given.
void require_one(const CLI::Option* text, const CLI::Option* file) {
    if (text->count() + file->count() != 1) throw CLI::RequiredError("-e or -f");
}

void add_rollout_action(CLI::App& rollout_command, const std::string& name, const char* help,
                        sj::app::RolloutCommand& rollout) {
    auto* action = rollout_command.add_subcommand(name, help);
    action->add_option("--admin", rollout.admin, "operators' address; else NODE_ADMIN_ADDR")
        ->envname("NODE_ADMIN_ADDR")
        ->required();
    if (name == "status")
        action->add_flag("--json", rollout.json, "as it is told");
    else
        action->add_option("section", rollout.key, "its header without brackets, as in \"limit NAME\"")
            ->required();
    if (name == "propose") {
        auto* text = action->add_option("-e", rollout.text, "its lines");
        auto* file = action->add_option("-f,--file", rollout.file, "a file that holds them; - : stdin")
                         ->excludes(text);
        action->final_callback([text, file] { require_one(text, file); });
    }
    action->callback([&rollout, name] { rollout.command = name; });
}

CLI::App* add_rollout(CLI::App& app, sj::app::RolloutCommand& rollout) {
    auto* command = app.add_subcommand("rollout", "rules that come from control machines");
    command->require_subcommand(1);
    add_rollout_action(*command, "status", "how far it is", rollout);
    add_rollout_action(*command, "propose", "a section for the whole fleet; asked of the source", rollout);
    add_rollout_action(*command, "erase", "takes such a section away again", rollout);
    return command;
}

void add_expression_action(CLI::App& expression_command, const std::string& name, const char* help,
                           sj::rules::ExprCommand& expr) {
    auto* action = expression_command.add_subcommand(name, help);
    auto* text = action->add_option("-e", expr.text, "the expression");
    auto* file = action->add_option("-f,--file", expr.file, "a file that holds it")->excludes(text);
    action->add_option("--request", expr.request,
                       "a JSON file: method, path, query, headers, class, plan ...");
    action->add_option("--var", expr.variables, "NAME=TYPE=JSON, a further variable")->take_all();
    action->add_option("--max-cost", expr.max_cost, "a bound over it is an error (units)");
    action->add_option("--head-bytes", expr.head_bytes, "the most that a head holds, for bounds");
    action->add_flag("--json", expr.json, "one line of JSON");
    action->final_callback([&expr, name, text, file] {
        require_one(text, file);
        expr.subcommand = name;
    });
}

CLI::App* add_expression(CLI::App& app, sj::rules::ExprCommand& expr) {
    auto* command = app.add_subcommand("expr", "check, run, explain or time an expression of rules");
    command->require_subcommand(1);
    add_expression_action(*command, "check", "its type and the most it may cost", expr);
    add_expression_action(*command, "eval", "its value; exit status 3 when that is an error", expr);
    add_expression_action(*command, "explain", "types and costs of its parts, and the compiled program",
                          expr);
    add_expression_action(*command, "bench", "how long it takes, for half a second", expr);
    return command;
}

int print_version() {
    std::printf("slatejunction %s\n", SLATEJUNCTION_VERSION);
    return 0;
}

int print(const std::string& text) { return std::fputs(text.c_str(), stdout) < 0 ? 1 : 0; }

}   // namespace

int main(int argc, char** argv) {
    CLI::App app("An HTTP ingress that shares quotas and load over a fleet.", "slatejunction");
    app.require_subcommand(0, 1);
    sj::app::Files files;
    sj::app::FleetCommand fleet;
    sj::app::RolloutCommand rollout;
    sj::rules::ExprCommand expr;
    std::string directory;
    add_files(app, files);
    auto* serve =
        app.add_subcommand("serve", "take requests until SIGTERM; what is done without a command");
    add_files(*serve, files);
    auto* check =
        app.add_subcommand("check-config", "read both files and tell all that is wrong with them");
    add_files(*check, files);
    auto* version = app.add_subcommand("version", "the version of this program");
    auto* metrics =
        app.add_subcommand("metrics", "all measures: name, type, unit, labels and what they tell");
    auto* sample = app.add_subcommand("sample", "an operator's file with every key, its unit and default");
    auto* counter_list = app.add_subcommand("counters", "the counters that a state directory holds");
    counter_list->add_option("directory", directory, "[state] directory of the operator's file")
        ->required();
    auto* fleet_command = add_fleet(app, fleet);
    auto* rollout_command = add_rollout(app, rollout);
    auto* expression_command = add_expression(app, expr);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& bad) {
        if (bad.get_exit_code() == 0) return app.exit(bad);
        return sj::app::fail(std::string(bad.what()) + "; see --help");
    }
    try {
        if (*version) return print_version();
        if (*metrics) return print(sj::metrics::markdown());
        if (*sample) return print(sj::operator_config::sample());
        if (*counter_list) return counters(directory);
        if (*fleet_command) return sj::app::run(fleet);
        if (*rollout_command) return sj::app::run(rollout);
        if (*expression_command) return sj::rules::run(expr);
        return *check ? sj::app::check(files) : sj::app::serve(files);
    } catch (const std::exception& fault) {
        return sj::app::fail(fault.what());
    }
}
