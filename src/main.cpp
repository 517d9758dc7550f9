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

}   // namespace

int main(int argc, char** argv) {
    CLI::App app("An HTTP ingress that shares quotas and load over a fleet.", "slatejunction");
    app.require_subcommand(0, 1);
    sj::app::Files files;
    std::string directory;
    const auto takes_files = [&files](CLI::App* command) {
        command->add_option("--config", files.config,
                            "the platform's configuration (JSON), in place of NODE_CONFIG");
        command->add_option("--operator", files.options,
                            "the operator's own file (INI); `sample` prints one with every key");
    };
    takes_files(&app);
    auto* serving =
        app.add_subcommand("serve", "take requests until SIGTERM; what is done without a command");
    auto* checking =
        app.add_subcommand("check-config", "read both files and tell all that is wrong with them");
    auto* version = app.add_subcommand("version", "the version of this program");
    auto* metrics =
        app.add_subcommand("metrics", "all measures: name, type, unit, labels and what they tell");
    auto* sample = app.add_subcommand("sample", "an operator's file with every key, its unit and default");
    auto* counting = app.add_subcommand("counters", "the counters that a state directory holds");
    sj::app::FleetCommand fleet;
    auto* fleeting = app.add_subcommand("fleet", "members and leases, as a running ingress sees them");
    fleeting->add_option("--admin", fleet.admin, "its operators' address; else NODE_ADMIN_ADDR")
        ->envname("NODE_ADMIN_ADDR")
        ->required();
    fleeting
        ->add_option("what", fleet.command,
                     "members, leases or quorum (exit status 1: none); else the first two")
        ->check(CLI::IsMember({"members", "leases", "quorum"}));
    fleeting->add_flag("--json", fleet.json, "as the ingress tells it");
    sj::app::RolloutCommand rollout;
    auto* rolling = app.add_subcommand("rollout", "rules that come from control machines");
    rolling->require_subcommand(1);
    for (const auto& [name, help] : {std::pair<const char*, const char*>{"status", "how far it is"},
                                     {"propose", "a section for the whole fleet; asked of the source"},
                                     {"erase", "takes such a section away again"}}) {
        auto* one = rolling->add_subcommand(name, help);
        one->add_option("--admin", rollout.admin, "operators' address; else NODE_ADMIN_ADDR")
            ->envname("NODE_ADMIN_ADDR")
            ->required();
        if (std::string(name) == "status") one->add_flag("--json", rollout.json, "as it is told");
        if (std::string(name) != "status")
            one->add_option("section", rollout.key, "its header without brackets, as in \"limit NAME\"")
                ->required();
        if (std::string(name) == "propose") {
            auto* text = one->add_option("-e", rollout.text, "its lines");
            auto* file = one->add_option("-f,--file", rollout.file, "a file that holds them; - : stdin")
                             ->excludes(text);
            one->final_callback([text, file] {
                if (text->count() + file->count() != 1) throw CLI::RequiredError("-e or -f");
            });
        }
        one->callback([&rollout, name = name] { rollout.command = name; });
    }
    auto* expression = app.add_subcommand("expr", "check, run, explain or time an expression of rules");
    expression->require_subcommand(1);
    sj::rules::ExprCommand expr;
    for (const auto& [name, help] :
         {std::pair<const char*, const char*>{"check", "its type and the most it may cost"},
          {"eval", "its value; exit status 3 when that is an error"},
          {"explain", "types and costs of its parts, and the compiled program"},
          {"bench", "how long it takes, for half a second"}}) {
        auto* one = expression->add_subcommand(name, help);
        auto* text = one->add_option("-e", expr.text, "the expression");
        auto* file = one->add_option("-f,--file", expr.file, "a file that holds it")->excludes(text);
        one->add_option("--request", expr.request,
                        "a JSON file: method, path, query, headers, class, plan ...");
        one->add_option("--var", expr.variables, "NAME=TYPE=JSON, a further variable")->take_all();
        one->add_option("--max-cost", expr.max_cost, "a bound over it is an error (units)");
        one->add_option("--head-bytes", expr.head_bytes, "the most that a head holds, for bounds");
        one->add_flag("--json", expr.json, "one line of JSON");
        one->final_callback([&expr, name = name, text, file] {
            if (text->count() + file->count() != 1) throw CLI::RequiredError("-e or -f");
            expr.what = name;
        });
    }
    takes_files(serving);
    takes_files(checking);
    counting->add_option("directory", directory, "[state] directory of the operator's file")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& bad) {
        if (bad.get_exit_code() == 0) return app.exit(bad);
        return sj::app::fail(std::string(bad.what()) + "; see --help");
    }
    try {
        if (*version) {
            std::printf("slatejunction %s\n", SLATEJUNCTION_VERSION);
            return 0;
        }
        if (*metrics) return std::fputs(sj::metrics::markdown().c_str(), stdout) < 0;
        if (*sample) return std::fputs(sj::operator_config::sample().c_str(), stdout) < 0;
        if (*counting) return counters(directory);
        if (*fleeting) return sj::app::run(fleet);
        if (*rolling) return sj::app::run(rollout);
        if (*expression) return sj::rules::run(expr);
        return *checking ? sj::app::check(files) : sj::app::serve(files);
    } catch (const std::exception& fault) {
        return sj::app::fail(fault.what());
    }
}
